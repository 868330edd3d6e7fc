package coordinator

import (
	"os"
	"strings"
	"syscall"
	"time"
)

// DiskFaultVariable is the environment variable that names a file by which a test injects disk faults into this process. The file
// contains "full", "readonly", a duration such as "1s" by which each write is delayed, or nothing.
const DiskFaultVariable = "SWIFTHALL_DISK_FAULT"

// DiskFaultHook returns a function that reads the file and injects the fault; it is called before each write. It is nil if path is
// empty.
func DiskFaultHook(path string) func() error {
	if path == "" {
		return nil
	}
	return func() error {
		raw, _ := os.ReadFile(path)
		switch fault := strings.TrimSpace(string(raw)); fault {
		case "":
			return nil
		case "full":
			return syscall.ENOSPC
		case "readonly":
			return syscall.EROFS
		default:
			if d, err := time.ParseDuration(fault); err == nil {
				time.Sleep(d)
			}
			return nil
		}
	}
}
