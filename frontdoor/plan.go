package frontdoor

import (
	"maps"
	"time"

	"github.com/swifthall/swifthall/gate"
)

// What goes out by plan: backends that the fleet has agreed to withhold, and the door itself.

// Withhold has the door send nothing new to the backends named, in place of those named before; to the decisions they drain.
// done is called once the decisions have been told, and must not block. No request waits for it.
func (d *Door) Withhold(names []string, done func()) {
	w := withholdRequest{map[string]bool{}, done}
	for _, n := range names {
		w.names[n] = true
	}
	d.core.post(w)
}

type withholdRequest struct {
	names map[string]bool
	done  func()
}

func (n withholdRequest) handle(c *core) {
	before := c.withheld
	c.withheld = n.names
	if !maps.Equal(before, n.names) {
		ev := gate.Fleet{}
		for i := range c.backends {
			if b := &c.backends[i]; b.listed && before[b.id] != n.names[b.id] {
				ev.Entries = append(ev.Entries, c.gateEntry(i))
			}
		}
		if len(ev.Entries) > 0 {
			c.fleetChanged(ev)
		}
	}
	c.afterDecide = append(c.afterDecide, n.done)
}

// Aside takes the door out by plan, or brings it back. Out, it isn't ready, each answer is its connection's last, and what
// still comes is served. It goes out only until a time: a process that was stopped on the way to the step doesn't take it.
// done hears at the step whether it was taken, and must not block.
func (d *Door) Aside(out bool, until time.Time, done func(taken bool)) {
	d.core.post(serviceRequest{out, until, done})
}

type serviceRequest struct {
	out   bool
	until time.Time
	done  func(bool)
}

func (n serviceRequest) handle(c *core) {
	taken := !c.shuttingDown && (!n.out || time.Now().Before(n.until))
	if taken {
		c.outOfService, c.sweepAt = n.out, 0
		c.updateReady()
	}
	n.done(taken)
}

// Done is closed once the door has answered all that it took, and sends nothing any more.
func (d *Door) Done() <-chan struct{} { return d.core.done }

// Ready tells whether the door says that it can serve.
func (d *Door) Ready() bool { return d.core.ready.Load() }

// Listed is one backend as the door's list has it.
type Listed struct {
	ID, Zone string
	Size     float64
	Up       bool // by the list
	Warm     bool // it has run for as long as the terms let one be cold
	Started  float64
	Counts   Counts // of this door's attempts to it
}

// Told is what a door tells of itself.
type Told struct {
	Backends []Listed
	Counts   Counts
}

// Tell tells the door's list of backends and what it has done; nothing where the door has left.
func (d *Door) Tell() Told {
	got := make(chan Told, 1)
	d.core.post(snapshotRequest(got))
	select {
	case t := <-got:
		return t
	case <-d.core.done:
		return Told{}
	}
}

type snapshotRequest chan<- Told

func (n snapshotRequest) handle(c *core) {
	t := Told{Backends: []Listed{}, Counts: c.totals}
	now := c.clock.now()
	for i := range c.backends {
		if b := &c.backends[i]; b.listed {
			t.Backends = append(t.Backends, Listed{b.id, c.zones.ID(b.zone), b.size, b.status == gate.Up, now-b.startedAt >= c.cfg.Deal.Terms.ColdFor, float64(b.processStart), b.counts})
		}
	}
	n <- t
}
