package frontdoor

import (
	"maps"
	"time"

	"github.com/swifthall/swifthall/gate"
)

// Planned maintenance: withholding backends and taking the door itself out of service, as the fleet has agreed.

// Withhold makes the door send nothing new to the named backends, which replace those named before; the decider sees them as
// draining. done is called once the decider has been notified, and must not block. No request waits for it.
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

func (r withholdRequest) handle(c *core) {
	before := c.withheld
	c.withheld = r.names
	if !maps.Equal(before, r.names) {
		ev := gate.FleetUpdate{}
		for i := range c.backends {
			if b := &c.backends[i]; b.listed && before[b.id] != r.names[b.id] {
				ev.Entries = append(ev.Entries, c.gateEntry(i))
			}
		}
		if len(ev.Entries) > 0 {
			c.fleetChanged(ev)
		}
	}
	c.afterDecide = append(c.afterDecide, r.done)
}

// SetOutOfService takes the door out of service, or brings it back. Out of service, the door is not ready, closes each connection
// with its next answer, and serves the requests that still arrive. It goes out only before until: a process that was suspended in
// between does not act on an outdated request. done is called with whether the change was made, and must not block.
func (d *Door) SetOutOfService(out bool, until time.Time, done func(taken bool)) {
	d.core.post(outOfServiceRequest{out, until, done})
}

type outOfServiceRequest struct {
	out   bool
	until time.Time
	done  func(bool)
}

func (r outOfServiceRequest) handle(c *core) {
	taken := !c.shuttingDown && (!r.out || time.Now().Before(r.until))
	if taken {
		c.outOfService, c.sweepAt = r.out, 0
		c.updateReady()
	}
	r.done(taken)
}

// Done returns a channel that is closed once the door has answered all accepted requests and sends nothing more.
func (d *Door) Done() <-chan struct{} { return d.core.done }

// Ready reports whether the door is ready to serve, as its readiness endpoint does.
func (d *Door) Ready() bool { return d.core.ready.Load() }

// BackendSnapshot is the state of one backend on the door's list.
type BackendSnapshot struct {
	ID, Zone string
	Weight   float64
	Up       bool // up on the list; a withheld backend may be
	Warm     bool // it has run for at least Terms.ColdFor
	Started  float64
	Counts   Counts // of this door's attempts to the backend
}

// Snapshot is the state of a door.
type Snapshot struct {
	Backends []BackendSnapshot
	Counts   Counts
}

// Snapshot returns the door's list of backends and its counts since the start. It returns the zero value once the door has ended.
func (d *Door) Snapshot() Snapshot {
	got := make(chan Snapshot, 1)
	d.core.post(snapshotRequest(got))
	select {
	case t := <-got:
		return t
	case <-d.core.done:
		return Snapshot{}
	}
}

type snapshotRequest chan<- Snapshot

func (r snapshotRequest) handle(c *core) {
	t := Snapshot{Backends: []BackendSnapshot{}, Counts: c.totals}
	now := c.clock.now()
	for i := range c.backends {
		if b := &c.backends[i]; b.listed {
			t.Backends = append(t.Backends, BackendSnapshot{b.id, c.zones.ID(b.zone), b.size, b.status == gate.Up, now-b.startedAt >= c.cfg.Settings.Terms.WarmupTime, float64(b.processStart), b.counts})
		}
	}
	r <- t
}
