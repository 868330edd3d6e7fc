package permits

import (
	"slices"

	"github.com/swifthall/swifthall/release"
)

// DoorAgent is the client of the coordinators in a door: it sends reports, has backends withheld, and takes the door out of
// service and back as drains require. It has one post outstanding at a time and ignores answers to earlier ones. Without
// coordinators it keeps the last state that it received; a door that is out can be brought back by hand.
type Keeper struct {
	unit    Unit
	fresh   func() uint64 // returns a new process number; each return to service begins another process
	process uint64
	life    uint64 // 0 until it is assigned
	h       Holder
	ready   bool
	away    []string
	list    []Sighting // of backends
	counts  *release.Counts
	sent    map[string]release.Counts // by backend
	full    bool                      // reports are to include the list of backends
	change  uint64                    // latest change received
	did     uint64                    // latest change applied
	held    []string
	order   *Order
	undone  []uint64 // drains ended by hand that the coordinators don't know to be ended yet
	epoch   uint64   // of the coordinators' state
	stage   stage
	saidMs  float64
	asking
	dirty  bool // there is news to report
	until  float64
	denied float64 // clock before which no permit is requested again
}

type stage uint8

const (
	serving  stage = iota
	stepping       // a SetOut was issued and its result is pending
	out            // out by a drain
	leaving        // the process is terminating
	ended          // all accepted requests are finished
)

// Events of a DoorAgent.
type (
	// Replied is the answer to a Post with a report.
	Replied struct {
		Seq   uint64
		Reply Reply
	}
	// Answered is the answer to a Post with a command.
	Answered struct {
		Seq    uint64
		Answer Answer
	}
	// Unanswered reports that a Post won't be answered.
	Unanswered struct{ Seq uint64 }
	// DoorStatus reports the door's condition and its observations.
	Stands struct {
		Ready    bool
		Away     []string // doors that it considers away
		Backends []Sighting
		Counts   *release.Counts
		// ByBackend is the door's attempts by backend.
		ByBackend map[string]release.Counts
	}
	// WithholdApplied reports that a Withhold is in force in the door's routing decisions.
	Did struct{ Change uint64 }
	// SetOutDone is the result of a SetOut: whether the door went out in time.
	Stepped struct{ Done bool }
	// EndByHand ends the door's drain and its withheld backends locally, even if the coordinators can't be reached.
	ByHand struct{}
	// Terminating reports that the process begins to terminate.
	Leave struct{}
	// Terminated reports that the process has finished all accepted requests.
	Left struct{}
	// Tick reports that time has passed.
	Tick struct{}
)

// Actions of a DoorAgent.
type (
	// Post is a message to the coordinators with a report, a holder's report or a command. The same Seq may be posted again.
	Post struct {
		Seq    uint64
		Caller string
		Word   *Word
		Hold   *Hold
		Do     any
	}
	// Withhold has the door withhold exactly these backends in its routing decisions.
	Withhold struct {
		Names  []string
		Change uint64
	}
	// SetOut takes the door out of service, if that can happen before UntilMs of its clock, or brings it back.
	Aside struct {
		Out     bool
		UntilMs float64
		Number  uint64
		Why     string
	}
)

const (
	sayEvery = 1000.0 // ms between reports
	sayLeast = 100.0  // minimum ms between reports if there is news
	holdFor  = 30e3   // ms for which a door's permit may be used
	denyRest = 1000.0 // ms after a denial before a permit is requested again
	// TickEvery is the interval at which a DoorAgent or ReleaseAgent expects a Tick, in ms.
	TickEvery = 50
)

// NewDoorAgent returns the agent of a door that starts. newProcess draws process numbers that are unique.
func NewKeeper(unit Unit, fresh func() uint64) *Keeper {
	return &Keeper{unit: unit, fresh: fresh, process: fresh()}
}

// Out reports whether the door is out by a drain, and the number of its permit.
func (k *Keeper) Out() (number uint64, is bool) { return k.h.Number, k.stage == out }

// Withheld lists the backends that the door has to withhold.
func (k *Keeper) Held() []string { return k.held }

// Order returns the drain that is in force for the door; nil for none.
func (k *Keeper) Order() *Order { return k.order }

func (k *Keeper) caller() string { return Caller(k.unit.Name, k.process) }

// Step processes an event and returns the resulting actions.
func (k *Keeper) Step(now float64, e any) (do []any) {
	switch e := e.(type) {
	case Replied:
		if w := k.over(e.Seq); w != nil && w.Word != nil {
			do = append(do, k.heard(w.Word, &e.Reply)...)
		}
	case Answered:
		if w := k.over(e.Seq); w != nil {
			k.answered(now, w, e)
		}
	case Unanswered: // sent again after retryAfterMs
	case Stands:
		if k.ready != e.Ready || !slices.Equal(k.away, e.Away) {
			k.dirty = true
		}
		k.ready, k.away, k.list, k.counts, k.sent = e.Ready, e.Away, e.Backends, e.Counts, e.ByBackend
	case Did:
		if e.Change > k.did {
			k.did, k.dirty = e.Change, true
		}
	case Stepped:
		if k.stage == stepping {
			if k.stage = serving; e.Done {
				k.stage, k.dirty = out, true
			}
		}
	case ByHand:
		if k.order != nil {
			k.undone = append(k.undone, k.order.Number)
		}
		k.order, k.dirty = nil, true
		if len(k.held) > 0 {
			k.held = nil
			do = append(do, Withhold{nil, 0})
		}
	case Leave:
		if k.stage != ended {
			k.stage, k.dirty, k.saidMs = leaving, true, 0
		}
	case Left:
		k.stage, k.dirty, k.saidMs = ended, true, 0
	}
	return append(do, k.act(now)...)
}

func (k *Keeper) heard(told *Word, r *Reply) (do []any) {
	if r.Life != k.life { // another process of this name has registered, or the coordinators have lost their state
		k.life = 0
		return nil
	}
	k.full = r.Full
	k.undone = slices.DeleteFunc(k.undone, func(n uint64) bool { return slices.Contains(told.Undone, n) })
	if k.order = r.Order; k.order != nil && (k.stage >= leaving || slices.Contains(k.undone, k.order.Number)) {
		k.order = nil
	}
	if r.Epoch != k.epoch { // a new state, as after the loss of all coordinators: earlier changes don't count
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

func (k *Keeper) answered(now float64, asked *Post, e Answered) {
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

// act returns the next actions for the agent's state, with at most one new post.
func (k *Keeper) act(now float64) (do []any) {
	if k.stage == out && k.order == nil { // the return to service needs no permit and waits for no answer
		k.stage, k.dirty = serving, true
		k.h.Drop()
		k.process, k.life = k.fresh(), 0
		return []any{Aside{Out: false}, k.post(now, k.h.Next(), nil, Begin{k.unit, k.process})}
	}
	again, lost, busy := k.due(now)
	switch {
	case again != nil:
		return []any{*again}
	case busy:
		return nil
	case lost != nil:
		if _, command := lost.Do.(Begin); !command && lost.Word == nil {
			k.h.Drop()
			k.denied = now + denyRest
		}
		k.dirty = true
	}
	if k.life == 0 && k.stage < leaving {
		return []any{k.post(now, k.h.Next(), nil, Begin{k.unit, k.process})}
	}
	switch {
	case k.stage == serving && k.h.Number != 0 && k.order == nil: // the drain ended before the door went out
		k.h.Drop()
		k.dirty = true
	case k.stage == serving && k.order != nil && k.ready && now >= k.denied && k.life != 0:
		if k.h.Number != 0 && !k.h.Fresh(now) {
			k.h.Drop()
		}
		switch {
		case k.h.Number == 0:
			return []any{k.post(now, k.h.Asked(now, holdFor), nil, Ask{Unit: k.unit.Name, Kind: k.unit.Kind, Who: k.order.Who, Why: k.order.Why, HoldMs: holdFor})}
		case k.h.MayGo(now):
			k.stage = stepping
			return []any{Aside{true, k.h.Until(), k.h.Number, k.order.Why}}
		default:
			return []any{k.post(now, k.h.Looking(now), nil, Confirm{k.h.Number, k.life, k.process})}
		}
	}
	if since := now - k.saidMs; k.life != 0 && (since >= sayEvery || k.dirty && since >= sayLeast) {
		k.saidMs, k.dirty = now, false
		return []any{k.post(now, k.h.Next(), k.word(), nil)}
	}
	return nil
}

func (k *Keeper) post(now float64, seq uint64, w *Word, command any) Post {
	if w != nil {
		w.Seq = seq
	}
	return k.ask(now, Post{Seq: seq, Caller: k.caller(), Word: w, Do: command})
}

func (k *Keeper) word() *Word {
	s := Sighting{Unit: k.unit, Life: k.life, Process: k.process, Did: k.did, Standing: Starting}
	switch {
	case k.stage == ended:
		s.Standing = Ended
	case k.stage == leaving:
		s.Standing = Failed
	case k.stage == serving && k.ready:
		s.Standing = Ready
	}
	w := &Word{Caller: k.caller(), Sighting: s, Holds: k.h.Number, Away: k.away, Undone: slices.Clone(k.undone), Counts: k.counts}
	if k.full {
		w.Backends, w.Sent = k.list, k.sent
	}
	return w
}
