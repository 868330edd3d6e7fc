package frontdoor

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/internal/registry"
)

const hourMs = 3600e3

// newSteppedClockCore returns a core whose wall clock is wrong by offset, in ms.
func newSteppedClockCore(t *testing.T) (c *core, offset *float64) {
	c, _ = newTestCore(t)
	offset = new(float64)
	c.clock.wall = func() wallTime { return wallTime(c.clock.now() + *offset) }
	return c, offset
}

// updateStart sends the core a fleet update with the wall-clock start of the backend's process, and returns the backend's age by
// the door's clock, ms. after is the clock at which a watch last received anything before.
func updateStart(c *core, started, after float64) float64 {
	fleetUpdate{registry.List{Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready", Started: started}}}, 0, after}.handle(c)
	return c.clock.now() - c.backends[0].startedAt
}

func TestWallClockStepDoesNotChangeKnownBackendAge(t *testing.T) {
	for name, by := range map[string]float64{"forward": hourMs, "back": -hourMs, "a little back": -3e3} {
		t.Run(name, func(t *testing.T) {
			c, offset := newSteppedClockCore(t)
			started := c.clock.now() - 2e3
			assert.InDelta(t, 2e3, updateStart(c, started, 0), 50, "at the start of the door")
			*offset = by
			assert.InDelta(t, 2e3, updateStart(c, started, c.clock.now()-100), 50, "received again after the step")
		})
	}
}

func TestNewBackendAgeIsBoundedAfterWallClockStep(t *testing.T) {
	c, offset := newSteppedClockCore(t)
	started := c.clock.now() - 1e3
	*offset = hourMs
	assert.InDelta(t, 1500, updateStart(c, started, c.clock.now()-1500), 50, "not before discovery last sent something")
	c, offset = newSteppedClockCore(t)
	started = c.clock.now() - 1e3
	*offset = -hourMs
	assert.InDelta(t, 0, updateStart(c, started, c.clock.now()-1500), 50, "not later than the update")
	updateStart(c, 0, c.clock.now()-100)
	assert.Zero(t, c.backends[0].startedAt, "0 is long ago")
}

// Process starts in a list are bounded by the clock at which a watch had last received anything before that list began. What a watch
// receives before its first list, and earlier chunks of the list itself, must not serve as the bound.
func TestListBoundsStartsByDataReceivedBeforeIt(t *testing.T) {
	c, _ := newTestCore(t)
	c.cfg.Pace.FirstByte, c.cfg.Pace.Silence = 1e4, 1e4
	far, near := net.Pipe()
	type receivedList struct {
		list  registry.List
		after float64
	}
	lists := make(chan receivedList, 9)
	w := newFleetWatch(c, "discovery", 0, 0)
	go w.read(w.advance(t.Context()), near, make([]byte, 64))
	go func() {
		for {
			select {
			case e := <-c.events:
				if update, is := e.(fleetUpdate); is {
					lists <- receivedList{update.list, update.lastReceived}
				}
			case <-t.Context().Done():
				return
			}
		}
	}()
	writeChunk := func(text string) { fmt.Fprintf(far, "%x\r\n%s\r\n", len(text), text) }
	fmt.Fprint(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	writeChunk(`{"generation":1,"reset":true,`)
	writeChunk("\"instances\":[]}\n")
	assert.Zero(t, await(t, lists, "the first list").after)
	writeChunk("\n")
	writeChunk("\n") // the previous line has been read by now, as a pipe buffers nothing
	before := c.listReceivedAt()
	assert.NotZero(t, before)
	writeChunk(`{"generation":2,"reset":false,`)
	writeChunk("\"instances\":[]}\n")
	assert.InDelta(t, before, await(t, lists, "the second list").after, 50)
	far.Close()
}
