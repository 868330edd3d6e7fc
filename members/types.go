// Package members is the failure detector and membership protocol of a fleet of doors, as a pure state machine. It does
// no I/O and starts no goroutines: a driver feeds it a monotonic clock, received messages and ticks, and carries out the
// actions that it returns. docs/members.md describes the protocol and the alternatives that were considered.
//
// The membership is not agreed upon: shares of quotas may depend on it, ceilings never.
package members

import "encoding/json"

// State is the state of a member. Within one incarnation a member only ever moves to a later state of this list.
type State uint8

// States of a member. Suspect is only reported for a member that is here while some of its observers suspect it; it is
// never part of a record.
const (
	Unknown State = iota
	Joining       // announced itself, and too few observers have reached it so far
	Here          // a quorum of its observers has reached it
	Leaving       // announced that it is leaving
	Away          // a quorum of the votes says that it can't be reached
	Left          // announced that it has left
	Suspect       // here, but suspected by some observers
)

var stateNames = [...]string{"unknown", "joining", "here", "leaving", "away", "left", "doubted"}

func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[Unknown]
	}
	return stateNames[s]
}

// alive reports whether a member in this state is pinged and counts as an observer.
func (s State) alive() bool { return s == Joining || s == Here || s == Leaving }

// Peer is the identity of a member, as announced by itself.
type Peer struct {
	Name    string `json:"n"`
	Address string `json:"a"`           // at which it can be reached, host:port
	Zone    string `json:"z,omitempty"` // empty if the fleet has no zones
	Number  int    `json:"o"`           // number of the door in its fleet; -1 if it has none
	Release string `json:"e,omitempty"` // release of its program
	Nonce   uint64 `json:"i"`           // random, distinguishes processes of the same name
}

// Observation is what an observer found when it pinged a member.
type Observation uint8

// Observations.
const (
	Reached           Observation = iota // the member answers the observer
	ReachedIndirectly                    // it answers indirect pings, but not the observer's own
	Unreachable                          // it answers neither the observer's pings nor indirect ones
)

// Vote is the observation of one observer on one incarnation of a member.
type Vote struct {
	By          string
	Seq         uint32 // increases with each vote of an observer, across its incarnations
	Observation Observation
	Age         float64 // ms since the vote was cast; ages need no synchronized clocks
}

// MarshalJSON encodes a vote as a list: in a large failure votes make up most of the gossip.
func (v Vote) MarshalJSON() ([]byte, error) {
	return json.Marshal([4]any{v.By, v.Seq, v.Observation, v.Age})
}

// UnmarshalJSON decodes such a list.
func (v *Vote) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[4]any{&v.By, &v.Seq, &v.Observation, &v.Age})
}

// Record is the gossiped state of one member. Within an incarnation the later state wins; a later incarnation wins over
// all states of an earlier one.
type Record struct {
	Peer
	Incarnation uint32  `json:"l"` // raised only by the member itself
	State       State   `json:"s"`
	Age         float64 `json:"t"` // ms since the state was reached
	Votes       []Vote  `json:"v,omitempty"`
}

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Ping         Kind = iota // requests an Ack
	Ack                      // answers a Ping, with its sequence number
	IndirectPing             // requests that the receiver ping Target
	IndirectAck              // reports that Target answered the indirect ping that the receiver asked for
	Gossip                   // carries records only
	NameTaken                // reports that another door has the receiver's name; Target is the address of that door
)

// Message is sent from one member to another.
type Message struct {
	Kind             Kind     `json:"k"`
	From             Peer     `json:"f"`
	Incarnation      uint32   `json:"l"`           // incarnation of the sender
	State            State    `json:"s"`           // of the sender, in its own view
	Seq              uint32   `json:"q,omitempty"` // sequence number of a Ping and its Ack
	Target           string   `json:"x,omitempty"` // name or address, see Kind
	AckedIncarnation uint32   `json:"o,omitempty"` // in a Ping: the receiver's incarnation if it answered the sender lately, else 0
	Digest           uint64   `json:"h"`           // digest of the sender's state; members whose digests keep differing run a push/pull exchange
	Records          []Record `json:"r,omitempty"`
}

// Event is an input of Member.Step: Tick, Received, RemoteState or Leave.
type Event any

// Tick is due every TickEvery.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message *Message }

// RemoteState is the full state of another door, received in a push/pull exchange.
type RemoteState struct{ Records []Record }

// Leave requests that this door leave the fleet gracefully.
type Leave struct{}

// Action is an output of Member.Step: Send, PushPull, Changed, NameConflict or Departed.
type Action any

// Send requests that a message be sent once; it may be lost.
type Send struct {
	To      Peer
	Message *Message
}

// PushPull requests a push/pull exchange of full states with a member, over a connection.
type PushPull struct{ With Peer }

// Changed reports that the visible state of a member has changed.
type Changed struct {
	Peer
	From, To    State
	Incarnation uint32
	Suspicions  int    // observers known to suspect the member
	Reason      string // for logs
}

// NameConflict reports that this door can't be a member because another door has its name; a nil Err, that it can again.
type NameConflict struct{ Err *NameTakenError }

// Departed reports that the departure requested by Leave has been announced and the protocol has ended.
type Departed struct{}
