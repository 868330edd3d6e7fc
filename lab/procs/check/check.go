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

// Spell is a time in which something is so, ms of the day.
type Spell struct{ From, To float64 }

func (s Spell) has(t float64) bool          { return t >= s.From && t < s.To }
func (s Spell) meets(from, to float64) bool { return s.From < to && from < s.To }

// Cut is ways that let nothing through.
type Cut struct {
	Spell
	Way []bool // by from*doors+to
}

// Truth is what truly was.
type Truth struct {
	Doors  int
	Zones  []int
	Began  []float64 // when each door was first started
	Paused [][]Spell
	Dead   [][]Spell
	Left   []float64 // when it was told to leave; Never
	Cuts   []Cut
	EndMs  float64
}

// Event is one thing that one door held, or that befell it.
type Event struct {
	At    float64 `json:"at_ms"`
	Door  int     `json:"door"`  // that held it
	About int     `json:"about"` // whom
	From  string  `json:"from"`
	To    string  `json:"to"`
	Life  uint32  `json:"life"`
	Why   string  `json:"why,omitempty"`
}

// Breach is one thing that must not be.
type Breach struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at_ms"`
	Text string  `json:"text"`
}

// Limits are what is checked; 0 is not.
type Limits struct {
	KnownMs, BackMs, AgreeMs, OneMs, DoubtMs float64
	Changes                                  int // of a verdict during a cut
	AnyWrong                                 bool
}

// Rules.
const (
	WronglyAway = "nobody wrongly away"
	Known       = "deaths known"
	Back        = "the paused back"
	OneChange   = "one change of verdict"
	Agree       = "one verdict at all that hear"
	OneView     = "one view"
	NotRaised   = "nobody raised from the dead"
	Doubted     = "not blind to a cut"
)

// Figures are what was measured on the way.
type Figures struct {
	DetectionMs    []float64 `json:"known_ms"` // of a death, at each door
	RecoveryMs     []float64 `json:"back_ms"`  // of waking, at each door
	ConvergenceMs  float64   `json:"one_ms"`   // from the last fault's end to one view; -1 where it never came
	VerdictChanges int       `json:"changes"`  // most of one verdict during a cut
	FalseAway      int       `json:"wrong"`    // healthy members held to be away
	SuspicionMs    float64   `json:"doubt_ms"` // from a cut's beginning to the first doubt of one cut off in part; -1 for none
}

// Quantile returns a quantile, 0 to 100, of some figures; 0 of none.
func Quantile(of []float64, q float64) float64 {
	if len(of) == 0 {
		return 0
	}
	s := slices.Clone(of)
	sort.Float64s(s)
	return s[min(len(s)-1, int(q/100*float64(len(s))))]
}

const (
	pauseLong = 1000.0 // ms of a pause from which a member may be held to be away,
	aftermath = 4000.0 // and for so long after it, or after a death or a cut, ms: news is on its way
	hearLeast = 0.5    // share of the others that a door must be able to hear, to count as one that can
	partLeast = 0.3    // share of the ways from a member that make it cut off in part,
	wholeMost = 0.7    // and at which it may be held to be away
	quantile  = 99.0
)

// view is who holds what, as time passes.
type view struct {
	n  int
	at [][]string // by door, by whom
}

func newView(n int) *view {
	v := &view{n: n, at: make([][]string, n)}
	for i := range v.at {
		v.at[i] = make([]string, n)
	}
	return v
}

func (v *view) take(e *Event) {
	if e.From == "born" { // a new process knows nobody
		clear(v.at[e.Door])
		return
	}
	v.at[e.Door][e.About] = e.To
}

// stands tells whether a state counts as being here.
func stands(state string) bool { return state == "here" || state == "doubted" || state == "leaving" }

func (t *Truth) in(of [][]Spell, d int, at float64) bool {
	return slices.ContainsFunc(of[d], func(s Spell) bool { return s.has(at) })
}

// up tells whether a door's process runs.
func (t *Truth) up(d int, at float64) bool {
	return at >= t.Began[d] && !t.in(t.Dead, d, at) && at < t.Left[d]
}

// well tells whether a door ran without a long stop all through a time.
func (t *Truth) well(d int, from, to float64) bool {
	if from < t.Began[d] || to >= t.Left[d] {
		return false
	}
	for _, s := range t.Dead[d] {
		if s.meets(from, to) {
			return false
		}
	}
	for _, s := range t.Paused[d] {
		if s.To-s.From > pauseLong && s.meets(from, to) {
			return false
		}
	}
	return true
}

// cut tells whether the way from one door to another was cut at some moment of a time.
func (t *Truth) cut(a, b int, from, to float64) bool {
	for i := range t.Cuts {
		if c := &t.Cuts[i]; c.Way[a*t.Doors+b] && c.meets(from, to) {
			return true
		}
	}
	return false
}

// cutOff is the share of the other doors that are up whom a door could not reach, or not hear, at some moment of a time.
func (t *Truth) cutOff(d int, from, to float64) (out, in float64) {
	n := 0.0
	for o := range t.Doors {
		if o == d || !t.up(o, from) {
			continue
		}
		n++
		if t.cut(d, o, from, to) {
			out++
		}
		if t.cut(o, d, from, to) {
			in++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return out / n, in / n
}

// lastFault is when the last fault was over.
func (t *Truth) lastFault() (last float64) {
	see := func(at float64) {
		if !math.IsInf(at, 1) {
			last = max(last, at)
		}
	}
	for d := range t.Doors {
		see(t.Left[d])
		see(t.Began[d])
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

// Judge holds a history, in the order of time, against the truth.
func Judge(t *Truth, history []Event, l Limits) (breaches []Breach, f Figures) {
	f.ConvergenceMs, f.SuspicionMs = -1, -1
	add := func(rule string, at float64, format string, args ...any) {
		breaches = append(breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
	}
	wrongly(t, history, &f, func(e *Event, why string) {
		if !l.AnyWrong {
			add(WronglyAway, e.At, "door %d held door %d to be away, which %s", e.Door, e.About, why)
		}
	})
	raised(t, history, func(e *Event) {
		add(NotRaised, e.At, "door %d held door %d, dead by then, to be %s after %s", e.Door, e.About, e.To, e.From)
	})
	known(t, history, l, &f, add)
	back(t, history, l, &f, add)
	cuts(t, history, l, &f, add)
	oneView(t, history, l, &f, add)
	return breaches, f
}

type adder func(rule string, at float64, format string, args ...any)

// wrongly looks for members that were well and reachable and held to be away all the same.
func wrongly(t *Truth, history []Event, f *Figures, tell func(*Event, string)) {
	for i := range history {
		e := &history[i]
		if e.To != "away" || e.Door == e.About {
			continue
		}
		from := max(0, e.At-aftermath)
		if !t.well(e.About, from, e.At) || !t.up(e.Door, e.At) {
			continue
		}
		if t.cut(e.Door, e.About, from, e.At) || t.cut(e.About, e.Door, from, e.At) {
			continue // the two can't reach each other
		}
		if out, in := t.cutOff(e.About, from, e.At); max(out, in) > partLeast {
			continue
		}
		// A door on one side of a cut hears of the other side only from those who reach it.
		if out, in := t.cutOff(e.Door, from, e.At); max(out, in) > partLeast {
			continue
		}
		f.FalseAway++
		tell(e, "was well and reachable")
	}
}

// raised looks for the dead that somebody held to be here after having held them to be away.
func raised(t *Truth, history []Event, tell func(*Event)) {
	for i := range history {
		e := &history[i]
		if (e.From == "away" || e.From == "left") && (stands(e.To) || e.To == "joining") && !t.well(e.About, max(0, e.At-aftermath), e.At) &&
			!t.upWithin(e.About, e.At-aftermath, e.At) {
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

// known looks how long a death for good, or for long, took to be known at each door that was well.
func known(t *Truth, history []Event, l Limits, f *Figures, add adder) {
	if l.KnownMs == 0 {
		return
	}
	const look = 10e3
	first := len(f.DetectionMs)
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
					v.take(e)
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
				if o != d && t.well(o, max(0, s.From-aftermath), s.From+look) && !t.cut(d, o, s.From, s.From+look) && stands(v.at[o][d]) {
					f.DetectionMs = append(f.DetectionMs, told[o])
				}
			}
		}
	}
	if len(f.DetectionMs) == first {
		add(Known, 0, "no death was long enough, or seen by a door that was well")
	} else if at := Quantile(f.DetectionMs, quantile); at > l.KnownMs {
		add(Known, 0, "99 in 100 are known after %.0f ms, over %.0f", at, l.KnownMs)
	}
}

// back looks how long after waking one that was paused is held to be here again.
func back(t *Truth, history []Event, l Limits, f *Figures, add adder) {
	if l.BackMs == 0 {
		return
	}
	const look = 10e3
	for d := range t.Doors {
		for _, s := range t.Paused[d] {
			if s.To-s.From <= pauseLong || s.To+look > t.EndMs {
				continue
			}
			v := newView(t.Doors)
			late := make([]float64, t.Doors)
			for i := range history {
				e := &history[i]
				if e.At > s.To+look {
					break
				}
				if e.At > s.To && e.About == d && !stands(v.at[e.Door][d]) && stands(e.To) {
					late[e.Door] = e.At - s.To
				}
				v.take(e)
			}
			for o := range t.Doors {
				if o == d || !t.well(o, s.From, s.To+look) || !t.well(d, s.To, s.To+look) {
					continue
				}
				if !stands(v.at[o][d]) {
					late[o] = Never
				}
				if f.RecoveryMs = append(f.RecoveryMs, late[o]); late[o] > l.BackMs {
					add(Back, s.To, "door %d held door %d to be here again %.0f ms after it woke, over %.0f", o, d, late[o], l.BackMs)
				}
			}
		}
	}
}

// cuts looks for verdicts that change more than once, differ, or never come, while a cut lasts.
func cuts(t *Truth, history []Event, l Limits, f *Figures, add adder) {
	if l.AgreeMs == 0 {
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
		agreed := c.From + l.AgreeMs
		differ := func(at float64) {
			for d := range t.Doors {
				held, by := "", -1
				for o := range t.Doors {
					if _, in := t.cutOff(o, c.From, at); o == d || in > hearLeast || !t.well(o, c.From, at) || t.cut(d, o, c.From, at) && t.cut(o, d, c.From, at) {
						continue
					}
					is := "away"
					if stands(v.at[o][d]) {
						is = "here"
					}
					if held == "" {
						held, by = is, o
					} else if held != is {
						add(Agree, at, "of door %d, door %d holds that it is %s and door %d that it is %s (%s)", d, by, held, o, is, v.at[o][d])
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
					if out, in := t.cutOff(e.About, c.From, e.At); max(out, in) >= partLeast && f.SuspicionMs < 0 {
						f.SuspicionMs = e.At - c.From
					}
				}
				if a, b := stands(e.From), stands(e.To); a != b && e.From != "unknown" && t.well(e.About, c.From, e.At) && t.well(e.Door, c.From, e.At) {
					changes[e.Door][e.About]++
					f.VerdictChanges = max(f.VerdictChanges, changes[e.Door][e.About])
					if most := max(1, l.Changes); changes[e.Door][e.About] == most+1 {
						add(OneChange, e.At, "door %d changed its verdict on door %d more than %d times during one cut", e.Door, e.About, most)
					}
				}
			}
			v.take(e)
		}
		if end > agreed {
			differ(end)
		}
	}
	if l.DoubtMs > 0 && (f.SuspicionMs < 0 || f.SuspicionMs > l.DoubtMs) {
		add(Doubted, 0, "one cut off in part was first doubted after %.0f ms (-1: never), over %.0f", f.SuspicionMs, l.DoubtMs)
	}
}

// oneView looks whether, so long after the last fault, every door holds of every other what is true, and goes on to.
func oneView(t *Truth, history []Event, l Limits, f *Figures, add adder) {
	if l.OneMs == 0 {
		return
	}
	v := newView(t.Doors)
	last := t.lastFault()
	wrong := func(o, d int) bool {
		if o == d || !t.up(o, t.EndMs) {
			return false
		}
		return stands(v.at[o][d]) != t.up(d, t.EndMs)
	}
	pairs := 0
	i := 0
	for ; i < len(history) && history[i].At <= last; i++ {
		v.take(&history[i])
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
			v.take(e)
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
		v.take(e)
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
	f.ConvergenceMs = one
	if math.IsInf(one, 1) {
		f.ConvergenceMs = -1
	}
	if one > l.OneMs {
		for o := range t.Doors {
			for d := range t.Doors {
				if wrong(o, d) {
					add(OneView, t.EndMs, "at the end door %d holds door %d to be %q; %d such pairs", o, d, v.at[o][d], pairs)
					return
				}
			}
		}
		add(OneView, last+one, "there was one view only %.0f ms after the last fault, over %.0f", one, l.OneMs)
	}
}
