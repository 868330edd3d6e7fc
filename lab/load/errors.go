package load

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// RunError is a run that can't be played as it was told.
type RunError struct {
	Parameter string // that is wrong, with its value
	Reason    string
	Cause     error
}

func (e *RunError) Error() string {
	return "load: " + e.Parameter + ": " + remedy.WithCause(e.Reason, e.Cause)
}
func (e *RunError) Unwrap() error     { return e.Cause }
func (e *RunError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the figure.
func (e *RunError) Remedy() string {
	return fmt.Sprintf("Give another figure for %s; swifthall lab load --help lists the flags.", e.Parameter)
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

// CrossedError is a connection that had been closed before the request came: it is sent once more.
type CrossedError struct{}

func (*CrossedError) Error() string     { return "the connection had been closed" }
func (*CrossedError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says that the tool acts by itself.
func (*CrossedError) Remedy() string {
	return "The tool sends the operation once more by itself; a slower --rate meets it less."
}

var errCrossed = &CrossedError{}
