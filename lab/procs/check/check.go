// Package check verifies a history of membership verdicts, the state in which each door of a fleet considered each other door,
// against the faults that were actually injected. It shares no code with the failure detector under test, knows the true
// times, and queries no door.
package check

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Never is a time that is never reached.
var Never = math.Inf(1)

// Interval is a time span, in ms since the start of the run; To is exclusive, and Never for an open end.
type Interval struct{ From, To float64 }

func (s Interval) contains(t float64) bool        { return t >= s.From && t < s.To }
func (s Interval) overlaps(from, to float64) bool { return s.From < to && from < s.To }

// Cut is an interval during which some directed links let nothing through.
type Cut struct {
	Interval
	Links []bool // cut links, indexed by from*doors+to
}

// Truth is the ground truth of a run: the faults that were injected, by door.
type Truth struct {
	Doors     int
	Zones     []int
	StartedAt []float64    // when each door was first started, ms
	Paused    [][]Interval // when its process was stopped
	Dead      [][]Interval // from a kill to the next start
	LeaveAt   []float64    // when it was asked to leave, ms; Never if it was not
	Cuts      []Cut
	EndMs     float64
}

// Event is one change of the state in which one door considers another, or, with From "born", the start of a door's process.
type Event struct {
	At          float64 `json:"at_ms"`
	Door        int     `json:"door"`  // whose view changed
	About       int     `json:"about"` // the door that the view is of
	From        string  `json:"from"`  // the previous state, as package members names it, or "born"
	To          string  `json:"to"`
	Incarnation uint32  `json:"life"`
	Reason      string  `json:"why,omitempty"`
}

// Violation is one violation of a rule.
type Violation struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at_ms"`
	Text string  `json:"text"`
}

// Limits are the bounds that Verify checks. A time of 0 is not checked.
type Limits struct {
	// DetectionMs bounds the 99th percentile of the time from a death until each healthy door considers the member away,
	// RecoveryMs the time from the end of a pause until each considers it here again, AgreementMs the time from the start of a
	// cut until all doors that can receive agree, ConvergenceMs the time from the end of the last fault until every view is
	// correct, and SuspicionMs the time from the start of a cut until a partially cut member is suspected.
	DetectionMs, RecoveryMs, AgreementMs, ConvergenceMs, SuspicionMs float64
	VerdictChanges                                                   int  // maximum changes of one verdict during a cut; 0 for one
	AllowFalseAway                                                   bool // healthy members may be considered away
}

// Names of the rules, as violations report them.
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

// Figures are the measurements that Verify takes from a history.
type Figures struct {
	DetectionMs    []float64 `json:"known_ms"` // from a death until it was detected, for each healthy door; Never where it was not
	RecoveryMs     []float64 `json:"back_ms"`  // from the end of a pause until the member was considered here, for each door; Never where it was not
	ConvergenceMs  float64   `json:"one_ms"`   // from the end of the last fault until all views were correct; -1 if they never were
	VerdictChanges int       `json:"changes"`  // largest number of changes of one verdict during a cut
	FalseAway      int       `json:"wrong"`    // verdicts "away" on healthy, reachable members
	SuspicionMs    float64   `json:"doubt_ms"` // from the start of a cut until a partially cut member was first suspected; -1 for never
}

// Quantile returns the given percentile, 0 to 100, of some figures, and 0 if there are none.
func Quantile(of []float64, q float64) float64 {
	if len(of) == 0 {
		return 0
	}
	s := slices.Clone(of)
	sort.Float64s(s)
	return s[min(len(s)-1, int(q/100*float64(len(s))))]
}

const (
	longPauseMs       = 1000.0 // a member that was paused for longer than this, in ms, may be considered away
	settleMs          = 4000.0 // ms after a long pause, a death or a cut in which a member may be considered away: updates still propagate
	maxIncomingCut    = 0.5    // a door with a larger share of its incoming links cut doesn't count as one that can receive
	minPartialCut     = 0.3    // share of a member's links, in either direction, from which it counts as partially cut
	maxPartialCut     = 0.7    // share of a member's links, in either direction, from which it may be considered away; no check uses it
	detectionQuantile = 99.0   // percentile of the detection times that is checked
)

// view is the current state of every door in the view of every other, while a history is replayed.
type view struct {
	n      int
	states [][]string // by observing door, then by observed door
}

// newView returns a view in which no door knows any other.
func newView(n int) *view {
	v := &view{n: n, states: make([][]string, n)}
	for i := range v.states {
		v.states[i] = make([]string, n)
	}
	return v
}

// apply applies the next event of a history.
func (v *view) apply(e *Event) {
	if e.From == "born" { // a new process knows no other
		clear(v.states[e.Door])
		return
	}
	v.states[e.Door][e.About] = e.To
}

// countsAsHere reports whether a member in a state is a reachable member of the fleet.
func countsAsHere(state string) bool {
	return state == "here" || state == "doubted" || state == "leaving"
}

// during reports whether a time lies in one of a door's intervals.
func (t *Truth) during(of [][]Interval, d int, at float64) bool {
	return slices.ContainsFunc(of[d], func(s Interval) bool { return s.contains(at) })
}

// up reports whether a door's process is running, if possibly paused.
func (t *Truth) up(d int, at float64) bool {
	return at >= t.StartedAt[d] && !t.during(t.Dead, d, at) && at < t.LeaveAt[d]
}

// healthy reports whether a door ran without a long pause throughout an interval.
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

// cutWithin reports whether the link from a to b was cut at any time within an interval.
func (t *Truth) cutWithin(a, b int, from, to float64) bool {
	for i := range t.Cuts {
		if c := &t.Cuts[i]; c.Links[a*t.Doors+b] && c.overlaps(from, to) {
			return true
		}
	}
	return false
}

// cutShares returns the shares of the other running doors to which the links from a door (out), or from which the links to it
// (in), were cut at any time within an interval.
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

// lastFaultEnd returns the last time at which a fault ended, or began if it is permanent. A leave and a late start are faults.
func (t *Truth) lastFaultEnd() (last float64) {
	include := func(at float64) {
		if !math.IsInf(at, 1) {
			last = max(last, at)
		}
	}
	for d := range t.Doors {
		include(t.LeaveAt[d])
		include(t.StartedAt[d])
		for _, s := range slices.Concat(t.Paused[d], t.Dead[d]) {
			include(s.From)
			include(s.To)
		}
	}
	for _, c := range t.Cuts {
		include(c.From)
		include(c.To)
	}
	return last
}

// Verify checks a history, sorted by time, against the ground truth.
func Verify(t *Truth, history []Event, l Limits) (violations []Violation, figures Figures) {
	figures.ConvergenceMs, figures.SuspicionMs = -1, -1
	report := func(rule string, at float64, format string, args ...any) {
		violations = append(violations, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
	checkFalseAway(t, history, &figures, func(e *Event, reason string) {
		if !l.AllowFalseAway {
			report(RuleNoFalseAway, e.At, "door %d considered door %d away, which %s", e.Door, e.About, reason)
		}
	})
	checkResurrection(t, history, func(e *Event) {
		report(RuleNoResurrection, e.At, "door %d considered door %d, dead by then, to be %s after %s", e.Door, e.About, e.To, e.From)
	})
	checkDetection(t, history, l, &figures, report)
	checkRecovery(t, history, l, &figures, report)
	checkCuts(t, history, l, &figures, report)
	checkConvergence(t, history, l, &figures, report)
	return violations, figures
}

// reportFunc records a violation of a rule.
type reportFunc func(rule string, at float64, format string, args ...any)

// checkFalseAway finds members that were considered away although they were healthy and reachable.
func checkFalseAway(t *Truth, history []Event, figures *Figures, report func(*Event, string)) {
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
			continue // a cut between the two explains the verdict
		}
		if out, in := t.cutShares(e.About, from, e.At); max(out, in) > minPartialCut {
			continue
		}
		// A door on one side of a cut learns about the other side only from doors that can reach it.
		if out, in := t.cutShares(e.Door, from, e.At); max(out, in) > minPartialCut {
			continue
		}
		figures.FalseAway++
		report(e, "was healthy and reachable")
	}
}

// checkResurrection finds dead members that a door considered away or left, and later joining or here again.
func checkResurrection(t *Truth, history []Event, report func(*Event)) {
	for i := range history {
		e := &history[i]
		if (e.From == "away" || e.From == "left") && (countsAsHere(e.To) || e.To == "joining") && !t.healthy(e.About, max(0, e.At-settleMs), e.At) &&
			!t.upWithin(e.About, e.At-settleMs, e.At) {
			report(e)
		}
	}
}

// upWithin reports whether a door was up at any time within an interval, sampled every 50 ms.
func (t *Truth) upWithin(d int, from, to float64) bool {
	const step = 50
	for at := from; at <= to; at += step {
		if t.up(d, at) {
			return true
		}
	}
	return t.up(d, to)
}

// checkDetection measures how long each healthy door took to consider a member away that died for 10 s or more.
func checkDetection(t *Truth, history []Event, l Limits, figures *Figures, report reportFunc) {
	if l.DetectionMs == 0 {
		return
	}
	const windowMs = 10e3 // ms after a death in which its detection is awaited
	countBefore := len(figures.DetectionMs)
	for d := range t.Doors {
		for _, s := range t.Dead[d] {
			if s.To-s.From < windowMs {
				continue
			}
			detectedAfter := make([]float64, t.Doors)
			for i := range detectedAfter {
				detectedAfter[i] = Never
			}
			v := newView(t.Doors)
			for i := range history {
				e := &history[i]
				if e.At < s.From {
					v.apply(e)
					continue
				}
				if e.At > s.From+windowMs {
					break
				}
				if e.About == d && e.To == "away" && math.IsInf(detectedAfter[e.Door], 1) {
					detectedAfter[e.Door] = e.At - s.From
				}
			}
			for o := range t.Doors {
				if o != d && t.healthy(o, max(0, s.From-settleMs), s.From+windowMs) && !t.cutWithin(d, o, s.From, s.From+windowMs) && countsAsHere(v.states[o][d]) {
					figures.DetectionMs = append(figures.DetectionMs, detectedAfter[o])
				}
			}
		}
	}
	if len(figures.DetectionMs) == countBefore {
		report(RuleDeathsDetected, 0, "no death was long enough, or observed by a healthy door")
	} else if at := Quantile(figures.DetectionMs, detectionQuantile); at > l.DetectionMs {
		report(RuleDeathsDetected, 0, "the 99th percentile of the detection times is %.0f ms, above %.0f", at, l.DetectionMs)
	}
}

// checkRecovery measures how long after a long pause each healthy door considers the member here again.
func checkRecovery(t *Truth, history []Event, l Limits, figures *Figures, report reportFunc) {
	if l.RecoveryMs == 0 {
		return
	}
	const windowMs = 10e3 // ms after a pause in which the recovery is awaited
	for d := range t.Doors {
		for _, s := range t.Paused[d] {
			if s.To-s.From <= longPauseMs || s.To+windowMs > t.EndMs {
				continue
			}
			v := newView(t.Doors)
			recoveredAfter := make([]float64, t.Doors)
			for i := range history {
				e := &history[i]
				if e.At > s.To+windowMs {
					break
				}
				if e.At > s.To && e.About == d && !countsAsHere(v.states[e.Door][d]) && countsAsHere(e.To) {
					recoveredAfter[e.Door] = e.At - s.To
				}
				v.apply(e)
			}
			for o := range t.Doors {
				if o == d || !t.healthy(o, s.From, s.To+windowMs) || !t.healthy(d, s.To, s.To+windowMs) {
					continue
				}
				if !countsAsHere(v.states[o][d]) {
					recoveredAfter[o] = Never
				}
				if figures.RecoveryMs = append(figures.RecoveryMs, recoveredAfter[o]); recoveredAfter[o] > l.RecoveryMs {
					report(RulePausedRecover, s.To, "door %d considered door %d here again %.0f ms after the end of its pause, above %.0f", o, d, recoveredAfter[o], l.RecoveryMs)
				}
			}
		}
	}
}

// checkCuts finds verdicts that change too often or differ between doors while a cut lasts, and partially cut members that
// are not suspected in time.
func checkCuts(t *Truth, history []Event, l Limits, figures *Figures, report reportFunc) {
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
		agreeBy := c.From + l.AgreementMs
		checkAgreement := func(at float64) {
			for d := range t.Doors {
				verdict, by := "", -1
				for o := range t.Doors {
					if _, in := t.cutShares(o, c.From, at); o == d || in > maxIncomingCut || !t.healthy(o, c.From, at) || t.cutWithin(d, o, c.From, at) && t.cutWithin(o, d, c.From, at) {
						continue
					}
					current := "away"
					if countsAsHere(v.states[o][d]) {
						current = "here"
					}
					if verdict == "" {
						verdict, by = current, o
					} else if verdict != current {
						report(RuleAgreement, at, "door %d: door %d considers it %s and door %d considers it %s (%s)", d, by, verdict, o, current, v.states[o][d])
						return
					}
				}
			}
		}
		checked := false
		for i := range history {
			e := &history[i]
			if !checked && e.At >= agreeBy {
				checked = true
				checkAgreement(agreeBy)
			}
			if e.At >= end {
				break
			}
			if e.At > c.From && e.Door != e.About {
				if e.To == "doubted" || e.To == "away" {
					if out, in := t.cutShares(e.About, c.From, e.At); max(out, in) >= minPartialCut && figures.SuspicionMs < 0 {
						figures.SuspicionMs = e.At - c.From
					}
				}
				if a, b := countsAsHere(e.From), countsAsHere(e.To); a != b && e.From != "unknown" && t.healthy(e.About, c.From, e.At) && t.healthy(e.Door, c.From, e.At) {
					changes[e.Door][e.About]++
					figures.VerdictChanges = max(figures.VerdictChanges, changes[e.Door][e.About])
					if limit := max(1, l.VerdictChanges); changes[e.Door][e.About] == limit+1 {
						report(RuleStableVerdict, e.At, "door %d changed its verdict on door %d more than %d times during a cut", e.Door, e.About, limit)
					}
				}
			}
			v.apply(e)
		}
		if end > agreeBy {
			checkAgreement(end)
		}
	}
	if l.SuspicionMs > 0 && (figures.SuspicionMs < 0 || figures.SuspicionMs > l.SuspicionMs) {
		report(RulePartialCutSuspected, 0, "a partially cut member was first suspected after %.0f ms (-1: never), above %.0f", figures.SuspicionMs, l.SuspicionMs)
	}
}

// checkConvergence measures the time from the end of the last fault until every running door has a correct view of every
// other, and keeps it until the end of the run.
func checkConvergence(t *Truth, history []Event, l Limits, figures *Figures, report reportFunc) {
	if l.ConvergenceMs == 0 {
		return
	}
	v := newView(t.Doors)
	faultsEnd := t.lastFaultEnd()
	wrong := func(o, d int) bool {
		if o == d || !t.up(o, t.EndMs) {
			return false
		}
		return countsAsHere(v.states[o][d]) != t.up(d, t.EndMs)
	}
	wrongPairs := 0
	i := 0
	for ; i < len(history) && history[i].At <= faultsEnd; i++ {
		v.apply(&history[i])
	}
	for o := range t.Doors {
		for d := range t.Doors {
			if wrong(o, d) {
				wrongPairs++
			}
		}
	}
	convergedAfter := 0.0
	if wrongPairs > 0 {
		convergedAfter = Never
	}
	for ; i < len(history) && history[i].At <= t.EndMs; i++ {
		e := &history[i]
		if e.Door == e.About && e.From != "born" {
			continue
		}
		if e.From == "born" {
			v.apply(e)
			wrongPairs = 0
			for o := range t.Doors {
				for d := range t.Doors {
					if wrong(o, d) {
						wrongPairs++
					}
				}
			}
			continue
		}
		was := wrong(e.Door, e.About)
		v.apply(e)
		if is := wrong(e.Door, e.About); is && !was {
			wrongPairs++
		} else if was && !is {
			wrongPairs--
		}
		if wrongPairs > 0 {
			convergedAfter = Never
		} else if math.IsInf(convergedAfter, 1) {
			convergedAfter = e.At - faultsEnd
		}
	}
	figures.ConvergenceMs = convergedAfter
	if math.IsInf(convergedAfter, 1) {
		figures.ConvergenceMs = -1
	}
	if convergedAfter > l.ConvergenceMs {
		for o := range t.Doors {
			for d := range t.Doors {
				if wrong(o, d) {
					report(RuleConvergence, t.EndMs, "at the end door %d considers door %d %q; %d such pairs", o, d, v.states[o][d], wrongPairs)
					return
				}
			}
		}
		report(RuleConvergence, faultsEnd+convergedAfter, "the views converged only %.0f ms after the last fault, above %.0f", convergedAfter, l.ConvergenceMs)
	}
}
