package tally

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// LineError is a line of a door's log that can't be read; nothing of that log is counted.
type LineError struct {
	Line  int // 0 for an error at the end of the log
	Key   string
	Value string
	Cause error
}

func (e *LineError) Error() string {
	at := "after the last line"
	if e.Line > 0 {
		at = fmt.Sprintf("line %d", e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: key %q: %q is not a count", at, e.Key, e.Value)
	}
	return remedy.WithCause(at, e.Cause)
}
func (e *LineError) Unwrap() error     { return e.Cause }
func (e *LineError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the required log format.
func (e *LineError) Remedy() string {
	return "Name logs that doors wrote with the key \"log.format\" at text, whole and unchanged."
}
