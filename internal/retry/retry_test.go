package retry

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// failing returns an operation that fails the given number of times and then succeeds, and the number of its calls.
func failing(times int, err error) (op func() (int, error), tries *int) {
	tries = new(int)
	return func() (int, error) {
		if *tries++; *tries <= times {
			return 0, &fs.PathError{Op: "open", Path: "x", Err: err}
		}
		return 7, nil
	}, tries
}

func TestTransientErrorsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EIO, syscall.EINTR, syscall.ENOBUFS, syscall.EADDRINUSE} {
			op, tries := failing(5, errno)
			v, err := Within(t.Context(), time.Second, op)
			assert.NoError(t, err)
			assert.Equal(t, 7, v)
			assert.Equal(t, 6, *tries)
		}
	})
}

func TestRetryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		op, tries := failing(99, syscall.ENOENT)
		_, err := Within(t.Context(), time.Hour, op)
		assert.ErrorIs(t, err, syscall.ENOENT)
		assert.Equal(t, 1, *tries)

		began := time.Now()
		op, _ = failing(1<<30, syscall.EIO)
		_, err = Within(t.Context(), time.Second, op)
		assert.ErrorIs(t, err, syscall.EIO)
		assert.InDelta(t, time.Second, time.Since(began), float64(2*maxPause))

		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		op, tries = failing(99, syscall.EIO)
		_, err = Within(ctx, time.Hour, op)
		assert.Error(t, err)
		assert.Equal(t, 1, *tries)
		assert.False(t, IsTransient(errors.Join(fmt.Errorf("other"), syscall.EACCES)))
	})
}
