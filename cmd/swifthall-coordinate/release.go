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

func readPlan(path string) (release.Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return release.Plan{}, &release.PlanError{Says: path + " can't be read", Cause: err}
	}
	defer f.Close()
	return release.Read(f)
}

func (o *operator) release() *cobra.Command {
	cmd := &cobra.Command{Use: "release", Short: "Give doors a new configuration or program, in waves that are watched", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	var wait bool
	start := &cobra.Command{Use: "start FILE", Short: "Begin a release, or have it wait for another that has some of its doors", Args: cobra.ExactArgs(1),
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
	start.Flags().BoolVar(&wait, "wait", false, "until it is done, halted or back")
	cmd.AddCommand(start,
		&cobra.Command{Use: "check FILE", Short: "Say what is wrong with a release's file", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := readPlan(args[0]); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), "ok")
				return nil
			}},
		&cobra.Command{Use: "digest FILE", Short: "Print the digest of what is to be released: the name under which doors have it in their folder", Args: cobra.ExactArgs(1),
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
	for to, short := range map[string]string{release.ToHalt: "Let no further door change", release.ToResume: "Let a halted release go on", release.ToBack: "Bring all doors back to what they ran, in the reverse order"} {
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

func (o *operator) fetchStatus(cmd *cobra.Command) (st client.Status, err error) {
	err = o.withClient(cmd, func(ctx context.Context, c *client.Client) error {
		return c.Ask(ctx, client.StatusPath, struct{}{}, &st)
	})
	return st, err
}

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
	cmd.Flags().BoolVar(&asJSON, "json", false, "JSON in place of tables")
	return cmd
}

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
	for _, r := range st.Releases {
		for d, why := range r.Failed {
			fmt.Fprintf(t, "%s: %s could not take it: %s\n", r.Name, d, strings.TrimSpace(why))
		}
	}
}

// waitRelease waits until a release has come to an end, or is halted.
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
