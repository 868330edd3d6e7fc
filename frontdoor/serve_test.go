package frontdoor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
	"github.com/swifthall/swifthall/policy"
)

// echoBackend returns a backend that answers each request with "hi" and its body, once proceed is closed.
func echoBackend(proceed <-chan struct{}) func(net.Conn) {
	return func(nc net.Conn) {
		defer nc.Close()
		for r := bufio.NewReader(nc); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			<-proceed
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+2, "hi"+string(body))
		}
	}
}

// eachRequest calls a function with every request that arrives whole on a connection, until that ends.
func eachRequest(nc net.Conn, handle func(*http.Request)) {
	for r := bufio.NewReader(nc); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		handle(req)
	}
}

// discoveryServer returns a discovery server that sends a list with one backend on every watch. It reports the URI of each request
// and then calls a function with the connection.
func discoveryServer(backend string, requests chan<- string, then func(net.Conn)) func(net.Conn) {
	return func(nc net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		requests <- req.RequestURI
		line := fmt.Sprintf(`{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"Ready"}]}`, backend)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		then(nc)
	}
}

// keepOpen leaves a connection as it is.
func keepOpen(net.Conn) {}

// sendOnce returns a decider that sends every request to the first backend, once, and reports the events it receives.
func sendOnce(received chan<- gate.Event) deciderFunc {
	return func(_ float64, events []gate.Event) (out []gate.Action) {
		for _, e := range events {
			switch e := e.(type) {
			case gate.Request:
				out = append(out, gate.Send{Op: e.Op})
			case gate.AttemptEnded:
				if !e.Answered {
					out = append(out, gate.Fail{Op: e.Op})
				}
			}
			select {
			case received <- e:
			default:
			}
		}
		return out
	}
}

// startDoor starts a door with testConfig and a backend, and waits until it is ready.
func startDoor(t *testing.T, proceed <-chan struct{}, d gate.Decider) (addr string, stop func(), ended <-chan error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return startDoorWith(t, testConfig(), proceed, d, log)
}

// startDoorWith is like startDoor, with another configuration and a log.
func startDoorWith(t *testing.T, cfg config.Door, proceed <-chan struct{}, d gate.Decider,
	log *logrus.Logger) (addr string, stop func(), ended <-chan error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // passed to the door, so that no other process can take the port in between
	require.NoError(t, err)
	cfg.Listen, cfg.Sockets = ln.Addr().String(), 1000 // enough that no test runs short of sockets
	cfg.Discovery = loopbacktest.Serve(t, discoveryServer(loopbacktest.Serve(t, echoBackend(proceed)), make(chan string, 9), keepOpen))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	end := make(chan error, 1)
	door := New(cfg, d, log)
	door.UseListener(ln.(*net.TCPListener))
	go func() { end <- door.Serve(ctx) }()
	for range 500 {
		if nc, err := net.Dial("tcp", cfg.Listen); err == nil {
			status, _ := roundTrip(t, nc, "GET /health/ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")
			if nc.Close(); status == http.StatusOK {
				return cfg.Listen, cancel, end
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(t, "never ready")
	return
}

// connect opens a connection that is closed at the end of the test.
func connect(t *testing.T, addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	return nc
}

// roundTrip sends text and reads one answer.
func roundTrip(t *testing.T, nc net.Conn, text string) (status int, body string) {
	_, err := io.WriteString(nc, text)
	require.NoError(t, err)
	a := readResponse(t, nc)
	return a.Status, string(a.Body)
}

const lookRequest = "GET /look?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 1500m\r\n" +
	"X-Weight: units=1,spread=1,first=0\r\n\r\n"

// closedChan returns a closed channel, for a backend that answers at once.
func closedChan() chan struct{} {
	proceed := make(chan struct{})
	close(proceed)
	return proceed
}

func TestRequestsOnOneConnection(t *testing.T) {
	addr, _, _ := startDoor(t, closedChan(), sendOnce(nil))
	nc := connect(t, addr)
	_, err := io.WriteString(nc, lookRequest+strings.Replace(lookRequest, "a1", "a2", 1)) // pipelined
	require.NoError(t, err)
	both := readResponses(t, nc, 2)
	assert.Equal(t, "200 hi", fmt.Sprint(both[0].Status, " ", string(both[0].Body)))
	assert.Equal(t, "hi", string(both[1].Body))
	big := strings.Repeat("x", 65535)
	status, body := roundTrip(t, nc, strings.Replace(strings.Replace(lookRequest, "GET /look", "POST /book", 1), "\r\n\r\n",
		fmt.Sprintf("\r\nIdempotency-Key: m\r\nContent-Length: %d\r\n\r\n", len(big)), 1)+big)
	assert.Equal(t, http.StatusBadGateway, status, "an answer with a body over the limit is malformed")
	assert.Empty(t, body)
	status, _ = roundTrip(t, nc, strings.Replace(lookRequest, "/look", "/odd", 1))
	assert.Equal(t, http.StatusNotFound, status)
	status, body = roundTrip(t, nc, lookRequest)
	assert.Equal(t, "200 hi", fmt.Sprint(status, " ", body), "the connection stays open")
	status, _ = roundTrip(t, nc, "nonsense\r\n\r\n")
	assert.Equal(t, http.StatusBadRequest, status)
	_, err = nc.Read(make([]byte, 1))
	assert.Error(t, err, "and is closed after malformed input")
}

func TestNothingIsParsedBeforePendingAnswer(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, connect(t, loopbacktest.Serve(t, keepOpen)))
	r := bufferedState("GET /health/live HTTP/1.1\r\n")
	r.answerPending = true
	assert.True(t, cl.step(r))
	assert.True(t, cl.holdsInput.Load(), "the answer's writer must wake the reader")
	assert.False(t, r.parser.Begun(), "a client that sends requests early must not make the door hold two bodies")
	cl.answerDone <- struct{}{}
	assert.True(t, cl.step(r))
	assert.True(t, r.parser.Begun())
}

func TestSlowRequestTimesOut(t *testing.T) {
	addr, _, _ := startDoor(t, closedChan(), sendOnce(nil))
	status, _ := roundTrip(t, connect(t, addr), lookRequest[:20])
	assert.Equal(t, http.StatusRequestTimeout, status)
}

func TestIdleCloseServesArrivedRequest(t *testing.T) {
	c, _ := newTestCore(t)
	sent := make(chan struct{})
	nc := connect(t, loopbacktest.Serve(t, func(nc net.Conn) {
		<-sent
		cl := newClient(c, nc)
		cl.requestClose(closedIdle)
		cl.run()
	}))
	_, err := io.WriteString(nc, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
	require.NoError(t, err)
	close(sent)
	assert.Equal(t, 200, readResponse(t, nc).Status)
}

func TestClientCloseReportsClientGone(t *testing.T) {
	events := make(chan gate.Event, 99)
	addr, _, _ := startDoor(t, make(chan struct{}), sendOnce(events))
	nc := connect(t, addr)
	_, err := io.WriteString(nc, lookRequest)
	require.NoError(t, err)
	for _, isRequest := (<-events).(gate.Request); !isRequest; _, isRequest = (<-events).(gate.Request) {
	}
	nc.Close()
	assert.Equal(t, gate.ClientGone{Op: 0}, <-events)
}

func TestShutdownAnswersOpenAndLateRequests(t *testing.T) {
	proceed, events := make(chan struct{}), make(chan gate.Event, 99)
	addr, stop, ended := startDoor(t, proceed, sendOnce(events))
	idle, open, unused := connect(t, addr), connect(t, addr), connect(t, addr)
	roundTrip(t, idle, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
	_, err := io.WriteString(open, lookRequest)
	require.NoError(t, err)
	for _, isRequest := (<-events).(gate.Request); !isRequest; _, isRequest = (<-events).(gate.Request) {
	}
	stop()
	late := connect(t, addr)
	_, err = io.WriteString(late, strings.Replace(lookRequest, "a1", "a2", 1))
	require.NoError(t, err)
	close(proceed)
	for name, nc := range map[string]net.Conn{"open": open, "late": late} {
		a := readResponse(t, nc)
		assert.Equal(t, 200, a.Status, name)
		assert.True(t, a.Close, name)
	}
	for name, nc := range map[string]net.Conn{"idle": idle, "unused": unused} {
		nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := nc.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF, name)
	}
	assert.NoError(t, <-ended)
}

func TestBrokenWatchResumesFromItsVersion(t *testing.T) {
	c, _ := newTestCore(t)
	requests := make(chan string, 9)
	c.cfg.Discovery = loopbacktest.Serve(t, discoveryServer("127.0.0.1:1", requests, func(nc net.Conn) { nc.Close() }))
	go c.runWatch(t.Context(), c.cfg.Discovery, 0, 0)
	assert.Equal(t, "/registry/instances?stream=1", <-requests)
	assert.Equal(t, "/registry/instances?stream=1&index=41", <-requests)
}

func TestSilentWatchIsRedialled(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Pace.Silence = 20
	requests := make(chan string, 9)
	c.cfg.Discovery = loopbacktest.Serve(t, discoveryServer("127.0.0.1:1", requests, keepOpen))
	go c.runWatch(t.Context(), c.cfg.Discovery, 0, 0)
	<-requests
	assert.Equal(t, "/registry/instances?stream=1&index=41", <-requests)
}

// Guards against a door that goes on sending to a draining backend because its discovery indents lists (review/3).
func TestDrainIsHeardFromIndentedLists(t *testing.T) {
	c, _ := newTestCore(t)
	const list = "{\n  \"generation\": %d,\n  \"reset\": %t,\n  \"instances\": [\n    {\n      \"instanceId\": \"s\",\n      \"lifecycle\": %q\n    }\n  ]\n}\n"
	requests := make(chan string, 99)
	c.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		requests <- req.RequestURI
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, text := range []string{fmt.Sprintf(list, 41, true, "Ready"), "\n", fmt.Sprintf(list, 42, false, "Terminating")} {
			fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text)
		}
	})
	go c.runWatch(t.Context(), c.cfg.Discovery, 0, 0)
	for c.backends[0].status != gate.Draining {
		if await(t, c.events, "a change").handle(c); c.tally.watchesEnded > 0 {
			require.Fail(t, "the watch ended")
		}
	}
	assert.False(t, c.backends[0].eligible)
	assert.Len(t, requests, 1, "both objects came over one watch")
}

// Guards against a watch that is kept by blank lines after an object was cut off.
func TestWatchThatStopsWithinAnObjectIsRedialled(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Pace.Silence = 50
	requests := make(chan string, 99)
	c.cfg.Discovery = loopbacktest.Serve(t, discoveryServer("127.0.0.1:1", requests, func(nc net.Conn) {
		for text := `{"generation":42,`; ; text = "\n" {
			if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}))
	go c.runWatch(t.Context(), c.cfg.Discovery, 0, 0)
	await(t, requests, "the first call")
	assert.Equal(t, "/registry/instances?stream=1&index=41", await(t, requests, "the next call"))
}

// Guards against a door that hears of no change while its log holds a single line.
func TestAccountCountsEndedWatches(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Discovery = loopbacktest.Serve(t, discoveryServer("127.0.0.1:1", make(chan string, 99), func(nc net.Conn) { nc.Close() }))
	go c.runWatch(t.Context(), c.cfg.Discovery, 0, 0)
	for c.tally.watchesEnded < 2 {
		if ended, is := (<-c.events).(watchEnded); is {
			ended.handle(c)
		}
	}
	assert.Equal(t, 2, c.tally.fields()[fields.Watches])
}

func TestCounterIsRedialledAfterConnectionEnds(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Counter = loopbacktest.Serve(t, func(nc net.Conn) {
		defer nc.Close() // after one reply
		nc.Read(make([]byte, 4096))
		io.WriteString(nc, "$3\r\n2.5\r\n")
	})
	conn := newCounterConn(c, c.cfg.Counter)
	c.counterConns = []*counterConn{conn}
	go conn.run(t.Context())
	for range 2 {
		c.now = c.clock.now()
		c.callCounter(gate.Count{Add: 2.5, TTL: 1000})
		n := (<-c.events).(callEnded)
		assert.Equal(t, callEnded{n.call, outcomeOK, 2.5}, n)
		for conn.current() != nil {
			time.Sleep(time.Millisecond)
		}
	}
}

// A door that compares its decisions with those of other terms answers by its own terms. Its summary counts the requests that the
// other terms would have decided differently.
func TestComparedSettingsAreCountedButNotApplied(t *testing.T) {
	cfg := testConfig()
	terms := &cfg.Settings.Terms
	terms.MaxAttempts = 1
	terms.Classes = []gate.Class{{Contract: 1000}, {Contract: 1000, Semantics: gate.Keyed}}
	terms.Plans = []gate.Plan{{Rate: 1e-6, Depth: 3}} // no units are refilled while the test runs
	other := *terms
	other.Plans = []gate.Plan{{Rate: 1e-6, Depth: 3, OverQuotaGain: 0.3}}
	decider := policy.New(*terms, 1)
	decider.CompareWith(&other)
	log, hook := test.NewNullLogger()
	addr, _, _ := startDoorWith(t, cfg, closedChan(), decider, log)
	nc := connect(t, addr)
	var statuses []int
	for i := range 5 {
		status, _ := roundTrip(t, nc, strings.Replace(lookRequest, "a1", fmt.Sprint("w", i), 1))
		statuses = append(statuses, status)
	}
	assert.Equal(t, []int{200, 200, 200, 429, 429}, statuses, "decided by its own terms")
	require.Eventually(t, func() bool {
		for _, e := range hook.AllEntries() {
			if e.Message == "account" && e.Data["arrived"] == 5 {
				return assert.Equal(t, 2, e.Data["differs_sent_beyond"])
			}
		}
		return false
	}, 3*AccountIntervalMs*time.Millisecond, 50*time.Millisecond)
}
