// Package sockio reads and writes sockets and retries system calls that fail temporarily. It classifies the errnos that the Linux
// manual pages list for these calls:
//
//   - EINTR: nothing has happened; the call is repeated at once.
//   - ENOBUFS, ENOMEM: the system is temporarily short of memory; the call is repeated after a pause.
//   - EMFILE, ENFILE, EADDRNOTAVAIL: this machine has no descriptor or port left; the peer is not at fault.
//   - all others: the connection has ended or the peer is at fault, which the caller has to decide.
//
// Short reads and writes are not errors.
package sockio

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/swifthall/swifthall/internal/reading"
)

// The pause between attempts starts at minPause and doubles up to maxPause.
const (
	minPause = time.Millisecond
	maxPause = 20 * time.Millisecond
)

// IsTransient reports whether the error of a read or write is transient, so that the call can be repeated on the same connection.
func IsTransient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// IsLocalShortage reports whether a connection could not be established because this machine lacks a resource.
func IsLocalShortage(err error) bool {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// Write writes all of p and retries transient errors until the given time. n is the total number of bytes written.
func Write(nc net.Conn, p []byte, until time.Time) (n int, err error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		var more int
		more, err = nc.Write(p[n:])
		n += more
		if err == nil || !IsTransient(err) || time.Now().Add(pause).After(until) {
			return n, err
		}
		time.Sleep(pause)
	}
}

// Read performs one read and retries transient errors until the read deadline expires or the connection ends.
func Read(nc net.Conn, p []byte) (n int, err error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		n, err = nc.Read(p)
		if n > 0 || err == nil || !IsTransient(err) {
			return n, err
		}
		time.Sleep(pause)
	}
}

// ReadNow reads the available bytes without blocking. It returns 0 if there are none or the connection has ended.
func ReadNow(raw syscall.RawConn, p []byte) (n int) {
	_ = raw.Control(func(fd uintptr) { n, _ = ReadFD(fd, p) })
	return max(n, 0)
}

// ReadFD reads from a non-blocking descriptor. It returns EAGAIN if no bytes are available.
func ReadFD(fd uintptr, p []byte) (n int, err error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		if n, err = syscall.Read(int(fd), p); !IsTransient(err) {
			return n, err
		}
		if err != syscall.EINTR {
			time.Sleep(pause)
		}
	}
}

// LastReceived returns the time since a TCP connection last received data, or since it was established if it has received none, if the
// system provides this.
func LastReceived(raw syscall.RawConn) (ago reading.Value[time.Duration]) {
	_ = raw.Control(func(fd uintptr) {
		if info, known := tcpInfo(fd).Get(); known {
			ago = reading.Known(time.Duration(info.Last_data_recv) * time.Millisecond)
		}
	})
	return ago
}

// ListenQueue returns how many connections wait in the queue of a listening TCP socket, if the system provides this.
func ListenQueue(raw syscall.RawConn) (waiting reading.Value[int]) {
	_ = raw.Control(func(fd uintptr) {
		if info, known := tcpInfo(fd).Get(); known && info.State == unix.BPF_TCP_LISTEN {
			waiting = reading.Known(int(info.Unacked))
		}
	})
	return waiting
}

// CloseListenQueue makes the system refuse or ignore further connections to a listening TCP socket; those in its queue stay there. It
// applies to all processes that share the socket.
func CloseListenQueue(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
}

// Peer is the state of a connection's peer.
type Peer struct {
	Closed reading.Value[bool] // it has closed or reset the connection, even if data that it sent before is still unread
	Unread bool                // data is unread
}

// PeerState returns the state of a connection's peer. The system may not have received a close yet that the peer made behind much
// unread data; whether it closed behind any is unknown where the system does not provide the connection's state.
func PeerState(raw syscall.RawConn) (peer Peer) {
	err := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case IsTransient(err), err == syscall.EAGAIN:
			peer.Closed = reading.Known(false)
		case err != nil, n == 0:
			peer.Closed = reading.Known(true)
		default:
			peer.Unread = true
			if info, known := tcpInfo(fd).Get(); known {
				peer.Closed = reading.Known(info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
			}
		}
	})
	if err != nil { // the descriptor is closed
		peer.Closed = reading.Known(true)
	}
	return peer
}

// IsIdle reports whether a connection is open and has no data to read.
func IsIdle(raw syscall.RawConn) (is bool) {
	_ = raw.Control(func(fd uintptr) {
		err := error(syscall.EINTR)
		for IsTransient(err) {
			_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		is = err == syscall.EAGAIN
	})
	return is
}
