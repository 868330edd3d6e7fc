package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/internal/cli"
	"github.com/swifthall/swifthall/internal/remedy"
)

// run executes a command in the test's process and returns its output.
func run(args ...string) (string, error) {
	cmd := newRoot()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cli.Execute(context.Background(), cmd)
	return out.String(), err
}

func TestCheckReportsInvalidKeysAndWarnings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "door.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"listen":"x","discovery":"127.0.0.1:1","pase":1,"settings":{"fleet_size":0}}`), 0o644))
	out, err := run("check", file)
	assert.Error(t, err)
	for _, key := range []string{`warning: key "pase"`, `key "listen"`, `key "settings.fleet_size"`, `key "settings.profiles"`} {
		assert.Contains(t, out, key)
	}
	out, err = run("check", "../../examples/config.json")
	require.NoError(t, err)
	assert.Equal(t, "ok\n", out)
}

func TestEachKindOfErrorHasAnExitCodeAndARemedy(t *testing.T) {
	t.Setenv("PATH", "")
	t.Setenv("GW_CONFIG", "")
	for code, args := range map[int][]string{2: {"serve", "now"}, 3: {"serve"}, 5: {"lab", "list"}} {
		var errs bytes.Buffer
		cmd := newRoot()
		cmd.SetArgs(args)
		assert.Equal(t, code, cli.Main(context.Background(), cmd, &errs), args)
		assert.Contains(t, errs.String(), "to do: ")
	}
	_, err := run("chek")
	var usage *cli.UsageError
	assert.ErrorAs(t, err, &usage)
	_, err = run("check", "nowhere.json")
	assert.Equal(t, remedy.Configuration, remedy.Typed(err)[0].Kind())
}

func TestServeDoesNotStartWithAnInvalidFlagOrFile(t *testing.T) {
	t.Setenv("GW_CONFIG", "../../examples/config.json")
	_, err := run("--log-level", "loud")
	assert.ErrorContains(t, err, "log.level")
	t.Setenv("GW_CONFIG", "nowhere.json")
	_, err = run("serve")
	assert.ErrorContains(t, err, "GW_CONFIG")
}

func TestAMissingProgramIsNamed(t *testing.T) {
	t.Setenv("PATH", "")
	assert.ErrorContains(t, execProgram(labProgram, "list"), "swifthall-lab")
}
