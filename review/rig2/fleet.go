package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// fleetRig is three coordinators, some doors that are members of a fleet, and the stand-ins beside them.
type fleetRig struct {
	r            *rig
	at           string // coordinators, as operators name them
	disc         *discovery
	fileAlone    bool
	ended        time.Time // when endDrained was called
	backends     []*backend
	doors        []string // addresses of the doors
	doorProcs    []*proc
	doorFiles    []string
	statusAt     []string
	coordinators []*proc
	links        []*link // of each door to the coordinators
	coordFiles   []string
}

// startFleet starts a fleet. Each door's folder of releases is the folder releases-N. With fileAlone the doors are told by their files alone, and
// not by the platform's variables as well.
func startFleet(r *rig, doors, backends int, serve func(a *arrival), fileAlone bool) (*fleetRig, error) {
	f := &fleetRig{r: r, fileAlone: fileAlone}
	var entries []obj
	for i := range backends {
		b, err := newBackend(r, fmt.Sprintf("b-%d", i), serve)
		if err != nil {
			return nil, err
		}
		f.backends = append(f.backends, b)
		entries = append(entries, entry(b, "a", "Ready"))
	}
	var err error
	if f.disc, err = newDiscovery(r, entries...); err != nil {
		return nil, err
	}
	address := func() string {
		at, e := freeAddress()
		if e != nil {
			err = e
		}
		return at
	}
	var peers, apis, members []string
	var listens []string
	for i := range 3 {
		listens = append(listens, address())
		peers = append(peers, fmt.Sprintf("c-%d/%s", i, listens[i]))
		apis = append(apis, address())
	}
	var named []string
	for i, a := range apis {
		named = append(named, fmt.Sprintf("c-%d/%s", i, a))
	}
	f.at = strings.Join(named, ",")
	for range doors {
		members = append(members, address())
		f.doors = append(f.doors, address())
		f.statusAt = append(f.statusAt, address())
	}
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		file, err := r.file(fmt.Sprintf("c-%d.json", i), obj{"name": fmt.Sprintf("c-%d", i), "fleet": "prod", "listen": listens[i], "api": apis[i],
			"data": filepath.Join(r.dir, fmt.Sprintf("c-%d", i)), "peers": peers})
		if err != nil {
			return nil, err
		}
		f.coordFiles = append(f.coordFiles, file)
		p, err := f.startCoordinator(i)
		if err != nil {
			return nil, err
		}
		f.coordinators = append(f.coordinators, p)
	}
	for i := range doors {
		name := fmt.Sprintf("door-%d", i)
		cfg := doorConfig(name, f.doors[i], f.disc.addr)
		settings := cfg["settings"].(obj)
		settings["fleet_size"], settings["my_number"] = doors, i
		var others []string
		for j := range doors {
			others = append(others, fmt.Sprintf("door-%d/%s", j, members[j]))
		}
		dir := filepath.Join(r.dir, fmt.Sprintf("releases-%d", i))
		if err := os.Mkdir(dir, 0o700); err != nil {
			return nil, err
		}
		l := &link{r: r, name: name}
		var through []string
		for j, a := range apis {
			at, err := l.to(a)
			if err != nil {
				return nil, err
			}
			through = append(through, fmt.Sprintf("c-%d/%s", j, at))
		}
		f.links = append(f.links, l)
		cfg["fleet"] = obj{"name": "prod", "zone": "a", "listen": members[i], "peers": others, "status": f.statusAt[i], "releases": dir, "coordinators": through}
		cfg["known"] = obj{"generation": 41, "reset": true, "instances": entries}
		file, err := r.file(name+".json", cfg)
		if err != nil {
			return nil, err
		}
		f.doorFiles = append(f.doorFiles, file)
		p, err := f.startDoor(i)
		if err != nil {
			return nil, err
		}
		f.doorProcs = append(f.doorProcs, p)
	}
	for _, at := range f.doors {
		if !ready(r, at, 15*time.Second) {
			return nil, r.cannot("a door is not ready")
		}
	}
	budgets, err := r.file("budgets.json", []obj{{"kind": "door", "most_out": 1}, {"kind": "backend", "most_out": 1}, {"kind": "zone", "most_out": 1}})
	if err != nil {
		return nil, err
	}
	if out, ok := f.operator(15*time.Second, "budgets", budgets); !ok {
		return nil, r.cannot("no budgets: %s", out)
	}
	return f, nil
}

func (f *fleetRig) startCoordinator(i int, env ...string) (*proc, error) {
	return f.r.run(fmt.Sprintf("c-%d", i), "exec bin/swifthall coordinate --config "+f.coordFiles[i], env...)
}

func (f *fleetRig) startDoor(i int) (*proc, error) {
	return f.r.run(fmt.Sprintf("door-%d", i), "exec bin/swifthall", f.told(i)...)
}

// told returns the variables by which the platform tells a door what the deployment page lists.
func (f *fleetRig) told(i int) []string {
	if f.fileAlone {
		return []string{"GW_CONFIG=" + f.doorFiles[i], "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY="}
	}
	return []string{"GW_CONFIG=" + f.doorFiles[i], fmt.Sprintf("GW_NAME=door-%d", i), "GW_LISTEN=" + f.doors[i], "GW_DISCOVERY=" + f.disc.addr}
}

// operator runs an operator's command and returns its output, and whether it succeeded.
func (f *fleetRig) operator(limit time.Duration, args ...string) (string, bool) {
	words := append([]string{"exec", "bin/swifthall"}, args...)
	words = append(words, "--at", f.at, "--who", "rig")
	switch args[0] {
	case "status", "audit", "calendar", "history", "why":
	default:
		if !(args[0] == "release" && args[1] == "status") {
			words = append(words, "--why", "test")
		}
	}
	p, err := f.r.run("operator", strings.Join(words, " "))
	if err != nil {
		return err.Error(), false
	}
	if !p.ended(limit) {
		_ = p.cmd.Process.Kill()
		p.ended(time.Second)
		return p.logged() + " (no answer in time)", false
	}
	f.r.note("operator %s: %v: %s", strings.Join(args, " "), p.cmd.ProcessState, strings.TrimSpace(p.logged()))
	return p.logged(), p.cmd.ProcessState.Success()
}

// load sends requests to doors from now on, each over a new connection, and returns a function that ends it.
func (f *fleetRig) load(every time.Duration, class string) (stop func() []result) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var all []result
	done := make(chan struct{})
	for i, at := range f.doors {
		wait.Go(func() {
			var each sync.WaitGroup
			defer each.Wait()
			tick := time.NewTicker(every)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-tick.C:
				}
				each.Go(func() {
					q := &request{class: class, txn: fmt.Sprintf("d%d-%d", i, n), remaining: 3 * time.Second}
					if class == "book" {
						q.key = "k" + q.txn
					}
					c, err := dialClient(f.r, at)
					res := result{txn: q.txn, err: err, at: time.Now()}
					if err == nil {
						res = c.do(q)
						c.nc.Close()
					}
					mu.Lock()
					all = append(all, res)
					mu.Unlock()
				})
			}
		})
	}
	return func() []result {
		close(done)
		wait.Wait()
		return all
	}
}

// releaseFile writes a configuration to release into the folder of every door, and the release's own file, and returns the latter.
func (f *fleetRig) releaseFile(name string, overlay obj, waves []obj) (string, error) {
	path, err := f.r.file(name+"-overlay.json", overlay)
	if err != nil {
		return "", err
	}
	out, ok := f.operator(5*time.Second, "release", "digest", path)
	digest := strings.TrimSpace(out)
	if !ok || len(digest) != 64 {
		return "", f.r.cannot("no digest: %s", out)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for i := range f.doors {
		if err := os.WriteFile(filepath.Join(f.r.dir, fmt.Sprintf("releases-%d", i), digest), raw, 0o600); err != nil {
			return "", err
		}
	}
	return f.r.file(name+".json", obj{"name": name, "changes": "configuration", "digest": digest, "waves": waves})
}
