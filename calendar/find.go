package calendar

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// CheckStart is the first thing that keeps an entry from beginning now; nil where nothing does. Its remedy says who can clear it.
func (s *State) CheckStart(e *Entry) error {
	switch e.Stage {
	case Drafted:
		return &StageError{e.ID, e.Stage, "begun"}
	case Waiting:
		if err := s.lacks(e); err != nil {
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
	if end := e.deadline(); s.WallMs+e.DurationMs() > end || s.WallMs >= end {
		return &WindowTooShortError{e.ID, end - s.WallMs, e.DurationMs()}
	}
	for _, id := range e.After {
		if a := s.Entries[id]; a != nil && a.Stage != Done {
			return &DependencyError{e.ID, id, a.Stage}
		}
	}
	if f := s.frozen(e, s.WallMs); f != nil {
		return &FrozenError{f.ID, f.Name, f.until(s.WallMs), f.Who}
	}
	if name, seen := e.unobserved(e.Preconditions, s.WallMs-sightFor); name != "" {
		return &PreconditionError{e.ID, name, seen}
	}
	return s.taken(e.ID, e.Migration, &e.Change)
}

// CheckUnplanned is the first thing that keeps a change that nobody has planned from beginning now, as an operator's own drain: a freeze,
// a rule that asks for approvals, an entry that has its subject, a budget. Where the calendar is empty it asks for nothing.
func (s *State) CheckUnplanned(k Kind, b Subject) error {
	c := &Change{Kind: k, Subject: b}
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[id]
		if !s.applies(f, c) {
			continue
		}
		if s.ClockProblem != "" {
			return &ClockError{s.ClockProblem}
		}
		if _, is := f.at(s.WallMs); is {
			return &FrozenError{f.ID, f.Name, f.until(s.WallMs), f.Who}
		}
	}
	for i := range s.Rules {
		if r := &s.Rules[i]; s.asks(r, c) {
			return &ApprovalRequiredError{k, b.String(), r.Count, r.Roles}
		}
	}
	return s.taken(0, 0, c)
}

// taken tells which other entry has what a change touches, or that a budget is used up by others.
func (s *State) taken(own, migration uint64, c *Change) error {
	under := 0
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		o := s.Entries[id]
		if !s.Holds(o) || o.Migration != 0 && o.Migration == migration && !o.Stage.under() {
			continue
		}
		if s.touch(&o.Subject, &c.Subject) {
			return &BusyError{own, id, o.Stage, o.Author}
		}
		if o.Kind == c.Kind && o.Stage.under() {
			under++
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind && under >= b.Max {
			return &BudgetError{b, under}
		}
	}
	return nil
}

// Holds tells whether an entry has its subject: while it is under way, and as a done step until its migration is over, or the way
// back could not end where the migration began.
func (s *State) Holds(e *Entry) bool {
	return e.Stage.under() || e.Stage == Done && s.live(e.Migration)
}

// Conflict is something that a change meets in its window.
type Conflict struct {
	With   uint64 // entry or freeze; 0 for none
	Detail string
}

// Conflicts tells what a change would meet in its window, and where there would be room instead. id is its own entry; 0 for none.
func (s *State) Conflicts(c *Change, id uint64, most int) (met []Conflict, instead []Span) {
	if c.DurationMs() > c.Window.ToMs-c.Window.FromMs {
		met = append(met, Conflict{0, fmt.Sprintf("the window is %s, its waves take %s", lasting(c.Window.ToMs-c.Window.FromMs), lasting(c.DurationMs()))})
	}
	for _, other := range slices.Sorted(maps.Keys(s.Entries)) {
		o := s.Entries[other]
		if span, has := s.has(o); has && other != id && s.touch(&o.Subject, &c.Subject) && span.meets(c.Window) {
			met = append(met, Conflict{other, fmt.Sprintf("%s %q has %s then", o.Kind, o.Name, o.Subject.String())})
		}
	}
	for _, fid := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[fid]
		if !s.applies(f, c) {
			continue
		}
		if spans := s.during(f, c.Window); len(spans) > 0 && len(gaps(spans, c.Window, c.DurationMs())) == 0 {
			met = append(met, Conflict{fid, fmt.Sprintf("freeze %q leaves no %s of it", f.Name, lasting(c.DurationMs()))})
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind && slices.ContainsFunc(s.full(b, id), c.Window.meets) {
			met = append(met, Conflict{0, fmt.Sprintf("%d of kind %s have part of it already, %d may be under way", b.Max, b.Kind, b.Max)})
		}
	}
	if len(met) > 0 {
		instead = s.FindFree(c, id, most)
	}
	return met, instead
}

// has is the time that an entry has part of the fleet, as far as is known.
func (s *State) has(e *Entry) (Span, bool) {
	switch {
	case e.Stage.planned() && e.Stage != Drafted:
		return Span{e.Window.FromMs, e.deadline()}, true
	case s.Holds(e) && !e.Stage.under():
		return Span{min(s.WallMs, e.Window.FromMs), s.Migrations[e.Migration].untilMs(s)}, true
	case e.Stage.under(): // one that is past its window lasts as long as its waves, at least
		return Span{min(s.WallMs, e.Window.FromMs), max(e.deadline(), s.WallMs+max(1, e.left()))}, true
	}
	return Span{}, false
}

// during lists a freeze's spans that meet a window.
func (s *State) during(f *Freeze, w Span) (spans []Span) {
	for _, p := range f.Spans {
		if p.meets(w) {
			spans = append(spans, p)
		}
	}
	if f.When.RRule != "" && w.ToMs > f.ThroughMs {
		spans = append(spans, Span{f.ThroughMs, math.Inf(1)})
	}
	return spans
}

// full lists when a budget is used up by others.
func (s *State) full(b Budget, but uint64) (spans []Span) {
	type edge struct {
		at  float64
		add int
	}
	var edges []edge
	for id, e := range s.Entries {
		if span, has := s.has(e); has && id != but && e.Kind == b.Kind {
			edges = append(edges, edge{span.FromMs, 1}, edge{span.ToMs, -1})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.add, b.add)) })
	n := 0
	for _, e := range edges {
		was := n >= b.Max
		n += e.add
		switch is := n >= b.Max; {
		case is && !was:
			spans = append(spans, Span{e.at, math.Inf(1)})
		case was && !is:
			spans[len(spans)-1].ToMs = e.at
		}
	}
	return slices.DeleteFunc(spans, func(p Span) bool { return p.FromMs >= p.ToMs })
}

// FindFree finds free time for a change, from now on: no freeze that it must heed, nobody else on its subject, no budget used up,
// and long enough for its waves. None means that there is none as far as is looked ahead.
func (s *State) FindFree(c *Change, id uint64, most int) []Span {
	ahead := Span{s.WallMs, s.WallMs + longestFor}
	var taken []Span
	for other, o := range s.Entries {
		if span, has := s.has(o); has && other != id && s.touch(&o.Subject, &c.Subject) {
			taken = append(taken, span)
		}
	}
	for _, f := range s.Freezes {
		if s.applies(f, c) {
			taken = append(taken, s.during(f, ahead)...)
		}
	}
	for _, b := range s.Budgets {
		if b.Kind == c.Kind {
			taken = append(taken, s.full(b, id)...)
		}
	}
	free := gaps(taken, ahead, c.DurationMs())
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

// lasting words a time that something takes.
func lasting(ms float64) string {
	switch m := ms / 60e3; {
	case m < 1:
		return fmt.Sprintf("%.0f s", ms/1000)
	case m < 120:
		return fmt.Sprintf("%.0f min", m)
	default:
		return fmt.Sprintf("%.1f h", m/60)
	}
}
