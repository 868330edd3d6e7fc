package load

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// RunError is a load run with an invalid parameter.
type RunError struct {
	Parameter string // the invalid parameter, with its value
	Reason    string // what is wrong with it
	Cause     error
}

func (e *RunError) Error() string {
	return "load: " + e.Parameter + ": " + remedy.WithCause(e.Reason, e.Cause)
}
func (e *RunError) Unwrap() error     { return e.Cause }
func (e *RunError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the parameter.
func (e *RunError) Remedy() string {
	return fmt.Sprintf("Change %s; swifthall lab load --help lists the flags.", e.Parameter)
}

// StoppedError is a load run that was interrupted before its end.
type StoppedError struct{ Cause error }

func (e *StoppedError) Error() string     { return remedy.WithCause("load", e.Cause) }
func (e *StoppedError) Unwrap() error     { return e.Cause }
func (e *StoppedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy states that the results are partial.
func (e *StoppedError) Remedy() string {
	return "Run it again and let it finish; the results so far cover only a part of the run."
}

// StaleConnError is a kept-alive connection that the target closed before the request arrived; the request is sent once more on a new one.
type StaleConnError struct{}

func (*StaleConnError) Error() string     { return "the target had closed the connection" }
func (*StaleConnError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy states that no action is needed.
func (*StaleConnError) Remedy() string {
	return "The load generator sends the operation once more on a new connection; this happens less often at a lower --rate."
}

var errStaleConn = &StaleConnError{}
