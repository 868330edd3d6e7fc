// Package remedy defines the interface of the project's errors. Each error has a type of its own, which can be found with
// errors.As; its fields and Error describe the problem, and Remedy tells an operator how to solve it.
package remedy

import (
	"errors"
	"fmt"
	"io"
	"slices"
)

// Kind classifies errors by their cause and determines the exit code.
type Kind int

const (
	Internal      Kind = iota // an error of the program itself
	Usage                     // the command line is invalid
	Configuration             // a file, a key or the environment is invalid
	Refused                   // the request was understood and rejected
	Unreachable               // something external does not respond or does not exist
)

// Error is the interface that all errors of the project implement.
type Error interface {
	error
	Remedy() string // one sentence that names the key, file, address or command
	Kind() Kind
}

// exitCodes are the exit codes of commands by kind of error.
var exitCodes = [...]int{Internal: 1, Usage: 2, Configuration: 3, Refused: 4, Unreachable: 5}

// ExitCode returns the exit code of a command that ends with the given error, or 0 if it is nil.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	if typed := Typed(err); len(typed) > 0 {
		return exitCodes[typed[0].Kind()]
	}
	return exitCodes[Internal]
}

// Typed returns the project's errors in a tree of errors. Of each branch it returns the innermost one: the outer errors describe
// where the problem occurred, the innermost one describes what can be done.
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

// Of returns the distinct remedies for an error.
func Of(err error) []string {
	var all []string
	for _, e := range Typed(err) {
		if r := e.Remedy(); !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	return all
}

// WithCause appends the text of a cause, if there is one, to a description of the problem.
func WithCause(text string, cause error) string {
	switch {
	case cause == nil:
		return text
	case text == "":
		return cause.Error()
	}
	return text + ": " + cause.Error()
}

// Print prints an error and its remedies.
func Print(out io.Writer, err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(out, "error:", err)
	for _, action := range Of(err) {
		fmt.Fprintln(out, "to do:", action)
	}
}
