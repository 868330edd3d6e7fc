package main

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/permits"
)

// AtError is a list of coordinators that can't be parsed.
type AtError struct{ Text string }

func (e *AtError) Error() string {
	return fmt.Sprintf("%q does not have the form name/address", e.Text)
}
func (e *AtError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example.
func (e *AtError) Remedy() string {
	return "Name coordinators as --at c-1/10.0.0.1:7981,c-2/10.0.0.2:7981, with the addresses of their key \"api\"."
}

// KindError is an argument that isn't the kind of anything that can be drained, or a missing name.
type KindError struct{ Text string }

func (e *KindError) Error() string {
	return fmt.Sprintf("%q: expected door, backend or zone, and a name", e.Text)
}
func (e *KindError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the command that lists the units.
func (e *KindError) Remedy() string { return "swifthall status lists all units by kind and name." }

// ReasonError is a change without the name of the operator or a reason.
type ReasonError struct{}

func (e *ReasonError) Error() string     { return "the audit log requires --who and --why" }
func (e *ReasonError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the flags.
func (e *ReasonError) Remedy() string { return "Give --why \"...\", and --who where USER is not set." }

// UntilError is a time that can't be parsed or has passed.
type UntilError struct{ Text string }

func (e *UntilError) Error() string {
	return fmt.Sprintf("--until %q is not a time in the future", e.Text)
}
func (e *UntilError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example.
func (e *UntilError) Remedy() string { return "Give --until 2026-12-24T18:00:00Z, or --for 2h." }

// BudgetsError is a file of budgets that can't be read or decoded.
type BudgetsError struct {
	Path  string
	Cause error
}

func (e *BudgetsError) Error() string     { return remedy.WithCause("budgets of "+e.Path, e.Cause) }
func (e *BudgetsError) Unwrap() error     { return e.Cause }
func (e *BudgetsError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names an example file.
func (e *BudgetsError) Remedy() string {
	return "Write a list of budgets as in examples/budgets.json; swifthall budgets prints the present ones in that form."
}

// DrainTimeoutError is a drain that isn't complete within the time limit: a unit or a door has not confirmed it.
type DrainTimeoutError struct {
	UnitKind       permits.Kind
	Name           string
	Pending, Doors []string
}

func (e *DrainTimeoutError) Error() string {
	doors := ""
	if len(e.Doors) > 0 {
		doors = "; doors that have not confirmed: " + strings.Join(e.Doors, ", ")
	}
	return fmt.Sprintf("%s %s is not drained yet; it waits for %s%s", e.UnitKind, e.Name, strings.Join(e.Pending, ", "), doors)
}
func (e *DrainTimeoutError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the likely cause and the commands to resolve it.
func (e *DrainTimeoutError) Remedy() string {
	return "Check those doors: one that is away may still send until it is seen to have ended. If a door is gone permanently, remove it with swifthall forget door NAME."
}

// NumberError is an argument that isn't the number of an entry, freeze or migration.
type NumberError struct{ Text string }

func (e *NumberError) Error() string {
	return fmt.Sprintf("%q: expected a number, or a number with its revision", e.Text)
}
func (e *NumberError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example.
func (e *NumberError) Remedy() string {
	return "Write it as 7 or 7@3; swifthall calendar lists the numbers in that form."
}

// ConflictError is a change that conflicts with something in its window.
type ConflictError struct{ Name string }

func (e *ConflictError) Error() string {
	return e.Name + " is not added: it conflicts with what is in its window"
}
func (e *ConflictError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to avoid or override the conflict.
func (e *ConflictError) Remedy() string {
	return "Use one of the free windows, or add it with --anyway: it starts if nothing blocks it by then."
}

// StepError is a step in the file of a migration that can't be converted to a change.
type StepError struct {
	Step  int
	Cause error
}

func (e *StepError) Error() string     { return remedy.WithCause(fmt.Sprintf("step %d", e.Step), e.Cause) }
func (e *StepError) Unwrap() error     { return e.Cause }
func (e *StepError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names an example file.
func (e *StepError) Remedy() string {
	return "Correct that step; examples/migration.json is an example."
}
