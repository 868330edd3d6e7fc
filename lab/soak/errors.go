package soak

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// CallError is a line that is no call of the counter.
type CallError struct{ Line string }

func (e *CallError) Error() string     { return fmt.Sprintf("%q is no call of the counter", e.Line) }
func (e *CallError) Kind() remedy.Kind { return remedy.Internal }

// Remedy says whose fault it is.
func (e *CallError) Remedy() string {
	return "Look at the front door's counter client: it sent this line."
}

// RigError is a part of the rig that can't be set up.
type RigError struct {
	Part  string
	Cause error
}

func (e *RigError) Error() string     { return remedy.WithCause("setting up "+e.Part, e.Cause) }
func (e *RigError) Unwrap() error     { return e.Cause }
func (e *RigError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names what the rig needs.
func (e *RigError) Remedy() string {
	return "Check that the program can be started and that loopback ports are free on this machine."
}
