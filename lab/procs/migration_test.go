package procs

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The move to another shape of tariffs, halted during its switch and rolled back, while coordinators are killed, paused and cut
// off. The whole migration, and a halt at each step, run with the command swifthall lab migrations.
func TestMigrationOnProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	t.Parallel()
	r, err := Migration{Seed: 1, HaltAt: 2, Doors: 4, Coordinators: 3, Binary: buildPrograms(t), Rate: 60}.Run(context.Background())
	require.NoError(t, err)
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Asked)
	assert.GreaterOrEqual(t, r.Changes, 2*4, "each door was changed and rolled back")
	t.Logf("%s after %.1f s, back after %.1f s; %d faults, %d changes, most out %d; %d operations, %d finished, %d rejected, %d failed; %d rejected in warm-up", r.Stage, r.TookS, r.BackS,
		len(r.Faults), r.Changes, r.MostOut, r.Asked, r.Finished, r.Rejected, r.Failed, r.RejectedInWarmUp)
}

// The checks of a migration find each way in which it can go wrong.
func TestMigrationViolationsAreFound(t *testing.T) {
	runs := func(digests ...string) *drill {
		d := &drill{}
		for i, digest := range digests {
			p := &node{d: d, name: Door(i), dir: t.TempDir()}
			if digest != "" {
				require.NoError(t, os.WriteFile(filepath.Join(p.dir, "runs.json"), []byte(`{"configuration":"`+digest+`"}`), 0o600))
			}
			d.doors = append(d.doors, p)
		}
		return d
	}
	oldShape, newShape := []string{oldStatuses, oldStatuses}, []string{newStatuses, newStatuses}
	for name, c := range map[string]struct {
		haltAt        int
		d             *drill
		before, after []string
		r             MigrationResult
		rules         []string
	}{
		"whole":          {0, runs("x", "x"), oldShape, newShape, MigrationResult{Stage: "done"}, nil},
		"rolled back":    {2, runs("", ""), oldShape, oldShape, MigrationResult{Stage: "withdrawn"}, nil},
		"one not back":   {2, runs("", "x"), oldShape, oldShape, MigrationResult{Stage: "withdrawn"}, []string{RuleMigrationOutcome}},
		"one not moved":  {0, runs("x", ""), oldShape, newShape, MigrationResult{Stage: "done"}, []string{RuleMigrationOutcome}},
		"decides as new": {2, runs("", ""), oldShape, []string{oldStatuses, newStatuses}, MigrationResult{Stage: "withdrawn"}, []string{RuleMigrationOutcome}},
		"decides as old": {0, runs("x", "x"), oldShape, []string{newStatuses, oldStatuses}, MigrationResult{Stage: "done"}, []string{RuleMigrationOutcome}},
		"was never old":  {0, runs("x", "x"), newShape, newShape, MigrationResult{Stage: "done"}, []string{RuleMigrationOutcome, RuleMigrationOutcome}},
		"never ended":    {0, runs("x", "x"), oldShape, newShape, MigrationResult{Stage: "running"}, []string{RuleMigrationEnds}},
		"lost one":       {0, runs("x", "x"), oldShape, newShape, MigrationResult{Stage: "done", Asked: 1000, Finished: 999, Failed: 1}, []string{RuleNoFailedOperation}},
		"rejected many":  {0, runs("x", "x"), oldShape, newShape, MigrationResult{Stage: "done", Asked: 1000, Finished: 990, Rejected: 10}, []string{RuleUnchangedDoorsServe}},
	} {
		Migration{HaltAt: c.haltAt}.verify(c.d, &c.r, c.before, c.after)
		var rules []string
		for _, b := range c.r.Violations {
			rules = append(rules, b.Rule)
		}
		assert.Equal(t, c.rules, rules, name)
	}
	_, err := Migration{HaltAt: 9, Rate: 1}.Run(context.Background())
	var wrong *NameError
	assert.ErrorAs(t, err, &wrong)
}
