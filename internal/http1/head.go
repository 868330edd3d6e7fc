// Package http1 reads and writes HTTP/1.1 as the platform's protocol has it: requests from clients,
// attempts to backends. Its machines are fed bytes and know no socket.
package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"sync"

	"github.com/swifthall/swifthall/internal/pool"
)

// MaxBody is the most bytes in a body, either way.
const MaxBody = 64 << 10

// head gathers the bytes of one head.
type head struct {
	buf    []byte
	passed int // bytes passed over before it
}

const mostPassed = 4 // two line ends: a client may leave one behind a body, but not send them for ever

// feed takes bytes up to the empty line that ends the head; line ends before the first line are passed over.
func (h *head) feed(p []byte) (used int, whole bool, err error) {
	for len(h.buf) == 0 && used < len(p) && (p[used] == '\r' || p[used] == '\n') {
		if used++; h.passed == mostPassed {
			return used, false, errHead
		}
		h.passed++
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

// scanner lends a reader over a head to net/http.
type scanner struct {
	bytes.Reader
	buf *bufio.Reader
}

var scanners = sync.Pool{New: func() any { return &scanner{buf: bufio.NewReader(nil)} }}

// parse has net/http read a whole head, and makes sure that it took all of it.
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

// readRequest and readResponse read a head whose coding, if it names one, net/http has understood: it passes over
// one of HTTP/1.0.
func readRequest(raw []byte) (*http.Request, error) {
	req, coded, err := parse(raw, http.ReadRequest)
	if err == nil && coded && len(req.TransferEncoding) == 0 {
		err = errFraming
	}
	return req, err
}

func readResponse(raw []byte) (*http.Response, error) {
	res, coded, err := parse(raw, func(b *bufio.Reader) (*http.Response, error) { return http.ReadResponse(b, nil) })
	if err == nil && coded && len(res.TransferEncoding) == 0 {
		err = errFraming
	}
	return res, err
}

// message gathers one whole message.
type message struct {
	head  head
	body  body
	data  []byte // the body's bytes so far
	open  bool   // the head is whole
	ahead int    // heads that only announced this one
}

const mostAhead = 8 // a peer that announces its answer for ever brings none

// feed takes bytes up to the end of the message. begin is called with the head and says how the body ends.
func (m *message) feed(p []byte, begin func(raw []byte) (length int64, isChunked bool, err error)) (
	used int, whole bool, err error) {
	for used < len(p) {
		if !m.open {
			n, headed, err := m.head.feed(p[used:])
			used += n
			if err != nil || !headed {
				return used, false, err
			}
			length, isChunked, err := begin(m.head.buf)
			if err != nil {
				return used, false, err
			}
			m.head.buf = m.head.buf[:0]
			if length == interim {
				if m.ahead++; m.ahead > mostAhead {
					return used, false, errAhead
				}
				continue
			}
			if length > MaxBody {
				return used, false, errBodySize
			}
			// Room grows with what comes: a length alone must not take any.
			m.open, m.body, m.data = true, newBody(length, isChunked), m.head.buf
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

// begun tells whether part of a message has come.
func (m *message) begun() bool { return m.open || len(m.head.buf) > 0 }

// take hands over the body, whose buffer goes with it, and makes ready for the next message.
func (m *message) take() []byte {
	data := m.data
	if cap(data) != pool.Size { // the body has room of its own
		pool.Put(m.head.buf)
	}
	*m = message{}
	return data
}

// drop gives back what a message that will not be finished holds.
func (m *message) drop() { pool.Put(m.take()) }

const interim = -2 // length of an answer that only announces another
