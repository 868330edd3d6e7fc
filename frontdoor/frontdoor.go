// Package frontdoor implements an HTTP/1.1 front door: it accepts requests from clients, passes them as events to a
// gate.Decider, and executes the actions that the decider returns. It makes no decisions of its own.
//
// One goroutine, core.run, is the event loop that owns the decider. Each connection has a goroutine that reads, feeds a protocol
// state machine (internal/http1, internal/resp, internal/registry) and posts the results to the event loop.
package frontdoor

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/procinfo"
	"github.com/swifthall/swifthall/internal/retry"
)

// Door is one front door.
type Door struct{ core *core }

// New returns a door that carries out the actions of a decider. The door owns the decider from then on.
func New(cfg config.Door, decider gate.Decider, log logrus.FieldLogger) *Door {
	return &Door{core: newCore(cfg, decider, log)}
}

// UseListener makes the door serve clients of an existing listener instead of opening its own. The listener's socket may be shared
// with another process, so that one door can replace another with no connection refused. It must be called before Serve, which
// closes the listener.
func (d *Door) UseListener(ln *net.TCPListener) {
	d.core.listen = func(context.Context, string) (net.Listener, error) { return ln, nil }
	d.core.sharedListener = true
}

const listenRetryTime = 5 * time.Second // how long listening is retried while the address is temporarily unavailable

// Serve listens and serves until ctx ends. It then shuts down: it answers all accepted requests and those that still arrive for a
// while, and returns. A door can serve only once.
func (d *Door) Serve(ctx context.Context) error {
	c := d.core
	if c.budget.low(0) {
		close(c.done)
		return &SocketsError{c.cfg.Sockets}
	}
	ln, err := retry.Within(ctx, listenRetryTime, func() (net.Listener, error) { return c.listen(ctx, c.cfg.Listen) })
	if err != nil {
		close(c.done)
		return &ListenError{c.cfg.Listen, err}
	}
	defer ln.Close()
	c.listener, c.accepting = ln, true
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.background = background
	fleetUpdate{list: c.cfg.Known}.handle(c)
	if c.cfg.Settings.Terms.Counter {
		c.useCounter(c.cfg.Counter)
	}
	c.startWatch(c.cfg.Discovery, c.cfg.Known.Version)
	go c.acceptLoop(background)
	c.log.WithFields(logrus.Fields{fields.Door: c.cfg.Name, fields.Listen: c.cfg.Listen}).Info("serving")
	c.run(ctx)
	c.log.Info("left")
	return nil
}

// Reload switches the door to the discovery and counter addresses of another configuration; all other settings keep their values.
// Open requests and calls go on, and the present fleet list stays in use until the new discovery has sent one.
func (d *Door) Reload(cfg config.Door) { d.core.post(reloadRequest{cfg.Discovery, cfg.Counter}) }

// SetMembers reports which doors of the fleet are present, as far as is known. It may be called at any time, or never: no request
// waits for it.
func (d *Door) SetMembers(e gate.DoorsUpdate) { d.core.post(membersUpdate(e)) }

type membersUpdate gate.DoorsUpdate

func (u membersUpdate) handle(c *core) { c.pending = append(c.pending, gate.DoorsUpdate(u)) }

type reloadRequest struct{ discovery, counter string }

func (r reloadRequest) handle(c *core) {
	if r.discovery != c.cfg.Discovery {
		c.cfg.Discovery = r.discovery
		c.startWatch(r.discovery, 0)
	}
	if r.counter != c.cfg.Counter && c.cfg.Settings.Terms.Counter {
		c.cfg.Counter = r.counter
		c.useCounter(r.counter)
	}
	c.log.WithFields(logrus.Fields{fields.Discovery: r.discovery, fields.Counter: r.counter}).Info("configuration read again")
}

// acceptDone reports that no more connections will be accepted.
type acceptDone struct{}

func (acceptDone) handle(c *core) { c.accepting = false }

// availableSockets returns how many sockets the door may open: the smaller of the configured and the system's limit, less the
// descriptors already open and a reserve.
func availableSockets(sockets int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		sockets = int(min(uint64(sockets), limit.Cur))
	}
	return sockets - procinfo.OpenDescriptors() - reservedDescriptors
}
