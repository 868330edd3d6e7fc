package http1

import (
	"bytes"
)

// strict rejects a head that two parsers could interpret differently (request smuggling). net/http accepts such heads: it allows
// a bare LF as line end, joins folded lines, and ignores Content-Length if there is a Transfer-Encoding. coded reports whether
// the head names a transfer coding.
func strict(raw []byte) (coded bool, err error) {
	lengths, hosts := 0, 0
	for first := true; len(raw) > 0; first = false {
		i := bytes.IndexByte(raw, '\n')
		if i < 1 || raw[i-1] != '\r' || bytes.IndexByte(raw[:i-1], '\r') >= 0 {
			return false, errLineEnds
		}
		line := raw[:i-1]
		raw = raw[i+1:]
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return false, errLineEnds
		}
		if first || len(line) == 0 {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found || !isVisibleASCII(string(name)): // net/http treats "Content-Length :" as a different header
			return coded, errHead
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			coded = true
			lengths++
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	switch {
	case lengths > 1:
		return coded, errFraming
	case hosts > 1:
		return coded, errHosts
	}
	return coded, nil
}
