// Package command is the laboratory's command line.
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

// New returns the command with all that is under it.
func New() *cobra.Command {
	root := &cobra.Command{Use: "lab", Short: "The laboratory: play scenarios, compare, sweep, hunt, load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	root.AddCommand(play(), list(), accounts(), tallies(), compare(), sweep(), hunt(), loads(), beside(), proxy(), processes(), drills(), coordinators(), rollouts(), migrations(), rehearsal())
	return root
}

// Main runs the command and returns the exit code.
func Main(root *cobra.Command, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Main(ctx, root, errs)
}

// bar shows long work on a terminal or a log alike; it writes to standard error.
func bar(cmd *cobra.Command, what string) (tell func(done, all float64), end func()) {
	const steps = 1000
	b := progressbar.NewOptions(steps, progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetDescription(what),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(true))
	return func(done, all float64) { _ = b.Set(int(steps * done / max(1, all))) }, func() { _ = b.Finish() }
}

// changed opens a scenario and changes what the flags say.
func changed(name string, doors int, sets []string) (*scenario.Scenario, error) {
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
			return nil, &FlagError{Flag: fmt.Sprintf("--set %q", set), Says: "KEY=VALUE is wanted"}
		}
		if s, err = s.Set(key, value); err != nil {
			return nil, &FlagError{Flag: "--set", Cause: err}
		}
	}
	return &s, nil
}

func play() *cobra.Command {
	var seed uint64
	var doors int
	var on, policy, out, door, logs string
	var alone bool
	var sets []string
	cmd := &cobra.Command{Use: "play SCENARIO", Short: "Play a scenario's day and write its figures and a report", Args: cobra.ExactArgs(1),
		ValidArgs: scenarios.Names(),
		Long: "Plays a scenario, a file or the name of one that ships, and writes DIR/result.json and DIR/report.html.\n" +
			"Beside it the floor, the textbook and the oracle play the same day, unless --alone. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := changed(args[0], doors, sets)
			if err != nil {
				return err
			}
			tell, end := bar(cmd, s.Name)
			began := time.Now()
			day := run.Spec{Scenario: s, Seed: seed, Policy: policy}
			var r *run.Result
			switch progress := func(done float64) { tell(done, 1) }; {
			case on == "sockets":
				r, err = playOnSockets(cmd.Context(), s, seed, policy, door, logs, progress)
			case on != "sim":
				err = &FlagError{Flag: fmt.Sprintf("--on %q", on), Says: "sim or sockets is wanted"}
			case alone:
				r, err = day.Run(cmd.Context(), progress)
			default:
				r, err = day.Marked(cmd.Context(), progress)
			}
			end()
			if err != nil {
				return err
			}
			if err := r.Save(out); err != nil {
				return err
			}
			if err := report.Write(r, out); err != nil {
				return err
			}
			summary(cmd.OutOrStdout(), r, time.Since(began))
			fmt.Fprintf(cmd.OutOrStdout(), "written: %s, %s\n", filepath.Join(out, run.ResultFile), filepath.Join(out, "report.html"))
			if rule := r.FirstBroken(); rule != "" {
				return &BrokenError{rule, r.Broken[rule], r.Breaches[0].Text}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&seed, "seed", 1, "of the day; the same seed gives the same day")
	f.IntVar(&doors, "doors", 0, "number of doors in place of the scenario's")
	f.StringVar(&on, "on", "sim", "sim or sockets")
	f.StringVar(&policy, "policy", rival.Swifthall, strings.Join(rival.Names, ", "))
	f.StringVar(&out, "out", "", "folder for the result and the report")
	f.StringVar(&door, "door", "", "on sockets, the door's program; doors within the laboratory's process where empty")
	f.StringVar(&logs, "logs", "", "on sockets, folder for the logs of the doors' programs")
	f.BoolVar(&alone, "alone", false, "without floor, textbook and oracle beside it")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE, a key of the scenario file such as load.share=0.7; may be repeated")
	_ = cmd.MarkFlagRequired("out")
	return cmd
}

func summary(w io.Writer, r *run.Result, took time.Duration) {
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
	if r.Kept() {
		fmt.Fprintf(t, "rules\tkept\n")
	}
	t.Flush()
}

func accounts() *cobra.Command {
	return &cobra.Command{Use: "account DIR", Short: "Say where the gain of a played day went: how much, when, at which doors", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := run.Load(args[0])
			if err != nil {
				return err
			}
			if r.Account == nil {
				return &FileError{Path: args[0], Says: "a day on sockets has no account"}
			}
			r.Account.Print(cmd.OutOrStdout())
			return nil
		}}
}

func list() *cobra.Command {
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
				fmt.Fprintf(t, "%s\t%s\t%s\t\t%s\n", name, k.Target, k.Unit, k.Says)
			}
			return nil
		}}
}

func compare() *cobra.Command {
	return &cobra.Command{Use: "compare DIR DIR...", Short: "Set played days side by side, with the noise over their seeds", Args: cobra.MinimumNArgs(2),
		Long: "Each DIR holds one day, or many below it (as sweep leaves them). Days are paired by seed; a difference of over two\n" +
			"standard errors is marked with *. One pair has no noise to tell.",
		RunE: func(cmd *cobra.Command, args []string) error {
			first, err := run.Find(args[0])
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			for _, dir := range args[1:] {
				other, err := run.Find(dir)
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
					if row.Clear() {
						mark = "*"
					}
					noise := "unknown"
					if row.Diff.N > 1 {
						noise = fmt.Sprintf("%.4f over %d", row.Diff.Err(), row.Diff.N)
					}
					fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%s\t%s\n", row.Name, row.First.Mean, row.Other.Mean, row.Diff.Mean, noise, mark)
				}
			}
			return nil
		}}
}

func sweep() *cobra.Command {
	var seeds, jobs int
	var key, out string
	var values, policies, sets []string
	cmd := &cobra.Command{Use: "sweep SCENARIO", Short: "Play a scenario over seeds, or over the values of one key, on all cores",
		Args: cobra.ExactArgs(1), ValidArgs: scenarios.Names(),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := changed(args[0], 0, sets)
			if err != nil {
				return err
			}
			if seeds < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d", seeds), Says: "at least one is wanted"}
			}
			if (key == "") != (len(values) == 0) {
				return &FlagError{Flag: "--key, --values", Says: "they go together"}
			}
			w := run.Sweep{Scenario: s, Key: key, Values: values, Policies: policies, Jobs: jobs}
			for i := range seeds {
				w.Seeds = append(w.Seeds, uint64(i+1))
			}
			tell, end := bar(cmd, s.Name)
			cells, err := w.Play(cmd.Context(), tell)
			end()
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
				fmt.Fprintf(t, "%s\t%s\t%.4f\t%.4f\t%d\t%d\n", c.Value, c.Policy, g.Mean, g.Err(), g.N, c.Broken())
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 8, "how many, from 1 on")
	f.IntVar(&jobs, "jobs", 0, "days at once; 0 for one a core")
	f.StringVar(&key, "key", "", "key of the scenario file to sweep, such as load.share or fault[0].much")
	f.StringSliceVar(&values, "values", nil, "its values; a span is written 0.5:2")
	f.StringSliceVar(&policies, "policy", []string{rival.Swifthall}, strings.Join(rival.Names, ", "))
	f.StringVar(&out, "out", "", "folder for every day's figures")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE of the scenario file; may be repeated")
	return cmd
}

func hunt() *cobra.Command {
	var h run.Hunt
	var doors int
	var sets []string
	var out string
	cmd := &cobra.Command{Use: "hunt SCENARIO", Short: "Search the faults for the worst day or a broken rule, cut it down, write it as a scenario",
		Args: cobra.ExactArgs(1), ValidArgs: scenarios.Names(),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := changed(args[0], doors, sets)
			if err != nil {
				return err
			}
			h.Scenario = s
			tell, end := bar(cmd, "hunting")
			found, err := h.Run(cmd.Context(), tell)
			end()
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
			fmt.Fprintf(cmd.OutOrStdout(), "%d days played; %s: %s\n", found.Played, out, found.Scenario.Shows)
			fmt.Fprintf(cmd.OutOrStdout(), "again: swifthall lab play %s --seed %d --policy %s --out DIR\n", out, found.Seed, h.Policy)
			if found.Rule != "" {
				return &BrokenError{Rule: found.Rule}
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&h.Seed, "seed", 1, "of the hunt")
	f.IntVar(&h.Days, "days", 200, "to be played while searching")
	f.IntVar(&h.Most, "faults", 3, "of a schedule at most")
	f.BoolVar(&h.Rules, "rules", false, "look for a broken rule only")
	f.StringSliceVar(&h.Only, "only", nil, "kinds of fault to try")
	f.StringVar(&h.Policy, "policy", rival.Swifthall, strings.Join(rival.Names, ", "))
	f.StringVar(&out, "out", "found.toml", "file for the scenario")
	f.IntVar(&doors, "doors", 0, "number of doors in place of the scenario's")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE of the scenario file; may be repeated")
	f.IntVar(&h.Jobs, "jobs", 0, "days at once; 0 for one a core")
	return cmd
}
