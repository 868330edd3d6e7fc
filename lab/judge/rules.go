// Package judge reads a day's trace and knows nothing of the decisions: five checkers of the rules, and the service that
// the day gave. What it holds grows with what is open, not with the day.
package judge

import (
	"fmt"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/trace"
)

// Rule names one of the five.
type Rule string

const (
	NoneLost    Rule = "none-lost"    // each request taken gets one final answer in time, and nothing is sent after it
	NoneTwice   Rule = "none-twice"   // no effect is risked twice
	DrainsKept  Rule = "drains-kept"  // nothing new goes to a backend known to drain or to be gone
	ColdSpared  Rule = "cold-spared"  // a cold backend is not pushed over
	CeilingKept Rule = "ceiling-kept" // no customer passes its plan's ceiling
)

// AllRules lists them in the order of their numbers.
var AllRules = []Rule{NoneLost, NoneTwice, DrainsKept, ColdSpared, CeilingKept}

// Breach is one broken rule.
type Breach struct {
	Rule Rule    `json:"rule"`
	At   float64 `json:"at_ms"`
	Door int     `json:"door"`
	Text string  `json:"text"`
}

// Deal is what the checkers and the service need to know of a day.
type Deal struct {
	Classes        []gate.Class
	Plans          []gate.Plan
	OverCost       []float64 // by plan
	CeilingSlack   []float64 // by plan, units
	MaxAttempts    int
	Hedging        bool
	AnswerSlack    float64 // ms
	DrainGrace     float64 // ms
	FallMultiple   float64
	FallWindow     float64 // ms
	Slack          float64 // ms by which every limit of time is longer, as on sockets
	CeilingSlackMs float64 // of the ceiling's rate, by which its slack is wider, as on sockets
	Seconds        float64
	Goal           Goal
	Prices         Prices
}

const maxViolationsKept = 20 // of a rule that are kept; the rest is counted

// Checker checks all five.
type Checker struct {
	deal     *Deal
	Breaches []Breach
	Count    map[Rule]int

	tries            map[int]*openTry
	spareTries       []*openTry
	notified         map[doorBackend]notification
	cold             map[int]*trace.ColdBudget
	collapsed        map[int]bool
	ceilings         map[int]*Bucket
	nextOverdueCheck float64
}

type doorBackend struct{ door, backend int }

type notification struct {
	status gate.Status
	at     float64
}

// openTry is an open openTry: what was sent for it.
type openTry struct {
	door, customer, plan, class int
	units, deadline             float64
	transmissions               []transmission
}

type transmission struct {
	at         float64
	zone, cell int
	ended      bool
	neverRan   bool // known never to have run
}

// Bucket is a quota's or a ceiling's: it fills at a rate up to a depth.
type Bucket struct {
	Level float64 // units
	At    float64 // clock of that, ms
	plan  int
}

// Fill brings the store to a clock and returns what it holds.
func (s *Bucket) Fill(at, rate, depth float64) float64 {
	s.Level, s.At = min(depth, s.Level+rate*(at-s.At)), at
	return s.Level
}

func NewChecker(d *Deal) *Checker {
	return &Checker{deal: d, Breaches: []Breach{}, Count: map[Rule]int{}, tries: map[int]*openTry{}, notified: map[doorBackend]notification{},
		cold: map[int]*trace.ColdBudget{}, collapsed: map[int]bool{}, ceilings: map[int]*Bucket{}}
}

func (r *Checker) report(rule Rule, e *trace.Event, format string, args ...any) {
	if r.Count[rule]++; r.Count[rule] <= maxViolationsKept {
		r.Breaches = append(r.Breaches, Breach{rule, e.At, e.Door, fmt.Sprintf(format, args...)})
	}
}

const overdueCheckMs = 1000 // ms between looks for what was never answered

// Take takes in one event.
func (r *Checker) Take(e *trace.Event) {
	if e.At >= r.nextOverdueCheck {
		r.nextOverdueCheck = e.At + overdueCheckMs
		r.reportOverdue(e)
		removeFull(r.ceilings, e.At, func(p int) float64 { return r.deal.Plans[p].CeilingRate },
			func(p int) float64 { return r.deal.Plans[p].CeilingDepth })
	}
	switch e.Kind {
	case trace.Taken:
		t := r.newTry()
		t.door, t.customer, t.plan, t.class, t.units, t.deadline = e.Door, e.Customer, e.Plan, e.Class, e.Units, e.Until
		if r.tries[e.Try] != nil {
			r.report(NoneLost, e, "try %d taken twice", e.Try)
		}
		r.tries[e.Try] = t
	case trace.Sent:
		r.checkSent(e)
	case trace.Closed:
		if t := r.tries[e.Try]; t != nil && t.door == e.Door && e.Number < len(t.transmissions) {
			t.transmissions[e.Number].ended, t.transmissions[e.Number].neverRan = true, e.Result.NeverRan()
		}
	case trace.Answered:
		r.checkAnswer(e)
	case trace.Dropped:
		if r.tries[e.Try] != nil {
			r.report(NoneLost, e, "the connection of try %d was ended without an answer", e.Try)
			r.removeTry(e.Try)
		}
	case trace.Left:
		if t := r.tries[e.Try]; t != nil {
			if e.At > t.deadline+r.deal.AnswerSlack+r.deal.Slack {
				r.report(NoneLost, e, "try %d was not answered while its client waited", e.Try)
			}
			r.removeTry(e.Try)
		}
	case trace.Died:
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
	case trace.Told:
		if e.Status == gate.Up {
			delete(r.notified, doorBackend{e.Door, e.Backend})
		} else if was, known := r.notified[doorBackend{e.Door, e.Backend}]; !known || was.status == gate.Up {
			r.notified[doorBackend{e.Door, e.Backend}] = notification{e.Status, e.At}
		}
	case trace.Began:
		delete(r.collapsed, e.Backend)
		r.cold[e.Backend] = &trace.ColdBudget{Capacity: e.Work, From: e.Cold, Span: e.Span, Began: e.At,
			Multiple: r.deal.FallMultiple, Window: r.deal.FallWindow}
	case trace.Came:
		r.checkColdBackend(e)
	case trace.Over:
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

func (r *Checker) reportOverdue(e *trace.Event) {
	var late []int
	for id, t := range r.tries {
		if e.At > t.deadline+r.deal.AnswerSlack+r.deal.Slack {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		t, at := r.tries[id], *e
		at.Door = t.door
		r.report(NoneLost, &at, "try %d was not answered by %.1f", id, t.deadline+r.deal.AnswerSlack+r.deal.Slack)
		r.removeTry(id)
	}
}

// removeFull drops the stores that are full again: a new one would say the same.
func removeFull(of map[int]*Bucket, at float64, rate, depth func(plan int) float64) {
	for c, s := range of {
		if s.Level+rate(s.plan)*(at-s.At) >= depth(s.plan) {
			delete(of, c)
		}
	}
}

// mayHaveRun tells whether any attempt is not known never to have run.
func (t *openTry) mayHaveRun() bool {
	for i := range t.transmissions {
		if !t.transmissions[i].neverRan {
			return true
		}
	}
	return false
}

func (r *Checker) checkSent(e *trace.Event) {
	if was, told := r.notified[doorBackend{e.Door, e.Backend}]; told && e.At > was.at+r.deal.DrainGrace+r.deal.Slack {
		r.report(DrainsKept, e, "try %d sent to backend %d, told of %.1f ms before", e.Try, e.Backend, e.At-was.at)
	}
	t := r.tries[e.Try]
	if t == nil || t.door != e.Door {
		r.report(NoneLost, e, "try %d sent after its end", e.Try)
		return
	}
	if len(t.transmissions) == r.deal.MaxAttempts {
		r.report(NoneTwice, e, "try %d sent more than %d times", e.Try, r.deal.MaxAttempts)
		return
	}
	r.checkRepeat(e, t)
	if len(t.transmissions) == 0 {
		r.chargeCeiling(e, t)
	}
	t.transmissions = append(t.transmissions, transmission{at: e.At, zone: e.Zone, cell: e.Cell})
}

// checkRepeat checks an attempt against those before it.
func (r *Checker) checkRepeat(e *trace.Event, t *openTry) {
	p := &r.deal.Classes[t.class]
	for i := range t.transmissions {
		s := &t.transmissions[i]
		switch {
		case !s.ended && !r.deal.Hedging:
			r.report(NoneTwice, e, "try %d has two transmissions out", e.Try)
		case s.neverRan || p.Semantics == gate.Idempotent:
			continue
		case p.Semantics == gate.NonIdempotent:
			r.report(NoneTwice, e, "single-use try %d sent again, though transmission %d may have run", e.Try, i)
		case p.Scope == gate.ScopeZone && s.zone != e.Zone, p.Scope == gate.ScopeCell && s.cell != e.Cell:
			r.report(NoneTwice, e, "tokened try %d sent outside the group of transmission %d", e.Try, i)
		case e.At > s.at+p.DedupWindow+r.deal.Slack:
			r.report(NoneTwice, e, "tokened try %d sent again %.1f ms after transmission %d", e.Try, e.At-s.at, i)
		default:
			continue
		}
		return
	}
}

// chargeCeiling takes a first attempt's units from the customer's ceiling.
func (r *Checker) chargeCeiling(e *trace.Event, t *openTry) {
	p := &r.deal.Plans[t.plan]
	if p.CeilingRate == 0 {
		return
	}
	s := r.ceilings[t.customer]
	if s == nil {
		s = &Bucket{Level: p.CeilingDepth, At: e.At, plan: t.plan}
		r.ceilings[t.customer] = s
	}
	slack := r.deal.CeilingSlack[t.plan] + r.deal.CeilingSlackMs*p.CeilingRate
	s.Fill(e.At, p.CeilingRate, p.CeilingDepth)
	if s.Level -= t.units; s.Level < -slack-1e-9 {
		r.report(CeilingKept, e, "customer %d is %.2f units over its ceiling, with a slack of %.2f", t.customer, -s.Level, slack)
	}
}

func (r *Checker) checkAnswer(e *trace.Event) {
	t := r.tries[e.Try]
	if t == nil || t.door != e.Door {
		r.report(NoneLost, e, "try %d answered after its end", e.Try)
		return
	}
	if e.At > t.deadline+r.deal.AnswerSlack+r.deal.Slack {
		r.report(NoneLost, e, "try %d answered %.1f ms late", e.Try, e.At-t.deadline)
	}
	p := &r.deal.Classes[t.class]
	if e.Answer == trace.Rejected && p.Semantics != gate.Idempotent && t.mayHaveRun() &&
		(p.Semantics == gate.NonIdempotent || p.Scope != gate.ScopeAll) {
		r.report(NoneTwice, e, "try %d rejected, though a transmission may have run", e.Try)
	}
	r.removeTry(e.Try)
}

func (r *Checker) checkColdBackend(e *trace.Event) {
	c := r.cold[e.Backend]
	if c == nil || r.collapsed[e.Backend] {
		return
	}
	if !c.Cold(e.At) {
		delete(r.cold, e.Backend)
		return
	}
	over, knowing := c.Take(e.At, e.Work, e.Told)
	if over {
		r.collapsed[e.Backend] = true
	}
	if over && knowing {
		r.report(ColdSpared, e, "backend %d pushed over %.0f ms after its start", e.Backend, e.At-c.Began)
	}
}
