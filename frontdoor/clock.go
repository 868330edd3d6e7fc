package frontdoor

import "time"

// clock returns Unix time in ms with fractions. The wall clock is read once, at the start; from then on the clock is monotonic.
type clock struct {
	start time.Time
	base  float64
	wall  func() wallTime // reads the machine's wall clock
}

// wallTime is an instant on the machine's wall clock, Unix ms. The wall clock may be stepped, so the difference of two such
// instants is a valid duration only if both were read at nearly the same time.
type wallTime float64

func newClock() clock {
	t := time.Now()
	return clock{start: t, base: float64(t.UnixMicro()) / 1e3, wall: systemWall}
}

func systemWall() wallTime { return wallTime(float64(time.Now().UnixMicro()) / 1e3) }

func (c *clock) now() float64 { return c.base + float64(time.Since(c.start))/1e6 }

// elapsedSince returns the ms from a wall-clock instant, just learned, until now. The result is clamped to [0, limit], as the
// wall clock may have been stepped in between.
func (c *clock) elapsedSince(at wallTime, limit float64) float64 {
	return min(max(0, float64(c.wall()-at)), limit)
}

// duration converts ms to a time.Duration.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
