// Package scenario is the laboratory's scenario file: a world, its load and its faults, as TOML. Read refuses keys it
// does not know, figures that cannot be and faults that contradict each other, and names the key.
// Keys carry their unit: _ms, _s, per_s. A span is two figures, from which each day draws.
package scenario

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Span is a range that a day draws from; both ends are the same where nothing is drawn.
type Span []float64

func (s Span) Low() float64  { return s[0] }
func (s Span) High() float64 { return s[len(s)-1] }

// At returns the span's value for a share from 0 to 1 of its length.
func (s Span) At(share float64) float64 { return s.Low() + (s.High()-s.Low())*share }

// Scenario is one scenario file.
type Scenario struct {
	Name      string    `toml:"name"`
	Shows     string    `toml:"shows"`
	Day       Day       `toml:"day"`
	Fleet     Fleet     `toml:"fleet"`
	Machines  []Machine `toml:"machine"`
	Net       Net       `toml:"net"`
	Load      Load      `toml:"load"`
	Classes   []Class   `toml:"profile"`
	Plans     []Plan    `toml:"plan"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
	Counter   Counter   `toml:"counter"`
	Meter     Meter     `toml:"meter"`
	Allow     Allow     `toml:"allow"`
	Rules     Rules     `toml:"rules"`
	Goal      Goal      `toml:"goal"`
	Prices    Prices    `toml:"prices"`
	Faults    []Fault   `toml:"fault"`
}

// Day is how long requests arrive, and how often a door looks at what has come.
type Day struct {
	Seconds float64 `toml:"seconds"`
	TickMs  float64 `toml:"tick_ms"`
}

// Fleet is how many there are.
type Fleet struct {
	Doors    int `toml:"doors"`
	Backends int `toml:"backends"`
	Zones    int `toml:"zones"`
	CellSize int `toml:"cell_size"`

	MembersMs float64 `toml:"members_ms"` // after which every door knows that another has come or gone; 0: never
}

// Machine is a kind of backend.
type Machine struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"`
	Cores        int     `toml:"cores"`
	Speed        Span    `toml:"speed"`          // work done in a ms of a core, ms
	SlotsPerCore float64 `toml:"slots_per_core"` // requests in work at once
	QueuePerCore float64 `toml:"queue_per_core"` // requests that wait; more are turned away
	Thrash       float64 `toml:"thrash"`         // share of the speed lost when full
	ColdFrom     float64 `toml:"cold_from"`      // share of its capacity at its start
	ColdS        float64 `toml:"cold_s"`         // until it is warm
	ConnsPerCore float64 `toml:"conns_per_core"` // connections held; more are refused
	HandshakeMs  float64 `toml:"handshake_ms"`   // work of a new connection
	ErrorRate    float64 `toml:"error_rate"`
	GoesOn       bool    `toml:"goes_on"` // work goes on when its door has left
}

// Net is the network, one way.
type Net struct {
	SameMs           Span    `toml:"same_ms"`
	CrossMs          Span    `toml:"cross_ms"`
	ClientMs         Span    `toml:"client_ms"`
	Jitter           float64 `toml:"jitter"` // share by which a delay varies
	Loss             float64 `toml:"loss"`   // chance that an answer never comes
	ConnectTimeoutMs float64 `toml:"connect_timeout_ms"`
	IdleMs           float64 `toml:"idle_ms"` // connections idle for longer are closed
}

// Load is what is asked. PerSecond wins over Share.
type Load struct {
	Share       float64 `toml:"share"`        // asked inside the quotas, as a share of what the backends can do
	PerSecond   float64 `toml:"per_s"`        // requests a second, all that is first asked
	Shape       string  `toml:"shape"`        // steady, wave, ramp or bursts
	Swing       float64 `toml:"swing"`        // how far the shape moves the load, as a share
	PerCustomer float64 `toml:"per_customer"` // mean use of a customer as a share of its rate
	Full        float64 `toml:"full"`         // share of the customers that use nearly all of their rate,
	Heavy       float64 `toml:"heavy"`        // that ask beyond it for the whole day,
	HeavyTimes  float64 `toml:"heavy_times"`  // that many times the rate,
	Spiky       float64 `toml:"spiky"`        // and that come in sessions,
	SpikeTimes  float64 `toml:"spike_times"`  // of that many times the rate,
	SpikeS      Span    `toml:"spike_s"`      // that long,
	SpikeEveryS Span    `toml:"spike_every_s"`
	Skew        float64 `toml:"skew"`    // how unevenly a customer's requests come over its doors, 0 for evenly
	ShiftS      Span    `toml:"shift_s"` // how often that changes
	MostUnits   int     `toml:"most_units"`
}

// Class is a kind of request.
type Class struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	WorkMs     float64 `toml:"work_ms"`
	Cv         float64 `toml:"cv"`    // of the work; 0 draws it from an exponential distribution
	Noise      float64 `toml:"noise"` // of each attempt's work around the request's own
	ContractMs float64 `toml:"contract_ms"`
	OuterMs    float64 `toml:"outer_ms"`
	Gain       float64 `toml:"gain"`
	LateValue  float64 `toml:"late_value"`
	Semantics  string  `toml:"semantics"` // idempotent, keyed, non-idempotent
	Scope      string  `toml:"scope"`     // all, zone, cell
	WindowMs   float64 `toml:"window_ms"`
}

// Plan is what customers have bought. Quotas hold over all doors.
type Plan struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"` // of the use inside the quotas
	PerS         float64 `toml:"per_s"` // units
	Depth        float64 `toml:"depth"`
	AtOnce       int     `toml:"at_once"`
	CeilingPerS  float64 `toml:"ceiling_per_s"`
	CeilingDepth float64 `toml:"ceiling_depth"`
	CeilingSlack float64 `toml:"ceiling_slack"`
	Price        float64 `toml:"price"`
	OverCost     float64 `toml:"over_cost"` // of its gain that a try costs which was sent on beyond the quota
	Spread       int     `toml:"spread"`    // doors of a customer
}

// Clients is how clients behave when they are not served.
type Clients struct {
	Retries         int     `toml:"retries"`
	TryShare        float64 `toml:"try_share"` // of the deadline, after which a try is given up
	Wait            string  `toml:"wait"`      // none, fixed or doubling
	WaitMs          float64 `toml:"wait_ms"`
	Honour          float64 `toml:"honour"` // share of them that follow the advice
	MaxRetryAfterMs float64 `toml:"max_retry_after_ms"`
	Marks           bool    `toml:"marks"`     // retries are marked
	Impatient       float64 `toml:"impatient"` // share of the tries that are left early
	Elsewhere       float64 `toml:"elsewhere"` // chance that a retry comes through another door
	NoticeMs        float64 `toml:"notice_ms"` // until clients see that a door has died
}

// Discovery is how the fleet list reaches the doors.
type Discovery struct {
	Ask      bool `toml:"ask"` // changes come only when asked for
	DelayMs  Span `toml:"delay_ms"`
	NoticeMs Span `toml:"notice_ms"` // until a death is seen
	SilentMs Span `toml:"silent_ms"` // until a machine that fell silent is
}

// Counter is the shared counter.
type Counter struct {
	On        bool    `toml:"on"`
	PerS      float64 `toml:"per_s"`
	Parts     int     `toml:"parts"`
	ServeMs   float64 `toml:"serve_ms"`
	QueueMs   float64 `toml:"queue_ms"` // calls that would wait longer are turned away
	TimeoutMs float64 `toml:"timeout_ms"`
}

// Meter tells in answers how much of its quota a customer used.
type Meter struct {
	PeriodMs float64 `toml:"period_ms"`
	LateMs   float64 `toml:"late_ms"`
}

// Allow is what a door may do.
type Allow struct {
	Probes      bool    `toml:"probes"`
	ProbeMs     float64 `toml:"probe_ms"` // work of a probe
	Cancel      bool    `toml:"cancel"`
	Hedging     bool    `toml:"second_copies"`
	MaxAttempts int     `toml:"max_transmissions"`
	RetryAfter  bool    `toml:"retry_after"`
}

// Rules holds the figures of the five rules.
type Rules struct {
	AnswerSlackMs float64 `toml:"answer_slack_ms"`
	DrainGraceMs  float64 `toml:"drain_grace_ms"`
	FallMultiple  float64 `toml:"fall_multiple"`
	FallMs        float64 `toml:"fall_ms"`
	ColdFrom      float64 `toml:"cold_from"` // told to the doors; the machines' least where it is left out
	ColdS         float64 `toml:"cold_s"`
}

// Goal weighs the parts of G.
type Goal struct {
	Whole       float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_profile"`
	WorstPlan   float64 `toml:"worst_plan"`
}

// Prices are taken off G, each times its share of the requests or of the work.
type Prices struct {
	Counter   float64 `toml:"counter"`
	Probe     float64 `toml:"probe"`
	Cross     float64 `toml:"cross"`
	Waste     float64 `toml:"waste"`
	Handshake float64 `toml:"handshake"`
	HeldBack  float64 `toml:"held_back"` // of its gain, for a request given up after half of its time and never sent
}

// Read decodes and checks a scenario.
func Read(raw []byte) (Scenario, error) {
	s := base()
	if err := Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	s.fill()
	if err := s.check(); err != nil {
		return Scenario{}, err
	}
	return s, nil
}

// Decode reads TOML into what it names and refuses keys that it doesn't know; its errors are KeyErrors.
func Decode(raw []byte, into any) error {
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(into); err != nil {
		return decodeFault(err)
	}
	return nil
}

// EmbeddedNames lists the files of a folder that is compiled in, without their ending.
func EmbeddedNames(files embed.FS, dir string) []string {
	entries, err := files.ReadDir(dir)
	if err != nil {
		panic(err) // the folder is compiled in
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// ReadFile reads a scenario file.
func ReadFile(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, &FileError{path, err}
	}
	s, err := Read(raw)
	if err != nil {
		return Scenario{}, &FileError{path, err}
	}
	return s, nil
}

// Write encodes a scenario so that Read gives it back.
func (s *Scenario) Write() ([]byte, error) {
	raw, err := toml.Marshal(s)
	if err != nil {
		return nil, &FileError{Cause: err}
	}
	return raw, nil
}

// Clone returns a copy that shares nothing with s.
func (s *Scenario) Clone() (Scenario, error) {
	raw, err := s.Write()
	if err != nil {
		return Scenario{}, err
	}
	return Read(raw)
}

func decodeFault(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return &KeyError{Key: strings.Join(e.Key(), "."), Line: row, Reason: "unknown"}
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		return &KeyError{Key: strings.Join(wrong.Key(), "."), Line: row, Cause: err}
	}
	return &KeyError{Cause: err}
}

// base holds what a scenario has where it says nothing else. Lists come from the file alone.
func base() Scenario {
	return Scenario{
		Day:   Day{Seconds: 30, TickMs: 4},
		Fleet: Fleet{Doors: 3, Backends: 12, Zones: 3, CellSize: 4},
		Net: Net{SameMs: Span{0.1, 0.3}, CrossMs: Span{0.7, 1.3}, ClientMs: Span{0.2, 1.2}, Jitter: 0.2,
			ConnectTimeoutMs: 250, IdleMs: 15e3},
		Load: Load{Share: 0.5, Shape: "steady", PerCustomer: 0.35, Full: 0.15, Heavy: 0.1, HeavyTimes: 3, Spiky: 0.2, SpikeTimes: 5,
			SpikeS: Span{0.5, 4}, SpikeEveryS: Span{12, 22}, Skew: 0.7, ShiftS: Span{6, 20}, MostUnits: 1},
		Clients: Clients{Retries: 1, TryShare: 0.7, Wait: "fixed", WaitMs: 150, Honour: 0.7, MaxRetryAfterMs: 500, Marks: true,
			Elsewhere: 0.4, NoticeMs: 2000},
		Discovery: Discovery{DelayMs: Span{300, 1200}, NoticeMs: Span{700, 3000}, SilentMs: Span{5000, 10000}},
		Counter:   Counter{PerS: 450, Parts: 1, ServeMs: 1.2, QueueMs: 80, TimeoutMs: 80},
		Allow:     Allow{ProbeMs: 0.4, Cancel: true, Hedging: true, MaxAttempts: 6, RetryAfter: true},
		Rules:     Rules{AnswerSlackMs: 50, DrainGraceMs: 500, FallMultiple: 4, FallMs: 1500},
		Goal:      Goal{Whole: 0.4, WorstWindow: 0.35, WorstClass: 0.1, WorstPlan: 0.15},
		Prices:    Prices{Counter: 0.02, Probe: 0.01, Cross: 0.01, Waste: 0.05, Handshake: 0.02, HeldBack: 0.3},
	}
}

// fill puts in what the lists leave out.
func (s *Scenario) fill() {
	if len(s.Faults) == 0 {
		s.Faults = nil
	}
	for i := range s.Machines {
		m := &s.Machines[i]
		m.Share, m.Cores = or(m.Share, 1), or(m.Cores, 2)
		m.SlotsPerCore, m.QueuePerCore = or(m.SlotsPerCore, 4), or(m.QueuePerCore, 20)
		m.ColdFrom, m.ColdS = or(m.ColdFrom, 0.3), or(m.ColdS, 8)
		m.ConnsPerCore = or(m.ConnsPerCore, 500)
		if len(m.Speed) == 0 {
			m.Speed = Span{0.9, 1.4}
		}
	}
	if len(s.Machines) == 0 {
		s.Machines = []Machine{{Name: "plain", Share: 1, Cores: 2, Speed: Span{0.9, 1.4}, SlotsPerCore: 4, QueuePerCore: 20,
			Thrash: 0.1, ColdFrom: 0.3, ColdS: 8, ConnsPerCore: 500, HandshakeMs: 0.5}}
	}
	for i := range s.Classes {
		p := &s.Classes[i]
		p.Share, p.Gain = or(p.Share, 1), or(p.Gain, 1)
		if p.Semantics == "" {
			p.Semantics = "replayable"
		}
		if p.Scope == "" {
			p.Scope = "all"
		}
	}
	for i := range s.Plans {
		p := &s.Plans[i]
		p.Share, p.Price = or(p.Share, 1), or(p.Price, 1)
		p.Spread = min(or(p.Spread, 3), s.Fleet.Doors)
		if p.CeilingPerS > 0 {
			p.CeilingSlack = or(p.CeilingSlack, max(0.1*p.CeilingDepth, float64(s.Load.MostUnits)))
		}
	}
	r := &s.Rules
	if r.ColdFrom == 0 {
		r.ColdFrom = 1
		for _, m := range s.Machines {
			r.ColdFrom = min(r.ColdFrom, m.ColdFrom)
		}
	}
	if r.ColdS == 0 {
		for _, m := range s.Machines {
			r.ColdS = max(r.ColdS, m.ColdS)
		}
	}
}

func or[T int | float64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Limits of what one process plays; larger figures are mistakes of the unit.
const (
	mostDoors    = 1000
	mostBackends = 2000
	mostSeconds  = 24 * 3600
)

func (s *Scenario) check() error {
	switch {
	case s.Name == "":
		return fault("name", "missing")
	case s.Fleet.Doors < 1 || s.Fleet.Doors > mostDoors:
		return fault("fleet.doors", "%d, 1 to %d can be played", s.Fleet.Doors, mostDoors)
	case s.Fleet.Backends < 1 || s.Fleet.Backends > mostBackends:
		return fault("fleet.backends", "%d, 1 to %d can be played", s.Fleet.Backends, mostBackends)
	case s.Fleet.Zones < 1:
		return fault("fleet.zones", "%d", s.Fleet.Zones)
	case s.Fleet.CellSize < 1:
		return fault("fleet.cell_size", "%d", s.Fleet.CellSize)
	case !(s.Fleet.MembersMs >= 0 && s.Fleet.MembersMs <= 600e3):
		return fault("fleet.members_ms", "%g, 0 to 600e3 is wanted", s.Fleet.MembersMs)
	case !(s.Day.Seconds > 0 && s.Day.Seconds <= mostSeconds):
		return fault("day.seconds", "%g, up to %d can be played", s.Day.Seconds, mostSeconds)
	case !(s.Day.TickMs > 0 && s.Day.TickMs <= 1000):
		return fault("day.tick_ms", "%g", s.Day.TickMs)
	case len(s.Classes) == 0:
		return fault("profile", "none")
	case len(s.Plans) == 0:
		return fault("plan", "none")
	case s.Allow.MaxAttempts < 1:
		return fault("allow.max_transmissions", "%d", s.Allow.MaxAttempts)
	case s.Counter.On && !(s.Counter.PerS > 0 && s.Counter.Parts > 0 && s.Counter.TimeoutMs > 0):
		return fault("counter", "per_s, parts and timeout_ms must be above 0")
	case s.Load.MostUnits < 1:
		return fault("load.most_units", "%d", s.Load.MostUnits)
	case !(s.Load.PerCustomer > 0):
		return fault("load.per_customer", "%g", s.Load.PerCustomer)
	}
	if err := oneOf("load.shape", s.Load.Shape, "steady", "wave", "ramp", "bursts"); err != nil {
		return err
	}
	if err := oneOf("clients.wait", s.Clients.Wait, "none", "fixed", "doubling"); err != nil {
		return err
	}
	for _, sp := range []struct {
		key  string
		span Span
	}{{"net.same_ms", s.Net.SameMs}, {"net.cross_ms", s.Net.CrossMs}, {"net.client_ms", s.Net.ClientMs}, {"load.spike_s", s.Load.SpikeS},
		{"load.spike_every_s", s.Load.SpikeEveryS}, {"load.shift_s", s.Load.ShiftS}, {"discovery.delay_ms", s.Discovery.DelayMs},
		{"discovery.notice_ms", s.Discovery.NoticeMs}, {"discovery.silent_ms", s.Discovery.SilentMs}} {
		if err := sp.span.check(sp.key, false); err != nil {
			return err
		}
	}
	for _, f := range s.figures() {
		if err := f.check(); err != nil {
			return err
		}
	}
	for i, m := range s.Machines {
		if err := m.Speed.check(fmt.Sprintf("machine[%d].speed", i), true); err != nil {
			return err
		}
	}
	for i, p := range s.Classes {
		under := fmt.Sprintf("profile[%d].", i)
		if p.Name == "" {
			return fault(under+"name", "missing")
		}
		if err := oneOf(under+"semantics", p.Semantics, "replayable", "tokened", "single-use"); err != nil {
			return err
		}
		if err := oneOf(under+"scope", p.Scope, "all", "zone", "cell"); err != nil {
			return err
		}
		switch {
		case slices.ContainsFunc(s.Classes[:i], func(q Class) bool { return q.Name == p.Name }):
			return fault(under+"name", "%q is another's already", p.Name)
		case !(p.WorkMs > 0):
			return fault(under+"work_ms", "%g", p.WorkMs)
		case !(p.ContractMs > 0):
			return fault(under+"contract_ms", "%g", p.ContractMs)
		case !(p.OuterMs >= p.ContractMs):
			return fault(under+"outer_ms", "%g, under contract_ms %g", p.OuterMs, p.ContractMs)
		case p.Semantics == "tokened" && !(p.WindowMs > 0):
			return fault(under+"window_ms", "%g, though the profile is tokened", p.WindowMs)
		}
	}
	for i, p := range s.Plans {
		under := fmt.Sprintf("plan[%d].", i)
		switch {
		case p.Name == "":
			return fault(under+"name", "missing")
		case slices.ContainsFunc(s.Plans[:i], func(q Plan) bool { return q.Name == p.Name }):
			return fault(under+"name", "%q is another's already", p.Name)
		case !(p.PerS > 0):
			return fault(under+"per_s", "%g", p.PerS)
		case !(p.Depth >= float64(s.Load.MostUnits)):
			return fault(under+"depth", "%g, under the largest operation of %d units", p.Depth, s.Load.MostUnits)
		case p.CeilingPerS > 0 && !(p.CeilingDepth >= float64(s.Load.MostUnits)):
			return fault(under+"ceiling_depth", "%g, under the largest operation", p.CeilingDepth)
		}
	}
	return s.checkFaults()
}

// figure is one number with what it may be.
type figure struct {
	key        string
	value      float64
	least, top float64
}

func (f figure) check() error {
	if !(f.value >= f.least && f.value <= f.top) {
		return fault(f.key, "%g, %g to %g is wanted", f.value, f.least, f.top)
	}
	return nil
}

// figures lists the plain numbers with their bounds.
func (s *Scenario) figures() []figure {
	inf := math.MaxFloat64
	fs := []figure{
		{"net.jitter", s.Net.Jitter, 0, 1}, {"net.loss", s.Net.Loss, 0, 1},
		{"net.connect_timeout_ms", s.Net.ConnectTimeoutMs, 1, inf}, {"net.idle_ms", s.Net.IdleMs, 1, inf},
		{"load.share", s.Load.Share, 0, 10}, {"load.per_s", s.Load.PerSecond, 0, inf}, {"load.swing", s.Load.Swing, 0, 1},
		{"load.full", s.Load.Full, 0, 1}, {"load.heavy", s.Load.Heavy, 0, 1}, {"load.spiky", s.Load.Spiky, 0, 1},
		{"load.heavy_times", s.Load.HeavyTimes, 0, 1000}, {"load.spike_times", s.Load.SpikeTimes, 0, 1000}, {"load.skew", s.Load.Skew, 0, 10},
		{"clients.retries", float64(s.Clients.Retries), 0, 100}, {"clients.try_share", s.Clients.TryShare, 0.01, 1},
		{"clients.wait_ms", s.Clients.WaitMs, 0, inf}, {"clients.honour", s.Clients.Honour, 0, 1},
		{"clients.max_retry_after_ms", s.Clients.MaxRetryAfterMs, 0, inf}, {"clients.impatient", s.Clients.Impatient, 0, 1},
		{"clients.elsewhere", s.Clients.Elsewhere, 0, 1}, {"clients.notice_ms", s.Clients.NoticeMs, 0, inf},
		{"counter.serve_ms", s.Counter.ServeMs, 0, inf}, {"counter.queue_ms", s.Counter.QueueMs, 0, inf},
		{"meter.period_ms", s.Meter.PeriodMs, 0, inf}, {"meter.late_ms", s.Meter.LateMs, 0, inf},
		{"allow.probe_ms", s.Allow.ProbeMs, 0, inf},
		{"rules.answer_slack_ms", s.Rules.AnswerSlackMs, 0, inf}, {"rules.drain_grace_ms", s.Rules.DrainGraceMs, 0, inf},
		{"rules.fall_multiple", s.Rules.FallMultiple, 1, inf}, {"rules.fall_ms", s.Rules.FallMs, 1, inf},
		{"rules.cold_from", s.Rules.ColdFrom, 0.001, 1}, {"rules.cold_s", s.Rules.ColdS, 0, inf},
		{"goal.whole", s.Goal.Whole, 0, inf}, {"goal.worst_window", s.Goal.WorstWindow, 0, inf},
		{"goal.worst_profile", s.Goal.WorstClass, 0, inf}, {"goal.worst_plan", s.Goal.WorstPlan, 0, inf},
		{"prices.counter", s.Prices.Counter, 0, inf}, {"prices.probe", s.Prices.Probe, 0, inf}, {"prices.cross", s.Prices.Cross, 0, inf},
		{"prices.waste", s.Prices.Waste, 0, inf}, {"prices.handshake", s.Prices.Handshake, 0, inf}, {"prices.held_back", s.Prices.HeldBack, 0, inf},
		{"goal", s.Goal.Whole + s.Goal.WorstWindow + s.Goal.WorstClass + s.Goal.WorstPlan, 1e-9, inf},
	}
	for i, m := range s.Machines {
		under := fmt.Sprintf("machine[%d].", i)
		fs = append(fs, []figure{{under + "share", m.Share, 0, inf}, {under + "cores", float64(m.Cores), 1, 1024},
			{under + "slots_per_core", m.SlotsPerCore, 0.01, inf}, {under + "queue_per_core", m.QueuePerCore, 0, inf},
			{under + "thrash", m.Thrash, 0, 0.99}, {under + "cold_from", m.ColdFrom, 0.001, 1}, {under + "cold_s", m.ColdS, 0, inf},
			{under + "conns_per_core", m.ConnsPerCore, 0.1, inf}, {under + "handshake_ms", m.HandshakeMs, 0, inf},
			{under + "error_rate", m.ErrorRate, 0, 1}}...)
	}
	for i, p := range s.Classes {
		under := fmt.Sprintf("profile[%d].", i)
		fs = append(fs, []figure{{under + "share", p.Share, 0, inf}, {under + "cv", p.Cv, 0, 20}, {under + "noise", p.Noise, 0, 5},
			{under + "gain", p.Gain, 0, inf}, {under + "late_value", p.LateValue, 0, 1}, {under + "outer_ms", p.OuterMs, 0, 600e3}}...)
	}
	for i, p := range s.Plans {
		under := fmt.Sprintf("plan[%d].", i)
		fs = append(fs, []figure{{under + "share", p.Share, 0, inf}, {under + "price", p.Price, 0, inf}, {under + "over_cost", p.OverCost, 0, inf},
			{under + "at_once", float64(p.AtOnce), 0, inf}, {under + "ceiling_per_s", p.CeilingPerS, 0, inf},
			{under + "ceiling_slack", p.CeilingSlack, 0, inf}, {under + "spread", float64(p.Spread), 1, mostDoors}}...)
	}
	return fs
}

func (s Span) check(key string, positive bool) error {
	if len(s) < 1 || len(s) > 2 {
		return fault(key, "%d figures, a span has one or two", len(s))
	}
	if !(s.Low() >= 0 && s.Low() <= s.High() && s.High() < math.MaxFloat64) || positive && s.Low() == 0 {
		return fault(key, "%v is no span", []float64(s))
	}
	return nil
}

func fault(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

func oneOf(key, word string, words ...string) error {
	for _, w := range words {
		if w == word {
			return nil
		}
	}
	return fault(key, "unknown word %q, one of %s is wanted", word, strings.Join(words, ", "))
}
