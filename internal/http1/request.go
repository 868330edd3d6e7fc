package http1

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// Paths of the health checks.
const (
	ReadyPath = "/health/ready"
	LivePath  = "/health/live"
)

// Request is a request as the client sent it.
type Request struct {
	Method, Target     string
	ID, IdempotencyKey string // the client's id, and the idempotency key by which backends discard repeats
	Path               string // without the query
	Class              string // first segment of the path
	Plan               string
	Customer           uint64
	TTL                float64 // time that the client waits, in ms
	Units              float64 // units of the request, an estimate if the backend reports others
	First, Spread      int     // the customer's requests come through Spread doors from number First on
	Repeat             bool    // the client marked the request as a repeat
	Body               []byte
	Close              bool // the client closes the connection after this request
}

// RequestError is input that is not a valid request, with the status to respond with.
type RequestError struct {
	Status int
	Text   string
}

func (e *RequestError) Error() string     { return e.Text }
func (e *RequestError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the status that the client received.
func (e *RequestError) Remedy() string {
	return fmt.Sprintf("Fix the request that the client received status %d for; the door needs no change.", e.Status)
}

// reject returns an error with the status to respond with.
func reject(status int, text string) *RequestError { return &RequestError{status, text} }

// RequestReader parses the requests on one client connection. After an error of Feed the connection cannot be used any more.
type RequestReader struct {
	msg     message
	request *Request // of the head that has been received
	invalid error    // why its headers or target are invalid; nil if they are valid
}

// Feed consumes bytes up to the end of one request and reports whether Take can return it. Its errors are of type RequestError.
func (r *RequestReader) Feed(p []byte) (used int, whole bool, err error) {
	used, whole, err = r.msg.feed(p, r.begin)
	var known *RequestError
	switch {
	case err == nil || errors.As(err, &known):
	case errors.Is(err, errHeadSize):
		err = reject(http.StatusRequestHeaderFieldsTooLarge, err.Error())
	case errors.Is(err, errBodySize):
		err = reject(http.StatusRequestEntityTooLarge, err.Error())
	default:
		err = reject(http.StatusBadRequest, err.Error())
	}
	return used, whole, err
}

// begin reads all that is needed from a head, whose parsed form takes far more memory than its bytes.
func (r *RequestReader) begin(raw []byte) (length int64, isChunked bool, err error) {
	req, err := readRequest(raw)
	if err != nil {
		return 0, false, err
	}
	switch {
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return 0, false, reject(http.StatusMethodNotAllowed, "method")
	case req.Header.Get("Expect") != "":
		return 0, false, reject(http.StatusExpectationFailed, "expectation")
	case req.Host == "" && req.ProtoAtLeast(1, 1):
		return 0, false, reject(http.StatusBadRequest, "no host")
	}
	r.request = &Request{Method: req.Method, Target: req.RequestURI, Path: req.URL.Path, Close: req.Close}
	if r.invalid = nil; !r.request.IsHealthCheck() {
		r.invalid = r.request.parse(req)
	}
	return req.ContentLength, len(req.TransferEncoding) > 0, nil
}

// IsHealthCheck reports whether the request is a health check, which has no other fields than those of its first line.
func (o *Request) IsHealthCheck() bool { return o.Path == ReadyPath || o.Path == LivePath }

// Begun reports whether part of a request has been received.
func (r *RequestReader) Begun() bool { return r.msg.begun() }

// Held returns the bytes of memory that the present request holds.
func (r *RequestReader) Held() int { return r.msg.held() }

// Next returns how many bytes to feed next, and an upper bound of the memory that the request holds while they are fed; 0 before its
// head is complete, as that of a head is known only once it has been fed.
func (r *RequestReader) Next() (n, held int) { return r.msg.next() }

// Drop releases the memory of an incomplete request.
func (r *RequestReader) Drop() { *r = RequestReader{} }

// Take returns the request that Feed has completed. If its headers or target are invalid, it also returns a RequestError; the
// connection remains usable.
func (r *RequestReader) Take() (*Request, error) {
	request, err := r.request, r.invalid
	request.Body = r.msg.take()
	r.Drop()
	return request, err
}

// singleHeaders are the headers that the door reads. They must not be repeated, because a backend could use the other value.
var singleHeaders = []string{"X-Txn", "Idempotency-Key", "X-Tariff", "X-Resent", "X-Remaining", "X-Weight"}

// parse reads the fields of o from the headers and the target.
func (o *Request) parse(req *http.Request) error {
	h := req.Header
	for _, name := range singleHeaders {
		if len(h[name]) > 1 {
			return reject(http.StatusBadRequest, name+" twice")
		}
	}
	o.ID, o.IdempotencyKey, o.Plan = h.Get("X-Txn"), h.Get("Idempotency-Key"), h.Get("X-Tariff")
	o.Repeat = h.Get("X-Resent") == "1"
	o.Class, _, _ = strings.Cut(strings.TrimPrefix(o.Path, "/"), "/")
	if !isVisibleASCII(o.Target) || !strings.HasPrefix(o.Target, "/"+o.Class) {
		return reject(http.StatusBadRequest, "target")
	}
	if !isVisibleASCII(o.ID) || o.ID == "" {
		return reject(http.StatusBadRequest, "X-Txn")
	}
	if !isVisibleASCII(o.IdempotencyKey) {
		return reject(http.StatusBadRequest, "Idempotency-Key")
	}
	query, err := url.ParseQuery(req.URL.RawQuery)
	key := query["key"]
	if err != nil || len(key) != 1 || len(key[0]) != 16 || !strings.Contains(req.URL.RawQuery, "key="+key[0]) {
		return reject(http.StatusBadRequest, "key")
	}
	if o.Customer, err = strconv.ParseUint(key[0], 16, 33); err != nil {
		return reject(http.StatusBadRequest, "key")
	}
	if o.TTL, err = parseDuration(h.Get("X-Remaining")); err != nil {
		return reject(http.StatusBadRequest, "X-Remaining")
	}
	if err = o.parseWeight(h.Get("X-Weight")); err != nil {
		return reject(http.StatusBadRequest, "X-Weight")
	}
	return nil
}

// isVisibleASCII reports whether a value can safely be forwarded in a head. net/http accepts control characters, and a lenient
// backend could treat one as a line end.
func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// parseDuration parses a number with a unit: m for ms, u for microseconds.
func parseDuration(s string) (ms float64, err error) {
	if s == "" {
		return 0, errSyntax
	}
	v, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, errSyntax
	}
	switch s[len(s)-1] {
	case 'm':
		return v, nil
	case 'u':
		return v / 1000, nil
	}
	return 0, errSyntax
}

// parseWeight parses X-Weight, which must contain units, spread and first.
func (o *Request) parseWeight(s string) (err error) {
	seen := 0
	for s != "" {
		var part string
		part, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "units":
			seen |= 1
			if o.Units, err = strconv.ParseFloat(value, 64); err == nil && !(o.Units > 0 && o.Units < 1e9) {
				err = errSyntax
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
		return errSyntax
	}
	return nil
}

// AppendResponse appends a response. A Retry-After header is included if retryAfter, in ms, is above 0.
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
