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

// ExternalDoor carries a door that is no part of the world: a real one, on sockets. The world calls it from its own goroutine,
// and must not be kept waiting; what comes back is posted.
type ExternalDoor interface {
	Start(known []BackendEntry)                    // a life begins; the list is what the door last had
	Kill()                                         // it ends at once
	Stop()                                         // it is asked to leave
	Submit(t *Try)                                 // a client sends a request
	ClientLeft(t *Try)                             // its client has closed the connection
	ListChanged(whole bool, change []BackendEntry) // discovery tells
	BackendProcess(backend int, up bool)           // a backend's process has ended, or begun
}

// BackendEntry is a backend as discovery has it.
type BackendEntry struct {
	Backend, Zone, Cell int
	Status              gate.Status
	StartedAt           float64 // ms of the day; negative is long ago
}

func backendEntries(w *World, n listUpdate) []BackendEntry {
	var out []BackendEntry
	for _, l := range n.entries {
		b := w.backends[l.backend]
		out = append(out, BackendEntry{l.backend, b.zone, b.cell, l.status, l.startedAt})
	}
	return out
}

// notifyProcess tells doors outside that a backend's notifyProcess has ended or begun.
func (w *World) notifyProcess(b *backend) {
	for _, d := range w.doors {
		if d.external != nil {
			d.external.BackendProcess(b.id, b.up)
		}
	}
}

// WireRequest is a try as clients word it on the wire.
type WireRequest struct {
	ID, RequestID     int
	Class, Plan       string
	Idempotent        bool
	Customer          int
	Units             float64
	FirstDoor, Spread int
	TTL               float64 // ms from its making
	MadeAt            float64 // ms of the day
	Retry             bool
}

// WireRequest gives a try's wording.
func (w *World) WireRequest(t *Try) WireRequest {
	k, p := &w.clients.customers[t.request.customer], &w.s.Classes[t.Class]
	return WireRequest{t.ID, t.request.id, p.Name, w.s.Plans[k.plan].Name, p.Semantics == "replayable", t.request.customer, t.request.units, k.firstDoor,
		k.spread, t.deadline - t.madeAt, t.madeAt, t.retry && w.s.Clients.Marks}
}

// NewExternal builds the world of a day whose doors are outside. On sockets the network is the machine's own, with the
// scenario's delays on the backends' side.
func NewExternal(s *scenario.Scenario, seed uint64, doors []ExternalDoor, sink trace.Sink) *World {
	w := New(s, seed, Maker{}, sink)
	w.posted = make(chan func(), 1024)
	for i, d := range w.doors {
		d.external = doors[i]
	}
	return w
}

// WithSocketSlack widens a judge's limits as the platform's pages do for sockets.
func WithSocketSlack(d *judge.Deal) *judge.Deal {
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

const startTimeout = 30 * time.Second // that doors may take to start, as on the platform

// RunRealTime plays the day by the clock. It returns how late the world itself was at the worst, ms; a day on which that is
// much says little about the doors.
func (w *World) RunRealTime(ctx context.Context, ready func() (bool, error), progress func(done float64)) (behind float64, err error) {
	w.begin()
	for patience := time.After(startTimeout); ; {
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
		for len(w.queue.heap) > 0 && w.queue.heap[0].at <= now {
			d := w.queue.pop()
			behind = max(behind, now-d.at)
			w.now = max(w.now, d.at)
			w.loadEnded = w.loadEnded || d.at >= end // while it runs late, what fell due past the end is popped with the day's own
			w.dispatch(&d)
			now = clock()
		}
		if w.loadEnded = w.now >= end; w.loadEnded && (w.openRequests == 0 || w.now > end+drainTime) {
			break
		}
		if progress != nil {
			progress(min(1, now/end))
		}
		if len(w.queue.heap) > 0 {
			timer.Reset(time.Duration(math.Ceil((w.queue.heap[0].at - now) * 1e6))) // cut down, it would fire before what is due
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
	w.emit(trace.Event{Kind: trace.Over})
	return behind, nil
}

// Now is the day's clock, ms.
func (w *World) Now() float64 { return w.now }

// TryTaken says that a try's last byte has been written to a connection that its door's machine accepted.
func (w *World) TryTaken(t *Try) {
	if d := w.doors[t.Door]; d.up && d.incarnation == t.incarnation && !t.over && !t.taken {
		w.markTaken(d, t)
	}
}

// TryNotRead is a try that its door never read: it had closed the connection before.
func (w *World) TryNotRead(t *Try) {
	if t.taken && !t.answered {
		t.taken = false
		w.emit(trace.Event{Kind: trace.Left, Try: t.ID, Door: t.Door})
	}
}

// TryAnswered is a whole final answer at the client.
func (w *World) TryAnswered(t *Try, a trace.Answer, retryAfter float64) {
	if t.taken && !t.answered {
		w.emit(trace.Event{Kind: trace.Answered, Try: t.ID, Door: t.Door, Answer: a})
	}
	t.answered, t.answer, t.retryAfter = true, a, retryAfter
	w.clients.receiveAnswer(w, t)
}

// TryNotAccepted is a try that no door accepted.
func (w *World) TryNotAccepted(t *Try) { w.clients.unreachable(w, t) }

// TryConnectionLost is a try whose connection ended without a whole answer. A door that was killed owes nothing.
func (w *World) TryConnectionLost(t *Try) {
	if t.over {
		return
	}
	if d := w.doors[t.Door]; t.taken && d.up && d.incarnation == t.incarnation && !t.answered {
		w.emit(trace.Event{Kind: trace.Dropped, Try: t.ID, Door: t.Door})
	}
	w.clients.connectionLost(w, t)
}

// externalCaller answers an attempt that came from outside.
type externalCaller struct {
	door  int
	reply func(r gate.Result, use float64)
}

func (o externalCaller) Ended(w *World, j *Job, r gate.Result) {
	if j.closed {
		return
	}
	j.closed = true
	w.backends[j.Backend].pending--
	w.emit(trace.Event{Kind: trace.Closed, Try: j.Try.ID, Door: o.door, Number: j.Number, Backend: j.Backend, Result: r})
	plan := w.clients.customers[j.Try.request.customer].plan
	o.reply(r, w.meter.use(w, j.Try.request.customer, w.s.Plans[plan].PerS/1000))
}

// AttemptArrived is an attempt that has come whole to a backend. reply is called once, unless the backend stays silent.
func (w *World) AttemptArrived(door, backend int, t *Try, number int, connected bool, reply func(r gate.Result, use float64)) *Job {
	b := w.backends[backend]
	if !t.taken { // the news of its being taken comes another way, and may be behind
		w.TryTaken(t)
	}
	j := &Job{Try: t, Number: number, Backend: backend, sentAt: w.now, incarnation: b.incarnation, newConn: connected, caller: externalCaller{door, reply}}
	w.emit(trace.Event{Kind: trace.Sent, Try: t.ID, Door: door, Number: number, Backend: backend, Zone: b.zone, Cell: b.cell,
		Crosses: b.zone != w.doors[door].zone})
	if number == 0 {
		w.meter.add(w, t.request.customer, t.request.units)
	}
	b.pending++
	w.schedule(w.now+w.networkDelay(w.doors[door].zone, b.zone), event{kind: eventBackendArrival, job: j})
	return j
}

// AttemptAbandoned is an attempt whose door has ended the connection before its answer.
func (w *World) AttemptAbandoned(j *Job) {
	if j.closed {
		return
	}
	j.closed = true
	b := w.backends[j.Backend]
	b.pending--
	w.emit(trace.Event{Kind: trace.Closed, Try: j.Try.ID, Door: j.Try.Door, Number: j.Number, Backend: b.id, Result: gate.Cancelled})
	b.cancel(w, j)
}

// Connected counts a new connection to a backend, and tells whether it takes it.
func (w *World) Connected(door, backend int) bool {
	b := w.backends[backend]
	most := b.maxConns
	if much, is := b.faultMagnitude("few_conns", -1); is {
		most = int(much)
	}
	_, refuses := b.faultMagnitude("refuse", -1)
	if !b.up || refuses || b.openConns >= most {
		return false
	}
	b.openConns++
	w.emit(trace.Event{Kind: trace.Connected, Door: door, Backend: backend})
	return true
}

// Disconnected is its end.
func (w *World) Disconnected(backend, life int) {
	if b := w.backends[backend]; b.incarnation == life && b.openConns > 0 {
		b.openConns--
	}
}

// BackendIncarnation is the number of a backend's present process.
func (w *World) BackendIncarnation(backend int) int { return w.backends[backend].incarnation }

// ExternalCounterCall is a call of the counter from outside; reply is called once, unless the call or its answer is lost.
func (w *World) ExternalCounterCall(door int, id string, add, keep float64, reply func(r gate.Result, total float64)) {
	w.emit(trace.Event{Kind: trace.Counted, Door: door})
	if _, down := w.faultMagnitude("counter_down"); down || w.partitioned(w.doors[door].zone, 0) {
		return
	}
	k := &counterCall{door: door, key: counterKey{customer: int(xxhash.Sum64String(id) >> 1)}, add: add, ttl: keep, sentAt: w.now, reply: reply}
	w.schedule(w.now+w.networkDelay(w.doors[door].zone, 0), event{kind: eventCounterCall, payload: k})
}
