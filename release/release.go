// Package release decides on releases: which doors run what, in which waves, and whether a wave is well. It knows no I/O. Its
// state is part of what coordinators agree on; permits bound how many doors change at once.
package release

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// What may change.
const (
	Configuration = "configuration" // a file laid over each door's own, by digest
	Program       = "program"       // the door's program, by digest
	Backends      = "backends"      // backends, each replaced by other means while it is drained
)

// Plan is a release as operators write it.
type Plan struct {
	Name    string   `json:"name"`
	Changes string   `json:"changes"` // configuration, program or backends
	Digest  string   `json:"digest"`  // sha256 of the file, hexadecimal; doors have it in their folder of releases
	Doors   []string `json:"doors"`   // or backends; empty for all that are known
	Waves   []Wave   `json:"waves"`
	// Over names a release that this one takes the place of, if it is under way. Else this one waits until no other has any of
	// its doors.
	Over string `json:"over"`
	Ends Ends   `json:"ends"`
}

// Ends is by how much the changed may be worse than the others before a release goes back; 0 for the module's own.
type Ends struct {
	Requests float64 `json:"operations,omitempty"` // share of requests not in time, failed or rejected
	Latency  float64 `json:"latency,omitempty"`    // share of the others' latency
	Memory   float64 `json:"memory,omitempty"`     // share of the others' memory
}

// Wave is some of the doors, and how long they are watched once all of them have taken it. Exactly one of the first four.
type Wave struct {
	Count    int     `json:"count,omitempty"`     // doors, of different zones as far as there are some
	EachZone int     `json:"each_zone,omitempty"` // doors of each zone
	Share    float64 `json:"share,omitempty"`     // of all
	Rest     bool    `json:"rest,omitempty"`
	WatchS   float64 `json:"watch_s"`
}

const (
	digestSize = 64    // digits
	longest    = 86400 // s of a watch
	kept       = 50    // releases that are over and remembered
)

// Read reads a plan. What is wrong with it is told by key.
func Read(in io.Reader) (p Plan, err error) {
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return p, &PlanError{Says: "it can't be read", Cause: err}
	}
	return p, p.Check()
}

// Check tells what is wrong with a plan.
func (p *Plan) Check() error {
	bad := func(key, format string, args ...any) error {
		return &PlanError{Key: key, Says: fmt.Sprintf(format, args...)}
	}
	switch {
	case p.Name == "" || strings.ContainsAny(p.Name, " /\t\n"):
		return bad("name", "%q: a word without spaces is wanted", p.Name)
	case p.Changes != Configuration && p.Changes != Program && p.Changes != Backends:
		return bad("changes", "%q, %s, %s or %s is wanted", p.Changes, Configuration, Program, Backends)
	case p.Changes == Backends && p.Digest != "":
		return bad("digest", "%q, though backends are replaced by other means", p.Digest)
	case p.Changes != Backends && (len(p.Digest) != digestSize || strings.Trim(p.Digest, "0123456789abcdef") != ""):
		return bad("digest", "%q is no sha256 in %d digits", p.Digest, digestSize)
	case len(p.Waves) == 0:
		return bad("waves", "none")
	case !(p.Ends.Requests >= 0 && p.Ends.Requests < 1) || !(p.Ends.Latency >= 0) || !(p.Ends.Memory >= 0):
		return bad("ends", "shares from 0 on are wanted, operations under 1")
	}
	for i, w := range p.Waves {
		kinds := 0
		for _, is := range []bool{w.Count > 0, w.EachZone > 0, w.Share > 0, w.Rest} {
			if is {
				kinds++
			}
		}
		switch {
		case kinds != 1 || w.Count < 0 || w.EachZone < 0 || !(w.Share >= 0 && w.Share <= 1):
			return bad(fmt.Sprintf("waves[%d]", i), "one of count, each_zone, share (up to 1) and rest is wanted")
		case !(w.WatchS >= 0 && w.WatchS <= longest):
			return bad(fmt.Sprintf("waves[%d].watch_s", i), "%g, 0 to %d is wanted", w.WatchS, longest)
		case w.Rest != (i == len(p.Waves)-1):
			return bad(fmt.Sprintf("waves[%d].rest", i), "the last wave, and no other, is the rest")
		}
	}
	return nil
}

// Stage of a release.
type Stage string

// Stages.
const (
	Waiting    Stage = "waiting" // for another that has some of its doors
	Running    Stage = "running"
	Halted     Stage = "halted"
	Back       Stage = "going back"
	Done       Stage = "done"
	RolledBack Stage = "back" // all is as it was
	Replaced   Stage = "replaced"
)

// Release is one, under way or over.
type Release struct {
	Plan
	Number      uint64            `json:"number"`
	Who         string            `json:"who"`
	Why         string            `json:"why"`
	Stage       Stage             `json:"stage"`
	Reason      string            `json:"says,omitempty"` // why it stands as it does
	Wave        int               `json:"wave"`
	UnitsByWave [][]string        `json:"parts"`            // doors by wave
	Previous    map[string]string `json:"from"`             // digest that each ran before
	Failed      map[string]string `json:"failed,omitempty"` // doors that could not take it, with their words
}

// Door is a door as far as releases see it.
type Door struct {
	Name string
	Zone string
}

// Versions is what a door runs, by what may change; an empty digest for its own file or program.
type Versions map[string]string

// State is all releases, and what the doors run.
type State struct {
	Next uint64
	All  []*Release
	Runs map[string]Versions // by door
	Seen map[string]string   // process that each backend was last seen as
}

// New returns a state without releases.
func New() *State { return &State{Next: 1, Runs: map[string]Versions{}, Seen: map[string]string{}} }

// Commands.
type (
	// Start begins a release, or has it wait.
	Start struct {
		Plan     Plan
		Who, Why string
	}
	// Took is a door's word on what it runs, and what it could not take.
	Took struct {
		Door   string
		Runs   Versions
		Failed map[string]string `json:",omitempty"` // by digest, why
	}
	// Judged is a verdict on a wave, by the coordinator that leads.
	RecordVerdict struct {
		Number  uint64
		Wave    int
		Verdict Verdict
	}
	// Steer is an operator's word on a release: halt, resume or back.
	Steer struct {
		Name     string
		To       string
		Who, Why string
	}
)

// Words of Steer.
const (
	ToHalt   = "halt"
	ToResume = "resume"
	ToBack   = "back"
)

// Live tells whether a release still has its doors.
func (r *Release) Live() bool { return r.Stage == Running || r.Stage == Halted || r.Stage == Back }

func (r *Release) doors() (all []string) {
	for _, part := range r.UnitsByWave {
		all = append(all, part...)
	}
	return all
}

// Find finds a release by name, the latest of it.
func (s *State) Find(name string) *Release {
	for i := len(s.All) - 1; i >= 0; i-- {
		if s.All[i].Name == name {
			return s.All[i]
		}
	}
	return nil
}

// Has finds the live release of such changes that has a door or backend.
func (s *State) Has(door, changes string) *Release {
	for _, r := range s.All {
		if r.Live() && r.Changes == changes && slices.Contains(r.doors(), door) {
			return r
		}
	}
	return nil
}

// Saw notes as which process a backend is seen. A backend is changed once that is another than when its release began.
func (s *State) Saw(backend, process string) { s.Seen[backend] = process }

// Do takes a command in. doors and backends are all that are known, with their zones, sorted by name. It returns words for the
// audit.
func (s *State) Do(command any, doors, backends []Door) (number uint64, note string, err error) {
	of := map[bool][]Door{false: doors, true: backends}
	switch c := command.(type) {
	case Start:
		number, err = s.start(c, of[c.Plan.Changes == Backends])
		note = "release " + c.Plan.Name + " of " + c.Plan.Changes + " " + c.Plan.Digest
	case Took:
		s.took(c)
	case RecordVerdict:
		note, err = s.judged(c)
	case Steer:
		note, err = s.steer(c)
	}
	if err != nil {
		return 0, "", err
	}
	s.settle(of)
	return number, note, nil
}

func (s *State) start(c Start, doors []Door) (uint64, error) {
	if err := c.Plan.Check(); err != nil {
		return 0, err
	}
	if old := s.Find(c.Plan.Name); old != nil && (old.Live() || old.Stage == Waiting) {
		return 0, &NameError{c.Plan.Name, old.Stage}
	}
	for _, name := range c.Plan.Doors {
		if !slices.ContainsFunc(doors, func(d Door) bool { return d.Name == name }) {
			return 0, &PlanError{Key: "doors", Says: fmt.Sprintf("%q is not known", name)}
		}
	}
	if c.Plan.Over != "" {
		old := s.Find(c.Plan.Over)
		if old == nil || !old.Live() && old.Stage != Waiting {
			return 0, &PlanError{Key: "over", Says: fmt.Sprintf("%q is not under way", c.Plan.Over)}
		}
	}
	r := &Release{Plan: c.Plan, Number: s.Next, Who: c.Who, Why: c.Why, Stage: Waiting, Previous: map[string]string{}, Failed: map[string]string{}}
	s.Next++
	s.All = append(s.All, r)
	over := len(s.All) - kept // the oldest that are at their end go first
	s.All = slices.DeleteFunc(s.All, func(r *Release) bool {
		ended := !r.Live() && r.Stage != Waiting
		if ended {
			over--
		}
		return ended && over >= 0
	})
	return r.Number, nil
}

// settle begins what waits and may, and ends what has come to its end.
func (s *State) settle(of map[bool][]Door) {
	for _, r := range s.All {
		if r.Stage == Back && r.Changes == Backends { // what was replaced has no way back here: drains end, and no more are
			r.Stage = RolledBack
		}
		if r.Stage == Back && !slices.ContainsFunc(r.doors(), func(d string) bool { return s.runs(d, r.Changes) != r.Previous[d] }) {
			r.Stage = RolledBack
		}
	}
	for _, r := range s.All {
		if r.Stage != Waiting {
			continue
		}
		var mine []Door
		for _, d := range of[r.Changes == Backends] {
			if len(r.Doors) == 0 || slices.Contains(r.Doors, d.Name) {
				mine = append(mine, d)
			}
		}
		if len(mine) == 0 {
			continue
		}
		var old *Release
		if r.Over != "" {
			old = s.Find(r.Over)
		}
		free := !slices.ContainsFunc(s.All, func(o *Release) bool {
			return o != r && o != old && o.Live() && (o.Changes == Backends) == (r.Changes == Backends) && slices.ContainsFunc(mine, func(d Door) bool { return slices.Contains(o.doors(), d.Name) })
		})
		if !free {
			continue
		}
		if old != nil && (old.Live() || old.Stage == Waiting) {
			old.Stage, old.Reason = Replaced, "by "+r.Name
		}
		r.Stage, r.UnitsByWave = Running, parts(r.Waves, mine)
		for _, d := range mine {
			r.Previous[d.Name] = s.runs(d.Name, r.Changes)
			if r.Changes == Backends {
				continue
			}
			if old != nil && old.Changes == r.Changes && slices.Contains(old.doors(), d.Name) {
				r.Previous[d.Name] = old.Previous[d.Name] // the way back leads behind what never was judged well
			}
		}
	}
}

func (s *State) runs(door, changes string) string {
	if changes == Backends {
		return s.Seen[door]
	}
	return s.Runs[door][changes]
}

// parts deals doors out to waves: each wave takes from the zones in turn, so that none of them is a wave's alone.
func parts(waves []Wave, doors []Door) (all [][]string) {
	byZone := map[string][]string{}
	for _, d := range doors {
		byZone[d.Zone] = append(byZone[d.Zone], d.Name)
	}
	zones := slices.Sorted(maps.Keys(byZone))
	take := func(n int) (part []string) {
		for n > 0 {
			took := false
			for _, z := range zones {
				if n > 0 && len(byZone[z]) > 0 {
					part, byZone[z], n, took = append(part, byZone[z][0]), byZone[z][1:], n-1, true
				}
			}
			if !took {
				break
			}
		}
		return part
	}
	for _, w := range waves {
		var part []string
		switch {
		case w.Rest:
			part = take(len(doors))
		case w.EachZone > 0:
			for _, z := range zones {
				n := min(w.EachZone, len(byZone[z]))
				part, byZone[z] = append(part, byZone[z][:n]...), byZone[z][n:]
			}
		case w.Share > 0:
			part = take(max(1, int(w.Share*float64(len(doors))+0.5)))
		default:
			part = take(w.Count)
		}
		all = append(all, part)
	}
	return all
}

func (s *State) took(c Took) {
	if s.Runs[c.Door] == nil {
		s.Runs[c.Door] = Versions{}
	}
	for _, what := range []string{Configuration, Program} {
		s.Runs[c.Door][what] = c.Runs[what]
	}
	for _, r := range s.All {
		why, failed := c.Failed[r.Digest]
		if !failed || !r.Live() || r.Stage == Back || !slices.Contains(r.doors(), c.Door) || r.Failed[c.Door] != "" {
			continue
		}
		// What one door can't take the next ones aren't given, and those that have it give it back.
		r.Failed[c.Door] = why
		r.Stage, r.Reason = Back, c.Door+": "+why
	}
}

// Number finds a release by its number; nil where it is forgotten.
func (s *State) Number(number uint64) *Release {
	for _, r := range s.All {
		if r.Number == number {
			return r
		}
	}
	return nil
}

func (s *State) judged(c RecordVerdict) (string, error) {
	r := s.Number(c.Number)
	if r == nil || r.Stage != Running || r.Wave != c.Wave {
		return "", &StageError{Name: fmt.Sprint("release ", c.Number), To: string(c.Verdict.Outcome)}
	}
	r.Reason = c.Verdict.Why
	switch c.Verdict.Outcome {
	case GoOn:
		if !s.Whole(r) {
			return "", &StageError{Name: r.Name, Stage: r.Stage, To: string(GoOn)}
		}
		if r.Wave++; r.Wave == len(r.UnitsByWave) {
			r.Wave--
			r.Stage = Done
		}
	case Stop:
		r.Stage = Halted
	case GoBack:
		r.Stage = Back
	default:
		return "", nil
	}
	return fmt.Sprintf("release %s, wave %d: %s", r.Name, c.Wave+1, c.Verdict.Outcome), nil
}

func (s *State) steer(c Steer) (string, error) {
	r := s.Find(c.Name)
	if r == nil {
		return "", &UnknownError{c.Name}
	}
	can := map[string][]Stage{ToHalt: {Running}, ToResume: {Halted}, ToBack: {Running, Halted, Done, Waiting}}[c.To]
	if !slices.Contains(can, r.Stage) {
		return "", &StageError{c.Name, r.Stage, c.To}
	}
	switch c.To {
	case ToHalt:
		r.Stage = Halted
	case ToResume:
		r.Stage = Running
	case ToBack:
		if r.Stage == Waiting {
			r.Stage = RolledBack
			break
		}
		if r.Stage == Done && slices.ContainsFunc(r.doors(), func(d string) bool { return s.Has(d, r.Changes) != nil }) {
			return "", &StageError{c.Name, r.Stage, c.To}
		}
		r.Stage = Back
	}
	r.Reason = fmt.Sprintf("%s by %s: %s", c.To, c.Who, c.Why)
	return fmt.Sprintf("release %s: %s", r.Name, c.To), nil
}

// Whole tells whether all doors of a release's present wave, and of those before, run it.
func (s *State) Whole(r *Release) bool {
	for i, part := range r.UnitsByWave {
		for _, d := range part {
			if i <= r.Wave && !s.Changed(r, d) {
				return false
			}
		}
	}
	return true
}

// Changed tells whether a door runs what a release gives, or a backend has been replaced since it began.
func (s *State) Changed(r *Release, unit string) bool {
	if r.Changes == Backends {
		return s.Seen[unit] != r.Previous[unit]
	}
	return s.runs(unit, r.Changes) == r.Digest
}

// Due lists the backends of a release that are to be drained and replaced now.
func (s *State) Due(r *Release) (backends []string) {
	if r.Stage != Running || r.Changes != Backends {
		return nil
	}
	for i, part := range r.UnitsByWave {
		for _, b := range part {
			if i <= r.Wave && !s.Changed(r, b) {
				backends = append(backends, b)
			}
		}
	}
	return backends
}

// Wanted is what a door is to run instead of what it runs; false where it is to stay as it is. The way back runs in the reverse
// order: a wave begins once those behind it are back.
func (s *State) Wanted(door string) (r *Release, digest string, is bool) {
	for _, r := range s.All {
		if !r.Live() || r.Stage == Halted || r.Changes == Backends {
			continue
		}
		for i, part := range r.UnitsByWave {
			if !slices.Contains(part, door) {
				continue
			}
			runs := s.runs(door, r.Changes)
			switch {
			case r.Stage == Running && i <= r.Wave && runs != r.Digest && r.Failed[door] == "":
				return r, r.Digest, true
			case r.Stage == Back && runs != r.Previous[door]:
				for _, later := range r.UnitsByWave[i+1:] {
					if slices.ContainsFunc(later, func(d string) bool { return s.runs(d, r.Changes) != r.Previous[d] }) {
						return nil, "", false
					}
				}
				return r, r.Previous[door], true
			}
		}
	}
	return nil, "", false
}

// MayTake tells whether a door may go by a release now: it is given something else, and the release isn't halted. back tells
// that it is on its way back.
func (s *State) MayTake(number uint64, door string) (back bool, err error) {
	r := s.Number(number)
	if r == nil {
		return false, &UnknownError{fmt.Sprint("number ", number)}
	}
	if w, _, is := s.Wanted(door); !is || w != r {
		return false, &StageError{r.Name, r.Stage, "give " + door + " anything now"}
	}
	return r.Stage == Back, nil
}
