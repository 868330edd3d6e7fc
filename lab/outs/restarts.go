package outs

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/permits"
)

// Machine takes commands: the state machine, or one with a planted fault.
type Machine interface {
	Apply(c permits.Command) permits.Answer
}

// RestartSimulation is one fleet to be played.
type RestartSimulation struct {
	Seed       uint64
	Doors      int
	DurationMs float64
	NewMachine func() Machine
}

// Result is what a play came to.
type Result struct {
	Breaches []Breach
	WentOut  int // doors that went out by plan
	Denied   int
	Failed   int
	Commands int
}

// Figures of the fleets that are drawn; each door plans several restarts a day.
const (
	lossRate           = 0.05   // of commands, and of answers
	duplicateRate      = 0.03   // of commands that come twice
	retryMs            = 300.0  // until a command without an answer is sent again, with the same number
	maxTries           = 5      // after which the door gives up
	holdMs             = 8000.0 // that a permit may be used for
	sightingIntervalMs = 1000.0 // ms between words of those who watch
	observers          = 2      // of those
	detectionMs        = 2500.0 // after which a failure is seen
	noOutage           = -1
)

// door is a door as it truly is.
type door struct {
	zone        int
	up          bool
	ready       bool
	incarnation uint64
	process     uint64
	changedAt   float64 // when up or ready changed last
	pausedUntil float64 // until then
	holder      permits.PermitHolder
	goingOut    bool // it means to go out
	outage      int  // place in gone of the time in which it is out now; nobody for none
}

type restartWorld struct {
	RestartSimulation
	scheduler
	machine Machine
	doors   []*door
	outages []Gone
	halts   []Stop
	result  Result
	seq     map[string]uint64
	zones   []int
}

// Run plays a fleet and judges it.
func (f RestartSimulation) Run() Result {
	w := &restartWorld{RestartSimulation: f, machine: f.NewMachine(), scheduler: scheduler{random: rand.New(rand.NewPCG(f.Seed, 5))}, seq: map[string]uint64{}}
	most, zone := 1+w.random.IntN(max(1, f.Doors/10)), 1+w.random.IntN(max(1, f.Doors/20))
	bounds := []Bound{{false, most}, {true, zone}}
	w.command("operator", permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: most}, {Kind: permits.Door, Zone: permits.EachZone, MaxOut: zone}}}, nil)
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
		w.command("operator", permits.Halt{Who: "operator", Why: "drawn"}, func(permits.Answer) { w.halts = append(w.halts, Stop{w.now, math.Inf(1)}) })
	})
	w.at(halt+8e3, func() {
		w.command("operator", permits.Resume{Who: "operator"}, nil)
		for i := range w.halts {
			w.halts[i].To = w.now
		}
	})
	w.runUntil(f.DurationMs)
	w.result.Breaches = Judge(w.zones, w.outages, w.halts, bounds)
	return w.result
}

// apply has a command reach the machine.
func (w *restartWorld) apply(caller string, seq uint64, do any) permits.Answer {
	w.result.Commands++
	return w.machine.Apply(permits.Command{Caller: caller, Seq: seq, AtMs: w.now + w.between(-2500, 2500), Do: do}) // coordinators' clocks are 5 s apart
}

// command is one that isn't lost, by one who numbers his commands himself.
func (w *restartWorld) command(caller string, do any, then func(permits.Answer)) {
	w.seq[caller]++
	a := w.apply(caller, w.seq[caller], do)
	if then != nil {
		then(a)
	}
}

// send has a door's command go over the network: it may be lost, come twice or late, and so may its answer.
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

func (w *restartWorld) unit(i int) permits.Unit {
	return permits.Unit{Kind: permits.Door, Name: name(i), Zone: fmt.Sprint("z", w.doors[i].zone), Size: 1}
}

func (w *restartWorld) caller(i int) string { return fmt.Sprintf("%s/%d", name(i), w.doors[i].process) }

// requestRestart is a door that means to go out and come back: it asks, prepares, looks again, goes.
func (w *restartWorld) requestRestart(i int) {
	d := w.doors[i]
	if !d.up || !d.ready || d.goingOut {
		return
	}
	d.goingOut = true
	seq := d.holder.RequestSent(w.now, holdMs)
	w.sendUntilAnswered(i, d.process, seq, permits.RequestPermit{Unit: name(i), Kind: permits.Door, Who: "plan", Why: "drawn", HoldMs: holdMs}, maxTries)
}

// sendUntilAnswered sends a command until its answer comes, and gives up after some tries.
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

// whenRunning does something once the door isn't stopped, where its process still runs.
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
	// The way from the answer to the step takes a moment, in which the door may be stopped.
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

// abandon has a door say that it isn't going.
func (w *restartWorld) abandon(i int) {
	d := w.doors[i]
	d.holder.Drop()
	d.goingOut = false
	w.reportSelf(i, maxTries)
}

// reportSelf is the door's own word on how it stands, said until it is heard.
func (w *restartWorld) reportSelf(i int, left int) {
	d := w.doors[i]
	if !d.up || left == 0 || d.goingOut {
		return
	}
	process, seq := d.process, d.holder.NextSeq()
	heard := false
	w.send(w.caller(i), seq, permits.SelfReport{Sighting: w.sighting(i, w.now)}, func(permits.Answer) { heard = true })
	w.at(w.now+retryMs, func() {
		w.whenRunning(i, process, func() {
			if !heard {
				w.reportSelf(i, left-1)
			}
		})
	})
}

// sighting is how a door stands as one sees it who learns of failures late.
func (w *restartWorld) sighting(i int, since float64) permits.Sighting {
	d := w.doors[i]
	s := permits.Sighting{Unit: w.unit(i), Incarnation: d.incarnation, Process: d.process}
	switch {
	case !d.up && since-d.changedAt < detectionMs:
		s.Standing = permits.Ready // nobody knows yet
	case !d.up:
		s.Standing = permits.Failed
	case d.ready:
		s.Standing = permits.Ready
	default:
		s.Standing = permits.Starting
	}
	return s
}

// observe is one of those who tell how doors stand; what it says may be long on its way.
func (w *restartWorld) observe(n int) {
	var all []permits.Sighting
	for i := range w.doors {
		all = append(all, w.sighting(i, w.now))
	}
	who := fmt.Sprint("watch-", n)
	w.at(w.now+w.between(5, 100)+w.between(0, 1500)*float64(w.random.IntN(4)/3), func() { w.command(who, permits.RecordSightings{Sightings: all}, nil) })
	w.at(w.now+sightingIntervalMs, func() { w.observe(n) })
}

// takeDown ends a door's process, by plan or by failure, and starts the next one later.
func (w *restartWorld) takeDown(i int, byPlan bool) {
	d := w.doors[i]
	if byPlan {
		w.result.WentOut++
	} else {
		w.result.Failed++
	}
	d.up, d.ready, d.changedAt, d.goingOut = false, false, w.now, false
	d.outage = len(w.outages)
	w.outages = append(w.outages, Gone{i, w.now, math.Inf(1), byPlan})
	long := w.between(500, 6000)
	if !byPlan {
		long = w.between(3000, 25000)
	}
	w.at(w.now+long, func() {
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

func (w *restartWorld) fail(i int) {
	if d := w.doors[i]; d.up && d.ready {
		w.takeDown(i, false)
	}
}
