package frontdoor

import (
	"github.com/swifthall/swifthall/gate"
	"github.com/swifthall/swifthall/identity"
)

// A keyed request may be repeated only where backends share its key, which depends on which backend a process belongs to. Repeats
// therefore go only to processes that are surely the listed ones, and only if earlier attempts did.

// scoped reports whether only some backends discard repeats of a class's requests.
func (c *core) scoped(class int) bool {
	t := &c.cfg.Settings.Terms.Classes[class]
	return t.Semantics == gate.Keyed && t.Scope != gate.ScopeAll
}

// confirmGroup reports whether an attempt may be sent over its connection, and records whether the process that it reaches is surely
// the listed one.
func (c *core) confirmGroup(att *attempt) bool {
	req := &c.requests[att.op]
	if !c.scoped(req.class) {
		return true
	}
	att.unconfirmed = !c.backends[att.backend].process.Certain(c.now, att.conn.establishedAt)
	for _, earlier := range req.attempts {
		repeats := earlier != att && !(earlier.ended && earlier.outcome.result().NeverRan())
		if repeats && (earlier.unconfirmed || att.unconfirmed) {
			return false
		}
	}
	return true
}

// connectionLost records that a backend's side ended a connection, or that none could be established. Attempts that wait for a new
// connection to it may reach another process.
func (c *core) connectionLost(backend int) {
	c.backends[backend].process.ConnectionLost(c.now)
	for conn := range c.backendConns {
		att := conn.attempt
		if conn.backend != backend || att == nil || att.ended || conn.establishedAt != identity.NewConnection || c.confirmGroup(att) {
			continue
		}
		if att.stage.CompareAndSwap(stageWaiting, stageDropped) {
			c.closeConn(conn)
			c.finish(att, outcomeUnconfirmed, c.now, -1, -1)
		}
	}
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
