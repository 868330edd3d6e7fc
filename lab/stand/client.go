package stand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/trace"
)

// clientConns is the pool of connections to one door, reused as the load balancer in front of it does: one request at a time on
// each, and a new connection when all are busy.
type clientConns struct {
	tb      *testbed
	target  string
	mu      sync.Mutex
	idle    []*conn
	cancels map[int]context.CancelFunc // by id of the try
}

// conn is a connection; reused is set once it has carried a request.
type conn struct {
	nc     net.Conn
	r      *bufio.Reader
	reused bool
}

// dialTimeout limits connecting to a door, and a readiness query.
const dialTimeout = 250 * time.Millisecond

// get removes an idle connection from the pool, or returns nil.
func (c *clientConns) get() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return k
	}
	return nil
}

// put returns a connection to the pool.
func (c *clientConns) put(k *conn) {
	k.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// closeIdle closes the idle connections.
func (c *clientConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.nc.Close()
	}
	c.idle = nil
}

// submit sends a try in the background. It is called on the model's goroutine and does not block.
func (c *clientConns) submit(t *model.Try, req model.WireRequest) {
	ctx, stop := context.WithCancel(c.tb.ctx)
	c.mu.Lock()
	c.cancels[t.ID] = stop
	c.mu.Unlock()
	c.tb.spawn(func() {
		defer func() {
			stop()
			c.mu.Lock()
			delete(c.cancels, t.ID)
			c.mu.Unlock()
		}()
		c.send(ctx, t, req)
	})
}

// clientLeft closes the connection of a try whose client left.
func (c *clientConns) clientLeft(t *model.Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop := c.cancels[t.ID]; stop != nil {
		stop()
	}
}

// send sends one try and reads its answer. If the door closed the idle connection in the meantime, the try is sent again on
// another one.
func (c *clientConns) send(ctx context.Context, t *model.Try, req model.WireRequest) {
	text := requestText(c.target, t, req)
	for {
		k := c.get()
		if k == nil {
			nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.target)
			if err != nil {
				c.tb.post(func() { c.tb.sim.TryNotAccepted(t) })
				return
			}
			k = &conn{nc: nc, r: bufio.NewReader(nc)}
		}
		unwatch := context.AfterFunc(ctx, func() { k.nc.Close() })
		_, err := io.WriteString(k.nc, text)
		if err != nil && k.reused {
			unwatch()
			k.nc.Close()
			continue
		}
		if err != nil {
			unwatch()
			k.nc.Close()
			c.tb.post(func() { c.tb.sim.TryNotAccepted(t) })
			return
		}
		reused := k.reused
		c.tb.post(func() { c.tb.sim.TryAccepted(t) })
		again := c.readAnswer(ctx, t, k, reused)
		unwatch()
		if !again {
			return
		}
	}
}

// readAnswer reads the answer. It returns again if the door closed the connection before it read the try.
func (c *clientConns) readAnswer(ctx context.Context, t *model.Try, k *conn, reused bool) (again bool) {
	if _, err := k.r.Peek(1); err != nil && reused && ctx.Err() == nil {
		k.nc.Close()
		c.tb.post(func() { c.tb.sim.TryNotRead(t) })
		return true
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		k.nc.Close()
		if ctx.Err() == nil {
			c.tb.post(func() { c.tb.sim.TryConnectionLost(t) })
		}
		return false
	}
	answer, retryAfter := trace.Failed, 0.0
	switch resp.StatusCode {
	case http.StatusOK:
		answer = trace.Finished
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		answer = trace.Rejected
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = s * 1000
		}
	}
	if resp.Close {
		k.nc.Close()
	} else {
		c.put(k)
	}
	c.tb.post(func() { c.tb.sim.TryAnswered(t, answer, retryAfter) })
	return false
}

// requestText returns the HTTP request of a try.
func requestText(host string, t *model.Try, req model.WireRequest) string {
	method, headers := http.MethodPost, fmt.Sprintf("Idempotency-Key: %032x\r\nContent-Length: 4\r\n", req.RequestID+1)
	body := "ride"
	if req.Idempotent {
		method, headers, body = http.MethodGet, "", ""
	}
	if req.Retry {
		headers += "X-Resent: 1\r\n"
	}
	return fmt.Sprintf("%s /%s?key=%016x HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Tariff: %s\r\nX-Remaining: %dm\r\n"+
		"X-Weight: units=%g,spread=%d,first=%d\r\n%s\r\n%s", method, req.Class, req.Customer, host, txnID(t.ID), req.Plan, int(req.TTL),
		req.Units, req.Spread, req.FirstDoor, headers, body)
}

// txnID returns the transaction id of a try.
func txnID(try int) string { return fmt.Sprintf("%016x", try+1) }
