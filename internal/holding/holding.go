// Package holding supervises the process of a front door. It owns the listening socket and passes it to each process, so that
// a new configuration or program can replace the running one without refusing a connection: the new process is started beside
// the old one, accepts clients once it is ready, and only then the old one is stopped. A configuration or program that is
// invalid or cannot start is not applied. If its process exits soon after the change, the supervisor rolls back.
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
	"slices"
	"strings"
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

	readyTimeout       = 20 * time.Second       // until a new process must be ready; discovery may take some seconds
	startRetryFor      = 3 * time.Second        // for which transient errors during a start are retried
	stopTimeout        = 30 * time.Second       // until a process that was sent SIGTERM is killed; longer than any request takes
	probation          = 60 * time.Second       // after a change, during which an exit of the process is attributed to the change
	minRestartPause    = 200 * time.Millisecond // between attempts to restart a process that exited; doubles with each failure
	maxRestartPause    = 5 * time.Second        // limit on that pause
	saveRetryInterval  = time.Second            // between attempts to save the state
	coordinatorTimeout = 3 * time.Second        // of a call to the coordinators; the agent repeats it earlier, and takes either answer
	eventQueueSize     = 16                     // events queued for the release agent, which repeats calls whose answer is lost
	maxArtifactBytes   = 512 << 20              // limit on the size of a released file
	configVariable     = "GW_CONFIG"
	discoveryVariable  = "GW_DISCOVERY"
	filePerm           = 0o600
	execPerm           = 0o700
	stateFile          = "runs.json"
)

// Log messages that record a change, with the machine's clock at the time of the step.
const (
	Changed = "changed"
	Refused = "not changed"
)

// supervisor starts, replaces and restarts the door's processes.
type supervisor struct {
	cfg       config.Door
	dir       string // holds the released files and the state
	baseFile  string // the door's own configuration file
	log       logrus.FieldLogger
	ln        *os.File
	client    *client.Client
	started   time.Time
	events    chan any
	decisions chan any // permits.SwitchRelease or DiscardRelease, for the change that is prepared
	ctx       context.Context

	mu        sync.Mutex
	runs      release.Versions // what the current process runs, or is about to run
	previous  release.Versions // what the process before it ran
	changedAt time.Time
	failed    map[string]string // reasons why digests were not applied
	current   *worker
	workers   map[*worker]bool // all running processes
	ending    bool
	reloads   int  // number of requests to reload the configuration file
	reloaded  bool // the configuration file was valid at one of them: it is newer than the environment

	saveMu   sync.Mutex // held while the state is written
	changing sync.Mutex // held during a change

	tasks sync.WaitGroup                      // changes and keepRunning loops in progress
	write func(path string, raw []byte) error // writes a file atomically
}

// writeAtomic writes a temporary file, syncs it to disk and renames it to path.
func writeAtomic(path string, raw []byte) error { return renameio.WriteFile(path, raw, filePerm) }

// worker is one process of the door.
type worker struct {
	cmd       *exec.Cmd
	done      chan struct{}
	stopping  bool // its exit is intended; guarded by supervisor.mu
	signalled bool // SIGTERM was sent; guarded by supervisor.mu
}

// Run supervises the door until ctx ends, and returns once all of its processes have exited.
func Run(ctx context.Context, cfg config.Door, base string, log logrus.FieldLogger) error {
	s := &supervisor{cfg: cfg, dir: cfg.Fleet.Releases, baseFile: base, log: log, started: time.Now(), events: make(chan any, eventQueueSize), decisions: make(chan any, 1), ctx: ctx, failed: map[string]string{},
		workers: map[*worker]bool{}, write: writeAtomic}
	var err error
	if s.runs, err = retry.Within(ctx, startRetryFor, s.openState); err != nil {
		return err
	}
	ln, err := retry.Within(ctx, startRetryFor, func() (net.Listener, error) {
		return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", cfg.Listen)
	})
	if err != nil {
		return &frontdoor.ListenError{Address: cfg.Listen, Cause: err}
	}
	s.ln, err = inheritable(ln.(*net.TCPListener))
	ln.Close() // the duplicated descriptor keeps the socket listening
	if err != nil {
		return &frontdoor.ListenError{Address: cfg.Listen, Cause: err}
	}
	defer s.ln.Close()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() {
		for range hup {
			s.reload()
		}
	}()
	if err := s.startFirst(); err != nil {
		return err
	}
	agentDone := make(chan struct{})
	go func() { defer close(agentDone); s.runReleaseAgent() }()
	<-ctx.Done()
	s.shutdown()
	<-agentDone
	return nil
}

// shutdown stops all processes of the door and returns once they have exited. The time until the platform kills them starts
// with the signal that the supervisor received, so all of them are signalled at once, including one that a change is about to
// replace. A start in progress sees that the supervisor is ending and stops its process as well. The supervisor closes its
// copy of the listener first: otherwise the kernel would go on accepting connections that no process serves.
func (s *supervisor) shutdown() {
	s.mu.Lock()
	s.ending = true
	w := s.current
	_ = s.ln.Close()
	for one := range s.workers {
		s.terminate(one)
	}
	s.mu.Unlock()
	s.stop(w)
	s.tasks.Wait()
}

// terminate sends SIGTERM to a process, at most once. The caller holds s.mu.
func (s *supervisor) terminate(w *worker) {
	w.stopping = true
	if !w.signalled {
		w.signalled = true
		_ = w.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// openState creates the directory if necessary and loads the state.
func (s *supervisor) openState() (release.Versions, error) {
	if err := os.MkdirAll(s.dir, execPerm); err != nil {
		return nil, &DirectoryError{s.dir, err}
	}
	return s.loadState()
}

// loadState reads what the door ran last.
func (s *supervisor) loadState() (release.Versions, error) {
	raw, err := os.ReadFile(filepath.Join(s.dir, stateFile))
	if errors.Is(err, os.ErrNotExist) {
		return release.Versions{}, nil
	}
	runs := release.Versions{}
	if err == nil {
		err = json.Unmarshal(raw, &runs)
	}
	if err != nil {
		return nil, &DirectoryError{s.dir, err}
	}
	return runs, nil
}

// saveState records what the door runs. If that fails it is tried again until it succeeds: a supervisor that starts anew goes by the state
// on disk.
func (s *supervisor) saveState() {
	err := s.trySave()
	if err == nil {
		return
	}
	e := &DirectoryError{s.dir, err}
	s.log.WithError(e).WithField(fields.Remedy, e.Remedy()).Error("cannot save what the door runs; retrying")
	go func() {
		for s.trySave() != nil {
			select {
			case <-time.After(saveRetryInterval):
			case <-s.ctx.Done():
				return
			}
		}
		s.log.Info("saved what the door runs")
	}()
}

// trySave records what the door runs now.
func (s *supervisor) trySave() error {
	s.saveMu.Lock() // an older state must not replace a newer one
	defer s.saveMu.Unlock()
	s.mu.Lock()
	raw, err := json.Marshal(s.runs)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.write(filepath.Join(s.dir, stateFile), raw)
}

// startFirst starts the door's first process. If what the door ran last cannot run, it falls back to the door's own
// configuration file and program.
func (s *supervisor) startFirst() error {
	w, err := s.startWithRetry(s.runs)
	if err != nil && len(s.runs) > 0 {
		s.log.WithError(err).Error("cannot run what the door ran last; falling back to its own configuration and program")
		s.recordFailure(s.runs, err)
		s.runs = release.Versions{}
		w, err = s.startWithRetry(s.runs)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.current, s.previous = w, s.runs
	s.mu.Unlock()
	s.tasks.Go(func() { s.keepRunning(w) })
	return nil
}

// recordFailure records why digests were not applied.
func (s *supervisor) recordFailure(runs release.Versions, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range runs {
		if digest != "" {
			s.failed[digest] = err.Error()
		}
	}
}

// artifact returns the path of the released file with the given digest, after verifying its content.
func (s *supervisor) artifact(digest string) (string, error) {
	path := filepath.Join(s.dir, digest)
	f, err := os.Open(path)
	if err != nil {
		return "", &DigestError{path, "", err}
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, io.LimitReader(f, maxArtifactBytes)); err != nil {
		return "", &DigestError{path, "", err}
	}
	if actual := hex.EncodeToString(sum.Sum(nil)); actual != digest {
		return "", &DigestError{path, actual, nil}
	}
	return path, nil
}

// prepare verifies the program and the configuration without running them. It returns the path of the program and that of the
// configuration file, to which a released configuration is written after merging it over the door's own.
func (s *supervisor) prepare(runs release.Versions) (program, file string, err error) {
	file = s.baseFile
	if program, err = os.Executable(); err != nil {
		return "", "", &StartError{"this program", "locating the executable", err}
	}
	if d := runs[release.Program]; d != "" {
		if program, err = s.artifact(d); err != nil {
			return "", "", err
		}
		if err := os.Chmod(program, execPerm); err != nil {
			return "", "", &DigestError{program, "", err}
		}
	}
	if d := runs[release.Configuration]; d != "" {
		overlay, err := s.artifact(d)
		if err != nil {
			return "", "", err
		}
		var raw, top []byte
		if raw, err = os.ReadFile(s.baseFile); err == nil {
			top, err = os.ReadFile(overlay)
		}
		if err != nil {
			return "", "", &DigestError{overlay, "", err}
		}
		if raw, err = config.Overlay(raw, top); err != nil {
			return "", "", err
		}
		if _, err := config.Read(raw, os.Getenv); err != nil {
			return "", "", err
		}
		file = filepath.Join(s.dir, "door-"+d+".json")
		if err := s.writeIfChanged(file, raw); err != nil {
			return "", "", &DirectoryError{s.dir, err}
		}
	}
	return program, file, nil
}

// writeIfChanged writes a file unless it already has the given content, so that a process can be restarted while the directory
// is not writable.
func (s *supervisor) writeIfChanged(path string, raw []byte) error {
	if present, err := os.ReadFile(path); err == nil && bytes.Equal(present, raw) {
		return nil
	}
	return s.write(path, raw)
}

// startWithRetry starts a process and retries transient errors of system calls and of the directory, because they say nothing
// about what is to run.
func (s *supervisor) startWithRetry(runs release.Versions) (*worker, error) {
	return retry.Within(s.ctx, startRetryFor, func() (*worker, error) { return s.start(runs) })
}

// start starts a process and waits until it is ready. The process shares the listener and may accept clients from the start, so
// one that does not become ready in time or is no longer needed is stopped gracefully like any other.
func (s *supervisor) start(runs release.Versions) (*worker, error) {
	s.mu.Lock()
	reloads := s.reloads
	s.mu.Unlock()
	program, file, err := s.prepare(runs)
	if err != nil {
		return nil, err
	}
	ready, notify, err := os.Pipe()
	if err != nil {
		return nil, &StartError{program, "starting the process", err}
	}
	defer ready.Close()
	cmd := exec.Command(program, "serve", "--log-level", s.cfg.Log.Level, "--log-format", s.cfg.Log.Format)
	cmd.Env = append(s.environment(), configVariable+"="+file, fmt.Sprintf("%s=%d", serving.ListenerVariable, listenerFD), fmt.Sprintf("%s=%d", serving.ReadyVariable, readyFD))
	cmd.ExtraFiles = []*os.File{s.ln, notify}
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	// If the supervisor dies, the process finishes its requests and exits. A kill reaches the whole process group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	err = cmd.Start()
	notify.Close()
	if err != nil {
		return nil, &StartError{program, "starting the process", err}
	}
	w := s.track(cmd)
	got := make(chan bool, 1)
	go func() {
		n, _ := ready.Read(make([]byte, 1))
		got <- n == 1
	}()
	select {
	case ok := <-got:
		if !ok {
			<-w.done // it closed its end of the pipe: it has exited or is about to
			return nil, &StartError{program, cmd.ProcessState.String(), nil}
		}
		s.mu.Lock()
		missed := s.reloads != reloads
		s.mu.Unlock()
		if missed { // it may have read its file before the file was replaced
			s.reloadWorker(w, runs)
		}
		return w, nil
	case <-time.After(readyTimeout):
		s.stop(w)
		return nil, &StartError{program, fmt.Sprintf("not ready after %v", readyTimeout), nil}
	case <-s.ctx.Done():
		s.stop(w)
		return nil, &StartError{program, "the supervisor is shutting down", nil}
	}
}

// environment returns the environment of a new process. Once the configuration file has been read again, its discovery counts, as it does for
// a running process (config.Reload).
func (s *supervisor) environment() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reloaded {
		return os.Environ()
	}
	return slices.DeleteFunc(os.Environ(), func(entry string) bool { return strings.HasPrefix(entry, discoveryVariable+"=") })
}

// track registers a process that has just been started, and stops it if the supervisor is shutting down.
func (s *supervisor) track(cmd *exec.Cmd) *worker {
	w := &worker{cmd: cmd, done: make(chan struct{})}
	s.mu.Lock()
	s.workers[w] = true
	if s.ending {
		s.terminate(w)
	}
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		s.mu.Lock()
		delete(s.workers, w)
		s.mu.Unlock()
		close(w.done)
	}()
	return w
}

// kill kills the process group and waits until the process has exited.
func (s *supervisor) kill(w *worker) {
	_ = syscall.Kill(-w.cmd.Process.Pid, syscall.SIGKILL)
	<-w.done
}

// stop sends SIGTERM to a process and waits until it has exited; after stopTimeout it kills the process.
func (s *supervisor) stop(w *worker) {
	s.mu.Lock()
	s.terminate(w)
	s.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(stopTimeout):
		s.kill(w)
	}
}

// reload makes the door reload its configuration file. A process that is being started is signalled once it is ready, because
// before that it may not handle signals yet and SIGHUP would end it.
func (s *supervisor) reload() {
	valid := s.baseIsValid()
	s.mu.Lock()
	s.reloads++
	s.reloaded = s.reloaded || valid
	w, runs := s.current, s.runs
	s.mu.Unlock()
	if w != nil {
		s.reloadWorker(w, runs)
	}
}

// baseIsValid reports whether the door's own configuration file is valid. One that is not changes nothing.
func (s *supervisor) baseIsValid() bool {
	_, err := config.Reload(func(name string) string {
		if name == configVariable {
			return s.baseFile
		}
		return os.Getenv(name)
	})
	return err == nil
}

// reloadWorker makes one process reload its configuration file, after merging a released configuration over the door's own file
// again.
func (s *supervisor) reloadWorker(w *worker, runs release.Versions) {
	if _, _, err := s.prepare(runs); err != nil {
		s.log.WithError(err).Error("configuration left as it was")
		return
	}
	_ = w.cmd.Process.Signal(syscall.SIGHUP)
}

// keepRunning restarts the process whenever it exits unexpectedly. An exit soon after a change is attributed to the change, and
// the previous configuration and program are restarted; this needs no permit, because the door is already down.
func (s *supervisor) keepRunning(w *worker) {
	for pause := minRestartPause; ; {
		<-w.done
		s.mu.Lock()
		if s.ending || w.stopping || s.current != w || s.ctx.Err() != nil {
			s.mu.Unlock()
			return
		}
		runs, changeFailed := s.runs, time.Since(s.changedAt) < probation && !maps.Equal(s.runs, s.previous)
		if changeFailed {
			for what, digest := range s.runs {
				if digest != "" && s.previous[what] != digest {
					s.failed[digest] = "its process ended by itself: " + w.cmd.ProcessState.String()
				}
			}
			runs = s.previous
		}
		s.mu.Unlock()
		s.log.WithField(fields.Why, w.cmd.ProcessState.String()).Error("the door's process ended by itself")
		next, err := s.start(runs)
		for err != nil && s.ctx.Err() == nil {
			s.log.WithError(err).Error("cannot start the door's process; retrying")
			select {
			case <-time.After(pause):
			case <-s.ctx.Done():
			}
			pause = min(2*pause, maxRestartPause)
			next, err = s.start(runs)
		}
		if err != nil {
			return
		}
		s.mu.Lock()
		superseded := s.ending || s.current != w // a change has replaced it meanwhile
		if !superseded {
			s.current, s.runs = next, runs
		}
		s.mu.Unlock()
		if superseded {
			s.stop(next)
			return
		}
		s.saveState()
		s.reportRestart()
		w, pause = next, minRestartPause
	}
}

// ---- Changes ----

// reportState notifies the release agent that a change has ended, and of what runs.
func (s *supervisor) reportState() {
	runs, failed := s.state()
	s.post(permits.VersionsChanged{Runs: runs, Failed: failed})
}

// reportRestart notifies the release agent of what runs since a process ended by itself.
func (s *supervisor) reportRestart() {
	runs, failed := s.state()
	s.post(permits.ProcessRestarted{Runs: runs, Failed: failed})
}

// state returns what the door runs, and why digests were not applied.
func (s *supervisor) state() (runs release.Versions, failed map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs), maps.Clone(s.failed)
}

// post queues an event for the release agent.
func (s *supervisor) post(e any) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// now returns the time since the start in ms.
func (s *supervisor) now() float64 { return float64(time.Since(s.started)) / float64(time.Millisecond) }

// runReleaseAgent drives the door's permits.ReleaseAgent until ctx ends: it passes events to it and performs its actions.
func (s *supervisor) runReleaseAgent() {
	var all []config.NamedAddress
	for _, c := range s.cfg.Fleet.Coordinators {
		if n, err := config.ParseNamedAddress(c); err == nil {
			all = append(all, n)
		}
	}
	s.client = client.New(all)
	defer s.client.Close()
	s.mu.Lock()
	c := permits.NewReleaseAgent(s.cfg.Name, rand.Uint64(), maps.Clone(s.runs), maps.Clone(s.failed))
	s.mu.Unlock()
	tick := time.NewTicker(permits.TickEvery * time.Millisecond)
	defer tick.Stop()
	for {
		var e any = permits.Tick{}
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		case e = <-s.events:
		}
		for _, a := range c.Step(s.now(), e) {
			switch a := a.(type) {
			case permits.Post:
				go s.callCoordinators(a)
			case permits.ApplyRelease:
				s.tasks.Go(func() { s.apply(a) })
			case permits.SwitchRelease, permits.DiscardRelease:
				s.decisions <- a
			}
		}
	}
}

// callCoordinators sends one call to the coordinators and posts the result.
func (s *supervisor) callCoordinators(q permits.Post) {
	ctx, stop := context.WithTimeout(s.ctx, coordinatorTimeout)
	defer stop()
	var e any
	var err error
	if q.HolderReport != nil {
		var g permits.Assignment
		g, err = s.client.ReportHolder(ctx, q.HolderReport)
		e = permits.AssignmentReceived{Seq: q.Seq, Assignment: g}
	} else {
		var a permits.Answer
		a, err = s.client.Command(ctx, permits.Command{Caller: q.Caller, Seq: q.Seq, Do: q.Do})
		e = permits.Answered{Seq: q.Seq, Answer: a}
	}
	if err != nil {
		e = permits.Unanswered{Seq: q.Seq}
	}
	s.post(e)
}

// awaitSwitch reports that the new process is ready and waits for the release agent's decision whether it replaces the old one. It
// returns false if it does not, or if the supervisor shuts down.
func (s *supervisor) awaitSwitch() bool {
	for {
		s.post(permits.ReleasePrepared{})
		select {
		case decision := <-s.decisions:
			change, allowed := decision.(permits.SwitchRelease)
			if !allowed || s.now() <= change.UntilMs {
				return allowed
			}
		case <-s.ctx.Done():
			return false
		}
	}
}

// apply changes what the door runs: it starts the new process beside the old one, asks whether the release still stands, then stops
// the old one. If its time limit has already passed, because the supervisor was suspended, the change is dropped.
func (s *supervisor) apply(t permits.ApplyRelease) {
	s.changing.Lock() // a decision is for one prepared process: there is one at a time
	defer s.changing.Unlock()
	defer s.reportState()
	s.mu.Lock()
	previous := s.runs
	runs := maps.Clone(previous)
	if runs == nil {
		runs = release.Versions{}
	}
	runs[t.Changes] = t.Digest
	s.mu.Unlock()
	entry := s.log.WithFields(logrus.Fields{fields.Why: t.Name, fields.To: t.Digest, fields.Number: t.Release})
	if s.now() > t.UntilMs {
		entry.Warn("the time limit of the change has passed; not applied")
		return
	}
	w, err := s.startWithRetry(runs)
	if err != nil {
		if s.ctx.Err() == nil {
			if !t.Back {
				s.recordFailure(release.Versions{t.Changes: t.Digest}, err)
			}
			entry.WithError(err).Error(Refused)
		}
		return
	}
	if !s.awaitSwitch() {
		entry.Warn("the release may not be installed any more; " + Refused)
		s.stop(w)
		return
	}
	s.mu.Lock()
	if s.ending { // shutdown began after the start
		s.mu.Unlock()
		s.stop(w)
		return
	}
	old := s.current
	s.current, s.runs, s.previous, s.changedAt = w, runs, previous, time.Now()
	if t.Back {
		s.previous = runs // a rollback has nothing better to fall back to
	}
	s.mu.Unlock()
	entry.Info(Changed)
	s.tasks.Go(func() { s.keepRunning(w) })
	s.mu.Lock()
	s.terminate(old) // before saving the state: a directory that is not writable must not delay it
	s.mu.Unlock()
	s.saveState()
	s.stop(old)
}
