package wire

import (
	"encoding/json"
	"fmt"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/index"
)

// door holds the decider of one door and maps the ids of the protocol to the indices that the decider uses.
type door struct {
	decider                                gate.Decider
	pending                                []gate.Event // events of the present batch
	settings                               config.Settings
	ops, backends, customers, zones, cells index.Table[string]
	outstanding                            []int                    // number of outstanding attempts, by request
	finished                               []bool                   // the final outcome is known, by request
	counts                                 map[uint64]*pendingCount // unanswered calls, by the key of the shared counter
	releasable                             []int                    // requests whose index may be released at the end of the batch
}

func newDoor(settings config.Settings) *door {
	return &door{settings: settings, ops: index.New[string](), backends: index.New[string](),
		customers: index.New[string](), zones: index.New[string](), cells: index.New[string](),
		counts: map[uint64]*pendingCount{}}
}

// endBatch releases the indices of finished requests without outstanding attempts.
func (d *door) endBatch() {
	d.pending = d.pending[:0]
	for _, op := range d.releasable {
		if d.ops.ID(op) != "" && d.finished[op] && d.outstanding[op] == 0 {
			d.ops.Drop(op)
		}
	}
	d.releasable = d.releasable[:0]
}

func (d *door) finish(op int) {
	d.finished[op] = true
	d.releasable = append(d.releasable, op)
}

var results = map[string]gate.Result{
	"done": gate.Finished, "err": gate.Errored, "busy": gate.Full, "etimedout": gate.TimedOut,
	"econnrefused": gate.Unreachable, "econnreset": gate.Reset, "ecanceled": gate.Cancelled,
	"skipped": gate.Skipped,
}

var statuses = map[string]gate.Status{"U": gate.Up, "L": gate.Draining, "D": gate.Gone}

// events maps the name of an event to the function that decodes it. A nil event is not passed to the decider.
var events = map[string]func(*door, *fields) gate.Event{
	"UPDATE":     (*door).fleet,
	"SUBMIT":     (*door).submit,
	"DONE":       (*door).done,
	"FIRST_BYTE": (*door).streaming,
	"VANISHED":   (*door).vanished,
	"BELL":       func(*door, *fields) gate.Event { return gate.TimerFired{} },
	"PROBE_DONE": func(d *door, f *fields) gate.Event {
		return gate.Probed{Backend: d.backend(f), Result: lookup(f, "outcome", results),
			Latency: optional[float64](f, "latency") * msPerSecond}
	},
	"HEARD": func(*door, *fields) gate.Event { return nil }, // the decider sends no messages to other doors
	"TOTAL": (*door).counterReply,
}

func (d *door) backend(f *fields) int {
	id := required[string](f, "backend")
	i, ok := d.backends.Find(id)
	if !ok {
		f.fail("backend", "%q is not on the fleet list", id)
	}
	return i
}

// op returns the index of a request; known is false if the index has been released.
func (d *door) op(f *fields) (i int, known bool) {
	i, known = d.ops.Find(required[string](f, "op_id"))
	return i, known
}

func (d *door) fleet(f *fields) gate.Event {
	ev := gate.FleetUpdate{}
	switch how := required[string](f, "how"); how {
	case "Partial":
	case "Complete", "Persisted":
		ev.Complete = true
	case "Error":
		return gate.FleetUpdate{Failed: true}
	default:
		f.fail("how", "unknown value %q", how)
	}
	for _, raw := range optional[[]map[string]json.RawMessage](f, "nodes_list") {
		ef := fields{m: raw}
		name := required[string](&ef, "backend")
		e := gate.Entry{Backend: d.backends.Add(name), RingPosition: index.NamePhase(name),
			Zone:      d.zones.Add(optional[string](&ef, "dc")),
			Cell:      d.cells.Add(fmt.Sprint(optional[int64](&ef, "stripe"))),
			Status:    lookup(&ef, "status", statuses),
			StartedAt: optional[float64](&ef, "online_since") * msPerSecond,
			Weight:    optional[float64](&ef, "units")}
		if ef.err != nil && f.err == nil {
			f.err = atPosition(ef.err, "nodes_list")
		}
		ev.Entries = append(ev.Entries, e)
	}
	return ev
}

const repeatMark = 2 // bit that marks a request as a repeat by the client

func (d *door) submit(f *fields) gate.Event {
	id := required[string](f, "op_id")
	ev := gate.Request{TTL: required[float64](f, "ttl") * msPerSecond, Units: required[float64](f, "cost_units"),
		ClientRetry: optional[int](f, "marks")&repeatMark != 0, FirstDoor: optional[int](f, "first_door"), Spread: required[int](f, "spread"),
		Class: lookup(f, "kind", d.settings.Classes), Plan: lookup(f, "tier", d.settings.Plans)}
	customer := required[string](f, "customer")
	if f.err != nil {
		return nil
	}
	ev.Op, ev.Customer = d.ops.Add(id), d.customers.Add(customer)
	ev.Phase = index.Phase(countName(customer, 0))
	for len(d.outstanding) <= ev.Op {
		d.outstanding, d.finished = append(d.outstanding, 0), append(d.finished, false)
	}
	d.outstanding[ev.Op], d.finished[ev.Op] = 0, false
	return ev
}

func (d *door) done(f *fields) gate.Event {
	op, known := d.op(f)
	ev := gate.AttemptEnded{Op: op, Attempt: required[int](f, "send_no"), Backend: d.backend(f),
		Result: lookup(f, "outcome", results), Latency: required[float64](f, "latency") * msPerSecond,
		Answered: optional[bool](f, "over"), MeteredUse: (optional[float64](f, "fleet_use") - 1) / 100,
		ActualUnits: optional[float64](f, "final_units")}
	var err error
	if ev.Queue, err = d.settings.Queue(optional[[]float64](f, "telemetry")); err != nil {
		f.fail("telemetry", "%v", err)
	}
	if !known {
		f.fail("op_id", "unknown request")
	}
	if f.err != nil {
		return nil
	}
	d.outstanding[op]--
	if ev.Answered {
		d.finished[op] = true
	}
	d.releasable = append(d.releasable, op)
	return ev
}

// countName returns the shared counter's key for a customer and an epoch. It is the same at every door.
func countName(customer string, epoch int64) uint64 {
	return index.Hash(fmt.Sprintf("%s/%d", customer, epoch)) >> 1
}

// pendingCount tracks counter calls for one customer and epoch that are not answered yet.
type pendingCount struct {
	customer string
	epoch    int64
	calls    int
}

func (d *door) counterReply(f *fields) gate.Event {
	name := required[uint64](f, "cname")
	ev := gate.Counted{Result: lookup(f, "outcome", results), Total: optional[float64](f, "total")}
	c, called := d.counts[name]
	if !called {
		f.fail("cname", "no call is outstanding for it")
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

func (d *door) counterCall(a gate.Count) map[string]any {
	id := d.customers.ID(a.Customer)
	name := countName(id, a.Epoch)
	if d.counts[name] == nil {
		d.counts[name] = &pendingCount{customer: id, epoch: a.Epoch}
	}
	d.counts[name].calls++
	return map[string]any{"INCR": map[string]any{"cname": name, "qty": a.Add, "keep_for": a.TTL / msPerSecond}}
}

func (d *door) streaming(f *fields) gate.Event {
	op, known := d.op(f)
	ev := gate.Streaming{Op: op, Attempt: required[int](f, "send_no")}
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
	d.finish(op)
	return gate.ClientGone{Op: op}
}

// encode encodes an action for the simulator. It returns nil if the simulator needs no message.
func (d *door) encode(a gate.Action) map[string]any {
	switch a := a.(type) {
	case gate.Send:
		d.outstanding[a.Op]++
		body := map[string]any{"op_id": d.ops.ID(a.Op), "backend": d.backends.ID(a.Backend)}
		if a.Timeout > 0 {
			body["cap"] = a.Timeout / msPerSecond
		}
		return map[string]any{"SUBMIT_TO": body}
	case gate.Cancel:
		return map[string]any{"ABANDON": map[string]any{"op_id": d.ops.ID(a.Op), "send_no": a.Attempt}}
	case gate.Reject:
		d.finish(a.Op)
		body := map[string]any{"op_id": d.ops.ID(a.Op)}
		if a.RetryAfter > 0 {
			body["not_before_for"] = a.RetryAfter / msPerSecond
		}
		return map[string]any{"REFUSE": body}
	case gate.Fail:
		d.finish(a.Op)
		return map[string]any{"LOSE": map[string]any{"op_id": d.ops.ID(a.Op)}}
	case gate.SetTimer:
		return map[string]any{"SCHEDULE": map[string]any{"when": a.At / msPerSecond, "cookie": 0}}
	case gate.Probe:
		return map[string]any{"SOUND_OUT": map[string]any{"backend": d.backends.ID(a.Backend)}}
	case gate.Count:
		return d.counterCall(a)
	case gate.SubscribeFleet:
		return map[string]any{"TRACK": map[string]any{"enable": true}}
	case gate.FreeCustomer:
		d.customers.Drop(a.Customer)
		return nil
	case gate.FreeBackend:
		d.backends.Drop(a.Backend)
		return nil
	case gate.Differs: // the protocol has no message for it
		return nil
	case gate.Log:
		return map[string]any{"DEBUG": map[string]any{"body_text": a.Text}}
	}
	panic(fmt.Sprintf("no encoding for action %T", a))
}
