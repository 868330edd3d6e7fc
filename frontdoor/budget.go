package frontdoor

import "sync"

// Who may take the last sockets: what a door needs to know where it may send goes before what it sends, and that before
// who comes. Without the first, idle clients and attempts that hang would keep a door from hearing that discovery is back.
const (
	clientReserveDivisor = 4                                       // part of the sockets, one in so many, that clients leave for what they come for
	maxBackendReserve    = 2*counterConnections + watchConnections // of these, what backends leave for the counter and the fleet list
	watchConnections     = 2                                       // connections of the fleet list: one that is ending, and the next
)

// socketBudget shares out the sockets that a door may hold.
type socketBudget struct {
	clientReserve  int // what clients leave
	backendReserve int // what backends leave
	mu             sync.Mutex
	free           int
	freed          chan struct{} // told when one comes back
}

func newSocketBudget(sockets int) *socketBudget {
	kept := sockets / clientReserveDivisor
	return &socketBudget{clientReserve: kept, backendReserve: min(maxBackendReserve, kept/2), free: sockets, freed: make(chan struct{}, 1)}
}

// acquire takes a socket if more than keep are free.
func (b *socketBudget) acquire(keep int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free <= keep {
		return false
	}
	b.free--
	return true
}

// low tells whether no more than keep are free.
func (b *socketBudget) low(keep int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free <= keep
}

func (b *socketBudget) release() {
	b.mu.Lock()
	b.free++
	b.mu.Unlock()
	select {
	case b.freed <- struct{}{}:
	default:
	}
}
