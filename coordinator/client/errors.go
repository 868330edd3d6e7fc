package client

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/config"
	"github.com/swifthall/swifthall/internal/remedy"
)

// RequestError is a coordinator that can't be asked, or doesn't lead.
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

// Remedy names it.
func (e *RequestError) Remedy() string {
	return fmt.Sprintf("See that coordinator %s runs at %s, or name others with --at or in \"fleet.coordinators\".", e.Coordinator.Name, e.Coordinator.Address)
}

// RefusedError is a question that a coordinator doesn't understand.
type RefusedError struct {
	Coordinator config.NamedAddress
	Reason      string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("coordinator %s: %s", e.Coordinator.Name, e.Reason)
}
func (e *RefusedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what it means.
func (e *RefusedError) Remedy() string {
	return "Use a program of the coordinators' release, or bring them to this one; if they are alike, what was asked is wrong."
}

// NoLeaderError is that no coordinator decides: none was reached, or none of those that were has a majority behind it.
type NoLeaderError struct {
	Asked   []config.NamedAddress
	Reasons []string // by those asked, the latest of each
	index   map[string]int
}

func (e *NoLeaderError) record(a config.NamedAddress, h *Hint, err error) {
	says := err.Error()
	if h != nil && h.Leader == "" {
		says = fmt.Sprintf("%s knows of no leader, for %.0f s", a.Name, h.LeaderSilentMs/1e3)
	}
	if e.index == nil {
		e.index = map[string]int{}
	}
	if i, told := e.index[a.Address]; told {
		e.Reasons[i] = says
		return
	}
	e.index[a.Address] = len(e.Reasons)
	e.Reasons = append(e.Reasons, says)
}

func (e *NoLeaderError) Error() string {
	return "no coordinator decides: " + strings.Join(e.Reasons, "; ")
}
func (e *NoLeaderError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says how to get a majority back.
func (e *NoLeaderError) Remedy() string {
	return "Start the coordinators that are down until more than half run; if those are lost for good, docs/coordinators.md tells how one that is left is restored. " +
		"Doors serve on, and what is out comes back with swifthall undrain --here at the door."
}
