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
	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
	"github.com/swifthall/swifthall/policy"
)

// echoBackend answers requests with their body, or "hi", once it may.
func echoBackend(may <-chan struct{}) func(net.Conn) {
	return func(nc net.Conn) {
		defer nc.Close()
		for r := bufio.NewReader(nc); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			<-may
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+2, "hi"+string(body))
		}
	}
}

// discoveryServer tells of one backend on every watch and passes on what it was asked.
func discoveryServer(backend string, asked chan<- string, then func(net.Conn)) func(net.Conn) {
	return func(nc net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		asked <- req.RequestURI
		line := fmt.Sprintf(`{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"Ready"}]}`, backend)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		then(nc)
	}
}

func keepOpen(net.Conn) {}

// sendOnce has every request sent to the first backend, once, and passes on what it hears.
func sendOnce(heard chan<- gate.Event) deciderFunc {
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
			case heard <- e:
			default:
			}
		}
		return out
	}
}

// startDoor starts a door and waits until it is ready.
func startDoor(t *testing.T, may <-chan struct{}, d gate.Decider) (addr string, stop func(), ended <-chan error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return startDoorWith(t, testConfig(), may, d, log)
}

func startDoorWith(t *testing.T, cfg config.Door, may <-chan struct{}, d gate.Decider,
	log *logrus.Logger) (addr string, stop func(), ended <-chan error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the door's own from here on: nobody else can have its port meanwhile
	require.NoError(t, err)
	cfg.Listen, cfg.Sockets = ln.Addr().String(), 1000 // short of sockets only where a test means it
	cfg.Discovery = loopbacktest.Serve(t, discoveryServer(loopbacktest.Serve(t, echoBackend(may)), make(chan string, 9), keepOpen))
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

func connect(t *testing.T, addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	return nc
}

// roundTrip sends a text and reads one answer.
func roundTrip(t *testing.T, nc net.Conn, text string) (status int, body string) {
	_, err := io.WriteString(nc, text)
	require.NoError(t, err)
	a := readResponse(t, nc)
	return a.Status, string(a.Body)
}

const lookRequest = "GET /look?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 1500m\r\n" +
	"X-Weight: units=1,spread=1,first=0\r\n\r\n"

func closedChan() chan struct{} {
	may := make(chan struct{})
	close(may)
	return may
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
	assert.Equal(t, http.StatusBadGateway, status, "an answer over the most that a body may hold is none")
	assert.Empty(t, body)
	status, _ = roundTrip(t, nc, strings.Replace(lookRequest, "/look", "/odd", 1))
	assert.Equal(t, http.StatusNotFound, status)
	status, body = roundTrip(t, nc, lookRequest)
	assert.Equal(t, "200 hi", fmt.Sprint(status, " ", body), "the connection goes on")
	status, _ = roundTrip(t, nc, "nonsense\r\n\r\n")
	assert.Equal(t, http.StatusBadRequest, status)
	_, err = nc.Read(make([]byte, 1))
	assert.Error(t, err, "and ends after noise")
}

func TestNothingIsParsedBeforePendingAnswer(t *testing.T) {
	c, _ := newTestCore(t)
	cl := newClient(c, connect(t, loopbacktest.Serve(t, keepOpen)))
	r := bufferedState("GET /health/live HTTP/1.1\r\n")
	r.answerPending = true
	assert.True(t, cl.step(r))
	assert.True(t, cl.holdsInput.Load(), "whoever answers is to wake the reader")
	assert.False(t, r.parser.Begun(), "a client that sends ahead holds one body, not two")
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
	come := make(chan struct{})
	nc := connect(t, loopbacktest.Serve(t, func(nc net.Conn) {
		<-come
		cl := newClient(c, nc)
		cl.requestClose(closedIdle)
		cl.run()
	}))
	_, err := io.WriteString(nc, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
	require.NoError(t, err)
	close(come)
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
	may, events := make(chan struct{}), make(chan gate.Event, 99)
	addr, stop, ended := startDoor(t, may, sendOnce(events))
	idle, held, fresh := connect(t, addr), connect(t, addr), connect(t, addr)
	roundTrip(t, idle, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
	_, err := io.WriteString(held, lookRequest)
	require.NoError(t, err)
	for _, isRequest := (<-events).(gate.Request); !isRequest; _, isRequest = (<-events).(gate.Request) {
	}
	stop()
	late := connect(t, addr)
	_, err = io.WriteString(late, strings.Replace(lookRequest, "a1", "a2", 1))
	require.NoError(t, err)
	close(may)
	for name, nc := range map[string]net.Conn{"held": held, "late": late} {
		a := readResponse(t, nc)
		assert.Equal(t, 200, a.Status, name)
		assert.True(t, a.Close, name)
	}
	for name, nc := range map[string]net.Conn{"idle": idle, "fresh": fresh} {
		nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := nc.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF, name)
	}
	assert.NoError(t, <-ended)
}

func TestBrokenWatchResumesFromItsVersion(t *testing.T) {
	c, _ := newTestCore(t)
	asks := make(chan string, 9)
	c.cfg.Discovery = loopbacktest.Serve(t, discoveryServer("127.0.0.1:1", asks, func(nc net.Conn) { nc.Close() }))
	go c.runWatch(t.Context(), c.cfg.Discovery, 0, 0)
	assert.Equal(t, "/registry/instances?stream=1", <-asks)
	assert.Equal(t, "/registry/instances?stream=1&index=41", <-asks)
}

func TestSilentWatchIsRedialled(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Pace.Silence = 20
	asks := make(chan string, 9)
	c.cfg.Discovery = loopbacktest.Serve(t, discoveryServer("127.0.0.1:1", asks, keepOpen))
	go c.runWatch(t.Context(), c.cfg.Discovery, 0, 0)
	<-asks
	assert.Equal(t, "/registry/instances?stream=1&index=41", <-asks)
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

// A door that watches the settings of another shape answers by its own, and its account tells how many would have had
// another answer.
func TestComparedSettingsAreCountedButNotApplied(t *testing.T) {
	cfg := testConfig()
	terms := &cfg.Settings.Terms
	terms.MaxAttempts = 1
	terms.Classes = []gate.Class{{Contract: 1000}, {Contract: 1000, Semantics: gate.Keyed}}
	terms.Plans = []gate.Plan{{Rate: 1e-6, Depth: 3}} // nothing fills up while the test runs
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
	assert.Equal(t, []int{200, 200, 200, 429, 429}, statuses, "by its own settings")
	require.Eventually(t, func() bool {
		for _, e := range hook.AllEntries() {
			if e.Message == "account" && e.Data["arrived"] == 5 {
				return assert.Equal(t, 2, e.Data["differs_sent_beyond"])
			}
		}
		return false
	}, 3*AccountIntervalMs*time.Millisecond, 50*time.Millisecond)
}
