package calendar

import (
	"fmt"
	"strings"
	"time"

	"github.com/swifthall/swifthall/internal/remedy"
)

// formatTime formats ms since 1970 as UTC, to the minute.
func formatTime(ms float64) string {
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04 UTC")
}

// FormError is a command with an invalid or missing value. Says is the reason.
type FormError struct{ Key, Says string }

func (e *FormError) Error() string     { return fmt.Sprintf("key %q: %s", e.Key, e.Says) }
func (e *FormError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the key to correct.
func (e *FormError) Remedy() string {
	return fmt.Sprintf("Correct %q and give the command again.", e.Key)
}

// UnknownError is an entry, a freeze or a migration that does not exist. What names which of them.
type UnknownError struct {
	What string
	ID   uint64
}

func (e *UnknownError) Error() string     { return fmt.Sprintf("%s %d does not exist", e.What, e.ID) }
func (e *UnknownError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says where the valid IDs are listed.
func (e *UnknownError) Remedy() string {
	return "Use an ID that the calendar lists. Entries that finished long ago are deleted."
}

// ChangedError is a command for an outdated revision or digest: somebody else has made a change since.
type ChangedError struct {
	What         string // "entry", "freeze" or "migration"
	ID           uint64
	Revision, Is uint64 // the revision in the command, 0 if it has a digest instead; and the current one
	Last         string // the last event that records who caused it
}

func (e *ChangedError) Error() string {
	return fmt.Sprintf("%s %d has changed: %s (it is now at revision %d)", e.What, e.ID, e.Last, e.Is)
}
func (e *ChangedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says to review the change first.
func (e *ChangedError) Remedy() string {
	return "Look at its current state, and give the command again if it still applies."
}

// StageError is a command that the stage of an entry or a migration does not allow.
type StageError struct {
	ID    uint64
	Stage Stage
	To    string // what the command would have made it
}

func (e *StageError) Error() string {
	return fmt.Sprintf("entry %d is %s and cannot be %s", e.ID, e.Stage, e.To)
}
func (e *StageError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says which commands the stage allows.
func (e *StageError) Remedy() string {
	switch {
	case e.Stage == Drafted:
		return "Have its author edit it, not as a draft; that requests approval."
	case e.Stage.notStarted():
		return "Edit or withdraw it, or wait until it starts."
	case e.Stage.inProgress():
		return "Halt it, resume it, or roll it back."
	}
	return "It is finished. Plan another one."
}

// SelfApprovalError is an approval by the author of the change.
type SelfApprovalError struct {
	ID  uint64
	Who string
}

func (e *SelfApprovalError) Error() string {
	return fmt.Sprintf("entry %d was authored by %s, who cannot approve it", e.ID, e.Who)
}
func (e *SelfApprovalError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says who can approve it.
func (e *SelfApprovalError) Remedy() string { return "Have somebody else approve it." }

// ApprovalError is an entry without all the approvals that a rule requires.
type ApprovalError struct {
	ID          uint64
	Author      string
	Count, Have int      // required; and given so far
	Roles       []string // roles whose approvals count; empty for any
}

func (e *ApprovalError) Error() string {
	return fmt.Sprintf("entry %d has %d of %d required approvals%s", e.ID, e.Have, e.Count, roleSuffix(e.Roles))
}
func (e *ApprovalError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says whose approvals are missing.
func (e *ApprovalError) Remedy() string {
	return fmt.Sprintf("Have it approved by %d more%s, other than %s.", e.Count-e.Have, roleSuffix(e.Roles), e.Author)
}

// roleSuffix lists roles for a message; it is empty for none.
func roleSuffix(roles []string) string {
	if len(roles) == 0 {
		return ""
	}
	return " of role " + strings.Join(roles, " or ")
}

// ClockError is the lack of an agreed time among the coordinators.
type ClockError struct {
	Reason string `json:"Says"` // State.ClockProblem
}

func (e *ClockError) Error() string     { return "there is no agreed time: " + e.Reason }
func (e *ClockError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to restore the agreed time.
func (e *ClockError) Remedy() string {
	return "Synchronize the clocks of the coordinators. Until a majority agrees, no entry starts or is missed."
}

// BeforeWindowError is an entry whose window has not begun.
type BeforeWindowError struct {
	ID     uint64
	FromMs float64
}

func (e *BeforeWindowError) Error() string {
	return fmt.Sprintf("the window of entry %d begins at %s", e.ID, formatTime(e.FromMs))
}
func (e *BeforeWindowError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that the entry starts without further commands.
func (e *BeforeWindowError) Remedy() string {
	return "Wait until it starts by itself, or have its author edit the window."
}

// WindowTooShortError is a window with too little time left for an entry's waves and soak.
type WindowTooShortError struct {
	ID           uint64
	LeftMs, Want float64 // ms until its deadline; and ms that it takes
}

func (e *WindowTooShortError) Error() string {
	return fmt.Sprintf("entry %d has %s left until its deadline and takes %s", e.ID, formatDuration(max(0, e.LeftMs)), formatDuration(e.Want))
}
func (e *WindowTooShortError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says who can change the window.
func (e *WindowTooShortError) Remedy() string {
	return "Have its author edit the window or plan it again; the command next lists free time."
}

// DependencyError is an entry that must start after another one, which is not done.
type DependencyError struct {
	ID, For uint64 // the entry; and the one it waits for
	Stage   Stage  // of the one it waits for
}

func (e *DependencyError) Error() string {
	return fmt.Sprintf("entry %d waits for entry %d, which is %s", e.ID, e.For, e.Stage)
}
func (e *DependencyError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the entry it waits for.
func (e *DependencyError) Remedy() string {
	return fmt.Sprintf("Complete entry %d, or edit this entry so that it does not wait for it.", e.For)
}

// FrozenError is an active freeze that applies to an entry or a change.
type FrozenError struct {
	ID      uint64
	Name    string
	UntilMs float64
	Who     string
}

func (e *FrozenError) Error() string {
	return fmt.Sprintf("freeze %d %q lasts until %s", e.ID, e.Name, formatTime(e.UntilMs))
}
func (e *FrozenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names who set the freeze.
func (e *FrozenError) Remedy() string {
	return fmt.Sprintf("Wait, ask %s to thaw it, or declare the change an emergency, with a reason and a second name.", e.Who)
}

// BusyError is another entry that holds part of the subject.
type BusyError struct {
	ID, Other uint64 // the blocked entry, 0 for a change outside the calendar; and the entry that holds the subject
	Stage     Stage  // of the entry that holds the subject
	Who       string // its author
}

func (e *BusyError) Error() string {
	if e.ID == 0 {
		return fmt.Sprintf("entry %d, which is %s, holds part of the subject of this change", e.Other, e.Stage)
	}
	return fmt.Sprintf("entry %d, which is %s, holds part of the subject of entry %d", e.Other, e.Stage, e.ID)
}
func (e *BusyError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the entry and its author.
func (e *BusyError) Remedy() string {
	return fmt.Sprintf("Wait until entry %d releases its subject, or ask %s to roll it back.", e.Other, e.Who)
}

// BudgetError is a budget that other entries use up.
type BudgetError struct {
	Budget Budget
	Under  int // entries in progress
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("%d entries of kind %s are in progress, the budget allows %d", e.Under, e.Budget.Kind, e.Budget.Max)
}
func (e *BudgetError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says to wait or to raise the budget.
func (e *BudgetError) Remedy() string {
	return "Wait until one of them is finished, or raise the calendar's budget."
}

// NoRollbackError is a rollback of an entry that was planned without one.
type NoRollbackError struct{ ID uint64 }

func (e *NoRollbackError) Error() string     { return fmt.Sprintf("entry %d has no rollback", e.ID) }
func (e *NoRollbackError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to undo the change without a rollback.
func (e *NoRollbackError) Remedy() string { return "Halt it, and plan a change that undoes it." }

// PreconditionError is an entry with a precondition that was not observed to pass recently.
type PreconditionError struct {
	ID          uint64
	What        string      // name of the precondition
	Observation Observation // the last one; zero for none
}

func (e *PreconditionError) Error() string {
	if e.Observation.AtMs == 0 {
		return fmt.Sprintf("entry %d requires %q, which has not been observed", e.ID, e.What)
	}
	return fmt.Sprintf("entry %d requires %q; last observed at %s, passed: %t %s", e.ID, e.What, formatTime(e.Observation.AtMs), e.Observation.Passed, e.Observation.Detail)
}
func (e *PreconditionError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the precondition to check.
func (e *PreconditionError) Remedy() string {
	return fmt.Sprintf("Check %q and report the result; it is valid for five minutes.", e.What)
}

// StepStartedError is a replacement of migration steps that would change one that has started.
type StepStartedError struct {
	ID   uint64
	Step int // index of the step, from 0 on
}

func (e *StepStartedError) Error() string {
	return fmt.Sprintf("step %d of migration %d has started and cannot be changed or left out", e.Step+1, e.ID)
}
func (e *StepStartedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says which steps can be replaced.
func (e *StepStartedError) Remedy() string {
	return fmt.Sprintf("Keep the steps that have started as the calendar lists them, or revert migration %d and plan a new one.", e.ID)
}

// ApprovalRequiredError is a change outside the calendar, for which a rule requires approvals.
type ApprovalRequiredError struct {
	Of      Kind // of the change
	Subject string
	Count   int      // approvals required
	Roles   []string // roles whose approvals count; empty for any
}

func (e *ApprovalRequiredError) Error() string {
	return fmt.Sprintf("a %s of %s requires %d approvals%s", e.Of, e.Subject, e.Count, roleSuffix(e.Roles))
}
func (e *ApprovalRequiredError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says how to get the approvals.
func (e *ApprovalRequiredError) Remedy() string {
	return "Plan it in the calendar with swifthall plan, and have it approved; it then starts by itself."
}
