package main

import (
	"path/filepath"
	"time"
)

// startWithoutDiscovery starts a door with a folder of releases, and no list of backends in its file, while discovery is down for 30 s.
func startWithoutDiscovery(r *rig) (bool, error) {
	b, err := newBackend(r, "b-0", nil)
	if err != nil {
		return false, err
	}
	d, err := newDiscovery(r, entry(b, "a", "Ready"))
	if err != nil {
		return false, err
	}
	if r.trouble {
		d.setDown(true)
	}
	var at [3]string
	for i := range at {
		if at[i], err = freeAddress(); err != nil {
			return false, err
		}
	}
	cfg := doorConfig("door-0", at[0], d.addr)
	cfg["fleet"] = obj{"name": "prod", "zone": "a", "listen": at[1], "releases": filepath.Join(r.dir, "releases"), "coordinators": []string{"c-0/" + at[2]}}
	file, err := r.file("door.json", cfg)
	if err != nil {
		return false, err
	}
	p, err := r.run("door-0", "exec bin/swifthall", "GW_CONFIG="+file, "GW_DISCOVERY="+d.addr)
	if err != nil {
		return false, err
	}
	exited := p.ended(30 * time.Second)
	d.setDown(false)
	if !exited && !ready(r, at[0], 10*time.Second) {
		return false, r.cannot("the door is not ready though discovery is back")
	}
	return exited, nil
}
