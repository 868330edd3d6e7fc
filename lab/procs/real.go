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

// Real plays a plan on processes of the built program.
type Real struct {
	Plan   *Plan
	Binary string  // swifthall, with swifthall-fleet beside it
	Logs   string  // folder for the processes' logs; empty for none
	Rate   float64 // requests a second that clients ask of each door; 0 for none
	Plain  bool    // doors without a fleet, to see what membership costs
}

const (
	maxProcesses  = 24
	startTimeout  = 30 * time.Second // in which all doors must hold all others to be here
	stopTimeout   = 10 * time.Second // that a process is given to end once told to
	clientTimeout = 2 * time.Second  // that clients have for an answer
)

// rig is the processes, and the ways between them.
type rig struct {
	Real
	ctx       context.Context
	site      *stand.Site
	dir       string
	doors     []*process
	namesakes []*process // further processes under doors' names
	relays    []*relay   // by from*doors+to; nil on the diagonal
	startMs   float64    // machine's monotonic clock at the day's start, ms; 0 while it has not begun

	mu            sync.Mutex
	history       []check.Event
	view          [][]string
	changed       chan struct{}
	failures      []string
	nameConflicts int
	doorIndex     map[string]int
	cpu, resident []float64 // by door: ms a second, MB
}

// process is one door's process, over its lives.
type process struct {
	r                     *rig
	door                  int
	fleetAddress, address string
	statusAddress         string
	incarnations          int
	child
}

// monotonicMs is the machine's monotonic monotonicMs, ms, as the processes log it.
func monotonicMs() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return float64(t.Sec)*1e3 + float64(t.Nsec)/1e6
}

// Play plays the plan and judges it.
func (p Real) Play(ctx context.Context, progress func(done float64)) (*Result, error) {
	n := p.Plan.Fleet.Doors
	if n > maxProcesses {
		return nil, &ProcessLimitError{n}
	}
	if _, err := os.Stat(p.Binary); err != nil {
		return nil, &RigError{"the program " + p.Binary, err}
	}
	dir, err := os.MkdirTemp("", "procs-")
	if err != nil {
		return nil, &RigError{"a folder", err}
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
		one, err := r.newProcess(i)
		if err != nil {
			return nil, err
		}
		r.doors = append(r.doors, one)
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

// ms is the day's clock; below 0 before it.
func (r *rig) ms() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startMs == 0 {
		return -warmUpMs
	}
	return monotonicMs() - r.startMs
}

// startRelays puts a relay in each directed pair. Where a second process has a door's name, names don't tell where to go, and the
// doors reach each other as they say.
func (r *rig) startRelays() error {
	n := r.Plan.Fleet.Doors
	if len(r.Plan.Namesakes) > 0 || r.Plain {
		return nil
	}
	cut := func(way int, at float64) bool {
		return slices.ContainsFunc(r.Plan.Truth.Cuts, func(c check.Cut) bool { return c.Links[way] && at >= c.From && at < c.To })
	}
	for i := range n {
		for j := range n {
			if i == j {
				continue
			}
			there, back := i*n+j, j*n+i
			one, err := newRelay(r.doors[j].fleetAddress, r.Plan.Seed<<16+uint64(there), func() impairment {
				at := r.ms()
				return impairment{cut: cut(there, at), loss: max(r.Plan.Net.Loss, amountAt(r.Plan.Loss, there, at)), maxDelayMs: amountAt(r.Plan.Delay, there, at),
					duplicate: amountAt(r.Plan.Duplicate, there, at), reorder: amountAt(r.Plan.Reorder, there, at)}
			}, func() bool { at := r.ms(); return cut(there, at) || cut(back, at) })
			if err != nil {
				return err
			}
			r.relays[there] = one
		}
	}
	return nil
}

// start begins a life of a process.
func (p *process) start() error {
	r, n := p.r, p.r.Plan.Fleet.Doors
	routes, peers := map[string]string{}, []string{}
	for j := range n {
		at := r.doors[j].fleetAddress
		if one := r.relays[p.door*n+j]; one != nil {
			at = one.address
			routes[Door(j)] = at
		}
		if j < seedDoors {
			peers = append(peers, Door(j)+"/"+at)
		}
	}
	cfg := r.site.Config(Door(p.door), p.address, p.door, n)
	cfg["log"] = map[string]string{"format": "json", "level": "info"}
	if !r.Plain {
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
	return p.child.start(cmd, r.Logs, fmt.Sprintf("%s-%d.log", Door(p.door), p.incarnations), p.parseLine, func(says string) { r.fail("%s ended by itself: %s", Door(p.door), says) })
}

// fleetConfig words the key fleetConfig.
func (p *process) fleetConfig(peers []string, routes map[string]string) map[string]any {
	return map[string]any{"name": "rig", "zone": fmt.Sprint("z", p.r.Plan.Truth.Zones[p.door]), "listen": p.fleetAddress, "peers": peers, "routes": routes,
		"status": p.statusAddress}
}

// usage is what a running process has taken so far: processor time, ms, and resident memory, MB.
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
	// The name stands in brackets; state is the first field behind it, times the 12th and 13th, resident pages the 22nd.
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(f) < 22 {
		return 0, 0
	}
	const hz = 100 // of the kernel's clock ticks, as it tells them
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	return (user + system) * 1e3 / hz, pages * float64(os.Getpagesize()) / (1 << 20)
}

// ownsName tells whether the process is the door's, and no namesake.
func (p *process) ownsName() bool { return p.r.doors[p.door] == p }

// parseLine takes one parseLine of a process's log.
func (p *process) parseLine(raw []byte) {
	var l struct {
		Msg    string  `json:"msg"`
		Member string  `json:"member"`
		From   string  `json:"from"`
		To     string  `json:"to"`
		Life   uint32  `json:"life"`
		Why    string  `json:"why"`
		Clock  float64 `json:"clock_ms"`
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
		p.r.record(check.Event{At: l.Clock, Door: p.door, About: about, From: l.From, To: l.To, Incarnation: l.Life, Reason: l.Why})
	}
}

// record puts an event into the history, on the machine's clock so far.
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

func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// startDoors starts the doors that are there from the beginning, and waits until they all hold each other to be here.
func (r *rig) startDoors() error {
	var early []int
	for i, p := range r.doors {
		if r.Plan.StartMs[i] == 0 {
			early = append(early, i)
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	if r.Plain {
		return r.awaitReady()
	}
	patience := time.After(startTimeout)
	for {
		all := true
		r.mu.Lock()
		failed := slices.Clone(r.failures)
		for _, i := range early {
			for _, j := range early {
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
		case <-patience:
			return &DoorsError{[]string{"not all hold each other to be here"}}
		case <-r.ctx.Done():
			return &StoppedError{0, r.ctx.Err()}
		}
	}
}

// awaitReady waits until all doors without a fleet say that they can serve.
func (r *rig) awaitReady() error {
	client := http.Client{Timeout: clientTimeout}
	for patience := time.Now().Add(startTimeout); ; {
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
		if time.Now().After(patience) {
			return &DoorsError{[]string{"not all can serve"}}
		}
		select {
		case <-time.After(pollInterval):
		case <-r.ctx.Done():
			return &StoppedError{0, r.ctx.Err()}
		}
	}
}

// run plays the faults by the clock.
func (r *rig) run(progress func(float64)) (served []*load.Outcome, err error) {
	type what struct {
		at float64
		do func() error
	}
	var todo []what
	add := func(at float64, do func()) { todo = append(todo, what{at, func() error { do(); return nil }}) }
	end := r.Plan.Truth.EndMs
	for i, p := range r.doors {
		if at := r.Plan.StartMs[i]; at > 0 {
			todo = append(todo, what{at, p.start})
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
				todo = append(todo, what{s.To, p.start})
			}
		}
		if at := r.Plan.Truth.LeaveAt[i]; at < end {
			add(at, func() { p.signal(syscall.SIGTERM, true) })
		}
	}
	for _, s := range r.Plan.Reset {
		add(s.From, func() {
			for way, one := range r.relays {
				if one != nil && s.Links[way] {
					one.reset()
				}
			}
		})
	}
	for _, x := range r.Plan.Namesakes {
		todo = append(todo, what{x.AtMs, func() error {
			p, err := r.newProcess(x.Door)
			if err != nil {
				return err
			}
			r.namesakes = append(r.namesakes, p)
			return p.start()
		}})
	}
	sort.SliceStable(todo, func(a, b int) bool { return todo[a].at < todo[b].at })
	if _, err := warmUp(r.ctx, r.site, r.unaffectedDoors(), r.Rate); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.startMs = monotonicMs()
	r.mu.Unlock()
	finish := startClients(r.ctx, r.site, r.unaffectedDoors(), r.Rate, end)
	before := make([]float64, len(r.doors))
	for i, p := range r.doors {
		before[i], _ = p.usage()
	}
	for _, w := range append(todo, what{end, func() error { return nil }}) {
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
	for i, p := range r.doors { // those that ran all through
		if cpu, resident := p.usage(); cpu >= before[i] && resident > 0 {
			r.cpu, r.resident = append(r.cpu, (cpu-before[i])/end*msPerSecond), append(r.resident, resident)
		}
	}
	return finish()
}

// unaffectedDoors are the doors that nothing befalls.
func (r *rig) unaffectedDoors() map[int]string {
	doors := map[int]string{}
	for i, p := range r.doors {
		if t := &r.Plan.Truth; r.Rate > 0 && len(t.Paused[i]) == 0 && len(t.Dead[i]) == 0 && t.LeaveAt[i] >= t.EndMs && r.Plan.StartMs[i] <= 0 {
			doors[i] = p.address
		}
	}
	return doors
}

// startClients ask of doors for as long as the day lasts: no request waits for membership.
func startClients(ctx context.Context, site *stand.Site, doors map[int]string, rate, end float64) (finish func() ([]*load.Outcome, error)) {
	return startClientsUntil(ctx, site, doors, rate, end, nil)
}

// startClientsUntil ask until they are told that it is enough, or for as long as the day lasts.
func startClientsUntil(ctx context.Context, site *stand.Site, doors map[int]string, rate, end float64, enough <-chan struct{}) (finish func() ([]*load.Outcome, error)) {
	var runs []load.Run
	for _, i := range slices.Sorted(maps.Keys(doors)) {
		run := clientRun(site, doors[i], i, rate, end)
		run.Enough = enough
		runs = append(runs, run)
	}
	return runConcurrently(ctx, runs)
}

// clientRun is one door's clients for a time, ms.
func clientRun(site *stand.Site, at string, door int, rate, end float64) load.Run {
	run := site.Client(at, uint64(door+1))
	run.Rate, run.For, run.Patience = rate, time.Duration(end*1e6), clientTimeout
	return run
}

// runConcurrently plays runs beside each other; what it returns waits for them and gives what came of each, in their order.
func runConcurrently(ctx context.Context, runs []load.Run) (finish func() ([]*load.Outcome, error)) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
	all := make([]*load.Outcome, len(runs))
	for i, run := range runs {
		group.Go(func() {
			o, err := run.Play(ctx, nil)
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

// Rules besides those of package check, which knows doors alone.
const (
	RuleDoorsServe       = "doors serve on"
	RuleNamesakeYields   = "the second of a name stands back"
	RuleNoUnexpectedExit = "no process ends by itself"
)

const minFinishedShare = 0.995 // share of requests at doors that nothing befell

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
	if !r.Plain {
		res.Breaches, res.Figures = check.Verify(&p.Truth, res.History, p.checkLimits())
	}
	for _, f := range r.failures {
		res.Breaches = append(res.Breaches, check.Violation{Rule: RuleNoUnexpectedExit, Text: f})
	}
	var says string
	if res.Asked, res.Finished, says = checkFinished(served); says != "" {
		res.Breaches = append(res.Breaches, check.Violation{Rule: RuleDoorsServe, Text: says})
	}
	res.checkNamesakes(p, r.nameConflicts)
	res.CPU, res.Resident = check.At(r.cpu, 50), check.At(r.resident, 50)
	datagrams := int64(0)
	for _, one := range r.relays {
		if one != nil {
			datagrams += one.forwarded.Load()
		}
	}
	res.Messages = float64(datagrams) / float64(p.Fleet.Doors) / max(1, p.Truth.EndMs/msPerSecond)
	return res
}

// checkFinished adds up what clients were served at doors that nothing befell; says is empty where that is enough.
func checkFinished(all []*load.Outcome) (asked, finished int, says string) {
	for _, o := range all {
		asked, finished = asked+o.Asked, finished+o.Finished
	}
	if asked > 0 && float64(finished) < minFinishedShare*float64(asked) {
		says = fmt.Sprintf("%d of %d operations finished at doors that nothing befell", finished, asked)
	}
	return asked, finished, says
}

// stop ends all that the rig started.
func (r *rig) stop() {
	var all []*child
	for _, p := range append(slices.Clone(r.doors), r.namesakes...) {
		all = append(all, &p.child)
	}
	stopAll(all)
	for _, one := range r.relays {
		if one != nil {
			one.close()
		}
	}
}
