package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

const (
	contentionInterval = 50 * time.Millisecond // between two readings of the kernel's statistics
	minContention      = 10 * time.Millisecond // shorter waits are not recorded
)

// measureContention records when threads of a door were ready to run but had no core, according to the kernel's statistics. Such
// delays are caused by the machine, not by the door.
func (r *rig) measureContention() {
	before := map[string]time.Duration{}
	for !r.over() {
		due := r.now()
		time.Sleep(contentionInterval)
		for _, d := range r.doors {
			if longest := longestThreadWait(d.pid(), before); longest > minContention {
				r.history.addStall(Stall{Door: d.number, Due: due, Late: longest})
			}
		}
	}
}

// longestThreadWait returns the longest time that any one thread of a process has waited for a core since the previous call.
// before holds the totals of that call.
func longestThreadWait(pid int, before map[string]time.Duration) (longest time.Duration) {
	if pid == 0 {
		return 0
	}
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range threads {
		raw, err := os.ReadFile(file)
		fields := bytes.Fields(raw) // ns running, ns waiting for a core, number of time slices
		if err != nil || len(fields) < 2 {
			continue
		}
		ns, _ := strconv.ParseInt(string(fields[1]), 10, 64)
		if last, seen := before[file]; seen {
			longest = max(longest, time.Duration(ns)-last)
		}
		before[file] = time.Duration(ns)
	}
	return longest
}

// pid returns the process id of the door's current incarnation, 0 if none is running.
func (d *door) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.incarnation.Exited != 0 {
		return 0
	}
	return d.cmd.Process.Pid
}

// measureNetwork records how long the machine takes to open a loopback connection and echo a byte over it. Such delays are
// caused by the machine, not by the rig or a door.
func (r *rig) measureNetwork() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer ln.Close()
	go acceptAll(ln, func(nc net.Conn) {
		defer nc.Close()
		_, _ = io.Copy(nc, nc)
	})
	for !r.over() {
		due := r.now()
		nc, err := net.DialTimeout("tcp", ln.Addr().String(), time.Second)
		if err == nil {
			nc.SetDeadline(time.Now().Add(time.Second))
			if _, err = nc.Write([]byte{1}); err == nil {
				_, _ = nc.Read(make([]byte, 1))
			}
			nc.Close()
		}
		if elapsed := r.now() - due; elapsed > minStall {
			r.history.addStall(Stall{TheRig, due, elapsed})
		}
		time.Sleep(stallInterval)
	}
}
