package permits

import (
	"maps"

	"github.com/swifthall/swifthall/release"
)

// HolderReport is what the process that holds a door's listener says: what the door runs, and what it could not take.
type HolderReport struct {
	Caller string            `json:"caller"`
	Seq    uint64            `json:"seq"`
	Door   string            `json:"door"`
	Runs   release.Versions  `json:"runs"`
	Failed map[string]string `json:"failed,omitempty"`
}

// Assignment answers it: what the door is to run, by which release; nothing where it is to stay as it is.
type Assignment struct {
	Release uint64 `json:"release,omitempty"`
	Name    string `json:"name,omitempty"`
	Changes string `json:"changes,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Back    bool   `json:"back,omitempty"`
}

// Changer is the side of the process that holds a door's listener: by a release, and with a permit, it has the door run
// something else. With coordinators gone nothing changes.
type Changer struct {
	door   string
	caller string
	h      PermitHolder
	asking
	runs   release.Versions
	failed map[string]string
	want   *Assignment
	taking bool
	saidMs float64
	dirty  bool
	denied float64
	spent  uint64 // permit of a step that came to nothing, to be given back
}

// Events of a changer, besides Answered, Unanswered and Tick.
type (
	// Gave brings the answer to a Hold.
	AssignmentReceived struct {
		Seq        uint64
		Assignment Assignment
	}
	// Runs tells what the door runs, and what it could not take: after a Take, or when a process ended by itself.
	VersionsChanged struct {
		Runs   release.Versions
		Failed map[string]string
	}
)

// ApplyRelease has the door run something else, if that can begin before UntilMs. A Runs follows.
type ApplyRelease struct {
	Assignment
	UntilMs float64
}

// NewReleaseAgent returns the changer of a door that runs this, and could not take that.
func NewReleaseAgent(door string, process uint64, runs release.Versions, failed map[string]string) *Changer {
	return &Changer{door: door, caller: CallerName(door+"/holder", process), runs: runs, failed: failed, dirty: true}
}

// Step takes an event in.
func (c *Changer) Step(now float64, e any) []any {
	switch e := e.(type) {
	case AssignmentReceived:
		if w := c.over(e.Seq); w != nil && w.HolderReport != nil {
			c.want = nil
			if e.Assignment.Release != 0 && c.runs[e.Assignment.Changes] != e.Assignment.Digest {
				c.want = &e.Assignment
			}
		}
	case Answered:
		if w := c.over(e.Seq); w != nil {
			c.answered(now, w, e)
		}
	case VersionsChanged:
		if c.taking && (c.want == nil || e.Runs[c.want.Changes] != c.want.Digest) {
			c.spent = c.h.Number // the process before serves on: its place is free
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

// giveUp means nothing that was asked any more: a permit that may have been given is given back.
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
	case lost != nil && lost.HolderReport == nil:
		c.giveUp(now)
	}
	post := func(seq uint64, do any) []any { return []any{c.ask(now, Post{Seq: seq, Caller: c.caller, Do: do})} }
	switch {
	case c.spent != 0:
		return post(c.h.NextSeq(), Withdraw{c.spent})
	case c.want == nil && c.h.Number != 0: // it isn't to go any more
		c.giveUp(now)
	case c.want != nil && now >= c.denied:
		if c.h.Number != 0 && !c.h.Fresh(now) {
			c.giveUp(now)
			break
		}
		switch {
		case c.h.Number == 0:
			return post(c.h.RequestSent(now, holdFor), RequestPermit{Unit: c.door, Kind: Door, Who: "release " + c.want.Name, Why: c.want.Changes, HoldMs: holdFor, Release: c.want.Release})
		case c.h.MayGo(now):
			c.taking = true
			return []any{ApplyRelease{*c.want, c.h.Until()}}
		default:
			return post(c.h.ConfirmSent(now), Confirm{Number: c.h.Number})
		}
	}
	if since := now - c.saidMs; since >= sayEvery || c.dirty && since >= sayLeast {
		c.saidMs, c.dirty = now, false
		seq := c.h.NextSeq()
		return []any{c.ask(now, Post{Seq: seq, Caller: c.caller, HolderReport: &HolderReport{c.caller, seq, c.door, maps.Clone(c.runs), maps.Clone(c.failed)}})}
	}
	return nil
}

// HolderCommands lists the command that a holder's word calls for: what its door runs has changed.
func (s *State) HolderCommands(h *HolderReport) (do []any) {
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

// Assignment tells a door's holder what it is to run.
func (s *State) Assignment(door string) (g Assignment) {
	if r, digest, is := s.Release.Wanted(door); is {
		g = Assignment{r.Number, r.Name, r.Changes, digest, r.Stage == release.Back}
	}
	return g
}
