package main

import (
	"context"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["handover"] = handoverCase }

// drainGraceMs is the longest grace of a drain that a site states (2 s), and 50 ms for sockets.
const drainGraceMs = 2050

// handoverCase: an operator drains a backend and is told that it is drained. Then a release gives the doors a harmless configuration
// (the disruption): each door's process is replaced by another. Broken if new requests come to the backend while the coordinators say
// that it is drained.
func handoverCase(r *rig, trouble bool) bool {
	co := r.newCoordinators(3, nil)
	d := r.newDeployment(2, 3, co)
	for i := range co.procs {
		co.start(i)
	}
	budgets := r.file("budgets.json", []byte(`[{"kind":"door","most_out":1},{"kind":"backend","most_out":1}]`))
	op := []string{"--who", "ana"}
	co.must(15*time.Second, append([]string{"budgets", budgets, "--why", "first"}, op...)...)
	for i := range d.procs {
		d.start(i)
	}
	if !await(20*time.Second, func() bool {
		st := co.status()
		return st.ready("door") == 2 && st.ready("backend") == 3 && d.readyNow(0) && d.readyNow(1)
	}) {
		r.fatal("the deployment is not ready")
	}
	r.note("two doors and three backends are ready; clients begin")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait []func() []outcome
	for i := range d.doors {
		wait = append(wait, d.clients(ctx, i, 25*time.Millisecond))
	}
	time.Sleep(4 * time.Second)
	r.note("b-1 got %d requests so far", len(d.backends[0].between(0, r.ms())))

	co.must(5*time.Second, append([]string{"drain", "backend", "b-1", "--why", "its disk", "--wait"}, op...)...)
	graceEnds := r.ms() + drainGraceMs
	time.Sleep(5 * time.Second)

	raw := []byte(`{"pace":{"idle_client_ms":2300}}`)
	digest := sha(raw)
	for _, folder := range d.folders {
		if err := os.WriteFile(filepath.Join(folder, digest), raw, 0o600); err != nil {
			r.fatal("%v", err)
		}
	}
	if trouble {
		plan := r.file("release.json", map[string]any{"name": "pace", "changes": "configuration", "digest": digest, "waves": []any{map[string]any{"rest": true, "watch_s": 5}}})
		r.note("DISRUPTION: a release replaces the doors' processes")
		co.must(5*time.Second, append([]string{"release", "start", plan, "--why", "pace"}, op...)...)
	}
	// Spans between two answers of the coordinators that both say that b-1 is drained.
	type span struct{ from, to float64 }
	var drained []span
	said, since := false, 0.0
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		asked := r.ms()
		st := co.status()
		answered := r.ms()
		now := st.drained("b-1")
		if now != said {
			r.note("status says that b-1 is drained: %t", now)
		}
		if now && said {
			drained = append(drained, span{since, asked})
		}
		said, since = now, answered
	}
	stage, says := co.status().stage("pace")
	r.note("the release is %q: %s", stage, says)
	stop()
	counts := map[int]int{}
	for _, w := range wait {
		for _, o := range w() {
			counts[o.status]++
		}
	}
	r.note("clients' answers by status: %v", counts)
	late := 0
	for _, s := range drained {
		for _, a := range d.backends[0].between(max(s.from, graceEnds), s.to) {
			late++
			r.note("at %.1f ms b-1 got the new request %s, sent to door-%c, while it was said to be drained", a.at, a.id, a.id[1])
		}
	}
	r.note("%d new requests came to b-1 while it was said to be drained", late)
	if stage != "done" && trouble {
		r.fatal("the release is not done")
	}
	return late > 0
}
