// Package gate is the interface between the decision module and its driver, which carries the requests: the
// terms of a door, the events that the driver reports, and the actions that it carries out. It knows no wire format.
//
// Times are milliseconds with fractions, on the driver's clock. Requests, backends, customers, classes, plans, zones
// and cells are small dense indices assigned by the driver; Op is the index of a request.
package gate

// Decider makes the decisions of one door. Decide takes the clock and the events of one batch, in order, and
// returns the actions to carry out, in order. The slice is valid until the next call.
type Decider interface {
	Decide(now float64, events []Event) []Action
}

// Semantics states how often a request may run.
type Semantics uint8

const (
	Idempotent    Semantics = iota // may run again
	Keyed                          // has an idempotency key by which a group of backends discards repeats
	NonIdempotent                  // must never run twice
)

// Scope is the group of backends that shares the idempotency keys of a request, and so discards repeats together.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Result is how an attempt, a probe or a counter call ended.
type Result uint8

const (
	Finished    Result = iota // answered successfully
	Errored                   // answered with an error; may have run
	Full                      // refused without running
	TimedOut                  // no answer in time; may have run
	Unreachable               // no connection
	Reset                     // connection lost; may have run
	Cancelled                 // cancelled; may have run
	Skipped                   // never sent
	Malformed                 // the answer cannot be parsed; may have run
)

// NeverRan reports whether the result proves that the request did not run.
func (r Result) NeverRan() bool { return r == Full || r == Unreachable || r == Skipped }

// Class describes a kind of request.
type Class struct {
	Contract    float64 // contract time, ms: an answer within it earns the full gain
	Semantics   Semantics
	Scope       Scope
	DedupWindow float64 // how long the key of a keyed request is remembered, ms
	LateValue   float64 // share of the gain that a later answer earns
	// Gain is what an answer within the contract time earns per unit.
	Gain float64
}

// Plan describes what a customer has bought. Quotas apply to all doors together.
type Plan struct {
	Rate          float64 // units per ms; 0 means no such quota
	Depth         float64 // depth of the quota's token bucket, units
	MaxConcurrent int     // most attempts in flight; 0 means no such quota
	CeilingRate   float64 // units per ms; 0 means no ceiling
	CeilingDepth  float64 // depth of the ceiling's token bucket, units
	Price         float64 // multiplies the gain
	OverQuotaGain float64 // share of its gain that a request earns when it is sent beyond the quota
	OverQuotaCost float64 // share of its gain that sending a request beyond the quota costs
}

// Terms configure a door at its start.
type Terms struct {
	// Doors is the number of doors, DoorNumber this door's number among them, from 0.
	Doors, DoorNumber int
	Classes           []Class
	Plans             []Plan
	MaxAttempts       int
	Hedging           bool    // two attempts of one request may be in flight together
	MayCancel         bool    // the Cancel action is allowed
	MaxRetryAfter     float64 // longest Retry-After that clients follow, ms; 0 where none may be given
	MeterPeriod       float64 // period over which the usage meter totals use, ms; 0 means no meter
	Counter           bool    // a shared counter may be called
	MustSubscribe     bool    // fleet list updates come only after a SubscribeFleet action
	ColdCapacity      float64 // lower bound of the capacity share with which a backend starts, 0 to 1
	WarmupTime        float64 // time after which a started backend is warm at the latest, ms
	OverloadMultiple  float64 // multiple of its present capacity above which a cold backend collapses
	OverloadWindow    float64 // time after which a load above OverloadMultiple makes a cold backend collapse, ms
	MaxCustomers      int     // most customers without open requests whose state is kept; 0 means no limit
}

// Event is one of the event types below.
type Event any

// Request reports an arrival. The door must give it exactly one final answer within TTL.
type Request struct {
	Op, Class, Plan, Customer int
	TTL                       float64 // time to the client's deadline, ms
	Units                     float64 // units taken from the customer's quota; an estimate where AttemptEnded reports others
	ClientRetry               bool    // the client marked the request as a retry
	FirstDoor, Spread         int     // the customer's requests come through Spread doors from number FirstDoor on
	Phase                     float64 // offset of the customer's counter windows, 0 to 1; the same at every door
}

// AttemptEnded reports how one attempt ended.
type AttemptEnded struct {
	Op, Attempt, Backend int
	Result               Result
	Latency              float64 // ms
	Answered             bool    // the client has its final answer
	MeteredUse           float64 // metered use of the quota, as a share of its rate; negative when not reported
	ActualUnits          float64 // actual units, where the request's were an estimate; 0 when not reported
	Queue                float64 // requests waiting, as reported by the backend; negative when not reported
}

// Streaming reports that the response has started to reach the client, so the request must not be hedged or given up.
type Streaming struct{ Op, Attempt int }

// ClientGone reports that the client left; it needs no answer any more.
type ClientGone struct{ Op int }

// ShuttingDown reports that the door shuts down: every request gets its final answer by Deadline, whatever its client's own.
type ShuttingDown struct{ Deadline float64 }

// TimerFired reports that the timer of a SetTimer action fired.
type TimerFired struct{}

// Status is the state of a backend on the fleet list.
type Status uint8

const (
	Up Status = iota
	Draining
	Gone
)

// Entry describes one backend of the fleet list.
type Entry struct {
	Backend, Zone, Cell int
	Status              Status
	StartedAt           float64 // latest start, ms; 0 means long ago
	Weight              float64 // capacity relative to other backends; 1 when unknown
	RingPosition        float64 // position on the ring by which doors choose their subsets, 0 to 1; the same at every door
}

// FleetUpdate reports changes of the fleet list. A complete one replaces the whole list; a failed one has no entries.
type FleetUpdate struct {
	Complete, Failed bool
	Entries          []Entry
}

// DoorsUpdate reports which doors are believed to be present, this one included. Each door has its own view, which may be
// wrong: quota shares may follow it, ceilings must not. Before the first update all doors of the terms count as present.
type DoorsUpdate struct {
	Present      []bool // by door number; numbers beyond its end count as present
	PresentCount int    // number of doors present, including those without a number
}

// Probed reports how a Probe ended.
type Probed struct {
	Backend int
	Result  Result
	Latency float64
}

// Counted reports how a Count ended; Total is the customer's total for the epoch after it, units.
type Counted struct {
	Customer int
	Epoch    int64
	Result   Result
	Total    float64
}

// CountedLate reports the answer to a Count that was reported as TimedOut before.
type CountedLate struct {
	Customer int
	Epoch    int64
	Call     int64   // number of the Count
	Total    float64 // the customer's total for the epoch after it, units
	Latency  float64 // from the Count to its answer, ms
}

// Action is one of the action types below.
type Action any

// Send starts an attempt. The attempts of a request are numbered from 0.
type Send struct {
	Op, Backend int
	Timeout     float64 // timeout, ms; 0 means the client's deadline
	StartBy     float64 // clock after which the attempt must not start but ends as Skipped, ms; 0 means no bound
}

// Cancel aborts one attempt.
type Cancel struct{ Op, Attempt int }

// Cause is the reason for a rejection or failure. It is for statistics only: drivers count it and must not act on it.
type Cause uint8

const (
	// Unspecified is the zero value, for deciders that give no cause.
	Unspecified    Cause = iota
	OverQuotaShare       // this door's share of the customer's quota does not hold it
	OverQuota            // the quota shared by the customer's doors does not hold it, as last reported to this door
	AtCeiling            // this door's slice of the plan's ceiling does not hold it
	Overloaded           // its hold would leave too little time
	NoBackend            // no backend on the list is eligible
	DeadlineNear         // the client's deadline is close
	PastContract         // past its contract time on an overloaded fleet
	AttemptsFailed       // its attempts failed and it may have no more
	CauseCount           // number of causes
)

// String returns the name of the cause in statistics and logs.
func (c Cause) String() string {
	return [...]string{"unsaid", "over_part", "over_quota", "at_ceiling", "pressed", "nowhere", "time_up", "late", "failed"}[c]
}

// Reject is a final answer: a retry is harmless, best after RetryAfter.
type Reject struct {
	Op         int
	RetryAfter float64 // ms; 0 means no Retry-After
	Why        Cause
}

// Fail is a final answer that does not exclude that the request ran.
type Fail struct {
	Op  int
	Why Cause
}

// SetTimer requests a TimerFired event at the given clock.
type SetTimer struct{ At float64 }

// Probe tests a backend.
type Probe struct{ Backend int }

// Count adds units to a customer's total on the shared counter.
type Count struct {
	Customer int
	Epoch    int64   // number of the customer's window; all doors use the same
	Add      float64 // units
	TTL      float64 // time after which the counter may forget the total, ms
	Call     int64   // number of the call
}

// SubscribeFleet subscribes to changes of the fleet list.
type SubscribeFleet struct{}

// FreeCustomer reports that the driver may reuse a customer's index.
type FreeCustomer struct{ Customer int }

// FreeBackend reports that the driver may reuse the index of a backend that is gone.
type FreeBackend struct{ Backend int }

// Difference is a kind of decision that the terms under comparison would have made differently.
type Difference uint8

const (
	SentOverQuota   Difference = iota // rejected beyond its quota; would have been sent
	NotCounted                        // the counter was called; would not have been
	OtherRetryAfter                   // rejected with a Retry-After; would have had another or none
	NoHedge                           // hedged; would not have been
	NoRetry                           // held for another attempt; would have been given up
	DifferenceCount                   // number of kinds
)

// String returns the name of the kind in statistics and logs.
func (d Difference) String() string {
	return [...]string{"sent_beyond", "not_counted", "other_advice", "no_copy", "no_further"}[d]
}

// Differs reports one decision that the terms under comparison would have made differently. It is for statistics only:
// drivers count it and must not act on it.
type Differs struct{ Kind Difference }

// Log adds a line to the driver's report.
type Log struct{ Text string }
