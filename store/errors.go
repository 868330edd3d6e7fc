package store

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// OpenError is a file that can't be opened: another process has it, or it isn't a store.
type OpenError struct {
	Path  string
	Cause error
}

func (e *OpenError) Error() string     { return remedy.WithCause("opening "+e.Path, e.Cause) }
func (e *OpenError) Unwrap() error     { return e.Cause }
func (e *OpenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the file.
func (e *OpenError) Remedy() string {
	return fmt.Sprintf("End the other process that has %s, or see that its folder is there and may be written to; a damaged file is put aside, and the coordinator takes all from the others.", e.Path)
}

// WriteError is a write that failed: the disk is full, read-only or broken. The coordinator ends itself.
type WriteError struct {
	Path  string
	Cause error
}

func (e *WriteError) Error() string     { return remedy.WithCause("writing "+e.Path, e.Cause) }
func (e *WriteError) Unwrap() error     { return e.Cause }
func (e *WriteError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says what to do.
func (e *WriteError) Remedy() string {
	return fmt.Sprintf("Make room, or make the disk under %s writable, and start the coordinator again; the others decide meanwhile if they are a majority.", e.Path)
}

// DamagedError is a record whose bytes aren't those that were written.
type DamagedError struct{ Path, What string }

func (e *DamagedError) Error() string     { return fmt.Sprintf("%s: %s is damaged", e.Path, e.What) }
func (e *DamagedError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what to do.
func (e *DamagedError) Remedy() string {
	return fmt.Sprintf("Remove this coordinator from the others, put %s aside and add it again empty: it takes all from them; look at the disk.", e.Path)
}

// VersionError is a record written by a newer release.
type VersionError struct {
	Path string
	Have int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: a record of version %d, this release reads up to %d", e.Path, e.Have, Version)
}
func (e *VersionError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what to do.
func (e *VersionError) Remedy() string {
	return "Start the newer release again; or remove this coordinator from the others and add it again with an empty folder."
}

// UnknownError is a snapshot that isn't there.
type UnknownError struct{ Path, ID string }

func (e *UnknownError) Error() string     { return fmt.Sprintf("%s: no snapshot %s", e.Path, e.ID) }
func (e *UnknownError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that it is no matter.
func (e *UnknownError) Remedy() string {
	return "Nothing: a later one has taken its place; raft asks for that."
}
