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

// clients keeps connections to one door, as the front does: one request at a time on each, more when all are busy.
type clients struct {
	f    *fleet
	to   string
	mu   sync.Mutex
	idle []*conn
	out  map[int]context.CancelFunc // by try
}

type conn struct {
	nc   net.Conn
	r    *bufio.Reader
	used bool
}

const dialPatience = 250 * time.Millisecond

func (c *clients) take() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return k
	}
	return nil
}

func (c *clients) put(k *conn) {
	k.used = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

func (c *clients) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.nc.Close()
	}
	c.idle = nil
}

// submit sends a try. The world's goroutine calls it and is not kept waiting.
func (c *clients) submit(t *model.Try, word model.Wording) {
	ctx, stop := context.WithCancel(c.f.ctx)
	c.mu.Lock()
	c.out[t.ID] = stop
	c.mu.Unlock()
	c.f.later(func() {
		defer func() {
			stop()
			c.mu.Lock()
			delete(c.out, t.ID)
			c.mu.Unlock()
		}()
		c.ask(ctx, t, word)
	})
}

// leave closes the connection of a try whose client has gone.
func (c *clients) leave(t *model.Try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop := c.out[t.ID]; stop != nil {
		stop()
	}
}

// ask carries one try. One that crosses the door's closing of an idle connection is sent once more.
func (c *clients) ask(ctx context.Context, t *model.Try, word model.Wording) {
	text := wording(c.to, t, word)
	for {
		k := c.take()
		if k == nil {
			nc, err := (&net.Dialer{Timeout: dialPatience}).DialContext(ctx, "tcp", c.to)
			if err != nil {
				c.f.post(func() { c.f.w.NotReached(t) })
				return
			}
			k = &conn{nc: nc, r: bufio.NewReader(nc)}
		}
		unwatch := context.AfterFunc(ctx, func() { k.nc.Close() })
		_, err := io.WriteString(k.nc, text)
		if err != nil && k.used {
			unwatch()
			k.nc.Close()
			continue
		}
		if err != nil {
			unwatch()
			k.nc.Close()
			c.f.post(func() { c.f.w.NotReached(t) })
			return
		}
		used := k.used
		c.f.post(func() { c.f.w.Taken(t) })
		again := c.hear(ctx, t, k, used)
		unwatch()
		if !again {
			return
		}
	}
}

// hear reads the answer; again means that the connection had been closed before the try came.
func (c *clients) hear(ctx context.Context, t *model.Try, k *conn, used bool) (again bool) {
	if _, err := k.r.Peek(1); err != nil && used && ctx.Err() == nil {
		k.nc.Close()
		c.f.post(func() { c.f.w.Crossed(t) })
		return true
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		k.nc.Close()
		if ctx.Err() == nil {
			c.f.post(func() { c.f.w.Broken(t) })
		}
		return false
	}
	a, wait := trace.Failed, 0.0
	switch resp.StatusCode {
	case http.StatusOK:
		a = trace.Finished
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a = trace.Rejected
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			wait = s * 1000
		}
	}
	if resp.Close {
		k.nc.Close()
	} else {
		c.put(k)
	}
	c.f.post(func() { c.f.w.Answered(t, a, wait) })
	return false
}

// wording words a try.
func wording(to string, t *model.Try, w model.Wording) string {
	method, rest := http.MethodPost, fmt.Sprintf("Idempotency-Key: %032x\r\nContent-Length: 4\r\n", w.Want+1)
	body := "ride"
	if w.Idempotent {
		method, rest, body = http.MethodGet, "", ""
	}
	if w.Repeat {
		rest += "X-Resent: 1\r\n"
	}
	return fmt.Sprintf("%s /%s?key=%016x HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Tariff: %s\r\nX-Remaining: %dm\r\n"+
		"X-Weight: units=%g,spread=%d,first=%d\r\n%s\r\n%s", method, w.Class, w.Customer, to, txn(t.ID), w.Plan, int(w.TTL),
		w.Units, w.Spread, w.First, rest, body)
}

func txn(try int) string { return fmt.Sprintf("%016x", try+1) }
