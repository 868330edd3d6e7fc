package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/serving"
)

func newRoot() *cobra.Command {
	var l serving.LogFlags
	cmd := &cobra.Command{Use: "swifthall", Short: "An admission gateway for services sold by plan", Args: cobra.NoArgs,
		Long: "Alone, swifthall serves as one front door, as swifthall serve does: it reads the file that GW_CONFIG names;\n" +
			"GW_NAME, GW_LISTEN and GW_DISCOVERY win over its keys.",
		RunE: func(*cobra.Command, []string) error { return serve(l) }}
	cmd.PersistentFlags().StringVar(&l.Level, "log-level", "", "debug, info, warn or error; wins over the key log.level")
	cmd.PersistentFlags().StringVar(&l.Format, "log-format", "", "text or json; wins over the key log.format")
	cmd.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve as one front door", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(l) }},
		&cobra.Command{Use: "check [FILE]", Short: "Say what is wrong with a configuration, key by key, without starting",
			Long: "Reads FILE, or what GW_CONFIG names, with the environment as serve would. Exits with 3 where serve would not start.",
			Args: cobra.MaximumNArgs(1), RunE: check},
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), serving.Version()) }},
		&cobra.Command{Use: "lab", Short: "The laboratory: play, list, compare, sweep, hunt, load", DisableFlagParsing: true,
			Long: "Starts swifthall-lab, which lies beside this program or on the path: the laboratory is a program of its own.",
			RunE: func(_ *cobra.Command, args []string) error { return execProgram(labProgram, args...) }},
		&cobra.Command{Use: "rehearse", Short: "Play a migration on the site's scenario, simulated, and tell what it would cost", DisableFlagParsing: true,
			Long: "Starts swifthall-lab, which lies beside this program or on the path; swifthall rehearse --help lists the flags.",
			RunE: func(_ *cobra.Command, args []string) error {
				return execProgram(labProgram, append([]string{"rehearse"}, args...)...)
			}},
		&cobra.Command{Use: "members", Short: "Show which doors a door of a fleet holds to be here (--watch, --json, --at)", DisableFlagParsing: true,
			Long: "Starts swifthall-fleet, which lies beside this program or on the path; swifthall members --help lists the flags.",
			RunE: func(_ *cobra.Command, args []string) error {
				return execProgram(fleetProgram, append([]string{"members"}, args...)...)
			}},
	)
	for _, c := range [][2]string{{"coordinate", "Run a coordinator of drains and releases"}, {"drain", "Take a door, a backend or a zone out, if its budget allows"},
		{"undrain", "Bring back what was drained"}, {"status", "Show what is out, what is waited for, and who decides"}, {"halt", "Let nothing more go out"},
		{"resume", "End a halt"}, {"budgets", "Show or set how much may be out at once"}, {"write-off", "Free the place of one that won't come back"},
		{"forget", "Count a unit no more"}, {"coordinators", "Add or remove coordinators"}, {"audit", "Show who did what"},
		{"release", "Give doors a new configuration or program, in waves that are watched"}, {"calendar", "Show the changes to come, under way and over, and the freezes"},
		{"plan", "Enter a change into the calendar"}, {"approve", "Agree to what an entry would do"}, {"refuse", "Send an entry back to its author"},
		{"emergency", "Have an entry pass freezes"}, {"freeze", "Lay a freeze: times in which changes don't begin"}, {"thaw", "Take a freeze out"},
		{"rules", "Show or set who must approve what"}, {"migrate", "Enter a migration, step by step"}, {"move", "Give an entry another window"},
		{"withdraw", "Take an entry out that has not begun"}, {"steer", "Halt an entry, have it go on or back"}, {"saw", "Tell what was seen of what an entry wants seen"},
		{"why", "Name the first thing that keeps an entry from beginning"}, {"next", "List the next windows that are free"}, {"history", "Show what has happened in the calendar"}} {
		cmd.AddCommand(&cobra.Command{Use: c[0], Short: c[1], DisableFlagParsing: true,
			Long: "Starts swifthall-coordinate, which lies beside this program or on the path; swifthall " + c[0] + " --help lists the flags.",
			RunE: func(_ *cobra.Command, args []string) error {
				return execProgram(coordinateProgram, append([]string{c[0]}, args...)...)
			}})
	}
	return cmd
}

func check(cmd *cobra.Command, args []string) error {
	getenv := os.Getenv
	if len(args) == 1 {
		getenv = func(name string) string {
			if name == "GW_CONFIG" {
				return args[0]
			}
			return os.Getenv(name)
		}
	}
	door, err := config.Load(getenv)
	for _, odd := range door.Warnings {
		fmt.Fprintln(cmd.OutOrStdout(), "warning:", odd)
	}
	faults := config.SplitErrors(err)
	for _, f := range faults {
		fmt.Fprintln(cmd.OutOrStdout(), f)
	}
	if len(faults) > 0 {
		return &CheckError{len(faults), getenv("GW_CONFIG")}
	}
	fmt.Fprintln(cmd.OutOrStdout(), "ok")
	return nil
}
