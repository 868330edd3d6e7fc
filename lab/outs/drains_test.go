package outs

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/lab/outs/history"
	"github.com/swifthall/swifthall/permits"
)

// linearizable is the rule that package history checks.
const linearizable = "drain history is linearizable"

// Fleet sizes: mostly small by default, all of them with -v.
var (
	allSizes   = []int{10, 20, 40, 100, 300}
	smallSizes = []int{10, 20, 40}
)

func runDrains(n int, sizes []int, make func() ReplicatedState) (sum DrainResult) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := newSlots(4)
	for i := range n {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r := DrainSimulation{Seed: uint64(i), Doors: sizes[i%len(sizes)], Backends: 6, DurationMs: 60e3, NewState: make}.Run()
			if ok, detail := history.Check(backendBudget, r.History, 20*time.Second); !ok {
				r.Violations = append(r.Violations, Violation{linearizable, 0, detail})
			}
			mu.Lock()
			defer mu.Unlock()
			sum.Violations = append(sum.Violations, r.Violations...)
			sum.WentOut, sum.Denied, sum.Failed, sum.Commands = sum.WentOut+r.WentOut, sum.Denied+r.Denied, sum.Failed+r.Failed, sum.Commands+r.Commands
			sum.Drained, sum.Returned, sum.History = sum.Drained+r.Drained, sum.Returned+r.Returned, append(sum.History, r.History...)
		})
	}
	group.Wait()
	return sum
}

func TestDrainsBreakNoRules(t *testing.T) {
	n, sizes := 24, smallSizes
	if testing.Verbose() {
		n, sizes = 500, allSizes
	}
	r := runDrains(n, sizes, func() ReplicatedState { return permits.New() })
	assert.Empty(t, r.Violations)
	assert.Greater(t, r.WentOut, n, "doors go out")
	assert.Greater(t, r.Returned, n, "doors come back")
	assert.Greater(t, r.Drained, n)
	t.Logf("%d fleets: doors went out %d times and came back %d times, %d failed, backends were observed drained %d times, %d drains denied, %d calls about backends, %d commands, %d breaches",
		n, r.WentOut, r.Returned, r.Failed, r.Drained, r.Denied, len(r.History), r.Commands, len(r.Violations))
}

// earlyDrained reports a backend as drained while up to two doors have not confirmed.
type earlyDrained struct{ *permits.State }

func (m earlyDrained) UnconfirmedDoors(p *permits.Permit) []string {
	all := m.State.UnconfirmedDoors(p)
	return all[:max(0, len(all)-2)]
}

// awayCountsAsEnded treats a door that was not seen for 3 s as ended.
type awayCountsAsEnded struct{ *permits.State }

func (m awayCountsAsEnded) UnconfirmedDoors(p *permits.Permit) (all []string) {
	for _, n := range m.State.UnconfirmedDoors(p) {
		if u := m.Units["door/"+n]; u != nil && m.NowMs-u.AtMs < 3000 {
			all = append(all, n)
		}
	}
	return all
}

// expiringDrains deletes a backend's drain after 3 s, and so frees its place.
type expiringDrains struct{ *permits.State }

func (m expiringDrains) Apply(c permits.Command) permits.Answer {
	for n, p := range m.Permits {
		if p.Order && p.Unit.Kind == permits.Backend && m.NowMs-p.AtMs > 3000 {
			delete(m.Permits, n)
		}
	}
	return m.State.Apply(c)
}

// staleReads answers reads with a state up to 4 s old, as a leader does that was paused and has been replaced.
type staleReads struct {
	*permits.State
	was map[uint64]*permits.Permit
	at  float64
}

func (m *staleReads) Places() map[uint64]*permits.Permit {
	if m.NowMs-m.at > 4000 {
		m.at, m.was = m.NowMs, map[uint64]*permits.Permit{}
		for n, p := range m.Permits {
			copied := *p
			m.was[n] = &copied
		}
	}
	return m.was
}

// uncheckedDrainConfirm lets a door go out although its confirmation was refused.
type uncheckedDrainConfirm struct{ *permits.State }

func (m uncheckedDrainConfirm) Apply(c permits.Command) permits.Answer {
	a := m.State.Apply(c)
	if d, is := c.Do.(permits.Confirm); is && a.Err != nil && m.Permits[d.Number] != nil {
		p := m.Permits[d.Number]
		p.Stage, p.Incarnation, p.Process = permits.Out, d.Incarnation, d.Process
		return permits.Answer{Number: d.Number}
	}
	return a
}

func TestPlantedBugsInDrainsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		make func() ReplicatedState
		rule string
	}{
		"drained before all doors confirmed": {func() ReplicatedState { return earlyDrained{permits.New()} }, NoSendsToDrained},
		"door that is away counted as ended": {func() ReplicatedState { return awayCountsAsEnded{permits.New()} }, NoSendsToDrained},
		"backend's place freed by timeout":   {func() ReplicatedState { return expiringDrains{permits.New()} }, linearizable},
		"stale leader answers reads":         {func() ReplicatedState { return &staleReads{State: permits.New()} }, linearizable},
		"drain confirmed without check":      {func() ReplicatedState { return uncheckedDrainConfirm{permits.New()} }, NoneAfterHalt},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Positive(t, countByRule(runDrains(15, smallSizes, c.make).Result)[c.rule])
		})
	}
}
