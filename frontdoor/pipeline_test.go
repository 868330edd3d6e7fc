package frontdoor

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
)

// Guards against requests that a client sends at once and that are read and never answered (review/10).
func TestRequestsSentAtOnceAreAllAnswered(t *testing.T) {
	for _, body := range []int{0, 700, 2500} {
		const requests = 16
		td := newTestDoor(t, echoBackend(closedChan()), sendOnce(nil))
		td.start(t)
		td.waitReady(t)
		nc := connect(t, td.addr)
		var all strings.Builder
		for i := range requests {
			text := requestWithID(fmt.Sprint("n", i))
			if body > 0 {
				text = strings.Replace(strings.Replace(text, "GET /look", "POST /book", 1), "\r\n\r\n", fmt.Sprintf("\r\nIdempotency-Key: k%d\r\nContent-Length: %d\r\n\r\n", i, body), 1) + strings.Repeat("x", body)
			}
			all.WriteString(text)
		}
		go io.WriteString(nc, all.String())
		nc.SetReadDeadline(time.Now().Add(waitTimeout))
		in := bufio.NewReader(nc)
		for i := range requests {
			res, err := http.ReadResponse(in, nil)
			require.NoError(t, err, "answer %d of requests with %d bytes", i, body)
			_, err = io.Copy(io.Discard, res.Body)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, res.StatusCode)
		}
	}
}

// Guards against a backend that is given more time than is left for a request, because more input came behind it while the one before it
// was running.
func TestTimeOfARequestCountsFromItsOwnArrival(t *testing.T) {
	var a arrivals
	assert.Equal(t, 5.0, a.first(5), "not recorded")
	a.add(100, 10)
	a.add(50, 20)
	a.consume(99)
	assert.Equal(t, 10.0, a.first(0))
	a.consume(2)
	assert.Equal(t, 20.0, a.first(0))
	a.consume(1000)
	assert.Equal(t, 7.0, a.first(7))
	for i := range 3 * maxArrivals {
		a.add(1, float64(i))
	}
	assert.Len(t, a.reads, maxArrivals)
	a.consume(3*maxArrivals - 1)
	assert.Equal(t, float64(maxArrivals-1), a.first(0), "the last one recorded, not a later one")

	events, proceed := make(chan gate.Event, 99), make(chan struct{})
	td := newTestDoor(t, echoBackend(proceed), sendOnce(events))
	td.start(t)
	td.waitReady(t)
	nc := connect(t, td.addr)
	_, err := io.WriteString(nc, lookRequest+requestWithID("second"))
	require.NoError(t, err)
	awaitEvent[gate.Request](t, events)
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(nc, requestWithID("third"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(proceed)
	in := bufio.NewReader(nc)
	for range 3 {
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		io.Copy(io.Discard, res.Body)
	}
	second := awaitEvent[gate.Request](t, events)
	assert.LessOrEqual(t, second.TTL, 1500-300.0, "the time that it waited behind the first counts")
}
