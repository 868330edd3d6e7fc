package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/model"
)

// backendListener is where one door reaches one backend. While the backend's process does not run, nobody listens there.
type backendListener struct {
	f             *testbed
	door, backend int
	addr          string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
}

func newBackendListener(f *testbed, door, backend int) (*backendListener, error) {
	a := &backendListener{f: f, door: door, backend: backend, conns: map[net.Conn]struct{}{}}
	ln, err := f.listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = ln.Addr().String()
	a.serve(ln)
	f.onClose(a.close)
	return a, nil
}

// serve takes connections in until the listener ends.
func (a *backendListener) serve(ln net.Listener) {
	a.mu.Lock()
	a.ln = ln
	a.mu.Unlock()
	a.f.spawn(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[nc] = struct{}{}
			a.mu.Unlock()
			a.f.spawn(func() { a.serveConn(nc) })
		}
	})
}

// setUp has the address follow its backend's process: with a new life all connections are reset.
func (a *backendListener) setUp(up bool) {
	a.mu.Lock()
	ln := a.ln
	for nc := range a.conns {
		reset(nc)
	}
	if !up && ln != nil {
		a.ln = nil
		ln.Close()
	}
	a.mu.Unlock()
	if up && ln == nil && !a.f.over.Load() {
		if again, err := a.f.listen(a.addr); err == nil {
			a.serve(again)
		}
	}
}

func (a *backendListener) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ln != nil {
		a.ln.Close()
		a.ln = nil
	}
	for nc := range a.conns {
		nc.Close()
	}
}

// reset ends a connection so that the other side sees it broken.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	nc.Close()
}

// attemptResult is what a backend's stand-in sends, or does, for one attempt.
type attemptResult struct {
	result gate.Result
	use    float64
}

const maxBody = 64 << 10 // bytes of a request

// serveConn serves one connection. One that the backend does not take is reset.
func (a *backendListener) serveConn(nc net.Conn) {
	taken, life := make(chan bool, 1), 0
	a.f.post(func() {
		life = a.f.world.BackendIncarnation(a.backend)
		taken <- a.f.world.Connected(a.door, a.backend)
	})
	defer func() {
		a.mu.Lock()
		delete(a.conns, nc)
		a.mu.Unlock()
		nc.Close()
	}()
	select {
	case ok := <-taken:
		if !ok {
			reset(nc)
			return
		}
	case <-a.f.ctx.Done():
		return
	}
	defer a.f.post(func() { a.f.world.Disconnected(a.backend, life) })
	ops, gone := make(chan request), make(chan struct{})
	a.f.spawn(func() { a.readRequests(nc, ops, gone) })
	for fresh := true; ; fresh = false {
		select {
		case op := <-ops:
			if !a.serveRequest(nc, op, gone, fresh) {
				return
			}
		case <-gone:
			return
		case <-a.f.ctx.Done():
			return
		}
	}
}

// request is one that has come whole.
type request struct {
	id   string
	body []byte
}

// readRequests takes requests off a connection, one by one, and notices when the door ends it.
func (a *backendListener) readRequests(nc net.Conn, ops chan<- request, gone chan<- struct{}) {
	defer close(gone)
	for r := bufio.NewReader(nc); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
		if err != nil {
			return
		}
		select {
		case ops <- request{req.Header.Get("X-Txn"), body}:
		case <-a.f.ctx.Done():
			return
		}
	}
}

// serveRequest serves serveRequest request, and tells whether the connection goes on.
func (a *backendListener) serveRequest(nc net.Conn, op request, gone <-chan struct{}, fresh bool) bool {
	t := a.f.findTry(op.id)
	if t == nil {
		fmt.Fprintf(nc, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	come := make(chan attemptResult, 1)
	var job *model.Job
	a.f.post(func() {
		a.f.mu.Lock()
		number := a.f.attempts[t.ID]
		a.f.attempts[t.ID]++
		a.f.mu.Unlock()
		job = a.f.world.AttemptArrived(a.door, a.backend, t, number, fresh, func(res gate.Result, use float64) { come <- attemptResult{res, use} })
	})
	select {
	case <-a.f.ctx.Done():
		return false
	case <-gone: // the door ends its connection when it gives the attempt up
		a.f.post(func() { a.f.world.AttemptAbandoned(job) })
		return false
	case got := <-come:
		return a.writeResult(nc, got, op.id)
	}
}

// writeResult words a result on the wire.
func (a *backendListener) writeResult(nc net.Conn, got attemptResult, id string) bool {
	head := ""
	if got.use >= 0 {
		head = "X-Allowance-Used: " + strconv.FormatFloat(100*got.use, 'f', 2, 64) + "\r\n"
	}
	var err error
	switch got.result {
	case gate.Finished:
		text := "done " + id
		_, err = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	case gate.Errored:
		_, err = fmt.Fprintf(nc, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 0\r\n\r\n", head)
	case gate.Full:
		_, err = fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n%sContent-Length: 0\r\n\r\n", head)
	case gate.Malformed:
		_, err = io.WriteString(nc, "HTTP/9 nonsense "+strings.Repeat("~", 9)+"\r\n\r\n")
		return false
	default:
		reset(nc)
		return false
	}
	return err == nil
}
