// Package fields is the one vocabulary of the logs' fields, for every package that logs. Errors go under logrus.ErrorKey.
package fields

const (
	Door      = "door"      // name of the door
	Listen    = "listen"    // address where clients connect
	Discovery = "discovery" // address of the fleet list
	Counter   = "counter"   // address of the shared counter
)

// Fields of a door's account, written every few seconds: counts since the account before.
const (
	Arrived  = "arrived"     // requests that came in
	Sent     = "sent"        // attempts started
	Rejected = "rejected_"   // followed by the cause: requests rejected for it
	Failed   = "scrapped_"   // followed by the cause: requests failed for it
	Differs  = "differs_"    // followed by the kind: decisions that the settings under watch would have taken otherwise
	Retried  = "retried"     // attempts started that were not their request's first
	Ended    = "ended_"      // followed by how: attempts that ended so
	Closed   = "closed_"     // followed by the reason: client connections that ended for it
	Violated = "violations_" // followed by the invariant: times that it would have been broken
)

// Fields of a door's way out.
const (
	Requests    = "requests"    // that have no answer yet
	Connections = "connections" // of clients
	AnswerMs    = "answer_ms"   // until every request has its answer
	KillMs      = "kill_ms"     // until the process may be killed
)

// Fields of single requests, attempts and connections, which are logged at the level debug only.
const (
	Request    = "request"    // its id, as its client sent it
	Connection = "connection" // number of a client's connection, counted from the door's start
	Attempt    = "attempt"    // its number, from 0
	Backend    = "backend"    // name on the list
	Status     = "status"     // of an answer
	LeftMs     = "left_ms"    // to the end of the client's wait
	Leaving    = "leaving"    // the door is on its way out
	Invariant  = "invariant"  // that would have been broken
	Times      = "times"      // that something has happened since it was last logged
)

// Fields of what a door holds of its fleet.
const (
	Member      = "member"   // name of another door, or its address
	From        = "from"     // state before
	To          = "to"       // state from here on
	Incarnation = "life"     // of the member
	Suspicions  = "doubts"   // observers that doubt it
	Why         = "why"      // in words
	Clock       = "clock_ms" // the machine's monotonic clock
	Remedy      = "remedy"   // what an operator can do about the error
)

// Fields of what goes out by plan.
const (
	Number = "number" // of a permit
	Who    = "who"    // as named
	Change = "change" // up to which a door has carried out what is agreed
	Names  = "names"  // of backends
)
