package holding

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// inheritable returns a descriptor of a listener that can be passed to processes. TCPListener.File is no substitute: passing its
// file to a process makes the socket blocking, for every process that shares it, so that a running door's accept could not be
// interrupted any more.
func inheritable(ln *net.TCPListener) (*os.File, error) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var dupErr error
	if err := raw.Control(func(s uintptr) { fd, dupErr = unix.FcntlInt(s, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return nil, err
	}
	if dupErr != nil {
		return nil, os.NewSyscallError("fcntl", dupErr)
	}
	return os.NewFile(uintptr(fd), "listener"), nil // the file of a non-blocking descriptor leaves its mode as it is
}
