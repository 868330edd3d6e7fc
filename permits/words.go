// Package permits is what coordinators agree on about who may go out by plan: a state machine without I/O. Commands go in,
// in one order, and answers come out, the same on every coordinator; time enters only with the command.
//
// A place that a permit takes is free again only when the one that went is seen back, ready and warm, says itself that it
// has not gone, or is written off by name. No time frees it. docs/drains.md tells what was weighed.
package permits

// Kind of what may go out.
type Kind string

// Kinds.
const (
	Door    Kind = "door"
	Backend Kind = "backend"
	Zone    Kind = "zone" // all units of one; only drains and their budgets are of this kind
)

// Unit is one door or backend.
type Unit struct {
	Kind Kind    `json:"kind"`
	Name string  `json:"name"`
	Zone string  `json:"zone"`
	Size float64 `json:"size"` // compared with others of its kind
}

// Standing is how a unit was last seen.
type Standing uint8

// Standings. Whoever was never seen, or not lately, counts as out.
const (
	Unseen   Standing = iota
	Failed            // held to be away, or listed as gone
	Starting          // here, and not ready or not warm yet
	Ready             // here, ready and warm
	Ended             // said itself that it has ended: it sends nothing any more
)

// Budget bounds what may be out at once, of one kind.
type Budget struct {
	Kind      Kind    `json:"kind"`
	Zone      string  `json:"zone"`       // of one zone by name, EachZone, or empty for the whole fleet
	MaxOut    int     `json:"most_out"`   // by plan and by failure together
	MinReady  int     `json:"least_here"` // ready
	LeastSize float64 `json:"least_size"` // sizes of those ready, added up
	RestMs    float64 `json:"rest_ms"`    // between two permits, and after one has come back; not looked at for zones
}

// EachZone as a budget's zone bounds each zone by itself.
const EachZone = "*"

// Command is one step. Caller and Seq make a repeat harmless: a caller numbers its commands from 1 on, and acts on the
// answer to its latest one alone.
type Command struct {
	Caller string  `json:"caller"`
	Seq    uint64  `json:"seq"`
	AtMs   float64 `json:"at_ms"`             // clock of the coordinator that took it in; the state's never goes back
	WallMs float64 `json:"wall_ms,omitempty"` // its wall clock, for people to read, and for when a drain ends by itself
	Do     any     `json:"-"`                 // one of the types below
}

// SetBudgets puts others in the place of all budgets.
type SetBudgets struct {
	Budgets  []Budget
	Who, Why string `json:",omitempty"`
}

// RecordSightings tells how units stand, by the members' verdicts and the fleet list.
type RecordSightings struct{ Sightings []Sighting }

// Sighting is how one unit stands. Life grows with each of its processes, and may within one; Process tells them apart.
type Sighting struct {
	Unit
	Standing    Standing
	Incarnation uint64
	Process     uint64
	Did         uint64 `json:",omitempty"` // of a door: the change up to which it withholds what is to be withheld
}

// Begin has a unit's process known before it says anything else. Its answer's number is the life that it speaks with.
type Begin struct {
	Unit    Unit
	Process uint64
}

// Drain orders a unit, or all of a zone, out by an operator's word. Its place is taken at once, or it is denied. A door goes
// once it has asked for the place itself; a backend is withheld by every door.
type Drain struct {
	Kind     Kind
	Name     string
	Who, Why string
	UntilMs  float64 `json:",omitempty"` // wall clock at which it ends by itself; 0 for never
	Release  uint64  `json:",omitempty"` // of which it is a step; 0 for an operator's own
}

// Undrain ends an order. The place is free once the unit is seen back.
type Undrain struct {
	Kind     Kind
	Name     string
	Who, Why string
}

// Leadership is a new leader's first word: whatever was seen before it came counts as not seen, as it can't know for how long
// nobody has looked.
type Leadership struct {
	Name, API string
	Epoch     uint64 // of the state, where it has none so far
}

// Note puts a line into the audit of what was done by other means.
type Note struct{ What, Who, Why string }

// Forget has a unit not counted any more, by an operator's word: it won't come back.
type Forget struct {
	Kind     Kind
	Name     string
	Who, Why string
}

// SelfReport is a unit's own word: how it stands, and which permit it means to use; 0 for none. Said after an ask whose answer
// never came, it gives that permit back: a unit acts on no answer to an earlier command than its latest.
type SelfReport struct {
	Sighting
	Holds uint64
}

// RequestPermit is for a permit to go out. HoldMs is for how long it may be used, from the ask on, by the asker's own clock.
type RequestPermit struct {
	Unit     string
	Kind     Kind
	Who, Why string
	HoldMs   float64
	Release  uint64 `json:",omitempty"` // by which it goes, to run something else; 0 for none
}

// Confirm is the last look before the step that can't be taken back, by the process that will take it. Without a life it
// is by another process than the unit's own, and speaks of the one that is known.
type Confirm struct {
	Number      uint64
	Incarnation uint64
	Process     uint64
}

// Withdraw gives a permit back that was not used.
type Withdraw struct{ Number uint64 }

// WriteOff frees the place of one that won't come back, by an operator's word.
type WriteOff struct {
	Number   uint64
	Who, Why string
}

// Halt lets nothing more go out, of a kind and a zone; empty for all. Resume ends that.
type Halt struct {
	Kind     Kind
	Zone     string
	Who, Why string
}

// Resume ends a halt.
type Resume struct {
	Kind Kind
	Zone string
	Who  string
}

// Stage of a permit.
type Stage uint8

// Stages.
const (
	Granted Stage = iota // may be used
	Out                  // confirmed: its unit may be out from here on
)

// Permit is one that takes a place.
type Permit struct {
	Number      uint64
	Unit        Unit
	Caller      string
	Who         string
	Why         string
	AtMs        float64
	HoldMs      float64
	Stage       Stage
	Incarnation uint64 // of the process that confirmed it: one that comes later, and is ready, is back
	Process     uint64

	Release uint64  `json:",omitempty"` // by which its unit changes
	Order   bool    `json:",omitempty"` // an operator's: it stands until it is ended, whoever starts anew meanwhile
	Of      string  `json:",omitempty"` // zone that was drained as a whole
	UntilMs float64 `json:",omitempty"`
	Over    bool    `json:",omitempty"` // the order has ended; its unit is to come back
	Change  uint64  `json:",omitempty"` // with which the order was given, or ended
}

// Answer is what a command came to. Err is one of the package's errors; a command with an error has changed nothing.
type Answer struct {
	Number uint64
	Err    error
}
