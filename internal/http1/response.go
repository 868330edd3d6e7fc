package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxUse   = 1e6 // percent; larger values are implausible and ignored
	maxQueue = 1e6 // requests; likewise
)

// Response is a backend's response.
type Response struct {
	Status     int
	TurnedAway bool    // the backend rejected the request without processing it
	Use        float64 // the customer's metered usage as a share of its rate; negative if unknown
	Queue      float64 // requests waiting at the backend according to its load report; negative if unknown
	Body       []byte
	Close      bool // the connection cannot be reused
}

// ResponseReader parses the responses on one backend connection.
type ResponseReader struct {
	msg message
	res *http.Response
}

// Feed consumes bytes up to the end of one response and reports whether Take can return it.
func (r *ResponseReader) Feed(p []byte) (used int, whole bool, err error) {
	return r.msg.feed(p, r.begin)
}

func (r *ResponseReader) begin(raw []byte) (length int64, isChunked bool, err error) {
	if r.res, err = readResponse(raw); err != nil {
		return 0, false, err
	}
	isChunked = len(r.res.TransferEncoding) > 0
	switch length = r.res.ContentLength; {
	case r.res.StatusCode == http.StatusSwitchingProtocols:
		return 0, false, errHead
	case r.res.StatusCode < 200:
		return interim, false, nil
	case length < 0 && !isChunked: // a complete body would be indistinguishable from a truncated one
		return 0, false, errUnframed
	}
	return length, isChunked, nil
}

// Held returns the bytes of memory that the present response holds.
func (r *ResponseReader) Held() int { return r.msg.held() }

// Next returns how many bytes to feed next, and an upper bound of the memory that the response holds while they are fed; 0 before its
// head is complete, as that of a head is known only once it has been fed.
func (r *ResponseReader) Next() (n, held int) { return r.msg.next() }

// Drop releases the memory of an incomplete response.
func (r *ResponseReader) Drop() { *r = ResponseReader{} }

// Take returns the response that Feed has completed.
func (r *ResponseReader) Take() Response {
	h := r.res.Header
	a := Response{Status: r.res.StatusCode, Use: -1, Queue: queueOf(h["X-Pressure"]), Close: r.res.Close,
		TurnedAway: h.Get("X-Turned-Away") == "1"}
	if values := h["X-Allowance-Used"]; len(values) == 1 {
		if v, err := strconv.ParseFloat(values[0], 64); err == nil && v >= 0 && v <= maxUse {
			a.Use = v / 100
		}
	}
	a.Body = r.msg.take()
	r.res = nil
	return a
}

// queueOf returns the number of waiting requests from a load report such as inflight=7,queue=2,util=0.61, or -1 if it is missing
// or implausible. An invalid report must not invalidate the response.
func queueOf(reports []string) float64 {
	if len(reports) != 1 {
		return -1
	}
	for field := range strings.SplitSeq(reports[0], ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(field), "="); name == "queue" {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v <= maxQueue {
				return v
			}
		}
	}
	return -1
}

const remainingHeader = "\r\nX-Remaining: "

// appendMs appends a duration in ms without fraction; negative values become 0.
func appendMs(dst []byte, left float64) []byte {
	return strconv.AppendInt(dst, int64(max(0, left)), 10)
}

// SetRemaining replaces the remaining time in a message of AppendAttempt by left, in ms, because time passes until the message
// can be written. A value with more digits than the present one leaves the message unchanged.
func SetRemaining(msg []byte, left float64) []byte {
	at := bytes.Index(msg, []byte(remainingHeader))
	if at < 0 {
		return msg
	}
	at += len(remainingHeader)
	end := at + bytes.IndexByte(msg[at:], 'm')
	var digits [20]byte
	now := appendMs(digits[:0], left)
	if len(now) > end-at {
		return msg
	}
	copy(msg[at:], now)
	return append(msg[:at+len(now)], msg[end:]...)
}

// AppendAttempt appends the head of the request that is sent to a backend; the body follows it unchanged. left is the time the door
// waits for the response, in ms.
func AppendAttempt(dst []byte, o *Request, host string, left float64) []byte {
	dst = append(append(append(dst, o.Method...), ' '), o.Target...)
	dst = append(append(dst, " HTTP/1.1\r\nHost: "...), host...)
	dst = append(append(dst, "\r\nX-Txn: "...), o.ID...)
	if o.IdempotencyKey != "" {
		dst = append(append(dst, "\r\nIdempotency-Key: "...), o.IdempotencyKey...)
	}
	dst = append(appendMs(append(dst, remainingHeader...), left), 'm')
	if o.Method != http.MethodGet || len(o.Body) > 0 {
		dst = strconv.AppendInt(append(dst, "\r\nContent-Length: "...), int64(len(o.Body)), 10)
	}
	return append(dst, "\r\n\r\n"...)
}
