package permits

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/release"
)

const hourMs = 3600e3

// reportClocks establishes agreed time: three coordinators report their wall clocks, which show wallStartMs plus the state's clock.
func (s *site) reportClocks() {
	for i := range 3 {
		s.do(fmt.Sprint("clock", i), calendar.ReportClock{Name: fmt.Sprint("c", i), WallMs: wallStartMs + s.now, Size: 3})
	}
}

const wallStartMs = 1.8e12

func (s *site) advanceTime(ms float64) {
	s.now += ms
	s.reportClocks()
}

func undo() json.RawMessage { return json.RawMessage(`{"undo":true}`) }

func window(fromMs, toMs float64) calendar.Span {
	return calendar.Span{FromMs: wallStartMs + fromMs, ToMs: wallStartMs + toMs}
}

func drainChange(k Kind, name string, forMs float64) calendar.Change {
	return calendar.Change{Name: "drain " + name, Kind: calendar.Drain, Subject: drainSubject(k, name), Window: window(0, hourMs), Waves: 1, WaveMs: 60e3, Rollback: undo(),
		Do: json.RawMessage(fmt.Sprintf(`{"drain":{"kind":%q,"name":%q,"for_s":%g}}`, k, name, forMs/1e3))}
}

const otherDigest = "00000000000000000000000000000000000000000000000000000000000000aa"

func releaseChange(name string) calendar.Change {
	return calendar.Change{Name: name, Kind: calendar.Configuration, Subject: calendar.Subject{Scope: calendar.Doors}, Window: window(0, hourMs), Waves: 2, WaveMs: 60e3, Rollback: undo(),
		Do: json.RawMessage(fmt.Sprintf(`{"release":{"name":%q,"changes":"configuration","digest":%q,"waves":[{"count":1},{"rest":true}]}}`, name, otherDigest))}
}

func (s *site) planChange(t *testing.T, c calendar.Change) uint64 {
	t.Helper()
	a := s.do("ana", calendar.Plan{Change: c, Who: "ana"})
	require.NoError(t, a.Err)
	s.reportClocks()
	return a.Number
}

// startDueEntries starts all entries that may start, as the leader does.
func (s *site) startDueEntries(t *testing.T) (ids []uint64) {
	for {
		id, found := s.NextStart()
		if !found {
			return ids
		}
		require.NoError(t, s.do("leader", calendar.Start{ID: id}).Err)
		ids = append(ids, id)
	}
}

func (s *site) stage(id uint64) calendar.Stage { return s.Calendar.Entries[id].Stage }

// installVersions has doors report the version that the release assigns, or the one that they run already.
func (s *site) installVersions(doors ...int) {
	for _, i := range doors {
		runs := release.Versions{}
		if _, digest, is := s.Release.Target(unit(i).Name); is {
			runs[release.Configuration] = digest
		} else {
			runs = s.Release.Runs[unit(i).Name]
		}
		s.do(unit(i).Name+"/h", release.ReportVersions{Door: unit(i).Name, Runs: runs})
	}
}

func (s *site) recordVerdict(wave int, outcome release.Outcome) error {
	return s.do("leader", release.RecordVerdict{Number: 1, Wave: wave, Verdict: release.Verdict{Outcome: outcome, Why: "seen"}}).Err
}

func TestEntryRunsItsDrain(t *testing.T) {
	s := newSiteWithBackends(3)
	id := s.planChange(t, drainChange(Backend, "b0", 10*60e3))
	blocked := s.planChange(t, drainChange(Backend, "b1", 0))
	assert.Equal(t, []uint64{id}, s.startDueEntries(t), "one backend may be out")
	assert.Equal(t, calendar.Running, s.stage(id))
	assert.Equal(t, calendar.Due, s.stage(blocked))
	var denied *DeniedError
	require.ErrorAs(t, s.StartObstacle(blocked), &denied)
	assert.ErrorAs(t, s.do("leader", calendar.Start{ID: blocked}).Err, &denied, "the start command checks the budgets itself")
	assert.Equal(t, calendar.Due, s.stage(blocked))
	held, change := s.Withheld()
	assert.Equal(t, []string{"b0"}, held)
	for i := range 3 {
		s.confirmChange(i, change)
	}
	assert.Equal(t, calendar.Running, s.stage(id), "it stays out for its duration")
	s.advanceTime(10 * 60e3)
	held, change = s.Withheld()
	assert.Empty(t, held)
	assert.Equal(t, calendar.Running, s.stage(id), "it is not back yet")
	for i := range 3 {
		s.confirmChange(i, change)
	}
	s.backend("b0", Ready)
	assert.Equal(t, calendar.Done, s.stage(id))
	assert.Empty(t, s.Runs)
	for _, b := range []string{"b0", "b1", "b2"} {
		s.backend(b, Ready)
	}
	assert.Equal(t, []uint64{blocked}, s.startDueEntries(t))
	_, change = s.Withheld()
	for i := range 3 {
		s.confirmChange(i, change)
	}
	assert.Equal(t, calendar.Done, s.stage(blocked), "without a duration it is done once the unit is out")
	held, _ = s.Withheld()
	assert.Equal(t, []string{"b1"}, held, "the unit stays out")
}

func TestEntryAdvancesWithItsReleaseWaves(t *testing.T) {
	s := newSite(4)
	id := s.planChange(t, releaseChange("r"))
	assert.Equal(t, []uint64{id}, s.startDueEntries(t))
	r := s.Release.Find("r")
	require.Equal(t, release.Running, r.Stage)
	assert.Equal(t, fmt.Sprint("calendar ", id), r.Who)
	s.installVersions(0)
	require.NoError(t, s.recordVerdict(0, release.GoOn))
	assert.Equal(t, 1, s.Calendar.Entries[id].WavesDone)
	s.installVersions(1, 2, 3)
	require.NoError(t, s.recordVerdict(1, release.GoOn))
	assert.Equal(t, calendar.Done, s.stage(id))
	assert.Equal(t, release.Done, r.Stage)
}

// A freeze lets a release finish its current wave. The verdict that ends this wave also starts the next one, so the freeze must halt
// the release within the same command, before any door of the next wave can change.
func TestFreezeHaltsReleaseBetweenWavesInSameCommand(t *testing.T) {
	s := newSite(4)
	id := s.planChange(t, releaseChange("r"))
	s.startDueEntries(t)
	freeze := calendar.Freeze{Name: "evening", Subject: calendar.Subject{Scope: calendar.Fleet}, Spans: []calendar.Span{window(60e3, 10*60e3)}, RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "match"}
	require.NoError(t, s.do("bea", calendar.SetFreeze{Freeze: freeze}).Err)
	s.advanceTime(60e3)
	assert.Equal(t, calendar.Running, s.stage(id))
	s.installVersions(0)
	require.NoError(t, s.recordVerdict(0, release.GoOn))
	assert.Equal(t, calendar.Halted, s.stage(id))
	r := s.Release.Find("r")
	assert.Equal(t, release.Halted, r.Stage, "in the same command")
	for i := range 4 {
		_, _, is := s.Release.Target(unit(i).Name)
		assert.False(t, is)
	}
	var frozen *calendar.FrozenError
	require.ErrorAs(t, s.do("op", release.Steer{Name: "r", To: release.ToResume, Who: "cai", Why: "hurry"}).Err, &frozen, "the release's own command can't resume it either")
	assert.Equal(t, release.Halted, r.Stage)
	require.NoError(t, s.do("bea", calendar.Thaw{ID: 2, Revision: 1, Who: "bea"}).Err)
	assert.Equal(t, release.Running, r.Stage, "in the same command")
	require.NoError(t, s.do("op", calendar.Halt{ID: id, Who: "cai", Why: "not so"}).Err)
	assert.Equal(t, release.Halted, r.Stage)
	s.advanceTime(9 * 60e3)
	assert.Equal(t, calendar.Halted, s.stage(id), "the end of the freeze doesn't end an operator's halt")
	require.NoError(t, s.do("op", release.Steer{Name: "r", To: release.ToResume, Who: "cai", Why: "well"}).Err)
	assert.Equal(t, calendar.Running, s.stage(id))
	assert.Equal(t, release.Running, r.Stage)
	s.installVersions(1, 2, 3)
	require.NoError(t, s.recordVerdict(1, release.GoOn))
	assert.Equal(t, calendar.Done, s.stage(id))
}

func TestEndOfFreezeResumesRelease(t *testing.T) {
	s := newSite(4)
	id := s.planChange(t, releaseChange("r"))
	s.startDueEntries(t)
	require.NoError(t, s.do("bea", calendar.SetFreeze{Freeze: calendar.Freeze{Name: "evening", Subject: calendar.Subject{Scope: calendar.Fleet},
		Spans: []calendar.Span{window(60e3, 10*60e3)}, RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "match"}}).Err)
	s.advanceTime(60e3)
	s.installVersions(0)
	require.NoError(t, s.recordVerdict(0, release.GoOn))
	require.Equal(t, calendar.Halted, s.stage(id))
	s.advanceTime(9 * 60e3)
	assert.Equal(t, calendar.Running, s.stage(id))
	assert.Equal(t, release.Running, s.Release.Find("r").Stage)
}

func TestFreezeWithRollBackPolicyRollsReleaseBack(t *testing.T) {
	s := newSite(4)
	id := s.planChange(t, releaseChange("r"))
	s.startDueEntries(t)
	s.installVersions(0)
	require.NoError(t, s.do("bea", calendar.SetFreeze{Freeze: calendar.Freeze{Name: "now", Subject: calendar.Subject{Scope: calendar.Doors}, Spans: []calendar.Span{window(0, hourMs)},
		RunningPolicy: calendar.RollBackAtOnce, Who: "bea", Why: "fire"}}).Err)
	assert.Equal(t, calendar.RollingBack, s.stage(id))
	r := s.Release.Find("r")
	assert.Equal(t, release.RollingBack, r.Stage)
	s.installVersions(0)
	assert.Equal(t, release.RolledBack, r.Stage)
	assert.Equal(t, calendar.Withdrawn, s.stage(id))
	assert.Empty(t, s.Runs)
}

func TestReleaseRollbackRollsEntryBack(t *testing.T) {
	s := newSite(4)
	id := s.planChange(t, releaseChange("r"))
	s.startDueEntries(t)
	s.installVersions(0)
	require.NoError(t, s.recordVerdict(0, release.GoBack))
	assert.Equal(t, calendar.RollingBack, s.stage(id))
	s.installVersions(0)
	assert.Equal(t, calendar.Withdrawn, s.stage(id))
	id = s.planChange(t, releaseChange("r2"))
	s.startDueEntries(t)
	require.NoError(t, s.do("leader", release.RecordVerdict{Number: 2, Wave: 0, Verdict: release.Verdict{Outcome: release.Stop, Why: "odd"}}).Err)
	assert.Equal(t, calendar.Halted, s.stage(id))
	assert.Equal(t, "odd", s.Calendar.Entries[id].Reason)
	require.NoError(t, s.do("op", release.Steer{Name: "r2", To: release.ToBack, Who: "cai", Why: "enough"}).Err)
	assert.Equal(t, calendar.Withdrawn, s.stage(id), "no door had the version")
	assert.Equal(t, release.RolledBack, s.Release.Find("r2").Stage)
}

func TestUnplannedChangesAreCheckedByCalendar(t *testing.T) {
	s := newSiteWithBackends(3)
	drain := func(name string) error {
		return s.do("op", Drain{Kind: Backend, Name: name, Who: "op", Why: "disk"}).Err
	}
	require.NoError(t, drain("b0"), "an empty calendar requires nothing, not even agreed time")
	require.NoError(t, s.do("op", Undrain{Backend, "b0", "op", ""}).Err)
	_, change := s.Withheld()
	for i := range 3 {
		s.confirmChange(i, change)
	}
	s.backend("b0", Ready)
	plan := release.Plan{Name: "r", Changes: release.Configuration, Digest: otherDigest, Waves: []release.Wave{{Rest: true}}}
	rules := calendar.SetRules{Rules: []calendar.Rule{{Kinds: []calendar.Kind{calendar.Configuration}, Subject: calendar.Subject{Scope: calendar.Doors}, Count: 1, Roles: []string{"lead"}}}, Who: "bea"}
	require.NoError(t, s.do("bea", rules).Err)
	var unplanned *calendar.ApprovalRequiredError
	require.ErrorAs(t, s.do("op", release.Start{Plan: plan, Who: "op"}).Err, &unplanned)
	assert.Contains(t, unplanned.Remedy(), "plan")
	require.NoError(t, s.do("bea", calendar.SetRules{Who: "bea"}).Err)
	freeze := calendar.Freeze{Name: "all", Kinds: []calendar.Kind{calendar.Drain}, Subject: calendar.Subject{Scope: calendar.Backends}, Spans: []calendar.Span{window(0, hourMs)},
		RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "match"}
	a := s.do("bea", calendar.SetFreeze{Freeze: freeze})
	require.NoError(t, a.Err)
	var clock *calendar.ClockError
	require.ErrorAs(t, drain("b0"), &clock, "without agreed time the freeze can't be evaluated")
	s.reportClocks()
	var frozen *calendar.FrozenError
	require.ErrorAs(t, drain("b0"), &frozen)
	require.NoError(t, s.do("op", Drain{Kind: Door, Name: "d0", Who: "op", Why: "x"}).Err, "the freeze is for backends")
	require.NoError(t, s.do("bea", calendar.Thaw{ID: a.Number, Revision: 1, Who: "bea"}).Err)
	id := s.planChange(t, drainChange(Zone, "z1", hourMs))
	s.startDueEntries(t)
	require.Equal(t, calendar.Running, s.stage(id), s.StartObstacle(id))
	var busy *calendar.BusyError
	require.ErrorAs(t, drain("b1"), &busy, "a running entry has its zone")
	assert.Equal(t, id, busy.Other)
	assert.NotContains(t, busy.Error(), "entry 0")
	require.ErrorAs(t, s.do("op", release.Start{Plan: plan, Who: "op"}).Err, &busy)
	var denied *DeniedError
	require.ErrorAs(t, drain("b0"), &denied, "the calendar allows it, the budget doesn't")
}

func TestRevertedMigrationUndrainsInReverseOrder(t *testing.T) {
	s := newSiteWithBackends(3)
	s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 2}, {Kind: Backend, MaxOut: 3}}})
	manual := calendar.Change{Name: "cable", Kind: calendar.MigrationStep, Subject: drainSubject(Backend, "b0"), Window: window(0, hourMs), Waves: 1,
		Do: json.RawMessage(`{"manual":"move the cable"}`), Rollback: json.RawMessage(`{"manual":"move it back"}`)}
	a := s.do("ana", calendar.Migrate{Name: "move", Steps: []calendar.Change{drainChange(Backend, "b0", 0), manual, drainChange(Backend, "b1", 0)}, Who: "ana"})
	require.NoError(t, a.Err)
	s.reportClocks()
	m := s.Calendar.Migrations[a.Number]
	confirm := func() {
		_, change := s.Withheld()
		for i := range 3 {
			s.confirmChange(i, change)
		}
	}
	assert.Equal(t, m.Steps[:1], s.startDueEntries(t))
	confirm()
	assert.Equal(t, m.Steps[1:2], s.startDueEntries(t))
	require.NoError(t, s.do("ana", calendar.WaveDone{ID: m.Steps[1], Wave: 1}).Err)
	assert.Equal(t, m.Steps[2:], s.startDueEntries(t))
	held, _ := s.Withheld()
	assert.Equal(t, []string{"b0", "b1"}, held)
	require.NoError(t, s.do("ana", calendar.RevertMigration{ID: m.ID, Who: "ana", Why: "smoke"}).Err)
	held, _ = s.Withheld()
	assert.Equal(t, []string{"b0"}, held, "the latest step first")
	assert.Equal(t, calendar.Done, s.stage(m.Steps[1]))
	confirm()
	s.backend("b1", Ready)
	assert.Equal(t, calendar.RollingBack, s.stage(m.Steps[1]), "operators report the rollback of a manual step")
	held, _ = s.Withheld()
	assert.Equal(t, []string{"b0"}, held)
	require.NoError(t, s.do("ana", calendar.RolledBack{ID: m.Steps[1]}).Err)
	held, _ = s.Withheld()
	assert.Empty(t, held)
	confirm()
	s.backend("b0", Ready)
	assert.Equal(t, calendar.Withdrawn, m.Stage)
	assert.Empty(t, s.Permits)
	assert.Empty(t, s.Runs)
}

// A drain that is a step of a migration lasts until the migration is done; then its unit comes back.
func TestMigrationDrainsEndWhenItIsDone(t *testing.T) {
	s := newSiteWithBackends(3)
	manual := calendar.Change{Name: "cable", Kind: calendar.MigrationStep, Subject: drainSubject(Backend, "b0"), Window: window(0, hourMs), Waves: 1,
		Do: json.RawMessage(`{"manual":"move the cable"}`), Rollback: json.RawMessage(`{"manual":"move it back"}`)}
	a := s.do("ana", calendar.Migrate{Name: "move", Steps: []calendar.Change{drainChange(Backend, "b0", 0), manual}, Who: "ana"})
	require.NoError(t, a.Err)
	s.reportClocks()
	s.startDueEntries(t)
	_, change := s.Withheld()
	for i := range 3 {
		s.confirmChange(i, change)
	}
	s.startDueEntries(t)
	held, _ := s.Withheld()
	assert.Equal(t, []string{"b0"}, held)
	m := s.Calendar.Migrations[a.Number]
	require.NoError(t, s.do("ana", calendar.WaveDone{ID: m.Steps[1], Wave: 1}).Err)
	assert.Equal(t, calendar.Done, m.Stage)
	held, _ = s.Withheld()
	assert.Empty(t, held)
	assert.Empty(t, s.Runs)
}

// A leader that is lost before an entry's start leaves it to the next leader; one that is lost right after leaves it running. A
// retried start must start the entry once.
func TestLeaderLossAroundStartStartsEntryOnce(t *testing.T) {
	s := newSite(4)
	id := s.planChange(t, releaseChange("r"))
	s.do("c1", Leadership{Name: "c1", Epoch: 1})
	_, found := s.NextStart()
	assert.False(t, found, "earlier clock readings are invalid under a new leader")
	for i := range 4 {
		s.recordSighting(i, Ready, 1)
	}
	s.reportClocks()
	start := Command{Caller: "leader c1", Seq: 1, AtMs: s.now, Do: calendar.Start{ID: id}}
	require.NoError(t, s.Apply(start).Err)
	require.NoError(t, s.Apply(start).Err, "its answer was lost")
	s.do("c2", Leadership{Name: "c2", Epoch: 1})
	s.reportClocks()
	var stage *calendar.StageError
	assert.ErrorAs(t, s.do("leader c2", calendar.Start{ID: id}).Err, &stage)
	assert.Len(t, s.Release.All, 1)
	assert.Equal(t, 1, s.Calendar.Entries[id].Starts)
	var disk bytes.Buffer
	require.NoError(t, s.Save(&disk))
	again, err := Load(&disk)
	require.NoError(t, err)
	s.State = again // a coordinator that restarts from its snapshot
	s.installVersions(0)
	require.NoError(t, s.recordVerdict(0, release.GoOn))
	assert.Equal(t, 1, s.Calendar.Entries[id].WavesDone)
	s.do("c3", calendar.Restored{Who: "cai"})
	assert.Equal(t, calendar.Halted, s.stage(id), "after a restore nothing continues without an operator")
	assert.Equal(t, release.Halted, s.Release.Find("r").Stage)
}

// A start is checked at the time of its own command. If its window has become too short since the leader's check, it must leave no
// unit out.
func TestDelayedStartIsCheckedAtItsOwnTime(t *testing.T) {
	s := newSiteWithBackends(3)
	id := s.planChange(t, drainChange(Backend, "b0", 0))
	_, found := s.NextStart()
	require.True(t, found)
	s.now += hourMs - 10e3 // the command was delayed; clock readings count for 30 s
	for i := range 3 {
		s.Calendar.Readings[fmt.Sprint("c", i)] = calendar.Reading{OffsetMs: wallStartMs, AtMs: s.now - 20e3}
	}
	var short *calendar.WindowTooShortError
	require.ErrorAs(t, s.do("leader", calendar.Start{ID: id}).Err, &short)
	assert.Empty(t, s.Permits)
	assert.Empty(t, s.Runs)
}

// The zone of a unit that has left the fleet, or never was in it, is unknown: it is treated as if it were in any zone.
func TestUnknownUnitIsTreatedAsInAnyZone(t *testing.T) {
	s := newSiteWithBackends(3)
	c := drainChange(Backend, "b9", 0)
	c.Subject = calendar.Subject{Scope: calendar.Zone, Names: []string{"z1"}}
	var form *calendar.FormError
	require.ErrorAs(t, s.do("ana", calendar.Plan{Change: c, Who: "ana"}).Err, &form, "its zone is unknown")
	id := s.planChange(t, drainChange(Backend, "b9", 0))
	var unknown *UnknownError
	require.ErrorAs(t, s.StartObstacle(id), &unknown)
	require.NoError(t, s.do("bea", calendar.SetFreeze{Freeze: calendar.Freeze{Name: "z1", Subject: calendar.Subject{Scope: calendar.Zone, Names: []string{"z1"}}, Spans: []calendar.Span{window(0, hourMs)},
		RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "x"}}).Err)
	var frozen *calendar.FrozenError
	require.ErrorAs(t, s.StartObstacle(id), &frozen)
	b1 := s.planChange(t, drainChange(Backend, "b1", 0))
	require.ErrorAs(t, s.StartObstacle(b1), &frozen)
	b0 := s.planChange(t, drainChange(Backend, "b0", 0))
	assert.NoError(t, s.StartObstacle(b0), "it is known to be in another zone")
	s.do("op", Forget{Kind: Backend, Name: "b0", Who: "op", Why: "gone"})
	require.ErrorAs(t, s.StartObstacle(b0), &frozen, "it has left the fleet")
}

func TestReplacedReleaseHaltsItsEntry(t *testing.T) {
	s := newSite(4)
	id := s.planChange(t, releaseChange("r"))
	s.startDueEntries(t)
	s.Release.Find("r").Stage = release.Replaced // as in a state from before the calendar existed
	s.reportClocks()
	assert.Equal(t, calendar.Halted, s.stage(id))
	require.NoError(t, s.do("op", calendar.RollBack{ID: id, Who: "cai", Why: "gone"}).Err)
	assert.Equal(t, calendar.RollingBack, s.stage(id), "operators report the rollback")
	require.NoError(t, s.do("op", calendar.RolledBack{ID: id}).Err)
	assert.Equal(t, calendar.Withdrawn, s.stage(id))
}

func TestChangeActionIsValidated(t *testing.T) {
	s := newSiteWithBackends(4)
	for key, invalidate := range map[string]func(c *calendar.Change){
		"do":         func(c *calendar.Change) { c.Do = json.RawMessage(`{"drain":{"kind":"door","name":"d0"},"manual":"x"}`) },
		"do ":        func(c *calendar.Change) { c.Do = json.RawMessage(`{"dance":true}`) },
		"do  ":       func(c *calendar.Change) { c.Do = json.RawMessage(`{"undo":true}`) },
		"do.drain":   func(c *calendar.Change) { c.Do = json.RawMessage(`{"drain":{"kind":"cellar","name":"d0"}}`) },
		"do.drain ":  func(c *calendar.Change) { c.Do = json.RawMessage(`{"drain":{"kind":"door","name":"d0","for_s":-1}}`) },
		"do.release": func(c *calendar.Change) { c.Do = json.RawMessage(`{"release":{"name":"r"}}`) },
		"rollback":   func(c *calendar.Change) { c.Rollback = nil },
		"rollback ":  func(c *calendar.Change) { c.Rollback = json.RawMessage(`{"manual":"x"}`) },
		"rollback  ": func(c *calendar.Change) { c.Rollback = json.RawMessage(`[]`) },
		"waves":      func(c *calendar.Change) { c.Waves = 2 },
		"kind":       func(c *calendar.Change) { c.Kind = calendar.Release },
		"subject":    func(c *calendar.Change) { c.Subject.Names = []string{"d1"} },
		"subject ":   func(c *calendar.Change) { c.Subject = calendar.Subject{Scope: calendar.Backends} },
		"subject  ":  func(c *calendar.Change) { c.Subject = calendar.Subject{Scope: calendar.Zone, Names: []string{"z1"}} },
	} {
		c := drainChange(Door, "d0", 0)
		invalidate(&c)
		var form *calendar.FormError
		require.ErrorAs(t, s.do("ana", calendar.Plan{Change: c, Who: "ana"}).Err, &form, key)
		assert.Equal(t, strings.TrimSpace(key), form.Key)
		require.ErrorAs(t, s.do("ana", calendar.Migrate{Name: "m", Steps: []calendar.Change{drainChange(Door, "d0", 0), c}, Who: "ana"}).Err, &form, key)
		assert.Equal(t, "steps[1]."+strings.TrimSpace(key), form.Key)
	}
	for _, b := range []calendar.Subject{{Scope: calendar.Fleet}, {Scope: calendar.Zone}, {Scope: calendar.Zone, Names: []string{"z0", "z1"}}, {Scope: calendar.Doors}, {Scope: calendar.Doors, Names: []string{"d1", "d0"}}} {
		c := drainChange(Door, "d0", 0)
		c.Subject = b
		assert.NoError(t, s.do("ana", calendar.Plan{Change: c, Who: "ana", Draft: true}).Err, b)
	}
	c := releaseChange("r")
	c.Kind = calendar.Terms
	assert.NoError(t, s.do("ana", calendar.Plan{Change: c, Who: "ana", Draft: true}).Err, "the terms of plans are part of configurations")
	assert.Empty(t, s.Runs)
}

func TestEditIsValidatedLikePlan(t *testing.T) {
	s := newSite(2)
	id := s.planChange(t, drainChange(Door, "d0", 0))
	c := drainChange(Door, "d1", 0)
	c.Subject.Names = []string{"d0"}
	var form *calendar.FormError
	require.ErrorAs(t, s.do("ana", calendar.Edit{ID: id, Revision: 1, Change: c, Who: "ana"}).Err, &form)
	assert.Equal(t, "subject", form.Key)
}

// Clocks are reported every two seconds. A freeze that began since the last report must already apply.
func TestFreezeThatHasJustBegunBlocksDrain(t *testing.T) {
	s := newSiteWithBackends(3)
	s.reportClocks()
	require.NoError(t, s.do("bea", calendar.SetFreeze{Freeze: calendar.Freeze{Name: "f", Subject: calendar.Subject{Scope: calendar.Fleet}, Spans: []calendar.Span{window(1000, hourMs)},
		RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "x"}}).Err)
	s.now += 1500
	var frozen *calendar.FrozenError
	require.ErrorAs(t, s.do("op", Drain{Kind: Backend, Name: "b0", Who: "op", Why: "x"}).Err, &frozen)
}

// Answers are replicated state, so every coordinator must report the same invalid step: the first one.
func TestFirstOfTwoInvalidStepsIsReported(t *testing.T) {
	var steps []calendar.Change
	for i := range 20 {
		c := drainChange(Door, fmt.Sprint("d", i), 0)
		c.Waves = 2
		steps = append(steps, c)
	}
	for range 20 {
		var form *calendar.FormError
		require.ErrorAs(t, newSite(2).do("ana", calendar.Migrate{Name: "m", Steps: steps, Who: "ana"}).Err, &form)
		assert.Equal(t, "steps[0].waves", form.Key)
	}
}

// The audit log must also have the calendar events that are caused by time alone, whichever command they come with.
func TestAuditHasEachCalendarEventOnce(t *testing.T) {
	s := newSite(4)
	s.planChange(t, releaseChange("r"))
	s.planChange(t, drainChange(Door, "d0", 60e3))
	s.startDueEntries(t)
	s.installVersions(0)
	require.NoError(t, s.recordVerdict(0, release.GoOn))
	s.do("op", release.Steer{Name: "r", To: release.ToHalt, Who: "op", Why: "x"})
	s.do("op", release.Steer{Name: "r", To: release.ToBack, Who: "op", Why: "x"})
	s.now += 20e3
	s.do("c", Leadership{Name: "c", Epoch: 1})
	s.advanceTime(2 * hourMs)
	s.do("op", Drain{Kind: Door, Name: "d1", Who: "op", Why: "x"})
	var audited []string
	for _, l := range s.Audit {
		if strings.HasPrefix(l.What, "calendar ") {
			audited = append(audited, l.What)
		}
	}
	var happened []string
	for _, e := range s.Calendar.Events {
		happened = append(happened, fmt.Sprintf("calendar %d: %s", e.ID, e.What))
	}
	assert.Equal(t, happened, audited)
	assert.Contains(t, audited, "calendar 2: due -> missed")
}

func TestCompleteDerivesOmittedValues(t *testing.T) {
	s := newSiteWithBackends(2)
	for want, bare := range map[string]calendar.Change{
		"drain backends b0 1 90000":      {Name: "x", Do: json.RawMessage(`{"drain":{"kind":"backend","name":"b0","for_s":90}}`)},
		"drain zone z1 1 60000":          {Name: "x", Do: json.RawMessage(`{"drain":{"kind":"zone","name":"z1"}}`)},
		"configuration doors 1 65000":    {Name: "x", Do: json.RawMessage(`{"release":{"name":"r","changes":"configuration","digest":"` + otherDigest + `","waves":[{"rest":true,"watch_s":5}]}}`)},
		"release backends b0 2 60000":    {Name: "x", Do: json.RawMessage(`{"release":{"name":"r","changes":"backends","doors":["b0"],"waves":[{"count":1},{"rest":true}]}}`)},
		"release doors 3 7":              {Name: "x", Kind: calendar.Release, Waves: 3, WaveMs: 7, Do: json.RawMessage(`{"release":{"name":"r","changes":"program","digest":"` + otherDigest + `","waves":[{"rest":true}]}}`)},
		"coordinators plans gold 1 0 no": {Name: "x", Kind: calendar.Coordinators, Subject: calendar.Subject{Scope: calendar.Plans, Names: []string{"gold"}}, Do: json.RawMessage(`{"manual":"x"}`)},
		"    0 0 no":                     {Name: "x", Do: json.RawMessage(`{"dance":1}`)},
	} {
		c := bare
		c.Window = window(0, hourMs)
		Complete(&c)
		got := fmt.Sprintf("%s %s %d %g", c.Kind, c.Subject.String(), c.Waves, c.WaveMs)
		if len(c.Rollback) == 0 {
			got += " no"
		}
		assert.Equal(t, strings.Join(strings.Fields(want), " "), strings.Join(strings.Fields(got), " "))
		if c.Waves == 1 || c.Waves == 2 {
			assert.NoError(t, s.do("ana", calendar.Plan{Change: c, Who: "ana", Draft: true}).Err, want)
		}
	}
}

func TestLoadsStateWithoutCalendar(t *testing.T) {
	s := newSite(2)
	raw, err := json.Marshal(s.State)
	require.NoError(t, err)
	var all map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(raw, &all))
	delete(all, "Calendar")
	delete(all, "Runs")
	raw, err = json.Marshal(all)
	require.NoError(t, err)
	old, err := json.Marshal(savedState{1, checksum(raw), raw})
	require.NoError(t, err)
	read, err := Load(bytes.NewReader(old))
	require.NoError(t, err)
	s.State = read
	id := s.planChange(t, drainChange(Door, "d0", 0))
	assert.Equal(t, calendar.Due, s.stage(id))
	zone, known := read.ZoneOf(calendar.Doors, "d1")
	assert.True(t, known)
	assert.Equal(t, "z1", zone)
}

// Every command and error type of the calendar must have an encoded name.
func TestAllCalendarTypesAreEncodable(t *testing.T) {
	var none calendar.State
	for name, typ := range typesByName {
		if typ.PkgPath() != reflect.TypeOf(none).PkgPath() {
			continue
		}
		v := reflect.New(typ)
		n, err := wrap(v.Interface())
		require.NoError(t, err, name)
		assert.Equal(t, name, n.Is)
		_, is := v.Interface().(error)
		assert.Equal(t, strings.HasPrefix(name, "calendar_not_"), is, name)
		if !is {
			a := New().Apply(Command{Caller: "x", Seq: 1, Do: v.Elem().Interface()})
			var unknown *UnknownError
			assert.False(t, a.Err != nil && assert.ObjectsAreEqual(reflect.TypeOf(unknown), reflect.TypeOf(a.Err)), "%s is not a command", name)
		}
	}
	endless := &calendar.FrozenError{}
	s := newSite(2)
	s.reportClocks()
	require.NoError(t, s.do("bea", calendar.SetFreeze{Freeze: calendar.Freeze{Name: "daily", Subject: calendar.Subject{Scope: calendar.Fleet}, ThroughMs: wallStartMs - 1,
		When: calendar.Recurrence{Begin: "2026-01-01T00:00", Minutes: 1, RRule: "FREQ=DAILY", TimeZone: "UTC"}, RunningPolicy: calendar.HaltAfterWave, Who: "bea", Why: "x"}}).Err)
	a := s.do("op", Drain{Kind: Door, Name: "d0", Who: "op", Why: "x"})
	require.ErrorAs(t, a.Err, &endless, "a recurring freeze is in force beyond the time for which it was expanded")
	_, err := json.Marshal(a)
	assert.NoError(t, err, "the error must also be encodable in an answer")
}

// Under any sequence of plans, freezes, rollbacks, leader changes and sightings, each permit belongs to at most one entry, budgets
// hold, and an ended entry leaves nothing except the drains that outlast it.
func TestEntriesAndTheirPermitsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSiteWithBackends(4)
		s.do("op", SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 2}, {Kind: Backend, MaxOut: 2}, {Kind: Zone, MaxOut: 1}}})
		releases := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			id := rapid.Uint64Range(1, s.Calendar.NextID).Draw(t, "id")
			b := rapid.SampledFrom([]string{"b0", "b1", "b2"}).Draw(t, "backend")
			switch rapid.IntRange(0, 13).Draw(t, "action") {
			case 0:
				c := drainChange(Backend, b, rapid.SampledFrom([]float64{0, 60e3}).Draw(t, "for"))
				c.Window = window(s.now, s.now+hourMs)
				s.do("ana", calendar.Plan{Change: c, Who: "ana"})
			case 1:
				releases++
				c := releaseChange(fmt.Sprint("r", releases))
				c.Window = window(s.now, s.now+hourMs)
				s.do("ana", calendar.Plan{Change: c, Who: "ana"})
			case 2:
				first, second := drainChange(Backend, b, 0), drainChange(Backend, "b2", 0)
				first.Window, second.Window = window(s.now, s.now+hourMs), window(s.now, s.now+hourMs)
				s.do("ana", calendar.Migrate{Name: "m", Steps: []calendar.Change{first, second}, Who: "ana"})
			case 3:
				s.do("op", calendar.Halt{ID: id, Who: "op", Why: "x"})
			case 4:
				s.do("op", calendar.Resume{ID: id, Who: "op"})
			case 5:
				s.do("op", calendar.RollBack{ID: id, Who: "op", Why: "x"})
			case 6:
				s.do("op", calendar.RevertMigration{ID: id, Who: "op", Why: "x"})
			case 7:
				s.do("op", calendar.SetFreeze{Freeze: calendar.Freeze{Name: "f", Subject: calendar.Subject{Scope: calendar.Fleet},
					Spans: []calendar.Span{window(s.now, s.now+rapid.Float64Range(1, 200e3).Draw(t, "duration"))}, Who: "bea", Why: "x",
					RunningPolicy: rapid.SampledFrom([]string{calendar.HaltAfterWave, calendar.RollBackAtOnce}).Draw(t, "policy")}})
			case 8:
				_, change := s.Withheld()
				for i := range 4 {
					s.confirmChange(i, change)
				}
				for _, b := range []string{"b0", "b1", "b2"} {
					s.backend(b, Ready)
				}
			case 9:
				s.installVersions(0, 1, 2, 3)
			case 10:
				if n := len(s.Release.All); n > 0 {
					r := s.Release.All[n-1]
					s.do("leader", release.RecordVerdict{Number: r.Number, Wave: r.Wave, Verdict: release.Verdict{Outcome: rapid.SampledFrom([]release.Outcome{release.GoOn, release.GoOn, release.Stop, release.GoBack}).Draw(t, "outcome")}})
				}
			case 11:
				s.do("op", Drain{Kind: Backend, Name: b, Who: "op", Why: "x"})
			case 12:
				s.do("op", Undrain{Backend, b, "op", "x"})
			case 13:
				s.do("c", Leadership{Name: "c", Epoch: 1})
				for i := range 4 {
					s.recordSighting(i, Ready, 1)
				}
			}
			s.advanceTime(rapid.Float64Range(0, 90e3).Draw(t, "later"))
			if next, found := s.NextStart(); found {
				require.NoError(t, s.do("leader", calendar.Start{ID: next}).Err, "an entry without an obstacle must start")
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				var disk bytes.Buffer
				require.NoError(t, s.Save(&disk))
				again, err := Load(&disk)
				require.NoError(t, err)
				s.State = again
			}
			out, mine := 0, map[uint64]uint64{}
			for id, run := range s.Runs {
				e := s.Calendar.Entries[id]
				require.NotNil(t, e)
				require.True(t, s.Calendar.Holds(e), "%d is %s", id, e.Stage)
				for _, n := range run.Permits {
					require.Zero(t, mine[n])
					mine[n] = id
				}
				if r := s.Release.ByNumber(run.Release); r != nil {
					live := r.Stage == release.Running || r.Stage == release.Waiting
					require.False(t, live && (e.Stage == calendar.Halted || e.Stage == calendar.RollingBack), "release %s, entry %s", r.Stage, e.Stage)
					require.False(t, e.Stage == calendar.Done && r.Stage != release.Done, "release %s", r.Stage)
				}
			}
			for n, p := range s.Permits {
				if p.Unit.Kind == Backend {
					out++
				}
				require.False(t, strings.HasPrefix(p.Who, "calendar") && !p.Over && p.Unit.Kind == Backend && mine[n] == 0 && s.entryNotDone(p), "permit %d of %s is left", n, p.Who)
			}
			require.LessOrEqual(t, out, 2)
		}
	})
}

// entryNotDone reports whether a permit belongs to an entry that is not done, or to none.
func (s *site) entryNotDone(p *Permit) bool {
	var id uint64
	_, err := fmt.Sscanf(p.Who, "calendar %d", &id)
	return err != nil || s.Calendar.Entries[id] == nil || s.Calendar.Entries[id].Stage != calendar.Done
}
