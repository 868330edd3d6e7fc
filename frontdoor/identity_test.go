package frontdoor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/policy"
)

// fakeProcess is a backend process: a listener and its connections, which all end together.
type fakeProcess struct {
	ln       net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	received chan string // ids of the requests that arrived whole
}

// startProcess starts a process at an address that answers each request with handle.
func startProcess(t *testing.T, addr string, handle func(nc net.Conn)) *fakeProcess {
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	p := &fakeProcess{ln: ln, received: make(chan string, 99)}
	t.Cleanup(p.die)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, nc)
			p.mu.Unlock()
			go p.serve(nc, handle)
		}
	}()
	return p
}

func (p *fakeProcess) serve(nc net.Conn, handle func(net.Conn)) {
	eachRequest(nc, func(req *http.Request) {
		p.received <- req.Header.Get("X-Txn")
		handle(nc)
	})
}

// die ends the process: its listener is closed and its connections are reset.
func (p *fakeProcess) die() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, nc := range p.conns {
		resetConn(nc)
	}
	p.conns = nil
}

// replaceID returns a request with another id, and the same id as its key.
func replaceID(text, id string) string {
	return strings.NewReplacer("X-Txn: a1", "X-Txn: "+id, "Idempotency-Key: k1", "Idempotency-Key: "+id).Replace(text)
}

func answerOK(nc net.Conn) { io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

// newZoneDoor returns a door whose keyed requests are deduplicated within a zone, and that knows backends of zone "a" at the given
// addresses.
func newZoneDoor(t *testing.T, addrs ...string) *testDoor {
	td := newPolicyDoor(t, hang)
	terms := &td.cfg.Settings.Terms
	terms.Classes[1].Scope = gate.ScopeZone
	td.decider = policy.New(*terms, 1)
	list := ""
	for i, addr := range addrs {
		list += fmt.Sprintf(`,{"instanceId":"s%d","hostPort":%q,"zone":"a","lifecycle":"Ready","weight":1}`, i, addr)
	}
	td.cfg.Discovery = loopbacktest.Serve(t, func(nc net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			line := `{"generation":41,"reset":true,"instances":[` + list[1:] + `]}`
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		}
	})
	return td
}

func TestKeyedRequestIsNotRepeatedAtAddressWhoseProcessMayHaveChanged(t *testing.T) {
	died := make(chan struct{})
	old := startProcess(t, "127.0.0.1:0", func(net.Conn) { died <- struct{}{}; <-died })
	addr := old.ln.Addr().String()
	td := newZoneDoor(t, addr)
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	_, err := io.WriteString(nc, keyedRequest)
	require.NoError(t, err)
	await(t, died, "the attempt")
	old.ln.Close()
	replacement := startProcess(t, addr, answerOK) // of another zone, which discovery has not told yet
	old.die()
	close(died)
	assert.Equal(t, http.StatusBadGateway, readResponse(t, nc).Status)
	assert.Empty(t, replacement.received, "the request was repeated at a process of another zone")
}

// An idle connection that its backend has ended says as much about the process as one with a request on it.
func TestKeyedRequestFirstSentToUnconfirmedProcessIsNotRepeatedElsewhere(t *testing.T) {
	old := startProcess(t, "127.0.0.1:0", answerOK)
	addr := old.ln.Addr().String()
	other := startProcess(t, "127.0.0.1:0", answerOK)
	td := newZoneDoor(t, addr, other.ln.Addr().String())
	td.start(t)
	td.waitReady(t)
	for i := 0; len(old.received) == 0; i++ {
		status, _ := roundTrip(t, connect(t, td.addr), requestWithID(fmt.Sprint("warm", i)))
		require.Equal(t, http.StatusOK, status)
	}
	old.ln.Close()
	replacement := startProcess(t, addr, func(nc net.Conn) { resetConn(nc) })
	old.die()
	for len(other.received) > 0 {
		<-other.received
	}
	for i := range 20 {
		id := fmt.Sprint("keyed", i)
		roundTrip(t, connect(t, td.addr), replaceID(keyedRequest, id))
	}
	ranAt := map[string]int{}
	for _, p := range []*fakeProcess{replacement, other} {
		for len(p.received) > 0 {
			ranAt[<-p.received]++
		}
	}
	for id, times := range ranAt {
		assert.Equal(t, 1, times, "%s ran in two zones", id)
	}
}

func TestBackendWhoseAddressIsListedForAnotherGetsNoRequests(t *testing.T) {
	c, _ := newTestCore(t)
	require.True(t, c.backends[0].eligible)
	fleetUpdate{list: registry.List{Backends: []registry.Entry{{ID: "new", Addr: "127.0.0.1:1", State: "Ready"}}}}.handle(c)
	assert.False(t, c.backends[0].eligible, "its address belongs to another backend now")
	assert.True(t, c.backends[1].eligible)
	ended := c.pending[len(c.pending)-1].(gate.FleetUpdate)
	require.Len(t, ended.Entries, 2)
	assert.Equal(t, 0, ended.Entries[1].Backend)
	assert.Equal(t, gate.Gone, ended.Entries[1].Status, "the decider hears of it")
	c.pending = nil
	fleetUpdate{list: registry.List{Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:2", State: "Ready"}}}}.handle(c)
	assert.True(t, c.backends[0].eligible, "it is listed at an address of its own again")
}
