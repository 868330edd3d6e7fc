package frontdoor

import (
	"math"

	"github.com/swifthall/swifthall/gate"
)

// A keyed request may be repeated only where backends share its key, which depends on which backend a process belongs to. Where not all
// share it, an attempt is repeated only if it surely reached the listed process, and only where the next one surely does.

// notEstablished is the time of establishment of a connection that is not known to be established.
var notEstablished = math.Inf(1)

// scoped reports whether only some backends discard repeats of a class's requests.
func (c *core) scoped(class int) bool {
	t := &c.cfg.Settings.Terms.Classes[class]
	return t.Semantics == gate.Keyed && t.Scope != gate.ScopeAll
}

// mustConfirm reports whether an attempt may be sent only over a connection that surely reaches the listed process, as an earlier
// attempt may have run; allowed is false if that one may have reached another process, so that no repeat is safe.
func (c *core) mustConfirm(att *attempt) (confirm, allowed bool) {
	req := &c.requests[att.op]
	if !c.scoped(req.class) {
		return false, true
	}
	for _, earlier := range req.attempts {
		if earlier == att || earlier.number == att.number || earlier.ended && earlier.outcome.result().NeverRan() {
			continue
		}
		if confirm = true; !earlier.confirmed {
			return true, false
		}
	}
	return confirm, true
}

// reached reports whether a connection surely reaches the listed process.
func (c *core) reached(conn *backendConn) bool {
	return c.backends[conn.backend].process.Reached(c.now, conn.establishedAt)
}

// connEstablished reports that a connection to a backend has been established.
type connEstablished struct {
	conn *backendConn
	at   float64 // clock, ms
}

func (e connEstablished) handle(*core) { e.conn.establishedAt = e.at }

// releaseAddresses takes backends off the list whose address is listed for another one, as their own end is told later. It returns
// their indices.
func (c *core) releaseAddresses(listed map[string]int) (ended []int) {
	for i := range c.backends {
		b := &c.backends[i]
		if owner, found := listed[b.addr]; found && owner != i && b.listed && b.status != gate.Gone {
			b.status = gate.Gone
			ended = append(ended, i)
		}
	}
	return ended
}
