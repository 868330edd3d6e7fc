package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzRead(f *testing.F) {
	f.Add([]byte(full))
	f.Add([]byte(`{"log":{"level":"debug","format":"json"},"pace":{"linger_ms":1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := Read(raw, unset)
		if err != nil {
			require.NotEmpty(t, SplitErrors(err))
			return
		}
		require.Empty(t, SplitErrors(err))
		require.Greater(t, d.Cores, 0.0)
		require.Positive(t, d.Sockets)
		require.Less(t, d.Settings.Terms.DoorNumber, d.Settings.Terms.Doors)
		require.Positive(t, d.Settings.Terms.MaxAttempts)
		for _, p := range d.Settings.Terms.Classes {
			require.Greater(t, p.Contract, 0.0)
		}
	})
}

func TestEveryFaultyKeyIsNamedAtOnce(t *testing.T) {
	_, err := Read([]byte(`{"listen":"x","log":{"level":"loud","format":"xml"},"settings":{"fleet_size":0}}`), unset)
	var keys []string
	for _, f := range SplitErrors(err) {
		keys = append(keys, f.Error())
	}
	require.Len(t, keys, 8, "%q", keys)
	for i, key := range []string{"listen", "discovery", "log.level", "log.format", "settings.fleet_size"} {
		require.Contains(t, keys[i], key)
	}
}

func TestAKeyThatNothingReadsIsNamed(t *testing.T) {
	d, _ := Read([]byte(`{"listne":"x","pace":{"linger":1},"settings":{"new_one":1}}`), unset)
	require.Equal(t, []string{`key "listne": nothing reads it`, `key "pace.linger": nothing reads it`}, d.Warnings)
}
