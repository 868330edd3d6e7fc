package tally

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const doorLog = `time="2026-12-01T20:55:08Z" level=info msg=serving door=n0 listen="10.0.0.1:8000"
5.016 time="2026-12-01T20:55:13Z" level=info msg=account arrived=10 sent=8 rejected_over_part=2
10.016 time="2026-12-01T20:55:18Z" level=info msg=account arrived=4 sent=4
`

func TestAccountsAddUpByWindowOfEachIncarnation(t *testing.T) {
	var f Fleet
	require.NoError(t, f.AddLog(strings.NewReader(doorLog+doorLog)))
	require.NoError(t, f.AddLog(strings.NewReader(doorLog)))
	assert.Equal(t, 3, f.Incarnations)
	assert.Equal(t, []Counts{{"arrived": 30, "sent": 24, "rejected_over_part": 6}, {"arrived": 12, "sent": 12}}, f.Windows)
	assert.Equal(t, Counts{"arrived": 42, "sent": 36, "rejected_over_part": 6}, f.Total)
	assert.Equal(t, []string{"arrived", "sent", "rejected_over_part"}, f.Keys())
}

func TestMalformedCountIsReportedWithLine(t *testing.T) {
	var f Fleet
	err := f.AddLog(strings.NewReader(doorLog + "level=info msg=account arrived=x\n"))
	assert.ErrorContains(t, err, `line 4: key "arrived": "x" is not a count`)
	assert.Zero(t, f.Incarnations, "nothing of a malformed log is counted")
}

func TestMalformedLineIsReported(t *testing.T) {
	var f Fleet
	assert.ErrorContains(t, f.AddLog(strings.NewReader(doorLog+"msg=\"unclosed\n")), "line 4")
}
