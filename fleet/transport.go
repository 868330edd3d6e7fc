package fleet

import (
	"log"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// Bind returns the library's UDP and TCP transport on an address of this machine. Port 0 chooses a free port.
func Bind(address string, logger *log.Logger) (memberlist.NodeAwareTransport, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &BindError{address, err}
	}
	p, err := strconv.Atoi(port)
	if err != nil {
		return nil, &BindError{address, err}
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: p, Logger: logger})
	if err != nil {
		return nil, &BindError{address, err}
	}
	return t, nil
}

// routed replaces the addresses of members by those of a table, by name. Other members are reached at the address that
// they announce.
type routed struct {
	memberlist.NodeAwareTransport
	routes map[string]string
}

// Routed returns a transport that reaches members at the addresses of a table, by name. It is for doors behind address
// translation, where each door reaches the others at different addresses.
func Routed(t memberlist.NodeAwareTransport, routes map[string]string) memberlist.NodeAwareTransport {
	if len(routes) == 0 {
		return t
	}
	return &routed{t, routes}
}

// route replaces the address of a member that the table names.
func (r *routed) route(a memberlist.Address) memberlist.Address {
	if at, ok := r.routes[a.Name]; ok {
		a.Addr = at
	}
	return a
}

func (r *routed) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return r.NodeAwareTransport.WriteToAddress(b, r.route(a))
}

func (r *routed) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return r.NodeAwareTransport.DialAddressTimeout(r.route(a), timeout)
}

// impaired applies faults to what a transport sends.
type impaired struct {
	memberlist.NodeAwareTransport
	impair func(to string) Impairment
}

// Impaired returns a transport that applies faults to what it sends: impair returns those for an address. Where a datagram
// would be lost, a connection attempt times out.
func Impaired(t memberlist.NodeAwareTransport, impair func(to string) Impairment) memberlist.NodeAwareTransport {
	return &impaired{t, impair}
}

func (s *impaired) WriteTo(b []byte, addr string) (time.Time, error) {
	return s.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (s *impaired) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	f := s.impair(a.Addr)
	if f.Lost {
		return time.Now(), nil
	}
	if f.Duplicated {
		if at, err := s.NodeAwareTransport.WriteToAddress(b, a); err != nil {
			return at, err
		}
	}
	if f.Delay > 0 && len(b) <= maxDatagram { // without a delay for one that is too long, so that the error is returned
		copied := append([]byte(nil), b...)
		time.AfterFunc(f.Delay, func() { _, _ = s.NodeAwareTransport.WriteToAddress(copied, a) })
		return time.Now(), nil
	}
	return s.NodeAwareTransport.WriteToAddress(b, a)
}

func (s *impaired) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (s *impaired) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	f := s.impair(a.Addr)
	if f.Lost {
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "spoiled", Err: os.ErrDeadlineExceeded}
	}
	time.Sleep(min(f.Delay, timeout))
	return s.NodeAwareTransport.DialAddressTimeout(a, timeout)
}
