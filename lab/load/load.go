// Package load is an open-loop load tool: requests start when they are due, whatever became of those before, and each
// latency counts from the intended start, so that a target that stalls is not spared (coordinated omission).
package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Run is one stretch at a fixed rate.
type Run struct {
	Target   string             // host:port
	Rate     float64            // requests a second
	Duration time.Duration      // of sending
	Conns    int                // connections at most; what finds none free waits, and its latency grows
	Poisson  bool               // random gaps in place of even ones
	Seed     uint64             // of the gaps
	Request  func(i int) string // the bytes of request i
	Timeout  time.Duration      // after which a request counts as failed
	Stop     <-chan struct{}    // closed to have no more requests begin before the time is over; nil for none
}

// Outcome is what came of a run. Latencies are µs from the intended start, of all that was answered 200.
type Outcome struct {
	Asked, Finished, Rejected, Failed int
	Elapsed                           time.Duration
	Latency                           *hdrhistogram.Histogram
	MaxLag                            time.Duration // how late the tool itself was at the worst in handing out a request
}

// Rate is what was finished a second.
func (o *Outcome) Rate() float64 { return float64(o.Finished) / o.Elapsed.Seconds() }

// At is a quantile of the latency.
func (o *Outcome) At(q float64) time.Duration {
	return time.Duration(o.Latency.ValueAtQuantile(q)) * time.Microsecond
}

const (
	histMost   = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
	mostConns  = 10000
	mostRate   = 1e6
	mostAsked  = 20e6 // requests of a run; what is due is kept in memory
)

func (r *Run) check() error {
	switch {
	case !(r.Rate > 0 && r.Rate <= mostRate):
		return &RunError{Parameter: fmt.Sprintf("rate %g", r.Rate), Reason: fmt.Sprintf("above 0 and up to %g is wanted", mostRate)}
	case r.Duration <= 0:
		return &RunError{Parameter: fmt.Sprintf("length %v", r.Duration), Reason: "above 0 is wanted"}
	case r.Rate*r.Duration.Seconds() > mostAsked:
		return &RunError{Parameter: fmt.Sprintf("rate %g for %v", r.Rate, r.Duration), Reason: fmt.Sprintf("over %g operations", float64(mostAsked))}
	case r.Conns < 1 || r.Conns > mostConns:
		return &RunError{Parameter: fmt.Sprintf("%d connections", r.Conns), Reason: fmt.Sprintf("1 to %d are wanted", mostConns)}
	case r.Timeout <= 0:
		return &RunError{Parameter: fmt.Sprintf("patience %v", r.Timeout), Reason: "above 0 is wanted"}
	}
	if _, _, err := net.SplitHostPort(r.Target); err != nil {
		return &RunError{Parameter: fmt.Sprintf("target %q", r.Target), Cause: err}
	}
	return nil
}

// due is one request and when it is meant to start.
type due struct {
	number int
	at     time.Time
}

// tally is one connection's part of the outcome.
type tally struct {
	finished, rejected, failed int
	latency                    *hdrhistogram.Histogram
}

// Execute plays the run. progress hears how much of it is over, 0 to 1.
func (r *Run) Execute(ctx context.Context, progress func(done float64)) (*Outcome, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	// All that will be due fits in, so that handing out never waits for a connection.
	dues := make(chan due, int(r.Rate*r.Duration.Seconds()*1.5)+1000)
	tallies := make([]tally, r.Conns)
	var busy atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	var behind time.Duration
	asked := 0
	dice := rand.New(rand.NewPCG(r.Seed, 0))
	at := began
	started := 0
	for at.Sub(began) < r.Duration && ctx.Err() == nil && !r.enough() {
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		} else {
			behind = max(behind, -wait)
		}
		// A connection more is opened only while all that there are are busy.
		if int(busy.Load()) >= started && started < r.Conns {
			t := &tallies[started]
			t.latency = hdrhistogram.New(1, histMost, histDigits)
			started++
			group.Go(func() { r.carry(ctx, dues, t, &busy) })
		}
		busy.Add(1)
		dues <- due{asked, at}
		asked++
		if gap := 1 / r.Rate; r.Poisson {
			at = at.Add(time.Duration(dice.ExpFloat64() * gap * float64(time.Second)))
		} else {
			at = began.Add(time.Duration(float64(asked) * gap * float64(time.Second)))
		}
		if progress != nil {
			progress(min(1, float64(at.Sub(began))/float64(r.Duration)))
		}
	}
	close(dues)
	group.Wait()
	o := &Outcome{Asked: asked, Elapsed: time.Since(began), Latency: hdrhistogram.New(1, histMost, histDigits), MaxLag: behind}
	for i := range tallies[:started] {
		t := &tallies[i]
		o.Finished, o.Rejected, o.Failed = o.Finished+t.finished, o.Rejected+t.rejected, o.Failed+t.failed
		o.Latency.Merge(t.latency)
	}
	if err := ctx.Err(); err != nil {
		return o, &StoppedError{err}
	}
	return o, nil
}

func (r *Run) enough() bool {
	select {
	case <-r.Stop:
		return true
	default:
		return false
	}
}

// carry takes requests over one connection, one at a time.
func (r *Run) carry(ctx context.Context, dues <-chan due, t *tally, busy *atomic.Int64) {
	var nc net.Conn
	var in *bufio.Reader
	drop := func() {
		if nc != nil {
			nc.Close()
			nc = nil
		}
	}
	defer drop()
	for d := range dues {
		if ctx.Err() != nil {
			busy.Add(-1)
			continue
		}
		status, last, err := 0, false, error(errCrossed)
		for attempt := 0; attempt < 2 && err != nil; attempt++ {
			used := nc != nil
			if !used {
				if nc, err = net.DialTimeout("tcp", r.Target, r.Timeout); err != nil {
					break
				}
				in = bufio.NewReader(nc)
			}
			status, last, err = r.one(nc, in, d)
			if err != nil {
				drop()
				if !used || !errors.Is(err, errCrossed) {
					break
				}
			}
		}
		if err == nil && last {
			drop()
		}
		switch {
		case err != nil:
			t.failed++
		case status == http.StatusOK:
			t.finished++
			_ = t.latency.RecordValue(max(1, min(histMost, time.Since(d.at).Microseconds())))
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			t.rejected++
		default:
			t.failed++
		}
		busy.Add(-1)
	}
}

func (r *Run) one(nc net.Conn, in *bufio.Reader, d due) (status int, last bool, err error) {
	if err := nc.SetDeadline(d.at.Add(r.Timeout)); err != nil {
		return 0, false, err
	}
	if _, err := io.WriteString(nc, r.Request(d.number)); err != nil {
		return 0, false, errCrossed
	}
	if _, err := in.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return 0, false, err
		}
		return 0, false, errCrossed
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, err
	}
	return resp.StatusCode, resp.Close, nil
}

// Knee searches the highest rate at which a run holds.
type Knee struct {
	Run                       // of one step; its rate is where the search begins
	P99         time.Duration // latency that a rate must keep
	MinFinished float64       // share of the requests that must be finished
	Steps       int           // of the bisection
}

// Step is one rate that was tried.
type Step struct {
	Rate  float64
	Holds bool
	*Outcome
}

const (
	kneeGrowth = 1.5 // factor from one rate to the next while they hold
	kneeMost   = 30  // rates tried on the way up
)

// holds tells whether an outcome is good enough. A run in which the tool itself was late says nothing good of a rate.
func (k *Knee) holds(o *Outcome) bool {
	return float64(o.Finished) >= k.MinFinished*float64(o.Asked) && o.At(99) <= k.P99
}

// Find raises the rate until it no longer holds, and halves the gap from there. It returns the highest rate that held, 0
// if none did, and all that was tried.
func (k *Knee) Find(ctx context.Context, tell func(s Step)) (float64, []Step, error) {
	var steps []Step
	try := func(rate float64) (bool, error) {
		r := k.Run
		r.Rate = rate
		o, err := r.Execute(ctx, nil)
		if err != nil {
			return false, err
		}
		s := Step{rate, k.holds(o), o}
		steps = append(steps, s)
		if tell != nil {
			tell(s)
		}
		return s.Holds, nil
	}
	low, high := 0.0, math.Inf(1)
	for rate := k.Rate; len(steps) < kneeMost; rate *= kneeGrowth {
		holds, err := try(rate)
		if err != nil {
			return low, steps, err
		}
		if !holds {
			high = rate
			break
		}
		low = rate
	}
	if math.IsInf(high, 1) {
		return low, steps, nil
	}
	for range k.Steps {
		mid := (low + high) / 2
		holds, err := try(mid)
		if err != nil {
			return low, steps, err
		}
		if holds {
			low = mid
		} else {
			high = mid
		}
	}
	return low, steps, nil
}
