package release

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// runComparison feeds a comparison with the counts of doors, which grow by of(i) per second, and returns the first final verdict.
func runComparison(c *Comparison, from, to float64, doors, changed int, of func(i int) Counts) (v Verdict) {
	for now := from; now <= to; now += 1e3 {
		s := now / 1e3
		for i := range doors {
			n := of(i)
			grown := Counts{Process: uint64(i + 1), Arrived: uint64(s * float64(n.Arrived)), InTime: uint64(s * float64(n.InTime)), Finished: uint64(s * float64(n.Finished)),
				Rejected: uint64(s * float64(n.Rejected)), Failed: uint64(s * float64(n.Failed)), LatencyMs: s * n.LatencyMs, MemoryMB: n.MemoryMB}
			c.Record(now, fmt.Sprintf("d%02d", i), i < changed, grown)
		}
		if v = c.Evaluate(now); v.Outcome != Wait {
			return v
		}
	}
	return v
}

var healthy = Counts{Arrived: 100, InTime: 95, Finished: 97, Rejected: 2, Failed: 1, LatencyMs: 97 * 40, MemoryMB: 12}

func TestHealthyWaveGoesOnAfterItsWatch(t *testing.T) {
	c := NewComparison(0, 30e3)
	v := runComparison(c, 0, 200e3, 10, 1, func(i int) Counts { n := healthy; n.InTime -= uint64(i % 3); return n })
	assert.Equal(t, GoOn, v.Outcome, v.Why)
	assert.GreaterOrEqual(t, c.nextAtMs, 40e3)
}

func TestEachRegressionIsDetectedAndNamed(t *testing.T) {
	for name, bad := range map[string]func(n *Counts){
		"not finished in contract time": func(n *Counts) { n.InTime = 85 },
		"scrapped":                      func(n *Counts) { n.Failed, n.InTime = 8, 92 },
		"latency":                       func(n *Counts) { n.LatencyMs *= 1.6 },
		"memory":                        func(n *Counts) { n.MemoryMB *= 3 },
	} {
		c := NewComparison(0, 60e3)
		v := runComparison(c, 0, 200e3, 12, 3, func(i int) Counts {
			n := healthy
			n.InTime -= uint64(i % 3)
			n.LatencyMs *= 1 + 0.01*float64(i%4)
			if i < 3 {
				bad(&n)
			}
			return n
		})
		assert.Equal(t, GoBack, v.Outcome, name+": "+v.Why)
		assert.Contains(t, v.Why, name)
	}
}

func TestDegradationOfAllDoorsDoesNotRollBack(t *testing.T) {
	v := runComparison(NewComparison(0, 30e3), 0, 200e3, 10, 2, func(i int) Counts { n := healthy; n.InTime, n.Rejected = 40, 50; n.InTime -= uint64(i % 4); return n })
	assert.Equal(t, GoOn, v.Outcome, v.Why)
}

func TestRestartOfChangedDoorRollsBackAtOnce(t *testing.T) {
	c := NewComparison(0, 30e3)
	c.Record(0, "d1", true, Counts{Process: 1, Arrived: 50})
	c.Record(1000, "d1", true, Counts{Process: 2})
	assert.Equal(t, GoBack, c.Evaluate(1000).Outcome)
	c = NewComparison(0, 30e3)
	c.RecordFailure("d1", "could not start")
	assert.Equal(t, Verdict{GoBack, "d1: could not start"}, c.Evaluate(0))
}

func TestTooFewRequestsHaltsTheWave(t *testing.T) {
	v := runComparison(NewComparison(0, 10e3), 0, 200e3, 6, 1, func(i int) Counts {
		if i == 0 {
			return Counts{Arrived: 1, InTime: 1, Finished: 1}
		}
		return healthy
	})
	assert.Equal(t, Stop, v.Outcome)
	assert.Contains(t, v.Why, "operations at the changed")
}

func TestWithoutUnchangedDoorsOnlyFailuresCount(t *testing.T) {
	v := runComparison(NewComparison(0, 10e3), 0, 200e3, 4, 4, func(int) Counts { return healthy })
	assert.Equal(t, GoOn, v.Outcome)
	assert.Contains(t, v.Why, "nobody is left")
}

func TestLimitsOverrideDefaults(t *testing.T) {
	worse := func(i int) Counts {
		n := healthy
		n.InTime -= uint64(i % 3)
		if i < 3 {
			n.InTime -= 15
		}
		return n
	}
	v := runComparison(NewComparison(0, 30e3), 0, 200e3, 12, 3, worse)
	assert.Equal(t, GoBack, v.Outcome)
	v = runComparison(NewComparison(0, 30e3).WithLimits(Ends{Requests: 0.3}), 0, 200e3, 12, 3, worse)
	assert.Equal(t, GoOn, v.Outcome, v.Why)
}
