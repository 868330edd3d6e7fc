package frontdoor

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/internal/sockio"
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
}

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

// startWatch starts a watch of the fleet list at an address, in place of the present one.
func (c *core) startWatch(addr string, version int64) {
	if c.cancelWatch != nil {
		c.cancelWatch()
	}
	c.watchNumber++
	var ctx context.Context
	ctx, c.cancelWatch = context.WithCancel(c.background)
	go c.runWatch(ctx, addr, version, c.watchNumber)
}

// runWatch keeps a watch of the fleet list until ctx ends. If the connection breaks, falls silent or is accepted but never
// answered, it dials again and resumes from the last version received; config.Pace bounds how long that takes, whatever failed
// before. Discovery sends what it knows at once: a door that has waited for the connect timeout becomes ready with the list it was
// configured with.
func (c *core) runWatch(ctx context.Context, addr string, version int64, number int) {
	defer time.AfterFunc(duration(c.cfg.Settings.ConnectTimeout), func() { c.post(discoveryAttempted{}) }).Stop()
	healthy, random := true, rand.New(rand.NewPCG(c.cfg.Seed, uint64(number)))
	pause := c.cfg.Pace.Redial
	for ctx.Err() == nil {
		err := c.watchOnce(ctx, addr, version, random, func(l registry.List, lastReceived float64) {
			version, pause = l.Version, c.cfg.Pace.Redial
			c.post(fleetUpdate{l, number, lastReceived})
			if !healthy {
				healthy = true
				c.log.Info("fleet watch restored")
			}
			c.post(discoveryAttempted{})
		})
		if ctx.Err() == nil {
			c.post(watchEnded{})
			if healthy {
				healthy = false
				c.log.WithError(err).Warn("fleet watch ended")
			}
		}
		sleepMs(ctx, shortened(pause, redialJitter, random))
		pause = min(2*pause, config.MaxRedialFactor*c.cfg.Pace.Redial)
	}
}

// Jitter: doors that lose discovery at the same moment would otherwise call it in step ever after. Each wait is shortened by a
// random part, at most this fraction.
const (
	redialJitter  = 0.5 // of a pause between dials, and of the wait for the first byte
	silenceJitter = 0.2 // of the time a watch may be silent; the rest stays above the 2 s within which discovery sends something
)

// shortened returns ms less a random fraction, at most limit.
func shortened(ms, limit float64, random *rand.Rand) float64 {
	return ms * (1 - limit*random.Float64())
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

// watchOnce watches the list over one connection and returns why it ended.
func (c *core) watchOnce(ctx context.Context, addr string, version int64, random *rand.Rand, received func(l registry.List, lastReceived float64)) error {
	if !c.budget.acquire(0) {
		return errNoSocket
	}
	defer c.budget.release()
	c.post(discoveryCalled{})
	began := time.Now()
	nc, err := c.dial(ctx, addr)
	if err != nil {
		return &WatchError{phaseConnecting, time.Since(began), 0, err}
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	buf := pool.Get()
	defer pool.Put(buf)
	wait := duration(shortened(c.cfg.Pace.FirstByte, redialJitter, random))
	firstBy := time.Now().Add(wait)
	if _, err := sockio.Write(nc, registry.AppendWatch(buf, addr, version), firstBy); err != nil {
		return &WatchError{phaseUnanswered, time.Since(began), 0, err}
	}
	return c.readWatch(nc, buf[:pool.Size], firstBy, random, received)
}

// listReceivedAt returns the clock at which a watch that has received a list last received anything, ms; 0 is never.
func (c *core) listReceivedAt() float64 { return math.Float64frombits(c.listReceived.Load()) }

// readWatch reads a watch's stream until it ends or falls silent. The first byte must arrive by firstBy.
func (c *core) readWatch(nc net.Conn, buf []byte, firstBy time.Time, random *rand.Rand, received func(l registry.List, lastReceived float64)) error {
	var w registry.Watch
	hasList := false // a list has arrived on this watch
	progress := WatchError{Phase: phaseUnanswered}
	lastByte := time.Now()
	nc.SetReadDeadline(firstBy)
	for {
		n, err := sockio.Read(nc, buf)
		lastReceived := c.listReceivedAt()
		if n > 0 {
			progress.Phase, progress.Received, lastByte = phaseAnswered, progress.Received+n, time.Now()
		}
		done, parseErr := w.Feed(buf[:n], func(l registry.List) {
			hasList = true
			received(l, lastReceived)
		})
		if hasList && n > 0 && w.AtBoundary() {
			c.listReceived.Store(math.Float64bits(c.clock.now()))
		}
		switch {
		case parseErr != nil:
			return parseErr
		case err != nil:
			progress.Waited, progress.Cause = time.Since(lastByte), err
			return &progress
		case done:
			return errWatchEnded
		}
		if w.Stalled() {
			continue // the blank lines of a stream that stops within an object do not keep its watch
		}
		nc.SetReadDeadline(time.Now().Add(duration(shortened(c.cfg.Pace.Silence, silenceJitter, random))))
	}
}
