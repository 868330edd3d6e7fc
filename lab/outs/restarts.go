package outs

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/permits"
)

// Machine is the replicated state machine, or a variant with a planted bug.
type Machine interface {
	Apply(c permits.Command) permits.Answer
}

// RestartSimulation simulates a fleet whose doors restart under permits: they request one, prepare, confirm it and go out. Commands
// and answers are lost, delayed and duplicated, doors are paused and fail, and failures are detected late.
type RestartSimulation struct {
	Seed       uint64
	Doors      int
	DurationMs float64
	NewMachine func() Machine
}

// Result is the outcome of one simulated run.
type Result struct {
	Violations []Violation
	WentOut    int // planned outages
	Denied     int
	Failed     int
	Commands   int
}

// Parameters of a run; each door plans several restarts.
const (
	lossRate           = 0.05   // of commands, and of answers
	duplicateRate      = 0.03   // share of commands that arrive twice
	retryMs            = 300.0  // ms until an unanswered command is sent again with the same number
	maxTries           = 5      // after which the door gives up
	holdMs             = 8000.0 // ms for which a permit may be used
	sightingIntervalMs = 1000.0 // between two reports of an observer
	observers          = 2      // that report the condition of all doors
	detectionMs        = 2500.0 // ms until a failure is detected
	noOutage           = -1     // index of an outage that does not exist
)

// door is the real state of a door.
type door struct {
	zone        int
	up          bool
	ready       bool
	incarnation uint64
	process     uint64
	changedAt   float64 // clock, ms, of the last change of up or ready
	pausedUntil float64 // clock, ms, until which the process is paused
	holder      permits.PermitHolder
	goingOut    bool // it has requested a permit
	outage      int  // index into outages of the current outage, or noOutage
}

// restartWorld is the state of one run.
type restartWorld struct {
	RestartSimulation
	scheduler
	machine Machine
	doors   []*door
	outages []Outage
	halts   []HaltPeriod
	result  Result
	seq     map[string]uint64
	zones   []int
}

// Run runs the simulation and checks it.
func (f RestartSimulation) Run() Result {
	w := &restartWorld{RestartSimulation: f, machine: f.NewMachine(), scheduler: scheduler{random: rand.New(rand.NewPCG(f.Seed, 5))}, seq: map[string]uint64{}}
	maxOut, maxPerZone := 1+w.random.IntN(max(1, f.Doors/10)), 1+w.random.IntN(max(1, f.Doors/20))
	bounds := []BudgetLimit{{false, maxOut}, {true, maxPerZone}}
	w.command("operator", permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: maxOut}, {Kind: permits.Door, Zone: permits.EachZone, MaxOut: maxPerZone}}}, nil)
	for i := range f.Doors {
		d := &door{zone: i % 3, up: true, ready: true, incarnation: 1, process: uint64(i)<<20 + 1, changedAt: -60e3, outage: noOutage}
		w.doors, w.zones = append(w.doors, d), append(w.zones, d.zone)
		for n := range 2 {
			w.at(w.between(5e3, f.DurationMs-20e3)+float64(n), func() { w.requestRestart(i) })
		}
		if w.random.Float64() < 0.1 {
			w.at(w.between(5e3, f.DurationMs-20e3), func() { w.fail(i) })
		}
		for range 2 {
			w.at(w.between(0, f.DurationMs), func() { d.pausedUntil = w.now + w.between(100, 6000) })
		}
	}
	for n := range observers {
		w.at(float64(n)*300, func() { w.observe(n) })
	}
	halt := w.between(f.DurationMs/3, f.DurationMs/2)
	w.at(halt, func() {
		w.command("operator", permits.Halt{Who: "operator", Why: "drawn"}, func(permits.Answer) { w.halts = append(w.halts, HaltPeriod{w.now, math.Inf(1)}) })
	})
	w.at(halt+8e3, func() {
		w.command("operator", permits.Resume{Who: "operator"}, nil)
		for i := range w.halts {
			w.halts[i].To = w.now
		}
	})
	w.runUntil(f.DurationMs)
	w.result.Violations = CheckOutages(w.zones, w.outages, w.halts, bounds)
	return w.result
}

// apply applies a command to the machine.
func (w *restartWorld) apply(caller string, seq uint64, do any) permits.Answer {
	w.result.Commands++
	return w.machine.Apply(permits.Command{Caller: caller, Seq: seq, AtMs: w.now + w.between(-2500, 2500), Do: do}) // the coordinators' clocks differ by up to 5 s
}

// command applies a command that isn't lost, of a caller whose numbers are kept here.
func (w *restartWorld) command(caller string, do any, then func(permits.Answer)) {
	w.seq[caller]++
	a := w.apply(caller, w.seq[caller], do)
	if then != nil {
		then(a)
	}
}

// send sends a door's command over the network: it may be lost, duplicated or delayed, and its answer lost or delayed.
func (w *restartWorld) send(caller string, seq uint64, do any, answered func(permits.Answer)) {
	if w.random.Float64() < lossRate {
		return
	}
	copies := 1
	if w.random.Float64() < duplicateRate {
		copies = 2
	}
	for range copies {
		w.at(w.now+w.between(2, 60)+5*w.between(0, 20)*float64(w.random.IntN(2)), func() {
			a := w.apply(caller, seq, do)
			if w.random.Float64() >= lossRate && answered != nil {
				w.at(w.now+w.between(2, 60), func() { answered(a) })
			}
		})
	}
}

func name(i int) string { return fmt.Sprintf("door-%03d", i) }

// unit describes a door as a unit.
func (w *restartWorld) unit(i int) permits.Unit {
	return permits.Unit{Kind: permits.Door, Name: name(i), Zone: fmt.Sprint("z", w.doors[i].zone), Size: 1}
}

// caller returns the caller name of a door; each process has its own, so that numbers start again.
func (w *restartWorld) caller(i int) string { return fmt.Sprintf("%s/%d", name(i), w.doors[i].process) }

// requestRestart begins a planned restart: the door requests a permit.
func (w *restartWorld) requestRestart(i int) {
	d := w.doors[i]
	if !d.up || !d.ready || d.goingOut {
		return
	}
	d.goingOut = true
	seq := d.holder.RequestSent(w.now, holdMs)
	w.sendUntilAnswered(i, d.process, seq, permits.RequestPermit{Unit: name(i), Kind: permits.Door, Who: "plan", Why: "drawn", HoldMs: holdMs}, maxTries)
}

// sendUntilAnswered sends a command again until it is answered, and abandons the restart after some tries.
func (w *restartWorld) sendUntilAnswered(i int, process, seq uint64, do any, left int) {
	d := w.doors[i]
	if !d.up || d.process != process {
		return
	}
	if w.now < d.pausedUntil {
		w.at(d.pausedUntil, func() { w.sendUntilAnswered(i, process, seq, do, left) })
		return
	}
	if left == 0 {
		w.abandon(i)
		return
	}
	done := false
	w.send(w.caller(i), seq, do, func(a permits.Answer) {
		w.whenRunning(i, process, func() {
			if done = true; d.holder.Answered(seq, a) {
				w.handleAnswer(i, process, do, a)
			}
		})
	})
	w.at(w.now+retryMs, func() {
		w.whenRunning(i, process, func() {
			if !done && d.goingOut && d.holder.PendingSeq() == seq {
				w.sendUntilAnswered(i, process, seq, do, left-1)
			}
		})
	})
}

// whenRunning runs do as soon as the door is not paused, unless its process has ended by then.
func (w *restartWorld) whenRunning(i int, process uint64, do func()) {
	d := w.doors[i]
	switch {
	case !d.up || d.process != process:
	case w.now < d.pausedUntil:
		w.at(d.pausedUntil, func() { w.whenRunning(i, process, do) })
	default:
		do()
	}
}

// handleAnswer continues after an answer: it confirms a granted permit, and goes out once the permit is confirmed.
func (w *restartWorld) handleAnswer(i int, process uint64, do any, a permits.Answer) {
	d := w.doors[i]
	if a.Err != nil {
		w.result.Denied++
		w.abandon(i)
		return
	}
	confirm := func() {
		seq := d.holder.ConfirmSent(w.now)
		w.sendUntilAnswered(i, process, seq, permits.Confirm{Number: d.holder.Number, Incarnation: d.incarnation, Process: d.process}, maxTries)
	}
	if _, granted := do.(permits.RequestPermit); granted {
		w.at(w.now+w.between(0, 3000), func() { w.whenRunning(i, process, confirm) })
		return
	}
	// Going out takes a moment after the answer, in which the door may be paused.
	w.at(w.now+w.between(0, 50), func() {
		w.whenRunning(i, process, func() {
			switch {
			case d.holder.MayGo(w.now):
				w.takeDown(i, true)
			case w.now-d.changedAt < 1e9 && d.holder.Number != 0:
				confirm()
			}
		})
	})
}

// abandon gives the restart up; the door reports that it is not going out.
func (w *restartWorld) abandon(i int) {
	d := w.doors[i]
	d.holder.Drop()
	d.goingOut = false
	w.reportSelf(i, maxTries)
}

// reportSelf sends the door's report of its own condition until it is acknowledged.
func (w *restartWorld) reportSelf(i int, left int) {
	d := w.doors[i]
	if !d.up || left == 0 || d.goingOut {
		return
	}
	process, seq := d.process, d.holder.NextSeq()
	acknowledged := false
	w.send(w.caller(i), seq, permits.SelfReport{Sighting: w.sighting(i, w.now)}, func(permits.Answer) { acknowledged = true })
	w.at(w.now+retryMs, func() {
		w.whenRunning(i, process, func() {
			if !acknowledged {
				w.reportSelf(i, left-1)
			}
		})
	})
}

// sighting returns a door's condition as seen by an observer that detects failures late.
func (w *restartWorld) sighting(i int, since float64) permits.Sighting {
	d := w.doors[i]
	s := permits.Sighting{Unit: w.unit(i), Incarnation: d.incarnation, Process: d.process}
	switch {
	case !d.up && since-d.changedAt < detectionMs:
		s.Standing = permits.Ready // the failure is not detected yet
	case !d.up:
		s.Standing = permits.Failed
	case d.ready:
		s.Standing = permits.Ready
	default:
		s.Standing = permits.Starting
	}
	return s
}

// observe reports the condition of all doors, at intervals; a report may be delayed.
func (w *restartWorld) observe(n int) {
	var all []permits.Sighting
	for i := range w.doors {
		all = append(all, w.sighting(i, w.now))
	}
	who := fmt.Sprint("watch-", n)
	w.at(w.now+w.between(5, 100)+w.between(0, 1500)*float64(w.random.IntN(4)/3), func() { w.command(who, permits.RecordSightings{Sightings: all}, nil) })
	w.at(w.now+sightingIntervalMs, func() { w.observe(n) })
}

// takeDown ends a door's process, planned or by failure, and starts the next one later.
func (w *restartWorld) takeDown(i int, planned bool) {
	d := w.doors[i]
	if planned {
		w.result.WentOut++
	} else {
		w.result.Failed++
	}
	d.up, d.ready, d.changedAt, d.goingOut = false, false, w.now, false
	d.outage = len(w.outages)
	w.outages = append(w.outages, Outage{i, w.now, math.Inf(1), planned})
	downMs := w.between(500, 6000)
	if !planned {
		downMs = w.between(3000, 25000)
	}
	w.at(w.now+downMs, func() {
		d.up, d.changedAt = true, w.now
		d.incarnation++
		d.process++
		d.holder = permits.PermitHolder{}
		d.pausedUntil = 0
		w.reportSelf(i, maxTries)
		process := d.process
		w.at(w.now+w.between(500, 2000), func() {
			if d.up && d.process == process {
				d.ready, d.changedAt = true, w.now
				w.outages[d.outage].To, d.outage = w.now, noOutage
				w.reportSelf(i, maxTries)
			}
		})
	})
}

// fail takes a door down by failure, if it is ready.
func (w *restartWorld) fail(i int) {
	if d := w.doors[i]; d.up && d.ready {
		w.takeDown(i, false)
	}
}
