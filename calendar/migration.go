package calendar

import (
	"fmt"
	"slices"
)

// Migration is steps in their order, each an entry of its own that waits for the one before. A step that is halted,
// missed or taken out halts it; what is done stays done, and goes back from there, the newest first.
type Migration struct {
	ID       uint64   `json:"id"`
	Revision uint64   `json:"revision"`
	Name     string   `json:"name"`
	Who      string   `json:"who"`
	Stage    Stage    `json:"stage"` // running, halted, going back, done or withdrawn
	Reason   string   `json:"says,omitempty"`
	Steps    []uint64 `json:"steps"` // entries
}

func (m *Migration) live() bool { return m != nil && m.Stage != Done && m.Stage != Withdrawn }

func (s *State) live(id uint64) bool { return s.Migrations[id].live() }

// untilMs is when its last step is over, as planned.
func (m *Migration) untilMs(s *State) (ms float64) {
	for _, id := range m.Steps {
		if e := s.Entries[id]; e != nil {
			ms = max(ms, e.deadline())
		}
	}
	return max(ms, s.WallMs+1)
}

func (s *State) migrate(c Migrate) (uint64, error) {
	if c.Name == "" || len(c.Name) > nameMost {
		return 0, &FormError{"name", fmt.Sprintf("1 to %d bytes are wanted", nameMost)}
	}
	if err := s.checkSteps(c.Steps, c.Who); err != nil {
		return 0, err
	}
	m := &Migration{ID: s.NextID, Revision: 1, Name: c.Name, Who: c.Who, Stage: Running}
	s.NextID++
	s.Migrations[m.ID] = m
	s.note(m.ID, "migration: "+m.Name, c.Who, "")
	s.append(m, c.Steps, c.Who)
	return m.ID, nil
}

func (s *State) checkSteps(steps []Change, who string) error {
	if len(steps) == 0 || len(steps) > stepsMost {
		return &FormError{"steps", fmt.Sprintf("1 to %d are wanted", stepsMost)}
	}
	for i := range steps {
		c := &steps[i]
		under := fmt.Sprintf("steps[%d].", i)
		if err := s.check(c, who, 0); err != nil {
			if form, is := err.(*FormError); is {
				return &FormError{under + form.Key, form.Says}
			}
			return err
		}
		switch {
		case len(c.Rollback) == 0:
			return &FormError{under + "rollback", "each step of a migration has a way back"}
		case len(c.After) > 0:
			return &FormError{under + "after", "a step waits for the one before it"}
		case i > 0 && c.deadline() < steps[i-1].Window.FromMs+steps[i-1].DurationMs()+c.DurationMs():
			return &FormError{under + "window", "it would be over before the step before it is done"}
		}
	}
	if last := steps[len(steps)-1]; last.Window.ToMs <= s.WallMs {
		return &FormError{fmt.Sprintf("steps[%d].window", len(steps)-1), "it is over"}
	}
	return nil
}

// append enters steps behind those that a migration has.
func (s *State) append(m *Migration, steps []Change, who string) {
	for _, c := range steps {
		s.make()
		e := &Entry{Change: c, ID: s.NextID, Revision: 1, Author: who, Stage: Drafted, Migration: m.ID}
		if n := len(m.Steps); n > 0 {
			e.After = []uint64{m.Steps[n-1]}
		}
		s.NextID++
		s.Entries[e.ID] = e
		m.Steps = append(m.Steps, e.ID)
		s.note(e.ID, "planned: "+e.Name, who, "")
		s.move(e, Waiting, who, "")
	}
}

// replace takes a file in whose first steps are those that have begun, and puts its others in the place of what has not.
func (s *State) replace(c ReplaceSteps) (uint64, error) {
	m := s.Migrations[c.ID]
	switch {
	case m == nil:
		return 0, &UnknownError{"migration", c.ID}
	case m.Revision != c.Revision:
		return 0, &ChangedError{"migration", m.ID, c.Revision, m.Revision, s.last(m.ID)}
	case m.Stage != Running && m.Stage != Halted:
		return 0, &StageError{m.ID, m.Stage, "replaced"}
	}
	begun := 0
	for begun < len(m.Steps) && s.Entries[m.Steps[begun]].Starts > 0 && s.Entries[m.Steps[begun]].Stage != Withdrawn { // taken back by a freeze
		begun++
	}
	if len(c.Steps) == 0 {
		return 0, &FormError{"steps", "none"}
	}
	for i, id := range m.Steps[:begun] {
		was := s.Entries[id].Change
		was.After = nil
		if i >= len(c.Steps) || c.Steps[i].Digest() != was.Digest() {
			return 0, &StepStartedError{m.ID, i}
		}
	}
	if len(c.Steps) > begun {
		if err := s.checkSteps(c.Steps, c.Who); err != nil {
			return 0, err
		}
	}
	for _, id := range m.Steps[begun:] {
		if e := s.Entries[id]; e.Stage.planned() {
			s.move(e, Withdrawn, c.Who, "its migration has other steps")
		}
	}
	m.Steps, m.Revision = m.Steps[:begun:begun], m.Revision+1
	s.note(m.ID, "migration replaced: "+m.Name, c.Who, "")
	s.append(m, c.Steps[begun:], c.Who)
	return m.ID, nil
}

// revert takes a migration back. What has not begun is withdrawn; what has goes back one after the other.
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
		if e := s.Entries[id]; e.Stage.planned() {
			s.move(e, Withdrawn, c.Who, "its migration goes back")
		}
	}
	s.moveMigration(m, RollingBack, c.Who, c.Why)
	return nil
}

func (s *State) moveMigration(m *Migration, to Stage, who, why string) {
	s.note(m.ID, fmt.Sprintf("migration %s -> %s", m.Stage, to), who, why)
	m.Stage, m.Reason = to, why
}

// passMigration has a migration go where its steps take it.
func (s *State) passMigration(m *Migration) {
	switch m.Stage {
	case Running, Halted:
		done, says := 0, ""
		for i, id := range m.Steps {
			switch e := s.Entries[id]; e.Stage {
			case Done:
				done++
			case Halted, Missed, Withdrawn, RollingBack:
				says = fmt.Sprintf("step %d, entry %d, is %s: %s", i+1, id, e.Stage, e.Reason)
			}
			if says != "" {
				break
			}
		}
		switch {
		case done == len(m.Steps):
			s.moveMigration(m, Done, "", "")
		case says != "" && (m.Stage == Running || m.Reason != says):
			s.moveMigration(m, Halted, "", says)
		case says == "" && m.Stage == Halted:
			s.moveMigration(m, Running, "", "")
		}
	case RollingBack:
		for _, id := range slices.Backward(m.Steps) {
			e := s.Entries[id]
			switch {
			case e.Stage == RollingBack || e.Stage == Halted && e.WasRollingBack:
				return // one after the other
			case e.Stage == Running || e.Stage == Halted || e.Stage == Done:
				s.move(e, RollingBack, "", "its migration goes back")
				return
			}
		}
		s.moveMigration(m, Withdrawn, "", takenBack)
	}
}
