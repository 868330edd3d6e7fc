package registry

import (
	"errors"
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ListError is an invalid object of the fleet list; the list received so far stays in use.
type ListError struct {
	Entry  int // index of the invalid entry; -1 if the error concerns no single entry
	Reason string
	Object string // beginning of the object, if it came from a watch
	Length int    // bytes of the object, if it came from a watch
	Cause  error
}

const maxExcerpt = 40 // bytes of an object that an error shows

// withObject adds the object that a watch received to a ListError.
func withObject(err error, raw []byte) error {
	if list := (*ListError)(nil); errors.As(err, &list) {
		list.Object, list.Length = string(raw[:min(len(raw), maxExcerpt)]), len(raw)
	}
	return err
}

func (e *ListError) Error() string {
	text := remedy.WithCause(e.Reason, e.Cause)
	if e.Entry >= 0 {
		text = fmt.Sprintf("entry %d %s", e.Entry, e.Reason)
	}
	if e.Length > 0 {
		text += fmt.Sprintf(", in an object of %d bytes that begins with %q", e.Length, e.Object)
	}
	return "fleet list: " + text
}
func (e *ListError) Unwrap() error     { return e.Cause }
func (e *ListError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the sources of the list.
func (e *ListError) Remedy() string {
	return "Fix the list sent by the server in the key \"discovery\", or the key \"known\": it consists of objects with generation, reset and instances, each with its instanceId."
}
