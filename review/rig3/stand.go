package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func splitLines(s string) []string { return strings.Split(strings.TrimRight(s, "\n"), "\n") }

// entry is a backend as discovery lists it.
type entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

type list struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discovery stands in for discovery's agent. It answers a call after delay; while it is down it accepts calls and says nothing.
type discovery struct {
	w       *world
	name    string
	ln      net.Listener
	address string
	delay   time.Duration

	mu         sync.Mutex
	down       bool
	generation int
	entries    []entry
	changed    chan struct{} // closed with each change
	calls      int
}

func (w *world) startDiscovery(name string, delay time.Duration, entries ...entry) (*discovery, error) {
	ln, err := w.listen()
	if err != nil {
		return nil, err
	}
	d := &discovery{w: w, name: name, ln: ln, address: ln.Addr().String(), delay: delay, generation: 41, entries: entries, changed: make(chan struct{})}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(nc)
		}
	}()
	return d, nil
}

// set changes the list.
func (d *discovery) set(entries ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
	for _, e := range entries {
		d.w.note("%s, generation %d: %s at %s is %s", d.name, d.generation, e.ID, e.Addr, e.Lifecycle)
	}
}

func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.w.note("%s down: %v", d.name, down)
}

func (d *discovery) state() (l list, changed chan struct{}, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.generation, true, append([]entry{}, d.entries...)}, d.changed, d.down
}

func (d *discovery) serve(nc net.Conn) {
	defer nc.Close()
	req, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	d.mu.Unlock()
	d.w.note("%s: called, %s", d.name, req.RequestURI)
	time.Sleep(d.delay)
	for {
		if _, _, down := d.state(); !down {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	l, changed, _ := d.state()
	raw, _ := json.Marshal(l)
	if req.URL.Query().Get("stream") != "1" {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
		return
	}
	if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(raw)+1, raw); err != nil {
		d.w.note("%s: the caller had gone before its answer", d.name)
		return
	}
	d.w.note("%s: answered with generation %d", d.name, l.Generation)
	for {
		select {
		case <-changed:
			var down bool
			for {
				if l, changed, down = d.state(); !down {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			raw, _ = json.Marshal(l)
			_, err = fmt.Fprintf(nc, "%x\r\n%s\n\r\n", len(raw)+1, raw)
			d.w.note("%s: told generation %d, %v", d.name, l.Generation, err)
		case <-time.After(2 * time.Second):
			if _, _, down := d.state(); !down {
				_, err = io.WriteString(nc, "1\r\n\n\r\n")
			}
		}
		if err != nil {
			return
		}
	}
}

// arrival is one attempt whose last byte has arrived at a backend.
type arrival struct {
	backend, id, class, customer string
	at                           float64 // ms since the start of the case
	told                         float64 // X-Remaining, ms
	units                        float64
}

// backend stands in for a backend. It sleeps for the time that work tells and writes what answer tells.
type backend struct {
	w       *world
	id      string
	address string
	work    func(a arrival) time.Duration
	answer  func(nc net.Conn, a arrival) (open bool)

	mu       sync.Mutex
	arrivals []arrival
}

func (w *world) startBackend(id string) (*backend, error) {
	ln, err := w.listen()
	if err != nil {
		return nil, err
	}
	b := &backend{w: w, id: id, address: ln.Addr().String(), work: func(arrival) time.Duration { return 10 * time.Millisecond },
		answer: func(nc net.Conn, a arrival) bool {
			body := bodyFor(a.id)
			_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return err == nil
		}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(nc)
		}
	}()
	return b, nil
}

// bodyFor returns the body of the answer to a request.
func bodyFor(id string) string { return "done " + id }

func (b *backend) entry(zone, lifecycle string) entry {
	return entry{ID: b.id, Addr: b.address, Zone: zone, Machine: "m2", Cell: 1, Lifecycle: lifecycle, Weight: 1}
}

func (b *backend) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		a := arrival{backend: b.id, id: req.Header.Get("X-Txn"), class: strings.Trim(req.URL.Path, "/"), customer: req.URL.Query().Get("key"), at: b.w.ms()}
		a.told, _ = strconv.ParseFloat(strings.TrimSuffix(req.Header.Get("X-Remaining"), "m"), 64)
		b.mu.Lock()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
		b.w.note("%s: %s %s arrived, told %.0f ms", b.id, req.Method, a.id, a.told)
		time.Sleep(b.work(a))
		if !b.answer(nc, a) {
			return
		}
	}
}

func (b *backend) all() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival{}, b.arrivals...)
}

// request is one request of a client.
type request struct {
	id, class, plan, customer string
	key                       string // Idempotency-Key; empty for none
	body                      string
	get                       bool
	remainingMs               float64
	spread, first             int
}

func (q request) bytes() string {
	method, extra := "POST", fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	if q.get {
		method, extra = "GET", ""
	}
	if q.key != "" {
		extra += "Idempotency-Key: " + q.key + "\r\n"
	}
	return fmt.Sprintf("%s /%s?key=%s HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %s\r\nX-Tariff: %s\r\nX-Remaining: %.0fm\r\n%sX-Weight: units=1,spread=%d,first=%d\r\n\r\n%s",
		method, q.class, q.customer, q.id, q.plan, q.remainingMs, extra, max(1, q.spread), q.first, q.body)
}

// client is one connection to a door.
type client struct {
	nc net.Conn
	r  *bufio.Reader
}

func dial(address string) (*client, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{nc, bufio.NewReader(nc)}, nil
}

// receive reads one answer. closes reports that the door says that it closes the connection behind it.
func (c *client) receive(within time.Duration) (status int, body string, closes bool, err error) {
	c.nc.SetReadDeadline(time.Now().Add(within))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, string(raw), res.Close, err
}

// ask sends one request on a connection of its own.
func ask(address string, q request, within time.Duration) (status int, body string, err error) {
	c, err := dial(address)
	if err != nil {
		return 0, "", err
	}
	defer c.nc.Close()
	if _, err := io.WriteString(c.nc, q.bytes()); err != nil {
		return 0, "", err
	}
	status, body, _, err = c.receive(within)
	return status, body, err
}

// isReady asks a door for its readiness.
func isReady(address string) bool {
	c, err := dial(address)
	if err != nil {
		return false
	}
	defer c.nc.Close()
	if _, err := io.WriteString(c.nc, "GET /health/ready HTTP/1.1\r\nHost: door\r\n\r\n"); err != nil {
		return false
	}
	status, _, _, err := c.receive(time.Second)
	return err == nil && status == http.StatusOK
}

// awaitReady waits until a door is ready.
func awaitReady(address string, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within {
		if isReady(address) {
			return time.Since(began), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return within, false
}
