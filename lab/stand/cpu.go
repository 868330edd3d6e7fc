package stand

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick = 10 * time.Millisecond // unit of the kernel's account of a process
	fieldUser = 11                    // of it, counted behind the program's name
)

// cpu is the processor time that a process has used, 0 where the kernel does not tell.
func cpu(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldUser+1 {
		return 0
	}
	user, _ := strconv.Atoi(fields[fieldUser])
	system, _ := strconv.Atoi(fields[fieldUser+1])
	return time.Duration(user+system) * clockTick
}
