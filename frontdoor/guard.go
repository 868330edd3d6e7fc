package frontdoor

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
)

// invariant is a rule that the door enforces independently of its decider and of any failure. Each constant names the action
// that violates the rule.
type invariant uint8

const (
	startWithoutClient invariant = iota // an attempt for a request that has been answered or whose client has gone
	startTooLate                        // an attempt after the request's deadline, which shutdown may have limited
	startAtIneligible                   // an attempt to a backend that drains, is gone or is withheld
	repeatUnsafe                        // a second attempt of a non-idempotent request that may have run
	repeatPastWindow                    // a repeat of a keyed request where the first attempt's key may be forgotten
	closeUnanswered                     // a connection closed by the door while a request on it has no answer
	openPastShutdown                    // a request without an answer when Shutdown.AnswersOverdue reports true
	invariants                          // number of invariants
)

// String returns the name of the invariant in periodic summaries and logs.
func (i invariant) String() string {
	return [...]string{"start_for_nobody", "start_too_late", "start_at_unlisted", "repeat_unsafe", "repeat_forgotten", "close_owing", "open_past_end"}[i]
}

// guard is the single check that every start and repeat of an attempt, every close of a connection by the door and the end of
// every request passes. An action that would violate an invariant is counted, logged and not executed. It is used by the event
// loop only.
type guard struct {
	log   logrus.FieldLogger
	tally *tally
}

// violation counts a violation and logs it with the ids concerned.
func (g *guard) violation(which invariant, ids logrus.Fields) {
	g.tally.violations[which]++
	g.log.WithFields(ids).WithField(fields.Invariant, which.String()).Error("invariant violation prevented")
}

// mayStart reports whether an attempt may start now.
func (c *core) mayStart(req *request, backend int) bool {
	which, violated := c.startViolation(req, &c.backends[backend])
	if !violated {
		which, violated = c.repeatViolation(req, &c.backends[backend])
	}
	if violated {
		c.guard.violation(which, logrus.Fields{fields.Request: req.msg.ID, fields.Attempt: len(req.attempts), fields.Backend: c.backends[backend].id,
			fields.LeftMs: req.deadline - c.now})
	}
	return !violated
}

// startViolation returns the invariant, if any, that an attempt would violate if it started now.
func (c *core) startViolation(req *request, b *backend) (invariant, bool) {
	switch {
	case req.done:
		return startWithoutClient, true
	case c.now >= req.deadline:
		return startTooLate, true
	case !b.eligible:
		return startAtIneligible, true
	}
	return 0, false
}

// repeatViolation returns the invariant, if any, that an attempt would violate by repeating earlier attempts.
func (c *core) repeatViolation(req *request, b *backend) (invariant, bool) {
	class := &c.cfg.Settings.Terms.Classes[req.class]
	for _, earlier := range req.attempts {
		switch {
		case earlier.ended && earlier.outcome.result().NeverRan(), class.Semantics == gate.Idempotent:
		case class.Semantics == gate.NonIdempotent:
			return repeatUnsafe, true
		case c.now >= earlier.startedAt+class.DedupWindow, !c.sameDedupGroup(class.Scope, b, &c.backends[earlier.backend]):
			return repeatPastWindow, true
		}
	}
	return 0, false
}

// sameDedupGroup reports whether two backends discard each other's repeats.
func (c *core) sameDedupGroup(scope gate.Scope, a, b *backend) bool {
	switch scope {
	case gate.ScopeZone:
		return a.zone == b.zone
	case gate.ScopeCell:
		return a.cell == b.cell
	}
	return true
}

// checkClose reports a violation if the door closed a client connection that had an unanswered request.
func (c *core) checkClose(cl *client, reason closeReason) {
	if cl.op >= 0 && reason != closedByClient && reason != closedWriteFailed {
		c.guard.violation(closeUnanswered, logrus.Fields{fields.Connection: cl.id, fields.Request: c.requests[cl.op].msg.ID, fields.Why: reason.String()})
	}
}

// failOpenRequests answers every request that is still open after the decider should have answered all of them.
func (c *core) failOpenRequests() {
	for op := range c.requests {
		if req := &c.requests[op]; req.msg != nil && !req.done {
			c.guard.violation(openPastShutdown, logrus.Fields{fields.Request: req.msg.ID, fields.LeftMs: req.deadline - c.now})
			c.answer(op, answer{status: http.StatusBadGateway}, openPastShutdown.String())
		}
	}
}
