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

// ExternalDoor is a door outside the simulation: a real one, on sockets. Its methods are called on the goroutine of RunRealTime
// and must not block; results come back through World.Post.
type ExternalDoor interface {
	Start(known []BackendEntry)                    // starts an incarnation with the fleet list that the door last received
	Kill()                                         // ends the incarnation at once
	Stop()                                         // requests a graceful shutdown
	Submit(t *Try)                                 // sends the try of a client
	ClientLeft(t *Try)                             // closes the connection of a try whose client left
	ListChanged(whole bool, change []BackendEntry) // passes on an update of discovery
	BackendProcess(backend int, up bool)           // notifies that a backend's process has started or ended
}

// BackendEntry is the entry of one backend on the fleet list.
type BackendEntry struct {
	Backend, Zone, Cell int
	Status              gate.Status
	StartedAt           float64 // clock of the run, ms; negative means long ago
}

// backendEntries returns an update's entries for an external door.
func backendEntries(w *World, n listUpdate) []BackendEntry {
	var out []BackendEntry
	for _, l := range n.entries {
		b := w.backends[l.backend]
		out = append(out, BackendEntry{l.backend, b.zone, b.cell, l.status, l.startedAt})
	}
	return out
}

// notifyProcess notifies external doors that a backend's process has started or ended.
func (w *World) notifyProcess(b *backend) {
	for _, d := range w.doors {
		if d.external != nil {
			d.external.BackendProcess(b.id, b.up)
		}
	}
}

// WireRequest holds what a client sends for a try.
type WireRequest struct {
	ID, RequestID     int
	Class, Plan       string
	Idempotent        bool
	Customer          int
	Units             float64
	FirstDoor, Spread int
	TTL               float64 // ms from MadeAt
	MadeAt            float64 // clock of the run, ms
	Retry             bool
}

// WireRequest returns what the client sends for a try.
func (w *World) WireRequest(t *Try) WireRequest {
	k, p := &w.clients.customers[t.request.customer], &w.s.Classes[t.Class]
	return WireRequest{t.ID, t.request.id, p.Name, w.s.Plans[k.plan].Name, p.Semantics == "replayable", t.request.customer,
		t.request.units, k.firstDoor, k.spread, t.deadline - t.madeAt, t.madeAt, t.retry && w.s.Clients.Marks}
}

// NewExternal returns the initial state of a run whose doors are external. The network between doors and backends is then the
// machine's own; the scenario's delays are added on the backends' side.
func NewExternal(s *scenario.Scenario, seed uint64, doors []ExternalDoor, sink trace.Sink) *World {
	w := New(s, seed, Maker{}, sink)
	w.posted = make(chan func(), 1024)
	for i, d := range w.doors {
		d.external = doors[i]
	}
	return w
}

// WithSocketSlack widens the limits that the judge checks for runs on sockets, by the amounts that the platform's documentation allows.
func WithSocketSlack(d *judge.Deal) *judge.Deal {
	const answerSlack, ceilingSlack = 50, 150 // ms
	d.Slack, d.CeilingSlackMs = answerSlack, ceilingSlack
	return d
}

// Post runs a function on the goroutine of RunRealTime. It gives up when ctx ends.
func (w *World) Post(ctx context.Context, do func()) {
	select {
	case w.posted <- do:
	case <-ctx.Done():
	}
}

const startTimeout = 30 * time.Second // within which all doors must be ready, as on the platform

// RunRealTime runs the scenario in real time, once ready reports that all doors are ready. It returns the greatest delay with
// which it handled an event, ms; if that is large, the run says little about the doors.
func (w *World) RunRealTime(ctx context.Context, ready func() (bool, error), progress func(done float64)) (behind float64, err error) {
	w.begin()
	for timeout := time.After(startTimeout); ; {
		ok, err := ready()
		if err != nil {
			return 0, &WaitError{err}
		}
		if ok {
			break
		}
		select {
		case <-timeout:
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
			e := w.queue.pop()
			behind = max(behind, now-e.at)
			w.now = max(w.now, e.at)
			// While the run is behind, events past the end are handled together with those before it.
			w.loadEnded = w.loadEnded || e.at >= end
			w.dispatch(&e)
			now = clock()
		}
		if w.loadEnded = w.now >= end; w.loadEnded && (w.openRequests == 0 || w.now > end+drainTime) {
			break
		}
		if progress != nil {
			progress(min(1, now/end))
		}
		if len(w.queue.heap) > 0 {
			// Rounded down, the timer would fire before the event is due.
			timer.Reset(time.Duration(math.Ceil((w.queue.heap[0].at - now) * 1e6)))
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

// Now returns the clock of the run, ms.
func (w *World) Now() float64 { return w.now }

// TryTaken reports that the last byte of a try was written to an accepted connection of its door.
func (w *World) TryTaken(t *Try) {
	if d := w.doors[t.Door]; d.up && d.incarnation == t.incarnation && !t.over && !t.taken {
		w.markTaken(d, t)
	}
}

// TryNotRead reports that the door closed the connection before it read the try.
func (w *World) TryNotRead(t *Try) {
	if t.taken && !t.answered {
		t.taken = false
		w.emit(trace.Event{Kind: trace.Left, Try: t.ID, Door: t.Door})
	}
}

// TryAnswered reports that the client has received a complete final answer.
func (w *World) TryAnswered(t *Try, a trace.Answer, retryAfter float64) {
	if t.taken && !t.answered {
		w.emit(trace.Event{Kind: trace.Answered, Try: t.ID, Door: t.Door, Answer: a})
	}
	t.answered, t.answer, t.retryAfter = true, a, retryAfter
	w.clients.receiveAnswer(w, t)
}

// TryNotAccepted reports that the door did not accept the connection of a try.
func (w *World) TryNotAccepted(t *Try) { w.clients.unreachable(w, t) }

// TryConnectionLost reports that the connection of a try ended without a complete answer. This is an error of the door unless it
// was killed.
func (w *World) TryConnectionLost(t *Try) {
	if t.over {
		return
	}
	if d := w.doors[t.Door]; t.taken && d.up && d.incarnation == t.incarnation && !t.answered {
		w.emit(trace.Event{Kind: trace.Dropped, Try: t.ID, Door: t.Door})
	}
	w.clients.connectionLost(w, t)
}

// externalCaller passes the result of an attempt on to an external door.
type externalCaller struct {
	door  int
	reply func(r gate.Result, use float64)
}

// Ended implements Caller.
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

// AttemptArrived reports that the request of an attempt arrived in full at a backend. reply is called once, unless the backend
// stays silent.
func (w *World) AttemptArrived(door, backend int, t *Try, number int, newConn bool, reply func(r gate.Result, use float64)) *Job {
	b := w.backends[backend]
	if !t.taken { // TryTaken is posted by another goroutine and may come later
		w.TryTaken(t)
	}
	j := &Job{Try: t, Number: number, Backend: backend, sentAt: w.now, incarnation: b.incarnation, newConn: newConn,
		caller: externalCaller{door, reply}}
	w.emit(trace.Event{Kind: trace.Sent, Try: t.ID, Door: door, Number: number, Backend: backend, Zone: b.zone, Cell: b.cell,
		Crosses: b.zone != w.doors[door].zone})
	if number == 0 {
		w.meter.add(w, t.request.customer, t.request.units)
	}
	b.pending++
	w.schedule(w.now+w.networkDelay(w.doors[door].zone, b.zone), event{kind: eventBackendArrival, job: j})
	return j
}

// AttemptAbandoned reports that the door closed the connection of an attempt before its answer.
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

// Connected reports a new connection to a backend. It returns whether the backend accepts it.
func (w *World) Connected(door, backend int) bool {
	b := w.backends[backend]
	limit := b.maxConns
	if magnitude, active := b.faultMagnitude("few_conns", -1); active {
		limit = int(magnitude)
	}
	_, refuses := b.faultMagnitude("refuse", -1)
	if !b.up || refuses || b.openConns >= limit {
		return false
	}
	b.openConns++
	w.emit(trace.Event{Kind: trace.Connected, Door: door, Backend: backend})
	return true
}

// Disconnected reports the end of a connection to an incarnation of a backend.
func (w *World) Disconnected(backend, incarnation int) {
	if b := w.backends[backend]; b.incarnation == incarnation && b.openConns > 0 {
		b.openConns--
	}
}

// BackendIncarnation returns the number of a backend's present process.
func (w *World) BackendIncarnation(backend int) int { return w.backends[backend].incarnation }

// ExternalCounterCall makes a call of an external door to the counter. reply is called once, unless the call or its reply is
// lost.
func (w *World) ExternalCounterCall(door int, id string, add, ttl float64, reply func(r gate.Result, total float64)) {
	w.emit(trace.Event{Kind: trace.Counted, Door: door})
	if _, down := w.faultMagnitude("counter_down"); down || w.partitioned(w.doors[door].zone, 0) {
		return
	}
	k := &counterCall{door: door, key: counterKey{customer: int(xxhash.Sum64String(id) >> 1)}, add: add, ttl: ttl, sentAt: w.now,
		reply: reply}
	w.schedule(w.now+w.networkDelay(w.doors[door].zone, 0), event{kind: eventCounterCall, payload: k})
}
