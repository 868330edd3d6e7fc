package client

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/remedy"
)

// RequestError is a request that a coordinator didn't answer, because it can't be reached, failed or doesn't lead.
type RequestError struct {
	Coordinator config.NamedAddress
	Reason      string
	Cause       error
}

func (e *RequestError) Error() string {
	return remedy.WithCause(strings.TrimSuffix(fmt.Sprintf("coordinator %s at %s: %s", e.Coordinator.Name, e.Coordinator.Address, e.Reason), ": "), e.Cause)
}
func (e *RequestError) Unwrap() error     { return e.Cause }
func (e *RequestError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the coordinator.
func (e *RequestError) Remedy() string {
	return fmt.Sprintf("Check that coordinator %s runs at %s, or name others with --at or in \"fleet.coordinators\".", e.Coordinator.Name, e.Coordinator.Address)
}

// RefusedError is a request that a coordinator rejected as invalid or not allowed.
type RefusedError struct {
	Coordinator config.NamedAddress
	Reason      string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("coordinator %s: %s", e.Coordinator.Name, e.Reason)
}
func (e *RefusedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to correct the request.
func (e *RefusedError) Remedy() string {
	return "If the message names no other remedy, use a program of the same release as the coordinators; if the releases are equal, the request is wrong."
}

// NoLeaderError is a request that found no leader: no coordinator was reached, or none of those reached has a majority.
type NoLeaderError struct {
	Asked   []config.NamedAddress
	Reasons []string       // latest failure of each coordinator
	index   map[string]int // index in Reasons by address
}

// record sets the latest failure of a coordinator.
func (e *NoLeaderError) record(a config.NamedAddress, h *Hint, err error) {
	reason := err.Error()
	if h != nil && h.Leader == "" {
		reason = fmt.Sprintf("%s has had no contact with a leader for %.0f s", a.Name, h.LeaderSilentMs/1e3)
	}
	if e.index == nil {
		e.index = map[string]int{}
	}
	if i, known := e.index[a.Address]; known {
		e.Reasons[i] = reason
		return
	}
	e.index[a.Address] = len(e.Reasons)
	e.Reasons = append(e.Reasons, reason)
}

func (e *NoLeaderError) Error() string {
	return "no coordinator leads: " + strings.Join(e.Reasons, "; ")
}
func (e *NoLeaderError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says how to restore a majority.
func (e *NoLeaderError) Remedy() string {
	return "Start coordinators that are down until a majority runs. If they are lost permanently, docs/coordinators.md explains how to restore a remaining one. " +
		"Doors continue to serve; swifthall undrain --here returns a drained door to service without the coordinators."
}
