package http1

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/swifthall/swifthall/internal/pool"
	"github.com/swifthall/swifthall/internal/remedy"
)

// ReadyPath and LivePath are asked by whoever watches over the door.
const (
	ReadyPath = "/health/ready"
	LivePath  = "/health/live"
)

// Request is what a client asks, as it came.
type Request struct {
	Method, Target     string
	ID, IdempotencyKey string // the client's id, and the mark by which repeats are discarded
	Path               string // without the query
	Class              string // first part of the path
	Plan               string
	Customer           uint64
	TTL                float64 // ms from the client's sending
	Units              float64
	First, Spread      int
	Repeat             bool
	Body               []byte
	Close              bool // nothing more comes on this connection
}

// Free gives the body's buffer back.
func (o *Request) Free() {
	pool.Put(o.Body)
	o.Body = nil
}

// RequestError is input that cannot be taken as a request; Status is the answer.
type RequestError struct {
	Status int
	Text   string
}

func (f *RequestError) Error() string     { return f.Text }
func (f *RequestError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the answer that the client was given.
func (f *RequestError) Remedy() string {
	return fmt.Sprintf("Have the client mend what it was answered %d for; the door itself needs nothing.", f.Status)
}

func fault(status int, text string) *RequestError { return &RequestError{status, text} }

// RequestReader reads what one client connection brings. After a Fault from Feed the connection is of no more use.
type RequestReader struct {
	msg message
	req *http.Request
}

// Feed takes bytes up to the end of one request, and tells whether Take has it.
func (r *RequestReader) Feed(p []byte) (used int, whole bool, err error) {
	used, whole, err = r.msg.feed(p, r.begin)
	var known *RequestError
	switch {
	case err == nil || errors.As(err, &known):
	case errors.Is(err, errHeadSize):
		err = fault(http.StatusRequestHeaderFieldsTooLarge, err.Error())
	case errors.Is(err, errBodySize):
		err = fault(http.StatusRequestEntityTooLarge, err.Error())
	default:
		err = fault(http.StatusBadRequest, err.Error())
	}
	return used, whole, err
}

func (r *RequestReader) begin(raw []byte) (length int64, isChunked bool, err error) {
	if r.req, err = readRequest(raw); err != nil {
		return 0, false, err
	}
	switch {
	case r.req.Method != http.MethodGet && r.req.Method != http.MethodPost:
		return 0, false, fault(http.StatusMethodNotAllowed, "method")
	case r.req.Header.Get("Expect") != "":
		return 0, false, fault(http.StatusExpectationFailed, "expectation")
	case r.req.Host == "" && r.req.ProtoAtLeast(1, 1):
		return 0, false, fault(http.StatusBadRequest, "no host")
	}
	return r.req.ContentLength, len(r.req.TransferEncoding) > 0, nil
}

// Begun tells whether part of a request has come.
func (r *RequestReader) Begun() bool { return r.msg.begun() }

// Drop gives back what an unfinished request holds.
func (r *RequestReader) Drop() { r.msg.drop() }

// Take returns the request that Feed found whole. One that the protocol does not word so comes with a Fault,
// after which the connection may go on.
func (r *RequestReader) Take() (*Request, error) {
	req := r.req
	o := &Request{Method: req.Method, Target: req.RequestURI, Path: req.URL.Path, Close: req.Close,
		Body: r.msg.take()}
	if o.Path == ReadyPath || o.Path == LivePath {
		return o, nil
	}
	if err := o.read(req); err != nil {
		o.Free()
		return o, err
	}
	return o, nil
}

// once are the headers that are read: told twice, a backend could go by the other.
var once = []string{"X-Txn", "Idempotency-Key", "X-Tariff", "X-Resent", "X-Remaining", "X-Weight"}

func (o *Request) read(req *http.Request) error {
	h := req.Header
	for _, name := range once {
		if len(h[name]) > 1 {
			return fault(http.StatusBadRequest, name+" twice")
		}
	}
	o.ID, o.IdempotencyKey, o.Plan = h.Get("X-Txn"), h.Get("Idempotency-Key"), h.Get("X-Tariff")
	o.Repeat = h.Get("X-Resent") == "1"
	o.Class, _, _ = strings.Cut(strings.TrimPrefix(o.Path, "/"), "/")
	if !plain(o.Target) || !strings.HasPrefix(o.Target, "/"+o.Class) {
		return fault(http.StatusBadRequest, "target")
	}
	if !plain(o.ID) || o.ID == "" {
		return fault(http.StatusBadRequest, "X-Txn")
	}
	if !plain(o.IdempotencyKey) {
		return fault(http.StatusBadRequest, "Idempotency-Key")
	}
	query, err := url.ParseQuery(req.URL.RawQuery)
	key := query["key"]
	if err != nil || len(key) != 1 || len(key[0]) != 16 || !strings.Contains(req.URL.RawQuery, "key="+key[0]) {
		return fault(http.StatusBadRequest, "key")
	}
	if o.Customer, err = strconv.ParseUint(key[0], 16, 33); err != nil {
		return fault(http.StatusBadRequest, "key")
	}
	if o.TTL, err = readSpan(h.Get("X-Remaining")); err != nil {
		return fault(http.StatusBadRequest, "X-Remaining")
	}
	if err = o.readWeight(h.Get("X-Weight")); err != nil {
		return fault(http.StatusBadRequest, "X-Weight")
	}
	return nil
}

// plain tells whether a value may be passed on in a head: net/http lets control characters through, and a
// lenient backend could take one for the end of a line.
func plain(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// readSpan reads a number with its unit, m for ms or u for us.
func readSpan(s string) (ms float64, err error) {
	if s == "" {
		return 0, errForm
	}
	v, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, errForm
	}
	switch s[len(s)-1] {
	case 'm':
		return v, nil
	case 'u':
		return v / 1000, nil
	}
	return 0, errForm
}

func (o *Request) readWeight(s string) (err error) {
	seen := 0
	for s != "" {
		var part string
		part, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "units":
			seen |= 1
			if o.Units, err = strconv.ParseFloat(value, 64); err == nil && !(o.Units > 0 && o.Units < 1e9) {
				err = errForm
			}
		case "spread":
			seen |= 2
			o.Spread, err = strconv.Atoi(value)
		case "first":
			seen |= 4
			o.First, err = strconv.Atoi(value)
		}
		if err != nil {
			return err
		}
	}
	if seen != 7 || o.Spread < 1 || o.First < 0 {
		return errForm
	}
	return nil
}

// AppendResponse appends an answer; retryAfter, in ms, is told where it is above 0.
func AppendResponse(dst []byte, status int, retryAfter float64, body []byte, last bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(append(dst, ' '), http.StatusText(status)...)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendFloat(dst, retryAfter/1000, 'f', 3, 64)
	}
	if last {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	return append(append(dst, "\r\n\r\n"...), body...)
}
