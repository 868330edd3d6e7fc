package model

import (
	"math"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
)

// hurt is a fault that strikes now.
type hurt struct {
	fault *scenario.Fault
	index int
	class int           // that it strikes alone; -1 for all
	whom  []int         // backends or doors that it struck
	out   []func() bool // of those that went one by one: whether one is out still
}

// pick draws the share of those from 0 to n-1 that may be struck, at least one where the share is above 0.
func (w *World) pick(n int, share float64, may func(i int) bool) []int {
	var all []int
	for i := range n {
		if may(i) {
			all = append(all, i)
		}
	}
	if share == 0 {
		share = 1
	}
	w.dice.faults.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), max(1, int(math.Round(share*float64(len(all))))))]
	slices.Sort(all)
	return all
}

// fault begins or ends a line of the schedule.
func (w *World) fault(n int, begins bool) {
	f := &w.s.Faults[n]
	if begins {
		h := &hurt{fault: f, index: n, class: slices.IndexFunc(w.s.Classes, func(p scenario.Class) bool { return p.Name == f.Class })}
		if f.ForS > 0 {
			w.hurts = append(w.hurts, h)
			w.at(f.End()*1000, due{kind: dueFault, n: n})
		}
		w.strike(h)
		return
	}
	for i, h := range w.hurts {
		if h.index == n {
			w.hurts = append(w.hurts[:i:i], w.hurts[i+1:]...)
			w.relieve(h)
			return
		}
	}
}

func (w *World) strike(h *hurt) {
	f := h.fault
	switch scenario.Kinds[f.Kind].Target {
	case scenario.TargetBackends:
		h.whom = w.pick(len(w.backends), f.Share, func(i int) bool {
			b := w.backends[i]
			return b.listed && b.status == gate.Up && b.up && (f.Zone == nil || b.zone == *f.Zone)
		})
		w.strikeBackends(h)
	case scenario.TargetDoors:
		h.whom = w.pick(len(w.doors), f.Share, func(i int) bool {
			return w.doors[i].up && (f.Zone == nil || w.doors[i].zone == *f.Zone)
		})
		w.strikeDoors(h)
	case scenario.TargetClients:
		w.clients.strike(w, h, f.AtS*1000)
	default:
		if f.Kind == "counter_empty" {
			w.counter.empty()
		}
		if f.Kind == "counter_split" {
			w.counter.split()
		}
	}
}

func (w *World) strikeBackends(h *hurt) {
	f := h.fault
	switch f.Kind {
	case "replace", "pauses":
		if f.Kind == "pauses" {
			w.join(h)
		}
		w.faultStep(h.index, 0, h)
	case "death", "zone_loss":
		for _, i := range h.whom {
			w.kill(w.backends[i])
		}
	default:
		w.join(h)
		if f.Kind == "silence" {
			for _, i := range h.whom {
				w.announce(w.backends[i], gate.Gone, w.s.Discovery.SilentMs.At(w.dice.faults.Float64()))
			}
		}
	}
}

// join has a fault strike its backends from now on.
func (w *World) join(h *hurt) {
	for _, i := range h.whom {
		b := w.backends[i]
		b.settle(w.now)
		b.hurts = append(b.hurts, h)
		b.plan(w)
	}
}

func (w *World) kill(b *backend) {
	b.die(w)
	w.announce(b, gate.Gone, w.s.Discovery.NoticeMs.At(w.dice.faults.Float64()))
}

// revive starts a backend's process anew, where it is.
func (w *World) revive(b *backend) {
	b.start(w)
	b.plan(w)
	w.announce(b, gate.Up, 0)
}

func (w *World) strikeDoors(h *hurt) {
	if h.fault.Kind == "door_deaths" {
		for _, i := range h.whom {
			w.doors[i].die(w)
		}
		return
	}
	w.faultStep(h.index, 0, h)
}

func (w *World) relieve(h *hurt) {
	f := h.fault
	for _, i := range h.whom {
		switch scenario.Kinds[f.Kind].Target {
		case scenario.TargetBackends:
			b := w.backends[i]
			b.settle(w.now)
			b.hurts = slices.DeleteFunc(slices.Clone(b.hurts), func(x *hurt) bool { return x == h })
			switch f.Kind {
			case "death", "zone_loss":
				if !b.up {
					w.revive(b)
				}
			case "silence": // the machine is back; what was open to it is reset
				b.die(w)
				w.revive(b)
			case "pauses":
				b.paused = false
			case "hang": // those that hung are cut loose, and nothing comes of them
			}
			b.plan(w)
		case scenario.TargetDoors:
			if f.Kind == "door_deaths" {
				w.doors[i].start(w)
			}
		}
	}
	if f.Kind == "counter_split" {
		w.counter.heal()
	}
	w.clients.relieve(w, h)
}

const (
	leaveMost = 3700 // ms that a door which leaves is given to answer what it took
	rollSteps = 10   // batches where the fault names none
)

// faultStep goes on with a fault that goes in steps.
func (w *World) faultStep(n, step int, h *hurt) {
	f := h.fault
	if f.Kind == "pauses" {
		w.pause(step, h)
		return
	}
	if f.MostOut > 0 {
		w.agreed(n, step, h)
		return
	}
	batches := f.Batches
	if batches == 0 {
		batches = rollSteps
	}
	from, to := len(h.whom)*step/batches, len(h.whom)*(step+1)/batches
	for _, i := range h.whom[from:to] {
		if f.Kind == "replace" {
			w.replace(w.backends[i], f.Much*1000)
		} else if d := w.doors[i]; d.up {
			d.withdraw(w, f.Much*1000)
		}
	}
	if step+1 < batches {
		w.at(w.now+f.ForS*1000/float64(batches), due{kind: dueStep, n: n, m: step + 1, p: h})
	}
}

const (
	agreedEvery = 200.0  // ms between looks whether a place is free: sightings come twice a second
	warmDoor    = 1000.0 // ms that a door serves before it counts as back
)

// agreed has the next go as places are free, as permits would: a place is free once the one that went is back, ready and warm.
func (w *World) agreed(n, step int, h *hurt) {
	f := h.fault
	h.out = slices.DeleteFunc(h.out, func(out func() bool) bool { return !out() })
	for len(h.out) < f.MostOut && step < len(h.whom) {
		if i := h.whom[step]; f.Kind == "replace" {
			if next := w.replace(w.backends[i], f.Much*1000); next != nil {
				h.out = append(h.out, func() bool { return !next.up || w.now < next.since+next.machine.ColdS*1000 })
			}
		} else if d := w.doors[i]; d.up {
			d.withdraw(w, f.Much*1000)
			back := 0.0
			h.out = append(h.out, func() bool {
				if !d.up || d.leaving {
					back = w.now
				}
				return w.now < back+warmDoor
			})
		}
		step++
	}
	if step < len(h.whom) {
		w.at(w.now+agreedEvery, due{kind: dueStep, n: n, m: step, p: h})
	}
}

// pause stops the struck backends for a while, and lets them go on.
func (w *World) pause(step int, h *hurt) {
	f := h.fault
	over := w.now >= f.End()*1000
	for _, i := range h.whom {
		b := w.backends[i]
		b.settle(w.now)
		b.paused = step%2 == 0 && !over
		b.plan(w)
	}
	if over {
		return
	}
	rest := f.Much
	if step%2 == 1 {
		rest = f.EveryMs - f.Much
	}
	w.at(w.now+rest, due{kind: dueStep, n: h.index, m: step + 1, p: h})
}

// replace drains a backend, ends it, and starts its successor on a machine of its own.
func (w *World) replace(b *backend, drain float64) (next *backend) {
	if !b.listed || b.status != gate.Up {
		return nil
	}
	b.status = gate.Draining
	w.announce(b, gate.Draining, 0)
	next = w.addBackend(b.zone, b.cell, b.machine)
	next.listed = true
	next.start(w)
	w.announce(next, gate.Up, 0)
	w.at(w.now+drain, due{kind: dueStart, p: func() {
		b.status, b.listed = gate.Gone, false
		if b.up {
			b.die(w)
		}
		w.announce(b, gate.Gone, 0)
	}})
	return next
}
