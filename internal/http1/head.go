// Package http1 parses and formats the platform's HTTP/1.1 messages: requests from clients, attempts sent to backends, and
// responses. The parsers are incremental: they are fed bytes and do not access sockets.
package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"sync"

	"github.com/swifthall/swifthall/internal/pool"
)

// MaxBody is the maximum size of a body in bytes, in either direction.
const MaxBody = 64 << 10

// head collects the bytes of one message head.
type head struct {
	buf     []byte
	skipped int // bytes skipped before the head
}

const maxSkipped = 4 // bytes, two line ends: a client may send one after a body, but an unlimited number is not accepted

// feed consumes bytes up to the empty line that ends the head. It skips line ends before the first line.
func (h *head) feed(p []byte) (used int, whole bool, err error) {
	for len(h.buf) == 0 && used < len(p) && (p[used] == '\r' || p[used] == '\n') {
		if used++; h.skipped == maxSkipped {
			return used, false, errHead
		}
		h.skipped++
	}
	for used < len(p) {
		i := bytes.IndexByte(p[used:], '\n')
		n := i + 1
		if i < 0 {
			n = len(p) - used
		}
		if len(h.buf)+n > pool.Size {
			return used, false, errHeadSize
		}
		if h.buf == nil {
			h.buf = pool.Get()
		}
		h.buf = append(h.buf, p[used:used+n]...)
		used += n
		if i >= 0 && (bytes.HasSuffix(h.buf, []byte("\n\r\n")) || bytes.HasSuffix(h.buf, []byte("\n\n"))) {
			return used, true, nil
		}
	}
	return used, false, nil
}

// scanner is a reusable buffered reader with which net/http parses a head.
type scanner struct {
	bytes.Reader
	buf *bufio.Reader
}

var scanners = sync.Pool{New: func() any { return &scanner{buf: bufio.NewReader(nil)} }}

// parse checks a head and parses it with net/http, which must consume all of it. coded reports whether the head names a transfer
// coding.
func parse[T any](raw []byte, read func(*bufio.Reader) (T, error)) (m T, coded bool, err error) {
	if coded, err = strict(raw); err != nil {
		return m, coded, err
	}
	s := scanners.Get().(*scanner)
	defer scanners.Put(s)
	s.Reader.Reset(raw)
	s.buf.Reset(&s.Reader)
	m, err = read(s.buf)
	if err == nil && (s.buf.Buffered() > 0 || s.Reader.Len() > 0) {
		err = errHead
	}
	return m, coded, err
}

// readRequest parses the head of a request. It rejects a transfer coding that net/http ignores, as it does for HTTP/1.0.
func readRequest(raw []byte) (*http.Request, error) {
	req, coded, err := parse(raw, http.ReadRequest)
	if err == nil && coded && len(req.TransferEncoding) == 0 {
		err = errFraming
	}
	return req, err
}

// readResponse parses the head of a response. Like readRequest it rejects a transfer coding that net/http ignores.
func readResponse(raw []byte) (*http.Response, error) {
	res, coded, err := parse(raw, func(b *bufio.Reader) (*http.Response, error) { return http.ReadResponse(b, nil) })
	if err == nil && coded && len(res.TransferEncoding) == 0 {
		err = errFraming
	}
	return res, err
}

// message assembles one message.
type message struct {
	head     head
	body     body
	data     []byte // body received so far
	headDone bool   // the head is complete
	interims int    // number of interim responses before this message
}

const maxInterims = 8 // a peer could send interim responses forever without a final one

// feed consumes bytes up to the end of the message. It calls begin with the complete head to determine the framing of the body.
func (m *message) feed(p []byte, begin func(raw []byte) (length int64, isChunked bool, err error)) (
	used int, whole bool, err error) {
	for used < len(p) {
		if !m.headDone {
			n, complete, err := m.head.feed(p[used:])
			used += n
			if err != nil || !complete {
				return used, false, err
			}
			length, isChunked, err := begin(m.head.buf)
			if err != nil {
				return used, false, err
			}
			m.head.buf = m.head.buf[:0]
			if length == interim {
				if m.interims++; m.interims > maxInterims {
					return used, false, errInterim
				}
				continue
			}
			if length > MaxBody {
				return used, false, errBodySize
			}
			// The buffer grows as data arrives: a Content-Length alone must not allocate memory.
			m.headDone, m.body, m.data = true, newBody(length, isChunked), m.head.buf
			if m.body.done() {
				return used, true, nil
			}
			continue
		}
		data, n, done, err := m.body.next(p[used:])
		used += n
		if err != nil {
			return used, false, err
		}
		if len(m.data)+len(data) > MaxBody {
			return used, false, errBodySize
		}
		if m.data = append(m.data, data...); done {
			return used, true, nil
		}
	}
	return used, false, nil
}

// begun reports whether part of a message has been received.
func (m *message) begun() bool { return m.headDone || len(m.head.buf) > 0 }

// take returns the body, passing ownership of its buffer to the caller, and resets m for the next message.
func (m *message) take() []byte {
	data := m.data
	if cap(data) != pool.Size { // the body outgrew the pooled buffer
		pool.Put(m.head.buf)
	}
	*m = message{}
	return data
}

// drop releases the buffers of an incomplete message.
func (m *message) drop() { pool.Put(m.take()) }

const interim = -2 // length that begin returns for an interim (1xx) response
