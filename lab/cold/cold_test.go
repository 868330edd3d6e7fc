package cold

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/policy"
)

var seeds = flag.Int("seeds", 6, "seeds for each case")

// newSimulation has a fifth of its backends start anew; inWindow is the number of requests per warm backend and window.
func newSimulation(doors int, inWindow float64, seed uint64) Simulation {
	const backends, window = 20, 1500.0
	return Simulation{Doors: doors, AssumedDoors: doors, Backends: backends, ColdBackends: 4, RequestsPerMs: inWindow * backends / window, MeanBurst: 1, StartMs: 20e3, DurationMs: 36e3,
		NoticeMs: 1500, LatencyMs: 60, WindowMs: window, OverloadMultiple: 2, ColdCapacity: 0.16, WarmupMs: 12e3, Seed: seed}
}

func policyDecider(d *Simulation) func(int, uint64) gate.Decider {
	return func(number int, seed uint64) gate.Decider { return policy.New(d.Terms(number), seed) }
}

// summary is what the checker found over all seeds.
type summary struct {
	starts, excesses, seedsOverLimit int // seeds with any excess
	share, over                      float64
	first                            string
}

// runAll runs a simulation of each seed in parallel, with the deciders that newDecider returns for it.
func runAll(newSim func(seed uint64) Simulation, newDecider func(*Simulation) func(int, uint64) gate.Decider) (all summary) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for seed := range next {
				d, c := newSim(seed), Checker{}
				d.Run(&c, newDecider(&d))
				mu.Lock()
				all.starts, all.excesses = all.starts+c.ColdStarts, all.excesses+len(c.Excesses)
				all.share, all.over = max(all.share, c.MaxShare), max(all.over, c.MaxOver)
				if len(c.Excesses) > 0 {
					all.seedsOverLimit++
					all.first = fmt.Sprintf("seed %d: %+v", seed, c.Excesses[0])
				}
				mu.Unlock()
			}
		})
	}
	for seed := range uint64(*seeds) {
		next <- seed + 1
	}
	close(next)
	wait.Wait()
	return all
}

// Beyond the budget N of a cold backend the doors together start at most 2*sqrt(N) + 2 attempts, whatever each of them knows: with many
// requests per window or less than one per door, door restarts during warm-up, a fleet of another size than announced, and bursts.
func TestDoorsTogetherKeepColdBackendsWithinBudget(t *testing.T) {
	for _, doors := range []int{6, 20, 30, 300} {
		for _, c := range []struct {
			name     string
			inWindow float64
			change   func(*Simulation)
		}{
			{"many in a window", 30, nil},
			{"less than one per door", float64(doors) / 40, nil},
			{"doors restart during warm-up", 30, func(d *Simulation) { d.RestartShare, d.RestartMs = 0.7, 8e3 }},
			{"a tenth of the fleet announced", 30, func(d *Simulation) { d.AssumedDoors = max(1, d.Doors/10) }},
			{"ten times the fleet announced", 30, func(d *Simulation) { d.AssumedDoors = d.Doors * 10 }},
			{"bursts", 30, func(d *Simulation) { d.MeanBurst = 5 }},
			{"none is warm", 30, func(d *Simulation) { d.ColdBackends = d.Backends }},
			{"none is warm, half of the fleet announced", 30, func(d *Simulation) { d.ColdBackends, d.AssumedDoors = d.Backends, d.Doors/2 }},
			{"none is warm, a tenth of the fleet announced", 30, func(d *Simulation) { d.ColdBackends, d.AssumedDoors = d.Backends, max(1, d.Doors/10) }},
			{"none is warm, a tenth announced, members known", 30, func(d *Simulation) {
				d.ColdBackends, d.AssumedDoors, d.MembersKnown = d.Backends, max(1, d.Doors/10), true
			}},
			{"all restart during warm-up, a tenth announced", 30, func(d *Simulation) { d.RestartShare, d.RestartMs, d.AssumedDoors = 1, 500, max(1, d.Doors/10) }},
		} {
			t.Run(fmt.Sprint(doors, " doors, ", c.name), func(t *testing.T) {
				s := runAll(func(seed uint64) Simulation {
					d := newSimulation(doors, c.inWindow, seed)
					if c.change != nil {
						c.change(&d)
					}
					return d
				}, policyDecider)
				t.Logf("%d runs: %d starts at cold backends, at most %.2f of a budget and %.1f beyond one; %d windows over the limit, in %d runs %s",
					*seeds, s.starts, s.share, s.over, s.excesses, s.seedsOverLimit, s.first)
				assert.Zero(t, s.excesses)
				assert.NotZero(t, s.starts, "cold backends receive attempts")
			})
		}
	}
}

// The planted bug is a door that treats a cold backend as warm.
func TestPlantedBugIsFound(t *testing.T) {
	for _, doors := range []int{6, 300} {
		s := runAll(func(seed uint64) Simulation { return newSimulation(doors, 30, seed) }, func(d *Simulation) func(int, uint64) gate.Decider {
			return func(number int, seed uint64) gate.Decider {
				terms := d.Terms(number)
				terms.ColdCapacity, terms.OverloadMultiple = 1, 20
				return policy.New(terms, seed)
			}
		})
		t.Logf("%d doors: %d windows over the limit, in %d of %d runs", doors, s.excesses, s.seedsOverLimit, *seeds)
		assert.NotZero(t, s.excesses)
	}
}
