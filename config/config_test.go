package config

import (
	"encoding/json"
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
)

const full = `{"name":"n3","listen":"127.0.0.1:8000","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":192,"sockets":900},"counter":"127.0.0.3:6400",
 "known":{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.4:1","lifecycle":"Ready"}]},
 "settings":{"fleet_size":3,"my_number":1,"profiles":[{"name":"read","aim":0.5,"give_up":4,"semantics":"deduplicated",
   "dedup_scope":"zone","window":5}],"tariffs":[{"name":"basic","rate":2,"depth":8}],
   "extra":{"counter":true,"counter_timeout":0.08,"units_top":8},
   "limits":{"max_attempts":6,"retry_after":true,"max_retry_after":0.5,"conn_idle":15,"connect_timeout":0.25}}}`

func unset(string) string { return "" }

func TestCompleteConfigurationIsRead(t *testing.T) {
	d, err := Read([]byte(full), func(name string) string { return map[string]string{"GW_LISTEN": "127.0.0.9:1"}[name] })
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.9:1", d.Listen, "the environment wins")
	assert.Equal(t, uint64(0x8c1f30d27a5be964), d.Seed)
	assert.Equal(t, "s", d.Known.Backends[0].ID)
	assert.Equal(t, []gate.Class{{Contract: 500, Semantics: gate.Keyed, Scope: gate.ScopeZone, DedupWindow: 5000}}, d.Settings.Terms.Classes)
	assert.Equal(t, []gate.Plan{{Rate: 0.002, Depth: 8}}, d.Settings.Terms.Plans)
	assert.Equal(t, 500.0, d.Settings.Terms.MaxRetryAfter)
	assert.Equal(t, []float64{15e3, 250, 80, 4000, 8}, []float64{d.Settings.ConnIdle, d.Settings.ConnectTimeout,
		d.Settings.CounterTimeout, d.Settings.MaxWait, d.Settings.MaxUnits})
}

func TestDefaultsFollowFromTheSettings(t *testing.T) {
	d, err := Read([]byte(strings.Replace(full, `"seed"`, `"pace":{"linger_ms":5},"seed"`, 1)), unset)
	require.NoError(t, err)
	assert.Equal(t, Pace{SlowInput: 2400, IdleClient: 2200, IdleBackend: 7500, Settle: 20, Silence: 3000, FirstByte: 750, CounterStall: 800, Redial: 100, Linger: 5}, d.Pace)
}

// The worst-case delay of a change published by discovery stays within 6 s, by default and with longer connect timeouts.
func TestDiscoveryDelayIsBounded(t *testing.T) {
	for connect, want := range map[string]float64{"0.25": 750, "0.15": 850, "0.6": 400, "0.8": 200} {
		d, err := Read([]byte(strings.Replace(full, `"connect_timeout":0.25`, `"connect_timeout":`+connect, 1)), unset)
		require.NoError(t, err)
		assert.InDelta(t, want, d.Pace.FirstByte, 1e-6, connect)
		assert.LessOrEqual(t, d.Pace.discoveryDelay(d.Settings.ConnectTimeout), MaxDiscoveryDelay, connect)
		assert.Empty(t, d.Warnings)
	}
	d, err := Read([]byte(strings.Replace(full, `"seed"`, `"pace":{"silence_ms":9000},"seed"`, 1)), unset)
	require.NoError(t, err)
	assert.Len(t, d.Warnings, 1)
	assert.Contains(t, d.Warnings[0], "pace.silence_ms")
}

func TestErrorsNameTheInvalidKey(t *testing.T) {
	for key, swap := range map[string][2]string{
		`"listen"`:                              {"127.0.0.1:8000", "nowhere"},
		`"discovery"`:                           {"127.0.0.2:8500", ""},
		`"counter": missing`:                    {`"counter":"127.0.0.3:6400",`, ""},
		`"seed"`:                                {"8c1f30d27a5be964", "xyz"},
		`"limits.sockets"`:                      {"900", `"many"`},
		`"limits.cores"`:                        {"0.5", "-1"},
		`"known"`:                               {`"instanceId":"s"`, `"instanceId":""`},
		`"settings.fleet_size"`:                 {`"fleet_size":3`, `"fleet_size":0`},
		`"settings.my_number"`:                  {`"my_number":1`, `"my_number":3`},
		`"settings.profiles[0].semantics"`:      {"deduplicated", "odd"},
		`"settings.profiles[0].dedup_scope"`:    {`"zone"`, `"odd"`},
		`"settings.profiles[0].aim"`:            {`"aim":0.5`, `"aim":0`},
		`"settings.tariffs[0].depth"`:           {`"depth":8`, `"depth":0`},
		`"settings.tariffs[0].rate"`:            {`"rate":2`, `"rate":-2`},
		`"settings.profiles[0].window"`:         {`"window":5`, `"window":0`},
		`"settings.profiles[0].give_up"`:        {`"give_up":4`, `"give_up":0`},
		`"settings.profiles[0].name"`:           {`"name":"read"`, `"name":""`},
		`"settings.profiles[1].name"`:           {`"profiles":[`, `"profiles":[{"name":"read","aim":1,"give_up":2,"semantics":"idempotent"},`},
		`"settings.profiles[1].fraction"`:       {`"profiles":[`, `"profiles":[{"name":"other","fraction":0.5,"aim":1,"give_up":2,"semantics":"idempotent"},`},
		`"settings.profiles[0].fraction"`:       {`"name":"read"`, `"name":"read","fraction":-0.5`},
		`"settings.tariffs[1].name"`:            {`"tariffs":[`, `"tariffs":[{"name":"basic","rate":2,"depth":8},`},
		`"settings.limits.max_attempts"`:        {`"max_attempts":6`, `"max_attempts":0`},
		`"settings.limits.retry_after": string`: {`"retry_after":true`, `"retry_after":"yes"`},
		`"settings.extra.counter_timeout"`:      {`"counter_timeout":0.08`, `"counter_timeout":-1`},
		`"pace.linger_ms"`:                      {`"seed"`, `"pace":{"linger_ms":-1},"seed"`},
	} {
		_, err := Read([]byte(strings.Replace(full, swap[0], swap[1], 1)), unset)
		assert.ErrorContains(t, err, "key "+key)
	}
	_, err := Load(unset)
	assert.ErrorContains(t, err, "GW_CONFIG")
}

func watchingConfig(settings string) string {
	return strings.Replace(full, `"seed"`, `"watch":`+settings+`,"seed"`, 1)
}

func TestAlternativeSettingsAreReadBesideTheActualOnes(t *testing.T) {
	d, err := Read([]byte(watchingConfig(`{"profiles":[{"name":"read","aim":0.5,"semantics":"idempotent"}],
		"tariffs":[{"name":"basic","rate":2,"depth":8,"beyond_earns":0.3}],"limits":{"max_attempts":4}}`)), unset)
	require.NoError(t, err)
	assert.Zero(t, d.Settings.Terms.Plans[0].OverQuotaGain)
	assert.Equal(t, 0.3, d.Watch.Plans[0].OverQuotaGain)
	assert.Equal(t, 4, d.Watch.MaxAttempts)
	assert.Zero(t, d.Watch.MaxRetryAfter)
	d, err = Read([]byte(full), unset)
	require.NoError(t, err)
	assert.Nil(t, d.Watch)
}

func TestErrorsUnderWatchNameTheirKeys(t *testing.T) {
	_, err := Read([]byte(watchingConfig(`{"profiles":[{"name":"read","semantics":"idempotent"}],
		"tariffs":[{"name":"gold","over_cost":-1}]}`)), unset)
	for _, want := range []string{`key "watch.tariffs": names differ from those in settings.tariffs`,
		`key "watch.limits.max_attempts": 0`, `key "watch.tariffs[0].over_cost": below 0`, `key "watch.profiles[0].aim": 0`} {
		assert.ErrorContains(t, err, want)
	}
	_, err = Read([]byte(watchingConfig(`{"reporting":{"how":"loudly"}}`)), unset)
	assert.ErrorContains(t, err, `key "watch.reporting.how": unknown value "loudly"`)
}

func TestPlansThatEarnBeyondTheirQuotaAreReadAndChecked(t *testing.T) {
	with := func(more string) string { return strings.Replace(full, `"depth":8`, `"depth":8,`+more, 1) }
	d, err := Read([]byte(with(`"beyond_earns":0.3,"over_cost":1.2,"pays":0.7`)), unset)
	require.NoError(t, err)
	assert.Equal(t, gate.Plan{Rate: 0.002, Depth: 8, OverQuotaGain: 0.3, OverQuotaCost: 1.2, Price: 0.7}, d.Settings.Terms.Plans[0])
	_, err = Read([]byte(with(`"beyond_earns":-0.3`)), unset)
	assert.ErrorContains(t, err, `key "settings.tariffs[0].beyond_earns": below 0`)
}

func TestTheFleetIsCheckedKeyByKey(t *testing.T) {
	raw, err := os.ReadFile("../examples/config.json")
	require.NoError(t, err)
	var tree map[string]any
	require.NoError(t, json.Unmarshal(raw, &tree))
	read := func(fleet map[string]any) (Door, error) {
		tree["fleet"] = fleet
		with, err := json.Marshal(tree)
		require.NoError(t, err)
		return Read(with, func(string) string { return "" })
	}
	good := map[string]any{"name": "prod", "zone": "a", "listen": "10.1.2.3:7946", "peers": []string{"10.1.2.4:7946", "d2/10.1.2.5:7946"},
		"routes": map[string]string{"d3": "127.0.0.1:9"}, "status": "127.0.0.1:7980"}
	d, err := read(good)
	require.NoError(t, err)
	assert.Equal(t, "prod", d.Fleet.Name)
	assert.Empty(t, d.Warnings)
	for key, value := range map[string]any{"name": "", "listen": "8.8.8.8:7946", "peers": []string{"door-2:7946"}, "routes": map[string]string{"d3": "there"},
		"status": "10.1.2.3:80", "join_again_ms": -1, "leave_ms": -1} {
		bad := maps.Clone(good)
		bad[key] = value
		_, err := read(bad)
		assert.ErrorContains(t, err, `key "fleet.`+key, "%s", key)
	}
	bad := maps.Clone(good)
	bad["zones"] = "a"
	d, err = read(bad)
	require.NoError(t, err)
	assert.Equal(t, []string{`key "fleet.zones": unknown, ignored`}, d.Warnings)
}

func TestTheExamplesCanBeServed(t *testing.T) {
	for _, name := range []string{"config.json", "fleet.json"} {
		raw, err := os.ReadFile("../examples/" + name)
		require.NoError(t, err)
		d, err := Read(raw, unset)
		require.NoError(t, err, name)
		assert.Empty(t, d.Warnings, name)
		assert.Equal(t, name == "fleet.json", d.Fleet != nil)
	}
}

func TestOverlayKeepsPerDoorKeys(t *testing.T) {
	base := []byte(`{"name":"a","listen":"x","settings":{"my_number":3,"profiles":[1],"extra":{"counter":true}},"pace":{"linger_ms":1}}`)
	raw, err := Overlay(base, []byte(`{"settings":{"profiles":[2,3],"extra":{"cold_for":1}},"log":{"level":"debug"}}`))
	require.NoError(t, err)
	assert.JSONEq(t, `{"name":"a","listen":"x","settings":{"my_number":3,"profiles":[2,3],"extra":{"counter":true,"cold_for":1}},"pace":{"linger_ms":1},"log":{"level":"debug"}}`, string(raw))
	for _, bad := range []string{`{"name":"b"}`, `{"settings":{"my_number":1}}`, `{"fleet":{}}`, `[]`} {
		var key *KeyError
		_, err := Overlay(base, []byte(bad))
		assert.ErrorAs(t, err, &key, bad)
	}
}
