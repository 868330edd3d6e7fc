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
	sec  = 1e3
	min1 = 60e3
	hour = 3600e3
	day  = 24 * hour
	noon = 20000*day + 12*hour // the day on which most tests begin
)

// units are the fleet of the tests: doors d0 to d3 and backends b0 to b3, two of each in z0 and in z1.
type units struct{}

func (units) ZoneOf(_ Scope, name string) (string, bool) {
	if len(name) != 2 || strings.IndexByte("db", name[0]) < 0 || name[1] > '3' {
		return "", false
	}
	return fmt.Sprintf("z%d", (name[1]-'0')/2), true
}

// desk is a calendar with a clock that the test moves, and three coordinators that tell theirs.
type desk struct {
	*State
	t   *testing.T
	now float64 // true time
}

func open(t *testing.T) *desk {
	d := &desk{New(), t, noon}
	d.SetZones(units{})
	d.clocks()
	return d
}

// clocks has the three tell what they show, rightly.
func (d *desk) clocks() {
	for i := range 3 {
		_, err := d.Apply(d.now, ReportClock{fmt.Sprint("c", i), d.now, 3})
		require.NoError(d.t, err)
	}
}

func (d *desk) pass(ms float64) {
	d.now += ms
	d.clocks()
}

func (d *desk) must(c any) uint64 {
	n, err := d.Apply(d.now, c)
	require.NoError(d.t, err, "%#v", c)
	return n
}

func (d *desk) refused(c any, as any) {
	before, err := json.Marshal(d.State)
	require.NoError(d.t, err)
	_, err = d.Apply(d.now, c)
	require.ErrorAs(d.t, err, as, "%#v", c)
	after, _ := json.Marshal(d.State)
	assert.JSONEq(d.t, string(before), string(after), "a command with an error has changed nothing")
	typed := remedy.Typed(err)
	require.Len(d.t, typed, 1)
	assert.NotEmpty(d.t, typed[0].Remedy())
	assert.Equal(d.t, remedy.Refused, typed[0].Kind())
}

func change(from, to float64) Change {
	return Change{Name: "a", Kind: Drain, Subject: Subject{Scope: Doors, Names: []string{"d0"}}, Window: Span{noon + from, noon + to},
		Waves: 2, WaveMs: 10 * min1, Do: json.RawMessage(`{"drain":"d0"}`), Rollback: json.RawMessage(`{"undrain":"d0"}`)}
}

func (d *desk) plan(c Change) uint64 { return d.must(Plan{Change: c, Who: "ana"}) }

func (d *desk) stage(id uint64) Stage { return d.Entries[id].Stage }

func freeze(from, to float64, sends string) Freeze {
	return Freeze{Name: "feast", Subject: Subject{Scope: Fleet}, Spans: []Span{{noon + from, noon + to}}, RunningPolicy: sends, Who: "bea", Why: "a feast"}
}

func TestWhereNothingIsAskedForAChangeNeedsNobody(t *testing.T) {
	d := open(t)
	id := d.plan(change(hour, 2*hour))
	assert.Equal(t, Approved, d.stage(id))
	var early *BeforeWindowError
	d.refused(Start{id}, &early)
	d.pass(hour)
	assert.Equal(t, Due, d.stage(id))
	assert.Equal(t, []uint64{id}, d.Startable())
	d.must(Start{id})
	assert.Equal(t, Running, d.stage(id))
	var stage *StageError
	d.refused(Start{id}, &stage)
	assert.EqualValues(t, 2, d.must(WaveDone{ID: id, Wave: 1}), "the next wave")
	assert.EqualValues(t, 2, d.must(WaveDone{ID: id, Wave: 1}), "told twice")
	assert.EqualValues(t, 0, d.must(WaveDone{ID: id, Wave: 2}))
	assert.Equal(t, Done, d.stage(id))
	assert.EqualValues(t, 0, d.must(WaveDone{ID: id, Wave: 2}), "told twice")
	assert.Equal(t, 1, d.Entries[id].Starts)
	d.pass(day)
	assert.Equal(t, Done, d.stage(id))
}

func TestApprovalsAreOfOthersForWhatWouldBeDone(t *testing.T) {
	d := open(t)
	d.must(SetRules{Who: "boss", Rules: []Rule{{Kinds: []Kind{Drain}, Subject: Subject{Scope: Zone, Names: []string{"z0"}}, Count: 2, Roles: []string{"sre", "lead"}, ApprovalTTLMs: day}}})
	free := d.plan(Change{Name: "b", Kind: Drain, Subject: Subject{Scope: Doors, Names: []string{"d2"}}, Window: Span{noon, noon + hour}, Waves: 1, Do: json.RawMessage(`1`)})
	assert.Equal(t, Due, d.stage(free), "no rule is about it")
	c := change(hour, 2*hour)
	id := d.plan(c)
	assert.Equal(t, Waiting, d.stage(id))
	digest := c.Digest()
	var own *SelfApprovalError
	d.refused(Approve{id, digest, "ana", "sre"}, &own)
	d.must(Approve{id, digest, "bea", "sre"})
	d.must(Approve{id, digest, "bea", "lead"})
	assert.Equal(t, Waiting, d.stage(id), "the same person counts once")
	d.must(Approve{id, digest, "cem", "intern"})
	var lacks *ApprovalError
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &lacks)
	assert.Equal(t, ApprovalError{id, "ana", 2, 1, []string{"sre", "lead"}}, *lacks)
	d.must(Approve{id, digest, "dan", "sre"})
	assert.Equal(t, Approved, d.stage(id))

	c.Do = json.RawMessage(`{"drain":"d0","hard":true}`)
	var changed *ChangedError
	d.refused(Edit{id, 7, c, "eve", false}, &changed)
	d.must(Edit{id, d.Entries[id].Revision, c, "eve", false}) // in the same millisecond as
	d.refused(Approve{id, digest, "fay", "sre"}, &changed)
	assert.Contains(t, changed.Error(), "eve")
	assert.Equal(t, Waiting, d.stage(id), "a changed change asks anew")
	d.refused(Approve{id, c.Digest(), "eve", "sre"}, &own)
	d.must(Approve{id, c.Digest(), "dan", "sre"})
	elsewhere := c
	elsewhere.Subject = Subject{Scope: Doors, Names: []string{"d1"}}
	d.must(Edit{id, d.Entries[id].Revision, elsewhere, "eve", false})
	d.must(Edit{id, d.Entries[id].Revision, c, "eve", false})
	assert.Empty(t, d.Entries[id].Approvals, "there and back asks anew, too")
	d.must(Approve{id, c.Digest(), "ana", "sre"})
	d.must(Approve{id, c.Digest(), "bea", "sre"})
	assert.Equal(t, Approved, d.stage(id))

	var form *FormError
	d.refused(Refuse{id, c.Digest(), "cem", ""}, &form)
	d.must(Refuse{id, c.Digest(), "cem", "not tonight"})
	assert.Equal(t, Drafted, d.stage(id))
	assert.Empty(t, d.Entries[id].Approvals)
	d.must(Edit{id, d.Entries[id].Revision, c, "eve", false})
	d.must(Approve{id, c.Digest(), "ana", "sre"})
	d.must(Approve{id, c.Digest(), "bea", "sre"})
	late := c
	late.Window = Span{noon + 2*day, noon + 3*day}
	d.must(Edit{id, d.Entries[id].Revision, late, "eve", false})
	d.must(Approve{id, late.Digest(), "ana", "sre"})
	d.must(Approve{id, late.Digest(), "bea", "sre"})
	assert.Equal(t, Approved, d.stage(id))
	d.pass(day)
	assert.Equal(t, Waiting, d.stage(id), "approvals lapse")
	assert.Contains(t, d.Entries[id].Reason, "lapsed")
}

// A calendar's first use comes before its first agreed time, by a second or two: what is said then counts from then.
func TestWhatIsSaidBeforeTheFirstAgreedTimeIsNotOf1970(t *testing.T) {
	s := New()
	s.SetZones(units{})
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
	assert.NoError(t, s.CheckStart(e), "nor is what was seen old")
	for _, ev := range s.Events {
		assert.Equal(t, float64(noon), ev.AtMs, ev.What)
	}
}

func TestAFreezeKeepsWhatWouldBeginAndHaltsOrSendsBackWhatRuns(t *testing.T) {
	for sends, after := range map[string]Stage{HaltAfterWave: Running, RollBackAtOnce: RollingBack} {
		d := open(t)
		id := d.plan(change(0, 3*hour))
		other := d.plan(Change{Name: "b", Kind: Drain, Subject: Subject{Scope: Doors, Names: []string{"d2"}}, Window: Span{noon, noon + 3*hour}, Waves: 1, Do: json.RawMessage(`1`)})
		d.must(Start{id})
		d.must(SetFreeze{0, 0, freeze(5*min1, hour, sends)})
		d.pass(5 * min1)
		assert.Equal(t, after, d.stage(id), "it is never left amid a wave")
		var frozen *FrozenError
		d.refused(Start{other}, &frozen)
		assert.Equal(t, noon+hour, frozen.UntilMs)
		if sends == HaltAfterWave {
			assert.EqualValues(t, 0, d.must(WaveDone{ID: id, Wave: 1}))
			assert.Equal(t, Halted, d.stage(id))
			d.refused(Resume{id, "ana"}, &frozen)
			d.pass(hour)
			assert.Equal(t, Running, d.stage(id), "it goes on by itself")
			d.must(WaveDone{ID: id, Wave: 2})
			assert.Equal(t, Done, d.stage(id))
			continue
		}
		d.must(RolledBack{ID: id})
		assert.Equal(t, Withdrawn, d.stage(id))
		d.pass(hour)
		d.must(Start{other})
	}
}

func TestAHaltedOneDoesNotGoOnWhereItsWindowIsTooShortByThen(t *testing.T) {
	d := open(t)
	id := d.plan(change(0, hour))
	d.must(Start{id})
	d.must(SetFreeze{0, 0, freeze(5*min1, 55*min1, HaltAfterWave)})
	d.pass(10 * min1)
	d.must(WaveDone{ID: id, Wave: 1})
	d.pass(45 * min1)
	assert.Equal(t, Halted, d.stage(id), "five minutes are left, its wave takes ten")
	d.must(RollBack{id, "ana", "too late"})
	assert.Equal(t, RollingBack, d.stage(id), "a way back begins at any time")
	d.must(SetFreeze{0, 0, freeze(0, day, RollBackAtOnce)})
	d.pass(min1)
	assert.Equal(t, RollingBack, d.stage(id), "and no freeze stops it")
	d.must(RolledBack{ID: id})
}

func TestOneWithoutAWayBackFinishesItsWave(t *testing.T) {
	d := open(t)
	c := change(0, 3*hour)
	c.Rollback = nil
	id := d.plan(c)
	d.must(Start{id})
	d.must(SetFreeze{0, 0, freeze(min1, hour, RollBackAtOnce)})
	d.pass(min1)
	assert.Equal(t, Running, d.stage(id))
	d.must(WaveDone{ID: id, Wave: 1})
	assert.Equal(t, Halted, d.stage(id))
	var no *NoRollbackError
	d.refused(RollBack{id, "ana", "why"}, &no)
}

func TestOfTwoFreezesTheOneThatSendsBackIsHeeded(t *testing.T) {
	d := open(t)
	id := d.plan(change(0, 3*hour))
	d.must(Start{id})
	d.must(SetFreeze{0, 0, freeze(min1, hour, HaltAfterWave)})
	d.must(SetFreeze{0, 0, freeze(min1, hour, RollBackAtOnce)})
	d.pass(min1)
	assert.Equal(t, RollingBack, d.stage(id))
}

func TestOneThatRunsPastItsWindowKeepsItsSubject(t *testing.T) {
	d := open(t)
	id := d.plan(change(0, hour))
	d.must(Start{id})
	d.pass(2 * hour)
	c := change(2*hour, 3*hour)
	assert.Equal(t, noon+2*hour+20*min1, d.FindFree(&c, 0, 1)[0].FromMs, "as long as its waves take, at least")
}

func TestAnEmergencyPassesFreezesWithTwoNamesAndStaysMarked(t *testing.T) {
	d := open(t)
	d.must(SetFreeze{0, 0, freeze(0, day, RollBackAtOnce)})
	id := d.plan(change(0, hour))
	var form *FormError
	d.refused(DeclareEmergency{id, Emergency{"ana", "ana", "fire"}}, &form)
	d.refused(DeclareEmergency{id, Emergency{"ana", "bea", ""}}, &form)
	var frozen *FrozenError
	d.refused(Start{id}, &frozen)
	d.must(DeclareEmergency{id, Emergency{"ana", "bea", "fire"}})
	d.must(Start{id})
	d.pass(min1)
	assert.Equal(t, Running, d.stage(id))
	d.must(WaveDone{ID: id, Wave: 1})
	d.must(WaveDone{ID: id, Wave: 2})
	assert.Equal(t, "fire", d.Entries[id].Emergency.Why)
}

func TestOneAtATimeOnASubjectInOrderWithinBudgets(t *testing.T) {
	d := open(t)
	d.must(SetRules{Budgets: []Budget{{Drain, 2}}, Who: "boss"})
	on := func(scope Scope, names ...string) uint64 {
		c := change(0, 3*hour)
		c.Subject = Subject{scope, names}
		return d.plan(c)
	}
	zone, inIt, apart, third := on(Zone, "z0"), on(Backends, "b1"), on(Doors, "d2"), on(Doors, "d3")
	gone := on(Doors, "d9")
	d.must(Start{zone})
	var busy *BusyError
	d.refused(Start{inIt}, &busy)
	assert.Equal(t, zone, busy.Other)
	d.refused(Start{gone}, &busy) // nobody knows where it stands
	d.must(Start{apart})
	var full *BudgetError
	d.refused(Start{third}, &full)
	d.must(WaveDone{ID: zone, Wave: 1})
	d.must(WaveDone{ID: zone, Wave: 2})
	d.must(Start{third})

	c := change(0, 3*hour)
	c.Kind, c.After, c.Subject = Configuration, []uint64{inIt}, Subject{Plans, []string{"basic"}}
	then := d.plan(c)
	var after *DependencyError
	d.refused(Start{then}, &after)
	again := d.Entries[inIt].Change
	again.After = []uint64{then}
	var form *FormError
	d.refused(Edit{inIt, 1, again, "ana", false}, &form)
	assert.Equal(t, "after[0]", form.Key, "a ring")
	var stage *StageError
	d.refused(Withdraw{apart, 1, "ana", ""}, &stage)
	d.must(Withdraw{inIt, 1, "ana", "not needed"})
}

func TestWhatWasDueWhileNobodyLedIsMissedOrRunsLate(t *testing.T) {
	for late, want := range map[float64]Stage{0: Missed, 3 * hour: Due} {
		d := open(t)
		c := change(hour, 2*hour)
		c.LateMs = late
		id := d.plan(c)
		d.now += 3 * hour
		d.Apply(noon+1, LeaderChanged{}) // the agreed clock stood still meanwhile
		assert.Equal(t, Approved, d.stage(id))
		assert.NotEmpty(t, d.ClockProblem)
		for i := range 2 {
			_, err := d.Apply(noon+2, ReportClock{fmt.Sprint("c", i), d.now, 3})
			require.NoError(t, err)
		}
		assert.Equal(t, want, d.stage(id))
	}
}

func TestOneClockAheadStartsNothingEarly(t *testing.T) {
	d := open(t)
	id := d.plan(change(10*min1, 2*hour))
	d.Apply(d.now, LeaderChanged{})
	d.Apply(d.now, ReportClock{"c0", d.now + 10*min1, 3}) // it leads, and is ten minutes ahead
	var doubt *ClockError
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &doubt)
	d.Apply(d.now, ReportClock{"c1", d.now, 3})
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &doubt, "they differ")
	d.Apply(d.now, ReportClock{"c2", d.now + 1000, 3})
	var early *BeforeWindowError
	require.ErrorAs(t, d.CheckStart(d.Entries[id]), &early)
	assert.Equal(t, d.now, d.WallMs)
	d.Apply(d.now, LeaderChanged{})
	for i, ahead := range []float64{8 * sec, 4 * sec, 0} {
		d.Apply(d.now, ReportClock{fmt.Sprint("c", i), d.now + ahead, 3})
	}
	d.now += sec
	d.Apply(d.now, ReportClock{"c2", d.now, 3})
	assert.Equal(t, d.now+3*sec, d.WallMs, "once two had agreed on that; from then on it goes by the earliest two")
	assert.Empty(t, d.ClockProblem)
}

func TestClocksSetBackRepeatNothing(t *testing.T) {
	d := open(t)
	id := d.plan(change(0, hour))
	d.must(Start{id})
	d.must(WaveDone{ID: id, Wave: 1})
	d.must(WaveDone{ID: id, Wave: 2})
	was := d.WallMs
	for i := range 3 {
		d.Apply(d.now+1, ReportClock{fmt.Sprint("c", i), noon - day, 3})
	}
	assert.Equal(t, was+1, d.WallMs, "as it was when one of three had told another")
	assert.Contains(t, d.ClockProblem, "behind")
	assert.Equal(t, Done, d.stage(id))
	assert.Empty(t, d.Startable())
}

func TestAStateOfYesterdayStartsNothingByItself(t *testing.T) {
	d := open(t)
	begun, later := d.plan(change(0, day)), d.plan(change(2*hour, day))
	d.must(Start{begun})
	d.must(Restored{"ana"})
	assert.Equal(t, Halted, d.stage(begun))
	assert.Equal(t, Drafted, d.stage(later))
	d.pass(3 * hour)
	assert.Empty(t, d.Startable())
	assert.Equal(t, Halted, d.stage(begun))
}

func TestWhatIsWrongIsNamedByItsKey(t *testing.T) {
	d := open(t)
	for key, spoil := range map[string]func(*Change){
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
		c := change(0, hour)
		spoil(&c)
		var form *FormError
		d.refused(Plan{Change: c, Who: "ana"}, &form)
		assert.Equal(t, strings.Split(key, ",")[0], form.Key)
	}
	var form *FormError
	d.refused(Plan{Change: change(0, hour)}, &form)
	d.refused(struct{}{}, &form)
	d.refused(SetRules{Rules: []Rule{{Subject: Subject{Scope: Fleet}}}}, &form)
	assert.Equal(t, "rules[0].count", form.Key)
	for _, f := range []Freeze{{}, freeze(hour, 0, RollBackAtOnce), freeze(0, hour, "melt")} {
		d.refused(SetFreeze{0, 0, f}, &form)
	}
	var unknown *UnknownError
	for _, c := range []any{Start{9}, Withdraw{ID: 9}, Approve{ID: 9}, Refuse{ID: 9}, Thaw{ID: 9}, Halt{ID: 9}, RollBack{ID: 9}, Edit{ID: 9}, WaveDone{ID: 9}, DeclareEmergency{ID: 9}, ExtendFreeze{ID: 9}} {
		d.refused(c, &unknown)
	}
}

func TestFreezesAreChangedByCompareAndSet(t *testing.T) {
	d := open(t)
	id := d.must(SetFreeze{0, 0, freeze(0, hour, RollBackAtOnce)})
	longer := freeze(0, 2*hour, RollBackAtOnce)
	d.must(SetFreeze{id, 1, longer})
	var changed *ChangedError
	d.refused(Thaw{id, 1, "cem", ""}, &changed)
	d.must(Thaw{id, 2, "cem", "over"})
	assert.Empty(t, d.Freezes)
}

func TestEventsAreNumberedAndKeptUntilHeard(t *testing.T) {
	d := open(t)
	id := d.plan(change(0, hour))
	d.must(Start{id})
	for i, e := range d.Events {
		assert.EqualValues(t, i+1, e.Number)
	}
	d.must(Acknowledge{2})
	assert.EqualValues(t, 2, d.Acknowledged)
	d.must(Acknowledge{1})
	assert.EqualValues(t, 2, d.Acknowledged, "it never goes back")
	d.must(Acknowledge{999})
	assert.EqualValues(t, d.LastEvent, d.Acknowledged)
}

// What is written down and read again goes on alike: a follower that begins from a snapshot decides as the others do.
func TestASnapshotGoesOnAlike(t *testing.T) {
	d := open(t)
	d.must(SetRules{Who: "boss", Rules: []Rule{{Subject: Subject{Scope: Fleet}, Count: 1}}})
	id := d.plan(change(hour, 4*hour))
	d.must(SetFreeze{0, 0, freeze(2*hour, 3*hour, HaltAfterWave)})
	d.must(Approve{id, d.Entries[id].Digest(), "bea", ""})
	raw, err := json.Marshal(d.State)
	require.NoError(t, err)
	other := New()
	require.NoError(t, json.Unmarshal(raw, other))
	other.SetZones(units{})
	for _, c := range []any{ReportClock{"c0", noon + hour, 3}, ReportClock{"c1", noon + hour, 3}, Start{id}, WaveDone{ID: id, Wave: 1}, ReportClock{"c0", noon + 2*hour, 3}, ReportClock{"c1", noon + 2*hour, 3}, WaveDone{ID: id, Wave: 2}} {
		n, err := d.Apply(d.now+1, c)
		m, err2 := other.Apply(d.now+1, c)
		assert.Equal(t, n, m)
		assert.Equal(t, err, err2)
	}
	a, _ := json.Marshal(d.State)
	b, _ := json.Marshal(other)
	assert.JSONEq(t, string(a), string(b))
	assert.Equal(t, Done, d.stage(id))
}

// What is over goes first when there is no more room, and what is to come stays.
func TestTheOldestThatAreOverGoFirst(t *testing.T) {
	d := open(t)
	kept := d.plan(change(0, day))
	for i := range entriesMost + 10 {
		id := uint64(i + 1000)
		d.Entries[id] = &Entry{Change: change(-2*hour, -hour), ID: id, Stage: Done}
	}
	before := len(d.Entries)
	d.plan(change(0, day))
	assert.Len(t, d.Entries, before)
	assert.NotNil(t, d.Entries[kept])
	assert.Nil(t, d.Entries[1000])
}

func TestLocalTimesThatDoNotExistOrComeTwice(t *testing.T) {
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
		{"Australia/Lord_Howe", "2026-04-05T01:45", "2026-04-04T14:45:00Z", "2026-04-04T15:15:00Z"}, // half an hour
		{"Pacific/Apia", "2011-12-30T12:00", "2011-12-30T10:00:00Z", "2011-12-30T10:00:00Z"},        // a day that never was
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
		{utc("2026-10-25T00:30:00Z"), utc("2026-10-25T01:45:00Z")}, // both of them, and what is between
		{utc("2026-10-26T01:30:00Z"), utc("2026-10-26T01:45:00Z")}}, spans)
	w, err := ParseWindow("2026-10-25T02:15", "2026-10-25T02:45", berlin)
	require.NoError(t, err)
	assert.Greater(t, w.FromMs, w.ToMs, "as short as it can mean: nothing, and planning refuses it")
	skipped := Recurrence{Begin: "2026-03-28T02:15", Minutes: 30, RRule: "FREQ=DAILY;COUNT=2"}
	spans, err = skipped.Spans(berlin, utc("2026-03-01T00:00:00Z"), utc("2026-04-01T00:00:00Z"))
	require.NoError(t, err)
	assert.Len(t, spans, 1, "of the hour that isn't, nothing")
}

func TestRecurringFreezesAreHeldToLastWhereNobodyHasWorkedThemOut(t *testing.T) {
	d := open(t)
	f := freeze(0, 1, HaltAfterWave)
	f.When = Recurrence{Begin: "2024-01-01T00:00", Minutes: 24 * 60, RRule: "FREQ=DAILY", TimeZone: "UTC"}
	require.NoError(t, f.ExpandSpans(time.UTC, noon))
	require.Len(t, f.Spans, 1, "days without a gap are one span")
	id := d.must(SetFreeze{0, 0, f})
	c := change(hour, 2*hour)
	assert.Empty(t, d.FindFree(&c, 0, 3), "no free hour for a year")
	met, instead := d.Conflicts(&c, 0, 3)
	assert.Len(t, met, 1)
	assert.Empty(t, instead)
	assert.Empty(t, d.FreezesToExtend())
	d.now += longestFor/2 + day
	d.Apply(d.now, LeaderChanged{})
	d.clocks()
	assert.Equal(t, []uint64{id}, d.FreezesToExtend())
	d.now += longestFor
	d.clocks()
	e := &Entry{Change: c}
	assert.NotNil(t, d.frozen(e, d.now), "past what was worked out")
	require.NoError(t, f.ExpandSpans(time.UTC, d.now))
	d.must(ExtendFreeze{id, 1, f.Spans, f.ThroughMs})
	assert.Empty(t, d.FreezesToExtend())
	for _, bad := range []Recurrence{{Begin: "x", Minutes: 1}, {Begin: "2026-01-01T00:00"}, {Begin: "2026-01-01T00:00", Minutes: 1, RRule: "often"},
		{Begin: "2026-01-01T00:00", Minutes: 1, RRule: "FREQ=MINUTELY"}} {
		_, err := bad.Spans(time.UTC, 0, 1)
		var form *FormError
		assert.ErrorAs(t, err, &form)
	}
}

func TestConflictsAreToldWithWhatWouldFitInstead(t *testing.T) {
	d := open(t)
	d.must(SetRules{Budgets: []Budget{{Drain, 1}}, Who: "boss"})
	d.plan(change(hour, 2*hour))
	c := change(hour, 2*hour)
	c.Subject = Subject{Scope: Zone, Names: []string{"z0"}}
	met, instead := d.Conflicts(&c, 0, 2)
	require.Len(t, met, 2, "its subject, and the budget")
	assert.Contains(t, met[0].Detail, "doors d0")
	assert.Equal(t, []Span{{noon, noon + hour}, {noon + 2*hour, noon + longestFor}}, instead)
	c.Window.ToMs = c.Window.FromMs + 5*min1
	met, _ = d.Conflicts(&c, 0, 2)
	assert.Contains(t, met[0].Detail, "5 min", "its waves take twenty")
	d.must(SetFreeze{0, 0, freeze(2*hour, 3*hour, RollBackAtOnce)})
	c.Window = Span{noon + 2*hour, noon + 3*hour + 10*min1}
	met, instead = d.Conflicts(&c, 0, 2)
	require.Len(t, met, 1)
	assert.Contains(t, met[0].Detail, "feast")
	assert.Equal(t, noon+3*hour, instead[1].FromMs)
	c.Window = Span{noon + 4*hour, noon + 5*hour}
	met, instead = d.Conflicts(&c, 0, 2)
	assert.Empty(t, met)
	assert.Empty(t, instead)
}
