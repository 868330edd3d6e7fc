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
	bl := &backendListener{tb: tb, door: door, backend: backend, conns: map[net.Conn]struct{}{}}
	ln, err := tb.listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bl.addr = ln.Addr().String()
	bl.serve(ln)
	tb.onClose(bl.close)
	return bl, nil
}

// serve accepts connections until the listener is closed.
func (bl *backendListener) serve(ln net.Listener) {
	bl.mu.Lock()
	bl.ln = ln
	bl.mu.Unlock()
	bl.tb.spawn(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			bl.mu.Lock()
			bl.conns[nc] = struct{}{}
			bl.mu.Unlock()
			bl.tb.spawn(func() { bl.serveConn(nc) })
		}
	})
}

// setUp follows the start or end of the backend's process, which resets all connections.
func (bl *backendListener) setUp(up bool) {
	bl.mu.Lock()
	ln := bl.ln
	for nc := range bl.conns {
		reset(nc)
	}
	if !up && ln != nil {
		bl.ln = nil
		ln.Close()
	}
	bl.mu.Unlock()
	if up && ln == nil && !bl.tb.over.Load() {
		if reopened, err := bl.tb.listen(bl.addr); err == nil {
			bl.serve(reopened)
		}
	}
}

// close closes the listener and its connections.
func (bl *backendListener) close() {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if bl.ln != nil {
		bl.ln.Close()
		bl.ln = nil
	}
	for nc := range bl.conns {
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

const maxBody = 64 << 10 // maximum number of bytes read of a request's body

// serveConn serves one connection. It is reset if the backend does not accept it.
func (bl *backendListener) serveConn(nc net.Conn) {
	accepted, incarnation := make(chan bool, 1), 0
	bl.tb.post(func() {
		incarnation = bl.tb.sim.BackendIncarnation(bl.backend)
		accepted <- bl.tb.sim.Connected(bl.door, bl.backend)
	})
	defer func() {
		bl.mu.Lock()
		delete(bl.conns, nc)
		bl.mu.Unlock()
		nc.Close()
	}()
	select {
	case ok := <-accepted:
		if !ok {
			reset(nc)
			return
		}
	case <-bl.tb.ctx.Done():
		return
	}
	defer bl.tb.post(func() { bl.tb.sim.Disconnected(bl.backend, incarnation) })
	requests, gone := make(chan request), make(chan struct{})
	bl.tb.spawn(func() { bl.readRequests(nc, requests, gone) })
	for newConn := true; ; newConn = false {
		select {
		case req := <-requests:
			if !bl.serveRequest(nc, req, gone, newConn) {
				return
			}
		case <-gone:
			return
		case <-bl.tb.ctx.Done():
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
func (bl *backendListener) readRequests(nc net.Conn, requests chan<- request, gone chan<- struct{}) {
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
		case <-bl.tb.ctx.Done():
			return
		}
	}
}

// serveRequest serves one request and reports whether the connection stays open.
func (bl *backendListener) serveRequest(nc net.Conn, req request, gone <-chan struct{}, newConn bool) bool {
	t := bl.tb.findTry(req.id)
	if t == nil {
		fmt.Fprintf(nc, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	results := make(chan attemptResult, 1)
	var job *model.Job
	bl.tb.post(func() {
		bl.tb.mu.Lock()
		number := bl.tb.attempts[t.ID]
		bl.tb.attempts[t.ID]++
		bl.tb.mu.Unlock()
		job = bl.tb.sim.AttemptArrived(bl.door, bl.backend, t, number, newConn, func(result gate.Result, use float64) {
			results <- attemptResult{result, use}
		})
	})
	select {
	case <-bl.tb.ctx.Done():
		return false
	case <-gone: // a door that gives an attempt up closes its connection
		bl.tb.post(func() { bl.tb.sim.AttemptAbandoned(job) })
		return false
	case res := <-results:
		return bl.writeResult(nc, res, req.id)
	}
}

// writeResult writes a result to the connection and reports whether the connection stays open.
func (bl *backendListener) writeResult(nc net.Conn, res attemptResult, id string) bool {
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
