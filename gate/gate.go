// Package gate is the interface between the decision module and whatever carries its requests: the
// terms a door works under, the events it is told, and the actions it answers with. It knows no wire.
// Times are milliseconds with fractions; requests, backends, customers, classes, plans, zones and
// cells are small dense indices that the carrier hands out.
package gate

// Decider is one door's decisions. Decide is called with the clock and the events of one batch, in
// order, and returns the actions to carry out in order; the slice is valid until the next call.
type Decider interface {
	Decide(now float64, events []Event) []Action
}

// Semantics says how often a request may run.
type Semantics uint8

const (
	Idempotent    Semantics = iota // may run again
	Keyed                          // carries a mark by which a group of backends discards a repeat
	NonIdempotent                  // must never run twice
)

// Scope is the group of backends that together discard repeats of a keyed request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Result tells how an attempt, probe or count ended.
type Result uint8

const (
	Finished    Result = iota // answered well
	Errored                   // answered with an error; may have run
	Full                      // turned away unseen
	TimedOut                  // no answer in time; may have run
	Unreachable               // no connection
	Reset                     // connection broken; may have run
	Cancelled                 // cancelled; may have run
	Skipped                   // never sent
	Malformed                 // answered with what cannot be read; may have run
)

// NeverRan reports whether the result proves that the request did not run.
func (r Result) NeverRan() bool { return r == Full || r == Unreachable || r == Skipped }

// Class is a kind of request.
type Class struct {
	Contract    float64 // answers within this time earn the full gain, ms
	Semantics   Semantics
	Scope       Scope
	DedupWindow float64 // how long a keyed repeat is remembered, ms
	LateValue   float64 // fraction of the gain earned after the contract time
	Gain        float64
}

// Plan is what a customer has bought; quotas hold over all doors together.
type Plan struct {
	Rate          float64 // units per ms; 0 means no such quota
	Depth         float64 // most units the quota's store holds
	MaxConcurrent int     // most attempts out at once; 0 means no such quota
	CeilingRate   float64 // units per ms; 0 means no ceiling
	CeilingDepth  float64 // most units the ceiling's store holds
	Price         float64 // multiplies the gain
	OverQuotaGain float64 // share of its gain that a request earns where it is sent beyond the quota
	OverQuotaCost float64 // share of its gain that sending it beyond the quota costs
}

// Terms are what a door is told at its start.
type Terms struct {
	Doors, DoorNumber int
	Classes           []Class
	Plans             []Plan
	MaxAttempts       int
	Hedging           bool    // two attempts of one request may be out together
	MayCancel         bool    // Cancel is allowed
	MaxRetryAfter     float64 // longest advice a client follows, ms; 0 where none may be given
	MeterPeriod       float64 // period over which the meter totals use, ms; 0 means no meter
	Counter           bool    // a shared counter may be called
	MustSubscribe     bool    // changes of the fleet list come only after Track
	ColdCapacity      float64 // a backend starts with this share of its capacity or more
	WarmupTime        float64 // and is warm no later than this, ms
	OverloadMultiple  float64 // sent more than this multiple of its present capacity
	OverloadWindow    float64 // for this long, a cold backend falls over, ms
}

// Event is one of the event types below.
type Event any

// Request arrives; it is owed exactly one final answer within TTL.
type Request struct {
	Op, Class, Plan, Customer int
	TTL                       float64 // ms
	Units                     float64 // drawn from the customer's quota
	ClientRetry               bool    // a client's repeat, where clients mark it
	FirstDoor, Spread         int     // doors through which the customer's requests come: Spread from First on
	Phase                     float64 // of the customer's own, from 0 to 1, the same at every door
}

// AttemptEnded reports how one attempt ended.
type AttemptEnded struct {
	Op, Attempt, Backend int
	Result               Result
	Latency              float64 // ms
	Answered             bool    // the request has its final answer
	MeteredUse           float64 // metered use as a share of the rate; negative when not told
	ActualUnits          float64 // true units, where the request's were a guess; 0 when not told
	Queue                float64 // requests waiting, as the backend reported; negative when not told
}

// Streaming reports that the answer has begun and belongs to the client from here on.
type Streaming struct{ Op, Attempt int }

// ClientGone reports that the client left; nothing is owed any more.
type ClientGone struct{ Op int }

// ShuttingDown tells that the door ends: every request gets its final answer by a clock, however long its client would wait.
type ShuttingDown struct{ Deadline float64 }

// TimerFired reports a due Wake.
type TimerFired struct{}

// Status of a backend on the list.
type Status uint8

const (
	Up Status = iota
	Draining
	Gone
)

// Entry is a line of the fleet list.
type Entry struct {
	Backend, Zone, Cell int
	Status              Status
	StartedAt           float64 // clock of the latest start, ms; 0 means long ago
	Weight              float64 // figure for comparison with other backends; 1 where nothing is known
	RingPosition        float64 // of the backend's own, from 0 to 1, the same at every door
}

// FleetUpdate is news of the list; a complete one replaces all that was known.
type FleetUpdate struct {
	Complete, Failed bool
	Entries          []Entry
}

// DoorsUpdate tells which doors of the fleet are here, as far as is known: Here by their numbers, this one's among them. It is a
// belief, held by each door for itself, and may be wrong: parts of quotas may follow it, ceilings never. Without it all
// doors that the terms tell of count as here.
type DoorsUpdate struct {
	Present      []bool // by number; one beyond its end counts as here
	PresentCount int    // all that are here, those without a number among them
}

// Probed and Counted answer Probe and Count.
type Probed struct {
	Backend int
	Result  Result
	Latency float64
}

type Counted struct {
	Customer int
	Epoch    int64
	Result   Result
	Total    float64
}

// Action is one of the action types below.
type Action any

// Send starts an attempt; they are numbered from 0 for each request.
type Send struct {
	Op, Backend int
	Timeout     float64 // time-out, ms; 0 means until the client gives up
	StartBy     float64 // clock after which it must not begin any more, ms; 0 means whenever. What then has not is Skipped
}

// Cancel stops waiting for one attempt.
type Cancel struct{ Op, Attempt int }

// Cause says why a request is given up. It is for accounts alone: carriers count it and act alike whatever it is.
type Cause uint8

const (
	Unspecified    Cause = iota
	OverQuotaShare       // this door's part of the customer's quota does not hold it
	OverQuota            // nor does what the customer's doors share, as this door last heard
	AtCeiling            // its slice of the plan's ceiling does not hold it
	Overloaded           // its hold would eat the time left
	NoBackend            // no backend on the list may have it
	DeadlineNear         // its client's wait is nearly over
	PastContract         // it can no longer come in its contract time, on a pressed fleet
	AttemptsFailed       // its attempts failed, and it may have no more
	CauseCount           // how many there are
)

// String names the cause as accounts and logs do.
func (c Cause) String() string {
	return [...]string{"unsaid", "over_part", "over_quota", "at_ceiling", "pressed", "nowhere", "time_up", "late", "failed"}[c]
}

// Reject is a final answer: trying again is harmless, best after RetryAfter.
type Reject struct {
	Op         int
	RetryAfter float64 // ms; 0 gives no advice
	Why        Cause
}

// Fail is a final answer that promises nothing.
type Fail struct {
	Op  int
	Why Cause
}

// SetTimer asks for a Woken at the given clock.
type SetTimer struct{ At float64 }

// Probe tests a backend; Count adds to the customer's shared number.
type Probe struct{ Backend int }

type Count struct {
	Customer int
	Epoch    int64   // a number of its own for each epoch; the same customer's is shared by all doors
	Add      float64 // units
	TTL      float64 // forgotten after this time, ms
}

// SubscribeFleet subscribes to changes of the fleet list.
type SubscribeFleet struct{}

// FreeCustomer tells the carrier that a customer's index is free again.
type FreeCustomer struct{ Customer int }

// FreeBackend tells the carrier that the index of a backend that is gone is free again.
type FreeBackend struct{ Backend int }

// Difference is a kind of decision that the terms under watch would have taken otherwise.
type Difference uint8

const (
	SentOverQuota   Difference = iota // rejected beyond its quota; it would have been sent
	NotCounted                        // the counter was called; it would not have been
	OtherRetryAfter                   // rejected with a time to come back; it would have had another, or none
	NoHedge                           // a hedge went out; none would have
	NoRetry                           // held to be sent once more; it would have been given up
	DifferenceCount                   // how many there are
)

// String names the kind as accounts and logs do.
func (d Difference) String() string {
	return [...]string{"sent_beyond", "not_counted", "other_advice", "no_copy", "no_further"}[d]
}

// Differs reports one such decision. It is for accounts alone: carriers count it and do nothing.
type Differs struct{ Kind Difference }

// Log adds a line to the report.
type Log struct{ Text string }
