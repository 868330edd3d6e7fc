package members

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// NameTakenError is a door whose name another door of the fleet has, at another address.
type NameTakenError struct{ Name, Address string }

func (e *NameTakenError) Error() string {
	return fmt.Sprintf("the name %q is that of the door at %s", e.Name, e.Address)
}
func (e *NameTakenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the key.
func (e *NameTakenError) Remedy() string {
	return "Give this door a name of its own in the key \"name\" or in GW_NAME; it serves meanwhile, and is no member of the fleet."
}
