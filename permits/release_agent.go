package permits

import (
	"maps"

	"github.com/swifthall/swifthall/release"
)

// HolderReport is the report of the process that holds a door's listener, which is its supervisor (package holding): which versions
// the door runs, and which it failed to install.
type HolderReport struct {
	Caller string            `json:"caller"`
	Seq    uint64            `json:"seq"`
	Door   string            `json:"door"`
	Runs   release.Versions  `json:"runs"`
	Failed map[string]string `json:"failed,omitempty"` // reason by digest
}

// Assignment answers a HolderReport: which version the door is to run, and for which release. It is empty if nothing is to change.
type Assignment struct {
	Release uint64 `json:"release,omitempty"`
	Name    string `json:"name,omitempty"`
	Changes string `json:"changes,omitempty"` // kind of change
	Digest  string `json:"digest,omitempty"`
	Back    bool   `json:"back,omitempty"` // the release is rolling back
}

// ReleaseAgent is the client of the coordinators in the process that holds a door's listener: for a release, and with a permit, it
// has the door run another version. Without coordinators nothing changes.
type ReleaseAgent struct {
	door   string
	caller string
	holder PermitHolder
	outstanding
	versions     release.Versions
	failed       map[string]string // reason by digest
	target       *Assignment       // version to change to; nil if nothing is to change
	step         changeStep
	denied       bool // the switch of a prepared change was denied
	lastReportMs float64
	dirty        bool    // there is news to report
	retryAtMs    float64 // clock before which no permit is requested again
	returnNumber uint64  // permit to be returned, of an abandoned or failed step; 0 for none
}

// changeStep is the step of a change that is under way.
type changeStep uint8

const (
	noChange  changeStep = iota
	preparing            // an ApplyRelease was issued
	prepared             // the new process is ready beside the old one; the permit is confirmed again
	ending               // a SwitchRelease or a DiscardRelease was issued
)

// Events of a ReleaseAgent, besides Answered, Unanswered and Tick.
type (
	// AssignmentReceived is the answer to a Post with a HolderReport.
	AssignmentReceived struct {
		Seq        uint64
		Assignment Assignment
	}
	// ReleasePrepared reports that the new process is ready beside the old one. Until the old one is stopped the change can be
	// called off.
	ReleasePrepared struct{}
	// VersionsChanged reports which versions the door runs and which it failed to install, after an ApplyRelease.
	VersionsChanged struct {
		Runs   release.Versions
		Failed map[string]string
	}
)

// ProcessRestarted reports which versions the door runs, and which it failed to install, after its process ended by itself and was started
// again. A change that is under way goes on.
type ProcessRestarted struct {
	Runs   release.Versions
	Failed map[string]string
}

// Actions of a ReleaseAgent, besides Post.
type (
	// ApplyRelease has the door prepare the assigned version, if that can begin before UntilMs. A ReleasePrepared follows, or a
	// VersionsChanged if it fails.
	ApplyRelease struct {
		Assignment
		UntilMs float64
	}
	// SwitchRelease has the door stop the old process, if that can begin before UntilMs. A VersionsChanged follows, or, if it was too late,
	// another ReleasePrepared.
	SwitchRelease struct{ UntilMs float64 }
	// DiscardRelease has the door stop the new process, as its release may not be installed any more. A VersionsChanged follows.
	DiscardRelease struct{}
)

// NewReleaseAgent returns the agent of a door with the versions that it runs and those that it failed to install.
func NewReleaseAgent(door string, process uint64, versions release.Versions, failed map[string]string) *ReleaseAgent {
	return &ReleaseAgent{door: door, caller: CallerName(door+"/holder", process), versions: versions, failed: failed, dirty: true}
}

// Step processes an event and returns the resulting actions.
func (a *ReleaseAgent) Step(now float64, e any) []any {
	switch e := e.(type) {
	case AssignmentReceived:
		if w := a.complete(e.Seq); w != nil && w.HolderReport != nil {
			a.target = nil
			if e.Assignment.Release != 0 && a.versions[e.Assignment.Changes] != e.Assignment.Digest {
				a.target = &e.Assignment
			}
		}
	case Answered:
		if w := a.complete(e.Seq); w != nil {
			a.handleAnswer(now, w, e)
		}
	case ReleasePrepared:
		a.forgetLate()
		a.step = prepared
		a.holder.Unconfirm()
	case ProcessRestarted:
		a.forgetLate()
		a.versions, a.failed, a.dirty = maps.Clone(e.Runs), maps.Clone(e.Failed), true
		if a.step == noChange {
			a.target = nil
		}
	case VersionsChanged:
		a.forgetLate()
		if a.step != noChange && (a.target == nil || e.Runs[a.target.Changes] != a.target.Digest) {
			a.returnNumber = a.holder.Number // the previous process keeps serving, so the permit can be returned
		}
		if a.step != noChange {
			a.holder.Drop()
		}
		a.step, a.denied, a.dirty, a.target = noChange, false, true, nil
		a.versions, a.failed = maps.Clone(e.Runs), maps.Clone(e.Failed)
	}
	return a.act(now)
}

func (a *ReleaseAgent) handleAnswer(now float64, sent *Post, e Answered) {
	if w, is := sent.Do.(Withdraw); is {
		if a.returnNumber == w.Number {
			a.returnNumber = 0
		}
		return
	}
	a.holder.Answered(e.Seq, e.Answer)
	switch {
	case e.Answer.Err == nil:
	case a.step == prepared:
		a.denied = true
	default:
		a.abandon(now)
	}
}

// abandon gives up the current step; a permit that was granted is returned.
func (a *ReleaseAgent) abandon(now float64) {
	if a.holder.Number != 0 {
		a.returnNumber = a.holder.Number
	}
	a.holder.Drop()
	a.retryAtMs, a.dirty = now+denialBackoffMs, true
}

func (a *ReleaseAgent) act(now float64) []any {
	resend, abandoned, busy := a.poll(now)
	switch {
	case resend != nil:
		return []any{*resend}
	case busy, a.step == preparing, a.step == ending:
		return nil
	case a.step == prepared:
		return a.endChange(now)
	case abandoned != nil && abandoned.HolderReport == nil:
		a.abandon(now)
	}
	switch {
	case a.returnNumber != 0:
		return a.post(now, a.holder.NextSeq(), Withdraw{a.returnNumber})
	case a.target == nil && a.holder.Number != 0: // the assignment was withdrawn
		a.abandon(now)
	case a.target != nil && now >= a.retryAtMs:
		if a.holder.Number != 0 && !a.holder.Fresh(now) {
			a.abandon(now)
			break
		}
		switch {
		case a.holder.Number == 0:
			return a.post(now, a.holder.RequestSent(now, permitHoldMs), RequestPermit{Unit: a.door, Kind: Door, Who: "release " + a.target.Name, Why: a.target.Changes, HoldMs: permitHoldMs, Release: a.target.Release})
		case a.holder.MayGo(now):
			a.step = preparing
			return []any{ApplyRelease{*a.target, a.holder.Deadline()}}
		default:
			return a.post(now, a.holder.ConfirmSent(now), Confirm{Number: a.holder.Number})
		}
	}
	if since := now - a.lastReportMs; since >= reportEveryMs || a.dirty && since >= minReportGapMs {
		a.lastReportMs, a.dirty = now, false
		seq := a.holder.NextSeq()
		return []any{a.send(now, Post{Seq: seq, Caller: a.caller, HolderReport: &HolderReport{a.caller, seq, a.door, maps.Clone(a.versions), maps.Clone(a.failed)}})}
	}
	return nil
}

// endChange has a prepared change take effect once its permit is confirmed again, or be discarded. Without coordinators it waits, and is
// discarded when the permit gets too old.
func (a *ReleaseAgent) endChange(now float64) []any {
	switch {
	case a.denied || !a.holder.Fresh(now):
		a.step = ending
		return []any{DiscardRelease{}}
	case a.holder.MayGo(now):
		a.step = ending
		return []any{SwitchRelease{a.holder.Deadline()}}
	}
	return a.post(now, a.holder.ConfirmSent(now), Confirm{Number: a.holder.Number})
}

// post sends a command.
func (a *ReleaseAgent) post(now float64, seq uint64, do any) []any {
	return []any{a.send(now, Post{Seq: seq, Caller: a.caller, Do: do})}
}

// HolderCommands lists the commands that a holder's report requires: one if its door's versions or failures have changed, or if a
// change may have been under way. A holder reports nothing while it changes, and its commands and reports are numbered alike, so
// that a report from before a change has no effect after it.
func (s *State) HolderCommands(h *HolderReport) (do []any) {
	known := s.Release.Runs[h.Door]
	changed := known == nil || s.Release.MayBeChanging(h.Door)
	for _, kind := range []string{release.Configuration, release.Program} {
		changed = changed || known[kind] != h.Runs[kind]
	}
	for digest := range h.Failed {
		for _, r := range s.Release.All {
			changed = changed || r.Digest == digest && s.Release.FailureCounts(r, h.Door)
		}
	}
	if changed {
		do = append(do, release.ReportVersions{Door: h.Door, Runs: h.Runs, Failed: h.Failed})
	}
	return do
}

// Assignment returns which version a door is to run.
func (s *State) Assignment(door string) (g Assignment) {
	if r, digest, is := s.Release.Target(door); is {
		g = Assignment{r.Number, r.Name, r.Changes, digest, r.Stage == release.RollingBack}
	}
	return g
}
