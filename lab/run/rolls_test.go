package run

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/scenarios"
	"github.com/swifthall/swifthall/lab/trace"
)

// outageRecorder records when units are out: doors that are down, and backends that are cold.
type outageRecorder struct {
	verifier    *judge.Verifier
	transitions []transition
	down        map[int]bool
}

type transition struct {
	at   float64
	door bool
	by   int
}

func (r *outageRecorder) Take(e *trace.Event) {
	r.verifier.Take(e)
	switch {
	case e.Kind == trace.DoorDied:
		r.down[e.Door] = true
		r.transitions = append(r.transitions, transition{e.At, true, 1})
	case e.Kind == trace.DoorStarted && r.down[e.Door]:
		delete(r.down, e.Door)
		r.transitions = append(r.transitions, transition{e.At, true, -1})
	case e.Kind == trace.BackendStarted && e.At > 0:
		r.transitions = append(r.transitions, transition{e.At, false, 1}, transition{e.At + e.WarmupTime, false, -1})
	}
}

// summarize returns the most that were out at once, and the time from the first outage to the last return.
func (r *outageRecorder) summarize(door bool) (maxOut int, from, to float64) {
	slices.SortStableFunc(r.transitions, func(a, b transition) int {
		if a.at != b.at {
			return map[bool]int{true: -1, false: 1}[a.at < b.at]
		}
		return a.by - b.by
	})
	now := 0
	for _, e := range r.transitions {
		if e.door == door {
			if now += e.by; from == 0 {
				from = e.at
			}
			maxOut, to = max(maxOut, now), e.at
		}
	}
	return maxOut, from, to
}

// Restarting the next unit as soon as a place is free serves no worse than fixed batches by the clock, and never exceeds the limit.
func TestLimitedOutagesServeAsWellAsFixedBatches(t *testing.T) {
	type setup struct {
		name       string
		faultIndex int // index of the fault
		out        []int
		sets       [][2]string
	}
	setups := []setup{{"rolling-deploy", 0, []int{0, 1, 2, 3}, [][2]string{{"day.seconds", "140"}}}}
	if testing.Verbose() {
		setups = append(setups, setup{"fleet-roll", 1, []int{0, 10, 30, 60}, [][2]string{{"day.seconds", "140"}}})
	}
	for _, w := range setups {
		quality := map[int]float64{}
		for _, out := range w.out {
			const seeds = 3
			var g, took float64
			maxOut := 0
			for seed := range uint64(seeds) {
				opened, err := scenarios.Open(w.name)
				require.NoError(t, err)
				s := &opened
				for _, set := range append(w.sets, [2]string{fmt.Sprintf("fault[%d].most_out", w.faultIndex), fmt.Sprint(out)}) {
					next, err := s.Set(set[0], set[1])
					require.NoError(t, err)
					s = &next
				}
				params := model.JudgeParams(s)
				r := &outageRecorder{verifier: judge.New(params), down: map[int]bool{}}
				require.NoError(t, model.New(s, seed+1, rival.Makers[rival.Swifthall], r).Run(context.Background(), nil))
				res := NewResult(s, seed+1, rival.Swifthall, Simulated, r.verifier)
				assert.Empty(t, res.Broken)
				n, from, to := r.summarize(scenario.Kinds[s.Faults[w.faultIndex].Kind].Target == scenario.TargetDoors)
				g, took, maxOut = g+res.Whole.Earned/res.Whole.Offered/seeds, took+(to-from)/1e3/seeds, max(maxOut, n)
			}
			how := "fixed batches"
			if out > 0 {
				how = fmt.Sprintf("%2d may be out", out)
				assert.LessOrEqual(t, maxOut, out)
			}
			quality[out] = g
			t.Logf("%-14s %s: service %.4f, %5.1f s, at most %d out at once", w.name, how, g, took, maxOut)
		}
		assert.Greater(t, quality[w.out[1]], quality[0]-0.002, "fewer units at once serve no worse")
	}
}
