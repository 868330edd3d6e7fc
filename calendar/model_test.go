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

// model is a plain model of the calendar, apart from its code: it hears the same commands, knows the true time, and says what
// may not have begun and what should have. It holds words of people and spans, and no stage of the calendar's.
type model struct {
	trueMs          float64
	entries         map[uint64]*modelEntry
	freezes         map[uint64]modelFreeze
	migrationOver   map[uint64]bool     // migrations, and whether they are over
	undoStacks      map[string][]uint64 // what was done to each unit and could be taken back, newest last
	approvalsNeeded map[Kind]int        // approvals, by kind
	budgets         map[Kind]int        // under way at once, by kind
}

type modelEntry struct {
	kind           Kind
	units          map[string]bool // what it is about, unit by unit
	from, to       float64
	durationMs     float64
	author         string
	approvers      map[string]bool // who approves it as it is now
	after          []uint64
	draft          bool
	emergency      bool
	starts         int
	waves          int
	wavesDone      int // waves
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

type modelObservation struct {
	passed bool
	atMs   float64
}

// complete tells whether its waves and its watch are over, and all was seen that it must show; by a margin, early or late.
func (e *modelEntry) complete(at, margin float64) bool {
	for _, n := range e.postconditions {
		if !e.observations[n].passed {
			return false
		}
	}
	return e.wavesDone == e.waves && at >= e.lastWaveMs+e.soakMs+margin
}

type modelFreeze struct {
	kinds []Kind
	units map[string]bool
	spans [][2]float64
}

const toleranceMs = 6000 // that the agreed time may differ from the true one: what clocks may differ by, and one that errs by as much as it may

// unitsOf lists what a subject is about.
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

func overlap(a, b map[string]bool) bool {
	for u := range a {
		if a[u] && b[u] {
			return true
		}
	}
	return false
}

// frozen tells whether an entry must not begin at a time; surely, or perhaps.
func (w *model) frozen(e *modelEntry, at float64) (surely, perhaps bool) {
	for _, f := range w.freezes {
		of := len(f.kinds) == 0
		for _, k := range f.kinds {
			of = of || k == e.kind
		}
		if !of || !overlap(f.units, e.units) || e.emergency {
			continue
		}
		for _, s := range f.spans {
			surely = surely || s[0]+toleranceMs <= at && at < s[1]-toleranceMs
			perhaps = perhaps || s[0]-toleranceMs <= at && at < s[1]+toleranceMs
		}
	}
	return surely, perhaps
}

// startViolation says why an entry may not have begun; empty where it may have.
func (w *model) startViolation(id uint64) string {
	e := w.entries[id]
	others := 0
	for other, o := range w.entries {
		if other == id {
			continue
		}
		if o.migration != 0 && o.migration != e.migration && o.starts > 0 && !w.migrationOver[o.migration] && !(o.finished && o.wavesDone < o.waves) && overlap(o.units, e.units) {
			return fmt.Sprintf("%d has part of it until its migration is over", other)
		}
		if o.inProgress {
			if overlap(o.units, e.units) {
				return fmt.Sprintf("%d has part of it", other)
			}
			if o.kind == e.kind {
				others++
			}
		}
	}
	surely, _ := w.frozen(e, w.trueMs)
	switch {
	case e.starts > 0:
		return "it has begun before"
	case e.migration != 0 && w.migrationOver[e.migration]:
		return "its migration is over"
	case e.finished || e.draft:
		return "it is over, or a draft"
	case len(e.approvers) < w.approvalsNeeded[e.kind]:
		return "not approved as it is"
	case surely:
		return "frozen"
	case w.trueMs < e.from-toleranceMs:
		return "early"
	case w.trueMs+e.durationMs > e.to+toleranceMs:
		return "no time left"
	case w.budgets[e.kind] > 0 && others >= w.budgets[e.kind]:
		return "beyond its budget"
	}
	for _, n := range e.preconditions {
		if v := e.observations[n]; !v.passed || w.trueMs-v.atMs > observationTTLMs+toleranceMs {
			return "nobody has looked"
		}
	}
	for _, a := range e.after {
		if o := w.entries[a]; !o.complete(w.trueMs, -toleranceMs) {
			return "before what it waits for"
		}
	}
	return ""
}

// mustBeStartable tells whether an entry must be startable now, by a margin.
func (w *model) mustBeStartable(id uint64) bool {
	e := w.entries[id]
	_, perhaps := w.frozen(e, w.trueMs)
	for _, a := range e.after {
		perhaps = perhaps || w.entries[a].halted || !w.entries[a].complete(w.trueMs, toleranceMs)
	}
	for _, n := range e.preconditions {
		perhaps = perhaps || w.trueMs-e.observations[n].atMs > observationTTLMs-toleranceMs
	}
	if e.migration != 0 && !w.migrationProceeds(e.migration) {
		return false
	}
	return !e.finished && !e.inProgress && !perhaps && w.startViolation(id) == "" && w.trueMs > e.from+toleranceMs && w.trueMs+e.durationMs < e.to-toleranceMs
}

// migrationProceeds tells whether a migration has no step that halts it.
func (w *model) migrationProceeds(move uint64) bool {
	for _, e := range w.entries {
		if e.migration == move && (e.finished && !e.complete(w.trueMs, -toleranceMs) || e.halted) {
			return false
		}
	}
	return !w.migrationOver[move]
}

// simulation is a calendar and its witness, before random commands.
type simulation struct {
	t            *rapid.T
	state        *State
	model        *model
	agreedMs     float64 // the leader's clock, which stands still while nobody leads
	clockErrorMs float64 // by which one clock errs
	defect       string  // fault that is planted
	violation    string  // what the witness found
}

func newSimulation(t *rapid.T, spoil string) *simulation {
	v := &simulation{t: t, state: New(), defect: spoil, agreedMs: 5000,
		model: &model{trueMs: noon, entries: map[uint64]*modelEntry{}, freezes: map[uint64]modelFreeze{}, migrationOver: map[uint64]bool{}, undoStacks: map[string][]uint64{}, approvalsNeeded: map[Kind]int{}, budgets: map[Kind]int{}}}
	v.state.See(testZones{})
	v.reportClocks()
	return v
}

func (v *simulation) apply(c any) (uint64, error) { return v.state.Do(v.agreedMs, c) }

func (v *simulation) fail(bad string, args ...any) {
	if v.violation == "" {
		v.violation = fmt.Sprintf(bad, args...)
	}
}

// reportClocks has coordinators tell their reportClocks; one of the three errs by any amount.
func (v *simulation) reportClocks() {
	for i := range 3 {
		at := v.model.trueMs + float64(rapid.IntRange(-1000, 1000).Draw(v.t, "error"))
		if i == 1 {
			at += v.clockErrorMs
		}
		if _, err := v.apply(Clock{fmt.Sprint("c", i), max(0, at), 3}); err != nil {
			v.t.Fatal(err)
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

func (v *simulation) randomChange() Change {
	from := v.model.trueMs + float64(rapid.IntRange(-30, 90).Draw(v.t, "from"))*minute
	c := Change{Name: "x", Kind: rapid.SampledFrom(testKinds).Draw(v.t, "kind"), Subject: rapid.SampledFrom(subjects).Draw(v.t, "subject"),
		Window: Span{from, from + float64(rapid.IntRange(1, 120).Draw(v.t, "minutes"))*minute}, LateMs: float64(rapid.SampledFrom([]int{0, 0, 30, 120}).Draw(v.t, "late")) * minute,
		Waves: rapid.IntRange(1, 3).Draw(v.t, "waves"), WaveMs: float64(rapid.IntRange(0, 20).Draw(v.t, "wave")) * minute, Do: json.RawMessage(`1`),
		SoakMs: float64(rapid.SampledFrom([]int{0, 0, 0, 5}).Draw(v.t, "soak")) * minute}
	switch rapid.IntRange(0, 9).Draw(v.t, "sights") {
	case 0:
		c.Preconditions = []string{"calm"}
	case 1:
		c.Postconditions = []string{"well"}
	}
	if rapid.Bool().Draw(v.t, "back") {
		c.Rollback = json.RawMessage(`2`)
	}
	for id := range v.state.NextID {
		if v.model.entries[id] != nil && rapid.IntRange(0, 7).Draw(v.t, "after") == 0 {
			c.After = append(c.After, id)
		}
	}
	return c
}

// replacementFor is another change in an entry's place.
func (v *simulation) replacementFor(id uint64) Change {
	c := v.randomChange()
	if e := v.state.Entries[id]; e.Migration != 0 {
		c.After, c.Rollback = e.After, json.RawMessage(`2`)
	}
	return c
}

// planMigration enters one of some steps, whose windows follow each other.
func (v *simulation) planMigration() {
	var steps []Change
	for range rapid.IntRange(1, 3).Draw(v.t, "steps") {
		c := v.randomChange()
		c.After, c.Rollback, c.LateMs = nil, json.RawMessage(`2`), 300*minute
		steps = append(steps, c)
	}
	id, err := v.apply(Migrate{"m", steps, "ana"})
	if err != nil {
		return
	}
	v.model.migrationOver[id] = false
	for i, step := range v.state.Migrations[id].Steps {
		c := steps[i]
		c.After = v.state.Entries[step].After
		v.recordEntry(step, c, "ana", false)
	}
}

func (v *simulation) revert(id uint64) error {
	_, err := v.apply(Revert{id, "ana", "enough"})
	if err == nil && v.defect == "the way back is in the wrong order" {
		slices.Reverse(v.state.Migrations[id].Steps)
	}
	return err
}

// recordRollback takes an entry off what it was done to; it must be the newest there.
func (v *simulation) recordRollback(id uint64) {
	for u, stack := range v.model.undoStacks {
		switch at := slices.Index(stack, id); {
		case at < 0:
		case at < len(stack)-1:
			v.fail("%d was taken back under %v", id, stack[at+1:])
		default:
			v.model.undoStacks[u] = stack[:at]
		}
	}
}

// dropFromUndoStacks says that what an entry did stays.
func (v *simulation) dropFromUndoStacks(id uint64) {
	for u, stack := range v.model.undoStacks {
		v.model.undoStacks[u] = slices.DeleteFunc(slices.Clone(stack), func(i uint64) bool { return i == id })
	}
}

func (v *simulation) recordEntry(id uint64, c Change, who string, draft bool) {
	v.model.entries[id] = &modelEntry{kind: c.Kind, units: unitsOf(c.Subject), from: c.Window.FromMs, to: c.Window.ToMs + c.LateMs, durationMs: float64(c.Waves)*c.WaveMs + c.SoakMs,
		soakMs: c.SoakMs, preconditions: c.Preconditions, postconditions: c.Postconditions, observations: map[string]modelObservation{}, migration: v.state.Entries[id].Migration,
		author: who, approvers: map[string]bool{}, after: c.After, draft: draft, waves: c.Waves}
}

func (v *simulation) randomEntry() (uint64, *modelEntry) {
	id := uint64(rapid.IntRange(1, int(v.state.NextID)).Draw(v.t, "id"))
	return id, v.model.entries[id]
}

// step is one random command.
func (v *simulation) step() {
	switch rapid.IntRange(0, 22).Draw(v.t, "step") {
	case 18:
		v.planMigration()
	case 19:
		for _, id := range slices.Sorted(maps.Keys(v.model.migrationOver)) {
			if rapid.IntRange(0, 2).Draw(v.t, "revert") == 0 {
				v.revert(id)
			}
		}
	case 20, 21:
		for _, id := range slices.Sorted(maps.Keys(v.model.entries)) {
			e := v.model.entries[id]
			for _, n := range slices.Concat(e.preconditions, e.postconditions) {
				well := rapid.IntRange(0, 3).Draw(v.t, "well") > 0
				if _, err := v.apply(Observe{ID: id, What: n, Well: well, Says: ""}); err == nil {
					e.observations[n] = modelObservation{well, v.model.trueMs}
				}
			}
		}
	case 22:
		id, e := v.randomEntry()
		if e != nil {
			v.apply(Halt{id, "ana", "wait"})
		}
	case 0, 1, 2:
		c, who, draft := v.randomChange(), rapid.SampledFrom(people).Draw(v.t, "who"), rapid.IntRange(0, 5).Draw(v.t, "draft") == 0
		if id, err := v.apply(Plan{c, who, draft}); err == nil {
			v.recordEntry(id, c, who, draft)
		}
	case 3, 16:
		id, e := v.randomEntry()
		if e == nil {
			return
		}
		c, who, rev := v.replacementFor(id), rapid.SampledFrom(people).Draw(v.t, "who"), v.state.Entries[id].Revision+uint64(rapid.IntRange(0, 1).Draw(v.t, "stale"))
		if _, err := v.apply(Edit{id, rev, c, who, false}); err == nil {
			urgent := e.emergency
			if v.defect == "approvals outlive edits" {
				for who := range e.approvers {
					v.state.Entries[id].Approvals = append(v.state.Entries[id].Approvals, Approval{who, "", v.state.Entries[id].Digest(), v.state.WallMs})
				}
			}
			v.recordEntry(id, c, who, false)
			v.model.entries[id].emergency = urgent
		}
	case 4, 5, 6, 17:
		id, e := v.randomEntry()
		if e == nil {
			return
		}
		who := rapid.SampledFrom(people).Draw(v.t, "who")
		if _, err := v.apply(Approve{id, v.state.Entries[id].Digest(), who, ""}); err == nil {
			if who == e.author {
				v.fail("%s approved their own %d", who, id)
			}
			e.approvers[who] = true
		}
	case 7:
		id, e := v.randomEntry()
		if e == nil {
			return
		}
		if _, err := v.apply(Refuse{id, v.state.Entries[id].Digest(), "dan", "no"}); err == nil {
			e.approvers, e.draft = map[string]bool{}, true
		}
	case 8:
		id, e := v.randomEntry()
		if e == nil {
			return
		}
		if _, err := v.apply(DeclareEmergency{id, Emergency{"ana", "bea", "fire"}}); err == nil {
			e.emergency = true
		}
	case 9:
		f := Freeze{Name: "f", Subject: rapid.SampledFrom(subjects).Draw(v.t, "subject"), Sends: rapid.SampledFrom([]string{FinishesWave, SendsBack}).Draw(v.t, "sends"), Who: "ana", Why: "y"}
		if rapid.Bool().Draw(v.t, "one kind") {
			f.Kinds = []Kind{rapid.SampledFrom(testKinds).Draw(v.t, "kind")}
		}
		at := v.model.trueMs
		known := modelFreeze{f.Kinds, unitsOf(f.Subject), nil}
		for range rapid.IntRange(1, 3).Draw(v.t, "spans") {
			at += float64(rapid.IntRange(0, 40).Draw(v.t, "gap")) * minute
			end := at + float64(rapid.IntRange(1, 60).Draw(v.t, "lasts"))*minute
			f.Spans, known.spans = append(f.Spans, Span{at, end}), append(known.spans, [2]float64{at, end})
			at = end
		}
		if id, err := v.apply(SetFreeze{0, 0, f}); err == nil {
			v.model.freezes[id] = known
			if v.defect == "a freeze is lost" {
				delete(v.state.Freezes, id)
			}
		} else {
			v.t.Fatal(err)
		}
	case 10:
		id, _ := v.randomEntry()
		if v.model.freezes[id].spans != nil {
			if _, err := v.apply(Thaw{id, 1, "ana", ""}); err == nil {
				delete(v.model.freezes, id)
			}
		}
	case 11:
		v.setRules()
	case 12:
		v.clockErrorMs = float64(rapid.SampledFrom([]int{0, 0, 4, 600, -600, 7200, -7200}).Draw(v.t, "wrong")) * sec
	case 13: // nobody leads for a while
		v.model.trueMs += float64(rapid.IntRange(1, 120).Draw(v.t, "down")) * minute
		if v.defect != "clocks of before count" {
			v.apply(LeaderChanged{})
		} else {
			v.settle()
		}
		v.reportClocks()
	default:
		ms := float64(rapid.IntRange(0, 60).Draw(v.t, "passes")) * minute / float64(rapid.SampledFrom([]int{1, 60}).Draw(v.t, "slow"))
		v.model.trueMs, v.agreedMs = v.model.trueMs+ms, v.agreedMs+ms
		v.reportClocks()
	}
}

// setRules sets how many must approve a release, and how many drains may be under way.
func (v *simulation) setRules() {
	v.model.approvalsNeeded[Release], v.model.budgets[Drain] = rapid.IntRange(0, 2).Draw(v.t, "count"), rapid.IntRange(0, 2).Draw(v.t, "most")
	var c SetRules
	if n := v.model.approvalsNeeded[Release]; n > 0 {
		c.Rules = []Rule{{Kinds: []Kind{Release}, Subject: Subject{Scope: Fleet}, Count: n}}
	}
	if n := v.model.budgets[Drain]; n > 0 && v.defect != "a budget is lost" {
		c.Budgets = []Budget{{Drain, n}}
	}
	if _, err := v.apply(c); err != nil {
		v.t.Fatal(err)
	}
}

// settle has whoever leads start what can be, and carries some of it on; the witness looks at each.
func (v *simulation) settle() {
	if v.defect == "it runs twice" {
		for _, e := range v.state.Entries {
			if e.Stage == Done {
				e.Stage = Due
			}
		}
	}
	ids := slices.Sorted(maps.Keys(v.model.entries))
	for _, id := range ids { // what ended by itself
		e := v.model.entries[id]
		e.halted = v.state.Entries[id].Stage == Halted || v.state.Entries[id].Stage == RollingBack
		switch at := v.state.Entries[id].Stage; at {
		case Missed:
			if !e.finished && !e.inProgress && v.model.mustBeStartable(id) {
				v.fail("%d was missed though it could begin", id)
			}
			e.finished = true
		case Done:
			if e.inProgress && !e.complete(v.model.trueMs, -toleranceMs) {
				v.fail("%d is done, and its waves, its watch or what it shows are not", id)
			}
			if e.inProgress && e.migration == 0 {
				v.dropFromUndoStacks(id)
			}
			e.inProgress, e.finished = false, true
		case Withdrawn:
			e.inProgress, e.finished = false, true
		case RollingBack: // also one that was done
			e.inProgress, e.finished, e.wavesDone = true, false, 0
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.model.migrationOver)) {
		m := v.state.Migrations[id]
		if m.Stage != Done && m.Stage != Withdrawn || v.model.migrationOver[id] {
			continue
		}
		v.model.migrationOver[id] = true
		for _, step := range m.Steps {
			if e := v.model.entries[step]; m.Stage == Done && (e.wavesDone < e.waves || e.starts == 0) {
				v.fail("migration %d is done, and its step %d is not", id, step)
			}
			for u, stack := range v.model.undoStacks {
				if m.Stage == Withdrawn && slices.Contains(stack, step) {
					v.fail("migration %d was taken back, and step %d is still done at %s", id, step, u)
				}
			}
			v.dropFromUndoStacks(step)
		}
	}
	for ids := v.state.Startable(); len(ids) > 0; ids = v.state.Startable() {
		id := ids[0]
		if says := v.model.startViolation(id); says != "" {
			v.fail("%d began: %s", id, says)
			return
		}
		if _, err := v.apply(Start{id}); err != nil {
			v.t.Fatal(err)
		}
		e := v.model.entries[id]
		e.starts++
		e.inProgress = true
		for u, is := range e.units {
			if is {
				v.model.undoStacks[u] = append(v.model.undoStacks[u], id)
			}
		}
	}
	for _, id := range ids {
		if v.model.mustBeStartable(id) {
			v.fail("%d could begin and doesn't: %v", id, v.state.InTheWay(v.state.Entries[id]))
		}
	}
	for _, id := range ids { // one that runs goes on or back
		e, at := v.model.entries[id], v.state.Entries[id]
		if !e.inProgress || rapid.IntRange(0, 2).Draw(v.t, "goes on") > 0 {
			continue
		}
		switch at.Stage {
		case Running:
			if e.wavesDone == e.waves { // it is watched
				break
			}
			e.wavesDone++
			if e.lastWaveMs = v.model.trueMs; e.wavesDone == e.waves {
				for _, n := range e.postconditions { // what was seen before its last wave is no word on it
					delete(e.observations, n)
				}
			}
			if _, err := v.apply(WaveDone{ID: id, Wave: e.wavesDone}); err != nil {
				v.fail("%d: wave %d: %v", id, e.wavesDone, err)
			}
		case Halted:
			var err error
			switch {
			case at.WasRollingBack:
				_, err = v.apply(Resume{id, "ana"})
			case at.Migration != 0 && v.state.Migrations[at.Migration].Stage != RollingBack:
				err = v.revert(at.Migration)
			case at.Migration == 0 && len(at.Rollback) > 0:
				_, err = v.apply(RollBack{id, "ana", "enough"})
			default: // nothing else ends it
				v.apply(Resume{id, "ana"})
			}
			if err != nil {
				v.fail("%d is halted without a way back: %v", id, err)
			}
		case RollingBack:
			if _, err := v.apply(RolledBack{ID: id}); err != nil {
				v.fail("%d: %v", id, err)
			}
			v.recordRollback(id)
			e.inProgress, e.finished, e.wavesDone = false, true, 0
		}
		if at.Starts > 1 {
			v.fail("%d started %d times", id, at.Starts)
		}
	}
}

func (v *simulation) run() string {
	v.setRules()
	for range rapid.IntRange(10, 60).Draw(v.t, "commands") {
		v.step()
		v.settle()
		if v.violation != "" {
			return v.violation
		}
	}
	return ""
}

func TestModelRandomCommandsAndClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := newSimulation(t, "").run(); found != "" {
			t.Fatal(found)
		}
	})
}

// The witness finds what is planted.
func TestModelFindsPlantedDefects(t *testing.T) {
	for _, spoil := range []string{"approvals outlive edits", "the way back is in the wrong order", "a freeze is lost", "a budget is lost", "it runs twice", "clocks of before count"} {
		t.Run(spoil, func(t *testing.T) {
			days := rapid.Custom(func(t *rapid.T) string { return newSimulation(t, spoil).run() })
			for seed := 1; ; seed++ {
				require.Less(t, seed, 5000, "never found")
				if says := days.Example(seed); says != "" {
					t.Logf("found on run %d: %s", seed, says)
					return
				}
			}
		})
	}
}

// Free time against a search of every hour.
func TestFreeTimeAgainstExhaustiveSearch(t *testing.T) {
	const hours = 48
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.See(testZones{})
		s.Size, s.WallMs, s.Doubt = 1, noon, ""
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
		free := func(h int) bool { // by each thing apart, at the middle of the hour
			at, of := noon+(float64(h)+0.5)*hour, 0
			in := func(p Span) bool { return p.FromMs <= at && at < p.ToMs }
			for _, e := range s.Entries {
				if e.Stage == Waiting || e.Stage == Approved || e.Stage == Due {
					if in(e.Window) && overlap(unitsOf(e.Subject), unitsOf(c.Subject)) {
						return false
					}
					if in(e.Window) && e.Kind == c.Kind && c.Kind == Drain {
						of++
					}
				}
			}
			for _, f := range s.Freezes {
				if in(f.Spans[0]) && overlap(unitsOf(f.Subject), unitsOf(c.Subject)) {
					return false
				}
			}
			return most == 0 || of < most
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
		if len(want) == 0 || want[len(want)-1].ToMs < noon+horizonMs { // all is free past what is searched
			want = append(want, Span{noon + hours*hour, noon + horizonMs})
		}
		got := s.Next(c, 0, math.MaxInt)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("%v, by search %v", got, want)
		}
	})
}

// Ten thousand entries, a hundred of which are under way or due: what a command and a question take.
func BenchmarkTenThousandEntries(b *testing.B) {
	s := New()
	s.See(testZones{})
	s.Do(0, SetRules{Who: "boss", Rules: []Rule{{Subject: Subject{Scope: Fleet}, Count: 1}}, Budgets: []Budget{{Drain, 3}}})
	s.Do(0, Clock{"c0", noon, 1})
	for i := range 10000 {
		c := testChange(float64(i)*2*hour*0.9, float64(i)*2*hour*0.9+hour)
		c.Subject = subjects[i%len(subjects)]
		c.Window = Span{noon + float64(i%4000)*hour, noon + float64(i%4000)*hour + hour}
		id, err := s.Do(0, Plan{Change: c, Who: "ana"})
		require.NoError(b, err)
		if i%2 == 0 {
			_, err = s.Do(0, Approve{id, c.Digest(), "bea", ""})
			require.NoError(b, err)
		}
	}
	for i := range 20 {
		f := testFreeze(0, hour, SendsBack)
		f.When = Recurrence{Begin: fmt.Sprintf("2024-10-%02dT02:00", i+1), Minutes: 60, Every: "FREQ=WEEKLY", In: "UTC"}
		f.Subject = subjects[i%len(subjects)]
		require.NoError(b, f.Ahead(time.UTC, noon))
		s.Do(0, SetFreeze{0, 0, f})
	}
	c := testChange(0, hour)
	now := 0.0
	b.Run("command", func(b *testing.B) {
		for b.Loop() {
			now += 1
			s.Do(now, Clock{"c0", noon + now, 1})
		}
	})
	b.Run("startable", func(b *testing.B) {
		for b.Loop() {
			s.Startable()
		}
	})
	b.Run("next", func(b *testing.B) {
		for b.Loop() {
			s.Next(&c, 0, 5)
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
