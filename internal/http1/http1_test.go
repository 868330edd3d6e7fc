package http1

import (
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validRequest = "POST /checkout/now?key=00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: 9b1f03aa5c7e2d41\r\n" +
	"X-Tariff: team\r\nX-Remaining: 480m\r\nIdempotency-Key: 5c0f6e1a\r\nX-Resent: 1\r\nContent-Length: 5\r\n" +
	"X-Weight: units=2,spread=3,first=1\r\n\r\nhello"

func TestRequestIsParsedHoweverItsBytesAreSplit(t *testing.T) {
	want := Request{Method: "POST", Target: "/checkout/now?key=00000000b4d65521", ID: "9b1f03aa5c7e2d41",
		IdempotencyKey: "5c0f6e1a", Path: "/checkout/now", Class: "checkout", Plan: "team", Customer: 0xb4d65521, TTL: 480,
		Units: 2, Spread: 3, First: 1, Repeat: true, Body: []byte("hello")}
	for _, step := range []int{1, 7, len(validRequest)} {
		var r RequestReader
		for p := validRequest; p != ""; {
			n := min(step, len(p))
			used, whole, err := r.Feed([]byte(p[:n]))
			require.NoError(t, err)
			require.Equal(t, n, used)
			p = p[n:]
			assert.Equal(t, p == "", whole, "complete with the last byte and not before")
		}
		o, err := r.Take()
		require.NoError(t, err)
		assert.Equal(t, want, *o)
	}
}

func TestBytesAfterARequestAreNotConsumed(t *testing.T) {
	var r RequestReader
	used, whole, err := r.Feed([]byte("\r\n" + validRequest + validRequest))
	require.NoError(t, err)
	assert.True(t, whole)
	assert.Equal(t, 2+len(validRequest), used)
}

func TestChunkedBodiesAreJoined(t *testing.T) {
	var r RequestReader
	head := strings.Replace(validRequest[:strings.Index(validRequest, "hello")], "Content-Length: 5", "Transfer-Encoding: chunked", 1)
	for i, c := range []byte(head + "2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nA: b\r\n\r\n") {
		_, whole, err := r.Feed([]byte{c})
		require.NoError(t, err, i)
		if whole {
			o, err := r.Take()
			require.NoError(t, err)
			assert.Equal(t, "hello", string(o.Body))
			return
		}
	}
	assert.Fail(t, "the request is incomplete")
}

func TestInvalidRequestsHaveTheirStatus(t *testing.T) {
	swap := func(from, to string) string { return strings.Replace(validRequest, from, to, 1) }
	for name, c := range map[string]struct {
		input string
		want  int
	}{
		"noise":           {"\x16\x03\x01 nonsense\r\n\r\n", 400},
		"method":          {swap("POST", "BREW"), 405},
		"no host":         {swap("Host: api.internal\r\n", ""), 400},
		"expectation":     {swap("X-Resent: 1", "Expect: 100-continue"), 417},
		"length":          {swap("Length: 5", "Length: -5"), 400},
		"two lengths":     {swap("Length: 5", "Length: 5\r\nContent-Length: 6"), 400},
		"large body":      {swap("Length: 5", "Length: 65537"), 413},
		"bad chunk":       {swap("Content-Length: 5", "Transfer-Encoding: chunked") + "zz\r\n", 400},
		"long chunk":      {strings.Replace(swap("Content-Length: 5", "Transfer-Encoding: chunked"), "hello", strings.Repeat("1", 300), 1), 400},
		"large chunks":    {strings.Replace(swap("Content-Length: 5", "Transfer-Encoding: chunked"), "hello", strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 17), 1), 413},
		"line ends":       {strings.Repeat("\r\n", 3) + validRequest, 400},
		"endless head":    {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 9000), 431},
		"no id":           {swap("X-Txn: 9b1f03aa5c7e2d41\r\n", ""), 400},
		"control in id":   {swap("9b1f03aa5c7e2d41", "9b\rX: y"), 400},
		"idempotency key": {swap("5c0f6e1a", "5c \t0f"), 400},
		"no key":          {swap("?key=00000000b4d65521", ""), 400},
		"key too large":   {swap("00000000b4d65521", "00000002b4d65521"), 400},
		"two keys":        {swap("?key=", "?key=00000000b4d65521&key="), 400},
		"no time":         {swap("480m", ""), 400},
		"time unit":       {swap("480m", "480s"), 400},
		"endless time":    {swap("480m", "infm"), 400},
		"no weight":       {swap("units=2,", ""), 400},
		"no spread":       {swap("spread=3", "spread=0"), 400},
		"no units":        {swap("units=2", "units=NaN"), 400},
		"infinite":        {swap("units=2", "units=inf"), 400},
		"id twice":        {swap("X-Resent: 1", "X-Txn: other"), 400},
		"hidden key":      {swap("?key=", "?%6bey="), 400},
		"hidden class":    {swap("/checkout", "/%63heckout"), 400},
		"other target":    {swap("/checkout", "http://x/checkout"), 400},
		"units":           {swap("units=2", "units=-2"), 400},
	} {
		var r RequestReader
		_, whole, err := r.Feed([]byte(c.input))
		if err == nil {
			require.True(t, whole, name)
			_, err = r.Take()
		}
		var f *RequestError
		require.True(t, errors.As(err, &f), name)
		assert.Equal(t, c.want, f.Status, name)
	}
}

func TestDurationsHaveAUnit(t *testing.T) {
	ms, err := parseDuration("1500u")
	require.NoError(t, err)
	assert.Equal(t, 1.5, ms)
}

func TestAttemptForwardsWhatTheClientSent(t *testing.T) {
	o := Request{Method: "POST", Target: "/checkout?key=1", ID: "abc", IdempotencyKey: "m", Body: []byte("hello")}
	assert.Equal(t, "POST /checkout?key=1 HTTP/1.1\r\nHost: b:1\r\nX-Txn: abc\r\nIdempotency-Key: m\r\nX-Remaining: 120m\r\n"+
		"Content-Length: 5\r\n\r\nhello", string(AppendAttempt(nil, &o, "b:1", 120.9))+string(o.Body))
	o = Request{Method: "GET", Target: "/look?key=1", ID: "abc"}
	assert.Equal(t, "GET /look?key=1 HTTP/1.1\r\nHost: b:1\r\nX-Txn: abc\r\nX-Remaining: 0m\r\n\r\n",
		string(AppendAttempt(nil, &o, "b:1", -3)))
}

func TestResponsesOfAllFramingsAreParsed(t *testing.T) {
	for name, c := range map[string]struct {
		input string
		want  Response
	}{
		"by length": {"HTTP/1.1 200 OK\r\nX-Allowance-Used: 50\r\nContent-Length: 2\r\n\r\nhi",
			Response{Status: 200, Use: 0.5, Queue: -1, Body: []byte("hi")}},
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			Response{Status: 200, Use: -1, Queue: -1, Body: []byte("hi")}},
		"turned away": {"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
			Response{Status: 503, Use: -1, Queue: -1, TurnedAway: true, Body: []byte{}}},
		"last": {"HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			Response{Status: 500, Use: -1, Queue: -1, Close: true, Body: []byte{}}},
		"after an interim response": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			Response{Status: 200, Use: -1, Queue: -1, Body: []byte{}}},
		"large": {"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", MaxBody),
			Response{Status: 200, Use: -1, Queue: -1, Body: []byte(strings.Repeat("x", MaxBody))}},
	} {
		var r ResponseReader
		used, whole, err := r.Feed([]byte(c.input))
		require.NoError(t, err, name)
		require.True(t, whole, name)
		assert.Equal(t, len(c.input), used, name)
		assert.Equal(t, c.want, r.Take(), name)
	}
}

// A head that two parsers interpret differently allows request smuggling: a client could hide a request behind another one, and
// surplus bytes from a backend could become the response to the next client.
func TestAmbiguousHeadsAreRejected(t *testing.T) {
	for name, extra := range map[string]string{
		"both framings":  "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"same length":    "Content-Length: 5\r\nContent-Length: 5\r\n",
		"other length":   "Content-Length: 5\r\ncontent-length: 6\r\n",
		"two codings":    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"unknown coding": "Transfer-Encoding: xchunked\r\n",
		"spaced length":  "Content-Length : 5\r\n",
		"bare line end":  "Content-Length: 5\nX: y\r\n",
		"bare return":    "X: y\rContent-Length: 9\r\nContent-Length: 5\r\n",
		"folded":         "Content-Length: 5\r\n 6\r\n",
		"two hosts":      "Host: other\r\nContent-Length: 5\r\n",
	} {
		head := strings.Replace(validRequest, "Content-Length: 5\r\n", extra, 1)
		_, whole, err := new(RequestReader).Feed([]byte(head + validRequest))
		var f *RequestError
		require.True(t, errors.As(err, &f), name)
		assert.False(t, whole, name)
		assert.Equal(t, 400, f.Status, name)
		_, _, err = new(ResponseReader).Feed([]byte("HTTP/1.1 200 OK\r\nHost: h\r\n" + extra + "\r\nhello"))
		assert.Error(t, err, name)
	}
	old := strings.Replace(strings.Replace(validRequest, "Content-Length: 5", "Transfer-Encoding: chunked", 1), "HTTP/1.1", "HTTP/1.0", 1)
	_, _, err := new(RequestReader).Feed([]byte(old))
	assert.Error(t, err, "net/http ignores a transfer coding of HTTP/1.0")
}

// A NaN or infinite usage value would corrupt a moving average permanently.
func TestImplausibleUsageIsIgnored(t *testing.T) {
	for _, value := range []string{"Inf", "+infinity", "NaN", "-5", "1e300", "x", "5\r\nX-Allowance-Used: 6"} {
		var r ResponseReader
		_, whole, err := r.Feed([]byte("HTTP/1.1 200 OK\r\nX-Allowance-Used: " + value + "\r\nContent-Length: 2\r\n\r\nhi"))
		require.NoError(t, err, value)
		require.True(t, whole, value)
		assert.Equal(t, Response{Status: 200, Use: -1, Queue: -1, Body: []byte("hi")}, r.Take(), "an implausible value does not invalidate the response: "+value)
	}
}

// A Content-Length alone must not allocate memory: hundreds of clients that announce a body and send none would exhaust the
// memory of a small door.
func TestBufferGrowsWithReceivedData(t *testing.T) {
	var r RequestReader
	head, _, _ := strings.Cut(strings.Replace(validRequest, "Length: 5", "Length: 65536", 1), "hello")
	_, _, err := r.Feed([]byte(head + "x"))
	require.NoError(t, err)
	assert.LessOrEqual(t, cap(r.msg.data), 8<<10)
}

func TestMalformedResponsesAreRejected(t *testing.T) {
	for _, input := range []string{"hello\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nhi", "HTTP/1.1 101 Other\r\n\r\n", strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 9)} {
		var r ResponseReader
		_, _, err := r.Feed([]byte(input))
		assert.Error(t, err)
	}
}

func TestResponseContainsRetryAfter(t *testing.T) {
	assert.Equal(t, "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n\r\n",
		string(AppendResponse(nil, http.StatusTooManyRequests, 250, nil, false)))
	assert.Equal(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
		string(AppendResponse(nil, http.StatusOK, 0, []byte("hi"), true)))
}

func TestStreamPassesOnItsBodyAsItArrives(t *testing.T) {
	input := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, part := range []string{"one\n", "\n", "two\n"} {
		input += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	var s Stream
	var got string
	out := func(p []byte) error { got += string(p); return nil }
	for i := range input {
		done, err := s.Feed([]byte(input[i:i+1]), out)
		require.NoError(t, err)
		require.False(t, done)
	}
	assert.Equal(t, "one\n\ntwo\n", got)
	done, err := s.Feed([]byte("0\r\n\r\n"), out)
	require.NoError(t, err)
	assert.True(t, done)
	_, err = new(Stream).Feed([]byte("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), out)
	assert.Error(t, err)
}

func TestQueueIsReadFromLoadReport(t *testing.T) {
	for report, want := range map[string]float64{"inflight=7,queue=2,util=0.61": 2, "queue=0": 0, " queue=3.5 ,util=1": 3.5, "util=0.5": -1,
		"queue=-1": -1, "queue=NaN": -1, "queue=1e9": -1, "queue=many": -1, "": -1} {
		assert.Equal(t, want, queueOf([]string{report}), report)
	}
	assert.Equal(t, -1.0, queueOf(nil))
	assert.Equal(t, -1.0, queueOf([]string{"queue=1", "queue=2"}), "two reports are ambiguous")
}

func TestRemainingTimeIsReplacedInPlace(t *testing.T) {
	o := Request{Method: "POST", Target: "/book?key=1", ID: "x", IdempotencyKey: "m", Body: []byte("X-Remaining: 7m")}
	msg := AppendAttempt(nil, &o, "b:1", 1200)
	for _, left := range []float64{1199.9, 900, 12, 0, -5} {
		msg = SetRemaining(msg, left)
		assert.Equal(t, string(AppendAttempt(nil, &o, "b:1", left)), string(msg))
	}
	assert.Equal(t, string(msg), string(SetRemaining(msg, 500)), "the remaining time never grows")
	assert.Equal(t, "other", string(SetRemaining([]byte("other"), 5)))
}

// fieldsHead returns the head of a valid request with many short fields that nobody reads.
func fieldsHead() string {
	var fields strings.Builder
	for i := 0; fields.Len() < 7000; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return strings.Replace(validRequest, "Content-Length: 5", fields.String()+"Content-Length: 65536", 1)
}

func TestRequestHoldsNoMoreMemoryThanItSays(t *testing.T) {
	const requests, body = 200, 50000
	text := []byte(fieldsHead() + strings.Repeat("x", body))
	for range 2 {
		readers := make([]RequestReader, requests)
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		held := 0
		for i := range readers {
			for rest := text; len(rest) > 0; {
				n, limit := readers[i].Next()
				used, whole, err := readers[i].Feed(rest[:min(n, len(rest))])
				require.NoError(t, err)
				require.False(t, whole)
				if limit > 0 {
					require.LessOrEqual(t, readers[i].Held(), limit)
				}
				rest = rest[used:]
			}
			held += readers[i].Held()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		assert.LessOrEqual(t, int(after.HeapAlloc-before.HeapAlloc), held*11/10, "the heap's size classes add a tenth at most")
		runtime.KeepAlive(readers)
	}
}
