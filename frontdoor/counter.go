package frontdoor

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/resp"
	"github.com/swifthall/swifthall/internal/sockio"
)

// counterCall is one counterCall of the counter.
type counterCall struct {
	conn     *counterConn
	customer uint64
	epoch    int64
	add, ttl float64

	// The owner's.
	startedAt float64
	reported  bool // the decisions have its result
	done      bool // its connection owes nothing for it any more
}

// expire first ends the wait for a call, then a connection that owes its answer for too long: what comes over
// one that is cut off would never be noticed otherwise.
func (k *counterCall) expire(c *core) {
	switch dead := k.startedAt + c.cfg.Pace.DeadCounter; {
	case k.done:
	case c.now < dead:
		c.reportCall(k, outcomeTimeout, 0)
		c.timeouts.add(dead, k)
	default:
		c.reportCall(k, outcomeTimeout, 0)
		k.conn.disconnect()
	}
}

// reportCall gives the decisions a call's result, once.
func (c *core) reportCall(k *counterCall, how outcome, total float64) {
	if k.reported {
		return
	}
	k.reported = true
	if customer, known := c.customers.Find(k.customer); known {
		c.pending = append(c.pending, gate.Counted{Customer: customer, Epoch: k.epoch, Result: how.result(), Total: total})
	}
}

// callCounter makes a call over the connection that owes least.
func (c *core) callCounter(a gate.Count) {
	k := &counterCall{customer: c.customers.ID(a.Customer), epoch: a.Epoch, add: a.Add, ttl: a.Keep, startedAt: c.now}
	for _, conn := range c.counterConns {
		if k.conn == nil || conn.outstanding < k.conn.outstanding {
			k.conn = conn
		}
	}
	k.conn.outstanding++
	c.timeouts.add(k.startedAt+c.cfg.Deal.CounterTimeout, k)
	k.conn.enqueue(k)
}

// callEnded is the end of a call on its connection.
type callEnded struct {
	call    *counterCall
	outcome outcome
	total   float64
}

func (n callEnded) handle(c *core) {
	n.call.done = true
	n.call.conn.outstanding--
	c.reportCall(n.call, n.outcome, n.total)
	n.call.conn.stopIfUnused()
}

// useCounter calls the counter at an address from now on. Calls made at the one before come to their own end there.
func (c *core) useCounter(addr string) {
	for _, k := range c.counterConns {
		k.replaced = true
		k.stopIfUnused()
	}
	c.counterConns = c.counterConns[:0]
	for range counterConnections {
		k := newCounterConn(c, addr)
		var ctx context.Context
		ctx, k.stop = context.WithCancel(c.background)
		c.counterConns = append(c.counterConns, k)
		go k.run(ctx)
	}
}

// stopIfUnused stops a connection that has been replaced and owes nothing.
func (k *counterConn) stopIfUnused() {
	if k.replaced && k.outstanding == 0 {
		k.stop()
	}
}

// counterConn is one connection to the counter, dialled when there are calls. One goroutine writes, one reads.
type counterConn struct {
	c    *core
	addr string
	wake chan struct{}

	// The owner's.
	outstanding int // put and not over
	replaced    bool
	stop        context.CancelFunc

	mu            sync.Mutex
	nc            net.Conn
	queue         []*counterCall // not written yet
	awaitingReply []*counterCall // written, oldest first
}

func newCounterConn(c *core, addr string) *counterConn {
	return &counterConn{c: c, addr: addr, wake: make(chan struct{}, 1), stop: func() {}}
}

func (k *counterConn) enqueue(a *counterCall) {
	k.mu.Lock()
	k.queue = append(k.queue, a)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// disconnect ends the connection, if it is up.
func (k *counterConn) disconnect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.nc != nil {
		k.nc.Close()
	}
}

func (k *counterConn) run(ctx context.Context) {
	defer context.AfterFunc(ctx, k.disconnect)()
	for ctx.Err() == nil {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return
		}
		nc, how := k.connect(ctx)
		calls, late, up := k.takeQueued(nc)
		k.endCalls(late, outcomeTimeoutUnsent)
		if !up {
			k.endCalls(calls, how.asUnsent())
			sleepMs(ctx, k.c.cfg.Pace.Redial)
			continue
		}
		msg := pool.Get()
		for _, a := range calls {
			msg = resp.AppendTally(msg, counterKey(a), a.add, a.ttl)
		}
		if _, err := sockio.Write(nc, msg, time.Now().Add(duration(k.c.cfg.Deal.CounterTimeout))); err != nil {
			nc.Close() // its reader ends the calls
		}
		pool.Put(msg)
	}
}

// takeQueued takes the calls that wait, apart from those whose time has run out: units that nobody waits for must
// not be added. up says that the others will fly over nc, which then is still the connection. One that ended since it was
// looked up has ended its calls already: those loaded after would have no end, and the next connection's replies would
// be taken for theirs, one customer's total for another's.
func (k *counterConn) takeQueued(nc net.Conn) (calls, late []*counterCall, up bool) {
	oldest := k.c.clock.now() - k.c.cfg.Deal.CounterTimeout
	k.mu.Lock()
	defer k.mu.Unlock()
	up = nc != nil && k.nc == nc
	for _, a := range k.queue {
		if a.startedAt < oldest {
			late = append(late, a)
		} else {
			calls = append(calls, a)
		}
	}
	k.queue = nil
	if up {
		k.awaitingReply = append(k.awaitingReply, calls...)
	}
	return calls, late, up
}

// counterKey names a customer's number for an epoch, the same at every door.
func counterKey(a *counterCall) string {
	return strconv.FormatUint(a.customer, 16) + "/" + strconv.FormatInt(a.epoch, 10)
}

// current returns the connection, nil where there is none.
func (k *counterConn) current() net.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.nc
}

// connect returns the connection, a new one where there is none.
func (k *counterConn) connect(ctx context.Context) (net.Conn, outcome) {
	if nc := k.current(); nc != nil {
		return nc, outcomeOK
	}
	if !k.c.budget.acquire(0) {
		return nil, outcomeNoSocket
	}
	nc, err := k.c.dial(ctx, k.addr)
	if err != nil {
		k.c.budget.release()
		return nil, dialOutcome(err)
	}
	k.mu.Lock()
	k.nc = nc
	k.mu.Unlock()
	go k.read(nc)
	return nc, outcomeOK
}

func (k *counterConn) endCalls(calls []*counterCall, how outcome) {
	for _, a := range calls {
		k.c.post(callEnded{a, how, 0})
	}
}

// read takes replies, each for the oldest call, until the connection ends.
func (k *counterConn) read(nc net.Conn) {
	defer k.c.budget.release()
	var in resp.Replies
	buf := pool.Get()[:pool.Size]
	defer pool.Put(buf)
	var err, fault error
	for err == nil && fault == nil {
		var n int
		n, err = sockio.Read(nc, buf)
		fault = in.Feed(buf[:n], k.handleReply)
	}
	nc.Close()
	k.mu.Lock()
	calls := k.awaitingReply
	k.nc, k.awaitingReply = nil, nil
	k.mu.Unlock()
	if fault != nil && len(calls) > 0 { // it was the oldest one's answer; those behind it may have been added
		k.endCalls(calls[:1], outcomeMalformed)
		calls = calls[1:]
	}
	k.endCalls(calls, outcomeBroken)
}

func (k *counterConn) handleReply(r resp.Reply) error {
	k.mu.Lock()
	if len(k.awaitingReply) == 0 {
		k.mu.Unlock()
		return errUnexpectedReply
	}
	a := k.awaitingReply[0]
	k.awaitingReply = k.awaitingReply[1:]
	k.mu.Unlock()
	how := outcomeOK
	if r.Busy || r.Fault != "" {
		how = outcomeTurnedAway
	}
	k.c.post(callEnded{a, how, r.Total})
	return nil
}
