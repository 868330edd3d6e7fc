package frontdoor

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/sockio"
)

func TestALongQueueShortensTheTimeForAFirstRequest(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Sockets = 256
	assert.Equal(t, c.cfg.Pace.Linger, c.graceFor(0))
	assert.Equal(t, c.cfg.Pace.Linger, c.graceFor(1))
	assert.Equal(t, maxQueueWait*192/480.0, c.graceFor(480))
	assert.EqualValues(t, minCrowdGrace, c.graceFor(1e6))
	var silent []*client
	for range 4 {
		far, near := net.Pipe()
		defer far.Close()
		cl := newClient(c, near)
		cl.idleSince -= 110 // ms
		clientOpened{cl}.handle(c)
		silent = append(silent, cl)
	}
	closed := func() (n int) {
		for _, cl := range silent {
			if cl.closeRequested.Load() {
				n++
			}
		}
		return n
	}
	socketNeeded{waiting: 3}.handle(c)
	assert.Zero(t, closed(), "a short queue is served in time")
	c.cfg.Sockets = 2
	socketNeeded{waiting: 3}.handle(c)
	assert.Zero(t, closed(), "their time is not over")
	c.cfg.Pace.Linger = 300
	socketNeeded{waiting: 3}.handle(c)
	assert.Equal(t, 3, closed(), "as many as wait are closed")
}

func TestListenQueueIsCountedAndClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	assert.Zero(t, sockio.ListenQueue(raw))
	for range 3 {
		connect(t, ln.Addr().String())
	}
	assert.Equal(t, 3, sockio.ListenQueue(raw))
	sockio.CloseListenQueue(raw)
	_, err = net.DialTimeout("tcp", ln.Addr().String(), minCrowdGrace*4e6)
	assert.Error(t, err, "no further connection comes into the queue")
	for range 3 {
		nc, err := ln.Accept()
		require.NoError(t, err, "those in the queue stay")
		nc.Close()
	}
}
