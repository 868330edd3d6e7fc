package frontdoor

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestAnswersWithoutBackendAreSpacedPerConnectionAndInTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var waiting atomic.Int64
		p := answerPacer{waiting: &waiting}
		start := time.Now()
		for range freeAnswers {
			assert.False(t, p.pause())
		}
		assert.Zero(t, time.Since(start), "the first ones are free")
		for range 100 {
			p.pause()
		}
		assert.GreaterOrEqual(t, time.Since(start), 100*minAnswerSpacing-time.Millisecond)
		time.Sleep(freeAnswers * minAnswerSpacing)
		assert.False(t, p.pause(), "free ones come back")
		waiting.Store(1000)
		for p.used <= freeAnswers {
			start = time.Now()
			p.pause()
		}
		assert.GreaterOrEqual(t, time.Since(start), 1000*totalAnswerSpacing, "many connections share one rate")
	})
}
