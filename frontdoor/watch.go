package frontdoor

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/hedge"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/internal/sockio"
)

// silenceJitter is the largest part of Pace.Silence by which chance shortens it, so that the doors that lost discovery at the same
// moment do not call it in step. The rest stays above the 2 s within which discovery sends something.
const silenceJitter = 0.2

// shortened returns ms less a random part, at most limit.
func shortened(ms, limit float64, random *rand.Rand) float64 {
	return ms * (1 - limit*random.Float64())
}

// startWatch starts a watch of the fleet list at an address, in place of the present one.
func (c *core) startWatch(addr string, version int64) {
	if c.cancelWatch != nil {
		c.cancelWatch()
	}
	c.watchNumber++
	var ctx context.Context
	ctx, c.cancelWatch = context.WithCancel(c.background)
	go c.runWatch(ctx, addr, version, c.watchNumber)
}

// runWatch keeps a watch of the fleet list until ctx ends. A call of discovery that breaks, falls silent or brings what cannot be
// read is followed by another, which asks for what has changed since the last list. One that has not begun to be answered is
// repeated, and stays outstanding for as long as it may yet be answered; the first answer counts.
//
// Discovery sends what it knows at once: a door that has waited for the connect timeout becomes ready with the list it was
// configured with.
func (c *core) runWatch(ctx context.Context, addr string, version int64, number int) {
	defer time.AfterFunc(duration(c.cfg.Settings.ConnectTimeout), func() { c.post(discoveryAttempted{}) }).Stop()
	w := newFleetWatch(c, addr, version, number)
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		if call := w.advance(ctx); call != nil {
			calls.Go(func() { w.endCall(call, w.call(call)) })
		}
		w.setTimer(timer)
		select {
		case <-timer.C:
		case <-w.changed:
		case <-ctx.Done():
		}
	}
}

// fleetWatch is the watch of the fleet list at one address, over one call of discovery after another. Its mutex protects what follows it.
type fleetWatch struct {
	core    *core
	addr    string
	number  int
	began   time.Time
	version atomic.Int64  // of the last list
	changed chan struct{} // receives when the schedule has changed

	mu       sync.Mutex
	schedule *hedge.Schedule
	random   *rand.Rand
	calls    map[int]*watchCall // outstanding, and the one that is being answered
	healthy  bool               // the log says that discovery is heard
}

// watchCall is one call of discovery.
type watchCall struct {
	id       int
	ctx      context.Context
	cancel   context.CancelFunc
	answered bool      // it is the call whose answer counts; protected by the watch's mutex
	lastByte time.Time // when something was last received; used by the call's goroutine alone
}

func newFleetWatch(c *core, addr string, version int64, number int) *fleetWatch {
	random, pace := rand.New(rand.NewPCG(c.cfg.Seed, uint64(number))), c.cfg.Pace
	w := &fleetWatch{core: c, addr: addr, number: number, began: time.Now(), changed: make(chan struct{}, 1), random: random, calls: map[int]*watchCall{}, healthy: true,
		schedule: hedge.New(hedge.Config{Connect: duration(c.cfg.Settings.ConnectTimeout), Answer: duration(config.DiscoveryAnswerTime), Wait: duration(pace.FirstByte),
			Recovery: duration(config.MaxDiscoveryDelay), MinPause: duration(pace.Redial), MaxPause: duration(config.MaxRedialFactor * pace.Redial)}, random)}
	w.version.Store(version)
	return w
}

// now returns the schedule's clock.
func (w *fleetWatch) now() time.Duration { return time.Since(w.began) }

// wake has the schedule looked at again.
func (w *fleetWatch) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// advance ends the calls that the schedule gives up, and returns the call that it starts, nil if there is none.
func (w *fleetWatch) advance(ctx context.Context) *watchCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	givenUp, start := w.schedule.Advance(w.now())
	w.cancel(givenUp)
	for range givenUp {
		w.noteFailure(errUnanswered)
	}
	if start == 0 {
		return nil
	}
	call := &watchCall{id: start}
	call.ctx, call.cancel = context.WithCancel(ctx)
	w.calls[start] = call
	return call
}

// setTimer sets a timer to when the schedule is due, if it is.
func (w *fleetWatch) setTimer(timer *time.Timer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, is := w.schedule.Due(); is {
		timer.Reset(at - w.now())
	} else {
		timer.Stop()
	}
}

// cancel ends calls whose answer is not waited for any longer.
func (w *fleetWatch) cancel(ids []int) {
	for _, id := range ids {
		w.calls[id].cancel()
		delete(w.calls, id)
	}
}

// noteFailure counts a call that failed, or a watch that ended, and logs the first one after discovery was heard.
func (w *fleetWatch) noteFailure(err error) {
	w.core.post(watchEnded{})
	if w.healthy {
		w.healthy = false
		w.core.log.WithError(err).Warn("fleet watch ended")
	}
}

// connected reports that a call has its connection.
func (w *fleetWatch) connected(call *watchCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule.Connected(call.id, w.now())
	w.wake()
}

// claim reports whether a call that is being answered is the one whose answer counts, and ends the others if it is.
func (w *fleetWatch) claim(call *watchCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	others, is := w.schedule.Answered(call.id, w.now())
	w.cancel(others)
	call.answered = is
	w.wake()
	return is
}

// received passes on a list. lastReceived is the clock at which a watch had last received anything before it began, ms.
func (w *fleetWatch) received(l registry.List, lastReceived float64) {
	w.version.Store(l.Version)
	w.core.post(fleetUpdate{l, w.number, lastReceived})
	w.core.post(discoveryAttempted{})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule.Succeeded()
	if !w.healthy {
		w.healthy = true
		w.core.log.Info("fleet watch restored")
	}
}

// endCall reports that a call has ended. One that has been cancelled by the watch is not outstanding any longer.
func (w *fleetWatch) endCall(call *watchCall, err error) {
	stopped := call.ctx.Err() != nil
	call.cancel()
	if stopped {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls[call.id] != call {
		return
	}
	delete(w.calls, call.id)
	if call.answered {
		w.schedule.Ended(w.now(), call.lastByte.Sub(w.began))
	} else {
		w.schedule.Failed(call.id, w.now())
	}
	w.noteFailure(err)
	w.wake()
}

// call watches the list over one connection and returns why it ended.
func (w *fleetWatch) call(call *watchCall) error {
	c := w.core
	if !c.budget.acquire(0) {
		return errNoSocket
	}
	defer c.budget.release()
	c.post(discoveryCalled{})
	began := time.Now()
	nc, err := c.dial(call.ctx, w.addr)
	if err != nil {
		return &WatchError{phaseConnecting, time.Since(began), 0, err}
	}
	defer nc.Close()
	defer context.AfterFunc(call.ctx, func() { nc.Close() })()
	w.connected(call)
	buf := pool.Get()
	defer pool.Put(buf)
	if _, err := sockio.Write(nc, registry.AppendWatch(buf, w.addr, w.version.Load()), began.Add(duration(c.cfg.Pace.Silence))); err != nil {
		return &WatchError{phaseUnanswered, time.Since(began), 0, err}
	}
	return w.read(call, nc, buf[:pool.Size])
}

// silence returns for how long a watch may be silent now.
func (w *fleetWatch) silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return duration(shortened(w.core.cfg.Pace.Silence, silenceJitter, w.random))
}

// read reads the answer of a call until it ends or falls silent. Until it begins, the watch decides how long the call waits.
func (w *fleetWatch) read(call *watchCall, nc net.Conn, buf []byte) error {
	var parser registry.Watch
	claimed, hasList := false, false // the answer counts; a list has arrived
	progress := WatchError{Phase: phaseUnanswered}
	call.lastByte = time.Now()
	for {
		n, err := sockio.Read(nc, buf)
		if n > 0 {
			progress.Phase, progress.Received, call.lastByte = phaseAnswered, progress.Received+n, time.Now()
		}
		lastReceived := w.core.listReceivedAt()
		var lists []registry.List
		done, parseErr := parser.Feed(buf[:n], func(l registry.List) { lists = append(lists, l) })
		if !claimed && n > 0 && (parseErr == nil || len(lists) > 0) {
			if claimed = w.claim(call); !claimed {
				return errSuperseded
			}
		}
		for _, l := range lists {
			hasList = true
			w.received(l, lastReceived)
		}
		if hasList && n > 0 && parser.AtBoundary() {
			w.core.listReceived.Store(math.Float64bits(w.core.clock.now()))
		}
		switch {
		case parseErr != nil:
			return parseErr
		case err != nil:
			progress.Waited, progress.Cause = time.Since(call.lastByte), err
			return &progress
		case done:
			return errWatchEnded
		}
		if parser.Stalled() {
			continue // the blank lines of a stream that stops within an object do not keep its watch
		}
		nc.SetReadDeadline(time.Now().Add(w.silence()))
	}
}

// listReceivedAt returns the clock at which a watch that has received a list last received anything, ms; 0 is never.
func (c *core) listReceivedAt() float64 { return math.Float64frombits(c.listReceived.Load()) }
