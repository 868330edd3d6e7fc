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
	Plan    *Plan
	Binary  string  // swifthall, with swifthall-fleet beside it
	Logs    string  // folder for the processes' logs; empty for none
	Rate    float64 // requests a second that clients ask of each door; 0 for none
	NoFleet bool    // doors without a fleet, to see what membership costs
}

const (
	mostProcesses = 24
	startMost     = 30 * time.Second // in which all doors must hold all others to be here
	endMost       = 10 * time.Second // that a process is given to end once told to
	clientsWait   = 2 * time.Second  // that clients have for an answer
)

// rig is the processes, and the ways between them.
type rig struct {
	Real
	ctx    context.Context
	site   *stand.Site
	dir    string
	procs  []*process
	extra  []*process // further processes under doors' names
	relays []*relay   // by from*doors+to; nil on the diagonal
	zero   float64    // machine's monotonic clock at the day's start, ms; 0 while it has not begun

	mu            sync.Mutex
	history       []check.Event
	view          [][]string
	news          chan struct{}
	fails         []string
	refused       int
	index         map[string]int
	cpu, resident []float64 // by door: ms a second, MB
}

// process is one door's process, over its lives.
type process struct {
	r              *rig
	door           int
	fleetAt, serve string
	status         string
	lives          int
	child
}

// clock is the machine's monotonic clock, ms, as the processes log it.
func clock() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return float64(t.Sec)*1e3 + float64(t.Nsec)/1e6
}

// Run plays the plan and judges it.
func (p Real) Run(ctx context.Context, progress func(done float64)) (*Result, error) {
	n := p.Plan.Fleet.Doors
	if n > mostProcesses {
		return nil, &CrowdError{n}
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
	r := &rig{Real: p, ctx: ctx, site: site, dir: dir, relays: make([]*relay, n*n), view: make([][]string, n), news: make(chan struct{}, 1), index: map[string]int{}}
	defer r.end()
	for i := range n {
		r.view[i] = make([]string, n)
		r.index[Door(i)] = i
		one, err := r.process(i)
		if err != nil {
			return nil, err
		}
		r.procs = append(r.procs, one)
	}
	if err := r.ways(); err != nil {
		return nil, err
	}
	if err := r.begin(); err != nil {
		return nil, err
	}
	served, err := r.day(progress)
	if err != nil {
		return nil, err
	}
	return r.result(served), nil
}

func (r *rig) process(door int) (*process, error) {
	p := &process{r: r, door: door}
	for _, at := range []*string{&p.fleetAt, &p.serve, &p.status} {
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
	if r.zero == 0 {
		return -warmup
	}
	return clock() - r.zero
}

// ways puts a relay in each directed pair. Where a second process has a door's name, names don't tell where to go, and the
// doors reach each other as they say.
func (r *rig) ways() error {
	n := r.Plan.Fleet.Doors
	if len(r.Plan.Names) > 0 || r.NoFleet {
		return nil
	}
	cut := func(way int, at float64) bool {
		return slices.ContainsFunc(r.Plan.Truth.Cuts, func(c check.Cut) bool { return c.Way[way] && at >= c.From && at < c.To })
	}
	for i := range n {
		for j := range n {
			if i == j {
				continue
			}
			there, back := i*n+j, j*n+i
			one, err := newRelay(r.procs[j].fleetAt, r.Plan.Seed<<16+uint64(there), func() fate {
				at := r.ms()
				return fate{cut: cut(there, at), loss: max(r.Plan.Net.Loss, in(r.Plan.Loss, there, at)), delay: in(r.Plan.Delay, there, at),
					twice: in(r.Plan.Twice, there, at), late: in(r.Plan.Late, there, at)}
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
		at := r.procs[j].fleetAt
		if one := r.relays[p.door*n+j]; one != nil {
			at = one.at
			routes[Door(j)] = at
		}
		if j < seeds {
			peers = append(peers, Door(j)+"/"+at)
		}
	}
	cfg := r.site.Config(Door(p.door), p.serve, p.door, n)
	cfg["log"] = map[string]string{"format": "json", "level": "info"}
	if !r.NoFleet {
		cfg["fleet"] = p.fleet(peers, routes)
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		return &RigError{"a configuration", err}
	}
	p.lives++
	file := filepath.Join(r.dir, fmt.Sprintf("%s-%s.json", Door(p.door), p.fleetAt[len("127.0.0.1:"):]))
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return &RigError{"a configuration", err}
	}
	cmd := exec.Command(r.Binary)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", fmt.Sprintf("%s=%g", serving.WallOffsetVariable, r.Plan.Wall[p.door]))
	if p.ours() {
		r.take(check.Event{At: clock(), Door: p.door, About: p.door, From: "born"})
	}
	return p.child.start(cmd, r.Logs, fmt.Sprintf("%s-%d.log", Door(p.door), p.lives), p.line, func(says string) { r.fail("%s ended by itself: %s", Door(p.door), says) })
}

// fleet words the key fleet.
func (p *process) fleet(peers []string, routes map[string]string) map[string]any {
	return map[string]any{"name": "rig", "zone": fmt.Sprint("z", p.r.Plan.Truth.Zones[p.door]), "listen": p.fleetAt, "peers": peers, "routes": routes,
		"status": p.status}
}

// use is what a running process has taken so far: processor time, ms, and resident memory, MB.
func (p *process) use() (cpu, resident float64) {
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

// ours tells whether the process is the door's, and no namesake.
func (p *process) ours() bool { return p.r.procs[p.door] == p }

// line takes one line of a process's log.
func (p *process) line(raw []byte) {
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
	if !p.ours() {
		if l.Msg == "no member of the fleet" {
			p.r.mu.Lock()
			p.r.refused++
			p.r.mu.Unlock()
		}
		return
	}
	if about, ok := p.r.index[l.Member]; ok && l.Msg == fleet.MemberChanged {
		p.r.take(check.Event{At: l.Clock, Door: p.door, About: about, From: l.From, To: l.To, Life: l.Life, Why: l.Why})
	}
}

// take puts an event into the history, on the machine's clock so far.
func (r *rig) take(e check.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, e)
	if e.From == "born" {
		clear(r.view[e.Door])
	} else {
		r.view[e.Door][e.About] = e.To
	}
	select {
	case r.news <- struct{}{}:
	default:
	}
}

func (r *rig) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = append(r.fails, fmt.Sprintf(format, args...))
}

// begin starts the doors that are there from the beginning, and waits until they all hold each other to be here.
func (r *rig) begin() error {
	var early []int
	for i, p := range r.procs {
		if r.Plan.Start[i] == 0 {
			early = append(early, i)
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	if r.NoFleet {
		return r.ready()
	}
	patience := time.After(startMost)
	for {
		all := true
		r.mu.Lock()
		failed := slices.Clone(r.fails)
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
		case <-r.news:
		case <-patience:
			return &DoorsError{[]string{"not all hold each other to be here"}}
		case <-r.ctx.Done():
			return &StoppedError{0, r.ctx.Err()}
		}
	}
}

// ready waits until all doors without a fleet say that they can serve.
func (r *rig) ready() error {
	client := http.Client{Timeout: clientsWait}
	for patience := time.Now().Add(startMost); ; {
		all := true
		for _, p := range r.procs {
			resp, err := client.Get("http://" + p.serve + "/health/ready")
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
		case <-time.After(relayLook):
		case <-r.ctx.Done():
			return &StoppedError{0, r.ctx.Err()}
		}
	}
}

// day plays the faults by the clock.
func (r *rig) day(progress func(float64)) (served []*load.Outcome, err error) {
	type what struct {
		at float64
		do func() error
	}
	var todo []what
	add := func(at float64, do func()) { todo = append(todo, what{at, func() error { do(); return nil }}) }
	end := r.Plan.Truth.EndMs
	for i, p := range r.procs {
		if at := r.Plan.Start[i]; at > 0 {
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
		if at := r.Plan.Truth.Left[i]; at < end {
			add(at, func() { p.signal(syscall.SIGTERM, true) })
		}
	}
	for _, s := range r.Plan.Reset {
		add(s.From, func() {
			for way, one := range r.relays {
				if one != nil && s.Way[way] {
					one.reset()
				}
			}
		})
	}
	for _, x := range r.Plan.Names {
		todo = append(todo, what{x.AtMs, func() error {
			p, err := r.process(x.Door)
			if err != nil {
				return err
			}
			r.extra = append(r.extra, p)
			return p.start()
		}})
	}
	sort.SliceStable(todo, func(a, b int) bool { return todo[a].at < todo[b].at })
	if _, err := warm(r.ctx, r.site, r.unhit(), r.Rate); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.zero = clock()
	r.mu.Unlock()
	finish := clients(r.ctx, r.site, r.unhit(), r.Rate, end)
	before := make([]float64, len(r.procs))
	for i, p := range r.procs {
		before[i], _ = p.use()
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
	for i, p := range r.procs { // those that ran all through
		if cpu, resident := p.use(); cpu >= before[i] && resident > 0 {
			r.cpu, r.resident = append(r.cpu, (cpu-before[i])/end*msPerSecond), append(r.resident, resident)
		}
	}
	return finish()
}

// unhit are the doors that nothing befalls.
func (r *rig) unhit() map[int]string {
	doors := map[int]string{}
	for i, p := range r.procs {
		if t := &r.Plan.Truth; r.Rate > 0 && len(t.Paused[i]) == 0 && len(t.Dead[i]) == 0 && t.Left[i] >= t.EndMs && r.Plan.Start[i] <= 0 {
			doors[i] = p.serve
		}
	}
	return doors
}

// clients ask of doors for as long as the day lasts: no request waits for membership.
func clients(ctx context.Context, site *stand.Site, doors map[int]string, rate, end float64) (finish func() ([]*load.Outcome, error)) {
	return clientsUntil(ctx, site, doors, rate, end, nil)
}

// clientsUntil ask until they are told that it is enough, or for as long as the day lasts.
func clientsUntil(ctx context.Context, site *stand.Site, doors map[int]string, rate, end float64, enough <-chan struct{}) (finish func() ([]*load.Outcome, error)) {
	var runs []load.Run
	for _, i := range slices.Sorted(maps.Keys(doors)) {
		run := asks(site, doors[i], i, rate, end)
		run.Stop = enough
		runs = append(runs, run)
	}
	return sideways(ctx, runs)
}

// asks is one door's clients for a time, ms.
func asks(site *stand.Site, at string, door int, rate, end float64) load.Run {
	run := site.Client(at, uint64(door+1))
	run.Rate, run.Duration, run.Timeout = rate, time.Duration(end*1e6), clientsWait
	return run
}

// sideways plays runs beside each other; what it returns waits for them and gives what came of each, in their order.
func sideways(ctx context.Context, runs []load.Run) (finish func() ([]*load.Outcome, error)) {
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

// Rules besides those of package check, which knows doors alone.
const (
	ServedOn  = "doors serve on"
	StandBack = "the second of a name stands back"
	RunsOn    = "no process ends by itself"
)

const leastServed = 0.995 // share of requests at doors that nothing befell

func (r *rig) result(served []*load.Outcome) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	var history []check.Event
	for _, e := range r.history {
		e.At -= r.zero
		history = append(history, e)
	}
	p := r.Plan
	res := &Result{Schedule: p.Name, Shows: p.Shows, On: "on processes", Who: "module", Seed: p.Seed, Doors: p.Fleet.Doors, Truth: p.Truth, History: Sorted(history)}
	if !r.NoFleet {
		res.Violations, res.Figures = check.Judge(&p.Truth, res.History, p.Limits())
	}
	for _, f := range r.fails {
		res.Violations = append(res.Violations, check.Breach{Rule: RunsOn, Text: f})
	}
	var says string
	if res.Asked, res.Finished, says = servedOn(served); says != "" {
		res.Violations = append(res.Violations, check.Breach{Rule: ServedOn, Text: says})
	}
	res.standBack(p, r.refused)
	res.CPU, res.Resident = check.Quantile(r.cpu, 50), check.Quantile(r.resident, 50)
	datagrams := int64(0)
	for _, one := range r.relays {
		if one != nil {
			datagrams += one.passed.Load()
		}
	}
	res.Messages = float64(datagrams) / float64(p.Fleet.Doors) / max(1, p.Truth.EndMs/msPerSecond)
	return res
}

// servedOn adds up what clients were served at doors that nothing befell; says is empty where that is enough.
func servedOn(all []*load.Outcome) (asked, finished int, says string) {
	for _, o := range all {
		asked, finished = asked+o.Asked, finished+o.Finished
	}
	if asked > 0 && float64(finished) < leastServed*float64(asked) {
		says = fmt.Sprintf("%d of %d operations finished at doors that nothing befell", finished, asked)
	}
	return asked, finished, says
}

// end ends all that the rig started.
func (r *rig) end() {
	var all []*child
	for _, p := range append(slices.Clone(r.procs), r.extra...) {
		all = append(all, &p.child)
	}
	finish(all)
	for _, one := range r.relays {
		if one != nil {
			one.close()
		}
	}
}
