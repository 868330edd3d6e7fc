package model

import (
	"slices"

	"github.com/swifthall/swifthall/gate"
)

const updateBatchDelay = 50 // ms over which changes of the doors present are combined into one update

// scheduleDoorsUpdate notifies all doors that one has started or gone, after the delay that the scenario sets. The membership
// protocol itself is simulated by lab/procs; here all doors have the same view, with that delay.
func (w *World) scheduleDoorsUpdate(d *door) {
	if w.s.Fleet.MembersMs == 0 || d.external != nil {
		return
	}
	w.schedule(w.now+w.s.Fleet.MembersMs, event{kind: eventFunc, payload: func() {
		for len(w.present) < len(w.doors) {
			w.present = append(w.present, true)
		}
		if w.present[d.id] = d.up && !d.stopping; w.updatePending {
			return
		}
		w.updatePending = true
		w.schedule(w.now+updateBatchDelay, event{kind: eventFunc, payload: func() {
			w.updatePending = false
			for _, o := range w.doors {
				if o.up {
					o.inbox = append(o.inbox, w.doorsUpdate())
					o.scheduleDecision(w, w.now)
				}
			}
		}})
	}})
}

// doorsUpdate returns the event with the doors believed to be present.
func (w *World) doorsUpdate() gate.DoorsUpdate {
	e := gate.DoorsUpdate{Present: slices.Clone(w.present), PresentCount: len(w.doors)}
	for _, present := range e.Present {
		if !present {
			e.PresentCount--
		}
	}
	return e
}
