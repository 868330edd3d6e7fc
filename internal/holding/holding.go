// Package holding keeps a door's listener while the door's processes follow each other: a new configuration or program is
// started beside the one that serves, takes clients once it is ready, and only then the old one leaves. No connection is
// refused. One that can't be checked or can't start is not taken; one that ends by itself soon after is given up for what
// ran before.
package holding

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/frontdoor"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/retry"
	"github.com/swifthall/swifthall/internal/serving"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
)

const (
	listenerFD = 3
	readyFD    = 4

	readyFor  = 20 * time.Second       // in which a process must be able to serve: discovery may take some seconds
	startMost = 3 * time.Second        // in which what a start needs and fails for a moment is asked for again
	leaveFor  = 30 * time.Second       // in which one must have left; over the longest request
	probation = 60 * time.Second       // after a change, in which a process that ends by itself is the change's fault
	againRest = 200 * time.Millisecond // before a process that ended by itself is started again
	againMost = 5 * time.Second        // rest at most: it grows while it ends again and again
	answerFor = 2 * time.Second        // that a question to the coordinators may take
	waiting   = 16                     // events that wait for the changer; it is asked again for what is lost
	mostFile  = 512 << 20              // bytes of what a digest names
	private   = 0o600
	runnable  = 0o700
	stateName = "runs.json"
)

// Messages of the log lines that tell of a change, with the machine's clock at the step.
const (
	Changed = "changed"
	Refused = "not changed"
)

// holder is the process that holds.
type holder struct {
	cfg    config.Door
	folder string
	base   string // the door's own file
	log    logrus.FieldLogger
	ln     *os.File
	client *client.Client
	began  time.Time
	events chan any
	ctx    context.Context

	mu      sync.Mutex
	runs    release.Versions // of the process that serves, or is to
	before  release.Versions // of the one before it
	changed time.Time
	failed  map[string]string // digests that were not taken, why
	cur     *worker
	alive   map[*worker]bool // every process that runs
	ending  bool
	hups    int // times that the door was told to read its file again

	steps sync.WaitGroup                      // changes and watches under way
	write func(path string, raw []byte) error // puts a file in place, whole or not at all
}

// writeWhole writes a file by way of another one, and has it on the disk before it takes the place.
func writeWhole(path string, raw []byte) error { return renameio.WriteFile(path, raw, private) }

// worker is one process of the door.
type worker struct {
	cmd   *exec.Cmd
	done  chan struct{}
	meant bool // its end is; the holder's lock
	told  bool // SIGTERM was sent; the holder's lock
}

// Run holds until ctx ends, and returns once the door has left.
func Run(ctx context.Context, cfg config.Door, base string, log logrus.FieldLogger) error {
	h := &holder{cfg: cfg, folder: cfg.Fleet.Releases, base: base, log: log, began: time.Now(), events: make(chan any, waiting), ctx: ctx, failed: map[string]string{},
		alive: map[*worker]bool{}, write: writeWhole}
	var err error
	if h.runs, err = retry.Within(ctx, startMost, h.open); err != nil {
		return err
	}
	ln, err := retry.Within(ctx, startMost, func() (net.Listener, error) {
		return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", cfg.Listen)
	})
	if err != nil {
		return &frontdoor.ListenError{Address: cfg.Listen, Cause: err}
	}
	h.ln, err = ln.(*net.TCPListener).File()
	ln.Close() // the file goes on to listen
	if err != nil {
		return &frontdoor.ListenError{Address: cfg.Listen, Cause: err}
	}
	defer h.ln.Close()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() {
		for range hup {
			h.reload()
		}
	}()
	if err := h.first(); err != nil {
		return err
	}
	over := make(chan struct{})
	go func() { defer close(over); h.change() }()
	<-ctx.Done()
	h.end()
	<-over
	return nil
}

// end has the door leave, and returns once nothing of it runs. The processes' time until a kill runs from the signal that the
// holder got, so every one is told at once, whatever else is under way: one that a change is about to replace, too. A start
// that is under way finds that the holder is ending, and has what it started leave as well. What the holder has of the
// listener is closed first: else connections would go on being accepted by the system, for nobody.
func (h *holder) end() {
	h.mu.Lock()
	h.ending = true
	w := h.cur
	_ = h.ln.Close()
	for one := range h.alive {
		h.tellToLeave(one)
	}
	h.mu.Unlock()
	h.leave(w)
	h.steps.Wait()
}

// tellToLeave sends a process SIGTERM, once. The holder's lock is held.
func (h *holder) tellToLeave(w *worker) {
	w.meant = true
	if !w.told {
		w.told = true
		_ = w.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// open makes the folder where there is none, and reads what the door ran last.
func (h *holder) open() (release.Versions, error) {
	if err := os.MkdirAll(h.folder, runnable); err != nil {
		return nil, &FolderError{h.folder, err}
	}
	return h.load()
}

// load reads what the door ran last.
func (h *holder) load() (release.Versions, error) {
	raw, err := os.ReadFile(filepath.Join(h.folder, stateName))
	if errors.Is(err, os.ErrNotExist) {
		return release.Versions{}, nil
	}
	runs := release.Versions{}
	if err == nil {
		err = json.Unmarshal(raw, &runs)
	}
	if err != nil {
		return nil, &FolderError{h.folder, err}
	}
	return runs, nil
}

// save writes down what the door runs, whole or not at all.
func (h *holder) save(runs release.Versions) {
	raw, err := json.Marshal(runs)
	if err == nil {
		err = h.write(filepath.Join(h.folder, stateName), raw)
	}
	if err != nil { // the door runs it all the same; after a restart of the holder it runs what it ran before
		e := &FolderError{h.folder, err}
		h.log.WithError(e).WithField(fields.Remedy, e.Remedy()).Error("what the door runs is not written down")
	}
}

// first starts the door's first process. One that can't run what it ran last runs its own file and program.
func (h *holder) first() error {
	w, err := h.startWithin(h.runs)
	if err != nil && len(h.runs) > 0 {
		h.log.WithError(err).Error("the door can't run what it ran last; it runs its own")
		h.note(h.runs, err)
		h.runs = release.Versions{}
		w, err = h.startWithin(h.runs)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.cur, h.before = w, h.runs
	h.mu.Unlock()
	h.steps.Go(func() { h.watch(w) })
	return nil
}

// note remembers why something was not taken.
func (h *holder) note(runs release.Versions, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, digest := range runs {
		if digest != "" {
			h.failed[digest] = err.Error()
		}
	}
}

// file finds what a digest names, and checks that it is that.
func (h *holder) file(digest string) (string, error) {
	path := filepath.Join(h.folder, digest)
	f, err := os.Open(path)
	if err != nil {
		return "", &DigestError{path, "", err}
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, io.LimitReader(f, mostFile)); err != nil {
		return "", &DigestError{path, "", err}
	}
	if is := hex.EncodeToString(sum.Sum(nil)); is != digest {
		return "", &DigestError{path, is, nil}
	}
	return path, nil
}

// prepare checks what is to run, without running it: the program, and the configuration with what is laid over the door's own.
func (h *holder) prepare(runs release.Versions) (program, file string, err error) {
	file = h.base
	if program, err = os.Executable(); err != nil {
		return "", "", &StartError{"this program", "finding it", err}
	}
	if d := runs[release.Program]; d != "" {
		if program, err = h.file(d); err != nil {
			return "", "", err
		}
		if err := os.Chmod(program, runnable); err != nil {
			return "", "", &DigestError{program, "", err}
		}
	}
	if d := runs[release.Configuration]; d != "" {
		over, err := h.file(d)
		if err != nil {
			return "", "", err
		}
		var raw, top []byte
		if raw, err = os.ReadFile(h.base); err == nil {
			top, err = os.ReadFile(over)
		}
		if err != nil {
			return "", "", &DigestError{over, "", err}
		}
		if raw, err = config.Overlay(raw, top); err != nil {
			return "", "", err
		}
		if _, err := config.Read(raw, os.Getenv); err != nil {
			return "", "", err
		}
		file = filepath.Join(h.folder, "door-"+d+".json")
		if err := h.put(file, raw); err != nil {
			return "", "", &FolderError{h.folder, err}
		}
	}
	return program, file, nil
}

// put puts a file in place. One that holds the same already is left: a process must start again while the folder can't be
// written.
func (h *holder) put(path string, raw []byte) error {
	if before, err := os.ReadFile(path); err == nil && bytes.Equal(before, raw) {
		return nil
	}
	return h.write(path, raw)
}

// startWithin starts a process, again where a call or the folder failed for a moment: neither is the fault of what is to run.
func (h *holder) startWithin(runs release.Versions) (*worker, error) {
	return retry.Within(h.ctx, startMost, func() (*worker, error) { return h.start(runs) })
}

// start starts a process and waits until it can serve. It takes clients from its first instant, as it has the listener that
// the one before it has: one that does not get ready, or is not wanted any more, is told to leave as any other.
func (h *holder) start(runs release.Versions) (*worker, error) {
	h.mu.Lock()
	hups := h.hups
	h.mu.Unlock()
	program, file, err := h.prepare(runs)
	if err != nil {
		return nil, err
	}
	ready, tell, err := os.Pipe()
	if err != nil {
		return nil, &StartError{program, "starting it", err}
	}
	defer ready.Close()
	cmd := exec.Command(program, "serve", "--log-level", h.cfg.Log.Level, "--log-format", h.cfg.Log.Format)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file, fmt.Sprintf("%s=%d", serving.ListenerVariable, listenerFD), fmt.Sprintf("%s=%d", serving.ReadyVariable, readyFD))
	cmd.ExtraFiles = []*os.File{h.ln, tell}
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	// Without its holder it answers what it took, and ends. What is killed is killed with all that it started.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	err = cmd.Start()
	tell.Close()
	if err != nil {
		return nil, &StartError{program, "starting it", err}
	}
	w := h.launched(cmd)
	got := make(chan bool, 1)
	go func() {
		n, _ := ready.Read(make([]byte, 1))
		got <- n == 1
	}()
	select {
	case ok := <-got:
		if !ok {
			<-w.done // it closed its end: it has ended, or is about to
			return nil, &StartError{program, cmd.ProcessState.String(), nil}
		}
		h.mu.Lock()
		missed := h.hups != hups
		h.mu.Unlock()
		if missed { // it may have read its file before that was replaced
			h.again(w, runs)
		}
		return w, nil
	case <-time.After(readyFor):
		h.leave(w)
		return nil, &StartError{program, fmt.Sprintf("not ready after %v", readyFor), nil}
	case <-h.ctx.Done():
		h.leave(w)
		return nil, &StartError{program, "the holder was told to end", nil}
	}
}

// launched takes a process that has just begun among those that run. It is told to leave where the holder is ending.
func (h *holder) launched(cmd *exec.Cmd) *worker {
	w := &worker{cmd: cmd, done: make(chan struct{})}
	h.mu.Lock()
	h.alive[w] = true
	if h.ending {
		h.tellToLeave(w)
	}
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		h.mu.Lock()
		delete(h.alive, w)
		h.mu.Unlock()
		close(w.done)
	}()
	return w
}

func (h *holder) kill(w *worker) {
	_ = syscall.Kill(-w.cmd.Process.Pid, syscall.SIGKILL)
	<-w.done
}

// leave tells a process to leave, and waits until it has.
func (h *holder) leave(w *worker) {
	h.mu.Lock()
	h.tellToLeave(w)
	h.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(leaveFor):
		h.kill(w)
	}
}

// reload has the door read its file again. A process that is being started is told once it can serve: before that it may not
// listen to signals yet, and would end.
func (h *holder) reload() {
	h.mu.Lock()
	h.hups++
	w, runs := h.cur, h.runs
	h.mu.Unlock()
	if w != nil {
		h.again(w, runs)
	}
}

// again has one process read its file again; where that is the door's own with something laid over it, it is made anew.
func (h *holder) again(w *worker, runs release.Versions) {
	if _, _, err := h.prepare(runs); err != nil {
		h.log.WithError(err).Error("configuration left as it was")
		return
	}
	_ = w.cmd.Process.Signal(syscall.SIGHUP)
}

// watch starts a process again that ended by itself. Soon after a change that is the change's fault: what ran before runs again,
// with nobody's leave, as the door is out already.
func (h *holder) watch(w *worker) {
	for rest := againRest; ; {
		<-w.done
		h.mu.Lock()
		if h.ending || w.meant || h.cur != w || h.ctx.Err() != nil {
			h.mu.Unlock()
			return
		}
		runs, faulty := h.runs, time.Since(h.changed) < probation && !maps.Equal(h.runs, h.before)
		if faulty {
			for what, digest := range h.runs {
				if digest != "" && h.before[what] != digest {
					h.failed[digest] = "its process ended by itself: " + w.cmd.ProcessState.String()
				}
			}
			runs = h.before
		}
		h.mu.Unlock()
		h.log.WithField(fields.Why, w.cmd.ProcessState.String()).Error("the door's process ended by itself")
		next, err := h.start(runs)
		for err != nil && h.ctx.Err() == nil {
			h.log.WithError(err).Error("the door's process can't be started; it is tried again")
			select {
			case <-time.After(rest):
			case <-h.ctx.Done():
			}
			rest = min(2*rest, againMost)
			next, err = h.start(runs)
		}
		if err != nil {
			return
		}
		h.mu.Lock()
		late := h.ending || h.cur != w // a change has put another in its place meanwhile
		if !late {
			h.cur, h.runs = next, runs
		}
		h.mu.Unlock()
		if late {
			h.leave(next)
			return
		}
		h.save(runs)
		h.tell()
		w, rest = next, againRest
	}
}

// ---- Changes ----

// tell has the changer know what runs.
func (h *holder) tell() {
	h.mu.Lock()
	e := permits.VersionsChanged{Runs: maps.Clone(h.runs), Failed: maps.Clone(h.failed)}
	h.mu.Unlock()
	h.post(e)
}

func (h *holder) post(e any) {
	select {
	case h.events <- e:
	case <-h.ctx.Done():
	}
}

func (h *holder) now() float64 { return float64(time.Since(h.began)) / float64(time.Millisecond) }

// change is the driver of the changer, until the holder is told to end.
func (h *holder) change() {
	var all []config.NamedAddress
	for _, c := range h.cfg.Fleet.Coordinators {
		if n, err := config.ParseNamedAddress(c); err == nil {
			all = append(all, n)
		}
	}
	h.client = client.New(all)
	defer h.client.Close()
	h.mu.Lock()
	c := permits.NewReleaseAgent(h.cfg.Name, rand.Uint64(), maps.Clone(h.runs), maps.Clone(h.failed))
	h.mu.Unlock()
	tick := time.NewTicker(permits.TickEvery * time.Millisecond)
	defer tick.Stop()
	for {
		var e any = permits.Tick{}
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
		case e = <-h.events:
		}
		for _, a := range c.Step(h.now(), e) {
			switch a := a.(type) {
			case permits.Post:
				go h.ask(a)
			case permits.ApplyRelease:
				h.steps.Go(func() { h.take(a) })
			}
		}
	}
}

// ask carries one question to the coordinators.
func (h *holder) ask(q permits.Post) {
	ctx, stop := context.WithTimeout(h.ctx, answerFor)
	defer stop()
	var e any
	var err error
	if q.HolderReport != nil {
		var g permits.Assignment
		g, err = h.client.Hold(ctx, q.HolderReport)
		e = permits.AssignmentReceived{Seq: q.Seq, Assignment: g}
	} else {
		var a permits.Answer
		a, err = h.client.Command(ctx, permits.Command{Caller: q.Caller, Seq: q.Seq, Do: q.Do})
		e = permits.Answered{Seq: q.Seq, Answer: a}
	}
	if err != nil {
		e = permits.Unanswered{Seq: q.Seq}
	}
	h.post(e)
}

// take has the door run something else: the new process beside the old one, then the old one leaves. The step is the start of
// the new one; a holder that was stopped before it does not take it.
func (h *holder) take(t permits.ApplyRelease) {
	defer h.tell()
	h.mu.Lock()
	before := h.runs
	runs := maps.Clone(before)
	if runs == nil {
		runs = release.Versions{}
	}
	runs[t.Changes] = t.Digest
	h.mu.Unlock()
	entry := h.log.WithFields(logrus.Fields{fields.Why: t.Name, fields.To: t.Digest, fields.Number: t.Release})
	if h.now() > t.UntilMs {
		entry.Warn("stopped before the step; it isn't taken")
		return
	}
	w, err := h.startWithin(runs)
	if err != nil {
		if h.ctx.Err() == nil {
			if !t.Back {
				h.note(release.Versions{t.Changes: t.Digest}, err)
			}
			entry.WithError(err).Error(Refused)
		}
		return
	}
	h.mu.Lock()
	if h.ending { // it was told so between the start and here
		h.mu.Unlock()
		h.leave(w)
		return
	}
	old := h.cur
	h.cur, h.runs, h.before, h.changed = w, runs, before, time.Now()
	if t.Back {
		h.before = runs // there is nothing better to fall back on
	}
	h.mu.Unlock()
	entry.Info(Changed)
	h.steps.Go(func() { h.watch(w) })
	h.mu.Lock()
	h.tellToLeave(old) // a folder that can't be written must not keep it
	h.mu.Unlock()
	h.save(runs)
	h.leave(old)
}
