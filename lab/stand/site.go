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

// Site is a minimal environment for doors on loopback: backends that answer at once, and a discovery that lists them.
type Site struct {
	Discovery string // address of the discovery

	list      registry.List
	discovery *discovery
	mu        sync.Mutex
	servers   []*http.Server
	group     sync.WaitGroup
}

// NewSite starts a site. onRequest is called with the name of the backend for each request that it receives; it may be nil.
func NewSite(onRequest func(backend string)) (*Site, error) {
	s := &Site{}
	agent := newDiscovery()
	s.discovery = agent
	var entries []registry.Entry
	var states []model.BackendEntry
	for i := range comparedBackends {
		id := fmt.Sprintf("b-%d", i)
		addr, err := s.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if onRequest != nil {
				onRequest(id)
			}
			_, _ = w.Write([]byte("done"))
		}))
		if err != nil {
			s.Close()
			return nil, err
		}
		entries = append(entries, registry.Entry{ID: id, Addr: addr, Zone: "z", State: "Ready", Weight: 1})
		states = append(states, model.BackendEntry{Backend: i})
	}
	agent.publish(true, entries, states)
	s.list = registry.List{Version: agent.version, Whole: true, Backends: entries}
	addr, err := s.serve(agent)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Discovery = addr
	return s, nil
}

// serve starts a server and returns its address.
func (s *Site) serve(h http.Handler) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &ComponentError{"stand-in", "", err}
	}
	srv := &http.Server{Handler: h}
	s.servers = append(s.servers, srv)
	s.group.Go(func() { _ = srv.Serve(ln) })
	return ln.Addr().String(), nil
}

// Config returns the configuration of one of the given number of doors, without a counter.
func (s *Site) Config(name, listen string, number, doors int) map[string]any {
	s.mu.Lock()
	known := s.list
	known.Backends = slices.Clone(s.list.Backends)
	s.mu.Unlock()
	scen := trivialScenario
	scen.Fleet.Doors = doors
	return map[string]any{"name": name, "listen": listen, "discovery": s.Discovery, "seed": fmt.Sprintf("%x", number+1), "known": known,
		"limits": map[string]any{"cores": 1, "memory_mb": defaultMemoryMB, "sockets": sockets}, "settings": settings(&scen, number)}
}

// Client returns a load run for one door of the site.
func (s *Site) Client(target string, seed uint64) load.Run {
	return load.Run{Target: target, Conns: 8, Poisson: true, Seed: seed,
		Request: load.DoorRequests{Host: target, Class: "look", Plan: "ample", Customers: 50, Wait: clientTimeoutMs, Seed: seed}.Format}
}

// Close stops the servers.
func (s *Site) Close() {
	for _, srv := range s.servers {
		srv.Close()
	}
	s.group.Wait()
}

// Backends returns the number of backends.
func (s *Site) Backends() int { return len(s.list.Backends) }

// Replace makes a backend appear as a new process: discovery reports that it has just started.
func (s *Site) Replace(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.list.Backends {
		if e := &s.list.Backends[i]; e.ID == backend {
			e.Started = float64(time.Now().UnixMilli())
			s.discovery.publish(false, []registry.Entry{*e}, []model.BackendEntry{{Backend: i}})
		}
	}
}
