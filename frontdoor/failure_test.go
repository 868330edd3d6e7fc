package frontdoor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
	"github.com/swifthall/swifthall/policy"
)

// The door with its real decisions, before backends that do wrong. What counts is what the backends truly ran.

// failure is what a backend does with the first request that reaches it whole. ran tells whether it ran it.
type failure struct {
	respond  func(nc net.Conn)
	ran      bool
	answered bool // with a whole answer, after which the attempt is no longer out
}

// hang lets a backend do nothing more until its door ends the connection.
func hang(nc net.Conn) { io.Copy(io.Discard, nc) }

func writeThen(text string, then func(net.Conn)) func(net.Conn) {
	return func(nc net.Conn) {
		io.WriteString(nc, text)
		then(nc)
	}
}

func closeConn(nc net.Conn) { nc.Close() }

func resetConn(nc net.Conn) {
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// writeEndlessly writes without end, and notes how much was taken.
func writeEndlessly(text string, taken *atomic.Int64) func(net.Conn) {
	return func(nc net.Conn) {
		many := strings.Repeat(text, 1+4096/len(text))
		for {
			n, err := io.WriteString(nc, many)
			if taken.Add(int64(n)); err != nil {
				return
			}
		}
	}
}

// backendRecord is what the backends did together.
type backendRecord struct {
	mu                        sync.Mutex
	received, ran, inProgress int
	maxInProgress             int  // out at once
	reused                    bool // something came on a connection that had done wrong
}

// serve is a backend that does wrong with the first request of all, and right with the others.
func (l *backendRecord) serve(w failure) func(net.Conn) {
	return func(nc net.Conn) {
		defer nc.Close()
		for r := bufio.NewReader(nc); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			l.mu.Lock()
			first := l.received == 0
			l.received++
			l.inProgress++
			l.maxInProgress = max(l.maxInProgress, l.inProgress)
			if !first || w.ran {
				l.ran++
			}
			over := !first || w.answered
			if over { // before the answer can be seen
				l.inProgress--
			}
			l.mu.Unlock()
			if first {
				w.respond(nc)
			} else {
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			if !over {
				l.mu.Lock()
				l.inProgress--
				l.mu.Unlock()
			}
			if first {
				if _, err := http.ReadRequest(r); err == nil {
					l.mu.Lock()
					l.reused = true
					l.mu.Unlock()
				}
				return
			}
		}
	}
}

// newPolicyDoor is a door with the real decisions and two backends.
func newPolicyDoor(t *testing.T, backends ...func(net.Conn)) *testDoor {
	g := &testDoor{cfg: testConfig()}
	g.cfg.Sockets, g.cfg.Settings.MaxWait, g.cfg.Pace.Linger = 1000, 5000, 100
	terms := &g.cfg.Settings.Terms
	terms.Classes = []gate.Class{{Contract: 1000, Gain: 1}, {Contract: 1000, Gain: 1, Semantics: gate.Keyed, DedupWindow: 60e3},
		{Contract: 1000, Gain: 1, Semantics: gate.NonIdempotent}, {Contract: 1000, Gain: 1, Semantics: gate.Keyed, DedupWindow: 300}}
	terms.Plans = []gate.Plan{{Price: 1}}
	terms.MaxAttempts, terms.Hedging, terms.MayCancel = 4, true, true
	terms.Doors = 1
	g.cfg.Settings.Classes = map[string]int{"look": 0, "book": 1, "buy": 2, "brief": 3}
	list := ""
	for i, b := range backends {
		list += fmt.Sprintf(`,{"instanceId":"s%d","hostPort":%q,"lifecycle":"Ready","weight":1}`, i, loopbacktest.Serve(t, b))
	}
	g.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			line := `{"generation":41,"reset":true,"instances":[` + list[1:] + `]}`
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		}
	})
	g.decider = policy.New(*terms, 1)
	return g
}

const (
	buyRequest   = "POST /buy?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 4000m\r\nX-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nride"
	keyedRequest = "POST /book?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 4000m\r\nIdempotency-Key: k1\r\nX-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nride"
)

// failures are the ways in which an answer can fail. Their backend has run the request but where told.
func failures(taken *atomic.Int64) map[string]failure {
	return map[string]failure{
		"an error":                     {writeThen("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", hang), true, true},
		"turned away":                  {writeThen("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", hang), false, true},
		"a 503 of its own":             {writeThen("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", hang), true, true},
		"an end":                       {closeConn, true, false},
		"a reset":                      {resetConn, true, false},
		"silence":                      {hang, true, false},
		"half a line, then silence":    {writeThen("HTTP/1.1 2", hang), true, false},
		"half a line, then an end":     {writeThen("HTTP/1.1 2", closeConn), true, false},
		"half a head, then a reset":    {writeThen("HTTP/1.1 200 OK\r\nContent-", resetConn), true, false},
		"a body cut short":             {writeThen("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwrong", closeConn), true, false},
		"a chunk cut short":            {writeThen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nwrong", resetConn), true, false},
		"no length, then a reset":      {writeThen("HTTP/1.1 200 OK\r\n\r\nwrong", resetConn), true, false},
		"noise":                        {writeThen("\x00\x01\x02 nonsense\r\n\r\n", hang), true, false},
		"a head without end":           {writeThen("HTTP/1.1 200 OK\r\n", writeEndlessly("X-More: and more\r\n", taken)), true, false},
		"a body without end":           {writeThen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", writeEndlessly("4\r\nmore\r\n", taken)), true, false},
		"a trailer without end":        {writeThen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", writeEndlessly("X-More: and more\r\n", taken)), true, false},
		"announcements without end":    {writeThen("", writeEndlessly("HTTP/1.1 100 Continue\r\n\r\n", taken)), true, false},
		"a body over the most allowed": {writeThen("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", writeEndlessly("more", taken)), true, false},
	}
}

// runWithFailure has one request runWithFailure before two backends, the first of whose answers goes wrong.
func runWithFailure(t *testing.T, request string, w failure) (status int, body string, took time.Duration, l *backendRecord) {
	l = &backendRecord{}
	g := newPolicyDoor(t, l.serve(w), l.serve(w))
	g.start(t)
	g.waitReady(t)
	begun := time.Now()
	nc := connect(t, g.addr)
	status, body = roundTrip(t, nc, request)
	took = time.Since(begun)
	nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	n, _ := nc.Read(make([]byte, 1))
	assert.Zero(t, n, "one final answer")
	g.stop()
	require.NoError(t, await(t, g.ended, "the end"))
	return status, body, took, l
}

const maxAnswerTime = 4000*time.Millisecond + 500*time.Millisecond // of the request's time, and what an answer may take beyond it

// A request that must not run twice is sent again only where the attempt before surely never ran; never are two out.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for name := range failures(nil) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := failures(&atomic.Int64{})[name]
			status, body, took, l := runWithFailure(t, buyRequest, w)
			l.mu.Lock()
			defer l.mu.Unlock()
			assert.Equal(t, 1, l.ran, "times that it ran")
			assert.Equal(t, 1, l.maxInProgress, "attempts out at once")
			assert.False(t, l.reused, "the connection is not used again")
			assert.Less(t, took, maxAnswerTime)
			if w.ran {
				assert.Equal(t, 1, l.received)
				assert.Equal(t, http.StatusBadGateway, status, "it may have run: no refusal")
			} else {
				assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body), "it never ran: sent again")
			}
		})
	}
}

// What is refused, never comes up or breaks before its last byte never ran, and is sent again whatever it is.
func TestUnsentAttemptIsRetried(t *testing.T) {
	for name, fails := range map[string]func(nc *net.TCPConn) (net.Conn, error){
		"refused":          func(nc *net.TCPConn) (net.Conn, error) { nc.Close(); return nil, syscall.ECONNREFUSED },
		"never up":         func(nc *net.TCPConn) (net.Conn, error) { nc.Close(); return nil, os.ErrDeadlineExceeded },
		"cut amid a write": func(nc *net.TCPConn) (net.Conn, error) { return &halfWriteConn{nc}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &backendRecord{received: 1} // none does wrong but the connection
			g := newPolicyDoor(t, l.serve(failure{}), l.serve(failure{}))
			var dials atomic.Int32
			registry := g.cfg.Discovery
			g.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				if err == nil && addr != registry && dials.Add(1) == 1 {
					return fails(nc.(*net.TCPConn))
				}
				return nc, err
			}
			g.start(t)
			g.waitReady(t)
			status, body := roundTrip(t, connect(t, g.addr), buyRequest)
			assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body))
			l.mu.Lock()
			defer l.mu.Unlock()
			assert.Equal(t, 1, l.ran)
		})
	}
}

// halfWriteConn is a connection that is reset amid the first write.
type halfWriteConn struct{ *net.TCPConn }

func (h *halfWriteConn) Write(p []byte) (int, error) {
	n, _ := h.TCPConn.Write(p[:len(p)/2])
	resetConn(h.TCPConn)
	return n, syscall.ECONNRESET
}

// One that may run again gets its answer elsewhere, or is given up in its time; what goes wrong costs its connection alone.
func TestBrokenAnswerAffectsOnlyItsConnection(t *testing.T) {
	for _, request := range []string{strings.Replace(lookRequest, "1500m", "4000m", 1), keyedRequest} {
		for name := range failures(nil) {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var taken atomic.Int64
				status, body, took, l := runWithFailure(t, request, failures(&taken)[name])
				l.mu.Lock()
				defer l.mu.Unlock()
				assert.False(t, l.reused, "the connection is not used again")
				assert.Less(t, took, maxAnswerTime)
				assert.Less(t, taken.Load(), int64(64<<20))
				assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body), "also where nobody can tell: a hedge goes out")
			})
		}
	}
}

// A keyed request is not sent again once its backends may have forgotten the key, counted from the attempt's begin.
func TestKeyedRequestIsNotRepeatedPastDedupWindow(t *testing.T) {
	late := failure{func(nc net.Conn) {
		time.Sleep(350 * time.Millisecond) // the window is 300 ms, and must be over
		resetConn(nc)
	}, true, false}
	status, _, _, l := runWithFailure(t, strings.Replace(keyedRequest, "/book", "/brief", 1), late)
	l.mu.Lock()
	assert.Equal(t, 1, l.received)
	l.mu.Unlock()
	assert.NotEqual(t, http.StatusOK, status)
	status, body, _, l := runWithFailure(t, keyedRequest, late)
	assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body), "a longer window")
	assert.Equal(t, 2, l.received)
}

// Two deployments in one process, and two customers at each: classes, units, limits and buckets stay apart.
func TestDeploymentsInOneProcessAreIsolated(t *testing.T) {
	good := func() func(net.Conn) { return (&backendRecord{received: 1}).serve(failure{}) }
	one, other := newPolicyDoor(t, good()), newPolicyDoor(t, good())
	for _, g := range []*testDoor{one, other} {
		terms := &g.cfg.Settings.Terms
		terms.Plans = []gate.Plan{{Price: 1, Rate: 1e-9, Depth: 2}} // two units for ever
		terms.Classes = terms.Classes[:1]
	}
	other.cfg.Settings.Classes, other.cfg.Settings.Plans, other.cfg.Settings.MaxUnits = map[string]int{"see": 0}, map[string]int{"house": 0}, 2
	one.cfg.Settings.Classes = map[string]int{"look": 0}
	asks := map[*testDoor]string{one: lookRequest, other: strings.NewReplacer("/look", "/see", "team", "house").Replace(lookRequest)}
	conns := map[*testDoor]net.Conn{}
	for _, g := range []*testDoor{one, other} {
		g.decider = policy.New(g.cfg.Settings.Terms, 1)
		g.start(t)
		g.waitReady(t)
		conns[g] = connect(t, g.addr)
	}
	ask := func(g *testDoor, text string) int {
		status, _ := roundTrip(t, conns[g], text)
		return status
	}
	n := 0
	next := func(g *testDoor, customer string) string {
		n++
		return strings.NewReplacer("a1", fmt.Sprint("n", n), "0000000000000001", customer).Replace(asks[g])
	}
	for _, g := range []*testDoor{one, other} {
		for _, customer := range []string{"0000000000000001", "0000000000000002"} {
			assert.Equal(t, http.StatusOK, ask(g, next(g, customer)))
			assert.Equal(t, http.StatusOK, ask(g, next(g, customer)))
			assert.Equal(t, http.StatusTooManyRequests, ask(g, next(g, customer)), "its own two units are used, whatever others do")
		}
	}
	assert.Equal(t, http.StatusNotFound, ask(one, next(other, "0000000000000003")), "the other's class")
	assert.Equal(t, http.StatusBadRequest, ask(one, strings.Replace(next(one, "0000000000000003"), "team", "house", 1)), "the other's plan")
	assert.Equal(t, http.StatusBadRequest, ask(other, strings.Replace(next(other, "0000000000000003"), "units=1", "units=3", 1)), "its own most")
	assert.NotEqual(t, http.StatusBadRequest, ask(one, strings.Replace(next(one, "0000000000000003"), "units=1", "units=3", 1)))
	one.door.Reload(other.cfg) // SIGHUP with a file of the other's: addresses are taken, nothing else
	assert.Equal(t, http.StatusTooManyRequests, ask(one, next(one, "0000000000000001")), "what was used stays used")
	assert.Equal(t, http.StatusOK, ask(one, next(one, "0000000000000004")), "its own class and plan, and a customer's own units")
	assert.Equal(t, http.StatusNotFound, ask(one, next(other, "0000000000000004")))
	assert.Equal(t, http.StatusBadRequest, ask(one, strings.Replace(next(one, "0000000000000004"), "team", "house", 1)))
	assert.Equal(t, http.StatusTooManyRequests, ask(other, next(other, "0000000000000002")), "the other has heard of nothing")
}

// Idle clients hold all the sockets that clients may have, and discovery is down. New clients get their answers from
// backends that have to be dialled, the counter is called on a connection that has to be dialled, discovery's return is
// heard, and who is owed an answer gets it.
func TestIdleClientsDoNotExhaustSockets(t *testing.T) {
	const busy, fresh, sockets = 5, 40, 256
	may, came := make(chan struct{}), make(chan struct{}, busy)
	backend := loopbacktest.Serve(t, func(nc net.Conn) { // every answer is its connection's last: each request needs a socket
		defer nc.Close()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		if strings.HasPrefix(req.Header.Get("X-Txn"), "busy") {
			came <- struct{}{}
			<-may
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	})
	calls := make(chan struct{}, 999)
	counter := func(nc net.Conn) { // so does each call
		defer nc.Close()
		if _, err := nc.Read(make([]byte, 4096)); err == nil {
			io.WriteString(nc, "$1\r\n1\r\n")
			calls <- struct{}{}
		}
	}
	var down atomic.Bool
	asks, watches := make(chan string, 999), make(chan net.Conn, 9)
	tells := discoveryServer(backend, asks, func(nc net.Conn) { watches <- nc })
	g := newPolicyDoor(t, resetConn)
	g.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		if down.Load() {
			nc.Close()
			return
		}
		tells(nc)
	})
	g.cfg.Counter, g.cfg.Sockets = loopbacktest.Serve(t, counter), sockets
	g.cfg.Pace.IdleClient = 3600e3
	g.cfg.Settings.MaxWait = 3600e3
	terms := &g.cfg.Settings.Terms
	terms.Counter, terms.Hedging, terms.Plans = true, false, []gate.Plan{{Price: 1, Rate: 1, Depth: 1000}}
	g.decider = policy.New(*terms, 1)
	g.start(t)
	g.waitReady(t)
	await(t, asks, "the first watch")
	ask := func(nc net.Conn, id string) int {
		status, _ := roundTrip(t, nc, requestWithID(id))
		return status
	}
	var owed []net.Conn
	for i := range busy {
		nc := connect(t, g.addr)
		_, err := io.WriteString(nc, strings.Replace(requestWithID(fmt.Sprint("busy", i)), "1500m", "3600000m", 1))
		require.NoError(t, err)
		owed = append(owed, nc)
		await(t, came, "the backend")
	}
	down.Store(true)
	(await(t, watches, "the watch")).Close()
	for i := 0; !g.door.core.budget.low(g.door.core.budget.clientReserve); i++ {
		require.Less(t, i, sockets)
		status, _ := roundTrip(t, connect(t, g.addr), "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
		require.Equal(t, http.StatusOK, status)
	}
	for len(calls) > 0 {
		<-calls
	}
	for i := range fresh { // each stays, and idles
		nc := connect(t, g.addr)
		require.Equal(t, http.StatusOK, ask(nc, fmt.Sprint("fresh", i)), "new client %d", i)
	}
	await(t, calls, "a call of the counter")
	down.Store(false)
	assert.Equal(t, "/registry/instances?stream=1&index=41", await(t, asks, "discovery's return"))
	close(may)
	for _, nc := range owed {
		assert.Equal(t, http.StatusOK, readResponse(t, nc).Status, "nobody who is owed an answer is cut off")
	}
}
