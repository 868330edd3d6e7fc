package run

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/scenarios"
)

// On a quiet day what goes beyond quotas costs at most so much more, of the gain asked for, than under a policy that sees the
// true quotas late, at any number of doors.
func TestQuotasHoldBesideAPolicyThatSeesThemLate(t *testing.T) {
	const most = 0.1
	for _, doors := range []int{12, 100, 300} {
		t.Run(fmt.Sprint(doors, " doors"), func(t *testing.T) {
			t.Parallel()
			costs := map[string]float64{}
			for _, policy := range []string{rival.Swifthall, rival.Late} {
				s, err := scenarios.Open("fleet-calm")
				require.NoError(t, err)
				s.Fleet.Doors, s.Fleet.Backends = doors, doors*6/10
				r, err := Spec{Scenario: &s, Seed: 1, Policy: policy}.Run(t.Context(), nil)
				require.NoError(t, err)
				costs[policy] = r.Whole.Over / r.Whole.Offered
			}
			t.Logf("beyond quotas: %.3f of the gain asked for, %.3f where they are seen late", costs[rival.Swifthall], costs[rival.Late])
			assert.Less(t, costs[rival.Swifthall], costs[rival.Late]+most)
			assert.Positive(t, costs[rival.Late])
		})
	}
}

// The one that sees quotas late does go beyond them, and the oracle does not: the mark means something.
func TestSeenLateQuotasArePassed(t *testing.T) {
	s, err := scenarios.Open("fleet-calm")
	require.NoError(t, err)
	s.Fleet.Doors, s.Fleet.Backends = 12, 7
	beyond := map[string]float64{}
	for _, policy := range []string{rival.Oracle, rival.Late} {
		r, err := Spec{Scenario: &s, Seed: 1, Policy: policy}.Run(t.Context(), nil)
		require.NoError(t, err)
		beyond[policy] = r.Costs.BeyondUnits / r.Costs.SentUnits
	}
	assert.Less(t, beyond[rival.Oracle], 0.02)
	assert.Greater(t, beyond[rival.Late], 0.05)
}
