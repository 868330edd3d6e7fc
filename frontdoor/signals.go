package frontdoor

import (
	"net"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/internal/procinfo"
	"github.com/swifthall/swifthall/internal/reading"
	"github.com/swifthall/swifthall/internal/sockio"
)

// signals are what a door asks the system beyond reading and writing. A system may not provide them; docs/signals.md has what the door does
// then.
type signals struct {
	listenQueue  func(net.Listener) reading.Value[int]              // connections that wait in a listener's queue
	lastReceived func(syscall.RawConn) reading.Value[time.Duration] // since a connection last received data
	peerState    func(syscall.RawConn) sockio.Peer
	resident     func() reading.Value[int64] // resident memory of the process, bytes
}

// systemSignals returns the signals of this system.
func systemSignals() signals {
	return signals{systemListenQueue, sockio.LastReceived, sockio.PeerState, procinfo.ResidentMemory}
}

// systemListenQueue returns how many connections wait in a listener's queue, if the system tells.
func systemListenQueue(ln net.Listener) reading.Value[int] {
	if raw := rawListener(ln); raw != nil {
		return sockio.ListenQueue(raw)
	}
	return reading.Unknown[int]()
}

// rawListener returns the system's socket of a listener, nil if it has none.
func rawListener(ln net.Listener) syscall.RawConn {
	if sc, ok := ln.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}
