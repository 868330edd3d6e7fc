package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/lab/sysfaults"
)

// Config describes one soak run.
type Config struct {
	Seed           uint64
	Program        string           // path of swifthall, built by sysfaults
	LogDir         string           // directory in which the doors' logs are kept; empty if they are not kept
	Doors          int              // number of front doors
	Backends       int              // number of backends
	Clients        int              // number of clients per door
	IdleClients    int              // clients per door that connect but send nothing, meant to exceed what its descriptors hold
	Descriptors    int              // limit of descriptors per door
	MemoryMB       int              // limit of resident memory per door, MB
	Crowd          Crowd            // kind of the ill-behaved clients of each door
	CrowdClients   int              // number of ill-behaved clients per door
	CrowdDoors     int              // number of doors that have a crowd; 0 for all
	MaxDeadline    time.Duration    // longest request deadline of the deployment
	Length         time.Duration    // until every door is terminated
	ZoneScope      bool             // only the backends of a zone discard each other's repeats of a keyed request
	NoRandomFaults bool             // there are no random events, and no system call faults except FaultPlans
	HangAtEnd      bool             // every backend hangs from Length on
	DelayRequests  bool             // every client sends its request some time after connecting
	LogFault       LogFault         // fault of the doors' logs
	FaultPlans     []sysfaults.Plan // fault plans of the doors in turn, instead of random ones
}

// LogFault is a fault of a door's log.
type LogFault int

// The faults of logs.
const (
	LogOK     LogFault = iota
	LogFull            // the pipe is full and not read
	LogClosed          // the read end of the pipe is closed
)

// crowdAt returns the number of ill-behaved clients of a door.
func (cfg *Config) crowdAt(door int) int {
	if cfg.CrowdDoors > 0 && door >= cfg.CrowdDoors {
		return 0
	}
	return cfg.CrowdClients
}

// rig is the environment of the doors of a run.
type rig struct {
	seed          uint64
	program       string
	logDir        string
	logFault      LogFault
	delayRequests bool
	memoryMB      int
	began         time.Time
	history       *History
	backends      []*backend
	backendIDs    sync.Map // ids of processes to numbers of backends
	doors         []*door
	counter       *counter
	ended         atomic.Bool
}

// now returns the time since the start of the run.
func (r *rig) now() Instant { return time.Since(r.began) }

// logLevel returns the log level of the doors. Where their logs are kept, they log single requests.
func (r *rig) logLevel() string {
	if r.logDir == "" {
		return "info"
	}
	return "debug"
}

// over reports whether the run is over.
func (r *rig) over() bool { return r.ended.Load() }

// addBackendID records the id of a backend process.
func (r *rig) addBackendID(id string, number int) { r.backendIDs.Store(id, number) }

// backendNumber returns the number of the backend of a process with an id on the list, -1 if there is none.
func (r *rig) backendNumber(id string) int {
	if number, found := r.backendIDs.Load(id); found {
		return number.(int)
	}
	return -1
}

const (
	dedupWindow = 2 * time.Second        // how long backends discard repeats of a keyed request
	drainGrace  = 500 * time.Millisecond // how long a door may still send to a backend after it was notified of its drain
)

// setUp creates the rig of a run, with the doors' configurations in dir. A partial rig is returned along with an error.
func setUp(cfg Config, dir string) (*rig, error) {
	r := &rig{seed: cfg.Seed, program: cfg.Program, logDir: cfg.LogDir, logFault: cfg.LogFault, delayRequests: cfg.DelayRequests, memoryMB: cfg.MemoryMB, began: time.Now(),
		history: &History{MaxDeadline: cfg.MaxDeadline, DedupWindow: dedupWindow, DrainGrace: drainGrace, ZoneScope: cfg.ZoneScope, MaxMemory: int64(cfg.MemoryMB) << 20}}
	for i := range cfg.Backends {
		b, err := newBackend(r, i)
		if err != nil {
			return r, &RigError{"a backend", err}
		}
		r.backends = append(r.backends, b)
	}
	var err error
	if r.counter, err = newCounter(); err != nil {
		return r, &RigError{"a counter", err}
	}
	for i := range cfg.Doors {
		addr, err := loopback.Free()
		if err != nil {
			return r, err
		}
		d := &door{rig: r, number: i, addr: addr, descriptors: cfg.Descriptors, configFile: filepath.Join(dir, fmt.Sprintf("door%d.json", i))}
		for k := range d.agents {
			if d.agents[k], err = newDiscovery(r, i); err != nil {
				return r, &RigError{"discovery", err}
			}
		}
		d.agents[1].setInactive(true)
		r.doors = append(r.doors, d)
	}
	return r, nil
}

// takeDown closes all listeners of the rig.
func (r *rig) takeDown() {
	for _, b := range r.backends {
		b.close()
	}
	if r.counter != nil {
		r.counter.ln.Close()
	}
	for _, d := range r.doors {
		for _, a := range d.agents {
			if a != nil {
				a.ln.Close()
			}
		}
	}
}

// Run performs a soak run and returns its history.
func Run(cfg Config) (*History, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, &RigError{"a directory", err}
	}
	defer os.RemoveAll(dir)
	r, err := setUp(cfg, dir)
	defer r.takeDown()
	if err != nil {
		return nil, err
	}
	s := newSchedule(r, cfg)
	for i, d := range r.doors {
		if err := d.start(s.drawFaults(i)); err != nil {
			return nil, err
		}
	}
	var clients, events sync.WaitGroup
	clients.Go(r.measureStalls)
	clients.Go(r.measureContention)
	clients.Go(r.measureNetwork)
	clients.Go(r.measureMemory)
	for _, d := range r.doors {
		for k := range cfg.Clients {
			c := &client{rig: r, door: d, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(d.number*1000+k)))}
			clients.Go(c.run)
		}
		for range cfg.IdleClients {
			clients.Go(func() { r.idle(d) })
		}
		for k := range cfg.crowdAt(d.number) {
			c := &crowdClient{rig: r, door: d, kind: cfg.Crowd, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(crowdStream+d.number*1000+k)))}
			clients.Go(c.run)
		}
	}
	s.run(&events)
	events.Wait()
	r.ended.Store(true)
	clients.Wait()
	return r.history, nil
}

const (
	crowdStream        = 1 << 20                // first random stream of the crowds, after those of the clients
	stallInterval      = 5 * time.Millisecond   // between two measurements
	minStall           = 10 * time.Millisecond  // shorter delays are not recorded
	idlePollInterval   = 100 * time.Millisecond // between checks whether the door has closed an idle client's connection
	idleReconnectDelay = 2 * time.Second        // before an idle client connects again after the door closed its connection
)

// measureStalls records when the rig's own timers fired late.
func (r *rig) measureStalls() {
	for !r.over() {
		due := r.now() + stallInterval
		time.Sleep(stallInterval)
		if late := r.now() - due; late > minStall {
			r.history.addStall(Stall{TheRig, due, late})
		}
	}
}

// idle runs a client that connects but sends nothing.
func (r *rig) idle(d *door) {
	for !r.over() {
		time.Sleep(idlePollInterval)
		if !d.acceptsClients() {
			continue
		}
		nc, err := d.dial()
		if err != nil {
			continue
		}
		for !r.over() {
			nc.SetReadDeadline(time.Now().Add(idlePollInterval))
			if _, err := nc.Read(make([]byte, 1)); err != nil && !os.IsTimeout(err) {
				break
			}
		}
		nc.Close()
		time.Sleep(idleReconnectDelay)
	}
}
