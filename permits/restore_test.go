package permits

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a drain that is said to be done at once, and that no door heeds, after a restore from a coordinator that lacks the
// latest changes (review/8).
func TestDrainAfterARestoreFromALaggingCoordinatorIsHeeded(t *testing.T) {
	s := newSiteWithBackends(1)
	door := newTestDoorAgent(s, 0)
	door.run(2000)
	var behind bytes.Buffer
	require.NoError(t, s.Save(&behind))
	for range 2 { // drains that the lagging coordinator never hears of
		require.NoError(t, s.do("op", Drain{Kind: Backend, Name: "b1", Who: "ana"}).Err)
		door.run(2000)
		require.NoError(t, s.do("op", Undrain{Backend, "b1", "ana", ""}).Err)
		door.run(2000)
	}
	known, err := Load(&behind)
	require.NoError(t, err)
	s.State = known
	require.NoError(t, s.do("leader", Leadership{Name: "c", Restored: true}).Err)
	door.run(1500)
	for _, name := range []string{"b0", "b1", "b2"} {
		s.backend(name, Ready)
	}
	number := s.do("op", Drain{Kind: Backend, Name: "b0", Who: "ana"}).Number
	require.NotZero(t, number)
	assert.Contains(t, s.UnconfirmedDoors(s.Permits[number]), "d0", "no door has heard of it yet")
	door.run(3000)
	assert.Equal(t, []string{"b0"}, door.Withheld())
	assert.NotContains(t, s.UnconfirmedDoors(s.Permits[number]), "d0")
}
