package frontdoor

import (
	"errors"
	"io"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/sockio"
)

// readState is the state of a client connection's reader.
type readState struct {
	parser        http1.RequestReader
	memory        memoryLease // of the request that the parser holds
	input         memoryLease // of the input that is held before the pending answer
	buf           []byte      // of the pool's size, or up to maxHeldInput while an answer is pending; nil if nothing is buffered
	buffered      []byte      // part of buf: bytes received and not parsed yet
	receivedAt    float64     // clock at which the last of them were received, ms
	arrivals      arrivals    // when each of them was received
	firstByteAt   float64     // clock of the first byte of the request being parsed, ms
	answerPending bool        // an answer may not have been written yet
	deadlineSet   bool        // a read deadline is set
	hadRequest    bool        // a request has been received
	discarded     int         // bytes discarded while an answer was pending
	finalAnswered bool        // the last answer has been written; the connection is closed after it
	reason        closeReason // why the connection ends
	pacer         answerPacer
	delayed       bool    // the reader did not read for a while: the system is asked how long the next bytes were unread
	maxQueued     float64 // bound of the time that the first request was in the listener's queue, ms, if the system does not tell; else 0
}

const (
	maxUnreadTime = time.Minute           // for which bytes can have been unread; connections with requests end long before
	minQueueDelay = 10 * time.Millisecond // from this time in the listener's queue on, the kernel is asked how long bytes were unread
	maxAssumedAge = 0.5                   // part of a request's time, for one whose time in the listener's queue is unknown
	maxDrainReads = 32                    // buffers read after a last answer
	maxHeldInput  = 8 * pool.Size         // bytes that are held while an answer is pending, of a client that sends many requests at once
	finalReadSize = smallMessage          // bytes read before an idle connection is closed

	// maxDiscarded is the number of bytes discarded before an answer, more than the system holds for a client that has closed. Beyond
	// that the client is not read from until its answer.
	maxDiscarded = 16 << 20
)

// run reads from the connection until it ends.
func (cl *client) run() {
	r := readState{memory: memoryLease{budget: cl.c.memory}, input: memoryLease{budget: cl.c.memory}, pacer: answerPacer{waiting: &cl.c.pausedClients}}
	defer func() {
		r.releaseMemory()
		if r.finalAnswered {
			cl.drain(r.reason)
		}
		cl.nc.Close()
		cl.c.memory.release(connectionMemory)
		cl.c.budget.release()
		cl.c.post(clientClosed{cl, r.reason})
	}()
	r.delayed = cl.c.noteLateness(cl.c.clock.now() - cl.openedAt)
	for cl.step(&r) {
	}
}

// releaseMemory drops what has been received and not passed on.
func (r *readState) releaseMemory() {
	r.parser.Drop()
	r.memory.release()
	r.dropBuffered()
	r.releaseBuffer()
}

// step does the connection's next step and reports whether the connection continues.
func (cl *client) step(r *readState) bool {
	r.releaseBuffer()
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
		if !r.input.resizeRequest(len(r.buf)) {
			cl.discard(r)
		}
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
	if cl.refused.Load() {
		r.pace()
	}
}

// pace delays the next request after one that was answered without a backend, and lets other goroutines run.
func (r *readState) pace() {
	r.delayed = r.pacer.pause() || r.delayed
	runtime.Gosched()
}

// read reads once. It does so while an answer is pending too, so that a closed connection is noticed whatever the client sent
// before.
func (cl *client) read(r *readState) bool {
	if cl.closeRequested.Load() && !r.answerPending && len(r.buffered) == 0 && !r.parser.Begun() {
		return cl.finalRead(r)
	}
	if r.answerPending {
		return cl.readAhead(r)
	}
	limit, held := r.parser.Next()
	if held > r.memory.bytes && !cl.awaitMemory(r, held) {
		return cl.refuseForMemory(r)
	}
	err := cl.receive(r, limit)
	return err == nil || cl.afterReadError(r, err)
}

// receive reads up to limit bytes and appends them to the buffer. A connection that waits for its first bytes holds no buffer.
func (cl *client) receive(r *readState, limit int) (err error) {
	n := 0
	if r.buf == nil && cl.raw != nil {
		r.buf, n, err = receiveBuffer(cl.raw, limit, func(read func() bool) bool { return read() })
	} else {
		if r.buf == nil {
			r.buf = pool.Get()[:pool.Size]
		}
		n, err = sockio.Read(cl.nc, r.buf[len(r.buffered):len(r.buffered)+limit])
	}
	if n > 0 {
		r.buffered, r.receivedAt = r.buf[:len(r.buffered)+n], cl.c.clock.now()-cl.unreadTime(r)
		r.arrivals.add(n, r.receivedAt)
	}
	return err
}

// receiveBuffer waits until something can be read, and reads up to limit bytes into a buffer of the pool. It returns io.EOF at the end
// of the input, and no buffer if nothing was read. Each try to read passes around, which calls the function that it is given and
// returns its result.
func receiveBuffer(raw syscall.RawConn, limit int, around func(read func() bool) bool) (buf []byte, n int, err error) {
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		return around(func() bool {
			buf = pool.Get()[:pool.Size]
			if n, readErr = sockio.ReadFD(fd, buf[:limit]); n > 0 {
				return true
			}
			pool.Put(buf)
			buf, n = nil, 0
			return readErr != syscall.EAGAIN
		})
	})
	switch {
	case err != nil:
		return nil, 0, err
	case readErr != nil:
		return nil, 0, readErr
	case n == 0:
		return nil, 0, io.EOF
	}
	return buf, n, nil
}

// awaitMemory acquires the memory that the request being received needs next. It waits for a while for other requests to give theirs
// back; what the client goes on sending waits in the system.
func (cl *client) awaitMemory(r *readState, bytes int) bool {
	until := cl.c.shutdown.Load().Deadline(cl.c.clock.now() + cl.c.cfg.Pace.Linger)
	defer cl.awaitsMemory.Store(false)
	for !r.memory.resizeRequest(bytes) {
		cl.awaitsMemory.Store(true)
		cl.largeSince.store(r.firstByteAt)
		if cl.toCloseForMemory() || cl.c.clock.now() >= until {
			return false
		}
		cl.c.askForMemory()
		time.Sleep(memoryPollInterval)
	}
	return true
}

// toCloseForMemory reports whether the event loop wants the request being received given up, as others wait for its memory.
func (cl *client) toCloseForMemory() bool {
	return cl.closeRequested.Load() && closeReason(cl.reason.Load()) == closedForMemory
}

// refuseForMemory refuses the request being received.
func (cl *client) refuseForMemory(r *readState) bool {
	r.releaseMemory()
	r.reason = closedForMemory
	return cl.respondAfter(r, http.StatusServiceUnavailable, cl.c.cfg.Settings.Terms.MaxRetryAfter, true)
}

// unreadTime returns how long, in ms, the bytes that have just been read were unread, while the client's time was running: a connection
// may have waited in the listener's queue, its reader may have been delayed, or the whole process.
func (cl *client) unreadTime(r *readState) float64 {
	limit := cl.maxQueued
	if r.delayed || cl.c.clock.now() < cl.c.lateUntil.load() {
		limit = maxUnreadTime
	}
	queued := cl.maxQueued
	if cl.maxQueued, r.delayed = 0, false; limit < minQueueDelay || cl.raw == nil {
		return 0
	}
	age, known := cl.c.signals.lastReceived(cl.raw).Get()
	if !known {
		r.maxQueued = milliseconds(queued)
	}
	return milliseconds(min(limit, age))
}

// assumedAge returns how long, in ms, a request with a time limit is taken to have been in the listener's queue if the system does not tell.
// The bound may be many times that of the client, in a crowd whose queue is never empty: most of the time is left to the request.
func (r *readState) assumedAge(limit float64) float64 {
	age := min(r.maxQueued, maxAssumedAge*limit)
	r.maxQueued = 0
	return age
}

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// parse parses buffered input, up to one complete request, and reports whether the connection continues.
func (cl *client) parse(r *readState) bool {
	if !r.parser.Begun() {
		r.firstByteAt = r.arrivals.first(r.receivedAt)
	}
	used, whole, err := r.parser.Feed(r.buffered)
	r.buffered = r.buffered[used:]
	r.arrivals.consume(used)
	if err != nil {
		r.releaseMemory()
		cl.rejectInput(r, err, true)
		return false
	}
	if !r.memory.resizeRequest(r.parser.Held()) {
		return cl.refuseForMemory(r)
	}
	if whole {
		cl.largeSince.store(0)
		r.hadRequest = true
		if r.deadlineSet {
			r.deadlineSet = false
			cl.setReadDeadline(time.Time{})
		}
		return cl.dispatch(r)
	}
	if r.memory.bytes > smallMessage {
		cl.largeSince.store(r.firstByteAt)
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
	if err == nil && msg.IsHealthCheck() {
		r.memory.release()
		status := http.StatusOK
		if msg.Path == http1.ReadyPath && !cl.c.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		continues := cl.respond(r, status, msg.Close)
		r.pace()
		return continues
	}
	var ev gate.Request
	if err == nil {
		ev, err = cl.c.gateRequest(msg)
	}
	if err != nil {
		r.memory.release()
		continues := cl.rejectInput(r, err, msg.Close)
		r.pace()
		return continues
	}
	r.answerPending = true
	cl.c.post(requestArrived{cl, msg, ev, r.firstByteAt - r.assumedAge(ev.TTL), r.memory.transfer()})
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
		if cl.toCloseForMemory() {
			return cl.refuseForMemory(r)
		}
		pace := &cl.c.cfg.Pace
		limit := pace.SlowInput
		if cl.closeRequested.Load() {
			limit = min(limit, cl.c.halfSentLimit()) // other clients wait for its socket
		}
		if rest := cl.c.shutdown.Load().Deadline(r.inputStart(cl)+limit) - cl.c.clock.now(); rest > 0 {
			r.deadlineSet = true
			cl.setReadDeadline(time.Now().Add(duration(rest)))
			return true
		}
		r.releaseMemory()
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
	r.buf = pool.Get()[:pool.Size]
	if cl.raw != nil {
		// A read with a short deadline could time out without checking the socket, if the process is suspended for that long.
		n = sockio.ReadNow(cl.raw, r.buf[:finalReadSize])
	}
	if n == 0 {
		r.reason = closeReason(cl.reason.Load())
		return false
	}
	r.buffered, r.receivedAt = r.buf[:n], cl.c.clock.now()
	r.arrivals.add(n, r.receivedAt)
	return true
}
