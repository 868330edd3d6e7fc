package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestEveryPhaseOfAShutdownEndsBeforeTheEarliestKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e12).Draw(t, "now")
		longest := rapid.Float64Range(1, 60e3).Draw(t, "longest deadline")
		linger := rapid.Float64Range(0, 10e3).Draw(t, "linger")
		s := NewShutdown(now, longest, linger)
		assert.LessOrEqual(t, s.KillAt, now+min(longest, 3000)+700)
		assert.LessOrEqual(t, s.AnswerBy, s.KillAt-2*150, "the door may be held up before the notice and before the write")
		assert.Less(t, s.AcceptUntil, s.AnswerBy)
		assert.Greater(t, s.AcceptUntil, now-1e-3, "new connections come for a while")
		at := rapid.Float64Range(0, 2e12).Draw(t, "deadline")
		assert.LessOrEqual(t, s.Deadline(at), s.AnswerBy)
		assert.LessOrEqual(t, s.Deadline(at), at)
	})
}

func TestADoorThatIsNotToldToEndHasNoEnd(t *testing.T) {
	var s *Shutdown
	assert.Equal(t, 7.0, s.Deadline(7))
	assert.True(t, s.Accepting(1e15))
	assert.True(t, s.Answering(1e15))
	assert.False(t, s.KillDue(1e15))
}
