package config

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// KeyError is an invalid value of a configuration key, or of a key in the simulator's settings.
type KeyError struct {
	Key    string // full path, as in pace.redial_ms; empty for the whole file
	Reason string
	Cause  error
	Owner  string // kind of process that the file belongs to; empty for a door
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("key %q: %s", e.Key, remedy.WithCause(e.Reason, e.Cause))
}
func (e *KeyError) Unwrap() error     { return e.Cause }
func (e *KeyError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key and the command that checks the file.
func (e *KeyError) Remedy() string {
	if e.Owner != "" {
		return fmt.Sprintf("Set the key %q in the %s's file; swifthall coordinate --check reports whether the file is valid.", e.Key, e.Owner)
	}
	if e.Key == "" {
		return "Fix the JSON of the file that GW_CONFIG names; swifthall check FILE reports whether the file is valid."
	}
	return fmt.Sprintf("Set the key %q in the file that GW_CONFIG names; swifthall check FILE reports whether the file is valid.", e.Key)
}

func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// FileError is a configuration file that is not set or cannot be read.
type FileError struct {
	Path  string // empty if GW_CONFIG is not set
	Cause error
}

func (e *FileError) Error() string {
	if e.Path == "" {
		return "GW_CONFIG is not set: it names the configuration file"
	}
	return remedy.WithCause("GW_CONFIG", e.Cause)
}
func (e *FileError) Unwrap() error     { return e.Cause }
func (e *FileError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the variable or the file.
func (e *FileError) Remedy() string {
	if e.Path == "" {
		return "Set GW_CONFIG to the path of a configuration file, such as examples/config.json."
	}
	return fmt.Sprintf("Set GW_CONFIG to a file that the door can read; it is set to %s.", e.Path)
}

// ReportError is a backend load report with more values than the settings name.
type ReportError struct{ Values, Named int }

func (e *ReportError) Error() string {
	return fmt.Sprintf("%d values where the settings name %d", e.Values, e.Named)
}
func (e *ReportError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key that lists the values of a report.
func (e *ReportError) Remedy() string {
	return fmt.Sprintf("List all %d values that backends report in the key \"settings.reporting.names\".", e.Values)
}
