package store

import (
	"fmt"

	"github.com/swifthall/swifthall/internal/remedy"
)

// OpenError is a file that can't be opened: another process holds its lock, or it isn't a store.
type OpenError struct {
	Path  string
	Cause error
}

func (e *OpenError) Error() string     { return remedy.WithCause("opening "+e.Path, e.Cause) }
func (e *OpenError) Unwrap() error     { return e.Cause }
func (e *OpenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the file.
func (e *OpenError) Remedy() string {
	return fmt.Sprintf("End the other process that uses %s, or check that its directory exists and is writable; if the file is damaged, move it away, and the coordinator copies the state from the others.", e.Path)
}

// WriteError is a failed write: the disk is full, read-only or faulty. The coordinator ends itself.
type WriteError struct {
	Path  string
	Cause error
}

func (e *WriteError) Error() string     { return remedy.WithCause("writing "+e.Path, e.Cause) }
func (e *WriteError) Unwrap() error     { return e.Cause }
func (e *WriteError) Kind() remedy.Kind { return remedy.Unreachable }

// Remedy says what to do about the disk.
func (e *WriteError) Remedy() string {
	return fmt.Sprintf("Make room on the disk of %s, or make it writable, and restart the coordinator; meanwhile the others continue if they are a majority.", e.Path)
}

// DamagedError is a record whose bytes differ from those that were written.
type DamagedError struct{ Path, What string }

func (e *DamagedError) Error() string     { return fmt.Sprintf("%s: %s is damaged", e.Path, e.What) }
func (e *DamagedError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says how to replace the file.
func (e *DamagedError) Remedy() string {
	return fmt.Sprintf("Remove this coordinator from the cluster, move %s away and add it again empty: it copies the state from the others. Check the disk.", e.Path)
}

// VersionError is a record that a newer release wrote.
type VersionError struct {
	Path string
	Have int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: record of version %d, this release reads up to %d", e.Path, e.Have, Version)
}
func (e *VersionError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy names the releases that can read the record.
func (e *VersionError) Remedy() string {
	return "Start the newer release again; or remove this coordinator from the cluster and add it again with an empty directory."
}

// SnapshotNotFoundError is a snapshot that doesn't exist.
type SnapshotNotFoundError struct{ Path, ID string }

func (e *SnapshotNotFoundError) Error() string {
	return fmt.Sprintf("%s: no snapshot %s", e.Path, e.ID)
}
func (e *SnapshotNotFoundError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that nothing needs to be done.
func (e *SnapshotNotFoundError) Remedy() string {
	return "Nothing: a later snapshot has replaced it, and raft asks for that one."
}
