package resp

import "github.com/swifthall/swifthall/internal/remedy"

// ProtocolError is a reply of the counter that violates RESP2; its connection is closed and redialled.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string     { return e.Reason }
func (e *ProtocolError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the key that holds the address of the counter.
func (e *ProtocolError) Remedy() string {
	return "Check that the key \"counter\" names the shared counter, which must reply in RESP2; the door redials on its own."
}

var errMalformed = &ProtocolError{"counter: malformed reply"}
