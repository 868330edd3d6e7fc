package release

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	digest = strings.Repeat("ab", 32)
	other  = strings.Repeat("cd", 32)
)

func plan(name string) Plan {
	return Plan{Name: name, Changes: Configuration, Digest: digest, Waves: []Wave{{Count: 1}, {EachZone: 1}, {Share: 0.25}, {Rest: true}}}
}

// nineDoors returns nine doors in three zones.
func nineDoors() (all []Unit) {
	for i := range 9 {
		all = append(all, Unit{fmt.Sprint("d", i), fmt.Sprint("z", i%3)})
	}
	return all
}

func apply(t *testing.T, s *State, command any) uint64 {
	n, _, err := s.Apply(command, nineDoors(), nil)
	require.NoError(t, err)
	return n
}

func reportDigest(t *testing.T, s *State, digest string, doors ...string) {
	for _, d := range doors {
		apply(t, s, ReportVersions{Door: d, Runs: Versions{Configuration: digest}})
	}
}

func doorsToChange(s *State) (names []string) {
	for _, d := range nineDoors() {
		if _, _, is := s.Target(d.Name); is {
			names = append(names, d.Name)
		}
	}
	return names
}

func TestWavesRunInOrderAndRollBackInReverse(t *testing.T) {
	s := New()
	n := apply(t, s, Start{Plan: plan("r1"), Who: "ana"})
	r := s.Find("r1")
	assert.Equal(t, [][]string{{"d0"}, {"d3", "d1", "d2"}, {"d6", "d4"}, {"d7", "d5", "d8"}}, r.UnitsByWave)
	assert.Equal(t, []string{"d0"}, doorsToChange(s))
	_, _, err := s.Apply(RecordVerdict{n, 0, Verdict{GoOn, ""}}, nineDoors(), nil)
	var stage *StageError
	require.ErrorAs(t, err, &stage, "not all doors of the wave run the version")
	reportDigest(t, s, digest, "d0")
	assert.Empty(t, doorsToChange(s), "the wave is being observed")
	apply(t, s, RecordVerdict{n, 0, Verdict{GoOn, "well"}})
	assert.Equal(t, []string{"d1", "d2", "d3"}, doorsToChange(s))
	back, err := s.CheckChange(n, "d1")
	require.NoError(t, err)
	assert.False(t, back)
	_, err = s.CheckChange(n, "d8")
	require.ErrorAs(t, err, &stage)
	reportDigest(t, s, digest, "d1", "d2")
	apply(t, s, Steer{"r1", ToHalt, "bea", "errors"})
	assert.Empty(t, doorsToChange(s), "a halted release changes no further doors")
	_, err = s.CheckChange(n, "d3")
	require.ErrorAs(t, err, &stage)
	apply(t, s, Steer{"r1", ToBack, "bea", "errors"})
	assert.Equal(t, []string{"d1", "d2"}, doorsToChange(s), "the latest wave rolls back first")
	back, err = s.CheckChange(n, "d1")
	require.NoError(t, err)
	assert.True(t, back)
	reportDigest(t, s, "", "d1", "d2")
	assert.Equal(t, []string{"d0"}, doorsToChange(s))
	reportDigest(t, s, "", "d0")
	assert.Equal(t, RolledBack, r.Stage)
	_, _, err = s.Apply(Steer{"r1", ToResume, "bea", ""}, nineDoors(), nil)
	require.ErrorAs(t, err, &stage)
}

func TestFailedInstallRollsReleaseBack(t *testing.T) {
	s := New()
	n := apply(t, s, Start{Plan: plan("r1")})
	reportDigest(t, s, digest, "d0")
	apply(t, s, RecordVerdict{n, 0, Verdict{GoOn, ""}})
	reportDigest(t, s, digest, "d3")
	apply(t, s, ReportVersions{Door: "d1", Runs: Versions{}, Failed: map[string]string{digest: "key settings: missing"}})
	r := s.Find("r1")
	assert.Equal(t, RollingBack, r.Stage)
	assert.Contains(t, r.Reason, "d1: key settings")
	assert.Equal(t, []string{"d3"}, doorsToChange(s))
	reportDigest(t, s, "", "d3", "d0")
	assert.Equal(t, RolledBack, r.Stage)
}

func TestReleaseWaitsForOrSupersedesOverlappingOne(t *testing.T) {
	s := New()
	apply(t, s, Start{Plan: plan("r1")})
	reportDigest(t, s, digest, "d0")
	second := plan("r2")
	second.Digest = other
	apply(t, s, Start{Plan: second})
	assert.Equal(t, Waiting, s.Find("r2").Stage, "another release has its doors")
	third := plan("r3")
	third.Digest, third.Supersedes = other, "r1"
	third.Doors = []string{"d0", "d1"}
	apply(t, s, Start{Plan: third})
	assert.Equal(t, Replaced, s.Find("r1").Stage)
	r := s.Find("r3")
	assert.Equal(t, Running, r.Stage)
	assert.Equal(t, "", r.Previous["d0"], "rollback skips the superseded release, which never passed")
	assert.Equal(t, Waiting, s.Find("r2").Stage)
	apply(t, s, Steer{"r3", ToBack, "ana", ""})
	reportDigest(t, s, "", "d0")
	assert.Equal(t, RolledBack, r.Stage)
	assert.Equal(t, Running, s.Find("r2").Stage, "its doors are free now")
	var name *NameError
	_, _, err := s.Apply(Start{Plan: second}, nineDoors(), nil)
	require.ErrorAs(t, err, &name)
	unknown := plan("r4")
	unknown.Supersedes = "r3"
	_, _, err = s.Apply(Start{Plan: unknown}, nineDoors(), nil)
	var bad *PlanError
	require.ErrorAs(t, err, &bad)
	_, _, err = s.Apply(Steer{"r9", ToHalt, "", ""}, nineDoors(), nil)
	var none *UnknownError
	require.ErrorAs(t, err, &none)
}

func TestInvalidPlanErrorNamesKey(t *testing.T) {
	for key, text := range map[string]string{
		"name": `{}`, "changes": `{"name":"x","changes":"weather"}`, "digest": `{"name":"x","changes":"program","digest":"abc"}`,
		"waves":         `{"name":"x","changes":"program","digest":"` + digest + `"}`,
		"waves[0]":      `{"name":"x","changes":"program","digest":"` + digest + `","waves":[{"count":1,"rest":true}]}`,
		"waves[0].rest": `{"name":"x","changes":"program","digest":"` + digest + `","waves":[{"count":1}]}`,
	} {
		_, err := Read(strings.NewReader(text))
		var bad *PlanError
		require.ErrorAs(t, err, &bad, key)
		assert.Equal(t, key, bad.Key)
		assert.Contains(t, bad.Remedy(), "docs/releases.md")
	}
	_, err := Read(strings.NewReader(`{"nom":1}`))
	assert.ErrorContains(t, err, "nom")
	p, err := Read(strings.NewReader(`{"name":"x","changes":"program","digest":"` + digest + `","waves":[{"share":0.1,"watch_s":60},{"rest":true}]}`))
	require.NoError(t, err)
	assert.Equal(t, 60.0, p.Waves[0].WatchS)
}

func TestOldEndedReleasesAreDropped(t *testing.T) {
	s := New()
	for i := range 2 * maxKeptReleases {
		name := fmt.Sprint("r", i)
		apply(t, s, Start{Plan: plan(name)})
		apply(t, s, Steer{name, ToBack, "ana", ""})
		assert.Equal(t, RolledBack, s.Find(name).Stage)
	}
	assert.Len(t, s.All, maxKeptReleases)
}

func TestBackendReleaseRunsByWaves(t *testing.T) {
	s := New()
	for i := range 9 {
		s.RecordProcess(fmt.Sprint("d", i), "100")
	}
	p := Plan{Name: "kernel", Changes: Backends, Waves: []Wave{{Count: 2}, {Rest: true}}}
	n, _, err := s.Apply(Start{Plan: p, Who: "ana"}, nil, nineDoors())
	require.NoError(t, err)
	r := s.Find("kernel")
	assert.Equal(t, []string{"d0", "d1"}, s.DueBackends(r))
	_, _, is := s.Target("d0")
	assert.False(t, is, "a release of backends changes no door")
	s.RecordProcess("d0", "200")
	s.RecordProcess("d1", "100")
	assert.Equal(t, []string{"d1"}, s.DueBackends(r))
	s.RecordProcess("d1", "201")
	assert.True(t, s.WaveComplete(r))
	_, _, err = s.Apply(RecordVerdict{n, 0, Verdict{GoOn, ""}}, nil, nineDoors())
	require.NoError(t, err)
	assert.Len(t, s.DueBackends(r), 7)
	_, _, err = s.Apply(Steer{"kernel", ToBack, "ana", ""}, nil, nineDoors())
	require.NoError(t, err)
	assert.Empty(t, s.DueBackends(r))
	assert.Equal(t, RolledBack, r.Stage)
	p.Digest = digest
	var bad *PlanError
	require.ErrorAs(t, p.Check(), &bad)
}

// doneRelease returns a state with a release that all nine doors run.
func doneRelease(t *testing.T) (*State, *Release) {
	s := New()
	for _, d := range nineDoors() {
		reportDigest(t, s, "", d.Name)
	}
	p := plan("r1")
	p.Waves = []Wave{{Rest: true}}
	n := apply(t, s, Start{Plan: p})
	for _, d := range nineDoors() {
		reportDigest(t, s, digest, d.Name)
	}
	apply(t, s, RecordVerdict{n, 0, Verdict{GoOn, "well"}})
	r := s.Find("r1")
	require.Equal(t, Done, r.Stage)
	require.Empty(t, s.Differences())
	return s, r
}

// Guards against a release that stays done while a door is back on its old version for good, as its process ended soon after the change.
func TestDoorThatGoesBackByItselfSendsADoneReleaseBack(t *testing.T) {
	s, r := doneRelease(t)
	apply(t, s, ReportVersions{Door: "d4", Runs: Versions{}, Failed: map[string]string{digest: "its process ended by itself: signal: killed"}})
	assert.Equal(t, RollingBack, r.Stage)
	assert.Contains(t, r.Reason, "d4: its process ended")
	assert.Len(t, doorsToChange(s), 8)
	for _, d := range doorsToChange(s) {
		reportDigest(t, s, "", d)
	}
	assert.Equal(t, RolledBack, r.Stage)
	assert.Empty(t, s.Differences())
}

// Guards against a door that is back on its old version for good, as its holder could not write down what it runs.
func TestDoorThatHasLostADoneReleaseTakesItAgain(t *testing.T) {
	s, r := doneRelease(t)
	reportDigest(t, s, "", "d4")
	assert.Equal(t, []string{"d4"}, s.Differences())
	assert.Equal(t, []string{"d4"}, doorsToChange(s))
	_, err := s.CheckChange(r.Number, "d4")
	require.NoError(t, err)
	s.BeginChange(r.Number, "d4", 7)
	assert.Empty(t, s.Differences(), "it is being mended")
	reportDigest(t, s, digest, "d4")
	assert.Empty(t, s.Differences())
	assert.Empty(t, doorsToChange(s))
	assert.Equal(t, Done, r.Stage)
}

// A machine without the released file must not take a release that is done from all others.
func TestDoorThatCannotTakeADoneReleaseAgainConcernsOnlyItself(t *testing.T) {
	s, r := doneRelease(t)
	reportDigest(t, s, "", "d4")
	s.BeginChange(r.Number, "d4", 7)
	apply(t, s, ReportVersions{Door: "d4", Runs: Versions{}, Failed: map[string]string{digest: "no such file"}})
	assert.Equal(t, Done, r.Stage)
	assert.Contains(t, r.Reason, "d4: no such file")
	assert.Empty(t, doorsToChange(s), "not again and again")
	assert.Equal(t, []string{"d4"}, s.Differences(), "shown for as long as it lasts")
}

// What was taken back later is not given again by a release that was done before or after it.
func TestDoneReleaseDoesNotReturnAfterAnotherWasTakenBack(t *testing.T) {
	for _, taken := range []string{"r1", "r2"} {
		s, _ := doneRelease(t)
		second := plan("r2")
		second.Digest, second.Waves = other, []Wave{{Rest: true}}
		n := apply(t, s, Start{Plan: second})
		for _, d := range nineDoors() {
			reportDigest(t, s, other, d.Name)
		}
		apply(t, s, RecordVerdict{n, 0, Verdict{GoOn, "well"}})
		want := map[string]string{"r1": "", "r2": digest}[taken]
		apply(t, s, Steer{taken, ToBack, "ana", "x"})
		for _, d := range nineDoors() {
			reportDigest(t, s, want, d.Name)
		}
		assert.Equal(t, RolledBack, s.Find(taken).Stage)
		assert.Empty(t, doorsToChange(s), taken)
		assert.Empty(t, s.Differences(), taken)
	}
}
