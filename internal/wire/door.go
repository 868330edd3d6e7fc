package wire

import (
	"encoding/json"
	"fmt"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
)

// door holds the ids of one instance; only the decider knows what they mean.
type door struct {
	decider                                gate.Decider
	pending                                []gate.Event
	deal                                   config.Settings
	ops, backends, customers, zones, cells index.Table[string]
	out                                    []int  // attempts outstanding, by request
	over                                   []bool // final answer known, by request
	counts                                 map[uint64]*counting
	closing                                []int // requests that may be droppable at the end of the batch
}

func newDoor(deal config.Settings) *door {
	return &door{deal: deal, ops: index.New[string](), backends: index.New[string](),
		customers: index.New[string](), zones: index.New[string](), cells: index.New[string](),
		counts: map[uint64]*counting{}}
}

// endBatch frees the indices of requests that are over with nothing outstanding.
func (d *door) endBatch() {
	d.pending = d.pending[:0]
	for _, op := range d.closing {
		if d.ops.ID(op) != "" && d.over[op] && d.out[op] == 0 {
			d.ops.Drop(op)
		}
	}
	d.closing = d.closing[:0]
}

func (d *door) end(op int) {
	d.over[op] = true
	d.closing = append(d.closing, op)
}

var results = map[string]gate.Result{
	"done": gate.Finished, "err": gate.Errored, "busy": gate.Full, "etimedout": gate.TimedOut,
	"econnrefused": gate.Unreachable, "econnreset": gate.Reset, "ecanceled": gate.Cancelled,
	"skipped": gate.Skipped,
}

var statuses = map[string]gate.Status{"U": gate.Up, "L": gate.Draining, "D": gate.Gone}

// events translates each event of the wire; nil means that there is nothing to pass on.
var events = map[string]func(*door, *fields) gate.Event{
	"UPDATE":     (*door).fleet,
	"SUBMIT":     (*door).submit,
	"DONE":       (*door).done,
	"FIRST_BYTE": (*door).streaming,
	"VANISHED":   (*door).vanished,
	"BELL":       func(*door, *fields) gate.Event { return gate.TimerFired{} },
	"PROBE_DONE": func(d *door, f *fields) gate.Event {
		return gate.Probed{Backend: d.backend(f), Result: choice(f, "outcome", results),
			Latency: maybe[float64](f, "latency") * msPerSecond}
	},
	"HEARD": func(*door, *fields) gate.Event { return nil }, // the decisions write to no other door
	"TOTAL": (*door).counted,
}

func (d *door) backend(f *fields) int {
	id := need[string](f, "backend")
	i, ok := d.backends.Find(id)
	if !ok {
		f.fail("backend", "%q was never listed", id)
	}
	return i
}

// op finds a request; known is false for one already dropped.
func (d *door) op(f *fields) (i int, known bool) {
	i, known = d.ops.Find(need[string](f, "op_id"))
	return i, known
}

func (d *door) fleet(f *fields) gate.Event {
	ev := gate.FleetUpdate{}
	switch how := need[string](f, "how"); how {
	case "Partial":
	case "Complete", "Persisted":
		ev.Complete = true
	case "Error":
		return gate.FleetUpdate{Failed: true}
	default:
		f.fail("how", "unknown word %q", how)
	}
	for _, raw := range maybe[[]map[string]json.RawMessage](f, "nodes_list") {
		ef := fields{m: raw}
		name := need[string](&ef, "backend")
		e := gate.Entry{Backend: d.backends.Add(name), RingPosition: index.NamePhase(name),
			Zone:      d.zones.Add(maybe[string](&ef, "dc")),
			Cell:      d.cells.Add(fmt.Sprint(maybe[int64](&ef, "stripe"))),
			Status:    choice(&ef, "status", statuses),
			StartedAt: maybe[float64](&ef, "online_since") * msPerSecond,
			Weight:    maybe[float64](&ef, "units")}
		if ef.fault != nil && f.fault == nil {
			f.fault = at(ef.fault, "nodes_list")
		}
		ev.Entries = append(ev.Entries, e)
	}
	return ev
}

const markRepeat = 2 // the bit of a client's repeat

func (d *door) submit(f *fields) gate.Event {
	id := need[string](f, "op_id")
	ev := gate.Request{TTL: need[float64](f, "ttl") * msPerSecond, Units: need[float64](f, "cost_units"),
		ClientRetry: maybe[int](f, "marks")&markRepeat != 0, FirstDoor: maybe[int](f, "first_door"), Spread: need[int](f, "spread"),
		Class: choice(f, "kind", d.deal.Classes), Plan: choice(f, "tier", d.deal.Plans)}
	customer := need[string](f, "customer")
	if f.fault != nil {
		return nil
	}
	ev.Op, ev.Customer = d.ops.Add(id), d.customers.Add(customer)
	ev.Phase = index.Phase(countName(customer, 0))
	for len(d.out) <= ev.Op {
		d.out, d.over = append(d.out, 0), append(d.over, false)
	}
	d.out[ev.Op], d.over[ev.Op] = 0, false
	return ev
}

func (d *door) done(f *fields) gate.Event {
	op, known := d.op(f)
	ev := gate.AttemptEnded{Op: op, Attempt: need[int](f, "send_no"), Backend: d.backend(f),
		Result: choice(f, "outcome", results), Latency: need[float64](f, "latency") * msPerSecond,
		Answered: maybe[bool](f, "over"), MeteredUse: (maybe[float64](f, "fleet_use") - 1) / 100,
		ActualUnits: maybe[float64](f, "final_units")}
	var err error
	if ev.Queue, err = d.deal.Queue(maybe[[]float64](f, "telemetry")); err != nil {
		f.fail("telemetry", "%v", err)
	}
	if !known {
		f.fail("op_id", "unknown operation")
	}
	if f.fault != nil {
		return nil
	}
	d.out[op]--
	if ev.Answered {
		d.over[op] = true
	}
	d.closing = append(d.closing, op)
	return ev
}

// countName names a customer's number for an epoch, the same at every door.
func countName(customer string, epoch int64) uint64 {
	return index.Hash(fmt.Sprintf("%s/%d", customer, epoch)) >> 1
}

// counting is a customer's number that was called for and not yet answered.
type counting struct {
	customer string
	epoch    int64
	calls    int
}

func (d *door) counted(f *fields) gate.Event {
	name := need[uint64](f, "cname")
	ev := gate.Counted{Result: choice(f, "outcome", results), Total: maybe[float64](f, "total")}
	c, called := d.counts[name]
	if !called {
		f.fail("cname", "was never called for")
		return nil
	}
	if c.calls--; c.calls == 0 {
		delete(d.counts, name)
	}
	var known bool
	ev.Epoch = c.epoch
	if ev.Customer, known = d.customers.Find(c.customer); !known {
		return nil
	}
	return ev
}

func (d *door) count(a gate.Count) map[string]any {
	id := d.customers.ID(a.Customer)
	name := countName(id, a.Epoch)
	if d.counts[name] == nil {
		d.counts[name] = &counting{customer: id, epoch: a.Epoch}
	}
	d.counts[name].calls++
	return map[string]any{"INCR": map[string]any{"cname": name, "qty": a.Add, "keep_for": a.TTL / msPerSecond}}
}

func (d *door) streaming(f *fields) gate.Event {
	op, known := d.op(f)
	ev := gate.Streaming{Op: op, Attempt: need[int](f, "send_no")}
	if !known {
		return nil
	}
	return ev
}

func (d *door) vanished(f *fields) gate.Event {
	op, known := d.op(f)
	if !known {
		return nil
	}
	d.end(op)
	return gate.ClientGone{Op: op}
}

// action words one action for the wire; nil where it concerns only the indices kept here.
func (d *door) action(a gate.Action) map[string]any {
	switch a := a.(type) {
	case gate.Send:
		d.out[a.Op]++
		body := map[string]any{"op_id": d.ops.ID(a.Op), "backend": d.backends.ID(a.Backend)}
		if a.Timeout > 0 {
			body["cap"] = a.Timeout / msPerSecond
		}
		return map[string]any{"SUBMIT_TO": body}
	case gate.Cancel:
		return map[string]any{"ABANDON": map[string]any{"op_id": d.ops.ID(a.Op), "send_no": a.Attempt}}
	case gate.Reject:
		d.end(a.Op)
		body := map[string]any{"op_id": d.ops.ID(a.Op)}
		if a.RetryAfter > 0 {
			body["not_before_for"] = a.RetryAfter / msPerSecond
		}
		return map[string]any{"REFUSE": body}
	case gate.Fail:
		d.end(a.Op)
		return map[string]any{"LOSE": map[string]any{"op_id": d.ops.ID(a.Op)}}
	case gate.SetTimer:
		return map[string]any{"SCHEDULE": map[string]any{"when": a.At / msPerSecond, "cookie": 0}}
	case gate.Probe:
		return map[string]any{"SOUND_OUT": map[string]any{"backend": d.backends.ID(a.Backend)}}
	case gate.Count:
		return d.count(a)
	case gate.SubscribeFleet:
		return map[string]any{"TRACK": map[string]any{"enable": true}}
	case gate.FreeCustomer:
		d.customers.Drop(a.Customer)
		return nil
	case gate.FreeBackend:
		d.backends.Drop(a.Backend)
		return nil
	case gate.Differs: // nothing on the wire words it
		return nil
	case gate.Log:
		return map[string]any{"DEBUG": map[string]any{"body_text": a.Text}}
	}
	panic(fmt.Sprintf("no word for action %T", a))
}
