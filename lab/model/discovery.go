package model

import (
	"math"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/lab/trace"
)

// listUpdate is a message of discovery to a door: the whole fleet list, or changes of it.
type listUpdate struct {
	complete bool
	entries  []listEntry
}

// listEntry is the entry of one backend on the fleet list.
type listEntry struct {
	backend   int
	status    gate.Status
	startedAt float64
}

// knownBackend is what a door last received about a backend.
type knownBackend struct {
	received  bool
	status    gate.Status
	startedAt float64
}

// announce sends a change of one backend to all subscribed doors, after the delay with which discovery notices it.
func (sim *Simulation) announce(b *backend, status gate.Status, noticeMs float64) {
	update := listUpdate{entries: []listEntry{{b.id, status, b.startedAt}}}
	sim.schedule(sim.now+noticeMs, event{kind: eventFunc, payload: func() {
		if status == gate.Gone && b.up && b.listed && b.startedAt > update.entries[0].startedAt {
			return // restarted before discovery noticed
		}
		for _, d := range sim.doors {
			if d.subscribed {
				sim.sendListUpdate(d, update)
			}
		}
	}})
}

// sendListUpdate sends an update to one door. Updates arrive in order; while discovery is silent or partitioned off, they wait.
func (sim *Simulation) sendListUpdate(d *door, n listUpdate) {
	at := sim.now + d.listDelay
	late, _ := sim.faultMagnitude("list_late")
	at += late
	for _, af := range sim.faults {
		if af.spec.Kind == "list_silent" || af.spec.Kind == "zone_cut" && (d.zone == *af.spec.Zone) != (*af.spec.Zone == 0) {
			at = max(at, af.spec.End()*1000+d.listDelay)
		}
	}
	d.lastListAt = max(at, math.Nextafter(d.lastListAt, math.Inf(1)))
	sim.schedule(d.lastListAt, event{kind: eventListUpdate, index: d.id, arg: d.incarnation, payload: n})
}

// fullList returns the present list.
func (sim *Simulation) fullList() listUpdate {
	n := listUpdate{complete: true}
	for _, b := range sim.backends {
		if b.listed {
			status := b.status
			if !b.up {
				status = gate.Gone
			}
			if status != gate.Gone {
				n.entries = append(n.entries, listEntry{b.id, status, b.startedAt})
			}
		}
	}
	return n
}

// receiveListUpdate handles an update that has reached the door.
func (d *door) receiveListUpdate(sim *Simulation, incarnation int, n listUpdate) {
	if !d.up || d.incarnation != incarnation {
		return
	}
	if d.external != nil {
		d.recordList(sim, n)
		d.external.ListChanged(n.complete, backendEntries(sim, n))
		return
	}
	d.listUpdates = append(d.listUpdates, n)
	d.scheduleDecision(sim, sim.now)
}

// fleetUpdate returns an update as an event for the decider.
func (d *door) fleetUpdate(sim *Simulation, n listUpdate) gate.FleetUpdate {
	d.recordList(sim, n)
	f := gate.FleetUpdate{Complete: n.complete}
	for _, l := range n.entries {
		b := sim.backends[l.backend]
		startedAt := 0.0
		if l.startedAt > -epoch {
			startedAt = l.startedAt + epoch
		}
		f.Entries = append(f.Entries, gate.Entry{Backend: d.backendIDs.Add(l.backend), Zone: b.zone, Cell: b.cell, Status: l.status,
			StartedAt: startedAt, Weight: 1, RingPosition: index.Phase(uint64(l.backend) + 1)})
	}
	return f
}

// recordList updates what the door knows, and reports it to the sink.
func (d *door) recordList(sim *Simulation, n listUpdate) {
	if n.complete {
		present := make(map[int]bool, len(n.entries))
		for _, l := range n.entries {
			present[l.backend] = true
		}
		for i := range d.known {
			if t := &d.known[i]; t.received && !present[i] && t.status != gate.Gone {
				t.status = gate.Gone
				sim.emit(trace.Event{Kind: trace.StatusSeen, Door: d.id, Backend: i, Status: gate.Gone})
			}
		}
	}
	for _, l := range n.entries {
		for len(d.known) <= l.backend {
			d.known = append(d.known, knownBackend{})
			d.idle = append(d.idle, idleConns{})
		}
		d.known[l.backend] = knownBackend{true, l.status, l.startedAt}
		sim.emit(trace.Event{Kind: trace.StatusSeen, Door: d.id, Backend: l.backend, Status: l.status})
	}
}
