// Package ring provides the bounded queue that joins two goroutines.
//
// A Ring never blocks its producer and never grows: Offer on a full ring
// reports false, which the producer must turn into an explicit refusal.
//
// # Usage
//
//	events := ring.New[Event](256)
//	if !events.Offer(e) { /* refuse, or count the loss */ }
//	for e := range events.Items() { ... }
package ring

// Ring is a bounded queue for many producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer appends the item and reports whether there was room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put appends the item, waiting for room until stop is closed. It is for
// messages that must not be lost, such as completions; it reports whether the
// item was appended.
func (r *Ring[T]) Put(stop <-chan struct{}, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-stop:
		return false
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns how many items wait.
func (r *Ring[T]) Len() int { return len(r.items) }
