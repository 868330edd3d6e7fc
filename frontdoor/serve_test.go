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

// backendOf answers requests with their body, or "hi", once it may.
func backendOf(may <-chan struct{}) func(net.Conn) {
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

// registryOf tells of one backend on every watch and passes on what it was asked.
func registryOf(backend string, asked chan<- string, then func(net.Conn)) func(net.Conn) {
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

func keep(net.Conn) {}

// sends has every request sent to the first backend, once, and passes on what it hears.
func sends(heard chan<- gate.Event) scripted {
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

// serving starts a door and waits until it is ready.
func serving(t *testing.T, may <-chan struct{}, d gate.Decider) (addr string, stop func(), ended <-chan error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return servingBy(t, settled(), may, d, log)
}

func servingBy(t *testing.T, cfg config.Door, may <-chan struct{}, d gate.Decider,
	log *logrus.Logger) (addr string, stop func(), ended <-chan error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the door's own from here on: nobody else can have its port meanwhile
	require.NoError(t, err)
	cfg.Listen, cfg.Sockets = ln.Addr().String(), 1000 // short of sockets only where a test means it
	cfg.Discovery = loopbacktest.Serve(t, registryOf(loopbacktest.Serve(t, backendOf(may)), make(chan string, 9), keep))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	end := make(chan error, 1)
	door := New(cfg, d, log)
	door.UseListener(ln.(*net.TCPListener))
	go func() { end <- door.Serve(ctx) }()
	for range 500 {
		if nc, err := net.Dial("tcp", cfg.Listen); err == nil {
			status, _ := say(t, nc, "GET /health/ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")
			if nc.Close(); status == http.StatusOK {
				return cfg.Listen, cancel, end
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(t, "never ready")
	return
}

func dialled(t *testing.T, addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	return nc
}

// say sends a text and reads one answer.
func say(t *testing.T, nc net.Conn, text string) (status int, body string) {
	_, err := io.WriteString(nc, text)
	require.NoError(t, err)
	a := heard(t, nc)
	return a.Status, string(a.Body)
}

const look = "GET /look?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 1500m\r\n" +
	"X-Weight: units=1,spread=1,first=0\r\n\r\n"

func open() chan struct{} {
	may := make(chan struct{})
	close(may)
	return may
}

func TestRequestsGoThroughOneAfterTheOther(t *testing.T) {
	addr, _, _ := serving(t, open(), sends(nil))
	nc := dialled(t, addr)
	_, err := io.WriteString(nc, look+strings.Replace(look, "a1", "a2", 1)) // pipelined
	require.NoError(t, err)
	both := heardEach(t, nc, 2)
	assert.Equal(t, "200 hi", fmt.Sprint(both[0].Status, " ", string(both[0].Body)))
	assert.Equal(t, "hi", string(both[1].Body))
	big := strings.Repeat("x", 65535)
	status, body := say(t, nc, strings.Replace(strings.Replace(look, "GET /look", "POST /book", 1), "\r\n\r\n",
		fmt.Sprintf("\r\nIdempotency-Key: m\r\nContent-Length: %d\r\n\r\n", len(big)), 1)+big)
	assert.Equal(t, http.StatusBadGateway, status, "an answer over the most that a body may hold is none")
	assert.Empty(t, body)
	status, _ = say(t, nc, strings.Replace(look, "/look", "/odd", 1))
	assert.Equal(t, http.StatusNotFound, status)
	status, body = say(t, nc, look)
	assert.Equal(t, "200 hi", fmt.Sprint(status, " ", body), "the connection goes on")
	status, _ = say(t, nc, "nonsense\r\n\r\n")
	assert.Equal(t, http.StatusBadRequest, status)
	_, err = nc.Read(make([]byte, 1))
	assert.Error(t, err, "and ends after noise")
}

func TestNothingIsGatheredAheadOfAnAnswer(t *testing.T) {
	c, _ := owned(t)
	cl := newClient(c, dialled(t, loopbacktest.Serve(t, keep)))
	r := bringing("GET /health/live HTTP/1.1\r\n")
	r.owed = true
	assert.True(t, cl.step(r))
	assert.True(t, cl.ahead.Load(), "whoever answers is to wake the reader")
	assert.False(t, r.in.Begun(), "a client that sends ahead holds one body, not two")
	cl.wrote <- struct{}{}
	assert.True(t, cl.step(r))
	assert.True(t, r.in.Begun())
}

func TestASlowRequestIsGivenUp(t *testing.T) {
	addr, _, _ := serving(t, open(), sends(nil))
	status, _ := say(t, dialled(t, addr), look[:20])
	assert.Equal(t, http.StatusRequestTimeout, status)
}

func TestAnIdleConnectionThatIsClosedIsReadOnceMore(t *testing.T) {
	c, _ := owned(t)
	come := make(chan struct{})
	nc := dialled(t, loopbacktest.Serve(t, func(nc net.Conn) {
		<-come
		cl := newClient(c, nc)
		cl.close(closedIdle)
		cl.run()
	}))
	_, err := io.WriteString(nc, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
	require.NoError(t, err)
	close(come)
	assert.Equal(t, 200, heard(t, nc).Status)
}

func TestAClientThatLeavesVanishes(t *testing.T) {
	events := make(chan gate.Event, 99)
	addr, _, _ := serving(t, make(chan struct{}), sends(events))
	nc := dialled(t, addr)
	_, err := io.WriteString(nc, look)
	require.NoError(t, err)
	for _, isRequest := (<-events).(gate.Request); !isRequest; _, isRequest = (<-events).(gate.Request) {
	}
	nc.Close()
	assert.Equal(t, gate.ClientGone{Op: 0}, <-events)
}

func TestADoorThatLeavesAnswersWhatItHasAndWhatStillComes(t *testing.T) {
	may, events := make(chan struct{}), make(chan gate.Event, 99)
	addr, stop, ended := serving(t, may, sends(events))
	idle, held, fresh := dialled(t, addr), dialled(t, addr), dialled(t, addr)
	say(t, idle, "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
	_, err := io.WriteString(held, look)
	require.NoError(t, err)
	for _, isRequest := (<-events).(gate.Request); !isRequest; _, isRequest = (<-events).(gate.Request) {
	}
	stop()
	late := dialled(t, addr)
	_, err = io.WriteString(late, strings.Replace(look, "a1", "a2", 1))
	require.NoError(t, err)
	close(may)
	for name, nc := range map[string]net.Conn{"held": held, "late": late} {
		a := heard(t, nc)
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

func TestABrokenWatchGoesOnFromItsVersion(t *testing.T) {
	c, _ := owned(t)
	asks := make(chan string, 9)
	c.cfg.Discovery = loopbacktest.Serve(t, registryOf("127.0.0.1:1", asks, func(nc net.Conn) { nc.Close() }))
	go c.follow(t.Context(), c.cfg.Discovery, 0, 0)
	assert.Equal(t, "/registry/instances?stream=1", <-asks)
	assert.Equal(t, "/registry/instances?stream=1&index=41", <-asks)
}

func TestASilentWatchIsDialledAgain(t *testing.T) {
	c, _ := owned(t)
	c.cfg.Pace.Silence = 20
	asks := make(chan string, 9)
	c.cfg.Discovery = loopbacktest.Serve(t, registryOf("127.0.0.1:1", asks, keep))
	go c.follow(t.Context(), c.cfg.Discovery, 0, 0)
	<-asks
	assert.Equal(t, "/registry/instances?stream=1&index=41", <-asks)
}

func TestTheCounterIsCalledInOrderAndDialledAgain(t *testing.T) {
	c, _ := owned(t)
	c.cfg.Counter = loopbacktest.Serve(t, func(nc net.Conn) {
		defer nc.Close() // after one reply
		nc.Read(make([]byte, 4096))
		io.WriteString(nc, "$3\r\n2.5\r\n")
	})
	conn := newCounterConn(c, c.cfg.Counter)
	c.counters = []*counterConn{conn}
	go conn.run(t.Context())
	for range 2 {
		c.now = c.clock.now()
		c.count(gate.Count{Add: 2.5, TTL: 1000})
		n := (<-c.notes).(called)
		assert.Equal(t, called{n.k, endWell, 2.5}, n)
		for conn.up() != nil {
			time.Sleep(time.Millisecond)
		}
	}
}

// A door that watches the settings of another shape answers by its own, and its account tells how many would have had
// another answer.
func TestADoorWatchingAnotherShapeDecidesAsBeforeAndCounts(t *testing.T) {
	cfg := settled()
	terms := &cfg.Settings.Terms
	terms.MaxAttempts = 1
	terms.Classes = []gate.Class{{Contract: 1000}, {Contract: 1000, Semantics: gate.Keyed}}
	terms.Plans = []gate.Plan{{Rate: 1e-6, Depth: 3}} // nothing fills up while the test runs
	other := *terms
	other.Plans = []gate.Plan{{Rate: 1e-6, Depth: 3, OverQuotaGain: 0.3}}
	decider := policy.New(*terms, 1)
	decider.CompareWith(&other)
	log, hook := test.NewNullLogger()
	addr, _, _ := servingBy(t, cfg, open(), decider, log)
	nc := dialled(t, addr)
	var statuses []int
	for i := range 5 {
		status, _ := say(t, nc, strings.Replace(look, "a1", fmt.Sprint("w", i), 1))
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
