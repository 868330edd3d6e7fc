// Package history checks what operators were told of drains against what may be told at all: whatever coordinators do among
// themselves, it must look as if one agreed on everything, one command after the other (linearizable). It knows calls and
// answers with their true times, and no permit; the checker is anishathalye/porcupine.
package history

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Call is what was asked.
type Call int

// Calls.
const (
	Drain Call = iota
	Undrain
	Read // of what is out, and of what is coming back
)

// Outcome is what was answered.
type Outcome int

// Outcomes. A call whose answer never came may have happened or not, then or later.
const (
	Done Outcome = iota
	Refused
	Lost
)

// Op is one call of one operator, with the true times at which it was sent and answered, ms.
type Op struct {
	Operator int
	Call     Call
	Unit     string
	Outcome  Outcome
	Out      []string // told by a Read
	Back     []string
	From, To float64
}

// state is what may be so: units out, and units that are on their way back, of which some may be back already.
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

// step lists the states that a request may lead to; none where it can't have happened so. most is the budget.
func step(most int, s state, op Op) (next []state) {
	out, back := split(s.out), split(s.back)
	apply := func() (state, bool) {
		switch op.Call {
		case Drain:
			// Whatever is on its way back may be back, unless the budget says that it must be.
			if slices.Contains(out, op.Unit) || len(out) >= most {
				return s, false
			}
			if back = without(back, op.Unit); len(out)+1 == most { // there is no place left that one on its way back could have
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
		if join(op.Out) != s.out || len(op.Out)+len(op.Back) > most || slices.ContainsFunc(op.Back, func(u string) bool { return !slices.Contains(back, u) }) {
			return nil
		}
		return []state{{s.out, join(op.Back)}}
	case op.Call == Read:
		return []state{s}
	case op.Outcome == Refused:
		if op.Call == Undrain && slices.Contains(out, op.Unit) {
			return nil // it was out: nothing may refuse its way back
		}
		return []state{s} // a denial is never wrong by itself: failures and new leaders deny as well
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

// Check tells whether the history could have come from one that agrees on everything; with most units out at once. ok is false
// where it could not, or where that isn't known after a while.
func Check(most int, ops []Op, patience time.Duration) (ok bool, says string) {
	sort.SliceStable(ops, func(a, b int) bool { return ops[a].From < ops[b].From })
	last := 0.0
	for _, op := range ops {
		last = max(last, op.From, op.To)
	}
	var all []porcupine.Operation
	for i, op := range ops {
		to := op.To
		if op.Outcome == Lost {
			to = last + 1 + float64(i) // it may happen until the end
		}
		all = append(all, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.From * 1e3), Output: nil, Return: int64(to * 1e3)})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(s, op, _ any) (next []any) {
			for _, to := range step(most, s.(state), op.(Op)) {
				next = append(next, to)
			}
			return next
		},
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), all, patience) {
	case porcupine.Ok:
		return true, fmt.Sprintf("%d calls are as one would have answered them", len(ops))
	case porcupine.Unknown:
		return false, fmt.Sprintf("%d calls: not known after %v", len(ops), patience)
	}
	return false, fmt.Sprintf("%d calls can't have been answered by one that agrees on everything", len(ops))
}
