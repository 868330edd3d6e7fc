package check

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// healthyFleet returns four doors in two zones that consider each other here from the start, without faults.
func healthyFleet() (*Truth, []Event) {
	t := &Truth{Doors: 4, Zones: []int{0, 1, 0, 1}, StartedAt: make([]float64, 4), Paused: make([][]Interval, 4), Dead: make([][]Interval, 4),
		LeaveAt: []float64{Never, Never, Never, Never}, EndMs: 40e3}
	var h []Event
	for o := range 4 {
		for d := range 4 {
			h = append(h, Event{At: -100, Door: o, About: d, From: "unknown", To: "here", Incarnation: 1})
		}
	}
	return t, h
}

// fromAllOthers appends the same event about one door from every other door.
func fromAllOthers(h []Event, at float64, about int, from, to string) []Event {
	for o := range 4 {
		if o != about {
			h = append(h, Event{At: at, Door: o, About: about, From: from, To: to, Incarnation: 1})
		}
	}
	return h
}

func violatedRules(violations []Violation) (names []string) {
	for _, b := range violations {
		names = append(names, b.Rule)
	}
	return names
}

var (
	generalLimits = Limits{RecoveryMs: 2000, AgreementMs: 5000, ConvergenceMs: 5000}
	deathLimits   = Limits{DetectionMs: 3000, ConvergenceMs: 5000}
)

// links returns the links between n doors as a Cut holds them, with the given ones, each from one door to another, cut.
func links(n int, pairs ...[2]int) []bool {
	w := make([]bool, n*n)
	for _, p := range pairs {
		w[p[0]*n+p[1]] = true
	}
	return w
}

func TestQuietRunHasNoViolations(t *testing.T) {
	truth, h := healthyFleet()
	b, f := Verify(truth, h, Limits{ConvergenceMs: 5000})
	assert.Empty(t, b)
	assert.Equal(t, 0.0, f.ConvergenceMs)
}

func TestFalseAwayVerdictIsFound(t *testing.T) {
	truth, h := healthyFleet()
	h = append(h, Event{At: 9000, Door: 2, About: 1, From: "here", To: "away"}, Event{At: 9500, Door: 2, About: 1, From: "away", To: "here"})
	b, f := Verify(truth, h, Limits{})
	assert.Equal(t, []string{RuleNoFalseAway}, violatedRules(b))
	assert.Equal(t, 1, f.FalseAway)
	truth.Paused[1] = []Interval{{From: 7000, To: 9100}}
	b, _ = Verify(truth, h, Limits{})
	assert.Empty(t, b, "a pause of more than a second explains the verdict")
}

func TestLateOrMissedDeathIsFound(t *testing.T) {
	truth, h := healthyFleet()
	truth.Dead[1] = []Interval{{From: 10e3, To: Never}}
	b, f := Verify(truth, fromAllOthers(h, 12e3, 1, "here", "away"), deathLimits)
	assert.Empty(t, b)
	assert.Equal(t, 2000.0, Quantile(f.DetectionMs, 99))
	late := append(fromAllOthers(h, 12e3, 1, "here", "away")[:len(h)+2], Event{At: 15e3, Door: 3, About: 1, From: "here", To: "away"})
	b, _ = Verify(truth, late, deathLimits)
	assert.Contains(t, violatedRules(b), RuleDeathsDetected)
	b, _ = Verify(truth, h, deathLimits)
	assert.Contains(t, violatedRules(b), RuleDeathsDetected)
	assert.Contains(t, violatedRules(b), RuleConvergence)
}

func TestLateRecoveryAfterPauseIsFound(t *testing.T) {
	truth, h := healthyFleet()
	truth.Paused[1] = []Interval{{From: 10e3, To: 13e3}}
	h = fromAllOthers(h, 12e3, 1, "here", "away")
	b, _ := Verify(truth, fromAllOthers(h, 14e3, 1, "away", "here"), generalLimits)
	assert.Empty(t, b)
	b, _ = Verify(truth, fromAllOthers(h, 16e3, 1, "away", "here"), generalLimits)
	assert.Contains(t, violatedRules(b), RulePausedRecover)
}

func TestFlappingOrDifferingVerdictsDuringCutAreFound(t *testing.T) {
	truth, initial := healthyFleet()
	truth.Cuts = []Cut{{Interval{10e3, 30e3}, links(4, [2]int{1, 0}, [2]int{1, 2}, [2]int{1, 3})}}
	h := fromAllOthers(initial, 12e3, 1, "here", "away")
	back := func(h []Event) []Event { return fromAllOthers(h, 31e3, 1, "away", "here") }
	b, _ := Verify(truth, back(h), generalLimits)
	assert.Empty(t, b)
	flapping := append(append([]Event{}, h...), Event{At: 20e3, Door: 0, About: 1, From: "away", To: "here"}, Event{At: 21e3, Door: 0, About: 1, From: "here", To: "away"})
	b, f := Verify(truth, back(flapping), generalLimits)
	assert.Contains(t, violatedRules(b), RuleStableVerdict)
	assert.Equal(t, 3, f.VerdictChanges)
	b, _ = Verify(truth, back(h[:len(h)-1]), generalLimits)
	assert.Contains(t, violatedRules(b), RuleAgreement)
}

func TestUnsuspectedPartialCutIsFound(t *testing.T) {
	truth, h := healthyFleet()
	truth.Cuts = []Cut{{Interval{10e3, 30e3}, links(4, [2]int{1, 0}, [2]int{1, 2})}}
	partialCutLimits := Limits{AgreementMs: 5000, SuspicionMs: 5000}
	b, _ := Verify(truth, h, partialCutLimits)
	assert.Contains(t, violatedRules(b), RulePartialCutSuspected)
	b, f := Verify(truth, fromAllOthers(h, 12e3, 1, "here", "doubted"), partialCutLimits)
	assert.Empty(t, b)
	assert.Equal(t, 2000.0, f.SuspicionMs)
}

func TestLateOrMissingConvergenceIsFound(t *testing.T) {
	truth, h := healthyFleet()
	truth.Cuts = []Cut{{Interval{10e3, 20e3}, links(4, [2]int{0, 1}, [2]int{1, 0})}}
	h = append(h, Event{At: 12e3, Door: 0, About: 1, From: "here", To: "away"})
	b, _ := Verify(truth, append(h, Event{At: 22e3, Door: 0, About: 1, From: "away", To: "here"}), Limits{ConvergenceMs: 5000})
	assert.Empty(t, b)
	b, _ = Verify(truth, append(h, Event{At: 26e3, Door: 0, About: 1, From: "away", To: "here"}), Limits{ConvergenceMs: 5000})
	assert.Contains(t, violatedRules(b), RuleConvergence)
	b, f := Verify(truth, h, Limits{ConvergenceMs: 5000})
	assert.Contains(t, violatedRules(b), RuleConvergence)
	assert.Equal(t, -1.0, f.ConvergenceMs)
}

func TestResurrectedMemberIsFound(t *testing.T) {
	truth, h := healthyFleet()
	truth.Dead[1] = []Interval{{From: 5e3, To: Never}}
	h = fromAllOthers(h, 7e3, 1, "here", "away")
	b, _ := Verify(truth, h, Limits{})
	assert.Empty(t, b)
	b, _ = Verify(truth, append(h, Event{At: 20e3, Door: 3, About: 1, From: "away", To: "joining"}), Limits{})
	assert.Equal(t, []string{RuleNoResurrection}, violatedRules(b))
}
