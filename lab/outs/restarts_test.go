package outs

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/permits"
)

func newMachine() Machine { return permits.New() }

// runRestarts simulates fleets of several sizes in parallel and adds up their results.
func runRestarts(n int, make func() Machine) (sum Result) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := newSlots(4)
	for i := range n {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r := RestartSimulation{Seed: uint64(i), Doors: []int{10, 20, 40, 100, 300}[min(4, i%20/4)], DurationMs: 60e3, NewMachine: make}.Run()
			mu.Lock()
			defer mu.Unlock()
			sum.Violations = append(sum.Violations, r.Violations...)
			sum.WentOut, sum.Denied, sum.Failed, sum.Commands = sum.WentOut+r.WentOut, sum.Denied+r.Denied, sum.Failed+r.Failed, sum.Commands+r.Commands
		})
	}
	group.Wait()
	return sum
}

func newSlots(n int) chan struct{} { return make(chan struct{}, n) }

func TestRestartsStayWithinBudgets(t *testing.T) {
	n := 60
	if testing.Verbose() {
		n = 500
	}
	r := runRestarts(n, newMachine)
	assert.Empty(t, r.Violations)
	assert.Greater(t, r.WentOut, 5*n, "doors go out")
	assert.Greater(t, r.Denied, n)
	t.Logf("%d fleets: %d went out by plan, %d denied, %d failed, %d commands, %d breaches", n, r.WentOut, r.Denied, r.Failed, r.Commands, len(r.Violations))
}

// expiringPermits frees places by timeout: a planted bug.
type expiringPermits struct{ *permits.State }

func (m expiringPermits) Apply(c permits.Command) permits.Answer {
	for n, p := range m.Permits {
		if m.NowMs-p.AtMs > p.HoldMs/4 {
			delete(m.Permits, n)
		}
	}
	return m.State.Apply(c)
}

// unfencedNumbers frees the places of unused permits after 1 s, and accepts a later confirmation by number all the same.
type unfencedNumbers struct{ *permits.State }

func (m unfencedNumbers) Apply(c permits.Command) permits.Answer {
	for n, p := range m.Permits {
		if p.Stage == permits.Granted && m.NowMs-p.AtMs > 1000 {
			delete(m.Permits, n)
		}
	}
	a := m.State.Apply(c)
	if d, is := c.Do.(permits.Confirm); is && a.Err != nil {
		return permits.Answer{Number: d.Number}
	}
	return a
}

// staleLeader answers half of the doors from a copy that lags, as a leader does that was paused, replaced, and goes on answering.
type staleLeader struct {
	now, old *permits.State
	log      []permits.Command
}

const lagCommands = 200 // commands by which the copy lags

func (m *staleLeader) Apply(c permits.Command) permits.Answer {
	a := m.now.Apply(c)
	if m.log = append(m.log, c); len(m.log) > lagCommands {
		m.old.Apply(m.log[0])
		m.log = m.log[1:]
	}
	switch c.Do.(type) {
	case permits.RequestPermit, permits.Confirm:
		if c.Caller[len("door-00")]%2 == 0 {
			c.AtMs, c.Seq = m.old.NowMs, c.Seq+1<<32
			return m.old.Apply(c)
		}
	}
	return a
}

// uncheckedConfirm grants every confirmation without checking anything again.
type uncheckedConfirm struct{ *permits.State }

func (m uncheckedConfirm) Apply(c permits.Command) permits.Answer {
	if d, is := c.Do.(permits.Confirm); is {
		if p := m.Permits[d.Number]; p != nil {
			p.Stage, p.Incarnation, p.Process = permits.Out, d.Incarnation, d.Process
			return permits.Answer{Number: d.Number}
		}
	}
	return m.State.Apply(c)
}

func countByRule(r Result) map[string]int {
	n := map[string]int{}
	for _, b := range r.Violations {
		n[b.Rule]++
	}
	return n
}

func TestPlantedBugsInRestartsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		make func() Machine
		rule string
	}{
		"permit freed by timeout":    {func() Machine { return expiringPermits{permits.New()} }, PlannedWithinBudget},
		"permit number not checked":  {func() Machine { return unfencedNumbers{permits.New()} }, PlannedWithinBudget},
		"stale leader":               {func() Machine { return &staleLeader{now: permits.New(), old: permits.New()} }, PlannedWithinBudget},
		"confirmation without check": {func() Machine { return uncheckedConfirm{permits.New()} }, NoneAfterHalt},
		"failures not counted":       {func() Machine { return ignoredFailures{permits.New()} }, NoneBeyondBudget},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Positive(t, countByRule(runRestarts(40, c.make))[c.rule])
		})
	}
}

// ignoredFailures treats every unit that was ever seen as ready.
type ignoredFailures struct{ *permits.State }

func (m ignoredFailures) Apply(c permits.Command) permits.Answer {
	if d, is := c.Do.(permits.RecordSightings); is {
		for i := range d.Sightings {
			if d.Sightings[i].Standing == permits.Failed {
				d.Sightings[i].Standing = permits.Ready
			}
		}
	}
	return m.State.Apply(c)
}
