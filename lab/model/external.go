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
// and must not block; results come back through Simulation.Post.
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
func backendEntries(sim *Simulation, n listUpdate) []BackendEntry {
	var out []BackendEntry
	for _, l := range n.entries {
		b := sim.backends[l.backend]
		out = append(out, BackendEntry{l.backend, b.zone, b.cell, l.status, l.startedAt})
	}
	return out
}

// notifyProcess notifies external doors that a backend's process has started or ended.
func (sim *Simulation) notifyProcess(b *backend) {
	for _, d := range sim.doors {
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
func (sim *Simulation) WireRequest(t *Try) WireRequest {
	k, p := &sim.clients.customers[t.request.customer], &sim.s.Classes[t.Class]
	return WireRequest{t.ID, t.request.id, p.Name, sim.s.Plans[k.plan].Name, p.Semantics == "replayable", t.request.customer,
		t.request.units, k.firstDoor, k.spread, t.deadline - t.madeAt, t.madeAt, t.retry && sim.s.Clients.Marks}
}

// NewExternal returns the initial state of a run whose doors are external. The network between doors and backends is then the
// machine's own; the scenario's delays are added on the backends' side.
func NewExternal(s *scenario.Scenario, seed uint64, doors []ExternalDoor, sink trace.Sink) *Simulation {
	sim := New(s, seed, Maker{}, sink)
	sim.posted = make(chan func(), 1024)
	for i, d := range sim.doors {
		d.external = doors[i]
	}
	return sim
}

// WithSocketSlack widens the limits that are checked for runs on sockets, by the amounts that the platform's documentation allows.
func WithSocketSlack(d *judge.Params) *judge.Params {
	const answerSlack, ceilingSlack = 50, 150 // ms
	d.Slack, d.CeilingSlackMs = answerSlack, ceilingSlack
	return d
}

// Post runs a function on the goroutine of RunRealTime. It gives up when ctx ends.
func (sim *Simulation) Post(ctx context.Context, do func()) {
	select {
	case sim.posted <- do:
	case <-ctx.Done():
	}
}

const startTimeout = 30 * time.Second // within which all doors must be ready, as on the platform

// RunRealTime runs the scenario in real time, once ready reports that all doors are ready. It returns the greatest delay with
// which it handled an event, ms; if that is large, the run says little about the doors.
func (sim *Simulation) RunRealTime(ctx context.Context, ready func() (bool, error), progress func(done float64)) (behind float64, err error) {
	sim.begin()
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
		case do := <-sim.posted:
			do()
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return 0, &WaitError{ctx.Err()}
		}
	}
	began := time.Now()
	clock := func() float64 { return float64(time.Since(began)) / 1e6 }
	end := sim.s.Day.Seconds * 1000
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := clock()
		for len(sim.queue.heap) > 0 && sim.queue.heap[0].at <= now {
			e := sim.queue.pop()
			behind = max(behind, now-e.at)
			sim.now = max(sim.now, e.at)
			// While the run is behind, events past the end are handled together with those before it.
			sim.loadEnded = sim.loadEnded || e.at >= end
			sim.dispatch(&e)
			now = clock()
		}
		if sim.loadEnded = sim.now >= end; sim.loadEnded && (sim.openRequests == 0 || sim.now > end+maxTailTime) {
			break
		}
		if progress != nil {
			progress(min(1, now/end))
		}
		if len(sim.queue.heap) > 0 {
			// Rounded down, the timer would fire before the event is due.
			timer.Reset(time.Duration(math.Ceil((sim.queue.heap[0].at - now) * 1e6)))
		}
		select {
		case do := <-sim.posted:
			sim.now = max(sim.now, clock())
			do()
		case <-timer.C:
		case <-ctx.Done():
			return behind, &StoppedError{sim.now / 1000, ctx.Err()}
		}
	}
	sim.emit(trace.Event{Kind: trace.Ended})
	return behind, nil
}

// Now returns the clock of the run, ms.
func (sim *Simulation) Now() float64 { return sim.now }

// TryAccepted reports that the last byte of a try was written to an accepted connection of its door.
func (sim *Simulation) TryAccepted(t *Try) {
	if d := sim.doors[t.Door]; d.up && d.incarnation == t.incarnation && !t.over && !t.accepted {
		sim.markAccepted(d, t)
	}
}

// TryNotRead reports that the door closed the connection before it read the try.
func (sim *Simulation) TryNotRead(t *Try) {
	if t.accepted && !t.answered {
		t.accepted = false
		sim.emit(trace.Event{Kind: trace.ClientLeft, Try: t.ID, Door: t.Door})
	}
}

// TryAnswered reports that the client has received a complete final answer.
func (sim *Simulation) TryAnswered(t *Try, a trace.Answer, retryAfter float64) {
	if t.accepted && !t.answered {
		sim.emit(trace.Event{Kind: trace.Answered, Try: t.ID, Door: t.Door, Answer: a})
	}
	t.answered, t.answer, t.retryAfter = true, a, retryAfter
	sim.clients.receiveAnswer(sim, t)
}

// TryNotAccepted reports that the door did not accept the connection of a try.
func (sim *Simulation) TryNotAccepted(t *Try) { sim.clients.unreachable(sim, t) }

// TryConnectionLost reports that the connection of a try ended without a complete answer. This is an error of the door unless it
// was killed.
func (sim *Simulation) TryConnectionLost(t *Try) {
	if t.over {
		return
	}
	if d := sim.doors[t.Door]; t.accepted && d.up && d.incarnation == t.incarnation && !t.answered {
		sim.emit(trace.Event{Kind: trace.Dropped, Try: t.ID, Door: t.Door})
	}
	sim.clients.connectionLost(sim, t)
}

// externalCaller passes the result of an attempt on to an external door.
type externalCaller struct {
	door  int
	reply func(r gate.Result, use float64)
}

// Ended implements Caller.
func (o externalCaller) Ended(sim *Simulation, j *Job, r gate.Result) {
	if j.closed {
		return
	}
	j.closed = true
	sim.backends[j.Backend].pending--
	sim.emit(trace.Event{Kind: trace.Closed, Try: j.Try.ID, Door: o.door, Attempt: j.Number, Backend: j.Backend, Result: r})
	plan := sim.clients.customers[j.Try.request.customer].plan
	o.reply(r, sim.meter.use(sim, j.Try.request.customer, sim.s.Plans[plan].PerS/1000))
}

// AttemptArrived reports that the request of an attempt arrived in full at a backend. reply is called once, unless the backend
// stays silent.
func (sim *Simulation) AttemptArrived(door, backend int, t *Try, number int, newConn bool, reply func(r gate.Result, use float64)) *Job {
	b := sim.backends[backend]
	if !t.accepted { // TryAccepted is posted by another goroutine and may come later
		sim.TryAccepted(t)
	}
	j := &Job{Try: t, Number: number, Backend: backend, sentAt: sim.now, incarnation: b.incarnation, newConn: newConn,
		caller: externalCaller{door, reply}}
	sim.emit(trace.Event{Kind: trace.Sent, Try: t.ID, Door: door, Attempt: number, Backend: backend, Zone: b.zone, Cell: b.cell,
		Crosses: b.zone != sim.doors[door].zone})
	if number == 0 {
		sim.meter.add(sim, t.request.customer, t.request.units)
	}
	b.pending++
	sim.schedule(sim.now+sim.networkDelay(sim.doors[door].zone, b.zone), event{kind: eventBackendArrival, job: j})
	return j
}

// AttemptAbandoned reports that the door closed the connection of an attempt before its answer.
func (sim *Simulation) AttemptAbandoned(j *Job) {
	if j.closed {
		return
	}
	j.closed = true
	b := sim.backends[j.Backend]
	b.pending--
	sim.emit(trace.Event{Kind: trace.Closed, Try: j.Try.ID, Door: j.Try.Door, Attempt: j.Number, Backend: b.id, Result: gate.Cancelled})
	b.cancel(sim, j)
}

// Connected reports a new connection to a backend. It returns whether the backend accepts it.
func (sim *Simulation) Connected(door, backend int) bool {
	b := sim.backends[backend]
	limit := b.maxConns
	if magnitude, active := b.faultMagnitude("few_conns", -1); active {
		limit = int(magnitude)
	}
	_, refuses := b.faultMagnitude("refuse", -1)
	if !b.up || refuses || b.openConns >= limit {
		return false
	}
	b.openConns++
	sim.emit(trace.Event{Kind: trace.Connected, Door: door, Backend: backend})
	return true
}

// Disconnected reports the end of a connection to an incarnation of a backend.
func (sim *Simulation) Disconnected(backend, incarnation int) {
	if b := sim.backends[backend]; b.incarnation == incarnation && b.openConns > 0 {
		b.openConns--
	}
}

// BackendIncarnation returns the number of a backend's present process.
func (sim *Simulation) BackendIncarnation(backend int) int { return sim.backends[backend].incarnation }

// ExternalCounterCall makes a call of an external door to the counter. reply is called once, unless the call or its reply is
// lost.
func (sim *Simulation) ExternalCounterCall(door int, id string, add, ttl float64, reply func(r gate.Result, total float64)) {
	sim.emit(trace.Event{Kind: trace.CounterCalled, Door: door})
	if _, down := sim.faultMagnitude("counter_down"); down || sim.partitioned(sim.doors[door].zone, 0) {
		return
	}
	k := &counterCall{door: door, key: counterKey{customer: int(xxhash.Sum64String(id) >> 1)}, add: add, ttl: ttl, sentAt: sim.now,
		reply: reply}
	sim.schedule(sim.now+sim.networkDelay(sim.doors[door].zone, 0), event{kind: eventCounterCall, payload: k})
}
