package frontdoor

import "container/heap"

// timed is something with a time-out.
type timed interface{ expire(*core) }

type dueEntry struct {
	at   float64
	what timed
}

// dueList is a heap of time-outs, the earliest first. What has ended meanwhile stays until its time and is
// then passed over.
type dueList []dueEntry

func (d dueList) Len() int           { return len(d) }
func (d dueList) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dueList) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dueList) Push(x any)        { *d = append(*d, x.(dueEntry)) }
func (d *dueList) Pop() any {
	n := len(*d) - 1
	x := (*d)[n]
	(*d)[n] = dueEntry{}
	*d = (*d)[:n]
	return x
}

func (d *dueList) add(at float64, what timed) { heap.Push(d, dueEntry{at, what}) }

// fire expires what is due.
func (d *dueList) fire(c *core) {
	for len(*d) > 0 && (*d)[0].at <= c.now {
		heap.Pop(d).(dueEntry).what.expire(c)
	}
}
