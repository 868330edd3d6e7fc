package permits

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/release"
)

var newDigest = strings.Repeat("ab", 32)

// changing is a changer in the test's hands: its posts go to a state at once, and what it takes succeeds or not.
type changing struct {
	*Changer
	s    *site
	now  float64
	took []ApplyRelease
	bad  string
	i    int
	life uint64
}

func change(s *site, i int) *changing {
	return &changing{Changer: NewReleaseAgent(unit(i).Name, uint64(i), release.Versions{}, nil), s: s, i: i, life: 1}
}

func (c *changing) step(e any) {
	for todo := c.Step(c.now, e); len(todo) > 0; todo = todo[1:] {
		switch a := todo[0].(type) {
		case Post:
			if a.HolderReport == nil {
				todo = append(todo, c.Step(c.now, Answered{a.Seq, c.s.Apply(Command{Caller: a.Caller, Seq: a.Seq, AtMs: c.now, Do: a.Do})})...)
				continue
			}
			for _, do := range c.s.HolderCommands(a.HolderReport) {
				c.s.Apply(Command{Caller: a.Caller, Seq: a.Seq, AtMs: c.now, Do: do})
			}
			todo = append(todo, c.Step(c.now, AssignmentReceived{a.Seq, c.s.Assignment(c.door)})...)
		case ApplyRelease:
			c.took = append(c.took, a)
			runs, failed := release.Versions{}, map[string]string{}
			if c.bad != "" {
				failed[a.Digest] = c.bad
			}
			if c.bad == "" {
				runs[a.Changes] = a.Digest
				c.life++
				c.s.seen(c.i, Ready, c.life) // its next process
			}
			todo = append(todo, c.Step(c.now, VersionsChanged{runs, failed})...)
		}
	}
}

func (c *changing) run(ms float64) {
	for end := c.now + ms; c.now < end; c.now += TickEvery {
		c.step(Tick{})
	}
}

func started(s *site, doors ...string) uint64 {
	return s.do("op", release.Start{Plan: release.Plan{Name: "r1", Changes: release.Configuration, Digest: newDigest, Doors: doors,
		Waves: []release.Wave{{Count: 1}, {Rest: true}}}, Who: "ana"}).Number
}

func TestADoorChangesByAReleaseWithAPermit(t *testing.T) {
	s := newSite(8)
	c := change(s, 0)
	c.run(2000)
	assert.Empty(t, c.took)
	require.NotZero(t, started(s, "d0"))
	c.run(3000)
	require.Len(t, c.took, 1)
	assert.Equal(t, newDigest, s.Release.Runs["d0"][release.Configuration])
	assert.Empty(t, s.Permits, "its next process is ready")
	require.NoError(t, s.do("op", release.Steer{Name: "r1", To: release.ToBack, Who: "ana"}).Err)
	c.run(3000)
	require.Len(t, c.took, 2)
	assert.Equal(t, release.RolledBack, s.Release.Find("r1").Stage)
}

func TestWhatADoorCantTakeGivesItsPlaceBack(t *testing.T) {
	s := newSite(8)
	c := change(s, 0)
	c.bad = "key settings: missing"
	started(s, "d0")
	c.run(4000)
	require.Len(t, c.took, 1, "once")
	assert.Empty(t, s.Permits)
	r := s.Release.Find("r1")
	assert.Equal(t, release.RolledBack, r.Stage)
	assert.Equal(t, c.bad, r.Failed["d0"])
}

func TestAHaltedReleaseLetsNobodyChange(t *testing.T) {
	s := newSite(8)
	started(s, "d0")
	n := s.Release.Find("r1").Number
	ask := RequestPermit{Unit: "d0", Kind: Door, HoldMs: 1e4, Release: n}
	p := s.do("h", ask)
	require.NoError(t, p.Err)
	s.do("op", release.Steer{Name: "r1", To: release.ToHalt, Who: "ana"})
	var stage *release.StageError
	require.ErrorAs(t, s.do("h", Confirm{Number: p.Number}).Err, &stage)
	s.do("h", Withdraw{p.Number})
	require.ErrorAs(t, s.do("h", ask).Err, &stage)
	s.do("op", Halt{Who: "bea"})
	s.do("op", release.Steer{Name: "r1", To: release.ToResume, Who: "ana"})
	var halted *HaltedError
	require.ErrorAs(t, s.do("h", ask).Err, &halted)
}

func TestFailuresOfAReleaseDontKeepItFromGoingBack(t *testing.T) {
	s := newSite(8)
	started(s, "d0", "d1", "d2", "d3")
	n := s.Release.Find("r1").Number
	for _, d := range []string{"d0", "d1", "d2", "d3"} {
		s.do(d+"/h", release.Took{Door: d, Runs: release.Versions{release.Configuration: newDigest}})
	}
	s.Release.Find("r1").Wave = 1
	for i := range 4 {
		s.seen(i, Failed, 1)
	}
	s.do("op", release.Steer{Name: "r1", To: release.ToBack, Who: "ana"})
	p := s.do("d1/h", RequestPermit{Unit: "d1", Kind: Door, HoldMs: 1e4, Release: n})
	require.NoError(t, p.Err, "the budget is full of those that it is to bring back")
	require.NoError(t, s.do("d1/h", Confirm{Number: p.Number}).Err)
	assert.Equal(t, uint64(1), s.Permits[p.Number].Incarnation, "the life that is known")
}

// A new leader has seen nobody so far, and whoever asks then is not known to be out: on the way back, too, budgets hold until it has
// looked. In a migration that was taken back, right after a leader was lost, three doors of six once went at once where two may.
func TestWhatANewLeaderHasNotSeenDoesNotGoBackPastTheBudget(t *testing.T) {
	s := newSite(6)
	number := started(s)
	for i := range 6 {
		s.do(unit(i).Name+"/h", release.Took{Door: unit(i).Name, Runs: release.Versions{release.Configuration: newDigest}})
	}
	require.NoError(t, s.do("op", release.Steer{Name: s.Release.All[0].Name, To: release.ToBack, Who: "op", Why: "x"}).Err)
	s.do("c2", Leadership{Name: "c2", Epoch: 1})
	asks := func() (granted int) {
		for i := range 6 {
			if a := s.do(unit(i).Name+"/h", RequestPermit{Unit: unit(i).Name, Kind: Door, Who: "release", HoldMs: 10e3, Release: number}); a.Err == nil {
				granted++
			}
		}
		return granted
	}
	require.Equal(t, release.Back, s.Release.All[0].Stage)
	assert.Zero(t, asks())
	for i := range 6 {
		s.seen(i, Ready, 1)
	}
	assert.Positive(t, asks())
	out := 0
	for _, u := range s.Units {
		if s.Out(u) {
			out++
		}
	}
	assert.LessOrEqual(t, out, 2)
}
