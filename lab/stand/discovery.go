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

// discovery is one door's agent: it tells what it has been sent, at once.
type discovery struct {
	mu      sync.Mutex
	version int64
	entries map[int]registry.Entry
	changes []registry.List // since the agent began
	changed chan struct{}   // closed with each change
}

func newDiscovery() *discovery {
	return &discovery{version: 1, entries: map[int]registry.Entry{}, changed: make(chan struct{})}
}

var wireStates = map[gate.Status]string{gate.Up: "Ready", gate.Draining: "Terminating", gate.Gone: "Gone"}

// publish takes what discovery sends: the whole list, or a change.
func (d *discovery) publish(whole bool, entries []registry.Entry, of []model.BackendEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if whole {
		clear(d.entries)
	}
	for i, e := range entries {
		if of[i].Status == gate.Gone {
			delete(d.entries, of[i].Backend)
		} else {
			d.entries[of[i].Backend] = e
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

func (d *discovery) snapshot() registry.List {
	l := registry.List{Version: d.version, Whole: true, Backends: []registry.Entry{}}
	for _, e := range d.entries {
		l.Backends = append(l.Backends, e)
	}
	return l
}

const heartbeat = 2 * time.Second // an empty line says that nothing has changed

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	next, at, news := d.snapshot(), len(d.changes), d.changed
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
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	if enc.Encode(next) != nil || flush() != nil {
		return
	}
	for {
		select {
		case <-r.Context().Done():
			return
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-news:
			d.mu.Lock()
			more := d.changes[at:]
			at, news = len(d.changes), d.changed
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
