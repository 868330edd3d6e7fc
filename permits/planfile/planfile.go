// Package planfile reads changes, migrations, freezes and rules of the calendar as operators write them: JSON, local times, seconds.
package planfile

import (
	"encoding/json"
	"io"
	"os"
	"time"
	_ "time/tzdata" // freezes are laid in time zones by name, also on machines that have no tables of them

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/permits"
)

// LocalForm is how local times are written.
const LocalForm = "2006-01-02T15:04"

// Entry is a change as an operator writes it: local times, seconds.
type Entry struct {
	Name           string           `json:"name"`
	Kind           calendar.Kind    `json:"kind,omitempty"`     // by what it does, where it is left out,
	Subject        calendar.Subject `json:"subject,omitzero"`   // and so its subject,
	Waves          int              `json:"waves,omitempty"`    // its waves,
	WaveS          float64          `json:"wave_s,omitempty"`   // the time that one takes,
	Rollback       json.RawMessage  `json:"rollback,omitempty"` // and its way back
	From           string           `json:"from"`
	To             string           `json:"to"`
	In             string           `json:"in,omitempty"` // time zone by name; UTC where it is left out
	SoakS          float64          `json:"soak_s,omitempty"`
	LateS          float64          `json:"late_s,omitempty"`
	After          []uint64         `json:"after,omitempty"`
	Preconditions  []string         `json:"preconditions,omitempty"`
	Postconditions []string         `json:"postconditions,omitempty"`
	Do             json.RawMessage  `json:"do"`
}

// Migration is a migration as an operator writes it.
type Migration struct {
	Name  string  `json:"name"`
	In    string  `json:"in,omitempty"`
	Steps []Entry `json:"steps"`
}

// Freeze is a freeze as an operator writes it.
type Freeze struct {
	Name    string              `json:"name"`
	Kinds   []calendar.Kind     `json:"kinds,omitempty"`
	Subject calendar.Subject    `json:"subject"`
	When    calendar.Recurrence `json:"when"`
	Sends   string              `json:"sends,omitempty"` // finish wave where it is left out
}

// Rules is all rules and budgets.
type Rules struct {
	Rules   []calendar.Rule   `json:"rules"`
	Budgets []calendar.Budget `json:"budgets"`
}

// Change makes the calendar's own of it.
func (f *Entry) Change(in string) (calendar.Change, error) {
	c := calendar.Change{Name: f.Name, Kind: f.Kind, Subject: f.Subject, Waves: f.Waves, WaveMs: f.WaveS * 1e3, SoakMs: f.SoakS * 1e3, LateMs: f.LateS * 1e3,
		After: f.After, Preconditions: f.Preconditions, Postconditions: f.Postconditions, Do: f.Do, Rollback: f.Rollback}
	if f.In != "" {
		in = f.In
	}
	zone, err := ZoneOf(in)
	if err != nil {
		return c, err
	}
	if c.Window, err = calendar.Window(f.From, f.To, zone); err != nil {
		return c, err
	}
	permits.Complete(&c)
	return c, nil
}

// ZoneOf finds a time zone by its name; UTC for an empty one.
func ZoneOf(name string) (*time.Location, error) {
	in, err := time.LoadLocation(name) // UTC for an empty name
	if err != nil || name == "Local" {
		return nil, &ZoneError{name, err}
	}
	return in, nil
}

// Read reads a file of JSON, - for standard input. A key that nothing reads is refused.
func Read(path string, in io.Reader, into any) error {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return &FileError{path, err}
		}
		defer f.Close()
		in = f
	}
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil && dec.More() { // what stands behind it would be lost
		err = &FormError{"there is more than one value in it"}
	}
	if err != nil {
		return &FileError{path, err}
	}
	return nil
}
