package run

import (
	"context"
	"fmt"
	"io/fs"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"github.com/swifthall/swifthall/lab/scenario"
)

// Sweep is a parameter sweep: one scenario over seeds, policies and, optionally, the values of one key.
type Sweep struct {
	Scenario *scenario.Scenario
	Seeds    []uint64
	Key      string
	Values   []string // unused without a key
	Policies []string
	Jobs     int // parallel runs; 0 for one per core
}

// Cell holds the results of one value and policy over all seeds.
type Cell struct {
	Value, Policy string
	Results       []*Result
}

// Figure is a mean over seeds with its standard deviation.
type Figure struct {
	Mean, Deviation float64
	N               int
}

// StdErr is the standard error of the mean; NaN for fewer than two values.
func (f Figure) StdErr() float64 {
	if f.N < 2 {
		return math.NaN()
	}
	return f.Deviation / math.Sqrt(float64(f.N))
}

// newFigure returns mean and standard deviation.
func newFigure(xs []float64) Figure {
	if len(xs) == 0 {
		return Figure{Mean: math.NaN(), Deviation: math.NaN()}
	}
	if len(xs) == 1 {
		return Figure{Mean: xs[0], Deviation: math.NaN(), N: 1}
	}
	mean, dev := stat.MeanStdDev(xs, nil)
	return Figure{mean, dev, len(xs)}
}

// G is the mean G over the seeds.
func (c *Cell) G() Figure {
	var xs []float64
	for _, r := range c.Results {
		xs = append(xs, r.Parts.G)
	}
	return newFigure(xs)
}

// BrokenRuns counts the runs that broke a rule.
func (c *Cell) BrokenRuns() (n int) {
	for _, r := range c.Results {
		if !r.RulesKept() {
			n++
		}
	}
	return n
}

// Run simulates all runs of the sweep.
func (s *Sweep) Run(ctx context.Context, progress func(done, all float64)) ([]*Cell, error) {
	var specs []Spec
	var cells []*Cell
	values := s.Values
	if s.Key == "" {
		values = []string{""}
	}
	for _, v := range values {
		sc := *s.Scenario
		if s.Key != "" {
			var err error
			if sc, err = s.Scenario.Set(s.Key, v); err != nil {
				return nil, err
			}
		}
		for _, p := range s.Policies {
			cells = append(cells, &Cell{Value: v, Policy: p})
			for _, seed := range s.Seeds {
				specs = append(specs, Spec{Scenario: &sc, Seed: seed, Policy: p})
			}
		}
	}
	results, err := RunAll(ctx, specs, s.Jobs, combineProgress(len(specs), progress))
	if err != nil {
		return nil, err
	}
	for i, r := range results {
		c := cells[i/len(s.Seeds)]
		c.Results = append(c.Results, r)
	}
	return cells, nil
}

// Save writes every result into a directory of its own, by value, policy and seed.
func (c *Cell) Save(dir, key string) error {
	for _, r := range c.Results {
		at := dir
		if key != "" {
			at = filepath.Join(at, strings.ReplaceAll(key+"="+c.Value, string(filepath.Separator), "_"))
		}
		if err := r.Save(filepath.Join(at, c.Policy, fmt.Sprintf("seed-%d", r.Seed))); err != nil {
			return err
		}
	}
	return nil
}

// LoadAll loads all results in a directory and below it, sorted by seed.
func LoadAll(dir string) ([]*Result, error) {
	var results []*Result
	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.Name() != ResultFile {
			return nil
		}
		r, err := Load(filepath.Dir(path))
		if err == nil {
			results = append(results, r)
		}
		return err
	})
	if err != nil {
		return nil, &ResultsError{Operation: opFind, Dir: dir, Cause: err}
	}
	if len(results) == 0 {
		return nil, &ResultsError{Operation: opFind, Dir: dir, Detail: "no " + ResultFile + " in " + dir + " or below"}
	}
	slices.SortFunc(results, func(a, b *Result) int { return int(a.Seed) - int(b.Seed) })
	return results, nil
}

// Comparison compares one figure of two sets of results.
type Comparison struct {
	Name         string
	First, Other Figure
	Diff         Figure // mean of the paired differences, over the seeds that both sets have
}

// Significant reports whether the difference is larger than two standard errors.
func (r *Comparison) Significant() bool {
	return r.Diff.N > 1 && math.Abs(r.Diff.Mean) > 2*r.Diff.StdErr()
}

// Compare compares two sets of results figure by figure.
func Compare(first, other []*Result) ([]Comparison, error) {
	figures := []struct {
		name string
		of   func(r *Result) float64
	}{
		{"G", func(r *Result) float64 { return r.Parts.G }},
		{"whole", func(r *Result) float64 { return r.Parts.Whole }},
		{"worst window", func(r *Result) float64 { return r.Parts.WorstWindow }},
		{"worst profile", func(r *Result) float64 { return r.Parts.WorstClass }},
		{"worst plan", func(r *Result) float64 { return r.Parts.WorstPlan }},
		{"prices", func(r *Result) float64 { return r.Parts.Prices }},
		{"in time", func(r *Result) float64 { return share(float64(r.Whole.InTime), float64(r.Whole.Asked)) }},
		{"rejected with room", func(r *Result) float64 { return share(float64(r.Costs.WithRoom), float64(r.Costs.Tries)) }},
		{"beyond quota", func(r *Result) float64 { return share(r.Costs.BeyondUnits, r.Costs.SentUnits) }},
		{"rules broken", func(r *Result) float64 { return float64(len(r.Broken)) }},
	}
	bySeed := map[uint64]*Result{}
	for _, r := range first {
		bySeed[r.Seed] = r
	}
	var rows []Comparison
	for _, f := range figures {
		row := Comparison{Name: f.name}
		var a, b, diff []float64
		for _, r := range first {
			a = append(a, f.of(r))
		}
		for _, r := range other {
			b = append(b, f.of(r))
			if was := bySeed[r.Seed]; was != nil {
				diff = append(diff, f.of(r)-f.of(was))
			}
		}
		if len(diff) == 0 {
			return nil, errNoCommonSeed
		}
		row.First, row.Other, row.Diff = newFigure(a), newFigure(b), newFigure(diff)
		rows = append(rows, row)
	}
	return rows, nil
}

// share returns a/b, and 0 for b = 0.
func share(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// combineProgress adapts the progress of parallel runs to a single progress function.
func combineProgress(n int, progress func(done, all float64)) func(i int, done float64) {
	if progress == nil {
		return nil
	}
	state := newProgressSum(n, progress)
	return state.set
}
