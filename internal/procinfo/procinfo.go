// Package procinfo reads what the system tells about the present process (proc(5)).
package procinfo

import (
	"bytes"
	"os"
	"strconv"

	"github.com/swifthall/swifthall/internal/reading"
)

const (
	residentColumn  = 1 // of /proc/self/statm, in pages
	standardStreams = 3 // stdin, stdout and stderr
)

// ResidentMemory returns the resident memory of the process in bytes, if the system tells it.
func ResidentMemory() reading.Value[int64] {
	statm, err := os.ReadFile("/proc/self/statm")
	columns := bytes.Fields(statm)
	if err != nil || len(columns) <= residentColumn {
		return reading.Unknown[int64]()
	}
	pages, err := strconv.ParseInt(string(columns[residentColumn]), 10, 64)
	if err != nil {
		return reading.Unknown[int64]()
	}
	return reading.Known(pages * int64(os.Getpagesize()))
}

// OpenDescriptors returns the number of descriptors that the process has open; the standard streams if the system does not tell.
func OpenDescriptors() int {
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return standardStreams
	}
	return len(files)
}
