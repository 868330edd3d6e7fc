package coordinator

import (
	"errors"
	"fmt"

	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/remedy"
)

// StartError is a coordinator that can't start from the contents of its store.
type StartError struct {
	Name  string
	Cause error
}

func (e *StartError) Error() string     { return remedy.WithCause("coordinator "+e.Name, e.Cause) }
func (e *StartError) Unwrap() error     { return e.Cause }
func (e *StartError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to check and replace the data directory.
func (e *StartError) Remedy() string {
	return "Check that the directory in the key \"data\" belongs to this coordinator. If it is damaged, move it away, remove this coordinator from the others, and add it again with an empty directory."
}

// ListenError is an address on which a coordinator can't listen.
type ListenError struct {
	Key, Address string
	Cause        error
}

func (e *ListenError) Error() string     { return remedy.WithCause("listening on "+e.Address, e.Cause) }
func (e *ListenError) Unwrap() error     { return e.Cause }
func (e *ListenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the address and the key.
func (e *ListenError) Remedy() string {
	return fmt.Sprintf("Free %s, or set the key %q to another address of this machine.", e.Address, e.Key)
}

// UnknownOutcomeError is a command of which it is unknown whether it was applied: its coordinator lost the leadership or the majority
// before it could confirm the command.
type UnknownOutcomeError struct {
	Name  string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return remedy.WithCause("coordinator "+e.Name+" doesn't know whether the command was applied", e.Cause)
}
func (e *UnknownOutcomeError) Unwrap() error     { return e.Cause }
func (e *UnknownOutcomeError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says how to repeat the command.
func (e *UnknownOutcomeError) Remedy() string {
	return "Repeat the command with the same number, as the programs do on their own: it is applied only once. Or query the status."
}

// NotLeaderError is a request that only the leader can answer, sent to another coordinator.
type NotLeaderError struct {
	Name string
	Hint client.Hint
}

func (e *NotLeaderError) Error() string {
	if e.Hint.Leader == "" {
		return fmt.Sprintf("coordinator %s: %s", e.Name, e.Hint.Reason)
	}
	return fmt.Sprintf("coordinator %s isn't the leader, %s is", e.Name, e.Hint.Leader)
}
func (e *NotLeaderError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the leader, or says how to get one.
func (e *NotLeaderError) Remedy() string {
	if e.Hint.Leader == "" {
		return "Start coordinators that are down until a majority runs."
	}
	return fmt.Sprintf("Send the request to %s at %s.", e.Hint.Leader, e.Hint.API)
}

// MajorityError is a removal of a coordinator after which no majority of the others would answer.
type MajorityError struct {
	Name                 string
	Remaining, Answering int
}

func (e *MajorityError) Error() string {
	return fmt.Sprintf("without %s %d coordinators would remain, of which %d answer", e.Name, e.Remaining, e.Answering)
}
func (e *MajorityError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to get a majority first.
func (e *MajorityError) Remedy() string {
	return "Add another coordinator first, or start those that don't answer."
}

// RouteError is a coordinator without a configured route; raft then uses the address that it advertises.
type RouteError struct{ Name string }

func (e *RouteError) Error() string     { return "no route to " + e.Name }
func (e *RouteError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says when a route is needed.
func (e *RouteError) Remedy() string {
	return "Nothing to do if the coordinator can be reached at the address it advertises; otherwise add it to the key \"routes\"."
}

// CalendarError is a change of the set of coordinators that the calendar rejects.
type CalendarError struct{ Cause error }

func (e *CalendarError) Error() string     { return remedy.WithCause("coordinators", e.Cause) }
func (e *CalendarError) Unwrap() error     { return e.Cause }
func (e *CalendarError) Kind() remedy.Kind { return remedy.Refused }

// Remedy returns the remedy of the calendar's error.
func (e *CalendarError) Remedy() string {
	var own remedy.Error
	if errors.As(e.Cause, &own) {
		return own.Remedy()
	}
	return "Check the calendar with swifthall calendar."
}

// DeliveryError is a file or a command to which an event of the calendar could not be delivered.
type DeliveryError struct {
	Receiver string
	Cause    error
}

func (e *DeliveryError) Error() string     { return remedy.WithCause(e.Receiver, e.Cause) }
func (e *DeliveryError) Unwrap() error     { return e.Cause }
func (e *DeliveryError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the keys of the receivers.
func (e *DeliveryError) Remedy() string {
	return "Check that the file in \"calendar.events\" is writable, and that the command in \"calendar.hook\" exits with 0 within \"calendar.hook_ms\"; swifthall history shows the events that were not delivered."
}
