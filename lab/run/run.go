// Package run plays scenarios: one day, many seeds, sweeps over a key, comparisons, and hunts for the worst day.
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

// Where a day was played.
const (
	Simulated = "simulated"
	OnSockets = "on sockets"
)

// Result is what a day came to. The same scenario, seed and policy give the same bytes where it is simulated.
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
	Plans    []Named            `json:"plans"`
	Classes  []Named            `json:"profiles"`
	Costs    judge.Costs        `json:"costs"`
	Seconds  []judge.Second     `json:"by_second"`
	Faults   []scenario.Fault   `json:"faults"`
	Account  *account.Account   `json:"account,omitempty"`
	Behind   float64            `json:"behind_ms,omitempty"` // on sockets, how late the laboratory itself ran at the worst
	Notes    []string           `json:"notes,omitempty"`
}

// Named is the tally of a plan or a class.
type Named struct {
	Name string `json:"name"`
	judge.Tally
	Latency *Latency `json:"latency,omitempty"`
}

// Latency holds quantiles from the first try's beginning to the answer at the client, ms.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Most  float64 `json:"most_ms"`
}

// Score places a day's G between a floor, which lets all in, and an oracle, which sees the true state.
type Score struct {
	Value    float64 `json:"value"`
	Floor    float64 `json:"floor_g"`
	Textbook float64 `json:"textbook_g"`
	Oracle   float64 `json:"oracle_g"`
}

const leastApart = 0.10 // divisor of a score at least; on a day that anyone serves, small differences mean little

// Place works the score out; a broken rule makes it 0.
func Place(g float64, broken bool, floor, oracle float64) float64 {
	if broken {
		return 0
	}
	top := max(oracle, g)
	return 1 - (top-g)/max(leastApart, top-floor)
}

// Kept tells whether all rules were.
func (r *Result) Kept() bool { return len(r.Broken) == 0 }

// FirstBroken names the first broken rule, in the order of the rules.
func (r *Result) FirstBroken() judge.Rule {
	for _, rule := range judge.AllRules {
		if r.Broken[rule] > 0 {
			return rule
		}
	}
	return ""
}

// Spec is one day to be played.
type Spec struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Policy   string
	Maker    *model.Maker // in place of the one that Policy names
}

// Run plays one day in virtual time.
func (o Spec) Run(ctx context.Context, progress func(float64)) (*Result, error) {
	maker, known := rival.Makers[o.Policy]
	if o.Maker != nil {
		maker, known = *o.Maker, true
	}
	if !known {
		return nil, &PolicyError{o.Policy, rival.Names}
	}
	deal := model.JudgeTerms(o.Scenario)
	j, book := judge.New(deal), account.NewCollector(deal)
	if err := model.New(o.Scenario, o.Seed, maker, both{j, book}).Run(ctx, progress); err != nil {
		return nil, &DayError{o.Scenario.Name, err}
	}
	r := NewResult(o.Scenario, o.Seed, o.Policy, Simulated, j)
	r.Account = book.Sum()
	return r, nil
}

// both hands a day's events to the judge and to the account.
type both struct {
	judge *judge.Verifier
	book  *account.Collector
}

func (b both) Take(e *trace.Event) { b.judge.Take(e); b.book.Take(e) }

// NewResult puts a judged day together.
func NewResult(s *scenario.Scenario, seed uint64, policy, on string, j *judge.Verifier) *Result {
	r := &Result{Scenario: s.Name, Shows: s.Shows, On: on, Policy: policy, Seed: seed, Doors: s.Fleet.Doors, Backends: s.Fleet.Backends,
		Length: s.Day.Seconds, Events: j.Events, Parts: j.Service.Parts(), Broken: j.Rules.Count, Breaches: j.Rules.Violations,
		Whole: j.Service.Whole, Costs: j.Service.Costs, Seconds: j.Service.Seconds, Faults: s.Faults}
	for i, p := range s.Plans {
		r.Plans = append(r.Plans, Named{Name: p.Name, Tally: j.Service.Plans[i]})
	}
	for i, p := range s.Classes {
		r.Classes = append(r.Classes, Named{Name: p.Name, Tally: j.Service.Classes[i], Latency: Quantiles(j.Service.Latency[i])})
	}
	return r
}

// Quantiles reads a histogram of µs.
func Quantiles(h *hdrhistogram.Histogram) *Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return &Latency{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Most: float64(h.Max()) / 1000}
}

// Marked plays a day and, beside it, the floor, the textbook and the oracle, and scores the day between them.
func (o Spec) Marked(ctx context.Context, progress func(float64)) (*Result, error) {
	days := []Spec{o, o, o, o}
	for i, name := range []string{rival.Floor, rival.Textbook, rival.Oracle} {
		days[i+1].Policy, days[i+1].Maker = name, nil
	}
	results, err := All(ctx, days, 0, func(i int, done float64) {
		if i == 0 && progress != nil {
			progress(done)
		}
	})
	if err != nil {
		return nil, err
	}
	r := results[0]
	r.Score = Mark(r, results[1], results[2], results[3])
	return r, nil
}

// Mark scores a day by its marks. A floor that broke a rule counts as none served.
func Mark(r, floor, textbook, oracle *Result) *Score {
	f := max(0, floor.Parts.G)
	if !floor.Kept() {
		f = 0
	}
	return &Score{Value: Place(r.Parts.G, !r.Kept(), f, oracle.Parts.G), Floor: f, Textbook: textbook.Parts.G, Oracle: oracle.Parts.G}
}

// All plays days side by side, at most so many at once (0 for one a core), and returns their results in order.
func All(ctx context.Context, days []Spec, most int, progress func(i int, done float64)) ([]*Result, error) {
	if most <= 0 {
		most = runtime.GOMAXPROCS(0)
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	results := make([]*Result, len(days))
	slots := make(chan struct{}, most)
	var group sync.WaitGroup
	for i, d := range days {
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

// ResultFile is the name of a day's figures in its folder.
const ResultFile = "result.json"

// Save writes a day's figures into a folder, which is made.
func (r *Result) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return &ResultsError{Doing: doingSave, Dir: dir, Cause: err}
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return &ResultsError{Doing: doingSave, Dir: dir, Cause: err}
	}
	if err := os.WriteFile(filepath.Join(dir, ResultFile), append(raw, '\n'), 0o644); err != nil {
		return &ResultsError{Doing: doingSave, Dir: dir, Cause: err}
	}
	return nil
}

// Load reads a day's figures back.
func Load(dir string) (*Result, error) {
	raw, err := os.ReadFile(filepath.Join(dir, ResultFile))
	if err != nil {
		return nil, &ResultsError{Doing: doingLoad, Dir: dir, Cause: err}
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, &ResultsError{Doing: doingLoad, Dir: dir, Cause: err}
	}
	return &r, nil
}
