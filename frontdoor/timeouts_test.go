package frontdoor

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEndedAttemptsLeaveTheTimeoutHeapBeforeTheirTime(t *testing.T) {
	c, _ := newTestCore(t)
	var running []*attempt
	for i := range 100_000 {
		att := &attempt{ended: i%1000 != 0, deadline: c.now + 3600e3 + float64(i)}
		c.timeouts.add(att.deadline, att)
		if !att.ended {
			running = append(running, att)
		}
	}
	assert.LessOrEqual(t, cap(c.timeouts), 4*minTimeoutRoom)
	var left []*attempt
	for len(c.timeouts) > 0 {
		if att := c.timeouts[0].target.(*attempt); !att.ended {
			left = append(left, att)
		}
		c.now = c.timeouts[0].at
		heapPop(c)
	}
	assert.Equal(t, running, left, "those that run have theirs, in order")
}

// heapPop removes the earliest timeout without calling its target.
func heapPop(c *core) {
	target := c.timeouts[0].target.(*attempt)
	was := target.ended
	target.ended = true
	next := c.timeouts[0].at
	c.now = next
	c.timeouts.expireDue(c)
	target.ended = was
}
