// Package pool lends out buffers of one size.
package pool

import "sync"

// Size of every buffer. One holds any head, and nearly every whole message; a larger body gets room of its own.
const Size = 8 << 10

var buffers = sync.Pool{New: func() any { return new([Size]byte) }}

// Get returns an empty buffer.
func Get() []byte { return buffers.Get().(*[Size]byte)[:0] }

// Put takes a buffer back; what has outgrown its size is left to the collector.
func Put(b []byte) {
	if cap(b) == Size {
		buffers.Put((*[Size]byte)(b[:Size]))
	}
}
