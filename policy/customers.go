package policy

import (
	"cmp"
	"slices"

	"github.com/swifthall/swifthall/gate"
)

// maxCustomersShare is the share of Terms.MaxCustomers that is kept when there are more: to choose takes a look at all of them.
const maxCustomersShare = 7.0 / 8

// dropIdleBuckets drops the buckets of customers without open requests: after a minute, or as soon as a new bucket would
// hold the same.
func (d *Door) dropIdleBuckets() {
	for c := range d.buckets {
		k := &d.buckets[c]
		idle := d.now - k.filledAt
		if k.known && k.openRequests == 0 && (idle > idleExpiry || idle > idleFullExpiry && d.quotaFull(k) && d.ceilingFull(k)) {
			d.dropBucket(c)
		}
	}
}

// limitBuckets drops buckets of customers without open requests while there are more customers than the terms allow: those first that
// are full again, then those idle longest. A client that uses ever new names must not take up all memory.
func (d *Door) limitBuckets() {
	if d.terms.MaxCustomers == 0 || d.knownCustomers <= d.terms.MaxCustomers {
		return
	}
	var idle []int
	for c := range d.buckets {
		if k := &d.buckets[c]; k.known && k.openRequests == 0 {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b int) int {
		ka, kb := &d.buckets[a], &d.buckets[b]
		return cmp.Or(compareBools(d.quotaFull(kb), d.quotaFull(ka)), cmp.Compare(ka.filledAt, kb.filledAt), a-b)
	})
	surplus := d.knownCustomers - int(maxCustomersShare*float64(d.terms.MaxCustomers))
	for _, c := range idle[:min(len(idle), surplus)] {
		if k := &d.buckets[c]; !d.ceilingFull(k) {
			d.ceilingUnknownAt = max(d.ceilingUnknownAt, k.filledAt)
		}
		d.dropBucket(c)
	}
}

// dropBucket drops a customer's bucket and frees the customer's index.
func (d *Door) dropBucket(customer int) {
	d.buckets[customer] = bucket{}
	d.knownCustomers--
	d.freedIndices = append(d.freedIndices, gate.FreeCustomer{Customer: customer})
}

// quotaFull reports whether a bucket that was last refilled some time ago is full again.
func (d *Door) quotaFull(k *bucket) bool {
	p := &d.terms.Plans[k.plan]
	return k.level+p.Rate*(d.now-k.filledAt) >= p.Depth
}

// ceilingFull reports whether a bucket has been idle for so long that its slice of the ceiling is full again, whatever it held.
func (d *Door) ceilingFull(k *bucket) bool {
	p := &d.terms.Plans[k.plan]
	return p.CeilingRate*(d.now-k.filledAt) >= p.CeilingDepth
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
