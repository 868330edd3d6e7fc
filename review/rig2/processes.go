package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// children returns the ids of the processes that a process has started.
func children(p *proc) (all []int) {
	pid := p.cmd.Process.Pid
	tasks, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	for _, t := range tasks {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/children", pid, t.Name()))
		for _, word := range strings.Fields(string(raw)) {
			if id, err := strconv.Atoi(word); err == nil {
				all = append(all, id)
			}
		}
	}
	return all
}

// awaitChange waits until a door has started a second process, which is to take the place of the first. It returns the door's number and
// the id of the first.
func (f *fleetRig) awaitChange() (door, serving int, err error) {
	serving = -1
	before := make([][]int, len(f.doorProcs))
	for i, p := range f.doorProcs {
		if before[i] = children(p); len(before[i]) != 1 {
			return 0, 0, f.r.cannot("door-%d has not one serving process", i)
		}
	}
	ok := waitFor(15*time.Second, func() bool {
		for i, p := range f.doorProcs {
			if len(children(p)) > 1 {
				door, serving = i, before[i][0]
				return true
			}
		}
		return false
	})
	if !ok {
		return 0, 0, f.r.cannot("no door takes the release")
	}
	f.r.note("door-%d has started a process for the new configuration; %d serves", door, serving)
	return door, serving, nil
}

// awaitRelease waits until a release is done.
func (f *fleetRig) awaitRelease() error {
	if !waitFor(50*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		out, _ := f.operator(5*time.Second, "release", "status")
		return strings.Contains(out, " done ")
	}) {
		return f.r.cannot("the release is not done")
	}
	return nil
}

// drainAndReplace drains a backend and waits until all doors have confirmed that. Within a time after that it lets somebody end the backend,
// as is allowed then: in the moment in which the third request sent after the grace has come there, or at the end of the time.
func (f *fleetRig) drainAndReplace(b *backend, within time.Duration, meanwhile func() error) (told, limit time.Time, err error) {
	if out, ok := f.operator(30*time.Second, "drain", "backend", b.name, "--wait", "--wait-most", "20s"); !ok {
		return told, limit, f.r.cannot("not drained: %s", out)
	}
	told = time.Now()
	limit = told.Add(drainGrace)
	f.r.note("%s is drained: every door has confirmed", b.name)
	if err := meanwhile(); err != nil {
		return told, limit, err
	}
	waitFor(within, func() bool { return len(b.got(limit)) >= 3 })
	f.endDrained(b)
	return told, limit, nil
}

// service is how long the backends of the fleets' cases work on a request.
const service = 150 * time.Millisecond

func slowly(a *arrival) {
	time.Sleep(service)
	a.answer(200, bodyOf(a.txn))
}

// twoProcesses brings a harmless new configuration to a fleet. The door that takes it first is cut off from the coordinators for 5 s, and
// its serving process is killed in that time. Long after all is over a backend is drained.
func twoProcesses(r *rig) (bool, error) {
	f, err := startFleet(r, 3, 4, slowly, false)
	if err != nil {
		return false, err
	}
	file, err := f.releaseFile("harmless", obj{"pace": obj{"redial_ms": 120}}, []obj{{"rest": true, "watch_s": 2}})
	if err != nil {
		return false, err
	}
	stop := f.load(25*time.Millisecond, "pay")
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	time.Sleep(2 * time.Second)
	if out, ok := f.operator(10*time.Second, "release", "start", file); !ok {
		return false, r.cannot("no release: %s", out)
	}
	door, serving, err := f.awaitChange()
	if err != nil {
		return false, err
	}
	if r.trouble {
		f.links[door].set(true)
		time.Sleep(3 * time.Second)
		r.note("door-%d: its serving process %d is killed", door, serving)
		_ = syscall.Kill(serving, syscall.SIGKILL)
		time.Sleep(2 * time.Second)
		f.links[door].set(false)
	}
	if err := f.awaitRelease(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // what was replaced has ended by now, and what coordinators tell has been told
	for i, p := range f.doorProcs {
		r.note("processes that serve as door-%d: %v", i, children(p))
	}
	victim := f.backends[1]
	told, limit, err := f.drainAndReplace(victim, 10*time.Second, func() error { return nil })
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	late, lost, _ := f.count(stop(), told, limit, victim)
	stop = nil
	r.note("%d requests sent to %s after its drain, %d of them lost with it", late, victim.name, lost)
	return late > 0, nil
}
