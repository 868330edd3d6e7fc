package planfile

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ZoneError is a time zone name that isn't in the time zone database.
type ZoneError struct {
	Name  string
	Cause error
}

func (e *ZoneError) Error() string {
	return remedy.WithCause(fmt.Sprintf("time zone %q", e.Name), e.Cause)
}
func (e *ZoneError) Unwrap() error     { return e.Cause }
func (e *ZoneError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example of a time zone name.
func (e *ZoneError) Remedy() string {
	return "Use a name such as Europe/Lisbon, or leave it out for UTC."
}

// FileError is a file for the calendar that can't be read or decoded.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string     { return remedy.WithCause(e.Path, e.Cause) }
func (e *FileError) Unwrap() error     { return e.Cause }
func (e *FileError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the example files.
func (e *FileError) Remedy() string {
	return "Write it as examples/entry.json, freeze.json, rules.json or migration.json; docs/calendar.md explains each key."
}

// FormatError is a file that doesn't contain exactly one JSON value.
type FormatError struct{ Detail string }

func (e *FormatError) Error() string     { return e.Detail }
func (e *FormatError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what a file must contain.
func (e *FormatError) Remedy() string { return "Write exactly one JSON object into each file." }
