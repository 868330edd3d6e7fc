package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// missedReload moves discovery by SIGHUP at all doors while one of them takes a harmless new configuration, and is cut off from the
// coordinators for 5 s.
func missedReload(r *rig) (bool, error) {
	f, err := startFleet(r, 3, 2, slowly, true)
	if err != nil {
		return false, err
	}
	fresh, second, err := f.secondDiscovery()
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
	door, _, err := f.awaitChange()
	if err != nil {
		return false, err
	}
	if r.trouble {
		f.links[door].set(true)
	}
	time.Sleep(3 * time.Second)
	told, err := f.moveDiscovery(second)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		f.links[door].set(false)
	}
	// What a new configuration brings counts 4 s after SIGHUP, and 6 s after the fact at the latest; then the grace.
	limit := told.Add(6*time.Second + drainGrace)
	time.Sleep(time.Until(told.Add(14 * time.Second)))
	f.endDrained(f.backends...)
	time.Sleep(6 * time.Second)
	late, lost, refused := f.count(stop(), told, limit, f.backends...)
	stop = nil
	right := 0
	for _, b := range fresh {
		right += len(b.got(limit))
	}
	r.note("from 6.55 s to 14 s after SIGHUP %d were sent to backends that drain, %d of them lost with these; %d went to the others; after the end of those that drained %d were not served", late, lost, right, refused)
	return late > 0, nil
}

// rename names another discovery in a door's file, which it replaces at once.
func rename(r *rig, path, discovery string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var cfg obj
	if err := json.Unmarshal(raw, &cfg); err != nil {
		return err
	}
	cfg["discovery"] = discovery
	next, err := r.file(filepath.Base(path)+".next", cfg)
	if err != nil {
		return err
	}
	return os.Rename(next, path)
}
