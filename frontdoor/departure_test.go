package frontdoor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// arrivalLog records the ids of the requests that backends received, with the time at which each arrived.
type arrivalLog struct {
	mu  sync.Mutex
	ids []string
	at  []time.Time
}

func (l *arrivalLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids, l.at = append(l.ids, id), append(l.at, time.Now())
}

// after returns the ids that arrived after a time.
func (l *arrivalLog) after(limit time.Time) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.at {
		if at.After(limit) {
			ids = append(ids, l.ids[i])
		}
	}
	return ids
}

// failingBackend returns a backend that records each request and answers it with an error after some time.
func (l *arrivalLog) failingBackend(delay time.Duration) func(net.Conn) {
	return func(nc net.Conn) {
		defer nc.Close()
		eachRequest(nc, func(req *http.Request) {
			l.add(req.Header.Get("X-Txn"))
			time.Sleep(delay)
			io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		})
	}
}

// maxAttemptAfterClose is the time after a client's close within which an attempt may still begin, by the terms in force, with the
// slack of the protocol page for sockets.
const maxAttemptAfterClose = 150 * time.Millisecond

func TestNoAttemptStartsForClientThatClosedBehindUnreadInput(t *testing.T) {
	const backendDelay, closeDelay = 350 * time.Millisecond, 50 * time.Millisecond
	for name, size := range map[string]int{"1.5 MB": 1500 << 10, "as much as the kernel takes": 64 << 20} {
		t.Run(name, func(t *testing.T) {
			var log arrivalLog
			backend := log.failingBackend(backendDelay)
			td := newPolicyDoor(t, backend, backend)
			td.start(t)
			td.waitReady(t)
			nc := connect(t, td.addr)
			first := requestWithID("first")
			flood := strings.Repeat(requestWithID("next"), size/len(first))
			nc.SetWriteDeadline(time.Now().Add(closeDelay))
			_, err := io.WriteString(nc, first)
			require.NoError(t, err)
			start := time.Now()
			io.WriteString(nc, flood) // the client closes with what is unread, whether all of it could be written or not
			time.Sleep(time.Until(start.Add(closeDelay)))
			nc.Close()
			closed := time.Now()
			time.Sleep(2 * backendDelay)
			assert.Empty(t, log.after(closed.Add(maxAttemptAfterClose)))
			td.stop()
			require.NoError(t, await(t, td.ended, "the end of Serve"))
			assert.Empty(t, log.after(closed.Add(maxAttemptAfterClose)))
		})
	}
}

func TestRequestDoesNotRunAgainWhenItsIDReturnsAfterItsClientLeft(t *testing.T) {
	for name, text := range map[string]string{"keyed": keyedRequest, "not idempotent": buyRequest} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{}, 99)
			td := newPolicyDoor(t, func(nc net.Conn) {
				defer nc.Close()
				req, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err == nil {
					received <- struct{}{}
					hang(nc)
				}
			})
			td.start(t)
			td.waitReady(t)
			nc := connect(t, td.addr)
			_, err := io.WriteString(nc, text)
			require.NoError(t, err)
			await(t, received, "the attempt")
			nc.Close()
			for open := 1; open > 0; time.Sleep(time.Millisecond) { // until the door has forgotten the request's connection
				count := make(chan int)
				td.door.core.post(eventFunc(func(c *core) { count <- len(c.clients) }))
				open = await(t, count, "the event loop")
			}
			status, _ := roundTrip(t, connect(t, td.addr), text)
			assert.Equal(t, http.StatusConflict, status)
			assert.Empty(t, received, "the id reached a backend again")
		})
	}
}

func TestNoAttemptStartsForClientThatClosedInListenQueueBehindItsInput(t *testing.T) {
	t.Run("signals given", func(t *testing.T) { playCloseInListenQueue(t, systemSignals()) })
	t.Run("signals taken away", func(t *testing.T) { playCloseInListenQueue(t, signalsTakenAway()) })
}

func playCloseInListenQueue(t *testing.T, system signals) {
	var log arrivalLog
	td := newPolicyDoor(t, log.failingBackend(0))
	td.signals = &system
	held := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	td.network.Listen = func(context.Context, string) (net.Listener, error) {
		return &heldListener{ln.(*net.TCPListener), held}, nil
	}
	td.start(t)
	td.addr = ln.Addr().String()
	td.waitReady(t)
	nc := connect(t, td.addr)
	flood := strings.Repeat(requestWithID("next"), (1500<<10)/len(lookRequest))
	_, err = io.WriteString(nc, requestWithID("first"))
	require.NoError(t, err)
	nc.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	io.WriteString(nc, flood)
	nc.Close()
	closed := time.Now()
	time.Sleep(2 * maxAttemptAfterClose)
	close(held) // the door accepts the connection now
	time.Sleep(2 * maxAttemptAfterClose)
	td.stop()
	require.NoError(t, await(t, td.ended, "the end of Serve"))
	assert.Empty(t, log.after(closed.Add(maxAttemptAfterClose)))
}

// heldListener is a listener that accepts nothing until held is closed.
type heldListener struct {
	*net.TCPListener
	held <-chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.held
	return l.TCPListener.Accept()
}
