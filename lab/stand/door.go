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

// door is one real door with all that it alone sees: its listener's address, its discovery, its addresses of backends and
// of the counter.
type door struct {
	f         *fleet
	number    int
	listen    string
	discovery *discovery
	watched   string
	counter   string
	clients   *clients
	backends  []*address
	stop      context.CancelFunc // of an embedded door
	cmd       *exec.Cmd
	ending    *atomic.Bool // the program is meant to end; its waiter reads it
	fault     atomic.Pointer[error]
	life      int
}

func newDoor(f *fleet, number int) (*door, error) {
	d := &door{f: f, number: number, discovery: newDiscovery()}
	var err error
	if d.listen, err = loopback.Free(); err != nil { // it is taken only when the door starts, and again when it is restarted
		return nil, err
	}
	d.clients = &clients{f: f, to: d.listen, out: map[int]context.CancelFunc{}}
	ln, err := f.listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.watched = ln.Addr().String()
	agent := &http.Server{Handler: d.discovery}
	f.later(func() { _ = agent.Serve(ln) })
	f.atEnd(func() { agent.Close() })
	if f.play.Scenario.Counter.On {
		cl, err := f.listen("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.counter = cl.Addr().String()
		f.atEnd(func() { cl.Close() })
		f.later(func() {
			for {
				nc, err := cl.Accept()
				if err != nil {
					return
				}
				f.atEnd(func() { nc.Close() })
				f.later(func() { f.count(number, nc) })
			}
		})
	}
	f.atEnd(d.clients.drop)
	f.atEnd(d.Kill)
	return d, nil
}

// entries words lines of the list, with the addresses by which this door reaches the backends.
func (d *door) entries(lines []model.Line) []registry.Entry {
	var out []registry.Entry
	for _, l := range lines {
		for len(d.backends) <= l.Backend {
			a, err := newAddress(d.f, d.number, len(d.backends))
			if err != nil {
				d.fail(err)
				return out
			}
			d.backends = append(d.backends, a)
		}
		e := registry.Entry{ID: fmt.Sprintf("b-%d", l.Backend), Addr: d.backends[l.Backend].at, Zone: fmt.Sprintf("z%d", l.Zone),
			Cell: int64(l.Cell), State: lifecycles[l.Status], Size: 1}
		if l.Since >= 0 {
			e.Started = float64(time.Now().UnixMilli()) - (d.f.w.Now() - l.Since)
		}
		out = append(out, e)
	}
	return out
}

func (d *door) fail(err error) { d.fault.CompareAndSwap(nil, &err) }

// Start begins a life of the door.
func (d *door) Start(known []model.Line) {
	d.life++
	list := registry.List{Version: d.discovery.version, Whole: true, Backends: d.entries(known)}
	if list.Backends == nil {
		list.Backends = []registry.Entry{}
	}
	d.discovery.tell(true, list.Backends, known)
	list.Version = d.discovery.version
	raw, err := json.Marshal(d.config(list))
	if err != nil {
		d.fail(err)
		return
	}
	if d.f.play.Binary != "" {
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
	ctx, stop := context.WithCancel(d.f.ctx)
	d.stop = stop
	decider := rival.Makers[d.f.play.Policy].New(cfg.Settings.Terms, cfg.Seed, nil)
	d.f.later(func() {
		if err := frontdoor.New(cfg, decider, log).Serve(ctx); err != nil {
			d.fail(err)
		}
	})
}

// launch starts the door's program.
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
	d.f.atEnd(func() { os.Remove(file.Name()) })
	cmd := exec.Command(d.f.play.Binary)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file.Name())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if d.f.play.Logs != "" {
		if log, err := os.Create(filepath.Join(d.f.play.Logs, fmt.Sprintf("door-%d-%d.log", d.number, d.life))); err == nil {
			cmd.Stdout, cmd.Stderr = log, log
			defer log.Close()
		}
	}
	if err := cmd.Start(); err != nil {
		d.fail(err)
		return
	}
	ending := new(atomic.Bool)
	d.cmd, d.ending = cmd, ending
	d.f.later(func() {
		if err := cmd.Wait(); err != nil && !d.f.over.Load() && !ending.Load() {
			d.fail(&PartyError{d.f.play.Binary, "its program ended", err})
		}
	})
}

// Kill ends the door at once; an embedded one can only be asked to leave.
func (d *door) Kill() {
	if d.stop != nil {
		d.stop()
	}
	if cmd := d.cmd; cmd != nil {
		d.cmd = nil
		d.ending.Store(true)
		_ = cmd.Process.Kill()
	}
	d.clients.drop()
}

// Stop asks it to leave.
func (d *door) Stop() {
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
	}
}

func (d *door) Submit(t *model.Try) {
	d.f.mu.Lock()
	d.f.tries[txn(t.ID)] = t
	d.f.mu.Unlock()
	d.clients.submit(t, d.f.w.Word(t))
}

func (d *door) Leave(t *model.Try) { d.clients.leave(t) }

func (d *door) List(whole bool, change []model.Line) {
	d.discovery.tell(whole, d.entries(change), change)
}

// Process follows a backend's process at this door's address of it.
func (d *door) Process(backend int, up bool) {
	if backend < len(d.backends) {
		d.backends[backend].set(up)
	}
}

// ready asks the door whether it can serve.
func (d *door) ready() bool {
	client := http.Client{Timeout: dialPatience}
	resp, err := client.Get("http://" + d.listen + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// config words the door's configuration as the platform does.
func (d *door) config(known registry.List) map[string]any {
	memory := d.f.play.MemoryMB
	if memory == 0 {
		memory = defaultMemoryMB
	}
	return map[string]any{"name": fmt.Sprintf("n%d", d.number), "listen": d.listen, "discovery": d.watched, "counter": d.counter,
		"seed": fmt.Sprintf("%x", d.f.play.Seed<<16|uint64(d.number)<<8|uint64(d.life)), "known": known,
		"limits":   map[string]any{"cores": 1, "memory_mb": memory, "sockets": sockets},
		"settings": settings(d.f.play.Scenario, d.number)}
}

var wireSemantics = map[string]string{"replayable": "idempotent", "tokened": "deduplicated", "single-use": "at_most_once"}

// settings words a scenario under the names of the wire.
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
