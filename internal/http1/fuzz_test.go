package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// reader is a parser that is fed bytes and finds the end of one message.
type reader interface {
	Feed(p []byte) (used int, whole bool, err error)
}

// feedInSteps feeds p in steps until a message is complete or an error occurs.
func feedInSteps(r reader, p []byte, step int) (used int, whole, failed bool) {
	for used < len(p) {
		n, whole, err := r.Feed(p[used:min(len(p), used+step)])
		used += n
		if whole || err != nil {
			return used, whole, err != nil
		}
		if n == 0 {
			return used, false, false
		}
	}
	return used, false, false
}

// feedBothWays feeds p to one parser at once and to another byte by byte, requires the same result, and reports whether there is a
// complete message.
func feedBothWays(t *testing.T, whole, bytewise reader, p []byte) bool {
	used, is, failed := feedInSteps(whole, p, len(p))
	usedB, isB, failedB := feedInSteps(bytewise, p, 1)
	require.Equal(t, is, isB, "the result does not depend on how the input is split")
	require.Equal(t, failed, failedB)
	if is {
		require.Equal(t, used, usedB)
	}
	return is
}

func FuzzRequests(f *testing.F) {
	f.Add([]byte(validRequest))
	f.Add([]byte("GET /look?key=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		var whole, bytewise RequestReader
		defer whole.Drop()
		defer bytewise.Drop()
		if !feedBothWays(t, &whole, &bytewise, p) {
			return
		}
		a, err := whole.Take()
		b, errB := bytewise.Take()
		require.Equal(t, err == nil, errB == nil)
		if err == nil {
			require.Equal(t, *a, *b)
			require.GreaterOrEqual(t, a.Units, 0.0)
			require.GreaterOrEqual(t, a.Spread, 1)
			require.GreaterOrEqual(t, a.First, 0)
			require.GreaterOrEqual(t, a.TTL, 0.0)
		}
	})
}

func FuzzResponses(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Allowance-Used: 31.5\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		var whole, bytewise ResponseReader
		defer whole.Drop()
		defer bytewise.Drop()
		if feedBothWays(t, &whole, &bytewise, p) {
			require.Equal(t, whole.Take(), bytewise.Take())
		}
	})
}

// Fields that nobody reads are left out before net/http parses a head. That must not change which heads are valid.
func FuzzUnreadFields(f *testing.F) {
	for _, line := range []string{"A: b", "a:", ": b", "a b: c", "a\x01: b", "a: b\x01", "a: \x80", "\x80: a", "a(: b", "a", "Trailer: x", "a: b\tc", "a: \x7f"} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		raw := []byte("GET /look HTTP/1.1\r\nHost: a\r\n" + line + "\r\n\r\n")
		if len(raw) > maxHead || bytes.Index(raw, []byte("\r\n\r\n")) != len(raw)-len("\r\n\r\n") {
			return // not one whole head
		}
		_, _, strictErr := strict(nil, raw)
		_, plainErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		_, err := readRequest(raw)
		if strictErr == nil {
			require.Equal(t, plainErr == nil, err == nil, "%q: %v, %v", line, plainErr, err)
		}
		if plainErr != nil {
			require.Error(t, err)
		}
	})
}
