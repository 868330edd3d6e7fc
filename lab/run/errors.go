package run

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// PolicyError is a word that no policy has for its name.
type PolicyError struct {
	Name  string
	Known []string
}

func (e *PolicyError) Error() string {
	return fmt.Sprintf("policy %q: one of %v is wanted", e.Name, e.Known)
}
func (e *PolicyError) Kind() remedy.Kind { return remedy.Usage }

// Remedy lists the policies.
func (e *PolicyError) Remedy() string {
	return "Give --policy one of " + strings.Join(e.Known, ", ") + "."
}

// RunError is a day that could not be played to its end.
type RunError struct {
	Scenario string
	Cause    error
}

func (e *RunError) Error() string     { return remedy.WithCause("playing "+e.Scenario, e.Cause) }
func (e *RunError) Unwrap() error     { return e.Cause }
func (e *RunError) Kind() remedy.Kind { return remedy.Refused }

// Remedy holds where the cause has none.
func (e *RunError) Remedy() string {
	return fmt.Sprintf("Play %s alone with swifthall lab play to see what it stops at.", e.Scenario)
}

// ResultsError is a folder of results that can't be read, written or compared.
type ResultsError struct {
	Operation string
	Dir       string // empty where no folder is to blame
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

// Remedy names the folder and the command that fills one.
func (e *ResultsError) Remedy() string {
	switch {
	case e.Operation == opSave:
		return fmt.Sprintf("Give --out a folder that can be written in place of %s.", e.Dir)
	case e.Dir == "":
		return "Compare folders that swifthall lab sweep filled over the same seeds."
	}
	return fmt.Sprintf("Have %s hold results that swifthall lab play or sweep wrote, all by this version.", e.Dir)
}

const (
	opLoad = "loading"
	opSave = "saving"
	opFind = "looking for results"
)

var errNoCommonSeed = &ResultsError{Detail: "no seed is in both"}

// HuntError is a hunt with nothing to try.
type HuntError struct{ Kinds []string }

func (e *HuntError) Error() string     { return "hunt: no kind of fault is left to try" }
func (e *HuntError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the flag.
func (e *HuntError) Remedy() string {
	return "Name kinds in --only that the scenario can have; swifthall lab list shows all."
}
