// Package rehearse estimates what a migration would cost, by simulating its steps as faults of the site's own scenario.
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
	leadShare   = 0.1  // share of the run before the first step, in which the doors get to know the fleet
	tailShare   = 0.1  // share of the run after the last step, in which the fleet recovers
	activeShare = 0.8  // share of a step's time in which its units change; in the rest the last of them return
	doorDownS   = 1.0  // s that a changing door is down; in reality its holder process keeps the listener open and answers are late by one start
	perRequests = 1000 // Estimate.Late and Unserved are per this many requests
)

// Step is a step of a migration, and the fault that simulates it.
type Step struct {
	Name   string
	Fault  *scenario.Fault // nil if the step can't be simulated
	Detail string          // what is simulated, or why nothing is
}

// Steps converts the steps to faults of the scenario, one after the other. At most maxOut units are out at once.
func Steps(s *scenario.Scenario, entries []planfile.Entry, maxOut int) (steps []Step, err error) {
	if len(entries) == 0 {
		return nil, &StepsError{}
	}
	part := s.Day.Seconds * (1 - leadShare - tailShare) / float64(len(entries))
	for i := range entries {
		do, err := permits.ReadAction(entries[i].Do)
		if err != nil {
			return nil, &ActionError{i + 1, err}
		}
		step := Step{Name: entries[i].Name}
		f := scenario.Fault{AtS: s.Day.Seconds*leadShare + part*float64(i), ForS: part * activeShare, MostOut: maxOut}
		doors := func(n int) {
			f.Kind, f.Much, f.Share = "door_roll", doorDownS, fleetShare(n, s.Fleet.Doors)
			step.Fault, step.Detail = &f, fmt.Sprintf("%d of %d doors change, %d at once, each away for %g s", n, s.Fleet.Doors, maxOut, doorDownS)
		}
		backends := func(n int, away float64) {
			f.Kind, f.Much, f.Share = "replace", math.Min(away, part*activeShare/2), fleetShare(n, s.Fleet.Backends)
			step.Fault, step.Detail = &f, fmt.Sprintf("%d of %d backends are drained for %.0f s, %d at once, and come back cold", n, s.Fleet.Backends, f.Much, maxOut)
		}
		switch {
		case do.Manual != "":
			step.Detail = "not played: people do it"
		case do.Release != nil && do.Release.Changes == release.Backends:
			backends(count(do.Release.Doors, s.Fleet.Backends), doorDownS)
		case do.Release != nil:
			doors(count(do.Release.Doors, s.Fleet.Doors))
		case do.Drain != nil && do.Drain.Kind == permits.Door:
			doors(1)
		case do.Drain != nil && do.Drain.Kind == permits.Backend:
			backends(1, drainSeconds(do.Drain, part))
		case do.Drain != nil: // a whole zone; its doors keep sending to the other zones
			f.MostOut, f.Batches = 0, 1
			f.Zone = new(int)
			f.Kind, f.Much, f.Share = "replace", math.Min(drainSeconds(do.Drain, part), part*activeShare/2), 1
			step.Fault, step.Detail = &f, fmt.Sprintf("all backends of one zone are drained for %.0f s at once, and come back cold", f.Much)
		default:
			step.Detail = "not played: nothing is known of what it does"
		}
		steps = append(steps, step)
	}
	return steps, nil
}

// drainSeconds returns how long a drain lasts; one without a duration lasts for the step's time.
func drainSeconds(d *permits.DrainAction, part float64) float64 {
	if d.ForS > 0 {
		return d.ForS
	}
	return part
}

// count returns how many units a release changes: those named, or all.
func count(named []string, all int) int {
	if len(named) == 0 {
		return all
	}
	return min(len(named), all)
}

// fleetShare returns n units as a share of a fleet of so many.
func fleetShare(n, of int) float64 { return float64(min(n, of)) / float64(max(1, of)) }

// Estimate holds the figures over all seeds for a run without changes, with one step alone, or with all steps.
type Estimate struct {
	Name     string
	Detail   string
	G        float64 // mean over the seeds
	MinG     float64 // minimum over the seeds
	Cost     float64 // mean loss of G against the runs without changes on the same seeds
	Late     float64 // requests per 1000
	Unserved float64 // requests per 1000
	Broken   string  // rules broken on any seed
}

// Run simulates the scenario on each seed without changes, with each step alone, and with all steps.
func Run(ctx context.Context, s *scenario.Scenario, steps []Step, seeds []uint64, jobs int) (rows []Estimate, err error) {
	rows = []Estimate{{Name: "nothing", Detail: "the day as it is"}}
	faultSets := [][]scenario.Fault{nil}
	var all []scenario.Fault
	for _, step := range steps {
		row := Estimate{Name: step.Name, Detail: step.Detail}
		if step.Fault == nil {
			rows, faultSets = append(rows, row), append(faultSets, nil)
			continue
		}
		all = append(all, *step.Fault)
		rows, faultSets = append(rows, row), append(faultSets, []scenario.Fault{*step.Fault})
	}
	rows, faultSets = append(rows, Estimate{Name: "all", Detail: "one after the other"}), append(faultSets, all)
	var specs []run.Spec
	for _, faults := range faultSets {
		with, err := withFaults(s, faults)
		if err != nil {
			return nil, err
		}
		for _, seed := range seeds {
			specs = append(specs, run.Spec{Scenario: with, Seed: seed, Policy: rival.Swifthall})
		}
	}
	results, err := run.RunAll(ctx, specs, jobs, nil)
	if err != nil {
		return nil, err
	}
	n := float64(len(seeds))
	for i := range rows {
		row := &rows[i]
		row.MinG = math.Inf(1)
		broken := map[string]bool{}
		for j, r := range results[i*len(seeds) : (i+1)*len(seeds)] {
			row.G += r.Parts.G / n
			row.MinG = min(row.MinG, r.Parts.G)
			row.Cost += (results[j].Parts.G - r.Parts.G) / n
			row.Late += perRequests * float64(r.Whole.Late) / math.Max(1, float64(r.Whole.Asked)) / n
			row.Unserved += perRequests * float64(r.Whole.Unserved) / math.Max(1, float64(r.Whole.Asked)) / n
			if rule := string(r.FirstBrokenRule()); rule != "" && !broken[rule] {
				broken[rule] = true
				row.Broken = strings.TrimSpace(row.Broken + " " + rule)
			}
		}
	}
	return rows, nil
}

// withFaults returns the scenario with additional faults, validated as if read from a file.
func withFaults(s *scenario.Scenario, faults []scenario.Fault) (*scenario.Scenario, error) {
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
		return nil, &ScenarioError{err}
	}
	return &c, nil
}
