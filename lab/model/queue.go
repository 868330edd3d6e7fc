package model

// kind of what is due in the world.
type kind uint8

const (
	dueArrival kind = iota // customer n asks, if its stamp is m
	dueSpike               // customer n's session begins or ends
	dueShift               // customer n's doors are weighed anew
	dueExtra               // generator n makes a request
	dueSubmit              // t reaches its door
	dueLeave               // the client of t gives it up
	dueGone                // the door of t learns of that
	dueGot                 // the client of t has its answer
	dueAgain               // the client of want w tries again
	dueDial                // j's connection reaches its backend
	dueCome                // j reaches its backend
	dueFinish              // backend n's next request in work is done, if its stamp is m
	dueRefresh             // backend n's speed is worked out anew
	dueBack                // j's result reaches its door
	dueCancel              // j's backend learns that nobody waits
	dueExpire              // j's door stops waiting
	dueCount               // call c reaches the counter
	dueCounted             // its answer, or the end of the wait, reaches its door
	dueProbe               // a probe of backend n by door m ends
	dueList                // news of the list reach door n of life m
	dueFault               // fault n begins (m is 1) or ends
	dueStart               // door or backend starts again
	dueStep                // step m of fault n
	dueSweep               // idle connections and old numbers are dropped
	dueDoor                // door n decides
)

// due is one thing that will happen. Doors decide after all else that happens at the same instant.
type due struct {
	at   float64
	seq  uint64
	kind kind
	n, m int
	t    *Try
	j    *Job
	w    *want
	p    any
}

func (a *due) before(b *due) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if last, lastB := a.kind == dueDoor, b.kind == dueDoor; last != lastB {
		return lastB
	}
	return a.seq < b.seq
}

// queue is a heap with four children to a node, which keeps what is due soon near the top in few steps.
type queue struct {
	heap []due
	seq  uint64
}

const children = 4

func (q *queue) push(d due) {
	q.seq++
	d.seq = q.seq
	q.heap = append(q.heap, d)
	h := q.heap
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / children
		if !d.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = d
}

func (q *queue) pop() due {
	h := q.heap
	top := h[0]
	n := len(h) - 1
	last := h[n]
	h[n] = due{}
	q.heap = h[:n]
	if n == 0 {
		return top
	}
	h = q.heap
	i := 0
	for {
		first := i*children + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+children, n); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}
