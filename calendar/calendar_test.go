package calendar

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/remedy"
)

const (
	sec    = 1e3 // these are in ms
	minute = 60e3
	hour   = 3600e3
	day    = 24 * hour
	noon   = 20000*day + 12*hour // time at which most tests begin, in ms since 1970
)

// testZones is the fleet of the tests: doors d0 to d3 and backends b0 to b3. Those numbered 0 and 1 are in zone z0, 2 and 3 in z1.
type testZones struct{}

func (testZones) ZoneOf(_ Scope, name string) (string, bool) {
	if len(name) != 2 || strings.IndexByte("db", name[0]) < 0 || name[1] > '3' {
		return "", false
	}
	return fmt.Sprintf("z%d", (name[1]-'0')/2), true
}

// fixture is a calendar with three coordinators, whose clocks the test advances.
type fixture struct {
	*State
	t     *testing.T
	nowMs float64 // true time, which also serves as the agreed clock
}

func newFixture(t *testing.T) *fixture {
	d := &fixture{New(), t, noon}
	d.SetZones(testZones{})
	d.reportClocks()
	return d
}

// reportClocks reports the correct time from all three coordinators.
func (d *fixture) reportClocks() {
	for i := range 3 {
		_, err := d.Apply(d.nowMs, ReportClock{fmt.Sprint("c", i), d.nowMs, 3})
		require.NoError(d.t, err)
	}
}

// elapse advances the true time and reports it.
func (d *fixture) elapse(ms float64) {
	d.nowMs += ms
	d.reportClocks()
}

// mustApply applies a command that must succeed.
func (d *fixture) mustApply(c any) uint64 {
	n, err := d.Apply(d.nowMs, c)
	require.NoError(d.t, err, "%#v", c)
	return n
}

// mustRefuse applies a command that must fail with an error of the type of target, and checks that it changes no state.
func (d *fixture) mustRefuse(c any, target any) {
	before, err := json.Marshal(d.State)
	require.NoError(d.t, err)
	_, err = d.Apply(d.nowMs, c)
	require.ErrorAs(d.t, err, target, "%#v", c)
	after, _ := json.Marshal(d.State)
	assert.JSONEq(d.t, string(before), string(after), "a command that fails changes nothing")
	typed := remedy.Typed(err)
	require.Len(d.t, typed, 1)
	assert.NotEmpty(d.t, typed[0].Remedy())
	assert.Equal(d.t, remedy.Refused, typed[0].Kind())
}

// testChange returns a drain of d0 in two waves of ten minutes, with a window relative to noon.
func testChange(from, to float64) Change {
	return Change{Name: "a", Kind: Drain, Subject: Subject{Scope: Doors, Names: []string{"d0"}}, Window: Span{noon + from, noon + to},
		Waves: 2, WaveMs: 10 * minute, Do: json.RawMessage(`{"drain":"d0"}`), Rollback: json.RawMessage(`{"undrain":"d0"}`)}
}

// plan adds an entry for a change by ana.
func (d *fixture) plan(c Change) uint64 { return d.mustApply(Plan{Change: c, Who: "ana"}) }

func (d *fixture) stage(id uint64) Stage { return d.Entries[id].Stage }

// testFreeze returns a freeze of the whole fleet with a span relative to noon.
func testFreeze(from, to float64, policy string) Freeze {
	return Freeze{Name: "feast", Subject: Subject{Scope: Fleet}, Spans: []Span{{noon + from, noon + to}}, RunningPolicy: policy, Who: "bea", Why: "a feast"}
}

func TestChangeNeedsNoApprovalWhereNoRuleApplies(t *testing.T) {
	d := newFixture(t)
	id := d.plan(testChange(hour, 2*hour))
	assert.Equal(t, Approved, d.stage(id))
	var early *BeforeWindowError
	d.mustRefuse(Start{id}, &early)
	d.elapse(hour)
	assert.Equal(t, Due, d.stage(id))
	assert.Equal(t, []uint64{id}, d.Startable())
	d.mustApply(Start{id})
	assert.Equal(t, Running, d.stage(id))
	var stage *StageError
	d.mustRefuse(Start{id}, &stage)
	assert.EqualValues(t, 2, d.mustApply(WaveDone{ID: id, Wave: 1}), "the next wave")
	assert.EqualValues(t, 2, d.mustApply(WaveDone{ID: id, Wave: 1}), "duplicate report")
	assert.EqualValues(t, 0, d.mustApply(WaveDone{ID: id, Wave: 2}))
	assert.Equal(t, Done, d.stage(id))
	assert.EqualValues(t, 0, d.mustApply(WaveDone{ID: id, Wave: 2}), "duplicate report")
	assert.Equal(t, 1, d.Entries[id].Starts)
	d.elapse(day)
	assert.Equal(t, Done, d.stage(id))
}

func TestApprovalsComeFromOthersAndAreBoundToTheDigest(t *testing.T) {
	d := newFixture(t)
	d.mustApply(SetRules{Who: "boss", Rules: []Rule{{Kinds: []Kind{Drain}, Subject: Subject{Scope: Zone, Names: []string{"z0"}}, Count: 2, Roles: []string{"sre", "lead"}, ApprovalTTLMs: day}}})
	exempt := d.plan(Change{Name: "b", Kind: Drain, Subject: Subject{Scope: Doors, Names: []string{"d2"}}, Window: Span{noon, noon + hour}, Waves: 1, Do: json.RawMessage(`1`)})
	assert.Equal(t, Due, d.stage(exempt), "no rule applies to it")
	c := testChange(hour, 2*hour)
	id := d.plan(c)
	assert.Equal(t, Waiting, d.stage(id))
	digest := c.Digest()
	var selfApproval *SelfApprovalError
	d.mustRefuse(Approve{id, digest, "ana", "sre"}, &selfApproval)
	d.mustApply(Approve{id, digest, "bea", "sre"})
	d.mustApply(Approve{id, digest, "bea", "lead"})
	assert.Equal(t, Waiting, d.stage(id), "a person counts once")
	d.mustApply(Approve{id, digest, "cem", "intern"})
	var missing *ApprovalError
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &missing)
	assert.Equal(t, ApprovalError{id, "ana", 2, 1, []string{"sre", "lead"}}, *missing)
	d.mustApply(Approve{id, digest, "dan", "sre"})
	assert.Equal(t, Approved, d.stage(id))

	c.Do = json.RawMessage(`{"drain":"d0","hard":true}`)
	var changed *ChangedError
	d.mustRefuse(Edit{id, 7, c, "eve", false}, &changed)
	d.mustApply(Edit{id, d.Entries[id].Revision, c, "eve", false}) // at the same agreed time
	d.mustRefuse(Approve{id, digest, "fay", "sre"}, &changed)
	assert.Contains(t, changed.Error(), "eve")
	assert.Equal(t, Waiting, d.stage(id), "an edit requires new approvals")
	d.mustRefuse(Approve{id, c.Digest(), "eve", "sre"}, &selfApproval)
	d.mustApply(Approve{id, c.Digest(), "dan", "sre"})
	elsewhere := c
	elsewhere.Subject = Subject{Scope: Doors, Names: []string{"d1"}}
	d.mustApply(Edit{id, d.Entries[id].Revision, elsewhere, "eve", false})
	d.mustApply(Edit{id, d.Entries[id].Revision, c, "eve", false})
	assert.Empty(t, d.Entries[id].Approvals, "two edits that cancel out require new approvals, too")
	d.mustApply(Approve{id, c.Digest(), "ana", "sre"})
	d.mustApply(Approve{id, c.Digest(), "bea", "sre"})
	assert.Equal(t, Approved, d.stage(id))

	var form *FormError
	d.mustRefuse(Refuse{id, c.Digest(), "cem", ""}, &form)
	d.mustApply(Refuse{id, c.Digest(), "cem", "not tonight"})
	assert.Equal(t, Drafted, d.stage(id))
	assert.Empty(t, d.Entries[id].Approvals)
	d.mustApply(Edit{id, d.Entries[id].Revision, c, "eve", false})
	d.mustApply(Approve{id, c.Digest(), "ana", "sre"})
	d.mustApply(Approve{id, c.Digest(), "bea", "sre"})
	late := c
	late.Window = Span{noon + 2*day, noon + 3*day}
	d.mustApply(Edit{id, d.Entries[id].Revision, late, "eve", false})
	d.mustApply(Approve{id, late.Digest(), "ana", "sre"})
	d.mustApply(Approve{id, late.Digest(), "bea", "sre"})
	assert.Equal(t, Approved, d.stage(id))
	d.elapse(day)
	assert.Equal(t, Waiting, d.stage(id), "approvals lapse")
	assert.Contains(t, d.Entries[id].Reason, "lapsed")
}

// A calendar is first used a second or two before there is an agreed time. Approvals and observations of that time must be dated with the
// first agreed time, or they would be dated 1970 and have expired.
func TestTimesBeforeTheFirstAgreedTimeAreBackfilled(t *testing.T) {
	s := New()
	s.SetZones(testZones{})
	do := func(c any) {
		_, err := s.Apply(10, c)
		require.NoError(t, err)
	}
	do(SetRules{Rules: []Rule{{Subject: Subject{Scope: Fleet}, Count: 1}}, Who: "ana"})
	do(Plan{Change: Change{Name: "x", Kind: Terms, Subject: Subject{Scope: Plans}, Window: Span{noon, noon + hour}, Waves: 1, Do: json.RawMessage(`{}`), Preconditions: []string{"quiet"}}, Who: "ana"})
	e := s.Entries[1]
	do(Approve{ID: 1, Digest: e.Digest(), Who: "bea"})
	do(Observe{ID: 1, What: "quiet", Passed: true})
	for i := range 3 {
		do(ReportClock{fmt.Sprint("c", i), noon, 3})
	}
	assert.Equal(t, Due, e.Stage, "the approval has not lapsed")
	assert.NoError(t, s.CheckStart(e), "the observation has not expired")
	for _, ev := range s.Events {
		assert.Equal(t, float64(noon), ev.AtMs, ev.What)
	}
}

func TestFreezeBlocksStartsAndHaltsOrRollsBackRunningEntries(t *testing.T) {
	for policy, after := range map[string]Stage{HaltAfterWave: Running, RollBackAtOnce: RollingBack} {
		d := newFixture(t)
		id := d.plan(testChange(0, 3*hour))
		other := d.plan(Change{Name: "b", Kind: Drain, Subject: Subject{Scope: Doors, Names: []string{"d2"}}, Window: Span{noon, noon + 3*hour}, Waves: 1, Do: json.RawMessage(`1`)})
		d.mustApply(Start{id})
		d.mustApply(SetFreeze{0, 0, testFreeze(5*minute, hour, policy)})
		d.elapse(5 * minute)
		assert.Equal(t, after, d.stage(id), "it is never stopped within a wave")
		var frozen *FrozenError
		d.mustRefuse(Start{other}, &frozen)
		assert.Equal(t, noon+hour, frozen.UntilMs)
		if policy == HaltAfterWave {
			assert.EqualValues(t, 0, d.mustApply(WaveDone{ID: id, Wave: 1}))
			assert.Equal(t, Halted, d.stage(id))
			d.mustRefuse(Resume{id, "ana"}, &frozen)
			d.elapse(hour)
			assert.Equal(t, Running, d.stage(id), "it resumes by itself")
			d.mustApply(WaveDone{ID: id, Wave: 2})
			assert.Equal(t, Done, d.stage(id))
			continue
		}
		d.mustApply(RolledBack{ID: id})
		assert.Equal(t, Withdrawn, d.stage(id))
		d.elapse(hour)
		d.mustApply(Start{other})
	}
}

func TestHaltedEntryDoesNotResumeWithTooLittleTimeLeft(t *testing.T) {
	d := newFixture(t)
	id := d.plan(testChange(0, hour))
	d.mustApply(Start{id})
	d.mustApply(SetFreeze{0, 0, testFreeze(5*minute, 55*minute, HaltAfterWave)})
	d.elapse(10 * minute)
	d.mustApply(WaveDone{ID: id, Wave: 1})
	d.elapse(45 * minute)
	assert.Equal(t, Halted, d.stage(id), "five minutes are left, and its wave takes ten")
	d.mustApply(RollBack{id, "ana", "too late"})
	assert.Equal(t, RollingBack, d.stage(id), "a rollback can start at any time")
	d.mustApply(SetFreeze{0, 0, testFreeze(0, day, RollBackAtOnce)})
	d.elapse(minute)
	assert.Equal(t, RollingBack, d.stage(id), "and no freeze applies to it")
	d.mustApply(RolledBack{ID: id})
}

func TestEntryWithoutRollbackFinishesItsWave(t *testing.T) {
	d := newFixture(t)
	c := testChange(0, 3*hour)
	c.Rollback = nil
	id := d.plan(c)
	d.mustApply(Start{id})
	d.mustApply(SetFreeze{0, 0, testFreeze(minute, hour, RollBackAtOnce)})
	d.elapse(minute)
	assert.Equal(t, Running, d.stage(id))
	d.mustApply(WaveDone{ID: id, Wave: 1})
	assert.Equal(t, Halted, d.stage(id))
	var noRollback *NoRollbackError
	d.mustRefuse(RollBack{id, "ana", "why"}, &noRollback)
}

func TestRollBackFreezeTakesPrecedence(t *testing.T) {
	d := newFixture(t)
	id := d.plan(testChange(0, 3*hour))
	d.mustApply(Start{id})
	d.mustApply(SetFreeze{0, 0, testFreeze(minute, hour, HaltAfterWave)})
	d.mustApply(SetFreeze{0, 0, testFreeze(minute, hour, RollBackAtOnce)})
	d.elapse(minute)
	assert.Equal(t, RollingBack, d.stage(id))
}

func TestEntryRunningPastItsWindowKeepsItsSubject(t *testing.T) {
	d := newFixture(t)
	id := d.plan(testChange(0, hour))
	d.mustApply(Start{id})
	d.elapse(2 * hour)
	c := testChange(2*hour, 3*hour)
	assert.Equal(t, noon+2*hour+20*minute, d.FindFree(&c, 0, 1)[0].FromMs, "at least as long as its remaining waves take")
}

func TestEmergencyNeedsTwoNamesAndBypassesFreezes(t *testing.T) {
	d := newFixture(t)
	d.mustApply(SetFreeze{0, 0, testFreeze(0, day, RollBackAtOnce)})
	id := d.plan(testChange(0, hour))
	var form *FormError
	d.mustRefuse(DeclareEmergency{id, Emergency{"ana", "ana", "fire"}}, &form)
	d.mustRefuse(DeclareEmergency{id, Emergency{"ana", "bea", ""}}, &form)
	var frozen *FrozenError
	d.mustRefuse(Start{id}, &frozen)
	d.mustApply(DeclareEmergency{id, Emergency{"ana", "bea", "fire"}})
	d.mustApply(Start{id})
	d.elapse(minute)
	assert.Equal(t, Running, d.stage(id))
	d.mustApply(WaveDone{ID: id, Wave: 1})
	d.mustApply(WaveDone{ID: id, Wave: 2})
	assert.Equal(t, "fire", d.Entries[id].Emergency.Why)
}

func TestSubjectsBudgetsAndDependenciesLimitStarts(t *testing.T) {
	d := newFixture(t)
	d.mustApply(SetRules{Budgets: []Budget{{Drain, 2}}, Who: "boss"})
	on := func(scope Scope, names ...string) uint64 {
		c := testChange(0, 3*hour)
		c.Subject = Subject{scope, names}
		return d.plan(c)
	}
	zone, inIt, apart, third := on(Zone, "z0"), on(Backends, "b1"), on(Doors, "d2"), on(Doors, "d3")
	unknownZone := on(Doors, "d9")
	d.mustApply(Start{zone})
	var busy *BusyError
	d.mustRefuse(Start{inIt}, &busy)
	assert.Equal(t, zone, busy.Other)
	d.mustRefuse(Start{unknownZone}, &busy) // its zone is unknown, so it may be in z0
	d.mustApply(Start{apart})
	var full *BudgetError
	d.mustRefuse(Start{third}, &full)
	d.mustApply(WaveDone{ID: zone, Wave: 1})
	d.mustApply(WaveDone{ID: zone, Wave: 2})
	d.mustApply(Start{third})

	c := testChange(0, 3*hour)
	c.Kind, c.After, c.Subject = Configuration, []uint64{inIt}, Subject{Plans, []string{"basic"}}
	then := d.plan(c)
	var after *DependencyError
	d.mustRefuse(Start{then}, &after)
	again := d.Entries[inIt].Change
	again.After = []uint64{then}
	var form *FormError
	d.mustRefuse(Edit{inIt, 1, again, "ana", false}, &form)
	assert.Equal(t, "after[0]", form.Key, "a dependency cycle")
	var stage *StageError
	d.mustRefuse(Withdraw{apart, 1, "ana", ""}, &stage)
	d.mustApply(Withdraw{inIt, 1, "ana", "not needed"})
}

func TestEntryDueWithoutALeaderIsMissedOrStartsLate(t *testing.T) {
	for late, want := range map[float64]Stage{0: Missed, 3 * hour: Due} {
		d := newFixture(t)
		c := testChange(hour, 2*hour)
		c.LateMs = late
		id := d.plan(c)
		d.nowMs += 3 * hour
		d.Apply(noon+1, LeaderChanged{}) // the agreed clock stood still without a leader
		assert.Equal(t, Approved, d.stage(id))
		assert.NotEmpty(t, d.ClockProblem)
		for i := range 2 {
			_, err := d.Apply(noon+2, ReportClock{fmt.Sprint("c", i), d.nowMs, 3})
			require.NoError(t, err)
		}
		assert.Equal(t, want, d.stage(id))
	}
}

func TestOneClockAheadStartsNothingEarly(t *testing.T) {
	d := newFixture(t)
	id := d.plan(testChange(10*minute, 2*hour))
	d.Apply(d.nowMs, LeaderChanged{})
	d.Apply(d.nowMs, ReportClock{"c0", d.nowMs + 10*minute, 3}) // the only reading, ten minutes ahead
	var noTime *ClockError
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &noTime)
	d.Apply(d.nowMs, ReportClock{"c1", d.nowMs, 3})
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &noTime, "the two clocks differ")
	d.Apply(d.nowMs, ReportClock{"c2", d.nowMs + 1000, 3})
	var early *BeforeWindowError
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &early)
	assert.Equal(t, d.nowMs, d.WallMs)
	d.Apply(d.nowMs, LeaderChanged{})
	for i, ahead := range []float64{8 * sec, 4 * sec, 0} {
		d.Apply(d.nowMs, ReportClock{fmt.Sprint("c", i), d.nowMs + ahead, 3})
	}
	d.nowMs += sec
	d.Apply(d.nowMs, ReportClock{"c2", d.nowMs, 3})
	assert.Equal(t, d.nowMs+3*sec, d.WallMs, "two clocks agreed on that before; from then on the two earliest count")
	assert.Empty(t, d.ClockProblem)
}

func TestClocksSetBackRepeatNothing(t *testing.T) {
	d := newFixture(t)
	id := d.plan(testChange(0, hour))
	d.mustApply(Start{id})
	d.mustApply(WaveDone{ID: id, Wave: 1})
	d.mustApply(WaveDone{ID: id, Wave: 2})
	was := d.WallMs
	for i := range 3 {
		d.Apply(d.nowMs+1, ReportClock{fmt.Sprint("c", i), noon - day, 3})
	}
	assert.Equal(t, was+1, d.WallMs, "unchanged since the first of the wrong clocks was reported")
	assert.Contains(t, d.ClockProblem, "behind")
	assert.Equal(t, Done, d.stage(id))
	assert.Empty(t, d.Startable())
}

func TestRestoredStateStartsNothing(t *testing.T) {
	d := newFixture(t)
	running, later := d.plan(testChange(0, day)), d.plan(testChange(2*hour, day))
	d.mustApply(Start{running})
	d.mustApply(Restored{"ana"})
	assert.Equal(t, Halted, d.stage(running))
	assert.Equal(t, Drafted, d.stage(later))
	d.elapse(3 * hour)
	assert.Empty(t, d.Startable())
	assert.Equal(t, Halted, d.stage(running))
}

func TestInvalidCommandsNameTheKey(t *testing.T) {
	d := newFixture(t)
	for key, invalidate := range map[string]func(*Change){
		"name":           func(c *Change) { c.Name = "" },
		"kind":           func(c *Change) { c.Kind = "whim" },
		"window":         func(c *Change) { c.Window.ToMs = c.Window.FromMs },
		"late_ms":        func(c *Change) { c.LateMs = -1 },
		"waves":          func(c *Change) { c.Waves = 0 },
		"wave_ms":        func(c *Change) { c.WaveMs = -1 },
		"do":             func(c *Change) { c.Do = json.RawMessage("{") },
		"rollback":       func(c *Change) { c.Rollback = json.RawMessage("{") },
		"after[0]":       func(c *Change) { c.After = []uint64{99} },
		"subject.scope":  func(c *Change) { c.Subject.Scope = "moon" },
		"subject.names":  func(c *Change) { c.Subject.Names = []string{""} },
		"window, before": func(c *Change) { c.Window = Span{noon - hour, noon} },
	} {
		c := testChange(0, hour)
		invalidate(&c)
		var form *FormError
		d.mustRefuse(Plan{Change: c, Who: "ana"}, &form)
		assert.Equal(t, strings.Split(key, ",")[0], form.Key)
	}
	var form *FormError
	d.mustRefuse(Plan{Change: testChange(0, hour)}, &form)
	d.mustRefuse(struct{}{}, &form)
	d.mustRefuse(SetRules{Rules: []Rule{{Subject: Subject{Scope: Fleet}}}}, &form)
	assert.Equal(t, "rules[0].count", form.Key)
	for _, f := range []Freeze{{}, testFreeze(hour, 0, RollBackAtOnce), testFreeze(0, hour, "melt")} {
		d.mustRefuse(SetFreeze{0, 0, f}, &form)
	}
	var unknown *UnknownError
	for _, c := range []any{Start{9}, Withdraw{ID: 9}, Approve{ID: 9}, Refuse{ID: 9}, Thaw{ID: 9}, Halt{ID: 9}, RollBack{ID: 9}, Edit{ID: 9}, WaveDone{ID: 9}, DeclareEmergency{ID: 9}, ExtendFreeze{ID: 9}} {
		d.mustRefuse(c, &unknown)
	}
}

func TestFreezesAreChangedByCompareAndSet(t *testing.T) {
	d := newFixture(t)
	id := d.mustApply(SetFreeze{0, 0, testFreeze(0, hour, RollBackAtOnce)})
	longer := testFreeze(0, 2*hour, RollBackAtOnce)
	d.mustApply(SetFreeze{id, 1, longer})
	var changed *ChangedError
	d.mustRefuse(Thaw{id, 1, "cem", ""}, &changed)
	d.mustApply(Thaw{id, 2, "cem", "over"})
	assert.Empty(t, d.Freezes)
}

func TestEventsAreNumberedAndAcknowledged(t *testing.T) {
	d := newFixture(t)
	id := d.plan(testChange(0, hour))
	d.mustApply(Start{id})
	for i, e := range d.Events {
		assert.EqualValues(t, i+1, e.Number)
	}
	d.mustApply(Acknowledge{2})
	assert.EqualValues(t, 2, d.Acknowledged)
	d.mustApply(Acknowledge{1})
	assert.EqualValues(t, 2, d.Acknowledged, "it never decreases")
	d.mustApply(Acknowledge{999})
	assert.EqualValues(t, d.LastEvent, d.Acknowledged)
}

// A follower that starts from a snapshot must make the same decisions as the coordinators that replayed the whole log.
func TestSnapshotRestoredStateBehavesIdentically(t *testing.T) {
	d := newFixture(t)
	d.mustApply(SetRules{Who: "boss", Rules: []Rule{{Subject: Subject{Scope: Fleet}, Count: 1}}})
	id := d.plan(testChange(hour, 4*hour))
	d.mustApply(SetFreeze{0, 0, testFreeze(2*hour, 3*hour, HaltAfterWave)})
	d.mustApply(Approve{id, d.Entries[id].Digest(), "bea", ""})
	raw, err := json.Marshal(d.State)
	require.NoError(t, err)
	other := New()
	require.NoError(t, json.Unmarshal(raw, other))
	other.SetZones(testZones{})
	for _, c := range []any{ReportClock{"c0", noon + hour, 3}, ReportClock{"c1", noon + hour, 3}, Start{id}, WaveDone{ID: id, Wave: 1}, ReportClock{"c0", noon + 2*hour, 3}, ReportClock{"c1", noon + 2*hour, 3}, WaveDone{ID: id, Wave: 2}} {
		n, err := d.Apply(d.nowMs+1, c)
		m, err2 := other.Apply(d.nowMs+1, c)
		assert.Equal(t, n, m)
		assert.Equal(t, err, err2)
	}
	a, _ := json.Marshal(d.State)
	b, _ := json.Marshal(other)
	assert.JSONEq(t, string(a), string(b))
	assert.Equal(t, Done, d.stage(id))
}

// At maxEntries a new entry evicts the oldest finished one, never one that has yet to run.
func TestOldestFinishedEntriesAreEvictedFirst(t *testing.T) {
	d := newFixture(t)
	kept := d.plan(testChange(0, day))
	for i := range maxEntries + 10 {
		id := uint64(i + 1000)
		d.Entries[id] = &Entry{Change: testChange(-2*hour, -hour), ID: id, Stage: Done}
	}
	before := len(d.Entries)
	d.plan(testChange(0, day))
	assert.Len(t, d.Entries, before)
	assert.NotNil(t, d.Entries[kept])
	assert.Nil(t, d.Entries[1000])
}

func TestSkippedAndRepeatedLocalTimes(t *testing.T) {
	utc := func(text string) float64 {
		at, err := time.Parse(time.RFC3339, text)
		require.NoError(t, err)
		return float64(at.UnixMilli())
	}
	for _, c := range []struct{ in, local, first, second string }{
		{"Europe/Berlin", "2026-07-01T12:00", "2026-07-01T10:00:00Z", "2026-07-01T10:00:00Z"},
		{"Europe/Berlin", "2026-03-29T02:30", "2026-03-29T01:00:00Z", "2026-03-29T01:00:00Z"}, // skipped
		{"Europe/Berlin", "2026-03-29T02:00", "2026-03-29T01:00:00Z", "2026-03-29T01:00:00Z"},
		{"Europe/Berlin", "2026-03-29T03:00", "2026-03-29T01:00:00Z", "2026-03-29T01:00:00Z"},
		{"Europe/Berlin", "2026-10-25T02:30", "2026-10-25T00:30:00Z", "2026-10-25T01:30:00Z"}, // twice
		{"Europe/Berlin", "2026-10-25T02:00", "2026-10-25T00:00:00Z", "2026-10-25T01:00:00Z"},
		{"Europe/Berlin", "2026-10-25T03:00", "2026-10-25T02:00:00Z", "2026-10-25T02:00:00Z"},
		{"Australia/Lord_Howe", "2026-04-05T01:45", "2026-04-04T14:45:00Z", "2026-04-04T15:15:00Z"}, // clocks go back by half an hour
		{"Pacific/Apia", "2011-12-30T12:00", "2011-12-30T10:00:00Z", "2011-12-30T10:00:00Z"},        // a skipped day
		{"UTC", "2026-03-29T02:30", "2026-03-29T02:30:00Z", "2026-03-29T02:30:00Z"},
	} {
		in, err := time.LoadLocation(c.in)
		require.NoError(t, err)
		first, err := ParseLocalTime(c.local, in, false)
		require.NoError(t, err)
		second, err := ParseLocalTime(c.local, in, true)
		require.NoError(t, err)
		assert.Equal(t, utc(c.first), first, "%s %s", c.in, c.local)
		assert.Equal(t, utc(c.second), second, "%s %s", c.in, c.local)
	}
	_, err := ParseLocalTime("soon", time.UTC, false)
	assert.Error(t, err)

	berlin, _ := time.LoadLocation("Europe/Berlin")
	night := Recurrence{Begin: "2026-10-24T02:30", Minutes: 15, RRule: "FREQ=DAILY;COUNT=3", TimeZone: "Europe/Berlin"}
	spans, err := night.Spans(berlin, utc("2026-10-01T00:00:00Z"), utc("2026-12-01T00:00:00Z"))
	require.NoError(t, err)
	assert.Equal(t, []Span{{utc("2026-10-24T00:30:00Z"), utc("2026-10-24T00:45:00Z")},
		{utc("2026-10-25T00:30:00Z"), utc("2026-10-25T01:45:00Z")}, // from the first occurrence to the second
		{utc("2026-10-26T01:30:00Z"), utc("2026-10-26T01:45:00Z")}}, spans)
	w, err := ParseWindow("2026-10-25T02:15", "2026-10-25T02:45", berlin)
	require.NoError(t, err)
	assert.Greater(t, w.FromMs, w.ToMs, "the shortest reading is empty, and Plan rejects it")
	skipped := Recurrence{Begin: "2026-03-28T02:15", Minutes: 30, RRule: "FREQ=DAILY;COUNT=2"}
	spans, err = skipped.Spans(berlin, utc("2026-03-01T00:00:00Z"), utc("2026-04-01T00:00:00Z"))
	require.NoError(t, err)
	assert.Len(t, spans, 1, "the occurrence within the skipped hour is dropped")
}

func TestRecurringFreezeAppliesPastItsExpandedSpans(t *testing.T) {
	d := newFixture(t)
	f := testFreeze(0, 1, HaltAfterWave)
	f.When = Recurrence{Begin: "2024-01-01T00:00", Minutes: 24 * 60, RRule: "FREQ=DAILY", TimeZone: "UTC"}
	require.NoError(t, f.ExpandSpans(time.UTC, noon))
	require.Len(t, f.Spans, 1, "adjacent days are merged into one span")
	id := d.mustApply(SetFreeze{0, 0, f})
	c := testChange(hour, 2*hour)
	assert.Empty(t, d.FindFree(&c, 0, 3), "no free hour within the horizon")
	conflicts, free := d.Conflicts(&c, 0, 3)
	assert.Len(t, conflicts, 1)
	assert.Empty(t, free)
	assert.Empty(t, d.FreezesToExtend())
	d.nowMs += horizonMs/2 + day
	d.Apply(d.nowMs, LeaderChanged{})
	d.reportClocks()
	assert.Equal(t, []uint64{id}, d.FreezesToExtend())
	d.nowMs += horizonMs
	d.reportClocks()
	e := &Entry{Change: c}
	assert.NotNil(t, d.activeFreeze(e, d.nowMs), "past the end of its expansion")
	require.NoError(t, f.ExpandSpans(time.UTC, d.nowMs))
	d.mustApply(ExtendFreeze{id, 1, f.Spans, f.ThroughMs})
	assert.Empty(t, d.FreezesToExtend())
	for _, bad := range []Recurrence{{Begin: "x", Minutes: 1}, {Begin: "2026-01-01T00:00"}, {Begin: "2026-01-01T00:00", Minutes: 1, RRule: "often"},
		{Begin: "2026-01-01T00:00", Minutes: 1, RRule: "FREQ=MINUTELY"}} {
		_, err := bad.Spans(time.UTC, 0, 1)
		var form *FormError
		assert.ErrorAs(t, err, &form)
	}
}

func TestConflictsListFreeAlternatives(t *testing.T) {
	d := newFixture(t)
	d.mustApply(SetRules{Budgets: []Budget{{Drain, 1}}, Who: "boss"})
	d.plan(testChange(hour, 2*hour))
	c := testChange(hour, 2*hour)
	c.Subject = Subject{Scope: Zone, Names: []string{"z0"}}
	conflicts, free := d.Conflicts(&c, 0, 2)
	require.Len(t, conflicts, 2, "its subject, and the budget")
	assert.Contains(t, conflicts[0].Detail, "doors d0")
	assert.Equal(t, []Span{{noon, noon + hour}, {noon + 2*hour, noon + horizonMs}}, free)
	c.Window.ToMs = c.Window.FromMs + 5*minute
	conflicts, _ = d.Conflicts(&c, 0, 2)
	assert.Contains(t, conflicts[0].Detail, "5 min", "its waves take twenty")
	d.mustApply(SetFreeze{0, 0, testFreeze(2*hour, 3*hour, RollBackAtOnce)})
	c.Window = Span{noon + 2*hour, noon + 3*hour + 10*minute}
	conflicts, free = d.Conflicts(&c, 0, 2)
	require.Len(t, conflicts, 1)
	assert.Contains(t, conflicts[0].Detail, "feast")
	assert.Equal(t, noon+3*hour, free[1].FromMs)
	c.Window = Span{noon + 4*hour, noon + 5*hour}
	conflicts, free = d.Conflicts(&c, 0, 2)
	assert.Empty(t, conflicts)
	assert.Empty(t, free)
}
