package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/admin"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/serving"
	"github.com/swifthall/swifthall/permits"
)

// newRoot returns the root command.
func newRoot() *cobra.Command {
	o := &operator{}
	cmd := &cobra.Command{Use: "swifthall-coordinate", Short: "Drains and releases agreed across a fleet", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	f := cmd.PersistentFlags()
	f.StringVar(&o.at, "at", "", "coordinators, as name/address,...; default: "+atVariable+", else the key fleet.coordinators of the file in GW_CONFIG, else "+defaultAt)
	f.StringVar(&o.who, "who", os.Getenv("USER"), "your name, for the audit log")
	f.StringVar(&o.why, "why", "", "reason, for the audit log")
	f.DurationVar(&o.timeout, "patience", 10*time.Second, "how long to wait for an answer")
	cmd.AddCommand(coordinate(), o.drain(), o.undrain(), o.status(), o.halt(), o.resume(), o.budgets(), o.writeOff(), o.forget(), o.coordinators(), o.audit(), o.release(), o.calendar(), o.plan(), o.approve())
	cmd.AddCommand(o.entryCommands()...)
	return cmd
}

const (
	atVariable = "SWIFTHALL_COORDINATORS" // environment variable in place of --at
	defaultAt  = "coordinator/127.0.0.1:7981"
)

// operator holds the values of the flags that all commands share.
type operator struct {
	at, who, why string
	timeout      time.Duration
}

// coordinatorAddresses returns the coordinators that the flag, the environment or the door's configuration names, or the default.
func (o *operator) coordinatorAddresses() (all []config.NamedAddress, err error) {
	text := o.at
	if text == "" {
		text = os.Getenv(atVariable)
	}
	if text == "" && os.Getenv("GW_CONFIG") != "" {
		if cfg, err := config.Load(os.Getenv); err == nil && cfg.Fleet != nil {
			text = strings.Join(cfg.Fleet.Coordinators, ",")
		}
	}
	if text == "" {
		text = defaultAt
	}
	for _, item := range strings.Split(text, ",") {
		n, err := config.ParseNamedAddress(strings.TrimSpace(item))
		if err != nil {
			return nil, &AtError{item}
		}
		all = append(all, n)
	}
	return all, nil
}

// withClient calls do with a client and a context that ends after the operator's timeout.
func (o *operator) withClient(cmd *cobra.Command, do func(ctx context.Context, c *client.Client) error) error {
	all, err := o.coordinatorAddresses()
	if err != nil {
		return err
	}
	c := client.New(all)
	defer c.Close()
	ctx, stop := context.WithTimeout(cmd.Context(), o.timeout)
	defer stop()
	return do(ctx, c)
}

// command commits one command. The client repeats it with the same number if the answer is lost.
func (o *operator) command(cmd *cobra.Command, do any) (a permits.Answer, err error) {
	err = o.withClient(cmd, func(ctx context.Context, c *client.Client) error {
		a, err = c.Command(ctx, permits.Command{Caller: permits.CallerName("operator "+o.who, rand.Uint64()), Seq: 1, Do: do})
		return err
	})
	if err == nil {
		err = a.Err
	}
	return a, err
}

// requireReason returns an error unless both --who and --why are given.
func (o *operator) requireReason() error {
	if o.who == "" || o.why == "" {
		return &ReasonError{}
	}
	return nil
}

// changedKind parses the kind of a unit that is to be changed, and requires a reason for the change.
func (o *operator) changedKind(text string) (permits.Kind, error) {
	k, err := parseKind(text)
	if err == nil {
		err = o.requireReason()
	}
	return k, err
}

// parseKind parses the kind of a unit, or the kind zone.
func parseKind(text string) (permits.Kind, error) {
	switch k := permits.Kind(text); k {
	case permits.Door, permits.Backend, permits.Zone:
		return k, nil
	}
	return "", &KindError{text}
}

// coordinate returns the command that runs a coordinator.
func coordinate() *cobra.Command {
	var file string
	var check, restore, noSync bool
	var logFlags serving.LogFlags
	cmd := &cobra.Command{Use: "coordinate", Short: "Run a coordinator", Args: cobra.NoArgs,
		Long: "Runs the coordinator configured by the file in --config, or in GW_CONFIG if the flag is not given; see docs/coordinators.md.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv("GW_CONFIG")
			}
			cfg, err := config.LoadCoordinator(file)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "ok")
				return nil
			}
			log, flush := serving.NewLog()
			defer flush()
			if _, err := logFlags.Apply(log, cfg.Log); err != nil {
				return err
			}
			return coordinator.Run(cmd.Context(), cfg, coordinator.Options{Restore: restore, NoSync: noSync,
				BeforeWrite: coordinator.DiskFaultHook(os.Getenv(coordinator.DiskFaultVariable)), ClockOffset: serving.WallClockOffset()}, log)
		}}
	f := cmd.Flags()
	f.StringVar(&file, "config", "", "the coordinator's configuration file")
	f.BoolVar(&check, "check", false, "report the invalid keys of the file, and exit without starting")
	f.BoolVar(&restore, "restore", false, "make the peers in the file the only coordinators, after a majority of the earlier ones was lost permanently")
	f.BoolVar(&noSync, "no-sync", false, "don't sync writes to the disk; for measurements")
	f.StringVar(&logFlags.Level, "log-level", "", "debug, info, warn or error; overrides the key log.level")
	f.StringVar(&logFlags.Format, "log-format", "", "text or json; overrides the key log.format")
	return cmd
}

// drain returns the command that orders a drain.
func (o *operator) drain() *cobra.Command {
	var until string
	var duration, waitLimit time.Duration
	var dryRun, wait bool
	cmd := &cobra.Command{Use: "drain door|backend|zone NAME", Short: "Take a door, a backend or a zone out of service, if its budget allows", Args: cobra.ExactArgs(2),
		Long: "Takes a place in the budgets at once, or reports what blocks it. A drained backend receives no new requests from any door. A drained\n" +
			"door turns unready and serves what still arrives. A zone is drained as a whole or not at all. The drain ends with swifthall undrain,\nor at the time given by --until or --for.",
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := parseKind(args[0])
			if err != nil {
				return err
			}
			if dryRun {
				return o.dryRun(cmd, k, args[1])
			}
			if err := o.requireReason(); err != nil {
				return err
			}
			d := permits.Drain{Kind: k, Name: args[1], Who: o.who, Why: o.why}
			switch {
			case duration > 0:
				d.UntilMs = float64(time.Now().Add(duration).UnixMilli())
			case until != "":
				at, err := time.Parse(time.RFC3339, until)
				if err != nil || !at.After(time.Now()) {
					return &UntilError{until}
				}
				d.UntilMs = float64(at.UnixMilli())
			}
			a, err := o.command(cmd, d)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s goes out by permit %d\n", k, args[1], a.Number)
			if wait {
				return o.waitDrained(cmd, k, args[1], waitLimit)
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&until, "until", "", "time at which the drain ends by itself, such as 2026-12-24T18:00:00Z")
	f.DurationVar(&duration, "for", 0, "duration after which the drain ends by itself")
	f.BoolVar(&dryRun, "dry-run", false, "list the units that would go out and report what blocks the drain, without draining")
	f.BoolVar(&wait, "wait", false, "wait until it is drained: every door that may still send to it has confirmed")
	f.DurationVar(&waitLimit, "wait-most", 2*time.Minute, "time limit of --wait")
	return cmd
}

// dryRun prints the units that a drain would take out, and returns the error that blocks it.
func (o *operator) dryRun(cmd *cobra.Command, k permits.Kind, name string) error {
	var t client.DryRunResult
	if err := o.withClient(cmd, func(ctx context.Context, c *client.Client) error {
		return c.Ask(ctx, client.DryRunPath, client.DryRun{Kind: k, Name: name}, &t)
	}); err != nil {
		return err
	}
	for _, w := range t.Units {
		fmt.Fprintln(cmd.OutOrStdout(), "would go out:", w)
	}
	if t.Answer.Err != nil {
		return t.Answer.Err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "nothing stands in the way now")
	return nil
}

const pollInterval = 200 * time.Millisecond // between queries of the status while waiting for a drain or a release

// waitDrained waits until all units that a drain takes out are drained. When the time limit is over it returns the units and doors
// that it still waits for.
func (o *operator) waitDrained(cmd *cobra.Command, k permits.Kind, name string, limit time.Duration) error {
	for end := time.Now().Add(limit); ; {
		st, err := o.fetchStatus(cmd)
		if err != nil {
			return err
		}
		pending, found := undrained(&st, k, name)
		if found && len(pending.Pending) == 0 {
			fmt.Fprintln(cmd.OutOrStdout(), "drained")
			return nil
		}
		if time.Now().After(end) {
			return pending
		}
		select {
		case <-cmd.Context().Done():
			return pending
		case <-time.After(pollInterval):
		}
	}
}

// undrained returns what of a unit, or of a zone, is not drained, and whether a drain is in force for any of it. A zone is drained once each
// of its units is, by whichever drain; one that has said that it has ended needs none.
func undrained(st *client.Status, k permits.Kind, name string) (pending *DrainTimeoutError, found bool) {
	pending = &DrainTimeoutError{UnitKind: k, Name: name}
	for i := range st.Units {
		u := &st.Units[i]
		concerned := k == permits.Zone && u.Zone == name || u.Kind == k && u.Name == name
		p := st.DrainOf(&u.Unit)
		if !concerned || p == nil && u.Standing == permits.Ended {
			continue
		}
		found = found || p != nil
		if p != nil && p.Drained {
			continue
		}
		pending.Pending = append(pending.Pending, fmt.Sprintf("%s %s", u.Kind, u.Name))
		if p != nil {
			pending.Doors = append(pending.Doors, p.Waiting...)
		}
	}
	return pending, found
}

// undrain returns the command that ends a drain.
func (o *operator) undrain() *cobra.Command {
	var here string
	cmd := &cobra.Command{Use: "undrain door|backend|zone NAME", Short: "Return a drained door, backend or zone to service", Args: cobra.MaximumNArgs(2),
		Long: "Ends a drain. Its place in the budgets becomes free once the unit is seen back, ready and warm. With --here ADDRESS, the status address\n" +
			"of a door, that door returns to service and sends to withheld backends again, even if no coordinator can be reached.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if here != "" {
				plan, err := admin.Back(cmd.Context(), here)
				if err != nil {
					return err
				}
				return json.NewEncoder(cmd.OutOrStdout()).Encode(plan)
			}
			if len(args) != 2 {
				return &KindError{strings.Join(args, " ")}
			}
			k, err := o.changedKind(args[0])
			if err != nil {
				return err
			}
			if _, err := o.command(cmd, permits.Undrain{Kind: k, Name: args[1], Who: o.who, Why: o.why}); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s comes back\n", k, args[1])
			return nil
		}}
	cmd.Flags().StringVar(&here, "here", "", "status address of a door that is to return to service without the coordinators")
	return cmd
}

// status returns the command that shows the agreed state.
func (o *operator) status() *cobra.Command {
	var watch, asJSON, each bool
	cmd := &cobra.Command{Use: "status", Short: "Show what is out of service, what drains wait for, and which coordinator leads", Args: cobra.NoArgs,
		Long: "Queries the leader, which a majority confirms. With --each, queries every coordinator for what it last received, which may be outdated.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for {
				if err := o.showStatus(cmd, asJSON, each); err != nil {
					return err
				}
				if !watch {
					return nil
				}
				select {
				case <-cmd.Context().Done():
					return nil
				case <-time.After(time.Second):
				}
				fmt.Fprintln(cmd.OutOrStdout())
			}
		}}
	f := cmd.Flags()
	f.BoolVar(&watch, "watch", false, "repeat every second until interrupted")
	f.BoolVar(&asJSON, "json", false, "print JSON instead of tables")
	f.BoolVar(&each, "each", false, "query each coordinator separately")
	return cmd
}

// showStatus queries the leader, or each coordinator, and prints the status.
func (o *operator) showStatus(cmd *cobra.Command, asJSON, each bool) error {
	show := func(st client.Status) error {
		if asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(st)
		}
		printStatus(cmd.OutOrStdout(), st)
		return nil
	}
	return o.withClient(cmd, func(ctx context.Context, c *client.Client) error {
		if !each {
			var st client.Status
			if err := c.Ask(ctx, client.StatusPath, struct{}{}, &st); err != nil {
				return err
			}
			return show(st)
		}
		all, err := o.coordinatorAddresses()
		if err != nil {
			return err
		}
		for _, a := range all {
			var st client.Status
			if err := c.AskOne(ctx, a, client.StatusPath, &st); err != nil {
				fmt.Fprintln(cmd.OutOrStdout(), err)
				continue
			}
			if err := show(st); err != nil {
				return err
			}
		}
		return nil
	})
}

// standingNames are the names of standings in the table.
var standingNames = [...]string{permits.Unseen: "unseen", permits.Failed: "failed", permits.Starting: "not ready", permits.Ready: "ready", permits.Ended: "ended"}

// printStatus prints the status as tables.
func printStatus(out io.Writer, st client.Status) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	source := "confirmed by a majority"
	if !st.Current {
		source = "as it last received it; " + strings.TrimSuffix("leader "+st.Leader, "leader ")
		if st.Leader == "" {
			source = fmt.Sprintf("as it last received it: no leader for %.0f s; see docs/coordinators.md", st.Hint.LeaderSilentMs/1e3)
		}
	}
	fmt.Fprintf(t, "fleet %s, reported by %s, %s\n", st.Fleet, st.Self, source)
	for _, m := range st.Members {
		state := "answers"
		if m.SilentMs > 0 {
			state = fmt.Sprintf("silent for %.0f s", m.SilentMs/1e3)
		}
		if m.Name == st.Leader {
			state = "leads"
		}
		fmt.Fprintf(t, "coordinator %s\t%s\t%s\n", m.Name, m.Address, state)
	}
	for _, h := range st.Halts {
		fmt.Fprintf(t, "HALT of %s%s by %s: %s\n", orDefault(string(h.Kind), "all"), orDefault(" in "+h.Zone, ""), h.Who, h.Why)
	}
	for _, b := range st.Budgets {
		raw, _ := json.Marshal(b)
		fmt.Fprintf(t, "budget %s\n", raw)
	}
	if len(st.Permits) > 0 {
		fmt.Fprintln(t, "permit\tunit\tstage\twho\twhy\twaits for")
	}
	for _, p := range st.Permits {
		stage := map[permits.Stage]string{permits.Granted: "granted", permits.Out: "going out"}[p.Stage]
		switch {
		case p.Over:
			stage = "coming back"
		case p.Drained:
			stage = "drained"
		case p.Order && p.Stage == permits.Granted:
			stage = "ordered"
		}
		fmt.Fprintf(t, "%d\t%s %s\t%s\t%s\t%s\t%s\n", p.Number, p.Unit.Kind, p.Unit.Name, stage, p.Who, p.Why, strings.Join(p.Waiting, " "))
	}
	fmt.Fprintln(t, "unit\tzone\tstands\tcounts as\tseen")
	for _, u := range st.Units {
		counts := "here"
		if u.Out {
			counts = "out"
		}
		seen := "not by this leader"
		if u.AgeMs < 1e6 && u.AtMs > 0 {
			seen = fmt.Sprintf("%.1f s ago", u.AgeMs/1e3)
		}
		fmt.Fprintf(t, "%s %s\t%s\t%s\t%s\t%s\n", u.Kind, u.Name, u.Zone, standingNames[u.Standing], counts, seen)
	}
}

// orDefault returns text, or other if text is empty or the empty zone of a halt.
func orDefault(text, other string) string {
	if text == "" || text == " in " {
		return other
	}
	return text
}

// halt returns the command that denies further permits.
func (o *operator) halt() *cobra.Command {
	var k, zone string
	cmd := &cobra.Command{Use: "halt", Short: "Deny all further permits to go out of service", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.requireReason(); err != nil {
				return err
			}
			_, err := o.command(cmd, permits.Halt{Kind: permits.Kind(k), Zone: zone, Who: o.who, Why: o.why})
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "halted: nothing more goes out, what is out may come back")
			}
			return err
		}}
	scopeFlags(cmd, &k, &zone)
	return cmd
}

// scopeFlags adds the flags for the kind and the zone of a halt.
func scopeFlags(cmd *cobra.Command, k, zone *string) {
	cmd.Flags().StringVar(k, "kind", "", "door or backend; empty for both")
	cmd.Flags().StringVar(zone, "zone", "", "one zone; empty for all")
}

// resume returns the command that ends a halt.
func (o *operator) resume() *cobra.Command {
	var k, zone string
	cmd := &cobra.Command{Use: "resume", Short: "End a halt of the same kind and zone", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := o.command(cmd, permits.Resume{Kind: permits.Kind(k), Zone: zone, Who: o.who})
			return err
		}}
	scopeFlags(cmd, &k, &zone)
	return cmd
}

// budgets returns the command that shows or sets the budgets.
func (o *operator) budgets() *cobra.Command {
	return &cobra.Command{Use: "budgets [FILE]", Short: "Show the budgets, or set them from a JSON file (- for standard input)", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				st, err := o.fetchStatus(cmd)
				if err != nil {
					return err
				}
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(st.Budgets)
			}
			if err := o.requireReason(); err != nil {
				return err
			}
			in := cmd.InOrStdin()
			if args[0] != "-" {
				f, err := os.Open(args[0])
				if err != nil {
					return &BudgetsError{args[0], err}
				}
				defer f.Close()
				in = f
			}
			all, err := permits.ReadBudgets(in)
			if err != nil {
				return &BudgetsError{args[0], err}
			}
			_, err = o.command(cmd, permits.SetBudgets{Budgets: all, Who: o.who, Why: o.why})
			return err
		}}
}

// writeOff returns the command that frees the place of a unit that won't come back.
func (o *operator) writeOff() *cobra.Command {
	return &cobra.Command{Use: "write-off door|backend NAME", Short: "Free the place of a unit that went out by plan and won't come back", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := o.changedKind(args[0])
			if err != nil {
				return err
			}
			st, err := o.fetchStatus(cmd)
			if err != nil {
				return err
			}
			for _, p := range st.Permits {
				if p.Unit.Kind == k && p.Unit.Name == args[1] {
					_, err := o.command(cmd, permits.WriteOff{Number: p.Number, Who: o.who, Why: o.why})
					return err
				}
			}
			return &permits.UnknownError{What: "a permit of " + args[0] + " " + args[1]}
		}}
}

// forget returns the command that removes a unit from the state.
func (o *operator) forget() *cobra.Command {
	return &cobra.Command{Use: "forget door|backend NAME", Short: "Remove a unit that is gone permanently, and its permit", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := o.changedKind(args[0])
			if err != nil {
				return err
			}
			_, err = o.command(cmd, permits.Forget{Kind: k, Name: args[1], Who: o.who, Why: o.why})
			return err
		}}
}

// coordinators returns the commands that add and remove coordinators.
func (o *operator) coordinators() *cobra.Command {
	change := func(add bool) func(cmd *cobra.Command, args []string) error {
		return func(cmd *cobra.Command, args []string) error {
			if err := o.requireReason(); err != nil {
				return err
			}
			c := client.MembershipChange{Add: add, Name: args[0], Who: o.who, Why: o.why}
			if add {
				c.Address = args[1]
			}
			return o.withClient(cmd, func(ctx context.Context, cl *client.Client) error {
				return cl.Ask(ctx, client.MembersPath, c, &struct{}{})
			})
		}
	}
	cmd := &cobra.Command{Use: "coordinators", Short: "Add or remove coordinators at run time", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(
		&cobra.Command{Use: "add NAME ADDRESS", Short: "Add a coordinator that was started with the key join; ADDRESS is its key listen", Args: cobra.ExactArgs(2), RunE: change(true)},
		&cobra.Command{Use: "remove NAME", Short: "Remove a coordinator, if a majority of the remaining ones answers", Args: cobra.ExactArgs(1), RunE: change(false)})
	return cmd
}

// audit returns the command that shows the audit log of the first coordinator that answers.
func (o *operator) audit() *cobra.Command {
	return &cobra.Command{Use: "audit", Short: "Show who did what, and when", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := o.coordinatorAddresses()
			if err != nil {
				return err
			}
			return o.withClient(cmd, func(ctx context.Context, c *client.Client) error {
				var lines []permits.AuditEntry
				var last error
				for _, a := range all {
					if last = c.AskOne(ctx, a, client.AuditPath, &lines); last == nil {
						break
					}
				}
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				defer t.Flush()
				for _, l := range lines {
					fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", time.UnixMilli(int64(l.WallMs)).UTC().Format(time.RFC3339), l.Number, l.Who, l.What, l.Why)
				}
				return last
			})
		}}
}
