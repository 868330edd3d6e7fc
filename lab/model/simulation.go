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
	New    func(t gate.Terms, seed uint64, truth TrueState) gate.Decider
	Shared bool
}

// TrueState gives a decider the true state of the simulation, which no real door can know. Baselines such as an oracle use it.
// Indices are those that the door assigned.
type TrueState interface {
	// EstimateWait estimates the time until a request of the class that is sent now is answered, ms; infinite if it would not be.
	EstimateWait(backend, class int) float64
	// MeanWork returns the mean work of a class, ms.
	MeanWork(class int) float64
	// TakeQuota takes units from the customer's true quota and reports whether the quota held them.
	TakeQuota(customer, plan int, units float64) bool
	// TakeStaleQuota does the same with stale knowledge: the true quota as it was lateMs ago, less what this door has taken since.
	TakeStaleQuota(customer, plan int, units, lateMs float64) bool
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

// Simulation is the state of one run.
type Simulation struct {
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
	outJobs       int         // unused
}

// newRand returns the random source of a stream.
func newRand(seed uint64, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// New returns the initial state of a run.
func New(s *scenario.Scenario, seed uint64, maker Maker, sink trace.Sink) *Simulation {
	sim := &Simulation{s: s, seed: seed, sink: sink, maker: maker}
	sim.rng.net, sim.rng.faults, sim.rng.fleet = newRand(seed, streamNet), newRand(seed, streamFaults), newRand(seed, streamFleet)
	for i := range s.Fleet.Backends {
		sim.addBackend(i%s.Fleet.Zones, i/s.Fleet.CellSize, sim.machineFor(i))
	}
	for _, b := range sim.backends {
		b.up, b.listed, b.status, b.startedAt = true, true, gate.Up, -epoch
	}
	sim.counter.init(s)
	sim.clients.init(sim)
	for i := range s.Fleet.Doors {
		sim.doors = append(sim.doors, newDoor(sim, i))
	}
	return sim
}

// machineFor assigns machine types to the initial backends in proportion to their shares.
func (sim *Simulation) machineFor(i int) *scenario.Machine {
	sum := 0.0
	for i := range sim.s.Machines {
		sum += sim.s.Machines[i].Share
	}
	x := (float64(i) + 0.5) / float64(sim.s.Fleet.Backends) * sum
	for i := range sim.s.Machines {
		if x -= sim.s.Machines[i].Share; x < 0 {
			return &sim.s.Machines[i]
		}
	}
	return &sim.s.Machines[len(sim.s.Machines)-1]
}

// addBackend adds a backend that is neither running nor listed yet.
func (sim *Simulation) addBackend(zone, cell int, m *scenario.Machine) *backend {
	b := &backend{id: len(sim.backends), zone: zone, cell: cell, cores: m.Cores, machine: m, speed: m.Speed.At(sim.rng.fleet.Float64()),
		slots: max(1, int(m.SlotsPerCore*float64(m.Cores))), maxQueue: int(m.QueuePerCore * float64(m.Cores)),
		maxConns: max(1, int(m.ConnsPerCore*float64(m.Cores))), rng: newRand(sim.seed, streamBackends+uint64(len(sim.backends)))}
	sim.backends = append(sim.backends, b)
	return b
}

// schedule enqueues an event for a clock.
func (sim *Simulation) schedule(at float64, e event) {
	e.at = at
	sim.queue.push(e)
}

// emit reports an event of the present instant to the sink.
func (sim *Simulation) emit(e trace.Event) {
	e.At = sim.now
	sim.sink.Take(&e)
}

// nextTick rounds a clock up to the next tick; doors decide only at ticks.
func (sim *Simulation) nextTick(at float64) float64 {
	return math.Ceil(at/sim.s.Day.TickMs-1e-9) * sim.s.Day.TickMs
}

const (
	maxTailTime   = 120e3 // ms from the end of the load after which a run ends even with open requests
	stepsPerCheck = 4096  // steps between checks of the context
	sweepInterval = 1000  // ms
)

// Run runs the scenario in virtual time. It reports progress, 0 to 1, from time to time.
func (sim *Simulation) Run(ctx context.Context, progress func(done float64)) error {
	end := sim.s.Day.Seconds * 1000
	sim.begin()
	for len(sim.queue.heap) > 0 {
		if sim.steps++; sim.steps%stepsPerCheck == 0 {
			if err := ctx.Err(); err != nil {
				return &StoppedError{sim.now / 1000, err}
			}
			if progress != nil {
				progress(min(1, sim.now/end))
			}
		}
		e := sim.queue.pop()
		sim.now = e.at
		if sim.now >= end {
			sim.loadEnded = true
			if sim.openRequests == 0 || sim.now > end+maxTailTime {
				break
			}
		}
		if e.kind == eventDecide {
			sim.deciding = append(sim.deciding[:0], sim.doors[e.index])
			for len(sim.queue.heap) > 0 && sim.queue.heap[0].at == sim.now && sim.queue.heap[0].kind == eventDecide {
				sim.deciding = append(sim.deciding, sim.doors[sim.queue.pop().index])
			}
			sim.decide()
			continue
		}
		sim.dispatch(&e)
	}
	sim.emit(trace.Event{Kind: trace.Ended})
	return nil
}

// begin starts the doors and schedules the first arrivals, the faults and the sweep.
func (sim *Simulation) begin() {
	for _, d := range sim.doors {
		d.start(sim)
	}
	sim.clients.begin(sim)
	for i := range sim.s.Faults {
		sim.schedule(sim.s.Faults[i].AtS*1000, event{kind: eventFault, index: i, arg: 1})
	}
	sim.schedule(sweepInterval, event{kind: eventSweep})
}

// dispatch handles one event.
func (sim *Simulation) dispatch(e *event) {
	switch e.kind {
	case eventArrival, eventSpike, eventShift, eventExtraRequest, eventClientTimeout, eventAnswer, eventRetry:
		sim.clients.handle(sim, e)
	case eventSubmit:
		sim.doors[e.try.Door].submit(sim, e.try)
	case eventClientGone:
		sim.doors[e.try.Door].clientLeft(sim, e.try)
	case eventConnect:
		sim.connectionArrived(e.job)
	case eventBackendArrival:
		if b := sim.backends[e.job.Backend]; !e.job.closed && !sim.partitioned(sim.doors[e.job.Try.Door].zone, b.zone) {
			b.receive(sim, e.job)
		}
	case eventFinish:
		if b := sim.backends[e.index]; b.finishStamp == e.arg {
			b.finishDue(sim)
		}
	case eventRefreshSpeed:
		if b := sim.backends[e.index]; b.incarnation == e.arg && b.coldBudget != nil {
			b.advance(sim.now)
			b.scheduleFinish(sim)
			sim.schedule(sim.now+coldRefreshInterval, *e)
		}
	case eventResult:
		e.job.caller.Ended(sim, e.job, e.payload.(gate.Result))
	case eventCancel:
		if b := sim.backends[e.job.Backend]; !sim.partitioned(sim.doors[e.job.Try.Door].zone, b.zone) {
			b.cancel(sim, e.job)
		}
	case eventAttemptTimeout:
		sim.doors[e.job.Try.Door].attemptTimedOut(sim, e.job)
	case eventCounterCall:
		sim.counter.serve(sim, e.payload.(*counterCall))
	case eventCounterReply:
		sim.counter.deliver(sim, e.payload.(*counterCall))
	case eventProbeEnd:
		sim.doors[e.arg].probeEnded(sim, e.index, e.payload.(probeResult))
	case eventListUpdate:
		sim.doors[e.index].receiveListUpdate(sim, e.arg, e.payload.(listUpdate))
	case eventFault:
		sim.toggleFault(e.index, e.arg == 1)
	case eventFaultStep:
		sim.faultStep(e.index, e.arg, e.payload.(*activeFault))
	case eventFunc:
		e.payload.(func())()
	case eventSweep:
		sim.sweep()
		sim.schedule(sim.now+sweepInterval, event{kind: eventSweep})
	}
}

const parallelThreshold = 6 // number of doors deciding at one instant from which goroutines pay off

// decide lets all doors that are due decide. The deciders share no state, so they run concurrently. Their actions are carried
// out in the order of the door numbers, which keeps the run deterministic.
func (sim *Simulation) decide() {
	slices.SortFunc(sim.deciding, func(a, b *door) int { return a.id - b.id })
	sim.deciding = slices.CompactFunc(sim.deciding, func(a, b *door) bool { return a == b })
	n := 0
	for _, d := range sim.deciding {
		if d.decideAt == sim.now && d.up {
			d.decideAt = math.Inf(1)
			d.collectEvents(sim)
			sim.deciding[n] = d
			n++
		}
	}
	sim.deciding = sim.deciding[:n]
	workers := min(runtime.GOMAXPROCS(0), n/2)
	if sim.maker.Shared || n < parallelThreshold || workers < 2 {
		for _, d := range sim.deciding {
			d.decide(sim.now)
			d.carryOut(sim)
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
				sim.deciding[i].decide(sim.now)
			}
		})
	}
	done.Wait()
	for _, d := range sim.deciding {
		d.carryOut(sim)
	}
}

// ---- The network ----

// networkDelay draws the one-way delay from one zone to another, ms.
func (sim *Simulation) networkDelay(from, to int) float64 {
	span := sim.s.Net.CrossMs
	if from == to {
		span = sim.s.Net.SameMs
	}
	d := span.At(sim.rng.net.Float64()) * (1 + sim.s.Net.Jitter*(2*sim.rng.net.Float64()-1))
	for _, af := range sim.faults {
		if af.spec.Kind == "delay" {
			d += af.spec.Much
		}
	}
	return max(0.01, d)
}

// clientDelay draws the one-way delay between a client and its door, ms.
func (sim *Simulation) clientDelay() float64 {
	return max(0.01, sim.s.Net.ClientMs.At(sim.rng.net.Float64()))
}

// partitioned reports whether a network partition separates two zones.
func (sim *Simulation) partitioned(a, b int) bool {
	for _, af := range sim.faults {
		if af.spec.Kind == "zone_cut" && (a == *af.spec.Zone) != (b == *af.spec.Zone) {
			return true
		}
	}
	return false
}

// faultMagnitude returns the greatest magnitude among the active faults of a kind, and whether there is one. Faults of
// backends are looked up by backend.faultMagnitude.
func (sim *Simulation) faultMagnitude(kind string) (magnitude float64, active bool) {
	for _, af := range sim.faults {
		if af.spec.Kind == kind {
			magnitude, active = max(magnitude, af.spec.Much), true
		}
	}
	return magnitude, active
}

// sendResult sends an attempt's result to its door. The network may lose it.
func (sim *Simulation) sendResult(b *backend, j *Job, r gate.Result) {
	if j.closed || b.silent() {
		return
	}
	z := sim.doors[j.Try.Door].zone
	lossShare, lossy := sim.faultMagnitude("loss")
	if sim.partitioned(z, b.zone) || r != gate.Unreachable && sim.rng.net.Float64() < sim.s.Net.Loss ||
		lossy && sim.rng.net.Float64() < lossShare {
		return
	}
	sim.schedule(sim.now+sim.networkDelay(b.zone, z), event{kind: eventResult, job: j, payload: r})
}

// dial starts to open a connection for an attempt.
func (sim *Simulation) dial(j *Job) {
	b := sim.backends[j.Backend]
	z := sim.doors[j.Try.Door].zone
	j.newConn = true
	sim.emit(trace.Event{Kind: trace.Connected, Door: j.Try.Door, Backend: b.id})
	if b.silent() || sim.partitioned(z, b.zone) {
		sim.schedule(sim.now+sim.s.Net.ConnectTimeoutMs, event{kind: eventResult, job: j, payload: gate.Unreachable})
		return
	}
	sim.schedule(sim.now+sim.networkDelay(z, b.zone), event{kind: eventConnect, job: j})
}

// connectionArrived handles a connection attempt at the backend, which accepts or refuses it.
func (sim *Simulation) connectionArrived(j *Job) {
	b := sim.backends[j.Backend]
	if j.closed {
		return
	}
	if b.silent() {
		sim.schedule(j.sentAt+sim.s.Net.ConnectTimeoutMs, event{kind: eventResult, job: j, payload: gate.Unreachable})
		return
	}
	limit := b.maxConns
	if magnitude, active := b.faultMagnitude("few_conns", -1); active {
		limit = int(magnitude)
	}
	if _, refuses := b.faultMagnitude("refuse", -1); refuses || !b.up || b.openConns >= limit {
		sim.sendResult(b, j, gate.Unreachable)
		return
	}
	z := sim.doors[j.Try.Door].zone
	if j.startBy > 0 {
		if up := sim.now + sim.networkDelay(b.zone, z); up > j.startBy { // too late to start
			sim.schedule(up, event{kind: eventResult, job: j, payload: gate.Skipped})
			return
		}
	}
	b.openConns++
	j.incarnation = b.incarnation
	sim.schedule(sim.now+sim.networkDelay(b.zone, z)+sim.networkDelay(z, b.zone), event{kind: eventBackendArrival, job: j})
}

// knowsStart reports whether a door has been notified of a backend's latest start.
func (sim *Simulation) knowsStart(door int, b *backend) bool {
	d := sim.doors[door]
	return b.id < len(d.known) && d.known[b.id].received && d.known[b.id].startedAt == b.startedAt
}

// ---- Effects ----

// effect records the deduplication group in which a request took effect, and when.
type effect struct {
	group int
	at    float64
}

// dedupGroup returns the group of backends that shares idempotency keys with the backend, for a class.
func (sim *Simulation) dedupGroup(b *backend, p *scenario.Class) int {
	switch p.Scope {
	case "zone":
		return b.zone
	case "cell":
		return b.cell
	}
	return 0
}

// isDuplicate reports whether the backend's group still remembers that the request ran, and so discards a repeat.
func (sim *Simulation) isDuplicate(b *backend, t *Try) bool {
	p := &sim.s.Classes[t.Class]
	if p.Semantics != "tokened" {
		return false
	}
	early, _ := b.faultMagnitude("forget_tokens", t.Class)
	for _, e := range t.request.effects {
		if e.group == sim.dedupGroup(b, p) && sim.now <= e.at+p.WindowMs-early {
			return true
		}
	}
	return false
}

// recordEffect records that a request took effect at a backend.
func (sim *Simulation) recordEffect(b *backend, t *Try) {
	p := &sim.s.Classes[t.Class]
	if p.Semantics == "replayable" {
		return
	}
	if sim.isDuplicate(b, t) { // another attempt has run since this one began
		return
	}
	sim.emit(trace.Event{Kind: trace.Ran, Request: t.request.id, Try: t.ID, Backend: b.id, Twice: len(t.request.effects) > 0})
	t.request.effects = append(t.request.effects, effect{sim.dedupGroup(b, p), sim.now})
}

// sweep closes idle connections and drops expired counter values.
func (sim *Simulation) sweep() {
	for _, d := range sim.doors {
		d.dropIdle(sim)
	}
	sim.counter.sweep(sim.now)
}
