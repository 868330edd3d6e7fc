package frontdoor

// closeReason is why a client connection was closed.
type closeReason uint32

const (
	closedByClient    closeReason = iota // the client closed or reset the connection
	closedLastAnswer                     // an answer with Connection: close was sent
	closedWriteFailed                    // an answer could not be written
	closedBadRequest                     // the input was no valid request
	closedSlowRequest                    // a request took too long to arrive
	closedIdle                           // no request arrived for too long
	closedForSocket                      // its socket was needed for another client
	closedForMemory                      // its request needed memory, or held what others needed
	closedShutdown                       // the door is shutting down, and no request was open on the connection
	closeReasons                         // number of reasons
)

// String returns the name of the reason in periodic summaries and logs.
func (r closeReason) String() string {
	return [...]string{"by_client", "last_answer", "unwritten", "fault", "slow", "idle", "crowded", "memory", "shutdown"}[r]
}
