package run

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/scenario"
)

// Hunt is a randomized search for the fault schedule on which a policy breaks a rule or falls furthest behind the oracle. The worst
// schedules found are mutated further, and the worst of all is shrunk.
type Hunt struct {
	Scenario  *scenario.Scenario
	Seed      uint64
	Policy    string       // policy under test
	Maker     *model.Maker // overrides Policy
	Runs      int          // budget of the search; shrinking comes on top
	MaxFaults int          // maximum per schedule
	RulesOnly bool         // search for broken rules only, without running the oracle
	Kinds     []string     // kinds of fault to try; empty for all that apply to the scenario
	Jobs      int
}

// HuntResult is the worst schedule found, after shrinking.
type HuntResult struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Rule     judge.Rule // first broken rule; empty if none is broken
	Gap      float64    // G of the oracle minus G of the policy; with RulesOnly, 1 minus G
	Runs     int
}

// candidate is a schedule with its seed, and how badly the policy did on it.
type candidate struct {
	sc   *scenario.Scenario
	seed uint64
	rule judge.Rule
	gap  float64
}

// worse orders candidates: a broken rule comes first, then the larger gap.
func (c *candidate) worse(d *candidate) bool {
	if (c.rule != "") != (d.rule != "") {
		return c.rule != ""
	}
	return c.gap > d.gap
}

const (
	survivors    = 4    // worst schedules that are kept for mutation
	freshShare   = 0.4  // share of new candidates that are drawn at random
	minKeptShare = 0.8  // share of the gap that a reduction must keep
	minShrinkGap = 0.05 // smallest gap worth shrinking
)

// Run searches until the budget of runs is used up, and shrinks the worst schedule.
func (h *Hunt) Run(ctx context.Context, progress func(done, all float64)) (*HuntResult, error) {
	random := rand.New(rand.NewPCG(h.Seed, 0))
	kinds := h.applicableKinds()
	if len(kinds) == 0 {
		return nil, &HuntError{h.Kinds}
	}
	batch := survivors * 2 // fixed, so that a seed gives the same search on any number of cores
	var best []*candidate
	runs := 0
	for runs < h.Runs {
		var next []*candidate
		for range min(batch, h.Runs-runs) {
			var sc *scenario.Scenario
			if len(best) == 0 || random.Float64() < freshShare {
				sc = h.randomSchedule(random, kinds)
			} else {
				sc = h.mutate(random, best[random.IntN(len(best))].sc, kinds)
			}
			next = append(next, &candidate{sc: sc, seed: h.Seed + random.Uint64N(64)})
		}
		if err := h.evaluate(ctx, next); err != nil {
			return nil, err
		}
		runs += len(next)
		best = append(best, next...)
		slices.SortStableFunc(best, func(a, b *candidate) int {
			switch {
			case a.worse(b):
				return -1
			case b.worse(a):
				return 1
			}
			return 0
		})
		best = best[:min(len(best), survivors)]
		if progress != nil {
			progress(float64(runs), float64(h.Runs))
		}
		if h.RulesOnly && best[0].rule != "" {
			break
		}
	}
	worst, more, err := h.shrink(ctx, best[0])
	if err != nil {
		return nil, err
	}
	worst.sc.Name = h.Scenario.Name + "-found"
	worst.sc.Shows = fmt.Sprintf("found by a hunt from %s with seed %d: the oracle's G is %.2f higher", h.Scenario.Name, h.Seed, worst.gap)
	if worst.rule != "" {
		worst.sc.Shows = fmt.Sprintf("found by a hunt from %s with seed %d: breaks %s on seed %d", h.Scenario.Name, h.Seed, worst.rule, worst.seed)
	}
	return &HuntResult{Scenario: worst.sc, Seed: worst.seed, Rule: worst.rule, Gap: worst.gap, Runs: runs + more}, nil
}

// applicableKinds returns the kinds of fault that apply to the scenario, in a fixed order.
func (h *Hunt) applicableKinds() []string {
	var kinds []string
	for _, name := range slices.Sorted(maps.Keys(scenario.Kinds)) {
		k := scenario.Kinds[name]
		switch {
		case len(h.Kinds) > 0 && !slices.Contains(h.Kinds, name):
		case k.Target == scenario.TargetCounter && !h.Scenario.Counter.On:
		case k.Target == scenario.TargetMeter && h.Scenario.Meter.PeriodMs == 0:
		case name == "zone_cut" && h.Scenario.Fleet.Zones < 2:
		default:
			kinds = append(kinds, name)
		}
	}
	return kinds
}

// amountRanges holds the range of Fault.Much that a hunt tries for each kind, in the kind's unit.
var amountRanges = map[string][2]float64{
	"pauses": {50, 800}, "slow": {1.3, 6}, "errors": {0.1, 1}, "resets": {0.1, 1}, "spoilt": {0.1, 1}, "lost_answers": {0.05, 1},
	"full": {0.1, 1}, "few_conns": {1, 50}, "forget_tokens": {1, 2000}, "replace": {0.5, 6}, "delay": {5, 300}, "loss": {0.01, 0.3},
	"door_roll": {0.2, 3}, "list_late": {200, 8000}, "counter_late": {10, 300}, "counter_lost": {0.05, 0.9}, "counter_busy": {0.1, 1},
	"counter_wrong": {0.2, 5}, "meter_late": {500, 6000}, "burst": {0.2, 2}, "hot_customers": {0.1, 1.5}, "gather": {0.05, 0.6},
	"strangers": {0.1, 1}, "storm": {1, 6}, "leave_early": {0.05, 0.6},
}

// randomSchedule adds one or more random faults to the scenario's own.
func (h *Hunt) randomSchedule(random *rand.Rand, kinds []string) *scenario.Scenario {
	for {
		sc := *h.Scenario
		sc.Faults = slices.Clone(sc.Faults)
		for range 1 + random.IntN(max(1, h.MaxFaults)) {
			sc.Faults = append(sc.Faults, h.randomFault(random, kinds))
		}
		if isValid(&sc) {
			return &sc
		}
	}
}

// isValid reports whether a schedule passes validation; random faults may conflict.
func isValid(sc *scenario.Scenario) bool {
	_, err := sc.Clone()
	return err == nil
}

// randomFault draws a fault of one of the kinds.
func (h *Hunt) randomFault(random *rand.Rand, kinds []string) scenario.Fault {
	name := kinds[random.IntN(len(kinds))]
	k, seconds := scenario.Kinds[name], h.Scenario.Day.Seconds
	f := scenario.Fault{Kind: name, AtS: truncate(seconds * 0.7 * random.Float64())}
	if !k.Instant {
		f.ForS = truncate(max(0.5, seconds*(0.05+0.4*random.Float64())))
	}
	if k.Unit != "" {
		span := amountRanges[name]
		f.Much = truncate(max(k.Min, min(k.Max, span[0]+(span[1]-span[0])*random.Float64())))
	}
	switch k.Target {
	case scenario.TargetBackends, scenario.TargetDoors:
		f.Share = truncate(0.05 + 0.6*random.Float64())
	}
	if name == "zone_loss" || name == "zone_cut" {
		zone := random.IntN(h.Scenario.Fleet.Zones)
		f.Zone, f.Share = &zone, 0
	}
	if name == "pauses" {
		f.EveryMs = truncate(f.Much * (1.5 + 4*random.Float64()))
	}
	return f
}

// truncate cuts a number to two decimals, which keeps the written scenario readable.
func truncate(x float64) float64 { return float64(int(x*100)) / 100 }

// mutate changes, adds or removes one fault that is not the scenario's own.
func (h *Hunt) mutate(random *rand.Rand, from *scenario.Scenario, kinds []string) *scenario.Scenario {
	for range 20 {
		sc := *from
		sc.Faults = slices.Clone(from.Faults)
		fixed := len(h.Scenario.Faults)
		switch n := len(sc.Faults) - fixed; {
		case n > 0 && random.IntN(3) == 0:
			i := fixed + random.IntN(n)
			sc.Faults = slices.Delete(sc.Faults, i, i+1)
		case n > 0 && random.IntN(2) == 0:
			f := &sc.Faults[fixed+random.IntN(n)]
			f.AtS = truncate(min(0.8*sc.Day.Seconds, max(0, f.AtS+sc.Day.Seconds*0.1*random.NormFloat64())))
			f.ForS = truncate(f.ForS * (0.6 + 0.9*random.Float64()))
		case n < h.MaxFaults:
			sc.Faults = append(sc.Faults, h.randomFault(random, kinds))
		}
		if isValid(&sc) {
			return &sc
		}
	}
	return h.randomSchedule(random, kinds)
}

// evaluate runs the candidates, each beside the oracle unless only broken rules count.
func (h *Hunt) evaluate(ctx context.Context, cs []*candidate) error {
	var specs []Spec
	for _, c := range cs {
		specs = append(specs, Spec{Scenario: c.sc, Seed: c.seed, Policy: h.Policy, Maker: h.Maker})
		if !h.RulesOnly {
			specs = append(specs, Spec{Scenario: c.sc, Seed: c.seed, Policy: rival.Oracle})
		}
	}
	results, err := RunAll(ctx, specs, h.Jobs, nil)
	if err != nil {
		return err
	}
	step := len(specs) / len(cs)
	for i, c := range cs {
		r := results[i*step]
		c.rule = r.FirstBrokenRule()
		if h.RulesOnly {
			c.gap = 1 - r.Parts.G
		} else {
			c.gap = results[i*step+1].Parts.G - r.Parts.G
		}
	}
	return nil
}

// shrink removes and shortens faults for as long as the result stays about as bad: the same rule broken, or most of the gap kept.
// It also returns the number of runs used.
func (h *Hunt) shrink(ctx context.Context, worst *candidate) (*candidate, int, error) {
	runs := 0
	if worst.rule == "" && worst.gap < minShrinkGap {
		return worst, runs, nil
	}
	least := worst.gap * minKeptShare
	for again := true; again; {
		again = false
		for _, cut := range h.reductions(worst.sc) {
			c := &candidate{sc: cut, seed: worst.seed}
			if err := h.evaluate(ctx, []*candidate{c}); err != nil {
				return nil, runs, err
			}
			runs++
			if c.rule == worst.rule && (worst.rule != "" || c.gap >= least) {
				worst, again = c, true
				break
			}
		}
	}
	return worst, runs, nil
}

const minFaultS = 0.5 // s; faults are not shortened below it

// reductions returns the smaller schedules to try: first with one fault less, then with one fault half as long.
func (h *Hunt) reductions(sc *scenario.Scenario) []*scenario.Scenario {
	var cuts []*scenario.Scenario
	for i := len(h.Scenario.Faults); i < len(sc.Faults); i++ {
		less := *sc
		less.Faults = slices.Delete(slices.Clone(sc.Faults), i, i+1)
		cuts = append(cuts, &less)
	}
	for i := len(h.Scenario.Faults); i < len(sc.Faults); i++ {
		if sc.Faults[i].ForS >= 2*minFaultS {
			shorter := *sc
			shorter.Faults = slices.Clone(sc.Faults)
			shorter.Faults[i].ForS = truncate(sc.Faults[i].ForS / 2)
			if isValid(&shorter) {
				cuts = append(cuts, &shorter)
			}
		}
	}
	return cuts
}
