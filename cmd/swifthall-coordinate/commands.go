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

func root() *cobra.Command {
	o := &operator{}
	cmd := &cobra.Command{Use: "swifthall-coordinate", Short: "Drains and releases agreed across a fleet", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	f := cmd.PersistentFlags()
	f.StringVar(&o.at, "at", "", "coordinators, as name/address,...; else "+atVariable+", else the key fleet.coordinators of what GW_CONFIG names, else "+defaultAt)
	f.StringVar(&o.who, "who", os.Getenv("USER"), "who asks, for the audit")
	f.StringVar(&o.why, "why", "", "why, for the audit")
	f.DurationVar(&o.patience, "patience", 10*time.Second, "for an answer")
	cmd.AddCommand(coordinate(), o.drain(), o.undrain(), o.status(), o.halt(), o.resume(), o.budgets(), o.writeOff(), o.forget(), o.coordinators(), o.audit(), o.release(), o.calendar(), o.plan(), o.approve())
	cmd.AddCommand(o.entryCommands()...)
	return cmd
}

const (
	atVariable = "SWIFTHALL_COORDINATORS"
	defaultAt  = "coordinator/127.0.0.1:7981"
)

// operator is who asks.
type operator struct {
	at, who, why string
	patience     time.Duration
}

func (o *operator) asked() (all []config.NamedAddress, err error) {
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
	for _, one := range strings.Split(text, ",") {
		n, err := config.ParseNamedAddress(strings.TrimSpace(one))
		if err != nil {
			return nil, &AtError{one}
		}
		all = append(all, n)
	}
	return all, nil
}

// with asks within the operator's patience.
func (o *operator) with(cmd *cobra.Command, do func(ctx context.Context, c *client.Client) error) error {
	all, err := o.asked()
	if err != nil {
		return err
	}
	c := client.New(all)
	defer c.Close()
	ctx, stop := context.WithTimeout(cmd.Context(), o.patience)
	defer stop()
	return do(ctx, c)
}

// command gives one command; an answer that was lost is asked for again, with its number.
func (o *operator) command(cmd *cobra.Command, do any) (a permits.Answer, err error) {
	err = o.with(cmd, func(ctx context.Context, c *client.Client) error {
		a, err = c.Command(ctx, permits.Command{Caller: permits.CallerName("operator "+o.who, rand.Uint64()), Seq: 1, Do: do})
		return err
	})
	if err == nil {
		err = a.Err
	}
	return a, err
}

func (o *operator) reason() error {
	if o.who == "" || o.why == "" {
		return &ReasonError{}
	}
	return nil
}

// unit reads the kind of what a change is about, and sees that the change has its reason.
func (o *operator) unit(word string) (permits.Kind, error) {
	k, err := kind(word)
	if err == nil {
		err = o.reason()
	}
	return k, err
}

func kind(word string) (permits.Kind, error) {
	switch k := permits.Kind(word); k {
	case permits.Door, permits.Backend, permits.Zone:
		return k, nil
	}
	return "", &KindError{word}
}

func coordinate() *cobra.Command {
	var file string
	var check, restore, noSync bool
	var l serving.LogFlags
	cmd := &cobra.Command{Use: "coordinate", Short: "Run a coordinator", Args: cobra.NoArgs,
		Long: "Runs the coordinator that --config describes, or GW_CONFIG where the flag isn't given; docs/coordinators.md tells the rest.",
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
			if _, err := l.Apply(log, cfg.Log); err != nil {
				return err
			}
			return coordinator.Run(cmd.Context(), cfg, coordinator.Options{Restore: restore, NoSync: noSync,
				Before: coordinator.Spoiled(os.Getenv(coordinator.DiskFaultVariable)), Wrong: serving.WallClockOffset()}, log)
		}}
	f := cmd.Flags()
	f.StringVar(&file, "config", "", "the coordinator's file")
	f.BoolVar(&check, "check", false, "say what is wrong with the file, key by key, without starting")
	f.BoolVar(&restore, "restore", false, "make the peers of the file the only coordinators: a majority of the earlier ones is lost for good")
	f.BoolVar(&noSync, "no-sync", false, "don't wait for the disk; for measurements")
	f.StringVar(&l.Level, "log-level", "", "debug, info, warn or error; wins over the key log.level")
	f.StringVar(&l.Format, "log-format", "", "text or json; wins over the key log.format")
	return cmd
}

func (o *operator) drain() *cobra.Command {
	var until string
	var long, most time.Duration
	var dry, wait bool
	cmd := &cobra.Command{Use: "drain door|backend|zone NAME", Short: "Take a door, a backend or a zone out, if its budget allows", Args: cobra.ExactArgs(2),
		Long: "Takes its place at once, or says who is in the way. A backend gets nothing new from any door; a door turns not ready and serves what\n" +
			"still comes; a zone goes whole or not at all. It stays out until swifthall undrain, or until --until or --for.",
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := kind(args[0])
			if err != nil {
				return err
			}
			if dry {
				return o.try(cmd, k, args[1])
			}
			if err := o.reason(); err != nil {
				return err
			}
			d := permits.Drain{Kind: k, Name: args[1], Who: o.who, Why: o.why}
			switch {
			case long > 0:
				d.UntilMs = float64(time.Now().Add(long).UnixMilli())
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
				return o.wait(cmd, k, args[1], most)
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&until, "until", "", "time at which it comes back by itself, as 2026-12-24T18:00:00Z")
	f.DurationVar(&long, "for", 0, "span after which it comes back by itself")
	f.BoolVar(&dry, "dry-run", false, "say what would go, and what stands in the way, and do nothing")
	f.BoolVar(&wait, "wait", false, "until it is drained: every door that may still send to it has confirmed")
	f.DurationVar(&most, "wait-most", 2*time.Minute, "for --wait")
	return cmd
}

func (o *operator) try(cmd *cobra.Command, k permits.Kind, name string) error {
	var t client.Tried
	if err := o.with(cmd, func(ctx context.Context, c *client.Client) error {
		return c.Ask(ctx, client.TryPath, client.Asked{Kind: k, Name: name}, &t)
	}); err != nil {
		return err
	}
	for _, w := range t.Would {
		fmt.Fprintln(cmd.OutOrStdout(), "would go:", w)
	}
	if t.Answer.Err != nil {
		return t.Answer.Err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "nothing stands in the way now")
	return nil
}

const pollEvery = 200 * time.Millisecond // between looks at a drain that is waited for

// wait waits until all that a drain takes out is drained, and names those that it waits for in vain.
func (o *operator) wait(cmd *cobra.Command, k permits.Kind, name string, most time.Duration) error {
	for end := time.Now().Add(most); ; {
		st, err := o.statusNow(cmd)
		if err != nil {
			return err
		}
		left := &WaitError{Of: k, Name: name}
		found := false
		for _, p := range st.Places {
			if k == permits.Zone && p.Of == name || p.Unit.Kind == k && p.Unit.Name == name {
				found = true
				if !p.Drained {
					left.For = append(left.For, fmt.Sprintf("%s %s", p.Unit.Kind, p.Unit.Name))
					left.Doors = append(left.Doors, p.Waiting...)
				}
			}
		}
		if found && len(left.For) == 0 {
			fmt.Fprintln(cmd.OutOrStdout(), "drained")
			return nil
		}
		if time.Now().After(end) {
			return left
		}
		select {
		case <-cmd.Context().Done():
			return left
		case <-time.After(pollEvery):
		}
	}
}

func (o *operator) undrain() *cobra.Command {
	var here string
	cmd := &cobra.Command{Use: "undrain door|backend|zone NAME", Short: "Bring back what was drained", Args: cobra.MaximumNArgs(2),
		Long: "Ends a drain. Its place is free once the unit is seen back, ready and warm. With --here ADDRESS, the status address of a door, that door\n" +
			"comes back, and sends to backends that are withheld, whoever can't be reached.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if here != "" {
				p, err := admin.Back(cmd.Context(), here)
				if err != nil {
					return err
				}
				return json.NewEncoder(cmd.OutOrStdout()).Encode(p)
			}
			if len(args) != 2 {
				return &KindError{strings.Join(args, " ")}
			}
			k, err := o.unit(args[0])
			if err != nil {
				return err
			}
			if _, err := o.command(cmd, permits.Undrain{Kind: k, Name: args[1], Who: o.who, Why: o.why}); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s comes back\n", k, args[1])
			return nil
		}}
	cmd.Flags().StringVar(&here, "here", "", "status address of a door that is to come back by itself")
	return cmd
}

func (o *operator) status() *cobra.Command {
	var watch, asJSON, each bool
	cmd := &cobra.Command{Use: "status", Short: "Show what is out, what is waited for, and who decides", Args: cobra.NoArgs,
		Long: "Asks whichever coordinator leads, which a majority confirms. With --each every coordinator says what it last heard, which may be old.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for {
				if err := o.tell(cmd, asJSON, each); err != nil {
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
	f.BoolVar(&watch, "watch", false, "again and again, until interrupted")
	f.BoolVar(&asJSON, "json", false, "JSON in place of tables")
	f.BoolVar(&each, "each", false, "each coordinator by itself")
	return cmd
}

func (o *operator) tell(cmd *cobra.Command, asJSON, each bool) error {
	show := func(st client.Status) error {
		if asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(st)
		}
		print(cmd.OutOrStdout(), st)
		return nil
	}
	return o.with(cmd, func(ctx context.Context, c *client.Client) error {
		if !each {
			var st client.Status
			if err := c.Ask(ctx, client.StatusPath, struct{}{}, &st); err != nil {
				return err
			}
			return show(st)
		}
		all, err := o.asked()
		if err != nil {
			return err
		}
		for _, a := range all {
			var st client.Status
			if err := c.Once(ctx, a, client.StatusPath, &st); err != nil {
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

var standings = [...]string{permits.Unseen: "unseen", permits.Failed: "failed", permits.Starting: "not ready", permits.Ready: "ready", permits.Ended: "ended"}

func print(out io.Writer, st client.Status) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer t.Flush()
	how := "as a majority has it"
	if !st.Current {
		how = "as it last heard; " + strings.TrimSuffix("leader "+st.Leader, "leader ")
		if st.Leader == "" {
			how = fmt.Sprintf("as it last heard: no leader for %.0f s; docs/coordinators.md tells what to do", st.Hint.ForMs/1e3)
		}
	}
	fmt.Fprintf(t, "fleet %s, told by %s, %s\n", st.Fleet, st.Self, how)
	for _, m := range st.Members {
		says := "answers"
		if m.SilentMs > 0 {
			says = fmt.Sprintf("silent for %.0f s", m.SilentMs/1e3)
		}
		if m.Name == st.Leader {
			says = "leads"
		}
		fmt.Fprintf(t, "coordinator %s\t%s\t%s\n", m.Name, m.Address, says)
	}
	for _, h := range st.Halts {
		fmt.Fprintf(t, "HALT of %s%s by %s: %s\n", or(string(h.Kind), "all"), or(" in "+h.Zone, ""), h.Who, h.Why)
	}
	for _, b := range st.Budgets {
		raw, _ := json.Marshal(b)
		fmt.Fprintf(t, "budget %s\n", raw)
	}
	if len(st.Places) > 0 {
		fmt.Fprintln(t, "permit\tunit\tstage\twho\twhy\twaits for")
	}
	for _, p := range st.Places {
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
		fmt.Fprintf(t, "%s %s\t%s\t%s\t%s\t%s\n", u.Kind, u.Name, u.Zone, standings[u.Standing], counts, seen)
	}
}

func or(text, other string) string {
	if text == "" || text == " in " {
		return other
	}
	return text
}

func (o *operator) halt() *cobra.Command {
	var k, zone string
	cmd := &cobra.Command{Use: "halt", Short: "Let nothing more go out", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.reason(); err != nil {
				return err
			}
			_, err := o.command(cmd, permits.Halt{Kind: permits.Kind(k), Zone: zone, Who: o.who, Why: o.why})
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "halted: nothing more goes out, what is out may come back")
			}
			return err
		}}
	scope(cmd, &k, &zone)
	return cmd
}

func scope(cmd *cobra.Command, k, zone *string) {
	cmd.Flags().StringVar(k, "kind", "", "door or backend; both where empty")
	cmd.Flags().StringVar(zone, "zone", "", "of one zone; all where empty")
}

func (o *operator) resume() *cobra.Command {
	var k, zone string
	cmd := &cobra.Command{Use: "resume", Short: "End a halt of the same kind and zone", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := o.command(cmd, permits.Resume{Kind: permits.Kind(k), Zone: zone, Who: o.who})
			return err
		}}
	scope(cmd, &k, &zone)
	return cmd
}

func (o *operator) budgets() *cobra.Command {
	return &cobra.Command{Use: "budgets [FILE]", Short: "Show the budgets, or set those of a file of JSON (- for standard input)", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				st, err := o.statusNow(cmd)
				if err != nil {
					return err
				}
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", "  ")
				return enc.Encode(st.Budgets)
			}
			if err := o.reason(); err != nil {
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

func (o *operator) writeOff() *cobra.Command {
	return &cobra.Command{Use: "write-off door|backend NAME", Short: "Free the place of one that went by plan and won't come back", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := o.unit(args[0])
			if err != nil {
				return err
			}
			st, err := o.statusNow(cmd)
			if err != nil {
				return err
			}
			for _, p := range st.Places {
				if p.Unit.Kind == k && p.Unit.Name == args[1] {
					_, err := o.command(cmd, permits.WriteOff{Number: p.Number, Who: o.who, Why: o.why})
					return err
				}
			}
			return &permits.UnknownError{What: "a permit of " + args[0] + " " + args[1]}
		}}
}

func (o *operator) forget() *cobra.Command {
	return &cobra.Command{Use: "forget door|backend NAME", Short: "Count a unit no more: it is gone for good, and so is its permit", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := o.unit(args[0])
			if err != nil {
				return err
			}
			_, err = o.command(cmd, permits.Forget{Kind: k, Name: args[1], Who: o.who, Why: o.why})
			return err
		}}
}

func (o *operator) coordinators() *cobra.Command {
	change := func(add bool) func(cmd *cobra.Command, args []string) error {
		return func(cmd *cobra.Command, args []string) error {
			if err := o.reason(); err != nil {
				return err
			}
			c := client.Change{Add: add, Name: args[0], Who: o.who, Why: o.why}
			if add {
				c.Address = args[1]
			}
			return o.with(cmd, func(ctx context.Context, cl *client.Client) error {
				return cl.Ask(ctx, client.MembersPath, c, &struct{}{})
			})
		}
	}
	cmd := &cobra.Command{Use: "coordinators", Short: "Add or remove coordinators at run time", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(
		&cobra.Command{Use: "add NAME ADDRESS", Short: "Add one that was started with the key join, at its key listen", Args: cobra.ExactArgs(2), RunE: change(true)},
		&cobra.Command{Use: "remove NAME", Short: "Remove one, if those that are left have a majority that answers", Args: cobra.ExactArgs(1), RunE: change(false)})
	return cmd
}

func (o *operator) audit() *cobra.Command {
	return &cobra.Command{Use: "audit", Short: "Show who did what, and when", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := o.asked()
			if err != nil {
				return err
			}
			return o.with(cmd, func(ctx context.Context, c *client.Client) error {
				var lines []permits.AuditEntry
				var last error
				for _, a := range all {
					if last = c.Once(ctx, a, client.AuditPath, &lines); last == nil {
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
