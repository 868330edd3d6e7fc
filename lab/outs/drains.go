package outs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/lab/outs/history"
	"github.com/swifthall/swifthall/permits"
)

// DrainSimulation simulates a fleet whose operators drain doors and backends and bring them back. Each door runs a
// permits.DoorAgent, the leader a permits.ReportCollector over the replicated state. Messages and answers are lost, delayed and
// duplicated; doors are paused, killed and terminated; the leader changes, with gaps in which there is none.
type DrainSimulation struct {
	Seed       uint64
	Doors      int
	Backends   int
	DurationMs float64
	NewState   func() ReplicatedState
}

// ReplicatedState is the state that the coordinators agree on, or a variant with a planted bug.
type ReplicatedState interface {
	Machine
	Withheld() (names []string, change uint64)
	UnconfirmedDoors(p *permits.Permit) []string
	DoorCommands(w *permits.DoorReport) []any
	Reply(w *permits.DoorReport, full bool) permits.Reply
	Places() map[uint64]*permits.Permit
}

// Rules for drains, in addition to those for outages.
const (
	NoSendsToDrained     = "no door sends to a backend that is said to be drained"
	BackendsWithinBudget = "no more backends out than the budget"
)

// DrainResult is the outcome of one simulated run.
type DrainResult struct {
	Result
	Drained  int // observations of a backend reported as drained
	Returned int // doors that came back after a drain
	History  []history.Op
}

// Parameters of a run.
const (
	backendBudget  = 2    // backends that may be out at once
	quietTailMs    = 15e3 // ms at the end of a run without new drains or failures, so that all can return
	maxStepDelayMs = 40.0 // maximum ms from the agent's decision until the door carries it out
	maxLeaderGapMs = 4e3  // maximum ms without a leader
	maxRestartMs   = 6e3  // maximum ms until a failed door starts again
	leaderChanges  = 5    // per run
)

// agentDoor is a door whose agent talks to the leader, and what is really true of it.
type agentDoor struct {
	number        int
	zone          int
	agent         *permits.DoorAgent
	incarnation   int // of the process
	up            bool
	readyAt       float64 // when this process becomes ready
	pausedUntil   float64 // clock, ms, until which the process is paused
	outOfService  bool
	withheld      map[string]bool
	answered      bool    // the leader has answered this incarnation
	plannedOutage int     // index into outages of the current planned outage, or noOutage
	failureOutage int     // the same for an outage by failure
	diedAt        float64 // clock, ms
}

// drainWorld is the state of one run.
type drainWorld struct {
	DrainSimulation
	scheduler
	machine   ReplicatedState
	collector *permits.ReportCollector
	hasLeader bool
	caller    string
	seq       uint64
	doors     []*agentDoor
	zones     []int
	outages   []Outage
	halts     []HaltPeriod
	result    DrainResult
	drainedAt map[string]float64 // backends certainly out, by the answers to operators, and since when
	lastID    uint64
	callers   uint64
}

// Run runs the simulation and checks it.
func (o DrainSimulation) Run() DrainResult {
	w := &drainWorld{DrainSimulation: o, scheduler: scheduler{random: rand.New(rand.NewPCG(o.Seed, 6))}, machine: o.NewState(), drainedAt: map[string]float64{}}
	maxOut, maxPerZone := 1+w.random.IntN(max(1, o.Doors/10)), 1+w.random.IntN(max(1, o.Doors/20))
	w.electLeader()
	w.applyAsOperator(permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: maxOut}, {Kind: permits.Door, Zone: permits.EachZone, MaxOut: maxPerZone},
		{Kind: permits.Backend, MaxOut: backendBudget}}})
	for i := range o.Doors {
		d := &agentDoor{number: i, zone: i % 3, plannedOutage: noOutage, failureOutage: noOutage}
		w.doors, w.zones = append(w.doors, d), append(w.zones, d.zone)
		w.at(w.between(0, 500), func() { w.start(d) })
		for range 2 {
			w.at(w.between(5e3, o.DurationMs-quietTailMs), func() { d.pausedUntil = w.now + w.between(100, 6000) })
		}
		if w.random.Float64() < 0.15 {
			w.at(w.between(8e3, o.DurationMs-quietTailMs), func() { w.stopDoor(d, w.random.IntN(2) == 0) })
		}
	}
	w.repeat(500, func() { w.observe() })
	for range max(12, o.Doors/4) {
		w.at(w.between(6e3, o.DurationMs-quietTailMs), func() { w.drainRandomDoor() })
	}
	for range 6 {
		w.at(w.between(6e3, o.DurationMs-quietTailMs), func() { w.drainBackend(fmt.Sprint("b", w.random.IntN(o.Backends))) })
	}
	for range leaderChanges {
		w.at(w.between(5e3, o.DurationMs-quietTailMs), func() {
			w.hasLeader = false
			w.at(w.now+w.between(0, maxLeaderGapMs), w.electLeader)
		})
	}
	halt := w.between(o.DurationMs/3, o.DurationMs/2)
	w.at(halt-w.between(50, 400), func() { // several doors are going out when the halt arrives, and are paused
		for range 4 {
			d := w.doors[w.random.IntN(len(w.doors))]
			w.drainDoor(d)
			w.at(w.now+w.between(100, 1500), func() { d.pausedUntil = max(d.pausedUntil, w.now+w.between(1000, 5000)) })
		}
	})
	w.at(halt, func() {
		w.applyAsOperator(permits.Halt{Who: "operator", Why: "drawn"})
		w.halts = append(w.halts, HaltPeriod{w.now, halt + 8e3})
	})
	w.at(halt+8e3, func() { w.applyAsOperator(permits.Resume{Who: "operator"}) })
	w.runUntil(o.DurationMs)
	w.result.Violations = append(w.result.Violations, CheckOutages(w.zones, w.outages, w.halts, []BudgetLimit{{false, maxOut}, {true, maxPerZone}})...)
	return w.result
}

// repeat runs a function at regular intervals.
func (w *drainWorld) repeat(ms float64, do func()) {
	w.at(w.now+ms, func() { do(); w.repeat(ms, do) })
}

// ---- Coordinators ----

// electLeader installs a new leader, which has the replicated state but has received no report yet.
func (w *drainWorld) electLeader() {
	w.callers++
	w.collector, w.hasLeader, w.caller, w.seq = permits.NewReportCollector(), true, fmt.Sprint("leader-", w.callers), 0
	w.applyAsLeader(permits.Leadership{Name: w.caller, Epoch: 1})
}

// applyAsLeader applies a command of the current leader.
func (w *drainWorld) applyAsLeader(do any) {
	w.seq++
	w.apply(w.caller, w.seq, do)
}

func (w *drainWorld) apply(caller string, seq uint64, do any) permits.Answer {
	w.result.Commands++
	return w.machine.Apply(permits.Command{Caller: caller, Seq: seq, AtMs: w.now, WallMs: w.now + w.between(-2500, 2500), Do: do})
}

// applyAsOperator applies a command of an operator; each command has a caller name of its own.
func (w *drainWorld) applyAsOperator(do any) permits.Answer {
	w.callers++
	return w.apply(fmt.Sprint("operator-", w.callers), 1, do)
}

// observe has the leader record the sightings that changed, and checks that no door can send to a backend reported as drained.
func (w *drainWorld) observe() {
	if w.hasLeader {
		w.applyAsLeader(permits.RecordSightings{Sightings: w.collector.ChangedSightings(w.now)})
	}
	for _, p := range w.machine.Places() {
		if p.Unit.Kind != permits.Backend || !p.Order || p.Over || len(w.machine.UnconfirmedDoors(p)) > 0 {
			continue
		}
		w.result.Drained++
		for _, d := range w.doors { // the real state, whatever the coordinators believe
			if d.up && d.answered && !d.withheld[p.Unit.Name] { // a door without any answer so far is unknown to the coordinators
				w.result.Violations = append(w.result.Violations, Violation{NoSendsToDrained, w.now, fmt.Sprintf("door %d may send to %s", d.number, p.Unit.Name)})
			}
		}
	}
}

// ---- Doors ----

// start starts a new process of a door, with a new agent.
func (w *drainWorld) start(d *agentDoor) {
	d.incarnation++
	d.up, d.outOfService, d.answered, d.pausedUntil, d.withheld = true, false, false, 0, map[string]bool{}
	d.readyAt = w.now + w.between(200, 1500)
	d.agent = permits.NewDoorAgent(permits.Unit{Kind: permits.Door, Name: name(d.number), Zone: fmt.Sprint("z", d.zone), Size: 1}, func() uint64 { w.lastID++; return w.lastID })
	incarnation := d.incarnation
	w.at(d.readyAt, func() {
		if d.up && d.incarnation == incarnation {
			w.markReturned(d)
		}
	})
	var tick func()
	tick = func() {
		if d.up && d.incarnation == incarnation {
			if w.now >= d.pausedUntil {
				w.stepAgent(d, permits.DoorStatus{Ready: w.now >= d.readyAt && !d.outOfService, Away: w.awayPeers(d), Backends: w.fleetList()})
			}
			w.at(w.now+w.between(40, 60), tick)
		}
	}
	tick()
}

// markReturned ends the outages of a door that serves again.
func (w *drainWorld) markReturned(d *agentDoor) {
	for _, open := range []*int{&d.plannedOutage, &d.failureOutage} {
		if *open != noOutage {
			w.outages[*open].To = w.now
			*open = noOutage
		}
	}
}

// awayPeers returns the peers that a door considers away: those that died at least detectionMs ago.
func (w *drainWorld) awayPeers(d *agentDoor) (names []string) {
	for _, o := range w.doors {
		if o != d && !o.up && o.incarnation > 0 && w.now-o.diedAt > detectionMs {
			names = append(names, name(o.number))
		}
	}
	return names
}

// fleetList returns the fleet list, in which all backends are ready.
func (w *drainWorld) fleetList() (all []permits.Sighting) {
	for i := range w.Backends {
		all = append(all, permits.Sighting{Unit: permits.Unit{Kind: permits.Backend, Name: fmt.Sprint("b", i), Zone: "z", Size: 1}, Standing: permits.Ready})
	}
	return all
}

// whenRunning runs do as soon as the door is not paused, unless its process has ended by then.
func (w *drainWorld) whenRunning(d *agentDoor, do func()) {
	incarnation := d.incarnation
	var now func()
	now = func() {
		switch {
		case !d.up || d.incarnation != incarnation:
		case w.now < d.pausedUntil:
			w.at(d.pausedUntil, now)
		default:
			do()
		}
	}
	now()
}

// stepAgent gives the agent an event and carries out its actions.
func (w *drainWorld) stepAgent(d *agentDoor, e any) {
	for _, a := range d.agent.Step(w.now, e) {
		switch a := a.(type) {
		case permits.Post:
			w.deliver(d, a)
		case permits.Withhold:
			w.at(w.now+w.between(0, 30), func() {
				w.whenRunning(d, func() {
					d.withheld = map[string]bool{}
					for _, n := range a.Names {
						d.withheld[n] = true
					}
					w.stepAgent(d, permits.WithholdApplied{Change: a.Change})
				})
			})
		case permits.SetOut: // carrying it out takes a moment, in which the door may be paused
			w.at(w.now+w.between(0, maxStepDelayMs), func() { w.whenRunning(d, func() { w.setOut(d, a) }) })
		}
	}
}

// setOut carries out the agent's decision to go out of service or to come back; it is too late to go out after UntilMs.
func (w *drainWorld) setOut(d *agentDoor, a permits.SetOut) {
	if !a.Out {
		d.outOfService = false
		w.result.Returned++
		w.markReturned(d)
		return
	}
	applied := w.now <= a.UntilMs
	if applied {
		d.outOfService = true
		w.result.WentOut++
		if d.plannedOutage == noOutage {
			d.plannedOutage = len(w.outages)
			w.outages = append(w.outages, Outage{d.number, w.now, math.Inf(1), true})
		}
	}
	w.stepAgent(d, permits.SetOutDone{Done: applied})
}

// deliver sends a message of a door's agent to the leader. The message may be lost, duplicated or delayed, its answer lost or delayed.
func (w *drainWorld) deliver(d *agentDoor, q permits.Post) {
	if w.random.Float64() < lossRate {
		return
	}
	copies := 1
	if w.random.Float64() < duplicateRate {
		copies = 2
	}
	for range copies {
		w.at(w.now+w.between(2, 60)+w.between(0, 100)*float64(w.random.IntN(2)), func() {
			if !w.hasLeader {
				return
			}
			e, ok := w.serve(q)
			if ok && w.random.Float64() >= lossRate {
				w.at(w.now+w.between(2, 60), func() { w.whenRunning(d, func() { d.answered = true; w.stepAgent(d, e) }) })
			}
		})
	}
}

// serve handles a message as the leader does.
func (w *drainWorld) serve(q permits.Post) (e any, ok bool) {
	if q.Report == nil {
		return permits.Answered{Seq: q.Seq, Answer: w.apply(q.Caller, q.Seq, q.Do)}, true
	}
	if w.collector.Record(w.now, *q.Report) {
		for i, do := range w.machine.DoorCommands(q.Report) {
			caller := q.Caller
			if _, own := do.(permits.SelfReport); !own {
				caller = fmt.Sprint(caller, "/hand/", i)
			}
			w.apply(caller, q.Seq, do)
		}
	}
	return permits.Replied{Seq: q.Seq, Reply: w.machine.Reply(q.Report, w.collector.WantsBackends(w.now, q.Report.Name))}, true
}

// stopDoor ends a door's process: at once, or after an announcement that leaves it some time to report.
func (w *drainWorld) stopDoor(d *agentDoor, announced bool) {
	if !d.up || w.now < d.readyAt {
		return
	}
	terminatesInMs := 0.0
	if announced {
		w.whenRunning(d, func() { w.stepAgent(d, permits.Terminating{}) })
		terminatesInMs = w.between(200, 900)
	}
	incarnation := d.incarnation
	d.failureOutage = len(w.outages)
	w.outages = append(w.outages, Outage{d.number, w.now, math.Inf(1), false})
	w.result.Failed++
	w.at(w.now+terminatesInMs, func() {
		if !d.up || d.incarnation != incarnation {
			return
		}
		if announced && w.now >= d.pausedUntil {
			w.stepAgent(d, permits.Terminated{}) // its last report, just before the process ends
		}
		d.up, d.diedAt = false, w.now
		w.at(w.now+w.between(300, maxRestartMs), func() { w.start(d) })
	})
}

// ---- Operators ----

func (w *drainWorld) drainRandomDoor() { w.drainDoor(w.doors[w.random.IntN(len(w.doors))]) }

// drainDoor drains a door for some seconds, if there is a leader and the command is accepted.
func (w *drainWorld) drainDoor(d *agentDoor) {
	if !w.hasLeader {
		return
	}
	if a := w.applyAsOperator(permits.Drain{Kind: permits.Door, Name: name(d.number), Who: "operator", Why: "drawn"}); a.Err != nil {
		w.result.Denied++
		return
	}
	w.undrain(permits.Door, name(d.number), w.now+w.between(1000, 6000), nil)
}

// undrain ends a drain as soon as there is a leader.
func (w *drainWorld) undrain(k permits.Kind, unit string, at float64, then func(from float64)) {
	w.at(at, func() {
		if !w.hasLeader {
			w.undrain(k, unit, w.now+200, then)
			return
		}
		from := w.now
		w.applyAsOperator(permits.Undrain{Kind: k, Name: unit, Who: "operator", Why: "drawn"})
		if then != nil {
			then(from)
		}
	})
}

// drainBackend drains a backend for some seconds, reads the drains meanwhile, and records the calls in the history.
func (w *drainWorld) drainBackend(unit string) {
	if !w.hasLeader {
		return
	}
	op := history.Op{Call: history.Drain, Unit: unit, From: w.now, To: w.now + 1e-3}
	if a := w.applyAsOperator(permits.Drain{Kind: permits.Backend, Name: unit, Who: "operator", Why: "drawn"}); a.Err != nil {
		w.result.Denied++
		op.Outcome = history.Refused
		w.result.History = append(w.result.History, op)
		return
	}
	w.result.History = append(w.result.History, op)
	if w.drainedAt[unit] = w.now; len(w.drainedAt) > backendBudget {
		w.result.Violations = append(w.result.Violations, Violation{BackendsWithinBudget, w.now, fmt.Sprintf("%d backends are out", len(w.drainedAt))})
	}
	var read func()
	read = func() {
		if _, out := w.drainedAt[unit]; out {
			w.recordRead()
			w.at(w.now+w.between(200, 900), read)
		}
	}
	read()
	w.undrain(permits.Backend, unit, w.now+w.between(1500, 7000), func(from float64) {
		delete(w.drainedAt, unit)
		w.result.History = append(w.result.History, history.Op{Call: history.Undrain, Unit: unit, From: from, To: from + 1e-3})
	})
}

// recordRead records in the history which backends are reported as out and as coming back.
func (w *drainWorld) recordRead() {
	op := history.Op{Call: history.Read, From: w.now, To: w.now + 1e-3}
	for _, p := range w.machine.Places() {
		switch {
		case p.Unit.Kind != permits.Backend:
		case p.Over:
			op.Back = append(op.Back, p.Unit.Name)
		default:
			op.Out = append(op.Out, p.Unit.Name)
		}
	}
	slices.Sort(op.Out)
	w.result.History = append(w.result.History, op)
}
