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

// witness is a plain model of the calendar, apart from its code: it hears the same commands, knows the true time, and says what
// may not have begun and what should have. It holds words of people and spans, and no stage of the calendar's.
type witness struct {
	trueMs  float64
	entries map[uint64]*seen
	freezes map[uint64]frozenTime
	moves   map[uint64]bool     // migrations, and whether they are over
	stacks  map[string][]uint64 // what was done to each unit and could be taken back, newest last
	needed  map[Kind]int        // approvals, by kind
	most    map[Kind]int        // under way at once, by kind
}

type seen struct {
	kind     Kind
	parts    map[string]bool // what it is about, unit by unit
	from, to float64
	takes    float64
	author   string
	yes      map[string]bool // who approves it as it is now
	after    []uint64
	draft    bool
	urgent   bool
	began    int
	waves    int
	did      int // waves
	wavedMs  float64
	soakMs   float64
	wants    []string
	shows    []string
	sights   map[string]sight
	over     bool // done, withdrawn or missed
	move     uint64
	halted   bool
	under    bool
}

type sight struct {
	well bool
	at   float64
}

// done tells whether its waves and its watch are over, and all was seen that it must show; by a margin, early or late.
func (e *seen) done(at, margin float64) bool {
	for _, n := range e.shows {
		if !e.sights[n].well {
			return false
		}
	}
	return e.did == e.waves && at >= e.wavedMs+e.soakMs+margin
}

type frozenTime struct {
	kinds []Kind
	parts map[string]bool
	spans [][2]float64
}

const slackMs = 6000 // that the agreed time may differ from the true one: what clocks may differ by, and one that errs by as much as it may

// parts lists what a subject is about.
func parts(b Subject) map[string]bool {
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

func common(a, b map[string]bool) bool {
	for u := range a {
		if a[u] && b[u] {
			return true
		}
	}
	return false
}

// frozen tells whether an entry must not begin at a time; surely, or perhaps.
func (w *witness) frozen(e *seen, at float64) (surely, perhaps bool) {
	for _, f := range w.freezes {
		of := len(f.kinds) == 0
		for _, k := range f.kinds {
			of = of || k == e.kind
		}
		if !of || !common(f.parts, e.parts) || e.urgent {
			continue
		}
		for _, s := range f.spans {
			surely = surely || s[0]+slackMs <= at && at < s[1]-slackMs
			perhaps = perhaps || s[0]-slackMs <= at && at < s[1]+slackMs
		}
	}
	return surely, perhaps
}

// wrong says why an entry may not have begun; empty where it may have.
func (w *witness) wrong(id uint64) string {
	e := w.entries[id]
	others := 0
	for other, o := range w.entries {
		if other == id {
			continue
		}
		if o.move != 0 && o.move != e.move && o.began > 0 && !w.moves[o.move] && !(o.over && o.did < o.waves) && common(o.parts, e.parts) {
			return fmt.Sprintf("%d has part of it until its migration is over", other)
		}
		if o.under {
			if common(o.parts, e.parts) {
				return fmt.Sprintf("%d has part of it", other)
			}
			if o.kind == e.kind {
				others++
			}
		}
	}
	surely, _ := w.frozen(e, w.trueMs)
	switch {
	case e.began > 0:
		return "it has begun before"
	case e.move != 0 && w.moves[e.move]:
		return "its migration is over"
	case e.over || e.draft:
		return "it is over, or a draft"
	case len(e.yes) < w.needed[e.kind]:
		return "not approved as it is"
	case surely:
		return "frozen"
	case w.trueMs < e.from-slackMs:
		return "early"
	case w.trueMs+e.takes > e.to+slackMs:
		return "no time left"
	case w.most[e.kind] > 0 && others >= w.most[e.kind]:
		return "beyond its budget"
	}
	for _, n := range e.wants {
		if v := e.sights[n]; !v.well || w.trueMs-v.at > sightFor+slackMs {
			return "nobody has looked"
		}
	}
	for _, a := range e.after {
		if o := w.entries[a]; !o.done(w.trueMs, -slackMs) {
			return "before what it waits for"
		}
	}
	return ""
}

// should tells whether an entry must be startable now, by a margin.
func (w *witness) should(id uint64) bool {
	e := w.entries[id]
	_, perhaps := w.frozen(e, w.trueMs)
	for _, a := range e.after {
		perhaps = perhaps || w.entries[a].halted || !w.entries[a].done(w.trueMs, slackMs)
	}
	for _, n := range e.wants {
		perhaps = perhaps || w.trueMs-e.sights[n].at > sightFor-slackMs
	}
	if e.move != 0 && !w.goesOn(e.move) {
		return false
	}
	return !e.over && !e.under && !perhaps && w.wrong(id) == "" && w.trueMs > e.from+slackMs && w.trueMs+e.takes < e.to-slackMs
}

// goesOn tells whether a migration has no step that halts it.
func (w *witness) goesOn(move uint64) bool {
	for _, e := range w.entries {
		if e.move == move && (e.over && !e.done(w.trueMs, -slackMs) || e.halted) {
			return false
		}
	}
	return !w.moves[move]
}

// world is a calendar and its witness, before random commands.
type world struct {
	t       *rapid.T
	s       *State
	w       *witness
	agreed  float64 // the leader's clock, which stands still while nobody leads
	wrongMs float64 // by which one clock errs
	spoil   string  // fault that is planted
	found   string  // what the witness found
}

func begun(t *rapid.T, spoil string) *world {
	v := &world{t: t, s: New(), spoil: spoil, agreed: 5000,
		w: &witness{trueMs: noon, entries: map[uint64]*seen{}, freezes: map[uint64]frozenTime{}, moves: map[uint64]bool{}, stacks: map[string][]uint64{}, needed: map[Kind]int{}, most: map[Kind]int{}}}
	v.s.SetZones(units{})
	v.clocks()
	return v
}

func (v *world) do(c any) (uint64, error) { return v.s.Apply(v.agreed, c) }

func (v *world) hold(bad string, args ...any) {
	if v.found == "" {
		v.found = fmt.Sprintf(bad, args...)
	}
}

// clocks has coordinators tell their clocks; one of the three errs by any amount.
func (v *world) clocks() {
	for i := range 3 {
		at := v.w.trueMs + float64(rapid.IntRange(-1000, 1000).Draw(v.t, "error"))
		if i == 1 {
			at += v.wrongMs
		}
		if _, err := v.do(ReportClock{fmt.Sprint("c", i), max(0, at), 3}); err != nil {
			v.t.Fatal(err)
		}
	}
}

var (
	people   = []string{"ana", "bea", "cem"}
	subjects = []Subject{{Scope: Fleet}, {Scope: Zone, Names: []string{"z0"}}, {Scope: Zone, Names: []string{"z1"}}, {Scope: Zone}, {Scope: Doors},
		{Scope: Doors, Names: []string{"d0"}}, {Scope: Doors, Names: []string{"d1", "d2"}}, {Scope: Doors, Names: []string{"d3"}},
		{Scope: Backends, Names: []string{"b0"}}, {Scope: Backends, Names: []string{"b2", "b3"}}, {Scope: Plans, Names: []string{"basic"}}, {Scope: Plans}}
	some = []Kind{Drain, Release, Terms}
)

func (v *world) change() Change {
	from := v.w.trueMs + float64(rapid.IntRange(-30, 90).Draw(v.t, "from"))*min1
	c := Change{Name: "x", Kind: rapid.SampledFrom(some).Draw(v.t, "kind"), Subject: rapid.SampledFrom(subjects).Draw(v.t, "subject"),
		Window: Span{from, from + float64(rapid.IntRange(1, 120).Draw(v.t, "minutes"))*min1}, LateMs: float64(rapid.SampledFrom([]int{0, 0, 30, 120}).Draw(v.t, "late")) * min1,
		Waves: rapid.IntRange(1, 3).Draw(v.t, "waves"), WaveMs: float64(rapid.IntRange(0, 20).Draw(v.t, "wave")) * min1, Do: json.RawMessage(`1`),
		SoakMs: float64(rapid.SampledFrom([]int{0, 0, 0, 5}).Draw(v.t, "soak")) * min1}
	switch rapid.IntRange(0, 9).Draw(v.t, "sights") {
	case 0:
		c.Preconditions = []string{"calm"}
	case 1:
		c.Postconditions = []string{"well"}
	}
	if rapid.Bool().Draw(v.t, "back") {
		c.Rollback = json.RawMessage(`2`)
	}
	for id := range v.s.NextID {
		if v.w.entries[id] != nil && rapid.IntRange(0, 7).Draw(v.t, "after") == 0 {
			c.After = append(c.After, id)
		}
	}
	return c
}

// changeOf is another change in an entry's place.
func (v *world) changeOf(id uint64) Change {
	c := v.change()
	if e := v.s.Entries[id]; e.Migration != 0 {
		c.After, c.Rollback = e.After, json.RawMessage(`2`)
	}
	return c
}

// migration enters one of some steps, whose windows follow each other.
func (v *world) migration() {
	var steps []Change
	for range rapid.IntRange(1, 3).Draw(v.t, "steps") {
		c := v.change()
		c.After, c.Rollback, c.LateMs = nil, json.RawMessage(`2`), 300*min1
		steps = append(steps, c)
	}
	id, err := v.do(Migrate{"m", steps, "ana"})
	if err != nil {
		return
	}
	v.w.moves[id] = false
	for i, step := range v.s.Migrations[id].Steps {
		c := steps[i]
		c.After = v.s.Entries[step].After
		v.saw(step, c, "ana", false)
	}
}

func (v *world) revert(id uint64) error {
	_, err := v.do(RevertMigration{id, "ana", "enough"})
	if err == nil && v.spoil == "the way back is in the wrong order" {
		slices.Reverse(v.s.Migrations[id].Steps)
	}
	return err
}

// undone takes an entry off what it was done to; it must be the newest there.
func (v *world) undone(id uint64) {
	for u, stack := range v.w.stacks {
		switch at := slices.Index(stack, id); {
		case at < 0:
		case at < len(stack)-1:
			v.hold("%d was taken back under %v", id, stack[at+1:])
		default:
			v.w.stacks[u] = stack[:at]
		}
	}
}

// settled says that what an entry did stays.
func (v *world) settled(id uint64) {
	for u, stack := range v.w.stacks {
		v.w.stacks[u] = slices.DeleteFunc(slices.Clone(stack), func(i uint64) bool { return i == id })
	}
}

func (v *world) saw(id uint64, c Change, who string, draft bool) {
	v.w.entries[id] = &seen{kind: c.Kind, parts: parts(c.Subject), from: c.Window.FromMs, to: c.Window.ToMs + c.LateMs, takes: float64(c.Waves)*c.WaveMs + c.SoakMs,
		soakMs: c.SoakMs, wants: c.Preconditions, shows: c.Postconditions, sights: map[string]sight{}, move: v.s.Entries[id].Migration,
		author: who, yes: map[string]bool{}, after: c.After, draft: draft, waves: c.Waves}
}

func (v *world) pick() (uint64, *seen) {
	id := uint64(rapid.IntRange(1, int(v.s.NextID)).Draw(v.t, "id"))
	return id, v.w.entries[id]
}

// step is one random command.
func (v *world) step() {
	switch rapid.IntRange(0, 22).Draw(v.t, "step") {
	case 18:
		v.migration()
	case 19:
		for _, id := range slices.Sorted(maps.Keys(v.w.moves)) {
			if rapid.IntRange(0, 2).Draw(v.t, "revert") == 0 {
				v.revert(id)
			}
		}
	case 20, 21:
		for _, id := range slices.Sorted(maps.Keys(v.w.entries)) {
			e := v.w.entries[id]
			for _, n := range slices.Concat(e.wants, e.shows) {
				well := rapid.IntRange(0, 3).Draw(v.t, "well") > 0
				if _, err := v.do(Observe{ID: id, What: n, Passed: well, Detail: ""}); err == nil {
					e.sights[n] = sight{well, v.w.trueMs}
				}
			}
		}
	case 22:
		id, e := v.pick()
		if e != nil {
			v.do(Halt{id, "ana", "wait"})
		}
	case 0, 1, 2:
		c, who, draft := v.change(), rapid.SampledFrom(people).Draw(v.t, "who"), rapid.IntRange(0, 5).Draw(v.t, "draft") == 0
		if id, err := v.do(Plan{c, who, draft}); err == nil {
			v.saw(id, c, who, draft)
		}
	case 3, 16:
		id, e := v.pick()
		if e == nil {
			return
		}
		c, who, rev := v.changeOf(id), rapid.SampledFrom(people).Draw(v.t, "who"), v.s.Entries[id].Revision+uint64(rapid.IntRange(0, 1).Draw(v.t, "stale"))
		if _, err := v.do(Edit{id, rev, c, who, false}); err == nil {
			urgent := e.urgent
			if v.spoil == "approvals outlive edits" {
				for who := range e.yes {
					v.s.Entries[id].Approvals = append(v.s.Entries[id].Approvals, Approval{who, "", v.s.Entries[id].Digest(), v.s.WallMs})
				}
			}
			v.saw(id, c, who, false)
			v.w.entries[id].urgent = urgent
		}
	case 4, 5, 6, 17:
		id, e := v.pick()
		if e == nil {
			return
		}
		who := rapid.SampledFrom(people).Draw(v.t, "who")
		if _, err := v.do(Approve{id, v.s.Entries[id].Digest(), who, ""}); err == nil {
			if who == e.author {
				v.hold("%s approved their own %d", who, id)
			}
			e.yes[who] = true
		}
	case 7:
		id, e := v.pick()
		if e == nil {
			return
		}
		if _, err := v.do(Refuse{id, v.s.Entries[id].Digest(), "dan", "no"}); err == nil {
			e.yes, e.draft = map[string]bool{}, true
		}
	case 8:
		id, e := v.pick()
		if e == nil {
			return
		}
		if _, err := v.do(DeclareEmergency{id, Emergency{"ana", "bea", "fire"}}); err == nil {
			e.urgent = true
		}
	case 9:
		f := Freeze{Name: "f", Subject: rapid.SampledFrom(subjects).Draw(v.t, "subject"), RunningPolicy: rapid.SampledFrom([]string{HaltAfterWave, RollBackAtOnce}).Draw(v.t, "sends"), Who: "ana", Why: "y"}
		if rapid.Bool().Draw(v.t, "one kind") {
			f.Kinds = []Kind{rapid.SampledFrom(some).Draw(v.t, "kind")}
		}
		at := v.w.trueMs
		known := frozenTime{f.Kinds, parts(f.Subject), nil}
		for range rapid.IntRange(1, 3).Draw(v.t, "spans") {
			at += float64(rapid.IntRange(0, 40).Draw(v.t, "gap")) * min1
			end := at + float64(rapid.IntRange(1, 60).Draw(v.t, "lasts"))*min1
			f.Spans, known.spans = append(f.Spans, Span{at, end}), append(known.spans, [2]float64{at, end})
			at = end
		}
		if id, err := v.do(SetFreeze{0, 0, f}); err == nil {
			v.w.freezes[id] = known
			if v.spoil == "a freeze is lost" {
				delete(v.s.Freezes, id)
			}
		} else {
			v.t.Fatal(err)
		}
	case 10:
		id, _ := v.pick()
		if v.w.freezes[id].spans != nil {
			if _, err := v.do(Thaw{id, 1, "ana", ""}); err == nil {
				delete(v.w.freezes, id)
			}
		}
	case 11:
		v.rules()
	case 12:
		v.wrongMs = float64(rapid.SampledFrom([]int{0, 0, 4, 600, -600, 7200, -7200}).Draw(v.t, "wrong")) * sec
	case 13: // nobody leads for a while
		v.w.trueMs += float64(rapid.IntRange(1, 120).Draw(v.t, "down")) * min1
		if v.spoil != "clocks of before count" {
			v.do(LeaderChanged{})
		} else {
			v.settle()
		}
		v.clocks()
	default:
		ms := float64(rapid.IntRange(0, 60).Draw(v.t, "passes")) * min1 / float64(rapid.SampledFrom([]int{1, 60}).Draw(v.t, "slow"))
		v.w.trueMs, v.agreed = v.w.trueMs+ms, v.agreed+ms
		v.clocks()
	}
}

// rules sets how many must approve a release, and how many drains may be under way.
func (v *world) rules() {
	v.w.needed[Release], v.w.most[Drain] = rapid.IntRange(0, 2).Draw(v.t, "count"), rapid.IntRange(0, 2).Draw(v.t, "most")
	var c SetRules
	if n := v.w.needed[Release]; n > 0 {
		c.Rules = []Rule{{Kinds: []Kind{Release}, Subject: Subject{Scope: Fleet}, Count: n}}
	}
	if n := v.w.most[Drain]; n > 0 && v.spoil != "a budget is lost" {
		c.Budgets = []Budget{{Drain, n}}
	}
	if _, err := v.do(c); err != nil {
		v.t.Fatal(err)
	}
}

// settle has whoever leads start what can be, and carries some of it on; the witness looks at each.
func (v *world) settle() {
	if v.spoil == "it runs twice" {
		for _, e := range v.s.Entries {
			if e.Stage == Done {
				e.Stage = Due
			}
		}
	}
	ids := slices.Sorted(maps.Keys(v.w.entries))
	for _, id := range ids { // what ended by itself
		e := v.w.entries[id]
		e.halted = v.s.Entries[id].Stage == Halted || v.s.Entries[id].Stage == RollingBack
		switch at := v.s.Entries[id].Stage; at {
		case Missed:
			if !e.over && !e.under && v.w.should(id) {
				v.hold("%d was missed though it could begin", id)
			}
			e.over = true
		case Done:
			if e.under && !e.done(v.w.trueMs, -slackMs) {
				v.hold("%d is done, and its waves, its watch or what it shows are not", id)
			}
			if e.under && e.move == 0 {
				v.settled(id)
			}
			e.under, e.over = false, true
		case Withdrawn:
			e.under, e.over = false, true
		case RollingBack: // also one that was done
			e.under, e.over, e.did = true, false, 0
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.w.moves)) {
		m := v.s.Migrations[id]
		if m.Stage != Done && m.Stage != Withdrawn || v.w.moves[id] {
			continue
		}
		v.w.moves[id] = true
		for _, step := range m.Steps {
			if e := v.w.entries[step]; m.Stage == Done && (e.did < e.waves || e.began == 0) {
				v.hold("migration %d is done, and its step %d is not", id, step)
			}
			for u, stack := range v.w.stacks {
				if m.Stage == Withdrawn && slices.Contains(stack, step) {
					v.hold("migration %d was taken back, and step %d is still done at %s", id, step, u)
				}
			}
			v.settled(step)
		}
	}
	for ids := v.s.Startable(); len(ids) > 0; ids = v.s.Startable() {
		id := ids[0]
		if says := v.w.wrong(id); says != "" {
			v.hold("%d began: %s", id, says)
			return
		}
		if _, err := v.do(Start{id}); err != nil {
			v.t.Fatal(err)
		}
		e := v.w.entries[id]
		e.began++
		e.under = true
		for u, is := range e.parts {
			if is {
				v.w.stacks[u] = append(v.w.stacks[u], id)
			}
		}
	}
	for _, id := range ids {
		if v.w.should(id) {
			v.hold("%d could begin and doesn't: %v", id, v.s.CheckStart(v.s.Entries[id]))
		}
	}
	for _, id := range ids { // one that runs goes on or back
		e, at := v.w.entries[id], v.s.Entries[id]
		if !e.under || rapid.IntRange(0, 2).Draw(v.t, "goes on") > 0 {
			continue
		}
		switch at.Stage {
		case Running:
			if e.did == e.waves { // it is watched
				break
			}
			e.did++
			if e.wavedMs = v.w.trueMs; e.did == e.waves {
				for _, n := range e.shows { // what was seen before its last wave is no word on it
					delete(e.sights, n)
				}
			}
			if _, err := v.do(WaveDone{ID: id, Wave: e.did}); err != nil {
				v.hold("%d: wave %d: %v", id, e.did, err)
			}
		case Halted:
			var err error
			switch {
			case at.WasRollingBack:
				_, err = v.do(Resume{id, "ana"})
			case at.Migration != 0 && v.s.Migrations[at.Migration].Stage != RollingBack:
				err = v.revert(at.Migration)
			case at.Migration == 0 && len(at.Rollback) > 0:
				_, err = v.do(RollBack{id, "ana", "enough"})
			default: // nothing else ends it
				v.do(Resume{id, "ana"})
			}
			if err != nil {
				v.hold("%d is halted without a way back: %v", id, err)
			}
		case RollingBack:
			if _, err := v.do(RolledBack{ID: id}); err != nil {
				v.hold("%d: %v", id, err)
			}
			v.undone(id)
			e.under, e.over, e.did = false, true, 0
		}
		if at.Starts > 1 {
			v.hold("%d started %d times", id, at.Starts)
		}
	}
}

func (v *world) run() string {
	v.rules()
	for range rapid.IntRange(10, 60).Draw(v.t, "commands") {
		v.step()
		v.settle()
		if v.found != "" {
			return v.found
		}
	}
	return ""
}

func TestModelRandomCommandsAndClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := begun(t, "").run(); found != "" {
			t.Fatal(found)
		}
	})
}

// The witness finds what is planted.
func TestModelFindsPlantedFaults(t *testing.T) {
	for _, spoil := range []string{"approvals outlive edits", "the way back is in the wrong order", "a freeze is lost", "a budget is lost", "it runs twice", "clocks of before count"} {
		t.Run(spoil, func(t *testing.T) {
			days := rapid.Custom(func(t *rapid.T) string { return begun(t, spoil).run() })
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
func TestNextAgainstAnExhaustiveSearch(t *testing.T) {
	const hours = 48
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.SetZones(units{})
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
				Change: Change{Kind: rapid.SampledFrom(some).Draw(t, "kind"), Subject: rapid.SampledFrom(subjects).Draw(t, "subject"), Window: span(), Waves: 1}}
		}
		for id := range uint64(rapid.IntRange(0, 3).Draw(t, "freezes")) {
			s.Freezes[id+100] = &Freeze{ID: id + 100, Subject: rapid.SampledFrom(subjects).Draw(t, "subject"), Spans: []Span{span()}}
		}
		takes := rapid.IntRange(1, 5).Draw(t, "takes")
		c := &Change{Kind: rapid.SampledFrom(some).Draw(t, "kind"), Subject: rapid.SampledFrom(subjects).Draw(t, "subject"), Waves: takes, WaveMs: hour}
		free := func(h int) bool { // by each thing apart, at the middle of the hour
			at, of := noon+(float64(h)+0.5)*hour, 0
			in := func(p Span) bool { return p.FromMs <= at && at < p.ToMs }
			for _, e := range s.Entries {
				if e.Stage == Waiting || e.Stage == Approved || e.Stage == Due {
					if in(e.Window) && common(parts(e.Subject), parts(c.Subject)) {
						return false
					}
					if in(e.Window) && e.Kind == c.Kind && c.Kind == Drain {
						of++
					}
				}
			}
			for _, f := range s.Freezes {
				if in(f.Spans[0]) && common(parts(f.Subject), parts(c.Subject)) {
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
				want = append(want, Span{noon + float64(h)*hour, noon + longestFor})
			} else if end-h >= takes {
				want = append(want, Span{noon + float64(h)*hour, noon + float64(end)*hour})
			}
			h = end
		}
		if len(want) == 0 || want[len(want)-1].ToMs < noon+longestFor { // all is free past what is searched
			want = append(want, Span{noon + hours*hour, noon + longestFor})
		}
		got := s.FindFree(c, 0, math.MaxInt)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("%v, by search %v", got, want)
		}
	})
}

// Ten thousand entries, a hundred of which are under way or due: what a command and a question take.
func BenchmarkTenThousandEntries(b *testing.B) {
	s := New()
	s.SetZones(units{})
	s.Apply(0, SetRules{Who: "boss", Rules: []Rule{{Subject: Subject{Scope: Fleet}, Count: 1}}, Budgets: []Budget{{Drain, 3}}})
	s.Apply(0, ReportClock{"c0", noon, 1})
	for i := range 10000 {
		c := change(float64(i)*2*hour*0.9, float64(i)*2*hour*0.9+hour)
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
		f := freeze(0, hour, RollBackAtOnce)
		f.When = Recurrence{Begin: fmt.Sprintf("2024-10-%02dT02:00", i+1), Minutes: 60, RRule: "FREQ=WEEKLY", TimeZone: "UTC"}
		f.Subject = subjects[i%len(subjects)]
		require.NoError(b, f.ExpandSpans(time.UTC, noon))
		s.Apply(0, SetFreeze{0, 0, f})
	}
	c := change(0, hour)
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
