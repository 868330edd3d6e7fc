package procs

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// NameError is a schedule that is neither a file nor one that ships.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("schedule %q: no such file, and none that ships; those are %s", e.Name, strings.Join(Names(), ", "))
}
func (e *NameError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the command that lists them.
func (e *NameError) Remedy() string {
	return "Name a file, or one that swifthall lab procs --list shows."
}

// StoppedError is a play that was ended before its time.
type StoppedError struct {
	AtS   float64
	Cause error
}

func (e *StoppedError) Error() string {
	return remedy.WithCause(fmt.Sprintf("play stopped at %.1f s", e.AtS), e.Cause)
}
func (e *StoppedError) Unwrap() error     { return e.Cause }
func (e *StoppedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what became of the play.
func (e *StoppedError) Remedy() string { return "Play it again and let it end; nothing was judged." }

// RigError is something that the rig needs of this machine and can't have.
type RigError struct {
	What  string
	Cause error
}

func (e *RigError) Error() string     { return remedy.WithCause("rig: "+e.What, e.Cause) }
func (e *RigError) Unwrap() error     { return e.Cause }
func (e *RigError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names what it is.
func (e *RigError) Remedy() string {
	return fmt.Sprintf("See that this machine gives %s: programs built by go build -o bin/ ./cmd/..., free loopback ports, room in the temporary folder, open files (ulimit -n).", e.What)
}

// ProcessLimitError is more processes than one machine plays well.
type ProcessLimitError struct{ Doors int }

func (e *ProcessLimitError) Error() string {
	return fmt.Sprintf("%d doors, up to %d processes are played", e.Doors, maxProcesses)
}
func (e *ProcessLimitError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the flags.
func (e *ProcessLimitError) Remedy() string { return "Give --doors 12, or play it with --on sim." }

// DoorsError is doors that did not start, or did not find each other.
type DoorsError struct{ Reasons []string }

func (e *DoorsError) Error() string     { return "doors: " + strings.Join(e.Reasons, "; ") }
func (e *DoorsError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names where they say why.
func (e *DoorsError) Remedy() string {
	return "Keep the processes' logs with --logs DIR and look there for errors and what to do."
}
