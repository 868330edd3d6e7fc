package frontdoor

import (
	"github.com/sirupsen/logrus"

	"github.com/swifthall/swifthall/internal/fields"
	"github.com/swifthall/swifthall/internal/reading"
)

// resources are what a door holds at a moment, for its periodic summary.
type resources struct {
	clients      int                  // client connections
	backendConns int                  // backend connections
	heldMemory   int64                // taken from the memory budget, bytes
	resident     reading.Value[int64] // resident memory of the process, bytes
}

// resources returns what the door holds now.
func (c *core) resources() resources {
	return resources{len(c.clients), len(c.backendConns), c.memory.held(), c.signals.resident()}
}

// fields returns the resources as log fields.
func (r resources) fields() logrus.Fields {
	f := logrus.Fields{fields.Connections: r.clients, fields.BackendConns: r.backendConns, fields.HeldKB: r.heldMemory >> 10}
	if resident, known := r.resident.Get(); known {
		f[fields.ResidentKB] = resident >> 10
	}
	return f
}

// writeSummary writes the periodic summary when it is due.
func (c *core) writeSummary() {
	log := c.log
	if c.tally.due(c.now) {
		log = log.WithFields(c.resources().fields())
	}
	c.tally.writeIfDue(c.now, log)
}
