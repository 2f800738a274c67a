// Package ring implements a bounded queue that never blocks its producers. A full
// queue drops new items and counts them.
package ring

import "sync/atomic"

// Ring is a bounded first-in, first-out queue. It must be created with New. A Ring
// is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Int64
}

// New returns a queue with a capacity of size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// TryPut adds an item. If the queue is full, TryPut drops the item and returns false.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which consumers receive the items. It is never
// closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Dropped returns the number of dropped items.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
