package frontdoor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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

// These tests run the watch of one door against a discovery that answers each call late, over pipes and in virtual time. What the
// pages state is the bound: a change is known 6 s after discovery had it and could be reached, 4 s after a reload.

const (
	longestDelay  = 2 * time.Second // that the pages allow to a call (BENCH.md, timeout_ms)
	changeKnownBy = 6 * time.Second
	reloadedBy    = 4 * time.Second
	connectTime   = 250 * time.Millisecond // most that a dial takes
)

// lateDiscovery is a discovery that answers calls after a delay. Open watches hear changes at once, and a blank line every 2 s.
type lateDiscovery struct {
	delay func() time.Duration // of the next call

	mu       sync.Mutex
	calls    int
	version  int
	silent   bool              // calls are accepted and never answered
	lostCall int               // so many of the next calls are never answered
	watches  map[net.Conn]bool // open watches; false if one has fallen silent
}

func newLateDiscovery(delay func() time.Duration) *lateDiscovery {
	return &lateDiscovery{delay: delay, version: 41, watches: map[net.Conn]bool{}}
}

// serve answers one call, and keeps its watch until its connection ends.
func (d *lateDiscovery) serve(nc net.Conn) {
	defer nc.Close()
	if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	lost := d.silent || d.lostCall > 0
	d.lostCall = max(0, d.lostCall-1)
	delay := d.delay()
	d.mu.Unlock()
	time.Sleep(delay)
	d.mu.Lock()
	if lost || d.silent {
		d.mu.Unlock()
		io.Copy(io.Discard, nc)
		return
	}
	d.watches[nc] = true
	_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+d.list())
	d.mu.Unlock()
	for ; err == nil; time.Sleep(heartbeatInterval) {
		d.mu.Lock()
		if d.watches[nc] {
			_, err = io.WriteString(nc, "1\r\n\n\r\n")
		} else {
			d.mu.Unlock()
			io.Copy(io.Discard, nc)
			d.mu.Lock()
			err = io.EOF
		}
		d.mu.Unlock()
	}
	d.mu.Lock()
	delete(d.watches, nc)
	d.mu.Unlock()
}

// list returns the present list as a chunk.
func (d *lateDiscovery) list() string {
	line := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:3","lifecycle":"Ready"}]}`+"\n", d.version)
	return fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
}

// change makes a change. disrupt is called first, with the mutex held; open watches that still speak are told the change.
func (d *lateDiscovery) change(disrupt func()) (version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if disrupt != nil {
		disrupt()
	}
	d.version++
	for nc, speaks := range d.watches {
		if speaks {
			go io.WriteString(nc, d.list())
		}
	}
	return d.version
}

func (d *lateDiscovery) silenceWatches() {
	for nc := range d.watches {
		d.watches[nc] = false
	}
}

func (d *lateDiscovery) resetWatches() {
	for nc := range d.watches {
		nc.Close()
		delete(d.watches, nc)
	}
}

// called returns the number of calls since the last time it was asked.
func (d *lateDiscovery) called() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, d.calls = d.calls, 0
	return n
}

// watchedDoor is the watch of a door, and the versions that it has heard.
type watchedDoor struct {
	core *core
	mu   sync.Mutex
	seen map[int]bool
}

// knows waits until the door has heard a version, and returns how long that took, limit if it had not by then.
func (w *watchedDoor) knows(version int, limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		w.mu.Lock()
		known := w.seen[version]
		w.mu.Unlock()
		if known {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// playLateDiscovery starts a door with the defaults of a real configuration, whose calls to an address go to the discovery there.
func playLateDiscovery(t *testing.T, seed uint64, servers map[string]*lateDiscovery, play func(*watchedDoor)) {
	cfg := testConfig()
	complete, err := config.Read([]byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"fleet_size":1,"profiles":[{"name":"look","aim":1,
		"give_up":2,"semantics":"idempotent"}],"tariffs":[{"name":"team"}],"limits":{"max_attempts":1,"connect_timeout":0.25}}}`), func(string) string { return "" })
	require.NoError(t, err)
	cfg.Pace, cfg.Settings.ConnectTimeout, cfg.Seed, cfg.Discovery = complete.Pace, complete.Settings.ConnectTimeout, seed, "first"
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := newCore(cfg, deciderFunc(func(float64, []gate.Event) []gate.Action { return nil }), log)
		c.budget = newSocketBudget(100)
		var served sync.WaitGroup
		c.dial = func(_ context.Context, addr string) (net.Conn, error) {
			near, far := net.Pipe()
			served.Go(func() { servers[addr].serve(far) })
			return near, nil
		}
		ctx, stop := context.WithCancel(t.Context())
		c.background = ctx
		door := &watchedDoor{core: c, seen: map[int]bool{}}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.startWatch(cfg.Discovery, 0)
			for {
				select {
				case e := <-c.events:
					if u, is := e.(fleetUpdate); is && u.watch == c.watchNumber {
						door.mu.Lock()
						door.seen[int(u.list.Version)] = true
						door.mu.Unlock()
					}
					if r, is := e.(reloadRequest); is {
						r.handle(c)
					}
				case <-ctx.Done():
					return
				}
			}
		}()
		play(door)
		stop()
		<-ended
		time.Sleep(time.Minute) // what ends with the door has ended
		for _, d := range servers {
			d.change(d.resetWatches)
		}
		served.Wait()
	})
}

// lateDelays are how long a discovery takes to answer a call, for each seed.
func lateDelays(seed uint64) map[string]func() time.Duration {
	random := rand.New(rand.NewPCG(seed, 9))
	delays := map[string]func() time.Duration{
		"anything up to 2 s": func() time.Duration { return time.Duration(random.Int64N(int64(longestDelay))) },
		"at once or 2 s":     func() time.Duration { return longestDelay * time.Duration(random.IntN(2)) },
	}
	for _, ms := range []int{0, 300, 500, 750, 1000, 1500, 2000} {
		delays[fmt.Sprint(ms, " ms")] = func() time.Duration { return time.Duration(ms) * time.Millisecond }
	}
	return delays
}

const lateSeeds = 20

// Guards against a door that never hears a discovery which needs a second for each call (review/9): each call was given up before
// its answer, and the next one too.
func TestSlowDiscoveryIsHeardInTime(t *testing.T) {
	for name := range lateDelays(0) {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(lateSeeds) {
				d := newLateDiscovery(lateDelays(seed)[name])
				moved := newLateDiscovery(lateDelays(seed)[name])
				moved.version = 1000
				playLateDiscovery(t, seed, map[string]*lateDiscovery{"first": d, "moved": moved}, func(door *watchedDoor) {
					assert.Less(t, door.knows(41, changeKnownBy), longestDelay+connectTime, "the first list")
					assert.LessOrEqual(t, d.called(), 5, "calls for the first list")
					time.Sleep(5 * time.Second)
					for _, disruption := range []struct {
						name  string
						calls int // most that it may cost
						do    func()
					}{
						{"none", 0, func() {}},
						{"watches are reset", 5, d.resetWatches},
						{"watches fall silent", 5, d.silenceWatches},
						{"watches fall silent, the next call is lost", 6, func() { d.silenceWatches(); d.lostCall = 1 }},
						{"watches are reset, the next two calls are lost", 7, func() { d.resetWatches(); d.lostCall = 2 }},
					} {
						began := time.Now()
						version := d.change(disruption.do)
						took := door.knows(version, 2*changeKnownBy)
						assert.Less(t, took, changeKnownBy, "%s, seed %d", disruption.name, seed)
						time.Sleep(20*time.Second - time.Since(began))
						assert.LessOrEqual(t, d.called(), disruption.calls, "calls after: %s, seed %d", disruption.name, seed)
					}
					for outage := 1 * time.Second; outage < 30*time.Second; outage += 3700 * time.Millisecond {
						d.change(func() { d.silenceWatches(); d.silent = true })
						time.Sleep(outage)
						assert.LessOrEqual(t, float64(d.called()), 2+outage.Seconds()*1.6, "calls to a silent discovery")
						version := d.change(func() { d.silent = false })
						assert.Less(t, door.knows(version, 2*changeKnownBy), changeKnownBy, "an outage of %v, seed %d", outage, seed)
						time.Sleep(10 * time.Second)
						d.called()
					}
					door.core.post(reloadRequest{discovery: "moved"})
					assert.Less(t, door.knows(1000, 2*reloadedBy), reloadedBy, "after a reload")
				})
			}
		})
	}
}

// Guards against a door that gives up every call before its answer, where discovery is slower than the pages say.
func TestDiscoverySlowerThanAnyPageIsHeard(t *testing.T) {
	for _, delay := range []time.Duration{3, 5, 8, 15} {
		d := newLateDiscovery(func() time.Duration { return delay * time.Second })
		playLateDiscovery(t, uint64(delay), map[string]*lateDiscovery{"first": d}, func(door *watchedDoor) {
			assert.Less(t, door.knows(41, time.Minute), 30*time.Second, "%d s", delay)
			version := d.change(nil)
			assert.Less(t, door.knows(version, time.Minute), time.Second, "the watch stays open")
		})
	}
}

// A discovery that answers at once is called once for each watch, however often chance shortens the waits.
func TestHealthyDiscoveryIsCalledOnce(t *testing.T) {
	for seed := range uint64(lateSeeds) {
		d := newLateDiscovery(func() time.Duration { return 20 * time.Millisecond })
		playLateDiscovery(t, seed, map[string]*lateDiscovery{"first": d}, func(door *watchedDoor) {
			time.Sleep(time.Minute)
			assert.Equal(t, 1, d.called())
			for range 5 {
				d.change(d.resetWatches)
				time.Sleep(10 * time.Second)
				assert.Equal(t, 1, d.called())
			}
		})
	}
}
