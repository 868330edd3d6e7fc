package stand

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// UnsupportedScenarioError is a day that sockets can't play as it was told.
type UnsupportedScenarioError struct {
	Fault  string // the kind of fault that is in the way; empty where it is something else
	Reason string
	Advice string // what can be done
}

func (e *UnsupportedScenarioError) Error() string {
	if e.Fault != "" {
		return fmt.Sprintf("fault %s: %s", e.Fault, e.Reason)
	}
	return e.Reason
}
func (e *UnsupportedScenarioError) Kind() remedy.Kind { return remedy.Usage }

// Remedy says how it can be played.
func (e *UnsupportedScenarioError) Remedy() string { return e.Advice }

const embeddedCannotCrash = "a door within this process can't be killed: name its program with --door"

// ComponentError is a stand-in, a door or a proxy that can't be started or doesn't answer.
type ComponentError struct {
	Name   string
	Reason string
	Cause  error
}

func (e *ComponentError) Error() string     { return e.Name + ": " + remedy.WithCause(e.Reason, e.Cause) }
func (e *ComponentError) Unwrap() error     { return e.Cause }
func (e *ComponentError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names who it is.
func (e *ComponentError) Remedy() string {
	return fmt.Sprintf("See that %s can start on this machine: its program built beside the laboratory (go build -o bin/ ./cmd/...), free loopback ports, and open files (ulimit -n); --logs DIR keeps the doors' logs.", e.Name)
}

// CallError is a call of the counter that the stand-in can't read; it ends the connection.
type CallError struct{}

func (*CallError) Error() string     { return "malformed call" }
func (*CallError) Kind() remedy.Kind { return remedy.Refused }

// Remedy points to the door, which made the call.
func (*CallError) Remedy() string {
	return "Look at the door's side: the stand-in reads RESP2 arrays of up to 16 short strings."
}

var errCall = &CallError{}
