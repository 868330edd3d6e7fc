package permits

import (
	"slices"

	"github.com/swifthall/swifthall/release"
)

// DoorAgent is the client of the coordinators in a door: it sends reports, has backends withheld, and takes the door out of
// service and back as drains require. It has one post outstanding at a time; of earlier ones it accepts late answers to reports. Without
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
func (a *DoorAgent) Out() (number uint64, is bool) { return a.holder.Number, a.stage == outOfService }

// Withheld lists the backends that the door has to withhold.
func (a *DoorAgent) Withheld() []string { return a.withheld }

// Order returns the drain that is in force for the door; nil for none.
func (a *DoorAgent) Order() *Order { return a.order }

func (a *DoorAgent) caller() string { return CallerName(a.unit.Name, a.process) }

// Step processes an event and returns the resulting actions.
func (a *DoorAgent) Step(now float64, e any) (do []any) {
	switch e := e.(type) {
	case Replied:
		if w := a.complete(e.Seq); w != nil && w.Report != nil {
			do = append(do, a.handleReply(w.Report, &e.Reply)...)
		}
	case Answered:
		if w := a.complete(e.Seq); w != nil {
			a.handleAnswer(now, w, e)
		}
	case Unanswered: // poll sends the post again after retryAfterMs
	case DoorStatus:
		if a.ready != e.Ready || !slices.Equal(a.away, e.Away) {
			a.dirty = true
		}
		a.ready, a.away, a.backends, a.counts, a.byBackend = e.Ready, e.Away, e.Backends, e.Counts, e.ByBackend
	case WithholdApplied:
		if e.Change > a.applied {
			a.applied, a.dirty = e.Change, true
		}
	case SetOutDone:
		if a.stage == goingOut {
			if a.stage = serving; e.Done {
				a.stage, a.dirty = outOfService, true
			}
		}
	case EndByHand:
		if a.order != nil {
			a.endedByHand = append(a.endedByHand, a.order.Number)
		}
		a.order, a.dirty = nil, true
		if len(a.withheld) > 0 {
			a.withheld = nil
			do = append(do, Withhold{nil, 0})
		}
	case Terminating:
		if a.stage != terminated {
			a.stage, a.dirty, a.lastReportMs = terminating, true, 0
		}
	case Terminated:
		a.stage, a.dirty, a.lastReportMs = terminated, true, 0
	}
	return append(do, a.act(now)...)
}

// handleReply applies the reply to a report.
func (a *DoorAgent) handleReply(sent *DoorReport, r *Reply) (do []any) {
	if r.Incarnation != a.incarnation { // another process of this name has registered, or the coordinators have lost their state
		a.incarnation = 0
		return nil
	}
	a.sendBackends = r.Full
	a.endedByHand = slices.DeleteFunc(a.endedByHand, func(n uint64) bool { return slices.Contains(sent.Undone, n) })
	if a.order = r.Order; a.order != nil && (a.stage >= terminating || slices.Contains(a.endedByHand, a.order.Number)) {
		a.order = nil
	}
	if r.Epoch != a.epoch { // a new state, as after the loss of all coordinators: earlier changes don't count
		a.epoch, a.change, a.applied, a.withheld = r.Epoch, 0, 0, nil
	} else if r.Change < a.change {
		return nil
	}
	if r.Change > a.change || !slices.Equal(r.Withheld, a.withheld) {
		a.change, a.withheld = r.Change, r.Withheld
		do = append(do, Withhold{slices.Clone(r.Withheld), r.Change})
	}
	return do
}

func (a *DoorAgent) handleAnswer(now float64, sent *Post, e Answered) {
	if _, began := sent.Do.(Begin); began {
		if e.Answer.Err == nil {
			a.incarnation = e.Answer.Number
		}
		a.dirty = true
		return
	}
	a.holder.Answered(e.Seq, e.Answer)
	if e.Answer.Err != nil {
		a.holder.Drop()
		a.retryAtMs, a.dirty = now+denialBackoffMs, true
	}
}

// act returns the next actions for the agent's state, with at most one new post.
func (a *DoorAgent) act(now float64) (do []any) {
	if a.stage == outOfService && a.order == nil { // the return to service needs no permit and waits for no answer
		a.stage, a.dirty = serving, true
		a.holder.Drop()
		a.process, a.incarnation = a.newProcess(), 0
		return []any{SetOut{Out: false}, a.post(now, a.holder.NextSeq(), nil, Begin{a.unit, a.process})}
	}
	resend, abandoned, busy := a.poll(now)
	switch {
	case resend != nil:
		return []any{*resend}
	case busy:
		return nil
	case abandoned != nil:
		if _, command := abandoned.Do.(Begin); !command && abandoned.Report == nil {
			a.holder.Drop()
			a.retryAtMs = now + denialBackoffMs
		}
		a.dirty = true
	}
	if a.incarnation == 0 && a.stage < terminating {
		return []any{a.post(now, a.holder.NextSeq(), nil, Begin{a.unit, a.process})}
	}
	switch {
	case a.stage == serving && a.holder.Number != 0 && a.order == nil: // the drain ended before the door went out
		a.holder.Drop()
		a.dirty = true
	case a.stage == serving && a.order != nil && a.ready && now >= a.retryAtMs && a.incarnation != 0:
		if a.holder.Number != 0 && !a.holder.Fresh(now) {
			a.holder.Drop()
		}
		switch {
		case a.holder.Number == 0:
			return []any{a.post(now, a.holder.RequestSent(now, permitHoldMs), nil, RequestPermit{Unit: a.unit.Name, Kind: a.unit.Kind, Who: a.order.Who, Why: a.order.Why, HoldMs: permitHoldMs})}
		case a.holder.MayGo(now):
			a.stage = goingOut
			return []any{SetOut{true, a.holder.Deadline(), a.holder.Number, a.order.Why}}
		default:
			return []any{a.post(now, a.holder.ConfirmSent(now), nil, Confirm{a.holder.Number, a.incarnation, a.process})}
		}
	}
	if since := now - a.lastReportMs; a.incarnation != 0 && (since >= reportEveryMs || a.dirty && since >= minReportGapMs) {
		a.lastReportMs, a.dirty = now, false
		return []any{a.post(now, a.holder.NextSeq(), a.report(), nil)}
	}
	return nil
}

func (a *DoorAgent) post(now float64, seq uint64, report *DoorReport, command any) Post {
	if report != nil {
		report.Seq = seq
	}
	return a.send(now, Post{Seq: seq, Caller: a.caller(), Report: report, Do: command})
}

// report returns the door's next report.
func (a *DoorAgent) report() *DoorReport {
	s := Sighting{Unit: a.unit, Incarnation: a.incarnation, Process: a.process, Did: a.applied, Standing: Starting}
	switch {
	case a.stage == terminated:
		s.Standing = Ended
	case a.stage == terminating:
		s.Standing = Failed
	case a.stage == serving && a.ready:
		s.Standing = Ready
	}
	r := &DoorReport{Caller: a.caller(), Sighting: s, Holds: a.holder.Number, Away: a.away, Undone: slices.Clone(a.endedByHand), Counts: a.counts}
	if a.sendBackends {
		r.Backends, r.Sent = a.backends, a.byBackend
	}
	return r
}
