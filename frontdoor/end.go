package frontdoor

import "github.com/swifthall/swifthall/gate"

// end is how a connection's part in an attempt or in a call of the counter came to its end.
type end uint8

const (
	endWell       end = iota // whole answer, 200
	endIll                   // whole answer of another kind
	endTurnedAway            // whole answer: unseen
	endNoSocket              // the socket budget is spent
	endNoConn                // the connection was refused or never came up
	endCutUnsent             // broke before the last byte was written
	endCut                   // broke after that
	endGarbled               // what came was no answer
	endLateUnsent            // time ran out before the last byte was written
	endLate                  // time ran out after that
	endLeftUnsent            // given up by the door before the last byte was written
	endLeft                  // given up after that
	endKinds                 // how many there are
)

// String names the end as accounts and logs do.
func (e end) String() string {
	return [...]string{"well", "ill", "turned_away", "no_socket", "no_connection", "cut_unsent", "cut", "garbled", "late_unsent", "late",
		"left_unsent", "left"}[e]
}

// results holds what each end means to the decisions. What was not written to its last byte never ran.
var results = [...]gate.Result{
	endWell: gate.Finished, endIll: gate.Errored, endTurnedAway: gate.Full,
	endNoSocket: gate.Skipped, endNoConn: gate.Unreachable,
	endCutUnsent: gate.Unreachable, endCut: gate.Reset, endGarbled: gate.Malformed,
	endLateUnsent: gate.Skipped, endLate: gate.TimedOut,
	endLeftUnsent: gate.Skipped, endLeft: gate.Cancelled,
}

func (e end) result() gate.Result { return results[e] }

// unsent is the end of what had not been written when a connection ended.
func (e end) unsent() end {
	if e == endWell {
		return endCutUnsent
	}
	return e
}
