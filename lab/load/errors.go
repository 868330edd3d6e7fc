package load

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// RunError is a run that can't be played as it was told.
type RunError struct {
	What  string // that is wrong, with its value
	Says  string
	Cause error
}

func (e *RunError) Error() string {
	return "load: " + e.What + ": " + remedy.WithCause(e.Says, e.Cause)
}
func (e *RunError) Unwrap() error     { return e.Cause }
func (e *RunError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the figure.
func (e *RunError) Remedy() string {
	return fmt.Sprintf("Give another figure for %s; swifthall lab load --help lists the flags.", e.What)
}

// StoppedError is a run that was ended before its time.
type StoppedError struct{ Cause error }

func (e *StoppedError) Error() string     { return remedy.WithCause("load", e.Cause) }
func (e *StoppedError) Unwrap() error     { return e.Cause }
func (e *StoppedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what the figures are worth.
func (e *StoppedError) Remedy() string {
	return "Run it again and let it end; the figures so far are of a part."
}

// StaleConnError is a connection that had been closed before the request came: it is sent once more.
type StaleConnError struct{}

func (*StaleConnError) Error() string     { return "the connection had been closed" }
func (*StaleConnError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says that the tool acts by itself.
func (*StaleConnError) Remedy() string {
	return "The tool sends the operation once more by itself; a slower --rate meets it less."
}

var errStaleConn = &StaleConnError{}
