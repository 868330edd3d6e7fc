package frontdoor

import "container/heap"

// expirer is something with a timeout. expire is called when the timeout is due; settled reports that it would do nothing.
type expirer interface {
	expire(*core)
	settled() bool
}

// timeout is one entry of a timeoutHeap.
type timeout struct {
	at     float64 // clock at which it is due, ms
	target expirer
}

// timeoutHeap is a heap of timeouts, the earliest first. A timeout is not removed when its target ends early, which then ignores it;
// but when the heap has doubled, all those are.
type timeoutHeap []timeout

func (h timeoutHeap) Len() int           { return len(h) }
func (h timeoutHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timeoutHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeoutHeap) Push(x any)        { *h = append(*h, x.(timeout)) }
func (h *timeoutHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n] = timeout{}
	*h = (*h)[:n]
	return x
}

// add adds a timeout.
func (h *timeoutHeap) add(at float64, target expirer) {
	if len(*h) == cap(*h) && len(*h) >= minTimeoutRoom {
		h.removeEnded()
	}
	heap.Push(h, timeout{at, target})
}

// minTimeoutRoom is the number of timeouts below which those of ended targets are left alone.
const minTimeoutRoom = 256

// removeEnded removes the timeouts of ended targets, and makes room for as many as are left.
func (h *timeoutHeap) removeEnded() {
	left := make(timeoutHeap, 0, len(*h))
	for _, t := range *h {
		if !t.target.settled() {
			left = append(left, t)
		}
	}
	*h = append(make(timeoutHeap, 0, max(minTimeoutRoom, 2*len(left))), left...)
	heap.Init(h)
}

// expireDue expires the targets of all timeouts that are due.
func (h *timeoutHeap) expireDue(c *core) {
	for len(*h) > 0 && (*h)[0].at <= c.now {
		heap.Pop(h).(timeout).target.expire(c)
	}
}
