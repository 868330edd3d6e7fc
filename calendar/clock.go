package calendar

import (
	"fmt"
	"maps"
	"slices"
)

// The agreed time is what the wall clocks of a majority of the coordinators show, within maxClockSpreadMs. Any single clock may be wrong
// by any amount, even the leader's, so that one reading alone neither starts an entry nor makes it missed. Without a majority that
// agrees, the agreed time stands still and State.ClockProblem gives the reason.

const noClockMajority = "no majority of the coordinators has told its clock"

// recordClock records a coordinator's wall clock and updates the agreed time.
func (s *State) recordClock(c ReportClock) error {
	if c.Name == "" || c.Size < 1 || !(c.WallMs >= 0) {
		return &FormError{"clock", "a name, a time and a number of coordinators are wanted"}
	}
	s.Size = c.Size
	s.Readings[c.Name] = Reading{c.WallMs - s.NowMs, s.NowMs}
	s.updateAgreedTime()
	return nil
}

// updateAgreedTime drops expired readings and computes the agreed time from the others: the earliest clock of the first majority, in the
// order of their offsets, whose clocks agree. The agreed time never goes back, and stands still if that clock is behind it by more than
// maxClockSpreadMs.
func (s *State) updateAgreedTime() {
	maps.DeleteFunc(s.Readings, func(_ string, r Reading) bool { return s.NowMs-r.AtMs > readingTTLMs })
	var offsets []float64
	for _, r := range s.Readings {
		offsets = append(offsets, r.OffsetMs)
	}
	slices.Sort(offsets)
	majority := s.Size/2 + 1
	for i := 0; i+majority <= len(offsets); i++ {
		if offsets[i+majority-1]-offsets[i] > maxClockSpreadMs {
			continue
		}
		at := s.NowMs + offsets[i] // the earliest of the clocks that agree, so that nothing starts early
		if behind := s.WallMs - at; behind > maxClockSpreadMs {
			s.ClockProblem = fmt.Sprintf("the clocks are %.0f s behind what was agreed before", behind/1000)
			return
		}
		if s.WallMs == 0 {
			s.backfillTimes(at)
		}
		s.WallMs, s.ClockProblem = max(s.WallMs, at), ""
		return
	}
	s.ClockProblem = noClockMajority
	if len(offsets) >= majority {
		s.ClockProblem = fmt.Sprintf("the coordinators' clocks differ by %.0f s", (offsets[len(offsets)-1]-offsets[0])/1000)
	}
}

// backfillTimes moves all recorded times up to the first agreed time. An approval given in the first seconds of a calendar's use, before
// any time was agreed, would otherwise be dated 1970 and have lapsed.
func (s *State) backfillTimes(at float64) {
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
