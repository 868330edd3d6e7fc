package scenario

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// KeyError is a key of a scenario that is unknown or has an invalid value.
type KeyError struct {
	Key    string // such as fault[0].at_s; empty if the file is not valid TOML
	Line   int    // 0 if unknown
	Reason string
	Cause  error
}

func (e *KeyError) Error() string {
	text := remedy.WithCause(e.Reason, e.Cause)
	switch {
	case e.Key != "" && e.Line > 0:
		return fmt.Sprintf("key %q: %s (line %d)", e.Key, text, e.Line)
	case e.Key != "":
		return fmt.Sprintf("key %q: %s", e.Key, text)
	case e.Line > 0:
		return fmt.Sprintf("line %d: %s", e.Line, text)
	}
	return "toml: " + text
}
func (e *KeyError) Unwrap() error     { return e.Cause }
func (e *KeyError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key or the line.
func (e *KeyError) Remedy() string {
	switch {
	case e.Key != "":
		return fmt.Sprintf("Set %q of the scenario to a valid value, in its file or with --set; docs/lab.md lists the keys.", e.Key)
	case e.Line > 0:
		return fmt.Sprintf("Correct line %d of the scenario, which is TOML; docs/lab.md lists the keys.", e.Line)
	}
	return "Correct the scenario, which is TOML; docs/lab.md lists the keys."
}

// ConflictError is two faults that can't have the same target at the same time.
type ConflictError struct {
	First, Second int // indices into the schedule
	Kinds         [2]string
	FromS, ToS    float64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("keys \"fault[%d]\" and \"fault[%d]\": %s and %s conflict from %g to %g s",
		e.First, e.Second, e.Kinds[0], e.Kinds[1], e.FromS, e.ToS)
}
func (e *ConflictError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names both faults.
func (e *ConflictError) Remedy() string {
	return fmt.Sprintf("Move \"fault[%d].at_s\" or \"fault[%d].at_s\", shorten one, or give each a zone of its own.", e.First, e.Second)
}

// FileError is a scenario file that can't be read or encoded.
type FileError struct {
	Path  string // empty if there is no file
	Cause error
}

func (e *FileError) Error() string {
	if e.Path == "" {
		return remedy.WithCause("scenario", e.Cause)
	}
	return remedy.WithCause("scenario "+e.Path, e.Cause)
}
func (e *FileError) Unwrap() error     { return e.Cause }
func (e *FileError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the file.
func (e *FileError) Remedy() string {
	return fmt.Sprintf("Name a scenario file that can be read in place of %q; swifthall lab list names those that ship.", e.Path)
}
