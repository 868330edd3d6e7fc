package fleet

import (
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Impairment is what a network does to one datagram, or to a connection attempt.
type Impairment struct {
	Lost       bool
	Delay      time.Duration
	Duplicated bool // delivered twice
}

// Network is a network within this process. It uses the process's clock, which is virtual under testing/synctest.
type Network struct {
	// Impair returns what happens to a datagram from one address to another; nil for a network that neither loses nor
	// delays anything. If one direction loses, connections fail in both, as they need both.
	Impair func(from, to string) Impairment

	mu         sync.Mutex
	transports map[string]*MemoryTransport // by address
	sent       map[string]Sent             // by address
}

// Sent counts the datagrams that one address sent, and their bytes.
type Sent struct{ Packets, Bytes int }

// NewNetwork returns a network without addresses.
func NewNetwork() *Network {
	return &Network{transports: map[string]*MemoryTransport{}, sent: map[string]Sent{}}
}

// Sent returns what an address has sent so far, including earlier transports of that address.
func (n *Network) Sent(address string) Sent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[address]
}

// impairment returns what happens to a datagram.
func (n *Network) impairment(from, to string) Impairment {
	if n.Impair == nil {
		return Impairment{}
	}
	return n.Impair(from, to)
}

const (
	memoryQueueSize = 1024     // datagrams queued at an address; more are dropped, as by a full socket buffer
	maxDatagram     = 64 << 10 // bytes of a datagram; a longer one is an error
)

// MemoryTransport is the transport at one address of a Network. It keeps the order of datagrams that are delayed alike. It
// drops what the network loses and what arrives at a full queue.
type MemoryTransport struct {
	network *Network
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	group   sync.WaitGroup
}

var _ memberlist.NodeAwareTransport = (*MemoryTransport)(nil)

// Listen binds an address of the network, such as "10.0.0.1:7946".
func (n *Network) Listen(address string) (*MemoryTransport, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.transports[address] != nil {
		return nil, &BindError{address, os.ErrExist}
	}
	m := &MemoryTransport{network: n, address: address, packets: make(chan *memberlist.Packet, memoryQueueSize), streams: make(chan net.Conn), done: make(chan struct{})}
	n.transports[address] = m
	return m, nil
}

// lookup returns the transport at an address; nil if there is none.
func (n *Network) lookup(address string) *MemoryTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.transports[address]
}

// FinalAdvertiseAddr returns the transport's own address.
func (m *MemoryTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, port, err := net.SplitHostPort(m.address)
	if err != nil {
		return nil, 0, &BindError{m.address, err}
	}
	p, err := strconv.Atoi(port)
	if err != nil {
		return nil, 0, &BindError{m.address, err}
	}
	return net.ParseIP(host), p, nil
}

// WriteTo sends a datagram.
func (m *MemoryTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	if len(b) > maxDatagram {
		return now, &net.OpError{Op: "write", Net: "memory", Err: os.ErrInvalid}
	}
	m.network.mu.Lock()
	s := m.network.sent[m.address]
	m.network.sent[m.address] = Sent{s.Packets + 1, s.Bytes + len(b)}
	m.network.mu.Unlock()
	f := m.network.impairment(m.address, addr)
	if f.Lost {
		return now, nil
	}
	copies := 1
	if f.Duplicated {
		copies = 2
	}
	from, err := net.ResolveUDPAddr("udp", m.address)
	if err != nil {
		return now, &BindError{m.address, err}
	}
	for range copies {
		p := &memberlist.Packet{Buf: append([]byte(nil), b...), From: from}
		if f.Delay == 0 {
			m.network.deliver(addr, p)
		} else {
			time.AfterFunc(f.Delay, func() { m.network.deliver(addr, p) })
		}
	}
	return now, nil
}

// deliver queues a datagram at an address, or drops it if nothing listens there or the queue is full.
func (n *Network) deliver(addr string, p *memberlist.Packet) {
	to := n.lookup(addr)
	if to == nil {
		return
	}
	p.Timestamp = time.Now()
	select {
	case <-to.done:
	case to.packets <- p:
	default:
	}
}

// WriteToAddress sends a datagram; the name is ignored.
func (m *MemoryTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return m.WriteTo(b, a.Addr)
}

// PacketCh returns the channel of received datagrams.
func (m *MemoryTransport) PacketCh() <-chan *memberlist.Packet { return m.packets }

// StreamCh returns the channel of accepted connections.
func (m *MemoryTransport) StreamCh() <-chan net.Conn { return m.streams }

// DialTimeout connects to an address. If either direction loses, it times out, as a handshake would.
func (m *MemoryTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	timedOut := &net.OpError{Op: "dial", Net: "memory", Err: os.ErrDeadlineExceeded}
	outward, inward := m.network.impairment(m.address, addr), m.network.impairment(addr, m.address)
	if outward.Lost || inward.Lost {
		select {
		case <-timer.C:
		case <-m.done:
		}
		return nil, timedOut
	}
	to := m.network.lookup(addr)
	if to == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: os.ErrNotExist}
	}
	if d := outward.Delay + inward.Delay; d > 0 {
		time.Sleep(min(d, timeout))
	}
	local, remote := net.Pipe()
	select {
	case to.streams <- remote:
		return local, nil
	case <-to.done:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: os.ErrClosed}
	case <-timer.C:
		return nil, timedOut
	}
}

// DialAddressTimeout connects to an address; the name is ignored.
func (m *MemoryTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return m.DialTimeout(a.Addr, timeout)
}

// Shutdown frees the address.
func (m *MemoryTransport) Shutdown() error {
	m.once.Do(func() {
		m.network.mu.Lock()
		if m.network.transports[m.address] == m {
			delete(m.network.transports, m.address)
		}
		m.network.mu.Unlock()
		close(m.done)
	})
	return nil
}
