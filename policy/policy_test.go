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
	d.inFlight[idempotent] = 5
	d.latencies[idempotent].smoothed = 250 // within the margin
	assert.Zero(t, d.holdTime(o))
	d.latencies[idempotent].smoothed = 500
	little := d.holdTime(o)
	assert.Positive(t, little)
	d.latencies[idempotent].smoothed = 700
	assert.Greater(t, d.holdTime(o), little)
}

func TestNothingInFlightMeansNoHold(t *testing.T) {
	d := door(4)
	d.latencies[idempotent].smoothed = 5000 // every request was rejected since, so no sample lowers it
	assert.Zero(t, d.holdTime(&request{class: idempotent}))
}

func TestHoldLongerThanTheTimeLeftIsRejectedWithRetryAfter(t *testing.T) {
	d := door(4)
	d.inFlight[idempotent], d.latencies[idempotent].smoothed = 25, 950
	d.handleRequest(newRequest(0, idempotent, plain))
	assert.Equal(t, rejected, d.requests[0].wantedOutcome)
	assert.Positive(t, d.requests[0].retryAfter)
	assert.LessOrEqual(t, d.requests[0].retryAfter, 500.0)
	assert.Zero(t, d.buckets[0].reservedCharge, "units of a request never sent are released")
}

func TestFewSamplesSetNoBaseline(t *testing.T) {
	d := door(1)
	d.latencies[idempotent] = latencyStats{}
	for range minSamples - 1 {
		d.recordLatency(idempotent, 1)
	}
	assert.Equal(t, initialBaselineShare*1000, d.baseline(idempotent))
	d.recordLatency(idempotent, 1)
	assert.InDelta(t, 1, d.baseline(idempotent), 1e-9)
}

func TestBaselineFollowsALastingRiseOfLatency(t *testing.T) {
	d := door(1)
	for range 600 {
		d.now += 1000
		d.recordLatency(idempotent, 400)
	}
	assert.Greater(t, d.latencies[idempotent].baseline, 300.0)
}

func TestSilenceOfTheFleetRaisesExpectedLatency(t *testing.T) {
	d := sentEach()
	d.now += 800
	d.updateExcessAge()
	assert.InDelta(t, 100+ewmaWeight*4*700, d.expectedLatency(idempotent), 1)
}

func TestOneSilentBackendDoesNotRaiseExpectedLatency(t *testing.T) {
	d := door(4)
	for i := range 4 {
		d.handleRequest(newRequest(i, idempotent, plain))
		d.send(i, 0)
	}
	d.emitActions()
	d.fleet.suspicions[idempotent][0].ejected = true
	d.now += 800
	d.updateExcessAge()
	assert.InDelta(t, 100, d.expectedLatency(idempotent), 1)
}

func TestQuotaShareIsEvenUntilAMeterReport(t *testing.T) {
	d := door(1)
	k := d.updateBucket(0, plain, 0, 3)
	k.demand = 0.001
	assert.InDelta(t, 1.0/3, d.quotaShare(k), 1e-9)
	d.recordMeteredUse(k, 0)
	alone := d.quotaShare(k)
	assert.Greater(t, alone, 0.5)
	k.othersUse = 0.003
	assert.Less(t, d.quotaShare(k), alone)
}

func TestBeyondQuotaIsRejectedAtOnce(t *testing.T) {
	d := door(1)
	d.updateBucket(0, plain, 0, 3).level = 0.5
	d.handleRequest(newRequest(0, idempotent, plain))
	assert.Equal(t, rejected, d.requests[0].wantedOutcome)
	assert.InDelta(t, 250, d.requests[0].retryAfter, 1)
}

// Customers that come only once, and backends kept under their ids, must not occupy memory for a minute where a new bucket
// would hold the same.
func TestAnIdleBucketThatIsFullAgainIsDropped(t *testing.T) {
	d := door(1)
	d.updateBucket(0, plain, 0, 3)
	d.now += idleFullExpiry + 1
	d.buckets[0].level = -40
	d.dropIdleBuckets()
	assert.Empty(t, d.freedIndices, "a new bucket would start full")
	d.buckets[0].level = 12
	d.dropIdleBuckets()
	assert.Equal(t, []gate.Action{gate.FreeCustomer{Customer: 0}}, d.freedIndices)
}

// A freed customer index is reused, and must not inherit anything from its previous customer.
func TestAFreedCustomerIndexStartsClean(t *testing.T) {
	d := door(2)
	d.handleRequest(newRequest(0, idempotent, capped))
	k := &d.buckets[0]
	k.level, k.ceilingLevel, k.othersUse, k.meteredAt, k.shareScale, k.blockedUntil, k.blockedUnits = -5, -5, 1, d.now, 0.2, 1e12, 1
	k.counter = counterState{window: 7, granted: 9, pendingUnits: 3, callPending: true}
	k.reservedCharge, k.reservedUnits, k.openRequests, k.inFlight = 0, 0, 0, 0
	d.active, d.now = nil, d.now+idleExpiry+1
	d.dropIdleBuckets()
	d.freedIndices = nil
	d.now += 1
	d.handleRequest(gate.Request{Op: 1, Class: idempotent, Plan: plain, TTL: 3000, Units: 1, Spread: 2, FirstDoor: 1})
	fresh := bucket{known: true, plan: plain, firstDoor: 1, spread: 2, level: 12, filledAt: d.now,
		meteredLevel: 12, shareScale: 1, meteredAt: math.Inf(-1), presentDoors: 2, windowPhase: 0, openRequests: 1, demand: 1 / demandSpan, reservedCharge: d.buckets[0].reservedCharge, reservedUnits: 1}
	assert.Equal(t, fresh, d.buckets[0])
}

func TestANewCustomersCeilingSliceFillsFromTheDoorsStart(t *testing.T) {
	d := door(1)
	d.startedAt = d.now - 2000
	assert.InDelta(t, 2, d.updateBucket(0, capped, 0, 3).ceilingLevel, 1e-9)
	assert.Zero(t, d.updateBucket(0, capped, 1, 3).ceilingLevel, "use of a changed slice is unknown")
}

func TestCeilingSliceStartsEmptyAndFillsAtItsShareOfTheRate(t *testing.T) {
	d := door(1)
	d.startedAt = d.now
	assert.Zero(t, d.updateBucket(0, capped, 0, 3).ceilingLevel)
	d.now += 2000
	assert.InDelta(t, 2, d.updateBucket(0, capped, 0, 3).ceilingLevel, 1e-9)
	d.now += 1e6
	assert.InDelta(t, (30-2*counterTimeout*0.003)/3, d.updateBucket(0, capped, 0, 3).ceilingLevel, 1e-9)
}

func TestUnitsAreTakenWhenSentNotWhenHeld(t *testing.T) {
	d := door(1)
	full := (30 - 2*counterTimeout*0.003) / 3
	d.updateBucket(0, capped, 0, 3).ceilingLevel = full
	d.handleRequest(newRequest(0, idempotent, capped))
	d.now += 60e3 // long enough to refill what it would have taken at arrival
	d.send(0, 0)
	assert.InDelta(t, full-1, d.buckets[0].ceilingLevel, 1e-9)
	assert.Zero(t, d.buckets[0].reservedUnits)
}

func TestHoldsAreNotAllReleasedAtOnce(t *testing.T) {
	d := door(4)
	d.latencies[idempotent].smoothed = 300
	for i := range 50 {
		o := newRequest(i, idempotent, plain)
		o.Units = 0
		d.handleRequest(o)
	}
	d.now += 100
	d.tick()
	assert.Positive(t, d.inFlight[idempotent])
	assert.Less(t, d.inFlight[idempotent], 30)
}

func TestNonIdempotentThatMayHaveRunFails(t *testing.T) {
	d := sentOnce(nonIdempotent, 0)
	d.handleAttemptEnded(gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1})
	d.tick()
	assert.Equal(t, failed, d.requests[0].wantedOutcome)
}

func TestNonIdempotentThatNeverRanIsSentAgain(t *testing.T) {
	d := sentOnce(nonIdempotent, 0)
	d.handleAttemptEnded(gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	assert.True(t, d.requests[0].held)
}

func TestKeyedRepeatStaysInItsGroupAndWindow(t *testing.T) {
	d := sentOnce(keyedInZone, 0)
	o := &d.requests[0]
	assert.True(t, d.eligible(o, 2))
	assert.False(t, d.eligible(o, 1), "another zone")
	d.now += 4000
	assert.False(t, d.eligible(o, 2), "past the window")
}

// A repeat is decided within the deduplication window, but connecting may take long. Its Send must therefore carry the
// latest start, counted from the earliest attempt that may have run.
func TestARepeatCarriesItsStartDeadline(t *testing.T) {
	for class, want := range map[int]float64{keyedAnywhere: 100e3 + 4000 - dedupMargin,
		keyedInZone: 100e3 + 4000 - dedupMargin, idempotent: 0} {
		d := sentOnce(class, 0)
		assert.Zero(t, d.startDeadline(&d.requests[0], 0), "the first attempt has no start deadline")
		d.now += 1000
		d.handleAttemptEnded(gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1})
		d.send(0, 2)
		d.emitActions()
		assert.Contains(t, d.actions, gate.Send{Op: 0, Backend: 2, StartBy: want})
		d.now += 1000
		d.handleAttemptEnded(gate.AttemptEnded{Attempt: 1, Result: gate.Skipped, MeteredUse: -1})
		d.send(0, 2)
		assert.Equal(t, want, d.startDeadline(&d.requests[0], 2), "an attempt that never ran changes nothing")
		d.handleAttemptEnded(gate.AttemptEnded{Attempt: 2, Result: gate.Reset, MeteredUse: -1})
		assert.Equal(t, want, d.startDeadline(&d.requests[0], 3), "of two that may have run, the earlier one's key expires first")
	}
	d := sentOnce(keyedAnywhere, 0)
	d.handleAttemptEnded(gate.AttemptEnded{Result: gate.Unreachable, MeteredUse: -1})
	d.now += 3000
	d.send(0, 2)
	d.emitActions()
	assert.Contains(t, d.actions, gate.Send{Op: 0, Backend: 2})
}

func TestKeyedInZoneFailsOnceItMayHaveRun(t *testing.T) {
	d := sentOnce(keyedInZone, 0)
	d.fleet.up = make([]bool, 4)
	d.handleAttemptEnded(gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1})
	d.tick()
	assert.Equal(t, failed, d.requests[0].wantedOutcome)
}

func TestDrainingBackendReceivesNoNewAttempts(t *testing.T) {
	d := door(2)
	d.updateFleet(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 0, Status: gate.Draining}}})
	for range 20 {
		b, _ := d.pickBackend(&request{class: idempotent})
		assert.Equal(t, 1, b)
	}
}

func TestColdBudgetSharesBelowOneRequestAddUp(t *testing.T) {
	d := door(2)
	d.handleRequest(newRequest(0, idempotent, plain))
	d.fleet.startedAt[0], d.now = 50e3, 50e3
	d.fleet.warmWork, d.fleet.warmWorkAt = 200, 50e3 // 0.02 ms of work per ms: a door with little traffic, 0.1 requests per window
	sent := 0
	for range 400 {
		d.now += d.terms.OverloadWindow
		d.fleet.startedAt[0], d.fleet.warmWorkAt = d.now, d.now // as cold as at its start
		for d.hasColdBudget(&d.requests[0], 0) {
			d.fleet.coldLeft[0]--
			sent++
		}
	}
	budget := 400 * d.terms.OverloadMultiple * d.terms.ColdCapacity * 0.02 * d.terms.OverloadWindow / 100
	assert.Less(t, float64(sent), budget)
	assert.Greater(t, float64(sent), budget/2)
}

func TestSilenceEjectsABackendAndAnswersReadmitIt(t *testing.T) {
	d := sentOnce(idempotent, 0)
	for range 10 {
		d.now += 100
		d.tick()
	}
	assert.True(t, d.fleet.ejected(0, idempotent))
	o := &d.requests[0]
	d.recordResult(o, &o.attempts[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100})
	d.recordResult(o, &o.attempts[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100})
	assert.False(t, d.fleet.ejected(0, idempotent))
}

func TestAWholeFleetIsNeverEjected(t *testing.T) {
	d := door(4)
	for b := range 4 {
		d.addEvidence(b, idempotent, ejectionThreshold)
	}
	assert.True(t, d.fleet.ejected(1, idempotent))
	assert.False(t, d.fleet.ejected(2, idempotent))
}

func TestABackendIsEjectedForASingleSilentClass(t *testing.T) {
	d := sentOnce(idempotent, 0)
	for range 10 {
		d.now += 200
		d.tick()
		d.recordResult(&request{class: nonIdempotent}, &attempt{}, gate.AttemptEnded{Result: gate.Finished, Latency: 100})
	}
	assert.True(t, d.fleet.ejected(0, idempotent))
	assert.False(t, d.fleet.ejected(0, nonIdempotent))
}

func TestHeldRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	d := door(0) // no backend
	d.handleRequest(newRequest(0, idempotent, plain))
	d.now = d.requests[0].deadline - tickInterval
	d.tick()
	assert.Equal(t, rejected, d.requests[0].wantedOutcome)
}

func TestTimerIsSetAgainAfterAnEarlyFiring(t *testing.T) {
	d := door(0)
	d.handleRequest(newRequest(0, idempotent, plain))
	d.Decide(d.now, nil)
	acts := d.Decide(d.now+tickInterval-0.0001, []gate.Event{gate.TimerFired{}})
	assert.Contains(t, acts, gate.SetTimer{At: d.now + tickInterval})
}

func TestConcurrencyLimitHoldsRequests(t *testing.T) {
	d := door(4)
	full := (30 - 2*counterTimeout*0.003) / 3
	d.updateBucket(0, capped, 0, 3).ceilingLevel = full
	d.handleRequest(newRequest(0, idempotent, capped))
	d.handleRequest(newRequest(1, idempotent, capped))
	d.release(0)
	d.release(1)
	assert.Len(t, d.requests[0].attempts, 1)
	assert.True(t, d.requests[1].held)
}

// doorAtCounter returns a door with request 0, of two units, waiting for the shared counter.
func doorAtCounter() *Door {
	d := door(4)
	d.terms.Counter = true
	e := newRequest(0, idempotent, plain)
	e.Units = 2
	d.handleRequest(e)
	d.tick()
	return d
}

// Only customers close to their quota need the counter: with a call for every request, a counter that sustains half of the
// calls would also fail those that matter. The units of the others are added by a later call.
func TestUnitsFarBelowTheQuotaAreAddedByALaterCall(t *testing.T) {
	d := doorAtCounter()
	d.counterCalls = nil
	e := newRequest(1, idempotent, plain)
	e.Customer, e.Spread = 1, 1
	d.handleRequest(e)
	d.tick()
	assert.Empty(t, d.counterCalls)
	assert.Equal(t, 1, d.inFlight[idempotent], "it is sent at once")
	d.buckets[1].level = 4
	e.Op = 2
	d.handleRequest(e)
	d.tick()
	c := &d.buckets[1].counter
	assert.Equal(t, c.askedUnits+1, d.counterCalls[0].(gate.Count).Add)
	assert.Zero(t, c.pendingUnits)
}

func TestRequestWaitsForUnitsFromTheCounter(t *testing.T) {
	d := doorAtCounter()
	call := d.counterCalls[0].(gate.Count)
	assert.Equal(t, 2.0, call.Add)
	assert.Zero(t, d.inFlight[idempotent])
	d.handleCounted(gate.Counted{Epoch: call.Epoch, Total: 12})
	d.tick()
	assert.Equal(t, 1, d.inFlight[idempotent])
}

func TestUnitsTooFewForARequestAreKeptForSmallerOnes(t *testing.T) {
	d := doorAtCounter()
	call := d.counterCalls[0].(gate.Count)
	c := &d.buckets[0].counter
	d.handleCounted(gate.Counted{Epoch: call.Epoch, Total: 12 + c.refillRate*4000 + 1}) // 4 s into the window
	d.tick()
	assert.Equal(t, rejected, d.requests[0].wantedOutcome)
	assert.InDelta(t, 1, c.surplus, 1e-9, "the next call subtracts what was not granted")
	d.handleRequest(newRequest(1, idempotent, plain))
	d.tick()
	assert.Equal(t, 1, d.inFlight[idempotent])
}

func TestUnitsRefillWithinAWindowFromTheLevelLastSeen(t *testing.T) {
	d := doorAtCounter()
	c := &d.buckets[0].counter
	assert.InDelta(t, 0.002/3, c.refillRate, 1e-9, "level at its start unknown: by the even split")
	c.available, c.seenAt, c.surplus = 3, d.now, 0.5
	d.counterCalls, c.callPending = nil, false
	d.now += 6000 // the same offset in the next window, which began 4 s ago
	d.takeFromCounter(&d.requests[0], &d.buckets[0])
	assert.InDelta(t, 3+2000*0.002, c.initialLevel, 1e-9)
	assert.InDelta(t, 0.002, c.refillRate, 1e-9)
	d.handleCounted(gate.Counted{Epoch: c.window, Total: 16})
	assert.InDelta(t, 0, c.available, 1e-9)
	assert.InDelta(t, 1, c.granted, 1e-9)
	assert.InDelta(t, 500, d.buckets[0].blockedUntil-d.now, 1e-6, "until two units have refilled")
}

func TestAnOverloadedCounterIsCalledLess(t *testing.T) {
	d := doorAtCounter()
	d.handleCounted(gate.Counted{Epoch: d.counterCalls[0].(gate.Count).Epoch, Result: gate.Full})
	assert.Less(t, d.callShare, 1.0)
	d.tick()
	assert.Equal(t, 1, d.inFlight[idempotent], "decided by quota share")
}

func TestCallShareRecoversAtOnceAfterACounterOutage(t *testing.T) {
	d := doorAtCounter()
	epoch := d.counterCalls[0].(gate.Count).Epoch
	for range 2 * counterDownAfter {
		d.now += counterTimeout
		d.handleCounted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, minCallShare, d.callShare)
	d.handleCounted(gate.Counted{Epoch: epoch})
	assert.Equal(t, 1.0, d.callShare)
	for range counterDownAfter {
		d.now += counterTimeout
		d.handleCounted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
		d.handleCounted(gate.Counted{Epoch: epoch, Result: gate.Full}) // the answer of an overloaded counter
	}
	d.handleCounted(gate.Counted{Epoch: epoch})
	assert.Less(t, d.callShare, 0.1)
}

// Calls made together time out together. When each counted as a separate overload, one delay at the counter stopped the
// calls for seconds. A malformed answer is still an answer and no sign of overload.
func TestCallsThatFailTogetherAreOneOverloadSignal(t *testing.T) {
	d := doorAtCounter()
	epoch := d.counterCalls[0].(gate.Count).Epoch
	d.handleCounted(gate.Counted{Epoch: epoch, Result: gate.Malformed})
	assert.Equal(t, 1.0, d.callShare)
	for range 5 {
		d.handleCounted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, callShareDecrease, d.callShare)
	assert.Less(t, d.callsScarceAt, d.now, "one delay is no lasting overload")
	for range 2 {
		d.now += counterTimeout
		d.handleCounted(gate.Counted{Epoch: epoch, Result: gate.TimedOut})
	}
	assert.Equal(t, d.now, d.callsScarceAt)
}

// A call without an answer was usually executed: left in the total, its units would be usable by no door.
func TestUnitsOfACallWithoutAnAnswerAreSubtracted(t *testing.T) {
	d := doorAtCounter()
	c := &d.buckets[0].counter
	d.handleCounted(gate.Counted{Epoch: c.window, Result: gate.TimedOut})
	assert.Equal(t, c.askedUnits, c.surplus)
	c.surplus = 0
	d.handleCounted(gate.Counted{Epoch: c.window, Result: gate.Unreachable})
	assert.Zero(t, c.surplus)
}

// Guards against a customer that is rejected as over its quota, and counted without units for a whole window, because an answer of the
// counter came just after its window had ended and was read as one from the next window's beginning.
func TestAnAnswerAfterItsWindowTellsTheLevelAtItsEnd(t *testing.T) {
	d := doorAtCounter()
	k := &d.buckets[0]
	c, p := &k.counter, &d.terms.Plans[plain]
	c.refillRate = p.Rate
	_, left := d.counterWindow(k)
	d.now += left - 1
	d.handleCounted(gate.Counted{Epoch: c.window, Total: 2})
	assert.InDelta(t, p.Depth, c.available+c.granted, 0.01, "the bucket is full at the end of its window")
	c.granted, c.callPending, c.askedUnits, c.requiredUnits = 0, true, 2, 2
	d.now += 2 // the call was made before the window ended
	d.handleCounted(gate.Counted{Epoch: c.window, Total: 4})
	assert.Equal(t, 2.0, c.granted)
	assert.LessOrEqual(t, k.blockedUntil, d.now)
	d.takeFromCounter(&request{units: 3}, k)
	assert.InDelta(t, p.Depth-4, c.initialLevel, 0.01, "the next window begins at that level: both calls have taken their units")
}

// Guards against a counter that grants nothing because each of its answers is late (incident of 7 December).
func TestALateAnswerGrantsItsUnits(t *testing.T) {
	d := doorAtCounter()
	c, call := &d.buckets[0].counter, d.counterCalls[0].(gate.Count)
	d.handleCounted(gate.Counted{Epoch: c.window, Result: gate.TimedOut})
	assert.Less(t, c.retryAt, d.now+counterTimeout, "no late answer is known: the counter is called again soon")
	d.now += 300
	d.handleCountedLate(gate.CountedLate{Epoch: c.window, Call: call.Call, Total: 12, Latency: 400})
	assert.Equal(t, c.askedUnits, c.granted)
	assert.Zero(t, c.surplus, "the next call subtracts nothing")
	c.granted, c.callPending = 0, false
	d.counterCalls = nil
	d.takeFromCounter(&d.requests[0], &d.buckets[0])
	next := d.counterCalls[0].(gate.Count)
	d.now += counterTimeout
	d.handleCounted(gate.Counted{Epoch: c.window, Result: gate.TimedOut})
	assert.InDelta(t, c.calledAt+800, c.retryAt, 1e-9, "the late answer is awaited")
	d.handleCountedLate(gate.CountedLate{Epoch: c.window, Call: call.Call, Total: 12, Latency: 500})
	assert.Zero(t, c.granted, "the units of an earlier call have been subtracted")
	d.handleCountedLate(gate.CountedLate{Epoch: c.window + 1, Call: next.Call, Total: 12, Latency: 500})
	assert.Zero(t, c.granted, "another window")
	c.callPending = true
	d.handleCountedLate(gate.CountedLate{Epoch: c.window, Call: next.Call, Total: 12, Latency: 500})
	assert.Zero(t, c.granted, "a call is in flight")
}

// A bucket that was full halfway through a window holds its depth, not its depth plus what would have refilled.
func TestAWindowGrantsNoMoreThanTheBucketHolds(t *testing.T) {
	d := doorAtCounter()
	c, p := &d.buckets[0].counter, &d.terms.Plans[plain]
	c.initialLevel, c.refillRate, c.askedUnits = p.Depth, p.Rate, 2*p.Depth
	_, left := d.counterWindow(&d.buckets[0])
	d.handleCounted(gate.Counted{Epoch: c.window, Total: 2 * p.Depth})
	assert.Less(t, left, p.Depth/p.Rate)
	assert.InDelta(t, p.Depth, c.granted, 1e-9)
}

// Each door's quota share follows its demand against the others' use. For a customer far beyond its quota every door's
// demand exceeds its use, so the shares add up to more than the quota, which the meter shows. A burst from a full
// bucket must not scale the shares down.
func TestQuotaSharesAreScaledDownWhileTheyExceedTheQuota(t *testing.T) {
	d := door(2)
	k := d.updateBucket(0, plain, 0, 3)
	k.demand = 1
	d.recordMeteredUse(k, 2)
	assert.Equal(t, 1.0, k.shareScale, "the bucket was full")
	whole := d.quotaShare(k)
	for range 20 {
		d.now += d.terms.MeterPeriod
		d.recordMeteredUse(k, 2)
	}
	assert.Less(t, d.quotaShare(k), whole*0.7)
	assert.GreaterOrEqual(t, k.shareScale, minShareScale)
	for range 20 {
		d.now += d.terms.MeterPeriod
		d.recordMeteredUse(k, 0.2)
	}
	assert.InDelta(t, 1, k.shareScale, 0.01)
}

func TestReservationOfCounterCallsEnds(t *testing.T) {
	d := doorAtCounter()
	d.callsScarceAt, d.counterCalls = d.now, nil
	e := newRequest(1, idempotent, plain) // of a customer whose quota share holds it
	e.Customer, e.Units = 1, 2
	d.handleRequest(e)
	d.tick()
	assert.Empty(t, d.counterCalls)
	d.now += reserveCallsFor
	d.random = newRandomSource(1)
	for op := 2; op < 12; op++ {
		e.Op, e.Customer = op, op
		d.handleRequest(e)
	}
	d.tick()
	assert.NotEmpty(t, d.counterCalls)
}

func TestFailedListIsSubscribedToAgainAfterADelay(t *testing.T) {
	d := door(1)
	d.terms.MustSubscribe = true
	assert.NotContains(t, d.Decide(d.now, []gate.Event{gate.FleetUpdate{Failed: true}}), gate.SubscribeFleet{})
	assert.Contains(t, d.Decide(d.now+subscribeBackoff, nil), gate.SubscribeFleet{})
	assert.NotContains(t, d.Decide(d.now+1, nil), gate.SubscribeFleet{})
}

func TestLostAnswersAreNoBacklog(t *testing.T) {
	d := sentEach()
	assert.Positive(t, d.drainTime(idempotent))
	d.now += 1500 // past the contract time, before the clients' deadline
	d.answeredAt = d.now - 100
	d.updateExcessAge()
	assert.Zero(t, d.drainTime(idempotent))
	assert.InDelta(t, 100, d.expectedLatency(idempotent), 1)
	assert.Zero(t, d.holdTime(&d.requests[0]))
}

// Guards against taking a silent fleet for lost answers: a door whose few samples were old went on sending to a fleet that
// had stopped.
func TestASilentFleetCausesHolds(t *testing.T) {
	d := sentEach()
	d.now += 1500
	d.answeredAt = d.now - 1500
	d.updateExcessAge()
	assert.Positive(t, d.drainTime(idempotent))
	assert.Positive(t, d.holdTime(&d.requests[0]))
}

func TestATimeoutAtAnEjectedBackendCountsOnceTheFleetIsSilent(t *testing.T) {
	d := sentOnce(idempotent, 2)
	d.fleet.suspicions[idempotent][2].ejected = true
	timedOut := gate.AttemptEnded{Result: gate.TimedOut, Latency: 900, MeteredUse: -1}
	d.answeredAt = d.now
	d.recordResult(&d.requests[0], &d.requests[0].attempts[0], timedOut)
	assert.Equal(t, 100.0, d.latencies[idempotent].smoothed, "one silent backend does not mean an overloaded fleet")
	d.answeredAt = d.now - 1500
	d.recordResult(&d.requests[0], &d.requests[0].attempts[0], timedOut)
	assert.Greater(t, d.latencies[idempotent].smoothed, 100.0)
}

// Each of hundreds of doors may have one request in flight by random variation, but not one of every class.
func TestRandomVariationInFlightCountsOncePerDoor(t *testing.T) {
	d := door(4)
	d.inFlight[idempotent] = 1
	assert.Zero(t, d.drainTime(idempotent))
	d.inFlight[nonIdempotent], d.inFlight[keyedInZone] = 1, 1
	assert.Positive(t, d.drainTime(idempotent))
}

func TestARetryRejectedAtAnOverloadedCounterIsNotSent(t *testing.T) {
	d := doorAtCounter()
	d.callShare = 0
	e := newRequest(1, idempotent, plain)
	e.Customer, e.ClientRetry, e.Units = 1, true, 5 // more than its quota share holds
	d.handleRequest(e)
	d.tick()
	assert.Equal(t, rejected, d.requests[1].wantedOutcome)
	assert.Empty(t, d.requests[1].attempts, "an attempt never sent would count as in flight for ever")
}

func TestLateAttemptsAreBacklogWhileAnswersAreSlow(t *testing.T) {
	d := door(4)
	for i := range 9 {
		d.handleRequest(newRequest(i, idempotent, plain))
		d.send(i, i%4)
	}
	d.emitActions()
	d.latencies[idempotent].smoothed = 900
	d.now += 1500
	d.updateExcessAge()
	assert.Positive(t, d.holdTime(&d.requests[0]), "otherwise the door keeps sending to a fleet that answers nothing in time")
}

func TestBaselineHasAnUpperBound(t *testing.T) {
	d := door(1)
	d.latencies[idempotent].baseline = 900
	assert.Equal(t, maxBaselineShare*1000, d.baseline(idempotent))
}

func TestATimeoutIsALatencySampleOfItsAge(t *testing.T) {
	d := sentOnce(idempotent, 0)
	d.handleAttemptEnded(gate.AttemptEnded{Result: gate.TimedOut, Latency: 3000, MeteredUse: -1})
	assert.InDelta(t, 100+ewmaWeight*900, d.latencies[idempotent].smoothed, 1)
}

func TestLateRequestsAreGivenUpOnAnOverloadedFleet(t *testing.T) {
	d := door(4)
	for i := range 9 {
		d.handleRequest(newRequest(i, idempotent, plain))
		d.send(i, i%4)
	}
	d.emitActions()
	d.now += 1500
	d.answeredAt = d.now
	d.tick()
	assert.Equal(t, undecided, d.requests[0].wantedOutcome, "nothing shows that the fleet is overloaded")
	d.latencies[idempotent].smoothed = 900
	d.tick()
	assert.Equal(t, rejected, d.requests[0].wantedOutcome)
}

// Where backends are replaced all day, the index of a gone one is freed once no open request was sent to it, and the next
// backend under that index inherits neither evidence nor weight.
func TestAGoneBackendsIndexIsFreedOnce(t *testing.T) {
	d := sentOnce(idempotent, 1)
	d.fleet.suspicions[0][1].ejected = true
	d.updateFleet(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 1, Status: gate.Gone}}})
	d.freeGoneBackends()
	assert.Empty(t, d.freedIndices, "a request is in flight there")
	d.handleAttemptEnded(gate.AttemptEnded{Backend: 1, Result: gate.Reset, MeteredUse: -1})
	d.requests[0].wantedOutcome = rejected
	d.tick()
	d.freeGoneBackends()
	assert.Equal(t, []gate.Action{gate.FreeBackend{Backend: 1}}, d.freedIndices)
	d.freeGoneBackends()
	assert.Len(t, d.freedIndices, 1)
	d.updateFleet(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 1}}})
	assert.False(t, d.fleet.ejected(1, idempotent))
	assert.Equal(t, 1.0, d.fleet.weight[1])
	d.updateFleet(gate.FleetUpdate{Complete: true, Entries: []gate.Entry{{Backend: 0}}})
	d.freeGoneBackends()
	assert.Len(t, d.freedIndices, 4, "a backend missing from a complete list is gone")
}

// With hundreds of doors at a few dozen requests per second each, sending to all backends opens a new connection for half of
// the requests and gathers too little evidence on each backend.
func TestSubsetGrowsWithTheDoorsTraffic(t *testing.T) {
	d := door(100)
	drawn := func() map[int]bool {
		drawn := map[int]bool{}
		for range 400 {
			o := request{class: idempotent, plan: plain}
			b, eligible := d.pickBackend(&o)
			require.True(t, eligible)
			drawn[b] = true
		}
		return drawn
	}
	few := drawn()
	assert.Len(t, few, minSubset)
	d.fleet.sendRate, d.fleet.sendRateAt = 0.02, d.now // 20 per second
	more := drawn()
	assert.Len(t, more, 20)
	for b := range few {
		assert.True(t, more[b], "a larger subset keeps the backends of the smaller one")
	}
	d.now += 60e3
	assert.Equal(t, minSubset, d.subsetSize(), "traffic has stopped")
}

func TestEjectedBackendsAreReplacedByTheNextOnTheRing(t *testing.T) {
	d := door(30)
	o := request{class: idempotent, plan: plain}
	f := &d.fleet
	first := append([]int(nil), f.ringOrder[:minSubset]...)
	for _, b := range first { // the whole subset is lost with its zone
		f.suspicions[idempotent][b] = suspicion{ejected: true, evidence: ejectionThreshold, probeAt: d.now + 1e3}
	}
	for range 100 {
		b, _ := d.pickBackend(&o)
		assert.NotContains(t, first, b)
	}
	d.updateFleet(gate.FleetUpdate{Entries: []gate.Entry{{Backend: f.ringOrder[minSubset], Status: gate.Draining}}})
	assert.Len(t, f.ringOrder, 29)
	for range 100 {
		b, _ := d.pickBackend(&o)
		assert.True(t, f.up[b])
	}
}

// With subsets drawn at random by each door the deviation would be 4.7 doors, and a backend with a quarter more doors than
// others is full before the fleet is.
func TestSubsetsSpreadEvenlyOverTheBackends(t *testing.T) {
	const doors, backends = 300, 100
	doorsAt := make([]int, backends)
	for n := range doors {
		d := New(terms(), uint64(n))
		d.terms.DoorNumber = n
		var e gate.FleetUpdate
		for b := range backends { // every door assigns its own indices
			e.Entries = append(e.Entries, gate.Entry{Backend: (b + n) % backends, RingPosition: float64(b*37%backends) / backends})
		}
		d.updateFleet(e)
		for _, b := range d.fleet.ringOrder[:minSubset] {
			doorsAt[(b-n%backends+backends)%backends]++
		}
	}
	for _, n := range doorsAt {
		assert.InDelta(t, doors*minSubset/backends, n, 2)
	}
}

func TestALostBackendChangesASubsetByOneAtMost(t *testing.T) {
	d := door(30)
	d.terms.DoorNumber = 7
	d.updateFleet(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 0}}})
	before := append([]int(nil), d.fleet.ringOrder[:minSubset]...)
	d.updateFleet(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 29, Status: gate.Gone}}})
	kept := 0
	for _, b := range d.fleet.ringOrder[:minSubset] {
		if slices.Contains(before, b) {
			kept++
		}
	}
	assert.GreaterOrEqual(t, kept, minSubset-1)
}

// meteredDoor returns a door with an empty local bucket and a held request 0, of two units, decided without the counter. The
// customer's last meter report is reportAgeMs old and left 12 units.
func meteredDoor(reportAgeMs float64) *Door {
	d := door(2)
	d.terms.Counter = true
	e := newRequest(0, idempotent, plain)
	e.Units = 2
	d.handleRequest(e)
	d.requests[0].skipsCounter = true
	k := &d.buckets[0]
	k.level, k.meteredAt, k.meteredLevel = 0, d.now-reportAgeMs, 12
	return d
}

// Where many doors each see a customer rarely, the local share cannot hold a request. A fresh meter report of a full bucket
// admits it, and its units are taken from the reported level.
func TestAFreshMeterReportAdmitsWhatASmallShareCannotHold(t *testing.T) {
	d := meteredDoor(500)
	assert.True(t, d.acquireUnits(0))
	assert.InDelta(t, 10, d.buckets[0].meteredLevel, 1e-9)
	assert.Zero(t, d.requests[0].charge, "the local bucket is not charged")
}

func TestAStaleMeterReportAdmitsNothingBeyondTheShare(t *testing.T) {
	d := meteredDoor(2 * meterFreshPeriods * 1000)
	assert.False(t, d.acquireUnits(0))
	assert.Equal(t, rejected, d.requests[0].wantedOutcome)
	assert.Equal(t, gate.OverQuotaShare, d.requests[0].cause)
}

func TestAMeterReportIsNotSpentTwice(t *testing.T) {
	d := meteredDoor(500)
	d.buckets[0].meteredLevel = 12
	require.True(t, d.acquireUnits(0))
	e := newRequest(1, idempotent, plain)
	e.Units = 2
	d.handleRequest(e)
	d.requests[1].skipsCounter = true
	assert.False(t, d.acquireUnits(1), "8 of the 12 reported units would be left, less than the share that must stay")
}

// unitsCalledFor returns the units that a door asks the counter for, for a request of two units, with 12 units free in the
// window and the given demand of the customer at this door, units/ms.
func unitsCalledFor(demand float64) float64 {
	d := door(2)
	d.terms.Counter = true
	e := newRequest(0, idempotent, plain)
	e.Spread, e.Units = 1, 2
	d.handleRequest(e)
	k := &d.buckets[0]
	n, _ := d.counterWindow(k)
	k.level, k.demand, k.counter = 0, demand, counterState{window: n, available: 12, initialLevel: 12, refillRate: 0.002}
	d.takeFromCounter(&d.requests[0], k)
	return d.counterCalls[0].(gate.Count).Add
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
	d.terms.Plans[plain].OverQuotaGain = 0.3
	d.handleRequest(newRequest(0, idempotent, plain))
	d.buckets[0].level = 0
	return d
}

func TestOverQuotaRequestsThatPayAreSentWhileTheFleetIsNotOverloaded(t *testing.T) {
	d := overQuotaDoor()
	d.handleRequest(newRequest(1, idempotent, plain))
	assert.Equal(t, undecided, d.requests[1].wantedOutcome)
	assert.Zero(t, d.requests[1].charge, "the quota is not charged")

	d.terms.Plans[plain].OverQuotaCost = 0.3 // as much as it earns
	d.handleRequest(newRequest(2, idempotent, plain))
	assert.Equal(t, rejected, d.requests[2].wantedOutcome)
}

// On an overloaded fleet a request that earns a share of its gain would displace one that earns all of it.
func TestNothingIsSentOverQuotaOnAnOverloadedFleet(t *testing.T) {
	d := overQuotaDoor()
	d.heldShare = 2 * maxHeldShare
	d.handleRequest(newRequest(1, idempotent, plain))
	assert.Equal(t, rejected, d.requests[1].wantedOutcome)
}

func TestACeilingAppliesToOverQuotaRequestsThatPay(t *testing.T) {
	d := door(4)
	d.terms.Plans[capped].OverQuotaGain = 0.3
	d.handleRequest(newRequest(0, idempotent, capped))
	d.buckets[0].level, d.buckets[0].ceilingLevel = 0, 0
	d.handleRequest(newRequest(1, idempotent, capped))
	assert.Equal(t, rejected, d.requests[1].wantedOutcome)
}

func TestTheCounterIsNotCalledWhereOverQuotaRequestsPay(t *testing.T) {
	d := overQuotaDoor()
	d.terms.Counter = true
	assert.False(t, d.usesCounter(&d.buckets[0]))
	d.heldShare = 2 * maxHeldShare
	assert.True(t, d.usesCounter(&d.buckets[0]))
}

// A door with one request per second needs ten seconds for its first samples. When these were slow, it rejected every
// request of the class for ever, since no further sample came.
func TestFewSlowSamplesCauseNoHoldWithNothingInFlight(t *testing.T) {
	d := door(4)
	d.latencies[idempotent] = latencyStats{smoothed: 1063, baseline: 1063, samples: minSamples - 1, sampledAt: d.now}
	d.handleRequest(newRequest(0, idempotent, plain))
	assert.Equal(t, undecided, d.requests[0].wantedOutcome)
	assert.Zero(t, d.holdTime(&d.requests[0]))
}

// A backend may refuse a plan for half a minute. Even a door with little traffic would try it every few seconds.
func TestBackoffDoublesWhenABackendRefusesAPlanAgain(t *testing.T) {
	d := sentOnce(idempotent, 2)
	backoff := func() float64 { return d.fleet.fullUntil[2][plain] - d.now }
	d.recordResult(&d.requests[0], &d.requests[0].attempts[0], gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	first := backoff()
	d.recordResult(&d.requests[0], &d.requests[0].attempts[0], gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	assert.Equal(t, 2*first, backoff())
	for range 10 {
		d.recordResult(&d.requests[0], &d.requests[0].attempts[0], gate.AttemptEnded{Result: gate.Full, MeteredUse: -1})
	}
	assert.Equal(t, maxProbeInterval, backoff())
	assert.Zero(t, d.fleet.fullUntil[2][capped], "another plan is not affected")
}

// Denied calls add their units as well, so the total may be far above what was available.
func TestDeniedUnitsDoNotBlockTheNextWindow(t *testing.T) {
	d := doorAtCounter()
	k := &d.buckets[0]
	k.counter.available, k.counter.seenAt = -100, d.now
	_, left := d.counterWindow(k)
	d.now += left + 1000
	k.counter.callPending, k.blockedUntil = false, 0
	o := request{units: 1, class: idempotent}
	d.takeFromCounter(&o, k)
	assert.Positive(t, k.counter.initialLevel)
}

func TestActualUnitsReplaceTheEstimate(t *testing.T) {
	d := sentOnce(idempotent, 0)
	level, charge := d.buckets[0].level, d.requests[0].charge
	d.handleAttemptEnded(gate.AttemptEnded{Op: 0, Result: gate.Finished, Latency: 100, Answered: true, MeteredUse: -1, ActualUnits: 3})
	assert.InDelta(t, level-2*charge, d.buckets[0].level, 1e-9, "estimated at 1 unit, charged by the door's share")
	assert.Equal(t, 2.0, d.buckets[0].counter.pendingUnits)
}

func TestAnOverloadedCounterIsCalledForRequestsOfHigherGain(t *testing.T) {
	d := door(1)
	d.terms.Classes[idempotent].Gain, d.terms.Plans[plain].Price = 1, 1
	d.meanGain, d.callShare = 2, 0.4
	calls := func(units float64) (n int) {
		for range 1000 {
			if d.shouldCallCounter(&request{units: units}) {
				n++
			}
		}
		return n
	}
	assert.Greater(t, calls(8), 900)
	assert.InDelta(t, 400, calls(2), 60)
	assert.Less(t, calls(1), 60)
	d.callShare = 1
	assert.Equal(t, 1000, calls(1), "a counter with spare capacity is called for every request")
}

// comparing makes a door compare its decisions with other terms, and returns a function that returns the kinds reported
// since its last call.
func comparing(d *Door) func() []gate.Difference {
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

func TestComparisonReportsDifferencesWithoutChangingDecisions(t *testing.T) {
	d := door(4)
	reported := comparing(d)
	d.handleRequest(newRequest(0, idempotent, plain))
	assert.Empty(t, reported(), "sent under both terms")
	d.buckets[0].level = 0
	d.handleRequest(newRequest(1, idempotent, plain))
	assert.Equal(t, rejected, d.requests[1].wantedOutcome)
	assert.Equal(t, []gate.Difference{gate.OtherRetryAfter, gate.SentOverQuota}, reported())
	d.heldShare = 2 * maxHeldShare
	d.handleRequest(newRequest(2, idempotent, plain))
	assert.Equal(t, []gate.Difference{gate.OtherRetryAfter}, reported(), "nothing is sent beyond a quota on an overloaded fleet")
}

func TestComparisonReportsCallsHedgesAndRetries(t *testing.T) {
	d := doorAtCounter()
	reported := comparing(d)
	d.counterCalls, d.buckets[0].counter = nil, counterState{}
	d.takeFromCounter(&request{units: 2, class: idempotent}, &d.buckets[0])
	assert.Len(t, d.counterCalls, 1, "called as before")
	assert.Equal(t, []gate.Difference{gate.NotCounted}, reported())

	d = sentOnce(idempotent, 2)
	reported = comparing(d)
	d.fleet.suspicions[idempotent][2].ejected = true
	d.now += 10 * hedgeAfter * d.expectedLatency(idempotent)
	d.requests[0].arrivedAt = d.now
	d.hedgeOrGiveUp(0)
	assert.Len(t, d.requests[0].attempts, 2, "hedged as before")
	assert.Equal(t, []gate.Difference{gate.NoHedge}, reported())

	d = sentOnce(idempotent, 2)
	reported = comparing(d)
	d.handleAttemptEnded(gate.AttemptEnded{Op: 0, Result: gate.Errored, Latency: 100, MeteredUse: -1})
	assert.True(t, d.requests[0].held, "held for another attempt as before")
	assert.Equal(t, []gate.Difference{gate.NoRetry}, reported())
}

func TestSlicesOfACeilingAddUp(t *testing.T) {
	sum := 0.0
	for n := range 3 {
		d := door(1)
		d.terms.DoorNumber = n
		d.handleRequest(newRequest(0, idempotent, capped))
		d.now += 1e6
		sum += d.currentBucket(0).ceilingLevel
	}
	assert.LessOrEqual(t, sum, terms().Plans[capped].CeilingDepth)
	assert.Greater(t, sum, 0.9*terms().Plans[capped].CeilingDepth)
}

func TestADoorSendsItsShareOfTheConcurrencyLimit(t *testing.T) {
	d := door(4)
	d.handleRequest(newRequest(0, idempotent, capped))
	d.send(0, 0)
	d.handleRequest(newRequest(1, idempotent, capped))
	d.tick()
	assert.Empty(t, d.requests[1].attempts, "three concurrent attempts over three doors are one at each")
}

func TestAReportedQueueLowersTheRoutingWeight(t *testing.T) {
	d := sentOnce(idempotent, 2)
	o := request{class: idempotent, plan: plain}
	before := d.routingWeight(2, &o)
	d.recordResult(&d.requests[0], &d.requests[0].attempts[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100, Queue: -1})
	assert.InEpsilon(t, before, d.routingWeight(2, &o), 0.1, "no report")
	d.recordResult(&d.requests[0], &d.requests[0].attempts[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100, Queue: 6})
	assert.Less(t, d.routingWeight(2, &o), before/2)
}

// Each of hundreds of doors has nothing in flight at most ticks, and yet together they keep an overloaded fleet overloaded.
func TestAveragedInFlightCausesHoldsAtADoorWithLittleTraffic(t *testing.T) {
	d := door(4)
	d.latencies[idempotent] = latencyStats{smoothed: 900, baseline: 100, bestRate: 0.001, samples: 100, meanInFlight: 0.8}
	assert.Positive(t, d.holdTime(&request{class: idempotent}))
	d.now += 10 * inFlightSpan
	assert.Zero(t, d.holdTime(&request{class: idempotent}), "the average decays to none")
}

// The queue of a process that is gone is gone too: its successor must not be avoided for a queue that it never had.
func TestARestartedBackendInheritsNoQueue(t *testing.T) {
	d := sentOnce(idempotent, 2)
	d.recordResult(&d.requests[0], &d.requests[0].attempts[0], gate.AttemptEnded{Result: gate.Finished, Latency: 100, Queue: 6})
	assert.Positive(t, d.fleet.queueLen[2])
	d.updateFleet(gate.FleetUpdate{Entries: []gate.Entry{{Backend: 2, StartedAt: 5}}})
	assert.Zero(t, d.fleet.queueLen[2])
}

func TestQuotaSharesOfAbsentDoorsPassToTheOthersGradually(t *testing.T) {
	d := door(4)
	clock := d.now
	share := func() float64 { k := d.updateBucket(0, 0, 0, 3); return d.quotaShare(k) }
	before := share()
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, false, false}, PresentCount: 1}})
	assert.InDelta(t, before, share(), 1e-9, "no jump")
	last := before
	for range 40 {
		clock += 500
		d.now = clock
		now := share()
		assert.GreaterOrEqual(t, now, last-1e-9)
		assert.Less(t, now-last, 0.2)
		last = now
	}
	assert.InDelta(t, 1, last, 0.02, "the only door present takes the whole quota")
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, true, true}, PresentCount: 3}})
	for range 40 {
		clock += 500
		d.now = clock
		last = share()
	}
	assert.InDelta(t, before, last, 0.02)
}

func TestAbsentDoorsDoNotWidenACeilingSlice(t *testing.T) {
	d := door(4)
	clock := d.now
	other := door(4)
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, false, false}, PresentCount: 1}})
	for range 200 {
		clock += 100
		d.now, other.now = clock, clock
		a, b := d.updateBucket(0, capped, 0, 3), other.updateBucket(0, capped, 0, 3)
		assert.InDelta(t, b.ceilingLevel, a.ceilingLevel, 1e-9, "its slice is a third, whichever doors it believes present")
		assert.InDelta(t, other.ceilingWait(b, 2), d.ceilingWait(a, 2), 1e-9)
	}
}

func TestColdBudgetsFollowTheNumberOfPresentDoors(t *testing.T) {
	d := door(4)
	clock := d.now
	totalBudget := func() (n int) {
		const draws = 4000
		for range draws {
			f := &d.fleet
			f.coldWindowEnd[0] = 0
			d.hasColdBudget(&request{}, 0)
			n += f.coldLeft[0]
		}
		return n
	}
	d.Decide(clock, []gate.Event{gate.FleetUpdate{Complete: true, Entries: []gate.Entry{{Backend: 0, StartedAt: clock, Weight: 1}}}})
	before := totalBudget()
	d.Decide(clock, []gate.Event{gate.DoorsUpdate{Present: []bool{true, true, true}, PresentCount: 6}})
	assert.InEpsilon(t, float64(before)/2, float64(totalBudget()), 0.15, "twice as many doors are present")
}

func TestAReportThatAllDoorsArePresentChangesNoDecision(t *testing.T) {
	alone, notified := door(6), door(6)
	notified.Decide(notified.now, []gate.Event{gate.DoorsUpdate{Present: []bool{true, true, true}, PresentCount: 3}})
	alone.Decide(alone.now, nil)
	sent := 0
	for n := range 400 {
		now := 100e3 + float64(n)*13
		events := []gate.Event{newRequest(n, n%4, n%2)}
		for i := range alone.requests { // earlier attempts are answered, some with errors
			for s := range alone.requests[i].attempts {
				if att := &alone.requests[i].attempts[s]; att.inFlight() && now-att.sentAt > 120 {
					how := gate.Finished
					if i%7 == 0 {
						how = gate.Errored
					}
					events = append(events, gate.AttemptEnded{Op: i, Attempt: s, Backend: att.backend, Result: how,
						Latency: now - att.sentAt, Answered: how == gate.Finished, MeteredUse: 0.1, Queue: -1})
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
	backends := gate.FleetUpdate{}
	for b := range 4 {
		backends.Entries = append(backends.Entries, gate.Entry{Backend: b, Zone: b % 2, Cell: b, Weight: 1})
	}
	for name, c := range map[string]struct {
		backends int
		then     func(sent int) gate.Event // event after the client has gone
	}{
		"held":             {0, func(int) gate.Event { return backends }},
		"reset":            {4, func(int) gate.Event { return gate.AttemptEnded{Result: gate.Reset, MeteredUse: -1} }},
		"unreachable":      {4, func(int) gate.Event { return gate.AttemptEnded{Result: gate.Unreachable, MeteredUse: -1} }},
		"full":             {4, func(int) gate.Event { return gate.AttemptEnded{Result: gate.Full, MeteredUse: -1} }},
		"no further event": {4, func(int) gate.Event { return gate.TimerFired{} }},
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
					decide(gate.ClientGone{Op: 0})
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
	known := d.latencies[idempotent]
	known.smoothed, known.baseline, known.rate, known.bestRate = 2, 2, 0.06, 0.06 // after 5 s of 60 requests a second
	reject := func(l latencyStats, out int) bool {
		d.latencies[idempotent], d.inFlight[idempotent] = l, out
		o := request{class: idempotent, arrivedAt: d.now, deadline: d.now + 2000}
		return d.exceedsTimeLeft(&o, d.holdTime(&o))
	}
	assert.False(t, reject(latencyStats{}, 5))
	assert.True(t, reject(latencyStats{}, 6))
	assert.True(t, reject(latencyStats{smoothed: 2, baseline: 2, samples: minSamples - 1}, 6))
	assert.False(t, reject(known, 6))
	assert.False(t, reject(known, 8), "the most that a client of the test rigs has in flight at a door")
}

func TestEveryRequestIsAnsweredByTheShutdownDeadline(t *testing.T) {
	d := door(1)
	end := d.now + 100
	d.Decide(d.now, []gate.Event{newRequest(0, idempotent, plain)})
	d.Decide(d.now, []gate.Event{gate.ShuttingDown{Deadline: end}, newRequest(1, idempotent, plain)})
	given := map[int]bool{}
	for now := end - 50; now <= end; now += tickInterval {
		var ended []gate.Event
		if now >= end-tickInterval { // the driver stops waiting for what is in flight
			for i := range 2 {
				if o := &d.requests[i]; o.inFlight > 0 {
					ended = append(ended, gate.AttemptEnded{Op: i, Attempt: len(o.attempts) - 1, Result: gate.TimedOut})
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
