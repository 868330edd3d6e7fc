package trace

// ColdBudget watches the work that comes to a backend that has just started. Sent more than a multiple of what it can
// do at that moment, over a stretch of time, it falls over.
type ColdBudget struct {
	Capacity, ColdShare, WarmupTime float64 // ms of work a ms when warm; share of it at the start; ms until warm
	StartedAt                       float64
	Multiple, Window                float64

	at, work []float64 // within the window
	told     []bool
	first    int
	sum      float64
	sumTold  float64
	most     float64 // largest single work seen, ms
}

// CapacityAt is the capacity at a clock.
func (c *ColdBudget) CapacityAt(at float64) float64 {
	if c.WarmupTime <= 0 || at >= c.StartedAt+c.WarmupTime {
		return c.Capacity
	}
	return c.Capacity * (c.ColdShare + (1-c.ColdShare)*(at-c.StartedAt)/c.WarmupTime)
}

// Cold tells whether the backend is still warming up.
func (c *ColdBudget) Cold(at float64) bool { return at < c.StartedAt+c.WarmupTime }

const chanceWorks = 2 // largest works by which a window may go over its budget by chance

// Add books work, and tells whether the budget is passed, and whether two thirds of the work came from those told.
func (c *ColdBudget) Add(at, work float64, told bool) (over, knowing bool) {
	for c.first < len(c.at) && c.at[c.first] < at-c.Window {
		c.sum -= c.work[c.first]
		if c.told[c.first] {
			c.sumTold -= c.work[c.first]
		}
		c.first++
	}
	if c.first > 256 && c.first*2 > len(c.at) {
		n := copy(c.at, c.at[c.first:])
		copy(c.work, c.work[c.first:])
		copy(c.told, c.told[c.first:])
		c.at, c.work, c.told, c.first = c.at[:n], c.work[:n], c.told[:n], 0
	}
	c.at, c.work, c.told = append(c.at, at), append(c.work, work), append(c.told, told)
	c.sum += work
	if told {
		c.sumTold += work
	}
	c.most = max(c.most, work)
	return c.sum > c.Multiple*c.CapacityAt(at)*c.Window+chanceWorks*c.most, c.sumTold*3 >= c.sum*2
}
