package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/release"
)

// readPlan reads and checks the file of a release.
func readPlan(path string) (release.Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return release.Plan{}, &release.PlanError{Says: path + " can't be read", Cause: err}
	}
	defer f.Close()
	return release.Read(f)
}

// release returns the commands for releases.
func (o *operator) release() *cobra.Command {
	cmd := &cobra.Command{Use: "release", Short: "Roll out a new configuration or program to doors, in monitored waves", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	var wait bool
	start := &cobra.Command{Use: "start FILE", Short: "Start a release; it waits while another one is changing some of its doors", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := readPlan(args[0])
			if err != nil {
				return err
			}
			if err := o.requireReason(); err != nil {
				return err
			}
			a, err := o.command(cmd, release.Start{Plan: p, Who: o.who, Why: o.why})
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "release %s is number %d\n", p.Name, a.Number)
			if wait {
				return o.waitRelease(cmd, p.Name)
			}
			return nil
		}}
	start.Flags().BoolVar(&wait, "wait", false, "wait until it is done, halted or rolled back")
	cmd.AddCommand(start,
		&cobra.Command{Use: "check FILE", Short: "Check the file of a release", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := readPlan(args[0]); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), "ok")
				return nil
			}},
		&cobra.Command{Use: "digest FILE", Short: "Print the digest of a file to release: doors keep the file under that name in their directory", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				f, err := os.Open(args[0])
				if err != nil {
					return &release.PlanError{Says: args[0] + " can't be read", Cause: err}
				}
				defer f.Close()
				sum := sha256.New()
				if _, err := io.Copy(sum, f); err != nil {
					return &release.PlanError{Says: args[0] + " can't be read", Cause: err}
				}
				fmt.Fprintln(cmd.OutOrStdout(), hex.EncodeToString(sum.Sum(nil)))
				return nil
			}},
		o.releases())
	for to, short := range map[string]string{release.ToHalt: "Stop a release from changing further doors", release.ToResume: "Continue a halted release", release.ToBack: "Roll all doors back to what they ran before, in reverse order"} {
		cmd.AddCommand(&cobra.Command{Use: to + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if err := o.requireReason(); err != nil {
					return err
				}
				_, err := o.command(cmd, release.Steer{Name: args[0], To: to, Who: o.who, Why: o.why})
				return err
			}})
	}
	return cmd
}

// fetchStatus queries the leader for the status.
func (o *operator) fetchStatus(cmd *cobra.Command) (st client.Status, err error) {
	err = o.withClient(cmd, func(ctx context.Context, c *client.Client) error {
		return c.Ask(ctx, client.StatusPath, struct{}{}, &st)
	})
	return st, err
}

// releases returns the command that shows the releases.
func (o *operator) releases() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "status", Short: "Show releases, their waves, and what doors run", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			st, err := o.fetchStatus(cmd)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(st.Releases)
			}
			printReleases(cmd.OutOrStdout(), st)
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of tables")
	return cmd
}

// printReleases prints the releases as a table, and the doors that failed to install a version.
func printReleases(out io.Writer, st client.Status) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "release\tof\tdigest\tstands\twave\tchanged\twho\tsays")
	for _, r := range st.Releases {
		changed, all := 0, 0
		for _, part := range r.UnitsByWave {
			for _, d := range part {
				all++
				if r.Changes == release.Backends && st.Seen[d] != r.Previous[d] || r.Changes != release.Backends && st.Runs[d][r.Changes] == r.Digest {
					changed++
				}
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%.8s\t%s\t%d of %d\t%d of %d\t%s\t%s\n", r.Name, r.Changes, r.Digest, r.Stage, r.Wave+1, len(r.Waves), changed, all, r.Who, r.Reason)
	}
	if len(st.Differs) > 0 {
		fmt.Fprintf(t, "run something else than they are to run: %s\n", strings.Join(st.Differs, ", "))
	}
	for _, r := range st.Releases {
		for d, why := range r.Failed {
			fmt.Fprintf(t, "%s: %s could not install it: %s\n", r.Name, d, strings.TrimSpace(why))
		}
	}
}

// waitRelease waits until a release is done, and returns an error if it is halted, rolled back or replaced.
func (o *operator) waitRelease(cmd *cobra.Command, name string) error {
	for {
		st, err := o.fetchStatus(cmd)
		if err != nil {
			return err
		}
		for i := len(st.Releases) - 1; i >= 0; i-- {
			r := st.Releases[i]
			if r.Name != name {
				continue
			}
			switch r.Stage {
			case release.Done:
				fmt.Fprintln(cmd.OutOrStdout(), "done")
				return nil
			case release.Halted, release.RolledBack, release.Replaced:
				return &release.StageError{Name: name, Stage: r.Stage, To: "go on: " + r.Reason}
			}
			break
		}
		select {
		case <-cmd.Context().Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}
