//go:build !notcpinfo

package sockio

import (
	"golang.org/x/sys/unix"

	"github.com/swifthall/swifthall/internal/reading"
)

// tcpInfo returns what the system tells about a TCP socket (tcp(7), TCP_INFO). With the build tag notcpinfo it tells nothing, as on a
// platform that does not provide it: tests build programs that way.
func tcpInfo(fd uintptr) reading.Value[unix.TCPInfo] {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return reading.Unknown[unix.TCPInfo]()
	}
	return reading.Known(*info)
}
