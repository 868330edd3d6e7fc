package outs

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/swifthall/swifthall/release"
)

// ReleaseSimulation plays releases of made-up fleets and asks when each is judged, by release's comparison or by a plain threshold. It
// knows truly which of them do harm.
type ReleaseSimulation struct {
	Seed   uint64
	Defect string // of Harms; empty for a harmless one
}

// Harms lists what a bad release does.
var Defects = []string{"share", "little", "latency", "scraps", "crash", "memory", "loaded", "late"}

// ReleaseResult is what became of one release.
type ReleaseResult struct {
	Stopped      bool    // it was halted or sent back
	AtS          float64 // after its first door had changed
	Reason       string
	ChangedShare float64 // share of the doors that had changed by then
}

// Evaluator judges the waves of one release: Heard at every second for every door, then Look.
type Evaluator interface {
	Record(now float64, door string, changed bool, n release.Counts)
	RecordFailure(door, why string)
	Evaluate(now float64) release.Verdict
}

// Threshold is the plain rule: too many requests of the changed doors not in time, or failed, over the last while.
type Threshold struct {
	WatchMs      float64
	MaxLateShare float64 // share not finished in time, over which it halts
	startedAt    float64
	last         map[string]release.Counts
	recent       []release.Counts
	sum          release.Counts
	failure      string
}

// Figures of the plain rule, as such rules are often set.
const (
	usualMaxLateShare = 0.10 // share not finished in time over the last half minute
	maxFailedShare    = 0.02
	thresholdWindow   = 30
	minRequests       = 100 // requests
)

// NewThreshold returns the plain rule for a wave.
func NewThreshold(now, watchMs, late float64) *Threshold {
	return &Threshold{WatchMs: watchMs, MaxLateShare: late, startedAt: now, last: map[string]release.Counts{}}
}

// Record takes a door's counts in.
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

// RecordFailure notes a process that ended.
func (t *Threshold) RecordFailure(door, why string) { t.failure = door + ": " + why }

// Evaluate judges the last half minute.
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
		return release.Verdict{Outcome: release.GoBack, Why: fmt.Sprintf("%.3f late, %.3f scrapped", late, fails)}
	case now-t.startedAt >= t.WatchMs:
		return release.Verdict{Outcome: release.GoOn}
	}
	return release.Verdict{Outcome: release.Wait}
}

// releaseDoor is one door of a releaseDoor-up fleet.
type releaseDoor struct {
	rate    float64 // requests a second
	late    float64 // share not in time, on a quiet day
	latency float64 // ms
	memory  float64
	changed float64 // clock, s; below 0 before
	n       release.Counts
}

// Run plays one release under a rule, and tells when it was stopped.
func (v ReleaseSimulation) Run(rule func(now, watchMs float64) Evaluator) ReleaseResult {
	dice := rand.New(rand.NewPCG(v.Seed, 8))
	between := func(a, b float64) float64 { return a + (b-a)*dice.Float64() }
	doors := make([]releaseDoor, 20+dice.IntN(80))
	usual := between(0.01, 0.08)
	for i := range doors {
		doors[i] = releaseDoor{rate: math.Exp(between(math.Log(3), math.Log(40))), late: usual * math.Exp(0.25*dice.NormFloat64()), latency: 40 * math.Exp(0.05*dice.NormFloat64()),
			memory: 14 * math.Exp(0.08*dice.NormFloat64()), changed: -1, n: release.Counts{Process: uint64(i + 1)}}
	}
	waves := []struct{ doors, watch float64 }{{1, 60}, {3, 120}, {math.Ceil(float64(len(doors)) / 10), 900}, {float64(len(doors)), 30}}
	much := map[string]float64{"share": between(0.05, 0.4), "little": between(0.02, 0.04), "latency": between(1.4, 2.5), "scraps": between(0.03, 0.2), "crash": between(1, 100),
		"memory": between(0.002, 0.01), "loaded": between(0.1, 0.4), "late": between(0.05, 0.4)}[v.Defect]
	stormAt, stormFor := between(20, 900), between(20, 120) // all doors are in trouble for a while
	load, next := 0.0, 0
	now, first := 0.0, 0.0
	for _, w := range waves {
		for n := 0; n < int(w.doors) && next < len(doors); n++ { // one door after the other, some seconds each
			doors[next].changed = now
			next++
			now += 3
		}
		r := rule(now*1e3, w.watch*1e3)
		for ; ; now++ {
			load += 0.05*dice.NormFloat64() - 0.02*load // the common way of the day
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
					}{{v.Defect == "share" || v.Defect == "little", func() { late += much }}, {v.Defect == "latency", func() { latency *= much }}, {v.Defect == "scraps", func() { failed += much; late += much }},
						{v.Defect == "memory", func() { memory *= 1 + much*(now-d.changed) }}, {v.Defect == "loaded" && load > 0.15, func() { late += much }},
						{v.Defect == "late" && now > 600, func() { late += much }}} {
						if h.is {
							h.do()
						}
					}
					if v.Defect == "crash" && now-d.changed > much {
						r.RecordFailure(fmt.Sprint("d", i), "its process ended by itself")
					}
				}
				came := poisson(dice, d.rate*math.Exp(load))
				for range came {
					d.n.Arrived++
					switch x := dice.Float64(); {
					case x < failed:
						d.n.Failed++
					case x < late:
						d.n.Rejected++
					default:
						d.n.InTime++
						d.n.Finished++
						d.n.LatencyMs += latency * dice.ExpFloat64()
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

// poisson draws how many come where so many are expected.
func poisson(dice *rand.Rand, mean float64) (n int) {
	least := math.Exp(-mean)
	for p := dice.Float64(); p > least; p *= dice.Float64() {
		n++
	}
	return n
}
