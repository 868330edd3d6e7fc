package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/swifthall/swifthall/coordinator"
	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/internal/serving"
	"github.com/swifthall/swifthall/lab/load"
	"github.com/swifthall/swifthall/lab/outs"
	"github.com/swifthall/swifthall/lab/outs/history"
	"github.com/swifthall/swifthall/lab/procs/check"
	"github.com/swifthall/swifthall/lab/stand"
)

// Drill is a fault-injection test of drains on real processes: coordinators, doors, stand-in backends, clients under load, and
// operators who give commands through the program's own command line, while faults drawn from the seed are injected into
// coordinators and doors. It checks what was observed from outside: what operators were answered and when, whether each door
// reported that it is ready, and which requests each backend received.
type Drill struct {
	Seed            uint64
	Seconds         float64
	Doors           int
	Coordinators    int     // together with Doors at most maxProcesses
	Binary          string  // path of swifthall; its other programs are in the same directory
	Logs            string  // directory for the processes' logs; empty for none
	Rate            float64 // requests per second to each door without faults
	CoordinatorLoss string  // none, one, leader or all: which coordinators are killed, for measurements; empty for random faults
}

// Rules of a drill, besides those of package outs and RuleNoUnexpectedExit.
const (
	RuleDrainsLinearizable   = "drains are as one would have answered them"
	RuleDrainedBackendSilent = "a backend said to be drained gets nothing new"
	RuleDrillRecovers        = "all is back once the faults are over"
	RuleUnaffectedDoorsServe = "doors that nothing befalls serve on"
)

// Timing and budgets of a drill.
const (
	firstFaultS            = 1.5         // s before the first fault
	quietTailS             = 3.0         // s without new faults at the end
	recoveryTimeoutMs      = 25e3        // ms after the end for failures to be detected, doors to start and permits to be released
	zoneCount              = 3           // zones over which the doors are spread
	maxDoorsOut            = 2           // budget: doors of the fleet out of service
	maxZoneDoorsOut        = 1           // budget: doors of one zone out of service
	maxBackendsOut         = 1           // budget: backends out of service
	probeIntervalMs        = 20          // ms between readiness probes of a door
	probeTimeoutMs         = 300         // ms that a probe may take
	inFlightGraceMs        = 300         // ms during which a drained backend may still receive requests that were sent before
	operatorPatience       = "4s"        // how long a command waits for an answer
	linearizabilityTimeout = time.Minute // limit on checking the history of drains
	exitRefused            = 4           // exit code of a command that was refused
	exitUnreachable        = 5           // exit code of a command that received no answer
)

// DrillResult is the result of a drill. It is encoded to JSON under the names in the tags, or the fields' own.
type DrillResult struct {
	Seed            uint64
	Violations      []outs.Violation `json:"Breaches"`
	Faults          []string         `json:"Strikes"` // the injected faults, in order of time
	Went, Returned  int              // planned outages of doors that began, and that ended
	Calls           int              // operations on backends by operators
	Drained         int              // how often a backend was reported as drained
	Refused, Lost   int              // operations that were refused, or received no answer
	Asked, Finished int              // requests to doors without faults
	BackMs          float64          // time after the end until everything was back in service; below 0 if it never was
	HaltMs          float64          // longest time from the answer to a halt until a planned outage began
	History         []history.Op
}

// probeResult is the result of one readiness probe of a door.
type probeResult struct {
	sentAt, receivedAt float64
	status             int // HTTP status; 0 for no answer
}

// drainedSpan is an interval during which a backend was reported as drained.
type drainedSpan struct {
	unit     string
	from, to float64
}

// node is the process of a coordinator or a door, into which faults can be injected.
type node struct {
	child
	d             *drill
	name          string
	args          []string
	env           []string
	dir           string  // a coordinator's data, or a door's releases
	diskFaultFile string  // a coordinator's file that selects a simulated disk fault
	incarnations  int     // how often it was started
	busyUntil     float64 // end of its current fault; the next one must start later
	faulted       bool    // some fault is scheduled for it

	address string // on which a door accepts requests, or a coordinator commands

	// Recorded for doors only, guarded by the drill's mu.
	startTimes []float64
	stopTimes  []float64 // kills and termination signals
	paused     []check.Interval
	probes     []probeResult
}

// drill is the state of a running drill, rollout, migration or coordinator benchmark.
type drill struct {
	Drill
	ctx                  context.Context
	site                 *stand.Site
	dir                  string
	startBits            atomic.Uint64 // monotonic clock at the start of the run, ms, as float64 bits
	coordinators         []*node
	doors                []*node
	relays               map[[2]string]*relay // by the names of the source and the target
	coordinatorAddresses string               // as commands accept them: NAME/ADDRESS, separated by commas
	holdListeners        bool                 // doors have a releases directory: their listeners are held across restarts, so that releases can be rolled out

	clockAheadS string          // s by which the last coordinator's wall clock is ahead; empty for a random offset
	tariffs     json.RawMessage // of all doors, instead of the site's own

	mu           sync.Mutex
	cutUntil     map[[2]string]float64 // end of the cut of a link, by the names of the source and the target
	failures     []string              // unexpected exits, and failures of the rig itself
	injected     []string              // descriptions of the injected faults
	arrivals     map[string][]float64  // times of requests, by backend
	drainedSpans []drainedSpan
	halts        []outs.HaltPeriod
	history      []history.Op
	refused      int
	lost         int
}

// ms returns the time since the start of the run, in ms.
func (d *drill) ms() float64 { return monotonicMs() - math.Float64frombits(d.startBits.Load()) }

// startClock makes now the start of the run.
func (d *drill) startClock() { d.startBits.Store(math.Float64bits(monotonicMs())) }

// Run runs the drill.
func (p Drill) Run(ctx context.Context) (*DrillResult, error) {
	if n := p.Doors + p.Coordinators; n > maxProcesses {
		return nil, &ProcessLimitError{n}
	}
	for _, program := range []string{p.Binary, p.Binary + "-coordinate", p.Binary + "-fleet"} {
		if _, err := os.Stat(program); err != nil {
			return nil, &RigError{"the program " + program, err}
		}
	}
	d := &drill{Drill: p, ctx: ctx}
	defer d.tearDown()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	return d.run()
}

// setUp creates the temporary directory and the stand-in backends; tearDown removes them.
func (d *drill) setUp() (err error) {
	d.relays, d.cutUntil, d.arrivals = map[[2]string]*relay{}, map[[2]string]float64{}, map[string][]float64{}
	d.startClock()
	if d.dir, err = os.MkdirTemp("", "drill-"); err != nil {
		return &RigError{"a temporary directory", err}
	}
	d.site, err = stand.NewSite(d.recordArrival)
	return err
}

// recordArrival records a request at a backend.
func (d *drill) recordArrival(backend string) {
	at := d.ms()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals[backend] = append(d.arrivals[backend], at)
}

// fail records an unexpected exit or a failure of the rig, which the result reports as a violation.
func (d *drill) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, fmt.Sprintf(format, args...))
}

// coordinatorName returns the name of a coordinator by its number.
func coordinatorName(i int) string { return fmt.Sprintf("c-%d", i+1) }

// addRelay starts a relay on the link from one node to another, and returns the relay's address.
func (d *drill) addRelay(from, to, address string) (string, error) {
	link, reverse := [2]string{from, to}, [2]string{to, from}
	cut := func(of [2]string) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.ms() < d.cutUntil[of]
	}
	proxy, err := newRelay(address, d.Seed, func() impairment { return impairment{cut: cut(link)} }, func() bool { return cut(link) || cut(reverse) })
	if err != nil {
		return "", err
	}
	d.relays[link] = proxy
	return proxy.address, nil
}

// prepare writes all configurations, and places relays between coordinators and from doors to coordinators.
func (d *drill) prepare() error {
	if err := d.prepareCoordinators(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(d.Seed, 21))
	for _, c := range d.coordinators {
		c.env = append(c.env, skewedClock(rng))
	}
	if d.clockAheadS != "" {
		c := d.coordinators[len(d.coordinators)-1]
		c.env = append(c.env, serving.WallOffsetVariable+"="+d.clockAheadS) // overrides the random offset: the last value of a variable applies
	}
	fleetAddresses := make([]string, d.Doors)
	var seedPeers []string
	for i := range fleetAddresses {
		var err error
		if fleetAddresses[i], err = loopback.Free(); err != nil {
			return err
		}
		if i < seedDoors {
			seedPeers = append(seedPeers, Door(i)+"/"+fleetAddresses[i])
		}
	}
	for i := range d.Doors {
		var err error
		p := &node{d: d, name: Door(i)}
		if p.address, err = loopback.Free(); err != nil {
			return err
		}
		var coordinators []string
		for _, c := range d.coordinators {
			address, err := d.addRelay(p.name, c.name, c.address)
			if err != nil {
				return err
			}
			coordinators = append(coordinators, c.name+"/"+address)
		}
		cfg := d.site.Config(p.name, p.address, i, d.Doors)
		cfg["log"] = map[string]string{"format": "json", "level": "info"}
		if d.tariffs != nil {
			cfg["settings"].(map[string]any)["tariffs"] = d.tariffs
		}
		fleetSettings := map[string]any{"name": "drill", "zone": fmt.Sprint("z", i%zoneCount), "listen": fleetAddresses[i], "peers": seedPeers, "coordinators": coordinators}
		if d.holdListeners {
			p.dir = filepath.Join(d.dir, "releases-"+p.name)
			if err := os.MkdirAll(p.dir, 0o700); err != nil {
				return &RigError{"a directory for releases", err}
			}
			fleetSettings["releases"] = p.dir
		}
		cfg["fleet"] = fleetSettings
		file, err := d.writeConfig(p.name, cfg)
		if err != nil {
			return err
		}
		p.args = []string{d.Binary}
		p.env = []string{"GW_CONFIG=" + file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", skewedClock(rng)}
		d.doors = append(d.doors, p)
	}
	return nil
}

// skewedClock returns the environment variable that sets a process's wall clock off by up to 2.5 s, so that two of them are
// up to 5 s apart.
func skewedClock(rng *rand.Rand) string {
	return fmt.Sprintf("%s=%g", serving.WallOffsetVariable, 5*rng.Float64()-2.5)
}

// diskFaultSetting returns the environment variable that names a coordinator's disk fault file.
func diskFaultSetting(file string) string { return coordinator.DiskFaultVariable + "=" + file }

// writeConfig writes a JSON file into the drill's directory and returns its path.
func (d *drill) writeConfig(name string, v any) (string, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return "", &RigError{"a configuration", err}
	}
	file := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return "", &RigError{"a configuration", err}
	}
	return file, nil
}

// start starts an incarnation of the node's process.
func (p *node) start() error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	p.incarnations++
	p.d.mu.Lock()
	p.startTimes = append(p.startTimes, p.d.ms())
	p.d.mu.Unlock()
	return p.child.start(cmd, p.d.Logs, fmt.Sprintf("%s-%d.log", p.name, p.incarnations), func([]byte) {}, func(reason string) { p.d.fail("%s exited unexpectedly: %s", p.name, reason) })
}

// startAll starts all processes, sets the budgets, and waits until the coordinators count every unit as in service.
func (d *drill) startAll() error {
	if err := d.setUp(); err != nil {
		return err
	}
	if err := d.prepare(); err != nil {
		return err
	}
	for _, p := range append(slices.Clone(d.coordinators), d.doors...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	budgets := fmt.Sprintf(`[{"kind":"door","most_out":%d},{"kind":"door","zone":"*","most_out":%d},{"kind":"backend","most_out":%d}]`, maxDoorsOut, maxZoneDoorsOut, maxBackendsOut)
	file := filepath.Join(d.dir, "budgets.json")
	if err := os.WriteFile(file, []byte(budgets), 0o600); err != nil {
		return &RigError{"a file", err}
	}
	deadline := time.Now().Add(startTimeout)
	for set := false; ; {
		if !set {
			set = d.command("budgets", file) == 0
		} else if st := d.status(); st != nil && st.inServiceCount() == d.Doors+d.backendCount() {
			break
		}
		d.mu.Lock()
		failed := slices.Clone(d.failures)
		d.mu.Unlock()
		if len(failed) == 0 && time.Now().After(deadline) {
			failed = []string{"the coordinators don't count all units as in service"}
		}
		if len(failed) > 0 {
			return &DoorsError{failed}
		}
		if d.ctx.Err() != nil {
			return &StoppedError{0, d.ctx.Err()}
		}
	}
	return nil
}

// backendCount returns the number of stand-in backends.
func (d *drill) backendCount() int { return d.site.Backends() }

// command runs one operator command to its end and returns its exit code.
func (d *drill) command(args ...string) int {
	_, code := d.commandOutput(args...)
	return code
}

// commandOutput runs one operator command and returns its output and exit code. An exit code other than success, refused or
// unreachable is recorded as a failure.
func (d *drill) commandOutput(args ...string) ([]byte, int) {
	args = append(args, "--at", d.coordinatorAddresses, "--patience", operatorPatience, "--who", "rig", "--why", "drill")
	cmd := exec.Command(d.Binary+"-coordinate", args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out bytes.Buffer
	cmd.Stdout = &out
	err := cmd.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return out.Bytes(), 0
	case errors.As(err, &exit):
		if code := exit.ExitCode(); code != exitRefused && code != exitUnreachable {
			d.fail("%s exited with code %d", strings.Join(args[:min(3, len(args))], " "), code)
		}
		return nil, exit.ExitCode()
	}
	d.fail("%s: %v", args[0], err)
	return nil, exitUnreachable
}

// statusReport is the part of the output of status --json that the rig reads.
type statusReport struct {
	Units []struct {
		Kind, Name string
		Out        bool `json:"out"`
	} `json:"units"`
	Places []struct { // the permits
		Unit    struct{ Kind, Name string }
		Over    bool // the drain has ended; the unit is to come back
		Drained bool `json:"drained"` // the drain is complete
	} `json:"places"`
}

// inServiceCount returns how many units don't count as out.
func (t *statusReport) inServiceCount() (n int) {
	for _, u := range t.Units {
		if !u.Out {
			n++
		}
	}
	return n
}

// status returns the coordinators' status; nil if they didn't answer.
func (d *drill) status() *statusReport {
	raw, code := d.commandOutput("status", "--json")
	var t statusReport
	if code != 0 || json.Unmarshal(raw, &t) != nil {
		return nil
	}
	return &t
}

// run injects the faults at their times, while operators, clients and readiness probes run concurrently.
func (d *drill) run() (*DrillResult, error) {
	injections := d.drawFaults()
	if _, err := warmUp(d.ctx, d.site, d.unaffectedDoors(), d.Rate); err != nil {
		return nil, err
	}
	d.startClock()
	d.mu.Lock()
	clear(d.arrivals)
	for _, p := range d.doors {
		p.startTimes = []float64{0}
	}
	d.mu.Unlock()
	end := d.Seconds * msPerSecond
	running, stop := context.WithCancel(d.ctx)
	defer stop()
	var operators, probers sync.WaitGroup
	for _, p := range d.doors {
		probers.Go(func() { p.pollReadiness(running) })
	}
	for i := range 2 {
		operators.Go(func() { d.operateBackends(i, end) })
	}
	operators.Go(func() { d.operateDoors(end) })
	operators.Go(func() { d.operateHalt(end) })
	served := startClients(d.ctx, d.site, d.unaffectedDoors(), d.Rate, end)
	for _, s := range injections {
		if err := d.sleep(s.at); err != nil {
			return nil, err
		}
		d.mu.Lock()
		d.injected = append(d.injected, fmt.Sprintf("%.1f s %s", d.ms()/msPerSecond, s.description))
		d.mu.Unlock()
		if err := s.inject(); err != nil {
			return nil, err
		}
	}
	if err := d.sleep(end); err != nil {
		return nil, err
	}
	operators.Wait()
	recoveryMs := d.awaitRecovery()
	stop()
	probers.Wait()
	outcomes, err := served()
	if err != nil {
		return nil, err
	}
	return d.result(recoveryMs, outcomes), nil
}

// sleep waits until a time of the run.
func (d *drill) sleep(until float64) error {
	for left := until - d.ms(); left > 0; left = until - d.ms() {
		select {
		case <-time.After(time.Duration(left * 1e6)):
		case <-d.ctx.Done():
			return &StoppedError{d.ms() / msPerSecond, d.ctx.Err()}
		}
	}
	return nil
}

// ---- Fault injection ----

// injection is one scheduled step of a fault: its beginning or its end.
type injection struct {
	at          float64
	description string
	inject      func() error
}

// drawFaults draws the faults of coordinators and doors. Each node has at most one fault at a time; different nodes can have
// faults at the same time.
func (d *drill) drawFaults() (all []injection) {
	rng := rand.New(rand.NewPCG(d.Seed, 22))
	lastMs := (d.Seconds - quietTailS) * msPerSecond
	add := func(at float64, description string, do func() error) {
		all = append(all, injection{min(at, lastMs), description, do})
	}
	noError := func(do func()) func() error { return func() error { do(); return nil } }
	if d.CoordinatorLoss != "" {
		return d.drawCoordinatorLoss(lastMs)
	}
	allDownAt := lastMs * (0.4 + 0.3*rng.Float64()) // when all coordinators are killed at once, in one of three drills
	if rng.IntN(3) > 0 {
		allDownAt = math.Inf(1)
	}
	for _, p := range d.coordinators {
		if allDownAt < lastMs {
			add(allDownAt, "kill "+p.name, noError(p.kill))
			add(allDownAt+1500, "start "+p.name, p.start)
		}
	}
	for at := firstFaultS * msPerSecond; at < lastMs-1000; at += 400 + 1600*rng.Float64() {
		kind := rng.IntN(11)
		targets := d.coordinators
		if kind >= 6 {
			targets = d.doors
		}
		p := targets[rng.IntN(len(targets))]
		durationMs := (0.4 + 4.6*rng.Float64()*rng.Float64()) * msPerSecond
		if at < p.busyUntil || kind < 6 && at+durationMs > allDownAt-500 && at < allDownAt+2500 {
			continue
		}
		p.faulted = true
		switch kind {
		case 0, 1: // pause a coordinator
			add(at, "pause "+p.name, noError(func() { p.signal(syscall.SIGSTOP, false) }))
			add(at+durationMs, "resume "+p.name, noError(func() { p.signal(syscall.SIGCONT, false) }))
		case 2: // kill it
			add(at, "kill "+p.name, noError(p.kill))
			add(at+durationMs, "start "+p.name, p.start)
		case 3: // cut it off from the other coordinators
			add(at, "cut off "+p.name, noError(func() { d.cutLinks(p.name, d.coordinators, d.ms()+durationMs, rng.IntN(3)) }))
		case 4: // fill its disk: it exits on the next write, and is restarted once there is space again
			add(at, "full disk at "+p.name, noError(func() { d.setDiskFault(p, "full") }))
			add(at+durationMs, "free disk at "+p.name, func() error { return p.restoreDisk(d) })
		case 5: // slow its disk down
			add(at, "slow disk at "+p.name, noError(func() { d.setDiskFault(p, "500ms") }))
			add(at+durationMs, "normal disk at "+p.name, noError(func() { d.setDiskFault(p, "") }))
		case 6, 7: // pause a door
			add(at, "pause "+p.name, noError(func() { p.pause(durationMs) }))
			add(at+durationMs, "resume "+p.name, noError(func() { p.signal(syscall.SIGCONT, false) }))
		case 8: // kill it, with or without enough time for coordinators to notice
			durationMs *= 1 + 2*rng.Float64()
			add(at, "kill "+p.name, noError(func() { p.recordStop(); p.kill() }))
			add(at+durationMs, "start "+p.name, p.start)
		case 9: // terminate it
			add(at, "terminate "+p.name, noError(func() { p.recordStop(); p.signal(syscall.SIGTERM, true) }))
			add(at+durationMs, "start "+p.name, func() error {
				if done := p.signal(0, true); done != nil {
					<-done
				}
				return p.start()
			})
		case 10: // cut it off from the coordinators
			add(at, "cut off "+p.name, noError(func() { d.cutLinks(p.name, d.coordinators, d.ms()+durationMs, rng.IntN(3)) }))
		}
		p.busyUntil = at + durationMs + 500
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	return all
}

// drawCoordinatorLoss returns the kills and restarts of coordinators for measurements: of one of them, of the current leader
// every 5 s, or of all at once.
func (d *drill) drawCoordinatorLoss(lastMs float64) (all []injection) {
	killAndRestart := func(at, durationMs float64, description string, which func() []*node) {
		var killed []*node
		all = append(all, injection{at, "kill " + description, func() error {
			for _, p := range which() {
				killed = append(killed, p)
				p.kill()
			}
			return nil
		}}, injection{at + durationMs, "start " + description, func() error {
			for _, p := range killed {
				if err := p.start(); err != nil {
					return err
				}
			}
			return nil
		}})
	}
	switch d.CoordinatorLoss {
	case "one":
		killAndRestart(lastMs*0.3, lastMs*0.4, "one", func() []*node { return d.coordinators[:1] })
	case "leader":
		for at := firstFaultS * msPerSecond; at+3000 < lastMs; at += 5000 {
			killAndRestart(at, 2500, "the leader", func() []*node {
				raw, code := d.commandOutput("status", "--json")
				var t struct{ Leader string }
				if code != 0 || json.Unmarshal(raw, &t) != nil {
					return nil
				}
				return slices.DeleteFunc(slices.Clone(d.coordinators), func(p *node) bool { return p.name != t.Leader })
			})
		}
	case "all":
		killAndRestart(lastMs*0.3, lastMs*0.4, "all", func() []*node { return d.coordinators })
	}
	return all
}

// kill kills the node's process and waits until it has exited.
func (p *node) kill() {
	if done := p.signal(syscall.SIGKILL, true); done != nil {
		<-done
	}
}

// recordStop records that the rig is about to kill or terminate the node.
func (p *node) recordStop() {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.stopTimes = append(p.stopTimes, p.d.ms())
}

// pause stops the node's process for a time, after which the caller resumes it, and records the interval.
func (p *node) pause(durationMs float64) {
	p.d.mu.Lock()
	p.paused = append(p.paused, check.Interval{From: p.d.ms(), To: p.d.ms() + durationMs})
	p.d.mu.Unlock()
	p.signal(syscall.SIGSTOP, false)
}

// restoreDisk ends a coordinator's disk fault, and restarts the coordinator if it exited because of it.
func (p *node) restoreDisk(d *drill) error {
	d.setDiskFault(p, "")
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return p.start()
	default: // still running: it wrote nothing in the meantime
		p.mu.Lock()
		p.exitExpected = false
		p.mu.Unlock()
		return nil
	}
}

// setDiskFault sets a coordinator's simulated disk fault: full, a delay per write, or none if empty.
func (d *drill) setDiskFault(p *node, fault string) {
	if fault == "full" {
		p.mu.Lock()
		p.exitExpected = true // it exits on the next write
		p.mu.Unlock()
	}
	if err := os.WriteFile(p.diskFaultFile, []byte(fault), 0o600); err != nil {
		d.fail("setting a disk fault: %v", err)
	}
}

// cutLinks cuts the links between one node and others until a time: outgoing with direction 0, incoming with 1, both with 2.
func (d *drill) cutLinks(name string, others []*node, until float64, direction int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range others {
		if direction != 1 {
			d.cutUntil[[2]string{name, o.name}] = until
		}
		if direction != 0 {
			d.cutUntil[[2]string{o.name, name}] = until
		}
	}
}

// ---- Operators and probes ----

// commandBackend executes one operation of an operator on a backend, or reads the status, and adds it with its outcome to the
// history.
func (d *drill) commandBackend(operator int, call history.Call, unit string) int {
	op := history.Op{Operator: operator, Call: call, Unit: unit, From: d.ms()}
	var code int
	switch call {
	case history.Drain:
		code = d.command("drain", "backend", unit)
	case history.Undrain:
		code = d.command("undrain", "backend", unit)
	case history.Read:
		code = exitUnreachable
		if t := d.status(); t != nil {
			code = 0
			for _, p := range t.Places {
				switch {
				case p.Unit.Kind != "backend":
				case p.Over:
					op.Back = append(op.Back, p.Unit.Name)
				default:
					op.Out = append(op.Out, p.Unit.Name)
					if p.Drained && p.Unit.Name == unit { // drained by this operator: no other brings it back in the meantime
						d.recordDrained(p.Unit.Name, d.ms())
					}
				}
			}
		}
	}
	op.To = d.ms()
	op.Outcome = map[int]history.Outcome{0: history.Done, exitRefused: history.Refused, exitUnreachable: history.Lost}[code]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, op)
	switch op.Outcome {
	case history.Refused:
		d.refused++
	case history.Lost:
		d.lost++
	}
	return code
}

// recordDrained records that a backend was reported as drained; endDrained sets the end of the span.
func (d *drill) recordDrained(unit string, at float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainedSpans = append(d.drainedSpans, drainedSpan{unit, at, math.Inf(1)})
}

// endDrained ends the open spans of a backend: it is about to be undrained.
func (d *drill) endDrained(unit string) {
	at := d.ms()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.drainedSpans {
		if d.drainedSpans[i].unit == unit {
			d.drainedSpans[i].to = min(d.drainedSpans[i].to, at)
		}
	}
}

// operateBackends drains and undrains random backends, as one of several concurrent operators.
func (d *drill) operateBackends(operator int, end float64) {
	rng := rand.New(rand.NewPCG(d.Seed, 31+uint64(operator)))
	lastMs := end - quietTailS*msPerSecond/2
	for d.ms() < lastMs && d.ctx.Err() == nil {
		unit := fmt.Sprint("b-", rng.IntN(d.backendCount()))
		if d.commandBackend(operator, history.Drain, unit) != exitRefused { // a drain without an answer may have taken effect
			holdUntil := d.ms() + 300 + 2000*rng.Float64()
			for d.ms() < min(holdUntil, lastMs) && d.ctx.Err() == nil {
				d.commandBackend(operator, history.Read, unit)
			}
			for d.endDrained(unit); d.commandBackend(operator, history.Undrain, unit) == exitUnreachable && d.ctx.Err() == nil; {
				d.endDrained(unit)
			}
		} else {
			d.commandBackend(operator, history.Read, "")
		}
		_ = d.sleep(d.ms() + 200*rng.Float64())
	}
}

// operateDoors drains and undrains random doors.
func (d *drill) operateDoors(end float64) {
	rng := rand.New(rand.NewPCG(d.Seed, 41))
	var drained []string
	lastMs := end - quietTailS*msPerSecond
	for d.ms() < lastMs && d.ctx.Err() == nil {
		name := d.doors[rng.IntN(len(d.doors))].name
		if d.command("drain", "door", name) == 0 {
			drained = append(drained, name)
		}
		_ = d.sleep(d.ms() + 600*rng.Float64())
		if len(drained) > 0 && rng.IntN(3) > 0 {
			if d.command("undrain", "door", drained[0]) != exitUnreachable {
				drained = drained[1:]
			}
		}
	}
}

// operateHalt halts all drains once for 3 s, and records when.
func (d *drill) operateHalt(end float64) {
	rng := rand.New(rand.NewPCG(d.Seed, 51))
	if d.sleep(end*(0.35+0.2*rng.Float64())) != nil {
		return
	}
	for d.command("halt") == exitUnreachable && d.ctx.Err() == nil {
	}
	from := d.ms()
	_ = d.sleep(from + 3000)
	to := d.ms()
	for d.command("resume") == exitUnreachable && d.ctx.Err() == nil {
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.halts = append(d.halts, outs.HaltPeriod{From: from, To: to})
}

// pollReadiness probes whether a door is ready, every probeIntervalMs until ctx ends.
func (p *node) pollReadiness(ctx context.Context) {
	client := http.Client{Timeout: probeTimeoutMs * time.Millisecond}
	defer client.CloseIdleConnections()
	t := time.NewTicker(probeIntervalMs * time.Millisecond)
	defer t.Stop()
	for {
		l := probeResult{sentAt: p.d.ms()}
		if resp, err := client.Get("http://" + p.address + "/health/ready"); err == nil {
			resp.Body.Close()
			l.status = resp.StatusCode
		}
		l.receivedAt = p.d.ms()
		p.d.mu.Lock()
		p.probes = append(p.probes, l)
		p.d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// unaffectedDoors returns the addresses of the doors without scheduled faults, by number; none if there are no clients. A drain
// is no fault.
func (d *drill) unaffectedDoors() map[int]string {
	doors := map[int]string{}
	for i, p := range d.doors {
		if !p.faulted && d.Rate > 0 {
			doors[i] = p.address
		}
	}
	return doors
}

// awaitRecovery ends all drains and waits until everything is back in service. It returns how long that took, in ms, or -1 if
// it took longer than recoveryTimeoutMs.
func (d *drill) awaitRecovery() float64 {
	from := d.ms()
	for d.ms()-from < recoveryTimeoutMs && d.ctx.Err() == nil {
		t := d.status()
		if t == nil {
			continue
		}
		for _, p := range t.Places {
			if !p.Over {
				d.endDrained(p.Unit.Name)
				d.command("undrain", strings.ToLower(p.Unit.Kind), p.Unit.Name)
			}
		}
		if len(t.Places) == 0 && t.inServiceCount() == d.Doors+d.backendCount() && d.allReady() {
			return d.ms() - from
		}
	}
	return -1
}

// allReady reports whether the latest probe of every door found it ready.
func (d *drill) allReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.doors {
		if n := len(p.probes); n == 0 || p.probes[n-1].status != http.StatusOK {
			return false
		}
	}
	return true
}

// tearDown stops all processes, relays and stand-in backends, and removes the drill's directory.
func (d *drill) tearDown() {
	var all []*child
	for _, p := range append(slices.Clone(d.coordinators), d.doors...) {
		all = append(all, &p.child)
	}
	stopAll(all)
	for _, r := range d.relays {
		r.close()
	}
	if d.site != nil {
		d.site.Close()
	}
	if d.dir != "" {
		os.RemoveAll(d.dir)
	}
}

// ---- Checking ----

// outagesOf derives from the probes of a door the intervals during which it certainly was out of service. An outage is planned
// if the door answers that it is not ready although it was ready in the same incarnation and wasn't asked to terminate. It is
// a failure from a kill or a termination signal until the door is ready again, and during a pause. Returned counts the planned
// outages that ended.
func outagesOf(door int, startTimes, stopTimes []float64, paused []check.Interval, probes []probeResult) (all []outs.Outage, returned int) {
	incarnation := func(at float64) (n int) {
		for _, b := range startTimes {
			if b <= at {
				n++
			}
		}
		return n
	}
	stopsUntil := func(at float64) (n int) {
		for _, e := range stopTimes {
			if e <= at {
				n++
			}
		}
		return n
	}
	const none = -1
	plan, ready := none, 0 // index in all of the open planned outage; incarnation that was last seen ready
	for _, l := range probes {
		now := incarnation(l.sentAt)
		switch {
		case l.status == http.StatusOK:
			if plan != none {
				all[plan].To = l.sentAt
				plan, returned = none, returned+1
			}
			ready = now
		case l.status == http.StatusServiceUnavailable && plan == none && ready == now && now == incarnation(l.receivedAt) && stopsUntil(l.receivedAt) < now:
			plan = len(all)
			all = append(all, outs.Outage{Door: door, From: l.receivedAt, To: math.Inf(1), Planned: true})
		}
	}
	for _, e := range stopTimes {
		g := outs.Outage{Door: door, From: e, To: math.Inf(1)}
		for _, l := range probes {
			if l.sentAt > e && incarnation(l.sentAt) > stopsUntil(e) && l.status == http.StatusOK {
				g.To = l.sentAt
				break
			}
		}
		all = append(all, g)
	}
	for _, s := range paused {
		all = append(all, outs.Outage{Door: door, From: s.From, To: s.To})
	}
	return all, returned
}

// requestsWhileDrained returns a violation for each span in which a backend that was reported as drained received a request.
func requestsWhileDrained(spans []drainedSpan, arrivals map[string][]float64) (violations []outs.Violation) {
	for _, c := range spans {
		for _, at := range arrivals[c.unit] {
			if at > c.from+inFlightGraceMs && at < c.to {
				violations = append(violations, outs.Violation{Rule: RuleDrainedBackendSilent, At: at, Text: fmt.Sprintf("an operation arrived at %s %.0f ms after it was reported as drained", c.unit, at-c.from)})
				break
			}
		}
	}
	return violations
}

// result checks what was recorded and returns the result of the drill.
func (d *drill) result(recoveryMs float64, served []*load.Outcome) *DrillResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &DrillResult{Seed: d.Seed, Faults: d.injected, Calls: len(d.history), Refused: d.refused, Lost: d.lost, BackMs: recoveryMs, History: d.history}
	var zones []int
	var all []outs.Outage
	for i, p := range d.doors {
		zones = append(zones, i%zoneCount)
		g, n := outagesOf(i, p.startTimes, p.stopTimes, p.paused, p.probes)
		r.Returned += n
		all = append(all, g...)
	}
	for _, g := range all {
		if g.Planned {
			r.Went++
			for _, s := range d.halts {
				if g.From > s.From && g.From < s.To {
					r.HaltMs = max(r.HaltMs, g.From-s.From)
				}
			}
		}
	}
	r.Violations = outs.CheckOutages(zones, all, d.halts, []outs.BudgetLimit{{MostOut: maxDoorsOut}, {EachZone: true, MostOut: maxZoneDoorsOut}})
	var drained []drainedSpan
	for _, c := range d.drainedSpans {
		if len(drained) == 0 || drained[len(drained)-1].unit != c.unit || drained[len(drained)-1].to != c.to {
			drained = append(drained, c)
		}
	}
	r.Drained = len(drained)
	r.Violations = append(r.Violations, requestsWhileDrained(d.drainedSpans, d.arrivals)...)
	if ok, reason := history.Check(maxBackendsOut, d.history, linearizabilityTimeout); !ok {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleDrainsLinearizable, Text: reason})
	}
	if recoveryMs < 0 {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleDrillRecovers, At: d.ms(), Text: fmt.Sprintf("not everything is back in service after %.0f s", recoveryTimeoutMs/msPerSecond)})
	}
	for _, f := range d.failures {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleNoUnexpectedExit, Text: f})
	}
	var reason string
	if r.Asked, r.Finished, reason = checkFinished(served); reason != "" {
		r.Violations = append(r.Violations, outs.Violation{Rule: RuleUnaffectedDoorsServe, Text: reason})
	}
	return r
}
