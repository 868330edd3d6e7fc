package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behavior is how a backend treats requests.
type Behavior int32

// The behaviors of a backend.
const (
	Normal    Behavior = iota // answers after a few milliseconds
	Slow                      // answers late
	Hangs                     // accepts requests and never answers
	Resets                    // resets the connection after reading a request
	Refuses                   // refuses requests without running them
	Fails                     // answers with an error
	Truncates                 // sends half of an answer, then nothing more
)

// behaviorCount is the number of behaviors.
const behaviorCount = 7

// backend is an address at which fake backend processes follow each other. They record the requests that they receive.
type backend struct {
	number   int
	addr     string
	behavior atomic.Int32
	rig      *rig

	mu        sync.Mutex
	processes int // processes so far
	process   *process
}

// process is one backend process.
type process struct {
	id, zone string
	started  int64 // Unix ms; 0 is long ago
	ln       net.Listener
	conns    map[net.Conn]bool
}

// zones are the zones of the backends.
var zones = []string{"a", "b"}

func newBackend(r *rig, number int) (*backend, error) {
	b := &backend{number: number, addr: "127.0.0.1:0", rig: r}
	if _, err := b.start(0); err != nil {
		return nil, err
	}
	b.addr = b.process.ln.Addr().String()
	return b, nil
}

// start starts a process, of another id and zone than the one before it.
func (b *backend) start(started int64) (*process, error) {
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &process{id: fmt.Sprintf("s-%d-%d", b.number, b.processes), zone: zones[(b.number+b.processes)%len(zones)], started: started, ln: ln, conns: map[net.Conn]bool{}}
	b.processes++
	b.process = p
	b.rig.addBackendID(p.id, b.number)
	go acceptAll(ln, func(nc net.Conn) { b.serve(nc, p) })
	return p, nil
}

// replace ends the process, which resets its connections, and starts another one at its address at once. It returns both, or nil if
// the address could not be had again.
func (b *backend) replace() (ended, started *process) {
	b.mu.Lock()
	ended = b.process
	ended.ln.Close()
	for nc := range ended.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	b.mu.Unlock()
	started, err := b.start(time.Now().UnixMilli())
	if err != nil {
		return nil, nil
	}
	return ended, started
}

// close ends the process for good.
func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process != nil {
		b.process.ln.Close()
	}
}

// track adds a connection to those of a process, or removes it.
func (b *backend) track(p *process, nc net.Conn, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if open {
		p.conns[nc] = true
	} else {
		delete(p.conns, nc)
	}
}

// acceptAll serves each connection in its own goroutine until the listener is closed.
func acceptAll(ln net.Listener, serve func(net.Conn)) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(nc)
	}
}

// serve answers the requests of one connection and records the arrival of each.
func (b *backend) serve(nc net.Conn, p *process) {
	b.track(p, nc, true)
	defer b.track(p, nc, false)
	defer nc.Close()
	rng := rand.New(rand.NewPCG(b.rig.seed, uint64(b.number)))
	for r := bufio.NewReader(nc); ; {
		if _, err := r.Peek(1); err != nil {
			return
		}
		arrival := Arrival{Backend: b.number, FirstByte: b.rig.now(), LastByte: Never, Zone: p.zone}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		arrival.ID = req.Header.Get("X-Txn")
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			b.rig.history.addArrival(arrival)
			return
		}
		arrival.LastByte, arrival.Remaining = b.rig.now(), parseRemaining(req.Header.Get("X-Remaining"))
		behavior := Behavior(b.behavior.Load())
		arrival.Refused = behavior == Refuses
		b.rig.history.addArrival(arrival)
		if !b.answer(nc, r, behavior, arrival.ID, rng) {
			return
		}
	}
}

// answer treats one request according to a behavior, and reports whether the connection stays open.
func (b *backend) answer(nc net.Conn, r *bufio.Reader, behavior Behavior, id string, rng *rand.Rand) bool {
	sleepBetween := func(minMs, maxMs int) { time.Sleep(time.Duration(minMs+rng.IntN(maxMs-minMs)) * time.Millisecond) }
	switch behavior {
	case Hangs:
		_, _ = r.Peek(1) // blocks until the front door closes the connection
		return false
	case Resets:
		sleepBetween(1, 30)
		_ = nc.(*net.TCPConn).SetLinger(0)
		return false
	case Refuses:
		_, err := io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case Fails:
		_, err := io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case Truncates:
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id[:len(id)/2])
		_, _ = r.Peek(1)
		return false
	case Slow:
		sleepBetween(200, 900)
	default:
		sleepBetween(3, 30)
	}
	body := id
	if strings.HasPrefix(id, largeAnswerID) {
		body = strings.Repeat("x", largeBody)
	}
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// parseRemaining parses a duration in the form of the protocol: a number with the suffix m for milliseconds or u for
// microseconds.
func parseRemaining(text string) time.Duration {
	unit := time.Millisecond
	if strings.HasSuffix(text, "u") {
		unit = time.Microsecond
	}
	var n float64
	_, _ = fmt.Sscanf(strings.TrimRight(text, "mu"), "%g", &n)
	return time.Duration(n * float64(unit))
}
