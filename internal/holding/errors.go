package holding

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// DirectoryError is a directory of releases that cannot be used.
type DirectoryError struct {
	Path  string
	Cause error
}

func (e *DirectoryError) Error() string     { return remedy.WithCause("releases in "+e.Path, e.Cause) }
func (e *DirectoryError) Unwrap() error     { return e.Cause }
func (e *DirectoryError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key.
func (e *DirectoryError) Remedy() string {
	return fmt.Sprintf("Make the directory in the key \"fleet.releases\" writable; a corrupt %s/%s may be deleted, the door then runs its own configuration and program.", e.Path, stateFile)
}

// DigestError is a released file that is missing, cannot be read or does not match its digest.
type DigestError struct {
	Path, Actual string
	Cause        error
}

func (e *DigestError) Error() string {
	if e.Actual != "" {
		return fmt.Sprintf("%s has the digest %s", e.Path, e.Actual)
	}
	return remedy.WithCause("reading "+e.Path, e.Cause)
}
func (e *DigestError) Unwrap() error     { return e.Cause }
func (e *DigestError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the path where the file is expected.
func (e *DigestError) Remedy() string {
	return fmt.Sprintf("Copy the released file to %s, named by its SHA-256 digest; the door continues unchanged.", e.Path)
}

// StartError is a process of the door that cannot be started or does not become ready.
type StartError struct {
	Program, Reason string
	Cause           error // nil if the process was started but did not become ready
}

func (e *StartError) Error() string     { return remedy.WithCause(e.Program+": "+e.Reason, e.Cause) }
func (e *StartError) Unwrap() error     { return e.Cause }
func (e *StartError) Kind() remedy.Kind { return remedy.Refused }

// Remedy points to the log.
func (e *StartError) Remedy() string {
	return "Check the preceding lines of the log; if the door was running, it continues unchanged."
}
