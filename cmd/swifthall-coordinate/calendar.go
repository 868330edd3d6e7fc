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

// The commands of the change calendar, and the tables they print.

const (
	maxLineWidth      = 80                 // characters; the width of a terminal
	timeLayout        = "2006-01-02 15:04" // of displayed times
	maxFreeWindows    = 5                  // offered for a change that conflicts
	weekMs            = 7 * 24 * 3600e3    // ms
	completionTimeout = time.Second        // limit of the query that completes a number
)

// parseNumber parses 7 or 7@3, the number of an entry with the revision that the operator has seen. The revision is 0 if there is none.
func parseNumber(text string) (id, revision uint64, err error) {
	number, suffix, hasRevision := strings.Cut(text, "@")
	if id, err = strconv.ParseUint(number, 10, 64); err == nil && hasRevision {
		revision, err = strconv.ParseUint(suffix, 10, 64)
	}
	if err != nil || id == 0 || hasRevision && revision == 0 {
		return 0, 0, &NumberError{text}
	}
	return id, revision, nil
}

// queryCalendar sends a query and decodes the calendar in the answer.
func (o *operator) queryCalendar(cmd *cobra.Command, q client.CalendarQuery) (*calendar.State, *client.CalendarAnswer, error) {
	var a client.CalendarAnswer
	if err := o.withClient(cmd, func(ctx context.Context, c *client.Client) error { return c.Ask(ctx, client.CalendarPath, q, &a) }); err != nil {
		return nil, nil, err
	}
	s := calendar.New()
	if err := json.Unmarshal(a.Calendar, s); err != nil {
		return nil, nil, &planfile.FileError{Path: "the coordinators' answer", Cause: err}
	}
	return s, &a, nil
}

// findEntry returns an entry in its present state, with the revision in text, or the entry's own if text has none. An entry of another
// revision than the one in text is an error: it is not what the operator was shown.
func (o *operator) findEntry(cmd *cobra.Command, text string) (*calendar.Entry, uint64, *calendar.State, error) {
	id, revision, err := parseNumber(text)
	if err != nil {
		return nil, 0, nil, err
	}
	s, _, err := o.queryCalendar(cmd, client.CalendarQuery{ID: id, EntryOnly: true})
	if err != nil {
		return nil, 0, nil, err
	}
	e := s.Entries[id]
	if e == nil {
		return nil, 0, nil, &calendar.UnknownError{What: "entry", ID: id}
	}
	switch revision {
	case 0:
		revision = e.Revision
	case e.Revision:
	default:
		return nil, 0, nil, &calendar.ChangedError{What: "entry", ID: id, Revision: revision, Is: e.Revision, Last: "edited by " + e.Author}
	}
	return e, revision, s, nil
}

// resolveRevision parses 7@3. If the revision is missing, it queries the calendar and returns the result of current, which is 0 for an
// unknown number.
func (o *operator) resolveRevision(cmd *cobra.Command, text string, current func(s *calendar.State, id uint64) uint64) (id, revision uint64, err error) {
	if id, revision, err = parseNumber(text); err != nil || revision != 0 {
		return id, revision, err
	}
	s, _, err := o.queryCalendar(cmd, client.CalendarQuery{})
	if err != nil {
		return 0, 0, err
	}
	return id, current(s, id), nil
}

// freezeRevision returns the revision of a freeze; 0 if it doesn't exist.
func freezeRevision(s *calendar.State, id uint64) uint64 {
	if f := s.Freezes[id]; f != nil {
		return f.Revision
	}
	return 0
}

// migrationRevision returns the revision of a migration; 0 if it doesn't exist.
func migrationRevision(s *calendar.State, id uint64) uint64 {
	if m := s.Migrations[id]; m != nil {
		return m.Revision
	}
	return 0
}

// requireName returns an error unless --who is given.
func (o *operator) requireName() error {
	if o.who == "" {
		return &ReasonError{}
	}
	return nil
}

// calendar returns the command that shows the calendar or one entry.
func (o *operator) calendar() *cobra.Command {
	var everything, week, asJSON bool
	var subject, in string
	cmd := &cobra.Command{Use: "calendar [ID]", Short: "Show planned, running and finished changes, and the freezes", Args: cobra.MaximumNArgs(1),
		Long: "Shows what starts within a day, what is running, and the freezes of that time. With an ID, shows the details of that entry. An entry\n" +
			"is shown as 7@3: number 7, revision 3. Commands that accept 7@3 do nothing if the entry has been changed since.",
		ValidArgsFunction: o.completeEntries,
		RunE: func(cmd *cobra.Command, args []string) error {
			zone, err := planfile.ZoneOf(in)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				e, _, s, err := o.findEntry(cmd, args[0])
				if err != nil {
					return err
				}
				if asJSON {
					return writeIndented(cmd.OutOrStdout(), e)
				}
				showEntry(cmd.OutOrStdout(), s, e, zone)
				return nil
			}
			s, answer, err := o.queryCalendar(cmd, client.CalendarQuery{Events: asJSON})
			if err != nil {
				return err
			}
			if asJSON {
				return writeIndented(cmd.OutOrStdout(), answer.Calendar)
			}
			through := s.WallMs + 24*3600e3
			switch {
			case everything:
				through = -1
			case week:
				through = s.WallMs + weekMs
			}
			showCalendar(cmd.OutOrStdout(), s, subject, through, zone)
			return nil
		}}
	f := cmd.Flags()
	f.BoolVar(&week, "week", false, "show a week instead of a day")
	f.BoolVar(&everything, "all", false, "show everything, including finished changes")
	f.StringVar(&subject, "subject", "", "show only what concerns this scope, or scope/name, such as backends/b-1")
	f.StringVar(&in, "in", "", "time zone of displayed times, such as Europe/Lisbon; default UTC")
	f.BoolVar(&asJSON, "json", false, "print JSON instead of tables")
	return cmd
}

// writeIndented writes a value as indented JSON.
func writeIndented(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// formatTime formats a time, ms since 1970.
func formatTime(ms float64, in *time.Location) string {
	return time.UnixMilli(int64(ms)).In(in).Format(timeLayout)
}

// printLine prints a line that fits a terminal. A longer one is truncated and ends with an ellipsis.
func printLine(out io.Writer, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if utf8.RuneCountInString(text) > maxLineWidth {
		text = string([]rune(text)[:maxLineWidth-1]) + "…"
	}
	fmt.Fprintln(out, strings.TrimRight(text, " "))
}

// matchesSubject reports whether a subject overlaps with a filter of the form scope or scope/name; an empty filter matches all.
func matchesSubject(subject calendar.Subject, filter string) bool {
	scope, name, hasName := strings.Cut(filter, "/")
	return filter == "" || string(subject.Scope) == scope && (!hasName || len(subject.Names) == 0 || slices.Contains(subject.Names, name)) || subject.Scope == calendar.Fleet
}

// isOver reports whether an entry has ended.
func isOver(e *calendar.Entry) bool {
	return e.Stage == calendar.Done || e.Stage == calendar.Missed || e.Stage == calendar.Withdrawn
}

// showCalendar prints the entries, migrations and freezes up to a time. If throughMs is negative it prints all, with those that
// have ended.
func showCalendar(out io.Writer, s *calendar.State, subject string, throughMs float64, in *time.Location) {
	if s.ClockProblem != "" && s.InUse() {
		printLine(out, "TIME IS IN DOUBT, nothing begins: %s", s.ClockProblem)
	}
	printLine(out, "agreed time %s %s", formatTime(s.WallMs, in), in)
	entries := slices.Collect(maps.Values(s.Entries))
	slices.SortFunc(entries, func(a, b *calendar.Entry) int {
		return slices.Compare([]float64{a.Window.FromMs, float64(a.ID)}, []float64{b.Window.FromMs, float64(b.ID)})
	})
	row := "%-7s %-13s %-16s %-5s %s"
	printLine(out, row, "ENTRY", "STAGE", "FROM", "MIN", "WHAT")
	found := false
	for _, e := range entries {
		if !matchesSubject(e.Subject, subject) || throughMs >= 0 && (isOver(e) || e.Window.FromMs > throughMs) {
			continue
		}
		found = true
		mark := ""
		if e.Emergency != nil {
			mark = "EMERGENCY "
		}
		printLine(out, row, fmt.Sprintf("%d@%d", e.ID, e.Revision), stageLabel(e.Stage), formatTime(e.Window.FromMs, in), fmt.Sprintf("%.0f", e.DurationMs()/60e3), fmt.Sprintf("%s%s: %s", mark, e.Name, e.Subject.String()))
		if e.Reason != "" && !isOver(e) {
			printLine(out, "        %s", e.Reason)
		}
	}
	if !found {
		printLine(out, "nothing")
	}
	for _, id := range slices.Sorted(maps.Keys(s.Migrations)) {
		if m := s.Migrations[id]; throughMs < 0 || m.Stage != calendar.Done && m.Stage != calendar.Withdrawn {
			printLine(out, "migration %d@%d %s, %s, entries %s", m.ID, m.Revision, m.Name, m.Stage, strings.Trim(fmt.Sprint(m.Steps), "[]"))
			if m.Reason != "" {
				printLine(out, "        %s", m.Reason)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[id]
		if !matchesSubject(f.Subject, subject) {
			continue
		}
		i := slices.IndexFunc(f.Spans, func(p calendar.Span) bool { return p.ToMs > s.WallMs })
		if i < 0 || throughMs >= 0 && f.Spans[i].FromMs > throughMs {
			continue
		}
		printLine(out, "freeze %d@%d %s to %s, %s: %s", f.ID, f.Revision, formatTime(f.Spans[i].FromMs, in), formatTime(f.Spans[i].ToMs, in), f.Name, f.Subject.String())
	}
}

// stageLabel returns a stage's name, shortened to the width of its column.
func stageLabel(s calendar.Stage) string {
	if s == calendar.Waiting {
		return "to approve"
	}
	return string(s)
}

// showEntry prints the details of an entry.
func showEntry(out io.Writer, s *calendar.State, e *calendar.Entry, in *time.Location) {
	printLine(out, "entry     %d@%d %s", e.ID, e.Revision, e.Name)
	printLine(out, "stage     %s", e.Stage)
	if e.Reason != "" {
		printLine(out, "          %s", e.Reason)
	}
	printLine(out, "kind      %s of %s", e.Kind, e.Subject.String())
	printLine(out, "window    %s to %s %s", formatTime(e.Window.FromMs, in), formatTime(e.Window.ToMs, in), in)
	printLine(out, "waves     %d of %d done, %.0f min in all", e.WavesDone, e.Waves, e.DurationMs()/60e3)
	printLine(out, "author    %s", e.Author)
	for _, a := range e.Approvals {
		printLine(out, "approved  by %s %s at %s", a.Who, a.Role, formatTime(a.AtMs, in))
	}
	if m := e.Emergency; m != nil {
		printLine(out, "EMERGENCY by %s with %s: %s", m.Who, m.Second, m.Why)
	}
	if e.Migration != 0 {
		printLine(out, "step of   migration %d", e.Migration)
	}
	for _, id := range e.After {
		if a := s.Entries[id]; a != nil {
			printLine(out, "after     %d, which is %s", id, a.Stage)
		}
	}
	for _, of := range [][]string{e.Preconditions, e.Postconditions} {
		for _, name := range of {
			status := "not observed yet"
			if o, seen := e.Observations[name]; seen {
				status = fmt.Sprintf("passed: %t at %s %s", o.Passed, formatTime(o.AtMs, in), o.Detail)
			}
			printLine(out, "seen      %s: %s", name, status)
		}
	}
	printLine(out, "digest    %s", e.Digest())
	fmt.Fprintf(out, "does      %s\n", e.Do) // not truncated, because this is what is approved
	if len(e.Rollback) > 0 {
		fmt.Fprintf(out, "back      %s\n", e.Rollback)
	}
}

// printConflicts prints the conflicts of a change in its window and, if there are any, the next free windows. It reports whether
// there are none.
func (o *operator) printConflicts(cmd *cobra.Command, c *calendar.Change, id uint64, in *time.Location) (clear bool, err error) {
	_, a, err := o.queryCalendar(cmd, client.CalendarQuery{ID: id, Change: c, MaxFree: maxFreeWindows, EntryOnly: true})
	if err != nil {
		return false, err
	}
	for _, m := range a.Conflicts {
		text := m.Detail
		if m.With != 0 {
			text = fmt.Sprintf("%d: %s", m.With, text)
		}
		printLine(cmd.OutOrStdout(), "in the way  %s", text)
	}
	if len(a.Conflicts) > 0 {
		showFree(cmd.OutOrStdout(), a.Free, in)
	}
	return len(a.Conflicts) == 0, nil
}

// showFree prints free windows.
func showFree(out io.Writer, free []calendar.Span, in *time.Location) {
	for _, p := range free {
		printLine(out, "free        %s to %s %s", formatTime(p.FromMs, in), formatTime(p.ToMs, in), in)
	}
	if len(free) == 0 {
		printLine(out, "free        not within 400 days")
	}
}

// plan returns the command that adds or replaces an entry.
func (o *operator) plan() *cobra.Command {
	var draft, anyway bool
	var edit string
	cmd := &cobra.Command{Use: "plan FILE", Short: "Add a change to the calendar, or replace one", Args: cobra.ExactArgs(1),
		Long: "FILE is JSON (- for standard input), such as examples/entry.json. If the change conflicts with something in its window, the conflicts\n" +
			"and the next free windows are listed, and it is added only with --anyway. It starts by itself once its window has begun, all\n" +
			"approvals are given and nothing blocks it; swifthall why ID shows the first obstacle.",
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Entry
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			c, err := f.Change("")
			if err != nil {
				return err
			}
			if err := o.requireName(); err != nil {
				return err
			}
			zone, _ := planfile.ZoneOf(f.In) // Change has checked the zone
			var id, revision uint64
			if edit != "" {
				e, seen, _, err := o.findEntry(cmd, edit)
				if err != nil {
					return err
				}
				id, revision = e.ID, seen
			}
			if clear, err := o.printConflicts(cmd, &c, id, zone); err != nil {
				return err
			} else if !clear && !anyway {
				return &ConflictError{c.Name}
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
	f.BoolVar(&draft, "draft", false, "add it as a draft, for which no approvals are requested")
	f.BoolVar(&anyway, "anyway", false, "add it in spite of conflicts")
	f.StringVar(&edit, "edit", "", "the entry to replace, such as 7@3")
	return cmd
}

// approve returns the command that approves an entry.
func (o *operator) approve() *cobra.Command {
	var role, digest string
	cmd := &cobra.Command{Use: "approve ID", Short: "Approve an entry", Args: cobra.ExactArgs(1), ValidArgsFunction: o.completeEntries,
		Long: "Prints what is approved. With --digest, as printed by swifthall calendar ID, the approval is valid only for that content. Names and roles\n" +
			"are not authenticated: whoever can reach the coordinators can give any; see docs/calendar.md.",
		RunE: func(cmd *cobra.Command, args []string) error {
			e, _, s, err := o.findEntry(cmd, args[0])
			if err != nil {
				return err
			}
			if err := o.requireName(); err != nil {
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
	cmd.Flags().StringVar(&role, "role", "", "role of the approver, if a rule requires one")
	cmd.Flags().StringVar(&digest, "digest", "", "digest of the content that is approved")
	return cmd
}

// entryCommand returns a command about one entry, which commits the command that do returns and prints the entry's new stage.
func (o *operator) entryCommand(use, short, long string, do func(cmd *cobra.Command, e *calendar.Entry, revision uint64) (any, error)) *cobra.Command {
	return &cobra.Command{Use: use + " ID", Short: short, Long: long, Args: cobra.ExactArgs(1), ValidArgsFunction: o.completeEntries,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.requireName(); err != nil {
				return err
			}
			e, revision, _, err := o.findEntry(cmd, args[0])
			if err != nil {
				return err
			}
			command, err := do(cmd, e, revision)
			if err != nil {
				return err
			}
			if _, err := o.command(cmd, command); err != nil {
				return err
			}
			s, _, err := o.queryCalendar(cmd, client.CalendarQuery{ID: e.ID, EntryOnly: true})
			if err == nil && s.Entries[e.ID] != nil {
				printLine(cmd.OutOrStdout(), "entry %d is %s", e.ID, s.Entries[e.ID].Stage)
			}
			return err
		}}
}

// entryCommands returns the commands about single entries, and the rest of the calendar's commands.
func (o *operator) entryCommands() []*cobra.Command {
	withReason := func(do func(e *calendar.Entry, revision uint64) any) func(*cobra.Command, *calendar.Entry, uint64) (any, error) {
		return func(_ *cobra.Command, e *calendar.Entry, revision uint64) (any, error) {
			return do(e, revision), o.requireReason()
		}
	}
	var second string
	emergency := o.entryCommand("emergency", "Let an entry ignore freezes, with a second name and a reason", "The entry stays marked as an emergency.",
		withReason(func(e *calendar.Entry, _ uint64) any {
			return calendar.DeclareEmergency{ID: e.ID, Emergency: calendar.Emergency{Who: o.who, Second: second, Why: o.why}}
		}))
	emergency.Flags().StringVar(&second, "second", "", "name of a second person who agrees that it is an emergency")
	var from, to, in string
	move := o.entryCommand("move", "Move an entry to another window", "Approvals include the window, so they are requested again.",
		func(cmd *cobra.Command, e *calendar.Entry, revision uint64) (any, error) {
			zone, err := planfile.ZoneOf(in)
			if err != nil {
				return nil, err
			}
			c := e.Change
			if c.Window, err = calendar.ParseWindow(from, to, zone); err != nil {
				return nil, err
			}
			if _, err := o.printConflicts(cmd, &c, e.ID, zone); err != nil { // conflicts are only reported; the start checks again
				return nil, err
			}
			return calendar.Edit{ID: e.ID, Revision: revision, Change: c, Who: o.who, Draft: e.Stage == calendar.Drafted}, nil
		})
	move.Flags().StringVar(&from, "from", "", "local time, such as 2026-12-24T22:00")
	move.Flags().StringVar(&to, "to", "", "local time")
	move.Flags().StringVar(&in, "in", "", "time zone name; default UTC")
	var failed bool
	var what, detail string
	saw := o.entryCommand("saw", "Report whether a condition of an entry was observed", "An observation of a precondition is valid for five minutes.",
		func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.Observe{ID: e.ID, What: what, Passed: !failed, Detail: detail, Who: o.who}, nil
		})
	saw.Flags().StringVar(&what, "what", "", "name of the condition in the entry")
	saw.Flags().BoolVar(&failed, "not", false, "the condition was checked and does not hold")
	saw.Flags().StringVar(&detail, "says", "", "details of the observation")
	steer := &cobra.Command{Use: "steer", Short: "Halt, resume or roll back a running entry, or report manual progress", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	steer.AddCommand(
		o.entryCommand("halt", "Halt the entry at the end of its present wave", "", withReason(func(e *calendar.Entry, _ uint64) any { return calendar.Halt{ID: e.ID, Who: o.who, Why: o.why} })),
		o.entryCommand("resume", "Resume a halted entry", "", func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.Resume{ID: e.ID, Who: o.who}, nil
		}),
		o.entryCommand("back", "Roll the entry back; if it is a step of a migration, the whole migration is rolled back", "", withReason(func(e *calendar.Entry, _ uint64) any {
			if e.Migration != 0 {
				return calendar.RevertMigration{ID: e.Migration, Who: o.who, Why: o.why}
			}
			return calendar.RollBack{ID: e.ID, Who: o.who, Why: o.why}
		})),
		o.entryCommand("done", "Report that its next wave was completed by hand", "", func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.WaveDone{ID: e.ID, Wave: e.WavesDone + 1, Who: o.who}, nil
		}),
		o.entryCommand("returned", "Report that its rollback was completed by hand", "", func(_ *cobra.Command, e *calendar.Entry, _ uint64) (any, error) {
			return calendar.RolledBack{ID: e.ID, Who: o.who}, nil
		}))
	return []*cobra.Command{emergency, move, saw, steer,
		o.entryCommand("refuse", "Reject an entry and return it to its author, with a reason", "", withReason(func(e *calendar.Entry, _ uint64) any {
			return calendar.Refuse{ID: e.ID, Digest: e.Digest(), Who: o.who, Why: o.why}
		})),
		o.entryCommand("withdraw", "Withdraw an entry that has not started", "", withReason(func(e *calendar.Entry, revision uint64) any {
			return calendar.Withdraw{ID: e.ID, Revision: revision, Who: o.who, Why: o.why}
		})),
		o.whyCommand(), o.next(), o.freeze(), o.thaw(), o.rules(), o.migrate(), o.history()}
}

// whyCommand returns the command that shows what keeps an entry from starting.
func (o *operator) whyCommand() *cobra.Command {
	return &cobra.Command{Use: "why ID", Short: "Show the first obstacle that keeps an entry from starting, and who can remove it", Args: cobra.ExactArgs(1), ValidArgsFunction: o.completeEntries,
		RunE: func(cmd *cobra.Command, args []string) error {
			id, _, err := parseNumber(args[0])
			if err != nil {
				return err
			}
			_, a, err := o.queryCalendar(cmd, client.CalendarQuery{ID: id, EntryOnly: true})
			if err != nil {
				return err
			}
			if a.Obstacle.Err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "nothing is in the way: it begins within a second")
			}
			return a.Obstacle.Err
		}}
}

// next returns the command that lists free windows.
func (o *operator) next() *cobra.Command {
	var most int
	cmd := &cobra.Command{Use: "next FILE", Short: "List the next free windows for a change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Entry
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if f.From == "" && f.To == "" { // a placeholder, since the window is what is requested
				f.From, f.To = "2000-01-01T00:00", "2000-01-02T00:00"
			}
			c, err := f.Change("")
			if err != nil {
				return err
			}
			zone, _ := planfile.ZoneOf(f.In)
			_, a, err := o.queryCalendar(cmd, client.CalendarQuery{Change: &c, MaxFree: most, EntryOnly: true})
			if err == nil {
				showFree(cmd.OutOrStdout(), a.Free, zone)
			}
			return err
		}}
	cmd.Flags().IntVarP(&most, "most", "n", maxFreeWindows, "windows")
	return cmd
}

// freeze returns the command that adds or replaces a freeze.
func (o *operator) freeze() *cobra.Command {
	var edit string
	cmd := &cobra.Command{Use: "freeze FILE", Short: "Add a freeze: times at which changes don't start", Args: cobra.ExactArgs(1),
		Long: "FILE is JSON, such as examples/freeze.json. A change that is running when a freeze begins finishes its wave and is halted until the freeze\n" +
			"is over; with \"sends\": \"send back\" it is rolled back at once.",
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Freeze
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if err := o.requireReason(); err != nil {
				return err
			}
			zone, err := planfile.ZoneOf(f.When.TimeZone)
			if err != nil {
				return err
			}
			s, _, err := o.queryCalendar(cmd, client.CalendarQuery{EntryOnly: true}) // to get the agreed time
			if err != nil {
				return err
			}
			z := calendar.Freeze{Name: f.Name, Kinds: f.Kinds, Subject: f.Subject, When: f.When, RunningPolicy: f.RunningPolicy, Who: o.who, Why: o.why}
			if z.RunningPolicy == "" {
				z.RunningPolicy = calendar.HaltAfterWave
			}
			if err := z.ExpandSpans(zone, s.WallMs); err != nil {
				return err
			}
			do := calendar.SetFreeze{Freeze: z}
			if edit != "" {
				if do.ID, do.Revision, err = o.resolveRevision(cmd, edit, freezeRevision); err != nil {
					return err
				}
			}
			a, err := o.command(cmd, do)
			if err == nil {
				printLine(cmd.OutOrStdout(), "%s is freeze %d, %d times within 400 days", z.Name, a.Number, len(z.Spans))
			}
			return err
		}}
	cmd.Flags().StringVar(&edit, "edit", "", "the freeze to replace, such as 7@3")
	return cmd
}

// thaw returns the command that removes a freeze.
func (o *operator) thaw() *cobra.Command {
	return &cobra.Command{Use: "thaw ID", Short: "Remove a freeze", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.requireReason(); err != nil {
				return err
			}
			id, revision, err := o.resolveRevision(cmd, args[0], freezeRevision)
			if err != nil {
				return err
			}
			_, err = o.command(cmd, calendar.Thaw{ID: id, Revision: revision, Who: o.who, Why: o.why})
			return err
		}}
}

// rules returns the command that shows or sets the rules and budgets of the calendar.
func (o *operator) rules() *cobra.Command {
	return &cobra.Command{Use: "rules [FILE]", Short: "Show which approvals changes need and how many may run at once, or set these rules from a file", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				s, _, err := o.queryCalendar(cmd, client.CalendarQuery{})
				if err != nil {
					return err
				}
				return writeIndented(cmd.OutOrStdout(), planfile.Rules{Rules: s.Rules, Budgets: s.Budgets})
			}
			var f planfile.Rules
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if err := o.requireName(); err != nil {
				return err
			}
			_, err := o.command(cmd, calendar.SetRules{Rules: f.Rules, Budgets: f.Budgets, Who: o.who})
			return err
		}}
}

// migrate returns the command that adds a migration or replaces its remaining steps.
func (o *operator) migrate() *cobra.Command {
	var replace string
	cmd := &cobra.Command{Use: "migrate FILE", Short: "Add a migration: a sequence of steps, each with its rollback", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var f planfile.Migration
			if err := planfile.Read(args[0], cmd.InOrStdin(), &f); err != nil {
				return err
			}
			if err := o.requireName(); err != nil {
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
				id, revision, err := o.resolveRevision(cmd, replace, migrationRevision)
				if err != nil {
					return err
				}
				do = calendar.ReplaceSteps{ID: id, Revision: revision, Steps: steps, Who: o.who}
			}
			a, err := o.command(cmd, do)
			if err == nil {
				printLine(cmd.OutOrStdout(), "%s is migration %d", f.Name, a.Number)
			}
			return err
		}}
	cmd.Flags().StringVar(&replace, "replace", "", "the migration, such as 7@3, whose steps that have not started are replaced")
	return cmd
}

// history returns the command that shows the calendar's events.
func (o *operator) history() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "history [ID]", Short: "Show the events of the calendar, of one entry or all", Args: cobra.MaximumNArgs(1), ValidArgsFunction: o.completeEntries,
		RunE: func(cmd *cobra.Command, args []string) error {
			var id uint64
			if len(args) == 1 {
				var err error
				if id, _, err = parseNumber(args[0]); err != nil {
					return err
				}
			}
			s, _, err := o.queryCalendar(cmd, client.CalendarQuery{Events: true})
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
					text := fmt.Sprintf("%5d %s %4d %s", e.Number, formatTime(e.AtMs, time.UTC), e.ID, e.What)
					if e.Who != "" {
						text += ", " + e.Who
					}
					if e.Why != "" {
						text += ": " + e.Why
					}
					printLine(cmd.OutOrStdout(), "%s", text)
				}
			}
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print a line of JSON for each event")
	return cmd
}

// completeEntries completes the number of an entry that has not ended. It gives up after completionTimeout.
func (o *operator) completeEntries(cmd *cobra.Command, args []string, prefix string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	hurried := *o
	hurried.timeout = completionTimeout
	s, _, err := hurried.queryCalendar(cmd, client.CalendarQuery{})
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var completions []string
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		if e := s.Entries[id]; !isOver(e) && strings.HasPrefix(fmt.Sprint(id), prefix) {
			completions = append(completions, fmt.Sprintf("%d\t%s, %s", id, e.Name, e.Stage))
		}
	}
	return completions, cobra.ShellCompDirectiveNoFileComp
}
