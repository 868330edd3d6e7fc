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
	alpha = 6.0

	// Share of the contract time by which latency may exceed its baseline without any hold.
	marginShare = 0.2

	// Drain times that must fit into the time left of a held request; slow requests take far longer than the mean.
	tailTimes = 5.0

	// Standard deviations of the requests in flight (Poisson) or of a mean latency that are treated as noise.
	chance = 1.0

	// EWMA weight of a new latency, about 16 samples: 1 s of one class, or 10 s at a door with little traffic.
	smoothing = 0.06

	// Samples before the smoothed latency may set the baseline; as many as ewmaWeight averages over.
	lowAfter = 16

	// Averaging time of completion and send rates, ms; a few dozen requests of one class.
	finishSpan = 5e3

	// Shortest averaging time assumed after a start, as a share of rateSpan.
	leastKnown = 0.1

	// Decay time of the best completion rate, ms; lets it fall after part of the fleet is lost.
	bestDrift = 20e3

	// Time in which the latency baseline follows a lasting change to slower requests, ms.
	lowDrift = 60e3

	// Upper bound of the baseline as a share of the contract time; it may have been learnt under overload.
	lowMost = 0.3

	// Baseline assumed before there are enough samples, as a share of the contract time.
	firstGuess = 0.1

	// Averaging time of the attempts in flight, ms; a few latencies of an overloaded fleet.
	flightSpan = 1e3

	// Interval between checks of waiting requests, ms; small beside every contract time.
	tickEvery = 20.0

	// Quotas.

	// Averaging time of a customer's demand, ms; a few requests of an average customer.
	demandSpan = 4e3

	// Weight of the even split in a quota share, as a share of the plan's rate.
	priorDemand = 0.25

	// Meter periods over which quota shares are scaled down to the quota; a meter report is one period old.
	trimOver = 2.0

	// Lower bound of the factor that scales a quota share down.
	trimLeast = 0.2

	// Time for which a report of the other doors' use is valid, ms.
	heardFor = 15e3

	// Meter periods for which a report describes the bucket's level; a report is at most one period late.
	wordFresh = 2.0

	// Share of the depth that must stay in the metered bucket after a request that the local share cannot hold.
	storeLeast = 0.7

	// Time after which an idle bucket is dropped, ms (docs/design.md).
	idleDrop = 60e3

	// The same for a bucket that is full again, ms; reports of the other doors' use have expired by then.
	idleFull = 15e3

	// Interval between searches for idle buckets, ms; there may be thousands of buckets.
	sweepEvery = 1e3

	// Share of the door's even split of the units last seen free that one counter call asks for.
	countLump = 0.5

	// Share of the local depth above which a customer's units are added with a later counter call.
	easyLevel = 0.6

	// Additive increase of the share of counter calls made, after each answer.
	countGain = 0.03

	// Multiplicative decrease of that share after a call without an answer; a few percent of the calls fail.
	countCut = 0.7

	// Share of calls made below which a failed call reserves calls for customers with a small quota share.
	countAll = 0.4

	// Lower bound of the share of calls made.
	countLeast = 0.05

	// Duration of that reservation, ms. With shorter ones the calls came back in waves that overloaded the
	// counter again.
	crowdedFor = 20e3

	// Failed calls in a row after which the counter was down; one that is only overloaded answers some calls.
	awayAfter = 8

	// Time within which a call is answered if it is answered at all, ms; a few round trips.
	askFor = 120.

	// Time in which the quota shares of absent doors pass to a customer's other doors, ms; equal to demandSpan.
	takeOver = 4e3

	// EWMA weight of one request in the share of requests that meet a hold; about 100 requests.
	heldWeight = 0.01

	// Share of requests that meet a hold below which a request may be sent beyond its quota.
	openUnder = 0.08

	// Debt that one charge may leave in a bucket, as a share of its depth times the customer's number of doors.
	debtShare = 0.2

	// Outlier ejection, hedging and backoff. Evidence is a log-likelihood ratio in nats.

	// Rate of answers of a broken backend, as a share of the expected rate.
	silentRate = 0.1

	// Evidence in one failed attempt, nats: about 20 times likelier of a broken backend.
	failNats = 3.0

	// Evidence at which a backend is ejected, nats: one false ejection in about 400 busy periods.
	judgeAt = 6.0

	// Evidence at which a backend is as likely broken as healthy, nats; its routing weight is halved there.
	priorNats = 3.0

	// Delay from ejection to the first ejection probe, ms.
	trialFirst = 1e3

	// Longest interval between ejection probes, and longest backoff from a full backend, ms.
	trialMost = 8e3

	// EWMA weight of a new latency in a backend's latency ratio; about 10 samples.
	paceWeight = 0.1

	// EWMA weight of a reported queue length; a report comes every 1 to 2 s.
	queueWeight = 0.5

	// Largest share of the listed backends that may be ejected; beyond it the whole fleet has the problem.
	mostJudged = 0.6

	// Expected latencies after which a request at an ejected backend is hedged.
	rescueAt = 1.5

	// Share of its gain that a late answer must earn to be waited for on an overloaded fleet.
	lateLeast = 0.5

	// First backoff from a backend that refused a plan's request, ms; doubled at each further refusal.
	fullRest = 1e3

	// Slow start, repeats and the choice of backends.

	// Share of a cold backend's budget that the doors use; the rest absorbs random variation.
	coldShare = 0.8

	// Requests per window that all doors together send to a cold backend while no warm backend is known.
	coldBlind = 2.0

	// Averaging time of the work sent to warm backends, ms.
	workSpan = 10e3

	// Time before the end of the deduplication window in which no repeat may start, ms: a door's process may be
	// stopped for that long without noticing.
	repeatGap = 50.

	// Factor on the routing weight of a backend that already had the request, where there is another.
	sameOdds = 1e-3

	// Target time between requests to one backend of the subset, ms: idle connections are closed and evidence ages.
	memberGap = 1e3

	// Smallest subset; some of it must be left when several backends fail at once.
	memberMin = 8

	// Exponent of the door's own attempts in flight in the routing weight. With a smaller one queues form at
	// some backends while others are idle.
	roomPower = 3.0

	// Delay before subscribing to the fleet list again after a failure, ms.
	askRest = 1e3

	// Time before the client's deadline at which a held request is answered, ms; more than tickInterval.
	lastLook = 25.0
)

// New returns the decisions of a door that has just started, with no history.
func New(t gate.Terms, seed uint64) *Door {
	return &Door{terms: t, dice: newDice(seed), ask: t.MustAsk, lat: make([]latency, len(t.Classes)),
		out: make([]int, len(t.Classes)), born: -1,
		calling: 1, before: 1, cutAt: math.Inf(-1), crowdedAt: math.Inf(-1),
		fleet: fleet{cases: make([][]suspicion, len(t.Classes)+1)}}
}

// Decide applies one batch of events and returns the actions to carry out.
func (d *Door) Decide(now float64, events []gate.Event) []gate.Action {
	d.now, d.actions = now, d.actions[:0]
	if d.born < 0 {
		d.born, d.ticked = now, now
	}
	for _, e := range events {
		switch e := e.(type) {
		case gate.Fleet:
			d.list(e)
		case gate.Doors:
			d.here, d.doors = append(d.here[:0], e.Here...), e.Count
		case gate.Request:
			d.arrive(e)
		case gate.Ended:
			d.ended(e)
		case gate.Streaming:
			d.ops[e.Op].streaming = true
		case gate.Counted:
			d.counted(e)
		case gate.Closing:
			d.endBy(e.By)
		case gate.Woken:
			d.bell = false // not checked against the clock: the driver may round the requested time
		case gate.Vanished:
			d.ops[e.Op].want, d.ops[e.Op].given = answered, answered
			d.buckets[d.ops[e.Op].customer].unpromise(&d.ops[e.Op])
			d.touch(e.Op)
		}
	}
	d.tick()
	d.settle()
	return d.actions
}

// ---- Fleet list ----

// updateFleet applies a fleet list update. A backend that drains, is gone or is missing receives nothing new.
func (d *Door) list(e gate.Fleet) {
	f := &d.fleet
	if e.Failed {
		d.ask, d.askAt = d.terms.MustAsk, d.now+askRest // wait, so as not to load a failing list service further
		return
	}
	if e.Complete {
		clear(f.up)
		copy(f.gone, f.known)
	}
	for _, n := range e.Entries {
		f.grow(n.Backend+1, len(d.terms.Plans))
		b := n.Backend
		f.mark[b] = n.Mark
		f.up[b], f.zone[b], f.cell[b] = n.Status == gate.Up, n.Zone, n.Cell
		f.gone[b] = n.Status == gate.Gone
		if !f.known[b] || n.Since != f.since[b] { // a new process: drop the evidence against the old one
			f.renew(b, n.Since)
		}
		f.size[b] = cmp.Or(n.Size, f.size[b])
	}
	// Golden-ratio spacing of the start positions spreads the doors evenly over the ring, whatever their number.
	_, position := math.Modf(float64(d.terms.Number) * math.Phi)
	f.rank(position)
}

// ---- Arrival: quota first, then the hold ----

// handleRequest admits a new request as held, or rejects it for its quota or for the expected hold.
func (d *Door) arrive(e gate.Request) {
	d.ops = grown(d.ops, e.Op)
	o := &d.ops[e.Op]
	*o = request{class: e.Class, plan: e.Plan, customer: e.Customer, units: e.Units,
		came: d.now, until: d.bounded(d.now + e.TTL), repeat: e.Repeat, sends: o.sends[:0]}
	d.live = append(d.live, e.Op)
	d.taken++
	k := d.fill(e.Customer, e.Plan, e.First, e.Spread)
	k.demand += o.units / demandSpan
	k.phase = e.Phase
	k.open++
	hold, holdSample := d.hold(o), 0.0
	if hold > 0 {
		holdSample = 1
	}
	d.usualGain += max(smoothing, 1/float64(d.taken)) * (d.gain(o) - d.usualGain)
	d.pressed += heldWeight * (holdSample - d.pressed)
	byShare, wait, cause := !d.counts(k), 0.0, gate.OverQuota
	charged := true
	if byShare {
		if wait, cause = d.shortfall(k, o.units); wait > 0 && d.welcome(&d.terms, o) {
			wait, charged = 0, false
		}
	} else if o.units >= k.barredUnits {
		wait = k.barred - d.now
	}
	if wait > 0 {
		d.reject(e.Op, wait, cause)
		return
	}
	if byShare {
		d.promise(k, o, charged)
	}
	if d.tooLong(o, hold) {
		d.reject(e.Op, d.drain(o.class), gate.Pressed)
	} else {
		o.held = true
	}
}

// updateBucket refills a customer's bucket up to now. The door's slice of the ceiling starts empty: the door
// does not know what its previous incarnation sent, and only slices that start empty add up to the ceiling.
func (d *Door) fill(customer, plan, first, spread int) *bucket {
	d.buckets = grown(d.buckets, customer)
	k, p := &d.buckets[customer], &d.terms.Plans[plan]
	k.of(plan, first, max(1, spread), p.Depth, d.now, d.born)
	dt := d.now - k.filled
	k.filled = d.now
	k.set += (d.ofSet(k) - k.set) * (1 - math.Exp(-dt/takeOver))
	k.level = min(p.Depth, k.level+p.Rate*dt)
	slice := 1 / float64(k.spread)
	// Units are sent some time after they are granted, while the slice refills: it holds that much less.
	depth := p.CeilingDepth - 2*askFor*p.CeilingRate
	k.ceiling = min(depth*slice, k.ceiling+p.CeilingRate*dt*slice)
	k.demand *= math.Exp(-dt / demandSpan)
	k.sent *= math.Exp(-dt / demandSpan)
	return k
}

// countPresentDoors returns how many of a customer's doors are present. The quota shares of absent doors pass
// to the others gradually. Slices of the ceiling do not, since two doors may each believe the other absent.
func (d *Door) ofSet(k *bucket) float64 {
	n := k.spread
	for i := k.first; len(d.here) > 0 && i < k.first+k.spread; i++ {
		if door := i % max(1, d.terms.Doors); door < len(d.here) && !d.here[door] && door != d.terms.Number {
			n--
		}
	}
	return float64(max(1, n))
}

// quotaShare returns this door's share of the customer's recent demand: local demand over local demand plus
// the others' metered use, with a small prior weight on the even split. Without a valid report it is the even split.
func (d *Door) part(k *bucket) float64 {
	even := 1 / k.set
	if d.now-k.heard > heardFor {
		return k.trim * even
	}
	prior := priorDemand * d.terms.Plans[k.plan].Rate
	return k.trim * min(1, (k.demand+prior*even)/(k.demand+k.others+prior))
}

// admissionWait returns the time in ms for which the customer's quota or ceiling keeps the request out; 0 admits
// it. The bucket counts in units of the whole quota: charging units/share while refilling at the whole rate
// equals charging units while refilling at rate x share, as the design states it.
func (d *Door) shortfall(k *bucket, units float64) (wait float64, cause gate.Cause) {
	quota, ceiling := d.quotaWait(k, units), d.ceilingWait(k, units)
	if ceiling > quota {
		return ceiling, gate.AtCeiling
	}
	return quota, gate.OverPart
}

// quotaWait returns the time in ms until the local bucket holds the units beyond those reserved.
func (d *Door) quotaWait(k *bucket, units float64) float64 {
	if rate := d.terms.Plans[k.plan].Rate; rate > 0 {
		return max(0, units+k.promised-k.level) / rate
	}
	return 0
}

// ceilingWait returns the time in ms until the door's slice of the ceiling holds the units beyond those reserved.
func (d *Door) ceilingWait(k *bucket, units float64) float64 {
	if rate := d.terms.Plans[k.plan].CeilingRate / float64(k.spread); rate > 0 {
		return max(0, units+k.promisedUnits-k.ceiling) / rate
	}
	return 0
}

// reserve sets a request's units aside while it is held; consume takes them when it is first sent. If they were
// taken at arrival, they would refill during the hold, and the release after a long hold would exceed the ceiling.
func (d *Door) promise(k *bucket, o *request, charged bool) {
	o.promised = true
	if o.charge = 0; charged {
		o.charge = min(o.units/d.part(k), max(o.units, k.level-k.promised+
			debtShare*float64(k.spread)*d.terms.Plans[k.plan].Depth))
	}
	k.promised += o.charge
	k.promisedUnits += o.units
}

// consume takes a request's reserved units when it is first sent.
func (d *Door) draw(o *request) {
	k := d.refill(o.customer)
	if o.promised {
		d.buckets[o.customer].unpromise(o)
		k.level -= o.charge
		k.ceiling -= o.units
	}
	k.sent += o.units / demandSpan
}

// correctUnits replaces the estimated units that a request was charged for with the actual ones. The next
// counter call adds the difference.
func (k *bucket) repay(o *request, units float64) {
	more := units - o.units
	k.level -= more * o.charge / o.units
	k.sent += more / demandSpan
	k.count.owed += more
}

// acquireUnits obtains a request's units from the counter or from the local quota share, and reports whether it
// has them. It gives up a request that cannot have them.
func (d *Door) secure(i int) bool {
	o := &d.ops[i]
	k := d.refill(o.customer)
	if o.granted || o.promised {
		return true
	}
	if d.counts(k) && !o.uncounted {
		if wait := d.count(o, k); wait > 0 {
			d.giveUp(i, wait, gate.OverQuota)
			return false
		} else if !o.uncounted {
			return o.granted
		}
	}
	wait, cause := d.shortfall(k, o.units)
	byMeter := wait > 0 && cause == gate.OverPart && d.ceilingWait(k, o.units) == 0 && d.metered(k, o.units)
	if byMeter {
		wait = 0
	}
	if wait > 0 {
		d.giveUp(i, wait, cause)
	} else {
		d.promise(k, o, !byMeter)
	}
	return wait == 0
}

// admitsOverQuota reports whether a request beyond its customer's quota is sent all the same: its plan gains more
// than it costs, its ceiling has room, and the fleet is not overloaded. The quota is not charged.
func (d *Door) welcome(t *gate.Terms, o *request) bool {
	return d.pays(t, o.plan) && d.ceilingWait(&d.buckets[o.customer], o.units) == 0
}

// overQuotaPays reports whether requests beyond a plan's quota earn more than they cost, on a fleet that is not
// overloaded.
func (d *Door) pays(t *gate.Terms, plan int) bool {
	p := &t.Plans[plan]
	return p.Beyond > p.OverCost && d.pressed < openUnder
}

// CompareWith makes the door report each decision that other terms, with the same classes and plans, would have
// made differently. The decisions themselves stay as they are; nil ends the comparison.
func (d *Door) Watch(t *gate.Terms) { d.watch = t }

// reportDifference reports a decision that the terms under comparison would have made differently.
func (d *Door) differs(kind gate.Difference, otherwise func(w *gate.Terms) bool) {
	if d.watch != nil && otherwise(d.watch) {
		d.actions = append(d.actions, gate.Differs{Kind: kind})
	}
}

// admitByMeter reports whether a fresh meter report leaves most of the customer's whole bucket after the request.
// Then a local share too small for the request does not keep it out, as happens where many doors each see the
// customer rarely. The units are taken from the reported level, so one report admits no more than the bucket held.
func (d *Door) metered(k *bucket, units float64) bool {
	fresh := d.now-k.heard < wordFresh*d.terms.MeterPeriod
	if !fresh || k.store-units <= storeLeast*d.terms.Plans[k.plan].Depth {
		return false
	}
	k.store -= units
	return true
}

// Where there is a shared counter, each customer has a number on it per window; a window is the time in which
// the quota refills the whole depth. The doors together may add to the number the level at the window's start and
// what has refilled since. An overloaded counter is called for fewer requests; the others go by quota share.

// usesCounter reports whether the customer's requests are counted on the shared counter.
func (d *Door) counts(k *bucket) bool {
	return d.terms.Counter && d.terms.Plans[k.plan].Rate > 0 && !d.pays(&d.terms, k.plan)
}

// counterWindow returns the number of a customer's window, whose start is offset by the customer's own phase,
// and the time left in it, ms.
func (d *Door) window(k *bucket) (n int64, left float64) {
	span := d.terms.Plans[k.plan].Depth / d.terms.Plans[k.plan].Rate
	position := d.now/span + k.phase
	n = int64(position)
	return n, (float64(n+1) - position) * span
}

// takeFromCounter takes units from those that the counter granted to this door, or calls for more. It returns the
// time in ms for which the request is blocked; 0 while it waits for an answer, has its units, or skips the counter.
func (d *Door) count(o *request, k *bucket) (wait float64) {
	c, p := &k.count, &d.terms.Plans[k.plan]
	n, left := d.window(k)
	if c.window == n-1 { // after a longer gap other doors may have emptied the bucket unseen
		windowStart := d.now + left - p.Depth/p.Rate
		level := min(p.Depth, max(0, c.room)-c.owed+(p.Rate-min(p.Rate, k.others))*(windowStart-c.seen))
		*c = counting{window: n, fill: p.Rate, before: level, room: level, seen: windowStart}
	} else if c.window != n {
		*c = counting{window: n, fill: p.Rate / float64(k.spread), before: p.Depth}
	}
	shareHolds := p.Depth >= k.set*o.units // this door's quota share holds the request
	switch {
	case c.granted >= o.units:
		if wait = d.ceilingWait(k, o.units); wait == 0 {
			c.granted -= o.units
			o.granted = true
			d.promise(k, o, true) // keeps the local level correct for when the counter is overloaded
		}
	case c.calling:
	case d.terms.MeterPeriod > 0 && k.level-k.promised-o.units/d.part(k) > easyLevel*p.Depth:
		o.uncounted = true
		c.owed += o.units
	case d.now < k.barred && o.units >= k.barredUnits:
		return k.barred - d.now
	case d.now < c.rest || !d.called(o) || d.now < d.crowdedAt+crowdedFor && (o.repeat || shareHolds):
		if o.uncounted = true; o.repeat && !shareHolds { // a retry storm may not bypass the counter that it overloads
			return left
		}
	default:
		c.calling, c.least = true, o.units
		d.differs(gate.NotCounted, func(w *gate.Terms) bool { return d.pays(w, k.plan) })
		// When overloaded, make fewer and larger calls, but ask for no more than this door's demand takes in the rest
		// of the window: batches at doors that see the customer rarely are counted at each of them and used at none.
		batch := min(1, countLump/d.calling) * c.room / float64(k.spread)
		c.asked = max(o.units, min(batch, k.demand*left))
		d.calls = append(d.calls, gate.Count{Customer: o.customer, Epoch: n, Add: c.asked + c.owed - c.back,
			Keep: left + askFor})
		c.owed = 0
	}
	return wait
}

// shouldCallCounter reports whether to call the counter for a request. When only some calls are made, requests
// with a higher gain come first, so that those left uncounted matter least.
func (d *Door) called(o *request) bool {
	gainRatio := 1.0
	if gain := d.gain(o); gain > 0 {
		gainRatio = d.usualGain / gain
	}
	return d.dice.roll() <= math.Pow(d.calling, gainRatio*gainRatio)
}

// gain returns what a finished request earns within its contract time.
func (d *Door) gain(o *request) float64 {
	return d.terms.Classes[o.class].Gain * d.terms.Plans[o.plan].Price * o.units
}

// handleCounted applies the answer to a counter call, or its failure.
func (d *Door) counted(e gate.Counted) {
	k := d.refill(e.Customer)
	c, p := &k.count, &d.terms.Plans[k.plan]
	if e.Epoch != c.window {
		return
	}
	c.calling = false
	if e.Result != gate.Finished {
		if d.now >= d.cutAt+askFor && e.Result != gate.Spoilt { // calls that fail within one timeout are one overload signal
			if d.calling, d.cutAt = max(countLeast, countCut*d.calling), d.now; d.calling < countAll {
				d.crowdedAt = d.now
			}
		}
		if d.misses++; e.Result == gate.Full { // a refusal shows that the counter is up
			d.misses = 0
		}
		if !e.Result.NeverRan() { // an overloaded counter still executes calls after their caller timed out
			c.back = c.asked
		}
		c.rest = d.now + tickEvery // requests waiting for this call go by quota share
		return
	}
	if d.misses >= awayAfter {
		d.calling, d.crowdedAt = d.before, math.Inf(-1)
	}
	d.calling, d.misses = min(1, d.calling+countGain), 0
	d.before = d.calling
	_, left := d.window(k)
	// Units are granted only as they refill: granted at once they would exceed the bucket, and granted at the end
	// of the window they would go unused.
	c.room, c.seen = c.before+c.fill*(p.Depth/p.Rate-left)-e.Total, d.now
	c.spilt = max(c.spilt, c.room+c.asked-p.Depth)
	c.room -= c.spilt
	grantable := max(0, min(c.asked, c.room+c.asked))
	c.back = c.asked - grantable
	c.room += c.back
	if c.granted += grantable; c.granted < c.least { // units too few for this request stay here for smaller ones
		k.barred, k.barredUnits = d.now+min(left, (c.least-c.granted)/c.fill), c.least
	}
}

// recordMeteredUse applies a meter report on a customer. What this door sent recently is subtracted; the rest is
// the other doors' use.
func (d *Door) hear(k *bucket, use float64) {
	p := &d.terms.Plans[k.plan]
	if use < 0 || p.Rate == 0 || d.terms.MeterPeriod == 0 {
		return
	}
	dt := min(d.now-k.heard, d.terms.MeterPeriod)
	if k.store = min(p.Depth, k.store+(1-use)*p.Rate*dt); k.store < 0 {
		k.store = 0
		k.trim = min(1, max(trimLeast, k.trim*(1+(1/max(use, trimLeast)-1)*dt/(trimOver*d.terms.MeterPeriod))))
	} else {
		k.trim += (1 - k.trim) * dt / (trimOver * d.terms.MeterPeriod)
	}
	others := max(0, use*p.Rate-k.sent)
	k.others += (others - k.others) * min(1, (d.now-k.heard)/d.terms.MeterPeriod)
	k.heard = d.now
}

// holdTime is holdFactor times the backlog estimate of the request's class: its requests in flight times the
// fraction by which expected latency exceeds its baseline, above a margin set from the contract time. It is
// counted in mean completion intervals at this door's recent best rate, so the hold is the time in which the
// backlog drains, whatever the traffic. The current latency or rate cannot be used instead of the recent best:
// once every request was rejected, no sample would ever lower the estimate again.
func (d *Door) hold(o *request) float64 {
	contract := d.terms.Classes[o.class].Contract
	low, l := d.low(o.class), &d.lat[o.class]
	margin := marginShare*contract + chance*l.spread/math.Sqrt(max(1, min(float64(l.samples), 2/smoothing)))
	excess := max(0, d.recent(o.class)-low-margin) / low
	// Hundreds of doors overload a fleet with less than one request in flight each. The averaged count is used as
	// well, since such a door has nothing in flight at most ticks.
	flight := min(1, l.flight) * math.Exp((d.ticked-d.now)/flightSpan)
	hold := alpha * excess * max(d.drain(o.class), flight/d.best(o.class))
	if hold < tickEvery { // rounds to none; a decaying average never reaches 0
		return 0
	}
	return hold
}

// baseline returns a class's latency baseline, or a default until there are enough samples: the first few may lie
// far below the true minimum and would make everything after them look like backlog.
func (d *Door) low(class int) float64 {
	contract := d.terms.Classes[class].Contract
	if l := &d.lat[class]; l.samples >= lowAfter {
		return min(l.low, lowMost*contract)
	}
	return firstGuess * contract
}

// drainTime is the time in which a class's requests in flight complete at the recent best rate, ms; with too few
// samples for a rate, one completes per baseline latency. Requests in flight within random variation are no
// backlog, and none in flight means 0: otherwise a door with little traffic whose first samples were slow
// would reject every request and never have another sample.
func (d *Door) drain(class int) float64 {
	l := &d.lat[class]
	n := float64(d.out[class])
	contract := d.terms.Classes[class].Contract
	if l.recent < l.low+marginShare*contract && !d.mute(class) {
		n = max(0, n-float64(l.late)) // those that return are fast: the answers of these are lost
	}
	total := 0
	for _, out := range d.out {
		total += out
	}
	return n * (1 - min(1, chance/math.Sqrt(max(1, float64(total))))) / d.best(class)
}

// bestRate is this door's recent best completion rate of a class, requests per ms.
func (d *Door) best(class int) float64 {
	if l := &d.lat[class]; l.samples >= lowAfter {
		return l.best
	}
	return 1 / d.low(class)
}

// fleetSilent reports whether no backend has answered for longer than the contract time. Then requests in flight
// point to neither single broken backends nor lost answers.
func (d *Door) mute(class int) bool { return d.now > d.answeredAt+d.terms.Classes[class].Contract }

// expectedLatency is a class's expected latency, ms. Silence gives no sample, so the excess age of what is in
// flight is added as if it were one sample of the average. The result is at least the drain time (Little's law):
// a latency is seen only after it has passed, and without that bound a surge is admitted whole before its first
// slow answer.
func (d *Door) recent(class int) float64 {
	return max(d.smoothed(class)+smoothing*d.lat[class].overdue, d.drain(class))
}

// smoothedLatency returns a class's smoothed latency, or the baseline before any sample.
func (d *Door) smoothed(class int) float64 {
	if l := &d.lat[class]; l.samples > 0 {
		return l.recent
	}
	return d.low(class)
}

// exceedsTimeLeft reports whether a hold leaves too little time: the answer would come after the contract time or
// after the client's deadline. After the hold the request still waits for what is in flight to drain.
func (d *Door) tooLong(o *request, hold float64) bool {
	left := min(o.until, o.came+d.terms.Classes[o.class].Contract) - d.now
	return hold > 0 && hold+tailTimes*max(d.low(o.class), d.drain(o.class)) > left
}

// ---- Release and choice of backend ----

// release sends a held request once its hold is over, its units are acquired and a backend may have it.
func (d *Door) release(i int) {
	o := &d.ops[i]
	if d.now >= o.until-lastLook {
		d.giveUp(i, 0, gate.TimeUp)
		return
	}
	// The hold is recomputed at each tick. Holds fixed at arrival in a quiet moment would all end together, as a burst.
	if len(o.sends) == 0 && !o.granted {
		if holdLeft := o.came + d.hold(o) - d.now; d.tooLong(o, holdLeft) {
			d.giveUp(i, d.drain(o.class), gate.Pressed)
			return
		} else if holdLeft > 0 {
			return
		}
	}
	if !o.granted && d.crowded(o) {
		return
	}
	if len(o.sends) == 0 && !d.secure(i) {
		return
	}
	if b, anyEligible := d.pick(o); b >= 0 {
		d.send(i, b)
	} else if len(o.sends) > 0 && !anyEligible { // no listed backend may have it
		d.giveUp(i, d.drain(o.class), gate.Nowhere)
	}
}

// atConcurrencyLimit reports whether the customer has this door's share of its concurrent attempts in flight.
func (d *Door) crowded(o *request) bool {
	p, k := &d.terms.Plans[o.plan], &d.buckets[o.customer]
	return p.AtOnce > 0 && k.out >= max(1, int(math.Round(float64(p.AtOnce)*d.part(k))))
}

// subsetSize returns how many backends this door routes to: as many as it can visit often enough to keep a connection
// and fresh evidence; at a small site all of them. The subset starts at the door's position on a ring common to
// all doors, so it spreads them evenly, and the loss of a backend changes it by one at most.
func (d *Door) members() int {
	rate := d.fleet.sends * math.Exp((d.fleet.sendsAt-d.now)/finishSpan)
	return max(memberMin, int(rate*memberGap))
}

// pickBackend draws a backend at random by routing weight from this door's subset. One that is not eligible, or
// is ejected or full, is replaced by the next on the ring. An ejected backend whose probe is due comes first, for a
// request that can be repeated elsewhere. The second result reports whether any backend is eligible.
func (d *Door) pick(o *request) (b int, anyEligible bool) {
	f := &d.fleet
	firstAttempt := len(o.sends) == 0
	weights := make([]float64, len(f.up))
	remaining := d.members()
	for _, b := range f.order {
		if !d.allowed(o, b) {
			continue
		}
		if anyEligible = true; f.shunned(b, o.class) {
			if firstAttempt && d.trial(o, b) {
				return b, anyEligible
			}
			continue
		}
		weights[b] = d.room(b, o)
		for j := range o.sends { // prefer a backend that has not had the request
			if o.sends[j].backend == b {
				weights[b] *= sameOdds
				remaining++
			}
		}
		if weights[b] > 0 {
			if remaining--; remaining <= 0 {
				break
			}
		}
	}
	return d.dice.draw(weights), anyEligible
}

// routingWeight estimates a backend's free capacity: weight over latency ratio, reduced by the door's own attempts in
// flight and the reported queue, and multiplied by the probability that the backend works.
func (d *Door) room(b int, o *request) float64 {
	f := &d.fleet
	if d.now < f.fullUntil[b][o.plan] {
		return 0
	}
	c := f.against(b, o.class)
	healthy := 1 / (1 + math.Exp(max(c[0].doubt, c[1].doubt)-priorNats))
	load := (1 + f.queue[b]) * math.Pow(1+float64(f.out[b]), roomPower)
	return healthy * d.warmth(b) * f.size[b] / f.pace[b] / load
}

// eligible reports whether a request may go to a backend: it is listed and not draining, has cold budget left, and for
// a keyed request that may have run it lies in the same group and within the deduplication window.
func (d *Door) allowed(o *request, b int) bool {
	f, p := &d.fleet, &d.terms.Classes[o.class]
	if !f.up[b] || !d.coldRoom(o, b) {
		return false
	}
	for j := range o.sends {
		s := &o.sends[j]
		if s.proven {
			continue
		}
		switch {
		case p.Semantics == gate.NonIdempotent:
			return false
		case p.Semantics == gate.Idempotent:
		case d.now >= s.at+p.Window-repeatGap:
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
func (d *Door) by(o *request, attempt int) (by float64) {
	p := &d.terms.Classes[o.class]
	for j := range attempt {
		if s := &o.sends[j]; p.Semantics == gate.Keyed && !s.proven {
			by = cmp.Or(min(by, s.at+p.Window-repeatGap), s.at+p.Window-repeatGap)
		}
	}
	return by
}

// canRunAgain reports whether a request that may have run can be repeated at any backend.
func (d *Door) canRepeat(o *request) bool {
	p := &d.terms.Classes[o.class]
	return p.Semantics == gate.Idempotent || p.Semantics == gate.Keyed && p.Scope == gate.ScopeAll
}

// capacityShare returns a lower bound of a backend's warm capacity share during slow start, 0 to 1.
func (d *Door) warmth(b int) float64 {
	since := d.fleet.since[b]
	if since == 0 || d.terms.ColdFor == 0 {
		return 1
	}
	age := max(0, d.now-since) / d.terms.ColdFor
	return min(1, d.terms.ColdFrom+(1-d.terms.ColdFrom)*age)
}

// hasColdBudget limits what is sent to a cold backend, window by window, to this door's share of the load that would
// overload it, estimated from the work that warm backends of the same weight receive. A budget below one request is
// rounded up or down at random, so that the budgets of any number of doors add up.
func (d *Door) coldRoom(o *request, b int) bool {
	warm := d.warmth(b)
	if warm >= 1 {
		return true
	}
	f := &d.fleet
	if d.now >= f.coldUntil[b] {
		budget := coldShare * d.terms.FallMultiple * warm * d.warmRate(b) * d.terms.FallWindow / d.low(o.class)
		if budget == 0 { // no warm backend to compare with
			budget = coldBlind / float64(cmp.Or(d.doors, d.terms.Doors))
		}
		f.coldLeft[b], f.coldUntil[b] = int(budget+d.dice.roll()), d.now+d.terms.FallWindow
	}
	return f.coldLeft[b] > 0 && d.now > d.born+d.terms.FallWindow
}

// updateWarmWorkRate returns the rate of work that this door sends to a warm backend of b's weight; when none is warm, the
// last known rate. Without that, a fleet that has lost all its warm backends would get a budget by the number of doors.
func (d *Door) warmRate(b int) float64 {
	f := &d.fleet
	size := 0.0
	for c := range f.up {
		if f.up[c] && !f.against(c, 0)[1].judged && d.warmth(c) >= 1 {
			size += f.size[c]
		}
	}
	if size > 0 {
		f.warmRate = f.work * math.Exp((f.workAt-d.now)/workSpan) / workSpan / size
	}
	return f.warmRate * f.size[b]
}

// send adds an attempt at a backend; emitActions emits it.
func (d *Door) send(i, b int) {
	o, f := &d.ops[i], &d.fleet
	k := &d.buckets[o.customer]
	if len(o.sends) == 0 {
		d.draw(o)
	}
	o.held = false
	o.sends = append(o.sends, attempt{backend: b, at: d.now, wanted: true})
	o.out++
	k.out++
	f.out[b]++
	f.sends, f.sendsAt = f.sends*math.Exp((f.sendsAt-d.now)/finishSpan)+1/finishSpan, d.now
	d.out[o.class]++
	f.coldLeft[b]--
	if d.warmth(b) >= 1 {
		f.work = f.work*math.Exp((f.workAt-d.now)/workSpan) + d.low(o.class)
		f.workAt = d.now
		d.warmRate(b)
	}
	d.touch(i)
}

// ---- Outcomes ----

// handleAttemptEnded applies an attempt's result. A request without an answer and with attempts left is held again.
func (d *Door) ended(e gate.Ended) {
	o, f := &d.ops[e.Op], &d.fleet
	s := &o.sends[e.Attempt]
	k := &d.buckets[o.customer]
	s.ended, s.proven = true, e.Result.NeverRan()
	o.out--
	k.out--
	f.out[s.backend]--
	d.out[o.class]--
	d.refill(o.customer)
	if e.Units > 0 {
		k.repay(o, e.Units)
	}
	d.hear(k, e.Use)
	d.judge(o, s, e)
	if e.Over {
		o.want, o.given = answered, answered
	}
	d.touch(e.Op)
	if o.want != undecided || o.out > 0 {
		return
	}
	if o.held = len(o.sends) < d.terms.MaxAttempts; !o.held {
		d.giveUp(e.Op, d.drain(o.class), gate.Failed)
		return
	}
	d.differs(gate.NoFurther, func(w *gate.Terms) bool { return len(o.sends) >= w.MaxAttempts })
}

// giveUp ends a request at once: with a rejection where a retry by the client is harmless, else with a failure.
func (d *Door) giveUp(i int, retryAfter float64, cause gate.Cause) {
	o := &d.ops[i]
	o.why = cause
	for j := range o.sends {
		if !o.sends[j].proven && !d.canRepeat(o) {
			o.want, o.held = failed, false
			d.touch(i)
			return
		}
	}
	d.reject(i, retryAfter, cause)
}

// reject ends a request with a rejection that advises when to retry.
func (d *Door) reject(i int, retryAfter float64, cause gate.Cause) {
	o := &d.ops[i]
	d.buckets[o.customer].unpromise(o)
	o.want, o.held, o.retryAfter, o.why = rejected, false, min(retryAfter, d.terms.MaxRetryAfter), cause
	d.differs(gate.OtherAdvice, func(w *gate.Terms) bool {
		return min(retryAfter, w.MaxRetryAfter) != o.retryAfter
	})
	d.differs(gate.SentBeyond, func(w *gate.Terms) bool {
		return (cause == gate.OverPart || cause == gate.OverQuota) && d.welcome(w, o)
	})
	d.touch(i)
}

// recordResult applies an attempt's result to its backend's sequential test. A working backend answers at the expected
// rate; a broken one fails, or answers at a small share of that rate. Answers remove evidence, failures and silence
// (in tick) add it. It also updates latency, queue length and backoff.
func (d *Door) judge(o *request, s *attempt, e gate.Ended) {
	f, b := &d.fleet, s.backend
	switch e.Result {
	case gate.Finished:
		if e.Queue >= 0 {
			f.queue[b] += queueWeight * (e.Queue - f.queue[b])
		}
		d.answeredAt = d.now
		f.fullGap[b][o.plan] /= 2
		for _, c := range f.against(b, o.class) {
			c.doubt = max(0, c.doubt+math.Log(silentRate))
			c.judged = c.judged && c.doubt >= priorNats
		}
		f.pace[b] = max(0.1, f.pace[b]+paceWeight*(e.Latency/d.recent(o.class)-f.pace[b]))
		d.sample(o.class, min(e.Latency, d.terms.Classes[o.class].Contract))
	case gate.Full:
		// A backend may refuse a single plan, so the backoff is kept per plan. A refusal is also a sign of overload and
		// counts as a latency sample of the contract time, since a refused request has no latency of its own.
		f.fullGap[b][o.plan] = min(trialMost, max(fullRest, 2*f.fullGap[b][o.plan]))
		f.fullUntil[b][o.plan] = d.now + f.fullGap[b][o.plan]
		l := &d.lat[o.class]
		l.recent += smoothing * (d.terms.Classes[o.class].Contract - l.recent)
	case gate.TimedOut, gate.Cancelled:
		// Only a lower bound of the latency is known. Where clients leave an overloaded fleet unanswered, the remaining
		// answers are the fast ones. Lost answers are partly counted in as well, below the margin.
		if l := &d.lat[o.class]; e.Latency > l.recent && (!f.shunned(b, o.class) || d.mute(o.class)) {
			l.recent += smoothing * (min(e.Latency, d.terms.Classes[o.class].Contract) - l.recent)
		}
	case gate.Errored, gate.Unreachable, gate.Reset, gate.Spoilt:
		d.doubt(b, o.class, failNats)
	}
}

// addEvidence adds evidence against a backend, as a whole and for one class: a backend may leave a single class
// unanswered, which answers to other classes must not hide. Where too many backends would be ejected at once, the
// whole fleet has the problem, and ejecting more would only overload the rest.
func (d *Door) doubt(b, class int, nats float64) {
	f := &d.fleet
	for i, c := range f.against(b, class) {
		c.doubt = min(c.doubt+nats, judgeAt)
		if c.doubt == judgeAt && !c.judged && f.judgedWith(i == 0, class) <= mostJudged {
			*c = suspicion{doubt: c.doubt, judged: true, trialAt: d.now + trialFirst, trialGap: trialFirst}
		}
	}
}

// claimProbe reports whether a request is the due ejection probe of a backend, and schedules the next one. A request
// that must not run twice never probes a backend ejected as a whole.
func (d *Door) trial(o *request, b int) bool {
	cs := d.fleet.against(b, o.class)
	if cs[1].judged && !d.canRepeat(o) {
		return false
	}
	for _, c := range cs {
		if c.judged && d.now < c.trialAt {
			return false
		}
	}
	for _, c := range cs {
		c.trialAt, c.trialGap = d.now+c.trialGap, min(trialMost, 2*c.trialGap)
	}
	return true
}

// recordLatency adds the latency of a finished attempt to its class's statistics. The baseline falls at once and rises
// slowly, so that a lasting change to slower requests does not cause holds for ever.
func (d *Door) sample(class int, ms float64) {
	l := &d.lat[class]
	l.samples++
	l.spread += max(smoothing, 1/float64(l.samples)) * (math.Abs(ms-l.recent) - l.spread)
	l.recent += max(smoothing, 1/float64(l.samples)) * (ms - l.recent)
	l.rate = l.rate*math.Exp((l.lowAt-d.now)/finishSpan) + 1/finishSpan
	known := max(1-math.Exp((d.born-d.now)/finishSpan), leastKnown)
	drift := 1 - math.Exp((l.lowAt-d.now)/lowDrift)
	l.best = max(l.rate/known, l.best*math.Exp((l.lowAt-d.now)/bestDrift))
	if l.low += (l.recent - l.low) * drift; l.samples <= lowAfter || l.low > l.recent {
		l.low = l.recent
	}
	l.lowAt = d.now
}

// ---- Time ----

// tick applies the passage of time to the requests that are held or in flight.
func (d *Door) tick() {
	dt := d.now - d.ticked
	d.ticked = d.now
	d.look()
	for p := range d.lat {
		l := &d.lat[p]
		l.flight += (float64(d.out[p]) - l.flight) * (1 - math.Exp(-dt/flightSpan))
	}
	keep := d.live[:0]
	for _, i := range d.live {
		o := &d.ops[i]
		for j := range o.sends {
			if s := &o.sends[j]; s.out() {
				slow := max(1, d.fleet.pace[s.backend]) / d.warmth(s.backend)
				d.doubt(s.backend, o.class, (1-silentRate)*dt/(max(1, d.recent(o.class))*slow))
			}
		}
		if o.want == undecided && o.held {
			d.release(i)
		} else if o.want == undecided {
			d.rescue(i)
		}
		if o.want == undecided || o.out > 0 {
			keep = append(keep, i)
		} else {
			d.buckets[o.customer].open--
		}
	}
	d.live = keep
	if d.now-d.swept >= sweepEvery {
		d.swept = d.now
		d.forget()
		d.delist()
	}
}

// updateExcessAge sums by how much attempts in flight are older than the smoothed latency. One past the contract time is
// late already and not counted: where answers are lost it would look like backlog until the client leaves. Attempts
// at an ejected backend are not counted either: one silent backend does not mean an overloaded fleet.
func (d *Door) look() {
	for p := range d.lat {
		d.lat[p].late, d.lat[p].overdue = 0, 0
	}
	for _, i := range d.live {
		o := &d.ops[i]
		l := &d.lat[o.class]
		for j := range o.sends {
			s := &o.sends[j]
			if age := d.now - s.at; s.out() && age > d.terms.Classes[o.class].Contract {
				if l.late++; d.mute(o.class) {
					l.overdue += d.terms.Classes[o.class].Contract
				}
			} else if s.out() && !d.fleet.shunned(s.backend, o.class) {
				l.overdue += max(0, age-d.smoothed(o.class))
			}
		}
	}
}

// hedgeOrGiveUp gives up late requests on an overloaded fleet, and hedges those waiting at an ejected backend (silent,
// stalled, or in a lost zone). Slowness of the whole fleet causes no hedge: expected latency grows with it.
func (d *Door) rescue(i int) {
	o := &d.ops[i]
	p := &d.terms.Classes[o.class]
	// A request that can no longer meet its contract time must not displace those that can. Otherwise a fleet that has
	// fallen behind keeps working on late requests for as long as clients wait.
	if d.now > o.came+p.Contract && p.LateValue < lateLeast && !o.streaming && d.hold(o) > 0 {
		d.giveUp(i, d.drain(o.class), gate.Late)
		return
	}
	if o.streaming || o.out != 1 || len(o.sends) >= d.terms.MaxAttempts || !d.terms.Hedging {
		return
	}
	s := &o.sends[len(o.sends)-1]
	if s.out() && d.fleet.shunned(s.backend, o.class) && d.now-s.at > rescueAt*d.recent(o.class) {
		if b, _ := d.pick(o); b >= 0 && b != s.backend {
			d.send(i, b)
			d.differs(gate.NoCopy, func(w *gate.Terms) bool { return !w.Hedging })
		}
	}
}

// ---- Emission of actions ----

// emitActions emits the difference between the wanted and the present state of all requests that changed.
func (d *Door) settle() {
	if d.ask && d.now >= d.askAt {
		d.ask = false
		d.actions = append(d.actions, gate.Track{})
	}
	for _, i := range d.changed {
		o := &d.ops[i]
		o.queued = false
		for j := range o.sends {
			s := &o.sends[j]
			s.wanted = s.wanted && o.want == undecided
			if s.wanted && !s.sent {
				s.sent = true
				d.actions = append(d.actions, gate.Send{Op: i, Backend: s.backend, By: d.by(o, j)})
			}
			if !s.wanted && s.out() && !s.dropped && d.terms.MayCancel {
				s.dropped = true
				d.actions = append(d.actions, gate.Cancel{Op: i, Attempt: j})
			}
		}
		if o.given == undecided && o.want != undecided {
			if o.given = o.want; o.want == rejected {
				d.actions = append(d.actions, gate.Reject{Op: i, RetryAfter: o.retryAfter, Why: o.why})
			} else {
				d.actions = append(d.actions, gate.Fail{Op: i, Why: o.why})
			}
		}
	}
	d.changed = d.changed[:0]
	d.actions = append(d.actions, d.calls...)
	d.calls = d.calls[:0]
	d.actions = append(d.actions, d.forgets...)
	d.forgets = d.forgets[:0]
	if (len(d.live) > 0 || d.ask) && !d.bell {
		d.bell = true
		d.actions = append(d.actions, gate.Wake{At: d.now + tickEvery})
	}
}
