package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one entry of the backend list, in the form of the protocol.
type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// listing is one message of a watch: the complete list, or the instances that changed.
type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

const (
	ready     = "Ready"
	draining  = "Terminating"
	gone      = "Gone"
	heartbeat = 2 * time.Second // interval of the empty lines that keep a watch alive
)

// discovery is a fake of one discovery agent of one door.
type discovery struct {
	rig  *rig
	door int
	addr string
	ln   net.Listener

	mu        sync.Mutex
	down      bool // accepts connections but sends nothing
	inactive  bool // the door's configuration names its other agent: drains sent by this one do not count as notified
	version   int64
	instances []instance
	changedIn []int64       // version at which each instance last changed
	gone      []instance    // processes that have ended
	goneIn    []int64       // version at which each of them ended
	changes   chan struct{} // closed and replaced at each change
	watches   map[net.Conn]bool
}

func newDiscovery(r *rig, door int) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rig: r, door: door, addr: ln.Addr().String(), ln: ln, version: 1, changes: make(chan struct{}), watches: map[net.Conn]bool{}}
	for _, b := range r.backends {
		d.instances = append(d.instances, b.process.listed(b.addr, ready))
		d.changedIn = append(d.changedIn, 1)
	}
	go acceptAll(ln, d.serve)
	return d, nil
}

// set changes a backend's lifecycle and notifies the watches.
func (d *discovery) set(backend int, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.instances[backend].Lifecycle, d.changedIn[backend] = lifecycle, d.version
	d.notifyWatches()
}

// replace lists a process in place of another one at the same address.
func (d *discovery) replace(backend int, ended, started *process, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.gone, d.goneIn = append(d.gone, ended.listed(addr, gone)), append(d.goneIn, d.version)
	d.instances[backend], d.changedIn[backend] = started.listed(addr, d.instances[backend].Lifecycle), d.version
	d.notifyWatches()
}

// listed returns the process's entry on the list.
func (p *process) listed(addr, lifecycle string) instance {
	return instance{p.id, addr, p.zone, lifecycle, 1, p.started}
}

// setInactive sets whether the drains that the agent sends count as notified to the door.
func (d *discovery) setInactive(inactive bool) {
	d.mu.Lock()
	d.inactive = inactive
	d.mu.Unlock()
}

// notifyWatches wakes all watches. The caller holds the lock.
func (d *discovery) notifyWatches() {
	close(d.changes)
	d.changes = make(chan struct{})
}

// takeDown makes the agent silent. If reset is true, it also resets the open watches. bringUp ends the outage.
func (d *discovery) takeDown(reset bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = true
	for nc := range d.watches {
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}
	}
}

func (d *discovery) bringUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = false
	for nc := range d.watches { // watches that were silent have to be opened again
		nc.Close()
	}
	d.notifyWatches()
}

// serve serves one watch: the complete list, then the changes.
func (d *discovery) serve(nc net.Conn) {
	d.mu.Lock()
	d.watches[nc] = true
	d.mu.Unlock()
	defer func() {
		nc.Close()
		d.mu.Lock()
		delete(d.watches, nc)
		d.mu.Unlock()
	}()
	r := bufio.NewReader(nc)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { // the client of a watch sends nothing more, so that a read ends only when it closes
		defer close(closed)
		_, _ = r.Peek(1)
	}()
	index, _ := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	began := false
	for sentVersion := index; ; {
		next, version, news, silent := d.changesSince(sentVersion, !began)
		if !silent && (!began || version > sentVersion) {
			if !began {
				if _, err := fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
					return
				}
			}
			if !d.writeList(nc, next) {
				return
			}
			began, sentVersion = true, version
		}
		select {
		case <-news:
		case <-closed:
			return
		case <-time.After(heartbeat):
			if began && !silent {
				if _, err := fmt.Fprint(nc, "1\r\n\n\r\n"); err != nil {
					return
				}
			}
		}
	}
}

// changesSince returns the instances that changed after a version, or all of them at the start of a watch. It also returns the
// current version, a channel that is closed at the next change, and whether the agent is down.
func (d *discovery) changesSince(version int64, complete bool) (listing, int64, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := listing{Generation: d.version, Reset: complete, Instances: []instance{}}
	for i := range d.gone {
		if !complete && d.goneIn[i] > version {
			l.Instances = append(l.Instances, d.gone[i])
		}
	}
	for i := range d.instances {
		if complete || d.changedIn[i] > version {
			l.Instances = append(l.Instances, d.instances[i])
		}
	}
	return l, d.version, d.changes, d.down
}

// indents are the indents of lists by layout; a list without an indent is one line. A list may come indented.
var indents = []string{"", "  ", "", "\t"}

// chunked returns a list as the chunks of a response. Its layout and the chunk size vary by seed, door and version.
func (d *discovery) chunked(l listing) (message []byte) {
	layout := rand.New(rand.NewPCG(d.rig.seed, uint64(l.Generation)<<8|uint64(d.door)))
	raw, _ := json.Marshal(l)
	if indent := indents[layout.IntN(len(indents))]; indent != "" {
		raw, _ = json.MarshalIndent(l, "", indent)
	}
	raw = append(raw, '\n')
	size := 1 + layout.IntN(len(raw))
	for rest := raw; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		message = fmt.Appendf(message, "%x\r\n%s\r\n", min(size, len(rest)), rest[:min(size, len(rest))])
	}
	return message
}

// writeList sends a list and records it as notified. Since the door may receive it at any time during the write, ready counts
// from before the write and draining from after it.
func (d *discovery) writeList(nc net.Conn, l listing) bool {
	message := d.chunked(l)
	before := d.rig.now()
	if _, err := nc.Write(message); err != nil {
		return false
	}
	after := d.rig.now()
	d.mu.Lock()
	inactive := d.inactive
	d.mu.Unlock()
	for _, instance := range l.Instances {
		notification := Notification{Door: d.door, Backend: d.rig.backendNumber(instance.ID), At: after}
		switch {
		case instance.Lifecycle == ready:
			notification.At, notification.Ready = before, true
		case instance.Lifecycle == gone: // another process has its address: what the door may send there is told by that one's entry
			continue
		case inactive:
			continue // the door may follow the other agent by now
		}
		d.rig.history.addNotification(notification)
	}
	return true
}
