package model

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// clientRequest is one request of a client, over all of its tries.
type clientRequest struct {
	id, customer, class int
	units, work         float64
	at                  float64 // intended clock, ms
	deadline            float64 // the client has no use for an answer after it, ms
	tries               int
	door                int // door of the latest try
	effects             []effect
}

// Try is one try of a client request, at one door.
type Try struct {
	ID, Door          int
	Class             int
	request           *clientRequest
	madeAt, deadline  float64 // ms
	retry             bool    // not the first try of the request
	accepted          bool    // the door has accepted it
	answered          bool    // the door has sent the final answer or learned that the client left
	over              bool    // the client has the answer or has given the try up
	incarnation, slot int     // incarnation of the door that holds it, and its index in door.ops
	answer            trace.Answer
	retryAfter        float64 // ms; 0 if the answer has none
}

// customer sends requests through spread doors from firstDoor on, in uneven shares, at a rate that a spike multiplies by
// spikeFactor.
type customer struct {
	plan, firstDoor, spread int
	rate                    float64 // requests per ms outside spikes
	spikeFactor             float64 // 0 if the customer has no spikes
	inSpike                 bool
	arrivalStamp            int       // invalidates arrivals scheduled before the last change of the rate
	cumulativeWeights       []float64 // of its doors, up to 1
}

// clients generates the workload and simulates the clients' reactions. Both have random sources of their own, so that the
// requests made do not depend on the answers.
type clients struct {
	s             *scenario.Scenario
	workloadRand  *rand.Rand // for what is requested
	reactionRand  *rand.Rand // for choice of doors, patience and retries
	customers     []customer
	extras        []extraLoad
	nextRequestID int
	totalRate     float64   // of all customers at full load, requests per ms
	meanUnits     float64   // of a request
	classShares   []float64 // cumulative
	planShares    []float64 // cumulative
	burstHigh     bool
	burstUntil    float64
}

// extraLoad generates the additional requests of a fault: from customers drawn at random, from a few hot customers, or from
// new customers.
type extraLoad struct {
	fault        *activeFault
	rate         float64 // requests per ms
	hotCustomers []int
	active       bool
}

// cumulative normalizes shares to a sum of 1 and returns their running sums.
func cumulative(shares []float64) []float64 {
	sum := 0.0
	out := make([]float64, len(shares))
	for _, s := range shares {
		sum += s
	}
	at := 0.0
	for i, s := range shares {
		at += s / sum
		out[i] = at
	}
	return out
}

// drawIndex draws an index by cumulative shares.
func drawIndex(rng *rand.Rand, sums []float64) int {
	return min(len(sums)-1, sort.SearchFloat64s(sums, rng.Float64()))
}

// init sets the total rate, from the scenario or from the fleet's capacity, and creates the customers.
func (c *clients) init(sim *Simulation) {
	c.s, c.workloadRand, c.reactionRand = sim.s, newRand(sim.seed, streamWorkload), newRand(sim.seed, streamReactions)
	var shares []float64
	meanWork := 0.0
	for _, p := range c.s.Classes {
		shares = append(shares, p.Share)
	}
	c.classShares = cumulative(shares)
	shares = shares[:0]
	for _, p := range c.s.Plans {
		shares = append(shares, p.Share)
	}
	c.planShares = cumulative(shares)
	const samples = 4000
	sample := newRand(sim.seed, streamWorkload<<8)
	for range samples {
		p := &c.s.Classes[drawIndex(sample, c.classShares)]
		units, work := c.drawSize(sample, p)
		c.meanUnits += units / samples
		meanWork += work / samples
	}
	c.totalRate = c.s.Load.PerSecond / 1000
	if c.totalRate == 0 {
		for _, b := range sim.backends {
			c.totalRate += b.capacity() * c.s.Load.Share / meanWork
		}
	}
	meanRate := c.createCustomers(sim)
	if c.s.Load.PerSecond > 0 && meanRate > 0 { // a rate set by the scenario includes the load beyond the quotas
		c.totalRate *= c.totalRate / meanRate
		c.createCustomers(sim)
	}
}

// createCustomers creates the customers of all plans and returns their mean total rate, requests per ms.
func (c *clients) createCustomers(sim *Simulation) (meanRate float64) {
	l := &c.s.Load
	c.customers = c.customers[:0]
	steadyUse := max(0.05, (l.PerCustomer-0.95*l.Full-l.Heavy)/max(0.05, 1-l.Full-l.Heavy))
	spikeShare := l.SpikeS.At(0.5) / (l.SpikeS.At(0.5) + l.SpikeEveryS.At(0.5))
	for plan, p := range c.s.Plans {
		share := c.planShares[plan]
		if plan > 0 {
			share -= c.planShares[plan-1]
		}
		perMs := c.totalRate * c.meanUnits * share // units per ms
		n := max(1, int(math.Round(perMs/(p.PerS/1000*l.PerCustomer))))
		for i := range n {
			k := customer{plan: plan, spread: min(p.Spread, sim.s.Fleet.Doors), firstDoor: c.workloadRand.IntN(sim.s.Fleet.Doors)}
			x := (float64(i) + c.workloadRand.Float64()) / float64(n)
			use, mean := steadyUse*(0.5+c.workloadRand.Float64()), 1.0
			switch {
			case x < l.Heavy:
				use = l.HeavyTimes
			case x < l.Heavy+l.Full:
				use = 0.95
			case x < l.Heavy+l.Full+l.Spiky:
				k.spikeFactor = l.SpikeTimes / use
				mean = 1 + spikeShare*(k.spikeFactor-1)
			}
			k.rate = use * p.PerS / 1000 / c.meanUnits
			meanRate += k.rate * mean
			c.drawWeights(&k)
			c.customers = append(c.customers, k)
		}
	}
	return meanRate
}

// drawWeights draws how a customer's requests are distributed over its doors.
func (c *clients) drawWeights(k *customer) {
	var shares []float64
	for range k.spread {
		shares = append(shares, math.Exp(c.s.Load.Skew*c.workloadRand.NormFloat64()))
	}
	k.cumulativeWeights = cumulative(shares)
}

// drawSize draws the units of a request and its work in ms, which are correlated.
func (c *clients) drawSize(rng *rand.Rand, p *scenario.Class) (units, work float64) {
	x := rng.ExpFloat64()
	if p.Cv > 0 {
		x = lognormal(rng, p.Cv)
	}
	maxUnits := float64(c.s.Load.MostUnits)
	return max(1, min(maxUnits, math.Ceil(x*maxUnits/4))), max(0.01, x) * p.WorkMs
}

// begin schedules the first arrival, spike and change of weights of each customer.
func (c *clients) begin(sim *Simulation) {
	for i := range c.customers {
		c.scheduleArrival(sim, i, sim.now)
		k := &c.customers[i]
		if k.spikeFactor > 0 {
			sim.schedule(sim.now+c.s.Load.SpikeEveryS.At(c.workloadRand.Float64())*1000*c.workloadRand.Float64(),
				event{kind: eventSpike, index: i})
		}
		if k.spread > 1 {
			sim.schedule(sim.now+c.s.Load.ShiftS.At(c.workloadRand.Float64())*1000*c.workloadRand.Float64(),
				event{kind: eventShift, index: i})
		}
	}
}

// scheduleArrival schedules a customer's next arrival after a clock, which is the intended one of the previous arrival. The load
// is open-loop: arrivals keep their intended clocks even if a run in real time is behind.
func (c *clients) scheduleArrival(sim *Simulation, i int, from float64) {
	k := &c.customers[i]
	rate := k.rate * (1 + c.s.Load.Swing)
	if k.inSpike {
		rate *= k.spikeFactor
	}
	if rate > 0 {
		sim.schedule(from+c.workloadRand.ExpFloat64()/rate, event{kind: eventArrival, index: i, arg: k.arrivalStamp})
	}
}

const (
	wavePeriod  = 20e3 // ms
	minBurst    = 500. // ms: shortest high or low phase of the shape "bursts"
	burstSpread = 2500 // ms: by which such a phase may last longer
)

// loadShape returns the load at a clock as a share of the peak. The clock is the intended one of the arrival, not the present
// one, which in real time may be behind.
func (c *clients) loadShape(at float64) float64 {
	x := 0.0
	switch l := &c.s.Load; l.Shape {
	case "wave":
		x = l.Swing * math.Sin(2*math.Pi*at/wavePeriod)
	case "ramp":
		x = l.Swing * (2*at/(c.s.Day.Seconds*1000) - 1)
	case "bursts":
		if at >= c.burstUntil {
			c.burstHigh = !c.burstHigh
			c.burstUntil = at + minBurst + burstSpread*c.workloadRand.Float64()
		}
		x = -l.Swing
		if c.burstHigh {
			x = l.Swing
		}
	}
	return (1 + x) / (1 + c.s.Load.Swing)
}

// handle handles one event of the clients.
func (c *clients) handle(sim *Simulation, e *event) {
	switch e.kind {
	case eventArrival:
		k := &c.customers[e.index]
		if sim.loadEnded || k.arrivalStamp != e.arg {
			return
		}
		if c.workloadRand.Float64() < c.loadShape(e.at) {
			c.newRequest(sim, e.index, e.at)
		}
		c.scheduleArrival(sim, e.index, e.at)
	case eventSpike:
		k := &c.customers[e.index]
		k.inSpike = !k.inSpike
		k.arrivalStamp++
		c.scheduleArrival(sim, e.index, e.at)
		span := c.s.Load.SpikeEveryS
		if k.inSpike {
			span = c.s.Load.SpikeS
		}
		if !sim.loadEnded {
			sim.schedule(e.at+span.At(c.workloadRand.Float64())*1000, event{kind: eventSpike, index: e.index})
		}
	case eventShift:
		c.drawWeights(&c.customers[e.index])
		if !sim.loadEnded {
			sim.schedule(e.at+c.s.Load.ShiftS.At(c.workloadRand.Float64())*1000, event{kind: eventShift, index: e.index})
		}
	case eventExtraRequest:
		c.extraRequest(sim, e.index, e.at)
	case eventClientTimeout:
		c.tryTimedOut(sim, e.try)
	case eventAnswer:
		c.receiveAnswer(sim, e.try)
	case eventRetry:
		c.sendTry(sim, e.request, true)
	}
}

// extraRequest makes one additional request and schedules the next.
func (c *clients) extraRequest(sim *Simulation, n int, at float64) {
	x := &c.extras[n]
	if !x.active || sim.loadEnded {
		return
	}
	switch x.fault.spec.Kind {
	case "strangers":
		plan := drawIndex(c.workloadRand, c.planShares)
		k := customer{plan: plan, spread: min(c.s.Plans[plan].Spread, sim.s.Fleet.Doors),
			firstDoor: c.workloadRand.IntN(sim.s.Fleet.Doors)}
		c.drawWeights(&k)
		c.customers = append(c.customers, k)
		c.newRequest(sim, len(c.customers)-1, at)
	case "hot_customers":
		c.newRequest(sim, x.hotCustomers[c.workloadRand.IntN(len(x.hotCustomers))], at)
	default:
		c.newRequest(sim, c.workloadRand.IntN(len(c.customers)), at)
	}
	sim.schedule(at+c.workloadRand.ExpFloat64()/x.rate, event{kind: eventExtraRequest, index: n})
}

const hotCustomerCount = 3 // customers of a "hot_customers" fault

// injectFault begins a fault of the workload. The clock is the one for which it was scheduled, which in real time may be past.
func (c *clients) injectFault(sim *Simulation, af *activeFault, at float64) {
	f := af.spec
	switch f.Kind {
	case "burst", "strangers", "hot_customers":
		x := extraLoad{fault: af, rate: c.totalRate * f.Much, active: true}
		for range hotCustomerCount {
			x.hotCustomers = append(x.hotCustomers, c.workloadRand.IntN(len(c.customers)))
		}
		if x.rate > 0 {
			c.extras = append(c.extras, x)
			sim.schedule(at+c.workloadRand.ExpFloat64()/x.rate, event{kind: eventExtraRequest, index: len(c.extras) - 1})
		}
	case "shift":
		share := f.Share
		if share == 0 {
			share = 1
		}
		for i := range c.customers {
			if c.workloadRand.Float64() < share {
				c.drawWeights(&c.customers[i])
			}
		}
	}
}

// endFault stops the additional load of a fault.
func (c *clients) endFault(sim *Simulation, af *activeFault) {
	for i := range c.extras {
		if c.extras[i].fault == af {
			c.extras[i].active = false
		}
	}
}

// newRequest makes a new request of a customer, with its intended clock.
func (c *clients) newRequest(sim *Simulation, customer int, at float64) {
	class := drawIndex(c.workloadRand, c.classShares)
	units, work := c.drawSize(c.workloadRand, &c.s.Classes[class])
	k := &c.customers[customer]
	r := &clientRequest{id: c.nextRequestID, customer: customer, class: class, units: units, work: work, at: at,
		deadline: at + c.s.Classes[class].OuterMs}
	c.nextRequestID++
	sim.openRequests++
	sim.sink.Take(&trace.Event{Kind: trace.Asked, At: at, Request: r.id, Customer: customer, Plan: k.plan, Class: class, Units: units})
	c.sendTry(sim, r, false)
}

// chooseDoor draws the door of a try, skipping doors that the load balancer in front of them sees down.
func (c *clients) chooseDoor(sim *Simulation, k *customer) int {
	at := drawIndex(c.reactionRand, k.cumulativeWeights)
	if share, concentrated := sim.faultMagnitude("gather"); concentrated && c.reactionRand.Float64() < share {
		at = 0
		for i := range k.cumulativeWeights {
			if shareOf(k.cumulativeWeights, i) > shareOf(k.cumulativeWeights, at) {
				at = i
			}
		}
	}
	for i := range k.spread {
		d := (k.firstDoor + (at+i)%k.spread) % len(sim.doors)
		if sim.doors[d].seenUp(sim.now, c.s.Clients.NoticeMs) {
			return d
		}
	}
	for i := range sim.doors { // all doors of the customer are down: use any other
		if d := (k.firstDoor + k.spread + i) % len(sim.doors); sim.doors[d].seenUp(sim.now, c.s.Clients.NoticeMs) {
			return d
		}
	}
	return (k.firstDoor + at) % len(sim.doors)
}

// shareOf returns one share out of cumulative ones.
func shareOf(sums []float64, i int) float64 {
	if i == 0 {
		return sums[0]
	}
	return sums[i] - sums[i-1]
}

// sendTry sends a request, for the first time or as a retry.
func (c *clients) sendTry(sim *Simulation, r *clientRequest, retry bool) {
	if sim.now >= r.deadline {
		c.giveUp(sim, r)
		return
	}
	r.tries++
	k := &c.customers[r.customer]
	p := &c.s.Classes[r.class]
	if !retry || c.reactionRand.Float64() < c.s.Clients.Elsewhere || !sim.doors[r.door].seenUp(sim.now, c.s.Clients.NoticeMs) {
		r.door = c.chooseDoor(sim, k)
	}
	t := &Try{ID: sim.nextTryID, Door: r.door, Class: r.class, request: r, madeAt: sim.now, retry: retry,
		deadline: min(r.deadline, sim.now+p.OuterMs*c.s.Clients.TryShare)}
	sim.nextTryID++
	patience := t.deadline + c.s.Rules.AnswerSlackMs
	early, _ := sim.faultMagnitude("leave_early")
	if early = max(early, c.s.Clients.Impatient); early > 0 && c.reactionRand.Float64() < early {
		patience = t.madeAt + (t.deadline-t.madeAt)*c.reactionRand.Float64()
	}
	sim.schedule(sim.now+sim.clientDelay(), event{kind: eventSubmit, try: t})
	sim.schedule(patience, event{kind: eventClientTimeout, try: t})
}

// tryTimedOut ends a try for which the client no longer waits.
func (c *clients) tryTimedOut(sim *Simulation, t *Try) {
	if t.over {
		return
	}
	t.over = true
	sim.schedule(sim.now+sim.clientDelay(), event{kind: eventClientGone, try: t})
	c.retryOrGiveUp(sim, t, trace.None)
}

// receiveAnswer handles an answer at the client.
func (c *clients) receiveAnswer(sim *Simulation, t *Try) {
	if t.over {
		return
	}
	t.over = true
	if t.answer == trace.Finished {
		sim.emit(trace.Event{Kind: trace.Received, Request: t.request.id, Try: t.ID, Answer: t.answer})
		sim.openRequests--
		return
	}
	c.retryOrGiveUp(sim, t, t.answer)
}

// unreachable handles a try that no door accepted, like a rejection.
func (c *clients) unreachable(sim *Simulation, t *Try) {
	if !t.over {
		t.over = true
		c.retryOrGiveUp(sim, t, trace.Rejected)
	}
}

// connectionLost handles a try whose connection ended without an answer.
func (c *clients) connectionLost(sim *Simulation, t *Try) {
	if !t.over && !t.answered {
		t.over = true
		c.retryOrGiveUp(sim, t, trace.None)
	}
}

// retryOrGiveUp decides whether the client retries after a failed try, and when. Without a rejection it retries only requests
// that can be repeated safely.
func (c *clients) retryOrGiveUp(sim *Simulation, t *Try, a trace.Answer) {
	r, p, cl := t.request, &c.s.Classes[t.Class], &c.s.Clients
	maxRetries, wait := cl.Retries, cl.Wait
	if retries, storm := sim.faultMagnitude("storm"); storm {
		maxRetries, wait = max(maxRetries, int(retries)), "none"
	}
	retryable := a == trace.Rejected || p.Semantics == "replayable" ||
		p.Semantics == "tokened" && p.Scope == "all" && sim.now < r.at+p.WindowMs
	if r.tries > maxRetries || !retryable {
		c.giveUp(sim, r)
		return
	}
	delay := 0.0
	switch wait {
	case "fixed":
		delay = cl.WaitMs
	case "doubling":
		delay = cl.WaitMs * math.Pow(2, float64(r.tries-1))
	}
	delay *= 0.5 + c.reactionRand.Float64()
	if t.retryAfter > 0 && c.reactionRand.Float64() < cl.Honour {
		delay = min(t.retryAfter, cl.MaxRetryAfterMs)
	}
	if sim.now+delay >= r.deadline {
		c.giveUp(sim, r)
		return
	}
	sim.schedule(sim.now+delay, event{kind: eventRetry, request: r})
}

// giveUp ends a request without success.
func (c *clients) giveUp(sim *Simulation, r *clientRequest) {
	sim.openRequests--
	sim.emit(trace.Event{Kind: trace.GaveUp, Request: r.id})
}

// gateRequest returns a try as an event for the decider.
func (t *Try) gateRequest(sim *Simulation, op, customer int) gate.Request {
	k := &sim.clients.customers[t.request.customer]
	return gate.Request{Op: op, Class: t.Class, Plan: k.plan, Customer: customer, TTL: max(0, t.deadline-sim.now), Units: t.request.units,
		ClientRetry: t.retry && sim.s.Clients.Marks, FirstDoor: k.firstDoor, Spread: k.spread, Phase: customerPhase(t.request.customer)}
}
