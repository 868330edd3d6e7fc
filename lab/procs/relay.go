package procs

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// impairment is how a directed link currently impairs the traffic on it. Loss, duplicate and reorder are probabilities.
type impairment struct {
	cut        bool
	loss       float64
	maxDelayMs float64 // upper bound of the added delay
	duplicate  float64
	reorder    float64
}

// relay is a UDP and TCP proxy for the directed link from one process to another: the first sends to the relay's address, and
// the relay forwards to the second, with the impairment that currently applies. A cut link drops all datagrams. A connection
// needs the links in both directions: while either is cut, open connections stay open without transferring data, and new ones
// are accepted but not connected to the target.
type relay struct {
	target    string // address to which it forwards
	address   string // address on which it listens, for both UDP and TCP
	impair    func() impairment
	blocked   func() bool // reports whether the link is cut in either direction
	udp       *net.UDPConn
	tcp       *net.TCPListener
	mu        sync.Mutex
	rng       *rand.Rand
	conns     map[net.Conn]struct{}
	closed    atomic.Bool
	done      chan struct{}
	group     sync.WaitGroup
	forwarded atomic.Int64 // datagrams, including duplicates
}

const (
	relayPortAttempts = 32                    // attempts to find a port that is free for both protocols
	pollInterval      = 10 * time.Millisecond // between polls of a condition: whether a link is open again, or all doors are ready
	relayBufferSize   = 32 << 10              // bytes, for one direction of a connection
)

// newRelay starts a relay to an address, on a loopback port that is free for both UDP and TCP. The seed is that of its random
// choices.
func newRelay(to string, seed uint64, impair func() impairment, blocked func() bool) (*relay, error) {
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, &RigError{"a relay", err}
	}
	r := &relay{target: to, impair: impair, blocked: blocked, rng: rand.New(rand.NewPCG(seed, 3)), conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
	for range relayPortAttempts {
		ln, e := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if e != nil {
			return nil, &RigError{"a relay", e}
		}
		r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: ln.Addr().(*net.TCPAddr).Port})
		if err == nil {
			r.tcp, r.address = ln, ln.Addr().String()
			break
		}
		ln.Close()
	}
	if r.tcp == nil {
		return nil, &RigError{"a relay", err}
	}
	r.group.Go(func() { r.forwardDatagrams(target) })
	r.group.Go(r.accept)
	return r, nil
}

// happens draws an event of the given probability.
func (r *relay) happens(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return probability > 0 && r.rng.Float64() < probability
}

// forwardDatagrams forwards datagrams to the target until the relay is closed.
func (r *relay) forwardDatagrams(to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the target process is down and its port refuses datagrams
		}
		f := r.impair()
		if f.cut || r.happens(f.loss) {
			continue
		}
		copies := 1
		if r.happens(f.duplicate) {
			copies = 2
		}
		for range copies {
			wait := f.maxDelayMs
			if wait > 0 {
				r.mu.Lock()
				wait *= r.rng.Float64()
				r.mu.Unlock()
			}
			if r.happens(f.reorder) {
				wait += reorderDelayMs
			}
			r.forwarded.Add(1)
			if wait == 0 {
				_, _ = r.udp.WriteToUDP(buf[:n], to)
				continue
			}
			raw := append([]byte(nil), buf[:n]...)
			time.AfterFunc(time.Duration(wait*1e6), func() { _, _ = r.udp.WriteToUDP(raw, to) })
		}
	}
}

// accept accepts connections until the relay is closed.
func (r *relay) accept() {
	for {
		from, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.forwardConn(from) })
	}
}

// awaitOpen blocks while the link is cut in either direction, and reports whether the relay is still running.
func (r *relay) awaitOpen() bool {
	for r.blocked() {
		select {
		case <-time.After(pollInterval):
		case <-r.done:
			return false
		}
	}
	return !r.closed.Load()
}

// track registers a connection so that reset and close end it. It closes the connection and returns false once the relay is
// closed.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed.Load() {
		c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

// forwardConn connects an accepted connection to the target and forwards data in both directions until both have ended.
func (r *relay) forwardConn(from net.Conn) {
	if !r.track(from) || !r.awaitOpen() {
		return
	}
	to, err := net.DialTimeout("tcp", r.target, 2*time.Second)
	if err != nil {
		r.closeConn(from)
		return
	}
	if !r.track(to) {
		r.closeConn(from)
		return
	}
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		both.Go(func() { r.forwardStream(pair[0], pair[1]) })
	}
	both.Wait()
	r.closeConn(from)
	r.closeConn(to)
}

// forwardStream forwards one direction of a connection.
func (r *relay) forwardStream(from, to net.Conn) {
	buf := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.awaitOpen() {
				return
			}
			if d := r.impair().maxDelayMs; d > 0 {
				time.Sleep(time.Duration(d / 2 * 1e6)) // the mean of the delays that datagrams get
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// closeConn closes and unregisters a connection.
func (r *relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

// reset aborts all connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// close closes the relay and all its connections, and waits for its goroutines.
func (r *relay) close() {
	r.mu.Lock()
	r.closed.Store(true)
	r.mu.Unlock()
	close(r.done)
	r.tcp.Close()
	r.udp.Close()
	r.reset()
	r.group.Wait()
}
