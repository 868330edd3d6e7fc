package procs

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// fate is what a way does to what goes over it now.
type fate struct {
	cut   bool
	loss  float64
	delay float64 // ms at most
	twice float64
	late  float64
}

// relay is the way from one process to another: the one sends to the relay's address, the other receives from it, and what
// goes over it meets the fate of the hour. A way that is cut lets no datagram through. A connection needs both ways: while
// either is cut it stays open and silent, and none can be made.
type relay struct {
	to     string // where it leads
	at     string // where it is reached, UDP and TCP alike
	way    func() fate
	dead   func() bool // either way is cut
	udp    *net.UDPConn
	tcp    *net.TCPListener
	mu     sync.Mutex
	dice   *rand.Rand
	conns  map[net.Conn]struct{}
	over   atomic.Bool
	done   chan struct{}
	group  sync.WaitGroup
	passed atomic.Int64 // datagrams
}

const (
	relayTries = 32
	relayLook  = 10 * time.Millisecond // between looks whether a way is open again
	relayChunk = 32 << 10
)

// newRelay takes a loopback port for both protocols.
func newRelay(to string, seed uint64, way func() fate, dead func() bool) (*relay, error) {
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, &RigError{"a relay", err}
	}
	r := &relay{to: to, way: way, dead: dead, dice: rand.New(rand.NewPCG(seed, 3)), conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
	for range relayTries {
		ln, e := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if e != nil {
			return nil, &RigError{"a relay", e}
		}
		r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: ln.Addr().(*net.TCPAddr).Port})
		if err == nil {
			r.tcp, r.at = ln, ln.Addr().String()
			break
		}
		ln.Close()
	}
	if r.tcp == nil {
		return nil, &RigError{"a relay", err}
	}
	r.group.Go(func() { r.datagrams(target) })
	r.group.Go(r.accept)
	return r, nil
}

func (r *relay) chance(of float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return of > 0 && r.dice.Float64() < of
}

func (r *relay) datagrams(to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the other process is down: its port refuses
		}
		f := r.way()
		if f.cut || r.chance(f.loss) {
			continue
		}
		copies := 1
		if r.chance(f.twice) {
			copies = 2
		}
		for range copies {
			wait := f.delay
			if wait > 0 {
				r.mu.Lock()
				wait *= r.dice.Float64()
				r.mu.Unlock()
			}
			if r.chance(f.late) {
				wait += lateBy
			}
			r.passed.Add(1)
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
		r.group.Go(func() { r.connection(from) })
	}
}

// wait holds a connection up while a way is cut, and tells whether the relay goes on.
func (r *relay) wait() bool {
	for r.dead() {
		select {
		case <-time.After(relayLook):
		case <-r.done:
			return false
		}
	}
	return !r.over.Load()
}

func (r *relay) hold(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over.Load() {
		c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) connection(from net.Conn) {
	if !r.hold(from) || !r.wait() {
		return
	}
	to, err := net.DialTimeout("tcp", r.to, 2*time.Second)
	if err != nil {
		r.drop(from)
		return
	}
	if !r.hold(to) {
		r.drop(from)
		return
	}
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		both.Go(func() { r.pass(pair[0], pair[1]) })
	}
	both.Wait()
	r.drop(from)
	r.drop(to)
}

func (r *relay) pass(from, to net.Conn) {
	buf := make([]byte, relayChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !r.wait() {
				return
			}
			if d := r.way().delay; d > 0 {
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

func (r *relay) drop(c net.Conn) {
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
	r.over.Store(true)
	r.mu.Unlock()
	close(r.done)
	r.tcp.Close()
	r.udp.Close()
	r.reset()
	r.group.Wait()
}
