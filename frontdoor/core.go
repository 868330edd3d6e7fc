package frontdoor

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/identity"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/index"
	"github.com/swifthall/swifthall/lifecycle"
)

// event is something that the event loop handles: a result of another goroutine, or a call of a Door method.
type event interface{ handle(*core) }

// request is the event loop's state of one request. A request is done once it is answered or its client has gone; its slot is
// freed once its attempts have ended as well.
type request struct {
	client       *client
	msg          *http1.Request // nil if the slot is free
	memory       memoryLease    // of msg
	class        int
	deadline     float64 // end of the client's wait, ms
	firstByteAt  float64 // clock of its first byte, ms
	contractTime float64 // an answer within this time is in time, ms
	done         bool
	outstanding  int // attempts that have not ended
	attempts     []*attempt
}

// backend is the event loop's state of one backend.
type backend struct {
	id           string
	addr         string
	status       gate.Status // on the list
	processStart wallTime    // start of its process, as listed; 0 is long ago
	startedAt    float64     // the same on the door's clock, ms; 0 is long ago
	weight       float64     // capacity relative to other backends, as listed
	eligible     bool        // new attempts may be sent to it: up on the list, and not withheld
	process      identity.Process
	counts       Counts         // of attempts that ended
	idle         []*backendConn // most recently used last

	listed     bool // the index is in use
	zone, cell int
}

// usable reports whether a connection may carry further attempts. Connections to a backend that drains, or to an earlier process
// of one that has restarted, are not used again.
func (b *backend) usable(conn *backendConn) bool {
	return b.eligible && b.addr == conn.addr && b.processStart == conn.processStart
}

// core is the event loop that owns the decider, and the state that it shares with other goroutines.
type core struct {
	cfg     config.Door
	log     logrus.FieldLogger
	clock   clock
	budget  *socketBudget
	memory  *memoryBudget
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	listen  func(ctx context.Context, addr string) (net.Listener, error)
	signals signals
	events  chan event
	done    chan struct{} // closed when the event loop has ended

	background context.Context                    // ends with the door
	shutdown   atomic.Pointer[lifecycle.Shutdown] // nil until shutdown begins
	ready      atomic.Bool

	// Used by the event loop only, except for listReceived, which watches set, and listener, which acceptLoop uses too.
	decider         gate.Decider
	now             float64 // clock of the present batch, ms
	pending         []gate.Event
	requests        []request
	requestIDs      map[string]struct{} // of open requests
	recentIDs       *recentIDs          // of requests that are over and may have run
	freeSlots       []int               // free indices of requests
	releasable      []int               // requests to check at the end of the batch: their slots may be free
	customers       index.Table[uint64]
	backendIDs      index.Table[string]
	zones           index.Table[string]
	cells           index.Table[int64]
	backends        []backend
	clients         map[*client]struct{}
	activeClients   int // clients that have sent a request
	backendConns    map[*backendConn]struct{}
	watchNumber     int // of the present watch
	cancelWatch     context.CancelFunc
	timeouts        timeoutHeap
	wakeAt          float64 // when the decider asked to be called again; 0 is none
	sweepAt         float64
	counterConns    []*counterConn
	retired         []*counterConn  // replaced because they owe an answer; the oldest first
	withheld        map[string]bool // ids of backends that get no new attempts, whatever their listed status
	afterDecide     []func()        // called once the decider has received the pending events
	outOfService    bool            // by plan: not ready, but still serving the requests that arrive
	shuttingDown    bool
	accepting       bool
	discoveryTried  bool          // discovery has been asked once
	listReceived    atomic.Uint64 // clock at which discovery last sent anything, bits of its ms; 0 is never
	sharedListener  bool          // another process may accept from the listener too
	admitted        chan struct{} // closed once clients may be accepted from a shared listener
	admitOnce       sync.Once
	listenerClosing bool // accept has been interrupted: it only empties the listener's queue
	listener        net.Listener
	tally           tally
	guard           guard
	totals          Counts
	traceEnabled    bool // single requests are logged

	connections   atomic.Uint64 // client connections since the start, which numbers them
	pausedClients atomic.Int64  // connections whose next request is delayed, as they send too many that no backend answers
	lateUntil     atomicInstant // clock until which bytes may be read late, as the process hardly gets the processor, ms
	memoryAskedAt atomicInstant // clock of the latest memoryNeeded, ms
	idleQueue     []idleClient  // clients found by the latest search that may be closed for others, idle longest first
	crowdUntil    atomicInstant // clock until which clients are taken to wait for sockets, ms
	crowdGrace    atomicInstant // how long a half-sent request may take then, ms
}

const (
	maxBatch            = 256 // events handled before the decider is called; the others wait in order
	counterConnections  = 2   // replies come in order, so a slow call delays all calls behind it on its connection
	reservedDescriptors = 8   // descriptors left to the runtime and to connections that are being closed

	persistentDivisor    = 4  // if active clients exceed this fraction (1/4) of the sockets, connections close after their answer
	sweepsPerLinger      = 16 // checks of connections in Pace.Linger, during shutdown or out of service
	sweepsPerIdleTimeout = 8  // checks of idle connections in the shorter idle timeout
)

func newCore(cfg config.Door, decider gate.Decider, log logrus.FieldLogger) *core {
	c := &core{cfg: cfg, signals: systemSignals(), log: log, decider: decider, clock: newClock(), budget: newSocketBudget(availableSockets(cfg.Sockets)), memory: newMemoryBudget(cfg.MemoryMB), recentIDs: newRecentIDs(cfg.MemoryMB),
		events: make(chan event, maxBatch), admitted: make(chan struct{}), done: make(chan struct{}), customers: index.New[uint64](), backendIDs: index.New[string](),
		zones: index.New[string](), cells: index.New[int64](),
		requestIDs: map[string]struct{}{}, clients: map[*client]struct{}{}, backendConns: map[*backendConn]struct{}{}}
	c.traceEnabled, c.guard = debugEnabled(log), guard{log, &c.tally}
	c.dial, c.listen = systemDial(duration(cfg.Settings.ConnectTimeout)), systemListen
	return c
}

// gateRequest validates a request and converts it to the decider's form, except for the indices that the event loop assigns.
func (c *core) gateRequest(msg *http1.Request) (ev gate.Request, err error) {
	settings := &c.cfg.Settings
	class, known := settings.Classes[msg.Class]
	if !known {
		return ev, &http1.RequestError{Status: http.StatusNotFound, Text: "profile"}
	}
	plan, known := settings.Plans[msg.Plan]
	switch {
	case !known:
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "plan"}
	case (msg.Method == http.MethodGet) != (settings.Terms.Classes[class].Semantics == gate.Idempotent):
		return ev, &http1.RequestError{Status: http.StatusMethodNotAllowed, Text: "method"}
	case msg.Method == http.MethodGet && len(msg.Body) > 0:
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "body"}
	case settings.Terms.Classes[class].Semantics == gate.Keyed && msg.IdempotencyKey == "":
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "no mark"}
	case msg.First >= settings.Terms.Doors || msg.Spread > settings.Terms.Doors || settings.MaxUnits > 0 && msg.Units > settings.MaxUnits:
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "weight"}
	}
	return gate.Request{Class: class, Plan: plan, TTL: min(msg.TTL, settings.MaxWait), Units: msg.Units, ClientRetry: msg.Repeat,
		FirstDoor: msg.First, Spread: msg.Spread, Phase: index.Phase(msg.Customer)}, nil
}

// post sends an event to the event loop, or drops it if the event loop has ended.
func (c *core) post(ev event) {
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// run is the event loop. It returns once the door has shut down.
func (c *core) run(ctx context.Context) {
	due := c.clock.now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.closeAll()
	stop := ctx.Done()
	for {
		select {
		case ev := <-c.events:
			ev.handle(c)
		case <-timer.C:
		case <-stop:
			stop = nil
			c.beginShutdown()
		}
		for more := maxBatch; more > 0; more-- {
			select {
			case ev := <-c.events:
				ev.handle(c)
				continue
			default:
			}
			break
		}
		c.now = c.clock.now()
		c.noteLateness(c.now - due)
		c.timeouts.expireDue(c)
		if c.wakeAt > 0 && c.now >= c.wakeAt {
			c.wakeAt = 0
			c.pending = append(c.pending, gate.TimerFired{})
		}
		for len(c.pending) > 0 {
			c.decide()
		}
		for _, done := range c.afterDecide {
			done()
		}
		c.afterDecide = c.afterDecide[:0]
		c.writeSummary()
		if c.sweep(); c.shutdownComplete() {
			return
		}
		due = c.nextTimer()
		timer.Reset(duration(due - c.clock.now()))
	}
}

// nextTimer returns the clock at which the event loop next has something to do.
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

// decide passes the pending events to the decider, executes its actions and frees the slots of requests that are complete.
func (c *core) decide() {
	events := c.pending
	c.pending = nil
	for _, a := range c.decider.Decide(c.now, events) {
		c.execute(a)
	}
	for _, op := range c.releasable {
		if req := &c.requests[op]; req.msg != nil && req.done && req.outstanding == 0 {
			delete(c.requestIDs, req.msg.ID)
			if c.mustRunOnce(req.class) && req.mayHaveRun() {
				c.recentIDs.add(req.msg.ID, c.now)
			}
			req.memory.release()
			clear(req.attempts)
			*req = request{attempts: req.attempts[:0]}
			c.freeSlots = append(c.freeSlots, op)
		}
	}
	c.releasable = c.releasable[:0]
}

// mustRunOnce reports whether requests of a class must not run twice.
func (c *core) mustRunOnce(class int) bool {
	return c.cfg.Settings.Terms.Classes[class].Semantics != gate.Idempotent
}

// mayHaveRun reports whether a request whose attempts have ended may have run.
func (req *request) mayHaveRun() bool {
	return slices.ContainsFunc(req.attempts, func(att *attempt) bool { return !att.outcome.result().NeverRan() })
}

// execute executes one action.
func (c *core) execute(a gate.Action) {
	switch a := a.(type) {
	case gate.Send:
		c.tally.sent++
		c.send(a)
	case gate.Cancel:
		c.abandon(c.requests[a.Op].attempts[a.Attempt], outcomeAbandonedUnsent, outcomeAbandoned)
	case gate.Reject:
		c.tally.rejected[min(a.Why, gate.CauseCount-1)]++
		c.answer(a.Op, answer{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter}, a.Why.String())
	case gate.Fail:
		c.tally.failed[min(a.Why, gate.CauseCount-1)]++
		c.answer(a.Op, answer{status: http.StatusBadGateway}, a.Why.String())
	case gate.SetTimer:
		c.wakeAt = a.At
	case gate.Count:
		c.callCounter(a)
	case gate.FreeCustomer:
		c.customers.Drop(a.Customer)
	case gate.FreeBackend:
		c.removeBackend(a.Backend)
	case gate.Differs:
		c.tally.differences[min(a.Kind, gate.DifferenceCount-1)]++
	case gate.SubscribeFleet: // the fleet watch runs from the start
	case gate.Log:
		c.log.Info(a.Text)
	default:
		c.log.Errorf("no way to carry out %T", a)
	}
}

// answer sends a request's final answer; it does nothing but release its memory if the request is done already.
func (c *core) answer(op int, a answer, reason string) {
	req := &c.requests[op]
	if req.done {
		a.memory.release()
		return
	}
	req.done = true
	c.traceAnswer(req, a.status, reason)
	c.cancelUnsent(req)
	c.totals.addAnswer(a.status, c.clock.now()-req.firstByteAt, req.contractTime)
	c.releasable = append(c.releasable, op)
	cl := req.client
	cl.op, cl.idleSince = -1, c.now
	cl.refused.Store(len(req.attempts) == 0)
	// The number of persistent client connections is limited: clients that send one request and stay must not use up all sockets.
	a.last = req.msg.Close || c.shuttingDown || c.outOfService || cl.closeRequested.Load() || cl.overflowed.Load() || c.budget.low(c.budget.clientReserve) || c.activeClients*persistentDivisor > c.cfg.Sockets
	go cl.answer(a)
}

// requestArrived reports that a complete request has arrived.
type requestArrived struct {
	cl     *client
	msg    *http1.Request
	ev     gate.Request
	at     float64 // clock of its first byte, ms
	memory memoryLease
}

func (e requestArrived) handle(c *core) {
	if !e.cl.hasRequested {
		e.cl.hasRequested = true
		c.activeClients++
	}
	// A backend could not tell two open requests with the same id apart, nor the decider their results.
	if _, open := c.requestIDs[e.msg.ID]; open || c.mustRunOnce(e.ev.Class) && c.recentIDs.contains(e.msg.ID, c.clock.now()) {
		c.tally.repeatedIDs++
		e.cl.idleSince = c.clock.now()
		e.memory.release()
		e.cl.refused.Store(true)
		go e.cl.answer(answer{status: http.StatusConflict, last: e.msg.Close})
		return
	}
	c.requestIDs[e.msg.ID] = struct{}{}
	c.tally.arrived++
	c.totals.Arrived++
	if len(c.freeSlots) == 0 {
		c.freeSlots = append(c.freeSlots, len(c.requests))
		c.requests = append(c.requests, request{})
	}
	last := len(c.freeSlots) - 1
	i := c.freeSlots[last]
	c.freeSlots = c.freeSlots[:last]
	req := &c.requests[i]
	*req = request{client: e.cl, msg: e.msg, memory: e.memory, class: e.ev.Class, firstByteAt: e.at, deadline: c.shutdown.Load().Deadline(e.at + e.ev.TTL), contractTime: c.cfg.Settings.Terms.Classes[e.ev.Class].Contract, attempts: req.attempts[:0]}
	e.cl.op = i
	e.ev.Op, e.ev.Customer = i, c.customers.Add(e.msg.Customer)
	e.ev.TTL = max(0, req.deadline-c.clock.now())
	c.traceRequest(i)
	c.pending = append(c.pending, e.ev)
}

// clientOpened reports that a client connection was accepted.
type clientOpened struct{ cl *client }

func (e clientOpened) handle(c *core) {
	c.clients[e.cl] = struct{}{}
	c.traceConnection(e.cl, "connection opened", "")
}

// clientClosed reports that a client connection has ended.
type clientClosed struct {
	cl     *client
	reason closeReason
}

func (e clientClosed) handle(c *core) {
	delete(c.clients, e.cl)
	c.tally.closed[e.reason]++
	c.checkClose(e.cl, e.reason)
	c.traceConnection(e.cl, "connection closed", e.reason.String())
	if e.cl.hasRequested {
		c.activeClients--
	}
	if op := e.cl.op; op >= 0 {
		e.cl.op = -1
		c.requests[op].done = true
		c.releasable = append(c.releasable, op)
		c.pending = append(c.pending, gate.ClientGone{Op: op})
		c.cancelUnsent(&c.requests[op])
	}
}

// sweep closes connections that have been idle too long, as clients that send one request and keep their connection would
// otherwise fill the door. During shutdown and out of service it closes all idle client connections and carries out the steps of
// the shutdown that are due.
func (c *core) sweep() {
	if c.now < c.sweepAt {
		return
	}
	for conn := range c.backendConns {
		if conn.attempt == nil && c.now-conn.idleSince > c.cfg.Pace.IdleBackend {
			c.closeConn(conn)
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
	if shutdown.AnswersOverdue(c.now) {
		c.failOpenRequests()
	}
	if c.listener != nil && !shutdown.Accepting(c.now) && !c.listenerClosing {
		c.listenerClosing = true
		c.closeListenQueue()
		if ln, ok := c.listener.(deadlineListener); ok {
			ln.SetDeadline(time.Now())
		} else {
			c.listener.Close()
		}
	}
	for cl := range c.clients { // a new connection has Pace.Linger to send its first request
		if cl.op < 0 && (cl.hasRequested || c.now >= shutdown.Deadline(cl.idleSince+c.cfg.Pace.Linger)) {
			cl.requestClose(closedShutdown)
		}
	}
}

// beginShutdown begins the shutdown: requests that still arrive are served, each connection closes with its next answer, and every
// accepted request is answered by one fixed deadline.
func (c *core) beginShutdown() {
	c.admitClients()
	shutdown := lifecycle.NewShutdown(c.clock.now(), c.cfg.Settings.MaxWait, c.cfg.Pace.Linger)
	c.shutdown.Store(shutdown)
	c.shuttingDown, c.sweepAt = true, 0
	for i := range c.requests {
		if req := &c.requests[i]; req.msg != nil {
			c.limitDeadlines(req, shutdown)
		}
	}
	c.pending = append(c.pending, gate.ShuttingDown{Deadline: shutdown.AnswerBy})
	c.updateReady()
	c.log.WithFields(logrus.Fields{fields.Requests: len(c.requests) - len(c.freeSlots), fields.Connections: len(c.clients),
		fields.AnswerMs: shutdown.AnswerBy - shutdown.NoticedAt, fields.KillMs: shutdown.KillAt - shutdown.NoticedAt}).Info("leaving")
}

// limitDeadlines limits the deadlines of a request and its attempts to that of the shutdown.
func (c *core) limitDeadlines(req *request, shutdown *lifecycle.Shutdown) {
	req.deadline = shutdown.Deadline(req.deadline)
	for _, att := range req.attempts {
		if !att.ended && att.deadline > req.deadline {
			att.deadline = req.deadline
			c.timeouts.add(att.deadline, att)
		}
	}
}

// shutdownComplete reports whether all accepted requests are answered and no more can arrive, or the shutdown's time is over.
func (c *core) shutdownComplete() bool {
	return c.shuttingDown && (!c.accepting && len(c.clients) == 0 || c.shutdown.Load().KillDue(c.now))
}

// closeAll closes all remaining connections, which ends their goroutines.
func (c *core) closeAll() {
	for cl := range c.clients {
		c.checkClose(cl, closedShutdown)
	}
	c.tally.write(c.log.WithFields(c.resources().fields()))
	close(c.done)
	for conn := range c.backendConns {
		conn.close()
	}
	for cl := range c.clients {
		cl.nc.Close()
	}
}
