package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ---- Discovery ----

// instance is an entry of the list.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery tells one list that does not change.
type discovery struct{ all []instance }

func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	enc := json.NewEncoder(w)
	_ = enc.Encode(list{1, true, d.all})
	if q.URL.Query().Get("stream") != "1" {
		return
	}
	for {
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
	}
}

// ---- Backends ----

// backend answers each request after a fixed time and records when its last byte came.
type backend struct {
	r    *rig
	name string
	addr string
	work time.Duration

	mu       sync.Mutex
	arrivals []arrival
}

type arrival struct {
	at float64
	id string
}

func (b *backend) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Txn")
	if id == "" {
		http.NotFound(w, q)
		return
	}
	body, err := io.ReadAll(io.LimitReader(q.Body, 64<<10))
	if err != nil {
		return
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{b.r.ms(), id})
	b.mu.Unlock()
	select {
	case <-time.After(b.work):
	case <-q.Context().Done():
		return
	}
	text := append([]byte("done by "+b.name+" "), body...)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
}

// between lists the requests that came in a span.
func (b *backend) between(from, to float64) (all []arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		if a.at >= from && a.at < to {
			all = append(all, a)
		}
	}
	return all
}

// serve serves HTTP at an address until the rig ends.
func (r *rig) serve(addr string, h http.Handler) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		r.fatal("%v", err)
	}
	go func() { _ = (&http.Server{Handler: h, IdleTimeout: 15 * time.Second}).Serve(ln) }()
}

// ---- A small deployment ----

// deployment is a few doors with backends and a discovery.
type deployment struct {
	r        *rig
	doors    []string // addresses
	files    []string
	folders  []string // of releases
	procs    []*proc
	backends []*backend
}

// newDeployment draws the addresses and writes the configurations of doors that belong to a fleet; the figures are those of
// examples/fleet.json, with a plan that lets the clients of the case through. Doors and backends are dealt out among the zones; the last
// zone has the rest.
func (r *rig) newDeployment(doors, backends int, co *coordinators, zones ...string) *deployment {
	if len(zones) == 0 {
		zones = []string{"a"}
	}
	var fleetAddrs, peers []string
	for i := range doors {
		fleetAddrs = append(fleetAddrs, r.addr())
		peers = append(peers, fmt.Sprintf("door-%d/%s", i+1, fleetAddrs[i]))
	}
	known := &discovery{}
	return r.deploy(doors, backends, zones, known, func(i int, d *deployment, cfg map[string]any) {
		d.folders = append(d.folders, filepath.Join(r.dir, fmt.Sprintf("releases-door-%d", i+1)))
		cfg["fleet"] = map[string]any{"name": "prod", "zone": zones[min(i, len(zones)-1)], "listen": fleetAddrs[i], "peers": peers, "coordinators": strings.Split(co.atFlag, ","), "releases": d.folders[i]}
	}, func(all []instance) { known.all = all })
}

// deploy draws the addresses, writes the doors' configurations, and serves discovery and backends. extend adds to a configuration;
// tell is given the backends.
func (r *rig) deploy(doors, backends int, zones []string, disc http.Handler, extend func(i int, d *deployment, cfg map[string]any), tell func([]instance)) *deployment {
	d := &deployment{r: r}
	discAddr := r.addr()
	var known []instance
	for i := range backends {
		b := &backend{r: r, name: fmt.Sprintf("b-%d", i+1), addr: r.addr(), work: 30 * time.Millisecond}
		d.backends = append(d.backends, b)
		known = append(known, instance{b.name, b.addr, zones[min(i, len(zones)-1)], "m1", i, "Ready", 1, 0})
	}
	tell(known)
	for i := range doors {
		name := fmt.Sprintf("door-%d", i+1)
		d.doors = append(d.doors, r.addr())
		cfg := map[string]any{"name": name, "listen": d.doors[i], "discovery": discAddr, "seed": fmt.Sprintf("8c1f30d27a5be96%d", i),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"known":  list{1, true, append([]instance(nil), known...)},
			"log":    map[string]string{"level": "info", "format": "json"},
			"settings": map[string]any{"fleet_size": doors, "my_number": i,
				"profiles": []any{map[string]any{"name": "look", "aim": 0.5, "give_up": 2, "semantics": "idempotent", "late_value": 0.2, "worth": 1},
					map[string]any{"name": "book", "aim": 1, "give_up": 4, "semantics": "deduplicated", "dedup_scope": "all", "window": 5, "late_value": 0.2, "worth": 3}},
				"tariffs": []any{map[string]any{"name": "team", "rate": 100, "depth": 400, "pays": 1.5}},
				"extra":   map[string]any{"counter": false, "units_top": 8},
				"limits":  map[string]any{"cancel": true, "second_copies": true, "max_attempts": 4, "retry_after": true, "max_retry_after": 0.5, "conn_idle": 15, "connect_timeout": 0.25},
				"safety":  map[string]any{"cold_from": 0.25, "cold": 10, "fall_multiple": 4, "tip_after": 1.5}}}
		extend(i, d, cfg)
		d.files = append(d.files, r.file(name+".json", cfg))
	}
	d.procs = make([]*proc, doors)
	r.release()
	r.serve(discAddr, disc)
	for _, b := range d.backends {
		r.serve(b.addr, b)
	}
	return d
}

func (d *deployment) start(i int) {
	d.procs[i] = d.r.start(fmt.Sprintf("door-%d", i+1), "exec bin/swifthall", "GW_CONFIG="+d.files[i])
}

// readyNow asks a door whether it can serve.
func (d *deployment) readyNow(i int) bool {
	cl := http.Client{Timeout: time.Second}
	resp, err := cl.Get("http://" + d.doors[i] + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// ---- Clients ----

// outcome is what a client saw of one request.
type outcome struct {
	id       string
	sent, at float64
	status   int // 0 for no answer
	text     string
}

// clients send requests of several customers to one door at a steady rate until ctx ends.
func (d *deployment) clients(ctx context.Context, door int, every time.Duration) func() []outcome {
	cl := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}, Timeout: 5 * time.Second}
	var mu sync.Mutex
	var all []outcome
	var group, ticker sync.WaitGroup
	var n atomic.Int64
	one := func() {
		k := n.Add(1)
		o := d.one(cl, door, fmt.Sprintf("%02x%014x", door+1, k), uint64(1+k%5))
		mu.Lock()
		all = append(all, o)
		mu.Unlock()
	}
	ticker.Go(func() {
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				group.Go(one)
			}
		}
	})
	return func() []outcome {
		ticker.Wait()
		group.Wait()
		return all
	}
}

// one sends one request and returns what became of it.
func (d *deployment) one(cl *http.Client, door int, id string, customer uint64) outcome {
	o := outcome{id: id, sent: d.r.ms()}
	q, _ := http.NewRequest("GET", "http://"+d.doors[door]+fmt.Sprintf("/look?key=%016x", customer), nil)
	q.Header.Set("X-Txn", id)
	q.Header.Set("X-Tariff", "team")
	q.Header.Set("X-Remaining", "2000m")
	q.Header.Set("X-Weight", fmt.Sprintf("units=1,spread=1,first=%d", door))
	if resp, err := cl.Do(q); err != nil {
		o.text = err.Error()
	} else {
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		o.status, o.text = resp.StatusCode, string(raw)
		if err != nil {
			o.status, o.text = 0, err.Error()
		}
	}
	o.at = d.r.ms()
	return o
}
