package calendar

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/teambition/rrule-go"
)

// Policies of a freeze for entries that are running when it begins.
const (
	HaltAfterWave  = "finish wave" // the entry finishes its wave, then it is halted until the freeze is over
	RollBackAtOnce = "send back"   // the entry is rolled back at once; one without a rollback finishes its wave
)

// Freeze is a set of spans in which changes of some kinds on a subject must not start. The spans are part of the command that sets the
// freeze, expanded by whoever issues it: coordinators whose time zone databases differ would otherwise disagree about them.
type Freeze struct {
	ID            uint64     `json:"id"`
	Revision      uint64     `json:"revision"`
	Name          string     `json:"name"`
	Kinds         []Kind     `json:"kinds,omitempty"` // empty for all
	Subject       Subject    `json:"subject"`
	When          Recurrence `json:"when"`
	Spans         []Span     `json:"spans"`      // sorted, without overlaps
	ThroughMs     float64    `json:"through_ms"` // end of the expansion; a recurring freeze is taken to last from there on
	RunningPolicy string     `json:"sends"`      // HaltAfterWave or RollBackAtOnce
	Who           string     `json:"who"`
	Why           string     `json:"why"`
}

// Recurrence defines when a freeze begins and how long it lasts, in the local time of a time zone.
type Recurrence struct {
	Begin    string `json:"begin"`           // local time, as 2026-12-24T18:00
	Minutes  int    `json:"minutes"`         // in local time: 18:00 plus 720 ends at 06:00 even if the clocks change in between
	RRule    string `json:"every,omitempty"` // RFC 5545 RRULE, with UNTIL in local time; empty for a single occurrence
	TimeZone string `json:"in"`              // IANA time zone, as Europe/Lisbon
}

// localTimeLayout is the layout of local times, for package time.
const localTimeLayout = "2006-01-02T15:04"

// ParseLocalTime converts a local time to ms since 1970 UTC. A local time that a clock change skips becomes the instant of the change.
// If it occurs twice, second selects the second occurrence.
func ParseLocalTime(local string, in *time.Location, second bool) (ms float64, err error) {
	wall, err := time.Parse(localTimeLayout, local)
	if err != nil {
		return 0, &FormError{"time", fmt.Sprintf("%q, one as %s is wanted", local, localTimeLayout)}
	}
	return resolveLocal(wall, in, second), nil
}

// resolveLocal is ParseLocalTime for a local time that is given as if it were UTC.
func resolveLocal(wall time.Time, in *time.Location, second bool) float64 {
	offset := func(t time.Time) time.Duration {
		_, s := t.In(in).Zone()
		return time.Duration(s) * time.Second
	}
	var matches []time.Time // instants at which local clocks show wall
	before, after := offset(wall.Add(-24*time.Hour)), offset(wall.Add(24*time.Hour))
	for _, o := range []time.Duration{before, after} {
		if t := wall.Add(-o); offset(t) == o && !slices.ContainsFunc(matches, t.Equal) {
			matches = append(matches, t)
		}
	}
	switch {
	case len(matches) == 0: // skipped: with the offset from before the change, wall is past it
		from, _ := wall.Add(-before).In(in).ZoneBounds()
		return float64(from.UnixMilli())
	case len(matches) == 2 && matches[1].Before(matches[0]):
		matches[0], matches[1] = matches[1], matches[0]
	}
	if second {
		return float64(matches[len(matches)-1].UnixMilli())
	}
	return float64(matches[0].UnixMilli())
}

// ParseWindow returns the span between two local times. Of its possible readings it is the shortest: a local time that occurs twice is
// read as the second occurrence at the start and the first at the end.
func ParseWindow(from, to string, in *time.Location) (w Span, err error) {
	if w.FromMs, err = ParseLocalTime(from, in, true); err != nil {
		return w, err
	}
	w.ToMs, err = ParseLocalTime(to, in, false)
	return w, err
}

// Spans expands the recurrence into the spans from fromMs through throughMs, with overlapping and adjacent ones merged. Of its possible
// readings each span is the longest: a local time that occurs twice is read as the first occurrence at the start and the second at the
// end.
func (r *Recurrence) Spans(in *time.Location, fromMs, throughMs float64) (spans []Span, err error) {
	begin, err := time.Parse(localTimeLayout, r.Begin)
	if err != nil {
		return nil, &FormError{"when.begin", fmt.Sprintf("%q, one as %s is wanted", r.Begin, localTimeLayout)}
	}
	if r.Minutes < 1 || float64(r.Minutes)*60e3 > horizonMs {
		return nil, &FormError{"when.minutes", fmt.Sprintf("%d, 1 to %.0f are wanted", r.Minutes, horizonMs/60e3)}
	}
	duration := time.Duration(r.Minutes) * time.Minute
	begins := []time.Time{begin}
	if r.RRule != "" {
		o, err := rrule.StrToROption(r.RRule)
		if err != nil {
			return nil, &FormError{"when.every", err.Error()}
		}
		if o.Freq > rrule.HOURLY || !o.Dtstart.IsZero() {
			return nil, &FormError{"when.every", "it recurs hourly at most, and has no DTSTART of its own"}
		}
		o.Dtstart = begin // local times are expanded as if they were UTC; resolveLocal handles clock changes
		rule, err := rrule.NewRRule(*o)
		if err != nil {
			return nil, &FormError{"when.every", err.Error()}
		}
		day := 24 * time.Hour // upper bound of the difference between local time and UTC
		begins = rule.Between(time.UnixMilli(int64(fromMs)).UTC().Add(-duration-day), time.UnixMilli(int64(throughMs)).UTC().Add(day), true)
	}
	for _, b := range begins {
		span := Span{resolveLocal(b, in, false), resolveLocal(b.Add(duration), in, true)}
		if n := len(spans); span.FromMs >= span.ToMs { // entirely within a skipped hour
			continue
		} else if n > 0 && span.FromMs <= spans[n-1].ToMs {
			spans[n-1].ToMs = max(spans[n-1].ToMs, span.ToMs)
		} else if span.ToMs > fromMs && span.FromMs < throughMs || r.RRule == "" {
			spans = append(spans, span)
		}
	}
	if len(spans) > maxFreezeSpans {
		return nil, &FormError{"when.every", fmt.Sprintf("%d times, at most %d are wanted", len(spans), maxFreezeSpans)}
	}
	return spans, nil
}

// ExpandSpans expands a freeze's recurrence from nowMs up to the horizon.
func (f *Freeze) ExpandSpans(in *time.Location, nowMs float64) (err error) {
	f.ThroughMs = nowMs + horizonMs
	f.Spans, err = f.When.Spans(in, nowMs, f.ThroughMs)
	return err
}

// spanAt returns the span that contains an instant. A recurring freeze is taken to last from the end of its expansion on.
func (f *Freeze) spanAt(ms float64) (Span, bool) {
	if f.When.RRule != "" && ms >= f.ThroughMs {
		return Span{f.ThroughMs, math.Inf(1)}, true
	}
	i := sort.Search(len(f.Spans), func(i int) bool { return f.Spans[i].ToMs > ms })
	if i < len(f.Spans) && f.Spans[i].contains(ms) {
		return f.Spans[i], true
	}
	return Span{}, false
}

// endMs returns the end of the span that contains an instant, at most the horizon after it.
func (f *Freeze) endMs(ms float64) float64 {
	s, _ := f.spanAt(ms)
	return min(s.ToMs, ms+horizonMs) // past the expansion the end is infinite, which JSON cannot encode
}

// freezeApplies reports whether a freeze applies to the kind and the subject of a change.
func (s *State) freezeApplies(f *Freeze, c *Change) bool {
	return (len(f.Kinds) == 0 || slices.Contains(f.Kinds, c.Kind)) && s.subjectsOverlap(&f.Subject, &c.Subject)
}

// activeFreeze returns the freeze that applies to an entry at an instant, nil if none does. Of several it prefers one that rolls entries
// back, then the lowest ID. No freeze applies to an emergency.
func (s *State) activeFreeze(e *Entry, ms float64) (found *Freeze) {
	if e.Emergency != nil {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[id]
		if _, active := f.spanAt(ms); active && s.freezeApplies(f, &e.Change) && (found == nil || f.RunningPolicy == RollBackAtOnce && found.RunningPolicy != RollBackAtOnce) {
			found = f
		}
	}
	return found
}

// freezeAtRevision returns the freeze with the given ID, which must be at revision rev.
func (s *State) freezeAtRevision(id, rev uint64) (*Freeze, error) {
	f := s.Freezes[id]
	if f == nil {
		return nil, &UnknownError{"freeze", id}
	}
	if f.Revision != rev {
		return nil, &ChangedError{"freeze", id, rev, f.Revision, s.lastAction(id)}
	}
	return f, nil
}

// setFreeze adds a freeze or replaces an existing one.
func (s *State) setFreeze(c SetFreeze) (uint64, error) {
	f := c.Freeze
	form := func(key, detail string) error { return &FormError{key, detail} }
	switch {
	case f.Name == "" || len(f.Name) > maxNameBytes:
		return 0, form("name", fmt.Sprintf("1 to %d bytes are wanted", maxNameBytes))
	case f.Who == "" || f.Why == "":
		return 0, form("why", "a freeze needs a name and a reason")
	case f.RunningPolicy != HaltAfterWave && f.RunningPolicy != RollBackAtOnce:
		return 0, form("sends", fmt.Sprintf("%q, %q or %q is wanted", f.RunningPolicy, HaltAfterWave, RollBackAtOnce))
	}
	for _, k := range f.Kinds {
		if !slices.Contains(allKinds, k) {
			return 0, form("kinds", fmt.Sprintf("%q is none", k))
		}
	}
	if err := f.Subject.check("subject"); err != nil {
		return 0, err
	}
	if err := checkSpans(f.Spans); err != nil {
		return 0, err
	}
	f.ID, f.Revision = c.ID, 1
	if c.ID != 0 {
		old, err := s.freezeAtRevision(c.ID, c.Revision)
		if err != nil {
			return 0, err
		}
		f.Revision = old.Revision + 1
	} else {
		f.ID = s.NextID
		s.NextID++
	}
	f.Spans = slices.Clone(f.Spans)
	s.Freezes[f.ID] = &f
	s.recordEvent(f.ID, "freeze: "+f.Name, f.Who, f.Why)
	return f.ID, nil
}

// checkSpans validates that spans are sorted, do not overlap and are not too many.
func checkSpans(spans []Span) error {
	for i, p := range spans {
		if !(p.FromMs < p.ToMs) || i > 0 && p.FromMs < spans[i-1].ToMs {
			return &FormError{fmt.Sprintf("spans[%d]", i), "they must be sorted, apart, and end after they begin"}
		}
	}
	if len(spans) > maxFreezeSpans {
		return &FormError{"spans", fmt.Sprintf("%d, at most %d are wanted", len(spans), maxFreezeSpans)}
	}
	return nil
}

// extend replaces the expanded spans of a freeze.
func (s *State) extend(c ExtendFreeze) (uint64, error) {
	f, err := s.freezeAtRevision(c.ID, c.Revision)
	if err != nil {
		return 0, err
	}
	if err := checkSpans(c.Spans); err != nil {
		return 0, err
	}
	if c.ThroughMs < f.ThroughMs {
		return 0, &FormError{"through_ms", "it is known further ahead"}
	}
	f.Spans, f.ThroughMs = slices.Clone(c.Spans), c.ThroughMs
	return f.ID, nil
}

// FreezesToExtend lists the recurring freezes whose expansion ends within half the horizon, by ID.
func (s *State) FreezesToExtend() (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		if f := s.Freezes[id]; f.When.RRule != "" && f.ThroughMs-s.WallMs < horizonMs/2 {
			ids = append(ids, id)
		}
	}
	return ids
}
