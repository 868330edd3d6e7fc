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
	applying     bool              // an ApplyRelease was issued and its result is pending
	lastReportMs float64
	dirty        bool    // there is news to report
	retryAtMs    float64 // clock before which no permit is requested again
	returnNumber uint64  // permit to be returned, of an abandoned or failed step; 0 for none
}

// Events of a ReleaseAgent, besides Answered, Unanswered and Tick.
type (
	// AssignmentReceived is the answer to a Post with a HolderReport.
	AssignmentReceived struct {
		Seq        uint64
		Assignment Assignment
	}
	// VersionsChanged reports which versions the door runs and which it failed to install, after an ApplyRelease or when a process
	// ended by itself.
	VersionsChanged struct {
		Runs   release.Versions
		Failed map[string]string
	}
)

// ApplyRelease has the door run the assigned version, if that can begin before UntilMs. A VersionsChanged follows.
type ApplyRelease struct {
	Assignment
	UntilMs float64
}

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
	case VersionsChanged:
		if a.applying && (a.target == nil || e.Runs[a.target.Changes] != a.target.Digest) {
			a.returnNumber = a.holder.Number // the previous process keeps serving, so the permit can be returned
		}
		if a.applying {
			a.holder.Drop()
		}
		a.applying, a.dirty, a.target = false, true, nil
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
	if e.Answer.Err != nil {
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
	case busy, a.applying:
		return nil
	case abandoned != nil && abandoned.HolderReport == nil:
		a.abandon(now)
	}
	post := func(seq uint64, do any) []any { return []any{a.send(now, Post{Seq: seq, Caller: a.caller, Do: do})} }
	switch {
	case a.returnNumber != 0:
		return post(a.holder.NextSeq(), Withdraw{a.returnNumber})
	case a.target == nil && a.holder.Number != 0: // the assignment was withdrawn
		a.abandon(now)
	case a.target != nil && now >= a.retryAtMs:
		if a.holder.Number != 0 && !a.holder.Fresh(now) {
			a.abandon(now)
			break
		}
		switch {
		case a.holder.Number == 0:
			return post(a.holder.RequestSent(now, permitHoldMs), RequestPermit{Unit: a.door, Kind: Door, Who: "release " + a.target.Name, Why: a.target.Changes, HoldMs: permitHoldMs, Release: a.target.Release})
		case a.holder.MayGo(now):
			a.applying = true
			return []any{ApplyRelease{*a.target, a.holder.Deadline()}}
		default:
			return post(a.holder.ConfirmSent(now), Confirm{Number: a.holder.Number})
		}
	}
	if since := now - a.lastReportMs; since >= reportEveryMs || a.dirty && since >= minReportGapMs {
		a.lastReportMs, a.dirty = now, false
		seq := a.holder.NextSeq()
		return []any{a.send(now, Post{Seq: seq, Caller: a.caller, HolderReport: &HolderReport{a.caller, seq, a.door, maps.Clone(a.versions), maps.Clone(a.failed)}})}
	}
	return nil
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
			changed = changed || r.Live() && r.Stage != release.RollingBack && r.Digest == digest && r.Failed[h.Door] == ""
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
