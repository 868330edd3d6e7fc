package frontdoor

import "time"

// clock tells Unix time in ms with fractions. The wall clock is read once; from then on time is monotonic.
type clock struct {
	start time.Time
	wall  float64
}

func newClock() clock {
	t := time.Now()
	return clock{start: t, wall: float64(t.UnixMicro()) / 1e3}
}

func (c *clock) now() float64 { return c.wall + float64(time.Since(c.start))/1e6 }

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
