package platform

import (
	"context"
	"errors"
	"time"

	"limpethall.dev/kernel/duty"
)

// followPause is the wait before a prefix is listed again after a failure or
// a gap.
const followPause = 300 * time.Millisecond

// Subscriber is told what happens below a prefix.
type Subscriber interface {
	// Replace takes in the whole state of the prefix.
	Replace(ctx context.Context, listing Listing) error
	// Apply takes in the changes since, which are empty when nothing happened
	// for a while.
	Apply(ctx context.Context, changes Changes) error
	// Failed is told of the first failure after a success, the subscriber's own
	// included. The prefix is then listed again until that succeeds.
	Failed(err error)
}

// Follow keeps a subscriber in step with a prefix until the context ends. It
// only returns then.
func Follow(ctx context.Context, store Store, prefix string, subscriber Subscriber) error {
	healthy := true
	for ctx.Err() == nil {
		listed, err := follow(ctx, store, prefix, subscriber)
		if ctx.Err() != nil {
			return nil
		}
		var gap *GapError
		if (healthy || listed) && !errors.As(err, &gap) {
			subscriber.Failed(err)
		}
		healthy = false
		duty.Pause(ctx, followPause)
	}
	return nil
}

// follow returns the first failure, and whether it came after the prefix was
// listed.
func follow(ctx context.Context, store Store, prefix string, subscriber Subscriber) (listed bool, err error) {
	listing, err := store.List(ctx, prefix)
	if err != nil {
		return false, err
	}
	if err := subscriber.Replace(ctx, listing); err != nil {
		return true, err
	}
	revision := listing.Revision
	for {
		changes, err := store.Watch(ctx, prefix, revision)
		if err != nil {
			return true, err
		}
		if err := subscriber.Apply(ctx, changes); err != nil {
			return true, err
		}
		revision = changes.Revision
	}
}
