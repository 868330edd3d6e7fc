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

// maxHead is the maximum size of a head in bytes, in either direction.
const maxHead = pool.Size

// head collects the bytes of one message head.
type head struct {
	buf     []byte // received so far; empty if the head arrives at once
	skipped int    // bytes skipped before the head
}

const maxSkipped = 4 // bytes, two line ends: a client may send one after a body, but an unlimited number is not accepted

// feed consumes bytes up to the empty line that ends the head. It then returns the head, which is valid until p changes or the next
// call. It skips line ends before the first line.
func (h *head) feed(p []byte) (used int, raw []byte, err error) {
	start, err := h.skipLineEnds(p)
	used = start
	for err == nil && used < len(p) {
		i := bytes.IndexByte(p[used:], '\n')
		n := i + 1
		if i < 0 {
			n = len(p) - used
		}
		if len(h.buf)+used-start+n > maxHead {
			return used, nil, errHeadSize
		}
		used += n
		if i >= 0 && h.endsWith(p[start:used]) {
			if len(h.buf) == 0 {
				return used, p[start:used], nil
			}
			h.buf = append(h.buf, p[start:used]...)
			return used, h.buf, nil
		}
	}
	h.buf = append(h.buf, p[start:used]...)
	return used, nil, err
}

// skipLineEnds returns how many bytes of line ends before the first line p starts with.
func (h *head) skipLineEnds(p []byte) (n int, err error) {
	for len(h.buf) == 0 && n < len(p) && (p[n] == '\r' || p[n] == '\n') {
		if h.skipped == maxSkipped {
			return n, errHead
		}
		n++
		h.skipped++
	}
	return n, nil
}

const emptyLineSize = len("\n\r\n") // bytes of the end of a line and an empty line

// endsWith reports whether the head ends with an empty line after more bytes.
func (h *head) endsWith(more []byte) bool {
	tail := more
	if len(more) < emptyLineSize {
		last := h.buf[max(0, len(h.buf)-emptyLineSize):]
		tail = append(append(make([]byte, 0, 2*emptyLineSize), last...), more...)
	}
	return bytes.HasSuffix(tail, []byte("\n\r\n")) || bytes.HasSuffix(tail, []byte("\n\n"))
}

// scanner is a reusable buffered reader with which net/http parses a head.
type scanner struct {
	bytes.Reader
	buf *bufio.Reader
}

var scanners = sync.Pool{New: func() any { return &scanner{buf: bufio.NewReader(nil)} }}

// parse checks a head and parses it with net/http, which must consume all of it. The result does not refer to raw, and contains only
// the fields that are read. coded reports whether the head names a transfer coding.
func parse[T any](raw []byte, read func(*bufio.Reader) (T, error)) (m T, coded bool, err error) {
	buf := pool.Get()
	defer pool.Put(buf)
	head, coded, err := strict(buf, raw)
	if err != nil {
		return m, coded, err
	}
	s := scanners.Get().(*scanner)
	defer scanners.Put(s)
	s.Reader.Reset(head)
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
	length   int64  // of the body; below 0 if unknown
	data     []byte // body received so far
	headSize int    // bytes of the head, once it is complete
	headDone bool   // the head is complete
	interims int    // number of interim responses before this message
}

const (
	maxInterims = 8    // a peer could send interim responses forever without a final one
	headRead    = 3072 // bytes that are read at a time before a head is complete; most requests are shorter
	minBodyRoom = 1024 // bytes of the first room for a body, if it is not known to be shorter
	messageRoom = 512  // bytes that the parsed form of a message takes beside its texts
)

// feed consumes bytes up to the end of the message. It calls begin with the complete head to determine the framing of the body.
func (m *message) feed(p []byte, begin func(raw []byte) (length int64, isChunked bool, err error)) (
	used int, whole bool, err error) {
	for used < len(p) {
		if !m.headDone {
			n, raw, err := m.head.feed(p[used:])
			used += n
			if err != nil || raw == nil {
				return used, false, err
			}
			length, isChunked, err := begin(raw)
			if err != nil {
				return used, false, err
			}
			m.head.buf = nil
			if length == interim {
				if m.interims++; m.interims > maxInterims {
					return used, false, errInterim
				}
				continue
			}
			if length > MaxBody {
				return used, false, errBodySize
			}
			m.headDone, m.headSize, m.body, m.length = true, len(raw), newBody(length, isChunked), length
			if isChunked {
				m.length = unknownLength
			}
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
		if m.appendData(data); done {
			return used, true, nil
		}
	}
	return used, false, nil
}

// appendData appends to the body. Its room grows as data arrives: a Content-Length alone must not allocate memory.
func (m *message) appendData(data []byte) {
	if room := m.bodyRoom(len(data)); room > cap(m.data) {
		m.data = append(make([]byte, 0, room), m.data...)
	}
	m.data = append(m.data, data...)
}

// bodyRoom returns the room that the body has once n more bytes have arrived.
func (m *message) bodyRoom(n int) int {
	need := len(m.data) + n
	if need <= cap(m.data) {
		return cap(m.data)
	}
	room := max(need, 2*cap(m.data), minBodyRoom)
	if m.length >= 0 && int64(need) <= m.length {
		room = min(room, int(m.length))
	}
	return min(room, max(need, MaxBody))
}

// held returns the bytes of memory that the message holds.
func (m *message) held() int {
	if !m.headDone {
		return cap(m.head.buf)
	}
	return messageRoom + m.headSize + cap(m.data)
}

// next returns how many bytes to feed next, and an upper bound of the memory that the message holds while they are fed, including
// what is held twice in the meantime. That of a head is known only once it has been fed.
func (m *message) next() (n, held int) {
	if !m.headDone {
		return headRead, 0
	}
	if room := cap(m.data) - len(m.data); room > 0 {
		return min(room, pool.Size), m.held()
	}
	n = pool.Size
	if m.length >= 0 {
		n = min(n, int(m.length)-len(m.data))
	}
	return n, m.held() + m.bodyRoom(n)
}

// begun reports whether part of a message has been received.
func (m *message) begun() bool { return m.headDone || len(m.head.buf) > 0 }

// take returns the body and resets m for the next message.
func (m *message) take() []byte {
	data := m.data
	if data == nil {
		data = []byte{}
	}
	*m = message{}
	return data
}

const (
	interim       = -2 // length that begin returns for an interim (1xx) response
	unknownLength = -1 // length of a body that ends by its framing or with the connection
)
