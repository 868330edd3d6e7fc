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

// Fleet is one fleet to be played.
type Fleet struct {
	Seed  uint64
	Doors int
	Ms    float64
	Make  func() Machine
}

// Result is what a play came to.
type Result struct {
	Breaches []Breach
	Went     int // doors that went out by plan
	Denied   int
	Failed   int
	Commands int
}

// Figures of the fleets that are drawn; each door plans several restarts a day.
const (
	loss      = 0.05   // of commands, and of answers
	twice     = 0.03   // of commands that come twice
	retryMs   = 300.0  // until a command without an answer is sent again, with the same number
	retries   = 5      // after which the door gives up
	holdMs    = 8000.0 // that a permit may be used for
	seenEvery = 1000.0 // ms between words of those who watch
	tells     = 2      // of those
	knownMs   = 2500.0 // after which a failure is seen
	nobody    = -1
)

// door is a door as it truly is.
type door struct {
	zone    int
	up      bool
	ready   bool
	life    uint64
	process uint64
	changed float64 // when up or ready changed last
	paused  float64 // until then
	holder  permits.PermitHolder
	busy    bool // it means to go out
	open    int  // place in gone of the time in which it is out now; nobody for none
}

type world struct {
	Fleet
	agenda
	m     Machine
	doors []*door
	gone  []Outage
	stops []HaltPeriod
	r     Result
	seq   map[string]uint64
	zones []int
}

// Play plays a fleet and judges it.
func (f Fleet) Play() Result {
	w := &world{Fleet: f, m: f.Make(), agenda: agenda{dice: rand.New(rand.NewPCG(f.Seed, 5))}, seq: map[string]uint64{}}
	most, zone := 1+w.dice.IntN(max(1, f.Doors/10)), 1+w.dice.IntN(max(1, f.Doors/20))
	bounds := []BudgetLimit{{false, most}, {true, zone}}
	w.command("operator", permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: most}, {Kind: permits.Door, Zone: permits.EachZone, MaxOut: zone}}}, nil)
	for i := range f.Doors {
		d := &door{zone: i % 3, up: true, ready: true, life: 1, process: uint64(i)<<20 + 1, changed: -60e3, open: nobody}
		w.doors, w.zones = append(w.doors, d), append(w.zones, d.zone)
		for n := range 2 {
			w.at(w.between(5e3, f.Ms-20e3)+float64(n), func() { w.plan(i) })
		}
		if w.dice.Float64() < 0.1 {
			w.at(w.between(5e3, f.Ms-20e3), func() { w.fail(i) })
		}
		for range 2 {
			w.at(w.between(0, f.Ms), func() { d.paused = w.now + w.between(100, 6000) })
		}
	}
	for n := range tells {
		w.at(float64(n)*300, func() { w.watch(n) })
	}
	halt := w.between(f.Ms/3, f.Ms/2)
	w.at(halt, func() {
		w.command("operator", permits.Halt{Who: "operator", Why: "drawn"}, func(permits.Answer) { w.stops = append(w.stops, HaltPeriod{w.now, math.Inf(1)}) })
	})
	w.at(halt+8e3, func() {
		w.command("operator", permits.Resume{Who: "operator"}, nil)
		for i := range w.stops {
			w.stops[i].To = w.now
		}
	})
	w.run(f.Ms)
	w.r.Breaches = CheckOutages(w.zones, w.gone, w.stops, bounds)
	return w.r
}

// apply has a command reach the machine.
func (w *world) apply(caller string, seq uint64, do any) permits.Answer {
	w.r.Commands++
	return w.m.Apply(permits.Command{Caller: caller, Seq: seq, AtMs: w.now + w.between(-2500, 2500), Do: do}) // coordinators' clocks are 5 s apart
}

// command is one that isn't lost, by one who numbers his commands himself.
func (w *world) command(caller string, do any, then func(permits.Answer)) {
	w.seq[caller]++
	a := w.apply(caller, w.seq[caller], do)
	if then != nil {
		then(a)
	}
}

// send has a door's command go over the network: it may be lost, come twice or late, and so may its answer.
func (w *world) send(caller string, seq uint64, do any, answered func(permits.Answer)) {
	if w.dice.Float64() < loss {
		return
	}
	copies := 1
	if w.dice.Float64() < twice {
		copies = 2
	}
	for range copies {
		w.at(w.now+w.between(2, 60)+5*w.between(0, 20)*float64(w.dice.IntN(2)), func() {
			a := w.apply(caller, seq, do)
			if w.dice.Float64() >= loss && answered != nil {
				w.at(w.now+w.between(2, 60), func() { answered(a) })
			}
		})
	}
}

func name(i int) string { return fmt.Sprintf("door-%03d", i) }

func (w *world) unit(i int) permits.Unit {
	return permits.Unit{Kind: permits.Door, Name: name(i), Zone: fmt.Sprint("z", w.doors[i].zone), Size: 1}
}

func (w *world) caller(i int) string { return fmt.Sprintf("%s/%d", name(i), w.doors[i].process) }

// plan is a door that means to go out and come back: it asks, prepares, looks again, goes.
func (w *world) plan(i int) {
	d := w.doors[i]
	if !d.up || !d.ready || d.busy {
		return
	}
	d.busy = true
	seq := d.holder.RequestSent(w.now, holdMs)
	w.ask(i, d.process, seq, permits.RequestPermit{Unit: name(i), Kind: permits.Door, Who: "plan", Why: "drawn", HoldMs: holdMs}, retries)
}

// ask sends a command until its answer comes, and gives up after some tries.
func (w *world) ask(i int, process, seq uint64, do any, left int) {
	d := w.doors[i]
	if !d.up || d.process != process {
		return
	}
	if w.now < d.paused {
		w.at(d.paused, func() { w.ask(i, process, seq, do, left) })
		return
	}
	if left == 0 {
		w.giveBack(i)
		return
	}
	done := false
	w.send(w.caller(i), seq, do, func(a permits.Answer) {
		w.awake(i, process, func() {
			if done = true; d.holder.Answered(seq, a) {
				w.answered(i, process, do, a)
			}
		})
	})
	w.at(w.now+retryMs, func() {
		w.awake(i, process, func() {
			if !done && d.busy && d.holder.PendingSeq() == seq {
				w.ask(i, process, seq, do, left-1)
			}
		})
	})
}

// awake does something once the door isn't stopped, where its process still runs.
func (w *world) awake(i int, process uint64, do func()) {
	d := w.doors[i]
	switch {
	case !d.up || d.process != process:
	case w.now < d.paused:
		w.at(d.paused, func() { w.awake(i, process, do) })
	default:
		do()
	}
}

func (w *world) answered(i int, process uint64, do any, a permits.Answer) {
	d := w.doors[i]
	if a.Err != nil {
		w.r.Denied++
		w.giveBack(i)
		return
	}
	confirm := func() {
		seq := d.holder.ConfirmSent(w.now)
		w.ask(i, process, seq, permits.Confirm{Number: d.holder.Number, Incarnation: d.life, Process: d.process}, retries)
	}
	if _, granted := do.(permits.RequestPermit); granted {
		w.at(w.now+w.between(0, 3000), func() { w.awake(i, process, confirm) })
		return
	}
	// The way from the answer to the step takes a moment, in which the door may be stopped.
	w.at(w.now+w.between(0, 50), func() {
		w.awake(i, process, func() {
			switch {
			case d.holder.MayGo(w.now):
				w.out(i, true)
			case w.now-d.changed < 1e9 && d.holder.Number != 0:
				confirm()
			}
		})
	})
}

// giveBack has a door say that it isn't going.
func (w *world) giveBack(i int) {
	d := w.doors[i]
	d.holder.Drop()
	d.busy = false
	w.say(i, retries)
}

// say is the door's own word on how it stands, said until it is heard.
func (w *world) say(i int, left int) {
	d := w.doors[i]
	if !d.up || left == 0 || d.busy {
		return
	}
	process, seq := d.process, d.holder.NextSeq()
	heard := false
	w.send(w.caller(i), seq, permits.SelfReport{Sighting: w.sighting(i, w.now)}, func(permits.Answer) { heard = true })
	w.at(w.now+retryMs, func() {
		w.awake(i, process, func() {
			if !heard {
				w.say(i, left-1)
			}
		})
	})
}

// sighting is how a door stands as one sees it who learns of failures late.
func (w *world) sighting(i int, since float64) permits.Sighting {
	d := w.doors[i]
	s := permits.Sighting{Unit: w.unit(i), Incarnation: d.life, Process: d.process}
	switch {
	case !d.up && since-d.changed < knownMs:
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

// watch is one of those who tell how doors stand; what it says may be long on its way.
func (w *world) watch(n int) {
	var all []permits.Sighting
	for i := range w.doors {
		all = append(all, w.sighting(i, w.now))
	}
	who := fmt.Sprint("watch-", n)
	w.at(w.now+w.between(5, 100)+w.between(0, 1500)*float64(w.dice.IntN(4)/3), func() { w.command(who, permits.RecordSightings{Sightings: all}, nil) })
	w.at(w.now+seenEvery, func() { w.watch(n) })
}

// out ends a door's process, by plan or by failure, and starts the next one later.
func (w *world) out(i int, byPlan bool) {
	d := w.doors[i]
	if byPlan {
		w.r.Went++
	} else {
		w.r.Failed++
	}
	d.up, d.ready, d.changed, d.busy = false, false, w.now, false
	d.open = len(w.gone)
	w.gone = append(w.gone, Outage{i, w.now, math.Inf(1), byPlan})
	long := w.between(500, 6000)
	if !byPlan {
		long = w.between(3000, 25000)
	}
	w.at(w.now+long, func() {
		d.up, d.changed = true, w.now
		d.life++
		d.process++
		d.holder = permits.PermitHolder{}
		d.paused = 0
		w.say(i, retries)
		process := d.process
		w.at(w.now+w.between(500, 2000), func() {
			if d.up && d.process == process {
				d.ready, d.changed = true, w.now
				w.gone[d.open].To, d.open = w.now, nobody
				w.say(i, retries)
			}
		})
	})
}

func (w *world) fail(i int) {
	if d := w.doors[i]; d.up && d.ready {
		w.out(i, false)
	}
}
