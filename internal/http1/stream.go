package http1

import (
	"fmt"
	"net/http"
)

// AppendWatch appends the request for a stream.
func AppendWatch(dst []byte, target, host string) []byte {
	return fmt.Appendf(dst, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, host)
}

// Stream parses a response and passes on its body as it arrives.
type Stream struct {
	head     head
	body     body
	headDone bool
}

// Feed parses bytes and calls out with each piece of the body. It reports whether the body has ended.
func (s *Stream) Feed(p []byte, out func([]byte) error) (done bool, err error) {
	for len(p) > 0 {
		if !s.headDone {
			n, raw, err := s.head.feed(p)
			p = p[n:]
			if err != nil || raw == nil {
				return false, err
			}
			res, err := readResponse(raw)
			if err != nil {
				return false, err
			}
			if res.StatusCode != http.StatusOK {
				return false, &StatusError{res.StatusCode}
			}
			s.headDone, s.body = true, newBody(res.ContentLength, len(res.TransferEncoding) > 0)
			if s.body.done() {
				return true, nil
			}
			continue
		}
		data, n, done, err := s.body.next(p)
		if p = p[n:]; err != nil {
			return false, err
		}
		if len(data) > 0 {
			if err := out(data); err != nil {
				return false, err
			}
		}
		if done {
			return true, nil
		}
	}
	return false, nil
}
