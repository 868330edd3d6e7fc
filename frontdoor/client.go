package frontdoor

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/sockio"
)

// client is one client connection. Its goroutine reads, and ends it; answers are written by one goroutine each.
type client struct {
	c      *core
	id     uint64 // of the connection, counted from the door's start
	nc     net.Conn
	raw    syscall.RawConn // of nc, where it has one
	wrote  chan struct{}   // an answer has left
	shut   atomic.Bool     // no more requests are wanted on it
	ahead  atomic.Bool     // its reader holds bytes that wait for an answer to leave
	spilt  atomic.Bool     // more came ahead of an answer than is held: that answer is the last
	ended  atomic.Bool     // its last answer has left, or could not: nothing more is taken from it
	leaves atomic.Bool     // the answer owed is being written: what comes may come behind it
	failed atomic.Bool     // an answer could not be written
	why    atomic.Uint32   // why no more requests are wanted on it, a closing
	began  float64         // clock, ms
	queued time.Duration   // for which it may have stood in the listener's queue, at most

	mu       sync.Mutex
	woken    bool // the reader is wanted, whatever else it waits for
	draining bool // it reads what is left behind the last answer

	// The owner's.
	op        int // open request; -1 is none
	idleSince float64
	known     bool // has brought a request
}

func newClient(c *core, nc net.Conn) *client {
	now := c.clock.now()
	cl := &client{c: c, id: c.connections.Add(1), nc: nc, wrote: make(chan struct{}, 1), began: now, op: -1, idleSince: now}
	if sc, ok := nc.(syscall.Conn); ok {
		cl.raw, _ = sc.SyscallConn()
	}
	return cl
}

// gone tells whether the client has closed its connection, also where its reader has not come to notice it.
func (cl *client) gone() bool { return cl != nil && cl.raw != nil && sockio.PeerClosed(cl.raw) }

// wake has the reader look at what it waits for, in or before its next read. Its wish and the deadline that carries it are
// one step beside limit, or a deadline that the reader sets just then would take the wish along.
func (cl *client) wake() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.woken = true; !cl.draining { // that has an end of its own, and cut short it would take the answer along
		cl.nc.SetReadDeadline(time.Now())
	}
}

// limit has reads end at a time, the zero one for never, unless the reader has been woken meanwhile.
func (cl *client) limit(at time.Time) {
	cl.mu.Lock()
	if cl.woken {
		at = time.Now()
	}
	cl.nc.SetReadDeadline(at)
	cl.mu.Unlock()
}

// woke takes the wish: its reader is looking.
func (cl *client) woke() {
	cl.mu.Lock()
	cl.woken = false
	cl.mu.Unlock()
}

// reading is the state of a client connection's goroutine.
type reading struct {
	in      http1.RequestReader
	buf     []byte  // of one size
	rest    []byte  // of it, what has come and is not fed yet
	at      float64 // clock at which that came, ms
	first   float64 // clock of the first byte of what is coming, ms
	owed    bool    // an answer may not have left yet
	limited bool    // a read deadline is set
	brought bool    // a request has come
	passed  int     // bytes passed over while an answer is owed
	last    bool    // an answer has left behind which the connection is closed
	why     closing // why the connection ends
}

const (
	unreadLeast = 10 * time.Millisecond // in the listener's queue, from which on it is asked how long bytes stood unread
	mostDrained = 32                    // buffers read behind a last answer
	mostPassed  = 1 << 18               // bytes passed over ahead of an answer; its client is no longer listened to then
)

func (cl *client) run() {
	r := reading{buf: pool.Get()[:pool.Size]}
	defer func() {
		if r.last {
			cl.drain(r.buf)
		}
		cl.nc.Close()
		r.in.Drop()
		pool.Put(r.buf)
		cl.c.budget.put()
		cl.c.post(left{cl, r.why})
	}()
	for cl.step(&r) {
	}
}

// step does the next thing there is to do for a connection, and tells whether it goes on.
func (cl *client) step(r *reading) bool {
	r.settle(cl)
	// What its client sent behind a last answer would run with no way to answer it; behind what was passed over it would
	// be read from somewhere in the middle.
	if cl.ended.Load() || cl.spilt.Load() && !r.owed {
		r.last, r.why = true, closedLastAnswer
		if cl.failed.Load() {
			r.why = closedUnwritten
		}
		return false
	}
	switch {
	case len(r.rest) > 0 && !r.owed: // nothing is fed ahead of an answer: a connection holds one body at a time
		cl.ahead.Store(false)
		return cl.take(r)
	case len(r.rest) > 0 && !cl.ahead.Load():
		cl.ahead.Store(true) // the answer may have left just before: look once more
		return true
	}
	return cl.read(r)
}

// settle notices that the answer owed has left.
func (r *reading) settle(cl *client) {
	select {
	case <-cl.wrote:
		r.left(cl)
	default:
	}
}

func (r *reading) left(cl *client) {
	cl.leaves.Store(false)
	r.owed = false
}

// read reads on, also while an answer is owed: a client that leaves is noticed behind whatever it sent. What comes ahead
// of the answer is held as far as there is room, and then passed over.
func (cl *client) read(r *reading) bool {
	if cl.shut.Load() && !r.owed && len(r.rest) == 0 && !r.in.Begun() {
		return cl.lastLook(r)
	}
	free := r.buf[len(r.rest):]
	if len(r.rest) > 0 && &r.rest[0] != &r.buf[0] {
		copy(r.buf, r.rest)
		r.rest = r.buf[:len(r.rest)]
	}
	if len(free) > 0 {
		n, err := sockio.Read(cl.nc, free)
		if n > 0 {
			r.rest, r.at = r.buf[:len(r.rest)+n], cl.c.clock.now()-cl.unread()
		}
		return err == nil || cl.goOn(r, err)
	}
	// A client may have its answer, and send its next request, before the answer's writer has said that it is written: that is
	// not ahead of it. Taken for so, a large one would end the connection with no answer.
	if cl.leaves.Load() {
		<-cl.wrote
		r.left(cl)
		return true
	}
	cl.spilt.Store(true)
	if r.passed >= mostPassed {
		<-cl.wrote
		r.left(cl)
		return true
	}
	over := pool.Get()[:pool.Size]
	n, err := sockio.Read(cl.nc, over)
	pool.Put(over)
	r.passed += n
	return err == nil || cl.goOn(r, err)
}

// unread is how long, in ms, the first bytes of a connection stood unread: it may have waited in the listener's queue, with its
// client's time running.
func (cl *client) unread() float64 {
	most := cl.queued
	if cl.queued = 0; most < unreadLeast || cl.raw == nil {
		return 0
	}
	return float64(min(most, sockio.LastReceived(cl.raw))) / float64(time.Millisecond)
}

// take feeds what came, up to one whole request, and tells whether the connection goes on.
func (cl *client) take(r *reading) bool {
	if !r.in.Begun() {
		r.first = r.at
	}
	used, whole, err := r.in.Feed(r.rest)
	r.rest = r.rest[used:]
	if err != nil {
		cl.fault(r, err, true)
		return false
	}
	if whole {
		r.brought = true
		if r.limited {
			r.limited = false
			cl.limit(time.Time{})
		}
		return cl.dispatch(r)
	}
	// One that dribbles its request must not keep the connection for ever.
	if r.in.Begun() && !r.limited {
		r.limited = true
		cl.limit(time.Now().Add(span(cl.c.shutdown.Load().Deadline(r.since(cl)+cl.c.cfg.Pace.SlowInput) - r.at)))
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

// dispatch passes a whole request on, or answers what is none.
func (cl *client) dispatch(r *reading) bool {
	op, err := r.in.Take()
	if err == nil && (op.Path == http1.ReadyPath || op.Path == http1.LivePath) {
		status := http.StatusOK
		if op.Path == http1.ReadyPath && !cl.c.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		op.Free()
		return cl.say(r, status, op.Close)
	}
	var ev gate.Request
	if err == nil {
		if ev, err = cl.c.word(op); err != nil {
			op.Free()
		}
	}
	if err != nil {
		return cl.fault(r, err, op.Close)
	}
	r.owed = true
	cl.c.post(arrived{cl, op, ev, r.first})
	return true
}

// fault answers what is no request.
func (cl *client) fault(r *reading, err error, last bool) bool {
	status := http.StatusBadRequest
	var f *http1.RequestError
	if errors.As(err, &f) {
		status = f.Status
	}
	r.why = closedFault
	return cl.say(r, status, last)
}

// say answers from the reader itself, and tells whether the connection goes on.
func (cl *client) say(r *reading, status int, last bool) bool {
	if !cl.write(http1.AppendResponse(pool.Get(), status, 0, nil, last)) {
		r.why = closedUnwritten
		return false
	}
	if r.last = last; last && r.why == closedByClient {
		r.why = closedLastAnswer
	}
	return !last
}

// write sends a whole answer. A client that does not read it is left.
func (cl *client) write(answer []byte) bool {
	until := time.Now().Add(span(cl.c.cfg.Pace.SlowInput))
	cl.nc.SetWriteDeadline(until)
	_, err := sockio.Write(cl.nc, answer, until)
	pool.Put(answer)
	return err == nil
}

// drain ends the sending side behind a last answer and reads on for a while: a connection closed with bytes unread is
// reset, and takes the answer with it. Nothing of what comes is looked at.
func (cl *client) drain(buf []byte) {
	if half, ok := cl.nc.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	cl.mu.Lock()
	cl.draining = true
	cl.nc.SetReadDeadline(time.Now().Add(span(cl.c.cfg.Pace.Linger / 2)))
	cl.mu.Unlock()
	for range mostDrained {
		if _, err := sockio.Read(cl.nc, buf); err != nil {
			return
		}
	}
}

// answer writes a request's answer. Behind the last one the reader ends the connection.
func (cl *client) answer(answer []byte, last bool) {
	cl.leaves.Store(true)
	if well := cl.write(answer); !well || last {
		cl.failed.Store(!well)
		cl.ended.Store(true)
		if !well {
			cl.nc.Close() // there is nothing to save
		}
	}
	cl.wrote <- struct{}{}
	if cl.ended.Load() || cl.ahead.Load() || cl.shut.Load() {
		cl.wake()
	}
}

// goOn tells whether a connection goes on after a read that failed.
func (cl *client) goOn(r *reading, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	cl.woke()
	if r.settle(cl); cl.ended.Load() {
		return true
	}
	if r.in.Begun() && !r.owed && len(r.rest) == 0 {
		pace := &cl.c.cfg.Pace
		most := pace.SlowInput
		if cl.shut.Load() {
			most = min(most, pace.Linger) // others wait for its socket
		}
		if rest := cl.c.shutdown.Load().Deadline(r.since(cl)+most) - cl.c.clock.now(); rest > 0 {
			r.limited = true
			cl.limit(time.Now().Add(span(rest)))
			return true
		}
		r.why = closedSlow
		cl.say(r, http.StatusRequestTimeout, true)
		return false
	}
	cl.limit(time.Time{})
	return true
}

// lastLook reads once more before an idle connection is closed, so that no request is crossed that has come. What comes
// later is never read, and its client is reset: it knows that the request was not taken.
func (cl *client) lastLook(r *reading) bool {
	n := 0
	if cl.raw != nil {
		// A read with a short deadline would not do: held up for that long, it never looks.
		n = sockio.ReadNow(cl.raw, r.buf)
	}
	if n == 0 {
		r.why = closing(cl.why.Load())
		return false
	}
	r.rest, r.at = r.buf[:n], cl.c.clock.now()
	return true
}

// close asks an idle connection to end itself; what has come on it is answered first.
func (cl *client) close(why closing) {
	cl.why.Store(uint32(why))
	cl.shut.Store(true)
	cl.wake()
}
