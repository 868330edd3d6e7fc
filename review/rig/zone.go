package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["zone"] = zoneCase }

// front is a stand-in of the platform's front: it looks every 200 ms which doors are ready, and deals clients' requests out among these.
type front struct {
	d     *deployment
	mu    sync.Mutex
	ready []int
	all   []outcome
	doors []int // of the outcomes
}

func (f *front) watch(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []int
		for i := range f.d.doors {
			if f.d.readyNow(i) {
				ready = append(ready, i)
			}
		}
		f.mu.Lock()
		f.ready = ready
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

// run sends requests until ctx ends.
func (f *front) run(ctx context.Context, every time.Duration) {
	go f.watch(ctx)
	cl := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}, Timeout: 5 * time.Second}
	t := time.NewTicker(every)
	defer t.Stop()
	var group sync.WaitGroup
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-t.C:
		}
		f.mu.Lock()
		ready := f.ready
		f.mu.Unlock()
		if len(ready) == 0 {
			continue
		}
		door := ready[n%len(ready)]
		group.Go(func() {
			o := f.d.one(cl, door, fmt.Sprintf("%016x", n), uint64(1+n%20))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.all, f.doors = append(f.all, o), append(f.doors, door)
		})
	}
}

// between counts the requests that a door got in a span: those served, and those that had no answer.
func (f *front) between(door int, from, to float64) (served, unanswered int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.all {
		switch {
		case f.doors[i] != door || o.sent < from || o.sent >= to:
		case o.status == 200:
			served++
		case o.status == 0:
			unanswered++
		}
	}
	return served, unanswered
}

// zoneCase: an operator drains zone a, is told that it is drained, and switches the zone off a while later. A release is just changing
// one of the zone's doors when the drain is ordered (the disruption). Broken if a door of the zone still serves clients seconds after
// the zone was said to be drained.
func zoneCase(r *rig, trouble bool) bool {
	co := r.newCoordinators(3, nil)
	d := r.newDeployment(3, 4, co, "a", "a", "b")
	for i := range co.procs {
		co.start(i)
	}
	budgets := r.file("budgets.json", []byte(`[{"kind":"door","most_out":1},{"kind":"backend","most_out":1},{"kind":"zone","most_out":1}]`))
	op := []string{"--who", "ana"}
	co.must(15*time.Second, append([]string{"budgets", budgets, "--why", "first"}, op...)...)
	for i := range d.procs {
		d.start(i)
	}
	if !await(20*time.Second, func() bool {
		st := co.status()
		return st.ready("door") == 3 && st.ready("backend") == 4 && d.readyNow(0) && d.readyNow(1) && d.readyNow(2)
	}) {
		r.fatal("the deployment is not ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f := &front{d: d}
	var running sync.WaitGroup
	running.Go(func() { f.run(ctx, 12*time.Millisecond) })
	time.Sleep(3 * time.Second)

	if trouble {
		raw := []byte(`{"pace":{"idle_client_ms":2300}}`)
		digest := sha(raw)
		if err := os.WriteFile(filepath.Join(d.folders[1], digest), raw, 0o600); err != nil {
			r.fatal("%v", err)
		}
		plan := r.file("release.json", map[string]any{"name": "pace", "changes": "configuration", "digest": digest, "doors": []string{"door-2"}, "waves": []any{map[string]any{"rest": true, "watch_s": 10}}})
		r.note("DISRUPTION: a release changes door-2, of zone a")
		co.must(5*time.Second, append([]string{"release", "start", plan, "--why", "pace"}, op...)...)
		if !await(10*time.Second, func() bool {
			st := co.status()
			return st != nil && len(st.Places) > 0
		}) {
			r.fatal("door-2 does not begin to change")
		}
	}
	co.must(5*time.Second, append([]string{"drain", "zone", "a", "--why", "its power", "--wait"}, op...)...)
	saidAt := r.ms()
	time.Sleep(8 * time.Second) // a change of a door takes 4 s, a drain's longest grace is 2 s

	st := co.status()
	if st == nil {
		r.fatal("no status")
	}
	waiting := 0
	for _, p := range st.Places {
		r.note("status: %s %s, drained: %t", p.Unit.Kind, p.Unit.Name, p.Drained)
		if !p.Drained {
			waiting++
		}
	}
	inService := 0
	for i := range 2 {
		served, _ := f.between(i, saidAt+6000, r.ms())
		ready := d.readyNow(i)
		r.note("door-%d of zone a, 6 to 8 s after the zone was said to be drained: ready %t, served %d requests", i+1, ready, served)
		if ready || served > 0 {
			inService++
		}
	}
	r.note("the operator switches zone a off: its doors are killed, with all their processes")
	offAt := r.ms()
	var off []int
	for i := range 2 {
		off = append(off, d.procs[i].cmd.Process.Pid)
	}
	for i := 0; i < len(off); i++ {
		off = append(off, children(off[i])...)
	}
	for _, pid := range off {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	running.Wait()
	for i := range 2 {
		_, lost := f.between(i, saidAt+6000, offAt)
		r.note("door-%d of zone a: %d requests that it had taken before were never answered", i+1, lost)
	}
	if waiting > 0 {
		r.fatal("status still waits for some of the zone")
	}
	return inService > 0
}
