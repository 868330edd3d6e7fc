package permits

import (
	"slices"

	"github.com/swifthall/swifthall/release"
)

// DoorAgent is the client of the coordinators in a door: it sends reports, has backends withheld, and takes the door out of
// service and back as drains require. It has one post outstanding at a time and ignores answers to earlier ones. Without
// coordinators it keeps the last state that it received; a door that is out can be brought back by hand.
type DoorAgent struct {
	unit         Unit
	newProcess   func() uint64 // returns a new process number; each return to service begins another process
	process      uint64
	incarnation  uint64 // 0 until it is assigned
	holder       PermitHolder
	ready        bool
	away         []string   // doors that the door considers away
	backends     []Sighting // the door's list of backends
	counts       *release.Counts
	byBackend    map[string]release.Counts // attempts by backend
	sendBackends bool                      // reports are to include the list of backends
	change       uint64                    // latest change received
	applied      uint64                    // latest change applied
	withheld     []string                  // backends that the door has to withhold
	order        *Order                    // drain of the door; nil for none
	endedByHand  []uint64                  // drains ended by hand that the coordinators don't know to be ended yet
	epoch        uint64                    // of the coordinators' state
	stage        agentStage
	lastReportMs float64
	outstanding
	dirty     bool // there is news to report
	until     float64
	retryAtMs float64 // clock before which no permit is requested again
}

// agentStage is the stage of a DoorAgent.
type agentStage uint8

const (
	serving      agentStage = iota
	goingOut                // a SetOut was issued and its result is pending
	outOfService            // out by a drain
	terminating             // the process is terminating
	terminated              // all accepted requests are finished
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
	DoorStatus struct {
		Ready    bool
		Away     []string // doors that it considers away
		Backends []Sighting
		Counts   *release.Counts
		// ByBackend is the door's attempts by backend.
		ByBackend map[string]release.Counts
	}
	// WithholdApplied reports that a Withhold is in force in the door's routing decisions.
	WithholdApplied struct{ Change uint64 }
	// SetOutDone is the result of a SetOut: whether the door went out in time.
	SetOutDone struct{ Done bool }
	// EndByHand ends the door's drain and its withheld backends locally, even if the coordinators can't be reached.
	EndByHand struct{}
	// Terminating reports that the process begins to terminate.
	Terminating struct{}
	// Terminated reports that the process has finished all accepted requests.
	Terminated struct{}
	// Tick reports that time has passed.
	Tick struct{}
)

// Actions of a DoorAgent.
type (
	// Post is a message to the coordinators with a report, a holder's report or a command. The same Seq may be posted again.
	Post struct {
		Seq          uint64
		Caller       string
		Report       *DoorReport
		HolderReport *HolderReport
		Do           any // command
	}
	// Withhold has the door withhold exactly these backends in its routing decisions.
	Withhold struct {
		Names  []string
		Change uint64 // that the list belongs to
	}
	// SetOut takes the door out of service, if that can happen before UntilMs of its clock, or brings it back.
	SetOut struct {
		Out     bool
		UntilMs float64
		Number  uint64 // of the permit
		Why     string
	}
)

const (
	reportEveryMs   = 1000.0 // ms between reports
	minReportGapMs  = 100.0  // minimum ms between reports if there is news
	permitHoldMs    = 30e3   // ms for which a door's permit may be used
	denialBackoffMs = 1000.0 // ms after a denial before a permit is requested again
	// TickEvery is the interval at which a DoorAgent or ReleaseAgent expects a Tick, in ms.
	TickEvery = 50
)

// NewDoorAgent returns the agent of a door that starts. newProcess draws process numbers that are unique.
func NewDoorAgent(unit Unit, newProcess func() uint64) *DoorAgent {
	return &DoorAgent{unit: unit, newProcess: newProcess, process: newProcess()}
}

// Out reports whether the door is out by a drain, and the number of its permit.
func (k *DoorAgent) Out() (number uint64, is bool) { return k.holder.Number, k.stage == outOfService }

// Withheld lists the backends that the door has to withhold.
func (k *DoorAgent) Withheld() []string { return k.withheld }

// Order returns the drain that is in force for the door; nil for none.
func (k *DoorAgent) Order() *Order { return k.order }

func (k *DoorAgent) caller() string { return CallerName(k.unit.Name, k.process) }

// Step processes an event and returns the resulting actions.
func (k *DoorAgent) Step(now float64, e any) (do []any) {
	switch e := e.(type) {
	case Replied:
		if w := k.complete(e.Seq); w != nil && w.Report != nil {
			do = append(do, k.handleReply(w.Report, &e.Reply)...)
		}
	case Answered:
		if w := k.complete(e.Seq); w != nil {
			k.handleAnswer(now, w, e)
		}
	case Unanswered: // poll sends the post again after retryAfterMs
	case DoorStatus:
		if k.ready != e.Ready || !slices.Equal(k.away, e.Away) {
			k.dirty = true
		}
		k.ready, k.away, k.backends, k.counts, k.byBackend = e.Ready, e.Away, e.Backends, e.Counts, e.ByBackend
	case WithholdApplied:
		if e.Change > k.applied {
			k.applied, k.dirty = e.Change, true
		}
	case SetOutDone:
		if k.stage == goingOut {
			if k.stage = serving; e.Done {
				k.stage, k.dirty = outOfService, true
			}
		}
	case EndByHand:
		if k.order != nil {
			k.endedByHand = append(k.endedByHand, k.order.Number)
		}
		k.order, k.dirty = nil, true
		if len(k.withheld) > 0 {
			k.withheld = nil
			do = append(do, Withhold{nil, 0})
		}
	case Terminating:
		if k.stage != terminated {
			k.stage, k.dirty, k.lastReportMs = terminating, true, 0
		}
	case Terminated:
		k.stage, k.dirty, k.lastReportMs = terminated, true, 0
	}
	return append(do, k.act(now)...)
}

// handleReply applies the reply to a report.
func (k *DoorAgent) handleReply(sent *DoorReport, r *Reply) (do []any) {
	if r.Incarnation != k.incarnation { // another process of this name has registered, or the coordinators have lost their state
		k.incarnation = 0
		return nil
	}
	k.sendBackends = r.Full
	k.endedByHand = slices.DeleteFunc(k.endedByHand, func(n uint64) bool { return slices.Contains(sent.Undone, n) })
	if k.order = r.Order; k.order != nil && (k.stage >= terminating || slices.Contains(k.endedByHand, k.order.Number)) {
		k.order = nil
	}
	if r.Epoch != k.epoch { // a new state, as after the loss of all coordinators: earlier changes don't count
		k.epoch, k.change, k.applied, k.withheld = r.Epoch, 0, 0, nil
	} else if r.Change < k.change {
		return nil
	}
	if r.Change > k.change || !slices.Equal(r.Withheld, k.withheld) {
		k.change, k.withheld = r.Change, r.Withheld
		do = append(do, Withhold{slices.Clone(r.Withheld), r.Change})
	}
	return do
}

func (k *DoorAgent) handleAnswer(now float64, sent *Post, e Answered) {
	if _, began := sent.Do.(Begin); began {
		if e.Answer.Err == nil {
			k.incarnation = e.Answer.Number
		}
		k.dirty = true
		return
	}
	k.holder.Answered(e.Seq, e.Answer)
	if e.Answer.Err != nil {
		k.holder.Drop()
		k.retryAtMs, k.dirty = now+denialBackoffMs, true
	}
}

// act returns the next actions for the agent's state, with at most one new post.
func (k *DoorAgent) act(now float64) (do []any) {
	if k.stage == outOfService && k.order == nil { // the return to service needs no permit and waits for no answer
		k.stage, k.dirty = serving, true
		k.holder.Drop()
		k.process, k.incarnation = k.newProcess(), 0
		return []any{SetOut{Out: false}, k.post(now, k.holder.NextSeq(), nil, Begin{k.unit, k.process})}
	}
	resend, abandoned, busy := k.poll(now)
	switch {
	case resend != nil:
		return []any{*resend}
	case busy:
		return nil
	case abandoned != nil:
		if _, command := abandoned.Do.(Begin); !command && abandoned.Report == nil {
			k.holder.Drop()
			k.retryAtMs = now + denialBackoffMs
		}
		k.dirty = true
	}
	if k.incarnation == 0 && k.stage < terminating {
		return []any{k.post(now, k.holder.NextSeq(), nil, Begin{k.unit, k.process})}
	}
	switch {
	case k.stage == serving && k.holder.Number != 0 && k.order == nil: // the drain ended before the door went out
		k.holder.Drop()
		k.dirty = true
	case k.stage == serving && k.order != nil && k.ready && now >= k.retryAtMs && k.incarnation != 0:
		if k.holder.Number != 0 && !k.holder.Fresh(now) {
			k.holder.Drop()
		}
		switch {
		case k.holder.Number == 0:
			return []any{k.post(now, k.holder.RequestSent(now, permitHoldMs), nil, RequestPermit{Unit: k.unit.Name, Kind: k.unit.Kind, Who: k.order.Who, Why: k.order.Why, HoldMs: permitHoldMs})}
		case k.holder.MayGo(now):
			k.stage = goingOut
			return []any{SetOut{true, k.holder.Deadline(), k.holder.Number, k.order.Why}}
		default:
			return []any{k.post(now, k.holder.ConfirmSent(now), nil, Confirm{k.holder.Number, k.incarnation, k.process})}
		}
	}
	if since := now - k.lastReportMs; k.incarnation != 0 && (since >= reportEveryMs || k.dirty && since >= minReportGapMs) {
		k.lastReportMs, k.dirty = now, false
		return []any{k.post(now, k.holder.NextSeq(), k.report(), nil)}
	}
	return nil
}

func (k *DoorAgent) post(now float64, seq uint64, w *DoorReport, command any) Post {
	if w != nil {
		w.Seq = seq
	}
	return k.send(now, Post{Seq: seq, Caller: k.caller(), Report: w, Do: command})
}

// report returns the door's next report.
func (k *DoorAgent) report() *DoorReport {
	s := Sighting{Unit: k.unit, Incarnation: k.incarnation, Process: k.process, Did: k.applied, Standing: Starting}
	switch {
	case k.stage == terminated:
		s.Standing = Ended
	case k.stage == terminating:
		s.Standing = Failed
	case k.stage == serving && k.ready:
		s.Standing = Ready
	}
	w := &DoorReport{Caller: k.caller(), Sighting: s, Holds: k.holder.Number, Away: k.away, Undone: slices.Clone(k.endedByHand), Counts: k.counts}
	if k.sendBackends {
		w.Backends, w.Sent = k.backends, k.byBackend
	}
	return w
}
