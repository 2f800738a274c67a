// Package ring is a bounded queue between two duties: a full ring sheds the
// newest item and counts it, so that a producer never waits.
package ring

import "sync/atomic"

// Ring holds up to its size of items. It is safe for concurrent use.
type Ring[T any] struct {
	items chan T
	shed  atomic.Int64
}

// New returns a ring for size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// Put adds an item, or sheds it and returns false where the ring is full.
func (r *Ring[T]) Put(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.shed.Add(1)
		return false
	}
}

// Items returns the channel that the consumer reads.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Shed returns how many items were shed.
func (r *Ring[T]) Shed() int64 { return r.shed.Load() }
