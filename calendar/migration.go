package calendar

import (
	"fmt"
	"slices"
)

// Migration is a sequence of steps, each an entry of its own that waits for the one before. A step that is halted, missed, withdrawn or
// rolling back halts the migration. The steps done so far stay done until the migration is reverted, which rolls them back, the newest
// first.
type Migration struct {
	ID       uint64   `json:"id"`
	Revision uint64   `json:"revision"`
	Name     string   `json:"name"`
	Who      string   `json:"who"`
	Stage    Stage    `json:"stage"`          // Running, Halted, RollingBack, Done or Withdrawn
	Reason   string   `json:"says,omitempty"` // why it is in its stage
	Steps    []uint64 `json:"steps"`          // IDs of the entries, in their order
}

// active reports whether the migration is neither done nor withdrawn. A nil migration is not active.
func (m *Migration) active() bool { return m != nil && m.Stage != Done && m.Stage != Withdrawn }

// migrationActive reports whether there is an active migration with the given ID.
func (s *State) migrationActive(id uint64) bool { return s.Migrations[id].active() }

// lastDeadlineMs is the latest deadline of its steps, and at least 1 ms after the agreed time.
func (m *Migration) lastDeadlineMs(s *State) (ms float64) {
	for _, id := range m.Steps {
		if e := s.Entries[id]; e != nil {
			ms = max(ms, e.deadlineMs())
		}
	}
	return max(ms, s.WallMs+1)
}

// migrate adds a migration and the entries of its steps.
func (s *State) migrate(c Migrate) (uint64, error) {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return 0, &FormError{"name", fmt.Sprintf("1 to %d bytes are wanted", maxNameBytes)}
	}
	if err := s.checkSteps(c.Steps, c.Who); err != nil {
		return 0, err
	}
	m := &Migration{ID: s.NextID, Revision: 1, Name: c.Name, Who: c.Who, Stage: Running}
	s.NextID++
	s.Migrations[m.ID] = m
	s.recordEvent(m.ID, "migration: "+m.Name, c.Who, "")
	s.appendSteps(m, c.Steps, c.Who)
	return m.ID, nil
}

// checkSteps validates the steps of a migration, as entered.
func (s *State) checkSteps(steps []Change, who string) error {
	if len(steps) == 0 || len(steps) > maxMigrationSteps {
		return &FormError{"steps", fmt.Sprintf("1 to %d are wanted", maxMigrationSteps)}
	}
	for i := range steps {
		c := &steps[i]
		prefix := fmt.Sprintf("steps[%d].", i)
		if err := s.checkChange(c, who, 0); err != nil {
			if form, is := err.(*FormError); is {
				return &FormError{prefix + form.Key, form.Says}
			}
			return err
		}
		switch {
		case len(c.Rollback) == 0:
			return &FormError{prefix + "rollback", "each step of a migration has a way back"}
		case len(c.After) > 0:
			return &FormError{prefix + "after", "a step waits for the one before it"}
		case i > 0 && c.deadlineMs() < steps[i-1].Window.FromMs+steps[i-1].DurationMs()+c.DurationMs():
			return &FormError{prefix + "window", "it would be over before the step before it is done"}
		}
	}
	if last := steps[len(steps)-1]; last.Window.ToMs <= s.WallMs {
		return &FormError{fmt.Sprintf("steps[%d].window", len(steps)-1), "it is over"}
	}
	return nil
}

// appendSteps adds entries for steps after those that a migration already has.
func (s *State) appendSteps(m *Migration, steps []Change, who string) {
	for _, c := range steps {
		s.evictOldest()
		e := &Entry{Change: c, ID: s.NextID, Revision: 1, Author: who, Stage: Drafted, Migration: m.ID}
		if n := len(m.Steps); n > 0 {
			e.After = []uint64{m.Steps[n-1]}
		}
		s.NextID++
		s.Entries[e.ID] = e
		m.Steps = append(m.Steps, e.ID)
		s.recordEvent(e.ID, "planned: "+e.Name, who, "")
		s.setStage(e, Waiting, who, "")
	}
}

// replace replaces the steps that have not started. The new list must begin with the steps that have started, unchanged.
func (s *State) replace(c ReplaceSteps) (uint64, error) {
	m := s.Migrations[c.ID]
	switch {
	case m == nil:
		return 0, &UnknownError{"migration", c.ID}
	case m.Revision != c.Revision:
		return 0, &ChangedError{"migration", m.ID, c.Revision, m.Revision, s.lastAction(m.ID)}
	case m.Stage != Running && m.Stage != Halted:
		return 0, &StageError{m.ID, m.Stage, "replaced"}
	}
	numStarted := 0
	for numStarted < len(m.Steps) && s.Entries[m.Steps[numStarted]].Starts > 0 && s.Entries[m.Steps[numStarted]].Stage != Withdrawn { // a step that a freeze rolled back counts as not started
		numStarted++
	}
	if len(c.Steps) == 0 {
		return 0, &FormError{"steps", "none"}
	}
	for i, id := range m.Steps[:numStarted] {
		started := s.Entries[id].Change
		started.After = nil // set by appendSteps, not by the author
		if i >= len(c.Steps) || c.Steps[i].Digest() != started.Digest() {
			return 0, &StepStartedError{m.ID, i}
		}
	}
	if len(c.Steps) > numStarted {
		if err := s.checkSteps(c.Steps, c.Who); err != nil {
			return 0, err
		}
	}
	for _, id := range m.Steps[numStarted:] {
		if e := s.Entries[id]; e.Stage.notStarted() {
			s.setStage(e, Withdrawn, c.Who, "its migration has other steps")
		}
	}
	m.Steps, m.Revision = m.Steps[:numStarted:numStarted], m.Revision+1
	s.recordEvent(m.ID, "migration replaced: "+m.Name, c.Who, "")
	s.appendSteps(m, c.Steps[numStarted:], c.Who)
	return m.ID, nil
}

// revert starts to roll a migration back: steps that have not started are withdrawn, and advanceMigration rolls back the others, one
// after the other.
func (s *State) revert(c RevertMigration) error {
	m := s.Migrations[c.ID]
	switch {
	case m == nil:
		return &UnknownError{"migration", c.ID}
	case m.Stage != Running && m.Stage != Halted:
		return &StageError{m.ID, m.Stage, "reverted"}
	case c.Who == "" || c.Why == "":
		return &FormError{"why", "a way back needs a name and a reason"}
	}
	for _, id := range m.Steps {
		if e := s.Entries[id]; e.Stage.notStarted() {
			s.setStage(e, Withdrawn, c.Who, "its migration goes back")
		}
	}
	s.setMigrationStage(m, RollingBack, c.Who, c.Why)
	return nil
}

// setMigrationStage changes the stage of a migration and records the event.
func (s *State) setMigrationStage(m *Migration, to Stage, who, why string) {
	s.recordEvent(m.ID, fmt.Sprintf("migration %s -> %s", m.Stage, to), who, why)
	m.Stage, m.Reason = to, why
}

// advanceMigration makes the transition of a migration that follows from the stages of its steps, and starts the rollback of the next
// step of one that is rolling back.
func (s *State) advanceMigration(m *Migration) {
	switch m.Stage {
	case Running, Halted:
		done, reason := 0, ""
		for i, id := range m.Steps {
			switch e := s.Entries[id]; e.Stage {
			case Done:
				done++
			case Halted, Missed, Withdrawn, RollingBack:
				reason = fmt.Sprintf("step %d, entry %d, is %s: %s", i+1, id, e.Stage, e.Reason)
			}
			if reason != "" {
				break
			}
		}
		switch {
		case done == len(m.Steps):
			s.setMigrationStage(m, Done, "", "")
		case reason != "" && (m.Stage == Running || m.Reason != reason):
			s.setMigrationStage(m, Halted, "", reason)
		case reason == "" && m.Stage == Halted:
			s.setMigrationStage(m, Running, "", "")
		}
	case RollingBack:
		for _, id := range slices.Backward(m.Steps) {
			e := s.Entries[id]
			switch {
			case e.Stage == RollingBack || e.Stage == Halted && e.WasRollingBack:
				return // the next step waits until this one is rolled back
			case e.Stage == Running || e.Stage == Halted || e.Stage == Done:
				s.setStage(e, RollingBack, "", "its migration goes back")
				return
			}
		}
		s.setMigrationStage(m, Withdrawn, "", rolledBackReason)
	}
}
