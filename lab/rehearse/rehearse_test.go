package rehearse

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/scenarios"
	"github.com/swifthall/swifthall/permits/planfile"
)

func calmScenario(t *testing.T) *scenario.Scenario {
	s, err := scenarios.Open("calm")
	require.NoError(t, err)
	s, err = s.Set("day.seconds", "20")
	require.NoError(t, err)
	return &s
}

func step(name, do string) planfile.Entry {
	return planfile.Entry{Name: name, Do: json.RawMessage(do)}
}

const digest = `"digest":"0000000000000000000000000000000000000000000000000000000000000000"`

func TestStepsBecomeFaultsInSequence(t *testing.T) {
	s := calmScenario(t)
	steps, err := Steps(s, []planfile.Entry{
		step("new terms", `{"release":{"name":"r","changes":"configuration",`+digest+`,"waves":[{"rest":true}]}}`),
		step("disk", `{"drain":{"kind":"backend","name":"b-1","for_s":1800}}`),
		step("cable", `{"manual":"by hand"}`),
		step("two", `{"release":{"name":"q","changes":"backends","doors":["b-1","b-2"],"waves":[{"rest":true}]}}`),
		step("zone", `{"drain":{"kind":"zone","name":"z1","for_s":1}}`),
		step("door", `{"drain":{"kind":"door","name":"n1"}}`)}, 2)
	require.NoError(t, err)
	end := 0.0
	for _, x := range steps {
		if x.Fault == nil {
			continue
		}
		assert.Greater(t, x.Fault.AtS, end, x.Name)
		end = x.Fault.End()
	}
	assert.Less(t, end, s.Day.Seconds)
	assert.Equal(t, 1.0, steps[0].Fault.Share)
	assert.Equal(t, 2, steps[0].Fault.MostOut)
	assert.Less(t, steps[1].Fault.Much, 20.0, "half an hour is shortened to fit a run of 20 s")
	assert.Nil(t, steps[2].Fault)
	assert.InDelta(t, 2/float64(s.Fleet.Backends), steps[3].Fault.Share, 1e-9)
	assert.Zero(t, steps[4].Fault.MostOut, "a zone is drained as a whole")
	assert.InDelta(t, 1/float64(s.Fleet.Doors), steps[5].Fault.Share, 1e-9)
	for _, x := range steps {
		if x.Fault != nil {
			_, err := withFaults(s, []scenario.Fault{*x.Fault})
			assert.NoError(t, err, x.Name)
		}
	}
}

func TestRehearsalErrors(t *testing.T) {
	s := calmScenario(t)
	_, err := Steps(s, nil, 1)
	var none *StepsError
	assert.ErrorAs(t, err, &none)
	_, err = Steps(s, []planfile.Entry{step("a", `{"manual":"x"}`), step("b", `{"dance":1}`)}, 1)
	var action *ActionError
	require.ErrorAs(t, err, &action)
	assert.Equal(t, 2, action.Step)
	s.Faults = append(s.Faults, scenario.Fault{Kind: "door_deaths", AtS: 1, ForS: 18, Share: 0.5})
	steps, err := Steps(s, []planfile.Entry{step("a", `{"drain":{"kind":"door","name":"n1"}}`)}, 1)
	require.NoError(t, err)
	_, err = Run(context.Background(), s, steps, []uint64{1}, 1)
	var scenarioErr *ScenarioError
	assert.ErrorAs(t, err, &scenarioErr)
}

// Draining most of the fleet costs more than draining one backend, and the same seeds give the same figures.
func TestRehearsalEstimatesStepCosts(t *testing.T) {
	s := calmScenario(t)
	steps, err := Steps(s, []planfile.Entry{step("by hand", `{"manual":"x"}`),
		step("all at once", `{"release":{"name":"q","changes":"backends","waves":[{"rest":true}]}}`),
		step("one", `{"drain":{"kind":"backend","name":"b-1","for_s":1}}`)}, 1000)
	require.NoError(t, err)
	rows, err := Run(context.Background(), s, steps, []uint64{1, 2}, 0)
	require.NoError(t, err)
	require.Len(t, rows, 5)
	assert.Zero(t, rows[0].Cost)
	assert.Zero(t, rows[1].Cost, "a manual step is not simulated")
	assert.Greater(t, rows[2].Cost, 0.01)
	assert.Greater(t, rows[2].Cost, 2*rows[3].Cost)
	assert.LessOrEqual(t, rows[2].MinG, rows[2].G)
	again, err := Run(context.Background(), s, steps, []uint64{1, 2}, 1)
	require.NoError(t, err)
	assert.Equal(t, rows, again)
}
