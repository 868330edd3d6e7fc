package procs

import (
	"fmt"
	"math/rand/v2"
)

const (
	randomQuietTailS = 12.0 // s without faults at the end of the run, in which all views must converge
	randomRecoveryS  = 6.0  // s between faults: the effects of one must be over before the next is checked
)

// Random draws a schedule of faults for a fleet from a seed: one fault after the other, each on one or several doors.
func Random(seed uint64, doors int, seconds float64) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 11))
	s := &Schedule{Name: fmt.Sprintf("random-%d", seed), Shows: fmt.Sprintf("faults drawn from seed %d", seed), Length: Length{seconds},
		Fleet: Fleet{doors, min(3, doors)}, Net: Net{DelayMs: []float64{0.2, 0.6}}, Limits: ScheduleLimits{ConvergenceMs: 6000}}
	pick := func(maxShare float64) []int {
		n := 1 + rng.IntN(max(1, int(maxShare*float64(doors))))
		return rng.Perm(doors)[:n]
	}
	directions := []string{"out", "in", "both"}
	for at := 2.0; at < seconds-randomQuietTailS-randomRecoveryS; {
		durationS := 1 + 9*rng.Float64()
		if at+durationS > seconds-randomQuietTailS {
			durationS = seconds - randomQuietTailS - at
		}
		f := Fault{AtS: at, ForS: durationS}
		switch rng.IntN(8) {
		case 0, 1:
			f.Kind, f.Doors, f.Amount, f.ForS = "pause", pick(0.3), 0.4, min(durationS, 4)
		case 2:
			f.Kind, f.Doors, f.Amount, f.EveryMs = "pauses", pick(0.5), 900, 1500
		case 3:
			f.Kind, f.Doors = "kill", pick(0.4)
		case 4:
			f.Kind, f.Doors, f.Direction = "cut", pick(0.2), directions[rng.IntN(3)]
		case 5:
			f.Kind, f.Doors, f.Direction, f.OthersShare = "cut", pick(0.1), directions[rng.IntN(3)], 0.3+0.4*rng.Float64()
		case 6:
			f.Kind, f.Amount = "loss", 0.2*rng.Float64()
		case 7:
			f.Kind, f.Doors, f.Direction = "cut", rng.Perm(doors)[:doors/2], "both"
		}
		s.Faults = append(s.Faults, f)
		at += f.ForS + randomRecoveryS
	}
	return s
}
