// Package ring implements a bounded queue between goroutines.
//
// A Ring has a fixed capacity. TryPut doesn't block: it returns false if the ring is
// full, and the producer must reject the item explicitly. Put waits for room.
//
// # Usage
//
//	events := ring.New[Event](256)
//	if !events.TryPut(e) { /* reject e, or count it as dropped */ }
//	for e := range events.Items() { ... }
package ring

// Ring is a bounded queue that is safe for concurrent producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut appends the item and reports whether there was room.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put appends the item, waiting for room until done is closed, and reports whether it
// was appended. It is meant for messages that must not be dropped, such as
// completions.
func (r *Ring[T]) Put(done <-chan struct{}, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
