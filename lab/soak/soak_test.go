package soak

import (
	"flag"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/lab/sysfaults"
)

// By hand: go test ./lab/soak -run Soak -v -seeds 50 -first 1 -timeout 60m
var (
	seeds  = flag.Int("seeds", 3, "days of the soak that are played, one after the other")
	first  = flag.Uint64("first", 1, "seed of the first day")
	logDir = flag.String("logs", "", "folder that keeps the doors' logs")
)

// program is the front door with system calls that can be made to fail, built once.
var program = sync.OnceValues(func() (string, error) {
	var err error
	if programDir, err = os.MkdirTemp("", "soak-program"); err != nil {
		return "", err
	}
	out := filepath.Join(programDir, "swifthall")
	return out, sysfaults.Build("../..", "./cmd/swifthall", out)
})

var programDir string // empty before it is built

func TestMain(m *testing.M) {
	code := m.Run()
	if programDir != "" {
		os.RemoveAll(programDir)
	}
	os.Exit(code)
}

func buildProgram(t *testing.T) string {
	out, err := program()
	require.NoError(t, err)
	return out
}

// randomConfig is the day of a seed: what a few dozen processes, doors and their deployment, look like on it.
func randomConfig(program string, seed uint64) Config {
	deadlines := []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}
	d := Config{Seed: seed, Program: program, LogDir: *logDir, Doors: 24, Backends: 8, Clients: 6, Descriptors: 512,
		MaxDeadline: deadlines[seed%4], Length: 8 * time.Second}
	if seed%3 == 0 {
		d.Descriptors, d.IdleClients = 128, 120
	}
	return d
}

func runAndLog(t *testing.T, d Config) *History {
	t.Helper()
	r, err := Run(d)
	require.NoError(t, err)
	ends := map[End]int{}
	for _, q := range r.Requests {
		ends[q.End]++
	}
	t.Logf("seed %d: %d requests, %d answered, %d cut, %d left; %d attempts, %d processes, longest delay of the rig %v", d.Seed,
		len(r.Requests), ends[Answered], ends[ConnClosed], ends[ClientClosed], len(r.Arrivals), len(r.Incarnations), longestRigStall(r.Stalls))
	return r
}

func longestRigStall(all []Stall) (most time.Duration) {
	for _, s := range all {
		if s.Door == TheRig {
			most = max(most, s.Late)
		}
	}
	return most
}

func TestSoakOfRandomFaultsKeepsEveryRule(t *testing.T) {
	out := buildProgram(t)
	for i := range *seeds {
		for _, v := range Check(runAndLog(t, randomConfig(out, *first+uint64(i)))) {
			t.Errorf("seed %d: %v", *first+uint64(i), v)
		}
	}
}

func TestACalmDayKeepsEveryRule(t *testing.T) {
	d := randomConfig(buildProgram(t), 4)
	d.NoRandomFaults, d.Doors, d.Length = true, 4, 2*time.Second
	assert.Empty(t, Check(runAndLog(t, d)))
}
