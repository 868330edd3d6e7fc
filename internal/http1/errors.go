package http1

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// ProtocolError is a message that is not strict HTTP/1.1 or exceeds the size limits.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string     { return e.Reason }
func (e *ProtocolError) Kind() remedy.Kind { return remedy.Refused }

// Remedy points to the sender: the door responds with a 4xx status or closes the connection on its own.
func (e *ProtocolError) Remedy() string {
	return "Make the client or backend that sent it send strict HTTP/1.1: CR LF line ends, one Content-Length or Transfer-Encoding, one Host, heads and bodies within the limits."
}

// StatusError is a response with a status other than 200 to a request for a stream.
type StatusError struct{ Status int }

func (e *StatusError) Error() string     { return fmt.Sprintf("response status %d", e.Status) }
func (e *StatusError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the key that holds the address of the server.
func (e *StatusError) Remedy() string {
	return "Check that the key \"discovery\" names the server of the fleet list; the door redials on its own."
}

// Errors of malformed and oversized messages.
var (
	errHeadSize = &ProtocolError{"head too large"}
	errHead     = &ProtocolError{"malformed head"}
	errBodySize = &ProtocolError{"body too large"}
	errInterim  = &ProtocolError{"too many interim responses"}
	errLineEnds = &ProtocolError{"lines that do not end in CR LF or are folded"}
	errFraming  = &ProtocolError{"ambiguous body length"}
	errHosts    = &ProtocolError{"more than one Host"}
	errUnframed = &ProtocolError{"missing body length"}
	errChunk    = &ProtocolError{"malformed chunk"}
	errSyntax   = &ProtocolError{"malformed header value"}
)
