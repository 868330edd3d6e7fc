package frontdoor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
)

const maxRemainingExcess = 150 * time.Millisecond // that a backend may be told over what its client has left

// remainingReport is what a backend was remainingReport of a request's time, and when.
type remainingReport struct {
	receivedAt time.Time
	remaining  time.Duration
}

// newReportingDoor is a door with a backend that passes on what it is told.
func newReportingDoor(t *testing.T) (*testDoor, <-chan remainingReport) {
	heard := make(chan remainingReport, 9)
	return newTestDoor(t, func(nc net.Conn) {
		defer nc.Close()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		ms, _ := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Remaining"), "m"))
		heard <- remainingReport{time.Now(), time.Duration(ms) * time.Millisecond}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}, sendOnce(make(chan gate.Event, 99))), heard
}

func (g remainingReport) assertNotOverstated(t *testing.T, sent time.Time) {
	t.Helper()
	assert.LessOrEqual(t, g.remaining, 1500*time.Millisecond-g.receivedAt.Sub(sent)+maxRemainingExcess)
}

func TestRemainingTimeExcludesDialTime(t *testing.T) {
	const dialTakes = 400 * time.Millisecond
	g, heard := newReportingDoor(t)
	dial := systemDial(time.Second)
	g.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr != g.cfg.Discovery {
			time.Sleep(dialTakes)
		}
		return dial(ctx, addr)
	}
	g.start(t)
	g.waitReady(t)
	nc := connect(t, g.addr)
	sent := time.Now()
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	await(t, heard, "the request").assertNotOverstated(t, sent)
}

// exhaustedListener is a listener for which the system is exhaustedListener of files until a time.
type exhaustedListener struct {
	*net.TCPListener
	exhaustedUntil time.Time
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if time.Now().Before(s.exhaustedUntil) {
		return nil, syscall.ENFILE
	}
	return s.TCPListener.Accept()
}

func TestRemainingTimeExcludesListenerQueueTime(t *testing.T) {
	g, heard := newReportingDoor(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.network.Listen = func(context.Context, string) (net.Listener, error) {
		return &exhaustedListener{ln.(*net.TCPListener), time.Now().Add(500 * time.Millisecond)}, nil
	}
	g.start(t)
	nc := connect(t, ln.Addr().String())
	sent := time.Now()
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	await(t, heard, "the request").assertNotOverstated(t, sent)
}
