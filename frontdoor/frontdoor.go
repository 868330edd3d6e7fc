// Package frontdoor is a front door on sockets, built around the decisions. A door takes requests from
// clients, has a gate.Decider decide on them, and carries its actions out; it decides nothing itself.
//
// One goroutine, core.run, owns the decider. Each connection has a goroutine that reads, feeds a state machine
// (internal/http1, internal/resp, internal/registry) and passes what it yields on as notes.
package frontdoor

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/retry"
)

// Door is one front door.
type Door struct{ core *core }

// New returns a door that will serve by the decider, which is its own from here on.
func New(cfg config.Door, decider gate.Decider, log logrus.FieldLogger) *Door {
	return &Door{core: newCore(cfg, decider, log)}
}

// UseListener has the door serve clients of a listener that another process listens at as well, in place of listening itself: one door
// can follow another with no connection refused. It is called before Serve, which closes the listener.
func (d *Door) UseListener(ln *net.TCPListener) {
	d.core.listen = func(context.Context, string) (net.Listener, error) { return ln, nil }
}

const listenMost = 5 * time.Second // in which a listener that can't be had for a moment is asked for again

// Serve listens and serves until ctx ends; then it answers all that was taken, and what still comes for a
// while, and returns. A door serves once.
func (d *Door) Serve(ctx context.Context) error {
	c := d.core
	if c.budget.short(0) {
		close(c.done)
		return &SocketsError{c.cfg.Sockets}
	}
	ln, err := retry.Within(ctx, listenMost, func() (net.Listener, error) { return c.listen(ctx, c.cfg.Listen) })
	if err != nil {
		close(c.done)
		return &ListenError{c.cfg.Listen, err}
	}
	defer ln.Close()
	c.listener, c.accepting = ln, true
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.background = background
	listed{list: c.cfg.Known}.take(c)
	if c.cfg.Settings.Terms.Counter {
		c.countOn(c.cfg.Counter)
	}
	c.watchOn(c.cfg.Discovery, c.cfg.Known.Version)
	go c.accept(background)
	c.log.WithFields(logrus.Fields{fields.Door: c.cfg.Name, fields.Listen: c.cfg.Listen}).Info("serving")
	c.run(ctx)
	c.log.Info("left")
	return nil
}

// Reload has the door go over to another discovery and counter; all else of the configuration stays as it was. What
// is under way goes on, and so does the fleet list until the new discovery has told its own.
func (d *Door) Reload(cfg config.Door) { d.core.post(reloaded{cfg.Discovery, cfg.Counter}) }

// SetMembers tells the door which doors of its fleet are here, as far as is known. It may be called at any time, or never: no
// request waits for it.
func (d *Door) SetMembers(e gate.DoorsUpdate) { d.core.post(present(e)) }

type present gate.DoorsUpdate

func (n present) take(c *core) { c.pending = append(c.pending, gate.DoorsUpdate(n)) }

type reloaded struct{ discovery, counter string }

func (n reloaded) take(c *core) {
	if n.discovery != c.cfg.Discovery {
		c.cfg.Discovery = n.discovery
		c.watchOn(n.discovery, 0)
	}
	if n.counter != c.cfg.Counter && c.cfg.Settings.Terms.Counter {
		c.cfg.Counter = n.counter
		c.countOn(n.counter)
	}
	c.log.WithFields(logrus.Fields{fields.Discovery: n.discovery, fields.Counter: n.counter}).Info("configuration read again")
}

// accepted says that no more connections are taken.
type accepted struct{}

func (accepted) take(c *core) { c.accepting = false }

// room is how many sockets there are for connections: of those allowed, by configuration and system, what the
// process does not hold already, less a margin.
func room(sockets int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		sockets = int(min(uint64(sockets), limit.Cur))
	}
	return sockets - held() - margin
}

// held counts the descriptors that the process holds already.
func held() int {
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 3 // the standard ones
	}
	return len(files)
}
