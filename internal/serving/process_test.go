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

// Doors as processes: this test's program serves as one where it is told to.

const (
	processVariable = "SERVING_TEST_DOOR"
	patience        = 30 * time.Second
)

var restarts = flag.Int("restarts", 0, "how many restarts to measure for each state of discovery; 0 for a few")

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

// place is where doors run: their file, a backend that answers when it may, and a discovery that does as the test says.
type place struct {
	file, listen string
	came         chan string   // at the backend
	may          chan struct{} // closed when it may answer
}

func placed(t *testing.T, discovery func(backend string) func(net.Conn)) *place {
	p := &place{came: make(chan string, 99), may: make(chan struct{})}
	backend := loopbacktest.Serve(t, func(nc net.Conn) {
		defer nc.Close()
		for r := bufio.NewReader(nc); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			p.came <- req.Header.Get("X-Txn")
			<-p.may
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

// tells is a discovery that knows one backend.
func tells(backend string) func(net.Conn) {
	return func(nc net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			line := fmt.Sprintf(`{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"Ready","weight":1}]}`, backend)
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(line)+1, line)
		}
	}
}

// process is a door's. It has its listener from the test, so that nobody else can have its port.
type process struct {
	cmd   *exec.Cmd
	addr  string
	ready chan time.Duration // closed with nothing where it ended before
	ended chan error
	log   *strings.Builder
}

func (p *place) start(t *testing.T) *process {
	ln, err := net.Listen("tcp", p.listen)
	require.NoError(t, err)
	file, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	defer file.Close()
	heard, tell, err := os.Pipe()
	require.NoError(t, err)
	d := &process{cmd: exec.Command(os.Args[0]), addr: ln.Addr().String(), ready: make(chan time.Duration, 1), ended: make(chan error, 1), log: &strings.Builder{}}
	d.cmd.Env = append(os.Environ(), processVariable+"=1", "GW_CONFIG="+p.file, ListenerVariable+"=3", ReadyVariable+"=4")
	d.cmd.ExtraFiles, d.cmd.Stderr, d.cmd.Stdout = []*os.File{file, tell}, d.log, d.log
	begun := time.Now()
	require.NoError(t, d.cmd.Start())
	ln.Close()
	tell.Close()
	go func() {
		defer close(d.ready)
		defer heard.Close()
		if n, _ := heard.Read(make([]byte, 1)); n == 1 {
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
	case took, is := <-d.ready:
		require.True(t, is, "it ended before it was ready:\n%s", d.log)
		return took
	case <-time.After(patience):
		require.Fail(t, "never ready")
		return 0
	}
}

func (d *process) hasEnded(t *testing.T) {
	select {
	case err := <-d.ended:
		assert.NoError(t, err, "%s", d.log)
	case <-time.After(patience):
		require.Fail(t, "never ended")
	}
}

// Signals in any order, twice, and at once: what was taken is answered, what comes in the time after is served, and the
// process ends by itself with no fault.
func TestSignalsInAnyOrder(t *testing.T) {
	const term, hup = syscall.SIGTERM, syscall.SIGHUP
	for name, all := range map[string][]syscall.Signal{"once": {term}, "twice": {term, term}, "read again first": {hup, term},
		"read again after": {term, hup}, "all of them": {hup, term, hup, term, term, hup}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := placed(t, tells)
			d := p.start(t)
			d.isReady(t)
			nc, err := net.Dial("tcp", d.addr)
			require.NoError(t, err)
			defer nc.Close()
			io.WriteString(nc, "GET /look?key=0000000000000001 HTTP/1.1\r\nHost: d\r\nX-Txn: a1\r\nX-Tariff: team\r\nX-Remaining: 2000m\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n")
			<-p.came
			d.signals(t, all...)
			close(p.may)
			nc.SetReadDeadline(time.Now().Add(patience))
			res, err := http.ReadResponse(bufio.NewReader(nc), nil)
			require.NoError(t, err, "%s", d.log)
			assert.Equal(t, http.StatusOK, res.StatusCode)
			d.hasEnded(t)
		})
	}
}

// SIGTERM before the door can serve: discovery has taken its call and says nothing.
func TestSIGTERMBeforeReady(t *testing.T) {
	called := make(chan struct{}, 99)
	p := placed(t, func(string) func(net.Conn) {
		return func(nc net.Conn) { called <- struct{}{} }
	})
	d := p.start(t)
	select {
	case <-called:
	case <-time.After(patience):
		require.Fail(t, "never called")
	}
	d.signals(t, syscall.SIGTERM)
	d.hasEnded(t)
	_, was := <-d.ready
	assert.False(t, was)
}

// A file that can't be used leaves all as it was on SIGHUP, and the log names the key.
func TestAFileThatCannotBeUsedIsNotTaken(t *testing.T) {
	p := placed(t, tells)
	close(p.may)
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

// Nine in ten restarted processes are ready within 10 s: singly and thirty at once, with discovery up, slow, and down for 8 s
// into their start. Run with -restarts 100 it measures; without, it looks at a few.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	const slow, down, most = 2 * time.Second, 8 * time.Second, 10 * time.Second
	after := func(wait time.Duration) func(string) func(net.Conn) {
		return func(backend string) func(net.Conn) {
			back := time.Now().Add(wait)
			return func(nc net.Conn) {
				if time.Now().Before(back) { // it takes the call, and never answers it
					return
				}
				tells(backend)(nc)
			}
		}
	}
	slowly := func(backend string) func(net.Conn) {
		return func(nc net.Conn) {
			time.Sleep(slow / 4)
			tells(backend)(nc)
		}
	}
	all, crowd := *restarts, 30
	if all == 0 {
		all, crowd = 6, 3
	}
	for _, c := range []struct {
		name      string
		discovery func(string) func(net.Conn)
		at        int // once
		n         int
	}{{"up, singly", tells, 1, all}, {"up, at once", tells, crowd, all}, {"slow, at once", slowly, crowd, all},
		{"down for 8 s, at once", nil, crowd, all}} {
		t.Run(c.name, func(t *testing.T) {
			var took []time.Duration
			for len(took) < c.n {
				with := c.discovery
				if with == nil {
					with = after(down)
				}
				p := placed(t, with)
				var mu sync.Mutex
				var wait sync.WaitGroup
				for range min(c.at, c.n-len(took)) {
					d := p.start(t)
					wait.Go(func() {
						one, is := <-d.ready
						if !is {
							one = patience
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
			assert.Less(t, at(0.9), most)
		})
	}
}
