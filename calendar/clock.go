package calendar

import (
	"fmt"
	"maps"
	"slices"
)

// Agreed time. One coordinator's clock may be wrong by any amount, and it may lead: its word alone starts nothing and misses
// nothing. What a majority's clocks show, within some seconds, is the time; without one there is doubt, and time stands still.

const noClock = "no majority of the coordinators has told its clock"

func (s *State) clock(c ReportClock) error {
	if c.Name == "" || c.Size < 1 || !(c.WallMs >= 0) {
		return &FormError{"clock", "a name, a time and a number of coordinators are wanted"}
	}
	s.Size = c.Size
	s.Readings[c.Name] = Reading{c.WallMs - s.NowMs, s.NowMs}
	s.tell()
	return nil
}

// tell works out the agreed time.
func (s *State) tell() {
	maps.DeleteFunc(s.Readings, func(_ string, r Reading) bool { return s.NowMs-r.AtMs > readingFor })
	var offsets []float64
	for _, r := range s.Readings {
		offsets = append(offsets, r.OffsetMs)
	}
	slices.Sort(offsets)
	most := s.Size/2 + 1
	for i := 0; i+most <= len(offsets); i++ {
		if offsets[i+most-1]-offsets[i] > apartMost {
			continue
		}
		at := s.NowMs + offsets[i] // the earliest of those that agree: nothing starts early
		if behind := s.WallMs - at; behind > apartMost {
			s.ClockProblem = fmt.Sprintf("the clocks are %.0f s behind what was agreed before", behind/1000)
			return
		}
		if s.WallMs == 0 {
			s.stamp(at)
		}
		s.WallMs, s.ClockProblem = max(s.WallMs, at), ""
		return
	}
	s.ClockProblem = noClock
	if len(offsets) >= most {
		s.ClockProblem = fmt.Sprintf("the coordinators' clocks differ by %.0f s", (offsets[len(offsets)-1]-offsets[0])/1000)
	}
}

// stamp has what was said before there was any agreed time count as said when it was first agreed: an approval given in the first
// seconds of a calendar's use would else be of 1970, and have lapsed.
func (s *State) stamp(at float64) {
	for _, e := range s.Entries {
		for i := range e.Approvals {
			e.Approvals[i].AtMs = max(e.Approvals[i].AtMs, at)
		}
		for name, o := range e.Observations {
			o.AtMs = max(o.AtMs, at)
			e.Observations[name] = o
		}
	}
	for i := range s.Events {
		s.Events[i].AtMs = max(s.Events[i].AtMs, at)
	}
}
