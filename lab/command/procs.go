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

func processes() *cobra.Command {
	var seed uint64
	var seeds, doors, jobs int
	var on, who, door, out, logs string
	var random, rate float64
	var list, plain bool
	cmd := &cobra.Command{Use: "procs [SCHEDULE...]", Short: "Play schedules of faults between the doors of a fleet, in virtual time or on processes",
		Long: "Plays each SCHEDULE, a file or the name of one that ships (all where none is named), and judges what the doors held of each other.\n" +
			"--on sim plays the membership module in virtual time, --on processes real doors with a relay for each directed pair of them.\n" +
			"With --out each play leaves result.json, report.html with a timeline, and schedule.toml that plays it again. Exits with 4 if a rule broke.",
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
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Says: "at least one is wanted"}
			}
			makers := map[string]procs.DetectorFactory{"module": procs.Module, "heartbeats": procs.Heartbeats}
			if makers[who] == nil || on == "processes" && who != "module" {
				return &FlagError{Flag: fmt.Sprintf("--who %q", who), Says: "module or, with --on sim, heartbeats is wanted"}
			}
			if on != "sim" && on != "processes" {
				return &FlagError{Flag: fmt.Sprintf("--on %q", on), Says: "sim or processes is wanted"}
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
			var plays []*procs.Plan
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
					plays = append(plays, s.Draw(at))
				}
				if random > 0 {
					plays = append(plays, procs.Random(at, max(doors, 3), random).Draw(at))
				}
			}
			type timed struct {
				*procs.Result
				took time.Duration
			}
			play := func(p *procs.Plan, ctx context.Context) (t timed, err error) {
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
			err := sideBySide(cmd.Context(), plays, jobs, play, func(p *procs.Plan, r timed) error {
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
	f.StringVar(&who, "who", "module", "module, or heartbeats with a fixed time-out to compare with")
	f.Uint64Var(&seed, "seed", 1, "of the first play")
	f.IntVar(&seeds, "seeds", 1, "how many plays of each")
	f.IntVar(&doors, "doors", 0, "number of doors in place of the schedule's")
	f.Float64Var(&random, "random", 0, "play a schedule drawn from the seed as well, of so many seconds")
	f.StringVar(&door, "door", "", "the door's program; swifthall beside this one where empty")
	f.Float64Var(&rate, "rate", 20, "operations a second that clients ask of each door; on processes")
	f.BoolVar(&plain, "plain", false, "doors without a fleet, to see what membership costs; on processes")
	f.StringVar(&out, "out", "", "folder for each play's result, report and schedule")
	f.StringVar(&logs, "logs", "", "folder for the processes' logs")
	f.IntVar(&jobs, "jobs", 0, "plays at once; 0 for one a core, or one on processes")
	cmd.PreRun = func(*cobra.Command, []string) {
		if jobs == 0 {
			if jobs = 1; on == "sim" {
				jobs = runtime.GOMAXPROCS(0)
			}
		}
	}
	return cmd
}

// sideBySide plays plays, so many at once, and tells of each as it ends, in order.
func sideBySide[P, R any](ctx context.Context, plays []P, most int, play func(P, context.Context) (R, error), tell func(P, R) error) error {
	type outcome struct {
		r   R
		err error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	outcomes := make([]chan outcome, len(plays))
	slots := make(chan struct{}, max(1, most))
	var group sync.WaitGroup
	defer group.Wait()
	for i := range plays {
		outcomes[i] = make(chan outcome, 1)
	}
	group.Go(func() {
		for i, p := range plays {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				r, err := play(p, ctx)
				outcomes[i] <- outcome{r, err}
			})
		}
	})
	for i, p := range plays {
		o := <-outcomes[i]
		if o.err == nil {
			o.err = tell(p, o.r)
		}
		if o.err != nil {
			stop()
			return o.err
		}
	}
	return nil
}
