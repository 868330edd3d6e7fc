package registry

import (
	"bytes"
	"fmt"

	"github.com/swifthall/swifthall/internal/http1"
)

const maxObjectBytes = 4 << 20 // enough for about 20,000 backends

// Watch parses the stream of one watch connection: one JSON object per line.
type Watch struct {
	stream http1.Stream
	line   []byte
}

// AppendWatch appends the request for all changes after the given version. Version 0 requests the complete list first.
func AppendWatch(dst []byte, host string, version int64) []byte {
	target := "/registry/instances?stream=1"
	if version > 0 {
		target += fmt.Sprintf("&index=%d", version)
	}
	return http1.AppendWatch(dst, target, host)
}

// AtBoundary reports whether the stream is between two objects, with no part of the next one received.
func (w *Watch) AtBoundary() bool { return len(bytes.TrimSpace(w.line)) == 0 }

// Feed parses bytes and calls out with each object. It reports whether the watch has ended.
func (w *Watch) Feed(p []byte, out func(List)) (done bool, err error) {
	return w.stream.Feed(p, func(data []byte) error {
		for len(data) > 0 {
			i := bytes.IndexByte(data, '\n')
			if i < 0 {
				i = len(data)
			}
			if len(w.line)+i > maxObjectBytes {
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
					return withObject(err, w.line)
				}
				out(l)
			}
			w.line = w.line[:0]
		}
		return nil
	})
}
