package holding

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/release"
)

func held(t *testing.T) *holder {
	raw, err := os.ReadFile("../../examples/fleet.json")
	require.NoError(t, err)
	dir := t.TempDir()
	base := filepath.Join(dir, "door.json")
	require.NoError(t, os.WriteFile(base, raw, private))
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &holder{folder: dir, base: base, log: log, failed: map[string]string{}, alive: map[*worker]bool{}, write: writeWhole}
}

// give puts a file into the folder under its digest.
func (h *holder) give(t *testing.T, text string) string {
	sum := sha256.Sum256([]byte(text))
	digest := hex.EncodeToString(sum[:])
	require.NoError(t, os.WriteFile(filepath.Join(h.folder, digest), []byte(text), private))
	return digest
}

func TestWhatIsToRunIsCheckedBeforeItRuns(t *testing.T) {
	h := held(t)
	program, file, err := h.prepare(release.Versions{})
	require.NoError(t, err)
	assert.Equal(t, h.base, file)
	assert.NotEmpty(t, program)

	digest := h.give(t, `{"pace":{"linger_ms":900}}`)
	_, file, err = h.prepare(release.Versions{release.Configuration: digest})
	require.NoError(t, err)
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	door, err := config.Read(raw, func(string) string { return "" })
	require.NoError(t, err)
	assert.Equal(t, 900.0, door.Pace.Linger)

	var key *config.KeyError
	_, _, err = h.prepare(release.Versions{release.Configuration: h.give(t, `{"settings":{"profiles":[]}}`)})
	require.ErrorAs(t, err, &key)
	assert.Equal(t, "settings.profiles", key.Key)
	_, _, err = h.prepare(release.Versions{release.Configuration: h.give(t, `{"name":"another"}`)})
	require.ErrorAs(t, err, &key)

	var wrong *DigestError
	require.NoError(t, os.WriteFile(filepath.Join(h.folder, digest), []byte(`{}`), private))
	_, _, err = h.prepare(release.Versions{release.Configuration: digest})
	require.ErrorAs(t, err, &wrong)
	assert.NotEqual(t, digest, wrong.Is)
	_, _, err = h.prepare(release.Versions{release.Program: "0123"})
	require.ErrorAs(t, err, &wrong)
	assert.Contains(t, wrong.Remedy(), "0123")
}

func TestWhatADoorRunsIsReadAgain(t *testing.T) {
	h := held(t)
	runs, err := h.load()
	require.NoError(t, err)
	assert.Empty(t, runs)
	h.save(release.Versions{release.Program: "ab"})
	runs, err = h.load()
	require.NoError(t, err)
	assert.Equal(t, release.Versions{release.Program: "ab"}, runs)
	require.NoError(t, os.WriteFile(filepath.Join(h.folder, stateName), []byte("{"), private))
	var folder *FolderError
	_, err = h.load()
	require.ErrorAs(t, err, &folder)
	assert.Contains(t, folder.Remedy(), "deleted")
}
