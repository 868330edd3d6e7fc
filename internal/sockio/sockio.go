// Package sockio reads and writes sockets whose system calls fail for a moment. What each errno of Linux's pages for these
// calls means is told here, once:
//
//   - EINTR: nothing has happened; the call is made again at once.
//   - ENOBUFS, ENOMEM: the system is short of memory for a moment; the call is made again after a pause.
//   - EMFILE, ENFILE, EADDRNOTAVAIL: this machine has no socket or port to give; nobody else is at fault.
//   - all others: the connection's end, or the peer's fault, as its caller knows best.
//
// Short reads and writes are no failures.
package sockio

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pauses between tries of a call that fails for a moment: the first, and up to which they double.
const (
	pauseLeast = time.Millisecond
	pauseMost  = 20 * time.Millisecond
)

// IsTransient tells whether a read or write failed for a moment only, and can be made again on the same connection.
func IsTransient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// IsLocalShortage tells whether a connection could not be made because this machine is short of something.
func IsLocalShortage(err error) bool {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// Write writes all of p, and tries again what fails for a moment until a time. n is how much was written in all.
func Write(nc net.Conn, p []byte, until time.Time) (n int, err error) {
	for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
		var more int
		more, err = nc.Write(p[n:])
		n += more
		if err == nil || !IsTransient(err) || time.Now().Add(pause).After(until) {
			return n, err
		}
		time.Sleep(pause)
	}
}

// Read reads once, and tries again what fails for a moment, for as long as the connection and its read deadline last.
func Read(nc net.Conn, p []byte) (n int, err error) {
	for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
		n, err = nc.Read(p)
		if n > 0 || err == nil || !IsTransient(err) {
			return n, err
		}
		time.Sleep(pause)
	}
}

// ReadNow reads what is there, without waiting; 0 is nothing there, or the connection's end.
func ReadNow(raw syscall.RawConn, p []byte) (n int) {
	_ = raw.Control(func(fd uintptr) { n, _ = ReadFD(fd, p) })
	return max(n, 0)
}

// ReadFD reads a descriptor that does not block. EAGAIN says that nothing is there.
func ReadFD(fd uintptr, p []byte) (n int, err error) {
	for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
		if n, err = syscall.Read(int(fd), p); !IsTransient(err) {
			return n, err
		}
		if err != syscall.EINTR {
			time.Sleep(pause)
		}
	}
}

// LastReceived is how long ago a TCP connection last received data, or came up where it has received none; 0 where the system
// doesn't tell.
func LastReceived(raw syscall.RawConn) (ago time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// PeerClosed tells whether the peer of a connection has closed or reset it, also behind what it sent and nobody has read yet.
func PeerClosed(raw syscall.RawConn) (is bool) {
	err := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case IsTransient(err), err == syscall.EAGAIN:
		case err != nil, n == 0:
			is = true
		default:
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			is = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
		}
	})
	return is || err != nil
}

// IsIdle tells whether a connection is up with nothing to read.
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
