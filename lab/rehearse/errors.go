package rehearse

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// StepsError is a migration without steps.
type StepsError struct{}

func (e *StepsError) Error() string     { return "no steps to rehearse" }
func (e *StepsError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key.
func (e *StepsError) Remedy() string {
	return "List the steps under \"steps\", as in examples/migration.json."
}

// ActionError is a step whose key "do" is invalid.
type ActionError struct {
	Step  int
	Cause error
}

func (e *ActionError) Error() string {
	return remedy.WithCause(fmt.Sprintf("step %d, key \"do\"", e.Step), e.Cause)
}
func (e *ActionError) Unwrap() error     { return e.Cause }
func (e *ActionError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the valid actions.
func (e *ActionError) Remedy() string {
	return "Use one of drain, release and manual, as described in docs/calendar.md."
}

// ScenarioError is a scenario into which the faults of the rehearsal can't be inserted.
type ScenarioError struct{ Cause error }

func (e *ScenarioError) Error() string {
	return remedy.WithCause("inserting the steps into the scenario", e.Cause)
}
func (e *ScenarioError) Unwrap() error     { return e.Cause }
func (e *ScenarioError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names what to change.
func (e *ScenarioError) Remedy() string {
	return "Use a scenario without faults of the same kinds, such as --scenario calm, or a longer run with --set day.seconds=120."
}
