package procs

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/load"
)

// Releases on real processes with clients at every door. The long ones are a command: swifthall lab rollouts.
func TestRolloutsOnProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	binary := built(t)
	for kind, doors := range map[string]int{"good": 4, "refused": 4, "crash": 4, "later": 4, "harmful": 4} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r, err := Rollout{Seed: 1, Kind: kind, Doors: doors, Coordinators: 3, Binary: binary, Rate: 60}.Run(context.Background())
			require.NoError(t, err)
			assert.Empty(t, r.Violations)
			assert.Positive(t, r.Asked)
			assert.LessOrEqual(t, r.MostOut, mostDoorsOut)
			t.Logf("%s after %.1f s, decided after %.1f s, back after %.1f s; most out %d; %d operations, %d finished, %d rejected, %d failed; %d rejected cold: %s", r.Stage,
				r.TookS, r.DecidedS, r.BackS, r.MostOut, r.Asked, r.Finished, r.Rejected, r.Failed, r.Cold, r.Reason)
		})
	}
}

func TestADoorThatNoWaveReachedRejectsNothing(t *testing.T) {
	broken := func(kind string, at ...load.Outcome) int {
		r := &RolloutResult{Kind: kind, reached: map[string]bool{Door(0): true}}
		var all []*load.Outcome
		for _, o := range at {
			all = append(all, &o)
			r.Asked, r.Finished, r.Rejected = r.Asked+o.Asked, r.Finished+o.Finished, r.Rejected+o.Rejected
		}
		r.unhurt(all)
		return len(r.Violations)
	}
	fine := load.Outcome{Asked: 1000, Finished: 1000}
	one := load.Outcome{Asked: 1000, Finished: 999, Rejected: 1}
	most := load.Outcome{Asked: 1000, Finished: 100, Rejected: 900}
	assert.Zero(t, broken("good", one, fine), "it had just started")
	assert.Equal(t, 1, broken("good", most, fine))
	assert.Zero(t, broken("harmful", most, fine), "that is the harm")
	assert.Equal(t, 1, broken("harmful", most, one))
	assert.Equal(t, 1, broken("crash", fine, one))
	assert.Equal(t, 2, broken("crash", one, most))
	assert.Zero(t, broken("backends", fine, one))
}

func TestARolloutNobodyKnowsIsNamed(t *testing.T) {
	_, err := Rollout{Kind: "sideways"}.Run(context.Background())
	var name *NameError
	require.ErrorAs(t, err, &name)
}

// It once ran to its end and then fell over the clients that had never begun.
func TestARolloutWithoutClientsDoesNotBegin(t *testing.T) {
	_, err := Rollout{Kind: "crash", Doors: 1, Coordinators: 1}.Run(context.Background())
	var run *load.RunError
	require.ErrorAs(t, err, &run)
	assert.Contains(t, err.Error(), "rate 0")
}

func TestMostAtOnceIsReadFromLooks(t *testing.T) {
	of := func(from, to float64) *party {
		return &party{looks: []look{{0, 1, 200}, {from - 1, from, 503}, {(from + to) / 2, (from + to) / 2, 0}, {to, to + 1, 200}}}
	}
	most, _ := mostAtOnce([]*party{of(10, 30), of(20, 40), of(30, 50)})
	assert.Equal(t, 2, most)
	most, which := mostAtOnce([]*party{of(10, 31), of(20, 40), of(30, 50)})
	assert.Equal(t, 3, most)
	assert.Len(t, which, 3)
	most, _ = mostAtOnce(nil)
	assert.Zero(t, most)
}
