package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/lab/procs"
	"github.com/swifthall/swifthall/lab/procs/check"
)

func procsCommand() *cobra.Command {
	var seed uint64
	var seeds, doors, jobs int
	var on, who, door, out, logs string
	var random, rate float64
	var list, plain bool
	cmd := &cobra.Command{Use: "procs [SCHEDULE...]", Short: "Run fault schedules between the doors of a fleet, in virtual time or on processes",
		Long: "Runs each SCHEDULE, a file or the name of one that ships (by default all), and checks what the doors concluded about each other.\n" +
			"--on sim runs the membership module in virtual time, --on processes real doors with a relay for each directed pair of them.\n" +
			"With --out each run writes result.json, report.html with a timeline, and schedule.toml that reproduces it. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				for _, name := range procs.Names() {
					s, err := procs.Open(name)
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%-14s %s\n", name, s.Shows)
				}
				return nil
			}
			if seeds < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Reason: "must be at least one"}
			}
			makers := map[string]procs.DetectorFactory{"module": procs.Module, "heartbeats": procs.Heartbeats}
			if makers[who] == nil || on == "processes" && who != "module" {
				return &FlagError{Flag: fmt.Sprintf("--who %q", who), Reason: "must be module or, with --on sim, heartbeats"}
			}
			if on != "sim" && on != "processes" {
				return &FlagError{Flag: fmt.Sprintf("--on %q", on), Reason: "must be sim or processes"}
			}
			if door == "" {
				self, err := os.Executable()
				if err != nil {
					return &FileError{Path: "this program", Cause: err}
				}
				door = filepath.Join(filepath.Dir(self), "swifthall")
			}
			if len(args) == 0 && random == 0 {
				args = procs.Names()
			}
			var specs []*procs.Plan
			for i := range seeds {
				at := seed + uint64(i)
				for _, name := range args {
					s, err := procs.Open(name)
					if err != nil {
						return err
					}
					if doors > 0 {
						s.Fleet.Doors = doors
					}
					specs = append(specs, s.Draw(at))
				}
				if random > 0 {
					specs = append(specs, procs.Random(at, max(doors, 3), random).Draw(at))
				}
			}
			type timed struct {
				*procs.Result
				took time.Duration
			}
			runPlan := func(p *procs.Plan, ctx context.Context) (t timed, err error) {
				began := time.Now()
				if on == "sim" {
					t.Result, err = p.Run(ctx, who, makers[who])
				} else {
					t.Result, err = procs.Real{Plan: p, Binary: door, Logs: logs, Rate: rate, NoFleet: plain}.Run(ctx, nil)
				}
				t.took = time.Since(began)
				return t, err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "schedule\tdoors\tseed\tbroken\twrongly away\tchanges\tknown p99, ms\tback, ms\tone view, ms\tdoubted, ms\tmessages/s\tbytes/s\tCPU ms/s\tresident MB\ttook")
			var broken *procs.Result
			err := runParallel(cmd.Context(), specs, jobs, runPlan, func(p *procs.Plan, r timed) error {
				f := &r.Figures
				if len(r.Violations) > 0 && broken == nil {
					broken = r.Result
				}
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%.1f\t%v\n", r.Schedule, r.Doors, r.Seed, len(r.Violations), f.FalseAway, f.VerdictChanges,
					check.Quantile(f.DetectionMs, 99), check.Quantile(f.RecoveryMs, 100), f.ConvergenceMs, f.SuspicionMs, r.Messages, r.Bytes, r.CPU, r.Resident, r.took.Round(100*time.Millisecond))
				if out == "" {
					return nil
				}
				return r.Write(p.Schedule, filepath.Join(out, fmt.Sprintf("%s-%d-%d", r.Schedule, r.Doors, r.Seed)))
			})
			t.Flush()
			if err != nil {
				return err
			}
			if broken != nil {
				b := broken.Violations[0]
				return &ScheduleError{broken.Schedule, broken.Seed, b.Rule, len(broken.Violations), b.Text}
			}
			return nil
		}}
	f := cmd.Flags()
	f.BoolVar(&list, "list", false, "list the schedules that ship")
	f.StringVar(&on, "on", "sim", "sim or processes")
	f.StringVar(&who, "who", "module", "module, or heartbeats with a fixed timeout for comparison")
	f.Uint64Var(&seed, "seed", 1, "seed of the first run")
	f.IntVar(&seeds, "seeds", 1, "number of runs of each schedule")
	f.IntVar(&doors, "doors", 0, "number of doors, overriding the schedule")
	f.Float64Var(&random, "random", 0, "also run a schedule drawn from the seed, of this many seconds")
	f.StringVar(&door, "door", "", "the door's program; by default swifthall next to this program")
	f.Float64Var(&rate, "rate", 20, "requests per second that clients send to each door; on processes")
	f.BoolVar(&plain, "plain", false, "doors without a fleet, to measure what membership costs; on processes")
	f.StringVar(&out, "out", "", "directory for each run's result, report and schedule")
	f.StringVar(&logs, "logs", "", "directory for the processes' logs")
	f.IntVar(&jobs, "jobs", 0, "parallel runs; 0 for one per core, or a single one on processes")
	cmd.PreRun = func(*cobra.Command, []string) {
		if jobs == 0 {
			if jobs = 1; on == "sim" {
				jobs = runtime.GOMAXPROCS(0)
			}
		}
	}
	return cmd
}

// runParallel runs all specs, at most limit at once, and reports each result in order. It stops at the first error.
func runParallel[P, R any](ctx context.Context, specs []P, limit int, run func(P, context.Context) (R, error), report func(P, R) error) error {
	type outcome struct {
		r   R
		err error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	outcomes := make([]chan outcome, len(specs))
	slots := make(chan struct{}, max(1, limit))
	var group sync.WaitGroup
	defer group.Wait()
	for i := range specs {
		outcomes[i] = make(chan outcome, 1)
	}
	group.Go(func() {
		for i, p := range specs {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				r, err := run(p, ctx)
				outcomes[i] <- outcome{r, err}
			})
		}
	})
	for i, p := range specs {
		o := <-outcomes[i]
		if o.err == nil {
			o.err = report(p, o.r)
		}
		if o.err != nil {
			stop()
			return o.err
		}
	}
	return nil
}
