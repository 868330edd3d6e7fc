package procs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// built builds the programs once, beside each other.
var built = func() func(t *testing.T) string {
	var dir string
	return func(t *testing.T) string {
		if dir == "" {
			made, err := os.MkdirTemp("", "swifthall-")
			require.NoError(t, err)
			out, err := exec.Command("go", "build", "-o", made, "../../cmd/swifthall", "../../cmd/swifthall-fleet").CombinedOutput()
			require.NoError(t, err, string(out))
			dir = made
		}
		return filepath.Join(dir, "swifthall")
	}
}()

// On real processes: stopped, cut one way, lossy, halved, killed and back. Each day is real time, so they run side by side.
func TestProcessesKeepTheSchedules(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	binary := built(t)
	t.Cleanup(func() { os.RemoveAll(filepath.Dir(binary)) })
	for _, name := range []string{"short-pause", "short-cut", "short-deaf", "short-loss", "short-split", "short-return", "namesake"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Open(name)
			require.NoError(t, err)
			r, err := Real{Plan: s.Draw(1), Binary: binary, Rate: 20}.Play(context.Background(), nil)
			require.NoError(t, err)
			assert.Empty(t, r.Breaches)
			assert.NotEmpty(t, r.History)
			t.Logf("known %.0f ms, back %.0f ms, one view %.0f ms, changes %d; %d of %d operations", largest(r.Figures.Known), largest(r.Figures.Back), r.Figures.One,
				r.Figures.Changes, r.Finished, r.Asked)
		})
	}
}

func largest(of []float64) (most float64) {
	for _, x := range of {
		most = max(most, x)
	}
	return most
}

func TestARigThatCantPlaySaysWhatToDo(t *testing.T) {
	s, err := Open("calm")
	require.NoError(t, err)
	_, err = Real{Plan: s.Draw(1), Binary: "/nowhere/swifthall"}.Play(context.Background(), nil)
	var rig *RigError
	require.ErrorAs(t, err, &rig)
	assert.Contains(t, rig.Remedy(), "go build")
	s.Fleet.Doors = 300
	_, err = Real{Plan: s.Draw(1)}.Play(context.Background(), nil)
	var crowd *CrowdError
	assert.ErrorAs(t, err, &crowd)
}
