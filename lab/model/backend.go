package model

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// Job is one attempt, from its sending until nobody waits for it and it does not run.
type Job struct {
	Try         *Try
	Number      int
	Backend     int
	sentAt      float64 // sent, ms
	startBy     float64 // clock after which it may not begin, ms; 0 is none
	incarnation int     // of the backend that it was sent to
	caller      Caller
	work        float64 // of its own, with the handshake
	virtualEnd  float64 // virtual clock of its backend at which it is done
	heapIndex   int     // in the heap of those in work
	state       jobState
	takesEffect bool // it takes effect when it is done
	failing     bool // it ends in an error
	closed      bool // its door has been told how it ended, or has given it up
	newConn     bool // it came over a connection of its own
}

// Caller is told how an attempt ended.
type Caller interface {
	Ended(w *World, j *Job, r gate.Result)
}

type jobState uint8

const (
	jobInTransit jobState = iota // on its way, or over
	jobQueued
	jobRunning
	jobHung // taken and never answered
)

// jobHeap is the heap of the requests in work, by the virtual clock at which they are done.
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

// backend shares its cores evenly among the requests in work. Its virtual clock runs as fast as one of them is served.
type backend struct {
	id, zone, cell            int
	cores                     int
	speed                     float64 // of a core
	slots, maxQueue, maxConns int     // requests in work, waiting, and connections that it may hold
	machine                   *scenario.Machine

	up          bool // its process runs
	listed      bool // it belongs to the fleet
	status      gate.Status
	startedAt   float64 // start of its process, ms; negative is long ago
	incarnation int
	collapsed   bool
	coldBudget  *trace.ColdBudget
	running     jobHeap
	queue       []*Job
	virtualTime float64
	updatedAt   float64 // clock of that, ms
	rate        float64 // of the virtual clock
	finishStamp int
	openConns   int            // connections
	pending     int            // attempts whose doors wait for them
	faults      []*activeFault // faults that strike it now
	paused      bool
	rng         *rand.Rand
}

// capacity is what it does when warm, ms of work a ms.
func (b *backend) capacity() float64 { return float64(b.cores) * b.speed }

// faultMagnitude returns how much a kind of fault strikes the backend for a class.
func (b *backend) faultMagnitude(kind string, class int) (much float64, is bool) {
	for _, h := range b.faults {
		if h.fault.Kind == kind && (h.class < 0 || h.class == class) {
			return h.fault.Much, true
		}
	}
	return 0, false
}

func (b *backend) faultOccurs(kind string, class int) bool {
	much, is := b.faultMagnitude(kind, class)
	return is && b.rng.Float64() < much
}

func (b *backend) silent() bool { _, is := b.faultMagnitude("silence", -1); return is }

// currentRate is the speed at which one request is served now.
func (b *backend) currentRate(now float64) float64 {
	n := len(b.running)
	if n == 0 || b.paused || !b.up || b.collapsed || b.silent() {
		return 0
	}
	speed := b.speed
	if b.coldBudget != nil {
		speed *= b.coldBudget.Now(now) / b.coldBudget.Capacity
	}
	for _, h := range b.faults {
		if h.fault.Kind == "slow" {
			speed /= max(1, h.fault.Much)
		}
	}
	if held := n + len(b.queue); b.machine.Thrash > 0 {
		speed *= 1 - b.machine.Thrash*min(1, float64(held)/float64(b.slots+b.maxQueue))
	}
	return speed * min(1, float64(b.cores)/float64(n))
}

// advance brings the virtual clock up to now, before anything changes.
func (b *backend) advance(now float64) {
	b.virtualTime += (now - b.updatedAt) * b.rate
	b.updatedAt = now
}

// scheduleFinish works the speed out and says when the next request is done.
func (b *backend) scheduleFinish(w *World) {
	b.finishStamp++
	b.rate = b.currentRate(w.now)
	if b.rate > 0 {
		w.schedule(w.now+max(0, b.running[0].virtualEnd-b.virtualTime)/b.rate, event{kind: eventFinish, index: b.id, arg: b.finishStamp})
	}
}

// receive is an attempt that has receive whole.
func (b *backend) receive(w *World, j *Job) {
	t := j.Try
	if !b.up || j.incarnation != b.incarnation { // its connection was reset with the process
		w.sendResult(b, j, gate.Reset)
		return
	}
	if b.silent() {
		return
	}
	p := &w.s.Classes[t.Class]
	j.work = t.request.work * noiseFactor(b.rng, p.Noise)
	if j.newConn {
		j.work += b.machine.HandshakeMs
	}
	w.emit(trace.Event{Kind: trace.Came, Try: t.ID, Door: t.Door, Number: j.Number, Backend: b.id, Work: j.work, Told: w.knowsStart(t.Door, b)})
	if b.coldBudget != nil && !b.collapsed {
		if !b.coldBudget.Cold(w.now) {
			b.coldBudget = nil
		} else if over, _ := b.coldBudget.Take(w.now, j.work, w.knowsStart(t.Door, b)); over {
			b.collapse(w)
			return
		}
	}
	switch {
	case b.collapsed:
		return
	case b.faultOccurs("full", t.Class) || len(b.running) >= b.slots && len(b.queue) >= b.maxQueue:
		w.sendResult(b, j, gate.Full)
		return
	}
	if _, is := b.faultMagnitude("hang", t.Class); is {
		j.state = jobHung
		return
	}
	j.takesEffect = !w.isDuplicate(b, t)
	j.failing = b.faultOccurs("errors", t.Class) || b.rng.Float64() < b.machine.ErrorRate
	if j.failing {
		j.work *= errorWorkShare
	} else if !j.takesEffect {
		j.work *= repeatWorkShare
	}
	b.advance(w.now)
	if len(b.running) < b.slots {
		b.startJob(j)
	} else {
		j.state = jobQueued
		b.queue = append(b.queue, j)
	}
	b.scheduleFinish(w)
}

const (
	errorWorkShare  = 0.1  // share of its work that a request takes which ends in an error
	repeatWorkShare = 0.05 // and one whose repeat is known
)

func (b *backend) startJob(j *Job) {
	j.state, j.virtualEnd = jobRunning, b.virtualTime+j.work
	heap.Push(&b.running, j)
}

// fillSlots lets those that wait into the free slots.
func (b *backend) fillSlots() {
	for len(b.running) < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
		b.startJob(j)
	}
}

const finishTolerance = 1e-6 // ms of virtual time within which requests are done together

// finishDue ends what is done.
func (b *backend) finishDue(w *World) {
	b.advance(w.now)
	for len(b.running) > 0 && b.running[0].virtualEnd <= b.virtualTime+finishTolerance {
		j := heap.Pop(&b.running).(*Job)
		j.state = jobInTransit
		b.complete(w, j)
	}
	b.fillSlots()
	b.scheduleFinish(w)
}

func (b *backend) complete(w *World, j *Job) {
	t := j.Try
	kind := trace.Worked
	if j.closed || t.over {
		kind = trace.Wasted
	}
	w.emit(trace.Event{Kind: kind, Backend: b.id, Work: j.work})
	if j.failing {
		w.sendResult(b, j, gate.Errored)
		return
	}
	if j.takesEffect {
		w.recordEffect(b, t)
	}
	switch {
	case b.faultOccurs("lost_answers", t.Class):
	case b.faultOccurs("resets", t.Class):
		w.sendResult(b, j, gate.Reset)
	case b.faultOccurs("spoilt", t.Class):
		w.sendResult(b, j, gate.Malformed)
	default:
		w.sendResult(b, j, gate.Finished)
	}
}

// cancel takes out a request that nobody waits for.
func (b *backend) cancel(w *World, j *Job) {
	if b.machine.GoesOn || j.incarnation != b.incarnation {
		return
	}
	b.advance(w.now)
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
		w.emit(trace.Event{Kind: trace.Wasted, Backend: b.id, Work: max(0, j.work-(j.virtualEnd-b.virtualTime))})
		b.fillSlots()
	default:
		return
	}
	j.state = jobInTransit
	b.scheduleFinish(w)
}

// crash ends the process with all that it holds; those who wait hear of it.
func (b *backend) crash(w *World) {
	b.advance(w.now)
	b.up, b.finishStamp = false, b.finishStamp+1
	b.incarnation++
	for _, j := range append(append([]*Job(nil), b.running...), b.queue...) {
		j.state = jobInTransit
		w.sendResult(b, j, gate.Reset)
	}
	b.running, b.queue, b.openConns, b.rate = nil, nil, 0, 0
	b.coldBudget, b.collapsed = nil, false
	w.notifyProcess(b)
}

// collapse has a cold backend fall over: it stays up and does nothing more.
func (b *backend) collapse(w *World) {
	b.advance(w.now)
	b.collapsed = true
	w.emit(trace.Event{Kind: trace.Fell, Backend: b.id})
	b.scheduleFinish(w)
}

// start begins the process, cold.
func (b *backend) start(w *World) {
	b.up, b.startedAt, b.status = true, w.now, gate.Up
	b.updatedAt = w.now
	b.coldBudget = &trace.ColdBudget{Capacity: b.capacity(), From: b.machine.ColdFrom, Span: b.machine.ColdS * 1000, Began: w.now,
		Multiple: w.s.Rules.FallMultiple, Window: w.s.Rules.FallMs}
	w.emit(trace.Event{Kind: trace.Began, Backend: b.id, Work: b.capacity(), Cold: b.machine.ColdFrom, Span: b.machine.ColdS * 1000})
	w.schedule(w.now+coldRefreshInterval, event{kind: eventRefreshSpeed, index: b.id, arg: b.incarnation})
	w.notifyProcess(b)
}

const coldRefreshInterval = 100 // ms between looks at the speed of a cold backend, which rises evenly

// noiseFactor draws a factor of mean 1 around which an attempt's work varies.
func noiseFactor(d *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	return lognormal(d, cv)
}

// lognormal draws from a distribution of mean 1.
func lognormal(d *rand.Rand, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return math.Exp(d.NormFloat64()*math.Sqrt(s2) - s2/2)
}
