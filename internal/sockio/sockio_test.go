package sockio

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// failing is a connection whose calls return the given errors one after the other and then succeed.
type failing struct {
	net.Conn
	errs    []error
	partial int // number of bytes that a failing write writes
	written []byte
}

func (f *failing) next() (err error) {
	if len(f.errs) > 0 {
		err, f.errs = f.errs[0], f.errs[1:]
	}
	return err
}

func (f *failing) Write(p []byte) (int, error) {
	n := len(p)
	err := f.next()
	if err != nil {
		n = min(n, f.partial)
	}
	f.written = append(f.written, p[:n]...)
	return n, err
}

func (f *failing) Read(p []byte) (int, error) {
	if err := f.next(); err != nil {
		return 0, err
	}
	return copy(p, "hi"), nil
}

func wrapped(errno syscall.Errno) error {
	return &net.OpError{Op: "write", Err: os.NewSyscallError("write", errno)}
}

func TestWriteRetriesTransientErrorsWithoutDuplicates(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		f := &failing{errs: []error{wrapped(errno), wrapped(errno)}, partial: 2}
		n, err := Write(f, []byte("an answer"), time.Now().Add(time.Minute))
		require.NoError(t, err)
		assert.Equal(t, 9, n)
		assert.Equal(t, "an answer", string(f.written))
	}
}

func TestWriteIsNotRetriedAfterItsDeadlineOrTheEndOfTheConnection(t *testing.T) {
	f := &failing{errs: []error{wrapped(syscall.ENOBUFS)}, partial: 3}
	n, err := Write(f, []byte("an answer"), time.Now())
	assert.ErrorIs(t, err, syscall.ENOBUFS)
	assert.Equal(t, 3, n)
	for _, errno := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		f := &failing{errs: []error{wrapped(errno)}}
		_, err := Write(f, []byte("an answer"), time.Now().Add(time.Minute))
		assert.ErrorIs(t, err, errno)
		assert.Empty(t, f.written)
	}
}

func TestReadRetriesTransientErrors(t *testing.T) {
	f := &failing{errs: []error{wrapped(syscall.EINTR), wrapped(syscall.ENOMEM), wrapped(syscall.ENOBUFS)}}
	p := make([]byte, 9)
	n, err := Read(f, p)
	require.NoError(t, err)
	assert.Equal(t, "hi", string(p[:n]))
	f.errs = []error{io.EOF}
	_, err = Read(f, p)
	assert.ErrorIs(t, err, io.EOF)
}

func TestLocalShortageIsDistinguishedFromAFailedPeer(t *testing.T) {
	for errno, own := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.EADDRNOTAVAIL: true, syscall.ENOBUFS: true,
		syscall.ENOMEM: true, syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ENETUNREACH: false} {
		assert.Equal(t, own, IsLocalShortage(wrapped(errno)), errno)
	}
	assert.False(t, IsLocalShortage(errors.New("other")))
}

func TestAConnectionIsInspectedWithoutBlocking(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	far, err := ln.Accept()
	require.NoError(t, err)
	raw, err := near.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	assert.True(t, IsIdle(raw))
	assert.Zero(t, ReadNow(raw, make([]byte, 9)))
	_, err = io.WriteString(far, "hi")
	require.NoError(t, err)
	for IsIdle(raw) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, 2, ReadNow(raw, make([]byte, 9)))
	far.Close()
	for IsIdle(raw) {
		time.Sleep(time.Millisecond)
	}
	assert.Zero(t, ReadNow(raw, make([]byte, 9)))
}

func TestLastReceived(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer near.Close()
	_, err = io.WriteString(near, "hi")
	require.NoError(t, err)
	sent := time.Now()
	time.Sleep(200 * time.Millisecond) // in the listener's queue
	far, err := ln.Accept()
	require.NoError(t, err)
	defer far.Close()
	raw, err := far.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	assert.InDelta(t, time.Since(sent), LastReceived(raw).Or(0), float64(50*time.Millisecond))
}
