package model

import (
	"math"
	"slices"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
)

// activeFault is a fault from its injection to its end.
type activeFault struct {
	spec     *scenario.Fault
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
		af := &activeFault{spec: f, index: n, class: slices.IndexFunc(w.s.Classes, func(p scenario.Class) bool { return p.Name == f.Class })}
		if f.ForS > 0 {
			w.faults = append(w.faults, af)
			w.schedule(f.End()*1000, event{kind: eventFault, index: n})
		}
		w.injectFault(af)
		return
	}
	for i, af := range w.faults {
		if af.index == n {
			w.faults = append(w.faults[:i:i], w.faults[i+1:]...)
			w.endFault(af)
			return
		}
	}
}

// injectFault applies the beginning of a fault to its targets.
func (w *World) injectFault(af *activeFault) {
	f := af.spec
	switch scenario.Kinds[f.Kind].Whom {
	case scenario.Backends:
		af.targets = w.pickTargets(len(w.backends), f.Share, func(i int) bool {
			b := w.backends[i]
			return b.listed && b.status == gate.Up && b.up && (f.Zone == nil || b.zone == *f.Zone)
		})
		w.injectBackendFault(af)
	case scenario.Doors:
		af.targets = w.pickTargets(len(w.doors), f.Share, func(i int) bool {
			return w.doors[i].up && (f.Zone == nil || w.doors[i].zone == *f.Zone)
		})
		w.injectDoorFault(af)
	case scenario.Clientele:
		w.clients.injectFault(w, af, f.AtS*1000)
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
func (w *World) injectBackendFault(af *activeFault) {
	f := af.spec
	switch f.Kind {
	case "replace", "pauses":
		if f.Kind == "pauses" {
			w.attachFault(af)
		}
		w.faultStep(af.index, 0, af)
	case "death", "zone_loss":
		for _, i := range af.targets {
			w.crashBackend(w.backends[i])
		}
	default:
		w.attachFault(af)
		if f.Kind == "silence" {
			for _, i := range af.targets {
				w.announce(w.backends[i], gate.Gone, w.s.Discovery.SilentMs.At(w.rng.faults.Float64()))
			}
		}
	}
}

// attachFault makes a fault affect its target backends from now on.
func (w *World) attachFault(af *activeFault) {
	for _, i := range af.targets {
		b := w.backends[i]
		b.advance(w.now)
		b.faults = append(b.faults, af)
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
func (w *World) injectDoorFault(af *activeFault) {
	if af.spec.Kind == "door_deaths" {
		for _, i := range af.targets {
			w.doors[i].crash(w)
		}
		return
	}
	w.faultStep(af.index, 0, af)
}

// endFault undoes a fault at its end.
func (w *World) endFault(af *activeFault) {
	f := af.spec
	for _, i := range af.targets {
		switch scenario.Kinds[f.Kind].Whom {
		case scenario.Backends:
			b := w.backends[i]
			b.advance(w.now)
			b.faults = slices.DeleteFunc(slices.Clone(b.faults), func(x *activeFault) bool { return x == af })
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
	w.clients.endFault(w, af)
}

const (
	maxShutdown    = 3700 // ms in which a door that shuts down must answer its requests
	defaultBatches = 10   // batches of a fault that sets no number
)

// faultStep executes one step of a fault that proceeds in steps.
func (w *World) faultStep(n, step int, af *activeFault) {
	f := af.spec
	if f.Kind == "pauses" {
		w.togglePause(step, af)
		return
	}
	if f.MostOut > 0 {
		w.stepWithinPermits(n, step, af)
		return
	}
	batches := f.Batches
	if batches == 0 {
		batches = defaultBatches
	}
	from, to := len(af.targets)*step/batches, len(af.targets)*(step+1)/batches
	for _, i := range af.targets[from:to] {
		if f.Kind == "replace" {
			w.replace(w.backends[i], f.Much*1000)
		} else if d := w.doors[i]; d.up {
			d.restart(w, f.Much*1000)
		}
	}
	if step+1 < batches {
		w.schedule(w.now+f.ForS*1000/float64(batches), event{kind: eventFaultStep, index: n, arg: step + 1, payload: af})
	}
}

const (
	permitCheckInterval = 200.0  // ms between checks for a free place; sightings come twice a second
	doorWarmup          = 1000.0 // ms for which a door must serve before it counts as back
)

// stepWithinPermits takes the next targets out as places become free, as permits would: at most MostOut are out at a time, and
// a place becomes free once the target that occupied it is back, ready and warm.
func (w *World) stepWithinPermits(n, step int, af *activeFault) {
	f := af.spec
	af.stillOut = slices.DeleteFunc(af.stillOut, func(out func() bool) bool { return !out() })
	for len(af.stillOut) < f.MostOut && step < len(af.targets) {
		if i := af.targets[step]; f.Kind == "replace" {
			if next := w.replace(w.backends[i], f.Much*1000); next != nil {
				af.stillOut = append(af.stillOut, func() bool { return !next.up || w.now < next.startedAt+next.machine.ColdS*1000 })
			}
		} else if d := w.doors[i]; d.up {
			d.restart(w, f.Much*1000)
			back := 0.0
			af.stillOut = append(af.stillOut, func() bool {
				if !d.up || d.stopping {
					back = w.now
				}
				return w.now < back+doorWarmup
			})
		}
		step++
	}
	if step < len(af.targets) {
		w.schedule(w.now+permitCheckInterval, event{kind: eventFaultStep, index: n, arg: step, payload: af})
	}
}

// togglePause pauses the target backends or lets them continue, in turns until the fault ends.
func (w *World) togglePause(step int, af *activeFault) {
	f := af.spec
	ended := w.now >= f.End()*1000
	for _, i := range af.targets {
		b := w.backends[i]
		b.advance(w.now)
		b.paused = step%2 == 0 && !ended
		b.scheduleFinish(w)
	}
	if ended {
		return
	}
	duration := f.Much
	if step%2 == 1 {
		duration = f.EveryMs - f.Much
	}
	w.schedule(w.now+duration, event{kind: eventFaultStep, index: af.index, arg: step + 1, payload: af})
}

// replace drains a backend and ends it, and starts its successor on a machine of its own right away. It returns the successor,
// or nil if the backend is not up.
func (w *World) replace(b *backend, drainMs float64) (next *backend) {
	if !b.listed || b.status != gate.Up {
		return nil
	}
	b.status = gate.Draining
	w.announce(b, gate.Draining, 0)
	next = w.addBackend(b.zone, b.cell, b.machine)
	next.listed = true
	next.start(w)
	w.announce(next, gate.Up, 0)
	w.schedule(w.now+drainMs, event{kind: eventFunc, payload: func() {
		b.status, b.listed = gate.Gone, false
		if b.up {
			b.crash(w)
		}
		w.announce(b, gate.Gone, 0)
	}})
	return next
}
