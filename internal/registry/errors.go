package registry

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ListError is an object of the fleet list that can't be read; the list known so far goes on.
type ListError struct {
	Entry int // that is wrong, from 0; -1 where it is no single one
	Says  string
	Cause error
}

func (e *ListError) Error() string {
	if e.Entry >= 0 {
		return fmt.Sprintf("fleet list: entry %d %s", e.Entry, e.Says)
	}
	return "fleet list: " + remedy.WithCause(e.Says, e.Cause)
}
func (e *ListError) Unwrap() error     { return e.Cause }
func (e *ListError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names who tells the list.
func (e *ListError) Remedy() string {
	return "Mend what the server in the key \"discovery\" tells, or the key \"known\": objects with generation, reset and instances, each with its instanceId."
}

var errLine = &ListError{Entry: -1, Says: "line too long"}
