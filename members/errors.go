package members

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// NameTakenError is a door whose name is in use by another door of the fleet, at another address.
type NameTakenError struct{ Name, Address string }

func (e *NameTakenError) Error() string {
	return fmt.Sprintf("the name %q is in use by the door at %s", e.Name, e.Address)
}
func (e *NameTakenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the setting to change.
func (e *NameTakenError) Remedy() string {
	return "Give this door a unique name with the key \"name\" or GW_NAME; meanwhile it serves, but is no member of the fleet."
}
