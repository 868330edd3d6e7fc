package permits

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/release"
)

// The change calendar's entries and what they do: an entry begins in one command with its drain or release, and what becomes of
// that moves the entry, and the other way round, within the command that makes it so. A leader lost in between leaves nothing half.

// Action is what an entry does, as its keys "do" and "rollback" have it: one of its parts.
type Action struct {
	Drain   *DrainAction  `json:"drain,omitempty"`
	Release *release.Plan `json:"release,omitempty"`
	Manual  string        `json:"manual,omitempty"` // what people do, who say when it is done
	Undo    bool          `json:"undo,omitempty"`   // of a rollback: what a drain or a release did is undone
}

// DrainAction takes a unit out. With a time it comes back by itself once that has passed, by agreed time.
type DrainAction struct {
	Kind Kind    `json:"kind"`
	Name string  `json:"name"`
	ForS float64 `json:"for_s,omitempty"` // from the entry's start; 0 for until it is undrained
}

// Run is what an entry has under way.
type Run struct {
	Release uint64         `json:",omitempty"` // number
	Permits []uint64       `json:",omitempty"` // of its drain
	AtMs    float64        // agreed time of its start
	Was     calendar.Stage // of the entry, when it was last followed
}

// ZoneOf tells the calendar where units stand.
func (s *State) ZoneOf(scope calendar.Scope, name string) (zone string, known bool) {
	u := s.Units[key(map[calendar.Scope]Kind{calendar.Doors: Door, calendar.Backends: Backend}[scope], name)]
	if u == nil {
		return "", false
	}
	return u.Zone, true
}

// subject is what an action touches; nothing for what people do, of whom nobody knows.
func (a *Action) subject() (b calendar.Subject, known bool) {
	switch {
	case a.Drain != nil:
		return drained(a.Drain.Kind, a.Drain.Name), true
	case a.Release != nil:
		return released(a.Release), true
	}
	return b, false
}

func drained(k Kind, name string) calendar.Subject {
	return calendar.Subject{Scope: map[Kind]calendar.Scope{Door: calendar.Doors, Backend: calendar.Backends, Zone: calendar.Zone}[k], Names: []string{name}}
}

func released(p *release.Plan) calendar.Subject {
	scope := calendar.Doors
	if p.Changes == release.Backends {
		scope = calendar.Backends
	}
	return calendar.Subject{Scope: scope, Names: p.Doors}
}

func kindOf(p *release.Plan) calendar.Kind {
	if p.Changes == release.Configuration {
		return calendar.Configuration
	}
	return calendar.Release
}

// ReadAction reads what an entry does, or how it goes back. A key that nothing reads is refused.
func ReadAction(raw json.RawMessage) (a Action, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err = dec.Decode(&a)
	return a, err
}

const (
	waveSlackMs = 60e3 // ms that a wave takes beyond its watch where nothing was measured: a door is back in some seconds
	drainMs     = 60e3 // ms that a drain takes where nothing was measured
)

// Complete fills in what follows from what a change does, where its author left it out: kind, subject, waves and their time, and
// its way back. A change that can't be read stays as it is; who enters it is told.
func Complete(c *calendar.Change) {
	do, err := ReadAction(c.Do)
	if err != nil {
		return
	}
	if b, known := do.subject(); known && c.Subject.Scope == "" {
		c.Subject = b
	}
	if len(c.Rollback) == 0 && do.Manual == "" {
		c.Rollback = json.RawMessage(`{"undo":true}`)
	}
	switch {
	case do.Drain != nil:
		c.Kind, c.Waves, c.WaveMs = cmp.Or(c.Kind, calendar.Drain), cmp.Or(c.Waves, 1), cmp.Or(c.WaveMs, do.Drain.ForS*1e3, drainMs)
	case do.Release != nil:
		watch := 0.0
		for _, w := range do.Release.Waves {
			watch = max(watch, w.WatchS*1e3)
		}
		c.Kind, c.Waves, c.WaveMs = cmp.Or(c.Kind, kindOf(do.Release)), cmp.Or(c.Waves, len(do.Release.Waves)), cmp.Or(c.WaveMs, watch+waveSlackMs)
	default:
		c.Waves = cmp.Or(c.Waves, 1)
	}
}

// checkChange tells what is wrong with what a change would do: the calendar itself doesn't read it.
func (s *State) checkChange(c *calendar.Change) error {
	bad := func(key, format string, args ...any) error {
		return &calendar.FormError{Key: key, Says: fmt.Sprintf(format, args...)}
	}
	do, err := ReadAction(c.Do)
	if err != nil {
		return bad("do", "%v", err)
	}
	parts := 0
	for _, is := range []bool{do.Drain != nil, do.Release != nil, do.Manual != ""} {
		if is {
			parts++
		}
	}
	if parts != 1 || do.Undo {
		return bad("do", "one of drain, release and manual is wanted")
	}
	var back Action
	if len(c.Rollback) > 0 {
		if back, err = ReadAction(c.Rollback); err != nil {
			return bad("rollback", "%v", err)
		}
	}
	switch {
	case do.Manual == "" && (!back.Undo || back.Manual != "" || back.Drain != nil || back.Release != nil):
		return bad("rollback", `{"undo": true} is wanted for a drain or a release`)
	case do.Manual != "" && len(c.Rollback) > 0 && (back.Manual == "" || back.Undo || back.Drain != nil || back.Release != nil):
		return bad("rollback", `{"manual": "..."} is wanted for what people do`)
	}
	fits := map[calendar.Kind]bool{calendar.MigrationStep: true}
	switch {
	case do.Drain != nil:
		fits[calendar.Drain] = true
		if d := do.Drain; d.Kind != Door && d.Kind != Backend && d.Kind != Zone || d.Name == "" || !(d.ForS >= 0) {
			return bad("do.drain", "a kind (door, backend or zone), a name and a time from 0 on are wanted")
		}
		if c.Waves != 1 {
			return bad("waves", "%d, a drain is one", c.Waves)
		}
	case do.Release != nil:
		fits[kindOf(do.Release)] = true
		fits[calendar.Terms] = do.Release.Changes == release.Configuration
		if err := do.Release.Check(); err != nil {
			return bad("do.release", "%v", err)
		}
		if c.Waves != len(do.Release.Waves) {
			return bad("waves", "%d, its release has %d", c.Waves, len(do.Release.Waves))
		}
	default:
		fits[calendar.Terms], fits[calendar.Coordinators] = true, true
	}
	if !fits[c.Kind] {
		return bad("kind", "%q is not what it does", c.Kind)
	}
	if touches, known := do.subject(); known && !s.covers(&c.Subject, &touches) {
		return bad("subject", "%s is not all that it touches: %s", c.Subject.String(), touches.String())
	}
	return nil
}

// covers tells whether a subject has all of another in it.
func (s *State) covers(b, all *calendar.Subject) bool {
	switch {
	case b.Scope == calendar.Fleet:
		return true
	case b.Scope == all.Scope:
		return len(b.Names) == 0 || len(all.Names) > 0 && !slices.ContainsFunc(all.Names, func(n string) bool { return !slices.Contains(b.Names, n) })
	case b.Scope != calendar.Zone || len(b.Names) == 0 || len(all.Names) == 0:
		return b.Scope == calendar.Zone && len(b.Names) == 0
	}
	return !slices.ContainsFunc(all.Names, func(n string) bool {
		zone, known := s.ZoneOf(all.Scope, n)
		return !known || !slices.Contains(b.Names, zone)
	})
}

// schedule takes a command of the calendar in.
func (s *State) schedule(c *Command) Answer {
	for _, ch := range changesOf(c.Do) {
		if err := s.checkChange(ch.of); err != nil {
			if form, is := err.(*calendar.FormError); is {
				err = &calendar.FormError{Key: ch.key + form.Key, Says: form.Says}
			}
			return Answer{Err: err}
		}
	}
	if d, is := c.Do.(calendar.Start); is {
		return s.startEntry(c, d)
	}
	number, err := s.inCalendar(c.Do)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Number: number}
}

// inCalendar gives the calendar a command; what comes of it stands in the audit.
func (s *State) inCalendar(do any) (uint64, error) {
	before := s.Calendar.Number
	number, err := s.Calendar.Do(s.NowMs, do)
	s.recount(before)
	return number, err
}

// passCalendar has its time pass, so that what is looked at is as it is now.
func (s *State) passCalendar() {
	before := s.Calendar.Number
	s.Calendar.Pass(s.NowMs)
	s.recount(before)
}

// keyed is a change with the key under which its author has it.
type keyed struct {
	key string
	of  *calendar.Change
}

// changesOf lists the changes that a command enters, in their order: of two that are wrong every coordinator names the same.
func changesOf(do any) (all []keyed) {
	var steps []calendar.Change
	switch d := do.(type) {
	case calendar.Plan:
		return []keyed{{"", &d.Change}}
	case calendar.Edit:
		return []keyed{{"", &d.Change}}
	case calendar.Migrate:
		steps = d.Steps
	case calendar.Replace:
		steps = d.Steps
	}
	for i := range steps {
		all = append(all, keyed{fmt.Sprintf("steps[%d].", i), &steps[i]})
	}
	return all
}

// recount puts what happened in the calendar into the audit: one place tells who did what.
func (s *State) recount(after uint64) {
	events := s.Calendar.Events
	for _, e := range events[max(0, len(events)-int(s.Calendar.Number-after)):] {
		s.note(0, fmt.Sprintf("calendar %d: %s", e.ID, e.What), e.Who, e.Why)
	}
}

// startEntry begins an entry and what it does, both or neither.
func (s *State) startEntry(c *Command, d calendar.Start) Answer {
	s.passCalendar() // what is looked at now is what the start finds
	e := s.Calendar.Entries[d.ID]
	if e == nil {
		return Answer{Err: &calendar.UnknownError{What: "entry", ID: d.ID}}
	}
	if err := s.Calendar.InTheWay(e); err != nil {
		return Answer{Err: err}
	}
	do, err := ReadAction(e.Do)
	if err != nil { // entered by a release that read it
		return Answer{Err: &calendar.FormError{Key: "do", Says: err.Error()}}
	}
	run := &Run{AtMs: s.Calendar.WallMs, Was: calendar.Running}
	who := fmt.Sprintf("calendar %d", e.ID)
	switch {
	case do.Drain != nil:
		had := maps.Clone(s.Permits)
		if a := s.drain(c, Drain{Kind: do.Drain.Kind, Name: do.Drain.Name, Who: who, Why: e.Name}); a.Err != nil {
			return a
		}
		for _, p := range s.sorted() {
			if had[p.Number] == nil {
				run.Permits = append(run.Permits, p.Number)
			}
		}
	case do.Release != nil:
		number, note, err := s.Release.Do(release.Start{Plan: *do.Release, Who: who, Why: e.Name}, s.known(Door), s.known(Backend))
		if err != nil {
			return Answer{Err: err}
		}
		s.note(0, note, who, e.Name)
		run.Release = number
	}
	number, err := s.inCalendar(d)
	if err != nil {
		return Answer{Err: err}
	}
	s.Runs[e.ID] = run
	return Answer{Number: number}
}

// NextStart is the entry that the coordinator that leads is to begin now: the first that is due with nothing in the way, of
// budgets either, so that one that can't go out holds up no other.
func (s *State) NextStart() (id uint64, any bool) {
	for _, id := range s.Calendar.Startable() {
		if s.StartObstacle(id) == nil {
			return id, true
		}
	}
	return 0, false
}

// StartObstacle is the first thing in the way of an entry's start, in the calendar and beyond; nil for nothing.
func (s *State) StartObstacle(id uint64) error {
	e := s.Calendar.Entries[id]
	if e == nil {
		return &calendar.UnknownError{What: "entry", ID: id}
	}
	if err := s.Calendar.InTheWay(e); err != nil {
		return err
	}
	do, err := ReadAction(e.Do)
	switch {
	case err != nil:
		return &calendar.FormError{Key: "do", Says: err.Error()}
	case do.Drain != nil:
		_, err = s.DryRun(do.Drain.Kind, do.Drain.Name)
	case do.Release != nil:
		if old := s.Release.Find(do.Release.Name); old != nil && (old.Live() || old.Stage == release.Waiting) {
			return &release.NameError{Name: do.Release.Name, Stage: old.Stage}
		}
		for _, name := range do.Release.Doors {
			if _, known := s.ZoneOf(released(do.Release).Scope, name); !known {
				return &UnknownError{name}
			}
		}
	}
	return err
}

// unplanned tells what in the calendar keeps a change that isn't in it from beginning now.
func (s *State) unplanned(k calendar.Kind, b calendar.Subject) error {
	s.passCalendar()
	return s.Calendar.MayBegin(k, b)
}

// ofCalendar holds an operator's release against the calendar. One that an entry has begun goes on and back by its entry: own says
// that the entry has taken the word.
func (s *State) ofCalendar(do any) (own bool, err error) {
	switch d := do.(type) {
	case release.Start:
		return false, s.unplanned(kindOf(&d.Plan), released(&d.Plan))
	case release.Steer:
		r := s.Release.Find(d.Name)
		for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
			if r == nil || s.Runs[id].Release != r.Number {
				continue
			}
			switch d.To {
			case release.ToResume:
				_, err = s.inCalendar(calendar.Resume{ID: id, Who: d.Who})
				return true, err
			case release.ToBack:
				_, err = s.inCalendar(calendar.RollBack{ID: id, Who: d.Who, Why: d.Why})
				return true, err
			}
		}
	}
	return false, nil
}

// Drained tells whether all that a drain of one unit takes out is out.
func (s *State) Drained(p *Permit) bool {
	if !p.Order || p.Over {
		return false
	}
	if p.Unit.Kind == Backend {
		return len(s.Waiting(p)) == 0
	}
	u := s.Units[key(p.Unit.Kind, p.Unit.Name)]
	return p.Stage == Out && u != nil && u.Standing != Ready
}

// followMost bounds the steps of one entry within a command: each of its waves, and its way back.
const followMost = 1100

// follow moves entries by what became of their drains and releases, and those by what became of their entries. It runs within
// each command: a wave whose end a freeze has waited for is the last that begins, whoever leads.
func (s *State) follow() {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		for range followMost {
			e := s.Calendar.Entries[id]
			if e == nil || !s.Calendar.Holds(e) {
				if e != nil && e.Migration != 0 && e.Stage == calendar.Done { // what its steps took out was for it
					s.undrainAll(s.Runs[id], id, "its migration is done")
				}
				delete(s.Runs, id)
				break
			}
			if !s.followOne(e, s.Runs[id]) {
				break
			}
		}
	}
}

// tell gives the calendar a command that follows from another; one that it can't take any more changes nothing.
func (s *State) tell(do any) bool {
	_, err := s.inCalendar(do)
	return err == nil
}

func (s *State) followOne(e *calendar.Entry, run *Run) (moved bool) {
	was := run.Was
	run.Was = e.Stage
	switch {
	case run.Release != 0:
		return s.followRelease(e, run, was)
	case len(run.Permits) > 0:
		return s.followDrain(e, run)
	}
	return false // people say how it goes
}

func (s *State) followRelease(e *calendar.Entry, run *Run, was calendar.Stage) bool {
	r := s.Release.Number(run.Release)
	who := fmt.Sprintf("calendar %d", e.ID)
	steer := func(to string) bool {
		_, note, err := s.Release.Do(release.Steer{Name: r.Name, To: to, Who: who, Why: e.Says}, s.known(Door), s.known(Backend))
		if err == nil {
			s.note(0, note, who, e.Says)
		}
		return err == nil
	}
	gone := r == nil || r.Stage == release.Replaced
	switch e.Stage {
	case calendar.Running:
		switch {
		case gone:
			return s.tell(calendar.Halt{ID: e.ID, Who: "release", Why: "it was replaced by another"})
		case r.Stage == release.Back || r.Stage == release.RolledBack:
			return s.tell(calendar.RollBack{ID: e.ID, Who: "release " + r.Name, Why: r.Reason})
		case r.Stage == release.Halted && was == calendar.Halted:
			return steer(release.ToResume)
		case r.Stage == release.Halted:
			return s.tell(calendar.Halt{ID: e.ID, Who: "release " + r.Name, Why: r.Reason})
		case e.Wave < r.Wave || r.Stage == release.Done && e.Wave < e.Waves:
			return s.tell(calendar.WaveDone{ID: e.ID, Wave: e.Wave + 1})
		}
	case calendar.Halted:
		if !gone && r.Stage == release.Running {
			return steer(release.ToHalt)
		}
	case calendar.RollingBack:
		switch {
		case gone: // nobody here can take it back: people do, and say so
		case r.Stage == release.RolledBack:
			return s.tell(calendar.RolledBack{ID: e.ID})
		case r.Stage != release.Back:
			if !steer(release.ToBack) {
				return s.tell(calendar.Halt{ID: e.ID, Who: "release " + r.Name, Why: "another release has its doors: end that first"})
			}
			return true
		}
	}
	return false
}

// undrainAll ends what of an entry's drain still stands; false where nothing does.
func (s *State) undrainAll(run *Run, id uint64, why string) (ended bool) {
	for _, n := range run.Permits {
		if p := s.Permits[n]; p != nil && !p.Over {
			if !ended {
				s.Change++
			}
			ended = true
			s.end(p, fmt.Sprintf("calendar %d", id), why)
		}
	}
	return ended
}

func (s *State) followDrain(e *calendar.Entry, run *Run) bool {
	do, err := ReadAction(e.Do)
	if err != nil || do.Drain == nil {
		return false
	}
	here, drained := 0, true
	for _, n := range run.Permits {
		if p := s.Permits[n]; p != nil {
			here++
			drained = drained && s.Drained(p)
		}
	}
	undrain := func(why string) bool { return s.undrainAll(run, e.ID, why) }
	switch long := do.Drain.ForS * 1e3; e.Stage {
	case calendar.Running:
		switch {
		case e.Wave == e.Waves:
		case long > 0 && s.Calendar.WallMs >= run.AtMs+long && undrain("its time is over"):
			return true
		case long > 0 && here == 0, long == 0 && (drained || here == 0):
			return s.tell(calendar.WaveDone{ID: e.ID, Wave: 1})
		}
	case calendar.RollingBack:
		if undrain(e.Says) {
			return true
		}
		if here == 0 {
			return s.tell(calendar.RolledBack{ID: e.ID})
		}
	}
	return false
}
