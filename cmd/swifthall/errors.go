package main

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// CheckError is a configuration with which a door would not start; its errors have already been printed.
type CheckError struct {
	Errors int
	File   string
}

func (e *CheckError) Error() string     { return "the configuration cannot be served" }
func (e *CheckError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the file.
func (e *CheckError) Remedy() string {
	return fmt.Sprintf("Correct each of the keys named above in %s, and check again: %d to go.", e.File, e.Errors)
}

// ProgramError is another of the project's programs that can't be found or started.
type ProgramError struct {
	Name, Path string // Path is empty if the program was not found
	Cause      error
}

func (e *ProgramError) Error() string {
	if e.Path == "" {
		return remedy.WithCause(e.Name+" is neither in the directory of this program nor in PATH", e.Cause)
	}
	return remedy.WithCause("starting "+e.Path, e.Cause)
}
func (e *ProgramError) Unwrap() error     { return e.Cause }
func (e *ProgramError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the command that builds the program.
func (e *ProgramError) Remedy() string {
	return fmt.Sprintf("Build it with go build -o bin/ ./cmd/... and keep %s in the directory of swifthall.", e.Name)
}
