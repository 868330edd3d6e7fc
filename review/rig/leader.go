package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["leader"], helpers["hook"] = leaderCase, hook }

// hook is the command that a coordinator gives the calendar's events to: it writes down whose it is and which event, and takes a
// while, as a mail or a chat message does.
func hook(args []string) {
	who, file := args[0], args[1]
	raw, _ := io.ReadAll(os.Stdin)
	var e struct{ Number uint64 }
	_ = json.Unmarshal(raw, &e)
	out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		os.Exit(1)
	}
	fmt.Fprintf(out, "%d %s %d\n", time.Now().UnixMilli(), who, e.Number)
	time.Sleep(700 * time.Millisecond)
}

// leaderCase: the calendar's events go to a hook. The coordinator that leads is stopped for 3 s amid them (the disruption); another
// leads and goes on. Broken if the one that was stopped goes on giving events to the hook after it knows that another leads.
func leaderCase(r *rig, trouble bool) bool {
	told := r.dir + "/told.txt"
	co := r.newCoordinators(3, func(name string, cfg map[string]any) {
		cfg["calendar"] = map[string]any{"hook": []string{r.root + "/bin/review-rig", "hook", name, told}, "hook_ms": 5000, "tries": 5}
	})
	r.release()
	for i := range co.procs {
		co.start(i)
	}
	op := []string{"--who", "ana"}
	entry := r.file("entry.json", map[string]any{"name": "gold", "kind": "terms", "subject": map[string]any{"scope": "plans", "names": []string{"gold"}},
		"from": time.Now().Add(48 * time.Hour).UTC().Format("2006-01-02T15:04"), "to": time.Now().Add(50 * time.Hour).UTC().Format("2006-01-02T15:04"), "in": "UTC", "wave_s": 600,
		"do": map[string]any{"manual": "set it"}, "rollback": map[string]any{"manual": "set it back"}})
	for range 20 {
		co.must(15*time.Second, append([]string{"plan", entry, "--draft", "--anyway"}, op...)...)
	}
	time.Sleep(3 * time.Second)
	st := co.status()
	if st == nil {
		r.fatal("no leader")
	}
	old := -1
	for i, n := range co.names {
		if n == st.Leader {
			old = i
		}
	}
	began := time.Now()
	if trouble {
		r.note("DISRUPTION: %s, which leads, is stopped for 3 s", st.Leader)
		r.signal(co.procs[old], syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		r.signal(co.procs[old], syscall.SIGCONT)
	}
	// From when on does it know that another leads, by its own word?
	var knows time.Time
	next := ""
	for end := time.Now().Add(22 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if own := co.own(old); trouble && own != nil && knows.IsZero() && !own.Current && own.Leader != "" && own.Leader != co.names[old] {
			knows, next = time.Now(), own.Leader
			r.note("%s itself says that %s leads", co.names[old], next)
		}
	}
	if trouble && knows.IsZero() {
		r.fatal("%s leads still", co.names[old])
	}
	raw, _ := os.ReadFile(told)
	stale, order := 0, 0
	last := uint64(0)
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		var at int64
		var who string
		var n uint64
		if _, err := fmt.Sscan(line, &at, &who, &n); err != nil {
			continue
		}
		mark := ""
		if !knows.IsZero() && who == co.names[old] && at > knows.Add(2*time.Second).UnixMilli() {
			stale++
			mark = "  <- by a coordinator that knows that it does not lead"
		}
		if n < last {
			order++
		}
		last = n
		r.note("at %+.1f s: event %d was given to the hook by %s%s", float64(at-began.UnixMilli())/1e3, n, who, mark)
	}
	r.note("%d events by a stale leader; the numbers went back %d times", stale, order)
	return stale > 0
}
