package model

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// Job is one attempt in the network or at its backend. It exists until it no longer runs and its door no longer waits for it.
type Job struct {
	Try         *Try
	Number      int
	Backend     int
	sentAt      float64 // ms
	startBy     float64 // clock after which it must not start, ms; 0 means no bound
	incarnation int     // incarnation of the backend to which it was sent
	caller      Caller
	work        float64 // its own work, including the handshake of a new connection, ms
	virtualEnd  float64 // its backend's virtual clock at which it completes
	heapIndex   int     // index in backend.running
	state       jobState
	takesEffect bool // takes effect on completion; false for a discarded repeat
	failing     bool // will end in an error
	closed      bool // the door has its result or has given it up
	newConn     bool // sent on a new connection
}

// Caller is notified how an attempt ended.
type Caller interface {
	Ended(sim *Simulation, j *Job, r gate.Result)
}

type jobState uint8

const (
	jobInTransit jobState = iota // in the network, or over
	jobQueued
	jobRunning
	jobHung // accepted and never answered
)

// jobHeap is a min-heap of running jobs by virtualEnd.
type jobHeap []*Job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(a, b int) bool { return h[a].virtualEnd < h[b].virtualEnd }
func (h jobHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a]; h[a].heapIndex, h[b].heapIndex = a, b }
func (h *jobHeap) Push(x any)        { j := x.(*Job); j.heapIndex = len(*h); *h = append(*h, j) }
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// backend simulates a backend by processor sharing: its cores are shared evenly among the running jobs. Its virtual clock
// advances at the rate at which a single one of them is served, so that virtualEnd never has to be recomputed.
type backend struct {
	id, zone, cell            int
	cores                     int
	speed                     float64 // of a core, ms of work per ms
	slots, maxQueue, maxConns int     // limits of running jobs, queued jobs and open connections
	machine                   *scenario.Machine

	up          bool // the process runs
	listed      bool // belongs to the fleet
	status      gate.Status
	startedAt   float64 // start of the process, ms; negative means long ago
	incarnation int
	collapsed   bool              // overloaded while cold: the process stays up but serves nothing
	coldBudget  *trace.ColdBudget // nil once warm
	running     jobHeap
	queue       []*Job
	virtualTime float64
	updatedAt   float64        // clock at which virtualTime was last brought up to date, ms
	rate        float64        // of the virtual clock, per ms
	finishStamp int            // invalidates finish events scheduled before the last change
	openConns   int            // including idle ones
	pending     int            // attempts for which a door still waits
	faults      []*activeFault // active on this backend
	paused      bool
	rng         *rand.Rand
}

// capacity returns the work that the backend does when warm, ms of work per ms.
func (b *backend) capacity() float64 { return float64(b.cores) * b.speed }

// faultMagnitude returns the magnitude of the first active fault of a kind that applies to the class, and whether there is
// one.
func (b *backend) faultMagnitude(kind string, class int) (magnitude float64, active bool) {
	for _, af := range b.faults {
		if af.spec.Kind == kind && (af.class < 0 || af.class == class) {
			return af.spec.Much, true
		}
	}
	return 0, false
}

// faultOccurs draws whether a fault whose magnitude is a probability hits this request.
func (b *backend) faultOccurs(kind string, class int) bool {
	magnitude, active := b.faultMagnitude(kind, class)
	return active && b.rng.Float64() < magnitude
}

// silent reports whether the backend is unreachable and sends nothing.
func (b *backend) silent() bool { _, active := b.faultMagnitude("silence", -1); return active }

// currentRate returns the rate at which each running job is served now.
func (b *backend) currentRate(now float64) float64 {
	n := len(b.running)
	if n == 0 || b.paused || !b.up || b.collapsed || b.silent() {
		return 0
	}
	speed := b.speed
	if b.coldBudget != nil {
		speed *= b.coldBudget.CapacityAt(now) / b.coldBudget.Capacity
	}
	for _, af := range b.faults {
		if af.spec.Kind == "slow" {
			speed /= max(1, af.spec.Much)
		}
	}
	if held := n + len(b.queue); b.machine.Thrash > 0 {
		speed *= 1 - b.machine.Thrash*min(1, float64(held)/float64(b.slots+b.maxQueue))
	}
	return speed * min(1, float64(b.cores)/float64(n))
}

// advance brings the virtual clock up to now. It must be called before anything that changes the rate.
func (b *backend) advance(now float64) {
	b.virtualTime += (now - b.updatedAt) * b.rate
	b.updatedAt = now
}

// scheduleFinish updates the rate and schedules the completion of the next job.
func (b *backend) scheduleFinish(sim *Simulation) {
	b.finishStamp++
	b.rate = b.currentRate(sim.now)
	if b.rate > 0 {
		sim.schedule(sim.now+max(0, b.running[0].virtualEnd-b.virtualTime)/b.rate,
			event{kind: eventFinish, index: b.id, arg: b.finishStamp})
	}
}

// receive handles an attempt whose request has arrived in full.
func (b *backend) receive(sim *Simulation, j *Job) {
	t := j.Try
	if !b.up || j.incarnation != b.incarnation { // its connection was reset with the process
		sim.sendResult(b, j, gate.Reset)
		return
	}
	if b.silent() {
		return
	}
	p := &sim.s.Classes[t.Class]
	j.work = t.request.work * noiseFactor(b.rng, p.Noise)
	if j.newConn {
		j.work += b.machine.HandshakeMs
	}
	sim.emit(trace.Event{Kind: trace.Arrived, Try: t.ID, Door: t.Door, Attempt: j.Number, Backend: b.id, Work: j.work,
		KnowsStart: sim.knowsStart(t.Door, b)})
	if b.coldBudget != nil && !b.collapsed {
		if !b.coldBudget.Cold(sim.now) {
			b.coldBudget = nil
		} else if over, _ := b.coldBudget.Add(sim.now, j.work, sim.knowsStart(t.Door, b)); over {
			b.collapse(sim)
			return
		}
	}
	switch {
	case b.collapsed:
		return
	case b.faultOccurs("full", t.Class) || len(b.running) >= b.slots && len(b.queue) >= b.maxQueue:
		sim.sendResult(b, j, gate.Full)
		return
	}
	if _, active := b.faultMagnitude("hang", t.Class); active {
		j.state = jobHung
		return
	}
	j.takesEffect = !sim.isDuplicate(b, t)
	j.failing = b.faultOccurs("errors", t.Class) || b.rng.Float64() < b.machine.ErrorRate
	if j.failing {
		j.work *= errorWorkShare
	} else if !j.takesEffect {
		j.work *= repeatWorkShare
	}
	b.advance(sim.now)
	if len(b.running) < b.slots {
		b.startJob(j)
	} else {
		j.state = jobQueued
		b.queue = append(b.queue, j)
	}
	b.scheduleFinish(sim)
}

const (
	errorWorkShare  = 0.1  // share of its work that a request takes when it ends in an error
	repeatWorkShare = 0.05 // share of its work that a discarded repeat takes
)

// startJob starts to run a job.
func (b *backend) startJob(j *Job) {
	j.state, j.virtualEnd = jobRunning, b.virtualTime+j.work
	heap.Push(&b.running, j)
}

// fillSlots starts queued jobs in free slots.
func (b *backend) fillSlots() {
	for len(b.running) < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
		b.startJob(j)
	}
}

const finishTolerance = 1e-6 // ms of virtual time within which jobs complete together

// finishDue completes the jobs that are due.
func (b *backend) finishDue(sim *Simulation) {
	b.advance(sim.now)
	for len(b.running) > 0 && b.running[0].virtualEnd <= b.virtualTime+finishTolerance {
		j := heap.Pop(&b.running).(*Job)
		j.state = jobInTransit
		b.complete(sim, j)
	}
	b.fillSlots()
	b.scheduleFinish(sim)
}

// complete applies the effect of a finished job and sends its result, subject to faults.
func (b *backend) complete(sim *Simulation, j *Job) {
	t := j.Try
	kind := trace.Worked
	if j.closed || t.over {
		kind = trace.Wasted
	}
	sim.emit(trace.Event{Kind: kind, Backend: b.id, Work: j.work})
	if j.failing {
		sim.sendResult(b, j, gate.Errored)
		return
	}
	if j.takesEffect {
		sim.recordEffect(b, t)
	}
	switch {
	case b.faultOccurs("lost_answers", t.Class):
	case b.faultOccurs("resets", t.Class):
		sim.sendResult(b, j, gate.Reset)
	case b.faultOccurs("spoilt", t.Class):
		sim.sendResult(b, j, gate.Malformed)
	default:
		sim.sendResult(b, j, gate.Finished)
	}
}

// cancel removes a job for which no door waits any more, unless the machine finishes such jobs.
func (b *backend) cancel(sim *Simulation, j *Job) {
	if b.machine.GoesOn || j.incarnation != b.incarnation {
		return
	}
	b.advance(sim.now)
	switch j.state {
	case jobQueued:
		for i, q := range b.queue {
			if q == j {
				b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
				break
			}
		}
	case jobRunning:
		heap.Remove(&b.running, j.heapIndex)
		sim.emit(trace.Event{Kind: trace.Wasted, Backend: b.id, Work: max(0, j.work-(j.virtualEnd-b.virtualTime))})
		b.fillSlots()
	default:
		return
	}
	j.state = jobInTransit
	b.scheduleFinish(sim)
}

// crash ends the process. Waiting doors see their connections reset.
func (b *backend) crash(sim *Simulation) {
	b.advance(sim.now)
	b.up, b.finishStamp = false, b.finishStamp+1
	b.incarnation++
	for _, j := range append(append([]*Job(nil), b.running...), b.queue...) {
		j.state = jobInTransit
		sim.sendResult(b, j, gate.Reset)
	}
	b.running, b.queue, b.openConns, b.rate = nil, nil, 0, 0
	b.coldBudget, b.collapsed = nil, false
	sim.notifyProcess(b)
}

// collapse makes a cold backend fail under overload: its process stays up and serves nothing more.
func (b *backend) collapse(sim *Simulation) {
	b.advance(sim.now)
	b.collapsed = true
	sim.emit(trace.Event{Kind: trace.Collapsed, Backend: b.id})
	b.scheduleFinish(sim)
}

// start starts the process, cold.
func (b *backend) start(sim *Simulation) {
	b.up, b.startedAt, b.status = true, sim.now, gate.Up
	b.updatedAt = sim.now
	b.coldBudget = &trace.ColdBudget{Capacity: b.capacity(), ColdShare: b.machine.ColdFrom, WarmupTime: b.machine.ColdS * 1000, StartedAt: sim.now,
		Multiple: sim.s.Rules.FallMultiple, Window: sim.s.Rules.FallMs}
	sim.emit(trace.Event{Kind: trace.BackendStarted, Backend: b.id, Work: b.capacity(), ColdShare: b.machine.ColdFrom, WarmupTime: b.machine.ColdS * 1000})
	sim.schedule(sim.now+coldRefreshInterval, event{kind: eventRefreshSpeed, index: b.id, arg: b.incarnation})
	sim.notifyProcess(b)
}

const coldRefreshInterval = 100 // ms between updates of the rate of a cold backend, whose capacity rises steadily

// noiseFactor draws the factor, of mean 1, by which the work of one attempt varies.
func noiseFactor(rng *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	return lognormal(rng, cv)
}

// lognormal draws from the lognormal distribution of mean 1 with coefficient of variation cv.
func lognormal(rng *rand.Rand, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return math.Exp(rng.NormFloat64()*math.Sqrt(s2) - s2/2)
}
