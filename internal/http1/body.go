package http1

import (
	"bytes"
	"strconv"
)

// framing is the way in which the end of a body is determined.
type framing uint8

const (
	byLength   framing = iota // by a known number of bytes
	chunked                   // by a chunk of size 0 and the trailers
	untilClose                // by the end of the connection
)

const (
	maxLine     = 256  // bytes of a chunk's size line or of one trailer line
	maxTrailers = 8192 // bytes of all trailers, as for a head; without a limit a peer could send trailers forever
)

// body strips the framing from the bytes of a body.
type body struct {
	framing      framing
	left         int64 // bytes left in the body or in the current chunk
	line         []byte
	inLine       bool // a line is expected next, not the data of a chunk
	closing      bool // the empty line after the data of a chunk is expected next
	trailer      bool // the last chunk has been received
	trailerBytes int  // received so far
}

// newBody returns a body of the given length, or one without a known length if length is below 0.
func newBody(length int64, isChunked bool) body {
	switch {
	case isChunked:
		return body{framing: chunked, inLine: true}
	case length < 0:
		return body{framing: untilClose}
	}
	return body{left: length}
}

// done reports whether the body has ended. It is always false for a body that ends with the connection.
func (b *body) done() bool { return b.framing == byLength && b.left == 0 }

// next returns the data at the start of p, the number of bytes of p that it consumed, and whether the body has ended. The
// caller passes the rest of p to the next call.
func (b *body) next(p []byte) (data []byte, used int, done bool, err error) {
	if b.framing == untilClose {
		return p, len(p), false, nil
	}
	if !b.inLine || b.framing == byLength {
		n := int(min(b.left, int64(len(p))))
		b.left -= int64(n)
		if b.left == 0 && b.framing == chunked {
			b.inLine, b.closing = true, true
		}
		return p[:n], n, b.done(), nil
	}
	i := bytes.IndexByte(p, '\n')
	used = i + 1
	if i < 0 {
		used = len(p)
	}
	b.line = append(b.line, p[:used]...)
	if len(b.line) > maxLine {
		return nil, used, false, errChunk
	}
	if i < 0 {
		return nil, used, false, nil
	}
	line := bytes.TrimSuffix(b.line[:len(b.line)-1], []byte("\r"))
	b.line = b.line[:0]
	done, err = b.handleLine(line)
	return nil, used, done, err
}

// handleLine processes a complete line: the size of a chunk, the end of a chunk or a trailer.
func (b *body) handleLine(line []byte) (done bool, err error) {
	switch {
	case b.trailer:
		if b.trailerBytes += len(line); b.trailerBytes > maxTrailers {
			return false, errChunk
		}
		return len(line) == 0, nil
	case b.closing:
		b.closing = false
		if len(line) != 0 {
			return false, errChunk
		}
		return false, nil
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
	if err != nil {
		return false, errChunk
	}
	if n == 0 {
		b.trailer = true
	} else {
		b.left, b.inLine = int64(n), false
	}
	return false, nil
}
