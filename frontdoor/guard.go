package frontdoor

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/internal/fields"
)

// invariant is a rule that the door keeps whatever its decisions say and whatever fails.
type invariant uint8

const (
	startForNobody  invariant = iota // an attempt for a request that has its answer, or whose client has gone
	startTooLate                     // an attempt for a request whose time, or the door's, is over
	startAtUnlisted                  // an attempt to a backend that drains, is gone or is withheld
	repeatUnsafe                     // a second attempt of what may have run and must not run twice
	repeatForgotten                  // a repeat of a keyed request where its first attempt is not remembered
	closeOwing                       // a connection closed by the door with a request on it that has no answer
	openPastEnd                      // a request with no answer past the end of a door that was told to end
	invariants                       // how many there are
)

// String names the invariant as accounts and logs do.
func (i invariant) String() string {
	return [...]string{"start_for_nobody", "start_too_late", "start_at_unlisted", "repeat_unsafe", "repeat_forgotten", "close_owing", "open_past_end"}[i]
}

// guard is the one place that every start and repeat of an attempt, every close of a connection by the door and the end of
// every request pass. What would break an invariant is counted, logged and not done. It belongs to the owner.
type guard struct {
	log    logrus.FieldLogger
	counts *tally
}

// breaks counts a violation and logs it with the ids that it is about.
func (g *guard) breaks(which invariant, about logrus.Fields) {
	g.counts.broken[which]++
	g.log.WithFields(about).WithField(fields.Invariant, which.String()).Error("an invariant would have been broken")
}

// mayStart tells whether an attempt may start now.
func (c *core) mayStart(o *request, backend int) bool {
	which, broken := c.startBreaks(o, &c.backends[backend])
	if !broken {
		which, broken = c.repeatBreaks(o, &c.backends[backend])
	}
	if broken {
		c.guard.breaks(which, logrus.Fields{fields.Request: o.msg.ID, fields.Attempt: len(o.attempts), fields.Backend: c.backends[backend].id,
			fields.LeftMs: o.until - c.now})
	}
	return !broken
}

func (c *core) startBreaks(o *request, b *backend) (invariant, bool) {
	switch {
	case o.over:
		return startForNobody, true
	case c.now >= o.until:
		return startTooLate, true
	case !b.up:
		return startAtUnlisted, true
	}
	return 0, false
}

// repeatBreaks tells whether an attempt would repeat what must not be repeated there.
func (c *core) repeatBreaks(o *request, b *backend) (invariant, bool) {
	class := &c.cfg.Settings.Terms.Classes[o.class]
	for _, before := range o.attempts {
		switch {
		case before.ended && before.how.result().NeverRan(), class.Semantics == gate.Idempotent:
		case class.Semantics == gate.NonIdempotent:
			return repeatUnsafe, true
		case c.now >= before.at+class.DedupWindow, !c.sameGroup(class.Scope, b, &c.backends[before.backend]):
			return repeatForgotten, true
		}
	}
	return 0, false
}

// sameGroup tells whether two backends discard each other's repeats.
func (c *core) sameGroup(scope gate.Scope, a, b *backend) bool {
	switch scope {
	case gate.ScopeZone:
		return a.zone == b.zone
	case gate.ScopeCell:
		return a.cell == b.cell
	}
	return true
}

// checkClose looks at a connection that has ended: the door may have ended it only with nothing owed on it.
func (c *core) checkClose(cl *client, why closing) {
	if cl.op >= 0 && why != closedByClient && why != closedUnwritten {
		c.guard.breaks(closeOwing, logrus.Fields{fields.Connection: cl.id, fields.Request: c.ops[cl.op].msg.ID, fields.Why: why.String()})
	}
}

// endAll gives every request that is still open its answer, past the end by which the decisions were to.
func (c *core) endAll() {
	for op := range c.ops {
		if o := &c.ops[op]; o.msg != nil && !o.over {
			c.guard.breaks(openPastEnd, logrus.Fields{fields.Request: o.msg.ID, fields.LeftMs: o.until - c.now})
			c.answer(op, http.StatusBadGateway, 0, nil, openPastEnd.String())
		}
	}
}
