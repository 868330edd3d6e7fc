package scenarios

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// NameError is a scenario name that is neither a file nor an embedded scenario.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("scenario %q: no such file, and none that ships; those are %s", e.Name, strings.Join(Names(), ", "))
}
func (e *NameError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the command that lists them.
func (e *NameError) Remedy() string {
	return "Name a file, or one that swifthall lab list shows."
}
