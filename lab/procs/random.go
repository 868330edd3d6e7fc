package procs

import (
	"fmt"
	"math/rand/v2"
)

const (
	randomQuietTailS = 12.0 // s at the end without faults, in which there must come to be one view
	randomRecoveryS  = 6.0  // s between faults: what one does must be over before the next is judged
)

// Random draws a schedule of faults for a fleet, one after the other and some at once, from a seed.
func Random(seed uint64, doors int, seconds float64) *Schedule {
	dice := rand.New(rand.NewPCG(seed, 11))
	s := &Schedule{Name: fmt.Sprintf("random-%d", seed), Shows: fmt.Sprintf("faults drawn from seed %d", seed), Length: Length{seconds},
		Fleet: Fleet{doors, min(3, doors)}, Net: Net{DelayMs: []float64{0.2, 0.6}}, Limits: ScheduleLimits{ConvergenceMs: 6000}}
	pick := func(most float64) []int {
		n := 1 + dice.IntN(max(1, int(most*float64(doors))))
		return dice.Perm(doors)[:n]
	}
	ways := []string{"out", "in", "both"}
	for at := 2.0; at < seconds-randomQuietTailS-randomRecoveryS; {
		long := 1 + 9*dice.Float64()
		if at+long > seconds-randomQuietTailS {
			long = seconds - randomQuietTailS - at
		}
		f := Fault{AtS: at, ForS: long}
		switch dice.IntN(8) {
		case 0, 1:
			f.Kind, f.Doors, f.Amount, f.ForS = "pause", pick(0.3), 0.4, min(long, 4)
		case 2:
			f.Kind, f.Doors, f.Amount, f.EveryMs = "pauses", pick(0.5), 900, 1500
		case 3:
			f.Kind, f.Doors = "kill", pick(0.4)
		case 4:
			f.Kind, f.Doors, f.Direction = "cut", pick(0.2), ways[dice.IntN(3)]
		case 5:
			f.Kind, f.Doors, f.Direction, f.OthersShare = "cut", pick(0.1), ways[dice.IntN(3)], 0.3+0.4*dice.Float64()
		case 6:
			f.Kind, f.Amount = "loss", 0.2*dice.Float64()
		case 7:
			f.Kind, f.Doors, f.Direction = "cut", dice.Perm(doors)[:doors/2], "both"
		}
		s.Faults = append(s.Faults, f)
		at += f.ForS + randomRecoveryS
	}
	return s
}
