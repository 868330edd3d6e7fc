package coordinator

import (
	"os"
	"strings"
	"syscall"
	"time"
)

// DiskFault names a variable by which a rig spoils this process's disk: the file that it names holds "full", "readonly",
// a span as "1s" that each write is to take, or nothing.
const DiskFaultVariable = "SWIFTHALL_DISK_FAULT"

// Spoiled is what happens before each write by that file; nil where none is named.
func Spoiled(path string) func() error {
	if path == "" {
		return nil
	}
	return func() error {
		raw, _ := os.ReadFile(path)
		switch word := strings.TrimSpace(string(raw)); word {
		case "":
			return nil
		case "full":
			return syscall.ENOSPC
		case "readonly":
			return syscall.EROFS
		default:
			if d, err := time.ParseDuration(word); err == nil {
				time.Sleep(d)
			}
			return nil
		}
	}
}
