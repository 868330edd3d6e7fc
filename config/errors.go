package config

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// KeyError is a key of the configuration, or of a simulator's settings, whose value can't be used.
type KeyError struct {
	Key   string // with the keys it stands under, as in pace.redial_ms; empty for the whole file
	Says  string
	Cause error
	In    string // whose file, where it isn't a door's
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("key %q: %s", e.Key, remedy.WithCause(e.Says, e.Cause))
}
func (e *KeyError) Unwrap() error     { return e.Cause }
func (e *KeyError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key and how to see whether it is mended.
func (e *KeyError) Remedy() string {
	if e.In != "" {
		return fmt.Sprintf("Set the key %q in the %s's file; swifthall coordinate --check says whether it can be started.", e.Key, e.In)
	}
	if e.Key == "" {
		return "Mend the JSON of the file that GW_CONFIG names; swifthall check FILE says whether it can be served."
	}
	return fmt.Sprintf("Set the key %q in the file that GW_CONFIG names; swifthall check FILE says whether it can be served.", e.Key)
}

func keyFault(key, format string, args ...any) error {
	return &KeyError{Key: key, Says: fmt.Sprintf(format, args...)}
}

// FileError is a configuration file that isn't named or can't be read.
type FileError struct {
	Path  string // empty where none is named
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
	return fmt.Sprintf("Have GW_CONFIG name a file that the door may read; it names %s.", e.Path)
}

// ReportError is a backend's load report with more values than the settings name.
type ReportError struct{ Values, Named int }

func (e *ReportError) Error() string {
	return fmt.Sprintf("%d values where the settings name %d", e.Values, e.Named)
}
func (e *ReportError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key that says what reports hold.
func (e *ReportError) Remedy() string {
	return fmt.Sprintf("Name all %d values that backends report in the key \"settings.reporting.names\".", e.Values)
}
