// Package planfile reads the calendar's changes, migrations, freezes and rules from the JSON files that operators write, with local
// times and durations in seconds.
package planfile

import (
	"encoding/json"
	"io"
	"os"
	"time"
	_ "time/tzdata" // entries and freezes use time zone names, also on machines without a time zone database

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/permits"
)

// LocalLayout is the layout of local times.
const LocalLayout = "2006-01-02T15:04"

// Entry is the file format of a change, with local times and durations in seconds. Kind, Subject, Waves, WaveS and Rollback are
// derived from Do if they are left out.
type Entry struct {
	Name           string           `json:"name"`
	Kind           calendar.Kind    `json:"kind,omitempty"`
	Subject        calendar.Subject `json:"subject,omitzero"`
	Waves          int              `json:"waves,omitempty"`
	WaveS          float64          `json:"wave_s,omitempty"` // duration of one wave
	Rollback       json.RawMessage  `json:"rollback,omitempty"`
	From           string           `json:"from"`
	To             string           `json:"to"`
	In             string           `json:"in,omitempty"` // time zone name; UTC if empty
	SoakS          float64          `json:"soak_s,omitempty"`
	LateS          float64          `json:"late_s,omitempty"`
	After          []uint64         `json:"after,omitempty"`
	Preconditions  []string         `json:"preconditions,omitempty"`
	Postconditions []string         `json:"postconditions,omitempty"`
	Do             json.RawMessage  `json:"do"`
}

// Migration is the file format of a migration.
type Migration struct {
	Name  string  `json:"name"`
	In    string  `json:"in,omitempty"`
	Steps []Entry `json:"steps"`
}

// Freeze is the file format of a freeze.
type Freeze struct {
	Name          string              `json:"name"`
	Kinds         []calendar.Kind     `json:"kinds,omitempty"`
	Subject       calendar.Subject    `json:"subject"`
	When          calendar.Recurrence `json:"when"`
	RunningPolicy string              `json:"sends,omitempty"` // "finish wave" if empty
}

// Rules is the file format of the calendar's rules and budgets, which replaces all of them.
type Rules struct {
	Rules   []calendar.Rule   `json:"rules"`
	Budgets []calendar.Budget `json:"budgets"`
}

// Change converts the entry to a change of the calendar. in is the time zone if the entry names none.
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
	if c.Window, err = calendar.ParseWindow(f.From, f.To, zone); err != nil {
		return c, err
	}
	permits.Complete(&c)
	return c, nil
}

// ZoneOf returns a time zone by name; UTC for an empty one.
func ZoneOf(name string) (*time.Location, error) {
	in, err := time.LoadLocation(name) // returns UTC for an empty name
	if err != nil || name == "Local" {
		return nil, &ZoneError{name, err}
	}
	return in, nil
}

// Read decodes a JSON file into a value; the path - reads from in, the standard input. Unknown keys are errors.
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
	if err == nil && dec.More() { // anything after the first value would be lost
		err = &FormatError{"the file contains more than one value"}
	}
	if err != nil {
		return &FileError{path, err}
	}
	return nil
}
