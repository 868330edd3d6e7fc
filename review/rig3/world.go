package main

import (
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

// world is what one case has: a temporary folder, its processes, and the record.
type world struct {
	root, dir, command string
	trouble            bool
	host               string          // loopback address of this case alone
	given              map[string]bool // addresses given by free
	began              time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	listeners []net.Listener
}

func newWorld(root, record, command string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, command: command, trouble: trouble, began: time.Now(), record: f,
		host: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)), given: map[string]bool{}}, nil
}

// ms returns the time since the start of the case, in ms.
func (w *world) ms() float64 { return float64(time.Since(w.began)) / 1e6 }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.1f  %s\n", w.ms(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the folder.
func (w *world) close() {
	w.mu.Lock()
	all := w.processes
	for _, ln := range w.listeners {
		ln.Close()
	}
	w.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range all {
		p.awaitEnd(6 * time.Second)
		p.signal(syscall.SIGKILL)
		p.awaitEnd(2 * time.Second)
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}

// process is one process of the project.
type process struct {
	w    *world
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// start starts a program. A door is started by the deploy file's command, others by name.
func (w *world) start(name string, env []string, args ...string) (*process, error) {
	if len(args) == 0 {
		args = []string{"/bin/sh", "-c", w.command}
	}
	p := &process{w: w, name: name, cmd: exec.Command(args[0], args[1:]...), log: filepath.Join(w.dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd.Dir, p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = w.root, append(os.Environ(), env...), out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.note("started %s, process %d", name, p.cmd.Process.Pid)
	go func() {
		_ = p.cmd.Wait()
		w.note("%s ended: %v", name, p.cmd.ProcessState)
		close(p.done)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	if !p.ended() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) awaitEnd(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// noteLog copies the end of a process's log to the record.
func (p *process) noteLog(lines int) {
	raw, _ := os.ReadFile(p.log)
	all := splitLines(string(raw))
	for _, l := range all[max(0, len(all)-lines):] {
		p.w.note("log of %s: %s", p.name, l)
	}
}

// listen listens on a free loopback port until the case ends.
func (w *world) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", w.host+":0")
	if err == nil {
		w.mu.Lock()
		w.listeners = append(w.listeners, ln)
		w.mu.Unlock()
	}
	return ln, err
}

// free returns an address of the case that is free for TCP and UDP. Outgoing connections come from 127.0.0.1, so it stays free.
func (w *world) free() (string, error) {
	for range 50 {
		ln, err := net.Listen("tcp", w.host+":0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		udp, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			udp.Close()
			if !w.given[address] {
				w.given[address] = true
				return address, nil
			}
		}
	}
	return "", fmt.Errorf("no free address")
}

// write writes a JSON file into the case's folder.
func (w *world) write(name string, v any) (string, error) {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(w.dir, name)
	return file, os.WriteFile(file, raw, 0o600)
}
