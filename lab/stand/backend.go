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

// backendListener is the address at which one door reaches one backend. It refuses connections while the backend's process does
// not run.
type backendListener struct {
	tb            *testbed
	door, backend int
	addr          string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
}

func newBackendListener(tb *testbed, door, backend int) (*backendListener, error) {
	a := &backendListener{tb: tb, door: door, backend: backend, conns: map[net.Conn]struct{}{}}
	ln, err := tb.listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.addr = ln.Addr().String()
	a.serve(ln)
	tb.onClose(a.close)
	return a, nil
}

// serve accepts connections until the listener is closed.
func (a *backendListener) serve(ln net.Listener) {
	a.mu.Lock()
	a.ln = ln
	a.mu.Unlock()
	a.tb.spawn(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[nc] = struct{}{}
			a.mu.Unlock()
			a.tb.spawn(func() { a.serveConn(nc) })
		}
	})
}

// setUp follows the start or end of the backend's process, which resets all connections.
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
	if up && ln == nil && !a.tb.over.Load() {
		if reopened, err := a.tb.listen(a.addr); err == nil {
			a.serve(reopened)
		}
	}
}

// close closes the listener and its connections.
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

// reset closes a connection with a TCP reset.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	nc.Close()
}

// attemptResult is the result of an attempt as the model determined it, with the metered use to report.
type attemptResult struct {
	result gate.Result
	use    float64
}

const maxBody = 64 << 10 // most bytes of a request

// serveConn serves one connection. It is reset if the backend does not accept it.
func (a *backendListener) serveConn(nc net.Conn) {
	accepted, incarnation := make(chan bool, 1), 0
	a.tb.post(func() {
		incarnation = a.tb.world.BackendIncarnation(a.backend)
		accepted <- a.tb.world.Connected(a.door, a.backend)
	})
	defer func() {
		a.mu.Lock()
		delete(a.conns, nc)
		a.mu.Unlock()
		nc.Close()
	}()
	select {
	case ok := <-accepted:
		if !ok {
			reset(nc)
			return
		}
	case <-a.tb.ctx.Done():
		return
	}
	defer a.tb.post(func() { a.tb.world.Disconnected(a.backend, incarnation) })
	requests, gone := make(chan request), make(chan struct{})
	a.tb.spawn(func() { a.readRequests(nc, requests, gone) })
	for newConn := true; ; newConn = false {
		select {
		case req := <-requests:
			if !a.serveRequest(nc, req, gone, newConn) {
				return
			}
		case <-gone:
			return
		case <-a.tb.ctx.Done():
			return
		}
	}
}

// request is a request that was received in full.
type request struct {
	id   string
	body []byte
}

// readRequests reads the requests of a connection one by one, and closes gone when the door closes the connection.
func (a *backendListener) readRequests(nc net.Conn, requests chan<- request, gone chan<- struct{}) {
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
		case requests <- request{req.Header.Get("X-Txn"), body}:
		case <-a.tb.ctx.Done():
			return
		}
	}
}

// serveRequest serves one request and reports whether the connection stays open.
func (a *backendListener) serveRequest(nc net.Conn, req request, gone <-chan struct{}, newConn bool) bool {
	t := a.tb.findTry(req.id)
	if t == nil {
		fmt.Fprintf(nc, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	results := make(chan attemptResult, 1)
	var job *model.Job
	a.tb.post(func() {
		a.tb.mu.Lock()
		number := a.tb.attempts[t.ID]
		a.tb.attempts[t.ID]++
		a.tb.mu.Unlock()
		job = a.tb.world.AttemptArrived(a.door, a.backend, t, number, newConn, func(result gate.Result, use float64) {
			results <- attemptResult{result, use}
		})
	})
	select {
	case <-a.tb.ctx.Done():
		return false
	case <-gone: // a door that gives an attempt up closes its connection
		a.tb.post(func() { a.tb.world.AttemptAbandoned(job) })
		return false
	case res := <-results:
		return a.writeResult(nc, res, req.id)
	}
}

// writeResult writes a result to the connection and reports whether the connection stays open.
func (a *backendListener) writeResult(nc net.Conn, res attemptResult, id string) bool {
	head := ""
	if res.use >= 0 {
		head = "X-Allowance-Used: " + strconv.FormatFloat(100*res.use, 'f', 2, 64) + "\r\n"
	}
	var err error
	switch res.result {
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
