package release

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// PlanError is an invalid release plan.
type PlanError struct {
	Key, Says string
	Cause     error `json:"-"`
}

func (e *PlanError) Error() string {
	if e.Key == "" {
		return remedy.WithCause("release: "+e.Says, e.Cause)
	}
	return remedy.WithCause(fmt.Sprintf("release: key %q: %s", e.Key, e.Says), e.Cause)
}
func (e *PlanError) Unwrap() error     { return e.Cause }
func (e *PlanError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names an example file and the command that checks a plan.
func (e *PlanError) Remedy() string {
	return "Correct the file according to examples/release.json and docs/releases.md; swifthall release check FILE validates it."
}

// NameError is a release whose name is in use by another release that hasn't ended.
type NameError struct {
	Name  string
	Stage Stage
}

func (e *NameError) Error() string     { return fmt.Sprintf("release %s is %s already", e.Name, e.Stage) }
func (e *NameError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to resolve the conflict.
func (e *NameError) Remedy() string {
	return "Give this release another name, or roll the other one back first."
}

// UnknownError is a command about a release that doesn't exist.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string     { return fmt.Sprintf("release %s is not known", e.Name) }
func (e *UnknownError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the command that lists them.
func (e *UnknownError) Remedy() string { return "swifthall release status lists them." }

// StageError is a command that isn't possible in the present stage of a release.
type StageError struct {
	Name  string
	Stage Stage
	To    string
}

func (e *StageError) Error() string {
	return fmt.Sprintf("release %s is %s: it can't %s", e.Name, e.Stage, e.To)
}
func (e *StageError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the command that shows the release's stage.
func (e *StageError) Remedy() string {
	return "swifthall release status shows its stage and the reason; a halted release can be resumed or rolled back."
}
