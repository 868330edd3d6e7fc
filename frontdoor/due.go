package frontdoor

import "container/heap"

// expirer is something with a time-out.
type expirer interface{ expire(*core) }

type timeout struct {
	at     float64
	target expirer
}

// timeoutHeap is a heap of time-outs, the earliest first. What has ended meanwhile stays until its time and is
// then passed over.
type timeoutHeap []timeout

func (d timeoutHeap) Len() int           { return len(d) }
func (d timeoutHeap) Less(i, j int) bool { return d[i].at < d[j].at }
func (d timeoutHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *timeoutHeap) Push(x any)        { *d = append(*d, x.(timeout)) }
func (d *timeoutHeap) Pop() any {
	n := len(*d) - 1
	x := (*d)[n]
	(*d)[n] = timeout{}
	*d = (*d)[:n]
	return x
}

func (d *timeoutHeap) add(at float64, what expirer) { heap.Push(d, timeout{at, what}) }

// expireDue expires what is due.
func (d *timeoutHeap) expireDue(c *core) {
	for len(*d) > 0 && (*d)[0].at <= c.now {
		heap.Pop(d).(timeout).target.expire(c)
	}
}
