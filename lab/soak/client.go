package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	clientGrace        = 2 * time.Second // after a request's deadline and answerGrace, before the client stops waiting
	stalledConnTimeout = 4 * time.Second // how long a client keeps a connection on which it sent half a request
)

// client is one client of a door. It reuses its connection for as long as that stays open.
type client struct {
	rig  *rig
	door *door
	rng  *rand.Rand
	nc   net.Conn
	r    *bufio.Reader
}

// requestCount numbers the requests of all clients.
var requestCount atomic.Uint64

// run sends requests until the run of the rig is over.
func (c *client) run() {
	defer c.disconnect()
	for !c.rig.over() {
		if c.nc == nil && !c.connect() {
			time.Sleep(c.randomDelay(40))
			continue
		}
		c.sendRequest()
		time.Sleep(c.randomDelay(50))
	}
}

// randomDelay returns a random duration of at most ms milliseconds.
func (c *client) randomDelay(ms int) time.Duration {
	return time.Duration(c.rng.IntN(ms+1)) * time.Millisecond
}

func (c *client) connect() bool {
	if !c.door.acceptsClients() {
		return false
	}
	nc, err := c.door.dial()
	if err != nil {
		return false
	}
	c.nc, c.r = nc, bufio.NewReader(nc)
	return true
}

func (c *client) disconnect() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// sendMode is how a client sends one request.
type sendMode int

const (
	sendAtOnce     sendMode = iota
	sendDelayed             // some time after connecting
	sendInTwoParts          // in two parts, with a pause between
	sendAndClose            // whole, and closes before the answer
	sendHalf                // only a part, and keeps the connection open
	sendAndFlood            // whole, with much more behind it, and closes before the answer
	sendAgain               // whole, closes before the answer, and sends the same request again
)

// drawMode draws a mode; the thresholds are cumulative percentages.
func (c *client) drawMode() sendMode {
	switch n := c.rng.IntN(100); {
	case c.rig.delayRequests:
		return sendDelayed
	case n < 70:
		return sendAtOnce
	case n < 82:
		return sendDelayed
	case n < 90:
		return sendInTwoParts
	case n < 95:
		return sendAndClose
	case n < 97:
		return sendHalf
	case n < 98:
		return sendAndFlood
	}
	return sendAgain
}

// sendRequest sends one request in a random mode and records how it ended.
func (c *client) sendRequest() {
	mode := c.drawMode()
	q := c.newRequest()
	text := c.encode(&q)
	half := len(text)
	if mode == sendInTwoParts || mode == sendHalf {
		half = 1 + c.rng.IntN(len(text)-1)
	}
	if mode == sendDelayed {
		c.disconnect()
		if !c.connect() {
			return
		}
		time.Sleep(c.randomDelay(900))
	}
	if closedByPeer(c.nc) {
		c.disconnect()
		return
	}
	q.Began = c.rig.now()
	if half < len(text) {
		if _, err := io.WriteString(c.nc, text[:half]); err != nil {
			c.disconnect()
			return
		}
		if mode == sendHalf {
			c.holdOpen()
			return
		}
		time.Sleep(c.randomDelay(800))
		text = text[half:]
	}
	q.Sent = c.rig.now()
	if _, err := io.WriteString(c.nc, text); err != nil {
		q.End, q.Ended = WriteFailed, c.rig.now()
		c.record(q)
		return
	}
	switch mode {
	case sendAndClose, sendAndFlood, sendAgain:
		if mode == sendAndFlood {
			writeFlood(c.nc, text)
		} else {
			time.Sleep(c.randomDelay(200))
		}
		c.disconnect()
		q.End, q.Ended = ClientClosed, c.rig.now()
	default:
		c.readAnswer(&q)
	}
	if mode == sendAgain {
		c.sendOnceMore(q, text)
		return
	}
	c.record(q)
}

// sendOnceMore records a request whose client closed its connection, and sends it again, with the same id, on a new connection.
func (c *client) sendOnceMore(q Request, text string) {
	time.Sleep(c.randomDelay(400))
	again := Request{ID: q.ID, Door: q.Door, Semantics: q.Semantics, Wait: q.Wait, Began: c.rig.now()}
	again.Sent = again.Began
	q.Until = again.Began
	c.rig.history.addRequest(q)
	if !c.connect() {
		return
	}
	if _, err := io.WriteString(c.nc, text); err != nil {
		again.End, again.Ended = WriteFailed, c.rig.now()
	} else {
		c.readAnswer(&again)
	}
	c.record(again)
}

// closedByPeer reports whether the door has closed a connection: a client does not send a request on a connection that it knows to
// be closed.
func closedByPeer(nc net.Conn) (closed bool) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return closed
}

// record records a request. Unless a complete answer came, the connection is not used again.
func (c *client) record(q Request) {
	c.rig.history.addRequest(q)
	if q.End != Answered {
		c.disconnect()
	}
}

// holdOpen keeps a connection with half a request open until the door closes or answers it, at most for stalledConnTimeout.
func (c *client) holdOpen() {
	c.nc.SetReadDeadline(time.Now().Add(stalledConnTimeout))
	_, _ = c.r.Peek(1)
	c.disconnect()
}

// newRequest draws the semantics and the deadline of a new request.
func (c *client) newRequest() Request {
	maxDeadline := c.rig.history.MaxDeadline
	return Request{ID: fmt.Sprintf("%016x", c.rig.seed<<40|requestCount.Add(1)), Door: c.door.number,
		Semantics: Semantics(c.rng.IntN(3)), Wait: maxDeadline - time.Duration(c.rng.Int64N(int64(maxDeadline)/2))}
}

// encode returns the bytes of a request.
func (c *client) encode(q *Request) string {
	var b strings.Builder
	target := [...]string{Idempotent: "GET /look", Keyed: "POST /book", NonIdempotent: "POST /pay"}[q.Semantics]
	fmt.Fprintf(&b, "%s?key=%016x HTTP/1.1\r\nHost: d\r\nX-Txn: %s\r\nX-Tariff: team\r\nX-Remaining: %dm\r\nX-Weight: units=1,spread=1,first=0\r\n",
		target, c.rng.IntN(100), q.ID, q.Wait.Milliseconds())
	if q.Semantics == Keyed {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.ID)
	}
	if q.Semantics != Idempotent {
		body := strings.Repeat("x", c.rng.IntN(3000))
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return b.String()
	}
	return b.String() + "\r\n"
}

// readAnswer reads the answer to a request and sets how the request ended.
func (c *client) readAnswer(q *Request) {
	until := q.Sent + q.Wait + answerGrace + clientGrace
	c.nc.SetReadDeadline(time.Now().Add(until - c.rig.now()))
	if _, err := c.r.Peek(1); err != nil {
		q.End, q.Ended = ConnClosed, c.rig.now()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			q.End = TimedOut
		}
		return
	}
	res, err := http.ReadResponse(c.r, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	q.End, q.Ended, q.Body = Answered, c.rig.now(), string(body)
	if err != nil {
		q.End = Partial
		return
	}
	if q.Status = res.StatusCode; res.Close {
		c.disconnect()
	}
}
