package registry

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ListError is an invalid object of the fleet list; the list received so far stays in use.
type ListError struct {
	Entry  int // index of the invalid entry; -1 if the error concerns no single entry
	Reason string
	Cause  error
}

func (e *ListError) Error() string {
	if e.Entry >= 0 {
		return fmt.Sprintf("fleet list: entry %d %s", e.Entry, e.Reason)
	}
	return "fleet list: " + remedy.WithCause(e.Reason, e.Cause)
}
func (e *ListError) Unwrap() error     { return e.Cause }
func (e *ListError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the sources of the list.
func (e *ListError) Remedy() string {
	return "Fix the list sent by the server in the key \"discovery\", or the key \"known\": it consists of objects with generation, reset and instances, each with its instanceId."
}

var errLine = &ListError{Entry: -1, Reason: "line too long"}
