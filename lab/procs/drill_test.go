package procs

import (
	"context"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/outs"
	"github.com/swifthall/swifthall/lab/procs/check"
)

// Real coordinators, doors and operators under drawn faults. Each drill is real time, so they run side by side.
func TestDrillsOnProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	binary := built(t)
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			r, err := Drill{Seed: seed, Seconds: 14, Doors: 6, Coordinators: 3, Binary: binary, Rate: 20}.Run(context.Background())
			require.NoError(t, err)
			assert.Empty(t, r.Violations, r.Faults)
			assert.Positive(t, r.Calls)
			t.Logf("%d strikes, %d doors went and %d came back, %d calls of which %d refused and %d lost, %d times drained, all back %.0f ms; %d of %d operations",
				len(r.Faults), r.Went, r.Returned, r.Calls, r.Refused, r.Lost, r.Drained, r.BackMs, r.Finished, r.Asked)
		})
	}
}

func TestWhatWasLookedAtIsReadAsItTrulyWas(t *testing.T) {
	at := func(status int, times ...float64) (all []look) {
		for _, x := range times {
			all = append(all, look{x, x + 2, status})
		}
		return all
	}
	var looks []look
	for _, l := range [][]look{at(200, 10, 30), at(503, 50, 70), at(200, 90), at(0, 110), at(503, 210), at(200, 230), at(503, 250)} {
		looks = append(looks, l...)
	}
	all, back := gone(3, []float64{0, 200}, []float64{100}, []check.Spell{{From: 20, To: 25}}, looks)
	assert.Equal(t, 1, back)
	assert.Equal(t, []outs.Outage{
		{Door: 3, From: 52, To: 90, Planned: true}, // it was ready, and said that it can't serve
		{Door: 3, From: 252, To: math.Inf(1), Planned: true},
		{Door: 3, From: 100, To: 230}, // killed: until its next life can serve; a start is no plan
		{Door: 3, From: 20, To: 25},
	}, all)
	all, _ = gone(0, []float64{0}, []float64{40}, nil, append(at(200, 10), at(503, 50)...))
	assert.False(t, all[0].Planned, "it was told to end")
}

func TestARequestAtADrainedBackendIsFound(t *testing.T) {
	claims := []claim{{"b-1", 1000, 3000}}
	assert.Empty(t, silent(claims, map[string][]float64{"b-1": {900, 1000 + claimSlack, 3000}, "b-2": {2000}}))
	assert.Equal(t, Silent, silent(claims, map[string][]float64{"b-1": {2000}})[0].Rule)
}
