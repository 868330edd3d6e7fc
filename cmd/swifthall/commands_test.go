package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
)

func do(args ...string) (string, error) {
	cmd := root()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

func TestCheckNamesEveryFaultyKeyAndWarnsOfOddOnes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "door.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"listen":"x","discovery":"127.0.0.1:1","pase":1,"settings":{"fleet_size":0}}`), 0o644))
	out, err := do("check", file)
	assert.Error(t, err)
	for _, key := range []string{`warning: key "pase"`, `key "listen"`, `key "settings.fleet_size"`, `key "settings.profiles"`} {
		assert.Contains(t, out, key)
	}
	out, err = do("check", "../../examples/config.json")
	require.NoError(t, err)
	assert.Equal(t, "ok\n", out)
}

func TestServeDoesNotStartOnAFaultyFlagOrFile(t *testing.T) {
	t.Setenv("GW_CONFIG", "../../examples/config.json")
	_, err := do("--log-level", "loud")
	assert.ErrorContains(t, err, "log.level")
	t.Setenv("GW_CONFIG", "nowhere.json")
	_, err = do("serve")
	assert.ErrorContains(t, err, "GW_CONFIG")
}

func TestFlagsWinOverTheFilesLog(t *testing.T) {
	of, err := logging{format: "json"}.over(config.Log{Level: "warn", Format: "text"})
	require.NoError(t, err)
	log := logrus.New()
	var out bytes.Buffer
	log.SetOutput(&out)
	apply(log, of)
	log.Info("quiet")
	log.Warn("loud")
	assert.NotContains(t, out.String(), "quiet")
	assert.Contains(t, out.String(), `"level":"warning"`)
}

func TestTheLaboratoryThatIsNotThereIsNamed(t *testing.T) {
	t.Setenv("PATH", "")
	assert.ErrorContains(t, laboratory([]string{"list"}), "swifthall-lab")
}
