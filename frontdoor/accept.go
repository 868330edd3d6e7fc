package frontdoor

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/internal/fields"
)

const (
	immediateAcceptRetries = 4                     // tries in a row after one that failed, before the first pause
	minAcceptBackoff       = time.Millisecond      // before another try after those; it doubles
	maxAcceptBackoff       = 20 * time.Millisecond // up to this: clients have begun to wait
	socketPollInterval     = 10 * time.Millisecond // between looks for a socket while the door ends
	queuePollTimeout       = 5 * time.Millisecond  // for which a look at the listener's queue waits, while the door ends
	minBlockedAccept       = time.Millisecond      // an accept that takes longer has found the queue empty
	acceptLogInterval      = time.Second           // between log lines of tries that failed
)

// acceptor takes client connections in, for as long as they may come.
type acceptor struct {
	c            *core
	failures     int           // that have failed in a row
	backoff      time.Duration // before the next try, once more than a few have failed
	lastLogged   time.Time     // when a failure was last logged
	unlogged     int           // tries that failed since
	queueEmptyAt time.Time     // when the listener's queue was last known to be empty
}

// acceptLoop takes connections in until the listener is closed. The system has accepted what stands in the listener's queue: its
// clients may have written whole requests, and closing the listener resets them, so the queue is emptied before.
func (c *core) acceptLoop(ctx context.Context) {
	a := &acceptor{c: c, backoff: minAcceptBackoff, queueEmptyAt: time.Now()}
	defer c.post(acceptDone{})
	defer c.listener.Close()
	for a.acquireSocket(ctx) {
		nc, err := a.acceptOne()
		if err != nil {
			c.budget.release()
			if !a.waitRetry(ctx, err) {
				return
			}
			continue
		}
		a.failures, a.backoff = 0, minAcceptBackoff
		cl := newClient(c, nc)
		cl.maxQueued = time.Since(a.queueEmptyAt)
		c.post(clientOpened{cl})
		go cl.run()
	}
}

// acquireSocket waits until there is a acquireSocket for one more client. A quarter of them is kept for what clients come for.
func (a *acceptor) acquireSocket(ctx context.Context) bool {
	c := a.c
	for !c.budget.acquire(c.budget.clientReserve) {
		if !c.shutdown.Load().Answering(c.clock.now()) {
			return false
		}
		c.post(socketNeeded{})
		wait := time.NewTimer(a.pollInterval())
		select {
		case <-c.budget.freed:
		case <-wait.C:
		case <-ctx.Done():
			return false
		}
		wait.Stop()
	}
	return true
}

// acceptOne accepts one connection. While the door ends it only looks at the queue, and fails with os.ErrDeadlineExceeded where
// that is empty. A look that was held up before it came to the queue is no look.
func (a *acceptor) acceptOne() (net.Conn, error) {
	wait, halts := a.c.listener.(deadlineListener)
	for {
		ending := !a.c.shutdown.Load().Accepting(a.c.clock.now())
		if !ending || !halts {
			began := time.Now()
			nc, err := a.c.listener.Accept()
			if time.Since(began) > minBlockedAccept {
				a.queueEmptyAt = time.Now()
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue // the owner has the listener close
			}
			return nc, err
		}
		began := time.Now()
		_ = wait.SetDeadline(began.Add(queuePollTimeout))
		nc, err := wait.Accept()
		heldUp := time.Since(began) > 2*queuePollTimeout
		if errors.Is(err, os.ErrDeadlineExceeded) && heldUp && a.c.shutdown.Load().Answering(a.c.clock.now()) {
			continue
		}
		return nc, err
	}
}

// waitRetry tells whether to accept on after a failure, and rests before. Other failures than the listener's end pass: the
// system is short of something, or hands on what has befallen a connection in its queue.
func (a *acceptor) waitRetry(ctx context.Context, err error) bool {
	c := a.c
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if !c.shutdown.Load().Answering(c.clock.now()) {
		return false
	}
	a.log(err)
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		c.post(socketNeeded{})
	}
	if a.failures++; a.failures > immediateAcceptRetries {
		sleep(ctx, a.backoff)
		a.backoff = min(2*a.backoff, maxAcceptBackoff)
	}
	return ctx.Err() == nil
}

// pollInterval is the longest rest between looks for a socket.
func (a *acceptor) pollInterval() time.Duration {
	if a.c.shutdown.Load() != nil {
		return socketPollInterval
	}
	return duration(a.c.cfg.Pace.Redial)
}

func (a *acceptor) log(err error) {
	if a.unlogged++; time.Since(a.lastLogged) < acceptLogInterval {
		return
	}
	a.c.log.WithError(err).WithField(fields.Times, a.unlogged).Warn("accepting")
	a.lastLogged, a.unlogged = time.Now(), 0
}
