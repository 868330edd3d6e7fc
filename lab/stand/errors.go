package stand

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// UnsupportedScenarioError is a scenario that cannot be run on sockets with the given options.
type UnsupportedScenarioError struct {
	Fault  string // kind of the unsupported fault; empty if the reason is another
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

// Remedy says how the scenario can be run.
func (e *UnsupportedScenarioError) Remedy() string { return e.Advice }

const embeddedCannotCrash = "doors embedded in this process cannot be killed; give the door's program with --door"

// ComponentError is a stand-in, a door or a proxy that cannot be started or does not answer.
type ComponentError struct {
	Name   string
	Reason string
	Cause  error
}

func (e *ComponentError) Error() string     { return e.Name + ": " + remedy.WithCause(e.Reason, e.Cause) }
func (e *ComponentError) Unwrap() error     { return e.Cause }
func (e *ComponentError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the component.
func (e *ComponentError) Remedy() string {
	return fmt.Sprintf("Check that %s can start on this machine: its program is built next to the laboratory (go build -o bin/ ./cmd/...), loopback ports are free, and enough files may be open (ulimit -n); --logs DIR keeps the doors' logs.", e.Name)
}

// CallError is a counter call that the stand-in cannot parse; it closes the connection.
type CallError struct{}

func (*CallError) Error() string     { return "malformed counter call" }
func (*CallError) Kind() remedy.Kind { return remedy.Refused }

// Remedy points to the door, which made the call.
func (*CallError) Remedy() string {
	return "Check the door that made the call: the stand-in accepts RESP2 arrays of up to 16 short strings."
}

var errCall = &CallError{}
