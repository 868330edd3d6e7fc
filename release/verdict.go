package release

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// Counts are the usage counts of one process of a door since its start. All except the memory only grow.
type Counts struct {
	Process   uint64  `json:"process"`
	Arrived   uint64  `json:"arrived"`
	InTime    uint64  `json:"in_time"` // finished within the plan's contract time
	Finished  uint64  `json:"finished"`
	Rejected  uint64  `json:"rejected"`
	Failed    uint64  `json:"scrapped"`
	LatencyMs float64 `json:"latency_ms"` // sum over all finished requests
	MemoryMB  float64 `json:"memory_mb"`  // resident now
}

// Outcome is what a verdict has the release do.
type Outcome string

// Outcomes of a comparison.
const (
	Wait   Outcome = "wait"    // not enough data yet, or the watch isn't over
	GoOn   Outcome = "go on"   // the wave passed
	Stop   Outcome = "halt"    // an operator must decide: there is too little data, or a metric is close to its limit
	GoBack Outcome = "go back" // the release must be rolled back
)

// Verdict is the result of a comparison and its reason.
type Verdict struct {
	Outcome Outcome `json:"says"`
	Why     string  `json:"why"`
}

const (
	settleMs            = 5e3   // ms at the start of a new process that aren't compared: it opens connections and has no state yet
	evaluateEveryMs     = 5e3   // ms between two evaluations of the test
	alpha               = 0.01  // probability of a false alarm by one metric of one wave, over all its evaluations
	concernLevel        = 0.1   // p-value below which a metric delays the end of a wave
	minRequests         = 200   // minimum requests at the changed doors before a wave may end
	maxWatchFactor      = 3.0   // multiple of the watch after which a wave that is still unclear is halted
	overdispersion      = 3.0   // factor by which the variance of counts exceeds that of independent requests: clients send in bursts
	requestMargin       = 0.01  // default limit: additional share of requests
	latencyMargin       = 0.15  // default limit: increase as a share of the others' latency
	memoryMargin        = 0.30  // default limit: increase as a share of the others' memory
	minMemoryDeviation  = 0.05  // minimum standard deviation between doors that is assumed for the logarithm of the memory
	minLatencyDeviation = 0.03  // the same for the logarithm of the latency
	minShareDeviation   = 0.002 // the same for a share of requests
)

// Comparison compares the doors that a release has changed with the unchanged ones over the same time, never with the time before.
// It serves one wave of one release and lives at the leader. A new leader starts another one, which delays the verdict but can't
// make it wrong.
type Comparison struct {
	watchMs     float64
	limits      Ends
	began       float64 // clock from which requests count; below 0 before settled
	settled     float64 // clock at which all new processes have settled
	doors       map[string]*doorCounts
	evaluations int
	nextAtMs    float64
	failure     string // a failure that ends the wave without statistics
}

// doorCounts is the usage of one door since the comparison began.
type doorCounts struct {
	changed  bool
	base     Counts // at the start of the comparison or of the process
	earlier  Counts // of earlier processes within this comparison
	last     Counts
	at       float64
	restarts int
}

// NewComparison returns the comparison of a wave that was complete at the clock now and is observed for watchMs.
func NewComparison(now, watchMs float64) *Comparison {
	return (&Comparison{watchMs: watchMs, began: -1, settled: now + settleMs, doors: map[string]*doorCounts{}}).WithLimits(Ends{})
}

// WithLimits replaces the default limits by those that aren't 0.
func (c *Comparison) WithLimits(e Ends) *Comparison {
	c.limits = Ends{cmp.Or(e.Requests, requestMargin), cmp.Or(e.Latency, latencyMargin), cmp.Or(e.Memory, memoryMargin)}
	return c
}

// Record adds the latest counts of a door.
func (c *Comparison) Record(now float64, door string, changed bool, n Counts) {
	d := c.doors[door]
	if d == nil || d.changed != changed { // new, or changed or rolled back during the comparison: it counts from now on
		c.doors[door] = &doorCounts{changed: changed, base: n, last: n, at: now}
		return
	}
	if n.Process != d.last.Process {
		d.earlier = add(d.earlier, subtract(d.last, d.base))
		d.base = Counts{Process: n.Process}
		if changed {
			d.restarts++
		}
	}
	d.last, d.at = n, now
}

// RecordFailure records that a changed door's process ended by itself or could not start.
func (c *Comparison) RecordFailure(door, why string) {
	c.failure = fmt.Sprintf("%s: %s", door, why)
}

func subtract(a, b Counts) Counts {
	sub := func(x, y uint64) uint64 { return x - min(x, y) }
	return Counts{Process: a.Process, Arrived: sub(a.Arrived, b.Arrived), InTime: sub(a.InTime, b.InTime), Finished: sub(a.Finished, b.Finished),
		Rejected: sub(a.Rejected, b.Rejected), Failed: sub(a.Failed, b.Failed), LatencyMs: max(0, a.LatencyMs-b.LatencyMs), MemoryMB: a.MemoryMB}
}

func add(a, b Counts) Counts {
	return Counts{Process: b.Process, Arrived: a.Arrived + b.Arrived, InTime: a.InTime + b.InTime, Finished: a.Finished + b.Finished,
		Rejected: a.Rejected + b.Rejected, Failed: a.Failed + b.Failed, LatencyMs: a.LatencyMs + b.LatencyMs, MemoryMB: b.MemoryMB}
}

// group is one side of the comparison.
type group struct {
	names  []string
	counts []Counts
	sum    Counts
}

// groups sums up the counts of the changed and of the other doors.
func (c *Comparison) groups() (changed, others group) {
	for _, name := range slices.Sorted(maps.Keys(c.doors)) {
		d := c.doors[name]
		g := &others
		if d.changed {
			g = &changed
		}
		n := add(d.earlier, subtract(d.last, d.base))
		g.names, g.counts, g.sum = append(g.names, name), append(g.counts, n), add(g.sum, n)
	}
	return changed, others
}

// metric is one compared quantity: how much worse the changed doors are, and by how many standard deviations that exceeds the
// limit.
type metric struct {
	name      string
	excess, z float64
	freedom   float64 // degrees of freedom
	text      string
}

// Evaluate returns the present verdict. It may be called at any time and runs the test every evaluateEveryMs. The significance
// level falls with each test, so that all tests together raise a false alarm with a probability of at most alpha (alpha spending).
func (c *Comparison) Evaluate(now float64) Verdict {
	if c.failure != "" {
		return Verdict{GoBack, c.failure}
	}
	for name, d := range c.doors {
		if d.restarts > 0 {
			return Verdict{GoBack, name + ": its process ended and began anew"}
		}
	}
	if c.began < 0 {
		if now < c.settled {
			return Verdict{Wait, "the changed settle"}
		}
		c.began, c.nextAtMs = now, now+evaluateEveryMs
		for _, d := range c.doors {
			d.base, d.earlier = d.last, Counts{}
		}
		return Verdict{Wait, "the comparison begins"}
	}
	if now < c.nextAtMs {
		return Verdict{Wait, "until the next look"}
	}
	c.nextAtMs = now + evaluateEveryMs
	c.evaluations++
	changed, others := c.groups()
	elapsed := now-c.began >= c.watchMs
	if len(changed.names) == 0 || len(others.names) < 2 {
		if elapsed {
			return Verdict{GoOn, "nobody is left to compare with; no process has failed"}
		}
		return Verdict{Wait, "nobody is left to compare with"}
	}
	level := alpha * 6 / (math.Pi * math.Pi * float64(c.evaluations*c.evaluations)) // alpha spending: the levels of all evaluations sum to alpha
	borderline := ""
	for _, f := range c.metrics(changed, others) {
		p := 1 - cumulative(f)
		if p < level {
			return Verdict{GoBack, f.text}
		}
		if p < concernLevel {
			borderline = f.text
		}
	}
	switch {
	case !elapsed:
		return Verdict{Wait, fmt.Sprintf("%.0f of %.0f s", (now-c.began)/1e3, c.watchMs/1e3)}
	case borderline == "" && changed.sum.Arrived >= minRequests:
		return Verdict{GoOn, fmt.Sprintf("%d operations at %d changed doors, as at %d others", changed.sum.Arrived, len(changed.names), len(others.names))}
	case now-c.began < maxWatchFactor*c.watchMs:
		return Verdict{Wait, cmp.Or(borderline, "too few operations at the changed so far")}
	}
	return Verdict{Stop, "still unclear after " + fmt.Sprintf("%.0f s: ", (now-c.began)/1e3) + cmp.Or(borderline, fmt.Sprintf("%d operations at the changed, %d are wanted", changed.sum.Arrived, minRequests))}
}

// cumulative returns the probability that Student's t is below the metric's z.
func cumulative(f metric) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(1, f.freedom)}.CDF(f.z)
}

// metrics compares all metrics that have enough data.
func (c *Comparison) metrics(changed, others group) (all []metric) {
	share := func(name string, of func(Counts) (part, whole uint64)) {
		if f, ok := compareShares(name, changed, others, c.limits.Requests, of); ok {
			all = append(all, f)
		}
	}
	share("not finished in contract time", func(n Counts) (uint64, uint64) { return n.Arrived - min(n.Arrived, n.InTime), n.Arrived })
	share("scrapped", func(n Counts) (uint64, uint64) { return n.Failed, n.Arrived })
	share("rejected", func(n Counts) (uint64, uint64) { return n.Rejected, n.Arrived })
	mean := func(name string, margin, least float64, of func(Counts) (float64, bool)) {
		if f, ok := compareLogs(name, changed, others, margin, least, of); ok {
			all = append(all, f)
		}
	}
	mean("latency", math.Log1p(c.limits.Latency), minLatencyDeviation, func(n Counts) (float64, bool) {
		return n.LatencyMs / float64(max(1, n.Finished)), n.Finished >= 20 && n.LatencyMs > 0
	})
	mean("memory", math.Log1p(c.limits.Memory), minMemoryDeviation, func(n Counts) (float64, bool) { return n.MemoryMB, n.MemoryMB > 0 })
	return all
}

// compareShares compares shares of requests. Doors differ by more than chance because their customers differ; this variance is
// estimated from the unchanged doors.
func compareShares(name string, changed, others group, margin float64, of func(Counts) (uint64, uint64)) (f metric, ok bool) {
	sum := func(g group) (part, whole float64, shares []float64, samplingVar float64) {
		for _, n := range g.counts {
			p, w := of(n)
			part, whole = part+float64(p), whole+float64(w)
			if w > 0 {
				shares = append(shares, float64(p)/float64(w))
			}
		}
		all := (part + 1) / (whole + 2)
		for _, n := range g.counts {
			if _, w := of(n); w > 0 {
				samplingVar += overdispersion * all * (1 - all) / float64(w) / float64(len(shares))
			}
		}
		return part, whole, shares, samplingVar
	}
	p1, n1, s1, _ := sum(changed)
	p0, n0, s0, samplingVar := sum(others)
	if n1 == 0 || n0 == 0 || len(s0) < 2 {
		return f, false
	}
	_, v := meanVar(s0)
	betweenVar := max(minShareDeviation*minShareDeviation, v-samplingVar)
	a, b := p1/n1, p0/n0
	pooled := (p1 + p0 + 1) / (n1 + n0 + 2)
	sd := math.Sqrt(betweenVar*(1/float64(len(s1))+1/float64(len(s0))) + overdispersion*pooled*(1-pooled)*(1/n1+1/n0))
	return metric{name, a - b, (a - b - margin) / sd, float64(len(s0) - 1),
		fmt.Sprintf("%s: %.1f in 100 operations at the changed, %.1f at the others", name, 100*a, 100*b)}, true
}

// compareLogs compares the logarithms of positive values such as latency or memory.
func compareLogs(name string, changed, others group, margin, least float64, of func(Counts) (float64, bool)) (f metric, ok bool) {
	logs := func(g group) (all []float64) {
		for _, n := range g.counts {
			if x, known := of(n); known {
				all = append(all, math.Log(x))
			}
		}
		return all
	}
	a, b := logs(changed), logs(others)
	if len(a) == 0 || len(b) < 2 {
		return f, false
	}
	m1, _ := meanVar(a)
	m0, v := meanVar(b)
	sd := math.Sqrt(max(v, least*least) * (1/float64(len(a)) + 1/float64(len(b))))
	return metric{name, m1 - m0, (m1 - m0 - margin) / sd, float64(len(b) - 1),
		fmt.Sprintf("%s: %.3g at the changed, %.3g at the others", name, math.Exp(m1), math.Exp(m0))}, true
}

// meanVar returns the mean and the sample variance.
func meanVar(of []float64) (mean, variance float64) {
	for _, x := range of {
		mean += x / float64(len(of))
	}
	for _, x := range of {
		variance += (x - mean) * (x - mean) / float64(max(1, len(of)-1))
	}
	return mean, variance
}
