// Package registry decodes the fleet list and parses the watch that streams its changes. It does not access sockets.
package registry

import (
	"encoding/json"

	"github.com/swifthall/swifthall/gate"
)

// List is one object of the stream: the complete list, or the entries that have changed since the previous object.
type List struct {
	Version  int64   `json:"generation"`
	Whole    bool    `json:"reset"`
	Backends []Entry `json:"instances"`
}

// Entry is the registry entry of one backend.
type Entry struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Cell    int64   `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"startedAtMs"`
}

var statuses = map[string]gate.Status{"Ready": gate.Up, "Terminating": gate.Draining, "Gone": gate.Gone}

// Status converts the state for the decision engine. A backend in an unknown state is draining: it receives no new requests.
func (e *Entry) Status() gate.Status {
	if s, known := statuses[e.State]; known {
		return s
	}
	return gate.Draining
}

// ReadList decodes one object. Every entry must have an id.
func ReadList(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return List{}, &ListError{Entry: -1, Cause: err}
	}
	for i := range l.Backends {
		if l.Backends[i].ID == "" {
			return List{}, &ListError{Entry: i, Reason: "has no instanceId"}
		}
	}
	return l, nil
}
