package buffer

import (
	"context"
	"errors"
	"time"
)

// waitInterval is the interval at which Wait tries again.
const waitInterval = 10 * time.Millisecond

// Wait takes memory once there is enough, for work of the process that can wait. It returns a
// *FullError at once if the account's priority never has so much, and the context's error if
// that ends first.
func (a *Account) Wait(ctx context.Context, size int64) error {
	if a == nil {
		return nil
	}
	if err := a.possible(size); err != nil {
		return err
	}
	for {
		err := a.take(size, false)
		var full *FullError
		if !errors.As(err, &full) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(waitInterval):
		}
	}
}

// possible returns a *FullError if the account could not take size bytes of an unused budget.
func (a *Account) possible(size int64) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.budget.available(0, size, a.reserve(false))
}
