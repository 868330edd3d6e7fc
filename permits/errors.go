package permits

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// DeniedError is a permit request that would take more units out than a budget allows.
type DeniedError struct {
	Unit    string
	Budget  Budget
	Zone    string   // zone for which the budget was counted; empty for the fleet
	Reason  string   `json:"Says"` // the limit that was exceeded
	Blocked []string // units that count as out
}

func (e *DeniedError) Error() string {
	of := "the fleet"
	if e.Zone != "" {
		of = "zone " + e.Zone
	}
	return fmt.Sprintf("%s %s stays: %s in %s; out are %s", e.Budget.Kind, e.Unit, e.Reason, of, strings.Join(e.Blocked, ", "))
}
func (e *DeniedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the units that are out.
func (e *DeniedError) Remedy() string {
	return fmt.Sprintf("Wait until one of %s is back, ready and warm, write one off by name with a reason, or raise the budget.", strings.Join(e.Blocked, ", "))
}

// HaltedError is a permit that was requested or confirmed while a halt is in force.
type HaltedError struct{ Who, Why string }

func (e *HaltedError) Error() string     { return fmt.Sprintf("halted by %s: %s", e.Who, e.Why) }
func (e *HaltedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names who ordered the halt.
func (e *HaltedError) Remedy() string {
	return fmt.Sprintf("Ask %s, then resume; units that are out may come back meanwhile.", e.Who)
}

// UnknownError is a command about a unit, a permit or a drain that doesn't exist.
type UnknownError struct{ What string }

func (e *UnknownError) Error() string     { return e.What + " is not known" }
func (e *UnknownError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says where the names are listed.
func (e *UnknownError) Remedy() string {
	return "Name a unit that has been seen, or a permit that is still in force; the status lists both."
}

// StaleError is a permit that may not be used any more: it was replaced or ended, or its hold has expired.
type StaleError struct {
	Number uint64
	Reason string `json:"Says"`
}

func (e *StaleError) Error() string     { return fmt.Sprintf("permit %d: %s", e.Number, e.Reason) }
func (e *StaleError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what the holder does next.
func (e *StaleError) Remedy() string {
	return "The holder must not go out; it returns the permit by itself and requests a new one."
}

// TakenError is a request for a unit that already has a permit.
type TakenError struct {
	Unit   string
	Number uint64
	Who    string
}

func (e *TakenError) Error() string {
	return fmt.Sprintf("%s has permit %d, for %s", e.Unit, e.Number, e.Who)
}
func (e *TakenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the permit's owner.
func (e *TakenError) Remedy() string {
	return fmt.Sprintf("Leave it to %s, or have that permit withdrawn first.", e.Who)
}

// RepeatError is a command that is older than the latest one of its caller.
type RepeatError struct {
	Caller string
	Seq    uint64
}

func (e *RepeatError) Error() string {
	return fmt.Sprintf("command %d of %s comes after a later one", e.Seq, e.Caller)
}
func (e *RepeatError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that no action is needed.
func (e *RepeatError) Remedy() string {
	return "No action is needed: the caller has sent later commands since; query the status."
}

// FormatError is a file or message that can't be decoded, or a value that can't be encoded.
type FormatError struct {
	What  string
	Cause error
}

func (e *FormatError) Error() string     { return remedy.WithCause(e.What+" can't be read", e.Cause) }
func (e *FormatError) Unwrap() error     { return e.Cause }
func (e *FormatError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the likely causes.
func (e *FormatError) Remedy() string {
	return "Run coordinators and doors of releases that support it; if all run the same release, the file or the message is damaged."
}

// VersionError is a saved state that a newer release wrote.
type VersionError struct{ Have int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("the state is of version %d, this release reads up to %d", e.Have, Version)
}
func (e *VersionError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says how to start this coordinator.
func (e *VersionError) Remedy() string {
	return "Start the newer release again, or start this coordinator without a state so that it copies the state of the others."
}

// ChecksumError is a saved state whose content doesn't match its checksum.
type ChecksumError struct{ Recorded, Computed string }

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("the state's checksum is %s, the file records %s", e.Computed, e.Recorded)
}
func (e *ChecksumError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says how to recover from the damaged file.
func (e *ChecksumError) Remedy() string {
	return "Move the file away, start this coordinator without a state so that it copies the state of the others, and check the disk."
}

// FaultError is a command that the coordinators' code can't execute; it changed nothing.
type FaultError struct{ Command string }

func (e *FaultError) Error() string {
	return fmt.Sprintf("the command %q can't be executed: a fault of the coordinators' program", e.Command)
}
func (e *FaultError) Kind() remedy.Kind { return remedy.Internal }

// Remedy says what to report.
func (e *FaultError) Remedy() string {
	return "The coordinators go on without it. Report the line \"command not executed\" of a coordinator's log, with its stack, and install a release that mends the fault."
}
