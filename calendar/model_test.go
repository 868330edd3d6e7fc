package calendar

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is a simple reference model that shares no code with the calendar. It receives the same commands, knows the true time, and decides
// which entries must not have started and which must be startable. It records what people did and when, and none of the calendar's
// stages.
type model struct {
	trueMs          float64
	entries         map[uint64]*modelEntry
	freezes         map[uint64]modelFreeze
	migrationOver   map[uint64]bool     // by ID of the migration
	undoStacks      map[string][]uint64 // entries by unit that can still be rolled back, newest last
	approvalsNeeded map[Kind]int        // by kind
	budgets         map[Kind]int        // entries in progress at once, by kind; 0 for no limit
}

// modelEntry is the model's record of an entry. Times are in ms of the true time.
type modelEntry struct {
	kind           Kind
	units          map[string]bool // units of its subject
	from, to       float64         // window, with the allowed lateness
	durationMs     float64         // of its waves and its soak
	author         string
	approvers      map[string]bool // of its current change
	after          []uint64
	draft          bool
	emergency      bool
	starts         int
	waves          int
	wavesDone      int
	lastWaveMs     float64
	soakMs         float64
	preconditions  []string
	postconditions []string
	observations   map[string]modelObservation
	finished       bool // done, withdrawn or missed
	migration      uint64
	halted         bool
	inProgress     bool
}

// modelObservation is the model's record of an observation.
type modelObservation struct {
	passed bool
	atMs   float64
}

// complete reports whether its waves and its soak are over and its postconditions were observed to pass. The soak must be over for at
// least margin ms; a negative margin accepts it that much early.
func (e *modelEntry) complete(at, margin float64) bool {
	for _, n := range e.postconditions {
		if !e.observations[n].passed {
			return false
		}
	}
	return e.wavesDone == e.waves && at >= e.lastWaveMs+e.soakMs+margin
}

// modelFreeze is the model's record of a freeze.
type modelFreeze struct {
	kinds []Kind
	units map[string]bool
	spans [][2]float64
}

// toleranceMs is the largest difference between the agreed and the true time, in ms: maxClockSpreadMs plus the error of a correct clock.
const toleranceMs = 6000

// unitsOf returns the units of the fleet and the plans that a subject covers.
func unitsOf(b Subject) map[string]bool {
	all := map[string]bool{}
	for _, u := range []string{"d0", "d1", "d2", "d3", "b0", "b1", "b2", "b3", "plan basic", "plan gold"} {
		zone := map[byte]string{'0': "z0", '1': "z0", '2': "z1", '3': "z1"}[u[1]]
		in := len(b.Names) == 0
		for _, n := range b.Names {
			in = in || n == u || b.Scope == Zone && n == zone || b.Scope == Plans && "plan "+n == u
		}
		switch b.Scope {
		case Fleet:
			all[u] = true
		case Zone:
			all[u] = in && zone != ""
		case Doors:
			all[u] = in && u[0] == 'd'
		case Backends:
			all[u] = in && u[0] == 'b'
		case Plans:
			all[u] = in && strings.HasPrefix(u, "plan")
		}
	}
	return all
}

// overlap reports whether two sets of units have one in common.
func overlap(a, b map[string]bool) bool {
	for u := range a {
		if a[u] && b[u] {
			return true
		}
	}
	return false
}

// frozen reports whether a freeze applies to an entry at a time: surely, if for every agreed time within the tolerance; perhaps, if for
// any.
func (m *model) frozen(e *modelEntry, at float64) (surely, perhaps bool) {
	for _, f := range m.freezes {
		ofKind := len(f.kinds) == 0
		for _, k := range f.kinds {
			ofKind = ofKind || k == e.kind
		}
		if !ofKind || !overlap(f.units, e.units) || e.emergency {
			continue
		}
		for _, s := range f.spans {
			surely = surely || s[0]+toleranceMs <= at && at < s[1]-toleranceMs
			perhaps = perhaps || s[0]-toleranceMs <= at && at < s[1]+toleranceMs
		}
	}
	return surely, perhaps
}

// startViolation returns why an entry must not start now, whatever the agreed time within the tolerance; empty if it may.
func (m *model) startViolation(id uint64) string {
	e := m.entries[id]
	others := 0
	for other, o := range m.entries {
		if other == id {
			continue
		}
		if o.migration != 0 && o.migration != e.migration && o.starts > 0 && !m.migrationOver[o.migration] && !(o.finished && o.wavesDone < o.waves) && overlap(o.units, e.units) {
			return fmt.Sprintf("entry %d holds part of its subject until its migration is over", other)
		}
		if o.inProgress {
			if overlap(o.units, e.units) {
				return fmt.Sprintf("entry %d holds part of its subject", other)
			}
			if o.kind == e.kind {
				others++
			}
		}
	}
	surely, _ := m.frozen(e, m.trueMs)
	switch {
	case e.starts > 0:
		return "it has started before"
	case e.migration != 0 && m.migrationOver[e.migration]:
		return "its migration is over"
	case e.finished || e.draft:
		return "it is finished or a draft"
	case len(e.approvers) < m.approvalsNeeded[e.kind]:
		return "its current change lacks approvals"
	case surely:
		return "frozen"
	case m.trueMs < e.from-toleranceMs:
		return "its window has not begun"
	case m.trueMs+e.durationMs > e.to+toleranceMs:
		return "too little time is left"
	case m.budgets[e.kind] > 0 && others >= m.budgets[e.kind]:
		return "its budget is used up"
	}
	for _, n := range e.preconditions {
		if v := e.observations[n]; !v.passed || m.trueMs-v.atMs > observationTTLMs+toleranceMs {
			return "a precondition was not observed"
		}
	}
	for _, a := range e.after {
		if o := m.entries[a]; !o.complete(m.trueMs, -toleranceMs) {
			return "an entry it waits for is not done"
		}
	}
	return ""
}

// mustBeStartable reports whether an entry must be startable now, whatever the agreed time within the tolerance.
func (m *model) mustBeStartable(id uint64) bool {
	e := m.entries[id]
	_, blocked := m.frozen(e, m.trueMs)
	for _, a := range e.after {
		blocked = blocked || m.entries[a].halted || !m.entries[a].complete(m.trueMs, toleranceMs)
	}
	for _, n := range e.preconditions {
		blocked = blocked || m.trueMs-e.observations[n].atMs > observationTTLMs-toleranceMs
	}
	if e.migration != 0 && !m.migrationProceeds(e.migration) {
		return false
	}
	return !e.finished && !e.inProgress && !blocked && m.startViolation(id) == "" && m.trueMs > e.from+toleranceMs && m.trueMs+e.durationMs < e.to-toleranceMs
}

// migrationProceeds reports whether a migration is not over and has no step that halts it.
func (m *model) migrationProceeds(id uint64) bool {
	for _, e := range m.entries {
		if e.migration == id && (e.finished && !e.complete(m.trueMs, -toleranceMs) || e.halted) {
			return false
		}
	}
	return !m.migrationOver[id]
}

// simulation applies the same random commands to a calendar and to its model.
type simulation struct {
	t            *rapid.T
	state        *State
	model        *model
	agreedMs     float64 // the agreed clock, which stands still without a leader
	clockErrorMs float64 // error of the clock of coordinator c1
	defect       string  // planted defect, one of those that TestModelFindsPlantedDefects names; empty for none
	violation    string  // first contradiction between calendar and model; empty for none
}

func newSimulation(t *rapid.T, defect string) *simulation {
	s := &simulation{t: t, state: New(), defect: defect, agreedMs: 5000,
		model: &model{trueMs: noon, entries: map[uint64]*modelEntry{}, freezes: map[uint64]modelFreeze{}, migrationOver: map[uint64]bool{}, undoStacks: map[string][]uint64{}, approvalsNeeded: map[Kind]int{}, budgets: map[Kind]int{}}}
	s.state.SetZones(testZones{})
	s.reportClocks()
	return s
}

func (s *simulation) apply(c any) (uint64, error) { return s.state.Apply(s.agreedMs, c) }

// fail records a violation.
func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// reportClocks reports the clocks of the three coordinators. Two are correct within 1000 ms, c1 is off by clockErrorMs as well.
func (s *simulation) reportClocks() {
	for i := range 3 {
		at := s.model.trueMs + float64(rapid.IntRange(-1000, 1000).Draw(s.t, "error"))
		if i == 1 {
			at += s.clockErrorMs
		}
		if _, err := s.apply(ReportClock{fmt.Sprint("c", i), max(0, at), 3}); err != nil {
			s.t.Fatal(err)
		}
	}
}

var (
	people   = []string{"ana", "bea", "cem"}
	subjects = []Subject{{Scope: Fleet}, {Scope: Zone, Names: []string{"z0"}}, {Scope: Zone, Names: []string{"z1"}}, {Scope: Zone}, {Scope: Doors},
		{Scope: Doors, Names: []string{"d0"}}, {Scope: Doors, Names: []string{"d1", "d2"}}, {Scope: Doors, Names: []string{"d3"}},
		{Scope: Backends, Names: []string{"b0"}}, {Scope: Backends, Names: []string{"b2", "b3"}}, {Scope: Plans, Names: []string{"basic"}}, {Scope: Plans}}
	testKinds = []Kind{Drain, Release, Terms}
)

// randomChange returns a change, mostly a valid one.
func (s *simulation) randomChange() Change {
	from := s.model.trueMs + float64(rapid.IntRange(-30, 90).Draw(s.t, "from"))*minute
	c := Change{Name: "x", Kind: rapid.SampledFrom(testKinds).Draw(s.t, "kind"), Subject: rapid.SampledFrom(subjects).Draw(s.t, "subject"),
		Window: Span{from, from + float64(rapid.IntRange(1, 120).Draw(s.t, "minutes"))*minute}, LateMs: float64(rapid.SampledFrom([]int{0, 0, 30, 120}).Draw(s.t, "late")) * minute,
		Waves: rapid.IntRange(1, 3).Draw(s.t, "waves"), WaveMs: float64(rapid.IntRange(0, 20).Draw(s.t, "wave")) * minute, Do: json.RawMessage(`1`),
		SoakMs: float64(rapid.SampledFrom([]int{0, 0, 0, 5}).Draw(s.t, "soak")) * minute}
	switch rapid.IntRange(0, 9).Draw(s.t, "conditions") {
	case 0:
		c.Preconditions = []string{"calm"}
	case 1:
		c.Postconditions = []string{"well"}
	}
	if rapid.Bool().Draw(s.t, "back") {
		c.Rollback = json.RawMessage(`2`)
	}
	for id := range s.state.NextID {
		if s.model.entries[id] != nil && rapid.IntRange(0, 7).Draw(s.t, "after") == 0 {
			c.After = append(c.After, id)
		}
	}
	return c
}

// replacementFor returns a random change that can replace the one of an entry.
func (s *simulation) replacementFor(id uint64) Change {
	c := s.randomChange()
	if e := s.state.Entries[id]; e.Migration != 0 {
		c.After, c.Rollback = e.After, json.RawMessage(`2`)
	}
	return c
}

// planMigration adds a migration of random steps. Invalid ones, such as those with windows out of order, are rejected and ignored.
func (s *simulation) planMigration() {
	var steps []Change
	for range rapid.IntRange(1, 3).Draw(s.t, "steps") {
		c := s.randomChange()
		c.After, c.Rollback, c.LateMs = nil, json.RawMessage(`2`), 300*minute
		steps = append(steps, c)
	}
	id, err := s.apply(Migrate{"m", steps, "ana"})
	if err != nil {
		return
	}
	s.model.migrationOver[id] = false
	for i, step := range s.state.Migrations[id].Steps {
		c := steps[i]
		c.After = s.state.Entries[step].After
		s.recordEntry(step, c, "ana", false)
	}
}

// revert reverts a migration.
func (s *simulation) revert(id uint64) error {
	_, err := s.apply(RevertMigration{id, "ana", "enough"})
	if err == nil && s.defect == "steps are rolled back in the wrong order" {
		slices.Reverse(s.state.Migrations[id].Steps)
	}
	return err
}

// recordRollback removes an entry from the undo stacks of its units. On each it must be the newest.
func (s *simulation) recordRollback(id uint64) {
	for u, stack := range s.model.undoStacks {
		switch at := slices.Index(stack, id); {
		case at < 0:
		case at < len(stack)-1:
			s.fail("entry %d was rolled back before the newer %v", id, stack[at+1:])
		default:
			s.model.undoStacks[u] = stack[:at]
		}
	}
}

// dropFromUndoStacks removes an entry that can no longer be rolled back.
func (s *simulation) dropFromUndoStacks(id uint64) {
	for u, stack := range s.model.undoStacks {
		s.model.undoStacks[u] = slices.DeleteFunc(slices.Clone(stack), func(i uint64) bool { return i == id })
	}
}

// recordEntry adds an entry to the model or replaces its change.
func (s *simulation) recordEntry(id uint64, c Change, who string, draft bool) {
	s.model.entries[id] = &modelEntry{kind: c.Kind, units: unitsOf(c.Subject), from: c.Window.FromMs, to: c.Window.ToMs + c.LateMs, durationMs: float64(c.Waves)*c.WaveMs + c.SoakMs,
		soakMs: c.SoakMs, preconditions: c.Preconditions, postconditions: c.Postconditions, observations: map[string]modelObservation{}, migration: s.state.Entries[id].Migration,
		author: who, approvers: map[string]bool{}, after: c.After, draft: draft, waves: c.Waves}
}

// randomEntry returns the ID of an entry, and nil if there is none with that ID.
func (s *simulation) randomEntry() (uint64, *modelEntry) {
	id := uint64(rapid.IntRange(1, int(s.state.NextID)).Draw(s.t, "id"))
	return id, s.model.entries[id]
}

// step applies one random command.
func (s *simulation) step() {
	switch rapid.IntRange(0, 22).Draw(s.t, "step") {
	case 18:
		s.planMigration()
	case 19:
		for _, id := range slices.Sorted(maps.Keys(s.model.migrationOver)) {
			if rapid.IntRange(0, 2).Draw(s.t, "revert") == 0 {
				s.revert(id)
			}
		}
	case 20, 21:
		for _, id := range slices.Sorted(maps.Keys(s.model.entries)) {
			e := s.model.entries[id]
			for _, n := range slices.Concat(e.preconditions, e.postconditions) {
				well := rapid.IntRange(0, 3).Draw(s.t, "well") > 0
				if _, err := s.apply(Observe{ID: id, What: n, Passed: well, Detail: ""}); err == nil {
					e.observations[n] = modelObservation{well, s.model.trueMs}
				}
			}
		}
	case 22:
		id, e := s.randomEntry()
		if e != nil {
			s.apply(Halt{id, "ana", "wait"})
		}
	case 0, 1, 2:
		c, who, draft := s.randomChange(), rapid.SampledFrom(people).Draw(s.t, "who"), rapid.IntRange(0, 5).Draw(s.t, "draft") == 0
		if id, err := s.apply(Plan{c, who, draft}); err == nil {
			s.recordEntry(id, c, who, draft)
		}
	case 3, 16:
		id, e := s.randomEntry()
		if e == nil {
			return
		}
		c, who, rev := s.replacementFor(id), rapid.SampledFrom(people).Draw(s.t, "who"), s.state.Entries[id].Revision+uint64(rapid.IntRange(0, 1).Draw(s.t, "stale"))
		if _, err := s.apply(Edit{id, rev, c, who, false}); err == nil {
			urgent := e.emergency
			if s.defect == "approvals outlive edits" {
				for who := range e.approvers {
					s.state.Entries[id].Approvals = append(s.state.Entries[id].Approvals, Approval{who, "", s.state.Entries[id].Digest(), s.state.WallMs})
				}
			}
			s.recordEntry(id, c, who, false)
			s.model.entries[id].emergency = urgent
		}
	case 4, 5, 6, 17:
		id, e := s.randomEntry()
		if e == nil {
			return
		}
		who := rapid.SampledFrom(people).Draw(s.t, "who")
		if _, err := s.apply(Approve{id, s.state.Entries[id].Digest(), who, ""}); err == nil {
			if who == e.author {
				s.fail("%s approved their own entry %d", who, id)
			}
			e.approvers[who] = true
		}
	case 7:
		id, e := s.randomEntry()
		if e == nil {
			return
		}
		if _, err := s.apply(Refuse{id, s.state.Entries[id].Digest(), "dan", "no"}); err == nil {
			e.approvers, e.draft = map[string]bool{}, true
		}
	case 8:
		id, e := s.randomEntry()
		if e == nil {
			return
		}
		if _, err := s.apply(DeclareEmergency{id, Emergency{"ana", "bea", "fire"}}); err == nil {
			e.emergency = true
		}
	case 9:
		f := Freeze{Name: "f", Subject: rapid.SampledFrom(subjects).Draw(s.t, "subject"), RunningPolicy: rapid.SampledFrom([]string{HaltAfterWave, RollBackAtOnce}).Draw(s.t, "sends"), Who: "ana", Why: "y"}
		if rapid.Bool().Draw(s.t, "one kind") {
			f.Kinds = []Kind{rapid.SampledFrom(testKinds).Draw(s.t, "kind")}
		}
		at := s.model.trueMs
		modeled := modelFreeze{f.Kinds, unitsOf(f.Subject), nil}
		for range rapid.IntRange(1, 3).Draw(s.t, "spans") {
			at += float64(rapid.IntRange(0, 40).Draw(s.t, "gap")) * minute
			end := at + float64(rapid.IntRange(1, 60).Draw(s.t, "lasts"))*minute
			f.Spans, modeled.spans = append(f.Spans, Span{at, end}), append(modeled.spans, [2]float64{at, end})
			at = end
		}
		if id, err := s.apply(SetFreeze{0, 0, f}); err == nil {
			s.model.freezes[id] = modeled
			if s.defect == "a freeze is lost" {
				delete(s.state.Freezes, id)
			}
		} else {
			s.t.Fatal(err)
		}
	case 10:
		id, _ := s.randomEntry()
		if s.model.freezes[id].spans != nil {
			if _, err := s.apply(Thaw{id, 1, "ana", ""}); err == nil {
				delete(s.model.freezes, id)
			}
		}
	case 11:
		s.setRules()
	case 12:
		s.clockErrorMs = float64(rapid.SampledFrom([]int{0, 0, 4, 600, -600, 7200, -7200}).Draw(s.t, "wrong")) * sec
	case 13: // there is no leader for a while
		s.model.trueMs += float64(rapid.IntRange(1, 120).Draw(s.t, "down")) * minute
		if s.defect != "clock readings survive a leader change" {
			s.apply(LeaderChanged{})
		} else {
			s.settle()
		}
		s.reportClocks()
	default:
		ms := float64(rapid.IntRange(0, 60).Draw(s.t, "passes")) * minute / float64(rapid.SampledFrom([]int{1, 60}).Draw(s.t, "slow"))
		s.model.trueMs, s.agreedMs = s.model.trueMs+ms, s.agreedMs+ms
		s.reportClocks()
	}
}

// setRules sets the number of approvals that a release requires and the budget of drains.
func (s *simulation) setRules() {
	s.model.approvalsNeeded[Release], s.model.budgets[Drain] = rapid.IntRange(0, 2).Draw(s.t, "count"), rapid.IntRange(0, 2).Draw(s.t, "most")
	var c SetRules
	if n := s.model.approvalsNeeded[Release]; n > 0 {
		c.Rules = []Rule{{Kinds: []Kind{Release}, Subject: Subject{Scope: Fleet}, Count: n}}
	}
	if n := s.model.budgets[Drain]; n > 0 && s.defect != "a budget is lost" {
		c.Budgets = []Budget{{Drain, n}}
	}
	if _, err := s.apply(c); err != nil {
		s.t.Fatal(err)
	}
}

// settle starts every startable entry, as the leader does, and advances some of the running ones. It compares each step with the model.
func (s *simulation) settle() {
	if s.defect == "an entry runs twice" {
		for _, e := range s.state.Entries {
			if e.Stage == Done {
				e.Stage = Due
			}
		}
	}
	ids := slices.Sorted(maps.Keys(s.model.entries))
	for _, id := range ids { // follow transitions that no command asked for
		e := s.model.entries[id]
		e.halted = s.state.Entries[id].Stage == Halted || s.state.Entries[id].Stage == RollingBack
		switch at := s.state.Entries[id].Stage; at {
		case Missed:
			if !e.finished && !e.inProgress && s.model.mustBeStartable(id) {
				s.fail("entry %d was missed although it could start", id)
			}
			e.finished = true
		case Done:
			if e.inProgress && !e.complete(s.model.trueMs, -toleranceMs) {
				s.fail("entry %d is done, but its waves, its soak or its postconditions are not", id)
			}
			if e.inProgress && e.migration == 0 {
				s.dropFromUndoStacks(id)
			}
			e.inProgress, e.finished = false, true
		case Withdrawn:
			e.inProgress, e.finished = false, true
		case RollingBack: // also an entry that was done, as a step of a migration
			e.inProgress, e.finished, e.wavesDone = true, false, 0
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.model.migrationOver)) {
		m := s.state.Migrations[id]
		if m.Stage != Done && m.Stage != Withdrawn || s.model.migrationOver[id] {
			continue
		}
		s.model.migrationOver[id] = true
		for _, step := range m.Steps {
			if e := s.model.entries[step]; m.Stage == Done && (e.wavesDone < e.waves || e.starts == 0) {
				s.fail("migration %d is done, but its step %d is not", id, step)
			}
			for u, stack := range s.model.undoStacks {
				if m.Stage == Withdrawn && slices.Contains(stack, step) {
					s.fail("migration %d was rolled back, but step %d was not at %s", id, step, u)
				}
			}
			s.dropFromUndoStacks(step)
		}
	}
	for ids := s.state.Startable(); len(ids) > 0; ids = s.state.Startable() {
		id := ids[0]
		if reason := s.model.startViolation(id); reason != "" {
			s.fail("entry %d started: %s", id, reason)
			return
		}
		if _, err := s.apply(Start{id}); err != nil {
			s.t.Fatal(err)
		}
		e := s.model.entries[id]
		e.starts++
		e.inProgress = true
		for u, is := range e.units {
			if is {
				s.model.undoStacks[u] = append(s.model.undoStacks[u], id)
			}
		}
	}
	for _, id := range ids {
		if s.model.mustBeStartable(id) {
			s.fail("entry %d could start but is not startable: %v", id, s.state.CheckStart(s.state.Entries[id]))
		}
	}
	for _, id := range ids { // advance some of the running entries
		e, at := s.model.entries[id], s.state.Entries[id]
		if !e.inProgress || rapid.IntRange(0, 2).Draw(s.t, "advances") > 0 {
			continue
		}
		switch at.Stage {
		case Running:
			if e.wavesDone == e.waves { // in its soak
				break
			}
			e.wavesDone++
			if e.lastWaveMs = s.model.trueMs; e.wavesDone == e.waves {
				for _, n := range e.postconditions { // only observations after the last wave count
					delete(e.observations, n)
				}
			}
			if _, err := s.apply(WaveDone{ID: id, Wave: e.wavesDone}); err != nil {
				s.fail("entry %d: wave %d: %v", id, e.wavesDone, err)
			}
		case Halted:
			var err error
			switch {
			case at.WasRollingBack:
				_, err = s.apply(Resume{id, "ana"})
			case at.Migration != 0 && s.state.Migrations[at.Migration].Stage != RollingBack:
				err = s.revert(at.Migration)
			case at.Migration == 0 && len(at.Rollback) > 0:
				_, err = s.apply(RollBack{id, "ana", "enough"})
			default: // without a rollback it can only resume
				s.apply(Resume{id, "ana"})
			}
			if err != nil {
				s.fail("entry %d is halted and can neither resume nor be rolled back: %v", id, err)
			}
		case RollingBack:
			if _, err := s.apply(RolledBack{ID: id}); err != nil {
				s.fail("entry %d: %v", id, err)
			}
			s.recordRollback(id)
			e.inProgress, e.finished, e.wavesDone = false, true, 0
		}
		if at.Starts > 1 {
			s.fail("entry %d started %d times", id, at.Starts)
		}
	}
}

// run applies random commands until the first violation, which it returns.
func (s *simulation) run() string {
	s.setRules()
	for range rapid.IntRange(10, 60).Draw(s.t, "commands") {
		s.step()
		s.settle()
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}

// The calendar must agree with the model for random commands, with clocks that are wrong and times without a leader.
func TestModelRandomCommandsAndClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := newSimulation(t, "").run(); violation != "" {
			t.Fatal(violation)
		}
	})
}

// The model must find each planted defect; otherwise a pass of TestModelRandomCommandsAndClocks means little.
func TestModelFindsPlantedDefects(t *testing.T) {
	for _, defect := range []string{"approvals outlive edits", "steps are rolled back in the wrong order", "a freeze is lost", "a budget is lost", "an entry runs twice", "clock readings survive a leader change"} {
		t.Run(defect, func(t *testing.T) {
			runs := rapid.Custom(func(t *rapid.T) string { return newSimulation(t, defect).run() })
			for seed := 1; ; seed++ {
				require.Less(t, seed, 5000, "never found")
				if violation := runs.Example(seed); violation != "" {
					t.Logf("found on run %d: %s", seed, violation)
					return
				}
			}
		})
	}
}

// The free time that the calendar finds must equal that of a search of each hour.
func TestFreeTimeAgainstExhaustiveSearch(t *testing.T) {
	const hours = 48
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.SetZones(testZones{})
		s.Size, s.WallMs, s.ClockProblem = 1, noon, ""
		s.Readings["c0"] = Reading{noon, 0}
		span := func() Span {
			from := rapid.IntRange(-2, hours-1).Draw(t, "from")
			return Span{noon + float64(from)*hour, noon + float64(rapid.IntRange(from+1, hours).Draw(t, "to"))*hour}
		}
		most := rapid.IntRange(0, 2).Draw(t, "most")
		if most > 0 {
			s.Budgets = []Budget{{Drain, most}}
		}
		for id := range uint64(rapid.IntRange(0, 6).Draw(t, "entries")) {
			s.Entries[id+1] = &Entry{ID: id + 1, Stage: rapid.SampledFrom([]Stage{Drafted, Waiting, Approved, Due, Done, Missed}).Draw(t, "stage"),
				Change: Change{Kind: rapid.SampledFrom(testKinds).Draw(t, "kind"), Subject: rapid.SampledFrom(subjects).Draw(t, "subject"), Window: span(), Waves: 1}}
		}
		for id := range uint64(rapid.IntRange(0, 3).Draw(t, "freezes")) {
			s.Freezes[id+100] = &Freeze{ID: id + 100, Subject: rapid.SampledFrom(subjects).Draw(t, "subject"), Spans: []Span{span()}}
		}
		takes := rapid.IntRange(1, 5).Draw(t, "takes")
		c := &Change{Kind: rapid.SampledFrom(testKinds).Draw(t, "kind"), Subject: rapid.SampledFrom(subjects).Draw(t, "subject"), Waves: takes, WaveMs: hour}
		free := func(h int) bool { // checks every entry, freeze and budget at the middle of the hour
			at, inUse := noon+(float64(h)+0.5)*hour, 0
			in := func(p Span) bool { return p.FromMs <= at && at < p.ToMs }
			for _, e := range s.Entries {
				if e.Stage == Waiting || e.Stage == Approved || e.Stage == Due {
					if in(e.Window) && overlap(unitsOf(e.Subject), unitsOf(c.Subject)) {
						return false
					}
					if in(e.Window) && e.Kind == c.Kind && c.Kind == Drain {
						inUse++
					}
				}
			}
			for _, f := range s.Freezes {
				if in(f.Spans[0]) && overlap(unitsOf(f.Subject), unitsOf(c.Subject)) {
					return false
				}
			}
			return most == 0 || inUse < most
		}
		var want []Span
		for h := 0; h < hours; h++ {
			end := h
			for end < hours && free(end) {
				end++
			}
			if end == hours {
				want = append(want, Span{noon + float64(h)*hour, noon + horizonMs})
			} else if end-h >= takes {
				want = append(want, Span{noon + float64(h)*hour, noon + float64(end)*hour})
			}
			h = end
		}
		if len(want) == 0 || want[len(want)-1].ToMs < noon+horizonMs { // everything is free past the hours searched
			want = append(want, Span{noon + hours*hour, noon + horizonMs})
		}
		got := s.FindFree(c, 0, math.MaxInt)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v, the search found %v", got, want)
		}
	})
}

// BenchmarkTenThousandEntries measures commands and queries with ten thousand entries, a hundred of which are in progress or due.
func BenchmarkTenThousandEntries(b *testing.B) {
	s := New()
	s.SetZones(testZones{})
	s.Apply(0, SetRules{Who: "boss", Rules: []Rule{{Subject: Subject{Scope: Fleet}, Count: 1}}, Budgets: []Budget{{Drain, 3}}})
	s.Apply(0, ReportClock{"c0", noon, 1})
	for i := range 10000 {
		c := testChange(float64(i)*2*hour*0.9, float64(i)*2*hour*0.9+hour)
		c.Subject = subjects[i%len(subjects)]
		c.Window = Span{noon + float64(i%4000)*hour, noon + float64(i%4000)*hour + hour}
		id, err := s.Apply(0, Plan{Change: c, Who: "ana"})
		require.NoError(b, err)
		if i%2 == 0 {
			_, err = s.Apply(0, Approve{id, c.Digest(), "bea", ""})
			require.NoError(b, err)
		}
	}
	for i := range 20 {
		f := testFreeze(0, hour, RollBackAtOnce)
		f.When = Recurrence{Begin: fmt.Sprintf("2024-10-%02dT02:00", i+1), Minutes: 60, RRule: "FREQ=WEEKLY", TimeZone: "UTC"}
		f.Subject = subjects[i%len(subjects)]
		require.NoError(b, f.ExpandSpans(time.UTC, noon))
		s.Apply(0, SetFreeze{0, 0, f})
	}
	c := testChange(0, hour)
	now := 0.0
	b.Run("command", func(b *testing.B) {
		for b.Loop() {
			now += 1
			s.Apply(now, ReportClock{"c0", noon + now, 1})
		}
	})
	b.Run("startable", func(b *testing.B) {
		for b.Loop() {
			s.Startable()
		}
	})
	b.Run("next", func(b *testing.B) {
		for b.Loop() {
			s.FindFree(&c, 0, 5)
		}
	})
	b.Run("conflicts", func(b *testing.B) {
		for b.Loop() {
			s.Conflicts(&c, 0, 5)
		}
	})
	raw, _ := json.Marshal(s)
	b.Logf("%d entries, %d kB of state", len(s.Entries), len(raw)/1024)
}
