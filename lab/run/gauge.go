package run

import "sync"

// gauge adds up how far several days are.
type gauge struct {
	mu   sync.Mutex
	of   []float64
	tell func(done, all float64)
}

func newGauge(n int, tell func(done, all float64)) *gauge {
	return &gauge{of: make([]float64, n), tell: tell}
}

func (g *gauge) set(i int, done float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.of[i] = max(g.of[i], done)
	sum := 0.0
	for _, d := range g.of {
		sum += d
	}
	g.tell(sum, float64(len(g.of)))
}
