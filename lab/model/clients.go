package model

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// want is what a client wants: one request over all of its tries.
type want struct {
	id, customer, class int
	units, work         float64
	at                  float64
	until               float64 // the client wants nothing after that, ms
	tries               int
	door                int // of the latest try
	effects             []effect
}

// Try is one of a client's tries, at one door.
type Try struct {
	ID, Door   int
	Class      int
	want       *want
	at, until  float64 // made, and given up by the client, ms
	retry      bool
	taken      bool
	answered   bool // its door has answered
	over       bool // its client has the answer, or has left
	life, slot int  // of the door that holds it
	answer     trace.Answer
	retryAfter float64
}

// customer comes through some doors, unevenly, at a rate that sessions move.
type customer struct {
	plan, first, spread int
	rate                float64 // requests a ms
	times               float64 // by which a session raises that; 0 where there are none
	high                bool
	stamp               int
	weights             []float64 // running sum, to 1
}

// clients are all of them, and how they behave.
type clients struct {
	s         *scenario.Scenario
	dice      *rand.Rand // what is asked, whatever becomes of it
	mood      *rand.Rand // what clients do then
	customers []customer
	extras    []extra
	nextWant  int
	total     float64 // requests a ms of all customers together
	units     float64 // mean of a request
	classes   []float64
	plans     []float64
	burstHigh bool
	burstTill float64
}

// extra makes requests on top: of customers drawn at random, of a few, or of strangers.
type extra struct {
	hurt *hurt
	rate float64
	few  []int
	on   bool
}

func running(shares []float64) []float64 {
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

func draw(d *rand.Rand, run []float64) int {
	return min(len(run)-1, sort.SearchFloat64s(run, d.Float64()))
}

func (c *clients) init(w *World) {
	c.s, c.dice, c.mood = w.s, chance(w.seed, chanceClients), chance(w.seed, chanceMoods)
	var shares []float64
	meanWork := 0.0
	for _, p := range c.s.Classes {
		shares = append(shares, p.Share)
	}
	c.classes = running(shares)
	shares = shares[:0]
	for _, p := range c.s.Plans {
		shares = append(shares, p.Share)
	}
	c.plans = running(shares)
	const samples = 4000
	sample := chance(w.seed, chanceClients<<8)
	for range samples {
		p := &c.s.Classes[draw(sample, c.classes)]
		units, work := c.size(sample, p)
		c.units += units / samples
		meanWork += work / samples
	}
	c.total = c.s.Load.PerSecond / 1000
	if c.total == 0 {
		for _, b := range w.backends {
			c.total += b.capacity() * c.s.Load.Share / meanWork
		}
	}
	asked := c.people(w)
	if c.s.Load.PerSecond > 0 && asked > 0 { // what is asked beyond the quotas counts in it
		c.total *= c.total / asked
		c.people(w)
	}
}

// people makes the customers, and returns what they ask in the mean, requests a ms.
func (c *clients) people(w *World) (asked float64) {
	l := &c.s.Load
	c.customers = c.customers[:0]
	calm := max(0.05, (l.PerCustomer-0.95*l.Full-l.Heavy)/max(0.05, 1-l.Full-l.Heavy))
	high := l.SpikeS.At(0.5) / (l.SpikeS.At(0.5) + l.SpikeEveryS.At(0.5))
	for plan, p := range c.s.Plans {
		share := c.plans[plan]
		if plan > 0 {
			share -= c.plans[plan-1]
		}
		perMs := c.total * c.units * share // units a ms
		n := max(1, int(math.Round(perMs/(p.PerS/1000*l.PerCustomer))))
		for i := range n {
			k := customer{plan: plan, spread: min(p.Spread, w.s.Fleet.Doors), first: c.dice.IntN(w.s.Fleet.Doors)}
			x := (float64(i) + c.dice.Float64()) / float64(n)
			use, mean := calm*(0.5+c.dice.Float64()), 1.0
			switch {
			case x < l.Heavy:
				use = l.HeavyTimes
			case x < l.Heavy+l.Full:
				use = 0.95
			case x < l.Heavy+l.Full+l.Spiky:
				k.times = l.SpikeTimes / use
				mean = 1 + high*(k.times-1)
			}
			k.rate = use * p.PerS / 1000 / c.units
			asked += k.rate * mean
			c.weigh(&k)
			c.customers = append(c.customers, k)
		}
	}
	return asked
}

// weigh draws how a customer's requests come over its doors.
func (c *clients) weigh(k *customer) {
	var shares []float64
	for range k.spread {
		shares = append(shares, math.Exp(c.s.Load.Skew*c.dice.NormFloat64()))
	}
	k.weights = running(shares)
}

// size draws a request's units, and its work, which grows with them.
func (c *clients) size(d *rand.Rand, p *scenario.Class) (units, work float64) {
	x := d.ExpFloat64()
	if p.Cv > 0 {
		x = lognormal(d, p.Cv)
	}
	most := float64(c.s.Load.MostUnits)
	return max(1, min(most, math.Ceil(x*most/4))), max(0.01, x) * p.WorkMs
}

func (c *clients) begin(w *World) {
	for i := range c.customers {
		c.plan(w, i, w.now)
		k := &c.customers[i]
		if k.times > 0 {
			w.at(w.now+c.s.Load.SpikeEveryS.At(c.dice.Float64())*1000*c.dice.Float64(), due{kind: dueSpike, n: i})
		}
		if k.spread > 1 {
			w.at(w.now+c.s.Load.ShiftS.At(c.dice.Float64())*1000*c.dice.Float64(), due{kind: dueShift, n: i})
		}
	}
}

// plan draws a customer's next arrival after a clock. In real time that is the intended one, however late the world runs:
// arrivals wait for nothing.
func (c *clients) plan(w *World, i int, from float64) {
	k := &c.customers[i]
	rate := k.rate * (1 + c.s.Load.Swing)
	if k.high {
		rate *= k.times
	}
	if rate > 0 {
		w.at(from+c.dice.ExpFloat64()/rate, due{kind: dueArrival, n: i, m: k.stamp})
	}
}

const (
	waveSpan  = 20e3 // ms of a wave
	burstLow  = 500. // ms that a burst of the shape lasts at least,
	burstMore = 2500 // and at most on top
)

// shape is the share of the most that is asked at a clock. It is the arrival's own, not the world's, which may run late.
func (c *clients) shape(at float64) float64 {
	x := 0.0
	switch l := &c.s.Load; l.Shape {
	case "wave":
		x = l.Swing * math.Sin(2*math.Pi*at/waveSpan)
	case "ramp":
		x = l.Swing * (2*at/(c.s.Day.Seconds*1000) - 1)
	case "bursts":
		if at >= c.burstTill {
			c.burstHigh = !c.burstHigh
			c.burstTill = at + burstLow + burstMore*c.dice.Float64()
		}
		x = -l.Swing
		if c.burstHigh {
			x = l.Swing
		}
	}
	return (1 + x) / (1 + c.s.Load.Swing)
}

func (c *clients) step(w *World, d *due) {
	switch d.kind {
	case dueArrival:
		k := &c.customers[d.n]
		if w.closing || k.stamp != d.m {
			return
		}
		if c.dice.Float64() < c.shape(d.at) {
			c.ask(w, d.n, d.at)
		}
		c.plan(w, d.n, d.at)
	case dueSpike:
		k := &c.customers[d.n]
		k.high = !k.high
		k.stamp++
		c.plan(w, d.n, d.at)
		span := c.s.Load.SpikeEveryS
		if k.high {
			span = c.s.Load.SpikeS
		}
		if !w.closing {
			w.at(d.at+span.At(c.dice.Float64())*1000, due{kind: dueSpike, n: d.n})
		}
	case dueShift:
		c.weigh(&c.customers[d.n])
		if !w.closing {
			w.at(d.at+c.s.Load.ShiftS.At(c.dice.Float64())*1000, due{kind: dueShift, n: d.n})
		}
	case dueExtra:
		c.extra(w, d.n, d.at)
	case dueLeave:
		c.leave(w, d.t)
	case dueGot:
		c.got(w, d.t)
	case dueAgain:
		c.try(w, d.w, true)
	}
}

// extra makes one request on top, and plans the next.
func (c *clients) extra(w *World, n int, at float64) {
	x := &c.extras[n]
	if !x.on || w.closing {
		return
	}
	switch x.hurt.fault.Kind {
	case "strangers":
		plan := draw(c.dice, c.plans)
		k := customer{plan: plan, spread: min(c.s.Plans[plan].Spread, w.s.Fleet.Doors), first: c.dice.IntN(w.s.Fleet.Doors)}
		c.weigh(&k)
		c.customers = append(c.customers, k)
		c.ask(w, len(c.customers)-1, at)
	case "hot_customers":
		c.ask(w, x.few[c.dice.IntN(len(x.few))], at)
	default:
		c.ask(w, c.dice.IntN(len(c.customers)), at)
	}
	w.at(at+c.dice.ExpFloat64()/x.rate, due{kind: dueExtra, n: n})
}

const hotCustomers = 3

// strike is told the clock at which the fault was due, which a late world has passed.
func (c *clients) strike(w *World, h *hurt, at float64) {
	f := h.fault
	switch f.Kind {
	case "burst", "strangers", "hot_customers":
		x := extra{hurt: h, rate: c.total * f.Much, on: true}
		for range hotCustomers {
			x.few = append(x.few, c.dice.IntN(len(c.customers)))
		}
		if x.rate > 0 {
			c.extras = append(c.extras, x)
			w.at(at+c.dice.ExpFloat64()/x.rate, due{kind: dueExtra, n: len(c.extras) - 1})
		}
	case "shift":
		share := f.Share
		if share == 0 {
			share = 1
		}
		for i := range c.customers {
			if c.dice.Float64() < share {
				c.weigh(&c.customers[i])
			}
		}
	}
}

func (c *clients) relieve(w *World, h *hurt) {
	for i := range c.extras {
		if c.extras[i].hurt == h {
			c.extras[i].on = false
		}
	}
}

// ask is a new request of a customer, meant to be made at a clock.
func (c *clients) ask(w *World, customer int, at float64) {
	class := draw(c.dice, c.classes)
	units, work := c.size(c.dice, &c.s.Classes[class])
	k := &c.customers[customer]
	n := &want{id: c.nextWant, customer: customer, class: class, units: units, work: work, at: at,
		until: at + c.s.Classes[class].OuterMs}
	c.nextWant++
	w.waiting++
	w.sink.Take(&trace.Event{Kind: trace.Asked, At: at, Request: n.id, Customer: customer, Plan: k.plan, Class: class, Units: units})
	c.try(w, n, false)
}

// door draws where a try goes. Doors that the front sees down are passed over.
func (c *clients) door(w *World, k *customer) int {
	at := draw(c.mood, k.weights)
	if much, gathers := w.hurting("gather"); gathers && c.mood.Float64() < much {
		at = 0
		for i := range k.weights {
			if weight(k.weights, i) > weight(k.weights, at) {
				at = i
			}
		}
	}
	for i := range k.spread {
		d := (k.first + (at+i)%k.spread) % len(w.doors)
		if w.doors[d].seen(w.now, c.s.Clients.NoticeMs) {
			return d
		}
	}
	for i := range w.doors { // the whole set is down: the front turns to others
		if d := (k.first + k.spread + i) % len(w.doors); w.doors[d].seen(w.now, c.s.Clients.NoticeMs) {
			return d
		}
	}
	return (k.first + at) % len(w.doors)
}

func weight(run []float64, i int) float64 {
	if i == 0 {
		return run[0]
	}
	return run[i] - run[i-1]
}

// try sends a want through a door.
func (c *clients) try(w *World, n *want, retry bool) {
	if w.now >= n.until {
		c.giveUp(w, n)
		return
	}
	n.tries++
	k := &c.customers[n.customer]
	p := &c.s.Classes[n.class]
	if !retry || c.mood.Float64() < c.s.Clients.Elsewhere || !w.doors[n.door].seen(w.now, c.s.Clients.NoticeMs) {
		n.door = c.door(w, k)
	}
	t := &Try{ID: w.tries, Door: n.door, Class: n.class, want: n, at: w.now, retry: retry,
		until: min(n.until, w.now+p.OuterMs*c.s.Clients.TryShare)}
	w.tries++
	patience := t.until + c.s.Rules.AnswerSlackMs
	early, _ := w.hurting("leave_early")
	if early = max(early, c.s.Clients.Impatient); early > 0 && c.mood.Float64() < early {
		patience = t.at + (t.until-t.at)*c.mood.Float64()
	}
	w.at(w.now+w.clientWay(), due{kind: dueSubmit, t: t})
	w.at(patience, due{kind: dueLeave, t: t})
}

// leave is the end of a client's patience with a try.
func (c *clients) leave(w *World, t *Try) {
	if t.over {
		return
	}
	t.over = true
	w.at(w.now+w.clientWay(), due{kind: dueGone, t: t})
	c.again(w, t, trace.None)
}

// got is an answer at its client.
func (c *clients) got(w *World, t *Try) {
	if t.over {
		return
	}
	t.over = true
	if t.answer == trace.Finished {
		w.tell(trace.Event{Kind: trace.Received, Request: t.want.id, Try: t.ID, Answer: t.answer})
		w.waiting--
		return
	}
	c.again(w, t, t.answer)
}

// unreachable is a try that found no door.
func (c *clients) unreachable(w *World, t *Try) {
	if !t.over {
		t.over = true
		c.again(w, t, trace.Rejected)
	}
}

// broken is a try whose door has died under it.
func (c *clients) broken(w *World, t *Try) {
	if !t.over && !t.answered {
		t.over = true
		c.again(w, t, trace.None)
	}
}

// again decides whether the client tries once more, and when.
func (c *clients) again(w *World, t *Try, a trace.Answer) {
	n, p, cl := t.want, &c.s.Classes[t.Class], &c.s.Clients
	most, wait := cl.Retries, cl.Wait
	if much, storm := w.hurting("storm"); storm {
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
	rest *= 0.5 + c.mood.Float64()
	if t.retryAfter > 0 && c.mood.Float64() < cl.Honour {
		rest = min(t.retryAfter, cl.MaxRetryAfterMs)
	}
	if w.now+rest >= n.until {
		c.giveUp(w, n)
		return
	}
	w.at(w.now+rest, due{kind: dueAgain, w: n})
}

func (c *clients) giveUp(w *World, n *want) {
	w.waiting--
	w.tell(trace.Event{Kind: trace.GaveUp, Request: n.id})
}

// word puts a try in the terms of the decisions.
func (t *Try) word(w *World, op, customer int) gate.Request {
	k := &w.clients.customers[t.want.customer]
	return gate.Request{Op: op, Class: t.Class, Plan: k.plan, Customer: customer, TTL: max(0, t.until-w.now), Units: t.want.units,
		ClientRetry: t.retry && w.s.Clients.Marks, FirstDoor: k.first, Spread: k.spread, Phase: phase(t.want.customer)}
}
