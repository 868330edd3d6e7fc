// Package config is the one place where a door's configuration is read, checked and given defaults.
// Errors name the faulty key.
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

// Door is all that a front door is told before it starts.
type Door struct {
	Name, Listen, Discovery string
	Counter                 string // empty where there is none
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   registry.List
	Settings                Settings
	Watch                   *gate.Terms // terms of another shape that decisions are compared with; nil where there is no watch
	Pace                    Pace
	Log                     Log
	Fleet                   *Fleet   // nil where the door goes by itself
	Warnings                []string // keys that nothing reads, each with a word on it
}

// One rule bounds how late a door hears what discovery could have told it, whatever came before: a watch that falls silent
// is noticed after Silence, and then a call may fail and the next one must be answered, each after ConnectTimeout at most
// for its connection, FirstWord for its first byte, and the longest pause behind it. The sum stays within toldWithin.
const (
	MaxRedialFactor = 5   // times Redial, up to which the pause between failed calls doubles
	toldWithin      = 6e3 // ms after which what discovery has told counts as known
	firstWordMost   = 1e3 // an agent answers at once; over that it is down, and the next dial may find it back
	firstWordLeast  = 100 // less would give up an answer that is on its way
)

// told is that sum, ms.
func (p *Pace) told(connectTimeout float64) float64 {
	return p.Silence + 2*(connectTimeout+p.FirstByte+MaxRedialFactor*p.Redial)
}

// Pace holds the carrier's own times, ms. The key "pace" overrides the defaults.
type Pace struct {
	SlowInput    float64 `json:"slow_input_ms"`   // a message that takes longer to arrive or leave is given up
	IdleClient   float64 `json:"idle_client_ms"`  // a client connection with no request for longer is closed
	IdleBackend  float64 `json:"idle_backend_ms"` // a backend connection idle for longer is closed
	Settle       float64 `json:"settle_ms"`       // a backend connection carries nothing for so long after an answer
	Silence      float64 `json:"silence_ms"`      // a watch silent for longer is dialled again
	FirstByte    float64 `json:"first_word_ms"`   // and so is one that has not begun to answer for longer
	CounterStall float64 `json:"dead_counter_ms"` // a counter connection that owes an answer for longer is closed
	Redial       float64 `json:"redial_ms"`       // rest between failed dials of the counter, and the first between those of discovery
	Linger       float64 `json:"linger_ms"`       // new connections are served for this long after the call to stop
}

// Log is how the door logs. It never logs single requests.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// Formats of the log.
const (
	LogText = "text"
	LogJSON = "json"
)

// Check tells what is wrong with the keys.
func (l Log) Check() error {
	var faults []error
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, l.Level) {
		faults = append(faults, keyFault("log.level", "%q, one of debug, info, warn, error is wanted", l.Level))
	}
	if l.Format != LogText && l.Format != LogJSON {
		faults = append(faults, keyFault("log.format", "%q, text or json is wanted", l.Format))
	}
	return errors.Join(faults...)
}

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

// Again reads a file that has been replaced. Its discovery counts, as the environment is older than it.
func Again(getenv func(string) string) (Door, error) {
	return Load(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Load reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN and GW_DISCOVERY win over it.
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

// SplitErrors takes apart what Load, Read or Again say is wrong: one fault for each key.
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

// Read decodes and checks a configuration. Its error joins all that is wrong, key by key.
func Read(raw []byte, getenv func(string) string) (Door, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Door{}, decodeFault("", err)
	}
	for name, into := range map[string]*string{"GW_NAME": &f.Name, "GW_LISTEN": &f.Listen, "GW_DISCOVERY": &f.Discovery} {
		if v := getenv(name); v != "" {
			*into = v
		}
	}
	d := Door{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Pace: f.Pace, Log: f.Log, Fleet: f.Fleet, Warnings: oddKeys(raw)}
	var faults []error
	for _, a := range []struct {
		key, value string
		may        bool
	}{{"listen", d.Listen, false}, {"discovery", d.Discovery, false}, {"counter", d.Counter, true}} {
		if _, port, err := net.SplitHostPort(a.value); (err != nil || port == "") && !(a.may && a.value == "") {
			faults = append(faults, keyFault(a.key, "%q is not an address with a port", a.value))
		}
	}
	var err error
	if f.Seed != "" {
		if d.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			faults = append(faults, keyFault("seed", "%q is not a hexadecimal number of 64 bits", f.Seed))
		}
	}
	if len(f.Known) > 0 {
		if d.Known, err = registry.ReadList(f.Known); err != nil {
			faults = append(faults, &KeyError{Key: "known", Cause: err})
		}
	}
	d.logDefaults()
	faults = append(faults, d.Log.Check())
	if d.Fleet != nil {
		faults = append(faults, d.Fleet.check(d.Name)...)
	}
	if len(f.Settings) == 0 {
		faults = append(faults, keyFault("settings", "missing"))
	} else if d.Settings, err = ReadSettings(f.Settings); err != nil {
		faults = append(faults, err)
	} else {
		faults = append(faults, d.check()...)
		faults = append(faults, d.watch(f.Watch)...)
	}
	if err := errors.Join(faults...); err != nil {
		return Door{Warnings: d.Warnings}, err
	}
	d.defaults()
	if sum := d.Pace.told(d.Settings.ConnectTimeout); sum > toldWithin {
		d.Warnings = append(d.Warnings, fmt.Sprintf("key \"pace.silence_ms\": with connect_timeout, pace.first_word_ms and pace.redial_ms a change of the fleet list may be heard %.0f ms late, and counts as told after %.0f", sum, toldWithin))
	}
	return d, nil
}

// oddKeys names the keys that nothing reads. Those of the settings are the platform's, which may add some.
func oddKeys(raw []byte) []string {
	var tree map[string]json.RawMessage
	if json.Unmarshal(raw, &tree) != nil {
		return nil
	}
	var odd []string
	look := func(under string, of map[string]json.RawMessage, into any) {
		known := map[string]bool{}
		for t, i := reflect.TypeOf(into), 0; i < t.NumField(); i++ {
			known[t.Field(i).Tag.Get("json")] = true
		}
		for key := range of {
			if !known[key] {
				odd = append(odd, fmt.Sprintf("key %q: nothing reads it", under+key))
			}
		}
	}
	look("", tree, file{})
	for under, into := range map[string]any{"limits": file{}.Limits, "pace": Pace{}, "log": Log{}, "fleet": Fleet{}} {
		var inner map[string]json.RawMessage
		if json.Unmarshal(tree[under], &inner) == nil {
			look(under+".", inner, into)
		}
	}
	slices.Sort(odd)
	return odd
}

// check holds what serving needs, over what the simulator's first message must have.
func (d *Door) check() (faults []error) {
	t := &d.Settings.Terms
	fault := func(key, format string, args ...any) { faults = append(faults, keyFault(key, format, args...)) }
	if t.Doors < 1 {
		fault("settings.fleet_size", "%d doors", t.Doors)
	} else if t.DoorNumber < 0 || t.DoorNumber >= t.Doors {
		fault("settings.my_number", "%d of %d doors", t.DoorNumber, t.Doors)
	}
	faults = append(faults, termFaults("settings", t)...)
	if t.Counter && d.Counter == "" {
		fault("counter", "missing, though settings.extra.counter is true")
	}
	return append(faults, below0([]figure{{"limits.cores", d.Cores}, {"limits.memory_mb", float64(d.MemoryMB)}, {"limits.sockets", float64(d.Sockets)},
		{"pace.slow_input_ms", d.Pace.SlowInput}, {"pace.idle_client_ms", d.Pace.IdleClient}, {"pace.idle_backend_ms", d.Pace.IdleBackend},
		{"pace.settle_ms", d.Pace.Settle}, {"pace.silence_ms", d.Pace.Silence}, {"pace.first_word_ms", d.Pace.FirstByte}, {"pace.dead_counter_ms", d.Pace.CounterStall},
		{"pace.redial_ms", d.Pace.Redial}, {"pace.linger_ms", d.Pace.Linger},
		{"settings.limits.conn_idle", d.Settings.ConnIdle}, {"settings.limits.connect_timeout", d.Settings.ConnectTimeout},
		{"settings.extra.counter_timeout", d.Settings.CounterTimeout}, {"settings.extra.units_top", d.Settings.MaxUnits}})...)
}

// watch reads the settings of another shape. They must name the same classes and plans in the same order, as an
// request is one and the same under both.
func (d *Door) watch(raw json.RawMessage) (faults []error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	other, err := readDeal("watch", raw)
	if err != nil {
		return []error{err}
	}
	for _, n := range []struct {
		of            string
		present, next map[string]int
	}{{"profiles", d.Settings.Classes, other.Classes}, {"tariffs", d.Settings.Plans, other.Plans}} {
		if !maps.Equal(n.present, n.next) {
			faults = append(faults, keyFault("watch."+n.of, "other names than settings.%s has, or in another order", n.of))
		}
	}
	d.Watch = &other.Terms
	return append(faults, termFaults("watch", d.Watch)...)
}

// termFaults holds what decisions need of classes, plans and limits, whether they go by them or are compared.
func termFaults(under string, t *gate.Terms) (faults []error) {
	fault := func(key, format string, args ...any) {
		faults = append(faults, keyFault(under+"."+key, format, args...))
	}
	if len(t.Classes) == 0 {
		fault("profiles", "none")
	}
	if len(t.Plans) == 0 {
		fault("tariffs", "none")
	}
	if t.MaxAttempts < 1 {
		fault("limits.max_attempts", "%d", t.MaxAttempts)
	}
	for i, p := range t.Classes {
		at := fmt.Sprintf("profiles[%d].", i)
		if p.Contract <= 0 {
			fault(at+"aim", "%g", p.Contract/msPerSecond)
		}
		if p.Gain < 0 {
			fault(at+"worth", "below 0")
		}
		if p.Semantics == gate.Keyed && p.DedupWindow <= 0 {
			fault(at+"window", "%g, though the class is deduplicated", p.DedupWindow/msPerSecond)
		}
	}
	for i, p := range t.Plans {
		at := fmt.Sprintf("tariffs[%d].", i)
		if p.Rate > 0 && p.Depth <= 0 {
			fault(at+"depth", "%g, though there is a rate", p.Depth)
		}
		at = under + "." + at
		faults = append(faults, below0([]figure{{at + "rate", p.Rate}, {at + "depth", p.Depth}, {at + "never_over_rate", p.CeilingRate},
			{at + "ceiling_burst", p.CeilingDepth}, {at + "beyond_earns", p.OverQuotaGain}, {at + "over_cost", p.OverQuotaCost},
			{at + "pays", p.Price}})...)
	}
	return faults
}

type figure struct {
	key   string
	value float64
}

// below0 names the figures that are below 0.
func below0(figures []figure) (faults []error) {
	for _, f := range figures {
		if f.value < 0 {
			faults = append(faults, keyFault(f.key, "below 0"))
		}
	}
	return faults
}

func (d *Door) logDefaults() {
	if d.Log.Level == "" {
		d.Log.Level = "info"
	}
	if d.Log.Format == "" {
		d.Log.Format = LogText
	}
}

// or returns v, or the default where v is not told.
func or[T int | float64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

func (d *Door) defaults() {
	d.Cores, d.Sockets = or(d.Cores, 1), or(d.Sockets, 1024)
	l, p := &d.Settings, &d.Pace
	l.ConnectTimeout = or(l.ConnectTimeout, 250)
	l.CounterTimeout = or(l.CounterTimeout, 100)
	l.MaxWait = or(l.MaxWait, 10e3)
	p.SlowInput = or(p.SlowInput, 2400) // clients write in one go; with a look at idle ones it stays under 3 s
	p.IdleClient = or(p.IdleClient, 2200)
	p.IdleBackend = or(p.IdleBackend, or(l.ConnIdle, 10e3)/2)
	p.Settle = or(p.Settle, 20)    // a second answer comes some milliseconds behind the first
	p.Silence = or(p.Silence, 3e3) // a watch says something every 2 s
	p.CounterStall = or(p.CounterStall, 10*l.CounterTimeout)
	p.Redial = or(p.Redial, 100)
	p.FirstByte = or(p.FirstByte, max(firstWordLeast, min(firstWordMost, (toldWithin-p.Silence)/2-l.ConnectTimeout-MaxRedialFactor*p.Redial)))
	p.Linger = or(p.Linger, 700) // clients come for up to 0.4 s, and may for 0.3 s more
}
