package stand

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/lab/load"
	"github.com/swifthall/swifthall/lab/model"
)

// Site is the least that doors need to serve on loopback: backends that answer at once, and discovery that lists them.
type Site struct {
	Discovery string // its address

	list    registry.List
	agent   *discovery
	mu      sync.Mutex
	servers []*http.Server
	group   sync.WaitGroup
}

// NewSite starts one. came hears of each request that comes to a backend, named as its list has it; it may be nil.
func NewSite(came func(backend string)) (*Site, error) {
	s := &Site{}
	agent := newDiscovery()
	s.agent = agent
	var entries []registry.Entry
	var lines []model.Line
	for i := range besideBackends {
		id := fmt.Sprintf("b-%d", i)
		at, err := s.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if came != nil {
				came(id)
			}
			_, _ = w.Write([]byte("done"))
		}))
		if err != nil {
			s.Close()
			return nil, err
		}
		entries = append(entries, registry.Entry{ID: id, Addr: at, Zone: "z", State: "Ready", Size: 1})
		lines = append(lines, model.Line{Backend: i})
	}
	agent.tell(true, entries, lines)
	s.list = registry.List{Version: agent.version, Whole: true, Backends: entries}
	at, err := s.serve(agent)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Discovery = at
	return s, nil
}

func (s *Site) serve(h http.Handler) (at string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &PartyError{"stand-in", "", err}
	}
	srv := &http.Server{Handler: h}
	s.servers = append(s.servers, srv)
	s.group.Go(func() { _ = srv.Serve(ln) })
	return ln.Addr().String(), nil
}

// Config words the configuration of one of so many doors, without a counter.
func (s *Site) Config(name, listen string, number, doors int) map[string]any {
	s.mu.Lock()
	known := s.list
	known.Backends = slices.Clone(s.list.Backends)
	s.mu.Unlock()
	world := instant
	world.Fleet.Doors = doors
	return map[string]any{"name": name, "listen": listen, "discovery": s.Discovery, "seed": fmt.Sprintf("%x", number+1), "known": known,
		"limits": map[string]any{"cores": 1, "memory_mb": defaultMemoryMB, "sockets": sockets}, "settings": settings(&world, number)}
}

// Client is load on one door of the site.
func (s *Site) Client(target string, seed uint64) load.Run {
	return load.Run{Target: target, Conns: 8, Poisson: true, Seed: seed,
		Request: load.DoorRequests{Host: target, Class: "look", Plan: "ample", Customers: 50, Wait: besideWait, Seed: seed}.Format}
}

// Close ends all of it.
func (s *Site) Close() {
	for _, srv := range s.servers {
		srv.Close()
	}
	s.group.Wait()
}

// Backends is how many there are.
func (s *Site) Backends() int { return len(s.list.Backends) }

// Replace has a backend's process be another: discovery tells that it has just started.
func (s *Site) Replace(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.list.Backends {
		if e := &s.list.Backends[i]; e.ID == backend {
			e.Started = float64(time.Now().UnixMilli())
			s.agent.tell(false, []registry.Entry{*e}, []model.Line{{Backend: i}})
		}
	}
}
