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

// scripted answers every batch with what its function says.
type scripted func(now float64, events []gate.Event) []gate.Action

func (s scripted) Decide(now float64, events []gate.Event) []gate.Action { return s(now, events) }

// settled is a configuration with one idempotent and one keyed class and one plan.
func settled() config.Door {
	return config.Door{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Sockets: 100,
		Settings: config.Settings{Terms: gate.Terms{Doors: 3, Classes: []gate.Class{{}, {Semantics: gate.Keyed}},
			Plans: make([]gate.Plan, 1)}, Classes: map[string]int{"look": 0, "book": 1}, Plans: map[string]int{"team": 0},
			ConnectTimeout: 250, CounterTimeout: 80, MaxWait: 2000, MaxUnits: 8},
		Pace: config.Pace{SlowInput: 2000, IdleClient: 2000, IdleBackend: 5000, Silence: 3000, FirstByte: 1000, CounterStall: 800, Redial: 20, Linger: 500}}
}

// owned is a core that no goroutine runs, with one backend and one open request from a connected client.
func owned(t *testing.T) (c *core, client net.Conn) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c = newCore(settled(), scripted(func(float64, []gate.Event) []gate.Action { return nil }), log)
	c.now = c.clock.now()
	listed{list: registry.List{Whole: true, Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready"}}}}.take(c)
	far, near := net.Pipe()
	t.Cleanup(func() { far.Close(); near.Close() })
	cl := newClient(c, near)
	opened{cl}.take(c)
	arrived{cl, &http1.Request{Method: "GET", Target: "/look?key=1", ID: "x"}, gate.Request{TTL: 500}, c.now}.take(c)
	c.pending = nil
	return c, far
}

// linked sends the open request over an idle connection to the backend, whose end is returned.
func linked(t *testing.T, c *core) (*attempt, net.Conn) {
	far, near := net.Pipe()
	t.Cleanup(func() { far.Close(); near.Close() })
	l := &link{c: c, addr: "127.0.0.1:1", nc: near, cancel: func() {}}
	c.links[l] = struct{}{}
	c.backends[0].idle = append(c.backends[0].idle, l)
	c.send(gate.Send{})
	return c.ops[0].attempts[0], far
}

// written takes all of an attempt at the backend's end.
func written(t *testing.T, f *attempt, far net.Conn) {
	for got := []byte{}; !bytes.HasSuffix(got, []byte("\r\n\r\n")); {
		buf := make([]byte, 4096)
		n, err := far.Read(buf)
		require.NoError(t, err)
		got = append(got, buf[:n]...)
	}
	for f.link.busy.Load() {
		time.Sleep(time.Millisecond)
	}
}

// bringing is a reader that holds bytes.
func bringing(text string) *reading {
	r := &reading{buf: make([]byte, pool.Size)}
	r.rest = r.buf[:copy(r.buf, text)]
	return r
}

// heard reads one answer.
func heard(t *testing.T, nc net.Conn) http1.Response { return heardEach(t, nc, 1)[0] }

// heardEach reads n answers, which may come in one read: what one read brings beyond an answer is the next's.
func heardEach(t *testing.T, nc net.Conn, n int) []http1.Response {
	var in http1.ResponseReader
	var got []http1.Response
	buf, rest := make([]byte, 4096), []byte(nil)
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	for len(got) < n {
		if len(rest) == 0 {
			k, err := nc.Read(buf)
			require.NoError(t, err)
			rest = buf[:k]
		}
		used, whole, err := in.Feed(rest)
		require.NoError(t, err)
		if rest = rest[used:]; whole {
			got = append(got, in.Take())
		}
	}
	return got
}

func TestEveryEndHasItsResult(t *testing.T) {
	for e, want := range map[end]gate.Result{endWell: gate.Finished, endIll: gate.Errored, endTurnedAway: gate.Full,
		endNoSocket: gate.Skipped, endNoConn: gate.Unreachable, endCutUnsent: gate.Unreachable, endCut: gate.Reset,
		endGarbled: gate.Malformed, endLateUnsent: gate.Skipped, endLate: gate.TimedOut, endLeftUnsent: gate.Skipped,
		endLeft: gate.Cancelled} {
		assert.Equal(t, want, e.result(), e)
	}
	for _, e := range []end{endNoSocket, endNoConn, endCutUnsent, endLateUnsent, endLeftUnsent, endTurnedAway} {
		assert.True(t, e.result().NeverRan(), e)
	}
	for _, e := range []end{endIll, endCut, endGarbled, endLate, endLeft} {
		assert.False(t, e.result().NeverRan(), e)
	}
}

func TestAMachineOutOfSocketsIsNotTheBackendsFault(t *testing.T) {
	assert.Equal(t, endNoSocket, endOfDial(&net.OpError{Err: os.NewSyscallError("socket", syscall.EMFILE)}))
	assert.Equal(t, endNoConn, endOfDial(&net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}))
}

func TestADoorWithoutSocketsSaysSo(t *testing.T) {
	cfg := settled()
	cfg.Sockets = 3
	assert.ErrorContains(t, New(cfg, nil, logrus.New()).Serve(t.Context()), `"limits.sockets"`)
}

func TestOnlyAMarkedAnswerIsTurnedAway(t *testing.T) {
	for a, want := range map[*http1.Response]end{{Status: 200}: endWell, {Status: 500}: endIll, {Status: 503}: endIll,
		{Status: 503, TurnedAway: true}: endTurnedAway, {Status: 504, TurnedAway: true}: endTurnedAway,
		{Status: 500, TurnedAway: true}: endIll, {Status: 201}: endIll} {
		assert.Equal(t, want, endOf(a))
	}
}

func TestWhatTheTermsDoNotKnowIsAFault(t *testing.T) {
	c, _ := owned(t)
	good := http1.Request{Method: "POST", Class: "book", IdempotencyKey: "m", Plan: "team", Units: 2, Spread: 3, First: 2, TTL: 1e12}
	ev, err := c.word(&good)
	require.NoError(t, err)
	assert.Equal(t, gate.Request{Class: 1, TTL: 2000, Units: 2, Spread: 3, FirstDoor: 2}, ev, "no client waits longer")
	for name, change := range map[string]func(*http1.Request){
		"profile": func(o *http1.Request) { o.Class = "odd" }, "plan": func(o *http1.Request) { o.Plan = "odd" },
		"method": func(o *http1.Request) { o.Method = "GET" },
		"mark":   func(o *http1.Request) { o.IdempotencyKey = "" }, "first": func(o *http1.Request) { o.First = 3 },
		"spread": func(o *http1.Request) { o.Spread = 4 }, "units": func(o *http1.Request) { o.Units = 9 },
	} {
		bad := good
		change(&bad)
		_, err := c.word(&bad)
		assert.Error(t, err, name)
	}
}

func TestTimeLeftCountsFromTheFirstByte(t *testing.T) {
	c, _ := owned(t)
	cl := newClient(c, nil)
	arrived{cl, &http1.Request{}, gate.Request{TTL: 500}, c.clock.now() - 200}.take(c)
	ev := c.pending[0].(gate.Request)
	assert.LessOrEqual(t, ev.TTL, 300.0)
	assert.Greater(t, ev.TTL, 0.0)
}

func TestAFinishedAnswerIsRelayedOnceAndFreesItsSlot(t *testing.T) {
	c, client := owned(t)
	f, far := linked(t, c)
	written(t, f, far)
	answered{f.link, http1.Response{Status: 200, Use: 0.5, Body: []byte("hi")}, f.at + 30}.take(c)
	assert.Equal(t, gate.AttemptEnded{Result: gate.Finished, Latency: 30, Answered: true, MeteredUse: 0.5, Queue: -1}, c.pending[0])
	c.answer(0, http.StatusBadGateway, 0, nil, "") // a second answer
	assert.Equal(t, http1.Response{Status: 200, Use: -1, Queue: -1, Body: []byte("hi")}, heard(t, client))
	assert.Len(t, c.backends[0].idle, 1, "the connection is used again")
	c.decide()
	assert.Equal(t, []int{0}, c.free)
	client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	n, _ := client.Read(make([]byte, 1))
	assert.Zero(t, n)
}

func TestOnlyWhatABackendAnsweredWellIsRelayed(t *testing.T) {
	c, _ := owned(t)
	f, _ := linked(t, c)
	answered{f.link, http1.Response{Status: 500, Use: -1, Body: []byte("secret")}, f.at}.take(c)
	assert.False(t, c.ops[0].over, "the decisions say what becomes of it")
	assert.Equal(t, gate.Errored, c.pending[0].(gate.AttemptEnded).Result)
}

func TestAWriterThatComesAfterGivingUpWritesNothing(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	other := &attempt{op: 0, link: f.link}
	c.ops[0].attempts = append(c.ops[0].attempts, other)
	c.ops[0].out++
	c.abandon(other, endLeftUnsent, endLeft)
	assert.Equal(t, gate.Skipped, c.pending[0].(gate.AttemptEnded).Result)
	go f.link.write(other, []byte("late"))
	got, _ := io.ReadAll(far)
	assert.NotContains(t, string(got), "late")
}

func TestGivingUpWhatMayHaveLeftMayHaveRun(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	_, err := far.Read(make([]byte, 1)) // the writer has begun
	require.NoError(t, err)
	c.abandon(f, endLeftUnsent, endLeft)
	assert.Equal(t, gate.Cancelled, c.pending[0].(gate.AttemptEnded).Result)
	assert.Empty(t, c.links, "its connection is closed")
	_, err = io.ReadAll(far)
	assert.NoError(t, err)
	c.abandon(f, endLeftUnsent, endLeft)
	assert.Len(t, c.pending, 1, "one end each")
}

func TestAnAttemptCutOffNeverRan(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	_, err := far.Read(make([]byte, 9))
	require.NoError(t, err)
	far.Close()
	for f.stage.Load() != broken { // the writer finds out
		time.Sleep(time.Millisecond)
	}
	cut{f.link, endCut}.take(c)
	assert.Equal(t, gate.Unreachable, c.pending[0].(gate.AttemptEnded).Result)
}

func TestAnAnswerBeforeItsAttemptHasLeftEndsTheConnection(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	_, err := far.Read(make([]byte, 1)) // the rest is stuck
	require.NoError(t, err)
	answered{f.link, http1.Response{Status: 503, TurnedAway: true}, c.now}.take(c)
	assert.Empty(t, c.backends[0].idle)
}

func TestAnAnswerNobodyAskedForEndsTheConnection(t *testing.T) {
	c, _ := owned(t)
	far, near := net.Pipe()
	go far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	assert.Equal(t, endGarbled, (&link{c: c, nc: near}).read())
}

func TestAnOldProcessGetsNothingNew(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	written(t, f, far)
	answered{f.link, http1.Response{Status: 500}, c.now}.take(c)
	require.Len(t, c.backends[0].idle, 1)
	listed{list: registry.List{Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready", Started: 5}}}}.take(c)
	assert.Empty(t, c.backends[0].idle)
	assert.Empty(t, c.links)
}

func TestAnIdleConnectionIsRetiredInTime(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	written(t, f, far)
	answered{f.link, http1.Response{Status: 500}, c.now}.take(c)
	c.now += c.cfg.Pace.IdleBackend + 1
	c.sweep()
	assert.Empty(t, c.links)
}

func TestASpentBudgetIsAResult(t *testing.T) {
	c, _ := owned(t)
	for c.budget.take(0) {
	}
	c.send(gate.Send{})
	assert.Equal(t, gate.Skipped, c.pending[0].(gate.AttemptEnded).Result)
	assert.Zero(t, c.ops[0].out)
}

func TestAnIdleConnectionGivesWayToOneThatIsWanted(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	written(t, f, far)
	answered{f.link, http1.Response{Status: 500}, c.now}.take(c)
	for c.budget.take(0) {
	}
	assert.True(t, c.spare())
	assert.Empty(t, c.links)
	assert.False(t, c.spare())
}

func TestACrowdClosesTheLongestIdleClientButNoneJustCome(t *testing.T) {
	c, _ := owned(t)
	far, near := net.Pipe()
	defer far.Close()
	fresh, old := newClient(c, near), newClient(c, near)
	old.idleSince -= c.cfg.Pace.Linger + 1
	opened{fresh}.take(c)
	crowded{}.take(c)
	assert.False(t, fresh.shut.Load(), "an operation may be on its way")
	opened{old}.take(c)
	crowded{}.take(c)
	assert.True(t, old.shut.Load())
	assert.False(t, fresh.shut.Load())
	assert.False(t, c.ops[0].client.shut.Load(), "one that is owed an answer stays")
}

// A client that sends its next request before the answer that closes its connection gets no answer for it: run,
// it would have its effect unanswered, and a repeat of the client's would have it twice.
func TestNothingIsTakenBehindAConnectionsLastAnswer(t *testing.T) {
	c, _ := owned(t)
	cl := newClient(c, dialled(t, loopbacktest.Serve(t, keep)))
	cl.answer(http1.AppendResponse(nil, http.StatusOK, 0, nil, true), true)
	r := bringing(look)
	r.owed = true
	assert.False(t, cl.step(r))
	assert.Empty(t, c.notes, "nothing is passed on")
}

func TestWhenSocketsAreShortAnAnswerIsItsConnectionsLast(t *testing.T) {
	c, client := owned(t)
	for c.budget.take(c.budget.kept) {
	}
	c.answer(0, http.StatusTooManyRequests, 250, nil, "")
	assert.True(t, heard(t, client).Close)
}

// Clients hold so many connections at most. Where each asks once and stays, all were taken within two seconds, and the
// next requests had none until idle ones were closed.
func TestWithManyClientsAnAnswerIsItsConnectionsLast(t *testing.T) {
	c, client := owned(t)
	c.known = c.cfg.Sockets/keptPart + 1
	c.answer(0, http.StatusOK, 0, []byte("hi"), "")
	assert.True(t, heard(t, client).Close)
	known := c.known
	left{c.ops[0].client, closedByClient}.take(c)
	assert.Equal(t, known-1, c.known)
}

func TestAClientThatLeavesIsReportedOnce(t *testing.T) {
	c, _ := owned(t)
	cl := c.ops[0].client
	left{cl, closedByClient}.take(c)
	assert.Equal(t, []gate.Event{gate.ClientGone{Op: 0}}, c.pending)
	c.answer(0, http.StatusOK, 0, []byte("hi"), "")
	c.decide()
	assert.Equal(t, []int{0}, c.free)
	left{cl, closedByClient}.take(c)
	assert.Empty(t, c.pending)
}

func TestTimeRunsOutForAnAttempt(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	_, err := far.Read(make([]byte, 1))
	require.NoError(t, err)
	c.now = c.ops[0].until
	c.due.fire(c)
	assert.True(t, f.ended)
	assert.Equal(t, gate.TimedOut, c.pending[0].(gate.AttemptEnded).Result)
	assert.False(t, c.pending[0].(gate.AttemptEnded).Answered)
}

func TestReadyOnlyWhenItCanServe(t *testing.T) {
	c, _ := owned(t)
	assert.False(t, c.ready.Load(), "discovery was not asked")
	asked{}.take(c)
	assert.True(t, c.ready.Load())
	listed{list: registry.List{Whole: true}}.take(c)
	assert.False(t, c.ready.Load(), "no backend")
	listed{list: registry.List{Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready"}}}}.take(c)
	c.leave()
	assert.False(t, c.ready.Load())
}

func TestACallIsToldOnceAndItsCustomerMayBeForgotten(t *testing.T) {
	c, _ := owned(t)
	conn := newCounterConn(c, "")
	c.counters = []*counterConn{conn}
	c.count(gate.Count{Customer: 0, Epoch: 7, Add: 2, TTL: 4000})
	k := conn.queue[0]
	assert.Equal(t, "0/7", countName(k))
	c.now += c.cfg.Settings.CounterTimeout
	c.due.fire(c)
	called{k, endWell, 5}.take(c)
	assert.Equal(t, []gate.Event{gate.Counted{Epoch: 7, Result: gate.TimedOut}}, c.pending)
	assert.Zero(t, conn.calls)
	c.count(gate.Count{Customer: 0, Epoch: 8})
	c.customers.Drop(0)
	called{conn.queue[1], endWell, 5}.take(c)
	assert.Len(t, c.pending, 1)
}

func TestCallsThatNobodyWaitsForAreNotMade(t *testing.T) {
	c, _ := owned(t)
	old, fresh := &call{at: c.clock.now() - 1000}, &call{at: c.clock.now() + 1000}
	conn := newCounterConn(c, "")
	conn.queue = []*call{old, fresh}
	conn.nc, _ = net.Pipe()
	calls, late, up := conn.load(conn.nc)
	assert.True(t, up)
	assert.Equal(t, []*call{fresh}, calls)
	assert.Equal(t, []*call{old}, late)
	assert.Equal(t, calls, conn.flying)
}

// A connection that ends between the look for it and the load of its calls has ended what flew on it. Loaded all the same,
// a call would have no end, and the reply to the next connection's first would be taken for its.
func TestACallIsNotLoadedOntoAConnectionThatHasEnded(t *testing.T) {
	c, _ := owned(t)
	conn := newCounterConn(c, loopbacktest.Serve(t, func(nc net.Conn) { nc.Close() }))
	nc, how := conn.connect(t.Context())
	require.Equal(t, endWell, how)
	for conn.up() != nil { // its reader sees the end and is over
		runtime.Gosched()
	}
	k := &call{conn: conn, at: c.clock.now()}
	conn.queue = []*call{k}
	calls, late, up := conn.load(nc)
	assert.False(t, up)
	assert.Equal(t, []*call{k}, calls)
	assert.Empty(t, late)
	assert.Empty(t, conn.flying, "nothing waits for a reply that can't come")
	assert.True(t, how.unsent().result().NeverRan(), "and nothing was added")
}

func TestAConnectionThatOwesACallForTooLongIsClosed(t *testing.T) {
	c, _ := owned(t)
	far, near := net.Pipe()
	conn := newCounterConn(c, "")
	conn.nc = near
	k := &call{conn: conn, at: c.now - c.cfg.Pace.CounterStall}
	k.expire(c)
	_, err := far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// A hedge behind an answer must neither be taken for the next one nor cost the next request anything.
func TestWhatIsBehindAnAnswerRetiresTheConnection(t *testing.T) {
	c, _ := owned(t)
	far, near := net.Pipe()
	defer far.Close()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	go io.WriteString(far, answer+answer)
	assert.Equal(t, endGarbled, (&link{c: c, nc: near, owes: true}).read())
	n := (<-c.notes).(answered)
	assert.Equal(t, "hi", string(n.a.Body), "the answer stands")
	assert.True(t, n.a.Close)
	assert.Empty(t, c.notes, "the copy is nobody's")
}

// Surplus that comes later, or the backend's close, is seen before the connection is used again.
func TestAStaleConnectionIsLeftForAnother(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"surplus": func(nc net.Conn) { io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") },
		"closed":  func(nc net.Conn) { nc.Close() },
	} {
		c, _ := owned(t)
		far := make(chan net.Conn, 2)
		c.backends[0].addr = loopbacktest.Serve(t, func(nc net.Conn) { far <- nc })
		near := dialled(t, c.backends[0].addr)
		raw, err := near.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		l := &link{c: c, addr: c.backends[0].addr, nc: near, raw: raw, cancel: func() {}, used: true}
		c.links[l], c.backends[0].idle = struct{}{}, []*link{l}
		spoil(<-far)
		for sockio.IsIdle(raw) {
			time.Sleep(time.Millisecond)
		}
		c.send(gate.Send{})
		cut{l, l.read()}.take(c)
		assert.Empty(t, c.pending, name+": the decisions hear nothing of it")
		fresh := <-far
		req := make([]byte, 4096)
		n, err := fresh.Read(req)
		require.NoError(t, err)
		assert.Contains(t, string(req[:n]), "X-Txn: x", name)
		assert.Len(t, c.ops[0].attempts, 1, name)
		assert.Equal(t, 1, c.ops[0].out, name)
	}
}

// What was read before a request was let out is no part of its answer, however late the reader looks at it.
func TestOnlyWhatComesAfterAnAttemptIsItsAnswer(t *testing.T) {
	far, near := net.Pipe()
	l := &link{nc: near}
	go io.WriteString(far, "x")
	_, owed, err := l.receive(make([]byte, 9))
	require.NoError(t, err)
	assert.False(t, owed)
	assert.False(t, l.carry(&attempt{}), "what the reader has taken is seen no more")
	l = &link{nc: near}
	assert.True(t, l.carry(&attempt{}))
	go io.WriteString(far, "x")
	_, owed, err = l.receive(make([]byte, 9))
	require.NoError(t, err)
	assert.True(t, owed)
}

func TestAFreshConnectionThatBreaksUnusedIsTheBackendsFault(t *testing.T) {
	c, _ := owned(t)
	f := &attempt{op: 0, link: &link{c: c, cancel: func() {}}}
	f.link.cur = f
	c.ops[0].attempts, c.ops[0].out = append(c.ops[0].attempts, f), 1
	cut{f.link, endCut}.take(c)
	assert.Equal(t, gate.Unreachable, c.pending[0].(gate.AttemptEnded).Result, "it never ran")
}

// The id of another's open request: backends and decisions could not tell the two apart.
func TestAnIdThatIsOpenElsewhereIsNotTaken(t *testing.T) {
	c, _ := owned(t)
	far, near := net.Pipe()
	defer far.Close()
	cl := newClient(c, near)
	again := arrived{cl, &http1.Request{ID: "x"}, gate.Request{TTL: 500}, c.now}
	again.take(c)
	assert.Empty(t, c.pending)
	assert.Equal(t, http.StatusConflict, heard(t, far).Status)
	left{c.ops[0].client, closedByClient}.take(c)
	c.decide()
	again.take(c)
	assert.Len(t, c.pending, 1, "free again once the other is over")
}

// Clients that connect and say nothing, or ask once and keep their connection for good, would fill the door.
func TestIdleClientsAreClosedAndBusyOnesAreNot(t *testing.T) {
	c, _ := owned(t)
	far, near := net.Pipe()
	defer far.Close()
	idle := newClient(c, near)
	opened{idle}.take(c)
	c.now += c.cfg.Pace.IdleClient - 1
	c.sweep()
	assert.False(t, idle.shut.Load())
	c.now += c.cfg.Pace.IdleClient
	c.sweep()
	assert.True(t, idle.shut.Load())
	assert.False(t, c.ops[0].client.shut.Load(), "one that is owed an answer stays")
}

// The time to bring a first request counts from the connection's beginning: one that is silent, then half-sent,
// would else hold a socket twice as long.
func TestAFirstRequestsTimeCountsFromItsConnection(t *testing.T) {
	cl := &client{began: 100}
	assert.Equal(t, 100.0, (&reading{first: 900}).since(cl))
	assert.Equal(t, 900.0, (&reading{first: 900, brought: true}).since(cl))
}

func TestInACrowdSilentConnectionsGoFirst(t *testing.T) {
	c, _ := owned(t)
	far, near := net.Pipe()
	defer far.Close()
	silent, known := newClient(c, near), newClient(c, near)
	known.known = true
	silent.idleSince -= c.cfg.Pace.Linger / 2
	known.idleSince -= c.cfg.Pace.Linger / 2
	opened{silent}.take(c)
	opened{known}.take(c)
	crowded{}.take(c)
	assert.True(t, silent.shut.Load())
	assert.False(t, known.shut.Load(), "its next operation may be on its way")
}

// A configuration read again moves discovery and counter; what the old ones still say of the fleet is passed over,
// and calls of the old counter come to their own end.
func TestAReloadGoesOverToTheNewAddresses(t *testing.T) {
	c, _ := owned(t)
	c.background, c.cfg.Settings.Terms.Counter = t.Context(), true
	c.countOn("127.0.0.1:1")
	old := c.counters[0]
	old.calls = 1
	stopped := false
	old.stop = func() { stopped = true }
	asks := make(chan string, 9)
	next := loopbacktest.Serve(t, registryOf("127.0.0.1:7", asks, keep))
	reloaded{next, "127.0.0.1:2"}.take(c)
	assert.Equal(t, "/registry/instances?stream=1", <-asks, "the whole list, at once")
	assert.Equal(t, []string{"127.0.0.1:2", "127.0.0.1:2"}, []string{c.counters[0].addr, c.counters[1].addr})
	assert.False(t, stopped, "it owes an answer")
	called{&call{conn: old}, endWell, 5}.take(c)
	assert.True(t, stopped)
	listed{list: registry.List{Whole: true}}.take(c)
	assert.True(t, c.backends[0].up, "word of the old discovery")
	for c.backends[0].addr != "127.0.0.1:7" {
		(<-c.notes).take(c)
	}
	watch := c.watches
	reloaded{next, "127.0.0.1:2"}.take(c)
	assert.Equal(t, watch, c.watches, "nothing has moved")
}

// Backends are replaced all day: an index that were never used again would grow every array, and one used too early
// would hand over connections.
func TestAGoneBackendsIndexComesBackClean(t *testing.T) {
	c, _ := owned(t)
	f, far := linked(t, c)
	written(t, f, far)
	answered{f.link, http1.Response{Status: 500}, c.now}.take(c)
	c.act(gate.FreeBackend{Backend: 0})
	assert.Empty(t, c.links)
	listed{list: registry.List{Backends: []registry.Entry{{ID: "new", Addr: "127.0.0.1:1", Zone: "b", Cell: 9, State: "Ready"}}}}.take(c)
	require.Len(t, c.backends, 1)
	assert.Empty(t, c.backends[0].idle)
	assert.Equal(t, [2]int{0, 0}, [2]int{c.backends[0].zone, c.backends[0].cell}, "zones and cells come back too")
}

func TestALoadReportIsTakenWhereTheSettingsNameIt(t *testing.T) {
	for _, names := range [][]string{nil, {"recent_ms", "backlog"}} {
		c, _ := owned(t)
		c.cfg.Settings.ReportNames = names
		f, _ := linked(t, c)
		answered{f.link, http1.Response{Status: 200, Use: -1, Queue: 4, Body: []byte("hi")}, f.at + 30}.take(c)
		want := -1.0
		if names != nil {
			want = 4
		}
		assert.Equal(t, want, c.pending[0].(gate.AttemptEnded).Queue)
	}
}
