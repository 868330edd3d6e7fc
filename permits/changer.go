package permits

import (
	"maps"

	"github.com/swifthall/swifthall/release"
)

// HolderReport is the report of the process that holds a door's listener: which versions the door runs, and which it failed to
// install.
type Hold struct {
	Caller string            `json:"caller"`
	Seq    uint64            `json:"seq"`
	Door   string            `json:"door"`
	Runs   release.Runs      `json:"runs"`
	Failed map[string]string `json:"failed,omitempty"` // reason by digest
}

// Assignment answers a HolderReport: which version the door is to run, and for which release. It is empty if nothing is to change.
type Given struct {
	Release uint64 `json:"release,omitempty"`
	Name    string `json:"name,omitempty"`
	Changes string `json:"changes,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Back    bool   `json:"back,omitempty"`
}

// ReleaseAgent is the client of the coordinators in the process that holds a door's listener: for a release, and with a permit, it
// has the door run another version. Without coordinators nothing changes.
type Changer struct {
	door   string
	caller string
	h      Holder
	asking
	runs   release.Runs
	failed map[string]string
	want   *Given
	taking bool
	saidMs float64
	dirty  bool
	denied float64
	spent  uint64 // permit to be returned, of an abandoned or failed step; 0 for none
}

// Events of a ReleaseAgent, besides Answered, Unanswered and Tick.
type (
	// AssignmentReceived is the answer to a Post with a HolderReport.
	Gave struct {
		Seq   uint64
		Given Given
	}
	// VersionsChanged reports which versions the door runs and which it failed to install, after an ApplyRelease or when a process
	// ended by itself.
	Runs struct {
		Runs   release.Runs
		Failed map[string]string
	}
)

// ApplyRelease has the door run the assigned version, if that can begin before UntilMs. A VersionsChanged follows.
type Take struct {
	Given
	UntilMs float64
}

// NewReleaseAgent returns the agent of a door with the versions that it runs and those that it failed to install.
func NewChanger(door string, process uint64, runs release.Runs, failed map[string]string) *Changer {
	return &Changer{door: door, caller: Caller(door+"/holder", process), runs: runs, failed: failed, dirty: true}
}

// Step processes an event and returns the resulting actions.
func (c *Changer) Step(now float64, e any) []any {
	switch e := e.(type) {
	case Gave:
		if w := c.over(e.Seq); w != nil && w.Hold != nil {
			c.want = nil
			if e.Given.Release != 0 && c.runs[e.Given.Changes] != e.Given.Digest {
				c.want = &e.Given
			}
		}
	case Answered:
		if w := c.over(e.Seq); w != nil {
			c.answered(now, w, e)
		}
	case Runs:
		if c.taking && (c.want == nil || e.Runs[c.want.Changes] != c.want.Digest) {
			c.spent = c.h.Number // the previous process keeps serving, so the permit can be returned
		}
		if c.taking {
			c.h.Drop()
		}
		c.taking, c.dirty, c.want = false, true, nil
		c.runs, c.failed = maps.Clone(e.Runs), maps.Clone(e.Failed)
	}
	return c.act(now)
}

func (c *Changer) answered(now float64, asked *Post, e Answered) {
	if w, is := asked.Do.(Withdraw); is {
		if c.spent == w.Number {
			c.spent = 0
		}
		return
	}
	c.h.Answered(e.Seq, e.Answer)
	if e.Answer.Err != nil {
		c.giveUp(now)
	}
}

// abandon gives up the current step; a permit that was granted is returned.
func (c *Changer) giveUp(now float64) {
	if c.h.Number != 0 {
		c.spent = c.h.Number
	}
	c.h.Drop()
	c.denied, c.dirty = now+denyRest, true
}

func (c *Changer) act(now float64) []any {
	again, lost, busy := c.due(now)
	switch {
	case again != nil:
		return []any{*again}
	case busy, c.taking:
		return nil
	case lost != nil && lost.Hold == nil:
		c.giveUp(now)
	}
	post := func(seq uint64, do any) []any { return []any{c.ask(now, Post{Seq: seq, Caller: c.caller, Do: do})} }
	switch {
	case c.spent != 0:
		return post(c.h.Next(), Withdraw{c.spent})
	case c.want == nil && c.h.Number != 0: // the assignment was withdrawn
		c.giveUp(now)
	case c.want != nil && now >= c.denied:
		if c.h.Number != 0 && !c.h.Fresh(now) {
			c.giveUp(now)
			break
		}
		switch {
		case c.h.Number == 0:
			return post(c.h.Asked(now, holdFor), Ask{Unit: c.door, Kind: Door, Who: "release " + c.want.Name, Why: c.want.Changes, HoldMs: holdFor, Release: c.want.Release})
		case c.h.MayGo(now):
			c.taking = true
			return []any{Take{*c.want, c.h.Until()}}
		default:
			return post(c.h.Looking(now), Confirm{Number: c.h.Number})
		}
	}
	if since := now - c.saidMs; since >= sayEvery || c.dirty && since >= sayLeast {
		c.saidMs, c.dirty = now, false
		seq := c.h.Next()
		return []any{c.ask(now, Post{Seq: seq, Caller: c.caller, Hold: &Hold{c.caller, seq, c.door, maps.Clone(c.runs), maps.Clone(c.failed)}})}
	}
	return nil
}

// HolderCommands lists the commands that a holder's report requires: one if its door's versions or failures have changed.
func (s *State) NeedsOf(h *Hold) (do []any) {
	known := s.Release.Runs[h.Door]
	news := known == nil
	for _, what := range []string{release.Configuration, release.Program} {
		news = news || known[what] != h.Runs[what]
	}
	for digest := range h.Failed {
		for _, r := range s.Release.All {
			news = news || r.Live() && r.Stage != release.Back && r.Digest == digest && r.Failed[h.Door] == ""
		}
	}
	if news {
		do = append(do, release.Took{Door: h.Door, Runs: h.Runs, Failed: h.Failed})
	}
	return do
}

// Assignment returns which version a door is to run.
func (s *State) Given(door string) (g Given) {
	if r, digest, is := s.Release.Wanted(door); is {
		g = Given{r.Number, r.Name, r.Changes, digest, r.Stage == release.Back}
	}
	return g
}
