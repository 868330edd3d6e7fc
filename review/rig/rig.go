// Command rig plays the cases of the review: it starts the project's own programs as processes on loopback addresses, with stand-ins
// for clients, backends and discovery, and judges what can be seen from outside. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds everything that a case has started.
type rig struct {
	dir    string // temporary folder, removed at the end
	root   string // the repository's root
	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*proc
	held   []net.Listener // keep ports apart until all are drawn
}

// proc is one process of the project.
type proc struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	exit string // valid once done is closed
}

// cannotRun is the panic value of a case that could not run.
type cannotRun string

func (r *rig) ms() float64 { return float64(time.Since(r.began)) / 1e6 }

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f ms  %s\n", r.ms(), strings.ReplaceAll(fmt.Sprintf(format, args...), r.dir, "DIR"))
}

func (r *rig) fatal(format string, args ...any) {
	panic(cannotRun(fmt.Sprintf(format, args...)))
}

// addr draws a free loopback address. release frees all of them for the processes.
func (r *rig) addr() string {
	for {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			r.fatal("a port: %v", err)
		}
		r.held = append(r.held, ln)
		if udp, err := net.ListenPacket("udp4", ln.Addr().String()); err == nil { // the fleet's address is for both
			udp.Close()
			return ln.Addr().String()
		}
	}
}

func (r *rig) release() {
	for _, ln := range r.held {
		ln.Close()
	}
	r.held = nil
}

// file writes a file of the temporary folder and returns its path.
func (r *rig) file(name string, v any) string {
	raw, is := v.([]byte)
	if !is {
		var err error
		if raw, err = json.MarshalIndent(v, "", "  "); err != nil {
			r.fatal("%s: %v", name, err)
		}
	}
	path := filepath.Join(r.dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		r.fatal("%v", err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		r.fatal("%v", err)
	}
	return path
}

// start runs a command line as the deploy file's run does: by /bin/sh -c from the root.
func (r *rig) start(name, line string, env ...string) *proc {
	p := &proc{name: name, log: filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", name, len(r.procs))), done: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		r.fatal("%v", err)
	}
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", line)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.root, out, out
	p.cmd.Env = append(os.Environ(), append([]string{"GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY="}, env...)...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		r.fatal("%s: %v", name, err)
	}
	r.note("started %s (pid %d): %s", name, p.cmd.Process.Pid, strings.ReplaceAll(line, r.dir, "DIR"))
	go func() {
		_ = p.cmd.Wait()
		p.exit = p.cmd.ProcessState.String()
		r.note("%s (pid %d) ended: %s", name, p.cmd.Process.Pid, p.exit)
		close(p.done)
	}()
	r.procs = append(r.procs, p)
	return p
}

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// logText returns what a process wrote so far.
func (p *proc) logText() string {
	raw, _ := os.ReadFile(p.log)
	return string(raw)
}

func (r *rig) signal(p *proc, s syscall.Signal) {
	r.note("%s to %s (pid %d)", s, p.name, p.cmd.Process.Pid)
	_ = p.cmd.Process.Signal(s)
}

// stopAll ends all processes, and those that they started.
func (r *rig) stopAll() {
	var all []int
	for _, p := range r.procs {
		if !p.ended() {
			all = append(all, p.cmd.Process.Pid)
		}
	}
	for i := 0; i < len(all); i++ {
		all = append(all, children(all[i])...)
	}
	for _, s := range []syscall.Signal{syscall.SIGCONT, syscall.SIGTERM} {
		for _, p := range r.procs {
			if !p.ended() {
				_ = p.cmd.Process.Signal(s)
			}
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		alive := false
		for _, p := range r.procs {
			alive = alive || !p.ended()
		}
		if !alive {
			break
		}
	}
	for _, pid := range all {
		if cmdline, _ := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid)); bytes.Contains(cmdline, []byte("swifthall")) {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	for _, p := range r.procs {
		<-p.done
	}
}

// children lists the processes that a process has started.
func children(pid int) (all []int) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	for _, t := range tasks {
		raw, _ := os.ReadFile(t)
		for _, f := range strings.Fields(string(raw)) {
			if n, err := strconv.Atoi(f); err == nil {
				all = append(all, n)
			}
		}
	}
	return all
}

// await polls a condition and reports whether it held in time.
func await(within time.Duration, is func() bool) bool {
	for end := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		if is() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// ---- Coordinators ----

// coordinators is a set of coordinators with their configurations.
type coordinators struct {
	r      *rig
	names  []string
	apis   []string
	files  []string
	procs  []*proc
	atFlag string
}

// newCoordinators writes the configurations of n coordinators. extend may add keys.
func (r *rig) newCoordinators(n int, extend func(name string, cfg map[string]any)) *coordinators {
	c := &coordinators{r: r}
	var peers, at []string
	var listens []string
	for i := range n {
		name := fmt.Sprintf("c-%d", i+1)
		c.names, c.apis, listens = append(c.names, name), append(c.apis, r.addr()), append(listens, r.addr())
		peers, at = append(peers, name+"/"+listens[i]), append(at, name+"/"+c.apis[i])
	}
	for i, name := range c.names {
		cfg := map[string]any{"name": name, "fleet": "prod", "listen": listens[i], "api": c.apis[i], "data": filepath.Join(r.dir, "data-"+name), "peers": peers,
			"log": map[string]string{"level": "info", "format": "text"}}
		if extend != nil {
			extend(name, cfg)
		}
		c.files = append(c.files, r.file(name+".json", cfg))
	}
	c.procs, c.atFlag = make([]*proc, n), strings.Join(at, ",")
	return c
}

func (c *coordinators) start(i int) {
	c.procs[i] = c.r.start(c.names[i], "exec bin/swifthall coordinate --config "+c.files[i])
}

// cli runs an operator's command and returns its output and exit code.
func (c *coordinators) cli(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(c.r.root, "bin/swifthall"), args...)
	cmd.Env = append(os.Environ(), "SWIFTHALL_COORDINATORS="+c.atFlag, "GW_CONFIG=")
	out, err := cmd.CombinedOutput()
	code := 0
	if err != nil {
		code = -1
		if e, is := err.(*exec.ExitError); is {
			code = e.ExitCode()
		}
	}
	return string(out), code
}

// must runs an operator's command, which has to be accepted within the given time.
func (c *coordinators) must(within time.Duration, args ...string) string {
	var out string
	var code int
	if !await(within, func() bool { out, code = c.cli(args...); return code == 0 }) {
		c.r.fatal("swifthall %s: %s", strings.Join(args, " "), out)
	}
	c.r.note("$ swifthall %s -> %s", strings.ReplaceAll(strings.Join(args, " "), c.r.dir, "DIR"), strings.TrimSpace(out))
	return out
}

// status is what the cases read of a coordinator's status.
type status struct {
	Self, Leader string
	Current      bool
	Units        []struct {
		Kind, Name string
		Standing   int
		Out        bool `json:"out"`
	} `json:"units"`
	Places []struct {
		Number  uint64
		Unit    struct{ Kind, Name string }
		Order   bool
		Over    bool
		Drained bool     `json:"drained"`
		Waiting []string `json:"waiting"`
	} `json:"places"`
	Releases []struct {
		Name   string            `json:"name"`
		Stage  string            `json:"stage"`
		Says   string            `json:"says"`
		Failed map[string]string `json:"failed"`
	} `json:"releases"`
	Runs map[string]map[string]string `json:"runs"`
}

// status asks for the state that a majority confirms; nil if there is none.
func (c *coordinators) status() *status {
	out, code := c.cli("status", "--json", "--patience", "2s")
	var st status
	if code != 0 || json.Unmarshal([]byte(out), &st) != nil {
		return nil
	}
	return &st
}

// own asks one coordinator alone what it holds; nil if it does not answer within a second.
func (c *coordinators) own(i int) *status {
	cl := http.Client{Timeout: time.Second}
	resp, err := cl.Get("http://" + c.apis[i] + "/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	var st status
	if err != nil || json.Unmarshal(raw, &st) != nil {
		return nil
	}
	return &st
}

// ready counts the units of a kind that stand ready (3) in the agreed state.
func (st *status) ready(kind string) (n int) {
	if st == nil {
		return 0
	}
	for _, u := range st.Units {
		if u.Kind == kind && u.Standing == 3 {
			n++
		}
	}
	return n
}

// stage returns the stage of a release and its reason.
func (st *status) stage(name string) (stage, says string) {
	if st != nil {
		for _, x := range st.Releases {
			if x.Name == name {
				stage, says = x.Stage, x.Says
			}
		}
	}
	return stage, says
}

// drained reports whether a backend's drain is in force and said to be complete.
func (st *status) drained(backend string) bool {
	if st != nil {
		for _, p := range st.Places {
			if p.Unit.Kind == "backend" && p.Unit.Name == backend && p.Order && !p.Over {
				return p.Drained
			}
		}
	}
	return false
}

// sha returns the digest under which a released file is named.
func sha(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
