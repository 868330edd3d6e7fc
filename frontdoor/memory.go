package frontdoor

import (
	"math"
	"sync"
	"time"
)

// A door's memory is bounded by its limit: whatever a peer can make a connection hold is acquired from one budget before it is held.
// When it runs short, large requests are refused first, then new connections, then small requests; large answers wait for others,
// and small answers come last.
const (
	processMemory    = 12 << 20 // bytes that a process needs without connections: program, runtime, fleet list, state of the decider
	collectorReserve = 0.6      // bytes of garbage and fragmentation for each byte held
	minMemoryBudget  = 2 << 20  // bytes, for limits that hardly suffice for the process itself
	backendMemory    = 2 << 10  // bytes of the state of a backend on the fleet list
	connectionMemory = 6 << 10  // bytes of a connection's goroutines and state, of either direction
	smallMessage     = 4 << 10  // bytes up to which a request or an answer counts as small; the first read of a request stays below

	largeRequestReserve = 1.0 / 2 // share of the budget that large requests leave to all else
	connectionReserve   = 3.0 / 8 // share that new client connections leave to requests and answers
	smallRequestReserve = 1.0 / 4 // share that small requests leave to backend connections and answers
	largeAnswerReserve  = 1.0 / 8 // share that large answers leave to small ones

	memoryPollInterval = 25 * time.Millisecond // between two tries to get memory
	memoryAskInterval  = 10 * time.Millisecond // between two searches for requests that have to give theirs back
)

// memoryBudget limits the memory that connections hold.
type memoryBudget struct {
	total int64 // bytes
	mu    sync.Mutex
	free  int64
}

// newMemoryBudget returns the budget of a process with a limit in MB; 0 means no limit.
func newMemoryBudget(limitMB int) *memoryBudget {
	total := int64(math.MaxInt64)
	if limitMB > 0 {
		total = max(minMemoryBudget, int64(float64(int64(limitMB)<<20-processMemory)/(1+collectorReserve)))
	}
	return &memoryBudget{total: total, free: total}
}

// acquire takes bytes if a share of the budget stays free after it, and reports whether it did.
func (b *memoryBudget) acquire(bytes int, reserve float64) bool {
	left := int64(reserve * float64(b.total))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free-int64(bytes) < left {
		return false
	}
	b.free -= int64(bytes)
	return true
}

// take takes bytes that are held already, whether they are free or not.
func (b *memoryBudget) take(bytes int) { b.release(-bytes) }

// release returns bytes.
func (b *memoryBudget) release(bytes int) {
	b.mu.Lock()
	b.free += int64(bytes)
	b.mu.Unlock()
}

// held returns the bytes that are taken.
func (b *memoryBudget) held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total - b.free
}

// memoryLease is memory taken from a budget for one message. The zero value is a lease of nothing.
type memoryLease struct {
	budget *memoryBudget
	bytes  int
}

// resize changes the lease to bytes, and reports whether it did. It always succeeds if that is no more than before.
func (l *memoryLease) resize(bytes int, small, large float64) bool {
	reserve := large
	if bytes <= smallMessage {
		reserve = small
	}
	if more := bytes - l.bytes; more > 0 {
		if !l.budget.acquire(more, reserve) {
			return false
		}
	} else {
		l.budget.release(-more)
	}
	l.bytes = bytes
	return true
}

// resizeRequest is resize for the memory of a request.
func (l *memoryLease) resizeRequest(bytes int) bool {
	return l.resize(bytes, smallRequestReserve, largeRequestReserve)
}

// resizeAnswer is resize for the memory of an answer.
func (l *memoryLease) resizeAnswer(bytes int) bool { return l.resize(bytes, 0, largeAnswerReserve) }

// release ends the lease.
func (l *memoryLease) release() {
	if l.bytes > 0 {
		l.budget.release(l.bytes)
		l.bytes = 0
	}
}

// transfer returns the lease and leaves a lease of nothing.
func (l *memoryLease) transfer() memoryLease {
	moved := *l
	l.bytes = 0
	return moved
}

// memoryNeeded reports that a large request waits for memory. Large requests that have been arriving for longer than a client needs to
// send one are given up for it. Where all of them wait for memory themselves, only the oldest is.
type memoryNeeded struct{}

func (memoryNeeded) handle(c *core) {
	var oldestWaiting *client
	found, overdue := false, c.clock.now()-c.cfg.Pace.Linger/silentLingerDivisor
	oldest := overdue
	for cl := range c.clients {
		since := cl.largeSince.load()
		switch {
		case cl.op >= 0 || since == 0 || since >= overdue || cl.closeRequested.Load():
		case !cl.awaitsMemory.Load():
			cl.requestClose(closedForMemory)
			found = true
		case since < oldest:
			oldestWaiting, oldest = cl, since
		}
	}
	if !found && oldestWaiting != nil {
		oldestWaiting.requestClose(closedForMemory)
	}
}

// askForMemory posts memoryNeeded, unless that was done a moment ago.
func (c *core) askForMemory() {
	now := c.clock.now()
	last := c.memoryAskedAt.load()
	if now-last >= float64(memoryAskInterval)/float64(time.Millisecond) && c.memoryAskedAt.swap(last, now) {
		c.post(memoryNeeded{})
	}
}
