package procs

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// NameError is a schedule name that is neither a file nor a shipped schedule, or an unknown kind of rollout or migration.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("schedule %q: no such file and no such shipped schedule; shipped are %s", e.Name, strings.Join(Names(), ", "))
}
func (e *NameError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the command that lists the shipped schedules.
func (e *NameError) Remedy() string {
	return "Give the name of a file or of a schedule that swifthall lab procs --list shows."
}

// StoppedError is a run that was cancelled before its end.
type StoppedError struct {
	AtS   float64
	Cause error
}

func (e *StoppedError) Error() string {
	return remedy.WithCause(fmt.Sprintf("run stopped at %.1f s", e.AtS), e.Cause)
}
func (e *StoppedError) Unwrap() error     { return e.Cause }
func (e *StoppedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that the run must be repeated.
func (e *StoppedError) Remedy() string { return "Run it again and let it finish; nothing was checked." }

// RigError is a resource of this machine that the rig needs and could not get.
type RigError struct {
	What  string
	Cause error
}

func (e *RigError) Error() string     { return remedy.WithCause("rig: "+e.What, e.Cause) }
func (e *RigError) Unwrap() error     { return e.Cause }
func (e *RigError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the resource and what usually is missing.
func (e *RigError) Remedy() string {
	return fmt.Sprintf("Make sure that this machine provides %s: programs built by go build -o bin/ ./cmd/..., free loopback ports, space in the temporary directory, open files (ulimit -n).", e.What)
}

// ProcessLimitError is a run with more processes than one machine can run with meaningful timing.
type ProcessLimitError struct{ Doors int }

func (e *ProcessLimitError) Error() string {
	return fmt.Sprintf("%d doors: at most %d processes are supported", e.Doors, maxProcesses)
}
func (e *ProcessLimitError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the flags that reduce the number of processes.
func (e *ProcessLimitError) Remedy() string {
	return "Use --doors 12, or run it in virtual time with --on sim."
}

// DoorsError is a failure of doors or coordinators to start, to find each other or to serve.
type DoorsError struct{ Reasons []string }

func (e *DoorsError) Error() string     { return "doors: " + strings.Join(e.Reasons, "; ") }
func (e *DoorsError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy names the logs that show the cause.
func (e *DoorsError) Remedy() string {
	return "Keep the processes' logs with --logs DIR and look there for errors and their remedies."
}
