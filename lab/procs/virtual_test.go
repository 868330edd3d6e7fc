package procs

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/procs/check"
	"github.com/swifthall/swifthall/lab/scenario"
)

// small opens a schedule that ships, cut down for a test of seconds.
func small(t *testing.T, name string, doors int) *Schedule {
	s, err := Open(name)
	require.NoError(t, err)
	s.Fleet.Doors = max(doors, s.Fleet.Doors)
	if s.Day.Seconds > 300 {
		s.Day.Seconds = 120
		for i := range s.Faults {
			s.Faults[i].ForS = min(s.Faults[i].ForS, 110)
		}
	}
	return s
}

func TestEveryScheduleHoldsInVirtualTime(t *testing.T) {
	for _, name := range Names() {
		for seed := range uint64(2) {
			for _, doors := range []int{12, 40} {
				t.Run(fmt.Sprint(name, "/", doors, "/", seed), func(t *testing.T) {
					t.Parallel()
					r, err := small(t, name, doors).Draw(seed).Run(context.Background(), "module", Module)
					require.NoError(t, err)
					assert.Empty(t, r.Violations)
					assert.NotEmpty(t, r.History)
				})
			}
		}
	}
}

func TestTheSameSeedGivesTheSameHistory(t *testing.T) {
	play := func(seed uint64) *Result {
		r, err := small(t, "herd", 12).Draw(seed).Run(context.Background(), "module", Module)
		require.NoError(t, err)
		return r
	}
	assert.Equal(t, play(3).History, play(3).History)
	assert.NotEqual(t, play(3).History, play(4).History)
}

func TestPlainHeartbeatsTakeThePausedForDeadAndAlternate(t *testing.T) {
	r, err := small(t, "half-heard", 12).Draw(1).Run(context.Background(), "heartbeats", Heartbeats)
	require.NoError(t, err)
	assert.True(t, hasRule(r, check.Agree), "those who hear it and those who don't hold different verdicts: %v", r.Violations)
}

func hasRule(r *Result, rule string) bool {
	for _, b := range r.Violations {
		if b.Rule == rule {
			return true
		}
	}
	return false
}

func TestAFaultyScheduleIsToldByItsKey(t *testing.T) {
	for key, text := range map[string]string{
		"fault[0].kind":     "[[fault]]\nkind = \"quake\"",
		"fault[0].at_s":     "[[fault]]\nkind = \"kill\"\ndoors = [1]\nat_s = 99",
		"fault[0].for_s":    "[[fault]]\nkind = \"pause\"\ndoors = [1]",
		"fault[0].way":      "[[fault]]\nkind = \"cut\"\nfor_s = 1\nway = \"up\"",
		"fault[0].doors":    "[[fault]]\nkind = \"kill\"\ndoors = [7]",
		"fault[0].much":     "[[fault]]\nkind = \"loss\"\nfor_s = 1\nmuch = 2",
		"fault[0].every_ms": "[[fault]]\nkind = \"pauses\"\nfor_s = 1\nmuch = 20\ndoors = [1]",
		"fleet.zones":       "[fleet]\ndoors = 2\nzones = 3",
		"net.delay_ms":      "[net]\ndelay_ms = [2, 1]",
		"spead":             "spead = 1",
	} {
		_, err := Read([]byte(text))
		var bad *scenario.KeyError
		require.ErrorAs(t, err, &bad, text)
		assert.Equal(t, key, bad.Key)
	}
	_, err := Open("nowhere")
	var name *NameError
	assert.ErrorAs(t, err, &name)
}
