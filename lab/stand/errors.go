package stand

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// UnplayableError is a day that sockets can't play as it was told.
type UnplayableError struct {
	Fault string // the kind of fault that is in the way; empty where it is something else
	Says  string
	Do    string // what can be done
}

func (e *UnplayableError) Error() string {
	if e.Fault != "" {
		return fmt.Sprintf("fault %s: %s", e.Fault, e.Says)
	}
	return e.Says
}
func (e *UnplayableError) Kind() remedy.Kind { return remedy.Usage }

// Remedy says how it can be played.
func (e *UnplayableError) Remedy() string { return e.Do }

const saysEmbedded = "a door within this process can't be killed: name its program with --door"

// PartyError is a stand-in, a door or a proxy that can't be started or doesn't answer.
type PartyError struct {
	Who   string
	Says  string
	Cause error
}

func (e *PartyError) Error() string     { return e.Who + ": " + remedy.WithCause(e.Says, e.Cause) }
func (e *PartyError) Unwrap() error     { return e.Cause }
func (e *PartyError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names who it is.
func (e *PartyError) Remedy() string {
	return fmt.Sprintf("See that %s can start on this machine: its program built beside the laboratory (go build -o bin/ ./cmd/...), free loopback ports, and open files (ulimit -n); --logs DIR keeps the doors' logs.", e.Who)
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
