package frontdoor

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/sockio"
)

const (
	immediateAcceptRetries = 4                      // consecutive failures that are retried without a pause
	minAcceptBackoff       = time.Millisecond       // first pause after immediateAcceptRetries; it doubles with each failure
	maxAcceptBackoff       = 20 * time.Millisecond  // longest pause: clients are waiting by then
	socketPollInterval     = 10 * time.Millisecond  // time between checks for a free socket, and between searches for connections to close
	queuePollTimeout       = 5 * time.Millisecond   // how long an accept waits for the listener's queue during shutdown
	minBlockedAccept       = time.Millisecond       // an accept that takes longer has found the queue empty
	maxSuspension          = 200 * time.Millisecond // unless the process was suspended within it, for 150 ms at most
	burstSpan              = 100 * time.Millisecond // in which more than minBurst accepted connections are a burst
	minBurst               = 50                     // connections
	acceptLogInterval      = time.Second            // time between log lines for failed accepts
)

// acceptor accepts client connections until the listener is closed.
type acceptor struct {
	c               *core
	failures        int           // consecutive failed accepts
	backoff         time.Duration // next pause, once immediateAcceptRetries are used up
	lastLogged      time.Time     // when a failure was last logged
	unlogged        int           // failures since lastLogged
	askedAt         time.Time     // when connections to close were last asked for
	acceptedSince   bool          // a connection has been accepted since then
	waitedForClient bool          // and an accept had to wait for a client
	pressure        queuePressure
	burstBegan      time.Time // when burst began to be counted
	burst           int       // connections accepted since then
	queueEmptyAt    time.Time // when the listener's queue was last known to be empty
	queueFilled     bool      // the queue may have filled since then, because nothing was accepted for a while
}

// acceptLoop accepts connections until the listener is closed. The kernel has already completed the handshake of connections in
// the listener's queue: their clients may have written whole requests, and closing the listener resets them. The queue is
// therefore emptied before the listener is closed.
func (c *core) acceptLoop(ctx context.Context) {
	a := &acceptor{c: c, backoff: minAcceptBackoff, queueEmptyAt: time.Now()}
	defer c.post(acceptDone{})
	defer c.listener.Close()
	if c.sharedListener { // until this process knows what backends there are, the process before it serves
		select {
		case <-c.admitted:
		case <-ctx.Done():
		}
	}
	for a.acquireSocket(ctx) {
		nc, err := a.acceptOne()
		if err != nil {
			c.budget.release()
			c.memory.release(connectionMemory)
			if !a.waitRetry(ctx, err) {
				return
			}
			continue
		}
		a.failures, a.backoff, a.acceptedSince = 0, minAcceptBackoff, true
		cl := newClient(c, nc)
		cl.maxQueued = time.Since(a.queueEmptyAt)
		a.noteBurst()
		c.post(clientOpened{cl})
		go cl.run()
	}
}

// noteBurst records that many connections come at once: their requests will be read late.
func (a *acceptor) noteBurst() {
	if time.Since(a.burstBegan) > burstSpan {
		a.burstBegan, a.burst = time.Now(), 0
	}
	if a.burst++; a.burst > minBurst {
		a.c.lateUntil.store(a.c.clock.now() + lateSpan)
	}
}

// acquireClient takes a socket and the memory of a connection for one more client, if the budgets have both.
func (c *core) acquireClient() bool {
	if !c.budget.acquire(c.budget.clientReserve) {
		return false
	}
	if !c.memory.acquire(connectionMemory, connectionReserve) {
		c.budget.release()
		return false
	}
	return true
}

// acquireSocket waits until the budgets have a socket and memory for one more client and reports whether it got them. The client
// reserve is left untouched: it serves the requests that clients send.
func (a *acceptor) acquireSocket(ctx context.Context) bool {
	c := a.c
	for !c.acquireClient() {
		a.queueFilled = true
		if !c.shutdown.Load().Answering(c.clock.now()) {
			return false
		}
		a.askForSocket()
		wait := time.NewTimer(socketPollInterval)
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

// askForSocket asks for connections to be closed for the clients that wait. Where the system tells how many wait, that many are closed,
// and the next search is after socketPollInterval. Where it does not, one is closed for each client that has been accepted: if another
// one waits behind it, it gets a socket at once.
func (a *acceptor) askForSocket() {
	pausing := time.Since(a.askedAt) < socketPollInterval
	if pausing && !a.acceptedSince {
		return
	}
	queue := a.c.signals.listenQueue(a.c.listener)
	if _, known := queue.Get(); pausing && known {
		return
	}
	if a.acceptedSince = false; !pausing {
		a.askedAt = time.Now()
	}
	a.pressure.update(a.c.clock.now(), a.waitedForClient)
	a.waitedForClient = false
	a.c.post(socketNeeded{queue, a.pressure, pausing})
}

// acceptOne accepts one connection. During shutdown it only polls the queue, and fails with os.ErrDeadlineExceeded if the queue
// is empty. A poll that took too long may have reached its deadline before it checked the queue, and is repeated.
func (a *acceptor) acceptOne() (net.Conn, error) {
	ln, hasDeadline := a.c.listener.(deadlineListener)
	for {
		ending := !a.c.shutdown.Load().Accepting(a.c.clock.now())
		if !ending || !hasDeadline {
			start := time.Now()
			nc, err := a.c.listener.Accept()
			a.accepted(time.Since(start))
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue // the event loop has set a deadline to interrupt this accept for shutdown
			}
			return nc, err
		}
		start := time.Now()
		_ = ln.SetDeadline(start.Add(queuePollTimeout))
		nc, err := ln.Accept()
		delayed := time.Since(start) > 2*queuePollTimeout
		if errors.Is(err, os.ErrDeadlineExceeded) && delayed && a.c.shutdown.Load().Answering(a.c.clock.now()) {
			continue
		}
		return nc, err
	}
}

// accepted updates when the queue was last known to be empty, by how long an accept took. An accept over a filled queue during which the
// process is suspended looks like one that waited.
func (a *acceptor) accepted(took time.Duration) {
	a.waitedForClient = a.waitedForClient || took > minBlockedAccept
	if took <= minBlockedAccept || a.queueFilled && took <= maxSuspension {
		return
	}
	a.queueEmptyAt, a.queueFilled = time.Now(), false
}

// waitRetry pauses after a failed accept as needed and reports whether to accept again. Only the listener's end is final; other
// failures are temporary: the system is short of a resource, or reports an error of a connection in the queue.
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
		c.post(socketNeeded{waiting: c.signals.listenQueue(c.listener), pressure: a.pressure})
	}
	if a.failures++; a.failures > immediateAcceptRetries {
		a.queueFilled = true
		sleep(ctx, a.backoff)
		a.backoff = min(2*a.backoff, maxAcceptBackoff)
	}
	return ctx.Err() == nil
}

// closeListenQueue keeps further connections out of the listener's queue if some wait there: with a crowd of clients that connect again
// and again it would never be empty, and those that come last would be reset when the listener closes.
func (c *core) closeListenQueue() {
	if raw := rawListener(c.listener); raw != nil && !c.sharedListener && c.signals.listenQueue(c.listener).Or(0) > 0 {
		sockio.CloseListenQueue(raw)
	}
}

// log logs a failed accept, at most once per acceptLogInterval, with the number of failures since the last line.
func (a *acceptor) log(err error) {
	if a.unlogged++; time.Since(a.lastLogged) < acceptLogInterval {
		return
	}
	a.c.log.WithError(err).WithField(fields.Times, a.unlogged).Warn("accepting")
	a.lastLogged, a.unlogged = time.Now(), 0
}
