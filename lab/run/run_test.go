package run

import (
	"context"
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/scenario"
)

const testScenario = `
name = "town"
[day]
seconds = 8
[fleet]
doors = 2
backends = 4
[load]
share = 0.5
[[profile]]
name = "look"
work_ms = 40.0
contract_ms = 500.0
outer_ms = 1500.0
[[plan]]
name = "basic"
per_s = 5.0
depth = 10.0
`

func parseScenario(t *testing.T) *scenario.Scenario {
	s, err := scenario.Read([]byte(testScenario))
	require.NoError(t, err)
	return &s
}

func TestSameSeedGivesSameBytes(t *testing.T) {
	var last []byte
	for range 3 {
		r, err := Spec{Scenario: parseScenario(t), Seed: 5, Policy: rival.Swifthall}.RunScored(context.Background(), nil)
		require.NoError(t, err)
		raw, err := json.Marshal(r)
		require.NoError(t, err)
		if last != nil {
			assert.Equal(t, string(last), string(raw))
		}
		last = raw
	}
}

func TestScoreLiesBetweenFloorAndOracle(t *testing.T) {
	assert.Equal(t, 1.0, ScoreValue(0.9, false, 0.1, 0.9))
	assert.InDelta(t, 0.5, ScoreValue(0.5, false, 0.1, 0.9), 1e-9)
	assert.InDelta(t, 0.8, ScoreValue(0.93, false, 0.94, 0.95), 1e-9, "floor and oracle are close together")
	assert.Zero(t, ScoreValue(0.9, true, 0.1, 0.9), "a rule broke")
	r, err := Spec{Scenario: parseScenario(t), Seed: 1, Policy: rival.Oracle}.RunScored(context.Background(), nil)
	require.NoError(t, err)
	assert.Greater(t, r.Score.Oracle, r.Score.Floor)
	assert.Equal(t, 1.0, r.Score.Value, "the oracle against itself")
}

func TestSweepPairsSeedsAndEstimatesNoise(t *testing.T) {
	w := Sweep{Scenario: parseScenario(t), Seeds: []uint64{1, 2, 3, 4}, Key: "load.share", Values: []string{"0.3", "1.5"}, Policies: []string{rival.Swifthall}}
	cells, err := w.Run(context.Background(), nil)
	require.NoError(t, err)
	require.Len(t, cells, 2)
	assert.Greater(t, cells[0].G().Mean, cells[1].G().Mean, "more load, less service")
	dir := t.TempDir()
	require.NoError(t, cells[0].Save(dir, w.Key))
	found, err := LoadAll(dir)
	require.NoError(t, err)
	rows, err := Compare(found, cells[1].Results)
	require.NoError(t, err)
	assert.Equal(t, "G", rows[0].Name)
	assert.True(t, rows[0].Significant())
	assert.Negative(t, rows[0].Diff.Mean)
	same, err := Compare(found, found)
	require.NoError(t, err)
	assert.False(t, same[0].Significant())
	one, err := Compare(found[:1], cells[1].Results[:1])
	require.NoError(t, err)
	assert.True(t, math.IsNaN(one[0].Diff.StdErr()), "a single pair gives no estimate of the noise")
}

func TestSweepReportsUnknownKey(t *testing.T) {
	w := Sweep{Scenario: parseScenario(t), Seeds: []uint64{1}, Key: "load.shore", Values: []string{"1"}, Policies: []string{rival.Swifthall}}
	_, err := w.Run(context.Background(), nil)
	assert.ErrorContains(t, err, "load.shore")
}

// failingAfterError works until a backend answers with an error, and never answers again: the bug shows only under that fault.
type failingAfterError struct {
	gate.Decider
	failed bool
}

func (d *failingAfterError) Decide(now float64, events []gate.Event) []gate.Action {
	for _, e := range events {
		if end, is := e.(gate.AttemptEnded); is && end.Result == gate.Errored {
			d.failed = true
		}
	}
	if d.failed {
		return nil
	}
	return d.Decider.Decide(now, events)
}

func TestHuntFindsAndShrinksPlantedBug(t *testing.T) {
	h := Hunt{Scenario: parseScenario(t), Seed: 1, Runs: 24, MaxFaults: 3, RulesOnly: true, Kinds: []string{"errors", "slow", "delay"},
		Maker: &model.Maker{New: func(terms gate.Terms, seed uint64, s model.TrueState) gate.Decider {
			return &failingAfterError{Decider: rival.Makers[rival.Floor].New(terms, seed, s)}
		}}}
	h.Scenario.Plans[0].PerS = 1000
	found, err := h.Run(context.Background(), nil)
	require.NoError(t, err)
	assert.Equal(t, judge.NoneLost, found.Rule)
	require.Len(t, found.Scenario.Faults, 1, "%v", found.Scenario.Faults)
	assert.Equal(t, "errors", found.Scenario.Faults[0].Kind)
	raw, err := found.Scenario.Write()
	require.NoError(t, err)
	_, err = scenario.Read(raw)
	assert.NoError(t, err, "the schedule found can be run again")
}

func TestCancelledRunReturnsCanceled(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err := Spec{Scenario: parseScenario(t), Seed: 1, Policy: rival.Swifthall}.Run(ctx, nil)
	assert.ErrorIs(t, err, context.Canceled)
}
