package cold

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/gate"
)

// Simulation describes a fleet, its load and the start of some of its backends. Times are in ms.
type Simulation struct {
	Doors, AssumedDoors int     // number of doors, and the number announced in their terms
	Backends            int     // all of the same capacity
	ColdBackends        int     // how many of them start anew at StartMs
	MembersKnown        bool    // the doors know their real number
	RequestsPerMs       float64 // over all doors
	MeanBurst           float64 // mean number of requests that arrive together at one door
	StartMs, DurationMs float64
	NoticeMs            float64 // the doors are notified of the start at times spread evenly up to this long after it
	RestartMs           float64 // doors that restart do so at most this long after the start
	RestartShare        float64 // share of the doors that restart
	LatencyMs           float64
	WindowMs            float64
	OverloadMultiple    float64
	ColdCapacity        float64
	WarmupMs            float64
	Seed                uint64
}

// scheduled is an event at a door; incarnation is 0 if it concerns any process of the door.
type scheduled struct {
	at          float64
	door        int
	incarnation int
	event       any // a gate.Event, or one of the types below
}

// Events of the simulation itself.
type (
	requestBurst   struct{}                          // client requests arrive at the door
	doorRestart    struct{}                          // the door's process starts anew
	timerFired     struct{}                          // a timer set by the decider
	attemptArrival struct{ op, backend, number int } // an attempt reaches its backend
)

// schedule is a heap of events by time.
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

// door is a simulated door.
type door struct {
	decider     gate.Decider
	incarnation int
	nextOp      int     // next request index
	attempts    []int   // attempts sent so far, by request
	notifiedAt  float64 // clock, ms, at which the door is notified of the start
}

// Terms returns the terms of a door.
func (d *Simulation) Terms(number int) gate.Terms {
	return gate.Terms{Doors: d.AssumedDoors, DoorNumber: number % max(1, d.AssumedDoors),
		Classes: []gate.Class{{Contract: 10 * d.LatencyMs, Gain: 1}}, Plans: []gate.Plan{{Price: 1}},
		MaxAttempts: 3, MayCancel: true, ColdCapacity: d.ColdCapacity, WarmupTime: d.WarmupMs, OverloadMultiple: d.OverloadMultiple, OverloadWindow: d.WindowMs}
}

// Run simulates the fleet with the given deciders, and has the checker count.
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
	// list is the fleet list as a door has it: the cold backends leave it 5 s before their start, and are back once the door is notified.
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
		if n.incarnation != 0 && n.incarnation != o.incarnation { // the process that scheduled it has ended
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
