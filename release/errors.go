package release

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// PlanError is a release's file that can't be used.
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

// Remedy names an example.
func (e *PlanError) Remedy() string {
	return "Mend the file, as examples/release.json and docs/releases.md have it; swifthall release check FILE says whether it can be used."
}

// NameError is a release whose name another one that is under way has.
type NameError struct {
	Name  string
	Stage Stage
}

func (e *NameError) Error() string     { return fmt.Sprintf("release %s is %s already", e.Name, e.Stage) }
func (e *NameError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what to do.
func (e *NameError) Remedy() string {
	return "Give this one another name, or have the other go back first."
}

// UnknownError is a release that isn't known.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string     { return fmt.Sprintf("release %s is not known", e.Name) }
func (e *UnknownError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the command that lists them.
func (e *UnknownError) Remedy() string { return "swifthall release status lists them." }

// StageError is something that a release can't do as it stands.
type StageError struct {
	Name  string
	Stage Stage
	To    string
}

func (e *StageError) Error() string {
	return fmt.Sprintf("release %s is %s: it can't %s", e.Name, e.Stage, e.To)
}
func (e *StageError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the command that tells more.
func (e *StageError) Remedy() string {
	return "swifthall release status says how it stands and why; one that is halted may be resumed or go back."
}
