package command

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/lab/procs"
	"github.com/swifthall/swifthall/lab/procs/check"
)

// besides names the program that lies beside this one, where a flag has named none.
func besides(binary *string) error {
	if *binary != "" {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return &FileError{Path: "this program", Cause: err}
	}
	*binary = filepath.Join(filepath.Dir(self), "swifthall")
	return nil
}

func drills() *cobra.Command {
	var d procs.Drill
	var seeds, jobs int
	var out string
	cmd := &cobra.Command{Use: "drills", Short: "Play drains on real coordinators and doors, under faults drawn from the seed", Args: cobra.NoArgs,
		Long: "Starts coordinators, doors, stand-in backends and clients; operators drain and bring back by the command line while coordinators and\n" +
			"doors are stopped, killed, cut off, and lose their disks. Judges by what truly was. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Says: "at least one is wanted"}
			}
			if err := besides(&d.Binary); err != nil {
				return err
			}
			var plays []procs.Drill
			for i := range seeds {
				one := d
				one.Seed += uint64(i)
				if out != "" {
					one.Logs = filepath.Join(out, fmt.Sprint("drill-", one.Seed))
					if err := os.MkdirAll(one.Logs, 0o755); err != nil {
						return &FileError{Path: one.Logs, Cause: err}
					}
				}
				plays = append(plays, one)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "seed\tbroken\tstrikes\twent\tcame back\tcalls\trefused\tlost\tdrained\tafter a halt, ms\tall back, ms\toperations\tfinished")
			var sum procs.DrillResult
			var broken *procs.DrillResult
			err := sideBySide(cmd.Context(), plays, jobs, procs.Drill.Run, func(p procs.Drill, r *procs.DrillResult) error {
				fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\n", r.Seed, len(r.Violations), len(r.Faults), r.Went, r.Returned, r.Calls,
					r.Refused, r.Lost, r.Drained, r.HaltMs, r.BackMs, r.Asked, r.Finished)
				for _, b := range r.Violations {
					fmt.Fprintf(cmd.ErrOrStderr(), "seed %d: %s: %.0f ms: %s\n", r.Seed, b.Rule, b.At, b.Text)
				}
				if len(r.Violations) > 0 && broken == nil {
					broken = r
				}
				sum.Went, sum.Calls, sum.Drained, sum.Violations = sum.Went+r.Went, sum.Calls+r.Calls, sum.Drained+r.Drained, append(sum.Violations, r.Violations...)
				if out == "" {
					return nil
				}
				raw, err := json.MarshalIndent(r, "", " ")
				if err == nil {
					err = os.WriteFile(filepath.Join(p.Logs, "result.json"), raw, 0o644)
				}
				if err != nil {
					return &FileError{Path: p.Logs, Cause: err}
				}
				return nil
			})
			t.Flush()
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d drills: %d doors went, %d calls, %d times drained, %d breaches\n", seeds, sum.Went, sum.Calls, sum.Drained, len(sum.Violations))
			if broken != nil {
				b := broken.Violations[0]
				return &ScheduleError{"drill", broken.Seed, b.Rule, len(broken.Violations), b.Text}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&d.Seed, "seed", 1, "of the first drill")
	f.IntVar(&seeds, "seeds", 1, "how many drills")
	f.Float64Var(&d.Seconds, "seconds", 20, "of each")
	f.IntVar(&d.Doors, "doors", 8, "doors")
	f.IntVar(&d.Coordinators, "coordinators", 3, "coordinators")
	f.Float64Var(&d.Rate, "rate", 20, "operations a second that clients ask of each door that nothing befalls")
	f.StringVar(&d.CoordinatorLoss, "strike", "", "none, one, leader or all: which coordinators are lost, in place of strikes drawn from the seed")
	f.StringVar(&d.Binary, "door", "", "the program; swifthall beside this one where empty")
	f.StringVar(&out, "out", "", "folder for logs and results")
	f.IntVar(&jobs, "jobs", 1, "drills at once")
	return cmd
}

func coordinators() *cobra.Command {
	var p procs.CoordinatorBenchmark
	cmd := &cobra.Command{Use: "coordinators", Short: "Measure coordinators: permits a second, and how long it is until another leads", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := besides(&p.Binary); err != nil {
				return err
			}
			r, err := p.Measure(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d coordinators, %d callers: %.0f permits/s, p50 %.1f ms, p99 %.1f ms; another leads after %.0f ms (median), %.0f ms (most of %d)\n",
				p.Coordinators, p.Callers, r.Permits, r.P50, r.P99, check.Quantile(r.FailoverMs, 50), check.Quantile(r.FailoverMs, 100), len(r.FailoverMs))
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&p.Coordinators, "coordinators", 3, "coordinators")
	f.IntVar(&p.Callers, "callers", 16, "that ask at once")
	f.Float64Var(&p.Seconds, "seconds", 5, "of asking")
	f.IntVar(&p.Kills, "kills", 10, "of whichever leads")
	f.BoolVar(&p.NoSync, "no-sync", false, "don't wait for disks")
	f.StringVar(&p.Binary, "door", "", "the program; swifthall beside this one where empty")
	f.StringVar(&p.Logs, "logs", "", "folder for logs")
	return cmd
}

func rollouts() *cobra.Command {
	var p procs.Rollout
	var jobs int
	cmd := &cobra.Command{Use: "rollouts [KIND...]", Short: "Play releases on real coordinators and doors, with clients at every door",
		Long: "Each KIND is a release that goes well or doesn't; all where none is named. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := besides(&p.Binary); err != nil {
				return err
			}
			if len(args) == 0 {
				args = slices.Sorted(maps.Keys(procs.RolloutKinds))
			}
			var plays []procs.Rollout
			for _, kind := range args {
				one := p
				one.Kind = kind
				if p.Logs != "" {
					one.Logs = filepath.Join(p.Logs, kind)
					if err := os.MkdirAll(one.Logs, 0o755); err != nil {
						return &FileError{Path: one.Logs, Cause: err}
					}
				}
				plays = append(plays, one)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "release\tbroken\tended\ttook, s\tdecided after, s\tback after, s\tmost out\ttouched, door-s/doors\toperations\tfinished\trejected\tfailed\tsays")
			var broken *procs.RolloutResult
			err := sideBySide(cmd.Context(), plays, jobs, procs.Rollout.Run, func(_ procs.Rollout, r *procs.RolloutResult) error {
				fmt.Fprintf(t, "%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%d\t%.2f\t%d\t%d\t%d\t%d\t%s\n", r.Kind, len(r.Violations), r.Stage, r.TookS, r.DecidedS, r.BackS, r.MostOut, r.ExposureS,
					r.Asked, r.Finished, r.Rejected, r.Failed, r.Reason)
				for _, b := range r.Violations {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s: %s\n", r.Kind, b.Rule, b.Text)
				}
				if len(r.Violations) > 0 && broken == nil {
					broken = r
				}
				return nil
			})
			t.Flush()
			if err != nil {
				return err
			}
			if broken != nil {
				b := broken.Violations[0]
				return &ScheduleError{broken.Kind, p.Seed, b.Rule, len(broken.Violations), b.Text}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&p.Seed, "seed", 1, "of clients and wrong clocks")
	f.IntVar(&p.Doors, "doors", 6, "doors")
	f.IntVar(&p.Coordinators, "coordinators", 3, "coordinators")
	f.Float64Var(&p.Rate, "rate", 60, "operations a second that clients ask of each door")
	f.StringVar(&p.Binary, "door", "", "the program; swifthall beside this one where empty")
	f.StringVar(&p.Logs, "logs", "", "folder for logs")
	f.IntVar(&jobs, "jobs", 1, "releases at once")
	return cmd
}

func migrations() *cobra.Command {
	var p procs.Migration
	var seeds, jobs int
	var steps []int
	cmd := &cobra.Command{Use: "migrations", Short: "Play the move to another shape as a migration of the calendar, on real processes", Args: cobra.NoArgs,
		Long: "The move of docs/migration.md in three steps, with clients at every door, while coordinators are killed, stopped and cut off and one of\n" +
			"their clocks is ten minutes ahead: whole, and halted at each step and taken back. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Says: "at least one is wanted"}
			}
			if err := besides(&p.Binary); err != nil {
				return err
			}
			var plays []procs.Migration
			for i := range seeds {
				for _, step := range steps {
					one := p
					one.Seed, one.HaltAt = p.Seed+uint64(i), step
					if p.Logs != "" {
						one.Logs = filepath.Join(p.Logs, fmt.Sprintf("migration-%d-%d", one.Seed, step))
						if err := os.MkdirAll(one.Logs, 0o755); err != nil {
							return &FileError{Path: one.Logs, Cause: err}
						}
					}
					plays = append(plays, one)
				}
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "seed\thalted at\tbroken\tended\ttook, s\tback after, s\tstrikes\tchanges\tmost out\toperations\tfinished\trejected\tfailed")
			var broken *procs.MigrationResult
			var of procs.Migration
			err := sideBySide(cmd.Context(), plays, jobs, procs.Migration.Run, func(one procs.Migration, r *procs.MigrationResult) error {
				fmt.Fprintf(t, "%d\t%d\t%d\t%s\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", one.Seed, r.HaltAt, len(r.Violations), r.Stage, r.TookS, r.BackS, len(r.Faults), r.Changes, r.MostOut,
					r.Asked, r.Finished, r.Rejected, r.Failed)
				for _, b := range r.Violations {
					fmt.Fprintf(cmd.ErrOrStderr(), "seed %d, halted at %d: %s: %s\n", one.Seed, r.HaltAt, b.Rule, b.Text)
				}
				if len(r.Violations) > 0 && broken == nil {
					broken, of = r, one
				}
				return nil
			})
			t.Flush()
			if err != nil {
				return err
			}
			if broken != nil {
				b := broken.Violations[0]
				return &ScheduleError{fmt.Sprintf("migration halted at %d", broken.HaltAt), of.Seed, b.Rule, len(broken.Violations), b.Text}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&p.Seed, "seed", 1, "of clients, clocks and strikes")
	f.IntVar(&seeds, "seeds", 1, "seeds from there on")
	f.IntSliceVar(&steps, "halt", []int{0, 1, 2, 3}, "steps at which it is halted and taken back; 0 for the whole")
	f.IntVar(&p.Doors, "doors", 6, "doors")
	f.IntVar(&p.Coordinators, "coordinators", 3, "coordinators")
	f.Float64Var(&p.Rate, "rate", 60, "operations a second that clients ask of each door")
	f.BoolVar(&p.NoFaults, "quiet", false, "nothing strikes")
	f.StringVar(&p.Binary, "door", "", "the program; swifthall beside this one where empty")
	f.StringVar(&p.Logs, "logs", "", "folder for logs")
	f.IntVar(&jobs, "jobs", 1, "plays at once")
	return cmd
}
