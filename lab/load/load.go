// Package load is an open-loop load generator: requests start on schedule, whether or not earlier ones have finished, and each
// latency counts from the scheduled start, so that the results of a target that stalls do not suffer from coordinated omission.
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

// Run is one load run at a fixed rate.
type Run struct {
	Target   string             // host:port
	Rate     float64            // requests per second
	Duration time.Duration      // how long requests are sent
	Conns    int                // maximum number of connections; a request that finds none free waits, which counts towards its latency
	Poisson  bool               // exponentially distributed gaps instead of equal ones
	Seed     uint64             // of the random gaps
	Request  func(i int) string // returns the bytes of request i
	Timeout  time.Duration      // from its scheduled start, after which a request counts as failed
	Stop     <-chan struct{}    // closed to end the sending early; may be nil
}

// Outcome is the result of a run. Latencies are µs from the scheduled start, of all requests answered with 200.
type Outcome struct {
	Asked, Finished, Rejected, Failed int
	Elapsed                           time.Duration
	Latency                           *hdrhistogram.Histogram
	MaxLag                            time.Duration // longest delay of the generator itself in handing out a request
}

// Rate returns the number of requests finished per second.
func (o *Outcome) Rate() float64 { return float64(o.Finished) / o.Elapsed.Seconds() }

// At returns a percentile of the latency, q being 0 to 100.
func (o *Outcome) At(q float64) time.Duration {
	return time.Duration(o.Latency.ValueAtQuantile(q)) * time.Microsecond
}

const (
	maxLatencyUs = int64(10 * time.Minute / time.Microsecond) // upper limit of the histograms
	histDigits   = 3                                          // significant digits of the histograms
	maxConns     = 10000
	maxRate      = 1e6  // requests per second
	maxRequests  = 20e6 // per run; the scheduled requests are kept in memory
)

func (r *Run) validate() error {
	switch {
	case !(r.Rate > 0 && r.Rate <= maxRate):
		return &RunError{Parameter: fmt.Sprintf("rate %g", r.Rate), Reason: fmt.Sprintf("must be above 0 and at most %g", maxRate)}
	case r.Duration <= 0:
		return &RunError{Parameter: fmt.Sprintf("length %v", r.Duration), Reason: "must be above 0"}
	case r.Rate*r.Duration.Seconds() > maxRequests:
		return &RunError{Parameter: fmt.Sprintf("rate %g for %v", r.Rate, r.Duration), Reason: fmt.Sprintf("more than %g operations", float64(maxRequests))}
	case r.Conns < 1 || r.Conns > maxConns:
		return &RunError{Parameter: fmt.Sprintf("%d connections", r.Conns), Reason: fmt.Sprintf("must be 1 to %d", maxConns)}
	case r.Timeout <= 0:
		return &RunError{Parameter: fmt.Sprintf("patience %v", r.Timeout), Reason: "must be above 0"}
	}
	if _, _, err := net.SplitHostPort(r.Target); err != nil {
		return &RunError{Parameter: fmt.Sprintf("target %q", r.Target), Cause: err}
	}
	return nil
}

// scheduled is one request and the time at which it should start.
type scheduled struct {
	number int
	start  time.Time
}

// tally counts the outcomes of the requests of one connection.
type tally struct {
	finished, rejected, failed int
	latency                    *hdrhistogram.Histogram
}

// Execute performs the run. It reports the share of the run that is over, 0 to 1, to progress, which may be nil.
func (r *Run) Execute(ctx context.Context, progress func(done float64)) (*Outcome, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	// The buffer holds all requests of the run, so that handing one out never waits for a connection.
	queue := make(chan scheduled, int(r.Rate*r.Duration.Seconds()*1.5)+1000)
	tallies := make([]tally, r.Conns)
	var busy atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	var maxLag time.Duration
	asked := 0
	rng := rand.New(rand.NewPCG(r.Seed, 0))
	at := began
	started := 0
	for at.Sub(began) < r.Duration && ctx.Err() == nil && !r.stopped() {
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		} else {
			maxLag = max(maxLag, -wait)
		}
		// Another connection is opened only while all existing ones are busy.
		if int(busy.Load()) >= started && started < r.Conns {
			t := &tallies[started]
			t.latency = hdrhistogram.New(1, maxLatencyUs, histDigits)
			started++
			group.Go(func() { r.sendAll(ctx, queue, t, &busy) })
		}
		busy.Add(1)
		queue <- scheduled{asked, at}
		asked++
		if gap := 1 / r.Rate; r.Poisson {
			at = at.Add(time.Duration(rng.ExpFloat64() * gap * float64(time.Second)))
		} else {
			at = began.Add(time.Duration(float64(asked) * gap * float64(time.Second)))
		}
		if progress != nil {
			progress(min(1, float64(at.Sub(began))/float64(r.Duration)))
		}
	}
	close(queue)
	group.Wait()
	o := &Outcome{Asked: asked, Elapsed: time.Since(began), Latency: hdrhistogram.New(1, maxLatencyUs, histDigits), MaxLag: maxLag}
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

func (r *Run) stopped() bool {
	select {
	case <-r.Stop:
		return true
	default:
		return false
	}
}

// sendAll sends scheduled requests over one connection, one at a time, and opens it anew once it is closed.
func (r *Run) sendAll(ctx context.Context, queue <-chan scheduled, t *tally, busy *atomic.Int64) {
	var nc net.Conn
	var in *bufio.Reader
	drop := func() {
		if nc != nil {
			nc.Close()
			nc = nil
		}
	}
	defer drop()
	for d := range queue {
		if ctx.Err() != nil {
			busy.Add(-1)
			continue
		}
		status, last, err := 0, false, error(errStaleConn)
		for attempt := 0; attempt < 2 && err != nil; attempt++ {
			used := nc != nil
			if !used {
				if nc, err = net.DialTimeout("tcp", r.Target, r.Timeout); err != nil {
					break
				}
				in = bufio.NewReader(nc)
			}
			status, last, err = r.sendOne(nc, in, d)
			if err != nil {
				drop()
				if !used || !errors.Is(err, errStaleConn) {
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
			_ = t.latency.RecordValue(max(1, min(maxLatencyUs, time.Since(d.start).Microseconds())))
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			t.rejected++
		default:
			t.failed++
		}
		busy.Add(-1)
	}
}

// sendOne sends one request and reads its response; last reports that the connection ends with it.
func (r *Run) sendOne(nc net.Conn, in *bufio.Reader, d scheduled) (status int, last bool, err error) {
	if err := nc.SetDeadline(d.start.Add(r.Timeout)); err != nil {
		return 0, false, err
	}
	if _, err := io.WriteString(nc, r.Request(d.number)); err != nil {
		return 0, false, errStaleConn
	}
	if _, err := in.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return 0, false, err
		}
		return 0, false, errStaleConn
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

// Knee searches for the highest rate that a target sustains.
type Knee struct {
	Run                       // the run of each step; the search starts at its rate
	P99         time.Duration // highest 99th percentile of the latency that a sustained rate may have
	MinFinished float64       // lowest share of finished requests that a sustained rate may have
	Steps       int           // number of bisection steps
}

// Step is the outcome of one rate.
type Step struct {
	Rate  float64
	Holds bool
	*Outcome
}

const (
	kneeGrowth   = 1.5 // factor between rates while they are sustained
	maxKneeSteps = 30  // rates tried before the bisection
)

// holds reports whether the rate of an outcome was sustained. A delay of the generator itself counts against the rate, since it is
// part of the latencies.
func (k *Knee) holds(o *Outcome) bool {
	return float64(o.Finished) >= k.MinFinished*float64(o.Asked) && o.At(99) <= k.P99
}

// Find raises the rate until it is no longer sustained and bisects from there. It reports each step to report, which may be nil, and
// returns the highest rate that was sustained, 0 if none was, and all steps.
func (k *Knee) Find(ctx context.Context, report func(s Step)) (float64, []Step, error) {
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
		if report != nil {
			report(s)
		}
		return s.Holds, nil
	}
	low, high := 0.0, math.Inf(1)
	for rate := k.Rate; len(steps) < maxKneeSteps; rate *= kneeGrowth {
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
