package frontdoor

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/lifecycle"
)

// Crossings: a request, an answer, a signal or the end of a connection comes between two lines of the door. The door has
// its connections from Network, and stops where a test wants it to.

// patience is how long a test waits for what must come; none passes by its running out.
const waitTimeout = 20 * time.Second

// hookPoint is a point at which a connection stops.
type hookPoint string

const (
	beforeWrite     hookPoint = "before a write"
	afterWrite      hookPoint = "after a write"
	afterCloseWrite hookPoint = "between shutdown and close"
	beforeClose     hookPoint = "before close"
)

// hookedConn is a connection that calls a function at its steps.
type hookedConn struct {
	*net.TCPConn
	hook func(hookPoint)
}

func (s *hookedConn) Write(p []byte) (int, error) {
	s.hook(beforeWrite)
	n, err := s.TCPConn.Write(p)
	s.hook(afterWrite)
	return n, err
}

func (s *hookedConn) CloseWrite() error {
	err := s.TCPConn.CloseWrite()
	s.hook(afterCloseWrite)
	return err
}

func (s *hookedConn) Close() error {
	s.hook(beforeClose)
	return s.TCPConn.Close()
}

// hookedListener hands the door connections that stop.
type hookedListener struct {
	*net.TCPListener
	hook func(hookPoint)
}

func (l *hookedListener) Accept() (net.Conn, error) {
	nc, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{nc.(*net.TCPConn), l.hook}, nil
}

// testDoor is a door on sockets, with its own port and stand-ins that the test sets up before.
type testDoor struct {
	cfg      config.Door
	network  Network
	decider  gate.Decider
	connHook func(hookPoint) // steps of client connections

	door  *Door
	addr  string
	stop  func()
	ended chan error
}

func (g *testDoor) start(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.addr = ln.Addr().String()
	g.cfg.Listen = g.addr
	if g.network.Listen == nil {
		g.network.Listen = func(context.Context, string) (net.Listener, error) {
			if g.connHook == nil {
				return ln, nil
			}
			return &hookedListener{ln.(*net.TCPListener), g.connHook}, nil
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	g.door = New(g.cfg, g.decider, log)
	g.door.UseNetwork(g.network)
	ctx, cancel := context.WithCancel(t.Context())
	g.stop, g.ended = cancel, make(chan error, 1)
	go func() { g.ended <- g.door.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-g.door.Done()
	})
}

// shutDownNow has the door leave without its time for lingering clients, where a test gave it a long one.
func (g *testDoor) shutDownNow() {
	g.stop()
	for g.door.Ready() {
		time.Sleep(time.Millisecond)
	}
	g.door.core.post(eventFunc(func(c *core) { c.shutdown.Store(&lifecycle.Shutdown{}); c.sweepAt = 0 }))
}

// waitReady waits until the door can serve.
func (g *testDoor) waitReady(t *testing.T) {
	for end := time.Now().Add(waitTimeout); !g.door.Ready(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "never ready")
	}
}

// newTestDoor is a door with one backend, whose decisions are scripted.
func newTestDoor(t *testing.T, backend func(net.Conn), d gate.Decider) *testDoor {
	g := &testDoor{cfg: testConfig(), decider: d}
	g.cfg.Sockets, g.cfg.Pace.Linger = 1000, 100
	g.cfg.Discovery = loopbacktest.Serve(t, discoveryServer(loopbacktest.Serve(t, backend), make(chan string, 99), keepOpen))
	return g
}

// awaitEvent waits for an event of a kind.
func awaitEvent[E any](t *testing.T, events <-chan gate.Event) E {
	for {
		select {
		case e := <-events:
			if e, is := e.(E); is {
				return e
			}
		case <-time.After(waitTimeout):
			var e E
			require.Fail(t, "never heard", "%T", e)
		}
	}
}

// await waits for something that happens in time.
func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	select {
	case v = <-c:
	case <-time.After(waitTimeout):
		require.Fail(t, "never came", what)
	}
	return v
}

// requestWithID is a request of its own id.
func requestWithID(id string) string { return strings.Replace(lookRequest, "a1", id, 1) }

// readToEnd reads to the end of a connection, and tells how it ended: nil is an orderly end.
func readToEnd(nc net.Conn) (string, error) {
	nc.SetReadDeadline(time.Now().Add(waitTimeout))
	got, err := io.ReadAll(nc)
	return string(got), err
}

// A client that sends more than it is asked for may have bytes unread in the door's system when its last answer leaves, here
// between the shutdown and the close. A close over them resets the connection, and what had not left yet is gone: here most
// of a large answer, to a client that takes little at a time.
func TestUnreadInputAtCloseDoesNotLoseAnswer(t *testing.T) {
	shut, sent := make(chan struct{}), make(chan struct{})
	var once sync.Once
	events := make(chan gate.Event, 99)
	g := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	g.cfg.Pace.Linger = 10e3 // the client reads on at once, however busy the machine
	g.connHook = func(s hookPoint) {
		if s == afterCloseWrite {
			once.Do(func() { close(shut); <-sent })
		}
	}
	g.start(t)
	g.waitReady(t)
	small := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}
	nc, err := small.DialContext(t.Context(), "tcp", g.addr)
	require.NoError(t, err)
	defer nc.Close()
	big := strings.Repeat("x", 60_000)
	_, err = io.WriteString(nc, strings.Replace(strings.Replace(lookRequest, "GET /look", "POST /book", 1), "\r\n\r\n",
		fmt.Sprintf("\r\nConnection: close\r\nIdempotency-Key: m\r\nContent-Length: %d\r\n\r\n", len(big)), 1)+big)
	require.NoError(t, err)
	await(t, shut, "the shutdown")
	_, err = io.WriteString(nc, requestWithID("b2"))
	require.NoError(t, err)
	close(sent)
	got, err := readToEnd(nc)
	assert.NoError(t, err, "an orderly end, no reset")
	assert.True(t, strings.HasSuffix(got, "hi"+big), "the whole answer: %d bytes", len(got))
	nc.Close()
	awaitEvent[gate.AttemptEnded](t, events)
	for len(events) > 0 {
		assert.IsNotType(t, gate.Request{}, <-events, "what is read after the shutdown is not sent on")
	}
	g.shutDownNow()
}

// A request that comes in the instant of an idle close, behind the last look, is never sent on.
func TestRequestDuringIdleCloseIsNotForwarded(t *testing.T) {
	closing, sent := make(chan struct{}), make(chan struct{})
	var once sync.Once
	events := make(chan gate.Event, 99)
	g := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	g.cfg.Pace.IdleClient = 50
	g.connHook = func(s hookPoint) {
		if s == beforeClose {
			once.Do(func() { close(closing); <-sent })
		}
	}
	g.start(t)
	g.waitReady(t)
	nc := connect(t, g.addr)
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	await(t, closing, "the idle close")
	_, err := io.WriteString(nc, requestWithID("b2"))
	require.NoError(t, err)
	close(sent)
	got, _ := readToEnd(nc)
	assert.Empty(t, got)
	awaitEvent[gate.Request](t, events) // the first one
	g.stop()
	require.NoError(t, await(t, g.ended, "the end"))
	for len(events) > 0 {
		assert.IsNotType(t, gate.Request{}, <-events)
	}
}

// A request that comes with SIGTERM on a resting connection, before the door's last look at it, is answered whole.
func TestRequestDuringSIGTERMIsAnswered(t *testing.T) {
	events := make(chan gate.Event, 99)
	g := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	g.start(t)
	g.waitReady(t)
	nc := connect(t, g.addr)
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	held := make(chan struct{})
	g.door.core.post(eventFunc(func(*core) { <-held })) // the owner stands between two lines
	g.stop()
	_, err := io.WriteString(nc, requestWithID("b2"))
	require.NoError(t, err)
	close(held)
	got, err := readToEnd(nc)
	assert.NoError(t, err)
	assert.Contains(t, got, "hi")
	assert.Contains(t, got, "Connection: close")
	require.NoError(t, await(t, g.ended, "the end"))
}

// The system accepts connections for a door that has not yet: a listener that closes resets them with the requests that
// their clients have written.
func TestListenerQueueIsServedBeforeClose(t *testing.T) {
	deaf, let := make(chan struct{}, 1), make(chan struct{})
	events := make(chan gate.Event, 99)
	g := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	g.cfg.Pace.Linger = 50
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	q := &blockedListener{TCPListener: ln.(*net.TCPListener), deadlineSet: deaf, release: let}
	g.network.Listen = func(context.Context, string) (net.Listener, error) { return q, nil }
	g.start(t)
	g.waitReady(t)
	nc := connect(t, ln.Addr().String())
	_, err = io.WriteString(nc, lookRequest)
	require.NoError(t, err)
	g.stop()
	await(t, deaf, "the end of accepting")
	close(let) // only now does the door get to accept
	got, err := readToEnd(nc)
	assert.NoError(t, err)
	assert.Contains(t, got, "hi")
	require.NoError(t, await(t, g.ended, "the end"))
}

// blockedListener is a listener whose first Accept is held up until the test lets go.
type blockedListener struct {
	*net.TCPListener
	deadlineSet chan<- struct{} // a deadline was set
	release     <-chan struct{}
}

func (q *blockedListener) SetDeadline(at time.Time) error {
	err := q.TCPListener.SetDeadline(at)
	select {
	case q.deadlineSet <- struct{}{}:
	default:
	}
	return err
}

func (q *blockedListener) Accept() (net.Conn, error) {
	<-q.release
	return q.TCPListener.Accept()
}

// A client that has gone is noticed behind whatever it sent: a FIN, a reset, bytes ahead of its answer, more of them than
// the door holds; also where many go at once.
func TestClosedClientIsNoticedBehindItsInput(t *testing.T) {
	for name, c := range map[string]struct {
		ahead string
		reset bool
		many  int
	}{
		"FIN":                       {"", false, 1},
		"reset":                     {"", true, 1},
		"FIN behind a request":      {requestWithID("b2"), false, 1},
		"reset behind a request":    {requestWithID("b2"), true, 1},
		"FIN behind a full buffer":  {strings.Repeat("x", 64<<10), false, 1},
		"reset behind a flood":      {strings.Repeat("x", 128<<10), true, 1},
		"a burst":                   {"", false, 200},
		"a burst that sends ahead":  {requestWithID("b2"), false, 200},
		"a burst of resets and all": {requestWithID("b2"), true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			events := make(chan gate.Event, 9999)
			g := newTestDoor(t, echoBackend(closedChan()), deciderFunc(func(_ float64, es []gate.Event) []gate.Action { // holds all
				for _, e := range es {
					events <- e
				}
				return nil
			}))
			g.start(t)
			g.waitReady(t)
			var ncs []net.Conn
			for i := range c.many {
				nc := connect(t, g.addr)
				_, err := io.WriteString(nc, strings.ReplaceAll(requestWithID(fmt.Sprintf("w%d", i))+c.ahead, "b2", fmt.Sprintf("v%d", i)))
				require.NoError(t, err)
				ncs = append(ncs, nc)
			}
			for range ncs {
				awaitEvent[gate.Request](t, events)
			}
			for _, nc := range ncs {
				if c.reset {
					nc.(*net.TCPConn).SetLinger(0)
				}
				nc.Close()
			}
			for range ncs {
				awaitEvent[gate.ClientGone](t, events)
			}
		})
	}
}

// An attempt that waits for its connection does not begin once its client has gone, whether or not the settings allow to
// cancel what is out.
func TestDialledAttemptDoesNotStartForClosedClient(t *testing.T) {
	dialling, let := make(chan struct{}), make(chan struct{})
	come := make(chan string, 9)
	events := make(chan gate.Event, 99)
	g := newTestDoor(t, func(nc net.Conn) {
		got, _ := io.ReadAll(nc)
		come <- string(got)
	}, sendOnce(events))
	g.cfg.Settings.MaxWait = 3600e3 // its time does not run out meanwhile
	registry := g.cfg.Discovery
	g.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), "tcp", addr)
		if addr != registry {
			close(dialling)
			<-let
		}
		return nc, err
	}
	g.start(t)
	g.waitReady(t)
	nc := connect(t, g.addr)
	_, err := io.WriteString(nc, strings.Replace(lookRequest, "1500m", "3600000m", 1))
	require.NoError(t, err)
	await(t, dialling, "the dial")
	nc.Close()
	awaitEvent[gate.ClientGone](t, events)
	assert.Equal(t, gate.Skipped, awaitEvent[gate.AttemptEnded](t, events).Result, "it never ran")
	close(let)
	assert.Empty(t, await(t, come, "the connection's end"))
}

// A repeat whose connection comes up only when the backend may have forgotten the request's key does not begin.
func TestAttemptDoesNotStartAfterStartBy(t *testing.T) {
	come := make(chan string, 9)
	events := make(chan gate.Event, 99)
	g := newTestDoor(t, func(nc net.Conn) {
		got, _ := io.ReadAll(nc)
		come <- string(got)
	}, deciderFunc(func(now float64, es []gate.Event) (out []gate.Action) {
		for _, e := range es {
			if e, is := e.(gate.Request); is {
				out = append(out, gate.Send{Op: e.Op, StartBy: now - 1}) // as if the dial had taken longer
			}
			if e, is := e.(gate.AttemptEnded); is && !e.Answered {
				out = append(out, gate.Fail{Op: e.Op})
			}
			events <- e
		}
		return out
	}))
	g.start(t)
	g.waitReady(t)
	status, _ := roundTrip(t, connect(t, g.addr), lookRequest)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Equal(t, gate.Skipped, awaitEvent[gate.AttemptEnded](t, events).Result, "it never ran")
	assert.Empty(t, await(t, come, "the connection's end"))
}

// A second answer comes behind the first, when the next request is under way already: on the same connection it would be
// taken for that one's answer.
func TestLateSecondAnswerIsDiscarded(t *testing.T) {
	first, second := make(chan net.Conn, 1), make(chan struct{})
	g := newTestDoor(t, func(nc net.Conn) {
		for r := bufio.NewReader(nc); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			switch req.Header.Get("X-Txn") {
			case "a1":
				first <- nc
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none")
			case "b2":
				io.WriteString(<-first, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none") // the second answer to a1
				<-second
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo")
			}
		}
	}, sendOnce(nil))
	g.cfg.Pace.Settle = 60_000 // however busy the machine, the next request comes sooner
	g.start(t)
	g.waitReady(t)
	nc := connect(t, g.addr)
	_, body := roundTrip(t, nc, lookRequest)
	assert.Equal(t, "one", body)
	go func() {
		for g.backendConnCount() > 1 { // the first connection ends by its second answer
			time.Sleep(time.Millisecond)
		}
		close(second)
	}()
	_, body = roundTrip(t, nc, requestWithID("b2"))
	assert.Equal(t, "two", body)
}

// backendConnCount is how many backend connections the door has.
func (g *testDoor) backendConnCount() int {
	n := make(chan int, 1)
	g.door.core.post(eventFunc(func(c *core) { n <- len(c.backendConns) }))
	return <-n
}

// eventFunc is an event that runs a function in the event loop.
type eventFunc func(*core)

func (n eventFunc) handle(c *core) { n(c) }

// A wish that the reader look at its connection is not lost to a deadline that the reader sets just then.
func TestWakeIsNotCancelledByReadDeadline(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, connect(t, loopbacktest.Serve(t, keepOpen)))
	cl.wake()
	cl.setReadDeadline(time.Time{}) // the line after, in the reader
	ended := make(chan error, 1)
	go func() {
		_, err := cl.nc.Read(make([]byte, 1))
		ended <- err
	}()
	assert.ErrorIs(t, await(t, ended, "the look"), os.ErrDeadlineExceeded)
}

// A watch that is taken and never answered is dialled again long before one that was answered and falls silent.
func TestUnansweredWatchIsRedialled(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Pace.FirstByte, c.cfg.Pace.Silence = 20, 3600e3
	asks := make(chan string, 99)
	c.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			asks <- req.RequestURI
		}
	})
	go c.runWatch(t.Context(), c.cfg.Discovery, 41, 0)
	await(t, asks, "the first call")
	assert.Equal(t, "/registry/instances?stream=1&index=41", await(t, asks, "the next"))
}

// Idle clients and attempts that hang fill the sockets while discovery is down. Its return is heard all the same.
func TestDiscoveryIsRedialledWithAllSocketsInUse(t *testing.T) {
	hung, asks, down := make(chan struct{}), make(chan string, 99), make(chan net.Conn, 9)
	t.Cleanup(func() { close(hung) })
	events := make(chan gate.Event, 9999)
	g := newTestDoor(t, echoBackend(hung), sendOnce(events))
	backend := loopbacktest.Serve(t, echoBackend(hung))
	g.cfg.Discovery = loopbacktest.Serve(t, discoveryServer(backend, asks, func(nc net.Conn) { down <- nc }))
	g.cfg.Sockets, g.cfg.Settings.MaxWait = 100, 3600e3
	g.cfg.Pace.IdleClient, g.cfg.Pace.Linger = 3600e3, 3600e3 // none of them gives way
	g.start(t)
	g.waitReady(t)
	await(t, asks, "the first watch")
	for i := 0; !g.door.core.budget.low(g.door.core.budget.clientReserve); i++ {
		nc := connect(t, g.addr)
		status, _ := roundTrip(t, nc, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
		require.Equal(t, http.StatusOK, status)
		if i == 0 {
			_, err := io.WriteString(nc, strings.Replace(lookRequest, "1500m", "3600000m", 1))
			require.NoError(t, err)
			awaitEvent[gate.Request](t, events)
		}
	}
	for range g.cfg.Sockets { // its attempts take what they get
		done := make(chan struct{})
		g.door.core.post(eventFunc(func(c *core) { c.send(gate.Send{}); close(done) }))
		await(t, done, "an attempt")
	}
	more, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { // and more of them want what the watch lets go of
		for more.Err() == nil {
			g.door.core.post(eventFunc(func(c *core) { c.send(gate.Send{}) }))
		}
	}()
	(await(t, down, "the watch")).Close()
	assert.Equal(t, "/registry/instances?stream=1&index=41", await(t, asks, "discovery's return"))
	stop()
	g.shutDownNow()
}

// A flood of a client's costs its own connection alone: the door passes over so much of it, and stops reading.
func TestInputFloodBeforeAnswerIsBounded(t *testing.T) {
	const flood = 256 << 20
	may, events := make(chan struct{}), make(chan gate.Event, 99)
	g := newTestDoor(t, echoBackend(may), sendOnce(events))
	g.cfg.Settings.MaxWait = 3600e3
	g.start(t)
	g.waitReady(t)
	nc := connect(t, g.addr)
	_, err := io.WriteString(nc, strings.Replace(lookRequest, "1500m", "3600000m", 1))
	require.NoError(t, err)
	awaitEvent[gate.Request](t, events)
	nc.SetWriteDeadline(time.Now().Add(2 * time.Second)) // a door that reads all takes it in less
	n, err := io.Copy(nc, io.LimitReader(endlessReader{}, flood))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Less(t, n, int64(flood))
	close(may)
	nc.SetReadDeadline(time.Now().Add(waitTimeout))
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	assert.Equal(t, "hi", string(body))
	status, _ := roundTrip(t, connect(t, g.addr), requestWithID("b2"))
	assert.Equal(t, http.StatusOK, status, "others are served")
}

// What was passed over leaves a gap: nothing behind it is read as a request.
func TestNothingIsParsedAfterDiscardedInput(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, connect(t, loopbacktest.Serve(t, keepOpen)))
	cl.overflowed.Store(true) // after its answer was worded, which does not say that it is the last
	assert.False(t, cl.step(bufferedState(lookRequest)))
	assert.Empty(t, c.events)
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

// A client has its answer, and sends its next request, before the answer's writer says that it is written. What comes then is not
// ahead of that answer: more of it than the door holds ended the connection, and its client got nothing.
func TestInputAfterAnswerIsNotDiscarded(t *testing.T) {
	c, _ := newTestCore(t)
	wrote, goOn := make(chan struct{}), make(chan struct{})
	far, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer far.Close()
	nc := connect(t, far.Addr().String())
	near, err := far.Accept()
	require.NoError(t, err)
	defer near.Close()
	cl := newClient(c, &hookedConn{near.(*net.TCPConn), func(s hookPoint) {
		if s == afterWrite {
			close(wrote)
			<-goOn
		}
	}})
	r := bufferedState(strings.Repeat("x", pool.Size))
	r.answerPending = true
	go cl.answer([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), false)
	await(t, wrote, "the answer's write")
	assert.Equal(t, http.StatusOK, readResponse(t, nc).Status, "its client has it")
	on := make(chan bool)
	go func() { on <- cl.read(r) }()
	close(goOn)
	assert.True(t, await(t, on, "the reader"))
	assert.False(t, cl.overflowed.Load())
	assert.False(t, r.answerPending)
	assert.Len(t, r.buffered, pool.Size, "nothing of it is lost")
}

// The same from end to end: each answer is at its client before its writer goes on, and each next request is larger than what is
// held ahead of an answer.
func TestLargeRequestsDuringAnswerWriteAreServed(t *testing.T) {
	const body, times = 20000, 20
	g := newTestDoor(t, echoBackend(closedChan()), sendOnce(nil))
	held := make(chan chan struct{}, times)
	g.connHook = func(s hookPoint) {
		if s == afterWrite {
			let := make(chan struct{})
			held <- let
			<-let
		}
	}
	g.start(t)
	for !g.door.Ready() {
		time.Sleep(time.Millisecond)
	}
	nc := connect(t, g.addr)
	for i := range times {
		text := strings.Replace(strings.Replace(requestWithID(fmt.Sprint("n", i)), "GET /look", "POST /book", 1), "\r\n\r\n",
			fmt.Sprintf("\r\nIdempotency-Key: k%d\r\nContent-Length: %d\r\n\r\n", i, body), 1) + strings.Repeat("x", body)
		_, err := io.WriteString(nc, text)
		require.NoError(t, err)
		if i > 0 { // the next one has been sent; the writer of the answer before goes on
			close(await(t, held, "the answer before"))
		}
		require.Equal(t, http.StatusOK, readResponse(t, nc).Status, "request %d", i)
	}
	close(await(t, held, "the last answer"))
}

// suspendedListener is a queued listener whose process is held up, once, between setting a deadline and looking at the queue.
type suspendedListener struct {
	blockedListener
	once sync.Once
}

func (h *suspendedListener) SetDeadline(at time.Time) error {
	err := h.blockedListener.SetDeadline(at)
	if wait := time.Until(at); wait > 0 {
		h.once.Do(func() { time.Sleep(4 * wait) })
	}
	return err
}

func TestDelayedListenerPollIsRepeated(t *testing.T) {
	deaf, let := make(chan struct{}, 1), make(chan struct{})
	g := newTestDoor(t, echoBackend(closedChan()), sendOnce(make(chan gate.Event, 99)))
	g.cfg.Pace.Linger = 50
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held := &suspendedListener{blockedListener: blockedListener{TCPListener: ln.(*net.TCPListener), deadlineSet: deaf, release: let}}
	g.network.Listen = func(context.Context, string) (net.Listener, error) { return held, nil }
	g.start(t)
	g.waitReady(t)
	nc := connect(t, ln.Addr().String())
	_, err = io.WriteString(nc, lookRequest)
	require.NoError(t, err)
	g.stop()
	await(t, deaf, "the end of accepting")
	close(let)
	got, err := readToEnd(nc)
	assert.NoError(t, err)
	assert.Contains(t, got, "hi")
	require.NoError(t, await(t, g.ended, "the end"))
}
