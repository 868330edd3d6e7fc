// Package config reads and checks the configuration of doors and coordinators and fills in defaults. Errors name the
// invalid key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/registry"
)

// Door is the complete configuration of a front door.
type Door struct {
	Name, Listen, Discovery string
	Counter                 string // address of the shared counter; empty for none
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   registry.List
	Settings                Settings
	Watch                   *gate.Terms // alternative terms whose decisions are compared with the actual ones; nil for none
	Pace                    Pace
	Log                     Log
	Fleet                   *Fleet   // nil if the door belongs to no fleet
	Warnings                []string // warnings: unknown keys, and values that are valid but questionable
}

// Limits on the delay before a door notices a change that discovery has published. In the worst case a silent watch is detected
// after Silence, the first call after it fails and the second one succeeds. Each of the two takes at most ConnectTimeout to
// connect, FirstByte until the next call is made and the longest pause after it. The sum must not exceed MaxDiscoveryDelay. A call
// that has not been answered by then stays outstanding beside the next: a discovery that needs longer is heard as well.
const (
	MaxRedialFactor     = 5   // the pause between failed calls doubles up to this multiple of Redial
	MaxDiscoveryDelay   = 6e3 // ms after which the door is expected to know a published change
	DiscoveryAnswerTime = 2e3 // ms; the longest time in which discovery answers a call, from BENCH.md (timeout_ms)
	maxFirstByte        = 1e3 // ms
	minFirstByte        = 100 // ms
)

// The state of customers may take up this share (1/16) of the memory limit.
const (
	customersShare = 16
	customerMemory = 400 // bytes of the state of one customer, with its index
)

// discoveryDelay returns the worst-case delay before a published change is noticed, in ms.
func (p *Pace) discoveryDelay(connectTimeout float64) float64 {
	return p.Silence + 2*(connectTimeout+p.FirstByte+MaxRedialFactor*p.Redial)
}

// Pace holds the timeouts and intervals of the driver, in ms. The key "pace" overrides the defaults.
type Pace struct {
	SlowInput    float64 `json:"slow_input_ms"`   // timeout for reading or writing one message
	IdleClient   float64 `json:"idle_client_ms"`  // client connections without a request for longer are closed
	IdleBackend  float64 `json:"idle_backend_ms"` // backend connections that are idle for longer are closed
	Settle       float64 `json:"settle_ms"`       // pause after a response before a backend connection is reused
	Silence      float64 `json:"silence_ms"`      // a watch that receives nothing for longer is redialled
	FirstByte    float64 `json:"first_word_ms"`   // a call of discovery that has not been answered within this time is repeated
	CounterStall float64 `json:"dead_counter_ms"` // a counter connection with a reply outstanding for longer is closed
	Redial       float64 `json:"redial_ms"`       // pause between failed dials of the counter, and the initial one for discovery
	Linger       float64 `json:"linger_ms"`       // new connections are accepted for this long after the signal to terminate
}

// Log configures logging. Single requests are logged at the level debug only.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// Log formats.
const (
	LogText = "text"
	LogJSON = "json"
)

// Check returns an error that joins one error per invalid key, or nil.
func (l Log) Check() error {
	var errs []error
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		errs = append(errs, keyErrorf("log.level", "%q: must be debug, info, warn or error", l.Level))
	}
	if l.Format != LogText && l.Format != LogJSON {
		errs = append(errs, keyErrorf("log.format", "%q: must be text or json", l.Format))
	}
	return errors.Join(errs...)
}

// file mirrors the configuration file.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Counter   string `json:"counter"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Watch    json.RawMessage `json:"watch"`
	Pace     Pace            `json:"pace"`
	Log      Log             `json:"log"`
	Fleet    *Fleet          `json:"fleet"`
}

// Reload reads the configuration file again after it has been replaced. It ignores GW_DISCOVERY, because the environment is
// older than the file.
func Reload(getenv func(string) string) (Door, error) {
	return Load(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY override its keys.
func Load(getenv func(string) string) (Door, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Door{}, &FileError{}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Door{}, &FileError{path, err}
	}
	return Read(raw, getenv)
}

// SplitErrors splits an error of Load, Read or Reload into one error per invalid key.
func SplitErrors(err error) []error {
	var joined interface{ Unwrap() []error }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &joined):
		var all []error
		for _, e := range joined.Unwrap() {
			all = append(all, SplitErrors(e)...)
		}
		return all
	}
	return []error{err}
}

// Read decodes and checks a configuration. The returned error joins one error per invalid key.
func Read(raw []byte, getenv func(string) string) (Door, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Door{}, decodeError("", err)
	}
	for name, into := range map[string]*string{"GW_NAME": &f.Name, "GW_LISTEN": &f.Listen, "GW_DISCOVERY": &f.Discovery} {
		if v := getenv(name); v != "" {
			*into = v
		}
	}
	d := Door{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Pace: f.Pace, Log: f.Log, Fleet: f.Fleet, Warnings: unknownKeys(raw)}
	var errs []error
	for _, a := range []struct {
		key, value string
		optional   bool
	}{{"listen", d.Listen, false}, {"discovery", d.Discovery, false}, {"counter", d.Counter, true}} {
		if _, port, err := net.SplitHostPort(a.value); (err != nil || port == "") && !(a.optional && a.value == "") {
			errs = append(errs, keyErrorf(a.key, "%q is not an address with a port", a.value))
		}
	}
	var err error
	if f.Seed != "" {
		if d.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			errs = append(errs, keyErrorf("seed", "%q is not a 64-bit hexadecimal number", f.Seed))
		}
	}
	if len(f.Known) > 0 {
		if d.Known, err = registry.ReadList(f.Known); err != nil {
			errs = append(errs, &KeyError{Key: "known", Cause: err})
		}
	}
	d.setLogDefaults()
	errs = append(errs, d.Log.Check())
	if d.Fleet != nil {
		errs = append(errs, d.Fleet.check(d.Name)...)
	}
	if len(f.Settings) == 0 {
		errs = append(errs, keyErrorf("settings", "missing"))
	} else if d.Settings, err = ReadSettings(f.Settings); err != nil {
		errs = append(errs, err)
	} else {
		errs = append(errs, d.check()...)
		errs = append(errs, d.readWatch(f.Watch)...)
	}
	if err := errors.Join(errs...); err != nil {
		return Door{Warnings: d.Warnings}, err
	}
	d.setDefaults()
	d.Settings.Terms.MaxCustomers = d.MemoryMB << 20 / (customersShare * customerMemory)
	if sum := d.Pace.discoveryDelay(d.Settings.ConnectTimeout); sum > MaxDiscoveryDelay {
		d.Warnings = append(d.Warnings, fmt.Sprintf("key \"pace.silence_ms\": together with connect_timeout, pace.first_word_ms and pace.redial_ms it allows a change of the fleet list to go unnoticed for %.0f ms; the limit is %.0f ms", sum, MaxDiscoveryDelay))
	}
	return d, nil
}

// unknownKeys lists the unknown keys of a configuration. Keys of the settings are not checked, because the platform defines
// them and may add some.
func unknownKeys(raw []byte) []string {
	var tree map[string]json.RawMessage
	if json.Unmarshal(raw, &tree) != nil {
		return nil
	}
	var unknown []string
	collect := func(under string, of map[string]json.RawMessage, into any) {
		known := map[string]bool{}
		for t, i := reflect.TypeOf(into), 0; i < t.NumField(); i++ {
			known[t.Field(i).Tag.Get("json")] = true
		}
		for key := range of {
			if !known[key] {
				unknown = append(unknown, fmt.Sprintf("key %q: unknown, ignored", under+key))
			}
		}
	}
	collect("", tree, file{})
	for under, into := range map[string]any{"limits": file{}.Limits, "pace": Pace{}, "log": Log{}, "fleet": Fleet{}} {
		var inner map[string]json.RawMessage
		if json.Unmarshal(tree[under], &inner) == nil {
			collect(under+".", inner, into)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// check verifies what serving needs beyond what ReadSettings requires.
func (d *Door) check() (errs []error) {
	t := &d.Settings.Terms
	fail := func(key, format string, args ...any) { errs = append(errs, keyErrorf(key, format, args...)) }
	if t.Doors < 1 {
		fail("settings.fleet_size", "%d: must be at least 1", t.Doors)
	} else if t.DoorNumber < 0 || t.DoorNumber >= t.Doors {
		fail("settings.my_number", "%d: out of range for %d doors", t.DoorNumber, t.Doors)
	}
	errs = append(errs, termErrors("settings", t)...)
	if t.Counter && d.Counter == "" {
		fail("counter", "missing, but settings.extra.counter is true")
	}
	return append(errs, negativeErrors([]keyValue{{"limits.cores", d.Cores}, {"limits.memory_mb", float64(d.MemoryMB)}, {"limits.sockets", float64(d.Sockets)},
		{"pace.slow_input_ms", d.Pace.SlowInput}, {"pace.idle_client_ms", d.Pace.IdleClient}, {"pace.idle_backend_ms", d.Pace.IdleBackend},
		{"pace.settle_ms", d.Pace.Settle}, {"pace.silence_ms", d.Pace.Silence}, {"pace.first_word_ms", d.Pace.FirstByte}, {"pace.dead_counter_ms", d.Pace.CounterStall},
		{"pace.redial_ms", d.Pace.Redial}, {"pace.linger_ms", d.Pace.Linger},
		{"settings.limits.conn_idle", d.Settings.ConnIdle}, {"settings.limits.connect_timeout", d.Settings.ConnectTimeout},
		{"settings.extra.counter_timeout", d.Settings.CounterTimeout}, {"settings.extra.units_top", d.Settings.MaxUnits}})...)
}

// readWatch reads the alternative settings. They must name the same classes and plans in the same order, because one
// request is decided under both.
func (d *Door) readWatch(raw json.RawMessage) (errs []error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	other, err := readSettings("watch", raw)
	if err != nil {
		return []error{err}
	}
	for _, n := range []struct {
		of            string
		present, next map[string]int
	}{{"profiles", d.Settings.Classes, other.Classes}, {"tariffs", d.Settings.Plans, other.Plans}} {
		if !maps.Equal(n.present, n.next) {
			errs = append(errs, keyErrorf("watch."+n.of, "names differ from those in settings.%s, or are in another order", n.of))
		}
	}
	d.Watch = &other.Terms
	return append(errs, termErrors("watch", d.Watch)...)
}

// termErrors verifies the classes, plans and limits of the actual or the alternative terms.
func termErrors(under string, t *gate.Terms) (errs []error) {
	fail := func(key, format string, args ...any) {
		errs = append(errs, keyErrorf(under+"."+key, format, args...))
	}
	if len(t.Classes) == 0 {
		fail("profiles", "none")
	}
	if len(t.Plans) == 0 {
		fail("tariffs", "none")
	}
	if t.MaxAttempts < 1 {
		fail("limits.max_attempts", "%d", t.MaxAttempts)
	}
	for i, p := range t.Classes {
		at := fmt.Sprintf("profiles[%d].", i)
		if p.Contract <= 0 {
			fail(at+"aim", "%g", p.Contract/msPerSecond)
		}
		if p.Gain < 0 {
			fail(at+"worth", "below 0")
		}
		if p.Semantics == gate.Keyed && p.DedupWindow <= 0 {
			fail(at+"window", "%g: must be above 0 for a deduplicated class", p.DedupWindow/msPerSecond)
		}
	}
	for i, p := range t.Plans {
		at := fmt.Sprintf("tariffs[%d].", i)
		if p.Rate > 0 && p.Depth <= 0 {
			fail(at+"depth", "%g: must be above 0 if there is a rate", p.Depth)
		}
		at = under + "." + at
		errs = append(errs, negativeErrors([]keyValue{{at + "rate", p.Rate}, {at + "depth", p.Depth}, {at + "never_over_rate", p.CeilingRate},
			{at + "ceiling_burst", p.CeilingDepth}, {at + "beyond_earns", p.OverQuotaGain}, {at + "over_cost", p.OverQuotaCost},
			{at + "pays", p.Price}})...)
	}
	return errs
}

// keyValue is a numeric value with the key it comes from.
type keyValue struct {
	key   string
	value float64
}

// negativeErrors returns an error for each value below 0.
func negativeErrors(values []keyValue) (errs []error) {
	for _, f := range values {
		if f.value < 0 {
			errs = append(errs, keyErrorf(f.key, "below 0"))
		}
	}
	return errs
}

func (d *Door) setLogDefaults() {
	if d.Log.Level == "" {
		d.Log.Level = "info"
	}
	if d.Log.Format == "" {
		d.Log.Format = LogText
	}
}

// orDefault returns v, or the default if v is 0.
func orDefault[T int | float64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// setDefaults fills in the values that the configuration leaves at 0.
func (d *Door) setDefaults() {
	d.Cores, d.Sockets = orDefault(d.Cores, 1), orDefault(d.Sockets, 1024)
	l, p := &d.Settings, &d.Pace
	l.ConnectTimeout = orDefault(l.ConnectTimeout, 250)
	l.CounterTimeout = orDefault(l.CounterTimeout, 100)
	l.MaxWait = orDefault(l.MaxWait, 10e3)
	p.SlowInput = orDefault(p.SlowInput, 2400) // clients write a request in one go; with the check interval for idle connections the total stays below 3 s
	p.IdleClient = orDefault(p.IdleClient, 2200)
	p.IdleBackend = orDefault(p.IdleBackend, orDefault(l.ConnIdle, 10e3)/2)
	p.Settle = orDefault(p.Settle, 20)    // a surplus response arrives a few ms after the first
	p.Silence = orDefault(p.Silence, 3e3) // a watch sends something every 2 s
	p.CounterStall = orDefault(p.CounterStall, 10*l.CounterTimeout)
	p.Redial = orDefault(p.Redial, 100)
	p.FirstByte = orDefault(p.FirstByte, max(minFirstByte, min(maxFirstByte, (MaxDiscoveryDelay-p.Silence)/2-l.ConnectTimeout-MaxRedialFactor*p.Redial)))
	p.Linger = orDefault(p.Linger, 700) // new connections arrive for up to 0.4 s, with a margin of 0.3 s
}
