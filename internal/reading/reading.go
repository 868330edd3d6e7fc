// Package reading holds values that a system may or may not provide, so that one that is unknown is not taken for zero.
package reading

// Value is a value that the system may not provide. The zero value is unknown.
type Value[T any] struct {
	value T
	known bool
}

// Known returns a value that the system has provided.
func Known[T any](v T) Value[T] { return Value[T]{v, true} }

// Unknown returns a value that the system has not provided.
func Unknown[T any]() Value[T] { return Value[T]{} }

// Get returns the value, and whether it is known.
func (r Value[T]) Get() (v T, known bool) { return r.value, r.known }

// Or returns the value, or another one if it is unknown.
func (r Value[T]) Or(other T) T {
	if r.known {
		return r.value
	}
	return other
}
