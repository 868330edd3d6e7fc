package http1

import (
	"net/http"
	"strconv"

	"github.com/swifthall/swifthall/internal/pool"
)

// Answer is what a backend says.
type Answer struct {
	Status     int
	TurnedAway bool    // unseen
	Use        float64 // the customer's metered use as a share of its rate; negative where not told
	Body       []byte
	Last       bool // the connection is of no more use
}

// Free gives the body's buffer back.
func (a *Answer) Free() {
	pool.Put(a.Body)
	a.Body = nil
}

// Answers reads what one backend connection brings.
type Answers struct {
	msg message
	res *http.Response
}

// Feed takes bytes up to the end of one answer, and tells whether Take has it.
func (r *Answers) Feed(p []byte) (used int, whole bool, err error) { return r.msg.feed(p, r.begin) }

func (r *Answers) begin(raw []byte) (length int64, isChunked bool, err error) {
	if r.res, err = readResponse(raw); err != nil {
		return 0, false, err
	}
	if r.res.StatusCode < 200 {
		return interim, false, nil
	}
	return r.res.ContentLength, len(r.res.TransferEncoding) > 0, nil
}

// End tells whether an orderly end of the connection ends an answer.
func (r *Answers) End() (whole bool) { return r.msg.open && r.msg.body.framing == toEnd }

// Drop gives back what an unfinished answer holds.
func (r *Answers) Drop() { r.msg.drop() }

// Take returns the answer that Feed or End found whole.
func (r *Answers) Take() Answer {
	h := r.res.Header
	a := Answer{Status: r.res.StatusCode, Use: -1, Last: r.res.Close || r.msg.body.framing == toEnd,
		TurnedAway: h.Get("X-Turned-Away") == "1"}
	if v, err := strconv.ParseFloat(h.Get("X-Allowance-Used"), 64); err == nil && v >= 0 {
		a.Use = v / 100
	}
	a.Body = r.msg.take()
	return a
}

// AppendTransmission appends an operation as a backend is sent it; left is how long the door waits, in ms.
func AppendTransmission(dst []byte, o *Operation, host string, left float64) []byte {
	dst = append(append(append(dst, o.Method...), ' '), o.Target...)
	dst = append(append(dst, " HTTP/1.1\r\nHost: "...), host...)
	dst = append(append(dst, "\r\nX-Txn: "...), o.ID...)
	if o.Mark != "" {
		dst = append(append(dst, "\r\nIdempotency-Key: "...), o.Mark...)
	}
	dst = strconv.AppendInt(append(dst, "\r\nX-Remaining: "...), int64(max(0, left)), 10)
	dst = append(dst, 'm')
	if o.Method != http.MethodGet || len(o.Body) > 0 {
		dst = strconv.AppendInt(append(dst, "\r\nContent-Length: "...), int64(len(o.Body)), 10)
	}
	return append(append(dst, "\r\n\r\n"...), o.Body...)
}
