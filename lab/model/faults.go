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
func (sim *Simulation) pickTargets(n int, share float64, eligible func(i int) bool) []int {
	var all []int
	for i := range n {
		if eligible(i) {
			all = append(all, i)
		}
	}
	if share == 0 {
		share = 1
	}
	sim.rng.faults.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), max(1, int(math.Round(share*float64(len(all))))))]
	slices.Sort(all)
	return all
}

// toggleFault begins or ends a fault of the scenario's schedule.
func (sim *Simulation) toggleFault(n int, begins bool) {
	f := &sim.s.Faults[n]
	if begins {
		af := &activeFault{spec: f, index: n, class: slices.IndexFunc(sim.s.Classes, func(p scenario.Class) bool { return p.Name == f.Class })}
		if f.ForS > 0 {
			sim.faults = append(sim.faults, af)
			sim.schedule(f.End()*1000, event{kind: eventFault, index: n})
		}
		sim.injectFault(af)
		return
	}
	for i, af := range sim.faults {
		if af.index == n {
			sim.faults = append(sim.faults[:i:i], sim.faults[i+1:]...)
			sim.endFault(af)
			return
		}
	}
}

// injectFault applies the beginning of a fault to its targets.
func (sim *Simulation) injectFault(af *activeFault) {
	f := af.spec
	switch scenario.Kinds[f.Kind].Target {
	case scenario.TargetBackends:
		af.targets = sim.pickTargets(len(sim.backends), f.Share, func(i int) bool {
			b := sim.backends[i]
			return b.listed && b.status == gate.Up && b.up && (f.Zone == nil || b.zone == *f.Zone)
		})
		sim.injectBackendFault(af)
	case scenario.TargetDoors:
		af.targets = sim.pickTargets(len(sim.doors), f.Share, func(i int) bool {
			return sim.doors[i].up && (f.Zone == nil || sim.doors[i].zone == *f.Zone)
		})
		sim.injectDoorFault(af)
	case scenario.TargetClients:
		sim.clients.injectFault(sim, af, f.AtS*1000)
	default:
		if f.Kind == "counter_empty" {
			sim.counter.clear()
		}
		if f.Kind == "counter_split" {
			sim.counter.split()
		}
	}
}

// injectBackendFault injects a fault into the backends that it targets.
func (sim *Simulation) injectBackendFault(af *activeFault) {
	f := af.spec
	switch f.Kind {
	case "replace", "pauses":
		if f.Kind == "pauses" {
			sim.attachFault(af)
		}
		sim.faultStep(af.index, 0, af)
	case "death", "zone_loss":
		for _, i := range af.targets {
			sim.crashBackend(sim.backends[i])
		}
	default:
		sim.attachFault(af)
		if f.Kind == "silence" {
			for _, i := range af.targets {
				sim.announce(sim.backends[i], gate.Gone, sim.s.Discovery.SilentMs.At(sim.rng.faults.Float64()))
			}
		}
	}
}

// attachFault makes a fault affect its target backends from now on.
func (sim *Simulation) attachFault(af *activeFault) {
	for _, i := range af.targets {
		b := sim.backends[i]
		b.advance(sim.now)
		b.faults = append(b.faults, af)
		b.scheduleFinish(sim)
	}
}

// crashBackend ends a backend's process, which discovery notices after a while.
func (sim *Simulation) crashBackend(b *backend) {
	b.crash(sim)
	sim.announce(b, gate.Gone, sim.s.Discovery.NoticeMs.At(sim.rng.faults.Float64()))
}

// restartBackend starts a backend's process again in place.
func (sim *Simulation) restartBackend(b *backend) {
	b.start(sim)
	b.scheduleFinish(sim)
	sim.announce(b, gate.Up, 0)
}

// injectDoorFault injects a fault into the doors that it targets.
func (sim *Simulation) injectDoorFault(af *activeFault) {
	if af.spec.Kind == "door_deaths" {
		for _, i := range af.targets {
			sim.doors[i].crash(sim)
		}
		return
	}
	sim.faultStep(af.index, 0, af)
}

// endFault undoes a fault at its end.
func (sim *Simulation) endFault(af *activeFault) {
	f := af.spec
	for _, i := range af.targets {
		switch scenario.Kinds[f.Kind].Target {
		case scenario.TargetBackends:
			b := sim.backends[i]
			b.advance(sim.now)
			b.faults = slices.DeleteFunc(slices.Clone(b.faults), func(x *activeFault) bool { return x == af })
			switch f.Kind {
			case "death", "zone_loss":
				if !b.up {
					sim.restartBackend(b)
				}
			case "silence": // the machine is reachable again; connections to it are reset
				b.crash(sim)
				sim.restartBackend(b)
			case "pauses":
				b.paused = false
			case "hang": // requests that hung stay unanswered
			}
			b.scheduleFinish(sim)
		case scenario.TargetDoors:
			if f.Kind == "door_deaths" {
				sim.doors[i].start(sim)
			}
		}
	}
	if f.Kind == "counter_split" {
		sim.counter.heal()
	}
	sim.clients.endFault(sim, af)
}

const (
	maxShutdown    = 3700 // ms in which a door that shuts down must answer its requests
	defaultBatches = 10   // batches of a fault that sets no number
)

// faultStep executes one step of a fault that proceeds in steps.
func (sim *Simulation) faultStep(n, step int, af *activeFault) {
	f := af.spec
	if f.Kind == "pauses" {
		sim.togglePause(step, af)
		return
	}
	if f.MostOut > 0 {
		sim.stepWithinPermits(n, step, af)
		return
	}
	batches := f.Batches
	if batches == 0 {
		batches = defaultBatches
	}
	from, to := len(af.targets)*step/batches, len(af.targets)*(step+1)/batches
	for _, i := range af.targets[from:to] {
		if f.Kind == "replace" {
			sim.replace(sim.backends[i], f.Much*1000)
		} else if d := sim.doors[i]; d.up {
			d.restart(sim, f.Much*1000)
		}
	}
	if step+1 < batches {
		sim.schedule(sim.now+f.ForS*1000/float64(batches), event{kind: eventFaultStep, index: n, arg: step + 1, payload: af})
	}
}

const (
	permitCheckInterval = 200.0  // ms between checks for a free place; sightings come twice a second
	doorWarmup          = 1000.0 // ms for which a door must serve before it counts as back
)

// stepWithinPermits takes the next targets out as places become free, as permits would: at most MostOut are out at a time, and
// a place becomes free once the target that occupied it is back, ready and warm.
func (sim *Simulation) stepWithinPermits(n, step int, af *activeFault) {
	f := af.spec
	af.stillOut = slices.DeleteFunc(af.stillOut, func(out func() bool) bool { return !out() })
	for len(af.stillOut) < f.MostOut && step < len(af.targets) {
		if i := af.targets[step]; f.Kind == "replace" {
			if next := sim.replace(sim.backends[i], f.Much*1000); next != nil {
				af.stillOut = append(af.stillOut, func() bool { return !next.up || sim.now < next.startedAt+next.machine.ColdS*1000 })
			}
		} else if d := sim.doors[i]; d.up {
			d.restart(sim, f.Much*1000)
			back := 0.0
			af.stillOut = append(af.stillOut, func() bool {
				if !d.up || d.stopping {
					back = sim.now
				}
				return sim.now < back+doorWarmup
			})
		}
		step++
	}
	if step < len(af.targets) {
		sim.schedule(sim.now+permitCheckInterval, event{kind: eventFaultStep, index: n, arg: step, payload: af})
	}
}

// togglePause pauses the target backends or lets them continue, in turns until the fault ends.
func (sim *Simulation) togglePause(step int, af *activeFault) {
	f := af.spec
	ended := sim.now >= f.End()*1000
	for _, i := range af.targets {
		b := sim.backends[i]
		b.advance(sim.now)
		b.paused = step%2 == 0 && !ended
		b.scheduleFinish(sim)
	}
	if ended {
		return
	}
	duration := f.Much
	if step%2 == 1 {
		duration = f.EveryMs - f.Much
	}
	sim.schedule(sim.now+duration, event{kind: eventFaultStep, index: af.index, arg: step + 1, payload: af})
}

// replace drains a backend and ends it, and starts its successor on a machine of its own right away. It returns the successor,
// or nil if the backend is not up.
func (sim *Simulation) replace(b *backend, drainMs float64) (next *backend) {
	if !b.listed || b.status != gate.Up {
		return nil
	}
	b.status = gate.Draining
	sim.announce(b, gate.Draining, 0)
	next = sim.addBackend(b.zone, b.cell, b.machine)
	next.listed = true
	next.start(sim)
	sim.announce(next, gate.Up, 0)
	sim.schedule(sim.now+drainMs, event{kind: eventFunc, payload: func() {
		b.status, b.listed = gate.Gone, false
		if b.up {
			b.crash(sim)
		}
		sim.announce(b, gate.Gone, 0)
	}})
	return next
}
