package frontdoor

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
)

// AccountIntervalMs is the interval between two summaries in the log, ms. Test runs of a fleet last some tens of seconds, and
// one line per door every 5 s keeps a log of hundreds of doors readable.
const AccountIntervalMs = 5e3

// tally counts what a door did since its last summary in the log. Summaries of all doors can be added up to get the fleet's
// counts, without logging single requests.
type tally struct {
	nextAt           float64 // clock of the next summary, ms; 0 before the first
	arrived, sent    int
	rejected, failed [gate.CauseCount]int
	differences      [gate.DifferenceCount]int
	retried          int
	discoveryCalls   int
	watchesEnded     int
	lateCounts       int
	repeatedIDs      int
	ended            [outcomes]int
	closed           [closeReasons]int
	violations       [invariants]int
}

// fields returns the tally as log fields. Optional counts that are 0 are left out.
func (t *tally) fields() logrus.Fields {
	f := logrus.Fields{fields.Arrived: t.arrived, fields.Sent: t.sent}
	for cause := range gate.CauseCount {
		if n := t.rejected[cause]; n > 0 {
			f[fields.Rejected+cause.String()] = n
		}
		if n := t.failed[cause]; n > 0 {
			f[fields.Failed+cause.String()] = n
		}
	}
	for kind := range gate.DifferenceCount {
		if n := t.differences[kind]; n > 0 {
			f[fields.Differs+kind.String()] = n
		}
	}
	if t.retried > 0 {
		f[fields.Retried] = t.retried
	}
	if t.discoveryCalls > 0 {
		f[fields.DiscoveryCalls] = t.discoveryCalls
	}
	if t.watchesEnded > 0 {
		f[fields.Watches] = t.watchesEnded
	}
	if t.lateCounts > 0 {
		f[fields.LateCounts] = t.lateCounts
	}
	if t.repeatedIDs > 0 {
		f[fields.RepeatedIDs] = t.repeatedIDs
	}
	for how, n := range t.ended {
		if n > 0 {
			f[fields.Ended+outcome(how).String()] = n
		}
	}
	for reason, n := range t.closed {
		if n > 0 {
			f[fields.Closed+closeReason(reason).String()] = n
		}
	}
	for which, n := range t.violations {
		if n > 0 {
			f[fields.Violated+invariant(which).String()] = n
		}
	}
	return f
}

// due reports whether the summary is due.
func (t *tally) due(now float64) bool { return t.nextAt > 0 && now >= t.nextAt }

// writeIfDue writes the summary when it is due and starts the next one.
func (t *tally) writeIfDue(now float64, log logrus.FieldLogger) {
	if t.nextAt == 0 {
		t.nextAt = now + AccountIntervalMs
	}
	if t.due(now) {
		t.write(log)
		*t = tally{nextAt: now + AccountIntervalMs}
	}
}

// write writes the summary, unless all counts are 0.
func (t *tally) write(log logrus.FieldLogger) {
	if f := t.fields(); len(f) > fixedFields || t.arrived > 0 || t.sent > 0 {
		log.WithFields(f).Info("account")
	}
}

const fixedFields = 2 // fields that every summary has

// Counts are totals since the start; they only grow. They count requests of a door, or a door's attempts to one backend.
type Counts struct {
	Arrived, Finished, InTime, Rejected, Failed uint64
	LatencyMs                                   float64 // sum over all finished, from the first byte
}

// addAnswer counts one final answer of the door.
func (n *Counts) addAnswer(status int, latency, contract float64) {
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

// addAttempt counts one attempt to a backend. Attempts never sent or cancelled say nothing about the backend and are not counted.
func (n *Counts) addAttempt(result gate.Result, latency float64) {
	switch result {
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
