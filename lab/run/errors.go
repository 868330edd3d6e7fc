package run

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// PolicyError is a policy name that no policy has.
type PolicyError struct {
	Name  string
	Known []string
}

func (e *PolicyError) Error() string {
	return fmt.Sprintf("unknown policy %q: must be one of %v", e.Name, e.Known)
}
func (e *PolicyError) Kind() remedy.Kind { return remedy.Usage }

// Remedy lists the known policies.
func (e *PolicyError) Remedy() string {
	return "Give --policy one of " + strings.Join(e.Known, ", ") + "."
}

// RunError is a run that could not be completed.
type RunError struct {
	Scenario string
	Cause    error
}

func (e *RunError) Error() string     { return remedy.WithCause("running "+e.Scenario, e.Cause) }
func (e *RunError) Unwrap() error     { return e.Cause }
func (e *RunError) Kind() remedy.Kind { return remedy.Refused }

// Remedy applies where the cause has no remedy of its own.
func (e *RunError) Remedy() string {
	return fmt.Sprintf("Run %s by itself with swifthall lab play to see where it stops.", e.Scenario)
}

// ResultsError is a directory of results that can't be read, written or compared.
type ResultsError struct {
	Operation string
	Dir       string // empty if no single directory is at fault
	Detail    string
	Cause     error
}

func (e *ResultsError) Error() string {
	doing := e.Operation
	if e.Dir != "" && e.Cause != nil && doing == opLoad {
		doing += " " + e.Dir
	}
	if doing == "" {
		return remedy.WithCause(e.Detail, e.Cause)
	}
	return doing + ": " + remedy.WithCause(e.Detail, e.Cause)
}
func (e *ResultsError) Unwrap() error     { return e.Cause }
func (e *ResultsError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the directory and the command that writes results.
func (e *ResultsError) Remedy() string {
	switch {
	case e.Operation == opSave:
		return fmt.Sprintf("Give --out a writable directory instead of %s.", e.Dir)
	case e.Dir == "":
		return "Compare directories that swifthall lab sweep wrote for the same seeds."
	}
	return fmt.Sprintf("Name a directory with results that this version of swifthall lab play or sweep wrote, in place of %s.", e.Dir)
}

const (
	opLoad = "loading"
	opSave = "saving"
	opFind = "looking for results"
)

var errNoCommonSeed = &ResultsError{Detail: "the two sets have no seed in common"}

// HuntError is a hunt without any applicable kind of fault.
type HuntError struct{ Kinds []string }

func (e *HuntError) Error() string     { return "hunt: no kind of fault applies" }
func (e *HuntError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the flag.
func (e *HuntError) Remedy() string {
	return "Name kinds in --only that the scenario can have; swifthall lab list shows all."
}
