package model

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/lab/scenario"
	"github.com/swifthall/swifthall/lab/trace"
)

// name of a number: a customer's, of one epoch.
type name struct {
	customer int
	epoch    int64
}

func (n name) part(parts int) int {
	var raw [16]byte
	for i := range 8 {
		raw[i], raw[8+i] = byte(n.customer>>(8*i)), byte(n.epoch>>(8*i))
	}
	return int(xxhash.Sum64(raw[:]) % uint64(parts))
}

type number struct{ total, until float64 }

// counter keeps numbers by name. Its parts serve calls in turn.
type counter struct {
	totals, other map[name]number // other is what odd doors see while it is split
	busy          []float64       // clock until which a part serves, ms
}

// call is one call on its way.
type call struct {
	door, life int
	name       name
	add, keep  float64
	at         float64
	result     gate.Result
	total      float64
	reply      func(r gate.Result, total float64) // of a call from outside
}

func (c *counter) init(s *scenario.Scenario) {
	c.totals = map[name]number{}
	c.busy = make([]float64, max(1, s.Counter.Parts))
}

// call makes a call from a door. The counter stands in zone 0.
func (w *World) call(d *door, a gate.Count) {
	k := &call{door: d.id, life: d.life, name: name{d.customers.ID(a.Customer), a.Epoch}, add: a.Add, keep: a.TTL, at: w.now}
	w.tell(trace.Event{Kind: trace.CounterCalled, Door: d.id})
	if _, down := w.hurting("counter_down"); down {
		w.reply(k, w.way(d.zone, 0)+w.way(0, d.zone), gate.Unreachable)
		return
	}
	if w.cut(d.zone, 0) {
		w.reply(k, w.s.Counter.TimeoutMs, gate.TimedOut)
		return
	}
	w.at(w.now+w.way(d.zone, 0), due{kind: dueCount, p: k})
}

func (w *World) reply(k *call, after float64, r gate.Result) {
	k.result = r
	w.at(w.now+after, due{kind: dueCounted, p: k})
}

// come serves a call in its turn. What it adds is added even if nobody waits for the answer.
func (c *counter) come(w *World, k *call) {
	cf := &w.s.Counter
	part := k.name.part(len(c.busy))
	begins := max(w.now, c.busy[part])
	way := w.way(0, w.doors[k.door].zone)
	busy, _ := w.hurting("counter_busy")
	if begins-w.now > cf.QueueMs || busy > 0 && w.dice.net.Float64() < busy {
		w.reply(k, way, gate.Full)
		return
	}
	c.busy[part] = begins + 1000*float64(len(c.busy))/cf.PerS
	totals := c.totals
	if c.other != nil && k.door%2 == 1 {
		totals = c.other
	}
	n, known := totals[k.name]
	if !known || n.until < w.now {
		n = number{until: w.now + min(60e3, max(1, k.keep))}
	}
	n.total += k.add
	totals[k.name] = n
	k.total = n.total
	if times, wrong := w.hurting("counter_wrong"); wrong {
		k.total *= times
	}
	late, _ := w.hurting("counter_late")
	takes := begins - w.now + cf.ServeMs + way + late
	lost, _ := w.hurting("counter_lost")
	if patience := k.at + cf.TimeoutMs - w.now; k.reply == nil && takes > patience || lost > 0 && w.dice.net.Float64() < lost {
		if k.reply == nil { // a real caller waits by itself
			w.reply(k, max(0, patience), gate.TimedOut)
		}
		return
	}
	w.reply(k, takes, gate.Finished)
}

// answer hands a call's end to its door, if that still lives.
func (c *counter) answer(w *World, k *call) {
	d := w.doors[k.door]
	if k.reply != nil {
		k.reply(k.result, k.total)
		return
	}
	if !d.up || d.life != k.life {
		return
	}
	if i, known := d.customers.Find(k.name.customer); known {
		d.inbox = append(d.inbox, gate.Counted{Customer: i, Epoch: k.name.epoch, Result: k.result, Total: k.total})
		d.wake(w, w.now)
	}
}

func (c *counter) empty() { clear(c.totals) }

func (c *counter) split() {
	c.other = make(map[name]number, len(c.totals))
	for k, v := range c.totals {
		c.other[k] = v
	}
}

func (c *counter) heal() { c.other = nil }

func (c *counter) sweep(now float64) {
	for k, v := range c.totals {
		if v.until < now {
			delete(c.totals, k)
		}
	}
}

// meter adds up each customer's use over all doors, period by period.
type meter struct{ of [][meterKept]period }

const meterKept = 16 // periods remembered; a late meter tells one that long ago

type period struct {
	number int
	units  float64
}

func (m *meter) add(w *World, customer int, units float64) {
	span := w.s.Meter.PeriodMs
	if span == 0 {
		return
	}
	for len(m.of) <= customer {
		m.of = append(m.of, [meterKept]period{})
	}
	n := int(w.now / span)
	p := &m.of[customer][n%meterKept]
	if p.number != n {
		*p = period{number: n}
	}
	p.units += units
}

// use is what answers tell of a customer, as a share of its rate; -1 where they tell nothing.
func (m *meter) use(w *World, customer int, rate float64) float64 {
	span := w.s.Meter.PeriodMs
	late, _ := w.hurting("meter_late")
	n := int(math.Floor((w.now-w.s.Meter.LateMs-late)/span)) - 1
	if span == 0 || rate == 0 || n < 0 {
		return -1
	}
	if customer >= len(m.of) {
		return 0
	}
	if p := m.of[customer][n%meterKept]; p.number == n {
		return p.units / (rate * span)
	}
	return 0
}
