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
	w := withheld{map[string]bool{}, done}
	for _, n := range names {
		w.names[n] = true
	}
	d.core.post(w)
}

type withheld struct {
	names map[string]bool
	done  func()
}

func (n withheld) take(c *core) {
	before := c.withheld
	c.withheld = n.names
	if !maps.Equal(before, n.names) {
		ev := gate.FleetUpdate{}
		for i := range c.backends {
			if b := &c.backends[i]; b.listed && before[b.id] != n.names[b.id] {
				ev.Entries = append(ev.Entries, c.entry(i))
			}
		}
		if len(ev.Entries) > 0 {
			c.news(ev)
		}
	}
	c.told = append(c.told, n.done)
}

// SetOutOfService takes the door out by plan, or brings it back. Out, it isn't ready, each answer is its connection's last, and what
// still comes is served. It goes out only until a time: a process that was stopped on the way to the step doesn't take it.
// done hears at the step whether it was taken, and must not block.
func (d *Door) SetOutOfService(out bool, until time.Time, done func(taken bool)) {
	d.core.post(aside{out, until, done})
}

type aside struct {
	out   bool
	until time.Time
	done  func(bool)
}

func (n aside) take(c *core) {
	taken := !c.leaving && (!n.out || time.Now().Before(n.until))
	if taken {
		c.aside, c.sweepAt = n.out, 0
		c.setReady()
	}
	n.done(taken)
}

// Done is closed once the door has answered all that it took, and sends nothing any more.
func (d *Door) Done() <-chan struct{} { return d.core.done }

// Ready tells whether the door says that it can serve.
func (d *Door) Ready() bool { return d.core.ready.Load() }

// BackendSnapshot is one backend as the door's list has it.
type BackendSnapshot struct {
	ID, Zone string
	Size     float64
	Up       bool // by the list
	Warm     bool // it has run for as long as the terms let one be cold
	Started  float64
	Counts   Counts // of this door's attempts to it
}

// Snapshot is what a door tells of itself.
type Snapshot struct {
	Backends []BackendSnapshot
	Counts   Counts
}

// Snapshot tells the door's list of backends and what it has done; nothing where the door has left.
func (d *Door) Snapshot() Snapshot {
	got := make(chan Snapshot, 1)
	d.core.post(asking(got))
	select {
	case t := <-got:
		return t
	case <-d.core.done:
		return Snapshot{}
	}
}

type asking chan<- Snapshot

func (n asking) take(c *core) {
	t := Snapshot{Backends: []BackendSnapshot{}, Counts: c.total}
	now := c.clock.now()
	for i := range c.backends {
		if b := &c.backends[i]; b.listed {
			t.Backends = append(t.Backends, BackendSnapshot{b.id, c.zones.ID(b.zone), b.size, b.status == gate.Up, now-b.since >= c.cfg.Settings.Terms.WarmupTime, float64(b.process), b.counts})
		}
	}
	n <- t
}
