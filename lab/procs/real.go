package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/swifthall/swifthall/fleet"
	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/internal/serving"
	"github.com/swifthall/swifthall/lab/load"
	"github.com/swifthall/swifthall/lab/procs/check"
	"github.com/swifthall/swifthall/lab/stand"
)

// Real runs a plan on real processes of the built program.
type Real struct {
	Plan    *Plan
	Binary  string  // path of swifthall; swifthall-fleet is in the same directory
	Logs    string  // directory for the processes' logs; empty for none
	Rate    float64 // requests per second to each door without faults; 0 for no clients
	NoFleet bool    // run doors without a fleet, as a baseline for the cost of membership
}

const (
	maxProcesses  = 24               // more would distort each other's timing on one machine
	startTimeout  = 30 * time.Second // in which all processes must start and find each other
	stopTimeout   = 10 * time.Second // from a termination signal until processes are killed
	clientTimeout = 2 * time.Second  // how long clients wait for an answer
)

// rig is the state of a run on processes: the doors and the relays on the links between them.
type rig struct {
	Real
	ctx       context.Context
	site      *stand.Site
	dir       string
	doors     []*process
	namesakes []*process // additional processes under doors' names
	relays    []*relay   // indexed by from*doors+to; nil on the diagonal
	startMs   float64    // monotonic clock at the start of the run; 0 before it, guarded by mu

	mu            sync.Mutex
	history       []check.Event
	view          [][]string
	changed       chan struct{}
	failures      []string
	nameConflicts int
	doorIndex     map[string]int
	cpu, resident []float64 // of each door that wasn't restarted: processor time, ms per second, and resident memory, MB
}

// process is one door's process, over all its incarnations.
type process struct {
	r                     *rig
	door                  int
	fleetAddress, address string
	statusAddress         string
	incarnations          int // how often it was started
	child
}

// monotonicMs returns the machine's monotonic clock in ms, the clock that the processes log.
func monotonicMs() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return float64(t.Sec)*1e3 + float64(t.Nsec)/1e6
}

// Run runs the plan and checks its history.
func (p Real) Run(ctx context.Context, progress func(done float64)) (*Result, error) {
	n := p.Plan.Fleet.Doors
	if n > maxProcesses {
		return nil, &ProcessLimitError{n}
	}
	if _, err := os.Stat(p.Binary); err != nil {
		return nil, &RigError{"the program " + p.Binary, err}
	}
	dir, err := os.MkdirTemp("", "procs-")
	if err != nil {
		return nil, &RigError{"a temporary directory", err}
	}
	defer os.RemoveAll(dir)
	site, err := stand.NewSite(nil)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	r := &rig{Real: p, ctx: ctx, site: site, dir: dir, relays: make([]*relay, n*n), view: make([][]string, n), changed: make(chan struct{}, 1), doorIndex: map[string]int{}}
	defer r.stop()
	for i := range n {
		r.view[i] = make([]string, n)
		r.doorIndex[Door(i)] = i
		door, err := r.newProcess(i)
		if err != nil {
			return nil, err
		}
		r.doors = append(r.doors, door)
	}
	if err := r.startRelays(); err != nil {
		return nil, err
	}
	if err := r.startDoors(); err != nil {
		return nil, err
	}
	served, err := r.run(progress)
	if err != nil {
		return nil, err
	}
	return r.result(served), nil
}

// newProcess allocates loopback addresses for a process under a door's name; it doesn't start it.
func (r *rig) newProcess(door int) (*process, error) {
	p := &process{r: r, door: door}
	for _, at := range []*string{&p.fleetAddress, &p.address, &p.statusAddress} {
		a, err := loopback.Free()
		if err != nil {
			return nil, err
		}
		*at = a
	}
	return p, nil
}

// ms returns the time since the start of the run, in ms; negative before it.
func (r *rig) ms() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startMs == 0 {
		return -joinPhaseMs
	}
	return monotonicMs() - r.startMs
}

// startRelays starts a relay on each directed link. With a second process under a door's name, names don't identify the
// processes to route to; there are then no relays, and doors reach each other at the addresses that they announce.
func (r *rig) startRelays() error {
	n := r.Plan.Fleet.Doors
	if len(r.Plan.Namesakes) > 0 || r.NoFleet {
		return nil
	}
	cut := func(link int, at float64) bool {
		return slices.ContainsFunc(r.Plan.Truth.Cuts, func(c check.Cut) bool { return c.Links[link] && at >= c.From && at < c.To })
	}
	for i := range n {
		for j := range n {
			if i == j {
				continue
			}
			forward, reverse := i*n+j, j*n+i
			proxy, err := newRelay(r.doors[j].fleetAddress, r.Plan.Seed<<16+uint64(forward), func() impairment {
				at := r.ms()
				return impairment{cut: cut(forward, at), loss: max(r.Plan.Net.Loss, amountAt(r.Plan.Loss, forward, at)), maxDelayMs: amountAt(r.Plan.Delay, forward, at),
					duplicate: amountAt(r.Plan.Duplicate, forward, at), reorder: amountAt(r.Plan.Reorder, forward, at)}
			}, func() bool { at := r.ms(); return cut(forward, at) || cut(reverse, at) })
			if err != nil {
				return err
			}
			r.relays[forward] = proxy
		}
	}
	return nil
}

// start starts an incarnation of the process.
func (p *process) start() error {
	r, n := p.r, p.r.Plan.Fleet.Doors
	routes, peers := map[string]string{}, []string{}
	for j := range n {
		at := r.doors[j].fleetAddress
		if proxy := r.relays[p.door*n+j]; proxy != nil {
			at = proxy.address
			routes[Door(j)] = at
		}
		if j < seedDoors {
			peers = append(peers, Door(j)+"/"+at)
		}
	}
	cfg := r.site.Config(Door(p.door), p.address, p.door, n)
	cfg["log"] = map[string]string{"format": "json", "level": "info"}
	if !r.NoFleet {
		cfg["fleet"] = p.fleetConfig(peers, routes)
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		return &RigError{"a configuration", err}
	}
	p.incarnations++
	file := filepath.Join(r.dir, fmt.Sprintf("%s-%s.json", Door(p.door), p.fleetAddress[len("127.0.0.1:"):]))
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return &RigError{"a configuration", err}
	}
	cmd := exec.Command(r.Binary)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", fmt.Sprintf("%s=%g", serving.WallOffsetVariable, r.Plan.ClockOffsetS[p.door]))
	if p.ownsName() {
		r.record(check.Event{At: monotonicMs(), Door: p.door, About: p.door, From: "born"})
	}
	return p.child.start(cmd, r.Logs, fmt.Sprintf("%s-%d.log", Door(p.door), p.incarnations), p.parseLine, func(reason string) { r.fail("%s exited unexpectedly: %s", Door(p.door), reason) })
}

// fleetConfig returns the key fleet of the process's configuration.
func (p *process) fleetConfig(peers []string, routes map[string]string) map[string]any {
	return map[string]any{"name": "rig", "zone": fmt.Sprint("z", p.r.Plan.Truth.Zones[p.door]), "listen": p.fleetAddress, "peers": peers, "routes": routes,
		"status": p.statusAddress}
}

// usage returns the processor time that the running process has used so far, in ms, and its resident memory, in MB; 0 if
// unknown.
func (p *process) usage() (cpu, resident float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, 0
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	// Fields are counted after the process name, which is in brackets: the state is the first, user and system time are the 12th
	// and 13th, and the resident pages are the 22nd.
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(f) < 22 {
		return 0, 0
	}
	const hz = 100 // clock ticks per second in /proc
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	return (user + system) * 1e3 / hz, pages * float64(os.Getpagesize()) / (1 << 20)
}

// ownsName reports whether this is the door's original process, not a second one under its name.
func (p *process) ownsName() bool { return p.r.doors[p.door] == p }

// parseLine reads one line of the process's log: changes of membership, and refused names of second processes.
func (p *process) parseLine(raw []byte) {
	var l struct {
		Msg         string  `json:"msg"`
		Member      string  `json:"member"`
		From        string  `json:"from"`
		To          string  `json:"to"`
		Incarnation uint32  `json:"life"`
		Reason      string  `json:"why"`
		Clock       float64 `json:"clock_ms"`
	}
	if !bytes.Contains(raw, []byte(`"`+fields.Clock+`"`)) && !bytes.Contains(raw, []byte("no member")) || json.Unmarshal(raw, &l) != nil {
		return
	}
	if !p.ownsName() {
		if l.Msg == "no member of the fleet" {
			p.r.mu.Lock()
			p.r.nameConflicts++
			p.r.mu.Unlock()
		}
		return
	}
	if about, ok := p.r.doorIndex[l.Member]; ok && l.Msg == fleet.MemberChanged {
		p.r.record(check.Event{At: l.Clock, Door: p.door, About: about, From: l.From, To: l.To, Incarnation: l.Incarnation, Reason: l.Reason})
	}
}

// record adds an event to the history, with a time of the machine's monotonic clock, and updates the current view.
func (r *rig) record(e check.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, e)
	if e.From == "born" {
		clear(r.view[e.Door])
	} else {
		r.view[e.Door][e.About] = e.To
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// fail records an unexpected exit, which the result reports as a violation.
func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// startDoors starts the doors that run from the beginning, and waits until they all consider each other here.
func (r *rig) startDoors() error {
	var initial []int
	for i, p := range r.doors {
		if r.Plan.StartMs[i] == 0 {
			initial = append(initial, i)
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	if r.NoFleet {
		return r.awaitReady()
	}
	timeout := time.After(startTimeout)
	for {
		all := true
		r.mu.Lock()
		failed := slices.Clone(r.failures)
		for _, i := range initial {
			for _, j := range initial {
				all = all && r.view[i][j] == "here"
			}
		}
		r.mu.Unlock()
		if len(failed) > 0 {
			return &DoorsError{failed}
		}
		if all {
			return nil
		}
		select {
		case <-r.changed:
		case <-timeout:
			return &DoorsError{[]string{"not all of them consider each other here"}}
		case <-r.ctx.Done():
			return &StoppedError{0, r.ctx.Err()}
		}
	}
}

// awaitReady waits until all doors without a fleet report that they are ready.
func (r *rig) awaitReady() error {
	client := http.Client{Timeout: clientTimeout}
	for deadline := time.Now().Add(startTimeout); ; {
		all := true
		for _, p := range r.doors {
			resp, err := client.Get("http://" + p.address + "/health/ready")
			if err == nil {
				resp.Body.Close()
			}
			all = all && err == nil && resp.StatusCode == http.StatusOK
		}
		if all {
			return nil
		}
		if time.Now().After(deadline) {
			return &DoorsError{[]string{"not all of them are ready"}}
		}
		select {
		case <-time.After(pollInterval):
		case <-r.ctx.Done():
			return &StoppedError{0, r.ctx.Err()}
		}
	}
}

// run injects the faults at their times, and returns the outcome of each door's clients.
func (r *rig) run(progress func(float64)) (served []*load.Outcome, err error) {
	type step struct {
		at float64
		do func() error
	}
	var steps []step
	add := func(at float64, do func()) { steps = append(steps, step{at, func() error { do(); return nil }}) }
	end := r.Plan.Truth.EndMs
	for i, p := range r.doors {
		if at := r.Plan.StartMs[i]; at > 0 {
			steps = append(steps, step{at, p.start})
		}
		for _, s := range r.Plan.Truth.Paused[i] {
			add(s.From, func() { p.signal(syscall.SIGSTOP, false) })
			add(s.To, func() { p.signal(syscall.SIGCONT, false) })
		}
		for _, s := range r.Plan.Truth.Dead[i] {
			add(s.From, func() {
				if ended := p.signal(syscall.SIGKILL, true); ended != nil {
					<-ended
				}
			})
			if s.To < end {
				steps = append(steps, step{s.To, p.start})
			}
		}
		if at := r.Plan.Truth.LeaveAt[i]; at < end {
			add(at, func() { p.signal(syscall.SIGTERM, true) })
		}
	}
	for _, s := range r.Plan.Reset {
		add(s.From, func() {
			for link, proxy := range r.relays {
				if proxy != nil && s.Links[link] {
					proxy.reset()
				}
			}
		})
	}
	for _, x := range r.Plan.Namesakes {
		steps = append(steps, step{x.AtMs, func() error {
			p, err := r.newProcess(x.Door)
			if err != nil {
				return err
			}
			r.namesakes = append(r.namesakes, p)
			return p.start()
		}})
	}
	sort.SliceStable(steps, func(a, b int) bool { return steps[a].at < steps[b].at })
	if _, err := warmUp(r.ctx, r.site, r.unaffectedDoors(), r.Rate); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.startMs = monotonicMs()
	r.mu.Unlock()
	finish := startClients(r.ctx, r.site, r.unaffectedDoors(), r.Rate, end)
	cpuBefore := make([]float64, len(r.doors))
	for i, p := range r.doors {
		cpuBefore[i], _ = p.usage()
	}
	for _, w := range append(steps, step{end, func() error { return nil }}) {
		for left := w.at - r.ms(); left > 0; left = w.at - r.ms() {
			if progress != nil {
				progress(min(1, r.ms()/end))
			}
			select {
			case <-time.After(time.Duration(min(left, 500) * 1e6)):
			case <-r.ctx.Done():
				return nil, &StoppedError{r.ms() / msPerSecond, r.ctx.Err()}
			}
		}
		if err := w.do(); err != nil {
			return nil, err
		}
	}
	for i, p := range r.doors { // those that ran throughout
		if cpu, resident := p.usage(); cpu >= cpuBefore[i] && resident > 0 {
			r.cpu, r.resident = append(r.cpu, (cpu-cpuBefore[i])/end*msPerSecond), append(r.resident, resident)
		}
	}
	return finish()
}

// unaffectedDoors returns the addresses of the doors whose process runs without a fault, by number; none if there are no
// clients.
func (r *rig) unaffectedDoors() map[int]string {
	doors := map[int]string{}
	for i, p := range r.doors {
		if t := &r.Plan.Truth; r.Rate > 0 && len(t.Paused[i]) == 0 && len(t.Dead[i]) == 0 && t.LeaveAt[i] >= t.EndMs && r.Plan.StartMs[i] <= 0 {
			doors[i] = p.address
		}
	}
	return doors
}

// startClients starts clients that send requests to the doors for the duration of a run, as serving must not depend on
// membership. The returned function waits for them.
func startClients(ctx context.Context, site *stand.Site, doors map[int]string, rate, end float64) (finish func() ([]*load.Outcome, error)) {
	return startClientsUntil(ctx, site, doors, rate, end, nil)
}

// startClientsUntil is like startClients, but the clients stop once the channel stop is closed, if that is earlier.
func startClientsUntil(ctx context.Context, site *stand.Site, doors map[int]string, rate, end float64, stop <-chan struct{}) (finish func() ([]*load.Outcome, error)) {
	var runs []load.Run
	for _, i := range slices.Sorted(maps.Keys(doors)) {
		run := clientRun(site, doors[i], i, rate, end)
		run.Stop = stop
		runs = append(runs, run)
	}
	return runConcurrently(ctx, runs)
}

// clientRun returns the load of one door's clients; end is its duration in ms.
func clientRun(site *stand.Site, at string, door int, rate, end float64) load.Run {
	run := site.Client(at, uint64(door+1))
	run.Rate, run.Duration, run.Timeout = rate, time.Duration(end*1e6), clientTimeout
	return run
}

// runConcurrently starts several loads at the same time. The returned function waits for them and returns the outcomes, in the
// order of the loads, and the first error.
func runConcurrently(ctx context.Context, runs []load.Run) (finish func() ([]*load.Outcome, error)) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
	all := make([]*load.Outcome, len(runs))
	for i, run := range runs {
		group.Go(func() {
			o, err := run.Execute(ctx, nil)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && first == nil {
				first = err
			}
			all[i] = o
		})
	}
	return func() ([]*load.Outcome, error) { group.Wait(); return all, first }
}

// Rules of a run on processes, besides those of package check, which knows neither processes nor clients.
const (
	RuleDoorsServe       = "doors serve on"
	RuleNamesakeYields   = "the second of a name stands back"
	RuleNoUnexpectedExit = "no process ends by itself"
)

const minFinishedShare = 0.995 // minimum share of requests that must finish at doors without faults

// result checks the history and the outcomes of the clients' requests, and returns the result of the run.
func (r *rig) result(served []*load.Outcome) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	var history []check.Event
	for _, e := range r.history {
		e.At -= r.startMs
		history = append(history, e)
	}
	p := r.Plan
	res := &Result{Schedule: p.Name, Shows: p.Shows, On: "on processes", Who: "module", Seed: p.Seed, Doors: p.Fleet.Doors, Truth: p.Truth, History: SortByTime(history)}
	if !r.NoFleet {
		res.Violations, res.Figures = check.Verify(&p.Truth, res.History, p.checkLimits())
	}
	for _, f := range r.failures {
		res.Violations = append(res.Violations, check.Violation{Rule: RuleNoUnexpectedExit, Text: f})
	}
	var reason string
	if res.Asked, res.Finished, reason = checkFinished(served); reason != "" {
		res.Violations = append(res.Violations, check.Violation{Rule: RuleDoorsServe, Text: reason})
	}
	res.checkNamesakes(p, r.nameConflicts)
	res.CPU, res.Resident = check.Quantile(r.cpu, 50), check.Quantile(r.resident, 50)
	datagrams := int64(0)
	for _, proxy := range r.relays {
		if proxy != nil {
			datagrams += proxy.forwarded.Load()
		}
	}
	res.Messages = float64(datagrams) / float64(p.Fleet.Doors) / max(1, p.Truth.EndMs/msPerSecond)
	return res
}

// checkFinished adds up the requests to doors without faults. The reason of a violation is empty if enough of them finished.
func checkFinished(all []*load.Outcome) (asked, finished int, reason string) {
	for _, o := range all {
		asked, finished = asked+o.Asked, finished+o.Finished
	}
	if asked > 0 && float64(finished) < minFinishedShare*float64(asked) {
		reason = fmt.Sprintf("%d of %d operations finished at doors without faults", finished, asked)
	}
	return asked, finished, reason
}

// stop stops all processes and relays.
func (r *rig) stop() {
	var all []*child
	for _, p := range append(slices.Clone(r.doors), r.namesakes...) {
		all = append(all, &p.child)
	}
	stopAll(all)
	for _, proxy := range r.relays {
		if proxy != nil {
			proxy.close()
		}
	}
}
