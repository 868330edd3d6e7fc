//go:build notcpinfo

package sockio

import (
	"golang.org/x/sys/unix"

	"github.com/swifthall/swifthall/internal/reading"
)

func tcpInfo(uintptr) reading.Value[unix.TCPInfo] { return reading.Unknown[unix.TCPInfo]() }
