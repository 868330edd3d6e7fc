package permits

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime/debug"
)

// maxReplayed is the number of commands after which a replica encodes its state anew. Encoding a state with 10,000 calendar entries
// takes as long as a few commands.
const maxReplayed = 1024

// Replica is a coordinator's copy of the state, which survives a command that the code can't execute: such a command changes
// nothing, on every coordinator alike, and its caller gets a FaultError. Without that the command, which stays in the log, would
// end every coordinator, and again at each start.
type Replica struct {
	state   *State
	base    []byte   // the encoded state before the commands in applied
	applied [][]byte // the encoded commands since base; decoded ones may share memory with the state
	apply   func(*State, Command) Answer
}

// Fault is a command that the code could not execute, for the log.
type Fault struct {
	Command Command
	Reason  string // what the code panicked with
	Stack   string
}

// NewReplica returns a replica of a state.
func NewReplica(s *State) (*Replica, error) {
	r := &Replica{state: s, apply: (*State).Apply}
	return r, r.rebase()
}

// State returns the state. A command that fails replaces it.
func (r *Replica) State() *State { return r.state }

// Apply executes a command as State.Apply does. encoded is the command as it stands in the log. fault is nil unless the code can't
// execute it.
func (r *Replica) Apply(c Command, encoded []byte) (a Answer, fault *Fault) {
	if a, fault = r.attempt(c); fault != nil {
		return r.undo(c), fault
	}
	if r.applied = append(r.applied, encoded); len(r.applied) >= maxReplayed {
		_ = r.rebase() // without a new base the present one stays valid
	}
	return a, nil
}

// attempt executes a command and recovers from a panic, which leaves the state partly changed.
func (r *Replica) attempt(c Command) (a Answer, fault *Fault) {
	defer func() {
		if reason := recover(); reason != nil {
			fault = &Fault{c, fmt.Sprint(reason), string(debug.Stack())}
		}
	}()
	return r.apply(r.state, c), nil
}

// undo restores the state from before a command that failed, and records the answer to the command's caller.
func (r *Replica) undo(c Command) Answer {
	s, err := Load(bytes.NewReader(r.base))
	if err != nil {
		panic(err) // it was encoded by this process
	}
	for _, encoded := range r.applied {
		var earlier Command
		if err := json.Unmarshal(encoded, &earlier); err != nil {
			panic(err) // it has been decoded before
		}
		r.apply(s, earlier)
	}
	a := Answer{Err: &FaultError{commandName(c)}}
	s.Callers[c.Caller] = &LastCommand{c.Seq, s.NowMs, a}
	s.audit(0, "could not be executed: "+commandName(c), c.Caller, "")
	r.state = s
	if err := r.rebase(); err != nil {
		panic(err) // the answer would be lost with the next command that fails
	}
	return a
}

// rebase encodes the present state.
func (r *Replica) rebase() error {
	var out bytes.Buffer
	if err := r.state.Save(&out); err != nil {
		return err
	}
	r.base, r.applied = out.Bytes(), nil
	return nil
}
