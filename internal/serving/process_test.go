package serving

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/loopback/loopbacktest"
)

// These tests run doors as processes: the test binary serves as a door if processVariable is set.

const (
	processVariable = "SERVING_TEST_DOOR"
	timeout         = 30 * time.Second
)

var restarts = flag.Int("restarts", 0, "number of restarts to measure for each state of discovery; 0 for a few")

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		if err := Door(LogFlags{}, nil, nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// environment holds what doors need to run: a configuration file, a backend that answers when the test allows it, and a
// discovery server that the test provides.
type environment struct {
	file, listen string
	arrived      chan string   // ids of requests that have reached the backend
	release      chan struct{} // closed to let the backend answer
}

func newEnvironment(t *testing.T, discovery func(backend string) func(net.Conn)) *environment {
	p := &environment{arrived: make(chan string, 99), release: make(chan struct{})}
	backend := loopbacktest.Serve(t, func(nc net.Conn) {
		defer nc.Close()
		for r := bufio.NewReader(nc); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			p.arrived <- req.Header.Get("X-Txn")
			<-p.release
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		}
	})
	raw, err := os.ReadFile("../../examples/config.json")
	require.NoError(t, err)
	var cfg map[string]any
	require.NoError(t, json.Unmarshal(raw, &cfg))
	p.listen = "127.0.0.1:0"
	cfg["listen"], cfg["discovery"] = p.listen, loopbacktest.Serve(t, discovery(backend))
	raw, err = json.Marshal(cfg)
	require.NoError(t, err)
	p.file = filepath.Join(t.TempDir(), "door.json")
	require.NoError(t, os.WriteFile(p.file, raw, 0o600))
	return p
}

// listing is a discovery server that lists one backend.
func listing(backend string) func(net.Conn) {
	return func(nc net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			line := fmt.Sprintf(`{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"Ready","weight":1}]}`, backend)
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		}
	}
}

// process is a door's process. It inherits its listener from the test, so that no other process can take its port.
type process struct {
	cmd   *exec.Cmd
	addr  string
	ready chan time.Duration // closed without a value if the process exits before it is ready
	ended chan error
	log   *strings.Builder
}

func (p *environment) start(t *testing.T) *process {
	ln, err := net.Listen("tcp", p.listen)
	require.NoError(t, err)
	file, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	defer file.Close()
	readEnd, writeEnd, err := os.Pipe()
	require.NoError(t, err)
	d := &process{cmd: exec.Command(os.Args[0]), addr: ln.Addr().String(), ready: make(chan time.Duration, 1), ended: make(chan error, 1), log: &strings.Builder{}}
	d.cmd.Env = append(os.Environ(), processVariable+"=1", "GW_CONFIG="+p.file, ListenerVariable+"=3", ReadyVariable+"=4")
	d.cmd.ExtraFiles, d.cmd.Stderr, d.cmd.Stdout = []*os.File{file, writeEnd}, d.log, d.log
	begun := time.Now()
	require.NoError(t, d.cmd.Start())
	ln.Close()
	writeEnd.Close()
	go func() {
		defer close(d.ready)
		defer readEnd.Close()
		if n, _ := readEnd.Read(make([]byte, 1)); n == 1 {
			d.ready <- time.Since(begun)
		}
	}()
	go func() { d.ended <- d.cmd.Wait() }()
	t.Cleanup(func() { d.cmd.Process.Kill() })
	return d
}

func (d *process) signals(t *testing.T, all ...syscall.Signal) {
	for _, s := range all {
		require.NoError(t, d.cmd.Process.Signal(s))
	}
}

func (d *process) isReady(t *testing.T) time.Duration {
	select {
	case took, ok := <-d.ready:
		require.True(t, ok, "the process exited before it was ready:\n%s", d.log)
		return took
	case <-time.After(timeout):
		require.Fail(t, "the process did not become ready")
		return 0
	}
}

func (d *process) hasEnded(t *testing.T) {
	select {
	case err := <-d.ended:
		assert.NoError(t, err, "%s", d.log)
	case <-time.After(timeout):
		require.Fail(t, "the process did not exit")
	}
}

// Signals in any order, repeated or in quick succession: accepted requests are answered, requests during the linger period are
// served, and the process exits without an error.
func TestSignalsInAnyOrder(t *testing.T) {
	const term, hup = syscall.SIGTERM, syscall.SIGHUP
	for name, all := range map[string][]syscall.Signal{"once": {term}, "twice": {term, term}, "reload first": {hup, term},
		"reload after": {term, hup}, "mixed": {hup, term, hup, term, term, hup}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEnvironment(t, listing)
			d := p.start(t)
			d.isReady(t)
			nc, err := net.Dial("tcp", d.addr)
			require.NoError(t, err)
			defer nc.Close()
			io.WriteString(nc, "GET /look?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 2000m\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n")
			<-p.arrived
			d.signals(t, all...)
			close(p.release)
			nc.SetReadDeadline(time.Now().Add(timeout))
			res, err := http.ReadResponse(bufio.NewReader(nc), nil)
			require.NoError(t, err, "%s", d.log)
			assert.Equal(t, http.StatusOK, res.StatusCode)
			d.hasEnded(t)
		})
	}
}

// SIGTERM before the door is ready: discovery has accepted the connection and sends nothing.
func TestSIGTERMBeforeReady(t *testing.T) {
	called := make(chan struct{}, 99)
	p := newEnvironment(t, func(string) func(net.Conn) {
		return func(nc net.Conn) { called <- struct{}{} }
	})
	d := p.start(t)
	select {
	case <-called:
	case <-time.After(timeout):
		require.Fail(t, "discovery was not called")
	}
	d.signals(t, syscall.SIGTERM)
	d.hasEnded(t)
	_, ok := <-d.ready
	assert.False(t, ok)
}

// On SIGHUP an invalid file leaves the configuration unchanged, and the log names the key.
func TestAnInvalidFileIsNotApplied(t *testing.T) {
	p := newEnvironment(t, listing)
	close(p.release)
	d := p.start(t)
	d.isReady(t)
	raw, err := os.ReadFile(p.file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(p.file, []byte(strings.Replace(string(raw), `"window":5`, `"window":0`, 1)), 0o600))
	d.signals(t, syscall.SIGHUP)
	nc, err := net.Dial("tcp", d.addr)
	require.NoError(t, err)
	defer nc.Close()
	io.WriteString(nc, "GET /look?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 2000m\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	d.signals(t, syscall.SIGTERM)
	d.hasEnded(t)
	assert.Contains(t, d.log.String(), "configuration left as it was")
	assert.Contains(t, d.log.String(), `settings.profiles[1].window`)
}

// Nine in ten restarted processes are ready within 10 s, one at a time or thirty at once, with discovery up, slow, or down for
// the first 8 s of the start. With -restarts 100 the test measures; by default it runs only a few restarts.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	const slow, down, limit = 2 * time.Second, 8 * time.Second, 10 * time.Second
	after := func(wait time.Duration) func(string) func(net.Conn) {
		return func(backend string) func(net.Conn) {
			back := time.Now().Add(wait)
			return func(nc net.Conn) {
				if time.Now().Before(back) { // the connection is accepted and never answered
					return
				}
				listing(backend)(nc)
			}
		}
	}
	slowly := func(backend string) func(net.Conn) {
		return func(nc net.Conn) {
			time.Sleep(slow / 4)
			listing(backend)(nc)
		}
	}
	total, concurrent := *restarts, 30
	if total == 0 {
		total, concurrent = 6, 3
	}
	for _, c := range []struct {
		name      string
		discovery func(string) func(net.Conn)
		at        int // number of processes started at once
		n         int
	}{{"up, singly", listing, 1, total}, {"up, at once", listing, concurrent, total}, {"slow, at once", slowly, concurrent, total},
		{"down for 8 s, at once", nil, concurrent, total}} {
		t.Run(c.name, func(t *testing.T) {
			var took []time.Duration
			for len(took) < c.n {
				discovery := c.discovery
				if discovery == nil {
					discovery = after(down)
				}
				p := newEnvironment(t, discovery)
				var mu sync.Mutex
				var wait sync.WaitGroup
				for range min(c.at, c.n-len(took)) {
					d := p.start(t)
					wait.Go(func() {
						one, ok := <-d.ready
						if !ok {
							one = timeout
						}
						mu.Lock()
						took = append(took, one)
						mu.Unlock()
						d.cmd.Process.Kill()
						<-d.ended
					})
				}
				wait.Wait()
			}
			slices.Sort(took)
			at := func(share float64) time.Duration { return took[min(len(took)-1, int(share*float64(len(took))))] }
			t.Logf("%d restarts: median %v, nine in ten %v, longest %v", len(took), at(0.5), at(0.9), took[len(took)-1])
			assert.Less(t, at(0.9), limit)
		})
	}
}
