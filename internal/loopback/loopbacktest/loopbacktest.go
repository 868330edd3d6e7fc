// Package loopbacktest provides fake servers for tests that use sockets.
package loopbacktest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve listens on a free port and calls serve for every connection until the test ends.
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
