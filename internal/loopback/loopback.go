// Package loopback finds ports for processes and tests that take them only later.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/swifthall/swifthall/internal/remedy"
)

// Ports below those that the system hands out by itself, or another connection could have one meanwhile.
const (
	from  = 12000
	to    = 32000
	tries = 2048
)

// given holds what reserves each port that this process has handed out, until it ends.
var given sync.Map

// Free finds a loopback address that neither TCP nor UDP uses, and that neither this process nor another one that asks here has
// handed out before.
func Free() (string, error) {
	for range tries {
		port := from + rand.IntN(to-from)
		if _, before := given.Load(port); before {
			continue
		}
		if at, held := take(port); held != nil {
			given.Store(port, held)
			return at, nil
		}
	}
	return "", &PortError{}
}

// take takes a port where it is free. Between that and the start of what will use it, the port is nobody's: another process that
// looked meanwhile found it free as well, and one of the two could not begin. So it is reserved by a name in the kernel's own
// (abstract) space of sockets, which one process has at a time and which is gone with it.
func take(port int) (at string, held net.Listener) {
	held, err := net.Listen("unix", fmt.Sprintf("@swifthall/loopback/%d", port))
	if err != nil {
		return "", nil
	}
	at = fmt.Sprintf("127.0.0.1:%d", port)
	if ln, err := net.Listen("tcp", at); err == nil {
		pc, err := net.ListenPacket("udp", at)
		ln.Close()
		if err == nil {
			pc.Close()
			return at, held
		}
	}
	held.Close()
	return "", nil
}

// PortError is a machine on which no loopback port is free.
type PortError struct{}

func (e *PortError) Error() string     { return "no loopback port is free" }
func (e *PortError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the ports.
func (e *PortError) Remedy() string {
	return fmt.Sprintf("End what holds the ports from %d to %d on this machine.", from, to)
}
