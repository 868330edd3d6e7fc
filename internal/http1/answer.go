package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/swifthall/swifthall/internal/pool"
)

const (
	mostUse   = 1e6 // percent; a figure past it was not measured
	mostQueue = 1e6 // requests; likewise
)

// Response is what a backend says.
type Response struct {
	Status     int
	TurnedAway bool    // unseen
	Use        float64 // the customer's metered use as a share of its rate; negative where not told
	Queue      float64 // requests that wait at the backend, by its load report; negative where not told
	Body       []byte
	Close      bool // the connection is of no more use
}

// Free gives the body's buffer back.
func (a *Response) Free() {
	pool.Put(a.Body)
	a.Body = nil
}

// ResponseReader reads what one backend connection brings.
type ResponseReader struct {
	msg message
	res *http.Response
}

// Feed takes bytes up to the end of one answer, and tells whether Take has it.
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
	case length < 0 && !isChunked: // where it ends could not be told from where it broke
		return 0, false, errUnframed
	}
	return length, isChunked, nil
}

// Drop gives back what an unfinished answer holds.
func (r *ResponseReader) Drop() { r.msg.drop() }

// Take returns the answer that Feed or End found whole.
func (r *ResponseReader) Take() Response {
	h := r.res.Header
	a := Response{Status: r.res.StatusCode, Use: -1, Queue: queueOf(h["X-Pressure"]), Close: r.res.Close,
		TurnedAway: h.Get("X-Turned-Away") == "1"}
	if told := h["X-Allowance-Used"]; len(told) == 1 {
		if v, err := strconv.ParseFloat(told[0], 64); err == nil && v >= 0 && v <= mostUse {
			a.Use = v / 100
		}
	}
	a.Body = r.msg.take()
	return a
}

// queueOf reads what waits from a load report such as inflight=7,queue=2,util=0.61. A figure that cannot be was not
// told: a report is no reason to lose an answer.
func queueOf(reports []string) float64 {
	if len(reports) != 1 {
		return -1
	}
	for field := range strings.SplitSeq(reports[0], ",") {
		if name, figure, _ := strings.Cut(strings.TrimSpace(field), "="); name == "queue" {
			if v, err := strconv.ParseFloat(figure, 64); err == nil && v >= 0 && v <= mostQueue {
				return v
			}
		}
	}
	return -1
}

const remaining = "\r\nX-Remaining: "

func appendLeft(dst []byte, left float64) []byte {
	return strconv.AppendInt(dst, int64(max(0, left)), 10)
}

// SetRemaining puts the time left, in ms, in the place of the one that a message of AppendAttempt tells. It may only have
// become less: some time passes until the message can be written.
func SetRemaining(msg []byte, left float64) []byte {
	at := bytes.Index(msg, []byte(remaining))
	if at < 0 {
		return msg
	}
	at += len(remaining)
	end := at + bytes.IndexByte(msg[at:], 'm')
	var digits [20]byte
	now := appendLeft(digits[:0], left)
	if len(now) > end-at {
		return msg
	}
	copy(msg[at:], now)
	return append(msg[:at+len(now)], msg[end:]...)
}

// AppendAttempt appends a request as a backend is sent it; left is how long the door waits, in ms.
func AppendAttempt(dst []byte, o *Request, host string, left float64) []byte {
	dst = append(append(append(dst, o.Method...), ' '), o.Target...)
	dst = append(append(dst, " HTTP/1.1\r\nHost: "...), host...)
	dst = append(append(dst, "\r\nX-Txn: "...), o.ID...)
	if o.IdempotencyKey != "" {
		dst = append(append(dst, "\r\nIdempotency-Key: "...), o.IdempotencyKey...)
	}
	dst = append(appendLeft(append(dst, remaining...), left), 'm')
	if o.Method != http.MethodGet || len(o.Body) > 0 {
		dst = strconv.AppendInt(append(dst, "\r\nContent-Length: "...), int64(len(o.Body)), 10)
	}
	return append(append(dst, "\r\n\r\n"...), o.Body...)
}
