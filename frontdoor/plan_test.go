package frontdoor

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/registry"
)

func TestAWithheldBackendDrainsWhateverTheListSays(t *testing.T) {
	c, _ := owned(t)
	c.pending = nil
	told := 0
	withheld{map[string]bool{"s": true}, func() { told++ }}.take(c)
	assert.Equal(t, gate.Draining, c.pending[0].(gate.FleetUpdate).Entries[0].Status)
	assert.False(t, c.pending[0].(gate.FleetUpdate).Complete)
	assert.False(t, c.backends[0].up)
	assert.False(t, c.ready.Load(), "it was the only one")
	assert.Len(t, c.told, 1)
	assert.Zero(t, told, "not before the decisions know")
	c.pending = nil
	listed{list: registry.List{Whole: true, Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready"}, {ID: "t", Addr: "127.0.0.1:2", State: "Ready"}}}}.take(c)
	e := c.pending[0].(gate.FleetUpdate).Entries
	assert.Equal(t, []gate.Status{gate.Draining, gate.Up}, []gate.Status{e[0].Status, e[1].Status})
	got := make(chan Snapshot, 1)
	asking(got).take(c)
	assert.True(t, (<-got).Backends[0].Up, "by the list")
	c.pending = nil
	withheld{map[string]bool{}, func() {}}.take(c)
	assert.Equal(t, gate.Up, c.pending[0].(gate.FleetUpdate).Entries[0].Status)
	assert.True(t, c.backends[0].up)
	c.pending = nil
	withheld{map[string]bool{"unheard-of": true}, func() {}}.take(c)
	assert.Empty(t, c.pending, "nothing changes")
	assert.Len(t, c.told, 3)
}

func TestADoorAsideIsNotReadyAndComesBack(t *testing.T) {
	c, _ := owned(t)
	asked{}.take(c)
	assert.True(t, c.ready.Load())
	taken := []bool{}
	step := func(out bool, until time.Time) {
		aside{out, until, func(is bool) { taken = append(taken, is) }}.take(c)
	}
	step(true, time.Now().Add(-time.Millisecond))
	assert.True(t, c.ready.Load(), "it was stopped on the way")
	step(true, time.Now().Add(time.Minute))
	assert.False(t, c.ready.Load())
	assert.False(t, c.leaving)
	c.sweep()
	assert.False(t, c.listenerEnding, "what still comes is served")
	step(false, time.Time{})
	assert.True(t, c.ready.Load())
	c.leave()
	step(true, time.Now().Add(time.Minute))
	assert.Equal(t, []bool{false, true, true, false}, taken)
}

func TestADoorCountsWhatBecameOfItsRequests(t *testing.T) {
	c, _ := owned(t)
	c.ops[0].came, c.ops[0].contract = c.clock.now()-40, 100
	c.answer(0, http.StatusOK, 0, nil, "")
	c.answer(0, http.StatusOK, 0, nil, "")
	assert.EqualValues(t, 1, c.total.Finished, "one final answer")
	assert.EqualValues(t, 1, c.total.InTime)
	assert.InDelta(t, 40, c.total.LatencyMs, 20)
	c.total.answered(http.StatusOK, 101, 100)
	c.total.answered(http.StatusTooManyRequests, 1, 100)
	c.total.answered(http.StatusBadGateway, 1, 100)
	assert.Equal(t, []uint64{2, 1, 1, 1}, []uint64{c.total.Finished, c.total.InTime, c.total.Rejected, c.total.Failed})
}

func TestADoorCountsAttemptsByBackend(t *testing.T) {
	var n Counts
	for _, how := range []gate.Result{gate.Finished, gate.Errored, gate.TimedOut, gate.Full, gate.Skipped, gate.Cancelled} {
		n.transmitted(how, 30)
	}
	assert.Equal(t, Counts{Arrived: 4, Finished: 1, InTime: 1, Rejected: 1, Failed: 2, LatencyMs: 30}, n)
}
