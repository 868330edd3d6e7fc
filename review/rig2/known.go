package main

import (
	"fmt"
	"time"
)

// forgottenList tells the doors that a backend drains, and half a minute later brings a harmless new configuration to them. Discovery goes
// down just before that, for 8 s.
func forgottenList(r *rig) (bool, error) {
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
	victim := f.backends[1]
	f.disc.change(entry(victim, "a", "Terminating"))
	told := time.Now()
	limit := told.Add(drainGrace)
	time.Sleep(10 * time.Second)
	if n := len(victim.got(limit)); n > 0 {
		return false, fmt.Errorf("%d requests at %s before anything else was done", n, victim.name)
	}
	if r.trouble {
		f.disc.setDown(true)
	}
	down := time.Now()
	if out, ok := f.operator(10*time.Second, "release", "start", file); !ok {
		return false, fmt.Errorf("no release: %s", out)
	}
	waitFor(time.Until(down.Add(outage)), func() bool { return len(victim.got(limit)) >= 3 })
	f.endDrained(victim)
	time.Sleep(time.Until(down.Add(outage)))
	if r.trouble {
		f.disc.setDown(false)
	}
	time.Sleep(3 * time.Second)
	late, lost, refused := f.count(stop(), told, limit, victim)
	stop = nil
	r.note("%d requests sent to %s later than the grace, %d of them lost with it; %d others not served after its end", late, victim.name, lost, refused)
	return late > 0, nil
}

// outage is how long discovery is down.
const outage = 8 * time.Second
