package registry

import (
	"bytes"
	"fmt"

	"github.com/swifthall/swifthall/internal/http1"
)

const longestLine = 4 << 20 // bytes of one object; some 20,000 backends

// Watch reads what one watch connection brings.
type Watch struct {
	stream http1.Stream
	line   []byte
}

// AppendWatch appends the question for all changes after a version; 0 asks for the whole list first.
func AppendWatch(dst []byte, host string, version int64) []byte {
	target := "/registry/instances?stream=1"
	if version > 0 {
		target += fmt.Sprintf("&index=%d", version)
	}
	return http1.AppendWatch(dst, target, host)
}

// AtBoundary tells whether no object has begun that has not been called out.
func (w *Watch) AtBoundary() bool { return len(bytes.TrimSpace(w.line)) == 0 }

// Feed takes bytes and calls out with each object. It tells whether the watch has ended.
func (w *Watch) Feed(p []byte, out func(List)) (done bool, err error) {
	return w.stream.Feed(p, func(data []byte) error {
		for len(data) > 0 {
			i := bytes.IndexByte(data, '\n')
			if i < 0 {
				i = len(data)
			}
			if len(w.line)+i > longestLine {
				return errLine
			}
			w.line = append(w.line, data[:i]...)
			if i == len(data) {
				return nil
			}
			data = data[i+1:]
			if len(bytes.TrimSpace(w.line)) > 0 {
				l, err := ReadList(w.line)
				if err != nil {
					return err
				}
				out(l)
			}
			w.line = w.line[:0]
		}
		return nil
	})
}
