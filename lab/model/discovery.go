package model

import (
	"math"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/lab/trace"
)

// news is what a door is told of the list.
type news struct {
	whole   bool
	entries []line
}

// line is one backend as the list has it.
type line struct {
	backend int
	status  gate.Status
	since   float64
}

// telling is what a door was last told of a backend.
type telling struct {
	known  bool
	status gate.Status
	since  float64
}

// announce sends a change of one backend to all doors, once the list has noticed it.
func (w *World) announce(b *backend, status gate.Status, notice float64) {
	one := news{entries: []line{{b.id, status, b.since}}}
	w.at(w.now+notice, due{kind: dueStart, p: func() {
		if status == gate.Gone && b.up && b.listed && b.since > one.entries[0].since {
			return // it is back before anyone noticed
		}
		for _, d := range w.doors {
			if d.tracking {
				w.pass(d, one)
			}
		}
	}})
}

// pass sends news to one door, in order; while discovery is silent they wait.
func (w *World) pass(d *door, n news) {
	at := w.now + d.listDelay
	late, _ := w.hurting("list_late")
	at += late
	for _, h := range w.hurts {
		if h.fault.Kind == "list_silent" || h.fault.Kind == "zone_cut" && (d.zone == *h.fault.Zone) != (*h.fault.Zone == 0) {
			at = max(at, h.fault.End()*1000+d.listDelay)
		}
	}
	d.listAt = max(at, math.Nextafter(d.listAt, math.Inf(1)))
	w.at(d.listAt, due{kind: dueList, n: d.id, m: d.life, p: n})
}

// whole is the list as it stands.
func (w *World) whole() news {
	n := news{whole: true}
	for _, b := range w.backends {
		if b.listed {
			status := b.status
			if !b.up {
				status = gate.Gone
			}
			if status != gate.Gone {
				n.entries = append(n.entries, line{b.id, status, b.since})
			}
		}
	}
	return n
}

// list takes news in.
func (d *door) list(w *World, life int, n news) {
	if !d.up || d.life != life {
		return
	}
	if d.outer != nil {
		d.note(w, n)
		d.outer.List(n.whole, lines(w, n))
		return
	}
	d.listed = append(d.listed, n)
	d.wake(w, w.now)
}

// hear words one piece of news for the decisions.
func (d *door) hear(w *World, n news) gate.FleetUpdate {
	d.note(w, n)
	f := gate.FleetUpdate{Complete: n.whole}
	for _, l := range n.entries {
		b := w.backends[l.backend]
		since := 0.0
		if l.since > -epoch {
			since = l.since + epoch
		}
		f.Entries = append(f.Entries, gate.Entry{Backend: d.names.Add(l.backend), Zone: b.zone, Cell: b.cell, Status: l.status,
			StartedAt: since, Weight: 1, RingPosition: index.Phase(uint64(l.backend) + 1)})
	}
	return f
}

// note books what the door knows from here on.
func (d *door) note(w *World, n news) {
	if n.whole {
		named := make(map[int]bool, len(n.entries))
		for _, l := range n.entries {
			named[l.backend] = true
		}
		for i := range d.told {
			if t := &d.told[i]; t.known && !named[i] && t.status != gate.Gone {
				t.status = gate.Gone
				w.tell(trace.Event{Kind: trace.StatusSeen, Door: d.id, Backend: i, Status: gate.Gone})
			}
		}
	}
	for _, l := range n.entries {
		for len(d.told) <= l.backend {
			d.told = append(d.told, telling{})
			d.idle = append(d.idle, idleConns{})
		}
		d.told[l.backend] = telling{true, l.status, l.since}
		w.tell(trace.Event{Kind: trace.StatusSeen, Door: d.id, Backend: l.backend, Status: l.status})
	}
}
