package frontdoor

import "time"

// clock tells Unix time in ms with fractions. The wall clock is read once; from then on time is monotonic.
type clock struct {
	start time.Time
	base  float64
	wall  func() wallTime // the machine's wall clock
}

// wallTime is an instant by the machine's wall clock, Unix ms. It may be stepped, so that two of them tell no span unless both
// were read within a moment.
type wallTime float64

func newClock() clock {
	t := time.Now()
	return clock{start: t, base: float64(t.UnixMicro()) / 1e3, wall: systemWall}
}

func systemWall() wallTime { return wallTime(float64(time.Now().UnixMicro()) / 1e3) }

func (c *clock) now() float64 { return c.base + float64(time.Since(c.start))/1e6 }

// elapsedSince is how long elapsedSince, in ms, an instant was that is heard of just now: not less than 0, and at most a bound, as the wall clock
// may have been stepped between that instant and now.
func (c *clock) elapsedSince(at wallTime, most float64) float64 {
	return min(max(0, float64(c.wall()-at)), most)
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
