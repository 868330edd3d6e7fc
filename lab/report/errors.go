package report

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// WriteError is a report that can't be drawn or written.
type WriteError struct {
	What  string // a figure or a file
	Cause error
}

func (e *WriteError) Error() string     { return remedy.WithCause("report: "+e.What, e.Cause) }
func (e *WriteError) Unwrap() error     { return e.Cause }
func (e *WriteError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the file or figure.
func (e *WriteError) Remedy() string {
	return fmt.Sprintf("Check that %s can be written; the figures are also in result.json.", e.What)
}
