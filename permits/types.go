// Package permits is the replicated state machine by which coordinators grant permits to take doors and backends out of
// service within disruption budgets. It does no I/O: commands are applied in one order and produce the same answers on every
// coordinator, and time enters only with a command.
//
// A permit occupies a place in its budgets. Once its unit may be out, the place becomes free again only when the unit is seen
// back, ready and warm, when the unit itself reports that it has not gone out, or when an operator writes the permit off. It
// never becomes free by a timeout. docs/drains.md discusses the alternatives.
package permits

// Kind is the kind of unit that may be taken out of service.
type Kind string

// Kinds of units.
const (
	Door    Kind = "door"
	Backend Kind = "backend"
	Zone    Kind = "zone" // all units of a zone; only drains and their budgets have this kind
)

// Unit is one door or backend.
type Unit struct {
	Kind Kind    `json:"kind"`
	Name string  `json:"name"`
	Zone string  `json:"zone"`
	Size float64 `json:"size"` // relative capacity among the units of its kind
}

// Standing is the condition in which a unit was last seen.
type Standing uint8

// Standings. A unit that was never seen, or not recently, counts as out.
const (
	Unseen   Standing = iota
	Failed            // considered away by its peers, or absent from the fleet list
	Starting          // running, but not ready or not warm yet
	Ready             // running, ready and warm
	Ended             // reported its own termination: it sends nothing any more
)

// Budget limits how many units of one kind may be out at the same time.
type Budget struct {
	Kind         Kind    `json:"kind"`
	Zone         string  `json:"zone"`       // name of a zone, EachZone, or empty for the whole fleet
	MaxOut       int     `json:"most_out"`   // maximum out, planned and failed together
	MinReady     int     `json:"least_here"` // minimum that stay ready
	MinReadySize float64 `json:"least_size"` // minimum total size of those that stay ready
	MinGapMs     float64 `json:"rest_ms"`    // minimum ms between two permits and after a unit has come back; ignored for zones
}

// EachZone as a budget's zone applies the budget to each zone separately.
const EachZone = "*"

// Command is one entry of the replicated log. Caller and Seq make a retry idempotent: a caller numbers its commands from 1 and
// acts only on the answer to its latest one.
type Command struct {
	Caller string  `json:"caller"`
	Seq    uint64  `json:"seq"`
	AtMs   float64 `json:"at_ms"`             // clock of the coordinator that accepted it; the state's clock never goes back
	WallMs float64 `json:"wall_ms,omitempty"` // its wall clock: for display, and for drains that end at a given time
	Do     any     `json:"-"`                 // one of the command types of this package, release or calendar
}

// SetBudgets replaces all budgets.
type SetBudgets struct {
	Budgets  []Budget
	Who, Why string `json:",omitempty"`
}

// RecordSightings updates the standing of units from the membership protocol and the fleet list.
type RecordSightings struct{ Sightings []Sighting }

// Sighting is the observed standing of one unit. Incarnation grows with each of its processes, and may also grow within one;
// Process identifies the process.
type Sighting struct {
	Unit
	Standing    Standing
	Incarnation uint64 `json:"Life"`
	Process     uint64
	Did         uint64 `json:",omitempty"` // of a door: the latest change whose withheld backends it has applied
}

// Begin registers a unit's process before its first report. The number of the answer is the incarnation that the process uses
// in its reports.
type Begin struct {
	Unit    Unit
	Process uint64
}

// Drain orders a unit, or a whole zone, out of service. It takes the place in the budgets at once or is denied. A door goes out
// after it has requested the permit itself; a backend is withheld by every door.
type Drain struct {
	Kind     Kind
	Name     string
	Who, Why string
	UntilMs  float64 `json:",omitempty"` // wall clock at which the drain ends by itself; 0 for never
	Release  uint64  `json:",omitempty"` // release that this drain is a step of; 0 if an operator ordered it
}

// Undrain ends a drain. The place becomes free once the unit is seen back.
type Undrain struct {
	Kind     Kind
	Name     string
	Who, Why string
}

// Leadership is the first command of a new leader. All earlier sightings count as expired, since the leader can't know for how
// long no sightings were recorded.
type Leadership struct {
	Name, API string
	Epoch     uint64 // becomes the state's epoch if it has none yet
	Restored  bool   `json:",omitempty"` // the state may lack the latest commands: its numbers are raised above all that those have used
}

// Note adds an entry to the audit log for an action taken by other means.
type Note struct{ What, Who, Why string }

// Forget removes a unit that won't come back. An operator orders it.
type Forget struct {
	Kind     Kind
	Name     string
	Who, Why string
}

// SelfReport is a unit's own report of its standing and of the permit that it intends to use; 0 for none. After a request whose
// answer was lost it returns that permit, since a unit acts only on the answer to its latest command.
type SelfReport struct {
	Sighting
	Holds uint64
}

// RequestPermit requests a permit to go out. HoldMs is how long the permit may be used, measured from the request by the
// caller's own clock.
type RequestPermit struct {
	Unit     string
	Kind     Kind
	Who, Why string
	HoldMs   float64
	Release  uint64 `json:",omitempty"` // release whose version the unit goes out to install; 0 for none
}

// Confirm is the last check before the irreversible step, by the process that will take it. An Incarnation of 0 means that
// another process than the unit's own confirms; the unit's last known process is recorded then.
type Confirm struct {
	Number      uint64
	Incarnation uint64 `json:"Life"`
	Process     uint64
}

// Withdraw returns a permit that was not used.
type Withdraw struct{ Number uint64 }

// WriteOff frees the place of a unit that won't come back. An operator orders it.
type WriteOff struct {
	Number   uint64
	Who, Why string
}

// Halt denies all further permits of a kind and a zone until Resume; empty means all kinds or all zones.
type Halt struct {
	Kind     Kind
	Zone     string
	Who, Why string
}

// Resume ends the halts of a kind and a zone.
type Resume struct {
	Kind Kind
	Zone string
	Who  string
}

// Stage is the stage of a permit.
type Stage uint8

// Stages of a permit.
const (
	Granted Stage = iota // may be confirmed and then used
	Out                  // confirmed: its unit may be out from now on
)

// Permit is a permit that occupies a place in the budgets.
type Permit struct {
	Number      uint64
	Unit        Unit
	Caller      string
	Who         string
	Why         string
	AtMs        float64
	HoldMs      float64
	Stage       Stage
	Incarnation uint64 `json:"Life"` // of the process that confirmed it: the unit is back once a later one is ready
	Process     uint64

	Release uint64  `json:",omitempty"` // release whose version the unit goes out to install
	Order   bool    `json:",omitempty"` // of a drain: it stays in force until it is ended, even if the unit restarts
	Of      string  `json:",omitempty"` // zone that is drained as a whole
	UntilMs float64 `json:",omitempty"`
	Over    bool    `json:",omitempty"` // the drain has ended; its unit is to come back
	Change  uint64  `json:",omitempty"` // State.Change when the drain was ordered or ended
}

// Answer is the result of a command. Err is an error type of permits, release or calendar; a command that fails has no effect.
type Answer struct {
	Number uint64
	Err    error
}
