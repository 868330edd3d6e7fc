package fleet

import (
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Impairment is what becomes of one datagram, or of a connection's packets, on its way.
type Impairment struct {
	Lost       bool
	Delay      time.Duration
	Duplicated bool
}

// Network is a network within this process, in the time that the process sees: under testing/synctest, in virtual time.
type Network struct {
	// Way tells the fate of what goes from one address to another; nil for a network that loses and delays nothing.
	// A way that is lost one way is dead for connections, which need both.
	Impair func(from, to string) Impairment

	mu   sync.Mutex
	at   map[string]*Memory
	sent map[string]Sent
}

// Sent counts what one address sent.
type Sent struct{ Packets, Bytes int }

// NewNetwork returns a network without anybody on it.
func NewNetwork() *Network { return &Network{at: map[string]*Memory{}, sent: map[string]Sent{}} }

// Sent tells what an address has sent so far, over all its lives.
func (n *Network) Sent(address string) Sent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[address]
}

func (n *Network) fate(from, to string) Impairment {
	if n.Impair == nil {
		return Impairment{}
	}
	return n.Impair(from, to)
}

const (
	memoryQueue = 1024     // datagrams that wait at an address; more are lost, as from a socket's buffer
	mostPacket  = 64 << 10 // bytes of a datagram; a longer one is refused
)

// Memory is one address of a Network. It keeps the order of datagrams where Way delays them alike, and loses what Way loses
// and what comes while memoryQueue wait.
type Memory struct {
	n       *Network
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	group   sync.WaitGroup
}

var _ memberlist.NodeAwareTransport = (*Memory)(nil)

// Listen takes an address of the network, as "10.0.0.1:7946".
func (n *Network) Listen(address string) (*Memory, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at[address] != nil {
		return nil, &BindError{address, os.ErrExist}
	}
	m := &Memory{n: n, address: address, packets: make(chan *memberlist.Packet, memoryQueue), streams: make(chan net.Conn), done: make(chan struct{})}
	n.at[address] = m
	return m, nil
}

func (n *Network) find(address string) *Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.at[address]
}

// FinalAdvertiseAddr tells the address itself.
func (m *Memory) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
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
func (m *Memory) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	if len(b) > mostPacket {
		return now, &net.OpError{Op: "write", Net: "memory", Err: os.ErrInvalid}
	}
	m.n.mu.Lock()
	s := m.n.sent[m.address]
	m.n.sent[m.address] = Sent{s.Packets + 1, s.Bytes + len(b)}
	m.n.mu.Unlock()
	f := m.n.fate(m.address, addr)
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
			m.n.deliver(addr, p)
		} else {
			time.AfterFunc(f.Delay, func() { m.n.deliver(addr, p) })
		}
	}
	return now, nil
}

func (n *Network) deliver(addr string, p *memberlist.Packet) {
	to := n.find(addr)
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

// WriteToAddress sends a datagram; names mean nothing here.
func (m *Memory) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return m.WriteTo(b, a.Addr)
}

// PacketCh brings datagrams.
func (m *Memory) PacketCh() <-chan *memberlist.Packet { return m.packets }

// StreamCh brings connections.
func (m *Memory) StreamCh() <-chan net.Conn { return m.streams }

// DialTimeout connects to an address. Where either way is lost it waits in vain, as a handshake does.
func (m *Memory) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	patience := time.NewTimer(timeout)
	defer patience.Stop()
	late := &net.OpError{Op: "dial", Net: "memory", Err: os.ErrDeadlineExceeded}
	there, back := m.n.fate(m.address, addr), m.n.fate(addr, m.address)
	if there.Lost || back.Lost {
		select {
		case <-patience.C:
		case <-m.done:
		}
		return nil, late
	}
	to := m.n.find(addr)
	if to == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: os.ErrNotExist}
	}
	if d := there.Delay + back.Delay; d > 0 {
		time.Sleep(min(d, timeout))
	}
	mine, theirs := net.Pipe()
	select {
	case to.streams <- theirs:
		return mine, nil
	case <-to.done:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: os.ErrClosed}
	case <-patience.C:
		return nil, late
	}
}

// DialAddressTimeout connects to an address; names mean nothing here.
func (m *Memory) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return m.DialTimeout(a.Addr, timeout)
}

// Shutdown gives the address back.
func (m *Memory) Shutdown() error {
	m.once.Do(func() {
		m.n.mu.Lock()
		if m.n.at[m.address] == m {
			delete(m.n.at, m.address)
		}
		m.n.mu.Unlock()
		close(m.done)
	})
	return nil
}
