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

// Sweep plays one scenario over seeds, and over the values of one key where there is one.
type Sweep struct {
	Scenario *scenario.Scenario
	Seeds    []uint64
	Key      string
	Values   []string // one empty value where no key is swept
	Policies []string
	Jobs     int // at once; 0 for one a core
}

// Cell is one value and policy over all seeds.
type Cell struct {
	Value, Policy string
	Results       []*Result
}

// Figure is a mean over seeds with its spread.
type Figure struct {
	Mean, Deviation float64
	N               int
}

// Err is the standard error of the mean.
func (f Figure) Err() float64 {
	if f.N < 2 {
		return math.NaN()
	}
	return f.Deviation / math.Sqrt(float64(f.N))
}

func figureOf(xs []float64) Figure {
	if len(xs) == 0 {
		return Figure{Mean: math.NaN(), Deviation: math.NaN()}
	}
	if len(xs) == 1 {
		return Figure{Mean: xs[0], Deviation: math.NaN(), N: 1}
	}
	mean, dev := stat.MeanStdDev(xs, nil)
	return Figure{mean, dev, len(xs)}
}

// G is the cell's mean G.
func (c *Cell) G() Figure {
	var xs []float64
	for _, r := range c.Results {
		xs = append(xs, r.Parts.G)
	}
	return figureOf(xs)
}

// Broken counts the days on which a rule broke.
func (c *Cell) Broken() (n int) {
	for _, r := range c.Results {
		if !r.Kept() {
			n++
		}
	}
	return n
}

// Play plays all days of the sweep.
func (s *Sweep) Play(ctx context.Context, progress func(done, all float64)) ([]*Cell, error) {
	var days []Spec
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
				days = append(days, Spec{Scenario: &sc, Seed: seed, Policy: p})
			}
		}
	}
	results, err := All(ctx, days, s.Jobs, together(len(days), progress))
	if err != nil {
		return nil, err
	}
	for i, r := range results {
		c := cells[i/len(s.Seeds)]
		c.Results = append(c.Results, r)
	}
	return cells, nil
}

// Save writes every day into a folder of its own, by value, policy and seed.
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

// Find reads all results in a folder and below it, by seed.
func Find(dir string) ([]*Result, error) {
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
		return nil, &ResultsError{Doing: doingFind, Dir: dir, Cause: err}
	}
	if len(results) == 0 {
		return nil, &ResultsError{Doing: doingFind, Dir: dir, Says: "no " + ResultFile + " in " + dir + " or below it"}
	}
	slices.SortFunc(results, func(a, b *Result) int { return int(a.Seed) - int(b.Seed) })
	return results, nil
}

// Row compares one figure of two folders.
type Row struct {
	Name         string
	First, Other Figure
	Diff         Figure // over the seeds that both have, pair by pair
}

// Clear tells whether the difference stands out of its noise: over two standard errors.
func (r *Row) Clear() bool { return r.Diff.N > 1 && math.Abs(r.Diff.Mean) > 2*r.Diff.Err() }

// Compare sets two sets of days side by side.
func Compare(first, other []*Result) ([]Row, error) {
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
	var rows []Row
	for _, f := range figures {
		row := Row{Name: f.name}
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
			return nil, errNoPair
		}
		row.First, row.Other, row.Diff = figureOf(a), figureOf(b), figureOf(diff)
		rows = append(rows, row)
	}
	return rows, nil
}

func share(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// together turns the progress of days side by side into one.
func together(n int, progress func(done, all float64)) func(i int, done float64) {
	if progress == nil {
		return nil
	}
	state := newGauge(n, progress)
	return state.set
}
