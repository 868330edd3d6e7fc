// Command rig2 holds the tests of the second review: one subcommand for each case. Every test starts the project's programs as
// processes, plays clients, backends and discovery beside them, and judges by what these can see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// rig is what a case has: a record, a temporary folder and the processes that it started.
type rig struct {
	trouble bool   // with the disruption
	dir     string // temporary folder
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
}

// newRig opens the record in a case's folder.
func newRig(folder string) (*rig, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: f}
	r.note("case in %s, with the disruption: %v", filepath.Base(folder), r.trouble)
	return r, nil
}

// ms is the time since the start of the case.
func (r *rig) ms() float64 { return float64(time.Since(r.start)) / 1e6 }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f ms  %s\n", r.ms(), fmt.Sprintf(format, args...))
}

// setupFailure is why a case could not run.
type setupFailure string

// cannot ends the case, as it cannot run. It does not return; its result lets it stand in a return statement.
func (r *rig) cannot(format string, args ...any) error {
	panic(setupFailure(fmt.Sprintf(format, args...)))
}

// proc is a process that the case started, with its log.
type proc struct {
	r    *rig
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// logged returns what the process has logged so far.
func (p *proc) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// run starts a command line from the repository's root by the shell, as the deploy file is run.
func (r *rig) run(name, line string, env ...string) (*proc, error) {
	p := &proc{r: r, name: name, cmd: exec.Command("/bin/sh", "-c", line), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + r.dir}, env...)...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.WaitDelay = time.Second
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.note("%s started: %s", name, line)
	go func() {
		err := p.cmd.Wait()
		r.note("%s has ended: %v", name, err)
		close(p.done)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	return p, nil
}

// signal sends a signal to a process.
func (p *proc) signal(s syscall.Signal) {
	p.r.note("%s is sent %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// ended reports whether a process ends within a time.
func (p *proc) ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// cleanUp ends all processes and removes the temporary folder.
func (r *rig) cleanUp() {
	r.mu.Lock()
	all := append([]*proc{}, r.procs...)
	r.mu.Unlock()
	for _, p := range all {
		select {
		case <-p.done:
			continue
		default:
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := time.Now().Add(6 * time.Second)
	for _, p := range all {
		if !p.ended(time.Until(limit)) {
			_ = p.cmd.Process.Kill()
			p.ended(2 * time.Second)
		}
	}
	for _, p := range all {
		r.note("log of %s:\n%s", p.name, p.logged())
	}
	os.RemoveAll(r.dir)
}

// file writes a JSON file into the temporary folder.
func (r *rig) file(name string, content any) (string, error) {
	raw, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, name)
	return path, os.WriteFile(path, raw, 0o600)
}

// freeAddress returns a loopback address that is free for TCP and UDP. The port is below those that the system hands out by itself, and is
// reserved, by a name that only one process can hold, against other cases that are played at the same time.
func freeAddress() (string, error) {
	for range 1000 {
		port := 12000 + rand.IntN(20000)
		held, err := net.Listen("unix", fmt.Sprintf("@swifthall/loopback/%d", port))
		if err != nil {
			continue
		}
		at := fmt.Sprintf("127.0.0.1:%d", port)
		if isFree(at) {
			reserved = append(reserved, held)
			return at, nil
		}
		held.Close()
	}
	panic(setupFailure("no free port"))
}

var reserved []net.Listener // of the ports that freeAddress has returned, until the case has ended

// isFree reports whether an address is free for TCP and UDP.
func isFree(at string) bool {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return false
	}
	ln.Close()
	pc, err := net.ListenPacket("udp", at)
	if err != nil {
		return false
	}
	pc.Close()
	return true
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// obj is a JSON object.
type obj = map[string]any

// doorConfig returns a configuration like that of a small deployment: three classes, one of each effect, and a plan whose quota is far
// beyond what a case sends.
func doorConfig(name, listen, discovery string) obj {
	return obj{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": obj{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": obj{
			"fleet_size": 1, "my_number": 0,
			"profiles": []obj{
				{"name": "look", "aim": 1, "give_up": 4, "semantics": "idempotent", "late_value": 0.2, "worth": 1},
				{"name": "book", "aim": 1, "give_up": 4, "semantics": "deduplicated", "dedup_scope": "all", "window": 5, "late_value": 0.2, "worth": 3},
				{"name": "pay", "aim": 1, "give_up": 4, "semantics": "at_most_once", "late_value": 0.2, "worth": 3},
			},
			"tariffs": []obj{{"name": "team", "rate": 1000, "depth": 2000, "pays": 1}},
			"extra":   obj{"counter": false, "units_top": 8},
			"limits": obj{"cancel": true, "second_copies": true, "max_attempts": 4, "retry_after": true, "max_retry_after": 0.5,
				"conn_idle": 15, "connect_timeout": 0.25},
			"safety": obj{"cold_from": 0.25, "cold": 10, "fall_multiple": 4, "tip_after": 1.5, "drain_grace": 0.5, "answer_slack": 0.016},
		},
	}
}
