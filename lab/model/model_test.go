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

const town = `
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
	s, err := scenario.Read([]byte(town + more))
	require.NoError(t, err)
	return &s
}

// kept keeps a day's events, and a sum of them.
type kept struct {
	events []trace.Event
	sum    hash.Hash64
}

func (k *kept) Take(e *trace.Event) {
	k.events = append(k.events, *e)
	if k.sum != nil {
		_ = binary.Write(k.sum, binary.LittleEndian, []int64{int64(e.Kind), int64(math.Float64bits(e.At)), int64(e.Try), int64(e.Door), int64(e.Backend)})
	}
}

// of lists the events of a kind.
func (k *kept) of(kind trace.Kind) (out []trace.Event) {
	for _, e := range k.events {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}

var ours = Maker{New: func(t gate.Terms, seed uint64, _ Sight) gate.Decider { return policy.New(t, seed) }}

func play(t *testing.T, s *scenario.Scenario, seed uint64, m Maker) *kept {
	k := &kept{sum: xxhash.New()}
	require.NoError(t, New(s, seed, m, k).Run(context.Background(), nil))
	return k
}

func TestTheSameSeedIsTheSameDayOnAnyNumberOfCores(t *testing.T) {
	s := read(t, "\n[[fault]]\nkind = \"door_deaths\"\nat_s = 2.0\nfor_s = 1.0\nshare = 0.5\n[[fault]]\nkind = \"replace\"\nat_s = 1.0\nfor_s = 2.0\nshare = 0.5\nmuch = 1.0")
	s.Fleet.Doors = 12 // enough that they are asked side by side
	first := play(t, s, 3, ours)
	before := runtime.GOMAXPROCS(1)
	alone := play(t, s, 3, ours)
	runtime.GOMAXPROCS(before)
	assert.Equal(t, first.sum.Sum64(), alone.sum.Sum64())
	assert.NotEqual(t, first.sum.Sum64(), play(t, s, 4, ours).sum.Sum64())
}

func TestWhatIsAskedDoesNotHangOnTheDecisions(t *testing.T) {
	s := read(t, "")
	rejects := Maker{New: func(gate.Terms, uint64, Sight) gate.Decider { return rejecter{} }}
	assert.Equal(t, play(t, s, 1, ours).of(trace.Asked), play(t, s, 1, rejects).of(trace.Asked))
}

type rejecter struct{}

func (rejecter) Decide(_ float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		if o, is := e.(gate.Request); is {
			out = append(out, gate.Reject{Op: o.Op})
		}
	}
	return out
}

// timed sends each request once with a cap, and counts its ends.
type timed struct {
	limit float64
	ends  map[gate.Result]int
}

func (d *timed) Decide(_ float64, events []gate.Event) (out []gate.Action) {
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

// A request whose answer and time-out fall on the same instant ends once.
func TestAnAnswerAndATimeOutAtTheSameInstantAreOneEnd(t *testing.T) {
	s := read(t, "")
	d := &timed{ends: map[gate.Result]int{}}
	w := New(s, 1, Maker{New: func(gate.Terms, uint64, Sight) gate.Decider { return d }}, &kept{})
	door := w.doors[0]
	door.start(w)
	w.now = 10
	try := &Try{want: &want{units: 1, until: 5000}, until: 1000}
	door.submit(w, try)
	door.gather(w)
	door.think(w.now)
	d.limit = 0
	door.act(w)
	job := door.ops[0].jobs[0]
	w.now = 200
	w.at(200, due{kind: dueBack, j: job, p: gate.Finished})
	w.at(200, due{kind: dueExpire, j: job})
	for len(w.q.heap) > 0 && w.q.heap[0].at <= 200 {
		if next := w.q.pop(); next.kind == dueBack || next.kind == dueExpire {
			w.step(&next)
		}
	}
	require.Len(t, door.back, 1)
	door.gather(w)
	door.think(w.now)
	door.act(w)
	assert.Equal(t, map[gate.Result]int{gate.Finished: 1}, d.ends)
	assert.Equal(t, trace.Finished, try.answer)
}

// sleeper asks once to be woken, and notes when it is.
type sleeper struct {
	asked bool
	woken *float64
}

func (d *sleeper) Decide(now float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case gate.Request:
			out = append(out, gate.Reject{Op: e.Op})
		case gate.TimerFired:
			*d.woken = now - epoch
		}
	}
	if !d.asked {
		d.asked = true
		out = append(out, gate.SetTimer{At: now + 20})
	}
	return out
}

// A hunt found a request answered 50 ms after its client's wait: its door's wake was lost where it decided on
// something else before.
func TestAWakeOutlivesADecisionBeforeIt(t *testing.T) {
	s := read(t, "")
	woken := 0.0
	w := New(s, 1, Maker{New: func(gate.Terms, uint64, Sight) gate.Decider { return &sleeper{woken: &woken} }}, &kept{})
	d := w.doors[0]
	d.start(w)
	turn := func(at float64) {
		w.now = at
		w.ready = append(w.ready[:0], d)
		w.decide()
	}
	turn(0)
	w.now = 5
	d.submit(w, &Try{want: &want{units: 1, until: 5000}, until: 1000})
	turn(5)
	for len(w.q.heap) > 0 && woken == 0 {
		if next := w.q.pop(); next.kind == dueDoor && next.n == 0 {
			turn(next.at)
		}
	}
	assert.Equal(t, 20.0, woken)
}

// caller makes one call of the counter for each request.
type caller struct{ heard *int }

func (d caller) Decide(_ float64, events []gate.Event) (out []gate.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case gate.Request:
			out = append(out, gate.Count{Customer: e.Customer, Epoch: 1, Add: 1, TTL: 1e4}, gate.Reject{Op: e.Op})
		case gate.Counted:
			*d.heard++
		}
	}
	return out
}

// A counter that answers after its caller is dead adds what it was told to, and nobody hears of it.
func TestTheCounterAnswersADeadCaller(t *testing.T) {
	s := read(t, "")
	heard := 0
	w := New(s, 1, Maker{New: func(gate.Terms, uint64, Sight) gate.Decider { return caller{&heard} }}, &kept{})
	d := w.doors[0]
	d.start(w)
	d.submit(w, &Try{want: &want{units: 1, until: 5000}, until: 1000})
	d.gather(w)
	d.think(w.now)
	d.act(w)
	d.die(w)
	w.now = 0.5
	d.start(w)
	for len(w.q.heap) > 0 && w.q.heap[0].at < 100 {
		next := w.q.pop()
		w.now = next.at
		if next.kind == dueCount || next.kind == dueCounted {
			w.step(&next)
		}
	}
	assert.Equal(t, 1.0, w.counter.totals[name{0, 1}].total)
	assert.Empty(t, d.inbox)
	assert.Zero(t, heard)
}

// A group that forgets a mark a millisecond before its repeat comes lets the request run twice.
func TestAForgottenMarkLetsARequestRunTwice(t *testing.T) {
	s := read(t, "\n[[fault]]\nkind = \"forget_tokens\"\nat_s = 0.0\nfor_s = 5.0\nmuch = 1.0")
	k := &kept{}
	w := New(s, 1, ours, k)
	b, try := w.backends[0], &Try{Class: 1, want: &want{units: 1}}
	w.now = 100
	w.ran(b, try)
	w.now = 100 + 400
	assert.True(t, w.remembers(b, try), "within its window")
	b.hurts = []*hurt{{fault: &s.Faults[0], class: -1}}
	assert.False(t, w.remembers(b, try), "forgotten a millisecond early")
	w.ran(b, try)
	ran := k.of(trace.Ran)
	require.Len(t, ran, 2)
	assert.True(t, ran[1].Twice)
}

func TestSeventyInAHundredDoorsDieAtOnce(t *testing.T) {
	s := read(t, "\n[[fault]]\nkind = \"door_deaths\"\nat_s = 2.0\nfor_s = 1.0\nshare = 0.7")
	s.Fleet.Doors, s.Day.TickMs = 300, 4
	k := play(t, s, 1, ours)
	assert.Len(t, k.of(trace.DoorDied), 210)
	assert.Len(t, k.of(trace.DoorStarted), 510)
	open := map[int]bool{}
	for _, e := range k.events {
		switch e.Kind {
		case trace.Asked:
			open[e.Request] = true
		case trace.Received, trace.GaveUp:
			assert.True(t, open[e.Request], "each want ends once")
			delete(open, e.Request)
		}
	}
	assert.Empty(t, open, "and all end")
}

// A split counter shows even and odd doors totals of their own, and keeps the even ones' when it heals.
func TestASplitCounterCountsApart(t *testing.T) {
	s := read(t, "")
	w := New(s, 1, ours, &kept{})
	count := func(door int) float64 {
		k := &call{door: door, name: name{7, 1}, add: 1, keep: 1e4}
		w.counter.come(w, k)
		return k.total
	}
	assert.Equal(t, 1.0, count(0))
	w.counter.split()
	assert.Equal(t, 2.0, count(0))
	assert.Equal(t, 2.0, count(1))
	assert.Equal(t, 3.0, count(2))
	w.counter.heal()
	assert.Equal(t, 4.0, count(1))
}

func TestTheQueueGivesBackInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		for _, at := range rapid.SliceOfN(rapid.IntRange(0, 20), 1, 300).Draw(t, "times") {
			kind := dueCome
			if rapid.Bool().Draw(t, "door") {
				kind = dueDoor
			}
			q.push(due{at: float64(at), kind: kind})
		}
		last := due{at: -1}
		for len(q.heap) > 0 {
			next := q.pop()
			if next.before(&last) {
				t.Fatalf("%+v after %+v", next, last)
			}
			last = next
		}
	})
}

// Work is neither lost nor made: what a backend serves in a time is what its cores can do.
func TestABackendServesAtItsCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := read(t, "")
		s.Machines[0].Thrash, s.Machines[0].ErrorRate = 0, 0
		w := New(s, 1, ours, &kept{})
		b := w.backends[0]
		n := rapid.IntRange(1, b.slots).Draw(rt, "operations")
		total := 0.0
		for i := range n {
			work := rapid.Float64Range(1, 100).Draw(rt, "work")
			total += work
			j := &Job{Try: &Try{ID: i, want: &want{work: work}}, life: b.life, caller: w.doors[0]}
			j.work = work
			b.begin(j)
		}
		b.plan(w)
		for len(b.work) > 0 {
			next := w.q.pop()
			if w.now = next.at; next.kind == dueFinish {
				w.step(&next)
			}
		}
		least, most := total/b.capacity(), total/b.speed
		if w.now < least-1e-6 || w.now > most+1e-6 {
			rt.Fatalf("done after %g ms, between %g and %g is possible", w.now, least, most)
		}
	})
}
