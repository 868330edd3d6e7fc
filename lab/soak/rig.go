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

// Config is one day that can be played.
type Config struct {
	Seed           uint64
	Program        string           // swifthall, built by sysfaults
	LogDir         string           // folder that keeps the doors' logs; empty keeps none
	Doors          int              // front doors
	Backends       int              //
	Clients        int              // of each door
	IdleClients    int              // idle clients of each door, over what its descriptors hold
	Descriptors    int              // descriptors of each door
	MaxDeadline    time.Duration    // the longest of the deployment
	Length         time.Duration    // until every door is told to end
	NoRandomFaults bool             // no event is drawn, and no system call fails but by Faults
	HangAtEnd      bool             // from Length on every backend hangs
	DelayRequests  bool             // every client brings its request some time after its connection
	LogFault       LogFault         // what is wrong with the doors' logs
	FaultPlans     []sysfaults.Plan // of the doors in turn, in place of drawn ones
}

// LogFault is something wrong with a door's log.
type LogFault int

// The faults of a log.
const (
	LogOK     LogFault = iota
	LogFull            // its pipe is full, and nobody reads it
	LogClosed          // its reader has gone
)

// rig is what surrounds the doors of a day.
type rig struct {
	seed          uint64
	program       string
	logDir        string
	logFault      LogFault
	delayRequests bool
	began         time.Time
	history       *History
	backends      []*backend
	doors         []*door
	counter       *counter
	ended         atomic.Bool
}

func (r *rig) now() Instant { return time.Since(r.began) }

// logLevel is the doors' logLevel of logging: where the logs are kept, they tell single requests.
func (r *rig) logLevel() string {
	if r.logDir == "" {
		return "info"
	}
	return "debug"
}

func (r *rig) over() bool { return r.ended.Load() }

// backendNumber finds a backend by its name on the list.
func (r *rig) backendNumber(id string) int {
	for _, b := range r.backends {
		if b.id == id {
			return b.number
		}
	}
	return -1
}

const (
	dedupWindow = 2 * time.Second
	drainGrace  = 500 * time.Millisecond
)

// setUp builds the world of a day in a folder.
func setUp(day Config, folder string) (*rig, error) {
	r := &rig{seed: day.Seed, program: day.Program, logDir: day.LogDir, logFault: day.LogFault, delayRequests: day.DelayRequests, began: time.Now(),
		history: &History{MaxDeadline: day.MaxDeadline, DedupWindow: dedupWindow, DrainGrace: drainGrace}}
	for i := range day.Backends {
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
	for i := range day.Doors {
		addr, err := loopback.Free()
		if err != nil {
			return r, err
		}
		d := &door{rig: r, number: i, addr: addr, descriptors: day.Descriptors, configFile: filepath.Join(folder, fmt.Sprintf("door%d.json", i))}
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

// takeDown ends what setUp began.
func (r *rig) takeDown() {
	for _, b := range r.backends {
		b.ln.Close()
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

// Run plays a day and returns what was seen.
func Run(day Config) (*History, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, &RigError{"a folder", err}
	}
	defer os.RemoveAll(folder)
	r, err := setUp(day, folder)
	defer r.takeDown()
	if err != nil {
		return nil, err
	}
	s := newSchedule(r, day)
	for i, d := range r.doors {
		if err := d.start(s.drawFaults(i)); err != nil {
			return nil, err
		}
	}
	var clients, events sync.WaitGroup
	clients.Go(r.measureStalls)
	clients.Go(r.measureContention)
	clients.Go(r.measureNetwork)
	for _, d := range r.doors {
		for k := range day.Clients {
			c := &client{rig: r, door: d, rng: rand.New(rand.NewPCG(day.Seed, uint64(d.number*1000+k)))}
			clients.Go(c.run)
		}
		for range day.IdleClients {
			clients.Go(func() { r.idle(d) })
		}
	}
	s.run(&events)
	events.Wait()
	r.ended.Store(true)
	clients.Wait()
	return r.history, nil
}

const (
	stallInterval      = 5 * time.Millisecond
	minStall           = 10 * time.Millisecond
	idlePollInterval   = 100 * time.Millisecond // between looks whether the door has closed an idle client's connection
	idleReconnectDelay = 2 * time.Second        // before an idle client that was closed connects again
)

// measureStalls records when the rig itself was late.
func (r *rig) measureStalls() {
	for !r.over() {
		due := r.now() + stallInterval
		time.Sleep(stallInterval)
		if late := r.now() - due; late > minStall {
			r.history.addStall(Stall{TheRig, due, late})
		}
	}
}

// idle is a client that connects and asks nothing.
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
