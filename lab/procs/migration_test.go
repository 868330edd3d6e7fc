package procs

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The move to another shape, halted amid its switch and taken back, while coordinators are killed, stopped and cut off. Whole, and
// halted at each step, it is a command: swifthall lab migrations.
func TestAMigrationOnProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	t.Parallel()
	r, err := Migration{Seed: 1, HaltAt: 2, Doors: 4, Coordinators: 3, Binary: built(t), Rate: 60}.Run(context.Background())
	require.NoError(t, err)
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Asked)
	assert.GreaterOrEqual(t, r.Changes, 2*4, "each door was changed, and changed back")
	t.Logf("%s after %.1f s, back after %.1f s; %d strikes, %d changes, most out %d; %d operations, %d finished, %d rejected, %d failed; %d rejected cold", r.Stage, r.TookS, r.BackS,
		len(r.Faults), r.Changes, r.MostOut, r.Asked, r.Finished, r.Rejected, r.Failed, r.Cold)
}

// Each fault that a migration could have is found by what the rig looks at.
func TestTheMigrationsRigFindsItsFaults(t *testing.T) {
	runs := func(digests ...string) *drill {
		d := &drill{}
		for i, of := range digests {
			p := &party{d: d, name: Door(i), dir: t.TempDir()}
			if of != "" {
				require.NoError(t, os.WriteFile(filepath.Join(p.dir, "runs.json"), []byte(`{"configuration":"`+of+`"}`), 0o600))
			}
			d.doors = append(d.doors, p)
		}
		return d
	}
	old, moved := []string{oldDecides, oldDecides}, []string{newDecides, newDecides}
	for name, c := range map[string]struct {
		haltAt        int
		d             *drill
		before, after []string
		r             MigrationResult
		rules         []string
	}{
		"whole":          {0, runs("x", "x"), old, moved, MigrationResult{Stage: "done"}, nil},
		"taken back":     {2, runs("", ""), old, old, MigrationResult{Stage: "withdrawn"}, nil},
		"one left":       {2, runs("", "x"), old, old, MigrationResult{Stage: "withdrawn"}, []string{Moved}},
		"one not moved":  {0, runs("x", ""), old, moved, MigrationResult{Stage: "done"}, []string{Moved}},
		"decides as new": {2, runs("", ""), old, []string{oldDecides, newDecides}, MigrationResult{Stage: "withdrawn"}, []string{Moved}},
		"decides as old": {0, runs("x", "x"), old, []string{newDecides, oldDecides}, MigrationResult{Stage: "done"}, []string{Moved}},
		"was never old":  {0, runs("x", "x"), moved, moved, MigrationResult{Stage: "done"}, []string{Moved, Moved}},
		"never ended":    {0, runs("x", "x"), old, moved, MigrationResult{Stage: "running"}, []string{EndsAll}},
		"lost one":       {0, runs("x", "x"), old, moved, MigrationResult{Stage: "done", Asked: 1000, Finished: 999, Failed: 1}, []string{NoneLost}},
		"rejected many":  {0, runs("x", "x"), old, moved, MigrationResult{Stage: "done", Asked: 1000, Finished: 990, Rejected: 10}, []string{Unhurt}},
	} {
		Migration{HaltAt: c.haltAt}.judge(c.d, &c.r, c.before, c.after)
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
