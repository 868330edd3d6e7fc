package outs

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/permits"
)

func machine() Machine { return permits.New() }

// play plays fleets of many sizes side by side and adds them up.
func play(n int, make func() Machine) (sum Result) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := slotsOf(4)
	for i := range n {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r := RestartSimulation{Seed: uint64(i), Doors: []int{10, 20, 40, 100, 300}[min(4, i%20/4)], DurationMs: 60e3, NewMachine: make}.Run()
			mu.Lock()
			defer mu.Unlock()
			sum.Breaches = append(sum.Breaches, r.Breaches...)
			sum.WentOut, sum.Denied, sum.Failed, sum.Commands = sum.WentOut+r.WentOut, sum.Denied+r.Denied, sum.Failed+r.Failed, sum.Commands+r.Commands
		})
	}
	group.Wait()
	return sum
}

func slotsOf(n int) chan struct{} { return make(chan struct{}, n) }

func TestNoFleetHasMoreOutThanItsBudget(t *testing.T) {
	n := 60
	if testing.Verbose() {
		n = 500
	}
	r := play(n, machine)
	assert.Empty(t, r.Breaches)
	assert.Greater(t, r.WentOut, 5*n, "they do go out")
	assert.Greater(t, r.Denied, n)
	t.Logf("%d fleets: %d went out by plan, %d denied, %d failed, %d commands, %d breaches", n, r.WentOut, r.Denied, r.Failed, r.Commands, len(r.Breaches))
}

// leased frees places as time goes by: a planted fault.
type leased struct{ *permits.State }

func (m leased) Apply(c permits.Command) permits.Answer {
	for n, p := range m.Permits {
		if m.NowMs-p.AtMs > p.HoldMs/4 {
			delete(m.Permits, n)
		}
	}
	return m.State.Apply(c)
}

// unfenced frees places of permits that weren't used, and doesn't look at the number of one who comes with it later.
type unfenced struct{ *permits.State }

func (m unfenced) Apply(c permits.Command) permits.Answer {
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

// stale answers what one half of the doors asks by a copy that lags: a leader that was stopped, and goes on to answer.
type stale struct {
	now, old *permits.State
	log      []permits.Command
}

const lag = 200 // commands

func (m *stale) Apply(c permits.Command) permits.Answer {
	a := m.now.Apply(c)
	if m.log = append(m.log, c); len(m.log) > lag {
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

// lax looks at nothing again at the last step.
type lax struct{ *permits.State }

func (m lax) Apply(c permits.Command) permits.Answer {
	if d, is := c.Do.(permits.Confirm); is {
		if p := m.Permits[d.Number]; p != nil {
			p.Stage, p.Incarnation, p.Process = permits.Out, d.Incarnation, d.Process
			return permits.Answer{Number: d.Number}
		}
	}
	return m.State.Apply(c)
}

func rulesOf(r Result) map[string]int {
	n := map[string]int{}
	for _, b := range r.Breaches {
		n[b.Rule]++
	}
	return n
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		make func() Machine
		rule string
	}{
		"a permit freed by time":        {func() Machine { return leased{permits.New()} }, PlannedWithinBudget},
		"a number that nobody looks at": {func() Machine { return unfenced{permits.New()} }, PlannedWithinBudget},
		"a leader that is stale":        {func() Machine { return &stale{now: permits.New(), old: permits.New()} }, PlannedWithinBudget},
		"no look at the last step":      {func() Machine { return lax{permits.New()} }, NoneAfterHalt},
		"failures that nobody counts":   {func() Machine { return blind{permits.New()} }, NoneBeyondBudget},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Positive(t, rulesOf(play(40, c.make))[c.rule])
		})
	}
}

// blind takes whoever was seen once for ready.
type blind struct{ *permits.State }

func (m blind) Apply(c permits.Command) permits.Answer {
	if d, is := c.Do.(permits.RecordSightings); is {
		for i := range d.Sightings {
			if d.Sightings[i].Standing == permits.Failed {
				d.Sightings[i].Standing = permits.Ready
			}
		}
	}
	return m.State.Apply(c)
}
