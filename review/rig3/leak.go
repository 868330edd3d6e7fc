package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// children lists the processes that a process has started.
func children(pid int) (all []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, f := range stats {
		raw, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		text := string(raw)
		rest := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
		if len(rest) > 1 && rest[1] == strconv.Itoa(pid) {
			child, _ := strconv.Atoi(filepath.Base(filepath.Dir(f)))
			all = append(all, child)
		}
	}
	return all
}

// leakCase cuts a door's way to its coordinators for 5 s amid its change for a release, and kills its serving process meanwhile. Some
// time after that, a backend is drained: once the operator is told that it is, the door may send it nothing.
func leakCase(w *world) (verdict, error) {
	all, entries, err := w.backends(3)
	if err != nil {
		return verdict{}, err
	}
	disco, err := w.startDiscovery("discovery", 0, entries...)
	if err != nil {
		return verdict{}, err
	}
	way := &link{}
	f, err := w.startFleet(3, disco.address, entries, way)
	if err != nil {
		return verdict{}, err
	}
	d := f.doors[0]
	holder := d.cmd.Process.Pid
	first := children(holder)
	w.note("processes of n0's holder: %v", first)
	if len(first) != 1 {
		return verdict{}, fmt.Errorf("n0 has %d serving processes", len(first))
	}
	if err := f.release("settings", map[string]any{"pace": map[string]any{"settle_ms": 21}}, "n0"); err != nil {
		return verdict{}, err
	}
	for end := time.Now().Add(20 * time.Second); len(children(holder)) < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return verdict{}, fmt.Errorf("n0 does not begin its change")
		}
	}
	w.note("n0 has begun its change: %v", children(holder))
	if w.trouble {
		way.set(true)
		w.note("n0 is cut off from the coordinators")
		time.Sleep(2 * time.Second)
		w.note("killing n0's serving process %d", first[0])
		if err := syscall.Kill(first[0], syscall.SIGKILL); err != nil {
			return verdict{}, err
		}
		time.Sleep(3 * time.Second)
		w.note("processes of n0's holder: %v", children(holder))
		way.set(false)
		w.note("n0 reaches the coordinators again")
	}
	for range 5 {
		time.Sleep(3 * time.Second)
		w.note("processes of n0's holder: %v", children(holder))
	}
	out, _ := f.operate("release", "status")
	w.note("%s", out)
	if out, err := f.operate("drain", "backend", "b1", "--wait", "--why", "disk", "--who", "operator"); err != nil {
		return verdict{}, fmt.Errorf("drain: %v: %s", err, out)
	}
	w.note("the operator was told that b1 is drained")
	drained := w.ms()
	time.Sleep(5 * time.Second)
	for i := range 100 {
		q := look(fmt.Sprintf("n0-%d", i))
		status, _, err := ask(d.listen, q, 3*time.Second)
		w.note("client of n0: %s got %d, %v", q.id, status, err)
	}
	late := 0
	for _, a := range all[0].all() {
		if a.at > drained+drainGraceMs+socketSlackMs {
			late++
		}
	}
	serving := children(holder)
	d.noteLog(40)
	return verdict{late > 0, fmt.Sprintf("%d of 100 requests went to b1, 5 s and more after it was drained; n0 has the serving processes %v", late, serving)}, nil
}
