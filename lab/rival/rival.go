// Package rival holds the deciders that the project's own are measured against: a floor, a textbook, an oracle, and the
// textbook with true quotas seen late.
package rival

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/policy"
)

// Names of the deciders, as the command line has them.
const (
	Swifthall = "swifthall"
	Floor     = "floor"
	Textbook  = "textbook"
	Oracle    = "oracle"
	Late      = "late"
)

// Names lists them all.
var Names = []string{Swifthall, Floor, Textbook, Oracle, Late}

// Makers has a maker for each name.
var Makers = map[string]model.Maker{
	Swifthall: {New: func(t gate.Terms, seed uint64, _ model.TrueState) gate.Decider { return policy.New(t, seed) }},
	Floor: {New: func(t gate.Terms, seed uint64, _ model.TrueState) gate.Decider {
		return &floor{base: newBase(t, seed)}
	}},
	Textbook: {New: func(t gate.Terms, seed uint64, _ model.TrueState) gate.Decider {
		return &textbook{base: newBase(t, seed)}
	}},
	Late: {Shared: true, New: func(t gate.Terms, seed uint64, s model.TrueState) gate.Decider {
		return &textbook{base: newBase(t, seed), sight: s}
	}},
	Oracle: {Shared: true, New: func(t gate.Terms, seed uint64, s model.TrueState) gate.Decider {
		return newOracle(t, seed, s)
	}},
}

// request is what a rival keeps of one.
type request struct {
	open        bool
	class, plan int
	units       float64
	until       float64
	sends       []sending
}

type sending struct {
	backend int
	at      float64
	out     bool
	never   bool
}

// base keeps the list and the requests, and the book of what may be sent again.
type base struct {
	terms   gate.Terms
	dice    *rand.Rand
	ops     []request
	up      []bool
	zone    []int
	cell    []int
	out     []int // own attempts, by backend
	listed  []int // those that are up
	actions []gate.Action
	asked   bool
}

func newBase(t gate.Terms, seed uint64) base {
	return base{terms: t, dice: rand.New(rand.NewPCG(seed, 0))}
}

func (b *base) begin() {
	b.actions = b.actions[:0]
	if b.terms.MustSubscribe && !b.asked {
		b.asked = true
		b.actions = append(b.actions, gate.SubscribeFleet{})
	}
}

// hear takes in what every rival takes alike.
func (b *base) hear(e gate.Event) {
	switch e := e.(type) {
	case gate.FleetUpdate:
		b.list(e)
	case gate.ClientGone:
		b.ops[e.Op].open = false
	}
}

func (b *base) list(e gate.FleetUpdate) {
	if e.Failed {
		return
	}
	if e.Complete {
		clear(b.up)
	}
	for _, n := range e.Entries {
		for len(b.up) <= n.Backend {
			b.up, b.zone, b.cell, b.out = append(b.up, false), append(b.zone, 0), append(b.cell, 0), append(b.out, 0)
		}
		b.up[n.Backend], b.zone[n.Backend], b.cell[n.Backend] = n.Status == gate.Up, n.Zone, n.Cell
	}
	b.listed = b.listed[:0]
	for i, up := range b.up {
		if up {
			b.listed = append(b.listed, i)
		}
	}
}

func (b *base) arrive(now float64, e gate.Request) *request {
	for len(b.ops) <= e.Op {
		b.ops = append(b.ops, request{})
	}
	b.ops[e.Op] = request{open: true, class: e.Class, plan: e.Plan, units: e.Units, until: now + e.TTL, sends: b.ops[e.Op].sends[:0]}
	return &b.ops[e.Op]
}

func (b *base) send(now float64, op, backend int, limit float64) {
	b.ops[op].sends = append(b.ops[op].sends, sending{backend: backend, at: now, out: true})
	b.out[backend]++
	b.actions = append(b.actions, gate.Send{Op: op, Backend: backend, Timeout: limit})
}

// ended books an attempt's end, and tells whether the request still waits for something.
func (b *base) ended(e gate.AttemptEnded) (open bool) {
	o := &b.ops[e.Op]
	s := &o.sends[e.Attempt]
	s.out, s.never = false, e.Result.NeverRan()
	b.out[s.backend]--
	if e.Answered {
		o.open = false
	}
	return o.open
}

// end gives a request up: a rejection where the rules let it, else a failure.
func (b *base) end(op int, retryAfter float64) {
	o := &b.ops[op]
	o.open = false
	p := &b.terms.Classes[o.class]
	if p.Semantics != gate.Idempotent && !(p.Semantics == gate.Keyed && p.Scope == gate.ScopeAll) {
		for i := range o.sends {
			if !o.sends[i].never {
				b.actions = append(b.actions, gate.Fail{Op: op})
				return
			}
		}
	}
	b.actions = append(b.actions, gate.Reject{Op: op, RetryAfter: min(retryAfter, b.terms.MaxRetryAfter)})
}

// may tells whether a request may be sent to a backend now.
func (b *base) may(now float64, o *request, backend int) bool {
	p := &b.terms.Classes[o.class]
	if len(o.sends) >= b.terms.MaxAttempts {
		return false
	}
	for i := range o.sends {
		s := &o.sends[i]
		switch {
		case s.out && !b.terms.Hedging:
			return false
		case s.never || p.Semantics == gate.Idempotent:
		case p.Semantics == gate.NonIdempotent,
			p.Scope == gate.ScopeZone && b.zone[s.backend] != b.zone[backend],
			p.Scope == gate.ScopeCell && b.cell[s.backend] != b.cell[backend],
			now > s.at+p.DedupWindow:
			return false
		}
	}
	return true
}

// floor lets all in and sends each once, at random.
type floor struct{ base }

func (f *floor) Decide(now float64, events []gate.Event) []gate.Action {
	f.begin()
	for _, e := range events {
		f.hear(e)
		switch e := e.(type) {
		case gate.Request:
			f.arrive(now, e)
			if len(f.listed) == 0 {
				f.end(e.Op, 0)
				continue
			}
			f.send(now, e.Op, f.listed[f.dice.IntN(len(f.listed))], 0)
		case gate.AttemptEnded:
			if f.ended(e) {
				f.end(e.Op, 0)
			}
		}
	}
	return f.actions
}

// textbook is what is commonly built: a token bucket of an even slice for each customer, the better of two random
// choices by own work out, time-outs at the contract time, retries within a budget.
type textbook struct {
	base
	buckets []bucket
	retries float64         // that the budget still holds
	sight   model.TrueState // where it sees the true quotas late, in place of an even slice
}

type bucket struct {
	level, at float64
	plan      int
	known     bool
}

const (
	budgetShare = 0.1 // retries for each request
	budgetMost  = 10  // retries that the budget holds at most
	lateSight   = 2e3 // ms by which the true state is seen late: as a meter's word with a common period
)

func (t *textbook) Decide(now float64, events []gate.Event) []gate.Action {
	t.begin()
	for _, e := range events {
		t.hear(e)
		switch e := e.(type) {
		case gate.Request:
			t.arrive(now, e)
			t.retries = min(budgetMost, t.retries+budgetShare)
			if rest := t.take(now, e); rest > 0 {
				t.end(e.Op, rest)
			} else {
				t.first(now, e.Op)
			}
		case gate.AttemptEnded:
			if t.ended(e) && !t.again(now, e.Op) {
				t.end(e.Op, 0)
			}
		}
	}
	return t.actions
}

// take draws on the customer's slice; it returns the time until there may be room, 0 where there was.
func (t *textbook) take(now float64, e gate.Request) float64 {
	for len(t.buckets) <= e.Customer {
		t.buckets = append(t.buckets, bucket{})
	}
	p := &t.terms.Plans[e.Plan]
	if p.Rate == 0 {
		return 0
	}
	if t.sight != nil {
		if t.sight.TakeStaleQuota(e.Customer, e.Plan, e.Units, lateSight) {
			return 0
		}
		return e.Units / p.Rate
	}
	k, part := &t.buckets[e.Customer], 1/float64(max(1, e.Spread))
	if !k.known || k.plan != e.Plan {
		*k = bucket{level: p.Depth * part, at: now, plan: e.Plan, known: true}
	}
	most := max(p.Depth*part, e.Units)
	k.level, k.at = min(most, k.level+p.Rate*part*(now-k.at)), now
	if k.level >= e.Units {
		k.level -= e.Units
		return 0
	}
	return (e.Units - k.level) / (p.Rate * part)
}

// pick is the better of two random choices among those that may have the request; -1 where there is none.
func (t *textbook) pick(now float64, o *request) int {
	best := -1
	for range 2 {
		if len(t.listed) == 0 {
			return -1
		}
		b := t.listed[t.dice.IntN(len(t.listed))]
		if t.may(now, o, b) && (best < 0 || t.out[b] < t.out[best]) {
			best = b
		}
	}
	return best
}

func (t *textbook) first(now float64, op int) {
	o := &t.ops[op]
	if b := t.pick(now, o); b >= 0 {
		t.send(now, op, b, t.limit(now, o))
		return
	}
	t.end(op, t.terms.MaxRetryAfter)
}

func (t *textbook) limit(now float64, o *request) float64 {
	return max(1, min(o.until-now, t.terms.Classes[o.class].Contract))
}

func (t *textbook) again(now float64, op int) bool {
	o := &t.ops[op]
	if t.retries < 1 || now >= o.until {
		return false
	}
	b := t.pick(now, o)
	if b < 0 {
		return false
	}
	t.retries--
	t.send(now, op, b, t.limit(now, o))
	return true
}

// oracle sees the true state of all backends and quotas, and sends each request to where it is answered soonest. The
// more pressed the fleet, the more gain a request must bring for its work.
type oracle struct {
	base
	sight model.TrueState
	ranks [][]float64 // by class and plan, of the gain for the work: 1 for the best
}

const (
	poorWait = 0.15 // share of the contract time that the poorest request may be expected to take,
	richWait = 0.5  // and the richest: works vary, so that a mean nearer to the contract time comes late too often
)

func newOracle(t gate.Terms, seed uint64, s model.TrueState) *oracle {
	o := &oracle{base: newBase(t, seed), sight: s}
	var all []float64
	for p := range t.Classes {
		var row []float64
		for q := range t.Plans {
			row = append(row, t.Classes[p].Gain*t.Plans[q].Price/s.MeanWork(p))
		}
		o.ranks, all = append(o.ranks, row), append(all, row...)
	}
	slices.Sort(all)
	for _, row := range o.ranks {
		for q := range row {
			row[q] = float64(slices.Index(all, row[q])+1) / float64(len(all))
		}
	}
	return o
}

func (o *oracle) Decide(now float64, events []gate.Event) []gate.Action {
	o.begin()
	for _, e := range events {
		o.hear(e)
		switch e := e.(type) {
		case gate.Request:
			op := o.arrive(now, e)
			contract, alone := o.terms.Classes[op.class].Contract, o.sight.MeanWork(op.class)
			most := max(alone, contract*(poorWait+(richWait-poorWait)*o.ranks[op.class][op.plan]))
			if b, wait := o.best(now, op); b < 0 || now+wait > op.until || wait > most {
				o.end(e.Op, o.terms.MaxRetryAfter)
			} else if !o.sight.TakeQuota(e.Customer, e.Plan, e.Units) {
				o.end(e.Op, e.Units/max(1e-9, o.terms.Plans[e.Plan].Rate))
			} else {
				o.send(now, e.Op, b, 0)
			}
		case gate.AttemptEnded:
			if !o.ended(e) {
				continue
			}
			op := &o.ops[e.Op]
			if b, wait := o.best(now, op); b >= 0 && now+wait <= op.until {
				o.send(now, e.Op, b, 0)
			} else {
				o.end(e.Op, 0)
			}
		}
	}
	return o.actions
}

// best is the backend that would answer soonest, and when.
func (o *oracle) best(now float64, op *request) (backend int, wait float64) {
	backend, wait = -1, math.Inf(1)
	from := 0
	if len(o.listed) > 0 {
		from = o.dice.IntN(len(o.listed)) // equals are taken in turn
	}
	for i := range o.listed {
		b := o.listed[(from+i)%len(o.listed)]
		if w := o.sight.EstimateWait(b, op.class); w < wait && o.may(now, op, b) {
			backend, wait = b, w
		}
	}
	return backend, wait
}
