package stand

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick     = 10 * time.Millisecond // unit of the CPU times in /proc/PID/stat
	userTimeField = 11                    // of the fields after the program's name; the system time follows
)

// cpuTime returns the CPU time that a process has used, 0 if it is not available.
func cpuTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= userTimeField+1 {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[userTimeField+1])
	return time.Duration(user+system) * clockTick
}
