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

// These tests check interleavings: a request, an answer, a signal or the end of a connection arrives between two steps of the
// door. The door gets its connections through Network, and a test pauses it at the step in question.

// waitTimeout is how long a test waits for something that must happen. No test passes by reaching it.
const waitTimeout = 20 * time.Second

// hookPoint is a point at which a connection calls its hook, which may block.
type hookPoint string

const (
	beforeWrite     hookPoint = "before a write"
	afterWrite      hookPoint = "after a write"
	afterCloseWrite hookPoint = "between shutdown and close"
	beforeClose     hookPoint = "before close"
)

// hookedConn is a connection that calls a function at its hook points.
type hookedConn struct {
	*net.TCPConn
	hook func(hookPoint)
}

func (c *hookedConn) Write(p []byte) (int, error) {
	c.hook(beforeWrite)
	n, err := c.TCPConn.Write(p)
	c.hook(afterWrite)
	return n, err
}

func (c *hookedConn) CloseWrite() error {
	err := c.TCPConn.CloseWrite()
	c.hook(afterCloseWrite)
	return err
}

func (c *hookedConn) Close() error {
	c.hook(beforeClose)
	return c.TCPConn.Close()
}

// hookedListener accepts connections with a hook.
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

// testDoor is a door that serves on a port of its own. A test sets the configuration, network and decider before it calls start.
type testDoor struct {
	cfg      config.Door
	network  Network
	decider  gate.Decider
	connHook func(hookPoint) // hook of client connections; nil is none
	signals  *signals        // nil is those of this system

	door  *Door
	addr  string
	stop  func()
	ended chan error
}

// start starts the door. It is shut down at the end of the test.
func (td *testDoor) start(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	td.addr = ln.Addr().String()
	td.cfg.Listen = td.addr
	if td.network.Listen == nil {
		td.network.Listen = func(context.Context, string) (net.Listener, error) {
			if td.connHook == nil {
				return ln, nil
			}
			return &hookedListener{ln.(*net.TCPListener), td.connHook}, nil
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	td.door = New(td.cfg, td.decider, log)
	td.door.UseNetwork(td.network)
	if td.signals != nil {
		td.door.core.signals = *td.signals
	}
	ctx, cancel := context.WithCancel(t.Context())
	td.stop, td.ended = cancel, make(chan error, 1)
	go func() { td.ended <- td.door.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-td.door.Done()
	})
}

// shutDownNow makes the door shut down without waiting for lingering clients, for tests that set a long Pace.Linger.
func (td *testDoor) shutDownNow() {
	td.stop()
	for td.door.Ready() {
		time.Sleep(time.Millisecond)
	}
	td.door.core.post(eventFunc(func(c *core) { c.shutdown.Store(&lifecycle.Shutdown{}); c.sweepAt = 0 }))
}

// waitReady waits until the door is ready.
func (td *testDoor) waitReady(t *testing.T) {
	for end := time.Now().Add(waitTimeout); !td.door.Ready(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "never ready")
	}
}

// newTestDoor returns a door with one backend and a decider. It has not been started.
func newTestDoor(t *testing.T, backend func(net.Conn), d gate.Decider) *testDoor {
	td := &testDoor{cfg: testConfig(), decider: d}
	td.cfg.Sockets, td.cfg.Pace.Linger = 1000, 100
	td.cfg.Discovery = loopbacktest.Serve(t, discoveryServer(loopbacktest.Serve(t, backend), make(chan string, 99), keepOpen))
	return td
}

// awaitEvent waits for an event of type E and skips all others.
func awaitEvent[E any](t *testing.T, events <-chan gate.Event) E {
	for {
		select {
		case e := <-events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-time.After(waitTimeout):
			var e E
			require.Fail(t, "event never arrived", "%T", e)
		}
	}
}

// await receives a value from a channel. what names it in the failure message.
func await[T any](t *testing.T, c <-chan T, what string) (v T) {
	select {
	case v = <-c:
	case <-time.After(waitTimeout):
		require.Fail(t, "never happened", what)
	}
	return v
}

// requestWithID returns lookRequest with another request id.
func requestWithID(id string) string { return strings.Replace(lookRequest, "a1", id, 1) }

// readToEnd reads until a connection ends. The error is nil if it was closed in order, without a reset.
func readToEnd(nc net.Conn) (string, error) {
	nc.SetReadDeadline(time.Now().Add(waitTimeout))
	got, err := io.ReadAll(nc)
	return string(got), err
}

// A client that sends more input may have unread bytes in the door's receive buffer when its last answer is sent, here between the
// shutdown of the sending side and the close. Closing a socket with unread bytes resets the connection, and unsent data is lost:
// here most of a large answer, as the client's receive buffer is small.
func TestUnreadInputAtCloseDoesNotLoseAnswer(t *testing.T) {
	writeClosed, sent := make(chan struct{}), make(chan struct{})
	var once sync.Once
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	td.cfg.Pace.Linger = 10e3 // long enough for the client to read the rest, however busy the machine
	td.connHook = func(p hookPoint) {
		if p == afterCloseWrite {
			once.Do(func() { close(writeClosed); <-sent })
		}
	}
	td.start(t)
	td.waitReady(t)
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}
	nc, err := dialer.DialContext(t.Context(), "tcp", td.addr)
	require.NoError(t, err)
	defer nc.Close()
	big := strings.Repeat("x", 60_000)
	_, err = io.WriteString(nc, strings.Replace(strings.Replace(lookRequest, "GET /look", "POST /book", 1), "\r\n\r\n",
		fmt.Sprintf("\r\nConnection: close\r\nIdempotency-Key: m\r\nContent-Length: %d\r\n\r\n", len(big)), 1)+big)
	require.NoError(t, err)
	await(t, writeClosed, "the shutdown of the sending side")
	_, err = io.WriteString(nc, requestWithID("b2"))
	require.NoError(t, err)
	close(sent)
	got, err := readToEnd(nc)
	assert.NoError(t, err, "the connection is closed without a reset")
	assert.True(t, strings.HasSuffix(got, "hi"+big), "the complete answer; received %d bytes", len(got))
	nc.Close()
	awaitEvent[gate.AttemptEnded](t, events)
	for len(events) > 0 {
		assert.IsNotType(t, gate.Request{}, <-events, "input read after the shutdown is not forwarded")
	}
	td.shutDownNow()
}

// A request that arrives during an idle close, after the door has read for the last time, is not forwarded.
func TestRequestDuringIdleCloseIsNotForwarded(t *testing.T) {
	closing, sent := make(chan struct{}), make(chan struct{})
	var once sync.Once
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	td.cfg.Pace.IdleClient = 50
	td.connHook = func(p hookPoint) {
		if p == beforeClose {
			once.Do(func() { close(closing); <-sent })
		}
	}
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	await(t, closing, "the idle close")
	_, err := io.WriteString(nc, requestWithID("b2"))
	require.NoError(t, err)
	close(sent)
	got, _ := readToEnd(nc)
	assert.Empty(t, got)
	awaitEvent[gate.Request](t, events) // the first request
	td.stop()
	require.NoError(t, await(t, td.ended, "the end of Serve"))
	for len(events) > 0 {
		assert.IsNotType(t, gate.Request{}, <-events)
	}
}

// A request that arrives together with SIGTERM on an idle connection, before the door reads from it for the last time, is answered
// completely.
func TestRequestDuringSIGTERMIsAnswered(t *testing.T) {
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	held := make(chan struct{})
	td.door.core.post(eventFunc(func(*core) { <-held })) // pauses the event loop
	td.stop()
	_, err := io.WriteString(nc, requestWithID("b2"))
	require.NoError(t, err)
	close(held)
	got, err := readToEnd(nc)
	assert.NoError(t, err)
	assert.Contains(t, got, "hi")
	assert.Contains(t, got, "Connection: close")
	require.NoError(t, await(t, td.ended, "the end of Serve"))
}

// The kernel completes the handshake of connections that the door has not accepted yet. Closing the listener resets them, with the
// requests that their clients have written, so the door must empty the queue first.
func TestListenerQueueIsServedBeforeClose(t *testing.T) {
	deadlineSet, release := make(chan struct{}, 1), make(chan struct{})
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, echoBackend(closedChan()), sendOnce(events))
	td.cfg.Pace.Linger = 50
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	blocked := &blockedListener{TCPListener: ln.(*net.TCPListener), deadlineSet: deadlineSet, release: release}
	td.network.Listen = func(context.Context, string) (net.Listener, error) { return blocked, nil }
	td.start(t)
	td.waitReady(t)
	nc := connect(t, ln.Addr().String())
	_, err = io.WriteString(nc, lookRequest)
	require.NoError(t, err)
	td.stop()
	await(t, deadlineSet, "the listener's deadline")
	close(release) // only now can the door accept
	got, err := readToEnd(nc)
	assert.NoError(t, err)
	assert.Contains(t, got, "hi")
	require.NoError(t, await(t, td.ended, "the end of Serve"))
}

// blockedListener is a listener whose Accept blocks until release is closed.
type blockedListener struct {
	*net.TCPListener
	deadlineSet chan<- struct{} // receives when a deadline has been set
	release     <-chan struct{}
}

func (l *blockedListener) SetDeadline(at time.Time) error {
	err := l.TCPListener.SetDeadline(at)
	select {
	case l.deadlineSet <- struct{}{}:
	default:
	}
	return err
}

func (l *blockedListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// The door notices that a client has closed its connection, by a FIN or a reset, also behind input that was sent before the answer,
// even more of it than the door holds, and also if many clients close at once.
func TestClosedClientIsNoticedBehindItsInput(t *testing.T) {
	for name, c := range map[string]struct {
		extra   string
		reset   bool
		clients int
	}{
		"FIN":                            {"", false, 1},
		"reset":                          {"", true, 1},
		"FIN behind a request":           {requestWithID("b2"), false, 1},
		"reset behind a request":         {requestWithID("b2"), true, 1},
		"FIN behind a full buffer":       {strings.Repeat("x", 64<<10), false, 1},
		"reset behind discarded input":   {strings.Repeat("x", 128<<10), true, 1},
		"many clients":                   {"", false, 200},
		"many clients, behind a request": {requestWithID("b2"), false, 200},
		"many resets, behind a request":  {requestWithID("b2"), true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			events := make(chan gate.Event, 9999)
			td := newTestDoor(t, echoBackend(closedChan()), deciderFunc(func(_ float64, es []gate.Event) []gate.Action { // leaves all requests open
				for _, e := range es {
					events <- e
				}
				return nil
			}))
			td.start(t)
			td.waitReady(t)
			var ncs []net.Conn
			for i := range c.clients {
				nc := connect(t, td.addr)
				_, err := io.WriteString(nc, strings.ReplaceAll(requestWithID(fmt.Sprintf("w%d", i))+c.extra, "b2", fmt.Sprintf("v%d", i)))
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

// An attempt whose connection is still being dialled does not start once its client has gone. This does not depend on whether the
// settings allow to cancel attempts.
func TestDialledAttemptDoesNotStartForClosedClient(t *testing.T) {
	dialStarted, release := make(chan struct{}), make(chan struct{})
	received := make(chan string, 9)
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, func(nc net.Conn) {
		got, _ := io.ReadAll(nc)
		received <- string(got)
	}, sendOnce(events))
	td.cfg.Settings.MaxWait = 3600e3 // so that the request does not time out
	registry := td.cfg.Discovery
	td.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), "tcp", addr)
		if addr != registry {
			close(dialStarted)
			<-release
		}
		return nc, err
	}
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	_, err := io.WriteString(nc, strings.Replace(lookRequest, "1500m", "3600000m", 1))
	require.NoError(t, err)
	await(t, dialStarted, "the dial")
	nc.Close()
	awaitEvent[gate.ClientGone](t, events)
	assert.Equal(t, gate.Skipped, awaitEvent[gate.AttemptEnded](t, events).Result, "the attempt never ran")
	close(release)
	assert.Empty(t, await(t, received, "the end of the backend connection"))
}

// An attempt whose connection is established after StartBy does not start: the backend may have forgotten the idempotency key by
// then, and a repeat would run the request twice.
func TestAttemptDoesNotStartAfterStartBy(t *testing.T) {
	received := make(chan string, 9)
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, func(nc net.Conn) {
		got, _ := io.ReadAll(nc)
		received <- string(got)
	}, deciderFunc(func(now float64, es []gate.Event) (out []gate.Action) {
		for _, e := range es {
			if e, ok := e.(gate.Request); ok {
				out = append(out, gate.Send{Op: e.Op, StartBy: now - 1}) // as if the dial had taken longer
			}
			if e, ok := e.(gate.AttemptEnded); ok && !e.Answered {
				out = append(out, gate.Fail{Op: e.Op})
			}
			events <- e
		}
		return out
	}))
	td.start(t)
	td.waitReady(t)
	status, _ := roundTrip(t, connect(t, td.addr), lookRequest)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Equal(t, gate.Skipped, awaitEvent[gate.AttemptEnded](t, events).Result, "the attempt never ran")
	assert.Empty(t, await(t, received, "the end of the backend connection"))
}

// A backend sends a second answer to a request while the next request is already in progress. On the same connection it would be
// taken for the answer to that request.
func TestLateSecondAnswerIsDiscarded(t *testing.T) {
	first, second := make(chan net.Conn, 1), make(chan struct{})
	td := newTestDoor(t, func(nc net.Conn) {
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
	td.cfg.Pace.Settle = 60_000 // longer than the pause between the two requests, however busy the machine
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	_, body := roundTrip(t, nc, lookRequest)
	assert.Equal(t, "one", body)
	go func() {
		for td.backendConnCount() > 1 { // until the second answer has ended the first connection
			time.Sleep(time.Millisecond)
		}
		close(second)
	}()
	_, body = roundTrip(t, nc, requestWithID("b2"))
	assert.Equal(t, "two", body)
}

// backendConnCount returns the number of backend connections of the door.
func (td *testDoor) backendConnCount() int {
	n := make(chan int, 1)
	td.door.core.post(eventFunc(func(c *core) { n <- len(c.backendConns) }))
	return <-n
}

// eventFunc is an event that calls a function in the event loop.
type eventFunc func(*core)

func (f eventFunc) handle(c *core) { f(c) }

// A wake-up of the reader is not cancelled by a read deadline that the reader sets at the same moment.
func TestWakeIsNotCancelledByReadDeadline(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, connect(t, loopbacktest.Serve(t, keepOpen)))
	cl.wake()
	cl.setReadDeadline(time.Time{}) // what the reader does next
	ended := make(chan error, 1)
	go func() {
		_, err := cl.nc.Read(make([]byte, 1))
		ended <- err
	}()
	assert.ErrorIs(t, await(t, ended, "the wake-up"), os.ErrDeadlineExceeded)
}

// A watch that is accepted and never answered is dialled again after Pace.FirstByte, long before one that was answered and falls
// silent (Pace.Silence).
func TestUnansweredWatchIsRedialled(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Pace.FirstByte, c.cfg.Pace.Silence = 20, 3600e3
	requests := make(chan string, 99)
	c.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			requests <- req.RequestURI
		}
	})
	go c.runWatch(t.Context(), c.cfg.Discovery, 41, 0)
	await(t, requests, "the first call")
	assert.Equal(t, "/registry/instances?stream=1&index=41", await(t, requests, "the next call"))
}

// While discovery is down, idle clients and hanging attempts take all the sockets that they may have. The watch must still get a
// socket when discovery is available again.
func TestDiscoveryIsRedialledWithAllSocketsInUse(t *testing.T) {
	proceed, requests, watches := make(chan struct{}), make(chan string, 99), make(chan net.Conn, 9)
	t.Cleanup(func() { close(proceed) })
	events := make(chan gate.Event, 9999)
	td := newTestDoor(t, echoBackend(proceed), sendOnce(events))
	backend := loopbacktest.Serve(t, echoBackend(proceed))
	td.cfg.Discovery = loopbacktest.Serve(t, discoveryServer(backend, requests, func(nc net.Conn) { watches <- nc }))
	td.cfg.Sockets, td.cfg.Settings.MaxWait = 100, 3600e3
	td.cfg.Pace.IdleClient, td.cfg.Pace.Linger = 3600e3, 3600e3 // no idle connection is closed to free a socket
	td.start(t)
	td.waitReady(t)
	await(t, requests, "the first watch")
	for i := 0; !td.door.core.budget.low(td.door.core.budget.clientReserve); i++ {
		nc := connect(t, td.addr)
		status, _ := roundTrip(t, nc, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
		require.Equal(t, http.StatusOK, status)
		if i == 0 {
			_, err := io.WriteString(nc, strings.Replace(lookRequest, "1500m", "3600000m", 1))
			require.NoError(t, err)
			awaitEvent[gate.Request](t, events)
		}
	}
	for range td.cfg.Sockets { // attempts of the open request take all sockets that they can get
		done := make(chan struct{})
		td.door.core.post(eventFunc(func(c *core) { c.send(gate.Send{}); close(done) }))
		await(t, done, "an attempt")
	}
	sending, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { // further attempts compete for the socket that the watch releases
		for sending.Err() == nil {
			td.door.core.post(eventFunc(func(c *core) { c.send(gate.Send{}) }))
		}
	}()
	(await(t, watches, "the watch")).Close()
	assert.Equal(t, "/registry/instances?stream=1&index=41", await(t, requests, "the watch after the outage"))
	stop()
	td.shutDownNow()
}

// Input that a client sends without end while its answer is pending affects only its own connection: the door discards a limited
// amount of it, and then stops reading.
func TestInputFloodBeforeAnswerIsBounded(t *testing.T) {
	const flood = 256 << 20
	proceed, events := make(chan struct{}), make(chan gate.Event, 99)
	td := newTestDoor(t, echoBackend(proceed), sendOnce(events))
	td.cfg.Settings.MaxWait = 3600e3
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	_, err := io.WriteString(nc, strings.Replace(lookRequest, "1500m", "3600000m", 1))
	require.NoError(t, err)
	awaitEvent[gate.Request](t, events)
	nc.SetWriteDeadline(time.Now().Add(2 * time.Second)) // a door that reads everything would need less time
	n, err := io.Copy(nc, io.LimitReader(endlessReader{}, flood))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Less(t, n, int64(flood))
	close(proceed)
	nc.SetReadDeadline(time.Now().Add(waitTimeout))
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	assert.Equal(t, "hi", string(body))
	status, _ := roundTrip(t, connect(t, td.addr), requestWithID("b2"))
	assert.Equal(t, http.StatusOK, status, "other clients are served")
}

// Once input has been discarded, the rest must not be parsed as a request: the parser would start in the middle of a message.
func TestNothingIsParsedAfterDiscardedInput(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, connect(t, loopbacktest.Serve(t, keepOpen)))
	cl.overflowed.Store(true) // set after the answer was formatted, so the answer does not say that it is the last
	assert.False(t, cl.step(bufferedState(lookRequest)))
	assert.Empty(t, c.events)
}

// endlessReader is a reader whose input never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

// A client may receive its answer and send its next request before the answer's writer has reported completion. That input follows
// the answer. When it was treated as preceding it, more input than the door holds ended the connection, and the request got no
// answer.
func TestInputAfterAnswerIsNotDiscarded(t *testing.T) {
	c, _ := newTestCore(t)
	wrote, resume := make(chan struct{}), make(chan struct{})
	far, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer far.Close()
	nc := connect(t, far.Addr().String())
	near, err := far.Accept()
	require.NoError(t, err)
	defer near.Close()
	cl := newClient(c, &hookedConn{near.(*net.TCPConn), func(p hookPoint) {
		if p == afterWrite {
			close(wrote)
			<-resume
		}
	}})
	r := bufferedState(strings.Repeat("x", pool.Size))
	r.answerPending = true
	go cl.answer(answer{status: http.StatusOK, body: []byte("ok")})
	await(t, wrote, "the answer's write")
	assert.Equal(t, http.StatusOK, readResponse(t, nc).Status, "the client has received the answer")
	continues := make(chan bool)
	go func() { continues <- cl.read(r) }()
	close(resume)
	assert.True(t, await(t, continues, "the reader"))
	assert.False(t, cl.overflowed.Load())
	assert.False(t, r.answerPending)
	assert.Len(t, r.buffered, pool.Size, "no input is lost")
}

// Like TestInputAfterAnswerIsNotDiscarded, with a complete door: each client has received its answer before the answer's writer
// continues, and each next request is larger than the input that the door holds before an answer.
func TestLargeRequestsDuringAnswerWriteAreServed(t *testing.T) {
	const body, times = 20000, 20
	td := newTestDoor(t, echoBackend(closedChan()), sendOnce(nil))
	held := make(chan chan struct{}, times)
	td.connHook = func(p hookPoint) {
		if p == afterWrite {
			release := make(chan struct{})
			held <- release
			<-release
		}
	}
	td.start(t)
	for !td.door.Ready() {
		time.Sleep(time.Millisecond)
	}
	nc := connect(t, td.addr)
	for i := range times {
		text := strings.Replace(strings.Replace(requestWithID(fmt.Sprint("n", i)), "GET /look", "POST /book", 1), "\r\n\r\n",
			fmt.Sprintf("\r\nIdempotency-Key: k%d\r\nContent-Length: %d\r\n\r\n", i, body), 1) + strings.Repeat("x", body)
		_, err := io.WriteString(nc, text)
		require.NoError(t, err)
		if i > 0 { // the next request has been sent; the writer of the previous answer continues
			close(await(t, held, "the previous answer"))
		}
		require.Equal(t, http.StatusOK, readResponse(t, nc).Status, "request %d", i)
	}
	close(await(t, held, "the last answer"))
}

// suspendedListener is a blockedListener that simulates a process that is suspended, once, between setting a deadline and checking
// the queue.
type suspendedListener struct {
	blockedListener
	once sync.Once
}

func (l *suspendedListener) SetDeadline(at time.Time) error {
	err := l.blockedListener.SetDeadline(at)
	if wait := time.Until(at); wait > 0 {
		l.once.Do(func() { time.Sleep(4 * wait) })
	}
	return err
}

// A poll of the listener's queue whose deadline has passed before it checked the queue proves nothing and is repeated. Otherwise the
// connections in the queue would be reset.
func TestDelayedListenerPollIsRepeated(t *testing.T) {
	deadlineSet, release := make(chan struct{}, 1), make(chan struct{})
	td := newTestDoor(t, echoBackend(closedChan()), sendOnce(make(chan gate.Event, 99)))
	td.cfg.Pace.Linger = 50
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	suspended := &suspendedListener{blockedListener: blockedListener{TCPListener: ln.(*net.TCPListener), deadlineSet: deadlineSet, release: release}}
	td.network.Listen = func(context.Context, string) (net.Listener, error) { return suspended, nil }
	td.start(t)
	td.waitReady(t)
	nc := connect(t, ln.Addr().String())
	_, err = io.WriteString(nc, lookRequest)
	require.NoError(t, err)
	td.stop()
	await(t, deadlineSet, "the listener's deadline")
	close(release)
	got, err := readToEnd(nc)
	assert.NoError(t, err)
	assert.Contains(t, got, "hi")
	require.NoError(t, await(t, td.ended, "the end of Serve"))
}
