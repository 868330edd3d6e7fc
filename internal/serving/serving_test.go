package serving

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/config"
)

func TestFlagsOverrideTheLogConfiguration(t *testing.T) {
	cfg, err := LogFlags{Format: "json"}.override(config.Log{Level: "warn", Format: "text"})
	require.NoError(t, err)
	log := logrus.New()
	var out bytes.Buffer
	log.SetOutput(&out)
	apply(log, cfg)
	log.Info("quiet")
	log.Warn("loud")
	assert.NotContains(t, out.String(), "quiet")
	assert.Contains(t, out.String(), `"level":"warning"`)
}
