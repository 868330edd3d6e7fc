// Package rehearse plays the changes of a migration in virtual time, on the site's own scenario, and tells what they would cost.
package rehearse

import (
	"context"
	"fmt"
	"math"
	"strings"

	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/run"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/permits/planfile"
	"github.com/swifthall/swifthall/release"
)

const (
	lead     = 0.1  // share of the day before the first step, in which doors come to know the fleet,
	tail     = 0.1  // and after the last, in which the fleet comes back
	used     = 0.8  // share of a step's part of the day in which it goes; the rest is for its last units to come back
	doorDown = 1.0  // s that a door is away while it changes: the holder has its listener, its answer comes a start later
	most     = 1000 // operations that figures are told for
)

// Step is a step of a migration, as the laboratory has it.
type Step struct {
	Name  string
	Fault *scenario.Fault // nil where nothing of it can be played
	Says  string          // what is played, or why nothing is
}

// Steps words the steps as faults of a scenario's day, one after the other. Places are what may be out at once.
func Steps(s *scenario.Scenario, entries []planfile.Entry, places int) (steps []Step, err error) {
	if len(entries) == 0 {
		return nil, &StepsError{}
	}
	part := s.Day.Seconds * (1 - lead - tail) / float64(len(entries))
	for i := range entries {
		do, err := permits.ReadAction(entries[i].Do)
		if err != nil {
			return nil, &ActionError{i + 1, err}
		}
		step := Step{Name: entries[i].Name}
		f := scenario.Fault{AtS: s.Day.Seconds*lead + part*float64(i), ForS: part * used, MostOut: places}
		doors := func(n int) {
			f.Kind, f.Much, f.Share = "door_roll", doorDown, share(n, s.Fleet.Doors)
			step.Fault, step.Says = &f, fmt.Sprintf("%d of %d doors change, %d at once, each away for %g s", n, s.Fleet.Doors, places, doorDown)
		}
		backends := func(n int, away float64) {
			f.Kind, f.Much, f.Share = "replace", math.Min(away, part*used/2), share(n, s.Fleet.Backends)
			step.Fault, step.Says = &f, fmt.Sprintf("%d of %d backends are drained for %.0f s, %d at once, and come back cold", n, s.Fleet.Backends, f.Much, places)
		}
		switch {
		case do.Manual != "":
			step.Says = "not played: people do it"
		case do.Release != nil && do.Release.Changes == release.Backends:
			backends(count(do.Release.Doors, s.Fleet.Backends), doorDown)
		case do.Release != nil:
			doors(count(do.Release.Doors, s.Fleet.Doors))
		case do.Drain != nil && do.Drain.Kind == permits.Door:
			doors(1)
		case do.Drain != nil && do.Drain.Kind == permits.Backend:
			backends(1, away(do.Drain, part))
		case do.Drain != nil: // a zone goes whole; its doors go on sending to the others
			f.MostOut, f.Batches = 0, 1
			f.Zone = new(int)
			f.Kind, f.Much, f.Share = "replace", math.Min(away(do.Drain, part), part*used/2), 1
			step.Fault, step.Says = &f, fmt.Sprintf("all backends of one zone are drained for %.0f s at once, and come back cold", f.Much)
		default:
			step.Says = "not played: nothing is known of what it does"
		}
		steps = append(steps, step)
	}
	return steps, nil
}

// away is for how long a drain lasts in a day that is far shorter than the real one.
func away(d *permits.DrainAction, part float64) float64 {
	if d.ForS > 0 {
		return d.ForS
	}
	return part
}

func count(named []string, all int) int {
	if len(named) == 0 {
		return all
	}
	return min(len(named), all)
}

// share of a fleet that has so many, rounded as the laboratory does.
func share(n, of int) float64 { return float64(min(n, of)) / float64(max(1, of)) }

// Row is what a day came to, over all seeds: with nothing, one step alone, or all of them.
type Row struct {
	Name     string
	Says     string
	G        float64 // mean
	Least    float64 // of the seeds
	Cost     float64 // G that it takes, in the mean, against the same days with nothing
	Late     float64 // of a thousand operations
	Unserved float64
	Broken   string // rules that broke on any seed
}

// Play plays the day with nothing, with each step alone, and with all of them, on each seed.
func Play(ctx context.Context, s *scenario.Scenario, steps []Step, seeds []uint64, jobs int) (rows []Row, err error) {
	rows = []Row{{Name: "nothing", Says: "the day as it is"}}
	days := [][]scenario.Fault{nil}
	var all []scenario.Fault
	for _, step := range steps {
		row := Row{Name: step.Name, Says: step.Says}
		if step.Fault == nil {
			rows, days = append(rows, row), append(days, nil)
			continue
		}
		all = append(all, *step.Fault)
		rows, days = append(rows, row), append(days, []scenario.Fault{*step.Fault})
	}
	rows, days = append(rows, Row{Name: "all", Says: "one after the other"}), append(days, all)
	var ones []run.Spec
	for _, faults := range days {
		with, err := with(s, faults)
		if err != nil {
			return nil, err
		}
		for _, seed := range seeds {
			ones = append(ones, run.Spec{Scenario: with, Seed: seed, Policy: rival.Swifthall})
		}
	}
	results, err := run.All(ctx, ones, jobs, nil)
	if err != nil {
		return nil, err
	}
	n := float64(len(seeds))
	for i := range rows {
		row := &rows[i]
		row.Least = math.Inf(1)
		broken := map[string]bool{}
		for j, r := range results[i*len(seeds) : (i+1)*len(seeds)] {
			row.G += r.Parts.G / n
			row.Least = min(row.Least, r.Parts.G)
			row.Cost += (results[j].Parts.G - r.Parts.G) / n
			row.Late += most * float64(r.Whole.Late) / math.Max(1, float64(r.Whole.Asked)) / n
			row.Unserved += most * float64(r.Whole.Unserved) / math.Max(1, float64(r.Whole.Asked)) / n
			if rule := string(r.FirstBroken()); rule != "" && !broken[rule] {
				broken[rule] = true
				row.Broken = strings.TrimSpace(row.Broken + " " + rule)
			}
		}
	}
	return rows, nil
}

// with is a scenario with more faults, checked as if it were read.
func with(s *scenario.Scenario, faults []scenario.Fault) (*scenario.Scenario, error) {
	c, err := s.Clone()
	if err != nil {
		return nil, err
	}
	c.Faults = append(c.Faults, faults...)
	raw, err := c.Write()
	if err != nil {
		return nil, err
	}
	c, err = scenario.Read(raw)
	if err != nil {
		return nil, &DayError{err}
	}
	return &c, nil
}
