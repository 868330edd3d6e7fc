package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/lab/sysfaults"
)

const (
	readyPollInterval = 20 * time.Millisecond  // between two readiness checks of a door
	readyTimeout      = 300 * time.Millisecond // of one readiness check
	violationPrefix   = "violations_"          // prefix of the log fields that count invariant violations
	minPauseGap       = 500 * time.Millisecond // between two pauses of a process
	pipeFillTime      = 50 * time.Millisecond  // how long a pipe is written to until it counts as full
	logTailSize       = 4096                   // bytes at the end of a log that are kept for a crash report
)

// door is one front door, over all of its processes.
type door struct {
	rig          *rig
	number       int
	addr         string
	agents       [2]*discovery // the configuration names one of them, agents[activeAgent]
	activeAgent  int
	descriptors  int
	configFile   string
	launched     int        // number of processes started so far
	openPipeEnds []*os.File // read ends of log pipes, kept open without being read

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation *Incarnation
	done        chan struct{}
	pausedAt    Instant // when the process was last stopped by SIGSTOP; 0 if never
	accepting   bool    // clients may connect: the current process has become ready and has not exited or been killed
}

// settings returns the door's configuration in the platform's form.
func (d *door) settings() map[string]any {
	r := d.rig
	wait := r.history.MaxDeadline.Seconds()
	class := func(name, semantics string, maxWait float64, extra map[string]any) map[string]any {
		c := map[string]any{"name": name, "aim": maxWait / 2, "give_up": maxWait, "semantics": semantics, "late_value": 0.2, "worth": 1}
		for k, v := range extra {
			c[k] = v
		}
		return c
	}
	scope := "all"
	if r.history.ZoneScope {
		scope = "zone"
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", d.number), "listen": d.addr, "discovery": d.agents[d.activeAgent].addr, "counter": r.counter.addr,
		"seed": fmt.Sprintf("%x", r.seed+uint64(d.number)), "log": map[string]any{"format": "json", "level": r.logLevel()},
		"limits": map[string]any{"cores": 1, "memory_mb": r.memoryMB, "sockets": d.descriptors},
		"settings": map[string]any{
			"fleet_size": len(r.doors), "my_number": d.number,
			"profiles": []any{class("look", "idempotent", wait, nil),
				class("book", "deduplicated", wait, map[string]any{"dedup_scope": scope, "window": r.history.DedupWindow.Seconds()}),
				class("pay", "at_most_once", wait, nil)},
			"tariffs": []any{map[string]any{"name": "team", "rate": 5000, "depth": 5000, "pays": 1}},
			"extra":   map[string]any{"counter": true, "counter_timeout": 0.1, "units_top": 8},
			"limits": map[string]any{"cancel": true, "second_copies": true, "max_attempts": 4, "retry_after": true, "max_retry_after": 0.5,
				"conn_idle": 15, "connect_timeout": 0.25},
			"safety": map[string]any{"cold_from": 0.25, "cold": 10, "fall_multiple": 4, "tip_after": 1.5, "drain_grace": r.history.DrainGrace.Seconds()},
		},
	}
}

// writeConfig replaces the configuration file atomically.
func (d *door) writeConfig() error {
	raw, err := json.Marshal(d.settings())
	if err == nil {
		err = os.WriteFile(d.configFile+".new", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(d.configFile+".new", d.configFile)
	}
	return err
}

// start starts a process with injected faults.
func (d *door) start(faults sysfaults.Plan) error {
	if err := d.writeConfig(); err != nil {
		return &RigError{"a configuration", err}
	}
	log := &logScanner{file: d.logFile()}
	cmd := exec.Command(d.rig.program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+d.configFile, faults.Environment())
	cmd.Stderr, cmd.WaitDelay = log, time.Second
	if d.rig.logFault != LogOK {
		pipe, end, err := faultyLog(d.rig.logFault)
		if err != nil {
			return &RigError{"a log", err}
		}
		cmd.Stderr = pipe
		defer pipe.Close()
		d.openPipeEnds = append(d.openPipeEnds, end)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	inc := &Incarnation{Door: d.number, Ready: Never, Term: Never, Kill: Never, Started: d.rig.now()}
	if err := cmd.Start(); err != nil {
		return &RigError{"a process", err}
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.incarnation, d.done, d.launched = cmd, inc, done, d.launched+1
	d.mu.Unlock()
	go d.awaitExit(cmd, inc, log, done)
	go d.awaitReady(inc, done)
	return nil
}

// logFile creates the file for the log of the next process; nil if logs are not kept.
func (d *door) logFile() *os.File {
	if d.rig.logDir == "" {
		return nil
	}
	f, err := os.Create(filepath.Join(d.rig.logDir, fmt.Sprintf("seed%d-door%d-%d.log", d.rig.seed, d.number, d.launched)))
	if err != nil {
		return nil
	}
	return f
}

// awaitExit waits for the process to exit and records its incarnation.
func (d *door) awaitExit(cmd *exec.Cmd, inc *Incarnation, log *logScanner, done chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	inc.Exited = d.rig.now()
	d.accepting = false
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.file != nil {
		log.file.Close()
	}
	inc.InvariantViolations = log.violations
	switch {
	case inc.Kill != Never:
	case inc.Term != Never && inc.Ready == Never && cmd.ProcessState.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM:
		// Terminated before it had installed its signal handlers.
	case err != nil:
		inc.Crash = fmt.Sprintf("%v: %s", err, log.tail)
	case inc.Term == Never:
		inc.Crash = "exited without a signal"
	}
	d.rig.history.addIncarnation(*inc)
	close(done)
}

// awaitReady polls the process until it reports ready, and then lets clients connect.
func (d *door) awaitReady(inc *Incarnation, done <-chan struct{}) {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-done:
			return
		case <-time.After(readyPollInterval):
		}
		res, err := client.Get("http://" + d.addr + "/health/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			continue
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if inc.Ready = d.rig.now(); inc.Term == Never {
			d.accepting = true
		}
		return
	}
}

// signal sends a signal to the current process.
func (d *door) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.incarnation.Exited != 0 {
		return
	}
	if s == syscall.SIGHUP && d.incarnation.Ready == Never {
		return // it may not have a signal handler yet, and SIGHUP would end it
	}
	before := d.rig.now()
	if err := d.cmd.Process.Signal(s); err != nil {
		return
	}
	switch {
	case s == syscall.SIGTERM && d.incarnation.Term == Never:
		d.incarnation.Term = d.rig.now()
	case s == syscall.SIGKILL && d.incarnation.Kill == Never:
		d.incarnation.Kill, d.incarnation.KilledWithoutTerm = before, d.incarnation.Term == Never
		d.accepting = false
	}
}

// pause stops the process with SIGSTOP, unless that was done shortly before: several pauses in a row would add up to more than
// the protocol page allows.
func (d *door) pause() {
	d.mu.Lock()
	tooSoon := d.pausedAt != 0 && d.rig.now()-d.pausedAt < minPauseGap
	if !tooSoon {
		d.pausedAt = d.rig.now()
	}
	d.mu.Unlock()
	if !tooSoon {
		d.signal(syscall.SIGSTOP)
	}
}

// reload makes the door follow its other agent.
func (d *door) reload() {
	d.mu.Lock()
	if d.incarnation.Ready == Never || d.incarnation.Exited != 0 {
		d.mu.Unlock()
		return // no running process would read the new configuration
	}
	d.agents[d.activeAgent].setInactive(true)
	d.activeAgent = 1 - d.activeAgent
	d.agents[d.activeAgent].setInactive(false)
	d.mu.Unlock()
	if d.writeConfig() == nil {
		d.signal(syscall.SIGHUP)
	}
}

// terminate ends the process as an operator does, by a series of signals and, at the earliest time that the protocol page
// allows, by SIGKILL. It returns once the process has exited.
func (d *door) terminate(series []timedSignal) {
	for _, s := range series {
		time.Sleep(s.after)
		d.signal(s.signal)
	}
	d.mu.Lock()
	term, done := d.incarnation.Term, d.done
	d.mu.Unlock()
	select {
	case <-done:
	case <-time.After(term + EarliestKill(d.rig.history.MaxDeadline) - d.rig.now()):
		d.signal(syscall.SIGKILL)
		<-done
	}
}

// timedSignal is a signal that is sent some time after the one before it.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// acceptsClients reports whether clients may connect.
func (d *door) acceptsClients() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepting
}

// dial opens a client connection to the door.
func (d *door) dial() (net.Conn, error) { return net.DialTimeout("tcp", d.addr, time.Second) }

// logScanner keeps the end of a log and sums up the invariant violations that it reports.
type logScanner struct {
	file       *os.File
	mu         sync.Mutex
	partial    []byte
	tail       []byte
	violations int
}

func (l *logScanner) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		_, _ = l.file.Write(p)
	}
	if l.tail = append(l.tail, p...); len(l.tail) > logTailSize {
		l.tail = l.tail[len(l.tail)-logTailSize:]
	}
	l.partial = append(l.partial, p...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			return len(p), nil
		}
		l.violations += countViolations(l.partial[:i])
		l.partial = append(l.partial[:0], l.partial[i+1:]...)
	}
}

// countViolations returns the number of violations that one log line reports.
func countViolations(line []byte) (n int) {
	fields := map[string]any{}
	if json.Unmarshal(line, &fields) != nil {
		return 0
	}
	for name, value := range fields {
		if v, ok := value.(float64); ok && strings.HasPrefix(name, violationPrefix) {
			n += int(v)
		}
	}
	return n
}

// faultyLog returns the write end of a log pipe with a fault, and the read end, to be kept open.
func faultyLog(fault LogFault) (log, keep *os.File, err error) {
	keep, log, err = os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	if fault == LogClosed {
		return log, keep, keep.Close()
	}
	log.SetWriteDeadline(time.Now().Add(pipeFillTime))
	for err == nil {
		_, err = log.Write(make([]byte, logTailSize))
	}
	return log, keep, nil
}
