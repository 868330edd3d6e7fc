package model

// eventKind is the kind of a scheduled event. The comments below name the fields of event that it uses.
type eventKind uint8

const (
	eventArrival        eventKind = iota // customer index makes a request, if its arrivalStamp is arg
	eventSpike                           // a spike of customer index begins or ends
	eventShift                           // the door weights of customer index are drawn anew
	eventExtraRequest                    // extra load index makes a request
	eventSubmit                          // try reaches its door
	eventClientTimeout                   // the client of try gives it up
	eventClientGone                      // the door of try learns that the client left
	eventAnswer                          // the client of try receives its answer
	eventRetry                           // the client of request tries again
	eventConnect                         // the connection of job reaches its backend
	eventBackendArrival                  // the request of job reaches its backend
	eventFinish                          // the next job of backend index completes, if its finishStamp is arg
	eventRefreshSpeed                    // the rate of backend index is updated while it is cold, if its incarnation is arg
	eventResult                          // the result of job, in payload, reaches its door
	eventCancel                          // the backend of job learns that its door no longer waits
	eventAttemptTimeout                  // the door of job stops waiting
	eventCounterCall                     // the call in payload reaches the counter
	eventCounterReply                    // the reply or timeout of the call in payload reaches its door
	eventProbeEnd                        // a probe of backend index by door arg ends; payload is its probeResult
	eventListUpdate                      // the listUpdate in payload reaches incarnation arg of door index
	eventFault                           // fault index begins (arg is 1) or ends
	eventFunc                            // calls the func() in payload
	eventFaultStep                       // step arg of fault index; payload is its activeFault
	eventSweep                           // closes idle connections and drops expired counter values
	eventDecide                          // door index decides
)

// event is a scheduled event. Decisions come after all other events of the same instant.
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

// before reports whether a comes before b.
func (a *event) before(b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if last, lastB := a.kind == eventDecide, b.kind == eventDecide; last != lastB {
		return lastB
	}
	return a.seq < b.seq
}

// eventQueue is a 4-ary min-heap. It is shallower than a binary heap, so that a push needs fewer steps.
type eventQueue struct {
	heap []event
	seq  uint64
}

// heapArity is the number of children of a node.
const heapArity = 4

func (q *eventQueue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	h := q.heap
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !e.before(&h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = e
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
