package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/permits/planfile"
)

// The change calendar: what is to come, who has to agree, and what is in the way.

const (
	lineMost  = 80                 // columns of a terminal
	shownForm = "2006-01-02 15:04" // of times that are shown
	freeMost  = 5                  // windows that are offered
	aWeek     = 7 * 24 * 3600e3    // ms
	tabFor    = time.Second        // that completion of a number may take
)

// numbered reads 7 or 7@3, an entry with the revision that its operator has seen.
func numbered(text string) (id, revision uint64, err error) {
	number, seen, has := strings.Cut(text, "@")
	if id, err = strconv.ParseUint(number, 10, 64); err == nil && has {
		revision, err = strconv.ParseUint(seen, 10, 64)
	}
	if err != nil || id == 0 || has && revision == 0 {
		return 0, 0, &NumberError{text}
	}
	return id, revision, nil
}

// asks asks the calendar.
func (o *operator) asks(cmd *cobra.Command, q client.CalendarQuestion) (*calendar.State, *client.CalendarAnswer, error) {
	var a client.CalendarAnswer
	if err := o.with(cmd, func(ctx context.Context, c *client.Client) error { return c.Ask(ctx, client.CalendarPath, q, &a) }); err != nil {
		return nil, nil, err
	}
	s := calendar.New()
	if err := json.Unmarshal(a.Calendar, s); err != nil {
		return nil, nil, &planfile.FileError{Path: "the coordinators' answer", Cause: err}
	}
	return s, &a, nil
}

// one finds an entry, as it is now.
func (o *operator) one(cmd *cobra.Command, text string) (*calendar.Entry, uint64, *calendar.State, error) {
	id, revision, err := numbered(text)
	if err != nil {
		return nil, 0, nil, err
	}
	s, _, err := o.asks(cmd, client.CalendarQuestion{ID: id, Bare: true})
	if err != nil {
		return nil, 0, nil, err
	}
	e := s.Entries[id]
	if e == nil {
		return nil, 0, nil, &calendar.UnknownError{What: "entry", ID: id}
	}
	if revision == 0 {
		revision = e.Revision
	}
	return e, revision, s, nil
}

// asSeen reads 7@3, and for a bare 7 asks how often that has been changed by now; 0 where it isn't there.
func (o *operator) asSeen(cmd *cobra.Command, text string, now func(s *calendar.State, id uint64) uint64) (id, revision uint64, err error) {
	if id, revision, err = numbered(text); err != nil || revision != 0 {
		return id, revision, err
	}
	s, _, err := o.asks(cmd, client.CalendarQuestion{})
	if err != nil {
		return 0, 0, err
	}
	return id, now(s, id), nil
}

func freezeNow(s *calendar.State, id uint64) uint64 {
	if f := s.Freezes[id]; f != nil {
		return f.Revision
	}
	return 0
}

func migrationNow(s *calendar.State, id uint64) uint64 {
	if m := s.Migrations[id]; m != nil {
		return m.Revision
	}
	return 0
}

// named is a command that needs its operator's name, and often a reason.
func (o *operator) named() error {
	if o.who == "" {
		return &ReasonError{}
	}
	return nil
}

func (o *operator) calendar() *cobra.Command {
	var all, week, asJSON bool
	var subject, in string
	cmd := &cobra.Command{Use: "calendar [ID]", Short: "Show the changes to come, under way and over, and the freezes", Args: cobra.MaximumNArgs(1),
		Long: "Shows what begins within a day, what is under way, and the freezes of that time. With an ID, all about that entry. An entry is shown\n" +
			"as 7@3: number 7, as it is after 3 changes; commands that take 7@3 do nothing if somebody has changed it since.",
		ValidArgsFunction: o.ids,
		RunE: func(cmd *cobra.Command, args []string) error {
			zone, err := planfile.ZoneOf(in)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				e, _, s, err := o.one(cmd, args[0])
				if err != nil {
					return err
				}
				if asJSON {
					return indented(cmd.OutOrStdout(), e)
				}
				showEntry(cmd.OutOrStdout(), s, e, zone)
				return nil
			}
			s, a, err := o.asks(cmd, client.CalendarQuestion{Events: asJSON})
			if err != nil {
				return err
			}
			if asJSON {
				return indented(cmd.OutOrStdout(), a.Calendar)
			}
			through := s.WallMs + 24*3600e3
			switch {
			case all:
				through = -1
			case week:
				through = s.WallMs + aWeek
			}
			showCalendar(cmd.OutOrStdout(), s, subject, through, zone)
			return nil
		}}
	f := cmd.Flags()
	f.BoolVar(&week, "week", false, "a week in place of a day")
	f.BoolVar(&all, "all", false, "all, what is over with it")
	f.StringVar(&subject, "subject", "", "only what is about this: a scope, or scope/name, as backends/b-1")
	f.StringVar(&in, "in", "", "time zone of what is shown, as Europe/Lisbon; UTC where it is left out")
	f.BoolVar(&asJSON, "json", false, "JSON in place of tables")
	return cmd
}

func indented(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func shown(ms float64, in *time.Location) string {
	return time.UnixMilli(int64(ms)).In(in).Format(shownForm)
}

// line prints words that fit a terminal: what is too long is cut, with a sign of it.
func line(out io.Writer, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if utf8.RuneCountInString(text) > lineMost {
		text = string([]rune(text)[:lineMost-1]) + "…"
	}
	fmt.Fprintln(out, strings.TrimRight(text, " "))
}

// about tells whether a subject is of what somebody asks for, as scope or scope/name.
func about(b calendar.Subject, asked string) bool {
	scope, name, has := strings.Cut(asked, "/")
	return asked == "" || string(b.Scope) == scope && (!has || len(b.Names) == 0 || slices.Contains(b.Names, name)) || b.Scope == calendar.Fleet
}

func over(e *calendar.Entry) bool {
	return e.Stage == calendar.Done || e.Stage == calendar.Missed || e.Stage == calendar.Withdrawn
}

func showCalendar(out io.Writer, s *calendar.State, subject string, throughMs float64, in *time.Location) {
	if s.ClockProblem != "" && s.InUse() {
		line(out, "TIME IS IN DOUBT, nothing begins: %s", s.ClockProblem)
	}
	line(out, "agreed time %s %s", shown(s.WallMs, in), in)
	entries := slices.Collect(maps.Values(s.Entries))
	slices.SortFunc(entries, func(a, b *calendar.Entry) int {
		return slices.Compare([]float64{a.Window.FromMs, float64(a.ID)}, []float64{b.Window.FromMs, float64(b.ID)})
	})
	row := "%-7s %-13s %-16s %-5s %s"
	line(out, row, "ENTRY", "STAGE", "FROM", "MIN", "WHAT")
	some := false
	for _, e := range entries {
		if !about(e.Subject, subject) || throughMs >= 0 && (over(e) || e.Window.FromMs > throughMs) {
			continue
		}
		some = true
		mark := ""
		if e.Emergency != nil {
			mark = "EMERGENCY "
		}
		line(out, row, fmt.Sprintf("%d@%d", e.ID, e.Revision), stageWord(e.Stage), shown(e.Window.FromMs, in), fmt.Sprintf("%.0f", e.DurationMs()/60e3), fmt.Sprintf("%s%s: %s", mark, e.Name, e.Subject.String()))
		if e.Reason != "" && !over(e) {
			line(out, "        %s", e.Reason)
		}
	}
	if !some {
		line(out, "nothing")
	}
	for _, id := range slices.Sorted(maps.Keys(s.Migrations)) {
		if m := s.Migrations[id]; throughMs < 0 || m.Stage != calendar.Done && m.Stage != calendar.Withdrawn {
			line(out, "migration %d@%d %s, %s, entries %s", m.ID, m.Revision, m.Name, m.Stage, strings.Trim(fmt.Sprint(m.Steps), "[]"))
			if m.Reason != "" {
				line(out, "        %s", m.Reason)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[id]
		if !about(f.Subject, subject) {
			continue
		}
		i := slices.IndexFunc(f.Spans, func(p calendar.Span) bool { return p.ToMs > s.WallMs })
		if i < 0 || throughMs >= 0 && f.Spans[i].FromMs > throughMs {
			continue
		}
		line(out, "freeze %d@%d %s to %s, %s: %s", f.ID, f.Revision, shown(f.Spans[i].FromMs, in), shown(f.Spans[i].ToMs, in), f.Name, f.Subject.String())
	}
}

// stageWord is a stage in a column's width.
func stageWord(s calendar.Stage) string {
	if s == calendar.Waiting {
		return "to approve"
	}
	return string(s)
}

func showEntry(out io.Writer, s *calendar.State, e *calendar.Entry, in *time.Location) {
	line(out, "entry     %d@%d %s", e.ID, e.Revision, e.Name)
	line(out, "stage     %s", e.Stage)
	if e.Reason != "" {
		line(out, "          %s", e.Reason)
	}
	line(out, "kind      %s of %s", e.Kind, e.Subject.String())
	line(out, "window    %s to %s %s", shown(e.Window.FromMs, in), shown(e.Window.ToMs, in), in)
	line(out, "waves     %d of %d done, %.0f min in all", e.WavesDone, e.Waves, e.DurationMs()/60e3)
	line(out, "author    %s", e.Author)
	for _, a := range e.Approvals {
		line(out, "approved  by %s %s at %s", a.Who, a.Role, shown(a.AtMs, in))
	}
	if m := e.Emergency; m != nil {
		line(out, "EMERGENCY by %s with %s: %s", m.Who, m.Second, m.Why)
	}
	if e.Migration != 0 {
		line(out, "step of   migration %d", e.Migration)
	}
	for _, id := range e.After {
		if a := s.Entries[id]; a != nil {
			line(out, "after     %d, which is %s", id, a.Stage)
		}
	}
	for _, of := range [][]string{e.Preconditions, e.Postconditions} {
		for _, name := range of {
			word := "nobody has looked"
			if o, seen := e.Observations[name]; seen {
				word = fmt.Sprintf("well: %t at %s %s", o.Passed, shown(o.AtMs, in), o.Detail)
			}
			line(out, "seen      %s: %s", name, word)
		}
	}
	line(out, "digest    %s", e.Digest())
	fmt.Fprintf(out, "does      %s\n", e.Do) // whole: it is what is approved
	if len(e.Rollback) > 0 {
		fmt.Fprintf(out, "back      %s\n", e.Rollback)
	}
}

// meets tells what a change would meet, and when there is room for it; false where that is to keep it out.
func (o *operator) meets(cmd *cobra.Command, c *calendar.Change, id uint64, in *time.Location) (clear bool, err error) {
	_, a, err := o.asks(cmd, client.CalendarQuestion{ID: id, Change: c, Most: freeMost, Bare: true})
	if err != nil {
		return false, err
	}
	for _, m := range a.Met {
		word := m.Detail
		if m.With != 0 {
			word = fmt.Sprintf("%d: %s", m.With, word)
		}
		line(cmd.OutOrStdout(), "in the way  %s", word)
	}
	if len(a.Met) > 0 {
		showFree(cmd.OutOrStdout(), a.Free, in)
	}
	return len(a.Met) == 0, nil
}

func showFree(out io.Writer, free []calendar.Span, in *time.Location) {
	for _, p := range free {
		line(out, "free        %s to %s %s", shown(p.FromMs, in), shown(p.ToMs, in), in)
	}
	if len(free) == 0 {
		line(out, "free        not within 400 days")
	}
}

func (o *operator) plan() *cobra.Command {
	var draft, anyway bool
	var edit string
	cmd := &cobra.Command{Use: "plan FILE", Short: "Enter a change into the calendar, or put it in the place of another", Args: cobra.ExactArgs(1),
		Long: "FILE is of JSON (- for standard input), as examples/entry.json. What the change would meet in its window is told, with the next\n" +
			"windows that are free; it is entered all the same with --anyway. It begins by itself once its window has, all approvals are\n" +
			"given and nothing is in the way; swifthall why ID names the first thing that is.",
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Entry
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			c, err := f.Change("")
			if err != nil {
				return err
			}
			if err := o.named(); err != nil {
				return err
			}
			zone, _ := planfile.ZoneOf(f.In) // it was read already
			var id, revision uint64
			if edit != "" {
				e, seen, _, err := o.one(cmd, edit)
				if err != nil {
					return err
				}
				id, revision = e.ID, seen
			}
			if clear, err := o.meets(cmd, &c, id, zone); err != nil {
				return err
			} else if !clear && !anyway {
				return &MeetsError{c.Name}
			}
			var do any = calendar.Plan{Change: c, Who: o.who, Draft: draft}
			if id != 0 {
				do = calendar.Edit{ID: id, Revision: revision, Change: c, Who: o.who, Draft: draft}
			}
			a, err := o.command(cmd, do)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is entry %d\n", c.Name, a.Number)
			return nil
		}}
	f := cmd.Flags()
	f.BoolVar(&draft, "draft", false, "nobody is asked so far")
	f.BoolVar(&anyway, "anyway", false, "enter it though something is in its way")
	f.StringVar(&edit, "edit", "", "the entry, as 7@3, in whose place it is put")
	return cmd
}

func (o *operator) approve() *cobra.Command {
	var role, digest string
	cmd := &cobra.Command{Use: "approve ID", Short: "Agree to what an entry would do", Args: cobra.ExactArgs(1), ValidArgsFunction: o.ids,
		Long: "Shows what is agreed to. With --digest the approval holds only for that, as swifthall calendar ID has shown it: names and roles are as\n" +
			"told, nobody signs in; whoever reaches the coordinators can give any. docs/calendar.md tells what that means.",
		RunE: func(cmd *cobra.Command, args []string) error {
			e, _, s, err := o.one(cmd, args[0])
			if err != nil {
				return err
			}
			if err := o.named(); err != nil {
				return err
			}
			if digest == "" {
				showEntry(cmd.OutOrStdout(), s, e, time.UTC)
				digest = e.Digest()
			}
			_, err = o.command(cmd, calendar.Approve{ID: e.ID, Digest: digest, Who: o.who, Role: role})
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "entry %d is approved by %s\n", e.ID, o.who)
			}
			return err
		}}
	cmd.Flags().StringVar(&role, "role", "", "in which it is given, where a rule asks for one")
	cmd.Flags().StringVar(&digest, "digest", "", "of what is agreed to")
	return cmd
}

// onEntry is a command about one entry.
func (o *operator) onEntry(use, short, long string, do func(cmd *cobra.Command, e *calendar.Entry, revision uint64) (any, error)) *cobra.Command {
	return &cobra.Command{Use: use + " ID", Short: short, Long: long, Args: cobra.ExactArgs(1), ValidArgsFunction: o.ids,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.named(); err != nil {
				return err
			}
			e, revision, _, err := o.one(cmd, args[0])
			if err != nil {
				return err
			}
			what, err := do(cmd, e, revision)
			if err != nil {
				return err
			}
			if _, err := o.command(cmd, what); err != nil {
				return err
			}
			s, _, err := o.asks(cmd, client.CalendarQuestion{ID: e.ID, Bare: true})
			if err == nil && s.Entries[e.ID] != nil {
				line(cmd.OutOrStdout(), "entry %d is %s", e.ID, s.Entries[e.ID].Stage)
			}
			return err
		}}
}

// entryCommands are those about one entry.
func (o *operator) entryCommands() []*cobra.Command {
	why := func(do func(e *calendar.Entry, revision uint64) any) func(*cobra.Command, *calendar.Entry, uint64) (any, error) {
		return func(_ *cobra.Command, e *calendar.Entry, revision uint64) (any, error) {
			return do(e, revision), o.reason()
		}
	}
	var second string
	emergency := o.onEntry("emergency", "Have an entry pass freezes, with a second name and a reason", "It stays marked, whatever becomes of it.",
		why(func(e *calendar.Entry, _ uint64) any {
			return calendar.DeclareEmergency{ID: e.ID, Emergency: calendar.Emergency{Who: o.who, Second: second, Why: o.why}}
		}))
	emergency.Flags().StringVar(&second, "second", "", "who agrees that it is one")
	var from, to, in string
	move := o.onEntry("move", "Give an entry another window", "Approvals are of the window too: they are asked for anew.",
		func(cmd *cobra.Command, e *calendar.Entry, revision uint64) (any, error) {
			zone, err := planfile.ZoneOf(in)
			if err != nil {
				return nil, err
			}
			c := e.Change
			if c.Window, err = calendar.ParseWindow(from, to, zone); err != nil {
				return nil, err
			}
			if _, err := o.meets(cmd, &c, e.ID, zone); err != nil { // told; the start looks again
				return nil, err
			}
			return calendar.Edit{ID: e.ID, Revision: revision, Change: c, Who: o.who, Draft: e.Stage == calendar.Drafted}, nil
		})
	move.Flags().StringVar(&from, "from", "", "local time, as 2026-12-24T22:00")
	move.Flags().StringVar(&to, "to", "", "local time")
	move.Flags().StringVar(&in, "in", "", "time zone by name; UTC where it is left out")
	var not bool
	var what, says string
	saw := o.onEntry("saw", "Tell what was seen of what an entry wants seen", "What was seen before an entry counts for five minutes.",
		func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.Observe{ID: e.ID, What: what, Passed: !not, Detail: says, Who: o.who}, nil
		})
	saw.Flags().StringVar(&what, "what", "", "its name in the entry")
	saw.Flags().BoolVar(&not, "not", false, "it was looked for, and isn't so")
	saw.Flags().StringVar(&says, "says", "", "in words")
	steer := &cobra.Command{Use: "steer", Short: "Halt an entry that is under way, have it go on or back, or say how far people are with it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	steer.AddCommand(
		o.onEntry("halt", "Halt it where it is", "", why(func(e *calendar.Entry, _ uint64) any { return calendar.Halt{ID: e.ID, Who: o.who, Why: o.why} })),
		o.onEntry("resume", "Have it go on", "", func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.Resume{ID: e.ID, Who: o.who}, nil
		}),
		o.onEntry("back", "Have it go back; a step takes its whole migration with it", "", why(func(e *calendar.Entry, _ uint64) any {
			if e.Migration != 0 {
				return calendar.RevertMigration{ID: e.Migration, Who: o.who, Why: o.why}
			}
			return calendar.RollBack{ID: e.ID, Who: o.who, Why: o.why}
		})),
		o.onEntry("done", "Say that people have done its next wave", "", func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.WaveDone{ID: e.ID, Wave: e.WavesDone + 1, Who: o.who}, nil
		}),
		o.onEntry("returned", "Say that people have taken it back", "", func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.RolledBack{ID: e.ID, Who: o.who}, nil
		}))
	return []*cobra.Command{emergency, move, saw, steer,
		o.onEntry("refuse", "Send an entry back to its author, with a reason", "", why(func(e *calendar.Entry, _ uint64) any {
			return calendar.Refuse{ID: e.ID, Digest: e.Digest(), Who: o.who, Why: o.why}
		})),
		o.onEntry("withdraw", "Take an entry out that has not begun", "", why(func(e *calendar.Entry, revision uint64) any {
			return calendar.Withdraw{ID: e.ID, Revision: revision, Who: o.who, Why: o.why}
		})),
		o.whyNot(), o.next(), o.freeze(), o.thaw(), o.rules(), o.migrate(), o.history()}
}

func (o *operator) whyNot() *cobra.Command {
	return &cobra.Command{Use: "why ID", Short: "Name the first thing that keeps an entry from beginning, and who can clear it", Args: cobra.ExactArgs(1), ValidArgsFunction: o.ids,
		RunE: func(cmd *cobra.Command, args []string) error {
			id, _, err := numbered(args[0])
			if err != nil {
				return err
			}
			_, a, err := o.asks(cmd, client.CalendarQuestion{ID: id, Bare: true})
			if err != nil {
				return err
			}
			if a.InTheWay.Err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "nothing is in the way: it begins within a second")
			}
			return a.InTheWay.Err
		}}
}

func (o *operator) next() *cobra.Command {
	var most int
	cmd := &cobra.Command{Use: "next FILE", Short: "List the next windows in which there is room for a change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Entry
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if f.From == "" && f.To == "" { // its window is what is asked for
				f.From, f.To = "2000-01-01T00:00", "2000-01-02T00:00"
			}
			c, err := f.Change("")
			if err != nil {
				return err
			}
			zone, _ := planfile.ZoneOf(f.In)
			_, a, err := o.asks(cmd, client.CalendarQuestion{Change: &c, Most: most, Bare: true})
			if err == nil {
				showFree(cmd.OutOrStdout(), a.Free, zone)
			}
			return err
		}}
	cmd.Flags().IntVarP(&most, "most", "n", freeMost, "windows")
	return cmd
}

func (o *operator) freeze() *cobra.Command {
	var edit string
	cmd := &cobra.Command{Use: "freeze FILE", Short: "Lay a freeze: times in which changes don't begin", Args: cobra.ExactArgs(1),
		Long: "FILE is of JSON, as examples/freeze.json. What runs when a freeze begins finishes its wave and is halted until it is over, or goes\n" +
			"back at once with \"sends\": \"send back\".",
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Freeze
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if err := o.reason(); err != nil {
				return err
			}
			zone, err := planfile.ZoneOf(f.When.TimeZone)
			if err != nil {
				return err
			}
			s, _, err := o.asks(cmd, client.CalendarQuestion{Bare: true}) // for the agreed time
			if err != nil {
				return err
			}
			z := calendar.Freeze{Name: f.Name, Kinds: f.Kinds, Subject: f.Subject, When: f.When, RunningPolicy: f.Sends, Who: o.who, Why: o.why}
			if z.RunningPolicy == "" {
				z.RunningPolicy = calendar.HaltAfterWave
			}
			if err := z.ExpandSpans(zone, s.WallMs); err != nil {
				return err
			}
			do := calendar.SetFreeze{Freeze: z}
			if edit != "" {
				if do.ID, do.Revision, err = o.asSeen(cmd, edit, freezeNow); err != nil {
					return err
				}
			}
			a, err := o.command(cmd, do)
			if err == nil {
				line(cmd.OutOrStdout(), "%s is freeze %d, %d times within 400 days", z.Name, a.Number, len(z.Spans))
			}
			return err
		}}
	cmd.Flags().StringVar(&edit, "edit", "", "the freeze, as 7@3, in whose place it is put")
	return cmd
}

func (o *operator) thaw() *cobra.Command {
	return &cobra.Command{Use: "thaw ID", Short: "Take a freeze out", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.reason(); err != nil {
				return err
			}
			id, revision, err := o.asSeen(cmd, args[0], freezeNow)
			if err != nil {
				return err
			}
			_, err = o.command(cmd, calendar.Thaw{ID: id, Revision: revision, Who: o.who, Why: o.why})
			return err
		}}
}

func (o *operator) rules() *cobra.Command {
	return &cobra.Command{Use: "rules [FILE]", Short: "Show who must approve what and how much may be under way, or set those of a file", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				s, _, err := o.asks(cmd, client.CalendarQuestion{})
				if err != nil {
					return err
				}
				return indented(cmd.OutOrStdout(), planfile.Rules{Rules: s.Rules, Budgets: s.Budgets})
			}
			var f planfile.Rules
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if err := o.named(); err != nil {
				return err
			}
			_, err := o.command(cmd, calendar.SetRules{Rules: f.Rules, Budgets: f.Budgets, Who: o.who})
			return err
		}}
}

func (o *operator) migrate() *cobra.Command {
	var replace string
	cmd := &cobra.Command{Use: "migrate FILE", Short: "Enter a migration: steps, each after the one before, each with its way back", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Migration
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if err := o.named(); err != nil {
				return err
			}
			var steps []calendar.Change
			for i := range f.Steps {
				c, err := f.Steps[i].Change(f.In)
				if err != nil {
					return &StepError{i + 1, err}
				}
				steps = append(steps, c)
			}
			var do any = calendar.Migrate{Name: f.Name, Steps: steps, Who: o.who}
			if replace != "" {
				id, revision, err := o.asSeen(cmd, replace, migrationNow)
				if err != nil {
					return err
				}
				do = calendar.ReplaceSteps{ID: id, Revision: revision, Steps: steps, Who: o.who}
			}
			a, err := o.command(cmd, do)
			if err == nil {
				line(cmd.OutOrStdout(), "%s is migration %d", f.Name, a.Number)
			}
			return err
		}}
	cmd.Flags().StringVar(&replace, "replace", "", "the migration, as 7@3, whose steps that have not begun are replaced")
	return cmd
}

func (o *operator) history() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "history [ID]", Short: "Show what has happened in the calendar, to one entry or all", Args: cobra.MaximumNArgs(1), ValidArgsFunction: o.ids,
		RunE: func(cmd *cobra.Command, args []string) error {
			var id uint64
			if len(args) == 1 {
				var err error
				if id, _, err = numbered(args[0]); err != nil {
					return err
				}
			}
			s, _, err := o.asks(cmd, client.CalendarQuestion{Events: true})
			if err != nil {
				return err
			}
			for _, e := range s.Events {
				switch {
				case id != 0 && e.ID != id:
				case asJSON:
					if err := json.NewEncoder(cmd.OutOrStdout()).Encode(e); err != nil {
						return err
					}
				default:
					text := fmt.Sprintf("%5d %s %4d %s", e.Number, shown(e.AtMs, time.UTC), e.ID, e.What)
					if e.Who != "" {
						text += ", " + e.Who
					}
					if e.Why != "" {
						text += ": " + e.Why
					}
					line(cmd.OutOrStdout(), "%s", text)
				}
			}
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "a line of JSON for each")
	return cmd
}

// ids completes the number of an entry that isn't over.
func (o *operator) ids(cmd *cobra.Command, args []string, begun string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	quick := *o
	quick.patience = tabFor
	s, _, err := quick.asks(cmd, client.CalendarQuestion{})
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var all []string
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		if e := s.Entries[id]; !over(e) && strings.HasPrefix(fmt.Sprint(id), begun) {
			all = append(all, fmt.Sprintf("%d\t%s, %s", id, e.Name, e.Stage))
		}
	}
	return all, cobra.ShellCompDirectiveNoFileComp
}
