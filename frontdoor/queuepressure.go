package frontdoor

import "math"

// queuePressure estimates how long clients wait in a listener's queue whose length is unknown, from whether accepts had to wait for
// a client. It halves the time that a connection has for its first request with each maxQueueWait in which none had to, and
// doubles it more slowly when the queue is empty at times: what a short time has made room for would otherwise fill at once.
type queuePressure struct {
	halvings  float64 // of the time for a first request
	updatedAt float64 // clock, ms; 0 is never
}

const (
	maxHalvings   = 6   // from Pace.Linger to less than minCrowdGrace
	relaxInterval = 1e3 // ms with an empty queue after which the time is doubled
)

// update updates the pressure. queueEmpty reports that an accept had to wait for a client since the last update.
func (p *queuePressure) update(now float64, queueEmpty bool) {
	elapsed := now - p.updatedAt
	first := p.updatedAt == 0 || elapsed > crowdSpan
	p.updatedAt = now
	switch {
	case first:
		p.halvings = 0
	case queueEmpty:
		p.halvings = max(0, p.halvings-elapsed/relaxInterval)
	default:
		p.halvings = min(maxHalvings, p.halvings+elapsed/maxQueueWait)
	}
}

// grace returns the time for a first request, of the time without pressure, ms.
func (p *queuePressure) grace(unpressed float64) float64 {
	return max(minCrowdGrace, unpressed*math.Exp2(-p.halvings))
}
