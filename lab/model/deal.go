package model

import (
	"math"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/scenario"
)

var semantics = map[string]gate.Semantics{"replayable": gate.Idempotent, "tokened": gate.Keyed, "single-use": gate.NonIdempotent}

var scopes = map[string]gate.Scope{"all": gate.ScopeAll, "zone": gate.ScopeZone, "cell": gate.ScopeCell}

// Terms are what a door of the scenario is told.
func Terms(s *scenario.Scenario, number int) gate.Terms {
	t := gate.Terms{Doors: s.Fleet.Doors, DoorNumber: number, MaxAttempts: s.Allow.MaxAttempts, Hedging: s.Allow.Hedging,
		MayCancel: s.Allow.Cancel, MeterPeriod: s.Meter.PeriodMs, Counter: s.Counter.On,
		MustSubscribe: s.Discovery.Ask, ColdCapacity: s.Rules.ColdFrom, WarmupTime: s.Rules.ColdS * 1000, OverloadMultiple: s.Rules.FallMultiple,
		OverloadWindow: s.Rules.FallMs}
	if s.Allow.RetryAfter {
		t.MaxRetryAfter = s.Clients.MaxRetryAfterMs
	}
	for _, p := range s.Classes {
		t.Classes = append(t.Classes, gate.Class{Contract: p.ContractMs, Semantics: semantics[p.Semantics], Scope: scopes[p.Scope],
			DedupWindow: p.WindowMs, LateValue: p.LateValue, Gain: p.Gain})
	}
	for _, p := range s.Plans {
		t.Plans = append(t.Plans, gate.Plan{Rate: p.PerS / 1000, Depth: p.Depth, MaxConcurrent: p.AtOnce, CeilingRate: p.CeilingPerS / 1000,
			CeilingDepth: p.CeilingDepth, Price: p.Price})
	}
	return t
}

// Deal is what the judge is told of the scenario.
func Deal(s *scenario.Scenario) *judge.Params {
	t := Terms(s, 0)
	d := &judge.Params{Classes: t.Classes, Plans: t.Plans, MaxAttempts: t.MaxAttempts, Hedging: t.Hedging,
		AnswerSlack: s.Rules.AnswerSlackMs, DrainGrace: s.Rules.DrainGraceMs, OverloadMultiple: s.Rules.FallMultiple,
		OverloadWindow: s.Rules.FallMs, Seconds: s.Day.Seconds, Goal: judge.Goal(s.Goal), Prices: judge.Prices(s.Prices)}
	for _, p := range s.Plans {
		d.OverQuotaCost, d.CeilingSlack = append(d.OverQuotaCost, p.OverCost), append(d.CeilingSlack, p.CeilingSlack)
	}
	return d
}

// sight is the true state as one door's indices name it.
type sight struct {
	w *World
	d *door
}

// Wait works out what a backend would take, from its queue as it stands.
func (s sight) Wait(backend, class int) float64 {
	w := s.w
	b := w.backends[s.d.names.ID(backend)]
	_, hangs := b.hurting("hang", class)
	_, refuses := b.hurting("refuse", -1)
	if !b.up || b.fallen || b.status != gate.Up || hangs || refuses || b.silent() || b.paused || w.cut(s.d.zone, b.zone) ||
		len(b.work) >= b.slots && len(b.queue) >= b.room {
		return math.Inf(1)
	}
	mean := w.s.Classes[class].WorkMs
	now := b.capacity()
	if b.budget != nil {
		now = b.budget.CapacityAt(w.now)
		if now*w.s.Rules.FallMs < mean*coldWorks {
			return math.Inf(1)
		}
	}
	for _, h := range b.hurts {
		if h.fault.Kind == "slow" {
			now /= max(1, h.fault.Much)
		}
	}
	held := float64(b.owed)
	alone := mean * float64(b.cores) / now
	return max(alone, (held+1)*mean/now)
}

// Work is a class's mean work.
func (s sight) Work(class int) float64 { return s.w.s.Classes[class].WorkMs }

const coldWorks = 2 // works that a cold backend must have room for before it is sent anything

func (s sight) Take(customer, plan int, units float64) bool {
	return s.w.truth.take(s.w, s.d.customers.ID(customer), plan, units)
}

func (s sight) TakeLate(customer, plan int, units, lateMs float64) bool {
	return s.w.truth.takeLate(s.w, s.d.id, s.d.customers.ID(customer), plan, units, lateMs)
}

// truth holds the customers' true quotas, for deciders that may see them.
type truth struct {
	of   map[int]level
	late map[int]*lately
}

// lately is a quota as it was some time ago, and what has been taken since.
type lately struct {
	was   level
	taken []taking
}

type taking struct {
	at, units float64
	door      int
}

type level struct{ units, at float64 }

// refilled is what a quota holds at a later time.
func (l level) refilled(p *scenario.Plan, at float64) float64 {
	return min(p.Depth, l.units+p.PerS/1000*(at-l.at))
}

func (t *truth) take(w *World, customer, plan int, units float64) bool {
	p := &w.s.Plans[plan]
	if t.of == nil {
		t.of = map[int]level{}
	}
	l, known := t.of[customer]
	if !known {
		l = level{p.Depth, w.now}
	}
	l.units, l.at = l.refilled(p, w.now), w.now
	has := l.units >= units
	if has {
		l.units -= units
	}
	t.of[customer] = l
	return has
}

func (t *truth) takeLate(w *World, door, customer, plan int, units, lateMs float64) bool {
	p := &w.s.Plans[plan]
	if t.late == nil {
		t.late = map[int]*lately{}
	}
	k := t.late[customer]
	if k == nil {
		k = &lately{was: level{p.Depth, w.now - lateMs}}
		t.late[customer] = k
	}
	for len(k.taken) > 0 && k.taken[0].at <= w.now-lateMs {
		k.was = level{k.was.refilled(p, k.taken[0].at) - k.taken[0].units, k.taken[0].at}
		k.taken = k.taken[1:]
	}
	left := k.was.refilled(p, w.now)
	for _, n := range k.taken {
		if n.door == door {
			left -= n.units
		}
	}
	if left < units {
		return false
	}
	k.taken = append(k.taken, taking{w.now, units, door})
	return true
}
