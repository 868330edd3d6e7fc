package frontdoor

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/internal/registry"
)

const hourMs = 3600e3

// newSteppedClockCore is a door's core whose machine's wall clock is wrong by so many ms.
func newSteppedClockCore(t *testing.T) (c *core, step *float64) {
	c, _ = newTestCore(t)
	step = new(float64)
	c.clock.wall = func() wallTime { return wallTime(c.clock.now() + *step) }
	return c, step
}

func updateStart(c *core, started, after float64) float64 {
	fleetUpdate{registry.List{Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready", Started: started}}}, 0, after}.handle(c)
	return c.clock.now() - c.backends[0].startedAt
}

func TestWallClockStepDoesNotChangeKnownBackendAge(t *testing.T) {
	for name, by := range map[string]float64{"forward": hourMs, "back": -hourMs, "a little back": -3e3} {
		t.Run(name, func(t *testing.T) {
			c, step := newSteppedClockCore(t)
			started := c.clock.now() - 2e3
			assert.InDelta(t, 2e3, updateStart(c, started, 0), 50, "as the door starts")
			*step = by
			assert.InDelta(t, 2e3, updateStart(c, started, c.clock.now()-100), 50, "told again after the step")
		})
	}
}

func TestNewBackendAgeIsBoundedAfterWallClockStep(t *testing.T) {
	c, step := newSteppedClockCore(t)
	started := c.clock.now() - 1e3
	*step = hourMs
	assert.InDelta(t, 1500, updateStart(c, started, c.clock.now()-1500), 50, "after discovery last said something, at the earliest")
	c, step = newSteppedClockCore(t)
	started = c.clock.now() - 1e3
	*step = -hourMs
	assert.InDelta(t, 0, updateStart(c, started, c.clock.now()-1500), 50, "when it is told, at the latest")
	updateStart(c, 0, c.clock.now()-100)
	assert.Zero(t, c.backends[0].startedAt, "long ago")
}

// What a watch says first, and a list that comes in pieces, don't bound the starts that the list tells of.
func TestListBoundsStartsByDataReceivedBeforeIt(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Pace.FirstByte, c.cfg.Pace.Silence = 1e4, 1e4
	far, near := net.Pipe()
	type heardList struct {
		list  registry.List
		after float64
	}
	lists := make(chan heardList, 9)
	go c.readWatch(near, make([]byte, 64), time.Now().Add(waitTimeout), rand.New(rand.NewPCG(1, 1)), func(l registry.List, after float64) { lists <- heardList{l, after} })
	piece := func(text string) { fmt.Fprintf(far, "%x\r\n%s\r\n", len(text), text) }
	fmt.Fprint(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	piece(`{"generation":1,"reset":true,`)
	piece("\"instances\":[]}\n")
	assert.Zero(t, await(t, lists, "the first list").after)
	piece("\n")
	piece("\n") // read by now: the pipe holds nothing
	before := c.listReceivedAt()
	assert.NotZero(t, before)
	piece(`{"generation":2,"reset":false,`)
	piece("\"instances\":[]}\n")
	assert.InDelta(t, before, await(t, lists, "the second list").after, 50)
	far.Close()
}
