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

// What a freeze does to what is running when it begins.
const (
	HaltAfterWave  = "finish wave" // the wave ends, then it is halted until the freeze is over
	RollBackAtOnce = "send back"   // it goes back at once; one without a way back finishes its wave
)

// Freeze is when changes of some kinds on a subject don't begin. Its spans are told with it, worked out by whoever took it in:
// coordinators whose tables of time zones differ would else disagree.
type Freeze struct {
	ID            uint64     `json:"id"`
	Revision      uint64     `json:"revision"`
	Name          string     `json:"name"`
	Kinds         []Kind     `json:"kinds,omitempty"` // empty for all
	Subject       Subject    `json:"subject"`
	When          Recurrence `json:"when"`
	Spans         []Span     `json:"spans"`      // sorted, apart
	ThroughMs     float64    `json:"through_ms"` // up to which they are worked out; a recurring freeze is held to last from there on
	RunningPolicy string     `json:"sends"`
	Who           string     `json:"who"`
	Why           string     `json:"why"`
}

// Recurrence is when a freeze is, as people say it: by the clock on the wall of a place.
type Recurrence struct {
	Begin    string `json:"begin"`           // 2026-12-24T18:00, local
	Minutes  int    `json:"minutes"`         // by that clock, so that 18:00 to 06:00 ends at 06:00 whatever the night does
	RRule    string `json:"every,omitempty"` // as RFC 5545's RRULE, its UNTIL in local time; empty for once
	TimeZone string `json:"in"`              // zone by name, as Europe/Lisbon
}

const localForm = "2006-01-02T15:04"

// ParseLocalTime is the instant of a local time. One that doesn't exist is the instant at which the clocks skip it. Of one that comes
// twice it is the first or the second.
func ParseLocalTime(local string, in *time.Location, second bool) (ms float64, err error) {
	wall, err := time.Parse(localForm, local)
	if err != nil {
		return 0, &FormError{"time", fmt.Sprintf("%q, one as %s is wanted", local, localForm)}
	}
	return instant(wall, in, second), nil
}

func instant(wall time.Time, in *time.Location, second bool) float64 {
	offset := func(t time.Time) time.Duration {
		_, s := t.In(in).Zone()
		return time.Duration(s) * time.Second
	}
	var of []time.Time
	before, after := offset(wall.Add(-24*time.Hour)), offset(wall.Add(24*time.Hour))
	for _, o := range []time.Duration{before, after} {
		if t := wall.Add(-o); offset(t) == o && !slices.ContainsFunc(of, t.Equal) {
			of = append(of, t)
		}
	}
	switch {
	case len(of) == 0: // by the offset of before it would be past the skip
		from, _ := wall.Add(-before).In(in).ZoneBounds()
		return float64(from.UnixMilli())
	case len(of) == 2 && of[1].Before(of[0]):
		of[0], of[1] = of[1], of[0]
	}
	if second {
		return float64(of[len(of)-1].UnixMilli())
	}
	return float64(of[0].UnixMilli())
}

// ParseWindow is a window between two local times. It is as short as they can mean: in an hour that comes twice it begins with the
// second and ends with the first.
func ParseWindow(from, to string, in *time.Location) (w Span, err error) {
	if w.FromMs, err = ParseLocalTime(from, in, true); err != nil {
		return w, err
	}
	w.ToMs, err = ParseLocalTime(to, in, false)
	return w, err
}

// Spans works out when a freeze is, from an instant through another. It is as long as local times can mean: in an hour that
// comes twice it begins with the first and ends with the second.
func (r *Recurrence) Spans(in *time.Location, fromMs, throughMs float64) (spans []Span, err error) {
	begin, err := time.Parse(localForm, r.Begin)
	if err != nil {
		return nil, &FormError{"when.begin", fmt.Sprintf("%q, one as %s is wanted", r.Begin, localForm)}
	}
	if r.Minutes < 1 || float64(r.Minutes)*60e3 > longestFor {
		return nil, &FormError{"when.minutes", fmt.Sprintf("%d, 1 to %.0f are wanted", r.Minutes, longestFor/60e3)}
	}
	lasts := time.Duration(r.Minutes) * time.Minute
	begins := []time.Time{begin}
	if r.RRule != "" {
		o, err := rrule.StrToROption(r.RRule)
		if err != nil {
			return nil, &FormError{"when.every", err.Error()}
		}
		if o.Freq > rrule.HOURLY || !o.Dtstart.IsZero() {
			return nil, &FormError{"when.every", "it recurs hourly at most, and has no DTSTART of its own"}
		}
		o.Dtstart = begin // local times as if they were UTC: what the clocks do to them is decided here, not there
		rule, err := rrule.NewRRule(*o)
		if err != nil {
			return nil, &FormError{"when.every", err.Error()}
		}
		day := 24 * time.Hour // local times are up to so far from UTC's
		begins = rule.Between(time.UnixMilli(int64(fromMs)).UTC().Add(-lasts-day), time.UnixMilli(int64(throughMs)).UTC().Add(day), true)
	}
	for _, b := range begins {
		span := Span{instant(b, in, false), instant(b.Add(lasts), in, true)}
		if n := len(spans); span.FromMs >= span.ToMs { // all of it in an hour that is skipped
			continue
		} else if n > 0 && span.FromMs <= spans[n-1].ToMs {
			spans[n-1].ToMs = max(spans[n-1].ToMs, span.ToMs)
		} else if span.ToMs > fromMs && span.FromMs < throughMs || r.RRule == "" {
			spans = append(spans, span)
		}
	}
	if len(spans) > spansMost {
		return nil, &FormError{"when.every", fmt.Sprintf("%d times, at most %d are wanted", len(spans), spansMost)}
	}
	return spans, nil
}

// ExpandSpans works out a freeze's spans as far as the calendar looks.
func (f *Freeze) ExpandSpans(in *time.Location, nowMs float64) (err error) {
	f.ThroughMs = nowMs + longestFor
	f.Spans, err = f.When.Spans(in, nowMs, f.ThroughMs)
	return err
}

// at finds the span that an instant is in.
func (f *Freeze) at(ms float64) (Span, bool) {
	if f.When.RRule != "" && ms >= f.ThroughMs {
		return Span{f.ThroughMs, math.Inf(1)}, true
	}
	i := sort.Search(len(f.Spans), func(i int) bool { return f.Spans[i].ToMs > ms })
	if i < len(f.Spans) && f.Spans[i].has(ms) {
		return f.Spans[i], true
	}
	return Span{}, false
}

func (f *Freeze) until(ms float64) float64 {
	s, _ := f.at(ms)
	return min(s.ToMs, ms+longestFor) // one that is known no further ahead has no end that could be written down
}

func (s *State) applies(f *Freeze, c *Change) bool {
	return (len(f.Kinds) == 0 || slices.Contains(f.Kinds, c.Kind)) && s.touch(&f.Subject, &c.Subject)
}

// frozen finds a freeze that an entry must heed at an instant; of several, one that sends back, then the first.
func (s *State) frozen(e *Entry, ms float64) (found *Freeze) {
	if e.Emergency != nil {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		f := s.Freezes[id]
		if _, is := f.at(ms); is && s.applies(f, &e.Change) && (found == nil || f.RunningPolicy == RollBackAtOnce && found.RunningPolicy != RollBackAtOnce) {
			found = f
		}
	}
	return found
}

func (s *State) freezeAt(id, rev uint64) (*Freeze, error) {
	f := s.Freezes[id]
	if f == nil {
		return nil, &UnknownError{"freeze", id}
	}
	if f.Revision != rev {
		return nil, &ChangedError{"freeze", id, rev, f.Revision, s.last(id)}
	}
	return f, nil
}

func (s *State) setFreeze(c SetFreeze) (uint64, error) {
	f := c.Freeze
	form := func(key, says string) error { return &FormError{key, says} }
	switch {
	case f.Name == "" || len(f.Name) > nameMost:
		return 0, form("name", fmt.Sprintf("1 to %d bytes are wanted", nameMost))
	case f.Who == "" || f.Why == "":
		return 0, form("why", "a freeze needs a name and a reason")
	case f.RunningPolicy != HaltAfterWave && f.RunningPolicy != RollBackAtOnce:
		return 0, form("sends", fmt.Sprintf("%q, %q or %q is wanted", f.RunningPolicy, HaltAfterWave, RollBackAtOnce))
	}
	for _, k := range f.Kinds {
		if !slices.Contains(kinds, k) {
			return 0, form("kinds", fmt.Sprintf("%q is none", k))
		}
	}
	if err := f.Subject.check("subject"); err != nil {
		return 0, err
	}
	if err := apart(f.Spans); err != nil {
		return 0, err
	}
	f.ID, f.Revision = c.ID, 1
	if c.ID != 0 {
		old, err := s.freezeAt(c.ID, c.Revision)
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
	s.note(f.ID, "freeze: "+f.Name, f.Who, f.Why)
	return f.ID, nil
}

// apart tells what is wrong with spans that must be sorted and apart.
func apart(spans []Span) error {
	for i, p := range spans {
		if !(p.FromMs < p.ToMs) || i > 0 && p.FromMs < spans[i-1].ToMs {
			return &FormError{fmt.Sprintf("spans[%d]", i), "they must be sorted, apart, and end after they begin"}
		}
	}
	if len(spans) > spansMost {
		return &FormError{"spans", fmt.Sprintf("%d, at most %d are wanted", len(spans), spansMost)}
	}
	return nil
}

func (s *State) extend(c ExtendFreeze) (uint64, error) {
	f, err := s.freezeAt(c.ID, c.Revision)
	if err != nil {
		return 0, err
	}
	if err := apart(c.Spans); err != nil {
		return 0, err
	}
	if c.ThroughMs < f.ThroughMs {
		return 0, &FormError{"through_ms", "it is known further ahead"}
	}
	f.Spans, f.ThroughMs = slices.Clone(c.Spans), c.ThroughMs
	return f.ID, nil
}

// FreezesToExtend lists the recurring freezes that are to be worked out further ahead.
func (s *State) FreezesToExtend() (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(s.Freezes)) {
		if f := s.Freezes[id]; f.When.RRule != "" && f.ThroughMs-s.WallMs < longestFor/2 {
			ids = append(ids, id)
		}
	}
	return ids
}
