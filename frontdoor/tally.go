package frontdoor

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
)

// AccountEvery is the clock between two accounts in the log, ms: a day of the fleet's is some tens of seconds, and a
// line a door every 5 s keeps a log of hundreds of doors readable.
const AccountIntervalMs = 5e3

// tally counts what a door did since its last account, so that the logs of a whole fleet can be added up; the log
// still never tells single requests.
type tally struct {
	at               float64 // clock of the next account, ms; 0 before the first
	arrived, sent    int
	rejected, failed [gate.CauseCount]int
	differs          [gate.DifferenceCount]int
	retried          int
	ended            [endKinds]int
	closed           [closings]int
	broken           [invariants]int
}

// fields is the account as log fields: counts that are 0 are left out.
func (t *tally) fields() logrus.Fields {
	f := logrus.Fields{fields.Arrived: t.arrived, fields.Sent: t.sent}
	for why := range gate.CauseCount {
		if n := t.rejected[why]; n > 0 {
			f[fields.Rejected+why.String()] = n
		}
		if n := t.failed[why]; n > 0 {
			f[fields.Failed+why.String()] = n
		}
	}
	for kind := range gate.DifferenceCount {
		if n := t.differs[kind]; n > 0 {
			f[fields.Differs+kind.String()] = n
		}
	}
	if t.retried > 0 {
		f[fields.Retried] = t.retried
	}
	for how, n := range t.ended {
		if n > 0 {
			f[fields.Ended+end(how).String()] = n
		}
	}
	for why, n := range t.closed {
		if n > 0 {
			f[fields.Closed+closing(why).String()] = n
		}
	}
	for which, n := range t.broken {
		if n > 0 {
			f[fields.Violated+invariant(which).String()] = n
		}
	}
	return f
}

// due writes the account when its time has come and begins the next one.
func (t *tally) due(now float64, log logrus.FieldLogger) {
	if t.at == 0 {
		t.at = now + AccountIntervalMs
	}
	if now >= t.at {
		t.write(log)
		*t = tally{at: now + AccountIntervalMs}
	}
}

// write writes the account, if there is anything to tell.
func (t *tally) write(log logrus.FieldLogger) {
	if f := t.fields(); len(f) > leastFields || t.arrived > 0 || t.sent > 0 {
		log.WithFields(f).Info("account")
	}
}

const leastFields = 2 // that every account has

// Counts are what a door has done since it began; they only grow.
type Counts struct {
	Arrived, Finished, InTime, Rejected, Failed uint64
	LatencyMs                                   float64 // of all finished, from their first byte, added up
}

// answered counts one final answer.
func (n *Counts) answered(status int, latency, contract float64) {
	switch status {
	case http.StatusOK:
		n.Finished++
		n.LatencyMs += latency
		if latency <= contract {
			n.InTime++
		}
	case http.StatusTooManyRequests:
		n.Rejected++
	default:
		n.Failed++
	}
}

// transmitted counts one attempt to a backend. What was never sent, or was given up for another, tells nothing of it.
func (n *Counts) transmitted(how gate.Result, latency float64) {
	switch how {
	case gate.Skipped, gate.Cancelled:
		return
	case gate.Finished:
		n.Finished++
		n.InTime++
		n.LatencyMs += latency
	case gate.Full:
		n.Rejected++
	default:
		n.Failed++
	}
	n.Arrived++
}
