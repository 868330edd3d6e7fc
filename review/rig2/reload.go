package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// missedReload moves discovery by SIGHUP at all doors while one of them takes a harmless new configuration, and is cut off from the
// coordinators for 5 s.
func missedReload(r *rig) (bool, error) {
	f, err := startFleet(r, 3, 2, slowly, nil)
	if err != nil {
		return false, err
	}
	var fresh []*backend
	var entries []obj
	for i := range 3 {
		b, err := newBackend(r, fmt.Sprintf("new-%d", i), slowly)
		if err != nil {
			return false, err
		}
		fresh = append(fresh, b)
		entries = append(entries, entry(b, "a", "Ready"))
	}
	for _, b := range f.backends { // the second list knows the old backends too: they are to get nothing new
		entries = append(entries, entry(b, "a", "Terminating"))
	}
	second, err := newDiscovery(r, entries...)
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
		return false, fmt.Errorf("no release: %s", out)
	}
	door, _, err := f.awaitChange()
	if err != nil {
		return false, err
	}
	if r.trouble {
		f.links[door].set(true)
	}
	time.Sleep(3 * time.Second)
	for i, path := range f.doorFiles {
		if err := rename(r, path, second.addr); err != nil {
			return false, err
		}
		f.doorProcs[i].signal(syscall.SIGHUP)
	}
	told := time.Now()
	r.note("the doors' files name the second discovery, whose list has the old backends as Terminating")
	time.Sleep(2 * time.Second)
	if r.trouble {
		f.links[door].set(false)
	}
	// What a new configuration brings counts 4 s after SIGHUP, and 6 s after the fact at the latest; then the grace.
	limit := told.Add(6*time.Second + drainGrace)
	time.Sleep(time.Until(told.Add(14 * time.Second)))
	late := map[string]bool{}
	for _, b := range f.backends {
		for _, a := range b.got(limit) {
			late[a.txn] = true
			r.note("late: %s %s at %s, %.0f ms after SIGHUP", a.path, a.txn, b.name, float64(a.at.Sub(told))/1e6)
		}
		b.kill() // they have been draining for 14 s
	}
	ended := time.Now()
	time.Sleep(6 * time.Second)
	all := stop()
	stop = nil
	lost, refused := 0, 0
	for _, res := range all {
		switch {
		case late[res.txn] && res.status != 200:
			lost++
		case res.status != 200 && res.at.After(ended):
			refused++
		}
	}
	right := 0
	for _, b := range fresh {
		right += len(b.got(limit))
	}
	r.note("%d requests; from 6.55 s to 14 s after SIGHUP %d were sent to backends that drain, %d of them lost with these; %d went to the others; after the end of those that drained %d were not served",
		len(all), len(late), lost, right, refused)
	return len(late) > 0, nil
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
