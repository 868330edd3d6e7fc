package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/swifthall/swifthall/gate"
)

const msPerSecond = 1000

// Settings is what the settings say: the terms of the decisions, the names of classes and plans by their
// indices, and what the carrier needs besides.
type Settings struct {
	Terms          gate.Terms
	Classes, Plans map[string]int
	ConnIdle       float64  // a backend closes a connection idle for this long, ms; 0 where not told
	ConnectTimeout float64  // a connection that takes longer is given up, ms
	CounterTimeout float64  // a call of the counter that takes longer is given up, ms
	MaxWait        float64  // no client waits longer, ms
	MaxUnits       float64  // no request takes more; 0 where not told
	ReportNames    []string // what the values of a load report are, in their order; empty where answers hold none
}

// What the bench's pages call the one value of a load report that the decisions read; others are skipped.
const (
	reportQueue  = "backlog"
	pressedQueue = "queue" // in an answer's header
)

// Queue takes what waits at a backend from its report, the values in the order of Reports; -1 where none tells.
func (d *Settings) Queue(row []float64) (float64, error) {
	if len(row) > len(d.ReportNames) {
		return -1, &ReportError{len(row), len(d.ReportNames)}
	}
	if i := slices.Index(d.ReportNames, reportQueue); i >= 0 && i < len(row) && row[i] >= 0 {
		return row[i], nil
	}
	return -1, nil
}

// ReportsQueue tells whether answers may say what waits at their backend.
func (d *Settings) ReportsQueue() bool {
	return slices.Contains(d.ReportNames, reportQueue) || slices.Contains(d.ReportNames, pressedQueue)
}

var semantics = map[string]gate.Semantics{
	"idempotent": gate.Idempotent, "deduplicated": gate.Keyed, "at_most_once": gate.NonIdempotent,
}

var scopes = map[string]gate.Scope{
	"": gate.ScopeAll, "all": gate.ScopeAll, "zone": gate.ScopeZone, "cell": gate.ScopeCell,
}

// settings has the names of the wire.
type settings struct {
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

// ReadSettings decodes the settings, which an adapter's first message and a door's configuration share.
func ReadSettings(raw json.RawMessage) (Settings, error) { return readDeal("settings", raw) }

// readDeal decodes settings found under a key.
func readDeal(under string, raw json.RawMessage) (Settings, error) {
	var s settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return Settings{}, decodeFault(under, err)
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
	case "", "off", "on_probe": // the decisions probe nothing
	default:
		return Settings{}, keyFault(under+".reporting.how", "unknown word %q", s.Reporting.How)
	}
	if s.Limits.RetryAfter {
		d.Terms.MaxRetryAfter = s.Limits.MaxRetryAfter * msPerSecond
	}
	for i, p := range s.Classes {
		sem, ok := semantics[p.Semantics]
		if !ok {
			return Settings{}, keyFault(fmt.Sprintf("%s.profiles[%d].semantics", under, i), "unknown word %q", p.Semantics)
		}
		scope, ok := scopes[p.Scope]
		if !ok {
			return Settings{}, keyFault(fmt.Sprintf("%s.profiles[%d].dedup_scope", under, i), "unknown word %q", p.Scope)
		}
		at := fmt.Sprintf("%s.profiles[%d].", under, i)
		if err := named(d.Classes, p.Name, i, at, "class"); err != nil {
			return Settings{}, err
		}
		if p.GiveUp != nil {
			if *p.GiveUp <= 0 {
				return Settings{}, keyFault(at+"give_up", "%g: no request could be answered", *p.GiveUp)
			}
			d.MaxWait = max(d.MaxWait, *p.GiveUp*msPerSecond)
		}
		if first := s.Classes[0].Fraction; (p.Fraction == nil) != (first == nil) || p.Fraction != nil && *p.Fraction < 0 {
			return Settings{}, keyFault(at+"fraction", "missing or below 0, though other classes have theirs")
		}
		d.Terms.Classes = append(d.Terms.Classes, gate.Class{
			Contract: p.Aim * msPerSecond, Semantics: sem, Scope: scope,
			DedupWindow: p.Window * msPerSecond, LateValue: p.LateValue, Gain: p.Worth,
		})
	}
	for i, p := range s.Tariffs {
		if err := named(d.Plans, p.Name, i, fmt.Sprintf("%s.tariffs[%d].", under, i), "plan"); err != nil {
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

// named gives a name its index. Two of one name would share settings that are meant for one.
func named(all map[string]int, name string, i int, at, what string) error {
	if before, is := all[name]; is || name == "" {
		if !is {
			return keyFault(at+"name", "missing")
		}
		return keyFault(at+"name", "%q is the name of %s %d already", name, what, before)
	}
	all[name] = i
	return nil
}

// decodeFault names the key that a JSON error is about.
func decodeFault(under string, err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		if under != "" {
			under += "."
		}
		return keyFault(under+wrong.Field, "%s where %s is wanted", wrong.Value, wrong.Type)
	}
	return &KeyError{Key: under, Cause: err}
}
