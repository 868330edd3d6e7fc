// Package cold simulates, in virtual time, a fleet of doors whose backends have just started, and checks how many attempts the doors
// together start at a cold backend. Each door knows only its own share; the limit applies to the sum.
package cold

import "math"

// Start is an attempt that has reached a backend.
type Start struct {
	At      float64 // ms
	Backend int
}

// Excess is a window in which more attempts were started at a cold backend than allowed.
type Excess struct {
	Start
	Count   int     // in the window that ends with Start
	Allowed float64 // upper limit for Count
}

// Checker counts the starts at cold backends by their true times, independently of what the doors know or decide.
type Checker struct {
	WindowMs, OverloadMultiple float64           // the rule: at most this multiple of the backend's capacity in a window, ms
	ColdCapacity, WarmupMs     float64           // share of the capacity right after a start, and ms until all of it is available
	WarmRate                   float64           // load of a warm backend, attempts per ms
	StartedAt                  []float64         // clock, ms, by backend; 0 if it was never cold
	recent                     map[int][]float64 // start times within the window, by backend
	Excesses                   []Excess
	ColdStarts                 int     // attempts started at cold backends
	MaxShare, MaxOver          float64 // largest share of a budget used in a window, and most attempts above one
}

// Budget is N, the number of attempts that the rule allows a backend in a window ending at a time.
func (c *Checker) Budget(backend int, at float64) float64 {
	share := min(1, c.ColdCapacity+(1-c.ColdCapacity)*max(0, at-c.StartedAt[backend])/c.WarmupMs)
	return c.OverloadMultiple * share * c.WarmRate * c.WindowMs
}

// Record counts a start; starts must come in order of time. Random arrival exceeds N by chance, so an Excess is reported only above
// N + 2*sqrt(N) + 2.
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
	if allowed := n + 2*math.Sqrt(n) + 2; float64(len(window)) > allowed {
		c.Excesses = append(c.Excesses, Excess{s, len(window), allowed})
	}
}
