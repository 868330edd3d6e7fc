// Package scenario defines the laboratory's scenario files: the simulated system, its load and its faults, in TOML. Read rejects
// unknown keys, impossible values and conflicting faults, and names the key.
//
// Keys carry their unit: _ms, _s, per_s. A span is one or two numbers, a range from which each run draws a value.
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

// Span is a range from which a run draws; a single number is a fixed value.
type Span []float64

func (s Span) Low() float64  { return s[0] }
func (s Span) High() float64 { return s[len(s)-1] }

// At returns the value at a position in the span, from 0 for its low end to 1 for its high end.
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

// Day sets the length of a run, which is how long requests arrive, and how often a door handles the events that have arrived.
type Day struct {
	Seconds float64 `toml:"seconds"`
	TickMs  float64 `toml:"tick_ms"` // interval at which a door handles its events
}

// Fleet sets the size of the system.
type Fleet struct {
	Doors    int `toml:"doors"`
	Backends int `toml:"backends"`
	Zones    int `toml:"zones"`
	CellSize int `toml:"cell_size"` // number of backends in a cell

	MembersMs float64 `toml:"members_ms"` // delay until every door knows that another door has come or gone; 0 for never
}

// Machine is a type of backend.
type Machine struct {
	Name         string  `toml:"name"`  // type name
	Share        float64 `toml:"share"` // weight of this type among the backends
	Cores        int     `toml:"cores"`
	Speed        Span    `toml:"speed"`          // ms of work that a core does per ms
	SlotsPerCore float64 `toml:"slots_per_core"` // requests in progress at once
	QueuePerCore float64 `toml:"queue_per_core"` // queued requests; further ones are rejected
	Thrash       float64 `toml:"thrash"`         // share of the speed lost when all slots and the queue are full
	ColdFrom     float64 `toml:"cold_from"`      // share of its capacity right after a start
	ColdS        float64 `toml:"cold_s"`         // warm-up time
	ConnsPerCore float64 `toml:"conns_per_core"` // open connections; further ones are refused
	HandshakeMs  float64 `toml:"handshake_ms"`   // work for a new connection
	ErrorRate    float64 `toml:"error_rate"`     // probability of an error answer
	GoesOn       bool    `toml:"goes_on"`        // work continues after the door has disconnected
}

// Net describes the network; delays are one-way.
type Net struct {
	SameMs           Span    `toml:"same_ms"`            // within a zone
	CrossMs          Span    `toml:"cross_ms"`           // between zones
	ClientMs         Span    `toml:"client_ms"`          // between clients and doors
	Jitter           float64 `toml:"jitter"`             // relative variation of a delay
	Loss             float64 `toml:"loss"`               // probability that an answer is lost
	ConnectTimeoutMs float64 `toml:"connect_timeout_ms"` // time until a connection attempt is given up
	IdleMs           float64 `toml:"idle_ms"`            // idle connections are closed after this time
}

// Load is the load that clients offer. PerSecond takes precedence over Share.
type Load struct {
	Share       float64 `toml:"share"`         // load within the quotas, as a share of the backends' capacity
	PerSecond   float64 `toml:"per_s"`         // new requests per second, without retries
	Shape       string  `toml:"shape"`         // steady, wave, ramp or bursts
	Swing       float64 `toml:"swing"`         // amplitude of the shape, as a share of the load
	PerCustomer float64 `toml:"per_customer"`  // a customer's mean use as a share of its rate
	Full        float64 `toml:"full"`          // share of the customers that use nearly all of their rate
	Heavy       float64 `toml:"heavy"`         // share of the customers that exceed their rate for the whole run
	HeavyTimes  float64 `toml:"heavy_times"`   // load of a heavy customer, in multiples of its rate
	Spiky       float64 `toml:"spiky"`         // share of the customers that come in sessions
	SpikeTimes  float64 `toml:"spike_times"`   // load during a session, in multiples of the rate
	SpikeS      Span    `toml:"spike_s"`       // length of a session
	SpikeEveryS Span    `toml:"spike_every_s"` // time between sessions
	Skew        float64 `toml:"skew"`          // how unevenly a customer's requests spread over its doors; 0 for evenly
	ShiftS      Span    `toml:"shift_s"`       // how often that distribution changes
	MostUnits   int     `toml:"most_units"`    // largest request, units
}

// Class is a class of requests.
type Class struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`       // weight of this class among the requests
	WorkMs     float64 `toml:"work_ms"`     // mean work, ms of one core at speed 1
	Cv         float64 `toml:"cv"`          // coefficient of variation of the work; 0 for an exponential distribution
	Noise      float64 `toml:"noise"`       // variation of an attempt's work around that of its request
	ContractMs float64 `toml:"contract_ms"` // contract time: an answer within it earns the full gain
	OuterMs    float64 `toml:"outer_ms"`    // the client's deadline
	Gain       float64 `toml:"gain"`        // gain per unit
	LateValue  float64 `toml:"late_value"`  // share of the gain that an answer after the contract time earns
	Semantics  string  `toml:"semantics"`   // replayable, tokened or single-use
	Scope      string  `toml:"scope"`       // all, zone or cell
	WindowMs   float64 `toml:"window_ms"`   // how long the key of a tokened request is remembered
}

// Plan is what a customer pays for. Quotas apply to all doors together.
type Plan struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"`         // of the load within the quotas
	PerS         float64 `toml:"per_s"`         // quota, units per second
	Depth        float64 `toml:"depth"`         // depth of the quota's token bucket, units
	AtOnce       int     `toml:"at_once"`       // limit of concurrent attempts; 0 for none
	CeilingPerS  float64 `toml:"ceiling_per_s"` // hard limit, units per second; 0 for none
	CeilingDepth float64 `toml:"ceiling_depth"` // depth of the ceiling's token bucket, units
	CeilingSlack float64 `toml:"ceiling_slack"` // units by which a burst may exceed the ceiling
	Price        float64 `toml:"price"`         // weight of the gain of its requests
	OverCost     float64 `toml:"over_cost"`     // cost of a request sent beyond the quota, as a share of its gain
	Spread       int     `toml:"spread"`        // number of doors that a customer uses
}

// Clients describes how clients retry and give up.
type Clients struct {
	Retries         int     `toml:"retries"`            // maximum per request
	TryShare        float64 `toml:"try_share"`          // timeout of a try, as a share of the request's deadline
	Wait            string  `toml:"wait"`               // backoff: none, fixed or doubling
	WaitMs          float64 `toml:"wait_ms"`            // backoff time
	Honour          float64 `toml:"honour"`             // share of the clients that follow a Retry-After
	MaxRetryAfterMs float64 `toml:"max_retry_after_ms"` // longest Retry-After that clients follow
	Marks           bool    `toml:"marks"`              // retries are marked as such
	Impatient       float64 `toml:"impatient"`          // share of the tries that the client abandons early
	Elsewhere       float64 `toml:"elsewhere"`          // probability that a retry goes to another door
	NoticeMs        float64 `toml:"notice_ms"`          // delay until clients notice that a door has died
}

// Discovery describes how the doors receive the fleet list.
type Discovery struct {
	Ask      bool `toml:"ask"`       // doors must subscribe to changes
	DelayMs  Span `toml:"delay_ms"`  // delay of a change
	NoticeMs Span `toml:"notice_ms"` // delay until a dead backend is noticed
	SilentMs Span `toml:"silent_ms"` // delay until an unreachable backend is noticed
}

// Counter is the shared quota counter.
type Counter struct {
	On        bool    `toml:"on"`
	PerS      float64 `toml:"per_s"`      // calls per second that it can serve
	Parts     int     `toml:"parts"`      // number of independent parts
	ServeMs   float64 `toml:"serve_ms"`   // time to serve a call
	QueueMs   float64 `toml:"queue_ms"`   // longest wait in its queue; calls that would wait longer are rejected
	TimeoutMs float64 `toml:"timeout_ms"` // timeout of a call
}

// Meter reports in answers how much of its quota a customer has used.
type Meter struct {
	PeriodMs float64 `toml:"period_ms"` // length of a reporting period; 0 for no meter
	LateMs   float64 `toml:"late_ms"`   // delay of a report
}

// Allow restricts what the policy may do.
type Allow struct {
	Probes      bool    `toml:"probes"`            // probes of backends
	ProbeMs     float64 `toml:"probe_ms"`          // work of a probe
	Cancel      bool    `toml:"cancel"`            // cancelling attempts
	Hedging     bool    `toml:"second_copies"`     // several attempts of a request at the same time
	MaxAttempts int     `toml:"max_transmissions"` // per request
	RetryAfter  bool    `toml:"retry_after"`       // rejections with a Retry-After
}

// Rules holds the parameters of the five rules of judge.AllRules.
type Rules struct {
	AnswerSlackMs float64 `toml:"answer_slack_ms"` // tolerated delay of an answer beyond the deadline
	DrainGraceMs  float64 `toml:"drain_grace_ms"`  // after a door is notified of a drain, how long it may still send
	FallMultiple  float64 `toml:"fall_multiple"`   // multiple of its present capacity above which a cold backend is overloaded
	FallMs        float64 `toml:"fall_ms"`         // window over which that load is measured
	ColdFrom      float64 `toml:"cold_from"`       // Machine.ColdFrom as announced to the doors; 0 for the lowest of the machines
	ColdS         float64 `toml:"cold_s"`          // Machine.ColdS as announced to the doors; 0 for the longest of the machines
}

// Goal holds the weights of the parts of G.
type Goal struct {
	Whole       float64 `toml:"whole"`         // gain earned over the whole run
	WorstWindow float64 `toml:"worst_window"`  // gain earned in the worst window
	WorstClass  float64 `toml:"worst_profile"` // gain earned by the worst class
	WorstPlan   float64 `toml:"worst_plan"`    // gain earned by the worst plan
}

// Prices are deducted from G, each multiplied by its share of the requests or of the work.
type Prices struct {
	Counter   float64 `toml:"counter"`   // calls of the shared counter
	Probe     float64 `toml:"probe"`     // probes
	Cross     float64 `toml:"cross"`     // attempts to another zone
	Waste     float64 `toml:"waste"`     // work whose answer nobody received
	Handshake float64 `toml:"handshake"` // new connections
	HeldBack  float64 `toml:"held_back"` // share of the gain, for a try rejected or failed after half of its time without an attempt at a backend
}

// Read decodes a scenario, applies the defaults and validates it.
func Read(raw []byte) (Scenario, error) {
	s := defaults()
	if err := Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	s.applyDefaults()
	if err := s.validate(); err != nil {
		return Scenario{}, err
	}
	return s, nil
}

// Decode decodes TOML and rejects unknown keys; its errors are of type KeyError.
func Decode(raw []byte, into any) error {
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(into); err != nil {
		return decodeError(err)
	}
	return nil
}

// EmbeddedNames lists the files of an embedded directory without their extension.
func EmbeddedNames(files embed.FS, dir string) []string {
	entries, err := files.ReadDir(dir)
	if err != nil {
		panic(err) // can't happen: the directory is embedded
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

// Write encodes a scenario as TOML that Read accepts.
func (s *Scenario) Write() ([]byte, error) {
	raw, err := toml.Marshal(s)
	if err != nil {
		return nil, &FileError{Cause: err}
	}
	return raw, nil
}

// Clone returns a deep copy.
func (s *Scenario) Clone() (Scenario, error) {
	raw, err := s.Write()
	if err != nil {
		return Scenario{}, err
	}
	return Read(raw)
}

// decodeError converts an error of the TOML decoder.
func decodeError(err error) error {
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

// defaults returns the values for keys that a file does not set. Lists have no defaults here.
func defaults() Scenario {
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

// applyDefaults sets the values that list entries leave out, and those that depend on other values.
func (s *Scenario) applyDefaults() {
	if len(s.Faults) == 0 {
		s.Faults = nil
	}
	for i := range s.Machines {
		m := &s.Machines[i]
		m.Share, m.Cores = orDefault(m.Share, 1), orDefault(m.Cores, 2)
		m.SlotsPerCore, m.QueuePerCore = orDefault(m.SlotsPerCore, 4), orDefault(m.QueuePerCore, 20)
		m.ColdFrom, m.ColdS = orDefault(m.ColdFrom, 0.3), orDefault(m.ColdS, 8)
		m.ConnsPerCore = orDefault(m.ConnsPerCore, 500)
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
		p.Share, p.Gain = orDefault(p.Share, 1), orDefault(p.Gain, 1)
		if p.Semantics == "" {
			p.Semantics = "replayable"
		}
		if p.Scope == "" {
			p.Scope = "all"
		}
	}
	for i := range s.Plans {
		p := &s.Plans[i]
		p.Share, p.Price = orDefault(p.Share, 1), orDefault(p.Price, 1)
		p.Spread = min(orDefault(p.Spread, 3), s.Fleet.Doors)
		if p.CeilingPerS > 0 {
			p.CeilingSlack = orDefault(p.CeilingSlack, max(0.1*p.CeilingDepth, float64(s.Load.MostUnits)))
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

// orDefault returns def for a zero value.
func orDefault[T int | float64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Largest supported values; anything larger is probably given in the wrong unit.
const (
	maxDoors    = 1000
	maxBackends = 2000
	maxSeconds  = 24 * 3600
)

// validate checks the values, and the faults last.
func (s *Scenario) validate() error {
	switch {
	case s.Name == "":
		return keyErrorf("name", "missing")
	case s.Fleet.Doors < 1 || s.Fleet.Doors > maxDoors:
		return keyErrorf("fleet.doors", "%d, must be 1 to %d", s.Fleet.Doors, maxDoors)
	case s.Fleet.Backends < 1 || s.Fleet.Backends > maxBackends:
		return keyErrorf("fleet.backends", "%d, must be 1 to %d", s.Fleet.Backends, maxBackends)
	case s.Fleet.Zones < 1:
		return keyErrorf("fleet.zones", "%d", s.Fleet.Zones)
	case s.Fleet.CellSize < 1:
		return keyErrorf("fleet.cell_size", "%d", s.Fleet.CellSize)
	case !(s.Fleet.MembersMs >= 0 && s.Fleet.MembersMs <= 600e3):
		return keyErrorf("fleet.members_ms", "%g, must be 0 to 600e3", s.Fleet.MembersMs)
	case !(s.Day.Seconds > 0 && s.Day.Seconds <= maxSeconds):
		return keyErrorf("day.seconds", "%g, must be above 0 and at most %d", s.Day.Seconds, maxSeconds)
	case !(s.Day.TickMs > 0 && s.Day.TickMs <= 1000):
		return keyErrorf("day.tick_ms", "%g", s.Day.TickMs)
	case len(s.Classes) == 0:
		return keyErrorf("profile", "none")
	case len(s.Plans) == 0:
		return keyErrorf("plan", "none")
	case s.Allow.MaxAttempts < 1:
		return keyErrorf("allow.max_transmissions", "%d", s.Allow.MaxAttempts)
	case s.Counter.On && !(s.Counter.PerS > 0 && s.Counter.Parts > 0 && s.Counter.TimeoutMs > 0):
		return keyErrorf("counter", "per_s, parts and timeout_ms must be above 0")
	case s.Load.MostUnits < 1:
		return keyErrorf("load.most_units", "%d", s.Load.MostUnits)
	case !(s.Load.PerCustomer > 0):
		return keyErrorf("load.per_customer", "%g", s.Load.PerCustomer)
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
	for _, f := range s.boundedValues() {
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
		prefix := fmt.Sprintf("profile[%d].", i)
		if p.Name == "" {
			return keyErrorf(prefix+"name", "missing")
		}
		if err := oneOf(prefix+"semantics", p.Semantics, "replayable", "tokened", "single-use"); err != nil {
			return err
		}
		if err := oneOf(prefix+"scope", p.Scope, "all", "zone", "cell"); err != nil {
			return err
		}
		switch {
		case slices.ContainsFunc(s.Classes[:i], func(q Class) bool { return q.Name == p.Name }):
			return keyErrorf(prefix+"name", "%q is already in use", p.Name)
		case !(p.WorkMs > 0):
			return keyErrorf(prefix+"work_ms", "%g", p.WorkMs)
		case !(p.ContractMs > 0):
			return keyErrorf(prefix+"contract_ms", "%g", p.ContractMs)
		case !(p.OuterMs >= p.ContractMs):
			return keyErrorf(prefix+"outer_ms", "%g, must be at least contract_ms %g", p.OuterMs, p.ContractMs)
		case p.Semantics == "tokened" && !(p.WindowMs > 0):
			return keyErrorf(prefix+"window_ms", "%g, must be above 0 for a tokened profile", p.WindowMs)
		}
	}
	for i, p := range s.Plans {
		prefix := fmt.Sprintf("plan[%d].", i)
		switch {
		case p.Name == "":
			return keyErrorf(prefix+"name", "missing")
		case slices.ContainsFunc(s.Plans[:i], func(q Plan) bool { return q.Name == p.Name }):
			return keyErrorf(prefix+"name", "%q is already in use", p.Name)
		case !(p.PerS > 0):
			return keyErrorf(prefix+"per_s", "%g", p.PerS)
		case !(p.Depth >= float64(s.Load.MostUnits)):
			return keyErrorf(prefix+"depth", "%g, must be at least %d units, the largest operation", p.Depth, s.Load.MostUnits)
		case p.CeilingPerS > 0 && !(p.CeilingDepth >= float64(s.Load.MostUnits)):
			return keyErrorf(prefix+"ceiling_depth", "%g, must be at least the largest operation", p.CeilingDepth)
		}
	}
	return s.validateFaults()
}

// boundedValue is a number with its bounds.
type boundedValue struct {
	key      string
	value    float64
	min, max float64
}

func (f boundedValue) check() error {
	if !(f.value >= f.min && f.value <= f.max) {
		return keyErrorf(f.key, "%g, must be %g to %g", f.value, f.min, f.max)
	}
	return nil
}

// boundedValues returns the numbers that only need to lie within bounds.
func (s *Scenario) boundedValues() []boundedValue {
	inf := math.MaxFloat64
	fs := []boundedValue{
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
		prefix := fmt.Sprintf("machine[%d].", i)
		fs = append(fs, []boundedValue{{prefix + "share", m.Share, 0, inf}, {prefix + "cores", float64(m.Cores), 1, 1024},
			{prefix + "slots_per_core", m.SlotsPerCore, 0.01, inf}, {prefix + "queue_per_core", m.QueuePerCore, 0, inf},
			{prefix + "thrash", m.Thrash, 0, 0.99}, {prefix + "cold_from", m.ColdFrom, 0.001, 1}, {prefix + "cold_s", m.ColdS, 0, inf},
			{prefix + "conns_per_core", m.ConnsPerCore, 0.1, inf}, {prefix + "handshake_ms", m.HandshakeMs, 0, inf},
			{prefix + "error_rate", m.ErrorRate, 0, 1}}...)
	}
	for i, p := range s.Classes {
		prefix := fmt.Sprintf("profile[%d].", i)
		fs = append(fs, []boundedValue{{prefix + "share", p.Share, 0, inf}, {prefix + "cv", p.Cv, 0, 20}, {prefix + "noise", p.Noise, 0, 5},
			{prefix + "gain", p.Gain, 0, inf}, {prefix + "late_value", p.LateValue, 0, 1}, {prefix + "outer_ms", p.OuterMs, 0, 600e3}}...)
	}
	for i, p := range s.Plans {
		prefix := fmt.Sprintf("plan[%d].", i)
		fs = append(fs, []boundedValue{{prefix + "share", p.Share, 0, inf}, {prefix + "price", p.Price, 0, inf}, {prefix + "over_cost", p.OverCost, 0, inf},
			{prefix + "at_once", float64(p.AtOnce), 0, inf}, {prefix + "ceiling_per_s", p.CeilingPerS, 0, inf},
			{prefix + "ceiling_slack", p.CeilingSlack, 0, inf}, {prefix + "spread", float64(p.Spread), 1, maxDoors}}...)
	}
	return fs
}

func (s Span) check(key string, positive bool) error {
	if len(s) < 1 || len(s) > 2 {
		return keyErrorf(key, "%d numbers, a span has one or two", len(s))
	}
	if !(s.Low() >= 0 && s.Low() <= s.High() && s.High() < math.MaxFloat64) || positive && s.Low() == 0 {
		return keyErrorf(key, "%v is not a valid span", []float64(s))
	}
	return nil
}

// keyErrorf returns a KeyError with a formatted reason.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// oneOf returns an error unless the value is among the allowed ones.
func oneOf(key, value string, allowed ...string) error {
	for _, w := range allowed {
		if w == value {
			return nil
		}
	}
	return keyErrorf(key, "unknown value %q, must be one of %s", value, strings.Join(allowed, ", "))
}
