package coordinator

import (
	"errors"
	"fmt"

	"github.com/swifthall/swifthall/coordinator/client"
	"github.com/swifthall/swifthall/internal/remedy"
)

// StartError is a coordinator that can't begin by what its store holds.
type StartError struct {
	Name  string
	Cause error
}

func (e *StartError) Error() string     { return remedy.WithCause("coordinator "+e.Name, e.Cause) }
func (e *StartError) Unwrap() error     { return e.Cause }
func (e *StartError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what to do.
func (e *StartError) Remedy() string {
	return "See that the folder in the key \"data\" is this coordinator's own; put a damaged one aside, remove the coordinator from the others and add it again empty."
}

// ListenError is an address that a coordinator can't listen at.
type ListenError struct {
	Key, Address string
	Cause        error
}

func (e *ListenError) Error() string     { return remedy.WithCause("listening at "+e.Address, e.Cause) }
func (e *ListenError) Unwrap() error     { return e.Cause }
func (e *ListenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the key.
func (e *ListenError) Remedy() string {
	return fmt.Sprintf("Free %s, or name another address of this machine in the key %q.", e.Address, e.Key)
}

// UnknownOutcomeError is a command that may have happened or not: its coordinator lost the lead, or its majority, meanwhile.
type UnknownOutcomeError struct {
	Name  string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return remedy.WithCause("coordinator "+e.Name+" can't say whether it happened", e.Cause)
}
func (e *UnknownOutcomeError) Unwrap() error     { return e.Cause }
func (e *UnknownOutcomeError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says what to do.
func (e *UnknownOutcomeError) Remedy() string {
	return "Give the command again with its number, as programs do by themselves: it happens once; or ask for the status."
}

// NotLeaderError is a coordinator that doesn't lead.
type NotLeaderError struct {
	Name string
	Hint client.Hint
}

func (e *NotLeaderError) Error() string {
	if e.Hint.Leader == "" {
		return fmt.Sprintf("coordinator %s: %s", e.Name, e.Hint.Reason)
	}
	return fmt.Sprintf("coordinator %s doesn't lead, %s does", e.Name, e.Hint.Leader)
}
func (e *NotLeaderError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says whom to ask.
func (e *NotLeaderError) Remedy() string {
	if e.Hint.Leader == "" {
		return "Start the coordinators that are down until more than half run."
	}
	return fmt.Sprintf("Ask %s at %s.", e.Hint.Leader, e.Hint.API)
}

// MajorityError is a removal that would leave no majority.
type MajorityError struct {
	Name                 string
	Remaining, Answering int
}

func (e *MajorityError) Error() string {
	return fmt.Sprintf("without %s %d coordinators would be left, of which %d answer", e.Name, e.Remaining, e.Answering)
}
func (e *MajorityError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what to do first.
func (e *MajorityError) Remedy() string {
	return "Add another coordinator first, or start those that don't answer."
}

// RouteError is a coordinator that has no route of its own: it is reached where it says.
type RouteError struct{ Name string }

func (e *RouteError) Error() string     { return "no route to " + e.Name }
func (e *RouteError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that it is no matter.
func (e *RouteError) Remedy() string {
	return "Nothing, where it can be reached as it says; else name it in the key \"routes\"."
}

// CalendarError is a change of the coordinators that the calendar doesn't let through.
type CalendarError struct{ Cause error }

func (e *CalendarError) Error() string     { return remedy.WithCause("coordinators", e.Cause) }
func (e *CalendarError) Unwrap() error     { return e.Cause }
func (e *CalendarError) Kind() remedy.Kind { return remedy.Refused }

// Remedy is the calendar's own.
func (e *CalendarError) Remedy() string {
	var own remedy.Error
	if errors.As(e.Cause, &own) {
		return own.Remedy()
	}
	return "Look at the calendar with swifthall calendar."
}

// DeliveryError is a file or a command that could not be told of an event of the calendar.
type DeliveryError struct {
	Receiver string
	Cause    error
}

func (e *DeliveryError) Error() string     { return remedy.WithCause(e.Receiver, e.Cause) }
func (e *DeliveryError) Unwrap() error     { return e.Cause }
func (e *DeliveryError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the keys.
func (e *DeliveryError) Remedy() string {
	return "See that the file of \"calendar.events\" can be written, and that the command of \"calendar.hook\" ends with 0 in time; swifthall history has what was not told."
}
