package http1

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// FormError is a message that can't be taken: its bytes are not HTTP/1.1 as the door speaks it, or are too many.
type FormError struct{ Says string }

func (e *FormError) Error() string     { return e.Says }
func (e *FormError) Kind() remedy.Kind { return remedy.Refused }

// Remedy points to the sender: the door answers 4xx, or ends the connection, by itself.
func (e *FormError) Remedy() string {
	return "Have the client or backend that sent it send strict HTTP/1.1: CR LF, one word on the length, one Host, heads and bodies within the limits."
}

// StatusError is an answer other than 200 where a stream was asked for.
type StatusError struct{ Status int }

func (e *StatusError) Error() string     { return fmt.Sprintf("answer %d", e.Status) }
func (e *StatusError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the key of the one who answered.
func (e *StatusError) Remedy() string {
	return "Check that the key \"discovery\" names the fleet list's server; the door dials again by itself."
}

var (
	errHeadSize = &FormError{"head too large"}
	errHead     = &FormError{"malformed head"}
	errBodySize = &FormError{"body too large"}
	errAhead    = &FormError{"too many answers ahead"}
	errLines    = &FormError{"lines that do not end in CR LF, or are folded"}
	errFraming  = &FormError{"more than one word on the length"}
	errHosts    = &FormError{"more than one host"}
	errUnframed = &FormError{"no word on the length"}
	errChunk    = &FormError{"malformed chunk"}
	errForm     = &FormError{"not in the protocol's form"}
)
