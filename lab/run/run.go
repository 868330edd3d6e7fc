// Package run runs scenarios: a single run, many seeds, a parameter sweep over one key, comparisons of results, and a search for
// the worst fault schedule.
package run

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/swifthall/swifthall/lab/account"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// Result.On: how a run was executed.
const (
	Simulated = "simulated"
	OnSockets = "on sockets"
)

// Result is the outcome of one run. If it was simulated, the same scenario, seed and policy give the same bytes.
type Result struct {
	Scenario string             `json:"scenario"`
	Shows    string             `json:"shows"`
	On       string             `json:"on"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	Doors    int                `json:"doors"`
	Backends int                `json:"backends"`
	Length   float64            `json:"seconds"`
	Events   int                `json:"events"`
	Parts    judge.Parts        `json:"parts"`
	Score    *Score             `json:"score,omitempty"`
	Broken   map[judge.Rule]int `json:"broken"`
	Breaches []judge.Violation  `json:"breaches"`
	Whole    judge.Tally        `json:"whole"`
	Plans    []NamedTally       `json:"plans"`
	Classes  []NamedTally       `json:"profiles"`
	Costs    judge.Costs        `json:"costs"`
	Seconds  []judge.Second     `json:"by_second"`
	Faults   []scenario.Fault   `json:"faults"`
	Account  *account.Account   `json:"account,omitempty"`
	Behind   float64            `json:"behind_ms,omitempty"` // on sockets, the largest delay of the laboratory itself
	Notes    []string           `json:"notes,omitempty"`
}

// NamedTally is the tally of a plan or a class.
type NamedTally struct {
	Name string `json:"name"`
	judge.Tally
	Latency *Latency `json:"latency,omitempty"`
}

// Latency holds quantiles of the time from the start of the first try to the answer at the client, ms.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"most_ms"`
}

// Score places the G of a run between those of two baselines: the floor, which admits every request, and the oracle, which sees
// the true state.
type Score struct {
	Value    float64 `json:"value"`
	Floor    float64 `json:"floor_g"`
	Textbook float64 `json:"textbook_g"`
	Oracle   float64 `json:"oracle_g"`
}

const minScoreSpan = 0.10 // minimum distance between floor and oracle; if any policy serves well, small differences should not matter

// ScoreValue returns 1 for the oracle's G and 0 for the floor's; a broken rule makes it 0.
func ScoreValue(g float64, broken bool, floor, oracle float64) float64 {
	if broken {
		return 0
	}
	top := max(oracle, g)
	return 1 - (top-g)/max(minScoreSpan, top-floor)
}

// RulesKept reports whether no rule was broken.
func (r *Result) RulesKept() bool { return len(r.Broken) == 0 }

// FirstBrokenRule returns the first broken rule in the order of judge.AllRules, or an empty one.
func (r *Result) FirstBrokenRule() judge.Rule {
	for _, rule := range judge.AllRules {
		if r.Broken[rule] > 0 {
			return rule
		}
	}
	return ""
}

// Spec specifies one run.
type Spec struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Policy   string
	Maker    *model.Maker // overrides Policy
}

// Run simulates the run in virtual time.
func (o Spec) Run(ctx context.Context, progress func(float64)) (*Result, error) {
	maker, known := rival.Makers[o.Policy]
	if o.Maker != nil {
		maker, known = *o.Maker, true
	}
	if !known {
		return nil, &PolicyError{o.Policy, rival.Names}
	}
	params := model.JudgeParams(o.Scenario)
	verifier, collector := judge.New(params), account.NewCollector(params)
	if err := model.New(o.Scenario, o.Seed, maker, observers{verifier, collector}).Run(ctx, progress); err != nil {
		return nil, &RunError{o.Scenario.Name, err}
	}
	r := NewResult(o.Scenario, o.Seed, o.Policy, Simulated, verifier)
	r.Account = collector.Sum()
	return r, nil
}

// observers passes the events of a run to its verifier and to the collector of its account.
type observers struct {
	verifier  *judge.Verifier
	collector *account.Collector
}

func (b observers) Take(e *trace.Event) { b.verifier.Take(e); b.collector.Take(e) }

// NewResult builds the result of a run from its verifier.
func NewResult(s *scenario.Scenario, seed uint64, policy, on string, j *judge.Verifier) *Result {
	r := &Result{Scenario: s.Name, Shows: s.Shows, On: on, Policy: policy, Seed: seed, Doors: s.Fleet.Doors, Backends: s.Fleet.Backends,
		Length: s.Day.Seconds, Events: j.Events, Parts: j.Service.Parts(), Broken: j.Rules.Count, Breaches: j.Rules.Violations,
		Whole: j.Service.Whole, Costs: j.Service.Costs, Seconds: j.Service.Seconds, Faults: s.Faults}
	for i, p := range s.Plans {
		r.Plans = append(r.Plans, NamedTally{Name: p.Name, Tally: j.Service.Plans[i]})
	}
	for i, p := range s.Classes {
		r.Classes = append(r.Classes, NamedTally{Name: p.Name, Tally: j.Service.Classes[i], Latency: Quantiles(j.Service.Latency[i])})
	}
	return r
}

// Quantiles reads a histogram in µs and returns ms.
func Quantiles(h *hdrhistogram.Histogram) *Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return &Latency{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}

// RunScored simulates the run together with the floor, textbook and oracle baselines, and scores it.
func (o Spec) RunScored(ctx context.Context, progress func(float64)) (*Result, error) {
	specs := []Spec{o, o, o, o}
	for i, name := range []string{rival.Floor, rival.Textbook, rival.Oracle} {
		specs[i+1].Policy, specs[i+1].Maker = name, nil
	}
	results, err := RunAll(ctx, specs, 0, func(i int, done float64) {
		if i == 0 && progress != nil {
			progress(done)
		}
	})
	if err != nil {
		return nil, err
	}
	r := results[0]
	r.Score = NewScore(r, results[1], results[2], results[3])
	return r, nil
}

// NewScore scores a run against its baselines. A floor that broke a rule counts as G 0.
func NewScore(r, floor, textbook, oracle *Result) *Score {
	f := max(0, floor.Parts.G)
	if !floor.RulesKept() {
		f = 0
	}
	return &Score{Value: ScoreValue(r.Parts.G, !r.RulesKept(), f, oracle.Parts.G), Floor: f, Textbook: textbook.Parts.G, Oracle: oracle.Parts.G}
}

// RunAll simulates runs in parallel, at most limit at once (0 for one per core), and returns their results in order.
func RunAll(ctx context.Context, specs []Spec, limit int, progress func(i int, done float64)) ([]*Result, error) {
	if limit <= 0 {
		limit = runtime.GOMAXPROCS(0)
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	results := make([]*Result, len(specs))
	slots := make(chan struct{}, limit)
	var group sync.WaitGroup
	for i, d := range specs {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := d.Run(ctx, func(done float64) {
				if progress != nil {
					progress(i, done)
				}
			})
			if err != nil {
				stop(err)
				return
			}
			results[i] = r
			if progress != nil {
				progress(i, 1)
			}
		})
	}
	group.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return results, nil
}

// ResultFile is the name of the file with a run's results.
const ResultFile = "result.json"

// Save writes the results into a directory and creates it if necessary.
func (r *Result) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return &ResultsError{Operation: opSave, Dir: dir, Cause: err}
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return &ResultsError{Operation: opSave, Dir: dir, Cause: err}
	}
	if err := os.WriteFile(filepath.Join(dir, ResultFile), append(raw, '\n'), 0o644); err != nil {
		return &ResultsError{Operation: opSave, Dir: dir, Cause: err}
	}
	return nil
}

// Load reads the results that Save wrote.
func Load(dir string) (*Result, error) {
	raw, err := os.ReadFile(filepath.Join(dir, ResultFile))
	if err != nil {
		return nil, &ResultsError{Operation: opLoad, Dir: dir, Cause: err}
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, &ResultsError{Operation: opLoad, Dir: dir, Cause: err}
	}
	return &r, nil
}
