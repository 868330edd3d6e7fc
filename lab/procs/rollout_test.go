package procs

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/load"
)

// Releases on real processes with clients at every door. The longer kinds run with the command swifthall lab rollouts.
func TestRolloutsOnProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	binary := buildPrograms(t)
	for kind, doors := range map[string]int{"good": 4, "refused": 4, "crash": 4, "later": 4, "harmful": 4} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r, err := Rollout{Seed: 1, Kind: kind, Doors: doors, Coordinators: 3, Binary: binary, Rate: 60}.Run(context.Background())
			require.NoError(t, err)
			assert.Empty(t, r.Violations)
			assert.Positive(t, r.Asked)
			assert.LessOrEqual(t, r.MostOut, maxDoorsOut)
			t.Logf("%s after %.1f s, decided after %.1f s, back after %.1f s; most out %d; %d operations, %d finished, %d rejected, %d failed; %d rejected in warm-up: %s", r.Stage,
				r.TookS, r.DecidedS, r.BackS, r.MostOut, r.Asked, r.Finished, r.Rejected, r.Failed, r.RejectedInWarmUp, r.Reason)
		})
	}
}

func TestUnreachedDoorMustNotReject(t *testing.T) {
	violations := func(kind string, at ...load.Outcome) int {
		r := &RolloutResult{Kind: kind, reachedUnits: map[string]bool{Door(0): true}}
		var all []*load.Outcome
		for _, o := range at {
			all = append(all, &o)
			r.Asked, r.Finished, r.Rejected = r.Asked+o.Asked, r.Finished+o.Finished, r.Rejected+o.Rejected
		}
		r.checkRejections(all)
		return len(r.Violations)
	}
	fine := load.Outcome{Asked: 1000, Finished: 1000}
	one := load.Outcome{Asked: 1000, Finished: 999, Rejected: 1}
	most := load.Outcome{Asked: 1000, Finished: 100, Rejected: 900}
	assert.Zero(t, violations("good", one, fine), "a changed door has just started")
	assert.Equal(t, 1, violations("good", most, fine))
	assert.Zero(t, violations("harmful", most, fine), "the harmful release causes these")
	assert.Equal(t, 1, violations("harmful", most, one))
	assert.Equal(t, 1, violations("crash", fine, one))
	assert.Equal(t, 2, violations("crash", one, most))
	assert.Zero(t, violations("backends", fine, one))
}

func TestUnknownRolloutKindIsAnError(t *testing.T) {
	_, err := Rollout{Kind: "sideways"}.Run(context.Background())
	var name *NameError
	require.ErrorAs(t, err, &name)
}

// Guards against a rollout that runs to its end and then crashes because its clients could not be started.
func TestRolloutWithoutClientsIsRefused(t *testing.T) {
	_, err := Rollout{Kind: "crash", Doors: 1, Coordinators: 1}.Run(context.Background())
	var run *load.RunError
	require.ErrorAs(t, err, &run)
	assert.Contains(t, err.Error(), "rate 0")
}

func TestMaxConcurrentOutagesFromProbes(t *testing.T) {
	doorOut := func(from, to float64) *node {
		return &node{probes: []probeResult{{0, 1, 200}, {from - 1, from, 503}, {(from + to) / 2, (from + to) / 2, 0}, {to, to + 1, 200}}}
	}
	most, _ := maxConcurrentOutages([]*node{doorOut(10, 30), doorOut(20, 40), doorOut(30, 50)})
	assert.Equal(t, 2, most)
	most, which := maxConcurrentOutages([]*node{doorOut(10, 31), doorOut(20, 40), doorOut(30, 50)})
	assert.Equal(t, 3, most)
	assert.Len(t, which, 3)
	most, _ = maxConcurrentOutages(nil)
	assert.Zero(t, most)
}
