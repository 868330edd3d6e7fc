package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// restored loses two of three coordinators for good, and restores the third one, as docs/coordinators.md says. With the disruption that one
// was down while the last drains were ordered and ended. Then a backend is drained.
func restored(r *rig) (bool, error) {
	f, err := startFleet(r, 3, 4, slowly, false)
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
	out, ok := f.operator(10*time.Second, "status")
	if !ok {
		return false, r.cannot("no status: %s", out)
	}
	last := 2 // one that doesn't lead
	if strings.Contains(out, "reported by c-2") {
		last = 1
	}
	if r.trouble {
		f.coordinators[last].signal(syscall.SIGKILL)
		f.coordinators[last].ended(3 * time.Second)
	}
	for range 2 {
		if out, ok := f.operator(30*time.Second, "drain", "backend", "b-2", "--wait", "--wait-most", "20s"); !ok {
			return false, r.cannot("not drained: %s", out)
		}
		if out, ok := f.operator(10*time.Second, "undrain", "backend", "b-2"); !ok {
			return false, r.cannot("not undrained: %s", out)
		}
		if !waitFor(20*time.Second, func() bool {
			time.Sleep(300 * time.Millisecond)
			out, _ := f.operator(5*time.Second, "status")
			return !strings.Contains(out, "coming back")
		}) {
			return false, r.cannot("b-2 is not back")
		}
	}
	for i, p := range f.coordinators {
		if i != last {
			r.note("c-%d is lost for good", i)
			p.signal(syscall.SIGKILL)
		}
	}
	if !r.trouble {
		f.coordinators[last].signal(syscall.SIGTERM)
		f.coordinators[last].ended(5 * time.Second)
	}
	raw, err := os.ReadFile(f.coordFiles[last])
	if err != nil {
		return false, err
	}
	var cfg obj
	if err := json.Unmarshal(raw, &cfg); err != nil {
		return false, err
	}
	cfg["peers"] = []string{fmt.Sprintf("c-%d/%s", last, cfg["listen"])}
	if _, err := r.file(filepath.Base(f.coordFiles[last]), cfg); err != nil {
		return false, err
	}
	if _, err := r.run(fmt.Sprintf("c-%d", last), "exec bin/swifthall coordinate --restore --config "+f.coordFiles[last]); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // until all doors have told it what they know
	f.operator(5*time.Second, "status")
	victim := f.backends[1]
	told, limit, err := f.drainAndReplace(victim, 8*time.Second, func() error { return nil })
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	late, lost, _ := f.count(stop(), told, limit, victim)
	stop = nil
	r.note("%d requests sent to %s after its drain, %d of them lost with it", late, victim.name, lost)
	return late > 0, nil
}
