package cold

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/gate"
)

// Simulation is a fleet's.
type Simulation struct {
	Doors, AssumedDoors int     // doors, and how many the terms tell of
	Backends            int     // all of one size
	ColdBackends        int     // of them, that start anew at StartMs
	MembersKnown        bool    // the doors know how many they are
	RequestsPerMs       float64 // requests, over all doors
	MeanBurst           float64 // requests that come together at one door, on the mean
	StartMs, DurationMs float64
	NoticeMs            float64 // until which each door has been told, spread evenly
	RestartMs           float64 // doors that restart do so up to this time after the start
	RestartShare        float64 // share of them
	LatencyMs           float64
	WindowMs            float64
	OverloadMultiple    float64
	ColdCapacity        float64
	WarmupMs            float64
	Seed                uint64
}

type scheduled struct {
	at          float64
	door        int
	incarnation int
	event       any // a gate.Event, or one of the kinds below
}

type (
	requestBurst   struct{} // requests of clients
	doorRestart    struct{} // a door's process, anew
	timerFired     struct{}
	attemptArrival struct{ op, backend, number int }
)

type schedule []scheduled

func (d schedule) Len() int           { return len(d) }
func (d schedule) Less(i, j int) bool { return d[i].at < d[j].at }
func (d schedule) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *schedule) Push(x any)        { *d = append(*d, x.(scheduled)) }
func (d *schedule) Pop() any {
	n := len(*d) - 1
	x := (*d)[n]
	*d = (*d)[:n]
	return x
}

type door struct {
	decider     gate.Decider
	incarnation int
	nextOp      int // handed out
	attempts    []int
	notifiedAt  float64 // clock at which it is told of the start
}

// Terms are what a door of the day is told.
func (d *Simulation) Terms(number int) gate.Terms {
	return gate.Terms{Doors: d.AssumedDoors, DoorNumber: number % max(1, d.AssumedDoors),
		Classes: []gate.Class{{Contract: 10 * d.LatencyMs, Gain: 1}}, Plans: []gate.Plan{{Price: 1}},
		MaxAttempts: 3, MayCancel: true, ColdCapacity: d.ColdCapacity, WarmupTime: d.WarmupMs, OverloadMultiple: d.OverloadMultiple, OverloadWindow: d.WindowMs}
}

// Run plays the day with doors that decide as New says, and has the checker count.
func (d *Simulation) Run(c *Checker, decider func(number int, seed uint64) gate.Decider) {
	random := rand.New(rand.NewPCG(d.Seed, 1))
	exp := func(mean float64) float64 { return -mean * math.Log(1-random.Float64()) }
	var all schedule
	doors := make([]door, d.Doors)
	c.WindowMs, c.OverloadMultiple, c.ColdCapacity, c.WarmupMs = d.WindowMs, d.OverloadMultiple, d.ColdCapacity, d.WarmupMs
	c.WarmRate = d.RequestsPerMs / float64(d.Backends)
	c.StartedAt = make([]float64, d.Backends)
	for b := range d.ColdBackends {
		c.StartedAt[b] = d.StartMs
	}
	list := func(at float64, i int) gate.FleetUpdate {
		e := gate.FleetUpdate{Complete: true}
		for b := range d.Backends {
			since := 0.0
			if b < d.ColdBackends && at >= doors[i].notifiedAt {
				since = d.StartMs
			}
			status := gate.Up
			if b < d.ColdBackends && at >= d.StartMs-5e3 && at < doors[i].notifiedAt {
				status = gate.Gone
			}
			e.Entries = append(e.Entries, gate.Entry{Backend: b, Zone: b % 3, Cell: b, Status: status, StartedAt: since, Weight: 1,
				RingPosition: float64(b) / float64(d.Backends)})
		}
		return e
	}
	begin := func(at float64, i int) {
		doors[i].incarnation++
		doors[i].decider, doors[i].nextOp, doors[i].attempts = decider(i, random.Uint64()), 0, doors[i].attempts[:0]
		heap.Push(&all, scheduled{at, i, doors[i].incarnation, list(at, i)})
		if d.MembersKnown {
			heap.Push(&all, scheduled{at, i, doors[i].incarnation, gate.DoorsUpdate{PresentCount: d.Doors}})
		}
	}
	for i := range doors {
		doors[i].notifiedAt = d.StartMs + d.NoticeMs*random.Float64()
		begin(0, i)
		for _, at := range []float64{d.StartMs - 5e3, doors[i].notifiedAt} {
			heap.Push(&all, scheduled{at, i, 0, list(at, i)})
		}
		if random.Float64() < d.RestartShare {
			heap.Push(&all, scheduled{d.StartMs + d.RestartMs*random.Float64(), i, 0, doorRestart{}})
		}
		heap.Push(&all, scheduled{exp(d.MeanBurst * float64(d.Doors) / d.RequestsPerMs), i, 0, requestBurst{}})
	}
	for len(all) > 0 && all[0].at < d.DurationMs {
		n := heap.Pop(&all).(scheduled)
		o := &doors[n.door]
		if n.incarnation != 0 && n.incarnation != o.incarnation { // of a process that has ended
			continue
		}
		var events []gate.Event
		switch e := n.event.(type) {
		case doorRestart:
			begin(n.at, n.door)
			continue
		case requestBurst:
			for many := 1 + int(exp(d.MeanBurst-1+1e-9)); many > 0; many-- {
				events = append(events, gate.Request{Op: o.nextOp, Customer: 0, TTL: 20 * d.LatencyMs, Units: 1, Spread: 1, FirstDoor: n.door})
				o.nextOp++
				o.attempts = append(o.attempts, 0)
			}
			heap.Push(&all, scheduled{n.at + exp(d.MeanBurst*float64(d.Doors)/d.RequestsPerMs), n.door, 0, requestBurst{}})
		case timerFired:
			events = append(events, gate.TimerFired{})
		case attemptArrival:
			c.Record(Start{n.at, e.backend})
			latency := d.LatencyMs * (0.5 + random.Float64())
			heap.Push(&all, scheduled{n.at + latency, n.door, n.incarnation, gate.AttemptEnded{Op: e.op, Attempt: e.number, Backend: e.backend, Result: gate.Finished,
				Latency: latency, Answered: true, MeteredUse: -1, Queue: -1}})
			continue
		default:
			events = append(events, e)
		}
		for _, a := range o.decider.Decide(n.at, events) {
			switch a := a.(type) {
			case gate.Send:
				heap.Push(&all, scheduled{n.at, n.door, o.incarnation, attemptArrival{a.Op, a.Backend, o.attempts[a.Op]}})
				o.attempts[a.Op]++
			case gate.SetTimer:
				heap.Push(&all, scheduled{a.At, n.door, o.incarnation, timerFired{}})
			}
		}
	}
}
