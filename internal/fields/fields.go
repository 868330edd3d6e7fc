// Package fields defines the names of the log fields for all packages. Errors are logged under logrus.ErrorKey.
package fields

// Fields of a door's configuration.
const (
	Door      = "door"      // name of the door
	Listen    = "listen"    // address where clients connect
	Discovery = "discovery" // address of the fleet list
	Counter   = "counter"   // address of the shared counter
)

// Fields of a door's periodic summary: counts since the previous one.
const (
	Arrived        = "arrived"         // requests received
	Sent           = "sent"            // attempts started
	Rejected       = "rejected_"       // prefix of a cause: requests rejected for it
	Failed         = "scrapped_"       // prefix of a cause: requests failed for it
	Differs        = "differs_"        // prefix of a kind: decisions that the alternative settings would have made differently
	Retried        = "retried"         // attempts started after the first one of their request
	DiscoveryCalls = "discovery_calls" // calls for the fleet list
	Watches        = "watches_ended"   // watches of the fleet list that ended
	LateCounts     = "late_counts"     // answers of the counter that came after their timeout
	RepeatedIDs    = "repeated_ids"    // requests refused because their id is open, or may have run a short time ago
	Ended          = "ended_"          // prefix of an outcome: attempts that ended with it
	Closed         = "closed_"         // prefix of a reason: client connections closed for it
	Violated       = "violations_"     // prefix of an invariant: times that a violation was prevented
)

// Fields of what a door holds at the time of its summary.
const (
	Connections  = "connections"         // client connections
	BackendConns = "backend_connections" // connections to backends
	HeldKB       = "held_kb"             // memory that connections and messages hold, by the door's own count, in KiB
	ResidentKB   = "resident_kb"         // resident memory of the process, in KiB; left out if unknown
)

// Fields of a door's shutdown.
const (
	Requests = "requests"  // requests without a response so far
	AnswerMs = "answer_ms" // time until every request has a response, in ms
	KillMs   = "kill_ms"   // time until the process may be killed, in ms
)

// Fields of single requests, attempts and connections, which are logged at level debug only.
const (
	Request    = "request"    // id that the client sent
	Connection = "connection" // number of a client connection since the start of the door
	Attempt    = "attempt"    // number of the attempt, from 0
	Backend    = "backend"    // name on the fleet list
	Status     = "status"     // status of a response
	LeftMs     = "left_ms"    // time left until the client gives up, in ms
	Leaving    = "leaving"    // whether the door is shutting down
	Invariant  = "invariant"  // invariant whose violation was prevented
	Times      = "times"      // number of occurrences since the last log line
)

// Fields of a door's view of its fleet.
const (
	Member      = "member"   // name of another door, or its address
	From        = "from"     // previous state
	To          = "to"       // new state
	Incarnation = "life"     // incarnation of the member
	Suspicions  = "doubts"   // number of observers that suspect the member
	Why         = "why"      // reason as text
	Clock       = "clock_ms" // the machine's monotonic clock, in ms
	Remedy      = "remedy"   // what an operator can do about the error
)

// Fields of planned drains and releases.
const (
	Number = "number" // number of the permit
	Who    = "who"    // name of the operator
	Change = "change" // number of the last agreed change that a door has applied
	Names  = "names"  // names of backends
	Stack  = "stack"  // stack of the code that failed
)
