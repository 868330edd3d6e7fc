package command

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
	"github.com/swifthall/swifthall/lab/judge"
)

// BrokenError is a run that broke a rule.
type BrokenError struct {
	Rule  judge.Rule
	Times int    // 0 if not counted
	First string // description of the first violation
}

func (e *BrokenError) Error() string {
	if e.Times == 0 {
		return fmt.Sprintf("rule broken: %s", e.Rule)
	}
	return fmt.Sprintf("rule broken: %s, %d times; first: %s", e.Rule, e.Times, e.First)
}
func (e *BrokenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names where the violations are listed.
func (e *BrokenError) Remedy() string {
	return "\"breaches\" in result.json lists when and where; the same seed reproduces it."
}

// FlagError is a flag with an invalid value.
type FlagError struct {
	Flag   string // with its value if that helps
	Reason string
	Cause  error
}

func (e *FlagError) Error() string     { return e.Flag + ": " + remedy.WithCause(e.Reason, e.Cause) }
func (e *FlagError) Unwrap() error     { return e.Cause }
func (e *FlagError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the flag.
func (e *FlagError) Remedy() string {
	return fmt.Sprintf("Give %s a value that the command's --help allows.", e.Flag)
}

// FileError is a file or directory that a command can't read or write.
type FileError struct {
	Path   string
	Reason string
	Cause  error
}

func (e *FileError) Error() string {
	if e.Reason != "" {
		return remedy.WithCause(e.Path+": "+e.Reason, e.Cause)
	}
	return remedy.WithCause(e.Path, e.Cause)
}
func (e *FileError) Unwrap() error     { return e.Cause }
func (e *FileError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the file.
func (e *FileError) Remedy() string {
	return fmt.Sprintf("Check that %s exists, is what the command's --help asks for, and can be read or written.", e.Path)
}

// KneeError is a search for the knee whose first rate was already too high.
type KneeError struct{ Rate float64 }

func (e *KneeError) Error() string     { return "the first rate did not hold: start with a lower --rate" }
func (e *KneeError) Kind() remedy.Kind { return remedy.Usage }

// Remedy names the rate.
func (e *KneeError) Remedy() string {
	return fmt.Sprintf("Give a --rate under %g, or a longer --p99.", e.Rate)
}

// ScheduleError is a fault schedule on which a rule was broken.
type ScheduleError struct {
	Schedule string
	Seed     uint64
	Rule     string
	Times    int
	First    string
}

func (e *ScheduleError) Error() string {
	return fmt.Sprintf("%s, seed %d: rules broken %d times; first: %s: %s", e.Schedule, e.Seed, e.Times, e.Rule, e.First)
}
func (e *ScheduleError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the command that reproduces it.
func (e *ScheduleError) Remedy() string {
	return fmt.Sprintf("Look at the timeline: swifthall lab procs %s --seed %d --out DIR, then DIR's report.html; schedule.toml there reproduces it.", e.Schedule, e.Seed)
}

// RehearsalError is a rehearsal that broke a rule.
type RehearsalError struct{ Broken string }

func (e *RehearsalError) Error() string     { return "rules broke at " + e.Broken }
func (e *RehearsalError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names what to check and change.
func (e *RehearsalError) Remedy() string {
	return "Do not run the migration this way: try the scenario by itself with swifthall lab play, and allow fewer units out at once with --most-out."
}
