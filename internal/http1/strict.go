package http1

import (
	"bytes"
)

// strict turns away a head that two readers could take apart in different ways. net/http lets these pass: it
// takes a bare LF for a line's end, joins folded lines, and drops Content-Length beside Transfer-Encoding. coded
// tells whether the head names a transfer coding.
func strict(raw []byte) (coded bool, err error) {
	lengths, hosts := 0, 0
	for first := true; len(raw) > 0; first = false {
		i := bytes.IndexByte(raw, '\n')
		if i < 1 || raw[i-1] != '\r' || bytes.IndexByte(raw[:i-1], '\r') >= 0 {
			return false, errLines
		}
		line := raw[:i-1]
		raw = raw[i+1:]
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return false, errLines
		}
		if first || len(line) == 0 {
			continue
		}
		name, _, told := bytes.Cut(line, []byte(":"))
		switch {
		case !told || !plain(string(name)): // net/http takes "Content-Length :" for another header
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
