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

// defaultBinary sets an empty path to the swifthall program next to this one.
func defaultBinary(binary *string) error {
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

func drillsCommand() *cobra.Command {
	var d procs.Drill
	var seeds, jobs int
	var out string
	cmd := &cobra.Command{Use: "drills", Short: "Run drains on real coordinators and doors, under faults drawn from the seed", Args: cobra.NoArgs,
		Long: "Starts coordinators, doors, stand-in backends and clients; operators drain and undrain by the command line while coordinators and\n" +
			"doors are paused, killed, cut off, and lose their disks. The checks use what really happened. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Reason: "must be at least one"}
			}
			if err := defaultBinary(&d.Binary); err != nil {
				return err
			}
			var specs []procs.Drill
			for i := range seeds {
				one := d
				one.Seed += uint64(i)
				if out != "" {
					one.Logs = filepath.Join(out, fmt.Sprint("drill-", one.Seed))
					if err := os.MkdirAll(one.Logs, 0o755); err != nil {
						return &FileError{Path: one.Logs, Cause: err}
					}
				}
				specs = append(specs, one)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "seed\tbroken\tstrikes\twent\tcame back\tcalls\trefused\tlost\tdrained\tafter a halt, ms\tall back, ms\toperations\tfinished")
			var sum procs.DrillResult
			var broken *procs.DrillResult
			err := runParallel(cmd.Context(), specs, jobs, procs.Drill.Run, func(p procs.Drill, r *procs.DrillResult) error {
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
	f.Uint64Var(&d.Seed, "seed", 1, "seed of the first drill")
	f.IntVar(&seeds, "seeds", 1, "number of drills")
	f.Float64Var(&d.Seconds, "seconds", 20, "length of each drill")
	f.IntVar(&d.Doors, "doors", 8, "number of doors")
	f.IntVar(&d.Coordinators, "coordinators", 3, "number of coordinators")
	f.Float64Var(&d.Rate, "rate", 20, "requests per second that clients send to each door without a fault")
	f.StringVar(&d.CoordinatorLoss, "strike", "", "none, one, leader or all: which coordinators are lost, in place of faults drawn from the seed")
	f.StringVar(&d.Binary, "door", "", "the program; by default swifthall next to this program")
	f.StringVar(&out, "out", "", "directory for logs and results")
	f.IntVar(&jobs, "jobs", 1, "parallel drills")
	return cmd
}

func coordinatorsCommand() *cobra.Command {
	var p procs.CoordinatorBenchmark
	cmd := &cobra.Command{Use: "coordinators", Short: "Measure coordinators: permits per second, and the time until a new leader takes over", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := defaultBinary(&p.Binary); err != nil {
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
	f.IntVar(&p.Coordinators, "coordinators", 3, "number of coordinators")
	f.IntVar(&p.Callers, "callers", 16, "concurrent callers")
	f.Float64Var(&p.Seconds, "seconds", 5, "length of the measurement")
	f.IntVar(&p.Kills, "kills", 10, "how often the leader is killed")
	f.BoolVar(&p.NoSync, "no-sync", false, "do not wait for disk writes")
	f.StringVar(&p.Binary, "door", "", "the program; by default swifthall next to this program")
	f.StringVar(&p.Logs, "logs", "", "directory for logs")
	return cmd
}

func rolloutsCommand() *cobra.Command {
	var p procs.Rollout
	var jobs int
	cmd := &cobra.Command{Use: "rollouts [KIND...]", Short: "Run releases on real coordinators and doors, with clients at every door",
		Long: "Each KIND is a release that succeeds or fails; by default all. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := defaultBinary(&p.Binary); err != nil {
				return err
			}
			if len(args) == 0 {
				args = slices.Sorted(maps.Keys(procs.RolloutKinds))
			}
			var specs []procs.Rollout
			for _, kind := range args {
				one := p
				one.Kind = kind
				if p.Logs != "" {
					one.Logs = filepath.Join(p.Logs, kind)
					if err := os.MkdirAll(one.Logs, 0o755); err != nil {
						return &FileError{Path: one.Logs, Cause: err}
					}
				}
				specs = append(specs, one)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "release\tbroken\tended\ttook, s\tdecided after, s\tback after, s\tmost out\ttouched, door-s/doors\toperations\tfinished\trejected\tfailed\tsays")
			var broken *procs.RolloutResult
			err := runParallel(cmd.Context(), specs, jobs, procs.Rollout.Run, func(_ procs.Rollout, r *procs.RolloutResult) error {
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
	f.Uint64Var(&p.Seed, "seed", 1, "seed for clients and wrong clocks")
	f.IntVar(&p.Doors, "doors", 6, "number of doors")
	f.IntVar(&p.Coordinators, "coordinators", 3, "number of coordinators")
	f.Float64Var(&p.Rate, "rate", 60, "requests per second that clients send to each door")
	f.StringVar(&p.Binary, "door", "", "the program; by default swifthall next to this program")
	f.StringVar(&p.Logs, "logs", "", "directory for logs")
	f.IntVar(&jobs, "jobs", 1, "parallel releases")
	return cmd
}

func migrationsCommand() *cobra.Command {
	var p procs.Migration
	var seeds, jobs int
	var steps []int
	cmd := &cobra.Command{Use: "migrations", Short: "Run the move of docs/migration.md as a calendar migration, on real processes", Args: cobra.NoArgs,
		Long: "The move has three steps, with clients at every door, while coordinators are killed, paused and cut off and one of\n" +
			"their clocks is ten minutes ahead: completely, and halted at each step and reverted. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Reason: "must be at least one"}
			}
			if err := defaultBinary(&p.Binary); err != nil {
				return err
			}
			var specs []procs.Migration
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
					specs = append(specs, one)
				}
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "seed\thalted at\tbroken\tended\ttook, s\tback after, s\tstrikes\tchanges\tmost out\toperations\tfinished\trejected\tfailed")
			var broken *procs.MigrationResult
			var brokenSpec procs.Migration
			err := runParallel(cmd.Context(), specs, jobs, procs.Migration.Run, func(one procs.Migration, r *procs.MigrationResult) error {
				fmt.Fprintf(t, "%d\t%d\t%d\t%s\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", one.Seed, r.HaltAt, len(r.Violations), r.Stage, r.TookS, r.BackS, len(r.Faults), r.Changes, r.MostOut,
					r.Asked, r.Finished, r.Rejected, r.Failed)
				for _, b := range r.Violations {
					fmt.Fprintf(cmd.ErrOrStderr(), "seed %d, halted at %d: %s: %s\n", one.Seed, r.HaltAt, b.Rule, b.Text)
				}
				if len(r.Violations) > 0 && broken == nil {
					broken, brokenSpec = r, one
				}
				return nil
			})
			t.Flush()
			if err != nil {
				return err
			}
			if broken != nil {
				b := broken.Violations[0]
				return &ScheduleError{fmt.Sprintf("migration halted at %d", broken.HaltAt), brokenSpec.Seed, b.Rule, len(broken.Violations), b.Text}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&p.Seed, "seed", 1, "seed for clients, clocks and faults")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, counting up from --seed")
	f.IntSliceVar(&steps, "halt", []int{0, 1, 2, 3}, "steps at which it is halted and reverted; 0 for a complete run")
	f.IntVar(&p.Doors, "doors", 6, "number of doors")
	f.IntVar(&p.Coordinators, "coordinators", 3, "number of coordinators")
	f.Float64Var(&p.Rate, "rate", 60, "requests per second that clients send to each door")
	f.BoolVar(&p.NoFaults, "quiet", false, "without faults")
	f.StringVar(&p.Binary, "door", "", "the program; by default swifthall next to this program")
	f.StringVar(&p.Logs, "logs", "", "directory for logs")
	f.IntVar(&jobs, "jobs", 1, "parallel runs")
	return cmd
}
