package command

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/lab/rehearse"
	"github.com/swifthall/swifthall/lab/scenarios"
	"github.com/swifthall/swifthall/permits/planfile"
)

func rehearseCommand() *cobra.Command {
	var name string
	var sets []string
	var seed uint64
	var seeds, maxOut, jobs int
	cmd := &cobra.Command{Use: "rehearse FILE", Short: "Simulate a migration on a scenario and estimate what it would cost", Args: cobra.ExactArgs(1),
		Long: "FILE is a migration as swifthall migrate accepts it, --scenario the site's own scenario file or the name of one that ships. Runs the\n" +
			"scenario as it is, with each step alone, and with all of them. Times are compressed into the scenario's length, steps one after the\n" +
			"other; manual steps are not simulated. Exits with 4 if a rule broke.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if seeds < 1 || maxOut < 1 {
				return &FlagError{Flag: fmt.Sprintf("--seeds %d --most-out %d", seeds, maxOut), Reason: "must both be at least one"}
			}
			var m planfile.Migration
			if err := planfile.Read(args[0], cmd.InOrStdin(), &m); err != nil {
				return err
			}
			s, err := openScenario(name, 0, sets)
			if err != nil {
				return err
			}
			steps, err := rehearse.Steps(s, m.Steps, maxOut)
			if err != nil {
				return err
			}
			var all []uint64
			for i := range seeds {
				all = append(all, seed+uint64(i))
			}
			rows, err := rehearse.Run(cmd.Context(), s, steps, all, jobs)
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintf(t, "%s on %s, simulated, %d seeds\n", m.Name, s.Name, seeds)
			fmt.Fprintln(t, "step\tG\tleast\tcosts\tlate\tunserved\tof 1000 operations; what is played")
			broken := ""
			for _, r := range rows {
				fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%s\n", r.Name, r.G, r.MinG, r.Cost, r.Late, r.Unserved, r.Detail)
				if r.Broken != "" && broken == "" {
					broken = r.Name + ": " + r.Broken
				}
			}
			t.Flush()
			if broken != "" {
				return &RehearsalError{broken}
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&name, "scenario", "calm", "the site's scenario file, or the name of one that ships")
	f.StringArrayVar(&sets, "set", nil, "KEY=VALUE, a key of the scenario file such as fleet.doors=30; may be repeated")
	f.Uint64Var(&seed, "seed", 1, "seed of the first run")
	f.IntVar(&seeds, "seeds", 3, "number of seeds, counting up from --seed")
	f.IntVar(&maxOut, "most-out", 2, "units that may be out at once, as the budgets allow")
	f.IntVar(&jobs, "jobs", 0, "parallel runs; 0 for one per core")
	_ = cmd.RegisterFlagCompletionFunc("scenario", cobra.FixedCompletions(scenarios.Names(), cobra.ShellCompDirectiveDefault))
	return cmd
}
