package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// clock drains a backend for a time, after the clock of one coordinator's machine was an hour ahead for some seconds.
func clock(r *rig) (bool, error) {
	f, err := startFleet(r, 2, 3, nil, false)
	if err != nil {
		return false, err
	}
	stop := f.load(25*time.Millisecond, "pay")
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	var env []string
	if r.trouble {
		env = append(env, "SWIFTHALL_WALL_OFFSET_S=3600")
	}
	restart := func(i int, env ...string) error {
		f.coordinators[i].signal(syscall.SIGTERM)
		f.coordinators[i].ended(5 * time.Second)
		p, err := f.startCoordinator(i, env...)
		f.coordinators[i] = p
		time.Sleep(3 * time.Second)
		return err
	}
	if err := restart(0, env...); err != nil {
		return false, err
	}
	for range 15 { // until c-0 leads
		out, ok := f.operator(10*time.Second, "status")
		if !ok {
			return false, r.cannot("no status")
		}
		leader := -1
		for i := range 3 {
			if strings.Contains(out, fmt.Sprintf("reported by c-%d", i)) {
				leader = i
			}
		}
		if leader == 0 {
			break
		}
		if err := restart(leader); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if err := restart(0); err != nil { // its clock is right again
		return false, err
	}
	victim := f.backends[1]
	began := time.Now()
	out, ok := f.operator(30*time.Second, "drain", "backend", victim.name, "--for", "40s")
	if !ok {
		return false, r.cannot("not drained: %s", out)
	}
	time.Sleep(25 * time.Second)
	f.operator(5*time.Second, "status")
	f.operator(5*time.Second, "audit")
	stop()
	stop = nil
	late := victim.got(began.Add(3 * time.Second))
	r.note("%d requests came to %s from 3 s to 25 s after it was drained for 40 s", len(late), victim.name)
	return len(late) > 0, nil
}
