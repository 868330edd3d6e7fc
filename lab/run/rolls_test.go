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

// rolled follows who is out: doors that are down, and backends that are cold.
type rolled struct {
	judge *judge.Verifier
	edges []edge
	down  map[int]bool
}

type edge struct {
	at   float64
	door bool
	by   int
}

func (r *rolled) Take(e *trace.Event) {
	r.judge.Take(e)
	switch {
	case e.Kind == trace.DoorDied:
		r.down[e.Door] = true
		r.edges = append(r.edges, edge{e.At, true, 1})
	case e.Kind == trace.DoorStarted && r.down[e.Door]:
		delete(r.down, e.Door)
		r.edges = append(r.edges, edge{e.At, true, -1})
	case e.Kind == trace.BackendStarted && e.At > 0:
		r.edges = append(r.edges, edge{e.At, false, 1}, edge{e.At + e.WarmupTime, false, -1})
	}
}

// sums is the most that was out at once, and from when to when any was.
func (r *rolled) sums(door bool) (most int, from, to float64) {
	slices.SortStableFunc(r.edges, func(a, b edge) int {
		if a.at != b.at {
			return map[bool]int{true: -1, false: 1}[a.at < b.at]
		}
		return a.by - b.by
	})
	now := 0
	for _, e := range r.edges {
		if e.door == door {
			if now += e.by; from == 0 {
				from = e.at
			}
			most, to = max(most, now), e.at
		}
	}
	return most, from, to
}

// Backends and doors that go by the clock, a batch each so many seconds, beside ones that go as places are free.
func TestGoingAsPlacesAreFreeBesideFixedBatches(t *testing.T) {
	type way struct {
		name  string
		which int // fault
		out   []int
		sets  [][2]string
	}
	ways := []way{{"rolling-deploy", 0, []int{0, 1, 2, 3}, [][2]string{{"day.seconds", "140"}}}}
	if testing.Verbose() {
		ways = append(ways, way{"fleet-roll", 1, []int{0, 10, 30, 60}, [][2]string{{"day.seconds", "140"}}})
	}
	for _, w := range ways {
		quality := map[int]float64{}
		for _, out := range w.out {
			const seeds = 3
			var g, took float64
			most := 0
			for seed := range uint64(seeds) {
				day, err := scenarios.Open(w.name)
				require.NoError(t, err)
				s := &day
				for _, set := range append(w.sets, [2]string{fmt.Sprintf("fault[%d].most_out", w.which), fmt.Sprint(out)}) {
					next, err := s.Set(set[0], set[1])
					require.NoError(t, err)
					s = &next
				}
				deal := model.JudgeTerms(s)
				r := &rolled{judge: judge.New(deal), down: map[int]bool{}}
				require.NoError(t, model.New(s, seed+1, rival.Makers[rival.Swifthall], r).Run(context.Background(), nil))
				res := NewResult(s, seed+1, rival.Swifthall, Simulated, r.judge)
				assert.Empty(t, res.Broken)
				n, from, to := r.sums(scenario.Kinds[s.Faults[w.which].Kind].Target == scenario.TargetDoors)
				g, took, most = g+res.Whole.Earned/res.Whole.Offered/seeds, took+(to-from)/1e3/seeds, max(most, n)
			}
			how := "fixed batches"
			if out > 0 {
				how = fmt.Sprintf("%2d may be out", out)
				assert.LessOrEqual(t, most, out)
			}
			quality[out] = g
			t.Logf("%-14s %s: service %.4f, %5.1f s, most out at once %d", w.name, how, g, took, most)
		}
		assert.Greater(t, quality[w.out[1]], quality[0]-0.002, "fewer at once costs no service")
	}
}
