package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func notice(n int64) []byte { return fmt.Appendf(nil, "dropped %d\n", n) }

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out, notice)
	for i := range 100 {
		fmt.Fprintf(s, "%d\n", i)
	}
	s.Close()
	assert.True(t, bytes.HasPrefix(out.Bytes(), []byte("0\n1\n2\n")))
	assert.True(t, bytes.HasSuffix(out.Bytes(), []byte("98\n99\n")))
}

// faultyWriter is a writer that fails while err is set, and blocks until wait, if set, is closed.
type faultyWriter struct {
	mu   sync.Mutex
	err  error
	wait chan struct{}
	out  bytes.Buffer
}

func (s *faultyWriter) Write(p []byte) (int, error) {
	if s.wait != nil {
		<-s.wait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	return s.out.Write(p)
}

func TestAHangingReaderDoesNotBlockWriters(t *testing.T) {
	w := &faultyWriter{wait: make(chan struct{})}
	s := New(w, notice)
	for range 2 * queueLen {
		_, err := io.WriteString(s, "x\n")
		assert.NoError(t, err)
	}
	assert.GreaterOrEqual(t, s.Dropped(), int64(queueLen-1))
	began := time.Now()
	s.Close()
	assert.GreaterOrEqual(t, time.Since(began), closeTimeout)
	close(w.wait)
	<-s.done
	assert.Contains(t, w.out.String(), "dropped ")
}

func TestAFailedLineIsCountedAndTheNextOneIsWritten(t *testing.T) {
	w := &faultyWriter{err: syscall.ENOSPC}
	s := New(w, notice)
	io.WriteString(s, "a\n")
	for s.Dropped() == 0 {
		time.Sleep(time.Millisecond)
	}
	w.mu.Lock()
	w.err = nil
	w.mu.Unlock()
	io.WriteString(s, "b\n")
	s.Close()
	assert.Equal(t, "dropped 1\nb\n", w.out.String())
}
