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
	seeds  = flag.Int("seeds", 3, "number of soak runs, one after the other")
	first  = flag.Uint64("first", 1, "seed of the first run")
	logDir = flag.String("logs", "", "directory in which the doors' logs are kept")
)

// program builds swifthall with injectable system call faults, once, and returns its path; uninformed builds one that the system tells
// nothing about its TCP sockets.
var (
	program    = programBuilder("informed")
	uninformed = programBuilder("uninformed", sysfaults.NoTCPInfo)
)

// programBuilder returns a function that builds swifthall in a directory of its own, once, and returns its path.
func programBuilder(directory string, tags ...string) func() (string, error) {
	return sync.OnceValues(func() (string, error) {
		out := filepath.Join(programDir, directory, "swifthall")
		return out, sysfaults.Build("../..", "./cmd/swifthall", out, tags...)
	})
}

var programDir string

func TestMain(m *testing.M) {
	var err error
	if programDir, err = os.MkdirTemp("", "soak-program"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(programDir)
	os.Exit(code)
}

// buildProgram returns the path of the program, built on the first call.
func buildProgram(t *testing.T) string {
	out, err := program()
	require.NoError(t, err)
	return out
}

// soakConfig returns the configuration of the soak run of a seed, with a few dozen processes. Its deadlines, limits, idle clients and
// crowds vary by seed.
func soakConfig(program string, seed uint64) Config {
	deadlines := []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}
	cfg := Config{Seed: seed, Program: program, LogDir: *logDir, Doors: 24, Backends: 8, Clients: 6, Descriptors: 512, MemoryMB: 192,
		MaxDeadline: deadlines[seed%4], Length: 8 * time.Second}
	cfg.MemoryMB, cfg.ZoneScope = []int{192, 32, 64, 128}[seed/4%4], seed%2 == 0
	if seed%3 == 0 {
		cfg.Descriptors, cfg.IdleClients = 128, 120
	}
	if seed%3 == 1 { // two doors of the least memory have a crowd
		cfg.MemoryMB, cfg.Descriptors = 32, []int{256, 1024}[seed/3%2]
		cfg.Crowd, cfg.CrowdClients, cfg.CrowdDoors = 1+Crowd(seed/3)%FloodAndClose, 600, 2
		if cfg.Crowd.fullSpeed() { // more would keep the rig itself from running
			cfg.CrowdClients = 60
		}
	}
	return cfg
}

// runAndLog performs a run and logs a summary of its history.
func runAndLog(t *testing.T, cfg Config) *History {
	t.Helper()
	r, err := Run(cfg)
	require.NoError(t, err)
	ends := map[End]int{}
	for _, q := range r.Requests {
		ends[q.End]++
	}
	var peak int64
	for _, inc := range r.Incarnations {
		peak = max(peak, inc.PeakMemory)
	}
	t.Logf("seed %d: crowd %v, largest resident memory %.1f MB of %d MB; %d requests, %d answered, %d closed without an answer, %d closed by the client; %d attempts, %d processes, longest stall of the rig %v", cfg.Seed,
		cfg.Crowd, megabytes(peak), cfg.MemoryMB, len(r.Requests), ends[Answered], ends[ConnClosed], ends[ClientClosed], len(r.Arrivals), len(r.Incarnations), longestRigStall(r.Stalls))
	return r
}

// longestRigStall returns the longest stall of the rig itself.
func longestRigStall(all []Stall) (longest time.Duration) {
	for _, s := range all {
		if s.Door == TheRig {
			longest = max(longest, s.Late)
		}
	}
	return longest
}

func TestSoakOfRandomFaultsKeepsEveryRule(t *testing.T) {
	out := buildProgram(t)
	for i := range *seeds {
		for _, v := range Check(runAndLog(t, soakConfig(out, *first+uint64(i)))) {
			t.Errorf("seed %d: %v", *first+uint64(i), v)
		}
	}
}

func TestARunWithoutFaultsKeepsEveryRule(t *testing.T) {
	cfg := soakConfig(buildProgram(t), 4)
	cfg.NoRandomFaults, cfg.Crowd, cfg.CrowdClients, cfg.Doors, cfg.Length = true, NoCrowd, 0, 4, 2*time.Second
	assert.Empty(t, Check(runAndLog(t, cfg)))
}
