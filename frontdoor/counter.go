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

// call is one call of the counter.
type call struct {
	conn      *counterConn
	customer  uint64
	epoch     int64
	add, keep float64

	// The owner's.
	at   float64
	told bool // the decisions have its result
	over bool // its connection owes nothing for it any more
}

// expire first ends the wait for a call, then a connection that owes its answer for too long: what comes over
// one that is cut off would never be noticed otherwise.
func (k *call) expire(c *core) {
	switch dead := k.at + c.cfg.Pace.CounterStall; {
	case k.over:
	case c.now < dead:
		c.tell(k, endLate, 0)
		c.due.add(dead, k)
	default:
		c.tell(k, endLate, 0)
		k.conn.drop()
	}
}

// tell gives the decisions a call's result, once.
func (c *core) tell(k *call, how end, total float64) {
	if k.told {
		return
	}
	k.told = true
	if customer, known := c.customers.Find(k.customer); known {
		c.pending = append(c.pending, gate.Counted{Customer: customer, Epoch: k.epoch, Result: how.result(), Total: total})
	}
}

// count makes a call over the connection that owes least.
func (c *core) count(a gate.Count) {
	k := &call{customer: c.customers.ID(a.Customer), epoch: a.Epoch, add: a.Add, keep: a.TTL, at: c.now}
	for _, conn := range c.counters {
		if k.conn == nil || conn.calls < k.conn.calls {
			k.conn = conn
		}
	}
	k.conn.calls++
	c.due.add(k.at+c.cfg.Settings.CounterTimeout, k)
	k.conn.put(k)
}

// called is the end of a call on its connection.
type called struct {
	k     *call
	how   end
	total float64
}

func (n called) take(c *core) {
	n.k.over = true
	n.k.conn.calls--
	c.tell(n.k, n.how, n.total)
	n.k.conn.rest()
}

// countOn calls the counter at an address from now on. Calls made at the one before come to their own end there.
func (c *core) countOn(addr string) {
	for _, k := range c.counters {
		k.replaced = true
		k.rest()
	}
	c.counters = c.counters[:0]
	for range counted {
		k := newCounterConn(c, addr)
		var ctx context.Context
		ctx, k.stop = context.WithCancel(c.background)
		c.counters = append(c.counters, k)
		go k.run(ctx)
	}
}

// rest stops a connection that has been replaced and owes nothing.
func (k *counterConn) rest() {
	if k.replaced && k.calls == 0 {
		k.stop()
	}
}

// counterConn is one connection to the counter, dialled when there are calls. One goroutine writes, one reads.
type counterConn struct {
	c    *core
	addr string
	kick chan struct{}

	// The owner's.
	calls    int // put and not over
	replaced bool
	stop     context.CancelFunc

	mu     sync.Mutex
	nc     net.Conn
	queue  []*call // not written yet
	flying []*call // written, oldest first
}

func newCounterConn(c *core, addr string) *counterConn {
	return &counterConn{c: c, addr: addr, kick: make(chan struct{}, 1), stop: func() {}}
}

func (k *counterConn) put(a *call) {
	k.mu.Lock()
	k.queue = append(k.queue, a)
	k.mu.Unlock()
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// drop ends the connection, if it is up.
func (k *counterConn) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.nc != nil {
		k.nc.Close()
	}
}

func (k *counterConn) run(ctx context.Context) {
	defer context.AfterFunc(ctx, k.drop)()
	for ctx.Err() == nil {
		select {
		case <-k.kick:
		case <-ctx.Done():
			return
		}
		nc, how := k.connect(ctx)
		calls, late, up := k.load(nc)
		k.end(late, endLateUnsent)
		if !up {
			k.end(calls, how.unsent())
			rest(ctx, k.c.cfg.Pace.Redial)
			continue
		}
		msg := pool.Get()
		for _, a := range calls {
			msg = resp.AppendTally(msg, countName(a), a.add, a.keep)
		}
		if _, err := sockio.Write(nc, msg, time.Now().Add(span(k.c.cfg.Settings.CounterTimeout))); err != nil {
			nc.Close() // its reader ends the calls
		}
		pool.Put(msg)
	}
}

// load takes the calls that wait, apart from those whose time has run out: units that nobody waits for must
// not be added. up says that the others will fly over nc, which then is still the connection. One that ended since it was
// looked up has ended its calls already: those loaded after would have no end, and the next connection's replies would
// be taken for theirs, one customer's total for another's.
func (k *counterConn) load(nc net.Conn) (calls, late []*call, up bool) {
	oldest := k.c.clock.now() - k.c.cfg.Settings.CounterTimeout
	k.mu.Lock()
	defer k.mu.Unlock()
	up = nc != nil && k.nc == nc
	for _, a := range k.queue {
		if a.at < oldest {
			late = append(late, a)
		} else {
			calls = append(calls, a)
		}
	}
	k.queue = nil
	if up {
		k.flying = append(k.flying, calls...)
	}
	return calls, late, up
}

// countName names a customer's number for an epoch, the same at every door.
func countName(a *call) string {
	return strconv.FormatUint(a.customer, 16) + "/" + strconv.FormatInt(a.epoch, 10)
}

// up returns the connection, nil where there is none.
func (k *counterConn) up() net.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.nc
}

// connect returns the connection, a new one where there is none.
func (k *counterConn) connect(ctx context.Context) (net.Conn, end) {
	if nc := k.up(); nc != nil {
		return nc, endWell
	}
	if !k.c.budget.take(0) {
		return nil, endNoSocket
	}
	nc, err := k.c.dial(ctx, k.addr)
	if err != nil {
		k.c.budget.put()
		return nil, endOfDial(err)
	}
	k.mu.Lock()
	k.nc = nc
	k.mu.Unlock()
	go k.read(nc)
	return nc, endWell
}

func (k *counterConn) end(calls []*call, how end) {
	for _, a := range calls {
		k.c.post(called{a, how, 0})
	}
}

// read takes replies, each for the oldest call, until the connection ends.
func (k *counterConn) read(nc net.Conn) {
	defer k.c.budget.put()
	var in resp.Replies
	buf := pool.Get()[:pool.Size]
	defer pool.Put(buf)
	var err, fault error
	for err == nil && fault == nil {
		var n int
		n, err = sockio.Read(nc, buf)
		fault = in.Feed(buf[:n], k.reply)
	}
	nc.Close()
	k.mu.Lock()
	calls := k.flying
	k.nc, k.flying = nil, nil
	k.mu.Unlock()
	if fault != nil && len(calls) > 0 { // it was the oldest one's answer; those behind it may have been added
		k.end(calls[:1], endGarbled)
		calls = calls[1:]
	}
	k.end(calls, endCut)
}

func (k *counterConn) reply(r resp.Reply) error {
	k.mu.Lock()
	if len(k.flying) == 0 {
		k.mu.Unlock()
		return errUncalled
	}
	a := k.flying[0]
	k.flying = k.flying[1:]
	k.mu.Unlock()
	how := endWell
	if r.Busy || r.ErrorText != "" {
		how = endTurnedAway
	}
	k.c.post(called{a, how, r.Total})
	return nil
}
