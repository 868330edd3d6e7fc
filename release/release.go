// Package release is the state machine of staged rollouts: which doors run which version, in which waves, and whether a wave is
// healthy compared with the unchanged doors (canary analysis). It does no I/O. Its state is part of the coordinators' replicated
// state; permits limit how many doors change at the same time.
package release

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Kinds of changes that a release makes.
const (
	Configuration = "configuration" // a file merged over each door's own configuration, by digest
	Program       = "program"       // the door's executable, by digest
	Backends      = "backends"      // backends, each replaced by other tools while it is drained
)

// Plan is the file format of a release.
type Plan struct {
	Name    string   `json:"name"`
	Changes string   `json:"changes"` // configuration, program or backends
	Digest  string   `json:"digest"`  // hexadecimal SHA-256 of the file, which each door has in its directory of releases
	Doors   []string `json:"doors"`   // doors or backends to change; empty for all known ones
	Waves   []Wave   `json:"waves"`
	// Supersedes names a release in progress that this one replaces. Without it this release waits until no other one has any of
	// its doors.
	Supersedes string `json:"over"`
	// Limits are the differences from the unchanged doors at which the release rolls back.
	Limits Ends `json:"ends"`
}

// Ends is by how much the changed doors may be worse than the others before a release rolls back; 0 selects the default.
// Ends, Plan and Wave keep their names: errors of decoding contain them and are replicated as answers.
type Ends struct {
	Requests float64 `json:"operations,omitempty"` // additional share of requests that are late, failed or rejected
	Latency  float64 `json:"latency,omitempty"`    // increase as a share of the others' latency
	Memory   float64 `json:"memory,omitempty"`     // increase as a share of the others' memory
}

// Wave selects some of the doors, by exactly one of the first four fields, and the time in s for which they are observed once all
// of them run the new version.
type Wave struct {
	Count    int     `json:"count,omitempty"`     // number of doors, of as many zones as possible
	EachZone int     `json:"each_zone,omitempty"` // number of doors of each zone
	Share    float64 `json:"share,omitempty"`     // share of all doors, at least one door
	Rest     bool    `json:"rest,omitempty"`      // all remaining doors
	WatchS   float64 `json:"watch_s"`             // s
}

const (
	digestDigits    = 64    // hexadecimal digits of a SHA-256
	maxWatchS       = 86400 // s, maximum of watch_s
	maxKeptReleases = 50    // releases that are kept in the state; the oldest ended ones are dropped
)

// Read decodes and validates a plan. Its errors name the offending key.
func Read(in io.Reader) (p Plan, err error) {
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return p, &PlanError{Says: "it can't be read", Cause: err}
	}
	return p, p.Check()
}

// Check validates a plan.
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
	case p.Changes != Backends && (len(p.Digest) != digestDigits || strings.Trim(p.Digest, "0123456789abcdef") != ""):
		return bad("digest", "%q is no sha256 in %d digits", p.Digest, digestDigits)
	case len(p.Waves) == 0:
		return bad("waves", "none")
	case !(p.Limits.Requests >= 0 && p.Limits.Requests < 1) || !(p.Limits.Latency >= 0) || !(p.Limits.Memory >= 0):
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
		case !(w.WatchS >= 0 && w.WatchS <= maxWatchS):
			return bad(fmt.Sprintf("waves[%d].watch_s", i), "%g, 0 to %d is wanted", w.WatchS, maxWatchS)
		case w.Rest != (i == len(p.Waves)-1):
			return bad(fmt.Sprintf("waves[%d].rest", i), "the last wave, and no other, is the rest")
		}
	}
	return nil
}

// Stage is the stage of a release.
type Stage string

// Stages of a release.
const (
	Waiting     Stage = "waiting" // until another release no longer has any of its doors
	Running     Stage = "running"
	Halted      Stage = "halted"
	RollingBack Stage = "going back"
	Done        Stage = "done"
	RolledBack  Stage = "back" // all doors run their previous version again; a release of backends has only ended its drains
	Replaced    Stage = "replaced"
)

// Release is a release with its progress.
type Release struct {
	Plan
	Number      uint64            `json:"number"`
	Who         string            `json:"who"`
	Why         string            `json:"why"`
	Stage       Stage             `json:"stage"`
	Reason      string            `json:"says,omitempty"`   // reason for the present stage
	Wave        int               `json:"wave"`             // index of the current wave
	UnitsByWave [][]string        `json:"parts"`            // doors or backends by wave
	Previous    map[string]string `json:"from"`             // digest that each ran before, or process of each backend
	Failed      map[string]string `json:"failed,omitempty"` // doors that failed to install it, with the reason
	// Changing holds, by door, the permits with which doors may be changing: a change that has begun can't be called off, and
	// what its door reports to run is out of date until it reports again.
	Changing map[string]uint64 `json:"changing,omitempty"`
}

// Clone returns a copy that shares nothing that changes with the release.
func (r *Release) Clone() *Release {
	copied := *r
	copied.Previous, copied.Failed, copied.Changing = maps.Clone(r.Previous), maps.Clone(r.Failed), maps.Clone(r.Changing)
	return &copied
}

// UnmarshalJSON decodes a release of a saved state. Maps that the encoding left out are empty, as in a release that was never saved.
func (r *Release) UnmarshalJSON(raw []byte) error {
	type plain Release // without this method, which would recurse
	decoded := plain{Previous: map[string]string{}, Failed: map[string]string{}, Changing: map[string]uint64{}}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return err
	}
	*r = Release(decoded)
	return nil
}

// Unit is a door or a backend that a release may change.
type Unit struct {
	Name string
	Zone string
}

// Versions is the digests that a door runs, by kind of change; empty for the door's own configuration or program.
type Versions map[string]string

// State is the replicated state of all releases and of the versions that doors run.
type State struct {
	Next uint64
	All  []*Release
	Runs map[string]Versions // by door, as last reported
	// Agreed is, by door, what each is to run: what it ran when it was first heard of, and what releases have changed since. It differs
	// from Runs while a door has gone back by itself.
	Agreed map[string]Versions
	Seen   map[string]string // process with which each backend was last seen
}

// New returns a state without releases.
func New() *State {
	return &State{Next: 1, Runs: map[string]Versions{}, Agreed: map[string]Versions{}, Seen: map[string]string{}}
}

// Commands that State.Apply executes.
type (
	// Start enters a release, which runs once no other release has any of its doors.
	Start struct {
		Plan     Plan
		Who, Why string
	}
	// ReportVersions is a door's report of the versions that it runs and of those that it failed to install.
	ReportVersions struct {
		Door   string
		Runs   Versions
		Failed map[string]string `json:",omitempty"` // reason by digest
	}
	// RecordVerdict is the leader's verdict on a wave.
	RecordVerdict struct {
		Number  uint64
		Wave    int
		Verdict Verdict
	}
	// EndChange reports that no change follows from a permit any more, or none at a door that is given up. It is a consequence of other
	// commands and is not in the log itself.
	EndChange struct {
		Permit uint64 // 0 for none
		Door   string // empty for none
	}
	// Steer is an operator's command to halt, resume or roll back a release.
	Steer struct {
		Name     string
		To       string
		Who, Why string
	}
)

// Values of Steer.To.
const (
	ToHalt   = "halt"
	ToResume = "resume"
	ToBack   = "back"
)

// Live reports whether a release still controls its doors.
func (r *Release) Live() bool {
	return r.Stage == Running || r.Stage == Halted || r.Stage == RollingBack
}

// units lists the doors or backends of all waves.
func (r *Release) units() (all []string) {
	for _, part := range r.UnitsByWave {
		all = append(all, part...)
	}
	return all
}

// Find returns the latest release of a name; nil for none.
func (s *State) Find(name string) *Release {
	for i := len(s.All) - 1; i >= 0; i-- {
		if s.All[i].Name == name {
			return s.All[i]
		}
	}
	return nil
}

// LiveReleaseOf returns the live release of a kind of change that controls a door or backend; nil for none.
func (s *State) LiveReleaseOf(unit, changes string) *Release {
	for _, r := range s.All {
		if r.Live() && r.Changes == changes && slices.Contains(r.units(), unit) {
			return r
		}
	}
	return nil
}

// RecordProcess records the process with which a backend is seen. A backend counts as changed once its process differs from the one
// at the start of its release.
func (s *State) RecordProcess(backend, process string) { s.Seen[backend] = process }

// Apply executes a command. doors and backends are all known ones, sorted by name. note is the text for the audit log; empty for
// none.
func (s *State) Apply(command any, doors, backends []Unit) (number uint64, note string, err error) {
	of := map[bool][]Unit{false: doors, true: backends}
	switch c := command.(type) {
	case Start:
		number, err = s.start(c, of[c.Plan.Changes == Backends])
		note = "release " + c.Plan.Name + " of " + c.Plan.Changes + " " + c.Plan.Digest
	case ReportVersions:
		s.recordVersions(c)
	case EndChange:
		s.endChange(c)
	case RecordVerdict:
		note, err = s.applyVerdict(c)
	case Steer:
		note, err = s.steer(c)
	}
	if err != nil {
		return 0, "", err
	}
	s.advance(of)
	return number, note, nil
}

func (s *State) start(c Start, units []Unit) (uint64, error) {
	if err := c.Plan.Check(); err != nil {
		return 0, err
	}
	if old := s.Find(c.Plan.Name); old != nil && (old.Live() || old.Stage == Waiting) {
		return 0, &NameError{c.Plan.Name, old.Stage}
	}
	for _, name := range c.Plan.Doors {
		if !slices.ContainsFunc(units, func(d Unit) bool { return d.Name == name }) {
			return 0, &PlanError{Key: "doors", Says: fmt.Sprintf("%q is not known", name)}
		}
	}
	if c.Plan.Supersedes != "" {
		old := s.Find(c.Plan.Supersedes)
		if old == nil || !old.Live() && old.Stage != Waiting {
			return 0, &PlanError{Key: "over", Says: fmt.Sprintf("%q is not under way", c.Plan.Supersedes)}
		}
	}
	r := &Release{Plan: c.Plan, Number: s.Next, Who: c.Who, Why: c.Why, Stage: Waiting, Previous: map[string]string{}, Failed: map[string]string{}, Changing: map[string]uint64{}}
	s.Next++
	s.All = append(s.All, r)
	excess := len(s.All) - maxKeptReleases // the oldest ended releases are dropped first
	s.All = slices.DeleteFunc(s.All, func(r *Release) bool {
		ended := !r.Live() && r.Stage != Waiting
		if ended {
			excess--
		}
		return ended && excess >= 0
	})
	return r.Number, nil
}

// advance ends the rollbacks that are complete and runs the waiting releases whose units are free. of holds the known doors under
// false and the known backends under true.
func (s *State) advance(of map[bool][]Unit) {
	for _, r := range s.All {
		if r.Stage == RollingBack && r.Changes == Backends { // a replaced backend can't be restored from here: the release's drains end and no further ones begin
			r.Stage = RolledBack
		}
		unfinished := func(door string) bool {
			return s.versionOf(door, r.Changes) != r.Previous[door] || s.changing(door, r.Changes)
		}
		if r.Stage == RollingBack && !slices.ContainsFunc(r.units(), unfinished) {
			r.Stage = RolledBack
			for _, door := range r.units() {
				if agreed := s.Agreed[door]; agreed != nil {
					agreed[r.Changes] = r.Previous[door] // also of a door that had gone back by itself
				}
			}
		}
	}
	for _, r := range s.All {
		if r.Stage != Waiting {
			continue
		}
		var units []Unit
		for _, d := range of[r.Changes == Backends] {
			if len(r.Doors) == 0 || slices.Contains(r.Doors, d.Name) {
				units = append(units, d)
			}
		}
		if len(units) == 0 {
			continue
		}
		var old *Release
		if r.Supersedes != "" {
			old = s.Find(r.Supersedes)
		}
		free := !slices.ContainsFunc(s.All, func(o *Release) bool {
			return o != r && o != old && o.Live() && (o.Changes == Backends) == (r.Changes == Backends) && slices.ContainsFunc(units, func(d Unit) bool { return slices.Contains(o.units(), d.Name) })
		})
		if !free {
			continue
		}
		if old != nil && (old.Live() || old.Stage == Waiting) {
			old.Stage, old.Reason = Replaced, "by "+r.Name
		}
		r.Stage, r.UnitsByWave = Running, assignWaves(r.Waves, units)
		for _, d := range units {
			r.Previous[d.Name] = s.versionOf(d.Name, r.Changes)
			if r.Changes == Backends {
				continue
			}
			if old != nil && old.Changes == r.Changes && slices.Contains(old.units(), d.Name) {
				r.Previous[d.Name] = old.Previous[d.Name] // rolls back past the superseded release, which never passed
			}
		}
	}
}

// BeginChange records that a door may begin to change for a release, with a permit, at any time from now on.
func (s *State) BeginChange(number uint64, door string, permit uint64) {
	if r := s.ByNumber(number); r != nil {
		r.Changing[door] = permit
	}
}

func (s *State) endChange(c EndChange) {
	for _, r := range s.All {
		maps.DeleteFunc(r.Changing, func(door string, permit uint64) bool { return permit == c.Permit || door == c.Door })
	}
}

// MayBeChanging reports whether a door may be amid a change, for any release.
func (s *State) MayBeChanging(door string) bool {
	return s.changing(door, Configuration) || s.changing(door, Program)
}

// changing reports whether a door may be amid a change of a kind.
func (s *State) changing(door, changes string) bool {
	return slices.ContainsFunc(s.All, func(r *Release) bool { return r.Changes == changes && r.Changing[door] != 0 })
}

// versionOf returns the digest that a door runs, or the process of a backend.
func (s *State) versionOf(unit, changes string) string {
	if changes == Backends {
		return s.Seen[unit]
	}
	return s.Runs[unit][changes]
}

// assignWaves assigns units to waves. Each wave takes units from the zones in turn, so that it doesn't concentrate on one zone.
func assignWaves(waves []Wave, units []Unit) (all [][]string) {
	byZone := map[string][]string{}
	for _, d := range units {
		byZone[d.Zone] = append(byZone[d.Zone], d.Name)
	}
	zones := slices.Sorted(maps.Keys(byZone))
	take := func(n int) (part []string) {
		for n > 0 {
			progressed := false
			for _, z := range zones {
				if n > 0 && len(byZone[z]) > 0 {
					part, byZone[z], n, progressed = append(part, byZone[z][0]), byZone[z][1:], n-1, true
				}
			}
			if !progressed {
				break
			}
		}
		return part
	}
	for _, w := range waves {
		var part []string
		switch {
		case w.Rest:
			part = take(len(units))
		case w.EachZone > 0:
			for _, z := range zones {
				n := min(w.EachZone, len(byZone[z]))
				part, byZone[z] = append(part, byZone[z][:n]...), byZone[z][n:]
			}
		case w.Share > 0:
			part = take(max(1, int(w.Share*float64(len(units))+0.5)))
		default:
			part = take(w.Count)
		}
		all = append(all, part)
	}
	return all
}

func (s *State) recordVersions(c ReportVersions) {
	known, agreed := s.Runs[c.Door], s.Agreed[c.Door]
	if known == nil {
		known = Versions{}
		s.Runs[c.Door] = known
	}
	if agreed == nil { // first heard of, or in a snapshot of an earlier version
		agreed = maps.Clone(known)
		s.Agreed[c.Door] = agreed
	}
	for _, kind := range []string{Configuration, Program} {
		first := len(known) == 0
		if digest := c.Runs[kind]; first || s.gives(c.Door, kind, digest) {
			agreed[kind] = digest
		}
	}
	before := maps.Clone(known)
	for _, kind := range []string{Configuration, Program} {
		known[kind] = c.Runs[kind]
	}
	for _, r := range s.All {
		delete(r.Changing, c.Door) // a door reports nothing while it changes
		if why, failed := c.Failed[r.Digest]; failed && s.FailureCounts(r, c.Door) {
			r.Failed[c.Door], r.Reason = why, c.Door+": "+why
			// If one door fails to install the version, or fails soon after, the release rolls back: no further door gets it, and those
			// that run it return to their previous one. A door that fails to take a release again that is done concerns only itself.
			if r.Live() || before[r.Changes] == r.Digest {
				r.Stage = RollingBack
			}
		}
	}
}

// gives reports whether a release has a door change to a version, or may have had it change to it.
func (s *State) gives(door, kind, digest string) bool {
	if r, target, is := s.Target(door); is && r.Changes == kind && target == digest {
		return true
	}
	return slices.ContainsFunc(s.All, func(r *Release) bool {
		goesBack := r.Stage == RollingBack || r.Stage == RolledBack
		return r.Changes == kind && r.Changing[door] != 0 && (digest == r.Digest || goesBack && digest == r.Previous[door])
	})
}

// FailureCounts reports whether it matters to a release that a door can't run its version: while it is installed, and, once it is done, as
// long as it is what the door is to run. It matters once.
func (s *State) FailureCounts(r *Release, door string) bool {
	if r.Failed[door] != "" || !slices.Contains(r.units(), door) {
		return false
	}
	return r.Stage == Running || r.Stage == Halted || s.holds(r, door)
}

// holds reports whether a release is done and a door is to run its version, as nothing later has changed that door.
func (s *State) holds(r *Release, door string) bool {
	return r.Stage == Done && r.Changes != Backends && s.Agreed[door][r.Changes] == r.Digest && s.LiveReleaseOf(door, r.Changes) == nil
}

// Differences lists the doors that run something else than they are to run, sorted.
func (s *State) Differences() (doors []string) {
	for door, agreed := range s.Agreed {
		for _, kind := range []string{Configuration, Program} {
			if s.Runs[door][kind] != agreed[kind] && !s.changing(door, kind) {
				doors = append(doors, door)
				break
			}
		}
	}
	slices.Sort(doors)
	return doors
}

// ByNumber returns a release by its number; nil if it isn't kept any more.
func (s *State) ByNumber(number uint64) *Release {
	for _, r := range s.All {
		if r.Number == number {
			return r
		}
	}
	return nil
}

func (s *State) applyVerdict(c RecordVerdict) (string, error) {
	r := s.ByNumber(c.Number)
	if r == nil || r.Stage != Running || r.Wave != c.Wave {
		return "", &StageError{Name: fmt.Sprint("release ", c.Number), To: string(c.Verdict.Outcome)}
	}
	r.Reason = c.Verdict.Why
	switch c.Verdict.Outcome {
	case GoOn:
		if !s.WaveComplete(r) {
			return "", &StageError{Name: r.Name, Stage: r.Stage, To: string(GoOn)}
		}
		if r.Wave++; r.Wave == len(r.UnitsByWave) {
			r.Wave--
			r.Stage = Done
		}
	case Stop:
		r.Stage = Halted
	case GoBack:
		r.Stage = RollingBack
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
	allowed := map[string][]Stage{ToHalt: {Running}, ToResume: {Halted}, ToBack: {Running, Halted, Done, Waiting}}[c.To]
	if !slices.Contains(allowed, r.Stage) {
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
		if r.Stage == Done && slices.ContainsFunc(r.units(), func(d string) bool { return s.LiveReleaseOf(d, r.Changes) != nil }) {
			return "", &StageError{c.Name, r.Stage, c.To}
		}
		r.Stage = RollingBack
	}
	r.Reason = fmt.Sprintf("%s by %s: %s", c.To, c.Who, c.Why)
	return fmt.Sprintf("release %s: %s", r.Name, c.To), nil
}

// WaveComplete reports whether all doors of a release's current and earlier waves run its version.
func (s *State) WaveComplete(r *Release) bool {
	for i, part := range r.UnitsByWave {
		for _, d := range part {
			if i <= r.Wave && !s.Changed(r, d) {
				return false
			}
		}
	}
	return true
}

// Changed reports whether a door runs the version of a release, or a backend was replaced since the release started.
func (s *State) Changed(r *Release, unit string) bool {
	if r.Changes == Backends {
		return s.Seen[unit] != r.Previous[unit]
	}
	return s.versionOf(unit, r.Changes) == r.Digest
}

// DueBackends lists the backends of a release that are to be drained and replaced now.
func (s *State) DueBackends(r *Release) (backends []string) {
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

// Target returns the release and digest that a door is to change to; false if it is to stay as it is. Rollback runs in reverse
// order: a wave begins once all later ones are rolled back. A door that has gone back by itself from a release that is done is to take
// it again.
func (s *State) Target(door string) (r *Release, digest string, is bool) {
	for _, r := range s.All {
		if s.holds(r, door) && slices.Contains(r.units(), door) && r.Failed[door] == "" && s.versionOf(door, r.Changes) != r.Digest {
			return r, r.Digest, true
		}
		if !r.Live() || r.Stage == Halted || r.Changes == Backends {
			continue
		}
		for i, part := range r.UnitsByWave {
			if !slices.Contains(part, door) {
				continue
			}
			runs := s.versionOf(door, r.Changes)
			switch {
			case r.Stage == Running && i <= r.Wave && runs != r.Digest && r.Failed[door] == "":
				return r, r.Digest, true
			case r.Stage == RollingBack && runs != r.Previous[door]:
				for _, later := range r.UnitsByWave[i+1:] {
					if slices.ContainsFunc(later, func(d string) bool { return s.versionOf(d, r.Changes) != r.Previous[d] }) {
						return nil, "", false
					}
				}
				return r, r.Previous[door], true
			}
		}
	}
	return nil, "", false
}

// CheckChange returns an error unless a release, not being halted, has another version for a door now. back reports that the
// door's change is a rollback.
func (s *State) CheckChange(number uint64, door string) (back bool, err error) {
	r := s.ByNumber(number)
	if r == nil {
		return false, &UnknownError{fmt.Sprint("number ", number)}
	}
	if w, _, is := s.Target(door); !is || w != r {
		return false, &StageError{r.Name, r.Stage, "give " + door + " anything now"}
	}
	return r.Stage == RollingBack, nil
}
