package fleet

import (
	"log"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// Bind takes an address of this machine, for UDP and TCP alike, by the library's own transport. Port 0 takes a free one.
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

// routed reaches members by a table of its own, by name. Those that the table doesn't name are reached as they say.
type routed struct {
	memberlist.NodeAwareTransport
	routes map[string]string
}

// Routed puts a table of addresses by name before a transport: doors behind translated addresses, each of which sees the
// others elsewhere.
func Routed(t memberlist.NodeAwareTransport, routes map[string]string) memberlist.NodeAwareTransport {
	if len(routes) == 0 {
		return t
	}
	return &routed{t, routes}
}

func (r *routed) to(a memberlist.Address) memberlist.Address {
	if at, ok := r.routes[a.Name]; ok {
		a.Addr = at
	}
	return a
}

func (r *routed) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return r.NodeAwareTransport.WriteToAddress(b, r.to(a))
}

func (r *routed) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return r.NodeAwareTransport.DialAddressTimeout(r.to(a), timeout)
}

// spoiled spoils what another transport sends.
type spoiled struct {
	memberlist.NodeAwareTransport
	way func(to string) Impairment
}

// Spoiled puts faults before a transport: what goes out to an address meets the fate that way tells. A way that loses
// datagrams lets no connection be made.
func Spoiled(t memberlist.NodeAwareTransport, way func(to string) Impairment) memberlist.NodeAwareTransport {
	return &spoiled{t, way}
}

func (s *spoiled) WriteTo(b []byte, addr string) (time.Time, error) {
	return s.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (s *spoiled) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	f := s.way(a.Addr)
	if f.Lost {
		return time.Now(), nil
	}
	if f.Duplicated {
		if at, err := s.NodeAwareTransport.WriteToAddress(b, a); err != nil {
			return at, err
		}
	}
	if f.Delay > 0 && len(b) <= mostPacket { // one that is too long is refused at once
		copied := append([]byte(nil), b...)
		time.AfterFunc(f.Delay, func() { _, _ = s.NodeAwareTransport.WriteToAddress(copied, a) })
		return time.Now(), nil
	}
	return s.NodeAwareTransport.WriteToAddress(b, a)
}

func (s *spoiled) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (s *spoiled) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	f := s.way(a.Addr)
	if f.Lost {
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "spoiled", Err: os.ErrDeadlineExceeded}
	}
	time.Sleep(min(f.Delay, timeout))
	return s.NodeAwareTransport.DialAddressTimeout(a, timeout)
}
