// Package stand runs scenarios against real doors on loopback. Stand-in servers for backends, discovery and the shared counter,
// and clients, speak the platform's protocol; the model drives them in real time.
package stand

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/model"
	"github.com/swifthall/swifthall/lab/rival"
	"github.com/swifthall/swifthall/lab/run"
	"github.com/swifthall/swifthall/lab/scenario"
)

// SocketRun is one run of a scenario on sockets.
type SocketRun struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Policy   string // policy of embedded doors
	Binary   string // path of the door's program; empty for doors embedded in this process
	Logs     string // directory for the logs of the doors' programs; empty for none
	MemoryMB int    // memory limit configured for each door; 0 means the default
}

const (
	maxListeners    = 2000 // doors times backends, as each door reaches each backend at an address of its own
	defaultMemoryMB = 192
	sockets         = 1024 // socket limit configured for each door
)

// testbed is the state shared by the doors, the stand-ins and the clients of a run.
type testbed struct {
	cfg   *SocketRun
	sim   *model.Simulation
	doors []*door
	ctx   context.Context

	mu       sync.Mutex
	tries    map[string]*model.Try // by transaction id
	attempts map[int]int           // number of attempts that have arrived, by try
	closers  []func()              // called by close
	group    sync.WaitGroup
	over     atomic.Bool // set when no run is in progress
}

// Run runs the scenario and returns its result, with the limits of the checks widened for sockets.
func (p SocketRun) Run(ctx context.Context, progress func(done float64)) (*run.Result, error) {
	s := p.Scenario
	maxBackends := s.Fleet.Backends
	for _, fault := range s.Faults {
		if fault.Kind == "replace" {
			maxBackends *= 2
		}
		if (fault.Kind == "door_deaths" || fault.Kind == "door_roll") && p.Binary == "" {
			return nil, &UnsupportedScenarioError{fault.Kind, embeddedCannotCrash, "Give --door the path of the built swifthall."}
		}
	}
	if n := maxBackends * s.Fleet.Doors; n > maxListeners {
		return nil, &UnsupportedScenarioError{Reason: fmt.Sprintf("%d doors and %d backends need %d addresses, more than %d",
			s.Fleet.Doors, maxBackends, n, maxListeners),
			Advice: "Run it with fewer doors (--doors) or simulated (--on sim)."}
	}
	if p.Binary != "" && p.Policy != rival.Swifthall {
		return nil, &UnsupportedScenarioError{Reason: fmt.Sprintf("policy %q: a door's program always uses its own policy", p.Policy),
			Advice: "Leave --policy or --door out."}
	}
	if p.Binary == "" {
		if p.Policy == rival.Oracle || p.Policy == rival.Late {
			return nil, &UnsupportedScenarioError{Reason: "policy " + p.Policy + " needs the true state, which doors on sockets do not know",
				Advice: "Run it with --on sim."}
		}
		if _, known := rival.Makers[p.Policy]; !known {
			return nil, &run.PolicyError{Name: p.Policy, Known: rival.Names}
		}
	}
	ctx, stop := context.WithCancel(ctx)
	j := judge.New(model.WithSocketSlack(model.JudgeParams(s)))
	tb := &testbed{cfg: &p, ctx: ctx, tries: map[string]*model.Try{}, attempts: map[int]int{}}
	defer tb.group.Wait()
	defer tb.close()
	defer stop()
	var external []model.ExternalDoor
	for i := range s.Fleet.Doors {
		d, err := newDoor(tb, i)
		if err != nil {
			return nil, err
		}
		tb.doors = append(tb.doors, d)
		external = append(external, d)
	}
	tb.sim = model.NewExternal(s, p.Seed, external, j)
	behind, err := tb.sim.RunRealTime(ctx, tb.ready, progress)
	tb.over.Store(true)
	if err != nil {
		return nil, err
	}
	r := run.NewResult(s, p.Seed, p.Policy, run.OnSockets, j)
	r.Behind = behind
	for _, d := range tb.doors {
		if err := d.err.Load(); err != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("door %d: %v", d.number, *err))
		}
	}
	return r, nil
}

// ready reports whether all doors are ready to serve.
func (tb *testbed) ready() (bool, error) {
	for _, d := range tb.doors {
		if err := d.err.Load(); err != nil {
			return false, &ComponentError{fmt.Sprintf("door %d", d.number), "", *err}
		}
		if !d.ready() {
			return false, nil
		}
	}
	return true, nil
}

// spawn runs a function in a goroutine. The run waits for it at its end.
func (tb *testbed) spawn(do func()) { tb.group.Go(do) }

// onClose registers a function to be called at the end of the run.
func (tb *testbed) onClose(do func()) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.closers = append(tb.closers, do)
}

// close ends the doors, stand-ins and clients. Calls that they post from now on are dropped.
func (tb *testbed) close() {
	tb.over.Store(true)
	tb.mu.Lock()
	closers := tb.closers
	tb.mu.Unlock()
	for _, c := range closers {
		c()
	}
}

// post runs a function on the model's goroutine, if a run is in progress.
func (tb *testbed) post(do func()) {
	if tb.sim != nil && !tb.over.Load() {
		tb.sim.Post(tb.ctx, do)
	}
}

// findTry returns the try with a transaction id, or nil.
func (tb *testbed) findTry(id string) *model.Try {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.tries[id]
}

// listen opens a listener on loopback.
func (tb *testbed) listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ComponentError{"stand-in at " + addr, "", err}
	}
	return ln, nil
}
