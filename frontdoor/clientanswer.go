package frontdoor

import (
	"time"

	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/sockio"
)

// answer is the final answer to a request.
type answer struct {
	status     int
	retryAfter float64 // ms; 0 means none
	body       []byte
	last       bool        // the connection closes after it
	memory     memoryLease // of the body
}

// respond writes an answer from the reader itself and reports whether the connection continues.
func (cl *client) respond(r *readState, status int, last bool) bool {
	return cl.respondAfter(r, status, 0, last)
}

// respondAfter is respond with the time in ms after which the client may try again.
func (cl *client) respondAfter(r *readState, status int, retryAfter float64, last bool) bool {
	if !cl.writeAnswer(answer{status: status, retryAfter: retryAfter, last: last}.message()) {
		r.reason = closedWriteFailed
		return false
	}
	if r.finalAnswered = last; last && r.reason == closedByClient {
		r.reason = closedLastAnswer
	}
	return !last
}

const maxAnswerHead = 192 // bytes

// message returns the answer's bytes, of exact size, as a client that does not read them makes the door hold them for a while.
func (a answer) message() []byte {
	return http1.AppendResponse(make([]byte, 0, maxAnswerHead+len(a.body)), a.status, a.retryAfter, a.body, a.last)
}

// writeAnswer writes a complete answer and reports whether it succeeded. It gives up on clients that do not read it.
func (cl *client) writeAnswer(message []byte) bool {
	until := time.Now().Add(duration(cl.c.cfg.Pace.SlowInput))
	cl.nc.SetWriteDeadline(until)
	_, err := sockio.Write(cl.nc, message, until)
	return err == nil
}

// drain closes the sending side after a last answer, and reads and discards input for a while: a connection closed with unread
// input is reset, which can destroy the answer before the client reads it.
func (cl *client) drain(reason closeReason) {
	limit := duration(cl.c.drainTime(reason))
	if limit == 0 {
		return
	}
	if half, ok := cl.nc.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	cl.mu.Lock()
	cl.draining = true
	cl.nc.SetReadDeadline(time.Now().Add(limit))
	cl.mu.Unlock()
	var r readState
	for range maxDrainReads {
		if err := cl.receive(&r, pool.Size); err != nil {
			return
		}
		r.dropBuffered()
		r.releaseBuffer()
	}
}

// answer writes a request's answer. After the last one the reader closes the connection.
func (cl *client) answer(a answer) {
	cl.writing.Store(true)
	message, last := a.message(), a.last
	a.body = nil // the message has a copy of it
	ok := cl.writeAnswer(message)
	a.memory.release()
	if !ok || last {
		cl.writeFailed.Store(!ok)
		cl.finished.Store(true)
		if !ok {
			cl.nc.Close() // draining would be of no use
		}
	}
	cl.answerDone <- struct{}{}
	if cl.finished.Load() || cl.holdsInput.Load() || cl.closeRequested.Load() {
		cl.wake()
	}
}
