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

// child is a process that the rig runs, over its lives. It ends with the rig's own.
type child struct {
	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{}
	exitExpected bool // its end is
}

// start begins a life. line hears each line of its log, which is kept in a file where a folder is named; unmeant hears how it
// ended where nobody meant it to.
func (c *child) start(cmd *exec.Cmd, logs, file string, line func([]byte), unmeant func(says string)) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	var log *os.File
	if logs != "" {
		var err error
		if log, err = os.Create(filepath.Join(logs, file)); err != nil {
			return &RigError{"a log", err}
		}
	}
	said := &lineSplitter{onLine: line, log: log}
	cmd.Stderr, cmd.WaitDelay = said, logDrainTimeout
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
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // what it left behind
		last := said.lastLine()
		if log != nil {
			log.Close()
		}
		c.mu.Lock()
		meant := c.exitExpected
		c.mu.Unlock()
		if err != nil && !meant {
			unmeant(fmt.Sprintf("%v: %s", err, last))
		}
	}()
	return nil
}

const logDrainTimeout = time.Second // that something else may hold a process's log open once it has ended

// lineSplitter takes a process's log apart into lines.
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

// lastLine returns the last line.
func (s *lineSplitter) lastLine() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Clone(s.last)
}

// signal sends a signal to the running process; meant says that its end is meant from here on. What it returns is closed once
// the process has ended.
func (c *child) signal(s syscall.Signal, meant bool) (ended <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return nil
	}
	c.exitExpected = c.exitExpected || meant
	_ = c.cmd.Process.Signal(s)
	return c.done
}

// stopAll ends children: told to, and killed where they don't.
func stopAll(all []*child) {
	var ended []<-chan struct{}
	for _, c := range all {
		c.signal(syscall.SIGCONT, true)
		if done := c.signal(syscall.SIGTERM, true); done != nil {
			ended = append(ended, done)
		}
	}
	patience := time.After(stopTimeout)
	for _, done := range ended {
		select {
		case <-done:
		case <-patience:
			patience = time.After(0)
			for _, c := range all {
				c.signal(syscall.SIGKILL, true)
			}
			<-done
		}
	}
}
