package scenario

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// KeyError is a key of a scenario whose value can't be, or that nothing reads.
type KeyError struct {
	Key    string // as in fault[0].at_s; empty where the file can't be read as TOML
	Line   int    // 0 where not told
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
		return fmt.Sprintf("Set %q of the scenario to what is wanted, in its file or with --set; docs/lab.md lists the keys.", e.Key)
	case e.Line > 0:
		return fmt.Sprintf("Mend line %d of the scenario, which is TOML; docs/lab.md lists the keys.", e.Line)
	}
	return "Mend the scenario, which is TOML; docs/lab.md lists the keys."
}

// ClashError is two faults that strike the same at the same time and can't both.
type ClashError struct {
	First, Second int // places in the schedule
	Kinds         [2]string
	FromS, ToS    float64
}

func (e *ClashError) Error() string {
	return fmt.Sprintf("keys \"fault[%d]\" and \"fault[%d]\": %s and %s strike the same at the same time, from %g to %g s",
		e.First, e.Second, e.Kinds[0], e.Kinds[1], e.FromS, e.ToS)
}
func (e *ClashError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names both faults.
func (e *ClashError) Remedy() string {
	return fmt.Sprintf("Move \"fault[%d].at_s\" or \"fault[%d].at_s\", shorten one, or give each a zone of its own.", e.First, e.Second)
}

// FileError is a scenario file that can't be read or worded.
type FileError struct {
	Path  string // empty where no file is meant
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
