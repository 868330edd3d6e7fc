package frontdoor

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/resp"
	"github.com/swifthall/swifthall/internal/sockio"
)

// counterCall is one call of the counter: it adds to a customer's total in an epoch.
type counterCall struct {
	conn     *counterConn
	customer uint64
	epoch    int64
	add, ttl float64 // units to add; how long the counter keeps the total, ms
	number   int64   // by which the decider knows the call

	// Used by the event loop only.
	startedAt float64 // clock, ms
	reported  bool    // the decider has its result
	timedOut  bool    // and that was a timeout
	done      bool    // its connection has no answer pending for it
}

// settled reports whether the connection has no answer pending for the call.
func (call *counterCall) settled() bool { return call.done }

// expire first reports a timeout of the call. If the answer is still pending after Pace.CounterStall, another connection takes the
// place of the call's, as no read ever fails on a connection whose peer has become unreachable. The answer may yet come: the
// connection is closed later.
func (call *counterCall) expire(c *core) {
	stalled := call.startedAt + c.cfg.Pace.CounterStall
	if call.done {
		return
	}
	c.reportCall(call, outcomeTimeout, 0)
	switch {
	case c.now < stalled:
		c.timeouts.add(stalled, call)
	case c.retire(call.conn):
		c.timeouts.add(c.now+retiredPatience, call)
	case c.now < call.conn.closeAt:
		c.timeouts.add(call.conn.closeAt, call)
	default:
		call.conn.disconnect()
	}
}

// Of connections to the counter that were replaced because they owe an answer.
const (
	maxRetired      = 4   // open at the same time
	retiredPatience = 6e3 // ms for which their answers are awaited
)

// retire replaces a connection of the counter that owes an answer by a new one, and reports whether it was in use until now. It stays open
// for its answers.
func (c *core) retire(conn *counterConn) bool {
	i := slices.Index(c.counterConns, conn)
	if i < 0 {
		return false
	}
	conn.replaced, conn.closeAt = true, c.now+retiredPatience
	if c.retired = append(c.retired, conn); len(c.retired) > maxRetired {
		c.retired[0].disconnect()
		c.retired = slices.Delete(c.retired, 0, 1)
	}
	c.counterConns[i] = c.startCounterConn(conn.addr)
	return true
}

// reportCall reports the result of a call to the decider, once.
func (c *core) reportCall(call *counterCall, how outcome, total float64) {
	if call.reported {
		return
	}
	call.reported, call.timedOut = true, how == outcomeTimeout
	if customer, known := c.customers.Find(call.customer); known {
		c.pending = append(c.pending, gate.Counted{Customer: customer, Epoch: call.epoch, Result: how.result(), Total: total})
	}
}

// callCounter makes a call over the connection with the fewest outstanding calls.
func (c *core) callCounter(a gate.Count) {
	call := &counterCall{customer: c.customers.ID(a.Customer), epoch: a.Epoch, add: a.Add, ttl: a.TTL, number: a.Call, startedAt: c.now}
	for _, conn := range c.counterConns {
		if call.conn == nil || conn.outstanding < call.conn.outstanding {
			call.conn = conn
		}
	}
	call.conn.outstanding++
	c.timeouts.add(call.startedAt+c.cfg.Settings.CounterTimeout, call)
	call.conn.enqueue(call)
}

// callEnded reports that a call has ended on its connection.
type callEnded struct {
	call    *counterCall
	outcome outcome
	total   float64
}

func (e callEnded) handle(c *core) {
	e.call.done = true
	e.call.conn.outstanding--
	c.reportCall(e.call, e.outcome, e.total)
	c.reportLate(e)
	if e.call.conn.stopIfUnused() {
		c.retired = slices.DeleteFunc(c.retired, func(conn *counterConn) bool { return conn == e.call.conn })
	}
}

// reportLate reports the answer to a call whose timeout the decider has been told.
func (c *core) reportLate(e callEnded) {
	if customer, known := c.customers.Find(e.call.customer); known && e.call.timedOut && e.outcome == outcomeOK {
		c.tally.lateCounts++
		c.pending = append(c.pending, gate.CountedLate{Customer: customer, Epoch: e.call.epoch, Call: e.call.number, Total: e.total, Latency: c.clock.now() - e.call.startedAt})
	}
}

// useCounter directs new calls to the counter at an address. Outstanding calls finish on the connections they were made on.
func (c *core) useCounter(addr string) {
	for _, conn := range c.counterConns {
		conn.replaced = true
		conn.stopIfUnused()
	}
	c.counterConns = c.counterConns[:0]
	for range counterConnections {
		c.counterConns = append(c.counterConns, c.startCounterConn(addr))
	}
}

// startCounterConn starts a connection to the counter at an address.
func (c *core) startCounterConn(addr string) *counterConn {
	conn := newCounterConn(c, addr)
	var ctx context.Context
	ctx, conn.stop = context.WithCancel(c.background)
	go conn.run(ctx)
	return conn
}

// stopIfUnused stops a connection that has been replaced and has no outstanding calls, and reports whether it did.
func (conn *counterConn) stopIfUnused() bool {
	unused := conn.replaced && conn.outstanding == 0
	if unused {
		conn.stop()
	}
	return unused
}

// counterConn is one connection to the counter, dialled when there are calls. One goroutine writes, another reads.
type counterConn struct {
	c    *core
	addr string
	wake chan struct{} // receives when a call is queued

	// Used by the event loop only.
	outstanding int // calls enqueued and not done
	replaced    bool
	closeAt     float64 // clock at which it is closed if it still owes an answer, ms; 0 unless it was replaced for that
	stop        context.CancelFunc

	mu            sync.Mutex
	nc            net.Conn
	queue         []*counterCall // not written yet
	awaitingReply []*counterCall // written, oldest first
}

func newCounterConn(c *core, addr string) *counterConn {
	return &counterConn{c: c, addr: addr, wake: make(chan struct{}, 1), stop: func() {}}
}

// enqueue queues a call and wakes the writer.
func (conn *counterConn) enqueue(call *counterCall) {
	conn.mu.Lock()
	conn.queue = append(conn.queue, call)
	conn.mu.Unlock()
	select {
	case conn.wake <- struct{}{}:
	default:
	}
}

// disconnect closes the connection, if it is established.
func (conn *counterConn) disconnect() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.nc != nil {
		conn.nc.Close()
	}
}

// run writes queued calls, dialling as needed, until ctx ends.
func (conn *counterConn) run(ctx context.Context) {
	defer conn.disconnect() // a connection that was established while ctx ended
	defer context.AfterFunc(ctx, conn.disconnect)()
	for ctx.Err() == nil {
		select {
		case <-conn.wake:
		case <-ctx.Done():
			return
		}
		nc, how := conn.connect(ctx)
		calls, late, up := conn.takeQueued(nc)
		conn.endCalls(late, outcomeTimeoutUnsent)
		if !up {
			conn.endCalls(calls, how.asUnsent())
			sleepMs(ctx, conn.c.cfg.Pace.Redial)
			continue
		}
		msg := pool.Get()
		for _, call := range calls {
			msg = resp.AppendTally(msg, counterKey(call), call.add, call.ttl)
		}
		if _, err := sockio.Write(nc, msg, time.Now().Add(duration(conn.c.cfg.Settings.CounterTimeout))); err != nil {
			nc.Close() // the reading goroutine ends the calls
		}
		pool.Put(msg)
	}
}

// takeQueued empties the queue. Calls that have timed out are returned as late and must not be sent: nobody waits for them, so
// their units must not be added. up reports whether nc is still the connection; only then are the other calls registered as
// awaiting a reply. If nc ended after it was looked up, its reader has already ended the calls on it: calls registered later
// would never end, and replies on the next connection would be matched to them, giving one customer the total of another.
func (conn *counterConn) takeQueued(nc net.Conn) (calls, late []*counterCall, up bool) {
	oldest := conn.c.clock.now() - conn.c.cfg.Settings.CounterTimeout
	conn.mu.Lock()
	defer conn.mu.Unlock()
	up = nc != nil && conn.nc == nc
	for _, call := range conn.queue {
		if call.startedAt < oldest {
			late = append(late, call)
		} else {
			calls = append(calls, call)
		}
	}
	conn.queue = nil
	if up {
		conn.awaitingReply = append(conn.awaitingReply, calls...)
	}
	return calls, late, up
}

// counterKey returns the counter's key for a customer in an epoch. All doors use the same one.
func counterKey(call *counterCall) string {
	return strconv.FormatUint(call.customer, 16) + "/" + strconv.FormatInt(call.epoch, 10)
}

// current returns the connection, nil if there is none.
func (conn *counterConn) current() net.Conn {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.nc
}

// connect returns the connection, and dials if there is none.
func (conn *counterConn) connect(ctx context.Context) (net.Conn, outcome) {
	if nc := conn.current(); nc != nil {
		return nc, outcomeOK
	}
	if !conn.c.budget.acquire(0) {
		return nil, outcomeNoSocket
	}
	nc, err := conn.c.dial(ctx, conn.addr)
	if err != nil {
		conn.c.budget.release()
		return nil, dialOutcome(err)
	}
	conn.mu.Lock()
	conn.nc = nc
	conn.mu.Unlock()
	go conn.read(nc)
	return nc, outcomeOK
}

func (conn *counterConn) endCalls(calls []*counterCall, how outcome) {
	for _, call := range calls {
		conn.c.post(callEnded{call, how, 0})
	}
}

// read reads replies, each for the oldest call, until the connection ends, and then ends the calls left.
func (conn *counterConn) read(nc net.Conn) {
	defer conn.c.budget.release()
	var in resp.Replies
	buf := pool.Get()[:pool.Size]
	defer pool.Put(buf)
	var err, parseErr error
	for err == nil && parseErr == nil {
		var n int
		n, err = sockio.Read(nc, buf)
		parseErr = in.Feed(buf[:n], conn.handleReply)
	}
	nc.Close()
	conn.mu.Lock()
	calls := conn.awaitingReply
	conn.nc, conn.awaitingReply = nil, nil
	conn.mu.Unlock()
	if parseErr != nil && len(calls) > 0 { // the malformed reply was the oldest call's; the calls behind it may have been added
		conn.endCalls(calls[:1], outcomeMalformed)
		calls = calls[1:]
	}
	conn.endCalls(calls, outcomeBroken)
}

// handleReply ends the oldest call with a reply.
func (conn *counterConn) handleReply(r resp.Reply) error {
	conn.mu.Lock()
	if len(conn.awaitingReply) == 0 {
		conn.mu.Unlock()
		return errUnexpectedReply
	}
	call := conn.awaitingReply[0]
	conn.awaitingReply = conn.awaitingReply[1:]
	conn.mu.Unlock()
	how := outcomeOK
	if r.Busy || r.ErrorText != "" {
		how = outcomeTurnedAway
	}
	conn.c.post(callEnded{call, how, r.Total})
	return nil
}
