package fleet

import (
	"golang.org/x/sys/unix"
)

// Monotonic returns the machine's monotonic clock, ms. It is the same for all processes on a machine and independent of
// the wall clock.
func Monotonic() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return float64(t.Sec)*1e3 + float64(t.Nsec)/1e6
}
