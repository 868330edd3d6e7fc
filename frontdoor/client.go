package frontdoor

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/pool"
)

// client is one client connection. Its goroutine reads; answers are written by one goroutine each.
type client struct {
	c     *core
	nc    net.Conn
	wrote chan struct{} // an answer has left
	shut  atomic.Bool   // no more requests are wanted on it
	ended atomic.Bool   // its last answer has left, or could not: nothing more is taken from it
	began float64       // clock, ms

	// The owner's.
	op        int // open request; -1 is none
	idleSince float64
	known     bool // has brought a request
}

func newClient(c *core, nc net.Conn) *client {
	now := c.clock.now()
	return &client{c: c, nc: nc, wrote: make(chan struct{}, 1), began: now, op: -1, idleSince: now}
}

// reading is the state of a client connection's goroutine.
type reading struct {
	in      http1.Requests
	first   float64 // clock of the first byte of what is coming, ms
	owed    bool    // an answer may not have left yet
	limited bool    // a read deadline is set
	brought bool    // a request has come
}

func (cl *client) run() {
	var r reading
	buf := pool.Get()[:pool.Size]
	defer func() {
		cl.nc.Close()
		r.in.Drop()
		pool.Put(buf)
		cl.c.budget.put()
		cl.c.post(left{cl})
	}()
	for {
		n, err := cl.nc.Read(buf)
		if n > 0 && !cl.take(&r, buf[:n]) {
			return
		}
		if err != nil && !cl.goOn(&r, err) {
			return
		}
	}
}

// take feeds what came, and tells whether the connection goes on.
func (cl *client) take(r *reading, p []byte) bool {
	at := cl.c.clock.now()
	for len(p) > 0 {
		cl.await(r)          // nothing is gathered ahead: a connection holds one body at a time
		if cl.ended.Load() { // what its client sent behind would run with no way to answer it
			return false
		}
		if !r.in.Begun() {
			r.first = at
		}
		used, whole, err := r.in.Feed(p)
		p = p[used:]
		if err != nil {
			if cl.fault(err, true) {
				cl.drain()
			}
			return false
		}
		if !whole {
			break
		}
		r.brought = true
		if r.limited {
			r.limited = false
			cl.nc.SetReadDeadline(time.Time{})
		}
		if !cl.dispatch(r) {
			return false
		}
	}
	// One that dribbles its request must not keep the connection for ever.
	if r.in.Begun() && !r.limited {
		r.limited = true
		cl.nc.SetReadDeadline(time.Now().Add(span(r.since(cl) + cl.c.cfg.Pace.SlowInput - at)))
	}
	return true
}

// since is the clock from which the time to bring a request counts: its first byte, or the connection's
// beginning for the first one, as its client may have been silent before.
func (r *reading) since(cl *client) float64 {
	if r.brought {
		return r.first
	}
	return cl.began
}

// await waits until the answer to the request before has left: clients get theirs in order.
func (cl *client) await(r *reading) {
	if r.owed {
		<-cl.wrote
		r.owed = false
	}
}

// dispatch passes a whole request on, or answers what is none.
func (cl *client) dispatch(r *reading) bool {
	op, err := r.in.Take()
	if err == nil && (op.Path == http1.ReadyPath || op.Path == http1.LivePath) {
		status := http.StatusOK
		if op.Path == http1.ReadyPath && !cl.c.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		op.Free()
		return cl.say(status, op.Last) && !op.Last
	}
	var ev gate.Request
	if err == nil {
		if ev, err = cl.c.word(op); err != nil {
			op.Free()
		}
	}
	if err != nil {
		return cl.fault(err, op.Last) && !op.Last
	}
	r.owed = true
	cl.c.post(arrived{cl, op, ev, r.first})
	return true
}

// fault answers what is no request.
func (cl *client) fault(err error, last bool) bool {
	status := http.StatusBadRequest
	var f *http1.Fault
	if errors.As(err, &f) {
		status = f.Status
	}
	return cl.say(status, last)
}

func (cl *client) say(status int, last bool) bool {
	return cl.write(http1.AppendAnswer(pool.Get(), status, 0, nil, last))
}

// write sends a whole answer. A client that does not read it is left.
func (cl *client) write(answer []byte) bool {
	cl.nc.SetWriteDeadline(time.Now().Add(span(cl.c.cfg.Pace.SlowInput)))
	_, err := cl.nc.Write(answer)
	pool.Put(answer)
	return err == nil
}

const mostDrained = 32 // buffers

// drain reads on for a while behind an answer to what cannot be read: a connection closed with bytes unread is
// reset, and takes the answer with it. Nothing of what comes is looked at.
func (cl *client) drain() {
	if half, ok := cl.nc.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	cl.nc.SetReadDeadline(time.Now().Add(span(cl.c.cfg.Pace.Linger / 2)))
	buf := pool.Get()[:pool.Size]
	defer pool.Put(buf)
	for range mostDrained {
		if _, err := cl.nc.Read(buf); err != nil {
			return
		}
	}
}

// answer writes a request's answer, and closes the connection behind the last one.
func (cl *client) answer(answer []byte, last bool) {
	if !cl.write(answer) || last {
		cl.ended.Store(true)
		cl.nc.Close()
	}
	cl.wrote <- struct{}{}
}

// goOn tells whether a connection goes on after a read that failed.
func (cl *client) goOn(r *reading, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if r.in.Begun() {
		pace := &cl.c.cfg.Pace
		most := pace.SlowInput
		if cl.shut.Load() {
			most = min(most, pace.Linger) // others wait for its socket
		}
		if rest := r.since(cl) + most - cl.c.clock.now(); rest > 0 {
			r.limited = true
			cl.nc.SetReadDeadline(time.Now().Add(span(rest)))
			return true
		}
		cl.say(http.StatusRequestTimeout, true)
		return false
	}
	select {
	case <-cl.wrote:
		r.owed = false
	default:
	}
	if r.owed || !cl.shut.Load() { // its answer will close it
		cl.nc.SetReadDeadline(time.Time{})
		return true
	}
	return cl.lastLook(r)
}

// lastLook reads once more before an idle connection is closed, so that no request is crossed that has come.
func (cl *client) lastLook(r *reading) bool {
	cl.nc.SetReadDeadline(time.Time{})
	buf := pool.Get()[:pool.Size]
	defer pool.Put(buf)
	n := readNow(cl.nc, buf)
	return n > 0 && cl.take(r, buf[:n])
}

// readNow reads what is there without waiting. A read with a short deadline would not do: held up for that long,
// it never looks.
func readNow(nc net.Conn, p []byte) (n int) {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			raw.Read(func(fd uintptr) bool {
				n, _ = syscall.Read(int(fd), p)
				return true
			})
		}
	}
	return n
}

// close asks an idle connection to end itself; what has come on it is answered first.
func (cl *client) close() {
	cl.shut.Store(true)
	cl.nc.SetReadDeadline(time.Now())
}
