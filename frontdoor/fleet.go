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

// listed is news of the fleet, from the watch of that number.
type listed struct {
	list  registry.List
	watch int
	after float64 // clock at which a watch had last said anything before this list began, ms; 0 is never
}

func (n listed) take(c *core) {
	if n.watch != c.watches { // that watch has been replaced
		return
	}
	ev := gate.FleetUpdate{Complete: n.list.Whole}
	if n.list.Whole {
		for i := range c.backends {
			c.backends[i].up, c.backends[i].status = false, gate.Gone
		}
	}
	for _, e := range n.list.Backends {
		i := c.names.Add(e.ID)
		if i == len(c.backends) {
			c.backends = append(c.backends, backend{})
		}
		b := &c.backends[i]
		c.started(b, wallTime(e.Started), n.after)
		b.id, b.status, b.size, b.listed = e.ID, e.Status(), e.Size, true
		b.zone, b.cell = c.zones.Add(e.Zone), c.cells.Add(e.Cell)
		if e.Addr != "" {
			b.addr = e.Addr
		}
		ev.Entries = append(ev.Entries, c.entry(i))
	}
	c.news(ev)
}

// started takes when a backend's process was started, by the wall clock, as a span: that clock may be stepped afterwards. One
// that is heard of as new was started after discovery last said something; without that, as a door starts, the wall clock alone
// tells.
func (c *core) started(b *backend, process wallTime, after float64) {
	switch {
	case process == 0:
		b.since = 0
	case process != b.process || b.since == 0:
		now, most := c.clock.now(), math.Inf(1)
		if after > 0 {
			most = now - after
		}
		b.since = now - c.clock.ago(process, most)
	}
	b.process = process
}

// entry words what the list says of a backend. One that is withheld drains, whatever the list says of it.
func (c *core) entry(i int) gate.Entry {
	b := &c.backends[i]
	status := b.status
	if c.withheld[b.id] && status == gate.Up {
		status = gate.Draining
	}
	b.up = status == gate.Up
	return gate.Entry{Backend: i, Zone: b.zone, Cell: b.cell, Status: status, StartedAt: b.since, Weight: b.size, RingPosition: index.NamePhase(b.id)}
}

// news passes changes of the list on to the decisions.
func (c *core) news(ev gate.FleetUpdate) {
	for l := range c.links { // nothing new goes over these
		if !c.backends[l.backend].takes(l) {
			c.withdraw(l)
		}
	}
	c.pending = append(c.pending, ev)
	c.setReady()
}

// withdraw takes back a connection to a backend that is to get nothing new, and an attempt on it that has not begun; one that
// has goes on.
func (c *core) withdraw(l *link) {
	f := l.cur
	switch {
	case f == nil:
		c.retire(l)
	case !f.ended && f.stage.CompareAndSwap(waiting, dropped):
		c.retire(l)
		c.finish(f, endLeftUnsent, c.now, -1, -1)
	}
}

// asked says that discovery has been asked once, whatever came of it.
type asked struct{}

func (asked) take(c *core) {
	c.asked = true
	c.setReady()
}

// setReady has the door admitted once discovery was asked and a backend is known.
func (c *core) setReady() {
	can := false
	for i := range c.backends {
		can = can || c.backends[i].up
	}
	c.ready.Store(can && c.asked && !c.leaving && !c.aside)
}

// delist forgets a backend that is gone and lets its index be used again. Nothing may be carried over to the next
// one under it.
func (c *core) delist(i int) {
	for l := range c.links {
		if l.backend == i {
			c.retire(l)
		}
	}
	zone, cell := c.backends[i].zone, c.backends[i].cell
	c.backends[i] = backend{}
	c.names.Drop(i)
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

// watchOn follows the list at an address from now on, and no longer at the one before.
func (c *core) watchOn(addr string, version int64) {
	if c.unwatch != nil {
		c.unwatch()
	}
	c.watches++
	var ctx context.Context
	ctx, c.unwatch = context.WithCancel(c.background)
	go c.follow(ctx, addr, version, c.watches)
}

// follow keeps a watch of the fleet list until ctx ends. A watch that breaks, falls silent or is taken and never answered is
// dialled again and goes on from the version that came last; config.Pace bounds what that may take, whatever came before. What discovery holds it tells at once: a door that has waited as
// long as a connection may take serves by what it knew.
func (c *core) follow(ctx context.Context, addr string, version int64, number int) {
	defer time.AfterFunc(span(c.cfg.Settings.ConnectTimeout), func() { c.post(asked{}) }).Stop()
	well, dice := true, rand.New(rand.NewPCG(c.cfg.Seed, uint64(number)))
	pause := c.cfg.Pace.Redial
	for ctx.Err() == nil {
		err := c.watch(ctx, addr, version, dice, func(l registry.List, after float64) {
			version, pause = l.Version, c.cfg.Pace.Redial
			c.post(listed{l, number, after})
			if !well {
				well = true
				c.log.Info("fleet watch is back")
			}
			c.post(asked{})
		})
		if ctx.Err() == nil && well {
			well = false
			c.log.WithError(err).Warn("fleet watch ended")
		}
		rest(ctx, sooner(pause, redialJitter, dice))
		pause = min(2*pause, config.MaxRedialFactor*c.cfg.Pace.Redial)
	}
}

// Doors that lose discovery together would call on it together ever after: chance takes so much of each time at most.
const (
	redialJitter  = 0.5 // of a pause, or of the time for the first byte
	silenceJitter = 0.2 // of the time that a watch may be silent; what is left is over the 2 s in which it says something
)

func sooner(ms, most float64, dice *rand.Rand) float64 { return ms * (1 - most*dice.Float64()) }

func rest(ctx context.Context, ms float64) { sleep(ctx, span(ms)) }

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}

// watch follows the list over one connection.
func (c *core) watch(ctx context.Context, addr string, version int64, dice *rand.Rand, heard func(l registry.List, after float64)) error {
	if !c.budget.take(0) {
		return errNoSocket
	}
	defer c.budget.put()
	nc, err := c.dial(ctx, addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	buf := pool.Get()
	defer pool.Put(buf)
	patience := span(sooner(c.cfg.Pace.FirstByte, redialJitter, dice))
	first := time.Now().Add(patience)
	if _, err := sockio.Write(nc, registry.AppendWatch(buf, addr, version), first); err != nil {
		return err
	}
	return c.readWatch(nc, buf[:pool.Size], first, dice, heard)
}

// listHeardAt is the clock at which a watch that tells lists last said anything, ms; 0 is never.
func (c *core) listHeardAt() float64 { return math.Float64frombits(c.listHeard.Load()) }

// readWatch reads what a watch tells; its first word comes by a time.
func (c *core) readWatch(nc net.Conn, buf []byte, first time.Time, dice *rand.Rand, heard func(l registry.List, after float64)) error {
	var w registry.Watch
	told := false // this watch has told a list
	nc.SetReadDeadline(first)
	for {
		n, err := sockio.Read(nc, buf)
		after := c.listHeardAt()
		done, fault := w.Feed(buf[:n], func(l registry.List) {
			told = true
			heard(l, after)
		})
		if told && n > 0 && w.AtBoundary() {
			c.listHeard.Store(math.Float64bits(c.clock.now()))
		}
		switch {
		case fault != nil:
			return fault
		case err != nil:
			return err
		case done:
			return errWatchOver
		}
		nc.SetReadDeadline(time.Now().Add(span(sooner(c.cfg.Pace.Silence, silenceJitter, dice))))
	}
}
