package frontdoor

import (
	"context"
	"net"
	"time"
)

// Network is how a door reaches others and is reached. The zero value is the system's TCP. Whoever embeds a door may put
// functions of its own in: a listener that is held elsewhere, or connections that stop where a test wants them to.
type Network struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Listen func(ctx context.Context, addr string) (net.Listener, error)
}

// UseNetwork has the door use a network in place of the system's. It is called before Serve.
func (d *Door) UseNetwork(n Network) {
	if n.Dial != nil {
		d.core.dial = n.Dial
	}
	if n.Listen != nil {
		d.core.listen = n.Listen
	}
}

// systemDial dials by TCP for as long as a connection may take. TCP's own keep-alive would notice nothing here: watches and
// attempts have times of their own.
func systemDial(timeout time.Duration) func(context.Context, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

func systemListen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
}

// halting is a listener whose waiting can be ended, as TCP's can.
type halting interface {
	net.Listener
	SetDeadline(time.Time) error
}
