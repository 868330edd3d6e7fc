package permits

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/release"
)

func backendUnit(name, zone string) Unit { return Unit{Kind: Backend, Name: name, Zone: zone, Size: 1} }

// newSiteWithBackends returns a site with doors and three backends, one of which may be out.
func newSiteWithBackends(doors int) *site {
	s := newSite(doors)
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 2}, {Kind: Backend, MaxOut: 1, MinReady: 2}, {Kind: Zone, MaxOut: 1}}})
	for _, n := range []string{"b0", "b1", "b2"} {
		s.backend(n, Ready)
	}
	return s
}

func (s *site) backend(name string, how Standing) {
	s.do("watch", RecordSightings{[]Sighting{{Unit: backendUnit(name, "z"+name[1:]), Standing: how, Process: 5}}})
}

func (s *site) confirmChange(i int, change uint64) {
	g := sighting(i, Ready, 1)
	g.Did = change
	s.do("watch", RecordSightings{[]Sighting{g}})
}

func TestDrainedBackendIsOutUntilEveryDoorConfirmsUndrain(t *testing.T) {
	s := newSiteWithBackends(3)
	a := s.do("op", Drain{Kind: Backend, Name: "b0", Who: "ana", Why: "disk"})
	require.NoError(t, a.Err)
	held, change := s.Withheld()
	assert.Equal(t, []string{"b0"}, held)
	assert.Equal(t, []string{"d0", "d1", "d2"}, s.UnconfirmedDoors(s.Permits[a.Number]))
	s.confirmChange(0, change)
	s.confirmChange(1, change)
	assert.Equal(t, []string{"d2"}, s.UnconfirmedDoors(s.Permits[a.Number]))
	s.recordSighting(2, Failed, 1)
	assert.Equal(t, []string{"d2"}, s.UnconfirmedDoors(s.Permits[a.Number]), "a failed door may still send")
	s.recordSighting(2, Ended, 1)
	assert.Empty(t, s.UnconfirmedDoors(s.Permits[a.Number]), "it reported its own termination")
	var denied *DeniedError
	require.ErrorAs(t, s.do("op", Drain{Kind: Backend, Name: "b1", Who: "bea"}).Err, &denied)
	assert.Equal(t, []string{"b0"}, denied.Blocked)
	var taken *TakenError
	require.ErrorAs(t, s.do("op", Drain{Kind: Backend, Name: "b0", Who: "bea"}).Err, &taken)
	assert.Equal(t, "ana", taken.Who)

	require.NoError(t, s.do("op", Undrain{Backend, "b0", "ana", "done"}).Err)
	held, change = s.Withheld()
	assert.Empty(t, held)
	s.backend("b0", Ready)
	assert.Error(t, s.do("op", Drain{Kind: Backend, Name: "b1"}).Err, "no door has confirmed the undrain yet")
	s.confirmChange(0, change)
	assert.Error(t, s.do("op", Drain{Kind: Backend, Name: "b1"}).Err)
	s.confirmChange(1, change)
	assert.Empty(t, s.Permits)
	require.NoError(t, s.do("op", Drain{Kind: Backend, Name: "b1"}).Err)
	assert.Error(t, s.do("op", Undrain{Backend, "b0", "ana", ""}).Err, "the drain has ended already")
}

func TestDrainedDoorGoesOutOnlyAfterConfirm(t *testing.T) {
	s := newSite(8)
	n := s.do("op", Drain{Kind: Door, Name: "d0", Who: "ana"}).Number
	assert.Error(t, s.requestFor(2).Err, "the drain occupies the place")
	assert.Equal(t, n, s.requestFor(0).Number, "the permit of its drain")
	require.NoError(t, s.confirm(0, n).Err)
	s.do("d0", SelfReport{sighting(0, Starting, 1), n})
	s.recordSighting(0, Ready, 2)
	assert.Len(t, s.Permits, 1, "a restart during the drain doesn't end it")
	s.do("d0", SelfReport{sighting(0, Ready, 2), 0})
	assert.Equal(t, Granted, s.Permits[n].Stage, "it reports that it doesn't use the permit; the drain stays in force")
	require.NoError(t, s.requestFor(0).Err)
	require.NoError(t, s.do("d0", Confirm{n, 2, 200}).Err)
	require.NoError(t, s.do("op", Undrain{Door, "d0", "ana", ""}).Err)
	assert.Error(t, s.do("d0", Confirm{n, 2, 200}).Err, "the drain has ended")
	s.recordSighting(0, Ready, 2)
	assert.Len(t, s.Permits, 1, "the process that may have gone out")
	s.recordSighting(0, Ready, 3)
	assert.Empty(t, s.Permits)

	n = s.do("op", Drain{Kind: Door, Name: "d0"}).Number
	require.NoError(t, s.do("op", Undrain{Door, "d0", "ana", ""}).Err)
	assert.Empty(t, s.Permits, "it never confirmed and can't go out any more")
	require.Error(t, s.confirm(0, n).Err)
}

func TestDrainEndsByWallClockAndFreesNoPlace(t *testing.T) {
	s := newSite(4)
	n := s.do("op", Drain{Kind: Door, Name: "d0", UntilMs: 5000}).Number
	require.NoError(t, s.requestFor(0).Err)
	require.NoError(t, s.confirm(0, n).Err)
	s.Apply(Command{Caller: "x", Seq: 1, WallMs: 4999, Do: RecordSightings{}})
	assert.False(t, s.Permits[n].Over)
	s.Apply(Command{Caller: "x", Seq: 2, WallMs: 5000, Do: RecordSightings{}})
	assert.True(t, s.Permits[n].Over)
	assert.Nil(t, s.Reply(&DoorReport{Sighting: sighting(0, Starting, 1)}, false).Order)
}

func TestUnconfirmedPermitExpiresAfterItsHold(t *testing.T) {
	s := newSite(8)
	n := s.requestFor(0).Number
	went := s.requestFor(1).Number
	require.NoError(t, s.confirm(1, went).Err)
	s.now += 10e3 // exactly its hold
	s.recordSighting(2, Ready, 1)
	assert.Len(t, s.Permits, 2)
	s.now++
	s.recordSighting(2, Ready, 1)
	assert.NotContains(t, s.Permits, n)
	assert.Contains(t, s.Permits, went, "a confirmed permit never expires")
	var stale *StaleError
	require.ErrorAs(t, s.confirm(0, n).Err, &stale)
}

func TestZoneDrainIsAllOrNothing(t *testing.T) {
	s := newSiteWithBackends(4) // d0, d2 and b0 in z0; d1, d3 and b1 in z1; b2 in z2
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Zone, MaxOut: 1}, {Kind: Door, MaxOut: 2}, {Kind: Backend, MaxOut: 1}}})
	first := s.do("op", Drain{Kind: Zone, Name: "z0", Who: "ana"})
	require.NoError(t, first.Err)
	assert.Len(t, s.Permits, 3)
	assert.Equal(t, []string{"z0"}, s.zonesOut("z1"))
	for range 2 {
		var denied *DeniedError
		require.ErrorAs(t, s.do("op", Drain{Kind: Zone, Name: "z1", Who: "bea"}).Err, &denied)
		assert.Equal(t, []string{"z0"}, denied.Blocked)
	}
	assert.Len(t, s.Permits, 3, "no part of the denied drain remains")
	assert.Error(t, s.requestFor(1).Err, "the budget of the fleet is used up")
	require.NoError(t, s.requestFor(0).Err)
	require.NoError(t, s.confirm(0, first.Number+1).Err, "checked against the budget of zones, not that of doors")
	require.NoError(t, s.do("op", Undrain{Zone, "z0", "ana", ""}).Err)
	assert.Len(t, s.Permits, 2, "d2 never confirmed")
	for i := range 4 {
		g := sighting(i, Ready, 2)
		g.Did = s.Change
		s.do("watch", RecordSightings{[]Sighting{g}})
	}
	s.backend("b0", Ready)
	assert.Empty(t, s.Permits)
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Zone, MaxOut: 1}, {Kind: Backend, MinReady: 3}}})
	assert.ErrorContains(t, s.do("op", Drain{Kind: Zone, Name: "z0"}).Err, "at least 3")
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 9}}})
	assert.ErrorContains(t, s.do("op", Drain{Kind: Zone, Name: "z0"}).Err, "no budget for zones")
}

func TestNewLeaderInvalidatesEarlierSightings(t *testing.T) {
	s := newSite(8)
	s.do("c2", Leadership{Name: "c2", API: "", Epoch: 9})
	assert.EqualValues(t, 9, s.Epoch)
	assert.Error(t, s.requestFor(1).Err)
	for i := range 8 {
		s.recordSighting(i, Ready, 1)
	}
	require.NoError(t, s.requestFor(1).Err)
	s.do("c3", Leadership{Name: "c3", API: "", Epoch: 10})
	assert.EqualValues(t, 9, s.Epoch)
}

func TestBeginAssignsIncarnationAndOlderSightingsAreIgnored(t *testing.T) {
	s := newSite(2)
	n := s.do("d0/1", Begin{unit(0), 1}).Number
	assert.EqualValues(t, 2, n)
	s.recordSighting(0, Ready, 1)
	assert.Equal(t, Starting, s.Units["door/d0"].Standing)
	s.recordSighting(0, Ready, 2)
	assert.Equal(t, Ready, s.Units["door/d0"].Standing)
	require.NoError(t, s.do("op", Forget{Door, "d0", "ana", "sold"}).Err)
	assert.Nil(t, s.Units["door/d0"])
}

func TestDryRunOfDrainChangesNothing(t *testing.T) {
	s := newSiteWithBackends(4)
	units, err := s.DryRun(Backend, "b0")
	require.NoError(t, err)
	assert.Equal(t, []string{"backend/b0"}, units)
	s.do("op", Halt{Who: "ana", Why: "errors"})
	_, err = s.DryRun(Backend, "b0")
	var halted *HaltedError
	assert.ErrorAs(t, err, &halted)
	assert.Empty(t, s.Permits)
	_, err = s.DryRun(Door, "nobody")
	var unknown *UnknownError
	assert.ErrorAs(t, err, &unknown)
}

func doorReport(i int, seq uint64, away ...string) DoorReport {
	return DoorReport{Caller: unit(i).Name, Seq: seq, Sighting: sighting(i, Ready, 1), Away: away}
}

func standings(all []Sighting) map[string]Standing {
	of := map[string]Standing{}
	for _, s := range all {
		of[s.Name] = s.Standing
	}
	return of
}

func TestDoorHasReportedStandingUnlessMostConsiderItAway(t *testing.T) {
	w := NewReportCollector()
	for i := range 5 {
		assert.True(t, w.Record(0, doorReport(i, 1)))
	}
	assert.False(t, w.Record(0, doorReport(0, 1)), "a duplicate")
	assert.Equal(t, Ready, standings(w.Sightings(100))["d0"])
	w.Record(100, doorReport(1, 2, "d0"))
	w.Record(100, doorReport(2, 2, "d0"))
	assert.Equal(t, Ready, standings(w.Sightings(200))["d0"], "two of four")
	w.Record(100, doorReport(3, 2, "d0"))
	assert.Equal(t, Failed, standings(w.Sightings(200))["d0"])
	for i := 1; i < 5; i++ {
		w.Record(6000, doorReport(i, 3))
	}
	_, known := standings(w.Sightings(6000))["d0"]
	assert.False(t, known, "without recent reports its standing is unknown")
}

func TestUnchangedSightingsAreResentPeriodically(t *testing.T) {
	w := NewReportCollector()
	w.Record(0, doorReport(0, 1))
	w.Record(0, doorReport(1, 1))
	assert.Len(t, w.ChangedSightings(0), 2)
	assert.Empty(t, w.ChangedSightings(500))
	next := doorReport(0, 2)
	next.Did = 3
	w.Record(600, next)
	assert.Equal(t, Ready, standings(w.ChangedSightings(700))["d0"])
	w.Record(3000, doorReport(1, 2))
	assert.Len(t, w.ChangedSightings(resendAfterMs), 1)
}

func TestBackendStandingIsThatOfMostLists(t *testing.T) {
	w := NewReportCollector()
	of := func(how Standing) []Sighting { return []Sighting{{Unit: backendUnit("b0", "z"), Standing: how}} }
	for i, how := range []Standing{Failed, Ready, Ready, Failed, Failed} {
		x := doorReport(i, 1)
		x.Backends = of(how)
		w.Record(0, x)
	}
	assert.True(t, w.WantsBackends(0, "d2"))
	assert.False(t, w.WantsBackends(0, "d3"))
	assert.Equal(t, Ready, standings(w.Sightings(0))["b0"])
}

// testDoorAgent runs a DoorAgent whose posts are applied to a state at once.
type testDoorAgent struct {
	*DoorAgent
	s            *site
	now          float64
	setOuts      []SetOut
	withholds    [][]string
	disconnected bool
	processes    uint64
}

func newTestDoorAgent(s *site, i int) *testDoorAgent {
	k := &testDoorAgent{s: s}
	k.DoorAgent = NewDoorAgent(unit(i), func() uint64 { k.processes++; return uint64(i)*1000 + k.processes })
	k.step(DoorStatus{Ready: true})
	return k
}

func (k *testDoorAgent) step(e any) {
	for todo := k.Step(k.now, e); len(todo) > 0; todo = todo[1:] {
		switch a := todo[0].(type) {
		case Post:
			if k.disconnected {
				continue
			}
			if a.Report == nil {
				todo = append(todo, k.Step(k.now, Answered{a.Seq, k.s.Apply(Command{Caller: a.Caller, Seq: a.Seq, AtMs: k.now, Do: a.Do})})...)
				continue
			}
			for _, do := range k.s.DoorCommands(a.Report) {
				k.s.Apply(Command{Caller: a.Caller, Seq: a.Seq, AtMs: k.now, Do: do})
			}
			todo = append(todo, k.Step(k.now, Replied{a.Seq, k.s.Reply(a.Report, true)})...)
		case Withhold:
			k.withholds = append(k.withholds, a.Names)
			todo = append(todo, k.Step(k.now, WithholdApplied{a.Change})...)
		case SetOut:
			k.setOuts = append(k.setOuts, a)
			if a.Out {
				todo = append(todo, k.Step(k.now, SetOutDone{k.now <= a.UntilMs})...)
			}
		}
	}
}

func (k *testDoorAgent) run(ms float64) {
	for end := k.now + ms; k.now < end; k.now += TickEvery {
		k.step(Tick{})
	}
}

func TestDoorAgentDrainsAndReturnsAsNewProcess(t *testing.T) {
	s := newSite(8)
	k := newTestDoorAgent(s, 0)
	k.run(1500)
	assert.Equal(t, Ready, s.Units["door/d0"].Standing)
	n := s.do("op", Drain{Kind: Door, Name: "d0", Who: "ana", Why: "kernel"}).Number
	k.run(2500)
	require.Len(t, k.setOuts, 1)
	assert.True(t, k.setOuts[0].Out)
	assert.Equal(t, Out, s.Permits[n].Stage)
	assert.Equal(t, Starting, s.Units["door/d0"].Standing)
	s.do("op", Undrain{Door, "d0", "ana", ""})
	k.run(2500)
	require.Len(t, k.setOuts, 2)
	assert.False(t, k.setOuts[1].Out)
	assert.Empty(t, s.Permits, "its next process is ready")
}

func TestDisconnectedDoorAgentReturnsByHand(t *testing.T) {
	s := newSiteWithBackends(8)
	k := newTestDoorAgent(s, 0)
	n := s.do("op", Drain{Kind: Door, Name: "d0", Who: "ana"}).Number
	s.do("op", Drain{Kind: Backend, Name: "b0", Who: "ana"})
	k.run(3000)
	require.Len(t, k.setOuts, 1)
	assert.Equal(t, []string{"b0"}, k.withholds[len(k.withholds)-1])
	k.disconnected = true
	k.run(20e3)
	assert.Len(t, k.setOuts, 1, "it keeps the last state that it received")
	k.step(EndByHand{})
	k.run(500)
	require.Len(t, k.setOuts, 2)
	assert.Empty(t, k.withholds[len(k.withholds)-1])
	k.disconnected = false
	k.run(4000)
	assert.Len(t, k.setOuts, 2, "the coordinators learn that the drain was ended at the door")
	assert.NotContains(t, s.Permits, n)
	assert.Equal(t, []string{"b0"}, k.withholds[len(k.withholds)-1], "it withholds the drained backend again like all doors")
}

func TestDoorAgentRetriesAfterHalt(t *testing.T) {
	s := newSite(8)
	k := newTestDoorAgent(s, 0)
	s.do("op", Drain{Kind: Door, Name: "d0", Who: "ana"})
	s.do("op", Halt{Who: "bea", Why: "errors"})
	k.run(5000)
	assert.Empty(t, k.setOuts)
	s.do("op", Resume{Who: "bea"})
	for i := 1; i < 8; i++ {
		s.recordSighting(i, Ready, 1)
	}
	k.run(3000)
	assert.Len(t, k.setOuts, 1)
}

func TestTerminatingDoorAgentReportsFailedThenEnded(t *testing.T) {
	s := newSite(8)
	k := newTestDoorAgent(s, 0)
	k.run(1500)
	k.step(Terminating{})
	k.run(200)
	assert.Equal(t, Failed, s.Units["door/d0"].Standing)
	k.step(Terminated{})
	k.run(200)
	assert.Equal(t, Ended, s.Units["door/d0"].Standing)
}

func TestBackendReleaseDrainsWithinBudgetsAndUndrainsReplaced(t *testing.T) {
	s := newSiteWithBackends(2)
	s.do("op", release.Start{Plan: release.Plan{Name: "kernel", Changes: release.Backends, Waves: []release.Wave{{Count: 1}, {Rest: true}}}, Who: "ana"})
	drains := s.ReleaseCommands()
	require.Equal(t, []any{Drain{Kind: Backend, Name: "b0", Who: "release kernel", Why: "to be replaced", Release: 1}}, drains)
	require.NoError(t, s.do("c", drains[0]).Err)
	assert.Empty(t, s.ReleaseCommands(), "it isn't replaced yet")
	s.do("watch", RecordSightings{[]Sighting{{Unit: backendUnit("b0", "z0"), Standing: Starting, Process: 6}}})
	assert.Empty(t, s.ReleaseCommands(), "it isn't warm yet")
	s.do("watch", RecordSightings{[]Sighting{{Unit: backendUnit("b0", "z0"), Standing: Ready, Process: 6}}})
	back := s.ReleaseCommands()
	require.Len(t, back, 1)
	require.NoError(t, s.do("c", back[0]).Err)
	s.confirmChange(0, s.Change)
	s.confirmChange(1, s.Change)
	s.do("watch", RecordSightings{[]Sighting{{Unit: backendUnit("b0", "z0"), Standing: Ready, Process: 6}}})
	assert.Empty(t, s.Permits)
	s.do("c", release.RecordVerdict{Number: 1, Wave: 0, Verdict: release.Verdict{Outcome: release.GoOn}})
	drains = s.ReleaseCommands()
	require.Len(t, drains, 1, "one may be out")
	require.NoError(t, s.do("c", drains[0]).Err)
	s.do("op", release.Steer{Name: "kernel", To: release.ToBack, Who: "ana"})
	require.Equal(t, []any{Undrain{Backend, "b1", "release kernel", "the release is over"}}, s.ReleaseCommands())
}
