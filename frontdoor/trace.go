package frontdoor

import (
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/internal/fields"
)

// The log tells single requests, attempts and connections at the level debug only: their ids, their steps, and why each
// ended. A door that does not log at that level pays one comparison a step.

// debugEnabled tells whether a log takes single requests.
func debugEnabled(log logrus.FieldLogger) bool {
	levels, ok := log.(interface{ IsLevelEnabled(logrus.Level) bool })
	return ok && levels.IsLevelEnabled(logrus.DebugLevel)
}

func (c *core) traceRequest(op int) {
	if c.traceEnabled {
		o := &c.requests[op]
		c.log.WithFields(logrus.Fields{fields.Request: o.msg.ID, fields.Connection: o.client.id, fields.LeftMs: o.deadline - c.now,
			fields.Leaving: c.shuttingDown}).Debug("request taken")
	}
}

func (c *core) traceAnswer(o *request, status int, why string) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Request: o.msg.ID, fields.Connection: o.client.id, fields.Status: status, fields.Why: why,
			fields.LeftMs: o.deadline - c.now}).Debug("request answered")
	}
}

func (c *core) traceAttempt(f *attempt) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Request: c.requests[f.op].msg.ID, fields.Attempt: f.number, fields.Backend: c.backends[f.backend].id,
			fields.LeftMs: f.deadline - c.now}).Debug("attempt started")
	}
}

func (c *core) traceAttemptEnd(f *attempt, how outcome) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Request: c.requests[f.op].msg.ID, fields.Attempt: f.number, fields.Backend: c.backends[f.backend].id,
			fields.Why: how.String()}).Debug("attempt ended")
	}
}

func (c *core) traceConnection(cl *client, what, why string) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Connection: cl.id, fields.Why: why}).Debug(what)
	}
}
