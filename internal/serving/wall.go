package serving

import (
	"os"
	"strconv"
	"time"
)

// WallOffset names a variable by which a rig has this process's wall clock be wrong, by so many seconds. Doors use the wall
// clock for the times in the log alone; coordinators for those of the audit, and for when a drain ends by itself.
const WallOffsetVariable = "SWIFTHALL_WALL_OFFSET_S"

// WallClockOffset is by how much the wall clock is to be wrong; 0 where no rig says so.
func WallClockOffset() time.Duration {
	s, err := strconv.ParseFloat(os.Getenv(WallOffsetVariable), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
