package frontdoor

import "container/heap"

// expirer is something with a timeout. expire is called when the timeout is due.
type expirer interface{ expire(*core) }

// timeout is one entry of a timeoutHeap.
type timeout struct {
	at     float64 // clock at which it is due, ms
	target expirer
}

// timeoutHeap is a heap of timeouts, the earliest first. A timeout is not removed when its target ends early; the target then
// ignores it.
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

func (h *timeoutHeap) add(at float64, target expirer) { heap.Push(h, timeout{at, target}) }

// expireDue expires the targets of all timeouts that are due.
func (h *timeoutHeap) expireDue(c *core) {
	for len(*h) > 0 && (*h)[0].at <= c.now {
		heap.Pop(h).(timeout).target.expire(c)
	}
}
