package scenario

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimalScenario = `
name = "small"
[[profile]]
name = "look"
work_ms = 50.0
contract_ms = 500.0
outer_ms = 2000.0
[[plan]]
name = "basic"
per_s = 2.0
depth = 4.0
`

func TestErrorNamesKey(t *testing.T) {
	_, err := Read([]byte(minimalScenario))
	require.NoError(t, err)
	for more, key := range map[string]string{
		"\n[load]\nshape = \"zigzag\"":                                                                          `"load.shape"`,
		"\n[load]\nshaep = \"wave\"":                                                                            `"load.shaep"`,
		"\n[fleet]\ndoors = 0":                                                                                  `"fleet.doors"`,
		"\n[net]\njitter = 2.0":                                                                                 `"net.jitter"`,
		"\n[net]\nsame_ms = [3.0, 1.0]":                                                                         `"net.same_ms"`,
		"\n[[fault]]\nkind = \"gremlins\"\nat_s = 1.0\nfor_s = 1.0":                                             `"fault[0].kind"`,
		"\n[[fault]]\nkind = \"hang\"\nat_s = 1.0":                                                              `"fault[0].for_s"`,
		"\n[[fault]]\nkind = \"hang\"\nat_s = 99.0\nfor_s = 1.0":                                                `"fault[0].at_s"`,
		"\n[[fault]]\nkind = \"slow\"\nat_s = 1.0\nfor_s = 1.0\nmuch = 0.5":                                     `"fault[0].much"`,
		"\n[[fault]]\nkind = \"counter_down\"\nat_s = 1.0\nfor_s = 1.0":                                         `counter.on is false`,
		"\n[[fault]]\nkind = \"zone_cut\"\nat_s = 1.0\nfor_s = 1.0\nzone = 7":                                   `"fault[0].zone"`,
		"\n[[profile]]\nname = \"look\"\nwork_ms = 5.0\ncontract_ms = 50.0\nouter_ms = 200.0":                   `"profile[1].name"`,
		"\n[[profile]]\nname = \"b\"\nshare = -1.0\nwork_ms = 5.0\ncontract_ms = 50.0\nouter_ms = 200.0":        `"profile[1].share"`,
		"\n[[profile]]\nname = \"b\"\nsemantics = \"odd\"\nwork_ms = 5.0\ncontract_ms = 50.0\nouter_ms = 200.0": `"profile[1].semantics"`,
		"\n[[plan]]\nname = \"basic\"\nper_s = 2.0\ndepth = 4.0":                                                `"plan[1].name"`,
		"\n[day]\nseconds = nan":                                                                                `"day.seconds"`,
	} {
		_, err := Read([]byte(minimalScenario + more))
		assert.ErrorContains(t, err, key, more)
	}
}

func TestConflictingFaultsAreRejectedWithBothKeys(t *testing.T) {
	two := "\n[[fault]]\nkind = \"death\"\nat_s = 1.0\nfor_s = 5.0\n[[fault]]\nkind = \"silence\"\nfor_s = 5.0\nat_s = "
	_, err := Read([]byte(minimalScenario + two + "4.0"))
	assert.ErrorContains(t, err, `keys "fault[0]" and "fault[1]"`)
	_, err = Read([]byte(minimalScenario + two + "6.0"))
	assert.NoError(t, err, "faults one after the other do not conflict")
}

func TestSetChangesKeyByName(t *testing.T) {
	s, err := Read([]byte(minimalScenario + "\n[[fault]]\nkind = \"slow\"\nat_s = 1.0\nfor_s = 1.0\nmuch = 2.0"))
	require.NoError(t, err)
	for key, value := range map[string]string{"load.share": "0.7", "fault[0].much": "3", "net.same_ms": "0.5:2", "fleet.doors": "5"} {
		s, err = s.Set(key, value)
		require.NoError(t, err, key)
	}
	assert.Equal(t, 0.7, s.Load.Share)
	assert.Equal(t, 3.0, s.Faults[0].Much)
	assert.Equal(t, Span{0.5, 2}, s.Net.SameMs)
	assert.Equal(t, 5, s.Fleet.Doors)
	_, err = s.Set("load.shaer", "1")
	assert.ErrorContains(t, err, `"load.shaer"`)
	_, err = s.Set("fleet.doors", "many")
	assert.Error(t, err)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(minimalScenario))
	if calm, err := os.ReadFile("../scenarios/sick-backends.toml"); err == nil {
		f.Add(calm)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Read(raw)
		if err != nil {
			return
		}
		again, err := s.Clone()
		require.NoError(t, err, "an accepted scenario can be written and read again")
		assert.Equal(t, s, again)
	})
}
