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

// This file connects the entries of the change calendar to their drains and releases. An entry starts in the same command as its
// drain or release, and progress of either side is applied to the other within the command that causes it. The loss of a leader
// therefore never leaves an entry half started.

// Action is the content of an entry's keys "do" and "rollback". Exactly one field is set.
type Action struct {
	Drain   *DrainAction  `json:"drain,omitempty"`
	Release *release.Plan `json:"release,omitempty"`
	Manual  string        `json:"manual,omitempty"` // manual work; operators report when it is done
	Undo    bool          `json:"undo,omitempty"`   // of a rollback: undoes the entry's drain or release
}

// DrainAction drains a unit or a zone. With a duration the drain ends by itself once that has passed by agreed time.
type DrainAction struct {
	Kind Kind    `json:"kind"`
	Name string  `json:"name"`
	ForS float64 `json:"for_s,omitempty"` // s from the entry's start; 0 for no automatic end
}

// Run is what a running entry has started.
type Run struct {
	Release   uint64         `json:",omitempty"` // number of its release
	Permits   []uint64       `json:",omitempty"` // of its drain
	AtMs      float64        // agreed time of the entry's start
	LastStage calendar.Stage `json:"Was"` // stage of the entry when it was last advanced
}

// ZoneOf returns the zone of a unit to the calendar.
func (s *State) ZoneOf(scope calendar.Scope, name string) (zone string, known bool) {
	u := s.Units[unitKey(map[calendar.Scope]Kind{calendar.Doors: Door, calendar.Backends: Backend}[scope], name)]
	if u == nil {
		return "", false
	}
	return u.Zone, true
}

// subject returns what an action affects; known is false for manual work, whose effect isn't known.
func (a *Action) subject() (b calendar.Subject, known bool) {
	switch {
	case a.Drain != nil:
		return drainSubject(a.Drain.Kind, a.Drain.Name), true
	case a.Release != nil:
		return releaseSubject(a.Release), true
	}
	return b, false
}

func drainSubject(k Kind, name string) calendar.Subject {
	return calendar.Subject{Scope: map[Kind]calendar.Scope{Door: calendar.Doors, Backend: calendar.Backends, Zone: calendar.Zone}[k], Names: []string{name}}
}

func releaseSubject(p *release.Plan) calendar.Subject {
	scope := calendar.Doors
	if p.Changes == release.Backends {
		scope = calendar.Backends
	}
	return calendar.Subject{Scope: scope, Names: p.Doors}
}

func releaseKind(p *release.Plan) calendar.Kind {
	if p.Changes == release.Configuration {
		return calendar.Configuration
	}
	return calendar.Release
}

// ReadAction decodes an entry's action or rollback. Unknown keys are errors.
func ReadAction(raw json.RawMessage) (a Action, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err = dec.Decode(&a)
	return a, err
}

const (
	waveSlackMs = 60e3 // ms that a wave takes beyond its watch unless the author gives a duration: a door is back within seconds
	drainMs     = 60e3 // ms that a drain takes unless the author gives a duration
)

// Complete derives the values that the author of a change left out from its action: kind, subject, waves and their duration, and
// rollback. A change whose action can't be decoded is left unchanged; entering it returns the error.
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
		c.Kind, c.Waves, c.WaveMs = cmp.Or(c.Kind, releaseKind(do.Release)), cmp.Or(c.Waves, len(do.Release.Waves)), cmp.Or(c.WaveMs, watch+waveSlackMs)
	default:
		c.Waves = cmp.Or(c.Waves, 1)
	}
}

// checkChange validates the action of a change, which the calendar itself doesn't decode.
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
	var rollback Action
	if len(c.Rollback) > 0 {
		if rollback, err = ReadAction(c.Rollback); err != nil {
			return bad("rollback", "%v", err)
		}
	}
	switch {
	case do.Manual == "" && (!rollback.Undo || rollback.Manual != "" || rollback.Drain != nil || rollback.Release != nil):
		return bad("rollback", `{"undo": true} is wanted for a drain or a release`)
	case do.Manual != "" && len(c.Rollback) > 0 && (rollback.Manual == "" || rollback.Undo || rollback.Drain != nil || rollback.Release != nil):
		return bad("rollback", `{"manual": "..."} is wanted for what people do`)
	}
	kinds := map[calendar.Kind]bool{calendar.MigrationStep: true}
	switch {
	case do.Drain != nil:
		kinds[calendar.Drain] = true
		if d := do.Drain; d.Kind != Door && d.Kind != Backend && d.Kind != Zone || d.Name == "" || !(d.ForS >= 0) {
			return bad("do.drain", "a kind (door, backend or zone), a name and a time from 0 on are wanted")
		}
		if c.Waves != 1 {
			return bad("waves", "%d, a drain is one", c.Waves)
		}
	case do.Release != nil:
		kinds[releaseKind(do.Release)] = true
		kinds[calendar.Terms] = do.Release.Changes == release.Configuration
		if err := do.Release.Check(); err != nil {
			return bad("do.release", "%v", err)
		}
		if c.Waves != len(do.Release.Waves) {
			return bad("waves", "%d, its release has %d", c.Waves, len(do.Release.Waves))
		}
	default:
		kinds[calendar.Terms], kinds[calendar.Coordinators] = true, true
	}
	if !kinds[c.Kind] {
		return bad("kind", "%q is not what it does", c.Kind)
	}
	if affected, known := do.subject(); known && !s.covers(&c.Subject, &affected) {
		return bad("subject", "%s is not all that it touches: %s", c.Subject.String(), affected.String())
	}
	return nil
}

// covers reports whether subject b includes all of the other.
func (s *State) covers(b, other *calendar.Subject) bool {
	switch {
	case b.Scope == calendar.Fleet:
		return true
	case b.Scope == other.Scope:
		return len(b.Names) == 0 || len(other.Names) > 0 && !slices.ContainsFunc(other.Names, func(n string) bool { return !slices.Contains(b.Names, n) })
	case b.Scope != calendar.Zone || len(b.Names) == 0 || len(other.Names) == 0:
		return b.Scope == calendar.Zone && len(b.Names) == 0
	}
	return !slices.ContainsFunc(other.Names, func(n string) bool {
		zone, known := s.ZoneOf(other.Scope, n)
		return !known || !slices.Contains(b.Names, zone)
	})
}

// applyCalendarCommand executes a command of the calendar.
func (s *State) applyCalendarCommand(c *Command) Answer {
	for _, ch := range changesOf(c.Do) {
		if err := s.checkChange(ch.change); err != nil {
			if form, is := err.(*calendar.FormError); is {
				err = &calendar.FormError{Key: ch.prefix + form.Key, Says: form.Says}
			}
			return Answer{Err: err}
		}
	}
	if d, is := c.Do.(calendar.Start); is {
		return s.startEntry(c, d)
	}
	number, err := s.applyToCalendar(c.Do)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Number: number}
}

// applyToCalendar passes a command to the calendar and copies the resulting events to the audit log.
func (s *State) applyToCalendar(do any) (uint64, error) {
	before := s.Calendar.LastEvent
	number, err := s.Calendar.Apply(s.NowMs, do)
	s.auditEvents(before)
	return number, err
}

// advanceCalendar advances the calendar to the current time, so that the checks that follow see its current stages.
func (s *State) advanceCalendar() {
	before := s.Calendar.LastEvent
	s.Calendar.AdvanceTo(s.NowMs)
	s.auditEvents(before)
}

// keyedChange is a change with the prefix of its keys in the author's file.
type keyedChange struct {
	prefix string
	change *calendar.Change
}

// changesOf lists the changes that a command enters, in order, so that every coordinator reports the same one of two errors.
func changesOf(do any) (all []keyedChange) {
	var steps []calendar.Change
	switch d := do.(type) {
	case calendar.Plan:
		return []keyedChange{{"", &d.Change}}
	case calendar.Edit:
		return []keyedChange{{"", &d.Change}}
	case calendar.Migrate:
		steps = d.Steps
	case calendar.ReplaceSteps:
		steps = d.Steps
	}
	for i := range steps {
		all = append(all, keyedChange{fmt.Sprintf("steps[%d].", i), &steps[i]})
	}
	return all
}

// auditEvents copies the calendar's events after a number to the audit log, so that one log has all operator actions.
func (s *State) auditEvents(after uint64) {
	events := s.Calendar.Events
	for _, e := range events[max(0, len(events)-int(s.Calendar.LastEvent-after)):] {
		s.audit(0, fmt.Sprintf("calendar %d: %s", e.ID, e.What), e.Who, e.Why)
	}
}

// startEntry starts an entry together with its action, or neither.
func (s *State) startEntry(c *Command, d calendar.Start) Answer {
	s.advanceCalendar() // the checks below must see what calendar.Start will see
	e := s.Calendar.Entries[d.ID]
	if e == nil {
		return Answer{Err: &calendar.UnknownError{What: "entry", ID: d.ID}}
	}
	if err := s.Calendar.CheckStart(e); err != nil {
		return Answer{Err: err}
	}
	do, err := ReadAction(e.Do)
	if err != nil { // entered by a release of this software that could decode it
		return Answer{Err: &calendar.FormError{Key: "do", Says: err.Error()}}
	}
	run := &Run{AtMs: s.Calendar.WallMs, LastStage: calendar.Running}
	who := fmt.Sprintf("calendar %d", e.ID)
	switch {
	case do.Drain != nil:
		before := maps.Clone(s.Permits)
		if a := s.drain(c, Drain{Kind: do.Drain.Kind, Name: do.Drain.Name, Who: who, Why: e.Name}); a.Err != nil {
			return a
		}
		for _, p := range s.sortedPermits() {
			if before[p.Number] == nil {
				run.Permits = append(run.Permits, p.Number)
			}
		}
	case do.Release != nil:
		number, note, err := s.Release.Apply(release.Start{Plan: *do.Release, Who: who, Why: e.Name}, s.unitsOf(Door), s.unitsOf(Backend))
		if err != nil {
			return Answer{Err: err}
		}
		s.audit(0, note, who, e.Name)
		run.Release = number
	}
	number, err := s.applyToCalendar(d)
	if err != nil {
		return Answer{Err: err}
	}
	s.Runs[e.ID] = run
	return Answer{Number: number}
}

// NextStart returns the entry that the leader is to start now: the first due entry that neither the calendar nor a budget blocks,
// so that a blocked entry doesn't delay others.
func (s *State) NextStart() (id uint64, found bool) {
	for _, id := range s.Calendar.Startable() {
		if s.StartObstacle(id) == nil {
			return id, true
		}
	}
	return 0, false
}

// StartObstacle returns the first reason why an entry can't start, from the calendar or from its action; nil if it can.
func (s *State) StartObstacle(id uint64) error {
	e := s.Calendar.Entries[id]
	if e == nil {
		return &calendar.UnknownError{What: "entry", ID: id}
	}
	if err := s.Calendar.CheckStart(e); err != nil {
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
			if _, known := s.ZoneOf(releaseSubject(do.Release).Scope, name); !known {
				return &UnknownError{name}
			}
		}
	}
	return err
}

// checkUnplanned returns what in the calendar keeps a change without an entry from starting now.
func (s *State) checkUnplanned(k calendar.Kind, b calendar.Subject) error {
	s.advanceCalendar()
	return s.Calendar.CheckUnplanned(k, b)
}

// routeToEntry checks an operator's release command against the calendar. A release that an entry has started is resumed and
// rolled back through its entry; own reports that the entry has handled the command.
func (s *State) routeToEntry(do any) (own bool, err error) {
	switch d := do.(type) {
	case release.Start:
		return false, s.checkUnplanned(releaseKind(&d.Plan), releaseSubject(&d.Plan))
	case release.Steer:
		r := s.Release.Find(d.Name)
		for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
			if r == nil || s.Runs[id].Release != r.Number {
				continue
			}
			switch d.To {
			case release.ToResume:
				_, err = s.applyToCalendar(calendar.Resume{ID: id, Who: d.Who})
				return true, err
			case release.ToBack:
				_, err = s.applyToCalendar(calendar.RollBack{ID: id, Who: d.Who, Why: d.Why})
				return true, err
			}
		}
	}
	return false, nil
}

// Drained reports whether the drain of one unit is complete.
func (s *State) Drained(p *Permit) bool {
	if !p.Order || p.Over {
		return false
	}
	if p.Unit.Kind == Backend {
		return len(s.UnconfirmedDoors(p)) == 0
	}
	u := s.Units[unitKey(p.Unit.Kind, p.Unit.Name)]
	return p.Stage == Out && u != nil && u.Standing != Ready
}

// maxEntrySteps limits the steps of one entry within a command: each of its waves, and its rollback.
const maxEntrySteps = 1100

// advanceEntries advances entries by the progress of their drains and releases, and drains and releases by the stage of their
// entries. It runs within each command: when a freeze waits for the end of a wave, no further wave starts, even if the leader
// changes.
func (s *State) advanceEntries() {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		for range maxEntrySteps {
			e := s.Calendar.Entries[id]
			if e == nil || !s.Calendar.Holds(e) {
				if e != nil && e.Migration != 0 && e.Stage == calendar.Done { // its steps' drains last until the migration is done
					s.undrainAll(s.Runs[id], id, "its migration is done")
				}
				delete(s.Runs, id)
				break
			}
			if !s.advanceEntry(e, s.Runs[id]) {
				break
			}
		}
	}
}

// tryCalendar passes a derived command to the calendar and reports whether it was accepted. A rejected command has no effect.
func (s *State) tryCalendar(do any) bool {
	_, err := s.applyToCalendar(do)
	return err == nil
}

func (s *State) advanceEntry(e *calendar.Entry, run *Run) (moved bool) {
	was := run.LastStage
	run.LastStage = e.Stage
	switch {
	case run.Release != 0:
		return s.advanceRelease(e, run, was)
	case len(run.Permits) > 0:
		return s.advanceDrain(e, run)
	}
	return false // manual work: operators report its progress
}

func (s *State) advanceRelease(e *calendar.Entry, run *Run, was calendar.Stage) bool {
	r := s.Release.ByNumber(run.Release)
	who := fmt.Sprintf("calendar %d", e.ID)
	steer := func(to string) bool {
		_, note, err := s.Release.Apply(release.Steer{Name: r.Name, To: to, Who: who, Why: e.Reason}, s.unitsOf(Door), s.unitsOf(Backend))
		if err == nil {
			s.audit(0, note, who, e.Reason)
		}
		return err == nil
	}
	gone := r == nil || r.Stage == release.Replaced
	switch e.Stage {
	case calendar.Running:
		switch {
		case gone:
			return s.tryCalendar(calendar.Halt{ID: e.ID, Who: "release", Why: "it was replaced by another"})
		case r.Stage == release.RollingBack || r.Stage == release.RolledBack:
			return s.tryCalendar(calendar.RollBack{ID: e.ID, Who: "release " + r.Name, Why: r.Reason})
		case r.Stage == release.Halted && was == calendar.Halted:
			return steer(release.ToResume)
		case r.Stage == release.Halted:
			return s.tryCalendar(calendar.Halt{ID: e.ID, Who: "release " + r.Name, Why: r.Reason})
		case e.WavesDone < r.Wave || r.Stage == release.Done && e.WavesDone < e.Waves:
			return s.tryCalendar(calendar.WaveDone{ID: e.ID, Wave: e.WavesDone + 1})
		}
	case calendar.Halted:
		if !gone && r.Stage == release.Running {
			return steer(release.ToHalt)
		}
	case calendar.RollingBack:
		switch {
		case gone: // only operators can roll it back; they report when it is done
		case r.Stage == release.RolledBack:
			return s.tryCalendar(calendar.RolledBack{ID: e.ID})
		case r.Stage != release.RollingBack:
			if !steer(release.ToBack) {
				return s.tryCalendar(calendar.Halt{ID: e.ID, Who: "release " + r.Name, Why: "another release has its doors: end that first"})
			}
			return true
		}
	}
	return false
}

// undrainAll ends the drains of an entry that are still in force and reports whether there were any.
func (s *State) undrainAll(run *Run, id uint64, why string) (ended bool) {
	for _, n := range run.Permits {
		if p := s.Permits[n]; p != nil && !p.Over {
			if !ended {
				s.Change++
			}
			ended = true
			s.endOrder(p, fmt.Sprintf("calendar %d", id), why)
		}
	}
	return ended
}

func (s *State) advanceDrain(e *calendar.Entry, run *Run) bool {
	do, err := ReadAction(e.Do)
	if err != nil || do.Drain == nil {
		return false
	}
	remaining, drained := 0, true
	for _, n := range run.Permits {
		if p := s.Permits[n]; p != nil {
			remaining++
			drained = drained && s.Drained(p)
		}
	}
	undrain := func(why string) bool { return s.undrainAll(run, e.ID, why) }
	switch durationMs := do.Drain.ForS * 1e3; e.Stage {
	case calendar.Running:
		switch {
		case e.WavesDone == e.Waves:
		case durationMs > 0 && s.Calendar.WallMs >= run.AtMs+durationMs && undrain("its time is over"):
			return true
		case durationMs > 0 && remaining == 0, durationMs == 0 && (drained || remaining == 0):
			return s.tryCalendar(calendar.WaveDone{ID: e.ID, Wave: 1})
		}
	case calendar.RollingBack:
		if undrain(e.Reason) {
			return true
		}
		if remaining == 0 {
			return s.tryCalendar(calendar.RolledBack{ID: e.ID})
		}
	}
	return false
}
