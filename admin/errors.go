package admin

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ListenError is an address at which a door's status cannot be served.
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

// StatusError is a door whose status cannot be queried.
type StatusError struct {
	Address string
	Reason  string
	Cause   error
}

func (e *StatusError) Error() string {
	if e.Reason != "" {
		return remedy.WithCause("status at "+e.Address+": "+e.Reason, e.Cause)
	}
	return remedy.WithCause("status at "+e.Address, e.Cause)
}
func (e *StatusError) Unwrap() error     { return e.Cause }
func (e *StatusError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the key and the flag.
func (e *StatusError) Remedy() string {
	return fmt.Sprintf("Make sure that a door with the key \"fleet.status\" at %s runs on this machine, or give its address with --at.", e.Address)
}
