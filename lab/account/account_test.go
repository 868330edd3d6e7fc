package account

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/trace"
)

func TestEachLossIsBookedOnceUnderItsCause(t *testing.T) {
	b := NewCollector(&judge.Params{Classes: []gate.Class{{Contract: 500, Gain: 2, LateValue: 0.25}}, Plans: []gate.Plan{{Rate: 0.001, Depth: 4, Price: 1}},
		OverQuotaCost: []float64{1.5}})
	take := func(e trace.Event) { b.Take(&e) }
	take(trace.Event{Kind: trace.DoorStarted, Door: 0})
	one := func(at float64, n int, end func()) {
		take(trace.Event{Kind: trace.Asked, At: at, Request: n, Customer: n % 2, Units: 1})
		take(trace.Event{Kind: trace.Accepted, At: at, Request: n, Try: n, Customer: n % 2, Units: 1, Deadline: at + 2000})
		end()
	}
	one(0, 0, func() { // rejected though the quota is whole
		take(trace.Event{Kind: trace.Answered, At: 5, Try: 0, Answer: trace.Rejected, Cause: gate.OverQuotaShare})
		take(trace.Event{Kind: trace.GaveUp, At: 5, Request: 0})
	})
	one(10, 2, func() { // late
		take(trace.Event{Kind: trace.Sent, At: 10, Try: 2})
		take(trace.Event{Kind: trace.Closed, At: 900, Try: 2, Result: gate.Finished})
		take(trace.Event{Kind: trace.Received, At: 900, Request: 2, Try: 2, Answer: trace.Finished})
	})
	for n := 4; n < 14; n += 2 { // five more of the same customer at once
		one(1000, n, func() {
			take(trace.Event{Kind: trace.Sent, At: 1000, Try: n})
			take(trace.Event{Kind: trace.Received, At: 1010, Request: n, Try: n, Answer: trace.Finished})
		})
	}
	one(12e3, 1, func() { take(trace.Event{Kind: trace.GaveUp, At: 14e3, Request: 1}) })
	a := b.Sum()
	parts := map[string]Part{}
	for _, p := range a.Parts {
		parts[p.Name] = p
	}
	assert.InDelta(t, 2, parts["rejected, over_part, with room"].Gain, 1e-9)
	assert.InDelta(t, 2*0.75, parts["late"].Gain, 1e-9)
	assert.InDelta(t, 2, parts["never answered"].Gain, 1e-9)
	require.Equal(t, 2, parts["sent beyond the quota"].Count, "the store held 3.99 of five")
	assert.InDelta(t, 6, parts["sent beyond the quota"].Gain, 1e-9)
	assert.InDelta(t, 1.0/7, a.WithRoom[0], 1e-9)
	assert.Equal(t, 1, parts["never answered"].Doors)
	assert.InDelta(t, 14, parts["never answered"].Age, 1e-9)
	var out bytes.Buffer
	a.Print(&out)
	assert.Contains(t, out.String(), "over_part, with room")
}

func TestADoorThatDiesLosesWhatItHolds(t *testing.T) {
	b := NewCollector(&judge.Params{Classes: []gate.Class{{Contract: 500, Gain: 1}}, Plans: []gate.Plan{{Rate: 1, Depth: 4, Price: 1}}, OverQuotaCost: []float64{1}})
	for _, e := range []trace.Event{{Kind: trace.DoorStarted, Door: 3}, {Kind: trace.Asked, Request: 1, Units: 1}, {Kind: trace.Accepted, Request: 1, Try: 1, Door: 3, Units: 1},
		{Kind: trace.DoorDied, At: 10, Door: 3}, {Kind: trace.GaveUp, At: 20, Request: 1}} {
		b.Take(&e)
	}
	require.Len(t, b.Sum().Parts, 1)
	assert.Equal(t, "door died", b.Sum().Parts[0].Name)
	assert.Empty(t, b.tries)
	assert.Empty(t, b.wants)
}
