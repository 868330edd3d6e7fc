package frontdoor

// closeReason says why a client connection ended.
type closeReason uint32

const (
	closedByClient    closeReason = iota // it closed or reset the connection
	closedLastAnswer                     // the answer that said so has left
	closedWriteFailed                    // an answer could not be written
	closedBadRequest                     // what came is no request
	closedSlowRequest                    // a request took too long to come
	closedIdle                           // no request came for too long
	closedForSocket                      // its socket was wanted for another client
	closedShutdown                       // the door is on its way out, and no request was on it
	closeReasons                         // how many there are
)

// String names the reason as accounts and logs do.
func (w closeReason) String() string {
	return [...]string{"by_client", "last_answer", "unwritten", "fault", "slow", "idle", "crowded", "shutdown"}[w]
}
