package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func get(int) string { return "GET / HTTP/1.1\r\nHost: t\r\n\r\n" }

func target(t *testing.T, h http.HandlerFunc) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func TestEveryRequestIsAccountedFor(t *testing.T) {
	var n atomic.Int64
	to := target(t, func(w http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 4 {
		case 0:
			w.WriteHeader(http.StatusTooManyRequests)
		case 1:
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	r := Run{Target: to, Rate: 400, Duration: 500 * time.Millisecond, Conns: 8, Request: get, Timeout: 5 * time.Second, Poisson: true, Seed: 1}
	o, err := r.Execute(context.Background(), nil)
	require.NoError(t, err)
	assert.Equal(t, o.Asked, o.Finished+o.Rejected+o.Failed)
	assert.Equal(t, int64(o.Finished), o.Latency.TotalCount())
	assert.InDelta(t, o.Asked/4, o.Rejected, 2)
	assert.InDelta(t, o.Asked/4, o.Failed, 2)
}

// A target that stalls once holds up all that was due meanwhile, and each of them counts from when it was due.
func TestAStallCountsForAllThatWereDueInIt(t *testing.T) {
	const stall = 400 * time.Millisecond
	var n atomic.Int64
	release := make(chan struct{})
	to := target(t, func(http.ResponseWriter, *http.Request) {
		if n.Add(1) == 1 {
			time.AfterFunc(stall, func() { close(release) })
		}
		<-release
	})
	r := Run{Target: to, Rate: 100, Duration: 300 * time.Millisecond, Conns: 1, Request: get, Timeout: 10 * time.Second}
	o, err := r.Execute(context.Background(), nil)
	require.NoError(t, err)
	require.Equal(t, o.Asked, o.Finished)
	// All 30 were due within the stall, on the one connection that it held up: none of them can have been quick.
	assert.GreaterOrEqual(t, o.Latency.Min(), (stall-300*time.Millisecond).Microseconds()/2)
	assert.GreaterOrEqual(t, o.At(50), stall/3)
}

func TestATargetThatIsNotThereFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	r := Run{Target: ln.Addr().String(), Rate: 50, Duration: 100 * time.Millisecond, Conns: 2, Request: get, Timeout: time.Second}
	o, err := r.Execute(context.Background(), nil)
	require.NoError(t, err)
	assert.Equal(t, o.Asked, o.Failed)
}

func TestAClosedConnectionIsNoFailure(t *testing.T) {
	to := target(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	r := Run{Target: to, Rate: 100, Duration: 300 * time.Millisecond, Conns: 2, Request: get, Timeout: 5 * time.Second}
	o, err := r.Execute(context.Background(), nil)
	require.NoError(t, err)
	assert.Equal(t, o.Asked, o.Finished)
}

// The knee of a target that serves just so many at once lies where its own arithmetic says.
func TestTheKneeIsFoundBetweenWhatHoldsAndWhatDoesNot(t *testing.T) {
	var budget atomic.Int64
	budget.Store(120) // finished in all steps together: later ones are turned away
	to := target(t, func(w http.ResponseWriter, _ *http.Request) {
		if budget.Add(-1) < 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	k := Knee{Run: Run{Target: to, Rate: 100, Duration: 200 * time.Millisecond, Conns: 16, Request: get, Timeout: 5 * time.Second},
		P99: 10 * time.Second, MinFinished: 1, Steps: 2}
	rate, steps, err := k.Find(context.Background(), nil)
	require.NoError(t, err)
	for _, s := range steps {
		assert.Equal(t, s.Holds, s.Finished == s.Asked, "%v", s.Rate)
		if s.Holds {
			assert.LessOrEqual(t, s.Rate, rate)
		}
	}
	assert.False(t, steps[len(steps)-1].Holds)
	assert.GreaterOrEqual(t, rate, 100.0)
}

func TestWhatCannotBeAskedIsSaid(t *testing.T) {
	good := Run{Target: "127.0.0.1:1", Rate: 1, Duration: time.Second, Conns: 1, Request: get, Timeout: time.Second}
	for says, spoil := range map[string]func(*Run){
		"rate": func(r *Run) { r.Rate = 0 }, "length": func(r *Run) { r.Duration = 0 }, "connections": func(r *Run) { r.Conns = 0 },
		"patience": func(r *Run) { r.Timeout = 0 }, "target": func(r *Run) { r.Target = "nowhere" },
	} {
		r := good
		spoil(&r)
		_, err := r.Execute(context.Background(), nil)
		assert.ErrorContains(t, err, says, fmt.Sprint(r.Rate))
	}
}
