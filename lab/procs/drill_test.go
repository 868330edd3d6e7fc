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

// Drills with real coordinators, doors and operators under random faults keep all rules. They run in parallel, as each takes
// real time.
func TestDrillsOnProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	binary := buildPrograms(t)
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			r, err := Drill{Seed: seed, Seconds: 14, Doors: 6, Coordinators: 3, Binary: binary, Rate: 20}.Run(context.Background())
			require.NoError(t, err)
			assert.Empty(t, r.Violations, r.Faults)
			assert.Positive(t, r.Calls)
			t.Logf("%d faults, %d planned outages began and %d ended, %d calls of which %d refused and %d lost, %d times drained, recovered after %.0f ms; %d of %d operations",
				len(r.Faults), r.Went, r.Returned, r.Calls, r.Refused, r.Lost, r.Drained, r.BackMs, r.Finished, r.Asked)
		})
	}
}

func TestOutagesAreDerivedFromProbes(t *testing.T) {
	probesAt := func(status int, times ...float64) (all []probeResult) {
		for _, x := range times {
			all = append(all, probeResult{x, x + 2, status})
		}
		return all
	}
	var probes []probeResult
	for _, l := range [][]probeResult{probesAt(200, 10, 30), probesAt(503, 50, 70), probesAt(200, 90), probesAt(0, 110), probesAt(503, 210), probesAt(200, 230), probesAt(503, 250)} {
		probes = append(probes, l...)
	}
	all, returned := outagesOf(3, []float64{0, 200}, []float64{100}, []check.Interval{{From: 20, To: 25}}, probes)
	assert.Equal(t, 1, returned)
	assert.Equal(t, []outs.Outage{
		{Door: 3, From: 52, To: 90, Planned: true}, // was ready, and then answered that it is not
		{Door: 3, From: 252, To: math.Inf(1), Planned: true},
		{Door: 3, From: 100, To: 230}, // killed, until its next incarnation is ready; a starting door is no planned outage
		{Door: 3, From: 20, To: 25},
	}, all)
	all, _ = outagesOf(0, []float64{0}, []float64{40}, nil, append(probesAt(200, 10), probesAt(503, 50)...))
	assert.False(t, all[0].Planned, "it was asked to terminate")
}

func TestARequestAtADrainedBackendIsFound(t *testing.T) {
	spans := []drainedSpan{{"b-1", 1000, 3000}}
	assert.Empty(t, requestsWhileDrained(spans, map[string][]float64{"b-1": {900, 1000 + inFlightGraceMs, 3000}, "b-2": {2000}}))
	assert.Equal(t, RuleDrainedBackendSilent, requestsWhileDrained(spans, map[string][]float64{"b-1": {2000}})[0].Rule)
}
