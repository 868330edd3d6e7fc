// Package calendar decides when changes of a fleet may begin: who has to agree, when nothing may, what is in the way, and
// where there is room. It knows no I/O; its state is part of what coordinators agree on, and time enters with the commands.
package calendar

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Kind of a change.
type Kind string

// Kinds.
const (
	Drain         Kind = "drain"         // of doors, backends or zones
	Release       Kind = "release"       // of a program, or of backends that are replaced
	Configuration Kind = "configuration" // of doors
	Terms         Kind = "terms"         // of a plan
	MigrationStep Kind = "migration"     // a step of one
	Coordinators  Kind = "coordinators"  // one more, or one less
)

var kinds = []Kind{Drain, Release, Configuration, Terms, MigrationStep, Coordinators}

// Stage of an entry.
type Stage string

// Stages.
const (
	Drafted     Stage = "drafted"
	Waiting     Stage = "waiting for approval"
	Approved    Stage = "approved"
	Due         Stage = "due" // its window has begun; it starts as soon as nothing is in the way
	Running     Stage = "running"
	Halted      Stage = "halted" // at the end of a wave
	RollingBack Stage = "going back"
	Done        Stage = "done"
	Missed      Stage = "missed"
	Withdrawn   Stage = "withdrawn"
)

// planned tells whether an entry has yet to begin.
func (s Stage) planned() bool {
	return s == Drafted || s == Waiting || s == Approved || s == Due
}

// under tells whether an entry has part of the fleet.
func (s Stage) under() bool { return s == Running || s == Halted || s == RollingBack }

const (
	readingFor   = 30e3  // ms for which a coordinator's reading of its clock counts
	apartMost    = 5e3   // ms by which clocks may differ and still agree
	historyMost  = 10000 // events that are kept, told or not
	entriesMost  = 20000 // entries: the oldest that are over go first
	nameMost     = 80    // bytes of a name: it stands in lines of 80 columns
	wavesMost    = 1000
	sightFor     = 5 * 60e3          // ms for which what was seen before a change counts
	stepsMost    = 100               // of a migration
	longestFor   = 400 * 24 * 3600e3 // ms that are looked ahead, and that a window or a freeze lasts at most
	approvalFor  = 30 * 24 * 3600e3  // ms after which an approval lapses where its rule says nothing
	spansMost    = 10000             // of a freeze, in what is looked ahead
	subjectsMost = 1000              // names in a subject
)

// Span is from an instant to another, the second not in it; ms since 1970, UTC.
type Span struct {
	FromMs float64 `json:"from_ms"`
	ToMs   float64 `json:"to_ms"`
}

func (s Span) has(at float64) bool   { return s.FromMs <= at && at < s.ToMs }
func (s Span) meets(other Span) bool { return s.FromMs < other.ToMs && other.FromMs < s.ToMs }

// Change is what is to be done, as its author writes it.
type Change struct {
	Name           string          `json:"name"`
	Kind           Kind            `json:"kind"`
	Subject        Subject         `json:"subject"`
	Window         Span            `json:"window"`                   // it begins in it, with time enough left
	LateMs         float64         `json:"late_ms,omitempty"`        // past the window, in which it may still run
	After          []uint64        `json:"after,omitempty"`          // entries that must be done before
	Waves          int             `json:"waves"`                    // 1 or more
	WaveMs         float64         `json:"wave_ms"`                  // that one takes, as measured
	SoakMs         float64         `json:"soak_ms,omitempty"`        // that it is watched for after its last wave
	Preconditions  []string        `json:"preconditions,omitempty"`  // what must be seen before it
	Postconditions []string        `json:"postconditions,omitempty"` // what must be seen after it
	Do             json.RawMessage `json:"do"`                       // for whoever carries it out
	Rollback       json.RawMessage `json:"rollback,omitempty"`       // its way back; none where there is none
}

// DurationMs is the time that it takes, its watch with it.
func (c *Change) DurationMs() float64 { return float64(c.Waves)*c.WaveMs + c.SoakMs }

// deadline is when it must be over: its window's end, with the lateness that it allows itself.
func (c *Change) deadline() float64 { return c.Window.ToMs + c.LateMs }

// Digest names what would be done: approvals are bound to it. A change that would do anything else, or at another time, has
// another.
func (c *Change) Digest() string {
	raw, _ := json.Marshal(c) // no field of it can fail
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Entry is a change in the calendar.
type Entry struct {
	Change
	ID             uint64     `json:"id"`
	Revision       uint64     `json:"revision"` // grows with each change by people; compare and set
	Author         string     `json:"author"`
	Stage          Stage      `json:"stage"`
	Reason         string     `json:"says,omitempty"` // why it stands as it does
	Approvals      []Approval `json:"approvals,omitempty"`
	Emergency      *Emergency `json:"emergency,omitempty"`
	WavesDone      int        `json:"wave"`              // that are done
	Starts         int        `json:"starts"`            // 0 or 1
	HaltedByFreeze uint64     `json:"held_by,omitempty"` // freeze that halted it

	Migration      uint64                 `json:"migration,omitempty"`        // whose step it is
	WasRollingBack bool                   `json:"was_rolling_back,omitempty"` // it was halted on its way back
	WavesDoneMs    float64                `json:"waves_done_ms,omitempty"`    // when its last wave was done
	Observations   map[string]Observation `json:"observations,omitempty"`     // of its preconditions and postconditions

	digest string // worked out once: each step of each command compares it
}

// Digest names what the entry would do.
func (e *Entry) Digest() string {
	if e.digest == "" {
		e.digest = e.Change.Digest()
	}
	return e.digest
}

// Observation is what somebody saw of the fleet.
type Observation struct {
	Passed bool    `json:"well"`
	Detail string  `json:"says,omitempty"`
	AtMs   float64 `json:"at_ms"`
}

// left is the time that it takes from where it is.
func (e *Entry) left() float64 { return float64(e.Waves-e.WavesDone)*e.WaveMs + e.SoakMs }

// unobserved is the first of some names that was not seen well since an instant; empty for none.
func (e *Entry) unobserved(names []string, sinceMs float64) (name string, seen Observation) {
	for _, n := range names {
		if v := e.Observations[n]; !v.Passed || v.AtMs < sinceMs {
			return n, v
		}
	}
	return "", Observation{}
}

// Approval is somebody's word for a digest. Names and roles are as told: nobody signs in.
type Approval struct {
	Who    string  `json:"who"`
	Role   string  `json:"role"`
	Digest string  `json:"digest"`
	AtMs   float64 `json:"at_ms"`
}

// Emergency lets an entry pass freezes. It stays marked.
type Emergency struct {
	Who    string `json:"who"`
	Second string `json:"second"`
	Why    string `json:"why"`
}

// Rule says how many must approve. An entry needs what every rule asks for that is of its kind and touches its subject.
type Rule struct {
	Kinds         []Kind   `json:"kinds,omitempty"` // empty for all
	Subject       Subject  `json:"subject"`
	Count         int      `json:"count"`
	Roles         []string `json:"roles,omitempty"`  // that count; empty for any
	ApprovalTTLMs float64  `json:"for_ms,omitempty"` // after which an approval lapses; 0 for the calendar's own
}

// Budget bounds how many entries of a kind may be under way at once.
type Budget struct {
	Kind Kind `json:"kind"`
	Max  int  `json:"most"`
}

// Event is a change of an entry's stage, or of a freeze. Numbers grow by one: a receiver drops a repeat.
type Event struct {
	Number uint64  `json:"number"`
	AtMs   float64 `json:"at_ms"`
	ID     uint64  `json:"id"`
	What   string  `json:"what"`
	Who    string  `json:"who,omitempty"`
	Why    string  `json:"why,omitempty"`
}

// Reading is a coordinator's wall clock less the agreed clock, and when it was told.
type Reading struct {
	OffsetMs float64 `json:"offset_ms"`
	AtMs     float64 `json:"at_ms"`
}

// State is what coordinators agree on.
type State struct {
	NowMs        float64               `json:"now_ms"`  // agreed clock: it only grows, and stands still while nobody leads
	WallMs       float64               `json:"wall_ms"` // agreed time: what a majority's wall clocks show; it only grows
	ClockProblem string                `json:"doubt"`   // why time stands still; empty where it doesn't, which must be written down
	Size         int                   `json:"size"`    // coordinators
	Readings     map[string]Reading    `json:"readings,omitempty"`
	NextID       uint64                `json:"next_id"`
	Entries      map[uint64]*Entry     `json:"entries"`
	Freezes      map[uint64]*Freeze    `json:"freezes"`
	Migrations   map[uint64]*Migration `json:"migrations"` // migrations
	Rules        []Rule                `json:"rules,omitempty"`
	Budgets      []Budget              `json:"budgets,omitempty"`
	Events       []Event               `json:"events,omitempty"`
	Acknowledged uint64                `json:"acknowledged"` // number of the last event that its receiver has had
	LastEvent    uint64                `json:"number"`

	zones Zones
}

// Zones tells in which zone a unit stands; nil where nobody knows.
type Zones interface {
	ZoneOf(scope Scope, name string) (zone string, known bool)
}

// New returns an empty calendar: it asks for nothing and lets everything begin.
func New() *State {
	return &State{NextID: 1, Size: 1, Readings: map[string]Reading{}, Entries: map[uint64]*Entry{}, Freezes: map[uint64]*Freeze{}, Migrations: map[uint64]*Migration{}, ClockProblem: noClock}
}

// InUse tells whether anybody has ever used it.
func (s *State) InUse() bool { return s.LastEvent > 0 }

// SetZones has the state know where units stand. It is no part of what is agreed; whoever applies commands passes what is.
func (s *State) SetZones(z Zones) { s.zones = z }

// Commands, beside Change's, which Plan and Edit hold.
type (
	// Plan enters a change. A draft asks nobody so far.
	Plan struct {
		Change
		Who   string
		Draft bool
	}
	// Edit puts another change in an entry's place, if nobody has changed it since.
	Edit struct {
		ID, Revision uint64
		Change
		Who   string
		Draft bool
	}
	// Approve gives somebody's word for what the digest names.
	Approve struct {
		ID     uint64
		Digest string
		Who    string
		Role   string
	}
	// Refuse sends an entry back to its author.
	Refuse struct {
		ID     uint64
		Digest string
		Who    string
		Why    string
	}
	// Withdraw ends an entry that has not begun.
	Withdraw struct {
		ID, Revision uint64
		Who, Why     string
	}
	// DeclareEmergency makes an entry an emergency.
	DeclareEmergency struct {
		ID uint64
		Emergency
	}
	// SetFreeze puts a freeze in, or another in the place of one.
	SetFreeze struct {
		ID, Revision uint64 // 0 for a new one
		Freeze
	}
	// Extend tells the spans of a recurring freeze further ahead.
	ExtendFreeze struct {
		ID, Revision uint64
		Spans        []Span
		ThroughMs    float64
	}
	// Thaw takes a freeze out.
	Thaw struct {
		ID, Revision uint64
		Who, Why     string
	}
	// SetRules puts others in the place of all rules and budgets.
	SetRules struct {
		Rules   []Rule
		Budgets []Budget
		Who     string
	}
	// Clock tells a coordinator's wall clock, and how many coordinators there are.
	ReportClock struct {
		Name   string
		WallMs float64
		Size   int
	}
	// LeaderChanged says that another coordinator leads: the agreed clock may have stood for as long as none did, so what clocks showed
	// beside it before counts no more.
	LeaderChanged struct{}
	// Start begins an entry that is due: the last look before the step that can't be taken back.
	Start struct{ ID uint64 }
	// WaveDone says that a running entry's wave of that number has ended well, from 1 on.
	WaveDone struct {
		ID   uint64
		Wave int
		Who  string `json:",omitempty"` // of people, who did it
	}
	// Observe tells what was seen of what an entry wants or shows.
	Observe struct {
		ID     uint64
		What   string
		Passed bool
		Detail string
		Who    string `json:",omitempty"`
	}
	// Migrate enters a migration: steps, each after the one before.
	Migrate struct {
		Name  string
		Steps []Change
		Who   string
	}
	// Replace puts other steps in the place of those that have not begun.
	ReplaceSteps struct {
		ID, Revision uint64
		Steps        []Change
		Who          string
	}
	// Revert takes a migration back from where it is, the newest step first.
	RevertMigration struct {
		ID       uint64
		Who, Why string
	}
	// Halt stops a running entry at the end of its wave, or its way back.
	Halt struct {
		ID       uint64
		Who, Why string
	}
	// Resume has a halted entry go on.
	Resume struct {
		ID  uint64
		Who string
	}
	// RollBack sends an entry back.
	RollBack struct {
		ID       uint64
		Who, Why string
	}
	// RolledBack says that an entry's way back has been gone.
	RolledBack struct {
		ID  uint64
		Who string `json:",omitempty"` // of people, who took it back
	}
	// Acknowledge says up to which event the receiver has heard.
	Acknowledge struct{ Number uint64 }
	// Restored says that this state may lack what happened last: nothing of before starts by itself.
	Restored struct{ Who string }
)

// Apply takes a command in, at a reading of the agreed clock. Its number is an entry's or a freeze's, or the next wave. A command
// with an error has changed nothing but what time alone changes.
func (s *State) Apply(nowMs float64, c any) (number uint64, err error) {
	s.AdvanceTo(nowMs)
	number, err = s.do(c)
	s.pass()
	return number, err
}

// AdvanceTo has time pass, up to a reading of the agreed clock.
func (s *State) AdvanceTo(nowMs float64) {
	s.NowMs = max(s.NowMs, nowMs)
	s.tell()
	s.pass()
}

func (s *State) do(c any) (uint64, error) {
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
		e, err := s.at(c.ID, c.Revision)
		if err != nil {
			return 0, err
		}
		if !e.Stage.planned() {
			return 0, &StageError{e.ID, e.Stage, "withdrawn"}
		}
		e.Revision++
		s.move(e, Withdrawn, c.Who, c.Why)
	case DeclareEmergency:
		return s.declareEmergency(c)
	case SetFreeze:
		return s.setFreeze(c)
	case ExtendFreeze:
		return s.extend(c)
	case Thaw:
		f, err := s.freezeAt(c.ID, c.Revision)
		if err != nil {
			return 0, err
		}
		delete(s.Freezes, f.ID)
		s.note(f.ID, "thawed: "+f.Name, c.Who, c.Why)
	case SetRules:
		for i, r := range c.Rules {
			if err := r.check(i); err != nil {
				return 0, err
			}
		}
		for i, b := range c.Budgets {
			if !slices.Contains(kinds, b.Kind) || b.Max < 1 {
				return 0, &FormError{fmt.Sprintf("budgets[%d]", i), "a kind and at least 1 are wanted"}
			}
		}
		s.Rules, s.Budgets = slices.Clone(c.Rules), slices.Clone(c.Budgets)
		s.note(0, "rules and budgets set", c.Who, "")
	case ReportClock:
		return 0, s.clock(c)
	case LeaderChanged:
		clear(s.Readings)
		s.tell()
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
		turned := s.Entries[c.ID] != nil && s.Entries[c.ID].Stage == RollingBack
		if err := s.steer(c.ID, []Stage{Running, RollingBack}, Halted, c.Who, c.Why); err != nil {
			return 0, err
		}
		s.Entries[c.ID].WasRollingBack = turned
	case Resume:
		e := s.Entries[c.ID]
		if e != nil && e.Stage == Halted && e.WasRollingBack { // a way back is never frozen
			return 0, s.steer(c.ID, []Stage{Halted}, RollingBack, c.Who, "")
		}
		if e != nil && e.Stage == Halted {
			if m := s.Migrations[e.Migration]; m != nil && m.Stage == RollingBack {
				return 0, &StageError{e.ID, e.Stage, "resumed: its migration is going back"}
			}
			if f := s.frozen(e, s.WallMs); f != nil {
				return 0, &FrozenError{f.ID, f.Name, f.until(s.WallMs), f.Who}
			}
		}
		return 0, s.steer(c.ID, []Stage{Halted}, Running, c.Who, "")
	case RollBack:
		if e := s.Entries[c.ID]; e != nil && s.Migrations[e.Migration] != nil {
			return 0, &StageError{e.ID, e.Stage, fmt.Sprintf("sent back by itself: revert migration %d", e.Migration)}
		}
		if e := s.Entries[c.ID]; e != nil && e.Stage.under() && len(e.Rollback) == 0 {
			return 0, &NoRollbackError{c.ID}
		}
		return 0, s.steer(c.ID, []Stage{Running, Halted}, RollingBack, c.Who, c.Why)
	case RolledBack:
		return 0, s.steer(c.ID, []Stage{RollingBack}, Withdrawn, c.Who, takenBack)
	case Acknowledge:
		s.Acknowledged = min(max(s.Acknowledged, c.Number), s.LastEvent)
	case Restored:
		s.restored(c.Who)
	default:
		return 0, &FormError{"command", fmt.Sprintf("%T is not known", c)}
	}
	return 0, nil
}

const takenBack = "taken back: all is as it was"

// at finds an entry that nobody has changed since.
func (s *State) at(id, rev uint64) (*Entry, error) {
	e := s.Entries[id]
	if e == nil {
		return nil, &UnknownError{"entry", id}
	}
	if e.Revision != rev {
		return nil, &ChangedError{"entry", id, rev, e.Revision, s.last(id)}
	}
	return e, nil
}

// last is what was done with an entry or a freeze last.
func (s *State) last(id uint64) string {
	for i := len(s.Events) - 1; i >= 0; i-- {
		if e := &s.Events[i]; e.ID == id && e.Who != "" {
			return fmt.Sprintf("%s, by %s", e.What, e.Who)
		}
	}
	return "nothing that is remembered"
}

func (s *State) note(id uint64, what, who, why string) {
	s.LastEvent++
	s.Events = append(s.Events, Event{s.LastEvent, s.WallMs, id, what, who, why})
	if n := len(s.Events); n > historyMost {
		s.Events = slices.Delete(s.Events, 0, n-historyMost)
	}
}

// move has an entry go to another stage.
func (s *State) move(e *Entry, to Stage, who, why string) {
	s.note(e.ID, fmt.Sprintf("%s -> %s", e.Stage, to), who, why)
	e.Stage, e.Reason = to, why
	if to != Halted {
		e.HaltedByFreeze, e.WasRollingBack = 0, false
	}
}

// steer moves an entry from one of some stages to another.
func (s *State) steer(id uint64, from []Stage, to Stage, who, why string) error {
	e := s.Entries[id]
	if e == nil {
		return &UnknownError{"entry", id}
	}
	if !slices.Contains(from, e.Stage) {
		return &StageError{id, e.Stage, string(to)}
	}
	s.move(e, to, who, why)
	return nil
}

func (s *State) plan(c Plan) (uint64, error) {
	if err := s.check(&c.Change, c.Who, 0); err != nil {
		return 0, err
	}
	if c.Window.ToMs <= s.WallMs {
		return 0, &FormError{"window", "it is over"}
	}
	s.make()
	e := &Entry{Change: c.Change, ID: s.NextID, Revision: 1, Author: c.Who, Stage: Drafted}
	s.NextID++
	s.Entries[e.ID] = e
	s.note(e.ID, "planned: "+e.Name, c.Who, "")
	if !c.Draft {
		s.move(e, Waiting, c.Who, "")
	}
	return e.ID, nil
}

// make has room for one more entry: the oldest that are over go.
func (s *State) make() {
	if len(s.Entries) < entriesMost {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		if e := s.Entries[id]; !e.Stage.planned() && !e.Stage.under() && !s.live(e.Migration) {
			delete(s.Entries, id)
			return
		}
	}
}

func (s *State) edit(c Edit) (uint64, error) {
	e, err := s.at(c.ID, c.Revision)
	if err != nil {
		return 0, err
	}
	if !e.Stage.planned() {
		return 0, &StageError{e.ID, e.Stage, "edited"}
	}
	if err := s.check(&c.Change, c.Who, c.ID); err != nil {
		return 0, err
	}
	if e.Migration != 0 && (!slices.Equal(c.After, e.After) || len(c.Rollback) == 0) {
		return 0, &FormError{"after", "a step of a migration waits for the step before it, and has a way back"}
	}
	same := c.Change.Digest() == e.Digest()
	e.Change, e.Revision, e.digest, e.Observations = c.Change, e.Revision+1, "", nil // what was looked at was for something else
	to := Waiting
	if c.Draft {
		to = Drafted
	}
	if !same || c.Draft {
		e.Author, e.Approvals = c.Who, nil // who would do something else is its author: nobody approves their own words
	}
	s.move(e, to, c.Who, "edited")
	return e.ID, nil
}

// check tells what is wrong with a change.
func (s *State) check(c *Change, who string, id uint64) error {
	form := func(key, format string, args ...any) error { return &FormError{key, fmt.Sprintf(format, args...)} }
	switch {
	case who == "":
		return form("who", "missing")
	case c.Name == "" || len(c.Name) > nameMost:
		return form("name", "1 to %d bytes are wanted", nameMost)
	case !slices.Contains(kinds, c.Kind):
		return form("kind", "%q, one of %v is wanted", c.Kind, kinds)
	case !(c.Window.FromMs < c.Window.ToMs) || !(c.Window.ToMs-c.Window.FromMs <= longestFor):
		return form("window", "it must end after it begins, within %.0f days", longestFor/24/3600e3)
	case !(c.LateMs >= 0 && c.LateMs <= longestFor):
		return form("late_ms", "%g", c.LateMs)
	case !(c.SoakMs >= 0 && c.SoakMs <= longestFor):
		return form("soak_ms", "%g", c.SoakMs)
	case slices.Contains(c.Preconditions, "") || slices.Contains(c.Postconditions, ""):
		return form("preconditions", "what is to be seen has a name")
	case c.Waves < 1 || c.Waves > wavesMost:
		return form("waves", "%d, 1 to %d are wanted", c.Waves, wavesMost)
	case !(c.WaveMs >= 0 && c.WaveMs <= longestFor):
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
		if s.waitsFor(a, id, map[uint64]bool{}) {
			return form(fmt.Sprintf("after[%d]", i), "%d waits for this one", a)
		}
	}
	return c.Subject.check("subject")
}

// waitsFor tells whether an entry waits for another, by however many in between.
func (s *State) waitsFor(id, other uint64, seen map[uint64]bool) bool {
	e := s.Entries[id]
	if e == nil || seen[id] {
		return false
	}
	seen[id] = true
	return slices.ContainsFunc(e.After, func(a uint64) bool { return a == other || s.waitsFor(a, other, seen) })
}

func (r *Rule) check(i int) error {
	at := fmt.Sprintf("rules[%d].", i)
	for _, k := range r.Kinds {
		if !slices.Contains(kinds, k) {
			return &FormError{at + "kinds", fmt.Sprintf("%q is none", k)}
		}
	}
	if r.Count < 1 || !(r.ApprovalTTLMs >= 0) {
		return &FormError{at + "count", "at least 1, for a time from 0 on, is wanted"}
	}
	return r.Subject.check(at + "subject")
}

// asked finds an entry that somebody is asked about, if it would still do what the digest names.
func (s *State) asked(id uint64, digest, to string) (*Entry, error) {
	e := s.Entries[id]
	switch {
	case e == nil:
		return nil, &UnknownError{"entry", id}
	case e.Stage != Waiting && e.Stage != Approved && e.Stage != Due:
		return nil, &StageError{id, e.Stage, to}
	case digest != e.Digest():
		return nil, &ChangedError{"entry", id, 0, e.Revision, s.last(id)}
	}
	return e, nil
}

func (s *State) approve(c Approve) (uint64, error) {
	e, err := s.asked(c.ID, c.Digest, "approved")
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
	s.note(e.ID, "approval", c.Who, c.Role)
	return e.ID, nil
}

func (s *State) refuse(c Refuse) (uint64, error) {
	e, err := s.asked(c.ID, c.Digest, "refused")
	switch {
	case err != nil:
		return 0, err
	case c.Who == "" || c.Why == "":
		return 0, &FormError{"why", "a refusal needs a name and a reason"}
	}
	e.Revision, e.Approvals = e.Revision+1, nil
	s.move(e, Drafted, c.Who, c.Why)
	return e.ID, nil
}

func (s *State) declareEmergency(c DeclareEmergency) (uint64, error) {
	e := s.Entries[c.ID]
	switch {
	case e == nil:
		return 0, &UnknownError{"entry", c.ID}
	case !e.Stage.planned():
		return 0, &StageError{e.ID, e.Stage, "an emergency"}
	case c.Who == "" || c.Second == "" || c.Who == c.Second || c.Why == "":
		return 0, &FormError{"second", "an emergency needs a reason and two names"}
	}
	m := c.Emergency
	e.Emergency, e.Revision = &m, e.Revision+1
	s.note(e.ID, "emergency, with "+c.Second, c.Who, c.Why)
	return e.ID, nil
}

// asks tells whether a rule is about a change.
func (s *State) asks(r *Rule, c *Change) bool {
	return (len(r.Kinds) == 0 || slices.Contains(r.Kinds, c.Kind)) && s.touch(&r.Subject, &c.Subject)
}

// lacks tells what approvals an entry lacks: a rule, and how many so far. The same person counts once for each rule.
func (s *State) lacks(e *Entry) error {
	digest := e.Digest()
	for i := range s.Rules {
		r := &s.Rules[i]
		if !s.asks(r, &e.Change) {
			continue
		}
		last := r.ApprovalTTLMs
		if last == 0 {
			last = approvalFor
		}
		have := 0
		for _, a := range e.Approvals {
			if a.Digest == digest && s.WallMs-a.AtMs < last && (len(r.Roles) == 0 || slices.Contains(r.Roles, a.Role)) {
				have++
			}
		}
		if have < r.Count {
			return &ApprovalError{e.ID, e.Author, r.Count, have, r.Roles}
		}
	}
	return nil
}

// pass has entries go where time and what has become known take them.
func (s *State) pass() {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		s.passOne(s.Entries[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.Migrations)) {
		s.passMigration(s.Migrations[id])
	}
}

func (s *State) passOne(e *Entry) {
	if e.Stage == Waiting && s.lacks(e) == nil {
		s.move(e, Approved, "", "")
	} else if (e.Stage == Approved || e.Stage == Due) && s.lacks(e) != nil {
		s.move(e, Waiting, "", "an approval lapsed, or a rule asks for more")
	}
	if e.Stage.planned() && s.WallMs >= e.deadline() {
		s.move(e, Missed, "", "its window passed")
		return
	}
	if e.Stage == Approved && s.WallMs >= e.Window.FromMs {
		s.move(e, Due, "", "")
	}
	if e.Stage != Running && e.HaltedByFreeze == 0 {
		return
	}
	if e.Stage == Running && e.WavesDoneMs > 0 { // it changes nothing any more: no freeze is about it
		s.soaked(e)
		return
	}
	f := s.frozen(e, s.WallMs)
	switch {
	case e.Stage == Running && f != nil && f.RunningPolicy == RollBackAtOnce && len(e.Rollback) > 0:
		s.move(e, RollingBack, "", "freeze "+f.Name)
	case e.Stage == Halted && f == nil && e.deadline()-s.WallMs >= e.left():
		s.move(e, Running, "", "the freeze is over")
	}
}

// start begins an entry, once.
func (s *State) start(id uint64) (uint64, error) {
	e := s.Entries[id]
	if e == nil {
		return 0, &UnknownError{"entry", id}
	}
	if err := s.CheckStart(e); err != nil {
		return 0, err
	}
	e.Starts++
	s.move(e, Running, "", "")
	return id, nil
}

// Startable lists the entries that are due with nothing in the way, by number: whoever leads starts the first, and asks again.
func (s *State) Startable() (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		if e := s.Entries[id]; e.Stage == Due && s.CheckStart(e) == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// waveDone takes in that a wave has ended. Its number is of the next wave, 0 where none is to begin now.
func (s *State) waveDone(c WaveDone) (uint64, error) {
	e := s.Entries[c.ID]
	switch {
	case e == nil:
		return 0, &UnknownError{"entry", c.ID}
	case e.Stage.under() && c.Wave == e.WavesDone || e.Stage == Done && c.Wave == e.Waves: // told twice
	case e.Stage != Running && e.Stage != Halted, c.Wave != e.WavesDone+1:
		return 0, &StageError{e.ID, e.Stage, fmt.Sprintf("done with wave %d", c.Wave)}
	default:
		e.WavesDone = c.Wave
		s.note(e.ID, fmt.Sprintf("wave %d of %d done", e.WavesDone, e.Waves), c.Who, "")
	}
	if f := s.frozen(e, s.WallMs); e.Stage == Running && e.WavesDone < e.Waves && f != nil {
		s.move(e, Halted, "", "freeze "+f.Name)
		e.HaltedByFreeze = f.ID
	}
	switch {
	case e.WavesDone == e.Waves && e.Stage.under() && e.WavesDoneMs == 0:
		e.WavesDoneMs = max(1, s.WallMs)
		maps.DeleteFunc(e.Observations, func(n string, _ Observation) bool { return slices.Contains(e.Postconditions, n) }) // it was before
		s.soaked(e)
	case e.Stage == Running && e.WavesDone < e.Waves:
		return uint64(e.WavesDone + 1), nil
	}
	return 0, nil
}

// soaked ends an entry that was watched for long enough and shows what it must. One that is halted stays so until it is resumed.
func (s *State) soaked(e *Entry) {
	if e.WavesDoneMs == 0 || e.Stage != Running || s.WallMs < e.WavesDoneMs+e.SoakMs {
		return
	}
	if name, _ := e.unobserved(e.Postconditions, 0); name == "" {
		s.move(e, Done, "", "")
	}
}

// observe takes in what was seen. One that must show it and doesn't is halted.
func (s *State) observe(c Observe) error {
	e := s.Entries[c.ID]
	switch {
	case e == nil:
		return &UnknownError{"entry", c.ID}
	case !slices.Contains(e.Preconditions, c.What) && !slices.Contains(e.Postconditions, c.What):
		return &FormError{"what", fmt.Sprintf("entry %d looks for no %q", e.ID, c.What)}
	case !e.Stage.planned() && !e.Stage.under():
		return &StageError{e.ID, e.Stage, "looked at"}
	}
	if e.Observations == nil {
		e.Observations = map[string]Observation{}
	}
	e.Observations[c.What] = Observation{c.Passed, c.Detail, s.WallMs}
	if c.Who != "" { // programs look again and again
		s.note(e.ID, fmt.Sprintf("seen %s: %t", c.What, c.Passed), c.Who, c.Detail)
	}
	if e.Stage == Running && e.WavesDoneMs > 0 && !c.Passed && slices.Contains(e.Postconditions, c.What) {
		s.move(e, Halted, "", fmt.Sprintf("%s is not seen: %s", c.What, c.Detail))
	}
	return nil
}

// restored halts what was under way, and misses what was to begin, as it may have been done by a state that is lost.
func (s *State) restored(who string) {
	for _, id := range slices.Sorted(maps.Keys(s.Entries)) {
		switch e := s.Entries[id]; {
		case e.Stage == Running || e.Stage == RollingBack:
			turned := e.Stage == RollingBack
			s.move(e, Halted, who, "the state was restored: look how far it is")
			e.WasRollingBack = turned
		case e.Stage == Approved || e.Stage == Due || e.Stage == Waiting:
			e.Revision, e.Approvals = e.Revision+1, nil
			s.move(e, Drafted, who, "the state was restored: it may have been done")
		}
	}
}
