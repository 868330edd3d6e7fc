package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/gate"
)

// growTo returns s, extended with zero values until index n is valid.
func grown[T any](s []T, n int) []T {
	for len(s) <= n {
		s = append(s, *new(T))
	}
	return s
}

// outcome is the final answer of a request: the one that is wanted, or the one that was given.
type verdict uint8

const (
	undecided verdict = iota
	rejected
	failed
	answered // the client has its answer, or has left
)

// attempt is one attempt of a request. The difference between wanted and the flags that follow is emitted.
type attempt struct {
	backend int
	at      float64
	wanted  bool // it should be in flight
	sent    bool // its gate.Send was emitted
	ended   bool // its result arrived
	dropped bool // its gate.Cancel was emitted
	proven  bool // known not to have run
}

// inFlight reports whether the attempt was sent and has no result yet.
func (t *attempt) out() bool { return t.sent && !t.ended }

// request is the state of one request. Its slot may be reused once it is over with nothing in flight.
type request struct {
	class, plan, customer int
	units, charge         float64
	came, until           float64 // arrival and the client's deadline, ms
	held                  bool    // waiting for release
	granted               bool    // the counter has granted its units
	uncounted             bool    // decided without the counter
	promised              bool    // its units are reserved
	streaming             bool
	repeat                bool // the client's retry of an earlier request
	want, given           verdict
	retryAfter            float64
	why                   gate.Cause
	out                   int
	sends                 []attempt
	queued                bool // listed in Door.changed
}

// bucket is the state of one customer at this door: its token bucket, its use and its part of the counter.
type bucket struct {
	known         bool
	plan          int
	first, spread int      // doors through which the customer's requests come
	phase         float64  // offset of its counter windows, 0 to 1
	set           float64  // how many of its doors are present, smoothed
	level         float64  // estimated level of the customer's whole quota, units
	ceiling       float64  // level of this door's slice of the ceiling, units
	promised      float64  // charges of held requests, units of the whole quota
	promisedUnits float64  // units of held requests
	barred        float64  // clock until which the counter has no capacity, ms
	barredUnits   float64  // for requests of this many units or more
	filled        float64  // clock of the last refill, ms
	demand        float64  // units requested here, averaged, units/ms
	others        float64  // use by other doors as last reported, units/ms
	heard         float64  // clock of the last meter report, ms
	store         float64  // level of the whole quota by the meter reports, units
	trim          float64  // factor below 1 on this door's quota share while the shares add up to more than the quota
	sent          float64  // units first sent here, averaged, units/ms
	count         counting // this door's state of the shared counter
	out           int      // attempts in flight
	open          int      // requests not over
}

// assign binds the bucket to a customer's plan and doors; a change of either resets it to full. The slice of the ceiling of
// a new one refills from the door's start on, since the door would know of any use after that.
func (k *bucket) of(plan, first, spread int, depth, now, born float64) {
	if !k.known {
		now = born
	}
	if !k.known || k.plan != plan || k.first != first || k.spread != spread {
		*k = bucket{known: true, plan: plan, first: first, spread: spread, level: depth, filled: now, store: depth, trim: 1,
			heard: math.Inf(-1), set: float64(spread), open: k.open, out: k.out, promised: k.promised,
			promisedUnits: k.promisedUnits}
	}
}

// unreserve ends a request's reservation, whether its units were used or not.
func (k *bucket) unpromise(o *request) {
	if o.promised {
		o.promised = false
		k.promised -= o.charge
		k.promisedUnits -= o.units
	}
}

// counterState is this door's view of a customer's number on the shared counter, for one window.
type counting struct {
	window  int64   // number of the current window
	granted float64 // units granted by the counter and not used yet
	calling bool    // a call is in flight
	room    float64 // units last seen free on the counter
	before  float64 // units free when the window began
	seen    float64 // clock of available, ms
	spilt   float64 // refilled units that the full bucket could not hold in this window
	fill    float64 // refill in the window, units/ms; by the even split where the level at its start is unknown
	back    float64 // units added to the number but not granted; the next call subtracts them
	owed    float64 // units sent and not added to the number yet
	asked   float64 // units that the call in flight asks for
	least   float64 // of these, for the request that caused the call
	rest    float64 // clock before which no call is made, ms
}

// fleet holds the state of the backends in parallel slices, indexed by the driver's dense index.
type fleet struct {
	up         []bool
	known      []bool // the index belongs to a backend
	gone       []bool // off the list: the index is freed once nothing refers to it
	zone, cell []int
	since      []float64 // latest start, ms; 0 means long ago
	size       []float64
	out        []int         // this door's attempts in flight
	cases      [][]suspicion // by class, then backend; the last row is for backends as a whole
	pace       []float64     // its latency relative to the fleet's
	fullUntil  [][]float64   // by backend and plan: clock until which it is avoided after a refusal, ms
	fullGap    [][]float64   // by backend and plan: length of that backoff, ms
	queue      []float64     // smoothed number of requests waiting, as reported
	work       float64       // work sent to warm backends, decaying, ms of work
	workAt     float64       // clock of that figure, ms
	warmRate   float64       // last known rate of that work for a warm backend of weight 1, ms of work per ms
	coldLeft   []int         // requests that a cold backend may still receive in its window
	coldUntil  []float64     // end of that window, ms
	mark       []float64     // position on the ring that all doors share, 0 to 1
	order      []int         // listed backends from this door's position on the ring on; its subset comes first
	sends      float64       // attempts per ms, averaged
	sendsAt    float64       // clock of that figure, ms
}

// suspicion is the sequential test of one backend, for one class or as a whole.
type suspicion struct {
	doubt    float64 // log-likelihood ratio that the backend is broken, nats
	judged   bool    // the test has ended against the backend
	trialAt  float64 // earliest next ejection probe, ms
	trialGap float64 // time from that probe to the next, ms
}

// resetBackend drops the evidence and statistics of a backend's previous process.
func (f *fleet) renew(b int, since float64) {
	if !f.known[b] { // a new backend under a reused index
		f.known[b], f.size[b], f.coldLeft[b], f.coldUntil[b] = true, 1, 0, 0
	}
	f.since[b], f.pace[b], f.queue[b] = since, 1, 0
	for r := range f.cases {
		f.cases[r][b] = suspicion{}
	}
	clear(f.fullUntil[b])
	clear(f.fullGap[b])
}

// suspicionsOf returns the tests of a backend: for the class, and as a whole.
func (f *fleet) against(b, class int) [2]*suspicion {
	return [2]*suspicion{&f.cases[class][b], &f.cases[len(f.cases)-1][b]}
}

// ejected reports whether a backend is ejected for the class or as a whole.
func (f *fleet) shunned(b, class int) bool {
	cs := f.against(b, class)
	return cs[0].judged || cs[1].judged
}

// ejectedShareWith returns the share of the listed backends that would be ejected with one more, counting ejections for the
// class alone or as a whole.
func (f *fleet) judgedWith(alone bool, class int) float64 {
	row := f.cases[len(f.cases)-1]
	if alone {
		row = f.cases[class]
	}
	listed, judged := 0, 1
	for b, up := range f.up {
		if up {
			listed++
			if row[b].judged {
				judged++
			}
		}
	}
	return float64(judged) / float64(max(1, listed))
}

// orderFrom lists the backends in ring order from a start position on, given as a share of the ring.
func (f *fleet) rank(position float64) {
	ring := make([]int, 0, len(f.up))
	for b, up := range f.up {
		if up {
			ring = append(ring, b)
		}
	}
	slices.SortFunc(ring, func(a, b int) int { return cmp.Or(cmp.Compare(f.mark[a], f.mark[b]), a-b) })
	at := int(position * float64(len(ring)))
	f.order = append(append(f.order[:0], ring[at:]...), ring[:at]...)
}

// grow extends the slices to n backends.
func (f *fleet) grow(n, plans int) {
	for len(f.up) < n {
		f.up, f.zone, f.cell = append(f.up, false), append(f.zone, 0), append(f.cell, 0)
		f.known, f.gone = append(f.known, false), append(f.gone, false)
		f.since, f.size, f.out = append(f.since, 0), append(f.size, 1), append(f.out, 0)
		for r := range f.cases {
			f.cases[r] = append(f.cases[r], suspicion{})
		}
		f.mark, f.queue = append(f.mark, 0), append(f.queue, 0)
		f.pace, f.fullUntil = append(f.pace, 1), append(f.fullUntil, make([]float64, plans))
		f.fullGap = append(f.fullGap, make([]float64, plans))
		f.coldLeft, f.coldUntil = append(f.coldLeft, 0), append(f.coldUntil, 0)
	}
}

// latencyStats holds statistics of a class's attempts.
type latency struct {
	recent, low float64 // smoothed latency and its baseline, ms
	rate, best  float64 // completed requests per ms, averaged, and its recent best
	lowAt       float64 // clock of the last sample, ms
	spread      float64 // smoothed absolute deviation from the smoothed latency, ms
	samples     int
	flight      float64 // averaged attempts in flight, at the latest tick
	late        int     // attempts in flight past the contract time
	overdue     float64 // sum over the other attempts of their age above the smoothed latency, ms
}

// randomSource is a permuted congruential generator (PCG) of the standard library.
type dice struct{ pcg *rand.Rand }

func newDice(seed uint64) dice { return dice{rand.New(rand.NewPCG(seed, 0))} }

// uniform returns a random number in [0, 1).
func (d *dice) roll() float64 { return d.pcg.Float64() }

// weightedIndex returns a random index with probability proportional to its weight, or -1 if all weights are 0.
func (d *dice) draw(weights []float64) int {
	sum, last := 0.0, -1
	for _, w := range weights {
		sum += w
	}
	x := d.roll() * sum
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
	terms      gate.Terms
	watch      *gate.Terms // terms that decisions are compared with; nil for none
	here       []bool      // by door number; empty when unknown
	doors      int         // number of doors present; 0 when unknown
	now        float64
	closing    float64 // time by which every request has its answer; 0 while the door is not shutting down
	born       float64
	dice       dice
	ops        []request
	live       []int // requests that may still need attention, in order of arrival
	buckets    []bucket
	fleet      fleet
	lat        []latency
	out        []int   // attempts in flight, by class
	bell       bool    // a gate.SetTimer is pending
	ticked     float64 // time of the latest tick
	changed    []int
	ask        bool          // the fleet list must be subscribed to again
	askAt      float64       // not before this time
	forgets    []gate.Action // actions that free indices, to be emitted
	calls      []gate.Action // counter calls to be emitted
	swept      float64       // time of the latest search for idle buckets
	pressed    float64       // smoothed share of requests that met a hold at their arrival
	taken      int           // requests so far
	usualGain  float64       // smoothed gain of a request
	answeredAt float64       // time of the latest good answer, of any class
	calling    float64       // share of requests for which the counter is called
	before     float64       // that share at the counter's latest answer
	misses     int           // calls without an answer since then
	cutAt      float64       // time of the latest decrease of that share
	crowdedAt  float64       // time of the latest decrease below reserveCallsBelow
	actions    []gate.Action
}

// currentBucket returns a known customer's bucket, refilled up to now.
func (d *Door) refill(customer int) *bucket {
	k := &d.buckets[customer]
	return d.fill(customer, k.plan, k.first, k.spread)
}

// dropIdleBuckets drops the buckets of customers without open requests: after a minute, or as soon as a new bucket would
// hold the same.
func (d *Door) forget() {
	for c := range d.buckets {
		k := &d.buckets[c]
		idle := d.now - k.filled
		if p := &d.terms.Plans[k.plan]; k.known && k.open == 0 && (idle > idleDrop || idle > idleFull &&
			k.level+p.Rate*idle >= p.Depth && p.CeilingRate*idle >= p.CeilingDepth) {
			*k = bucket{}
			d.forgets = append(d.forgets, gate.Forget{Customer: c})
		}
	}
}

// freeGoneBackends frees the indices of backends that are gone. The backends of a request's earlier attempts are looked up
// for as long as it may be sent again, so an index must outlive them.
func (d *Door) delist() {
	f := &d.fleet
	if !slices.Contains(f.gone, true) {
		return
	}
	needed := make([]bool, len(f.gone))
	for _, i := range d.live {
		for j := range d.ops[i].sends {
			needed[d.ops[i].sends[j].backend] = true
		}
	}
	for b, gone := range f.gone {
		if gone && !needed[b] && f.out[b] == 0 {
			f.known[b], f.gone[b] = false, false
			d.forgets = append(d.forgets, gate.Delist{Backend: b})
		}
	}
}

// markChanged lists a request as changed in this batch.
func (d *Door) touch(i int) {
	if o := &d.ops[i]; !o.queued {
		o.queued = true
		d.changed = append(d.changed, i)
	}
}
