package planfile

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ZoneError is a time zone that nobody knows.
type ZoneError struct {
	Name  string
	Cause error
}

func (e *ZoneError) Error() string {
	return remedy.WithCause(fmt.Sprintf("time zone %q", e.Name), e.Cause)
}
func (e *ZoneError) Unwrap() error     { return e.Cause }
func (e *ZoneError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example.
func (e *ZoneError) Remedy() string { return "Name a zone as Europe/Lisbon, or none for UTC." }

// FileError is a file for the calendar that can't be read.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string     { return remedy.WithCause(e.Path, e.Cause) }
func (e *FileError) Unwrap() error     { return e.Cause }
func (e *FileError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the examples.
func (e *FileError) Remedy() string {
	return "Write it as examples/entry.json, freeze.json, rules.json or migration.json; docs/calendar.md explains each key."
}

// FormError is a file that holds something else than one value.
type FormError struct{ Says string }

func (e *FormError) Error() string     { return e.Says }
func (e *FormError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what is wanted.
func (e *FormError) Remedy() string { return "Write one object into each file." }
