package frontdoor

// In a process that hardly gets the processor bytes are unread for a while, as its clients' time is running. It is noticed by what
// runs later than it should.
const (
	minLateness = 20.0 // ms by which something runs late in such a process
	lateSpan    = 1e3  // ms for which the process is taken to be late then
)

// noteLateness records that something ran late, by some ms, and reports whether that was long.
func (c *core) noteLateness(ms float64) bool {
	if ms <= minLateness {
		return false
	}
	c.lateUntil.store(c.clock.now() + lateSpan)
	return true
}
