package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has arrived whole at a backend.
type arrival struct {
	at        time.Time
	backend   string
	txn, key  string
	path      string
	remaining string
	body      []byte
	conn      net.Conn
}

// backend is a stand-in for a backend: it answers each request after a while by what serve says.
type backend struct {
	r     *rig
	name  string
	addr  string
	ln    net.Listener
	serve func(a *arrival) // answers on a.conn; nil for the plain answer after 20 ms

	mu       sync.Mutex
	arrivals []*arrival
	conns    map[net.Conn]bool
	stopped  bool
}

func newBackend(r *rig, name string, serve func(a *arrival)) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{r: r, name: name, addr: ln.Addr().String(), ln: ln, serve: serve, conns: map[net.Conn]bool{}}
	go b.accept(ln)
	return b, nil
}

func (b *backend) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.stopped {
			b.mu.Unlock()
			nc.Close()
			continue
		}
		b.conns[nc] = true
		b.mu.Unlock()
		go b.connection(nc)
	}
}

func (b *backend) connection(nc net.Conn) {
	defer func() {
		nc.Close()
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
	}()
	for in := bufio.NewReader(nc); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := &arrival{at: time.Now(), backend: b.name, txn: req.Header.Get("X-Txn"), key: req.Header.Get("Idempotency-Key"), path: req.URL.Path,
			remaining: req.Header.Get("X-Remaining"), body: body, conn: nc}
		b.mu.Lock()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
		b.r.note("%s got %s %s, %s bytes, told %s left", b.name, a.path, a.txn, fmt.Sprint(len(body)), a.remaining)
		if b.serve != nil {
			b.serve(a)
		} else {
			time.Sleep(20 * time.Millisecond)
			a.answer(200, bodyOf(a.txn))
		}
	}
}

// bodyOf is the body with which every backend answers a request.
func bodyOf(txn string) string { return "done " + txn }

// answer writes a whole answer with its length.
func (a *arrival) answer(status int, body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// got returns the requests that have arrived since an instant.
func (b *backend) got(since time.Time) (all []*arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		if a.at.After(since) {
			all = append(all, a)
		}
	}
	return all
}

// kill ends the backend as a process that is killed ends: its connections are reset, and new ones are refused.
func (b *backend) kill() {
	b.r.note("%s is killed", b.name)
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for nc := range b.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		nc.Close()
	}
}

// discovery is a stand-in for the agent of discovery: it sends the whole list to each new watch, and every change to all.
type discovery struct {
	r       *rig
	addr    string
	mu      sync.Mutex
	number  int64
	entries []obj
	watches map[net.Conn]bool
	delay   time.Duration // before a call is answered
	calls   int
	down    bool // the agent is silent: open watches hear nothing, new ones are not answered
}

// setDown has the agent fall silent, or speak again. Its watches end with its return.
func (d *discovery) setDown(down bool) {
	d.r.note("discovery is down: %v", down)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down = down; !down {
		for nc := range d.watches {
			nc.Close()
		}
	}
}

func newDiscovery(r *rig, entries ...obj) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{r: r, addr: ln.Addr().String(), number: 41, entries: entries, watches: map[net.Conn]bool{}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go d.connection(nc)
		}
	}()
	return d, nil
}

// entry is one backend of a list.
func entry(b *backend, zone, lifecycle string) obj {
	return obj{"instanceId": b.name, "hostPort": b.addr, "zone": zone, "machineType": "m1", "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}
}

func (d *discovery) connection(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	d.mu.Unlock()
	time.Sleep(d.delay)
	d.mu.Lock()
	if d.down {
		d.watches[nc] = true
		d.mu.Unlock()
		_, _ = io.Copy(io.Discard, in)
		d.mu.Lock()
		delete(d.watches, nc)
		d.mu.Unlock()
		return
	}
	fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk(nc, list(d.number, true, d.entries))
	d.watches[nc] = true
	d.mu.Unlock()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
				d.mu.Lock()
				if !d.down {
					chunk(nc, []byte("\n"))
				}
				d.mu.Unlock()
			}
		}
	}()
	_, _ = io.Copy(io.Discard, in)
	close(stop)
	d.mu.Lock()
	delete(d.watches, nc)
	d.mu.Unlock()
}

func list(number int64, whole bool, entries []obj) []byte {
	raw, _ := json.Marshal(obj{"generation": number, "reset": whole, "instances": entries})
	return append(raw, '\n')
}

func chunk(nc net.Conn, data []byte) { fmt.Fprintf(nc, "%x\r\n%s\r\n", len(data), data) }

// called returns how many calls there were.
func (d *discovery) called() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// change tells a change of one entry to all watches.
func (d *discovery) change(e obj) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	listed := false
	for i := range d.entries {
		if d.entries[i]["instanceId"] == e["instanceId"] {
			d.entries[i], listed = e, true
		}
	}
	if !listed {
		d.entries = append(d.entries, e)
	}
	for nc := range d.watches {
		chunk(nc, list(d.number, false, []obj{e}))
	}
	d.r.note("discovery tells %v is %v", e["instanceId"], e["lifecycle"])
}

// request is what a client sends.
type request struct {
	class, txn, key string
	remaining       time.Duration
	body            []byte
}

// bytes returns the request as it is sent.
func (q *request) bytes(host string) []byte {
	var out bytes.Buffer
	method := "GET"
	if q.class != "look" {
		method = "POST"
	}
	fmt.Fprintf(&out, "%s /%s?key=0000000000000001 HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\nX-Tariff: team\r\nX-Remaining: %dm\r\nX-Weight: units=1,spread=1,first=0\r\n",
		method, q.class, host, q.txn, q.remaining.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&out, "Idempotency-Key: %s\r\n", q.key)
	}
	if method == "POST" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(q.body))
	}
	out.WriteString("\r\n")
	out.Write(q.body)
	return out.Bytes()
}

// result is what a client has seen of its request.
type result struct {
	txn    string
	status int    // 0 if there was no whole answer
	body   string // of the answer
	closed bool   // the front door closes the connection after it
	err    error
	took   time.Duration
	at     time.Time // when it was known
}

// client is one connection of a client to a front door.
type client struct {
	r    *rig
	nc   net.Conn
	in   *bufio.Reader
	host string
}

func dialClient(r *rig, addr string) (*client, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{r, nc, bufio.NewReader(nc), addr}, nil
}

// read reads the next answer.
func (c *client) read(txn string, began time.Time, limit time.Duration) (res result) {
	res.txn = txn
	_ = c.nc.SetReadDeadline(began.Add(limit))
	answer, err := http.ReadResponse(c.in, nil)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(answer.Body); err == nil {
			res.status, res.body, res.closed = answer.StatusCode, string(body), answer.Close
		}
	}
	res.err, res.took, res.at = err, time.Since(began), time.Now()
	if err != nil {
		c.r.note("client: no answer to %s after %.0f ms: %v", txn, float64(res.took)/1e6, err)
	} else {
		c.r.note("client: %s answered %d %q after %.0f ms, last of its connection: %v", txn, res.status, res.body, float64(res.took)/1e6, res.closed)
	}
	return res
}

// do sends a request and reads its answer, for half a second longer than the client's time.
func (c *client) do(q *request) result {
	began := time.Now()
	c.r.note("client: sends %s %s with %d ms", q.class, q.txn, q.remaining.Milliseconds())
	if _, err := c.nc.Write(q.bytes(c.host)); err != nil {
		c.r.note("client: cannot send %s: %v", q.txn, err)
		return result{txn: q.txn, err: err, at: time.Now()}
	}
	return c.read(q.txn, began, q.remaining+time.Second)
}

// ready waits until a front door answers that it is ready.
func ready(r *rig, addr string, limit time.Duration) bool {
	ok := waitFor(limit, func() bool {
		res, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	r.note("%s ready: %v", addr, ok)
	return ok
}
