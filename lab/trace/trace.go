// Package trace defines the events that the laboratory's model emits during a run, in order of time. They are all that the
// checkers see of the run. Times are milliseconds from the start of the run. Tries are numbered over the whole run.
package trace

import "github.com/swifthall/swifthall/gate"

// Kind is the kind of an event. The comment of each kind names the fields that it sets besides Kind and At.
type Kind uint8

const (
	Asked     Kind = iota // a client makes the first try of a request: Request, Customer, Plan, Class, Units
	Taken                 // a running door accepts a try: Try, Request, Door, Customer, Plan, Class, Units, Deadline
	Sent                  // a door sends an attempt: Try, Door, Attempt, Backend, Zone, Cell
	Came                  // an attempt has arrived whole at a backend: Try, Door, Attempt, Backend, Work, KnowsStart
	Closed                // a door learns how an attempt ended, or gives it up: Try, Door, Attempt, Backend, Result (Cancelled if given up)
	Answered              // the final answer leaves the door: Try, Door, Answer, Cause
	Got                   // the client receives the answer: Request, Try, Answer
	Dropped               // a door closes the connection of a try without a complete answer: Try, Door
	Left                  // a door learns that the client left before it was answered: Try
	GaveUp                // the client makes no further try: Request
	Died                  // a door dies and loses everything that it holds: Door
	Started               // a door starts: Door
	Told                  // a door learns the status of a backend: Door, Backend, Status
	Began                 // a backend starts: Backend, Work (its capacity, ms of work per ms), ColdShare (share at the start), WarmupTime (ms until warm)
	Ran                   // a request has taken effect at a backend: Request, Try, Backend, Twice
	Counted               // a call to the counter: Door
	Probed                // a probe: Door, Backend
	Connected             // a new connection to a backend: Door, Backend
	Wasted                // work whose result was lost or no longer awaited: Backend, Work
	Worked                // work whose result was still awaited: Backend, Work
	Fell                  // a cold backend collapses: Backend
	Over                  // the run has ended
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
	Kind     Kind
	At       float64
	Want     int // the client's request, over all of its tries
	Try      int // one try of a request, at one door
	Door     int
	Backend  int
	Number   int // number of the attempt within its try, from 0
	Customer int
	Plan     int
	Class    int
	Zone     int
	Cell     int
	Units    float64
	Until    float64 // when the client stops waiting for the try
	Work     float64
	Cold     float64
	Span     float64
	Result   gate.Result
	Status   gate.Status
	Answer   Answer
	Why      gate.Cause // cause given by the decider; for package account only, no checker may use it
	Told     bool       // the door knew of the backend's latest start
	Crosses  bool       // sent to another zone
	Twice    bool       // the effect had happened before
}

// Sink consumes the events of a run.
type Sink interface{ Take(e *Event) }
