package frontdoor

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
)

func TestTallyWritesItsAccountWhenDueAndBeginsAnew(t *testing.T) {
	log, hook := test.NewNullLogger()
	tl := tally{at: 5e3, arrived: 7, sent: 5}
	tl.rejected[gate.OverQuotaShare] = 2

	tl.due(5e3, log)

	require.Len(t, hook.AllEntries(), 1)
	assert.Equal(t, logrus.Fields{"arrived": 7, "sent": 5, "rejected_over_part": 2}, hook.LastEntry().Data)
	assert.Equal(t, tally{at: 10e3}, tl)
}
