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

// Violation is one broken rule.
type Violation struct {
	Rule Rule    `json:"rule"`
	At   float64 `json:"at_ms"`
	Door int     `json:"door"`
	Text string  `json:"text"`
}

// Params is what the checkers and the service need to know of a day.
type Params struct {
	Classes          []gate.Class
	Plans            []gate.Plan
	OverQuotaCost    []float64 // by plan
	CeilingSlack     []float64 // by plan, units
	MaxAttempts      int
	Hedging          bool
	AnswerSlack      float64 // ms
	DrainGrace       float64 // ms
	OverloadMultiple float64
	OverloadWindow   float64 // ms
	Slack            float64 // ms by which every limit of time is longer, as on sockets
	CeilingSlackMs   float64 // of the ceiling's rate, by which its slack is wider, as on sockets
	Seconds          float64
	Goal             Goal
	Prices           Prices
}

const mostBreaches = 20 // of a rule that are kept; the rest is counted

// Rules checks all five.
type Rules struct {
	deal     *Params
	Breaches []Violation
	Count    map[Rule]int

	tries    map[int]*try
	spare    []*try
	told     map[pair]telling
	cold     map[int]*trace.ColdBudget
	fallen   map[int]bool
	ceilings map[int]*Store
	nextLook float64
}

type pair struct{ door, backend int }

type telling struct {
	status gate.Status
	at     float64
}

// try is an open try: what was sent for it.
type try struct {
	door, customer, plan, class int
	units, until                float64
	sends                       []sending
}

type sending struct {
	at         float64
	zone, cell int
	closed     bool
	never      bool // known never to have run
}

// Store is a quota's or a ceiling's: it fills at a rate up to a depth.
type Store struct {
	Level float64 // units
	At    float64 // clock of that, ms
	plan  int
}

// Fill brings the store to a clock and returns what it holds.
func (s *Store) Fill(at, rate, depth float64) float64 {
	s.Level, s.At = min(depth, s.Level+rate*(at-s.At)), at
	return s.Level
}

func NewRules(d *Params) *Rules {
	return &Rules{deal: d, Breaches: []Violation{}, Count: map[Rule]int{}, tries: map[int]*try{}, told: map[pair]telling{},
		cold: map[int]*trace.ColdBudget{}, fallen: map[int]bool{}, ceilings: map[int]*Store{}}
}

func (r *Rules) breach(rule Rule, e *trace.Event, format string, args ...any) {
	if r.Count[rule]++; r.Count[rule] <= mostBreaches {
		r.Breaches = append(r.Breaches, Violation{rule, e.At, e.Door, fmt.Sprintf(format, args...)})
	}
}

const lookEvery = 1000 // ms between looks for what was never answered

// Take takes in one event.
func (r *Rules) Take(e *trace.Event) {
	if e.At >= r.nextLook {
		r.nextLook = e.At + lookEvery
		r.overdue(e)
		forgetFull(r.ceilings, e.At, func(p int) float64 { return r.deal.Plans[p].CeilingRate },
			func(p int) float64 { return r.deal.Plans[p].CeilingDepth })
	}
	switch e.Kind {
	case trace.Accepted:
		t := r.fresh()
		t.door, t.customer, t.plan, t.class, t.units, t.until = e.Door, e.Customer, e.Plan, e.Class, e.Units, e.Deadline
		if r.tries[e.Try] != nil {
			r.breach(NoneLost, e, "try %d taken twice", e.Try)
		}
		r.tries[e.Try] = t
	case trace.Sent:
		r.sent(e)
	case trace.Closed:
		if t := r.tries[e.Try]; t != nil && t.door == e.Door && e.Attempt < len(t.sends) {
			t.sends[e.Attempt].closed, t.sends[e.Attempt].never = true, e.Result.NeverRan()
		}
	case trace.Answered:
		r.answered(e)
	case trace.Dropped:
		if r.tries[e.Try] != nil {
			r.breach(NoneLost, e, "the connection of try %d was ended without an answer", e.Try)
			r.drop(e.Try)
		}
	case trace.ClientLeft:
		if t := r.tries[e.Try]; t != nil {
			if e.At > t.until+r.deal.AnswerSlack+r.deal.Slack {
				r.breach(NoneLost, e, "try %d was not answered while its client waited", e.Try)
			}
			r.drop(e.Try)
		}
	case trace.DoorDied:
		for id, t := range r.tries {
			if t.door == e.Door {
				r.drop(id)
			}
		}
		for p := range r.told {
			if p.door == e.Door {
				delete(r.told, p)
			}
		}
	case trace.StatusSeen:
		if e.Status == gate.Up {
			delete(r.told, pair{e.Door, e.Backend})
		} else if was, known := r.told[pair{e.Door, e.Backend}]; !known || was.status == gate.Up {
			r.told[pair{e.Door, e.Backend}] = telling{e.Status, e.At}
		}
	case trace.BackendStarted:
		delete(r.fallen, e.Backend)
		r.cold[e.Backend] = &trace.ColdBudget{Capacity: e.Work, ColdShare: e.ColdShare, WarmupTime: e.WarmupTime, StartedAt: e.At,
			Multiple: r.deal.OverloadMultiple, Window: r.deal.OverloadWindow}
	case trace.Arrived:
		r.came(e)
	case trace.Ended:
		r.overdue(e)
	}
}

func (r *Rules) fresh() *try {
	if n := len(r.spare); n > 0 {
		t := r.spare[n-1]
		r.spare = r.spare[:n-1]
		*t = try{sends: t.sends[:0]}
		return t
	}
	return &try{}
}

func (r *Rules) drop(id int) {
	if t := r.tries[id]; t != nil {
		r.spare = append(r.spare, t)
		delete(r.tries, id)
	}
}

func (r *Rules) overdue(e *trace.Event) {
	var late []int
	for id, t := range r.tries {
		if e.At > t.until+r.deal.AnswerSlack+r.deal.Slack {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		t, at := r.tries[id], *e
		at.Door = t.door
		r.breach(NoneLost, &at, "try %d was not answered by %.1f", id, t.until+r.deal.AnswerSlack+r.deal.Slack)
		r.drop(id)
	}
}

// forgetFull drops the stores that are full again: a new one would say the same.
func forgetFull(of map[int]*Store, at float64, rate, depth func(plan int) float64) {
	for c, s := range of {
		if s.Level+rate(s.plan)*(at-s.At) >= depth(s.plan) {
			delete(of, c)
		}
	}
}

// mayHaveRun tells whether any attempt is not known never to have run.
func (t *try) mayHaveRun() bool {
	for i := range t.sends {
		if !t.sends[i].never {
			return true
		}
	}
	return false
}

func (r *Rules) sent(e *trace.Event) {
	if was, told := r.told[pair{e.Door, e.Backend}]; told && e.At > was.at+r.deal.DrainGrace+r.deal.Slack {
		r.breach(DrainsKept, e, "try %d sent to backend %d, told of %.1f ms before", e.Try, e.Backend, e.At-was.at)
	}
	t := r.tries[e.Try]
	if t == nil || t.door != e.Door {
		r.breach(NoneLost, e, "try %d sent after its end", e.Try)
		return
	}
	if len(t.sends) == r.deal.MaxAttempts {
		r.breach(NoneTwice, e, "try %d sent more than %d times", e.Try, r.deal.MaxAttempts)
		return
	}
	r.repeats(e, t)
	if len(t.sends) == 0 {
		r.draw(e, t)
	}
	t.sends = append(t.sends, sending{at: e.At, zone: e.Zone, cell: e.Cell})
}

// repeats checks an attempt against those before it.
func (r *Rules) repeats(e *trace.Event, t *try) {
	p := &r.deal.Classes[t.class]
	for i := range t.sends {
		s := &t.sends[i]
		switch {
		case !s.closed && !r.deal.Hedging:
			r.breach(NoneTwice, e, "try %d has two transmissions out", e.Try)
		case s.never || p.Semantics == gate.Idempotent:
			continue
		case p.Semantics == gate.NonIdempotent:
			r.breach(NoneTwice, e, "single-use try %d sent again, though transmission %d may have run", e.Try, i)
		case p.Scope == gate.ScopeZone && s.zone != e.Zone, p.Scope == gate.ScopeCell && s.cell != e.Cell:
			r.breach(NoneTwice, e, "tokened try %d sent outside the group of transmission %d", e.Try, i)
		case e.At > s.at+p.DedupWindow+r.deal.Slack:
			r.breach(NoneTwice, e, "tokened try %d sent again %.1f ms after transmission %d", e.Try, e.At-s.at, i)
		default:
			continue
		}
		return
	}
}

// draw takes a first attempt's units from the customer's ceiling.
func (r *Rules) draw(e *trace.Event, t *try) {
	p := &r.deal.Plans[t.plan]
	if p.CeilingRate == 0 {
		return
	}
	s := r.ceilings[t.customer]
	if s == nil {
		s = &Store{Level: p.CeilingDepth, At: e.At, plan: t.plan}
		r.ceilings[t.customer] = s
	}
	slack := r.deal.CeilingSlack[t.plan] + r.deal.CeilingSlackMs*p.CeilingRate
	s.Fill(e.At, p.CeilingRate, p.CeilingDepth)
	if s.Level -= t.units; s.Level < -slack-1e-9 {
		r.breach(CeilingKept, e, "customer %d is %.2f units over its ceiling, with a slack of %.2f", t.customer, -s.Level, slack)
	}
}

func (r *Rules) answered(e *trace.Event) {
	t := r.tries[e.Try]
	if t == nil || t.door != e.Door {
		r.breach(NoneLost, e, "try %d answered after its end", e.Try)
		return
	}
	if e.At > t.until+r.deal.AnswerSlack+r.deal.Slack {
		r.breach(NoneLost, e, "try %d answered %.1f ms late", e.Try, e.At-t.until)
	}
	p := &r.deal.Classes[t.class]
	if e.Answer == trace.Rejected && p.Semantics != gate.Idempotent && t.mayHaveRun() &&
		(p.Semantics == gate.NonIdempotent || p.Scope != gate.ScopeAll) {
		r.breach(NoneTwice, e, "try %d rejected, though a transmission may have run", e.Try)
	}
	r.drop(e.Try)
}

func (r *Rules) came(e *trace.Event) {
	c := r.cold[e.Backend]
	if c == nil || r.fallen[e.Backend] {
		return
	}
	if !c.Cold(e.At) {
		delete(r.cold, e.Backend)
		return
	}
	over, knowing := c.Add(e.At, e.Work, e.KnowsStart)
	if over {
		r.fallen[e.Backend] = true
	}
	if over && knowing {
		r.breach(ColdSpared, e, "backend %d pushed over %.0f ms after its start", e.Backend, e.At-c.StartedAt)
	}
}
