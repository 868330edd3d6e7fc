// Package logsink decouples a program from the reader of its log, so that a slow or failed reader neither blocks nor ends it.
package logsink

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLen     = 512                    // lines that wait to be written; further ones are dropped
	closeTimeout = 200 * time.Millisecond // for which Close waits until the queue is written
)

// Sink passes lines to a writer without blocking the caller. Lines that arrive faster than they can be written, or whose write
// fails, are dropped and counted.
type Sink struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closed  chan struct{}
	done    chan struct{}
	notice  func(dropped int64) []byte
}

// New returns a sink that writes to the given writer. notice formats a line that reports the number of dropped lines; it is
// written before the next line.
func New(to io.Writer, notice func(dropped int64) []byte) *Sink {
	s := &Sink{to: to, lines: make(chan []byte, queueLen), closed: make(chan struct{}), done: make(chan struct{}), notice: notice}
	go s.run()
	return s
}

// Write queues one line. It returns immediately and never fails. Lines after Close are not written.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no notice has reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close waits until the queued lines are written, for at most closeTimeout.
func (s *Sink) Close() {
	close(s.closed)
	wait := time.NewTimer(closeTimeout)
	defer wait.Stop()
	select {
	case <-s.done:
	case <-wait.C:
	}
}

// run writes lines until the sink is closed.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.closed:
			s.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

// write writes a notice if necessary, then the line.
func (s *Sink) write(line []byte) {
	if n := s.dropped.Load(); n > 0 {
		if _, err := s.to.Write(s.notice(n)); err == nil {
			s.dropped.Add(-n)
		}
	}
	if _, err := s.to.Write(line); err != nil {
		s.dropped.Add(1)
	}
}
