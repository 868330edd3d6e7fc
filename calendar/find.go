package calendar

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// InTheWay is the first thing that keeps an entry from beginning now; nil where nothing does. Its remedy says who can clear it.
func (s *State) InTheWay(e *Entry) error {
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
	if s.Doubt != "" {
		return &ClockError{s.Doubt}
	}
	if s.WallMs < e.Window.FromMs {
		return &EarlyError{e.ID, e.Window.FromMs}
	}
	if end := e.deadlineMs(); s.WallMs+e.Needs() > end || s.WallMs >= end {
		return &ShortError{e.ID, end - s.WallMs, e.Needs()}
	}
	for _, id := range e.After {
		if a := s.Entries[id]; a != nil && a.Stage != Done {
			return &AfterError{e.ID, id, a.Stage}
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

// MayBegin is the first thing that keeps a change that nobody has planned from beginning now, as an operator's own drain: a freeze,
// a rule that asks for approvals, an entry that has its subject, a budget. Where the calendar is empty it asks for nothing.
func (s *State) MayBegin(k Kind, b Subject) error {
	c := &Change{Kind: k, Subject: b}
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[id]
		if !s.freezeApplies(f, c) {
			continue
		}
		if s.Doubt != "" {
			return &ClockError{s.Doubt}
		}
		if _, is := f.spanAt(s.WallMs); is {
			return &FrozenError{f.ID, f.Name, f.endMs(s.WallMs), f.Who}
		}
	}
	for i := range s.Rules {
		if r := &s.Rules[i]; s.ruleApplies(r, c) {
			return &UnplannedError{k, b.String(), r.Count, r.Roles}
		}
	}
	return s.checkSubjectAndBudget(0, 0, c)
}

// checkSubjectAndBudget tells which other entry has what a change touches, or that a budget is used up by others.
func (s *State) checkSubjectAndBudget(own, migration uint64, c *Change) error {
	under := 0
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		o := s.Entries[id]
		if !s.Holds(o) || o.Migration != 0 && o.Migration == migration && !o.Stage.inProgress() {
			continue
		}
		if s.subjectsOverlap(&o.Subject, &c.Subject) {
			return &BusyError{own, id, o.Stage, o.Author}
		}
		if o.Kind == c.Kind && o.Stage.inProgress() {
			under++
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind && under >= b.Most {
			return &FullError{b, under}
		}
	}
	return nil
}

// Holds tells whether an entry has its subject: while it is under way, and as a done step until its migration is over, or the way
// back could not end where the migration began.
func (s *State) Holds(e *Entry) bool {
	return e.Stage.inProgress() || e.Stage == Done && s.migrationActive(e.Migration)
}

// Conflict is something that a change meets in its window.
type Conflict struct {
	With uint64 // entry or freeze; 0 for none
	Says string
}

// Conflicts tells what a change would meet in its window, and where there would be room instead. id is its own entry; 0 for none.
func (s *State) Conflicts(c *Change, id uint64, most int) (met []Conflict, instead []Span) {
	if c.Needs() > c.Window.ToMs-c.Window.FromMs {
		met = append(met, Conflict{0, fmt.Sprintf("the window is %s, its waves take %s", formatDuration(c.Window.ToMs-c.Window.FromMs), formatDuration(c.Needs()))})
	}
	for _, other := range slices.Sorted(maps.Keys(s.Entries)) {
		o := s.Entries[other]
		if span, has := s.occupancy(o); has && other != id && s.subjectsOverlap(&o.Subject, &c.Subject) && span.overlaps(c.Window) {
			met = append(met, Conflict{other, fmt.Sprintf("%s %q has %s then", o.Kind, o.Name, o.Subject.String())})
		}
	}
	for _, fid := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[fid]
		if !s.freezeApplies(f, c) {
			continue
		}
		if spans := s.freezeSpansIn(f, c.Window); len(spans) > 0 && len(gaps(spans, c.Window, c.Needs())) == 0 {
			met = append(met, Conflict{fid, fmt.Sprintf("freeze %q leaves no %s of it", f.Name, formatDuration(c.Needs()))})
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind && slices.ContainsFunc(s.exhaustedSpans(b, id), c.Window.overlaps) {
			met = append(met, Conflict{0, fmt.Sprintf("%d of kind %s have part of it already, %d may be under way", b.Most, b.Kind, b.Most)})
		}
	}
	if len(met) > 0 {
		instead = s.Next(c, id, most)
	}
	return met, instead
}

// occupancy is the time that an entry occupancy part of the fleet, as far as is known.
func (s *State) occupancy(e *Entry) (Span, bool) {
	switch {
	case e.Stage.notStarted() && e.Stage != Drafted:
		return Span{e.Window.FromMs, e.deadlineMs()}, true
	case s.Holds(e) && !e.Stage.inProgress():
		return Span{min(s.WallMs, e.Window.FromMs), s.Migrations[e.Migration].lastDeadlineMs(s)}, true
	case e.Stage.inProgress(): // one that is past its window lasts as long as its waves, at least
		return Span{min(s.WallMs, e.Window.FromMs), max(e.deadlineMs(), s.WallMs+max(1, e.remainingMs()))}, true
	}
	return Span{}, false
}

// freezeSpansIn lists a freeze's spans that meet a window.
func (s *State) freezeSpansIn(f *Freeze, w Span) (spans []Span) {
	for _, p := range f.Spans {
		if p.overlaps(w) {
			spans = append(spans, p)
		}
	}
	if f.When.Every != "" && w.ToMs > f.ThroughMs {
		spans = append(spans, Span{f.ThroughMs, math.Inf(1)})
	}
	return spans
}

// exhaustedSpans lists when a budget is used up by others.
func (s *State) exhaustedSpans(b Budget, but uint64) (spans []Span) {
	type edge struct {
		at  float64
		add int
	}
	var edges []edge
	for id, e := range s.Entries {
		if span, has := s.occupancy(e); has && id != but && e.Kind == b.Kind {
			edges = append(edges, edge{span.FromMs, 1}, edge{span.ToMs, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.add, b.add)) })
	n := 0
	for _, e := range edges {
		was := n >= b.Most
		n += e.add
		switch is := n >= b.Most; {
		case is && !was:
			spans = append(spans, Span{e.at, math.Inf(1)})
		case was && !is:
			spans[len(spans)-1].ToMs = e.at
		}
	}
	return slices.DeleteFunc(spans, func(p Span) bool { return p.FromMs >= p.ToMs })
}

// Next finds free time for a change, from now on: no freeze that it must heed, nobody else on its subject, no budget used up,
// and long enough for its waves. None means that there is none as far as is looked ahead.
func (s *State) Next(c *Change, id uint64, most int) []Span {
	ahead := Span{s.WallMs, s.WallMs + horizonMs}
	var taken []Span
	for other, o := range s.Entries {
		if span, has := s.occupancy(o); has && other != id && s.subjectsOverlap(&o.Subject, &c.Subject) {
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
	free := gaps(taken, ahead, c.Needs())
	return free[:min(most, len(free))]
}

// gaps lists what is left of a span beside others, in pieces of some length at least.
func gaps(taken []Span, in Span, least float64) (free []Span) {
	slices.SortFunc(taken, func(a, b Span) int { return cmp.Compare(a.FromMs, b.FromMs) })
	at := in.FromMs
	put := func(to float64) {
		if to = min(to, in.ToMs); to > at && to-at >= least {
			free = append(free, Span{at, to})
		}
	}
	for _, p := range taken {
		put(p.FromMs)
		at = max(at, p.ToMs)
	}
	put(in.ToMs)
	return free
}

// formatDuration words a time that something takes.
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
