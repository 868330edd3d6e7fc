package frontdoor

import (
	"context"
	"io"
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

// attempt is one attempt on its way.
type attempt struct {
	op, number, backend int
	startedAt, deadline float64 // clock of its start and of the end of its time, ms
	startBy             float64 // clock after which it must not begin, ms; 0 is none
	conn                *backendConn
	client              *client
	stage               atomic.Int32
	ended               bool
	outcome             outcome // where it has ended
}

const maxRemainingAge = 50 * time.Millisecond // for which the time that a backend is told may go on being written

// tooLate tells whether an attempt must not begin any more.
func (f *attempt) tooLate(now float64) bool {
	return now >= f.deadline || f.startBy > 0 && now > f.startBy
}

// Stages of an attempt. Who brings it out of waiting, its writer or the owner that gives it up, has it.
const (
	stageWaiting int32 = iota
	stageWriting       // its last byte may have been written
	stageBroken        // was cut off before its last byte was written
	stageDropped       // will not be written
)

// claimUnsent claims an attempt that has not begun, or tells that one never left whole.
func (f *attempt) claimUnsent() bool {
	return f.stage.CompareAndSwap(stageWaiting, stageDropped) || f.stage.Load() != stageWriting
}

// expire ends an attempt whose time has run out.
func (f *attempt) expire(c *core) {
	if !f.ended {
		c.abandon(f, outcomeTimeoutUnsent, outcomeTimeout)
	}
}

// backendConn is one connection to a backend. Its goroutine dials and reads.
type backendConn struct {
	c               *core
	backend         int
	addr            string
	processStart    wallTime           // start of the process that it leads to, as listed
	cancel          context.CancelFunc // ends the dial
	writeInProgress atomic.Bool        // an attempt is being written

	mu            sync.Mutex
	nc            net.Conn
	raw           syscall.RawConn // of nc, where it has one
	dead          bool
	answerPending bool // an answer is awaited

	// The owner's.
	attempt     *attempt
	idleSince   float64
	hasAnswered bool // has brought an answer
	closed      bool
}

// begin has the connection begin an attempt from here on, unless something has come or it has ended since the
// answer before: what is left over must not be taken for the next answer.
func (l *backendConn) begin(f *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || l.raw != nil && !sockio.Untouched(l.raw) {
		return false
	}
	l.answerPending = f.stage.CompareAndSwap(stageWaiting, stageWriting)
	return l.answerPending
}

// receive reads what has come and tells whether an answer was owed then. The two are one step beside carry: what
// was read before is no part of an answer to what carry lets out.
func (l *backendConn) receive(p []byte) (n int, owed bool, err error) {
	if l.raw == nil {
		n, err = sockio.Read(l.nc, p)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dead = l.dead || !l.answerPending
		return n, l.answerPending, err
	}
	var fault error
	err = l.raw.Read(func(fd uintptr) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		n, fault = sockio.ReadFD(fd, p)
		owed = l.answerPending
		come := fault != syscall.EAGAIN
		l.dead = l.dead || come && !owed // carry can no longer see what was taken here
		return come
	})
	switch {
	case err != nil:
		return 0, owed, err
	case fault != nil:
		return 0, owed, fault
	case n == 0:
		return 0, owed, io.EOF
	}
	return n, owed, nil
}

// answerReceived marks what was owed as come.
func (l *backendConn) answerReceived() {
	l.mu.Lock()
	l.answerPending = false
	l.mu.Unlock()
}

// close ends the connection, whatever it is at.
func (l *backendConn) close() {
	l.mu.Lock()
	l.dead = true
	nc := l.nc
	l.mu.Unlock()
	l.cancel()
	if nc != nil {
		nc.Close()
	}
}

// dial brings the connection up, and tells how it ended where that did not work or came too late.
func (l *backendConn) dial(ctx context.Context) (up bool, how outcome) {
	nc, err := l.c.dial(ctx, l.addr)
	if err != nil {
		return false, dialOutcome(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		nc.Close()
		return false, outcomeNoConnection
	}
	l.nc = nc
	if sc, ok := nc.(syscall.Conn); ok {
		l.raw, _ = sc.SyscallConn()
	}
	return true, outcomeOK
}

// dialOutcome tells how a dial ended: that this machine has no socket to give is not held against the other.
func dialOutcome(err error) outcome {
	if sockio.OwnShortage(err) {
		return outcomeNoSocket
	}
	return outcomeNoConnection
}

func (l *backendConn) run(ctx context.Context, first *attempt, msg []byte) {
	defer l.c.budget.release()
	defer l.cancel()
	if up, how := l.dial(ctx); !up {
		l.c.post(connClosed{l, how})
		return
	}
	defer l.nc.Close()
	l.writeAttempt(first, msg)
	l.c.post(connClosed{l, l.readAnswers()})
}

// writeAttempt sends an attempt, unless it was given up before or the connection is of no more use.
func (l *backendConn) writeAttempt(f *attempt, msg []byte) {
	defer func() { pool.Put(msg) }()
	l.writeInProgress.Store(true)
	defer l.writeInProgress.Store(false)
	// A connection may have been long in coming, or the process held up: what its time has passed by would run for nobody, or at
	// a backend that may have forgotten the request's key, and twice.
	if f.tooLate(l.c.clock.now()) && f.stage.CompareAndSwap(stageWaiting, stageDropped) {
		l.c.post(attemptTooLate{f})
		return
	}
	if f.client.peerClosed() {
		return // its reader is about to say so, and the owner takes the attempt back
	}
	if !l.begin(f) {
		if f.stage.Load() == stageWaiting {
			l.nc.Close() // the owner takes another
		}
		return
	}
	n, err := l.writeMessage(f, &msg)
	if err != nil {
		if n < len(msg) {
			f.stage.Store(stageBroken)
		}
		l.nc.Close()
	}
}

// writeMessage writes an attempt's message. The time that it tells its backend is the one left when its first byte leaves.
func (l *backendConn) writeMessage(f *attempt, msg *[]byte) (n int, err error) {
	for {
		*msg = http1.SetRemaining(*msg, f.deadline-l.c.clock.now())
		n, err = sockio.Write(l.nc, *msg, time.Now().Add(maxRemainingAge))
		if n > 0 || !sockio.Passing(err) || f.tooLate(l.c.clock.now()) {
			break
		}
	}
	if sockio.Passing(err) {
		var rest int
		rest, err = sockio.Write(l.nc, (*msg)[n:], time.Now().Add(duration(f.deadline-l.c.clock.now())))
		n += rest
	}
	return n, err
}

// readAnswers passes answers on until the connection ends.
func (l *backendConn) readAnswers() outcome {
	var in http1.Answers
	defer in.Drop()
	buf := pool.Get()[:pool.Size]
	defer pool.Put(buf)
	for {
		n, owed, err := l.receive(buf)
		if err != nil {
			return outcomeBroken
		}
		if !owed {
			return outcomeMalformed // a second answer would be taken for the next one's
		}
		at := l.c.clock.now()
		used, whole, err := in.Feed(buf[:n])
		if err != nil {
			return outcomeMalformed
		}
		if !whole {
			continue
		}
		l.answerReceived()
		a := in.Take()
		a.Last = a.Last || used < n // what is behind an answer belongs to none
		last := a.Last
		l.c.post(answerArrived{l, a, at})
		if last {
			return outcomeMalformed
		}
	}
}

// answerOutcome tells how a whole answer ends its attempt.
func answerOutcome(a *http1.Answer) outcome {
	switch {
	case a.Status == http.StatusOK:
		return outcomeOK
	case a.TurnedAway && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout):
		return outcomeTurnedAway
	}
	return outcomeError
}

// send starts an attempt, on an idle connection where there is one.
func (c *core) send(a gate.Send) {
	o := &c.requests[a.Op]
	f := &attempt{op: a.Op, number: len(o.attempts), backend: a.Backend, startedAt: c.now, deadline: o.deadline, startBy: a.By, client: o.client}
	if a.Cap > 0 {
		f.deadline = min(f.deadline, c.now+a.Cap)
	}
	allowed := c.mayStart(o, a.Backend)
	o.attempts = append(o.attempts, f)
	o.outstanding++
	if !allowed {
		c.finish(f, outcomeAbandonedUnsent, c.now, -1, -1)
		return
	}
	if f.number > 0 {
		c.tally.retried++
	}
	c.traceAttempt(f)
	c.launch(f)
}

// takeIdle takes the connection used last that has been idle for long enough. A second answer may come some time behind the
// first: on a connection that carries the next attempt already, it would be taken for that one's.
func (b *backend) takeIdle(before float64) *backendConn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		if l := b.idle[i]; l.idleSince <= before {
			b.idle = append(b.idle[:i], b.idle[i+1:]...)
			return l
		}
	}
	return nil
}

// launch puts an attempt on an idle connection where there is one.
func (c *core) launch(f *attempt) {
	b := &c.backends[f.backend]
	if f.conn = b.takeIdle(c.now - c.cfg.Pace.Settle); f.conn == nil {
		if !c.budget.acquire(c.budget.backendReserve) && !(c.evictIdle() && c.budget.acquire(c.budget.backendReserve)) {
			c.finish(f, outcomeNoSocket, c.now, -1, -1)
			return
		}
		f.conn = &backendConn{c: c, backend: f.backend, addr: b.addr, processStart: b.processStart}
	}
	l := f.conn
	l.attempt = f
	msg := http1.AppendAttempt(pool.Get(), c.requests[f.op].msg, l.addr, f.deadline-c.now)
	c.timeouts.add(f.deadline, f)
	if l.nc != nil {
		go l.writeAttempt(f, msg)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	c.backendConns[l] = struct{}{}
	go l.run(ctx, f, msg)
}

// evictIdle closes the backend connection that has been idle longest, for one that is wanted now.
func (c *core) evictIdle() bool {
	var oldest *backendConn
	for l := range c.backendConns {
		if l.attempt == nil && (oldest == nil || l.idleSince < oldest.idleSince) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	c.closeConn(oldest)
	return true
}

// closeConn closes a connection and forgets it.
func (c *core) closeConn(l *backendConn) {
	idle := c.backends[l.backend].idle
	for i := range idle {
		if idle[i] == l {
			c.backends[l.backend].idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	l.closed = true
	delete(c.backendConns, l)
	l.close()
}

// abandon stops waiting for an attempt, which closes its connection.
func (c *core) abandon(f *attempt, unsent, sent outcome) {
	if f.ended {
		return
	}
	how := sent
	if f.claimUnsent() {
		how = unsent
	}
	c.closeConn(f.conn)
	c.finish(f, how, c.now, -1, -1)
}

// cancelUnsent keeps attempts from leaving that have not yet, of a request that is over: none may begin for a client that has
// gone or has its answer. That needs no leave to cancel, as nothing is out.
func (c *core) cancelUnsent(o *request) {
	for _, f := range o.attempts {
		if !f.ended && f.stage.CompareAndSwap(stageWaiting, stageDropped) {
			c.closeConn(f.conn)
			c.finish(f, outcomeAbandonedUnsent, c.now, -1, -1)
		}
	}
}

// attemptTooLate is an attempt whose connection came too late for it to begin. The connection goes with it: it may be on its way
// down, and another attempt takes one that is known.
type attemptTooLate struct{ attempt *attempt }

func (n attemptTooLate) handle(c *core) {
	c.abandon(n.attempt, outcomeTimeoutUnsent, outcomeTimeoutUnsent)
}

// finish tells the decisions how an attempt ended.
func (c *core) finish(f *attempt, how outcome, at, use, queue float64) {
	o := &c.requests[f.op]
	f.ended, f.outcome = true, how
	c.tally.ended[how]++
	c.traceAttemptEnd(f, how)
	o.outstanding--
	c.releasable = append(c.releasable, f.op)
	c.backends[f.backend].counts.addAttempt(how.result(), at-f.startedAt)
	c.pending = append(c.pending, gate.Ended{Op: f.op, Attempt: f.number, Backend: f.backend,
		Result: how.result(), Latency: at - f.startedAt, Over: o.done, Use: use, Queue: queue})
}

// answerArrived is a whole answer of a backend.
type answerArrived struct {
	conn   *backendConn
	answer http1.Answer
	at     float64
}

func (n answerArrived) handle(c *core) {
	defer n.answer.Free()
	l, f := n.conn, n.conn.attempt
	if l.closed || f == nil {
		return
	}
	f.stage.CompareAndSwap(stageWaiting, stageWriting) // what has an answer has left
	l.attempt, l.idleSince, l.hasAnswered = nil, n.at, true
	how := answerOutcome(&n.answer)
	if how == outcomeOK {
		c.answer(f.op, http.StatusOK, 0, n.answer.Body, "")
	}
	queue := n.answer.Queue
	if !c.cfg.Deal.TellsQueue() {
		queue = -1 // the settings say that answers hold no reports
	}
	c.finish(f, how, n.at, n.answer.Use, queue)
	// An answer may come before all of its attempt has left.
	if b := &c.backends[l.backend]; n.answer.Last || l.writeInProgress.Load() || !b.usable(l) {
		c.closeConn(l)
	} else {
		b.idle = append(b.idle, l)
	}
}

// connClosed is the end of a backend connection.
type connClosed struct {
	conn    *backendConn
	outcome outcome
}

func (n connClosed) handle(c *core) {
	l, f := n.conn, n.conn.attempt
	if l.closed {
		return
	}
	l.attempt = nil
	c.closeConn(l)
	if f == nil {
		return
	}
	unsent := f.stage.CompareAndSwap(stageWaiting, stageDropped)
	if _, broken := c.startViolation(&c.requests[f.op], &c.backends[f.backend]); unsent && l.hasAnswered && !broken { // the connection had gone stale, which is no news of the backend
		f.ended = true
		again := &attempt{op: f.op, number: f.number, backend: f.backend, startedAt: f.startedAt, deadline: f.deadline, startBy: f.startBy, client: f.client}
		c.requests[f.op].attempts[f.number] = again
		c.launch(again)
		return
	}
	if (unsent || f.stage.Load() != stageWriting) && !n.outcome.result().NeverRan() {
		n.outcome = outcomeBrokenUnsent
	}
	c.finish(f, n.outcome, c.now, -1, -1)
}
