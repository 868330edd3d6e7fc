// Package soak plays days of random, overlapping faults against a few dozen real front door processes over loopback, and
// judges what clients, backends and discovery saw of them. The judge shares no code with the front door and asks it for
// nothing but its own count of violated invariants.
package soak

import (
	"sync"
	"time"
)

// Instant is a time since the day began, by the rig's monotonic clock.
type Instant = time.Duration

// Never stands for an instant that has not come.
const Never Instant = -1

// Semantics says how often a request of a class may run.
type Semantics int

// The semantics, as the settings name them.
const (
	Idempotent Semantics = iota
	Keyed
	NonIdempotent
)

// End is how a request ended for its client.
type End int

// The ends of a request.
const (
	Answered     End = iota // a whole answer came
	ConnClosed              // the connection ended with no byte of an answer
	Partial                 // the connection ended within an answer
	TimedOut                // the client stopped waiting, long after its deadline
	ClientClosed            // the client closed its connection before an answer
	WriteFailed             // the connection broke before the request's last byte was written
)

// Request is one request as its client saw it.
type Request struct {
	ID        string
	Door      int
	Semantics Semantics
	Began     Instant       // before its first byte was written
	Sent      Instant       // before its last byte was written
	Wait      time.Duration // that the client waits, from Sent
	End       End
	Ended     Instant
	Status    int
	Body      string
}

// Arrival is one attempt as a backend saw it.
type Arrival struct {
	ID        string
	Backend   int
	FirstByte Instant       // its first byte was read
	LastByte  Instant       // its last byte was read; Never where it was cut off before
	Remaining time.Duration // that the front door says it will wait
	Refused   bool          // answered as not run
}

// Incarnation is one process of a door.
type Incarnation struct {
	Door                int
	Started             Instant
	Ready               Instant // Never where it was not
	Term                Instant // first SIGTERM; Never where there was none
	Kill                Instant // SIGKILL; Never where there was none
	KilledWithoutTerm   bool    // killed with no SIGTERM before
	Exited              Instant
	Crash               string // why its exit was a crash, empty where it was none
	InvariantViolations int    // violations that it counted itself
}

// Notification is the instant at which discovery had written to a door that a backend drains or is gone.
type Notification struct {
	Door, Backend int
	At            Instant
	Ready         bool // it was told to be ready again
}

// TheRig is the door of a stall that the rig itself had.
const TheRig = -1

// Stall is a measured delay: from Due on, something of the rig or of one door was held up by the machine for Late.
type Stall struct {
	Door int
	Due  Instant
	Late time.Duration
}

// History is what was seen of a day.
type History struct {
	MaxDeadline time.Duration // the longest of the deployment
	DedupWindow time.Duration // for which backends discard a repeat of a keyed request
	DrainGrace  time.Duration

	mu            sync.Mutex
	Requests      []Request
	Arrivals      []Arrival
	Incarnations  []Incarnation
	Notifications []Notification
	Stalls        []Stall
}

func (r *History) addRequest(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests = append(r.Requests, q)
}

func (r *History) addArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Arrivals = append(r.Arrivals, a)
}

func (r *History) addIncarnation(l Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Incarnations = append(r.Incarnations, l)
}

func (r *History) addNotification(t Notification) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Notifications = append(r.Notifications, t)
}

func (r *History) addStall(s Stall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Stalls = append(r.Stalls, s)
}
