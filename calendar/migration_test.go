package calendar

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// three are the steps of a migration, an hour each, at three doors.
func three() (steps []Change) {
	for i, n := range []string{"d0", "d1", "d2"} {
		c := change(float64(i)*hour, float64(i+1)*hour)
		c.Name, c.Kind, c.Subject, c.Waves = "step "+n, MigrationStep, Subject{Scope: Doors, Names: []string{n}}, 1
		steps = append(steps, c)
	}
	return steps
}

// played has a step start and end.
func (d *desk) played(id uint64) {
	d.must(Start{id})
	d.must(WaveDone{ID: id, Wave: 1})
}

func TestAMigrationGoesStepByStepAndBackNewestFirst(t *testing.T) {
	d := open(t)
	id := d.must(Migrate{"shape", three(), "ana"})
	m := d.Migrations[id]
	steps := m.Steps
	require.Len(t, steps, 3)
	d.played(steps[0])
	d.pass(hour)
	d.played(steps[1])
	other := change(hour, 9*hour)
	other.Subject = Subject{Scope: Doors, Names: []string{"d0"}}
	oid := d.plan(other)
	var busy *BusyError
	d.refused(Start{oid}, &busy) // the way back could not end where it began
	d.pass(hour)
	d.must(Start{steps[2]})
	var stage *StageError
	d.refused(RollBack{steps[2], "ana", "by itself"}, &stage)
	d.must(Halt{steps[2], "bea", "it looks odd"})
	assert.Equal(t, Halted, m.Stage)
	assert.Contains(t, m.Reason, "step 3")
	d.must(SetFreeze{0, 0, freeze(2*hour, day, RollBackAtOnce)}) // a way back is never frozen
	d.must(RevertMigration{id, "ana", "enough"})
	for _, i := range []int{2, 1, 0} {
		for j, s := range steps {
			assert.Equal(t, j == i, d.stage(s) == RollingBack, "%d while %d goes back", j, i)
		}
		if i == 1 { // it gets stuck, and goes on
			d.must(Halt{steps[i], "bea", "stuck"})
			d.must(Resume{steps[i], "bea"})
			assert.Equal(t, RollingBack, d.stage(steps[i]))
		}
		assert.Equal(t, RollingBack, m.Stage)
		d.must(RolledBack{ID: steps[i]})
	}
	assert.Equal(t, Withdrawn, m.Stage)
	d.refused(RevertMigration{id, "ana", "again"}, &stage)
}

func TestAMigrationThatIsNeverBegunIsTakenBackAtOnce(t *testing.T) {
	d := open(t)
	id := d.must(Migrate{"shape", three(), "ana"})
	d.must(RevertMigration{id, "ana", "no"})
	assert.Equal(t, Withdrawn, d.Migrations[id].Stage)
	assert.Equal(t, Withdrawn, d.stage(d.Migrations[id].Steps[0]))
	assert.Empty(t, d.Startable())
}

func TestAMissedStepHaltsAMigrationUntilOthersTakeItsPlace(t *testing.T) {
	d := open(t)
	steps := three()
	id := d.must(Migrate{"shape", steps, "ana"})
	m := d.Migrations[id]
	d.played(m.Steps[0])
	d.pass(2 * hour)
	assert.Equal(t, Missed, d.stage(m.Steps[1]))
	assert.Equal(t, Halted, m.Stage)
	assert.Empty(t, d.Startable(), "step 3 waits for step 2")

	var changed *ChangedError
	d.refused(ReplaceSteps{id, 7, steps, "bea"}, &changed)
	later := three()
	for i := range later[1:] {
		later[i+1].Window = Span{noon + float64(i+3)*hour, noon + float64(i+4)*hour}
	}
	spoilt := append([]Change{}, later...)
	spoilt[0].Do = json.RawMessage(`"other"`)
	var begun *StepStartedError
	d.refused(ReplaceSteps{id, m.Revision, spoilt, "bea"}, &begun)
	assert.Equal(t, 0, begun.Step)
	d.must(ReplaceSteps{id, m.Revision, later, "bea"})
	assert.Equal(t, Running, m.Stage)
	assert.Len(t, m.Steps, 3)
	d.pass(hour)
	d.played(m.Steps[1])
	d.pass(hour)
	d.played(m.Steps[2])
	assert.Equal(t, Done, m.Stage)
}

func TestAFreezeThatSendsAStepBackHaltsItsMigration(t *testing.T) {
	d := open(t)
	id := d.must(Migrate{"shape", three(), "ana"})
	m := d.Migrations[id]
	d.played(m.Steps[0])
	d.pass(hour)
	sent := m.Steps[1]
	d.must(Start{sent})
	fid := d.must(SetFreeze{0, 0, freeze(hour+min1, 2*hour, RollBackAtOnce)})
	d.pass(min1)
	assert.Equal(t, RollingBack, d.stage(sent))
	assert.Equal(t, Halted, m.Stage)
	d.must(RolledBack{ID: sent})
	assert.Equal(t, Halted, m.Stage)
	d.must(Thaw{fid, 1, "bea", "over"})
	d.must(ReplaceSteps{id, m.Revision, three(), "ana"})
	assert.NotContains(t, m.Steps, sent)
	d.played(m.Steps[1])
	d.pass(hour)
	d.played(m.Steps[2])
	assert.Equal(t, Done, m.Stage)
}

func TestAStepThatDoesNotShowWhatItMustHaltsItsMigration(t *testing.T) {
	d := open(t)
	steps := three()
	steps[0].Preconditions, steps[0].Postconditions, steps[0].SoakMs = []string{"no fault"}, []string{"rejections as before"}, 10*min1
	id := d.must(Migrate{"shape", steps, "ana"})
	m := d.Migrations[id]
	first := m.Steps[0]
	var unseen *PreconditionError
	d.refused(Start{first}, &unseen)
	d.must(Observe{ID: first, What: "no fault", Passed: true, Detail: ""})
	d.pass(sightFor + sec)
	d.refused(Start{first}, &unseen)
	d.must(Observe{ID: first, What: "no fault", Passed: false, Detail: "a key"})
	d.refused(Start{first}, &unseen)
	assert.Contains(t, unseen.Error(), "a key")
	d.must(Observe{ID: first, What: "no fault", Passed: true, Detail: ""})
	d.must(Observe{ID: first, What: "rejections as before", Passed: true, Detail: "too soon to tell"})
	d.must(Start{first})
	d.must(WaveDone{ID: first, Wave: 1})
	d.pass(10 * min1)
	assert.Equal(t, Running, d.stage(first), "what was seen before its last wave doesn't count")
	d.must(Observe{ID: first, What: "rejections as before", Passed: false, Detail: "0.3 against 0.1"})
	assert.Equal(t, Halted, d.stage(first))
	assert.Equal(t, Halted, m.Stage)
	assert.Contains(t, m.Reason, "0.3 against 0.1")
	d.must(Resume{first, "ana"})
	d.must(Observe{ID: first, What: "rejections as before", Passed: true, Detail: ""})
	assert.Equal(t, Done, d.stage(first))
	assert.Equal(t, Running, m.Stage)
	var form *FormError
	d.refused(Observe{ID: m.Steps[1], What: "the moon", Passed: true, Detail: ""}, &form)
}

func TestStepsAreCheckedByTheirKeys(t *testing.T) {
	d := open(t)
	for key, spoil := range map[string]func([]Change) []Change{
		"steps":                  func([]Change) []Change { return nil },
		"steps[1].waves":         func(s []Change) []Change { s[1].Waves = 0; return s },
		"steps[1].subject.scope": func(s []Change) []Change { s[1].Subject.Scope = "x"; return s },
		"steps[2].rollback":      func(s []Change) []Change { s[2].Rollback = nil; return s },
		"steps[2].after":         func(s []Change) []Change { s[2].After = []uint64{1}; return s },
		"steps[0].soak_ms":       func(s []Change) []Change { s[0].SoakMs = -1; return s },
		"steps[0].preconditions": func(s []Change) []Change { s[0].Preconditions = []string{""}; return s },
		"steps[1].window":        func(s []Change) []Change { s[1].Window = Span{noon - hour, noon - min1}; return s },
	} {
		d.plan(change(0, hour)) // that there is an entry 1
		var form *FormError
		d.refused(Migrate{"m", spoil(three()), "ana"}, &form)
		assert.Equal(t, key, form.Key)
	}
	var form *FormError
	d.refused(Migrate{"", three(), "ana"}, &form)
	id := d.must(Migrate{"m", three(), "ana"})
	m := d.Migrations[id]
	loose := d.Entries[m.Steps[1]].Change
	loose.After = nil
	d.refused(Edit{m.Steps[1], 1, loose, "ana", false}, &form)
	d.refused(ReplaceSteps{id, 1, nil, "ana"}, &form)
	d.refused(RevertMigration{id, "ana", ""}, &form)
	var unknown *UnknownError
	d.refused(RevertMigration{99, "ana", "x"}, &unknown)
	d.refused(ReplaceSteps{99, 1, three(), "ana"}, &unknown)
}

func TestAnEditDropsWhatWasObservedForSomethingElse(t *testing.T) {
	d := open(t)
	c := change(0, hour)
	c.Preconditions = []string{"no fault"}
	id := d.plan(c)
	d.must(Observe{ID: id, What: "no fault", Passed: true, Detail: ""})
	c.Do = json.RawMessage(`"other"`)
	d.must(Edit{id, 1, c, "ana", false})
	var precondition *PreconditionError
	d.refused(Start{id}, &precondition)
	d.must(Observe{ID: id, What: "no fault", Passed: true, Detail: ""})
	d.must(Start{id})
}

func TestOneHaltedAmidItsWatchStaysHalted(t *testing.T) {
	d := open(t)
	c := change(0, hour)
	c.SoakMs, c.Postconditions = 10*min1, []string{"well"}
	id := d.plan(c)
	d.must(Start{id})
	d.must(WaveDone{ID: id, Wave: 1})
	d.must(WaveDone{ID: id, Wave: 2})
	d.must(Halt{id, "ana", "look"})
	d.pass(20 * min1)
	d.must(Observe{ID: id, What: "well", Passed: true, Detail: ""})
	assert.Equal(t, Halted, d.stage(id))
	d.must(Resume{id, "ana"})
	assert.Equal(t, Done, d.stage(id))

	id = d.plan(change(0, 2*hour))
	d.must(Start{id})
	d.must(WaveDone{ID: id, Wave: 1})
	d.must(Halt{id, "ana", "look"})
	d.must(WaveDone{ID: id, Wave: 2})
	assert.Equal(t, Halted, d.stage(id), "its last wave was under way")
	d.must(Resume{id, "ana"})
	assert.Equal(t, Done, d.stage(id))
}
