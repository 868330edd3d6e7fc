package frontdoor

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/sockio"
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
	reason         atomic.Uint32   // closeReason, valid if closeRequested is set
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

// peerClosed reports whether the client has closed its connection, even if the reader has not reached the end of its input yet.
func (cl *client) peerClosed() bool { return cl != nil && cl.raw != nil && sockio.PeerClosed(cl.raw) }

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

// readState is the state of a client connection's reader.
type readState struct {
	parser        http1.RequestReader
	buf           []byte      // of fixed size
	buffered      []byte      // part of buf: bytes received and not parsed yet
	receivedAt    float64     // clock at which they were received, ms
	firstByteAt   float64     // clock of the first byte of the request being parsed, ms
	answerPending bool        // an answer may not have been written yet
	deadlineSet   bool        // a read deadline is set
	hadRequest    bool        // a request has been received
	discarded     int         // bytes discarded while an answer was pending
	finalAnswered bool        // the last answer has been written; the connection is closed after it
	reason        closeReason // why the connection ends
}

const (
	minQueueDelay = 10 * time.Millisecond // from this time in the listener's queue on, the kernel is asked how long bytes were unread
	maxDrainReads = 32                    // buffers read after a last answer
	maxDiscarded  = 1 << 18               // bytes discarded before an answer; beyond that the client is not read from until the answer
)

// run reads from the connection until it ends.
func (cl *client) run() {
	r := readState{buf: pool.Get()[:pool.Size]}
	defer func() {
		if r.finalAnswered {
			cl.drain(r.buf)
		}
		cl.nc.Close()
		r.parser.Drop()
		pool.Put(r.buf)
		cl.c.budget.release()
		cl.c.post(clientClosed{cl, r.reason})
	}()
	for cl.step(&r) {
	}
}

// step does the connection's next step and reports whether the connection continues.
func (cl *client) step(r *readState) bool {
	r.pollAnswer(cl)
	// A request sent after the last answer would run without a way to answer it. After discarded input, the parser would start in
	// the middle of a message.
	if cl.finished.Load() || cl.overflowed.Load() && !r.answerPending {
		r.finalAnswered, r.reason = true, closedLastAnswer
		if cl.writeFailed.Load() {
			r.reason = closedWriteFailed
		}
		return false
	}
	switch {
	case len(r.buffered) > 0 && !r.answerPending: // nothing is parsed before the pending answer: a connection holds one body at a time
		cl.holdsInput.Store(false)
		return cl.parse(r)
	case len(r.buffered) > 0 && !cl.holdsInput.Load():
		cl.holdsInput.Store(true) // the answer may have been written just before: check again
		return true
	}
	return cl.read(r)
}

// pollAnswer clears answerPending if the answer has been written.
func (r *readState) pollAnswer(cl *client) {
	select {
	case <-cl.answerDone:
		r.answerWritten(cl)
	default:
	}
}

// answerWritten records that the pending answer has been written.
func (r *readState) answerWritten(cl *client) {
	cl.writing.Store(false)
	r.answerPending = false
}

// read reads once. It does so while an answer is pending too, so that a closed connection is noticed whatever the client sent
// before. Input that arrives before the answer is held while the buffer has room, and then discarded.
func (cl *client) read(r *readState) bool {
	if cl.closeRequested.Load() && !r.answerPending && len(r.buffered) == 0 && !r.parser.Begun() {
		return cl.finalRead(r)
	}
	free := r.buf[len(r.buffered):]
	if len(r.buffered) > 0 && &r.buffered[0] != &r.buf[0] {
		copy(r.buf, r.buffered)
		r.buffered = r.buf[:len(r.buffered)]
	}
	if len(free) > 0 {
		n, err := sockio.Read(cl.nc, free)
		if n > 0 {
			r.buffered, r.receivedAt = r.buf[:len(r.buffered)+n], cl.c.clock.now()-cl.queueDelay()
		}
		return err == nil || cl.afterReadError(r, err)
	}
	// A client may receive its answer and send its next request before the answer's writer has reported completion. That input
	// follows the answer; treated as preceding it, a large request would end the connection unanswered.
	if cl.writing.Load() {
		<-cl.answerDone
		r.answerWritten(cl)
		return true
	}
	cl.overflowed.Store(true)
	if r.discarded >= maxDiscarded {
		<-cl.answerDone
		r.answerWritten(cl)
		return true
	}
	scratch := pool.Get()[:pool.Size]
	n, err := sockio.Read(cl.nc, scratch)
	pool.Put(scratch)
	r.discarded += n
	return err == nil || cl.afterReadError(r, err)
}

// queueDelay returns how long, in ms, the first bytes of a connection were unread: it may have waited in the listener's queue while
// its client's time was running. Later calls return 0.
func (cl *client) queueDelay() float64 {
	limit := cl.maxQueued
	if cl.maxQueued = 0; limit < minQueueDelay || cl.raw == nil {
		return 0
	}
	return float64(min(limit, sockio.LastReceived(cl.raw))) / float64(time.Millisecond)
}

// parse parses buffered input, up to one complete request, and reports whether the connection continues.
func (cl *client) parse(r *readState) bool {
	if !r.parser.Begun() {
		r.firstByteAt = r.receivedAt
	}
	used, whole, err := r.parser.Feed(r.buffered)
	r.buffered = r.buffered[used:]
	if err != nil {
		cl.rejectInput(r, err, true)
		return false
	}
	if whole {
		r.hadRequest = true
		if r.deadlineSet {
			r.deadlineSet = false
			cl.setReadDeadline(time.Time{})
		}
		return cl.dispatch(r)
	}
	// A client that sends its request very slowly must not hold the connection indefinitely.
	if r.parser.Begun() && !r.deadlineSet {
		r.deadlineSet = true
		cl.setReadDeadline(time.Now().Add(duration(cl.c.shutdown.Load().Deadline(r.inputStart(cl)+cl.c.cfg.Pace.SlowInput) - r.receivedAt)))
	}
	return true
}

// inputStart returns the clock from which the time limit for receiving a request counts: its first byte, or for the first request
// the opening of the connection, as the client may have been silent before.
func (r *readState) inputStart(cl *client) float64 {
	if r.hadRequest {
		return r.firstByteAt
	}
	return cl.openedAt
}

// dispatch passes a complete request to the event loop. It answers health checks and invalid requests itself.
func (cl *client) dispatch(r *readState) bool {
	msg, err := r.parser.Take()
	if err == nil && (msg.Path == http1.ReadyPath || msg.Path == http1.LivePath) {
		status := http.StatusOK
		if msg.Path == http1.ReadyPath && !cl.c.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		msg.Free()
		return cl.respond(r, status, msg.Close)
	}
	var ev gate.Request
	if err == nil {
		if ev, err = cl.c.gateRequest(msg); err != nil {
			msg.Free()
		}
	}
	if err != nil {
		return cl.rejectInput(r, err, msg.Close)
	}
	r.answerPending = true
	cl.c.post(requestArrived{cl, msg, ev, r.firstByteAt})
	return true
}

// rejectInput answers input that is no valid request.
func (cl *client) rejectInput(r *readState, err error, last bool) bool {
	status := http.StatusBadRequest
	var f *http1.RequestError
	if errors.As(err, &f) {
		status = f.Status
	}
	r.reason = closedBadRequest
	return cl.respond(r, status, last)
}

// respond writes an answer from the reader itself and reports whether the connection continues.
func (cl *client) respond(r *readState, status int, last bool) bool {
	if !cl.writeAnswer(http1.AppendResponse(pool.Get(), status, 0, nil, last)) {
		r.reason = closedWriteFailed
		return false
	}
	if r.finalAnswered = last; last && r.reason == closedByClient {
		r.reason = closedLastAnswer
	}
	return !last
}

// writeAnswer writes a complete answer and reports whether it succeeded. It gives up on clients that do not read it.
func (cl *client) writeAnswer(answer []byte) bool {
	until := time.Now().Add(duration(cl.c.cfg.Pace.SlowInput))
	cl.nc.SetWriteDeadline(until)
	_, err := sockio.Write(cl.nc, answer, until)
	pool.Put(answer)
	return err == nil
}

// drain closes the sending side after a last answer, and reads and discards input for a while: a connection closed with unread
// input is reset, which can destroy the answer before the client reads it.
func (cl *client) drain(buf []byte) {
	if half, ok := cl.nc.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	cl.mu.Lock()
	cl.draining = true
	cl.nc.SetReadDeadline(time.Now().Add(duration(cl.c.cfg.Pace.Linger / 2)))
	cl.mu.Unlock()
	for range maxDrainReads {
		if _, err := sockio.Read(cl.nc, buf); err != nil {
			return
		}
	}
}

// answer writes a request's answer. After the last one the reader closes the connection.
func (cl *client) answer(answer []byte, last bool) {
	cl.writing.Store(true)
	if ok := cl.writeAnswer(answer); !ok || last {
		cl.writeFailed.Store(!ok)
		cl.finished.Store(true)
		if !ok {
			cl.nc.Close() // draining would be of no use
		}
	}
	cl.answerDone <- struct{}{}
	if cl.finished.Load() || cl.holdsInput.Load() || cl.closeRequested.Load() {
		cl.wake()
	}
}

// afterReadError reports whether the connection continues after a failed read. It does after a wake-up, and while a partly
// received request has time left.
func (cl *client) afterReadError(r *readState, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	cl.clearWake()
	if r.pollAnswer(cl); cl.finished.Load() {
		return true
	}
	if r.parser.Begun() && !r.answerPending && len(r.buffered) == 0 {
		pace := &cl.c.cfg.Pace
		limit := pace.SlowInput
		if cl.closeRequested.Load() {
			limit = min(limit, pace.Linger) // other clients wait for its socket
		}
		if rest := cl.c.shutdown.Load().Deadline(r.inputStart(cl)+limit) - cl.c.clock.now(); rest > 0 {
			r.deadlineSet = true
			cl.setReadDeadline(time.Now().Add(duration(rest)))
			return true
		}
		r.reason = closedSlowRequest
		cl.respond(r, http.StatusRequestTimeout, true)
		return false
	}
	cl.setReadDeadline(time.Time{})
	return true
}

// finalRead reads once more before an idle connection is closed, so that a request that has already arrived is served. Input that
// arrives later is never read, and the connection is reset: that tells the client that its request was not accepted.
func (cl *client) finalRead(r *readState) bool {
	n := 0
	if cl.raw != nil {
		// A read with a short deadline could time out without checking the socket, if the process is suspended for that long.
		n = sockio.ReadNow(cl.raw, r.buf)
	}
	if n == 0 {
		r.reason = closeReason(cl.reason.Load())
		return false
	}
	r.buffered, r.receivedAt = r.buf[:n], cl.c.clock.now()
	return true
}

// requestClose asks the reader to close an idle connection. Requests that have arrived are answered first.
func (cl *client) requestClose(reason closeReason) {
	cl.reason.Store(uint32(reason))
	cl.closeRequested.Store(true)
	cl.wake()
}
