// Package index assigns small dense indices to ids.
package index

import (
	"hash/fnv"
	"io"
)

// Table maps ids to indices and reuses released indices.
type Table[K comparable] struct {
	byID map[K]int
	ids  []K
	free []int
}

// New returns an empty table.
func New[K comparable]() Table[K] { return Table[K]{byID: map[K]int{}} }

// Add returns the index of an id, assigning one if necessary.
func (t *Table[K]) Add(id K) int {
	if i, ok := t.byID[id]; ok {
		return i
	}
	var i int
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
		t.ids[i] = id
	} else {
		i = len(t.ids)
		t.ids = append(t.ids, id)
	}
	t.byID[id] = i
	return i
}

// Find returns the index of an id, if it has one.
func (t *Table[K]) Find(id K) (int, bool) {
	i, ok := t.byID[id]
	return i, ok
}

// ID returns the id of an index, or the zero value if the index is free.
func (t *Table[K]) ID(i int) K { return t.ids[i] }

// Drop releases an index for reuse.
func (t *Table[K]) Drop(i int) {
	delete(t.byID, t.ids[i])
	t.ids[i] = *new(K)
	t.free = append(t.free, i)
}

// Hash returns a hash of a name that is the same in every process.
func Hash(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return h.Sum64()
}

// NamePhase maps names evenly to [0, 1). The result is the same in every process.
func NamePhase(name string) float64 { return Phase(Hash(name)) }

// Phase maps ids evenly to [0, 1). The result is the same in every process.
func Phase(id uint64) float64 { return float64(id*0x9E3779B97F4A7C15>>11) / (1 << 53) }
