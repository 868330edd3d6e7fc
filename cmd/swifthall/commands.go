package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/serving"
)

// newRoot returns the root command.
func newRoot() *cobra.Command {
	var l serving.LogFlags
	cmd := &cobra.Command{Use: "swifthall", Short: "An admission gateway for services sold by plan", Args: cobra.NoArgs,
		Long: "Without a command, swifthall runs one front door, as swifthall serve does. It reads the file named by GW_CONFIG;\n" +
			"GW_NAME, GW_LISTEN and GW_DISCOVERY override its keys.",
		RunE: func(*cobra.Command, []string) error { return serve(l) }}
	cmd.PersistentFlags().StringVar(&l.Level, "log-level", "", "debug, info, warn or error; overrides the key log.level")
	cmd.PersistentFlags().StringVar(&l.Format, "log-format", "", "text or json; overrides the key log.format")
	cmd.AddCommand(
		&cobra.Command{Use: "serve", Short: "Run one front door", Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return serve(l) }},
		&cobra.Command{Use: "check [FILE]", Short: "Report the invalid keys of a configuration, without starting",
			Long: "Reads FILE, or the file named by GW_CONFIG, and the environment as serve would. Exits with 3 if serve would not start.",
			Args: cobra.MaximumNArgs(1), RunE: check},
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), serving.Version()) }},
		&cobra.Command{Use: "lab", Short: "The laboratory: play, list, compare, sweep, hunt, load", DisableFlagParsing: true,
			Long: "Starts swifthall-lab, a separate program that must be in the directory of this one or in PATH.",
			RunE: func(_ *cobra.Command, args []string) error { return execProgram(labProgram, args...) }},
		&cobra.Command{Use: "rehearse", Short: "Simulate a migration on the site's scenario and report what it would cost", DisableFlagParsing: true,
			Long: "Starts swifthall-lab, which must be in the directory of this program or in PATH; swifthall rehearse --help lists the flags.",
			RunE: func(_ *cobra.Command, args []string) error {
				return execProgram(labProgram, append([]string{"rehearse"}, args...)...)
			}},
		&cobra.Command{Use: "members", Short: "Show the members of a fleet as one of its doors sees them (--watch, --json, --at)", DisableFlagParsing: true,
			Long: "Starts swifthall-fleet, which must be in the directory of this program or in PATH; swifthall members --help lists the flags.",
			RunE: func(_ *cobra.Command, args []string) error {
				return execProgram(fleetProgram, append([]string{"members"}, args...)...)
			}},
	)
	for _, c := range [][2]string{{"coordinate", "Run a coordinator of drains and releases"}, {"drain", "Take a door, a backend or a zone out of service, if its budget allows"},
		{"undrain", "Return a drained door, backend or zone to service"}, {"status", "Show what is out of service, what drains wait for, and which coordinator leads"}, {"halt", "Deny all further permits to go out of service"},
		{"resume", "End a halt"}, {"budgets", "Show or set how much may be out at once"}, {"write-off", "Free the place of a unit that went out by plan and won't come back"},
		{"forget", "Remove a unit that is gone permanently, and its permit"}, {"coordinators", "Add or remove coordinators"}, {"audit", "Show who did what"},
		{"release", "Roll out a new configuration or program to doors, in monitored waves"}, {"calendar", "Show planned, running and finished changes, and the freezes"},
		{"plan", "Add a change to the calendar, or replace one"}, {"approve", "Approve an entry"}, {"refuse", "Reject an entry and return it to its author, with a reason"},
		{"emergency", "Let an entry ignore freezes, with a second name and a reason"}, {"freeze", "Add a freeze: times at which changes don't start"}, {"thaw", "Remove a freeze"},
		{"rules", "Show or set which approvals changes need and how many may run at once"}, {"migrate", "Add a migration: a sequence of steps, each with its rollback"}, {"move", "Move an entry to another window"},
		{"withdraw", "Withdraw an entry that has not started"}, {"steer", "Halt, resume or roll back a running entry, or report manual progress"}, {"saw", "Report whether a condition of an entry was observed"},
		{"why", "Show the first obstacle that keeps an entry from starting, and who can remove it"}, {"next", "List the next free windows for a change"}, {"history", "Show the events of the calendar, of one entry or all"}} {
		cmd.AddCommand(&cobra.Command{Use: c[0], Short: c[1], DisableFlagParsing: true,
			Long: "Starts swifthall-coordinate, which must be in the directory of this program or in PATH; swifthall " + c[0] + " --help lists the flags.",
			RunE: func(_ *cobra.Command, args []string) error {
				return execProgram(coordinateProgram, append([]string{c[0]}, args...)...)
			}})
	}
	return cmd
}

// check prints the warnings and errors of a configuration.
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
	for _, warning := range door.Warnings {
		fmt.Fprintln(cmd.OutOrStdout(), "warning:", warning)
	}
	problems := config.SplitErrors(err)
	for _, problem := range problems {
		fmt.Fprintln(cmd.OutOrStdout(), problem)
	}
	if len(problems) > 0 {
		return &CheckError{len(problems), getenv("GW_CONFIG")}
	}
	fmt.Fprintln(cmd.OutOrStdout(), "ok")
	return nil
}
