package model

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// counterKey of a number: a customer's, of one epoch.
type counterKey struct {
	customer int
	epoch    int64
}

func (n counterKey) shard(parts int) int {
	var raw [16]byte
	for i := range 8 {
		raw[i], raw[8+i] = byte(n.customer>>(8*i)), byte(n.epoch>>(8*i))
	}
	return int(xxhash.Sum64(raw[:]) % uint64(parts))
}

type counterValue struct{ total, expiresAt float64 }

// counter keeps numbers by name. Its parts serve calls in turn.
type counter struct {
	totals, splitTotals map[counterKey]counterValue // other is what odd doors see while it is split
	busyUntil           []float64                   // clock until which a part serves, ms
}

// counterCall is one counterCall on its way.
type counterCall struct {
	door, incarnation int
	key               counterKey
	add, ttl          float64
	sentAt            float64
	result            gate.Result
	total             float64
	reply             func(r gate.Result, total float64) // of a call from outside
}

func (c *counter) init(s *scenario.Scenario) {
	c.totals = map[counterKey]counterValue{}
	c.busyUntil = make([]float64, max(1, s.Counter.Parts))
}

// sendCounterCall makes a sendCounterCall from a door. The counter stands in zone 0.
func (w *World) sendCounterCall(d *door, a gate.Count) {
	k := &counterCall{door: d.id, incarnation: d.incarnation, key: counterKey{d.customers.ID(a.Customer), a.Epoch}, add: a.Add, ttl: a.TTL, sentAt: w.now}
	w.emit(trace.Event{Kind: trace.Counted, Door: d.id})
	if _, down := w.faultMagnitude("counter_down"); down {
		w.replyCounterCall(k, w.networkDelay(d.zone, 0)+w.networkDelay(0, d.zone), gate.Unreachable)
		return
	}
	if w.partitioned(d.zone, 0) {
		w.replyCounterCall(k, w.s.Counter.TimeoutMs, gate.TimedOut)
		return
	}
	w.schedule(w.now+w.networkDelay(d.zone, 0), event{kind: eventCounterCall, payload: k})
}

func (w *World) replyCounterCall(k *counterCall, after float64, r gate.Result) {
	k.result = r
	w.schedule(w.now+after, event{kind: eventCounterReply, payload: k})
}

// serve serves a call in its turn. What it adds is added even if nobody waits for the answer.
func (c *counter) serve(w *World, k *counterCall) {
	cf := &w.s.Counter
	part := k.key.shard(len(c.busyUntil))
	begins := max(w.now, c.busyUntil[part])
	way := w.networkDelay(0, w.doors[k.door].zone)
	busy, _ := w.faultMagnitude("counter_busy")
	if begins-w.now > cf.QueueMs || busy > 0 && w.rng.net.Float64() < busy {
		w.replyCounterCall(k, way, gate.Full)
		return
	}
	c.busyUntil[part] = begins + 1000*float64(len(c.busyUntil))/cf.PerS
	totals := c.totals
	if c.splitTotals != nil && k.door%2 == 1 {
		totals = c.splitTotals
	}
	n, known := totals[k.key]
	if !known || n.expiresAt < w.now {
		n = counterValue{expiresAt: w.now + min(60e3, max(1, k.ttl))}
	}
	n.total += k.add
	totals[k.key] = n
	k.total = n.total
	if times, wrong := w.faultMagnitude("counter_wrong"); wrong {
		k.total *= times
	}
	late, _ := w.faultMagnitude("counter_late")
	takes := begins - w.now + cf.ServeMs + way + late
	lost, _ := w.faultMagnitude("counter_lost")
	if patience := k.sentAt + cf.TimeoutMs - w.now; k.reply == nil && takes > patience || lost > 0 && w.rng.net.Float64() < lost {
		if k.reply == nil { // a real caller waits by itself
			w.replyCounterCall(k, max(0, patience), gate.TimedOut)
		}
		return
	}
	w.replyCounterCall(k, takes, gate.Finished)
}

// deliver hands a call's end to its door, if that still lives.
func (c *counter) deliver(w *World, k *counterCall) {
	d := w.doors[k.door]
	if k.reply != nil {
		k.reply(k.result, k.total)
		return
	}
	if !d.up || d.incarnation != k.incarnation {
		return
	}
	if i, known := d.customers.Find(k.key.customer); known {
		d.inbox = append(d.inbox, gate.Counted{Customer: i, Epoch: k.key.epoch, Result: k.result, Total: k.total})
		d.scheduleDecision(w, w.now)
	}
}

func (c *counter) clear() { clear(c.totals) }

func (c *counter) split() {
	c.splitTotals = make(map[counterKey]counterValue, len(c.totals))
	for k, v := range c.totals {
		c.splitTotals[k] = v
	}
}

func (c *counter) heal() { c.splitTotals = nil }

func (c *counter) sweep(now float64) {
	for k, v := range c.totals {
		if v.expiresAt < now {
			delete(c.totals, k)
		}
	}
}

// meter adds up each customer's use over all doors, period by period.
type meter struct{ periods [][meterPeriods]period }

const meterPeriods = 16 // periods remembered; a late meter tells one that long ago

type period struct {
	number int
	units  float64
}

func (m *meter) add(w *World, customer int, units float64) {
	span := w.s.Meter.PeriodMs
	if span == 0 {
		return
	}
	for len(m.periods) <= customer {
		m.periods = append(m.periods, [meterPeriods]period{})
	}
	n := int(w.now / span)
	p := &m.periods[customer][n%meterPeriods]
	if p.number != n {
		*p = period{number: n}
	}
	p.units += units
}

// use is what answers tell of a customer, as a share of its rate; -1 where they tell nothing.
func (m *meter) use(w *World, customer int, rate float64) float64 {
	span := w.s.Meter.PeriodMs
	late, _ := w.faultMagnitude("meter_late")
	n := int(math.Floor((w.now-w.s.Meter.LateMs-late)/span)) - 1
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
