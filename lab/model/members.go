package model

import (
	"slices"

	"github.com/swifthall/swifthall/gate"
)

const updateBatchDelay = 50 // ms over which changes of the doors present are combined into one update

// scheduleDoorsUpdate notifies all doors that one has started or gone, after the delay that the scenario sets. The membership
// protocol itself is simulated by lab/procs; here all doors have the same view, with that delay.
func (sim *Simulation) scheduleDoorsUpdate(d *door) {
	if sim.s.Fleet.MembersMs == 0 || d.external != nil {
		return
	}
	sim.schedule(sim.now+sim.s.Fleet.MembersMs, event{kind: eventFunc, payload: func() {
		for len(sim.present) < len(sim.doors) {
			sim.present = append(sim.present, true)
		}
		if sim.present[d.id] = d.up && !d.stopping; sim.updatePending {
			return
		}
		sim.updatePending = true
		sim.schedule(sim.now+updateBatchDelay, event{kind: eventFunc, payload: func() {
			sim.updatePending = false
			for _, o := range sim.doors {
				if o.up {
					o.inbox = append(o.inbox, sim.doorsUpdate())
					o.scheduleDecision(sim, sim.now)
				}
			}
		}})
	}})
}

// doorsUpdate returns the event with the doors believed to be present.
func (sim *Simulation) doorsUpdate() gate.DoorsUpdate {
	e := gate.DoorsUpdate{Present: slices.Clone(sim.present), PresentCount: len(sim.doors)}
	for _, present := range e.Present {
		if !present {
			e.PresentCount--
		}
	}
	return e
}
