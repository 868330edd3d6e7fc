// Package judge checks the trace of a run against five invariants and scores the service that the run gave. It sees only the
// trace, not the decisions behind it. Its memory grows with the requests in flight, not with the length of the run.
package judge

import (
	"fmt"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/trace"
)

// Rule names an invariant.
type Rule string

// The five invariants.
const (
	NoneLost    Rule = "none-lost"    // each accepted try gets one final answer in time, and nothing is sent after it
	NoneTwice   Rule = "none-twice"   // no request is sent where its effect could happen twice
	DrainsKept  Rule = "drains-kept"  // no attempt goes to a backend that the door knows to be draining or gone
	ColdSpared  Rule = "cold-spared"  // a cold backend is not overloaded by doors that know that it is cold
	CeilingKept Rule = "ceiling-kept" // no customer exceeds the ceiling of its plan
)

// AllRules lists the invariants in the order in which they are reported.
var AllRules = []Rule{NoneLost, NoneTwice, DrainsKept, ColdSpared, CeilingKept}

// Violation is one violation of an invariant.
type Violation struct {
	Rule Rule    `json:"rule"`
	At   float64 `json:"at_ms"`
	Door int     `json:"door"`
	Text string  `json:"text"`
}

// Params are the parameters of a run that the checker and the score depend on.
type Params struct {
	Classes          []gate.Class
	Plans            []gate.Plan
	OverQuotaCost    []float64 // by plan: share of its gain that sending a request beyond the quota costs
	CeilingSlack     []float64 // by plan: units by which a ceiling may be exceeded
	MaxAttempts      int
	Hedging          bool
	AnswerSlack      float64 // ms after the deadline within which an answer still counts
	DrainGrace       float64 // ms that a door has to stop sending to a backend that it learns to be draining
	OverloadMultiple float64 // multiple of its capacity that a cold backend withstands
	OverloadWindow   float64 // ms over which that load is measured
	Slack            float64 // ms added to every time limit; above 0 for runs over real sockets
	CeilingSlackMs   float64 // ms of the ceiling's rate added to its slack; above 0 for runs over real sockets
	Seconds          float64 // length of the run
	Goal             Goal
	Prices           Prices
}

const maxViolationsKept = 20 // per rule; further ones are only counted

// Checker checks the trace of a run against all invariants.
type Checker struct {
	params     *Params
	Violations []Violation
	Count      map[Rule]int // of all violations, including those that are not kept

	tries            map[int]*openTry
	spareTries       []*openTry // for reuse
	notified         map[doorBackend]notification
	cold             map[int]*trace.ColdBudget
	collapsed        map[int]bool
	ceilings         map[int]*Bucket
	nextOverdueCheck float64
}

type doorBackend struct{ door, backend int }

// notification is the status other than up that a door has learned of a backend, and when it did.
type notification struct {
	status gate.Status
	at     float64
}

// openTry is a try that has not been answered yet, with the attempts sent for it.
type openTry struct {
	door, customer, plan, class int
	units, deadline             float64
	transmissions               []transmission
}

type transmission struct {
	at         float64
	zone, cell int
	ended      bool
	neverRan   bool // the result proves that it did not run
}

// Bucket is the token bucket of a quota or a ceiling.
type Bucket struct {
	Level float64 // units
	At    float64 // ms, when Level was computed
	plan  int
}

// Fill adds the tokens accrued until a time, up to the depth, and returns the new level.
func (s *Bucket) Fill(at, rate, depth float64) float64 {
	s.Level, s.At = min(depth, s.Level+rate*(at-s.At)), at
	return s.Level
}

// NewChecker returns a checker of all invariants for a run with these parameters.
func NewChecker(d *Params) *Checker {
	return &Checker{params: d, Violations: []Violation{}, Count: map[Rule]int{}, tries: map[int]*openTry{}, notified: map[doorBackend]notification{},
		cold: map[int]*trace.ColdBudget{}, collapsed: map[int]bool{}, ceilings: map[int]*Bucket{}}
}

// report counts a violation, and keeps it unless there are too many of its rule.
func (r *Checker) report(rule Rule, e *trace.Event, format string, args ...any) {
	if r.Count[rule]++; r.Count[rule] <= maxViolationsKept {
		r.Violations = append(r.Violations, Violation{rule, e.At, e.Door, fmt.Sprintf(format, args...)})
	}
}

const overdueCheckMs = 1000 // ms between two searches for tries that were never answered

// Take checks one event.
func (r *Checker) Take(e *trace.Event) {
	if e.At >= r.nextOverdueCheck {
		r.nextOverdueCheck = e.At + overdueCheckMs
		r.reportOverdue(e)
		removeFull(r.ceilings, e.At, func(p int) float64 { return r.params.Plans[p].CeilingRate },
			func(p int) float64 { return r.params.Plans[p].CeilingDepth })
	}
	switch e.Kind {
	case trace.Accepted:
		t := r.newTry()
		t.door, t.customer, t.plan, t.class, t.units, t.deadline = e.Door, e.Customer, e.Plan, e.Class, e.Units, e.Deadline
		if r.tries[e.Try] != nil {
			r.report(NoneLost, e, "try %d accepted twice", e.Try)
		}
		r.tries[e.Try] = t
	case trace.Sent:
		r.checkSent(e)
	case trace.Closed:
		if t := r.tries[e.Try]; t != nil && t.door == e.Door && e.Attempt < len(t.transmissions) {
			t.transmissions[e.Attempt].ended, t.transmissions[e.Attempt].neverRan = true, e.Result.NeverRan()
		}
	case trace.Answered:
		r.checkAnswer(e)
	case trace.Dropped:
		if r.tries[e.Try] != nil {
			r.report(NoneLost, e, "the connection of try %d was ended without an answer", e.Try)
			r.removeTry(e.Try)
		}
	case trace.ClientLeft:
		if t := r.tries[e.Try]; t != nil {
			if e.At > t.deadline+r.params.AnswerSlack+r.params.Slack {
				r.report(NoneLost, e, "try %d was not answered while its client waited", e.Try)
			}
			r.removeTry(e.Try)
		}
	case trace.DoorDied:
		for id, t := range r.tries {
			if t.door == e.Door {
				r.removeTry(id)
			}
		}
		for p := range r.notified {
			if p.door == e.Door {
				delete(r.notified, p)
			}
		}
	case trace.StatusSeen:
		if e.Status == gate.Up {
			delete(r.notified, doorBackend{e.Door, e.Backend})
		} else if was, known := r.notified[doorBackend{e.Door, e.Backend}]; !known || was.status == gate.Up {
			r.notified[doorBackend{e.Door, e.Backend}] = notification{e.Status, e.At}
		}
	case trace.BackendStarted:
		delete(r.collapsed, e.Backend)
		r.cold[e.Backend] = &trace.ColdBudget{Capacity: e.Work, ColdShare: e.ColdShare, WarmupTime: e.WarmupTime, StartedAt: e.At,
			Multiple: r.params.OverloadMultiple, Window: r.params.OverloadWindow}
	case trace.Arrived:
		r.checkColdBackend(e)
	case trace.Ended:
		r.reportOverdue(e)
	}
}

func (r *Checker) newTry() *openTry {
	if n := len(r.spareTries); n > 0 {
		t := r.spareTries[n-1]
		r.spareTries = r.spareTries[:n-1]
		*t = openTry{transmissions: t.transmissions[:0]}
		return t
	}
	return &openTry{}
}

func (r *Checker) removeTry(id int) {
	if t := r.tries[id]; t != nil {
		r.spareTries = append(r.spareTries, t)
		delete(r.tries, id)
	}
}

// reportOverdue reports every try that is past its deadline without an answer.
func (r *Checker) reportOverdue(e *trace.Event) {
	var late []int
	for id, t := range r.tries {
		if e.At > t.deadline+r.params.AnswerSlack+r.params.Slack {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		t, at := r.tries[id], *e
		at.Door = t.door
		r.report(NoneLost, &at, "try %d was not answered by %.1f", id, t.deadline+r.params.AnswerSlack+r.params.Slack)
		r.removeTry(id)
	}
}

// removeFull removes the buckets that are full again: a new one starts out equal to them.
func removeFull(buckets map[int]*Bucket, at float64, rate, depth func(plan int) float64) {
	for customer, s := range buckets {
		if s.Level+rate(s.plan)*(at-s.At) >= depth(s.plan) {
			delete(buckets, customer)
		}
	}
}

// mayHaveRun reports whether any attempt of the try may have run.
func (t *openTry) mayHaveRun() bool {
	for i := range t.transmissions {
		if !t.transmissions[i].neverRan {
			return true
		}
	}
	return false
}

// checkSent checks an attempt against the drain notifications and the earlier attempts of its try.
func (r *Checker) checkSent(e *trace.Event) {
	if was, known := r.notified[doorBackend{e.Door, e.Backend}]; known && e.At > was.at+r.params.DrainGrace+r.params.Slack {
		r.report(DrainsKept, e, "try %d sent to backend %d, which the door knew to be draining or gone for %.1f ms", e.Try, e.Backend, e.At-was.at)
	}
	t := r.tries[e.Try]
	if t == nil || t.door != e.Door {
		r.report(NoneLost, e, "try %d sent after its end", e.Try)
		return
	}
	if len(t.transmissions) == r.params.MaxAttempts {
		r.report(NoneTwice, e, "try %d sent more than %d times", e.Try, r.params.MaxAttempts)
		return
	}
	r.checkRepeat(e, t)
	if len(t.transmissions) == 0 {
		r.chargeCeiling(e, t)
	}
	t.transmissions = append(t.transmissions, transmission{at: e.At, zone: e.Zone, cell: e.Cell})
}

// checkRepeat checks that the earlier attempts of a try allow another one.
func (r *Checker) checkRepeat(e *trace.Event, t *openTry) {
	p := &r.params.Classes[t.class]
	for i := range t.transmissions {
		s := &t.transmissions[i]
		switch {
		case !s.ended && !r.params.Hedging:
			r.report(NoneTwice, e, "try %d has two transmissions out", e.Try)
		case s.neverRan || p.Semantics == gate.Idempotent:
			continue
		case p.Semantics == gate.NonIdempotent:
			r.report(NoneTwice, e, "single-use try %d sent again, though transmission %d may have run", e.Try, i)
		case p.Scope == gate.ScopeZone && s.zone != e.Zone, p.Scope == gate.ScopeCell && s.cell != e.Cell:
			r.report(NoneTwice, e, "tokened try %d sent outside the group of transmission %d", e.Try, i)
		case e.At > s.at+p.DedupWindow+r.params.Slack:
			r.report(NoneTwice, e, "tokened try %d sent again %.1f ms after transmission %d", e.Try, e.At-s.at, i)
		default:
			continue
		}
		return
	}
}

// chargeCeiling takes the units of a try's first attempt from the customer's ceiling.
func (r *Checker) chargeCeiling(e *trace.Event, t *openTry) {
	p := &r.params.Plans[t.plan]
	if p.CeilingRate == 0 {
		return
	}
	s := r.ceilings[t.customer]
	if s == nil {
		s = &Bucket{Level: p.CeilingDepth, At: e.At, plan: t.plan}
		r.ceilings[t.customer] = s
	}
	slack := r.params.CeilingSlack[t.plan] + r.params.CeilingSlackMs*p.CeilingRate
	s.Fill(e.At, p.CeilingRate, p.CeilingDepth)
	if s.Level -= t.units; s.Level < -slack-1e-9 {
		r.report(CeilingKept, e, "customer %d is %.2f units over its ceiling, with a slack of %.2f", t.customer, -s.Level, slack)
	}
}

// checkAnswer checks that a try is answered once, in time, and not rejected where an attempt may have run.
func (r *Checker) checkAnswer(e *trace.Event) {
	t := r.tries[e.Try]
	if t == nil || t.door != e.Door {
		r.report(NoneLost, e, "try %d answered after its end", e.Try)
		return
	}
	if e.At > t.deadline+r.params.AnswerSlack+r.params.Slack {
		r.report(NoneLost, e, "try %d answered %.1f ms late", e.Try, e.At-t.deadline)
	}
	p := &r.params.Classes[t.class]
	if e.Answer == trace.Rejected && p.Semantics != gate.Idempotent && t.mayHaveRun() &&
		(p.Semantics == gate.NonIdempotent || p.Scope != gate.ScopeAll) {
		r.report(NoneTwice, e, "try %d rejected, though a transmission may have run", e.Try)
	}
	r.removeTry(e.Try)
}

// checkColdBackend checks that an arrival does not overload a cold backend. Only overload that comes mostly from doors that knew of
// the backend's start is a violation.
func (r *Checker) checkColdBackend(e *trace.Event) {
	c := r.cold[e.Backend]
	if c == nil || r.collapsed[e.Backend] {
		return
	}
	if !c.Cold(e.At) {
		delete(r.cold, e.Backend)
		return
	}
	over, mostlyInformed := c.Add(e.At, e.Work, e.KnowsStart)
	if over {
		r.collapsed[e.Backend] = true
	}
	if over && mostlyInformed {
		r.report(ColdSpared, e, "backend %d overloaded %.0f ms after its start", e.Backend, e.At-c.StartedAt)
	}
}
