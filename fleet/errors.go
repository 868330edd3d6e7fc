package fleet

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// BindError is an address that a door can't bind for its fleet's messages.
type BindError struct {
	Address string
	Cause   error
}

func (e *BindError) Error() string     { return remedy.WithCause("fleet address "+e.Address, e.Cause) }
func (e *BindError) Unwrap() error     { return e.Cause }
func (e *BindError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the setting to change.
func (e *BindError) Remedy() string {
	return fmt.Sprintf("Free %s, or name another address of this machine in the key \"fleet.listen\".", e.Address)
}

// PeerError is a peer that can't be joined: it doesn't answer, or isn't a door of this fleet.
type PeerError struct {
	Address string
	Cause   error
}

func (e *PeerError) Error() string     { return remedy.WithCause("joining peer "+e.Address, e.Cause) }
func (e *PeerError) Unwrap() error     { return e.Cause }
func (e *PeerError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the settings to check.
func (e *PeerError) Remedy() string {
	return fmt.Sprintf("Check that a door with the same \"fleet.name\" listens at %s, or remove it from \"fleet.peers\"; the door keeps serving and tries again.", e.Address)
}

// VersionError is a door that uses another version of the fleet's messages; it is rejected as a member.
type VersionError struct {
	Peer, Address string
	Have, Want    int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s at %s uses version %d of the fleet's messages, this door %d", e.Peer, e.Address, e.Have, e.Want)
}
func (e *VersionError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the doors to update.
func (e *VersionError) Remedy() string {
	return fmt.Sprintf("Update %s or this door to a release that uses the same version (swifthall version), or give one of them another \"fleet.name\".", e.Peer)
}

// FleetMismatchError is a node that belongs to another fleet, or to none.
type FleetMismatchError struct{ Peer, Address, Fleet, Want string }

func (e *FleetMismatchError) Error() string {
	return fmt.Sprintf("%s at %s belongs to fleet %q, this door to %q", e.Peer, e.Address, e.Fleet, e.Want)
}
func (e *FleetMismatchError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the settings to change.
func (e *FleetMismatchError) Remedy() string {
	return fmt.Sprintf("Remove %s from \"fleet.peers\", or give both doors the same \"fleet.name\".", e.Address)
}

// MessageError is data received at a door's fleet address that can't be decoded; it is dropped.
type MessageError struct {
	What  string // "message" or "state"
	Cause error
}

func (e *MessageError) Error() string     { return remedy.WithCause("malformed "+e.What, e.Cause) }
func (e *MessageError) Unwrap() error     { return e.Cause }
func (e *MessageError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what may have sent it.
func (e *MessageError) Remedy() string {
	return "Make sure that only doors of this release can reach the address in \"fleet.listen\": the fleet's network must be private."
}
