package soak

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// CallError is a line that is not part of a valid call to the counter.
type CallError struct{ Line string }

func (e *CallError) Error() string {
	return fmt.Sprintf("%q is not part of a valid call to the counter", e.Line)
}
func (e *CallError) Kind() remedy.Kind { return remedy.Internal }

// Remedy names the sender of the line.
func (e *CallError) Remedy() string {
	return "Check the front door's counter client, which sent this line."
}

// RigError is a part of the test rig that cannot be set up.
type RigError struct {
	Part  string
	Cause error
}

func (e *RigError) Error() string     { return remedy.WithCause("setting up "+e.Part, e.Cause) }
func (e *RigError) Unwrap() error     { return e.Cause }
func (e *RigError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the requirements of the rig.
func (e *RigError) Remedy() string {
	return "Check that the program can be started and that loopback ports are free on this machine."
}
