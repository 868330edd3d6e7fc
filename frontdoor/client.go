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

// client is one client connection. Its goroutine reads, and ends it; answers are written by one goroutine each.
type client struct {
	c              *core
	id             uint64 // of the connection, counted from the door's start
	nc             net.Conn
	raw            syscall.RawConn // of nc, where it has one
	answerDone     chan struct{}   // an answer has left
	closeRequested atomic.Bool     // no more requests are wanted on it
	holdsInput     atomic.Bool     // its reader holds bytes that wait for an answer to leave
	overflowed     atomic.Bool     // more came ahead of an answer than is held: that answer is the last
	finished       atomic.Bool     // its last answer has left, or could not: nothing more is taken from it
	writing        atomic.Bool     // the answer owed is being written: what comes may come behind it
	writeFailed    atomic.Bool     // an answer could not be written
	reason         atomic.Uint32   // why no more requests are wanted on it, a closing
	openedAt       float64         // clock, ms
	maxQueued      time.Duration   // for which it may have stood in the listener's queue, at most

	mu            sync.Mutex
	wakeRequested bool // the reader is wanted, whatever else it waits for
	draining      bool // it reads what is left behind the last answer

	// The owner's.
	op           int // open request; -1 is none
	idleSince    float64
	hasRequested bool // has brought a request
}

func newClient(c *core, nc net.Conn) *client {
	now := c.clock.now()
	cl := &client{c: c, id: c.connections.Add(1), nc: nc, answerDone: make(chan struct{}, 1), openedAt: now, op: -1, idleSince: now}
	if sc, ok := nc.(syscall.Conn); ok {
		cl.raw, _ = sc.SyscallConn()
	}
	return cl
}

// peerClosed tells whether the client has closed its connection, also where its reader has not come to notice it.
func (cl *client) peerClosed() bool { return cl != nil && cl.raw != nil && sockio.Gone(cl.raw) }

// wake has the reader look at what it waits for, in or before its next read. Its wish and the deadline that carries it are
// one step beside limit, or a deadline that the reader sets just then would take the wish along.
func (cl *client) wake() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.wakeRequested = true; !cl.draining { // that has an end of its own, and cut short it would take the answer along
		cl.nc.SetReadDeadline(time.Now())
	}
}

// setReadDeadline has reads end at a time, the zero one for never, unless the reader has been woken meanwhile.
func (cl *client) setReadDeadline(at time.Time) {
	cl.mu.Lock()
	if cl.wakeRequested {
		at = time.Now()
	}
	cl.nc.SetReadDeadline(at)
	cl.mu.Unlock()
}

// clearWake takes the wish: its reader is looking.
func (cl *client) clearWake() {
	cl.mu.Lock()
	cl.wakeRequested = false
	cl.mu.Unlock()
}

// readState is the state of a client connection's goroutine.
type readState struct {
	parser        http1.Requests
	buf           []byte      // of one size
	buffered      []byte      // of it, what has come and is not fed yet
	receivedAt    float64     // clock at which that came, ms
	firstByteAt   float64     // clock of the first byte of what is coming, ms
	answerPending bool        // an answer may not have left yet
	deadlineSet   bool        // a read deadline is set
	hadRequest    bool        // a request has come
	discarded     int         // bytes passed over while an answer is owed
	finalAnswered bool        // an answer has left behind which the connection is closed
	reason        closeReason // why the connection ends
}

const (
	minQueueDelay = 10 * time.Millisecond // in the listener's queue, from which on it is asked how long bytes stood unread
	maxDrainReads = 32                    // buffers read behind a last answer
	maxDiscarded  = 1 << 18               // bytes passed over ahead of an answer; its client is no longer listened to then
)

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

// step does the next thing there is to do for a connection, and tells whether it goes on.
func (cl *client) step(r *readState) bool {
	r.pollAnswer(cl)
	// What its client sent behind a last answer would run with no way to answer it; behind what was passed over it would
	// be read from somewhere in the middle.
	if cl.finished.Load() || cl.overflowed.Load() && !r.answerPending {
		r.finalAnswered, r.reason = true, closedLastAnswer
		if cl.writeFailed.Load() {
			r.reason = closedWriteFailed
		}
		return false
	}
	switch {
	case len(r.buffered) > 0 && !r.answerPending: // nothing is fed ahead of an answer: a connection holds one body at a time
		cl.holdsInput.Store(false)
		return cl.parse(r)
	case len(r.buffered) > 0 && !cl.holdsInput.Load():
		cl.holdsInput.Store(true) // the answer may have left just before: look once more
		return true
	}
	return cl.read(r)
}

// pollAnswer notices that the answer owed has left.
func (r *readState) pollAnswer(cl *client) {
	select {
	case <-cl.answerDone:
		r.answerWritten(cl)
	default:
	}
}

func (r *readState) answerWritten(cl *client) {
	cl.writing.Store(false)
	r.answerPending = false
}

// read reads on, also while an answer is owed: a client that leaves is noticed behind whatever it sent. What comes ahead
// of the answer is held as far as there is room, and then passed over.
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
	// A client may have its answer, and send its next request, before the answer's writer has said that it is written: that is
	// not ahead of it. Taken for so, a large one would end the connection with no answer.
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
	over := pool.Get()[:pool.Size]
	n, err := sockio.Read(cl.nc, over)
	pool.Put(over)
	r.discarded += n
	return err == nil || cl.afterReadError(r, err)
}

// queueDelay is how long, in ms, the first bytes of a connection stood queueDelay: it may have waited in the listener's queue, with its
// client's time running.
func (cl *client) queueDelay() float64 {
	most := cl.maxQueued
	if cl.maxQueued = 0; most < minQueueDelay || cl.raw == nil {
		return 0
	}
	return float64(min(most, sockio.LastReceived(cl.raw))) / float64(time.Millisecond)
}

// parse feeds what came, up to one whole request, and tells whether the connection goes on.
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
	// One that dribbles its request must not keep the connection for ever.
	if r.parser.Begun() && !r.deadlineSet {
		r.deadlineSet = true
		cl.setReadDeadline(time.Now().Add(duration(cl.c.shutdown.Load().Deadline(r.inputStart(cl)+cl.c.cfg.Pace.SlowInput) - r.receivedAt)))
	}
	return true
}

// inputStart is the clock from which the time to bring a request counts: its first byte, or the connection's
// beginning for the first one, as its client may have been silent before.
func (r *readState) inputStart(cl *client) float64 {
	if r.hadRequest {
		return r.firstByteAt
	}
	return cl.openedAt
}

// dispatch passes a whole request on, or answers what is none.
func (cl *client) dispatch(r *readState) bool {
	op, err := r.parser.Take()
	if err == nil && (op.Path == http1.ReadyPath || op.Path == http1.LivePath) {
		status := http.StatusOK
		if op.Path == http1.ReadyPath && !cl.c.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		op.Free()
		return cl.respond(r, status, op.Last)
	}
	var ev gate.Request
	if err == nil {
		if ev, err = cl.c.gateRequest(op); err != nil {
			op.Free()
		}
	}
	if err != nil {
		return cl.rejectInput(r, err, op.Last)
	}
	r.answerPending = true
	cl.c.post(requestArrived{cl, op, ev, r.firstByteAt})
	return true
}

// rejectInput answers what is no request.
func (cl *client) rejectInput(r *readState, err error, last bool) bool {
	status := http.StatusBadRequest
	var f *http1.Fault
	if errors.As(err, &f) {
		status = f.Status
	}
	r.reason = closedBadRequest
	return cl.respond(r, status, last)
}

// respond answers from the reader itself, and tells whether the connection goes on.
func (cl *client) respond(r *readState, status int, last bool) bool {
	if !cl.writeAnswer(http1.AppendAnswer(pool.Get(), status, 0, nil, last)) {
		r.reason = closedWriteFailed
		return false
	}
	if r.finalAnswered = last; last && r.reason == closedByClient {
		r.reason = closedLastAnswer
	}
	return !last
}

// writeAnswer sends a whole answer. A client that does not read it is left.
func (cl *client) writeAnswer(answer []byte) bool {
	until := time.Now().Add(duration(cl.c.cfg.Pace.SlowInput))
	cl.nc.SetWriteDeadline(until)
	_, err := sockio.Write(cl.nc, answer, until)
	pool.Put(answer)
	return err == nil
}

// drain ends the sending side behind a last answer and reads on for a while: a connection closed with bytes unread is
// reset, and takes the answer with it. Nothing of what comes is looked at.
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

// answer writes a request's answer. Behind the last one the reader ends the connection.
func (cl *client) answer(answer []byte, last bool) {
	cl.writing.Store(true)
	if well := cl.writeAnswer(answer); !well || last {
		cl.writeFailed.Store(!well)
		cl.finished.Store(true)
		if !well {
			cl.nc.Close() // there is nothing to save
		}
	}
	cl.answerDone <- struct{}{}
	if cl.finished.Load() || cl.holdsInput.Load() || cl.closeRequested.Load() {
		cl.wake()
	}
}

// afterReadError tells whether a connection goes on after a read that failed.
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
		most := pace.SlowInput
		if cl.closeRequested.Load() {
			most = min(most, pace.Linger) // others wait for its socket
		}
		if rest := cl.c.shutdown.Load().Deadline(r.inputStart(cl)+most) - cl.c.clock.now(); rest > 0 {
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

// finalRead reads once more before an idle connection is closed, so that no request is crossed that has come. What comes
// later is never read, and its client is reset: it knows that the request was not taken.
func (cl *client) finalRead(r *readState) bool {
	n := 0
	if cl.raw != nil {
		// A read with a short deadline would not do: held up for that long, it never looks.
		n = sockio.ReadNow(cl.raw, r.buf)
	}
	if n == 0 {
		r.reason = closeReason(cl.reason.Load())
		return false
	}
	r.buffered, r.receivedAt = r.buf[:n], cl.c.clock.now()
	return true
}

// requestClose asks an idle connection to end itself; what has come on it is answered first.
func (cl *client) requestClose(why closeReason) {
	cl.reason.Store(uint32(why))
	cl.closeRequested.Store(true)
	cl.wake()
}
