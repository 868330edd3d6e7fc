package frontdoor

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/registry"
)

func TestWithheldBackendIsReportedAsDraining(t *testing.T) {
	c, _ := newTestCore(t)
	c.pending = nil
	notified := 0
	withholdRequest{map[string]bool{"s": true}, func() { notified++ }}.handle(c)
	assert.Equal(t, gate.Draining, c.pending[0].(gate.FleetUpdate).Entries[0].Status)
	assert.False(t, c.pending[0].(gate.FleetUpdate).Complete)
	assert.False(t, c.backends[0].eligible)
	assert.False(t, c.ready.Load(), "it was the only one")
	assert.Len(t, c.afterDecide, 1)
	assert.Zero(t, notified, "not before the decider has been notified")
	c.pending = nil
	fleetUpdate{list: registry.List{Whole: true, Backends: []registry.Entry{{ID: "s", Addr: "127.0.0.1:1", State: "Ready"}, {ID: "t", Addr: "127.0.0.1:2", State: "Ready"}}}}.handle(c)
	e := c.pending[0].(gate.FleetUpdate).Entries
	assert.Equal(t, []gate.Status{gate.Draining, gate.Up}, []gate.Status{e[0].Status, e[1].Status})
	got := make(chan Snapshot, 1)
	snapshotRequest(got).handle(c)
	assert.True(t, (<-got).Backends[0].Up, "the snapshot has the listed status")
	c.pending = nil
	withholdRequest{map[string]bool{}, func() {}}.handle(c)
	assert.Equal(t, gate.Up, c.pending[0].(gate.FleetUpdate).Entries[0].Status)
	assert.True(t, c.backends[0].eligible)
	c.pending = nil
	withholdRequest{map[string]bool{"unknown": true}, func() {}}.handle(c)
	assert.Empty(t, c.pending, "nothing changes")
	assert.Len(t, c.afterDecide, 3)
}

func TestOutOfServiceDoorIsNotReady(t *testing.T) {
	c, _ := newTestCore(t)
	discoveryAttempted{}.handle(c)
	assert.True(t, c.ready.Load())
	applied := []bool{}
	setOutOfService := func(out bool, until time.Time) {
		outOfServiceRequest{out, until, func(ok bool) { applied = append(applied, ok) }}.handle(c)
	}
	setOutOfService(true, time.Now().Add(-time.Millisecond))
	assert.True(t, c.ready.Load(), "the request came too late")
	setOutOfService(true, time.Now().Add(time.Minute))
	assert.False(t, c.ready.Load())
	assert.False(t, c.shuttingDown)
	c.sweep()
	assert.False(t, c.listenerClosing, "requests that still arrive are served")
	setOutOfService(false, time.Time{})
	assert.True(t, c.ready.Load())
	c.beginShutdown()
	setOutOfService(true, time.Now().Add(time.Minute))
	assert.Equal(t, []bool{false, true, true, false}, applied)
}

func TestRequestCounts(t *testing.T) {
	c, _ := newTestCore(t)
	c.requests[0].firstByteAt, c.requests[0].contractTime = c.clock.now()-40, 100
	c.answer(0, answer{status: http.StatusOK}, "")
	c.answer(0, answer{status: http.StatusOK}, "")
	assert.EqualValues(t, 1, c.totals.Finished, "only the first answer counts")
	assert.EqualValues(t, 1, c.totals.InTime)
	assert.InDelta(t, 40, c.totals.LatencyMs, 20)
	c.totals.addAnswer(http.StatusOK, 101, 100)
	c.totals.addAnswer(http.StatusTooManyRequests, 1, 100)
	c.totals.addAnswer(http.StatusBadGateway, 1, 100)
	assert.Equal(t, []uint64{2, 1, 1, 1}, []uint64{c.totals.Finished, c.totals.InTime, c.totals.Rejected, c.totals.Failed})
}

func TestAttemptCounts(t *testing.T) {
	var n Counts
	for _, how := range []gate.Result{gate.Finished, gate.Errored, gate.TimedOut, gate.Full, gate.Skipped, gate.Cancelled} {
		n.addAttempt(how, 30)
	}
	assert.Equal(t, Counts{Arrived: 4, Finished: 1, InTime: 1, Rejected: 1, Failed: 2, LatencyMs: 30}, n)
}
