package wire

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// PositionError is an error with the position in the input or output where it occurred.
type PositionError struct {
	At    string // a line, a door or an event
	Cause error
}

func (e *PositionError) Error() string     { return remedy.WithCause(e.At, e.Cause) }
func (e *PositionError) Unwrap() error     { return e.Cause }
func (e *PositionError) Kind() remedy.Kind { return remedy.Refused }

// Remedy applies if the cause is not a FieldError.
func (e *PositionError) Remedy() string {
	return "Compare what the simulator sent at that position with the simulator's protocol documentation; the adapter has exited."
}

// atPosition wraps an error with a position.
func atPosition(cause error, format string, args ...any) error {
	return &PositionError{fmt.Sprintf(format, args...), cause}
}

// FieldError is an invalid message from the simulator.
type FieldError struct {
	Field  string // empty for the whole message
	Reason string
	Cause  error
}

// notAnObject returns the error for input that is not a JSON object.
func notAnObject(cause error) error { return &FieldError{Reason: "not a JSON object", Cause: cause} }

func (e *FieldError) Error() string {
	text := remedy.WithCause(e.Reason, e.Cause)
	switch {
	case e.Field == "":
		return text
	case e.Cause == nil && e.Reason == "is missing", e.Cause != nil:
		return fmt.Sprintf("field %q %s", e.Field, text)
	}
	return fmt.Sprintf("field %q: %s", e.Field, text)
}
func (e *FieldError) Unwrap() error     { return e.Cause }
func (e *FieldError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the field.
func (e *FieldError) Remedy() string {
	return fmt.Sprintf("Compare the field %q with the simulator's protocol documentation; the adapter may be older than the simulator.", e.Field)
}
