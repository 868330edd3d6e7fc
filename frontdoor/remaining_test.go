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

const maxRemainingExcess = 150 * time.Millisecond // by which the reported remaining time may exceed the client's

// remainingReport is the remaining time that a backend received with a request, and when it received it.
type remainingReport struct {
	receivedAt time.Time
	remaining  time.Duration
}

// newReportingDoor returns a door with a backend that reports the remaining time of every request it receives.
func newReportingDoor(t *testing.T) (*testDoor, <-chan remainingReport) {
	reports := make(chan remainingReport, 9)
	return newTestDoor(t, func(nc net.Conn) {
		defer nc.Close()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		ms, _ := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Remaining"), "m"))
		reports <- remainingReport{time.Now(), time.Duration(ms) * time.Millisecond}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}, sendOnce(make(chan gate.Event, 99))), reports
}

// assertNotOverstated checks that the remaining time does not exceed what the client had left, for a request sent at a time with a
// limit of 1500 ms.
func (r remainingReport) assertNotOverstated(t *testing.T, sent time.Time) {
	t.Helper()
	assert.LessOrEqual(t, r.remaining, 1500*time.Millisecond-r.receivedAt.Sub(sent)+maxRemainingExcess)
}

func TestRemainingTimeExcludesDialTime(t *testing.T) {
	const dialTime = 400 * time.Millisecond
	td, reports := newReportingDoor(t)
	dial := systemDial(time.Second)
	td.network.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr != td.cfg.Discovery {
			time.Sleep(dialTime)
		}
		return dial(ctx, addr)
	}
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	sent := time.Now()
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	await(t, reports, "the request").assertNotOverstated(t, sent)
}

// exhaustedListener is a listener whose Accept fails until a time, as if the system had no free file descriptors.
type exhaustedListener struct {
	*net.TCPListener
	exhaustedUntil time.Time
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.exhaustedUntil) {
		return nil, syscall.ENFILE
	}
	return l.TCPListener.Accept()
}

func TestRemainingTimeExcludesListenerQueueTime(t *testing.T) {
	t.Run("signals given", func(t *testing.T) { playListenerQueueTime(t, systemSignals()) })
	t.Run("signals taken away", func(t *testing.T) { playListenerQueueTime(t, signalsTakenAway()) })
}

func playListenerQueueTime(t *testing.T, system signals) {
	td, reports := newReportingDoor(t)
	td.signals = &system
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	td.network.Listen = func(context.Context, string) (net.Listener, error) {
		return &exhaustedListener{ln.(*net.TCPListener), time.Now().Add(500 * time.Millisecond)}, nil
	}
	td.start(t)
	nc := connect(t, ln.Addr().String())
	sent := time.Now()
	status, _ := roundTrip(t, nc, lookRequest)
	require.Equal(t, http.StatusOK, status)
	await(t, reports, "the request").assertNotOverstated(t, sent)
}

// suspendedAcceptListener is an exhaustedListener whose accepts take the time for which a process may be suspended.
type suspendedAcceptListener struct{ exhaustedListener }

func (l *suspendedAcceptListener) Accept() (net.Conn, error) {
	nc, err := l.exhaustedListener.Accept()
	if err == nil {
		time.Sleep(150 * time.Millisecond)
	}
	return nc, err
}

// Guards against a backend that is given more time than its client has left, because a suspension within an accept was taken for
// an empty queue. The second connection stands in the queue behind the first.
func TestRemainingTimeExcludesListenerQueueTimeAfterSuspension(t *testing.T) {
	td, reports := newReportingDoor(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	td.network.Listen = func(context.Context, string) (net.Listener, error) {
		return &suspendedAcceptListener{exhaustedListener{ln.(*net.TCPListener), time.Now().Add(500 * time.Millisecond)}}, nil
	}
	td.start(t)
	clients := []net.Conn{connect(t, ln.Addr().String()), connect(t, ln.Addr().String())}
	sent := time.Now()
	for i, nc := range clients {
		_, err := io.WriteString(nc, requestWithID(strconv.Itoa(i)))
		require.NoError(t, err)
	}
	for range clients {
		await(t, reports, "a request").assertNotOverstated(t, sent)
	}
}
