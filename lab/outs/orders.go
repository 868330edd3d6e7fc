package outs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/lab/outs/history"
	"github.com/swifthall/swifthall/permits"
)

// Orders is a fleet whose operators order doors and backends out and back, in virtual time: its doors are keepers, its leader
// a watch over the state. Words and answers are lost, late and doubled; doors are stopped, killed and told to end; leaders
// change, and are gone for a while.
type Orders struct {
	Seed     uint64
	Doors    int
	Backends int
	Ms       float64
	Make     func() Agreed
}

// Agreed is the state that coordinators agree on, or one with a planted fault.
type Agreed interface {
	Machine
	Withheld() (names []string, change uint64)
	Waiting(p *permits.Permit) []string
	Needs(w *permits.DoorReport) []any
	Reply(w *permits.DoorReport, full bool) permits.Reply
	Places() map[uint64]*permits.Permit
}

// Rules of orders, besides those of fleets.
const (
	StillSends = "no door sends to a backend that is said to be drained"
	BackWithin = "no more backends out than the budget"
)

// OrdersResult is what a play came to.
type OrdersResult struct {
	Result
	Drained int // times that a backend was said to be drained
	Back    int // doors that came back
	History []history.Op
}

const (
	backendsOut = 2    // budget of backends
	spare       = 15e3 // ms at the end in which nothing more is ordered or fails
	stepFor     = 40.0 // ms from a keeper's decision to the door's step at most
	leaderless  = 4e3  // ms for which there is no leader at most
	bounceMost  = 6e3  // ms until a door that failed starts again at most
	leaders     = 5    // changes of the leader in a play
)

type keeper struct {
	number   int
	zone     int
	k        *permits.DoorAgent
	life     int // of the process, as it truly is
	up       bool
	readyAt  float64 // of this process
	paused   float64
	aside    bool
	withheld map[string]bool
	told     bool // it has been answered in this life
	open     int  // place in gone of the time in which it is out by plan, or nobody
	failed   int  // and by failure
	diedAt   float64
}

type ordered struct {
	Orders
	agenda
	m       Agreed
	watch   *permits.ReportCollector
	leads   bool
	caller  string
	seq     uint64
	doors   []*keeper
	zones   []int
	gone    []Outage
	stops   []HaltPeriod
	r       OrdersResult
	outAt   map[string]float64 // backends that are surely out, by operators' answers
	fresh   uint64
	callers uint64
}

// Play plays it and judges it.
func (o Orders) Play() OrdersResult {
	w := &ordered{Orders: o, agenda: agenda{dice: rand.New(rand.NewPCG(o.Seed, 6))}, m: o.Make(), outAt: map[string]float64{}}
	most, zone := 1+w.dice.IntN(max(1, o.Doors/10)), 1+w.dice.IntN(max(1, o.Doors/20))
	w.lead()
	w.command(permits.SetBudgets{Budgets: []permits.Budget{{Kind: permits.Door, MaxOut: most}, {Kind: permits.Door, Zone: permits.EachZone, MaxOut: zone},
		{Kind: permits.Backend, MaxOut: backendsOut}}})
	for i := range o.Doors {
		d := &keeper{number: i, zone: i % 3, open: nobody, failed: nobody}
		w.doors, w.zones = append(w.doors, d), append(w.zones, d.zone)
		w.at(w.between(0, 500), func() { w.start(d) })
		for range 2 {
			w.at(w.between(5e3, o.Ms-spare), func() { d.paused = w.now + w.between(100, 6000) })
		}
		if w.dice.Float64() < 0.15 {
			w.at(w.between(8e3, o.Ms-spare), func() { w.end(d, w.dice.IntN(2) == 0) })
		}
	}
	w.every(500, func() { w.see() })
	for range max(12, o.Doors/4) {
		w.at(w.between(6e3, o.Ms-spare), func() { w.orderDoor() })
	}
	for range 6 {
		w.at(w.between(6e3, o.Ms-spare), func() { w.orderBackend(fmt.Sprint("b", w.dice.IntN(o.Backends))) })
	}
	for range leaders {
		w.at(w.between(5e3, o.Ms-spare), func() {
			w.leads = false
			w.at(w.now+w.between(0, leaderless), w.lead)
		})
	}
	halt := w.between(o.Ms/3, o.Ms/2)
	w.at(halt-w.between(50, 400), func() { // some are on their way out when the halt comes, and are stopped
		for range 4 {
			d := w.doors[w.dice.IntN(len(w.doors))]
			w.order(d)
			w.at(w.now+w.between(100, 1500), func() { d.paused = max(d.paused, w.now+w.between(1000, 5000)) })
		}
	})
	w.at(halt, func() {
		w.command(permits.Halt{Who: "operator", Why: "drawn"})
		w.stops = append(w.stops, HaltPeriod{w.now, halt + 8e3})
	})
	w.at(halt+8e3, func() { w.command(permits.Resume{Who: "operator"}) })
	w.run(o.Ms)
	w.r.Breaches = append(w.r.Breaches, CheckOutages(w.zones, w.gone, w.stops, []BudgetLimit{{false, most}, {true, zone}})...)
	return w.r
}

func (w *ordered) every(ms float64, do func()) {
	w.at(w.now+ms, func() { do(); w.every(ms, do) })
}

// ---- Coordinators ----

// lead is a new leader: it knows what is agreed on, and no door.
func (w *ordered) lead() {
	w.callers++
	w.watch, w.leads, w.caller, w.seq = permits.NewReportCollector(), true, fmt.Sprint("leader-", w.callers), 0
	w.tell(permits.Leadership{Name: w.caller, Epoch: 1})
}

func (w *ordered) tell(do any) {
	w.seq++
	w.apply(w.caller, w.seq, do)
}

func (w *ordered) apply(caller string, seq uint64, do any) permits.Answer {
	w.r.Commands++
	return w.m.Apply(permits.Command{Caller: caller, Seq: seq, AtMs: w.now, WallMs: w.now + w.between(-2500, 2500), Do: do})
}

// command is an operator's, who has a new name for each.
func (w *ordered) command(do any) permits.Answer {
	w.callers++
	return w.apply(fmt.Sprint("operator-", w.callers), 1, do)
}

func (w *ordered) see() {
	if w.leads {
		w.tell(permits.RecordSightings{Sightings: w.watch.ChangedSightings(w.now)})
	}
	for _, p := range w.m.Places() {
		if p.Unit.Kind != permits.Backend || !p.Order || p.Over || len(w.m.Waiting(p)) > 0 {
			continue
		}
		w.r.Drained++
		for _, d := range w.doors { // as it truly is, whatever anybody holds
			if d.up && d.told && !d.withheld[p.Unit.Name] { // one that nobody has told anything so far is known to nobody
				w.r.Breaches = append(w.r.Breaches, Breach{StillSends, w.now, fmt.Sprintf("door %d may send to %s", d.number, p.Unit.Name)})
			}
		}
	}
}

// ---- Doors ----

func (w *ordered) start(d *keeper) {
	d.life++
	d.up, d.aside, d.told, d.paused, d.withheld = true, false, false, 0, map[string]bool{}
	d.readyAt = w.now + w.between(200, 1500)
	d.k = permits.NewDoorAgent(permits.Unit{Kind: permits.Door, Name: name(d.number), Zone: fmt.Sprint("z", d.zone), Size: 1}, func() uint64 { w.fresh++; return w.fresh })
	life := d.life
	w.at(d.readyAt, func() {
		if d.up && d.life == life {
			w.back(d)
		}
	})
	var tick func()
	tick = func() {
		if d.up && d.life == life {
			if w.now >= d.paused {
				w.step(d, permits.DoorStatus{Ready: w.now >= d.readyAt && !d.aside, Away: w.away(d), Backends: w.list()})
			}
			w.at(w.now+w.between(40, 60), tick)
		}
	}
	tick()
}

// back notes that a door serves again.
func (w *ordered) back(d *keeper) {
	for _, open := range []*int{&d.open, &d.failed} {
		if *open != nobody {
			w.gone[*open].To = w.now
			*open = nobody
		}
	}
}

// away is whom a door holds to be away: those known to have died.
func (w *ordered) away(d *keeper) (names []string) {
	for _, o := range w.doors {
		if o != d && !o.up && o.life > 0 && w.now-o.diedAt > knownMs {
			names = append(names, name(o.number))
		}
	}
	return names
}

func (w *ordered) list() (all []permits.Sighting) {
	for i := range w.Backends {
		all = append(all, permits.Sighting{Unit: permits.Unit{Kind: permits.Backend, Name: fmt.Sprint("b", i), Zone: "z", Size: 1}, Standing: permits.Ready})
	}
	return all
}

// awake does something at a door once it isn't stopped, where its process still runs.
func (w *ordered) awake(d *keeper, do func()) {
	life := d.life
	var now func()
	now = func() {
		switch {
		case !d.up || d.life != life:
		case w.now < d.paused:
			w.at(d.paused, now)
		default:
			do()
		}
	}
	now()
}

func (w *ordered) step(d *keeper, e any) {
	for _, a := range d.k.Step(w.now, e) {
		switch a := a.(type) {
		case permits.Post:
			w.post(d, a)
		case permits.Withhold:
			w.at(w.now+w.between(0, 30), func() {
				w.awake(d, func() {
					d.withheld = map[string]bool{}
					for _, n := range a.Names {
						d.withheld[n] = true
					}
					w.step(d, permits.WithholdApplied{Change: a.Change})
				})
			})
		case permits.SetOut: // the way to the step takes a moment, in which the door may be stopped
			w.at(w.now+w.between(0, stepFor), func() { w.awake(d, func() { w.aside(d, a) }) })
		}
	}
}

func (w *ordered) aside(d *keeper, a permits.SetOut) {
	if !a.Out {
		d.aside = false
		w.r.Back++
		w.back(d)
		return
	}
	taken := w.now <= a.UntilMs
	if taken {
		d.aside = true
		w.r.Went++
		if d.open == nobody {
			d.open = len(w.gone)
			w.gone = append(w.gone, Outage{d.number, w.now, math.Inf(1), true})
		}
	}
	w.step(d, permits.SetOutDone{Done: taken})
}

// post has a question go over the network: it may be lost, come twice or late, and so may its answer.
func (w *ordered) post(d *keeper, q permits.Post) {
	if w.dice.Float64() < loss {
		return
	}
	copies := 1
	if w.dice.Float64() < twice {
		copies = 2
	}
	for range copies {
		w.at(w.now+w.between(2, 60)+w.between(0, 100)*float64(w.dice.IntN(2)), func() {
			if !w.leads {
				return
			}
			e, ok := w.answer(q)
			if ok && w.dice.Float64() >= loss {
				w.at(w.now+w.between(2, 60), func() { w.awake(d, func() { d.told = true; w.step(d, e) }) })
			}
		})
	}
}

// answer is what the one that leads does with a question.
func (w *ordered) answer(q permits.Post) (e any, ok bool) {
	if q.Report == nil {
		return permits.Answered{Seq: q.Seq, Answer: w.apply(q.Caller, q.Seq, q.Do)}, true
	}
	if w.watch.Record(w.now, *q.Report) {
		for i, do := range w.m.Needs(q.Report) {
			caller := q.Caller
			if _, own := do.(permits.SelfReport); !own {
				caller = fmt.Sprint(caller, "/hand/", i)
			}
			w.apply(caller, q.Seq, do)
		}
	}
	return permits.Replied{Seq: q.Seq, Reply: w.m.Reply(q.Report, w.watch.WantsBackends(w.now, q.Report.Name))}, true
}

// end kills a door, or tells it to end.
func (w *ordered) end(d *keeper, told bool) {
	if !d.up || w.now < d.readyAt {
		return
	}
	last := 0.0
	if told {
		w.awake(d, func() { w.step(d, permits.Terminating{}) })
		last = w.between(200, 900)
	}
	life := d.life
	d.failed = len(w.gone)
	w.gone = append(w.gone, Outage{d.number, w.now, math.Inf(1), false})
	w.r.Failed++
	w.at(w.now+last, func() {
		if !d.up || d.life != life {
			return
		}
		if told && w.now >= d.paused {
			w.step(d, permits.Terminated{}) // it has said all it will before it is gone
		}
		d.up, d.diedAt = false, w.now
		w.at(w.now+w.between(300, bounceMost), func() { w.start(d) })
	})
}

// ---- Operators ----

func (w *ordered) orderDoor() { w.order(w.doors[w.dice.IntN(len(w.doors))]) }

func (w *ordered) order(d *keeper) {
	if !w.leads {
		return
	}
	if a := w.command(permits.Drain{Kind: permits.Door, Name: name(d.number), Who: "operator", Why: "drawn"}); a.Err != nil {
		w.r.Denied++
		return
	}
	w.undrain(permits.Door, name(d.number), w.now+w.between(1000, 6000), nil)
}

// undrain ends an order, as soon as somebody leads.
func (w *ordered) undrain(k permits.Kind, unit string, at float64, then func(from float64)) {
	w.at(at, func() {
		if !w.leads {
			w.undrain(k, unit, w.now+200, then)
			return
		}
		from := w.now
		w.command(permits.Undrain{Kind: k, Name: unit, Who: "operator", Why: "drawn"})
		if then != nil {
			then(from)
		}
	})
}

func (w *ordered) orderBackend(unit string) {
	if !w.leads {
		return
	}
	op := history.Op{Call: history.Drain, Unit: unit, From: w.now, To: w.now + 1e-3}
	if a := w.command(permits.Drain{Kind: permits.Backend, Name: unit, Who: "operator", Why: "drawn"}); a.Err != nil {
		w.r.Denied++
		op.Outcome = history.Refused
		w.r.History = append(w.r.History, op)
		return
	}
	w.r.History = append(w.r.History, op)
	if w.outAt[unit] = w.now; len(w.outAt) > backendsOut {
		w.r.Breaches = append(w.r.Breaches, Breach{BackWithin, w.now, fmt.Sprintf("%d backends are out", len(w.outAt))})
	}
	var read func()
	read = func() {
		if _, out := w.outAt[unit]; out {
			w.read()
			w.at(w.now+w.between(200, 900), read)
		}
	}
	read()
	w.undrain(permits.Backend, unit, w.now+w.between(1500, 7000), func(from float64) {
		delete(w.outAt, unit)
		w.r.History = append(w.r.History, history.Op{Call: history.Undrain, Unit: unit, From: from, To: from + 1e-3})
	})
}

// read writes down what is told to be out.
func (w *ordered) read() {
	op := history.Op{Call: history.Read, From: w.now, To: w.now + 1e-3}
	for _, p := range w.m.Places() {
		switch {
		case p.Unit.Kind != permits.Backend:
		case p.Over:
			op.Back = append(op.Back, p.Unit.Name)
		default:
			op.Out = append(op.Out, p.Unit.Name)
		}
	}
	slices.Sort(op.Out)
	w.r.History = append(w.r.History, op)
}
