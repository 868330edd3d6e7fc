// Package policy decides for one door of an admission gateway: which requests are held, sent, sent
// again, rejected or failed, and to which backend they go.
// A carrier calls New once with the door's terms and seed, then Decide for each batch of events, with the
// clock, and carries out the actions in order. Events, actions and terms are in package gate; the plain
// state types are in state.go. The same events always give the same actions.
// To read it: Decide takes the events in, each changing what is wanted of a request (held, out, ended);
// tick lets time act; settle emits the difference. The ordinary path is arrive, release (hold over, units
// secured) and pick (draw of a backend). docs/design.md tells what comes from where, and each exception.
package policy

import (
	"cmp"
	"math"

	"github.com/swifthall/swifthall/gate"
)

const (
	// The delay controller.
	alpha       = 6.0  // finish intervals of hold for each request of backlog; rejects near the contract time
	marginShare = 0.2  // share of the contract time that latency may exceed its low by without any hold
	tailTimes   = 5.0  // drains that a held request must have left: slow ones take far more than the mean
	chance      = 1.0  // deviations of what is in flight (Poisson) or of a mean latency that count as chance
	smoothing   = 0.06 // weight of a new latency; some 16 samples: a second of a class, ten at a door of few
	lowAfter    = 16   // samples after which the smoothed latency may set a low; those that smoothing remembers
	finishSpan  = 5e3  // ms over which the rate of finishing is averaged; some dozens of requests of a class
	leastKnown  = 0.1  // least share of finishSpan that a rate is taken to be averaged over, after a start
	bestDrift   = 20e3 // ms in which a best rate gives way after part of the fleet is lost
	lowDrift    = 60e3 // ms in which a low or a best rate gives way to a lastingly heavier mix
	lowMost     = 0.3  // most that a low may be, of the contract time: it may be learnt under pressure
	firstGuess  = 0.1  // latency before any sample, as a share of the contract time
	flightSpan  = 1e3  // ms over which what is in flight is averaged; some latencies of a pressed fleet
	tickEvery   = 20.0 // ms between looks at what waits; small beside every contract time

	// Quotas.
	demandSpan  = 4e3  // ms over which demand is averaged; a few requests of a middling customer
	priorDemand = 0.25 // share of the rate's worth of evidence that the even slice counts for
	trimOver    = 2.0  // meter periods in which parts are trimmed to the quota; the meter's word is one old
	trimLeast   = 0.2  // least that a part is cut to, of itself
	heardFor    = 15e3 // ms that a word of others' use is believed
	wordFresh   = 2.0  // meter periods in which a word tells the store: it comes a period late at most
	storeLeast  = 0.7  // share of the depth the meter's store keeps after what a thin part cannot hold
	idleDrop    = 60e3 // ms after which an idle bucket is dropped (design page),
	idleFull    = 15e3 // and one that is full again; others' use is no longer known by then
	sweepEvery  = 1e3  // ms between looks for idle buckets; there may be thousands
	countLump   = 0.5  // of a door's even slice of the room last seen on the counter, that one call asks for
	easyLevel   = 0.6  // share of its depth left at this door over which a customer is counted with a later call
	countGain   = 0.03 // by which the share of calls made grows with each answer,
	countCut    = 0.7  // and what is left of it after a call without one: a few calls in a hundred fail
	countAll    = 0.4  // share of calls under which a miss has them saved for customers whose part is small,
	countLeast  = 0.05 // least of that share
	crowdedFor  = 20e3 // for this time, ms; shorter, calls came back in waves that crowded it again
	awayAfter   = 8    // calls in a row without a word: the counter was away, as a crowded one answers some
	askFor      = 120. // ms in which a call that is answered at all is answered; a few ways there and back
	takeOver    = 4e3  // ms in which parts of doors that are gone pass to others of a set; as demand is averaged
	heldWeight  = 0.01 // weight of one more request in the share that meets a hold; a hundred of them
	openUnder   = 0.08 // share of requests that may meet a hold while one goes beyond its quota
	debtShare   = 0.2  // share of its depth, times the doors of its set, that a charge may put a bucket in debt

	// Health of backends.
	silentRate  = 0.1 // a broken backend answers at this share of the expected rate
	failNats    = 3.0 // evidence in one failed attempt: some 20 times likelier of a broken backend
	judgeAt     = 6.0 // nats that end the test: one false verdict in some 400 stretches of work
	priorNats   = 3.0 // nats at which a backend is as likely broken as well; its odds are halved there
	trialFirst  = 1e3 // ms from the verdict to the first trial
	trialMost   = 8e3 // ms between trials at most
	paceWeight  = 0.1 // weight of a new latency in a backend's pace; some 10 samples
	queueWeight = 0.5 // weight of a new report of what waits at a backend; it comes once in a second or two
	mostJudged  = 0.6 // share of the listed backends that may stand judged; more is the fleet's trouble
	rescueAt    = 1.5 // expected latencies after which a request on a judged backend is sent elsewhere
	lateLeast   = 0.5 // share of its gain that a late answer must earn to be waited for on a pressed fleet
	fullRest    = 1e3 // ms a backend that turned a plan's work away is left alone by it, next time twice that

	// The guards that the rules need.
	coldShare = 0.8  // share of a cold backend's budget that the doors use; the rest is for chance
	coldBlind = 2.0  // requests that the doors together send a cold backend in a window, knowing no warm one
	workSpan  = 10e3 // ms over which work sent to a backend is averaged
	repeatGap = 50.  // ms before a group may forget a key within which no repeat begins: a door may stop for so long unseen
	sameOdds  = 1e-3 // odds left to a backend that has had the request, where there is another
	memberGap = 1e3  // ms between requests to one member: idle connections are closed, evidence ages
	memberMin = 8    // members at least; as many as may fail at once and leave some
	roomPower = 3.0  // how fast thought room falls with own work out; less leaves queues at some and others idle
	askRest   = 1e3  // ms between calls for the fleet list after one failed
	lastLook  = 25.0 // ms before the client's wait ends at which a held request gets its answer; over a tick
)

// New returns the decisions of a door that has just started and knows nothing.
func New(t gate.Terms, seed uint64) *Door {
	return &Door{terms: t, dice: newDice(seed), ask: t.MustSubscribe, lat: make([]latency, len(t.Classes)),
		out: make([]int, len(t.Classes)), born: -1,
		calling: 1, before: 1, cutAt: math.Inf(-1), crowdedAt: math.Inf(-1),
		fleet: fleet{cases: make([][]suspicion, len(t.Classes)+1)}}
}

// Decide takes in one batch and returns what is to be done.
func (d *Door) Decide(now float64, events []gate.Event) []gate.Action {
	d.now, d.actions = now, d.actions[:0]
	if d.born < 0 {
		d.born, d.ticked = now, now
	}
	for _, e := range events {
		switch e := e.(type) {
		case gate.FleetUpdate:
			d.list(e)
		case gate.DoorsUpdate:
			d.here, d.doors = append(d.here[:0], e.Present...), e.PresentCount
		case gate.Request:
			d.arrive(e)
		case gate.AttemptEnded:
			d.ended(e)
		case gate.Streaming:
			d.ops[e.Op].streaming = true
		case gate.Counted:
			d.counted(e)
		case gate.ShuttingDown:
			d.endBy(e.Deadline)
		case gate.TimerFired:
			d.bell = false // not judged by the clock: a carrier may round the time asked for
		case gate.ClientGone:
			d.ops[e.Op].want, d.ops[e.Op].given = answered, answered
			d.buckets[d.ops[e.Op].customer].unpromise(&d.ops[e.Op])
			d.touch(e.Op)
		}
	}
	d.tick()
	d.settle()
	return d.actions
}

// ---- The fleet list ----

// list keeps up with the fleet. A backend that drains, is gone or is missing gets nothing new at once.
func (d *Door) list(e gate.FleetUpdate) {
	f := &d.fleet
	if e.Failed {
		d.ask, d.askAt = d.terms.MustSubscribe, d.now+askRest // a list service that fails is not helped by haste
		return
	}
	if e.Complete {
		clear(f.up)
		copy(f.gone, f.known)
	}
	for _, n := range e.Entries {
		f.grow(n.Backend+1, len(d.terms.Plans))
		b := n.Backend
		f.mark[b] = n.RingPosition
		f.up[b], f.zone[b], f.cell[b] = n.Status == gate.Up, n.Zone, n.Cell
		f.gone[b] = n.Status == gate.Gone
		if !f.known[b] || n.StartedAt != f.since[b] { // a new process: nothing held against the old one counts
			f.renew(b, n.StartedAt)
		}
		f.size[b] = cmp.Or(n.Weight, f.size[b])
	}
	// The doors begin at places of their own on one common ring, spread as evenly as numbers can be.
	_, place := math.Modf(float64(d.terms.DoorNumber) * math.Phi)
	f.rank(place)
}

// ---- Arrival: quota first, then the hold ----

func (d *Door) arrive(e gate.Request) {
	d.ops = grown(d.ops, e.Op)
	o := &d.ops[e.Op]
	*o = request{class: e.Class, plan: e.Plan, customer: e.Customer, units: e.Units,
		came: d.now, until: d.bounded(d.now + e.TTL), repeat: e.ClientRetry, sends: o.sends[:0]}
	d.live = append(d.live, e.Op)
	d.taken++
	k := d.fill(e.Customer, e.Plan, e.FirstDoor, e.Spread)
	k.demand += o.units / demandSpan
	k.phase = e.Phase
	k.open++
	hold, met := d.hold(o), 0.0
	if hold > 0 {
		met = 1
	}
	d.usualGain += max(smoothing, 1/float64(d.taken)) * (d.gain(o) - d.usualGain)
	d.pressed += heldWeight * (met - d.pressed)
	local, wait, why := !d.counts(k), 0.0, gate.OverQuota
	charged := true
	if local {
		if wait, why = d.shortfall(k, o.units); wait > 0 && d.welcome(&d.terms, o) {
			wait, charged = 0, false
		}
	} else if o.units >= k.barredUnits {
		wait = k.barred - d.now
	}
	if wait > 0 {
		d.reject(e.Op, wait, why)
		return
	}
	if local {
		d.promise(k, o, charged)
	}
	if d.tooLong(o, hold) {
		d.reject(e.Op, d.drain(o.class), gate.Overloaded)
	} else {
		o.held = true
	}
}

// fill brings a customer's bucket up to the clock. The ceiling's slice is empty when the door is born: it
// does not know what its former life sent, and slices that only fill add up to the ceiling.
func (d *Door) fill(customer, plan, first, spread int) *bucket {
	d.buckets = grown(d.buckets, customer)
	k, p := &d.buckets[customer], &d.terms.Plans[plan]
	k.of(plan, first, max(1, spread), p.Depth, d.now, d.born)
	dt := d.now - k.filled
	k.filled = d.now
	k.set += (d.ofSet(k) - k.set) * (1 - math.Exp(-dt/takeOver))
	k.level = min(p.Depth, k.level+p.Rate*dt)
	part := 1 / float64(k.spread) // what is granted is sent later, when it would have filled up: it holds less
	most := p.CeilingDepth - 2*askFor*p.CeilingRate
	k.ceiling = min(most*part, k.ceiling+p.CeilingRate*dt*part)
	k.demand *= math.Exp(-dt / demandSpan)
	k.sent *= math.Exp(-dt / demandSpan)
	return k
}

// ofSet is how many of a customer's doors are here. Parts of those that are not pass to the others little by
// little. Only parts of the quota do: slices of the ceiling stay, as two doors may each think the other gone.
func (d *Door) ofSet(k *bucket) float64 {
	n := k.spread
	for i := k.first; len(d.here) > 0 && i < k.first+k.spread; i++ {
		if at := i % max(1, d.terms.Doors); at < len(d.here) && !d.here[at] && at != d.terms.DoorNumber {
			n--
		}
	}
	return float64(max(1, n))
}

// part is this door's part of the customer's recent demand: local demand over local demand plus others'
// metered use, drawn to the even slice by a little prior weight, and wholly when nothing is heard.
func (d *Door) part(k *bucket) float64 {
	even := 1 / k.set
	if d.now-k.heard > heardFor {
		return k.trim * even
	}
	prior := priorDemand * d.terms.Plans[k.plan].Rate
	return k.trim * min(1, (k.demand+prior*even)/(k.demand+k.others+prior))
}

// shortfall tells how long the customer's quota or ceiling keeps the request out, in ms; 0 lets it in.
// The bucket is written in units of the whole quota: a charge of units/part against a fill at the whole
// rate is the design's charge of units against a fill at rate x part.
func (d *Door) shortfall(k *bucket, units float64) (wait float64, why gate.Cause) {
	quota, ceiling := d.quotaWait(k, units), d.ceilingWait(k, units)
	if ceiling > quota {
		return ceiling, gate.AtCeiling
	}
	return quota, gate.OverQuotaShare
}

func (d *Door) quotaWait(k *bucket, units float64) float64 {
	if rate := d.terms.Plans[k.plan].Rate; rate > 0 {
		return max(0, units+k.promised-k.level) / rate
	}
	return 0
}

func (d *Door) ceilingWait(k *bucket, units float64) float64 {
	if rate := d.terms.Plans[k.plan].CeilingRate / float64(k.spread); rate > 0 {
		return max(0, units+k.promisedUnits-k.ceiling) / rate
	}
	return 0
}

// promise sets a request's units aside while it is held, and draw takes them when it is first sent. Taken
// at arrival they would fill up again during the hold, and a long hold's end would pass the ceiling.
func (d *Door) promise(k *bucket, o *request, charged bool) {
	o.promised = true
	if o.charge = 0; charged {
		o.charge = min(o.units/d.part(k), max(o.units, k.level-k.promised+
			debtShare*float64(k.spread)*d.terms.Plans[k.plan].Depth))
	}
	k.promised += o.charge
	k.promisedUnits += o.units
}

func (d *Door) draw(o *request) {
	k := d.refill(o.customer)
	if o.promised {
		d.buckets[o.customer].unpromise(o)
		k.level -= o.charge
		k.ceiling -= o.units
	}
	k.sent += o.units / demandSpan
}

// repay puts a request's true units in the place of the guess that it was charged by; the counter gets the
// difference with the next call.
func (k *bucket) repay(o *request, units float64) {
	more := units - o.units
	k.level -= more * o.charge / o.units
	k.sent += more / demandSpan
	k.count.owed += more
}

// secure gets a request its units, from counter or own part, and tells whether it has them.
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
	wait, why := d.shortfall(k, o.units)
	metered := wait > 0 && why == gate.OverQuotaShare && d.ceilingWait(k, o.units) == 0 && d.metered(k, o.units)
	if metered {
		wait = 0
	}
	if wait > 0 {
		d.giveUp(i, wait, why)
	} else {
		d.promise(k, o, !metered)
	}
	return wait == 0
}

// welcome tells whether a request beyond its customer's quota is sent all the same: where its plan earns
// more by that than it costs, its ceiling holds it, and the fleet is not pressed. The quota is not charged.
func (d *Door) welcome(t *gate.Terms, o *request) bool {
	return d.pays(t, o.plan) && d.ceilingWait(&d.buckets[o.customer], o.units) == 0
}

// pays tells whether what is sent beyond a plan's quota earns more than it costs, on a fleet not pressed.
func (d *Door) pays(t *gate.Terms, plan int) bool {
	p := &t.Plans[plan]
	return p.OverQuotaGain > p.OverQuotaCost && d.pressed < openUnder
}

// CompareWith has the door tell where it would have decided otherwise under other terms, of the same classes and
// plans. It decides by its own as before.
func (d *Door) CompareWith(t *gate.Terms) { d.watch = t }

// differs compares one decision with what the terms under watch would make of it.
func (d *Door) differs(kind gate.Difference, otherwise func(w *gate.Terms) bool) {
	if d.watch != nil && otherwise(d.watch) {
		d.actions = append(d.actions, gate.Differs{Kind: kind})
	}
}

// metered tells whether the meter's fresh word leaves most of the customer's whole store after the request:
// then a part too thin to hold it, as at a door of many that sees the customer seldom, keeps nothing out.
// What is let in so is taken from the word, so that one word lets in no more than the store held.
func (d *Door) metered(k *bucket, units float64) bool {
	fresh := d.now-k.heard < wordFresh*d.terms.MeterPeriod
	if !fresh || k.store-units <= storeLeast*d.terms.Plans[k.plan].Depth {
		return false
	}
	k.store -= units
	return true
}

// Where there is a shared counter, each customer has a number on it for each window, the time in which its
// quota fills the whole depth. The doors may add to it the level at its beginning, and what refills since.
// A crowded counter is called for fewer requests; others go by part.

func (d *Door) counts(k *bucket) bool {
	return d.terms.Counter && d.terms.Plans[k.plan].Rate > 0 && !d.pays(&d.terms, k.plan)
}

// window numbers a customer's windows, which turn at a time of its own, and tells what is left of this one.
func (d *Door) window(k *bucket) (n int64, left float64) {
	span := d.terms.Plans[k.plan].Depth / d.terms.Plans[k.plan].Rate
	at := d.now/span + k.phase
	n = int64(at)
	return n, (float64(n+1) - at) * span
}

// count takes units from what the counter has granted this door, or calls for more, and tells the wait in ms.
func (d *Door) count(o *request, k *bucket) (wait float64) {
	c, p := &k.count, &d.terms.Plans[k.plan]
	n, left := d.window(k)
	if c.window == n-1 { // else others may have emptied it unseen
		turn := d.now + left - p.Depth/p.Rate
		level := min(p.Depth, max(0, c.room)-c.owed+(p.Rate-min(p.Rate, k.others))*(turn-c.seen))
		*c = counting{window: n, fill: p.Rate, before: level, room: level, seen: turn}
	} else if c.window != n {
		*c = counting{window: n, fill: p.Rate / float64(k.spread), before: p.Depth}
	}
	dense := p.Depth >= k.set*o.units // its part holds it
	switch {
	case c.granted >= o.units:
		if wait = d.ceilingWait(k, o.units); wait == 0 {
			c.granted -= o.units
			o.granted = true
			d.promise(k, o, true) // its part stays true for when the counter is crowded
		}
	case c.calling:
	case d.terms.MeterPeriod > 0 && k.level-k.promised-o.units/d.part(k) > easyLevel*p.Depth:
		o.uncounted = true
		c.owed += o.units
	case d.now < k.barred && o.units >= k.barredUnits:
		return k.barred - d.now
	case d.now < c.rest || !d.called(o) || d.now < d.crowdedAt+crowdedFor && (o.repeat || dense):
		if o.uncounted = true; o.repeat && !dense { // a storm of repeats is not let past the counter that it crowds
			return left
		}
	default:
		c.calling, c.least = true, o.units
		d.differs(gate.NotCounted, func(w *gate.Terms) bool { return d.pays(w, k.plan) })
		// Crowded, fewer and larger; but no more than this door's demand takes in the window's rest: the lumps of
		// doors that see the customer seldom are counted at all and used at none.
		lump := min(1, countLump/d.calling) * c.room / float64(k.spread)
		c.asked = max(o.units, min(lump, k.demand*left))
		d.calls = append(d.calls, gate.Count{Customer: o.customer, Epoch: n, Add: c.asked + c.owed - c.back,
			TTL: left + askFor})
		c.owed = 0
	}
	return wait
}

// called tells whether the counter is to be called for a request. A crowded one is, sooner for what earns
// more: where it bears some of the calls only, what it does not hear of should be what matters least.
func (d *Door) called(o *request) bool {
	rank := 1.0
	if gain := d.gain(o); gain > 0 {
		rank = d.usualGain / gain
	}
	return d.dice.roll() <= math.Pow(d.calling, rank*rank)
}

func (d *Door) gain(o *request) float64 {
	return d.terms.Classes[o.class].Gain * d.terms.Plans[o.plan].Price * o.units
}

// counted takes a call's answer.
func (d *Door) counted(e gate.Counted) {
	k := d.refill(e.Customer)
	c, p := &k.count, &d.terms.Plans[k.plan]
	if e.Epoch != c.window {
		return
	}
	c.calling = false
	if e.Result != gate.Finished {
		if d.now >= d.cutAt+askFor && e.Result != gate.Malformed { // what was called together is one crowd
			if d.calling, d.cutAt = max(countLeast, countCut*d.calling), d.now; d.calling < countAll {
				d.crowdedAt = d.now
			}
		}
		if d.misses++; e.Result == gate.Full { // it is there
			d.misses = 0
		}
		if !e.Result.NeverRan() { // a crowded counter works on calls that nobody waits for
			c.back = c.asked
		}
		c.rest = d.now + tickEvery // what waits for this call goes by part
		return
	}
	if d.misses >= awayAfter {
		d.calling, d.crowdedAt = d.before, math.Inf(-1)
	}
	d.calling, d.misses = min(1, d.calling+countGain), 0
	d.before = d.calling
	_, left := d.window(k)
	// What refills is let in as it does: at once it would pass the store, at the next window's turn stay unused.
	c.room, c.seen = c.before+c.fill*(p.Depth/p.Rate-left)-e.Total, d.now
	c.spilt = max(c.spilt, c.room+c.asked-p.Depth)
	c.room -= c.spilt
	room := max(0, min(c.asked, c.room+c.asked))
	c.back = c.asked - room
	c.room += c.back
	if c.granted += room; c.granted < c.least { // what is too little stays here for smaller ones
		k.barred, k.barredUnits = d.now+min(left, (c.least-c.granted)/c.fill), c.least
	}
}

// hear takes in the meter's word on a customer, less what this door sent of late: the rest is the others'.
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
	o := max(0, use*p.Rate-k.sent)
	k.others += (o - k.others) * min(1, (d.now-k.heard)/d.terms.MeterPeriod)
	k.heard = d.now
}

// hold is alpha x the backlog estimate of the request's class: requests in flight times the fraction by
// which recent latency exceeds its recent low, above a margin set from the contract time. Alpha counts in the
// intervals at which this door finishes requests of the class at its recent best: the hold is the time in
// which the backlog drains, whatever the traffic. The latest latency or rate would not do: once all were
// rejected, no sample would ever lower the estimate again.
func (d *Door) hold(o *request) float64 {
	contract := d.terms.Classes[o.class].Contract
	low, l := d.low(o.class), &d.lat[o.class]
	margin := marginShare*contract + chance*l.spread/math.Sqrt(max(1, min(float64(l.samples), 2/smoothing)))
	excess := max(0, d.recent(o.class)-low-margin) / low
	// Hundreds of doors press a fleet with less than one request each: what was in flight of late counts, as
	// nothing is out at most looks.
	flight := min(1, l.flight) * math.Exp((d.ticked-d.now)/flightSpan)
	hold := alpha * excess * max(d.drain(o.class), flight/d.best(o.class))
	if hold < tickEvery { // none: what fades never ends
		return 0
	}
	return hold
}

// low is a class's recent low, or a guess until the smoothed latency means something: the first few samples
// can be far under any true low, and would make all that follows look like backlog.
func (d *Door) low(class int) float64 {
	contract := d.terms.Classes[class].Contract
	if l := &d.lat[class]; l.samples >= lowAfter {
		return min(l.low, lowMost*contract)
	}
	return firstGuess * contract
}

// drain is the time in which a class's requests in flight finish at the recent best rate, ms; with too
// few samples to know a rate, one a low. What is in flight by chance is no backlog, and nothing in flight is
// none: a door of few requests whose first samples were slow would else reject all, and never have another.
func (d *Door) drain(class int) float64 {
	l := &d.lat[class]
	n := float64(d.out[class])
	contract := d.terms.Classes[class].Contract
	if l.recent < l.low+marginShare*contract && !d.mute(class) {
		n = max(0, n-float64(l.late)) // what does come back is fast: these are lost
	}
	all := 0
	for _, out := range d.out {
		all += out
	}
	return n * (1 - min(1, chance/math.Sqrt(max(1, float64(all))))) / d.best(class)
}

// best is the rate at which this door finishes a class's requests at its recent best, requests per ms.
func (d *Door) best(class int) float64 {
	if l := &d.lat[class]; l.samples >= lowAfter {
		return l.best
	}
	return 1 / d.low(class)
}

// mute tells whether the whole fleet has been silent for longer than an answer may take. Then what is out is
// no matter of single backends or lost answers.
func (d *Door) mute(class int) bool { return d.now > d.answeredAt+d.terms.Classes[class].Contract }

// recent is a class's recent latency. Silence gives no sample, so what is out longer than that adds its
// excess, as one sample among those that the smoothing remembers.
// A latency is seen only once it has passed: what is in flight will take its drain at least (Little's law),
// and without that a surge is let in whole before its first slow answer.
func (d *Door) recent(class int) float64 {
	return max(d.smoothed(class)+smoothing*d.lat[class].overdue, d.drain(class))
}

func (d *Door) smoothed(class int) float64 {
	if l := &d.lat[class]; l.samples > 0 {
		return l.recent
	}
	return d.low(class)
}

// tooLong tells whether a hold eats the time left: the answer would come after the contract time, or
// after the client has gone. Behind the hold the request waits for what is in flight to drain.
func (d *Door) tooLong(o *request, hold float64) bool {
	left := min(o.until, o.came+d.terms.Classes[o.class].Contract) - d.now
	return hold > 0 && hold+tailTimes*max(d.low(o.class), d.drain(o.class)) > left
}

// ---- Release and choice of backend ----

// release looks at a held request: it goes out when its hold is over and a backend has room.
func (d *Door) release(i int) {
	o := &d.ops[i]
	if d.now >= o.until-lastLook {
		d.giveUp(i, 0, gate.DeadlineNear)
		return
	}
	// Fixed at arrival, holds given in a quiet moment would all end in the same later one, in a wave.
	if len(o.sends) == 0 && !o.granted {
		if rest := o.came + d.hold(o) - d.now; d.tooLong(o, rest) {
			d.giveUp(i, d.drain(o.class), gate.Overloaded)
			return
		} else if rest > 0 {
			return
		}
	}
	if !o.granted && d.crowded(o) {
		return
	}
	if len(o.sends) == 0 && !d.secure(i) {
		return
	}
	if b, any := d.pick(o); b >= 0 {
		d.send(i, b)
	} else if len(o.sends) > 0 && !any { // nothing listed may have it
		d.giveUp(i, d.drain(o.class), gate.NoBackend)
	}
}

// crowded holds a request whose customer has this door's part of the attempts allowed at once out.
func (d *Door) crowded(o *request) bool {
	p, k := &d.terms.Plans[o.plan], &d.buckets[o.customer]
	return p.MaxConcurrent > 0 && k.out >= max(1, int(math.Round(float64(p.MaxConcurrent)*d.part(k))))
}

// members is how many backends this door keeps to: so many that it comes to each often enough to keep a
// connection and know it. At a small site that is all of them. Who they are is told by the door's place on
// the ring, so that the doors spread evenly; one that is lost moves a stretch by one at most.
func (d *Door) members() int {
	rate := d.fleet.sends * math.Exp((d.fleet.sendsAt-d.now)/finishSpan)
	return max(memberMin, int(rate*memberGap))
}

// pick draws a backend with odds in step with thought room, among this door's members; one that may not have
// the request, or is judged or full, is stood in for by the next. A judged backend whose trial is due comes
// first, for a request that can be sent again elsewhere. It also tells whether any may have the request.
func (d *Door) pick(o *request) (b int, any bool) {
	f := &d.fleet
	fresh := len(o.sends) == 0
	odds := make([]float64, len(f.up))
	left := d.members()
	for _, b := range f.order {
		if !d.allowed(o, b) {
			continue
		}
		if any = true; f.shunned(b, o.class) {
			if fresh && d.trial(o, b) {
				return b, any
			}
			continue
		}
		odds[b] = d.room(b, o)
		for j := range o.sends { // another backend than one that already had it, where there is one
			if o.sends[j].backend == b {
				odds[b] *= sameOdds
				left++
			}
		}
		if odds[b] > 0 {
			if left--; left <= 0 {
				break
			}
		}
	}
	return d.dice.draw(odds), any
}

// room is what a backend is thought to have free: size and pace, less for own work out and for what it says
// that it has waiting, if it works at all.
func (d *Door) room(b int, o *request) float64 {
	f := &d.fleet
	if d.now < f.fullUntil[b][o.plan] {
		return 0
	}
	c := f.against(b, o.class)
	well := 1 / (1 + math.Exp(max(c[0].doubt, c[1].doubt)-priorNats))
	taken := (1 + f.queue[b]) * math.Pow(1+float64(f.out[b]), roomPower)
	return well * d.warmth(b) * f.size[b] / f.pace[b] / taken
}

// allowed holds the rules for where a request may go: listed, not yet told to drain, within the cold
// budget, and for a keyed request that may have run within its group and window.
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
		case d.now >= s.at+p.DedupWindow-repeatGap:
			return false
		case p.Scope == gate.ScopeZone && f.zone[b] != f.zone[s.backend]:
			return false
		case p.Scope == gate.ScopeCell && f.cell[b] != f.cell[s.backend]:
			return false
		}
	}
	return true
}

// by is the clock after which an attempt may not begin, 0 for none: its connection may be long in coming, and the
// groups that had a keyed request before may have forgotten it then.
func (d *Door) by(o *request, attempt int) (by float64) {
	p := &d.terms.Classes[o.class]
	for j := range attempt {
		if s := &o.sends[j]; p.Semantics == gate.Keyed && !s.proven {
			by = cmp.Or(min(by, s.at+p.DedupWindow-repeatGap), s.at+p.DedupWindow-repeatGap)
		}
	}
	return by
}

// canRepeat tells whether a request that may have run may go anywhere at all once more.
func (d *Door) canRepeat(o *request) bool {
	p := &d.terms.Classes[o.class]
	return p.Semantics == gate.Idempotent || p.Semantics == gate.Keyed && p.Scope == gate.ScopeAll
}

// warmth is the share of its capacity that a backend has at least.
func (d *Door) warmth(b int) float64 {
	since := d.fleet.since[b]
	if since == 0 || d.terms.WarmupTime == 0 {
		return 1
	}
	age := max(0, d.now-since) / d.terms.WarmupTime
	return min(1, d.terms.ColdCapacity+(1-d.terms.ColdCapacity)*age)
}

// coldRoom keeps what is sent to a cold backend under this door's share of what would push it over, window
// by window, judged from the work that warm backends of like size take. A share under one request is
// rounded up or down at random, so that the shares of any number of doors add up.
func (d *Door) coldRoom(o *request, b int) bool {
	warm := d.warmth(b)
	if warm >= 1 {
		return true
	}
	f := &d.fleet
	if d.now >= f.coldUntil[b] {
		share := coldShare * d.terms.OverloadMultiple * warm * d.warmRate(b) * d.terms.OverloadWindow / d.low(o.class)
		if share == 0 { // no warm backend is known to compare with
			share = coldBlind / float64(cmp.Or(d.doors, d.terms.Doors))
		}
		f.coldLeft[b], f.coldUntil[b] = int(share+d.dice.roll()), d.now+d.terms.OverloadWindow
	}
	return f.coldLeft[b] > 0 && d.now > d.born+d.terms.OverloadWindow
}

// warmRate is the work that warm backends take from this door, for a backend of b's size; where none is warm, what they took
// when some were last. Without that a fleet that has lost them all would go by the number of doors it was told.
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

// send wants a request out at a backend.
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

func (d *Door) ended(e gate.AttemptEnded) {
	o, f := &d.ops[e.Op], &d.fleet
	s := &o.sends[e.Attempt]
	k := &d.buckets[o.customer]
	s.ended, s.proven = true, e.Result.NeverRan()
	o.out--
	k.out--
	f.out[s.backend]--
	d.out[o.class]--
	d.refill(o.customer)
	if e.ActualUnits > 0 {
		k.repay(o, e.ActualUnits)
	}
	d.hear(k, e.MeteredUse)
	d.judge(o, s, e)
	if e.Answered {
		o.want, o.given = answered, answered
	}
	d.touch(e.Op)
	if o.want != undecided || o.out > 0 {
		return
	}
	if o.held = len(o.sends) < d.terms.MaxAttempts; !o.held {
		d.giveUp(e.Op, d.drain(o.class), gate.AttemptsFailed)
		return
	}
	d.differs(gate.NoRetry, func(w *gate.Terms) bool { return len(o.sends) >= w.MaxAttempts })
}

// giveUp ends a request at once: a rejection where trying again is harmless, else a failure.
func (d *Door) giveUp(i int, retryAfter float64, why gate.Cause) {
	o := &d.ops[i]
	o.why = why
	for j := range o.sends {
		if !o.sends[j].proven && !d.canRepeat(o) {
			o.want, o.held = failed, false
			d.touch(i)
			return
		}
	}
	d.reject(i, retryAfter, why)
}

func (d *Door) reject(i int, retryAfter float64, why gate.Cause) {
	o := &d.ops[i]
	d.buckets[o.customer].unpromise(o)
	o.want, o.held, o.retryAfter, o.why = rejected, false, min(retryAfter, d.terms.MaxRetryAfter), why
	d.differs(gate.OtherRetryAfter, func(w *gate.Terms) bool {
		return min(retryAfter, w.MaxRetryAfter) != o.retryAfter
	})
	d.differs(gate.SentOverQuota, func(w *gate.Terms) bool {
		return (why == gate.OverQuotaShare || why == gate.OverQuota) && d.welcome(w, o)
	})
	d.touch(i)
}

// judge is the sequential test. A backend that works answers at the expected rate; a broken one fails, or
// answers at a small share of it. Answers take evidence away, failures and silence (in tick) add it.
func (d *Door) judge(o *request, s *attempt, e gate.AttemptEnded) {
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
		// A back end may turn away one plan alone, so each plan learns for itself; but being turned
		// away is a sign of pressure, and a sample that no latency gives.
		f.fullGap[b][o.plan] = min(trialMost, max(fullRest, 2*f.fullGap[b][o.plan]))
		f.fullUntil[b][o.plan] = d.now + f.fullGap[b][o.plan]
		l := &d.lat[o.class]
		l.recent += smoothing * (d.terms.Classes[o.class].Contract - l.recent)
	case gate.TimedOut, gate.Cancelled:
		// All that is known is that the answer would have come later: where clients leave a pressed fleet
		// unanswered, what does come back is the lucky rest. Covers lost answers in part, under the margin.
		if l := &d.lat[o.class]; e.Latency > l.recent && (!f.shunned(b, o.class) || d.mute(o.class)) {
			l.recent += smoothing * (min(e.Latency, d.terms.Classes[o.class].Contract) - l.recent)
		}
	case gate.Errored, gate.Unreachable, gate.Reset, gate.Malformed:
		d.doubt(b, o.class, failNats)
	}
}

// doubt adds evidence against a backend, as a whole and for one class: a backend may leave one class
// alone unanswered, and the answers to the others must not hide that. Where too many would stand judged at
// once the trouble is the fleet's, and judging more would only crowd the rest.
func (d *Door) doubt(b, class int, nats float64) {
	f := &d.fleet
	for i, c := range f.against(b, class) {
		c.doubt = min(c.doubt+nats, judgeAt)
		if c.doubt == judgeAt && !c.judged && f.judgedWith(i == 0, class) <= mostJudged {
			*c = suspicion{doubt: c.doubt, judged: true, trialAt: d.now + trialFirst, trialGap: trialFirst}
		}
	}
}

// trial tells whether a request is to try a judged backend; a non-idempotent one, none judged as a whole.
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

// sample takes a finished latency into its class's figures. The low follows at once downwards and
// drifts up slowly, so that a mix turned heavy for good does not hold for ever.
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

// tick lets time act on what is out and held.
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

// look takes in by how much what is out is out longer than is usual. What is out past the contract time is
// late already, and where answers are lost on the way it would look like a backlog for as long as clients
// wait. What waits at a judged backend is not overdue: one silent backend is no pressed fleet.
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

// rescue gives up what is late on a pressed fleet, and sends a hedge of what waits at a judged backend:
// silence, a stall, a lost zone. Slowness that all share calls for no copy: expected latency grows with it.
func (d *Door) rescue(i int) {
	o := &d.ops[i]
	p := &d.terms.Classes[o.class]
	// What can no longer come in time must not keep a pressed fleet from what can: without this a fleet that has
	// fallen behind goes on working on what is late, for as long as clients wait.
	if d.now > o.came+p.Contract && p.LateValue < lateLeast && !o.streaming && d.hold(o) > 0 {
		d.giveUp(i, d.drain(o.class), gate.PastContract)
		return
	}
	if o.streaming || o.out != 1 || len(o.sends) >= d.terms.MaxAttempts || !d.terms.Hedging {
		return
	}
	s := &o.sends[len(o.sends)-1]
	if s.out() && d.fleet.shunned(s.backend, o.class) && d.now-s.at > rescueAt*d.recent(o.class) {
		if b, _ := d.pick(o); b >= 0 && b != s.backend {
			d.send(i, b)
			d.differs(gate.NoHedge, func(w *gate.Terms) bool { return !w.Hedging })
		}
	}
}

// ---- The difference between what is wanted and what is ----

// settle emits, for all that changed, the difference between the wanted state and the present one.
func (d *Door) settle() {
	if d.ask && d.now >= d.askAt {
		d.ask = false
		d.actions = append(d.actions, gate.SubscribeFleet{})
	}
	for _, i := range d.changed {
		o := &d.ops[i]
		o.queued = false
		for j := range o.sends {
			s := &o.sends[j]
			s.wanted = s.wanted && o.want == undecided
			if s.wanted && !s.sent {
				s.sent = true
				d.actions = append(d.actions, gate.Send{Op: i, Backend: s.backend, StartBy: d.by(o, j)})
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
		d.actions = append(d.actions, gate.SetTimer{At: d.now + tickEvery})
	}
}
