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

const town = `
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

func read(t *testing.T) *scenario.Scenario {
	s, err := scenario.Read([]byte(town))
	require.NoError(t, err)
	return &s
}

func TestTheSameSeedGivesTheSameBytes(t *testing.T) {
	var last []byte
	for range 3 {
		r, err := Spec{Scenario: read(t), Seed: 5, Policy: rival.Swifthall}.Marked(context.Background(), nil)
		require.NoError(t, err)
		raw, err := json.Marshal(r)
		require.NoError(t, err)
		if last != nil {
			assert.Equal(t, string(last), string(raw))
		}
		last = raw
	}
}

func TestADayIsPlacedBetweenItsMarks(t *testing.T) {
	assert.Equal(t, 1.0, Place(0.9, false, 0.1, 0.9))
	assert.InDelta(t, 0.5, Place(0.5, false, 0.1, 0.9), 1e-9)
	assert.InDelta(t, 0.8, Place(0.93, false, 0.94, 0.95), 1e-9, "marks close together")
	assert.Zero(t, Place(0.9, true, 0.1, 0.9), "a rule broke")
	r, err := Spec{Scenario: read(t), Seed: 1, Policy: rival.Oracle}.Marked(context.Background(), nil)
	require.NoError(t, err)
	assert.Greater(t, r.Score.Oracle, r.Score.Floor)
	assert.Equal(t, 1.0, r.Score.Value, "the oracle against itself")
}

func TestASweepPairsItsSeedsAndTellsTheNoise(t *testing.T) {
	w := Sweep{Scenario: read(t), Seeds: []uint64{1, 2, 3, 4}, Key: "load.share", Values: []string{"0.3", "1.5"}, Policies: []string{rival.Swifthall}}
	cells, err := w.Play(context.Background(), nil)
	require.NoError(t, err)
	require.Len(t, cells, 2)
	assert.Greater(t, cells[0].G().Mean, cells[1].G().Mean, "more load, less service")
	dir := t.TempDir()
	require.NoError(t, cells[0].Save(dir, w.Key))
	found, err := Find(dir)
	require.NoError(t, err)
	rows, err := Compare(found, cells[1].Results)
	require.NoError(t, err)
	assert.Equal(t, "G", rows[0].Name)
	assert.True(t, rows[0].Clear())
	assert.Negative(t, rows[0].Diff.Mean)
	same, err := Compare(found, found)
	require.NoError(t, err)
	assert.False(t, same[0].Clear())
	one, err := Compare(found[:1], cells[1].Results[:1])
	require.NoError(t, err)
	assert.True(t, math.IsNaN(one[0].Diff.Err()), "one pair has no noise to tell")
}

func TestASweepNamesAKeyThatIsNone(t *testing.T) {
	w := Sweep{Scenario: read(t), Seeds: []uint64{1}, Key: "load.shore", Values: []string{"1"}, Policies: []string{rival.Swifthall}}
	_, err := w.Play(context.Background(), nil)
	assert.ErrorContains(t, err, "load.shore")
}

// sulky serves well until a backend fails it, and answers nobody from then on: a fault must come first.
type sulky struct {
	gate.Decider
	hurt bool
}

func (d *sulky) Decide(now float64, events []gate.Event) []gate.Action {
	for _, e := range events {
		if end, is := e.(gate.AttemptEnded); is && end.Result == gate.Errored {
			d.hurt = true
		}
	}
	if d.hurt {
		return nil
	}
	return d.Decider.Decide(now, events)
}

func TestAHuntFindsThePlantedFaultAndCutsItDown(t *testing.T) {
	h := Hunt{Scenario: read(t), Seed: 1, Days: 24, Most: 3, Rules: true, Only: []string{"errors", "slow", "delay"},
		Maker: &model.Maker{New: func(terms gate.Terms, seed uint64, s model.TrueState) gate.Decider {
			return &sulky{Decider: rival.Makers[rival.Floor].New(terms, seed, s)}
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
	assert.NoError(t, err, "what is found can be played again")
}

func TestAStoppedRunSaysSo(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err := Spec{Scenario: read(t), Seed: 1, Policy: rival.Swifthall}.Run(ctx, nil)
	assert.ErrorIs(t, err, context.Canceled)
}
