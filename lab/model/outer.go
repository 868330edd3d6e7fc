package model

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// Outer carries a door that is no part of the world: a real one, on sockets. The world calls it from its own goroutine,
// and must not be kept waiting; what comes back is posted.
type Outer interface {
	Start(known []Line)             // a life begins; the list is what the door last had
	Kill()                          // it ends at once
	Stop()                          // it is asked to leave
	Submit(t *Try)                  // a client sends a request
	Leave(t *Try)                   // its client has closed the connection
	List(whole bool, change []Line) // discovery tells
	Process(backend int, up bool)   // a backend's process has ended, or begun
}

// Line is a backend as discovery has it.
type Line struct {
	Backend, Zone, Cell int
	Status              gate.Status
	Since               float64 // ms of the day; negative is long ago
}

func lines(w *World, n news) []Line {
	var out []Line
	for _, l := range n.entries {
		b := w.backends[l.backend]
		out = append(out, Line{l.backend, b.zone, b.cell, l.status, l.since})
	}
	return out
}

// process tells doors outside that a backend's process has ended or begun.
func (w *World) process(b *backend) {
	for _, d := range w.doors {
		if d.outer != nil {
			d.outer.Process(b.id, b.up)
		}
	}
}

// Wording is a try as clients word it on the wire.
type Wording struct {
	ID, Want      int
	Class, Plan   string
	Idempotent    bool
	Customer      int
	Units         float64
	First, Spread int
	TTL           float64 // ms from its making
	Made          float64 // ms of the day
	Repeat        bool
}

// Word gives a try's wording.
func (w *World) Word(t *Try) Wording {
	k, p := &w.clients.customers[t.want.customer], &w.s.Classes[t.Class]
	return Wording{t.ID, t.want.id, p.Name, w.s.Plans[k.plan].Name, p.Semantics == "replayable", t.want.customer, t.want.units, k.first,
		k.spread, t.until - t.at, t.at, t.retry && w.s.Clients.Marks}
}

// NewOuter builds the world of a day whose doors are outside. On sockets the network is the machine's own, with the
// scenario's delays on the backends' side.
func NewOuter(s *scenario.Scenario, seed uint64, doors []Outer, sink trace.Sink) *World {
	w := New(s, seed, Maker{}, sink)
	w.posted = make(chan func(), 1024)
	for i, d := range w.doors {
		d.outer = doors[i]
	}
	return w
}

// Slack widens a judge's limits as the platform's pages do for sockets.
func Slack(d *judge.Params) *judge.Params {
	const onSockets, ceiling = 50, 150 // ms
	d.Slack, d.CeilingSlackMs = onSockets, ceiling
	return d
}

// Post has the world do something in its own time; it gives up with ctx.
func (w *World) Post(ctx context.Context, do func()) {
	select {
	case w.posted <- do:
	case <-ctx.Done():
	}
}

const startMost = 30 * time.Second // that doors may take to start, as on the platform

// RunReal plays the day by the clock. It returns how late the world itself was at the worst, ms; a day on which that is
// much says little about the doors.
func (w *World) RunReal(ctx context.Context, ready func() (bool, error), progress func(done float64)) (behind float64, err error) {
	w.begin()
	for patience := time.After(startMost); ; {
		is, err := ready()
		if err != nil {
			return 0, &WaitError{err}
		}
		if is {
			break
		}
		select {
		case <-patience:
			return 0, &WaitError{}
		case do := <-w.posted:
			do()
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return 0, &WaitError{ctx.Err()}
		}
	}
	began := time.Now()
	clock := func() float64 { return float64(time.Since(began)) / 1e6 }
	end := w.s.Day.Seconds * 1000
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := clock()
		for len(w.q.heap) > 0 && w.q.heap[0].at <= now {
			d := w.q.pop()
			behind = max(behind, now-d.at)
			w.now = max(w.now, d.at)
			w.closing = w.closing || d.at >= end // while it runs late, what fell due past the end is popped with the day's own
			w.step(&d)
			now = clock()
		}
		if w.closing = w.now >= end; w.closing && (w.waiting == 0 || w.now > end+tail) {
			break
		}
		if progress != nil {
			progress(min(1, now/end))
		}
		if len(w.q.heap) > 0 {
			timer.Reset(time.Duration(math.Ceil((w.q.heap[0].at - now) * 1e6))) // cut down, it would fire before what is due
		}
		select {
		case do := <-w.posted:
			w.now = max(w.now, clock())
			do()
		case <-timer.C:
		case <-ctx.Done():
			return behind, &StoppedError{w.now / 1000, ctx.Err()}
		}
	}
	w.tell(trace.Event{Kind: trace.Ended})
	return behind, nil
}

// Now is the day's clock, ms.
func (w *World) Now() float64 { return w.now }

// Taken says that a try's last byte has been written to a connection that its door's machine accepted.
func (w *World) Taken(t *Try) {
	if d := w.doors[t.Door]; d.up && d.life == t.life && !t.over && !t.taken {
		w.taken(d, t)
	}
}

// Crossed is a try that its door never read: it had closed the connection before.
func (w *World) Crossed(t *Try) {
	if t.taken && !t.answered {
		t.taken = false
		w.tell(trace.Event{Kind: trace.ClientLeft, Try: t.ID, Door: t.Door})
	}
}

// Answered is a whole final answer at the client.
func (w *World) Answered(t *Try, a trace.Answer, retryAfter float64) {
	if t.taken && !t.answered {
		w.tell(trace.Event{Kind: trace.Answered, Try: t.ID, Door: t.Door, Answer: a})
	}
	t.answered, t.answer, t.retryAfter = true, a, retryAfter
	w.clients.got(w, t)
}

// NotReached is a try that no door accepted.
func (w *World) NotReached(t *Try) { w.clients.unreachable(w, t) }

// Broken is a try whose connection ended without a whole answer. A door that was killed owes nothing.
func (w *World) Broken(t *Try) {
	if t.over {
		return
	}
	if d := w.doors[t.Door]; t.taken && d.up && d.life == t.life && !t.answered {
		w.tell(trace.Event{Kind: trace.Dropped, Try: t.ID, Door: t.Door})
	}
	w.clients.broken(w, t)
}

// outCaller answers an attempt that came from outside.
type outCaller struct {
	door  int
	reply func(r gate.Result, use float64)
}

func (o outCaller) Ended(w *World, j *Job, r gate.Result) {
	if j.handed {
		return
	}
	j.handed = true
	w.backends[j.Backend].owed--
	w.tell(trace.Event{Kind: trace.Closed, Try: j.Try.ID, Door: o.door, Attempt: j.Number, Backend: j.Backend, Result: r})
	plan := w.clients.customers[j.Try.want.customer].plan
	o.reply(r, w.meter.use(w, j.Try.want.customer, w.s.Plans[plan].PerS/1000))
}

// Arrive is an attempt that has come whole to a backend. reply is called once, unless the backend stays silent.
func (w *World) Arrive(door, backend int, t *Try, number int, connected bool, reply func(r gate.Result, use float64)) *Job {
	b := w.backends[backend]
	if !t.taken { // the news of its being taken comes another way, and may be behind
		w.Taken(t)
	}
	j := &Job{Try: t, Number: number, Backend: backend, at: w.now, life: b.life, opened: connected, caller: outCaller{door, reply}}
	w.tell(trace.Event{Kind: trace.Sent, Try: t.ID, Door: door, Attempt: number, Backend: backend, Zone: b.zone, Cell: b.cell,
		Crosses: b.zone != w.doors[door].zone})
	if number == 0 {
		w.meter.add(w, t.want.customer, t.want.units)
	}
	b.owed++
	w.at(w.now+w.way(w.doors[door].zone, b.zone), due{kind: dueCome, j: j})
	return j
}

// Abandon is an attempt whose door has ended the connection before its answer.
func (w *World) Abandon(j *Job) {
	if j.handed {
		return
	}
	j.handed = true
	b := w.backends[j.Backend]
	b.owed--
	w.tell(trace.Event{Kind: trace.Closed, Try: j.Try.ID, Door: j.Try.Door, Attempt: j.Number, Backend: b.id, Result: gate.Cancelled})
	b.drop(w, j)
}

// Connected counts a new connection to a backend, and tells whether it takes it.
func (w *World) Connected(door, backend int) bool {
	b := w.backends[backend]
	most := b.conns
	if much, is := b.hurting("few_conns", -1); is {
		most = int(much)
	}
	_, refuses := b.hurting("refuse", -1)
	if !b.up || refuses || b.open >= most {
		return false
	}
	b.open++
	w.tell(trace.Event{Kind: trace.Connected, Door: door, Backend: backend})
	return true
}

// Disconnected is its end.
func (w *World) Disconnected(backend, life int) {
	if b := w.backends[backend]; b.life == life && b.open > 0 {
		b.open--
	}
}

// Life is the number of a backend's present process.
func (w *World) Life(backend int) int { return w.backends[backend].life }

// OutCall is a call of the counter from outside; reply is called once, unless the call or its answer is lost.
func (w *World) OutCall(door int, id string, add, keep float64, reply func(r gate.Result, total float64)) {
	w.tell(trace.Event{Kind: trace.CounterCalled, Door: door})
	if _, down := w.hurting("counter_down"); down || w.cut(w.doors[door].zone, 0) {
		return
	}
	k := &call{door: door, name: name{customer: int(xxhash.Sum64String(id) >> 1)}, add: add, keep: keep, at: w.now, reply: reply}
	w.at(w.now+w.way(w.doors[door].zone, 0), due{kind: dueCount, p: k})
}
