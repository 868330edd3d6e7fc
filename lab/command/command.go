// Package command implements the laboratory's command line.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/internal/cli"
	"github.com/swifthall/swifthall/lab/report"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/run"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/scenarios"
)

// New returns the lab command with its subcommands.
func New() *cobra.Command {
	root := &cobra.Command{Use: "lab", Short: "The laboratory: run scenarios, compare, sweep, hunt, load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	root.AddCommand(playCommand(), listCommand(), accountCommand(), tallyCommand(), compareCommand(), sweepCommand(), huntCommand(), loadCommand(), besideCommand(), proxyCommand(), procsCommand(), drillsCommand(), coordinatorsCommand(), rolloutsCommand(), migrationsCommand(), rehearseCommand())
	return root
}

// Main runs the command until it ends or a signal arrives, and returns the exit code.
func Main(root *cobra.Command, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Main(ctx, root, errs)
}

// progressBar shows a progress bar on standard error, suited to terminals and logs.
func progressBar(cmd *cobra.Command, what string) (update func(done, all float64), finish func()) {
	const steps = 1000
	b := progressbar.NewOptions(steps, progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetDescription(what),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(true))
	return func(done, all float64) { _ = b.Set(int(steps * done / max(1, all))) }, func() { _ = b.Finish() }
}

// openScenario opens a scenario and applies the --doors and --set flags.
func openScenario(name string, doors int, sets []string) (*scenario.Scenario, error) {
	s, err := scenarios.Open(name)
	if err != nil {
		return nil, err
	}
	if doors > 0 {
		sets = append(sets, "fleet.doors="+strconv.Itoa(doors))
	}
	for _, set := range sets {
		key, value, ok := strings.Cut(set, "=")
		if !ok {
			return nil, &FlagError{Flag: fmt.Sprintf("--set %q", set), Reason: "must have the form KEY=VALUE"}
		}
		if s, err = s.Set(key, value); err != nil {
			return nil, &FlagError{Flag: "--set", Cause: err}
		}
	}
	return &s, nil
}

func playCommand() *cobra.Command {
	var seed uint64
	var doors int
	var on, policy, out, door, logs string
	var alone bool
	var sets []string
	cmd := &cobra.Command{Use: "play SCENARIO", Short: "Run a scenario and write its figures and a report", Args: cobra.ExactArgs(1),
		ValidArgs: scenarios.Names(),
		Long: "Runs a scenario, a file or the name of one that ships, and writes DIR/result.json and DIR/report.html.\n" +
			"Unless --alone, the floor, textbook and oracle baselines run with the same seed, for a score. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := openScenario(args[0], doors, sets)
			if err != nil {
				return err
			}
			update, finish := progressBar(cmd, s.Name)
			began := time.Now()
			spec := run.Spec{Scenario: s, Seed: seed, Policy: policy}
			var r *run.Result
			switch progress := func(done float64) { update(done, 1) }; {
			case on == "sockets":
				r, err = runOnSockets(cmd.Context(), s, seed, policy, door, logs, progress)
			case on != "sim":
				err = &FlagError{Flag: fmt.Sprintf("--on %q", on), Reason: "must be sim or sockets"}
			case alone:
				r, err = spec.Run(cmd.Context(), progress)
			default:
				r, err = spec.RunScored(cmd.Context(), progress)
			}
			finish()
			if err != nil {
				return err
			}
			if err := r.Save(out); err != nil {
				return err
			}
			if err := report.Write(r, out); err != nil {
				return err
			}
			printSummary(cmd.OutOrStdout(), r, time.Since(began))
			fmt.Fprintf(cmd.OutOrStdout(), "written: %s, %s\n", filepath.Join(out, run.ResultFile), filepath.Join(out, "report.html"))
			if rule := r.FirstBrokenRule(); rule != "" {
				return &BrokenError{rule, r.Broken[rule], r.Breaches[0].Text}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of the run; the same seed gives the same run")
	f.IntVar(&doors, "doors", 0, "number of doors, overriding the scenario")
	f.StringVar(&on, "on", "sim", "sim or sockets")
	f.StringVar(&policy, "policy", rival.Swifthall, strings.Join(rival.Names, ", "))
	f.StringVar(&out, "out", "", "directory for the result and the report")
	f.StringVar(&door, "door", "", "on sockets, the door's program; if empty, doors run within the laboratory's process")
	f.StringVar(&logs, "logs", "", "on sockets, directory for the logs of the doors' programs")
	f.BoolVar(&alone, "alone", false, "without the floor, textbook and oracle baselines")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE, a key of the scenario file such as load.share=0.7; may be repeated")
	_ = cmd.MarkFlagRequired("out")
	return cmd
}

// printSummary prints the score and the main figures of a run.
func printSummary(w io.Writer, r *run.Result, took time.Duration) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s (%s, %s)\tseed %d, %d doors, %d backends, %g s, %d events, played in %.1f s\n", r.Scenario, r.On, r.Policy, r.Seed,
		r.Doors, r.Backends, r.Length, r.Events, took.Seconds())
	if r.Score != nil {
		fmt.Fprintf(t, "score\t%.3f\t(G %.3f; floor %.3f, textbook %.3f, oracle %.3f)\n", r.Score.Value, r.Parts.G, r.Score.Floor,
			r.Score.Textbook, r.Score.Oracle)
	}
	fmt.Fprintf(t, "G\t%.3f\t(whole %.3f, worst 10 s %.3f from %d s, worst profile %.3f, worst plan %.3f, prices %.3f)\n", r.Parts.G,
		r.Parts.Whole, r.Parts.WorstWindow, r.Parts.WorstAt, r.Parts.WorstClass, r.Parts.WorstPlan, r.Parts.Prices)
	for _, p := range r.Classes {
		fmt.Fprintf(t, "%s\t%d asked\t%d in time, p50 %.0f ms, p99 %.0f ms\n", p.Name, p.Asked, p.InTime, p.Latency.P50, p.Latency.P99)
	}
	if r.RulesKept() {
		fmt.Fprintf(t, "rules\tkept\n")
	}
	t.Flush()
}

func accountCommand() *cobra.Command {
	return &cobra.Command{Use: "account DIR", Short: "Show where the gain of a run was lost: how much, when, at which doors", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := run.Load(args[0])
			if err != nil {
				return err
			}
			if r.Account == nil {
				return &FileError{Path: args[0], Reason: "a run on sockets has no account"}
			}
			r.Account.Print(cmd.OutOrStdout())
			return nil
		}}
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the scenarios that ship, and the kinds of fault", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			for _, name := range scenarios.Names() {
				s, err := scenarios.Open(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%s\t%d doors\t%d backends\t%g s\t%s\n", name, s.Fleet.Doors, s.Fleet.Backends, s.Day.Seconds, s.Shows)
			}
			fmt.Fprintln(t)
			var kinds []string
			for k := range scenario.Kinds {
				kinds = append(kinds, k)
			}
			slices.Sort(kinds)
			for _, name := range kinds {
				k := scenario.Kinds[name]
				fmt.Fprintf(t, "%s\t%s\t%s\t\t%s\n", name, k.Target, k.Unit, k.Description)
			}
			return nil
		}}
}

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare DIR DIR...", Short: "Compare results, with the noise over their seeds", Args: cobra.MinimumNArgs(2),
		Long: "Each DIR holds one result, or many below it (as sweep writes them). Results are paired by seed; a difference of over two\n" +
			"standard errors is marked with *. A single pair gives no estimate of the noise.",
		RunE: func(cmd *cobra.Command, args []string) error {
			first, err := run.LoadAll(args[0])
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			for _, dir := range args[1:] {
				other, err := run.LoadAll(dir)
				if err != nil {
					return err
				}
				rows, err := run.Compare(first, other)
				if err != nil {
					return &FileError{Path: args[0] + " and " + dir, Cause: err}
				}
				fmt.Fprintf(t, "figure\t%s\t%s\tdifference\tnoise\t\n", args[0], dir)
				for i := range rows {
					row, mark := &rows[i], ""
					if row.Significant() {
						mark = "*"
					}
					noise := "unknown"
					if row.Diff.N > 1 {
						noise = fmt.Sprintf("%.4f over %d", row.Diff.StdErr(), row.Diff.N)
					}
					fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%s\t%s\n", row.Name, row.First.Mean, row.Other.Mean, row.Diff.Mean, noise, mark)
				}
			}
			return nil
		}}
}

func sweepCommand() *cobra.Command {
	var seeds, jobs int
	var key, out string
	var values, policies, sets []string
	cmd := &cobra.Command{Use: "sweep SCENARIO", Short: "Run a scenario over seeds, or over the values of one key, on all cores",
		Args: cobra.ExactArgs(1), ValidArgs: scenarios.Names(),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := openScenario(args[0], 0, sets)
			if err != nil {
				return err
			}
			if seeds < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Reason: "must be at least one"}
			}
			if (key == "") != (len(values) == 0) {
				return &FlagError{Flag: "--key, --values", Reason: "they go together"}
			}
			w := run.Sweep{Scenario: s, Key: key, Values: values, Policies: policies, Jobs: jobs}
			for i := range seeds {
				w.Seeds = append(w.Seeds, uint64(i+1))
			}
			update, finish := progressBar(cmd, s.Name)
			cells, err := w.Run(cmd.Context(), update)
			finish()
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			fmt.Fprintf(t, "%s\tpolicy\tG\t± over seeds\tseeds\tdays with a broken rule\n", key)
			for _, c := range cells {
				if out != "" {
					if err := c.Save(out, key); err != nil {
						return err
					}
				}
				g := c.G()
				fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%d\t%d\n", c.Value, c.Policy, g.Mean, g.StdErr(), g.N, c.BrokenRuns())
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 8, "number of seeds, starting at 1")
	f.IntVar(&jobs, "jobs", 0, "parallel runs; 0 for one per core")
	f.StringVar(&key, "key", "", "key of the scenario file to sweep, such as load.share or fault[0].much")
	f.StringSliceVar(&values, "values", nil, "its values; a span is written 0.5:2")
	f.StringSliceVar(&policies, "policy", []string{rival.Swifthall}, strings.Join(rival.Names, ", "))
	f.StringVar(&out, "out", "", "directory for the figures of every run")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE of the scenario file; may be repeated")
	return cmd
}

func huntCommand() *cobra.Command {
	var h run.Hunt
	var doors int
	var sets []string
	var out string
	cmd := &cobra.Command{Use: "hunt SCENARIO", Short: "Search for the worst fault schedule or a broken rule, shrink it, and write it as a scenario",
		Args: cobra.ExactArgs(1), ValidArgs: scenarios.Names(),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := openScenario(args[0], doors, sets)
			if err != nil {
				return err
			}
			h.Scenario = s
			update, finish := progressBar(cmd, "hunting")
			found, err := h.Run(cmd.Context(), update)
			finish()
			if err != nil {
				return err
			}
			raw, err := found.Scenario.Write()
			if err != nil {
				return err
			}
			if err := os.WriteFile(out, raw, 0o644); err != nil {
				return &FileError{Path: out, Cause: err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d days played; %s: %s\n", found.Runs, out, found.Scenario.Shows)
			fmt.Fprintf(cmd.OutOrStdout(), "again: swifthall lab play %s --seed %d --policy %s --out DIR\n", out, found.Seed, h.Policy)
			if found.Rule != "" {
				return &BrokenError{Rule: found.Rule}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&h.Seed, "seed", 1, "seed of the search")
	f.IntVar(&h.Runs, "days", 200, "number of runs for the search")
	f.IntVar(&h.MaxFaults, "faults", 3, "maximum per schedule")
	f.BoolVar(&h.RulesOnly, "rules", false, "search for broken rules only")
	f.StringSliceVar(&h.Kinds, "only", nil, "kinds of fault to try")
	f.StringVar(&h.Policy, "policy", rival.Swifthall, strings.Join(rival.Names, ", "))
	f.StringVar(&out, "out", "found.toml", "file for the scenario")
	f.IntVar(&doors, "doors", 0, "number of doors, overriding the scenario")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE of the scenario file; may be repeated")
	f.IntVar(&h.Jobs, "jobs", 0, "parallel runs; 0 for one per core")
	return cmd
}
