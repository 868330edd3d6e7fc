// Package loopbacktest has stand-ins of other programs for tests on sockets.
package loopbacktest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve answers every connection to a port of its own by a function, until the test ends.
func Serve(t *testing.T, serve func(net.Conn)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return ln.Addr().String()
}
