package policy

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/swifthall/swifthall/gate"
)

func TestHoldGrowsWithBacklogAboveTheMargin(t *testing.T) {
	d := door(4)
	o := &request{class: idempotent}
	d.out[idempotent] = 5
	d.lat[idempotent].recent = 250 // within the margin
	assert.Zero(t, d.hold(o))
	d.lat[idempotent].recent = 500
	little := d.hold(o)
	assert.Positive(t, little)
	d.lat[idempotent].recent = 700
	assert.Greater(t, d.hold(o), little)
}

func TestNothingInFlightMeansNoHold(t *testing.T) {
	d := door(4)
	d.lat[idempotent].recent = 5000 // all was rejected since; no sample will lower it
	assert.Zero(t, d.hold(&request{class: idempotent}))
}

func TestHoldThatEatsTheTimeLeftIsRejectedWithAdvice(t *testing.T) {
	d := door(4)
	d.out[idempotent], d.lat[idempotent].recent = 25, 950
	d.arrive(arriving(0, idempotent, plain))
	assert.Equal(t, rejected, d.ops[0].want)
	assert.Positive(t, d.ops[0].retryAfter)
	assert.LessOrEqual(t, d.ops[0].retryAfter, 500.0)
	assert.Zero(t, d.buckets[0].promised, "units of an operation never sent are given back")
}

func TestFewSamplesSetNoLow(t *testing.T) {
	d := door(1)
	d.lat[idempotent] = latency{}
	for range lowAfter - 1 {
		d.sample(idempotent, 1)
	}
	assert.Equal(t, firstGuess*1000, d.low(idempotent))
	d.sample(idempotent, 1)
	assert.InDelta(t, 1, d.low(idempotent), 1e-9)
}

func TestLowFollowsALastinglyHeavierMix(t *testing.T) {
	d := door(1)
	for range 600 {
		d.now += 1000
		d.sample(idempotent, 400)
	}
	assert.Greater(t, d.lat[idempotent].low, 300.0)
}

func TestSilenceOfTheFleetRaisesTheEstimate(t *testing.T) {
	d := sentEach()
	d.now += 800
	d.look()
	assert.InDelta(t, 100+smoothing*4*700, d.recent(idempotent), 1)
}

func TestOneSilentBackendDoesNotRaiseTheEstimate(t *testing.T) {
	d := door(4)
	for i := range 4 {
		d.arrive(arriving(i, idempotent, plain))
		d.send(i, 0)
	}
	d.settle()
	d.fleet.cases[idempotent][0].judged = true
	d.now += 800
	d.look()
	assert.InDelta(t, 100, d.recent(idempotent), 1)
}

func TestPartIsEvenUntilOthersAreHeard(t *testing.T) {
	d := door(1)
	k := d.fill(0, plain, 0, 3)
	k.demand = 0.001
	assert.InDelta(t, 1.0/3, d.part(k), 1e-9)
	d.hear(k, 0)
	alone := d.part(k)
	assert.Greater(t, alone, 0.5)
	k.others = 0.003
	assert.Less(t, d.part(k), alone)
}

func TestBeyondQuotaIsRejectedAtOnce(t *testing.T) {
	d := door(1)
	d.fill(0, plain, 0, 3).level = 0.5
	d.arrive(arriving(0, idempotent, plain))
	assert.Equal(t, rejected, d.ops[0].want)
	assert.InDelta(t, 250, d.ops[0].retryAfter, 1)
}

// Customers that come only once, and backends under their ids, must not stay for a minute where a new bucket would say
// the same.
func TestAnIdleBucketThatIsFullAgainIsDropped(t *testing.T) {
	d := door(1)
	d.fill(0, plain, 0, 3)
	d.now += idleFull + 1
	d.buckets[0].level = -40
	d.forget()
	assert.Empty(t, d.forgets, "it would start full")
	d.buckets[0].level = 12
	d.forget()
	assert.Equal(t, []gate.Action{gate.FreeCustomer{Customer: 0}}, d.forgets)
}

// The index of a customer that was forgotten goes to another, who finds nothing of the first.
func TestAForgottenCustomersIndexStartsClean(t *testing.T) {
	d := door(2)
	d.arrive(arriving(0, idempotent, capped))
	k := &d.buckets[0]
	k.level, k.ceiling, k.others, k.heard, k.trim, k.barred, k.barredUnits = -5, -5, 1, d.now, 0.2, 1e12, 1
	k.count = counting{window: 7, granted: 9, owed: 3, calling: true}
	k.promised, k.promisedUnits, k.open, k.out = 0, 0, 0, 0
	d.live, d.now = nil, d.now+idleDrop+1
	d.forget()
	d.forgets = nil
	d.now += 1
	d.arrive(gate.Request{Op: 1, Class: idempotent, Plan: plain, TTL: 3000, Units: 1, Spread: 2, FirstDoor: 1})
	fresh := bucket{known: true, plan: plain, first: 1, spread: 2, level: 12, filled: d.now, store: 12, trim: 1, heard: math.Inf(-1), set: 2,
		phase: 0, open: 1, demand: 1 / demandSpan, promised: d.buckets[0].promised, promisedUnits: 1}
	assert.Equal(t, fresh, d.buckets[0])
}

func TestANewCustomersSliceHasFilledSinceTheDoorWasBorn(t *testing.T) {
	d := door(1)
	d.born = d.now - 2000
	assert.InDelta(t, 2, d.fill(0, capped, 0, 3).ceiling, 1e-9)
	assert.Zero(t, d.fill(0, capped, 1, 3).ceiling, "nothing is known of a slice that changed")
}

func TestCeilingSliceStartsEmptyAndFillsByTheSlice(t *testing.T) {
	d := door(1)
	d.born = d.now
	assert.Zero(t, d.fill(0, capped, 0, 3).ceiling)
	d.now += 2000
	assert.InDelta(t, 2, d.fill(0, capped, 0, 3).ceiling, 1e-9)
	d.now += 1e6
	assert.InDelta(t, (30-2*askFor*0.003)/3, d.fill(0, capped, 0, 3).ceiling, 1e-9)
}

func TestUnitsAreTakenWhenSentNotWhenHeld(t *testing.T) {
	d := door(1)
	full := (30 - 2*askFor*0.003) / 3
	d.fill(0, capped, 0, 3).ceiling = full
	d.arrive(arriving(0, idempotent, capped))
	d.now += 60e3 // a hold long enough to fill what it had taken
	d.send(0, 0)
	assert.InDelta(t, full-1, d.buckets[0].ceiling, 1e-9)
	assert.Zero(t, d.buckets[0].promisedUnits)
}

func TestHoldsAreNotAllReleasedAtOnce(t *testing.T) {
	d := door(4)
	d.lat[idempotent].recent = 300
	for i := range 50 {
		o := arriving(i, idempotent, plain)
		o.Units = 0
		d.arrive(o)
	}
	d.now += 100
	d.tick()
	assert.Positive(t, d.out[idempotent])
	assert.Less(t, d.out[idempotent], 30)
}

func TestNonIdempotentThatMayHaveRunIsFailed(t *testing.T) {
	d := sentOnce(nonIdempotent, 0)
	d.ended(gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1})
	d.tick()
	assert.Equal(t, failed, d.ops[0].want)
}

func TestNonIdempotentThatNeverRanIsSentAgain(t *testing.T) {
	d := sentOnce(nonIdempotent, 0)
	d.ended(gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	assert.True(t, d.ops[0].held)
}

func TestKeyedStaysInItsGroupAndWindow(t *testing.T) {
	d := sentOnce(keyedInZone, 0)
	o := &d.ops[0]
	assert.True(t, d.allowed(o, 2))
	assert.False(t, d.allowed(o, 1), "another zone")
	d.now += 4000
	assert.False(t, d.allowed(o, 2), "past the window")
}

// A repeat is decided within the window, but its connection may be long in coming: it says by when it must begin, counted
// from the earliest attempt that may have run.
func TestARepeatSaysByWhenItMustBegin(t *testing.T) {
	for class, want := range map[int]float64{keyedAnywhere: 100e3 + 4000 - repeatGap, keyedInZone: 100e3 + 4000 - repeatGap, idempotent: 0} {
		d := sentOnce(class, 0)
		assert.Zero(t, d.by(&d.ops[0], 0), "the first may begin whenever")
		d.now += 1000
		d.ended(gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1})
		d.send(0, 2)
		d.settle()
		assert.Contains(t, d.actions, gate.Send{Op: 0, Backend: 2, StartBy: want})
		d.now += 1000
		d.ended(gate.AttemptEnded{Attempt: 1, Result: gate.Skipped, MeteredUse: -1})
		d.send(0, 2)
		assert.Equal(t, want, d.by(&d.ops[0], 2), "one that never ran moves nothing")
		d.ended(gate.AttemptEnded{Attempt: 2, Result: gate.Reset, MeteredUse: -1})
		assert.Equal(t, want, d.by(&d.ops[0], 3), "of two that may have run, the earlier one's group forgets first")
	}
	d := sentOnce(keyedAnywhere, 0)
	d.ended(gate.AttemptEnded{Result: gate.Unreachable, MeteredUse: -1})
	d.now += 3000
	d.send(0, 2)
	d.settle()
	assert.Contains(t, d.actions, gate.Send{Op: 0, Backend: 2})
}

func TestKeyedOfOneZoneIsNotRejectedOnceItMayHaveRun(t *testing.T) {
	d := sentOnce(keyedInZone, 0)
	d.fleet.up = make([]bool, 4)
	d.ended(gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1})
	d.tick()
	assert.Equal(t, failed, d.ops[0].want)
}

func TestDrainingBackendGetsNothingNew(t *testing.T) {
	d := door(2)
	d.list(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 0, Status: gate.Draining}}})
	for range 20 {
		b, _ := d.pick(&request{class: idempotent})
		assert.Equal(t, 1, b)
	}
}

func TestColdBackendGetsTheSharesOfAnyNumberOfDoors(t *testing.T) {
	d := door(2)
	d.arrive(arriving(0, idempotent, plain))
	d.fleet.since[0], d.now = 50e3, 50e3
	d.fleet.work, d.fleet.workAt = 200, 50e3 // 0.02 ms of work a ms: a thin door, 0.1 requests a window
	sent := 0
	for range 400 {
		d.now += d.terms.OverloadWindow
		d.fleet.since[0], d.fleet.workAt = d.now, d.now // as cold as on its first day
		for d.coldRoom(&d.ops[0], 0) {
			d.fleet.coldLeft[0]--
			sent++
		}
	}
	budget := 400 * d.terms.OverloadMultiple * d.terms.ColdCapacity * 0.02 * d.terms.OverloadWindow / 100
	assert.Less(t, float64(sent), budget)
	assert.Greater(t, float64(sent), budget/2)
}

func TestSilenceIsJudgedAndAnswersClear(t *testing.T) {
	d := sentOnce(idempotent, 0)
	for range 10 {
		d.now += 100
		d.tick()
	}
	assert.True(t, d.fleet.shunned(0, idempotent))
	o := &d.ops[0]
	d.judge(o, &o.sends[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100})
	d.judge(o, &o.sends[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100})
	assert.False(t, d.fleet.shunned(0, idempotent))
}

func TestAWholeFleetIsNeverJudged(t *testing.T) {
	d := door(4)
	for b := range 4 {
		d.doubt(b, idempotent, judgeAt)
	}
	assert.True(t, d.fleet.shunned(1, idempotent))
	assert.False(t, d.fleet.shunned(2, idempotent))
}

func TestAClassLeftUnansweredIsJudgedWhereOthersAreAnswered(t *testing.T) {
	d := sentOnce(idempotent, 0)
	for range 10 {
		d.now += 200
		d.tick()
		d.judge(&request{class: nonIdempotent}, &attempt{}, gate.AttemptEnded{Result: gate.Finished, Latency: 100})
	}
	assert.True(t, d.fleet.shunned(0, idempotent))
	assert.False(t, d.fleet.shunned(0, nonIdempotent))
}

func TestHeldRequestIsAnsweredBeforeTheWaitEnds(t *testing.T) {
	d := door(0) // nowhere to send
	d.arrive(arriving(0, idempotent, plain))
	d.now = d.ops[0].until - tickEvery
	d.tick()
	assert.Equal(t, rejected, d.ops[0].want)
}

func TestWakeIsAskedForAgainWhateverTheClockSays(t *testing.T) {
	d := door(0)
	d.arrive(arriving(0, idempotent, plain))
	d.Decide(d.now, nil)
	acts := d.Decide(d.now+tickEvery-0.0001, []gate.Event{gate.TimerFired{}})
	assert.Contains(t, acts, gate.SetTimer{At: d.now + tickEvery})
}

func TestAtOnceQuotaHolds(t *testing.T) {
	d := door(4)
	full := (30 - 2*askFor*0.003) / 3
	d.fill(0, capped, 0, 3).ceiling = full
	d.arrive(arriving(0, idempotent, capped))
	d.arrive(arriving(1, idempotent, capped))
	d.release(0)
	d.release(1)
	assert.Len(t, d.ops[0].sends, 1)
	assert.True(t, d.ops[1].held)
}

// asking returns door 1 of 3, which may write to the others, with request 0 for a customer of doors 0 to 2.
// counting2 returns a door with request 0 of two units waiting for the shared counter.
func counting2() *Door {
	d := door(4)
	d.terms.Counter = true
	e := arriving(0, idempotent, plain)
	e.Units = 2
	d.arrive(e)
	d.tick()
	return d
}

// Calls are for customers that come near their quota: called for each one, a counter that bears half of the calls fails
// those that need it. What went without is added once there is a call.
func TestACustomerWithAmpleRoomIsCountedWithALaterCall(t *testing.T) {
	d := counting2()
	d.calls = nil
	e := arriving(1, idempotent, plain)
	e.Customer, e.Spread = 1, 1
	d.arrive(e)
	d.tick()
	assert.Empty(t, d.calls)
	assert.Equal(t, 1, d.out[idempotent], "it goes at once")
	d.buckets[1].level = 4
	e.Op = 2
	d.arrive(e)
	d.tick()
	c := &d.buckets[1].count
	assert.Equal(t, c.asked+1, d.calls[0].(gate.Count).Add)
	assert.Zero(t, c.owed)
}

func TestUnitsAreCalledForFromTheCounter(t *testing.T) {
	d := counting2()
	call := d.calls[0].(gate.Count)
	assert.Equal(t, 2.0, call.Add)
	assert.Zero(t, d.out[idempotent])
	d.counted(gate.Counted{Epoch: call.Epoch, Total: 12})
	d.tick()
	assert.Equal(t, 1, d.out[idempotent])
}

func TestRoomTooSmallOnTheCounterIsKeptForSmallerRequests(t *testing.T) {
	d := counting2()
	call := d.calls[0].(gate.Count)
	c := &d.buckets[0].count
	d.counted(gate.Counted{Epoch: call.Epoch, Total: 12 + c.fill*4000 + 1}) // 4 s into the window
	d.tick()
	assert.Equal(t, rejected, d.ops[0].want)
	assert.InDelta(t, 1, c.back, 1e-9, "the next call takes off what was not granted")
	d.arrive(arriving(1, idempotent, plain))
	d.tick()
	assert.Equal(t, 1, d.out[idempotent])
}

func TestUnitsRefillWithinAWindowFromTheLevelLastSeen(t *testing.T) {
	d := counting2()
	c := &d.buckets[0].count
	assert.InDelta(t, 0.002/3, c.fill, 1e-9, "beginning not seen: by the even slice")
	c.room, c.seen, c.back = 3, d.now, 0.5
	d.calls, c.calling = nil, false
	d.now += 6000 // the same place in the next window, whose beginning was 4 s ago
	d.count(&d.ops[0], &d.buckets[0])
	assert.InDelta(t, 3+2000*0.002, c.before, 1e-9)
	assert.InDelta(t, 0.002, c.fill, 1e-9)
	d.counted(gate.Counted{Epoch: c.window, Total: 16})
	assert.InDelta(t, 0, c.room, 1e-9)
	assert.InDelta(t, 1, c.granted, 1e-9)
	assert.InDelta(t, 500, d.buckets[0].barred-d.now, 1e-6, "until two units are there")
}

func TestACrowdedCounterIsCalledLess(t *testing.T) {
	d := counting2()
	d.counted(gate.Counted{Epoch: d.calls[0].(gate.Count).Epoch, Result: gate.Full})
	assert.Less(t, d.calling, 1.0)
	d.tick()
	assert.Equal(t, 1, d.out[idempotent], "decided by part")
}

func TestACounterThatWasAwayIsCalledAsBefore(t *testing.T) {
	d := counting2()
	epoch := d.calls[0].(gate.Count).Epoch
	for range 2 * awayAfter {
		d.now += askFor
		d.counted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, countLeast, d.calling)
	d.counted(gate.Counted{Epoch: epoch})
	assert.Equal(t, 1.0, d.calling)
	for range awayAfter {
		d.now += askFor
		d.counted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
		d.counted(gate.Counted{Epoch: epoch, Result: gate.Full}) // a crowd's word
	}
	d.counted(gate.Counted{Epoch: epoch})
	assert.Less(t, d.calling, 0.1)
}

// Calls made together time out together. Taken for as many crowds, one line at the counter stopped the calls for
// seconds; and what cannot be read was an answer, which says nothing of a crowd.
func TestCallsThatFailTogetherAreOneCrowd(t *testing.T) {
	d := counting2()
	epoch := d.calls[0].(gate.Count).Epoch
	d.counted(gate.Counted{Epoch: epoch, Result: gate.Malformed})
	assert.Equal(t, 1.0, d.calling)
	for range 5 {
		d.counted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, countCut, d.calling)
	assert.Less(t, d.crowdedAt, d.now, "one line is no crowd yet")
	for range 2 {
		d.now += askFor
		d.counted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, d.now, d.crowdedAt)
}

// A call that may have been counted was, as a rule: left on the number, its units would be nobody's.
func TestWhatACallMayHaveAddedInVainIsTakenOff(t *testing.T) {
	d := counting2()
	c := &d.buckets[0].count
	d.counted(gate.Counted{Epoch: c.window, Result: gate.TimedOut})
	assert.Equal(t, c.asked, c.back)
	c.back = 0
	d.counted(gate.Counted{Epoch: c.window, Result: gate.Unreachable})
	assert.Zero(t, c.back)
}

// A store that was full when a window was half over holds its depth, not the depth and what would have refilled.
func TestAWindowLetsInNoMoreThanTheStoreCanHold(t *testing.T) {
	d := counting2()
	c, p := &d.buckets[0].count, &d.terms.Plans[plain]
	c.before, c.fill, c.asked = p.Depth, p.Rate, 2*p.Depth
	_, left := d.window(&d.buckets[0])
	d.counted(gate.Counted{Epoch: c.window, Total: 2 * p.Depth})
	assert.Less(t, left, p.Depth/p.Rate)
	assert.InDelta(t, p.Depth, c.granted, 1e-9)
}

// Each door's part goes by its demand against the others' use. Of a customer far beyond its quota all ask for more
// than is used, so that the parts add up to more than the quota; the meter shows it. A burst from a full store is
// none of that.
func TestPartsAreTrimmedWhileTheyAddUpToTooMuch(t *testing.T) {
	d := door(2)
	k := d.fill(0, plain, 0, 3)
	k.demand = 1
	d.hear(k, 2)
	assert.Equal(t, 1.0, k.trim, "the store was full")
	whole := d.part(k)
	for range 20 {
		d.now += d.terms.MeterPeriod
		d.hear(k, 2)
	}
	assert.Less(t, d.part(k), whole*0.7)
	assert.GreaterOrEqual(t, k.trim, trimLeast)
	for range 20 {
		d.now += d.terms.MeterPeriod
		d.hear(k, 0.2)
	}
	assert.InDelta(t, 1, k.trim, 0.01)
}

func TestCallsAreNotSavedForEver(t *testing.T) {
	d := counting2()
	d.crowdedAt, d.calls = d.now, nil
	e := arriving(1, idempotent, plain) // of a customer whose part is fair
	e.Customer, e.Units = 1, 2
	d.arrive(e)
	d.tick()
	assert.Empty(t, d.calls)
	d.now += crowdedFor
	d.dice = newDice(1)
	for op := 2; op < 12; op++ {
		e.Op, e.Customer = op, op
		d.arrive(e)
	}
	d.tick()
	assert.NotEmpty(t, d.calls)
}

func TestFailedListIsAskedForAgainButNotAtOnce(t *testing.T) {
	d := door(1)
	d.terms.MustSubscribe = true
	assert.NotContains(t, d.Decide(d.now, []gate.Event{gate.FleetUpdate{Failed: true}}), gate.SubscribeFleet{})
	assert.Contains(t, d.Decide(d.now+askRest, nil), gate.SubscribeFleet{})
	assert.NotContains(t, d.Decide(d.now+1, nil), gate.SubscribeFleet{})
}

func TestLostAnswersAreNoBacklog(t *testing.T) {
	d := sentEach()
	assert.Positive(t, d.drain(idempotent))
	d.now += 1500 // past the contract time, not yet given up by the clients
	d.answeredAt = d.now - 100
	d.look()
	assert.Zero(t, d.drain(idempotent))
	assert.InDelta(t, 100, d.recent(idempotent), 1)
	assert.Zero(t, d.hold(&d.ops[0]))
}

// When nothing at all comes back, what is out is no lost answer: a door whose few samples dated from before went on
// sending to a fleet that had come to a stand.
func TestAFleetThatAnswersNothingIsPressed(t *testing.T) {
	d := sentEach()
	d.now += 1500
	d.answeredAt = d.now - 1500
	d.look()
	assert.Positive(t, d.drain(idempotent))
	assert.Positive(t, d.hold(&d.ops[0]))
}

func TestALatencyAtAJudgedBackendCountsOnceAllAreMute(t *testing.T) {
	d := sentOnce(idempotent, 2)
	d.fleet.cases[idempotent][2].judged = true
	gone := gate.AttemptEnded{Result: gate.TimedOut, Latency: 900, MeteredUse: -1}
	d.answeredAt = d.now
	d.judge(&d.ops[0], &d.ops[0].sends[0], gone)
	assert.Equal(t, 100.0, d.lat[idempotent].recent, "one silent backend is no pressed fleet")
	d.answeredAt = d.now - 1500
	d.judge(&d.ops[0], &d.ops[0].sends[0], gone)
	assert.Greater(t, d.lat[idempotent].recent, 100.0)
}

// Each of hundreds of doors may have one request in flight by chance, but not one of every class.
func TestChanceInFlightCountsOnceForTheDoor(t *testing.T) {
	d := door(4)
	d.out[idempotent] = 1
	assert.Zero(t, d.drain(idempotent))
	d.out[nonIdempotent], d.out[keyedInZone] = 1, 1
	assert.Positive(t, d.drain(idempotent))
}

func TestARepeatRejectedAtACrowdedCounterIsNotSent(t *testing.T) {
	d := counting2()
	d.calling = 0
	e := arriving(1, idempotent, plain)
	e.Customer, e.ClientRetry, e.Units = 1, true, 5 // more than its part holds
	d.arrive(e)
	d.tick()
	assert.Equal(t, rejected, d.ops[1].want)
	assert.Empty(t, d.ops[1].sends, "one never to be sent would count as out for ever")
}

func TestLateAttemptsAreBacklogWhileAnswersAreSlow(t *testing.T) {
	d := door(4)
	for i := range 9 {
		d.arrive(arriving(i, idempotent, plain))
		d.send(i, i%4)
	}
	d.settle()
	d.lat[idempotent].recent = 900
	d.now += 1500
	d.look()
	assert.Positive(t, d.hold(&d.ops[0]), "else the door goes on sending into a fleet that answers nothing in time")
}

func TestALowLearntOnAPressedFleetHasAMost(t *testing.T) {
	d := door(1)
	d.lat[idempotent].low = 900
	assert.Equal(t, lowMost*1000, d.low(idempotent))
}

func TestGivenUpIsALatencyOfItsAge(t *testing.T) {
	d := sentOnce(idempotent, 0)
	d.ended(gate.AttemptEnded{Result: gate.TimedOut, Latency: 3000, MeteredUse: -1})
	assert.InDelta(t, 100+smoothing*900, d.lat[idempotent].recent, 1)
}

func TestWhatIsLateOnAPressedFleetIsGivenUpAtOnce(t *testing.T) {
	d := door(4)
	for i := range 9 {
		d.arrive(arriving(i, idempotent, plain))
		d.send(i, i%4)
	}
	d.settle()
	d.now += 1500
	d.answeredAt = d.now
	d.tick()
	assert.Equal(t, undecided, d.ops[0].want, "nothing says that the fleet is pressed")
	d.lat[idempotent].recent = 900
	d.tick()
	assert.Equal(t, rejected, d.ops[0].want)
}

// Fleets whose backends are replaced all day: a gone one's index is free once no request that went there is open,
// and the next one under it inherits no opinion.
func TestAGoneBackendsIndexIsFreedOnce(t *testing.T) {
	d := sentOnce(idempotent, 1)
	d.fleet.cases[0][1].judged = true
	d.list(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 1, Status: gate.Gone}}})
	d.delist()
	assert.Empty(t, d.forgets, "an operation is out there")
	d.ended(gate.AttemptEnded{Backend: 1, Result: gate.Reset, MeteredUse: -1})
	d.ops[0].want = rejected
	d.tick()
	d.delist()
	assert.Equal(t, []gate.Action{gate.FreeBackend{Backend: 1}}, d.forgets)
	d.delist()
	assert.Len(t, d.forgets, 1)
	d.list(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 1}}})
	assert.False(t, d.fleet.shunned(1, idempotent))
	assert.Equal(t, 1.0, d.fleet.size[1])
	d.list(gate.FleetUpdate{Complete: true, Entries: []gate.Entry{{Backend: 0}}})
	d.delist()
	assert.Len(t, d.forgets, 4, "what a whole list leaves out is gone")
}

// Hundreds of doors with some tens of requests a second each: over all backends, connections are opened anew for
// half of them, and a backend is met too seldom to be known.
func TestADoorKeepsToSoManyMembersAsItsTrafficReaches(t *testing.T) {
	d := door(100)
	met := func() map[int]bool {
		met := map[int]bool{}
		for range 400 {
			o := request{class: idempotent, plan: plain}
			b, any := d.pick(&o)
			require.True(t, any)
			met[b] = true
		}
		return met
	}
	few := met()
	assert.Len(t, few, memberMin)
	d.fleet.sends, d.fleet.sendsAt = 0.02, d.now // 20 a second
	more := met()
	assert.Len(t, more, 20)
	for b := range few {
		assert.True(t, more[b], "those that there are stay")
	}
	d.now += 60e3
	assert.Equal(t, memberMin, d.members(), "quiet again")
}

func TestWhatFailsIsStoodInForByTheNext(t *testing.T) {
	d := door(30)
	o := request{class: idempotent, plan: plain}
	f := &d.fleet
	first := append([]int(nil), f.order[:memberMin]...)
	for _, b := range first { // the whole lot is lost with its zone
		f.cases[idempotent][b] = suspicion{judged: true, doubt: judgeAt, trialAt: d.now + 1e3}
	}
	for range 100 {
		b, _ := d.pick(&o)
		assert.NotContains(t, first, b)
	}
	d.list(gate.FleetUpdate{Entries: []gate.Entry{{Backend: f.order[memberMin], Status: gate.Draining}}})
	assert.Len(t, f.order, 29)
	for range 100 {
		b, _ := d.pick(&o)
		assert.True(t, f.up[b])
	}
}

// By chance alone (each door drawing its own members) the deviation would be 4.7 doors, and a backend with a quarter
// more doors than others is full when the fleet is not.
func TestMembersSpreadEvenlyOverTheDoors(t *testing.T) {
	const doors, backends = 300, 100
	at := make([]int, backends)
	for n := range doors {
		d := New(terms(), uint64(n))
		d.terms.DoorNumber = n
		var e gate.FleetUpdate
		for b := range backends { // every door has its own indices
			e.Entries = append(e.Entries, gate.Entry{Backend: (b + n) % backends, RingPosition: float64(b*37%backends) / backends})
		}
		d.list(e)
		for _, b := range d.fleet.order[:memberMin] {
			at[(b-n%backends+backends)%backends]++
		}
	}
	for _, n := range at {
		assert.InDelta(t, doors*memberMin/backends, n, 2)
	}
}

func TestALostBackendMovesADoorsStretchByOneAtMost(t *testing.T) {
	d := door(30)
	d.terms.DoorNumber = 7
	d.list(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 0}}})
	before := append([]int(nil), d.fleet.order[:memberMin]...)
	d.list(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 29, Status: gate.Gone}}})
	kept := 0
	for _, b := range d.fleet.order[:memberMin] {
		if slices.Contains(before, b) {
			kept++
		}
	}
	assert.GreaterOrEqual(t, kept, memberMin-1)
}

// meteredDoor has request 0 of two units held, gone past a crowded counter, at a door whose part is empty.
func meteredDoor(heardAgo float64) *Door {
	d := door(2)
	d.terms.Counter = true
	e := arriving(0, idempotent, plain)
	e.Units = 2
	d.arrive(e)
	d.ops[0].uncounted = true
	k := &d.buckets[0]
	k.level, k.heard, k.store = 0, d.now-heardAgo, 12
	return d
}

// At a door of many, the part of a customer seen seldom holds no request: a fresh word of the meter that leaves the
// whole store full lets it in, and takes its units from what the word left.
func TestAFreshMeterWordLetsInWhatAThinPartCannotHold(t *testing.T) {
	d := meteredDoor(500)
	assert.True(t, d.secure(0))
	assert.InDelta(t, 10, d.buckets[0].store, 1e-9)
	assert.Zero(t, d.ops[0].charge, "the part is not put in debt")
}

func TestAStaleMeterWordLetsNothingPastThePart(t *testing.T) {
	d := meteredDoor(2 * wordFresh * 1000)
	assert.False(t, d.secure(0))
	assert.Equal(t, rejected, d.ops[0].want)
	assert.Equal(t, gate.OverQuotaShare, d.ops[0].why)
}

func TestAMeterWordIsNotSpentTwice(t *testing.T) {
	d := meteredDoor(500)
	d.buckets[0].store = 12
	require.True(t, d.secure(0))
	e := arriving(1, idempotent, plain)
	e.Units = 2
	d.arrive(e)
	d.ops[1].uncounted = true
	assert.False(t, d.secure(1), "8 units would be left of the word's 12, under the share it must keep")
}

// callingWith returns the units that a door calls for from the counter for a request of two units, with the window's
// room at 12 units and the customer's demand at this door as given, units/ms.
func callingWith(demand float64) float64 {
	d := door(2)
	d.terms.Counter = true
	e := arriving(0, idempotent, plain)
	e.Spread, e.Units = 1, 2
	d.arrive(e)
	k := &d.buckets[0]
	n, _ := d.window(k)
	k.level, k.demand, k.count = 0, demand, counting{window: n, room: 12, before: 12, fill: 0.002}
	d.count(&d.ops[0], k)
	return d.calls[0].(gate.Count).Add
}

// A door that sees a customer seldom would hold a lump of the window's room that only it may use, and the lumps of
// many such doors would leave others with none: it calls for what its demand takes in the rest of the window.
func TestACallAsksNoMoreThanTheDoorsDemandTakes(t *testing.T) {
	assert.Equal(t, 2.0, callingWith(0), "its own units")
	assert.Equal(t, 6.0, callingWith(1), "a lump of half the room")
}

// payingBeyond is a door whose plain plan earns 0.3 of the gain beyond its quota at no cost, with the quota used up.
func payingBeyond() *Door {
	d := door(4)
	d.terms.Plans[plain].OverQuotaGain = 0.3
	d.arrive(arriving(0, idempotent, plain))
	d.buckets[0].level = 0
	return d
}

func TestWhatPaysBeyondItsQuotaIsSentWhileTheFleetIsNotPressed(t *testing.T) {
	d := payingBeyond()
	d.arrive(arriving(1, idempotent, plain))
	assert.Equal(t, undecided, d.ops[1].want)
	assert.Zero(t, d.ops[1].charge, "it takes nothing from the quota")

	d.terms.Plans[plain].OverQuotaCost = 0.3 // no more than it costs
	d.arrive(arriving(2, idempotent, plain))
	assert.Equal(t, rejected, d.ops[2].want)
}

// Let in on a pressed fleet, what earns a part takes the place of what earns the whole.
func TestNothingGoesBeyondItsQuotaOnAPressedFleet(t *testing.T) {
	d := payingBeyond()
	d.pressed = 2 * openUnder
	d.arrive(arriving(1, idempotent, plain))
	assert.Equal(t, rejected, d.ops[1].want)
}

func TestACeilingHoldsForWhatPaysBeyondItsQuota(t *testing.T) {
	d := door(4)
	d.terms.Plans[capped].OverQuotaGain = 0.3
	d.arrive(arriving(0, idempotent, capped))
	d.buckets[0].level, d.buckets[0].ceiling = 0, 0
	d.arrive(arriving(1, idempotent, capped))
	assert.Equal(t, rejected, d.ops[1].want)
}

func TestTheCounterIsNotCalledForWhatPaysBeyondItsQuota(t *testing.T) {
	d := payingBeyond()
	d.terms.Counter = true
	assert.False(t, d.counts(&d.buckets[0]))
	d.pressed = 2 * openUnder
	assert.True(t, d.counts(&d.buckets[0]))
}

// A door of one request a second needs ten seconds for its first samples. When those were slow it rejected all of the
// class for good, as no sample came any more.
func TestAClassOfFewSlowSamplesIsNotPressedWithNothingOut(t *testing.T) {
	d := door(4)
	d.lat[idempotent] = latency{recent: 1063, low: 1063, samples: lowAfter - 1, lowAt: d.now}
	d.arrive(arriving(0, idempotent, plain))
	assert.Equal(t, undecided, d.ops[0].want)
	assert.Zero(t, d.hold(&d.ops[0]))
}

// A backend that turns one plan away for half a minute is met by a door of few requests once in seconds.
func TestABackendThatTurnsAPlanAwayAgainIsLeftAloneForLonger(t *testing.T) {
	d := sentOnce(idempotent, 2)
	rest := func() float64 { return d.fleet.fullUntil[2][plain] - d.now }
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	first := rest()
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	assert.Equal(t, 2*first, rest())
	for range 10 {
		d.judge(&d.ops[0], &d.ops[0].sends[0], gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	}
	assert.Equal(t, trialMost, rest())
	assert.Zero(t, d.fleet.fullUntil[2][capped], "another plan's work is not")
}

// Denied calls have added their units too, so the number may stand far over what was there.
func TestWhatWasAskedInVainDoesNotBarTheNextWindow(t *testing.T) {
	d := counting2()
	k := &d.buckets[0]
	k.count.room, k.count.seen = -100, d.now
	_, left := d.window(k)
	d.now += left + 1000
	k.count.calling, k.barred = false, 0
	o := request{units: 1, class: idempotent}
	d.count(&o, k)
	assert.Positive(t, k.count.before)
}

func TestTrueUnitsTakeThePlaceOfTheGuess(t *testing.T) {
	d := sentOnce(idempotent, 0)
	level, charge := d.buckets[0].level, d.ops[0].charge
	d.ended(gate.AttemptEnded{Op: 0, Result: gate.Finished, Latency: 100, Answered: true, MeteredUse: -1, ActualUnits: 3})
	assert.InDelta(t, level-2*charge, d.buckets[0].level, 1e-9, "a guess of 1, and the door's part was charged")
	assert.Equal(t, 2.0, d.buckets[0].count.owed)
}

func TestACrowdedCounterIsCalledForWhatEarnsMore(t *testing.T) {
	d := door(1)
	d.terms.Classes[idempotent].Gain, d.terms.Plans[plain].Price = 1, 1
	d.usualGain, d.calling = 2, 0.4
	calls := func(units float64) (n int) {
		for range 1000 {
			if d.called(&request{units: units}) {
				n++
			}
		}
		return n
	}
	assert.Greater(t, calls(8), 900)
	assert.InDelta(t, 400, calls(2), 60)
	assert.Less(t, calls(1), 60)
	d.calling = 1
	assert.Equal(t, 1000, calls(1), "an ample one is called for all")
}

// watching is a door that compares its decisions with terms of another shape, and the kinds that it told since.
func watching(d *Door) func() []gate.Difference {
	w := d.terms
	w.Plans = []gate.Plan{{Rate: 0.002, Depth: 12, OverQuotaGain: 0.3}, d.terms.Plans[capped]}
	w.MaxRetryAfter, w.Hedging, w.MaxAttempts = 0, false, 1
	d.CompareWith(&w)
	return func() (kinds []gate.Difference) {
		for _, a := range d.actions {
			if a, ok := a.(gate.Differs); ok {
				kinds = append(kinds, a.Kind)
			}
		}
		d.actions = d.actions[:0]
		return kinds
	}
}

func TestWatchingTellsWhatOtherTermsWouldDecideAndDecidesAsBefore(t *testing.T) {
	d := door(4)
	told := watching(d)
	d.arrive(arriving(0, idempotent, plain))
	assert.Empty(t, told(), "sent under both")
	d.buckets[0].level = 0
	d.arrive(arriving(1, idempotent, plain))
	assert.Equal(t, rejected, d.ops[1].want)
	assert.Equal(t, []gate.Difference{gate.OtherRetryAfter, gate.SentOverQuota}, told())
	d.pressed = 2 * openUnder
	d.arrive(arriving(2, idempotent, plain))
	assert.Equal(t, []gate.Difference{gate.OtherRetryAfter}, told(), "a pressed fleet sends nothing beyond a quota")
}

func TestWatchingTellsOfCallsCopiesAndFurtherAttempts(t *testing.T) {
	d := counting2()
	told := watching(d)
	d.calls, d.buckets[0].count = nil, counting{}
	d.count(&request{units: 2, class: idempotent}, &d.buckets[0])
	assert.Len(t, d.calls, 1, "called as before")
	assert.Equal(t, []gate.Difference{gate.NotCounted}, told())

	d = sentOnce(idempotent, 2)
	told = watching(d)
	d.fleet.cases[idempotent][2].judged = true
	d.now += 10 * rescueAt * d.recent(idempotent)
	d.ops[0].came = d.now
	d.rescue(0)
	assert.Len(t, d.ops[0].sends, 2, "copied as before")
	assert.Equal(t, []gate.Difference{gate.NoHedge}, told())

	d = sentOnce(idempotent, 2)
	told = watching(d)
	d.ended(gate.AttemptEnded{Op: 0, Result: gate.Errored, Latency: 100, MeteredUse: -1})
	assert.True(t, d.ops[0].held, "held to be sent again as before")
	assert.Equal(t, []gate.Difference{gate.NoRetry}, told())
}

func TestSlicesOfACeilingAddUp(t *testing.T) {
	sum := 0.0
	for n := range 3 {
		d := door(1)
		d.terms.DoorNumber = n
		d.arrive(arriving(0, idempotent, capped))
		d.now += 1e6
		sum += d.refill(0).ceiling
	}
	assert.LessOrEqual(t, sum, terms().Plans[capped].CeilingDepth)
	assert.Greater(t, sum, 0.9*terms().Plans[capped].CeilingDepth)
}

func TestAtOnceADoorHasItsPartOut(t *testing.T) {
	d := door(4)
	d.arrive(arriving(0, idempotent, capped))
	d.send(0, 0)
	d.arrive(arriving(1, idempotent, capped))
	d.tick()
	assert.Empty(t, d.ops[1].sends, "three at once over three doors is one at each")
}

func TestABackendThatReportsWorkWaitingIsDrawnLessOften(t *testing.T) {
	d := sentOnce(idempotent, 2)
	o := request{class: idempotent, plan: plain}
	before := d.room(2, &o)
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100, Queue: -1})
	assert.InEpsilon(t, before, d.room(2, &o), 0.1, "nothing told")
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100, Queue: 6})
	assert.Less(t, d.room(2, &o), before/2)
}

// Each of hundreds of doors has nothing out at most looks, and together they keep a pressed fleet pressed.
func TestWhatWasInFlightOfLatePressesAThinDoor(t *testing.T) {
	d := door(4)
	d.lat[idempotent] = latency{recent: 900, low: 100, best: 0.001, samples: 100, flight: 0.8}
	assert.Positive(t, d.hold(&request{class: idempotent}))
	d.now += 10 * flightSpan
	assert.Zero(t, d.hold(&request{class: idempotent}), "what fades ends")
}

// What waited at a process that is gone waits no longer: its successor would be shunned for a queue it never had.
func TestASuccessorInheritsNoQueue(t *testing.T) {
	d := sentOnce(idempotent, 2)
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100, Queue: 6})
	assert.Positive(t, d.fleet.queue[2])
	d.list(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 2, StartedAt: 5}}})
	assert.Zero(t, d.fleet.queue[2])
}

func TestPartsOfAbsentDoorsPassToTheOthersLittleByLittle(t *testing.T) {
	d := door(4)
	clock := d.now
	even := func() float64 { k := d.fill(0, 0, 0, 3); return d.part(k) }
	before := even()
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, false, false}, PresentCount: 1}})
	assert.InDelta(t, before, even(), 1e-9, "no jump")
	last := before
	for range 40 {
		clock += 500
		d.now = clock
		now := even()
		assert.GreaterOrEqual(t, now, last-1e-9)
		assert.Less(t, now-last, 0.2)
		last = now
	}
	assert.InDelta(t, 1, last, 0.02, "it is alone with this customer")
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, true, true}, PresentCount: 3}})
	for range 40 {
		clock += 500
		d.now = clock
		last = even()
	}
	assert.InDelta(t, before, last, 0.02)
}

func TestABeliefWidensNoCeiling(t *testing.T) {
	d := door(4)
	clock := d.now
	apart := door(4)
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, false, false}, PresentCount: 1}})
	for range 200 {
		clock += 100
		d.now, apart.now = clock, clock
		a, b := d.fill(0, capped, 0, 3), apart.fill(0, capped, 0, 3)
		assert.InDelta(t, b.ceiling, a.ceiling, 1e-9, "whatever it believes of others, its slice is its own third")
		assert.InDelta(t, apart.ceilingWait(b, 2), d.ceilingWait(a, 2), 1e-9)
	}
}

func TestColdBudgetsGoByTheDoorsThatAreHere(t *testing.T) {
	d := door(4)
	clock := d.now
	share := func() (n int) {
		const draws = 4000
		for range draws {
			f := &d.fleet
			f.coldUntil[0] = 0
			d.coldRoom(&request{}, 0)
			n += f.coldLeft[0]
		}
		return n
	}
	d.Decide(clock, []gate.Event{gate.FleetUpdate{Complete: true, Entries: []gate.Entry{{Backend: 0, StartedAt: clock, Weight: 1}}}})
	told := share()
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, true, true}, PresentCount: 6}})
	assert.InEpsilon(t, float64(told)/2, float64(share()), 0.15, "the fleet has doubled")
}

func TestWordThatAllDoorsAreHereChangesNoDecision(t *testing.T) {
	alone, told := door(6), door(6)
	told.Decide(told.now, []gate.Event{gate.DoorsUpdate{Present: []bool{true, true, true}, PresentCount: 3}})
	alone.Decide(alone.now, nil)
	sent := 0
	for n := range 400 {
		now := 100e3 + float64(n)*13
		events := []gate.Event{arriving(n, n%4, n%2)}
		for i := range alone.ops { // what went out earlier is answered, some of it badly
			for s := range alone.ops[i].sends {
				if tr := &alone.ops[i].sends[s]; tr.out() && now-tr.at > 120 {
					how := gate.Finished
					if i%7 == 0 {
						how = gate.Errored
					}
					events = append(events, gate.AttemptEnded{Op: i, Attempt: s, Backend: tr.backend, Result: how, Latency: now - tr.at, Answered: how == gate.Finished, MeteredUse: 0.1, Queue: -1})
				}
			}
		}
		a := append([]gate.Action(nil), alone.Decide(now, events)...)
		b := append([]gate.Action(nil), told.Decide(now, events)...)
		require.Equal(t, a, b, "batch %d", n)
		for _, x := range a {
			if _, is := x.(gate.Send); is {
				sent++
			}
		}
	}
	assert.Greater(t, sent, 50)
}

// A client that has gone gets no further attempt and no hedge: neither one that was held, nor one whose attempt fails
// afterwards, nor one whose attempt stays out. Each would have got one had it stayed.
func TestNothingBeginsForAClientThatHasGone(t *testing.T) {
	const step = 10.
	backends := gate.FleetUpdate{}
	for b := range 4 {
		backends.Entries = append(backends.Entries, gate.Entry{Backend: b, Zone: b % 2, Cell: b, Weight: 1})
	}
	for name, c := range map[string]struct {
		backends int
		then     func(sent int) gate.Event // after its client has gone
	}{
		"held":           {0, func(int) gate.Event { return backends }},
		"reset":          {4, func(int) gate.Event { return gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1} }},
		"unreachable":    {4, func(int) gate.Event { return gate.AttemptEnded{Result: gate.Unreachable, MeteredUse: -1} }},
		"full":           {4, func(int) gate.Event { return gate.AttemptEnded{Result: gate.Full, MeteredUse: -1} }},
		"without a word": {4, func(int) gate.Event { return gate.TimerFired{} }},
	} {
		t.Run(name, func(t *testing.T) {
			for _, gone := range []bool{true, false} {
				d := door(c.backends)
				sends := 0
				decide := func(events ...gate.Event) {
					for _, a := range d.Decide(d.now+step, events) {
						if _, is := a.(gate.Send); is {
							sends++
						}
					}
				}
				decide(arriving(0, idempotent, plain))
				before := sends
				require.Equal(t, min(1, c.backends), before)
				if gone {
					decide(gate.ClientGone{Op: 0})
				}
				decide(c.then(before))
				for range 250 {
					decide()
				}
				assert.Equal(t, gone, sends == before, "%d attempts more", sends-before)
			}
		})
	}
}

// A door that has just started does not know how fast the fleet finishes: it guesses that one request at a time is, so that six in
// flight are pressure to it, and a crowded start rejects a few. Guesses that let them in cost more on pressed fleets than they
// gained (docs/design.md). One that has had its first samples knows better.
func TestOnlyADoorThatHasJustStartedTakesAFewInFlightForPressure(t *testing.T) {
	d := door(4)
	known := d.lat[idempotent]
	known.recent, known.low, known.rate, known.best = 2, 2, 0.06, 0.06 // after 5 s of 60 requests a second
	reject := func(l latency, out int) bool {
		d.lat[idempotent], d.out[idempotent] = l, out
		o := request{class: idempotent, came: d.now, until: d.now + 2000}
		return d.tooLong(&o, d.hold(&o))
	}
	assert.False(t, reject(latency{}, 5))
	assert.True(t, reject(latency{}, 6))
	assert.True(t, reject(latency{recent: 2, low: 2, samples: lowAfter - 1}, 6))
	assert.False(t, reject(known, 6))
	assert.False(t, reject(known, 8), "the most that a client of the rigs has out at a door")
}

func TestEveryRequestHasItsAnswerByTheDoorsEnd(t *testing.T) {
	d := door(1)
	end := d.now + 100
	d.Decide(d.now, []gate.Event{arriving(0, idempotent, plain)})
	d.Decide(d.now, []gate.Event{gate.ShuttingDown{Deadline: end}, arriving(1, idempotent, plain)})
	given := map[int]bool{}
	for now := end - 50; now <= end; now += tickEvery {
		var ended []gate.Event
		if now >= end-tickEvery { // the carrier stops waiting for what is out
			for i := range 2 {
				if o := &d.ops[i]; o.out > 0 {
					ended = append(ended, gate.AttemptEnded{Op: i, Attempt: len(o.sends) - 1, Result: gate.TimedOut})
				}
			}
		}
		for _, a := range d.Decide(now, ended) {
			switch a := a.(type) {
			case gate.Reject:
				given[a.Op] = true
			case gate.Fail:
				given[a.Op] = true
			}
		}
	}
	assert.Equal(t, map[int]bool{0: true, 1: true}, given)
}
