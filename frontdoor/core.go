package frontdoor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/lifecycle"
)

// event is news for the owner of the decisions.
type event interface{ handle(*core) }

// request is what the carrier keeps of one request. It is over once its client has an answer or has left.
type request struct {
	client       *client
	msg          *http1.Request // nil where the slot is free
	class        int
	deadline     float64 // end of the client's wait, ms
	firstByteAt  float64 // clock of its first byte, ms
	contractTime float64 // contract time, ms
	done         bool
	outstanding  int
	attempts     []*attempt
}

// backend is what the carrier keeps of one backend.
type backend struct {
	id           string
	addr         string
	status       gate.Status // by the list
	processStart wallTime    // start of its process, as listed; 0 is long ago
	startedAt    float64     // the same by the door's clock, ms; 0 is long ago
	size         float64
	eligible     bool           // it may be sent to: not withheld either
	counts       Counts         // of attempts that ended
	idle         []*backendConn // latest used last

	listed     bool // the index is in use
	zone, cell int
}

// usable tells whether a connection may carry more: a backend that drains or has started anew gets nothing over
// old ones.
func (b *backend) usable(l *backendConn) bool {
	return b.eligible && b.addr == l.addr && b.processStart == l.processStart
}

// core is the goroutine that owns the decider, and what it shares with the others.
type core struct {
	cfg    config.Door
	log    logrus.FieldLogger
	clock  clock
	budget *socketBudget
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	listen func(ctx context.Context, addr string) (net.Listener, error)
	events chan event
	done   chan struct{} // closed when the owner has gone

	background context.Context                    // ends with the door
	shutdown   atomic.Pointer[lifecycle.Shutdown] // nil before the door is told to end
	ready      atomic.Bool

	// From here on the owner's.
	decider         gate.Decider
	now             float64
	pending         []gate.Event
	requests        []request
	requestIDs      map[string]struct{} // of the requests in them
	freeSlots       []int
	releasable      []int // requests that may be droppable at the end of the batch
	customers       index.Table[uint64]
	backendIDs      index.Table[string] // of backends
	zones           index.Table[string]
	cells           index.Table[int64]
	backends        []backend
	clients         map[*client]struct{}
	activeClients   int // of them, those that have brought a request
	backendConns    map[*backendConn]struct{}
	watchNumber     int // number of the present watch
	cancelWatch     context.CancelFunc
	timeouts        timeoutHeap
	wakeAt          float64 // 0 is none
	sweepAt         float64
	counterConns    []*counterConn
	withheld        map[string]bool // backends that get nothing new, whatever the list says
	afterDecide     []func()        // called once the decisions know what is pending
	outOfService    bool            // out by plan: not ready, serving what still comes
	shuttingDown    bool
	accepting       bool
	discoveryTried  bool          // discovery has been, once
	listReceived    atomic.Uint64 // clock at which discovery last said anything, bits of its ms; 0 is never
	listenerClosing bool          // no more connections are waited for
	listener        net.Listener
	tally           tally
	guard           guard
	totals          Counts
	traceEnabled    bool // the log takes single requests

	connections atomic.Uint64 // of clients, since the start
}

const (
	maxBatch            = 256 // notes taken in before the decisions are asked; what waits stays in order
	counterConnections  = 2   // connections to the counter: an answer in its turn holds up those behind it on the same one
	reservedDescriptors = 8   // descriptors left to the runtime and to connections on their way out

	silentLingerDivisor  = 3  // of the time in which a request may be on its way, for a connection that never brought one
	persistentDivisor    = 4  // part of the sockets, one in so many, over which client connections end with their answer
	sweepsPerLinger      = 16 // looks at connections in the time in which new ones are served, while the door ends
	sweepsPerIdleTimeout = 8  // looks at idle connections in the time that one may be idle
)

func newCore(cfg config.Door, decider gate.Decider, log logrus.FieldLogger) *core {
	c := &core{cfg: cfg, log: log, decider: decider, clock: newClock(), budget: newSocketBudget(availableSockets(cfg.Sockets)),
		events: make(chan event, maxBatch), done: make(chan struct{}), customers: index.New[uint64](), backendIDs: index.New[string](),
		zones: index.New[string](), cells: index.New[int64](),
		requestIDs: map[string]struct{}{}, clients: map[*client]struct{}{}, backendConns: map[*backendConn]struct{}{}}
	c.traceEnabled, c.guard = debugEnabled(log), guard{log, &c.tally}
	c.dial, c.listen = systemDial(duration(cfg.Deal.ConnectTimeout)), systemListen
	return c
}

// gateRequest puts a request in the terms of the decisions, but for the indices that the owner hands out.
func (c *core) gateRequest(o *http1.Request) (ev gate.Request, err error) {
	d := &c.cfg.Deal
	class, known := d.Classes[o.Class]
	if !known {
		return ev, &http1.Fault{Status: http.StatusNotFound, Text: "profile"}
	}
	plan, known := d.Plans[o.Plan]
	switch {
	case !known:
		return ev, &http1.Fault{Status: http.StatusBadRequest, Text: "plan"}
	case (o.Method == http.MethodGet) != (d.Terms.Classes[class].Semantics == gate.Idempotent):
		return ev, &http1.Fault{Status: http.StatusMethodNotAllowed, Text: "method"}
	case o.Method == http.MethodGet && len(o.Body) > 0:
		return ev, &http1.Fault{Status: http.StatusBadRequest, Text: "body"}
	case d.Terms.Classes[class].Semantics == gate.Keyed && o.Mark == "":
		return ev, &http1.Fault{Status: http.StatusBadRequest, Text: "no mark"}
	case o.First >= d.Terms.Doors || o.Spread > d.Terms.Doors || d.MostUnits > 0 && o.Units > d.MostUnits:
		return ev, &http1.Fault{Status: http.StatusBadRequest, Text: "weight"}
	}
	return gate.Request{Class: class, Plan: plan, TTL: min(o.TTL, d.LongestWait), Units: o.Units, Repeat: o.Repeat,
		First: o.First, Spread: o.Spread, Phase: index.Phase(o.Customer)}, nil
}

// post hands a note to the owner while it is there.
func (c *core) post(n event) {
	select {
	case c.events <- n:
	case <-c.done:
	}
}

// run owns the decisions until the door has left.
func (c *core) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.closeAll()
	stop := ctx.Done()
	for {
		select {
		case n := <-c.events:
			n.handle(c)
		case <-timer.C:
		case <-stop:
			stop = nil
			c.beginShutdown()
		}
		for more := maxBatch; more > 0; more-- {
			select {
			case n := <-c.events:
				n.handle(c)
				continue
			default:
			}
			break
		}
		c.now = c.clock.now()
		c.timeouts.expireDue(c)
		if c.wakeAt > 0 && c.now >= c.wakeAt {
			c.wakeAt = 0
			c.pending = append(c.pending, gate.Woken{})
		}
		for len(c.pending) > 0 {
			c.decide()
		}
		for _, done := range c.afterDecide {
			done()
		}
		c.afterDecide = c.afterDecide[:0]
		c.tally.writeIfDue(c.now, c.log)
		if c.sweep(); c.shutdownComplete() {
			return
		}
		timer.Reset(duration(c.nextTimer() - c.clock.now()))
	}
}

// nextTimer is the clock at which something is due.
func (c *core) nextTimer() float64 {
	at := min(c.sweepAt, c.tally.nextAt)
	if c.wakeAt > 0 {
		at = min(at, c.wakeAt)
	}
	if len(c.timeouts) > 0 {
		at = min(at, c.timeouts[0].at)
	}
	return at
}

// decide asks the decisions about what is pending and carries out their actions.
func (c *core) decide() {
	events := c.pending
	c.pending = nil
	for _, a := range c.decider.Decide(c.now, events) {
		c.execute(a)
	}
	for _, op := range c.releasable {
		if o := &c.requests[op]; o.msg != nil && o.done && o.outstanding == 0 {
			delete(c.requestIDs, o.msg.ID)
			o.msg.Free()
			clear(o.attempts)
			*o = request{attempts: o.attempts[:0]}
			c.freeSlots = append(c.freeSlots, op)
		}
	}
	c.releasable = c.releasable[:0]
}

// execute carries out one action.
func (c *core) execute(a gate.Action) {
	switch a := a.(type) {
	case gate.Send:
		c.tally.sent++
		c.send(a)
	case gate.Cancel:
		c.abandon(c.requests[a.Op].attempts[a.Attempt], outcomeAbandonedUnsent, outcomeAbandoned)
	case gate.Reject:
		c.tally.rejected[min(a.Why, gate.Causes-1)]++
		c.answer(a.Op, http.StatusTooManyRequests, a.RetryAfter, nil, a.Why.String())
	case gate.Fail:
		c.tally.failed[min(a.Why, gate.Causes-1)]++
		c.answer(a.Op, http.StatusBadGateway, 0, nil, a.Why.String())
	case gate.Wake:
		c.wakeAt = a.At
	case gate.Count:
		c.callCounter(a)
	case gate.Forget:
		c.customers.Drop(a.Customer)
	case gate.Delist:
		c.removeBackend(a.Backend)
	case gate.Differs:
		c.tally.differences[min(a.Kind, gate.Differences-1)]++
	case gate.Track: // the watch runs from the start
	case gate.Log:
		c.log.Info(a.Text)
	default:
		c.log.Errorf("no way to carry out %T", a)
	}
}

// answer gives a request its one answer; for a request that is over it does nothing.
func (c *core) answer(op, status int, retryAfter float64, body []byte, why string) {
	o := &c.requests[op]
	if o.done {
		return
	}
	o.done = true
	c.traceAnswer(o, status, why)
	c.cancelUnsent(o)
	c.totals.addAnswer(status, c.clock.now()-o.firstByteAt, o.contractTime)
	c.releasable = append(c.releasable, op)
	cl := o.client
	cl.op, cl.idleSince = -1, c.now
	// Clients are given only so many connections: those that ask once and stay must not take all of them.
	last := o.msg.Last || c.shuttingDown || c.outOfService || cl.closeRequested.Load() || cl.overflowed.Load() || c.budget.low(c.budget.clientReserve) || c.activeClients*persistentDivisor > c.cfg.Sockets
	go cl.answer(http1.AppendAnswer(pool.Get(), status, retryAfter, body, last), last)
}

// requestArrived is a request whose last byte has come.
type requestArrived struct {
	cl  *client
	msg *http1.Request
	ev  gate.Request
	at  float64 // clock of its first byte, ms
}

func (n requestArrived) handle(c *core) {
	if !n.cl.hasRequested {
		n.cl.hasRequested = true
		c.activeClients++
	}
	if _, open := c.requestIDs[n.msg.ID]; open { // a backend could not tell the two apart, nor the decisions their ends
		n.cl.idleSince = c.clock.now()
		n.msg.Free()
		go n.cl.answer(http1.AppendAnswer(pool.Get(), http.StatusConflict, 0, nil, n.msg.Last), n.msg.Last)
		return
	}
	c.requestIDs[n.msg.ID] = struct{}{}
	c.tally.arrived++
	c.totals.Arrived++
	if len(c.freeSlots) == 0 {
		c.freeSlots = append(c.freeSlots, len(c.requests))
		c.requests = append(c.requests, request{})
	}
	last := len(c.freeSlots) - 1
	i := c.freeSlots[last]
	c.freeSlots = c.freeSlots[:last]
	o := &c.requests[i]
	*o = request{client: n.cl, msg: n.msg, class: n.ev.Class, firstByteAt: n.at, deadline: c.shutdown.Load().Deadline(n.at + n.ev.TTL), contractTime: c.cfg.Deal.Terms.Classes[n.ev.Class].Contract, attempts: o.attempts[:0]}
	n.cl.op = i
	n.ev.Op, n.ev.Customer = i, c.customers.Add(n.msg.Customer)
	n.ev.TTL = max(0, o.deadline-c.clock.now())
	c.traceRequest(i)
	c.pending = append(c.pending, n.ev)
}

// clientOpened and left are the beginning and the end of a client connection.
type clientOpened struct{ cl *client }

func (n clientOpened) handle(c *core) {
	c.clients[n.cl] = struct{}{}
	c.traceConnection(n.cl, "connection opened", "")
}

type clientClosed struct {
	cl     *client
	reason closeReason
}

func (n clientClosed) handle(c *core) {
	delete(c.clients, n.cl)
	c.tally.closed[n.reason]++
	c.checkClose(n.cl, n.reason)
	c.traceConnection(n.cl, "connection closed", n.reason.String())
	if n.cl.hasRequested {
		c.activeClients--
	}
	if op := n.cl.op; op >= 0 {
		n.cl.op = -1
		c.requests[op].done = true
		c.releasable = append(c.releasable, op)
		c.pending = append(c.pending, gate.Vanished{Op: op})
		c.cancelUnsent(&c.requests[op])
	}
}

// socketNeeded says that a client waits for a socket. The client connection idle longest is closed for it, but none
// idle so briefly that a request may be on its way there: one that has brought none yet goes first, as those
// who mean to ask do so at once. Else a backend connection gives way.
type socketNeeded struct{}

func (socketNeeded) handle(c *core) {
	var oldest *client
	var most float64
	now := c.clock.now()
	for cl := range c.clients {
		over := now - cl.idleSince - c.cfg.Pace.Linger
		if !cl.hasRequested {
			over = now - cl.idleSince - c.cfg.Pace.Linger/silentLingerDivisor
		}
		if cl.op < 0 && !cl.closeRequested.Load() && over > most {
			oldest, most = cl, over
		}
	}
	if oldest != nil {
		oldest.requestClose(closedForSocket)
	} else {
		c.evictIdle()
	}
}

// sweep closes connections idle for too long, and on the way out client connections that are idle. Clients that
// ask once and keep their connection would else fill the door.
func (c *core) sweep() {
	if c.now < c.sweepAt {
		return
	}
	for l := range c.backendConns {
		if l.attempt == nil && c.now-l.idleSince > c.cfg.Pace.IdleBackend {
			c.closeConn(l)
		}
	}
	for cl := range c.clients {
		if cl.op < 0 && c.now-cl.idleSince > c.cfg.Pace.IdleClient && !cl.closeRequested.Load() {
			cl.requestClose(closedIdle)
		}
	}
	if c.sweepAt = c.now + min(c.cfg.Pace.IdleBackend, c.cfg.Pace.IdleClient)/sweepsPerIdleTimeout; !c.shuttingDown && !c.outOfService {
		return
	}
	shutdown := c.shutdown.Load()
	c.sweepAt = c.now + c.cfg.Pace.Linger/sweepsPerLinger
	if shutdown != nil && c.now < shutdown.AnswerBy {
		c.sweepAt = min(c.sweepAt, shutdown.AnswerBy)
	}
	if shutdown.Past(c.now) {
		c.failOpenRequests()
	}
	if c.listener != nil && !shutdown.Accepting(c.now) && !c.listenerClosing {
		c.listenerClosing = true
		if wait, ok := c.listener.(deadlineListener); ok {
			wait.SetDeadline(time.Now())
		} else {
			c.listener.Close()
		}
	}
	for cl := range c.clients { // a new connection has the linger time to bring its first request
		if cl.op < 0 && (cl.hasRequested || c.now >= shutdown.Deadline(cl.idleSince+c.cfg.Pace.Linger)) {
			cl.requestClose(closedShutdown)
		}
	}
}

// beginShutdown begins the way out: what still arrives is served, each connection's answer is its last, and all that is taken has its
// answer by one absolute end.
func (c *core) beginShutdown() {
	shutdown := lifecycle.NewShutdown(c.clock.now(), c.cfg.Deal.LongestWait, c.cfg.Pace.Linger)
	c.shutdown.Store(shutdown)
	c.shuttingDown, c.sweepAt = true, 0
	for i := range c.requests {
		if o := &c.requests[i]; o.msg != nil {
			c.limitDeadlines(o, shutdown)
		}
	}
	c.pending = append(c.pending, gate.Closing{By: shutdown.AnswerBy})
	c.updateReady()
	c.log.WithFields(logrus.Fields{fields.Requests: len(c.requests) - len(c.freeSlots), fields.Connections: len(c.clients),
		fields.AnswerMs: shutdown.AnswerBy - shutdown.Began, fields.KillMs: shutdown.KillAt - shutdown.Began}).Info("leaving")
}

// limitDeadlines has a request and its attempts end by the door's own end.
func (c *core) limitDeadlines(o *request, shutdown *lifecycle.Shutdown) {
	o.deadline = shutdown.Deadline(o.deadline)
	for _, f := range o.attempts {
		if !f.ended && f.deadline > o.deadline {
			f.deadline = o.deadline
			c.timeouts.add(f.deadline, f)
		}
	}
}

// shutdownComplete tells whether all that was taken is answered and nothing more can come.
func (c *core) shutdownComplete() bool {
	return c.shuttingDown && (!c.accepting && len(c.clients) == 0 || c.shutdown.Load().Over(c.now))
}

// closeAll ends what goroutines are left.
func (c *core) closeAll() {
	for cl := range c.clients {
		c.checkClose(cl, closedShutdown)
	}
	c.tally.write(c.log)
	close(c.done)
	for l := range c.backendConns {
		l.close()
	}
	for cl := range c.clients {
		cl.nc.Close()
	}
}
