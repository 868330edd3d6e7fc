package http1

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// knownFields are the names, in lower case, of the header fields that net/http or the door reads.
var knownFields = func() map[string]bool {
	names := map[string]bool{}
	for _, name := range []string{"host", "content-length", "transfer-encoding", "trailer", "connection", "expect",
		"x-txn", "idempotency-key", "x-tariff", "x-resent", "x-remaining", "x-weight",
		"x-turned-away", "x-allowance-used", "x-pressure"} {
		names[name] = true
	}
	return names
}()

// maxFieldName is the length of the longest name in knownFields.
const maxFieldName = len("transfer-encoding")

// known reports whether a field with this name is read.
func known(name []byte) bool {
	var lower [maxFieldName]byte
	if len(name) > maxFieldName {
		return false
	}
	for i, c := range name {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	return knownFields[string(lower[:len(name)])]
}

// strict checks a head and appends it to dst without the fields that nobody reads: parsed, thousands of short fields would take far
// more memory than their bytes. It rejects a head that two parsers could interpret differently (request smuggling). net/http accepts
// such heads: it allows a bare LF as line end, joins folded lines, and ignores Content-Length if there is a Transfer-Encoding. coded
// reports whether the head names a transfer coding.
func strict(dst, raw []byte) (head []byte, coded bool, err error) {
	lengths, hosts := 0, 0
	for first := true; len(raw) > 0; first = false {
		i := bytes.IndexByte(raw, '\n')
		if i < 1 || raw[i-1] != '\r' || bytes.IndexByte(raw[:i-1], '\r') >= 0 {
			return dst, false, errLineEnds
		}
		line, whole := raw[:i-1], raw[:i+1]
		raw = raw[i+1:]
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return dst, false, errLineEnds
		}
		if first || len(line) == 0 {
			dst = append(dst, whole...)
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found || !isVisibleASCII(string(name)): // net/http treats "Content-Length :" as a different header
			return dst, coded, errHead
		case !known(name):
			if !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
				return dst, coded, errHead
			}
			continue
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			coded = true
			lengths++
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
		dst = append(dst, whole...)
	}
	switch {
	case lengths > 1:
		return dst, coded, errFraming
	case hosts > 1:
		return dst, coded, errHosts
	}
	return dst, coded, nil
}
