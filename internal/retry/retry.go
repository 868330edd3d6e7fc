// Package retry repeats operations that fail because of a transient shortage of system resources.
package retry

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// The pause between attempts starts at minPause and doubles up to maxPause.
const (
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// transient lists the errnos that are transient according to the Linux manual pages for opening and reading files and for
// creating and binding sockets.
var transient = []error{syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EADDRINUSE}

// IsTransient reports whether the operation may succeed a moment later.
func IsTransient(err error) bool {
	for _, e := range transient {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Within repeats an operation until it succeeds, fails with an error that is not transient, the timeout expires or ctx ends. It
// returns the result of the last attempt.
func Within[T any](ctx context.Context, timeout time.Duration, op func() (T, error)) (T, error) {
	end := time.Now().Add(timeout)
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		v, err := op()
		if err == nil || !IsTransient(err) || time.Now().Add(pause).After(end) {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, err
		case <-time.After(pause):
		}
	}
}
