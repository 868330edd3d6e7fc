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

// shortSchedule opens a shipped schedule with at least so many doors, and shortens a long one to two minutes.
func shortSchedule(t *testing.T, name string, doors int) *Schedule {
	s, err := Open(name)
	require.NoError(t, err)
	s.Fleet.Doors = max(doors, s.Fleet.Doors)
	if s.Length.Seconds > 300 {
		s.Length.Seconds = 120
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
					r, err := shortSchedule(t, name, doors).Draw(seed).Run(context.Background(), "module", Module)
					require.NoError(t, err)
					assert.Empty(t, r.Violations)
					assert.NotEmpty(t, r.History)
				})
			}
		}
	}
}

func TestTheSameSeedGivesTheSameHistory(t *testing.T) {
	run := func(seed uint64) *Result {
		r, err := shortSchedule(t, "herd", 12).Draw(seed).Run(context.Background(), "module", Module)
		require.NoError(t, err)
		return r
	}
	assert.Equal(t, run(3).History, run(3).History)
	assert.NotEqual(t, run(3).History, run(4).History)
}

func TestHeartbeatsDisagreeDuringPartialCut(t *testing.T) {
	r, err := shortSchedule(t, "half-heard", 12).Draw(1).Run(context.Background(), "heartbeats", Heartbeats)
	require.NoError(t, err)
	assert.True(t, hasRule(r, check.RuleAgreement), "doors that receive its heartbeats and doors that don't must disagree: %v", r.Violations)
}

func hasRule(r *Result, rule string) bool {
	for _, b := range r.Violations {
		if b.Rule == rule {
			return true
		}
	}
	return false
}

func TestInvalidScheduleErrorNamesItsKey(t *testing.T) {
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
