package frontdoor

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
)

func TestDebugLogAndCloseReasons(t *testing.T) {
	for level, enabled := range map[logrus.Level]bool{logrus.DebugLevel: true, logrus.InfoLevel: false} {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		log.SetLevel(level)
		addr, stop, ended := startDoorWith(t, testConfig(), closedChan(), sendOnce(make(chan gate.Event, 99)), log)
		status, _ := roundTrip(t, connect(t, addr), lookRequest)
		require.Equal(t, 200, status)
		stop()
		require.NoError(t, await(t, ended, "the end of Serve"))
		for _, step := range []string{"connection opened", "request taken", "attempt started", "attempt ended", "request answered"} {
			assert.Equal(t, enabled, bytes.Contains(out.Bytes(), []byte(step)), step)
		}
		assert.Equal(t, enabled, bytes.Contains(out.Bytes(), []byte("request=a1")))
		assert.Contains(t, out.String(), fields.Closed, "the last summary contains why connections ended")
		assert.Contains(t, out.String(), fields.Ended+outcomeOK.String())
	}
}

func TestReasonAndOutcomeNames(t *testing.T) {
	for w := range closeReasons {
		assert.NotEmpty(t, w.String())
	}
	for e := range outcomes {
		assert.NotEmpty(t, e.String())
	}
}
