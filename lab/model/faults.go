package model

import (
	"math"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
)

// activeFault is a fault that strikes now.
type activeFault struct {
	fault    *scenario.Fault
	index    int
	class    int           // that it strikes alone; -1 for all
	targets  []int         // backends or doors that it struck
	stillOut []func() bool // of those that went one by one: whether one is out still
}

// pickTargets draws the share of those from 0 to n-1 that may be struck, at least one where the share is above 0.
func (w *World) pickTargets(n int, share float64, may func(i int) bool) []int {
	var all []int
	for i := range n {
		if may(i) {
			all = append(all, i)
		}
	}
	if share == 0 {
		share = 1
	}
	w.rng.faults.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), max(1, int(math.Round(share*float64(len(all))))))]
	slices.Sort(all)
	return all
}

// toggleFault begins or ends a line of the schedule.
func (w *World) toggleFault(n int, begins bool) {
	f := &w.s.Faults[n]
	if begins {
		h := &activeFault{fault: f, index: n, class: slices.IndexFunc(w.s.Classes, func(p scenario.Class) bool { return p.Name == f.Class })}
		if f.ForS > 0 {
			w.faults = append(w.faults, h)
			w.schedule(f.End()*1000, event{kind: eventFault, index: n})
		}
		w.injectFault(h)
		return
	}
	for i, h := range w.faults {
		if h.index == n {
			w.faults = append(w.faults[:i:i], w.faults[i+1:]...)
			w.endFault(h)
			return
		}
	}
}

func (w *World) injectFault(h *activeFault) {
	f := h.fault
	switch scenario.Kinds[f.Kind].Whom {
	case scenario.Backends:
		h.targets = w.pickTargets(len(w.backends), f.Share, func(i int) bool {
			b := w.backends[i]
			return b.listed && b.status == gate.Up && b.up && (f.Zone == nil || b.zone == *f.Zone)
		})
		w.injectBackendFault(h)
	case scenario.Doors:
		h.targets = w.pickTargets(len(w.doors), f.Share, func(i int) bool {
			return w.doors[i].up && (f.Zone == nil || w.doors[i].zone == *f.Zone)
		})
		w.injectDoorFault(h)
	case scenario.Clientele:
		w.clients.injectFault(w, h, f.AtS*1000)
	default:
		if f.Kind == "counter_empty" {
			w.counter.clear()
		}
		if f.Kind == "counter_split" {
			w.counter.split()
		}
	}
}

func (w *World) injectBackendFault(h *activeFault) {
	f := h.fault
	switch f.Kind {
	case "replace", "pauses":
		if f.Kind == "pauses" {
			w.attachFault(h)
		}
		w.faultStep(h.index, 0, h)
	case "death", "zone_loss":
		for _, i := range h.targets {
			w.crashBackend(w.backends[i])
		}
	default:
		w.attachFault(h)
		if f.Kind == "silence" {
			for _, i := range h.targets {
				w.announce(w.backends[i], gate.Gone, w.s.Discovery.SilentMs.At(w.rng.faults.Float64()))
			}
		}
	}
}

// attachFault has a fault strike its backends from now on.
func (w *World) attachFault(h *activeFault) {
	for _, i := range h.targets {
		b := w.backends[i]
		b.advance(w.now)
		b.faults = append(b.faults, h)
		b.scheduleFinish(w)
	}
}

func (w *World) crashBackend(b *backend) {
	b.crash(w)
	w.announce(b, gate.Gone, w.s.Discovery.NoticeMs.At(w.rng.faults.Float64()))
}

// restartBackend starts a backend's process anew, where it is.
func (w *World) restartBackend(b *backend) {
	b.start(w)
	b.scheduleFinish(w)
	w.announce(b, gate.Up, 0)
}

func (w *World) injectDoorFault(h *activeFault) {
	if h.fault.Kind == "door_deaths" {
		for _, i := range h.targets {
			w.doors[i].crash(w)
		}
		return
	}
	w.faultStep(h.index, 0, h)
}

func (w *World) endFault(h *activeFault) {
	f := h.fault
	for _, i := range h.targets {
		switch scenario.Kinds[f.Kind].Whom {
		case scenario.Backends:
			b := w.backends[i]
			b.advance(w.now)
			b.faults = slices.DeleteFunc(slices.Clone(b.faults), func(x *activeFault) bool { return x == h })
			switch f.Kind {
			case "death", "zone_loss":
				if !b.up {
					w.restartBackend(b)
				}
			case "silence": // the machine is back; what was open to it is reset
				b.crash(w)
				w.restartBackend(b)
			case "pauses":
				b.paused = false
			case "hang": // those that hung are cut loose, and nothing comes of them
			}
			b.scheduleFinish(w)
		case scenario.Doors:
			if f.Kind == "door_deaths" {
				w.doors[i].start(w)
			}
		}
	}
	if f.Kind == "counter_split" {
		w.counter.heal()
	}
	w.clients.endFault(w, h)
}

const (
	maxShutdown    = 3700 // ms that a door which leaves is given to answer what it took
	defaultBatches = 10   // batches where the fault names none
)

// faultStep goes on with a fault that goes in steps.
func (w *World) faultStep(n, step int, h *activeFault) {
	f := h.fault
	if f.Kind == "pauses" {
		w.togglePause(step, h)
		return
	}
	if f.MostOut > 0 {
		w.stepWithinPermits(n, step, h)
		return
	}
	batches := f.Batches
	if batches == 0 {
		batches = defaultBatches
	}
	from, to := len(h.targets)*step/batches, len(h.targets)*(step+1)/batches
	for _, i := range h.targets[from:to] {
		if f.Kind == "replace" {
			w.replace(w.backends[i], f.Much*1000)
		} else if d := w.doors[i]; d.up {
			d.restart(w, f.Much*1000)
		}
	}
	if step+1 < batches {
		w.schedule(w.now+f.ForS*1000/float64(batches), event{kind: eventFaultStep, index: n, arg: step + 1, payload: h})
	}
}

const (
	permitCheckInterval = 200.0  // ms between looks whether a place is free: sightings come twice a second
	doorWarmup          = 1000.0 // ms that a door serves before it counts as back
)

// stepWithinPermits has the next go as places are free, as permits would: a place is free once the one that went is back, ready and warm.
func (w *World) stepWithinPermits(n, step int, h *activeFault) {
	f := h.fault
	h.stillOut = slices.DeleteFunc(h.stillOut, func(out func() bool) bool { return !out() })
	for len(h.stillOut) < f.MostOut && step < len(h.targets) {
		if i := h.targets[step]; f.Kind == "replace" {
			if next := w.replace(w.backends[i], f.Much*1000); next != nil {
				h.stillOut = append(h.stillOut, func() bool { return !next.up || w.now < next.startedAt+next.machine.ColdS*1000 })
			}
		} else if d := w.doors[i]; d.up {
			d.restart(w, f.Much*1000)
			back := 0.0
			h.stillOut = append(h.stillOut, func() bool {
				if !d.up || d.stopping {
					back = w.now
				}
				return w.now < back+doorWarmup
			})
		}
		step++
	}
	if step < len(h.targets) {
		w.schedule(w.now+permitCheckInterval, event{kind: eventFaultStep, index: n, arg: step, payload: h})
	}
}

// togglePause stops the struck backends for a while, and lets them go on.
func (w *World) togglePause(step int, h *activeFault) {
	f := h.fault
	over := w.now >= f.End()*1000
	for _, i := range h.targets {
		b := w.backends[i]
		b.advance(w.now)
		b.paused = step%2 == 0 && !over
		b.scheduleFinish(w)
	}
	if over {
		return
	}
	rest := f.Much
	if step%2 == 1 {
		rest = f.EveryMs - f.Much
	}
	w.schedule(w.now+rest, event{kind: eventFaultStep, index: h.index, arg: step + 1, payload: h})
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
	w.schedule(w.now+drain, event{kind: eventFunc, payload: func() {
		b.status, b.listed = gate.Gone, false
		if b.up {
			b.crash(w)
		}
		w.announce(b, gate.Gone, 0)
	}})
	return next
}
