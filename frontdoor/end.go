package frontdoor

import "github.com/swifthall/swifthall/gate"

// outcome is how a connection's part in an attempt or in a call of the counter came to its outcome.
type outcome uint8

const (
	outcomeOK              outcome = iota // whole answer, 200
	outcomeError                          // whole answer of another kind
	outcomeTurnedAway                     // whole answer: unseen
	outcomeNoSocket                       // the socket budget is spent
	outcomeNoConnection                   // the connection was refused or never came up
	outcomeBrokenUnsent                   // broke before the last byte was written
	outcomeBroken                         // broke after that
	outcomeMalformed                      // what came was no answer
	outcomeTimeoutUnsent                  // time ran out before the last byte was written
	outcomeTimeout                        // time ran out after that
	outcomeAbandonedUnsent                // given up by the door before the last byte was written
	outcomeAbandoned                      // given up after that
	outcomes                              // how many there are
)

// String names the end as accounts and logs do.
func (e outcome) String() string {
	return [...]string{"well", "ill", "turned_away", "no_socket", "no_connection", "cut_unsent", "cut", "garbled", "late_unsent", "late",
		"left_unsent", "left"}[e]
}

// results holds what each end means to the decisions. What was not written to its last byte never ran.
var results = [...]gate.Result{
	outcomeOK: gate.Finished, outcomeError: gate.Errored, outcomeTurnedAway: gate.Full,
	outcomeNoSocket: gate.Skipped, outcomeNoConnection: gate.Unreachable,
	outcomeBrokenUnsent: gate.Unreachable, outcomeBroken: gate.Reset, outcomeMalformed: gate.Spoilt,
	outcomeTimeoutUnsent: gate.Skipped, outcomeTimeout: gate.TimedOut,
	outcomeAbandonedUnsent: gate.Skipped, outcomeAbandoned: gate.Cancelled,
}

func (e outcome) result() gate.Result { return results[e] }

// asUnsent is the end of what had not been written when a connection ended.
func (e outcome) asUnsent() outcome {
	if e == outcomeOK {
		return outcomeBrokenUnsent
	}
	return e
}
