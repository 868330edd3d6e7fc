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
	Seed            uint64
	Seconds         float64
	Doors           int
	Coordinators    int
	Binary          string // swifthall, with its other programs beside it
	Logs            string
	Rate            float64 // requests a second that clients ask of each door that nothing befalls
	CoordinatorLoss string  // strikes drawn where empty; none, one, leader or all: coordinators lost, for measurements
}

// Rules of a drill, besides those of outs and of the rig.
const (
	AsOne    = "drains are as one would have answered them"
	Silent   = "a backend said to be drained gets nothing new"
	AllBack  = "all is back once the faults are over"
	Finished = "doors that nothing befalls serve on"
)

// Figures of a drill.
const (
	drillLead    = 1.5  // s before the first fault
	drillQuiet   = 3.0  // s before the end, in which nothing more strikes
	drillBack    = 25e3 // ms in which all must be back then: failures are known, doors have come up, places are free
	drillZones   = 3    //
	mostDoorsOut = 2    // budget of the fleet,
	mostZoneOut  = 1    // of each zone,
	mostBackOut  = 1    // and of backends
	probeEvery   = 20   // ms between looks whether a door can serve
	probeFor     = 300  // ms that a look may take
	claimSlack   = 300  // ms in which what was sent before a backend was drained may come
	callFor      = "4s" // patience of an operator
	checkFor     = time.Minute
	notDone      = 4 // exit of a command that was refused,
	notReached   = 5 // and of one whose answer never came
)

// DrillResult is what a drill came to.
type DrillResult struct {
	Seed            uint64
	Violations      []outs.Breach
	Faults          []string // what struck whom, in order
	Went, Returned  int      // doors that went aside and came back
	Calls           int      // of operators about backends
	Drained         int      // times that a backend was said to be drained
	Refused, Lost   int
	Asked, Finished int
	BackMs          float64 // until all was back
	HaltMs          float64 // after which a door last went aside, from a halt's answer
	History         []history.Op
}

// look is one look at whether a door can serve.
type look struct {
	sent, got float64
	status    int // 0: no answer
}

// claim is a time in which a backend was said to be drained.
type claim struct {
	unit     string
	from, to float64
}

// party is a coordinator or a door that a schedule can strike.
type party struct {
	child
	d         *drill
	name      string
	args      []string
	env       []string
	dir       string
	fault     string // file that spoils its disk
	lives     int
	busyUntil float64
	hit       bool // something befell it

	serve string // where it is asked: a door by clients, a coordinator by all

	// Of doors: written by the rig alone, under the drill's lock.
	births []float64
	ends   []float64 // kills and calls to stop
	paused []check.Spell
	looks  []look
}

type drill struct {
	Drill
	ctx    context.Context
	site   *stand.Site
	dir    string
	zero   atomic.Uint64 // machine's clock at the day's start, as bits of its ms
	coords []*party
	doors  []*party
	relays map[[2]string]*relay // from name to name
	at     string               // coordinators, as commands name them
	held   bool                 // doors' listeners are held, so that releases may reach them

	ahead   string          // seconds by which one coordinator's wall clock is ahead; empty for as drawn
	tariffs json.RawMessage // of all doors, in the place of the site's own

	mu      sync.Mutex
	cuts    map[[2]string]float64 // until when a way is cut
	fails   []string
	strikes []string
	came    map[string][]float64 // requests at backends
	claims  []claim
	stops   []outs.HaltPeriod
	history []history.Op
	refused int
	lost    int
}

func (d *drill) ms() float64 { return clock() - math.Float64frombits(d.zero.Load()) }

// begun has the day's clock begin now.
func (d *drill) begun() { d.zero.Store(math.Float64bits(clock())) }

// Run plays the drill.
func (p Drill) Run(ctx context.Context) (*DrillResult, error) {
	if n := p.Doors + p.Coordinators; n > mostProcesses {
		return nil, &CrowdError{n}
	}
	for _, program := range []string{p.Binary, p.Binary + "-coordinate", p.Binary + "-fleet"} {
		if _, err := os.Stat(program); err != nil {
			return nil, &RigError{"the program " + program, err}
		}
	}
	d := &drill{Drill: p, ctx: ctx}
	defer d.end()
	if err := d.begin(); err != nil {
		return nil, err
	}
	return d.day()
}

// open takes what every drill needs; end gives it back.
func (d *drill) open() (err error) {
	d.relays, d.cuts, d.came = map[[2]string]*relay{}, map[[2]string]float64{}, map[string][]float64{}
	d.begun()
	if d.dir, err = os.MkdirTemp("", "drill-"); err != nil {
		return &RigError{"a folder", err}
	}
	d.site, err = stand.NewSite(d.arrived)
	return err
}

func (d *drill) arrived(backend string) {
	at := d.ms()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.came[backend] = append(d.came[backend], at)
}

func (d *drill) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = append(d.fails, fmt.Sprintf(format, args...))
}

func coordinatorName(i int) string { return fmt.Sprintf("c-%d", i+1) }

// way puts a relay between two parties.
func (d *drill) way(from, to, address string) (string, error) {
	pair, back := [2]string{from, to}, [2]string{to, from}
	cut := func(of [2]string) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.ms() < d.cuts[of]
	}
	one, err := newRelay(address, d.Seed, func() fate { return fate{cut: cut(pair)} }, func() bool { return cut(pair) || cut(back) })
	if err != nil {
		return "", err
	}
	d.relays[pair] = one
	return one.at, nil
}

// prepare writes the configurations and puts relays between coordinators, and from doors to them.
func (d *drill) prepare() error {
	if err := d.prepareCoordinators(); err != nil {
		return err
	}
	dice := rand.New(rand.NewPCG(d.Seed, 21))
	for _, c := range d.coords {
		c.env = append(c.env, wrongWall(dice))
	}
	if d.ahead != "" {
		c := d.coords[len(d.coords)-1]
		c.env = append(c.env, serving.WallOffsetVariable+"="+d.ahead) // the last of a name counts
	}
	fleetAt := make([]string, d.Doors)
	var seedsAt []string
	for i := range fleetAt {
		var err error
		if fleetAt[i], err = loopback.Free(); err != nil {
			return err
		}
		if i < seeds {
			seedsAt = append(seedsAt, Door(i)+"/"+fleetAt[i])
		}
	}
	for i := range d.Doors {
		var err error
		p := &party{d: d, name: Door(i)}
		if p.serve, err = loopback.Free(); err != nil {
			return err
		}
		var through []string
		for _, c := range d.coords {
			a, err := d.way(p.name, c.name, c.serve)
			if err != nil {
				return err
			}
			through = append(through, c.name+"/"+a)
		}
		cfg := d.site.Config(p.name, p.serve, i, d.Doors)
		cfg["log"] = map[string]string{"format": "json", "level": "info"}
		if d.tariffs != nil {
			cfg["settings"].(map[string]any)["tariffs"] = d.tariffs
		}
		of := map[string]any{"name": "drill", "zone": fmt.Sprint("z", i%drillZones), "listen": fleetAt[i], "peers": seedsAt, "coordinators": through}
		if d.held {
			p.dir = filepath.Join(d.dir, "releases-"+p.name)
			if err := os.MkdirAll(p.dir, 0o700); err != nil {
				return &RigError{"a folder", err}
			}
			of["releases"] = p.dir
		}
		cfg["fleet"] = of
		file, err := d.write(p.name, cfg)
		if err != nil {
			return err
		}
		p.args = []string{d.Binary}
		p.env = []string{"GW_CONFIG=" + file, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", wrongWall(dice)}
		d.doors = append(d.doors, p)
	}
	return nil
}

// wrongWall has a process's wall clock be wrong: they are up to 5 s apart.
func wrongWall(dice *rand.Rand) string {
	return fmt.Sprintf("%s=%g", serving.WallOffsetVariable, 5*dice.Float64()-2.5)
}

func faultOf(file string) string { return coordinator.DiskFaultVariable + "=" + file }

func (d *drill) write(name string, v any) (string, error) {
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

func (p *party) start() error {
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	p.lives++
	p.d.mu.Lock()
	p.births = append(p.births, p.d.ms())
	p.d.mu.Unlock()
	return p.child.start(cmd, p.d.Logs, fmt.Sprintf("%s-%d.log", p.name, p.lives), func([]byte) {}, func(says string) { p.d.fail("%s ended by itself: %s", p.name, says) })
}

// begin starts all, sets the budgets, and waits until coordinators count all as here.
func (d *drill) begin() error {
	if err := d.open(); err != nil {
		return err
	}
	if err := d.prepare(); err != nil {
		return err
	}
	for _, p := range append(slices.Clone(d.coords), d.doors...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	budgets := fmt.Sprintf(`[{"kind":"door","most_out":%d},{"kind":"door","zone":"*","most_out":%d},{"kind":"backend","most_out":%d}]`, mostDoorsOut, mostZoneOut, mostBackOut)
	file := filepath.Join(d.dir, "budgets.json")
	if err := os.WriteFile(file, []byte(budgets), 0o600); err != nil {
		return &RigError{"a file", err}
	}
	end := time.Now().Add(startMost)
	for set := false; ; {
		if !set {
			set = d.command("budgets", file) == 0
		} else if st := d.status(); st != nil && st.here() == d.Doors+d.backends() {
			break
		}
		d.mu.Lock()
		failed := slices.Clone(d.fails)
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

func (d *drill) backends() int { return d.site.Backends() }

// command runs one command of an operator to its end and returns its exit code.
func (d *drill) command(args ...string) int {
	_, code := d.output(args...)
	return code
}

func (d *drill) output(args ...string) ([]byte, int) {
	args = append(args, "--at", d.at, "--patience", callFor, "--who", "rig", "--why", "drill")
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
		if code := exit.ExitCode(); code != notDone && code != notReached {
			d.fail("%s ended with %d", strings.Join(args[:min(3, len(args))], " "), code)
		}
		return nil, exit.ExitCode()
	}
	d.fail("%s: %v", args[0], err)
	return nil, notReached
}

// told is what the status says, as far as the rig reads it.
type told struct {
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

func (t *told) here() (n int) {
	for _, u := range t.Units {
		if !u.Out {
			n++
		}
	}
	return n
}

func (d *drill) status() *told {
	raw, code := d.output("status", "--json")
	var t told
	if code != 0 || json.Unmarshal(raw, &t) != nil {
		return nil
	}
	return &t
}

// day plays the strikes by the clock, with operators, clients and looks beside them.
func (d *drill) day() (*DrillResult, error) {
	strikes := d.draw()
	if _, err := warm(d.ctx, d.site, d.unhit(), d.Rate); err != nil {
		return nil, err
	}
	d.begun()
	d.mu.Lock()
	clear(d.came)
	for _, p := range d.doors {
		p.births = []float64{0}
	}
	d.mu.Unlock()
	end := d.Seconds * msPerSecond
	over, stop := context.WithCancel(d.ctx)
	defer stop()
	var beside, looks sync.WaitGroup
	for _, p := range d.doors {
		looks.Go(func() { p.probe(over) })
	}
	for i := range 2 {
		beside.Go(func() { d.operateBackends(i, end) })
	}
	beside.Go(func() { d.operateDoors(end) })
	beside.Go(func() { d.operateHalt(end) })
	served := clients(d.ctx, d.site, d.unhit(), d.Rate, end)
	for _, s := range strikes {
		if err := d.sleep(s.at); err != nil {
			return nil, err
		}
		d.mu.Lock()
		d.strikes = append(d.strikes, fmt.Sprintf("%.1f s %s", d.ms()/msPerSecond, s.says))
		d.mu.Unlock()
		if err := s.do(); err != nil {
			return nil, err
		}
	}
	if err := d.sleep(end); err != nil {
		return nil, err
	}
	beside.Wait()
	back := d.back()
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

type strike struct {
	at   float64
	says string
	do   func() error
}

// draw draws the strikes: on coordinators and doors, each of them one at a time.
func (d *drill) draw() (all []strike) {
	dice := rand.New(rand.NewPCG(d.Seed, 22))
	last := (d.Seconds - drillQuiet) * msPerSecond
	add := func(at float64, says string, do func() error) { all = append(all, strike{min(at, last), says, do}) }
	quick := func(do func()) func() error { return func() error { do(); return nil } }
	if d.CoordinatorLoss != "" {
		return d.drawn(last)
	}
	together := last * (0.4 + 0.3*dice.Float64()) // all coordinators at once, in one of three drills
	if dice.IntN(3) > 0 {
		together = math.Inf(1)
	}
	for _, p := range d.coords {
		if together < last {
			add(together, "kill "+p.name, quick(p.kill))
			add(together+1500, "start "+p.name, p.start)
		}
	}
	for at := drillLead * msPerSecond; at < last-1000; at += 400 + 1600*dice.Float64() {
		kind := dice.IntN(11)
		of := d.coords
		if kind >= 6 {
			of = d.doors
		}
		p := of[dice.IntN(len(of))]
		long := (0.4 + 4.6*dice.Float64()*dice.Float64()) * msPerSecond
		if at < p.busyUntil || kind < 6 && at+long > together-500 && at < together+2500 {
			continue
		}
		p.hit = true
		switch kind {
		case 0, 1: // a coordinator is stopped
			add(at, "pause "+p.name, quick(func() { p.signal(syscall.SIGSTOP, false) }))
			add(at+long, "go on "+p.name, quick(func() { p.signal(syscall.SIGCONT, false) }))
		case 2: // killed
			add(at, "kill "+p.name, quick(p.kill))
			add(at+long, "start "+p.name, p.start)
		case 3: // cut off from the others
			add(at, "cut off "+p.name, quick(func() { d.cut(p.name, d.coords, d.ms()+long, dice.IntN(3)) }))
		case 4: // its disk is full: it ends itself, and is started again once there is room
			add(at, "disk full at "+p.name, quick(func() { d.spoil(p, "full") }))
			add(at+long, "room at "+p.name, func() error { return p.again(d) })
		case 5: // its disk is slow
			add(at, "disk slow at "+p.name, quick(func() { d.spoil(p, "500ms") }))
			add(at+long, "disk well at "+p.name, quick(func() { d.spoil(p, "") }))
		case 6, 7: // a door is stopped
			add(at, "pause "+p.name, quick(func() { p.pause(long) }))
			add(at+long, "go on "+p.name, quick(func() { p.signal(syscall.SIGCONT, false) }))
		case 8: // killed, for long enough to be counted, or not
			long *= 1 + 2*dice.Float64()
			add(at, "kill "+p.name, quick(func() { p.ending(); p.kill() }))
			add(at+long, "start "+p.name, p.start)
		case 9: // told to end
			add(at, "end "+p.name, quick(func() { p.ending(); p.signal(syscall.SIGTERM, true) }))
			add(at+long, "start "+p.name, func() error {
				if done := p.signal(0, true); done != nil {
					<-done
				}
				return p.start()
			})
		case 10: // cut off from coordinators
			add(at, "cut off "+p.name, quick(func() { d.cut(p.name, d.coords, d.ms()+long, dice.IntN(3)) }))
		}
		p.busyUntil = at + long + 500
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	return all
}

// drawn is strikes on coordinators alone: one of them, whichever leads every 5 s, or all at once.
func (d *drill) drawn(last float64) (all []strike) {
	down := func(at, long float64, says string, which func() []*party) {
		var struck []*party
		all = append(all, strike{at, "kill " + says, func() error {
			for _, p := range which() {
				struck = append(struck, p)
				p.kill()
			}
			return nil
		}}, strike{at + long, "start " + says, func() error {
			for _, p := range struck {
				if err := p.start(); err != nil {
					return err
				}
			}
			return nil
		}})
	}
	switch d.CoordinatorLoss {
	case "one":
		down(last*0.3, last*0.4, "one", func() []*party { return d.coords[:1] })
	case "leader":
		for at := drillLead * msPerSecond; at+3000 < last; at += 5000 {
			down(at, 2500, "the one that leads", func() []*party {
				raw, code := d.output("status", "--json")
				var t struct{ Leader string }
				if code != 0 || json.Unmarshal(raw, &t) != nil {
					return nil
				}
				return slices.DeleteFunc(slices.Clone(d.coords), func(p *party) bool { return p.name != t.Leader })
			})
		}
	case "all":
		down(last*0.3, last*0.4, "all", func() []*party { return d.coords })
	}
	return all
}

// kill ends a process at once, and waits until it has ended.
func (p *party) kill() {
	if done := p.signal(syscall.SIGKILL, true); done != nil {
		<-done
	}
}

func (p *party) ending() {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.ends = append(p.ends, p.d.ms())
}

func (p *party) pause(long float64) {
	p.d.mu.Lock()
	p.paused = append(p.paused, check.Spell{From: p.d.ms(), To: p.d.ms() + long})
	p.d.mu.Unlock()
	p.signal(syscall.SIGSTOP, false)
}

// again gives a coordinator room, and starts it where it ended itself for lack of it.
func (p *party) again(d *drill) error {
	d.spoil(p, "")
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return p.start()
	default: // it had nothing to write meanwhile
		p.mu.Lock()
		p.meant = false
		p.mu.Unlock()
		return nil
	}
}

func (d *drill) spoil(p *party, how string) {
	if how == "full" {
		p.mu.Lock()
		p.meant = true // it ends itself
		p.mu.Unlock()
	}
	if err := os.WriteFile(p.fault, []byte(how), 0o600); err != nil {
		d.fail("spoiling a disk: %v", err)
	}
}

// cut cuts the ways between one and others: those out, those in, or both.
func (d *drill) cut(name string, others []*party, until float64, ways int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range others {
		if ways != 1 {
			d.cuts[[2]string{name, o.name}] = until
		}
		if ways != 0 {
			d.cuts[[2]string{o.name, name}] = until
		}
	}
}

// ---- Operators, clients, looks ----

// backend gives one command about a backend and writes down what was answered.
func (d *drill) backend(operator int, call history.Call, unit string) int {
	op := history.Op{Operator: operator, Call: call, Unit: unit, From: d.ms()}
	var code int
	switch call {
	case history.Drain:
		code = d.command("drain", "backend", unit)
	case history.Undrain:
		code = d.command("undrain", "backend", unit)
	case history.Read:
		code = notReached
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
						d.claim(p.Unit.Name, d.ms())
					}
				}
			}
		}
	}
	op.To = d.ms()
	op.Outcome = map[int]history.Outcome{0: history.Done, notDone: history.Refused, notReached: history.Lost}[code]
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

// claim notes that a backend was said to be drained; its end is put in where its way back begins.
func (d *drill) claim(unit string, at float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims = append(d.claims, claim{unit, at, math.Inf(1)})
}

// unclaim ends what is claimed of a backend: its way back is about to be ordered.
func (d *drill) unclaim(unit string) {
	at := d.ms()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.claims {
		if d.claims[i].unit == unit {
			d.claims[i].to = min(d.claims[i].to, at)
		}
	}
}

func (d *drill) operateBackends(operator int, end float64) {
	dice := rand.New(rand.NewPCG(d.Seed, 31+uint64(operator)))
	last := end - drillQuiet*msPerSecond/2
	for d.ms() < last && d.ctx.Err() == nil {
		unit := fmt.Sprint("b-", dice.IntN(d.backends()))
		if d.backend(operator, history.Drain, unit) != notDone { // one whose answer was lost may be out as well
			hold := d.ms() + 300 + 2000*dice.Float64()
			for d.ms() < min(hold, last) && d.ctx.Err() == nil {
				d.backend(operator, history.Read, unit)
			}
			for d.unclaim(unit); d.backend(operator, history.Undrain, unit) == notReached && d.ctx.Err() == nil; {
				d.unclaim(unit)
			}
		} else {
			d.backend(operator, history.Read, "")
		}
		_ = d.sleep(d.ms() + 200*dice.Float64())
	}
}

func (d *drill) operateDoors(end float64) {
	dice := rand.New(rand.NewPCG(d.Seed, 41))
	var ordered []string
	last := end - drillQuiet*msPerSecond
	for d.ms() < last && d.ctx.Err() == nil {
		name := d.doors[dice.IntN(len(d.doors))].name
		if d.command("drain", "door", name) == 0 {
			ordered = append(ordered, name)
		}
		_ = d.sleep(d.ms() + 600*dice.Float64())
		if len(ordered) > 0 && dice.IntN(3) > 0 {
			if d.command("undrain", "door", ordered[0]) != notReached {
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
	for d.command("halt") == notReached && d.ctx.Err() == nil {
	}
	from := d.ms()
	_ = d.sleep(from + 3000)
	to := d.ms()
	for d.command("resume") == notReached && d.ctx.Err() == nil {
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stops = append(d.stops, outs.HaltPeriod{From: from, To: to})
}

// probe looks whether a door can serve, again and again.
func (p *party) probe(ctx context.Context) {
	client := http.Client{Timeout: probeFor * time.Millisecond}
	defer client.CloseIdleConnections()
	t := time.NewTicker(probeEvery * time.Millisecond)
	defer t.Stop()
	for {
		l := look{sent: p.d.ms()}
		if resp, err := client.Get("http://" + p.serve + "/health/ready"); err == nil {
			resp.Body.Close()
			l.status = resp.StatusCode
		}
		l.got = p.d.ms()
		p.d.mu.Lock()
		p.looks = append(p.looks, l)
		p.d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// unhit are the doors that no strike befalls; that one is drained is nothing that befalls it.
func (d *drill) unhit() map[int]string {
	doors := map[int]string{}
	for i, p := range d.doors {
		if !p.hit && d.Rate > 0 {
			doors[i] = p.serve
		}
	}
	return doors
}

// back ends all drains and waits until nothing is out any more; it returns how long that took, or below 0 where it never came.
func (d *drill) back() float64 {
	from := d.ms()
	for d.ms()-from < drillBack && d.ctx.Err() == nil {
		t := d.status()
		if t == nil {
			continue
		}
		for _, p := range t.Places {
			if !p.Over {
				d.unclaim(p.Unit.Name)
				d.command("undrain", strings.ToLower(p.Unit.Kind), p.Unit.Name)
			}
		}
		if len(t.Places) == 0 && t.here() == d.Doors+d.backends() && d.allServe() {
			return d.ms() - from
		}
	}
	return -1
}

func (d *drill) allServe() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.doors {
		if n := len(p.looks); n == 0 || p.looks[n-1].status != http.StatusOK {
			return false
		}
	}
	return true
}

func (d *drill) end() {
	var all []*child
	for _, p := range append(slices.Clone(d.coords), d.doors...) {
		all = append(all, &p.child)
	}
	finish(all)
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

// gone makes of what was looked at the times in which a door surely was out: by plan where it was ready in this life, nobody
// has told it to end, and it says that it can't serve; by failure from a kill, or a call to end, until it can serve again.
func gone(door int, births, ends []float64, paused []check.Spell, looks []look) (all []outs.Outage, back int) {
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
		now := life(l.sent)
		switch {
		case l.status == http.StatusOK:
			if plan != none {
				all[plan].To = l.sent
				plan, back = none, back+1
			}
			ready = now
		case l.status == http.StatusServiceUnavailable && plan == none && ready == now && now == life(l.got) && ended(l.got) < now:
			plan = len(all)
			all = append(all, outs.Outage{Door: door, From: l.got, To: math.Inf(1), Planned: true})
		}
	}
	for _, e := range ends {
		g := outs.Outage{Door: door, From: e, To: math.Inf(1)}
		for _, l := range looks {
			if l.sent > e && life(l.sent) > ended(e) && l.status == http.StatusOK {
				g.To = l.sent
				break
			}
		}
		all = append(all, g)
	}
	for _, s := range paused {
		all = append(all, outs.Outage{Door: door, From: s.From, To: s.To})
	}
	return all, back
}

// silent finds requests that came to a backend while it was said to be drained.
func silent(claims []claim, came map[string][]float64) (breaches []outs.Breach) {
	for _, c := range claims {
		for _, at := range came[c.unit] {
			if at > c.from+claimSlack && at < c.to {
				breaches = append(breaches, outs.Breach{Rule: Silent, At: at, Text: fmt.Sprintf("an operation came to %s %.0f ms after it was said to be drained", c.unit, at-c.from)})
				break
			}
		}
	}
	return breaches
}

func (d *drill) result(back float64, served []*load.Outcome) *DrillResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &DrillResult{Seed: d.Seed, Faults: d.strikes, Calls: len(d.history), Refused: d.refused, Lost: d.lost, BackMs: back, History: d.history}
	var zones []int
	var all []outs.Outage
	for i, p := range d.doors {
		zones = append(zones, i%drillZones)
		g, n := gone(i, p.births, p.ends, p.paused, p.looks)
		r.Returned += n
		all = append(all, g...)
	}
	for _, g := range all {
		if g.Planned {
			r.Went++
			for _, s := range d.stops {
				if g.From > s.From && g.From < s.To {
					r.HaltMs = max(r.HaltMs, g.From-s.From)
				}
			}
		}
	}
	r.Violations = outs.CheckOutages(zones, all, d.stops, []outs.BudgetLimit{{MostOut: mostDoorsOut}, {EachZone: true, MostOut: mostZoneOut}})
	var drained []claim
	for _, c := range d.claims {
		if len(drained) == 0 || drained[len(drained)-1].unit != c.unit || drained[len(drained)-1].to != c.to {
			drained = append(drained, c)
		}
	}
	r.Drained = len(drained)
	r.Violations = append(r.Violations, silent(d.claims, d.came)...)
	if ok, says := history.Check(mostBackOut, d.history, checkFor); !ok {
		r.Violations = append(r.Violations, outs.Breach{Rule: AsOne, Text: says})
	}
	if back < 0 {
		r.Violations = append(r.Violations, outs.Breach{Rule: AllBack, At: d.ms(), Text: fmt.Sprintf("not all is back after %.0f s", drillBack/msPerSecond)})
	}
	for _, f := range d.fails {
		r.Violations = append(r.Violations, outs.Breach{Rule: RunsOn, Text: f})
	}
	var says string
	if r.Asked, r.Finished, says = servedOn(served); says != "" {
		r.Violations = append(r.Violations, outs.Breach{Rule: Finished, Text: says})
	}
	return r
}
