package holding

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/release"
)

func newSupervisor(t *testing.T) *supervisor {
	raw, err := os.ReadFile("../../examples/fleet.json")
	require.NoError(t, err)
	dir := t.TempDir()
	base := filepath.Join(dir, "door.json")
	require.NoError(t, os.WriteFile(base, raw, filePerm))
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &supervisor{dir: dir, baseFile: base, log: log, failed: map[string]string{}, workers: map[*worker]bool{}, write: writeAtomic, ctx: t.Context()}
}

// addRelease writes a file into the directory under its digest and returns the digest.
func (s *supervisor) addRelease(t *testing.T, text string) string {
	sum := sha256.Sum256([]byte(text))
	digest := hex.EncodeToString(sum[:])
	require.NoError(t, os.WriteFile(filepath.Join(s.dir, digest), []byte(text), filePerm))
	return digest
}

func TestReleasesAreVerifiedBeforeTheyRun(t *testing.T) {
	s := newSupervisor(t)
	program, file, err := s.prepare(release.Versions{})
	require.NoError(t, err)
	assert.Equal(t, s.baseFile, file)
	assert.NotEmpty(t, program)

	digest := s.addRelease(t, `{"pace":{"linger_ms":900}}`)
	_, file, err = s.prepare(release.Versions{release.Configuration: digest})
	require.NoError(t, err)
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	door, err := config.Read(raw, func(string) string { return "" })
	require.NoError(t, err)
	assert.Equal(t, 900.0, door.Pace.Linger)

	var key *config.KeyError
	_, _, err = s.prepare(release.Versions{release.Configuration: s.addRelease(t, `{"settings":{"profiles":[]}}`)})
	require.ErrorAs(t, err, &key)
	assert.Equal(t, "settings.profiles", key.Key)
	_, _, err = s.prepare(release.Versions{release.Configuration: s.addRelease(t, `{"name":"another"}`)})
	require.ErrorAs(t, err, &key)

	var wrong *DigestError
	require.NoError(t, os.WriteFile(filepath.Join(s.dir, digest), []byte(`{}`), filePerm))
	_, _, err = s.prepare(release.Versions{release.Configuration: digest})
	require.ErrorAs(t, err, &wrong)
	assert.NotEqual(t, digest, wrong.Actual)
	_, _, err = s.prepare(release.Versions{release.Program: "0123"})
	require.ErrorAs(t, err, &wrong)
	assert.Contains(t, wrong.Remedy(), "0123")
}

// Guards against a door that is back on its old version after a restart of its holder, which had tried once to write down what it runs.
func TestStateThatCannotBeWrittenIsWrittenLater(t *testing.T) {
	s := newSupervisor(t)
	written := make(chan struct{})
	failures := 2
	s.write = func(path string, raw []byte) error {
		if failures--; failures >= 0 {
			return syscall.EISDIR
		}
		defer close(written)
		return writeAtomic(path, raw)
	}
	s.runs = release.Versions{release.Program: "ab"}
	s.saveState()
	select {
	case <-written:
	case <-time.After(timeout):
		require.Fail(t, "not written")
	}
	runs, err := s.loadState()
	require.NoError(t, err)
	assert.Equal(t, release.Versions{release.Program: "ab"}, runs)
}

func TestStateIsLoadedAgain(t *testing.T) {
	s := newSupervisor(t)
	runs, err := s.loadState()
	require.NoError(t, err)
	assert.Empty(t, runs)
	s.runs = release.Versions{release.Program: "ab"}
	s.saveState()
	runs, err = s.loadState()
	require.NoError(t, err)
	assert.Equal(t, release.Versions{release.Program: "ab"}, runs)
	require.NoError(t, os.WriteFile(filepath.Join(s.dir, stateFile), []byte("{"), filePerm))
	var broken *DirectoryError
	_, err = s.loadState()
	require.ErrorAs(t, err, &broken)
	assert.Contains(t, broken.Remedy(), "deleted")
}

// Guards against a release that takes a door back to the discovery of its start after SIGHUP has moved it (review/6): the environment of
// the start is older than the file.
func TestNewProcessesFollowTheReloadedFile(t *testing.T) {
	t.Setenv("GW_DISCOVERY", "127.0.0.1:9")
	s := newSupervisor(t)
	assert.Contains(t, s.environment(), "GW_DISCOVERY=127.0.0.1:9", "until the file has been read again")
	valid, err := os.ReadFile(s.baseFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(s.baseFile, []byte("{"), filePerm))
	s.reload()
	assert.Contains(t, s.environment(), "GW_DISCOVERY=127.0.0.1:9", "an invalid file changes nothing")
	require.NoError(t, os.WriteFile(s.baseFile, valid, filePerm))
	s.reload()
	assert.NotContains(t, s.environment(), "GW_DISCOVERY=127.0.0.1:9")
	assert.Contains(t, s.environment(), "HOME="+os.Getenv("HOME"), "the rest stays")
}
