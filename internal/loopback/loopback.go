// Package loopback reserves loopback ports for processes and tests that bind them later.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/swifthall/swifthall/internal/remedy"
)

// The range of ports is below the ephemeral ports, which the system could assign to another connection in the meantime.
const (
	minPort  = 12000
	maxPort  = 32000 // exclusive
	maxTries = 2048
)

// reserved maps each port that this process has handed out to the listener that reserves it until the process exits.
var reserved sync.Map

// Free returns a loopback address that is in use for neither TCP nor UDP and that no running process has obtained from this
// function before.
func Free() (string, error) {
	for range maxTries {
		port := minPort + rand.IntN(maxPort-minPort)
		if _, taken := reserved.Load(port); taken {
			continue
		}
		if at, held := reserve(port); held != nil {
			reserved.Store(port, held)
			return at, nil
		}
	}
	return "", &PortError{}
}

// reserve reserves a port if it is free. Until the intended user binds the port, another process that checks it would find it
// free as well, and one of the two would fail to start. The port is therefore reserved by binding a name in the abstract Unix
// socket namespace, which only one process can hold and which is released when the process exits.
func reserve(port int) (at string, held net.Listener) {
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

// PortError is the absence of a free loopback port on this machine.
type PortError struct{}

func (e *PortError) Error() string     { return "no loopback port is free" }
func (e *PortError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the range of ports.
func (e *PortError) Remedy() string {
	return fmt.Sprintf("Stop the processes that use the ports from %d to %d on this machine.", minPort, maxPort)
}
