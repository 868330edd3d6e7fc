package model

import (
	"slices"

	"github.com/swifthall/swifthall/gate"
)

const updateBatchDelay = 50 // ms in which what doors come to know of others is told as one

// scheduleDoorsUpdate has all doors know, after the scenario's time for it, that one has come or gone. How they come to know is
// lab/procs' matter; here they all know alike, and late.
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

// doorsUpdate words who is believed to be here.
func (w *World) doorsUpdate() gate.DoorsUpdate {
	e := gate.DoorsUpdate{Present: slices.Clone(w.present), PresentCount: len(w.doors)}
	for _, here := range e.Present {
		if !here {
			e.PresentCount--
		}
	}
	return e
}
