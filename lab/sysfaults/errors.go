package sysfaults

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// BuildError is a program that cannot be built with the overlay.
type BuildError struct {
	Command, Output string
	Cause           error
}

func (e *BuildError) Error() string {
	return remedy.WithCause(fmt.Sprintf("building %s with system call faults: %s", e.Command, e.Output), e.Cause)
}
func (e *BuildError) Unwrap() error     { return e.Cause }
func (e *BuildError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the requirements of the build.
func (e *BuildError) Remedy() string {
	return "Check that the go command is on the path and that the command builds without the overlay."
}

// HookError is a function that the overlay does not find in the toolchain's syscall package.
type HookError struct{ Declaration string }

func (e *HookError) Error() string     { return fmt.Sprintf("no function matches %s", e.Declaration) }
func (e *HookError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the declarations to compare.
func (e *HookError) Remedy() string {
	return "Compare the declarations in lab/sysfaults with those of the toolchain's syscall package."
}
