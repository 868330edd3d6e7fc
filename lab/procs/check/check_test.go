package check

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// quiet is four doors in two zones that know each other from the start, with nothing amiss.
func quiet() (*Truth, []Event) {
	t := &Truth{Doors: 4, Zones: []int{0, 1, 0, 1}, Began: make([]float64, 4), Paused: make([][]Spell, 4), Dead: make([][]Spell, 4),
		Left: []float64{Never, Never, Never, Never}, EndMs: 40e3}
	var h []Event
	for o := range 4 {
		for d := range 4 {
			h = append(h, Event{At: -100, Door: o, About: d, From: "unknown", To: "here", Life: 1})
		}
	}
	return t, h
}

// all has every door but the one itself hold it to be something.
func all(h []Event, at float64, about int, from, to string) []Event {
	for o := range 4 {
		if o != about {
			h = append(h, Event{At: at, Door: o, About: about, From: from, To: to, Life: 1})
		}
	}
	return h
}

func rules(breaches []Breach) (names []string) {
	for _, b := range breaches {
		names = append(names, b.Rule)
	}
	return names
}

var (
	limits = Limits{BackMs: 2000, AgreeMs: 5000, OneMs: 5000}
	deaths = Limits{KnownMs: 3000, OneMs: 5000}
)

func way(n int, pairs ...[2]int) []bool {
	w := make([]bool, n*n)
	for _, p := range pairs {
		w[p[0]*n+p[1]] = true
	}
	return w
}

func TestAQuietDayBreaksNothing(t *testing.T) {
	truth, h := quiet()
	b, f := Judge(truth, h, Limits{OneMs: 5000})
	assert.Empty(t, b)
	assert.Equal(t, 0.0, f.ConvergenceMs)
}

func TestAHealthyDoorHeldToBeAwayIsFound(t *testing.T) {
	truth, h := quiet()
	h = append(h, Event{At: 9000, Door: 2, About: 1, From: "here", To: "away"}, Event{At: 9500, Door: 2, About: 1, From: "away", To: "here"})
	b, f := Judge(truth, h, Limits{})
	assert.Equal(t, []string{WronglyAway}, rules(b))
	assert.Equal(t, 1, f.FalseAway)
	truth.Paused[1] = []Spell{{From: 7000, To: 9100}}
	b, _ = Judge(truth, h, Limits{})
	assert.Empty(t, b, "it was stopped for over a second")
}

func TestADeathThatOneDoorNeverLearnsOfIsFound(t *testing.T) {
	truth, h := quiet()
	truth.Dead[1] = []Spell{{From: 10e3, To: Never}}
	b, f := Judge(truth, all(h, 12e3, 1, "here", "away"), deaths)
	assert.Empty(t, b)
	assert.Equal(t, 2000.0, Quantile(f.DetectionMs, 99))
	late := append(all(h, 12e3, 1, "here", "away")[:len(h)+2], Event{At: 15e3, Door: 3, About: 1, From: "here", To: "away"})
	b, _ = Judge(truth, late, deaths)
	assert.Contains(t, rules(b), Known)
	b, _ = Judge(truth, h, deaths)
	assert.Contains(t, rules(b), Known)
	assert.Contains(t, rules(b), OneView)
}

func TestAPausedDoorThatIsLeftAwayIsFound(t *testing.T) {
	truth, h := quiet()
	truth.Paused[1] = []Spell{{From: 10e3, To: 13e3}}
	h = all(h, 12e3, 1, "here", "away")
	b, _ := Judge(truth, all(h, 14e3, 1, "away", "here"), limits)
	assert.Empty(t, b)
	b, _ = Judge(truth, all(h, 16e3, 1, "away", "here"), limits)
	assert.Contains(t, rules(b), Back)
}

func TestVerdictsThatAlternateOrDifferDuringACutAreFound(t *testing.T) {
	truth, quietly := quiet()
	truth.Cuts = []Cut{{Spell{10e3, 30e3}, way(4, [2]int{1, 0}, [2]int{1, 2}, [2]int{1, 3})}}
	h := all(quietly, 12e3, 1, "here", "away")
	back := func(h []Event) []Event { return all(h, 31e3, 1, "away", "here") }
	b, _ := Judge(truth, back(h), limits)
	assert.Empty(t, b)
	turned := append(append([]Event{}, h...), Event{At: 20e3, Door: 0, About: 1, From: "away", To: "here"}, Event{At: 21e3, Door: 0, About: 1, From: "here", To: "away"})
	b, f := Judge(truth, back(turned), limits)
	assert.Contains(t, rules(b), OneChange)
	assert.Equal(t, 3, f.VerdictChanges)
	b, _ = Judge(truth, back(h[:len(h)-1]), limits)
	assert.Contains(t, rules(b), Agree)
}

func TestBlindnessToADoorCutOffInPartIsFound(t *testing.T) {
	truth, h := quiet()
	truth.Cuts = []Cut{{Spell{10e3, 30e3}, way(4, [2]int{1, 0}, [2]int{1, 2})}}
	must := Limits{AgreeMs: 5000, DoubtMs: 5000}
	b, _ := Judge(truth, h, must)
	assert.Contains(t, rules(b), Doubted)
	b, f := Judge(truth, all(h, 12e3, 1, "here", "doubted"), must)
	assert.Empty(t, b)
	assert.Equal(t, 2000.0, f.SuspicionMs)
}

func TestTwoViewsAfterTheLastFaultAreFound(t *testing.T) {
	truth, h := quiet()
	truth.Cuts = []Cut{{Spell{10e3, 20e3}, way(4, [2]int{0, 1}, [2]int{1, 0})}}
	h = append(h, Event{At: 12e3, Door: 0, About: 1, From: "here", To: "away"})
	b, _ := Judge(truth, append(h, Event{At: 22e3, Door: 0, About: 1, From: "away", To: "here"}), Limits{OneMs: 5000})
	assert.Empty(t, b)
	b, _ = Judge(truth, append(h, Event{At: 26e3, Door: 0, About: 1, From: "away", To: "here"}), Limits{OneMs: 5000})
	assert.Contains(t, rules(b), OneView)
	b, f := Judge(truth, h, Limits{OneMs: 5000})
	assert.Contains(t, rules(b), OneView)
	assert.Equal(t, -1.0, f.ConvergenceMs)
}

func TestTheDeadRaisedAreFound(t *testing.T) {
	truth, h := quiet()
	truth.Dead[1] = []Spell{{From: 5e3, To: Never}}
	h = all(h, 7e3, 1, "here", "away")
	b, _ := Judge(truth, h, Limits{})
	assert.Empty(t, b)
	b, _ = Judge(truth, append(h, Event{At: 20e3, Door: 3, About: 1, From: "away", To: "joining"}), Limits{})
	assert.Equal(t, []string{NotRaised}, rules(b))
}
