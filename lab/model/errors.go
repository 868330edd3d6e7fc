package model

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// StoppedError is a day that was ended before its time.
type StoppedError struct {
	AtS   float64
	Cause error
}

func (e *StoppedError) Error() string {
	return remedy.WithCause(fmt.Sprintf("day stopped at %.1f s", e.AtS), e.Cause)
}
func (e *StoppedError) Unwrap() error     { return e.Cause }
func (e *StoppedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what became of the day.
func (e *StoppedError) Remedy() string {
	return "Play the day again and let it end; nothing was written of this one."
}

// WaitError is a day that could not begin, as doors on sockets didn't get ready.
type WaitError struct{ Cause error } // nil where the time was over

func (e *WaitError) Error() string {
	if e.Cause == nil {
		return "waiting for the doors: not all are ready"
	}
	return remedy.WithCause("waiting for the doors", e.Cause)
}
func (e *WaitError) Unwrap() error     { return e.Cause }
func (e *WaitError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names where doors say why.
func (e *WaitError) Remedy() string {
	return "Keep the doors' logs with --logs DIR and look for errors there; try fewer doors with --doors."
}
