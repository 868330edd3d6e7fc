package registry

import (
	"errors"
	"fmt"

	"github.com/swifthall/swifthall/internal/http1"
	"github.com/swifthall/swifthall/internal/jsonstream"
)

// Watch parses the stream of one watch connection: JSON objects, with white space between them and between their tokens.
type Watch struct {
	stream  http1.Stream
	objects jsonstream.Splitter
	stalled bool
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
func (w *Watch) AtBoundary() bool { return !w.objects.Within() }

// Stalled reports whether the stream is within an object to which the last call of Feed added nothing.
func (w *Watch) Stalled() bool { return w.stalled }

// Feed parses bytes and calls out with each object. It reports whether the watch has ended.
func (w *Watch) Feed(p []byte, out func(List)) (done bool, err error) {
	before := w.objects.Received()
	done, err = w.stream.Feed(p, func(data []byte) error { return w.feedBody(data, out) })
	w.stalled = w.objects.Within() && w.objects.Received() == before
	return done, err
}

// feedBody parses a piece of the body.
func (w *Watch) feedBody(data []byte, out func(List)) error {
	err := w.objects.Feed(data, func(object []byte) error {
		l, err := ReadList(object)
		if err != nil {
			return withObject(err, object)
		}
		out(l)
		return nil
	})
	if list := (*ListError)(nil); err == nil || errors.As(err, &list) {
		return err
	}
	return withObject(&ListError{Entry: -1, Cause: err}, w.objects.Partial())
}
