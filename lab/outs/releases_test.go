package outs

import (
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/release"
)

func comparison(now, watch float64) Evaluator { return release.NewComparison(now, watch) }
func threshold(late float64) func(now, watch float64) Evaluator {
	return func(now, watch float64) Evaluator { return NewThreshold(now, watch, late) }
}

// evaluateReleases simulates releases, half of them harmless, and counts false halts and missed defects.
func evaluateReleases(t *testing.T, n int, rule func(now, watch float64) Evaluator) (falseHalts, missed int) {
	type one struct {
		defect string
		ReleaseResult
	}
	all := make([]one, n)
	var group sync.WaitGroup
	slots := newSlots(4)
	for i := range n {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			defect := ""
			if i%2 == 1 {
				defect = Defects[i/2%len(Defects)]
			}
			all[i] = one{defect, ReleaseSimulation{uint64(i), defect}.Run(rule)}
		})
	}
	group.Wait()
	times, reached := map[string][]float64{}, map[string][]float64{}
	misses := map[string]int{}
	for _, o := range all {
		switch {
		case o.defect == "" && o.Stopped:
			falseHalts++
		case o.defect != "" && !o.Stopped:
			missed++
			misses[o.defect]++
		case o.defect != "":
			times[o.defect], reached[o.defect] = append(times[o.defect], o.AtS), append(reached[o.defect], o.ChangedShare)
		}
	}
	for _, h := range Defects {
		slices.Sort(times[h])
		slices.Sort(reached[h])
		if k := len(times[h]); k > 0 {
			t.Logf("%-8s found %d, missed %d; after %.0f s (median), %.0f s (most); doors reached %.2f (median)", h, k, misses[h], times[h][k/2], times[h][k-1], reached[h][k/2])
		} else {
			t.Logf("%-8s found 0, missed %d", h, misses[h])
		}
	}
	t.Logf("%d releases: %d false halts of %d harmless, %d missed of %d defective", n, falseHalts, (n+1)/2, missed, n/2)
	return falseHalts, missed
}

func TestComparisonStopsDefectiveReleasesOnly(t *testing.T) {
	n := 48
	if testing.Verbose() {
		n = 200
	}
	falseHalts, missed := evaluateReleases(t, n, comparison)
	assert.LessOrEqual(t, falseHalts, n/25)
	assert.LessOrEqual(t, missed, n/12)
	for _, late := range []float64{0.1, 0.2, 0.4} {
		t.Logf("a plain threshold at %g:", late)
		plainFalse, plainMissed := evaluateReleases(t, n, threshold(late))
		assert.Greater(t, plainFalse+plainMissed, falseHalts+missed, "a threshold mistakes general load for a defect, or misses defects")
	}
}
