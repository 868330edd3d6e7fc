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

// Hunt searches schedules of faults for the day on which a policy breaks a rule or falls furthest behind the oracle.
type Hunt struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Policy   string
	Maker    *model.Maker // in place of Policy's
	Days     int          // to be played while searching
	Most     int          // faults of a schedule
	Rules    bool         // only a broken rule counts
	Only     []string     // kinds of fault; all that the scenario allows where empty
	Jobs     int
}

// Found is the worst day found, cut down.
type Found struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Rule     judge.Rule // broken; empty where none is
	Behind   float64    // G that the oracle had more
	Played   int
}

// candidate is a schedule, and how bad it was.
type candidate struct {
	sc     *scenario.Scenario
	seed   uint64
	rule   judge.Rule
	behind float64
}

// worse orders candidates: a broken rule first, then what is lost.
func (c *candidate) worse(d *candidate) bool {
	if (c.rule != "") != (d.rule != "") {
		return c.rule != ""
	}
	return c.behind > d.behind
}

const (
	huntKeeps   = 4    // worst schedules that are varied further
	huntFresh   = 0.4  // share of the days drawn anew
	shrinkKeeps = 0.8  // share of the loss that a cut must keep
	shrinkLeast = 0.05 // loss under which there is nothing to cut down
)

// Run hunts.
func (h *Hunt) Run(ctx context.Context, progress func(done, all float64)) (*Found, error) {
	dice := rand.New(rand.NewPCG(h.Seed, 0))
	kinds := h.kinds()
	if len(kinds) == 0 {
		return nil, &HuntError{h.Only}
	}
	batch := huntKeeps * 2 // a fixed number, so that a seed hunts alike on any machine
	var best []*candidate
	played := 0
	for played < h.Days {
		var next []*candidate
		for range min(batch, h.Days-played) {
			var sc *scenario.Scenario
			if len(best) == 0 || dice.Float64() < huntFresh {
				sc = h.draw(dice, kinds)
			} else {
				sc = h.vary(dice, best[dice.IntN(len(best))].sc, kinds)
			}
			next = append(next, &candidate{sc: sc, seed: h.Seed + dice.Uint64N(64)})
		}
		if err := h.play(ctx, next); err != nil {
			return nil, err
		}
		played += len(next)
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
		best = best[:min(len(best), huntKeeps)]
		if progress != nil {
			progress(float64(played), float64(h.Days))
		}
		if h.Rules && best[0].rule != "" {
			break
		}
	}
	worst, more, err := h.shrink(ctx, best[0])
	if err != nil {
		return nil, err
	}
	worst.sc.Name = h.Scenario.Name + "-found"
	worst.sc.Shows = fmt.Sprintf("found by a hunt from %s with seed %d: the oracle's G is %.2f higher", h.Scenario.Name, h.Seed, worst.behind)
	if worst.rule != "" {
		worst.sc.Shows = fmt.Sprintf("found by a hunt from %s with seed %d: breaks %s on seed %d", h.Scenario.Name, h.Seed, worst.rule, worst.seed)
	}
	return &Found{Scenario: worst.sc, Seed: worst.seed, Rule: worst.rule, Behind: worst.behind, Played: played + more}, nil
}

// kinds lists what the scenario lets strike, in a fixed order.
func (h *Hunt) kinds() []string {
	var kinds []string
	for _, name := range slices.Sorted(maps.Keys(scenario.Kinds)) {
		k := scenario.Kinds[name]
		switch {
		case len(h.Only) > 0 && !slices.Contains(h.Only, name):
		case k.Target == scenario.TargetCounter && !h.Scenario.Counter.On:
		case k.Target == scenario.TargetMeter && h.Scenario.Meter.PeriodMs == 0:
		case name == "zone_cut" && h.Scenario.Fleet.Zones < 2:
		default:
			kinds = append(kinds, name)
		}
	}
	return kinds
}

// worth is how much of a kind a hunt tries, at the mildest and at the worst.
var worth = map[string][2]float64{
	"pauses": {50, 800}, "slow": {1.3, 6}, "errors": {0.1, 1}, "resets": {0.1, 1}, "spoilt": {0.1, 1}, "lost_answers": {0.05, 1},
	"full": {0.1, 1}, "few_conns": {1, 50}, "forget_tokens": {1, 2000}, "replace": {0.5, 6}, "delay": {5, 300}, "loss": {0.01, 0.3},
	"door_roll": {0.2, 3}, "list_late": {200, 8000}, "counter_late": {10, 300}, "counter_lost": {0.05, 0.9}, "counter_busy": {0.1, 1},
	"counter_wrong": {0.2, 5}, "meter_late": {500, 6000}, "burst": {0.2, 2}, "hot_customers": {0.1, 1.5}, "gather": {0.05, 0.6},
	"strangers": {0.1, 1}, "storm": {1, 6}, "leave_early": {0.05, 0.6},
}

func (h *Hunt) draw(dice *rand.Rand, kinds []string) *scenario.Scenario {
	for {
		sc := *h.Scenario
		sc.Faults = slices.Clone(sc.Faults)
		for range 1 + dice.IntN(max(1, h.Most)) {
			sc.Faults = append(sc.Faults, h.fault(dice, kinds))
		}
		if sound(&sc) {
			return &sc
		}
	}
}

// sound tells whether a schedule can be played: drawn faults may contradict each other.
func sound(sc *scenario.Scenario) bool {
	_, err := sc.Clone()
	return err == nil
}

func (h *Hunt) fault(dice *rand.Rand, kinds []string) scenario.Fault {
	name := kinds[dice.IntN(len(kinds))]
	k, day := scenario.Kinds[name], h.Scenario.Day.Seconds
	f := scenario.Fault{Kind: name, AtS: round(day * 0.7 * dice.Float64())}
	if !k.Instant {
		f.ForS = round(max(0.5, day*(0.05+0.4*dice.Float64())))
	}
	if k.Unit != "" {
		span := worth[name]
		f.Much = round(max(k.Least, min(k.Most, span[0]+(span[1]-span[0])*dice.Float64())))
	}
	switch k.Target {
	case scenario.TargetBackends, scenario.TargetDoors:
		f.Share = round(0.05 + 0.6*dice.Float64())
	}
	if name == "zone_loss" || name == "zone_cut" {
		zone := dice.IntN(h.Scenario.Fleet.Zones)
		f.Zone, f.Share = &zone, 0
	}
	if name == "pauses" {
		f.EveryMs = round(f.Much * (1.5 + 4*dice.Float64()))
	}
	return f
}

func round(x float64) float64 { return float64(int(x*100)) / 100 }

// vary changes one fault of a schedule, or adds or drops one.
func (h *Hunt) vary(dice *rand.Rand, from *scenario.Scenario, kinds []string) *scenario.Scenario {
	for range 20 {
		sc := *from
		sc.Faults = slices.Clone(from.Faults)
		fixed := len(h.Scenario.Faults)
		switch n := len(sc.Faults) - fixed; {
		case n > 0 && dice.IntN(3) == 0:
			i := fixed + dice.IntN(n)
			sc.Faults = slices.Delete(sc.Faults, i, i+1)
		case n > 0 && dice.IntN(2) == 0:
			f := &sc.Faults[fixed+dice.IntN(n)]
			f.AtS = round(min(0.8*sc.Day.Seconds, max(0, f.AtS+sc.Day.Seconds*0.1*dice.NormFloat64())))
			f.ForS = round(f.ForS * (0.6 + 0.9*dice.Float64()))
		case n < h.Most:
			sc.Faults = append(sc.Faults, h.fault(dice, kinds))
		}
		if sound(&sc) {
			return &sc
		}
	}
	return h.draw(dice, kinds)
}

// play plays candidates, with the oracle beside each where what is lost counts.
func (h *Hunt) play(ctx context.Context, cs []*candidate) error {
	var days []Spec
	for _, c := range cs {
		days = append(days, Spec{Scenario: c.sc, Seed: c.seed, Policy: h.Policy, Maker: h.Maker})
		if !h.Rules {
			days = append(days, Spec{Scenario: c.sc, Seed: c.seed, Policy: rival.Oracle})
		}
	}
	results, err := All(ctx, days, h.Jobs, nil)
	if err != nil {
		return err
	}
	step := len(days) / len(cs)
	for i, c := range cs {
		r := results[i*step]
		c.rule = r.FirstBroken()
		if h.Rules {
			c.behind = 1 - r.Parts.G
		} else {
			c.behind = results[i*step+1].Parts.G - r.Parts.G
		}
	}
	return nil
}

// shrink cuts faults out and down for as long as the day stays about as bad.
func (h *Hunt) shrink(ctx context.Context, worst *candidate) (*candidate, int, error) {
	played := 0
	if worst.rule == "" && worst.behind < shrinkLeast {
		return worst, played, nil
	}
	least := worst.behind * shrinkKeeps
	for again := true; again; {
		again = false
		for _, cut := range h.cuts(worst.sc) {
			c := &candidate{sc: cut, seed: worst.seed}
			if err := h.play(ctx, []*candidate{c}); err != nil {
				return nil, played, err
			}
			played++
			if c.rule == worst.rule && (worst.rule != "" || c.behind >= least) {
				worst, again = c, true
				break
			}
		}
	}
	return worst, played, nil
}

const shortest = 0.5 // s, of a fault that is not cut shorter

// cuts lists smaller schedules: one fault less, or one half as long.
func (h *Hunt) cuts(sc *scenario.Scenario) []*scenario.Scenario {
	var cuts []*scenario.Scenario
	for i := len(h.Scenario.Faults); i < len(sc.Faults); i++ {
		less := *sc
		less.Faults = slices.Delete(slices.Clone(sc.Faults), i, i+1)
		cuts = append(cuts, &less)
	}
	for i := len(h.Scenario.Faults); i < len(sc.Faults); i++ {
		if sc.Faults[i].ForS >= 2*shortest {
			shorter := *sc
			shorter.Faults = slices.Clone(sc.Faults)
			shorter.Faults[i].ForS = round(sc.Faults[i].ForS / 2)
			if sound(&shorter) {
				cuts = append(cuts, &shorter)
			}
		}
	}
	return cuts
}
