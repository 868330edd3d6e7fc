package model

import (
	"math"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
)

// activeFault is a fault from its injection to its end.
type activeFault struct {
	fault    *scenario.Fault
	index    int
	class    int           // the only class that it affects; -1 for all
	targets  []int         // backends or doors into which it was injected
	stillOut []func() bool // for faults that take out a few at a time: one check for each target taken out, whether it still is
}

// pickTargets draws the given share of the eligible indices from 0 to n-1, at least one if there is any. A share of 0 means all.
func (w *World) pickTargets(n int, share float64, eligible func(i int) bool) []int {
	var all []int
	for i := range n {
		if eligible(i) {
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

// toggleFault begins or ends a fault of the scenario's schedule.
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

// injectFault applies the beginning of a fault to its targets.
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

// injectBackendFault injects a fault into the backends that it targets.
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

// attachFault makes a fault affect its target backends from now on.
func (w *World) attachFault(h *activeFault) {
	for _, i := range h.targets {
		b := w.backends[i]
		b.advance(w.now)
		b.faults = append(b.faults, h)
		b.scheduleFinish(w)
	}
}

// crashBackend ends a backend's process, which discovery notices after a while.
func (w *World) crashBackend(b *backend) {
	b.crash(w)
	w.announce(b, gate.Gone, w.s.Discovery.NoticeMs.At(w.rng.faults.Float64()))
}

// restartBackend starts a backend's process again in place.
func (w *World) restartBackend(b *backend) {
	b.start(w)
	b.scheduleFinish(w)
	w.announce(b, gate.Up, 0)
}

// injectDoorFault injects a fault into the doors that it targets.
func (w *World) injectDoorFault(h *activeFault) {
	if h.fault.Kind == "door_deaths" {
		for _, i := range h.targets {
			w.doors[i].crash(w)
		}
		return
	}
	w.faultStep(h.index, 0, h)
}

// endFault undoes a fault at its end.
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
			case "silence": // the machine is reachable again; connections to it are reset
				b.crash(w)
				w.restartBackend(b)
			case "pauses":
				b.paused = false
			case "hang": // requests that hung stay unanswered
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
	maxShutdown    = 3700 // ms in which a door that shuts down must answer its requests
	defaultBatches = 10   // batches of a fault that sets no number
)

// faultStep executes one step of a fault that proceeds in steps.
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
	permitCheckInterval = 200.0  // ms between checks for a free place; sightings come twice a second
	doorWarmup          = 1000.0 // ms for which a door must serve before it counts as back
)

// stepWithinPermits takes the next targets out as places become free, as permits would: at most MostOut are out at a time, and
// a place becomes free once the target that occupied it is back, ready and warm.
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

// togglePause pauses the target backends or lets them continue, in turns until the fault ends.
func (w *World) togglePause(step int, h *activeFault) {
	f := h.fault
	ended := w.now >= f.End()*1000
	for _, i := range h.targets {
		b := w.backends[i]
		b.advance(w.now)
		b.paused = step%2 == 0 && !ended
		b.scheduleFinish(w)
	}
	if ended {
		return
	}
	rest := f.Much
	if step%2 == 1 {
		rest = f.EveryMs - f.Much
	}
	w.schedule(w.now+rest, event{kind: eventFaultStep, index: h.index, arg: step + 1, payload: h})
}

// replace drains a backend and ends it, and starts its successor on a machine of its own right away. It returns the successor,
// or nil if the backend is not up.
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
