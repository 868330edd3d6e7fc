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

// Crossings of the holder's steps: a process ends, a signal comes or the holder is told to end between two of them. The
// processes are real: this test's program, which tells the test what becomes of it and does what it is told.

const (
	controlVariable = "HOLDING_TEST_CONTROL"
	patience        = 20 * time.Second
)

func TestMain(m *testing.M) {
	if at := os.Getenv(controlVariable); at != "" && os.Getenv(serving.ListenerVariable) != "" {
		os.Exit(scripted(at))
	}
	os.Exit(m.Run())
}

// scripted is a door's process that does what the test says, and ends only then.
func scripted(at string) int {
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
		case "deaf":
			os.NewFile(listenerFD, "listener").Close()
			fmt.Fprintln(nc, "closed")
		case "end":
			return 0
		}
	}
	return 1
}

// process is the test's end of one.
type process struct {
	nc    net.Conn
	lines chan string // closed with the process
}

func (p *process) does(what string) { fmt.Fprintln(p.nc, what) }

func (p *process) told(t *testing.T, what string) {
	select {
	case line, lives := <-p.lines:
		require.True(t, lives, "it ended before it was told %q", what)
		require.Equal(t, what, line)
	case <-time.After(patience):
		require.Fail(t, "never told", what)
	}
}

func (p *process) ends(t *testing.T) {
	p.does("end")
	select {
	case line, lives := <-p.lines:
		require.False(t, lives, "%s", line)
	case <-time.After(patience):
		require.Fail(t, "never ended")
	}
}

// crossed is a holder with a listener of its own, and the processes that it starts.
func crossed(t *testing.T) (h *holder, stop func(), processes <-chan *process) {
	h = held(t)
	ctx, cancel := context.WithCancel(t.Context())
	h.ctx, h.events = ctx, make(chan any, waiting)
	h.began = time.Now()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.ln, err = ln.(*net.TCPListener).File()
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
	t.Cleanup(func() { cancel(); control.Close(); h.ln.Close() })
	return h, cancel, out
}

func next(t *testing.T, processes <-chan *process) *process {
	select {
	case p := <-processes:
		return p
	case <-time.After(patience):
		require.Fail(t, "no process was started")
		return nil
	}
}

// serves starts the holder's first process.
func serves(t *testing.T, h *holder, processes <-chan *process) *process {
	var wait sync.WaitGroup
	wait.Go(func() { assert.NoError(t, h.first()) })
	p := next(t, processes)
	p.does("ready")
	wait.Wait()
	return p
}

func (h *holder) takes(t *testing.T, what release.Versions) {
	for kind, digest := range what {
		h.steps.Go(func() {
			h.take(permits.ApplyRelease{Assignment: permits.Assignment{Changes: kind, Digest: digest}, UntilMs: 1e12})
		})
	}
}

// The holder is told to end while a new process is on its way. That one has the listener and may hold requests of clients:
// it leaves in its own time, and the holder stays for it.
func TestAProcessThatIsBeingStartedLeavesInItsOwnTime(t *testing.T) {
	h, stop, processes := crossed(t)
	first := serves(t, h, processes)
	h.takes(t, release.Versions{release.Configuration: h.give(t, `{}`)})
	second := next(t, processes)
	stop()
	second.told(t, "terminated")
	ended := make(chan struct{})
	go func() { h.end(); close(ended) }()
	first.told(t, "terminated")
	first.ends(t)
	select {
	case <-ended:
		assert.Fail(t, "the holder went before its second process")
	case <-time.After(100 * time.Millisecond):
	}
	second.ends(t)
	<-ended
}

// The same where the new process gets ready in that instant.
func TestAProcessThatGetsReadyAsTheHolderEndsLeavesToo(t *testing.T) {
	h, _, processes := crossed(t)
	first := serves(t, h, processes)
	h.takes(t, release.Versions{release.Configuration: h.give(t, `{}`)})
	second := next(t, processes)
	ended := make(chan struct{})
	go func() { h.end(); close(ended) }()
	first.told(t, "terminated") // the holder is ending, the change does not know it yet
	second.does("ready")
	second.told(t, "terminated")
	second.ends(t)
	first.ends(t)
	<-ended
}

// The process that serves ends by itself while a change starts another. What is started in its place comes too late, and is
// not served by beside the changed one.
func TestAStartThatAChangeOvertookIsTakenBack(t *testing.T) {
	h, _, processes := crossed(t)
	first := serves(t, h, processes)
	digest := h.give(t, `{}`)
	h.takes(t, release.Versions{release.Configuration: digest})
	second := next(t, processes)
	first.ends(t)
	third := next(t, processes) // in the first one's place
	second.does("ready")
	for h.serving() != digest {
		time.Sleep(time.Millisecond)
	}
	third.does("ready")
	third.told(t, "terminated")
	third.ends(t)
	assert.Equal(t, digest, h.serving())
	ended := make(chan struct{})
	go func() { h.end(); close(ended) }()
	second.told(t, "terminated")
	second.ends(t)
	<-ended
}

func (h *holder) serving() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[release.Configuration]
}

// A SIGHUP that comes while a process is being started reaches it once it listens to signals: it may have read its file before
// that was replaced. What is laid over the door's own file is laid over the new one.
func TestASIGHUPDuringAStartReachesTheNewProcess(t *testing.T) {
	h, _, processes := crossed(t)
	first := serves(t, h, processes)
	digest := h.give(t, `{"pace":{"linger_ms":900}}`)
	h.takes(t, release.Versions{release.Configuration: digest})
	second := next(t, processes)
	raw, err := os.ReadFile(h.base)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(h.base, []byte(strings.Replace(string(raw), `"discovery":`, `"discovery":"127.0.0.1:4","odd":`, 1)), private))
	h.reload()
	first.told(t, "hangup")
	second.does("ready")
	second.told(t, "hangup")
	made, err := os.ReadFile(filepath.Join(h.folder, "door-"+digest+".json"))
	require.NoError(t, err)
	assert.Contains(t, string(made), "127.0.0.1:4")
	first.told(t, "terminated")
	first.ends(t)
	ended := make(chan struct{})
	go func() { h.end(); close(ended) }()
	second.told(t, "terminated")
	second.ends(t)
	<-ended
}

func TestAHolderThatEndsKeepsNoQueueThatNobodyServes(t *testing.T) {
	h, _, processes := crossed(t)
	ln, err := net.FileListener(h.ln)
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	first := serves(t, h, processes)
	ended := make(chan struct{})
	go func() { h.end(); close(ended) }()
	first.told(t, "terminated")
	first.does("deaf")
	first.told(t, "closed")
	_, err = net.DialTimeout("tcp", addr, patience)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED, "its last process has closed the listener")
	first.ends(t)
	<-ended
}

func TestEveryProcessIsToldToLeaveAtOnceWhileTheFolderHangs(t *testing.T) {
	h, _, processes := crossed(t)
	hangs, asked := make(chan struct{}), make(chan struct{}, 9)
	first := serves(t, h, processes)
	digest := h.give(t, `{}`)
	h.write = func(path string, raw []byte) error {
		if filepath.Base(path) == stateName {
			asked <- struct{}{}
			<-hangs
		}
		return writeWhole(path, raw)
	}
	h.takes(t, release.Versions{release.Configuration: digest})
	second := next(t, processes)
	second.does("ready")
	<-asked
	first.told(t, "terminated")
	ended := make(chan struct{})
	go func() { h.end(); close(ended) }()
	second.told(t, "terminated")
	close(hangs)
	first.ends(t)
	second.ends(t)
	<-ended
}

func TestAProcessStartsAgainWhileTheFolderCannotBeWritten(t *testing.T) {
	h := held(t)
	runs := release.Versions{release.Configuration: h.give(t, `{"pace":{"linger_ms":900}}`)}
	_, file, err := h.prepare(runs)
	require.NoError(t, err)
	h.write = func(string, []byte) error { return syscall.ENOSPC }
	_, again, err := h.prepare(runs)
	require.NoError(t, err)
	assert.Equal(t, file, again)
	h.save(runs) // told in the log, and the door runs on
}

func TestAStartIsNotRefusedForAFolderThatFailsForAMoment(t *testing.T) {
	h, _, processes := crossed(t)
	h.runs = release.Versions{release.Configuration: h.give(t, `{}`)}
	fails := 2
	h.write = func(path string, raw []byte) error {
		if fails--; fails >= 0 {
			return &os.PathError{Op: "fsync", Path: path, Err: syscall.EIO}
		}
		return writeWhole(path, raw)
	}
	first := serves(t, h, processes)
	assert.NotEmpty(t, h.serving(), "it runs what it ran last")
	assert.Empty(t, h.failed)
	ended := make(chan struct{})
	go func() { h.end(); close(ended) }()
	first.told(t, "terminated")
	first.ends(t)
	<-ended
}
