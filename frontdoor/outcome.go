package frontdoor

import "github.com/swifthall/swifthall/gate"

// outcome is how an attempt, or a call of the counter, ended on its connection.
type outcome uint8

const (
	outcomeOK              outcome = iota // complete answer with status 200
	outcomeError                          // complete answer with any other status
	outcomeTurnedAway                     // complete answer: the request was turned away without being run
	outcomeNoSocket                       // the socket budget is used up
	outcomeUnconfirmed                    // the process at the backend's address may be another one than the listed one
	outcomeNoConnection                   // the connection was refused or not established
	outcomeBrokenUnsent                   // connection broke before the last byte was written
	outcomeBroken                         // connection broke after the last byte was written
	outcomeMalformed                      // the bytes received were no valid answer
	outcomeTimeoutUnsent                  // timed out before the last byte was written
	outcomeTimeout                        // timed out after the last byte was written
	outcomeAbandonedUnsent                // abandoned by the door before the last byte was written
	outcomeAbandoned                      // abandoned by the door after the last byte was written
	outcomes                              // number of outcomes
)

// String returns the name of the outcome in periodic summaries and logs.
func (o outcome) String() string {
	return [...]string{"well", "ill", "turned_away", "no_socket", "unconfirmed", "no_connection", "cut_unsent", "cut", "garbled", "late_unsent", "late",
		"left_unsent", "left"}[o]
}

// results maps each outcome to the result reported to the decider. A request whose last byte was not written never ran.
var results = [...]gate.Result{
	outcomeOK: gate.Finished, outcomeError: gate.Errored, outcomeTurnedAway: gate.Full,
	outcomeNoSocket: gate.Skipped, outcomeUnconfirmed: gate.Skipped, outcomeNoConnection: gate.Unreachable,
	outcomeBrokenUnsent: gate.Unreachable, outcomeBroken: gate.Reset, outcomeMalformed: gate.Malformed,
	outcomeTimeoutUnsent: gate.Skipped, outcomeTimeout: gate.TimedOut,
	outcomeAbandonedUnsent: gate.Skipped, outcomeAbandoned: gate.Cancelled,
}

func (o outcome) result() gate.Result { return results[o] }

// asUnsent returns the outcome of a call that was still unwritten when its connection ended with outcome o.
func (o outcome) asUnsent() outcome {
	if o == outcomeOK {
		return outcomeBrokenUnsent
	}
	return o
}
