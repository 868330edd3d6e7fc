package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/swifthall/swifthall/gate"
)

const msPerSecond = 1000

// Settings holds the decoded settings: the terms for the decision engine, the indices of classes and plans by name, and the
// values that the driver needs besides.
type Settings struct {
	Terms          gate.Terms
	Classes, Plans map[string]int
	ConnIdle       float64  // ms after which a backend closes an idle connection; 0 if unknown
	ConnectTimeout float64  // ms
	CounterTimeout float64  // of a call to the shared counter, ms
	MaxWait        float64  // upper bound on the time a client waits, ms
	MaxUnits       float64  // upper bound on the units of a request; 0 if unknown
	ReportNames    []string // names of the values in a load report, in order; empty if responses carry none
}

// Names of the one value of a load report that the decisions use, the number of requests waiting at the backend. All other
// values are ignored.
const (
	queueReportName = "backlog"
	queueHeaderName = "queue" // in the X-Pressure header of a response
)

// Queue returns the number of requests waiting at a backend according to its load report, or -1 if the report does not
// contain it. The values are in the order of ReportNames.
func (d *Settings) Queue(row []float64) (float64, error) {
	if len(row) > len(d.ReportNames) {
		return -1, &ReportError{len(row), len(d.ReportNames)}
	}
	if i := slices.Index(d.ReportNames, queueReportName); i >= 0 && i < len(row) && row[i] >= 0 {
		return row[i], nil
	}
	return -1, nil
}

// ReportsQueue reports whether responses may contain the number of requests waiting at the backend.
func (d *Settings) ReportsQueue() bool {
	return slices.Contains(d.ReportNames, queueReportName) || slices.Contains(d.ReportNames, queueHeaderName)
}

var semantics = map[string]gate.Semantics{
	"idempotent": gate.Idempotent, "deduplicated": gate.Keyed, "at_most_once": gate.NonIdempotent,
}

var scopes = map[string]gate.Scope{
	"": gate.ScopeAll, "all": gate.ScopeAll, "zone": gate.ScopeZone, "cell": gate.ScopeCell,
}

// encodedSettings mirrors the settings as they are encoded in JSON. Durations are in s, rates per s.
type encodedSettings struct {
	FleetSize int    `json:"fleet_size"`
	MyNumber  int    `json:"my_number"`
	Registry  string `json:"registry_mode"`
	Classes   []struct {
		Name      string   `json:"name"`
		Aim       float64  `json:"aim"`
		GiveUp    *float64 `json:"give_up"`
		Fraction  *float64 `json:"fraction"`
		Semantics string   `json:"semantics"`
		Scope     string   `json:"dedup_scope"`
		Window    float64  `json:"window"`
		LateValue float64  `json:"late_value"`
		Worth     float64  `json:"worth"`
	} `json:"profiles"`
	Tariffs []struct {
		Name         string  `json:"name"`
		Rate         float64 `json:"rate"`
		Depth        float64 `json:"depth"`
		AtOnce       int     `json:"at_once"`
		CeilingRate  float64 `json:"never_over_rate"`
		CeilingBurst float64 `json:"ceiling_burst"`
		Pays         float64 `json:"pays"`
		BeyondEarns  float64 `json:"beyond_earns"`
		OverCost     float64 `json:"over_cost"`
	} `json:"tariffs"`
	Extra struct {
		Metering       float64 `json:"metering"`
		Counter        bool    `json:"counter"`
		CounterTimeout float64 `json:"counter_timeout"`
		UnitsTop       float64 `json:"units_top"`
	} `json:"extra"`
	Reporting struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"reporting"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnIdle       float64 `json:"conn_idle"`
		ConnectTimeout float64 `json:"connect_timeout"`
		MaxAttempts    int     `json:"max_attempts"`
		MaxRetryAfter  float64 `json:"max_retry_after"`
		RetryAfter     bool    `json:"retry_after"`
		Hedging        bool    `json:"second_copies"`
	} `json:"limits"`
	Safety struct {
		ColdFrom     float64 `json:"cold_from"`
		Cold         float64 `json:"cold"`
		FallMultiple float64 `json:"fall_multiple"`
		TipAfter     float64 `json:"tip_after"`
	} `json:"safety"`
}

// ReadSettings decodes settings. The simulator's first message and a door's configuration share this format.
func ReadSettings(raw json.RawMessage) (Settings, error) { return readSettings("settings", raw) }

// readSettings decodes the settings found under the given key.
func readSettings(under string, raw json.RawMessage) (Settings, error) {
	var s encodedSettings
	if err := json.Unmarshal(raw, &s); err != nil {
		return Settings{}, decodeError(under, err)
	}
	d := Settings{
		Terms: gate.Terms{
			Doors: s.FleetSize, DoorNumber: s.MyNumber,
			MaxAttempts: s.Limits.MaxAttempts, Hedging: s.Limits.Hedging,
			MayCancel: s.Limits.Cancel, MeterPeriod: s.Extra.Metering * msPerSecond,
			Counter: s.Extra.Counter, MustSubscribe: s.Registry == "ask",
			ColdCapacity: s.Safety.ColdFrom, WarmupTime: s.Safety.Cold * msPerSecond,
			OverloadMultiple: s.Safety.FallMultiple, OverloadWindow: s.Safety.TipAfter * msPerSecond,
		},
		Classes: map[string]int{}, Plans: map[string]int{},
		ConnIdle:       s.Limits.ConnIdle * msPerSecond,
		ConnectTimeout: s.Limits.ConnectTimeout * msPerSecond,
		CounterTimeout: s.Extra.CounterTimeout * msPerSecond,
		MaxUnits:       s.Extra.UnitsTop,
	}
	switch s.Reporting.How {
	case "inline":
		d.ReportNames = s.Reporting.Names
	case "", "off", "on_probe": // the decision engine never probes for reports
	default:
		return Settings{}, keyErrorf(under+".reporting.how", "unknown value %q", s.Reporting.How)
	}
	if s.Limits.RetryAfter {
		d.Terms.MaxRetryAfter = s.Limits.MaxRetryAfter * msPerSecond
	}
	for i, p := range s.Classes {
		sem, ok := semantics[p.Semantics]
		if !ok {
			return Settings{}, keyErrorf(fmt.Sprintf("%s.profiles[%d].semantics", under, i), "unknown value %q", p.Semantics)
		}
		scope, ok := scopes[p.Scope]
		if !ok {
			return Settings{}, keyErrorf(fmt.Sprintf("%s.profiles[%d].dedup_scope", under, i), "unknown value %q", p.Scope)
		}
		at := fmt.Sprintf("%s.profiles[%d].", under, i)
		if err := addName(d.Classes, p.Name, i, at, "class"); err != nil {
			return Settings{}, err
		}
		if p.GiveUp != nil {
			if *p.GiveUp <= 0 {
				return Settings{}, keyErrorf(at+"give_up", "%g: must be above 0", *p.GiveUp)
			}
			d.MaxWait = max(d.MaxWait, *p.GiveUp*msPerSecond)
		}
		if first := s.Classes[0].Fraction; (p.Fraction == nil) != (first == nil) || p.Fraction != nil && *p.Fraction < 0 {
			return Settings{}, keyErrorf(at+"fraction", "missing or below 0; it must be set for all classes or for none")
		}
		d.Terms.Classes = append(d.Terms.Classes, gate.Class{
			Contract: p.Aim * msPerSecond, Semantics: sem, Scope: scope,
			DedupWindow: p.Window * msPerSecond, LateValue: p.LateValue, Gain: p.Worth,
		})
	}
	for i, p := range s.Tariffs {
		if err := addName(d.Plans, p.Name, i, fmt.Sprintf("%s.tariffs[%d].", under, i), "plan"); err != nil {
			return Settings{}, err
		}
		d.Terms.Plans = append(d.Terms.Plans, gate.Plan{
			Rate: p.Rate / msPerSecond, Depth: p.Depth, MaxConcurrent: p.AtOnce,
			CeilingRate: p.CeilingRate / msPerSecond, CeilingDepth: p.CeilingBurst, Price: p.Pays,
			OverQuotaGain: p.BeyondEarns, OverQuotaCost: p.OverCost,
		})
	}
	return d, nil
}

// addName records the index of a name. Duplicate names are rejected because they would share the settings of one entry.
func addName(all map[string]int, name string, i int, at, what string) error {
	if previous, exists := all[name]; exists || name == "" {
		if !exists {
			return keyErrorf(at+"name", "missing")
		}
		return keyErrorf(at+"name", "%q is already the name of %s %d", name, what, previous)
	}
	all[name] = i
	return nil
}

// decodeError converts a JSON error to a KeyError that names the affected key.
func decodeError(under string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		if under != "" {
			under += "."
		}
		return keyErrorf(under+wrong.Field, "%s, expected %s", wrong.Value, wrong.Type)
	}
	return &KeyError{Key: under, Cause: err}
}
