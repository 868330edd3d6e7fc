package frontdoor

import (
	"cmp"
	"slices"

	"github.com/swifthall/swifthall/internal/reading"
)

// Clients that wait for a socket get those of connections that have no open request, idle longest first.
const (
	silentLingerDivisor = 3   // a client that never sent a request may be closed after this fraction (1/3) of Pace.Linger
	drainLingerDivisor  = 8   // input behind a last answer is discarded for this fraction of Pace.Linger while clients wait for sockets
	maxQueueWait        = 250 // ms that clients should wait in the listener's queue, at most
	crowdSpan           = 1e3 // ms for which clients are taken to wait for sockets after some did
	minCrowdGrace       = 20  // ms that a connection has for its first request in any crowd: one that waited in the queue has sent it
)

// socketNeeded reports that clients wait for a socket. The connections that have been idle longest are closed for them, except those
// idle so briefly that a request may be on its way. A connection that never sent a request goes first, after a shorter time, as
// clients normally send their first request at once. If there is none, an idle backend connection is closed.
type socketNeeded struct {
	waiting  reading.Value[int] // connections in the listener's queue
	pressure queuePressure      // if that is unknown
	repeated bool               // clients were searched for a moment ago: of those found the next are closed
}

func (e socketNeeded) handle(c *core) {
	c.crowdGrace.store(c.graceFor(e))
	c.crowdUntil.store(c.clock.now() + crowdSpan)
	if !e.repeated {
		c.idleQueue = c.longIdleClients()
	}
	closed := 0
	for closed < max(1, e.waiting.Or(0)) && len(c.idleQueue) > 0 {
		cl := c.idleQueue[0].client
		c.idleQueue = c.idleQueue[1:]
		if _, open := c.clients[cl]; open && c.idleTooLong(cl) > 0 {
			cl.requestClose(closedForSocket)
			closed++
		}
	}
	if !e.repeated && closed == 0 {
		c.evictIdle()
	}
}

// graceFor returns how long a connection may keep its socket without a whole request, ms, while others wait: with so many in the
// queue that none of them waits for longer than maxQueueWait, if possible.
func (c *core) graceFor(e socketNeeded) float64 {
	waiting, known := e.waiting.Get()
	switch {
	case !known:
		return e.pressure.grace(c.cfg.Pace.Linger)
	case waiting == 0:
		return c.cfg.Pace.Linger
	case c.shuttingDown: // the listener closes soon
		return minCrowdGrace
	}
	sockets := float64(c.cfg.Sockets - c.cfg.Sockets/clientReserveDivisor)
	return min(c.cfg.Pace.Linger, max(minCrowdGrace, maxQueueWait*sockets/float64(waiting)))
}

// idleClient is a client without an open request, and by how much it has been idle for too long, ms.
type idleClient struct {
	client *client
	over   float64
}

// longIdleClients returns the clients that may be closed for others, idle longest first.
func (c *core) longIdleClients() (idle []idleClient) {
	for cl := range c.clients {
		if over := c.idleTooLong(cl); over > 0 {
			idle = append(idle, idleClient{cl, over})
		}
	}
	slices.SortFunc(idle, func(a, b idleClient) int { return cmp.Compare(b.over, a.over) })
	return idle
}

// idleTooLong returns by how much a client has been idle for longer than it may while others wait, ms; 0 if it has not.
func (c *core) idleTooLong(cl *client) float64 {
	limit := c.cfg.Pace.Linger
	if !cl.hasRequested {
		limit = min(limit/silentLingerDivisor, c.crowdGrace.load())
	}
	if cl.op >= 0 || cl.closeRequested.Load() {
		return 0
	}
	return max(0, c.clock.now()-cl.idleSince-limit)
}

// crowded reports whether clients have been waiting for sockets until a moment ago.
func (c *core) crowded() bool { return c.clock.now() < c.crowdUntil.load() }

// halfSentLimit returns how long a half-sent request may take on a connection that is to be closed, ms.
func (c *core) halfSentLimit() float64 {
	if c.crowded() {
		return c.crowdGrace.load()
	}
	return c.cfg.Pace.Linger
}

// drainTime returns how long input behind a last answer is discarded, ms. In a crowd a client that did not send its request in time may
// lose the answer to that.
func (c *core) drainTime(reason closeReason) float64 {
	switch {
	case !c.crowded():
		return c.cfg.Pace.Linger / 2
	case reason == closedSlowRequest:
		return 0
	}
	return c.cfg.Pace.Linger / drainLingerDivisor
}
