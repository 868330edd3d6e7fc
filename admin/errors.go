package admin

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ListenError is an address at which a door's status can't be told.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string     { return remedy.WithCause("status at "+e.Address, e.Cause) }
func (e *ListenError) Unwrap() error     { return e.Cause }
func (e *ListenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the key.
func (e *ListenError) Remedy() string {
	return fmt.Sprintf("Free %s, or name another loopback address in the key \"fleet.status\".", e.Address)
}

// AskError is a door whose status can't be had.
type AskError struct {
	Address string
	Says    string
	Cause   error
}

func (e *AskError) Error() string {
	if e.Says != "" {
		return remedy.WithCause("status at "+e.Address+": "+e.Says, e.Cause)
	}
	return remedy.WithCause("status at "+e.Address, e.Cause)
}
func (e *AskError) Unwrap() error     { return e.Cause }
func (e *AskError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the key and the flag.
func (e *AskError) Remedy() string {
	return fmt.Sprintf("See that a door with the key \"fleet.status\" at %s runs on this machine, or name its address with --at.", e.Address)
}
