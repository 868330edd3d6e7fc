// Package remedy is what all errors of the project have in common: each has a type of its own, found with errors.As, that
// says in fields what is wrong, in Error in words, and in Remedy what an operator can do.
package remedy

import (
	"errors"
	"fmt"
	"io"
	"slices"
)

// Kind sorts errors by whose move is next.
type Kind int

const (
	Internal      Kind = iota // a fault of the program
	Usage                     // the command line was wrong
	Configuration             // a file, a key or the environment is wrong
	Refused                   // understood, and not done
	Unreachable               // something outside doesn't answer, or isn't there
)

// Error is what each of the project's errors can do.
type Error interface {
	error
	Remedy() string // one sentence that names the key, file, address or command
	Kind() Kind
}

// exits are the codes that a command ends with.
var exits = [...]int{Internal: 1, Usage: 2, Configuration: 3, Refused: 4, Unreachable: 5}

// ExitCode is the code that a command ends with for an error; 0 for none.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	if typed := Typed(err); len(typed) > 0 {
		return exits[typed[0].Kind()]
	}
	return exits[Internal]
}

// Typed lists the project's errors in a tree of them, of each branch the innermost: what stands around it says where it
// came up, and the innermost what can be done.
func Typed(err error) []Error {
	var joined interface{ Unwrap() []error }
	if err == nil {
		return nil
	}
	if errors.As(err, &joined) {
		var all []Error
		for _, e := range joined.Unwrap() {
			all = append(all, Typed(e)...)
		}
		if len(all) > 0 {
			return all
		}
	}
	var inner Error
	for e := err; e != nil; e = errors.Unwrap(e) {
		if typed, ok := e.(Error); ok {
			inner = typed
		}
	}
	if inner == nil {
		return nil
	}
	return []Error{inner}
}

// Of lists what an operator can do about an error, each thing once.
func Of(err error) []string {
	var all []string
	for _, e := range Typed(err) {
		if r := e.Remedy(); !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

// WithCause joins what is wrong with its cause, where there is one.
func WithCause(says string, cause error) string {
	switch {
	case cause == nil:
		return says
	case says == "":
		return cause.Error()
	}
	return says + ": " + cause.Error()
}

// Print prints what is wrong, then what to do.
func Print(out io.Writer, err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(out, "error:", err)
	for _, what := range Of(err) {
		fmt.Fprintln(out, "to do:", what)
	}
}
