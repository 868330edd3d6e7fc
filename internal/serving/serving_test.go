package serving

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
)

func TestFlagsWinOverTheFilesLog(t *testing.T) {
	of, err := LogFlags{Format: "json"}.over(config.Log{Level: "warn", Format: "text"})
	require.NoError(t, err)
	log := logrus.New()
	var out bytes.Buffer
	log.SetOutput(&out)
	apply(log, of)
	log.Info("quiet")
	log.Warn("loud")
	assert.NotContains(t, out.String(), "quiet")
	assert.Contains(t, out.String(), `"level":"warning"`)
}
