package main

import (
	"fmt"
	"syscall"
	"time"
)

// newConfigurations moves discovery by SIGHUP at all doors, and some seconds later brings a harmless new configuration to them.
func newConfigurations(r *rig) (bool, error) {
	f, err := startFleet(r, 3, 2, slowly, false)
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
	told, err := f.moveDiscovery(second)
	if err != nil {
		return false, err
	}
	limit := told.Add(6*time.Second + drainGrace)
	time.Sleep(time.Until(limit.Add(time.Second)))
	for _, b := range f.backends {
		if n := len(b.got(limit)); n > 0 {
			return false, r.cannot("%d requests at %s before anything else was done", n, b.name)
		}
	}
	if r.trouble {
		if out, ok := f.operator(10*time.Second, "release", "start", file); !ok {
			return false, r.cannot("no release: %s", out)
		}
		if err := f.awaitRelease(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	f.endDrained(f.backends...)
	time.Sleep(6 * time.Second)
	late, lost, refused := f.count(stop(), told, limit, f.backends...)
	stop = nil
	right := 0
	for _, b := range fresh {
		right += len(b.got(limit))
	}
	r.note("later than 6.55 s after SIGHUP %d were sent to backends that drain, %d of them lost with these; %d went to the others; after the end of those that drained %d were not served", late, lost, right, refused)
	return late > 0, nil
}

// secondDiscovery starts further backends and a second discovery, whose list has these as Ready and those of the first as Terminating.
func (f *fleetRig) secondDiscovery() (fresh []*backend, second *discovery, err error) {
	var entries []obj
	for i := range 3 {
		b, err := newBackend(f.r, fmt.Sprintf("new-%d", i), slowly)
		if err != nil {
			return nil, nil, err
		}
		fresh = append(fresh, b)
		entries = append(entries, entry(b, "a", "Ready"))
	}
	for _, b := range f.backends {
		entries = append(entries, entry(b, "a", "Terminating"))
	}
	second, err = newDiscovery(f.r, entries...)
	return fresh, second, err
}

// moveDiscovery names another discovery in the files of all doors, and sends them SIGHUP.
func (f *fleetRig) moveDiscovery(to *discovery) (told time.Time, err error) {
	for i, path := range f.doorFiles {
		if err := rename(f.r, path, to.addr); err != nil {
			return told, err
		}
		f.doorProcs[i].signal(syscall.SIGHUP)
	}
	f.r.note("the doors' files name the second discovery, whose list has the old backends as Terminating")
	return time.Now(), nil
}

// endDrained ends backends that have been draining for long, as is allowed.
func (f *fleetRig) endDrained(backends ...*backend) {
	for _, b := range backends {
		b.kill()
	}
	f.ended = time.Now()
}

// count returns how many requests backends got later than a limit, how many of these were lost with them, and how many others were not served
// after their end.
func (f *fleetRig) count(all []result, told, limit time.Time, backends ...*backend) (late, lost, refused int) {
	answered := map[string]int{}
	for _, res := range all {
		answered[res.txn] = res.status
	}
	sent := map[string]bool{}
	for _, b := range backends {
		for _, a := range b.got(limit) {
			late++
			f.r.note("late: %s %s at %s, %.0f ms after the doors were told; its client got %d", a.path, a.txn, b.name, float64(a.at.Sub(told))/1e6, answered[a.txn])
			if sent[a.txn] = true; answered[a.txn] != 200 {
				lost++
			}
		}
	}
	for _, res := range all {
		if !sent[res.txn] && res.status != 200 && res.at.After(f.ended) {
			refused++
		}
	}
	return late, lost, refused
}
