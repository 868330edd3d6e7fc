package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func sequential(all ...Op) []Op {
	for i := range all {
		if all[i].To == 0 {
			all[i].From, all[i].To = float64(2*i), float64(2*i+1)
		}
	}
	return all
}

func drain(unit string, how Outcome) Op   { return Op{Call: Drain, Unit: unit, Outcome: how} }
func undrain(unit string, how Outcome) Op { return Op{Call: Undrain, Unit: unit, Outcome: how} }
func read(out, back []string) Op          { return Op{Call: Read, Out: out, Back: back} }

func none() []string                 { return nil }
func units(units ...string) []string { return units }

func TestCheckAcceptsLinearizableHistoriesOnly(t *testing.T) {
	for name, c := range map[string]struct {
		ops []Op
		ok  bool
	}{
		"sequential calls": {sequential(drain("a", Done), read(units("a"), none()), drain("b", Refused), undrain("a", Done), read(none(), units("a")),
			read(none(), none()), drain("b", Done), undrain("b", Done)), true},
		"refused drain without a reason":     {sequential(drain("a", Refused), drain("a", Done)), true},
		"two out, budget of one":             {sequential(drain("a", Done), drain("b", Done)), false},
		"place freed while its unit was out": {sequential(drain("a", Done), read(none(), none())), false},
		"stale read":                         {sequential(drain("a", Done), undrain("a", Done), drain("b", Done), read(units("a"), none())), false},
		"refused undrain":                    {sequential(drain("a", Done), undrain("a", Refused)), false},
		"out again without a drain":          {sequential(drain("a", Done), undrain("a", Done), read(none(), none()), read(none(), units("a"))), false},
		"read shows more than the budget":    {sequential(drain("a", Done), undrain("a", Done), drain("b", Done), read(units("b"), units("a"))), false},
		"lost drain that was executed":       {sequential(drain("a", Lost), read(units("a"), none())), true},
		"lost drain that was not executed":   {sequential(drain("a", Lost), drain("b", Done), undrain("b", Done)), true},
		"concurrent, read before and after":  {[]Op{{Call: Drain, Unit: "a", From: 0, To: 10}, {Call: Read, Out: none(), From: 1, To: 2}, {Call: Read, Out: units("a"), From: 3, To: 4}}, true},
		"concurrent, effect undone":          {[]Op{{Call: Drain, Unit: "a", From: 0, To: 10}, {Call: Read, Out: units("a"), From: 1, To: 2}, {Call: Read, Out: none(), From: 3, To: 4}}, false},
	} {
		ok, detail := Check(1, c.ops, 10*time.Second)
		assert.Equal(t, c.ok, ok, name+": "+detail)
	}
	ok, _ := Check(2, sequential(drain("a", Done), drain("b", Done), read(units("a", "b"), none()), drain("c", Refused)), time.Second)
	assert.True(t, ok)
}
