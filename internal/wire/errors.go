package wire

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// PlaceError is where on the wire something went wrong.
type PlaceError struct {
	At    string // a line, a door, an event
	Cause error
}

func (e *PlaceError) Error() string     { return remedy.WithCause(e.At, e.Cause) }
func (e *PlaceError) Unwrap() error     { return e.Cause }
func (e *PlaceError) Kind() remedy.Kind { return remedy.Refused }

// Remedy holds where no FieldError stands within.
func (e *PlaceError) Remedy() string {
	return "Compare what the simulator sent in that place with its page on the wire; the adapter has ended."
}

func at(cause error, format string, args ...any) error {
	return &PlaceError{fmt.Sprintf(format, args...), cause}
}

// FieldError is a message of the simulator that can't be read.
type FieldError struct {
	Field string // empty for the whole message
	Says  string
	Cause error
}

func (e *FieldError) Error() string {
	says := remedy.WithCause(e.Says, e.Cause)
	switch {
	case e.Field == "":
		return says
	case e.Cause == nil && e.Says == "is missing", e.Cause != nil:
		return fmt.Sprintf("field %q %s", e.Field, says)
	}
	return fmt.Sprintf("field %q: %s", e.Field, says)
}
func (e *FieldError) Unwrap() error     { return e.Cause }
func (e *FieldError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the field.
func (e *FieldError) Remedy() string {
	return fmt.Sprintf("Compare the field %q with the simulator's page on the wire; the adapter may be older than the simulator.", e.Field)
}
