package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Figures of the settings, as at a small deployment.
const (
	deadlineMs     = 4000.0
	ceilingRate    = 16.0 // units a second
	ceilingBurst   = 24.0
	drainGraceMs   = 500.0
	socketSlackMs  = 50.0 // by which every time limit is longer on sockets
	answerSlackMs  = 500.0
	deadlineSlack  = 150.0
	toldAtLatestMs = 6000.0
)

// config returns a door's configuration.
func config(name, listen, discovery string, number, doors int, known []entry) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", number),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  list{40, true, append([]entry{}, known...)},
		"settings": map[string]any{
			"fleet_size": doors, "my_number": number, "registry_mode": "push",
			"profiles": []any{
				map[string]any{"name": "look", "aim": 0.5, "give_up": 2, "semantics": "idempotent", "late_value": 0.2, "worth": 1},
				map[string]any{"name": "book", "aim": 1, "give_up": 4, "semantics": "deduplicated", "dedup_scope": "all", "window": 5, "late_value": 0.2, "worth": 3},
				map[string]any{"name": "pay", "aim": 1, "give_up": 4, "semantics": "at_most_once", "late_value": 0.2, "worth": 3},
			},
			"tariffs": []any{
				map[string]any{"name": "team", "rate": 200, "depth": 400, "pays": 1},
				map[string]any{"name": "group", "rate": 10, "depth": 15, "pays": 1, "beyond_earns": 0.3, "over_cost": 0,
					"never_over_rate": ceilingRate, "ceiling_burst": ceilingBurst, "cap_slack": 0.1 * ceilingBurst},
			},
			"extra":  map[string]any{"counter": false, "units_top": 8},
			"limits": map[string]any{"cancel": true, "second_copies": false, "max_attempts": 4, "retry_after": true, "max_retry_after": 0.5, "conn_idle": 15, "connect_timeout": 0.25},
			"safety": map[string]any{"answer_slack": 0.5, "drain_grace": drainGraceMs / 1000, "cold_from": 0.25, "cold": 10, "fall_multiple": 4, "tip_after": 1.5},
		},
		"log": map[string]any{"level": "info", "format": "text"},
	}
}

// door is one front door.
type door struct {
	*process
	name, listen, file, releases string
	env                          []string
}

// prepareDoor writes a door's configuration. fleet may be nil.
func (w *world) prepareDoor(number, doors int, discovery string, known []entry, fleet map[string]any) (*door, error) {
	d := &door{name: fmt.Sprintf("n%d", number)}
	var err error
	if d.listen, err = w.free(); err != nil {
		return nil, err
	}
	cfg := config(d.name, d.listen, discovery, number, doors, known)
	if fleet != nil {
		d.releases = filepath.Join(w.dir, "releases-"+d.name)
		if err := os.MkdirAll(d.releases, 0o700); err != nil {
			return nil, err
		}
		fleet["releases"] = d.releases
		cfg["fleet"] = fleet
	}
	if d.file, err = w.write(d.name+".json", cfg); err != nil {
		return nil, err
	}
	d.env = []string{"GW_CONFIG=" + d.file, "GW_NAME=" + d.name, "GW_LISTEN=" + d.listen, "GW_DISCOVERY=" + discovery}
	return d, nil
}

// startDoor starts a door as the platform does.
func (w *world) startDoor(d *door) (err error) {
	d.process, err = w.start(d.name, d.env)
	return err
}

// moveDiscovery writes another address of discovery into a door's configuration.
func (d *door) moveDiscovery(address string) error {
	raw, err := os.ReadFile(d.file)
	if err != nil {
		return err
	}
	var cfg map[string]any
	if err := json.Unmarshal(raw, &cfg); err != nil {
		return err
	}
	cfg["discovery"] = address
	if raw, err = json.MarshalIndent(cfg, "", " "); err != nil {
		return err
	}
	next := d.file + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.file)
}

// fleet is three doors with three coordinators beside them.
type fleet struct {
	w            *world
	coordinators string   // for --at
	api          []string // of the coordinators, as name/address
	members      []string // the doors' addresses for each other
	config       map[string]map[string]any
	doors        []*door
}

// startFleet starts coordinators and doors, and waits until the doors are ready and the coordinators count them as such. If way is given,
// the first door reaches the coordinators over it.
func (w *world) startFleet(doors int, discovery string, known []entry, way *link) (*fleet, error) {
	f := &fleet{w: w, config: map[string]map[string]any{}}
	const coordinators = 3
	var raft, api, peers, at []string
	for i := range coordinators {
		for _, of := range []*[]string{&raft, &api} {
			a, err := w.free()
			if err != nil {
				return nil, err
			}
			*of = append(*of, a)
		}
		name := fmt.Sprintf("c-%d", i+1)
		peers, at = append(peers, name+"/"+raft[i]), append(at, name+"/"+api[i])
	}
	f.coordinators, f.api = strings.Join(at, ","), at
	for i := range coordinators {
		name := fmt.Sprintf("c-%d", i+1)
		f.config[name] = map[string]any{"name": name, "fleet": "case", "listen": raft[i], "api": api[i],
			"data": filepath.Join(w.dir, name), "peers": peers}
		file, err := w.write(name+".json", f.config[name])
		if err != nil {
			return nil, err
		}
		if _, err := w.start(name, nil, filepath.Join(w.root, "bin/swifthall"), "coordinate", "--config", file); err != nil {
			return nil, err
		}
	}
	var members []string
	for range doors {
		a, err := w.free()
		if err != nil {
			return nil, err
		}
		members = append(members, a)
	}
	f.members = members
	for i := range doors {
		var others []string
		for j := range doors {
			if j != i {
				others = append(others, fmt.Sprintf("n%d/%s", j, members[j]))
			}
		}
		reach := at
		if i == 0 && way != nil {
			reach = nil
			for k := range api {
				a, err := way.to(w, api[k])
				if err != nil {
					return nil, err
				}
				reach = append(reach, fmt.Sprintf("c-%d/%s", k+1, a))
			}
		}
		d, err := w.prepareDoor(i, doors, discovery, known, map[string]any{"name": "case", "zone": "a", "listen": members[i], "peers": others, "coordinators": reach})
		if err != nil {
			return nil, err
		}
		if err := w.startDoor(d); err != nil {
			return nil, err
		}
		f.doors = append(f.doors, d)
	}
	for _, d := range f.doors {
		if _, ok := awaitReady(d.listen, 15*time.Second); !ok {
			d.noteLog(20)
			return nil, fmt.Errorf("%s is not ready", d.name)
		}
	}
	budgets, err := w.write("budgets.json", []any{map[string]any{"kind": "door", "most_out": 1}, map[string]any{"kind": "backend", "most_out": 1}})
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		if out, err := f.operate("budgets", budgets, "--why", "first", "--who", "operator"); err == nil {
			break
		} else if time.Now().After(end) {
			return nil, fmt.Errorf("budgets: %v: %s", err, out)
		}
	}
	return f, f.awaitHere(doors + len(known))
}

// awaitHere waits until the coordinators count so many doors and backends as here.
func (f *fleet) awaitHere(units int) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		out, err := f.operate("status")
		if err == nil && strings.Count(out, " here ") == units {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the coordinators do not count all doors and backends as here: %v: %s", err, out)
		}
	}
}

// operate runs an operator's command.
func (f *fleet) operate(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(f.w.root, "bin/swifthall"), append(args, "--at", f.coordinators)...)
	cmd.Dir = f.w.root
	out, err := cmd.CombinedOutput()
	f.w.note("operator: swifthall %s: %v", strings.Join(args, " "), err)
	return string(out), err
}

// release copies a released configuration to all doors and starts its release, for some doors or for all.
func (f *fleet) release(name string, overlay any, doors ...string) error {
	raw, err := json.Marshal(overlay)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(raw)
	digest := hex.EncodeToString(sum[:])
	for _, d := range f.doors {
		if err := os.WriteFile(filepath.Join(d.releases, digest), raw, 0o600); err != nil {
			return err
		}
	}
	plan, err := f.w.write("release.json", map[string]any{"name": name, "changes": "configuration", "digest": digest, "doors": doors, "waves": []any{map[string]any{"rest": true, "watch_s": 5}}})
	if err != nil {
		return err
	}
	if out, err := f.operate("release", "start", plan, "--why", "new settings", "--who", "operator"); err != nil {
		return fmt.Errorf("release: %v: %s", err, out)
	}
	return nil
}

// changed returns how many doors log that they have changed.
func (f *fleet) changed() (n int) {
	for _, d := range f.doors {
		raw, _ := os.ReadFile(d.log)
		for _, l := range splitLines(string(raw)) {
			if strings.Contains(l, "msg=changed") {
				n++
				break
			}
		}
	}
	return n
}

// awaitChanged waits until all doors have changed.
func (f *fleet) awaitChanged(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.changed() == len(f.doors) {
			return nil
		}
	}
	for _, d := range f.doors {
		d.noteLog(12)
	}
	out, _ := f.operate("release", "status")
	return fmt.Errorf("%d of %d doors have changed: %s", f.changed(), len(f.doors), out)
}
