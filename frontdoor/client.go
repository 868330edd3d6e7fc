package frontdoor

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// client is one client connection. Its goroutine reads, and closes the connection at the end; each answer is written by a
// goroutine of its own.
type client struct {
	c              *core
	id             uint64 // number of the connection since the door's start
	nc             net.Conn
	raw            syscall.RawConn // of nc, if it has one
	answerDone     chan struct{}   // receives when an answer has been written
	closeRequested atomic.Bool     // the event loop wants the connection closed after what has arrived is answered
	holdsInput     atomic.Bool     // the reader holds bytes that are parsed only after the pending answer
	overflowed     atomic.Bool     // more input arrived before an answer than is held: that answer is the last
	finished       atomic.Bool     // the last answer has been written, or failed: no more requests are accepted
	writing        atomic.Bool     // the pending answer is being written: new input may follow it
	writeFailed    atomic.Bool     // an answer could not be written
	discardedAt    atomicInstant   // clock of the latest discarded input, ms
	unobserved     atomic.Bool     // the client is not read from until its answer: whether it has closed its connection is unknown
	refused        atomic.Bool     // the latest request was answered without a backend
	awaitsMemory   atomic.Bool     // the reader waits for memory
	reason         atomic.Uint32   // closeReason, valid if closeRequested is set
	largeSince     atomicInstant   // clock of the first byte of a partly received large request, ms; 0 is none
	openedAt       float64         // clock, ms
	maxQueued      time.Duration   // upper bound of the time that the connection was in the listener's queue

	mu            sync.Mutex
	wakeRequested bool // the reader must return from its read
	draining      bool // the reader discards input after the last answer

	// Used by the event loop only.
	op           int     // index of the open request; -1 is none
	idleSince    float64 // clock, ms
	hasRequested bool    // has sent a request
}

func newClient(c *core, nc net.Conn) *client {
	now := c.clock.now()
	cl := &client{c: c, id: c.connections.Add(1), nc: nc, answerDone: make(chan struct{}, 1), openedAt: now, op: -1, idleSince: now}
	if sc, ok := nc.(syscall.Conn); ok {
		cl.raw, _ = sc.SyscallConn()
	}
	return cl
}

const (
	inputQuietTime   = 10 * time.Millisecond // without input, after which a client that sent much is taken to have sent all
	inputWait        = time.Second           // for which the reader has to come to the end of a client's input
	inputWaitPolling = time.Millisecond
	maxUnobserved    = 50 * time.Millisecond // after the reader has stopped reading, within which a client has not closed long ago
)

// presence is what is known of a client with a pending answer.
type presence uint8

const (
	present   presence = iota // its connection is open
	departed                  // it has closed its connection, which its reader is about to report
	uncertain                 // it may have closed its connection behind input that has not been read
)

// presence reports whether the client has closed its connection. While more input arrives behind the request, a close may be behind
// that, so the reader has to come to its end first.
func (cl *client) presence() presence {
	if cl == nil || cl.raw == nil {
		return present
	}
	for end := time.Now().Add(inputWait); ; time.Sleep(inputWaitPolling) {
		peer := cl.c.signals.peerState(cl.raw)
		sinceInput := duration(cl.c.clock.now() - cl.discardedAt.load())
		switch {
		case peer.Closed.Or(false): // if unknown, data is unread, and the reader has to come to its end
			return departed
		case !peer.Unread && (!cl.overflowed.Load() || sinceInput >= inputQuietTime), cl.unobserved.Load() && sinceInput <= maxUnobserved:
			return present
		case cl.unobserved.Load(), time.Now().After(end):
			return uncertain
		}
	}
}

// wake makes the reader return from its present or next read. The flag and the deadline are set under the same lock that
// setReadDeadline takes: a deadline that the reader sets at the same moment would otherwise cancel the wake-up.
func (cl *client) wake() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.wakeRequested = true; !cl.draining { // drain has its own deadline; cut short, it could lose the answer to a reset
		cl.nc.SetReadDeadline(time.Now())
	}
}

// setReadDeadline sets the deadline of reads, zero for none, unless the reader has been woken in the meantime.
func (cl *client) setReadDeadline(at time.Time) {
	cl.mu.Lock()
	if cl.wakeRequested {
		at = time.Now()
	}
	cl.nc.SetReadDeadline(at)
	cl.mu.Unlock()
}

// clearWake resets the wake-up request before the reader checks the connection's state.
func (cl *client) clearWake() {
	cl.mu.Lock()
	cl.wakeRequested = false
	cl.mu.Unlock()
}

// requestClose asks the reader to close an idle connection. Requests that have arrived are answered first.
func (cl *client) requestClose(reason closeReason) {
	cl.reason.Store(uint32(reason))
	cl.closeRequested.Store(true)
	cl.wake()
}
