package platform

import (
	"context"
	"errors"
	"time"

	"limpethall.dev/kernel/task"
)

// relistDelay is the delay before a prefix is listed again after an error, and the
// least time between two listings after gaps.
const relistDelay = 300 * time.Millisecond

// Subscriber receives the state of a prefix and its changes.
type Subscriber interface {
	// Replace processes the complete state of the prefix.
	Replace(ctx context.Context, listing Listing) error
	// Apply processes the changes since the last Replace or Apply. There are no
	// events if a watch ended without changes.
	Apply(ctx context.Context, changes Changes) error
	// Failed reports the first error after a success, whether of the store or of
	// the subscriber itself. Follow then lists the prefix again until it succeeds.
	Failed(err error)
}

// Follow lists a prefix, watches it and passes its state and changes to the
// subscriber. It returns only when the context ends.
func Follow(ctx context.Context, store Store, prefix string, subscriber Subscriber) error {
	healthy := true
	for ctx.Err() == nil {
		started := time.Now()
		listed, err := listAndWatch(ctx, store, prefix, subscriber)
		if ctx.Err() != nil {
			return nil
		}
		var gap *GapError
		isGap := errors.As(err, &gap)
		if (healthy || listed) && !isGap {
			subscriber.Failed(err)
		}
		healthy = false
		if !isGap || time.Since(started) < relistDelay {
			task.Sleep(ctx, relistDelay)
		}
	}
	return nil
}

// listAndWatch returns the first error, and whether the prefix had been listed
// before it.
func listAndWatch(ctx context.Context, store Store, prefix string, subscriber Subscriber) (listed bool, err error) {
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
