package model

import (
	"fmt"
	"math"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/lab/trace"
)

// door carries a decider: it words what comes as events, and has its actions done.
type door struct {
	id, zone, life int
	up             bool
	leaving        bool    // clients no longer come
	diedAt         float64 // ms
	dueAt          float64 // clock at which it decides next; infinite where it has nothing to do
	decider        gate.Decider
	inbox          []gate.Event
	came           []*Try
	back           []ending
	listed         []news
	events         []gate.Event
	actions        []gate.Action
	wakeAt         float64
	ops            []op
	free           []int
	closing        []int
	customers      index.Table[int]
	names          index.Table[int] // of backends
	told           []telling        // by backend
	idle           []idleConns      // by backend
	listDelay      float64
	listAt         float64
	tracking       bool
	outer          Outer // carries a door outside of the world; nil where the world carries a decider
}

// op is a request that the door holds.
type op struct {
	try  *Try
	jobs []*Job
	out  int
	over bool
}

// ending is an attempt's end that waits for the door to look.
type ending struct {
	job    *Job
	result gate.Result
	took   float64
	use    float64
}

// idleConns are a door's free connections to a backend.
type idleConns struct {
	n, life int
	used    float64 // when one was last, ms
}

type probe struct {
	at     float64
	life   int
	result gate.Result
}

func phase(customer int) float64 { return index.Phase(uint64(customer) + 1) }

func newDoor(w *World, id int) *door {
	d := &door{id: id, zone: id % w.s.Fleet.Zones, diedAt: math.Inf(-1), dueAt: math.Inf(1)}
	d.listDelay = w.s.Discovery.DelayMs.At(w.dice.net.Float64())
	return d
}

// start begins a life: nothing is known but the list as it was last told.
func (d *door) start(w *World) {
	if d.up {
		return
	}
	known := news{whole: true}
	for i, t := range d.told {
		if t.known && t.status != gate.Gone {
			known.entries = append(known.entries, line{i, t.status, t.since})
		}
	}
	if d.life == 0 {
		known = w.whole()
	}
	if d.outer != nil {
		d.life++
		d.up, d.leaving, d.tracking = true, false, true
		w.tell(trace.Event{Kind: trace.DoorStarted, Door: d.id})
		d.note(w, known)
		d.outer.Start(lines(w, known))
		w.pass(d, w.whole())
		return
	}
	d.life++
	d.up, d.leaving = true, false
	d.customers, d.names = index.New[int](), index.New[int]()
	d.ops, d.free, d.closing = nil, nil, nil
	d.inbox, d.came, d.back, d.listed = nil, nil, nil, nil
	d.wakeAt, d.dueAt = 0, math.Inf(1)
	d.idle = make([]idleConns, len(d.told))
	seed := chance(w.seed, chanceDoors<<16|uint64(d.id)<<32|uint64(d.life)).Uint64()
	d.decider = w.maker.New(Terms(w.s, d.id), seed, sight{w, d})
	d.tracking = !w.s.Discovery.Ask
	w.tell(trace.Event{Kind: trace.DoorStarted, Door: d.id})
	d.listed = append(d.listed, known)
	w.moved(d)
	if w.s.Fleet.MembersMs > 0 && d.life > 1 {
		d.inbox = append(d.inbox, w.present())
	}
	if d.life > 1 && d.tracking {
		w.pass(d, w.whole())
	}
	d.wake(w, w.now)
}

// die ends a life with all that it holds.
func (d *door) die(w *World) {
	if !d.up {
		return
	}
	d.up, d.diedAt = false, w.now
	w.tell(trace.Event{Kind: trace.DoorDied, Door: d.id})
	w.moved(d)
	if d.outer != nil {
		d.outer.Kill()
	}
	for i := range d.ops {
		o := &d.ops[i]
		if o.try == nil {
			continue
		}
		for _, j := range o.jobs {
			if !j.handed {
				d.hand(w, j)
				d.hangUp(w, j)
			}
		}
		w.clients.broken(w, o.try)
	}
	for _, t := range d.came {
		w.clients.broken(w, t)
	}
	for b := range d.idle {
		d.closeIdle(w, b)
	}
	d.ops = nil
}

// withdraw has the door leave in order, and start again after a rest.
func (d *door) withdraw(w *World, rest float64) {
	d.leaving = true
	life := d.life
	if d.outer != nil {
		d.outer.Stop()
	}
	w.at(w.now+leaveMost, due{kind: dueStart, p: func() {
		if d.life == life {
			d.die(w)
		}
	}})
	w.at(w.now+leaveMost+rest, due{kind: dueStart, p: func() { d.start(w) }})
}

// seen tells whether clients take the door for one that serves.
func (d *door) seen(now, notice float64) bool {
	return d.up && !d.leaving || !d.up && now < d.diedAt+notice
}

// wake has the door decide at the next look at or after a clock.
func (d *door) wake(w *World, at float64) {
	if at = w.grid(max(at, w.now)); at < d.dueAt {
		d.dueAt = at
		w.at(at, due{kind: dueDoor, n: d.id})
	}
}

// submit is a try that has come.
func (d *door) submit(w *World, t *Try) {
	if !d.up {
		w.at(w.now+w.clientWay(), due{kind: dueStart, p: func() { w.clients.unreachable(w, t) }})
		return
	}
	if t.over {
		return
	}
	t.life, t.slot = d.life, -1
	if d.outer != nil {
		d.outer.Submit(t)
		return
	}
	w.taken(d, t)
	d.came = append(d.came, t)
	d.wake(w, w.now)
}

// taken marks a try as the door's own from here on.
func (w *World) taken(d *door, t *Try) {
	k := &w.clients.customers[t.want.customer]
	t.taken = true
	w.tell(trace.Event{Kind: trace.Accepted, Try: t.ID, Request: t.want.id, Door: d.id, Customer: t.want.customer, Plan: k.plan, Class: t.Class,
		Units: t.want.units, Deadline: t.until})
}

// leave is the news that a client has left.
func (d *door) leave(w *World, t *Try) {
	if !t.taken || t.life != d.life || !d.up {
		return
	}
	w.tell(trace.Event{Kind: trace.ClientLeft, Try: t.ID, Door: d.id})
	if t.answered {
		return
	}
	t.answered = true
	if d.outer != nil {
		d.outer.Leave(t)
		return
	}
	if t.slot < 0 { // it has not been looked at yet
		for i, c := range d.came {
			if c == t {
				d.came = append(d.came[:i:i], d.came[i+1:]...)
				return
			}
		}
		return
	}
	d.ops[t.slot].over = true
	d.closing = append(d.closing, t.slot)
	d.inbox = append(d.inbox, gate.ClientGone{Op: t.slot})
	d.wake(w, w.now)
}

// Ended is an attempt's end, as it reaches the door.
func (d *door) Ended(w *World, j *Job, r gate.Result) {
	if j.handed || !d.up || j.Try.life != d.life {
		return
	}
	d.hand(w, j)
	use := -1.0
	if r == gate.Finished || r == gate.Errored || r == gate.Full {
		use = w.meter.use(w, j.Try.want.customer, w.s.Plans[w.clients.customers[j.Try.want.customer].plan].PerS/1000)
		idle := &d.idle[j.Backend]
		if b := w.backends[j.Backend]; idle.life != b.life {
			*idle = idleConns{life: b.life}
		}
		idle.n, idle.used = idle.n+1, w.now
	} else if r != gate.Unreachable && r != gate.Skipped {
		d.hangUp(w, j)
	}
	d.back = append(d.back, ending{j, r, w.now - j.at, use})
	d.wake(w, w.now)
}

// hand marks an attempt as one that its door no longer waits for.
func (d *door) hand(w *World, j *Job) {
	j.handed = true
	w.backends[j.Backend].owed--
}

// hangUp ends an attempt's connection.
func (d *door) hangUp(w *World, j *Job) {
	b := w.backends[j.Backend]
	if j.life == b.life && b.open > 0 {
		b.open--
	}
	w.at(w.now+w.way(d.zone, b.zone), due{kind: dueCancel, j: j})
}

func (d *door) expire(w *World, j *Job) {
	if !j.handed && d.up && j.Try.life == d.life {
		d.Ended(w, j, gate.TimedOut)
	}
}

func (d *door) closeIdle(w *World, b int) {
	idle, be := &d.idle[b], w.backends[b]
	if idle.life == be.life {
		be.open = max(0, be.open-idle.n)
	}
	idle.n = 0
}

func (d *door) dropIdle(w *World) {
	for b := range d.idle {
		if d.idle[b].n > 0 && d.idle[b].used+w.s.Net.IdleMs/2 < w.now {
			d.closeIdle(w, b)
		}
	}
}

// gather words what has come, and hands out answers that need no decision.
func (d *door) gather(w *World) {
	d.events = d.events[:0]
	for _, n := range d.listed {
		d.events = append(d.events, d.hear(w, n))
	}
	d.listed = nil
	d.events = append(d.events, d.inbox...)
	clear(d.inbox)
	d.inbox = d.inbox[:0]
	for _, e := range d.back {
		t := e.job.Try
		o := &d.ops[t.slot]
		o.out--
		d.closing = append(d.closing, t.slot)
		if e.result == gate.Finished && !o.over {
			d.answer(w, t.slot, trace.Finished, 0, gate.Unspecified)
		}
		w.tell(trace.Event{Kind: trace.Closed, Try: t.ID, Door: d.id, Attempt: e.job.Number, Backend: e.job.Backend, Result: e.result})
		b, _ := d.names.Find(e.job.Backend)
		d.events = append(d.events, gate.AttemptEnded{Op: t.slot, Attempt: e.job.Number, Backend: b, Result: e.result, Latency: e.took,
			Answered: o.over, MeteredUse: e.use, Queue: -1})
	}
	clear(d.back)
	d.back = d.back[:0]
	for _, t := range d.came {
		if len(d.free) == 0 {
			d.free = append(d.free, len(d.ops))
			d.ops = append(d.ops, op{})
		}
		t.slot = d.free[len(d.free)-1]
		d.free = d.free[:len(d.free)-1]
		o := &d.ops[t.slot]
		*o = op{try: t, jobs: o.jobs[:0]}
		d.events = append(d.events, t.word(w, t.slot, d.customers.Add(t.want.customer)))
	}
	clear(d.came)
	d.came = d.came[:0]
	if d.wakeAt > 0 && w.now >= d.wakeAt {
		d.wakeAt = 0
		d.events = append(d.events, gate.TimerFired{})
	}
}

// think asks the decider. It touches nothing but this door.
func (d *door) think(now float64) { d.actions = d.decider.Decide(now+epoch, d.events) }

// act carries the actions out.
func (d *door) act(w *World) {
	for _, a := range d.actions {
		switch a := a.(type) {
		case gate.Send:
			d.send(w, a)
		case gate.Cancel:
			if j := d.ops[a.Op].jobs[a.Attempt]; !j.handed {
				d.Ended(w, j, gate.Cancelled)
			}
		case gate.Reject:
			d.answer(w, a.Op, trace.Rejected, a.RetryAfter, a.Why)
		case gate.Fail:
			d.answer(w, a.Op, trace.Failed, 0, a.Why)
		case gate.SetTimer:
			d.wakeAt = max(a.At-epoch, w.now+w.s.Day.TickMs) // a tick is the shortest rest
			d.wake(w, d.wakeAt)
		case gate.Count:
			w.call(d, a)
		case gate.Probe:
			d.probe(w, a)
		case gate.SubscribeFleet:
			if !d.tracking {
				d.tracking = true
				w.pass(d, w.whole())
			}
		case gate.FreeCustomer:
			d.customers.Drop(a.Customer)
		case gate.FreeBackend:
			d.names.Drop(a.Backend)
		case gate.Log, gate.Differs:
		default:
			panic(fmt.Sprintf("no way to carry out %T", a))
		}
	}
	for _, i := range d.closing {
		if o := &d.ops[i]; o.try != nil && o.over && o.out == 0 {
			*o = op{jobs: o.jobs[:0]}
			d.free = append(d.free, i)
		}
	}
	d.closing = d.closing[:0]
	if d.wakeAt > 0 { // asked for before, with something due earlier
		d.wake(w, d.wakeAt)
	}
}

// answer gives a request its one answer.
func (d *door) answer(w *World, slot int, a trace.Answer, retryAfter float64, why gate.Cause) {
	o := &d.ops[slot]
	if o.try == nil || o.over { // it is over: what a decider says of it no longer matters
		return
	}
	t := o.try
	w.tell(trace.Event{Kind: trace.Answered, Try: t.ID, Door: d.id, Answer: a, Cause: why})
	t.answered, o.over = true, true
	t.answer, t.retryAfter = a, retryAfter
	d.closing = append(d.closing, slot)
	w.at(w.now+w.clientWay(), due{kind: dueGot, t: t})
}

// send starts an attempt, over a free connection where there is one.
func (d *door) send(w *World, a gate.Send) {
	o := &d.ops[a.Op]
	if o.try == nil {
		w.tell(trace.Event{Kind: trace.Sent, Try: -1, Door: d.id, Backend: d.names.ID(a.Backend)})
		return
	}
	t := o.try
	b := w.backends[d.names.ID(a.Backend)]
	j := &Job{Try: t, Number: len(o.jobs), Backend: b.id, at: w.now, by: a.StartBy, life: b.life, caller: d}
	w.tell(trace.Event{Kind: trace.Sent, Try: t.ID, Door: d.id, Attempt: j.Number, Backend: b.id, Zone: b.zone, Cell: b.cell, Crosses: b.zone != d.zone})
	if j.Number == 0 {
		w.meter.add(w, t.want.customer, t.want.units)
	}
	o.jobs = append(o.jobs, j)
	o.out++
	b.owed++
	until := t.until
	if a.Timeout > 0 {
		until = min(until, w.now+a.Timeout)
	}
	w.at(max(w.now, until), due{kind: dueExpire, j: j})
	if idle := &d.idle[b.id]; idle.n > 0 && idle.life == b.life {
		idle.n--
		w.at(w.now+w.way(d.zone, b.zone), due{kind: dueCome, j: j})
		return
	}
	w.dial(j)
}

func (d *door) probe(w *World, a gate.Probe) {
	b := w.backends[d.names.ID(a.Backend)]
	w.tell(trace.Event{Kind: trace.Probed, Door: d.id, Backend: b.id})
	p := probe{at: w.now, life: d.life, result: gate.Finished}
	took := w.way(d.zone, b.zone) + w.way(b.zone, d.zone) + w.s.Allow.ProbeMs
	switch _, hangs := b.hurting("hang", -1); {
	case b.silent() || w.cut(d.zone, b.zone) || hangs || b.paused:
		p.result, took = gate.TimedOut, w.s.Net.ConnectTimeoutMs
	case !b.up:
		p.result = gate.Unreachable
	}
	w.at(w.now+took, due{kind: dueProbe, n: b.id, m: d.id, p: p})
}

func (d *door) probed(w *World, backend int, p probe) {
	if i, known := d.names.Find(backend); known && d.up && d.life == p.life {
		d.inbox = append(d.inbox, gate.Probed{Backend: i, Result: p.result, Latency: w.now - p.at})
		d.wake(w, w.now)
	}
}
