package http1

import (
	"fmt"
	"net/http"
)

// AppendWatch appends the question for a stream.
func AppendWatch(dst []byte, target, host string) []byte {
	return fmt.Appendf(dst, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, host)
}

// Stream hands out an answer's body as it comes.
type Stream struct {
	head head
	body body
	open bool
}

// Feed takes bytes and calls out with what they hold of the body. It tells whether the body has ended.
func (s *Stream) Feed(p []byte, out func([]byte) error) (done bool, err error) {
	for len(p) > 0 {
		if !s.open {
			n, whole, err := s.head.feed(p)
			p = p[n:]
			if err != nil || !whole {
				return false, err
			}
			res, err := readResponse(s.head.buf)
			if err != nil {
				return false, err
			}
			if res.StatusCode != http.StatusOK {
				return false, &StatusError{res.StatusCode}
			}
			s.open, s.body = true, newBody(res.ContentLength, len(res.TransferEncoding) > 0)
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
