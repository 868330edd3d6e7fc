// Package check judges a history of what the doors of a fleet held of each other against what truly was. It shares no code
// with what it judges, knows true times, and asks no door.
package check

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Never is a time that doesn't come.
var Never = math.Inf(1)

// Interval is a time in which something is so, ms of the day.
type Interval struct{ From, To float64 }

func (s Interval) contains(t float64) bool        { return t >= s.From && t < s.To }
func (s Interval) overlaps(from, to float64) bool { return s.From < to && from < s.To }

// Cut is ways that let nothing through.
type Cut struct {
	Interval
	Links []bool // by from*doors+to
}

// Truth is what truly was.
type Truth struct {
	Doors     int
	Zones     []int
	StartedAt []float64 // when each door was first started
	Paused    [][]Interval
	Dead      [][]Interval
	LeaveAt   []float64 // when it was told to leave; Never
	Cuts      []Cut
	EndMs     float64
}

// Event is one thing that one door held, or that befell it.
type Event struct {
	At          float64 `json:"at_ms"`
	Door        int     `json:"door"`  // that held it
	About       int     `json:"about"` // whom
	From        string  `json:"from"`
	To          string  `json:"to"`
	Incarnation uint32  `json:"life"`
	Reason      string  `json:"why,omitempty"`
}

// Violation is one thing that must not be.
type Violation struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at_ms"`
	Text string  `json:"text"`
}

// Limits are what is checked; 0 is not.
type Limits struct {
	DetectionMs, RecoveryMs, AgreementMs, ConvergenceMs, SuspicionMs float64
	VerdictChanges                                                   int // of a verdict during a cut
	AllowFalseAway                                                   bool
}

// Rules.
const (
	RuleNoFalseAway         = "nobody wrongly away"
	RuleDeathsDetected      = "deaths known"
	RulePausedRecover       = "the paused back"
	RuleStableVerdict       = "one change of verdict"
	RuleAgreement           = "one verdict at all that hear"
	RuleConvergence         = "one view"
	RuleNoResurrection      = "nobody raised from the dead"
	RulePartialCutSuspected = "not blind to a cut"
)

// Figures are what was measured on the way.
type Figures struct {
	Known   []float64 `json:"known_ms"` // of a death, at each door
	Back    []float64 `json:"back_ms"`  // of waking, at each door
	One     float64   `json:"one_ms"`   // from the last fault's end to one view; -1 where it never came
	Changes int       `json:"changes"`  // most of one verdict during a cut
	Wrong   int       `json:"wrong"`    // healthy members held to be away
	Doubt   float64   `json:"doubt_ms"` // from a cut's beginning to the first doubt of one cut off in part; -1 for none
}

// At returns a quantile, 0 to 100, of some figures; 0 of none.
func At(of []float64, q float64) float64 {
	if len(of) == 0 {
		return 0
	}
	s := slices.Clone(of)
	sort.Float64s(s)
	return s[min(len(s)-1, int(q/100*float64(len(s))))]
}

const (
	longPauseMs       = 1000.0 // ms of a pause from which a member may be held to be away,
	settleMs          = 4000.0 // and for so long after it, or after a death or a cut, ms: news is on its way
	maxIncomingCut    = 0.5    // share of the others that a door must be able to hear, to count as one that can
	minPartialCut     = 0.3    // share of the ways from a member that make it cut off in part,
	maxPartialCut     = 0.7    // and at which it may be held to be away
	detectionQuantile = 99.0
)

// view is who holds what, as time passes.
type view struct {
	n      int
	states [][]string // by door, by whom
}

func newView(n int) *view {
	v := &view{n: n, states: make([][]string, n)}
	for i := range v.states {
		v.states[i] = make([]string, n)
	}
	return v
}

func (v *view) apply(e *Event) {
	if e.From == "born" { // a new process knows nobody
		clear(v.states[e.Door])
		return
	}
	v.states[e.Door][e.About] = e.To
}

// countsAsHere tells whether a state counts as being here.
func countsAsHere(state string) bool {
	return state == "here" || state == "doubted" || state == "leaving"
}

func (t *Truth) during(of [][]Interval, d int, at float64) bool {
	return slices.ContainsFunc(of[d], func(s Interval) bool { return s.contains(at) })
}

// up tells whether a door's process runs.
func (t *Truth) up(d int, at float64) bool {
	return at >= t.StartedAt[d] && !t.during(t.Dead, d, at) && at < t.LeaveAt[d]
}

// healthy tells whether a door ran without a long stop all through a time.
func (t *Truth) healthy(d int, from, to float64) bool {
	if from < t.StartedAt[d] || to >= t.LeaveAt[d] {
		return false
	}
	for _, s := range t.Dead[d] {
		if s.overlaps(from, to) {
			return false
		}
	}
	for _, s := range t.Paused[d] {
		if s.To-s.From > longPauseMs && s.overlaps(from, to) {
			return false
		}
	}
	return true
}

// cutWithin tells whether the way from one door to another was cutWithin at some moment of a time.
func (t *Truth) cutWithin(a, b int, from, to float64) bool {
	for i := range t.Cuts {
		if c := &t.Cuts[i]; c.Links[a*t.Doors+b] && c.overlaps(from, to) {
			return true
		}
	}
	return false
}

// cutShares is the share of the other doors that are up whom a door could not reach, or not hear, at some moment of a time.
func (t *Truth) cutShares(d int, from, to float64) (out, in float64) {
	n := 0.0
	for o := range t.Doors {
		if o == d || !t.up(o, from) {
			continue
		}
		n++
		if t.cutWithin(d, o, from, to) {
			out++
		}
		if t.cutWithin(o, d, from, to) {
			in++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return out / n, in / n
}

// lastFaultEnd is when the last fault was over.
func (t *Truth) lastFaultEnd() (last float64) {
	see := func(at float64) {
		if !math.IsInf(at, 1) {
			last = max(last, at)
		}
	}
	for d := range t.Doors {
		see(t.LeaveAt[d])
		see(t.StartedAt[d])
		for _, s := range slices.Concat(t.Paused[d], t.Dead[d]) {
			see(s.From)
			see(s.To)
		}
	}
	for _, c := range t.Cuts {
		see(c.From)
		see(c.To)
	}
	return last
}

// Verify holds a history, in the order of time, against the truth.
func Verify(t *Truth, history []Event, l Limits) (breaches []Violation, f Figures) {
	f.One, f.Doubt = -1, -1
	add := func(rule string, at float64, format string, args ...any) {
		breaches = append(breaches, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
	checkFalseAway(t, history, &f, func(e *Event, why string) {
		if !l.AllowFalseAway {
			add(RuleNoFalseAway, e.At, "door %d held door %d to be away, which %s", e.Door, e.About, why)
		}
	})
	checkResurrection(t, history, func(e *Event) {
		add(RuleNoResurrection, e.At, "door %d held door %d, dead by then, to be %s after %s", e.Door, e.About, e.To, e.From)
	})
	checkDetection(t, history, l, &f, add)
	checkRecovery(t, history, l, &f, add)
	checkCuts(t, history, l, &f, add)
	checkConvergence(t, history, l, &f, add)
	return breaches, f
}

type reportFunc func(rule string, at float64, format string, args ...any)

// checkFalseAway looks for members that were well and reachable and held to be away all the same.
func checkFalseAway(t *Truth, history []Event, f *Figures, tell func(*Event, string)) {
	for i := range history {
		e := &history[i]
		if e.To != "away" || e.Door == e.About {
			continue
		}
		from := max(0, e.At-settleMs)
		if !t.healthy(e.About, from, e.At) || !t.up(e.Door, e.At) {
			continue
		}
		if t.cutWithin(e.Door, e.About, from, e.At) || t.cutWithin(e.About, e.Door, from, e.At) {
			continue // the two can't reach each other
		}
		if out, in := t.cutShares(e.About, from, e.At); max(out, in) > minPartialCut {
			continue
		}
		// A door on one side of a cut hears of the other side only from those who reach it.
		if out, in := t.cutShares(e.Door, from, e.At); max(out, in) > minPartialCut {
			continue
		}
		f.Wrong++
		tell(e, "was well and reachable")
	}
}

// checkResurrection looks for the dead that somebody held to be here after having held them to be away.
func checkResurrection(t *Truth, history []Event, tell func(*Event)) {
	for i := range history {
		e := &history[i]
		if (e.From == "away" || e.From == "left") && (countsAsHere(e.To) || e.To == "joining") && !t.healthy(e.About, max(0, e.At-settleMs), e.At) &&
			!t.upWithin(e.About, e.At-settleMs, e.At) {
			tell(e)
		}
	}
}

// upWithin tells whether a door ran at some moment of a time.
func (t *Truth) upWithin(d int, from, to float64) bool {
	const step = 50
	for at := from; at <= to; at += step {
		if t.up(d, at) {
			return true
		}
	}
	return t.up(d, to)
}

// checkDetection looks how long a death for good, or for long, took to be checkDetection at each door that was well.
func checkDetection(t *Truth, history []Event, l Limits, f *Figures, add reportFunc) {
	if l.DetectionMs == 0 {
		return
	}
	const look = 10e3
	first := len(f.Known)
	for d := range t.Doors {
		for _, s := range t.Dead[d] {
			if s.To-s.From < look {
				continue
			}
			told := make([]float64, t.Doors)
			for i := range told {
				told[i] = Never
			}
			v := newView(t.Doors)
			for i := range history {
				e := &history[i]
				if e.At < s.From {
					v.apply(e)
					continue
				}
				if e.At > s.From+look {
					break
				}
				if e.About == d && e.To == "away" && math.IsInf(told[e.Door], 1) {
					told[e.Door] = e.At - s.From
				}
			}
			for o := range t.Doors {
				if o != d && t.healthy(o, max(0, s.From-settleMs), s.From+look) && !t.cutWithin(d, o, s.From, s.From+look) && countsAsHere(v.states[o][d]) {
					f.Known = append(f.Known, told[o])
				}
			}
		}
	}
	if len(f.Known) == first {
		add(RuleDeathsDetected, 0, "no death was long enough, or seen by a door that was well")
	} else if at := At(f.Known, detectionQuantile); at > l.DetectionMs {
		add(RuleDeathsDetected, 0, "99 in 100 are known after %.0f ms, over %.0f", at, l.DetectionMs)
	}
}

// checkRecovery looks how long after waking one that was paused is held to be here again.
func checkRecovery(t *Truth, history []Event, l Limits, f *Figures, add reportFunc) {
	if l.RecoveryMs == 0 {
		return
	}
	const look = 10e3
	for d := range t.Doors {
		for _, s := range t.Paused[d] {
			if s.To-s.From <= longPauseMs || s.To+look > t.EndMs {
				continue
			}
			v := newView(t.Doors)
			late := make([]float64, t.Doors)
			for i := range history {
				e := &history[i]
				if e.At > s.To+look {
					break
				}
				if e.At > s.To && e.About == d && !countsAsHere(v.states[e.Door][d]) && countsAsHere(e.To) {
					late[e.Door] = e.At - s.To
				}
				v.apply(e)
			}
			for o := range t.Doors {
				if o == d || !t.healthy(o, s.From, s.To+look) || !t.healthy(d, s.To, s.To+look) {
					continue
				}
				if !countsAsHere(v.states[o][d]) {
					late[o] = Never
				}
				if f.Back = append(f.Back, late[o]); late[o] > l.RecoveryMs {
					add(RulePausedRecover, s.To, "door %d held door %d to be here again %.0f ms after it woke, over %.0f", o, d, late[o], l.RecoveryMs)
				}
			}
		}
	}
}

// checkCuts looks for verdicts that change more than once, differ, or never come, while a cut lasts.
func checkCuts(t *Truth, history []Event, l Limits, f *Figures, add reportFunc) {
	if l.AgreementMs == 0 {
		return
	}
	for ci := range t.Cuts {
		c := &t.Cuts[ci]
		end := min(c.To, t.EndMs)
		v := newView(t.Doors)
		changes := make([][]int, t.Doors)
		for i := range changes {
			changes[i] = make([]int, t.Doors)
		}
		agreed := c.From + l.AgreementMs
		differ := func(at float64) {
			for d := range t.Doors {
				held, by := "", -1
				for o := range t.Doors {
					if _, in := t.cutShares(o, c.From, at); o == d || in > maxIncomingCut || !t.healthy(o, c.From, at) || t.cutWithin(d, o, c.From, at) && t.cutWithin(o, d, c.From, at) {
						continue
					}
					is := "away"
					if countsAsHere(v.states[o][d]) {
						is = "here"
					}
					if held == "" {
						held, by = is, o
					} else if held != is {
						add(RuleAgreement, at, "of door %d, door %d holds that it is %s and door %d that it is %s (%s)", d, by, held, o, is, v.states[o][d])
						return
					}
				}
			}
		}
		looked := false
		for i := range history {
			e := &history[i]
			if !looked && e.At >= agreed {
				looked = true
				differ(agreed)
			}
			if e.At >= end {
				break
			}
			if e.At > c.From && e.Door != e.About {
				if e.To == "doubted" || e.To == "away" {
					if out, in := t.cutShares(e.About, c.From, e.At); max(out, in) >= minPartialCut && f.Doubt < 0 {
						f.Doubt = e.At - c.From
					}
				}
				if a, b := countsAsHere(e.From), countsAsHere(e.To); a != b && e.From != "unknown" && t.healthy(e.About, c.From, e.At) && t.healthy(e.Door, c.From, e.At) {
					changes[e.Door][e.About]++
					f.Changes = max(f.Changes, changes[e.Door][e.About])
					if most := max(1, l.VerdictChanges); changes[e.Door][e.About] == most+1 {
						add(RuleStableVerdict, e.At, "door %d changed its verdict on door %d more than %d times during one cut", e.Door, e.About, most)
					}
				}
			}
			v.apply(e)
		}
		if end > agreed {
			differ(end)
		}
	}
	if l.SuspicionMs > 0 && (f.Doubt < 0 || f.Doubt > l.SuspicionMs) {
		add(RulePartialCutSuspected, 0, "one cut off in part was first doubted after %.0f ms (-1: never), over %.0f", f.Doubt, l.SuspicionMs)
	}
}

// checkConvergence looks whether, so long after the last fault, every door holds of every other what is true, and goes on to.
func checkConvergence(t *Truth, history []Event, l Limits, f *Figures, add reportFunc) {
	if l.ConvergenceMs == 0 {
		return
	}
	v := newView(t.Doors)
	last := t.lastFaultEnd()
	wrong := func(o, d int) bool {
		if o == d || !t.up(o, t.EndMs) {
			return false
		}
		return countsAsHere(v.states[o][d]) != t.up(d, t.EndMs)
	}
	pairs := 0
	i := 0
	for ; i < len(history) && history[i].At <= last; i++ {
		v.apply(&history[i])
	}
	for o := range t.Doors {
		for d := range t.Doors {
			if wrong(o, d) {
				pairs++
			}
		}
	}
	one := 0.0
	if pairs > 0 {
		one = Never
	}
	for ; i < len(history) && history[i].At <= t.EndMs; i++ {
		e := &history[i]
		if e.Door == e.About && e.From != "born" {
			continue
		}
		if e.From == "born" {
			v.apply(e)
			pairs = 0
			for o := range t.Doors {
				for d := range t.Doors {
					if wrong(o, d) {
						pairs++
					}
				}
			}
			continue
		}
		was := wrong(e.Door, e.About)
		v.apply(e)
		if is := wrong(e.Door, e.About); is && !was {
			pairs++
		} else if was && !is {
			pairs--
		}
		if pairs > 0 {
			one = Never
		} else if math.IsInf(one, 1) {
			one = e.At - last
		}
	}
	f.One = one
	if math.IsInf(one, 1) {
		f.One = -1
	}
	if one > l.ConvergenceMs {
		for o := range t.Doors {
			for d := range t.Doors {
				if wrong(o, d) {
					add(RuleConvergence, t.EndMs, "at the end door %d holds door %d to be %q; %d such pairs", o, d, v.states[o][d], pairs)
					return
				}
			}
		}
		add(RuleConvergence, last+one, "there was one view only %.0f ms after the last fault, over %.0f", one, l.ConvergenceMs)
	}
}
