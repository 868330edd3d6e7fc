package model

import (
	"fmt"
	"math"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/lab/trace"
)

// door simulates a door: it drives a decider, reporting what happens as events and carrying out its actions.
type door struct {
	id, zone, incarnation int
	up                    bool
	stopping              bool    // shuts down; clients no longer choose it
	crashedAt             float64 // ms
	decideAt              float64 // clock of the next decision, ms; infinite if none is scheduled
	decider               gate.Decider
	inbox                 []gate.Event // events for the next decision that need no translation
	submitted             []*Try       // for the next decision
	ended                 []attemptEnd // for the next decision
	listUpdates           []listUpdate // for the next decision
	events                []gate.Event
	actions               []gate.Action
	timerAt               float64 // clock of the decider's timer, ms; 0 if none is set
	ops                   []op
	freeSlots             []int // unused indices of ops
	slotsToFree           []int // indices of ops to check for completion after the decision
	customers             index.Table[int]
	backendIDs            index.Table[int] // ids of backends by the decider's index
	known                 []knownBackend   // by backend
	idle                  []idleConns      // by backend
	listDelay             float64          // of discovery updates to this door, ms
	lastListAt            float64          // clock at which the latest update sent arrives, ms
	subscribed            bool             // receives fleet list updates
	external              ExternalDoor     // a door outside the simulation; nil if the door drives a decider
}

// op is a request that the door holds, at the index that the decider knows as Op.
type op struct {
	try      *Try
	jobs     []*Job
	inFlight int  // attempts without a result
	answered bool // has its final answer, or the client left
}

// attemptEnd is the end of an attempt, not yet reported to the decider.
type attemptEnd struct {
	job     *Job
	result  gate.Result
	latency float64 // ms
	use     float64 // metered use; negative if not reported
}

// idleConns counts a door's idle connections to one incarnation of a backend.
type idleConns struct {
	n, incarnation int
	lastUsed       float64 // clock at which one was last returned, ms
}

// probeResult is the outcome of a probe in flight.
type probeResult struct {
	sentAt      float64
	incarnation int
	result      gate.Result
}

// customerPhase returns the offset of a customer's counter windows, 0 to 1.
func customerPhase(customer int) float64 { return index.Phase(uint64(customer) + 1) }

// newDoor returns a door that has not started yet.
func newDoor(sim *Simulation, id int) *door {
	d := &door{id: id, zone: id % sim.s.Fleet.Zones, crashedAt: math.Inf(-1), decideAt: math.Inf(1)}
	d.listDelay = sim.s.Discovery.DelayMs.At(sim.rng.net.Float64())
	return d
}

// start begins an incarnation. It knows only the fleet list that the door last received; the first incarnation knows the
// present list.
func (d *door) start(sim *Simulation) {
	if d.up {
		return
	}
	known := listUpdate{complete: true}
	for i, t := range d.known {
		if t.received && t.status != gate.Gone {
			known.entries = append(known.entries, listEntry{i, t.status, t.startedAt})
		}
	}
	if d.incarnation == 0 {
		known = sim.fullList()
	}
	if d.external != nil {
		d.incarnation++
		d.up, d.stopping, d.subscribed = true, false, true
		sim.emit(trace.Event{Kind: trace.DoorStarted, Door: d.id})
		d.recordList(sim, known)
		d.external.Start(backendEntries(sim, known))
		sim.sendListUpdate(d, sim.fullList())
		return
	}
	d.incarnation++
	d.up, d.stopping = true, false
	d.customers, d.backendIDs = index.New[int](), index.New[int]()
	d.ops, d.freeSlots, d.slotsToFree = nil, nil, nil
	d.inbox, d.submitted, d.ended, d.listUpdates = nil, nil, nil, nil
	d.timerAt, d.decideAt = 0, math.Inf(1)
	d.idle = make([]idleConns, len(d.known))
	seed := newRand(sim.seed, streamDoors<<16|uint64(d.id)<<32|uint64(d.incarnation)).Uint64()
	d.decider = sim.maker.New(Terms(sim.s, d.id), seed, doorView{sim, d})
	d.subscribed = !sim.s.Discovery.Ask
	sim.emit(trace.Event{Kind: trace.DoorStarted, Door: d.id})
	d.listUpdates = append(d.listUpdates, known)
	sim.scheduleDoorsUpdate(d)
	if sim.s.Fleet.MembersMs > 0 && d.incarnation > 1 {
		d.inbox = append(d.inbox, sim.doorsUpdate())
	}
	if d.incarnation > 1 && d.subscribed {
		sim.sendListUpdate(d, sim.fullList())
	}
	d.scheduleDecision(sim, sim.now)
}

// crash ends the incarnation and loses all its requests and connections.
func (d *door) crash(sim *Simulation) {
	if !d.up {
		return
	}
	d.up, d.crashedAt = false, sim.now
	sim.emit(trace.Event{Kind: trace.DoorDied, Door: d.id})
	sim.scheduleDoorsUpdate(d)
	if d.external != nil {
		d.external.Kill()
	}
	for i := range d.ops {
		o := &d.ops[i]
		if o.try == nil {
			continue
		}
		for _, j := range o.jobs {
			if !j.closed {
				d.markClosed(sim, j)
				d.closeConn(sim, j)
			}
		}
		sim.clients.connectionLost(sim, o.try)
	}
	for _, t := range d.submitted {
		sim.clients.connectionLost(sim, t)
	}
	for b := range d.idle {
		d.closeIdle(sim, b)
	}
	d.ops = nil
}

// restart shuts the door down gracefully, with maxShutdown ms for it, and starts it again pauseMs later.
func (d *door) restart(sim *Simulation, pauseMs float64) {
	d.stopping = true
	incarnation := d.incarnation
	if d.external != nil {
		d.external.Stop()
	}
	sim.schedule(sim.now+maxShutdown, event{kind: eventFunc, payload: func() {
		if d.incarnation == incarnation {
			d.crash(sim)
		}
	}})
	sim.schedule(sim.now+maxShutdown+pauseMs, event{kind: eventFunc, payload: func() { d.start(sim) }})
}

// seenUp reports whether clients believe that the door serves. They notice a crash only after a while.
func (d *door) seenUp(now, noticeMs float64) bool {
	return d.up && !d.stopping || !d.up && now < d.crashedAt+noticeMs
}

// scheduleDecision makes the door decide at the first tick at or after a clock.
func (d *door) scheduleDecision(sim *Simulation, at float64) {
	if at = sim.nextTick(max(at, sim.now)); at < d.decideAt {
		d.decideAt = at
		sim.schedule(at, event{kind: eventDecide, index: d.id})
	}
}

// submit handles a try that has arrived at the door.
func (d *door) submit(sim *Simulation, t *Try) {
	if !d.up {
		sim.schedule(sim.now+sim.clientDelay(), event{kind: eventFunc, payload: func() { sim.clients.unreachable(sim, t) }})
		return
	}
	if t.over {
		return
	}
	t.incarnation, t.slot = d.incarnation, -1
	if d.external != nil {
		d.external.Submit(t)
		return
	}
	sim.markAccepted(d, t)
	d.submitted = append(d.submitted, t)
	d.scheduleDecision(sim, sim.now)
}

// markAccepted records that the door has accepted a try and must answer it.
func (sim *Simulation) markAccepted(d *door, t *Try) {
	k := &sim.clients.customers[t.request.customer]
	t.accepted = true
	sim.emit(trace.Event{Kind: trace.Accepted, Try: t.ID, Request: t.request.id, Door: d.id, Customer: t.request.customer,
		Plan: k.plan, Class: t.Class, Units: t.request.units, Deadline: t.deadline})
}

// clientLeft handles the departure of a client.
func (d *door) clientLeft(sim *Simulation, t *Try) {
	if !t.accepted || t.incarnation != d.incarnation || !d.up {
		return
	}
	sim.emit(trace.Event{Kind: trace.ClientLeft, Try: t.ID, Door: d.id})
	if t.answered {
		return
	}
	t.answered = true
	if d.external != nil {
		d.external.ClientLeft(t)
		return
	}
	if t.slot < 0 { // not reported to the decider yet
		for i, c := range d.submitted {
			if c == t {
				d.submitted = append(d.submitted[:i:i], d.submitted[i+1:]...)
				return
			}
		}
		return
	}
	d.ops[t.slot].answered = true
	d.slotsToFree = append(d.slotsToFree, t.slot)
	d.inbox = append(d.inbox, gate.ClientGone{Op: t.slot})
	d.scheduleDecision(sim, sim.now)
}

// Ended implements Caller.
func (d *door) Ended(sim *Simulation, j *Job, r gate.Result) {
	if j.closed || !d.up || j.Try.incarnation != d.incarnation {
		return
	}
	d.markClosed(sim, j)
	use := -1.0
	if r == gate.Finished || r == gate.Errored || r == gate.Full {
		use = sim.meter.use(sim, j.Try.request.customer, sim.s.Plans[sim.clients.customers[j.Try.request.customer].plan].PerS/1000)
		idle := &d.idle[j.Backend]
		if b := sim.backends[j.Backend]; idle.incarnation != b.incarnation {
			*idle = idleConns{incarnation: b.incarnation}
		}
		idle.n, idle.lastUsed = idle.n+1, sim.now
	} else if r != gate.Unreachable && r != gate.Skipped {
		d.closeConn(sim, j)
	}
	d.ended = append(d.ended, attemptEnd{j, r, sim.now - j.sentAt, use})
	d.scheduleDecision(sim, sim.now)
}

// markClosed records that the door no longer waits for an attempt.
func (d *door) markClosed(sim *Simulation, j *Job) {
	j.closed = true
	sim.backends[j.Backend].pending--
}

// closeConn closes an attempt's connection, which the backend notices after the network delay.
func (d *door) closeConn(sim *Simulation, j *Job) {
	b := sim.backends[j.Backend]
	if j.incarnation == b.incarnation && b.openConns > 0 {
		b.openConns--
	}
	sim.schedule(sim.now+sim.networkDelay(d.zone, b.zone), event{kind: eventCancel, job: j})
}

// attemptTimedOut ends an attempt whose timeout or deadline has passed.
func (d *door) attemptTimedOut(sim *Simulation, j *Job) {
	if !j.closed && d.up && j.Try.incarnation == d.incarnation {
		d.Ended(sim, j, gate.TimedOut)
	}
}

// closeIdle closes the idle connections to a backend.
func (d *door) closeIdle(sim *Simulation, b int) {
	idle, be := &d.idle[b], sim.backends[b]
	if idle.incarnation == be.incarnation {
		be.openConns = max(0, be.openConns-idle.n)
	}
	idle.n = 0
}

// dropIdle closes connections that have been idle for longer than half of the scenario's idle timeout.
func (d *door) dropIdle(sim *Simulation) {
	for b := range d.idle {
		if d.idle[b].n > 0 && d.idle[b].lastUsed+sim.s.Net.IdleMs/2 < sim.now {
			d.closeIdle(sim, b)
		}
	}
}

// collectEvents gathers the events for the decider. It gives successful answers to clients right away, as they need no decision.
func (d *door) collectEvents(sim *Simulation) {
	d.events = d.events[:0]
	for _, n := range d.listUpdates {
		d.events = append(d.events, d.fleetUpdate(sim, n))
	}
	d.listUpdates = nil
	d.events = append(d.events, d.inbox...)
	clear(d.inbox)
	d.inbox = d.inbox[:0]
	for _, e := range d.ended {
		t := e.job.Try
		o := &d.ops[t.slot]
		o.inFlight--
		d.slotsToFree = append(d.slotsToFree, t.slot)
		if e.result == gate.Finished && !o.answered {
			d.answer(sim, t.slot, trace.Finished, 0, gate.Unspecified)
		}
		sim.emit(trace.Event{Kind: trace.Closed, Try: t.ID, Door: d.id, Attempt: e.job.Number, Backend: e.job.Backend, Result: e.result})
		b, _ := d.backendIDs.Find(e.job.Backend)
		d.events = append(d.events, gate.AttemptEnded{Op: t.slot, Attempt: e.job.Number, Backend: b, Result: e.result, Latency: e.latency,
			Answered: o.answered, MeteredUse: e.use, Queue: -1})
	}
	clear(d.ended)
	d.ended = d.ended[:0]
	for _, t := range d.submitted {
		if len(d.freeSlots) == 0 {
			d.freeSlots = append(d.freeSlots, len(d.ops))
			d.ops = append(d.ops, op{})
		}
		t.slot = d.freeSlots[len(d.freeSlots)-1]
		d.freeSlots = d.freeSlots[:len(d.freeSlots)-1]
		o := &d.ops[t.slot]
		*o = op{try: t, jobs: o.jobs[:0]}
		d.events = append(d.events, t.gateRequest(sim, t.slot, d.customers.Add(t.request.customer)))
	}
	clear(d.submitted)
	d.submitted = d.submitted[:0]
	if d.timerAt > 0 && sim.now >= d.timerAt {
		d.timerAt = 0
		d.events = append(d.events, gate.TimerFired{})
	}
}

// decide calls the decider. It uses only state of this door, so doors may decide concurrently.
func (d *door) decide(now float64) { d.actions = d.decider.Decide(now+epoch, d.events) }

// carryOut carries out the actions of the last decision.
func (d *door) carryOut(sim *Simulation) {
	for _, a := range d.actions {
		switch a := a.(type) {
		case gate.Send:
			d.send(sim, a)
		case gate.Cancel:
			if j := d.ops[a.Op].jobs[a.Attempt]; !j.closed {
				d.Ended(sim, j, gate.Cancelled)
			}
		case gate.Reject:
			d.answer(sim, a.Op, trace.Rejected, a.RetryAfter, a.Why)
		case gate.Fail:
			d.answer(sim, a.Op, trace.Failed, 0, a.Why)
		case gate.SetTimer:
			d.timerAt = max(a.At-epoch, sim.now+sim.s.Day.TickMs) // at least one tick
			d.scheduleDecision(sim, d.timerAt)
		case gate.Count:
			sim.sendCounterCall(d, a)
		case gate.Probe:
			d.probe(sim, a)
		case gate.SubscribeFleet:
			if !d.subscribed {
				d.subscribed = true
				sim.sendListUpdate(d, sim.fullList())
			}
		case gate.FreeCustomer:
			d.customers.Drop(a.Customer)
		case gate.FreeBackend:
			d.backendIDs.Drop(a.Backend)
		case gate.Log, gate.Differs:
		default:
			panic(fmt.Sprintf("unsupported action %T", a))
		}
	}
	for _, i := range d.slotsToFree {
		if o := &d.ops[i]; o.try != nil && o.answered && o.inFlight == 0 {
			*o = op{jobs: o.jobs[:0]}
			d.freeSlots = append(d.freeSlots, i)
		}
	}
	d.slotsToFree = d.slotsToFree[:0]
	if d.timerAt > 0 { // a timer that is still pending must not be lost to an earlier decision
		d.scheduleDecision(sim, d.timerAt)
	}
}

// answer gives a request its only final answer.
func (d *door) answer(sim *Simulation, slot int, a trace.Answer, retryAfter float64, why gate.Cause) {
	o := &d.ops[slot]
	if o.try == nil || o.answered { // late actions of the decider are ignored
		return
	}
	t := o.try
	sim.emit(trace.Event{Kind: trace.Answered, Try: t.ID, Door: d.id, Answer: a, Cause: why})
	t.answered, o.answered = true, true
	t.answer, t.retryAfter = a, retryAfter
	d.slotsToFree = append(d.slotsToFree, slot)
	sim.schedule(sim.now+sim.clientDelay(), event{kind: eventAnswer, try: t})
}

// send starts an attempt, over an idle connection if there is one.
func (d *door) send(sim *Simulation, a gate.Send) {
	o := &d.ops[a.Op]
	if o.try == nil {
		sim.emit(trace.Event{Kind: trace.Sent, Try: -1, Door: d.id, Backend: d.backendIDs.ID(a.Backend)})
		return
	}
	t := o.try
	b := sim.backends[d.backendIDs.ID(a.Backend)]
	j := &Job{Try: t, Number: len(o.jobs), Backend: b.id, sentAt: sim.now, startBy: a.StartBy, incarnation: b.incarnation, caller: d}
	sim.emit(trace.Event{Kind: trace.Sent, Try: t.ID, Door: d.id, Attempt: j.Number, Backend: b.id, Zone: b.zone, Cell: b.cell,
		Crosses: b.zone != d.zone})
	if j.Number == 0 {
		sim.meter.add(sim, t.request.customer, t.request.units)
	}
	o.jobs = append(o.jobs, j)
	o.inFlight++
	b.pending++
	until := t.deadline
	if a.Timeout > 0 {
		until = min(until, sim.now+a.Timeout)
	}
	sim.schedule(max(sim.now, until), event{kind: eventAttemptTimeout, job: j})
	if idle := &d.idle[b.id]; idle.n > 0 && idle.incarnation == b.incarnation {
		idle.n--
		sim.schedule(sim.now+sim.networkDelay(d.zone, b.zone), event{kind: eventBackendArrival, job: j})
		return
	}
	sim.dial(j)
}

// probe sends a health probe to a backend.
func (d *door) probe(sim *Simulation, a gate.Probe) {
	b := sim.backends[d.backendIDs.ID(a.Backend)]
	sim.emit(trace.Event{Kind: trace.Probed, Door: d.id, Backend: b.id})
	p := probeResult{sentAt: sim.now, incarnation: d.incarnation, result: gate.Finished}
	duration := sim.networkDelay(d.zone, b.zone) + sim.networkDelay(b.zone, d.zone) + sim.s.Allow.ProbeMs
	switch _, hangs := b.faultMagnitude("hang", -1); {
	case b.silent() || sim.partitioned(d.zone, b.zone) || hangs || b.paused:
		p.result, duration = gate.TimedOut, sim.s.Net.ConnectTimeoutMs
	case !b.up:
		p.result = gate.Unreachable
	}
	sim.schedule(sim.now+duration, event{kind: eventProbeEnd, index: b.id, arg: d.id, payload: p})
}

// probeEnded reports the result of a probe to the decider.
func (d *door) probeEnded(sim *Simulation, backend int, p probeResult) {
	if i, known := d.backendIDs.Find(backend); known && d.up && d.incarnation == p.incarnation {
		d.inbox = append(d.inbox, gate.Probed{Backend: i, Result: p.result, Latency: sim.now - p.sentAt})
		d.scheduleDecision(sim, sim.now)
	}
}
