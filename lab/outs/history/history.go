// Package history checks the answers that operators received about drains for linearizability: the calls and answers must be
// explainable by a single state that executes one command at a time. It knows the calls with the true times of call and answer,
// and nothing of permits. The check itself is done by anishathalye/porcupine.
package history

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Call is the kind of a call.
type Call int

// Kinds of calls.
const (
	Drain Call = iota
	Undrain
	Read // lists the units that are out and those that are coming back
)

// Outcome is how a call was answered.
type Outcome int

// Outcomes. A lost call has no answer: it may have been executed or not, at any time after it was sent.
const (
	Done Outcome = iota
	Refused
	Lost
)

// Op is one call of an operator, with the true times at which it was sent and answered, ms.
type Op struct {
	Operator int
	Call     Call
	Unit     string
	Outcome  Outcome
	Out      []string // answer to a Read
	Back     []string
	From, To float64
}

// state is a possible state of the model: units that are out, and units that are coming back, some of which may be back already.
// Both are sorted lists joined by commas, so that states are comparable.
type state struct{ out, back string }

func split(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func join(of []string) string {
	of = slices.Clone(of)
	slices.Sort(of)
	return strings.Join(of, ",")
}

func without(of []string, unit string) []string {
	return slices.DeleteFunc(slices.Clone(of), func(u string) bool { return u == unit })
}

// step returns the states to which an operation can lead; none if it is impossible in state s. budget is how many units may be out.
func step(budget int, s state, op Op) (next []state) {
	out, back := split(s.out), split(s.back)
	apply := func() (state, bool) {
		switch op.Call {
		case Drain:
			// A unit that is coming back may already be back; if the budget has no place left for it, it must be.
			if slices.Contains(out, op.Unit) || len(out) >= budget {
				return s, false
			}
			if back = without(back, op.Unit); len(out)+1 == budget { // no place is left for a unit that is still coming back
				back = nil
			}
			return state{join(append(slices.Clone(out), op.Unit)), join(back)}, true
		case Undrain:
			if !slices.Contains(out, op.Unit) {
				return s, false
			}
			return state{join(without(out, op.Unit)), join(append(slices.Clone(back), op.Unit))}, true
		}
		return s, true
	}
	switch {
	case op.Call == Read && op.Outcome == Done:
		if join(op.Out) != s.out || len(op.Out)+len(op.Back) > budget || slices.ContainsFunc(op.Back, func(u string) bool { return !slices.Contains(back, u) }) {
			return nil
		}
		return []state{{s.out, join(op.Back)}}
	case op.Call == Read:
		return []state{s}
	case op.Outcome == Refused:
		if op.Call == Undrain && slices.Contains(out, op.Unit) {
			return nil // a drain that is in force can always be ended
		}
		return []state{s} // a refused drain is always possible: failures and a new leader are reasons too
	case op.Outcome == Done:
		if to, can := apply(); can {
			return []state{to}
		}
		return nil
	}
	next = []state{s}
	if to, can := apply(); can {
		next = append(next, to)
	}
	return next
}

// Check reports whether the history is linearizable with a budget of so many units. ok is false if it is not, or if that can't be
// determined in the given time; detail explains the result.
func Check(budget int, ops []Op, timeout time.Duration) (ok bool, detail string) {
	sort.SliceStable(ops, func(a, b int) bool { return ops[a].From < ops[b].From })
	last := 0.0
	for _, op := range ops {
		last = max(last, op.From, op.To)
	}
	var all []porcupine.Operation
	for i, op := range ops {
		to := op.To
		if op.Outcome == Lost {
			to = last + 1 + float64(i) // it may take effect at any later time
		}
		all = append(all, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.From * 1e3), Output: nil, Return: int64(to * 1e3)})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(s, op, _ any) (next []any) {
			for _, to := range step(budget, s.(state), op.(Op)) {
				next = append(next, to)
			}
			return next
		},
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), all, timeout) {
	case porcupine.Ok:
		return true, fmt.Sprintf("%d calls are linearizable", len(ops))
	case porcupine.Unknown:
		return false, fmt.Sprintf("%d calls: undetermined after %v", len(ops), timeout)
	}
	return false, fmt.Sprintf("%d calls are not linearizable", len(ops))
}
