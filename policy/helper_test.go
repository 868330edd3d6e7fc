package policy

import "github.com/swifthall/swifthall/gate"

// Classes and plans of the test door, by index.
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

// door returns a door at clock 100 s with n warm backends, every second one in zone 1.
func door(n int) *Door {
	d := New(terms(), 1)
	d.now, d.born, d.ticked = 100e3, 0, 100e3
	var e gate.FleetUpdate
	for b := range n {
		e.Entries = append(e.Entries, gate.Entry{Backend: b, Zone: b % 2, Cell: b, Weight: 1})
	}
	d.list(e)
	d.buckets = make([]bucket, 1)
	for p := range d.lat {
		d.lat[p] = latency{recent: 100, low: 100, rate: 0.05, best: 0.05, lowAt: d.now, samples: 100}
	}
	return d
}

// arriving is a request of one unit from customer 0, which uses all three doors.
func arriving(op, class, plan int) gate.Request {
	return gate.Request{Op: op, Class: class, Plan: plan, TTL: 3000, Units: 1, Spread: 3}
}

// sentEach returns a door of four backends with a request out at each.
func sentEach() *Door {
	d := door(4)
	for i := range 4 {
		d.arrive(arriving(i, idempotent, plain))
		d.send(i, i)
	}
	d.settle()
	return d
}

// sentOnce returns a door of four backends with request 0 out at the given one.
func sentOnce(class, backend int) *Door {
	d := door(4)
	d.arrive(arriving(0, class, plain))
	d.send(0, backend)
	d.settle()
	d.actions = d.actions[:0]
	return d
}
