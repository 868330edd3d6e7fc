package model

import (
	"context"
	"encoding/binary"
	"hash"
	"math"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
	"github.com/swifthall/swifthall/policy"
)

const baseScenario = `
name = "town"
[day]
seconds = 5
tick_ms = 1.0
[fleet]
doors = 4
backends = 6
zones = 2
cell_size = 2
[net]
same_ms = [1.0]
cross_ms = [1.0]
client_ms = [1.0]
jitter = 0.0
[load]
share = 0.4
[[profile]]
name = "look"
work_ms = 40.0
contract_ms = 500.0
outer_ms = 1500.0
[[profile]]
name = "book"
work_ms = 20.0
contract_ms = 300.0
outer_ms = 1500.0
semantics = "tokened"
scope = "cell"
window_ms = 400.0
[[plan]]
name = "basic"
per_s = 5.0
depth = 10.0
[counter]
on = true
[meter]
period_ms = 1000.0
`

func read(t *testing.T, more string) *scenario.Scenario {
	s, err := scenario.Read([]byte(baseScenario + more))
	require.NoError(t, err)
	return &s
}

// eventLog records the events of a run, and a checksum of them.
type eventLog struct {
	events []trace.Event
	sum    hash.Hash64
}

func (k *eventLog) Take(e *trace.Event) {
	k.events = append(k.events, *e)
	if k.sum != nil {
		_ = binary.Write(k.sum, binary.LittleEndian, []int64{int64(e.Kind), int64(math.Float64bits(e.At)), int64(e.Try), int64(e.Door), int64(e.Backend)})
	}
}

// ofKind returns the events of a kind.
func (k *eventLog) ofKind(kind trace.Kind) (out []trace.Event) {
	for _, e := range k.events {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}

var policyMaker = Maker{New: func(t gate.Terms, seed uint64, _ TrueState) gate.Decider { return policy.New(t, seed) }}

func runScenario(t *testing.T, s *scenario.Scenario, seed uint64, m Maker) *eventLog {
	k := &eventLog{sum: xxhash.New()}
	require.NoError(t, New(s, seed, m, k).Run(context.Background(), nil))
	return k
}

func TestSameSeedGivesSameRunOnAnyNumberOfCores(t *testing.T) {
	s := read(t, "\n[[fault]]\nkind = \"door_deaths\"\nat_s = 2.0\nfor_s = 1.0\nshare = 0.5\n[[fault]]\nkind = \"replace\"\nat_s = 1.0\nfor_s = 2.0\nshare = 0.5\nmuch = 1.0")
	s.Fleet.Doors = 12 // enough that deciders run concurrently
	first := runScenario(t, s, 3, policyMaker)
	before := runtime.GOMAXPROCS(1)
	alone := runScenario(t, s, 3, policyMaker)
	runtime.GOMAXPROCS(before)
	assert.Equal(t, first.sum.Sum64(), alone.sum.Sum64())
	assert.NotEqual(t, first.sum.Sum64(), runScenario(t, s, 4, policyMaker).sum.Sum64())
}

func TestWorkloadIsIndependentOfDecisions(t *testing.T) {
	s := read(t, "")
	rejects := Maker{New: func(gate.Terms, uint64, TrueState) gate.Decider { return rejecter{} }}
	assert.Equal(t, runScenario(t, s, 1, policyMaker).ofKind(trace.Asked), runScenario(t, s, 1, rejects).ofKind(trace.Asked))
}

type rejecter struct{}

func (rejecter) Decide(_ float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		if o, ok := e.(gate.Request); ok {
			out = append(out, gate.Reject{Op: o.Op})
		}
	}
	return out
}

// timeoutDecider sends each request once with a timeout, and counts the results.
type timeoutDecider struct {
	limit float64
	ends  map[gate.Result]int
}

func (d *timeoutDecider) Decide(_ float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case gate.Request:
			out = append(out, gate.Send{Op: e.Op, Backend: 0, Timeout: d.limit})
		case gate.AttemptEnded:
			d.ends[e.Result]++
			if !e.Answered {
				out = append(out, gate.Fail{Op: e.Op})
			}
		}
	}
	return out
}

// An attempt whose answer and timeout fall on the same instant must end once.
func TestAnswerAndTimeoutAtSameInstantEndAttemptOnce(t *testing.T) {
	s := read(t, "")
	d := &timeoutDecider{ends: map[gate.Result]int{}}
	sim := New(s, 1, Maker{New: func(gate.Terms, uint64, TrueState) gate.Decider { return d }}, &eventLog{})
	door := sim.doors[0]
	door.start(sim)
	sim.now = 10
	try := &Try{request: &clientRequest{units: 1, deadline: 5000}, deadline: 1000}
	door.submit(sim, try)
	door.collectEvents(sim)
	door.decide(sim.now)
	d.limit = 0
	door.carryOut(sim)
	job := door.ops[0].jobs[0]
	sim.now = 200
	sim.schedule(200, event{kind: eventResult, job: job, payload: gate.Finished})
	sim.schedule(200, event{kind: eventAttemptTimeout, job: job})
	for len(sim.queue.heap) > 0 && sim.queue.heap[0].at <= 200 {
		if next := sim.queue.pop(); next.kind == eventResult || next.kind == eventAttemptTimeout {
			sim.dispatch(&next)
		}
	}
	require.Len(t, door.ended, 1)
	door.collectEvents(sim)
	door.decide(sim.now)
	door.carryOut(sim)
	assert.Equal(t, map[gate.Result]int{gate.Finished: 1}, d.ends)
	assert.Equal(t, trace.Finished, try.answer)
}

// timerDecider sets one timer and records when it fires.
type timerDecider struct {
	asked   bool
	firedAt *float64
}

func (d *timerDecider) Decide(now float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case gate.Request:
			out = append(out, gate.Reject{Op: e.Op})
		case gate.TimerFired:
			*d.firedAt = now - epoch
		}
	}
	if !d.asked {
		d.asked = true
		out = append(out, gate.SetTimer{At: now + 20})
	}
	return out
}

// Guards against a lost timer: a door that decided for another reason before its timer was due forgot the timer, and a
// randomized search found a request that was answered 50 ms after its client's timeout.
func TestTimerSurvivesEarlierDecision(t *testing.T) {
	s := read(t, "")
	firedAt := 0.0
	sim := New(s, 1, Maker{New: func(gate.Terms, uint64, TrueState) gate.Decider { return &timerDecider{firedAt: &firedAt} }}, &eventLog{})
	d := sim.doors[0]
	d.start(sim)
	decideAt := func(at float64) {
		sim.now = at
		sim.deciding = append(sim.deciding[:0], d)
		sim.decide()
	}
	decideAt(0)
	sim.now = 5
	d.submit(sim, &Try{request: &clientRequest{units: 1, deadline: 5000}, deadline: 1000})
	decideAt(5)
	for len(sim.queue.heap) > 0 && firedAt == 0 {
		if next := sim.queue.pop(); next.kind == eventDecide && next.index == 0 {
			decideAt(next.at)
		}
	}
	assert.Equal(t, 20.0, firedAt)
}

// counterDecider makes one counter call for each request and counts the replies.
type counterDecider struct{ replies *int }

func (d counterDecider) Decide(_ float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case gate.Request:
			out = append(out, gate.Count{Customer: e.Customer, Epoch: 1, Add: 1, TTL: 1e4}, gate.Reject{Op: e.Op})
		case gate.Counted:
			*d.replies++
		}
	}
	return out
}

// A counter call whose caller has crashed is still counted, but its reply is not delivered to the next incarnation.
func TestCounterReplyToCrashedDoorIsDropped(t *testing.T) {
	s := read(t, "")
	replies := 0
	sim := New(s, 1, Maker{New: func(gate.Terms, uint64, TrueState) gate.Decider { return counterDecider{&replies} }}, &eventLog{})
	d := sim.doors[0]
	d.start(sim)
	d.submit(sim, &Try{request: &clientRequest{units: 1, deadline: 5000}, deadline: 1000})
	d.collectEvents(sim)
	d.decide(sim.now)
	d.carryOut(sim)
	d.crash(sim)
	sim.now = 0.5
	d.start(sim)
	for len(sim.queue.heap) > 0 && sim.queue.heap[0].at < 100 {
		next := sim.queue.pop()
		sim.now = next.at
		if next.kind == eventCounterCall || next.kind == eventCounterReply {
			sim.dispatch(&next)
		}
	}
	assert.Equal(t, 1.0, sim.counter.totals[counterKey{0, 1}].total)
	assert.Empty(t, d.inbox)
	assert.Zero(t, replies)
}

// A group that forgets an idempotency key a millisecond before a repeat arrives lets the request run twice.
func TestForgottenKeyLetsRequestRunTwice(t *testing.T) {
	s := read(t, "\n[[fault]]\nkind = \"forget_tokens\"\nat_s = 0.0\nfor_s = 5.0\nmuch = 1.0")
	k := &eventLog{}
	sim := New(s, 1, policyMaker, k)
	b, try := sim.backends[0], &Try{Class: 1, request: &clientRequest{units: 1}}
	sim.now = 100
	sim.recordEffect(b, try)
	sim.now = 100 + 400
	assert.True(t, sim.isDuplicate(b, try), "within the deduplication window")
	b.faults = []*activeFault{{spec: &s.Faults[0], class: -1}}
	assert.False(t, sim.isDuplicate(b, try), "forgotten a millisecond early")
	sim.recordEffect(b, try)
	ran := k.ofKind(trace.Ran)
	require.Len(t, ran, 2)
	assert.True(t, ran[1].Twice)
}

func TestSeventyPercentOfDoorsCrashAtOnce(t *testing.T) {
	s := read(t, "\n[[fault]]\nkind = \"door_deaths\"\nat_s = 2.0\nfor_s = 1.0\nshare = 0.7")
	s.Fleet.Doors, s.Day.TickMs = 300, 4
	k := runScenario(t, s, 1, policyMaker)
	assert.Len(t, k.ofKind(trace.DoorDied), 210)
	assert.Len(t, k.ofKind(trace.DoorStarted), 510)
	open := map[int]bool{}
	for _, e := range k.events {
		switch e.Kind {
		case trace.Asked:
			open[e.Request] = true
		case trace.Received, trace.GaveUp:
			assert.True(t, open[e.Request], "each request ends once")
			delete(open, e.Request)
		}
	}
	assert.Empty(t, open, "every request ends")
}

// A split counter keeps separate totals for doors with even and odd numbers, and keeps those of the even ones when it heals.
func TestSplitCounterKeepsSeparateTotals(t *testing.T) {
	s := read(t, "")
	sim := New(s, 1, policyMaker, &eventLog{})
	count := func(door int) float64 {
		k := &counterCall{door: door, key: counterKey{7, 1}, add: 1, ttl: 1e4}
		sim.counter.serve(sim, k)
		return k.total
	}
	assert.Equal(t, 1.0, count(0))
	sim.counter.split()
	assert.Equal(t, 2.0, count(0))
	assert.Equal(t, 2.0, count(1))
	assert.Equal(t, 3.0, count(2))
	sim.counter.heal()
	assert.Equal(t, 4.0, count(1))
}

func TestEventQueuePopsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q eventQueue
		for _, at := range rapid.SliceOfN(rapid.IntRange(0, 20), 1, 300).Draw(t, "times") {
			kind := eventBackendArrival
			if rapid.Bool().Draw(t, "door") {
				kind = eventDecide
			}
			q.push(event{at: float64(at), kind: kind})
		}
		last := event{at: -1}
		for len(q.heap) > 0 {
			next := q.pop()
			if next.before(&last) {
				t.Fatalf("%+v after %+v", next, last)
			}
			last = next
		}
	})
}

// Work is conserved: a backend takes as long for a number of jobs as its cores need for their work.
func TestBackendServesAtItsCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := read(t, "")
		s.Machines[0].Thrash, s.Machines[0].ErrorRate = 0, 0
		sim := New(s, 1, policyMaker, &eventLog{})
		b := sim.backends[0]
		n := rapid.IntRange(1, b.slots).Draw(rt, "operations")
		total := 0.0
		for i := range n {
			work := rapid.Float64Range(1, 100).Draw(rt, "work")
			total += work
			j := &Job{Try: &Try{ID: i, request: &clientRequest{work: work}}, incarnation: b.incarnation, caller: sim.doors[0]}
			j.work = work
			b.startJob(j)
		}
		b.scheduleFinish(sim)
		for len(b.running) > 0 {
			next := sim.queue.pop()
			if sim.now = next.at; next.kind == eventFinish {
				sim.dispatch(&next)
			}
		}
		least, most := total/b.capacity(), total/b.speed
		if sim.now < least-1e-6 || sim.now > most+1e-6 {
			rt.Fatalf("done after %g ms, between %g and %g is possible", sim.now, least, most)
		}
	})
}
