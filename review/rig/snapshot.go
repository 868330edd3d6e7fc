package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["snapshot"] = snapshotCase }

// snapshotCase: a release waits under a halt while the coordinators' log passes the length at which they write a snapshot. All of them
// are killed at once and started again (the disruption). Then the halt ends, and the first door cannot take the release, which has
// to go back. Broken if coordinators end by themselves and starting them again does not help.
func snapshotCase(r *rig, trouble bool) bool {
	co := r.newCoordinators(3, nil)
	d := r.newDeployment(3, 2, co)
	for i := range co.procs {
		co.start(i)
	}
	budgets := r.file("budgets.json", []byte(`[{"kind":"door","most_out":1},{"kind":"backend","most_out":1}]`))
	op := []string{"--who", "ana"}
	co.must(15*time.Second, append([]string{"budgets", budgets, "--why", "first"}, op...)...)
	for i := range d.procs {
		d.start(i)
	}
	if !await(20*time.Second, func() bool { return co.status().ready("door") == 3 }) {
		r.fatal("the doors are not ready")
	}
	r.note("three doors are ready")

	// Nothing goes out for now; the release is entered, and waits.
	co.must(5*time.Second, append([]string{"halt", "--why", "night"}, op...)...)
	raw := []byte(`{"settings":{"profiles":[]}}`) // a key that no door takes, as in the releases page's example
	digest := sha(raw)
	for _, folder := range d.folders {
		if err := os.WriteFile(filepath.Join(folder, digest), raw, 0o600); err != nil {
			r.fatal("%v", err)
		}
	}
	plan := r.file("release.json", map[string]any{"name": "plan-terms", "changes": "configuration", "digest": digest, "waves": []any{map[string]any{"rest": true, "watch_s": 1}}})
	co.must(5*time.Second, append([]string{"release", "start", plan, "--why", "terms"}, op...)...)

	// The log grows. The leader alone writes two entries a second; operators' commands stand for the rest of a quarter of an hour.
	const commands, callers = 2150, 12
	r.note("%d times: $ swifthall budgets FILE, by %d operators", commands, callers)
	var left atomic.Int64
	left.Store(commands)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				co.cli(append([]string{"budgets", budgets, "--why", "again"}, op...)...)
			}
		})
	}
	group.Wait()
	r.note("the commands are given; each coordinator looks every 20 to 40 s whether a snapshot is due")
	time.Sleep(41 * time.Second)

	if trouble {
		r.note("DISRUPTION: all coordinators are killed at once, and started again")
		for _, p := range co.procs {
			r.signal(p, syscall.SIGKILL)
		}
		for _, p := range co.procs {
			<-p.done
		}
		for i := range co.procs {
			co.start(i)
		}
	}
	if !await(15*time.Second, func() bool { return co.status().ready("door") == 3 }) {
		r.fatal("the doors are not ready again")
	}
	stage, _ := co.status().stage("plan-terms")
	r.note("coordinators answer, all doors are ready, the release is %q", stage)
	co.must(5*time.Second, append([]string{"resume"}, op...)...)

	// The first door cannot take it. Coordinators that end by themselves are started again, each three times at most.
	ends, starts := 0, make([]int, len(co.procs))
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, p := range co.procs {
			if !p.ended() || starts[i] > 3 {
				continue
			}
			ends++
			starts[i]++
			for _, line := range strings.Split(p.logText(), "\n") {
				if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
					r.note("%s: %s", p.name, line)
				}
			}
			if starts[i] <= 3 {
				co.start(i)
			}
		}
	}
	st := co.status()
	stage, says := st.stage("plan-terms")
	r.note("coordinators ended by themselves %d times; status confirmed by a majority: %t; release: %q, %s", ends, st != nil, stage, says)
	if ends == 0 && stage == "back" {
		return false
	}
	if ends == 0 {
		r.fatal("no coordinator ended, and the release is %q", stage)
	}
	fmt.Printf("coordinators ended by themselves %d times; a majority answers at the end: %t\n", ends, st != nil)
	return true
}
