package permits

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against coordinators that all end, at each start anew, by one command in their log that the code can't execute.
func TestCommandThatCannotBeExecutedChangesNothing(t *testing.T) {
	const faulty = "faulty"
	rapid.Check(t, func(t *rapid.T) {
		replica, err := NewReplica(New())
		require.NoError(t, err)
		replica.apply = func(s *State, c Command) Answer {
			if _, is := c.Do.(Note); is && c.Caller == faulty {
				for _, u := range s.Units { // what was changed before the fault must not stay
					u.Standing = Failed
				}
				s.Next += 7
				s.Release = nil
				panic("a fault of the code")
			}
			return s.Apply(c)
		}
		control, seq, faults := New(), map[string]uint64{}, uint64(0)
		for n := range rapid.IntRange(1, 60).Draw(t, "commands") {
			var c Command
			raw, err := json.Marshal(drawCommand(t, n, seq))
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(raw, &c))
			got, fault := replica.Apply(c, raw)
			require.Nil(t, fault)
			require.Equal(t, control.Apply(c), got)
			if rapid.IntRange(0, 4).Draw(t, "fault") > 0 {
				continue
			}
			faults++
			got, fault = replica.Apply(Command{Caller: faulty, Seq: faults, Do: Note{What: "x"}}, nil)
			require.Equal(t, Answer{Err: &FaultError{"note"}}, got)
			require.Equal(t, "a fault of the code", fault.Reason)
			control.Callers[faulty] = &LastCommand{faults, control.NowMs, got}
			control.audit(0, "could not be executed: note", faulty, "")
		}
		x, err := json.Marshal(control)
		require.NoError(t, err)
		y, err := json.Marshal(replica.State())
		require.NoError(t, err)
		require.JSONEq(t, string(x), string(y))
	})
}

// A fault's error travels to the caller with its type.
func TestFaultErrorIsEncoded(t *testing.T) {
	raw, err := json.Marshal(Answer{Err: &FaultError{"note"}})
	require.NoError(t, err)
	var a Answer
	require.NoError(t, json.Unmarshal(raw, &a))
	var fault *FaultError
	require.True(t, errors.As(a.Err, &fault))
	require.Equal(t, "note", fault.Command)
}
