package cold

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/gate"
)

// Day is a fleet's.
type Day struct {
	Doors, Told int     // doors, and how many the terms tell of
	Backends    int     // all of one size
	Starting    int     // of them, that start anew at StartMs
	Members     bool    // the doors know how many they are
	PerMs       float64 // requests, over all doors
	Burst       float64 // requests that come together at one door, on the mean
	StartMs, Ms float64
	NoticeMs    float64 // until which each door has been told, spread evenly
	RestartMs   float64 // doors that restart do so up to this time after the start
	Restarts    float64 // share of them
	LatencyMs   float64
	Window      float64
	Multiple    float64
	ColdFrom    float64
	ColdForMs   float64
	Seed        uint64
}

type due struct {
	at    float64
	door  int
	life  int
	event any // a gate.Event, or one of the kinds below
}

type (
	comes   struct{} // requests of clients
	starts  struct{} // a door's process, anew
	woken   struct{}
	arrives struct{ op, backend, number int }
)

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	n := len(*d) - 1
	x := (*d)[n]
	*d = (*d)[:n]
	return x
}

type door struct {
	decider gate.Decider
	life    int
	ops     int // handed out
	sends   []int
	knows   float64 // clock at which it is told of the start
}

// Terms are what a door of the day is told.
func (d *Day) Terms(number int) gate.Terms {
	return gate.Terms{Doors: d.Told, DoorNumber: number % max(1, d.Told),
		Classes: []gate.Class{{Contract: 10 * d.LatencyMs, Gain: 1}}, Plans: []gate.Plan{{Price: 1}},
		MaxAttempts: 3, MayCancel: true, ColdCapacity: d.ColdFrom, WarmupTime: d.ColdForMs, OverloadMultiple: d.Multiple, OverloadWindow: d.Window}
}

// Play plays the day with doors that decide as New says, and has the checker count.
func (d *Day) Play(c *Checker, decider func(number int, seed uint64) gate.Decider) {
	dice := rand.New(rand.NewPCG(d.Seed, 1))
	exp := func(mean float64) float64 { return -mean * math.Log(1-dice.Float64()) }
	var all dues
	doors := make([]door, d.Doors)
	c.Window, c.Multiple, c.ColdFrom, c.ColdFor = d.Window, d.Multiple, d.ColdFrom, d.ColdForMs
	c.Work = d.PerMs / float64(d.Backends)
	c.Since = make([]float64, d.Backends)
	for b := range d.Starting {
		c.Since[b] = d.StartMs
	}
	list := func(at float64, i int) gate.FleetUpdate {
		e := gate.FleetUpdate{Complete: true}
		for b := range d.Backends {
			since := 0.0
			if b < d.Starting && at >= doors[i].knows {
				since = d.StartMs
			}
			status := gate.Up
			if b < d.Starting && at >= d.StartMs-5e3 && at < doors[i].knows {
				status = gate.Gone
			}
			e.Entries = append(e.Entries, gate.Entry{Backend: b, Zone: b % 3, Cell: b, Status: status, StartedAt: since, Weight: 1,
				RingPosition: float64(b) / float64(d.Backends)})
		}
		return e
	}
	begin := func(at float64, i int) {
		doors[i].life++
		doors[i].decider, doors[i].ops, doors[i].sends = decider(i, dice.Uint64()), 0, doors[i].sends[:0]
		heap.Push(&all, due{at, i, doors[i].life, list(at, i)})
		if d.Members {
			heap.Push(&all, due{at, i, doors[i].life, gate.DoorsUpdate{PresentCount: d.Doors}})
		}
	}
	for i := range doors {
		doors[i].knows = d.StartMs + d.NoticeMs*dice.Float64()
		begin(0, i)
		for _, at := range []float64{d.StartMs - 5e3, doors[i].knows} {
			heap.Push(&all, due{at, i, 0, list(at, i)})
		}
		if dice.Float64() < d.Restarts {
			heap.Push(&all, due{d.StartMs + d.RestartMs*dice.Float64(), i, 0, starts{}})
		}
		heap.Push(&all, due{exp(d.Burst * float64(d.Doors) / d.PerMs), i, 0, comes{}})
	}
	for len(all) > 0 && all[0].at < d.Ms {
		n := heap.Pop(&all).(due)
		o := &doors[n.door]
		if n.life != 0 && n.life != o.life { // of a process that has ended
			continue
		}
		var events []gate.Event
		switch e := n.event.(type) {
		case starts:
			begin(n.at, n.door)
			continue
		case comes:
			for many := 1 + int(exp(d.Burst-1+1e-9)); many > 0; many-- {
				events = append(events, gate.Request{Op: o.ops, Customer: 0, TTL: 20 * d.LatencyMs, Units: 1, Spread: 1, FirstDoor: n.door})
				o.ops++
				o.sends = append(o.sends, 0)
			}
			heap.Push(&all, due{n.at + exp(d.Burst*float64(d.Doors)/d.PerMs), n.door, 0, comes{}})
		case woken:
			events = append(events, gate.TimerFired{})
		case arrives:
			c.Takes(Start{n.at, e.backend})
			latency := d.LatencyMs * (0.5 + dice.Float64())
			heap.Push(&all, due{n.at + latency, n.door, n.life, gate.AttemptEnded{Op: e.op, Attempt: e.number, Backend: e.backend, Result: gate.Finished,
				Latency: latency, Answered: true, MeteredUse: -1, Queue: -1}})
			continue
		default:
			events = append(events, e)
		}
		for _, a := range o.decider.Decide(n.at, events) {
			switch a := a.(type) {
			case gate.Send:
				heap.Push(&all, due{n.at, n.door, o.life, arrives{a.Op, a.Backend, o.sends[a.Op]}})
				o.sends[a.Op]++
			case gate.SetTimer:
				heap.Push(&all, due{a.At, n.door, o.life, woken{}})
			}
		}
	}
}
