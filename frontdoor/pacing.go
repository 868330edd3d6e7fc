package frontdoor

import (
	"sync/atomic"
	"time"
)

// A client may send requests that the door answers without a backend (health checks, invalid and refused requests) as fast as it can,
// and would take the processor from all others. Each connection has some of them free; further ones are read at a limited rate, and
// what the client goes on sending waits in the system.
const (
	freeAnswers        = 32                     // such answers that a connection has free; they come back at the limited rate
	minAnswerSpacing   = 10 * time.Millisecond  // between two further ones
	totalAnswerSpacing = 500 * time.Microsecond // between two further ones of all connections together
)

// answerPacer spaces the requests of one connection that are answered without a backend. It is used by the connection's reader.
type answerPacer struct {
	waiting *atomic.Int64 // connections that wait at present, shared by all pacers of a door
	used    float64       // free answers used
	at      time.Time     // when used was last updated
}

// pause waits for as long as the connection has to before its next request is read. It reports whether it waited.
func (p *answerPacer) pause() bool {
	now := time.Now()
	p.used = max(0, p.used-float64(now.Sub(p.at))/float64(minAnswerSpacing)) + 1
	p.at = now
	if p.used <= freeAnswers {
		return false
	}
	spacing := max(minAnswerSpacing, time.Duration(p.waiting.Add(1))*totalAnswerSpacing)
	time.Sleep(spacing)
	p.waiting.Add(-1)
	return true
}
