// Package model is the laboratory's emulator: a world of clients, doors, backends, discovery and counter in virtual time,
// told by a scenario and a seed. The same two always give the same day. It tells all that happens to a trace.Sink, and
// decides nothing: doors are gate.Deciders.
package model

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// epoch is the doors' clock at the day's start, ms: to them, 0 is long ago.
const epoch = 1e6

// Maker makes the decider of a door's life. Where Shared is true, its deciders share state and are asked one by one.
type Maker struct {
	New    func(t gate.Terms, seed uint64, sight Sight) gate.Decider
	Shared bool
}

// Sight is the true state, for deciders that no real door could be. Indices are the door's own.
type Sight interface {
	// Wait is the time in ms until a request of the class sent now would be answered; infinite where it would not.
	Wait(backend, class int) float64
	// Work is the mean work of a class, ms.
	Work(class int) float64
	// Take takes units from the customer's true quota, if it holds them.
	Take(customer, plan int, units float64) bool
	// TakeLate does likewise, by what the quota truly held so many ms ago and what this door has taken since.
	TakeLate(customer, plan int, units, lateMs float64) bool
}

// Stream numbers of the world's chance; each party draws from its own, so that one's draws do not move another's.
const (
	chanceClients = iota + 1
	chanceFleet
	chanceNet
	chanceFaults
	chanceDoors
	chanceMoods
	chanceBackends // and one for each backend from here on
)

// World is one day.
type World struct {
	s    *scenario.Scenario
	now  float64
	q    queue
	sink trace.Sink
	seed uint64

	backends []*backend
	doors    []*door
	here     []bool // the doors that all believe to be here, by number
	telling  bool   // they are about to hear of it
	clients  clients
	counter  counter
	meter    meter
	truth    truth
	hurts    []*hurt // of the network, discovery, counter, meter and clients, that strike now
	dice     struct{ net, faults, fleet *rand.Rand }
	ready    []*door // that decide now
	maker    Maker
	tries    int
	closing  bool // no more requests arrive
	waiting  int  // clients' requests that are not over
	steps    int
	posted   chan func() // from outside, in real time
	outJobs  int
}

func chance(seed uint64, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// New builds the world of a day.
func New(s *scenario.Scenario, seed uint64, maker Maker, sink trace.Sink) *World {
	w := &World{s: s, seed: seed, sink: sink, maker: maker}
	w.dice.net, w.dice.faults, w.dice.fleet = chance(seed, chanceNet), chance(seed, chanceFaults), chance(seed, chanceFleet)
	for i := range s.Fleet.Backends {
		w.addBackend(i%s.Fleet.Zones, i/s.Fleet.CellSize, w.machineFor(i))
	}
	for _, b := range w.backends {
		b.up, b.listed, b.status, b.since = true, true, gate.Up, -epoch
	}
	w.counter.init(s)
	w.clients.init(w)
	for i := range s.Fleet.Doors {
		w.doors = append(w.doors, newDoor(w, i))
	}
	return w
}

// machineFor deals the kinds out by their shares.
func (w *World) machineFor(i int) *scenario.Machine {
	sum := 0.0
	for i := range w.s.Machines {
		sum += w.s.Machines[i].Share
	}
	x := (float64(i) + 0.5) / float64(w.s.Fleet.Backends) * sum
	for i := range w.s.Machines {
		if x -= w.s.Machines[i].Share; x < 0 {
			return &w.s.Machines[i]
		}
	}
	return &w.s.Machines[len(w.s.Machines)-1]
}

func (w *World) addBackend(zone, cell int, m *scenario.Machine) *backend {
	b := &backend{id: len(w.backends), zone: zone, cell: cell, cores: m.Cores, machine: m, speed: m.Speed.At(w.dice.fleet.Float64()),
		slots: max(1, int(m.SlotsPerCore*float64(m.Cores))), room: int(m.QueuePerCore * float64(m.Cores)),
		conns: max(1, int(m.ConnsPerCore*float64(m.Cores))), dice: chance(w.seed, chanceBackends+uint64(len(w.backends)))}
	w.backends = append(w.backends, b)
	return b
}

func (w *World) at(at float64, d due) {
	d.at = at
	w.q.push(d)
}

func (w *World) tell(e trace.Event) {
	e.At = w.now
	w.sink.Take(&e)
}

// grid rounds a clock up to the next at which doors look.
func (w *World) grid(at float64) float64 {
	return math.Ceil(at/w.s.Day.TickMs-1e-9) * w.s.Day.TickMs
}

const (
	tail      = 120e3 // ms after the last arrival by which a day must be over
	lookCtx   = 4096  // steps between looks at whether the run is to stop
	sweepEach = 1000  // ms
)

// Run plays the day. It reports progress, 0 to 1, now and then.
func (w *World) Run(ctx context.Context, progress func(done float64)) error {
	end := w.s.Day.Seconds * 1000
	w.begin()
	for len(w.q.heap) > 0 {
		if w.steps++; w.steps%lookCtx == 0 {
			if err := ctx.Err(); err != nil {
				return &StoppedError{w.now / 1000, err}
			}
			if progress != nil {
				progress(min(1, w.now/end))
			}
		}
		d := w.q.pop()
		w.now = d.at
		if w.now >= end {
			w.closing = true
			if w.waiting == 0 || w.now > end+tail {
				break
			}
		}
		if d.kind == dueDoor {
			w.ready = append(w.ready[:0], w.doors[d.n])
			for len(w.q.heap) > 0 && w.q.heap[0].at == w.now && w.q.heap[0].kind == dueDoor {
				w.ready = append(w.ready, w.doors[w.q.pop().n])
			}
			w.decide()
			continue
		}
		w.step(&d)
	}
	w.tell(trace.Event{Kind: trace.Ended})
	return nil
}

func (w *World) begin() {
	for _, d := range w.doors {
		d.start(w)
	}
	w.clients.begin(w)
	for i := range w.s.Faults {
		w.at(w.s.Faults[i].AtS*1000, due{kind: dueFault, n: i, m: 1})
	}
	w.at(sweepEach, due{kind: dueSweep})
}

func (w *World) step(d *due) {
	switch d.kind {
	case dueArrival, dueSpike, dueShift, dueExtra, dueLeave, dueGot, dueAgain:
		w.clients.step(w, d)
	case dueSubmit:
		w.doors[d.t.Door].submit(w, d.t)
	case dueGone:
		w.doors[d.t.Door].leave(w, d.t)
	case dueDial:
		w.dialled(d.j)
	case dueCome:
		if b := w.backends[d.j.Backend]; !d.j.handed && !w.cut(w.doors[d.j.Try.Door].zone, b.zone) {
			b.come(w, d.j)
		}
	case dueFinish:
		if b := w.backends[d.n]; b.stamp == d.m {
			b.finish(w)
		}
	case dueRefresh:
		if b := w.backends[d.n]; b.life == d.m && b.budget != nil {
			b.settle(w.now)
			b.plan(w)
			w.at(w.now+refreshEvery, *d)
		}
	case dueBack:
		d.j.caller.Ended(w, d.j, d.p.(gate.Result))
	case dueCancel:
		if b := w.backends[d.j.Backend]; !w.cut(w.doors[d.j.Try.Door].zone, b.zone) {
			b.drop(w, d.j)
		}
	case dueExpire:
		w.doors[d.j.Try.Door].expire(w, d.j)
	case dueCount:
		w.counter.come(w, d.p.(*call))
	case dueCounted:
		w.counter.answer(w, d.p.(*call))
	case dueProbe:
		w.doors[d.m].probed(w, d.n, d.p.(probe))
	case dueList:
		w.doors[d.n].list(w, d.m, d.p.(news))
	case dueFault:
		w.fault(d.n, d.m == 1)
	case dueStep:
		w.faultStep(d.n, d.m, d.p.(*hurt))
	case dueStart:
		d.p.(func())()
	case dueSweep:
		w.sweep()
		w.at(w.now+sweepEach, due{kind: dueSweep})
	}
}

const manyDoors = 6 // doors at one instant from which it pays to ask them side by side

// decide has all doors that are due decide. They share nothing, so they are asked side by side; what they want is
// carried out in the order of their numbers.
func (w *World) decide() {
	slices.SortFunc(w.ready, func(a, b *door) int { return a.id - b.id })
	w.ready = slices.CompactFunc(w.ready, func(a, b *door) bool { return a == b })
	n := 0
	for _, d := range w.ready {
		if d.dueAt == w.now && d.up {
			d.dueAt = math.Inf(1)
			d.gather(w)
			w.ready[n] = d
			n++
		}
	}
	w.ready = w.ready[:n]
	workers := min(runtime.GOMAXPROCS(0), n/2)
	if w.maker.Shared || n < manyDoors || workers < 2 {
		for _, d := range w.ready {
			d.think(w.now)
			d.act(w)
		}
		return
	}
	var next atomic.Int64
	var done sync.WaitGroup
	for range workers {
		done.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				w.ready[i].think(w.now)
			}
		})
	}
	done.Wait()
	for _, d := range w.ready {
		d.act(w)
	}
}

// ---- The network ----

// way draws the time from one zone to another, ms.
func (w *World) way(from, to int) float64 {
	span := w.s.Net.CrossMs
	if from == to {
		span = w.s.Net.SameMs
	}
	d := span.At(w.dice.net.Float64()) * (1 + w.s.Net.Jitter*(2*w.dice.net.Float64()-1))
	for _, h := range w.hurts {
		if h.fault.Kind == "delay" {
			d += h.fault.Much
		}
	}
	return max(0.01, d)
}

func (w *World) clientWay() float64 { return max(0.01, w.s.Net.ClientMs.At(w.dice.net.Float64())) }

// cut tells whether two zones are cut off from each other.
func (w *World) cut(a, b int) bool {
	for _, h := range w.hurts {
		if h.fault.Kind == "zone_cut" && (a == *h.fault.Zone) != (b == *h.fault.Zone) {
			return true
		}
	}
	return false
}

// hurting returns how much a kind of fault strikes those that are not backends.
func (w *World) hurting(kind string) (much float64, is bool) {
	for _, h := range w.hurts {
		if h.fault.Kind == kind {
			much, is = max(much, h.fault.Much), true
		}
	}
	return much, is
}

// back sends an attempt's result on its way.
func (w *World) back(b *backend, j *Job, r gate.Result) {
	if j.handed || b.silent() {
		return
	}
	z := w.doors[j.Try.Door].zone
	much, lossy := w.hurting("loss")
	if w.cut(z, b.zone) || r != gate.Unreachable && w.dice.net.Float64() < w.s.Net.Loss || lossy && w.dice.net.Float64() < much {
		return
	}
	w.at(w.now+w.way(b.zone, z), due{kind: dueBack, j: j, p: r})
}

// dial opens a connection for an attempt.
func (w *World) dial(j *Job) {
	b := w.backends[j.Backend]
	z := w.doors[j.Try.Door].zone
	j.opened = true
	w.tell(trace.Event{Kind: trace.Connected, Door: j.Try.Door, Backend: b.id})
	if b.silent() || w.cut(z, b.zone) {
		w.at(w.now+w.s.Net.ConnectTimeoutMs, due{kind: dueBack, j: j, p: gate.Unreachable})
		return
	}
	w.at(w.now+w.way(z, b.zone), due{kind: dueDial, j: j})
}

// dialled is a connection's beginning at the backend.
func (w *World) dialled(j *Job) {
	b := w.backends[j.Backend]
	if j.handed {
		return
	}
	if b.silent() {
		w.at(j.at+w.s.Net.ConnectTimeoutMs, due{kind: dueBack, j: j, p: gate.Unreachable})
		return
	}
	most := b.conns
	if much, is := b.hurting("few_conns", -1); is {
		most = int(much)
	}
	if _, refuses := b.hurting("refuse", -1); refuses || !b.up || b.open >= most {
		w.back(b, j, gate.Unreachable)
		return
	}
	z := w.doors[j.Try.Door].zone
	if j.by > 0 {
		if up := w.now + w.way(b.zone, z); up > j.by { // it may not begin any more
			w.at(up, due{kind: dueBack, j: j, p: gate.Skipped})
			return
		}
	}
	b.open++
	j.life = b.life
	w.at(w.now+w.way(b.zone, z)+w.way(z, b.zone), due{kind: dueCome, j: j})
}

// knows tells whether a door has been told of a backend's latest start.
func (w *World) knows(door int, b *backend) bool {
	d := w.doors[door]
	return b.id < len(d.told) && d.told[b.id].known && d.told[b.id].since == b.since
}

// ---- Effects ----

// effect is where and when a request ran.
type effect struct {
	group int
	at    float64
}

func (w *World) group(b *backend, p *scenario.Class) int {
	switch p.Scope {
	case "zone":
		return b.zone
	case "cell":
		return b.cell
	}
	return 0
}

// remembers tells whether the backend's group knows that the request ran, and will not let it run again.
func (w *World) remembers(b *backend, t *Try) bool {
	p := &w.s.Classes[t.Class]
	if p.Semantics != "tokened" {
		return false
	}
	early, _ := b.hurting("forget_tokens", t.Class)
	for _, e := range t.want.effects {
		if e.group == w.group(b, p) && w.now <= e.at+p.WindowMs-early {
			return true
		}
	}
	return false
}

func (w *World) ran(b *backend, t *Try) {
	p := &w.s.Classes[t.Class]
	if p.Semantics == "replayable" {
		return
	}
	if w.remembers(b, t) { // another has run since this one began
		return
	}
	w.tell(trace.Event{Kind: trace.Ran, Request: t.want.id, Try: t.ID, Backend: b.id, Twice: len(t.want.effects) > 0})
	t.want.effects = append(t.want.effects, effect{w.group(b, p), w.now})
}

// sweep drops what is idle.
func (w *World) sweep() {
	for _, d := range w.doors {
		d.dropIdle(w)
	}
	w.counter.sweep(w.now)
}
