package rehearse

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// StepsError is a migration without steps.
type StepsError struct{}

func (e *StepsError) Error() string     { return "there are no steps to rehearse" }
func (e *StepsError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key.
func (e *StepsError) Remedy() string {
	return "Write the steps under \"steps\", as examples/migration.json has them."
}

// ActionError is a step whose key "do" can't be read.
type ActionError struct {
	Step  int
	Cause error
}

func (e *ActionError) Error() string {
	return remedy.WithCause(fmt.Sprintf("step %d, key \"do\"", e.Step), e.Cause)
}
func (e *ActionError) Unwrap() error     { return e.Cause }
func (e *ActionError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what is wanted.
func (e *ActionError) Remedy() string {
	return "One of drain, release and manual is wanted, as docs/calendar.md tells."
}

// ScenarioError is a scenario whose day has no room for what is rehearsed.
type ScenarioError struct{ Cause error }

func (e *ScenarioError) Error() string {
	return remedy.WithCause("the steps on the scenario's day", e.Cause)
}
func (e *ScenarioError) Unwrap() error     { return e.Cause }
func (e *ScenarioError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what to change.
func (e *ScenarioError) Remedy() string {
	return "Take a scenario without faults of the same kind, as --scenario calm, or a longer day with --set day.seconds=120."
}
