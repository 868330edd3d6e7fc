package frontdoor

import (
	"context"
	"net"
	"time"
)

// Network holds the functions by which a door dials and listens. A nil function stands for the system's TCP. A program that
// embeds a door may provide its own: for a listener that is opened elsewhere, or for connections that a test can pause.
type Network struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Listen func(ctx context.Context, addr string) (net.Listener, error)
}

// UseNetwork replaces the system's network by another. It must be called before Serve.
func (d *Door) UseNetwork(n Network) {
	if n.Dial != nil {
		d.core.dial = n.Dial
	}
	if n.Listen != nil {
		d.core.listen = n.Listen
	}
}

// systemDial returns a TCP dial function with a timeout. TCP keep-alive is off: watches and attempts have timeouts of their
// own, which notice a dead peer earlier.
func systemDial(timeout time.Duration) func(context.Context, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

func systemListen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
}

// deadlineListener is a listener whose blocking Accept can be interrupted, as that of *net.TCPListener can.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}
