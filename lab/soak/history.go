// Package soak runs soak tests: it injects random, overlapping faults into a few dozen real front door processes on loopback and
// checks the history that clients, backends and discovery observed. The checker shares no code with the front door and uses
// nothing from it but its own count of invariant violations.
package soak

import (
	"sync"
	"time"
)

// Instant is the time since the start of the run, on the rig's monotonic clock.
type Instant = time.Duration

// Never is the instant of an event that has not happened.
const Never Instant = -1

// Semantics states how often a request may run.
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
	Answered     End = iota // a complete answer was received
	ConnClosed              // the connection was closed before the first byte of an answer
	Partial                 // the connection was closed within the answer
	TimedOut                // no answer came until long after the deadline, and the client stopped waiting
	ClientClosed            // the client closed the connection before the answer
	WriteFailed             // the connection broke before the last byte of the request was written
)

// Request is a request as its client observed it.
type Request struct {
	ID        string
	Door      int
	Semantics Semantics
	Began     Instant       // before its first byte was written
	Sent      Instant       // before its last byte was written
	Wait      time.Duration // how long the client waits for the answer, from Sent
	End       End
	Ended     Instant
	Status    int
	Body      string
	Until     Instant // when the client sent the same id again; 0 if it did not
}

// Arrival is an attempt as a backend observed it.
type Arrival struct {
	ID        string
	Backend   int
	FirstByte Instant       // its first byte was read
	LastByte  Instant       // its last byte was read; Never if the connection broke before
	Remaining time.Duration // how long the front door waits for the answer, according to its request header
	Refused   bool          // refused without running
	Zone      string        // zone of the process that received it
}

// Incarnation is one process of a door.
type Incarnation struct {
	Door                int
	Started             Instant
	Ready               Instant // Never if it did not become ready
	Term                Instant // first SIGTERM; Never if none was sent
	Kill                Instant // SIGKILL; Never if none was sent
	KilledWithoutTerm   bool    // no SIGTERM was sent before SIGKILL
	Exited              Instant
	Crash               string // why its exit counts as a crash; empty if it does not
	InvariantViolations int    // number of violations that it reported in its log
	PeakMemory          int64  // largest resident memory, bytes
}

// Notification records when discovery had notified a door that a backend is draining, or ready again.
type Notification struct {
	Door, Backend int
	At            Instant
	Ready         bool // the backend was listed as ready again
}

// TheRig is the value of Stall.Door for a delay of the rig itself.
const TheRig = -1

// Stall is a measured delay: something that was due at Due in the rig or in one door was delayed by the machine by Late.
type Stall struct {
	Door int
	Due  Instant
	Late time.Duration
}

// History is what clients, backends and discovery observed during a run, with the parameters of the run that its checks need.
type History struct {
	MaxDeadline time.Duration // longest request deadline of the deployment
	DedupWindow time.Duration // how long backends discard repeats of a keyed request
	ZoneScope   bool          // only the backends of a zone discard each other's repeats, not all
	DrainGrace  time.Duration // how long a door may still send to a backend after it was notified of its drain
	MaxMemory   int64         // memory that the settings give each process, bytes; 0 for no limit

	mu            sync.Mutex
	Requests      []Request
	Arrivals      []Arrival
	Incarnations  []Incarnation
	Notifications []Notification
	Stalls        []Stall
}

func (h *History) addRequest(q Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Requests = append(h.Requests, q)
}

func (h *History) addArrival(a Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Arrivals = append(h.Arrivals, a)
}

func (h *History) addIncarnation(l Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Incarnations = append(h.Incarnations, l)
}

func (h *History) addNotification(t Notification) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Notifications = append(h.Notifications, t)
}

func (h *History) addStall(s Stall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Stalls = append(h.Stalls, s)
}
