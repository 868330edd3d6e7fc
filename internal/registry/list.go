// Package registry reads the fleet list and its watch. It knows no socket.
package registry

import (
	"encoding/json"

	"github.com/swifthall/swifthall/gate"
)

// List is one object of the registry: the whole list, or the entries changed since the one before.
type List struct {
	Version  int64   `json:"generation"`
	Whole    bool    `json:"reset"`
	Backends []Entry `json:"instances"`
}

// Entry is one backend as the registry words it.
type Entry struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Cell    int64   `json:"cell"`
	State   string  `json:"lifecycle"`
	Size    float64 `json:"weight"`
	Started float64 `json:"startedAtMs"`
}

var statuses = map[string]gate.Status{"Ready": gate.Up, "Terminating": gate.Draining, "Gone": gate.Gone}

// Status returns the state in the decisions' terms. What is not known gets nothing new.
func (e *Entry) Status() gate.Status {
	if s, known := statuses[e.State]; known {
		return s
	}
	return gate.Draining
}

// ReadList decodes one object.
func ReadList(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return List{}, &ListError{Entry: -1, Cause: err}
	}
	for i := range l.Backends {
		if l.Backends[i].ID == "" {
			return List{}, &ListError{Entry: i, Says: "has no instanceId"}
		}
	}
	return l, nil
}
