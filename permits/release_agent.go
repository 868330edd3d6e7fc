package permits

import (
	"maps"

	"github.com/swifthall/swifthall/release"
)

// HolderReport is the report of the process that holds a door's listener: which versions the door runs, and which it failed to
// install.
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
func (c *ReleaseAgent) Step(now float64, e any) []any {
	switch e := e.(type) {
	case AssignmentReceived:
		if w := c.complete(e.Seq); w != nil && w.HolderReport != nil {
			c.target = nil
			if e.Assignment.Release != 0 && c.versions[e.Assignment.Changes] != e.Assignment.Digest {
				c.target = &e.Assignment
			}
		}
	case Answered:
		if w := c.complete(e.Seq); w != nil {
			c.handleAnswer(now, w, e)
		}
	case VersionsChanged:
		if c.applying && (c.target == nil || e.Runs[c.target.Changes] != c.target.Digest) {
			c.returnNumber = c.holder.Number // the previous process keeps serving, so the permit can be returned
		}
		if c.applying {
			c.holder.Drop()
		}
		c.applying, c.dirty, c.target = false, true, nil
		c.versions, c.failed = maps.Clone(e.Runs), maps.Clone(e.Failed)
	}
	return c.act(now)
}

func (c *ReleaseAgent) handleAnswer(now float64, sent *Post, e Answered) {
	if w, is := sent.Do.(Withdraw); is {
		if c.returnNumber == w.Number {
			c.returnNumber = 0
		}
		return
	}
	c.holder.Answered(e.Seq, e.Answer)
	if e.Answer.Err != nil {
		c.abandon(now)
	}
}

// abandon gives up the current step; a permit that was granted is returned.
func (c *ReleaseAgent) abandon(now float64) {
	if c.holder.Number != 0 {
		c.returnNumber = c.holder.Number
	}
	c.holder.Drop()
	c.retryAtMs, c.dirty = now+denialBackoffMs, true
}

func (c *ReleaseAgent) act(now float64) []any {
	resend, abandoned, busy := c.poll(now)
	switch {
	case resend != nil:
		return []any{*resend}
	case busy, c.applying:
		return nil
	case abandoned != nil && abandoned.HolderReport == nil:
		c.abandon(now)
	}
	post := func(seq uint64, do any) []any { return []any{c.send(now, Post{Seq: seq, Caller: c.caller, Do: do})} }
	switch {
	case c.returnNumber != 0:
		return post(c.holder.NextSeq(), Withdraw{c.returnNumber})
	case c.target == nil && c.holder.Number != 0: // the assignment was withdrawn
		c.abandon(now)
	case c.target != nil && now >= c.retryAtMs:
		if c.holder.Number != 0 && !c.holder.Fresh(now) {
			c.abandon(now)
			break
		}
		switch {
		case c.holder.Number == 0:
			return post(c.holder.RequestSent(now, permitHoldMs), RequestPermit{Unit: c.door, Kind: Door, Who: "release " + c.target.Name, Why: c.target.Changes, HoldMs: permitHoldMs, Release: c.target.Release})
		case c.holder.MayGo(now):
			c.applying = true
			return []any{ApplyRelease{*c.target, c.holder.Deadline()}}
		default:
			return post(c.holder.ConfirmSent(now), Confirm{Number: c.holder.Number})
		}
	}
	if since := now - c.lastReportMs; since >= reportEveryMs || c.dirty && since >= minReportGapMs {
		c.lastReportMs, c.dirty = now, false
		seq := c.holder.NextSeq()
		return []any{c.send(now, Post{Seq: seq, Caller: c.caller, HolderReport: &HolderReport{c.caller, seq, c.door, maps.Clone(c.versions), maps.Clone(c.failed)}})}
	}
	return nil
}

// HolderCommands lists the commands that a holder's report requires: one if its door's versions or failures have changed.
func (s *State) HolderCommands(h *HolderReport) (do []any) {
	known := s.Release.Runs[h.Door]
	changed := known == nil
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
