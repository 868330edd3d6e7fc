package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/cli"
	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/permits"
	"github.com/swifthall/swifthall/permits/planfile"
)

// testCoordinator is a coordinator that is used only by commands.
type testCoordinator struct {
	t       testing.TB
	dir     string
	address string
}

// startCoordinator runs the command coordinate until the test ends, and waits until it answers.
func startCoordinator(t testing.TB) *testCoordinator {
	s := &testCoordinator{t: t, dir: t.TempDir(), address: "c-1/" + freeAddress(t)}
	raft := freeAddress(t)
	file := s.file("c.json", map[string]any{"name": "c-1", "fleet": "f", "listen": raft, "api": strings.TrimPrefix(s.address, "c-1/"), "data": s.dir, "peers": []string{"c-1/" + raft}, "log": map[string]string{"level": "error"}})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		cmd := newRoot()
		cmd.SetArgs([]string{"coordinate", "--config", file})
		ended <- cli.Execute(ctx, cmd)
	}()
	t.Cleanup(func() {
		stop()
		select {
		case err := <-ended:
			assert.NoError(t, err)
		case <-time.After(20 * time.Second):
			assert.Fail(t, "the coordinator does not stop")
		}
	})
	assert.Contains(t, s.ok("calendar"), "nothing")
	return s
}

// file writes a JSON file and returns its path.
func (s *testCoordinator) file(name string, v any) string {
	raw, err := json.Marshal(v)
	require.NoError(s.t, err)
	path := filepath.Join(s.dir, name)
	require.NoError(s.t, os.WriteFile(path, raw, 0o600))
	return path
}

// as runs a command as an operator, and checks that the lines of its output fit a terminal.
func (s *testCoordinator) as(who string, args ...string) (string, error) {
	out, err := run(append(args, "--at", s.address, "--who", who, "--patience", "20s")...)
	if err != nil || slices.Contains(args, "--json") || args[0] == "rules" || args[0] == "audit" {
		return out, err // JSON, and the output of other commands, may have longer lines
	}
	for _, l := range strings.Split(out, "\n") {
		whole := strings.HasPrefix(l, "does ") || strings.HasPrefix(l, "back ") // what is approved isn't truncated
		assert.True(s.t, whole || utf8.RuneCountInString(l) <= maxLineWidth, l)
	}
	return out, err
}

// ok runs a command that must succeed, and returns its output.
func (s *testCoordinator) ok(args ...string) string {
	s.t.Helper()
	out, err := s.as("ana", args...)
	require.NoError(s.t, err, args)
	return out
}

func (s *testCoordinator) eventually(what string, is func() bool) {
	s.t.Helper()
	require.Eventually(s.t, is, 20*time.Second, 50*time.Millisecond, what)
}

// entry returns a manual change whose window is relative to now.
func entry(name, subject string, fromIn, toIn time.Duration) map[string]any {
	now := time.Now().UTC()
	return map[string]any{"name": name, "kind": "terms", "subject": map[string]any{"scope": "plans", "names": []string{subject}},
		"from": now.Add(fromIn).Format(planfile.LocalLayout), "to": now.Add(toIn).Format(planfile.LocalLayout), "wave_s": 30,
		"do": map[string]any{"manual": "set the rate"}, "rollback": map[string]any{"manual": "set it back"}}
}

// One change from draft to done, as in the walk-through of docs/calendar.md.
func TestOneChangeFromDraftToDone(t *testing.T) {
	s := startCoordinator(t)
	s.ok("rules", s.file("rules.json", map[string]any{"rules": []any{map[string]any{"kinds": []string{"terms"}, "subject": map[string]any{"scope": "plans"}, "count": 1, "roles": []string{"lead"}}}, "budgets": []any{}}))
	assert.Contains(t, s.ok("rules"), `"lead"`)
	plan := s.file("plan.json", entry("gold to 40 a second", "gold", -2*time.Minute, time.Hour))
	assert.Contains(t, s.ok("plan", plan, "--draft"), "is entry 1")
	assert.Regexp(t, `1@1 +drafted +\S+ \S+ +0 +gold to 40 a second: plans gold`, s.ok("calendar"))
	_, err := s.as("ana", "why", "1")
	var stage *calendar.StageError
	require.ErrorAs(t, err, &stage)
	s.ok("plan", plan, "--edit", "1@1")
	_, err = s.as("ana", "why", "1")
	var approval *calendar.ApprovalError
	require.ErrorAs(t, err, &approval)
	assert.Contains(t, approval.Remedy(), "lead")
	_, err = s.as("ana", "approve", "1", "--role", "lead")
	var own *calendar.SelfApprovalError
	require.ErrorAs(t, err, &own)
	_, err = s.as("bea", "refuse", "1")
	require.Error(t, err, "a refusal needs a reason")
	out, err := s.as("bea", "approve", "1", "--role", "lead")
	require.NoError(t, err)
	assert.Contains(t, out, `{"manual":"set the rate"}`)
	s.eventually("it starts by itself", func() bool { return strings.Contains(s.ok("calendar", "1"), "stage     running") })
	assert.Contains(t, s.ok("steer", "done", "1"), "entry 1 is done")
	history := s.ok("history", "1")
	assert.NotContains(t, history, "1970", "not even for an event of the first second")
	for _, text := range []string{"planned: gold to 40 a second, ana", "approval, bea: lead", "due -> running", "wave 1 of 1 done, ana", "running -> done"} {
		assert.Contains(t, history, text)
	}
	var event calendar.Event
	require.NoError(t, json.Unmarshal([]byte(strings.SplitN(s.ok("history", "--json"), "\n", 2)[0]), &event))
	assert.Equal(t, uint64(1), event.Number)
	assert.NotContains(t, s.ok("calendar"), "gold")
	assert.Contains(t, s.ok("calendar", "--all"), "gold")
	assert.NotContains(t, s.ok("calendar", "--all", "--subject", "plans/silver"), "gold")
	assert.Contains(t, s.ok("calendar", "--all", "--subject", "plans"), "gold")
	assert.Contains(t, s.ok("audit"), "calendar 1: running -> done")
}

func TestConcurrentChangesAreRejected(t *testing.T) {
	s := startCoordinator(t)
	plan := s.file("plan.json", entry("a", "gold", time.Hour, 2*time.Hour))
	s.ok("plan", plan)
	_, err := s.as("bea", "move", "1@1", "--from", "2090-01-01T00:00", "--to", "2090-01-01T01:00")
	require.NoError(t, err)
	// Guards against an operator who approves or steers what an entry has become since it was shown.
	for _, args := range [][]string{{"approve", "1@1"}, {"refuse", "1@1", "--why", "x"}, {"emergency", "1@1", "--second", "dee", "--why", "x"},
		{"saw", "1@1", "--what", "quiet"}, {"steer", "halt", "1@1", "--why", "x"}, {"steer", "done", "1@1"}} {
		var old *calendar.ChangedError
		_, err = s.as("cai", args...)
		require.ErrorAs(t, err, &old, "%v", args)
		assert.Greater(t, old.Is, old.Revision)
	}
	_, err = s.as("cai", "withdraw", "1@1", "--why", "late")
	var changed *calendar.ChangedError
	require.ErrorAs(t, err, &changed)
	assert.Contains(t, changed.Error(), "bea")
	_, err = s.as("cai", "plan", plan, "--edit", "1@1")
	require.ErrorAs(t, err, &changed)
	digest := func() string {
		for _, l := range strings.Split(s.ok("calendar", "1"), "\n") {
			if d, is := strings.CutPrefix(l, "digest    "); is {
				return d
			}
		}
		return ""
	}
	seen := digest()
	require.Len(t, seen, 64)
	s.ok("move", "1", "--from", "2090-01-01T00:00", "--to", "2090-01-01T02:00", "--in", "Europe/Lisbon")
	_, err = s.as("cai", "approve", "1", "--digest", seen)
	require.ErrorAs(t, err, &changed, "an approval is valid only for the digest that was seen")
	_, err = s.as("cai", "approve", "1", "--digest", digest())
	require.NoError(t, err)
	assert.Contains(t, s.ok("withdraw", "1@3", "--why", "late"), "entry 1 is withdrawn")
	_, err = s.as("cai", "steer", "halt", "1", "--why", "x")
	var stage *calendar.StageError
	require.ErrorAs(t, err, &stage)
}

func TestConflictsAreListedWithFreeWindows(t *testing.T) {
	s := startCoordinator(t)
	s.ok("plan", s.file("a.json", entry("a", "gold", time.Hour, 3*time.Hour)))
	second := s.file("b.json", entry("b", "gold", 2*time.Hour, 4*time.Hour))
	out, err := s.as("bea", "plan", second)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Contains(t, out, "in the way  1: ")
	assert.Contains(t, out, "free        ")
	assert.Contains(t, s.ok("next", second), "free        ")
	out, err = s.as("bea", "plan", second, "--anyway")
	require.NoError(t, err)
	assert.Contains(t, out, "is entry 2")
	now := time.Now().UTC()
	freeze := map[string]any{"name": "nights", "subject": map[string]any{"scope": "plans"}, "when": map[string]any{"begin": now.Add(-time.Hour).Format(planfile.LocalLayout), "minutes": 24*60 - 1, "every": "FREQ=DAILY", "in": "UTC"}}
	assert.Contains(t, s.ok("freeze", s.file("f.json", freeze), "--why", "sleep"), "is freeze 3, 4")
	out = s.ok("calendar", "--week", "--in", "Europe/Lisbon")
	assert.Contains(t, out, "freeze 3@1 ")
	assert.Contains(t, out, "Europe/Lisbon")
	third := s.file("c.json", entry("c", "silver", -2*time.Minute, 10*time.Hour))
	out, err = s.as("ana", "plan", third)
	require.ErrorAs(t, err, &conflict)
	assert.Contains(t, out, "nights")
	s.ok("plan", third, "--anyway")
	s.eventually("agreed time", func() bool { return !strings.Contains(s.ok("calendar"), "DOUBT") })
	_, err = s.as("ana", "why", "4")
	var frozen *calendar.FrozenError
	require.ErrorAs(t, err, &frozen)
	assert.Contains(t, frozen.Remedy(), "ana")
	_, err = s.as("ana", "emergency", "4", "--why", "fire", "--second", "ana")
	require.Error(t, err, "two different names are required")
	s.ok("emergency", "4", "--why", "fire", "--second", "bea")
	s.eventually("it ignores the freeze", func() bool { return strings.Contains(s.ok("calendar", "4"), "stage     running") })
	assert.Contains(t, s.ok("calendar"), "EMERGENCY c")
	assert.Contains(t, s.ok("steer", "halt", "4", "--why", "look"), "entry 4 is halted")
	assert.Contains(t, s.ok("steer", "back", "4", "--why", "look"), "entry 4 is going back")
	assert.Contains(t, s.ok("steer", "returned", "4"), "entry 4 is withdrawn")
	_, err = s.as("ana", "thaw", "3@7", "--why", "x")
	var changed *calendar.ChangedError
	require.ErrorAs(t, err, &changed)
	s.ok("thaw", "3", "--why", "x")
	assert.NotContains(t, s.ok("calendar", "--all"), "freeze")
}

func TestAMigrationRunsStepByStep(t *testing.T) {
	s := startCoordinator(t)
	first, second := entry("one", "gold", -2*time.Minute, time.Hour), entry("two", "silver", -2*time.Minute, time.Hour)
	first["kind"], second["kind"] = "migration", "migration"
	second["preconditions"] = []string{"quiet"}
	file := func(steps ...any) string {
		return s.file("m.json", map[string]any{"name": "m", "steps": steps})
	}
	assert.Contains(t, s.ok("migrate", file(first, second)), "is migration 1")
	s.eventually("its first step runs", func() bool { return strings.Contains(s.ok("calendar", "2"), "stage     running") })
	s.ok("steer", "done", "2")
	_, err := s.as("ana", "why", "3")
	var unseen *calendar.PreconditionError
	require.ErrorAs(t, err, &unseen)
	s.ok("saw", "3", "--what", "quiet", "--not", "--says", "three alarms")
	assert.Contains(t, s.ok("calendar", "3"), "three alarms")
	assert.Contains(t, s.ok("history", "3"), "seen quiet: false, ana: three alarms")
	delete(second, "preconditions")
	assert.Contains(t, s.ok("migrate", file(first, second), "--replace", "1@1"), "is migration 1")
	s.eventually("its replacement runs", func() bool { return strings.Contains(s.ok("calendar", "4"), "stage     running") })
	var started *calendar.StepStartedError
	_, err = s.as("ana", "migrate", file(second, first), "--replace", "1")
	require.ErrorAs(t, err, &started)
	s.ok("steer", "back", "4", "--why", "smoke")
	assert.Contains(t, s.ok("calendar"), "migration 1@2 m, going back")
	s.ok("steer", "returned", "4")
	s.ok("steer", "returned", "2")
	assert.Contains(t, s.ok("calendar", "--all"), "migration 1@2 m, withdrawn")
}

func TestTheCalendarsExamplesAreValid(t *testing.T) {
	s := startCoordinator(t)
	s.ok("rules", "../../examples/rules.json")
	assert.Contains(t, s.ok("freeze", "../../examples/freeze.json", "--why", "matches"), "match evenings")
	assert.Contains(t, s.ok("next", "../../examples/entry.json"), "free")
	var m planfile.Migration
	require.NoError(t, planfile.Read("../../examples/migration.json", nil, &m))
	raw, err := os.ReadFile("../../examples/migration.json")
	require.NoError(t, err)
	later := filepath.Join(s.dir, "m.json") // valid on any date
	require.NoError(t, os.WriteFile(later, []byte(strings.ReplaceAll(string(raw), "2026-12-2", fmt.Sprintf("%d-12-2", time.Now().Year()+1))), 0o600))
	assert.Contains(t, s.ok("migrate", later), "is migration")
	var e planfile.Entry
	require.NoError(t, planfile.Read("../../examples/entry.json", nil, &e))
	c, err := e.Change("")
	require.NoError(t, err)
	assert.Equal(t, calendar.Drain, c.Kind)
	assert.Equal(t, 1800e3, c.WaveMs)
}

// The example of docs/migration.md, a migration to another shape of the fleet, has the digests of the files in its directory, and a
// door accepts each of them.
func TestTheExampleOfAShapeMigrationIsValid(t *testing.T) {
	s := startCoordinator(t)
	dir := "../../examples/shape/"
	var m planfile.Migration
	require.NoError(t, planfile.Read(dir+"migration.json", nil, &m))
	own, err := os.ReadFile("../../examples/config.json")
	require.NoError(t, err)
	var watched []bool
	for _, step := range m.Steps {
		do, err := permits.ReadAction(step.Do)
		require.NoError(t, err)
		raw, err := os.ReadFile(dir + step.Name + ".json")
		require.NoError(t, err)
		sum := sha256.Sum256(raw)
		assert.Equal(t, hex.EncodeToString(sum[:]), do.Release.Digest, step.Name)
		whole, err := config.Overlay(own, raw)
		require.NoError(t, err)
		door, err := config.Read(whole, func(string) string { return "" })
		require.NoError(t, err, step.Name)
		watched = append(watched, door.Watch != nil)
	}
	assert.Equal(t, []bool{true, true, false}, watched)
	raw, err := os.ReadFile(dir + "migration.json")
	require.NoError(t, err)
	later := filepath.Join(s.dir, "m.json") // valid on any date
	require.NoError(t, os.WriteFile(later, []byte(strings.ReplaceAll(string(raw), "2026-12-0", fmt.Sprintf("%d-12-0", time.Now().Year()+1))), 0o600))
	assert.Contains(t, s.ok("migrate", later), "is migration 1")
	out := s.ok("calendar", "--all")
	assert.Contains(t, out, "watch: doors")
	assert.Contains(t, out, "clear-up: doors")
}

func TestNumbersAreCompleted(t *testing.T) {
	s := startCoordinator(t)
	s.ok("plan", s.file("a.json", entry("first", "gold", time.Hour, 3*time.Hour)))
	s.ok("plan", s.file("b.json", entry("second", "silver", time.Hour, 3*time.Hour)))
	s.ok("withdraw", "2", "--why", "x")
	out, err := run("__complete", "--at", s.address, "why", "")
	require.NoError(t, err)
	assert.Contains(t, out, "1\tfirst, approved")
	assert.NotContains(t, out, "second", "it has ended")
}

func TestInvalidCalendarFilesAndNumbersAreRejected(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) string {
		path := filepath.Join(dir, "x.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	t.Setenv("USER", "ana")
	for text, kind := range map[string]remedy.Kind{
		`{"name":"x","wave_ms":3}`:                                remedy.Configuration,
		`{"name":"x","from":"yesterday","to":"2090-01-01T00:00"}`: remedy.Refused,
		`{"name":"x","in":"Nowhere/Land"}`:                        remedy.Usage,
		`{"name":"x","in":"Local"}`:                               remedy.Usage,
		`{"name":"x"} {"name":"y"}`:                               remedy.Configuration,
		`[]`:                                                      remedy.Configuration,
	} {
		for _, of := range []string{"plan", "next"} {
			_, err := run(of, write(text), "--at", "c/127.0.0.1:1", "--patience", "100ms")
			require.Error(t, err, text)
			assert.Equal(t, kind, remedy.Typed(err)[0].Kind(), "%s %s: %v", of, text, err)
		}
	}
	_, err := run("migrate", write(`{"name":"m","steps":[{"name":"x","from":"a","to":"b"}]}`), "--at", "c/127.0.0.1:1")
	var step *StepError
	require.ErrorAs(t, err, &step)
	assert.Equal(t, 1, step.Step)
	for _, number := range []string{"x", "0", "7@", "7@0", "-1"} {
		_, err := run("calendar", "--at", "c/127.0.0.1:1", "--patience", "100ms", "--", number)
		var wrong *NumberError
		assert.ErrorAs(t, err, &wrong, number)
	}
	_, err = run("plan", "nowhere.json", "--at", "c/127.0.0.1:1")
	var file *planfile.FileError
	assert.ErrorAs(t, err, &file)
}

// BenchmarkTenThousandEntries measures the operators' commands on a calendar with ten thousand entries.
func BenchmarkTenThousandEntries(b *testing.B) {
	s := startCoordinator(b)
	steps := make([]any, 100)
	for m := range 100 {
		for i := range steps {
			e := entry(fmt.Sprintf("entry %d of %d", i, m), fmt.Sprint("plan-", m, "-", i), 100*time.Hour, 200*time.Hour)
			e["kind"] = "migration"
			steps[i] = e
		}
		s.ok("migrate", s.file("m.json", map[string]any{"name": fmt.Sprint("m", m), "steps": steps}))
	}
	for name, args := range map[string][]string{"calendar": {"calendar", "--all"}, "one": {"calendar", "500"}, "status": {"status"},
		"plan": {"plan", s.file("p.json", entry("x", "y", time.Hour, 3*time.Hour)), "--anyway"}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s.ok(args...)
			}
		})
	}
}
