// Package rival holds the baseline policies with which the project's own is compared: a floor, a textbook policy, an oracle, and the
// textbook policy with a late view of the true quotas.
package rival

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/policy"
)

// Policy names, as used on the command line.
const (
	Swifthall = "swifthall"
	Floor     = "floor"
	Textbook  = "textbook"
	Oracle    = "oracle"
	Late      = "late"
)

// Names lists all policies.
var Names = []string{Swifthall, Floor, Textbook, Oracle, Late}

// Makers holds the constructor of each policy.
var Makers = map[string]model.Maker{
	Swifthall: {New: func(t gate.Terms, seed uint64, _ model.TrueState) gate.Decider { return policy.New(t, seed) }},
	Floor: {New: func(t gate.Terms, seed uint64, _ model.TrueState) gate.Decider {
		return &floor{base: newBase(t, seed)}
	}},
	Textbook: {New: func(t gate.Terms, seed uint64, _ model.TrueState) gate.Decider {
		return &textbook{base: newBase(t, seed)}
	}},
	Late: {Shared: true, New: func(t gate.Terms, seed uint64, s model.TrueState) gate.Decider {
		return &textbook{base: newBase(t, seed), trueState: s}
	}},
	Oracle: {Shared: true, New: func(t gate.Terms, seed uint64, s model.TrueState) gate.Decider {
		return newOracle(t, seed, s)
	}},
}

// request is the state of a request.
type request struct {
	open        bool
	class, plan int
	units       float64
	deadline    float64
	attempts    []attempt
}

// attempt is one attempt of a request.
type attempt struct {
	backend  int
	at       float64
	pending  bool
	neverRan bool
}

// base is what all baselines share: the fleet list, the requests, and the rules on repeated attempts.
type base struct {
	terms       gate.Terms
	random      *rand.Rand
	ops         []request
	up          []bool
	zone        []int
	cell        []int
	outstanding []int // own unfinished attempts, by backend
	listed      []int // backends that are up
	actions     []gate.Action
	subscribed  bool
}

func newBase(t gate.Terms, seed uint64) base {
	return base{terms: t, random: rand.New(rand.NewPCG(seed, 0))}
}

// begin starts a batch of events, and subscribes to the fleet list if the terms require it.
func (b *base) begin() {
	b.actions = b.actions[:0]
	if b.terms.MustSubscribe && !b.subscribed {
		b.subscribed = true
		b.actions = append(b.actions, gate.SubscribeFleet{})
	}
}

// handleCommon handles the events that all baselines treat alike.
func (b *base) handleCommon(e gate.Event) {
	switch e := e.(type) {
	case gate.FleetUpdate:
		b.updateFleet(e)
	case gate.ClientGone:
		b.ops[e.Op].open = false
	}
}

// updateFleet applies a fleet update, complete or not.
func (b *base) updateFleet(e gate.FleetUpdate) {
	if e.Failed {
		return
	}
	if e.Complete {
		clear(b.up)
	}
	for _, n := range e.Entries {
		for len(b.up) <= n.Backend {
			b.up, b.zone, b.cell, b.outstanding = append(b.up, false), append(b.zone, 0), append(b.cell, 0), append(b.outstanding, 0)
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

// addRequest stores a new request.
func (b *base) addRequest(now float64, e gate.Request) *request {
	for len(b.ops) <= e.Op {
		b.ops = append(b.ops, request{})
	}
	b.ops[e.Op] = request{open: true, class: e.Class, plan: e.Plan, units: e.Units, deadline: now + e.TTL, attempts: b.ops[e.Op].attempts[:0]}
	return &b.ops[e.Op]
}

func (b *base) send(now float64, op, backend int, limit float64) {
	b.ops[op].attempts = append(b.ops[op].attempts, attempt{backend: backend, at: now, pending: true})
	b.outstanding[backend]++
	b.actions = append(b.actions, gate.Send{Op: op, Backend: backend, Timeout: limit})
}

// recordEnd records the end of an attempt, and reports whether the request still needs an answer.
func (b *base) recordEnd(e gate.AttemptEnded) (open bool) {
	o := &b.ops[e.Op]
	s := &o.attempts[e.Attempt]
	s.pending, s.neverRan = false, e.Result.NeverRan()
	b.outstanding[s.backend]--
	if e.Answered {
		o.open = false
	}
	return o.open
}

// giveUp ends a request: with a rejection if that is allowed, else with a failure. A request that may have run can be rejected only if
// it is idempotent, or has a key known to all backends.
func (b *base) giveUp(op int, retryAfter float64) {
	o := &b.ops[op]
	o.open = false
	p := &b.terms.Classes[o.class]
	if p.Semantics != gate.Idempotent && !(p.Semantics == gate.Keyed && p.Scope == gate.ScopeAll) {
		for i := range o.attempts {
			if !o.attempts[i].neverRan {
				b.actions = append(b.actions, gate.Fail{Op: op})
				return
			}
		}
	}
	b.actions = append(b.actions, gate.Reject{Op: op, RetryAfter: min(retryAfter, b.terms.MaxRetryAfter)})
}

// mayAttempt reports whether the request may be sent to a backend now, by its semantics and the number of attempts.
func (b *base) mayAttempt(now float64, o *request, backend int) bool {
	p := &b.terms.Classes[o.class]
	if len(o.attempts) >= b.terms.MaxAttempts {
		return false
	}
	for i := range o.attempts {
		s := &o.attempts[i]
		switch {
		case s.pending && !b.terms.Hedging:
			return false
		case s.neverRan || p.Semantics == gate.Idempotent:
		case p.Semantics == gate.NonIdempotent,
			p.Scope == gate.ScopeZone && b.zone[s.backend] != b.zone[backend],
			p.Scope == gate.ScopeCell && b.cell[s.backend] != b.cell[backend],
			now > s.at+p.DedupWindow:
			return false
		}
	}
	return true
}

// floor admits every request and sends it once, to a random backend.
type floor struct{ base }

func (f *floor) Decide(now float64, events []gate.Event) []gate.Action {
	f.begin()
	for _, e := range events {
		f.handleCommon(e)
		switch e := e.(type) {
		case gate.Request:
			f.addRequest(now, e)
			if len(f.listed) == 0 {
				f.giveUp(e.Op, 0)
				continue
			}
			f.send(now, e.Op, f.listed[f.random.IntN(len(f.listed))], 0)
		case gate.AttemptEnded:
			if f.recordEnd(e) {
				f.giveUp(e.Op, 0)
			}
		}
	}
	return f.actions
}

// textbook is what is commonly built: a token bucket per customer with an equal share of the quota, the better of two random
// backends by own outstanding attempts, timeouts at the contract time, and retries within a budget.
type textbook struct {
	base
	buckets     []bucket
	retryBudget float64         // tokens left in the retry budget
	trueState   model.TrueState // if set, the true quotas are checked, with delay, instead of an equal share
}

// bucket is a customer's token bucket.
type bucket struct {
	level, at float64
	plan      int
	known     bool
}

const (
	retryBudgetShare = 0.1 // tokens per request
	maxRetryBudget   = 10  // maximum number of tokens
	quotaDelayMs     = 2e3 // ms by which the true quotas are seen late, like usage meters with a common period
)

func (t *textbook) Decide(now float64, events []gate.Event) []gate.Action {
	t.begin()
	for _, e := range events {
		t.handleCommon(e)
		switch e := e.(type) {
		case gate.Request:
			t.addRequest(now, e)
			t.retryBudget = min(maxRetryBudget, t.retryBudget+retryBudgetShare)
			if rest := t.takeQuota(now, e); rest > 0 {
				t.giveUp(e.Op, rest)
			} else {
				t.sendFirst(now, e.Op)
			}
		case gate.AttemptEnded:
			if t.recordEnd(e) && !t.retry(now, e.Op) {
				t.giveUp(e.Op, 0)
			}
		}
	}
	return t.actions
}

// takeQuota takes tokens from the customer's bucket. It returns 0 on success, else the ms until there may be enough.
func (t *textbook) takeQuota(now float64, e gate.Request) float64 {
	for len(t.buckets) <= e.Customer {
		t.buckets = append(t.buckets, bucket{})
	}
	p := &t.terms.Plans[e.Plan]
	if p.Rate == 0 {
		return 0
	}
	if t.trueState != nil {
		if t.trueState.TakeStaleQuota(e.Customer, e.Plan, e.Units, quotaDelayMs) {
			return 0
		}
		return e.Units / p.Rate
	}
	k, part := &t.buckets[e.Customer], 1/float64(max(1, e.Spread))
	if !k.known || k.plan != e.Plan {
		*k = bucket{level: p.Depth * part, at: now, plan: e.Plan, known: true}
	}
	capacity := max(p.Depth*part, e.Units)
	k.level, k.at = min(capacity, k.level+p.Rate*part*(now-k.at)), now
	if k.level >= e.Units {
		k.level -= e.Units
		return 0
	}
	return (e.Units - k.level) / (p.Rate * part)
}

// pickBackend returns the better of two random backends that the request may be sent to, or -1.
func (t *textbook) pickBackend(now float64, o *request) int {
	best := -1
	for range 2 {
		if len(t.listed) == 0 {
			return -1
		}
		b := t.listed[t.random.IntN(len(t.listed))]
		if t.mayAttempt(now, o, b) && (best < 0 || t.outstanding[b] < t.outstanding[best]) {
			best = b
		}
	}
	return best
}

// sendFirst sends the first attempt, or gives up if there is no backend.
func (t *textbook) sendFirst(now float64, op int) {
	o := &t.ops[op]
	if b := t.pickBackend(now, o); b >= 0 {
		t.send(now, op, b, t.attemptTimeout(now, o))
		return
	}
	t.giveUp(op, t.terms.MaxRetryAfter)
}

// attemptTimeout returns the time left or the contract time, whichever is less.
func (t *textbook) attemptTimeout(now float64, o *request) float64 {
	return max(1, min(o.deadline-now, t.terms.Classes[o.class].Contract))
}

// retry sends another attempt if the retry budget and the time left allow it.
func (t *textbook) retry(now float64, op int) bool {
	o := &t.ops[op]
	if t.retryBudget < 1 || now >= o.deadline {
		return false
	}
	b := t.pickBackend(now, o)
	if b < 0 {
		return false
	}
	t.retryBudget--
	t.send(now, op, b, t.attemptTimeout(now, o))
	return true
}

// oracle sees the true state of all backends and quotas, and sends each request to the backend that will answer first. The longer
// the queues, the more gain a request must bring for its work to be admitted.
type oracle struct {
	base
	trueState model.TrueState
	ranks     [][]float64 // rank of a class and plan by gain per work; 1 for the highest
}

const (
	lowestRankWait  = 0.15 // longest expected wait at which the lowest rank is admitted, as a share of the contract time
	highestRankWait = 0.5  // the same for the highest rank; work varies, so a wait closer to the contract time would too often end late
)

// newOracle ranks all pairs of class and plan by their gain per work.
func newOracle(t gate.Terms, seed uint64, s model.TrueState) *oracle {
	o := &oracle{base: newBase(t, seed), trueState: s}
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
		o.handleCommon(e)
		switch e := e.(type) {
		case gate.Request:
			op := o.addRequest(now, e)
			contract, alone := o.terms.Classes[op.class].Contract, o.trueState.MeanWork(op.class)
			maxWait := max(alone, contract*(lowestRankWait+(highestRankWait-lowestRankWait)*o.ranks[op.class][op.plan]))
			if b, wait := o.fastestBackend(now, op); b < 0 || now+wait > op.deadline || wait > maxWait {
				o.giveUp(e.Op, o.terms.MaxRetryAfter)
			} else if !o.trueState.TakeQuota(e.Customer, e.Plan, e.Units) {
				o.giveUp(e.Op, e.Units/max(1e-9, o.terms.Plans[e.Plan].Rate))
			} else {
				o.send(now, e.Op, b, 0)
			}
		case gate.AttemptEnded:
			if !o.recordEnd(e) {
				continue
			}
			op := &o.ops[e.Op]
			if b, wait := o.fastestBackend(now, op); b >= 0 && now+wait <= op.deadline {
				o.send(now, e.Op, b, 0)
			} else {
				o.giveUp(e.Op, 0)
			}
		}
	}
	return o.actions
}

// fastestBackend returns the backend that would answer first, and after how many ms; -1 if there is none.
func (o *oracle) fastestBackend(now float64, op *request) (backend int, wait float64) {
	backend, wait = -1, math.Inf(1)
	from := 0
	if len(o.listed) > 0 {
		from = o.random.IntN(len(o.listed)) // spreads requests among equal backends
	}
	for i := range o.listed {
		b := o.listed[(from+i)%len(o.listed)]
		if w := o.trueState.EstimateWait(b, op.class); w < wait && o.mayAttempt(now, op, b) {
			backend, wait = b, w
		}
	}
	return backend, wait
}
