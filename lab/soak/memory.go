package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// memoryInterval is the time between two readings of the peak memory of the processes. The kernel keeps the peak, so that only
// what happens between the last reading and a process's exit is missed.
const memoryInterval = 20 * time.Millisecond

// measureMemory keeps the peak resident memory of every process.
func (r *rig) measureMemory() {
	for !r.over() {
		for _, d := range r.doors {
			if pid := d.pid(); pid != 0 {
				d.recordMemory(pid, peakMemory(pid))
			}
		}
		time.Sleep(memoryInterval)
	}
}

// recordMemory records the peak memory of the process with a pid, unless another one has followed it.
func (d *door) recordMemory(pid int, peak int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.incarnation.Exited == 0 && d.cmd.Process.Pid == pid {
		d.incarnation.PeakMemory = max(d.incarnation.PeakMemory, peak)
	}
}

// peakMemory returns the largest resident memory that a process has had so far, in bytes; 0 if it is unknown. It is 0 for a
// process that does not run the door's program yet.
func peakMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil || !bytes.Contains(status, []byte("Name:\tswifthall\n")) {
		return 0
	}
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	line, _, _ := bytes.Cut(rest, []byte("kB"))
	kib, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return 0
	}
	return kib << 10
}
