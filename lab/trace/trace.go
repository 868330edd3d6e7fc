// Package trace defines the events that the laboratory's model emits during a run, in order of time. They are all that the
// checkers see of the run. Times are milliseconds from the start of the run. Tries are numbered over the whole run.
package trace

import "github.com/swifthall/swifthall/gate"

// Kind is the kind of an event. The comment of each kind names the fields that it sets besides Kind and At.
type Kind uint8

const (
	Asked          Kind = iota // a client makes the first try of a request: Request, Customer, Plan, Class, Units
	Accepted                   // a running door accepts a try: Try, Request, Door, Customer, Plan, Class, Units, Deadline
	Sent                       // a door sends an attempt: Try, Door, Attempt, Backend, Zone, Cell
	Arrived                    // an attempt has arrived whole at a backend: Try, Door, Attempt, Backend, Work, KnowsStart
	Closed                     // a door learns how an attempt ended, or gives it up: Try, Door, Attempt, Backend, Result (Cancelled if given up)
	Answered                   // the final answer leaves the door: Try, Door, Answer, Cause
	Received                   // the client receives the answer: Request, Try, Answer
	Dropped                    // a door closes the connection of a try without a complete answer: Try, Door
	ClientLeft                 // a door learns that the client left before it was answered: Try
	GaveUp                     // the client makes no further try: Request
	DoorDied                   // a door dies and loses everything that it holds: Door
	DoorStarted                // a door starts: Door
	StatusSeen                 // a door learns the status of a backend: Door, Backend, Status
	BackendStarted             // a backend starts: Backend, Work (its capacity, ms of work per ms), ColdShare (share at the start), WarmupTime (ms until warm)
	Ran                        // a request has taken effect at a backend: Request, Try, Backend, Twice
	CounterCalled              // a call to the counter: Door
	Probed                     // a probe: Door, Backend
	Connected                  // a new connection to a backend: Door, Backend
	Wasted                     // work whose result was lost or no longer awaited: Backend, Work
	Worked                     // work whose result was still awaited: Backend, Work
	Collapsed                  // a cold backend collapses: Backend
	Ended                      // the run has ended
)

// Answer is how a request ended for its client.
type Answer uint8

const (
	None Answer = iota
	Finished
	Rejected
	Failed
)

func (a Answer) String() string { return [...]string{"none", "finished", "rejected", "scrapped"}[a] }

// Event is one event of a run. Only the fields named at its kind are set.
type Event struct {
	Kind       Kind
	At         float64
	Request    int // the client's request, over all of its tries
	Try        int // one try of a request, at one door
	Door       int
	Backend    int
	Attempt    int // number of the attempt within its try, from 0
	Customer   int
	Plan       int
	Class      int
	Zone       int
	Cell       int
	Units      float64
	Deadline   float64 // when the client stops waiting for the try
	Work       float64
	ColdShare  float64
	WarmupTime float64
	Result     gate.Result
	Status     gate.Status
	Answer     Answer
	Cause      gate.Cause // cause given by the decider; for package account only, no checker may use it
	KnowsStart bool       // the door knew of the backend's latest start
	Crosses    bool       // sent to another zone
	Twice      bool       // the effect had happened before
}

// Sink consumes the events of a run.
type Sink interface{ Take(e *Event) }
