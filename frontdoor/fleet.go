package frontdoor

import (
	"context"
	"math"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/internal/registry"
)

// fleetUpdate reports a change of the fleet list that a watch received.
type fleetUpdate struct {
	list         registry.List
	watch        int     // number of the watch
	lastReceived float64 // clock at which a watch had last received anything before this list began, ms; 0 is never
}

func (u fleetUpdate) handle(c *core) {
	if u.watch != c.watchNumber { // that watch has been replaced
		return
	}
	ev := gate.FleetUpdate{Complete: u.list.Whole}
	if u.list.Whole {
		for i := range c.backends {
			c.backends[i].eligible, c.backends[i].status = false, gate.Gone
		}
	}
	addresses := map[string]int{} // of the backends in this update that are up
	for _, e := range u.list.Backends {
		i := c.backendIDs.Add(e.ID)
		if i == len(c.backends) {
			c.backends = append(c.backends, backend{})
			c.memory.take(backendMemory)
		}
		b := &c.backends[i]
		if e.Addr != "" && e.Addr != b.addr || wallTime(e.Started) != b.processStart {
			b.process.Listed()
		}
		c.setProcessStart(b, wallTime(e.Started), u.lastReceived)
		b.id, b.status, b.weight, b.listed = e.ID, e.Status(), e.Weight, true
		b.zone, b.cell = c.zones.Add(e.Zone), c.cells.Add(e.Cell)
		if e.Addr != "" {
			b.addr = e.Addr
		}
		if b.status == gate.Up {
			addresses[b.addr] = i
		}
		ev.Entries = append(ev.Entries, c.gateEntry(i))
	}
	for _, i := range c.releaseAddresses(addresses) {
		ev.Entries = append(ev.Entries, c.gateEntry(i))
	}
	c.fleetChanged(ev)
}

// setProcessStart records the listed start of a backend's process and converts it to the door's clock at once, as the wall clock
// may be stepped later. A start that was not listed before happened after discovery last sent something, which bounds its age;
// while the door has received nothing (at its own start), the wall clock alone decides.
func (c *core) setProcessStart(b *backend, process wallTime, lastReceived float64) {
	switch {
	case process == 0:
		b.startedAt = 0
	case process != b.processStart || b.startedAt == 0:
		now, limit := c.clock.now(), math.Inf(1)
		if lastReceived > 0 {
			limit = now - lastReceived
		}
		b.startedAt = now - c.clock.elapsedSince(process, limit)
	}
	b.processStart = process
}

// gateEntry returns a backend's fleet list entry for the decider and updates whether the backend is eligible. A withheld backend
// that is listed as up is reported as draining.
func (c *core) gateEntry(i int) gate.Entry {
	b := &c.backends[i]
	status := b.status
	if c.withheld[b.id] && status == gate.Up {
		status = gate.Draining
	}
	b.eligible = status == gate.Up
	return gate.Entry{Backend: i, Zone: b.zone, Cell: b.cell, Status: status, StartedAt: b.startedAt, Weight: b.weight, RingPosition: index.NamePhase(b.id)}
}

// fleetChanged withdraws connections to backends that are no longer eligible and reports the change to the decider.
func (c *core) fleetChanged(ev gate.FleetUpdate) {
	for conn := range c.backendConns {
		if !c.backends[conn.backend].usable(conn) {
			c.withdrawConn(conn)
		}
	}
	c.pending = append(c.pending, ev)
	c.updateReady()
}

// withdrawConn closes a connection that must carry no new attempts, if it is idle or its attempt has not begun to be written. An
// attempt that has begun goes on.
func (c *core) withdrawConn(conn *backendConn) {
	att := conn.attempt
	switch {
	case att == nil:
		c.closeConn(conn)
	case !att.ended && att.stage.CompareAndSwap(stageWaiting, stageDropped):
		c.closeConn(conn)
		c.finish(att, outcomeAbandonedUnsent, c.now, -1, -1)
	}
}

// discoveryAttempted reports that discovery has been asked once, with or without an answer.
type discoveryAttempted struct{}

func (discoveryAttempted) handle(c *core) {
	c.discoveryTried = true
	c.updateReady()
}

// discoveryCalled reports that a call of discovery has begun.
type discoveryCalled struct{}

func (discoveryCalled) handle(c *core) { c.tally.discoveryCalls++ }

// watchEnded reports that a watch has ended, or could not be opened.
type watchEnded struct{}

func (watchEnded) handle(c *core) { c.tally.watchesEnded++ }

// updateReady updates the door's readiness: it is ready once discovery has been asked and a backend is eligible.
func (c *core) updateReady() {
	can := false
	for i := range c.backends {
		can = can || c.backends[i].eligible
	}
	c.ready.Store(can && c.discoveryTried && !c.shuttingDown && !c.outOfService)
	if c.discoveryTried && !c.outOfService {
		c.admitClients()
	}
}

// admitClients lets clients be accepted, from a listener that another process may serve as well.
func (c *core) admitClients() { c.admitOnce.Do(func() { close(c.admitted) }) }

// removeBackend removes a backend that is gone and frees its index. The next backend that gets the index must inherit nothing
// from it.
func (c *core) removeBackend(i int) {
	for conn := range c.backendConns {
		if conn.backend == i {
			c.closeConn(conn)
		}
	}
	zone, cell := c.backends[i].zone, c.backends[i].cell
	c.backends[i] = backend{}
	c.backendIDs.Drop(i)
	lastZone, lastCell := true, true
	for j := range c.backends {
		b := &c.backends[j]
		lastZone = lastZone && !(b.listed && b.zone == zone)
		lastCell = lastCell && !(b.listed && b.cell == cell)
	}
	if lastZone {
		c.zones.Drop(zone)
	}
	if lastCell {
		c.cells.Drop(cell)
	}
}

func sleepMs(ctx context.Context, ms float64) { sleep(ctx, duration(ms)) }

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}
