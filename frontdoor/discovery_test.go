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
	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/policy"
)

// These tests run the watches of a fleet of doors against one discovery server, over pipes and in virtual time. They check how long
// after an outage of discovery each door receives a change, and how many calls arrive at the same time, for several kinds of outage.

const (
	fleetSize         = 300
	outageStart       = 10 * time.Second // from the start of the simulation
	outageLength      = 25 * time.Second
	heartbeatInterval = 2 * time.Second // interval at which an open watch sends a blank line
	bucketWidth       = 100 * time.Millisecond
)

// outage is what discovery does to calls during an outage, and to watches that are open when it begins.
type outage struct {
	dial     func(ctx context.Context) error // nil lets the call be established
	accepted func(net.Conn)                  // handles an established call; nil leaves it unanswered
	watch    func(net.Conn)                  // handles a watch that is open; nil leaves it silent
}

// simulateFleet simulates the fleet during an outage. It returns how long after the outage each door received the change that was
// made when it ended, and the number of calls in each bucket of time.
func simulateFleet(t *testing.T, out outage) (delays []time.Duration, calls map[int]int) {
	cfg := testConfig()
	complete, err := config.Read([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"fleet_size":1,"profiles":[{"name":"look","aim":1,
		"give_up":2,"semantics":"idempotent"}],"tariffs":[{"name":"team"}],"limits":{"max_attempts":1,"connect_timeout":0.25}}}`), func(string) string { return "" })
	require.NoError(t, err)
	cfg.Pace, cfg.Settings.ConnectTimeout = complete.Pace, complete.Settings.ConnectTimeout // the defaults of a real configuration
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		elapsed := func() time.Duration { return time.Since(start) }
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
			isOut, v := down, version
			open[nc] = true
			mu.Unlock()
			if isOut {
				if out.accepted != nil {
					out.accepted(nc)
				} else {
					io.Copy(io.Discard, nc)
				}
				return
			}
			line := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:3","lifecycle":"Ready"}]}`, v)
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
			for { // until the door closes the watch, or the watch falls silent
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
		delays = make([]time.Duration, fleetSize)
		var doors, served sync.WaitGroup
		for i := range fleetSize {
			log := logrus.New()
			log.SetOutput(io.Discard)
			doorCfg := cfg
			doorCfg.Seed = uint64(i) // every door has its own seed
			c := newCore(doorCfg, deciderFunc(func(float64, []gate.Event) []gate.Action { return nil }), log)
			c.budget = newSocketBudget(100)
			c.dial = func(ctx context.Context, _ string) (net.Conn, error) {
				mu.Lock()
				calls[int(elapsed()/bucketWidth)]++
				isOut := down
				mu.Unlock()
				if isOut && out.dial != nil {
					return nil, out.dial(ctx)
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
						if update, ok := n.(fleetUpdate); ok && update.list.Version == 43 && delays[i] == 0 {
							delays[i] = elapsed() - outageStart - outageLength
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
		if out.watch != nil {
			for nc := range open {
				served.Go(func() { out.watch(nc) })
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
	return delays, calls
}

func TestFleetRecoversFromDiscoveryOutageWithoutCallBursts(t *testing.T) {
	refused := func(context.Context) error { return os.ErrNotExist }
	hangs := func(context.Context) error { // returns at the connect timeout, as the system's dialer does
		time.Sleep(250 * time.Millisecond)
		return os.ErrDeadlineExceeded
	}
	for name, out := range map[string]outage{
		"refused dials":                  {dial: refused, watch: func(nc net.Conn) { nc.Close() }},
		"dials that time out":            {dial: hangs, watch: func(nc net.Conn) { nc.Close() }},
		"silent watches, refused dials":  {dial: refused},
		"accepted, never answered":       {watch: func(nc net.Conn) { nc.Close() }},
		"silent watches, never answered": {},
		"closed within a line": {accepted: func(nc net.Conn) {
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
			delays, calls := simulateFleet(t, out)
			var worst time.Duration
			for i, l := range delays {
				require.NotZero(t, l, "door %d never received the change", i)
				worst = max(worst, l)
			}
			sum, most, n := 0, 0, 0
			for b := int((outageStart + outageLength/2) / bucketWidth); b < int((outageStart+outageLength)/bucketWidth); b++ { // the second half of the outage
				sum, most, n = sum+calls[b], max(most, calls[b]), n+1
			}
			mean := float64(sum) / float64(n)
			t.Logf("longest delay %v; during the outage %.1f calls per %v on average, %d at most", worst, mean, bucketWidth, most)
			assert.LessOrEqual(t, worst, 6*time.Second)
			assert.LessOrEqual(t, float64(most), max(fleetSize/4, 2*mean), "calls do not arrive in bursts")
			assert.LessOrEqual(t, mean, fleetSize/3., "at most about three calls per door and second")
		})
	}
}

// Guards against a new process that takes clients over from the one before it and sends their requests by the list of its
// configuration, before discovery has answered (review/6).
func TestSharedListenerIsServedOnceDiscoveryHasAnswered(t *testing.T) {
	drained, fresh := make(chan struct{}, 9), make(chan struct{}, 9)
	serve := func(got chan struct{}) func(net.Conn) {
		return func(nc net.Conn) {
			defer nc.Close()
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				got <- struct{}{}
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
			}
		}
	}
	old, next := loopbacktest.Serve(t, serve(drained)), loopbacktest.Serve(t, serve(fresh))
	discovery := loopbacktest.Serve(t, func(nc net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
		line := fmt.Sprintf(`{"generation":43,"reset":true,"instances":[{"instanceId":"old","hostPort":%q,"lifecycle":"Terminating"},`+
			`{"instanceId":"new","hostPort":%q,"lifecycle":"Ready"}]}`, old, next)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		io.Copy(io.Discard, nc)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nc := connect(t, ln.Addr().String())
	_, err = io.WriteString(nc, lookRequest)
	require.NoError(t, err)
	td := newPolicyDoor(t)
	td.cfg.Discovery, td.cfg.Listen = discovery, ln.Addr().String()
	td.cfg.Known = registry.List{Whole: true, Version: 41, Backends: []registry.Entry{{ID: "old", Addr: old, State: "Ready", Weight: 1}}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	door := New(td.cfg, policy.New(td.cfg.Settings.Terms, 1), log)
	door.UseListener(ln.(*net.TCPListener))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- door.Serve(ctx) }()
	assert.Equal(t, http.StatusOK, readResponse(t, nc).Status)
	await(t, fresh, "the request")
	assert.Empty(t, drained, "sent to a backend that drains")
	stop()
	require.NoError(t, await(t, ended, "the end of Serve"))
}
