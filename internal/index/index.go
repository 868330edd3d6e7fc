// Package index hands out small dense indices for ids.
package index

import (
	"hash/fnv"
	"io"
)

// Table maps ids to indices and takes indices back.
type Table[K comparable] struct {
	of   map[K]int
	ids  []K
	free []int
}

func New[K comparable]() Table[K] { return Table[K]{of: map[K]int{}} }

// Add returns the id's index, a new one where it had none.
func (t *Table[K]) Add(id K) int {
	if i, ok := t.of[id]; ok {
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
	t.of[id] = i
	return i
}

func (t *Table[K]) Find(id K) (int, bool) {
	i, ok := t.of[id]
	return i, ok
}

// ID returns the id of an index, the zero id where it is free.
func (t *Table[K]) ID(i int) K { return t.ids[i] }

func (t *Table[K]) Drop(i int) {
	delete(t.of, t.ids[i])
	t.ids[i] = *new(K)
	t.free = append(t.free, i)
}

// Hash makes a number of a name, the same in every process.
func Hash(name string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, name)
	return h.Sum64()
}

// NamePhase spreads names evenly from 0 to 1, the same in every process.
func NamePhase(name string) float64 { return Phase(Hash(name)) }

// Phase spreads ids evenly from 0 to 1, the same in every process.
func Phase(id uint64) float64 { return float64(id*0x9E3779B97F4A7C15>>11) / (1 << 53) }
