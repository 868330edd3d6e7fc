package release

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// Counts are what one process of a door has done since it began. They only grow, but for the memory.
type Counts struct {
	Process   uint64  `json:"process"`
	Arrived   uint64  `json:"arrived"`
	InTime    uint64  `json:"in_time"` // finished within the contract time
	Finished  uint64  `json:"finished"`
	Rejected  uint64  `json:"rejected"`
	Failed    uint64  `json:"scrapped"`
	LatencyMs float64 `json:"latency_ms"` // of all finished, added up
	MemoryMB  float64 `json:"memory_mb"`  // resident now
}

// Outcome is a verdict.
type Outcome string

// Verdicts.
const (
	Wait   Outcome = "wait"
	GoOn   Outcome = "go on"
	Stop   Outcome = "halt" // an operator is to look: too little is known, or something is near to harm
	GoBack Outcome = "go back"
)

// Verdict is what a comparison comes to.
type Verdict struct {
	Outcome Outcome `json:"says"`
	Why     string  `json:"why"`
}

const (
	settleMs  = 5e3   // of a new process that isn't compared: it opens connections and knows nothing
	lookMs    = 5e3   // between two looks of the test
	alpha     = 0.01  // chance of a false halt by one figure of one wave, however often is looked
	concern   = 0.1   // chance under which a figure keeps a wave waiting that is over
	leastOps  = 200   // requests at the changed before a wave may be over
	patience  = 3.0   // times the watch, after which a wave that is still unclear is halted
	burst     = 3.0   // by which counts vary more than independent requests would: clients come in bursts
	marginOps = 0.01  // share of requests that the changed may be worse by
	marginLat = 0.15  // of the others' latency
	marginMem = 0.30  // of the others' memory
	leastMem  = 0.05  // deviation of the memory's logarithm that is taken for given
	leastLat  = 0.03  // and of the latency's
	leastSpan = 0.002 // and of a share, between doors
)

// Comparison compares the doors that a release has changed with those that it has not, of the same minutes: never with what
// was before. One serves one wave of one release at the coordinator that leads; a new leader begins anew, which is later and
// never wrong.
type Comparison struct {
	watchMs float64
	ends    Ends
	began   float64 // clock from which is counted; below 0 before all are settled
	settled float64
	doors   map[string]*compared
	looks   int
	lookAt  float64
	bad     string // something that needs no statistics
}

// compared is what one door did since the comparison began.
type compared struct {
	changed bool
	base    Counts // at the beginning, or at its process's beginning
	done    Counts // of processes before, in this comparison
	last    Counts
	at      float64
	crashed int
}

// NewComparison begins one, of a wave that was taken whole at a clock, and is watched for a time.
func NewComparison(now, watchMs float64) *Comparison {
	return (&Comparison{watchMs: watchMs, began: -1, settled: now + settleMs, doors: map[string]*compared{}}).Ending(Ends{})
}

// Ending has the comparison end by other bounds than the module's own, where they are told.
func (c *Comparison) Ending(e Ends) *Comparison {
	c.ends = Ends{cmp.Or(e.Requests, marginOps), cmp.Or(e.Latency, marginLat), cmp.Or(e.Memory, marginMem)}
	return c
}

// Record takes a door's counts in.
func (c *Comparison) Record(now float64, door string, changed bool, n Counts) {
	d := c.doors[door]
	if d == nil || d.changed != changed { // it has been changed, or brought back, amid the comparison: it counts from here on
		c.doors[door] = &compared{changed: changed, base: n, last: n, at: now}
		return
	}
	if n.Process != d.last.Process {
		d.done = plus(d.done, minus(d.last, d.base))
		d.base = Counts{Process: n.Process}
		if changed {
			d.crashed++
		}
	}
	d.last, d.at = n, now
}

// RecordFailure notes that a changed door's process ended by itself, or could not start.
func (c *Comparison) RecordFailure(door, why string) {
	c.bad = fmt.Sprintf("%s: %s", door, why)
}

func minus(a, b Counts) Counts {
	sub := func(x, y uint64) uint64 { return x - min(x, y) }
	return Counts{Process: a.Process, Arrived: sub(a.Arrived, b.Arrived), InTime: sub(a.InTime, b.InTime), Finished: sub(a.Finished, b.Finished),
		Rejected: sub(a.Rejected, b.Rejected), Failed: sub(a.Failed, b.Failed), LatencyMs: max(0, a.LatencyMs-b.LatencyMs), MemoryMB: a.MemoryMB}
}

func plus(a, b Counts) Counts {
	return Counts{Process: b.Process, Arrived: a.Arrived + b.Arrived, InTime: a.InTime + b.InTime, Finished: a.Finished + b.Finished,
		Rejected: a.Rejected + b.Rejected, Failed: a.Failed + b.Failed, LatencyMs: a.LatencyMs + b.LatencyMs, MemoryMB: b.MemoryMB}
}

// group is one side of the comparison.
type group struct {
	names  []string
	counts []Counts
	sum    Counts
}

func (c *Comparison) groups() (changed, others group) {
	for _, name := range slices.Sorted(maps.Keys(c.doors)) {
		d := c.doors[name]
		g := &others
		if d.changed {
			g = &changed
		}
		n := plus(d.done, minus(d.last, d.base))
		g.names, g.counts, g.sum = append(g.names, name), append(g.counts, n), plus(g.sum, n)
	}
	return changed, others
}

// figure is one thing compared: how much worse the changed are, over what they may be, and by how many deviations.
type figure struct {
	name     string
	worse, z float64
	free     float64 // degrees of freedom
	text     string
}

// Evaluate tells the verdict now. Called at any time, it tests every lookMs; the more often it has tested, the surer it must be, so
// that all looks together are wrong no more often than alpha says.
func (c *Comparison) Evaluate(now float64) Verdict {
	if c.bad != "" {
		return Verdict{GoBack, c.bad}
	}
	for name, d := range c.doors {
		if d.crashed > 0 {
			return Verdict{GoBack, name + ": its process ended and began anew"}
		}
	}
	if c.began < 0 {
		if now < c.settled {
			return Verdict{Wait, "the changed settle"}
		}
		c.began, c.lookAt = now, now+lookMs
		for _, d := range c.doors {
			d.base, d.done = d.last, Counts{}
		}
		return Verdict{Wait, "the comparison begins"}
	}
	if now < c.lookAt {
		return Verdict{Wait, "until the next look"}
	}
	c.lookAt = now + lookMs
	c.looks++
	changed, others := c.groups()
	over := now-c.began >= c.watchMs
	if len(changed.names) == 0 || len(others.names) < 2 {
		if over {
			return Verdict{GoOn, "nobody is left to compare with; no process has failed"}
		}
		return Verdict{Wait, "nobody is left to compare with"}
	}
	level := alpha * 6 / (math.Pi * math.Pi * float64(c.looks*c.looks)) // adds up to alpha, however many looks there are
	near := ""
	for _, f := range c.figures(changed, others) {
		p := 1 - tail(f)
		if p < level {
			return Verdict{GoBack, f.text}
		}
		if p < concern {
			near = f.text
		}
	}
	switch {
	case !over:
		return Verdict{Wait, fmt.Sprintf("%.0f of %.0f s", (now-c.began)/1e3, c.watchMs/1e3)}
	case near == "" && changed.sum.Arrived >= leastOps:
		return Verdict{GoOn, fmt.Sprintf("%d operations at %d changed doors, as at %d others", changed.sum.Arrived, len(changed.names), len(others.names))}
	case now-c.began < patience*c.watchMs:
		return Verdict{Wait, cmp.Or(near, "too few operations at the changed so far")}
	}
	return Verdict{Stop, "still unclear after " + fmt.Sprintf("%.0f s: ", (now-c.began)/1e3) + cmp.Or(near, fmt.Sprintf("%d operations at the changed, %d are wanted", changed.sum.Arrived, leastOps))}
}

func tail(f figure) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: max(1, f.free)}.CDF(f.z)
}

// figures compares all that is compared.
func (c *Comparison) figures(changed, others group) (all []figure) {
	share := func(name string, of func(Counts) (part, whole uint64)) {
		if f, ok := compareShares(name, changed, others, c.ends.Requests, of); ok {
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
	mean("latency", math.Log1p(c.ends.Latency), leastLat, func(n Counts) (float64, bool) {
		return n.LatencyMs / float64(max(1, n.Finished)), n.Finished >= 20 && n.LatencyMs > 0
	})
	mean("memory", math.Log1p(c.ends.Memory), leastMem, func(n Counts) (float64, bool) { return n.MemoryMB, n.MemoryMB > 0 })
	return all
}

// compareShares compares shares of requests. Doors differ by more than chance, as their customers do: how much is told by the
// unchanged ones.
func compareShares(name string, changed, others group, margin float64, of func(Counts) (uint64, uint64)) (f figure, ok bool) {
	sum := func(g group) (part, whole float64, shares []float64, chance float64) {
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
				chance += burst * all * (1 - all) / float64(w) / float64(len(shares))
			}
		}
		return part, whole, shares, chance
	}
	p1, n1, s1, _ := sum(changed)
	p0, n0, s0, chance := sum(others)
	if n1 == 0 || n0 == 0 || len(s0) < 2 {
		return f, false
	}
	_, v := meanVar(s0)
	between := max(leastSpan*leastSpan, v-chance)
	a, b := p1/n1, p0/n0
	pooled := (p1 + p0 + 1) / (n1 + n0 + 2)
	sd := math.Sqrt(between*(1/float64(len(s1))+1/float64(len(s0))) + burst*pooled*(1-pooled)*(1/n1+1/n0))
	return figure{name, a - b, (a - b - margin) / sd, float64(len(s0) - 1),
		fmt.Sprintf("%s: %.1f in 100 operations at the changed, %.1f at the others", name, 100*a, 100*b)}, true
}

func compareLogs(name string, changed, others group, margin, least float64, of func(Counts) (float64, bool)) (f figure, ok bool) {
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
	return figure{name, m1 - m0, (m1 - m0 - margin) / sd, float64(len(b) - 1),
		fmt.Sprintf("%s: %.3g at the changed, %.3g at the others", name, math.Exp(m1), math.Exp(m0))}, true
}

func meanVar(of []float64) (mean, variance float64) {
	for _, x := range of {
		mean += x / float64(len(of))
	}
	for _, x := range of {
		variance += (x - mean) * (x - mean) / float64(max(1, len(of)-1))
	}
	return mean, variance
}
