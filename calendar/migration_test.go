package calendar

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// threeSteps returns the steps of a migration, one for each of the doors d0, d1 and d2, with windows of an hour that follow each other.
func threeSteps() (steps []Change) {
	for i, n := range []string{"d0", "d1", "d2"} {
		c := testChange(float64(i)*hour, float64(i+1)*hour)
		c.Name, c.Kind, c.Subject, c.Waves = "step "+n, MigrationStep, Subject{Scope: Doors, Names: []string{n}}, 1
		steps = append(steps, c)
	}
	return steps
}

// runStep starts an entry of one wave and completes it.
func (d *fixture) runStep(id uint64) {
	d.mustApply(Start{id})
	d.mustApply(WaveDone{ID: id, Wave: 1})
}

func TestMigrationRunsInOrderAndRollsBackInReverse(t *testing.T) {
	d := newFixture(t)
	id := d.mustApply(Migrate{"shape", threeSteps(), "ana"})
	m := d.Migrations[id]
	steps := m.Steps
	require.Len(t, steps, 3)
	d.runStep(steps[0])
	d.elapse(hour)
	d.runStep(steps[1])
	other := testChange(hour, 9*hour)
	other.Subject = Subject{Scope: Doors, Names: []string{"d0"}}
	otherID := d.plan(other)
	var busy *BusyError
	d.mustRefuse(Start{otherID}, &busy) // otherwise a rollback could not restore the initial state of d0
	d.elapse(hour)
	d.mustApply(Start{steps[2]})
	var stage *StageError
	d.mustRefuse(RollBack{steps[2], "ana", "by itself"}, &stage)
	d.mustApply(Halt{steps[2], "bea", "it looks odd"})
	assert.Equal(t, Halted, m.Stage)
	assert.Contains(t, m.Reason, "step 3")
	d.mustApply(SetFreeze{0, 0, testFreeze(2*hour, day, RollBackAtOnce)}) // freezes do not apply to rollbacks
	d.mustApply(RevertMigration{id, "ana", "enough"})
	for _, i := range []int{2, 1, 0} {
		for j, s := range steps {
			assert.Equal(t, j == i, d.stage(s) == RollingBack, "%d while %d rolls back", j, i)
		}
		if i == 1 { // a rollback can be halted and resumed
			d.mustApply(Halt{steps[i], "bea", "stuck"})
			d.mustApply(Resume{steps[i], "bea"})
			assert.Equal(t, RollingBack, d.stage(steps[i]))
		}
		assert.Equal(t, RollingBack, m.Stage)
		d.mustApply(RolledBack{ID: steps[i]})
	}
	assert.Equal(t, Withdrawn, m.Stage)
	d.mustRefuse(RevertMigration{id, "ana", "again"}, &stage)
}

func TestUnstartedMigrationIsWithdrawnAtOnce(t *testing.T) {
	d := newFixture(t)
	id := d.mustApply(Migrate{"shape", threeSteps(), "ana"})
	d.mustApply(RevertMigration{id, "ana", "no"})
	assert.Equal(t, Withdrawn, d.Migrations[id].Stage)
	assert.Equal(t, Withdrawn, d.stage(d.Migrations[id].Steps[0]))
	assert.Empty(t, d.Startable())
}

func TestMissedStepHaltsMigrationUntilReplaced(t *testing.T) {
	d := newFixture(t)
	steps := threeSteps()
	id := d.mustApply(Migrate{"shape", steps, "ana"})
	m := d.Migrations[id]
	d.runStep(m.Steps[0])
	d.elapse(2 * hour)
	assert.Equal(t, Missed, d.stage(m.Steps[1]))
	assert.Equal(t, Halted, m.Stage)
	assert.Empty(t, d.Startable(), "step 3 waits for step 2")

	var changed *ChangedError
	d.mustRefuse(ReplaceSteps{id, 7, steps, "bea"}, &changed)
	later := threeSteps()
	for i := range later[1:] {
		later[i+1].Window = Span{noon + float64(i+3)*hour, noon + float64(i+4)*hour}
	}
	altered := append([]Change{}, later...)
	altered[0].Do = json.RawMessage(`"other"`)
	var started *StepStartedError
	d.mustRefuse(ReplaceSteps{id, m.Revision, altered, "bea"}, &started)
	assert.Equal(t, 0, started.Step)
	d.mustApply(ReplaceSteps{id, m.Revision, later, "bea"})
	assert.Equal(t, Running, m.Stage)
	assert.Len(t, m.Steps, 3)
	d.elapse(hour)
	d.runStep(m.Steps[1])
	d.elapse(hour)
	d.runStep(m.Steps[2])
	assert.Equal(t, Done, m.Stage)
}

func TestFreezeRollingBackAStepHaltsItsMigration(t *testing.T) {
	d := newFixture(t)
	id := d.mustApply(Migrate{"shape", threeSteps(), "ana"})
	m := d.Migrations[id]
	d.runStep(m.Steps[0])
	d.elapse(hour)
	frozen := m.Steps[1]
	d.mustApply(Start{frozen})
	freezeID := d.mustApply(SetFreeze{0, 0, testFreeze(hour+minute, 2*hour, RollBackAtOnce)})
	d.elapse(minute)
	assert.Equal(t, RollingBack, d.stage(frozen))
	assert.Equal(t, Halted, m.Stage)
	d.mustApply(RolledBack{ID: frozen})
	assert.Equal(t, Halted, m.Stage)
	d.mustApply(Thaw{freezeID, 1, "bea", "over"})
	d.mustApply(ReplaceSteps{id, m.Revision, threeSteps(), "ana"})
	assert.NotContains(t, m.Steps, frozen)
	d.runStep(m.Steps[1])
	d.elapse(hour)
	d.runStep(m.Steps[2])
	assert.Equal(t, Done, m.Stage)
}

func TestFailedPostconditionHaltsMigration(t *testing.T) {
	d := newFixture(t)
	steps := threeSteps()
	steps[0].Preconditions, steps[0].Postconditions, steps[0].SoakMs = []string{"no fault"}, []string{"rejections as before"}, 10*minute
	id := d.mustApply(Migrate{"shape", steps, "ana"})
	m := d.Migrations[id]
	first := m.Steps[0]
	var missing *PreconditionError
	d.mustRefuse(Start{first}, &missing)
	d.mustApply(Observe{ID: first, What: "no fault", Passed: true, Detail: ""})
	d.elapse(observationTTLMs + sec)
	d.mustRefuse(Start{first}, &missing)
	d.mustApply(Observe{ID: first, What: "no fault", Passed: false, Detail: "a key"})
	d.mustRefuse(Start{first}, &missing)
	assert.Contains(t, missing.Error(), "a key")
	d.mustApply(Observe{ID: first, What: "no fault", Passed: true, Detail: ""})
	d.mustApply(Observe{ID: first, What: "rejections as before", Passed: true, Detail: "too soon to tell"})
	d.mustApply(Start{first})
	d.mustApply(WaveDone{ID: first, Wave: 1})
	d.elapse(10 * minute)
	assert.Equal(t, Running, d.stage(first), "observations from before the last wave do not count")
	d.mustApply(Observe{ID: first, What: "rejections as before", Passed: false, Detail: "0.3 against 0.1"})
	assert.Equal(t, Halted, d.stage(first))
	assert.Equal(t, Halted, m.Stage)
	assert.Contains(t, m.Reason, "0.3 against 0.1")
	d.mustApply(Resume{first, "ana"})
	d.mustApply(Observe{ID: first, What: "rejections as before", Passed: true, Detail: ""})
	assert.Equal(t, Done, d.stage(first))
	assert.Equal(t, Running, m.Stage)
	var form *FormError
	d.mustRefuse(Observe{ID: m.Steps[1], What: "the moon", Passed: true, Detail: ""}, &form)
}

func TestInvalidStepsNameTheKey(t *testing.T) {
	d := newFixture(t)
	for key, invalidate := range map[string]func([]Change) []Change{
		"steps":                  func([]Change) []Change { return nil },
		"steps[1].waves":         func(s []Change) []Change { s[1].Waves = 0; return s },
		"steps[1].subject.scope": func(s []Change) []Change { s[1].Subject.Scope = "x"; return s },
		"steps[2].rollback":      func(s []Change) []Change { s[2].Rollback = nil; return s },
		"steps[2].after":         func(s []Change) []Change { s[2].After = []uint64{1}; return s },
		"steps[0].soak_ms":       func(s []Change) []Change { s[0].SoakMs = -1; return s },
		"steps[0].preconditions": func(s []Change) []Change { s[0].Preconditions = []string{""}; return s },
		"steps[1].window":        func(s []Change) []Change { s[1].Window = Span{noon - hour, noon - minute}; return s },
	} {
		d.plan(testChange(0, hour)) // so that entry 1 exists
		var form *FormError
		d.mustRefuse(Migrate{"m", invalidate(threeSteps()), "ana"}, &form)
		assert.Equal(t, key, form.Key)
	}
	var form *FormError
	d.mustRefuse(Migrate{"", threeSteps(), "ana"}, &form)
	id := d.mustApply(Migrate{"m", threeSteps(), "ana"})
	m := d.Migrations[id]
	detached := d.Entries[m.Steps[1]].Change
	detached.After = nil
	d.mustRefuse(Edit{m.Steps[1], 1, detached, "ana", false}, &form)
	d.mustRefuse(ReplaceSteps{id, 1, nil, "ana"}, &form)
	d.mustRefuse(RevertMigration{id, "ana", ""}, &form)
	var unknown *UnknownError
	d.mustRefuse(RevertMigration{99, "ana", "x"}, &unknown)
	d.mustRefuse(ReplaceSteps{99, 1, threeSteps(), "ana"}, &unknown)
}

func TestEditDropsObservations(t *testing.T) {
	d := newFixture(t)
	c := testChange(0, hour)
	c.Preconditions = []string{"no fault"}
	id := d.plan(c)
	d.mustApply(Observe{ID: id, What: "no fault", Passed: true, Detail: ""})
	c.Do = json.RawMessage(`"other"`)
	d.mustApply(Edit{id, 1, c, "ana", false})
	var precondition *PreconditionError
	d.mustRefuse(Start{id}, &precondition)
	d.mustApply(Observe{ID: id, What: "no fault", Passed: true, Detail: ""})
	d.mustApply(Start{id})
}

func TestEntryHaltedDuringSoakStaysHalted(t *testing.T) {
	d := newFixture(t)
	c := testChange(0, hour)
	c.SoakMs, c.Postconditions = 10*minute, []string{"well"}
	id := d.plan(c)
	d.mustApply(Start{id})
	d.mustApply(WaveDone{ID: id, Wave: 1})
	d.mustApply(WaveDone{ID: id, Wave: 2})
	d.mustApply(Halt{id, "ana", "look"})
	d.elapse(20 * minute)
	d.mustApply(Observe{ID: id, What: "well", Passed: true, Detail: ""})
	assert.Equal(t, Halted, d.stage(id))
	d.mustApply(Resume{id, "ana"})
	assert.Equal(t, Done, d.stage(id))

	id = d.plan(testChange(0, 2*hour))
	d.mustApply(Start{id})
	d.mustApply(WaveDone{ID: id, Wave: 1})
	d.mustApply(Halt{id, "ana", "look"})
	d.mustApply(WaveDone{ID: id, Wave: 2})
	assert.Equal(t, Halted, d.stage(id), "it was halted during its last wave")
	d.mustApply(Resume{id, "ana"})
	assert.Equal(t, Done, d.stage(id))
}
