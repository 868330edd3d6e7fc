// Package trace is what the laboratory's world tells of a day, one event after the other in order of time, and all that
// the judge may know. Times are milliseconds from the day's start. Tries are numbered over the whole day.
package trace

import "github.com/swifthall/swifthall/gate"

// Kind of an event. The comment names the fields that it fills besides Kind and At.
type Kind uint8

const (
	Asked     Kind = iota // a client's first try is made: Want, Customer, Plan, Class, Units
	Taken                 // a running door has taken a try: Try, Want, Door, Customer, Plan, Class, Units, Until
	Sent                  // a door sends an attempt: Try, Door, Number, Backend, Zone, Cell
	Came                  // it has come whole to a backend: Try, Door, Number, Backend, Work, Told
	Closed                // a door learns how it ended, or gives it up: Try, Door, Number, Backend, Result, Result2 (Cancelled)
	Answered              // the final answer leaves the door: Try, Door, Answer, Why
	Got                   // the client has it: Want, Answer, Since
	Dropped               // a door ends a try's connection without a whole answer: Try, Door
	Left                  // a door learns that the client left before it was answered: Try
	GaveUp                // the client comes no more: Want
	Died                  // a door dies with all that it holds: Door
	Started               // a door runs: Door
	Told                  // a door learns of a backend: Door, Backend, Status
	Began                 // a backend starts: Backend, Work (its capacity, ms of work a ms), Cold (share at once), Span (until warm, ms)
	Ran                   // a request has taken effect at a backend: Want, Try, Backend, Twice
	Counted               // a call of the counter: Door
	Probed                // a probe: Door, Backend
	Connected             // a new connection to a backend: Door, Backend
	Wasted                // work that answered nobody: Backend, Work
	Worked                // work that answered: Backend, Work
	Fell                  // a cold backend falls over: Backend
	Over                  // the day is over
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
	Kind     Kind
	At       float64
	Want     int // the client's request, over all of its tries
	Try      int
	Door     int
	Backend  int
	Number   int // of the attempt, from 0 for each try
	Customer int
	Plan     int
	Class    int
	Zone     int
	Cell     int
	Units    float64
	Until    float64
	Work     float64
	Cold     float64
	Span     float64
	Result   gate.Result
	Status   gate.Status
	Answer   Answer
	Why      gate.Cause // that the decider gave; accounts alone may read it
	Told     bool       // the door had been told of the backend's latest start
	Crosses  bool       // Sent to another zone
	Twice    bool       // the effect had happened already
}

// Sink takes a day's events in.
type Sink interface{ Take(e *Event) }
