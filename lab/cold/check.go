// Package cold plays fleets of doors around backends that have just started, in virtual time, and counts what the doors
// together start there. A door knows its own part alone; what counts is the sum.
package cold

import "math"

// Start is one attempt that reached a backend.
type Start struct {
	At      float64 // ms
	Backend int
}

// Excess is a window in which more was started at a cold backend than it may get.
type Excess struct {
	Start
	Count   int     // in the window that ends with it
	Allowed float64 // that it might have got
}

// Checker counts by true times, and knows nothing of doors or decisions.
type Checker struct {
	WindowMs, OverloadMultiple float64 // of the rule: so many times what a backend can do, over so many ms
	ColdCapacity, WarmupMs     float64 // share that a backend can do at its start, and ms after which it does all
	WarmRate                   float64 // that warm backends take each, attempts per ms
	StartedAt                  []float64
	recent                     map[int][]float64
	Excesses                   []Excess
	ColdStarts                 int     // starts at cold backends
	MaxShare, MaxOver          float64 // of a budget that a window took, and attempts beyond it
}

// Budget is N: what the rule allows a backend in a window that ends at a time.
func (c *Checker) Budget(backend int, at float64) float64 {
	share := min(1, c.ColdCapacity+(1-c.ColdCapacity)*max(0, at-c.StartedAt[backend])/c.WarmupMs)
	return c.OverloadMultiple * share * c.WarmRate * c.WindowMs
}

// Record takes a start in, in order of time.
func (c *Checker) Record(s Start) {
	if c.StartedAt[s.Backend] == 0 || s.At < c.StartedAt[s.Backend] || s.At > c.StartedAt[s.Backend]+c.WarmupMs {
		return
	}
	if c.recent == nil {
		c.recent = map[int][]float64{}
	}
	c.ColdStarts++
	window := append(c.recent[s.Backend], s.At)
	for window[0] <= s.At-c.WindowMs {
		window = window[1:]
	}
	c.recent[s.Backend] = window
	n := c.Budget(s.Backend, s.At)
	c.MaxShare = max(c.MaxShare, float64(len(window))/n)
	c.MaxOver = max(c.MaxOver, float64(len(window))-n)
	if most := n + 2*math.Sqrt(n) + 2; float64(len(window)) > most {
		c.Excesses = append(c.Excesses, Excess{s, len(window), most})
	}
}
