package frontdoor

import (
	"fmt"
	"time"

	"github.com/swifthall/swifthall/internal/remedy"
)

// SocketsError is a limit on file descriptors that leaves the door none for connections.
type SocketsError struct{ Allowed int }

func (e *SocketsError) Error() string {
	return fmt.Sprintf("key \"limits.sockets\": %d, or the system's limit, leaves no sockets for connections", e.Allowed)
}
func (e *SocketsError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the configuration key and the system's limit.
func (e *SocketsError) Remedy() string {
	return "Raise the key \"limits.sockets\", or the process's limit of open files (ulimit -n)."
}

// ListenError is a failure to listen for clients on an address.
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

// LinkError is the reason why a connection to discovery or to the counter is closed. The door logs it and dials again.
type LinkError struct{ Reason string }

func (e *LinkError) Error() string     { return e.Reason }
func (e *LinkError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the settings to check if the error persists; the door dials again by itself.
func (e *LinkError) Remedy() string {
	return "The door dials again by itself; if this goes on, look at the addresses in the keys \"discovery\" and \"counter\" and at \"limits.sockets\"."
}

// watchPhase is how far a watch of the fleet list had come.
type watchPhase string

const (
	phaseConnecting watchPhase = "connecting"
	phaseUnanswered watchPhase = "awaiting the first byte of the answer"
	phaseAnswered   watchPhase = "awaiting more of the answer"
)

// WatchError is the end of a watch of the fleet list, with how far it had come. The door calls discovery again.
type WatchError struct {
	Phase    watchPhase
	Waited   time.Duration // in this phase, since the call began or the last byte arrived
	Received int           // bytes of the answer
	Cause    error
}

func (e *WatchError) Error() string {
	return fmt.Sprintf("%v after %v %s, with %d bytes received", e.Cause, e.Waited.Round(time.Millisecond), e.Phase, e.Received)
}
func (e *WatchError) Unwrap() error     { return e.Cause }
func (e *WatchError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the settings to check if the error persists.
func (e *WatchError) Remedy() string {
	return "The door calls discovery again by itself; if this goes on, look at the server in the key \"discovery\" and at how long it takes to answer."
}

var (
	errNoSocket        = &LinkError{"no socket is free"}
	errUnexpectedReply = &LinkError{"a reply without a pending call"}
	errWatchEnded      = &LinkError{"discovery ended the watch"}
	errUnanswered      = &LinkError{"discovery has not answered a call for long"}
	errSuperseded      = &LinkError{"another call of discovery was answered first"}
)
