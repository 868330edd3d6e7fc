package holding

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// FolderError is a folder of releases that can't be used.
type FolderError struct {
	Path  string
	Cause error
}

func (e *FolderError) Error() string     { return remedy.WithCause("releases in "+e.Path, e.Cause) }
func (e *FolderError) Unwrap() error     { return e.Cause }
func (e *FolderError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the key.
func (e *FolderError) Remedy() string {
	return fmt.Sprintf("See that the folder in the key \"fleet.releases\" may be written to; a damaged %s/%s may be deleted, the door then runs its own file and program.", e.Path, stateName)
}

// DigestError is a file that isn't what its digest names, or isn't there.
type DigestError struct {
	Path, Is string
	Cause    error
}

func (e *DigestError) Error() string {
	if e.Is != "" {
		return fmt.Sprintf("%s has the digest %s", e.Path, e.Is)
	}
	return remedy.WithCause("reading "+e.Path, e.Cause)
}
func (e *DigestError) Unwrap() error     { return e.Cause }
func (e *DigestError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what to do.
func (e *DigestError) Remedy() string {
	return fmt.Sprintf("Copy the file that was released to %s, named by its sha256; the door runs on as it was.", e.Path)
}

// StartError is a process of the door that can't be started, or can't serve.
type StartError struct {
	Program, Says string
	Cause         error // nil where it was started and then could not serve
}

func (e *StartError) Error() string     { return remedy.WithCause(e.Program+": "+e.Says, e.Cause) }
func (e *StartError) Unwrap() error     { return e.Cause }
func (e *StartError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names where it says why.
func (e *StartError) Remedy() string {
	return "Look at the lines before this one in the log; the door runs on as it was, if it ran."
}
