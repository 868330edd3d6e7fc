package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// forgottenList tells the doors that a backend drains, and half a minute later brings a harmless new configuration to them. Discovery goes
// down just before that, for 7.5 s.
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
	starts := f.watchStarts()
	victim := f.backends[1]
	f.disc.change(entry(victim, "a", "Terminating"))
	told := time.Now()
	limit := told.Add(drainGrace)
	time.Sleep(10 * time.Second)
	if n := len(victim.got(limit)); n > 0 {
		return false, r.cannot("%d requests at %s before anything else was done", n, victim.name)
	}
	if r.trouble {
		f.disc.setDown(true)
	}
	down := time.Now()
	if out, ok := f.operator(10*time.Second, "release", "start", file); !ok {
		return false, r.cannot("no release: %s", out)
	}
	waitFor(time.Until(down.Add(outage)), func() bool { return len(starts.late(victim.got(limit))) >= 3 })
	f.endDrained(victim)
	time.Sleep(time.Until(down.Add(outage)))
	if r.trouble {
		f.disc.setDown(false)
	}
	time.Sleep(3 * time.Second)
	_, lost, refused := f.count(stop(), told, limit, victim)
	stop = nil
	all, late := len(victim.got(limit)), len(starts.late(victim.got(limit)))
	r.note("%d requests sent to %s later than the grace, %d of them later than the grace after the start of a new process too, %d lost with it; %d others not served after its end",
		all, victim.name, late, lost, refused)
	return late > 0, nil
}

// processStarts is when the doors' processes were started, by door.
type processStarts struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// watchStarts watches for new processes of the doors from now on.
func (f *fleetRig) watchStarts() *processStarts {
	s := &processStarts{at: map[string][]time.Time{}}
	go func() {
		known := map[int]bool{}
		for first := true; ; first = false {
			for i, p := range f.doorProcs {
				for _, id := range children(p) {
					if known[id] {
						continue
					}
					if known[id] = true; !first {
						f.r.note("door-%d has started process %d", i, id)
						s.mu.Lock()
						s.at[fmt.Sprintf("d%d", i)] = append(s.at[fmt.Sprintf("d%d", i)], time.Now())
						s.mu.Unlock()
					}
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return s
}

// late returns those of requests that came later than the grace after the latest start of a process of their door before: what discovery has
// told counts as told to a new process from its first moment, and it has the grace from then.
func (s *processStarts) late(requests []*arrival) (late []*arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range requests {
		door, _, _ := strings.Cut(a.txn, "-")
		excused := slices.ContainsFunc(s.at[door], func(start time.Time) bool {
			return a.at.After(start.Add(-10*time.Millisecond)) && a.at.Before(start.Add(drainGrace))
		})
		if !excused {
			late = append(late, a)
		}
	}
	return late
}

// outage is how long discovery is down: the page allows 8 s.
const outage = 7500 * time.Millisecond
