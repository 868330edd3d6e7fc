package stand

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/registry"
	"github.com/swifthall/swifthall/lab/model"
)

// discovery is the discovery server of one door. It passes on what is published, without delay.
type discovery struct {
	mu      sync.Mutex
	version int64
	entries map[int]registry.Entry
	changes []registry.List // all that were published
	changed chan struct{}   // closed and replaced with each change
}

func newDiscovery() *discovery {
	return &discovery{version: 1, entries: map[int]registry.Entry{}, changed: make(chan struct{})}
}

// wireStates are the backend states on the wire.
var wireStates = map[gate.Status]string{gate.Up: "Ready", gate.Draining: "Terminating", gate.Gone: "Gone"}

// publish sends the whole list or a change to the door. states has the state of each entry.
func (d *discovery) publish(whole bool, entries []registry.Entry, states []model.BackendEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if whole {
		clear(d.entries)
	}
	for i, e := range entries {
		if states[i].Status == gate.Gone {
			delete(d.entries, states[i].Backend)
		} else {
			d.entries[states[i].Backend] = e
		}
	}
	d.version++
	if entries == nil {
		entries = []registry.Entry{}
	}
	d.changes = append(d.changes, registry.List{Version: d.version, Whole: whole, Backends: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

// snapshot returns the present list.
func (d *discovery) snapshot() registry.List {
	l := registry.List{Version: d.version, Whole: true, Backends: []registry.Entry{}}
	for _, e := range d.entries {
		l.Backends = append(l.Backends, e)
	}
	return l
}

const heartbeat = 2 * time.Second // interval of empty lines, which mean no change

// ServeHTTP serves the present list, or a stream of it and its changes.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	next, at, changed := d.snapshot(), len(d.changes), d.changed
	d.mu.Unlock()
	enc := json.NewEncoder(w)
	if r.URL.Query().Get("stream") != "1" {
		_ = enc.Encode(next)
		return
	}
	if since, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64); err == nil && since == next.Version {
		next = registry.List{Version: next.Version, Backends: []registry.Entry{}}
	}
	flush := http.NewResponseController(w).Flush
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	if enc.Encode(next) != nil || flush() != nil {
		return
	}
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-changed:
			d.mu.Lock()
			more := d.changes[at:]
			at, changed = len(d.changes), d.changed
			d.mu.Unlock()
			for _, l := range more {
				if enc.Encode(l) != nil {
					return
				}
			}
		}
		if flush() != nil {
			return
		}
	}
}
