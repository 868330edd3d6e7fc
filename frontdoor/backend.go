package frontdoor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/sockio"
)

// attempt is one attempt of a request at a backend.
type attempt struct {
	op, number, backend int
	startedAt, deadline float64 // clock, ms
	startBy             float64 // clock after which it must not begin to be written, ms; 0 is none
	conn                *backendConn
	client              *client
	stage               atomic.Int32
	confirmed           bool // it was sent to the listed process for sure
	ended               bool
	outcome             outcome // valid once ended
}

// maxRemainingAge is how long writing an attempt may take before its header with the remaining time must be computed anew.
const maxRemainingAge = 50 * time.Millisecond

// tooLate reports whether an attempt must not begin to be written any more.
func (att *attempt) tooLate(now float64) bool {
	return now >= att.deadline || att.startBy > 0 && now > att.startBy
}

// Stages of an attempt. The writing goroutine and the event loop, when it cancels the attempt, compete to change it from
// stageWaiting; whichever succeeds owns the attempt.
const (
	stageWaiting int32 = iota
	stageWriting       // its last byte may have been written
	stageBroken        // its connection broke before its last byte was written
	stageDropped       // it will not be written
)

// claimUnsent drops an attempt that has not begun to be written, and reports whether the backend cannot have received it whole.
func (att *attempt) claimUnsent() bool {
	return att.stage.CompareAndSwap(stageWaiting, stageDropped) || att.stage.Load() != stageWriting
}

// settled reports whether the attempt has ended.
func (att *attempt) settled() bool { return att.ended }

// expire abandons an attempt that has timed out.
func (att *attempt) expire(c *core) {
	if !att.ended {
		c.abandon(att, outcomeTimeoutUnsent, outcomeTimeout)
	}
}

// backendConn is one connection to a backend. Its goroutine dials and reads; each attempt but the first is written by a goroutine
// of its own.
type backendConn struct {
	c               *core
	backend         int
	addr            string
	processStart    wallTime           // start of the backend process it is connected to, as listed
	cancel          context.CancelFunc // ends the dial
	writeInProgress atomic.Bool        // an attempt is being written

	mu            sync.Mutex
	nc            net.Conn
	raw           syscall.RawConn // of nc, if it has one
	dead          bool            // no more attempts may begin
	answerPending bool

	// Used by the event loop only.
	attempt       *attempt // in progress; nil if idle
	establishedAt float64  // clock, ms; notEstablished at first
	idleSince     float64  // clock, ms
	hasAnswered   bool     // has carried an answer
	closed        bool
}

// begin claims an attempt for writing and marks its answer as pending. It reports false if the connection has ended, if bytes have
// arrived since the previous answer, which must not be taken for the next one, or if the attempt has been dropped.
func (conn *backendConn) begin(att *attempt) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.dead || conn.raw != nil && !sockio.IsIdle(conn.raw) {
		return false
	}
	conn.answerPending = att.stage.CompareAndSwap(stageWaiting, stageWriting)
	return conn.answerPending
}

// receive reads up to limit bytes, once, into a buffer of the pool, and reports whether an answer was pending at that time. Reading
// and checking happen under the same lock as begin: bytes read before begin are no part of the answer to the attempt that it starts.
func (conn *backendConn) receive(limit int) (buf []byte, n int, answerPending bool, err error) {
	if conn.raw == nil {
		buf = pool.Get()[:pool.Size]
		n, err = sockio.Read(conn.nc, buf[:limit])
		conn.mu.Lock()
		defer conn.mu.Unlock()
		conn.dead = conn.dead || !conn.answerPending
		return buf, n, conn.answerPending, err
	}
	buf, n, err = receiveBuffer(conn.raw, limit, func(read func() bool) bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		answerPending = conn.answerPending
		done := read()
		conn.dead = conn.dead || done && !answerPending // begin cannot see the bytes that were read here
		return done
	})
	return buf, n, answerPending, err
}

// answerReceived records that the pending answer has been received.
func (conn *backendConn) answerReceived() {
	conn.mu.Lock()
	conn.answerPending = false
	conn.mu.Unlock()
}

// close ends the connection in any state, also while it is being dialled.
func (conn *backendConn) close() {
	conn.mu.Lock()
	conn.dead = true
	nc := conn.nc
	conn.mu.Unlock()
	conn.cancel()
	if nc != nil {
		nc.Close()
	}
}

// dial establishes the connection. If that fails or comes too late, it returns the attempt's outcome.
func (conn *backendConn) dial(ctx context.Context) (up bool, how outcome) {
	nc, err := conn.c.dial(ctx, conn.addr)
	if err != nil {
		return false, dialOutcome(err)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.dead {
		nc.Close()
		return false, outcomeNoConnection
	}
	conn.nc = nc
	if sc, ok := nc.(syscall.Conn); ok {
		conn.raw, _ = sc.SyscallConn()
	}
	return true, outcomeOK
}

// dialOutcome returns the outcome of a failed dial. A shortage of sockets on this machine is not counted against the peer.
func dialOutcome(err error) outcome {
	if sockio.IsLocalShortage(err) {
		return outcomeNoSocket
	}
	return outcomeNoConnection
}

// run dials, writes the first attempt and reads answers until the connection ends.
func (conn *backendConn) run(ctx context.Context, first *attempt, msg *http1.Request) {
	defer conn.c.releaseBackend()
	defer conn.cancel()
	if up, how := conn.dial(ctx); !up {
		conn.c.post(connClosed{conn, how})
		return
	}
	defer conn.nc.Close()
	conn.c.post(connEstablished{conn, conn.c.clock.now()})
	conn.writeAttempt(first, msg)
	conn.c.post(connClosed{conn, conn.readAnswers()})
}

// writeAttempt writes an attempt, unless it has been dropped or the connection is no longer usable.
func (conn *backendConn) writeAttempt(att *attempt, msg *http1.Request) {
	conn.writeInProgress.Store(true)
	defer conn.writeInProgress.Store(false)
	// Dialling or the client's input may have taken long, or the process may have been suspended. An attempt past its time would run for
	// nobody, or run twice at a backend that may have forgotten the request's key.
	client := att.client.presence()
	if client == departed {
		return
	}
	if (client == uncertain || att.tooLate(conn.c.clock.now())) && att.stage.CompareAndSwap(stageWaiting, stageDropped) {
		conn.c.post(attemptTooLate{att})
		return
	}
	if !conn.begin(att) {
		if att.stage.Load() == stageWaiting {
			conn.nc.Close() // the event loop then launches the attempt on another connection
		}
		return
	}
	if whole, err := conn.writeMessage(att, msg); err != nil {
		if !whole {
			att.stage.Store(stageBroken)
		}
		conn.nc.Close()
	}
}

// writeMessage writes an attempt's message and reports whether its last byte was written. The remaining time in its head is computed
// right before the first byte is written. A short body is written together with the head, a longer one without copying it.
func (conn *backendConn) writeMessage(att *attempt, msg *http1.Request) (whole bool, err error) {
	first := http1.AppendAttempt(pool.Get(), msg, conn.addr, att.deadline-conn.c.clock.now())
	defer func() { pool.Put(first) }()
	rest := msg.Body
	if len(first)+len(rest) <= pool.Size {
		first, rest = append(first, rest...), nil
	}
	left, err := conn.writeFirst(att, first)
	if sockio.IsTransient(err) {
		var n int
		n, err = sockio.Write(conn.nc, left, conn.writeUntil(att))
		left = left[n:]
	}
	if err != nil || len(rest) == 0 {
		return len(left)+len(rest) == 0, err
	}
	n, err := sockio.Write(conn.nc, rest, conn.writeUntil(att))
	return n == len(rest), err
}

// writeFirst writes the first part of an attempt's message, and returns what is left of it. While none of it has been written, it
// replaces the remaining time in it.
func (conn *backendConn) writeFirst(att *attempt, first []byte) (left []byte, err error) {
	for {
		first = http1.SetRemaining(first, att.deadline-conn.c.clock.now())
		n, err := sockio.Write(conn.nc, first, time.Now().Add(maxRemainingAge))
		if n > 0 || !sockio.IsTransient(err) || att.tooLate(conn.c.clock.now()) {
			return first[n:], err
		}
	}
}

// writeUntil returns the time until which writing an attempt may be retried.
func (conn *backendConn) writeUntil(att *attempt) time.Time {
	return time.Now().Add(duration(att.deadline - conn.c.clock.now()))
}

// readAnswers posts answers to the event loop until the connection ends, and returns the outcome of an attempt that is then still
// in progress.
func (conn *backendConn) readAnswers() outcome {
	in := answerReader{memory: memoryLease{budget: conn.c.memory}}
	defer in.memory.release()
	for {
		if how, last := conn.readOnce(&in); last {
			return how
		}
	}
}

// answerReader is the state of a backend connection's reader.
type answerReader struct {
	parser http1.ResponseReader
	memory memoryLease // of the answer that the parser holds
}

// readOnce reads once and posts the answer if it is complete. It reports whether the connection has ended, and with which outcome.
func (conn *backendConn) readOnce(in *answerReader) (how outcome, last bool) {
	limit, held := in.parser.Next()
	if held > in.memory.bytes && !conn.awaitMemory(&in.memory, held) {
		return outcomeBroken, true
	}
	buf, n, answerPending, err := conn.receive(limit)
	defer pool.Put(buf)
	if err != nil {
		return outcomeBroken, true
	}
	if !answerPending {
		return outcomeMalformed, true // a second answer would be taken for the next attempt's
	}
	at := conn.c.clock.now()
	used, whole, err := in.parser.Feed(buf[:n])
	if err != nil {
		return outcomeMalformed, true
	}
	if !conn.awaitMemory(&in.memory, in.parser.Held()) {
		return outcomeBroken, true
	}
	if !whole {
		return outcomeOK, false
	}
	conn.answerReceived()
	a := in.parser.Take()
	a.Close = a.Close || used < n // extra bytes after an answer belong to no attempt
	conn.c.post(answerArrived{conn, a, at, in.memory.transfer()})
	return outcomeMalformed, a.Close
}

// awaitMemory acquires memory for an answer. It waits until others give theirs back, or until the connection is closed, at the latest
// when its attempt's time is over.
func (conn *backendConn) awaitMemory(lease *memoryLease, bytes int) bool {
	for !lease.resizeAnswer(bytes) {
		conn.mu.Lock()
		dead := conn.dead
		conn.mu.Unlock()
		if dead {
			return false
		}
		conn.c.askForMemory()
		time.Sleep(memoryPollInterval)
	}
	return true
}

// answerOutcome returns the outcome of an attempt that received a complete answer.
func answerOutcome(a *http1.Response) outcome {
	switch {
	case a.Status == http.StatusOK:
		return outcomeOK
	case a.TurnedAway && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout):
		return outcomeTurnedAway
	}
	return outcomeError
}

// send starts an attempt, unless that would violate an invariant.
func (c *core) send(a gate.Send) {
	req := &c.requests[a.Op]
	att := &attempt{op: a.Op, number: len(req.attempts), backend: a.Backend, startedAt: c.now, deadline: req.deadline, startBy: a.StartBy, client: req.client}
	if a.Timeout > 0 {
		att.deadline = min(att.deadline, c.now+a.Timeout)
	}
	allowed := c.mayStart(req, a.Backend)
	req.attempts = append(req.attempts, att)
	req.outstanding++
	if !allowed {
		c.finish(att, outcomeAbandonedUnsent, c.now, -1, -1)
		return
	}
	if att.number > 0 {
		c.tally.retried++
	}
	c.traceAttempt(att)
	c.launch(att)
}

// takeIdle removes and returns the most recently used connection that is suitable among those idle since the given clock or longer, nil
// if there is none. The pause matters as a backend may send a second answer shortly after the first: on a connection that already
// carries the next attempt, it would be taken for that attempt's answer.
func (b *backend) takeIdle(before float64, suitable func(*backendConn) bool) *backendConn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		if conn := b.idle[i]; conn.idleSince <= before && suitable(conn) {
			b.idle = append(b.idle[:i], b.idle[i+1:]...)
			return conn
		}
	}
	return nil
}

// launch assigns an attempt to an idle connection, or to a new one if there is none, and starts writing it.
func (c *core) launch(att *attempt) {
	conn, how := c.connectionFor(att)
	if conn == nil {
		c.finish(att, how, c.now, -1, -1)
		return
	}
	att.conn, att.confirmed, conn.attempt = conn, c.reached(conn), att
	msg := c.requests[att.op].msg
	c.timeouts.add(att.deadline, att)
	if conn.nc != nil {
		go conn.writeAttempt(att, msg)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	conn.cancel = cancel
	c.backendConns[conn] = struct{}{}
	go conn.run(ctx, att, msg)
}

// connectionFor returns a connection for an attempt: an idle one, for a request that only some backends deduplicate preferably one that
// surely reaches the listed process, or a new one. If there may be none, it returns the attempt's outcome.
func (c *core) connectionFor(att *attempt) (conn *backendConn, how outcome) {
	b, rested := &c.backends[att.backend], c.now-c.cfg.Pace.Settle
	confirm, allowed := c.mustConfirm(att)
	if !allowed {
		return nil, outcomeUnconfirmed
	}
	if c.scoped(c.requests[att.op].class) {
		conn = b.takeIdle(rested, c.reached)
	}
	if conn == nil && confirm {
		return nil, outcomeUnconfirmed
	}
	if conn == nil {
		conn = b.takeIdle(rested, func(*backendConn) bool { return true })
	}
	if conn != nil {
		return conn, outcomeOK
	}
	if !c.acquireBackend() && !(c.evictIdle() && c.acquireBackend()) {
		return nil, outcomeNoSocket
	}
	return &backendConn{c: c, backend: att.backend, addr: b.addr, processStart: b.processStart, establishedAt: notEstablished}, outcomeOK
}

// acquireBackend takes a socket and the memory of a connection for one more backend connection, if the budgets have both.
func (c *core) acquireBackend() bool {
	if !c.budget.acquire(c.budget.backendReserve) {
		return false
	}
	if !c.memory.acquire(connectionMemory, 0) {
		c.budget.release()
		return false
	}
	return true
}

// releaseBackend returns the socket and the memory of a backend connection.
func (c *core) releaseBackend() {
	c.memory.release(connectionMemory)
	c.budget.release()
}

// evictIdle closes the backend connection that has been idle longest, to free its socket, and reports whether there was one.
func (c *core) evictIdle() bool {
	var oldest *backendConn
	for conn := range c.backendConns {
		if conn.attempt == nil && (oldest == nil || conn.idleSince < oldest.idleSince) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	c.closeConn(oldest)
	return true
}

// closeConn closes a backend connection and removes it from the event loop's state.
func (c *core) closeConn(conn *backendConn) {
	idle := c.backends[conn.backend].idle
	for i := range idle {
		if idle[i] == conn {
			c.backends[conn.backend].idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	conn.closed = true
	delete(c.backendConns, conn)
	conn.close()
}

// abandon ends an attempt that is no longer waited for, and closes its connection. The outcome depends on whether the attempt was
// sent.
func (c *core) abandon(att *attempt, unsent, sent outcome) {
	if att.ended {
		return
	}
	how := sent
	if att.claimUnsent() {
		how = unsent
	}
	c.closeConn(att.conn)
	c.finish(att, how, c.now, -1, -1)
}

// cancelUnsent drops the attempts of a done request that have not begun to be written: none may begin for a client that has gone or
// has its answer. This is allowed even where the terms forbid to cancel, as nothing has been sent.
func (c *core) cancelUnsent(req *request) {
	for _, att := range req.attempts {
		if !att.ended && att.stage.CompareAndSwap(stageWaiting, stageDropped) {
			c.closeConn(att.conn)
			c.finish(att, outcomeAbandonedUnsent, c.now, -1, -1)
		}
	}
}

// attemptTooLate reports that an attempt may not begin: its connection was established too late, or its client may have gone, which
// the client's reader cannot tell. The connection is closed too: it
// may be about to break, and a later attempt should use a connection known to work.
type attemptTooLate struct{ attempt *attempt }

func (e attemptTooLate) handle(c *core) {
	c.abandon(e.attempt, outcomeTimeoutUnsent, outcomeTimeoutUnsent)
}

// finish records the outcome of an attempt and reports it to the decider. use and queue are the backend's metered use and queue
// length as reported in the answer, negative if it reports none.
func (c *core) finish(att *attempt, how outcome, at, use, queue float64) {
	req := &c.requests[att.op]
	att.ended, att.outcome = true, how
	c.tally.ended[how]++
	c.traceAttemptEnd(att, how)
	req.outstanding--
	c.releasable = append(c.releasable, att.op)
	c.backends[att.backend].counts.addAttempt(how.result(), at-att.startedAt)
	c.pending = append(c.pending, gate.AttemptEnded{Op: att.op, Attempt: att.number, Backend: att.backend,
		Result: how.result(), Latency: at - att.startedAt, Answered: req.done, MeteredUse: use, Queue: queue})
}

// answerArrived reports a complete answer of a backend.
type answerArrived struct {
	conn   *backendConn
	answer http1.Response
	at     float64 // clock, ms
	memory memoryLease
}

func (e answerArrived) handle(c *core) {
	conn, att := e.conn, e.conn.attempt
	if conn.closed || att == nil {
		e.memory.release()
		return
	}
	att.stage.CompareAndSwap(stageWaiting, stageWriting) // an answered attempt counts as sent
	conn.attempt, conn.idleSince, conn.hasAnswered = nil, e.at, true
	how := answerOutcome(&e.answer)
	if how == outcomeOK {
		c.answer(att.op, answer{status: http.StatusOK, body: e.answer.Body, memory: e.memory}, "")
	} else {
		e.memory.release()
	}
	queue := e.answer.Queue
	if !c.cfg.Settings.ReportsQueue() {
		queue = -1 // by the settings, answers contain no load reports
	}
	c.finish(att, how, e.at, e.answer.Use, queue)
	// A backend may answer before its attempt has been written completely.
	if b := &c.backends[conn.backend]; e.answer.Close || conn.writeInProgress.Load() || !b.usable(conn) {
		c.closeConn(conn)
	} else {
		b.idle = append(b.idle, conn)
	}
}

// connClosed reports the end of a backend connection.
type connClosed struct {
	conn    *backendConn
	outcome outcome
}

func (e connClosed) handle(c *core) {
	conn, att := e.conn, e.conn.attempt
	if conn.closed {
		return
	}
	conn.attempt = nil
	c.closeConn(conn)
	if e.outcome == outcomeBroken || e.outcome == outcomeNoConnection {
		c.backends[conn.backend].process.ConnectionLost(c.now)
	}
	if att == nil {
		return
	}
	unsent := att.stage.CompareAndSwap(stageWaiting, stageDropped)
	// An idle connection that turns out to be closed says nothing about the backend: the attempt is launched again.
	if _, violated := c.startViolation(&c.requests[att.op], &c.backends[att.backend]); unsent && conn.hasAnswered && !violated {
		att.ended = true
		again := &attempt{op: att.op, number: att.number, backend: att.backend, startedAt: att.startedAt, deadline: att.deadline, startBy: att.startBy, client: att.client}
		c.requests[att.op].attempts[att.number] = again
		c.launch(again)
		return
	}
	if (unsent || att.stage.Load() != stageWriting) && !e.outcome.result().NeverRan() {
		e.outcome = outcomeBrokenUnsent
	}
	c.finish(att, e.outcome, c.now, -1, -1)
}
