package trace

// ColdBudget tracks the work that arrives at a backend that has just started. The backend collapses once it has been sent more
// than Multiple times its current capacity over Window.
type ColdBudget struct {
	Capacity, ColdShare, WarmupTime float64 // capacity when warm, ms of work per ms; share of it at the start; ms until warm
	StartedAt                       float64 // start of the backend, ms
	Multiple, Window                float64 // multiple of the capacity that it withstands; length of the sliding window, ms

	at, work    []float64 // arrivals within the window
	informed    []bool    // whether the sender of each knew that the backend had just started
	first       int       // index of the oldest arrival in the window
	sum         float64   // work in the window, ms
	sumInformed float64   // of that, from senders that knew
	largest     float64   // largest single piece of work so far, ms
}

// CapacityAt returns the capacity at a time.
func (c *ColdBudget) CapacityAt(at float64) float64 {
	if c.WarmupTime <= 0 || at >= c.StartedAt+c.WarmupTime {
		return c.Capacity
	}
	return c.Capacity * (c.ColdShare + (1-c.ColdShare)*(at-c.StartedAt)/c.WarmupTime)
}

// Cold reports whether the backend is still warming up.
func (c *ColdBudget) Cold(at float64) bool { return at < c.StartedAt+c.WarmupTime }

// toleratedPeaks is the number of largest single pieces of work by which a window may exceed its budget, as it can by chance.
const toleratedPeaks = 2

// Add adds an arrival. It reports whether the budget is exceeded, and whether at least two thirds of the work in the window came
// from senders that knew that the backend had just started.
func (c *ColdBudget) Add(at, work float64, informed bool) (over, mostlyInformed bool) {
	for c.first < len(c.at) && c.at[c.first] < at-c.Window {
		c.sum -= c.work[c.first]
		if c.informed[c.first] {
			c.sumInformed -= c.work[c.first]
		}
		c.first++
	}
	if c.first > 256 && c.first*2 > len(c.at) {
		n := copy(c.at, c.at[c.first:])
		copy(c.work, c.work[c.first:])
		copy(c.informed, c.informed[c.first:])
		c.at, c.work, c.informed, c.first = c.at[:n], c.work[:n], c.informed[:n], 0
	}
	c.at, c.work, c.informed = append(c.at, at), append(c.work, work), append(c.informed, informed)
	c.sum += work
	if informed {
		c.sumInformed += work
	}
	c.largest = max(c.largest, work)
	return c.sum > c.Multiple*c.CapacityAt(at)*c.Window+toleratedPeaks*c.largest, c.sumInformed*3 >= c.sum*2
}
