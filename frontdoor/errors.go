package frontdoor

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// SocketsError is a door that may hold too few descriptors to serve.
type SocketsError struct{ Allowed int }

func (e *SocketsError) Error() string {
	return fmt.Sprintf("key \"limits.sockets\": %d, or what the system allows, leave none for connections", e.Allowed)
}
func (e *SocketsError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key and the system's limit.
func (e *SocketsError) Remedy() string {
	return "Raise the key \"limits.sockets\", or the process's limit of open files (ulimit -n)."
}

// ListenError is an address that the door can't take clients at.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string     { return remedy.WithCause("listening", e.Cause) }
func (e *ListenError) Unwrap() error     { return e.Cause }
func (e *ListenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the address and the key that sets it.
func (e *ListenError) Remedy() string {
	return fmt.Sprintf("Free %s, or name another address in the key \"listen\" or in GW_LISTEN.", e.Address)
}

// LinkError is why a connection to discovery or to the counter isn't used further. It is logged and dialled again.
type LinkError struct{ Says string }

func (e *LinkError) Error() string     { return e.Says }
func (e *LinkError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says where to look, as the door itself dials again.
func (e *LinkError) Remedy() string {
	return "The door dials again by itself; if this goes on, look at the addresses in the keys \"discovery\" and \"counter\" and at \"limits.sockets\"."
}

var (
	errNoSocket  = &LinkError{"no socket is free"}
	errUncalled  = &LinkError{"a reply to no call"}
	errWatchOver = &LinkError{"the watch was ended"}
)
