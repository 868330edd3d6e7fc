package frontdoor

import (
	"context"
	"net"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/registry"
)

// listed is news of the fleet.
type listed struct{ list registry.List }

func (n listed) take(c *core) {
	ev := gate.Fleet{Complete: n.list.Whole}
	if n.list.Whole {
		for i := range c.backends {
			c.backends[i].up = false
		}
	}
	for _, e := range n.list.Backends {
		i := c.names.Add(e.ID)
		if i == len(c.backends) {
			c.backends = append(c.backends, backend{})
		}
		status := e.Status()
		b := &c.backends[i]
		b.up, b.since = status == gate.Up, e.Started
		if e.Addr != "" {
			b.addr = e.Addr
		}
		ev.Entries = append(ev.Entries, gate.Entry{Backend: i, Zone: c.zones.Add(e.Zone), Cell: c.cells.Add(e.Cell),
			Status: status, Since: e.Started, Size: e.Size})
	}
	for l := range c.links { // nothing new goes over these
		if b := &c.backends[l.backend]; l.cur == nil && !b.takes(l) {
			c.retire(l)
		}
	}
	c.pending = append(c.pending, ev)
	c.setReady()
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
	c.ready.Store(can && c.asked && !c.leaving)
}

// follow keeps a watch of the fleet list until ctx ends. A watch that breaks or falls silent is dialled again
// and goes on from the version that came last. What discovery holds it tells at once: a door that has waited as
// long as a connection may take serves by what it knew.
func (c *core) follow(ctx context.Context) {
	defer time.AfterFunc(span(c.cfg.Deal.ConnectTimeout), func() { c.post(asked{}) }).Stop()
	version, well := c.cfg.Known.Version, true
	for ctx.Err() == nil {
		err := c.watch(ctx, &version, func() {
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
		rest(ctx, c.cfg.Pace.Redial)
	}
}

func rest(ctx context.Context, ms float64) {
	select {
	case <-time.After(span(ms)):
	case <-ctx.Done():
	}
}

// watch follows the list over one connection.
func (c *core) watch(ctx context.Context, version *int64, heard func()) error {
	if !c.budget.take(0) {
		return errNoSocket
	}
	defer c.budget.put()
	nc, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Discovery)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	buf := pool.Get()
	defer pool.Put(buf)
	if _, err := nc.Write(registry.AppendWatch(buf, c.cfg.Discovery, *version)); err != nil {
		return err
	}
	return c.readWatch(ctx, nc, buf[:pool.Size], version, heard)
}

func (c *core) readWatch(ctx context.Context, nc net.Conn, buf []byte, version *int64, heard func()) error {
	var w registry.Watch
	for {
		nc.SetReadDeadline(time.Now().Add(span(c.cfg.Pace.Silence)))
		n, err := nc.Read(buf)
		done, fault := w.Feed(buf[:n], func(l registry.List) {
			*version = l.Version
			c.post(listed{l})
			heard()
		})
		switch {
		case fault != nil:
			return fault
		case err != nil:
			return err
		case done:
			return errWatchOver
		}
	}
}
