// Package policy makes the decisions of one front door: which requests are held, sent, retried, hedged,
// rejected or failed, and which backend receives each attempt.
//
// The driver calls New once with the door's terms and a seed. It then calls Decide with the clock and each
// batch of events, and carries out the returned actions in order. Package gate defines the terms, events and
// actions; state.go defines the state. The same events always lead to the same actions.
//
// Decide applies the events, each of which updates the wanted state of a request (held, in flight, ended);
// tick applies the passage of time; emitActions emits the difference between wanted and present state. The
// usual path of a request is handleRequest, release (its hold is over and its units are acquired) and
// pickBackend. docs/design.md gives the origin of each rule and the exceptions.
package policy

import (
	"cmp"
	"math"

	"github.com/swifthall/swifthall/gate"
)

const (
	// Admission delay: a request is held in proportion to the estimated backlog.

	// Hold per request of backlog, in mean completion intervals. At this value requests are rejected when the
	// expected latency comes near the contract time.
	holdFactor = 6.0

	// Share of the contract time by which latency may exceed its baseline without any hold.
	latencyMargin = 0.2

	// Drain times that must be left to a request after its hold; slow requests take far longer than the mean.
	tailFactor = 5.0

	// Standard deviations of the requests in flight (Poisson) or of a mean latency that are treated as noise.
	noiseDeviations = 1.0

	// EWMA weight of a new latency, about 16 samples: 1 s of one class, or 10 s at a door with little traffic.
	ewmaWeight = 0.06

	// Samples before the smoothed latency may set the baseline; as many as ewmaWeight averages over.
	minSamples = 16

	// Averaging time of completion and send rates, ms; a few dozen requests of one class.
	rateSpan = 5e3

	// Shortest averaging time assumed after a start, as a share of rateSpan.
	minRateSpanShare = 0.1

	// Decay time of the best completion rate, ms; lets it fall after part of the fleet is lost.
	bestRateDecay = 20e3

	// Time in which the latency baseline follows a lasting change to slower requests, ms.
	baselineDrift = 60e3

	// Upper bound of the baseline as a share of the contract time; it may have been learnt under overload.
	maxBaselineShare = 0.3

	// Baseline assumed before there are enough samples, as a share of the contract time.
	initialBaselineShare = 0.1

	// Averaging time of the attempts in flight, ms; a few latencies of an overloaded fleet.
	inFlightSpan = 1e3

	// Interval between checks of waiting requests, ms; small beside every contract time.
	tickInterval = 20.0

	// Quotas.

	// Averaging time of a customer's demand, ms; a few requests of an average customer.
	demandSpan = 4e3

	// Weight of the even split in a quota share, as a share of the plan's rate.
	priorDemandShare = 0.25

	// Meter periods over which quota shares are scaled down to the quota; a meter report is one period old.
	scalePeriods = 2.0

	// Lower bound of the factor that scales a quota share down.
	minShareScale = 0.2

	// Time for which a report of the other doors' use is valid, ms.
	meterTTL = 15e3

	// Meter periods for which a report describes the bucket's level; a report is at most one period late.
	meterFreshPeriods = 2.0

	// Share of the depth that must stay in the metered bucket after a request that the local share cannot hold.
	minMeteredShare = 0.7

	// Time after which an idle bucket is dropped, ms (docs/design.md).
	idleExpiry = 60e3

	// Time after which an idle bucket that is full again is dropped, ms; reports of other doors' use have expired by then.
	idleFullExpiry = 15e3

	// Interval between searches for idle buckets, ms; there may be thousands of buckets.
	sweepInterval = 1e3

	// Share of the door's even split of the units last seen free that one counter call asks for.
	counterBatchShare = 0.5

	// Share of its depth that must stay in the local bucket after a request whose units are added with a later counter call.
	lazyCountLevel = 0.6

	// Additive increase of the share of counter calls made, after each answer.
	callShareIncrease = 0.03

	// Multiplicative decrease of the share of counter calls made, after a call without an answer; a few percent of
	// the calls fail.
	callShareDecrease = 0.7

	// Share of counter calls made below which a failed call reserves calls for customers with a small quota share.
	reserveCallsBelow = 0.4

	// Lower bound of the share of counter calls made.
	minCallShare = 0.05

	// Time for which counter calls stay reserved for customers with a small quota share, ms. With shorter ones the
	// calls came back in waves that overloaded the counter again.
	reserveCallsFor = 20e3

	// Failed counter calls in a row after which the counter was down; one that is only overloaded answers some calls.
	counterDownAfter = 8

	// Time within which a counter call is answered if it is answered at all, ms; a few round trips.
	counterTimeout = 120.

	// Time after a late answer of the counter for which another is expected after a call has timed out, ms.
	lateAnswerMemory = 30e3

	// Multiple of the latency of the latest late answer after which a customer's counter is called again without one. Sooner,
	// each late answer would find its units subtracted by the next call, and a slow counter would never grant any.
	lateAnswerPatience = 2

	// Time in which the quota shares of absent doors pass to a customer's other doors, ms; equal to demandSpan.
	shareTransferSpan = 4e3

	// EWMA weight of one request in the share of requests that meet a hold; about 100 requests.
	heldShareWeight = 0.01

	// Share of requests that meet a hold below which a request may be sent beyond its quota.
	maxHeldShare = 0.08

	// Debt that one charge may leave in a bucket, as a share of its depth times the customer's number of doors.
	maxDebtShare = 0.2

	// Outlier ejection, hedging and backoff. Evidence is a log-likelihood ratio in nats.

	// Rate of answers of a broken backend, as a share of the expected rate.
	brokenAnswerRate = 0.1

	// Evidence in one failed attempt, nats: about 20 times likelier of a broken backend.
	failureEvidence = 3.0

	// Evidence at which a backend is ejected, nats: one false ejection in about 400 busy periods.
	ejectionThreshold = 6.0

	// Evidence at which a backend is as likely broken as healthy, nats; its routing weight is halved there.
	evenOddsEvidence = 3.0

	// Delay from ejection to the first ejection probe, ms.
	firstProbeDelay = 1e3

	// Longest interval between ejection probes, and longest backoff from a full backend, ms.
	maxProbeInterval = 8e3

	// EWMA weight of a new latency in a backend's latency ratio; about 10 samples.
	latencyRatioWeight = 0.1

	// EWMA weight of a reported queue length; a report comes every 1 to 2 s.
	queueWeight = 0.5

	// Largest share of the listed backends that may be ejected; beyond it the whole fleet has the problem.
	maxEjectedShare = 0.6

	// Expected latencies after which a request at an ejected backend is hedged.
	hedgeAfter = 1.5

	// Share of its gain that a late answer must earn to be waited for on an overloaded fleet.
	minLateValue = 0.5

	// First backoff from a backend that refused a plan's request, ms; doubled at each further refusal.
	minFullBackoff = 1e3

	// Slow start, repeats and the choice of backends.

	// Share of a cold backend's budget that the doors use; the rest absorbs random variation.
	coldBudgetShare = 0.8

	// Requests per window that all doors together send to a cold backend while no warm backend is known.
	coldFallbackRequests = 2.0

	// Averaging time of the work sent to warm backends, ms.
	workSpan = 10e3

	// Time before the end of the deduplication window in which no repeat may start, ms: a door's process may be
	// stopped for that long without noticing.
	dedupMargin = 50.

	// Factor on the routing weight of a backend that already had the request, where there is another.
	triedWeight = 1e-3

	// Target time between requests to one backend of the subset, ms: idle connections are closed and evidence ages.
	subsetInterval = 1e3

	// Smallest subset; some of it must be left when several backends fail at once.
	minSubset = 8

	// Exponent of the door's own attempts in flight in the routing weight. With a smaller one queues form at
	// some backends while others are idle.
	inFlightExponent = 3.0

	// Delay before subscribing to the fleet list again after a failure, ms.
	subscribeBackoff = 1e3

	// Time before the client's deadline at which a held request is answered, ms; more than tickInterval.
	answerMargin = 25.0
)

// New returns the decisions of a door that has just started, with no history.
func New(t gate.Terms, seed uint64) *Door {
	return &Door{terms: t, random: newRandomSource(seed), mustSubscribe: t.MustSubscribe, latencies: make([]latencyStats, len(t.Classes)),
		inFlight: make([]int, len(t.Classes)), startedAt: -1,
		callShare: 1, answeredCallShare: 1, lateAnsweredAt: math.Inf(-1), callShareCutAt: math.Inf(-1), callsScarceAt: math.Inf(-1),
		fleet: fleet{suspicions: make([][]suspicion, len(t.Classes)+1)}}
}

// Decide applies one batch of events and returns the actions to carry out.
func (d *Door) Decide(now float64, events []gate.Event) []gate.Action {
	d.now, d.actions = now, d.actions[:0]
	if d.startedAt < 0 {
		d.startedAt, d.tickedAt = now, now
	}
	for _, e := range events {
		switch e := e.(type) {
		case gate.FleetUpdate:
			d.updateFleet(e)
		case gate.DoorsUpdate:
			d.presentDoors, d.presentCount = append(d.presentDoors[:0], e.Present...), e.PresentCount
		case gate.Request:
			d.handleRequest(e)
		case gate.AttemptEnded:
			d.handleAttemptEnded(e)
		case gate.Streaming:
			d.requests[e.Op].streaming = true
		case gate.Counted:
			d.handleCounted(e)
		case gate.CountedLate:
			d.handleCountedLate(e)
		case gate.ShuttingDown:
			d.shutDownBy(e.Deadline)
		case gate.TimerFired:
			d.timerSet = false // not checked against the clock: the driver may round the requested time
		case gate.ClientGone:
			d.requests[e.Op].wantedOutcome, d.requests[e.Op].givenOutcome = answered, answered
			d.buckets[d.requests[e.Op].customer].unreserve(&d.requests[e.Op])
			d.markChanged(e.Op)
		}
	}
	d.tick()
	d.emitActions()
	return d.actions
}

// ---- Fleet list ----

// updateFleet applies a fleet list update. A backend that drains, is gone or is missing receives nothing new.
func (d *Door) updateFleet(e gate.FleetUpdate) {
	f := &d.fleet
	if e.Failed {
		// The delay spares a failing list service further load.
		d.mustSubscribe, d.subscribeAt = d.terms.MustSubscribe, d.now+subscribeBackoff
		return
	}
	if e.Complete {
		clear(f.up)
		copy(f.gone, f.inUse)
	}
	for _, n := range e.Entries {
		f.grow(n.Backend+1, len(d.terms.Plans))
		b := n.Backend
		f.ringPosition[b] = n.RingPosition
		f.up[b], f.zone[b], f.cell[b] = n.Status == gate.Up, n.Zone, n.Cell
		f.gone[b] = n.Status == gate.Gone
		if !f.inUse[b] || n.StartedAt != f.startedAt[b] { // a new process: drop the evidence against the old one
			f.resetBackend(b, n.StartedAt)
		}
		f.weight[b] = cmp.Or(n.Weight, f.weight[b])
	}
	// Golden-ratio spacing of the start positions spreads the doors evenly over the ring, whatever their number.
	_, position := math.Modf(float64(d.terms.DoorNumber) * math.Phi)
	f.orderFrom(position)
}

// ---- Arrival: quota first, then the hold ----

// handleRequest admits a new request as held, or rejects it for its quota or for the expected hold.
func (d *Door) handleRequest(e gate.Request) {
	d.requests = growTo(d.requests, e.Op)
	o := &d.requests[e.Op]
	*o = request{class: e.Class, plan: e.Plan, customer: e.Customer, units: e.Units,
		arrivedAt: d.now, deadline: d.clampDeadline(d.now + e.TTL), clientRetry: e.ClientRetry, attempts: o.attempts[:0]}
	d.active = append(d.active, e.Op)
	d.arrivals++
	k := d.updateBucket(e.Customer, e.Plan, e.FirstDoor, e.Spread)
	k.demand += o.units / demandSpan
	k.windowPhase = e.Phase
	k.openRequests++
	hold, holdSample := d.holdTime(o), 0.0
	if hold > 0 {
		holdSample = 1
	}
	d.meanGain += max(ewmaWeight, 1/float64(d.arrivals)) * (d.gain(o) - d.meanGain)
	d.heldShare += heldShareWeight * (holdSample - d.heldShare)
	byShare, wait, cause := !d.usesCounter(k), 0.0, gate.OverQuota
	charged := true
	if byShare {
		if wait, cause = d.admissionWait(k, o.units); wait > 0 && d.admitsOverQuota(&d.terms, o) {
			wait, charged = 0, false
		}
	} else if o.units >= k.blockedUnits {
		wait = k.blockedUntil - d.now
	}
	if wait > 0 {
		d.reject(e.Op, wait, cause)
		return
	}
	if byShare {
		d.reserve(k, o, charged)
	}
	if d.exceedsTimeLeft(o, hold) {
		d.reject(e.Op, d.drainTime(o.class), gate.Overloaded)
	} else {
		o.held = true
	}
}

// updateBucket refills a customer's bucket up to now. The door's slice of the ceiling starts empty: the door
// does not know what its previous incarnation sent, and only slices that start empty add up to the ceiling.
func (d *Door) updateBucket(customer, plan, firstDoor, spread int) *bucket {
	d.buckets = growTo(d.buckets, customer)
	k, p := &d.buckets[customer], &d.terms.Plans[plan]
	if !k.known {
		d.knownCustomers++
	}
	k.assign(plan, firstDoor, max(1, spread), p.Depth, d.now, max(d.startedAt, d.ceilingUnknownAt))
	dt := d.now - k.filledAt
	k.filledAt = d.now
	k.presentDoors += (d.countPresentDoors(k) - k.presentDoors) * (1 - math.Exp(-dt/shareTransferSpan))
	k.level = min(p.Depth, k.level+p.Rate*dt)
	slice := 1 / float64(k.spread)
	// Units are sent some time after they are granted, while the slice refills, so the slice holds that much less.
	depth := p.CeilingDepth - 2*counterTimeout*p.CeilingRate
	k.ceilingLevel = min(depth*slice, k.ceilingLevel+p.CeilingRate*dt*slice)
	k.demand *= math.Exp(-dt / demandSpan)
	k.sentRate *= math.Exp(-dt / demandSpan)
	return k
}

// countPresentDoors returns how many of a customer's doors are present. The quota shares of absent doors pass
// to the others gradually. Slices of the ceiling do not, since two doors may each believe the other absent.
func (d *Door) countPresentDoors(k *bucket) float64 {
	n := k.spread
	for i := k.firstDoor; len(d.presentDoors) > 0 && i < k.firstDoor+k.spread; i++ {
		if door := i % max(1, d.terms.Doors); door < len(d.presentDoors) && !d.presentDoors[door] && door != d.terms.DoorNumber {
			n--
		}
	}
	return float64(max(1, n))
}

// quotaShare returns this door's share of the customer's recent demand: local demand over local demand plus
// the others' metered use, with a small prior weight on the even split. Without a valid report it is the even split.
func (d *Door) quotaShare(k *bucket) float64 {
	even := 1 / k.presentDoors
	if d.now-k.meteredAt > meterTTL {
		return k.shareScale * even
	}
	prior := priorDemandShare * d.terms.Plans[k.plan].Rate
	return k.shareScale * min(1, (k.demand+prior*even)/(k.demand+k.othersUse+prior))
}

// admissionWait returns the time in ms for which the customer's quota or ceiling keeps the request out; 0 admits
// it. The bucket counts in units of the whole quota: charging units/share while refilling at the whole rate
// equals charging units while refilling at rate x share, as the design states it.
func (d *Door) admissionWait(k *bucket, units float64) (wait float64, cause gate.Cause) {
	quota, ceiling := d.quotaWait(k, units), d.ceilingWait(k, units)
	if ceiling > quota {
		return ceiling, gate.AtCeiling
	}
	return quota, gate.OverQuotaShare
}

// quotaWait returns the time in ms until the local bucket holds the units beyond those reserved.
func (d *Door) quotaWait(k *bucket, units float64) float64 {
	if rate := d.terms.Plans[k.plan].Rate; rate > 0 {
		return max(0, units+k.reservedCharge-k.level) / rate
	}
	return 0
}

// ceilingWait returns the time in ms until the door's slice of the ceiling holds the units beyond those reserved.
func (d *Door) ceilingWait(k *bucket, units float64) float64 {
	if rate := d.terms.Plans[k.plan].CeilingRate / float64(k.spread); rate > 0 {
		return max(0, units+k.reservedUnits-k.ceilingLevel) / rate
	}
	return 0
}

// reserve sets a request's units aside while it is held; consume takes them when it is first sent. If they were
// taken at arrival, they would refill during the hold, and the release after a long hold would exceed the ceiling.
func (d *Door) reserve(k *bucket, o *request, charged bool) {
	o.reserved = true
	if o.charge = 0; charged {
		o.charge = min(o.units/d.quotaShare(k), max(o.units, k.level-k.reservedCharge+
			maxDebtShare*float64(k.spread)*d.terms.Plans[k.plan].Depth))
	}
	k.reservedCharge += o.charge
	k.reservedUnits += o.units
}

// consume takes a request's reserved units when it is first sent.
func (d *Door) consume(o *request) {
	k := d.currentBucket(o.customer)
	if o.reserved {
		d.buckets[o.customer].unreserve(o)
		k.level -= o.charge
		k.ceilingLevel -= o.units
	}
	k.sentRate += o.units / demandSpan
}

// correctUnits replaces the estimated units that a request was charged for with the actual ones. The next
// counter call adds the difference.
func (k *bucket) correctUnits(o *request, units float64) {
	more := units - o.units
	k.level -= more * o.charge / o.units
	k.sentRate += more / demandSpan
	k.counter.pendingUnits += more
}

// acquireUnits obtains a request's units from the counter or from the local quota share, and reports whether it
// has them. It gives up a request that cannot have them.
func (d *Door) acquireUnits(i int) bool {
	o := &d.requests[i]
	k := d.currentBucket(o.customer)
	if o.counterGranted || o.reserved {
		return true
	}
	if d.usesCounter(k) && !o.skipsCounter {
		if wait := d.takeFromCounter(o, k); wait > 0 {
			d.giveUp(i, wait, gate.OverQuota)
			return false
		} else if !o.skipsCounter {
			return o.counterGranted
		}
	}
	wait, cause := d.admissionWait(k, o.units)
	byMeter := wait > 0 && cause == gate.OverQuotaShare && d.ceilingWait(k, o.units) == 0 && d.admitByMeter(k, o.units)
	if byMeter {
		wait = 0
	}
	if wait > 0 {
		d.giveUp(i, wait, cause)
	} else {
		d.reserve(k, o, !byMeter)
	}
	return wait == 0
}

// admitsOverQuota reports whether a request beyond its customer's quota is sent all the same: its plan gains more
// than it costs, its ceiling has room, and the fleet is not overloaded. The quota is not charged.
func (d *Door) admitsOverQuota(t *gate.Terms, o *request) bool {
	return d.overQuotaPays(t, o.plan) && d.ceilingWait(&d.buckets[o.customer], o.units) == 0
}

// overQuotaPays reports whether requests beyond a plan's quota earn more than they cost, on a fleet that is not
// overloaded.
func (d *Door) overQuotaPays(t *gate.Terms, plan int) bool {
	p := &t.Plans[plan]
	return p.OverQuotaGain > p.OverQuotaCost && d.heldShare < maxHeldShare
}

// CompareWith makes the door report each decision that other terms, with the same classes and plans, would have
// made differently. The decisions themselves stay as they are; nil ends the comparison.
func (d *Door) CompareWith(t *gate.Terms) { d.compareTerms = t }

// reportDifference reports a decision that the terms under comparison would have made differently.
func (d *Door) reportDifference(kind gate.Difference, otherwise func(w *gate.Terms) bool) {
	if d.compareTerms != nil && otherwise(d.compareTerms) {
		d.actions = append(d.actions, gate.Differs{Kind: kind})
	}
}

// admitByMeter reports whether a fresh meter report leaves most of the customer's whole bucket after the request.
// Then a local share too small for the request does not keep it out, as happens where many doors each see the
// customer rarely. The units are taken from the reported level, so one report admits no more than the bucket held.
func (d *Door) admitByMeter(k *bucket, units float64) bool {
	fresh := d.now-k.meteredAt < meterFreshPeriods*d.terms.MeterPeriod
	if !fresh || k.meteredLevel-units <= minMeteredShare*d.terms.Plans[k.plan].Depth {
		return false
	}
	k.meteredLevel -= units
	return true
}

// Where there is a shared counter, it keeps a total per customer and window; a window is the time in which the
// quota refills the whole depth. The doors together may add to the total the level at the window's start and what
// has refilled since. An overloaded counter is called for fewer requests; the others go by quota share.

// usesCounter reports whether the customer's requests are counted on the shared counter.
func (d *Door) usesCounter(k *bucket) bool {
	return d.terms.Counter && d.terms.Plans[k.plan].Rate > 0 && !d.overQuotaPays(&d.terms, k.plan)
}

// counterWindow returns the number of a customer's window, whose start is offset by the customer's own phase,
// and the time left in it, ms.
func (d *Door) counterWindow(k *bucket) (n int64, left float64) {
	span := d.terms.Plans[k.plan].Depth / d.terms.Plans[k.plan].Rate
	position := d.now/span + k.windowPhase
	n = int64(position)
	return n, (float64(n+1) - position) * span
}

// takeFromCounter takes units from those that the counter granted to this door, or calls for more. It returns the
// time in ms for which the request is blocked; 0 while it waits for an answer, has its units, or skips the counter.
func (d *Door) takeFromCounter(o *request, k *bucket) (wait float64) {
	c, p := &k.counter, &d.terms.Plans[k.plan]
	n, left := d.counterWindow(k)
	if c.window == n-1 { // after a longer gap other doors may have emptied the bucket unseen
		windowStart := d.now + left - p.Depth/p.Rate
		level := min(p.Depth, max(0, c.available)-c.pendingUnits+(p.Rate-min(p.Rate, k.othersUse))*(windowStart-c.seenAt))
		*c = counterState{window: n, refillRate: p.Rate, initialLevel: level, available: level, seenAt: windowStart}
	} else if c.window != n {
		*c = counterState{window: n, refillRate: p.Rate / float64(k.spread), initialLevel: p.Depth}
	}
	shareHolds := p.Depth >= k.presentDoors*o.units // this door's quota share holds the request
	switch {
	case c.granted >= o.units:
		if wait = d.ceilingWait(k, o.units); wait == 0 {
			c.granted -= o.units
			o.counterGranted = true
			d.reserve(k, o, true) // keeps the local level correct for when the counter is overloaded
		}
	case c.callPending: // wait for its answer
	case d.terms.MeterPeriod > 0 && k.level-k.reservedCharge-o.units/d.quotaShare(k) > lazyCountLevel*p.Depth:
		o.skipsCounter = true
		c.pendingUnits += o.units
	case d.now < k.blockedUntil && o.units >= k.blockedUnits:
		return k.blockedUntil - d.now
	case d.now < c.retryAt || !d.shouldCallCounter(o) || d.now < d.callsScarceAt+reserveCallsFor && (o.clientRetry || shareHolds):
		// A retry storm may not bypass the counter that it overloads.
		if o.skipsCounter = true; o.clientRetry && !shareHolds {
			return left
		}
	default:
		d.counterCallCount++
		c.callPending, c.requiredUnits, c.lastCall, c.calledAt = true, o.units, d.counterCallCount, d.now
		d.reportDifference(gate.NotCounted, func(w *gate.Terms) bool { return d.overQuotaPays(w, k.plan) })
		// When overloaded, make fewer and larger calls, but ask for no more than this door's demand takes in the rest
		// of the window: batches at doors that see the customer rarely are counted at each of them and used at none.
		batch := min(1, counterBatchShare/d.callShare) * c.available / float64(k.spread)
		c.askedUnits = max(o.units, min(batch, k.demand*left))
		d.counterCalls = append(d.counterCalls, gate.Count{Customer: o.customer, Epoch: n, Add: c.askedUnits + c.pendingUnits - c.surplus,
			TTL: left + counterTimeout, Call: c.lastCall})
		c.pendingUnits = 0
	}
	return wait
}

// shouldCallCounter reports whether to call the counter for a request. When only some calls are made, requests
// with a higher gain come first, so that those left uncounted matter least.
func (d *Door) shouldCallCounter(o *request) bool {
	gainRatio := 1.0
	if gain := d.gain(o); gain > 0 {
		gainRatio = d.meanGain / gain
	}
	return d.random.uniform() <= math.Pow(d.callShare, gainRatio*gainRatio)
}

// gain returns what a finished request earns within its contract time.
func (d *Door) gain(o *request) float64 {
	return d.terms.Classes[o.class].Gain * d.terms.Plans[o.plan].Price * o.units
}

// handleCounted applies the answer to a counter call, or its failure.
func (d *Door) handleCounted(e gate.Counted) {
	k := d.currentBucket(e.Customer)
	c := &k.counter
	if e.Epoch != c.window {
		return
	}
	c.callPending = false
	if e.Result != gate.Finished {
		// Calls that fail within one timeout are a single sign of overload.
		if d.now >= d.callShareCutAt+counterTimeout && e.Result != gate.Malformed {
			if d.callShare, d.callShareCutAt = max(minCallShare, callShareDecrease*d.callShare), d.now; d.callShare < reserveCallsBelow {
				d.callsScarceAt = d.now
			}
		}
		if d.missedCalls++; e.Result == gate.Full { // a refusal shows that the counter is up
			d.missedCalls = 0
		}
		if !e.Result.NeverRan() { // an overloaded counter still executes calls after their caller timed out
			c.surplus = c.askedUnits
		}
		c.retryAt = d.now + tickInterval // requests waiting for this call go by quota share
		if e.Result == gate.TimedOut && d.now < d.lateAnsweredAt+lateAnswerMemory {
			c.retryAt = max(c.retryAt, c.calledAt+lateAnswerPatience*d.lateAnswerLatency)
		}
		return
	}
	if d.missedCalls >= counterDownAfter {
		d.callShare, d.callsScarceAt = d.answeredCallShare, math.Inf(-1)
	}
	d.callShare, d.missedCalls = min(1, d.callShare+callShareIncrease), 0
	d.answeredCallShare = d.callShare
	d.applyTotal(k, e.Total)
}

// handleCountedLate applies the answer to a counter call that had timed out. If the customer's next call has been made, it has
// subtracted the units that this one added, and only the answer's latency counts.
func (d *Door) handleCountedLate(e gate.CountedLate) {
	d.lateAnswerLatency, d.lateAnsweredAt, d.missedCalls = e.Latency, d.now, 0
	k := d.currentBucket(e.Customer)
	if c := &k.counter; e.Epoch == c.window && e.Call == c.lastCall && !c.callPending {
		c.retryAt = d.now
		d.applyTotal(k, e.Total)
	}
}

// applyTotal grants the units that a customer's latest call asked for, as far as the total on the counter leaves room for them. The
// answer may come after the end of its window: it then tells the level at that end.
func (d *Door) applyTotal(k *bucket, total float64) {
	c, p := &k.counter, &d.terms.Plans[k.plan]
	n, left := d.counterWindow(k)
	seenAt := d.now
	if n != c.window {
		seenAt, left = d.now+left-p.Depth/p.Rate, 0
	}
	// Units are granted only as they refill: granted at once they would exceed the bucket, and granted at the end
	// of the window they would go unused.
	c.available, c.seenAt = c.initialLevel+c.refillRate*(p.Depth/p.Rate-left)-total, seenAt
	c.overflow = max(c.overflow, c.available+c.askedUnits-p.Depth)
	c.available -= c.overflow
	grantable := max(0, min(c.askedUnits, c.available+c.askedUnits))
	c.surplus = c.askedUnits - grantable
	c.available += c.surplus
	// Units too few for the request that caused the call stay here for smaller ones.
	if c.granted += grantable; c.granted < c.requiredUnits {
		k.blockedUntil, k.blockedUnits = d.now+min(left, (c.requiredUnits-c.granted)/c.refillRate), c.requiredUnits
	}
}

// recordMeteredUse applies a meter report on a customer. What this door sent recently is subtracted; the rest is
// the other doors' use. While the reports show the whole bucket empty, the doors' quota shares add up to more than
// the quota, and this door's share is scaled down.
func (d *Door) recordMeteredUse(k *bucket, use float64) {
	p := &d.terms.Plans[k.plan]
	if use < 0 || p.Rate == 0 || d.terms.MeterPeriod == 0 {
		return
	}
	dt := min(d.now-k.meteredAt, d.terms.MeterPeriod)
	if k.meteredLevel = min(p.Depth, k.meteredLevel+(1-use)*p.Rate*dt); k.meteredLevel < 0 {
		k.meteredLevel = 0
		k.shareScale = min(1, max(minShareScale, k.shareScale*(1+(1/max(use, minShareScale)-1)*dt/(scalePeriods*d.terms.MeterPeriod))))
	} else {
		k.shareScale += (1 - k.shareScale) * dt / (scalePeriods * d.terms.MeterPeriod)
	}
	others := max(0, use*p.Rate-k.sentRate)
	k.othersUse += (others - k.othersUse) * min(1, (d.now-k.meteredAt)/d.terms.MeterPeriod)
	k.meteredAt = d.now
}

// holdTime is holdFactor times the backlog estimate of the request's class: its requests in flight times the
// fraction by which expected latency exceeds its baseline, above a margin set from the contract time. It is
// counted in mean completion intervals at this door's recent best rate, so the hold is the time in which the
// backlog drains, whatever the traffic. The current latency or rate cannot be used instead of the recent best:
// once every request was rejected, no sample would ever lower the estimate again.
func (d *Door) holdTime(o *request) float64 {
	contract := d.terms.Classes[o.class].Contract
	baseline, l := d.baseline(o.class), &d.latencies[o.class]
	margin := latencyMargin*contract + noiseDeviations*l.deviation/math.Sqrt(max(1, min(float64(l.samples), 2/ewmaWeight)))
	excess := max(0, d.expectedLatency(o.class)-baseline-margin) / baseline
	// Hundreds of doors overload a fleet with less than one request in flight each. The averaged count is used as
	// well, since such a door has nothing in flight at most ticks.
	meanInFlight := min(1, l.meanInFlight) * math.Exp((d.tickedAt-d.now)/inFlightSpan)
	hold := holdFactor * excess * max(d.drainTime(o.class), meanInFlight/d.bestRate(o.class))
	if hold < tickInterval { // rounds to none; a decaying average never reaches 0
		return 0
	}
	return hold
}

// baseline returns a class's latency baseline, or a default until there are enough samples: the first few may lie
// far below the true minimum and would make everything after them look like backlog.
func (d *Door) baseline(class int) float64 {
	contract := d.terms.Classes[class].Contract
	if l := &d.latencies[class]; l.samples >= minSamples {
		return min(l.baseline, maxBaselineShare*contract)
	}
	return initialBaselineShare * contract
}

// drainTime is the time in which a class's requests in flight complete at the recent best rate, ms; with too few
// samples for a rate, one completes per baseline latency. Requests in flight within random variation are no
// backlog, and none in flight means 0: otherwise a door with little traffic whose first samples were slow
// would reject every request and never have another sample.
func (d *Door) drainTime(class int) float64 {
	l := &d.latencies[class]
	n := float64(d.inFlight[class])
	contract := d.terms.Classes[class].Contract
	if l.smoothed < l.baseline+latencyMargin*contract && !d.fleetSilent(class) {
		n = max(0, n-float64(l.late)) // answers that arrive are fast, so those of late attempts are lost, not delayed
	}
	total := 0
	for _, inFlight := range d.inFlight {
		total += inFlight
	}
	return n * (1 - min(1, noiseDeviations/math.Sqrt(max(1, float64(total))))) / d.bestRate(class)
}

// bestRate is this door's recent best completion rate of a class, requests per ms.
func (d *Door) bestRate(class int) float64 {
	if l := &d.latencies[class]; l.samples >= minSamples {
		return l.bestRate
	}
	return 1 / d.baseline(class)
}

// fleetSilent reports whether no backend has answered for longer than the contract time. Requests in flight are then
// taken for a problem of the whole fleet, not of single broken backends or lost answers.
func (d *Door) fleetSilent(class int) bool {
	return d.now > d.answeredAt+d.terms.Classes[class].Contract
}

// expectedLatency is a class's expected latency, ms. Silence gives no sample, so the excess age of what is in
// flight is added as if it were one sample of the average. The result is at least the drain time (Little's law):
// a latency is seen only after it has passed, and without that bound a surge is admitted whole before its first
// slow answer.
func (d *Door) expectedLatency(class int) float64 {
	return max(d.smoothedLatency(class)+ewmaWeight*d.latencies[class].excessAge, d.drainTime(class))
}

// smoothedLatency returns a class's smoothed latency, or the baseline before any sample.
func (d *Door) smoothedLatency(class int) float64 {
	if l := &d.latencies[class]; l.samples > 0 {
		return l.smoothed
	}
	return d.baseline(class)
}

// exceedsTimeLeft reports whether a hold leaves too little time: the answer would come after the contract time or
// after the client's deadline. After the hold the request still waits for what is in flight to drain.
func (d *Door) exceedsTimeLeft(o *request, hold float64) bool {
	left := min(o.deadline, o.arrivedAt+d.terms.Classes[o.class].Contract) - d.now
	return hold > 0 && hold+tailFactor*max(d.baseline(o.class), d.drainTime(o.class)) > left
}

// ---- Release and choice of backend ----

// release sends a held request once its hold is over, its units are acquired and a backend may have it.
func (d *Door) release(i int) {
	o := &d.requests[i]
	if d.now >= o.deadline-answerMargin {
		d.giveUp(i, 0, gate.DeadlineNear)
		return
	}
	// The hold is recomputed at each tick. Holds fixed at arrival in a quiet moment would all end together, as a burst.
	if len(o.attempts) == 0 && !o.counterGranted {
		if holdLeft := o.arrivedAt + d.holdTime(o) - d.now; d.exceedsTimeLeft(o, holdLeft) {
			d.giveUp(i, d.drainTime(o.class), gate.Overloaded)
			return
		} else if holdLeft > 0 {
			return
		}
	}
	if !o.counterGranted && d.atConcurrencyLimit(o) {
		return
	}
	if len(o.attempts) == 0 && !d.acquireUnits(i) {
		return
	}
	if b, anyEligible := d.pickBackend(o); b >= 0 {
		d.send(i, b)
	} else if len(o.attempts) > 0 && !anyEligible { // no listed backend may have it
		d.giveUp(i, d.drainTime(o.class), gate.NoBackend)
	}
}

// atConcurrencyLimit reports whether the customer has this door's share of its concurrent attempts in flight.
func (d *Door) atConcurrencyLimit(o *request) bool {
	p, k := &d.terms.Plans[o.plan], &d.buckets[o.customer]
	return p.MaxConcurrent > 0 && k.inFlight >= max(1, int(math.Round(float64(p.MaxConcurrent)*d.quotaShare(k))))
}

// subsetSize returns how many backends this door routes to: as many as it can visit often enough to keep a connection
// and fresh evidence; at a small site all of them. The subset starts at the door's position on a ring common to
// all doors, so it spreads them evenly, and the loss of a backend changes it by one at most.
func (d *Door) subsetSize() int {
	rate := d.fleet.sendRate * math.Exp((d.fleet.sendRateAt-d.now)/rateSpan)
	return max(minSubset, int(rate*subsetInterval))
}

// pickBackend draws a backend at random by routing weight from this door's subset. One that is not eligible, or
// is ejected or full, is replaced by the next on the ring. An ejected backend whose probe is due comes first, for a
// request that can be repeated elsewhere. The second result reports whether any backend is eligible.
func (d *Door) pickBackend(o *request) (b int, anyEligible bool) {
	f := &d.fleet
	firstAttempt := len(o.attempts) == 0
	weights := make([]float64, len(f.up))
	remaining := d.subsetSize()
	for _, b := range f.ringOrder {
		if !d.eligible(o, b) {
			continue
		}
		if anyEligible = true; f.ejected(b, o.class) {
			if firstAttempt && d.claimProbe(o, b) {
				return b, anyEligible
			}
			continue
		}
		weights[b] = d.routingWeight(b, o)
		for j := range o.attempts { // prefer a backend that has not had the request
			if o.attempts[j].backend == b {
				weights[b] *= triedWeight
				remaining++
			}
		}
		if weights[b] > 0 {
			if remaining--; remaining <= 0 {
				break
			}
		}
	}
	return d.random.weightedIndex(weights), anyEligible
}

// routingWeight estimates a backend's free capacity: weight over latency ratio, reduced by the door's own attempts in
// flight and the reported queue, and multiplied by the probability that the backend works.
func (d *Door) routingWeight(b int, o *request) float64 {
	f := &d.fleet
	if d.now < f.fullUntil[b][o.plan] {
		return 0
	}
	c := f.suspicionsOf(b, o.class)
	healthy := 1 / (1 + math.Exp(max(c[0].evidence, c[1].evidence)-evenOddsEvidence))
	load := (1 + f.queueLen[b]) * math.Pow(1+float64(f.inFlight[b]), inFlightExponent)
	return healthy * d.capacityShare(b) * f.weight[b] / f.latencyRatio[b] / load
}

// eligible reports whether a request may go to a backend: it is listed and not draining, and has cold budget left. A
// keyed request that may have run goes only to the same group, within the deduplication window; a non-idempotent one
// goes to no backend.
func (d *Door) eligible(o *request, b int) bool {
	f, p := &d.fleet, &d.terms.Classes[o.class]
	if !f.up[b] || !d.hasColdBudget(o, b) {
		return false
	}
	for j := range o.attempts {
		s := &o.attempts[j]
		if s.neverRan {
			continue
		}
		switch {
		case p.Semantics == gate.NonIdempotent:
			return false
		case p.Semantics == gate.Idempotent:
		case d.now >= s.sentAt+p.DedupWindow-dedupMargin:
			return false
		case p.Scope == gate.ScopeZone && f.zone[b] != f.zone[s.backend]:
			return false
		case p.Scope == gate.ScopeCell && f.cell[b] != f.cell[s.backend]:
			return false
		}
	}
	return true
}

// startDeadline returns the clock after which an attempt must not start, 0 for none. Connecting may take long, and by
// then the groups that had a keyed request before may have forgotten its key.
func (d *Door) startDeadline(o *request, attempt int) (deadline float64) {
	p := &d.terms.Classes[o.class]
	for j := range attempt {
		if s := &o.attempts[j]; p.Semantics == gate.Keyed && !s.neverRan {
			deadline = cmp.Or(min(deadline, s.sentAt+p.DedupWindow-dedupMargin), s.sentAt+p.DedupWindow-dedupMargin)
		}
	}
	return deadline
}

// canRunAgain reports whether a request that may have run can be repeated at any backend.
func (d *Door) canRunAgain(o *request) bool {
	p := &d.terms.Classes[o.class]
	return p.Semantics == gate.Idempotent || p.Semantics == gate.Keyed && p.Scope == gate.ScopeAll
}

// capacityShare returns a lower bound of the share of its full capacity that a backend has during slow start, 0 to 1.
func (d *Door) capacityShare(b int) float64 {
	startedAt := d.fleet.startedAt[b]
	if startedAt == 0 || d.terms.WarmupTime == 0 {
		return 1
	}
	age := max(0, d.now-startedAt) / d.terms.WarmupTime
	return min(1, d.terms.ColdCapacity+(1-d.terms.ColdCapacity)*age)
}

// hasColdBudget reports whether a backend may receive another request. What is sent to a cold one is limited, window by
// window, to this door's share of the load that would make it collapse, estimated from the work that warm backends of
// the same weight receive. A budget below one request is rounded up or down at random, so that the budgets of any
// number of doors add up. A door that has just started sends nothing to cold backends for one window.
func (d *Door) hasColdBudget(o *request, b int) bool {
	warm := d.capacityShare(b)
	if warm >= 1 {
		return true
	}
	f := &d.fleet
	if d.now >= f.coldWindowEnd[b] {
		budget := coldBudgetShare * d.terms.OverloadMultiple * warm * d.updateWarmWorkRate(b) * d.terms.OverloadWindow / d.baseline(o.class)
		if budget == 0 { // no warm backend to compare with
			budget = coldFallbackRequests / float64(cmp.Or(d.presentCount, d.terms.Doors))
		}
		f.coldLeft[b], f.coldWindowEnd[b] = int(budget+d.random.uniform()), d.now+d.terms.OverloadWindow
	}
	return f.coldLeft[b] > 0 && d.now > d.startedAt+d.terms.OverloadWindow
}

// updateWarmWorkRate updates and returns the rate of work that this door sends to a warm backend of b's weight; when none
// is warm, it returns the last known rate. Without that, a fleet that has lost all its warm backends would get a budget
// by the number of doors.
func (d *Door) updateWarmWorkRate(b int) float64 {
	f := &d.fleet
	weight := 0.0
	for other := range f.up {
		if f.up[other] && !f.suspicionsOf(other, 0)[1].ejected && d.capacityShare(other) >= 1 {
			weight += f.weight[other]
		}
	}
	if weight > 0 {
		f.warmWorkRate = f.warmWork * math.Exp((f.warmWorkAt-d.now)/workSpan) / workSpan / weight
	}
	return f.warmWorkRate * f.weight[b]
}

// send adds an attempt at a backend; emitActions emits it.
func (d *Door) send(i, b int) {
	o, f := &d.requests[i], &d.fleet
	k := &d.buckets[o.customer]
	if len(o.attempts) == 0 {
		d.consume(o)
	}
	o.held = false
	o.attempts = append(o.attempts, attempt{backend: b, sentAt: d.now, wanted: true})
	o.inFlight++
	k.inFlight++
	f.inFlight[b]++
	f.sendRate, f.sendRateAt = f.sendRate*math.Exp((f.sendRateAt-d.now)/rateSpan)+1/rateSpan, d.now
	d.inFlight[o.class]++
	f.coldLeft[b]--
	if d.capacityShare(b) >= 1 {
		f.warmWork = f.warmWork*math.Exp((f.warmWorkAt-d.now)/workSpan) + d.baseline(o.class)
		f.warmWorkAt = d.now
		d.updateWarmWorkRate(b)
	}
	d.markChanged(i)
}

// ---- Outcomes ----

// handleAttemptEnded applies an attempt's result. A request without an answer and with attempts left is held again.
func (d *Door) handleAttemptEnded(e gate.AttemptEnded) {
	o, f := &d.requests[e.Op], &d.fleet
	s := &o.attempts[e.Attempt]
	k := &d.buckets[o.customer]
	s.ended, s.neverRan = true, e.Result.NeverRan()
	o.inFlight--
	k.inFlight--
	f.inFlight[s.backend]--
	d.inFlight[o.class]--
	d.currentBucket(o.customer)
	if e.ActualUnits > 0 {
		k.correctUnits(o, e.ActualUnits)
	}
	d.recordMeteredUse(k, e.MeteredUse)
	d.recordResult(o, s, e)
	if e.Answered {
		o.wantedOutcome, o.givenOutcome = answered, answered
	}
	d.markChanged(e.Op)
	if o.wantedOutcome != undecided || o.inFlight > 0 {
		return
	}
	if o.held = len(o.attempts) < d.terms.MaxAttempts; !o.held {
		d.giveUp(e.Op, d.drainTime(o.class), gate.AttemptsFailed)
		return
	}
	d.reportDifference(gate.NoRetry, func(w *gate.Terms) bool { return len(o.attempts) >= w.MaxAttempts })
}

// giveUp ends a request at once: with a rejection where a retry by the client is harmless, else with a failure.
func (d *Door) giveUp(i int, retryAfter float64, cause gate.Cause) {
	o := &d.requests[i]
	o.cause = cause
	for j := range o.attempts {
		if !o.attempts[j].neverRan && !d.canRunAgain(o) {
			o.wantedOutcome, o.held = failed, false
			d.markChanged(i)
			return
		}
	}
	d.reject(i, retryAfter, cause)
}

// reject ends a request with a rejection that advises when to retry.
func (d *Door) reject(i int, retryAfter float64, cause gate.Cause) {
	o := &d.requests[i]
	d.buckets[o.customer].unreserve(o)
	o.wantedOutcome, o.held, o.retryAfter, o.cause = rejected, false, min(retryAfter, d.terms.MaxRetryAfter), cause
	d.reportDifference(gate.OtherRetryAfter, func(w *gate.Terms) bool {
		return min(retryAfter, w.MaxRetryAfter) != o.retryAfter
	})
	d.reportDifference(gate.SentOverQuota, func(w *gate.Terms) bool {
		return (cause == gate.OverQuotaShare || cause == gate.OverQuota) && d.admitsOverQuota(w, o)
	})
	d.markChanged(i)
}

// recordResult applies an attempt's result to its backend's sequential test. A working backend answers at the expected
// rate; a broken one fails, or answers at a small share of that rate. Answers remove evidence, failures and silence
// (in tick) add it. It also updates latency, queue length and backoff.
func (d *Door) recordResult(o *request, s *attempt, e gate.AttemptEnded) {
	f, b := &d.fleet, s.backend
	switch e.Result {
	case gate.Finished:
		if e.Queue >= 0 {
			f.queueLen[b] += queueWeight * (e.Queue - f.queueLen[b])
		}
		d.answeredAt = d.now
		f.fullBackoff[b][o.plan] /= 2
		for _, c := range f.suspicionsOf(b, o.class) {
			c.evidence = max(0, c.evidence+math.Log(brokenAnswerRate))
			c.ejected = c.ejected && c.evidence >= evenOddsEvidence
		}
		f.latencyRatio[b] = max(0.1, f.latencyRatio[b]+latencyRatioWeight*(e.Latency/d.expectedLatency(o.class)-f.latencyRatio[b]))
		d.recordLatency(o.class, min(e.Latency, d.terms.Classes[o.class].Contract))
	case gate.Full:
		// A backend may refuse a single plan, so the backoff is kept per plan. A refusal is also a sign of overload and
		// counts as a latency sample of the contract time, since a refused request has no latency of its own.
		f.fullBackoff[b][o.plan] = min(maxProbeInterval, max(minFullBackoff, 2*f.fullBackoff[b][o.plan]))
		f.fullUntil[b][o.plan] = d.now + f.fullBackoff[b][o.plan]
		l := &d.latencies[o.class]
		l.smoothed += ewmaWeight * (d.terms.Classes[o.class].Contract - l.smoothed)
	case gate.TimedOut, gate.Cancelled:
		// Only a lower bound of the latency is known. Where clients leave an overloaded fleet unanswered, the remaining
		// answers are the fast ones. Some lost answers are counted as well, which latencyMargin absorbs.
		if l := &d.latencies[o.class]; e.Latency > l.smoothed && (!f.ejected(b, o.class) || d.fleetSilent(o.class)) {
			l.smoothed += ewmaWeight * (min(e.Latency, d.terms.Classes[o.class].Contract) - l.smoothed)
		}
	case gate.Errored, gate.Unreachable, gate.Reset, gate.Malformed:
		d.addEvidence(b, o.class, failureEvidence)
	}
}

// addEvidence adds evidence against a backend, as a whole and for one class: a backend may leave a single class
// unanswered, which answers to other classes must not hide. Where too many backends would be ejected at once, the
// whole fleet has the problem, and ejecting more would only overload the rest.
func (d *Door) addEvidence(b, class int, nats float64) {
	f := &d.fleet
	for i, c := range f.suspicionsOf(b, class) {
		c.evidence = min(c.evidence+nats, ejectionThreshold)
		if c.evidence == ejectionThreshold && !c.ejected && f.ejectedShareWith(i == 0, class) <= maxEjectedShare {
			*c = suspicion{evidence: c.evidence, ejected: true, probeAt: d.now + firstProbeDelay, probeInterval: firstProbeDelay}
		}
	}
}

// claimProbe reports whether a request becomes the due ejection probe of a backend, and schedules the next probe. A request
// that could not be repeated elsewhere never probes a backend ejected as a whole.
func (d *Door) claimProbe(o *request, b int) bool {
	cs := d.fleet.suspicionsOf(b, o.class)
	if cs[1].ejected && !d.canRunAgain(o) {
		return false
	}
	for _, c := range cs {
		if c.ejected && d.now < c.probeAt {
			return false
		}
	}
	for _, c := range cs {
		c.probeAt, c.probeInterval = d.now+c.probeInterval, min(maxProbeInterval, 2*c.probeInterval)
	}
	return true
}

// recordLatency adds the latency of a finished attempt to its class's statistics. The baseline falls at once and rises
// slowly, so that a lasting change to slower requests does not cause holds for ever.
func (d *Door) recordLatency(class int, ms float64) {
	l := &d.latencies[class]
	l.samples++
	l.deviation += max(ewmaWeight, 1/float64(l.samples)) * (math.Abs(ms-l.smoothed) - l.deviation)
	l.smoothed += max(ewmaWeight, 1/float64(l.samples)) * (ms - l.smoothed)
	l.rate = l.rate*math.Exp((l.sampledAt-d.now)/rateSpan) + 1/rateSpan
	spanShare := max(1-math.Exp((d.startedAt-d.now)/rateSpan), minRateSpanShare)
	drift := 1 - math.Exp((l.sampledAt-d.now)/baselineDrift)
	l.bestRate = max(l.rate/spanShare, l.bestRate*math.Exp((l.sampledAt-d.now)/bestRateDecay))
	if l.baseline += (l.smoothed - l.baseline) * drift; l.samples <= minSamples || l.baseline > l.smoothed {
		l.baseline = l.smoothed
	}
	l.sampledAt = d.now
}

// ---- Time ----

// tick applies the passage of time to the requests that are held or in flight.
func (d *Door) tick() {
	dt := d.now - d.tickedAt
	d.tickedAt = d.now
	d.updateExcessAge()
	for p := range d.latencies {
		l := &d.latencies[p]
		l.meanInFlight += (float64(d.inFlight[p]) - l.meanInFlight) * (1 - math.Exp(-dt/inFlightSpan))
	}
	stillActive := d.active[:0]
	for _, i := range d.active {
		o := &d.requests[i]
		for j := range o.attempts {
			if s := &o.attempts[j]; s.inFlight() {
				slowdown := max(1, d.fleet.latencyRatio[s.backend]) / d.capacityShare(s.backend)
				d.addEvidence(s.backend, o.class, (1-brokenAnswerRate)*dt/(max(1, d.expectedLatency(o.class))*slowdown))
			}
		}
		if o.wantedOutcome == undecided && o.held {
			d.release(i)
		} else if o.wantedOutcome == undecided {
			d.hedgeOrGiveUp(i)
		}
		if o.wantedOutcome == undecided || o.inFlight > 0 {
			stillActive = append(stillActive, i)
		} else {
			d.buckets[o.customer].openRequests--
		}
	}
	d.active = stillActive
	d.limitBuckets()
	if d.now-d.sweptAt >= sweepInterval {
		d.sweptAt = d.now
		d.dropIdleBuckets()
		d.freeGoneBackends()
	}
}

// updateExcessAge sums by how much attempts in flight are older than the smoothed latency. One past the contract time is
// late already, and counted only while the whole fleet is silent: where answers are lost it would look like backlog
// until the client leaves. Other attempts at an ejected backend are not counted: one silent backend does not mean an
// overloaded fleet.
func (d *Door) updateExcessAge() {
	for p := range d.latencies {
		d.latencies[p].late, d.latencies[p].excessAge = 0, 0
	}
	for _, i := range d.active {
		o := &d.requests[i]
		l := &d.latencies[o.class]
		for j := range o.attempts {
			s := &o.attempts[j]
			if age := d.now - s.sentAt; s.inFlight() && age > d.terms.Classes[o.class].Contract {
				if l.late++; d.fleetSilent(o.class) {
					l.excessAge += d.terms.Classes[o.class].Contract
				}
			} else if s.inFlight() && !d.fleet.ejected(s.backend, o.class) {
				l.excessAge += max(0, age-d.smoothedLatency(o.class))
			}
		}
	}
}

// hedgeOrGiveUp gives up late requests on an overloaded fleet, and hedges those waiting at an ejected backend (silent,
// stalled, or in a lost zone). Slowness of the whole fleet causes no hedge: expected latency grows with it.
func (d *Door) hedgeOrGiveUp(i int) {
	o := &d.requests[i]
	p := &d.terms.Classes[o.class]
	// A request that can no longer meet its contract time must not displace those that can. Otherwise a fleet that has
	// fallen behind keeps working on late requests for as long as clients wait.
	if d.now > o.arrivedAt+p.Contract && p.LateValue < minLateValue && !o.streaming && d.holdTime(o) > 0 {
		d.giveUp(i, d.drainTime(o.class), gate.PastContract)
		return
	}
	if o.streaming || o.inFlight != 1 || len(o.attempts) >= d.terms.MaxAttempts || !d.terms.Hedging {
		return
	}
	s := &o.attempts[len(o.attempts)-1]
	if s.inFlight() && d.fleet.ejected(s.backend, o.class) && d.now-s.sentAt > hedgeAfter*d.expectedLatency(o.class) {
		if b, _ := d.pickBackend(o); b >= 0 && b != s.backend {
			d.send(i, b)
			d.reportDifference(gate.NoHedge, func(w *gate.Terms) bool { return !w.Hedging })
		}
	}
}

// ---- Emission of actions ----

// emitActions emits the difference between the wanted and the present state of all requests that changed.
func (d *Door) emitActions() {
	if d.mustSubscribe && d.now >= d.subscribeAt {
		d.mustSubscribe = false
		d.actions = append(d.actions, gate.SubscribeFleet{})
	}
	for _, i := range d.changed {
		o := &d.requests[i]
		o.inChanged = false
		for j := range o.attempts {
			s := &o.attempts[j]
			s.wanted = s.wanted && o.wantedOutcome == undecided
			if s.wanted && !s.sent {
				s.sent = true
				d.actions = append(d.actions, gate.Send{Op: i, Backend: s.backend, StartBy: d.startDeadline(o, j)})
			}
			if !s.wanted && s.inFlight() && !s.cancelled && d.terms.MayCancel {
				s.cancelled = true
				d.actions = append(d.actions, gate.Cancel{Op: i, Attempt: j})
			}
		}
		if o.givenOutcome == undecided && o.wantedOutcome != undecided {
			if o.givenOutcome = o.wantedOutcome; o.wantedOutcome == rejected {
				d.actions = append(d.actions, gate.Reject{Op: i, RetryAfter: o.retryAfter, Why: o.cause})
			} else {
				d.actions = append(d.actions, gate.Fail{Op: i, Why: o.cause})
			}
		}
	}
	d.changed = d.changed[:0]
	d.actions = append(d.actions, d.counterCalls...)
	d.counterCalls = d.counterCalls[:0]
	d.actions = append(d.actions, d.freedIndices...)
	d.freedIndices = d.freedIndices[:0]
	if (len(d.active) > 0 || d.mustSubscribe) && !d.timerSet {
		d.timerSet = true
		d.actions = append(d.actions, gate.SetTimer{At: d.now + tickInterval})
	}
}
