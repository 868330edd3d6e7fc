package calendar

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// CheckStart returns the first reason why an entry cannot start now, nil if nothing blocks it. The error's remedy says who can resolve
// it.
func (s *State) CheckStart(e *Entry) error {
	switch e.Stage {
	case Drafted:
		return &StageError{e.ID, e.Stage, "begun"}
	case Waiting:
		if err := s.checkApprovals(e); err != nil {
			return err
		}
	case Approved, Due:
	default:
		return &StageError{e.ID, e.Stage, "begun"}
	}
	if s.ClockProblem != "" {
		return &ClockError{s.ClockProblem}
	}
	if s.WallMs < e.Window.FromMs {
		return &BeforeWindowError{e.ID, e.Window.FromMs}
	}
	if end := e.deadlineMs(); s.WallMs+e.DurationMs() > end || s.WallMs >= end {
		return &WindowTooShortError{e.ID, end - s.WallMs, e.DurationMs()}
	}
	for _, id := range e.After {
		if a := s.Entries[id]; a != nil && a.Stage != Done {
			return &DependencyError{e.ID, id, a.Stage}
		}
	}
	if f := s.activeFreeze(e, s.WallMs); f != nil {
		return &FrozenError{f.ID, f.Name, f.endMs(s.WallMs), f.Who}
	}
	if name, seen := e.missingObservation(e.Preconditions, s.WallMs-observationTTLMs); name != "" {
		return &PreconditionError{e.ID, name, seen}
	}
	return s.checkSubjectAndBudget(e.ID, e.Migration, &e.Change)
}

// CheckUnplanned returns the first reason why a change that is not in the calendar, such as an operator's drain, cannot start now: a
// freeze, a rule that requires approvals, an entry that holds its subject, or a budget. An empty calendar blocks nothing.
func (s *State) CheckUnplanned(k Kind, b Subject) error {
	c := &Change{Kind: k, Subject: b}
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[id]
		if !s.freezeApplies(f, c) {
			continue
		}
		if s.ClockProblem != "" {
			return &ClockError{s.ClockProblem}
		}
		if _, active := f.spanAt(s.WallMs); active {
			return &FrozenError{f.ID, f.Name, f.endMs(s.WallMs), f.Who}
		}
	}
	for i := range s.Rules {
		if r := &s.Rules[i]; s.ruleApplies(r, c) {
			return &ApprovalRequiredError{k, b.String(), r.Count, r.Roles}
		}
	}
	return s.checkSubjectAndBudget(0, 0, c)
}

// checkSubjectAndBudget returns an error if another entry holds part of the change's subject, or if other entries use up its budget.
// Finished steps of the change's own migration don't block it. own and migration are the change's IDs, 0 for none.
func (s *State) checkSubjectAndBudget(own, migration uint64, c *Change) error {
	inProgress := 0
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		o := s.Entries[id]
		if !s.Holds(o) || o.Migration != 0 && o.Migration == migration && !o.Stage.inProgress() {
			continue
		}
		if s.subjectsOverlap(&o.Subject, &c.Subject) {
			return &BusyError{own, id, o.Stage, o.Author}
		}
		if o.Kind == c.Kind && o.Stage.inProgress() {
			inProgress++
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind && inProgress >= b.Max {
			return &BudgetError{b, inProgress}
		}
	}
	return nil
}

// Holds reports whether an entry holds its subject: while it is in progress, and, as a step that is done, until its migration is over.
// Otherwise another change could come in between, and rolling the migration back would not restore the initial state.
func (s *State) Holds(e *Entry) bool {
	return e.Stage.inProgress() || e.Stage == Done && s.migrationActive(e.Migration)
}

// Conflict is something that blocks a change during its window.
type Conflict struct {
	With   uint64 // ID of an entry or a freeze; 0 for none
	Detail string `json:"Says"`
}

// Conflicts lists what would block a change during its window and, if anything does, at most maxFree spans that are free instead. id is
// the change's own entry, 0 for none.
func (s *State) Conflicts(c *Change, id uint64, maxFree int) (conflicts []Conflict, free []Span) {
	if c.DurationMs() > c.Window.ToMs-c.Window.FromMs {
		conflicts = append(conflicts, Conflict{0, fmt.Sprintf("the window is %s, the change takes %s", formatDuration(c.Window.ToMs-c.Window.FromMs), formatDuration(c.DurationMs()))})
	}
	for _, other := range slices.Sorted(maps.Keys(s.Entries)) {
		o := s.Entries[other]
		if span, ok := s.occupancy(o); ok && other != id && s.subjectsOverlap(&o.Subject, &c.Subject) && span.overlaps(c.Window) {
			conflicts = append(conflicts, Conflict{other, fmt.Sprintf("%s %q holds %s at that time", o.Kind, o.Name, o.Subject.String())})
		}
	}
	for _, fid := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[fid]
		if !s.freezeApplies(f, c) {
			continue
		}
		if spans := s.freezeSpansIn(f, c.Window); len(spans) > 0 && len(gaps(spans, c.Window, c.DurationMs())) == 0 {
			conflicts = append(conflicts, Conflict{fid, fmt.Sprintf("freeze %q leaves no %s of the window free", f.Name, formatDuration(c.DurationMs()))})
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind && slices.ContainsFunc(s.exhaustedSpans(b, id), c.Window.overlaps) {
			conflicts = append(conflicts, Conflict{0, fmt.Sprintf("%d entries of kind %s are planned in part of the window, the budget allows %d", b.Max, b.Kind, b.Max)})
		}
	}
	if len(conflicts) > 0 {
		free = s.FindFree(c, id, maxFree)
	}
	return conflicts, free
}

// occupancy returns the span in which an entry holds its subject, or will hold it as planned; false if there is none.
func (s *State) occupancy(e *Entry) (Span, bool) {
	switch {
	case e.Stage.notStarted() && e.Stage != Drafted:
		return Span{e.Window.FromMs, e.deadlineMs()}, true
	case s.Holds(e) && !e.Stage.inProgress():
		return Span{min(s.WallMs, e.Window.FromMs), s.Migrations[e.Migration].lastDeadlineMs(s)}, true
	case e.Stage.inProgress(): // past its window it still takes at least as long as its remaining waves
		return Span{min(s.WallMs, e.Window.FromMs), max(e.deadlineMs(), s.WallMs+max(1, e.remainingMs()))}, true
	}
	return Span{}, false
}

// freezeSpansIn lists the spans of a freeze that overlap a window. A recurring freeze is taken to last from the end of its expansion on.
func (s *State) freezeSpansIn(f *Freeze, w Span) (spans []Span) {
	for _, p := range f.Spans {
		if p.overlaps(w) {
			spans = append(spans, p)
		}
	}
	if f.When.RRule != "" && w.ToMs > f.ThroughMs {
		spans = append(spans, Span{f.ThroughMs, math.Inf(1)})
	}
	return spans
}

// exhaustedSpans lists the spans in which entries other than exclude use up a budget.
func (s *State) exhaustedSpans(b Budget, exclude uint64) (spans []Span) {
	type edge struct {
		at  float64
		add int
	}
	var edges []edge
	for id, e := range s.Entries {
		if span, ok := s.occupancy(e); ok && id != exclude && e.Kind == b.Kind {
			edges = append(edges, edge{span.FromMs, 1}, edge{span.ToMs, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.add, b.add)) })
	n := 0
	for _, e := range edges {
		wasFull := n >= b.Max
		n += e.add
		switch full := n >= b.Max; {
		case full && !wasFull:
			spans = append(spans, Span{e.at, math.Inf(1)})
		case wasFull && !full:
			spans[len(spans)-1].ToMs = e.at
		}
	}
	return slices.DeleteFunc(spans, func(p Span) bool { return p.FromMs >= p.ToMs })
}

// FindFree lists at most maxFree spans, from now on, in which a change could run: no freeze applies, no other entry holds its subject, its
// budgets are not used up, and there is time for all of it. It looks no further ahead than the horizon. id is the change's own entry, 0
// for none.
func (s *State) FindFree(c *Change, id uint64, maxFree int) []Span {
	ahead := Span{s.WallMs, s.WallMs + horizonMs}
	var taken []Span
	for other, o := range s.Entries {
		if span, ok := s.occupancy(o); ok && other != id && s.subjectsOverlap(&o.Subject, &c.Subject) {
			taken = append(taken, span)
		}
	}
	for _, f := range s.Freezes {
		if s.freezeApplies(f, c) {
			taken = append(taken, s.freezeSpansIn(f, ahead)...)
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind {
			taken = append(taken, s.exhaustedSpans(b, id)...)
		}
	}
	free := gaps(taken, ahead, c.DurationMs())
	return free[:min(maxFree, len(free))]
}

// gaps lists the parts of a span that no taken span covers and that last at least minMs.
func gaps(taken []Span, in Span, minMs float64) (free []Span) {
	slices.SortFunc(taken, func(a, b Span) int { return cmp.Compare(a.FromMs, b.FromMs) })
	at := in.FromMs
	add := func(to float64) {
		if to = min(to, in.ToMs); to > at && to-at >= minMs {
			free = append(free, Span{at, to})
		}
	}
	for _, p := range taken {
		add(p.FromMs)
		at = max(at, p.ToMs)
	}
	add(in.ToMs)
	return free
}

// formatDuration formats a duration in seconds, minutes or hours, by its length.
func formatDuration(ms float64) string {
	switch m := ms / 60e3; {
	case m < 1:
		return fmt.Sprintf("%.0f s", ms/1000)
	case m < 120:
		return fmt.Sprintf("%.0f min", m)
	default:
		return fmt.Sprintf("%.1f h", m/60)
	}
}
