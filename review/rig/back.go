package main

import (
	"context"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["back"] = backCase }

// backCase: an operator starts a release of a configuration that was entered wrongly and turns nearly all clients away, and takes it
// back: at once, while the first door is just changing (the disruption), or, without the disruption, once that door runs it. Broken if a
// door runs it for good after the release is said to be back.
func backCase(r *rig, trouble bool) bool {
	co := r.newCoordinators(3, nil)
	d := r.newDeployment(3, 3, co)
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
		return st.ready("door") == 3 && st.ready("backend") == 3 && d.readyNow(0) && d.readyNow(1) && d.readyNow(2)
	}) {
		r.fatal("the deployment is not ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait []func() []outcome
	for i := range d.doors {
		wait = append(wait, d.clients(ctx, i, 25*time.Millisecond))
	}
	time.Sleep(4 * time.Second)

	raw := []byte(`{"settings":{"tariffs":[{"name":"team","rate":0.01,"depth":1,"pays":1.5}]}}`)
	digest := sha(raw)
	for _, folder := range d.folders {
		if err := os.WriteFile(filepath.Join(folder, digest), raw, 0o600); err != nil {
			r.fatal("%v", err)
		}
	}
	plan := r.file("release.json", map[string]any{"name": "terms", "changes": "configuration", "digest": digest, "waves": []any{map[string]any{"count": 1, "watch_s": 60}, map[string]any{"rest": true, "watch_s": 60}}})
	co.must(5*time.Second, append([]string{"release", "start", plan, "--why", "terms"}, op...)...)
	changing := func() bool { // the first door has its place, and changes
		st := co.status()
		return st != nil && len(st.Places) > 0
	}
	changed := func() bool {
		st := co.status()
		return st != nil && st.Runs["door-1"]["configuration"] == digest
	}
	if trouble && !await(10*time.Second, changing) || !trouble && !await(10*time.Second, changed) {
		r.fatal("the first door does not change")
	}
	if trouble {
		time.Sleep(300 * time.Millisecond) // its permit has been looked at again, and the new process is not ready yet
		r.note("DISRUPTION: the release is taken back while its first door is just changing")
	} else {
		r.note("the first door runs the release, which is taken back now")
	}
	co.must(5*time.Second, append([]string{"release", "back", "terms", "--why", "wrong file"}, op...)...)
	if !await(25*time.Second, func() bool { stage, _ := co.status().stage("terms"); return stage == "back" }) {
		r.fatal("the release is not back")
	}
	backAt := r.ms()
	r.note("the release is said to be back")
	time.Sleep(15 * time.Second)
	st := co.status()
	if st == nil {
		r.fatal("no status")
	}
	stage, says := st.stage("terms")
	r.note("15 s later the release is %q: %s", stage, says)
	for i := range d.doors {
		name := []string{"door-1", "door-2", "door-3"}[i]
		r.note("%s runs the configuration %q", name, st.Runs[name]["configuration"])
	}
	stop()
	broken := false
	for i, w := range wait {
		before, after := map[int]int{}, map[int]int{}
		for _, o := range w() {
			if o.sent > backAt+10000 {
				after[o.status]++
			} else {
				before[o.status]++
			}
		}
		total := 0
		for _, n := range after {
			total += n
		}
		r.note("door-%d: answers by status up to 10 s after that word: %v; from then on: %v", i+1, before, after)
		if 2*after[200] < total {
			broken = true
		}
	}
	return broken
}
