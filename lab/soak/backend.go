package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
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

// backend is a fake backend that records the requests that it receives.
type backend struct {
	number   int
	id       string
	addr     string
	behavior atomic.Int32
	rig      *rig
	ln       net.Listener
}

func newBackend(r *rig, number int) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{number: number, id: fmt.Sprintf("s-%d", number), addr: ln.Addr().String(), rig: r, ln: ln}
	go acceptAll(ln, b.serve)
	return b, nil
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
func (b *backend) serve(nc net.Conn) {
	defer nc.Close()
	rng := rand.New(rand.NewPCG(b.rig.seed, uint64(b.number)))
	for r := bufio.NewReader(nc); ; {
		if _, err := r.Peek(1); err != nil {
			return
		}
		arrival := Arrival{Backend: b.number, FirstByte: b.rig.now(), LastByte: Never}
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
