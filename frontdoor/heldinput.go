package frontdoor

import (
	"runtime"

	"github.com/swifthall/swifthall/internal/pool"
)

// Input that a client sends ahead of its answer is held, so that a client may send many requests at once.

// dropBuffered drops the input that is buffered.
func (r *readState) dropBuffered() {
	r.buffered = nil
	r.arrivals.reset()
}

// releaseBuffer returns the buffer if nothing is buffered.
func (r *readState) releaseBuffer() {
	if len(r.buffered) == 0 && r.buf != nil {
		pool.Put(r.buf)
		r.buf, r.buffered = nil, nil
		r.input.release()
	}
}

// readAhead reads while an answer is pending. Input that arrives then is held up to maxHeldInput while there is memory for it, so that a client
// may send many requests at once, and discarded beyond that.
func (cl *client) readAhead(r *readState) bool {
	if !cl.overflowed.Load() && (r.hasRoom() || !cl.writing.Load() && r.growBuffer()) {
		if err := cl.receive(r, r.room()); err != nil {
			return cl.afterReadError(r, err)
		}
		if r.input.resizeRequest(len(r.buf)) {
			return true
		}
	}
	// A client may receive its answer and send its next request before the answer's writer has reported completion. That input
	// follows the answer; treated as preceding it, a large request would end the connection unanswered.
	if cl.writing.Load() {
		<-cl.answerDone
		r.answerWritten(cl)
		return true
	}
	cl.discard(r)
	if r.discarded >= maxDiscarded {
		cl.unobserved.Store(true) // what was read last was sent a moment ago: the system does not hold that much
		<-cl.answerDone
		r.answerWritten(cl)
		return true
	}
	if err := cl.receive(r, pool.Size); err != nil {
		return cl.afterReadError(r, err)
	}
	cl.discard(r)
	runtime.Gosched() // input that never ends must not keep others from running
	return true
}

// room returns how many bytes fit behind what is buffered.
func (r *readState) room() int {
	if r.buf == nil {
		return pool.Size
	}
	return len(r.buf) - len(r.buffered)
}

// hasRoom moves what is buffered to the front of the buffer and reports whether more fits behind it.
func (r *readState) hasRoom() bool {
	if len(r.buffered) > 0 && &r.buffered[0] != &r.buf[0] {
		copy(r.buf, r.buffered)
		r.buffered = r.buf[:len(r.buffered)]
	}
	return r.room() > 0
}

// growBuffer doubles a full buffer and reports whether it did: it has an upper bound, and needs memory.
func (r *readState) growBuffer() bool {
	size := 2 * len(r.buf)
	if size > maxHeldInput || !r.input.resizeRequest(size) {
		return false
	}
	grown := make([]byte, size)
	copy(grown, r.buffered)
	pool.Put(r.buf)
	r.buf, r.buffered = grown, grown[:len(r.buffered)]
	return true
}

// discard drops what is buffered before the pending answer, which is the connection's last then.
func (cl *client) discard(r *readState) {
	cl.discardedAt.store(cl.c.clock.now())
	cl.overflowed.Store(true)
	r.discarded += len(r.buffered)
	r.dropBuffered()
	r.releaseBuffer()
}
