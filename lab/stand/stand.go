// Package stand plays a scenario's day against real doors on loopback: stand-ins for backends, discovery, counter and
// clients that speak as the platform's protocol page says, driven by the emulator's world in real time.
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

// Play is one day on sockets.
type Play struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Policy   string // of embedded doors
	Binary   string // the door's program; empty for doors within this process
	Logs     string // folder for the logs of the doors' programs; empty for none
	MemoryMB int    // told to the doors; 0 for the default
}

const (
	mostListeners   = 2000 // doors times backends: each door reaches each backend at an address of its own
	defaultMemoryMB = 192
	sockets         = 1024 // descriptors that a door is told it may hold
)

// fleet is what all parties share.
type fleet struct {
	play  *Play
	w     *model.World
	doors []*door
	ctx   context.Context

	mu     sync.Mutex
	tries  map[string]*model.Try // by the id on the wire
	sends  map[int]int           // attempts that have come, by try
	closer []func()
	group  sync.WaitGroup
	over   atomic.Bool
}

// Run plays the day and judges it.
func (p Play) Run(ctx context.Context, progress func(done float64)) (*run.Result, error) {
	s := p.Scenario
	most := s.Fleet.Backends
	for _, f := range s.Faults {
		if f.Kind == "replace" {
			most *= 2
		}
		if (f.Kind == "door_deaths" || f.Kind == "door_roll") && p.Binary == "" {
			return nil, &UnplayableError{f.Kind, saysEmbedded, "Give --door the path of the built swifthall."}
		}
	}
	if n := most * s.Fleet.Doors; n > mostListeners {
		return nil, &UnplayableError{Says: fmt.Sprintf("%d doors and %d backends need %d addresses, more than %d", s.Fleet.Doors, most, n, mostListeners),
			Do: "Play it with fewer doors (--doors), or simulated (--on sim)."}
	}
	if p.Binary != "" && p.Policy != rival.Swifthall {
		return nil, &UnplayableError{Says: fmt.Sprintf("policy %q: a door's program decides by itself", p.Policy), Do: "Leave --policy or --door out."}
	}
	if p.Binary == "" {
		if p.Policy == rival.Oracle || p.Policy == rival.Late {
			return nil, &UnplayableError{Says: "policy " + p.Policy + " sees the true state, which no door on sockets can", Do: "Play it with --on sim."}
		}
		if _, known := rival.Makers[p.Policy]; !known {
			return nil, &run.PolicyError{Name: p.Policy, Known: rival.Names}
		}
	}
	ctx, stop := context.WithCancel(ctx)
	j := judge.New(model.Slack(model.Deal(s)))
	f := &fleet{play: &p, ctx: ctx, tries: map[string]*model.Try{}, sends: map[int]int{}}
	defer f.group.Wait()
	defer f.close()
	defer stop()
	var outer []model.Outer
	for i := range s.Fleet.Doors {
		d, err := newDoor(f, i)
		if err != nil {
			return nil, err
		}
		f.doors = append(f.doors, d)
		outer = append(outer, d)
	}
	f.w = model.NewOuter(s, p.Seed, outer, j)
	behind, err := f.w.RunReal(ctx, f.ready, progress)
	f.over.Store(true)
	if err != nil {
		return nil, err
	}
	r := run.NewResult(s, p.Seed, p.Policy, run.OnSockets, j)
	r.Behind = behind
	for _, d := range f.doors {
		if err := d.fault.Load(); err != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("door %d: %v", d.number, *err))
		}
	}
	return r, nil
}

// ready tells whether all doors say that they can serve.
func (f *fleet) ready() (bool, error) {
	for _, d := range f.doors {
		if err := d.fault.Load(); err != nil {
			return false, &PartyError{fmt.Sprintf("door %d", d.number), "", *err}
		}
		if !d.ready() {
			return false, nil
		}
	}
	return true, nil
}

// later runs something until the day is over.
func (f *fleet) later(do func()) { f.group.Go(do) }

// atEnd has something closed when the day is over.
func (f *fleet) atEnd(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closer = append(f.closer, do)
}

// close ends all parties; what they still post goes nowhere.
func (f *fleet) close() {
	f.over.Store(true)
	f.mu.Lock()
	closers := f.closer
	f.mu.Unlock()
	for _, c := range closers {
		c()
	}
}

// post has the world do something, for as long as there is one that plays.
func (f *fleet) post(do func()) {
	if f.w != nil && !f.over.Load() {
		f.w.Post(f.ctx, do)
	}
}

func (f *fleet) find(id string) *model.Try {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tries[id]
}

// listen opens an address on loopback that ends with the day.
func (f *fleet) listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &PartyError{"stand-in at " + addr, "", err}
	}
	return ln, nil
}
