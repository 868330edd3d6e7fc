// Package pool recycles buffers of a fixed size.
package pool

import "sync"

// Size is the capacity of every buffer in bytes. It is sufficient for any head and for nearly every message; larger bodies are
// allocated separately.
const Size = 8 << 10

var buffers = sync.Pool{New: func() any { return new([Size]byte) }}

// Get returns an empty buffer.
func Get() []byte { return buffers.Get().(*[Size]byte)[:0] }

// Put returns a buffer to the pool. A buffer that has been reallocated is left to the garbage collector.
func Put(b []byte) {
	if cap(b) == Size {
		buffers.Put((*[Size]byte)(b[:Size]))
	}
}
