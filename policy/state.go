package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/swifthall/swifthall/gate"
)

// grown returns s with index n in it.
func grown[T any](s []T, n int) []T {
	for len(s) <= n {
		s = append(s, *new(T))
	}
	return s
}

// verdict is the final answer that a request is wanted to have.
type verdict uint8

const (
	undecided verdict = iota
	rejected
	failed
	answered // the client has its answer, or has left
)

// attempt is one sending of a request. wanted against the other two is the difference to emit.
type attempt struct {
	backend int
	at      float64
	wanted  bool // it should be out
	sent    bool // its Send was emitted
	ended   bool // its outcome came
	dropped bool // its Cancel was emitted
	proven  bool // it is known never to have run
}

func (t *attempt) out() bool { return t.sent && !t.ended }

// request is all that is known of one request. Its slot is free while it is over with nothing out.
type request struct {
	class, plan, customer int
	units, charge         float64
	came, until           float64 // arrival and end of the client's wait, ms
	held                  bool    // waiting for release
	granted               bool    // the counter has granted its units
	uncounted             bool    // goes without the counter, which is crowded
	promised              bool    // its units are set aside
	streaming             bool
	repeat                bool // of a try that was not answered well
	want, given           verdict
	retryAfter            float64
	why                   gate.Cause
	out                   int
	sends                 []attempt
	queued                bool // listed as changed in this batch
}

// bucket is a customer's state at this door.
type bucket struct {
	known         bool
	plan          int
	first, spread int      // the customer's doors
	phase         float64  // of its windows
	set           float64  // of its doors, those that are here
	level         float64  // what the customer's quota is thought to hold, units
	ceiling       float64  // what this door's slice of the ceiling holds, units
	promised      float64  // charges of held requests, units
	promisedUnits float64  // units of held requests
	barred        float64  // clock before which the counter has no room, ms
	barredUnits   float64  // for requests of this many units or more
	filled        float64  // clock of the last fill, ms
	demand        float64  // units asked here lately, units/ms
	others        float64  // use by other doors as heard, units/ms
	heard         float64  // clock when others was last heard, ms
	store         float64  // what the meter's word leaves of the whole quota's store, units
	trim          float64  // share left of this door's part while the parts add up to more than the quota
	sent          float64  // units first sent here lately, units/ms
	count         counting // this customer's part of the shared counter
	out           int      // attempts out
	open          int      // requests not over
}

// of makes k the bucket of a customer's plan and doors, full where it was another's. One that is new has filled since
// the door was born, as the door would know of any use.
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

// unpromise ends a promise, kept or not.
func (k *bucket) unpromise(o *request) {
	if o.promised {
		o.promised = false
		k.promised -= o.charge
		k.promisedUnits -= o.units
	}
}

// counting is what this door knows of a customer's number on the shared counter.
type counting struct {
	window  int64   // of granted
	granted float64 // units that the counter has granted and this door has not spent
	calling bool    // a call is out
	room    float64 // units last seen free on the counter
	before  float64 // units free when the window began
	seen    float64 // clock of room, ms
	spilt   float64 // what the store could not hold in this window, units
	fill    float64 // what refills in the window, units/ms; 0 where the level at its beginning is not known
	back    float64 // units added to the number and not taken, which the next call takes off
	owed    float64 // units sent and not added yet
	asked   float64 // units that it asks for
	least   float64 // of these, for the request that it was made for
	rest    float64 // clock before which no call is made, ms
}

// fleet holds the figures about backends in parallel arrays under the carrier's dense index.
type fleet struct {
	up         []bool
	known      []bool // the index is a backend's
	gone       []bool // off the list: its index is free once nothing refers to it
	zone, cell []int
	since      []float64 // latest start, ms; 0 means long ago
	size       []float64
	out        []int         // own attempts out
	cases      [][]suspicion // by class, then backend; the last row is for backends as a whole
	pace       []float64     // its latency over the fleet's
	fullUntil  [][]float64   // turned work of a plan away; left alone for it until then
	fullGap    [][]float64   // for so long, ms
	queue      []float64     // waiting as reported
	work       float64       // work sent lately to warm backends, decaying, ms of work
	workAt     float64       // clock of that figure, ms
	warmRate   float64       // of it, to a warm backend of size 1, ms of work per ms, when one was last known
	coldLeft   []int         // requests that it may still get in a window while it is cold
	coldUntil  []float64     // end of that window, ms
	mark       []float64     // place on the ring that all doors have in common, 0 to 1
	order      []int         // listed backends from this door's place on the ring; it keeps to the first
	sends      float64       // attempts per ms, averaged
	sendsAt    float64       // clock of that figure, ms
}

// suspicion is the sequential test of one backend, for one class or as a whole.
type suspicion struct {
	doubt    float64 // evidence that it does not work, nats
	judged   bool    // the test has ended against it
	trialAt  float64 // earliest next trial, ms
	trialGap float64 // time to the trial after that
}

// renew clears what was held against a backend's former process.
func (f *fleet) renew(b int, since float64) {
	if !f.known[b] { // one that is new under a used index
		f.known[b], f.size[b], f.coldLeft[b], f.coldUntil[b] = true, 1, 0, 0
	}
	f.since[b], f.pace[b], f.queue[b] = since, 1, 0
	for r := range f.cases {
		f.cases[r][b] = suspicion{}
	}
	clear(f.fullUntil[b])
	clear(f.fullGap[b])
}

// against returns what is held against a backend: for the class, and as a whole.
func (f *fleet) against(b, class int) [2]*suspicion {
	return [2]*suspicion{&f.cases[class][b], &f.cases[len(f.cases)-1][b]}
}

func (f *fleet) shunned(b, class int) bool {
	cs := f.against(b, class)
	return cs[0].judged || cs[1].judged
}

// judgedWith returns the share of the listed backends that stand judged, with one more; for the class
// alone, or as a whole.
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

// rank puts the listed backends in the order in which a door that begins at a place, a share of the ring, comes to them.
func (f *fleet) rank(place float64) {
	ring := make([]int, 0, len(f.up))
	for b, up := range f.up {
		if up {
			ring = append(ring, b)
		}
	}
	slices.SortFunc(ring, func(a, b int) int { return cmp.Or(cmp.Compare(f.mark[a], f.mark[b]), a-b) })
	at := int(place * float64(len(ring)))
	f.order = append(append(f.order[:0], ring[at:]...), ring[:at]...)
}

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

// latency holds what a class's finished attempts showed.
type latency struct {
	recent, low float64 // smoothed latency and its recent low, ms
	rate, best  float64 // finished requests per ms, averaged, and the recent best of that
	lowAt       float64 // clock of the last sample, ms
	spread      float64 // smoothed distance of a latency from the mean, ms
	samples     int
	flight      float64 // averaged attempts in flight, at the latest tick
	late        int     // attempts out past the contract time
	overdue     float64 // sum of what the others are out beyond the usual, ms
}

// dice is a permuted congruential generator, the library's.
type dice struct{ pcg *rand.Rand }

func newDice(seed uint64) dice { return dice{rand.New(rand.NewPCG(seed, 0))} }

// roll returns a number in [0, 1).
func (d *dice) roll() float64 { return d.pcg.Float64() }

// draw returns an index at random, by odds, or -1 where there are none.
func (d *dice) draw(odds []float64) int {
	sum, last := 0.0, -1
	for _, w := range odds {
		sum += w
	}
	x := d.roll() * sum
	for i, w := range odds {
		if w > 0 {
			last = i
			if x -= w; x < 0 {
				break
			}
		}
	}
	return last
}

// Door decides for one door.
type Door struct {
	terms      gate.Terms
	watch      *gate.Terms // terms that decisions are compared with; nil for none
	here       []bool      // doors that are here, by number; empty where nobody tells
	doors      int         // all that are here; 0 where nobody tells
	now        float64
	closing    float64 // clock by which every request has its answer, ms; 0 while the door does not end
	born       float64
	dice       dice
	ops        []request
	live       []int // requests that may still need attention, in order of arrival
	buckets    []bucket
	fleet      fleet
	lat        []latency
	out        []int   // attempts out, by class
	bell       bool    // a Wake is pending
	ticked     float64 // clock of the latest tick, ms
	changed    []int
	ask        bool          // the list must be asked for
	askAt      float64       // clock before which it is not asked for
	forgets    []gate.Action // indices that are free again
	calls      []gate.Action // of the counter, waiting to be made
	swept      float64       // clock of the last look for idle buckets
	pressed    float64       // share of recent requests that met a hold at their arrival
	taken      int           // requests
	usualGain  float64       // smoothed gain of one
	answeredAt float64       // clock of the latest good answer, of whatever class, ms
	calling    float64       // share of requests for which the counter is called
	before     float64       // that share at its latest answer
	misses     int           // calls without any since
	cutAt      float64       // clock at which that share was last cut, ms
	crowdedAt  float64       // clock of the latest such, ms
	actions    []gate.Action
}

// refill brings a known customer's bucket up to the clock.
func (d *Door) refill(customer int) *bucket {
	k := &d.buckets[customer]
	return d.fill(customer, k.plan, k.first, k.spread)
}

// forget drops buckets that nobody uses: in a minute, or as soon as one that is new would say the same.
func (d *Door) forget() {
	for c := range d.buckets {
		k := &d.buckets[c]
		idle := d.now - k.filled
		if p := &d.terms.Plans[k.plan]; k.known && k.open == 0 && (idle > idleDrop || idle > idleFull &&
			k.level+p.Rate*idle >= p.Depth && p.CeilingRate*idle >= p.CeilingDepth) {
			*k = bucket{}
			d.forgets = append(d.forgets, gate.FreeCustomer{Customer: c})
		}
	}
}

// delist frees the indices of backends that are gone. What a request was sent to is looked up for as long as it
// may be sent again, so an index must outlive it.
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
			d.forgets = append(d.forgets, gate.FreeBackend{Backend: b})
		}
	}
}

// touch lists a request as changed.
func (d *Door) touch(i int) {
	if o := &d.ops[i]; !o.queued {
		o.queued = true
		d.changed = append(d.changed, i)
	}
}
