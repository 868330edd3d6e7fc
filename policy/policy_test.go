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
	d.lat[idempotent].recent = 5000 // every request was rejected since, so no sample lowers it
	assert.Zero(t, d.hold(&request{class: idempotent}))
}

func TestHoldLongerThanTheTimeLeftIsRejectedWithRetryAfter(t *testing.T) {
	d := door(4)
	d.out[idempotent], d.lat[idempotent].recent = 25, 950
	d.arrive(newRequest(0, idempotent, plain))
	assert.Equal(t, rejected, d.ops[0].want)
	assert.Positive(t, d.ops[0].retryAfter)
	assert.LessOrEqual(t, d.ops[0].retryAfter, 500.0)
	assert.Zero(t, d.buckets[0].promised, "units of a request never sent are released")
}

func TestFewSamplesSetNoBaseline(t *testing.T) {
	d := door(1)
	d.lat[idempotent] = latency{}
	for range lowAfter - 1 {
		d.sample(idempotent, 1)
	}
	assert.Equal(t, firstGuess*1000, d.low(idempotent))
	d.sample(idempotent, 1)
	assert.InDelta(t, 1, d.low(idempotent), 1e-9)
}

func TestBaselineFollowsALastingRiseOfLatency(t *testing.T) {
	d := door(1)
	for range 600 {
		d.now += 1000
		d.sample(idempotent, 400)
	}
	assert.Greater(t, d.lat[idempotent].low, 300.0)
}

func TestSilenceOfTheFleetRaisesExpectedLatency(t *testing.T) {
	d := sentEach()
	d.now += 800
	d.look()
	assert.InDelta(t, 100+smoothing*4*700, d.recent(idempotent), 1)
}

func TestOneSilentBackendDoesNotRaiseExpectedLatency(t *testing.T) {
	d := door(4)
	for i := range 4 {
		d.arrive(newRequest(i, idempotent, plain))
		d.send(i, 0)
	}
	d.settle()
	d.fleet.cases[idempotent][0].judged = true
	d.now += 800
	d.look()
	assert.InDelta(t, 100, d.recent(idempotent), 1)
}

func TestQuotaShareIsEvenUntilAMeterReport(t *testing.T) {
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
	d.arrive(newRequest(0, idempotent, plain))
	assert.Equal(t, rejected, d.ops[0].want)
	assert.InDelta(t, 250, d.ops[0].retryAfter, 1)
}

// One-time customers, and connections counted under their ids, must not occupy a bucket for a minute where a new bucket
// would hold the same.
func TestAnIdleBucketThatIsFullAgainIsDropped(t *testing.T) {
	d := door(1)
	d.fill(0, plain, 0, 3)
	d.now += idleFull + 1
	d.buckets[0].level = -40
	d.forget()
	assert.Empty(t, d.forgets, "a new bucket would start full")
	d.buckets[0].level = 12
	d.forget()
	assert.Equal(t, []gate.Action{gate.Forget{Customer: 0}}, d.forgets)
}

// A freed customer index is reused, and must not inherit anything from its previous customer.
func TestAFreedCustomerIndexStartsClean(t *testing.T) {
	d := door(2)
	d.arrive(newRequest(0, idempotent, capped))
	k := &d.buckets[0]
	k.level, k.ceiling, k.others, k.heard, k.trim, k.barred, k.barredUnits = -5, -5, 1, d.now, 0.2, 1e12, 1
	k.count = counting{window: 7, granted: 9, owed: 3, calling: true}
	k.promised, k.promisedUnits, k.open, k.out = 0, 0, 0, 0
	d.live, d.now = nil, d.now+idleDrop+1
	d.forget()
	d.forgets = nil
	d.now += 1
	d.arrive(gate.Request{Op: 1, Class: idempotent, Plan: plain, TTL: 3000, Units: 1, Spread: 2, First: 1})
	fresh := bucket{known: true, plan: plain, first: 1, spread: 2, level: 12, filled: d.now, store: 12, trim: 1, heard: math.Inf(-1), set: 2,
		phase: 0, open: 1, demand: 1 / demandSpan, promised: d.buckets[0].promised, promisedUnits: 1}
	assert.Equal(t, fresh, d.buckets[0])
}

func TestANewCustomersCeilingSliceFillsFromTheDoorsStart(t *testing.T) {
	d := door(1)
	d.born = d.now - 2000
	assert.InDelta(t, 2, d.fill(0, capped, 0, 3).ceiling, 1e-9)
	assert.Zero(t, d.fill(0, capped, 1, 3).ceiling, "use of a changed slice is unknown")
}

func TestCeilingSliceStartsEmptyAndFillsAtItsShareOfTheRate(t *testing.T) {
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
	d.arrive(newRequest(0, idempotent, capped))
	d.now += 60e3 // long enough to refill what it would have taken at arrival
	d.send(0, 0)
	assert.InDelta(t, full-1, d.buckets[0].ceiling, 1e-9)
	assert.Zero(t, d.buckets[0].promisedUnits)
}

func TestHoldsAreNotAllReleasedAtOnce(t *testing.T) {
	d := door(4)
	d.lat[idempotent].recent = 300
	for i := range 50 {
		o := newRequest(i, idempotent, plain)
		o.Units = 0
		d.arrive(o)
	}
	d.now += 100
	d.tick()
	assert.Positive(t, d.out[idempotent])
	assert.Less(t, d.out[idempotent], 30)
}

func TestNonIdempotentThatMayHaveRunFails(t *testing.T) {
	d := sentOnce(nonIdempotent, 0)
	d.ended(gate.Ended{Result: gate.Reset, Use: -1})
	d.tick()
	assert.Equal(t, failed, d.ops[0].want)
}

func TestNonIdempotentThatNeverRanIsSentAgain(t *testing.T) {
	d := sentOnce(nonIdempotent, 0)
	d.ended(gate.Ended{Result: gate.Full, Use: -1})
	assert.True(t, d.ops[0].held)
}

func TestKeyedRepeatStaysInItsGroupAndWindow(t *testing.T) {
	d := sentOnce(keyedInZone, 0)
	o := &d.ops[0]
	assert.True(t, d.allowed(o, 2))
	assert.False(t, d.allowed(o, 1), "another zone")
	d.now += 4000
	assert.False(t, d.allowed(o, 2), "past the window")
}

// A repeat is decided within the deduplication window, but connecting may take long. Its Send must therefore carry the
// latest start, counted from the earliest attempt that may have run.
func TestARepeatCarriesItsStartDeadline(t *testing.T) {
	for class, want := range map[int]float64{keyedAnywhere: 100e3 + 4000 - repeatGap, keyedInZone: 100e3 + 4000 - repeatGap, idempotent: 0} {
		d := sentOnce(class, 0)
		assert.Zero(t, d.by(&d.ops[0], 0), "the first attempt has no start deadline")
		d.now += 1000
		d.ended(gate.Ended{Result: gate.Reset, Use: -1})
		d.send(0, 2)
		d.settle()
		assert.Contains(t, d.actions, gate.Send{Op: 0, Backend: 2, By: want})
		d.now += 1000
		d.ended(gate.Ended{Attempt: 1, Result: gate.Skipped, Use: -1})
		d.send(0, 2)
		assert.Equal(t, want, d.by(&d.ops[0], 2), "an attempt that never ran changes nothing")
		d.ended(gate.Ended{Attempt: 2, Result: gate.Reset, Use: -1})
		assert.Equal(t, want, d.by(&d.ops[0], 3), "of two that may have run, the earlier one's key expires first")
	}
	d := sentOnce(keyedAnywhere, 0)
	d.ended(gate.Ended{Result: gate.Unreachable, Use: -1})
	d.now += 3000
	d.send(0, 2)
	d.settle()
	assert.Contains(t, d.actions, gate.Send{Op: 0, Backend: 2})
}

func TestKeyedInZoneFailsOnceItMayHaveRun(t *testing.T) {
	d := sentOnce(keyedInZone, 0)
	d.fleet.up = make([]bool, 4)
	d.ended(gate.Ended{Result: gate.Reset, Use: -1})
	d.tick()
	assert.Equal(t, failed, d.ops[0].want)
}

func TestDrainingBackendReceivesNoNewAttempts(t *testing.T) {
	d := door(2)
	d.list(gate.Fleet{Entries: []gate.Entry{{Backend: 0, Status: gate.Draining}}})
	for range 20 {
		b, _ := d.pick(&request{class: idempotent})
		assert.Equal(t, 1, b)
	}
}

func TestColdBudgetSharesBelowOneRequestAddUp(t *testing.T) {
	d := door(2)
	d.arrive(newRequest(0, idempotent, plain))
	d.fleet.since[0], d.now = 50e3, 50e3
	d.fleet.work, d.fleet.workAt = 200, 50e3 // 0.02 ms of work per ms: a door with little traffic, 0.1 requests per window
	sent := 0
	for range 400 {
		d.now += d.terms.FallWindow
		d.fleet.since[0], d.fleet.workAt = d.now, d.now // as cold as at its start
		for d.coldRoom(&d.ops[0], 0) {
			d.fleet.coldLeft[0]--
			sent++
		}
	}
	budget := 400 * d.terms.FallMultiple * d.terms.ColdFrom * 0.02 * d.terms.FallWindow / 100
	assert.Less(t, float64(sent), budget)
	assert.Greater(t, float64(sent), budget/2)
}

func TestSilenceEjectsABackendAndAnswersReadmitIt(t *testing.T) {
	d := sentOnce(idempotent, 0)
	for range 10 {
		d.now += 100
		d.tick()
	}
	assert.True(t, d.fleet.shunned(0, idempotent))
	o := &d.ops[0]
	d.judge(o, &o.sends[0], gate.Ended{Result: gate.Finished, Latency: 100})
	d.judge(o, &o.sends[0], gate.Ended{Result: gate.Finished, Latency: 100})
	assert.False(t, d.fleet.shunned(0, idempotent))
}

func TestAWholeFleetIsNeverEjected(t *testing.T) {
	d := door(4)
	for b := range 4 {
		d.doubt(b, idempotent, judgeAt)
	}
	assert.True(t, d.fleet.shunned(1, idempotent))
	assert.False(t, d.fleet.shunned(2, idempotent))
}

func TestABackendIsEjectedForASingleSilentClass(t *testing.T) {
	d := sentOnce(idempotent, 0)
	for range 10 {
		d.now += 200
		d.tick()
		d.judge(&request{class: nonIdempotent}, &attempt{}, gate.Ended{Result: gate.Finished, Latency: 100})
	}
	assert.True(t, d.fleet.shunned(0, idempotent))
	assert.False(t, d.fleet.shunned(0, nonIdempotent))
}

func TestHeldRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	d := door(0) // no backend
	d.arrive(newRequest(0, idempotent, plain))
	d.now = d.ops[0].until - tickEvery
	d.tick()
	assert.Equal(t, rejected, d.ops[0].want)
}

func TestTimerIsSetAgainAfterAnEarlyFiring(t *testing.T) {
	d := door(0)
	d.arrive(newRequest(0, idempotent, plain))
	d.Decide(d.now, nil)
	acts := d.Decide(d.now+tickEvery-0.0001, []gate.Event{gate.Woken{}})
	assert.Contains(t, acts, gate.Wake{At: d.now + tickEvery})
}

func TestConcurrencyLimitHoldsRequests(t *testing.T) {
	d := door(4)
	full := (30 - 2*askFor*0.003) / 3
	d.fill(0, capped, 0, 3).ceiling = full
	d.arrive(newRequest(0, idempotent, capped))
	d.arrive(newRequest(1, idempotent, capped))
	d.release(0)
	d.release(1)
	assert.Len(t, d.ops[0].sends, 1)
	assert.True(t, d.ops[1].held)
}

// doorAtCounter returns a door with request 0, of two units, waiting for the shared counter.
func doorAtCounter() *Door {
	d := door(4)
	d.terms.Counter = true
	e := newRequest(0, idempotent, plain)
	e.Units = 2
	d.arrive(e)
	d.tick()
	return d
}

// Only customers close to their quota need the counter: with a call for every request, a counter that sustains half of the
// calls would also fail those that matter. The units of the others are added by a later call.
func TestUnitsFarBelowTheQuotaAreAddedByALaterCall(t *testing.T) {
	d := doorAtCounter()
	d.calls = nil
	e := newRequest(1, idempotent, plain)
	e.Customer, e.Spread = 1, 1
	d.arrive(e)
	d.tick()
	assert.Empty(t, d.calls)
	assert.Equal(t, 1, d.out[idempotent], "it is sent at once")
	d.buckets[1].level = 4
	e.Op = 2
	d.arrive(e)
	d.tick()
	c := &d.buckets[1].count
	assert.Equal(t, c.asked+1, d.calls[0].(gate.Count).Add)
	assert.Zero(t, c.owed)
}

func TestRequestWaitsForUnitsFromTheCounter(t *testing.T) {
	d := doorAtCounter()
	call := d.calls[0].(gate.Count)
	assert.Equal(t, 2.0, call.Add)
	assert.Zero(t, d.out[idempotent])
	d.counted(gate.Counted{Epoch: call.Epoch, Total: 12})
	d.tick()
	assert.Equal(t, 1, d.out[idempotent])
}

func TestUnitsTooFewForARequestAreKeptForSmallerOnes(t *testing.T) {
	d := doorAtCounter()
	call := d.calls[0].(gate.Count)
	c := &d.buckets[0].count
	d.counted(gate.Counted{Epoch: call.Epoch, Total: 12 + c.fill*4000 + 1}) // 4 s into the window
	d.tick()
	assert.Equal(t, rejected, d.ops[0].want)
	assert.InDelta(t, 1, c.back, 1e-9, "the next call subtracts what was not granted")
	d.arrive(newRequest(1, idempotent, plain))
	d.tick()
	assert.Equal(t, 1, d.out[idempotent])
}

func TestUnitsRefillWithinAWindowFromTheLevelLastSeen(t *testing.T) {
	d := doorAtCounter()
	c := &d.buckets[0].count
	assert.InDelta(t, 0.002/3, c.fill, 1e-9, "level at its start unknown: by the even split")
	c.room, c.seen, c.back = 3, d.now, 0.5
	d.calls, c.calling = nil, false
	d.now += 6000 // the same offset in the next window, which began 4 s ago
	d.count(&d.ops[0], &d.buckets[0])
	assert.InDelta(t, 3+2000*0.002, c.before, 1e-9)
	assert.InDelta(t, 0.002, c.fill, 1e-9)
	d.counted(gate.Counted{Epoch: c.window, Total: 16})
	assert.InDelta(t, 0, c.room, 1e-9)
	assert.InDelta(t, 1, c.granted, 1e-9)
	assert.InDelta(t, 500, d.buckets[0].barred-d.now, 1e-6, "until two units have refilled")
}

func TestAnOverloadedCounterIsCalledLess(t *testing.T) {
	d := doorAtCounter()
	d.counted(gate.Counted{Epoch: d.calls[0].(gate.Count).Epoch, Result: gate.Full})
	assert.Less(t, d.calling, 1.0)
	d.tick()
	assert.Equal(t, 1, d.out[idempotent], "decided by quota share")
}

func TestCallShareRecoversAtOnceAfterACounterOutage(t *testing.T) {
	d := doorAtCounter()
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
		d.counted(gate.Counted{Epoch: epoch, Result: gate.Full}) // the answer of an overloaded counter
	}
	d.counted(gate.Counted{Epoch: epoch})
	assert.Less(t, d.calling, 0.1)
}

// Calls made together time out together. When each counted as a separate overload, one delay at the counter stopped the
// calls for seconds. A malformed answer is still an answer and no sign of overload.
func TestCallsThatFailTogetherAreOneOverloadSignal(t *testing.T) {
	d := doorAtCounter()
	epoch := d.calls[0].(gate.Count).Epoch
	d.counted(gate.Counted{Epoch: epoch, Result: gate.Spoilt})
	assert.Equal(t, 1.0, d.calling)
	for range 5 {
		d.counted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, countCut, d.calling)
	assert.Less(t, d.crowdedAt, d.now, "one delay is no lasting overload")
	for range 2 {
		d.now += askFor
		d.counted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, d.now, d.crowdedAt)
}

// A call without an answer was usually executed: left on the number, its units would be usable by no door.
func TestUnitsOfACallWithoutAnAnswerAreSubtracted(t *testing.T) {
	d := doorAtCounter()
	c := &d.buckets[0].count
	d.counted(gate.Counted{Epoch: c.window, Result: gate.TimedOut})
	assert.Equal(t, c.asked, c.back)
	c.back = 0
	d.counted(gate.Counted{Epoch: c.window, Result: gate.Unreachable})
	assert.Zero(t, c.back)
}

// A bucket that was full halfway through a window holds its depth, not its depth plus what would have refilled.
func TestAWindowGrantsNoMoreThanTheBucketHolds(t *testing.T) {
	d := doorAtCounter()
	c, p := &d.buckets[0].count, &d.terms.Plans[plain]
	c.before, c.fill, c.asked = p.Depth, p.Rate, 2*p.Depth
	_, left := d.window(&d.buckets[0])
	d.counted(gate.Counted{Epoch: c.window, Total: 2 * p.Depth})
	assert.Less(t, left, p.Depth/p.Rate)
	assert.InDelta(t, p.Depth, c.granted, 1e-9)
}

// Each door's quota share follows its demand against the others' use. For a customer far beyond its quota every door's
// demand exceeds its use, so the shares add up to more than the quota, which the meter shows. A burst from a full
// bucket must not scale the shares down.
func TestQuotaSharesAreScaledDownWhileTheyExceedTheQuota(t *testing.T) {
	d := door(2)
	k := d.fill(0, plain, 0, 3)
	k.demand = 1
	d.hear(k, 2)
	assert.Equal(t, 1.0, k.trim, "the bucket was full")
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

func TestReservationOfCounterCallsEnds(t *testing.T) {
	d := doorAtCounter()
	d.crowdedAt, d.calls = d.now, nil
	e := newRequest(1, idempotent, plain) // of a customer whose quota share holds it
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

func TestFailedListIsSubscribedToAgainAfterADelay(t *testing.T) {
	d := door(1)
	d.terms.MustAsk = true
	assert.NotContains(t, d.Decide(d.now, []gate.Event{gate.Fleet{Failed: true}}), gate.Track{})
	assert.Contains(t, d.Decide(d.now+askRest, nil), gate.Track{})
	assert.NotContains(t, d.Decide(d.now+1, nil), gate.Track{})
}

func TestLostAnswersAreNoBacklog(t *testing.T) {
	d := sentEach()
	assert.Positive(t, d.drain(idempotent))
	d.now += 1500 // past the contract time, before the clients' deadline
	d.answeredAt = d.now - 100
	d.look()
	assert.Zero(t, d.drain(idempotent))
	assert.InDelta(t, 100, d.recent(idempotent), 1)
	assert.Zero(t, d.hold(&d.ops[0]))
}

// Guards against taking a silent fleet for lost answers: a door whose few samples were old went on sending to a fleet that
// had stopped.
func TestASilentFleetCausesHolds(t *testing.T) {
	d := sentEach()
	d.now += 1500
	d.answeredAt = d.now - 1500
	d.look()
	assert.Positive(t, d.drain(idempotent))
	assert.Positive(t, d.hold(&d.ops[0]))
}

func TestATimeoutAtAnEjectedBackendCountsOnceTheFleetIsSilent(t *testing.T) {
	d := sentOnce(idempotent, 2)
	d.fleet.cases[idempotent][2].judged = true
	gone := gate.Ended{Result: gate.TimedOut, Latency: 900, Use: -1}
	d.answeredAt = d.now
	d.judge(&d.ops[0], &d.ops[0].sends[0], gone)
	assert.Equal(t, 100.0, d.lat[idempotent].recent, "one silent backend does not mean an overloaded fleet")
	d.answeredAt = d.now - 1500
	d.judge(&d.ops[0], &d.ops[0].sends[0], gone)
	assert.Greater(t, d.lat[idempotent].recent, 100.0)
}

// Each of hundreds of doors may have one request in flight by random variation, but not one of every class.
func TestRandomVariationInFlightCountsOncePerDoor(t *testing.T) {
	d := door(4)
	d.out[idempotent] = 1
	assert.Zero(t, d.drain(idempotent))
	d.out[nonIdempotent], d.out[keyedInZone] = 1, 1
	assert.Positive(t, d.drain(idempotent))
}

func TestARetryRejectedAtAnOverloadedCounterIsNotSent(t *testing.T) {
	d := doorAtCounter()
	d.calling = 0
	e := newRequest(1, idempotent, plain)
	e.Customer, e.Repeat, e.Units = 1, true, 5 // more than its quota share holds
	d.arrive(e)
	d.tick()
	assert.Equal(t, rejected, d.ops[1].want)
	assert.Empty(t, d.ops[1].sends, "an attempt never sent would count as in flight for ever")
}

func TestLateAttemptsAreBacklogWhileAnswersAreSlow(t *testing.T) {
	d := door(4)
	for i := range 9 {
		d.arrive(newRequest(i, idempotent, plain))
		d.send(i, i%4)
	}
	d.settle()
	d.lat[idempotent].recent = 900
	d.now += 1500
	d.look()
	assert.Positive(t, d.hold(&d.ops[0]), "otherwise the door keeps sending to a fleet that answers nothing in time")
}

func TestBaselineHasAnUpperBound(t *testing.T) {
	d := door(1)
	d.lat[idempotent].low = 900
	assert.Equal(t, lowMost*1000, d.low(idempotent))
}

func TestATimeoutIsALatencySampleOfItsAge(t *testing.T) {
	d := sentOnce(idempotent, 0)
	d.ended(gate.Ended{Result: gate.TimedOut, Latency: 3000, Use: -1})
	assert.InDelta(t, 100+smoothing*900, d.lat[idempotent].recent, 1)
}

func TestLateRequestsAreGivenUpOnAnOverloadedFleet(t *testing.T) {
	d := door(4)
	for i := range 9 {
		d.arrive(newRequest(i, idempotent, plain))
		d.send(i, i%4)
	}
	d.settle()
	d.now += 1500
	d.answeredAt = d.now
	d.tick()
	assert.Equal(t, undecided, d.ops[0].want, "nothing shows that the fleet is overloaded")
	d.lat[idempotent].recent = 900
	d.tick()
	assert.Equal(t, rejected, d.ops[0].want)
}

// Where backends are replaced all day, the index of a gone one is freed once no open request was sent to it, and the next
// backend under that index inherits neither evidence nor weight.
func TestAGoneBackendsIndexIsFreedOnce(t *testing.T) {
	d := sentOnce(idempotent, 1)
	d.fleet.cases[0][1].judged = true
	d.list(gate.Fleet{Entries: []gate.Entry{{Backend: 1, Status: gate.Gone}}})
	d.delist()
	assert.Empty(t, d.forgets, "a request is in flight there")
	d.ended(gate.Ended{Backend: 1, Result: gate.Reset, Use: -1})
	d.ops[0].want = rejected
	d.tick()
	d.delist()
	assert.Equal(t, []gate.Action{gate.Delist{Backend: 1}}, d.forgets)
	d.delist()
	assert.Len(t, d.forgets, 1)
	d.list(gate.Fleet{Entries: []gate.Entry{{Backend: 1}}})
	assert.False(t, d.fleet.shunned(1, idempotent))
	assert.Equal(t, 1.0, d.fleet.size[1])
	d.list(gate.Fleet{Complete: true, Entries: []gate.Entry{{Backend: 0}}})
	d.delist()
	assert.Len(t, d.forgets, 4, "a backend missing from a complete list is gone")
}

// With hundreds of doors at a few dozen requests per second each, sending to all backends opens a new connection for half of
// the requests and gathers too little evidence on each backend.
func TestSubsetGrowsWithTheDoorsTraffic(t *testing.T) {
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
	d.fleet.sends, d.fleet.sendsAt = 0.02, d.now // 20 per second
	more := met()
	assert.Len(t, more, 20)
	for b := range few {
		assert.True(t, more[b], "a larger subset keeps the backends of the smaller one")
	}
	d.now += 60e3
	assert.Equal(t, memberMin, d.members(), "traffic has stopped")
}

func TestEjectedBackendsAreReplacedByTheNextOnTheRing(t *testing.T) {
	d := door(30)
	o := request{class: idempotent, plan: plain}
	f := &d.fleet
	first := append([]int(nil), f.order[:memberMin]...)
	for _, b := range first { // the whole subset is lost with its zone
		f.cases[idempotent][b] = suspicion{judged: true, doubt: judgeAt, trialAt: d.now + 1e3}
	}
	for range 100 {
		b, _ := d.pick(&o)
		assert.NotContains(t, first, b)
	}
	d.list(gate.Fleet{Entries: []gate.Entry{{Backend: f.order[memberMin], Status: gate.Draining}}})
	assert.Len(t, f.order, 29)
	for range 100 {
		b, _ := d.pick(&o)
		assert.True(t, f.up[b])
	}
}

// With subsets drawn at random by each door the deviation would be 4.7 doors, and a backend with a quarter more doors than
// others is full before the fleet is.
func TestSubsetsSpreadEvenlyOverTheBackends(t *testing.T) {
	const doors, backends = 300, 100
	at := make([]int, backends)
	for n := range doors {
		d := New(terms(), uint64(n))
		d.terms.Number = n
		var e gate.Fleet
		for b := range backends { // every door assigns its own indices
			e.Entries = append(e.Entries, gate.Entry{Backend: (b + n) % backends, Mark: float64(b*37%backends) / backends})
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

func TestALostBackendChangesASubsetByOneAtMost(t *testing.T) {
	d := door(30)
	d.terms.Number = 7
	d.list(gate.Fleet{Entries: []gate.Entry{{Backend: 0}}})
	before := append([]int(nil), d.fleet.order[:memberMin]...)
	d.list(gate.Fleet{Entries: []gate.Entry{{Backend: 29, Status: gate.Gone}}})
	kept := 0
	for _, b := range d.fleet.order[:memberMin] {
		if slices.Contains(before, b) {
			kept++
		}
	}
	assert.GreaterOrEqual(t, kept, memberMin-1)
}

// meteredDoor returns a door with an empty local bucket and a held request 0, of two units, decided without the counter. The
// customer's last meter report is reportAgeMs old and left 12 units.
func meteredDoor(reportAgeMs float64) *Door {
	d := door(2)
	d.terms.Counter = true
	e := newRequest(0, idempotent, plain)
	e.Units = 2
	d.arrive(e)
	d.ops[0].uncounted = true
	k := &d.buckets[0]
	k.level, k.heard, k.store = 0, d.now-reportAgeMs, 12
	return d
}

// Where many doors each see a customer rarely, the local share cannot hold a request. A fresh meter report of a full bucket
// admits it, and its units are taken from the reported level.
func TestAFreshMeterReportAdmitsWhatASmallShareCannotHold(t *testing.T) {
	d := meteredDoor(500)
	assert.True(t, d.secure(0))
	assert.InDelta(t, 10, d.buckets[0].store, 1e-9)
	assert.Zero(t, d.ops[0].charge, "the local bucket is not charged")
}

func TestAStaleMeterReportAdmitsNothingBeyondTheShare(t *testing.T) {
	d := meteredDoor(2 * wordFresh * 1000)
	assert.False(t, d.secure(0))
	assert.Equal(t, rejected, d.ops[0].want)
	assert.Equal(t, gate.OverPart, d.ops[0].why)
}

func TestAMeterReportIsNotSpentTwice(t *testing.T) {
	d := meteredDoor(500)
	d.buckets[0].store = 12
	require.True(t, d.secure(0))
	e := newRequest(1, idempotent, plain)
	e.Units = 2
	d.arrive(e)
	d.ops[1].uncounted = true
	assert.False(t, d.secure(1), "8 of the 12 reported units would be left, less than the share that must stay")
}

// unitsCalledFor returns the units that a door asks the counter for, for a request of two units, with 12 units free in the
// window and the given demand of the customer at this door, units/ms.
func unitsCalledFor(demand float64) float64 {
	d := door(2)
	d.terms.Counter = true
	e := newRequest(0, idempotent, plain)
	e.Spread, e.Units = 1, 2
	d.arrive(e)
	k := &d.buckets[0]
	n, _ := d.window(k)
	k.level, k.demand, k.count = 0, demand, counting{window: n, room: 12, before: 12, fill: 0.002}
	d.count(&d.ops[0], k)
	return d.calls[0].(gate.Count).Add
}

// A door that sees a customer rarely must not hold a batch of the window's units that only it may use: batches at many such
// doors would leave nothing for the others. It asks for what its demand takes in the rest of the window.
func TestACallAsksForNoMoreThanTheDoorsDemand(t *testing.T) {
	assert.Equal(t, 2.0, unitsCalledFor(0), "the request's own units")
	assert.Equal(t, 6.0, unitsCalledFor(1), "a batch of half the free units")
}

// overQuotaDoor returns a door whose plain plan earns 0.3 of the gain beyond its quota at no cost, with the quota used up.
func overQuotaDoor() *Door {
	d := door(4)
	d.terms.Plans[plain].Beyond = 0.3
	d.arrive(newRequest(0, idempotent, plain))
	d.buckets[0].level = 0
	return d
}

func TestOverQuotaRequestsThatPayAreSentWhileTheFleetIsNotOverloaded(t *testing.T) {
	d := overQuotaDoor()
	d.arrive(newRequest(1, idempotent, plain))
	assert.Equal(t, undecided, d.ops[1].want)
	assert.Zero(t, d.ops[1].charge, "the quota is not charged")

	d.terms.Plans[plain].OverCost = 0.3 // as much as it earns
	d.arrive(newRequest(2, idempotent, plain))
	assert.Equal(t, rejected, d.ops[2].want)
}

// On an overloaded fleet a request that earns a share of its gain would displace one that earns all of it.
func TestNothingIsSentOverQuotaOnAnOverloadedFleet(t *testing.T) {
	d := overQuotaDoor()
	d.pressed = 2 * openUnder
	d.arrive(newRequest(1, idempotent, plain))
	assert.Equal(t, rejected, d.ops[1].want)
}

func TestACeilingAppliesToOverQuotaRequestsThatPay(t *testing.T) {
	d := door(4)
	d.terms.Plans[capped].Beyond = 0.3
	d.arrive(newRequest(0, idempotent, capped))
	d.buckets[0].level, d.buckets[0].ceiling = 0, 0
	d.arrive(newRequest(1, idempotent, capped))
	assert.Equal(t, rejected, d.ops[1].want)
}

func TestTheCounterIsNotCalledWhereOverQuotaRequestsPay(t *testing.T) {
	d := overQuotaDoor()
	d.terms.Counter = true
	assert.False(t, d.counts(&d.buckets[0]))
	d.pressed = 2 * openUnder
	assert.True(t, d.counts(&d.buckets[0]))
}

// A door with one request per second needs ten seconds for its first samples. When these were slow, it rejected every
// request of the class for ever, since no further sample came.
func TestFewSlowSamplesCauseNoHoldWithNothingInFlight(t *testing.T) {
	d := door(4)
	d.lat[idempotent] = latency{recent: 1063, low: 1063, samples: lowAfter - 1, lowAt: d.now}
	d.arrive(newRequest(0, idempotent, plain))
	assert.Equal(t, undecided, d.ops[0].want)
	assert.Zero(t, d.hold(&d.ops[0]))
}

// A backend may refuse a plan for half a minute. Even a door with little traffic would try it every few seconds.
func TestBackoffDoublesWhenABackendRefusesAPlanAgain(t *testing.T) {
	d := sentOnce(idempotent, 2)
	rest := func() float64 { return d.fleet.fullUntil[2][plain] - d.now }
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.Ended{Result: gate.Full, Use: -1})
	first := rest()
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.Ended{Result: gate.Full, Use: -1})
	assert.Equal(t, 2*first, rest())
	for range 10 {
		d.judge(&d.ops[0], &d.ops[0].sends[0], gate.Ended{Result: gate.Full, Use: -1})
	}
	assert.Equal(t, trialMost, rest())
	assert.Zero(t, d.fleet.fullUntil[2][capped], "another plan is not affected")
}

// Denied calls add their units as well, so the number may stand far above what was available.
func TestDeniedUnitsDoNotBlockTheNextWindow(t *testing.T) {
	d := doorAtCounter()
	k := &d.buckets[0]
	k.count.room, k.count.seen = -100, d.now
	_, left := d.window(k)
	d.now += left + 1000
	k.count.calling, k.barred = false, 0
	o := request{units: 1, class: idempotent}
	d.count(&o, k)
	assert.Positive(t, k.count.before)
}

func TestActualUnitsReplaceTheEstimate(t *testing.T) {
	d := sentOnce(idempotent, 0)
	level, charge := d.buckets[0].level, d.ops[0].charge
	d.ended(gate.Ended{Op: 0, Result: gate.Finished, Latency: 100, Over: true, Use: -1, Units: 3})
	assert.InDelta(t, level-2*charge, d.buckets[0].level, 1e-9, "estimated at 1 unit, charged by the door's share")
	assert.Equal(t, 2.0, d.buckets[0].count.owed)
}

func TestAnOverloadedCounterIsCalledForRequestsOfHigherGain(t *testing.T) {
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
	assert.Equal(t, 1000, calls(1), "a counter with spare capacity is called for every request")
}

// comparing makes a door compare its decisions with other terms, and returns a function that returns the kinds reported
// since its last call.
func comparing(d *Door) func() []gate.Difference {
	w := d.terms
	w.Plans = []gate.Plan{{Rate: 0.002, Depth: 12, Beyond: 0.3}, d.terms.Plans[capped]}
	w.MaxRetryAfter, w.Hedging, w.MaxAttempts = 0, false, 1
	d.Watch(&w)
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

func TestComparisonReportsDifferencesWithoutChangingDecisions(t *testing.T) {
	d := door(4)
	reported := comparing(d)
	d.arrive(newRequest(0, idempotent, plain))
	assert.Empty(t, reported(), "sent under both terms")
	d.buckets[0].level = 0
	d.arrive(newRequest(1, idempotent, plain))
	assert.Equal(t, rejected, d.ops[1].want)
	assert.Equal(t, []gate.Difference{gate.OtherAdvice, gate.SentBeyond}, reported())
	d.pressed = 2 * openUnder
	d.arrive(newRequest(2, idempotent, plain))
	assert.Equal(t, []gate.Difference{gate.OtherAdvice}, reported(), "nothing is sent beyond a quota on an overloaded fleet")
}

func TestComparisonReportsCallsHedgesAndRetries(t *testing.T) {
	d := doorAtCounter()
	reported := comparing(d)
	d.calls, d.buckets[0].count = nil, counting{}
	d.count(&request{units: 2, class: idempotent}, &d.buckets[0])
	assert.Len(t, d.calls, 1, "called as before")
	assert.Equal(t, []gate.Difference{gate.NotCounted}, reported())

	d = sentOnce(idempotent, 2)
	reported = comparing(d)
	d.fleet.cases[idempotent][2].judged = true
	d.now += 10 * rescueAt * d.recent(idempotent)
	d.ops[0].came = d.now
	d.rescue(0)
	assert.Len(t, d.ops[0].sends, 2, "hedged as before")
	assert.Equal(t, []gate.Difference{gate.NoCopy}, reported())

	d = sentOnce(idempotent, 2)
	reported = comparing(d)
	d.ended(gate.Ended{Op: 0, Result: gate.Errored, Latency: 100, Use: -1})
	assert.True(t, d.ops[0].held, "held for another attempt as before")
	assert.Equal(t, []gate.Difference{gate.NoFurther}, reported())
}

func TestSlicesOfACeilingAddUp(t *testing.T) {
	sum := 0.0
	for n := range 3 {
		d := door(1)
		d.terms.Number = n
		d.arrive(newRequest(0, idempotent, capped))
		d.now += 1e6
		sum += d.refill(0).ceiling
	}
	assert.LessOrEqual(t, sum, terms().Plans[capped].CeilingDepth)
	assert.Greater(t, sum, 0.9*terms().Plans[capped].CeilingDepth)
}

func TestADoorSendsItsShareOfTheConcurrencyLimit(t *testing.T) {
	d := door(4)
	d.arrive(newRequest(0, idempotent, capped))
	d.send(0, 0)
	d.arrive(newRequest(1, idempotent, capped))
	d.tick()
	assert.Empty(t, d.ops[1].sends, "three concurrent attempts over three doors are one at each")
}

func TestAReportedQueueLowersTheRoutingWeight(t *testing.T) {
	d := sentOnce(idempotent, 2)
	o := request{class: idempotent, plan: plain}
	before := d.room(2, &o)
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.Ended{Result: gate.Finished, Latency: 100, Queue: -1})
	assert.InEpsilon(t, before, d.room(2, &o), 0.1, "no report")
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.Ended{Result: gate.Finished, Latency: 100, Queue: 6})
	assert.Less(t, d.room(2, &o), before/2)
}

// Each of hundreds of doors has nothing in flight at most ticks, and yet together they keep an overloaded fleet overloaded.
func TestAveragedInFlightCausesHoldsAtADoorWithLittleTraffic(t *testing.T) {
	d := door(4)
	d.lat[idempotent] = latency{recent: 900, low: 100, best: 0.001, samples: 100, flight: 0.8}
	assert.Positive(t, d.hold(&request{class: idempotent}))
	d.now += 10 * flightSpan
	assert.Zero(t, d.hold(&request{class: idempotent}), "the average decays to none")
}

// The queue of a process that is gone is gone too: its successor must not be avoided for a queue that it never had.
func TestARestartedBackendInheritsNoQueue(t *testing.T) {
	d := sentOnce(idempotent, 2)
	d.judge(&d.ops[0], &d.ops[0].sends[0], gate.Ended{Result: gate.Finished, Latency: 100, Queue: 6})
	assert.Positive(t, d.fleet.queue[2])
	d.list(gate.Fleet{Entries: []gate.Entry{{Backend: 2, Since: 5}}})
	assert.Zero(t, d.fleet.queue[2])
}

func TestQuotaSharesOfAbsentDoorsPassToTheOthersGradually(t *testing.T) {
	d := door(4)
	clock := d.now
	even := func() float64 { k := d.fill(0, 0, 0, 3); return d.part(k) }
	before := even()
	d.Decide(clock, []gate.Event{gate.Doors{Here: []bool{true, false, false}, Count: 1}})
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
	assert.InDelta(t, 1, last, 0.02, "the only door present takes the whole quota")
	d.Decide(clock, []gate.Event{gate.Doors{Here: []bool{true, true, true}, Count: 3}})
	for range 40 {
		clock += 500
		d.now = clock
		last = even()
	}
	assert.InDelta(t, before, last, 0.02)
}

func TestAbsentDoorsDoNotWidenACeilingSlice(t *testing.T) {
	d := door(4)
	clock := d.now
	apart := door(4)
	d.Decide(clock, []gate.Event{gate.Doors{Here: []bool{true, false, false}, Count: 1}})
	for range 200 {
		clock += 100
		d.now, apart.now = clock, clock
		a, b := d.fill(0, capped, 0, 3), apart.fill(0, capped, 0, 3)
		assert.InDelta(t, b.ceiling, a.ceiling, 1e-9, "its slice is a third, whichever doors it believes present")
		assert.InDelta(t, apart.ceilingWait(b, 2), d.ceilingWait(a, 2), 1e-9)
	}
}

func TestColdBudgetsFollowTheNumberOfPresentDoors(t *testing.T) {
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
	d.Decide(clock, []gate.Event{gate.Fleet{Complete: true, Entries: []gate.Entry{{Backend: 0, Since: clock, Size: 1}}}})
	before := share()
	d.Decide(clock, []gate.Event{gate.Doors{Here: []bool{true, true, true}, Count: 6}})
	assert.InEpsilon(t, float64(before)/2, float64(share()), 0.15, "twice as many doors are present")
}

func TestAReportThatAllDoorsArePresentChangesNoDecision(t *testing.T) {
	alone, notified := door(6), door(6)
	notified.Decide(notified.now, []gate.Event{gate.Doors{Here: []bool{true, true, true}, Count: 3}})
	alone.Decide(alone.now, nil)
	sent := 0
	for n := range 400 {
		now := 100e3 + float64(n)*13
		events := []gate.Event{newRequest(n, n%4, n%2)}
		for i := range alone.ops { // earlier attempts are answered, some with errors
			for s := range alone.ops[i].sends {
				if tr := &alone.ops[i].sends[s]; tr.out() && now-tr.at > 120 {
					how := gate.Finished
					if i%7 == 0 {
						how = gate.Errored
					}
					events = append(events, gate.Ended{Op: i, Attempt: s, Backend: tr.backend, Result: how, Latency: now - tr.at, Over: how == gate.Finished, Use: 0.1, Queue: -1})
				}
			}
		}
		a := append([]gate.Action(nil), alone.Decide(now, events)...)
		b := append([]gate.Action(nil), notified.Decide(now, events)...)
		require.Equal(t, a, b, "batch %d", n)
		for _, x := range a {
			if _, is := x.(gate.Send); is {
				sent++
			}
		}
	}
	assert.Greater(t, sent, 50)
}

// A client that has gone gets no further attempt and no hedge, whether its request was held, its attempt fails afterwards,
// or its attempt stays in flight. With the client present each of these leads to another attempt.
func TestNoAttemptStartsForAClientThatHasGone(t *testing.T) {
	const step = 10.
	backends := gate.Fleet{}
	for b := range 4 {
		backends.Entries = append(backends.Entries, gate.Entry{Backend: b, Zone: b % 2, Cell: b, Size: 1})
	}
	for name, c := range map[string]struct {
		backends int
		then     func(sent int) gate.Event // event after the client has gone
	}{
		"held":             {0, func(int) gate.Event { return backends }},
		"reset":            {4, func(int) gate.Event { return gate.Ended{Result: gate.Reset, Use: -1} }},
		"unreachable":      {4, func(int) gate.Event { return gate.Ended{Result: gate.Unreachable, Use: -1} }},
		"full":             {4, func(int) gate.Event { return gate.Ended{Result: gate.Full, Use: -1} }},
		"no further event": {4, func(int) gate.Event { return gate.Woken{} }},
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
				decide(newRequest(0, idempotent, plain))
				before := sends
				require.Equal(t, min(1, c.backends), before)
				if gone {
					decide(gate.Vanished{Op: 0})
				}
				decide(c.then(before))
				for range 250 {
					decide()
				}
				assert.Equal(t, gone, sends == before, "%d further attempts", sends-before)
			}
		})
	}
}

// A door that has just started does not know the fleet's completion rate. It assumes that one request completes per
// baseline latency, so it takes six in flight for overload, and a busy start rejects a few requests. Defaults that
// admit them cost more on overloaded fleets than they gained (docs/design.md). After its first samples it knows the rate.
func TestOnlyANewlyStartedDoorTakesAFewInFlightForOverload(t *testing.T) {
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
	assert.False(t, reject(known, 8), "the most requests that a test client has in flight at a door")
}

func TestEveryRequestIsAnsweredByTheShutdownDeadline(t *testing.T) {
	d := door(1)
	end := d.now + 100
	d.Decide(d.now, []gate.Event{newRequest(0, idempotent, plain)})
	d.Decide(d.now, []gate.Event{gate.Closing{By: end}, newRequest(1, idempotent, plain)})
	given := map[int]bool{}
	for now := end - 50; now <= end; now += tickEvery {
		var ended []gate.Event
		if now >= end-tickEvery { // the driver stops waiting for what is in flight
			for i := range 2 {
				if o := &d.ops[i]; o.out > 0 {
					ended = append(ended, gate.Ended{Op: i, Attempt: len(o.sends) - 1, Result: gate.TimedOut})
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
