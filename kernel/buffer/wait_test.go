package buffer_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/kernel/buffer"
)

// TestWaitTakesMemoryThatIsReturned guards against work of the process that fails, or that
// exceeds the budget, because requests use the memory for a moment.
func TestWaitTakesMemoryThatIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := buffer.NewBudget(800)
		request := budget.Open(buffer.PriorityStarted)
		if err := request.Take(500); err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(time.Second)
			request.Release()
		}()
		account := budget.Open(buffer.PriorityNew)
		defer account.Release()
		started := time.Now()
		if err := account.Wait(t.Context(), 400); err != nil || time.Since(started) < time.Second {
			t.Errorf("got error %v after %s, want none after 1 s", err, time.Since(started))
		}
		if got := budget.Refused(); got != 0 {
			t.Errorf("got %d refusals, want 0", got)
		}
		var full *buffer.FullError
		if err := account.Wait(t.Context(), 700); !errors.As(err, &full) {
			t.Errorf("more than there ever is: got error %v, want %T", err, full)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := account.Wait(ctx, 400); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("memory that is not returned: got error %v, want %v", err, context.DeadlineExceeded)
		}
	})
}

// TestLargeResultsAreReadLast guards against the results of steps that have run, which are
// refused although there is memory for them.
func TestLargeResultsAreReadLast(t *testing.T) {
	const limit, size = 1 << 20, 40 << 10
	for priority, wantRead := range map[buffer.Priority]bool{buffer.PriorityStarted: false, buffer.PriorityFinished: true} {
		budget := buffer.NewBudget(limit)
		other := budget.Open(buffer.PriorityStarted)
		if err := other.Take(limit * 7 / 8); err != nil {
			t.Fatal(err)
		}
		_, err := budget.Open(priority).Read(bytes.NewReader(make([]byte, size)), size, limit)
		if got := err == nil; got != wantRead {
			t.Errorf("priority %d: got error %v, want it read: %t", priority, err, wantRead)
		}
	}
}
