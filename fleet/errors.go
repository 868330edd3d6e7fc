package fleet

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// BindError is an address that a door can't take its fleet's messages at.
type BindError struct {
	Address string
	Cause   error
}

func (e *BindError) Error() string     { return remedy.WithCause("fleet at "+e.Address, e.Cause) }
func (e *BindError) Unwrap() error     { return e.Cause }
func (e *BindError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the key.
func (e *BindError) Remedy() string {
	return fmt.Sprintf("Free %s, or name another address of this machine in the key \"fleet.listen\".", e.Address)
}

// PeerError is a peer that can't be joined: it doesn't answer, or isn't of this fleet.
type PeerError struct {
	Address string
	Cause   error
}

func (e *PeerError) Error() string     { return remedy.WithCause("peer "+e.Address, e.Cause) }
func (e *PeerError) Unwrap() error     { return e.Cause }
func (e *PeerError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the keys.
func (e *PeerError) Remedy() string {
	return fmt.Sprintf("See that a door of the same \"fleet.name\" listens at %s, or take it out of \"fleet.peers\"; the door serves on and asks again.", e.Address)
}

// VersionError is a door that speaks another version of the fleet's messages; it isn't taken for a member.
type VersionError struct {
	Peer, Address string
	Speaks, Wants int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s at %s speaks version %d of the fleet's messages, this door %d", e.Peer, e.Address, e.Speaks, e.Wants)
}
func (e *VersionError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names both.
func (e *VersionError) Remedy() string {
	return fmt.Sprintf("Bring %s and this door to releases that speak the same version (swifthall version), or give one another \"fleet.name\".", e.Peer)
}

// StrangerError is one that speaks for another fleet, or for none.
type StrangerError struct{ Peer, Address, Fleet, Wants string }

func (e *StrangerError) Error() string {
	return fmt.Sprintf("%s at %s is of fleet %q, this door of %q", e.Peer, e.Address, e.Fleet, e.Wants)
}
func (e *StrangerError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the key.
func (e *StrangerError) Remedy() string {
	return fmt.Sprintf("Take %s out of \"fleet.peers\", or give both doors the same \"fleet.name\".", e.Address)
}

// MessageError is what came to a door's fleet address and can't be read; it is dropped.
type MessageError struct {
	What  string // a message or a state
	Cause error
}

func (e *MessageError) Error() string     { return remedy.WithCause("an unreadable "+e.What, e.Cause) }
func (e *MessageError) Unwrap() error     { return e.Cause }
func (e *MessageError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what it means.
func (e *MessageError) Remedy() string {
	return "See that nothing but doors of this release reaches the key \"fleet.listen\": the fleet's network must be private."
}
