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
	streamWorkload = iota + 1
	streamFleet
	streamNet
	streamFaults
	streamDoors
	streamReactions
	streamBackends // and one for each backend from here on
)

// World is one day.
type World struct {
	s     *scenario.Scenario
	now   float64
	queue eventQueue
	sink  trace.Sink
	seed  uint64

	backends      []*backend
	doors         []*door
	present       []bool // the doors that all believe to be here, by number
	updatePending bool   // they are about to hear of it
	clients       clients
	counter       counter
	meter         meter
	quotas        trueQuotas
	faults        []*activeFault // of the network, discovery, counter, meter and clients, that strike now
	rng           struct{ net, faults, fleet *rand.Rand }
	deciding      []*door // that decide now
	maker         Maker
	nextTryID     int
	loadEnded     bool // no more requests arrive
	openRequests  int  // clients' requests that are not over
	steps         int
	posted        chan func() // from outside, in real time
	outJobs       int
}

func newRand(seed uint64, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// New builds the world of a day.
func New(s *scenario.Scenario, seed uint64, maker Maker, sink trace.Sink) *World {
	w := &World{s: s, seed: seed, sink: sink, maker: maker}
	w.rng.net, w.rng.faults, w.rng.fleet = newRand(seed, streamNet), newRand(seed, streamFaults), newRand(seed, streamFleet)
	for i := range s.Fleet.Backends {
		w.addBackend(i%s.Fleet.Zones, i/s.Fleet.CellSize, w.machineFor(i))
	}
	for _, b := range w.backends {
		b.up, b.listed, b.status, b.startedAt = true, true, gate.Up, -epoch
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
	b := &backend{id: len(w.backends), zone: zone, cell: cell, cores: m.Cores, machine: m, speed: m.Speed.At(w.rng.fleet.Float64()),
		slots: max(1, int(m.SlotsPerCore*float64(m.Cores))), maxQueue: int(m.QueuePerCore * float64(m.Cores)),
		maxConns: max(1, int(m.ConnsPerCore*float64(m.Cores))), rng: newRand(w.seed, streamBackends+uint64(len(w.backends)))}
	w.backends = append(w.backends, b)
	return b
}

func (w *World) schedule(at float64, d event) {
	d.at = at
	w.queue.push(d)
}

func (w *World) emit(e trace.Event) {
	e.At = w.now
	w.sink.Take(&e)
}

// nextTick rounds a clock up to the next at which doors look.
func (w *World) nextTick(at float64) float64 {
	return math.Ceil(at/w.s.Day.TickMs-1e-9) * w.s.Day.TickMs
}

const (
	drainTime     = 120e3 // ms after the last arrival by which a day must be over
	stepsPerCheck = 4096  // steps between looks at whether the run is to stop
	sweepInterval = 1000  // ms
)

// Run plays the day. It reports progress, 0 to 1, now and then.
func (w *World) Run(ctx context.Context, progress func(done float64)) error {
	end := w.s.Day.Seconds * 1000
	w.begin()
	for len(w.queue.heap) > 0 {
		if w.steps++; w.steps%stepsPerCheck == 0 {
			if err := ctx.Err(); err != nil {
				return &StoppedError{w.now / 1000, err}
			}
			if progress != nil {
				progress(min(1, w.now/end))
			}
		}
		d := w.queue.pop()
		w.now = d.at
		if w.now >= end {
			w.loadEnded = true
			if w.openRequests == 0 || w.now > end+drainTime {
				break
			}
		}
		if d.kind == eventDecide {
			w.deciding = append(w.deciding[:0], w.doors[d.index])
			for len(w.queue.heap) > 0 && w.queue.heap[0].at == w.now && w.queue.heap[0].kind == eventDecide {
				w.deciding = append(w.deciding, w.doors[w.queue.pop().index])
			}
			w.decide()
			continue
		}
		w.dispatch(&d)
	}
	w.emit(trace.Event{Kind: trace.Over})
	return nil
}

func (w *World) begin() {
	for _, d := range w.doors {
		d.start(w)
	}
	w.clients.begin(w)
	for i := range w.s.Faults {
		w.schedule(w.s.Faults[i].AtS*1000, event{kind: eventFault, index: i, arg: 1})
	}
	w.schedule(sweepInterval, event{kind: eventSweep})
}

func (w *World) dispatch(d *event) {
	switch d.kind {
	case eventArrival, eventSpike, eventShift, eventExtraRequest, eventClientTimeout, eventAnswer, eventRetry:
		w.clients.handle(w, d)
	case eventSubmit:
		w.doors[d.try.Door].submit(w, d.try)
	case eventClientGone:
		w.doors[d.try.Door].clientLeft(w, d.try)
	case eventConnect:
		w.connectionArrived(d.job)
	case eventBackendArrival:
		if b := w.backends[d.job.Backend]; !d.job.closed && !w.partitioned(w.doors[d.job.Try.Door].zone, b.zone) {
			b.receive(w, d.job)
		}
	case eventFinish:
		if b := w.backends[d.index]; b.finishStamp == d.arg {
			b.finishDue(w)
		}
	case eventRefreshSpeed:
		if b := w.backends[d.index]; b.incarnation == d.arg && b.coldBudget != nil {
			b.advance(w.now)
			b.scheduleFinish(w)
			w.schedule(w.now+coldRefreshInterval, *d)
		}
	case eventResult:
		d.job.caller.Ended(w, d.job, d.payload.(gate.Result))
	case eventCancel:
		if b := w.backends[d.job.Backend]; !w.partitioned(w.doors[d.job.Try.Door].zone, b.zone) {
			b.cancel(w, d.job)
		}
	case eventAttemptTimeout:
		w.doors[d.job.Try.Door].attemptTimedOut(w, d.job)
	case eventCounterCall:
		w.counter.serve(w, d.payload.(*counterCall))
	case eventCounterReply:
		w.counter.deliver(w, d.payload.(*counterCall))
	case eventProbeEnd:
		w.doors[d.arg].probeEnded(w, d.index, d.payload.(probeResult))
	case eventListUpdate:
		w.doors[d.index].receiveListUpdate(w, d.arg, d.payload.(listUpdate))
	case eventFault:
		w.toggleFault(d.index, d.arg == 1)
	case eventFaultStep:
		w.faultStep(d.index, d.arg, d.payload.(*activeFault))
	case eventFunc:
		d.payload.(func())()
	case eventSweep:
		w.sweep()
		w.schedule(w.now+sweepInterval, event{kind: eventSweep})
	}
}

const parallelThreshold = 6 // doors at one instant from which it pays to ask them side by side

// decide has all doors that are due decide. They share nothing, so they are asked side by side; what they want is
// carried out in the order of their numbers.
func (w *World) decide() {
	slices.SortFunc(w.deciding, func(a, b *door) int { return a.id - b.id })
	w.deciding = slices.CompactFunc(w.deciding, func(a, b *door) bool { return a == b })
	n := 0
	for _, d := range w.deciding {
		if d.decideAt == w.now && d.up {
			d.decideAt = math.Inf(1)
			d.collectEvents(w)
			w.deciding[n] = d
			n++
		}
	}
	w.deciding = w.deciding[:n]
	workers := min(runtime.GOMAXPROCS(0), n/2)
	if w.maker.Shared || n < parallelThreshold || workers < 2 {
		for _, d := range w.deciding {
			d.decide(w.now)
			d.carryOut(w)
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
				w.deciding[i].decide(w.now)
			}
		})
	}
	done.Wait()
	for _, d := range w.deciding {
		d.carryOut(w)
	}
}

// ---- The network ----

// networkDelay draws the time from one zone to another, ms.
func (w *World) networkDelay(from, to int) float64 {
	span := w.s.Net.CrossMs
	if from == to {
		span = w.s.Net.SameMs
	}
	d := span.At(w.rng.net.Float64()) * (1 + w.s.Net.Jitter*(2*w.rng.net.Float64()-1))
	for _, h := range w.faults {
		if h.fault.Kind == "delay" {
			d += h.fault.Much
		}
	}
	return max(0.01, d)
}

func (w *World) clientDelay() float64 { return max(0.01, w.s.Net.ClientMs.At(w.rng.net.Float64())) }

// partitioned tells whether two zones are partitioned off from each other.
func (w *World) partitioned(a, b int) bool {
	for _, h := range w.faults {
		if h.fault.Kind == "zone_cut" && (a == *h.fault.Zone) != (b == *h.fault.Zone) {
			return true
		}
	}
	return false
}

// faultMagnitude returns how much a kind of fault strikes those that are not backends.
func (w *World) faultMagnitude(kind string) (much float64, is bool) {
	for _, h := range w.faults {
		if h.fault.Kind == kind {
			much, is = max(much, h.fault.Much), true
		}
	}
	return much, is
}

// sendResult sends an attempt's result on its way.
func (w *World) sendResult(b *backend, j *Job, r gate.Result) {
	if j.closed || b.silent() {
		return
	}
	z := w.doors[j.Try.Door].zone
	much, lossy := w.faultMagnitude("loss")
	if w.partitioned(z, b.zone) || r != gate.Unreachable && w.rng.net.Float64() < w.s.Net.Loss || lossy && w.rng.net.Float64() < much {
		return
	}
	w.schedule(w.now+w.networkDelay(b.zone, z), event{kind: eventResult, job: j, payload: r})
}

// dial opens a connection for an attempt.
func (w *World) dial(j *Job) {
	b := w.backends[j.Backend]
	z := w.doors[j.Try.Door].zone
	j.newConn = true
	w.emit(trace.Event{Kind: trace.Connected, Door: j.Try.Door, Backend: b.id})
	if b.silent() || w.partitioned(z, b.zone) {
		w.schedule(w.now+w.s.Net.ConnectTimeoutMs, event{kind: eventResult, job: j, payload: gate.Unreachable})
		return
	}
	w.schedule(w.now+w.networkDelay(z, b.zone), event{kind: eventConnect, job: j})
}

// connectionArrived is a connection's beginning at the backend.
func (w *World) connectionArrived(j *Job) {
	b := w.backends[j.Backend]
	if j.closed {
		return
	}
	if b.silent() {
		w.schedule(j.sentAt+w.s.Net.ConnectTimeoutMs, event{kind: eventResult, job: j, payload: gate.Unreachable})
		return
	}
	most := b.maxConns
	if much, is := b.faultMagnitude("few_conns", -1); is {
		most = int(much)
	}
	if _, refuses := b.faultMagnitude("refuse", -1); refuses || !b.up || b.openConns >= most {
		w.sendResult(b, j, gate.Unreachable)
		return
	}
	z := w.doors[j.Try.Door].zone
	if j.startBy > 0 {
		if up := w.now + w.networkDelay(b.zone, z); up > j.startBy { // it may not begin any more
			w.schedule(up, event{kind: eventResult, job: j, payload: gate.Skipped})
			return
		}
	}
	b.openConns++
	j.incarnation = b.incarnation
	w.schedule(w.now+w.networkDelay(b.zone, z)+w.networkDelay(z, b.zone), event{kind: eventBackendArrival, job: j})
}

// knowsStart tells whether a door has been told of a backend's latest start.
func (w *World) knowsStart(door int, b *backend) bool {
	d := w.doors[door]
	return b.id < len(d.known) && d.known[b.id].known && d.known[b.id].startedAt == b.startedAt
}

// ---- Effects ----

// effect is where and when a request ran.
type effect struct {
	group int
	at    float64
}

func (w *World) dedupGroup(b *backend, p *scenario.Class) int {
	switch p.Scope {
	case "zone":
		return b.zone
	case "cell":
		return b.cell
	}
	return 0
}

// isDuplicate tells whether the backend's group knows that the request ran, and will not let it run again.
func (w *World) isDuplicate(b *backend, t *Try) bool {
	p := &w.s.Classes[t.Class]
	if p.Semantics != "tokened" {
		return false
	}
	early, _ := b.faultMagnitude("forget_tokens", t.Class)
	for _, e := range t.request.effects {
		if e.group == w.dedupGroup(b, p) && w.now <= e.at+p.WindowMs-early {
			return true
		}
	}
	return false
}

func (w *World) recordEffect(b *backend, t *Try) {
	p := &w.s.Classes[t.Class]
	if p.Semantics == "replayable" {
		return
	}
	if w.isDuplicate(b, t) { // another has run since this one began
		return
	}
	w.emit(trace.Event{Kind: trace.Ran, Want: t.request.id, Try: t.ID, Backend: b.id, Twice: len(t.request.effects) > 0})
	t.request.effects = append(t.request.effects, effect{w.dedupGroup(b, p), w.now})
}

// sweep drops what is idle.
func (w *World) sweep() {
	for _, d := range w.doors {
		d.dropIdle(w)
	}
	w.counter.sweep(w.now)
}
