package frontdoor

import (
	"math"
	"sync/atomic"
)

// atomicInstant is an instant on the door's clock, ms, that several goroutines share. The zero value is 0.
type atomicInstant struct{ bits atomic.Uint64 }

func (a *atomicInstant) load() float64   { return math.Float64frombits(a.bits.Load()) }
func (a *atomicInstant) store(v float64) { a.bits.Store(math.Float64bits(v)) }

// swap replaces an old instant by a new one, and reports whether it was still the old one.
func (a *atomicInstant) swap(old, new float64) bool {
	return a.bits.CompareAndSwap(math.Float64bits(old), math.Float64bits(new))
}
