package frontdoor

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/gate"
)

// lateCounter is a counter that answers each call after a delay, in the order of the calls of a connection.
type lateCounter struct {
	delay time.Duration // 0 is never

	mu     sync.Mutex
	dialed int
	totals map[string]float64
}

// serve answers the calls of one connection.
func (l *lateCounter) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		var words []string
		for range 9 { // the number of words, and four words with their lengths
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			words = append(words, strings.TrimSpace(line))
		}
		l.mu.Lock()
		amount, _ := strconv.ParseFloat(words[6], 64)
		l.totals[words[4]] += amount
		total := fmt.Sprint(l.totals[words[4]])
		l.mu.Unlock()
		if l.delay > 0 {
			time.AfterFunc(l.delay, func() { fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(total), total) })
		}
	}
}

// playLateCounter has a door call a late counter every 200 ms. It returns how many answers the decider got in time, and late.
func playLateCounter(t *testing.T, delay, length time.Duration) (l *lateCounter, onTime, late int) {
	l = &lateCounter{delay: delay, totals: map[string]float64{}}
	synctest.Test(t, func(t *testing.T) {
		var served sync.WaitGroup
		c, _ := newTestCore(t)
		c.background = t.Context()
		c.dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			l.mu.Lock()
			l.dialed++
			l.mu.Unlock()
			served.Go(func() { l.serve(far) })
			return near, nil
		}
		c.useCounter("counter")
		began := time.Now()
		for step := 0; time.Since(began) < length; step++ {
			c.now = c.clock.now()
			if step%20 == 0 {
				c.callCounter(gate.Count{Customer: 0, Epoch: int64(step), Add: 1, TTL: 4000, Call: int64(step)})
			}
			c.timeouts.expireDue(c)
			for more := true; more; {
				select {
				case e := <-c.events:
					e.handle(c)
				default:
					more = false
				}
			}
			for _, e := range c.pending {
				switch e := e.(type) {
				case gate.CountedLate:
					late++
				case gate.Counted:
					if e.Result == gate.Finished {
						onTime++
					}
				}
			}
			c.pending = nil
			time.Sleep(10 * time.Millisecond)
		}
		for _, conn := range append(c.retired, c.counterConns...) {
			conn.stop()
		}
		close(c.done)
		served.Wait()
	})
	return l, onTime, late
}

// Guards against a counter that is never heard because the connection is closed before each answer.
func TestLateCounterIsHeard(t *testing.T) {
	for _, delay := range []time.Duration{50, 300, 1000, 1500, 2000} {
		_, onTime, late := playLateCounter(t, delay*time.Millisecond, 20*time.Second)
		t.Logf("%d ms: %d answers in time, %d late, of 100 calls", delay, onTime, late)
		assert.Greater(t, onTime+late, 5, "%d ms", delay)
	}
}

// A silent counter is dialled at most as often as its stalled connections are replaced.
func TestSilentCounterIsDialledRarely(t *testing.T) {
	l, onTime, late := playLateCounter(t, 0, 20*time.Second)
	assert.Zero(t, onTime+late)
	assert.LessOrEqual(t, l.dialed, counterConnections*(1+20_000/800))
}
