package frontdoor

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/internal/sockio"
)

// deciderFunc is a gate.Decider that calls a function for every batch of events.
type deciderFunc func(now float64, events []gate.Event) []gate.Action

func (d deciderFunc) Decide(now float64, events []gate.Event) []gate.Action { return d(now, events) }

// testConfig returns a configuration with one idempotent class, one keyed class and one plan.
func testConfig() config.Door {
	return config.Door{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Sockets: 100,
		Settings: config.Settings{Terms: gate.Terms{Doors: 3, Classes: []gate.Class{{}, {Semantics: gate.Keyed}},
			Plans: make([]gate.Plan, 1)}, Classes: map[string]int{"look": 0, "book": 1}, Plans: map[string]int{"team": 0},
			ConnectTimeout: 250, CounterTimeout: 80, MaxWait: 2000, MaxUnits: 8},
		Pace: config.Pace{SlowInput: 2000, IdleClient: 2000, IdleBackend: 5000, Silence: 3000, FirstByte: 1000, CounterStall: 800, Redial: 20, Linger: 500}}
}

// newTestCore returns a core without a running event loop, with one backend and one open request, and the client's end of the
// request's connection.
func newTestCore(t *testing.T) (c *core, client net.Conn) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c = newCore(testConfig(), deciderFunc(func(float64, []gate.Event) []gate.Action { return nil }), log)
	c.now = c.clock.now()
	fleetUpdate{list: registry.List{Whole: true, Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready"}}}}.handle(c)
	far, near := net.Pipe()
	t.Cleanup(func() { far.Close(); near.Close() })
	cl := newClient(c, near)
	clientOpened{cl}.handle(c)
	requestArrived{cl, &http1.Request{Method: "GET", Target: "/look?key=1", ID: "x"}, gate.Request{TTL: 500}, c.now, memoryLease{}}.handle(c)
	c.pending = nil
	return c, far
}

// sendOverPipe gives the backend an idle connection and sends the open request over it. It returns the attempt and the backend's
// end of the connection.
func sendOverPipe(t *testing.T, c *core) (*attempt, net.Conn) {
	far, near := net.Pipe()
	t.Cleanup(func() { far.Close(); near.Close() })
	conn := &backendConn{c: c, addr: "127.0.0.1:1", nc: near, cancel: func() {}}
	c.backendConns[conn] = struct{}{}
	c.backends[0].idle = append(c.backends[0].idle, conn)
	c.send(gate.Send{})
	return c.requests[0].attempts[0], far
}

// receiveAttempt reads a whole attempt at the backend's end of the connection and waits until its writer has finished.
func receiveAttempt(t *testing.T, att *attempt, far net.Conn) {
	for got := []byte{}; !bytes.HasSuffix(got, []byte("\r\n\r\n")); {
		buf := make([]byte, 4096)
		n, err := far.Read(buf)
		require.NoError(t, err)
		got = append(got, buf[:n]...)
	}
	for att.conn.writeInProgress.Load() {
		time.Sleep(time.Millisecond)
	}
}

// bufferedState returns the state of a reader that has received text and not parsed it yet.
func bufferedState(text string) *readState {
	budget := newMemoryBudget(0)
	r := &readState{memory: memoryLease{budget: budget}, input: memoryLease{budget: budget}, buf: make([]byte, pool.Size)}
	r.buffered = r.buf[:copy(r.buf, text)]
	return r
}

// readResponse reads one answer from a connection.
func readResponse(t *testing.T, nc net.Conn) http1.Response { return readResponses(t, nc, 1)[0] }

// readResponses reads n answers. Several may arrive in one read: bytes after one answer belong to the next.
func readResponses(t *testing.T, nc net.Conn, n int) []http1.Response {
	var in http1.ResponseReader
	var got []http1.Response
	buf, rest := make([]byte, 4096), []byte(nil)
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	for len(got) < n {
		if len(rest) == 0 {
			size, err := nc.Read(buf)
			require.NoError(t, err)
			rest = buf[:size]
		}
		used, whole, err := in.Feed(rest)
		require.NoError(t, err)
		if rest = rest[used:]; whole {
			got = append(got, in.Take())
		}
	}
	return got
}

func TestOutcomeResults(t *testing.T) {
	for e, want := range map[outcome]gate.Result{outcomeOK: gate.Finished, outcomeError: gate.Errored, outcomeTurnedAway: gate.Full,
		outcomeNoSocket: gate.Skipped, outcomeNoConnection: gate.Unreachable, outcomeBrokenUnsent: gate.Unreachable, outcomeBroken: gate.Reset,
		outcomeMalformed: gate.Malformed, outcomeTimeoutUnsent: gate.Skipped, outcomeTimeout: gate.TimedOut, outcomeAbandonedUnsent: gate.Skipped,
		outcomeAbandoned: gate.Cancelled} {
		assert.Equal(t, want, e.result(), e)
	}
	for _, e := range []outcome{outcomeNoSocket, outcomeNoConnection, outcomeBrokenUnsent, outcomeTimeoutUnsent, outcomeAbandonedUnsent, outcomeTurnedAway} {
		assert.True(t, e.result().NeverRan(), e)
	}
	for _, e := range []outcome{outcomeError, outcomeBroken, outcomeMalformed, outcomeTimeout, outcomeAbandoned} {
		assert.False(t, e.result().NeverRan(), e)
	}
}

func TestLocalSocketShortageIsNotABackendFailure(t *testing.T) {
	assert.Equal(t, outcomeNoSocket, dialOutcome(&net.OpError{Err: os.NewSyscallError("socket", syscall.EMFILE)}))
	assert.Equal(t, outcomeNoConnection, dialOutcome(&net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}))
}

func TestServeFailsWithoutSockets(t *testing.T) {
	cfg := testConfig()
	cfg.Sockets = 3
	assert.ErrorContains(t, New(cfg, nil, logrus.New()).Serve(t.Context()), `"limits.sockets"`)
}

func TestOnlyMarkedAnswersAreTurnedAway(t *testing.T) {
	for a, want := range map[*http1.Response]outcome{{Status: 200}: outcomeOK, {Status: 500}: outcomeError, {Status: 503}: outcomeError,
		{Status: 503, TurnedAway: true}: outcomeTurnedAway, {Status: 504, TurnedAway: true}: outcomeTurnedAway,
		{Status: 500, TurnedAway: true}: outcomeError, {Status: 201}: outcomeError} {
		assert.Equal(t, want, answerOutcome(a))
	}
}

func TestGateRequestRejectsInvalidRequests(t *testing.T) {
	c, _ := newTestCore(t)
	good := http1.Request{Method: "POST", Class: "book", IdempotencyKey: "m", Plan: "team", Units: 2, Spread: 3, First: 2, TTL: 1e12}
	ev, err := c.gateRequest(&good)
	require.NoError(t, err)
	assert.Equal(t, gate.Request{Class: 1, TTL: 2000, Units: 2, Spread: 3, FirstDoor: 2}, ev, "the time to live is limited to MaxWait")
	for name, change := range map[string]func(*http1.Request){
		"class": func(msg *http1.Request) { msg.Class = "unknown" }, "plan": func(msg *http1.Request) { msg.Plan = "unknown" },
		"method":          func(msg *http1.Request) { msg.Method = "GET" },
		"idempotency key": func(msg *http1.Request) { msg.IdempotencyKey = "" }, "first door": func(msg *http1.Request) { msg.First = 3 },
		"spread": func(msg *http1.Request) { msg.Spread = 4 }, "units": func(msg *http1.Request) { msg.Units = 9 },
	} {
		bad := good
		change(&bad)
		_, err := c.gateRequest(&bad)
		assert.Error(t, err, name)
	}
}

func TestRequestTTLCountsFromFirstByte(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, nil)
	requestArrived{cl, &http1.Request{}, gate.Request{TTL: 500}, c.clock.now() - 200, memoryLease{}}.handle(c)
	ev := c.pending[0].(gate.Request)
	assert.LessOrEqual(t, ev.TTL, 300.0)
	assert.Greater(t, ev.TTL, 0.0)
}

func TestAnswerIsRelayedOnceAndFreesSlot(t *testing.T) {
	c, client := newTestCore(t)
	att, far := sendOverPipe(t, c)
	receiveAttempt(t, att, far)
	answerArrived{att.conn, http1.Response{Status: 200, Use: 0.5, Body: []byte("hi")}, att.startedAt + 30, memoryLease{}}.handle(c)
	assert.Equal(t, gate.AttemptEnded{Result: gate.Finished, Latency: 30, Answered: true, MeteredUse: 0.5, Queue: -1}, c.pending[0])
	c.answer(0, answer{status: http.StatusBadGateway}, "") // a second answer, which is dropped
	assert.Equal(t, http1.Response{Status: 200, Use: -1, Queue: -1, Body: []byte("hi")}, readResponse(t, client))
	assert.Len(t, c.backends[0].idle, 1, "the connection can be reused")
	c.decide()
	assert.Equal(t, []int{0}, c.freeSlots)
	client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	n, _ := client.Read(make([]byte, 1))
	assert.Zero(t, n)
}

func TestErrorAnswerIsNotRelayed(t *testing.T) {
	c, _ := newTestCore(t)
	att, _ := sendOverPipe(t, c)
	answerArrived{att.conn, http1.Response{Status: 500, Use: -1, Body: []byte("secret")}, att.startedAt, memoryLease{}}.handle(c)
	assert.False(t, c.requests[0].done, "the decider decides what happens next")
	assert.Equal(t, gate.Errored, c.pending[0].(gate.AttemptEnded).Result)
}

func TestAbandonedAttemptIsNotWritten(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	other := &attempt{op: 0, conn: att.conn}
	c.requests[0].attempts = append(c.requests[0].attempts, other)
	c.requests[0].outstanding++
	c.abandon(other, outcomeAbandonedUnsent, outcomeAbandoned)
	assert.Equal(t, gate.Skipped, c.pending[0].(gate.AttemptEnded).Result)
	go att.conn.writeAttempt(other, &http1.Request{ID: "late"})
	got, _ := io.ReadAll(far)
	assert.NotContains(t, string(got), "late")
}

func TestAttemptAbandonedDuringWriteMayHaveRun(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	_, err := far.Read(make([]byte, 1)) // the writer has started
	require.NoError(t, err)
	c.abandon(att, outcomeAbandonedUnsent, outcomeAbandoned)
	assert.Equal(t, gate.Cancelled, c.pending[0].(gate.AttemptEnded).Result)
	assert.Empty(t, c.backendConns, "the connection is closed")
	_, err = io.ReadAll(far)
	assert.NoError(t, err)
	c.abandon(att, outcomeAbandonedUnsent, outcomeAbandoned)
	assert.Len(t, c.pending, 1, "an attempt ends once")
}

func TestPartlyWrittenAttemptNeverRan(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	_, err := far.Read(make([]byte, 9))
	require.NoError(t, err)
	far.Close()
	for att.stage.Load() != stageBroken { // until the writer notices the broken connection
		time.Sleep(time.Millisecond)
	}
	connClosed{att.conn, outcomeBroken}.handle(c)
	assert.Equal(t, gate.Unreachable, c.pending[0].(gate.AttemptEnded).Result)
}

func TestAnswerBeforeAttemptIsWrittenClosesConnection(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	_, err := far.Read(make([]byte, 1)) // the rest is not read, so the write does not complete
	require.NoError(t, err)
	answerArrived{att.conn, http1.Response{Status: 503, TurnedAway: true}, c.now, memoryLease{}}.handle(c)
	assert.Empty(t, c.backends[0].idle)
}

func TestUnsolicitedAnswerEndsConnection(t *testing.T) {
	c, _ := newTestCore(t)
	far, near := net.Pipe()
	go far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	assert.Equal(t, outcomeMalformed, (&backendConn{c: c, nc: near}).readAnswers())
}

func TestConnectionToOldProcessIsNotReused(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	receiveAttempt(t, att, far)
	answerArrived{att.conn, http1.Response{Status: 500}, c.now, memoryLease{}}.handle(c)
	require.Len(t, c.backends[0].idle, 1)
	fleetUpdate{list: registry.List{Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready", Started: 5}}}}.handle(c)
	assert.Empty(t, c.backends[0].idle)
	assert.Empty(t, c.backendConns)
}

func TestIdleBackendConnectionIsClosed(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	receiveAttempt(t, att, far)
	answerArrived{att.conn, http1.Response{Status: 500}, c.now, memoryLease{}}.handle(c)
	c.now += c.cfg.Pace.IdleBackend + 1
	c.sweep()
	assert.Empty(t, c.backendConns)
}

func TestAttemptWithoutFreeSocketIsSkipped(t *testing.T) {
	c, _ := newTestCore(t)
	for c.budget.acquire(0) {
	}
	c.send(gate.Send{})
	assert.Equal(t, gate.Skipped, c.pending[0].(gate.AttemptEnded).Result)
	assert.Zero(t, c.requests[0].outstanding)
}

func TestEvictIdleClosesIdleConnection(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	receiveAttempt(t, att, far)
	answerArrived{att.conn, http1.Response{Status: 500}, c.now, memoryLease{}}.handle(c)
	for c.budget.acquire(0) {
	}
	assert.True(t, c.evictIdle())
	assert.Empty(t, c.backendConns)
	assert.False(t, c.evictIdle())
}

func TestSocketNeededClosesLongestIdleClient(t *testing.T) {
	c, _ := newTestCore(t)
	far, near := net.Pipe()
	defer far.Close()
	fresh, old := newClient(c, near), newClient(c, near)
	old.idleSince -= c.cfg.Pace.Linger + 1
	clientOpened{fresh}.handle(c)
	socketNeeded{}.handle(c)
	assert.False(t, fresh.closeRequested.Load(), "a request may be on its way")
	clientOpened{old}.handle(c)
	socketNeeded{}.handle(c)
	assert.True(t, old.closeRequested.Load())
	assert.False(t, fresh.closeRequested.Load())
	assert.False(t, c.requests[0].client.closeRequested.Load(), "a client with a pending answer stays")
}

// A request that a client sends before it receives the answer that closes its connection must not run: it could not be answered,
// and the client's repeat would run it twice.
func TestNoRequestIsAcceptedAfterLastAnswer(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, connect(t, loopbacktest.Serve(t, keepOpen)))
	cl.answer(answer{status: http.StatusOK, last: true})
	r := bufferedState(lookRequest)
	r.answerPending = true
	assert.False(t, cl.step(r))
	assert.Empty(t, c.events, "nothing is passed to the event loop")
}

func TestConnectionClosesAfterAnswerWhenSocketsAreShort(t *testing.T) {
	c, client := newTestCore(t)
	for c.budget.acquire(c.budget.clientReserve) {
	}
	c.answer(0, answer{status: http.StatusTooManyRequests, retryAfter: 250}, "")
	assert.True(t, readResponse(t, client).Close)
}

// The number of persistent client connections is limited. Without the limit, clients that each sent one request and kept their
// connection took all sockets within two seconds, and the next requests got none until idle connections were closed.
func TestConnectionClosesAfterAnswerWithManyActiveClients(t *testing.T) {
	c, client := newTestCore(t)
	c.activeClients = c.cfg.Sockets/persistentDivisor + 1
	c.answer(0, answer{status: http.StatusOK, body: []byte("hi")}, "")
	assert.True(t, readResponse(t, client).Close)
	active := c.activeClients
	clientClosed{c.requests[0].client, closedByClient}.handle(c)
	assert.Equal(t, active-1, c.activeClients)
}

func TestClientGoneIsReportedOnce(t *testing.T) {
	c, _ := newTestCore(t)
	cl := c.requests[0].client
	clientClosed{cl, closedByClient}.handle(c)
	assert.Equal(t, []gate.Event{gate.ClientGone{Op: 0}}, c.pending)
	c.answer(0, answer{status: http.StatusOK, body: []byte("hi")}, "")
	c.decide()
	assert.Equal(t, []int{0}, c.freeSlots)
	clientClosed{cl, closedByClient}.handle(c)
	assert.Empty(t, c.pending)
}

func TestAttemptTimesOut(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	_, err := far.Read(make([]byte, 1))
	require.NoError(t, err)
	c.now = c.requests[0].deadline
	c.timeouts.expireDue(c)
	assert.True(t, att.ended)
	assert.Equal(t, gate.TimedOut, c.pending[0].(gate.AttemptEnded).Result)
	assert.False(t, c.pending[0].(gate.AttemptEnded).Answered)
}

func TestReadiness(t *testing.T) {
	c, _ := newTestCore(t)
	assert.False(t, c.ready.Load(), "discovery has not been asked")
	discoveryAttempted{}.handle(c)
	assert.True(t, c.ready.Load())
	fleetUpdate{list: registry.List{Whole: true}}.handle(c)
	assert.False(t, c.ready.Load(), "no backend")
	fleetUpdate{list: registry.List{Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready"}}}}.handle(c)
	c.beginShutdown()
	assert.False(t, c.ready.Load())
}

func TestCounterCallIsReportedOnce(t *testing.T) {
	c, _ := newTestCore(t)
	conn := newCounterConn(c, "")
	c.counterConns = []*counterConn{conn}
	c.callCounter(gate.Count{Customer: 0, Epoch: 7, Add: 2, TTL: 4000, Call: 3})
	call := conn.queue[0]
	assert.Equal(t, "0/7", counterKey(call))
	c.now += c.cfg.Settings.CounterTimeout
	c.timeouts.expireDue(c)
	assert.Equal(t, []gate.Event{gate.Counted{Epoch: 7, Result: gate.TimedOut}}, c.pending)
	c.pending = nil
	callEnded{call, outcomeOK, 5}.handle(c)
	require.Len(t, c.pending, 1, "a late answer is reported as such, not as another result")
	late := c.pending[0].(gate.CountedLate)
	late.Latency = 0
	assert.Equal(t, gate.CountedLate{Epoch: 7, Call: 3, Total: 5}, late)
	assert.Zero(t, conn.outstanding)
	c.callCounter(gate.Count{Customer: 0, Epoch: 8})
	c.customers.Drop(0)
	callEnded{conn.queue[1], outcomeOK, 5}.handle(c)
	assert.Len(t, c.pending, 1)
}

func TestExpiredCounterCallsAreNotSent(t *testing.T) {
	c, _ := newTestCore(t)
	old, fresh := &counterCall{startedAt: c.clock.now() - 1000}, &counterCall{startedAt: c.clock.now() + 1000}
	conn := newCounterConn(c, "")
	conn.queue = []*counterCall{old, fresh}
	conn.nc, _ = net.Pipe()
	calls, late, up := conn.takeQueued(conn.nc)
	assert.True(t, up)
	assert.Equal(t, []*counterCall{fresh}, calls)
	assert.Equal(t, []*counterCall{old}, late)
	assert.Equal(t, calls, conn.awaitingReply)
}

// A connection that ends between current and takeQueued has already ended the calls awaiting a reply on it. A call registered on
// it afterwards would never end, and would be matched to the first reply on the next connection.
func TestCounterCallIsNotRegisteredOnEndedConnection(t *testing.T) {
	c, _ := newTestCore(t)
	conn := newCounterConn(c, loopbacktest.Serve(t, func(nc net.Conn) { nc.Close() }))
	nc, how := conn.connect(t.Context())
	require.Equal(t, outcomeOK, how)
	for conn.current() != nil { // until its reader has noticed the end and returned
		runtime.Gosched()
	}
	call := &counterCall{conn: conn, startedAt: c.clock.now()}
	conn.queue = []*counterCall{call}
	calls, late, up := conn.takeQueued(nc)
	assert.False(t, up)
	assert.Equal(t, []*counterCall{call}, calls)
	assert.Empty(t, late)
	assert.Empty(t, conn.awaitingReply, "no call waits for a reply that cannot come")
	assert.True(t, how.asUnsent().result().NeverRan(), "the call never added its units")
}

func TestStalledCounterConnectionIsClosed(t *testing.T) {
	c, _ := newTestCore(t)
	far, near := net.Pipe()
	conn := newCounterConn(c, "")
	conn.nc = near
	call := &counterCall{conn: conn, startedAt: c.now - c.cfg.Pace.CounterStall}
	call.expire(c)
	_, err := far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// A second answer directly behind the first, such as one to a hedge, must not be taken for the answer to the next attempt, and
// must not affect the next request.
func TestExtraBytesAfterAnswerEndConnection(t *testing.T) {
	c, _ := newTestCore(t)
	far, near := net.Pipe()
	defer far.Close()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	go io.WriteString(far, answer+answer)
	assert.Equal(t, outcomeMalformed, (&backendConn{c: c, nc: near, answerPending: true}).readAnswers())
	n := (<-c.events).(answerArrived)
	assert.Equal(t, "hi", string(n.answer.Body), "the first answer is valid")
	assert.True(t, n.answer.Close)
	assert.Empty(t, c.events, "the second answer is discarded")
}

// Extra bytes that arrive on an idle connection, or the backend's close, are noticed before the connection is used again: the
// attempt is launched on a new connection.
func TestStaleConnectionIsReplaced(t *testing.T) {
	for name, breakConn := range map[string]func(net.Conn){
		"extra bytes": func(nc net.Conn) { io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") },
		"closed":      func(nc net.Conn) { nc.Close() },
	} {
		c, _ := newTestCore(t)
		far := make(chan net.Conn, 2)
		c.backends[0].addr = loopbacktest.Serve(t, func(nc net.Conn) { far <- nc })
		near := connect(t, c.backends[0].addr)
		raw, err := near.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		conn := &backendConn{c: c, addr: c.backends[0].addr, nc: near, raw: raw, cancel: func() {}, hasAnswered: true}
		c.backendConns[conn], c.backends[0].idle = struct{}{}, []*backendConn{conn}
		breakConn(<-far)
		for sockio.IsIdle(raw) {
			time.Sleep(time.Millisecond)
		}
		c.send(gate.Send{})
		connClosed{conn, conn.readAnswers()}.handle(c)
		assert.Empty(t, c.pending, name+": not reported to the decider")
		fresh := <-far
		req := make([]byte, 4096)
		n, err := fresh.Read(req)
		require.NoError(t, err)
		assert.Contains(t, string(req[:n]), "X-Txn: x", name)
		assert.Len(t, c.requests[0].attempts, 1, name)
		assert.Equal(t, 1, c.requests[0].outstanding, name)
	}
}

// Bytes read before an attempt was started are no part of its answer, even if the reader handles them only afterwards.
func TestBytesReadBeforeAttemptAreNotItsAnswer(t *testing.T) {
	far, near := net.Pipe()
	conn := &backendConn{nc: near}
	go io.WriteString(far, "x")
	_, _, answerPending, err := conn.receive(9)
	require.NoError(t, err)
	assert.False(t, answerPending)
	assert.False(t, conn.begin(&attempt{}), "the socket no longer shows the bytes that the reader took")
	conn = &backendConn{nc: near}
	assert.True(t, conn.begin(&attempt{}))
	go io.WriteString(far, "x")
	_, _, answerPending, err = conn.receive(9)
	require.NoError(t, err)
	assert.True(t, answerPending)
}

func TestFreshConnectionThatBreaksUnusedIsUnreachable(t *testing.T) {
	c, _ := newTestCore(t)
	att := &attempt{op: 0, conn: &backendConn{c: c, cancel: func() {}}}
	att.conn.attempt = att
	c.requests[0].attempts, c.requests[0].outstanding = append(c.requests[0].attempts, att), 1
	connClosed{att.conn, outcomeBroken}.handle(c)
	assert.Equal(t, gate.Unreachable, c.pending[0].(gate.AttemptEnded).Result, "it never ran")
}

// A request with the id of another open request is rejected: a backend and the decider could not tell the two apart.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	c, _ := newTestCore(t)
	far, near := net.Pipe()
	defer far.Close()
	cl := newClient(c, near)
	duplicate := requestArrived{cl, &http1.Request{ID: "x"}, gate.Request{TTL: 500}, c.now, memoryLease{}}
	duplicate.handle(c)
	assert.Empty(t, c.pending)
	assert.Equal(t, http.StatusConflict, readResponse(t, far).Status)
	clientClosed{c.requests[0].client, closedByClient}.handle(c)
	c.decide()
	duplicate.handle(c)
	assert.Len(t, c.pending, 1, "the id is free again once the other request has ended")
}

// Clients that connect and send nothing, or send one request and keep their connection, would use up all sockets of the door.
func TestIdleClientsAreClosedAndBusyOnesAreNot(t *testing.T) {
	c, _ := newTestCore(t)
	far, near := net.Pipe()
	defer far.Close()
	idle := newClient(c, near)
	clientOpened{idle}.handle(c)
	c.now += c.cfg.Pace.IdleClient - 1
	c.sweep()
	assert.False(t, idle.closeRequested.Load())
	c.now += c.cfg.Pace.IdleClient
	c.sweep()
	assert.True(t, idle.closeRequested.Load())
	assert.False(t, c.requests[0].client.closeRequested.Load(), "a client with a pending answer stays")
}

// The time limit for receiving a first request counts from the opening of the connection. A client that is silent first and then
// sends half a request would otherwise hold a socket twice as long.
func TestFirstRequestTimeLimitCountsFromConnectionOpen(t *testing.T) {
	cl := &client{openedAt: 100}
	assert.Equal(t, 100.0, (&readState{firstByteAt: 900}).inputStart(cl))
	assert.Equal(t, 900.0, (&readState{firstByteAt: 900, hadRequest: true}).inputStart(cl))
}

func TestSocketNeededClosesSilentClientsFirst(t *testing.T) {
	c, _ := newTestCore(t)
	far, near := net.Pipe()
	defer far.Close()
	silent, active := newClient(c, near), newClient(c, near)
	active.hasRequested = true
	silent.idleSince -= c.cfg.Pace.Linger / 2
	active.idleSince -= c.cfg.Pace.Linger / 2
	clientOpened{silent}.handle(c)
	clientOpened{active}.handle(c)
	socketNeeded{}.handle(c)
	assert.True(t, silent.closeRequested.Load())
	assert.False(t, active.closeRequested.Load(), "its next request may be on its way")
}

// A reload switches to the new addresses of discovery and counter. Fleet updates that the old watch still sends are ignored, and
// outstanding calls of the old counter finish on their own connections.
func TestReloadSwitchesToNewAddresses(t *testing.T) {
	c, _ := newTestCore(t)
	c.background, c.cfg.Settings.Terms.Counter = t.Context(), true
	c.useCounter("127.0.0.1:1")
	old := c.counterConns[0]
	old.outstanding = 1
	stopped := false
	old.stop = func() { stopped = true }
	requests := make(chan string, 9)
	next := loopbacktest.Serve(t, discoveryServer("127.0.0.1:7", requests, keepOpen))
	reloadRequest{next, "127.0.0.1:2"}.handle(c)
	assert.Equal(t, "/registry/instances?stream=1", <-requests, "requests the complete list at once")
	assert.Equal(t, []string{"127.0.0.1:2", "127.0.0.1:2"}, []string{c.counterConns[0].addr, c.counterConns[1].addr})
	assert.False(t, stopped, "it has an outstanding call")
	callEnded{&counterCall{conn: old}, outcomeOK, 5}.handle(c)
	assert.True(t, stopped)
	fleetUpdate{list: registry.List{Whole: true}}.handle(c)
	assert.True(t, c.backends[0].eligible, "an update from the old watch is ignored")
	for c.backends[0].addr != "127.0.0.1:7" {
		(<-c.events).handle(c)
	}
	watch := c.watchNumber
	reloadRequest{next, "127.0.0.1:2"}.handle(c)
	assert.Equal(t, watch, c.watchNumber, "unchanged addresses start no new watch")
}

// Backends are replaced continually. If their indices were never reused, every array would grow without limit; an index reused
// before its state is cleared would pass connections to another backend.
func TestFreedBackendIndexInheritsNothing(t *testing.T) {
	c, _ := newTestCore(t)
	att, far := sendOverPipe(t, c)
	receiveAttempt(t, att, far)
	answerArrived{att.conn, http1.Response{Status: 500}, c.now, memoryLease{}}.handle(c)
	c.execute(gate.FreeBackend{Backend: 0})
	assert.Empty(t, c.backendConns)
	fleetUpdate{list: registry.List{Backends: []registry.Entry{{ID: "new", Addr: "127.0.0.1:1", Zone: "b", Cell: 9, State: "Ready"}}}}.handle(c)
	require.Len(t, c.backends, 1)
	assert.Empty(t, c.backends[0].idle)
	assert.Equal(t, [2]int{0, 0}, [2]int{c.backends[0].zone, c.backends[0].cell}, "the indices of zones and cells are reused too")
}

func TestQueueLengthIsReportedOnlyIfConfigured(t *testing.T) {
	for _, names := range [][]string{nil, {"recent_ms", "backlog"}} {
		c, _ := newTestCore(t)
		c.cfg.Settings.ReportNames = names
		att, _ := sendOverPipe(t, c)
		answerArrived{att.conn, http1.Response{Status: 200, Use: -1, Queue: 4, Body: []byte("hi")}, att.startedAt + 30, memoryLease{}}.handle(c)
		want := -1.0
		if names != nil {
			want = 4
		}
		assert.Equal(t, want, c.pending[0].(gate.AttemptEnded).Queue)
	}
}
