package model

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// StoppedError is a run that was stopped before its end.
type StoppedError struct {
	AtS   float64 // clock at which it was stopped, s
	Cause error
}

func (e *StoppedError) Error() string {
	return remedy.WithCause(fmt.Sprintf("run stopped at %.1f s", e.AtS), e.Cause)
}
func (e *StoppedError) Unwrap() error     { return e.Cause }
func (e *StoppedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that the stopped run left nothing behind.
func (e *StoppedError) Remedy() string {
	return "Run the scenario again and let it end; nothing was written for this run."
}

// WaitError is a run that could not begin because the doors on sockets did not become ready.
type WaitError struct{ Cause error } // nil after a timeout

func (e *WaitError) Error() string {
	if e.Cause == nil {
		return "waiting for the doors: not all are ready"
	}
	return remedy.WithCause("waiting for the doors", e.Cause)
}
func (e *WaitError) Unwrap() error     { return e.Cause }
func (e *WaitError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy points to the doors' logs.
func (e *WaitError) Remedy() string {
	return "Keep the doors' logs with --logs DIR and look for errors there; try fewer doors with --doors."
}
