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

// The conducts of a backend.
const (
	Normal    Behavior = iota // answers after some milliseconds
	Slow                      // answers late
	Hangs                     // takes requests and never answers
	Resets                    // resets the connection under a request
	Refuses                   // turns requests away as not run
	Fails                     // answers with an error
	Truncates                 // sends half of an answer and hangs
)

const behaviorCount = 7

// backend is a stand-in for one backend.
type backend struct {
	number   int
	id       string
	addr     string
	behavior atomic.Int32
	rig      *rig
	ln       net.Listener
}

func newBackend(w *rig, number int) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{number: number, id: fmt.Sprintf("s-%d", number), addr: ln.Addr().String(), rig: w, ln: ln}
	go acceptAll(ln, b.serve)
	return b, nil
}

// acceptAll serves each connection of a listener until it is closed.
func acceptAll(ln net.Listener, serve func(net.Conn)) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(nc)
	}
}

func (b *backend) serve(nc net.Conn) {
	defer nc.Close()
	dice := rand.New(rand.NewPCG(b.rig.seed, uint64(b.number)))
	for r := bufio.NewReader(nc); ; {
		if _, err := r.Peek(1); err != nil {
			return
		}
		a := Arrival{Backend: b.number, FirstByte: b.rig.now(), LastByte: Never}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		a.ID = req.Header.Get("X-Txn")
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			b.rig.history.addArrival(a)
			return
		}
		a.LastByte, a.Remaining = b.rig.now(), parseRemaining(req.Header.Get("X-Remaining"))
		how := Behavior(b.behavior.Load())
		a.Refused = how == Refuses
		b.rig.history.addArrival(a)
		if !b.answer(nc, r, how, a.ID, dice) {
			return
		}
	}
}

// answer does with one request as the conduct says, and tells whether the connection goes on.
func (b *backend) answer(nc net.Conn, r *bufio.Reader, how Behavior, id string, dice *rand.Rand) bool {
	between := func(least, most int) { time.Sleep(time.Duration(least+dice.IntN(most-least)) * time.Millisecond) }
	switch how {
	case Hangs:
		_, _ = r.Peek(1) // until the front door gives up
		return false
	case Resets:
		between(1, 30)
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
		between(200, 900)
	default:
		between(3, 30)
	}
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	return err == nil
}

// parseRemaining reads a time as the protocol page words it: a number with m for milliseconds or u for microseconds.
func parseRemaining(text string) time.Duration {
	unit := time.Millisecond
	if strings.HasSuffix(text, "u") {
		unit = time.Microsecond
	}
	var n float64
	_, _ = fmt.Sscanf(strings.TrimRight(text, "mu"), "%g", &n)
	return time.Duration(n * float64(unit))
}
