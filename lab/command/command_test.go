package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const floodScenario = `
name = "flood"
[day]
seconds = 6
[load]
share = 0.4
[[profile]]
name = "look"
work_ms = 40.0
contract_ms = 500.0
outer_ms = 1500.0
[[plan]]
name = "capped"
per_s = 5.0
depth = 10.0
ceiling_per_s = 8.0
ceiling_depth = 16.0
[[fault]]
kind = "hot_customers"
at_s = 1.0
for_s = 4.0
much = 3.0
`

func execute(args ...string) (out string, err error) {
	cmd := New()
	var buf, errs bytes.Buffer
	cmd.SetOut(&buf)
	cmd.SetErr(&errs)
	cmd.SetArgs(args)
	err = cmd.Execute()
	return buf.String(), err
}

func TestPlayWritesResultAndSelfContainedReport(t *testing.T) {
	file, dir := filepath.Join(t.TempDir(), "flood.toml"), filepath.Join(t.TempDir(), "out")
	require.NoError(t, os.WriteFile(file, []byte(floodScenario), 0o644))
	out, err := execute("play", file, "--out", dir, "--seed", "3")
	require.NoError(t, err)
	assert.Contains(t, out, "score")
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	require.NoError(t, err)
	assert.Equal(t, 4, bytes.Count(page, []byte("<svg")))
	for _, from := range []string{"src=", "<link", "@import", "url("} {
		assert.NotContains(t, string(page), from, "nothing is fetched")
	}
	first, err := os.ReadFile(filepath.Join(dir, "result.json"))
	require.NoError(t, err)
	_, err = execute("play", file, "--out", dir, "--seed", "3")
	require.NoError(t, err)
	again, err := os.ReadFile(filepath.Join(dir, "result.json"))
	require.NoError(t, err)
	assert.Equal(t, string(first), string(again))
}

func TestBrokenRuleIsReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "flood.toml")
	require.NoError(t, os.WriteFile(file, []byte(floodScenario), 0o644))
	_, err := execute("play", file, "--policy", "floor", "--alone", "--out", t.TempDir())
	var broken *BrokenError
	assert.ErrorAs(t, err, &broken)
	assert.ErrorContains(t, err, "ceiling-kept")
}

func TestInvalidArgumentsAreReported(t *testing.T) {
	for text, args := range map[string][]string{
		"nowhere":      {"play", "nowhere", "--out", t.TempDir()},
		"load.shore":   {"play", "calm", "--set", "load.shore=1", "--out", t.TempDir()},
		"KEY=VALUE":    {"play", "calm", "--set", "load.share", "--out", t.TempDir()},
		"sim or sock":  {"play", "calm", "--on", "moon", "--out", t.TempDir()},
		"magic":        {"play", "calm", "--policy", "magic", "--alone", "--out", t.TempDir()},
		"out":          {"play", "calm"},
		"go together":  {"sweep", "calm", "--key", "load.share"},
		"looking for":  {"compare", t.TempDir(), t.TempDir()},
		"at least one": {"sweep", "calm", "--seeds", "0"},
	} {
		_, err := execute(args...)
		assert.ErrorContains(t, err, text)
	}
}

func TestSweepAndCompare(t *testing.T) {
	dir := t.TempDir()
	short := []string{"--set", "day.seconds=6", "--seeds", "3"}
	_, err := execute(append([]string{"sweep", "calm", "--out", filepath.Join(dir, "a")}, short...)...)
	require.NoError(t, err)
	out, err := execute(append([]string{"sweep", "overload", "--policy", "swifthall,textbook", "--out", filepath.Join(dir, "b")}, short...)...)
	require.NoError(t, err)
	assert.Contains(t, out, "textbook")
	out, err = execute("compare", filepath.Join(dir, "a"), filepath.Join(dir, "b", "textbook"))
	require.NoError(t, err)
	assert.Regexp(t, `G +0\.\d+ +0\.\d+ +-0\.\d+ +0\.\d+ over 3 +\*`, out)
}

func TestHuntWritesAScenario(t *testing.T) {
	out := filepath.Join(t.TempDir(), "found.toml")
	text, err := execute("hunt", "calm", "--days", "8", "--faults", "1", "--only", "slow", "--out", out)
	require.NoError(t, err)
	assert.Contains(t, text, "days played")
	_, err = execute("play", out, "--alone", "--out", t.TempDir())
	assert.NoError(t, err)
}

func TestListShowsScenariosAndFaults(t *testing.T) {
	out, err := execute("list")
	require.NoError(t, err)
	assert.Contains(t, out, "retry-storm")
	assert.Contains(t, out, "counter_split")
}

func TestProcsRunsSchedulesAndWritesReports(t *testing.T) {
	dir := t.TempDir()
	out, err := execute("procs", "short-cut", "--random", "30", "--doors", "6", "--seeds", "2", "--out", dir)
	require.NoError(t, err)
	assert.Contains(t, out, "short-cut")
	for _, name := range []string{"result.json", "schedule.toml", "report.html"} {
		raw, err := os.ReadFile(filepath.Join(dir, "random-2-6-2", name))
		require.NoError(t, err)
		assert.NotEmpty(t, raw)
	}
	again, err := execute("procs", filepath.Join(dir, "short-cut-6-1", "schedule.toml"), "--seed", "1")
	require.NoError(t, err)
	assert.Contains(t, again, "short-cut")
	_, err = execute("procs", "half-heard", "--who", "heartbeats")
	var broken *ScheduleError
	require.ErrorAs(t, err, &broken)
	out, err = execute("procs", "--list")
	require.NoError(t, err)
	assert.Contains(t, out, "half-heard")
}
