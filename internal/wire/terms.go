package wire

import (
	"encoding/json"
	"fmt"

	"github.com/swifthall/swifthall/gate"
)

var semantics = map[string]gate.Semantics{
	"idempotent": gate.Replayable, "deduplicated": gate.Tokened, "at_most_once": gate.SingleUse,
}

var scopes = map[string]gate.Scope{
	"": gate.ScopeAll, "all": gate.ScopeAll, "zone": gate.ScopeZone, "cell": gate.ScopeCell,
}

// parseTerms reads the settings of the wire; names of profiles and plans keep their order.
func parseTerms(raw json.RawMessage) (t gate.Terms, profiles, plans map[string]int, err error) {
	var s struct {
		FleetSize int    `json:"fleet_size"`
		MyNumber  int    `json:"my_number"`
		Registry  string `json:"registry_mode"`
		Profiles  []struct {
			Name      string  `json:"name"`
			Aim       float64 `json:"aim"`
			Semantics string  `json:"semantics"`
			Scope     string  `json:"dedup_scope"`
			Window    float64 `json:"window"`
			LateValue float64 `json:"late_value"`
			Worth     float64 `json:"worth"`
		} `json:"profiles"`
		Tariffs []struct {
			Name         string  `json:"name"`
			Rate         float64 `json:"rate"`
			Depth        float64 `json:"depth"`
			AtOnce       int     `json:"at_once"`
			CeilingRate  float64 `json:"never_over_rate"`
			CeilingBurst float64 `json:"ceiling_burst"`
			Pays         float64 `json:"pays"`
		} `json:"tariffs"`
		Extra struct {
			Metering float64 `json:"metering"`
			MailPerS float64 `json:"mail_per_s"`
			Counter  bool    `json:"counter"`
		} `json:"extra"`
		Limits struct {
			Cancel        bool    `json:"cancel"`
			MaxAttempts   int     `json:"max_attempts"`
			MayTell       bool    `json:"may_tell"`
			MaxRetryAfter float64 `json:"max_retry_after"`
			RetryAfter    bool    `json:"retry_after"`
			SecondCopies  bool    `json:"second_copies"`
		} `json:"limits"`
		Safety struct {
			ColdFrom     float64 `json:"cold_from"`
			Cold         float64 `json:"cold"`
			FallMultiple float64 `json:"fall_multiple"`
			TipAfter     float64 `json:"tip_after"`
		} `json:"safety"`
	}
	if err = json.Unmarshal(raw, &s); err != nil {
		return t, nil, nil, fmt.Errorf("field \"settings\": %w", err)
	}
	t = gate.Terms{
		Doors: s.FleetSize, Number: s.MyNumber,
		MaxTransmissions: s.Limits.MaxAttempts, SecondCopies: s.Limits.SecondCopies,
		MayCancel: s.Limits.Cancel, MeterPeriod: s.Extra.Metering * msPerSecond,
		Counter: s.Extra.Counter, MustAsk: s.Registry == "ask",
		ColdFrom: s.Safety.ColdFrom, ColdFor: s.Safety.Cold * msPerSecond,
		FallMultiple: s.Safety.FallMultiple, FallWindow: s.Safety.TipAfter * msPerSecond,
	}
	if s.Limits.RetryAfter {
		t.MaxRetryAfter = s.Limits.MaxRetryAfter * msPerSecond
	}
	if s.Limits.MayTell {
		t.MailRate = s.Extra.MailPerS / msPerSecond
	}
	profiles, plans = map[string]int{}, map[string]int{}
	for i, p := range s.Profiles {
		sem, ok := semantics[p.Semantics]
		if !ok {
			return t, nil, nil, fmt.Errorf("field \"settings\": unknown semantics %q", p.Semantics)
		}
		scope, ok := scopes[p.Scope]
		if !ok {
			return t, nil, nil, fmt.Errorf("field \"settings\": unknown dedup_scope %q", p.Scope)
		}
		profiles[p.Name] = i
		t.Profiles = append(t.Profiles, gate.Profile{
			Contract: p.Aim * msPerSecond, Semantics: sem, Scope: scope,
			Window: p.Window * msPerSecond, LateValue: p.LateValue, Gain: p.Worth,
		})
	}
	for i, p := range s.Tariffs {
		plans[p.Name] = i
		t.Plans = append(t.Plans, gate.Plan{
			Rate: p.Rate / msPerSecond, Depth: p.Depth, AtOnce: p.AtOnce,
			CeilingRate: p.CeilingRate / msPerSecond, CeilingDepth: p.CeilingBurst, Price: p.Pays,
		})
	}
	return t, profiles, plans, nil
}
