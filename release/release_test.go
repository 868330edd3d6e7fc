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

// nine doors in three zones.
func nine() (all []Door) {
	for i := range 9 {
		all = append(all, Door{fmt.Sprint("d", i), fmt.Sprint("z", i%3)})
	}
	return all
}

func do(t *testing.T, s *State, command any) uint64 {
	n, _, err := s.Do(command, nine(), nil)
	require.NoError(t, err)
	return n
}

func take(t *testing.T, s *State, digest string, doors ...string) {
	for _, d := range doors {
		do(t, s, Took{Door: d, Runs: Versions{Configuration: digest}})
	}
}

func wanted(s *State) (names []string) {
	for _, d := range nine() {
		if _, _, is := s.Wanted(d.Name); is {
			names = append(names, d.Name)
		}
	}
	return names
}

func TestWavesFollowEachOtherAndTheWayBackIsTheReverse(t *testing.T) {
	s := New()
	n := do(t, s, Start{Plan: plan("r1"), Who: "ana"})
	r := s.Find("r1")
	assert.Equal(t, [][]string{{"d0"}, {"d3", "d1", "d2"}, {"d6", "d4"}, {"d7", "d5", "d8"}}, r.UnitsByWave)
	assert.Equal(t, []string{"d0"}, wanted(s))
	_, _, err := s.Do(RecordVerdict{n, 0, Verdict{GoOn, ""}}, nine(), nil)
	var stage *StageError
	require.ErrorAs(t, err, &stage, "not all of the wave has taken it")
	take(t, s, digest, "d0")
	assert.Empty(t, wanted(s), "it is watched")
	do(t, s, RecordVerdict{n, 0, Verdict{GoOn, "well"}})
	assert.Equal(t, []string{"d1", "d2", "d3"}, wanted(s))
	back, err := s.MayTake(n, "d1")
	require.NoError(t, err)
	assert.False(t, back)
	_, err = s.MayTake(n, "d8")
	require.ErrorAs(t, err, &stage)
	take(t, s, digest, "d1", "d2")
	do(t, s, Steer{"r1", ToHalt, "bea", "errors"})
	assert.Empty(t, wanted(s), "some of the wave are between the two")
	_, err = s.MayTake(n, "d3")
	require.ErrorAs(t, err, &stage)
	do(t, s, Steer{"r1", ToBack, "bea", "errors"})
	assert.Equal(t, []string{"d1", "d2"}, wanted(s), "the latest first")
	back, err = s.MayTake(n, "d1")
	require.NoError(t, err)
	assert.True(t, back)
	take(t, s, "", "d1", "d2")
	assert.Equal(t, []string{"d0"}, wanted(s))
	take(t, s, "", "d0")
	assert.Equal(t, RolledBack, r.Stage)
	_, _, err = s.Do(Steer{"r1", ToResume, "bea", ""}, nine(), nil)
	require.ErrorAs(t, err, &stage)
}

func TestADoorThatCantTakeItSendsAllBack(t *testing.T) {
	s := New()
	n := do(t, s, Start{Plan: plan("r1")})
	take(t, s, digest, "d0")
	do(t, s, RecordVerdict{n, 0, Verdict{GoOn, ""}})
	take(t, s, digest, "d3")
	do(t, s, Took{Door: "d1", Runs: Versions{}, Failed: map[string]string{digest: "key settings: missing"}})
	r := s.Find("r1")
	assert.Equal(t, Back, r.Stage)
	assert.Contains(t, r.Reason, "d1: key settings")
	assert.Equal(t, []string{"d3"}, wanted(s))
	take(t, s, "", "d3", "d0")
	assert.Equal(t, RolledBack, r.Stage)
}

func TestOneReleaseForEachPartOfTheFleet(t *testing.T) {
	s := New()
	do(t, s, Start{Plan: plan("r1")})
	take(t, s, digest, "d0")
	second := plan("r2")
	second.Digest = other
	do(t, s, Start{Plan: second})
	assert.Equal(t, Waiting, s.Find("r2").Stage, "it waits")
	third := plan("r3")
	third.Digest, third.Over = other, "r1"
	third.Doors = []string{"d0", "d1"}
	do(t, s, Start{Plan: third})
	assert.Equal(t, Replaced, s.Find("r1").Stage)
	r := s.Find("r3")
	assert.Equal(t, Running, r.Stage)
	assert.Equal(t, "", r.Previous["d0"], "the way back leads behind what was never judged well")
	assert.Equal(t, Waiting, s.Find("r2").Stage)
	do(t, s, Steer{"r3", ToBack, "ana", ""})
	take(t, s, "", "d0")
	assert.Equal(t, RolledBack, r.Stage)
	assert.Equal(t, Running, s.Find("r2").Stage, "its turn has come")
	var name *NameError
	_, _, err := s.Do(Start{Plan: second}, nine(), nil)
	require.ErrorAs(t, err, &name)
	unknown := plan("r4")
	unknown.Over = "r3"
	_, _, err = s.Do(Start{Plan: unknown}, nine(), nil)
	var bad *PlanError
	require.ErrorAs(t, err, &bad)
	_, _, err = s.Do(Steer{"r9", ToHalt, "", ""}, nine(), nil)
	var none *UnknownError
	require.ErrorAs(t, err, &none)
}

func TestAPlanThatCantBeUsedIsNamedByKey(t *testing.T) {
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

func TestOnlySoManyReleasesAreRemembered(t *testing.T) {
	s := New()
	for i := range 2 * kept {
		name := fmt.Sprint("r", i)
		do(t, s, Start{Plan: plan(name)})
		do(t, s, Steer{name, ToBack, "ana", ""})
		assert.Equal(t, RolledBack, s.Find(name).Stage)
	}
	assert.Len(t, s.All, kept)
}

func TestBackendsAreReplacedWaveByWave(t *testing.T) {
	s := New()
	for i := range 9 {
		s.Saw(fmt.Sprint("d", i), "100")
	}
	p := Plan{Name: "kernel", Changes: Backends, Waves: []Wave{{Count: 2}, {Rest: true}}}
	n, _, err := s.Do(Start{Plan: p, Who: "ana"}, nil, nine())
	require.NoError(t, err)
	r := s.Find("kernel")
	assert.Equal(t, []string{"d0", "d1"}, s.Due(r))
	_, _, is := s.Wanted("d0")
	assert.False(t, is, "no door is to change")
	s.Saw("d0", "200")
	s.Saw("d1", "100")
	assert.Equal(t, []string{"d1"}, s.Due(r))
	s.Saw("d1", "201")
	assert.True(t, s.Whole(r))
	_, _, err = s.Do(RecordVerdict{n, 0, Verdict{GoOn, ""}}, nil, nine())
	require.NoError(t, err)
	assert.Len(t, s.Due(r), 7)
	_, _, err = s.Do(Steer{"kernel", ToBack, "ana", ""}, nil, nine())
	require.NoError(t, err)
	assert.Empty(t, s.Due(r))
	assert.Equal(t, RolledBack, r.Stage)
	p.Digest = digest
	var bad *PlanError
	require.ErrorAs(t, p.Check(), &bad)
}
