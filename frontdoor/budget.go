package frontdoor

import "sync"

// Who may take the last sockets: what a door needs to know where it may send goes before what it sends, and that before
// who comes. Without the first, idle clients and attempts that hang would keep a door from hearing that discovery is back.
const (
	clientsLeave  = 4                 // part of the sockets, one in so many, that clients leave for what they come for
	backendsLeave = 2*counted + watch // of these, what backends leave for the counter and the fleet list
	watch         = 2                 // connections of the fleet list: one that is ending, and the next
)

// budget shares out the sockets that a door may hold.
type budget struct {
	kept  int // what clients leave
	own   int // what backends leave
	mu    sync.Mutex
	free  int
	freed chan struct{} // told when one comes back
}

func newBudget(sockets int) *budget {
	kept := sockets / clientsLeave
	return &budget{kept: kept, own: min(backendsLeave, kept/2), free: sockets, freed: make(chan struct{}, 1)}
}

// take takes a socket if more than keep are free.
func (b *budget) take(keep int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free <= keep {
		return false
	}
	b.free--
	return true
}

// short tells whether no more than keep are free.
func (b *budget) short(keep int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free <= keep
}

func (b *budget) put() {
	b.mu.Lock()
	b.free++
	b.mu.Unlock()
	select {
	case b.freed <- struct{}{}:
	default:
	}
}
