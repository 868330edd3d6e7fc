package model

import (
	"math"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/scenario"
)

// semantics and scopes map the names in scenario files to the values of package gate.
var semantics = map[string]gate.Semantics{"replayable": gate.Idempotent, "tokened": gate.Keyed, "single-use": gate.NonIdempotent}

var scopes = map[string]gate.Scope{"all": gate.ScopeAll, "zone": gate.ScopeZone, "cell": gate.ScopeCell}

// Terms returns the terms of a door of the scenario.
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

// JudgeParams returns the parameters with which package judge checks and scores a run of the scenario.
func JudgeParams(s *scenario.Scenario) *judge.Params {
	t := Terms(s, 0)
	d := &judge.Params{Classes: t.Classes, Plans: t.Plans, MaxAttempts: t.MaxAttempts, Hedging: t.Hedging,
		AnswerSlack: s.Rules.AnswerSlackMs, DrainGrace: s.Rules.DrainGraceMs, OverloadMultiple: s.Rules.FallMultiple,
		OverloadWindow: s.Rules.FallMs, Seconds: s.Day.Seconds, Goal: judge.Goal(s.Goal), Prices: judge.Prices(s.Prices)}
	for _, p := range s.Plans {
		d.OverQuotaCost, d.CeilingSlack = append(d.OverQuotaCost, p.OverCost), append(d.CeilingSlack, p.CeilingSlack)
	}
	return d
}

// doorView implements TrueState for one door, translating its indices.
type doorView struct {
	sim *Simulation
	d   *door
}

// EstimateWait implements TrueState, from the attempts that the backend holds at present.
func (s doorView) EstimateWait(backend, class int) float64 {
	sim := s.sim
	b := sim.backends[s.d.backendIDs.ID(backend)]
	_, hangs := b.faultMagnitude("hang", class)
	_, refuses := b.faultMagnitude("refuse", -1)
	if !b.up || b.collapsed || b.status != gate.Up || hangs || refuses || b.silent() || b.paused || sim.partitioned(s.d.zone, b.zone) ||
		len(b.running) >= b.slots && len(b.queue) >= b.maxQueue {
		return math.Inf(1)
	}
	mean := sim.s.Classes[class].WorkMs
	capacity := b.capacity()
	if b.coldBudget != nil {
		capacity = b.coldBudget.CapacityAt(sim.now)
		if capacity*sim.s.Rules.FallMs < mean*minColdRequests {
			return math.Inf(1)
		}
	}
	for _, af := range b.faults {
		if af.spec.Kind == "slow" {
			capacity /= max(1, af.spec.Much)
		}
	}
	pending := float64(b.pending)
	unloaded := mean * float64(b.cores) / capacity
	return max(unloaded, (pending+1)*mean/capacity)
}

// MeanWork implements TrueState.
func (s doorView) MeanWork(class int) float64 { return s.sim.s.Classes[class].WorkMs }

// minColdRequests is the number of mean requests that a cold backend must be able to serve within the overload window. If it is
// not, its estimated wait is infinite.
const minColdRequests = 2

// TakeQuota implements TrueState.
func (s doorView) TakeQuota(customer, plan int, units float64) bool {
	return s.sim.quotas.take(s.sim, s.d.customers.ID(customer), plan, units)
}

// TakeStaleQuota implements TrueState.
func (s doorView) TakeStaleQuota(customer, plan int, units, lateMs float64) bool {
	return s.sim.quotas.takeStale(s.sim, s.d.id, s.d.customers.ID(customer), plan, units, lateMs)
}

// trueQuotas holds the customers' true quotas, for deciders that use TrueState. They are kept apart from what real doors know.
type trueQuotas struct {
	current map[int]quotaLevel
	stale   map[int]*staleQuota
}

// staleQuota is a quota as it was some time ago, with the withdrawals since.
type staleQuota struct {
	base        quotaLevel
	withdrawals []withdrawal
}

// withdrawal records the units that a door took at a clock.
type withdrawal struct {
	at, units float64
	door      int
}

// quotaLevel is the level of a quota's token bucket at a clock, ms.
type quotaLevel struct{ units, at float64 }

// refilled returns the level at a later clock.
func (l quotaLevel) refilled(p *scenario.Plan, at float64) float64 {
	return min(p.Depth, l.units+p.PerS/1000*(at-l.at))
}

// take takes units from the present quota and reports whether it held them.
func (t *trueQuotas) take(sim *Simulation, customer, plan int, units float64) bool {
	p := &sim.s.Plans[plan]
	if t.current == nil {
		t.current = map[int]quotaLevel{}
	}
	l, known := t.current[customer]
	if !known {
		l = quotaLevel{p.Depth, sim.now}
	}
	l.units, l.at = l.refilled(p, sim.now), sim.now
	sufficient := l.units >= units
	if sufficient {
		l.units -= units
	}
	t.current[customer] = l
	return sufficient
}

// takeStale takes units by the quota as it was lateMs ago, less what the door itself has taken since, and
// reports whether it held them.
func (t *trueQuotas) takeStale(sim *Simulation, door, customer, plan int, units, lateMs float64) bool {
	p := &sim.s.Plans[plan]
	if t.stale == nil {
		t.stale = map[int]*staleQuota{}
	}
	k := t.stale[customer]
	if k == nil {
		k = &staleQuota{base: quotaLevel{p.Depth, sim.now - lateMs}}
		t.stale[customer] = k
	}
	for len(k.withdrawals) > 0 && k.withdrawals[0].at <= sim.now-lateMs {
		k.base = quotaLevel{k.base.refilled(p, k.withdrawals[0].at) - k.withdrawals[0].units, k.withdrawals[0].at}
		k.withdrawals = k.withdrawals[1:]
	}
	left := k.base.refilled(p, sim.now)
	for _, n := range k.withdrawals {
		if n.door == door {
			left -= n.units
		}
	}
	if left < units {
		return false
	}
	k.withdrawals = append(k.withdrawals, withdrawal{sim.now, units, door})
	return true
}
