package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one line of the list, in the protocol page's form.
type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

const (
	ready     = "Ready"
	draining  = "Terminating"
	heartbeat = 2 * time.Second // an empty line of a watch
)

// discovery is one door's agent.
type discovery struct {
	rig  *rig
	door int
	addr string
	ln   net.Listener

	mu        sync.Mutex
	down      bool // it takes connections and says nothing
	inactive  bool // the door's configuration names another: that a backend drains does not count as told by it
	version   int64
	instances []instance
	changedIn []int64       // version at which each line last changed
	changes   chan struct{} // closed with each change
	watches   map[net.Conn]bool
}

func newDiscovery(r *rig, door int) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rig: r, door: door, addr: ln.Addr().String(), ln: ln, version: 1, changes: make(chan struct{}), watches: map[net.Conn]bool{}}
	for _, b := range r.backends {
		d.instances = append(d.instances, instance{b.id, b.addr, "a", ready, 1, 0})
		d.changedIn = append(d.changedIn, 1)
	}
	go acceptAll(ln, d.serve)
	return d, nil
}

// set changes a backend's lifecycle.
func (d *discovery) set(backend int, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.instances[backend].Lifecycle, d.changedIn[backend] = lifecycle, d.version
	d.notifyWatches()
}

// setInactive has a drain that it writes count as told no more, or again.
func (d *discovery) setInactive(is bool) {
	d.mu.Lock()
	d.inactive = is
	d.mu.Unlock()
}

func (d *discovery) notifyWatches() {
	close(d.changes)
	d.changes = make(chan struct{})
}

// takeDown has it fall silent, or resets its open watches as well; bringUp ends that.
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
	for nc := range d.watches { // what was silent has to be opened anew
		nc.Close()
	}
	d.notifyWatches()
}

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
	gone := make(chan struct{})
	go func() { // a watch sends nothing more
		defer close(gone)
		_, _ = r.Peek(1)
	}()
	index, _ := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	began := false
	for known := index; ; {
		next, version, news, silent := d.changesSince(known, !began)
		if !silent && (!began || version > known) {
			if !began {
				if _, err := fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
					return
				}
			}
			if !d.writeList(nc, next) {
				return
			}
			began, known = true, version
		}
		select {
		case <-news:
		case <-gone:
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

// changesSince lists what has changed changesSince a version, or all at a watch's beginning.
func (d *discovery) changesSince(version int64, whole bool) (listing, int64, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := listing{Generation: d.version, Reset: whole, Instances: []instance{}}
	for i := range d.instances {
		if whole || d.changedIn[i] > version {
			l.Instances = append(l.Instances, d.instances[i])
		}
	}
	return l, d.version, d.changes, d.down
}

// writeList tells a list. That a backend is ready counts from before the writeList, that it drains from behind it: the door may hear of
// it any time between.
func (d *discovery) writeList(nc net.Conn, l listing) bool {
	raw, _ := json.Marshal(l)
	before := d.rig.now()
	if _, err := fmt.Fprintf(nc, "%x\r\n%s\n\r\n", len(raw)+1, raw); err != nil {
		return false
	}
	after := d.rig.now()
	d.mu.Lock()
	muted := d.inactive
	d.mu.Unlock()
	for _, line := range l.Instances {
		told := Notification{Door: d.door, Backend: d.rig.backendNumber(line.ID), At: after}
		switch {
		case line.Lifecycle == ready:
			told.At, told.Ready = before, true
		case muted:
			continue // the door may follow the other one by now
		}
		d.rig.history.addNotification(told)
	}
	return true
}
