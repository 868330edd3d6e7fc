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

func (w *rig) now() Instant { return time.Since(w.began) }

// logLevel is the doors' logLevel of logging: where the logs are kept, they tell single requests.
func (w *rig) logLevel() string {
	if w.logDir == "" {
		return "info"
	}
	return "debug"
}

func (w *rig) over() bool { return w.ended.Load() }

// backendNumber finds a backend by its name on the list.
func (w *rig) backendNumber(id string) int {
	for _, b := range w.backends {
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
	w := &rig{seed: day.Seed, program: day.Program, logDir: day.LogDir, logFault: day.LogFault, delayRequests: day.DelayRequests, began: time.Now(),
		history: &History{MaxDeadline: day.MaxDeadline, DedupWindow: dedupWindow, DrainGrace: drainGrace}}
	for i := range day.Backends {
		b, err := newBackend(w, i)
		if err != nil {
			return w, &RigError{"a backend", err}
		}
		w.backends = append(w.backends, b)
	}
	var err error
	if w.counter, err = newCounter(); err != nil {
		return w, &RigError{"a counter", err}
	}
	for i := range day.Doors {
		addr, err := loopback.Free()
		if err != nil {
			return w, err
		}
		d := &door{rig: w, number: i, addr: addr, descriptors: day.Descriptors, configFile: filepath.Join(folder, fmt.Sprintf("door%d.json", i))}
		for k := range d.agents {
			if d.agents[k], err = newDiscovery(w, i); err != nil {
				return w, &RigError{"discovery", err}
			}
		}
		d.agents[1].setInactive(true)
		w.doors = append(w.doors, d)
	}
	return w, nil
}

// takeDown ends what setUp began.
func (w *rig) takeDown() {
	for _, b := range w.backends {
		b.ln.Close()
	}
	if w.counter != nil {
		w.counter.ln.Close()
	}
	for _, d := range w.doors {
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
	w, err := setUp(day, folder)
	defer w.takeDown()
	if err != nil {
		return nil, err
	}
	s := newSchedule(w, day)
	for i, d := range w.doors {
		if err := d.start(s.drawFaults(i)); err != nil {
			return nil, err
		}
	}
	var clients, events sync.WaitGroup
	clients.Go(w.measureStalls)
	clients.Go(w.measureContention)
	clients.Go(w.measureNetwork)
	for _, d := range w.doors {
		for k := range day.Clients {
			c := &client{rig: w, door: d, rng: rand.New(rand.NewPCG(day.Seed, uint64(d.number*1000+k)))}
			clients.Go(c.run)
		}
		for range day.IdleClients {
			clients.Go(func() { w.idle(d) })
		}
	}
	s.run(&events)
	events.Wait()
	w.ended.Store(true)
	clients.Wait()
	return w.history, nil
}

const (
	stallInterval      = 5 * time.Millisecond
	minStall           = 10 * time.Millisecond
	idlePollInterval   = 100 * time.Millisecond // between looks whether the door has closed an idle client's connection
	idleReconnectDelay = 2 * time.Second        // before an idle client that was closed connects again
)

// measureStalls records when the rig itself was late.
func (w *rig) measureStalls() {
	for !w.over() {
		due := w.now() + stallInterval
		time.Sleep(stallInterval)
		if late := w.now() - due; late > minStall {
			w.history.addStall(Stall{TheRig, due, late})
		}
	}
}

// idle is a client that connects and asks nothing.
func (w *rig) idle(d *door) {
	for !w.over() {
		time.Sleep(idlePollInterval)
		if !d.acceptsClients() {
			continue
		}
		nc, err := d.dial()
		if err != nil {
			continue
		}
		for !w.over() {
			nc.SetReadDeadline(time.Now().Add(idlePollInterval))
			if _, err := nc.Read(make([]byte, 1)); err != nil && !os.IsTimeout(err) {
				break
			}
		}
		nc.Close()
		time.Sleep(idleReconnectDelay)
	}
}
