package frontdoor

import (
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
)

func TestTallyWritesSummaryWhenDueAndResets(t *testing.T) {
	log, hook := test.NewNullLogger()
	tl := tally{nextAt: 5e3, arrived: 7, sent: 5}
	tl.rejected[gate.OverQuotaShare] = 2

	tl.writeIfDue(5e3, log)

	require.Len(t, hook.AllEntries(), 1)
	assert.Equal(t, logrus.Fields{"arrived": 7, "sent": 5, "rejected_over_part": 2}, hook.LastEntry().Data)
	assert.Equal(t, tally{nextAt: 10e3}, tl)
}
