package procs

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// child is a child process of the rig, over all its incarnations. It is killed when the rig's own process dies.
type child struct {
	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{} // closed once the current incarnation has exited
	exitExpected bool          // the rig stops it: an error exit is no failure
}

// start starts an incarnation. onLine receives each line of its log, which is also written to a file in logDir unless that is
// empty; onUnexpectedExit receives the error and the last log line if it fails without having been stopped by the rig.
func (c *child) start(cmd *exec.Cmd, logDir, file string, onLine func([]byte), onUnexpectedExit func(reason string)) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	var log *os.File
	if logDir != "" {
		var err error
		if log, err = os.Create(filepath.Join(logDir, file)); err != nil {
			return &RigError{"a log file", err}
		}
	}
	splitter := &lineSplitter{onLine: onLine, log: log}
	cmd.Stderr, cmd.WaitDelay = splitter, logDrainTimeout
	if err := cmd.Start(); err != nil {
		return &RigError{"a process", err}
	}
	done := make(chan struct{})
	c.mu.Lock()
	c.cmd, c.exitExpected, c.done = cmd, false, done
	c.mu.Unlock()
	go func() {
		defer close(done)
		err := cmd.Wait()
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // processes that it started and left running
		last := splitter.lastLine()
		if log != nil {
			log.Close()
		}
		c.mu.Lock()
		expected := c.exitExpected
		c.mu.Unlock()
		if err != nil && !expected {
			onUnexpectedExit(fmt.Sprintf("%v: %s", err, last))
		}
	}()
	return nil
}

const logDrainTimeout = time.Second // how long another process may keep a process's log open after its exit

// lineSplitter is a writer that splits a process's log into lines, and copies it to a file unless that is nil.
type lineSplitter struct {
	onLine  func([]byte)
	log     *os.File
	mu      sync.Mutex
	partial []byte
	last    []byte
}

func (s *lineSplitter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log != nil {
		_, _ = s.log.Write(p)
	}
	s.partial = append(s.partial, p...)
	for {
		i := bytes.IndexByte(s.partial, '\n')
		if i < 0 {
			return len(p), nil
		}
		s.last = append(s.last[:0], s.partial[:i]...)
		s.partial = append(s.partial[:0], s.partial[i+1:]...)
		s.onLine(s.last)
	}
}

// lastLine returns the last complete line.
func (s *lineSplitter) lastLine() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Clone(s.last)
}

// signal sends a signal to the running process. With exitExpected, an error exit counts as no failure from here on. The
// returned channel is closed once the process has exited; it is nil if the child was never started.
func (c *child) signal(s syscall.Signal, exitExpected bool) (exited <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return nil
	}
	c.exitExpected = c.exitExpected || exitExpected
	_ = c.cmd.Process.Signal(s)
	return c.done
}

// stopAll stops children with SIGTERM, and kills them if they take longer than stopTimeout. Paused ones are resumed first.
func stopAll(all []*child) {
	var exits []<-chan struct{}
	for _, c := range all {
		c.signal(syscall.SIGCONT, true)
		if done := c.signal(syscall.SIGTERM, true); done != nil {
			exits = append(exits, done)
		}
	}
	timeout := time.After(stopTimeout)
	for _, done := range exits {
		select {
		case <-done:
		case <-timeout:
			timeout = time.After(0)
			for _, c := range all {
				c.signal(syscall.SIGKILL, true)
			}
			<-done
		}
	}
}
