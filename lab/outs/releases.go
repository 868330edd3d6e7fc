package outs

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/release"
)

// ReleaseSimulation simulates a release on a random fleet and records when the release is stopped, by the comparison of package
// release or by a plain threshold. Whether the release is defective is known.
type ReleaseSimulation struct {
	Seed   uint64
	Defect string // one of Defects; empty for a harmless release
}

// Defects lists the kinds of defects that a release can have. A changed door has a larger share of late requests ("share"), or only a
// slightly larger one ("little"), or a larger one only under high load ("loaded") or only after 600 s ("late"); a higher latency
// ("latency"); more failed requests ("scraps"); a crash some time after the change ("crash"); or growing memory ("memory").
var Defects = []string{"share", "little", "latency", "scraps", "crash", "memory", "loaded", "late"}

// ReleaseResult is the outcome of one release.
type ReleaseResult struct {
	Stopped      bool    // halted or rolled back
	AtS          float64 // s after the first door changed
	Reason       string  // reason given by the verdict
	ChangedShare float64 // share of the doors that had changed by then
}

// Evaluator evaluates one wave of a release: Record is called every second for every door, then Evaluate.
type Evaluator interface {
	Record(now float64, door string, changed bool, n release.Counts)
	RecordFailure(door, why string)
	Evaluate(now float64) release.Verdict
}

// Threshold is an evaluator with fixed limits on the share of the changed doors' requests that were late or failed recently.
type Threshold struct {
	WatchMs      float64 // how long the wave is watched, ms
	MaxLateShare float64 // share not finished in time above which the release is rolled back
	startedAt    float64
	last         map[string]release.Counts
	recent       []release.Counts
	sum          release.Counts
	failure      string
}

// Limits of the threshold evaluator, as such rules are commonly set.
const (
	usualMaxLateShare = 0.10 // share not finished in time over the last 30 s; not used here, the tests pass their own
	maxFailedShare    = 0.02 // share that failed over the last 30 s
	thresholdWindow   = 30   // s
	minRequests       = 100  // in the window, for a rollback
)

// NewThreshold returns the threshold evaluator for one wave.
func NewThreshold(now, watchMs, late float64) *Threshold {
	return &Threshold{WatchMs: watchMs, MaxLateShare: late, startedAt: now, last: map[string]release.Counts{}}
}

// Record adds the increase of a changed door's counts. A new process starts again from zero, so its first counts are not used.
func (t *Threshold) Record(_ float64, door string, changed bool, n release.Counts) {
	if !changed {
		return
	}
	if was, known := t.last[door]; known && was.Process == n.Process {
		t.sum.Arrived += n.Arrived - was.Arrived
		t.sum.InTime += n.InTime - was.InTime
		t.sum.Failed += n.Failed - was.Failed
	}
	t.last[door] = n
}

// RecordFailure notes a process that ended unexpectedly.
func (t *Threshold) RecordFailure(door, why string) { t.failure = door + ": " + why }

// Evaluate checks the last 30 s: it rolls back on a failure or an exceeded limit, and continues once the wave was watched long enough.
func (t *Threshold) Evaluate(now float64) release.Verdict {
	t.recent = append(t.recent, t.sum)
	t.sum = release.Counts{}
	if len(t.recent) > thresholdWindow {
		t.recent = t.recent[1:]
	}
	var n release.Counts
	for _, r := range t.recent {
		n.Arrived, n.InTime, n.Failed = n.Arrived+r.Arrived, n.InTime+r.InTime, n.Failed+r.Failed
	}
	switch late, fails := 1-float64(n.InTime)/math.Max(1, float64(n.Arrived)), float64(n.Failed)/math.Max(1, float64(n.Arrived)); {
	case t.failure != "":
		return release.Verdict{Outcome: release.GoBack, Why: t.failure}
	case n.Arrived >= minRequests && (late > t.MaxLateShare || fails > maxFailedShare):
		return release.Verdict{Outcome: release.GoBack, Why: fmt.Sprintf("%.3f late, %.3f failed", late, fails)}
	case now-t.startedAt >= t.WatchMs:
		return release.Verdict{Outcome: release.GoOn}
	}
	return release.Verdict{Outcome: release.Wait}
}

// releaseDoor is one door of a simulated fleet.
type releaseDoor struct {
	rate    float64 // requests per second
	late    float64 // usual share not finished in time
	latency float64 // usual mean, ms
	memory  float64 // usual, MB
	changed float64 // s, clock; negative before the change
	n       release.Counts
}

// Run runs one release under an evaluator, made anew for each wave, until it is complete or stopped.
func (v ReleaseSimulation) Run(rule func(now, watchMs float64) Evaluator) ReleaseResult {
	random := rand.New(rand.NewPCG(v.Seed, 8))
	between := func(a, b float64) float64 { return a + (b-a)*random.Float64() }
	doors := make([]releaseDoor, 20+random.IntN(80))
	usual := between(0.01, 0.08)
	for i := range doors {
		doors[i] = releaseDoor{rate: math.Exp(between(math.Log(3), math.Log(40))), late: usual * math.Exp(0.25*random.NormFloat64()), latency: 40 * math.Exp(0.05*random.NormFloat64()),
			memory: 14 * math.Exp(0.08*random.NormFloat64()), changed: -1, n: release.Counts{Process: uint64(i + 1)}}
	}
	waves := []struct{ doors, watch float64 }{{1, 60}, {3, 120}, {math.Ceil(float64(len(doors)) / 10), 900}, {float64(len(doors)), 30}}
	severity := map[string]float64{"share": between(0.05, 0.4), "little": between(0.02, 0.04), "latency": between(1.4, 2.5), "scraps": between(0.03, 0.2), "crash": between(1, 100),
		"memory": between(0.002, 0.01), "loaded": between(0.1, 0.4), "late": between(0.05, 0.4)}[v.Defect]
	stormAt, stormFor := between(20, 900), between(20, 120) // all doors are disturbed for a while, whether changed or not
	load, next := 0.0, 0
	now, first := 0.0, 0.0
	for _, w := range waves {
		for n := 0; n < int(w.doors) && next < len(doors); n++ { // one door after the other, 3 s each
			doors[next].changed = now
			next++
			now += 3
		}
		r := rule(now*1e3, w.watch*1e3)
		for ; ; now++ {
			load += 0.05*random.NormFloat64() - 0.02*load // load common to all doors, a random walk that returns to 0
			storm := 0.0
			if now > stormAt && now < stormAt+stormFor {
				storm = 0.25
			}
			for i := range doors {
				d := &doors[i]
				late, latency, failed, memory := d.late*math.Exp(2*load)+storm, d.latency*math.Exp(load), 0.002, d.memory
				on := d.changed >= 0
				if on {
					for _, h := range []struct {
						is bool
						do func()
					}{{v.Defect == "share" || v.Defect == "little", func() { late += severity }}, {v.Defect == "latency", func() { latency *= severity }}, {v.Defect == "scraps", func() { failed += severity; late += severity }},
						{v.Defect == "memory", func() { memory *= 1 + severity*(now-d.changed) }}, {v.Defect == "loaded" && load > 0.15, func() { late += severity }},
						{v.Defect == "late" && now > 600, func() { late += severity }}} {
						if h.is {
							h.do()
						}
					}
					if v.Defect == "crash" && now-d.changed > severity {
						r.RecordFailure(fmt.Sprint("d", i), "its process ended by itself")
					}
				}
				came := poisson(random, d.rate*math.Exp(load))
				for range came {
					d.n.Arrived++
					switch x := random.Float64(); {
					case x < failed:
						d.n.Failed++
					case x < late:
						d.n.Rejected++
					default:
						d.n.InTime++
						d.n.Finished++
						d.n.LatencyMs += latency * random.ExpFloat64()
					}
				}
				d.n.MemoryMB = memory
				r.Record(now*1e3, fmt.Sprint("d", i), on, d.n)
			}
			verdict := r.Evaluate(now * 1e3)
			if verdict.Outcome == release.GoBack || verdict.Outcome == release.Stop {
				return ReleaseResult{true, now - first, verdict.Why, float64(next) / float64(len(doors))}
			}
			if verdict.Outcome == release.GoOn {
				break
			}
		}
	}
	return ReleaseResult{AtS: now - first, ChangedShare: 1}
}

// poisson draws a Poisson-distributed number with the given mean.
func poisson(random *rand.Rand, mean float64) (n int) {
	least := math.Exp(-mean)
	for p := random.Float64(); p > least; p *= random.Float64() {
		n++
	}
	return n
}
