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
	fleetDoors = 300
	goesBad    = 10 * time.Second // from the start
	isBad      = 25 * time.Second
	beat       = 2 * time.Second // of a watch with nothing to say
	bucket     = 100 * time.Millisecond
)

// trouble is what discovery does to calls while it is bad, and to watches that are open when that begins.
type trouble struct {
	dial  func(ctx context.Context) error // nil lets the call through
	taken func(net.Conn)                  // of a call that is let through; nil leaves it unanswered
	open  func(net.Conn)                  // nil leaves them silent
}

// fleetOf plays the fleet, and returns when each door heard of the change that discovery has at its return, and the calls by
// bucket of time.
func fleetOf(t *testing.T, bad trouble) (late []time.Duration, calls map[int]int) {
	cfg := settled()
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
				if bad.taken != nil {
					bad.taken(nc)
				} else {
					io.Copy(io.Discard, nc)
				}
				return
			}
			line := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:3","lifecycle":"Ready"}]}`, v)
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
			for { // until its door ends it, or it falls silent
				time.Sleep(beat)
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
		late = make([]time.Duration, fleetDoors)
		var doors, served sync.WaitGroup
		for i := range fleetDoors {
			log := logrus.New()
			log.SetOutput(io.Discard)
			mine := cfg
			mine.Seed = uint64(i) // as each door has one of its own
			c := newCore(mine, scripted(func(float64, []gate.Event) []gate.Action { return nil }), log)
			c.budget = newBudget(100)
			c.dial = func(ctx context.Context, _ string) (net.Conn, error) {
				mu.Lock()
				calls[int(since()/bucket)]++
				isDown := down
				mu.Unlock()
				if isDown && bad.dial != nil {
					return nil, bad.dial(ctx)
				}
				near, far := net.Pipe()
				served.Go(func() { serve(far) })
				return near, nil
			}
			doors.Go(func() { c.follow(ctx, "discovery", 0, i) })
			doors.Go(func() {
				for {
					select {
					case n := <-c.notes:
						if n, is := n.(listed); is && n.list.Version == 43 && late[i] == 0 {
							late[i] = since() - goesBad - isBad
						}
					case <-ctx.Done():
						return
					}
				}
			})
		}
		time.Sleep(goesBad)
		mu.Lock()
		down = true
		if bad.open != nil {
			for nc := range open {
				served.Go(func() { bad.open(nc) })
			}
		}
		mu.Unlock()
		time.Sleep(isBad)
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

func TestAFleetHearsOfDiscoverysReturnInTimeAndCallsEvenly(t *testing.T) {
	refused := func(context.Context) error { return os.ErrNotExist }
	hangs := func(context.Context) error { // as the system's dialer does
		time.Sleep(250 * time.Millisecond)
		return os.ErrDeadlineExceeded
	}
	for name, bad := range map[string]trouble{
		"refused dials":               {dial: refused, open: func(nc net.Conn) { nc.Close() }},
		"dials that never come up":    {dial: hangs, open: func(nc net.Conn) { nc.Close() }},
		"silent watches, refused":     {dial: refused},
		"taken and never answered":    {open: func(nc net.Conn) { nc.Close() }},
		"silent, then never answered": {},
		"reset amid a line": {taken: func(nc net.Conn) {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"generation\":42,\"res")
		}, open: func(nc net.Conn) {
			io.WriteString(nc, "40\r\n{\"gener")
			nc.Close()
		}},
		"answered with an error": {taken: func(nc net.Conn) { io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") }},
		"answered, then silent": {taken: func(nc net.Conn) {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			io.Copy(io.Discard, nc)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			late, calls := fleetOf(t, bad)
			var worst time.Duration
			for i, l := range late {
				require.NotZero(t, l, "door %d never heard", i)
				worst = max(worst, l)
			}
			sum, most, n := 0, 0, 0
			for b := int((goesBad + isBad/2) / bucket); b < int((goesBad+isBad)/bucket); b++ { // once it has gone on for a while
				sum, most, n = sum+calls[b], max(most, calls[b]), n+1
			}
			mean := float64(sum) / float64(n)
			t.Logf("heard %v late at most; while bad %.1f calls in %v on the mean, %d at most", worst, mean, bucket, most)
			assert.LessOrEqual(t, worst, 6*time.Second)
			assert.LessOrEqual(t, float64(most), max(fleetDoors/4, 2*mean), "they do not come together")
			assert.LessOrEqual(t, mean, fleetDoors/3., "nor all the time: some three calls of a door in a second")
		})
	}
}
