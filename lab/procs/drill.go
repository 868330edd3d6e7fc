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

// Drill plays drains on real processes: coordinators, doors, stand-in backends, clients under load, and operators who give
// commands by the program's own command line, while a schedule drawn from the seed strikes coordinators and doors. It judges by
// what truly was: what operators were answered and when, whether each door said that it can serve, which backend got what.
type Drill struct {
	Seed         uint64
	Seconds      float64
	Doors        int
	Coordinators int
	Binary       string // swifthall, with its other programs beside it
	Logs         string
	Rate         float64 // requests a second that clients ask of each door that nothing befalls
	Strike       string  // strikes drawn where empty; none, one, leader or all: coordinators lost, for measurements
}

// Rules of a drill, besides those of outs and of the rig.
const (
	RuleDrainsLinearizable   = "drains are as one would have answered them"
	RuleDrainedBackendSilent = "a backend said to be drained gets nothing new"
	RuleDrillRecovers        = "all is back once the faults are over"
	RuleUnaffectedDoorsServe = "doors that nothing befalls serve on"
)

// Figures of a drill.
const (
	firstFaultS            = 1.5  // s before the first fault
	quietTailS             = 3.0  // s before the end, in which nothing more strikes
	recoveryTimeoutMs      = 25e3 // ms in which all must be back then: failures are known, doors have come up, places are free
	zoneCount              = 3    //
	maxDoorsOut            = 2    // budget of the fleet,
	maxZoneDoorsOut        = 1    // of each zone,
	maxBackendsOut         = 1    // and of backends
	probeIntervalMs        = 20   // ms between looks whether a door can serve
	probeTimeoutMs         = 300  // ms that a look may take
	inFlightGraceMs        = 300  // ms in which what was sent before a backend was drained may come
	operatorPatience       = "4s" // patience of an operator
	linearizabilityTimeout = time.Minute
	exitRefused            = 4 // exit of a command that was refused,
	exitUnreachable        = 5 // and of one whose answer never came
)

// DrillResult is what a drill came to.
type DrillResult struct {
	Seed            uint64
	Breaches        []outs.Breach
	Strikes         []string // what struck whom, in order
	Went, Returned  int      // doors that went aside and came back
	Calls           int      // of operators about backends
	Drained         int      // times that a backend was said to be drained
	Refused, Lost   int
	Asked, Finished int
	BackMs          float64 // until all was back
	HaltMs          float64 // after which a door last went aside, from a halt's answer
	History         []history.Op
}

// probeResult is one probeResult at whether a door can serve.
type probeResult struct {
	sentAt, receivedAt float64
	status             int // 0: no answer
}

// drainedSpan is a time in which a backend was said to be drained.
type drainedSpan struct {
	unit     string
	from, to float64
}

// node is a coordinator or a door that a schedule can strike.
type node struct {
	child
	d             *drill
	name          string
	args          []string
	env           []string
	dir           string
	diskFaultFile string // file that spoils its disk
	incarnations  int
	busyUntil     float64
	faulted       bool // something befell it

	address string // where it is asked: a door by clients, a coordinator by all

	// Of doors: written by the rig alone, under the drill's lock.
	startTimes []float64
	stopTimes  []float64 // kills and calls to stop
	paused     []check.Interval
	probes     []probeResult
}

type drill struct {
	Drill
	ctx                  context.Context
	site                 *stand.Site
	dir                  string
	startBits            atomic.Uint64 // machine's clock at the day's start, as bits of its ms
	coordinators         []*node
	doors                []*node
	relays               map[[2]string]*relay // from name to name
	coordinatorAddresses string               // coordinators, as commands name them
	holdListeners        bool                 // doors' listeners are held, so that releases may reach them

	clockAheadS string          // seconds by which one coordinator's wall clock is ahead; empty for as drawn
	tariffs     json.RawMessage // of all doors, in the place of the site's own

	mu           sync.Mutex
	cutUntil     map[[2]string]float64 // until when a way is cut
	failures     []string
	injected     []string
	arrivals     map[string][]float64 // requests at backends
	drainedSpans []drainedSpan
	halts        []outs.Stop
	history      []history.Op
	refused      int
	lost         int
}

func (d *drill) ms() float64 { return monotonicMs() - math.Float64frombits(d.startBits.Load()) }

// startClock has the day's clock begin now.
func (d *drill) startClock() { d.startBits.Store(math.Float64bits(monotonicMs())) }

// Play plays the drill.
func (p Drill) Play(ctx context.Context) (*DrillResult, error) {
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

// setUp takes what every drill needs; end gives it back.
func (d *drill) setUp() (err error) {
	d.relays, d.cutUntil, d.arrivals = map[[2]string]*relay{}, map[[2]string]float64{}, map[string][]float64{}
	d.startClock()
	if d.dir, err = os.MkdirTemp("", "drill-"); err != nil {
		return &RigError{"a folder", err}
	}
	d.site, err = stand.NewSite(d.recordArrival)
	return err
}

func (d *drill) recordArrival(backend string) {
	at := d.ms()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals[backend] = append(d.arrivals[backend], at)
}

func (d *drill) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, fmt.Sprintf(format, args...))
}

func coordinatorName(i int) string { return fmt.Sprintf("c-%d", i+1) }

// addRelay puts a relay between two parties.
func (d *drill) addRelay(from, to, address string) (string, error) {
	pair, back := [2]string{from, to}, [2]string{to, from}
	cut := func(of [2]string) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.ms() < d.cutUntil[of]
	}
	one, err := newRelay(address, d.Seed, func() impairment { return impairment{cut: cut(pair)} }, func() bool { return cut(pair) || cut(back) })
	if err != nil {
		return "", err
	}
	d.relays[pair] = one
	return one.address, nil
}

// prepare writes the configurations and puts relays between coordinators, and from doors to them.
func (d *drill) prepare() error {
	if err := d.prepareCoordinators(); err != nil {
		return err
	}
	dice := rand.New(rand.NewPCG(d.Seed, 21))
	for _, c := range d.coordinators {
		c.env = append(c.env, skewedClock(dice))
	}
	if d.clockAheadS != "" {
		c := d.coordinators[len(d.coordinators)-1]
		c.env = append(c.env, serving.WallOffsetVariable+"="+d.clockAheadS) // the last of a name counts
	}
	fleetAt := make([]string, d.Doors)
	var seedsAt []string
	for i := range fleetAt {
		var err error
		if fleetAt[i], err = loopback.Free(); err != nil {
			return err
		}
		if i < seedDoors {
			seedsAt = append(seedsAt, Door(i)+"/"+fleetAt[i])
		}
	}
	for i := range d.Doors {
		var err error
		p := &node{d: d, name: Door(i)}
		if p.address, err = loopback.Free(); err != nil {
			return err
		}
		var through []string
		for _, c := range d.coordinators {
			a, err := d.addRelay(p.name, c.name, c.address)
			if err != nil {
				return err
			}
			through = append(through, c.name+"/"+a)
		}
		cfg := d.site.Config(p.name, p.address, i, d.Doors)
		cfg["log"] = map[string]string{"format": "json", "level": "info"}
		if d.tariffs != nil {
			cfg["settings"].(map[string]any)["tariffs"] = d.tariffs
		}
		of := map[string]any{"name": "drill", "zone": fmt.Sprint("z", i%zoneCount), "listen": fleetAt[i], "peers": seedsAt, "coordinators": through}
		if d.holdListeners {
			p.dir = filepath.Join(d.dir, "releases-"+p.name)
			if err := os.MkdirAll(p.dir, 0o700); err != nil {
				return &RigError{"a folder", err}
			}
			of["releases"] = p.dir
		}
		cfg["fleet"] = of
		file, err := d.writeConfig(p.name, cfg)
		if err != nil {
			return err
		}
		p.args = []string{d.Binary}
		p.env = []string{"GW_CONFIG=" + file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", skewedClock(dice)}
		d.doors = append(d.doors, p)
	}
	return nil
}

// skewedClock has a process's wall clock be wrong: they are up to 5 s apart.
func skewedClock(dice *rand.Rand) string {
	return fmt.Sprintf("%s=%g", serving.WallOffsetVariable, 5*dice.Float64()-2.5)
}

func diskFaultSetting(file string) string { return coordinator.DiskFault + "=" + file }

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

func (p *node) start() error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	p.incarnations++
	p.d.mu.Lock()
	p.startTimes = append(p.startTimes, p.d.ms())
	p.d.mu.Unlock()
	return p.child.start(cmd, p.d.Logs, fmt.Sprintf("%s-%d.log", p.name, p.incarnations), func([]byte) {}, func(says string) { p.d.fail("%s ended by itself: %s", p.name, says) })
}

// startAll starts all, sets the budgets, and waits until coordinators count all as here.
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
	end := time.Now().Add(startTimeout)
	for set := false; ; {
		if !set {
			set = d.command("budgets", file) == 0
		} else if st := d.status(); st != nil && st.inServiceCount() == d.Doors+d.backendCount() {
			break
		}
		d.mu.Lock()
		failed := slices.Clone(d.failures)
		d.mu.Unlock()
		if len(failed) == 0 && time.Now().After(end) {
			failed = []string{"coordinators don't count all as here"}
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

func (d *drill) backendCount() int { return d.site.Backends() }

// command runs one command of an operator to its end and returns its exit code.
func (d *drill) command(args ...string) int {
	_, code := d.commandOutput(args...)
	return code
}

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
			d.fail("%s ended with %d", strings.Join(args[:min(3, len(args))], " "), code)
		}
		return nil, exit.ExitCode()
	}
	d.fail("%s: %v", args[0], err)
	return nil, exitUnreachable
}

// statusReport is what the status says, as far as the rig reads it.
type statusReport struct {
	Units []struct {
		Kind, Name string
		Out        bool `json:"out"`
	} `json:"units"`
	Places []struct {
		Unit    struct{ Kind, Name string }
		Over    bool
		Drained bool `json:"drained"`
	} `json:"places"`
}

func (t *statusReport) inServiceCount() (n int) {
	for _, u := range t.Units {
		if !u.Out {
			n++
		}
	}
	return n
}

func (d *drill) status() *statusReport {
	raw, code := d.commandOutput("status", "--json")
	var t statusReport
	if code != 0 || json.Unmarshal(raw, &t) != nil {
		return nil
	}
	return &t
}

// run plays the strikes by the clock, with operators, clients and looks beside them.
func (d *drill) run() (*DrillResult, error) {
	strikes := d.drawFaults()
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
	over, stop := context.WithCancel(d.ctx)
	defer stop()
	var beside, looks sync.WaitGroup
	for _, p := range d.doors {
		looks.Go(func() { p.pollReadiness(over) })
	}
	for i := range 2 {
		beside.Go(func() { d.operateBackends(i, end) })
	}
	beside.Go(func() { d.operateDoors(end) })
	beside.Go(func() { d.operateHalt(end) })
	served := startClients(d.ctx, d.site, d.unaffectedDoors(), d.Rate, end)
	for _, s := range strikes {
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
	beside.Wait()
	back := d.awaitRecovery()
	stop()
	looks.Wait()
	outcomes, err := served()
	if err != nil {
		return nil, err
	}
	return d.result(back, outcomes), nil
}

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

// ---- What strikes ----

type injection struct {
	at          float64
	description string
	inject      func() error
}

// drawFaults draws the strikes: on coordinators and doors, each of them one at a time.
func (d *drill) drawFaults() (all []injection) {
	dice := rand.New(rand.NewPCG(d.Seed, 22))
	last := (d.Seconds - quietTailS) * msPerSecond
	add := func(at float64, says string, do func() error) { all = append(all, injection{min(at, last), says, do}) }
	quick := func(do func()) func() error { return func() error { do(); return nil } }
	if d.Strike != "" {
		return d.drawCoordinatorLoss(last)
	}
	together := last * (0.4 + 0.3*dice.Float64()) // all coordinators at once, in one of three drills
	if dice.IntN(3) > 0 {
		together = math.Inf(1)
	}
	for _, p := range d.coordinators {
		if together < last {
			add(together, "kill "+p.name, quick(p.kill))
			add(together+1500, "start "+p.name, p.start)
		}
	}
	for at := firstFaultS * msPerSecond; at < last-1000; at += 400 + 1600*dice.Float64() {
		kind := dice.IntN(11)
		of := d.coordinators
		if kind >= 6 {
			of = d.doors
		}
		p := of[dice.IntN(len(of))]
		long := (0.4 + 4.6*dice.Float64()*dice.Float64()) * msPerSecond
		if at < p.busyUntil || kind < 6 && at+long > together-500 && at < together+2500 {
			continue
		}
		p.faulted = true
		switch kind {
		case 0, 1: // a coordinator is stopped
			add(at, "pause "+p.name, quick(func() { p.signal(syscall.SIGSTOP, false) }))
			add(at+long, "go on "+p.name, quick(func() { p.signal(syscall.SIGCONT, false) }))
		case 2: // killed
			add(at, "kill "+p.name, quick(p.kill))
			add(at+long, "start "+p.name, p.start)
		case 3: // cut off from the others
			add(at, "cut off "+p.name, quick(func() { d.cutLinks(p.name, d.coordinators, d.ms()+long, dice.IntN(3)) }))
		case 4: // its disk is full: it ends itself, and is started again once there is room
			add(at, "disk full at "+p.name, quick(func() { d.setDiskFault(p, "full") }))
			add(at+long, "room at "+p.name, func() error { return p.restoreDisk(d) })
		case 5: // its disk is slow
			add(at, "disk slow at "+p.name, quick(func() { d.setDiskFault(p, "500ms") }))
			add(at+long, "disk well at "+p.name, quick(func() { d.setDiskFault(p, "") }))
		case 6, 7: // a door is stopped
			add(at, "pause "+p.name, quick(func() { p.pause(long) }))
			add(at+long, "go on "+p.name, quick(func() { p.signal(syscall.SIGCONT, false) }))
		case 8: // killed, for long enough to be counted, or not
			long *= 1 + 2*dice.Float64()
			add(at, "kill "+p.name, quick(func() { p.recordStop(); p.kill() }))
			add(at+long, "start "+p.name, p.start)
		case 9: // told to end
			add(at, "end "+p.name, quick(func() { p.recordStop(); p.signal(syscall.SIGTERM, true) }))
			add(at+long, "start "+p.name, func() error {
				if done := p.signal(0, true); done != nil {
					<-done
				}
				return p.start()
			})
		case 10: // cut off from coordinators
			add(at, "cut off "+p.name, quick(func() { d.cutLinks(p.name, d.coordinators, d.ms()+long, dice.IntN(3)) }))
		}
		p.busyUntil = at + long + 500
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	return all
}

// drawCoordinatorLoss is strikes on coordinators alone: one of them, whichever leads every 5 s, or all at once.
func (d *drill) drawCoordinatorLoss(last float64) (all []injection) {
	down := func(at, long float64, says string, which func() []*node) {
		var struck []*node
		all = append(all, injection{at, "kill " + says, func() error {
			for _, p := range which() {
				struck = append(struck, p)
				p.kill()
			}
			return nil
		}}, injection{at + long, "start " + says, func() error {
			for _, p := range struck {
				if err := p.start(); err != nil {
					return err
				}
			}
			return nil
		}})
	}
	switch d.Strike {
	case "one":
		down(last*0.3, last*0.4, "one", func() []*node { return d.coordinators[:1] })
	case "leader":
		for at := firstFaultS * msPerSecond; at+3000 < last; at += 5000 {
			down(at, 2500, "the one that leads", func() []*node {
				raw, code := d.commandOutput("status", "--json")
				var t struct{ Leader string }
				if code != 0 || json.Unmarshal(raw, &t) != nil {
					return nil
				}
				return slices.DeleteFunc(slices.Clone(d.coordinators), func(p *node) bool { return p.name != t.Leader })
			})
		}
	case "all":
		down(last*0.3, last*0.4, "all", func() []*node { return d.coordinators })
	}
	return all
}

// kill ends a process at once, and waits until it has ended.
func (p *node) kill() {
	if done := p.signal(syscall.SIGKILL, true); done != nil {
		<-done
	}
}

func (p *node) recordStop() {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.stopTimes = append(p.stopTimes, p.d.ms())
}

func (p *node) pause(long float64) {
	p.d.mu.Lock()
	p.paused = append(p.paused, check.Interval{From: p.d.ms(), To: p.d.ms() + long})
	p.d.mu.Unlock()
	p.signal(syscall.SIGSTOP, false)
}

// restoreDisk gives a coordinator room, and starts it where it ended itself for lack of it.
func (p *node) restoreDisk(d *drill) error {
	d.setDiskFault(p, "")
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return p.start()
	default: // it had nothing to write meanwhile
		p.mu.Lock()
		p.exitExpected = false
		p.mu.Unlock()
		return nil
	}
}

func (d *drill) setDiskFault(p *node, how string) {
	if how == "full" {
		p.mu.Lock()
		p.exitExpected = true // it ends itself
		p.mu.Unlock()
	}
	if err := os.WriteFile(p.diskFaultFile, []byte(how), 0o600); err != nil {
		d.fail("spoiling a disk: %v", err)
	}
}

// cutLinks cuts the ways between one and others: those out, those in, or both.
func (d *drill) cutLinks(name string, others []*node, until float64, ways int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range others {
		if ways != 1 {
			d.cutUntil[[2]string{name, o.name}] = until
		}
		if ways != 0 {
			d.cutUntil[[2]string{o.name, name}] = until
		}
	}
}

// ---- Operators, clients, looks ----

// commandBackend gives one command about a commandBackend and writes down what was answered.
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
					if p.Drained && p.Unit.Name == unit { // the operator's own: nobody else brings it back meanwhile
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

// recordDrained notes that a backend was said to be drained; its end is put in where its way back begins.
func (d *drill) recordDrained(unit string, at float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainedSpans = append(d.drainedSpans, drainedSpan{unit, at, math.Inf(1)})
}

// endDrained ends what is claimed of a backend: its way back is about to be ordered.
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

func (d *drill) operateBackends(operator int, end float64) {
	dice := rand.New(rand.NewPCG(d.Seed, 31+uint64(operator)))
	last := end - quietTailS*msPerSecond/2
	for d.ms() < last && d.ctx.Err() == nil {
		unit := fmt.Sprint("b-", dice.IntN(d.backendCount()))
		if d.commandBackend(operator, history.Drain, unit) != exitRefused { // one whose answer was lost may be out as well
			hold := d.ms() + 300 + 2000*dice.Float64()
			for d.ms() < min(hold, last) && d.ctx.Err() == nil {
				d.commandBackend(operator, history.Read, unit)
			}
			for d.endDrained(unit); d.commandBackend(operator, history.Undrain, unit) == exitUnreachable && d.ctx.Err() == nil; {
				d.endDrained(unit)
			}
		} else {
			d.commandBackend(operator, history.Read, "")
		}
		_ = d.sleep(d.ms() + 200*dice.Float64())
	}
}

func (d *drill) operateDoors(end float64) {
	dice := rand.New(rand.NewPCG(d.Seed, 41))
	var ordered []string
	last := end - quietTailS*msPerSecond
	for d.ms() < last && d.ctx.Err() == nil {
		name := d.doors[dice.IntN(len(d.doors))].name
		if d.command("drain", "door", name) == 0 {
			ordered = append(ordered, name)
		}
		_ = d.sleep(d.ms() + 600*dice.Float64())
		if len(ordered) > 0 && dice.IntN(3) > 0 {
			if d.command("undrain", "door", ordered[0]) != exitUnreachable {
				ordered = ordered[1:]
			}
		}
	}
}

// operateHalt halts all once, for a while.
func (d *drill) operateHalt(end float64) {
	dice := rand.New(rand.NewPCG(d.Seed, 51))
	if d.sleep(end*(0.35+0.2*dice.Float64())) != nil {
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
	d.halts = append(d.halts, outs.Stop{From: from, To: to})
}

// pollReadiness looks whether a door can serve, again and again.
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

// unaffectedDoors are the doors that no strike befalls; that one is drained is nothing that befalls it.
func (d *drill) unaffectedDoors() map[int]string {
	doors := map[int]string{}
	for i, p := range d.doors {
		if !p.faulted && d.Rate > 0 {
			doors[i] = p.address
		}
	}
	return doors
}

// awaitRecovery ends all drains and waits until nothing is out any more; it returns how long that took, or below 0 where it never came.
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

// ---- Judging ----

// outagesOf makes of what was looked at the times in which a door surely was out: by plan where it was ready in this life, nobody
// has told it to end, and it says that it can't serve; by failure from a kill, or a call to end, until it can serve again.
func outagesOf(door int, births, ends []float64, paused []check.Interval, looks []probeResult) (all []outs.Gone, back int) {
	life := func(at float64) (n int) {
		for _, b := range births {
			if b <= at {
				n++
			}
		}
		return n
	}
	ended := func(at float64) (n int) {
		for _, e := range ends {
			if e <= at {
				n++
			}
		}
		return n
	}
	const none = -1
	plan, ready := none, 0 // place in all of the time that is open; life that was ready
	for _, l := range looks {
		now := life(l.sentAt)
		switch {
		case l.status == http.StatusOK:
			if plan != none {
				all[plan].To = l.sentAt
				plan, back = none, back+1
			}
			ready = now
		case l.status == http.StatusServiceUnavailable && plan == none && ready == now && now == life(l.receivedAt) && ended(l.receivedAt) < now:
			plan = len(all)
			all = append(all, outs.Gone{Door: door, From: l.receivedAt, To: math.Inf(1), ByPlan: true})
		}
	}
	for _, e := range ends {
		g := outs.Gone{Door: door, From: e, To: math.Inf(1)}
		for _, l := range looks {
			if l.sentAt > e && life(l.sentAt) > ended(e) && l.status == http.StatusOK {
				g.To = l.sentAt
				break
			}
		}
		all = append(all, g)
	}
	for _, s := range paused {
		all = append(all, outs.Gone{Door: door, From: s.From, To: s.To})
	}
	return all, back
}

// requestsWhileDrained finds requests that came to a backend while it was said to be drained.
func requestsWhileDrained(claims []drainedSpan, came map[string][]float64) (breaches []outs.Breach) {
	for _, c := range claims {
		for _, at := range came[c.unit] {
			if at > c.from+inFlightGraceMs && at < c.to {
				breaches = append(breaches, outs.Breach{Rule: RuleDrainedBackendSilent, At: at, Text: fmt.Sprintf("an operation came to %s %.0f ms after it was said to be drained", c.unit, at-c.from)})
				break
			}
		}
	}
	return breaches
}

func (d *drill) result(back float64, served []*load.Outcome) *DrillResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &DrillResult{Seed: d.Seed, Strikes: d.injected, Calls: len(d.history), Refused: d.refused, Lost: d.lost, BackMs: back, History: d.history}
	var zones []int
	var all []outs.Gone
	for i, p := range d.doors {
		zones = append(zones, i%zoneCount)
		g, n := outagesOf(i, p.startTimes, p.stopTimes, p.paused, p.probes)
		r.Returned += n
		all = append(all, g...)
	}
	for _, g := range all {
		if g.ByPlan {
			r.Went++
			for _, s := range d.halts {
				if g.From > s.From && g.From < s.To {
					r.HaltMs = max(r.HaltMs, g.From-s.From)
				}
			}
		}
	}
	r.Breaches = outs.Judge(zones, all, d.halts, []outs.Bound{{MostOut: maxDoorsOut}, {EachZone: true, MostOut: maxZoneDoorsOut}})
	var drained []drainedSpan
	for _, c := range d.drainedSpans {
		if len(drained) == 0 || drained[len(drained)-1].unit != c.unit || drained[len(drained)-1].to != c.to {
			drained = append(drained, c)
		}
	}
	r.Drained = len(drained)
	r.Breaches = append(r.Breaches, requestsWhileDrained(d.drainedSpans, d.arrivals)...)
	if ok, says := history.Check(maxBackendsOut, d.history, linearizabilityTimeout); !ok {
		r.Breaches = append(r.Breaches, outs.Breach{Rule: RuleDrainsLinearizable, Text: says})
	}
	if back < 0 {
		r.Breaches = append(r.Breaches, outs.Breach{Rule: RuleDrillRecovers, At: d.ms(), Text: fmt.Sprintf("not all is back after %.0f s", recoveryTimeoutMs/msPerSecond)})
	}
	for _, f := range d.failures {
		r.Breaches = append(r.Breaches, outs.Breach{Rule: RuleNoUnexpectedExit, Text: f})
	}
	var says string
	if r.Asked, r.Finished, says = checkFinished(served); says != "" {
		r.Breaches = append(r.Breaches, outs.Breach{Rule: RuleUnaffectedDoorsServe, Text: says})
	}
	return r
}
