package jsonstream

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// SyntaxError is a byte that cannot stand at its place in a JSON object.
type SyntaxError struct {
	Offset int // bytes of the object before it, not counting white space between tokens
	Byte   byte
}

func (e *SyntaxError) Error() string {
	if e.Offset == 0 {
		return fmt.Sprintf("%q where an object begins", e.Byte)
	}
	return fmt.Sprintf("%q after %d bytes of an object", e.Byte, e.Offset)
}
func (e *SyntaxError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names what the sender has to change.
func (e *SyntaxError) Remedy() string {
	return "Let the sender write whole JSON objects, one after the other."
}

// SizeError is a JSON object that exceeds the size that is read.
type SizeError struct{ MaxBytes int }

func (e *SizeError) Error() string     { return fmt.Sprintf("an object of more than %d bytes", e.MaxBytes) }
func (e *SizeError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names what the sender has to change.
func (e *SizeError) Remedy() string {
	return fmt.Sprintf("Let the sender write objects of at most %d bytes.", e.MaxBytes)
}
