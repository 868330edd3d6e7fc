package resp

import "github.com/swifthall/swifthall/internal/remedy"

// FormError is a reply of the counter that isn't RESP2; its connection is closed and dialled again.
type FormError struct{ Says string }

func (e *FormError) Error() string     { return e.Says }
func (e *FormError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the key of the one who answered.
func (e *FormError) Remedy() string {
	return "Check that the key \"counter\" names the shared counter, which answers in RESP2; the door dials again by itself."
}

var errForm = &FormError{"counter: malformed reply"}
