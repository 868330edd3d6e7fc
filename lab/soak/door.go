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
	readyPollInterval = 20 * time.Millisecond  // between looks whether a door can serve
	readyTimeout      = 300 * time.Millisecond // that a look may take
	violationPrefix   = "violations_"          // beginning of the log fields of an account that count violations
	minPauseGap       = 500 * time.Millisecond
	pipeFillTime      = 50 * time.Millisecond // in which a pipe is filled
	logTailSize       = 4096                  // bytes of a log's end that are kept for a crash
)

// door is one front door, over its processes.
type door struct {
	rig          *rig
	number       int
	addr         string
	agents       [2]*discovery // of which the configuration names one
	activeAgent  int
	descriptors  int
	configFile   string
	launched     int        // processes so far
	openPipeEnds []*os.File // ends of pipes that nobody reads

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation *Incarnation
	done        chan struct{}
	pausedAt    Instant // when it was last held up
	accepting   bool    // clients may connect: it has been ready, and is not long told to end
}

// settings are the door's configuration, in the platform's form.
func (d *door) settings() map[string]any {
	r := d.rig
	wait := r.history.MaxDeadline.Seconds()
	class := func(name, semantics string, longest float64, more map[string]any) map[string]any {
		c := map[string]any{"name": name, "aim": longest / 2, "give_up": longest, "semantics": semantics, "late_value": 0.2, "worth": 1}
		for k, v := range more {
			c[k] = v
		}
		return c
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", d.number), "listen": d.addr, "discovery": d.agents[d.activeAgent].addr, "counter": r.counter.addr,
		"seed": fmt.Sprintf("%x", r.seed+uint64(d.number)), "log": map[string]any{"format": "json", "level": r.logLevel()},
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": d.descriptors},
		"settings": map[string]any{
			"fleet_size": len(r.doors), "my_number": d.number,
			"profiles": []any{class("look", "idempotent", wait, nil),
				class("book", "deduplicated", wait, map[string]any{"dedup_scope": "all", "window": r.history.DedupWindow.Seconds()}),
				class("pay", "at_most_once", wait, nil)},
			"tariffs": []any{map[string]any{"name": "team", "rate": 5000, "depth": 5000, "pays": 1}},
			"extra":   map[string]any{"counter": true, "counter_timeout": 0.1, "units_top": 8},
			"limits": map[string]any{"cancel": true, "second_copies": true, "max_attempts": 4, "retry_after": true, "max_retry_after": 0.5,
				"conn_idle": 15, "connect_timeout": 0.25},
			"safety": map[string]any{"cold_from": 0.25, "cold": 10, "fall_multiple": 4, "tip_after": 1.5, "drain_grace": r.history.DrainGrace.Seconds()},
		},
	}
}

// writeConfig puts the configuration in place, whole.
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

// start begins a process, with the faults given.
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
	life := &Incarnation{Door: d.number, Ready: Never, Term: Never, Kill: Never, Started: d.rig.now()}
	if err := cmd.Start(); err != nil {
		return &RigError{"a process", err}
	}
	done := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.incarnation, d.done, d.launched = cmd, life, done, d.launched+1
	d.mu.Unlock()
	go d.awaitExit(cmd, life, log, done)
	go d.awaitReady(life, done)
	return nil
}

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

// awaitExit records the process's life once it has ended.
func (d *door) awaitExit(cmd *exec.Cmd, life *Incarnation, log *logScanner, done chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	life.Exited = d.rig.now()
	d.accepting = false
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.file != nil {
		log.file.Close()
	}
	life.InvariantViolations = log.violations
	switch {
	case life.Kill != Never:
	case life.Term != Never && life.Ready == Never && cmd.ProcessState.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM:
		// Told to end before it listened to signals, as any program ends then.
	case err != nil:
		life.Crash = fmt.Sprintf("%v: %s", err, log.tail)
	case life.Term == Never:
		life.Crash = "ended with nobody telling it to"
	}
	d.rig.history.addIncarnation(*life)
	close(done)
}

// awaitReady admits clients once the door says that it can serve.
func (d *door) awaitReady(life *Incarnation, done <-chan struct{}) {
	web := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-done:
			return
		case <-time.After(readyPollInterval):
		}
		res, err := web.Get("http://" + d.addr + "/health/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			continue
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if life.Ready = d.rig.now(); life.Term == Never {
			d.accepting = true
		}
		return
	}
}

// signal sends one signal to the present process.
func (d *door) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.incarnation.Exited != 0 {
		return
	}
	if s == syscall.SIGHUP && d.incarnation.Ready == Never {
		return // it may not listen to signals yet, and would end as any program does
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

// pause holds the process up, where that has not just been done: several pauses in a row would add up to more than the page
// allows.
func (d *door) pause() {
	d.mu.Lock()
	again := d.pausedAt != 0 && d.rig.now()-d.pausedAt < minPauseGap
	if !again {
		d.pausedAt = d.rig.now()
	}
	d.mu.Unlock()
	if !again {
		d.signal(syscall.SIGSTOP)
	}
}

// reload has the door follow its other agent.
func (d *door) reload() {
	d.mu.Lock()
	if d.incarnation.Ready == Never || d.incarnation.Exited != 0 {
		d.mu.Unlock()
		return // nobody would read it
	}
	d.agents[d.activeAgent].setInactive(true)
	d.activeAgent = 1 - d.activeAgent
	d.agents[d.activeAgent].setInactive(false)
	d.mu.Unlock()
	if d.writeConfig() == nil {
		d.signal(syscall.SIGHUP)
	}
}

// terminate takes the process down as an operator does: a series of signals, and a kill at the earliest that the page allows, for
// which it returns.
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

// timedSignal is a signal some time after the one before it.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

func (d *door) acceptsClients() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepting
}

// dial connects to the door as a client.
func (d *door) dial() (net.Conn, error) { return net.DialTimeout("tcp", d.addr, time.Second) }

// logScanner keeps the end of a log, and adds up the violations that it tells of.
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

// countViolations adds up the violations that one line of a log tells of.
func countViolations(line []byte) (n int) {
	fields := map[string]any{}
	if json.Unmarshal(line, &fields) != nil {
		return 0
	}
	for name, value := range fields {
		if v, is := value.(float64); is && strings.HasPrefix(name, violationPrefix) {
			n += int(v)
		}
	}
	return n
}

// faultyLog returns a pipe to log to that has a fault, and an end of it to be kept open.
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
