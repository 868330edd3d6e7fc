// Package calendar is the replicated state machine of a fleet's change calendar. It decides when a change may begin: which approvals
// it needs, which freezes block it, which entries and budgets conflict with it, and when there is free time. It does no I/O and reads
// no clock; its state is part of what the coordinators agree on, and time arrives with the commands.
//
// Texts that commands leave in the state (of events, reasons, State.ClockProblem) or return in the fields of an error are replicated, too.
// Changing one would make coordinators of different releases disagree while both apply the same log.
package calendar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Kind classifies a change by what it changes.
type Kind string

// Kinds of changes.
const (
	Drain         Kind = "drain"         // of front doors, backends or zones
	Release       Kind = "release"       // of a program, or a replacement of backends
	Configuration Kind = "configuration" // of front doors
	Terms         Kind = "terms"         // of a plan
	MigrationStep Kind = "migration"     // a step of a migration
	Coordinators  Kind = "coordinators"  // a coordinator is added or removed
)

var allKinds = []Kind{Drain, Release, Configuration, Terms, MigrationStep, Coordinators}

// Stage is the position of an entry or a migration in its life cycle.
type Stage string

// Stages of entries and migrations.
const (
	Drafted     Stage = "drafted"
	Waiting     Stage = "waiting for approval"
	Approved    Stage = "approved"
	Due         Stage = "due" // the window is open; the entry starts as soon as nothing blocks it
	Running     Stage = "running"
	Halted      Stage = "halted" // no further wave starts; a soak does not end, a rollback is paused
	RollingBack Stage = "going back"
	Done        Stage = "done"
	Missed      Stage = "missed"    // the deadline passed before the entry could start
	Withdrawn   Stage = "withdrawn" // ended before it started, or rolled back
)

// notStarted reports whether an entry in this stage has yet to start.
func (s Stage) notStarted() bool {
	return s == Drafted || s == Waiting || s == Approved || s == Due
}

// inProgress reports whether an entry in this stage has started and not finished, and therefore holds its subject.
func (s Stage) inProgress() bool { return s == Running || s == Halted || s == RollingBack }

const (
	readingTTLMs         = 30e3              // ms; older clock readings do not count towards the agreed time
	maxClockSpreadMs     = 5e3               // ms; clocks that differ by up to this much still agree
	maxEvents            = 10000             // events kept, acknowledged or not
	maxEntries           = 20000             // at this many, a new entry evicts the oldest finished one
	maxNameBytes         = 80                // bytes; names appear in 80-column output
	maxWaves             = 1000              // waves of a change
	observationTTLMs     = 5 * 60e3          // ms for which the observation of a precondition is valid
	maxMigrationSteps    = 100               // steps of a migration
	horizonMs            = 400 * 24 * 3600e3 // ms; how far ahead the calendar plans, and the longest window or freeze
	defaultApprovalTTLMs = 30 * 24 * 3600e3  // ms after which an approval lapses if its rule sets no time
	maxFreezeSpans       = 10000             // spans of a freeze within the horizon
	maxSubjectNames      = 1000              // names in a subject
)

// Span is the time from FromMs, included, to ToMs, excluded, in ms since 1970 UTC.
type Span struct {
	FromMs float64 `json:"from_ms"`
	ToMs   float64 `json:"to_ms"`
}

func (s Span) contains(at float64) bool { return s.FromMs <= at && at < s.ToMs }
func (s Span) overlaps(other Span) bool { return s.FromMs < other.ToMs && other.FromMs < s.ToMs }

// Change describes what is to be done, as its author enters it.
type Change struct {
	Name           string          `json:"name"`
	Kind           Kind            `json:"kind"`
	Subject        Subject         `json:"subject"`
	Window         Span            `json:"window"`                   // the change starts within it, with enough time left to finish
	LateMs         float64         `json:"late_ms,omitempty"`        // ms past the window's end for which it may still run
	After          []uint64        `json:"after,omitempty"`          // entries that must be done before it starts
	Waves          int             `json:"waves"`                    // 1 or more
	WaveMs         float64         `json:"wave_ms"`                  // measured or estimated duration of a wave, ms
	SoakMs         float64         `json:"soak_ms,omitempty"`        // ms for which it is watched after its last wave
	Preconditions  []string        `json:"preconditions,omitempty"`  // names of what must be observed before it starts
	Postconditions []string        `json:"postconditions,omitempty"` // names of what must be observed after its last wave
	Do             json.RawMessage `json:"do"`                       // the action, read by whoever carries it out
	Rollback       json.RawMessage `json:"rollback,omitempty"`       // the action that undoes Do; empty if there is none
}

// DurationMs is the time the change takes, including its soak, in ms.
func (c *Change) DurationMs() float64 { return float64(c.Waves)*c.WaveMs + c.SoakMs }

// deadlineMs is when the change must be over: the end of its window plus its allowed lateness.
func (c *Change) deadlineMs() float64 { return c.Window.ToMs + c.LateMs }

// Digest is a hash of the whole change. Approvals are bound to it: a change that does anything else, or at another time, has
// another digest.
func (c *Change) Digest() string {
	raw, _ := json.Marshal(c) // no field of a Change can fail to encode
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Entry is a change in the calendar.
type Entry struct {
	Change
	ID             uint64     `json:"id"`
	Revision       uint64     `json:"revision"` // incremented by each edit by a person; commands compare and set it
	Author         string     `json:"author"`
	Stage          Stage      `json:"stage"`
	Reason         string     `json:"says,omitempty"` // why the entry is in its stage
	Approvals      []Approval `json:"approvals,omitempty"`
	Emergency      *Emergency `json:"emergency,omitempty"`
	WavesDone      int        `json:"wave"`              // number of waves done
	Starts         int        `json:"starts"`            // 0 or 1
	HaltedByFreeze uint64     `json:"held_by,omitempty"` // freeze that halted the entry; it resumes when that is over

	Migration      uint64                 `json:"migration,omitempty"`        // migration of which the entry is a step; 0 for none
	WasRollingBack bool                   `json:"was_rolling_back,omitempty"` // whether it was halted during its rollback
	WavesDoneMs    float64                `json:"waves_done_ms,omitempty"`    // when its last wave ended; 0 before that
	Observations   map[string]Observation `json:"observations,omitempty"`     // of its preconditions and postconditions, by name

	cachedDigest string // computed once, since each step of each command compares it
}

// Digest is the digest of the entry's change.
func (e *Entry) Digest() string {
	if e.cachedDigest == "" {
		e.cachedDigest = e.Change.Digest()
	}
	return e.cachedDigest
}

// Observation is the last reported result of checking a precondition or a postcondition.
type Observation struct {
	Passed bool    `json:"well"`
	Detail string  `json:"says,omitempty"`
	AtMs   float64 `json:"at_ms"`
}

// remainingMs is the time the entry takes from where it is, including its soak, in ms.
func (e *Entry) remainingMs() float64 { return float64(e.Waves-e.WavesDone)*e.WaveMs + e.SoakMs }

// missingObservation returns the first of names that has not been observed to pass since sinceMs, with its last observation. The name
// is empty if all have.
func (e *Entry) missingObservation(names []string, sinceMs float64) (name string, seen Observation) {
	for _, n := range names {
		if v := e.Observations[n]; !v.Passed || v.AtMs < sinceMs {
			return n, v
		}
	}
	return "", Observation{}
}

// Approval is one person's approval of a digest. Names and roles are recorded as given: there is no authentication.
type Approval struct {
	Who    string  `json:"who"`
	Role   string  `json:"role"`
	Digest string  `json:"digest"`
	AtMs   float64 `json:"at_ms"`
}

// Emergency exempts an entry from freezes. The entry stays marked as an emergency.
type Emergency struct {
	Who    string `json:"who"`
	Second string `json:"second"` // another person, who agrees
	Why    string `json:"why"`
}

// Rule requires approvals. An entry must satisfy every rule that applies to its kind and overlaps its subject.
type Rule struct {
	Kinds         []Kind   `json:"kinds,omitempty"` // empty for all
	Subject       Subject  `json:"subject"`
	Count         int      `json:"count"`            // approvals required, of different people
	Roles         []string `json:"roles,omitempty"`  // roles whose approvals count; empty for any
	ApprovalTTLMs float64  `json:"for_ms,omitempty"` // ms after which an approval lapses; 0 for defaultApprovalTTLMs
}

// Budget limits how many entries of a kind may be in progress at once.
type Budget struct {
	Kind Kind `json:"kind"`
	Max  int  `json:"most"`
}

// Event records a command or a change of stage. Numbers increase by one, so that a receiver can drop duplicates.
type Event struct {
	Number uint64  `json:"number"`
	AtMs   float64 `json:"at_ms"`
	ID     uint64  `json:"id"` // of an entry, a freeze or a migration; 0 for none
	What   string  `json:"what"`
	Who    string  `json:"who,omitempty"`
	Why    string  `json:"why,omitempty"`
}

// Reading is a coordinator's wall clock as an offset from the agreed clock.
type Reading struct {
	OffsetMs float64 `json:"offset_ms"`
	AtMs     float64 `json:"at_ms"` // agreed clock when it was reported
}

// State is the calendar that the coordinators agree on.
type State struct {
	NowMs        float64               `json:"now_ms"`             // agreed clock, ms; never decreases, and stands still while there is no leader
	WallMs       float64               `json:"wall_ms"`            // agreed time, ms since 1970: what a majority's wall clocks show; never decreases
	ClockProblem string                `json:"doubt"`              // why the agreed time stands still; empty if it advances, and encoded even then
	Size         int                   `json:"size"`               // number of coordinators
	Readings     map[string]Reading    `json:"readings,omitempty"` // latest one of each coordinator, by its name
	NextID       uint64                `json:"next_id"`
	Entries      map[uint64]*Entry     `json:"entries"`
	Freezes      map[uint64]*Freeze    `json:"freezes"`
	Migrations   map[uint64]*Migration `json:"migrations"`
	Rules        []Rule                `json:"rules,omitempty"`
	Budgets      []Budget              `json:"budgets,omitempty"`
	Events       []Event               `json:"events,omitempty"`
	Acknowledged uint64                `json:"acknowledged"` // number of the last event that its receiver has acknowledged
	LastEvent    uint64                `json:"number"`       // number of the last event

	zones Zones // if nil, the zone of every unit is unknown
}

// Zones maps units to zones.
type Zones interface {
	// ZoneOf returns the zone of a unit; known is false if the unit or its zone is unknown.
	ZoneOf(scope Scope, name string) (zone string, known bool)
}

// New returns an empty calendar, which has no rules, freezes or budgets and so blocks nothing.
func New() *State {
	return &State{NextID: 1, Size: 1, Readings: map[string]Reading{}, Entries: map[uint64]*Entry{}, Freezes: map[uint64]*Freeze{}, Migrations: map[uint64]*Migration{}, ClockProblem: noClockMajority}
}

// InUse reports whether the calendar has ever been used.
func (s *State) InUse() bool { return s.LastEvent > 0 }

// SetZones sets where the calendar looks up the zones of units. The lookup is not part of the encoded state, so whoever applies
// commands must pass one that reads agreed state.
func (s *State) SetZones(z Zones) { s.zones = z }

// The commands. Apply accepts them; their encoded form is part of the raft log.
type (
	// Plan adds an entry for a change. A draft does not request approval yet.
	Plan struct {
		Change
		Who   string
		Draft bool
	}
	// Edit replaces the change of an entry, if its revision is still the given one.
	Edit struct {
		ID, Revision uint64
		Change
		Who   string
		Draft bool
	}
	// Approve records a person's approval of the change with the given digest.
	Approve struct {
		ID     uint64
		Digest string
		Who    string
		Role   string
	}
	// Refuse returns an entry to its author as a draft.
	Refuse struct {
		ID     uint64
		Digest string
		Who    string
		Why    string
	}
	// Withdraw ends an entry that has not started.
	Withdraw struct {
		ID, Revision uint64
		Who, Why     string
	}
	// DeclareEmergency marks an entry as an emergency.
	DeclareEmergency struct {
		ID uint64
		Emergency
	}
	// SetFreeze adds a freeze or replaces an existing one.
	SetFreeze struct {
		ID, Revision uint64 // 0 for a new freeze
		Freeze
	}
	// ExtendFreeze replaces the expanded spans of a recurring freeze with ones that reach further ahead.
	ExtendFreeze struct {
		ID, Revision uint64
		Spans        []Span
		ThroughMs    float64
	}
	// Thaw removes a freeze.
	Thaw struct {
		ID, Revision uint64
		Who, Why     string
	}
	// SetRules replaces all rules and budgets.
	SetRules struct {
		Rules   []Rule
		Budgets []Budget
		Who     string
	}
	// ReportClock reports a coordinator's wall clock and the number of coordinators.
	ReportClock struct {
		Name   string
		WallMs float64
		Size   int
	}
	// LeaderChanged reports a new leader. The agreed clock stood still for as long as there was no leader, so the offsets of earlier
	// clock readings are no longer valid.
	LeaderChanged struct{}
	// Start starts a due entry. It repeats all checks, as the last opportunity before the change begins.
	Start struct{ ID uint64 }
	// WaveDone reports that a wave of a running entry has succeeded. Waves are numbered from 1.
	WaveDone struct {
		ID   uint64
		Wave int
		Who  string `json:",omitempty"` // set if a person carried it out
	}
	// Observe reports the result of checking a precondition or a postcondition of an entry.
	Observe struct {
		ID     uint64
		What   string // name of the condition
		Passed bool   `json:"Well"`
		Detail string `json:"Says"`
		Who    string `json:",omitempty"` // set if a person checked it
	}
	// Migrate adds a migration, whose steps run one after the other.
	Migrate struct {
		Name  string
		Steps []Change
		Who   string
	}
	// ReplaceSteps replaces the steps of a migration that have not started.
	ReplaceSteps struct {
		ID, Revision uint64
		Steps        []Change
		Who          string
	}
	// RevertMigration rolls a migration back from where it is, the newest step first.
	RevertMigration struct {
		ID       uint64
		Who, Why string
	}
	// Halt stops a running entry at the end of its wave, or pauses its rollback.
	Halt struct {
		ID       uint64
		Who, Why string
	}
	// Resume continues a halted entry.
	Resume struct {
		ID  uint64
		Who string
	}
	// RollBack starts the rollback of an entry.
	RollBack struct {
		ID       uint64
		Who, Why string
	}
	// RolledBack reports that the rollback of an entry is complete.
	RolledBack struct {
		ID  uint64
		Who string `json:",omitempty"` // set if a person carried it out
	}
	// Acknowledge reports the number of the last event that the receiver has accepted.
	Acknowledge struct{ Number uint64 }
	// Restored reports that the state was restored from a backup and may lack the latest commands, so that nothing from before starts by
	// itself.
	Restored struct{ Who string }
)

// Apply applies a command at nowMs of the agreed clock. The number is the ID of the entry, freeze or migration, or the next wave to
// run. A command that returns an error changes nothing beyond what the passing of time changes.
func (s *State) Apply(nowMs float64, c any) (number uint64, err error) {
	s.AdvanceTo(nowMs)
	number, err = s.dispatch(c)
	s.advance()
	return number, err
}

// AdvanceTo advances the calendar to nowMs of the agreed clock.
func (s *State) AdvanceTo(nowMs float64) {
	s.NowMs = max(s.NowMs, nowMs)
	s.updateAgreedTime()
	s.advance()
}

// dispatch applies a command without advancing the calendar.
func (s *State) dispatch(c any) (uint64, error) {
	switch c := c.(type) {
	case Plan:
		return s.plan(c)
	case Edit:
		return s.edit(c)
	case Approve:
		return s.approve(c)
	case Refuse:
		return s.refuse(c)
	case Withdraw:
		e, err := s.entryAtRevision(c.ID, c.Revision)
		if err != nil {
			return 0, err
		}
		if !e.Stage.notStarted() {
			return 0, &StageError{e.ID, e.Stage, "withdrawn"}
		}
		e.Revision++
		s.setStage(e, Withdrawn, c.Who, c.Why)
	case DeclareEmergency:
		return s.declareEmergency(c)
	case SetFreeze:
		return s.setFreeze(c)
	case ExtendFreeze:
		return s.extend(c)
	case Thaw:
		f, err := s.freezeAtRevision(c.ID, c.Revision)
		if err != nil {
			return 0, err
		}
		delete(s.Freezes, f.ID)
		s.recordEvent(f.ID, "thawed: "+f.Name, c.Who, c.Why)
	case SetRules:
		for i, r := range c.Rules {
			if err := r.check(i); err != nil {
				return 0, err
			}
		}
		for i, b := range c.Budgets {
			if !slices.Contains(allKinds, b.Kind) || b.Max < 1 {
				return 0, &FormError{fmt.Sprintf("budgets[%d]", i), "a kind and at least 1 are wanted"}
			}
		}
		s.Rules, s.Budgets = slices.Clone(c.Rules), slices.Clone(c.Budgets)
		s.recordEvent(0, "rules and budgets set", c.Who, "")
	case ReportClock:
		return 0, s.recordClock(c)
	case LeaderChanged:
		clear(s.Readings)
		s.updateAgreedTime()
	case Start:
		return s.start(c.ID)
	case WaveDone:
		return s.waveDone(c)
	case Observe:
		return 0, s.observe(c)
	case Migrate:
		return s.migrate(c)
	case ReplaceSteps:
		return s.replace(c)
	case RevertMigration:
		return 0, s.revert(c)
	case Halt:
		wasRollingBack := s.Entries[c.ID] != nil && s.Entries[c.ID].Stage == RollingBack
		if err := s.transition(c.ID, []Stage{Running, RollingBack}, Halted, c.Who, c.Why); err != nil {
			return 0, err
		}
		s.Entries[c.ID].WasRollingBack = wasRollingBack
	case Resume:
		e := s.Entries[c.ID]
		if e != nil && e.Stage == Halted && e.WasRollingBack { // freezes do not apply to rollbacks
			return 0, s.transition(c.ID, []Stage{Halted}, RollingBack, c.Who, "")
		}
		if e != nil && e.Stage == Halted {
			if m := s.Migrations[e.Migration]; m != nil && m.Stage == RollingBack {
				return 0, &StageError{e.ID, e.Stage, "resumed: its migration is going back"}
			}
			if f := s.activeFreeze(e, s.WallMs); f != nil {
				return 0, &FrozenError{f.ID, f.Name, f.endMs(s.WallMs), f.Who}
			}
		}
		return 0, s.transition(c.ID, []Stage{Halted}, Running, c.Who, "")
	case RollBack:
		if e := s.Entries[c.ID]; e != nil && s.Migrations[e.Migration] != nil {
			return 0, &StageError{e.ID, e.Stage, fmt.Sprintf("sent back by itself: revert migration %d", e.Migration)}
		}
		if e := s.Entries[c.ID]; e != nil && e.Stage.inProgress() && len(e.Rollback) == 0 {
			return 0, &NoRollbackError{c.ID}
		}
		return 0, s.transition(c.ID, []Stage{Running, Halted}, RollingBack, c.Who, c.Why)
	case RolledBack:
		return 0, s.transition(c.ID, []Stage{RollingBack}, Withdrawn, c.Who, rolledBackReason)
	case Acknowledge:
		s.Acknowledged = min(max(s.Acknowledged, c.Number), s.LastEvent)
	case Restored:
		s.restored(c.Who)
	default:
		return 0, &FormError{"command", fmt.Sprintf("%T is not known", c)}
	}
	return 0, nil
}

// rolledBackReason is the reason recorded when a rollback is complete.
const rolledBackReason = "taken back: all is as it was"

// entryAtRevision returns the entry with the given ID, which must be at revision rev.
func (s *State) entryAtRevision(id, rev uint64) (*Entry, error) {
	e := s.Entries[id]
	if e == nil {
		return nil, &UnknownError{"entry", id}
	}
	if e.Revision != rev {
		return nil, &ChangedError{"entry", id, rev, e.Revision, s.lastAction(id)}
	}
	return e, nil
}

// lastAction describes the last event of an entry, a freeze or a migration that records who caused it.
func (s *State) lastAction(id uint64) string {
	for i := len(s.Events) - 1; i >= 0; i-- {
		if e := &s.Events[i]; e.ID == id && e.Who != "" {
			return fmt.Sprintf("%s, by %s", e.What, e.Who)
		}
	}
	return "nothing that is remembered"
}

// recordEvent appends an event and drops the oldest beyond maxEvents.
func (s *State) recordEvent(id uint64, what, who, why string) {
	s.LastEvent++
	s.Events = append(s.Events, Event{s.LastEvent, s.WallMs, id, what, who, why})
	if n := len(s.Events); n > maxEvents {
		s.Events = slices.Delete(s.Events, 0, n-maxEvents)
	}
}

// setStage changes the stage of an entry and records the event. who is empty where time or the state caused it.
func (s *State) setStage(e *Entry, to Stage, who, why string) {
	s.recordEvent(e.ID, fmt.Sprintf("%s -> %s", e.Stage, to), who, why)
	e.Stage, e.Reason = to, why
	if to != Halted {
		e.HaltedByFreeze, e.WasRollingBack = 0, false
	}
}

// transition moves an entry to another stage. Its present stage must be one of those in from.
func (s *State) transition(id uint64, from []Stage, to Stage, who, why string) error {
	e := s.Entries[id]
	if e == nil {
		return &UnknownError{"entry", id}
	}
	if !slices.Contains(from, e.Stage) {
		return &StageError{id, e.Stage, string(to)}
	}
	s.setStage(e, to, who, why)
	return nil
}

// plan adds an entry, waiting for approval or as a draft.
func (s *State) plan(c Plan) (uint64, error) {
	if err := s.checkChange(&c.Change, c.Who, 0); err != nil {
		return 0, err
	}
	if c.Window.ToMs <= s.WallMs {
		return 0, &FormError{"window", "it is over"}
	}
	s.evictOldest()
	e := &Entry{Change: c.Change, ID: s.NextID, Revision: 1, Author: c.Who, Stage: Drafted}
	s.NextID++
	s.Entries[e.ID] = e
	s.recordEvent(e.ID, "planned: "+e.Name, c.Who, "")
	if !c.Draft {
		s.setStage(e, Waiting, c.Who, "")
	}
	return e.ID, nil
}

// evictOldest makes room for a new entry. At maxEntries it deletes the oldest entry that is finished and not part of an active
// migration.
func (s *State) evictOldest() {
	if len(s.Entries) < maxEntries {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		if e := s.Entries[id]; !e.Stage.notStarted() && !e.Stage.inProgress() && !s.migrationActive(e.Migration) {
			delete(s.Entries, id)
			return
		}
	}
}

// edit replaces the change of an entry that has not started. Approvals are kept only if the digest is unchanged and the entry is no
// draft.
func (s *State) edit(c Edit) (uint64, error) {
	e, err := s.entryAtRevision(c.ID, c.Revision)
	if err != nil {
		return 0, err
	}
	if !e.Stage.notStarted() {
		return 0, &StageError{e.ID, e.Stage, "edited"}
	}
	if err := s.checkChange(&c.Change, c.Who, c.ID); err != nil {
		return 0, err
	}
	if e.Migration != 0 && (!slices.Equal(c.After, e.After) || len(c.Rollback) == 0) {
		return 0, &FormError{"after", "a step of a migration waits for the step before it, and has a way back"}
	}
	same := c.Change.Digest() == e.Digest()
	e.Change, e.Revision, e.cachedDigest, e.Observations = c.Change, e.Revision+1, "", nil // the observations were for the previous change
	to := Waiting
	if c.Draft {
		to = Drafted
	}
	if !same || c.Draft {
		e.Author, e.Approvals = c.Who, nil // whoever changes the digest becomes the author, so that nobody approves their own change
	}
	s.setStage(e, to, c.Who, "edited")
	return e.ID, nil
}

// checkChange validates a change. id is the entry it replaces, 0 for a new one.
func (s *State) checkChange(c *Change, who string, id uint64) error {
	form := func(key, format string, args ...any) error { return &FormError{key, fmt.Sprintf(format, args...)} }
	switch {
	case who == "":
		return form("who", "missing")
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return form("name", "1 to %d bytes are wanted", maxNameBytes)
	case !slices.Contains(allKinds, c.Kind):
		return form("kind", "%q, one of %v is wanted", c.Kind, allKinds)
	case !(c.Window.FromMs < c.Window.ToMs) || !(c.Window.ToMs-c.Window.FromMs <= horizonMs):
		return form("window", "it must end after it begins, within %.0f days", horizonMs/24/3600e3)
	case !(c.LateMs >= 0 && c.LateMs <= horizonMs):
		return form("late_ms", "%g", c.LateMs)
	case !(c.SoakMs >= 0 && c.SoakMs <= horizonMs):
		return form("soak_ms", "%g", c.SoakMs)
	case slices.Contains(c.Preconditions, "") || slices.Contains(c.Postconditions, ""):
		return form("preconditions", "what is to be seen has a name")
	case c.Waves < 1 || c.Waves > maxWaves:
		return form("waves", "%d, 1 to %d are wanted", c.Waves, maxWaves)
	case !(c.WaveMs >= 0 && c.WaveMs <= horizonMs):
		return form("wave_ms", "%g", c.WaveMs)
	case !json.Valid(c.Do):
		return form("do", "no JSON")
	case len(c.Rollback) > 0 && !json.Valid(c.Rollback):
		return form("rollback", "no JSON")
	}
	for i, a := range c.After {
		if s.Entries[a] == nil || a == id || slices.Contains(c.After[:i], a) {
			return form(fmt.Sprintf("after[%d]", i), "%d is no other entry", a)
		}
		if s.dependsOn(a, id, map[uint64]bool{}) {
			return form(fmt.Sprintf("after[%d]", i), "%d waits for this one", a)
		}
	}
	return c.Subject.check("subject")
}

// dependsOn reports whether an entry waits for another, directly or through others. seen holds the entries visited so far.
func (s *State) dependsOn(id, other uint64, seen map[uint64]bool) bool {
	e := s.Entries[id]
	if e == nil || seen[id] {
		return false
	}
	seen[id] = true
	return slices.ContainsFunc(e.After, func(a uint64) bool { return a == other || s.dependsOn(a, other, seen) })
}

// check validates the rule, which is number i of the list it is set with.
func (r *Rule) check(i int) error {
	prefix := fmt.Sprintf("rules[%d].", i)
	for _, k := range r.Kinds {
		if !slices.Contains(allKinds, k) {
			return &FormError{prefix + "kinds", fmt.Sprintf("%q is none", k)}
		}
	}
	if r.Count < 1 || !(r.ApprovalTTLMs >= 0) {
		return &FormError{prefix + "count", "at least 1, for a time from 0 on, is wanted"}
	}
	return r.Subject.check(prefix + "subject")
}

// entryForReview returns an entry that can be approved or refused, if its digest is still the given one. to names the attempted action
// in a StageError.
func (s *State) entryForReview(id uint64, digest, to string) (*Entry, error) {
	e := s.Entries[id]
	switch {
	case e == nil:
		return nil, &UnknownError{"entry", id}
	case e.Stage != Waiting && e.Stage != Approved && e.Stage != Due:
		return nil, &StageError{id, e.Stage, to}
	case digest != e.Digest():
		return nil, &ChangedError{"entry", id, 0, e.Revision, s.lastAction(id)}
	}
	return e, nil
}

func (s *State) approve(c Approve) (uint64, error) {
	e, err := s.entryForReview(c.ID, c.Digest, "approved")
	switch {
	case err != nil:
		return 0, err
	case c.Who == "":
		return 0, &FormError{"who", "missing"}
	case c.Who == e.Author:
		return 0, &SelfApprovalError{e.ID, c.Who}
	}
	e.Approvals = slices.DeleteFunc(e.Approvals, func(a Approval) bool { return a.Who == c.Who })
	e.Approvals = append(e.Approvals, Approval{c.Who, c.Role, c.Digest, s.WallMs})
	s.recordEvent(e.ID, "approval", c.Who, c.Role)
	return e.ID, nil
}

func (s *State) refuse(c Refuse) (uint64, error) {
	e, err := s.entryForReview(c.ID, c.Digest, "refused")
	switch {
	case err != nil:
		return 0, err
	case c.Who == "" || c.Why == "":
		return 0, &FormError{"why", "a refusal needs a name and a reason"}
	}
	e.Revision, e.Approvals = e.Revision+1, nil
	s.setStage(e, Drafted, c.Who, c.Why)
	return e.ID, nil
}

func (s *State) declareEmergency(c DeclareEmergency) (uint64, error) {
	e := s.Entries[c.ID]
	switch {
	case e == nil:
		return 0, &UnknownError{"entry", c.ID}
	case !e.Stage.notStarted():
		return 0, &StageError{e.ID, e.Stage, "an emergency"}
	case c.Who == "" || c.Second == "" || c.Who == c.Second || c.Why == "":
		return 0, &FormError{"second", "an emergency needs a reason and two names"}
	}
	m := c.Emergency
	e.Emergency, e.Revision = &m, e.Revision+1
	s.recordEvent(e.ID, "emergency, with "+c.Second, c.Who, c.Why)
	return e.ID, nil
}

// ruleApplies reports whether a rule requires approvals for a change.
func (s *State) ruleApplies(r *Rule, c *Change) bool {
	return (len(r.Kinds) == 0 || slices.Contains(r.Kinds, c.Kind)) && s.subjectsOverlap(&r.Subject, &c.Subject)
}

// checkApprovals returns an ApprovalError for the first rule that the entry's approvals do not satisfy. A person counts once per rule.
func (s *State) checkApprovals(e *Entry) error {
	digest := e.Digest()
	for i := range s.Rules {
		r := &s.Rules[i]
		if !s.ruleApplies(r, &e.Change) {
			continue
		}
		ttlMs := r.ApprovalTTLMs
		if ttlMs == 0 {
			ttlMs = defaultApprovalTTLMs
		}
		valid := 0
		for _, a := range e.Approvals {
			if a.Digest == digest && s.WallMs-a.AtMs < ttlMs && (len(r.Roles) == 0 || slices.Contains(r.Roles, a.Role)) {
				valid++
			}
		}
		if valid < r.Count {
			return &ApprovalError{e.ID, e.Author, r.Count, valid, r.Roles}
		}
	}
	return nil
}

// advance makes every transition of entries and migrations that follows from the agreed time and the state, in the order of their
// IDs, since all coordinators must make them alike.
func (s *State) advance() {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		s.advanceEntry(s.Entries[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.Migrations)) {
		s.advanceMigration(s.Migrations[id])
	}
}

// advanceEntry makes the transitions that are pending for an entry.
func (s *State) advanceEntry(e *Entry) {
	if e.Stage == Waiting && s.checkApprovals(e) == nil {
		s.setStage(e, Approved, "", "")
	} else if (e.Stage == Approved || e.Stage == Due) && s.checkApprovals(e) != nil {
		s.setStage(e, Waiting, "", "an approval lapsed, or a rule asks for more")
	}
	if e.Stage.notStarted() && s.WallMs >= e.deadlineMs() {
		s.setStage(e, Missed, "", "its window passed")
		return
	}
	if e.Stage == Approved && s.WallMs >= e.Window.FromMs {
		s.setStage(e, Due, "", "")
	}
	if e.Stage != Running && e.HaltedByFreeze == 0 {
		return
	}
	if e.Stage == Running && e.WavesDoneMs > 0 { // during its soak it changes nothing, so freezes do not apply
		s.completeIfSoaked(e)
		return
	}
	f := s.activeFreeze(e, s.WallMs)
	switch {
	case e.Stage == Running && f != nil && f.RunningPolicy == RollBackAtOnce && len(e.Rollback) > 0:
		s.setStage(e, RollingBack, "", "freeze "+f.Name)
	case e.Stage == Halted && f == nil && e.deadlineMs()-s.WallMs >= e.remainingMs():
		s.setStage(e, Running, "", "the freeze is over")
	}
}

// start starts an entry that nothing blocks. An entry starts at most once.
func (s *State) start(id uint64) (uint64, error) {
	e := s.Entries[id]
	if e == nil {
		return 0, &UnknownError{"entry", id}
	}
	if err := s.CheckStart(e); err != nil {
		return 0, err
	}
	e.Starts++
	s.setStage(e, Running, "", "")
	return id, nil
}

// Startable lists the due entries that nothing blocks, by ID. The leader starts the first and asks again, since that may block the
// others.
func (s *State) Startable() (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		if e := s.Entries[id]; e.Stage == Due && s.CheckStart(e) == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// waveDone records that a wave has succeeded. It returns the number of the next wave, 0 if none is to start now.
func (s *State) waveDone(c WaveDone) (uint64, error) {
	e := s.Entries[c.ID]
	switch {
	case e == nil:
		return 0, &UnknownError{"entry", c.ID}
	case e.Stage.inProgress() && c.Wave == e.WavesDone || e.Stage == Done && c.Wave == e.Waves: // duplicate report
	case e.Stage != Running && e.Stage != Halted, c.Wave != e.WavesDone+1:
		return 0, &StageError{e.ID, e.Stage, fmt.Sprintf("done with wave %d", c.Wave)}
	default:
		e.WavesDone = c.Wave
		s.recordEvent(e.ID, fmt.Sprintf("wave %d of %d done", e.WavesDone, e.Waves), c.Who, "")
	}
	if f := s.activeFreeze(e, s.WallMs); e.Stage == Running && e.WavesDone < e.Waves && f != nil {
		s.setStage(e, Halted, "", "freeze "+f.Name)
		e.HaltedByFreeze = f.ID
	}
	switch {
	case e.WavesDone == e.Waves && e.Stage.inProgress() && e.WavesDoneMs == 0:
		e.WavesDoneMs = max(1, s.WallMs)
		maps.DeleteFunc(e.Observations, func(n string, _ Observation) bool { return slices.Contains(e.Postconditions, n) }) // only observations after the last wave count
		s.completeIfSoaked(e)
	case e.Stage == Running && e.WavesDone < e.Waves:
		return uint64(e.WavesDone + 1), nil
	}
	return 0, nil
}

// completeIfSoaked marks an entry done if its soak is over and its postconditions have been observed. A halted entry stays halted until
// it is resumed.
func (s *State) completeIfSoaked(e *Entry) {
	if e.WavesDoneMs == 0 || e.Stage != Running || s.WallMs < e.WavesDoneMs+e.SoakMs {
		return
	}
	if name, _ := e.missingObservation(e.Postconditions, 0); name == "" {
		s.setStage(e, Done, "", "")
	}
}

// observe records an observation. A failed postcondition during the soak halts the entry.
func (s *State) observe(c Observe) error {
	e := s.Entries[c.ID]
	switch {
	case e == nil:
		return &UnknownError{"entry", c.ID}
	case !slices.Contains(e.Preconditions, c.What) && !slices.Contains(e.Postconditions, c.What):
		return &FormError{"what", fmt.Sprintf("entry %d looks for no %q", e.ID, c.What)}
	case !e.Stage.notStarted() && !e.Stage.inProgress():
		return &StageError{e.ID, e.Stage, "looked at"}
	}
	if e.Observations == nil {
		e.Observations = map[string]Observation{}
	}
	e.Observations[c.What] = Observation{c.Passed, c.Detail, s.WallMs}
	if c.Who != "" { // observations by programs recur and would fill the events
		s.recordEvent(e.ID, fmt.Sprintf("seen %s: %t", c.What, c.Passed), c.Who, c.Detail)
	}
	if e.Stage == Running && e.WavesDoneMs > 0 && !c.Passed && slices.Contains(e.Postconditions, c.What) {
		s.setStage(e, Halted, "", fmt.Sprintf("%s is not seen: %s", c.What, c.Detail))
	}
	return nil
}

// restored halts the entries that are running or rolling back and returns those that have not started to drafts, since the commands
// that the restored state lacks may already have finished or started them.
func (s *State) restored(who string) {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		switch e := s.Entries[id]; {
		case e.Stage == Running || e.Stage == RollingBack:
			wasRollingBack := e.Stage == RollingBack
			s.setStage(e, Halted, who, "the state was restored: look how far it is")
			e.WasRollingBack = wasRollingBack
		case e.Stage == Approved || e.Stage == Due || e.Stage == Waiting:
			e.Revision, e.Approvals = e.Revision+1, nil
			s.setStage(e, Drafted, who, "the state was restored: it may have been done")
		}
	}
}
