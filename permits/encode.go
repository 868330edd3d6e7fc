package permits

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthall/swifthall/calendar"
	"github.com/swifthall/swifthall/release"
)

// typesByName maps the encoded names of commands and errors to their types. A name is never reused for another type.
var typesByName = map[string]reflect.Type{
	"set_budgets": reflect.TypeFor[SetBudgets](), "seen": reflect.TypeFor[RecordSightings](), "here": reflect.TypeFor[SelfReport](), "ask": reflect.TypeFor[RequestPermit](),
	"confirm": reflect.TypeFor[Confirm](), "withdraw": reflect.TypeFor[Withdraw](), "write_off": reflect.TypeFor[WriteOff](),
	"begin": reflect.TypeFor[Begin](), "drain": reflect.TypeFor[Drain](), "undrain": reflect.TypeFor[Undrain](), "lead": reflect.TypeFor[Leadership](),
	"start_release": reflect.TypeFor[release.Start](), "took": reflect.TypeFor[release.ReportVersions](), "judged": reflect.TypeFor[release.RecordVerdict](),
	"steer": reflect.TypeFor[release.Steer](), "plan": reflect.TypeFor[release.PlanError](), "name_taken": reflect.TypeFor[release.NameError](),
	"unknown_release": reflect.TypeFor[release.UnknownError](), "stage": reflect.TypeFor[release.StageError](),
	"note": reflect.TypeFor[Note](), "forget": reflect.TypeFor[Forget](), "halt": reflect.TypeFor[Halt](), "resume": reflect.TypeFor[Resume](),
	"denied": reflect.TypeFor[DeniedError](), "halted": reflect.TypeFor[HaltedError](), "unknown": reflect.TypeFor[UnknownError](),
	"stale": reflect.TypeFor[StaleError](), "taken": reflect.TypeFor[TakenError](), "repeat": reflect.TypeFor[RepeatError](),
	"fault":         reflect.TypeFor[FaultError](),
	"calendar_plan": reflect.TypeFor[calendar.Plan](), "calendar_edit": reflect.TypeFor[calendar.Edit](),
	"calendar_approve": reflect.TypeFor[calendar.Approve](), "calendar_refuse": reflect.TypeFor[calendar.Refuse](),
	"calendar_withdraw": reflect.TypeFor[calendar.Withdraw](), "calendar_declare_emergency": reflect.TypeFor[calendar.DeclareEmergency](),
	"calendar_set_freeze": reflect.TypeFor[calendar.SetFreeze](), "calendar_extend": reflect.TypeFor[calendar.ExtendFreeze](),
	"calendar_thaw": reflect.TypeFor[calendar.Thaw](), "calendar_set_rules": reflect.TypeFor[calendar.SetRules](),
	"calendar_clock": reflect.TypeFor[calendar.ReportClock](), "calendar_start": reflect.TypeFor[calendar.Start](),
	"calendar_wave_done": reflect.TypeFor[calendar.WaveDone](), "calendar_observe": reflect.TypeFor[calendar.Observe](),
	"calendar_migrate": reflect.TypeFor[calendar.Migrate](), "calendar_replace": reflect.TypeFor[calendar.ReplaceSteps](),
	"calendar_revert": reflect.TypeFor[calendar.RevertMigration](), "calendar_halt": reflect.TypeFor[calendar.Halt](),
	"calendar_resume": reflect.TypeFor[calendar.Resume](), "calendar_roll_back": reflect.TypeFor[calendar.RollBack](),
	"calendar_rolled_back": reflect.TypeFor[calendar.RolledBack](), "calendar_acknowledge": reflect.TypeFor[calendar.Acknowledge](),
	"calendar_restored": reflect.TypeFor[calendar.Restored](),
	"calendar_not_form": reflect.TypeFor[calendar.FormError](), "calendar_not_unknown": reflect.TypeFor[calendar.UnknownError](),
	"calendar_not_changed": reflect.TypeFor[calendar.ChangedError](), "calendar_not_stage": reflect.TypeFor[calendar.StageError](),
	"calendar_not_own": reflect.TypeFor[calendar.SelfApprovalError](), "calendar_not_approval": reflect.TypeFor[calendar.ApprovalError](),
	"calendar_not_clock": reflect.TypeFor[calendar.ClockError](), "calendar_not_early": reflect.TypeFor[calendar.BeforeWindowError](),
	"calendar_not_short": reflect.TypeFor[calendar.WindowTooShortError](), "calendar_not_after": reflect.TypeFor[calendar.DependencyError](),
	"calendar_not_frozen": reflect.TypeFor[calendar.FrozenError](), "calendar_not_busy": reflect.TypeFor[calendar.BusyError](),
	"calendar_not_full": reflect.TypeFor[calendar.BudgetError](), "calendar_not_no_rollback": reflect.TypeFor[calendar.NoRollbackError](),
	"calendar_not_precondition": reflect.TypeFor[calendar.PreconditionError](), "calendar_not_begun": reflect.TypeFor[calendar.StepStartedError](),
	"calendar_not_unplanned": reflect.TypeFor[calendar.ApprovalRequiredError](),
}

var namesByType = func() map[reflect.Type]string {
	of := map[reflect.Type]string{}
	for name, t := range typesByName {
		of[t] = name
	}
	return of
}()

// commandName returns the encoded name of a command's type.
func commandName(c Command) string { return namesByType[reflect.TypeOf(c.Do)] }

// typedValue is an encoded value with the name of its type.
type typedValue struct {
	Is string          `json:"is"`
	Of json.RawMessage `json:"of"`
}

func wrap(v any) (n typedValue, err error) {
	t := reflect.TypeOf(v)
	if t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var registered bool
	if n.Is, registered = namesByType[t]; !registered {
		return n, &FormatError{What: fmt.Sprintf("a value of type %T", v)}
	}
	n.Of, err = json.Marshal(v)
	return n, err
}

// unwrap decodes the value into a new value of its type.
func (n typedValue) unwrap() (reflect.Value, error) {
	t, registered := typesByName[n.Is]
	if !registered {
		return reflect.Value{}, &FormatError{What: fmt.Sprintf("the type name %q", n.Is)}
	}
	v := reflect.New(t)
	if err := json.Unmarshal(n.Of, v.Interface()); err != nil {
		return reflect.Value{}, &FormatError{What: n.Is, Cause: err}
	}
	return v, nil
}

type command Command // without its JSON methods, which would recurse

// MarshalJSON encodes a command with the name of the type of Do.
func (c Command) MarshalJSON() ([]byte, error) {
	do, err := wrap(c.Do)
	if err != nil {
		return nil, err
	}
	return json.Marshal(struct {
		command
		Do typedValue `json:"do"`
	}{command(c), do})
}

// UnmarshalJSON decodes a command. An unknown type name is an error, since an older coordinator must not skip a command that newer
// ones execute.
func (c *Command) UnmarshalJSON(raw []byte) error {
	var w struct {
		command
		Do typedValue `json:"do"`
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return &FormatError{What: "a command", Cause: err}
	}
	v, err := w.Do.unwrap()
	if err != nil {
		return err
	}
	if _, is := v.Interface().(error); is {
		return &FormatError{What: w.Do.Is + " for a command"}
	}
	*c = Command(w.command)
	c.Do = v.Elem().Interface()
	return nil
}

type answer struct {
	Number uint64      `json:"number,omitempty"`
	Err    *typedValue `json:"error,omitempty"`
}

// MarshalJSON encodes an answer with the name of the type of its error.
func (a Answer) MarshalJSON() ([]byte, error) {
	w := answer{Number: a.Number}
	if a.Err != nil {
		n, err := wrap(a.Err)
		if err != nil {
			return nil, err
		}
		w.Err = &n
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes an answer; its error has the original type.
func (a *Answer) UnmarshalJSON(raw []byte) error {
	var w answer
	if err := json.Unmarshal(raw, &w); err != nil {
		return &FormatError{What: "an answer", Cause: err}
	}
	*a = Answer{Number: w.Number}
	if w.Err == nil {
		return nil
	}
	v, err := w.Err.unwrap()
	if err != nil {
		return err
	}
	is, ok := v.Interface().(error)
	if !ok {
		return &FormatError{What: w.Err.Is + " for an error"}
	}
	a.Err = is
	return nil
}

// Version is the format version of a saved state. Older versions can be loaded, newer ones are refused. Version 2 added the
// calendar, which a release without support for it would lose.
const Version = 2

type savedState struct {
	Version int             `json:"version"`
	Sum     string          `json:"sum"` // xxhash of State, hexadecimal
	State   json.RawMessage `json:"state"`
}

func checksum(raw []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(raw)) }

// Save writes the state with version and checksum.
func (s *State) Save(out io.Writer) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(savedState{Version, checksum(raw), raw})
}

// Load reads a state that Save wrote.
func Load(in io.Reader) (*State, error) {
	var w savedState
	if err := json.NewDecoder(in).Decode(&w); err != nil {
		return nil, &FormatError{What: "a state", Cause: err}
	}
	if w.Version > Version || w.Version < 1 {
		return nil, &VersionError{w.Version}
	}
	var raw bytes.Buffer
	if err := json.Compact(&raw, w.State); err != nil || checksum(raw.Bytes()) != w.Sum {
		return nil, &ChecksumError{w.Sum, checksum(raw.Bytes())}
	}
	s := New()
	if err := json.Unmarshal(w.State, s); err != nil {
		return nil, &FormatError{What: "a state", Cause: err}
	}
	return s, nil
}

// ReadBudgets reads an operator's list of budgets. Unknown keys and negative limits are errors.
func ReadBudgets(in io.Reader) (all []Budget, err error) {
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&all); err != nil {
		return nil, &FormatError{What: "the list of budgets", Cause: err}
	}
	for i, b := range all {
		known := b.Kind == Door || b.Kind == Backend || b.Kind == Zone && b.Zone == ""
		if !known || b.MaxOut < 0 || b.MinReady < 0 || b.MinReadySize < 0 || b.MinGapMs < 0 {
			return nil, &FormatError{What: fmt.Sprintf("budget %d (%s)", i+1, budgetsJSON([]Budget{b}))}
		}
	}
	return all, nil
}
