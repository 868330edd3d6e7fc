package trace

// ColdBudget watches the work that comes to a backend that has just started. Sent more than a multiple of what it can
// do at that moment, over a stretch of time, it falls over.
type ColdBudget struct {
	Capacity, From, Span float64 // ms of work a ms when warm; share of it at the start; ms until warm
	Began                float64
	Multiple, Window     float64

	at, work    []float64 // within the window
	informed    []bool
	first       int
	sum         float64
	sumInformed float64
	largest     float64 // largest single work seen, ms
}

// Now is the capacity at a clock.
func (c *ColdBudget) Now(at float64) float64 {
	if c.Span <= 0 || at >= c.Began+c.Span {
		return c.Capacity
	}
	return c.Capacity * (c.From + (1-c.From)*(at-c.Began)/c.Span)
}

// Cold tells whether the backend is still warming up.
func (c *ColdBudget) Cold(at float64) bool { return at < c.Began+c.Span }

const toleratedPeaks = 2 // largest works by which a window may go over its budget by chance

// Take books work, and tells whether the budget is passed, and whether two thirds of the work came from those told.
func (c *ColdBudget) Take(at, work float64, told bool) (over, knowing bool) {
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
	c.at, c.work, c.informed = append(c.at, at), append(c.work, work), append(c.informed, told)
	c.sum += work
	if told {
		c.sumInformed += work
	}
	c.largest = max(c.largest, work)
	return c.sum > c.Multiple*c.Now(at)*c.Window+toleratedPeaks*c.largest, c.sumInformed*3 >= c.sum*2
}
