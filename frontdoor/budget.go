package frontdoor

import (
	"sync"

	"github.com/swifthall/swifthall/internal/hedge"
)

// Reserves decide who may use the last sockets: discovery and the counter come before backends, and backends before new
// clients. Without the reserve for discovery, idle clients and hanging attempts would keep a door from noticing that discovery
// is available again.
const (
	clientReserveDivisor = 4                                                  // clients leave 1/4 of the sockets to backends, counter and discovery
	maxBackendReserve    = counterConnections + maxRetired + watchConnections // most sockets that backends leave to counter and discovery
	watchConnections     = hedge.MaxCalls                                     // calls of discovery that are outstanding at the same time
)

// socketBudget limits the number of sockets that a door holds open.
type socketBudget struct {
	clientReserve  int // sockets that client connections leave free
	backendReserve int // sockets that backend connections leave free
	mu             sync.Mutex
	free           int
	freed          chan struct{} // receives when a socket is released
}

func newSocketBudget(sockets int) *socketBudget {
	reserve := sockets / clientReserveDivisor
	return &socketBudget{clientReserve: reserve, backendReserve: min(maxBackendReserve, reserve/2), free: sockets, freed: make(chan struct{}, 1)}
}

// acquire takes a socket if more than reserve are free, and reports whether it did.
func (b *socketBudget) acquire(reserve int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free <= reserve {
		return false
	}
	b.free--
	return true
}

// low reports whether no more than reserve sockets are free.
func (b *socketBudget) low(reserve int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free <= reserve
}

// release returns a socket to the budget and wakes a waiting acceptor.
func (b *socketBudget) release() {
	b.mu.Lock()
	b.free++
	b.mu.Unlock()
	select {
	case b.freed <- struct{}{}:
	default:
	}
}
