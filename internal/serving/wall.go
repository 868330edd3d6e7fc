package serving

import (
	"os"
	"strconv"
	"time"
)

// WallOffsetVariable is the environment variable with which a test rig skews this process's wall clock, in s. Doors use the wall clock
// for log timestamps only; coordinators use it for timestamps of the audit log and for the time at which a drain expires.
const WallOffsetVariable = "SWIFTHALL_WALL_OFFSET_S"

// WallClockOffset returns the configured skew of the wall clock, or 0 if there is none.
func WallClockOffset() time.Duration {
	s, err := strconv.ParseFloat(os.Getenv(WallOffsetVariable), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
