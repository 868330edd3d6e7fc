// Package members decides, for one door, which doors of its fleet are here. It does no I/O and starts nothing: a driver
// feeds it a monotonic clock, what other doors said and its own ticks, and carries out the actions it answers with.
// docs/members.md says how it judges and which options were weighed.
//
// What it believes is a belief: shares of quotas may follow it, ceilings never.
package members

import "encoding/json"

// State is what a member is held to be. Within one life a state only ever moves down this list.
type State uint8

// States. Doubted is what is shown of one that is here while some observers doubt it; it is never recorded.
const (
	Unknown State = iota
	Joining       // said that it is here, and too few have reached it so far
	Here          // enough of its observers have reached it
	Leaving       // said that it goes
	Away          // enough of its observers could not reach it
	Left          // said that it has gone
	Suspect       // here, but some observers can't reach it
)

var stateNames = [...]string{"unknown", "joining", "here", "leaving", "away", "left", "doubted"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[Unknown]
	}
	return stateNames[s]
}

// standing tells whether a member in this state is looked at and counted as an observer.
func (s State) standing() bool { return s == Joining || s == Here || s == Leaving }

// Peer is who a member says it is.
type Peer struct {
	Name    string `json:"n"`
	Address string `json:"a"`           // where it can be reached, as it says itself
	Zone    string `json:"z,omitempty"` // empty where the fleet has none
	Number  int    `json:"o"`           // of the door among the fleet's; -1 where it has none
	Release string `json:"e,omitempty"` // of its program
	Nonce   uint64 `json:"i"`           // drawn by its process, so that two processes of one name are told apart
}

// Says is an observer's word on a member.
type Says uint8

// Words of observers.
const (
	Reached   Says = iota // it answers me
	Unreached             // it doesn't answer me, but it answers others whom I asked to look
	Silent                // it answers neither me nor those whom I asked
)

// Vote is one observer's word on one life of a member.
type Vote struct {
	By   string
	Seq  uint32 // grows with each vote of an observer, over its lives
	Says Says
	Age  float64 // ms since it was cast; no clock is compared with another's
}

// MarshalJSON words a vote as a list: votes make up most of what is told when much happens.
func (v Vote) MarshalJSON() ([]byte, error) { return json.Marshal([4]any{v.By, v.Seq, v.Says, v.Age}) }

// UnmarshalJSON reads such a list.
func (v *Vote) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[4]any{&v.By, &v.Seq, &v.Says, &v.Age})
}

// Record is what is said of one member. Of the same life the later state wins; a later life wins over all states.
type Record struct {
	Peer
	Incarnation uint32  `json:"l"` // raised by the member alone
	State       State   `json:"s"`
	Age         float64 `json:"t"` // ms since the state was reached
	Votes       []Vote  `json:"v,omitempty"`
}

// Kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Look   Kind = iota // are you there?
	Ack                // I am; No is the look's
	Ask                // look at About for me
	Found              // About answered the look that you asked for
	Gossip             // records alone
	Taken              // your name is another door's: About is its address
)

// Message goes from one member to another.
type Message struct {
	Kind        Kind     `json:"k"`
	From        Peer     `json:"f"`
	Incarnation uint32   `json:"l"` // of the sender
	State       State    `json:"s"` // of the sender, as it holds itself
	No          uint32   `json:"q,omitempty"`
	About       string   `json:"x,omitempty"`
	Reached     uint32   `json:"o,omitempty"` // in a look: the life in which the one looked at answered the sender lately
	Sum         uint64   `json:"h"`           // over all that the sender holds: two whose sums differ for long exchange their whole states
	Records     []Record `json:"r,omitempty"`
}

// Event is one of the event types below.
type Event any

// Tick is due every TickEvery.
type Tick struct{}

// Received is a message that has come.
type Received struct{ Message *Message }

// RemoteState is a whole state that another door gave, in answer to Meet or as it started.
type RemoteState struct{ Records []Record }

// Leave says that this door goes by plan.
type Leave struct{}

// Action is one of the action types below.
type Action any

// Send passes a message on, once; it may be lost.
type Send struct {
	To      Peer
	Message *Message
}

// PushPull asks for an exchange of whole states with a member, over a connection.
type PushPull struct{ With Peer }

// Changed tells that a member is held to be in another state than before.
type Changed struct {
	Peer
	From, To    State
	Incarnation uint32
	Doubts      int    // observers that doubt it, as far as is known here
	Reason      string // in words, for logs
}

// NameConflict tells that this door can't take part, as another one has its name; with no error, that it can again.
type NameConflict struct{ Err *NameTakenError }

// Departed tells that Leave has been said often enough to end.
type Departed struct{}
