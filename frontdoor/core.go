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

// note is news for the owner of the decisions.
type note interface{ take(*core) }

// request is what the carrier keeps of one request. It is over once its client has an answer or has left.
type request struct {
	client   *client
	msg      *http1.Request // nil where the slot is free
	class    int
	until    float64 // end of the client's wait, ms
	came     float64 // clock of its first byte, ms
	contract float64 // contract time, ms
	over     bool
	out      int
	attempts []*attempt
}

// backend is what the carrier keeps of one backend.
type backend struct {
	id      string
	addr    string
	status  gate.Status // by the list
	process wallTime    // start of its process, as listed; 0 is long ago
	since   float64     // the same by the door's clock, ms; 0 is long ago
	size    float64
	up      bool    // it may be sent to: not withheld either
	counts  Counts  // of attempts that ended
	idle    []*link // latest used last

	listed     bool // the index is in use
	zone, cell int
}

// takes tells whether a connection may carry more: a backend that drains or has started anew gets nothing over
// old ones.
func (b *backend) takes(l *link) bool { return b.up && b.addr == l.addr && b.process == l.process }

// core is the goroutine that owns the decider, and what it shares with the others.
type core struct {
	cfg    config.Door
	log    logrus.FieldLogger
	clock  clock
	budget *budget
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	listen func(ctx context.Context, addr string) (net.Listener, error)
	notes  chan note
	done   chan struct{} // closed when the owner has gone

	background context.Context                    // ends with the door
	shutdown   atomic.Pointer[lifecycle.Shutdown] // nil before the door is told to end
	ready      atomic.Bool

	// From here on the owner's.
	decider        gate.Decider
	now            float64
	pending        []gate.Event
	ops            []request
	ids            map[string]struct{} // of the requests in them
	free           []int
	closing        []int // requests that may be droppable at the end of the batch
	customers      index.Table[uint64]
	names          index.Table[string] // of backends
	zones          index.Table[string]
	cells          index.Table[int64]
	backends       []backend
	clients        map[*client]struct{}
	known          int // of them, those that have brought a request
	links          map[*link]struct{}
	watches        int // number of the present watch
	unwatch        context.CancelFunc
	due            dueList
	wakeAt         float64 // 0 is none
	sweepAt        float64
	counters       []*counterConn
	withheld       map[string]bool // backends that get nothing new, whatever the list says
	told           []func()        // called once the decisions know what is pending
	aside          bool            // out by plan: not ready, serving what still comes
	leaving        bool
	accepting      bool
	asked          bool          // discovery has been, once
	listHeard      atomic.Uint64 // clock at which discovery last said anything, bits of its ms; 0 is never
	listenerEnding bool          // no more connections are waited for
	listener       net.Listener
	tally          tally
	guard          guard
	total          Counts
	traces         bool // the log takes single requests

	connections atomic.Uint64 // of clients, since the start
}

const (
	batch   = 256 // notes taken in before the decisions are asked; what waits stays in order
	counted = 2   // connections to the counter: an answer in its turn holds up those behind it on the same one
	margin  = 8   // descriptors left to the runtime and to connections on their way out

	silentPart     = 3  // of the time in which a request may be on its way, for a connection that never brought one
	keptPart       = 4  // part of the sockets, one in so many, over which client connections end with their answer
	sweepsInLinger = 16 // looks at connections in the time in which new ones are served, while the door ends
	looksIdle      = 8  // looks at idle connections in the time that one may be idle
)

func newCore(cfg config.Door, decider gate.Decider, log logrus.FieldLogger) *core {
	c := &core{cfg: cfg, log: log, decider: decider, clock: newClock(), budget: newBudget(room(cfg.Sockets)),
		notes: make(chan note, batch), done: make(chan struct{}), customers: index.New[uint64](), names: index.New[string](),
		zones: index.New[string](), cells: index.New[int64](),
		ids: map[string]struct{}{}, clients: map[*client]struct{}{}, links: map[*link]struct{}{}}
	c.traces, c.guard = tracing(log), guard{log, &c.tally}
	c.dial, c.listen = systemDial(span(cfg.Settings.ConnectTimeout)), systemListen
	return c
}

// word puts a request in the terms of the decisions, but for the indices that the owner hands out.
func (c *core) word(o *http1.Request) (ev gate.Request, err error) {
	d := &c.cfg.Settings
	class, known := d.Classes[o.Class]
	if !known {
		return ev, &http1.RequestError{Status: http.StatusNotFound, Text: "profile"}
	}
	plan, known := d.Plans[o.Plan]
	switch {
	case !known:
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "plan"}
	case (o.Method == http.MethodGet) != (d.Terms.Classes[class].Semantics == gate.Idempotent):
		return ev, &http1.RequestError{Status: http.StatusMethodNotAllowed, Text: "method"}
	case o.Method == http.MethodGet && len(o.Body) > 0:
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "body"}
	case d.Terms.Classes[class].Semantics == gate.Keyed && o.IdempotencyKey == "":
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "no mark"}
	case o.First >= d.Terms.Doors || o.Spread > d.Terms.Doors || d.MaxUnits > 0 && o.Units > d.MaxUnits:
		return ev, &http1.RequestError{Status: http.StatusBadRequest, Text: "weight"}
	}
	return gate.Request{Class: class, Plan: plan, TTL: min(o.TTL, d.MaxWait), Units: o.Units, ClientRetry: o.Repeat,
		FirstDoor: o.First, Spread: o.Spread, Phase: index.Phase(o.Customer)}, nil
}

// post hands a note to the owner while it is there.
func (c *core) post(n note) {
	select {
	case c.notes <- n:
	case <-c.done:
	}
}

// run owns the decisions until the door has left.
func (c *core) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer c.quit()
	stop := ctx.Done()
	for {
		select {
		case n := <-c.notes:
			n.take(c)
		case <-timer.C:
		case <-stop:
			stop = nil
			c.leave()
		}
		for more := batch; more > 0; more-- {
			select {
			case n := <-c.notes:
				n.take(c)
				continue
			default:
			}
			break
		}
		c.now = c.clock.now()
		c.due.fire(c)
		if c.wakeAt > 0 && c.now >= c.wakeAt {
			c.wakeAt = 0
			c.pending = append(c.pending, gate.TimerFired{})
		}
		for len(c.pending) > 0 {
			c.decide()
		}
		for _, done := range c.told {
			done()
		}
		c.told = c.told[:0]
		c.tally.due(c.now, c.log)
		if c.sweep(); c.gone() {
			return
		}
		timer.Reset(span(c.next() - c.clock.now()))
	}
}

// next is the clock at which something is due.
func (c *core) next() float64 {
	at := min(c.sweepAt, c.tally.at)
	if c.wakeAt > 0 {
		at = min(at, c.wakeAt)
	}
	if len(c.due) > 0 {
		at = min(at, c.due[0].at)
	}
	return at
}

// decide asks the decisions about what is pending and carries out their actions.
func (c *core) decide() {
	events := c.pending
	c.pending = nil
	for _, a := range c.decider.Decide(c.now, events) {
		c.act(a)
	}
	for _, op := range c.closing {
		if o := &c.ops[op]; o.msg != nil && o.over && o.out == 0 {
			delete(c.ids, o.msg.ID)
			o.msg.Free()
			clear(o.attempts)
			*o = request{attempts: o.attempts[:0]}
			c.free = append(c.free, op)
		}
	}
	c.closing = c.closing[:0]
}

// act carries out one action.
func (c *core) act(a gate.Action) {
	switch a := a.(type) {
	case gate.Send:
		c.tally.sent++
		c.send(a)
	case gate.Cancel:
		c.abandon(c.ops[a.Op].attempts[a.Attempt], endLeftUnsent, endLeft)
	case gate.Reject:
		c.tally.rejected[min(a.Why, gate.CauseCount-1)]++
		c.answer(a.Op, http.StatusTooManyRequests, a.RetryAfter, nil, a.Why.String())
	case gate.Fail:
		c.tally.failed[min(a.Why, gate.CauseCount-1)]++
		c.answer(a.Op, http.StatusBadGateway, 0, nil, a.Why.String())
	case gate.SetTimer:
		c.wakeAt = a.At
	case gate.Count:
		c.count(a)
	case gate.FreeCustomer:
		c.customers.Drop(a.Customer)
	case gate.FreeBackend:
		c.delist(a.Backend)
	case gate.Differs:
		c.tally.differs[min(a.Kind, gate.DifferenceCount-1)]++
	case gate.SubscribeFleet: // the watch runs from the start
	case gate.Log:
		c.log.Info(a.Text)
	default:
		c.log.Errorf("no way to carry out %T", a)
	}
}

// answer gives a request its one answer; for a request that is over it does nothing.
func (c *core) answer(op, status int, retryAfter float64, body []byte, why string) {
	o := &c.ops[op]
	if o.over {
		return
	}
	o.over = true
	c.traceAnswer(o, status, why)
	c.holdBack(o)
	c.total.answered(status, c.clock.now()-o.came, o.contract)
	c.closing = append(c.closing, op)
	cl := o.client
	cl.op, cl.idleSince = -1, c.now
	// Clients are given only so many connections: those that ask once and stay must not take all of them.
	last := o.msg.Close || c.leaving || c.aside || cl.shut.Load() || cl.spilt.Load() || c.budget.short(c.budget.kept) || c.known*keptPart > c.cfg.Sockets
	go cl.answer(http1.AppendResponse(pool.Get(), status, retryAfter, body, last), last)
}

// arrived is a request whose last byte has come.
type arrived struct {
	cl *client
	op *http1.Request
	ev gate.Request
	at float64 // clock of its first byte, ms
}

func (n arrived) take(c *core) {
	if !n.cl.known {
		n.cl.known = true
		c.known++
	}
	if _, open := c.ids[n.op.ID]; open { // a backend could not tell the two apart, nor the decisions their ends
		n.cl.idleSince = c.clock.now()
		n.op.Free()
		go n.cl.answer(http1.AppendResponse(pool.Get(), http.StatusConflict, 0, nil, n.op.Close), n.op.Close)
		return
	}
	c.ids[n.op.ID] = struct{}{}
	c.tally.arrived++
	c.total.Arrived++
	if len(c.free) == 0 {
		c.free = append(c.free, len(c.ops))
		c.ops = append(c.ops, request{})
	}
	last := len(c.free) - 1
	i := c.free[last]
	c.free = c.free[:last]
	o := &c.ops[i]
	*o = request{client: n.cl, msg: n.op, class: n.ev.Class, came: n.at, until: c.shutdown.Load().Deadline(n.at + n.ev.TTL), contract: c.cfg.Settings.Terms.Classes[n.ev.Class].Contract, attempts: o.attempts[:0]}
	n.cl.op = i
	n.ev.Op, n.ev.Customer = i, c.customers.Add(n.op.Customer)
	n.ev.TTL = max(0, o.until-c.clock.now())
	c.traceTaken(i)
	c.pending = append(c.pending, n.ev)
}

// opened and left are the beginning and the end of a client connection.
type opened struct{ cl *client }

func (n opened) take(c *core) {
	c.clients[n.cl] = struct{}{}
	c.traceConnection(n.cl, "connection opened", "")
}

type left struct {
	cl  *client
	why closing
}

func (n left) take(c *core) {
	delete(c.clients, n.cl)
	c.tally.closed[n.why]++
	c.checkClose(n.cl, n.why)
	c.traceConnection(n.cl, "connection closed", n.why.String())
	if n.cl.known {
		c.known--
	}
	if op := n.cl.op; op >= 0 {
		n.cl.op = -1
		c.ops[op].over = true
		c.closing = append(c.closing, op)
		c.pending = append(c.pending, gate.ClientGone{Op: op})
		c.holdBack(&c.ops[op])
	}
}

// crowded says that a client waits for a socket. The client connection idle longest is closed for it, but none
// idle so briefly that a request may be on its way there: one that has brought none yet goes first, as those
// who mean to ask do so at once. Else a backend connection gives way.
type crowded struct{}

func (crowded) take(c *core) {
	var oldest *client
	var most float64
	now := c.clock.now()
	for cl := range c.clients {
		over := now - cl.idleSince - c.cfg.Pace.Linger
		if !cl.known {
			over = now - cl.idleSince - c.cfg.Pace.Linger/silentPart
		}
		if cl.op < 0 && !cl.shut.Load() && over > most {
			oldest, most = cl, over
		}
	}
	if oldest != nil {
		oldest.close(closedCrowded)
	} else {
		c.spare()
	}
}

// sweep closes connections idle for too long, and on the way out client connections that are idle. Clients that
// ask once and keep their connection would else fill the door.
func (c *core) sweep() {
	if c.now < c.sweepAt {
		return
	}
	for l := range c.links {
		if l.cur == nil && c.now-l.idleSince > c.cfg.Pace.IdleBackend {
			c.retire(l)
		}
	}
	for cl := range c.clients {
		if cl.op < 0 && c.now-cl.idleSince > c.cfg.Pace.IdleClient && !cl.shut.Load() {
			cl.close(closedIdle)
		}
	}
	if c.sweepAt = c.now + min(c.cfg.Pace.IdleBackend, c.cfg.Pace.IdleClient)/looksIdle; !c.leaving && !c.aside {
		return
	}
	shutdown := c.shutdown.Load()
	c.sweepAt = c.now + c.cfg.Pace.Linger/sweepsInLinger
	if shutdown != nil && c.now < shutdown.AnswerBy {
		c.sweepAt = min(c.sweepAt, shutdown.AnswerBy)
	}
	if shutdown.AnswersOverdue(c.now) {
		c.endAll()
	}
	if c.listener != nil && !shutdown.Accepting(c.now) && !c.listenerEnding {
		c.listenerEnding = true
		if wait, ok := c.listener.(halting); ok {
			wait.SetDeadline(time.Now())
		} else {
			c.listener.Close()
		}
	}
	for cl := range c.clients { // a new connection has the linger time to bring its first request
		if cl.op < 0 && (cl.known || c.now >= shutdown.Deadline(cl.idleSince+c.cfg.Pace.Linger)) {
			cl.close(closedShutdown)
		}
	}
}

// leave begins the way out: what still arrives is served, each connection's answer is its last, and all that is taken has its
// answer by one absolute end.
func (c *core) leave() {
	shutdown := lifecycle.NewShutdown(c.clock.now(), c.cfg.Settings.MaxWait, c.cfg.Pace.Linger)
	c.shutdown.Store(shutdown)
	c.leaving, c.sweepAt = true, 0
	for i := range c.ops {
		if o := &c.ops[i]; o.msg != nil {
			c.bound(o, shutdown)
		}
	}
	c.pending = append(c.pending, gate.ShuttingDown{Deadline: shutdown.AnswerBy})
	c.setReady()
	c.log.WithFields(logrus.Fields{fields.Requests: len(c.ops) - len(c.free), fields.Connections: len(c.clients),
		fields.AnswerMs: shutdown.AnswerBy - shutdown.NoticedAt, fields.KillMs: shutdown.KillAt - shutdown.NoticedAt}).Info("leaving")
}

// bound has a request and its attempts end by the door's own end.
func (c *core) bound(o *request, shutdown *lifecycle.Shutdown) {
	o.until = shutdown.Deadline(o.until)
	for _, f := range o.attempts {
		if !f.ended && f.until > o.until {
			f.until = o.until
			c.due.add(f.until, f)
		}
	}
}

// gone tells whether all that was taken is answered and nothing more can come.
func (c *core) gone() bool {
	return c.leaving && (!c.accepting && len(c.clients) == 0 || c.shutdown.Load().KillDue(c.now))
}

// quit ends what goroutines are left.
func (c *core) quit() {
	for cl := range c.clients {
		c.checkClose(cl, closedShutdown)
	}
	c.tally.write(c.log)
	close(c.done)
	for l := range c.links {
		l.close()
	}
	for cl := range c.clients {
		cl.nc.Close()
	}
}
