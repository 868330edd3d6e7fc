package procs

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/fleet"
	"github.com/swifthall/swifthall/lab/procs/check"
	"github.com/swifthall/swifthall/members"
)

// Flags for longer runs: go test ./lab/procs -run Stack -v -seeds 5 -doors 30
var (
	seedsWanted = flag.Int("seeds", 1, "number of seeds of each schedule that runs on the whole stack")
	doorsWanted = flag.Int("doors", 12, "number of doors of each schedule that runs on the whole stack")
)

// stack runs a plan with the complete membership drivers over an in-memory network, within a synctest bubble.
type stack struct {
	*Plan
	net       *fleet.Network
	startedAt time.Time
	index     map[string]int
	mu        sync.Mutex
	rng       *rand.Rand
	history   []check.Event
}

// runningDoor is one running door. stop stops it: with byPlan after it has left the fleet, otherwise at once.
type runningDoor struct{ stop func(byPlan bool) }

// starter starts the nth incarnation of door i; on receives each change of the state in which it considers another door.
type starter func(s *stack, i, nth int, on func(about string, from, to string)) runningDoor

func (s *stack) address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1) }

func (s *stack) ms() float64 { return float64(time.Since(s.startedAt)) / 1e6 }

func (s *stack) impairment(from, to string) fleet.Impairment {
	at := s.ms()
	link := s.index[from]*s.Fleet.Doors + s.index[to]
	s.mu.Lock()
	defer s.mu.Unlock()
	f := fleet.Impairment{Delay: time.Duration((s.Net.DelayMs.At(s.rng.Float64()) + amountAt(s.Delay, link, at)*s.rng.Float64()) * 1e6)}
	for i := range s.Truth.Cuts {
		if c := &s.Truth.Cuts[i]; c.Links[link] && at >= c.From && at < c.To {
			f.Lost = true
		}
	}
	f.Lost = f.Lost || s.rng.Float64() < max(s.Net.Loss, amountAt(s.Loss, link, at))
	f.Duplicated = s.rng.Float64() < amountAt(s.Duplicate, link, at)
	if s.rng.Float64() < amountAt(s.Reorder, link, at) {
		f.Delay += time.Duration(reorderDelayMs * 1e6)
	}
	return f
}

// run runs the plan. It returns the history, and the packets and bytes per door and second in the time before the first fault.
func (s *stack) run(start starter) (history []check.Event, packets, bytes float64) {
	s.index, s.net, s.rng = map[string]int{}, fleet.NewNetwork(), rand.New(rand.NewPCG(s.Seed, 9))
	names := map[string]int{}
	for i := range s.Fleet.Doors {
		s.index[s.address(i)], names[Door(i)] = i, i
	}
	s.startedAt = time.Now().Add(time.Duration(joinPhaseMs * 1e6))
	s.net.Impair = s.impairment
	type step struct {
		at float64
		do func()
	}
	var steps []step
	running := make([]*runningDoor, s.Fleet.Doors)
	for i := range s.Fleet.Doors {
		nth := 0
		startDoor := func() {
			s.mu.Lock()
			s.history = append(s.history, check.Event{At: s.ms(), Door: i, About: i, From: "born"})
			s.mu.Unlock()
			nth++
			l := start(s, i, nth, func(about, from, to string) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.history = append(s.history, check.Event{At: s.ms(), Door: i, About: names[about], From: from, To: to})
			})
			running[i] = &l
		}
		stopDoor := func(byPlan bool) func() {
			return func() {
				if l := running[i]; l != nil {
					running[i] = nil
					if byPlan {
						go l.stop(true)
					} else {
						l.stop(false)
					}
				}
			}
		}
		at := -joinPhaseMs + s.rng.Float64()*msPerSecond
		if s.StartMs[i] > 0 {
			at = s.StartMs[i] + s.rng.Float64()*msPerSecond
		}
		steps = append(steps, step{at, startDoor})
		for _, d := range s.Truth.Dead[i] {
			steps = append(steps, step{d.From, stopDoor(false)})
			if d.To < s.Truth.EndMs {
				steps = append(steps, step{d.To, startDoor})
			}
		}
		if s.Truth.LeaveAt[i] < s.Truth.EndMs {
			steps = append(steps, step{s.Truth.LeaveAt[i], stopDoor(true)})
		}
	}
	var before, after fleet.Sent
	sum := func(into *fleet.Sent) func() {
		return func() {
			for i := range s.Fleet.Doors {
				one := s.net.Sent(s.address(i))
				into.Packets, into.Bytes = into.Packets+one.Packets, into.Bytes+one.Bytes
			}
		}
	}
	steps = append(steps, step{-1000, sum(&before)}, step{1900, sum(&after)})
	sort.SliceStable(steps, func(a, b int) bool { return steps[a].at < steps[b].at })
	for _, w := range steps {
		time.Sleep(time.Duration((w.at - s.ms()) * 1e6))
		w.do()
	}
	time.Sleep(time.Duration((s.Truth.EndMs - s.ms()) * 1e6))
	s.mu.Lock()
	history = SortByTime(append([]check.Event(nil), s.history...))
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, l := range running {
		if l != nil {
			group.Go(func() { l.stop(false) })
		}
	}
	group.Wait()
	time.Sleep(time.Minute) // goroutines that the library leaves behind end with their timeouts
	per := 2.9 * float64(s.Fleet.Doors)
	return history, float64(after.Packets-before.Packets) / per, float64(after.Bytes-before.Bytes) / per
}

// startDriver starts the project's membership driver.
func startDriver(s *stack, i, nth int, on func(about, from, to string)) runningDoor {
	t, err := s.net.Listen(s.address(i))
	if err != nil {
		panic(err)
	}
	l := logrus.New()
	l.SetOutput(io.Discard)
	id := fleet.Identity{Fleet: "x", Name: Door(i), Zone: fmt.Sprint("z", s.Truth.Zones[i]), Number: i, JoinInterval: time.Second, LeaveTimeout: 3 * time.Second, Peers: []string{s.address(0), s.address(1), s.address(2)}}
	d, err := fleet.Start(id, t, uint64(i*1000+nth), l, func(c members.Changed) { on(c.Name, c.From.String(), c.To.String()) })
	if err != nil {
		panic(err)
	}
	return runningDoor{func(byPlan bool) {
		if byPlan {
			d.Leave(context.Background())
		}
		d.Close()
	}}
}

// startMemberlist starts memberlist alone, with its default LAN configuration and its own failure detector.
func startMemberlist(s *stack, i, _ int, on func(about, from, to string)) runningDoor {
	t, err := s.net.Listen(s.address(i))
	if err != nil {
		panic(err)
	}
	ip, port, _ := t.FinalAdvertiseAddr("", 0)
	cfg := memberlist.DefaultLANConfig()
	cfg.Name, cfg.Transport, cfg.AdvertiseAddr, cfg.AdvertisePort = Door(i), t, ip.String(), port
	cfg.Logger = log.New(io.Discard, "", 0)
	events := &eventDelegate{on: on, self: Door(i)}
	cfg.Events = events
	m, err := memberlist.Create(cfg)
	if err != nil {
		panic(err)
	}
	done := make(chan struct{})
	go func() { // as its documentation advises: join until some member answers
		for m.NumMembers() < 2 {
			if n, _ := m.Join([]string{s.address(0), s.address(1), s.address(2)}); n > 0 && m.NumMembers() > 1 {
				return
			}
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return runningDoor{func(byPlan bool) {
		close(done)
		if byPlan {
			_ = m.Leave(time.Second)
		}
		_ = m.Shutdown()
	}}
}

// eventDelegate passes on the events of memberlist as changes of state.
type eventDelegate struct {
	on   func(about, from, to string)
	self string
}

func (h *eventDelegate) report(n *memberlist.Node, from, to string) {
	if n.Name != h.self {
		h.on(n.Name, from, to)
	}
}
func (h *eventDelegate) NotifyJoin(n *memberlist.Node) { h.report(n, "away", "here") }
func (h *eventDelegate) NotifyLeave(n *memberlist.Node) {
	to := "away"
	if n.State == memberlist.StateLeft {
		to = "left"
	}
	h.report(n, "here", to)
}
func (h *eventDelegate) NotifyUpdate(*memberlist.Node) {}

// runInBubble runs a plan on a whole stack in virtual time and checks its history.
func runInBubble(t *testing.T, p *Plan, start starter) (b []check.Violation, f check.Figures, packets, bytes float64) {
	synctest.Test(t, func(*testing.T) {
		s := &stack{Plan: p}
		var h []check.Event
		h, packets, bytes = s.run(start)
		b, f = check.Verify(&p.Truth, h, p.checkLimits())
	})
	return b, f, packets, bytes
}

// stackSchedules are the schedules that can run in a synctest bubble, which can't pause a process.
var stackSchedules = []string{"crash", "unheard", "deaf", "half-heard", "pair", "zone-out", "zone-in", "loss", "return", "herd", "split", "start", "leave"}

func TestTheStackKeepsTheSchedules(t *testing.T) {
	for _, name := range stackSchedules {
		for seed := range *seedsWanted {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				p := shortSchedule(t, name, *doorsWanted).Draw(uint64(seed))
				b, f, packets, bytes := runInBubble(t, p, startDriver)
				assert.Empty(t, b)
				t.Logf("%s %d doors: detected %.0f ms, converged %.0f ms, changes %d, falsely away %d, suspected %.0f ms; idle: %.1f packets, %.0f bytes a second", name,
					p.Fleet.Doors, check.Quantile(f.DetectionMs, 99), f.ConvergenceMs, f.VerdictChanges, f.FalseAway, f.SuspicionMs, packets, bytes)
			})
		}
	}
}

func TestMemberlistMissesPartialCutAndDetectsLate(t *testing.T) {
	b, f, _, _ := runInBubble(t, shortSchedule(t, "half-heard", 12).Draw(0), startMemberlist)
	assert.True(t, hasRule(&Result{Violations: b}, check.RulePartialCutSuspected), "%v %v", b, f)
	b, f, _, _ = runInBubble(t, shortSchedule(t, "crash", 12).Draw(0), startMemberlist)
	assert.True(t, hasRule(&Result{Violations: b}, check.RuleDeathsDetected), "%v", b)
	require.NotEmpty(t, f.DetectionMs)
}

// TestLibraryBeside prints the figures of the library alone on the same schedules, for docs/members.md.
func TestLibraryBeside(t *testing.T) {
	if !testing.Verbose() || *seedsWanted == 1 {
		t.Skip("go test ./lab/procs -run LibraryBeside -v -seeds 5")
	}
	for _, name := range stackSchedules {
		for seed := range *seedsWanted {
			p := shortSchedule(t, name, *doorsWanted).Draw(uint64(seed))
			b, f, packets, bytes := runInBubble(t, p, startMemberlist)
			rules := map[string]int{}
			for _, x := range b {
				rules[x.Rule]++
			}
			t.Logf("library, %s %d doors: detected %.0f ms, converged %.0f ms, changes %d, falsely away %d, suspected %.0f ms; idle: %.1f packets, %.0f bytes a second; violated %v",
				name, p.Fleet.Doors, check.Quantile(f.DetectionMs, 99), f.ConvergenceMs, f.VerdictChanges, f.FalseAway, f.SuspicionMs, packets, bytes, rules)
		}
	}
}
