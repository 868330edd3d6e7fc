package stand

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick     = 10 * time.Millisecond // unit of the kernel's account of a process
	userTimeField = 11                    // of it, counted behind the program's name
)

// cpuTime is the processor time that a process has used, 0 where the kernel does not tell.
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
