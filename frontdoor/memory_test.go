package frontdoor

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/registry"
)

func TestLargeRequestsRunOutOfMemoryFirst(t *testing.T) {
	const limitMB = 32
	b := newMemoryBudget(limitMB)
	assert.Less(t, b.total, int64(limitMB<<20-processMemory))
	large, small, answer := memoryLease{budget: b}, memoryLease{budget: b}, memoryLease{budget: b}
	assert.False(t, large.resizeRequest(int(b.total)))
	for b.acquire(connectionMemory, largeRequestReserve) {
	}
	assert.False(t, large.resizeRequest(64<<10))
	assert.True(t, b.acquire(connectionMemory, connectionReserve), "connections are still taken")
	for b.acquire(connectionMemory, connectionReserve) {
	}
	assert.True(t, small.resizeRequest(smallMessage), "small requests are still taken")
	for b.acquire(connectionMemory, smallRequestReserve) {
	}
	more := memoryLease{budget: b}
	assert.False(t, more.resizeRequest(smallMessage))
	assert.True(t, answer.resizeAnswer(64<<10), "answers are still taken")
	before := b.held()
	answer.release()
	small.release()
	assert.Equal(t, before-64<<10-smallMessage, b.held())
}

func TestLongFleetListLeavesLessMemoryToConnections(t *testing.T) {
	c, _ := newTestCore(t)
	c.memory = newMemoryBudget(32)
	var list registry.List
	const backends = 3200
	for i := range backends {
		list.Backends = append(list.Backends, registry.Entry{ID: strconv.Itoa(i), Addr: strconv.Itoa(i), State: "Ready"})
	}
	fleetUpdate{list: list}.handle(c)
	fleetUpdate{list: list}.handle(c)
	assert.EqualValues(t, backends*backendMemory, c.memory.held())
}

func TestMemoryIsReturnedWhenAllEnds(t *testing.T) {
	proceed := make(chan struct{})
	events := make(chan gate.Event, 99)
	td := newTestDoor(t, echoBackend(proceed), sendOnce(events))
	td.cfg.MemoryMB = 32
	td.start(t)
	td.waitReady(t)
	const body = 60000
	post := strings.Replace(strings.Replace(requestWithID("large"), "GET /look", "POST /book", 1), "\r\n\r\n",
		"\r\nIdempotency-Key: k\r\nContent-Length: 60000\r\n\r\n", 1) + strings.Repeat("x", body)
	nc := connect(t, td.addr)
	_, err := nc.Write([]byte(post))
	require.NoError(t, err)
	awaitEvent[gate.Request](t, events)
	assert.GreaterOrEqual(t, td.door.core.memory.held(), int64(body+connectionMemory))
	close(proceed)
	assert.Equal(t, http.StatusOK, readResponse(t, nc).Status)
	nc.Close()
	half := connect(t, td.addr)
	_, err = half.Write([]byte(post[:len(post)/2]))
	require.NoError(t, err)
	half.Close()
	td.stop()
	require.NoError(t, await(t, td.ended, "the end of Serve"))
	for end := time.Now().Add(waitTimeout); td.door.core.memory.held() > backendMemory; time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "%d bytes were never returned", td.door.core.memory.held())
	}
}

func TestStalledLargeRequestGivesItsMemoryToOthers(t *testing.T) {
	td := newTestDoor(t, echoBackend(closedChan()), sendOnce(nil))
	td.cfg.MemoryMB, td.cfg.Pace.Linger, td.cfg.Pace.SlowInput = 32, 300, 3600e3
	td.start(t)
	td.waitReady(t)
	const body = 60000
	post := strings.Replace(strings.Replace(lookRequest, "GET /look", "POST /book", 1), "\r\n\r\n",
		"\r\nIdempotency-Key: k\r\nContent-Length: 60000\r\n\r\n", 1) + strings.Repeat("x", body)
	stalled := connect(t, td.addr)
	_, err := stalled.Write([]byte(post[:len(post)-1]))
	require.NoError(t, err)
	m := td.door.core.memory
	for end := time.Now().Add(waitTimeout); m.held() < body; time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "the request never arrived")
	}
	for m.acquire(1024, largeRequestReserve) {
	}
	m.release(60 << 10) // as its room grows a request holds the old one too
	status, _ := roundTrip(t, connect(t, td.addr), strings.Replace(post, "a1", "b2", 1))
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, http.StatusServiceUnavailable, readResponse(t, stalled).Status)
}

func TestInputHeldBeforeAnAnswerCountsAgainstTheBudget(t *testing.T) {
	proceed, events := make(chan struct{}), make(chan gate.Event, 99)
	td := newTestDoor(t, echoBackend(proceed), sendOnce(events))
	td.cfg.MemoryMB = 32
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	_, err := nc.Write([]byte(lookRequest + requestWithID("b2")))
	require.NoError(t, err)
	awaitEvent[gate.Request](t, events)
	for end := time.Now().Add(waitTimeout); td.door.core.memory.held() < pool.Size+2*connectionMemory+backendMemory; time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "the input behind the request is held, but not counted")
	}
	close(proceed)
	assert.Len(t, readResponses(t, nc, 2), 2)
}
