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
	"github.com/swifthall/swifthall/internal/reading"
	"github.com/swifthall/swifthall/internal/sockio"
	"github.com/swifthall/swifthall/policy"
)

// These tests run a door with the real policy against backends that fail. They check which requests the backends really ran.

// failure is what a backend does with the first request that it receives completely.
type failure struct {
	respond  func(nc net.Conn)
	ran      bool // the backend has run the request
	answered bool // respond writes a complete answer, which ends the attempt
}

// hang does nothing until the door closes the connection.
func hang(nc net.Conn) { io.Copy(io.Discard, nc) }

// writeThen returns a function that writes text and then calls another function.
func writeThen(text string, then func(net.Conn)) func(net.Conn) {
	return func(nc net.Conn) {
		io.WriteString(nc, text)
		then(nc)
	}
}

// closeConn closes a connection.
func closeConn(nc net.Conn) { nc.Close() }

// resetConn closes a connection with a reset.
func resetConn(nc net.Conn) {
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// writeEndlessly returns a function that writes text repeatedly until a write fails, and adds the number of bytes to written.
func writeEndlessly(text string, written *atomic.Int64) func(net.Conn) {
	return func(nc net.Conn) {
		chunk := strings.Repeat(text, 1+4096/len(text))
		for {
			n, err := io.WriteString(nc, chunk)
			if written.Add(int64(n)); err != nil {
				return
			}
		}
	}
}

// backendRecord is what all backends of a test did.
type backendRecord struct {
	mu                        sync.Mutex
	received, ran, inProgress int
	maxInProgress             int  // at the same time
	reused                    bool // a request arrived on a connection whose answer had failed
}

// serve returns a backend that fails for the first request to any backend of the record, and answers all others.
func (rec *backendRecord) serve(f failure) func(net.Conn) {
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
			rec.mu.Lock()
			first := rec.received == 0
			rec.received++
			rec.inProgress++
			rec.maxInProgress = max(rec.maxInProgress, rec.inProgress)
			if !first || f.ran {
				rec.ran++
			}
			ended := !first || f.answered
			if ended { // before the door can receive the answer
				rec.inProgress--
			}
			rec.mu.Unlock()
			if first {
				f.respond(nc)
			} else {
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			if !ended {
				rec.mu.Lock()
				rec.inProgress--
				rec.mu.Unlock()
			}
			if first {
				if _, err := http.ReadRequest(r); err == nil {
					rec.mu.Lock()
					rec.reused = true
					rec.mu.Unlock()
				}
				return
			}
		}
	}
}

// newPolicyDoor returns a door with the real policy and the given backends. It has not been started.
func newPolicyDoor(t *testing.T, backends ...func(net.Conn)) *testDoor {
	td := &testDoor{cfg: testConfig()}
	td.cfg.Sockets, td.cfg.Settings.MaxWait, td.cfg.Pace.Linger = 1000, 5000, 100
	terms := &td.cfg.Settings.Terms
	terms.Classes = []gate.Class{{Contract: 1000, Gain: 1}, {Contract: 1000, Gain: 1, Semantics: gate.Keyed, DedupWindow: 60e3},
		{Contract: 1000, Gain: 1, Semantics: gate.NonIdempotent}, {Contract: 1000, Gain: 1, Semantics: gate.Keyed, DedupWindow: 300}}
	terms.Plans = []gate.Plan{{Price: 1}}
	terms.MaxAttempts, terms.Hedging, terms.MayCancel = 4, true, true
	terms.Doors = 1
	td.cfg.Settings.Classes = map[string]int{"look": 0, "book": 1, "buy": 2, "brief": 3}
	list := ""
	for i, b := range backends {
		list += fmt.Sprintf(`,{"instanceId":"s%d","hostPort":%q,"lifecycle":"Ready","weight":1}`, i, loopbacktest.Serve(t, b))
	}
	td.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			line := `{"generation":41,"reset":true,"instances":[` + list[1:] + `]}`
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		}
	})
	td.decider = policy.New(*terms, 1)
	return td
}

const (
	buyRequest   = "POST /buy?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 4000m\r\nX-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nride"
	keyedRequest = "POST /book?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 4000m\r\nIdempotency-Key: k1\r\nX-Weight: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\nride"
)

// failures returns the ways in which an answer can fail. In all of them but "turned away" the backend has run the request.
func failures(written *atomic.Int64) map[string]failure {
	return map[string]failure{
		"an error status":             {writeThen("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", hang), true, true},
		"turned away":                 {writeThen("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", hang), false, true},
		"an unmarked 503":             {writeThen("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", hang), true, true},
		"a close":                     {closeConn, true, false},
		"a reset":                     {resetConn, true, false},
		"silence":                     {hang, true, false},
		"half a line, then silence":   {writeThen("HTTP/1.1 2", hang), true, false},
		"half a line, then a close":   {writeThen("HTTP/1.1 2", closeConn), true, false},
		"half a header, then a reset": {writeThen("HTTP/1.1 200 OK\r\nContent-", resetConn), true, false},
		"a body cut short":            {writeThen("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwrong", closeConn), true, false},
		"a chunk cut short":           {writeThen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nwrong", resetConn), true, false},
		"no length, then a reset":     {writeThen("HTTP/1.1 200 OK\r\n\r\nwrong", resetConn), true, false},
		"no HTTP":                     {writeThen("\x00\x01\x02 nonsense\r\n\r\n", hang), true, false},
		"an endless header":           {writeThen("HTTP/1.1 200 OK\r\n", writeEndlessly("X-More: and more\r\n", written)), true, false},
		"an endless body":             {writeThen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", writeEndlessly("4\r\nmore\r\n", written)), true, false},
		"an endless trailer":          {writeThen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", writeEndlessly("X-More: and more\r\n", written)), true, false},
		"endless 100 Continue":        {writeThen("", writeEndlessly("HTTP/1.1 100 Continue\r\n\r\n", written)), true, false},
		"a body over the limit":       {writeThen("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", writeEndlessly("more", written)), true, false},
	}
}

// runWithFailure sends one request to a door with two backends, whose first answer fails. It also checks that the client receives
// only one answer.
func runWithFailure(t *testing.T, request string, f failure) (status int, body string, took time.Duration, rec *backendRecord) {
	rec = &backendRecord{}
	td := newPolicyDoor(t, rec.serve(f), rec.serve(f))
	td.start(t)
	td.waitReady(t)
	start := time.Now()
	nc := connect(t, td.addr)
	status, body = roundTrip(t, nc, request)
	took = time.Since(start)
	nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	n, _ := nc.Read(make([]byte, 1))
	assert.Zero(t, n, "there is only one answer")
	td.stop()
	require.NoError(t, await(t, td.ended, "the end of Serve"))
	return status, body, took, rec
}

const maxAnswerTime = 4000*time.Millisecond + 500*time.Millisecond // the request's time limit, plus the excess allowed for an answer

// A non-idempotent request is sent again only if the previous attempt certainly never ran, and it never has two attempts at the same
// time.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for name := range failures(nil) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := failures(&atomic.Int64{})[name]
			status, body, took, rec := runWithFailure(t, buyRequest, f)
			rec.mu.Lock()
			defer rec.mu.Unlock()
			assert.Equal(t, 1, rec.ran, "number of times that the request ran")
			assert.Equal(t, 1, rec.maxInProgress, "attempts at the same time")
			assert.False(t, rec.reused, "the connection is not used again")
			assert.Less(t, took, maxAnswerTime)
			if f.ran {
				assert.Equal(t, 1, rec.received)
				assert.Equal(t, http.StatusBadGateway, status, "it may have run, so the answer must not be a rejection")
			} else {
				assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body), "it never ran, so it is sent again")
			}
		})
	}
}

// An attempt whose connection is refused, is not established or breaks before the last byte is written never ran. It is retried even
// for a non-idempotent request.
func TestUnsentAttemptIsRetried(t *testing.T) {
	for name, breakConn := range map[string]func(nc *net.TCPConn) (net.Conn, error){
		"connection refused":     func(nc *net.TCPConn) (net.Conn, error) { nc.Close(); return nil, syscall.ECONNREFUSED },
		"dial timeout":           func(nc *net.TCPConn) (net.Conn, error) { nc.Close(); return nil, os.ErrDeadlineExceeded },
		"reset during the write": func(nc *net.TCPConn) (net.Conn, error) { return &halfWriteConn{nc}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := &backendRecord{received: 1} // not 0: no backend fails, only the connection does
			td := newPolicyDoor(t, rec.serve(failure{}), rec.serve(failure{}))
			var dials atomic.Int32
			registry := td.cfg.Discovery
			td.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				if err == nil && addr != registry && dials.Add(1) == 1 {
					return breakConn(nc.(*net.TCPConn))
				}
				return nc, err
			}
			td.start(t)
			td.waitReady(t)
			status, body := roundTrip(t, connect(t, td.addr), buyRequest)
			assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body))
			rec.mu.Lock()
			defer rec.mu.Unlock()
			assert.Equal(t, 1, rec.ran)
		})
	}
}

// halfWriteConn is a connection that is reset in the middle of its first write.
type halfWriteConn struct{ *net.TCPConn }

func (h *halfWriteConn) Write(p []byte) (int, error) {
	n, _ := h.TCPConn.Write(p[:len(p)/2])
	resetConn(h.TCPConn)
	return n, syscall.ECONNRESET
}

// A request that may be repeated is answered by another backend in time. The failure affects only the connection on which it occurs,
// and the door reads only a limited part of an endless answer.
func TestBrokenAnswerAffectsOnlyItsConnection(t *testing.T) {
	for _, request := range []string{strings.Replace(lookRequest, "1500m", "4000m", 1), keyedRequest} {
		for name := range failures(nil) {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var written atomic.Int64
				status, body, took, rec := runWithFailure(t, request, failures(&written)[name])
				rec.mu.Lock()
				defer rec.mu.Unlock()
				assert.False(t, rec.reused, "the connection is not used again")
				assert.Less(t, took, maxAnswerTime)
				assert.Less(t, written.Load(), int64(64<<20))
				assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body), "also if the door cannot notice the failure: it sends a hedge")
			})
		}
	}
}

// A keyed request is not sent again once the backends may have forgotten its idempotency key. The dedup window counts from the start
// of the attempt.
func TestKeyedRequestIsNotRepeatedPastDedupWindow(t *testing.T) {
	lateReset := failure{func(nc net.Conn) {
		time.Sleep(350 * time.Millisecond) // longer than the dedup window of 300 ms
		resetConn(nc)
	}, true, false}
	status, _, _, rec := runWithFailure(t, strings.Replace(keyedRequest, "/book", "/brief", 1), lateReset)
	rec.mu.Lock()
	assert.Equal(t, 1, rec.received)
	rec.mu.Unlock()
	assert.NotEqual(t, http.StatusOK, status)
	status, body, _, rec := runWithFailure(t, keyedRequest, lateReset)
	assert.Equal(t, "200 ok", fmt.Sprint(status, " ", body), "with a longer dedup window")
	assert.Equal(t, 2, rec.received)
}

// Two deployments in one process, with two customers each, do not share classes, plans, unit limits or buckets.
func TestDeploymentsInOneProcessAreIsolated(t *testing.T) {
	goodBackend := func() func(net.Conn) { return (&backendRecord{received: 1}).serve(failure{}) }
	one, other := newPolicyDoor(t, goodBackend()), newPolicyDoor(t, goodBackend())
	for _, td := range []*testDoor{one, other} {
		terms := &td.cfg.Settings.Terms
		terms.Plans = []gate.Plan{{Price: 1, Rate: 1e-9, Depth: 2}} // two units that are never refilled
		terms.Classes = terms.Classes[:1]
	}
	other.cfg.Settings.Classes, other.cfg.Settings.Plans, other.cfg.Settings.MaxUnits = map[string]int{"see": 0}, map[string]int{"house": 0}, 2
	one.cfg.Settings.Classes = map[string]int{"look": 0}
	requestTexts := map[*testDoor]string{one: lookRequest, other: strings.NewReplacer("/look", "/see", "team", "house").Replace(lookRequest)}
	conns := map[*testDoor]net.Conn{}
	for _, td := range []*testDoor{one, other} {
		td.decider = policy.New(td.cfg.Settings.Terms, 1)
		td.start(t)
		td.waitReady(t)
		conns[td] = connect(t, td.addr)
	}
	send := func(td *testDoor, text string) int {
		status, _ := roundTrip(t, conns[td], text)
		return status
	}
	n := 0
	nextRequest := func(td *testDoor, customer string) string {
		n++
		return strings.NewReplacer("a1", fmt.Sprint("n", n), "0000000000000001", customer).Replace(requestTexts[td])
	}
	for _, td := range []*testDoor{one, other} {
		for _, customer := range []string{"0000000000000001", "0000000000000002"} {
			assert.Equal(t, http.StatusOK, send(td, nextRequest(td, customer)))
			assert.Equal(t, http.StatusOK, send(td, nextRequest(td, customer)))
			assert.Equal(t, http.StatusTooManyRequests, send(td, nextRequest(td, customer)), "the customer's own two units are used, whatever others do")
		}
	}
	assert.Equal(t, http.StatusNotFound, send(one, nextRequest(other, "0000000000000003")), "a class of the other deployment")
	assert.Equal(t, http.StatusBadRequest, send(one, strings.Replace(nextRequest(one, "0000000000000003"), "team", "house", 1)), "a plan of the other deployment")
	assert.Equal(t, http.StatusBadRequest, send(other, strings.Replace(nextRequest(other, "0000000000000003"), "units=1", "units=3", 1)), "its own limit of units")
	assert.NotEqual(t, http.StatusBadRequest, send(one, strings.Replace(nextRequest(one, "0000000000000003"), "units=1", "units=3", 1)))
	one.door.Reload(other.cfg) // like SIGHUP with the other's configuration file: only the addresses are applied
	assert.Equal(t, http.StatusTooManyRequests, send(one, nextRequest(one, "0000000000000001")), "used units stay used")
	assert.Equal(t, http.StatusOK, send(one, nextRequest(one, "0000000000000004")), "its own class and plan, and a customer's own units")
	assert.Equal(t, http.StatusNotFound, send(one, nextRequest(other, "0000000000000004")))
	assert.Equal(t, http.StatusBadRequest, send(one, strings.Replace(nextRequest(one, "0000000000000004"), "team", "house", 1)))
	assert.Equal(t, http.StatusTooManyRequests, send(other, nextRequest(other, "0000000000000002")), "the other deployment is not affected")
}

// Idle clients hold all the sockets that clients may have, and discovery is down. New clients must still be answered by backends
// that have to be dialled, the counter must be called on a connection that has to be dialled, the watch must be restored when
// discovery is available again, and clients with a pending answer must receive it. All this holds whether or not the system tells how many
// clients wait.
func TestIdleClientsDoNotExhaustSockets(t *testing.T) {
	t.Run("queue known", func(t *testing.T) { playIdleClients(t, systemSignals()) })
	t.Run("queue unknown", func(t *testing.T) { playIdleClients(t, signalsTakenAway()) })
}

// signalsTakenAway returns the signals of a system that tells nothing.
func signalsTakenAway() signals {
	return signals{
		listenQueue:  func(net.Listener) reading.Value[int] { return reading.Unknown[int]() },
		lastReceived: func(syscall.RawConn) reading.Value[time.Duration] { return reading.Unknown[time.Duration]() },
		peerState: func(raw syscall.RawConn) sockio.Peer {
			peer := sockio.PeerState(raw)
			if peer.Unread {
				peer.Closed = reading.Unknown[bool]()
			}
			return peer
		},
		resident: func() reading.Value[int64] { return reading.Unknown[int64]() },
	}
}

func playIdleClients(t *testing.T, system signals) {
	const busy, fresh, sockets = 5, 40, 256
	proceed, arrived := make(chan struct{}), make(chan struct{}, busy)
	backend := loopbacktest.Serve(t, func(nc net.Conn) { // closes each connection after one answer, so each request needs a new socket
		defer nc.Close()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		if strings.HasPrefix(req.Header.Get("X-Txn"), "busy") {
			arrived <- struct{}{}
			<-proceed
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	})
	calls := make(chan struct{}, 999)
	counter := func(nc net.Conn) { // closes each connection after one reply, so each call needs a new socket
		defer nc.Close()
		if _, err := nc.Read(make([]byte, 4096)); err == nil {
			io.WriteString(nc, "$1\r\n1\r\n")
			calls <- struct{}{}
		}
	}
	var down atomic.Bool
	requests, watches := make(chan string, 999), make(chan net.Conn, 9)
	discovery := discoveryServer(backend, requests, func(nc net.Conn) { watches <- nc })
	td := newPolicyDoor(t, resetConn)
	td.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		if down.Load() {
			nc.Close()
			return
		}
		discovery(nc)
	})
	td.cfg.Counter, td.cfg.Sockets = loopbacktest.Serve(t, counter), sockets
	td.cfg.Pace.IdleClient = 3600e3
	td.cfg.Settings.MaxWait = 3600e3
	terms := &td.cfg.Settings.Terms
	terms.Counter, terms.Hedging, terms.Plans = true, false, []gate.Plan{{Price: 1, Rate: 1, Depth: 1000}}
	td.decider, td.signals = policy.New(*terms, 1), &system
	td.start(t)
	td.waitReady(t)
	await(t, requests, "the first watch")
	send := func(nc net.Conn, id string) int {
		status, _ := roundTrip(t, nc, requestWithID(id))
		return status
	}
	var pending []net.Conn
	for i := range busy {
		nc := connect(t, td.addr)
		_, err := io.WriteString(nc, strings.Replace(requestWithID(fmt.Sprint("busy", i)), "1500m", "3600000m", 1))
		require.NoError(t, err)
		pending = append(pending, nc)
		await(t, arrived, "the backend")
	}
	down.Store(true)
	(await(t, watches, "the watch")).Close()
	for i := 0; !td.door.core.budget.low(td.door.core.budget.clientReserve); i++ {
		require.Less(t, i, sockets)
		status, _ := roundTrip(t, connect(t, td.addr), "GET /health/live HTTP/1.1\r\nHost: d\r\n\r\n")
		require.Equal(t, http.StatusOK, status)
	}
	for len(calls) > 0 {
		<-calls
	}
	for i := range fresh { // each keeps its connection and is idle afterwards
		nc := connect(t, td.addr)
		require.Equal(t, http.StatusOK, send(nc, fmt.Sprint("fresh", i)), "new client %d", i)
	}
	await(t, calls, "a call to the counter")
	down.Store(false)
	assert.Equal(t, "/registry/instances?stream=1&index=41", await(t, requests, "the watch after the outage"))
	close(proceed)
	for _, nc := range pending {
		assert.Equal(t, http.StatusOK, readResponse(t, nc).Status, "a client with a pending answer is not disconnected")
	}
}
