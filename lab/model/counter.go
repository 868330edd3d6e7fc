package model

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// counterKey names a total: that of a customer in one epoch.
type counterKey struct {
	customer int
	epoch    int64
}

// shard returns the shard that holds the key.
func (n counterKey) shard(shards int) int {
	var raw [16]byte
	for i := range 8 {
		raw[i], raw[8+i] = byte(n.customer>>(8*i)), byte(n.epoch>>(8*i))
	}
	return int(xxhash.Sum64(raw[:]) % uint64(shards))
}

// counterValue is a total with the clock at which it expires, ms.
type counterValue struct{ total, expiresAt float64 }

// counter simulates the shared counter: totals by key, in shards that each serve one call at a time.
type counter struct {
	totals, splitTotals map[counterKey]counterValue // splitTotals is what doors with odd numbers see during a split, else nil
	busyUntil           []float64                   // by shard: clock until which it is busy, ms
}

// counterCall is one call with its reply.
type counterCall struct {
	door, incarnation int
	key               counterKey
	add, ttl          float64
	sentAt            float64
	result            gate.Result
	total             float64
	reply             func(r gate.Result, total float64) // set for calls of external doors
}

// init creates the counter without totals.
func (c *counter) init(s *scenario.Scenario) {
	c.totals = map[counterKey]counterValue{}
	c.busyUntil = make([]float64, max(1, s.Counter.Parts))
}

// sendCounterCall sends a call of a simulated door to the counter, which is in zone 0.
func (sim *Simulation) sendCounterCall(d *door, a gate.Count) {
	k := &counterCall{door: d.id, incarnation: d.incarnation, key: counterKey{d.customers.ID(a.Customer), a.Epoch},
		add: a.Add, ttl: a.TTL, sentAt: sim.now}
	sim.emit(trace.Event{Kind: trace.CounterCalled, Door: d.id})
	if _, down := sim.faultMagnitude("counter_down"); down {
		sim.replyCounterCall(k, sim.networkDelay(d.zone, 0)+sim.networkDelay(0, d.zone), gate.Unreachable)
		return
	}
	if sim.partitioned(d.zone, 0) {
		sim.replyCounterCall(k, sim.s.Counter.TimeoutMs, gate.TimedOut)
		return
	}
	sim.schedule(sim.now+sim.networkDelay(d.zone, 0), event{kind: eventCounterCall, payload: k})
}

// replyCounterCall schedules the reply to a call.
func (sim *Simulation) replyCounterCall(k *counterCall, after float64, r gate.Result) {
	k.result = r
	sim.schedule(sim.now+after, event{kind: eventCounterReply, payload: k})
}

// serve serves a call after those before it on its shard. The amount is added even if the caller no longer waits for the reply.
func (c *counter) serve(sim *Simulation, k *counterCall) {
	cf := &sim.s.Counter
	shard := k.key.shard(len(c.busyUntil))
	start := max(sim.now, c.busyUntil[shard])
	delay := sim.networkDelay(0, sim.doors[k.door].zone)
	busy, _ := sim.faultMagnitude("counter_busy")
	if start-sim.now > cf.QueueMs || busy > 0 && sim.rng.net.Float64() < busy {
		sim.replyCounterCall(k, delay, gate.Full)
		return
	}
	c.busyUntil[shard] = start + 1000*float64(len(c.busyUntil))/cf.PerS
	totals := c.totals
	if c.splitTotals != nil && k.door%2 == 1 {
		totals = c.splitTotals
	}
	n, known := totals[k.key]
	if !known || n.expiresAt < sim.now {
		n = counterValue{expiresAt: sim.now + min(60e3, max(1, k.ttl))}
	}
	n.total += k.add
	totals[k.key] = n
	k.total = n.total
	if factor, wrong := sim.faultMagnitude("counter_wrong"); wrong {
		k.total *= factor
	}
	late, _ := sim.faultMagnitude("counter_late")
	duration := start - sim.now + cf.ServeMs + delay + late
	lost, _ := sim.faultMagnitude("counter_lost")
	if timeout := k.sentAt + cf.TimeoutMs - sim.now; k.reply == nil && duration > timeout || lost > 0 && sim.rng.net.Float64() < lost {
		if k.reply == nil { // an external caller has a timeout of its own
			sim.replyCounterCall(k, max(0, timeout), gate.TimedOut)
		}
		return
	}
	sim.replyCounterCall(k, duration, gate.Finished)
}

// deliver reports a call's result to its door, unless the door has restarted since.
func (c *counter) deliver(sim *Simulation, k *counterCall) {
	d := sim.doors[k.door]
	if k.reply != nil {
		k.reply(k.result, k.total)
		return
	}
	if !d.up || d.incarnation != k.incarnation {
		return
	}
	if i, known := d.customers.Find(k.key.customer); known {
		d.inbox = append(d.inbox, gate.Counted{Customer: i, Epoch: k.key.epoch, Result: k.result, Total: k.total})
		d.scheduleDecision(sim, sim.now)
	}
}

// clear loses all totals, except those that odd doors see during a split.
func (c *counter) clear() { clear(c.totals) }

// split gives doors with odd numbers totals of their own, equal at first.
func (c *counter) split() {
	c.splitTotals = make(map[counterKey]counterValue, len(c.totals))
	for k, v := range c.totals {
		c.splitTotals[k] = v
	}
}

// heal ends a split; the odd doors' totals are lost.
func (c *counter) heal() { c.splitTotals = nil }

// sweep drops expired values.
func (c *counter) sweep(now float64) {
	for k, v := range c.totals {
		if v.expiresAt < now {
			delete(c.totals, k)
		}
	}
}

// meter totals each customer's use over all doors by period.
type meter struct{ periods [][meterPeriods]period }

const meterPeriods = 16 // periods remembered for each customer; a late meter reports an old one

// period is a customer's use in one period.
type period struct {
	number int
	units  float64
}

// add counts units of the present period.
func (m *meter) add(sim *Simulation, customer int, units float64) {
	span := sim.s.Meter.PeriodMs
	if span == 0 {
		return
	}
	for len(m.periods) <= customer {
		m.periods = append(m.periods, [meterPeriods]period{})
	}
	n := int(sim.now / span)
	p := &m.periods[customer][n%meterPeriods]
	if p.number != n {
		*p = period{number: n}
	}
	p.units += units
}

// use returns the metered use of a customer that answers report at present, as a share of its rate; -1 if they report none.
func (m *meter) use(sim *Simulation, customer int, rate float64) float64 {
	span := sim.s.Meter.PeriodMs
	late, _ := sim.faultMagnitude("meter_late")
	n := int(math.Floor((sim.now-sim.s.Meter.LateMs-late)/span)) - 1
	if span == 0 || rate == 0 || n < 0 {
		return -1
	}
	if customer >= len(m.periods) {
		return 0
	}
	if p := m.periods[customer][n%meterPeriods]; p.number == n {
		return p.units / (rate * span)
	}
	return 0
}
