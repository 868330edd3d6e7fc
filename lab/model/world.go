// Package model is a discrete-event simulator of clients, doors, backends, discovery and the shared counter. A run is
// determined by its scenario and seed: the same two always produce the same events. Everything that happens is reported to a
// trace.Sink. The model makes no decisions of its own: each door drives a gate.Decider.
//
// Clocks and durations are in milliseconds of virtual time unless stated otherwise. With external doors the same model runs
// in real time, see NewExternal.
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

// epoch is the deciders' clock at the start of the run, ms. It is not 0 because 0 means long ago to a decider.
const epoch = 1e6

// Maker creates a decider for each incarnation of a door. If Shared is set, the deciders share state and are called one at
// a time.
type Maker struct {
	New    func(t gate.Terms, seed uint64, sight Sight) gate.Decider
	Shared bool
}

// TrueState gives a decider the true state of the simulation, which no real door can know. Baselines such as an oracle use it.
// Indices are those that the door assigned.
type Sight interface {
	// EstimateWait estimates the time until a request of the class that is sent now is answered, ms; infinite if it would not be.
	Wait(backend, class int) float64
	// MeanWork returns the mean work of a class, ms.
	Work(class int) float64
	// TakeQuota takes units from the customer's true quota and reports whether the quota held them.
	Take(customer, plan int, units float64) bool
	// TakeStaleQuota does the same with stale knowledge: the true quota as it was lateMs ago, less what this door has taken since.
	TakeLate(customer, plan int, units, lateMs float64) bool
}

// Streams of random numbers. Each component draws from its own, so that the draws of one do not shift those of another.
const (
	streamWorkload = iota + 1
	streamFleet
	streamNet
	streamFaults
	streamDoors
	streamReactions
	streamBackends // the first of one stream for each backend
)

// World is the state of one run.
type World struct {
	s     *scenario.Scenario // not modified
	now   float64            // clock, ms from the start of the run
	queue eventQueue
	sink  trace.Sink
	seed  uint64

	backends      []*backend
	doors         []*door
	present       []bool // by door number: believed by all doors to be present
	updatePending bool   // a DoorsUpdate is scheduled
	clients       clients
	counter       counter
	meter         meter
	quotas        trueQuotas
	faults        []*activeFault // all that have a duration, those of backends included
	rng           struct{ net, faults, fleet *rand.Rand }
	deciding      []*door // doors that decide at the present instant
	maker         Maker
	nextTryID     int
	loadEnded     bool // no more requests arrive
	openRequests  int  // client requests without a final outcome
	steps         int
	posted        chan func() // calls from other goroutines, in real time only
	outJobs       int
}

// newRand returns the random source of a stream.
func newRand(seed uint64, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// New returns the initial state of a run.
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

// machineFor assigns machine types to the initial backends in proportion to their shares.
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

// addBackend adds a backend that is neither running nor listed yet.
func (w *World) addBackend(zone, cell int, m *scenario.Machine) *backend {
	b := &backend{id: len(w.backends), zone: zone, cell: cell, cores: m.Cores, machine: m, speed: m.Speed.At(w.rng.fleet.Float64()),
		slots: max(1, int(m.SlotsPerCore*float64(m.Cores))), maxQueue: int(m.QueuePerCore * float64(m.Cores)),
		maxConns: max(1, int(m.ConnsPerCore*float64(m.Cores))), rng: newRand(w.seed, streamBackends+uint64(len(w.backends)))}
	w.backends = append(w.backends, b)
	return b
}

// schedule enqueues an event for a clock.
func (w *World) schedule(at float64, e event) {
	e.at = at
	w.queue.push(e)
}

// emit reports an event of the present instant to the sink.
func (w *World) emit(e trace.Event) {
	e.At = w.now
	w.sink.Take(&e)
}

// nextTick rounds a clock up to the next tick; doors decide only at ticks.
func (w *World) nextTick(at float64) float64 {
	return math.Ceil(at/w.s.Day.TickMs-1e-9) * w.s.Day.TickMs
}

const (
	drainTime     = 120e3 // ms from the end of the load after which a run ends even with open requests
	stepsPerCheck = 4096  // steps between checks of the context
	sweepInterval = 1000  // ms
)

// Run runs the scenario in virtual time. It reports progress, 0 to 1, from time to time.
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
		e := w.queue.pop()
		w.now = e.at
		if w.now >= end {
			w.loadEnded = true
			if w.openRequests == 0 || w.now > end+drainTime {
				break
			}
		}
		if e.kind == eventDecide {
			w.deciding = append(w.deciding[:0], w.doors[e.index])
			for len(w.queue.heap) > 0 && w.queue.heap[0].at == w.now && w.queue.heap[0].kind == eventDecide {
				w.deciding = append(w.deciding, w.doors[w.queue.pop().index])
			}
			w.decide()
			continue
		}
		w.dispatch(&e)
	}
	w.emit(trace.Event{Kind: trace.Over})
	return nil
}

// begin starts the doors and schedules the first arrivals, the faults and the sweep.
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

// dispatch handles one event.
func (w *World) dispatch(e *event) {
	switch e.kind {
	case eventArrival, eventSpike, eventShift, eventExtraRequest, eventClientTimeout, eventAnswer, eventRetry:
		w.clients.handle(w, e)
	case eventSubmit:
		w.doors[e.try.Door].submit(w, e.try)
	case eventClientGone:
		w.doors[e.try.Door].clientLeft(w, e.try)
	case eventConnect:
		w.connectionArrived(e.job)
	case eventBackendArrival:
		if b := w.backends[e.job.Backend]; !e.job.closed && !w.partitioned(w.doors[e.job.Try.Door].zone, b.zone) {
			b.receive(w, e.job)
		}
	case eventFinish:
		if b := w.backends[e.index]; b.finishStamp == e.arg {
			b.finishDue(w)
		}
	case eventRefreshSpeed:
		if b := w.backends[e.index]; b.incarnation == e.arg && b.coldBudget != nil {
			b.advance(w.now)
			b.scheduleFinish(w)
			w.schedule(w.now+coldRefreshInterval, *e)
		}
	case eventResult:
		e.job.caller.Ended(w, e.job, e.payload.(gate.Result))
	case eventCancel:
		if b := w.backends[e.job.Backend]; !w.partitioned(w.doors[e.job.Try.Door].zone, b.zone) {
			b.cancel(w, e.job)
		}
	case eventAttemptTimeout:
		w.doors[e.job.Try.Door].attemptTimedOut(w, e.job)
	case eventCounterCall:
		w.counter.serve(w, e.payload.(*counterCall))
	case eventCounterReply:
		w.counter.deliver(w, e.payload.(*counterCall))
	case eventProbeEnd:
		w.doors[e.arg].probeEnded(w, e.index, e.payload.(probeResult))
	case eventListUpdate:
		w.doors[e.index].receiveListUpdate(w, e.arg, e.payload.(listUpdate))
	case eventFault:
		w.toggleFault(e.index, e.arg == 1)
	case eventFaultStep:
		w.faultStep(e.index, e.arg, e.payload.(*activeFault))
	case eventFunc:
		e.payload.(func())()
	case eventSweep:
		w.sweep()
		w.schedule(w.now+sweepInterval, event{kind: eventSweep})
	}
}

const parallelThreshold = 6 // number of doors deciding at one instant from which goroutines pay off

// decide lets all doors that are due decide. The deciders share no state, so they run concurrently. Their actions are carried
// out in the order of the door numbers, which keeps the run deterministic.
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

// networkDelay draws the one-way delay from one zone to another, ms.
func (w *World) networkDelay(from, to int) float64 {
	span := w.s.Net.CrossMs
	if from == to {
		span = w.s.Net.SameMs
	}
	d := span.At(w.rng.net.Float64()) * (1 + w.s.Net.Jitter*(2*w.rng.net.Float64()-1))
	for _, af := range w.faults {
		if af.spec.Kind == "delay" {
			d += af.spec.Much
		}
	}
	return max(0.01, d)
}

// clientDelay draws the one-way delay between a client and its door, ms.
func (w *World) clientDelay() float64 { return max(0.01, w.s.Net.ClientMs.At(w.rng.net.Float64())) }

// partitioned reports whether a network partition separates two zones.
func (w *World) partitioned(a, b int) bool {
	for _, af := range w.faults {
		if af.spec.Kind == "zone_cut" && (a == *af.spec.Zone) != (b == *af.spec.Zone) {
			return true
		}
	}
	return false
}

// faultMagnitude returns the greatest magnitude among the active faults of a kind, and whether there is one. Faults of
// backends are looked up by backend.faultMagnitude.
func (w *World) faultMagnitude(kind string) (magnitude float64, active bool) {
	for _, af := range w.faults {
		if af.spec.Kind == kind {
			magnitude, active = max(magnitude, af.spec.Much), true
		}
	}
	return magnitude, active
}

// sendResult sends an attempt's result to its door. The network may lose it.
func (w *World) sendResult(b *backend, j *Job, r gate.Result) {
	if j.closed || b.silent() {
		return
	}
	z := w.doors[j.Try.Door].zone
	lossShare, lossy := w.faultMagnitude("loss")
	if w.partitioned(z, b.zone) || r != gate.Unreachable && w.rng.net.Float64() < w.s.Net.Loss ||
		lossy && w.rng.net.Float64() < lossShare {
		return
	}
	w.schedule(w.now+w.networkDelay(b.zone, z), event{kind: eventResult, job: j, payload: r})
}

// dial starts to open a connection for an attempt.
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

// connectionArrived handles a connection attempt at the backend, which accepts or refuses it.
func (w *World) connectionArrived(j *Job) {
	b := w.backends[j.Backend]
	if j.closed {
		return
	}
	if b.silent() {
		w.schedule(j.sentAt+w.s.Net.ConnectTimeoutMs, event{kind: eventResult, job: j, payload: gate.Unreachable})
		return
	}
	limit := b.maxConns
	if magnitude, active := b.faultMagnitude("few_conns", -1); active {
		limit = int(magnitude)
	}
	if _, refuses := b.faultMagnitude("refuse", -1); refuses || !b.up || b.openConns >= limit {
		w.sendResult(b, j, gate.Unreachable)
		return
	}
	z := w.doors[j.Try.Door].zone
	if j.startBy > 0 {
		if up := w.now + w.networkDelay(b.zone, z); up > j.startBy { // too late to start
			w.schedule(up, event{kind: eventResult, job: j, payload: gate.Skipped})
			return
		}
	}
	b.openConns++
	j.incarnation = b.incarnation
	w.schedule(w.now+w.networkDelay(b.zone, z)+w.networkDelay(z, b.zone), event{kind: eventBackendArrival, job: j})
}

// knowsStart reports whether a door has been notified of a backend's latest start.
func (w *World) knowsStart(door int, b *backend) bool {
	d := w.doors[door]
	return b.id < len(d.known) && d.known[b.id].received && d.known[b.id].startedAt == b.startedAt
}

// ---- Effects ----

// effect records the deduplication group in which a request took effect, and when.
type effect struct {
	group int
	at    float64
}

// dedupGroup returns the group of backends that shares idempotency keys with the backend, for a class.
func (w *World) dedupGroup(b *backend, p *scenario.Class) int {
	switch p.Scope {
	case "zone":
		return b.zone
	case "cell":
		return b.cell
	}
	return 0
}

// isDuplicate reports whether the backend's group still remembers that the request ran, and so discards a repeat.
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

// recordEffect records that a request took effect at a backend.
func (w *World) recordEffect(b *backend, t *Try) {
	p := &w.s.Classes[t.Class]
	if p.Semantics == "replayable" {
		return
	}
	if w.isDuplicate(b, t) { // another attempt has run since this one began
		return
	}
	w.emit(trace.Event{Kind: trace.Ran, Want: t.request.id, Try: t.ID, Backend: b.id, Twice: len(t.request.effects) > 0})
	t.request.effects = append(t.request.effects, effect{w.dedupGroup(b, p), w.now})
}

// sweep closes idle connections and drops expired counter values.
func (w *World) sweep() {
	for _, d := range w.doors {
		d.dropIdle(w)
	}
	w.counter.sweep(w.now)
}
