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
	clientGrace        = 2 * time.Second // behind a request's deadline and the time in which a late answer counts
	stalledConnTimeout = 4 * time.Second
)

// client is one client of a door. It keeps its connection, and uses it for as long as it stays open.
type client struct {
	rig  *rig
	door *door
	rng  *rand.Rand
	nc   net.Conn
	r    *bufio.Reader
}

var requestCount atomic.Uint64

// run asks until the day is over.
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

// sendMode is how a client brings one request.
type sendMode int

const (
	sendAtOnce     sendMode = iota
	sendDelayed             // some time after its connection came up
	sendInTwoParts          // in two pieces
	sendAndClose            // and closes before its answer
	sendHalf                // in the middle of it, and stays
)

// drawMode picks a manner by its share of the requests, in percent.
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
	case n < 98:
		return sendAndClose
	}
	return sendHalf
}

// sendRequest brings one request in a manner drawn.
func (c *client) sendRequest() {
	how := c.drawMode()
	q := c.newRequest()
	text := c.encode(&q)
	half := len(text)
	if how == sendInTwoParts || how == sendHalf {
		half = 1 + c.rng.IntN(len(text)-1)
	}
	if how == sendDelayed {
		c.disconnect()
		if !c.connect() {
			return
		}
		time.Sleep(c.randomDelay(900))
	}
	if c.closedByDoor() {
		c.disconnect()
		return
	}
	q.Began = c.rig.now()
	if half < len(text) {
		if _, err := io.WriteString(c.nc, text[:half]); err != nil {
			c.disconnect()
			return
		}
		if how == sendHalf {
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
	if how == sendAndClose {
		time.Sleep(c.randomDelay(200))
		c.disconnect()
		q.End, q.Ended = ClientClosed, c.rig.now()
		c.rig.history.addRequest(q)
		return
	}
	c.readAnswer(&q)
	c.record(q)
}

// closedByDoor tells whether the door has closedByDoor the connection: a client doesn't begin a request on one that it knows to be closed.
func (c *client) closedByDoor() (is bool) {
	raw, err := c.nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		is = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return is
}

// record records a request; a connection that did not carry a whole answer is not used again.
func (c *client) record(q Request) {
	c.rig.history.addRequest(q)
	if q.End != Answered {
		c.disconnect()
	}
}

// holdOpen keeps a connection on which half a request was written, until it is closed or answered.
func (c *client) holdOpen() {
	c.nc.SetReadDeadline(time.Now().Add(stalledConnTimeout))
	_, _ = c.r.Peek(1)
	c.disconnect()
}

// newRequest draws what to ask for.
func (c *client) newRequest() Request {
	longest := c.rig.history.MaxDeadline
	return Request{ID: fmt.Sprintf("%016x", c.rig.seed<<40|requestCount.Add(1)), Door: c.door.number,
		Semantics: Semantics(c.rng.IntN(3)), Wait: longest - time.Duration(c.rng.Int64N(int64(longest)/2))}
}

func (c *client) encode(q *Request) string {
	var b strings.Builder
	what := [...]string{Idempotent: "GET /look", Keyed: "POST /book", NonIdempotent: "POST /pay"}[q.Semantics]
	fmt.Fprintf(&b, "%s?key=%016x HTTP/1.1\r\nHost: d\r\nX-Txn: %s\r\nX-Tariff: team\r\nX-Remaining: %dm\r\nX-Weight: units=1,spread=1,first=0\r\n",
		what, c.rng.IntN(100), q.ID, q.Wait.Milliseconds())
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

// readAnswer reads the readAnswer to a request, and records how that ended.
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
