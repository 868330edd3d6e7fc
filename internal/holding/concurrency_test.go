package holding

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/serving"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
)

// These tests interleave the supervisor's steps with an exit of a process, a signal or a shutdown. The processes are real: they
// run the test binary, which reports its events to the test and follows the test's commands.

const (
	controlVariable = "HOLDING_TEST_CONTROL"
	timeout         = 20 * time.Second
)

func TestMain(m *testing.M) {
	if at := os.Getenv(controlVariable); at != "" && os.Getenv(serving.ListenerVariable) != "" {
		os.Exit(scriptedDoor(at))
	}
	os.Exit(m.Run())
}

// scriptedDoor acts as a door's process that follows the test's commands and exits only on command.
func scriptedDoor(at string) int {
	sigs := make(chan os.Signal, 9)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGHUP)
	nc, err := net.Dial("tcp", at)
	if err != nil {
		return 2
	}
	fmt.Fprintf(nc, "begun %s\n", os.Getenv("GW_CONFIG"))
	go func() {
		for s := range sigs {
			fmt.Fprintln(nc, s)
		}
	}()
	ready := os.NewFile(readyFD, "ready")
	for lines := bufio.NewScanner(nc); lines.Scan(); {
		switch lines.Text() {
		case "ready":
			ready.Write([]byte{1})
		case "close listener":
			os.NewFile(listenerFD, "listener").Close()
			fmt.Fprintln(nc, "closed")
		case "end":
			return 0
		}
	}
	return 1
}

// process is the test's handle on a process.
type process struct {
	nc    net.Conn
	lines chan string // closed when the process exits
}

func (p *process) send(command string) { fmt.Fprintln(p.nc, command) }

func (p *process) expect(t *testing.T, event string) {
	select {
	case line, open := <-p.lines:
		require.True(t, open, "the process exited before it reported %q", event)
		require.Equal(t, event, line)
	case <-time.After(timeout):
		require.Fail(t, "not reported", event)
	}
}

func (p *process) exit(t *testing.T) {
	p.send("end")
	select {
	case line, open := <-p.lines:
		require.False(t, open, "%s", line)
	case <-time.After(timeout):
		require.Fail(t, "the process did not exit")
	}
}

// supervised returns a supervisor with a listener, and a channel that yields the processes that it starts. Every change may take effect.
func supervised(t *testing.T) (s *supervisor, stop func(), processes <-chan *process) {
	return supervisedWith(t, permits.SwitchRelease{UntilMs: 1e12})
}

// supervisedWith returns a supervisor like supervised, with another decision on the changes that are prepared.
func supervisedWith(t *testing.T, decision any) (s *supervisor, stop func(), processes <-chan *process) {
	s = newSupervisor(t)
	ctx, cancel := context.WithCancel(t.Context())
	s.ctx, s.events, s.decisions = ctx, make(chan any, eventQueueSize), make(chan any, 1)
	go func() { // takes the part of the release agent
		for {
			select {
			case e := <-s.events:
				if _, is := e.(permits.ReleasePrepared); is {
					s.decisions <- decision
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	s.started = time.Now()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.ln, err = inheritable(ln.(*net.TCPListener))
	require.NoError(t, err)
	ln.Close()
	control, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Setenv(controlVariable, control.Addr().String())
	out := make(chan *process, 9)
	go func() {
		for {
			nc, err := control.Accept()
			if err != nil {
				return
			}
			go func() {
				p := &process{nc, make(chan string, 9)}
				defer close(p.lines)
				lines := bufio.NewScanner(nc)
				if lines.Scan() && strings.HasPrefix(lines.Text(), "begun ") {
					for out <- p; lines.Scan(); {
						p.lines <- lines.Text()
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { cancel(); control.Close(); s.ln.Close() })
	return s, cancel, out
}

// next returns the next process that is started.
func next(t *testing.T, processes <-chan *process) *process {
	select {
	case p := <-processes:
		return p
	case <-time.After(timeout):
		require.Fail(t, "no process was started")
		return nil
	}
}

// startServing starts the supervisor's first process.
func startServing(t *testing.T, s *supervisor, processes <-chan *process) *process {
	var wait sync.WaitGroup
	wait.Go(func() { assert.NoError(t, s.startFirst()) })
	p := next(t, processes)
	p.send("ready")
	wait.Wait()
	return p
}

func (s *supervisor) applyAll(t *testing.T, changes release.Versions) {
	for kind, digest := range changes {
		s.tasks.Go(func() {
			s.apply(permits.ApplyRelease{Assignment: permits.Assignment{Changes: kind, Digest: digest}, UntilMs: 1e12})
		})
	}
}

// Guards against a door that runs a release which was taken back while its new process was starting (review/2).
func TestAChangeThatIsNoLongerAllowedIsDiscarded(t *testing.T) {
	s, _, processes := supervisedWith(t, permits.DiscardRelease{})
	first := startServing(t, s, processes)
	s.applyAll(t, release.Versions{release.Configuration: s.addRelease(t, `{}`)})
	second := next(t, processes)
	second.send("ready")
	second.expect(t, "terminated")
	second.exit(t)
	s.mu.Lock()
	assert.Empty(t, s.runs)
	assert.Empty(t, s.failed, "nothing speaks against the release itself")
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	first.expect(t, "terminated") // not before
	first.exit(t)
	<-ended
}

// Guards against a running door that neither ends at SIGTERM nor answers what it accepts, because a released program that ended at
// once left the shared listener blocking. The test takes the part of the running door.
func TestAProcessThatEndsAtOnceLeavesTheRunningDoorsAcceptInterruptible(t *testing.T) {
	s, _, _ := supervised(t)
	ln, err := net.FileListener(s.ln) // shares the open file, and so its mode, with s.ln and with every process
	require.NoError(t, err)
	accepted, ended := make(chan net.Conn), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- nc
		}
	}()
	program := s.addRelease(t, "#!/bin/sh\nexit 1\n")
	_, err = s.start(release.Versions{release.Program: program})
	require.Error(t, err)
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	(<-accepted).Close() // the next accept is made by the mode that the process left
	closed := make(chan struct{})
	go func() { ln.Close(); close(closed) }()
	for what, done := range map[string]chan struct{}{"close": closed, "accept": ended} {
		select {
		case <-done:
		case <-time.After(timeout):
			require.Fail(t, "still blocked", what)
		}
	}
}

// The supervisor shuts down while a new process is starting. The process has the listener and may already hold requests of
// clients, so it is not killed, and the supervisor waits for it.
func TestShutdownWaitsForAProcessThatIsStarting(t *testing.T) {
	s, stop, processes := supervised(t)
	first := startServing(t, s, processes)
	s.applyAll(t, release.Versions{release.Configuration: s.addRelease(t, `{}`)})
	second := next(t, processes)
	stop()
	second.expect(t, "terminated")
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	first.expect(t, "terminated")
	first.exit(t)
	select {
	case <-ended:
		assert.Fail(t, "the supervisor returned before its second process exited")
	case <-time.After(100 * time.Millisecond):
	}
	second.exit(t)
	<-ended
}

// As above, but the new process becomes ready during the shutdown.
func TestAProcessThatBecomesReadyDuringShutdownIsStopped(t *testing.T) {
	s, _, processes := supervised(t)
	first := startServing(t, s, processes)
	s.applyAll(t, release.Versions{release.Configuration: s.addRelease(t, `{}`)})
	second := next(t, processes)
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	first.expect(t, "terminated") // the shutdown has begun, but the change has not noticed
	second.send("ready")
	second.expect(t, "terminated")
	second.exit(t)
	first.exit(t)
	<-ended
}

// The current process exits while a change starts another one. The restart that replaces it completes after the change, so
// the restarted process is stopped and does not serve beside the new one.
func TestARestartSupersededByAChangeIsStopped(t *testing.T) {
	s, _, processes := supervised(t)
	first := startServing(t, s, processes)
	digest := s.addRelease(t, `{}`)
	s.applyAll(t, release.Versions{release.Configuration: digest})
	second := next(t, processes)
	first.exit(t)
	third := next(t, processes) // restarted in place of the first one
	second.send("ready")
	for s.configuration() != digest {
		time.Sleep(time.Millisecond)
	}
	third.send("ready")
	third.expect(t, "terminated")
	third.exit(t)
	assert.Equal(t, digest, s.configuration())
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	second.expect(t, "terminated")
	second.exit(t)
	<-ended
}

func (s *supervisor) configuration() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[release.Configuration]
}

// A SIGHUP that arrives while a process is being started is forwarded once the process handles signals, because the process may
// have read its file before the file was replaced. A released configuration is merged over the new file.
func TestASIGHUPDuringAStartReachesTheNewProcess(t *testing.T) {
	s, _, processes := supervised(t)
	first := startServing(t, s, processes)
	digest := s.addRelease(t, `{"pace":{"linger_ms":900}}`)
	s.applyAll(t, release.Versions{release.Configuration: digest})
	second := next(t, processes)
	raw, err := os.ReadFile(s.baseFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(s.baseFile, []byte(strings.Replace(string(raw), `"discovery":`, `"discovery":"127.0.0.1:4","odd":`, 1)), filePerm))
	s.reload()
	first.expect(t, "hangup")
	second.send("ready")
	second.expect(t, "hangup")
	made, err := os.ReadFile(filepath.Join(s.dir, "door-"+digest+".json"))
	require.NoError(t, err)
	assert.Contains(t, string(made), "127.0.0.1:4")
	first.expect(t, "terminated")
	first.exit(t)
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	second.expect(t, "terminated")
	second.exit(t)
	<-ended
}

func TestShutdownLeavesNoListenerOpen(t *testing.T) {
	s, _, processes := supervised(t)
	ln, err := net.FileListener(s.ln)
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	first := startServing(t, s, processes)
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	first.expect(t, "terminated")
	first.send("close listener")
	first.expect(t, "closed")
	_, err = net.DialTimeout("tcp", addr, timeout)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED, "the last process has closed its listener")
	first.exit(t)
	<-ended
}

func TestShutdownSignalsAllProcessesWhileTheDirectoryHangs(t *testing.T) {
	s, _, processes := supervised(t)
	unblock, writing := make(chan struct{}), make(chan struct{}, 9)
	first := startServing(t, s, processes)
	digest := s.addRelease(t, `{}`)
	s.write = func(path string, raw []byte) error {
		if filepath.Base(path) == stateFile {
			writing <- struct{}{}
			<-unblock
		}
		return writeAtomic(path, raw)
	}
	s.applyAll(t, release.Versions{release.Configuration: digest})
	second := next(t, processes)
	second.send("ready")
	<-writing
	first.expect(t, "terminated")
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	second.expect(t, "terminated")
	close(unblock)
	first.exit(t)
	second.exit(t)
	<-ended
}

func TestAProcessCanBePreparedWhileTheDirectoryIsNotWritable(t *testing.T) {
	s := newSupervisor(t)
	runs := release.Versions{release.Configuration: s.addRelease(t, `{"pace":{"linger_ms":900}}`)}
	_, file, err := s.prepare(runs)
	require.NoError(t, err)
	s.write = func(string, []byte) error { return syscall.ENOSPC }
	_, again, err := s.prepare(runs)
	require.NoError(t, err)
	assert.Equal(t, file, again)
	s.runs = runs
	s.saveState() // the error is logged and the door continues
}

func TestAStartSurvivesTransientDirectoryErrors(t *testing.T) {
	s, _, processes := supervised(t)
	s.runs = release.Versions{release.Configuration: s.addRelease(t, `{}`)}
	fails := 2
	s.write = func(path string, raw []byte) error {
		if fails--; fails >= 0 {
			return &os.PathError{Op: "fsync", Path: path, Err: syscall.EIO}
		}
		return writeAtomic(path, raw)
	}
	first := startServing(t, s, processes)
	assert.NotEmpty(t, s.configuration(), "it runs what the door ran last")
	assert.Empty(t, s.failed)
	ended := make(chan struct{})
	go func() { s.shutdown(); close(ended) }()
	first.expect(t, "terminated")
	first.exit(t)
	<-ended
}
