package model

// eventKind of what is due in the world.
type eventKind uint8

const (
	eventArrival        eventKind = iota // customer n asks, if its stamp is m
	eventSpike                           // customer n's session begins or ends
	eventShift                           // customer n's doors are weighed anew
	eventExtraRequest                    // generator n makes a request
	eventSubmit                          // t reaches its door
	eventClientTimeout                   // the client of t gives it up
	eventClientGone                      // the door of t learns of that
	eventAnswer                          // the client of t has its answer
	eventRetry                           // the client of want w tries again
	eventConnect                         // j's connection reaches its backend
	eventBackendArrival                  // j reaches its backend
	eventFinish                          // backend n's next request in work is done, if its stamp is m
	eventRefreshSpeed                    // backend n's speed is worked out anew
	eventResult                          // j's result reaches its door
	eventCancel                          // j's backend learns that nobody waits
	eventAttemptTimeout                  // j's door stops waiting
	eventCounterCall                     // call c reaches the counter
	eventCounterReply                    // its answer, or the end of the wait, reaches its door
	eventProbeEnd                        // a probe of backend n by door m ends
	eventListUpdate                      // news of the list reach door n of life m
	eventFault                           // fault n begins (m is 1) or ends
	eventFunc                            // door or backend starts again
	eventFaultStep                       // step m of fault n
	eventSweep                           // idle connections and old numbers are dropped
	eventDecide                          // door n decides
)

// event is one thing that will happen. Doors decide after all else that happens at the same instant.
type event struct {
	at         float64
	seq        uint64
	kind       eventKind
	index, arg int
	try        *Try
	job        *Job
	request    *clientRequest
	payload    any
}

func (a *event) before(b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if last, lastB := a.kind == eventDecide, b.kind == eventDecide; last != lastB {
		return lastB
	}
	return a.seq < b.seq
}

// eventQueue is a heap with four children to a node, which keeps what is due soon near the top in few steps.
type eventQueue struct {
	heap []event
	seq  uint64
}

const heapArity = 4

func (q *eventQueue) push(d event) {
	q.seq++
	d.seq = q.seq
	q.heap = append(q.heap, d)
	h := q.heap
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / heapArity
		if !d.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = d
}

func (q *eventQueue) pop() event {
	h := q.heap
	top := h[0]
	n := len(h) - 1
	last := h[n]
	h[n] = event{}
	q.heap = h[:n]
	if n == 0 {
		return top
	}
	h = q.heap
	i := 0
	for {
		first := i*heapArity + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+heapArity, n); c++ {
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
