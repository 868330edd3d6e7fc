package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/cli"
	"github.com/swifthall/swifthall/internal/loopback"
	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/release"
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

func TestInvalidArgumentsAreUsageErrors(t *testing.T) {
	t.Setenv("USER", "")
	for _, args := range [][]string{{"drain", "cellar", "x"}, {"drain", "door", "x"}, {"halt"}, {"status", "--at", "nowhere"},
		{"drain", "door", "x", "--who", "a", "--why", "b", "--until", "yesterday"}, {"undrain"}} {
		_, err := run(args...)
		require.Error(t, err, args)
		assert.Equal(t, remedy.Usage, remedy.Typed(err)[0].Kind(), args)
	}
	_, err := run("budgets", "nowhere.json", "--who", "a", "--why", "b")
	assert.Equal(t, 3, remedy.ExitCode(err))
	_, err = run("status", "--at", "c/127.0.0.1:1", "--patience", "100ms")
	assert.Equal(t, 5, remedy.ExitCode(err))
	out, err := run("status", "--each", "--at", "c/127.0.0.1:1", "--patience", "100ms")
	require.NoError(t, err)
	assert.Contains(t, out, "coordinator c at 127.0.0.1:1")
}

func TestTheExamplesAreValid(t *testing.T) {
	_, err := run("release", "check", "../../examples/release.json")
	require.NoError(t, err)
	out, err := run("coordinate", "--check", "--config", "../../examples/coordinator.json")
	require.NoError(t, err)
	assert.Equal(t, "ok\n", out)
	raw, err := os.Open("../../examples/budgets.json")
	require.NoError(t, err)
	defer raw.Close()
	all, err := permits.ReadBudgets(raw)
	require.NoError(t, err)
	assert.NotEmpty(t, all)
	file := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name":"a/b","listen":"8.8.8.8:1","api":"x","peers":["c"]}`), 0o600))
	_, err = run("coordinate", "--check", "--config", file)
	for _, key := range []string{"name", "fleet", "data", "listen", "api", "peers[0]"} {
		assert.ErrorContains(t, err, `key "`+key+`"`)
	}
}

func TestTheStatusIsPrintedAsTables(t *testing.T) {
	var out bytes.Buffer
	unit := permits.Unit{Kind: permits.Backend, Name: "b-1", Zone: "z1"}
	printStatus(&out, client.Status{Self: "c-1", Fleet: "prod", Leader: "c-1", Current: true, Members: []client.Member{{Name: "c-1"}, {Name: "c-2", SilentMs: 4e3}},
		Halts:   []permits.Halt{{Who: "ana", Why: "errors"}},
		Permits: []client.Permit{{Permit: permits.Permit{Number: 7, Unit: unit, Order: true, Stage: permits.Out, Who: "bea"}, Waiting: []string{"door-3"}}},
		Units:   []client.Unit{{UnitState: permits.UnitState{Unit: unit, Standing: permits.Ready, AtMs: 5}, Out: true, AgeMs: 200}}})
	assert.Regexp(t, `HALT of all by ana: errors`, out.String())
	assert.Regexp(t, `c-2 +silent for 4 s`, out.String())
	assert.Regexp(t, `7 +backend b-1 +going out +bea +door-3`, out.String())
	assert.Regexp(t, `backend b-1 +z1 +ready +out +0.2 s ago`, out.String())
}

func freeAddress(t testing.TB) string {
	at, err := loopback.Free()
	require.NoError(t, err)
	return at
}

// One coordinator is started from its file, used and stopped by means of the commands only.
func TestACoordinatorIsRunQueriedAndStopped(t *testing.T) {
	dir := t.TempDir()
	at, raft := freeAddress(t), freeAddress(t)
	file := filepath.Join(dir, "c.json")
	raw, err := json.Marshal(map[string]any{"name": "c-1", "fleet": "f", "listen": raft, "api": at, "data": dir, "peers": []string{"c-1/" + raft}, "log": map[string]string{"level": "error"}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, raw, 0o600))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		cmd := newRoot()
		cmd.SetArgs([]string{"coordinate", "--config", file})
		ended <- cli.Execute(ctx, cmd)
	}()
	ask := func(args ...string) (string, error) {
		return run(append(args, "--at", "c-1/"+at, "--who", "ana", "--why", "test", "--patience", "20s")...)
	}
	_, err = ask("budgets", "../../examples/budgets.json")
	require.NoError(t, err)
	_, err = ask("drain", "backend", "b-1")
	var unknown *permits.UnknownError
	require.ErrorAs(t, err, &unknown)
	_, err = ask("halt")
	require.NoError(t, err)
	out, err := ask("status")
	require.NoError(t, err)
	assert.Contains(t, out, "HALT of all by ana: test")
	assert.Contains(t, out, "c-1 ")
	_, err = ask("resume")
	require.NoError(t, err)
	out, err = ask("audit")
	require.NoError(t, err)
	assert.Contains(t, out, "halt of all")
	out, err = ask("budgets")
	require.NoError(t, err)
	assert.Contains(t, out, "most_out")
	_, err = ask("release", "halt", "r1")
	var none *release.UnknownError
	require.ErrorAs(t, err, &none)
	_, err = ask("release", "start", "../../examples/release.json")
	require.NoError(t, err)
	out, err = ask("release", "status")
	require.NoError(t, err)
	assert.Regexp(t, `plan-terms +configuration +5f70bf18 +waiting`, out)
	_, err = ask("release", "back", "plan-terms")
	require.NoError(t, err)
	stop()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the coordinator does not stop")
	}
}
