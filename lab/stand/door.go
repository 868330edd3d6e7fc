package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/scenario"
)

// door is one real door with the stand-ins that only it uses: its discovery, its addresses of the backends and of the counter.
type door struct {
	tb            *testbed
	number        int
	addr          string // on which the door listens
	discovery     *discovery
	discoveryAddr string // address at which the door reaches its discovery
	counterAddr   string // address at which it reaches the counter; empty if there is none
	clients       *clientConns
	backends      []*backendListener    // by backend
	stop          context.CancelFunc    // stops an embedded door
	cmd           *exec.Cmd             // the running program of the door; nil for an embedded door
	exitExpected  *atomic.Bool          // set before the program is killed; the goroutine that waits for it reads it
	err           atomic.Pointer[error] // the first error, see fail
	incarnation   int
}

// newDoor starts the stand-ins of a door. The door itself is started by Start.
func newDoor(tb *testbed, number int) (*door, error) {
	d := &door{tb: tb, number: number, discovery: newDiscovery()}
	var err error
	if d.addr, err = loopback.Free(); err != nil { // the door itself listens on it, and again after a restart
		return nil, err
	}
	d.clients = &clientConns{tb: tb, target: d.addr, cancels: map[int]context.CancelFunc{}}
	ln, err := tb.listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.discoveryAddr = ln.Addr().String()
	server := &http.Server{Handler: d.discovery}
	tb.spawn(func() { _ = server.Serve(ln) })
	tb.onClose(func() { server.Close() })
	if tb.cfg.Scenario.Counter.On {
		cl, err := tb.listen("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.counterAddr = cl.Addr().String()
		tb.onClose(func() { cl.Close() })
		tb.spawn(func() {
			for {
				nc, err := cl.Accept()
				if err != nil {
					return
				}
				tb.onClose(func() { nc.Close() })
				tb.spawn(func() { tb.serveCounter(number, nc) })
			}
		})
	}
	tb.onClose(d.clients.closeIdle)
	tb.onClose(d.Kill)
	return d, nil
}

// registryEntries returns fleet list entries as discovery sends them, with this door's addresses of the backends.
func (d *door) registryEntries(states []model.BackendEntry) []registry.Entry {
	var out []registry.Entry
	for _, l := range states {
		for len(d.backends) <= l.Backend {
			a, err := newBackendListener(d.tb, d.number, len(d.backends))
			if err != nil {
				d.fail(err)
				return out
			}
			d.backends = append(d.backends, a)
		}
		e := registry.Entry{ID: fmt.Sprintf("b-%d", l.Backend), Addr: d.backends[l.Backend].addr, Zone: fmt.Sprintf("z%d", l.Zone),
			Cell: int64(l.Cell), State: wireStates[l.Status], Weight: 1}
		if l.StartedAt >= 0 {
			e.Started = float64(time.Now().UnixMilli()) - (d.tb.sim.Now() - l.StartedAt)
		}
		out = append(out, e)
	}
	return out
}

// fail records the first error of the door.
func (d *door) fail(err error) { d.err.CompareAndSwap(nil, &err) }

// Start starts an incarnation of the door.
func (d *door) Start(known []model.BackendEntry) {
	d.incarnation++
	list := registry.List{Version: d.discovery.version, Whole: true, Backends: d.registryEntries(known)}
	if list.Backends == nil {
		list.Backends = []registry.Entry{}
	}
	d.discovery.publish(true, list.Backends, known)
	list.Version = d.discovery.version
	raw, err := json.Marshal(d.config(list))
	if err != nil {
		d.fail(err)
		return
	}
	if d.tb.cfg.Binary != "" {
		d.launch(raw)
		return
	}
	cfg, err := config.Read(raw, func(string) string { return "" })
	if err != nil {
		d.fail(err)
		return
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(d.tb.ctx)
	d.stop = stop
	decider := rival.Makers[d.tb.cfg.Policy].New(cfg.Settings.Terms, cfg.Seed, nil)
	d.tb.spawn(func() {
		if err := frontdoor.New(cfg, decider, log).Serve(ctx); err != nil {
			d.fail(err)
		}
	})
}

// launch starts the door's program with a configuration.
func (d *door) launch(raw []byte) {
	file, err := os.CreateTemp("", "door-*.json")
	if err == nil {
		_, err = file.Write(raw)
		err = errors.Join(err, file.Close())
	}
	if err != nil {
		d.fail(err)
		return
	}
	d.tb.onClose(func() { os.Remove(file.Name()) })
	cmd := exec.Command(d.tb.cfg.Binary)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file.Name())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if d.tb.cfg.Logs != "" {
		if log, err := os.Create(filepath.Join(d.tb.cfg.Logs, fmt.Sprintf("door-%d-%d.log", d.number, d.incarnation))); err == nil {
			cmd.Stdout, cmd.Stderr = log, log
			defer log.Close()
		}
	}
	if err := cmd.Start(); err != nil {
		d.fail(err)
		return
	}
	exitExpected := new(atomic.Bool)
	d.cmd, d.exitExpected = cmd, exitExpected
	d.tb.spawn(func() {
		if err := cmd.Wait(); err != nil && !d.tb.over.Load() && !exitExpected.Load() {
			d.fail(&ComponentError{d.tb.cfg.Binary, "its program exited", err})
		}
	})
}

// Kill ends the door at once. An embedded door can only be asked to shut down.
func (d *door) Kill() {
	if d.stop != nil {
		d.stop()
	}
	if cmd := d.cmd; cmd != nil {
		d.cmd = nil
		d.exitExpected.Store(true)
		_ = cmd.Process.Kill()
	}
	d.clients.closeIdle()
}

// Stop asks the door's program to shut down gracefully.
func (d *door) Stop() {
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// Submit sends the try of a client to the door.
func (d *door) Submit(t *model.Try) {
	d.tb.mu.Lock()
	d.tb.tries[txnID(t.ID)] = t
	d.tb.mu.Unlock()
	d.clients.submit(t, d.tb.sim.WireRequest(t))
}

// ClientLeft closes the connection of a try whose client left.
func (d *door) ClientLeft(t *model.Try) { d.clients.clientLeft(t) }

// ListChanged passes an update of the fleet list to the door's discovery.
func (d *door) ListChanged(whole bool, change []model.BackendEntry) {
	d.discovery.publish(whole, d.registryEntries(change), change)
}

// BackendProcess makes this door's address of a backend follow the backend's process.
func (d *door) BackendProcess(backend int, up bool) {
	if backend < len(d.backends) {
		d.backends[backend].setUp(up)
	}
}

// ready queries the readiness of the door.
func (d *door) ready() bool {
	client := http.Client{Timeout: dialTimeout}
	resp, err := client.Get("http://" + d.addr + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// config returns the door's configuration in the platform's format.
func (d *door) config(known registry.List) map[string]any {
	memory := d.tb.cfg.MemoryMB
	if memory == 0 {
		memory = defaultMemoryMB
	}
	return map[string]any{"name": fmt.Sprintf("n%d", d.number), "listen": d.addr, "discovery": d.discoveryAddr, "counter": d.counterAddr,
		"seed": fmt.Sprintf("%x", d.tb.cfg.Seed<<16|uint64(d.number)<<8|uint64(d.incarnation)), "known": known,
		"limits":   map[string]any{"cores": 1, "memory_mb": memory, "sockets": sockets},
		"settings": settings(d.tb.cfg.Scenario, d.number)}
}

// wireSemantics maps the semantics in scenario files to those on the wire.
var wireSemantics = map[string]string{"replayable": "idempotent", "tokened": "deduplicated", "single-use": "at_most_once"}

// settings returns a scenario's settings under the platform's names.
func settings(s *scenario.Scenario, number int) map[string]any {
	const sec = 1000
	var classes, plans []map[string]any
	for _, p := range s.Classes {
		classes = append(classes, map[string]any{"name": p.Name, "aim": p.ContractMs / sec, "give_up": p.OuterMs / sec,
			"semantics": wireSemantics[p.Semantics], "dedup_scope": p.Scope, "window": p.WindowMs / sec, "late_value": p.LateValue, "worth": p.Gain})
	}
	for _, p := range s.Plans {
		plans = append(plans, map[string]any{"name": p.Name, "rate": p.PerS, "depth": p.Depth, "at_once": p.AtOnce,
			"never_over_rate": p.CeilingPerS, "ceiling_burst": p.CeilingDepth, "pays": p.Price})
	}
	return map[string]any{"fleet_size": s.Fleet.Doors, "my_number": number, "registry_mode": "push", "profiles": classes, "tariffs": plans,
		"extra": map[string]any{"metering": s.Meter.PeriodMs / sec, "counter": s.Counter.On, "counter_timeout": s.Counter.TimeoutMs / sec,
			"units_top": s.Load.MostUnits},
		"limits": map[string]any{"cancel": s.Allow.Cancel, "conn_idle": s.Net.IdleMs / sec, "connect_timeout": s.Net.ConnectTimeoutMs / sec,
			"max_attempts": s.Allow.MaxAttempts, "max_retry_after": s.Clients.MaxRetryAfterMs / sec, "retry_after": s.Allow.RetryAfter,
			"second_copies": s.Allow.Hedging},
		"safety": map[string]any{"cold_from": s.Rules.ColdFrom, "cold": s.Rules.ColdS, "fall_multiple": s.Rules.FallMultiple,
			"tip_after": s.Rules.FallMs / sec}}
}
