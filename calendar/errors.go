package calendar

import (
	"fmt"
	"strings"
	"time"

	"github.com/swifthall/swifthall/internal/remedy"
)

func clockOf(ms float64) string {
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04 UTC")
}

// FormError is a command with a key that can't be.
type FormError struct{ Key, Says string }

func (e *FormError) Error() string     { return fmt.Sprintf("key %q: %s", e.Key, e.Says) }
func (e *FormError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the key.
func (e *FormError) Remedy() string {
	return fmt.Sprintf("Set %q to what is wanted, and plan again.", e.Key)
}

// UnknownError is an entry or a freeze that isn't there.
type UnknownError struct {
	What string
	ID   uint64
}

func (e *UnknownError) Error() string     { return fmt.Sprintf("there is no %s %d", e.What, e.ID) }
func (e *UnknownError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says where numbers stand.
func (e *UnknownError) Remedy() string {
	return "Name one that the calendar lists; what is long over is forgotten."
}

// ChangedError is a command about something that somebody else has changed since.
type ChangedError struct {
	What         string
	ID           uint64
	Revision, Is uint64
	Last         string // what was done last
}

func (e *ChangedError) Error() string {
	return fmt.Sprintf("%s %d has changed: %s (revision %d now)", e.What, e.ID, e.Last, e.Is)
}
func (e *ChangedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says to look first.
func (e *ChangedError) Remedy() string {
	return "Look at it as it is now, and give the command again if it still holds."
}

// StageError is a command that an entry's stage doesn't allow.
type StageError struct {
	ID    uint64
	Stage Stage
	To    string
}

func (e *StageError) Error() string {
	return fmt.Sprintf("entry %d is %s, it can't be %s", e.ID, e.Stage, e.To)
}
func (e *StageError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what the stage allows.
func (e *StageError) Remedy() string {
	switch {
	case e.Stage == Drafted:
		return "Its author has it asked about with an edit that is no draft."
	case e.Stage.planned():
		return "Edit or withdraw it, or wait until it begins."
	case e.Stage.under():
		return "Halt it, resume it, or send it back."
	}
	return "It is over: plan another."
}

// SelfApprovalError is an approval of somebody's own words.
type SelfApprovalError struct {
	ID  uint64
	Who string
}

func (e *SelfApprovalError) Error() string     { return fmt.Sprintf("entry %d is %s's own", e.ID, e.Who) }
func (e *SelfApprovalError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says who can.
func (e *SelfApprovalError) Remedy() string { return "Have somebody else approve it." }

// ApprovalError is an entry that lacks approvals.
type ApprovalError struct {
	ID          uint64
	Author      string
	Count, Have int
	Roles       []string
}

func (e *ApprovalError) Error() string {
	return fmt.Sprintf("entry %d has %d of %d approvals%s", e.ID, e.Have, e.Count, ofRoles(e.Roles))
}
func (e *ApprovalError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says who can give them.
func (e *ApprovalError) Remedy() string {
	return fmt.Sprintf("Have it approved by %d more%s, not %s.", e.Count-e.Have, ofRoles(e.Roles), e.Author)
}

func ofRoles(roles []string) string {
	if len(roles) == 0 {
		return ""
	}
	return " of role " + strings.Join(roles, " or ")
}

// ClockError is a time on which coordinators don't agree.
type ClockError struct{ Reason string }

func (e *ClockError) Error() string     { return "the time is in doubt: " + e.Reason }
func (e *ClockError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what to look at.
func (e *ClockError) Remedy() string {
	return "Set the clocks of the coordinators right; nothing begins or is missed until most agree."
}

// BeforeWindowError is an entry whose window has not begun.
type BeforeWindowError struct {
	ID     uint64
	FromMs float64
}

func (e *BeforeWindowError) Error() string {
	return fmt.Sprintf("entry %d begins from %s on", e.ID, clockOf(e.FromMs))
}
func (e *BeforeWindowError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says that it waits by itself.
func (e *BeforeWindowError) Remedy() string { return "Wait, or have its author edit the window." }

// WindowTooShortError is a window with too little left for an entry's waves.
type WindowTooShortError struct {
	ID           uint64
	LeftMs, Want float64
}

func (e *WindowTooShortError) Error() string {
	return fmt.Sprintf("entry %d has %s left, its waves take %s", e.ID, lasting(max(0, e.LeftMs)), lasting(e.Want))
}
func (e *WindowTooShortError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says who can lengthen it.
func (e *WindowTooShortError) Remedy() string {
	return "Have its author edit the window, or plan it anew; next lists free time."
}

// DependencyError is an entry that waits for another.
type DependencyError struct {
	ID, For uint64
	Stage   Stage
}

func (e *DependencyError) Error() string {
	return fmt.Sprintf("entry %d waits for %d, which is %s", e.ID, e.For, e.Stage)
}
func (e *DependencyError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names the other.
func (e *DependencyError) Remedy() string {
	return fmt.Sprintf("Have %d done, or edit this one so that it waits for no other.", e.For)
}

// FrozenError is a freeze that an entry must heed.
type FrozenError struct {
	ID      uint64
	Name    string
	UntilMs float64
	Who     string
}

func (e *FrozenError) Error() string {
	return fmt.Sprintf("freeze %d %q lasts until %s", e.ID, e.Name, clockOf(e.UntilMs))
}
func (e *FrozenError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names who laid it.
func (e *FrozenError) Remedy() string {
	return fmt.Sprintf("Wait, ask %s to thaw it, or make it an emergency with a reason and a second name.", e.Who)
}

// BusyError is somebody else on the same subject.
type BusyError struct {
	ID, Other uint64
	Stage     Stage
	Who       string
}

func (e *BusyError) Error() string {
	if e.ID == 0 {
		return fmt.Sprintf("entry %d is %s on what this would change", e.Other, e.Stage)
	}
	return fmt.Sprintf("entry %d is %s on what entry %d would change", e.Other, e.Stage, e.ID)
}
func (e *BusyError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names whose it is.
func (e *BusyError) Remedy() string {
	return fmt.Sprintf("Wait for %d, or ask %s to take it back.", e.Other, e.Who)
}

// BudgetError is a budget that is used up.
type BudgetError struct {
	Budget Budget
	Under  int
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("%d of kind %s are under way, %d may be", e.Under, e.Budget.Kind, e.Budget.Max)
}
func (e *BudgetError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says to wait.
func (e *BudgetError) Remedy() string {
	return "Wait until one of them is over, or raise the calendar's budget."
}

// NoRollbackError is an entry that was planned without a way back.
type NoRollbackError struct{ ID uint64 }

func (e *NoRollbackError) Error() string     { return fmt.Sprintf("entry %d has no way back", e.ID) }
func (e *NoRollbackError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what is left.
func (e *NoRollbackError) Remedy() string { return "Halt it, and plan what undoes it." }

// PreconditionError is an entry that wants something seen first.
type PreconditionError struct {
	ID          uint64
	What        string
	Observation Observation
}

func (e *PreconditionError) Error() string {
	if e.Observation.AtMs == 0 {
		return fmt.Sprintf("entry %d wants %q seen, and nobody has looked", e.ID, e.What)
	}
	return fmt.Sprintf("entry %d wants %q seen; at %s it was well: %t %s", e.ID, e.What, clockOf(e.Observation.AtMs), e.Observation.Passed, e.Observation.Detail)
}
func (e *PreconditionError) Kind() remedy.Kind { return remedy.Refused }

// Remedy names what to look at.
func (e *PreconditionError) Remedy() string {
	return fmt.Sprintf("Look at %q, and tell; what was seen counts for five minutes.", e.What)
}

// StepStartedError is a replacement of migration steps that have begun.
type StepStartedError struct {
	ID   uint64
	Step int
}

func (e *StepStartedError) Error() string {
	return fmt.Sprintf("step %d of migration %d has begun, and the new one is another", e.Step+1, e.ID)
}
func (e *StepStartedError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says what can be replaced.
func (e *StepStartedError) Remedy() string {
	return fmt.Sprintf("Leave the first steps as they are in the calendar, or revert migration %d and plan anew.", e.ID)
}

// ApprovalRequiredError is a change that an operator gives at once, though a rule asks for approvals of such.
type ApprovalRequiredError struct {
	Of      Kind
	Subject string
	Count   int
	Roles   []string
}

func (e *ApprovalRequiredError) Error() string {
	return fmt.Sprintf("a %s of %s asks for %d approvals%s", e.Of, e.Subject, e.Count, ofRoles(e.Roles))
}
func (e *ApprovalRequiredError) Kind() remedy.Kind { return remedy.Refused }

// Remedy says where they are given.
func (e *ApprovalRequiredError) Remedy() string {
	return "Plan it in the calendar with swifthall plan, and have it approved; it begins by itself then."
}
