package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

// restoreCase loses two of three coordinators for good, and restores the third as the page says. A backend is drained behind that: once the
// operator is told that it is, doors may send it nothing.
func restoreCase(w *world) (verdict, error) {
	all, entries, err := w.backends(3)
	if err != nil {
		return verdict{}, err
	}
	disco, err := w.startDiscovery("discovery", 0, entries...)
	if err != nil {
		return verdict{}, err
	}
	f, err := w.startFleet(3, disco.address, entries, nil)
	if err != nil {
		return verdict{}, err
	}
	c := w.processes[:3]
	if w.trouble {
		c[2].signal(syscall.SIGKILL)
		c[2].awaitEnd(time.Second)
		if err := f.awaitHere(len(f.doors) + len(entries)); err != nil {
			return verdict{}, err
		}
	}
	for range 2 {
		if out, err := f.operate("drain", "backend", "b2", "--wait", "--why", "disk", "--who", "operator"); err != nil {
			return verdict{}, fmt.Errorf("drain: %v: %s", err, out)
		}
		time.Sleep(time.Second)
		if out, err := f.operate("undrain", "backend", "b2", "--why", "disk", "--who", "operator"); err != nil {
			return verdict{}, fmt.Errorf("undrain: %v: %s", err, out)
		}
		time.Sleep(3 * time.Second)
	}
	if w.trouble {
		c[0].signal(syscall.SIGKILL)
		c[1].signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		cfg := f.config["c-3"]
		cfg["peers"] = []string{"c-3/" + cfg["listen"].(string)}
		file, err := w.write("c-3.json", cfg)
		if err != nil {
			return verdict{}, err
		}
		if _, err := w.start("c-3-restored", nil, filepath.Join(w.root, "bin/swifthall"), "coordinate", "--config", file, "--restore"); err != nil {
			return verdict{}, err
		}
		if err := f.awaitHere(len(f.doors) + len(entries)); err != nil {
			return verdict{}, err
		}
	}
	out, err := f.operate("drain", "backend", "b1", "--wait", "--why", "disk", "--who", "operator")
	w.note("%s", out)
	if err != nil {
		return verdict{}, fmt.Errorf("drain: %v: %s", err, out)
	}
	time.Sleep(time.Second)
	before := len(all[0].all())
	for i := range 100 {
		ask(f.doors[i%3].listen, look(fmt.Sprint("x", i)), 3*time.Second)
	}
	out, _ = f.operate("status")
	w.note("%s", out)
	after := len(all[0].all()) - before
	return verdict{after > 0, fmt.Sprintf("b1 got %d after it was drained", after)}, nil
}
