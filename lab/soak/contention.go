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
	contentionInterval = 50 * time.Millisecond
	minContention      = 10 * time.Millisecond
)

// measureContention records when the threads of a door were ready to run and had no core, by the kernel's own count: what the
// machine holds up is not the door's doing.
func (w *rig) measureContention() {
	before := map[string]time.Duration{}
	for !w.over() {
		due := w.now()
		time.Sleep(contentionInterval)
		for _, d := range w.doors {
			if most := longestThreadWait(d.pid(), before); most > minContention {
				w.history.addStall(Stall{Door: d.number, Due: due, Late: most})
			}
		}
	}
}

// longestThreadWait is the longest that one thread of a process has longestThreadWait for a core since the last look.
func longestThreadWait(process int, before map[string]time.Duration) (most time.Duration) {
	if process == 0 {
		return 0
	}
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process))
	for _, file := range threads {
		raw, err := os.ReadFile(file)
		fields := bytes.Fields(raw) // time on a core, time waiting for one, turns; ns
		if err != nil || len(fields) < 2 {
			continue
		}
		ns, _ := strconv.ParseInt(string(fields[1]), 10, 64)
		if last, known := before[file]; known {
			most = max(most, time.Duration(ns)-last)
		}
		before[file] = time.Duration(ns)
	}
	return most
}

// pid is the number of the door's present pid; 0 where it has none.
func (d *door) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.incarnation.Exited != 0 {
		return 0
	}
	return d.cmd.Process.Pid
}

// measureNetwork records how long the machine itself takes for a new loopback connection and an echo on it: what it holds up
// there, neither the rig nor a door can help.
func (w *rig) measureNetwork() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer ln.Close()
	go acceptAll(ln, func(nc net.Conn) {
		defer nc.Close()
		_, _ = io.Copy(nc, nc)
	})
	for !w.over() {
		due := w.now()
		nc, err := net.DialTimeout("tcp", ln.Addr().String(), time.Second)
		if err == nil {
			nc.SetDeadline(time.Now().Add(time.Second))
			if _, err = nc.Write([]byte{1}); err == nil {
				_, _ = nc.Read(make([]byte, 1))
			}
			nc.Close()
		}
		if took := w.now() - due; took > minStall {
			w.history.addStall(Stall{TheRig, due, took})
		}
		time.Sleep(stallInterval)
	}
}
