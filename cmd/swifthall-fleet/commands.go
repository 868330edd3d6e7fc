package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/admin"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/doorfleet"
	"github.com/swifthall/swifthall/internal/holding"
	"github.com/swifthall/swifthall/internal/serving"
)

// newRoot returns the root command.
func newRoot() *cobra.Command {
	var l serving.LogFlags
	cmd := &cobra.Command{Use: "swifthall-fleet", Short: "A front door that is a member of a fleet", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	serve := &cobra.Command{Use: "serve", Short: "Run one front door of a fleet", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd, l) }}
	serve.Flags().StringVar(&l.Level, "log-level", "", "debug, info, warn or error; overrides the key log.level")
	serve.Flags().StringVar(&l.Format, "log-format", "", "text or json; overrides the key log.format")
	cmd.AddCommand(serve, members())
	return cmd
}

// serve runs one door. If the configuration has the key fleet.releases, this process holds the door's listener and supervises the
// door, which runs as another process.
func serve(cmd *cobra.Command, l serving.LogFlags) error {
	if os.Getenv(serving.ListenerVariable) != "" {
		return serving.Door(l, nil, doorfleet.Run)
	}
	cfg, err := serving.Load(cmd.Context())
	if err != nil || cfg.Fleet == nil || cfg.Fleet.Releases == "" {
		return serving.Door(l, nil, doorfleet.Run) // it reports the errors of the file itself
	}
	log, flush := serving.NewLog()
	defer flush()
	if cfg.Log, err = l.Apply(log, cfg.Log); err != nil {
		return err
	}
	return holding.Run(cmd.Context(), cfg, os.Getenv("GW_CONFIG"), log)
}

// defaultStatusAddress is where operators expect a door's status if nothing is configured.
const defaultStatusAddress = "127.0.0.1:7980"

// statusAddress returns the address at which the door configured by GW_CONFIG serves its status, or the default.
func statusAddress() string {
	if os.Getenv("GW_CONFIG") != "" {
		if cfg, err := config.Load(os.Getenv); err == nil && cfg.Fleet != nil && cfg.Fleet.Status != "" {
			return cfg.Fleet.Status
		}
	}
	return defaultStatusAddress
}

// members returns the command that shows a door's view of its fleet.
func members() *cobra.Command {
	var at string
	var watch, asJSON bool
	var every time.Duration
	cmd := &cobra.Command{Use: "members", Short: "Show the members of a fleet as one of its doors sees them", Args: cobra.NoArgs,
		Long: "Queries the door that serves its status at --at, at the key fleet.status of the file in GW_CONFIG, or at " + defaultStatusAddress + ".\n" +
			"A door that is seen by only some of its observers is suspected by the others; see docs/members.md.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if at == "" {
				at = statusAddress()
			}
			for {
				m, err := admin.GetMembers(cmd.Context(), at)
				if err != nil {
					return err
				}
				if asJSON {
					if err := json.NewEncoder(cmd.OutOrStdout()).Encode(m); err != nil {
						return err
					}
				} else {
					m.Print(cmd.OutOrStdout())
				}
				if !watch {
					return nil
				}
				select {
				case <-cmd.Context().Done():
					return nil
				case <-time.After(every):
				}
				if !asJSON {
					fmt.Fprintln(cmd.OutOrStdout())
				}
			}
		}}
	f := cmd.Flags()
	f.StringVar(&at, "at", "", "address at which the door serves its status")
	f.BoolVar(&watch, "watch", false, "repeat until interrupted")
	f.DurationVar(&every, "every", time.Second, "interval of --watch")
	f.BoolVar(&asJSON, "json", false, "print one line of JSON instead of a table")
	return cmd
}
