package frontdoor

import (
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/internal/fields"
)

// Single requests, attempts and connections are logged at debug level only: their ids, their steps, and why each ended. At
// other levels tracing costs one comparison per step.

// debugEnabled reports whether a logger writes debug messages.
func debugEnabled(log logrus.FieldLogger) bool {
	levels, ok := log.(interface{ IsLevelEnabled(logrus.Level) bool })
	return ok && levels.IsLevelEnabled(logrus.DebugLevel)
}

func (c *core) traceRequest(op int) {
	if c.traceEnabled {
		req := &c.requests[op]
		c.log.WithFields(logrus.Fields{fields.Request: req.msg.ID, fields.Connection: req.client.id, fields.LeftMs: req.deadline - c.now,
			fields.Leaving: c.shuttingDown}).Debug("request taken")
	}
}

func (c *core) traceAnswer(req *request, status int, reason string) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Request: req.msg.ID, fields.Connection: req.client.id, fields.Status: status, fields.Why: reason,
			fields.LeftMs: req.deadline - c.now}).Debug("request answered")
	}
}

func (c *core) traceAttempt(att *attempt) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Request: c.requests[att.op].msg.ID, fields.Attempt: att.number, fields.Backend: c.backends[att.backend].id,
			fields.LeftMs: att.deadline - c.now}).Debug("attempt started")
	}
}

func (c *core) traceAttemptEnd(att *attempt, how outcome) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Request: c.requests[att.op].msg.ID, fields.Attempt: att.number, fields.Backend: c.backends[att.backend].id,
			fields.Why: how.String()}).Debug("attempt ended")
	}
}

func (c *core) traceConnection(cl *client, message, reason string) {
	if c.traceEnabled {
		c.log.WithFields(logrus.Fields{fields.Connection: cl.id, fields.Why: reason}).Debug(message)
	}
}
