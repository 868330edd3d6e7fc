package main

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/permits"
)

// AtError is a list of coordinators that can't be read.
type AtError struct{ Text string }

func (e *AtError) Error() string     { return fmt.Sprintf("%q is not name/address", e.Text) }
func (e *AtError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example.
func (e *AtError) Remedy() string {
	return "Name coordinators as --at c-1/10.0.0.1:7981,c-2/10.0.0.2:7981, by their key \"api\"."
}

// KindError is a word that names nothing that can go out.
type KindError struct{ Text string }

func (e *KindError) Error() string {
	return fmt.Sprintf("%q: door, backend or zone, and a name, are wanted", e.Text)
}
func (e *KindError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the command that lists names.
func (e *KindError) Remedy() string { return "swifthall status lists all units by kind and name." }

// ReasonError is a change without who and why.
type ReasonError struct{}

func (e *ReasonError) Error() string     { return "who and why are wanted for the audit" }
func (e *ReasonError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the flags.
func (e *ReasonError) Remedy() string { return "Give --why \"...\", and --who where USER is not set." }

// UntilError is a time that can't be read, or is over.
type UntilError struct{ Text string }

func (e *UntilError) Error() string     { return fmt.Sprintf("--until %q is no time to come", e.Text) }
func (e *UntilError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example.
func (e *UntilError) Remedy() string { return "Give --until 2026-12-24T18:00:00Z, or --for 2h." }

// BudgetsError is a file of budgets that can't be read.
type BudgetsError struct {
	Path  string
	Cause error
}

func (e *BudgetsError) Error() string     { return remedy.WithCause("budgets of "+e.Path, e.Cause) }
func (e *BudgetsError) Unwrap() error     { return e.Cause }
func (e *BudgetsError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names an example.
func (e *BudgetsError) Remedy() string {
	return "Write a list of budgets as examples/budgets.json does; swifthall budgets shows the present ones in that form."
}

// DrainTimeoutError is a drain that isn't done in time: somebody has not confirmed.
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
	return fmt.Sprintf("%s %s is not drained so far, for %s%s", e.UnitKind, e.Name, strings.Join(e.Pending, ", "), doors)
}
func (e *DrainTimeoutError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what may be in the way.
func (e *DrainTimeoutError) Remedy() string {
	return "Look at those doors: one that is away may still send until it is seen to have ended; swifthall forget door NAME says that it is gone for good."
}

// NumberError is a word that is no entry's number.
type NumberError struct{ Text string }

func (e *NumberError) Error() string {
	return fmt.Sprintf("%q: a number, or a number with its revision, is wanted", e.Text)
}
func (e *NumberError) Kind() remedy.Kind { return remedy.Usage }

// Remedy gives an example.
func (e *NumberError) Remedy() string {
	return "Name it as 7 or 7@3; swifthall calendar lists them so."
}

// ConflictError is a change that would meet something in its window.
type ConflictError struct{ Name string }

func (e *ConflictError) Error() string     { return e.Name + " is not entered: something is in its way" }
func (e *ConflictError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what can be done.
func (e *ConflictError) Remedy() string {
	return "Take one of the free windows, or enter it with --anyway: it begins if the way is clear by then."
}

// StepError is a step of a migration's file that can't be read.
type StepError struct {
	Step  int
	Cause error
}

func (e *StepError) Error() string     { return remedy.WithCause(fmt.Sprintf("step %d", e.Step), e.Cause) }
func (e *StepError) Unwrap() error     { return e.Cause }
func (e *StepError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says where to look.
func (e *StepError) Remedy() string { return "Set that step right, as examples/migration.json has it." }
