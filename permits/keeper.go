package permits

import (
	"slices"

	"github.com/swifthall/swifthall/release"
)

// DoorAgent is a door's side of what the fleet agrees on: it says words, withholds what is to be withheld, and goes out and comes
// back by order. It has one question out at a time, and acts on no answer to an earlier one. With coordinators gone it keeps
// to what it was told last; what is out may come back by hand.
type DoorAgent struct {
	unit    Unit
	fresh   func() uint64 // a number for a process; each way back begins another
	process uint64
	life    uint64 // 0 until it is given
	h       PermitHolder
	ready   bool
	away    []string
	list    []Sighting // of backends
	counts  *release.Counts
	sent    map[string]release.Counts // to backends
	full    bool
	change  uint64 // heard of
	did     uint64 // carried out
	held    []string
	order   *Order
	undone  []uint64 // orders ended by hand, until coordinators have heard of it
	epoch   uint64   // of the coordinators' state
	stage   stage
	saidMs  float64
	asking
	dirty  bool // there is something new to say
	until  float64
	denied float64 // clock until which the order isn't tried again
}

type stage uint8

const (
	serving  stage = iota
	stepping       // the step is being taken
	out            // aside by order
	leaving        // told to end
	ended
)

// Events of a keeper, besides those of the clock.
type (
	// Replied and Answered bring the answer to a Post; Unanswered says that none will come.
	Replied struct {
		Seq   uint64
		Reply Reply
	}
	Answered struct {
		Seq    uint64
		Answer Answer
	}
	Unanswered struct{ Seq uint64 }
	// Stands tells how the door stands and what it knows.
	DoorStatus struct {
		Ready    bool
		Away     []string
		Backends []Sighting
		Counts   *release.Counts
		// ByBackend counts the door's attempts.
		ByBackend map[string]release.Counts
	}
	// Did says that the decisions know a Withhold.
	WithholdApplied struct{ Change uint64 }
	// Stepped says what became of an Aside: whether it was taken in time.
	SetOutDone struct{ Done bool }
	// ByHand ends by hand what the door was ordered, whoever can't be reached.
	EndByHand struct{}
	// Leave says that the process is to end, Left that it has served all it took.
	Terminating struct{}
	Terminated  struct{}
	// Tick lets time act.
	Tick struct{}
)

// Actions of a keeper.
type (
	// Post asks the coordinators: with a word or a command. The same Seq may be posted again.
	Post struct {
		Seq          uint64
		Caller       string
		Report       *DoorReport
		HolderReport *HolderReport
		Do           any
	}
	// Withhold has the decisions withhold these backends and no others.
	Withhold struct {
		Names  []string
		Change uint64
	}
	// Aside takes the door out, if it can before UntilMs of its clock, or brings it back.
	SetOut struct {
		Out     bool
		UntilMs float64
		Number  uint64
		Why     string
	}
)

const (
	sayEvery = 1000.0 // ms between words
	sayLeast = 100.0  // ms between words where there is news
	holdFor  = 30e3   // ms for which a door's permit may be used
	denyRest = 1000.0 // ms after a denial before the order is tried again
	// TickEvery is how often a keeper wants a Tick, ms.
	TickEvery = 50
)

// NewDoorAgent returns the keeper of a door that starts. fresh draws numbers that no other process has.
func NewDoorAgent(unit Unit, fresh func() uint64) *DoorAgent {
	return &DoorAgent{unit: unit, fresh: fresh, process: fresh()}
}

// Out tells whether the door is aside by order, and which.
func (k *DoorAgent) Out() (number uint64, is bool) { return k.h.Number, k.stage == out }

// Withheld lists the backends that the door was told to withhold.
func (k *DoorAgent) Withheld() []string { return k.held }

// Order is what the door was told to do; nil for nothing.
func (k *DoorAgent) Order() *Order { return k.order }

func (k *DoorAgent) caller() string { return CallerName(k.unit.Name, k.process) }

// Step takes an event in.
func (k *DoorAgent) Step(now float64, e any) (do []any) {
	switch e := e.(type) {
	case Replied:
		if w := k.over(e.Seq); w != nil && w.Report != nil {
			do = append(do, k.heard(w.Report, &e.Reply)...)
		}
	case Answered:
		if w := k.over(e.Seq); w != nil {
			k.answered(now, w, e)
		}
	case Unanswered: // asked again when its time comes
	case DoorStatus:
		if k.ready != e.Ready || !slices.Equal(k.away, e.Away) {
			k.dirty = true
		}
		k.ready, k.away, k.list, k.counts, k.sent = e.Ready, e.Away, e.Backends, e.Counts, e.ByBackend
	case WithholdApplied:
		if e.Change > k.did {
			k.did, k.dirty = e.Change, true
		}
	case SetOutDone:
		if k.stage == stepping {
			if k.stage = serving; e.Done {
				k.stage, k.dirty = out, true
			}
		}
	case EndByHand:
		if k.order != nil {
			k.undone = append(k.undone, k.order.Number)
		}
		k.order, k.dirty = nil, true
		if len(k.held) > 0 {
			k.held = nil
			do = append(do, Withhold{nil, 0})
		}
	case Terminating:
		if k.stage != ended {
			k.stage, k.dirty, k.saidMs = leaving, true, 0
		}
	case Terminated:
		k.stage, k.dirty, k.saidMs = ended, true, 0
	}
	return append(do, k.act(now)...)
}

func (k *DoorAgent) heard(told *DoorReport, r *Reply) (do []any) {
	if r.Incarnation != k.life { // another process of the name has begun, or the coordinators have forgotten
		k.life = 0
		return nil
	}
	k.full = r.Full
	k.undone = slices.DeleteFunc(k.undone, func(n uint64) bool { return slices.Contains(told.Undone, n) })
	if k.order = r.Order; k.order != nil && (k.stage >= leaving || slices.Contains(k.undone, k.order.Number)) {
		k.order = nil
	}
	if r.Epoch != k.epoch { // another state, as after a fleet of coordinators that was lost: what was done before counts for nothing
		k.epoch, k.change, k.did, k.held = r.Epoch, 0, 0, nil
	} else if r.Change < k.change {
		return nil
	}
	if r.Change > k.change || !slices.Equal(r.Withheld, k.held) {
		k.change, k.held = r.Change, r.Withheld
		do = append(do, Withhold{slices.Clone(r.Withheld), r.Change})
	}
	return do
}

func (k *DoorAgent) answered(now float64, asked *Post, e Answered) {
	if _, began := asked.Do.(Begin); began {
		if e.Answer.Err == nil {
			k.life = e.Answer.Number
		}
		k.dirty = true
		return
	}
	k.h.Answered(e.Seq, e.Answer)
	if e.Answer.Err != nil {
		k.h.Drop()
		k.denied, k.dirty = now+denyRest, true
	}
}

// act has the door do what its state calls for: one question at a time.
func (k *DoorAgent) act(now float64) (do []any) {
	if k.stage == out && k.order == nil { // the way back needs nobody's leave, and waits for no answer
		k.stage, k.dirty = serving, true
		k.h.Drop()
		k.process, k.life = k.fresh(), 0
		return []any{SetOut{Out: false}, k.post(now, k.h.NextSeq(), nil, Begin{k.unit, k.process})}
	}
	again, lost, busy := k.due(now)
	switch {
	case again != nil:
		return []any{*again}
	case busy:
		return nil
	case lost != nil:
		if _, command := lost.Do.(Begin); !command && lost.Report == nil {
			k.h.Drop()
			k.denied = now + denyRest
		}
		k.dirty = true
	}
	if k.life == 0 && k.stage < leaving {
		return []any{k.post(now, k.h.NextSeq(), nil, Begin{k.unit, k.process})}
	}
	switch {
	case k.stage == serving && k.h.Number != 0 && k.order == nil: // ended before the door went
		k.h.Drop()
		k.dirty = true
	case k.stage == serving && k.order != nil && k.ready && now >= k.denied && k.life != 0:
		if k.h.Number != 0 && !k.h.Fresh(now) {
			k.h.Drop()
		}
		switch {
		case k.h.Number == 0:
			return []any{k.post(now, k.h.RequestSent(now, holdFor), nil, RequestPermit{Unit: k.unit.Name, Kind: k.unit.Kind, Who: k.order.Who, Why: k.order.Why, HoldMs: holdFor})}
		case k.h.MayGo(now):
			k.stage = stepping
			return []any{SetOut{true, k.h.Until(), k.h.Number, k.order.Why}}
		default:
			return []any{k.post(now, k.h.ConfirmSent(now), nil, Confirm{k.h.Number, k.life, k.process})}
		}
	}
	if since := now - k.saidMs; k.life != 0 && (since >= sayEvery || k.dirty && since >= sayLeast) {
		k.saidMs, k.dirty = now, false
		return []any{k.post(now, k.h.NextSeq(), k.word(), nil)}
	}
	return nil
}

func (k *DoorAgent) post(now float64, seq uint64, w *DoorReport, command any) Post {
	if w != nil {
		w.Seq = seq
	}
	return k.ask(now, Post{Seq: seq, Caller: k.caller(), Report: w, Do: command})
}

func (k *DoorAgent) word() *DoorReport {
	s := Sighting{Unit: k.unit, Incarnation: k.life, Process: k.process, Did: k.did, Standing: Starting}
	switch {
	case k.stage == ended:
		s.Standing = Ended
	case k.stage == leaving:
		s.Standing = Failed
	case k.stage == serving && k.ready:
		s.Standing = Ready
	}
	w := &DoorReport{Caller: k.caller(), Sighting: s, Holds: k.h.Number, Away: k.away, Undone: slices.Clone(k.undone), Counts: k.counts}
	if k.full {
		w.Backends, w.Sent = k.list, k.sent
	}
	return w
}
