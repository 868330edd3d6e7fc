package model

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// clientRequest is what a client wants: one request over all of its tries.
type clientRequest struct {
	id, customer, class int
	units, work         float64
	at                  float64
	deadline            float64 // the client wants nothing after that, ms
	tries               int
	door                int // of the latest try
	effects             []effect
}

// Try is one of a client's tries, at one door.
type Try struct {
	ID, Door          int
	Class             int
	request           *clientRequest
	madeAt, deadline  float64 // made, and given up by the client, ms
	retry             bool
	taken             bool
	answered          bool // its door has answered
	over              bool // its client has the answer, or has left
	incarnation, slot int  // of the door that holds it
	answer            trace.Answer
	retryAfter        float64
}

// customer comes through some doors, unevenly, at a rate that sessions move.
type customer struct {
	plan, firstDoor, spread int
	rate                    float64 // requests a ms
	spikeFactor             float64 // by which a session raises that; 0 where there are none
	inSpike                 bool
	arrivalStamp            int
	cumulativeWeights       []float64 // running sum, to 1
}

// clients are all of them, and how they behave.
type clients struct {
	s             *scenario.Scenario
	workloadRand  *rand.Rand // what is asked, whatever becomes of it
	reactionRand  *rand.Rand // what clients do then
	customers     []customer
	extras        []extraLoad
	nextRequestID int
	totalRate     float64 // requests a ms of all customers together
	meanUnits     float64 // mean of a request
	classShares   []float64
	planShares    []float64
	burstHigh     bool
	burstUntil    float64
}

// extraLoad makes requests on top: of customers drawn at random, of a few, or of strangers.
type extraLoad struct {
	fault        *activeFault
	rate         float64
	hotCustomers []int
	active       bool
}

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

func drawIndex(d *rand.Rand, run []float64) int {
	return min(len(run)-1, sort.SearchFloat64s(run, d.Float64()))
}

func (c *clients) init(w *World) {
	c.s, c.workloadRand, c.reactionRand = w.s, newRand(w.seed, streamWorkload), newRand(w.seed, streamReactions)
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
	sample := newRand(w.seed, streamWorkload<<8)
	for range samples {
		p := &c.s.Classes[drawIndex(sample, c.classShares)]
		units, work := c.drawSize(sample, p)
		c.meanUnits += units / samples
		meanWork += work / samples
	}
	c.totalRate = c.s.Load.PerSecond / 1000
	if c.totalRate == 0 {
		for _, b := range w.backends {
			c.totalRate += b.capacity() * c.s.Load.Share / meanWork
		}
	}
	asked := c.createCustomers(w)
	if c.s.Load.PerSecond > 0 && asked > 0 { // what is asked beyond the quotas counts in it
		c.totalRate *= c.totalRate / asked
		c.createCustomers(w)
	}
}

// createCustomers makes the customers, and returns what they ask in the mean, requests a ms.
func (c *clients) createCustomers(w *World) (asked float64) {
	l := &c.s.Load
	c.customers = c.customers[:0]
	calm := max(0.05, (l.PerCustomer-0.95*l.Full-l.Heavy)/max(0.05, 1-l.Full-l.Heavy))
	high := l.SpikeS.At(0.5) / (l.SpikeS.At(0.5) + l.SpikeEveryS.At(0.5))
	for plan, p := range c.s.Plans {
		share := c.planShares[plan]
		if plan > 0 {
			share -= c.planShares[plan-1]
		}
		perMs := c.totalRate * c.meanUnits * share // units a ms
		n := max(1, int(math.Round(perMs/(p.PerS/1000*l.PerCustomer))))
		for i := range n {
			k := customer{plan: plan, spread: min(p.Spread, w.s.Fleet.Doors), firstDoor: c.workloadRand.IntN(w.s.Fleet.Doors)}
			x := (float64(i) + c.workloadRand.Float64()) / float64(n)
			use, mean := calm*(0.5+c.workloadRand.Float64()), 1.0
			switch {
			case x < l.Heavy:
				use = l.HeavyTimes
			case x < l.Heavy+l.Full:
				use = 0.95
			case x < l.Heavy+l.Full+l.Spiky:
				k.spikeFactor = l.SpikeTimes / use
				mean = 1 + high*(k.spikeFactor-1)
			}
			k.rate = use * p.PerS / 1000 / c.meanUnits
			asked += k.rate * mean
			c.drawWeights(&k)
			c.customers = append(c.customers, k)
		}
	}
	return asked
}

// drawWeights draws how a customer's requests come over its doors.
func (c *clients) drawWeights(k *customer) {
	var shares []float64
	for range k.spread {
		shares = append(shares, math.Exp(c.s.Load.Skew*c.workloadRand.NormFloat64()))
	}
	k.cumulativeWeights = cumulative(shares)
}

// drawSize draws a request's units, and its work, which grows with them.
func (c *clients) drawSize(d *rand.Rand, p *scenario.Class) (units, work float64) {
	x := d.ExpFloat64()
	if p.Cv > 0 {
		x = lognormal(d, p.Cv)
	}
	most := float64(c.s.Load.MostUnits)
	return max(1, min(most, math.Ceil(x*most/4))), max(0.01, x) * p.WorkMs
}

func (c *clients) begin(w *World) {
	for i := range c.customers {
		c.scheduleArrival(w, i, w.now)
		k := &c.customers[i]
		if k.spikeFactor > 0 {
			w.schedule(w.now+c.s.Load.SpikeEveryS.At(c.workloadRand.Float64())*1000*c.workloadRand.Float64(), event{kind: eventSpike, index: i})
		}
		if k.spread > 1 {
			w.schedule(w.now+c.s.Load.ShiftS.At(c.workloadRand.Float64())*1000*c.workloadRand.Float64(), event{kind: eventShift, index: i})
		}
	}
}

// scheduleArrival draws a customer's next arrival after a clock. In real time that is the intended one, however late the world runs:
// arrivals wait for nothing.
func (c *clients) scheduleArrival(w *World, i int, from float64) {
	k := &c.customers[i]
	rate := k.rate * (1 + c.s.Load.Swing)
	if k.inSpike {
		rate *= k.spikeFactor
	}
	if rate > 0 {
		w.schedule(from+c.workloadRand.ExpFloat64()/rate, event{kind: eventArrival, index: i, arg: k.arrivalStamp})
	}
}

const (
	wavePeriod  = 20e3 // ms of a wave
	minBurst    = 500. // ms that a burst of the shape lasts at least,
	burstSpread = 2500 // and at most on top
)

// loadShape is the share of the most that is asked at a clock. It is the arrival's own, not the world's, which may run late.
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

func (c *clients) handle(w *World, d *event) {
	switch d.kind {
	case eventArrival:
		k := &c.customers[d.index]
		if w.loadEnded || k.arrivalStamp != d.arg {
			return
		}
		if c.workloadRand.Float64() < c.loadShape(d.at) {
			c.newRequest(w, d.index, d.at)
		}
		c.scheduleArrival(w, d.index, d.at)
	case eventSpike:
		k := &c.customers[d.index]
		k.inSpike = !k.inSpike
		k.arrivalStamp++
		c.scheduleArrival(w, d.index, d.at)
		span := c.s.Load.SpikeEveryS
		if k.inSpike {
			span = c.s.Load.SpikeS
		}
		if !w.loadEnded {
			w.schedule(d.at+span.At(c.workloadRand.Float64())*1000, event{kind: eventSpike, index: d.index})
		}
	case eventShift:
		c.drawWeights(&c.customers[d.index])
		if !w.loadEnded {
			w.schedule(d.at+c.s.Load.ShiftS.At(c.workloadRand.Float64())*1000, event{kind: eventShift, index: d.index})
		}
	case eventExtraRequest:
		c.extraRequest(w, d.index, d.at)
	case eventClientTimeout:
		c.tryTimedOut(w, d.try)
	case eventAnswer:
		c.receiveAnswer(w, d.try)
	case eventRetry:
		c.sendTry(w, d.request, true)
	}
}

// extraRequest makes one request on top, and plans the next.
func (c *clients) extraRequest(w *World, n int, at float64) {
	x := &c.extras[n]
	if !x.active || w.loadEnded {
		return
	}
	switch x.fault.fault.Kind {
	case "strangers":
		plan := drawIndex(c.workloadRand, c.planShares)
		k := customer{plan: plan, spread: min(c.s.Plans[plan].Spread, w.s.Fleet.Doors), firstDoor: c.workloadRand.IntN(w.s.Fleet.Doors)}
		c.drawWeights(&k)
		c.customers = append(c.customers, k)
		c.newRequest(w, len(c.customers)-1, at)
	case "hot_customers":
		c.newRequest(w, x.hotCustomers[c.workloadRand.IntN(len(x.hotCustomers))], at)
	default:
		c.newRequest(w, c.workloadRand.IntN(len(c.customers)), at)
	}
	w.schedule(at+c.workloadRand.ExpFloat64()/x.rate, event{kind: eventExtraRequest, index: n})
}

const hotCustomerCount = 3

// injectFault is told the clock at which the fault was due, which a late world has passed.
func (c *clients) injectFault(w *World, h *activeFault, at float64) {
	f := h.fault
	switch f.Kind {
	case "burst", "strangers", "hot_customers":
		x := extraLoad{fault: h, rate: c.totalRate * f.Much, active: true}
		for range hotCustomerCount {
			x.hotCustomers = append(x.hotCustomers, c.workloadRand.IntN(len(c.customers)))
		}
		if x.rate > 0 {
			c.extras = append(c.extras, x)
			w.schedule(at+c.workloadRand.ExpFloat64()/x.rate, event{kind: eventExtraRequest, index: len(c.extras) - 1})
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

func (c *clients) endFault(w *World, h *activeFault) {
	for i := range c.extras {
		if c.extras[i].fault == h {
			c.extras[i].active = false
		}
	}
}

// newRequest is a new request of a customer, meant to be made at a clock.
func (c *clients) newRequest(w *World, customer int, at float64) {
	class := drawIndex(c.workloadRand, c.classShares)
	units, work := c.drawSize(c.workloadRand, &c.s.Classes[class])
	k := &c.customers[customer]
	n := &clientRequest{id: c.nextRequestID, customer: customer, class: class, units: units, work: work, at: at,
		deadline: at + c.s.Classes[class].OuterMs}
	c.nextRequestID++
	w.openRequests++
	w.sink.Take(&trace.Event{Kind: trace.Asked, At: at, Want: n.id, Customer: customer, Plan: k.plan, Class: class, Units: units})
	c.sendTry(w, n, false)
}

// chooseDoor draws where a try goes. Doors that the front sees down are passed over.
func (c *clients) chooseDoor(w *World, k *customer) int {
	at := drawIndex(c.reactionRand, k.cumulativeWeights)
	if much, gathers := w.faultMagnitude("gather"); gathers && c.reactionRand.Float64() < much {
		at = 0
		for i := range k.cumulativeWeights {
			if shareOf(k.cumulativeWeights, i) > shareOf(k.cumulativeWeights, at) {
				at = i
			}
		}
	}
	for i := range k.spread {
		d := (k.firstDoor + (at+i)%k.spread) % len(w.doors)
		if w.doors[d].seenUp(w.now, c.s.Clients.NoticeMs) {
			return d
		}
	}
	for i := range w.doors { // the whole set is down: the front turns to others
		if d := (k.firstDoor + k.spread + i) % len(w.doors); w.doors[d].seenUp(w.now, c.s.Clients.NoticeMs) {
			return d
		}
	}
	return (k.firstDoor + at) % len(w.doors)
}

func shareOf(run []float64, i int) float64 {
	if i == 0 {
		return run[0]
	}
	return run[i] - run[i-1]
}

// sendTry sends a want through a door.
func (c *clients) sendTry(w *World, n *clientRequest, retry bool) {
	if w.now >= n.deadline {
		c.giveUp(w, n)
		return
	}
	n.tries++
	k := &c.customers[n.customer]
	p := &c.s.Classes[n.class]
	if !retry || c.reactionRand.Float64() < c.s.Clients.Elsewhere || !w.doors[n.door].seenUp(w.now, c.s.Clients.NoticeMs) {
		n.door = c.chooseDoor(w, k)
	}
	t := &Try{ID: w.nextTryID, Door: n.door, Class: n.class, request: n, madeAt: w.now, retry: retry,
		deadline: min(n.deadline, w.now+p.OuterMs*c.s.Clients.TryShare)}
	w.nextTryID++
	patience := t.deadline + c.s.Rules.AnswerSlackMs
	early, _ := w.faultMagnitude("leave_early")
	if early = max(early, c.s.Clients.Impatient); early > 0 && c.reactionRand.Float64() < early {
		patience = t.madeAt + (t.deadline-t.madeAt)*c.reactionRand.Float64()
	}
	w.schedule(w.now+w.clientDelay(), event{kind: eventSubmit, try: t})
	w.schedule(patience, event{kind: eventClientTimeout, try: t})
}

// tryTimedOut is the end of a client's patience with a try.
func (c *clients) tryTimedOut(w *World, t *Try) {
	if t.over {
		return
	}
	t.over = true
	w.schedule(w.now+w.clientDelay(), event{kind: eventClientGone, try: t})
	c.retryOrGiveUp(w, t, trace.None)
}

// receiveAnswer is an answer at its client.
func (c *clients) receiveAnswer(w *World, t *Try) {
	if t.over {
		return
	}
	t.over = true
	if t.answer == trace.Finished {
		w.emit(trace.Event{Kind: trace.Got, Want: t.request.id, Try: t.ID, Answer: t.answer})
		w.openRequests--
		return
	}
	c.retryOrGiveUp(w, t, t.answer)
}

// unreachable is a try that found no door.
func (c *clients) unreachable(w *World, t *Try) {
	if !t.over {
		t.over = true
		c.retryOrGiveUp(w, t, trace.Rejected)
	}
}

// connectionLost is a try whose door has died under it.
func (c *clients) connectionLost(w *World, t *Try) {
	if !t.over && !t.answered {
		t.over = true
		c.retryOrGiveUp(w, t, trace.None)
	}
}

// retryOrGiveUp decides whether the client tries once more, and when.
func (c *clients) retryOrGiveUp(w *World, t *Try, a trace.Answer) {
	n, p, cl := t.request, &c.s.Classes[t.Class], &c.s.Clients
	most, wait := cl.Retries, cl.Wait
	if much, storm := w.faultMagnitude("storm"); storm {
		most, wait = max(most, int(much)), "none"
	}
	may := a == trace.Rejected || p.Semantics == "replayable" || p.Semantics == "tokened" && p.Scope == "all" && w.now < n.at+p.WindowMs
	if n.tries > most || !may {
		c.giveUp(w, n)
		return
	}
	rest := 0.0
	switch wait {
	case "fixed":
		rest = cl.WaitMs
	case "doubling":
		rest = cl.WaitMs * math.Pow(2, float64(n.tries-1))
	}
	rest *= 0.5 + c.reactionRand.Float64()
	if t.retryAfter > 0 && c.reactionRand.Float64() < cl.Honour {
		rest = min(t.retryAfter, cl.MaxRetryAfterMs)
	}
	if w.now+rest >= n.deadline {
		c.giveUp(w, n)
		return
	}
	w.schedule(w.now+rest, event{kind: eventRetry, request: n})
}

func (c *clients) giveUp(w *World, n *clientRequest) {
	w.openRequests--
	w.emit(trace.Event{Kind: trace.GaveUp, Want: n.id})
}

// gateRequest puts a try in the terms of the decisions.
func (t *Try) gateRequest(w *World, op, customer int) gate.Request {
	k := &w.clients.customers[t.request.customer]
	return gate.Request{Op: op, Class: t.Class, Plan: k.plan, Customer: customer, TTL: max(0, t.deadline-w.now), Units: t.request.units,
		ClientRetry: t.retry && w.s.Clients.Marks, FirstDoor: k.firstDoor, Spread: k.spread, Phase: customerPhase(t.request.customer)}
}
