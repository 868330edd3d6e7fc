package permits

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/release"
)

// Guards against a zone that is said to be drained while a door of it, which a release was changing, stays in service.
func TestZoneIsNotDrainedWhileAReleaseChangesOneOfItsDoors(t *testing.T) {
	s := newSite(8)
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Zone, MaxOut: 1}, {Kind: Door, MaxOut: 2}}})
	c := newTestReleaseAgent(s, 0)
	c.holdPrepare = true
	startRelease(s, "d0")
	c.run(3000)
	require.Len(t, c.applied, 1)
	var taken *TakenError
	require.ErrorAs(t, s.do("op", Drain{Kind: Zone, Name: "z0", Who: "ana"}).Err, &taken)
	assert.Equal(t, "door d0", taken.Unit)
	_, err := s.DryRun(Zone, "z0")
	require.ErrorAs(t, err, &taken)
	assert.Len(t, s.Permits, 1, "whole or not at all")
	c.prepare()
	c.run(3000)
	require.NoError(t, s.do("op", Drain{Kind: Zone, Name: "z0", Who: "ana"}).Err)
}

// Guards against a door of a drained zone that comes back with the end of a drain of its own.
func TestUnitStaysDrainedWithItsZone(t *testing.T) {
	s := newSite(8)
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Zone, MaxOut: 1}, {Kind: Door, MaxOut: 2}}})
	own := s.do("op", Drain{Kind: Door, Name: "d0", Who: "ana"}).Number
	require.NoError(t, s.do("op", Drain{Kind: Zone, Name: "z0", Who: "bea", Why: "power"}).Err)
	require.NoError(t, s.do("op", Undrain{Door, "d0", "ana", ""}).Err)
	assert.False(t, s.Permits[own].Over)
	assert.Equal(t, "z0", s.Permits[own].Of)
	assert.Equal(t, "power", s.Permits[own].Why)
	require.NoError(t, s.do("op", Undrain{Zone, "z0", "bea", ""}).Err)
	for _, p := range s.Permits {
		assert.True(t, p.Over)
	}
}

// orderedSite has doors with their agents and holders, which act as time passes.
type orderedSite struct {
	*site
	now       float64
	doors     []*testDoorAgent
	holders   []*testReleaseAgent
	problems  []string
	undrained bool // an operator has ended the drain of d0 by itself
}

const orderedDoors = 4 // d0 and d2 are in zone z0

func newOrderedSite() *orderedSite {
	o := &orderedSite{site: newSiteWithBackends(orderedDoors)}
	o.do("op", SetBudgets{Budgets: []Budget{{Kind: Zone, MaxOut: 1}, {Kind: Door, MaxOut: 3}, {Kind: Backend, MaxOut: 2}}})
	for i := range orderedDoors {
		o.doors = append(o.doors, newTestDoorAgent(o.site, i))
		o.holders = append(o.holders, newTestReleaseAgent(o.site, i))
		o.holders[i].onSwitch = func() { o.restartDoor(i) }
		o.holders[i].startMs = 1000
	}
	o.run(2000)
	return o
}

// restartDoor replaces a door's process, which serves until it is told otherwise.
func (o *orderedSite) restartDoor(i int) {
	if _, out := o.doors[i].Out(); out {
		o.problems = append(o.problems, fmt.Sprintf("d%d is drained and gets another process", i))
	}
	o.doors[i] = newTestDoorAgent(o.site, i)
	o.doors[i].processes = uint64(o.now)
	o.doors[i].now = o.now
}

func (o *orderedSite) run(ms float64) {
	for end := o.now + ms; o.now < end; o.now += TickEvery {
		for i := range orderedDoors {
			o.doors[i].now, o.holders[i].now = o.now, o.now
			o.doors[i].step(Tick{})
			o.holders[i].step(Tick{})
		}
		for _, r := range o.Release.All {
			if r.Stage == release.Running && o.Release.WaveComplete(r) {
				o.do("leader", release.RecordVerdict{Number: r.Number, Wave: r.Wave, Verdict: release.Verdict{Outcome: release.GoOn}})
			}
		}
	}
}

// check compares what the state says with what the doors do.
func (o *orderedSite) check() []string {
	for _, p := range o.sortedPermits() {
		if p.Unit.Kind != Door || !o.Drained(p) {
			continue
		}
		for i := range orderedDoors {
			if _, out := o.doors[i].Out(); unit(i).Name == p.Unit.Name && !out {
				o.problems = append(o.problems, p.Unit.Name+" is said to be drained and serves")
			}
		}
	}
	for i := range orderedDoors {
		_, out := o.doors[i].Out()
		p := o.permitOf(Door, unit(i).Name)
		if u := unit(i); o.zoneDrainOf(&u) != nil && !(o.undrained && i == 0) && (p == nil || !p.Order || p.Over) {
			o.problems = append(o.problems, fmt.Sprintf("zone %s is drained, and not d%d", u.Zone, i))
		}
		if out && p == nil {
			o.problems = append(o.problems, fmt.Sprintf("d%d is out without a permit", i))
		}
	}
	if r := o.Release.Find("r1"); r != nil { // the latest of that name
		for i, h := range o.holders {
			switch runs := h.runs[release.Configuration]; {
			case r.Stage == release.RolledBack && runs != "":
				o.problems = append(o.problems, fmt.Sprintf("%s is back and runs at d%d", r.Name, i))
			case r.Stage == release.Done && runs != r.Digest:
				o.problems = append(o.problems, fmt.Sprintf("%s is done and does not run at d%d", r.Name, i))
			}
		}
	}
	return o.problems
}

// orders are what operators order, and what happens to a door, by the names of the table in docs/drains.md.
var orders = map[string]func(o *orderedSite) error{
	"drain door":    func(o *orderedSite) error { return o.do("op", Drain{Kind: Door, Name: "d0", Who: "ana"}).Err },
	"drain backend": func(o *orderedSite) error { return o.do("op", Drain{Kind: Backend, Name: "b0", Who: "ana"}).Err },
	"drain zone":    func(o *orderedSite) error { return o.do("op", Drain{Kind: Zone, Name: "z0", Who: "ana"}).Err },
	"undrain door":  func(o *orderedSite) error { o.undrained = true; return o.do("op", Undrain{Door, "d0", "ana", ""}).Err },
	"undrain zone":  func(o *orderedSite) error { return o.do("op", Undrain{Zone, "z0", "ana", ""}).Err },
	"release": func(o *orderedSite) error {
		return o.do("op", release.Start{Plan: release.Plan{Name: "r1", Changes: release.Configuration, Digest: newDigest,
			Waves: []release.Wave{{Count: 1}, {Rest: true}}}, Who: "ana"}).Err
	},
	"release halt": func(o *orderedSite) error {
		return o.do("op", release.Steer{Name: "r1", To: release.ToHalt, Who: "ana"}).Err
	},
	"release back": func(o *orderedSite) error {
		return o.do("op", release.Steer{Name: "r1", To: release.ToBack, Who: "ana"}).Err
	},
	"halt": func(o *orderedSite) error { return o.do("op", Halt{Who: "ana", Why: "x"}).Err },
	"restart": func(o *orderedSite) error {
		o.doors[0] = newTestDoorAgent(o.site, 0)
		o.doors[0].processes = 7
		return nil
	},
}

// Every order is given amid the course of every other one, in the states where that one can be given.
func TestEveryPairOfOrders(t *testing.T) {
	before := map[string][]string{"undrain door": {"drain door"}, "undrain zone": {"drain zone"}, "release halt": {"release"}, "release back": {"release"}}
	for first := range orders {
		for second := range orders {
			for _, gapMs := range []float64{0, 50, 300, 700, 1100, 1500, 3000} {
				t.Run(fmt.Sprintf("%s, %s after %.0f ms", first, second, gapMs), func(t *testing.T) {
					o := newOrderedSite()
					for _, need := range before[first] {
						require.NoError(t, orders[need](o))
						o.run(400)
					}
					require.NoError(t, orders[first](o))
					o.run(gapMs)
					_ = orders[second](o) // may be refused; what holds after it counts
					o.run(30e3)
					assert.Empty(t, o.check())
				})
			}
		}
	}
}
