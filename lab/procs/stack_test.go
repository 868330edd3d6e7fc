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

// A long run of all: go test ./lab/procs -run Stack -v -seeds 5 -doors 30,100
var (
	seedsWanted = flag.Int("seeds", 1, "seeds of each schedule played on the whole stack")
	doorsWanted = flag.Int("doors", 12, "doors of each schedule played on the whole stack")
)

// stack plays a plan with whole drivers over a network in memory, within a bubble of virtual time.
type stack struct {
	*Plan
	net   *fleet.Network
	began time.Time
	index map[string]int
	mu    sync.Mutex
	dice  *rand.Rand
	hist  []check.Event
}

// life is one running door; end stops it at once, or by plan.
type life struct{ end func(byPlan bool) }

// starter starts a door's life; on hears what it holds of others.
type starter func(s *stack, i, nth int, on func(about string, from, to string)) life

func (s *stack) address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1) }

func (s *stack) ms() float64 { return float64(time.Since(s.began)) / 1e6 }

func (s *stack) way(from, to string) fleet.Impairment {
	at := s.ms()
	way := s.index[from]*s.Fleet.Doors + s.index[to]
	s.mu.Lock()
	defer s.mu.Unlock()
	f := fleet.Impairment{Delay: time.Duration((s.Net.DelayMs.At(s.dice.Float64()) + in(s.Delay, way, at)*s.dice.Float64()) * 1e6)}
	for i := range s.Truth.Cuts {
		if c := &s.Truth.Cuts[i]; c.Way[way] && at >= c.From && at < c.To {
			f.Lost = true
		}
	}
	f.Lost = f.Lost || s.dice.Float64() < max(s.Net.Loss, in(s.Loss, way, at))
	f.Duplicated = s.dice.Float64() < in(s.Twice, way, at)
	if s.dice.Float64() < in(s.Late, way, at) {
		f.Delay += time.Duration(lateBy * 1e6)
	}
	return f
}

// play plays the plan and returns the history, and messages and bytes a second of a door on the quiet day before the first fault.
func (s *stack) play(start starter) (history []check.Event, packets, bytes float64) {
	s.index, s.net, s.dice = map[string]int{}, fleet.NewNetwork(), rand.New(rand.NewPCG(s.Seed, 9))
	names := map[string]int{}
	for i := range s.Fleet.Doors {
		s.index[s.address(i)], names[Door(i)] = i, i
	}
	s.began = time.Now().Add(time.Duration(warmup * 1e6))
	s.net.Impair = s.way
	type what struct {
		at float64
		do func()
	}
	var todo []what
	lives := make([]*life, s.Fleet.Doors)
	for i := range s.Fleet.Doors {
		nth := 0
		begin := func() {
			s.mu.Lock()
			s.hist = append(s.hist, check.Event{At: s.ms(), Door: i, About: i, From: "born"})
			s.mu.Unlock()
			nth++
			l := start(s, i, nth, func(about, from, to string) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.hist = append(s.hist, check.Event{At: s.ms(), Door: i, About: names[about], From: from, To: to})
			})
			lives[i] = &l
		}
		end := func(byPlan bool) func() {
			return func() {
				if l := lives[i]; l != nil {
					lives[i] = nil
					if byPlan {
						go l.end(true)
					} else {
						l.end(false)
					}
				}
			}
		}
		at := -warmup + s.dice.Float64()*msPerSecond
		if s.Start[i] > 0 {
			at = s.Start[i] + s.dice.Float64()*msPerSecond
		}
		todo = append(todo, what{at, begin})
		for _, d := range s.Truth.Dead[i] {
			todo = append(todo, what{d.From, end(false)})
			if d.To < s.Truth.EndMs {
				todo = append(todo, what{d.To, begin})
			}
		}
		if s.Truth.Left[i] < s.Truth.EndMs {
			todo = append(todo, what{s.Truth.Left[i], end(true)})
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
	todo = append(todo, what{-1000, sum(&before)}, what{1900, sum(&after)})
	sort.SliceStable(todo, func(a, b int) bool { return todo[a].at < todo[b].at })
	for _, w := range todo {
		time.Sleep(time.Duration((w.at - s.ms()) * 1e6))
		w.do()
	}
	time.Sleep(time.Duration((s.Truth.EndMs - s.ms()) * 1e6))
	s.mu.Lock()
	history = Sorted(append([]check.Event(nil), s.hist...))
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, l := range lives {
		if l != nil {
			group.Go(func() { l.end(false) })
		}
	}
	group.Wait()
	time.Sleep(time.Minute) // what the library leaves behind ends with its time-outs
	per := 2.9 * float64(s.Fleet.Doors)
	return history, float64(after.Packets-before.Packets) / per, float64(after.Bytes-before.Bytes) / per
}

// driven starts the project's driver.
func driven(s *stack, i, nth int, on func(about, from, to string)) life {
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
	return life{func(byPlan bool) {
		if byPlan {
			d.Leave(context.Background())
		}
		d.Close()
	}}
}

// library starts memberlist alone with its own defaults for a LAN: its verdicts are its own.
func library(s *stack, i, _ int, on func(about, from, to string)) life {
	t, err := s.net.Listen(s.address(i))
	if err != nil {
		panic(err)
	}
	ip, port, _ := t.FinalAdvertiseAddr("", 0)
	cfg := memberlist.DefaultLANConfig()
	cfg.Name, cfg.Transport, cfg.AdvertiseAddr, cfg.AdvertisePort = Door(i), t, ip.String(), port
	cfg.Logger = log.New(io.Discard, "", 0)
	events := &heard{on: on, self: Door(i)}
	cfg.Events = events
	m, err := memberlist.Create(cfg)
	if err != nil {
		panic(err)
	}
	done := make(chan struct{})
	go func() { // as its pages tell: join until somebody answers
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
	return life{func(byPlan bool) {
		close(done)
		if byPlan {
			_ = m.Leave(time.Second)
		}
		_ = m.Shutdown()
	}}
}

type heard struct {
	on   func(about, from, to string)
	self string
}

func (h *heard) tell(n *memberlist.Node, from, to string) {
	if n.Name != h.self {
		h.on(n.Name, from, to)
	}
}
func (h *heard) NotifyJoin(n *memberlist.Node) { h.tell(n, "away", "here") }
func (h *heard) NotifyLeave(n *memberlist.Node) {
	to := "away"
	if n.State == memberlist.StateLeft {
		to = "left"
	}
	h.tell(n, "here", to)
}
func (h *heard) NotifyUpdate(*memberlist.Node) {}

// bubbled plays a plan on a whole stack in virtual time and judges it.
func bubbled(t *testing.T, p *Plan, start starter) (b []check.Breach, f check.Figures, packets, bytes float64) {
	synctest.Test(t, func(*testing.T) {
		s := &stack{Plan: p}
		var h []check.Event
		h, packets, bytes = s.play(start)
		b, f = check.Judge(&p.Truth, h, p.Limits())
	})
	return b, f, packets, bytes
}

// onStack are the schedules that a bubble can play: it can't stop a process.
var onStack = []string{"crash", "unheard", "deaf", "half-heard", "pair", "zone-out", "zone-in", "loss", "return", "herd", "split", "start", "leave"}

func TestTheStackKeepsTheSchedules(t *testing.T) {
	for _, name := range onStack {
		for seed := range *seedsWanted {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				p := small(t, name, *doorsWanted).Draw(uint64(seed))
				b, f, packets, bytes := bubbled(t, p, driven)
				assert.Empty(t, b)
				t.Logf("%s %d doors: known %.0f ms, one view %.0f ms, changes %d, wrong %d, doubt %.0f; quiet: %.1f packets, %.0f bytes a second", name,
					p.Fleet.Doors, check.Quantile(f.DetectionMs, 99), f.ConvergenceMs, f.VerdictChanges, f.FalseAway, f.SuspicionMs, packets, bytes)
			})
		}
	}
}

func TestTheLibrarysOwnDetectorIsBlindToHalfACutAndLate(t *testing.T) {
	b, f, _, _ := bubbled(t, small(t, "half-heard", 12).Draw(0), library)
	assert.True(t, hasRule(&Result{Violations: b}, check.Doubted), "%v %v", b, f)
	b, f, _, _ = bubbled(t, small(t, "crash", 12).Draw(0), library)
	assert.True(t, hasRule(&Result{Violations: b}, check.Known), "%v", b)
	require.NotEmpty(t, f.DetectionMs)
}

// TestLibraryBeside prints what the library alone does on the same schedules, for docs/members.md.
func TestLibraryBeside(t *testing.T) {
	if !testing.Verbose() || *seedsWanted == 1 {
		t.Skip("go test ./lab/procs -run LibraryBeside -v -seeds 5")
	}
	for _, name := range onStack {
		for seed := range *seedsWanted {
			p := small(t, name, *doorsWanted).Draw(uint64(seed))
			b, f, packets, bytes := bubbled(t, p, library)
			rules := map[string]int{}
			for _, x := range b {
				rules[x.Rule]++
			}
			t.Logf("library, %s %d doors: known %.0f ms, one view %.0f ms, changes %d, wrong %d, doubt %.0f; quiet: %.1f packets, %.0f bytes a second; broken %v",
				name, p.Fleet.Doors, check.Quantile(f.DetectionMs, 99), f.ConvergenceMs, f.VerdictChanges, f.FalseAway, f.SuspicionMs, packets, bytes, rules)
		}
	}
}
