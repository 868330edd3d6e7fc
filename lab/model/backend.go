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
	Try     *Try
	Number  int
	Backend int
	at      float64 // sent, ms
	by      float64 // clock after which it may not begin, ms; 0 is none
	life    int     // of the backend that it was sent to
	caller  Caller
	work    float64 // of its own, with the handshake
	left    float64 // virtual clock of its backend at which it is done
	index   int     // in the heap of those in work
	state   jobState
	effect  bool // it takes effect when it is done
	failing bool // it ends in an error
	handed  bool // its door has been told how it ended, or has given it up
	opened  bool // it came over a connection of its own
}

// Caller is told how an attempt ended.
type Caller interface {
	Ended(w *World, j *Job, r gate.Result)
}

type jobState uint8

const (
	away jobState = iota // on its way, or over
	waits
	works
	stuck // taken and never answered
)

// working is the heap of the requests in work, by the virtual clock at which they are done.
type working []*Job

func (h working) Len() int           { return len(h) }
func (h working) Less(a, b int) bool { return h[a].left < h[b].left }
func (h working) Swap(a, b int)      { h[a], h[b] = h[b], h[a]; h[a].index, h[b].index = a, b }
func (h *working) Push(x any)        { j := x.(*Job); j.index = len(*h); *h = append(*h, j) }
func (h *working) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// backend shares its cores evenly among the requests in work. Its virtual clock runs as fast as one of them is served.
type backend struct {
	id, zone, cell     int
	cores              int
	speed              float64 // of a core
	slots, room, conns int     // requests in work, waiting, and connections that it may hold
	machine            *scenario.Machine

	up      bool // its process runs
	listed  bool // it belongs to the fleet
	status  gate.Status
	since   float64 // start of its process, ms; negative is long ago
	life    int
	fallen  bool
	budget  *trace.ColdBudget
	work    working
	queue   []*Job
	virtual float64
	at      float64 // clock of that, ms
	rate    float64 // of the virtual clock
	stamp   int
	open    int     // connections
	owed    int     // attempts whose doors wait for them
	hurts   []*hurt // faults that strike it now
	paused  bool
	dice    *rand.Rand
}

// capacity is what it does when warm, ms of work a ms.
func (b *backend) capacity() float64 { return float64(b.cores) * b.speed }

// hurting returns how much a kind of fault strikes the backend for a class.
func (b *backend) hurting(kind string, class int) (much float64, is bool) {
	for _, h := range b.hurts {
		if h.fault.Kind == kind && (h.class < 0 || h.class == class) {
			return h.fault.Much, true
		}
	}
	return 0, false
}

func (b *backend) chance(kind string, class int) bool {
	much, is := b.hurting(kind, class)
	return is && b.dice.Float64() < much
}

func (b *backend) silent() bool { _, is := b.hurting("silence", -1); return is }

// pace is the speed at which one request is served now.
func (b *backend) pace(now float64) float64 {
	n := len(b.work)
	if n == 0 || b.paused || !b.up || b.fallen || b.silent() {
		return 0
	}
	speed := b.speed
	if b.budget != nil {
		speed *= b.budget.CapacityAt(now) / b.budget.Capacity
	}
	for _, h := range b.hurts {
		if h.fault.Kind == "slow" {
			speed /= max(1, h.fault.Much)
		}
	}
	if held := n + len(b.queue); b.machine.Thrash > 0 {
		speed *= 1 - b.machine.Thrash*min(1, float64(held)/float64(b.slots+b.room))
	}
	return speed * min(1, float64(b.cores)/float64(n))
}

// settle brings the virtual clock up to now, before anything changes.
func (b *backend) settle(now float64) {
	b.virtual += (now - b.at) * b.rate
	b.at = now
}

// plan works the speed out and says when the next request is done.
func (b *backend) plan(w *World) {
	b.stamp++
	b.rate = b.pace(w.now)
	if b.rate > 0 {
		w.at(w.now+max(0, b.work[0].left-b.virtual)/b.rate, due{kind: dueFinish, n: b.id, m: b.stamp})
	}
}

// come is an attempt that has come whole.
func (b *backend) come(w *World, j *Job) {
	t := j.Try
	if !b.up || j.life != b.life { // its connection was reset with the process
		w.back(b, j, gate.Reset)
		return
	}
	if b.silent() {
		return
	}
	p := &w.s.Classes[t.Class]
	j.work = t.want.work * noise(b.dice, p.Noise)
	if j.opened {
		j.work += b.machine.HandshakeMs
	}
	w.tell(trace.Event{Kind: trace.Arrived, Try: t.ID, Door: t.Door, Attempt: j.Number, Backend: b.id, Work: j.work, KnowsStart: w.knows(t.Door, b)})
	if b.budget != nil && !b.fallen {
		if !b.budget.Cold(w.now) {
			b.budget = nil
		} else if over, _ := b.budget.Add(w.now, j.work, w.knows(t.Door, b)); over {
			b.topple(w)
			return
		}
	}
	switch {
	case b.fallen:
		return
	case b.chance("full", t.Class) || len(b.work) >= b.slots && len(b.queue) >= b.room:
		w.back(b, j, gate.Full)
		return
	}
	if _, is := b.hurting("hang", t.Class); is {
		j.state = stuck
		return
	}
	j.effect = !w.remembers(b, t)
	j.failing = b.chance("errors", t.Class) || b.dice.Float64() < b.machine.ErrorRate
	if j.failing {
		j.work *= errorWork
	} else if !j.effect {
		j.work *= repeatWork
	}
	b.settle(w.now)
	if len(b.work) < b.slots {
		b.begin(j)
	} else {
		j.state = waits
		b.queue = append(b.queue, j)
	}
	b.plan(w)
}

const (
	errorWork  = 0.1  // share of its work that a request takes which ends in an error
	repeatWork = 0.05 // and one whose repeat is known
)

func (b *backend) begin(j *Job) {
	j.state, j.left = works, b.virtual+j.work
	heap.Push(&b.work, j)
}

// next lets those that wait into the free slots.
func (b *backend) next() {
	for len(b.work) < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
		b.begin(j)
	}
}

const aMoment = 1e-6 // ms of virtual time within which requests are done together

// finish ends what is done.
func (b *backend) finish(w *World) {
	b.settle(w.now)
	for len(b.work) > 0 && b.work[0].left <= b.virtual+aMoment {
		j := heap.Pop(&b.work).(*Job)
		j.state = away
		b.done(w, j)
	}
	b.next()
	b.plan(w)
}

func (b *backend) done(w *World, j *Job) {
	t := j.Try
	kind := trace.Worked
	if j.handed || t.over {
		kind = trace.Wasted
	}
	w.tell(trace.Event{Kind: kind, Backend: b.id, Work: j.work})
	if j.failing {
		w.back(b, j, gate.Errored)
		return
	}
	if j.effect {
		w.ran(b, t)
	}
	switch {
	case b.chance("lost_answers", t.Class):
	case b.chance("resets", t.Class):
		w.back(b, j, gate.Reset)
	case b.chance("spoilt", t.Class):
		w.back(b, j, gate.Malformed)
	default:
		w.back(b, j, gate.Finished)
	}
}

// drop takes out a request that nobody waits for.
func (b *backend) drop(w *World, j *Job) {
	if b.machine.GoesOn || j.life != b.life {
		return
	}
	b.settle(w.now)
	switch j.state {
	case waits:
		for i, q := range b.queue {
			if q == j {
				b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
				break
			}
		}
	case works:
		heap.Remove(&b.work, j.index)
		w.tell(trace.Event{Kind: trace.Wasted, Backend: b.id, Work: max(0, j.work-(j.left-b.virtual))})
		b.next()
	default:
		return
	}
	j.state = away
	b.plan(w)
}

// die ends the process with all that it holds; those who wait hear of it.
func (b *backend) die(w *World) {
	b.settle(w.now)
	b.up, b.stamp = false, b.stamp+1
	b.life++
	for _, j := range append(append([]*Job(nil), b.work...), b.queue...) {
		j.state = away
		w.back(b, j, gate.Reset)
	}
	b.work, b.queue, b.open, b.rate = nil, nil, 0, 0
	b.budget, b.fallen = nil, false
	w.process(b)
}

// topple has a cold backend fall over: it stays up and does nothing more.
func (b *backend) topple(w *World) {
	b.settle(w.now)
	b.fallen = true
	w.tell(trace.Event{Kind: trace.Collapsed, Backend: b.id})
	b.plan(w)
}

// start begins the process, cold.
func (b *backend) start(w *World) {
	b.up, b.since, b.status = true, w.now, gate.Up
	b.at = w.now
	b.budget = &trace.ColdBudget{Capacity: b.capacity(), ColdShare: b.machine.ColdFrom, WarmupTime: b.machine.ColdS * 1000, StartedAt: w.now,
		Multiple: w.s.Rules.FallMultiple, Window: w.s.Rules.FallMs}
	w.tell(trace.Event{Kind: trace.BackendStarted, Backend: b.id, Work: b.capacity(), ColdShare: b.machine.ColdFrom, WarmupTime: b.machine.ColdS * 1000})
	w.at(w.now+refreshEvery, due{kind: dueRefresh, n: b.id, m: b.life})
	w.process(b)
}

const refreshEvery = 100 // ms between looks at the speed of a cold backend, which rises evenly

// noise draws a factor of mean 1 around which an attempt's work varies.
func noise(d *rand.Rand, cv float64) float64 {
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
