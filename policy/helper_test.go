package policy

import "github.com/swifthall/swifthall/gate"

// Indices of the classes and plans in terms.
const (
	idempotent = iota
	keyedInZone
	keyedAnywhere
	nonIdempotent
)

const (
	plain = iota
	capped
)

func terms() gate.Terms {
	return gate.Terms{
		Doors: 3,
		Classes: []gate.Class{
			{Contract: 1000},
			{Contract: 1000, Semantics: gate.Keyed, Scope: gate.ScopeZone, DedupWindow: 4000},
			{Contract: 1000, Semantics: gate.Keyed, DedupWindow: 4000},
			{Contract: 1000, Semantics: gate.NonIdempotent},
		},
		Plans: []gate.Plan{
			{Rate: 0.002, Depth: 12},
			{Rate: 0.002, Depth: 12, MaxConcurrent: 3, CeilingRate: 0.003, CeilingDepth: 30},
		},
		MaxAttempts: 4, Hedging: true, MayCancel: true, MaxRetryAfter: 500, MeterPeriod: 1000,
		ColdCapacity: 0.2, WarmupTime: 10e3, OverloadMultiple: 2, OverloadWindow: 2000,
	}
}

// door returns a door with latency statistics, at clock 100 s, with n warm backends, the odd ones in zone 1.
func door(n int) *Door {
	d := New(terms(), 1)
	d.now, d.startedAt, d.tickedAt = 100e3, 0, 100e3
	var e gate.FleetUpdate
	for b := range n {
		e.Entries = append(e.Entries, gate.Entry{Backend: b, Zone: b % 2, Cell: b, Weight: 1})
	}
	d.updateFleet(e)
	d.buckets = make([]bucket, 1)
	for p := range d.latencies {
		d.latencies[p] = latencyStats{smoothed: 100, baseline: 100, rate: 0.05, bestRate: 0.05, sampledAt: d.now, samples: 100}
	}
	return d
}

// newRequest returns a request of one unit from customer 0, which uses all three doors.
func newRequest(op, class, plan int) gate.Request {
	return gate.Request{Op: op, Class: class, Plan: plan, TTL: 3000, Units: 1, Spread: 3}
}

// sentEach returns a door with four backends and a request in flight at each.
func sentEach() *Door {
	d := door(4)
	for i := range 4 {
		d.handleRequest(newRequest(i, idempotent, plain))
		d.send(i, i)
	}
	d.emitActions()
	return d
}

// sentOnce returns a door with four backends and request 0 in flight at the given one.
func sentOnce(class, backend int) *Door {
	d := door(4)
	d.handleRequest(newRequest(0, class, plain))
	d.send(0, backend)
	d.emitActions()
	d.actions = d.actions[:0]
	return d
}
