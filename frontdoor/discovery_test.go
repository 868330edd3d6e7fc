package frontdoor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
)

// A fleet of doors' watches and one discovery, over pipes and in virtual time: how late a change is heard, and how many
// calls come at once, whatever failed before.

const (
	fleetSize         = 300
	outageStart       = 10 * time.Second // from the start
	outageLength      = 25 * time.Second
	heartbeatInterval = 2 * time.Second // of a watch with nothing to say
	bucketWidth       = 100 * time.Millisecond
)

// outage is what discovery does to calls while it is bad, and to watches that are open when that begins.
type outage struct {
	dial     func(ctx context.Context) error // nil lets the call through
	accepted func(net.Conn)                  // of a call that is let through; nil leaves it unanswered
	watch    func(net.Conn)                  // nil leaves them silent
}

// simulateFleet plays the fleet, and returns when each door heard of the change that discovery has at its return, and the calls by
// bucket of time.
func simulateFleet(t *testing.T, bad outage) (late []time.Duration, calls map[int]int) {
	cfg := testConfig()
	whole, err := config.Read([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"fleet_size":1,"profiles":[{"name":"look","aim":1,
		"give_up":2,"semantics":"idempotent"}],"tariffs":[{"name":"team"}],"limits":{"max_attempts":1,"connect_timeout":0.25}}}`), func(string) string { return "" })
	require.NoError(t, err)
	cfg.Pace, cfg.Settings.ConnectTimeout = whole.Pace, whole.Settings.ConnectTimeout // as in service
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		since := func() time.Duration { return time.Since(begun) }
		var mu sync.Mutex
		calls = map[int]int{}
		version, down := 41, false
		open := map[net.Conn]bool{}
		serve := func(nc net.Conn) {
			defer nc.Close()
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
				return
			}
			mu.Lock()
			isDown, v := down, version
			open[nc] = true
			mu.Unlock()
			if isDown {
				if bad.accepted != nil {
					bad.accepted(nc)
				} else {
					io.Copy(io.Discard, nc)
				}
				return
			}
			line := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:3","lifecycle":"Ready"}]}`, v)
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
			for { // until its door ends it, or it falls silent
				time.Sleep(heartbeatInterval)
				mu.Lock()
				silent := down || v != version
				mu.Unlock()
				if silent {
					io.Copy(io.Discard, nc)
					return
				}
				if _, err := io.WriteString(nc, "1\r\n\n\r\n"); err != nil {
					return
				}
			}
		}
		ctx, stop := context.WithCancel(t.Context())
		late = make([]time.Duration, fleetSize)
		var doors, served sync.WaitGroup
		for i := range fleetSize {
			log := logrus.New()
			log.SetOutput(io.Discard)
			mine := cfg
			mine.Seed = uint64(i) // as each door has one of its own
			c := newCore(mine, deciderFunc(func(float64, []gate.Event) []gate.Action { return nil }), log)
			c.budget = newSocketBudget(100)
			c.dial = func(ctx context.Context, _ string) (net.Conn, error) {
				mu.Lock()
				calls[int(since()/bucketWidth)]++
				isDown := down
				mu.Unlock()
				if isDown && bad.dial != nil {
					return nil, bad.dial(ctx)
				}
				near, far := net.Pipe()
				served.Go(func() { serve(far) })
				return near, nil
			}
			doors.Go(func() { c.runWatch(ctx, "discovery", 0, i) })
			doors.Go(func() {
				for {
					select {
					case n := <-c.events:
						if n, is := n.(fleetUpdate); is && n.list.Version == 43 && late[i] == 0 {
							late[i] = since() - outageStart - outageLength
						}
					case <-ctx.Done():
						return
					}
				}
			})
		}
		time.Sleep(outageStart)
		mu.Lock()
		down = true
		if bad.watch != nil {
			for nc := range open {
				served.Go(func() { bad.watch(nc) })
			}
		}
		mu.Unlock()
		time.Sleep(outageLength)
		mu.Lock()
		down, version = false, 43
		mu.Unlock()
		time.Sleep(20 * time.Second)
		stop()
		doors.Wait()
		for nc := range open {
			nc.Close()
		}
		served.Wait()
	})
	return late, calls
}

func TestFleetRecoversFromDiscoveryOutageWithoutCallBursts(t *testing.T) {
	refused := func(context.Context) error { return os.ErrNotExist }
	hangs := func(context.Context) error { // as the system's dialer does
		time.Sleep(250 * time.Millisecond)
		return os.ErrDeadlineExceeded
	}
	for name, bad := range map[string]outage{
		"refused dials":               {dial: refused, watch: func(nc net.Conn) { nc.Close() }},
		"dials that never come up":    {dial: hangs, watch: func(nc net.Conn) { nc.Close() }},
		"silent watches, refused":     {dial: refused},
		"taken and never answered":    {watch: func(nc net.Conn) { nc.Close() }},
		"silent, then never answered": {},
		"reset amid a line": {accepted: func(nc net.Conn) {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"generation\":42,\"res")
		}, watch: func(nc net.Conn) {
			io.WriteString(nc, "40\r\n{\"gener")
			nc.Close()
		}},
		"answered with an error": {accepted: func(nc net.Conn) { io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") }},
		"answered, then silent": {accepted: func(nc net.Conn) {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			io.Copy(io.Discard, nc)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			late, calls := simulateFleet(t, bad)
			var worst time.Duration
			for i, l := range late {
				require.NotZero(t, l, "door %d never heard", i)
				worst = max(worst, l)
			}
			sum, most, n := 0, 0, 0
			for b := int((outageStart + outageLength/2) / bucketWidth); b < int((outageStart+outageLength)/bucketWidth); b++ { // once it has gone on for a while
				sum, most, n = sum+calls[b], max(most, calls[b]), n+1
			}
			mean := float64(sum) / float64(n)
			t.Logf("heard %v late at most; while bad %.1f calls in %v on the mean, %d at most", worst, mean, bucketWidth, most)
			assert.LessOrEqual(t, worst, 6*time.Second)
			assert.LessOrEqual(t, float64(most), max(fleetSize/4, 2*mean), "they do not come together")
			assert.LessOrEqual(t, mean, fleetSize/3., "nor all the time: some three calls of a door in a second")
		})
	}
}
