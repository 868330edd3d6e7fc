package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() { cases["indented"] = indentedCase }

// teller is a discovery whose list changes once. Its whole lists come indented or not; changes are one object a line.
type teller struct {
	r        *rig
	indented bool

	mu      sync.Mutex
	version int
	all     []instance
	changed chan struct{}
	toldAt  float64 // when the change was first written to a watch
	watches int     // calls for a watch
}

// drain lists a backend as draining from now on.
func (t *teller) drain(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.all {
		if t.all[i].InstanceID == id {
			t.all[i].Lifecycle = "Terminating"
		}
	}
	t.version++
	close(t.changed)
}

func (t *teller) encode(l list) []byte {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	if t.indented && l.Reset {
		enc.SetIndent("", "  ")
	}
	_ = enc.Encode(l)
	return out.Bytes()
}

func (t *teller) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	t.mu.Lock()
	t.watches++
	told, text, changed := t.version, t.encode(list{t.version, true, t.all}), t.changed
	t.mu.Unlock()
	note := func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if told > 1 && t.toldAt == 0 {
			t.toldAt = t.r.ms()
		}
	}
	_, err := w.Write(text) // the whole list first, as the protocol page allows
	for {
		if err != nil || q.URL.Query().Get("stream") != "1" || http.NewResponseController(w).Flush() != nil {
			return
		}
		note()
		select {
		case <-q.Context().Done():
			return
		case <-changed:
			t.mu.Lock()
			told, text, changed = t.version, t.encode(list{t.version, false, t.all[:1]}), nil
			t.mu.Unlock()
			_, err = w.Write(text)
		case <-time.After(2 * time.Second):
			_, err = w.Write([]byte("\n"))
		}
	}
}

// indentedCase: discovery's lists come indented (the disruption). A backend begins to drain and is told. Broken if new requests go there
// later than the drain's grace after that.
func indentedCase(r *rig, trouble bool) bool {
	t := &teller{r: r, indented: trouble, version: 1, changed: make(chan struct{})}
	d := r.deploy(2, 3, []string{"a"}, t, func(int, *deployment, map[string]any) {}, func(all []instance) { t.all = all })
	for i := range d.procs {
		d.start(i)
	}
	if !await(20*time.Second, func() bool { return d.readyNow(0) && d.readyNow(1) }) {
		r.fatal("the doors are not ready")
	}
	r.note("two doors are ready; clients begin")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait []func() []outcome
	for i := range d.doors {
		wait = append(wait, d.clients(ctx, i, 25*time.Millisecond))
	}
	time.Sleep(5 * time.Second)
	t.drain("b-1")
	drainsAt := r.ms()
	r.note("b-1 begins to drain; discovery tells it")
	time.Sleep(20 * time.Second)
	stop()
	counts := map[int]int{}
	for _, w := range wait {
		for _, o := range w() {
			counts[o.status]++
		}
	}
	r.note("clients' answers by status: %v", counts)
	t.mu.Lock()
	r.note("discovery first wrote the change to a door %.0f ms after it had it", t.toldAt-drainsAt)
	t.mu.Unlock()
	// Told 6 s after discovery had it at the latest, whatever failed; then the grace of 0.5 s, and 50 ms on sockets.
	const allowed = 6000 + 500 + 50
	for _, b := range d.backends {
		r.note("%s got %d requests in the 5 s before, %d within %d ms after, and %d later", b.name, len(b.between(drainsAt-5000, drainsAt)),
			len(b.between(drainsAt, drainsAt+allowed)), allowed, len(b.between(drainsAt+allowed, r.ms())))
	}
	t.mu.Lock()
	r.note("the doors called %d times for a watch", t.watches)
	t.mu.Unlock()
	return len(d.backends[0].between(drainsAt+allowed, r.ms())) > 0
}
