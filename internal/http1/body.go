package http1

import (
	"bytes"
	"strconv"
)

// framing says how the end of a body is found.
type framing uint8

const (
	counted framing = iota // after a known number of bytes
	chunked
	toEnd // with the connection
)

const (
	longestLine    = 256  // bytes in a chunk's size line or a trailer
	longestTrailer = 8192 // bytes in all trailers: as a head. One without end would be read for as long as its peer writes
)

// body hands out what it is fed without its framing.
type body struct {
	framing framing
	left    int64 // of the body, or of the chunk
	line    []byte
	inLine  bool // a size line is awaited, else a chunk's data
	closing bool // the line after a chunk's data is awaited
	trailer bool // the last chunk has come
	trailed int  // bytes behind it
}

func newBody(length int64, isChunked bool) body {
	switch {
	case isChunked:
		return body{framing: chunked, inLine: true}
	case length < 0:
		return body{framing: toEnd}
	}
	return body{left: length}
}

// done tells whether the body has ended; one that ends with its connection never says so.
func (b *body) done() bool { return b.framing == counted && b.left == 0 }

// next returns the data at the start of p, how many bytes of p that took, and whether the body has ended.
// What is left of p is fed again.
func (b *body) next(p []byte) (data []byte, used int, done bool, err error) {
	if b.framing == toEnd {
		return p, len(p), false, nil
	}
	if !b.inLine || b.framing == counted {
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
	if len(b.line) > longestLine {
		return nil, used, false, errChunk
	}
	if i < 0 {
		return nil, used, false, nil
	}
	line := bytes.TrimSuffix(b.line[:len(b.line)-1], []byte("\r"))
	b.line = b.line[:0]
	done, err = b.took(line)
	return nil, used, done, err
}

// took acts on a whole line.
func (b *body) took(line []byte) (done bool, err error) {
	switch {
	case b.trailer:
		if b.trailed += len(line); b.trailed > longestTrailer {
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
