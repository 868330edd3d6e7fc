package permits

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/release"
)

// drawCommand draws a random command about a few doors.
func drawCommand(t *rapid.T, n int, seq map[string]uint64) Command {
	i := rapid.IntRange(0, 5).Draw(t, "door")
	caller := rapid.SampledFrom([]string{"d0", "d1", "d2", "op", "watch"}).Draw(t, "caller")
	number := rapid.Uint64Range(0, 6).Draw(t, "number")
	how := Standing(rapid.IntRange(0, 3).Draw(t, "standing"))
	incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	planned := drainChange(Door, unit(i).Name, float64(i%2)*5)
	if i == 3 {
		planned.Preconditions = []string{"quiet"}
	}
	do := rapid.SampledFrom([]any{
		SetBudgets{Budgets: []Budget{{Kind: Door, MaxOut: 2}, {Kind: Door, Zone: EachZone, MaxOut: 1, MinGapMs: 10}, {Kind: Zone, MaxOut: 1}}},
		Begin{unit(i), incarnation}, Drain{Door, unit(i).Name, "op", "why", float64(n), 0}, Undrain{Door, unit(i).Name, "op", "why"}, Drain{Zone, "z1", "op", "why", 0, 0}, Undrain{Zone, "z1", "op", ""},
		Leadership{Name: "c1", API: "a", Epoch: 7, Restored: true}, release.ReportVersions{Door: unit(i).Name, Runs: release.Versions{release.Program: "x"}},
		release.ReportVersions{Door: unit(i).Name, Runs: release.Versions{release.Program: ""}, Failed: map[string]string{strings.Repeat("0", 64): "no such file"}},
		release.Start{Plan: release.Plan{Name: "r", Changes: release.Program, Digest: strings.Repeat("0", 64), Waves: []release.Wave{{Rest: true}}}, Who: "op"},
		release.RecordVerdict{Number: 1, Verdict: release.Verdict{Outcome: release.GoOn}}, release.Steer{Name: "r", To: release.ToBack, Who: "op"}, Forget{Door, unit(i).Name, "op", "gone"},
		RecordSightings{[]Sighting{sighting(i, how, incarnation)}}, RecordSightings{[]Sighting{sighting(0, Ready, 1), sighting(1, Ready, 1), sighting(2, Ready, 1), sighting(3, Ready, 1)}},
		SelfReport{sighting(i, how, incarnation), number}, RequestPermit{unit(i).Name, Door, "op", "why", 50, uint64(i % 2)}, Confirm{number, incarnation, incarnation * 100}, Withdraw{number},
		calendar.ReportClock{Name: fmt.Sprint("c", i%3), WallMs: wallStartMs + float64(n), Size: 3}, calendar.Plan{Change: planned, Who: "ana"},
		calendar.Plan{Change: releaseChange("r"), Who: "ana"}, calendar.Start{ID: number}, calendar.Halt{ID: number, Who: "op", Why: "x"}, calendar.Resume{ID: number, Who: "op"},
		calendar.RollBack{ID: number, Who: "op", Why: "x"}, calendar.Withdraw{ID: number, Revision: 1, Who: "op"}, calendar.SetRules{Rules: []calendar.Rule{{Subject: calendar.Subject{Scope: calendar.Doors}, Count: 1}}, Who: "bea"},
		calendar.SetFreeze{Freeze: calendar.Freeze{Name: "f", Subject: calendar.Subject{Scope: calendar.Doors, Names: []string{unit(i).Name}}, Spans: []calendar.Span{window(float64(n), float64(n)+10)}, RunningPolicy: calendar.RollBackAtOnce, Who: "bea", Why: "x"}},
		calendar.Thaw{ID: number, Revision: 1, Who: "bea"}, calendar.Migrate{Name: "m", Steps: []calendar.Change{drainChange(Door, unit(i).Name, 0)}, Who: "ana"}, calendar.RevertMigration{ID: number, Who: "ana", Why: "x"},
		calendar.Restored{Who: "op"}, calendar.Acknowledge{Number: number},
		WriteOff{number, "op", "gone"}, Halt{Zone: "z0", Who: "op", Why: "x"}, Resume{Zone: "z0", Who: "op"}, Note{"coordinator added: c4", "op", "x"},
		calendar.Edit{ID: number, Revision: incarnation, Change: drainChange(Door, unit(i).Name, 7), Who: "ana", Draft: i == 0},
		calendar.Approve{ID: number, Digest: planned.Digest(), Who: "bea", Role: "lead"},
		calendar.Refuse{ID: number, Digest: planned.Digest(), Who: "bea", Why: "x"},
		calendar.DeclareEmergency{ID: number, Emergency: calendar.Emergency{Who: "ana", Why: "x"}},
		calendar.ExtendFreeze{ID: number, Revision: 1, Spans: []calendar.Span{window(float64(n), hourMs)}, ThroughMs: wallStartMs + hourMs}, calendar.WaveDone{ID: number, Wave: 1, Who: "op"},
		calendar.Observe{ID: number, What: "quiet", Passed: i > 0, Detail: "x", Who: "op"}, calendar.RolledBack{ID: number, Who: "op"},
		calendar.ReplaceSteps{ID: number, Revision: 1, Steps: []calendar.Change{drainChange(Door, unit(i).Name, 5)}, Who: "ana"},
	}).Draw(t, "do")
	if rapid.IntRange(0, 9).Draw(t, "repeat") > 0 {
		seq[caller]++
	}
	at := float64(n) + rapid.Float64Range(-20, 20).Draw(t, "clock")
	return Command{caller, seq[caller], at, at, do}
}

func TestCoordinatorsReachTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, seq := New(), New(), map[string]uint64{}
		for n := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t, n, seq)
			raw, err := json.Marshal(c)
			require.NoError(t, err)
			var read Command
			require.NoError(t, json.Unmarshal(raw, &read))
			assert.Equal(t, c, read)
			mine, theirs := a.Apply(c), b.Apply(read)
			assert.Equal(t, mine, theirs)
			encoded, err := json.Marshal(mine)
			require.NoError(t, err)
			var again Answer
			require.NoError(t, json.Unmarshal(encoded, &again))
			assert.Equal(t, mine, again)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 { // one of them restarts from its snapshot
				var disk bytes.Buffer
				require.NoError(t, b.Save(&disk))
				b, err = Load(&disk)
				require.NoError(t, err)
			}
		}
		x, err := json.Marshal(a)
		require.NoError(t, err)
		y, err := json.Marshal(b)
		require.NoError(t, err)
		assert.JSONEq(t, string(x), string(y))
		// Each unit has at most one permit, and permit numbers are below the next one.
		seen := map[string]bool{}
		for n, p := range a.Permits {
			assert.Less(t, n, a.Next)
			assert.False(t, seen[p.Unit.Name])
			seen[p.Unit.Name] = true
		}
	})
}

// Guards against coordinators that end with a panic once they have loaded a snapshot, as what is loaded is not what was saved
// (review/1). One copy of the state is saved and loaded after every command.
func TestLoadedStateIsTheSavedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept, loaded, seq := New(), New(), map[string]uint64{}
		for n := range rapid.IntRange(1, 60).Draw(t, "commands") {
			var c Command // as it comes from the log
			raw, err := json.Marshal(drawCommand(t, n, seq))
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(raw, &c))
			require.Equal(t, kept.Apply(c), loaded.Apply(c))
			var disk bytes.Buffer
			require.NoError(t, loaded.Save(&disk))
			loaded, err = Load(&disk)
			require.NoError(t, err)
			for id, entry := range kept.Calendar.Entries {
				require.Equal(t, entry.Digest(), loaded.Calendar.Entries[id].Digest(), "also fills in what both compute once")
			}
			require.Equal(t, kept, loaded)
		}
	})
}

// The random commands cover every type that the log may hold.
func TestEveryCommandIsDrawn(t *testing.T) {
	drawn := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		for n := range 60 {
			drawn[namesByType[reflect.TypeOf(drawCommand(t, n, map[string]uint64{}).Do)]] = true
		}
	})
	for name, is := range typesByName {
		if !reflect.PointerTo(is).Implements(reflect.TypeFor[error]()) {
			assert.True(t, drawn[name], name)
		}
	}
}

func TestDamagedOrNewerStateIsRefused(t *testing.T) {
	s := newSite(3)
	var disk bytes.Buffer
	require.NoError(t, s.Save(&disk))
	saved := disk.String()
	_, err := Load(strings.NewReader(saved))
	require.NoError(t, err)
	var newer *VersionError
	_, err = Load(strings.NewReader(strings.Replace(saved, `"version":2`, `"version":3`, 1)))
	require.ErrorAs(t, err, &newer)
	assert.Contains(t, newer.Remedy(), "newer release")
	var damaged *ChecksumError
	_, err = Load(strings.NewReader(strings.Replace(saved, `"Next":1`, `"Next":7`, 1)))
	require.ErrorAs(t, err, &damaged)
	var form *FormatError
	_, err = Load(strings.NewReader(saved[:len(saved)/2]))
	require.ErrorAs(t, err, &form)
	for _, bad := range []string{`{"do":{"is":"dance"}}`, `{"do":{"is":"denied","of":{}}}`, `{"do":{"is":"ask","of":3}}`, `[]`} {
		var c Command
		assert.ErrorAs(t, json.Unmarshal([]byte(bad), &c), &form, bad)
	}
	var a Answer
	assert.ErrorAs(t, json.Unmarshal([]byte(`{"error":{"is":"ask","of":{}}}`), &a), &form)
	_, err = json.Marshal(Command{Do: 3})
	assert.Error(t, err)
}
