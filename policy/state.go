package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/gate"
)

// growTo returns s, extended with zero values until index n is valid.
func growTo[T any](s []T, n int) []T {
	for len(s) <= n {
		s = append(s, *new(T))
	}
	return s
}

// outcome is the final answer of a request: the one that is wanted, or the one that was given.
type outcome uint8

const (
	undecided outcome = iota
	rejected
	failed
	answered // the client has its answer, or has left
)

// attempt is one attempt of a request. emitActions emits the difference between wanted and the flags after it.
type attempt struct {
	backend   int
	sentAt    float64
	wanted    bool // it should be in flight
	sent      bool // its gate.Send was emitted
	ended     bool // its result arrived
	cancelled bool // its gate.Cancel was emitted
	neverRan  bool // known not to have run
}

// inFlight reports whether the attempt was sent and has no result yet.
func (t *attempt) inFlight() bool { return t.sent && !t.ended }

// request is the state of one request. Its slot may be reused once it is over with nothing in flight.
type request struct {
	class, plan, customer       int
	units, charge               float64 // units; the charge for them, in units of the whole quota
	arrivedAt, deadline         float64 // arrival and the client's deadline, ms
	held                        bool    // waiting for release
	counterGranted              bool    // the counter has granted its units
	skipsCounter                bool    // decided without the counter
	reserved                    bool    // its units are reserved
	streaming                   bool
	clientRetry                 bool // the client's retry of an earlier request
	wantedOutcome, givenOutcome outcome
	retryAfter                  float64
	cause                       gate.Cause
	inFlight                    int
	attempts                    []attempt
	inChanged                   bool // listed in Door.changed
}

// bucket is the state of one customer at this door: its token bucket, its use and this door's state of its counter.
type bucket struct {
	known             bool
	plan              int
	firstDoor, spread int          // doors through which the customer's requests come
	windowPhase       float64      // offset of its counter windows, 0 to 1
	presentDoors      float64      // how many of its doors are present, smoothed
	level             float64      // estimated level of the customer's whole quota, units
	ceilingLevel      float64      // level of this door's slice of the ceiling, units
	reservedCharge    float64      // charges of held requests, units of the whole quota
	reservedUnits     float64      // units of held requests
	blockedUntil      float64      // clock until which the counter has no capacity, ms
	blockedUnits      float64      // units from which on a request is blocked until blockedUntil
	filledAt          float64      // clock of the last refill, ms
	demand            float64      // units requested here, averaged, units/ms
	othersUse         float64      // use by other doors as last reported, units/ms
	meteredAt         float64      // clock of the last meter report, ms
	meteredLevel      float64      // level of the whole quota by the meter reports, units
	shareScale        float64      // factor below 1 on this door's quota share while the shares add up to more than the quota
	sentRate          float64      // units first sent here, averaged, units/ms
	counter           counterState // this door's state of the shared counter
	inFlight          int          // attempts in flight
	openRequests      int          // requests not over
}

// assign binds the bucket to a customer's plan and doors; a change of either resets it to a full quota. A new customer's slice of
// the ceiling has refilled since a time from which on the door would know of any use: its start, or when it last dropped customers.
func (k *bucket) assign(plan, firstDoor, spread int, depth, now, knownSince float64) {
	if !k.known {
		now = knownSince
	}
	if !k.known || k.plan != plan || k.firstDoor != firstDoor || k.spread != spread {
		*k = bucket{known: true, plan: plan, firstDoor: firstDoor, spread: spread, level: depth, filledAt: now,
			meteredLevel: depth, shareScale: 1, meteredAt: math.Inf(-1), presentDoors: float64(spread),
			openRequests: k.openRequests, inFlight: k.inFlight, reservedCharge: k.reservedCharge,
			reservedUnits: k.reservedUnits}
	}
}

// unreserve ends a request's reservation, whether its units were used or not.
func (k *bucket) unreserve(o *request) {
	if o.reserved {
		o.reserved = false
		k.reservedCharge -= o.charge
		k.reservedUnits -= o.units
	}
}

// counterState is this door's view of a customer's total on the shared counter, for one window.
type counterState struct {
	window        int64   // number of the current window
	granted       float64 // units granted by the counter and not used yet
	callPending   bool    // a call is in flight
	available     float64 // units last seen free on the counter
	initialLevel  float64 // units free when the window began
	seenAt        float64 // clock at which available was seen, ms
	overflow      float64 // refilled units that the full bucket could not hold in this window
	refillRate    float64 // refill in the window, units/ms; by the even split where the level at its start is unknown
	surplus       float64 // units added to the total but not granted; the next call subtracts them
	pendingUnits  float64 // units sent and not added to the total yet
	askedUnits    float64 // units that the call in flight asks for
	requiredUnits float64 // units of the request that caused the latest call
	retryAt       float64 // clock before which no call is made, ms
	lastCall      int64   // number of the latest call
	calledAt      float64 // clock of the latest call, ms
}

// fleet holds the state of the backends in parallel slices, indexed by the driver's dense index.
type fleet struct {
	up            []bool
	inUse         []bool // the index belongs to a backend
	gone          []bool // off the list: the index is freed once nothing refers to it
	zone, cell    []int
	startedAt     []float64 // latest start, ms; 0 means long ago
	weight        []float64
	inFlight      []int         // this door's attempts in flight
	suspicions    [][]suspicion // by class, then backend; the last row is for backends as a whole
	latencyRatio  []float64     // its latency relative to the fleet's
	fullUntil     [][]float64   // by backend and plan: clock until which it is avoided after a refusal, ms
	fullBackoff   [][]float64   // by backend and plan: length of the backoff after a refusal, ms
	queueLen      []float64     // smoothed number of requests waiting, as reported
	warmWork      float64       // work sent to warm backends, decaying, ms of work
	warmWorkAt    float64       // clock up to which warmWork has decayed, ms
	warmWorkRate  float64       // last known rate of work sent to a warm backend of weight 1, ms of work per ms
	coldLeft      []int         // requests that a cold backend may still receive in its window
	coldWindowEnd []float64     // end of the window of coldLeft, ms
	ringPosition  []float64     // position on the ring that all doors share, 0 to 1
	ringOrder     []int         // listed backends from this door's position on the ring on; its subset comes first
	sendRate      float64       // attempts per ms, averaged
	sendRateAt    float64       // clock up to which sendRate has decayed, ms
}

// suspicion is the sequential test of one backend, for one class or as a whole.
type suspicion struct {
	evidence      float64 // log-likelihood ratio that the backend is broken, nats
	ejected       bool    // the test has ended against the backend
	probeAt       float64 // earliest next ejection probe, ms
	probeInterval float64 // time from the probe due at probeAt to the next, ms
}

// resetBackend drops the evidence and statistics of a backend's previous process.
func (f *fleet) resetBackend(b int, startedAt float64) {
	if !f.inUse[b] { // a new backend under a reused index
		f.inUse[b], f.weight[b], f.coldLeft[b], f.coldWindowEnd[b] = true, 1, 0, 0
	}
	f.startedAt[b], f.latencyRatio[b], f.queueLen[b] = startedAt, 1, 0
	for r := range f.suspicions {
		f.suspicions[r][b] = suspicion{}
	}
	clear(f.fullUntil[b])
	clear(f.fullBackoff[b])
}

// suspicionsOf returns the tests of a backend: for the class, and as a whole.
func (f *fleet) suspicionsOf(b, class int) [2]*suspicion {
	return [2]*suspicion{&f.suspicions[class][b], &f.suspicions[len(f.suspicions)-1][b]}
}

// ejected reports whether a backend is ejected for the class or as a whole.
func (f *fleet) ejected(b, class int) bool {
	cs := f.suspicionsOf(b, class)
	return cs[0].ejected || cs[1].ejected
}

// ejectedShareWith returns the share of the listed backends that would be ejected with one more, counting ejections for the
// class alone or as a whole.
func (f *fleet) ejectedShareWith(classOnly bool, class int) float64 {
	row := f.suspicions[len(f.suspicions)-1]
	if classOnly {
		row = f.suspicions[class]
	}
	listed, ejected := 0, 1
	for b, up := range f.up {
		if up {
			listed++
			if row[b].ejected {
				ejected++
			}
		}
	}
	return float64(ejected) / float64(max(1, listed))
}

// orderFrom lists the backends in ring order from a start position on, given as a share of the ring.
func (f *fleet) orderFrom(position float64) {
	ring := make([]int, 0, len(f.up))
	for b, up := range f.up {
		if up {
			ring = append(ring, b)
		}
	}
	slices.SortFunc(ring, func(a, b int) int { return cmp.Or(cmp.Compare(f.ringPosition[a], f.ringPosition[b]), a-b) })
	at := int(position * float64(len(ring)))
	f.ringOrder = append(append(f.ringOrder[:0], ring[at:]...), ring[:at]...)
}

// grow extends the slices to n backends.
func (f *fleet) grow(n, plans int) {
	for len(f.up) < n {
		f.up, f.zone, f.cell = append(f.up, false), append(f.zone, 0), append(f.cell, 0)
		f.inUse, f.gone = append(f.inUse, false), append(f.gone, false)
		f.startedAt, f.weight, f.inFlight = append(f.startedAt, 0), append(f.weight, 1), append(f.inFlight, 0)
		for r := range f.suspicions {
			f.suspicions[r] = append(f.suspicions[r], suspicion{})
		}
		f.ringPosition, f.queueLen = append(f.ringPosition, 0), append(f.queueLen, 0)
		f.latencyRatio, f.fullUntil = append(f.latencyRatio, 1), append(f.fullUntil, make([]float64, plans))
		f.fullBackoff = append(f.fullBackoff, make([]float64, plans))
		f.coldLeft, f.coldWindowEnd = append(f.coldLeft, 0), append(f.coldWindowEnd, 0)
	}
}

// latencyStats holds statistics of a class's attempts.
type latencyStats struct {
	smoothed, baseline float64 // smoothed latency and its baseline, ms
	rate, bestRate     float64 // completed requests per ms, averaged, and its recent best
	sampledAt          float64 // clock of the last sample, ms
	deviation          float64 // smoothed absolute deviation from the smoothed latency, ms
	samples            int
	meanInFlight       float64 // averaged attempts in flight, at the latest tick
	late               int     // attempts in flight past the contract time
	excessAge          float64 // sum over the other attempts of their age above the smoothed latency, ms
}

// randomSource is a permuted congruential generator (PCG) of the standard library.
type randomSource struct{ pcg *rand.Rand }

func newRandomSource(seed uint64) randomSource { return randomSource{rand.New(rand.NewPCG(seed, 0))} }

// uniform returns a random number in [0, 1).
func (r *randomSource) uniform() float64 { return r.pcg.Float64() }

// weightedIndex returns a random index with probability proportional to its weight, or -1 if all weights are 0.
func (r *randomSource) weightedIndex(weights []float64) int {
	sum, last := 0.0, -1
	for _, w := range weights {
		sum += w
	}
	x := r.uniform() * sum
	for i, w := range weights {
		if w > 0 {
			last = i
			if x -= w; x < 0 {
				break
			}
		}
	}
	return last
}

// Door decides for one front door. Times are on the driver's clock, ms.
type Door struct {
	terms             gate.Terms
	compareTerms      *gate.Terms // terms that decisions are compared with; nil for none
	presentDoors      []bool      // by door number; empty when unknown
	presentCount      int         // number of doors present; 0 when unknown
	now               float64
	shutdownDeadline  float64 // time by which every request has its answer; 0 while the door is not shutting down
	startedAt         float64
	random            randomSource
	requests          []request
	active            []int // requests that may still need attention, in order of arrival
	buckets           []bucket
	knownCustomers    int     // buckets in use
	ceilingUnknownAt  float64 // latest use of a customer that was dropped before its slice of the ceiling was full again
	fleet             fleet
	latencies         []latencyStats
	inFlight          []int         // attempts in flight, by class
	timerSet          bool          // a gate.SetTimer is pending
	tickedAt          float64       // time of the latest tick
	changed           []int         // requests that changed in this batch
	mustSubscribe     bool          // the fleet list must be subscribed to again
	subscribeAt       float64       // earliest time of the next subscription to the fleet list
	freedIndices      []gate.Action // actions that free indices, to be emitted
	counterCalls      []gate.Action // counter calls to be emitted
	sweptAt           float64       // time of the latest search for idle buckets
	heldShare         float64       // smoothed share of requests that met a hold at their arrival
	arrivals          int           // requests so far
	meanGain          float64       // smoothed gain of a request
	answeredAt        float64       // time of the latest good answer, of any class
	callShare         float64       // share of requests for which the counter is called
	answeredCallShare float64       // callShare at the counter's latest answer
	missedCalls       int           // counter calls without an answer since its latest one
	callShareCutAt    float64       // time of the latest decrease of callShare
	callsScarceAt     float64       // time of the latest decrease of callShare to below reserveCallsBelow
	counterCallCount  int64         // calls made, which numbers them
	lateAnswerLatency float64       // of the latest late answer of the counter, ms
	lateAnsweredAt    float64       // time of the latest late answer of the counter
	actions           []gate.Action
}

// currentBucket returns a known customer's bucket, refilled up to now.
func (d *Door) currentBucket(customer int) *bucket {
	k := &d.buckets[customer]
	return d.updateBucket(customer, k.plan, k.firstDoor, k.spread)
}

// freeGoneBackends frees the indices of backends that are gone. The backends of a request's earlier attempts are looked up
// for as long as it may be sent again, so an index must outlive them.
func (d *Door) freeGoneBackends() {
	f := &d.fleet
	if !slices.Contains(f.gone, true) {
		return
	}
	needed := make([]bool, len(f.gone))
	for _, i := range d.active {
		for j := range d.requests[i].attempts {
			needed[d.requests[i].attempts[j].backend] = true
		}
	}
	for b, gone := range f.gone {
		if gone && !needed[b] && f.inFlight[b] == 0 {
			f.inUse[b], f.gone[b] = false, false
			d.freedIndices = append(d.freedIndices, gate.FreeBackend{Backend: b})
		}
	}
}

// markChanged lists a request as changed in this batch.
func (d *Door) markChanged(i int) {
	if o := &d.requests[i]; !o.inChanged {
		o.inChanged = true
		d.changed = append(d.changed, i)
	}
}
