package run

import "sync"

// progressSum adds up the progress of several runs.
type progressSum struct {
	mu     sync.Mutex
	done   []float64
	report func(done, all float64)
}

func newProgressSum(n int, report func(done, all float64)) *progressSum {
	return &progressSum{done: make([]float64, n), report: report}
}

// set sets the progress of one run, which never goes back, and reports the sum.
func (g *progressSum) set(i int, done float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done[i] = max(g.done[i], done)
	sum := 0.0
	for _, d := range g.done {
		sum += d
	}
	g.report(sum, float64(len(g.done)))
}
