package main

import (
	"syscall"
	"time"
)

// earlyReload restarts a door, and sends it SIGHUP half a second after its start.
func earlyReload(r *rig) (bool, error) {
	f, err := startFleet(r, 1, 2, nil, false)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	s := syscall.SIGTERM
	if r.trouble {
		s = syscall.SIGKILL
	}
	f.doorProcs[0].signal(s)
	if r.trouble {
		time.Sleep(100 * time.Millisecond) // its supervisor starts it again
	} else if !f.doorProcs[0].ended(10 * time.Second) {
		return false, r.cannot("the door has not ended")
	}
	p, err := f.startDoor(0)
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGHUP)
	crashed := p.ended(5 * time.Second)
	return crashed, nil
}
