package main

import "time"

// drainGrace is the time after which nothing new may go to a backend, of the settings, with what real time is given more.
const drainGrace = 550 * time.Millisecond

// drained drains a backend, waits until all doors have confirmed it, and then brings a harmless new configuration to the doors.
func drained(r *rig) (bool, error) {
	f, err := startFleet(r, 3, 4, slowly, false)
	if err != nil {
		return false, err
	}
	file, err := f.releaseFile("harmless", obj{"pace": obj{"redial_ms": 120}}, []obj{{"rest": true, "watch_s": 5}})
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
	told, limit, err := f.drainAndReplace(victim, 15*time.Second, func() error {
		time.Sleep(2 * time.Second)
		if r.trouble {
			if out, ok := f.operator(10*time.Second, "release", "start", file); !ok {
				return r.cannot("no release: %s", out)
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	f.operator(5*time.Second, "status")
	time.Sleep(2 * time.Second)
	late, lost, _ := f.count(stop(), told, limit, victim)
	stop = nil
	r.note("%d requests sent to %s after its drain, %d of them lost with it", late, victim.name, lost)
	return late > 0, nil
}
