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
	at, until           float64 // clock of its start and of the end of its time, ms
	by                  float64 // clock after which it must not begin, ms; 0 is none
	link                *link
	client              *client
	stage               atomic.Int32
	ended               bool
	how                 end // where it has ended
}

const remainingHolds = 50 * time.Millisecond // for which the time that a backend is told may go on being written

// tooLate tells whether an attempt must not begin any more.
func (f *attempt) tooLate(now float64) bool { return now >= f.until || f.by > 0 && now > f.by }

// Stages of an attempt. Who brings it out of waiting, its writer or the owner that gives it up, has it.
const (
	waiting int32 = iota
	writing       // its last byte may have been written
	broken        // was cut off before its last byte was written
	dropped       // will not be written
)

// unsent claims an attempt that has not begun, or tells that one never left whole.
func (f *attempt) unsent() bool {
	return f.stage.CompareAndSwap(waiting, dropped) || f.stage.Load() != writing
}

// expire ends an attempt whose time has run out.
func (f *attempt) expire(c *core) {
	if !f.ended {
		c.abandon(f, endLateUnsent, endLate)
	}
}

// link is one connection to a backend. Its goroutine dials and reads.
type link struct {
	c       *core
	backend int
	addr    string
	process wallTime           // start of the process that it leads to, as listed
	cancel  context.CancelFunc // ends the dial
	busy    atomic.Bool        // an attempt is being written

	mu   sync.Mutex
	nc   net.Conn
	raw  syscall.RawConn // of nc, where it has one
	dead bool
	owes bool // an answer is awaited

	// The owner's.
	cur       *attempt
	idleSince float64
	used      bool // has brought an answer
	closed    bool
}

// carry has the connection carry an attempt from here on, unless something has come or it has ended since the
// answer before: what is left over must not be taken for the next answer.
func (l *link) carry(f *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || l.raw != nil && !sockio.IsIdle(l.raw) {
		return false
	}
	l.owes = f.stage.CompareAndSwap(waiting, writing)
	return l.owes
}

// receive reads what has come and tells whether an answer was owed then. The two are one step beside carry: what
// was read before is no part of an answer to what carry lets out.
func (l *link) receive(p []byte) (n int, owed bool, err error) {
	if l.raw == nil {
		n, err = sockio.Read(l.nc, p)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dead = l.dead || !l.owes
		return n, l.owes, err
	}
	var fault error
	err = l.raw.Read(func(fd uintptr) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		n, fault = sockio.ReadFD(fd, p)
		owed = l.owes
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

// settled marks what was owed as come.
func (l *link) settled() {
	l.mu.Lock()
	l.owes = false
	l.mu.Unlock()
}

// close ends the connection, whatever it is at.
func (l *link) close() {
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
func (l *link) dial(ctx context.Context) (up bool, how end) {
	nc, err := l.c.dial(ctx, l.addr)
	if err != nil {
		return false, endOfDial(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		nc.Close()
		return false, endNoConn
	}
	l.nc = nc
	if sc, ok := nc.(syscall.Conn); ok {
		l.raw, _ = sc.SyscallConn()
	}
	return true, endWell
}

// endOfDial tells how a dial ended: that this machine has no socket to give is not held against the other.
func endOfDial(err error) end {
	if sockio.IsLocalShortage(err) {
		return endNoSocket
	}
	return endNoConn
}

func (l *link) run(ctx context.Context, first *attempt, msg []byte) {
	defer l.c.budget.put()
	defer l.cancel()
	if up, how := l.dial(ctx); !up {
		l.c.post(cut{l, how})
		return
	}
	defer l.nc.Close()
	l.write(first, msg)
	l.c.post(cut{l, l.read()})
}

// write sends an attempt, unless it was given up before or the connection is of no more use.
func (l *link) write(f *attempt, msg []byte) {
	defer func() { pool.Put(msg) }()
	l.busy.Store(true)
	defer l.busy.Store(false)
	// A connection may have been long in coming, or the process held up: what its time has passed by would run for nobody, or at
	// a backend that may have forgotten the request's key, and twice.
	if f.tooLate(l.c.clock.now()) && f.stage.CompareAndSwap(waiting, dropped) {
		l.c.post(lapsed{f})
		return
	}
	if f.client.gone() {
		return // its reader is about to say so, and the owner takes the attempt back
	}
	if !l.carry(f) {
		if f.stage.Load() == waiting {
			l.nc.Close() // the owner takes another
		}
		return
	}
	n, err := l.put(f, &msg)
	if err != nil {
		if n < len(msg) {
			f.stage.Store(broken)
		}
		l.nc.Close()
	}
}

// put writes an attempt's message. The time that it tells its backend is the one left when its first byte leaves.
func (l *link) put(f *attempt, msg *[]byte) (n int, err error) {
	for {
		*msg = http1.SetRemaining(*msg, f.until-l.c.clock.now())
		n, err = sockio.Write(l.nc, *msg, time.Now().Add(remainingHolds))
		if n > 0 || !sockio.IsTransient(err) || f.tooLate(l.c.clock.now()) {
			break
		}
	}
	if sockio.IsTransient(err) {
		var rest int
		rest, err = sockio.Write(l.nc, (*msg)[n:], time.Now().Add(span(f.until-l.c.clock.now())))
		n += rest
	}
	return n, err
}

// read passes answers on until the connection ends.
func (l *link) read() end {
	var in http1.ResponseReader
	defer in.Drop()
	buf := pool.Get()[:pool.Size]
	defer pool.Put(buf)
	for {
		n, owed, err := l.receive(buf)
		if err != nil {
			return endCut
		}
		if !owed {
			return endGarbled // a second answer would be taken for the next one's
		}
		at := l.c.clock.now()
		used, whole, err := in.Feed(buf[:n])
		if err != nil {
			return endGarbled
		}
		if !whole {
			continue
		}
		l.settled()
		a := in.Take()
		a.Close = a.Close || used < n // what is behind an answer belongs to none
		last := a.Close
		l.c.post(answered{l, a, at})
		if last {
			return endGarbled
		}
	}
}

// endOf tells how a whole answer ends its attempt.
func endOf(a *http1.Response) end {
	switch {
	case a.Status == http.StatusOK:
		return endWell
	case a.TurnedAway && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusGatewayTimeout):
		return endTurnedAway
	}
	return endIll
}

// send starts an attempt, on an idle connection where there is one.
func (c *core) send(a gate.Send) {
	o := &c.ops[a.Op]
	f := &attempt{op: a.Op, number: len(o.attempts), backend: a.Backend, at: c.now, until: o.until, by: a.StartBy, client: o.client}
	if a.Timeout > 0 {
		f.until = min(f.until, c.now+a.Timeout)
	}
	allowed := c.mayStart(o, a.Backend)
	o.attempts = append(o.attempts, f)
	o.out++
	if !allowed {
		c.finish(f, endLeftUnsent, c.now, -1, -1)
		return
	}
	if f.number > 0 {
		c.tally.retried++
	}
	c.traceSend(f)
	c.launch(f)
}

// rested takes the connection used last that has been idle for long enough. A second answer may come some time behind the
// first: on a connection that carries the next attempt already, it would be taken for that one's.
func (b *backend) rested(before float64) *link {
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
	if f.link = b.rested(c.now - c.cfg.Pace.Settle); f.link == nil {
		if !c.budget.take(c.budget.own) && !(c.spare() && c.budget.take(c.budget.own)) {
			c.finish(f, endNoSocket, c.now, -1, -1)
			return
		}
		f.link = &link{c: c, backend: f.backend, addr: b.addr, process: b.process}
	}
	l := f.link
	l.cur = f
	msg := http1.AppendAttempt(pool.Get(), c.ops[f.op].msg, l.addr, f.until-c.now)
	c.due.add(f.until, f)
	if l.nc != nil {
		go l.write(f, msg)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	c.links[l] = struct{}{}
	go l.run(ctx, f, msg)
}

// spare closes the backend connection that has been idle longest, for one that is wanted now.
func (c *core) spare() bool {
	var oldest *link
	for l := range c.links {
		if l.cur == nil && (oldest == nil || l.idleSince < oldest.idleSince) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	c.retire(oldest)
	return true
}

// retire closes a connection and forgets it.
func (c *core) retire(l *link) {
	idle := c.backends[l.backend].idle
	for i := range idle {
		if idle[i] == l {
			c.backends[l.backend].idle = append(idle[:i], idle[i+1:]...)
			break
		}
	}
	l.closed = true
	delete(c.links, l)
	l.close()
}

// abandon stops waiting for an attempt, which closes its connection.
func (c *core) abandon(f *attempt, unsent, sent end) {
	if f.ended {
		return
	}
	how := sent
	if f.unsent() {
		how = unsent
	}
	c.retire(f.link)
	c.finish(f, how, c.now, -1, -1)
}

// holdBack keeps attempts from leaving that have not yet, of a request that is over: none may begin for a client that has
// gone or has its answer. That needs no leave to cancel, as nothing is out.
func (c *core) holdBack(o *request) {
	for _, f := range o.attempts {
		if !f.ended && f.stage.CompareAndSwap(waiting, dropped) {
			c.retire(f.link)
			c.finish(f, endLeftUnsent, c.now, -1, -1)
		}
	}
}

// lapsed is an attempt whose connection came too late for it to begin. The connection goes with it: it may be on its way
// down, and another attempt takes one that is known.
type lapsed struct{ f *attempt }

func (n lapsed) take(c *core) { c.abandon(n.f, endLateUnsent, endLateUnsent) }

// finish tells the decisions how an attempt ended.
func (c *core) finish(f *attempt, how end, at, use, queue float64) {
	o := &c.ops[f.op]
	f.ended, f.how = true, how
	c.tally.ended[how]++
	c.traceEnd(f, how)
	o.out--
	c.closing = append(c.closing, f.op)
	c.backends[f.backend].counts.transmitted(how.result(), at-f.at)
	c.pending = append(c.pending, gate.AttemptEnded{Op: f.op, Attempt: f.number, Backend: f.backend,
		Result: how.result(), Latency: at - f.at, Answered: o.over, MeteredUse: use, Queue: queue})
}

// answered is a whole answer of a backend.
type answered struct {
	l  *link
	a  http1.Response
	at float64
}

func (n answered) take(c *core) {
	defer n.a.Free()
	l, f := n.l, n.l.cur
	if l.closed || f == nil {
		return
	}
	f.stage.CompareAndSwap(waiting, writing) // what has an answer has left
	l.cur, l.idleSince, l.used = nil, n.at, true
	how := endOf(&n.a)
	if how == endWell {
		c.answer(f.op, http.StatusOK, 0, n.a.Body, "")
	}
	queue := n.a.Queue
	if !c.cfg.Settings.ReportsQueue() {
		queue = -1 // the settings say that answers hold no reports
	}
	c.finish(f, how, n.at, n.a.Use, queue)
	// An answer may come before all of its attempt has left.
	if b := &c.backends[l.backend]; n.a.Close || l.busy.Load() || !b.takes(l) {
		c.retire(l)
	} else {
		b.idle = append(b.idle, l)
	}
}

// cut is the end of a backend connection.
type cut struct {
	l   *link
	how end
}

func (n cut) take(c *core) {
	l, f := n.l, n.l.cur
	if l.closed {
		return
	}
	l.cur = nil
	c.retire(l)
	if f == nil {
		return
	}
	unsent := f.stage.CompareAndSwap(waiting, dropped)
	if _, broken := c.startBreaks(&c.ops[f.op], &c.backends[f.backend]); unsent && l.used && !broken { // the connection had gone stale, which is no news of the backend
		f.ended = true
		again := &attempt{op: f.op, number: f.number, backend: f.backend, at: f.at, until: f.until, by: f.by, client: f.client}
		c.ops[f.op].attempts[f.number] = again
		c.launch(again)
		return
	}
	if (unsent || f.stage.Load() != writing) && !n.how.result().NeverRan() {
		n.how = endCutUnsent
	}
	c.finish(f, n.how, c.now, -1, -1)
}
