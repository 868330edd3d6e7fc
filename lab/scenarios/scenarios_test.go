package scenarios

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/run"
)

// Shorter and with fewer doors, every scenario keeps the rules with the project's decisions.
func TestEveryScenarioKeepsTheRules(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Open(name)
			require.NoError(t, err)
			if s.Fleet.Doors > 30 {
				s.Fleet.Doors, s.Fleet.Backends, s.Load.PerSecond, s.Counter.PerS = 30, 18, s.Load.PerSecond/10, s.Counter.PerS/10
			}
			if s.Day.Seconds > 60 {
				s.Day.Seconds, s.Faults = 60, nil
			}
			r, err := run.Spec{Scenario: &s, Seed: 7, Policy: rival.Swifthall}.Run(context.Background(), nil)
			require.NoError(t, err)
			assert.Empty(t, r.Breaches)
			assert.Greater(t, r.Parts.G, 0.3)
		})
	}
}

func TestAnUnknownScenarioNamesThoseThatShip(t *testing.T) {
	_, err := Open("nowhere")
	assert.ErrorContains(t, err, "rolling-deploy")
}
