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

func newRoot() *cobra.Command {
	var l serving.LogFlags
	cmd := &cobra.Command{Use: "swifthall-fleet", Short: "A front door that is a member of a fleet", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	serve := &cobra.Command{Use: "serve", Short: "Serve as one front door of a fleet", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd, l) }}
	serve.Flags().StringVar(&l.Level, "log-level", "", "debug, info, warn or error; wins over the key log.level")
	serve.Flags().StringVar(&l.Format, "log-format", "", "text or json; wins over the key log.format")
	cmd.AddCommand(serve, members())
	return cmd
}

// serve is one door. With the key fleet.releases it is a process that holds the door's listener, and has the door run as another.
func serve(cmd *cobra.Command, l serving.LogFlags) error {
	if os.Getenv(serving.ListenerVariable) != "" {
		return serving.Door(l, nil, doorfleet.Run)
	}
	cfg, err := serving.Load(cmd.Context())
	if err != nil || cfg.Fleet == nil || cfg.Fleet.Releases == "" {
		return serving.Door(l, nil, doorfleet.Run) // what is wrong with the file it says itself
	}
	log, flush := serving.NewLog()
	defer flush()
	if cfg.Log, err = l.Apply(log, cfg.Log); err != nil {
		return err
	}
	return holding.Run(cmd.Context(), cfg, os.Getenv("GW_CONFIG"), log)
}

const defaultStatusAddress = "127.0.0.1:7980"

// statusAddress is where the door that GW_CONFIG configures tells its statusAddress.
func statusAddress() string {
	if os.Getenv("GW_CONFIG") != "" {
		if cfg, err := config.Load(os.Getenv); err == nil && cfg.Fleet != nil && cfg.Fleet.Status != "" {
			return cfg.Fleet.Status
		}
	}
	return defaultStatusAddress
}

func members() *cobra.Command {
	var at string
	var watch, asJSON bool
	var every time.Duration
	cmd := &cobra.Command{Use: "members", Short: "Show which doors a door holds to be here", Args: cobra.NoArgs,
		Long: "Asks the door whose status is told at --at, the key fleet.status of what GW_CONFIG names, or " + defaultStatusAddress + ".\n" +
			"A door that is seen by fewer than all its observers is doubted by the rest; docs/members.md tells what that means.",
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
	f.StringVar(&at, "at", "", "address where the door tells its status")
	f.BoolVar(&watch, "watch", false, "again and again, until interrupted")
	f.DurationVar(&every, "every", time.Second, "between two tables of --watch")
	f.BoolVar(&asJSON, "json", false, "one line of JSON in place of a table")
	return cmd
}
