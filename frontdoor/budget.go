package frontdoor

import "sync"

// budget shares out the sockets that a door may hold.
type budget struct {
	kept  int // what clients leave for what they come for
	mu    sync.Mutex
	free  int
	freed chan struct{} // told when one comes back
}

func newBudget(sockets int) *budget {
	return &budget{kept: sockets / 4, free: sockets, freed: make(chan struct{}, 1)}
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
