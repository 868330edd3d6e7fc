package frontdoor

import (
	"bytes"
	"os"
	"strconv"

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

// residentMemory returns the resident memory of the process in bytes, if the system tells it (proc_pid_statm(5)).
func residentMemory() reading.Value[int64] {
	statm, err := os.ReadFile("/proc/self/statm")
	columns := bytes.Fields(statm)
	if err != nil || len(columns) < 2 {
		return reading.Unknown[int64]()
	}
	pages, err := strconv.ParseInt(string(columns[1]), 10, 64)
	if err != nil {
		return reading.Unknown[int64]()
	}
	return reading.Known(pages * int64(os.Getpagesize()))
}
