package permits

import (
	"fmt"
	"strings"

	"github.com/swifthall/swifthall/internal/remedy"
)

// DeniedError is a permit that would take more out than a budget allows.
type DeniedError struct {
	Unit    string
	Budget  Budget
	Zone    string   // that it was counted for; empty for the fleet
	Says    string   // which bound
	Blocked []string // units that count as out
}

func (e *DeniedError) Error() string {
	of := "the fleet"
	if e.Zone != "" {
		of = "zone " + e.Zone
	}
	return fmt.Sprintf("%s %s stays: %s in %s; out are %s", e.Budget.Kind, e.Unit, e.Says, of, strings.Join(e.Blocked, ", "))
}
func (e *DeniedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names who is in the way.
func (e *DeniedError) Remedy() string {
	return fmt.Sprintf("Wait until one of %s is back, ready and warm, write one off by name with a reason, or raise the budget.", strings.Join(e.Blocked, ", "))
}

// HaltedError is a permit asked for, or about to be used, while nothing may go out.
type HaltedError struct{ Who, Why string }

func (e *HaltedError) Error() string     { return fmt.Sprintf("halted by %s: %s", e.Who, e.Why) }
func (e *HaltedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names who halted.
func (e *HaltedError) Remedy() string {
	return fmt.Sprintf("Ask %s, then resume; what is out may come back meanwhile.", e.Who)
}

// UnknownError is a unit or a permit that isn't known.
type UnknownError struct{ What string }

func (e *UnknownError) Error() string     { return e.What + " is not known" }
func (e *UnknownError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says where names stand.
func (e *UnknownError) Remedy() string {
	return "Name a unit that has been seen, or a permit that still takes a place; the status lists both."
}

// StaleError is a permit that may not be used any more: another number stands, or it was held for too long.
type StaleError struct {
	Number uint64
	Says   string
}

func (e *StaleError) Error() string     { return fmt.Sprintf("permit %d: %s", e.Number, e.Says) }
func (e *StaleError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what the holder does.
func (e *StaleError) Remedy() string {
	return "The one that holds it must not go; it says so by itself and asks anew."
}

// TakenError is a unit that has a permit already.
type TakenError struct {
	Unit   string
	Number uint64
	Who    string
}

func (e *TakenError) Error() string {
	return fmt.Sprintf("%s has permit %d, for %s", e.Unit, e.Number, e.Who)
}
func (e *TakenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names who has it.
func (e *TakenError) Remedy() string {
	return fmt.Sprintf("Leave it to %s, or have that permit withdrawn first.", e.Who)
}

// RepeatError is a command older than the latest of its caller.
type RepeatError struct {
	Caller string
	Seq    uint64
}

func (e *RepeatError) Error() string {
	return fmt.Sprintf("command %d of %s comes after a later one", e.Seq, e.Caller)
}
func (e *RepeatError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that nothing is lost.
func (e *RepeatError) Remedy() string { return "Nothing: its caller has gone on; ask for the status." }

// FormError is something written down that can't be read.
type FormError struct {
	What  string
	Cause error
}

func (e *FormError) Error() string     { return remedy.WithCause(e.What+" can't be read", e.Cause) }
func (e *FormError) Unwrap() error     { return e.Cause }
func (e *FormError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what it means.
func (e *FormError) Remedy() string {
	return "Run coordinators and doors of releases that know it; if all are of one release, the file or the message is damaged."
}

// VersionError is a state written by a newer release.
type VersionError struct{ Have int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("the state is of version %d, this release reads up to %d", e.Have, Version)
}
func (e *VersionError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what to do.
func (e *VersionError) Remedy() string {
	return "Start the newer release again, or let this coordinator begin without a state and take it from the others."
}

// SumError is a state whose bytes aren't those that were written.
type SumError struct{ Told, Is string }

func (e *SumError) Error() string {
	return fmt.Sprintf("the state's checksum is %s, %s was written", e.Is, e.Told)
}
func (e *SumError) Kind() remedy.Kind { return remedy.Configuration }

// Remedy says what to do.
func (e *SumError) Remedy() string {
	return "Put the file aside, let this coordinator begin without a state and take it from the others; look at the disk."
}
