// Package trace is what the laboratory's world tells of a day, one event after the other in order of time, and all that
// the judge may know. Times are milliseconds from the day's start. Tries are numbered over the whole day.
package trace

import "github.com/swifthall/swifthall/gate"

// Kind of an event. The comment names the fields that it fills besides Kind and At.
type Kind uint8

const (
	Asked          Kind = iota // a client's first try is made: Want, Customer, Plan, Class, Units
	Accepted                   // a running door has taken a try: Try, Want, Door, Customer, Plan, Class, Units, Until
	Sent                       // a door sends an attempt: Try, Door, Number, Backend, Zone, Cell
	Arrived                    // it has come whole to a backend: Try, Door, Number, Backend, Work, Told
	Closed                     // a door learns how it ended, or gives it up: Try, Door, Number, Backend, Result, Result2 (Cancelled)
	Answered                   // the final answer leaves the door: Try, Door, Answer, Why
	Received                   // the client has it: Want, Answer, Since
	Dropped                    // a door ends a try's connection without a whole answer: Try, Door
	ClientLeft                 // a door learns that the client left before it was answered: Try
	GaveUp                     // the client comes no more: Want
	DoorDied                   // a door dies with all that it holds: Door
	DoorStarted                // a door runs: Door
	StatusSeen                 // a door learns of a backend: Door, Backend, Status
	BackendStarted             // a backend starts: Backend, Work (its capacity, ms of work a ms), Cold (share at once), Span (until warm, ms)
	Ran                        // a request has taken effect at a backend: Want, Try, Backend, Twice
	CounterCalled              // a call of the counter: Door
	Probed                     // a probe: Door, Backend
	Connected                  // a new connection to a backend: Door, Backend
	Wasted                     // work that answered nobody: Backend, Work
	Worked                     // work that answered: Backend, Work
	Collapsed                  // a cold backend falls over: Backend
	Ended                      // the day is over
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

// Event is one event. Only the fields named at its kind mean anything.
type Event struct {
	Kind       Kind
	At         float64
	Request    int // the client's request, over all of its tries
	Try        int
	Door       int
	Backend    int
	Attempt    int // of the attempt, from 0 for each try
	Customer   int
	Plan       int
	Class      int
	Zone       int
	Cell       int
	Units      float64
	Deadline   float64
	Work       float64
	ColdShare  float64
	WarmupTime float64
	Result     gate.Result
	Status     gate.Status
	Answer     Answer
	Cause      gate.Cause // that the decider gave; accounts alone may read it
	KnowsStart bool       // the door had been told of the backend's latest start
	Crosses    bool       // Sent to another zone
	Twice      bool       // the effect had happened already
}

// Sink takes a day's events in.
type Sink interface{ Take(e *Event) }
