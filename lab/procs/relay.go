package procs

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// impairment is what a way does to what goes over it now.
type impairment struct {
	cut        bool
	loss       float64
	maxDelayMs float64 // ms at most
	duplicate  float64
	reorder    float64
}

// relay is the way from one process to another: the one sends to the relay's address, the other receives from it, and what
// goes over it meets the fate of the hour. A way that is cut lets no datagram through. A connection needs both ways: while
// either is cut it stays open and silent, and none can be made.
type relay struct {
	target    string // where it leads
	address   string // where it is reached, UDP and TCP alike
	impair    func() impairment
	blocked   func() bool // either way is cut
	udp       *net.UDPConn
	tcp       *net.TCPListener
	mu        sync.Mutex
	rng       *rand.Rand
	conns     map[net.Conn]struct{}
	closed    atomic.Bool
	done      chan struct{}
	group     sync.WaitGroup
	forwarded atomic.Int64 // datagrams
}

const (
	relayPortAttempts = 32
	pollInterval      = 10 * time.Millisecond // between looks whether a way is open again
	relayBufferSize   = 32 << 10
)

// newRelay takes a loopback port for both protocols.
func newRelay(to string, seed uint64, way func() impairment, dead func() bool) (*relay, error) {
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, &RigError{"a relay", err}
	}
	r := &relay{target: to, impair: way, blocked: dead, rng: rand.New(rand.NewPCG(seed, 3)), conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
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

func (r *relay) happens(of float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return of > 0 && r.rng.Float64() < of
}

func (r *relay) forwardDatagrams(to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the other process is down: its port refuses
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

func (r *relay) accept() {
	for {
		from, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.forwardConn(from) })
	}
}

// awaitOpen holds a connection up while a way is cut, and tells whether the relay goes on.
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

func (r *relay) forwardStream(from, to net.Conn) {
	buf := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.awaitOpen() {
				return
			}
			if d := r.impair().maxDelayMs; d > 0 {
				time.Sleep(time.Duration(d / 2 * 1e6))
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

func (r *relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

// reset breaks all connections.
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
