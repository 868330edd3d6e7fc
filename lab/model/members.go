package model

import (
	"slices"

	"github.com/swifthall/swifthall/gate"
)

const togetherFor = 50 // ms in which what doors come to know of others is told as one

// moved has all doors know, after the scenario's time for it, that one has come or gone. How they come to know is
// lab/procs' matter; here they all know alike, and late.
func (w *World) moved(d *door) {
	if w.s.Fleet.MembersMs == 0 || d.outer != nil {
		return
	}
	w.at(w.now+w.s.Fleet.MembersMs, due{kind: dueStart, p: func() {
		for len(w.here) < len(w.doors) {
			w.here = append(w.here, true)
		}
		if w.here[d.id] = d.up && !d.leaving; w.telling {
			return
		}
		w.telling = true
		w.at(w.now+togetherFor, due{kind: dueStart, p: func() {
			w.telling = false
			for _, o := range w.doors {
				if o.up {
					o.inbox = append(o.inbox, w.present())
					o.wake(w, w.now)
				}
			}
		}})
	}})
}

// present words who is believed to be here.
func (w *World) present() gate.DoorsUpdate {
	e := gate.DoorsUpdate{Present: slices.Clone(w.here), PresentCount: len(w.doors)}
	for _, here := range e.Present {
		if !here {
			e.PresentCount--
		}
	}
	return e
}
