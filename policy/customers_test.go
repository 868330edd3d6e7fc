package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/swifthall/swifthall/gate"
)

// arrive handles a request of a customer and ends it, as if its client had left at once.
func arrive(d *Door, customer, plan int) {
	r := newRequest(0, idempotent, plan)
	r.Customer = customer
	d.Decide(d.now, []gate.Event{r, gate.ClientGone{Op: 0}})
}

func TestStateOfEverNewCustomersIsBounded(t *testing.T) {
	d := door(1)
	d.terms.MaxCustomers = 100
	free := []int{}
	next := 0
	for range 5000 {
		customer := next
		if len(free) > 0 {
			customer, free = free[len(free)-1], free[:len(free)-1]
		} else {
			next++
		}
		d.now += 0.1
		r := newRequest(0, idempotent, plain)
		r.Customer = customer
		for _, a := range d.Decide(d.now, []gate.Event{r, gate.ClientGone{Op: 0}}) {
			if f, ok := a.(gate.FreeCustomer); ok {
				free = append(free, f.Customer)
			}
		}
		assert.LessOrEqual(t, d.knownCustomers, d.terms.MaxCustomers)
	}
	assert.LessOrEqual(t, len(d.buckets), d.terms.MaxCustomers+1)
}

func TestCustomersInUseAreKeptBesideEverNewOnes(t *testing.T) {
	d := door(1)
	d.terms.MaxCustomers = 100
	open := newRequest(1, idempotent, plain)
	open.Customer = 7000
	d.Decide(d.now, []gate.Event{open})
	arrive(d, 7001, plain)
	d.buckets[7001].level = -40 // it used more than its quota
	for customer := range 2000 {
		d.now += 0.01
		arrive(d, customer, plain)
	}
	assert.True(t, d.buckets[7000].known, "it has an open request")
	assert.True(t, d.buckets[7001].known, "a new bucket would let it start again")
}

func TestCeilingHoldsForCustomersThatWereDropped(t *testing.T) {
	d := door(1)
	d.terms.MaxCustomers = 2
	d.now += 3600e3
	arrive(d, 0, capped)
	arrive(d, 1, plain)
	arrive(d, 2, plain)
	used := d.buckets[0].filledAt
	d.now += 1
	for customer := range 50 {
		arrive(d, 10+customer, plain)
	}
	assert.False(t, d.buckets[0].known)
	d.now += 1
	arrive(d, 0, capped)
	p := &d.terms.Plans[capped]
	assert.LessOrEqual(t, d.buckets[0].ceilingLevel, p.CeilingRate*(d.now-used), "it may have used all before it was dropped")
}
